//! The messages by which hosts lease parts of their quotas of one volume's limit.
//!
//! These types hold data only. Gossip messages carry the lease messages.

use crate::{HostNumber, Incarnation};
use std::time::Duration;

/// The amount that stands for a complete limit. Quotas and leases are integers in fractions of it, so that
/// sums are exact. Changing it changes the meaning of the messages between hosts.
pub const FULL_LIMIT: u32 = 1 << 20;

/// The duration of leases, and the margin for clock drift.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct LeaseTerms {
    /// How long a lease lasts for its borrower, counted from the request.
    pub duration: Duration,
    /// How much longer the lease lasts for its lender. The drift between the clocks of two hosts within one
    /// `duration` must stay below it; otherwise both use the same amount.
    pub margin: Duration,
}

/// A message about leases of one volume's limit. The borrower numbers its requests and leases.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum LeaseMessage {
    /// Requests a new lease, or the renewal of a lease.
    Request {
        /// The number of this request.
        request: u64,
        /// The number of the lease.
        lease: u64,
        /// The requested amount, in fractions of [`FULL_LIMIT`].
        amount: u32,
    },
    /// Answers a request. The duration of the lease counts from the time at which the borrower sent the
    /// request.
    Grant {
        /// The number of the request.
        request: u64,
        /// The borrower's incarnation in the request. Two incarnations of a borrower may use the same
        /// numbers. Without this field the later one could mistake a grant to the earlier one for the
        /// answer to its own request.
        borrower_incarnation: Incarnation,
        /// The granted amount. It is 0 if the request is rejected, or if the lender needs the amount itself
        /// and lets the lease expire.
        amount: u32,
    },
    /// The borrower no longer uses the lease.
    Release {
        /// The number of the lease.
        lease: u64,
    },
    /// Answers `Recovering`: the sender uses no lease that an earlier incarnation of the receiver granted.
    Cleared {
        /// The incarnation of the receiver that sent `Recovering`.
        recovering_incarnation: Incarnation,
    },
    /// The sender has restarted and does not know its granted leases. The receiver must drop the leases that
    /// earlier incarnations of the sender granted, and answer with `Cleared`.
    Recovering,
}

/// A lease message, with its sender and the sender's number of sharers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ReceivedLeaseMessage {
    /// The sender.
    pub from: HostNumber,
    /// The sender's incarnation.
    pub incarnation: Incarnation,
    /// The number of hosts that share the limit, as the sender knows it.
    pub sharers: u32,
    /// The message.
    pub message: LeaseMessage,
}
