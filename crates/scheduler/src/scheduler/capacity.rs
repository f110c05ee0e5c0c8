//! Capacity of a node, as this host can use it: the probing window, the learned rate and the long-term usage
//! ("End-to-end Performance Isolation through Virtual Datacenters", section 4.3).
//!
//! Called by [`super::Scheduler`] for each attempt and each control interval. [`NodeCapacity`], one a node, owns
//! the counts of the interval and the estimates from them.

use super::{concurrency::MAX_OUTSTANDING, demand::SMOOTHING};
use crate::api::TrafficClassId;
use crate::interval_sample::IntervalSample;
use crate::probing_window::ProbingWindow;
use crate::rates::{moving_average, seconds, MeanRate};
use crate::token_bucket::TokenBucket;
use std::time::Duration;

/// Rate at which the search for a new node's capacity starts, in mean requests a second. Low, as this host has
/// no evidence yet. Larger: a new host may overload a slow node. Smaller: it takes longer to use a fast one.
const INITIAL_REQUESTS: f64 = 4.0;
/// Fraction of the traffic mix that stays after an interval. Larger: the mix follows a change slowly. Smaller:
/// chance in one interval passes for a change, which restarts the search.
const MIX_RETENTION: f64 = 0.9;
/// Span of the long-term usage, in seconds. Larger: the usage follows a change slowly. Smaller: a host that
/// sends seldom has no usage most of the time.
const USAGE_SPAN: f64 = 30.0;
/// Fraction of the predecessor's usage that a node of the same shard starts with. Larger: a successor that is
/// slower by as much is overloaded while it warms up, which the rule does not forgive. Smaller: it stays idle.
const INHERITED_USAGE: f64 = 0.5;
/// Smallest sum of the traffic mix that divides; it stands for none.
const MIN_MIX: f64 = 1e-9;

/// Counts of one node since the last control interval.
#[derive(Debug, Default)]
struct IntervalStats {
    /// Units completed.
    completed_units: f64,
    /// Completed attempts that were late.
    late: f64,
    /// Completed attempts.
    completed: f64,
    /// Answers that the node's queue was full.
    queue_full: f64,
    /// Requests were queued at this host for the node.
    had_queue: bool,
    /// A volume was queued at this host for the node, below its reservation.
    below_reservation: bool,
}

/// Estimated capacity of one node. Units; rates are units a second.
#[derive(Debug)]
pub(crate) struct NodeCapacity {
    /// Search for the rate that this host can get from the node.
    window: ProbingWindow,
    /// Bucket of the window's estimate.
    tokens: TokenBucket,
    /// Rate that the node has done for this host; 0: not known yet.
    learned_rate: f64,
    /// Rate done through this host, over a long time.
    usage: MeanRate,
    /// Units sent by traffic class, smoothed.
    traffic_mix: Vec<f64>,
    stats: IntervalStats,
}

impl NodeCapacity {
    /// `predecessor`: capacity of the node of the same shard that this host used last; a part of its usage stands
    /// for the node's own usage until it has any.
    pub(super) fn new(
        mean_units: f64,
        tightest_objective: Duration,
        traffic_classes: usize,
        predecessor: Option<&NodeCapacity>,
    ) -> Self {
        let lowest = INITIAL_REQUESTS * mean_units;
        let highest = MAX_OUTSTANDING * mean_units / seconds(tightest_objective);
        let window = ProbingWindow::new(lowest, highest);
        NodeCapacity {
            tokens: TokenBucket::new(window.estimate, window.estimate, window.estimate),
            window,
            learned_rate: 0.0,
            usage: predecessor.map_or_else(MeanRate::default, |capacity| {
                capacity.usage.scaled(INHERITED_USAGE)
            }),
            traffic_mix: vec![0.0; traffic_classes],
            stats: IntervalStats::default(),
        }
    }

    /// Counts an attempt that was sent.
    pub(crate) fn sent(&mut self, class: TrafficClassId, units: f64) {
        self.tokens.take(units);
        self.traffic_mix[class.0] += units;
    }

    /// Counts a completed attempt.
    pub(super) fn completed(&mut self, units: f64, late: bool) {
        self.stats.completed_units += units;
        self.stats.completed += 1.0;
        self.stats.late += f64::from(u8::from(late));
    }

    /// Counts an answer that the node's queue is full.
    pub(super) fn queue_full(&mut self) {
        self.stats.queue_full += 1.0;
    }

    /// Records whether requests are queued for the node.
    pub(super) fn observe_queue(&mut self, has_queue: bool) {
        self.stats.had_queue |= has_queue;
    }

    /// Records whether a volume is queued for the node below its reservation.
    pub(super) fn observe_reservation(&mut self, below_reservation: bool) {
        self.stats.below_reservation |= below_reservation;
    }

    /// Ends a control interval of so many seconds: learns the rate that this host can get from the node.
    pub(super) fn end_interval(&mut self, interval: f64, is_warm: bool, outstanding: f64) {
        let stats = std::mem::take(&mut self.stats);
        let done_rate = stats.completed_units / interval;
        // The rate of a node that warms up is no evidence of its later rate, and its quota is reckoned from the
        // usage before.
        let counted = f64::from(u8::from(is_warm));
        let done_units = stats.completed_units * counted;
        self.usage.add(done_units, interval * counted, USAGE_SPAN);
        if is_warm && (stats.had_queue || done_rate > self.learned_rate) {
            self.learned_rate = moving_average(self.learned_rate, done_rate, SMOOTHING);
        }
        let mostly_late = stats.late * 2.0 > stats.completed.max(1.0);
        let sample = IntervalSample {
            congested: stats.had_queue && (stats.queue_full > 0.0 || mostly_late),
            below_reservation: stats.below_reservation,
            outstanding,
            mix: self.mix_fractions(),
        };
        self.window.observe(&sample);
        for units in &mut self.traffic_mix {
            *units *= MIX_RETENTION;
        }
        let estimate = self.window.estimate;
        self.tokens.reconfigure(estimate, estimate);
    }

    /// Units sent by traffic class, as fractions of their sum.
    fn mix_fractions(&self) -> Vec<f64> {
        let sum: f64 = self.traffic_mix.iter().sum::<f64>().max(MIN_MIX);
        self.traffic_mix.iter().map(|units| units / sum).collect()
    }

    pub(crate) fn refill(&mut self, seconds: f64) {
        self.tokens.refill(seconds);
    }

    /// Returns whether the node is below its estimate, so that a request goes without a bucket that pays for it.
    pub(super) fn has_spare(&self) -> bool {
        self.tokens.level() > 0.0
    }

    /// Rate that may go to the node by the probing window.
    pub(super) fn estimate(&self) -> f64 {
        self.window.estimate
    }

    pub(super) fn learned_rate(&self) -> f64 {
        self.learned_rate
    }

    /// Long-term rate done through this host.
    pub(super) fn usage_rate(&self) -> f64 {
        self.usage.per_second()
    }
}
