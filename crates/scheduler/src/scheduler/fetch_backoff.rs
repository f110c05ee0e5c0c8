//! Schedule of the calls to discovery for the endpoint list, with exponential back-off.
//!
//! Called by [`super::Scheduler`] for each answer, failure, refusal or move of discovery. Owns the number of
//! consecutive failures and the time of the next call. Bound: at most one call is scheduled at a time.
//!
//! Guards against hosts that together call discovery so often that it answers none of them in time.

use super::{clock::INTERVAL, jitter::Jitter};
use crate::api::DiscoveryPolicy;
use std::time::Duration;

/// Base of the back-off; the delay doubles with each consecutive failure. Also the queueing time at discovery
/// up to which a refused call counts as a failed one. Larger: a host learns of changes later after one lost
/// call. Smaller: hosts without discovery call it more often.
const BASE_BACKOFF: Duration = Duration::from_millis(200);
/// Bounds the doublings of the back-off. Larger: after a long outage of discovery a host calls it again late.
/// Smaller: during an outage hosts call it more often.
const MAX_DOUBLINGS: u32 = 4;

/// Back-off of the calls to discovery.
#[derive(Debug)]
pub(super) struct FetchBackoff {
    /// The endpoint list must be fetched; discovery does not push it.
    polled: bool,
    /// Time between two polls by the settings.
    poll_interval: Duration,
    /// Consecutive calls that failed or were refused.
    failures: u32,
    /// Time of the next call; None: no call is scheduled.
    next_call_at: Option<Duration>,
}

impl FetchBackoff {
    pub(super) fn new(policy: &DiscoveryPolicy) -> Self {
        FetchBackoff {
            polled: policy.polled,
            poll_interval: policy.poll_interval,
            failures: 0,
            next_call_at: None,
        }
    }

    /// Schedules the first call. All hosts may start together, and discovery has capacity for few calls at a
    /// time, so each host waits for a random part of a control interval.
    pub(super) fn start(&mut self, now: Duration, jitter: &mut Jitter) {
        self.next_call_at = self.polled.then(|| now + jitter.up_to(INTERVAL));
    }

    /// Schedules a call at a random time within `max`.
    pub(super) fn call_within(&mut self, max: Duration, now: Duration, jitter: &mut Jitter) {
        self.next_call_at = Some(now + jitter.up_to(max));
    }

    /// Schedules the call after one that failed.
    pub(super) fn call_failed(&mut self, now: Duration, jitter: &mut Jitter) {
        self.failures += 1;
        let doubled = BASE_BACKOFF * 2u32.pow(self.failures.min(MAX_DOUBLINGS));
        // Well within the time after which the rule counts this host as notified of a change.
        let backoff = doubled.min(self.poll_interval / 4);
        self.schedule(backoff, now, jitter);
    }

    /// Schedules the call after one that discovery refused because it had too many callers. `queued`: the time
    /// for which the call had waited at discovery.
    ///
    /// A call that was queued for long cost discovery work that served nobody. The next call waits longer than
    /// that, and twice as long after each further refusal. Each host then calls at most once in a poll
    /// interval, which is the rate that the settings allow for. Harm: after an outage that looks the same, the
    /// host gets a list later by that delay. A call that was refused at once cost discovery next to nothing, so
    /// its delay is the one after a failure.
    pub(super) fn call_refused(&mut self, queued: Duration, now: Duration, jitter: &mut Jitter) {
        if queued <= BASE_BACKOFF {
            return self.call_failed(now, jitter);
        }
        self.failures += 1;
        let doublings = (self.failures - 1).min(MAX_DOUBLINGS);
        let doubled = queued * 2u32.pow(doublings);
        let backoff = doubled.min(self.poll_interval.saturating_sub(queued));
        self.schedule(backoff, now, jitter);
    }

    fn schedule(&mut self, backoff: Duration, now: Duration, jitter: &mut Jitter) {
        self.next_call_at = Some(now + backoff / 2 + jitter.up_to(backoff));
    }

    /// Forgets the failures: discovery has answered, or has moved to an address that none of them was at.
    pub(super) fn reset(&mut self) {
        self.failures = 0;
    }

    /// Returns whether a call is due, and unschedules it.
    pub(super) fn take_due(&mut self, now: Duration) -> bool {
        self.next_call_at.take_if(|at| now >= *at).is_some()
    }

    /// Time of the next call; None: no call is scheduled.
    pub(super) fn next_call_at(&self) -> Option<Duration> {
        self.next_call_at
    }
}
