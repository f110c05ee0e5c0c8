//! Retries: whether a failed attempt may be followed by another, under idempotency, budget and time left.

use super::{fair_share::TICK, requests::MIN_RETRY_AFTER, Scheduler};
use crate::api::{AttemptEnd, AttemptOutcome, DeduplicationScope, Idempotency, ShardId, ZoneId};
use crate::state::PriorAttempt;
use std::time::Duration;

const MAX_DOUBLINGS: u32 = 6;

/// Whether an attempt may go to a node of that zone and shard, so that no effect happens twice.
/// `prior`: an earlier attempt that may have run.
pub fn may_resend(
    idempotency: Idempotency,
    prior: Option<PriorAttempt>,
    zone: ZoneId,
    shard: ShardId,
    now: Duration,
) -> bool {
    let Some(prior) = prior else { return true };
    match idempotency {
        Idempotency::Idempotent => true,
        Idempotency::NonIdempotent => false,
        Idempotency::WithKey { scope, window } => {
            let recognised = match scope {
                DeduplicationScope::All => true,
                DeduplicationScope::Zone => prior.zone == zone,
                DeduplicationScope::Shard => prior.shard == shard,
            };
            recognised && now < prior.sent + window
        }
    }
}

/// Whether the client may be told that trying again is harmless.
pub fn may_reject(idempotency: Idempotency, may_have_run: bool) -> bool {
    let recognised = matches!(
        idempotency,
        Idempotency::WithKey {
            scope: DeduplicationScope::All,
            ..
        }
    );
    !may_have_run || idempotency == Idempotency::Idempotent || recognised
}

impl Scheduler {
    /// After an attempt: closes the request, queues it for a retry, or rejects it.
    pub(super) fn retry_or_answer(&mut self, end: &AttemptEnd) {
        let Some(pending) = self.state.requests.get_mut(&end.id) else {
            return;
        };
        pending.out_at = None;
        let class = &self.traffic_classes[pending.request.traffic_class.0];
        use AttemptOutcome::{Cancelled, ConnectionReset, NotSent, TimedOut};
        let may_still_run = matches!(end.outcome, TimedOut | ConnectionReset | Cancelled);
        if let (true, true, Some(key)) = (may_still_run, class.ordered, pending.request.key) {
            self.state
                .key_order
                .cool_down(key, end.id, self.state.now + self.key_cooldown);
        }
        if end.answered || pending.answered || pending.response_started {
            return self.state.close(end.id);
        }
        let attempts = pending.attempts;
        let delay = self.jitter.up_to(TICK * 2) + TICK * 2u32.pow(attempts.min(MAX_DOUBLINGS));
        let final_outcome = matches!(end.outcome, TimedOut | NotSent | Cancelled);
        if !final_outcome && attempts < self.limits.max_attempts && self.may_retry_in(delay, end) {
            let pending = self
                .state
                .requests
                .get_mut(&end.id)
                .expect("looked up above");
            pending.not_before = self.state.now + delay;
            self.enqueue(end.id);
        } else {
            self.reject_or_fail(end.id, MIN_RETRY_AFTER);
        }
    }

    /// Whether budget, idempotency and the time left allow a retry at the same node after the delay.
    fn may_retry_in(&self, delay: Duration, end: &AttemptEnd) -> bool {
        let (now, pending) = (self.state.now, &self.state.requests[&end.id]);
        let Some(node) = self.state.nodes.get(&end.node) else {
            return false;
        };
        let idempotency = self.traffic_classes[pending.request.traffic_class.0].idempotency;
        let left = pending.request.deadline.saturating_sub(now);
        self.retry_budget_allows()
            && may_resend(
                idempotency,
                pending.prior_attempt,
                node.zone,
                node.shard,
                now,
            )
            && left > self.expected_time(Some(end.node), pending.request.units) + delay
    }

    /// Another retry stays inside the budget of any window, whose edge is read against us on both counts.
    pub(super) fn retry_budget_allows(&self) -> bool {
        let Some(budget) = &self.retry_budget else {
            return true;
        };
        let received = self
            .state
            .received
            .within(budget.window.saturating_sub(TICK), self.state.now);
        let retries = self
            .state
            .retries
            .within(budget.window + TICK, self.state.now);
        (retries + 1) as f64 <= budget.min_retries + budget.ratio * received as f64
    }
}
