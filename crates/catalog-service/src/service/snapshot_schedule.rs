//! When the regular snapshot is due.

use grebecleat_catalog::records::Version;
use std::time::{Duration, Instant};

/// When the next snapshot is due.
pub(super) struct SnapshotSchedule {
    interval: Duration,
    next_at: Instant,
    /// Version of the last snapshot; None before the first.
    last_version: Option<Version>,
}

impl SnapshotSchedule {
    /// The first snapshot is due after one interval.
    pub fn new(interval: Duration) -> Self {
        SnapshotSchedule {
            interval,
            next_at: Instant::now() + interval,
            last_version: None,
        }
    }

    /// Whether to write a snapshot of that version now; the next is then due after the interval.
    pub fn take_due(&mut self, version: Version) -> bool {
        if Instant::now() < self.next_at || self.last_version == Some(version) {
            return false;
        }
        self.next_at = Instant::now() + self.interval;
        self.last_version = Some(version);
        true
    }
}
