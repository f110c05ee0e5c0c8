//! Retry policy: whether another attempt of a request may be sent, given its idempotency, the order of the
//! requests of its key, and the retry budget.
//!
//! The policy prevents duplicate effects, effects of one key out of order, and retry storms.
//!
//! Called by [`super::Scheduler`] for each request received, attempt sent and request closed, and by
//! [`super::dispatch`] before an attempt. [`RetryPolicy`] owns the order of the requests of each key and the
//! counts for the retry budget. Memory: one entry for each key with an open request or a cool-down, and one
//! timestamp for each request and retry in the budget's window.

use super::clock::{INTERVAL, TICK};
use super::jitter::Jitter;
use crate::api::{DeduplicationScope, Idempotency, KeyId, RequestId, RetryBudget, ShardId, ZoneId};
use crate::key_order::KeyOrder;
use crate::rates::RecentEvents;
use std::time::Duration;

/// Maximum number of doublings of the delay before a retry. With a larger value later retries come too late for
/// their deadline; with a smaller one, a failing node gets retries sooner.
const MAX_DOUBLINGS: u32 = 6;

/// Node and send time of an attempt that may have run.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PriorAttempt {
    /// Zone of its node.
    pub zone: ZoneId,
    /// Shard of its node.
    pub shard: ShardId,
    /// Time at which it was sent.
    pub sent: Duration,
}

/// Returns whether an attempt may be sent to a node of this zone and shard without the risk of a duplicate
/// effect. `prior`: an earlier attempt that may have run.
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

/// Returns whether the client may be told to retry, because a retry cannot cause a duplicate effect.
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

/// Retry budget, key order and attempt limit of one host.
#[derive(Debug)]
pub(super) struct RetryPolicy {
    /// Maximum number of attempts of one request, including the first.
    max_attempts: u32,
    /// The retry budget; `None` if retries are not limited.
    budget: Option<RetryBudget>,
    /// Time for which a key is blocked after an attempt that may still be running.
    key_cooldown: Duration,
    key_order: KeyOrder,
    /// Times at which requests were received, within the budget's window.
    received: RecentEvents,
    /// Times at which retries were sent, within the budget's window.
    retries: RecentEvents,
}

impl RetryPolicy {
    /// Returns a policy without a retry budget and without cool-downs.
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

    /// Sets the retry budget and the key cool-down, which is the time for which a key is blocked after an
    /// attempt that may still be running.
    pub(super) fn configure(&mut self, budget: Option<RetryBudget>, key_cooldown: Duration) {
        self.budget = budget;
        self.key_cooldown = key_cooldown;
    }

    /// Counts a received request. `ordered_key`: its key, if its traffic class is ordered.
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

    /// Blocks the key for all requests except this one, whose attempt may still be running.
    pub(super) fn cool_down_key(&mut self, key: KeyId, id: RequestId, now: Duration) {
        self.key_order.cool_down(key, id, now + self.key_cooldown);
    }

    /// Removes a closed request of the key; returns the key's next request in order.
    pub(super) fn request_closed(&mut self, key: KeyId, id: RequestId) -> Option<RequestId> {
        self.key_order.remove(key, id)
    }

    /// Returns whether the request is the first in order of its key, and no cool-down blocks it.
    pub(super) fn key_allows(&self, key: KeyId, id: RequestId, now: Duration) -> bool {
        self.key_order.may_run(key, id, now)
    }

    /// Returns whether a request that has had `attempts` attempts may have another.
    pub(super) fn attempts_remain(&self, attempts: u32) -> bool {
        attempts < self.max_attempts
    }

    /// Returns whether one more retry stays within the budget. The budget applies to every window, and
    /// whoever checks it uses another clock. Requests are therefore counted over a window that is one tick
    /// shorter, and retries over one that is one tick longer.
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

    /// Returns the delay before the retry that follows `attempts` attempts: exponential, with jitter.
    pub(super) fn delay(&self, attempts: u32, jitter: &mut Jitter) -> Duration {
        jitter.up_to(TICK * 2) + TICK * 2u32.pow(attempts.min(MAX_DOUBLINGS))
    }

    /// Removes timestamps that are older than the window, and keys without open requests or a cool-down.
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
