//! Long polls of hosts that were not responded to yet.
//!
//! The leader calls [`PollTable`] when a host polls, when a connection ends, and at the end of each
//! step. The leader responds to a host that is up to date only when there is something new, or when
//! a third of the lease has passed. So a host learns of a change at once without frequent polls.
//!
//! The state is at most one poll for each host.

use super::messages::CallId;
use crate::feed::HostNumber;
use crate::records::Version;
use std::collections::BTreeMap;
use std::time::Duration;

/// The maximum delay of a response without news is the lease divided by this number. With a smaller
/// divisor, the lease may expire before the next one is granted; a larger one causes more polls.
const POLL_HOLD_DIVISOR: u32 = 3;

/// A poll that has no response yet.
#[derive(Debug, Clone, Copy)]
pub(super) struct PendingPoll {
    /// The number that the response refers to.
    pub call: CallId,
    /// The newest version that the host has.
    pub applied: Version,
    /// The stable version that the host knows.
    pub stable: Version,
    /// When the poll arrived.
    pub since: Duration,
    /// The version that the host followed, if it belongs to another history. The host receives a
    /// snapshot once this catalog's version is not below that one.
    pub foreign_version: Option<Version>,
}

impl PendingPoll {
    /// A poll that arrives at `now` from a host that follows this history.
    pub fn new(now: Duration, call: CallId, applied: Version, stable: Version) -> Self {
        PendingPoll {
            call,
            applied,
            stable,
            since: now,
            foreign_version: None,
        }
    }
}

/// The pending polls by host. See the module documentation.
#[derive(Debug)]
pub(super) struct PollTable {
    /// How long the response to a poll is delayed if there is nothing new.
    max_delay: Duration,
    polls: BTreeMap<HostNumber, PendingPoll>,
}

impl PollTable {
    /// Creates an empty table. `lease` is the duration of a granted lease.
    pub fn new(lease: Duration) -> Self {
        PollTable {
            max_delay: lease / POLL_HOLD_DIVISOR,
            polls: BTreeMap::new(),
        }
    }

    /// Adds a poll, which replaces an earlier poll of the same host.
    pub fn insert(&mut self, host: HostNumber, poll: PendingPoll) {
        self.polls.insert(host, poll);
    }

    /// Drops the poll of a call whose caller has disconnected.
    pub fn cancel(&mut self, call: CallId) {
        self.polls.retain(|_, poll| poll.call != call);
    }

    /// Removes the poll of a host after the response was sent.
    pub fn remove(&mut self, host: HostNumber) {
        self.polls.remove(&host);
    }

    /// Drops all polls and returns their calls.
    pub fn take_calls(&mut self) -> impl Iterator<Item = CallId> {
        let polls = std::mem::take(&mut self.polls);
        polls.into_values().map(|poll| poll.call)
    }

    /// Hosts with a pending poll.
    pub fn hosts(&self) -> Vec<HostNumber> {
        self.polls.keys().copied().collect()
    }

    /// When the oldest poll must be responded to.
    pub fn next_deadline(&self) -> Option<Duration> {
        let oldest = self.polls.values().map(|poll| poll.since).min();
        oldest.map(|since| since + self.max_delay)
    }

    /// The poll of a host, if it can be responded to now because there is something new for the host
    /// or the maximum delay has passed. `persisted` and `stable` are the newest versions that may be
    /// sent.
    pub fn ready(
        &self,
        now: Duration,
        host: HostNumber,
        persisted: Version,
        stable: Version,
    ) -> Option<PendingPoll> {
        let poll = self.polls.get(&host)?;
        let has_news = persisted > poll.applied || stable > poll.stable;
        let is_due = now >= poll.since + self.max_delay;
        let is_ahead = poll
            .foreign_version
            .is_some_and(|foreign| foreign > persisted);
        let is_ready = !is_ahead && (has_news || is_due);
        is_ready.then_some(*poll)
    }
}
