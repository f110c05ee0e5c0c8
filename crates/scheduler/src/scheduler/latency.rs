//! Latency model: the time that an attempt should take, and whether one is late.
//!
//! Called by [`super::Scheduler`] for each completed attempt, and by every decision that compares a time with a
//! deadline or an objective. [`LatencyModel`] owns the times per unit of work of all nodes' answers;
//! [`NodeDelays`], one a node, owns the node's delays beyond the work. Bound: 16 counts each.

use super::clock::{INTERVAL, TICK};
use crate::api::TrafficClass;
use crate::histogram::Histogram;
use std::time::Duration;

/// Fraction of the tightest latency objective that an attempt may spend in a queue; the rest is for the work.
/// Larger: queues grow at nodes until answers miss their objective. Smaller: uneven work alone counts as late.
pub(super) const QUEUEING_FRACTION: f64 = 0.15;
/// Quantile of the times per unit that stands for work without a queue. Larger: answers from full nodes pass
/// for timely. Smaller: the fastest answers alone set the measure, and usual ones count as late.
const UNQUEUED_QUANTILE: f64 = 0.15;
/// Bounds the answers in the histogram of times per unit, before their counts are halved. Larger: the model
/// follows a change of the work slowly. Smaller: few answers move it.
const MAX_SAMPLES: f64 = 400.0;

/// Delays of one node's answers beyond the work itself.
#[derive(Debug)]
pub(crate) struct NodeDelays(Histogram);

impl NodeDelays {
    pub(crate) fn new() -> Self {
        NodeDelays(Histogram::new(TICK, 1.5, 16))
    }

    /// Lets older delays weigh less.
    pub(crate) fn fade(&mut self) {
        self.0.halve();
    }
}

/// Latest time by which an attempt without an answer is not late.
#[derive(Debug, Clone, Copy)]
pub(super) struct OverdueBound {
    time_per_unit: Duration,
    queueing: Duration,
}

impl OverdueBound {
    /// Returns whether an attempt of so many units, sent at `sent`, is late by now.
    pub(super) fn is_passed(&self, units: f64, sent: Duration, now: Duration) -> bool {
        now > sent + self.time_per_unit.mul_f64(units) + self.queueing
    }
}

/// Model of the time that work takes, over all nodes.
#[derive(Debug)]
pub(super) struct LatencyModel {
    /// The shortest latency objective that a host can keep to.
    tightest_objective: Duration,
    /// Times of completed attempts, per unit of work.
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

    /// Time that an attempt of this size should take: the node's usual delay, and the usual time for the work.
    /// `delays`: of the node; None: of any node, or of one without answers.
    pub(super) fn expected_time(&self, delays: Option<&NodeDelays>, units: f64) -> Duration {
        let delay = delays.and_then(|delays| delays.0.quantile(0.5));
        let work = self
            .time_per_unit
            .quantile(0.5)
            .unwrap_or_default()
            .mul_f64(units);
        // Never zero: a host without any answer yet must still reject before the deadline.
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

    /// Bound of the attempts that have no answer yet.
    pub(super) fn overdue_bound(&self) -> OverdueBound {
        OverdueBound {
            time_per_unit: self
                .time_per_unit
                .quantile(UNQUEUED_QUANTILE)
                .unwrap_or(self.tightest_objective),
            queueing: self.tightest_objective.mul_f64(QUEUEING_FRACTION),
        }
    }

    /// Lets older answers weigh less.
    pub(super) fn fade(&mut self) {
        self.time_per_unit.halve_above(MAX_SAMPLES);
    }
}
