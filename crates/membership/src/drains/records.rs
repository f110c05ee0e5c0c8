//! What the membership remembers of each host, node and drain.

use super::messages::{NodeFacts, NodeObservation, ProposalId};
use crate::list_reading::{ListReading, ListedState};
use crate::node_status::{Authority, NodeStatus};
use grebecleat_catalog::admission::ExclusionReason;
use grebecleat_catalog::feed::HostNumber;
use grebecleat_catalog::records::{Name, Stage, Version};
use std::collections::BTreeMap;
use std::time::Duration;

/// What a host last reported of a node.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct Report {
    pub observation: NodeObservation,
    pub received: Duration,
    /// When the node's process started, by our clock, as it was reckoned at the first report of it.
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
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, Default)]
pub(super) struct Host {
    /// The version of the catalog that it has acknowledged; None: it was never heard of.
    pub acknowledged: Option<Version>,
    /// An operator vouches that it sends nothing.
    pub removed: bool,
    pub connected: bool,
    pub incarnation: Option<u64>,
    /// When the last attempt is over that an earlier incarnation of it, or this one before its
    /// connection was lost, may have had in flight: ended at the host, and at the node.
    pub unaccounted_until: Duration,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, Default)]
pub(super) struct Node {
    pub facts: NodeFacts,
    /// It is in the catalog.
    pub known: bool,
    pub reports: BTreeMap<HostNumber, Report>,
    pub drain: Option<DrainState>,
    pub status: NodeStatus,
    pub authority: Authority,
    /// What admission was told.
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

    /// The stage of its drain, if it is drained.
    pub fn drain_stage(&self) -> Option<Stage> {
        self.drain.as_ref().map(|drain| drain.stage)
    }

    /// Whether hosts send it nothing new, by the catalog.
    pub fn blocks_new_requests(&self) -> bool {
        self.drain_stage()
            .is_some_and(|stage| stage != Stage::Queued)
    }
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct DrainState {
    pub stage: Stage,
    /// How long it may take; zero: any time.
    pub timeout: Duration,
    pub author: Name,
    pub requested_at: Duration,
    /// Since when it is at this stage.
    pub since: Duration,
    /// The catalog's version with its latest change.
    pub version: Version,
    /// When it is given up, by our clock; None: never.
    pub expires_at: Option<Duration>,
    /// The most attempts that were seen in flight since it began.
    pub peak_attempts: u32,
    /// Why it is still queued.
    pub waits_for: String,
    /// When it is proposed again.
    pub retry_at: Duration,
    /// The proposal on its way to the catalog, and the stage that it proposes.
    pub pending: Option<Pending>,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct Pending {
    pub proposal: ProposalId,
    /// None: the drain is to end.
    pub stage: Option<Stage>,
}

impl DrainState {
    /// Whether that proposal is on its way.
    pub fn awaits(&self, proposal: ProposalId) -> bool {
        let pending = self.pending.as_ref();
        pending.is_some_and(|pending| pending.proposal == proposal)
    }
}
