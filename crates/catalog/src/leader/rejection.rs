//! Errors for which the leader rejects a call or cancels a scheduled change. The messages are shown
//! to operators.

use crate::change::Subject;
use crate::errors::ChangeError;
use crate::records::Version;
use thiserror::Error;

/// Maximum number of accepted revisions that are not yet persisted. Beyond it, the leader rejects
/// proposals until some are persisted. A larger number takes more memory when the disk is slow.
pub const MAX_PENDING_COMMITS: usize = 4096;

/// The reason for a rejection.
#[derive(Debug, Clone, PartialEq, Error)]
pub(super) enum Rejection {
    #[error(transparent)]
    Change(#[from] ChangeError),
    /// Hosts may still know a removed subject with the same name or number.
    #[error("{subject} was before, and entry {} that ended it is not settled yet", .ended_at.0)]
    StillKnown { subject: Subject, ended_at: Version },
    #[error("too many changes wait for hosts that do not answer")]
    AuditLogFull,
    /// Objections of [`crate::admission`].
    #[error("{0}")]
    Objections(String),
    #[error("{MAX_PENDING_COMMITS} changes are not yet written to disk, the maximum; try again")]
    TooManyPending,
    #[error("changes are not yet written to disk; try again")]
    CommitsPending,
    #[error("this host is not in the settings")]
    UnknownHost,
    #[error("a new epoch is not needed: no host has followed a version that is unknown here")]
    NotBehind,
    #[error("not kept: {reason}")]
    PersistFailed { reason: String },
    /// The subject of a scheduled change has changed since the author scheduled it.
    #[error("{0} has changed since it was asked for")]
    Outdated(Subject),
}
