//! The attempts that are outstanding at one node.

use crate::api::RequestId;
use std::collections::BTreeMap;
use std::time::Duration;

/// Attempts outstanding at one node, and their units.
#[derive(Debug, Default)]
pub struct OutstandingAttempts {
    /// Send time of each attempt.
    sent_at: BTreeMap<RequestId, Duration>,
    /// Sum of the attempts' units.
    units: f64,
    /// Time at which the last attempt was sent; 0 if none was sent.
    last_sent: Duration,
}

impl OutstandingAttempts {
    /// Adds an attempt that is being sent now.
    pub fn add(&mut self, id: RequestId, units: f64, now: Duration) {
        self.units += units;
        self.sent_at.insert(id, now);
        self.last_sent = now;
    }

    /// Corrects the send time of an attempt, if it is outstanding.
    pub fn set_sent(&mut self, id: RequestId, at: Duration) {
        if let Some(sent) = self.sent_at.get_mut(&id) {
            *sent = at;
        }
    }

    /// Removes an attempt that has ended; returns its send time, if it was outstanding.
    pub fn remove(&mut self, id: RequestId, units: f64) -> Option<Duration> {
        let sent = self.sent_at.remove(&id)?;
        self.units -= units;
        Some(sent)
    }

    /// Returns all attempts with their send times.
    pub fn iter(&self) -> impl Iterator<Item = (&RequestId, &Duration)> {
        self.sent_at.iter()
    }

    /// Returns the send time of the oldest attempt.
    pub fn oldest_sent(&self) -> Option<Duration> {
        self.sent_at.values().min().copied()
    }

    /// Returns the number of units outstanding.
    pub fn units(&self) -> f64 {
        self.units
    }

    /// Returns the number of attempts outstanding.
    pub fn len(&self) -> usize {
        self.sent_at.len()
    }

    /// Returns whether no attempt is outstanding.
    pub fn is_empty(&self) -> bool {
        self.sent_at.is_empty()
    }

    /// Returns the time at which the last attempt was sent; 0 if none was sent.
    pub fn last_sent(&self) -> Duration {
        self.last_sent
    }
}
