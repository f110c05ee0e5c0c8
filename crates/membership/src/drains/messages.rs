//! The input and output of the membership: events and actions.
//!
//! Plain data: the catalog service makes the events and performs the actions. Owns no state.

use crate::answers::Answers;
use crate::list_reading::ListedState;
use grebecleat_catalog::admission::ExclusionReason;
use grebecleat_catalog::feed::HostNumber;
use grebecleat_catalog::records::{Drain, Name, Version};
use std::time::Duration;

/// One host's observation of a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
pub struct NodeObservation {
    /// The node's state in the host's endpoint list.
    pub listed: ListedState,
    /// The incarnation of the node's process that the list names.
    pub incarnation: u64,
    /// Time since that incarnation started; None: long ago.
    pub age: Option<Duration>,
    /// The revision of the endpoint list; 0: from the host's cache.
    pub revision: u64,
    /// The node's answers to the host.
    pub answers: Answers,
    /// The version of the catalog that the host followed when it counted its attempts.
    pub catalog_version: Version,
    /// Attempts in flight.
    pub attempts: u32,
    /// Longest remaining time at the node of attempts without a known outcome.
    pub unresolved_for: Duration,
    /// Extents that the host's portal knows to lie on the node; None: the host has no portal.
    pub extents: Option<u64>,
}

/// The facts of a node in the catalog.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Default)]
pub struct NodeFacts {
    /// The node's name.
    pub name: Name,
    /// The node's zone, which is a failure domain.
    pub zone: Name,
    /// The shard that the node serves.
    pub shard: u32,
}

/// The number of a proposal to the catalog.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ProposalId(pub u64);

/// An input of the membership.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// A node of the catalog, as it was persisted.
    Node {
        /// The node's number.
        node: u32,
        /// The node's facts; None: the node was removed from the catalog.
        to: Option<NodeFacts>,
    },
    /// A drain, as it was persisted.
    Drain {
        /// The node.
        node: u32,
        /// The drain; None: the drain has ended.
        to: Option<Drain>,
        /// The catalog's version with this change.
        version: Version,
    },
    /// The catalog is persisted up to that version.
    Persisted {
        /// The persisted version.
        version: Version,
    },
    /// A host has acknowledged the catalog: it sends no more attempts decided on an older version.
    Acknowledged {
        /// The host.
        host: HostNumber,
        /// The acknowledged version; None: the host never acknowledged one.
        version: Option<Version>,
    },
    /// An operator guarantees that a host sends nothing, until the host connects or acknowledges
    /// again.
    HostRemoved {
        /// The host.
        host: HostNumber,
    },
    /// A host is connected.
    HostConnected {
        /// The host.
        host: HostNumber,
        /// The incarnation of the host's process.
        incarnation: u64,
    },
    /// A host's connection is lost.
    HostDisconnected {
        /// The host.
        host: HostNumber,
    },
    /// A host reports its observation of a node.
    Observed {
        /// The host.
        host: HostNumber,
        /// The node.
        node: u32,
        /// The observation.
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
        /// The reason of the rejection.
        reason: String,
    },
}

/// An output of the membership.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Propose a change of a drain to the catalog.
    Propose {
        /// The number that the event of the outcome refers to.
        proposal: ProposalId,
        /// The node.
        node: u32,
        /// The proposed drain; None: the end of the drain.
        to: Option<Drain>,
        /// The version of the catalog on which the proposal is based.
        base_version: Version,
        /// The reason, for the audit log.
        reason: String,
    },
    /// Report to admission whether a node counts as unavailable.
    SetExclusion {
        /// The node.
        node: u32,
        /// The reason why the node is unavailable; None: the node is available.
        reason: Option<ExclusionReason>,
    },
    /// Notify operators of a change of a node.
    Notify {
        /// The node.
        node: u32,
        /// The notice.
        text: String,
    },
}
