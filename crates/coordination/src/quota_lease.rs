//! Quota leases: hosts share one limit by quotas, and lease parts of their quotas to each other.
//! The sum of all quotas never exceeds the limit.
//!
//! State machine, no I/O. [`crate::quotas`] owns one for each shared limit. It calls
//! [`QuotaLeases::handle_message`] with each message of another host about the limit, and
//! [`QuotaLeases::run_round`] in every round. Both return the messages to send.
//! [`QuotaLeases::quota`] is the quota that this host may use now. The method is escrow (O'Neil
//! 1986; bounded counters, Balegas 2015) with leases (Gray and Cheriton 1989) in place of
//! transfers: a lease that is not renewed returns to its lender without a message.
//!
//! # Why the sum stays within the limit, whatever messages arrive
//!
//! Each host has a base quota. All base quotas add up to at most the limit. The lender stops using
//! a leased amount before the borrower learns of the lease. The lender uses it again `duration +
//! margin` after it last granted the lease. The borrower counts `duration` from when it sent the
//! *request*, which was earlier. Therefore no unit is used twice, if clocks run apart by less than
//! `margin` in one `duration`. Messages that are lost, duplicated or late change only which host
//! waits. Four events could break this argument. A rule prevents each:
//!
//! - A host that lost its memory does not know its granted leases. It uses only the reserve, which
//!   is never leased, until each sharer has sent `Cleared`, or until every lease of an earlier
//!   incarnation has expired. `Cleared` states that its sender uses no lease of an earlier
//!   incarnation of the receiver.
//! - A grant by an earlier incarnation can arrive after its borrower has sent `Cleared`. A grant to
//!   an earlier incarnation can arrive after the borrower's restart. The incarnation in the
//!   messages makes the receiver reject both.
//! - Base quotas change with the number of sharers. Leases that were borrowed under another number
//!   are void at once. Leases that were granted under it stay granted to their end.
//! - Two processes of one host may run. The earlier one uses nothing (see [`crate::gossip_state`]).
//!
//! A lease concerns the rate of a limit and not its burst. Each host's token bucket has its own
//! depth, and all depths add up to the burst. No lease ever fills a bucket. A host that has leased
//! out nearly its complete quota can still serve a burst at once.
//!
//! Memory: [`MAX_LEASES`] granted leases and as many borrowed ones, and as many pending requests.

use crate::borrowed_leases::{BorrowedLeases, Lender, OutgoingLeaseMessage, MAX_LEASES};
use crate::granted_leases::{GrantedLease, GrantedLeases, LeaseKey};
use crate::lease_message::{LeaseMessage, LeaseTerms, ReceivedLeaseMessage, FULL_LIMIT};
use crate::{HostNumber, Incarnation};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// The fraction of a base quota that is the smallest lease. A larger divisor costs messages for
/// small leases; a smaller one leaves that fraction with hosts that do not need it.
const MIN_LEASE_DIVISOR: u32 = 8;
/// The fraction of a base quota that is never leased: the quota of a host that does not know its
/// granted leases. A larger divisor leaves less to such a host; a smaller one leaves less to lease.
const RESERVE_DIVISOR: u32 = 8;

/// The amounts that a host has leased, in fractions of [`FULL_LIMIT`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeasedAmounts {
    /// The amount that it has granted to other hosts.
    pub granted: u32,
    /// The amount that it has borrowed from other hosts.
    pub borrowed: u32,
}

/// One host's quota of one limit, with its granted and borrowed leases.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct QuotaLeases {
    me: HostNumber,
    incarnation: Incarnation,
    started_at: Duration,
    terms: LeaseTerms,
    sharers: BTreeSet<HostNumber>,
    /// Sharers that use no lease of an earlier incarnation of this host.
    cleared: BTreeSet<HostNumber>,
    /// The latest incarnation of each sharer from which a message has arrived.
    incarnations: BTreeMap<HostNumber, Incarnation>,
    granted: GrantedLeases,
    borrowed: BorrowedLeases,
    /// The amount that this host could use, in fractions of [`FULL_LIMIT`].
    demand: u32,
    /// A later process of this host is known.
    superseded: bool,
}

impl QuotaLeases {
    /// Returns the state of a host that does not know the leases of its earlier incarnations.
    pub fn new(
        now: Duration,
        me: HostNumber,
        incarnation: Incarnation,
        terms: LeaseTerms,
        sharers: BTreeSet<HostNumber>,
    ) -> Self {
        QuotaLeases {
            me,
            incarnation,
            started_at: now,
            terms,
            sharers,
            cleared: BTreeSet::new(),
            incarnations: BTreeMap::new(),
            granted: GrantedLeases::default(),
            // A volume that is removed and added again starts with a new state in the same
            // incarnation. It must not use its former numbers again; otherwise late answers to
            // them would count as answers to new requests.
            borrowed: BorrowedLeases::new(terms.duration, now.as_micros() as u64),
            demand: 0,
            superseded: false,
        }
    }

    /// Returns this host's quota without any lease, in fractions of [`FULL_LIMIT`].
    pub fn base_quota(&self) -> u32 {
        if self.sharers.contains(&self.me) {
            FULL_LIMIT / self.sharers.len() as u32
        } else {
            0
        }
    }

    /// Returns the hosts that share the limit.
    pub fn sharers(&self) -> &BTreeSet<HostNumber> {
        &self.sharers
    }

    /// Returns the quota that this host may use now, in fractions of [`FULL_LIMIT`].
    pub fn quota(&self, now: Duration) -> u32 {
        if self.superseded {
            0
        } else {
            self.own_remainder(now) + self.leased(now).borrowed
        }
    }

    /// Returns the amounts that are leased now.
    pub fn leased(&self, now: Duration) -> LeasedAmounts {
        LeasedAmounts {
            granted: self.granted.amount(now),
            borrowed: self.borrowed.amount(now),
        }
    }

    /// Returns when the quota next changes without a message.
    pub fn changes_at(&self, now: Duration) -> Option<Duration> {
        let recovers = (!self.knows_granted(now)).then(|| self.recovered_at());
        let ends = self.granted.ends().chain(self.borrowed.ends());
        let ends = ends.chain(recovers);
        ends.filter(|at| *at > now).min()
    }

    /// Returns when every lease of an earlier incarnation has expired.
    fn recovered_at(&self) -> Duration {
        self.started_at + self.terms.duration + self.terms.margin
    }

    /// Returns whether this host knows all leases that its incarnations have granted.
    pub fn knows_granted(&self, now: Duration) -> bool {
        now >= self.recovered_at() || self.uncleared().next().is_none()
    }

    /// Returns the other sharers that may use a lease of an earlier incarnation of this host.
    fn uncleared(&self) -> impl Iterator<Item = HostNumber> + '_ {
        let others = self.sharers.iter().filter(|host| **host != self.me);
        others.filter(|host| !self.cleared.contains(host)).copied()
    }

    /// Returns the base quota minus the granted leases.
    fn own_remainder(&self, now: Duration) -> u32 {
        let sharers = self.sharers.len() as u64;
        let granted = self.granted.amount_among(now, sharers);
        let remainder = u64::from(self.base_quota()).saturating_sub(granted) as u32;
        if self.knows_granted(now) {
            remainder
        } else {
            remainder.min(self.reserve())
        }
    }

    /// Returns the amount that is never leased.
    fn reserve(&self) -> u32 {
        self.base_quota() / RESERVE_DIVISOR
    }

    /// Returns the amount of the smallest lease that is worth its messages.
    fn min_lease(&self) -> u32 {
        (self.base_quota() / MIN_LEASE_DIVISOR).max(1)
    }

    /// Returns the amount beyond its own need that this host could lease to others, in fractions of
    /// [`FULL_LIMIT`].
    pub fn spare(&self, now: Duration) -> u32 {
        if self.superseded || !self.knows_granted(now) {
            return 0;
        }
        let lendable = self.own_remainder(now).saturating_sub(self.reserve());
        let spare = lendable.min(self.quota(now).saturating_sub(self.demand));
        if spare < self.min_lease() || self.granted.is_full() {
            0
        } else {
            spare
        }
    }

    /// Sets the amount that this host could use, in fractions of [`FULL_LIMIT`].
    pub fn set_demand(&mut self, demand: u32) {
        self.demand = demand.min(FULL_LIMIT);
    }

    /// Sets whether a later process of this host is known. Only that process may then use the
    /// quota.
    pub fn set_superseded(&mut self, superseded: bool) {
        self.superseded = superseded;
    }

    /// Sets the hosts that share the limit from now on.
    pub fn set_sharers(&mut self, sharers: BTreeSet<HostNumber>) {
        if sharers == self.sharers {
            return;
        }
        self.sharers = sharers;
        // The base quotas now have another size, so borrowed leases are void.
        self.borrowed.void_all();
    }

    /// Sets this host's own incarnation, after it was raised.
    pub fn set_incarnation(&mut self, incarnation: Incarnation) {
        self.incarnation = incarnation;
        // Grants to requests of the earlier incarnation are rejected.
        self.borrowed.drop_requests();
    }

    /// Handles a message of another host, and returns the answers.
    pub fn handle_message(
        &mut self,
        now: Duration,
        received: ReceivedLeaseMessage,
    ) -> Vec<OutgoingLeaseMessage> {
        if !self.admits(&received) {
            return Vec::new();
        }
        let sender = received.from;
        let answer = self.answer(now, received);
        let answer = answer.map(|message| OutgoingLeaseMessage {
            to: sender,
            message,
        });
        answer.into_iter().collect()
    }

    /// Handles an admitted message, and returns the answer to it.
    fn answer(&mut self, now: Duration, received: ReceivedLeaseMessage) -> Option<LeaseMessage> {
        let from = received.from;
        let key = |lease| LeaseKey {
            borrower: from,
            incarnation: received.incarnation,
            lease,
        };
        match received.message {
            LeaseMessage::Recovered => {
                self.borrowed.void_from(from);
                Some(LeaseMessage::Cleared {
                    recovered_incarnation: received.incarnation,
                })
            }
            LeaseMessage::Cleared {
                recovered_incarnation,
            } => {
                if recovered_incarnation == self.incarnation {
                    self.cleared.insert(from);
                }
                None
            }
            LeaseMessage::Request {
                request,
                lease,
                amount,
            } => Some(LeaseMessage::Grant {
                request,
                borrower_incarnation: received.incarnation,
                amount: self.grant(now, key(lease), amount),
            }),
            LeaseMessage::Grant {
                request,
                borrower_incarnation,
                amount,
            } => {
                if borrower_incarnation == self.incarnation {
                    self.borrowed.handle_grant(now, from, request, amount);
                }
                None
            }
            LeaseMessage::Release { lease } => {
                self.granted.remove(&key(lease));
                None
            }
        }
    }

    /// Returns whether a message comes from the latest incarnation of another sharer, and that
    /// sharer shares the limit among the same number of hosts. Drops the leases that an earlier
    /// incarnation of the sharer granted.
    fn admits(&mut self, received: &ReceivedLeaseMessage) -> bool {
        let from = received.from;
        if from == self.me
            || !self.sharers.contains(&from)
            || received.sharers as usize != self.sharers.len()
        {
            return false;
        }
        let known = self
            .incarnations
            .entry(from)
            .or_insert(received.incarnation);
        if received.incarnation < *known {
            return false;
        }
        if received.incarnation > *known {
            *known = received.incarnation;
            self.borrowed.void_from(from);
        }
        true
    }

    /// Grants a new lease or renews one. Returns the granted amount; 0 if the request is rejected.
    fn grant(&mut self, now: Duration, key: LeaseKey, amount: u32) -> u32 {
        let until = now + self.terms.duration + self.terms.margin;
        let needs_own_quota = self.quota(now) < self.demand;
        let amount = amount.min(self.spare(now));
        let min_lease = self.min_lease();
        if let Some(granted) = self.granted.get_mut(now, &key) {
            if needs_own_quota {
                // The lease expires at its end. A grant of zero is safe: it changes nothing.
                return 0;
            }
            granted.until = until;
            return granted.amount;
        }
        if amount < min_lease {
            return 0;
        }
        let granted = GrantedLease {
            amount,
            sharers: self.sharers.len() as u32,
            until,
        };
        self.granted.insert(key, granted);
        amount
    }

    /// Runs a round: drops expired leases, requests missing amounts, releases leases that are not
    /// needed, and returns the messages to send. `lenders`: the latest offers of other hosts, the
    /// preferred first.
    pub fn run_round(&mut self, now: Duration, lenders: &[Lender]) -> Vec<OutgoingLeaseMessage> {
        self.granted.drop_expired(now);
        self.borrowed.drop_expired(now);
        let mut out = Vec::new();
        if self.superseded || self.base_quota() == 0 {
            return out;
        }
        if !self.knows_granted(now) {
            let uncleared = self.uncleared().take(MAX_LEASES);
            out.extend(uncleared.map(|to| OutgoingLeaseMessage {
                to,
                message: LeaseMessage::Recovered,
            }));
        }
        let quota = self.quota(now);
        let min_lease = self.min_lease();
        // Retains slightly more than the demand; otherwise the next round would request the
        // released amount again.
        let enough = self.base_quota().max(self.demand.saturating_add(min_lease));
        out.extend(self.borrowed.release(quota.saturating_sub(enough)));
        let missing = self.demand.saturating_sub(quota);
        let lenders = lenders
            .iter()
            .filter(|lender| self.sharers.contains(&lender.host));
        let requests = self.borrowed.request(now, missing, min_lease, lenders);
        out.extend(requests);
        out
    }
}
