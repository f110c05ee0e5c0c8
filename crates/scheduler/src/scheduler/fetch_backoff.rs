//! Schedule of the calls to the discovery service for the endpoint list, with exponential back-off.
//!
//! The back-off prevents all hosts together from calling discovery so often that it answers none of them in
//! time.
//!
//! Called by [`super::Scheduler`] when discovery answers, fails, refuses a call or moves. Owns the number of
//! consecutive failures and the time of the next call; at most one call is scheduled at a time.

use super::{clock::INTERVAL, jitter::Jitter};
use crate::api::DiscoveryPolicy;
use std::time::Duration;

/// Base of the back-off; the delay doubles with each consecutive failure. It is also the longest queueing
/// time at discovery for which a refused call is treated like a failed one. With a larger value a host learns
/// of changes later after a single lost call; with a smaller one, hosts call discovery more often while it is
/// down.
const BASE_BACKOFF: Duration = Duration::from_millis(200);
/// Maximum number of doublings of the back-off. With a larger value a host resumes its calls late after a long
/// outage of discovery; with a smaller one, hosts call more often during an outage.
const MAX_DOUBLINGS: u32 = 4;

/// Back-off of the calls to discovery.
#[derive(Debug)]
pub(super) struct FetchBackoff {
    /// The host must poll for the endpoint list, because discovery does not push it.
    polled: bool,
    /// Time between two polls, from the settings.
    poll_interval: Duration,
    /// Consecutive calls that failed or were refused.
    failures: u32,
    /// Time of the next call; `None` if no call is scheduled.
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

    /// Schedules the first call. All hosts may start together, and discovery can handle only few calls at a
    /// time, so each host waits for a random fraction of a control interval.
    pub(super) fn start(&mut self, now: Duration, jitter: &mut Jitter) {
        self.next_call_at = self.polled.then(|| now + jitter.up_to(INTERVAL));
    }

    /// Schedules a call at a random time within `max`.
    pub(super) fn call_within(&mut self, max: Duration, now: Duration, jitter: &mut Jitter) {
        self.next_call_at = Some(now + jitter.up_to(max));
    }

    /// Schedules the next call after one that failed.
    pub(super) fn call_failed(&mut self, now: Duration, jitter: &mut Jitter) {
        self.failures += 1;
        let doubled = BASE_BACKOFF * 2u32.pow(self.failures.min(MAX_DOUBLINGS));
        // A quarter of the poll interval is well within the time after which the deployment's rules regard
        // this host as notified of a change.
        let backoff = doubled.min(self.poll_interval / 4);
        self.schedule(backoff, now, jitter);
    }

    /// Schedules the next call after one that discovery refused because it had too many callers. `queued`:
    /// time for which the call was queued at discovery.
    ///
    /// A refused call that was queued for long has wasted discovery's work. The next call therefore waits
    /// about as long as that call was queued, and twice as long after each further refusal, so that each host
    /// calls at most once per poll interval, which is the rate that the settings provide for. The cost is
    /// that after an outage, which cannot be told apart from overload, the host gets the list later by that
    /// delay. A call that was refused at once cost discovery almost nothing, so the delay after it is the
    /// same as after a failure.
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

    /// Resets the failure count, because discovery has answered or has moved to an address that has not failed.
    pub(super) fn reset(&mut self) {
        self.failures = 0;
    }

    /// Returns whether a call is due, and if so removes it from the schedule.
    pub(super) fn take_due(&mut self, now: Duration) -> bool {
        self.next_call_at.take_if(|at| now >= *at).is_some()
    }

    /// Returns the time of the next call, or `None` if no call is scheduled.
    pub(super) fn next_call_at(&self) -> Option<Duration> {
        self.next_call_at
    }
}
