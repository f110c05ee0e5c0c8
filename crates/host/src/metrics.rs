//! The metrics that this host sends to subscribers every second: the state of the nodes, the queued
//! requests with the reason why they wait, and the units that each volume requested and received.
//!
//! The router reports every request that arrives and completes; [`MetricsCollector::collect`] makes
//! the message of one interval. The router reports nothing while there are no subscribers. The units
//! that a volume requested are reported under the second in which the request arrived; the units that
//! it received are reported under that same second, whenever the request completes. The subscriber
//! adds them up. Latency objectives count from the arrival of a request at this host. A client's
//! retry counts as a request of its own, because this host does not know of the first try.
//!
//! Memory: a record for each volume, shard and second whose counts have changed since the last message,
//! and the last reported row of each node.

use grebecleat_scheduler::api::{BlockReason, NodeId, NodeMetrics, NodeState, QueueMetrics};
use grebecleat_scheduler::scheduler::Scheduler;
use grebecleat_wire::clock::micros;
use grebecleat_wire::pb;
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

/// The time between two messages. With a longer interval, operators see a change later; a shorter one
/// costs the host more messages.
pub const INTERVAL: Duration = Duration::from_secs(1);
/// The largest number of queues in one message. With a larger bound, making the message may delay
/// requests; with a smaller one, operators do not see some queues.
const MAX_QUEUES_PER_MESSAGE: usize = 512;
/// The number of significant decimal digits of a value. With more digits, a row whose values hardly
/// change is sent again with every message; with fewer, operators see less precise values.
const SIGNIFICANT_DIGITS: f64 = 3.0;

/// The key under which the units of requests are counted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct ServiceKey {
    /// The second, of this host's clock, in which the request arrived.
    second: u64,
    volume: u64,
    shard: Option<u32>,
}

impl ServiceKey {
    fn of(received: Duration, message: &pb::SubmitRequest) -> Self {
        ServiceKey {
            second: received.as_secs(),
            volume: message.volume,
            shard: message.shard,
        }
    }
}

/// The units that were counted under a key since the last message.
#[derive(Debug, Clone, Copy, Default)]
struct ServiceCounts {
    requested: f64,
    in_time: f64,
    late: f64,
}

/// Counts the service of volumes and the work of nodes between two messages.
#[derive(Debug, Default)]
pub struct MetricsCollector {
    service: HashMap<ServiceKey, ServiceCounts>,
    completed_units: HashMap<NodeId, f64>,
    reported_nodes: BTreeMap<NodeId, pb::NodeMetrics>,
}

impl MetricsCollector {
    /// Makes the next message contain all nodes, for a new subscriber.
    pub fn report_all_nodes(&mut self) {
        self.reported_nodes.clear();
    }

    fn counts(&mut self, received: Duration, message: &pb::SubmitRequest) -> &mut ServiceCounts {
        let key = ServiceKey::of(received, message);
        self.service.entry(key).or_default()
    }

    /// Counts a request that has arrived.
    pub fn request_received(&mut self, received: Duration, message: &pb::SubmitRequest) {
        self.counts(received, message).requested += message.units;
    }

    /// Counts a request that has completed, within its latency objective (`in_time`) or late.
    pub fn request_completed(
        &mut self,
        received: Duration,
        message: &pb::SubmitRequest,
        in_time: bool,
    ) {
        let counts = self.counts(received, message);
        match in_time {
            true => counts.in_time += message.units,
            false => counts.late += message.units,
        }
    }

    /// Counts units that a node has completed.
    pub fn units_completed(&mut self, node: NodeId, units: f64) {
        *self.completed_units.entry(node).or_default() += units;
    }

    /// Returns the message of one interval. `start_of` returns the number of the start of a node's
    /// process in the endpoint list; `host_metrics` contains the metrics of the host itself.
    pub fn collect(
        &mut self,
        now: Duration,
        scheduler: &Scheduler,
        start_of: impl Fn(NodeId) -> u64,
        host_metrics: pb::HostMetrics,
    ) -> pb::HostMetrics {
        let nodes = self.changed_nodes(now, scheduler, start_of);
        let queued = scheduler.queued(MAX_QUEUES_PER_MESSAGE);
        let service = std::mem::take(&mut self.service);
        pb::HostMetrics {
            nodes,
            queued: queued
                .iter()
                .map(|metrics| queue_to_proto(metrics, now))
                .collect(),
            service: service
                .into_iter()
                .map(|(key, counts)| service_to_proto(key, counts))
                .collect(),
            at_us: micros(now),
            ..host_metrics
        }
    }

    fn changed_nodes(
        &mut self,
        now: Duration,
        scheduler: &Scheduler,
        start_of: impl Fn(NodeId) -> u64,
    ) -> Vec<pb::NodeMetrics> {
        let mut completed = std::mem::take(&mut self.completed_units);
        let mut changed = Vec::new();
        for node in scheduler.nodes() {
            let units = completed.remove(&node.node).unwrap_or_default();
            let row = node_to_proto(&node, now, start_of(node.node), units);
            let reported = self.reported_nodes.get(&node.node);
            if reported.is_none_or(|reported| without_ages(reported) != without_ages(&row)) {
                self.reported_nodes.insert(node.node, row);
                changed.push(row);
            }
        }
        changed
    }
}

/// Returns a row without the values that change with the passing of time alone.
fn without_ages(row: &pb::NodeMetrics) -> pb::NodeMetrics {
    pb::NodeMetrics {
        last_success_us: None,
        up_us: None,
        ..*row
    }
}

/// Rounds a value to [`SIGNIFICANT_DIGITS`]. A value that is not finite becomes 0.
fn round_significant(value: f64) -> f64 {
    if value == 0.0 || !value.is_finite() {
        return 0.0;
    }
    let digits = SIGNIFICANT_DIGITS - 1.0 - value.abs().log10().floor();
    let scale = 10f64.powf(digits);
    (value * scale).round() / scale
}

fn service_to_proto(key: ServiceKey, counts: ServiceCounts) -> pb::ServiceMetrics {
    pb::ServiceMetrics {
        second: key.second,
        volume: key.volume,
        shard: key.shard,
        asked: counts.requested,
        timely: counts.in_time,
        late: counts.late,
    }
}

fn node_to_proto(
    metrics: &NodeMetrics,
    now: Duration,
    start: u64,
    completed_units: f64,
) -> pb::NodeMetrics {
    let state = match metrics.state {
        NodeState::Ready => pb::NodeState::Ready,
        NodeState::Draining => pb::NodeState::Draining,
        NodeState::Gone => pb::NodeState::Gone,
    };
    let age = |at: Duration| micros(now.saturating_sub(at));
    let succeeded = !metrics.last_success.is_zero();
    pb::NodeMetrics {
        node: metrics.node.0,
        state: state.into(),
        start,
        up_us: metrics.started.map(age),
        attempts: metrics.attempts as u32,
        outstanding: round_significant(metrics.outstanding),
        queued: metrics.queued as u32,
        estimate: round_significant(metrics.estimate),
        learned_rate: round_significant(metrics.learned_rate),
        concurrency_factor: round_significant(metrics.concurrency_factor),
        admission_level: round_significant(metrics.admission_level),
        late_fraction: round_significant(metrics.late_fraction),
        slow_start: metrics.slow_start,
        last_success_us: succeeded.then(|| age(metrics.last_success)),
        done: round_significant(completed_units),
    }
}

fn queue_to_proto(metrics: &QueueMetrics, now: Duration) -> pb::QueueMetrics {
    let block_reason = match metrics.block_reason {
        BlockReason::RetryDelay => pb::BlockReason::RetryDelay,
        BlockReason::KeyOrder => pb::BlockReason::KeyOrder,
        BlockReason::RetryBudget => pb::BlockReason::RetryBudget,
        BlockReason::RateLimit => pb::BlockReason::RateLimit,
        BlockReason::SlowStart => pb::BlockReason::SlowStart,
        BlockReason::Idempotency => pb::BlockReason::Idempotency,
        BlockReason::Share => pb::BlockReason::Share,
        BlockReason::Throttled => pb::BlockReason::Throttled,
        BlockReason::Concurrency => pb::BlockReason::Concurrency,
        BlockReason::NoCapacity => pb::BlockReason::NoCapacity,
        BlockReason::Unconfirmed => pb::BlockReason::Unconfirmed,
    };
    pb::QueueMetrics {
        volume: metrics.volume.0,
        node: metrics.node.map(|node| node.0),
        block_reason: block_reason.into(),
        requests: metrics.requests as u32,
        since_us: micros(now.saturating_sub(metrics.since)),
    }
}

#[cfg(test)]
mod tests;
