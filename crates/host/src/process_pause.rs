//! Pauses of this process.
//!
//! Called by the router each time the owner's loop wakes, with the moment at which it was to wake. A
//! process that was stopped (by a signal, or on a machine without a free processor) finds old
//! responses in its sockets. Their delay is that of the process, and must not be charged to a node.
//! The same holds for long pauses of the disk while a trace is written. In exchange, a node that was
//! slow during a pause looks faster than it was, until its next responses. Memory: the last
//! [`MAX_PAUSES`] pauses.

use std::collections::VecDeque;
use std::time::Duration;

/// A wake that is later than this is a pause. Normal scheduling by the operating system delays a wake
/// by a few milliseconds; with a smaller bound it would count as a pause, and with a larger one the
/// delay of short pauses would be charged to the nodes.
const LATE_WAKE: Duration = Duration::from_millis(80);
/// Pauses that are retained. An attempt that spans more pauses is charged with the older ones.
const MAX_PAUSES: usize = 8;

#[derive(Debug, Clone, Copy)]
struct Pause {
    from: Duration,
    until: Duration,
}

/// The last pauses of this process.
#[derive(Debug, Default)]
pub struct ProcessPauses(VecDeque<Pause>);

impl ProcessPauses {
    /// Records a wake that was to happen at `wanted` and happened at `now`, and returns whether the
    /// process was paused in between.
    ///
    /// ```
    /// use grebecleat_host::process_pause::ProcessPauses;
    /// use std::time::Duration;
    /// let ms = Duration::from_millis;
    /// let mut pauses = ProcessPauses::default();
    /// assert!(!pauses.woke(ms(100), ms(150)));
    /// assert!(pauses.woke(ms(200), ms(1200)));
    /// // Sent 100 ms before the pause, read 20 ms after it: 120 ms are not due to the pause.
    /// assert_eq!(ms(1220) - ms(100) - pauses.within(ms(100), ms(1220)), ms(120));
    /// assert_eq!(pauses.within(ms(1300), ms(1400)), ms(0));
    /// ```
    pub fn woke(&mut self, wanted: Duration, now: Duration) -> bool {
        if now <= wanted.saturating_add(LATE_WAKE) {
            return false;
        }
        self.0.push_back(Pause {
            from: wanted,
            until: now,
        });
        if self.0.len() > MAX_PAUSES {
            self.0.pop_front();
        }
        true
    }

    /// Returns for how much of a span this process was paused.
    pub fn within(&self, from: Duration, until: Duration) -> Duration {
        let overlap = |pause: &Pause| pause.until.min(until).saturating_sub(pause.from.max(from));
        self.0.iter().map(overlap).sum()
    }
}
