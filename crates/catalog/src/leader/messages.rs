//! The leader's input and output: events, actions, and the state that it starts with.
//!
//! Plain data: the I/O layer of the catalog service (the "shell") creates the events and performs
//! the actions.

use crate::admission::{AdmissionVerdict, ExclusionReason};
use crate::catalog::Catalog;
use crate::change::{Change, Revision};
use crate::feed::HostNumber;
use crate::records::{Name, Version};
use std::collections::BTreeMap;
use std::time::Duration;

/// Identifies a history of the catalog in which no revision was lost or replaced.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Epoch(pub u64);

/// Number of a call that has no response yet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// Changes that an operator proposes.
#[derive(Debug, Clone, PartialEq)]
pub struct Proposal {
    /// The operator.
    pub author: String,
    /// The operator's reason, as typed.
    pub reason: String,
    /// The version on which the author bases the changes.
    pub base_version: Version,
    /// The changes, which are applied together or not at all.
    pub changes: Vec<Change>,
    /// When to apply the changes, as wall-clock time since the Unix epoch. They are applied at once if
    /// this is `None` or in the past.
    pub at: Option<Duration>,
    /// Whether to apply the changes despite objections.
    pub force: bool,
    /// Whether the leader only evaluates the changes, without applying them.
    pub dry_run: bool,
}

/// An input of the leader.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// A host polls for revisions after `applied`, or for a stable version after `stable`.
    Polled {
        /// The number that the response refers to.
        call: CallId,
        /// The host.
        host: HostNumber,
        /// The epoch in which the host followed `applied`.
        epoch: Epoch,
        /// The newest version that the host has.
        applied: Version,
        /// The stable version that the host knows.
        stable: Version,
        /// The version of the host's last acknowledgement: `applied` in
        /// [`Event::Acknowledged`].
        acknowledged: Version,
    },
    /// A host acknowledges a version: it sends no more attempts that were decided on an older version.
    Acknowledged {
        /// The host.
        host: HostNumber,
        /// The epoch of the version.
        epoch: Epoch,
        /// The version that the host has persisted and follows.
        applied: Version,
    },
    /// An operator proposes changes.
    Proposed {
        /// The number that the response refers to.
        call: CallId,
        /// The proposed changes.
        proposal: Proposal,
    },
    /// An operator undoes a revision, which restores the former values of the subjects that it
    /// changed.
    Undo {
        /// The number that the response refers to.
        call: CallId,
        /// The operator.
        author: String,
        /// The operator's reason, as typed.
        reason: String,
        /// The version of the revision.
        revision: Version,
        /// Whether to apply the changes despite objections.
        force: bool,
    },
    /// An operator guarantees that a host sends no requests to nodes.
    HostRemoved {
        /// The number that the response refers to.
        call: CallId,
        /// The host.
        host: HostNumber,
        /// The operator.
        author: String,
    },
    /// An operator decides that the state here is authoritative, although hosts have followed a newer
    /// version.
    ForceEpoch {
        /// The number that the response refers to.
        call: CallId,
        /// The operator.
        author: String,
        /// The operator's reason, as typed.
        reason: String,
    },
    /// A caller has disconnected, so that its call needs no response.
    CallerDisconnected {
        /// The caller's call.
        call: CallId,
    },
    /// Hosts report whether a node is available: see
    /// [`crate::admission::Admission::set_unavailable`].
    NodeUnavailable {
        /// The node.
        node: u32,
        /// The reason why the node is unavailable, or `None` if it is available.
        how: Option<ExclusionReason>,
    },
    /// All writes up to a number are on the disk.
    Persisted {
        /// The number of a write in [`Action::Persist`].
        upto: u64,
    },
    /// A write failed. Neither it nor any later pending write is on the disk.
    PersistFailed {
        /// The number of the write in [`Action::Persist`].
        number: u64,
        /// The error from the disk, for operators.
        reason: String,
    },
}

/// A write to the disk. Each write is atomic, and writes are performed in order.
#[derive(Debug, Clone, PartialEq)]
pub enum Persist {
    /// A revision, and the state after it.
    Revision(Revision),
    /// The stable version.
    Stable(Version),
    /// The newest version that a host has acknowledged.
    Applied(HostNumber, Version),
    /// A revision that raises the version of the current state and starts a new epoch.
    EpochForced(Revision),
}

/// The response to a host's poll: all revisions after `from` and up to `to`, with a lease.
#[derive(Debug, Clone, PartialEq)]
pub struct Grant {
    /// The host's poll.
    pub call: CallId,
    /// The version that the revisions follow.
    pub from: Version,
    /// The last version to send.
    pub to: Version,
    /// Whether the host does not have `from`, so that the shell must first send the complete state at
    /// that version.
    pub snapshot: bool,
    /// The stable version.
    pub stable: Version,
    /// How long the host may follow these versions, counted from when it sent the poll.
    pub lease: Duration,
}

/// An output of the leader, which the shell performs.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Write to the disk. The shell may write several together.
    Persist {
        /// The number that [`Event::Persisted`] refers to; numbers are consecutive.
        number: u64,
        /// The data to write.
        what: Persist,
    },
    /// Respond to a host's poll.
    Grant(Grant),
    /// Report to a host that the leader is behind: some host has a version that is unknown here.
    Behind {
        /// The host's poll.
        call: CallId,
        /// The unknown version.
        applied: Version,
    },
    /// Report to an operator that the change is persisted.
    Committed {
        /// The operator's call.
        call: CallId,
        /// The version after the change.
        version: Version,
        /// The effect of the change on reservations.
        verdict: AdmissionVerdict,
    },
    /// Reject a call.
    Reject {
        /// The call.
        call: CallId,
        /// The reason, for operators.
        reason: String,
    },
    /// Report to an operator what effect a change would have.
    Preview {
        /// The operator's call.
        call: CallId,
        /// The effect of the change on reservations.
        verdict: AdmissionVerdict,
    },
    /// Write a line to the log.
    Log {
        /// The line.
        text: String,
    },
}

/// The persisted state with which a leader starts.
#[derive(Debug, Clone)]
pub struct InitialState {
    /// The catalog with its audit log.
    pub catalog: Catalog,
    /// The stable version.
    pub stable: Version,
    /// The newest version that each host had acknowledged. A host without an entry was never granted
    /// a lease.
    pub applied: BTreeMap<HostNumber, Version>,
    /// Names of all hosts, by their numbers.
    pub hosts: Vec<Name>,
    /// The current epoch.
    pub epoch: Epoch,
    /// Earlier epochs, each with the last version that belongs to this history.
    pub epochs: Vec<(Epoch, Version)>,
    /// The version at which an operator last forced a new epoch.
    pub epoch_forced_at: Version,
}
