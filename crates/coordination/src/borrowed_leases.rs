//! The borrower's side of the leases of one limit: the borrowed leases, and the pending requests.
//!
//! A state machine without I/O, which [`crate::quota_lease`] owns. It stores at most [`MAX_LEASES`]
//! leases and as many pending requests.

use crate::lease_message::LeaseMessage;
use crate::HostNumber;
use std::collections::BTreeMap;
use std::time::Duration;

/// The maximum number of leases of one limit that a host grants, and that it borrows. A larger number costs
/// memory and messages; with a smaller one a host cannot use the spare amounts of many lenders.
pub const MAX_LEASES: usize = 64;
/// The maximum number of hosts from which one round requests new leases. A larger number costs messages; a
/// smaller one delays the use of small spare amounts.
const MAX_LENDERS_PER_ROUND: usize = 8;
/// A request without an answer is dropped after the lease duration divided by this number. A larger
/// divisor drops requests whose answers are late; a smaller one delays the next request.
const REQUEST_TIMEOUT_DIVISOR: u32 = 4;
/// A lease is renewed when its remaining time is at most the lease duration divided by this number. A
/// larger divisor leaves less time to repeat a lost renewal; a smaller one costs messages.
const RENEWAL_DIVISOR: u32 = 2;

/// A host that could lease a part of its quota of one limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Lender {
    /// The host that offers the amount.
    pub host: HostNumber,
    /// The spare amount that it last reported, in fractions of
    /// [`crate::lease_message::FULL_LIMIT`].
    pub spare: u32,
}

/// A lease message to send, with its receiver.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OutgoingLeaseMessage {
    /// The receiver.
    pub to: HostNumber,
    /// The message.
    pub message: LeaseMessage,
}

/// A borrowed lease.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct BorrowedLease {
    lender: HostNumber,
    /// The amount, in fractions of [`crate::lease_message::FULL_LIMIT`].
    amount: u32,
    /// When the lease expires for the borrower.
    until: Duration,
}

/// A request that waits for an answer.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct PendingRequest {
    lender: HostNumber,
    /// The number of the new or renewed lease.
    lease: u64,
    sent_at: Duration,
}

/// A request that is about to be sent.
#[derive(Debug, Clone, Copy)]
struct LeaseRequest {
    lender: HostNumber,
    lease: u64,
    amount: u32,
}

/// The leases of one limit that one host has borrowed.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct BorrowedLeases {
    /// How long a lease lasts, counted from its request.
    duration: Duration,
    /// The borrowed leases by their numbers.
    leases: BTreeMap<u64, BorrowedLease>,
    /// The requests that wait for an answer, by their numbers.
    requests: BTreeMap<u64, PendingRequest>,
    /// The last number that was assigned to a lease or a request.
    last_number: u64,
}

impl BorrowedLeases {
    /// Returns a state without leases. The first number that it assigns is `last_number + 1`.
    pub fn new(duration: Duration, last_number: u64) -> Self {
        BorrowedLeases {
            duration,
            leases: BTreeMap::new(),
            requests: BTreeMap::new(),
            last_number,
        }
    }

    /// Returns the sum of the borrowed amounts.
    pub fn amount(&self, now: Duration) -> u32 {
        let leases = self.leases.values().filter(|lease| now < lease.until);
        leases.map(|lease| lease.amount).sum()
    }

    /// Returns the times at which the leases expire.
    pub fn expiry_times(&self) -> impl Iterator<Item = Duration> + '_ {
        self.leases.values().map(|lease| lease.until)
    }

    /// Drops all leases and requests.
    pub fn drop_all(&mut self) {
        self.leases.clear();
        self.requests.clear();
    }

    /// Drops all pending requests, so that answers to them are ignored.
    pub fn drop_requests(&mut self) {
        self.requests.clear();
    }

    /// Drops the leases of a lender, and the requests to it.
    pub fn drop_from(&mut self, lender: HostNumber) {
        self.leases.retain(|_, lease| lease.lender != lender);
        self.requests.retain(|_, request| request.lender != lender);
    }

    /// Drops expired leases and requests.
    pub fn drop_expired(&mut self, now: Duration) {
        let request_timeout = self.duration / REQUEST_TIMEOUT_DIVISOR;
        self.leases.retain(|_, lease| now < lease.until);
        self.requests
            .retain(|_, request| now < request.sent_at + request_timeout);
    }

    /// Handles the answer to a request. `amount` is 0 if the request is rejected.
    pub fn handle_grant(&mut self, now: Duration, lender: HostNumber, request: u64, amount: u32) {
        let pending = self.requests.remove(&request);
        let Some(pending) = pending.filter(|pending| pending.lender == lender) else {
            return;
        };
        let until = pending.sent_at + self.duration;
        if amount == 0 || now >= until {
            return;
        }
        let lease = self.leases.get_mut(&pending.lease);
        if let Some(lease) = lease.filter(|lease| now < lease.until) {
            // Grants may arrive in another order, so a grant never shortens a lease.
            lease.until = until.max(lease.until);
            lease.amount = amount.min(lease.amount);
            return;
        }
        let lease = BorrowedLease {
            lender,
            amount,
            until,
        };
        self.leases.insert(pending.lease, lease);
    }

    /// Releases leases whose amounts together do not exceed `surplus`, and returns the messages to send.
    pub fn release(&mut self, mut surplus: u32) -> Vec<OutgoingLeaseMessage> {
        let mut released = Vec::new();
        for (lease, borrowed) in &self.leases {
            if borrowed.amount <= surplus {
                surplus -= borrowed.amount;
                released.push((*lease, borrowed.lender));
            }
        }
        let mut out = Vec::new();
        for (lease, lender) in released {
            // The lease is dropped before the message is sent, so that the lender never uses the amount
            // again while the borrower still does.
            self.leases.remove(&lease);
            self.requests.retain(|_, request| request.lease != lease);
            out.push(OutgoingLeaseMessage {
                to: lender,
                message: LeaseMessage::Release { lease },
            });
        }
        out
    }

    /// Requests renewals, and new leases for the `missing` amount. Returns the messages to send. No new lease
    /// is smaller than `min_lease`. `lenders` contains the preferred lenders first.
    pub fn request<'a>(
        &mut self,
        now: Duration,
        missing: u32,
        min_lease: u32,
        lenders: impl Iterator<Item = &'a Lender>,
    ) -> Vec<OutgoingLeaseMessage> {
        let mut requests = self.renewals(now);
        let mut pending = self.requests.values();
        let is_pending = pending.any(|request| !self.leases.contains_key(&request.lease));
        if missing >= min_lease && !is_pending {
            requests.extend(self.new_leases(missing, min_lease, lenders));
        }
        let mut out = Vec::new();
        for request in requests {
            self.last_number += 1;
            let pending = PendingRequest {
                lender: request.lender,
                lease: request.lease,
                sent_at: now,
            };
            self.requests.insert(self.last_number, pending);
            out.push(OutgoingLeaseMessage {
                to: request.lender,
                message: LeaseMessage::Request {
                    request: self.last_number,
                    lease: request.lease,
                    amount: request.amount,
                },
            });
        }
        out
    }

    /// Returns renewals of the leases whose remaining time is at most half their duration.
    fn renewals(&self, now: Duration) -> Vec<LeaseRequest> {
        let due_before = now + self.duration / RENEWAL_DIVISOR;
        let is_requested =
            |lease: u64| self.requests.values().any(|request| request.lease == lease);
        self.leases
            .iter()
            .filter(|(lease, borrowed)| due_before >= borrowed.until && !is_requested(**lease))
            .map(|(lease, borrowed)| LeaseRequest {
                lender: borrowed.lender,
                lease: *lease,
                amount: borrowed.amount,
            })
            .collect()
    }

    /// Returns requests for new leases, which distribute the missing amount over the lenders.
    fn new_leases<'a>(
        &mut self,
        mut missing: u32,
        min_lease: u32,
        lenders: impl Iterator<Item = &'a Lender>,
    ) -> Vec<LeaseRequest> {
        let capacity = MAX_LEASES.saturating_sub(self.leases.len());
        let mut requests = Vec::new();
        for lender in lenders.take(MAX_LENDERS_PER_ROUND.min(capacity)) {
            let amount = missing.min(lender.spare);
            if amount >= min_lease {
                self.last_number += 1;
                missing -= amount;
                requests.push(LeaseRequest {
                    lender: lender.host,
                    lease: self.last_number,
                    amount,
                });
            }
        }
        requests
    }
}
