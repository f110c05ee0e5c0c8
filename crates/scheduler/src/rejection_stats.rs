//! Causes of rejected and failed requests, counted for operators. No decision reads them.

use crate::api::{BlockReason, RequestId, TrafficClassId};
use std::collections::BTreeMap;
use std::time::Duration;

/// Reason why a request was rejected or failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum RejectionReason {
    /// A rule or a limit of this host blocked it.
    Blocked(BlockReason),
    /// Nothing blocked it, but it could not be answered in time behind the requests that are sent first.
    QueuedTooLong,
    /// No node of the endpoint list holds its data.
    NoEndpoint,
    /// Its attempt failed, and no retry may follow.
    AttemptFailed,
}

/// The token bucket that would have covered the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum TokenSource {
    /// The volume's reservation.
    Reservation,
    /// The flow's fair share.
    Share,
    /// No bucket.
    Nothing,
}

/// Upper edges of the time ranges that [`RejectionCause::last_success`] distinguishes.
pub const LAST_SUCCESS_STEPS: [Duration; 4] = [
    Duration::from_millis(300),
    Duration::from_secs(1),
    Duration::from_secs(3),
    Duration::from_secs(10),
];

/// Cause of a rejection. Requests with the same cause are counted together.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct RejectionCause {
    /// The reason.
    pub reason: RejectionReason,
    /// Traffic class of the requests.
    pub traffic_class: TrafficClassId,
    /// The token bucket that would have covered them.
    pub token_source: TokenSource,
    /// Time since their node last completed an attempt, as the index of the first of [`LAST_SUCCESS_STEPS`]
    /// that is not exceeded; the length of the array if all are exceeded or the node never completed one.
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
