//! Decides when the host reports that clients were turned away for memory, and when freed memory is
//! returned to the operating system.
//!
//! The owner calls [`MemoryMonitor::check`] at each sweep. This module performs no I/O and reads no
//! clock.

use grebecleat_host::memory_budget::{EvictionCounts, MemoryBudget};
use std::time::Duration;

/// Time between two reports, and between two returns of memory.
const INTERVAL: Duration = Duration::from_millis(1000);
/// Number of bytes by which the use of the heap must have fallen before free memory is returned. A larger
/// value leaves more memory with the process; a smaller one costs CPU time.
const MIN_FREED_BYTES: usize = 512 << 10;

/// What is due now.
#[derive(Debug, Default, PartialEq, Eq)]
pub(super) struct MemoryChecks {
    /// The clients that were turned away since the last report, if they must be reported.
    pub(super) report: Option<EvictionCounts>,
    /// Whether free memory must be returned to the operating system.
    pub(super) trims: bool,
}

/// The state of the reports and of the returns.
#[derive(Debug, Default)]
pub(super) struct MemoryMonitor {
    check_at: Duration,
    reported: EvictionCounts,
    /// Highest number of bytes in use in the heap since free memory was last returned.
    highest: usize,
}

impl MemoryMonitor {
    /// Returns what is due at `now`. `heap_in_use` returns the number of bytes in use in the heap; it is
    /// called once in an interval.
    pub(super) fn check(
        &mut self,
        now: Duration,
        heap_in_use: impl FnOnce() -> usize,
        budget: &MemoryBudget,
    ) -> MemoryChecks {
        if now < self.check_at {
            return MemoryChecks::default();
        }
        self.check_at = now + INTERVAL;
        let used = heap_in_use();
        self.highest = self.highest.max(used);
        let trims = self.highest >= used + MIN_FREED_BYTES;
        if trims {
            self.highest = used;
        }
        let evicted = budget.evicted();
        let since = evicted.since(&self.reported);
        self.reported = evicted;
        MemoryChecks {
            report: (since.total() > 0).then_some(since),
            trims,
        }
    }
}

#[cfg(test)]
mod tests;
