//! Accounts for the time of the owner's thread, for the statistics log.
//!
//! The owner reports how long each [`Activity`] took, and the received bytes that it handles. The figures
//! cover the time since the previous line. This module reads no clock.

use std::fmt;
use std::time::Duration;

/// What the owner spends its time on. The activities do not overlap.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Activity {
    /// Adding received bytes to the buffer of their connection.
    Copying,
    /// Parsing messages of clients, nodes and discovery.
    Parsing,
    /// Stepping the router and performing its outputs.
    Deciding,
    /// Writing the contents of the outboxes.
    Writing,
    /// Checking all connections for timeouts.
    Sweeping,
    /// Waiting for an event.
    Idle,
}

const ACTIVITIES: [(Activity, &str); 6] = [
    (Activity::Copying, "copying_us"),
    (Activity::Parsing, "parsing_us"),
    (Activity::Deciding, "deciding_us"),
    (Activity::Writing, "writing_us"),
    (Activity::Sweeping, "sweeping_us"),
    (Activity::Idle, "idle_us"),
];

/// How the owner has spent its time since the previous line.
#[derive(Debug, Default)]
pub(super) struct OwnerTime {
    spent: [Duration; ACTIVITIES.len()],
    steps: u64,
    events: u64,
    turns: u64,
    reads: u64,
    bytes: u64,
    /// Sum of the times from a read to the handling of its bytes.
    waited: Duration,
    longest_wait: Duration,
}

impl OwnerTime {
    /// Records the duration of an activity.
    pub(super) fn spent(&mut self, activity: Activity, time: Duration) {
        self.spent[activity as usize] += time;
    }

    /// Records that a step of the router has begun.
    pub(super) fn step(&mut self) {
        self.steps += 1;
    }

    /// Records an event.
    pub(super) fn event(&mut self) {
        self.events += 1;
    }

    /// Records that a connection has its turn.
    pub(super) fn turn(&mut self) {
        self.turns += 1;
    }

    /// Records that received bytes are handled, which were read this long ago.
    pub(super) fn read(&mut self, bytes: usize, waited: Duration) {
        self.reads += 1;
        self.bytes += bytes as u64;
        self.waited += waited;
        self.longest_wait = self.longest_wait.max(waited);
    }

    /// Returns the figures since the previous call.
    pub(super) fn take(&mut self) -> OwnerTime {
        std::mem::take(self)
    }

    /// Nanoseconds of the owner's time for each of `count` events or bytes: everything but waiting.
    fn busy_ns_per(&self, count: u64) -> u64 {
        let idle = self.spent[Activity::Idle as usize];
        let busy = self.spent.iter().sum::<Duration>() - idle;
        (busy.as_nanos() as u64).checked_div(count).unwrap_or(0)
    }

    fn mean_wait(&self) -> Duration {
        let waited = self.waited.as_nanos() as u64;
        Duration::from_nanos(waited.checked_div(self.reads).unwrap_or(0))
    }
}

impl fmt::Display for OwnerTime {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "owner steps={} events={} turns={} reads={} bytes={}",
            self.steps, self.events, self.turns, self.reads, self.bytes
        )?;
        for (activity, name) in ACTIVITIES {
            write!(f, " {name}={}", self.spent[activity as usize].as_micros())?;
        }
        write!(
            f,
            " busy_ns_per_event={} busy_ns_per_byte={} mean_wait_us={} longest_wait_us={}",
            self.busy_ns_per(self.events),
            self.busy_ns_per(self.bytes),
            self.mean_wait().as_micros(),
            self.longest_wait.as_micros()
        )
    }
}

#[cfg(test)]
mod tests;
