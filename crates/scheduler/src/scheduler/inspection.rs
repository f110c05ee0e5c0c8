//! What the decisions know, for operators to look at: metrics of nodes and queues, and causes of rejections.
//! Nothing is decided here, and nothing here is decided by.

use super::Scheduler;
use crate::api::{BlockReason, NodeId, NodeState, RequestId, VolumeId};
use crate::rejection_stats::{
    PaidBy, RejectedRequest, RejectionCause, RejectionCounts, RejectionReason, LAST_SUCCESS_STEPS,
};
use crate::state::{DesiredState, Node, PendingRequest};
use std::collections::BTreeMap;
use std::time::Duration;

/// One node as this host sees it. Units; rates are units a second.
#[derive(Debug, Clone, PartialEq)]
pub struct NodeMetrics {
    /// The node.
    pub node: NodeId,
    /// What the endpoint list says of it.
    pub state: NodeState,
    /// When its process last started; None: long ago.
    pub started: Option<Duration>,
    /// Attempts out.
    pub attempts: usize,
    /// Units out.
    pub outstanding: f64,
    /// Requests queued.
    pub queued: usize,
    /// Rate that may go to it by the probing window.
    pub estimate: f64,
    /// Rate that it was learnt to do.
    pub learned_rate: f64,
    /// Factor on its concurrency limit, over 0 to 1.
    pub concurrency_factor: f64,
    /// How far down the scale of values it takes requests, from 0 to 1.
    pub admission_level: f64,
    /// Fraction of its answers that were late.
    pub late_fraction: f64,
    /// It has just started, and this host keeps to its quota.
    pub slow_start: bool,
    /// Failures in a row.
    pub consecutive_failures: u32,
    /// When it last completed an attempt; 0: never.
    pub last_success: Duration,
    /// When it was last sent something; 0: never.
    pub last_sent: Duration,
}

/// Queued requests of one volume that wait at one node (None: new objects) for one thing.
#[derive(Debug, Clone, PartialEq)]
pub struct QueueMetrics {
    /// The volume.
    pub volume: VolumeId,
    /// The node; None: any could take them.
    pub node: Option<NodeId>,
    /// What they wait for.
    pub block_reason: BlockReason,
    /// How many they are.
    pub requests: usize,
    /// When the first of them came in.
    pub since: Duration,
}

impl Scheduler {
    /// All nodes ever listed.
    pub fn nodes(&self) -> impl Iterator<Item = NodeMetrics> + '_ {
        self.state.nodes.values().map(node_metrics)
    }

    /// What is queued and why, of at most so many lines of requests that are worth the same, and of so many
    /// unassigned ones; of each line the first stands for all.
    pub fn queued(&self, lines: usize) -> Vec<QueueMetrics> {
        let mut all: BTreeMap<(VolumeId, Option<NodeId>, BlockReason), QueueMetrics> =
            BTreeMap::new();
        let mut add = |metrics: QueueMetrics| {
            let key = (metrics.volume, metrics.node, metrics.block_reason);
            let sum = all.entry(key).or_insert(QueueMetrics {
                requests: 0,
                ..metrics
            });
            sum.requests += metrics.requests;
            sum.since = sum.since.min(metrics.since);
        };
        let queued = self
            .state
            .nodes
            .values()
            .flat_map(|node| node.queue.lines().map(move |line| (node.id, line)));
        for (node, line) in queued.take(lines) {
            let first = line
                .first()
                .and_then(|entry| self.state.requests.get(&entry.id.0));
            let Some(pending) = first else { continue };
            let Some(block_reason) = self.block_reason_or_concurrency(pending, node) else {
                continue;
            };
            add(QueueMetrics {
                volume: pending.request.volume,
                node: Some(node),
                block_reason,
                requests: line.len(),
                since: pending.received,
            });
        }
        for id in self.state.unassigned.iter().take(lines) {
            let Some(pending) = self.state.requests.get(id) else {
                continue;
            };
            add(QueueMetrics {
                volume: pending.request.volume,
                node: None,
                block_reason: BlockReason::NoCapacity,
                requests: 1,
                since: pending.received,
            });
        }
        all.into_values().collect()
    }

    /// What was rejected or failed since the last call.
    pub fn take_rejections(&mut self) -> RejectionCounts {
        std::mem::take(&mut self.state.rejections)
    }

    /// What was rejected or failed in the last step.
    pub fn rejected_in_step(&self) -> &[RejectedRequest] {
        &self.state.rejected
    }

    /// Counts a request that is about to be rejected, under what blocks it now.
    pub(super) fn count_rejection(&mut self, id: RequestId) {
        let Some(pending) = self
            .state
            .requests
            .get(&id)
            .filter(|pending| !pending.answered)
        else {
            return;
        };
        let endpoint = pending
            .request
            .shard
            .and_then(|shard| self.state.node_of_shard(shard));
        let node = pending
            .queued_at
            .or(pending.last_node)
            .or(endpoint)
            .map(|id| &self.state.nodes[&id]);
        let cause = RejectionCause {
            reason: self.rejection_reason(pending, endpoint),
            traffic_class: pending.request.traffic_class,
            paid_by: self.paid_by(pending, node),
            last_success: self.last_success_step(node),
        };
        *self.state.rejections.entry(cause).or_default() += 1;
        self.state.rejected.push(RejectedRequest { id, cause });
    }

    fn paid_by(&self, pending: &PendingRequest, node: Option<&Node>) -> PaidBy {
        let volume = self.state.volumes.get(&pending.request.volume);
        if volume.is_some_and(|volume| volume.reservation.pays()) {
            return PaidBy::Reservation;
        }
        let share = node.and_then(|node| node.share_level(pending.request.volume));
        match share.is_none_or(|level| level > 0.0) {
            true => PaidBy::Share,
            false => PaidBy::Nothing,
        }
    }

    fn last_success_step(&self, node: Option<&Node>) -> usize {
        let never = LAST_SUCCESS_STEPS.len();
        let Some(node) = node.filter(|node| !node.attempts.last_sent().is_zero()) else {
            return never;
        };
        let age = self.state.now.saturating_sub(node.failures.last_success());
        LAST_SUCCESS_STEPS
            .iter()
            .position(|step| age <= *step)
            .unwrap_or(never)
    }

    fn rejection_reason(
        &self,
        pending: &PendingRequest,
        endpoint: Option<NodeId>,
    ) -> RejectionReason {
        if matches!(pending.desired, DesiredState::Sent(_)) {
            return RejectionReason::AttemptFailed;
        }
        let Some(node) = pending.queued_at else {
            return match (pending.request.shard, endpoint) {
                (None, _) => RejectionReason::Blocked(BlockReason::NoCapacity),
                (Some(_), None) => RejectionReason::NoEndpoint,
                (Some(_), Some(_)) => RejectionReason::QueuedTooLong,
            };
        };
        let blocked = self.block_reason_or_concurrency(pending, node);
        blocked.map_or(RejectionReason::QueuedTooLong, RejectionReason::Blocked)
    }

    fn block_reason_or_concurrency(
        &self,
        pending: &PendingRequest,
        node: NodeId,
    ) -> Option<BlockReason> {
        let at_limit = !self.has_capacity(node, pending.request.units);
        self.block_reason(pending, node)
            .or(at_limit.then_some(BlockReason::Concurrency))
    }
}

fn node_metrics(node: &Node) -> NodeMetrics {
    // Until something was sent, the last success is when the node came up.
    let last_sent = node.attempts.last_sent();
    let used = !last_sent.is_zero();
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
        last_success: if used {
            node.failures.last_success()
        } else {
            Duration::ZERO
        },
        last_sent,
    }
}
