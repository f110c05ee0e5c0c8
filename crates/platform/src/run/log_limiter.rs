//! Limits the rate of log lines that peers or an invalid configuration can cause.

use std::time::Duration;
use tracing::warn;

/// Maximum number of lines in one interval; further lines are counted only. A larger value lets a peer
/// flood the log; a smaller one hides causes of faults.
const MAX_LINES: u32 = 20;
/// Length of an interval.
const INTERVAL: Duration = Duration::from_millis(1000);

/// Counts the log lines of the current interval.
#[derive(Debug)]
pub(super) struct LogLimiter {
    since: Duration,
    lines: u32,
}

impl LogLimiter {
    pub(super) fn new(now: Duration) -> Self {
        LogLimiter {
            since: now,
            lines: 0,
        }
    }

    /// Returns whether one more line may be logged now.
    pub(super) fn allow(&mut self, now: Duration) -> bool {
        if now > self.since + INTERVAL {
            if self.lines > MAX_LINES {
                let lines = self.lines - MAX_LINES;
                warn!(lines, "log lines suppressed");
            }
            self.since = now;
            self.lines = 0;
        }
        self.lines += 1;
        self.lines <= MAX_LINES
    }
}
