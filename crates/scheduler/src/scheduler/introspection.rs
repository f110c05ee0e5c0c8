//! Introspection: the state of the decisions, for operators. Reads the tables; decides nothing.

use super::Scheduler;
use crate::api::{BlockReason, NodeId, NodeState, VolumeId};
use crate::rejection_stats::{RejectedRequest, RejectionCounts};
use crate::state::Node;
use std::collections::BTreeMap;
use std::time::Duration;

/// One node, as this host sees it. Units; rates are units a second.
#[derive(Debug, Clone, PartialEq)]
pub struct NodeMetrics {
    /// The node.
    pub node: NodeId,
    /// Its state by the endpoint list.
    pub state: NodeState,
    /// Time at which its process last started; None: long ago.
    pub started: Option<Duration>,
    /// Attempts outstanding.
    pub attempts: usize,
    /// Units outstanding.
    pub outstanding: f64,
    /// Requests queued.
    pub queued: usize,
    /// Rate that may go to it by the probing window.
    pub estimate: f64,
    /// Rate that it has done for this host.
    pub learned_rate: f64,
    /// Factor on its concurrency limit, above 0 and up to 1.
    pub concurrency_factor: f64,
    /// Part of the scale of values that is admitted, from 0 to 1.
    pub admission_level: f64,
    /// Fraction of its answers that were late.
    pub late_fraction: f64,
    /// It has started recently, and this host keeps to its quota.
    pub slow_start: bool,
    /// Consecutive failures.
    pub consecutive_failures: u32,
    /// Time at which it last completed an attempt; 0: never.
    pub last_success: Duration,
    /// Time at which the last attempt was sent to it; 0: never.
    pub last_sent: Duration,
}

impl NodeMetrics {
    fn new(node: &Node) -> Self {
        // Until an attempt was sent, the last success is the time at which the node came up.
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
}

/// Queued requests of one volume that one reason blocks at one node.
#[derive(Debug, Clone, PartialEq)]
pub struct QueueMetrics {
    /// The volume.
    pub volume: VolumeId,
    /// The node; None: they are new objects, which any node can take.
    pub node: Option<NodeId>,
    /// The reason.
    pub block_reason: BlockReason,
    /// Number of requests.
    pub requests: usize,
    /// Time at which the first of them was received.
    pub since: Duration,
}

/// Queued requests, added up by volume, node and reason.
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
    /// All nodes that were ever listed.
    pub fn nodes(&self) -> impl Iterator<Item = NodeMetrics> + '_ {
        self.nodes.values().map(NodeMetrics::new)
    }

    /// Queued requests and the reasons that block them. At most so many lines of requests of equal value, and so
    /// many unassigned requests, are read; the first request of a line stands for the complete line.
    pub fn queued(&self, lines: usize) -> Vec<QueueMetrics> {
        let view = self.view();
        let mut sums = QueueSums::default();
        let queued = self
            .nodes
            .values()
            .flat_map(|node| node.queue.lines().map(move |line| (node, line)));
        for (node, line) in queued.take(lines) {
            let first = line.first().and_then(|entry| self.requests.get(entry.id.0));
            let Some(pending) = first else { continue };
            let Some(block_reason) = view.block_reason_or_concurrency(pending, node) else {
                continue;
            };
            sums.add(QueueMetrics {
                volume: pending.request.volume,
                node: Some(node.id),
                block_reason,
                requests: line.len(),
                since: pending.received,
            });
        }
        for id in self.queue.unassigned().iter().take(lines) {
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

    /// Returns the requests that were rejected or failed since the last call, by cause.
    pub fn take_rejections(&mut self) -> RejectionCounts {
        self.rejections.take_counts()
    }

    /// Requests that were rejected or failed in the last step.
    pub fn rejected_in_step(&self) -> &[RejectedRequest] {
        self.rejections.in_step()
    }
}
