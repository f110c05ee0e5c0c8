//! What hosts send each other about the quotas of one volume's limit.
//!
//! Plain data, used by the quota leases, the gossip messages that carry it and the tests.

use crate::{HostNumber, Incarnation};
use std::time::Duration;

/// A whole limit; quotas and leases are counted in fractions of it, so that sums are exact.
pub const WHOLE_LIMIT: u32 = 1 << 20;

/// For how long quotas are leased, and by how much clocks may run apart in that time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct LeaseTerms {
    /// How long a lease lasts for its borrower, from its request.
    pub duration: Duration,
    /// How much longer it lasts for its lender: the drift of clocks within one `duration` must stay
    /// below it.
    pub margin: Duration,
}

/// A message about one volume's quotas. Requests and leases are numbered by the borrower.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum LeaseMessage {
    /// Asks for a new lease, or for the renewal of one.
    Request {
        /// Number of this request.
        request: u64,
        /// Number of the lease.
        lease: u64,
        /// How much is asked for, in fractions of [`WHOLE_LIMIT`].
        amount: u32,
    },
    /// Answers a request: the borrower has the amount from when it sent the request.
    Grant {
        /// Number of the request.
        request: u64,
        /// The borrower's incarnation. Two incarnations use the same numbers, and a grant to the
        /// earlier one would count from a time before the later one's request.
        borrower_incarnation: Incarnation,
        /// What is granted; 0: nothing, or the lender needs it itself and lets the lease run out.
        amount: u32,
    },
    /// The borrower no longer uses the lease.
    Release {
        /// Number of the lease.
        lease: u64,
    },
    /// The sender uses nothing that an earlier incarnation of the receiver granted.
    Cleared {
        /// The receiver's incarnation that has recovered.
        recovered_incarnation: Incarnation,
    },
    /// The sender has started without its memory: whoever uses a lease of an earlier incarnation
    /// must drop it and answer with `Cleared`.
    Recovered,
}

/// A lease message with its sender and the number of hosts that the sender shares the limit among.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ReceivedLeaseMessage {
    /// The sender.
    pub from: HostNumber,
    /// The sender's incarnation.
    pub incarnation: Incarnation,
    /// How many hosts share the limit, as the sender knows it.
    pub sharers: u32,
    /// What it sent.
    pub message: LeaseMessage,
}
