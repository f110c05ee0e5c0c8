//! Counts of what happened within the last span.

use std::collections::VecDeque;
use std::time::Duration;

/// Moments, counted over a span that the caller names.
///
/// ```
/// use grebecleat::spans::Recent;
/// use std::time::Duration;
/// let ms = Duration::from_millis;
/// let mut r = Recent::default();
/// r.add(ms(10));
/// r.add(ms(30));
/// assert_eq!(r.within(ms(20), ms(35)), 1);
/// assert_eq!(r.within(ms(20), ms(60)), 0);
/// ```
#[derive(Debug, Default)]
pub struct Recent(VecDeque<Duration>);

impl Recent {
    pub fn add(&mut self, at: Duration) {
        self.0.push_back(at);
    }

    /// How many happened less than `span` before `now`.
    pub fn within(&self, span: Duration, now: Duration) -> usize {
        self.0.len() - self.0.partition_point(|at| *at + span <= now)
    }

    pub fn forget(&mut self, span: Duration, now: Duration) {
        self.0.drain(..self.0.partition_point(|at| *at + span <= now));
    }
}
