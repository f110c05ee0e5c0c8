//! Errors for which the leader rejects a call, or for which a scheduled change lapses. Operators
//! read the texts.

use crate::change::Subject;
use crate::errors::ChangeError;
use crate::records::Version;
use thiserror::Error;

/// Most revisions that are decided and not yet persisted. The leader rejects further proposals
/// until some are persisted. A larger number takes more memory when the disk is slow.
pub const MAX_PENDING_COMMITS: usize = 4096;

/// The reason for a rejection.
#[derive(Debug, Clone, PartialEq, Error)]
pub(super) enum Rejection {
    #[error(transparent)]
    Change(#[from] ChangeError),
    /// Hosts may still know the former subject of this name.
    #[error("{subject} was before, and entry {} that ended it is not settled yet", .ended_at.0)]
    StillKnown { subject: Subject, ended_at: Version },
    #[error("too many changes wait for hosts that do not answer")]
    AuditLogFull,
    /// Objections of [`crate::admission`].
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
    /// The subject of a scheduled change has changed since the author scheduled it.
    #[error("{0} has changed since it was asked for")]
    Outdated(Subject),
}
