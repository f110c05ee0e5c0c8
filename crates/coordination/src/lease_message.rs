//! The messages of hosts about the quotas of one volume's limit.
//!
//! Plain data for the quota leases, the gossip messages that carry it, and the tests.

use crate::{HostNumber, Incarnation};
use std::time::Duration;

/// The amount of a complete limit. Quotas and leases are integer fractions of it, so that sums are
/// exact. The number is part of the messages between hosts.
pub const FULL_LIMIT: u32 = 1 << 20;

/// The duration of leases, and the greatest drift of clocks within it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct LeaseTerms {
    /// How long a lease lasts for its borrower, counted from its request.
    pub duration: Duration,
    /// How much longer the lease lasts for its lender. The drift of clocks within one `duration`
    /// must stay below it; otherwise two hosts use the same amount.
    pub margin: Duration,
}

/// A message about one volume's quotas. Requests and leases are numbered by the borrower.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum LeaseMessage {
    /// Requests a new lease, or the renewal of a lease.
    Request {
        /// Number of this request.
        request: u64,
        /// Number of the lease.
        lease: u64,
        /// The requested amount, in fractions of [`FULL_LIMIT`].
        amount: u32,
    },
    /// Answers a request. The borrower has the amount from the time at which it sent the request.
    Grant {
        /// Number of the request.
        request: u64,
        /// The borrower's incarnation. Two incarnations of a borrower use the same numbers. Without
        /// this field the later one could take a grant to the earlier one for the answer to its own
        /// later request.
        borrower_incarnation: Incarnation,
        /// The granted amount. 0: the request is rejected, or the lender needs the amount itself
        /// and lets the lease expire.
        amount: u32,
    },
    /// The borrower no longer uses the lease.
    Release {
        /// Number of the lease.
        lease: u64,
    },
    /// The sender uses no lease that an earlier incarnation of the receiver granted.
    Cleared {
        /// The receiver's incarnation that has recovered.
        recovered_incarnation: Incarnation,
    },
    /// The sender has started without its memory. A host that uses a lease of an earlier
    /// incarnation of the sender must drop that lease and answer with `Cleared`.
    Recovered,
}

/// A lease message with its sender, and with the number of hosts among which the sender shares the
/// limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ReceivedLeaseMessage {
    /// The sender.
    pub from: HostNumber,
    /// The sender's incarnation.
    pub incarnation: Incarnation,
    /// Number of hosts that share the limit, as the sender knows it.
    pub sharers: u32,
    /// The message.
    pub message: LeaseMessage,
}
