//! The connection to the leader, and the one poll that may be pending on it.
//!
//! The follower calls [`PollState`] for each event of the connection and at each step. The state is
//! whether there is a connection, the pending poll, and the timeout of polls.

use crate::leader::CallId;
use std::time::Duration;

/// Timeout of the first poll. Later polls time out after the duration of the last lease; the leader
/// delays a response by at most a third of it. The timeout detects a response that was lost on a
/// connection that is still up. A longer timeout delays the next poll in that case; a shorter one
/// repeats polls while the leader is slow.
const FIRST_POLL_TIMEOUT: Duration = Duration::from_secs(1);

/// A poll that has no response yet.
#[derive(Debug, Clone, Copy)]
pub(super) struct PendingPoll {
    /// The number of the poll.
    pub call: CallId,
    /// When the poll was sent.
    pub sent: Duration,
}

/// The connection and its pending poll. See the module documentation.
#[derive(Debug)]
pub(super) struct PollState {
    is_connected: bool,
    pending: Option<PendingPoll>,
    timeout: Duration,
}

impl PollState {
    /// No connection and no poll.
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

    /// Records whether there is a connection. A pending poll on the former connection is dropped,
    /// because it gets no response.
    pub fn set_connected(&mut self, is_connected: bool) {
        self.is_connected = is_connected;
        self.pending = None;
    }

    /// Removes and returns the pending poll, if the response is for that call.
    pub fn complete(&mut self, call: CallId) -> Option<PendingPoll> {
        self.pending.take_if(|pending| pending.call == call)
    }

    /// Sets the timeout of later polls to the duration of the granted lease.
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
