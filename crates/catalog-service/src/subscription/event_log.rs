//! A bounded log of the last events of nodes, for subscribers.

use grebecleat_wire::clock::micros;
use grebecleat_wire::pb;
use std::collections::VecDeque;
use std::time::Duration;

/// Maximum number of retained events; older ones are dropped. With a smaller number a slow
/// subscriber misses events; a larger one takes memory.
const MAX_EVENTS: usize = 1000;

/// The last events of nodes, the newest last, numbered consecutively.
#[derive(Default)]
pub struct EventLog {
    /// Number of the oldest event that is retained.
    first: u64,
    entries: VecDeque<pb::EventLogEntry>,
}

impl EventLog {
    /// Adds an event. `at`: the time since 1970. `node`: `None` if the event does not concern a single
    /// node.
    pub fn add(&mut self, at: Duration, node: Option<u32>, text: String) {
        self.entries.push_back(pb::EventLogEntry {
            at_us: micros(at),
            node,
            text,
        });
        if self.entries.len() > MAX_EVENTS {
            self.entries.pop_front();
            self.first += 1;
        }
    }

    /// Returns the number of the next event.
    pub(super) fn end(&self) -> u64 {
        self.first + self.entries.len() as u64
    }

    /// Returns the retained events with that number or a higher one.
    pub(super) fn since(&self, number: u64) -> Vec<pb::EventLogEntry> {
        let skip = number.saturating_sub(self.first) as usize;
        self.entries.iter().skip(skip).cloned().collect()
    }
}
