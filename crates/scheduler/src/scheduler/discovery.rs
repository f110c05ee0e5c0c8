//! The scheduler's state about the discovery service: the lease of the endpoint list and the schedule of the
//! calls.
//!
//! Called by [`super::Scheduler`] when discovery answers, fails, refuses a call or moves. The host makes the
//! calls themselves.

use super::endpoint_lease::EndpointLease;
use super::fetch_backoff::FetchBackoff;
use super::jitter::Jitter;
use crate::api::{DiscoveryPolicy, EndpointUpdateKind, LogEvent};
use std::time::Duration;

/// Lease and call schedule of the endpoint list.
#[derive(Debug)]
pub(super) struct Discovery {
    lease: EndpointLease,
    backoff: FetchBackoff,
}

impl Discovery {
    pub(super) fn new(policy: &DiscoveryPolicy) -> Self {
        Discovery {
            lease: EndpointLease::new(policy.lease),
            backoff: FetchBackoff::new(policy),
        }
    }

    /// Schedules the first call.
    pub(super) fn start(&mut self, now: Duration, jitter: &mut Jitter) {
        self.backoff.start(now, jitter);
    }

    /// Records an update of the endpoint list, or a failed call.
    pub(super) fn updated(&mut self, kind: EndpointUpdateKind, now: Duration, jitter: &mut Jitter) {
        match kind {
            EndpointUpdateKind::Delta | EndpointUpdateKind::Snapshot => self.backoff.reset(),
            EndpointUpdateKind::Cached => {
                if let Some(within) = self.lease.start_cached(now) {
                    self.backoff.call_within(within, now, jitter);
                }
            }
            EndpointUpdateKind::FetchFailed => self.backoff.call_failed(now, jitter),
        }
    }

    /// Records an answer from discovery: the endpoint list is up to date.
    pub(super) fn confirmed(&mut self, now: Duration) {
        self.lease.renew(now);
    }

    /// Records that discovery has moved to another address.
    pub(super) fn moved(&mut self, now: Duration) {
        self.backoff.reset();
        self.lease.discovery_moved(now);
    }

    /// Records a call that discovery refused after it had been queued there.
    pub(super) fn refused(&mut self, queued: Duration, now: Duration, jitter: &mut Jitter) {
        self.backoff.call_refused(queued, now, jitter);
    }

    pub(super) fn lease(&self) -> &EndpointLease {
        &self.lease
    }

    /// Returns the event to log if the lease has expired or become valid again since the last call.
    pub(super) fn lease_change(&mut self, now: Duration) -> Option<LogEvent> {
        self.lease.state_change(now)
    }

    /// Returns whether a call is due, and if so removes it from the schedule.
    pub(super) fn take_due_call(&mut self, now: Duration) -> bool {
        self.backoff.take_due(now)
    }

    /// Returns the time of the next call, or `None` if no call is scheduled.
    pub(super) fn next_call_at(&self) -> Option<Duration> {
        self.backoff.next_call_at()
    }
}
