//! Lease of the endpoint list: how long this host may rely on its last answer from the discovery service.
//!
//! The lease keeps a host that gets no answer from discovery from sending requests to a node that is draining
//! or gone. Without an answer, the host cannot tell an unchanged list from one whose changes it missed. The
//! deployment's rules regard a host as notified of a change one lease after discovery knew of it, whether or
//! not the host's calls succeeded, so an older list must not be relied on.
//!
//! After the lease has expired, a node gets requests only while it keeps completing requests of this host. A
//! draining node starts to reject requests at most [`MAX_DRAIN_REJECTION_DELAY`] after discovery published
//! the drain. Three kinds of nodes get no requests until the next answer from discovery, which alone renews
//! the lease:
//! - a node that rejected the last attempt, because it may be draining;
//! - a node to which no connection could be opened, because another process may listen there next time;
//! - a node that broke a connection and has since completed no attempt that was sent before the break.
//!
//! The cost is that requests to seldom used nodes are rejected while discovery is down or refuses this host.
//! The lease does not detect a process that is replaced between two requests of this host, nor a node that
//! completes requests for longer than [`MAX_DRAIN_REJECTION_DELAY`] after discovery published its drain.
//!
//! Called by [`super::Scheduler`]. [`EndpointLease`] owns the time of discovery's last answer; each node has
//! a [`ServingEvidence`] from its attempts, which takes four timestamps. [`super::fetch_backoff`] schedules
//! the calls to discovery.

use crate::api::{AttemptOutcome, LogEvent};
use std::time::Duration;

/// Length of the lease of a cached list, which this host stored before its restart. The list is as old as the
/// former process, which may have ended a second or more ago. With a larger value requests may go to nodes that
/// have left in the meantime; with a smaller one, a call that is queued at discovery is answered only after the
/// lease has expired.
const CACHED_LEASE: Duration = Duration::from_millis(3000);
/// Upper bound of the time for which a node still accepts requests after discovery has published its drain;
/// delays of up to 1.8 s occur. With a larger value, nodes that complete requests are used for a shorter time
/// after the lease has expired; with a smaller one, a request may go to a node that is draining.
const MAX_DRAIN_REJECTION_DELAY: Duration = Duration::from_millis(3000);
/// Longest remaining lease after the discovery service has moved to another address. The deployment's rules
/// regard a host as notified 4 s after the move, and the last answer came before the move. With a larger
/// value requests may go to a node whose drain the host should know of; with a smaller one, more requests are
/// rejected during a move.
const MOVED_LEASE: Duration = Duration::from_millis(3750);

/// Lease of the endpoint list.
#[derive(Debug)]
pub(super) struct EndpointLease {
    /// Length of the lease after an answer from discovery; `None` if the lease never expires.
    length: Option<Duration>,
    /// Time of discovery's last answer; 0 if there was none since the start.
    confirmed_at: Duration,
    /// End of the lease.
    valid_until: Duration,
    /// The last logged event reported the lease as expired.
    logged_as_expired: bool,
}

impl EndpointLease {
    pub(super) fn new(length: Option<Duration>) -> Self {
        EndpointLease {
            length,
            confirmed_at: Duration::ZERO,
            valid_until: Duration::ZERO,
            logged_as_expired: false,
        }
    }

    /// Returns whether a request may go to the node, because the lease is valid or because the node's
    /// attempts show that it serves requests.
    pub(super) fn confirms(&self, serving_evidence: &ServingEvidence, now: Duration) -> bool {
        let Some(length) = self.length else {
            return true;
        };
        now < self.valid_until || serving_evidence.is_serving(self.confirmed_at, length, now)
    }

    /// Renews the lease after an answer from discovery.
    pub(super) fn renew(&mut self, now: Duration) {
        self.confirmed_at = now;
        self.valid_until = now + self.length.unwrap_or_default();
    }

    /// Starts the short lease of a cached list, which was stored before the restart. Returns the time within
    /// which discovery should be called, or `None` if the settings have no lease.
    ///
    /// The time spreads the calls: most hosts may have started together, and discovery answers calls one at a
    /// time. If all hosts call at once, it refuses most calls, and its work for some of those is wasted.
    pub(super) fn start_cached(&mut self, now: Duration) -> Option<Duration> {
        self.length?;
        self.valid_until = now + CACHED_LEASE;
        Some(CACHED_LEASE / 2)
    }

    /// Shortens the lease because discovery has moved to another address.
    pub(super) fn discovery_moved(&mut self, now: Duration) {
        self.valid_until = self.valid_until.min(now + MOVED_LEASE);
    }

    /// Returns the event to log if the lease has expired or become valid again since the last call.
    pub(super) fn state_change(&mut self, now: Duration) -> Option<LogEvent> {
        self.length?;
        let expired = now >= self.valid_until;
        if expired == self.logged_as_expired {
            return None;
        }
        self.logged_as_expired = expired;
        Some(match expired {
            true => LogEvent::EndpointLeaseExpired,
            false => LogEvent::EndpointLeaseRenewed,
        })
    }
}

/// Evidence, from the attempts sent to one node, that it accepts requests and is still the process that
/// discovery listed. Each time is 0 if the event never happened.
#[derive(Debug, Default)]
pub(crate) struct ServingEvidence {
    /// Send time of the most recently sent attempt that the node completed.
    last_served: Duration,
    /// Time at which the node last rejected an attempt.
    rejected_at: Duration,
    /// Time at which a connection to the node last could not be opened.
    unreachable_at: Duration,
    /// Time at which the node last broke an attempt's connection or left an attempt without an answer; reset
    /// to 0 when the node completes an attempt that was sent before that.
    connection_lost_at: Duration,
}

impl ServingEvidence {
    /// Updates the evidence with the outcome of an attempt that was sent at `sent`.
    pub(super) fn record(&mut self, outcome: AttemptOutcome, sent: Duration, now: Duration) {
        match outcome {
            AttemptOutcome::Completed => {
                self.last_served = self.last_served.max(sent);
                if sent < self.connection_lost_at {
                    // The process that received this attempt has been running all the time.
                    self.connection_lost_at = Duration::ZERO;
                }
            }
            AttemptOutcome::QueueFull => self.rejected_at = now,
            AttemptOutcome::ConnectFailed => self.unreachable_at = now,
            AttemptOutcome::ConnectionReset => self.connection_lost_at = now,
            // If the node completed attempts that were sent later, only this attempt's work was slow, not the
            // node.
            AttemptOutcome::TimedOut if self.last_served < sent => self.connection_lost_at = now,
            _ => {}
        }
    }

    /// Returns whether the node has served this host so recently that it cannot be draining without this host's
    /// knowledge. `confirmed_at`: time of discovery's last answer; `lease`: length of the lease.
    fn is_serving(&self, confirmed_at: Duration, lease: Duration, now: Duration) -> bool {
        let same_process = self.unreachable_at.max(self.connection_lost_at) <= confirmed_at;
        let accepts_requests = self.last_served > self.rejected_at;
        same_process
            && accepts_requests
            && now + MAX_DRAIN_REJECTION_DELAY < self.last_served + lease
    }
}
