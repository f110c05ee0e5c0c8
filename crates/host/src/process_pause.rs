//! Detects and records pauses of this process.
//!
//! The router calls it each time the owner's loop wakes, with the time at which the loop should have
//! woken. A process that was stopped (by a signal, or on a machine without a free processor) finds old
//! responses in its sockets. The process itself caused their delay, which must not be attributed to a
//! node. The same holds for long pauses of the disk while a trace is written. The drawback is that a
//! node that was slow during a pause looks faster than it was, until its next responses. Memory: the
//! last [`MAX_PAUSES`] pauses.

use std::collections::VecDeque;
use std::time::Duration;

/// A wake-up that is later than this counts as a pause. The operating system normally delays a wake-up
/// by a few milliseconds, which a smaller bound would take for a pause; with a larger bound, the delay
/// of short pauses would be attributed to the nodes.
const MIN_PAUSE: Duration = Duration::from_millis(80);
/// The number of pauses that are retained. If an attempt spans more pauses, the older ones are
/// attributed to its node.
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
    /// Records a wake-up that was due at `due` and happened at `now`, and returns whether the process
    /// was paused in between.
    ///
    /// ```
    /// use grebecleat_host::process_pause::ProcessPauses;
    /// use std::time::Duration;
    /// let ms = Duration::from_millis;
    /// let mut pauses = ProcessPauses::default();
    /// assert!(!pauses.record_wake(ms(100), ms(150)));
    /// assert!(pauses.record_wake(ms(200), ms(1200)));
    /// // Of the time from 100 ms before the pause to 20 ms after it, 120 ms are not due to the pause.
    /// assert_eq!(ms(1220) - ms(100) - pauses.within(ms(100), ms(1220)), ms(120));
    /// assert_eq!(pauses.within(ms(1300), ms(1400)), ms(0));
    /// ```
    pub fn record_wake(&mut self, due: Duration, now: Duration) -> bool {
        if now <= due.saturating_add(MIN_PAUSE) {
            return false;
        }
        self.0.push_back(Pause {
            from: due,
            until: now,
        });
        if self.0.len() > MAX_PAUSES {
            self.0.pop_front();
        }
        true
    }

    /// Returns for how much of the time from `from` to `until` this process was paused.
    pub fn within(&self, from: Duration, until: Duration) -> Duration {
        let overlap = |pause: &Pause| pause.until.min(until).saturating_sub(pause.from.max(from));
        self.0.iter().map(overlap).sum()
    }
}
