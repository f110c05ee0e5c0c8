//! Concurrency limit: the units that this host may have outstanding at a node, and its back-off when answers
//! are late.
//!
//! Guards against queues at the node that use up the latency objective. The back-off is multiplicative in both
//! directions: late answers of any cause (a slow node, other hosts) reduce the limit below the design's floor.
//!
//! Called by [`super::Scheduler`]. [`ConcurrencyLimiter`] owns the mean rate of all nodes;
//! [`ConcurrencyBackoff`], one a node, owns the node's factor.

use super::latency::{LatencyModel, QUEUEING_FRACTION};
use crate::api::NodeState;
use crate::{rates::seconds, state::Node};
use std::time::Duration;

/// Largest limit, in mean requests; as in the design. Larger: one host can fill a node's queue. Smaller: fast
/// nodes idle between answers.
pub(super) const MAX_OUTSTANDING: f64 = 32.0;
/// Smallest floor, in mean requests: one large request, which is twice the mean. Smaller: a large request would
/// never go.
const MIN_FLOOR: f64 = 2.0;
/// Largest floor, in mean requests: three large requests. Larger: the floors of several hosts fill a node's
/// queue. Smaller: a host without a learned rate uses little of a fast node.
const MAX_FLOOR: f64 = 6.0;
/// Factor of a late answer. With [`INCREASE`] it balances where half of the answers are late. Smaller: the
/// limit falls by a class's uneven work alone.
const DECREASE: f64 = 0.9;
/// Factor of a timely answer. Larger: the limit oscillates. Smaller: it stays low after a fault.
const INCREASE: f64 = 1.1;
/// Smallest factor: a crowd of hosts needs well below one request each. Larger: such a crowd overloads a node.
/// Smaller: a host waits long before it tries a node again.
const MIN_FACTOR: f64 = 0.02;

/// Units that this host may have outstanding at a node: the learned rate over part of the tightest latency
/// objective; at least a few large requests, and fewer where the floors of all hosts would pass the largest
/// limit of one; at most the largest limit.
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

/// Back-off of one node's concurrency limit.
#[derive(Debug)]
pub(crate) struct ConcurrencyBackoff {
    /// Factor on the limit, from [`MIN_FACTOR`] to 1.
    factor: f64,
}

impl ConcurrencyBackoff {
    pub(crate) fn new() -> Self {
        ConcurrencyBackoff { factor: 1.0 }
    }

    /// Moves the factor after a completed attempt.
    pub(super) fn completed(&mut self, late: bool) {
        let change = if late { DECREASE } else { INCREASE };
        self.factor = (self.factor * change).clamp(MIN_FACTOR, 1.0);
    }

    /// Reduces the factor after the answer that the node's queue is full.
    pub(super) fn queue_full(&mut self) {
        self.factor = (self.factor * DECREASE * DECREASE).max(MIN_FACTOR);
    }

    pub(super) fn factor(&self) -> f64 {
        self.factor
    }
}

/// Limits of the units outstanding at each node.
#[derive(Debug)]
pub(super) struct ConcurrencyLimiter {
    tightest_objective: Duration,
    /// Mean size of a request, in units.
    mean_units: f64,
    /// Number of hosts that share the nodes.
    hosts: usize,
    /// Mean learned rate of the nodes that have one, in units a second; 0: no node has one.
    mean_learned_rate: f64,
}

impl ConcurrencyLimiter {
    pub(super) fn new(tightest_objective: Duration, mean_units: f64) -> Self {
        ConcurrencyLimiter {
            tightest_objective,
            mean_units,
            hosts: 0,
            mean_learned_rate: 0.0,
        }
    }

    /// Sets the number of hosts that share the nodes.
    pub(super) fn set_hosts(&mut self, hosts: usize) {
        self.hosts = hosts;
    }

    /// Updates the mean of the learned rates.
    pub(super) fn update_mean_rate<'a>(&mut self, nodes: impl Iterator<Item = &'a Node> + Clone) {
        let learned = nodes
            .map(|node| node.capacity.learned_rate())
            .filter(|rate| *rate > 0.0);
        self.mean_learned_rate = learned.clone().sum::<f64>() / learned.count().max(1) as f64;
    }

    pub(super) fn mean_learned_rate(&self) -> f64 {
        self.mean_learned_rate
    }

    /// The node's learned rate, or the mean of the others' while it has none.
    pub(super) fn rate(&self, node: &Node) -> f64 {
        let learned = node.capacity.learned_rate();
        if learned > 0.0 {
            learned
        } else {
            self.mean_learned_rate
        }
    }

    /// Units that may be outstanding at the node.
    pub(super) fn limit(&self, node: &Node) -> f64 {
        let rate = self.rate(node);
        concurrency_limit(rate, self.tightest_objective, self.mean_units, self.hosts)
            * node.concurrency.factor
    }

    /// Time from which the node has capacity for so many units, as far as time alone decides; None: an answer
    /// must come first, or the node's state must change.
    pub(super) fn capacity_available_at(
        &self,
        node: &Node,
        units: f64,
        latency: &LatencyModel,
    ) -> Option<Duration> {
        if node.state != NodeState::Ready {
            return None;
        }
        let accepts_from = node.warm_up.accepts_from();
        let limit = self.limit(node);
        let outstanding = node.attempts.units();
        if outstanding <= 0.0 && units > limit {
            // One outstanding request from each of many hosts is too much for one node. A limit below one
            // request therefore becomes a pace.
            let expected = latency.expected_time(Some(&node.delays), units);
            let gap = expected.mul_f64(units / limit);
            return Some(accepts_from.max(node.attempts.last_sent() + gap));
        }
        (outstanding <= 0.0 || outstanding + units <= limit).then_some(accepts_from)
    }

    /// Returns whether the node has capacity for so many units now.
    pub(super) fn has_capacity(
        &self,
        node: &Node,
        units: f64,
        latency: &LatencyModel,
        now: Duration,
    ) -> bool {
        self.capacity_available_at(node, units, latency)
            .is_some_and(|at| at <= now)
    }
}
