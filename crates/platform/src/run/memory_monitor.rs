//! Decides when the host reports that clients were turned away for memory.
//!
//! The owner calls [`MemoryMonitor::check`] at each sweep. This module performs no I/O and reads no
//! clock.

use grebecleat_host::memory_budget::{EvictionCounts, MemoryBudget};
use std::time::Duration;

/// Time between two reports.
const INTERVAL: Duration = Duration::from_millis(1000);

/// The state of the reports.
#[derive(Debug, Default)]
pub(super) struct MemoryMonitor {
    check_at: Duration,
    reported: EvictionCounts,
}

impl MemoryMonitor {
    /// Returns the clients that were turned away since the last report, if they must be reported.
    pub(super) fn check(&mut self, now: Duration, budget: &MemoryBudget) -> Option<EvictionCounts> {
        if now < self.check_at {
            return None;
        }
        self.check_at = now + INTERVAL;
        let evicted = budget.evicted();
        let since = evicted.since(&self.reported);
        self.reported = evicted;
        (since.total() > 0).then_some(since)
    }
}
