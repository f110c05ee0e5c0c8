//! A volume, as one host serves it.

use crate::api::{LimitQuota, PlanId, VolumeTerms};
use crate::scheduler::ReservationShare;
use crate::token_bucket::TokenBucket;

/// A volume's terms and token buckets. Units; rates are units a second.
#[derive(Debug)]
pub struct Volume {
    /// Its plan.
    pub plan: PlanId,
    /// Number of hosts that receive its requests.
    pub hosts: usize,
    /// This host's part of the reservation.
    pub reservation: ReservationShare,
    /// This host's quota of the limit; None: no limit.
    limit: Option<TokenBucket>,
}

impl Volume {
    /// `reservation`: of the plan, over all hosts. The quota of a limit starts empty, since a host that starts,
    /// or that begins to serve the volume, cannot know which units were drawn before. Harm: the first bursts are
    /// slow.
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

    /// Returns whether the limit has fewer tokens than that.
    pub fn limit_is_below(&self, units: f64) -> bool {
        let limit = self.limit.as_ref();
        limit.is_some_and(|limit| limit.level() < units)
    }

    /// Draws units from the limit.
    pub fn draw_limit(&mut self, units: f64) {
        if let Some(limit) = &mut self.limit {
            limit.take(units);
        }
    }

    /// Returns units to the limit that were drawn and not used.
    pub fn refund_limit(&mut self, units: f64) {
        if let Some(limit) = &mut self.limit {
            limit.refund(units);
        }
    }

    /// Adds the tokens of so many seconds.
    pub fn refill(&mut self, seconds: f64) {
        self.reservation.refill(seconds);
        if let Some(limit) = &mut self.limit {
            limit.refill(seconds);
        }
    }

    /// Sets new terms. The tokens or the debt of the limit's bucket stay, cut to its depth.
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
