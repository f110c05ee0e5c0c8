//! Arithmetic of times and rates, and counts of what happened within the last span.

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

/// Units over time, both halved once the time exceeds a span.
///
/// ```
/// use grebecleat::spans::Usage;
/// let mut u = Usage::default();
/// assert_eq!(u.rate(), 0.0);
/// (0..8).for_each(|_| u.add(3.0, 1.0, 4.0));
/// assert_eq!((u.rate(), u.part(0.5).rate()), (3.0, 1.5));
/// ```
#[derive(Debug, Default)]
pub struct Usage {
    units: f64,
    seconds: f64,
}

impl Usage {
    pub fn add(&mut self, units: f64, seconds: f64, span: f64) {
        (self.units, self.seconds) = (self.units + units, self.seconds + seconds);
        if self.seconds > span {
            (self.units, self.seconds) = (self.units / 2.0, self.seconds / 2.0);
        }
    }

    /// The same time with so large a part of the units.
    pub fn part(&self, part: f64) -> Self {
        Usage { units: self.units * part, seconds: self.seconds }
    }

    pub fn rate(&self) -> f64 {
        if self.seconds > 0.0 {
            self.units / self.seconds
        } else {
            0.0
        }
    }
}

pub fn secs(d: Duration) -> f64 {
    d.as_secs_f64()
}

pub fn smooth(old: f64, new: f64, part: f64) -> f64 {
    old + part * (new - old)
}

/// Time in which so many units go at that rate; none where the rate is unknown. A rate that has died away
/// must not overflow.
///
/// ```
/// use grebecleat::spans::wait_behind;
/// assert_eq!(wait_behind(4.0, 2.0).as_secs(), 2);
/// assert_eq!(wait_behind(4.0, 1e-300).as_secs(), 3600);
/// assert_eq!(wait_behind(4.0, 0.0).as_secs(), 0);
/// ```
pub fn wait_behind(ahead: f64, rate: f64) -> Duration {
    Duration::from_secs_f64(if rate > 0.0 { (ahead / rate).min(3600.0) } else { 0.0 })
}
