//! Causes of rejected and failed requests, counted for operators. No decision reads them.

use crate::api::{BlockReason, RequestId, TrafficClassId};
use std::collections::BTreeMap;
use std::time::Duration;

/// Reason for which a request was rejected or failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum RejectionReason {
    /// A rule or a limit of this host blocked it.
    Blocked(BlockReason),
    /// Nothing blocked it, but it could not be in time behind the requests that go first.
    QueuedTooLong,
    /// No node of the endpoint list holds its data.
    NoEndpoint,
    /// Its attempt failed, and no retry may follow.
    AttemptFailed,
}

/// The bucket that would have paid for the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum PaidBy {
    /// The volume's reservation.
    Reservation,
    /// The flow's fair share.
    Share,
    /// No bucket.
    Nothing,
}

/// Upper edges of the ranges that [`RejectionCause::last_success`] counts.
pub const LAST_SUCCESS_STEPS: [Duration; 4] = [
    Duration::from_millis(300),
    Duration::from_secs(1),
    Duration::from_secs(3),
    Duration::from_secs(10),
];

/// Cause that the rejected requests of one count share.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct RejectionCause {
    /// The reason.
    pub reason: RejectionReason,
    /// Their traffic class.
    pub traffic_class: TrafficClassId,
    /// The bucket that would have paid.
    pub paid_by: PaidBy,
    /// Time since their node last completed an attempt: the index of the first of [`LAST_SUCCESS_STEPS`] that is
    /// not exceeded; their number if it never did.
    pub last_success: usize,
}

/// One request that was rejected or failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RejectedRequest {
    /// Its id.
    pub id: RequestId,
    /// Its cause.
    pub cause: RejectionCause,
}

/// Number of rejected and failed requests, by cause. Memory: one count for each cause that occurred.
pub type RejectionCounts = BTreeMap<RejectionCause, u64>;
