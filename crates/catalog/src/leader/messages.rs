//! The leader's input and output: events, actions, and the state that it starts with.
//!
//! Plain data, made and carried out by the state service's shell. Owns no state.

use crate::admission::{AdmissionVerdict, ExclusionReason};
use crate::catalog::Catalog;
use crate::change::{Change, Revision};
use crate::feed::HostNumber;
use crate::records::{Name, Version};
use std::collections::BTreeMap;
use std::time::Duration;

/// One unbroken history of the catalog.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Epoch(pub u64);

/// Number of a call that waits for its answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// Changes as an operator asks for them.
#[derive(Debug, Clone, PartialEq)]
pub struct Proposal {
    /// Who asks.
    pub author: String,
    /// Why, in the author's words.
    pub reason: String,
    /// The version that the author looked at.
    pub base_version: Version,
    /// What is to change, as one.
    pub changes: Vec<Change>,
    /// When it is to land, since 1970 by the wall clock; None, or a time that has passed: now.
    pub at: Option<Duration>,
    /// Whether it lands whatever speaks against it.
    pub force: bool,
    /// Nothing is to land: the answer only says what would come of it.
    pub dry_run: bool,
}

/// What has happened.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// A host asks for what is new: revisions after `applied`, and a stable version beyond
    /// `stable`.
    Polled {
        /// To be answered by this number.
        call: CallId,
        /// Who asks.
        host: HostNumber,
        /// The epoch in which it followed what it has.
        epoch: Epoch,
        /// The newest version that it has.
        applied: Version,
        /// The stable version that it knows.
        stable: Version,
        /// As `applied` in [`Event::Acknowledged`].
        acknowledged: Version,
    },
    /// A host reports that nothing decided on an older version leaves it any more.
    Acknowledged {
        /// Which host.
        host: HostNumber,
        /// The epoch of the version.
        epoch: Epoch,
        /// The version that it has persisted and follows.
        applied: Version,
    },
    /// An operator proposes changes.
    Proposed {
        /// To be answered by this number.
        call: CallId,
        /// What is proposed.
        proposal: Proposal,
    },
    /// An operator asks to restore what a revision changed.
    Undo {
        /// To be answered by this number.
        call: CallId,
        /// Who asks.
        author: String,
        /// Why, in the author's words.
        reason: String,
        /// The version that the revision made.
        revision: Version,
        /// Whether it lands whatever speaks against it.
        force: bool,
    },
    /// An operator guarantees that a host sends nothing.
    HostRemoved {
        /// To be answered by this number.
        call: CallId,
        /// Which host.
        host: HostNumber,
        /// Who guarantees it.
        author: String,
    },
    /// An operator decides that the state here counts, though hosts have followed a newer one.
    ForceEpoch {
        /// To be answered by this number.
        call: CallId,
        /// Who decides.
        author: String,
        /// Why, in the author's words.
        reason: String,
    },
    /// A caller has gone: it gets no answer.
    CallerDisconnected {
        /// Its call.
        call: CallId,
    },
    /// What hosts observe of a node: see [`crate::admission::Admission::set_unavailable`].
    NodeUnavailable {
        /// Which node.
        node: u32,
        /// None: it is available.
        how: Option<ExclusionReason>,
    },
    /// Everything up to that number is on the disk.
    Persisted {
        /// As in [`Action::Persist`].
        upto: u64,
    },
    /// What had that number is not on the disk, and nothing after it that rests on it ever will be.
    PersistFailed {
        /// As in [`Action::Persist`].
        number: u64,
        /// The disk's fault.
        reason: String,
    },
}

/// What is to be on the disk, each all or nothing, and in order.
#[derive(Debug, Clone, PartialEq)]
pub enum Persist {
    /// A revision, and the state after it.
    Revision(Revision),
    /// The stable version.
    Stable(Version),
    /// The newest version that a host has acknowledged.
    Applied(HostNumber, Version),
    /// The present state under a version further on, which begins a new epoch.
    EpochForced(Revision),
}

/// What a host's poll is answered: all revisions after `from` and up to `to`, with a lease.
#[derive(Debug, Clone, PartialEq)]
pub struct Grant {
    /// The host's poll.
    pub call: CallId,
    /// The version that the revisions follow.
    pub from: Version,
    /// The last version to send.
    pub to: Version,
    /// The host does not have `from`: send it the whole state of that version first.
    pub snapshot: bool,
    /// The stable version.
    pub stable: Version,
    /// How long the host may follow this, from when it asked.
    pub lease: Duration,
}

/// What the shell has to do.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Write to the disk; several may be written together.
    Persist {
        /// Consecutive; [`Event::Persisted`] refers to it.
        number: u64,
        /// What to write.
        what: Persist,
    },
    /// Answer a host's poll.
    Grant(Grant),
    /// Tell a host that a host has a version which is not known here.
    Behind {
        /// The host's poll.
        call: CallId,
        /// That version.
        applied: Version,
    },
    /// Tell an operator that the change is persisted.
    Committed {
        /// The operator's call.
        call: CallId,
        /// The version that it made.
        version: Version,
        /// What was found of its effect on promises.
        verdict: AdmissionVerdict,
    },
    /// Tell a caller that nothing comes of its call.
    Reject {
        /// The call.
        call: CallId,
        /// Why, for operators to read.
        reason: String,
    },
    /// Tell an operator what would come of a change.
    Preview {
        /// The operator's call.
        call: CallId,
        /// What was found of its effect on promises.
        verdict: AdmissionVerdict,
    },
    /// Write a line to the log.
    Note {
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
    /// What hosts had acknowledged; one that is absent was never granted anything.
    pub applied: BTreeMap<HostNumber, Version>,
    /// Names of all hosts, by their numbers.
    pub hosts: Vec<Name>,
    /// The present epoch.
    pub epoch: Epoch,
    /// Earlier epochs, and up to which version each is part of this history.
    pub epochs: Vec<(Epoch, Version)>,
    /// The last version at which a new epoch was forced.
    pub epoch_forced_at: Version,
}
