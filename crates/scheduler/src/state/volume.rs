//! A volume, as one host serves it.

use crate::api::{LimitQuota, PlanId, VolumeTerms};
use crate::scheduler::ReservationShare;
use crate::token_bucket::TokenBucket;

/// A volume's terms and token buckets. Amounts are in units, rates in units per second.
#[derive(Debug)]
pub struct Volume {
    /// Its plan.
    pub plan: PlanId,
    /// Number of hosts that receive its requests.
    pub hosts: usize,
    /// This host's share of the reservation.
    pub reservation: ReservationShare,
    /// Token bucket of this host's quota of the limit; `None` if the volume has no limit.
    limit: Option<TokenBucket>,
}

impl Volume {
    /// `reservation`: the plan's reservation, over all hosts. The limit's quota starts empty, because a host
    /// that starts, or that begins to serve the volume, cannot know which units were drawn before. The cost
    /// is that the first bursts are slow.
    pub fn new(terms: VolumeTerms, reservation: f64) -> Self {
        let mut volume = Volume {
            plan: terms.plan,
            hosts: terms.hosts,
            reservation: ReservationShare::new(reservation, terms.hosts),
            limit: None,
        };
        volume.set_terms(terms);
        volume
    }

    /// Returns whether the limit has fewer tokens than `units`.
    pub fn limit_has_less_than(&self, units: f64) -> bool {
        let limit = self.limit.as_ref();
        limit.is_some_and(|limit| limit.level() < units)
    }

    /// Draws units from the limit.
    pub fn draw_limit(&mut self, units: f64) {
        if let Some(limit) = &mut self.limit {
            limit.take(units);
        }
    }

    /// Puts units back into the limit that were drawn and not used.
    pub fn refund_limit(&mut self, units: f64) {
        if let Some(limit) = &mut self.limit {
            limit.refund(units);
        }
    }

    /// Adds the tokens of `seconds` seconds to all token buckets.
    pub fn refill(&mut self, seconds: f64) {
        self.reservation.refill(seconds);
        if let Some(limit) = &mut self.limit {
            limit.refill(seconds);
        }
    }

    /// Sets new terms. The limit's bucket keeps its tokens, up to its new depth, or its debt.
    pub fn set_terms(&mut self, terms: VolumeTerms) {
        self.plan = terms.plan;
        self.hosts = terms.hosts;
        self.limit = terms.limit.map(|LimitQuota { rate, burst }| {
            let mut limit = self
                .limit
                .take()
                .unwrap_or_else(|| TokenBucket::new(rate, burst, 0.0));
            limit.reconfigure(rate, burst);
            limit
        });
    }
}
