//! Concurrency limit: the number of units that this host may have outstanding at a node, and its back-off when
//! answers are late.
//!
//! The limit keeps the queue at the node short, so that queueing does not use up the latency objective. The
//! back-off is multiplicative in both directions: late answers reduce the limit below the design's floor,
//! whatever their cause (a slow node, load from other hosts).
//!
//! Called by [`super::Scheduler`]. [`ConcurrencyLimiter`] owns the mean learned rate over all nodes; each
//! node has a [`ConcurrencyBackoff`] with the factor on its limit.

use super::latency::{LatencyModel, QUEUEING_FRACTION};
use crate::api::NodeState;
use crate::{rates::seconds, state::Node};
use std::time::Duration;

/// Largest limit, in requests of mean size, as in the design. With a larger value one host can fill a node's
/// queue; with a smaller one, fast nodes are idle between answers.
pub(super) const MAX_LIMIT_REQUESTS: f64 = 32.0;
/// Smallest floor of the limit, in requests of mean size. It admits one large request, which is twice the mean;
/// with a smaller floor, a large request would never be sent.
const MIN_FLOOR_REQUESTS: f64 = 2.0;
/// Largest floor of the limit, in requests of mean size. It admits three large requests. With a larger value
/// the floors of several hosts together fill a node's queue; with a smaller one, a host that has not learned
/// a rate yet uses little of a fast node.
const MAX_FLOOR_REQUESTS: f64 = 6.0;
/// Factor applied to the limit by a late answer. Together with [`TIMELY_FACTOR`] it is in balance when half
/// of the answers are late. With a smaller factor, the uneven work of a traffic class alone would reduce the
/// limit.
const LATE_FACTOR: f64 = 0.9;
/// Factor applied to the limit by a timely answer. A larger factor makes the limit oscillate; with a smaller
/// one, the limit stays low for longer after a fault.
const TIMELY_FACTOR: f64 = 1.1;
/// Smallest factor on the limit. When many hosts share a node, each may have well below one request
/// outstanding. With a larger value many hosts together overload a node; with a smaller one, a host waits
/// long before it tries a node again.
const MIN_FACTOR: f64 = 0.02;

/// Returns the number of units that this host may have outstanding at a node: the units that the node
/// completes, at the learned rate, within a fraction of the tightest latency objective. The limit has a floor
/// of a few large requests, which is lower when the floors of all hosts together would exceed the largest
/// limit of one host, and it never exceeds that largest limit.
pub fn concurrency_limit(
    rate: f64,
    tightest_objective: Duration,
    mean_units: f64,
    hosts: usize,
) -> f64 {
    let mean = mean_units.max(0.1);
    let floor = (MAX_LIMIT_REQUESTS / hosts.max(1) as f64)
        .clamp(MIN_FLOOR_REQUESTS, MAX_FLOOR_REQUESTS)
        * mean;
    (rate * QUEUEING_FRACTION * seconds(tightest_objective))
        .max(floor)
        .min(MAX_LIMIT_REQUESTS * mean)
}

/// Back-off of one node's concurrency limit.
#[derive(Debug)]
pub(crate) struct ConcurrencyBackoff {
    /// Factor applied to the limit, from [`MIN_FACTOR`] to 1.
    factor: f64,
}

impl ConcurrencyBackoff {
    pub(crate) fn new() -> Self {
        ConcurrencyBackoff { factor: 1.0 }
    }

    /// Adjusts the factor after a completed attempt.
    pub(super) fn completed(&mut self, late: bool) {
        let change = if late { LATE_FACTOR } else { TIMELY_FACTOR };
        self.factor = (self.factor * change).clamp(MIN_FACTOR, 1.0);
    }

    /// Reduces the factor after the node has answered that its queue is full.
    pub(super) fn queue_full(&mut self) {
        self.factor = (self.factor * LATE_FACTOR * LATE_FACTOR).max(MIN_FACTOR);
    }

    pub(super) fn factor(&self) -> f64 {
        self.factor
    }
}

/// Limits on the units outstanding at each node.
#[derive(Debug)]
pub(super) struct ConcurrencyLimiter {
    tightest_objective: Duration,
    /// Mean size of a request, in units.
    mean_units: f64,
    /// Number of hosts that share the nodes.
    hosts: usize,
    /// Mean learned rate of the nodes that have one, in units per second; 0 if no node has one.
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

    /// Updates the mean of the nodes' learned rates.
    pub(super) fn update_mean_rate<'a>(&mut self, nodes: impl Iterator<Item = &'a Node> + Clone) {
        let learned = nodes
            .map(|node| node.capacity.learned_rate())
            .filter(|rate| *rate > 0.0);
        self.mean_learned_rate = learned.clone().sum::<f64>() / learned.count().max(1) as f64;
    }

    pub(super) fn mean_learned_rate(&self) -> f64 {
        self.mean_learned_rate
    }

    /// Returns the node's learned rate, or the mean learned rate of the other nodes while it has none.
    pub(super) fn rate(&self, node: &Node) -> f64 {
        let learned = node.capacity.learned_rate();
        if learned > 0.0 {
            learned
        } else {
            self.mean_learned_rate
        }
    }

    /// Returns the number of units that may be outstanding at the node.
    pub(super) fn limit(&self, node: &Node) -> f64 {
        let rate = self.rate(node);
        concurrency_limit(rate, self.tightest_objective, self.mean_units, self.hosts)
            * node.concurrency.factor
    }

    /// Returns the time from which the node has capacity for `units`. `None` if the passing of time alone
    /// does not free capacity, because an attempt must end first or the node's state must change.
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
            // One outstanding request from each of many hosts would overload the node. A limit below one
            // request is therefore applied as a minimum time between requests.
            let expected = latency.expected_time(Some(&node.delays), units);
            let gap = expected.mul_f64(units / limit);
            return Some(accepts_from.max(node.attempts.last_sent() + gap));
        }
        (outstanding <= 0.0 || outstanding + units <= limit).then_some(accepts_from)
    }

    /// Returns whether the node has capacity for `units` now.
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
