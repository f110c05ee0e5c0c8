//! Retry policy: whether another attempt of a request may follow, under idempotency, key order and the retry
//! budget.
//!
//! Called by [`super::Scheduler`] for each request received, attempt sent and request closed, and by the
//! dispatch before an attempt. [`RetryPolicy`] owns the order of requests with one key and the counts behind the
//! retry budget. Bounds: one entry for each key with an open request or a cool-down, and one time for each
//! request and retry of the budget's window.
//!
//! Guards against effects that happen twice, effects of one key out of order, and retry storms.

use super::clock::{INTERVAL, TICK};
use super::jitter::Jitter;
use crate::api::{DeduplicationScope, Idempotency, KeyId, RequestId, RetryBudget, ShardId, ZoneId};
use crate::key_order::KeyOrder;
use crate::rates::RecentEvents;
use std::time::Duration;

/// Bounds the doublings of the delay before a retry. Larger: later retries come too late for their deadline.
/// Smaller: a node that fails gets retries sooner.
const MAX_DOUBLINGS: u32 = 6;

/// Node and sending time of an attempt that may have run.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PriorAttempt {
    /// Zone of its node.
    pub zone: ZoneId,
    /// Shard of its node.
    pub shard: ShardId,
    /// Time at which it was sent.
    pub sent: Duration,
}

/// Returns whether an attempt may go to a node of that zone and shard without the risk that an effect happens
/// twice. `prior`: an earlier attempt that may have run.
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

/// Returns whether the client may be answered that a retry is harmless.
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

/// Retry budget, key order and limits of one host's attempts.
#[derive(Debug)]
pub(super) struct RetryPolicy {
    /// Attempts of one request, its first included.
    max_attempts: u32,
    /// The rule on retries; None: no rule.
    budget: Option<RetryBudget>,
    /// Time for which a key is blocked after an attempt that may still run.
    key_cooldown: Duration,
    key_order: KeyOrder,
    /// Requests received within the budget's window.
    received: RecentEvents,
    /// Retries sent within the budget's window.
    retries: RecentEvents,
}

impl RetryPolicy {
    /// A policy without rules.
    pub(super) fn new(max_attempts: u32) -> Self {
        RetryPolicy {
            max_attempts,
            budget: None,
            key_cooldown: Duration::ZERO,
            key_order: KeyOrder::default(),
            received: RecentEvents::default(),
            retries: RecentEvents::default(),
        }
    }

    /// Sets the rules. `key_cooldown`: time for which a key is blocked after an attempt that may still run.
    pub(super) fn set_rules(&mut self, budget: Option<RetryBudget>, key_cooldown: Duration) {
        self.budget = budget;
        self.key_cooldown = key_cooldown;
    }

    /// Counts a request that was received. `ordered_key`: its key, if its traffic class is ordered.
    pub(super) fn request_received(
        &mut self,
        id: RequestId,
        ordered_key: Option<KeyId>,
        now: Duration,
    ) {
        if let Some(key) = ordered_key {
            self.key_order.push(key, id);
        }
        self.received.add(now);
    }

    /// Counts a retry that was sent.
    pub(super) fn retry_sent(&mut self, now: Duration) {
        self.retries.add(now);
    }

    /// Blocks the key for all requests but this one, whose attempt may still run.
    pub(super) fn cool_down_key(&mut self, key: KeyId, id: RequestId, now: Duration) {
        self.key_order.cool_down(key, id, now + self.key_cooldown);
    }

    /// Removes a closed request of the key; returns the request that is first of the key from now on.
    pub(super) fn request_closed(&mut self, key: KeyId, id: RequestId) -> Option<RequestId> {
        self.key_order.remove(key, id)
    }

    /// Returns whether the request is first of its key, and the key is not blocked for it.
    pub(super) fn key_allows(&self, key: KeyId, id: RequestId, now: Duration) -> bool {
        self.key_order.may_run(key, id, now)
    }

    /// Returns whether a request with so many attempts may have another.
    pub(super) fn attempts_remain(&self, attempts: u32) -> bool {
        attempts < self.max_attempts
    }

    /// Returns whether one more retry stays within the budget. The rule holds for any window, and its observer's
    /// clock differs from this one: so requests are counted over a window that is shorter by a tick, and
    /// retries over one that is longer by a tick.
    pub(super) fn budget_allows(&self, now: Duration) -> bool {
        let Some(budget) = &self.budget else {
            return true;
        };
        let received = self
            .received
            .within(budget.window.saturating_sub(TICK), now);
        let retries = self.retries.within(budget.window + TICK, now);
        (retries + 1) as f64 <= budget.min_retries + budget.ratio * received as f64
    }

    /// Delay before the retry that follows so many attempts: exponential, with jitter.
    pub(super) fn delay(&self, attempts: u32, jitter: &mut Jitter) -> Duration {
        jitter.up_to(TICK * 2) + TICK * 2u32.pow(attempts.min(MAX_DOUBLINGS))
    }

    /// Drops counts that are older than any window, and keys that nothing blocks.
    pub(super) fn expire(&mut self, now: Duration) {
        self.key_order.remove_idle(now);
        let window = self
            .budget
            .as_ref()
            .map_or(Duration::ZERO, |budget| budget.window);
        let span = window + INTERVAL;
        self.received.expire(span, now);
        self.retries.expire(span, now);
    }
}
