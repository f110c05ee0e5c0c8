//! Times in which this host itself stood still.
//!
//! Called by the owner's loop each time it wakes, with when it wanted to. A host that was stopped (a signal,
//! a starved machine) finds old answers in its sockets; their lateness is its own, and a node must not be
//! judged by it. Guards also against long pauses of the disk under a trace. Harm: a node that was slow during
//! our stall looks quicker than it was, until its next answers.

use std::collections::VecDeque;
use std::time::Duration;

/// Later than this is a stall; scheduling alone makes a few milliseconds.
const LATE_WAKE: Duration = Duration::from_millis(80);
const KEPT: usize = 8;

#[derive(Debug, Default)]
pub struct Stalls(VecDeque<(Duration, Duration)>);

impl Stalls {
    /// Notes a wake that was wanted at `wanted` and came at `now`; whether that was a stall.
    ///
    /// ```
    /// use grebecleat_host::stall::Stalls;
    /// use std::time::Duration;
    /// let ms = Duration::from_millis;
    /// let mut stalls = Stalls::default();
    /// assert!(!stalls.woke(ms(100), ms(150)));
    /// assert!(stalls.woke(ms(200), ms(1200)));
    /// // Sent 100 ms before the stall, read 20 ms after it: it took 120 ms that are not ours.
    /// assert_eq!(ms(1220) - ms(100) - stalls.within(ms(100), ms(1220)), ms(120));
    /// assert_eq!(stalls.within(ms(1300), ms(1400)), ms(0));
    /// ```
    pub fn woke(&mut self, wanted: Duration, now: Duration) -> bool {
        let stalled = now > wanted.saturating_add(LATE_WAKE);
        if stalled {
            self.0.push_back((wanted, now));
            if self.0.len() > KEPT {
                self.0.pop_front();
            }
        }
        stalled
    }

    /// How much of a span this host stood still.
    pub fn within(&self, from: Duration, to: Duration) -> Duration {
        let overlap = |(a, b): &(Duration, Duration)| (*b).min(to).saturating_sub((*a).max(from));
        self.0.iter().map(overlap).sum()
    }
}
