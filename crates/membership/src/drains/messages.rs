//! The input and output of the membership state machine: events and actions.
//!
//! The catalog service creates the events and performs the actions.

use crate::answers::ResponseHealth;
use crate::list_entry::ListedState;
use grebecleat_catalog::admission::ExclusionReason;
use grebecleat_catalog::feed::HostNumber;
use grebecleat_catalog::records::{Drain, Name, Version};
use std::time::Duration;

/// One host's observation of a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
pub struct NodeObservation {
    /// The node's state in the endpoint list that the host has.
    pub listed: ListedState,
    /// The incarnation of the node's process that the list refers to.
    pub incarnation: u64,
    /// Time since that incarnation started. `None` if it started long ago.
    pub age: Option<Duration>,
    /// The revision of the endpoint list; 0 for a list from the host's cache.
    pub revision: u64,
    /// How well the node responds to the host's attempts.
    pub answers: ResponseHealth,
    /// The version of the catalog that the host had applied when it counted its attempts.
    pub catalog_version: Version,
    /// Number of the host's attempts in flight at the node.
    pub attempts: u32,
    /// Longest time for which attempts without a known outcome may still run at the node.
    pub unresolved_for: Duration,
    /// Number of extents on the node that the host's iSCSI portal knows of. `None` if the host has no
    /// portal.
    pub extents: Option<u64>,
}

/// The attributes of a node in the catalog.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Default)]
pub struct NodeAttributes {
    /// The node's name.
    pub name: Name,
    /// The node's zone, which is a failure domain.
    pub zone: Name,
    /// The shard that the node serves.
    pub shard: u32,
}

/// The number of a proposal to the catalog, which its outcome refers to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ProposalId(pub u64);

/// An input of the membership state machine.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// A change of a node in the catalog was persisted.
    Node {
        /// The node's number.
        node: u32,
        /// The node's new attributes. `None` if the node was removed from the catalog.
        to: Option<NodeAttributes>,
    },
    /// A change of a drain in the catalog was persisted.
    Drain {
        /// The number of the drained node.
        node: u32,
        /// The new drain. `None` if the drain has ended.
        to: Option<Drain>,
        /// The version of the catalog that contains this change.
        version: Version,
    },
    /// The catalog was persisted up to a version.
    Persisted {
        /// The persisted version.
        version: Version,
    },
    /// A host has acknowledged a version of the catalog. From then on it sends no attempt that was
    /// decided on an older version.
    Acknowledged {
        /// The host.
        host: HostNumber,
        /// The acknowledged version. `None` if the host never acknowledged one.
        version: Option<Version>,
    },
    /// An operator guarantees that a host sends nothing. The guarantee ends when the host connects
    /// or acknowledges again.
    HostRemoved {
        /// The host.
        host: HostNumber,
    },
    /// A host has connected to the catalog service.
    HostConnected {
        /// The host.
        host: HostNumber,
        /// The incarnation of the host's process.
        incarnation: u64,
    },
    /// A host's connection was lost.
    HostDisconnected {
        /// The host.
        host: HostNumber,
    },
    /// A host reports its observation of a node.
    Observed {
        /// The host.
        host: HostNumber,
        /// The number of the observed node.
        node: u32,
        /// The observation, which replaces the host's former observation of the node.
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
        /// The reason for the rejection.
        reason: String,
    },
}

/// An output of the membership state machine, to be performed by its caller.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Propose a change of a drain to the catalog.
    Propose {
        /// The number that [`Event::Committed`] or [`Event::Rejected`] refers to.
        proposal: ProposalId,
        /// The number of the drained node.
        node: u32,
        /// The proposed drain. `None` proposes to end the drain.
        to: Option<Drain>,
        /// The version of the catalog on which the proposal is based.
        base_version: Version,
        /// The reason for the change, for the audit log.
        reason: String,
    },
    /// Tell admission whether a node counts as unavailable.
    SetExclusion {
        /// The node's number.
        node: u32,
        /// The reason why the node is unavailable. `None` if it is available.
        reason: Option<ExclusionReason>,
    },
    /// Notify operators that a node's status or drain has changed.
    Notify {
        /// The node's number.
        node: u32,
        /// The text of the notice.
        text: String,
    },
}
