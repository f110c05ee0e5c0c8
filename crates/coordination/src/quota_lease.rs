//! Quota leases: each host that shares a limit has a quota of it, and hosts lease parts of their quotas
//! to each other. The sum of all quotas never exceeds the limit.
//!
//! [`QuotaLeases`] is a state machine without I/O; [`crate::quotas`] owns one for each shared limit. It
//! calls [`QuotaLeases::handle_message`] with each message of another host about the limit, and
//! [`QuotaLeases::run_round`] in every round. Both return the messages to send.
//! [`QuotaLeases::quota`] is the quota that this host may use now. The method is escrow (O'Neil 1986;
//! bounded counters, Balegas 2015), with leases (Gray and Cheriton 1989) in place of transfers: a
//! leased amount returns to its lender without a message if the lease is not renewed.
//!
//! # Why the sum never exceeds the limit, whatever messages arrive
//!
//! Each host has a base quota, and all base quotas add up to at most the limit. The lender stops using a
//! leased amount before the borrower learns of the lease. The lender uses it again `duration + margin`
//! after it last granted the lease. The borrower stops using it `duration` after it sent the *request*,
//! which is earlier. Therefore no unit is used twice if two clocks drift apart by less than `margin`
//! within one `duration`. Lost, duplicated or late messages only affect which host has to wait. Four
//! events could break this argument, and a rule handles each:
//!
//! - A host that has restarted does not know its granted leases. It uses only the reserve, which is
//!   never leased, until each sharer has sent `Cleared`, or until every lease of an earlier incarnation
//!   has expired. `Cleared` states that its sender uses no lease of an earlier incarnation of the
//!   receiver.
//! - A grant by an earlier incarnation may arrive after its borrower has sent `Cleared`, and a grant to
//!   an earlier incarnation may arrive after the borrower's restart. The messages contain the
//!   incarnations, so that the receiver rejects both.
//! - Base quotas change with the number of sharers. Leases that were borrowed with another number of
//!   sharers are dropped at once. Leases that were granted with it remain granted until they expire.
//! - Two processes of one host may run. The superseded one uses no quota (see [`crate::gossip_state`]).
//!
//! A lease concerns only the rate of a limit, not its burst. Each host's token bucket has its own depth,
//! and all depths add up to the burst. A lease adds no tokens to a bucket. A host that has leased out
//! nearly its complete quota can still serve a burst at once.
//!
//! The state takes at most [`MAX_LEASES`] granted leases, as many borrowed ones, and as many pending
//! requests.

use crate::borrowed_leases::{BorrowedLeases, Lender, OutgoingLeaseMessage, MAX_LEASES};
use crate::granted_leases::{GrantedLease, GrantedLeases, LeaseKey};
use crate::lease_message::{LeaseMessage, LeaseTerms, ReceivedLeaseMessage, FULL_LIMIT};
use crate::{HostNumber, Incarnation};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// The smallest lease is the base quota divided by this number. A larger divisor costs messages for small
/// leases; with a smaller one larger amounts stay unused at hosts that do not need them.
const MIN_LEASE_DIVISOR: u32 = 8;
/// The reserve is the base quota divided by this number. It is never leased, and is the quota of a host
/// that does not know its granted leases. A larger divisor leaves less to such a host; a smaller one
/// leaves less to lease.
const RESERVE_DIVISOR: u32 = 8;

/// The amounts that a host has leased, in fractions of [`FULL_LIMIT`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeasedAmounts {
    /// The amount that the host has granted to other hosts.
    pub granted: u32,
    /// The amount that the host has borrowed from other hosts.
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
    /// The sharers that have confirmed that they use no lease of an earlier incarnation of this host.
    cleared: BTreeSet<HostNumber>,
    /// The latest known incarnation of each sharer that has sent a message.
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
            // A volume that is removed and added again gets a new state in the same incarnation. Its
            // numbers begin at the present time, so that it never uses a former number again;
            // otherwise late answers to former requests would count as answers to new ones.
            borrowed: BorrowedLeases::new(terms.duration, now.as_micros() as u64),
            demand: 0,
            superseded: false,
        }
    }

    /// Returns this host's quota without leases, in fractions of [`FULL_LIMIT`].
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
            self.unleased_quota(now) + self.leased(now).borrowed
        }
    }

    /// Returns the amounts of all unexpired leases.
    pub fn leased(&self, now: Duration) -> LeasedAmounts {
        LeasedAmounts {
            granted: self.granted.amount(now),
            borrowed: self.borrowed.amount(now),
        }
    }

    /// Returns when the quota next changes without a message.
    pub fn next_change_at(&self, now: Duration) -> Option<Duration> {
        let recovery = (!self.knows_granted(now)).then(|| self.recovered_at());
        let expiries = self
            .granted
            .expiry_times()
            .chain(self.borrowed.expiry_times());
        let changes = expiries.chain(recovery);
        changes.filter(|at| *at > now).min()
    }

    /// Returns when every lease that an earlier incarnation granted has expired.
    fn recovered_at(&self) -> Duration {
        self.started_at + self.terms.duration + self.terms.margin
    }

    /// Returns whether this host knows all unexpired leases that any of its incarnations has granted.
    pub fn knows_granted(&self, now: Duration) -> bool {
        now >= self.recovered_at() || self.uncleared().next().is_none()
    }

    /// Returns the other sharers that may still use a lease of an earlier incarnation of this host.
    fn uncleared(&self) -> impl Iterator<Item = HostNumber> + '_ {
        let others = self.sharers.iter().filter(|host| **host != self.me);
        others.filter(|host| !self.cleared.contains(host)).copied()
    }

    /// Returns the part of the base quota that is not granted to others, or the reserve if this host does
    /// not know its granted leases.
    fn unleased_quota(&self, now: Duration) -> u32 {
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

    /// Returns the amount of the smallest lease that is worth the cost of its messages.
    fn min_lease(&self) -> u32 {
        (self.base_quota() / MIN_LEASE_DIVISOR).max(1)
    }

    /// Returns the amount that this host does not need and could lease to others, in fractions of
    /// [`FULL_LIMIT`].
    pub fn spare(&self, now: Duration) -> u32 {
        if self.superseded || !self.knows_granted(now) {
            return 0;
        }
        let lendable = self.unleased_quota(now).saturating_sub(self.reserve());
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

    /// Sets whether a later process of this host is known. If so, only that process may use the quota.
    pub fn set_superseded(&mut self, superseded: bool) {
        self.superseded = superseded;
    }

    /// Sets the hosts that share the limit from now on.
    pub fn set_sharers(&mut self, sharers: BTreeSet<HostNumber>) {
        if sharers == self.sharers {
            return;
        }
        self.sharers = sharers;
        // The base quotas have changed, so the borrowed leases are no longer valid.
        self.borrowed.drop_all();
    }

    /// Sets this host's own incarnation after it was raised.
    pub fn set_incarnation(&mut self, incarnation: Incarnation) {
        self.incarnation = incarnation;
        // Grants to requests of the earlier incarnation must be ignored.
        self.borrowed.drop_requests();
    }

    /// Handles a message of another host, and returns the answers.
    pub fn handle_message(
        &mut self,
        now: Duration,
        received: ReceivedLeaseMessage,
    ) -> Vec<OutgoingLeaseMessage> {
        if !self.accepts(&received) {
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

    /// Handles an accepted message, and returns the answer to it.
    fn answer(&mut self, now: Duration, received: ReceivedLeaseMessage) -> Option<LeaseMessage> {
        let from = received.from;
        let key = |lease| LeaseKey {
            borrower: from,
            incarnation: received.incarnation,
            lease,
        };
        match received.message {
            LeaseMessage::Recovering => {
                self.borrowed.drop_from(from);
                Some(LeaseMessage::Cleared {
                    recovering_incarnation: received.incarnation,
                })
            }
            LeaseMessage::Cleared {
                recovering_incarnation,
            } => {
                if recovering_incarnation == self.incarnation {
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

    /// Returns whether a message comes from the latest known incarnation of another sharer that knows the
    /// same number of sharers. If the sender's incarnation is new, drops the leases that earlier
    /// incarnations of the sender granted.
    fn accepts(&mut self, received: &ReceivedLeaseMessage) -> bool {
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
            self.borrowed.drop_from(from);
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
                // The lease is not renewed and expires. A grant of 0 does not shorten it.
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

    /// Runs a round: drops expired leases, releases leases that are not needed, requests missing amounts,
    /// and returns the messages to send. `lenders` contains the latest offers of other hosts, the preferred
    /// ones first.
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
                message: LeaseMessage::Recovering,
            }));
        }
        let quota = self.quota(now);
        let min_lease = self.min_lease();
        // Retains slightly more than the demand; otherwise the next round would request the released
        // amount again.
        let retained = self.base_quota().max(self.demand.saturating_add(min_lease));
        out.extend(self.borrowed.release(quota.saturating_sub(retained)));
        let missing = self.demand.saturating_sub(quota);
        let lenders = lenders
            .iter()
            .filter(|lender| self.sharers.contains(&lender.host));
        let requests = self.borrowed.request(now, missing, min_lease, lenders);
        out.extend(requests);
        out
    }
}
