//! Where a request is queued, how one is answered that will not be sent, and how long an attempt should take.

use super::{retry_policy::may_reject, Scheduler};
use crate::api::{NodeId, RequestId};
use crate::state::DesiredState;
use std::time::Duration;

pub(super) const MIN_RETRY_AFTER: Duration = Duration::from_millis(500);

impl Scheduler {
    /// Queues a request at the node that has its data, or among those that any may take. One whose time is
    /// up, or whose node is absent, is rejected at once: its client may know better.
    pub(super) fn enqueue(&mut self, id: RequestId) {
        let request = &self.state.requests[&id].request;
        let node = request
            .shard
            .and_then(|shard| self.state.node_of_shard(shard));
        let absent = request.shard.is_some() && node.is_none();
        if absent || self.state.now + self.expected_time(node, request.units) >= request.deadline {
            return self.reject_or_fail(id, MIN_RETRY_AFTER);
        }
        self.state.enqueue(id, node);
    }

    /// Answers a request that will not be sent: rejected where its client may try again, else failed.
    pub(super) fn reject_or_fail(&mut self, id: RequestId, retry_after: Duration) {
        self.count_rejection(id);
        let Some(pending) = self.state.requests.get_mut(&id) else {
            return;
        };
        let idempotency = self.traffic_classes[pending.request.traffic_class.0].idempotency;
        pending.desired = match may_reject(idempotency, pending.prior_attempt.is_some()) {
            true => DesiredState::Rejected(retry_after),
            false => DesiredState::Failed,
        };
        self.state.mark_changed(id);
    }

    /// Time that an attempt of this size should take at the node; None: at any node.
    pub(super) fn expected_time(&self, node: Option<NodeId>, units: f64) -> Duration {
        let node = node.and_then(|id| self.state.nodes.get(&id));
        self.latency
            .expected_time(node.map(|node| &node.delays), units)
    }

    /// Returns whether the node has capacity for so many units now.
    pub(super) fn has_capacity(&self, node: NodeId, units: f64) -> bool {
        let node = &self.state.nodes[&node];
        self.concurrency
            .has_capacity(node, units, &self.latency, self.state.now)
    }
}
