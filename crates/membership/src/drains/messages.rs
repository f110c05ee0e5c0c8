//! What the membership is told, and what it wants done.

use crate::answers::Answers;
use crate::list_reading::ListedState;
use grebecleat_catalog::admission::ExclusionReason;
use grebecleat_catalog::feed::HostNumber;
use grebecleat_catalog::records::{Drain, Name, Version};
use std::time::Duration;

/// What one host observes of a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
pub struct NodeObservation {
    /// What its endpoint list says.
    pub listed: ListedState,
    /// Which incarnation of the node's process that is about.
    pub incarnation: u64,
    /// Time since that incarnation started; None: long ago.
    pub age: Option<Duration>,
    /// The revision of the endpoint list; 0: from the host's cache.
    pub revision: u64,
    /// How the node answers the host.
    pub answers: Answers,
    /// The version of the catalog that the host followed when it counted its attempts.
    pub catalog_version: Version,
    /// Attempts that were sent and have not ended.
    pub attempts: u32,
    /// For how long attempts that ended without an answer may still run at the node.
    pub unresolved_for: Duration,
    /// Extents that its portal knows to lie there; None: it has no portal.
    pub extents: Option<u64>,
}

/// What the catalog says of a node.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Default)]
pub struct NodeFacts {
    /// Its name.
    pub name: Name,
    /// The zone that it fails with.
    pub zone: Name,
    /// The shard that it serves.
    pub shard: u32,
}

/// The number of a proposal to the catalog.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ProposalId(pub u64);

/// What has happened.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// A node of the catalog, as it was persisted.
    Node {
        /// Its number.
        node: u32,
        /// None: it was removed.
        to: Option<NodeFacts>,
    },
    /// A drain, as it was persisted.
    Drain {
        /// The node.
        node: u32,
        /// None: the drain has ended.
        to: Option<Drain>,
        /// The catalog's version with this change.
        version: Version,
    },
    /// The catalog is persisted up to that version.
    Persisted {
        /// That version.
        version: Version,
    },
    /// A host has acknowledged the catalog, and sends nothing any more that an older version
    /// decided.
    Acknowledged {
        /// The host.
        host: HostNumber,
        /// Up to which version; None: it was never heard of.
        version: Option<Version>,
    },
    /// An operator vouches that this host sends nothing, until it is heard of again.
    HostRemoved {
        /// The host.
        host: HostNumber,
    },
    /// A host is connected.
    HostConnected {
        /// The host.
        host: HostNumber,
        /// Which incarnation of its process it is.
        incarnation: u64,
    },
    /// A host is not connected any more.
    HostDisconnected {
        /// The host.
        host: HostNumber,
    },
    /// A host reports what it observes of a node.
    Observed {
        /// The host.
        host: HostNumber,
        /// The node.
        node: u32,
        /// What it observes.
        observation: NodeObservation,
    },
    /// A proposal was committed.
    Committed {
        /// The proposal.
        proposal: ProposalId,
    },
    /// A proposal was rejected.
    Rejected {
        /// The proposal.
        proposal: ProposalId,
        /// Why.
        reason: String,
    },
}

/// What is to be done.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Propose a change of a drain to the catalog.
    Propose {
        /// The number under which its outcome is to be told.
        proposal: ProposalId,
        /// The node.
        node: u32,
        /// The drain as it is to be; None: it is to end.
        to: Option<Drain>,
        /// The version of the catalog that the proposal rests on.
        base_version: Version,
        /// Why, for the audit log.
        reason: String,
    },
    /// Tell admission whether a node counts as unavailable.
    SetExclusion {
        /// The node.
        node: u32,
        /// Why it is unavailable; None: it is available.
        reason: Option<ExclusionReason>,
    },
    /// Tell operators what has become of a node.
    Notify {
        /// The node.
        node: u32,
        /// What to tell.
        text: String,
    },
}
