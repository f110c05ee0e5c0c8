//! A volume, as one host serves it.

use crate::api::{LimitQuota, PlanId, VolumeTerms};
use crate::token_bucket::TokenBucket;
use std::time::Duration;

/// A volume's usage everywhere, as nodes report it.
#[derive(Debug, Clone, Copy)]
pub struct ReportedUsage {
    /// Units a second.
    pub rate: f64,
    /// When it was reported.
    pub at: Duration,
}

/// A volume and its token buckets. Units; rates are units a second.
#[derive(Debug)]
pub struct Volume {
    /// Its plan.
    pub plan: PlanId,
    /// Number of hosts through which its requests come.
    pub hosts: usize,
    /// Units done through this host since the last control interval.
    pub done: f64,
    /// Rate done through this host, smoothed.
    pub done_rate: f64,
    /// Its usage everywhere; None: never reported.
    pub reported: Option<ReportedUsage>,
    /// This host's part of the reservation.
    pub reservation: TokenBucket,
    /// This host's quota of the limit; None: no limit.
    pub limit: Option<TokenBucket>,
}

impl Volume {
    /// `reservation`: of the plan, over all hosts. A quota of a limit starts empty, since a host that starts,
    /// or comes in, cannot know what was drawn before. Harm: slow first bursts.
    pub fn new(terms: VolumeTerms, reservation: f64) -> Self {
        let part = reservation / terms.hosts.max(1) as f64;
        let mut volume = Volume {
            plan: terms.plan,
            hosts: terms.hosts,
            done: 0.0,
            done_rate: 0.0,
            reported: None,
            reservation: TokenBucket::new(part, part, reservation),
            limit: None,
        };
        volume.set_terms(terms);
        volume
    }

    /// Nodes report its usage everywhere, in percent of the plan's base rate.
    pub fn report_usage(&mut self, percent: f64, base_rate: f64, at: Duration) {
        let rate = percent / 100.0 * base_rate;
        self.reported = Some(ReportedUsage { rate, at });
    }

    /// Units that were drawn from its limit were not used.
    pub fn refund_limit(&mut self, units: f64) {
        if let Some(limit) = &mut self.limit {
            limit.refund(units);
        }
    }

    /// New terms. What a limit's bucket holds, or owes, stays, cut to its depth.
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
