//! Demand: the rate that a flow (one volume's requests at one node) could use, from what it sent, queued and had
//! outstanding over the last control interval ("End-to-end Performance Isolation through Virtual Datacenters",
//! section 4.2).
//!
//! Called by [`super::Scheduler`] for each request and each control interval. [`DemandEstimator`], one a flow,
//! owns the counts of the interval and the smoothed demand.

use crate::rates::moving_average;

/// Weight of one interval in the smoothed demand; a surge counts within three intervals. Larger: shares follow
/// single bursts. Smaller: a surge waits longer for its share.
pub(super) const SMOOTHING: f64 = 0.3;
/// Demand in units a second up to which a flow is idle. Larger: rarely used flows lose their share. Smaller:
/// idle flows stay in memory longer.
const MIN_DEMAND: f64 = 0.01;

/// Counts of one flow over a control interval, in units.
#[derive(Debug, Clone, Copy)]
pub struct FlowSample {
    /// Sent.
    pub used: f64,
    /// Queued at the end.
    pub backlog: f64,
    /// Queued, mean over the ticks.
    pub queued: f64,
    /// Outstanding at the node, mean over the ticks.
    pub outstanding: f64,
}

/// Units that a flow could use in the next interval (paper, equation 6), before smoothing.
pub fn demand(flow: &FlowSample) -> f64 {
    let scaled = if flow.outstanding > 0.0 {
        flow.queued * flow.used / flow.outstanding
    } else {
        0.0
    };
    flow.used + flow.backlog.max(scaled)
}

/// Estimator of one flow's demand. Units; the demand is in units a second.
#[derive(Debug, Default)]
pub(crate) struct DemandEstimator {
    /// Outstanding at the node now.
    outstanding: f64,
    /// Queued now.
    queued: f64,
    /// Sent since the last sample.
    used: f64,
    /// Sum of `queued` over the ticks since the last sample.
    queued_sum: f64,
    /// Sum of `outstanding` over the ticks since the last sample.
    outstanding_sum: f64,
    /// Rate that the flow could use, smoothed.
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

    /// Samples the flow over so many ticks.
    pub(crate) fn advance(&mut self, ticks: f64) {
        self.queued_sum += self.queued * ticks;
        self.outstanding_sum += self.outstanding * ticks;
    }

    /// Ends a control interval of so many ticks and seconds; returns the smoothed demand.
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

    /// Smoothed demand, in units a second.
    pub(super) fn demand(&self) -> f64 {
        self.demand
    }

    /// Returns whether the flow has no demand, and nothing queued or outstanding.
    pub(super) fn is_idle(&self) -> bool {
        let has_work = self.demand > MIN_DEMAND || self.outstanding > 0.0 || self.queued > 0.0;
        !has_work
    }
}
