//! The nodes: their facts and drains by the catalog, the reports of hosts, and their status.
//!
//! [`Membership`](super::Membership) calls [`NodeTable`] for each event of a node; only this module
//! changes a [`Node`]. Memory: an entry for each node, and a report of each host on each node.

use super::drain_state::DrainState;
use super::messages::{NodeFacts, NodeObservation, ProposalId};
use crate::answers::Answers;
use crate::list_reading::{ListReading, ListedState};
use crate::node_status::{Authority, NodeStatus};
use grebecleat_catalog::admission::ExclusionReason;
use grebecleat_catalog::feed::HostNumber;
use grebecleat_catalog::records::{Stage, Version};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// The last report of a host on a node.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct Report {
    pub observation: NodeObservation,
    /// When the report was received, by this process's clock.
    pub received: Duration,
    /// When the node's process started, by this process's clock, computed at the first report on
    /// that incarnation.
    pub started: Option<Duration>,
}

impl Report {
    fn list_reading(&self) -> ListReading {
        ListReading {
            state: self.observation.listed,
            incarnation: self.observation.incarnation,
            started: self.started,
            revision: self.observation.revision,
        }
    }

    /// When the last of the host's attempts is over at the node. None if the host counted its
    /// attempts before it followed `version`, or has attempts in flight.
    pub fn resolved_at(&self, version: Version) -> Option<Duration> {
        let counted = self.observation.catalog_version >= version;
        let is_quiet = counted && self.observation.attempts == 0;
        is_quiet.then(|| self.received + self.observation.unresolved_for)
    }
}

/// A node's record.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Default)]
pub(super) struct Node {
    pub facts: NodeFacts,
    /// Whether the node is in the catalog.
    pub known: bool,
    /// The last report of each host.
    pub reports: BTreeMap<HostNumber, Report>,
    pub drain: Option<DrainState>,
    pub status: NodeStatus,
    /// The source that decided the status.
    pub authority: Authority,
    /// The exclusion that was last reported to admission.
    pub exclusion: Option<ExclusionReason>,
}

impl Node {
    /// The reading of the endpoint list that takes precedence over all other hosts' readings.
    pub fn list_reading(&self) -> Option<ListReading> {
        let readings = self.reports.values().map(Report::list_reading);
        let listed = readings.filter(|reading| reading.state != ListedState::Never);
        listed.reduce(|best, reading| {
            if reading.supersedes(&best) {
                reading
            } else {
                best
            }
        })
    }

    /// The stage of the node's drain; None: it is not drained.
    pub fn drain_stage(&self) -> Option<Stage> {
        self.drain.as_ref().map(|drain| drain.stage)
    }

    /// Returns whether hosts send the node nothing new, by the catalog.
    pub fn blocks_new_requests(&self) -> bool {
        self.drain_stage()
            .is_some_and(|stage| stage != Stage::Queued)
    }

    fn update_peak_attempts(&mut self) {
        let reports = self.reports.values();
        let attempts = reports.map(|report| report.observation.attempts).sum();
        let drain = self.drain.as_mut();
        if let Some(drain) = drain.filter(|drain| drain.stage == Stage::Draining) {
            drain.peak_attempts = drain.peak_attempts.max(attempts);
        }
    }
}

/// All nodes; see the module.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Default)]
pub(super) struct NodeTable {
    nodes: BTreeMap<u32, Node>,
    /// Nodes whose status must be computed again.
    changed: BTreeSet<u32>,
}

impl NodeTable {
    /// A node, by its number.
    pub fn get(&self, number: u32) -> Option<&Node> {
        self.nodes.get(&number)
    }

    /// All nodes, by number.
    pub fn iter(&self) -> impl Iterator<Item = (u32, &Node)> {
        self.nodes.iter().map(|(number, node)| (*number, node))
    }

    /// Takes the numbers of the nodes that changed.
    pub fn take_changed(&mut self) -> BTreeSet<u32> {
        std::mem::take(&mut self.changed)
    }

    /// Sets a node's facts; None: the catalog no longer has the node.
    pub fn set_facts(&mut self, number: u32, facts: Option<NodeFacts>) {
        let node = self.change(number);
        node.known = facts.is_some();
        node.facts = facts.unwrap_or_default();
    }

    /// Takes a node's drain, which has ended or is to be replaced.
    pub fn take_drain(&mut self, number: u32) -> Option<DrainState> {
        self.change(number).drain.take()
    }

    /// Sets a node's drain.
    pub fn set_drain(&mut self, number: u32, drain: DrainState) {
        self.change(number).drain = Some(drain);
    }

    /// A node's drain, for its next stage.
    pub fn drain_mut(&mut self, number: u32) -> Option<&mut DrainState> {
        self.nodes.get_mut(&number)?.drain.as_mut()
    }

    /// The drain that waits for the outcome of a proposal.
    pub fn drain_awaiting(&mut self, proposal: ProposalId) -> Option<&mut DrainState> {
        self.nodes
            .values_mut()
            .filter_map(|node| node.drain.as_mut())
            .find(|drain| drain.awaits(proposal))
    }

    /// Records a host's observation.
    pub fn observe(
        &mut self,
        now: Duration,
        host: HostNumber,
        number: u32,
        observation: NodeObservation,
    ) {
        let node = self.change(number);
        let earlier = node.reports.get(&host);
        // One incarnation has one start. Otherwise, each observation would look like a restart.
        let earlier =
            earlier.filter(|report| report.observation.incarnation == observation.incarnation);
        let started = earlier.and_then(|report| report.started);
        let started_by_age = || observation.age.map(|age| now.saturating_sub(age));
        let report = Report {
            observation,
            received: now,
            started: started.or_else(started_by_age),
        };
        node.reports.insert(host, report);
        node.update_peak_attempts();
    }

    /// Discards the counts and answers of a host whose connection is lost. The next incarnation may
    /// know less than the one that counted; its attempts must not be missed because the former
    /// incarnation had none.
    pub fn discard_counts(&mut self, host: HostNumber) {
        for node in self.nodes.values_mut() {
            if let Some(report) = node.reports.get_mut(&host) {
                report.observation.catalog_version = Version(0);
                report.observation.answers = Answers::None;
            }
        }
    }

    /// Sets a node's status, and returns the former status.
    pub fn set_status(
        &mut self,
        number: u32,
        status: NodeStatus,
        authority: Authority,
    ) -> NodeStatus {
        let node = self.nodes.entry(number).or_default();
        node.authority = authority;
        std::mem::replace(&mut node.status, status)
    }

    /// Sets the exclusion of a node that is reported to admission; returns whether it changed.
    pub fn set_exclusion(&mut self, number: u32, exclusion: Option<ExclusionReason>) -> bool {
        let node = self.nodes.entry(number).or_default();
        std::mem::replace(&mut node.exclusion, exclusion) != exclusion
    }

    /// A node whose status must be computed again.
    fn change(&mut self, number: u32) -> &mut Node {
        self.changed.insert(number);
        self.nodes.entry(number).or_default()
    }
}
