//! Dispatch: which queued request goes to a node next, and what keeps one from going.

use super::{retry_policy::may_resend, Scheduler};
use crate::api::{BlockReason, NodeId, RequestId};
use crate::request_queue::{best_candidate, best_of_line, sort_by_value, Candidate, Line};
use crate::state::PendingRequest;
use std::{cmp::Reverse, time::Duration};

pub(super) const RANKED_AT_ONCE: usize = 256; // queued requests of a node, or unassigned ones, in each tick
const MAX_RANKING_TICKS: usize = 4; // else, with thousands queued, ranking would be all that a host does

/// In how many ticks so many queued requests are ranked once.
pub(super) fn ticks_per_ranking(queued: usize) -> u32 {
    (1 + queued / RANKED_AT_ONCE).min(MAX_RANKING_TICKS) as u32
}

/// Value of a unit of a request.
#[derive(Debug, Clone, Copy)]
pub(super) struct Value {
    pub amount: f64,
    /// A bucket would pay for it.
    pub paid: bool,
}

impl Scheduler {
    /// Value of a unit at the node (None: at any), sent now.
    pub(super) fn value(&self, pending: &PendingRequest, node: Option<NodeId>) -> Value {
        let in_time = self.value_in_time(pending, node);
        let late =
            self.state.now + self.expected_time(node, pending.request.units) > pending.objective_at;
        let class = &self.traffic_classes[pending.request.traffic_class.0];
        Value {
            amount: in_time.amount * if late { class.late_fraction } else { 1.0 },
            ..in_time
        }
    }

    /// The same, were it in time: alike for all of one volume and traffic class.
    pub(super) fn value_in_time(&self, pending: &PendingRequest, node: Option<NodeId>) -> Value {
        let class = &self.traffic_classes[pending.request.traffic_class.0];
        let volume = &self.state.volumes[&pending.request.volume];
        let node = node.and_then(|id| self.state.nodes.get(&id));
        let share = node.and_then(|node| node.share_level(pending.request.volume));
        let (fraction, paid) = match share {
            _ if volume.reservation.pays() => (1.0, true),
            Some(level) if level <= 0.0 => (self.units.spare_fraction, false),
            _ => (self.units.share_fraction, true),
        };
        Value {
            amount: fraction * class.priority_weight * self.plans[volume.plan.0].price,
            paid,
        }
    }

    /// Which of the rules and the buckets keeps a request from going to the node now; None: it may go.
    pub(super) fn block_reason(&self, pending: &PendingRequest, id: NodeId) -> Option<BlockReason> {
        let (now, request, node) = (self.state.now, &pending.request, &self.state.nodes[&id]);
        let class = &self.traffic_classes[request.traffic_class.0];
        if !(pending.not_before..request.deadline).contains(&now) {
            return Some(BlockReason::RetryDelay);
        }
        let key = request.key.filter(|_| class.ordered);
        if key.is_some_and(|key| !self.retries.key_allows(key, request.id, now)) {
            return Some(BlockReason::KeyOrder);
        }
        if pending.attempts > 0 && !self.retries.budget_allows(now) {
            return Some(BlockReason::RetryBudget);
        }
        let volume = &self.state.volumes[&request.volume];
        if !pending.limit_drawn && volume.limit_is_below(request.units) {
            return Some(BlockReason::RateLimit);
        }
        if !node.warm_up.allows() {
            return Some(BlockReason::SlowStart);
        }
        if !may_resend(
            class.idempotency,
            pending.prior_attempt,
            node.zone,
            node.shard,
            now,
        ) {
            return Some(BlockReason::Idempotency);
        }
        if !self.endpoint_lease.confirms(&node.contact, now) {
            return Some(BlockReason::Unconfirmed);
        }
        let value = self.value(pending, Some(id));
        if !value.paid && !node.capacity.has_spare() {
            return Some(BlockReason::Share);
        }
        let admitted = self
            .throttle
            .admits(&node.admission, value.amount, pending.tie_breaker);
        (!admitted).then_some(BlockReason::Throttled)
    }

    /// The queued request that goes to the node now.
    pub(super) fn next_dispatchable(&mut self, node: NodeId) -> Option<RequestId> {
        // Most looks find the node at its limit: where the smallest has no capacity, none has.
        if !self.has_capacity_or_waits(node, self.state.smallest_units?) {
            return None;
        }
        let contact = &self.state.nodes[&node].contact;
        if !self.endpoint_lease.confirms(contact, self.state.now) {
            return None;
        }
        let id = self.best_queued(node)?.id;
        let units = self.state.requests[&id].request.units;
        self.has_capacity_or_waits(node, units).then_some(id)
    }

    /// Whether the node has capacity; where time alone will bring it, the node is looked at again then.
    fn has_capacity_or_waits(&mut self, node: NodeId, units: f64) -> bool {
        let entry = &self.state.nodes[&node];
        let Some(at) = self
            .concurrency
            .capacity_available_at(entry, units, &self.latency)
        else {
            return false;
        };
        if at > self.state.now {
            self.state.due.insert((at, node));
        }
        at <= self.state.now
    }

    /// The queued request that should go next to the node. A smaller one behind it waits, or large ones would
    /// never go.
    pub(super) fn best_queued(&self, node: NodeId) -> Option<Candidate> {
        let soonest = self.state.now + self.expected_time(Some(node), 0.0);
        let lines = self.state.nodes[&node].queue.lines();
        best_candidate(lines.filter_map(|line| self.best_of(line, node, soonest)))
    }

    fn best_of(&self, line: &Line, id: NodeId, soonest: Duration) -> Option<Candidate> {
        let node = &self.state.nodes[&id];
        let any = &self.state.requests[&line.first()?.id.0];
        // What blocks the luckiest of a line blocks all of it, however long it is.
        let value = self.value_in_time(any, Some(id));
        let volume = &self.state.volumes[&any.request.volume];
        let smallest = self.state.smallest_units.unwrap_or(0.0);
        let spent = !any.limit_drawn && volume.limit_is_below(smallest);
        let payable = value.paid || node.capacity.has_spare();
        if spent || !payable || !self.throttle.admits(&node.admission, value.amount, 1.0) {
            return None;
        }
        best_of_line(line, soonest, value.amount, |entry| {
            let pending = &self.state.requests[&entry.id.0];
            self.block_reason(pending, id)
                .is_none()
                .then(|| self.candidate(pending, id))
        })
    }

    pub(super) fn candidate(&self, pending: &PendingRequest, node: NodeId) -> Candidate {
        let value = self.value(pending, Some(node)).amount;
        Candidate {
            value,
            objective_at: Reverse(pending.objective_at),
            id: pending.request.id,
        }
    }

    /// Queued requests, the best first.
    pub(super) fn ranked(
        &self,
        ids: impl Iterator<Item = RequestId>,
        at: Option<NodeId>,
    ) -> Vec<RequestId> {
        sort_by_value(ids, |id| self.value(&self.state.requests[id], at).amount)
    }

    pub(super) fn send_attempt(&mut self, id: RequestId, node: NodeId) {
        let value = self.value(&self.state.requests[&id], Some(node));
        // Late behind others of our own is for the concurrency back-off; late alone is others' doing.
        let alone = self.state.nodes[&node].attempts.units() <= 0.0;
        if self.state.record_sent(id, node, value.paid, alone) {
            self.retries.retry_sent(self.state.now);
        }
    }
}
