//! What was rejected or failed and why, counted for operators. Nothing is decided by it.

use crate::api::{BlockReason, RequestId, TrafficClassId};
use std::collections::BTreeMap;
use std::time::Duration;

/// Why a request was rejected or failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum RejectionReason {
    /// Something of this host's own kept it from going.
    Blocked(BlockReason),
    /// Nothing did, but it could not be in time behind what goes first.
    QueuedTooLong,
    /// No node of the endpoint list has its data.
    NoEndpoint,
    /// An attempt of it ended badly, and no other may follow.
    AttemptFailed,
}

/// The bucket that would have paid for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum PaidBy {
    /// The volume's reservation.
    Reservation,
    /// The flow's fair share.
    Share,
    /// None.
    Nothing,
}

/// Upper edges of the steps by which [`RejectionCause::last_success`] counts.
pub const LAST_SUCCESS_STEPS: [Duration; 4] = [
    Duration::from_millis(300),
    Duration::from_secs(1),
    Duration::from_secs(3),
    Duration::from_secs(10),
];

/// What rejected requests of one count have in common.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct RejectionCause {
    /// Why.
    pub reason: RejectionReason,
    /// Their traffic class.
    pub traffic_class: TrafficClassId,
    /// The bucket that would have paid.
    pub paid_by: PaidBy,
    /// How long ago their node last answered well: the index of the first of [`LAST_SUCCESS_STEPS`] that is
    /// not passed, and their number where it never did.
    pub last_success: usize,
}

/// One request that was rejected or failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RejectedRequest {
    /// Its id.
    pub id: RequestId,
    /// Why.
    pub cause: RejectionCause,
}

/// How many requests were rejected or failed, by cause. Memory: one count for each cause that was met.
pub type RejectionCounts = BTreeMap<RejectionCause, u64>;
