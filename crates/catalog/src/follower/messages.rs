//! A follower's input and output: events, actions, and the state that it starts with.
//!
//! Plain data: the host's I/O layer (the "shell") creates the events and performs the actions.

use crate::catalog::Catalog;
use crate::change::{Change, Revision};
use crate::feed::Quota;
use crate::leader::{CallId, Epoch};
use crate::records::{Name, Plan, Version};
use std::time::Duration;

/// The content of the leader's response to a poll.
#[derive(Debug, Clone, PartialEq)]
pub enum Update {
    /// The revisions after this host's version.
    Revisions(Vec<Revision>),
    /// The complete state at a stable version, and the revisions after it.
    Snapshot {
        /// The version of the state.
        at: Version,
        /// The part of the state that this host needs.
        state: Vec<Change>,
        /// The revisions after the state.
        revisions: Vec<Revision>,
    },
}

/// An input of the follower.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// A connection to the leader was established.
    Up,
    /// The connection to the leader was lost.
    Down,
    /// The leader grants a lease, with an update.
    Granted {
        /// The poll.
        call: CallId,
        /// The leader's epoch.
        epoch: Epoch,
        /// The version that the update leads to.
        version: Version,
        /// The stable version.
        stable: Version,
        /// How long the host may follow the version, counted from when it sent the poll.
        lease: Duration,
        /// The changes since the host's version.
        update: Update,
    },
    /// The leader is behind: it does not know a version that some host has.
    Behind {
        /// The poll.
        call: CallId,
    },
    /// The leader rejects a poll.
    PollRejected {
        /// The poll.
        call: CallId,
        /// The reason, for operators.
        reason: String,
    },
    /// A write is on the disk.
    Persisted {
        /// The number of the [`PersistRequest`].
        number: u64,
    },
    /// The last write failed.
    PersistFailed {
        /// The error from the disk, for operators.
        reason: String,
    },
}

/// An atomic write to the disk.
#[derive(Debug, Clone, PartialEq)]
pub struct PersistRequest {
    /// The number that [`Event::Persisted`] refers to.
    pub number: u64,
    /// The epoch of the versions.
    pub epoch: Epoch,
    /// The stable version.
    pub stable: Version,
    /// Revisions to add, each with the changes that restore the state before it.
    pub revisions: Vec<Revision>,
    /// Whether the current state must replace all that is stored, because revisions are missing there.
    pub snapshot: bool,
}

/// The terms on which this host serves a volume.
#[derive(Debug, Clone, PartialEq)]
pub struct Terms {
    /// Name of the volume's plan.
    pub plan: Name,
    /// Number of hosts through which the volume is served.
    pub hosts: usize,
    /// Whether the volume is served through this host.
    pub served_here: bool,
    /// This host's part of the limit, or `None` if the volume has no limit.
    pub quota: Option<Quota>,
}

/// An output of the follower, which the shell performs.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Poll the leader.
    Poll {
        /// The number that the response refers to.
        call: CallId,
        /// The epoch of the versions.
        epoch: Epoch,
        /// The newest version that this host has.
        applied: Version,
        /// The stable version that this host knows.
        stable: Version,
        /// The version of the last acknowledgement: `applied` in [`Action::Acknowledge`].
        acknowledged: Version,
    },
    /// Acknowledge a version to the leader: this host sends no more attempts that were decided on an
    /// older version.
    Acknowledge {
        /// The epoch of the version.
        epoch: Epoch,
        /// The version that this host has persisted and follows.
        applied: Version,
    },
    /// Write to the disk.
    Persist(PersistRequest),
    /// A plan has new values. The part of the limit that this host may use is in the terms of each
    /// volume.
    Plan {
        /// The plan's name.
        name: Name,
        /// The plan's values.
        plan: Plan,
    },
    /// A volume has new terms.
    Volume {
        /// The volume's number.
        id: u64,
        /// The new terms, or `None` if the volume does not exist or is not served through this host.
        terms: Option<Terms>,
    },
    /// Write a line to the log.
    Log {
        /// The line.
        text: String,
    },
}

/// The persisted state with which a follower starts.
#[derive(Debug, Clone, Default)]
pub struct InitialState {
    /// The catalog with revisions that are not stable.
    pub catalog: Catalog,
    /// The stable version.
    pub stable: Version,
    /// The epoch of the versions.
    pub epoch: Epoch,
}
