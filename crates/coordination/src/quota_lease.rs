//! Quota leases: hosts share one limit by quotas, and lease parts of them to each other; the sum of
//! all quotas never passes the whole limit.
//!
//! State machine, no I/O. [`crate::quotas`] owns one for each shared limit and calls
//! [`QuotaLeases::handle_message`] for what another host sent about it and
//! [`QuotaLeases::run_round`] at every round, both of which return the messages to send;
//! [`QuotaLeases::quota`] is what this host may use now. It is escrow (O'Neil 1986; bounded
//! counters, Balegas 2015) with leases (Gray and Cheriton 1989) in place of transfers, so that what
//! is leased returns by itself when it is not renewed.
//!
//! Why the sum stays within the limit, whatever messages arrive. Each host has a base quota, and
//! all base quotas add up to the whole limit at most. A lease leaves its lender before the borrower
//! learns of it, and returns `duration + margin` after the lender last granted it; the borrower
//! counts `duration` from when it sent the *request*, which was earlier. So no unit is used twice,
//! as long as clocks run apart by less than `margin` in one `duration`; messages that are lost,
//! doubled or late change only who waits. Four things could break it, each prevented by a rule:
//!
//! - a host that lost its memory does not know what it granted: until each sharer has sent that it
//!   uses nothing of an earlier incarnation, or until every such lease has run out, it uses only
//!   the reserve that is never leased;
//! - a grant by an earlier incarnation can arrive after its borrower has sent that it uses none,
//!   and one to an earlier incarnation after the borrower's restart: both are rejected by the
//!   incarnation;
//! - base quotas change with the number of sharers: what was borrowed under another number is void
//!   at once, what was granted under it stays granted to its end;
//! - two processes of one host: the earlier one uses nothing (see [`crate::gossip_state`]).
//!
//! What is leased is the rate of a limit and not its burst: each host's bucket has its own depth,
//! so all depths add up to the burst, nothing is ever filled by a lease, and a host that has leased
//! out nearly all can still serve at once what comes to it.
//!
//! Memory: [`MAX_LEASES`] leases granted and borrowed each, and as many pending requests.

use crate::borrowed_leases::{BorrowedLeases, Lender, OutgoingLeaseMessage, MAX_LEASES};
use crate::lease_message::{LeaseMessage, LeaseTerms, ReceivedLeaseMessage, WHOLE_LIMIT};
use crate::{HostNumber, Incarnation};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Less than this fraction of a base quota is not worth a lease. Harm: so much stays where it is
/// not needed.
const MIN_LEASE_DIVISOR: u32 = 8;
/// The fraction of a base quota that is never leased: what a host uses that does not know what it
/// granted.
const RESERVE_DIVISOR: u32 = 8;

/// Identifies a lease for its lender.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct LeaseKey {
    borrower: HostNumber,
    incarnation: Incarnation,
    lease: u64,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct GrantedLease {
    amount: u32,
    /// Among how many hosts the limit was shared then.
    sharers: u32,
    until: Duration,
}

/// What a host has leased, in fractions of [`WHOLE_LIMIT`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeasedAmounts {
    /// To others.
    pub granted: u32,
    /// From others.
    pub borrowed: u32,
}

/// One host's quota of one limit, with what it has granted and borrowed.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct QuotaLeases {
    me: HostNumber,
    incarnation: Incarnation,
    started_at: Duration,
    terms: LeaseTerms,
    sharers: BTreeSet<HostNumber>,
    /// Sharers that use nothing of an earlier incarnation of this host.
    cleared: BTreeSet<HostNumber>,
    /// The latest incarnation of each sharer that a message came from.
    incarnations: BTreeMap<HostNumber, Incarnation>,
    granted: BTreeMap<LeaseKey, GrantedLease>,
    borrowed: BorrowedLeases,
    demand: u32,
    /// Another, later process of this host is known.
    superseded: bool,
}

impl QuotaLeases {
    /// The state of a host that does not know what an earlier incarnation granted.
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
            granted: BTreeMap::new(),
            // A volume that goes and comes back begins anew in the same incarnation; numbers used
            // before it went must not be used again, or late answers to them would be taken for
            // answers to new requests.
            borrowed: BorrowedLeases::new(terms.duration, now.as_micros() as u64),
            demand: 0,
            superseded: false,
        }
    }

    /// This host's own quota where nothing is leased, in fractions of [`WHOLE_LIMIT`].
    pub fn base_quota(&self) -> u32 {
        if self.sharers.contains(&self.me) {
            WHOLE_LIMIT / self.sharers.len() as u32
        } else {
            0
        }
    }

    /// The hosts that share the limit.
    pub fn sharers(&self) -> &BTreeSet<HostNumber> {
        &self.sharers
    }

    /// What this host may use now, in fractions of [`WHOLE_LIMIT`].
    pub fn quota(&self, now: Duration) -> u32 {
        if self.superseded {
            0
        } else {
            self.own_remainder(now) + self.leased(now).borrowed
        }
    }

    /// What is leased now.
    pub fn leased(&self, now: Duration) -> LeasedAmounts {
        let granted = self.granted.values().filter(|lease| now < lease.until);
        LeasedAmounts {
            granted: granted.map(|lease| lease.amount).sum(),
            borrowed: self.borrowed.amount(now),
        }
    }

    /// When the quota next changes by itself.
    pub fn changes_at(&self, now: Duration) -> Option<Duration> {
        let granted = self.granted.values().map(|lease| lease.until);
        let recovers = (!self.knows_granted(now)).then(|| self.recovered_at());
        let ends = granted.chain(self.borrowed.ends()).chain(recovers);
        ends.filter(|at| *at > now).min()
    }

    /// When every lease of an earlier incarnation has run out.
    fn recovered_at(&self) -> Duration {
        self.started_at + self.terms.duration + self.terms.margin
    }

    /// Whether this host knows what it has granted.
    pub fn knows_granted(&self, now: Duration) -> bool {
        now >= self.recovered_at() || self.uncleared().next().is_none()
    }

    /// Other sharers that may use a lease of an earlier incarnation of this host.
    fn uncleared(&self) -> impl Iterator<Item = HostNumber> + '_ {
        let others = self.sharers.iter().filter(|host| **host != self.me);
        others.filter(|host| !self.cleared.contains(host)).copied()
    }

    /// Its base quota, less what is granted of it.
    fn own_remainder(&self, now: Duration) -> u32 {
        // A quota that is computed with fewer sharers may still be applied with more (the least of
        // all versions that may be in force), and what is granted is then a larger fraction of it.
        let sharers = self.sharers.len() as u64;
        let granted: u64 = self
            .granted
            .values()
            .filter(|lease| now < lease.until)
            .map(|lease| {
                let most_sharers = sharers.max(u64::from(lease.sharers));
                (u64::from(lease.amount) * most_sharers).div_ceil(sharers.max(1))
            })
            .sum();
        let remainder = u64::from(self.base_quota()).saturating_sub(granted) as u32;
        if self.knows_granted(now) {
            remainder
        } else {
            remainder.min(self.reserve())
        }
    }

    /// What is never leased.
    fn reserve(&self) -> u32 {
        self.base_quota() / RESERVE_DIVISOR
    }

    /// The smallest lease worth its messages.
    fn min_lease(&self) -> u32 {
        (self.base_quota() / MIN_LEASE_DIVISOR).max(1)
    }

    /// What it could lease to others beyond what it needs itself, in fractions of [`WHOLE_LIMIT`].
    pub fn spare(&self, now: Duration) -> u32 {
        if self.superseded || !self.knows_granted(now) {
            return 0;
        }
        let lendable = self.own_remainder(now).saturating_sub(self.reserve());
        let spare = lendable.min(self.quota(now).saturating_sub(self.demand));
        if spare < self.min_lease() || self.granted.len() >= MAX_LEASES {
            0
        } else {
            spare
        }
    }

    /// Sets how much of the whole limit this host could use, in fractions of [`WHOLE_LIMIT`].
    pub fn set_demand(&mut self, demand: u32) {
        self.demand = demand.min(WHOLE_LIMIT);
    }

    /// Sets whether a later process of this host is known, which alone may then use its quota.
    pub fn set_superseded(&mut self, superseded: bool) {
        self.superseded = superseded;
    }

    /// Sets the hosts that share the limit from now on.
    pub fn set_sharers(&mut self, sharers: BTreeSet<HostNumber>) {
        if sharers == self.sharers {
            return;
        }
        self.sharers = sharers;
        // Base quotas of another size: what was borrowed of them is void.
        self.borrowed.void_all();
    }

    /// Sets this host's own incarnation, after it has learned of one as late.
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
        let from = received.from;
        if !self.admits(&received) {
            return Vec::new();
        }
        let answer = match received.message {
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
            } => {
                let key = LeaseKey {
                    borrower: from,
                    incarnation: received.incarnation,
                    lease,
                };
                Some(self.handle_request(now, key, request, amount))
            }
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
                self.granted.remove(&LeaseKey {
                    borrower: from,
                    incarnation: received.incarnation,
                    lease,
                });
                None
            }
        };
        let answer = answer.map(|message| OutgoingLeaseMessage { to: from, message });
        answer.into_iter().collect()
    }

    /// Whether a message comes from another sharer's latest incarnation that shares the limit among
    /// as many hosts. What a sharer's earlier incarnation had granted is dropped.
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
            return false; // an earlier incarnation: too late for anything
        }
        if received.incarnation > *known {
            *known = received.incarnation;
            self.borrowed.void_from(from);
        }
        true
    }

    fn handle_request(
        &mut self,
        now: Duration,
        key: LeaseKey,
        request: u64,
        amount: u32,
    ) -> LeaseMessage {
        LeaseMessage::Grant {
            request,
            borrower_incarnation: key.incarnation,
            amount: self.grant(now, key, amount),
        }
    }

    /// Grants a new lease or renews one; returns the amount granted.
    fn grant(&mut self, now: Duration, key: LeaseKey, amount: u32) -> u32 {
        let until = now + self.terms.duration + self.terms.margin;
        let needs_own_quota = self.quota(now) < self.demand;
        let amount = amount.min(self.spare(now));
        let min_lease = self.min_lease();
        let granted = self.granted.get_mut(&key);
        if let Some(granted) = granted.filter(|lease| now < lease.until) {
            if needs_own_quota {
                // The lease runs out. Sending zero is safe: nothing changes by it.
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

    /// The round: drops what has run out, asks for what is needed, releases what is not, and
    /// returns the messages to send. `lenders` are what others last offered, the likeliest first.
    pub fn run_round(&mut self, now: Duration, lenders: &[Lender]) -> Vec<OutgoingLeaseMessage> {
        self.granted.retain(|_, lease| now < lease.until);
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
        // A little more than the demand stays borrowed, or what is released now would be asked for
        // in the next round.
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
