//! Times in which this process itself stood still.
//!
//! Called by the owner's loop each time it wakes, with when it wanted to. A process that was
//! stopped (a signal, a starved machine) finds old answers in its sockets; their lateness is its
//! own, and a node must not be judged by it. Guards also against long pauses of the disk under a
//! trace. Harm: a node that was slow during our pause looks quicker than it was, until its next
//! answers.

use std::collections::VecDeque;
use std::time::Duration;

/// A later wake is a pause; scheduling alone makes a few milliseconds.
const LATE_WAKE: Duration = Duration::from_millis(80);
/// Pauses that are remembered.
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
    /// Notes a wake that was wanted at `wanted` and came at `now`; whether there was a pause
    /// between.
    ///
    /// ```
    /// use grebecleat_host::process_pause::ProcessPauses;
    /// use std::time::Duration;
    /// let ms = Duration::from_millis;
    /// let mut pauses = ProcessPauses::default();
    /// assert!(!pauses.woke(ms(100), ms(150)));
    /// assert!(pauses.woke(ms(200), ms(1200)));
    /// // Sent 100 ms before the pause, read 20 ms after it: it took 120 ms that are not ours.
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

    /// How much of a span this process stood still.
    pub fn within(&self, from: Duration, until: Duration) -> Duration {
        let overlap = |pause: &Pause| pause.until.min(until).saturating_sub(pause.from.max(from));
        self.0.iter().map(overlap).sum()
    }
}
