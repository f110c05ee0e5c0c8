//! Lease of the endpoint list: how long this host may act on its last answer from discovery.
//!
//! Guards against requests to a node that is draining or gone, from a host that gets no answer from discovery.
//! Without an answer a list that did not change looks the same as a list whose changes were missed. The rules count a host
//! as notified of a change one lease after discovery had it, whether or not this host's calls succeeded. An
//! entry older than that may therefore not be relied on.
//!
//! After the lease has expired, a node gets requests only while it completes requests of this host. A draining
//! node rejects requests, at the latest [`DRAIN_NOTICE`] after discovery published its draining. Three kinds of
//! node must wait for the next answer from discovery, which alone renews the lease:
//! - a node that rejected the last attempt: it may be draining;
//! - a node that this host could not connect to: another process may answer there next time;
//! - a node that broke a connection, and has since completed no attempt that was sent before that.
//!
//! Harm: while discovery is down, or refuses this host, requests to nodes that this host seldom uses are
//! rejected. Limit: the lease does not notice a process that is replaced between two requests of this host, nor
//! one that completes requests for longer than [`DRAIN_NOTICE`] after discovery published its draining.
//!
//! Called by [`super::Scheduler`]. [`EndpointLease`] owns when discovery answered; [`NodeContact`], one a node,
//! owns the evidence from that node's attempts. Bound: four times a node. The calls to discovery themselves are
//! scheduled by [`super::fetch_backoff`].

use crate::api::{AttemptOutcome, LogEvent};
use std::time::Duration;

/// Lease of a list that was stored before this host's start. The list is as old as this host's former process,
/// which may have ended a second and more ago. Larger: requests may go to nodes that left meanwhile.
/// Smaller: a call that waits at discovery is answered after the lease has expired.
const CACHED_LEASE: Duration = Duration::from_millis(3000);
/// Bounds the time for which a draining node still accepts requests; up to 1.8 s were seen. Larger: after the
/// lease has expired, nodes that serve are trusted for a shorter time. Smaller: a request may go to a node that
/// is draining.
const DRAIN_NOTICE: Duration = Duration::from_millis(3000);
/// Bounds the lease after discovery has moved. The rules count a host as notified 4 s after the move, and the
/// last answer came before it. Larger: requests may go to a node whose draining counts as known. Smaller: more
/// requests are rejected during a move.
const MOVED_LEASE: Duration = Duration::from_millis(3750);

/// Lease of the endpoint list.
#[derive(Debug)]
pub(super) struct EndpointLease {
    /// Length of the lease after an answer from discovery; None: it never expires.
    length: Option<Duration>,
    /// Time of discovery's last answer; 0: none since the start.
    confirmed_at: Duration,
    /// End of the lease.
    valid_until: Duration,
    /// The log shows the lease as expired.
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

    /// Returns whether a request may go to the node, by the lease or by the evidence of its attempts.
    pub(super) fn confirms(&self, contact: &NodeContact, now: Duration) -> bool {
        let Some(length) = self.length else {
            return true;
        };
        now < self.valid_until || contact.still_serves(self.confirmed_at, length, now)
    }

    /// Renews the lease: discovery has answered.
    pub(super) fn renew(&mut self, now: Duration) {
        self.confirmed_at = now;
        self.valid_until = now + self.length.unwrap_or_default();
    }

    /// Starts the short lease of a list that was stored before the start. Returns the time within which
    /// discovery should be called; None: there is no lease. Most hosts may have started together, and discovery
    /// answers calls one after the other: if all call at once, it refuses most of them, and its work for some
    /// of those is lost.
    pub(super) fn start_cached(&mut self, now: Duration) -> Option<Duration> {
        self.length?;
        self.valid_until = now + CACHED_LEASE;
        Some(CACHED_LEASE / 2)
    }

    /// Shortens the lease: discovery is at another address from now on.
    pub(super) fn discovery_moved(&mut self, now: Duration) {
        self.valid_until = self.valid_until.min(now + MOVED_LEASE);
    }

    /// Returns the log event if the lease has expired, or is valid again, since the last call.
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

/// Evidence from one node's attempts that it accepts requests and is the process that discovery listed. All
/// times are 0 for "never".
#[derive(Debug, Default)]
pub(crate) struct NodeContact {
    /// Sending time of the latest attempt that the node completed.
    last_served: Duration,
    /// Last time that the node rejected an attempt.
    rejected_at: Duration,
    /// Last time that no connection to the node could be opened.
    unreachable_at: Duration,
    /// Last time that the node broke an attempt's connection or fell silent; 0 again once the node has
    /// completed an attempt that was sent before that.
    connection_lost_at: Duration,
}

impl NodeContact {
    /// Updates the evidence from the outcome of an attempt that was sent at `sent`.
    pub(super) fn record(&mut self, outcome: AttemptOutcome, sent: Duration, now: Duration) {
        match outcome {
            AttemptOutcome::Completed => {
                self.last_served = self.last_served.max(sent);
                if sent < self.connection_lost_at {
                    // The process that had this attempt has run all the time.
                    self.connection_lost_at = Duration::ZERO;
                }
            }
            AttemptOutcome::QueueFull => self.rejected_at = now,
            AttemptOutcome::ConnectFailed => self.unreachable_at = now,
            AttemptOutcome::ConnectionReset => self.connection_lost_at = now,
            // The node completed attempts that were sent later: this attempt's work was slow, not the node.
            AttemptOutcome::TimedOut if self.last_served < sent => self.connection_lost_at = now,
            _ => {}
        }
    }

    /// Returns whether the node has served this host so recently that it cannot be draining unnoticed.
    /// `listed`: time of discovery's last answer; `lease`: length of the lease.
    fn still_serves(&self, listed: Duration, lease: Duration, now: Duration) -> bool {
        let same_process = self.unreachable_at.max(self.connection_lost_at) <= listed;
        let accepts_requests = self.last_served > self.rejected_at;
        same_process && accepts_requests && now + DRAIN_NOTICE < self.last_served + lease
    }
}
