//! Concurrency limit: how many units this host may have out at a node, and its back-off under late answers.
//!
//! Guards against queues at the node that eat up the latency objective. The back-off is multiplicative both
//! ways: late answers of any cause (a slow node, other hosts) shrink the limit below the design's floor.

use super::Scheduler;
use crate::api::{NodeId, NodeState};
use crate::{rates::seconds, state::Node};
use std::time::Duration;

pub(super) const MAX_OUTSTANDING: f64 = 32.0; // in mean requests, as in the design
pub(super) const QUEUEING_FRACTION: f64 = 0.15; // of the objective, for a queue; the rest is work
const MIN_FLOOR: f64 = 2.0; // in mean requests: one large request, twice the mean
const MAX_FLOOR: f64 = 6.0; // three of them
const DECREASE: f64 = 0.9; // with the next, balances where half are late
const INCREASE: f64 = 1.1;
const MIN_FACTOR: f64 = 0.02; // a crowd of hosts needs well below one request each

/// Units that this host may have out at a node: the learnt rate over part of the tightest latency objective,
/// at least a few large requests (fewer where all hosts' floors would pass the most of one), within a cap.
pub fn concurrency_limit(
    rate: f64,
    tightest_objective: Duration,
    mean_units: f64,
    hosts: usize,
) -> f64 {
    let mean = mean_units.max(0.1);
    let floor = (MAX_OUTSTANDING / hosts.max(1) as f64).clamp(MIN_FLOOR, MAX_FLOOR) * mean;
    (rate * QUEUEING_FRACTION * seconds(tightest_objective))
        .max(floor)
        .min(MAX_OUTSTANDING * mean)
}

/// Moves the limit's factor after a completed attempt.
pub(super) fn adjust_factor(node: &mut Node, late: bool) {
    let change = if late { DECREASE } else { INCREASE };
    node.concurrency_factor = (node.concurrency_factor * change).clamp(MIN_FACTOR, 1.0);
}

/// Cuts the limit's factor after an answer that the node's queue is full.
pub(super) fn cut_factor(node: &mut Node) {
    node.concurrency_factor = (node.concurrency_factor * DECREASE * DECREASE).max(MIN_FACTOR);
}

impl Scheduler {
    /// The node's learnt rate, or that of the others where it is not known yet.
    pub(super) fn rate_of(&self, node: &Node) -> f64 {
        if node.learned_rate > 0.0 {
            node.learned_rate
        } else {
            self.state.mean_learned_rate
        }
    }

    pub(super) fn limit_of(&self, node: &Node) -> f64 {
        let (rate, mean, hosts) = (self.rate_of(node), self.units.mean, self.slow_start.hosts);
        concurrency_limit(rate, self.tightest_objective, mean, hosts) * node.concurrency_factor
    }

    /// From when on the node has capacity for so many units, as far as time alone decides; None where
    /// something must come back first, or the node must change.
    pub(super) fn capacity_available_at(&self, id: NodeId, units: f64) -> Option<Duration> {
        let node = &self.state.nodes[&id];
        if node.state != NodeState::Ready {
            return None;
        }
        let limit = self.limit_of(node);
        if node.outstanding <= 0.0 && units > limit {
            // Many hosts with one request out each are too many for one node: below one, the limit paces.
            let gap = self.expected_time(Some(id), units).mul_f64(units / limit);
            return Some(node.accepts_from.max(node.last_sent + gap));
        }
        (node.outstanding <= 0.0 || node.outstanding + units <= limit).then_some(node.accepts_from)
    }

    pub(super) fn has_capacity(&self, node: NodeId, units: f64) -> bool {
        self.capacity_available_at(node, units)
            .is_some_and(|at| at <= self.state.now)
    }
}
