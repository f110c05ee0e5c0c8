//! Estimate of the capacity that this host can use at a node: the probing window, the learned rate and the
//! long-term usage ("End-to-end Performance Isolation through Virtual Datacenters", section 4.3).
//!
//! Called by [`super::Scheduler`] for each attempt and each control interval. Each node has a [`NodeCapacity`],
//! which owns the counts of the current interval and the estimates derived from them.

use super::{concurrency::MAX_LIMIT_REQUESTS, demand::SMOOTHING};
use crate::api::TrafficClassId;
use crate::interval_sample::IntervalSample;
use crate::probing_window::ProbingWindow;
use crate::rates::{moving_average, seconds, MeanRate};
use crate::token_bucket::TokenBucket;
use std::time::Duration;

/// Rate at which the search for a new node's capacity starts, in requests of mean size per second. It is low
/// because this host has no evidence yet. With a larger value a new host may overload a slow node; with a
/// smaller one, it takes longer to use a fast node.
const INITIAL_REQUESTS_PER_SECOND: f64 = 4.0;
/// Factor by which the traffic mix decays in each interval. With a larger factor the mix follows a change
/// slowly; with a smaller one, chance in a single interval is taken for a change, which restarts the search.
const MIX_RETENTION: f64 = 0.9;
/// Time over which the long-term usage is averaged, in seconds. With a larger value the usage follows a change
/// slowly; with a smaller one, a host that seldom sends requests has no usage most of the time.
const USAGE_SPAN_SECONDS: f64 = 30.0;
/// Fraction of its predecessor's usage that a new node of the same shard starts with. With a larger value a
/// successor that is slower than its predecessor is overloaded while it warms up, which breaks the slow-start
/// rule; with a smaller one, it is underused.
const INHERITED_USAGE: f64 = 0.5;
/// Lower bound of the sum of the traffic mix when it is used as a divisor; it replaces a sum of zero.
const MIN_MIX: f64 = 1e-9;

/// Counts of one node since the end of the last control interval.
#[derive(Debug, Default)]
struct IntervalStats {
    /// Units completed.
    completed_units: f64,
    /// Completed attempts that were late.
    late: f64,
    /// Completed attempts.
    completed: f64,
    /// Answers that reported a full queue at the node.
    queue_full: f64,
    /// Requests were queued at this host for the node.
    had_queue: bool,
    /// Requests of a volume that gets less than its reservation were queued at this host for the node.
    below_reservation: bool,
}

/// Estimated capacity of one node. Amounts are in units, rates in units per second.
#[derive(Debug)]
pub(crate) struct NodeCapacity {
    /// Search for the rate that the node can serve for this host.
    window: ProbingWindow,
    /// Token bucket that fills at the window's estimated rate.
    tokens: TokenBucket,
    /// Rate at which the node has completed this host's work; 0 if not known yet.
    learned_rate: f64,
    /// Long-term mean of the rate at which the node has completed this host's work.
    usage: MeanRate,
    /// Units sent, by traffic class, with exponential decay.
    traffic_mix: Vec<f64>,
    stats: IntervalStats,
}

impl NodeCapacity {
    /// Returns the capacity record of a new node. `predecessor`: capacity of the node that this host last
    /// used for the same shard; the new node starts with a fraction of its usage.
    pub(super) fn new(
        mean_units: f64,
        tightest_objective: Duration,
        traffic_classes: usize,
        predecessor: Option<&NodeCapacity>,
    ) -> Self {
        let lowest = INITIAL_REQUESTS_PER_SECOND * mean_units;
        let highest = MAX_LIMIT_REQUESTS * mean_units / seconds(tightest_objective);
        let window = ProbingWindow::new(lowest, highest);
        let estimate = window.estimate();
        NodeCapacity {
            tokens: TokenBucket::new(estimate, estimate, estimate),
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

    /// Counts an answer that reported a full queue at the node.
    pub(super) fn queue_full(&mut self) {
        self.stats.queue_full += 1.0;
    }

    /// Records whether requests are queued for the node.
    pub(super) fn observe_queue(&mut self, has_queue: bool) {
        self.stats.had_queue |= has_queue;
    }

    /// Records whether a volume with requests queued for the node gets less than its reservation.
    pub(super) fn observe_reservation(&mut self, below_reservation: bool) {
        self.stats.below_reservation |= below_reservation;
    }

    /// Ends a control interval of `interval` seconds, and updates the estimates of the rate that the node can
    /// serve for this host.
    pub(super) fn end_interval(&mut self, interval: f64, is_warm: bool, outstanding: f64) {
        let stats = std::mem::take(&mut self.stats);
        let done_rate = stats.completed_units / interval;
        // The rate of a node that is warming up says nothing about its later rate, and its quota is computed
        // from the usage before the warm-up.
        let counted = f64::from(u8::from(is_warm));
        let done_units = stats.completed_units * counted;
        self.usage
            .add(done_units, interval * counted, USAGE_SPAN_SECONDS);
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
        let estimate = self.window.estimate();
        self.tokens.reconfigure(estimate, estimate);
    }

    /// Returns the units sent by traffic class as fractions of their sum.
    fn mix_fractions(&self) -> Vec<f64> {
        let sum: f64 = self.traffic_mix.iter().sum::<f64>().max(MIN_MIX);
        self.traffic_mix.iter().map(|units| units / sum).collect()
    }

    pub(crate) fn refill(&mut self, seconds: f64) {
        self.tokens.refill(seconds);
    }

    /// Returns whether this host uses the node at less than its estimated rate. A request may then be sent
    /// even if neither the reservation nor the fair share covers it.
    pub(super) fn has_spare_capacity(&self) -> bool {
        self.tokens.level() > 0.0
    }

    /// Rate at which this host may use the node, estimated by the probing window.
    pub(super) fn estimate(&self) -> f64 {
        self.window.estimate()
    }

    pub(super) fn learned_rate(&self) -> f64 {
        self.learned_rate
    }

    /// Long-term mean of the rate at which the node has completed this host's work.
    pub(super) fn usage_rate(&self) -> f64 {
        self.usage.per_second()
    }
}
