//! The table of nodes: their attributes and drains from the catalog, the reports of hosts, and their
//! status.
//!
//! [`Membership`](super::Membership) calls [`NodeTable`] for each event of a node; only this module
//! changes a [`Node`]. The table holds an entry for each node, and a report of each host on each
//! node.

use super::drain_state::DrainState;
use super::messages::{NodeAttributes, NodeObservation, ProposalId};
use crate::answers::ResponseHealth;
use crate::list_entry::{ListEntry, ListedState};
use crate::node_status::{NodeStatus, StatusSource};
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
    /// When the node's process started, by this process's clock. It is computed at the first
    /// report on that incarnation.
    pub started: Option<Duration>,
}

impl Report {
    fn list_entry(&self) -> ListEntry {
        ListEntry {
            state: self.observation.listed,
            incarnation: self.observation.incarnation,
            started: self.started,
            revision: self.observation.revision,
        }
    }

    /// Returns when the last of the host's attempts has ended at the node. `None` if the host has
    /// attempts in flight, or counted them before it applied `version`.
    pub fn resolved_at(&self, version: Version) -> Option<Duration> {
        let counted = self.observation.catalog_version >= version;
        let is_quiescent = counted && self.observation.attempts == 0;
        is_quiescent.then(|| self.received + self.observation.unresolved_for)
    }
}

/// The state of one node.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Default)]
pub(super) struct Node {
    pub attributes: NodeAttributes,
    /// Whether the node is in the catalog.
    pub in_catalog: bool,
    /// The last report of each host on this node.
    pub reports: BTreeMap<HostNumber, Report>,
    pub drain: Option<DrainState>,
    pub status: NodeStatus,
    /// The source that decided the status.
    pub status_source: StatusSource,
    /// The exclusion that was last reported to admission.
    pub exclusion: Option<ExclusionReason>,
}

impl Node {
    /// Returns the entry in the endpoint list that takes precedence among those of all hosts.
    pub fn list_entry(&self) -> Option<ListEntry> {
        let entries = self.reports.values().map(Report::list_entry);
        let listed = entries.filter(|entry| entry.state != ListedState::NeverListed);
        listed.reduce(
            |best, entry| {
                if entry.supersedes(&best) {
                    entry
                } else {
                    best
                }
            },
        )
    }

    /// Returns the stage of the node's drain. `None` if the node has no drain.
    pub fn drain_stage(&self) -> Option<Stage> {
        self.drain.as_ref().map(|drain| drain.stage)
    }

    /// Returns whether the node's drain in the catalog forbids hosts to send it new requests.
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

/// All nodes; see the module documentation.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Default)]
pub(super) struct NodeTable {
    nodes: BTreeMap<u32, Node>,
    /// Nodes whose status must be recomputed.
    changed: BTreeSet<u32>,
}

impl NodeTable {
    /// Returns a node by its number.
    pub fn get(&self, number: u32) -> Option<&Node> {
        self.nodes.get(&number)
    }

    /// Returns all nodes in the order of their numbers.
    pub fn iter(&self) -> impl Iterator<Item = (u32, &Node)> {
        self.nodes.iter().map(|(number, node)| (*number, node))
    }

    /// Returns the numbers of the nodes that changed since the last call.
    pub fn take_changed(&mut self) -> BTreeSet<u32> {
        std::mem::take(&mut self.changed)
    }

    /// Sets a node's attributes. `None` if the catalog no longer contains the node.
    pub fn set_attributes(&mut self, number: u32, attributes: Option<NodeAttributes>) {
        let node = self.changed_node_mut(number);
        node.in_catalog = attributes.is_some();
        node.attributes = attributes.unwrap_or_default();
    }

    /// Removes and returns a node's drain, which has ended or will be replaced.
    pub fn take_drain(&mut self, number: u32) -> Option<DrainState> {
        self.changed_node_mut(number).drain.take()
    }

    pub fn set_drain(&mut self, number: u32, drain: DrainState) {
        self.changed_node_mut(number).drain = Some(drain);
    }

    /// Returns a node's drain for changes that do not affect the node's status.
    pub fn drain_mut(&mut self, number: u32) -> Option<&mut DrainState> {
        self.nodes.get_mut(&number)?.drain.as_mut()
    }

    /// Returns the drain that waits for the outcome of a proposal.
    pub fn drain_awaiting(&mut self, proposal: ProposalId) -> Option<&mut DrainState> {
        self.nodes
            .values_mut()
            .filter_map(|node| node.drain.as_mut())
            .find(|drain| drain.awaits(proposal))
    }

    /// Records a host's observation of a node.
    pub fn observe(
        &mut self,
        now: Duration,
        host: HostNumber,
        number: u32,
        observation: NodeObservation,
    ) {
        let node = self.changed_node_mut(number);
        let earlier = node.reports.get(&host);
        // The start time of an incarnation must stay the same: a start time computed anew from each
        // observation would differ slightly and look like a restart.
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

    /// Discards the attempt counts and the health that a host reported before its connection was
    /// lost. The next incarnation may have persisted an older version of the catalog than the one
    /// that counted: a count of zero from the former incarnation says nothing about its attempts.
    pub fn discard_counts(&mut self, host: HostNumber) {
        for node in self.nodes.values_mut() {
            if let Some(report) = node.reports.get_mut(&host) {
                report.observation.catalog_version = Version(0);
                report.observation.answers = ResponseHealth::None;
            }
        }
    }

    /// Sets a node's status and its source. Returns the former status.
    pub fn set_status(
        &mut self,
        number: u32,
        status: NodeStatus,
        status_source: StatusSource,
    ) -> NodeStatus {
        let node = self.nodes.entry(number).or_default();
        node.status_source = status_source;
        std::mem::replace(&mut node.status, status)
    }

    /// Sets the exclusion of a node that is reported to admission. Returns whether it changed.
    pub fn set_exclusion(&mut self, number: u32, exclusion: Option<ExclusionReason>) -> bool {
        let node = self.nodes.entry(number).or_default();
        std::mem::replace(&mut node.exclusion, exclusion) != exclusion
    }

    /// Returns a node, and marks it so that its status is recomputed.
    fn changed_node_mut(&mut self, number: u32) -> &mut Node {
        self.changed.insert(number);
        self.nodes.entry(number).or_default()
    }
}
