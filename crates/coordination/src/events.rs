//! What goes into the fleet's state machine and what comes out of it.
//!
//! Plain data: a host turns what happens into [`Event`]s, and carries out the [`Action`]s of
//! [`crate::coordinator`].

use crate::lease_message::LeaseTerms;
use crate::outlier_detection::EndpointPolicy;
use crate::HostNumber;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// The figures of the settings for the fleet.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Rules {
    /// Between two gossip rounds.
    pub interval: Duration,
    /// For how long quotas are leased.
    pub leases: LeaseTerms,
}

/// What has happened.
#[derive(Debug, Clone)]
pub enum Event {
    /// A peer's message has arrived.
    MessageReceived {
        /// The sender.
        from: HostNumber,
        /// How long it was on the way, as far as that is known.
        waited: Duration,
        /// The encoded message.
        bytes: Vec<u8>,
    },
    /// The nodes of the endpoint list that are to be used, with the starts of their processes.
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
        /// How many.
        units: f64,
    },
    /// A volume was served units here.
    UnitsServed {
        /// The volume's number.
        volume: u64,
        /// How many.
        units: f64,
    },
    /// The sharers or the limit of a volume have changed.
    VolumeChanged {
        /// The volume's number.
        volume: u64,
        /// The hosts through which it works; none: it has no limit, or no longer works here.
        sharers: BTreeSet<HostNumber>,
        /// The whole limit, in units a second.
        limit: f64,
    },
}

/// What to do.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Send a message to a peer; it may be lost, doubled, late or reordered.
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
        /// How many times its base quota this host may use; 0: nothing.
        times: f64,
    },
    /// Treat a node in another way.
    PolicyChanged {
        /// The node's number.
        node: u32,
        /// How to treat it.
        policy: EndpointPolicy,
    },
    /// Write a line to the log.
    Log {
        /// The line.
        text: String,
    },
}
