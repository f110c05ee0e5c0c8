//! The events and actions of [`crate::coordinator`].
//!
//! These types hold data only. The host passes [`Event`]s to the coordinator and performs the
//! [`Action`]s that it returns.

use crate::gossip_codec::GossipDecodeError;
use crate::lease_message::LeaseTerms;
use crate::outlier_detection::EndpointPolicy;
use crate::{HostNumber, Incarnation};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::time::Duration;

/// The settings of the coordination, which are the same for all hosts of a fleet.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CoordinationSettings {
    /// The time between two gossip rounds.
    pub interval: Duration,
    /// The terms of quota leases.
    pub leases: LeaseTerms,
}

/// An event at this host.
#[derive(Debug, Clone)]
pub enum Event {
    /// A peer's message has arrived.
    MessageReceived {
        /// The sender.
        from: HostNumber,
        /// The known part of the time that the message waited on its way.
        waited: Duration,
        /// The encoded message.
        bytes: Vec<u8>,
    },
    /// The nodes of the endpoint list that are in use have changed. The values are the start times of the
    /// nodes' processes.
    NodesInUse(BTreeMap<u32, u64>),
    /// An attempt ended with a result that shows whether its node works.
    AttemptEnded {
        /// The node's number.
        node: u32,
        /// The node did not answer, or answered with a failure.
        bad: bool,
    },
    /// Clients of this host requested units of a volume.
    UnitsRequested {
        /// The volume's number.
        volume: u64,
        /// Number of units.
        units: f64,
    },
    /// This host served units of a volume.
    UnitsServed {
        /// The volume's number.
        volume: u64,
        /// Number of units.
        units: f64,
    },
    /// The sharers or the limit of a volume have changed.
    VolumeChanged {
        /// The volume's number.
        volume: u64,
        /// The hosts that serve the volume. The set is empty if the volume has no limit, or if this host
        /// no longer serves it.
        sharers: BTreeSet<HostNumber>,
        /// The limit over all hosts, in units a second.
        limit: f64,
    },
}

/// An action that the host performs.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Send a message to a peer. The message may be lost, duplicated, late or reordered.
    Send {
        /// The receiver.
        to: HostNumber,
        /// The encoded message.
        bytes: Vec<u8>,
    },
    /// Apply a new quota of a volume's limit.
    QuotaChanged {
        /// The volume's number.
        volume: u64,
        /// The quota that this host may use, as a multiple of its base quota. At 0 the host may serve no
        /// units.
        base_quota_multiple: f64,
    },
    /// Apply a new policy to a node.
    PolicyChanged {
        /// The node's number.
        node: u32,
        /// The policy.
        policy: EndpointPolicy,
    },
    /// Write a line to the log.
    Log {
        /// The notice, whose text is the line.
        notice: Notice,
    },
}

/// A notice for the log. Its `Display` text is the log line.
#[derive(Debug, Clone, PartialEq)]
pub enum Notice {
    /// This host's incarnation was too low, for instance because its clock went back.
    IncarnationRaised {
        /// The new incarnation.
        incarnation: Incarnation,
    },
    /// A peer's message, or a part of it, was rejected.
    MessageRejected {
        /// The sender.
        from: HostNumber,
        /// The reason.
        reason: RejectReason,
    },
}

/// The reason why a message, or a part of it, was rejected.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum RejectReason {
    /// The message cannot be decoded.
    #[error(transparent)]
    Decode(#[from] GossipDecodeError),
    /// Some entries come from hosts that are not in the settings, or are too old.
    #[error("{entries} entries are of unknown hosts or too old")]
    Entries {
        /// The number of these entries.
        entries: usize,
    },
}

impl fmt::Display for Notice {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Notice::IncarnationRaised { incarnation } => {
                write!(formatter, "incarnation raised to {}", incarnation.0)
            }
            Notice::MessageRejected { from, reason } => {
                write!(
                    formatter,
                    "gossip message from host {} rejected: {reason}",
                    from.0
                )
            }
        }
    }
}
