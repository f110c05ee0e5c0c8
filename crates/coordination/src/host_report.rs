//! The report of one host to its peers, and the version that orders its reports.
//!
//! Plain data for the gossip state, the encoded messages, outlier detection and the quotas. A
//! report contains only its writer's own observations, and never those of other hosts. The report's
//! age travels with it, so that hosts do not compare clocks.

use crate::{HostNumber, Incarnation};
use std::collections::BTreeSet;
use std::time::Duration;

/// The version of a report. It orders the reports of one host: the larger stamp is later.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct VersionStamp {
    /// The writer's incarnation.
    pub incarnation: Incarnation,
    /// Number of reports of this incarnation so far.
    pub count: u64,
}

/// The results of one host's attempts of the last seconds to one node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Observation {
    /// The node's number.
    pub node: u32,
    /// Start of the node's process, as the endpoint list has it.
    pub start: u64,
    /// Number of attempts that were sent.
    pub sent: u32,
    /// Number of failed attempts; at most `sent`.
    pub bad: u32,
    /// Time since the last attempt ended, when the observation was written.
    pub age: Duration,
    /// The node is ejected, but answers this host.
    pub contradicts_ejection: bool,
}

impl Observation {
    /// Returns whether the observation is evidence against the node. A node that is merely slow or
    /// full answers, and is not bad.
    pub fn is_bad(&self) -> bool {
        self.bad * 2 > self.sent
    }

    /// Returns whether the observation is evidence for the node. An observation may be neither good
    /// nor bad.
    pub fn is_good(&self) -> bool {
        self.sent > self.bad && self.bad * 4 <= self.sent
    }

    /// Returns whether peers should receive the observation at once.
    pub fn is_urgent(&self) -> bool {
        self.contradicts_ejection || self.is_bad()
    }

    /// Returns the part of the observation that makes it a new rumor. Further attempts with the
    /// same result do not change that part.
    pub fn urgent_key(&self) -> UrgentObservation {
        UrgentObservation {
            node: self.node,
            start: self.start,
            contradicts_ejection: self.contradicts_ejection,
        }
    }
}

/// An observation that peers should receive at once, without its counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct UrgentObservation {
    /// The node's number.
    pub node: u32,
    /// Start of the node's process.
    pub start: u64,
    /// The node is ejected and answers. If false, the node is bad.
    pub contradicts_ejection: bool,
}

/// The amount of a volume's limit that a host could lease to others.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct LeaseOffer {
    /// The volume's number.
    pub volume: u64,
    /// The spare amount, in fractions of [`crate::lease_message::FULL_LIMIT`].
    pub spare: u32,
}

/// The units that one host has served for a volume in the host's present incarnation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct ServedUnits {
    /// The volume's number.
    pub volume: u64,
    /// Number of units since the host started.
    pub units: u64,
}

/// A host's report of itself and of its own attempts, without reports of other hosts.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct HostReport {
    /// Number of nodes to which it sent attempts in the last seconds.
    pub tried: u32,
    /// Number of nodes of `tried` that it finds bad.
    pub bad: u32,
    /// Its observations of nodes; only the most important ones if there are too many.
    pub observations: Vec<Observation>,
    /// The amounts that it could lease to others.
    pub offers: Vec<LeaseOffer>,
    /// The units that it has served for the busiest volumes.
    pub served: Vec<ServedUnits>,
}

impl HostReport {
    /// Returns the observations that peers should receive at once: of nodes that the host finds
    /// bad, and of nodes that answer it although they are ejected.
    pub fn urgent(&self) -> BTreeSet<UrgentObservation> {
        self.observations
            .iter()
            .filter(|observation| observation.is_urgent())
            .map(Observation::urgent_key)
            .collect()
    }
}

/// A host's report, as hosts exchange it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GossipEntry {
    /// The host that wrote the report.
    pub writer: HostNumber,
    /// The version, which orders the writer's reports.
    pub version: VersionStamp,
    /// Time since the report was written, as far as it is known.
    pub age: Duration,
    /// The report.
    pub report: HostReport,
}
