//! The events and actions of [`crate::coordinator`].
//!
//! Plain data: the host's quota sharing passes [`Event`]s, and performs the returned [`Action`]s.

use crate::gossip_codec::GossipDecodeError;
use crate::lease_message::LeaseTerms;
use crate::outlier_detection::EndpointPolicy;
use crate::{HostNumber, Incarnation};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::time::Duration;

/// The settings of the fleet's coordination.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Rules {
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
        /// How long the message waited on its way, as far as that is known.
        waited: Duration,
        /// The encoded message.
        bytes: Vec<u8>,
    },
    /// The nodes of the endpoint list that are in use, with the starts of their processes.
    NodesInUse(BTreeMap<u32, u64>),
    /// An attempt to a node ended with a result that is evidence on the node.
    AttemptEnded {
        /// The node's number.
        node: u32,
        /// The node failed to answer, or its answer was a failure.
        bad: bool,
    },
    /// Clients requested units of a volume here.
    UnitsRequested {
        /// The volume's number.
        volume: u64,
        /// Number of units.
        units: f64,
    },
    /// A volume was served units here.
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
        /// The hosts that serve the volume. Empty: the volume has no limit, or this host no longer
        /// serves it.
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
    /// Apply another quota of a volume's limit.
    QuotaChanged {
        /// The volume's number.
        volume: u64,
        /// The quota that this host may use, as a multiple of its base quota; 0: no units.
        times: f64,
    },
    /// Apply another policy to a node.
    PolicyChanged {
        /// The node's number.
        node: u32,
        /// The policy.
        policy: EndpointPolicy,
    },
    /// Write a line to the log.
    Log {
        /// The notice.
        notice: Notice,
    },
}

/// A notice for the log. Its text is the line.
#[derive(Debug, Clone, PartialEq)]
pub enum Notice {
    /// This host's incarnation was too low, for instance because its clock went back.
    IncarnationRaised {
        /// The incarnation under which the host continues.
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
    /// Entries concern hosts that are not in the settings, or are too old.
    #[error("{entries} entries of unknown hosts, or too old")]
    Entries {
        /// Number of these entries.
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
