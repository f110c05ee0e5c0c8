//! A follower's input and output: events, actions, and the state that it starts with.
//!
//! Plain data, made and carried out by the host's shell. Owns no state.

use crate::catalog::Catalog;
use crate::change::{Change, Revision};
use crate::feed::Quota;
use crate::leader::{CallId, Epoch};
use crate::records::{Name, Plan, Version};
use std::time::Duration;

/// What an answer of the leader carries.
#[derive(Debug, Clone, PartialEq)]
pub enum Update {
    /// The revisions after what this host has.
    Revisions(Vec<Revision>),
    /// The whole state at a stable version, and the revisions after it.
    Snapshot {
        /// The version of the state.
        at: Version,
        /// Everything that this host needs of it.
        state: Vec<Change>,
        /// What followed.
        revisions: Vec<Revision>,
    },
}

/// What has happened.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// There is a connection to the leader.
    Up,
    /// There is none any more.
    Down,
    /// The leader answers a poll with what is new, and a lease.
    Granted {
        /// The poll.
        call: CallId,
        /// The leader's epoch.
        epoch: Epoch,
        /// The version that the update leads to.
        version: Version,
        /// The stable version.
        stable: Version,
        /// How long the host may follow it, from when it asked.
        lease: Duration,
        /// What is new.
        update: Update,
    },
    /// The leader does not know a version that some host has.
    Behind {
        /// The poll.
        call: CallId,
    },
    /// The leader rejects a poll.
    PollRejected {
        /// The poll.
        call: CallId,
        /// Why, for operators to read.
        reason: String,
    },
    /// A request is on the disk.
    Persisted {
        /// As in [`PersistRequest`].
        number: u64,
    },
    /// The last request is not.
    PersistFailed {
        /// The disk's fault.
        reason: String,
    },
}

/// What is to be on the disk, all of it or nothing.
#[derive(Debug, Clone, PartialEq)]
pub struct PersistRequest {
    /// [`Event::Persisted`] refers to it.
    pub number: u64,
    /// The epoch of the versions.
    pub epoch: Epoch,
    /// The stable version.
    pub stable: Version,
    /// Revisions to add, with the changes that restore what was before.
    pub revisions: Vec<Revision>,
    /// The present state is to replace all that is stored, since steps are missing there.
    pub snapshot: bool,
}

/// On what terms this host serves a volume.
#[derive(Debug, Clone, PartialEq)]
pub struct Terms {
    /// Name of its plan.
    pub plan: Name,
    /// Through how many hosts it is served.
    pub hosts: usize,
    /// Whether this host is one of them.
    pub mine: bool,
    /// This host's part of the limit; None: no limit.
    pub quota: Option<Quota>,
}

/// What the shell has to do.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Ask the leader for what is new.
    Poll {
        /// The answer refers to it.
        call: CallId,
        /// The epoch of the versions.
        epoch: Epoch,
        /// The newest version that this host has.
        applied: Version,
        /// The stable version that it knows.
        stable: Version,
        /// As `applied` in [`Action::Acknowledge`].
        acknowledged: Version,
    },
    /// Tell the leader that nothing decided on an older version leaves this host any more.
    Acknowledge {
        /// The epoch of the version.
        epoch: Epoch,
        /// The version that is persisted and followed.
        applied: Version,
    },
    /// Write to the disk.
    Persist(PersistRequest),
    /// A plan has new values; its limit is in the terms of each volume.
    Plan {
        /// Its name.
        name: Name,
        /// Its values.
        plan: Plan,
    },
    /// A volume has new terms.
    Volume {
        /// Its number.
        id: u64,
        /// None: it does not exist, or is not served here.
        terms: Option<Terms>,
    },
    /// Write a line to the log.
    Note {
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
