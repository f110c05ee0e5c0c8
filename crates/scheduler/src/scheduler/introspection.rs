//! Introspection: the scheduler's state, for operators. Reads the tables and makes no decisions.

use super::Scheduler;
use crate::api::{BlockReason, NodeId, NodeMetrics, QueueMetrics, VolumeId};
use crate::rejection_stats::{RejectedRequest, RejectionCounts};
use crate::state::Node;
use std::collections::BTreeMap;
use std::time::Duration;

fn node_metrics(node: &Node) -> NodeMetrics {
    // Until the first attempt is sent, the recorded last success is the time at which the node became ready.
    let last_sent = node.attempts.last_sent();
    let last_success = match last_sent.is_zero() {
        true => Duration::ZERO,
        false => node.failures.last_success(),
    };
    NodeMetrics {
        node: node.id,
        state: node.state,
        started: node.started,
        attempts: node.attempts.len(),
        outstanding: node.attempts.units(),
        queued: node.queue.len(),
        estimate: node.capacity.estimate(),
        learned_rate: node.capacity.learned_rate(),
        concurrency_factor: node.concurrency.factor(),
        admission_level: node.admission.level(),
        late_fraction: node.admission.late_fraction(),
        slow_start: node.warm_up.is_active(),
        consecutive_failures: node.failures.failures(),
        last_success,
        last_sent,
    }
}

/// Numbers of queued requests, summed by volume, node and block reason.
#[derive(Default)]
struct QueueSums(BTreeMap<(VolumeId, Option<NodeId>, BlockReason), QueueMetrics>);

impl QueueSums {
    fn add(&mut self, metrics: QueueMetrics) {
        let key = (metrics.volume, metrics.node, metrics.block_reason);
        let sum = self.0.entry(key).or_insert(QueueMetrics {
            requests: 0,
            ..metrics
        });
        sum.requests += metrics.requests;
        sum.since = sum.since.min(metrics.since);
    }
}

impl Scheduler {
    /// Returns the number of volumes that this host remembers.
    pub fn volume_count(&self) -> usize {
        self.volumes.len()
    }

    /// Returns whether a request may name this volume. Otherwise this host remembers as many volumes as it
    /// may, and the request must be rejected.
    pub fn has_place_for_volume(&self, id: VolumeId) -> bool {
        self.volumes.has_place_for(id)
    }

    /// Returns the metrics of all nodes that the endpoint list has ever named.
    pub fn nodes(&self) -> impl Iterator<Item = NodeMetrics> + '_ {
        self.nodes.values().map(node_metrics)
    }

    /// Returns the queued requests and the reasons that block them. Reads at most `max_entries` sub-queues of
    /// the nodes, and as many unassigned requests. The first request of a sub-queue represents all of its
    /// requests.
    pub fn queued(&self, max_entries: usize) -> Vec<QueueMetrics> {
        let view = self.view();
        let mut sums = QueueSums::default();
        let queued = self.nodes.values().flat_map(|node| {
            node.queue
                .sub_queues()
                .map(move |sub_queue| (node, sub_queue))
        });
        for (node, sub_queue) in queued.take(max_entries) {
            let first = sub_queue
                .first()
                .and_then(|entry| self.requests.get(entry.id.0));
            let Some(pending) = first else { continue };
            let Some(block_reason) = view.block_reason_or_concurrency(pending, node) else {
                continue;
            };
            sums.add(QueueMetrics {
                volume: pending.request.volume,
                node: Some(node.id),
                block_reason,
                requests: sub_queue.len(),
                since: pending.received,
            });
        }
        for id in self.queue.unassigned().iter().take(max_entries) {
            let Some(pending) = self.requests.get(*id) else {
                continue;
            };
            sums.add(QueueMetrics {
                volume: pending.request.volume,
                node: None,
                block_reason: BlockReason::NoCapacity,
                requests: 1,
                since: pending.received,
            });
        }
        sums.0.into_values().collect()
    }

    /// Returns the numbers of requests that were rejected or failed since the last call, by cause.
    pub fn take_rejections(&mut self) -> RejectionCounts {
        self.rejections.take_counts()
    }

    /// Returns the requests that were rejected or failed in the last step.
    pub fn rejected_in_step(&self) -> &[RejectedRequest] {
        self.rejections.in_step()
    }
}
