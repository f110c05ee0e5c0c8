//! What one host reports of itself to its peers, with the version that orders its reports.
//!
//! Plain data, used by the gossip state, the encoded messages, outlier detection and the quotas. A
//! report holds what its writer observed itself, never what it received from others; its age
//! travels with it, so that no clocks are compared.

use crate::{HostNumber, Incarnation};
use std::collections::BTreeSet;
use std::time::Duration;

/// Orders the reports of one host: the larger stamp is the later report.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct VersionStamp {
    /// The writer's incarnation.
    pub incarnation: Incarnation,
    /// Reports of this incarnation so far.
    pub count: u64,
}

/// How a node answered one host in the last seconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Observation {
    /// The node's number.
    pub node: u32,
    /// Start of the node's process, as the endpoint list has it.
    pub start: u64,
    /// Attempts that were sent.
    pub sent: u32,
    /// Attempts of `sent` that ended badly; at most `sent`.
    pub bad: u32,
    /// Time since the last attempt ended, when this was written.
    pub age: Duration,
    /// The node is ejected, and answers this host.
    pub contradicts_ejection: bool,
}

impl Observation {
    /// Whether it speaks against its node; a node that is merely slow or full answers.
    pub fn is_bad(&self) -> bool {
        self.bad * 2 > self.sent
    }

    /// Whether it speaks for its node. An observation may be neither good nor bad.
    pub fn is_good(&self) -> bool {
        self.sent > self.bad && self.bad * 4 <= self.sent
    }

    /// Whether peers should receive it at once.
    pub fn is_urgent(&self) -> bool {
        self.contradicts_ejection || self.is_bad()
    }

    /// What identifies it as news: further counts of the same kind are none.
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
    /// The node is ejected and answers; otherwise it answers badly.
    pub contradicts_ejection: bool,
}

/// What a host could lease to others of a volume's limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct LeaseOffer {
    /// The volume's number.
    pub volume: u64,
    /// In fractions of [`crate::lease_message::WHOLE_LIMIT`].
    pub spare: u32,
}

/// What a volume was served through one host in the host's current incarnation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct ServedUnits {
    /// The volume's number.
    pub volume: u64,
    /// Units since the host started.
    pub units: u64,
}

/// What a host reports of itself and of what it tried itself; never what it received from others.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct HostReport {
    /// Nodes that it sent to in the last seconds.
    pub tried: u32,
    /// Nodes of `tried` that answered badly.
    pub bad: u32,
    /// How nodes answered it; the most important ones where there are too many.
    pub observations: Vec<Observation>,
    /// What it could lease to others.
    pub offers: Vec<LeaseOffer>,
    /// What it served of the busiest volumes.
    pub served: Vec<ServedUnits>,
}

impl HostReport {
    /// What peers should receive at once: processes of nodes that it finds bad, or that answer it
    /// though they are ejected.
    pub fn urgent(&self) -> BTreeSet<UrgentObservation> {
        self.observations
            .iter()
            .filter(|observation| observation.is_urgent())
            .map(Observation::urgent_key)
            .collect()
    }
}

/// A host's report as it travels between hosts.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GossipEntry {
    /// The host that wrote the report.
    pub writer: HostNumber,
    /// Orders the writer's reports.
    pub version: VersionStamp,
    /// Time since the report was written, as far as it is known.
    pub age: Duration,
    /// What the writer reports.
    pub report: HostReport,
}
