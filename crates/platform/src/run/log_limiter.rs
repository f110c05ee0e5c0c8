//! Bounds the lines of the log that peers or a bad configuration can cause. No clock of its own.

use std::time::Duration;
use tracing::warn;

/// Lines of the log in one interval; further ones are counted.
const MAX_LINES: u32 = 20;
const INTERVAL: Duration = Duration::from_millis(1000);

/// Counts the lines of the current interval.
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

    /// Whether one more line may be logged now.
    pub(super) fn allow(&mut self, now: Duration) -> bool {
        if now > self.since + INTERVAL {
            if self.lines > MAX_LINES {
                warn!("{} lines left out", self.lines - MAX_LINES);
            }
            self.since = now;
            self.lines = 0;
        }
        self.lines += 1;
        self.lines <= MAX_LINES
    }
}
