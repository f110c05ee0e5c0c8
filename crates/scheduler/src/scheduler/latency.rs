//! Latency model: the expected duration of an attempt, and whether an attempt is late.
//!
//! Called by [`super::Scheduler`] for each completed attempt, and by every decision that compares a time with
//! a deadline or an objective. [`LatencyModel`] owns a histogram of the time per unit of work over all nodes;
//! each node has a [`NodeDelays`] with a histogram of the time that its answers take beyond the work itself.
//! Each histogram has 16 bins.

use super::clock::{INTERVAL, TICK};
use crate::api::TrafficClass;
use crate::histogram::Histogram;
use std::time::Duration;

/// Fraction of the tightest latency objective that an attempt may spend in a node's queue; the rest is for
/// the work. With a larger value queues grow at nodes until answers miss their objective; with a smaller one,
/// uneven work alone makes answers count as late.
pub(super) const QUEUEING_FRACTION: f64 = 0.15;
/// Quantile of the times per unit that is taken as the time of work without queueing. With a larger value
/// answers of overloaded nodes count as timely; with a smaller one, only the fastest answers set the
/// reference, and normal answers count as late.
const UNQUEUED_QUANTILE: f64 = 0.15;
/// Number of answers in the histogram of times per unit above which the counts are halved. With a larger
/// value the model follows a change of the work slowly; with a smaller one, few answers move it.
const MAX_SAMPLES: f64 = 400.0;

/// Histogram of the time that one node's answers take beyond the work itself.
#[derive(Debug)]
pub(crate) struct NodeDelays(Histogram);

impl NodeDelays {
    pub(crate) fn new() -> Self {
        NodeDelays(Histogram::new(TICK, 1.5, 16))
    }

    /// Halves the counts, so that older delays have less weight.
    pub(crate) fn decay(&mut self) {
        self.0.halve();
    }
}

/// Longest time for which an unanswered attempt does not count as late, for any number of units.
#[derive(Debug, Clone, Copy)]
pub(super) struct OverdueBound {
    time_per_unit: Duration,
    queueing: Duration,
}

impl OverdueBound {
    /// Returns whether an attempt of `units`, sent at `sent`, is late by now.
    pub(super) fn is_passed(&self, units: f64, sent: Duration, now: Duration) -> bool {
        now > sent + self.time_per_unit.mul_f64(units) + self.queueing
    }
}

/// Model of the time that work takes, learned from the answers of all nodes.
#[derive(Debug)]
pub(super) struct LatencyModel {
    /// The shortest latency objective that a host can meet, which is one longer than a tick.
    tightest_objective: Duration,
    /// Durations of completed attempts, per unit of work.
    time_per_unit: Histogram,
}

impl LatencyModel {
    pub(super) fn new(classes: &[TrafficClass]) -> Self {
        let objectives = classes.iter().map(|class| class.latency_objective);
        let tightest = objectives.filter(|objective| *objective > TICK).min();
        LatencyModel {
            tightest_objective: tightest.unwrap_or(INTERVAL),
            time_per_unit: Histogram::new(TICK / 5, 1.4, 16),
        }
    }

    pub(super) fn tightest_objective(&self) -> Duration {
        self.tightest_objective
    }

    /// Returns the expected duration of an attempt of this size: the node's median delay plus the median time
    /// of the work. `delays`: the node's delays, or `None` if the node is not known yet.
    pub(super) fn expected_time(&self, delays: Option<&NodeDelays>, units: f64) -> Duration {
        let delay = delays.and_then(|delays| delays.0.quantile(0.5));
        let work = self
            .time_per_unit
            .quantile(0.5)
            .unwrap_or_default()
            .mul_f64(units);
        // Never zero, because a host that has no answers yet must still reject requests before their deadline.
        (delay.unwrap_or_default() + work).max(TICK * 2)
    }

    /// Records a completed attempt of a node; returns whether it was late.
    pub(super) fn record(
        &mut self,
        delays: &mut NodeDelays,
        units: f64,
        elapsed: Duration,
    ) -> bool {
        self.time_per_unit.add(elapsed.div_f64(units.max(0.5)));
        let work = self
            .time_per_unit
            .quantile(UNQUEUED_QUANTILE)
            .unwrap_or_default()
            .mul_f64(units);
        delays.0.add(elapsed.saturating_sub(work));
        elapsed > work + self.tightest_objective.mul_f64(QUEUEING_FRACTION)
    }

    /// Returns the bound beyond which attempts without an answer are late.
    pub(super) fn overdue_bound(&self) -> OverdueBound {
        OverdueBound {
            time_per_unit: self
                .time_per_unit
                .quantile(UNQUEUED_QUANTILE)
                .unwrap_or(self.tightest_objective),
            queueing: self.tightest_objective.mul_f64(QUEUEING_FRACTION),
        }
    }

    /// Halves the counts if there are many, so that older answers have less weight.
    pub(super) fn decay(&mut self) {
        self.time_per_unit.halve_above(MAX_SAMPLES);
    }
}
