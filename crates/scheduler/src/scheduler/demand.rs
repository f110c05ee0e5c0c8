//! Demand estimation: the rate that a flow (one volume's requests at one node) could use, estimated from the
//! units that it sent, queued and had outstanding over the last control interval ("End-to-end Performance
//! Isolation through Virtual Datacenters", section 4.2).
//!
//! Called by [`super::Scheduler`] for each request and each control interval. Each flow has a
//! [`DemandEstimator`], which owns the counts of the interval and the smoothed demand.

use crate::rates::moving_average;

/// Weight of one interval in the moving average of the demand; a surge shows in it within three intervals.
/// With a larger value shares follow single bursts; with a smaller one, a surge waits longer for its share.
pub(super) const SMOOTHING: f64 = 0.3;
/// Demand up to which a flow is idle, in units per second. With a larger value rarely used flows lose their
/// share; with a smaller one, idle flows stay in memory longer.
const IDLE_DEMAND_UNITS_PER_SECOND: f64 = 0.01;

/// Counts of one flow over a control interval, in units.
#[derive(Debug, Clone, Copy)]
pub struct FlowSample {
    /// Units sent.
    pub used: f64,
    /// Units queued at the end of the interval.
    pub backlog: f64,
    /// Units queued, as a mean over the ticks.
    pub queued: f64,
    /// Units outstanding at the node, as a mean over the ticks.
    pub outstanding: f64,
}

/// Returns the number of units that a flow could use in the next interval (paper, equation 6), before
/// smoothing.
pub fn demand(flow: &FlowSample) -> f64 {
    let scaled = if flow.outstanding > 0.0 {
        flow.queued * flow.used / flow.outstanding
    } else {
        0.0
    };
    flow.used + flow.backlog.max(scaled)
}

/// Estimator of one flow's demand. Amounts are in units, the demand is in units per second.
#[derive(Debug, Default)]
pub(crate) struct DemandEstimator {
    /// Units outstanding at the node now.
    outstanding: f64,
    /// Units queued now.
    queued: f64,
    /// Units sent since the end of the last interval.
    used: f64,
    /// Sum of `queued` over the ticks since the end of the last interval.
    queued_sum: f64,
    /// Sum of `outstanding` over the ticks since the end of the last interval.
    outstanding_sum: f64,
    /// Rate that the flow could use, as a moving average.
    demand: f64,
}

impl DemandEstimator {
    pub(crate) fn enqueued(&mut self, units: f64) {
        self.queued += units;
    }

    pub(crate) fn dequeued(&mut self, units: f64) {
        self.queued -= units;
    }

    pub(crate) fn sent(&mut self, units: f64) {
        self.outstanding += units;
        self.used += units;
    }

    pub(crate) fn ended(&mut self, units: f64) {
        self.outstanding -= units;
    }

    /// Adds samples of the queued and outstanding units for `ticks` ticks.
    pub(crate) fn advance(&mut self, ticks: f64) {
        self.queued_sum += self.queued * ticks;
        self.outstanding_sum += self.outstanding * ticks;
    }

    /// Ends a control interval of `ticks` ticks, which lasted `interval` seconds; returns the smoothed demand.
    pub(super) fn end_interval(&mut self, ticks: f64, interval: f64) -> f64 {
        let sample = FlowSample {
            used: std::mem::take(&mut self.used),
            backlog: self.queued,
            queued: std::mem::take(&mut self.queued_sum) / ticks,
            outstanding: std::mem::take(&mut self.outstanding_sum) / ticks,
        };
        self.demand = moving_average(self.demand, demand(&sample) / interval, SMOOTHING);
        self.demand
    }

    /// Returns the smoothed demand, in units per second.
    pub(super) fn demand(&self) -> f64 {
        self.demand
    }

    /// Returns whether the flow has no demand, and nothing queued or outstanding.
    pub(super) fn is_idle(&self) -> bool {
        let has_work = self.demand > IDLE_DEMAND_UNITS_PER_SECOND
            || self.outstanding > 0.0
            || self.queued > 0.0;
        !has_work
    }
}
