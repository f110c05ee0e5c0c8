//! The report that a host publishes to its peers, and the version that orders its reports.
//!
//! These types hold data only. A report contains only its writer's own observations, and never those of
//! other hosts. Messages carry the age of each report, so that hosts need not compare clocks.

use crate::{HostNumber, Incarnation};
use std::collections::BTreeSet;
use std::time::Duration;

/// The version of a report. Of two reports of one host the one with the larger version is later.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct VersionStamp {
    /// The writer's incarnation.
    pub incarnation: Incarnation,
    /// The report's sequence number within the incarnation.
    pub count: u64,
}

/// The results of one host's attempts to one node in the last seconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Observation {
    /// The node's number.
    pub node: u32,
    /// The start of the node's process, from the endpoint list.
    pub start: u64,
    /// The number of attempts that were sent.
    pub attempts: u32,
    /// The number of failed attempts; at most `attempts`.
    pub failed: u32,
    /// The time between the end of the last attempt and the writing of the observation.
    pub age: Duration,
    /// The node is ejected but answers this host.
    pub contradicts_ejection: bool,
}

impl Observation {
    /// Returns whether the observation is evidence against the node. A node that is only slow or
    /// overloaded still answers and is not bad.
    pub fn is_bad(&self) -> bool {
        self.failed * 2 > self.attempts
    }

    /// Returns whether the observation is evidence for the node. It may be neither good nor bad.
    pub fn is_good(&self) -> bool {
        self.attempts > self.failed && self.failed * 4 <= self.attempts
    }

    /// Returns whether peers should receive the observation at once.
    pub fn is_urgent(&self) -> bool {
        self.contradicts_ejection || self.is_bad()
    }

    /// Returns the part of the observation whose change starts a new rumor. Further attempts with the same
    /// result do not change that part.
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
    /// The start of the node's process.
    pub start: u64,
    /// True if the node is ejected but answers; false if the node is bad.
    pub contradicts_ejection: bool,
}

/// An offer of a host to lease a part of its quota of a volume's limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct LeaseOffer {
    /// The volume's number.
    pub volume: u64,
    /// The offered amount, in fractions of [`crate::lease_message::FULL_LIMIT`].
    pub spare: u32,
}

/// The units that one host has served for a volume.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct ServedUnits {
    /// The volume's number.
    pub volume: u64,
    /// The number of units since the host's process started.
    pub units: u64,
}

/// A host's report about its own attempts, spare quotas and served units.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct HostReport {
    /// The number of nodes to which the host sent attempts in the last seconds.
    pub nodes_tried: u32,
    /// The number of these nodes that the host finds bad.
    pub bad_nodes: u32,
    /// The host's observations of nodes; only the most important ones if there are too many.
    pub observations: Vec<Observation>,
    /// The amounts that the host could lease to others.
    pub offers: Vec<LeaseOffer>,
    /// The units that the host has served for its busiest volumes.
    pub served: Vec<ServedUnits>,
}

impl HostReport {
    /// Returns the observations that peers should receive at once: those of nodes that the host finds bad,
    /// and those of ejected nodes that answer the host.
    pub fn urgent(&self) -> BTreeSet<UrgentObservation> {
        self.observations
            .iter()
            .filter(|observation| observation.is_urgent())
            .map(Observation::urgent_key)
            .collect()
    }
}

/// A host's report with its writer, version and age, as gossip messages carry it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GossipEntry {
    /// The host that wrote the report.
    pub writer: HostNumber,
    /// The version of the report.
    pub version: VersionStamp,
    /// The known part of the time since the report was written.
    pub age: Duration,
    /// The report.
    pub report: HostReport,
}
