//! Why the leader rejects a call, or why a scheduled change lapses. Operators read the texts.

use crate::change::Subject;
use crate::errors::ChangeError;
use crate::records::Version;
use thiserror::Error;

/// Most changes that are decided and not yet persisted; more are rejected until some are.
pub const MAX_PENDING_COMMITS: usize = 4096;

#[derive(Debug, Clone, PartialEq, Error)]
pub(super) enum Rejection {
    #[error(transparent)]
    Change(#[from] ChangeError),
    /// Hosts may still know the former subject of this name.
    #[error("{subject} was before, and entry {} that ended it is not settled yet", .ended_at.0)]
    StillKnown { subject: Subject, ended_at: Version },
    #[error("too many changes wait for hosts that do not answer")]
    AuditLogFull,
    /// What speaks against the change, see [`crate::admission`].
    #[error("{0}")]
    Objections(String),
    #[error("{MAX_PENDING_COMMITS} changes wait to be kept; try again")]
    TooManyPending,
    #[error("changes wait to be kept; try again")]
    CommitsPending,
    #[error("this host is not in the settings")]
    UnknownHost,
    #[error("no host has followed anything that is not known here")]
    NotBehind,
    #[error("not kept: {reason}")]
    PersistFailed { reason: String },
    /// A scheduled change whose subject is not as its author knew it.
    #[error("{0} has changed since it was asked for")]
    Outdated(Subject),
}
