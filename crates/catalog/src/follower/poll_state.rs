//! The connection to the leader and the one poll that may be pending on it.
//!
//! The follower calls [`PollState`] for each event of the connection and at each step. State:
//! whether there is a connection, the pending poll, and how long the response may take.

use crate::leader::CallId;
use std::time::Duration;

/// How long the first response may take. Later responses may take as long as the last lease, of
/// which the leader delays them by a third at most. Guards against a response that was lost on a
/// connection that is still up. A longer time delays the next poll in that case; a shorter one
/// repeats polls at a leader that is slow.
const FIRST_POLL_TIMEOUT: Duration = Duration::from_secs(1);

/// A poll that has no response yet.
#[derive(Debug, Clone, Copy)]
pub(super) struct PendingPoll {
    pub call: CallId,
    pub sent: Duration,
}

/// The connection and its pending poll; see the module.
#[derive(Debug)]
pub(super) struct PollState {
    is_connected: bool,
    pending: Option<PendingPoll>,
    timeout: Duration,
}

impl PollState {
    pub fn new() -> Self {
        PollState {
            is_connected: false,
            pending: None,
            timeout: FIRST_POLL_TIMEOUT,
        }
    }

    /// Returns whether there is a connection to the leader.
    pub fn is_connected(&self) -> bool {
        self.is_connected
    }

    /// The connection is up or down. A poll that was pending gets no response.
    pub fn set_connected(&mut self, is_connected: bool) {
        self.is_connected = is_connected;
        self.pending = None;
    }

    /// Ends the pending poll if the response is for that call; returns the poll.
    pub fn complete(&mut self, call: CallId) -> Option<PendingPoll> {
        self.pending.take_if(|pending| pending.call == call)
    }

    /// Sets how long later responses may take, from the lease that was granted.
    pub fn set_timeout(&mut self, lease: Duration) {
        self.timeout = lease;
    }

    /// Drops the pending poll if its response is overdue. Returns whether a poll is still pending.
    pub fn is_pending(&mut self, now: Duration) -> bool {
        self.pending
            .take_if(|pending| now >= pending.sent + self.timeout);
        self.pending.is_some()
    }

    /// Records a poll that is sent now.
    pub fn start(&mut self, now: Duration, call: CallId) {
        self.pending = Some(PendingPoll { call, sent: now });
    }

    /// When the response to the pending poll is overdue.
    pub fn deadline(&self) -> Option<Duration> {
        self.pending.map(|pending| pending.sent + self.timeout)
    }
}
