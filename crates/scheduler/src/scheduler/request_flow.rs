//! Life cycle of a request: received, queued, sent, retried, and closed with its final answer.
//!
//! Called by the scheduler's event loop ([`super`]). Keeps the tables, the dispatch queue and the retry policy
//! consistent with each other; the decisions themselves are in the modules of the mechanisms.

use super::attempt_outcome::{forbids_retry, may_still_run, EndedAttempt};
use super::dispatch_queue::RankingSchedule;
use super::placement::Placement;
use super::rejection_log::rejection_cause;
use super::retry_policy::{may_reject, may_resend};
use super::shedding::{queued_too_long, shed_load, MIN_RETRY_AFTER};
use super::Scheduler;
use crate::api::{Action, AttemptEnd, NodeId, Request, RequestId, VolumeId, VolumeTerms};
use crate::rates::queueing_time;
use crate::state::{DesiredState, PendingRequest, Volume};
use std::time::Duration;

impl Scheduler {
    /// Records a request that was just received, and queues it.
    pub(super) fn receive_request(&mut self, request: Request) {
        let now = self.clock.now();
        let class = self.settings.class(&request);
        let plan = self.settings.plan(request.plan);
        self.volumes.requested(request.volume, || {
            let terms = VolumeTerms::even(request.plan, plan, request.hosts);
            Volume::new(terms, plan.reservation)
        });
        let ordered_key = request.key.filter(|_| class.ordered);
        self.retries.request_received(request.id, ordered_key, now);
        // The objective counts from the client's first try. A client's retry has less time to its deadline
        // than the first try had; it must not be treated as new and precede requests that can still meet
        // their objective.
        let spent = self.requests.observe(&request, now);
        let objective_at = now + class.latency_objective.saturating_sub(spent);
        let id = request.id;
        let tie_breaker = self.jitter.fraction();
        let pending = PendingRequest::new(request, now, objective_at, tie_breaker);
        self.requests.insert(pending);
        self.enqueue(id);
    }

    /// Queues a request at the node that holds its data, or as unassigned if any node can take it. A request
    /// that cannot meet its deadline, or whose node is absent, is rejected at once: its client may know a
    /// better host.
    pub(super) fn enqueue(&mut self, id: RequestId) {
        let now = self.clock.now();
        let request = &self.requests[id].request;
        let shard = request.shard;
        let node = shard.and_then(|shard| self.nodes.node_of_shard(shard));
        let is_absent = shard.is_some() && node.is_none();
        let delays = node.map(|node| &node.delays);
        let expected = self.latency.expected_time(delays, request.units);
        if is_absent || now + expected >= request.deadline {
            return self.reject_or_fail(id, MIN_RETRY_AFTER);
        }
        let node = node.map(|node| node.id);
        let Some(pending) = self.requests.get_mut(id) else {
            return;
        };
        let node = node.and_then(|node| self.nodes.get_mut(node));
        self.queue.enqueue(pending, node, now);
    }

    /// Queues again all requests that are queued at nodes that are not ready.
    pub(super) fn requeue_at_unready(&mut self) {
        for id in self.nodes.queued_at_unready() {
            self.dequeue(id);
            self.enqueue(id);
        }
    }

    fn dequeue(&mut self, id: RequestId) {
        if let Some(pending) = self.requests.get_mut(id) {
            self.queue.dequeue(pending, &mut self.nodes);
        }
    }

    /// Rejects the queued requests of a volume that is no longer served, since they would wait in vain.
    /// Outstanding attempts continue, and their outcomes are still recorded.
    pub(super) fn reject_queued(&mut self, volume: VolumeId) {
        for id in self.requests.queued_of_volume(volume) {
            self.reject_or_fail(id, MIN_RETRY_AFTER);
        }
    }

    /// Answers a request that will not be sent again: rejects it if its client may retry it, and fails it
    /// otherwise.
    pub(super) fn reject_or_fail(&mut self, id: RequestId, retry_after: Duration) {
        let Some(pending) = self.requests.get(id) else {
            return;
        };
        if !pending.answered {
            let cause = rejection_cause(&self.view(), pending);
            self.rejections.add(id, cause);
        }
        let idempotency = self.settings.class(&pending.request).idempotency;
        let has_run = pending.attempts.prior().is_some();
        let desired = match may_reject(idempotency, has_run) {
            true => DesiredState::Rejected(retry_after),
            false => DesiredState::Failed,
        };
        if let Some(pending) = self.requests.get_mut(id) {
            pending.desired = desired;
            self.queue.dequeue(pending, &mut self.nodes);
            self.requests.mark_changed(id);
        }
    }

    /// Sends the unassigned requests to nodes that can take them now, and rejects those that cannot meet their
    /// deadline.
    pub(super) fn assign_unassigned(&mut self, ticked: bool) {
        let now = self.clock.now();
        let queued = self.queue.unassigned().len();
        let schedule = RankingSchedule::new(queued, ticked, self.clock.tick_number());
        let is_ranked = schedule.is_short() || schedule.is_due;
        if is_ranked {
            let ids = self.queue.unassigned().iter().copied();
            let ranked = self.view().ranked(ids, None);
            self.queue.set_unassigned(ranked);
        }
        let total_rate = self.concurrency.mean_learned_rate() * self.nodes.len() as f64;
        let until_next_ranking = schedule.until_next_ranking;
        let mut units_ahead = 0.0;
        let mut placement = Placement::default();
        // Between two rankings, only the requests that were first in the last ranking are tried.
        for id in self.queue.first_unassigned(is_ranked) {
            let view = self.view();
            let pending = &view.requests[id];
            let request = &pending.request;
            let wait = queueing_time(units_ahead, total_rate);
            let ready = now + wait + view.expected_time(None, request.units) + until_next_ranking;
            let too_late = ready > request.deadline;
            let cannot_meet_deadline =
                too_late || queued_too_long(pending, until_next_ranking, now);
            let units = request.units;
            match placement.node_for(&view, pending) {
                Some(node) => self.send_attempt(id, node),
                None if ticked && cannot_meet_deadline => {
                    self.reject_or_fail(id, wait.max(MIN_RETRY_AFTER));
                }
                None => units_ahead += units,
            }
        }
    }

    /// Sends the queued requests of a node that may be sent now.
    pub(super) fn dispatch_at(&mut self, node: NodeId) {
        while let Some(id) = self.next_dispatchable(node) {
            self.send_attempt(id, node);
        }
    }

    /// Returns the queued request to send to the node now, if there is one.
    fn next_dispatchable(&mut self, id: NodeId) -> Option<RequestId> {
        // Most visits find the node at its limit: without capacity for the smallest request, none can be sent.
        let smallest = self.requests.smallest_units()?;
        if !self.has_capacity_or_visits_later(id, smallest) {
            return None;
        }
        let node = &self.nodes[id];
        if !self
            .discovery
            .lease()
            .confirms(&node.serving_evidence, self.clock.now())
        {
            return None;
        }
        let best = self.view().best_queued(node)?.id;
        let units = self.requests[best].request.units;
        self.has_capacity_or_visits_later(id, units).then_some(best)
    }

    /// Returns whether the node has capacity for `units` now. If it will have capacity at a known later time,
    /// schedules a visit of the node for then.
    fn has_capacity_or_visits_later(&mut self, id: NodeId, units: f64) -> bool {
        let node = &self.nodes[id];
        let available = self
            .concurrency
            .capacity_available_at(node, units, &self.latency);
        let Some(at) = available else {
            return false;
        };
        let is_now = at <= self.clock.now();
        if !is_now {
            self.queue.visit_at(id, at);
        }
        is_now
    }

    /// Sends an attempt of a queued request to the node.
    fn send_attempt(&mut self, id: RequestId, node_id: NodeId) {
        let now = self.clock.now();
        let view = self.view();
        let node = &view.nodes[node_id];
        let is_covered = view.value_in_time(&view.requests[id], Some(node)).covered;
        // If this host has other attempts at the node, a late answer may be due to them and concerns the
        // concurrency back-off alone. If this is the only attempt, a late answer is due to other hosts.
        let is_only_attempt = node.attempts.units() <= 0.0;
        let pending = self
            .requests
            .get_mut(id)
            .expect("a queued request is known");
        self.queue.dequeue(pending, &mut self.nodes);
        let request = &pending.request;
        let volume = self.volumes.get_mut(request.volume);
        let volume = volume.expect("a request's volume is added when it is received");
        let node = self
            .nodes
            .get_mut(node_id)
            .expect("the caller looked it up");
        if volume.reservation.has_tokens() {
            volume.reservation.take(request.units);
        } else if is_covered {
            node.flows.take_share(request.volume, request.units);
        }
        if !pending.limit_drawn {
            volume.draw_limit(request.units);
        }
        node.attempt_sent(request, now);
        pending.limit_drawn = true;
        pending.desired = DesiredState::Sent(node_id);
        if pending.attempts.add(node_id, is_only_attempt) {
            self.retries.retry_sent(now);
        }
        self.queue.attempt_sent(node_id);
        self.requests.mark_changed(id);
    }

    /// Rejects the requests queued at the node that cannot be answered in time.
    pub(super) fn shed_load(&mut self, id: NodeId, until_next_ranking: Duration) {
        let shed = shed_load(&self.view(), &self.nodes[id], until_next_ranking);
        for (request, retry_after) in shed.rejected {
            self.reject_or_fail(request, retry_after);
        }
        let node = self.nodes.get_mut(id).expect("looked up above");
        node.capacity.observe_reservation(shed.below_reservation);
    }

    /// Records the outcome of an attempt, then closes its request, queues it for a retry, or rejects it.
    pub(super) fn attempt_ended(&mut self, end: &AttemptEnd) {
        self.record_outcome(end);
        self.retry_or_answer(end);
    }

    fn record_outcome(&mut self, end: &AttemptEnd) {
        let now = self.clock.now();
        let Some(pending) = self.requests.get_mut(end.id) else {
            return;
        };
        let Some(node) = self.nodes.get_mut(end.node) else {
            return;
        };
        let volume = self.volumes.get_mut(pending.request.volume);
        let volume = volume.expect("a request's volume is added when it is received");
        if let Some(percent) = end.reported {
            let rate = percent / 100.0 * self.settings.plan(volume.plan).base_rate;
            volume.reservation.report_usage(rate, now);
        }
        let mut attempt = EndedAttempt::new(end, now, pending, node, volume);
        self.queue.node_changed(end.node);
        attempt.record_serving_evidence();
        attempt.refund_limit();
        attempt.record_prior();
        let event = attempt.record_failure(&mut self.throttle);
        attempt.record_answer(&mut self.throttle, &mut self.latency);
        self.log(event);
    }

    fn retry_or_answer(&mut self, end: &AttemptEnd) {
        let now = self.clock.now();
        let Some(pending) = self.requests.get_mut(end.id) else {
            return;
        };
        pending.attempts.mark_ended();
        let class = self.settings.class(&pending.request);
        let ordered_key = pending.request.key.filter(|_| class.ordered);
        if let Some(key) = ordered_key.filter(|_| may_still_run(end.outcome)) {
            self.retries.cool_down_key(key, end.id, now);
        }
        if end.answered || pending.answered || pending.response_started {
            return self.close(end.id);
        }
        let attempts = pending.attempts.count();
        let delay = self.retries.delay(attempts, &mut self.jitter);
        let may_continue = !forbids_retry(end.outcome) && self.retries.attempts_remain(attempts);
        if !may_continue || !self.may_retry_in(delay, end) {
            return self.reject_or_fail(end.id, MIN_RETRY_AFTER);
        }
        if let Some(pending) = self.requests.get_mut(end.id) {
            pending.not_before = now + delay;
        }
        self.enqueue(end.id);
    }

    /// Returns whether the retry budget, idempotency and the time to the deadline allow a retry at the same
    /// node after the delay.
    fn may_retry_in(&self, delay: Duration, end: &AttemptEnd) -> bool {
        let now = self.clock.now();
        let pending = &self.requests[end.id];
        let request = &pending.request;
        let Some(node) = self.nodes.get(end.node) else {
            return false;
        };
        let idempotency = self.settings.class(request).idempotency;
        let prior = pending.attempts.prior();
        let remaining = request.deadline.saturating_sub(now);
        let expected = || {
            self.latency
                .expected_time(Some(&node.delays), request.units)
        };
        self.retries.budget_allows(now)
            && may_resend(idempotency, prior, node.zone, node.shard, now)
            && remaining > expected() + delay
    }

    /// Closes a request that needs no further answer. Its record is kept while an attempt is outstanding.
    pub(super) fn close(&mut self, id: RequestId) {
        let Some(pending) = self.requests.get_mut(id) else {
            return;
        };
        self.queue.dequeue(pending, &mut self.nodes);
        pending.answered = true;
        if pending.attempts.has_outstanding() {
            return;
        }
        let key = pending.request.key;
        self.requests.remove(id);
        let next = key.and_then(|key| self.retries.request_closed(key, id));
        let next = next.and_then(|next| self.requests.get(next));
        if let Some(node) = next.and_then(|pending| pending.queued_at) {
            self.queue.node_changed(node);
        }
    }

    /// Adds the actions for all requests whose desired state has changed.
    pub(super) fn act_on_changed_requests(&mut self) {
        for id in self.requests.take_changed() {
            let Some(pending) = self.requests.get_mut(id) else {
                continue;
            };
            if pending.answered {
                continue;
            }
            match pending.desired {
                DesiredState::Queued => {}
                DesiredState::Sent(node) => {
                    let deadline = pending.request.deadline;
                    if pending.attempts.mark_outstanding(node) {
                        self.actions
                            .push(Action::SendAttempt { id, node, deadline });
                    }
                }
                DesiredState::Rejected(wait) => {
                    let max = self.settings.max_retry_after;
                    let retry_after = max.map(|max| wait.min(max));
                    self.actions.push(Action::Reject { id, retry_after });
                    self.close(id);
                }
                DesiredState::Failed => {
                    self.actions.push(Action::Fail { id });
                    self.close(id);
                }
            }
        }
    }
}
