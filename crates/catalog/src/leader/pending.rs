//! What the leader waits for: writes that the disk has not answered, and polls that are not
//! answered.
//!
//! Plain data, owned by [`crate::leader`].

use super::messages::CallId;
use crate::admission::AdmissionVerdict;
use crate::feed::HostNumber;
use crate::records::Version;
use std::time::Duration;

/// A revision that is applied and not yet persisted.
#[derive(Debug)]
pub(super) struct PendingCommit {
    pub number: u64,
    pub version: Version,
    pub call: Option<CallId>,
    pub verdict: AdmissionVerdict,
    /// At which version a new epoch was last forced before it.
    pub epoch_forced_at: Version,
}

/// A stable version that is not yet persisted.
#[derive(Debug)]
pub(super) struct PendingStable {
    pub number: u64,
    pub version: Version,
}

/// What a host has acknowledged, not yet persisted.
#[derive(Debug)]
pub(super) struct PendingApplied {
    pub host: HostNumber,
    pub version: Version,
}

/// A host's poll that is not yet answered.
#[derive(Debug, Clone, Copy)]
pub(super) struct PendingPoll {
    pub call: CallId,
    pub applied: Version,
    pub stable: Version,
    pub since: Duration,
    /// The host has followed another history, up to that version: it gets the whole state once that
    /// lies further on.
    pub foreign_version: Option<Version>,
}
