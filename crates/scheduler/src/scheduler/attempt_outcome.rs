//! Attempt outcomes: the effect of an attempt's end on its node, its volume and its request.

use super::outlier_ejection::{is_failure, is_refusal};
use super::requests::MIN_RETRY_AFTER;
use super::retry_policy::{may_resend, PriorAttempt};
use super::Scheduler;
use crate::api::{Action, AttemptEnd, AttemptOutcome};
use std::time::Duration;

impl Scheduler {
    pub(super) fn record_outcome(&mut self, end: &AttemptEnd) {
        let (now, outcome, state) = (self.state.now, end.outcome, &mut self.state);
        let Some(pending) = state.requests.get_mut(&end.id) else {
            return;
        };
        let Some(node) = state.nodes.get_mut(&end.node) else {
            return;
        };
        let volume = state
            .volumes
            .get_mut(&pending.request.volume)
            .expect("made when the request came in");
        if let Some(percent) = end.reported {
            let rate = percent / 100.0 * self.plans[volume.plan.0].base_rate;
            volume.reservation.report_usage(rate, now);
        }
        let sent = node
            .attempt_ended(&pending.request)
            .unwrap_or(now.saturating_sub(end.elapsed));
        state.changed_nodes.insert(end.node);
        node.contact.record(outcome, sent, now);
        // A limit counts what crosses, when it crosses. What was never sent gives its units back; what found
        // no connection draws them again when it goes, or units drawn long before would add to a full
        // bucket's. Harm: where the rule counts an attempt without a connection, as much is lost.
        let undone = matches!(
            outcome,
            AttemptOutcome::NotSent | AttemptOutcome::ConnectFailed
        );
        if pending.attempts == 1 && undone {
            pending.limit_drawn = false;
            volume.refund_limit(if outcome == AttemptOutcome::NotSent {
                pending.request.units
            } else {
                0.0
            });
        }
        if may_have_run(outcome)
            && outcome != AttemptOutcome::Completed
            && pending.prior_attempt.is_none()
        {
            pending.prior_attempt = Some(PriorAttempt {
                zone: node.zone,
                shard: node.shard,
                sent,
            });
        }
        if is_failure(outcome) {
            node.failures.add();
        }
        if is_refusal(outcome) {
            self.throttle.record(&mut node.admission, now, true);
            let ejection = node.failures.ejection(outcome);
            let event = ejection.and_then(|reason| node.eject(reason));
            state
                .actions
                .extend(event.map(|event| Action::Log { event }));
        }
        if outcome == AttemptOutcome::Completed {
            let units = pending.request.units;
            let late = self.latency.record(&mut node.delays, units, end.elapsed);
            if !late || !pending.lateness_counted {
                self.throttle.record(&mut node.admission, now, late);
            }
            volume.reservation.completed(units);
            node.capacity.completed(units, late);
            node.failures.reset(now);
            node.concurrency.completed(late);
        } else if outcome == AttemptOutcome::QueueFull {
            node.capacity.queue_full();
            node.concurrency.queue_full();
        }
    }

    /// After an attempt: closes the request, queues it for a retry, or rejects it.
    pub(super) fn retry_or_answer(&mut self, end: &AttemptEnd) {
        let now = self.state.now;
        let Some(pending) = self.state.requests.get_mut(&end.id) else {
            return;
        };
        pending.out_at = None;
        let class = &self.traffic_classes[pending.request.traffic_class.0];
        use AttemptOutcome::{Cancelled, ConnectionReset, NotSent, TimedOut};
        let may_still_run = matches!(end.outcome, TimedOut | ConnectionReset | Cancelled);
        let ordered_key = pending.request.key.filter(|_| class.ordered);
        if let Some(key) = ordered_key.filter(|_| may_still_run) {
            self.retries.cool_down_key(key, end.id, now);
        }
        if end.answered || pending.answered || pending.response_started {
            return self.state.close(end.id, &mut self.retries);
        }
        let attempts = pending.attempts;
        let delay = self.retries.delay(attempts, &mut self.jitter);
        let final_outcome = matches!(end.outcome, TimedOut | NotSent | Cancelled);
        if !final_outcome && self.retries.attempts_remain(attempts) && self.may_retry_in(delay, end)
        {
            let pending = self
                .state
                .requests
                .get_mut(&end.id)
                .expect("looked up above");
            pending.not_before = now + delay;
            self.enqueue(end.id);
        } else {
            self.reject_or_fail(end.id, MIN_RETRY_AFTER);
        }
    }

    /// Returns whether the retry budget, idempotency and the time to the deadline allow a retry at the same node
    /// after the delay.
    fn may_retry_in(&self, delay: Duration, end: &AttemptEnd) -> bool {
        let now = self.state.now;
        let pending = &self.state.requests[&end.id];
        let Some(node) = self.state.nodes.get(&end.node) else {
            return false;
        };
        let idempotency = self.traffic_classes[pending.request.traffic_class.0].idempotency;
        let remaining = pending.request.deadline.saturating_sub(now);
        let prior = pending.prior_attempt;
        self.retries.budget_allows(now)
            && may_resend(idempotency, prior, node.zone, node.shard, now)
            && remaining > self.expected_time(Some(end.node), pending.request.units) + delay
    }
}

fn may_have_run(outcome: AttemptOutcome) -> bool {
    !matches!(
        outcome,
        AttemptOutcome::QueueFull | AttemptOutcome::ConnectFailed | AttemptOutcome::NotSent
    )
}
