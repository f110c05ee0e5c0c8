//! The lease of the endpoint list: how long what it says of a node may be acted on.
//!
//! Guards against requests to a node that drains or is gone, by a host that discovery does not answer: it
//! cannot tell a list without changes from one that it is not told of. A change counts as known a term after
//! discovery had it, whatever becomes of this host's calls, so what is older than that may not be relied on.
//! From then on a node gets requests only as long as it completes some itself: one that drains turns them
//! away, at the latest [`DRAIN_NOTICE`] after discovery has told of it. A node that turned away the last one
//! may drain; one that was not reached, or that broke a connection and has completed nothing since that it had
//! before, may be another process when it answers again. Of these only discovery's next answer counts.
//!
//! Harm: while discovery is down, or refuses this host, requests to nodes that it seldom uses are rejected.
//! Limit: a process that is replaced between two requests of this host passes for the former one, and so does
//! one that completes requests for longer than [`DRAIN_NOTICE`] after it was said to drain.

use super::Scheduler;
use crate::api::AttemptOutcome;
use crate::state::Node;
use std::time::Duration;

/// How long the list from before this host's start may be acted on: it says what this host knew when it
/// ended, which may be a second and more ago, and leaves time for a call that waits at discovery.
const CACHED_LEASE: Duration = Duration::from_millis(3000);
/// How long a node that is said to drain may go on with new requests; up to 1.8 s were seen.
const DRAIN_NOTICE: Duration = Duration::from_millis(3000);
/// After discovery has moved, what it has counts as told after 4 s, and the last answer came before that.
const MOVED_LEASE: Duration = Duration::from_millis(3750);

impl Scheduler {
    /// Whether the node may be sent to by what is known of it now.
    pub(super) fn is_confirmed(&self, node: &Node) -> bool {
        let Some(lease) = self.discovery.lease else {
            return true;
        };
        let (now, listed) = (self.state.now, self.state.endpoints_confirmed);
        let same_process = node.not_reached.max(node.connection_lost) <= listed;
        let takes_requests = node.last_served > node.turned_away;
        let still_serves =
            same_process && takes_requests && now + DRAIN_NOTICE < node.last_served + lease;
        now < self.state.endpoints_valid_until || still_serves
    }

    /// Discovery has answered.
    pub(super) fn confirm_endpoints(&mut self) {
        let lease = self.discovery.lease.unwrap_or_default();
        self.state.endpoints_confirmed = self.state.now;
        self.state.endpoints_valid_until = self.state.now + lease;
    }

    /// The list is from before the start. Most hosts may have started just now, and discovery answers them in
    /// turn: called by all at once it refuses most, and works in vain for some of those.
    pub(super) fn confirm_cached_endpoints(&mut self) {
        if self.discovery.lease.is_some() {
            self.state.endpoints_valid_until = self.state.now + CACHED_LEASE;
            self.state.watch_at = Some(self.state.now + self.jitter(CACHED_LEASE / 2));
        }
    }

    /// How often discovery has failed at its former address says nothing of the new one.
    pub(super) fn discovery_moved(&mut self) {
        self.state.fetch_failures = 0;
        let valid_until = self.state.now + MOVED_LEASE;
        self.state.endpoints_valid_until = self.state.endpoints_valid_until.min(valid_until);
    }

    /// Whether the list's lease has run out, when that has changed.
    pub(super) fn log_endpoint_lease(&mut self) {
        if self.discovery.lease.is_none() {
            return;
        }
        let expired = self.state.now >= self.state.endpoints_valid_until;
        if std::mem::replace(&mut self.state.endpoints_expired, expired) == expired {
            return;
        }
        self.state.log(match expired {
            true => "list of nodes: too old, only nodes that answer are used".to_string(),
            false => "list of nodes: in force again".to_string(),
        });
    }
}

/// What the end of an attempt that was sent then says of whether its node takes requests.
pub(super) fn record_contact(
    node: &mut Node,
    outcome: AttemptOutcome,
    sent: Duration,
    now: Duration,
) {
    match outcome {
        AttemptOutcome::Completed => {
            node.last_served = node.last_served.max(sent);
            if sent < node.connection_lost {
                // The process that had this one was there all along.
                node.connection_lost = Duration::ZERO;
            }
        }
        AttemptOutcome::QueueFull => node.turned_away = now,
        AttemptOutcome::ConnectFailed => node.not_reached = now,
        AttemptOutcome::ConnectionReset => node.connection_lost = now,
        // Others that went later were answered: it was this attempt's work, and not the node.
        AttemptOutcome::TimedOut if node.last_served < sent => node.connection_lost = now,
        _ => {}
    }
}
