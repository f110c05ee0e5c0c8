//! Reservations: this host's share of a volume's reservation, computed from its own demand and from the usage
//! that nodes report ("End-to-end Performance Isolation through Virtual Datacenters", section 4).
//!
//! Called by [`super::Scheduler`] for each answer and each control interval. Each volume has a
//! [`ReservationShare`], which owns the volume's usage and the token bucket of this host's share.

use super::clock::INTERVAL;
use super::demand::SMOOTHING;
use crate::rates::moving_average;
use crate::token_bucket::TokenBucket;
use std::time::Duration;

/// Factor by which this host's own usage may exceed the usage that nodes report for all hosts, for the report
/// to be used. With a larger value outdated reports are used, and one host is starved; with a smaller one,
/// the normal delay of reports makes the split even.
const REPORT_TOLERANCE: f64 = 1.25;
/// Age in meter periods up to which a report is used. With a larger value the split follows usage that has
/// ended; with a smaller one, a single missed report makes the split even.
const REPORT_PERIODS: u32 = 3;

/// Returns a host's fraction of a volume's reservation. A late report can state less usage over all hosts
/// than this host alone had. Using such a report would starve one host, so the reservation is then split
/// evenly.
pub fn reservation_fraction(
    own_demand: f64,
    own_rate: f64,
    reported: Option<f64>,
    hosts: usize,
) -> f64 {
    let even = 1.0 / hosts.max(1) as f64;
    let Some(all_hosts_rate) = reported.filter(|all| own_rate <= all * REPORT_TOLERANCE + 1e-9)
    else {
        return even;
    };
    let other_hosts_rate = (all_hosts_rate - own_rate).max(0.0);
    if own_demand + other_hosts_rate <= 0.0 {
        return even;
    }
    (own_demand / (own_demand + other_hosts_rate)).max(even / 2.0)
}

/// Usage of a volume over all hosts, as reported by a node.
#[derive(Debug, Clone, Copy)]
struct ReportedUsage {
    /// Units per second.
    rate: f64,
    /// Time of the report.
    at: Duration,
}

/// This host's share of one volume's reservation. Amounts are in units, rates in units per second.
#[derive(Debug)]
pub(crate) struct ReservationShare {
    /// Units completed through this host since the last control interval.
    completed: f64,
    /// Rate completed through this host, as a moving average.
    completed_rate: f64,
    /// Latest reported usage over all hosts; `None` if it was never reported.
    reported: Option<ReportedUsage>,
    bucket: TokenBucket,
}

impl ReservationShare {
    /// Starts with an even share. `reservation`: the plan's reservation, over all hosts.
    pub(crate) fn new(reservation: f64, hosts: usize) -> Self {
        let own_share = reservation / hosts.max(1) as f64;
        ReservationShare {
            completed: 0.0,
            completed_rate: 0.0,
            reported: None,
            bucket: TokenBucket::new(own_share, own_share, reservation),
        }
    }

    /// Returns whether the reservation has tokens left for another request.
    pub(crate) fn has_tokens(&self) -> bool {
        self.bucket.level() > 0.0
    }

    /// Returns the rate of this host's share.
    pub(super) fn rate(&self) -> f64 {
        self.bucket.rate()
    }

    pub(crate) fn take(&mut self, units: f64) {
        self.bucket.take(units);
    }

    pub(crate) fn refill(&mut self, seconds: f64) {
        self.bucket.refill(seconds);
    }

    /// Counts completed units.
    pub(super) fn completed(&mut self, units: f64) {
        self.completed += units;
    }

    /// Records a node's report of the usage over all hosts.
    pub(super) fn report_usage(&mut self, rate: f64, at: Duration) {
        self.reported = Some(ReportedUsage { rate, at });
    }

    /// Ends a control interval of `interval` seconds, and sets this host's share of the plan's reservation.
    /// `meter`: the period over which nodes add up usage.
    pub(super) fn end_interval(
        &mut self,
        own_demand: f64,
        reservation: f64,
        hosts: usize,
        interval: f64,
        meter: Duration,
        now: Duration,
    ) {
        let rate = std::mem::take(&mut self.completed) / interval;
        self.completed_rate = moving_average(self.completed_rate, rate, SMOOTHING);
        // An old report that was not replaced by a later one says nothing about the current usage.
        let is_fresh = |usage: &ReportedUsage| now < usage.at + meter * REPORT_PERIODS + INTERVAL;
        let reported = self.reported.filter(is_fresh).map(|usage| usage.rate);
        let fraction = reservation_fraction(own_demand, self.completed_rate, reported, hosts);
        let own_share = reservation * fraction;
        self.bucket.reconfigure(own_share, own_share);
    }
}
