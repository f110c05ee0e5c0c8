//! Arithmetic on times and rates, and counts of recent events.

use std::collections::VecDeque;
use std::time::Duration;

/// Longest time that [`queueing_time`] returns, in seconds. Without this bound, a rate close to zero would
/// overflow the duration.
const MAX_QUEUEING_SECONDS: f64 = 3600.0;

/// Timestamps of events, counted over a recent span of time that the caller states. Memory: one timestamp for
/// each event until [`RecentEvents::expire`] removes it.
///
/// ```
/// use grebecleat_scheduler::rates::RecentEvents;
/// use std::time::Duration;
/// let ms = Duration::from_millis;
/// let mut events = RecentEvents::default();
/// events.add(ms(10));
/// events.add(ms(30));
/// assert_eq!(events.within(ms(20), ms(35)), 1);
/// assert_eq!(events.within(ms(20), ms(60)), 0);
/// ```
#[derive(Debug, Default)]
pub struct RecentEvents(VecDeque<Duration>);

impl RecentEvents {
    /// Adds one event; timestamps must not decrease.
    pub fn add(&mut self, at: Duration) {
        self.0.push_back(at);
    }

    /// Returns the number of events that happened less than `span` before `now`.
    pub fn within(&self, span: Duration, now: Duration) -> usize {
        self.0.len() - self.0.partition_point(|at| *at + span <= now)
    }

    /// Removes the events that happened `span` or more before `now`.
    pub fn expire(&mut self, span: Duration, now: Duration) {
        self.0
            .drain(..self.0.partition_point(|at| *at + span <= now));
    }
}

/// Mean rate in which older samples lose weight: the sums of units and time are both halved once the time
/// exceeds a given span.
///
/// ```
/// use grebecleat_scheduler::rates::MeanRate;
/// let mut rate = MeanRate::default();
/// assert_eq!(rate.per_second(), 0.0);
/// for _ in 0..8 {
///     rate.add(3.0, 1.0, 4.0);
/// }
/// assert_eq!((rate.per_second(), rate.scaled(0.5).per_second()), (3.0, 1.5));
/// ```
#[derive(Debug, Default)]
pub struct MeanRate {
    units: f64,
    seconds: f64,
}

impl MeanRate {
    /// Adds units and the seconds in which they were completed. `span`: number of seconds above which both
    /// sums are halved.
    pub fn add(&mut self, units: f64, seconds: f64, span: f64) {
        self.units += units;
        self.seconds += seconds;
        if self.seconds > span {
            self.units /= 2.0;
            self.seconds /= 2.0;
        }
    }

    /// Returns a mean rate over the same time with the given fraction of the units.
    pub fn scaled(&self, fraction: f64) -> Self {
        MeanRate {
            units: self.units * fraction,
            seconds: self.seconds,
        }
    }

    /// Returns the rate in units per second; 0 if no time was added yet.
    pub fn per_second(&self) -> f64 {
        if self.seconds > 0.0 {
            self.units / self.seconds
        } else {
            0.0
        }
    }
}

/// Converts a duration to seconds.
pub fn seconds(time: Duration) -> f64 {
    time.as_secs_f64()
}

/// Returns the exponential moving average after adding one value with the given weight (0 to 1).
pub fn moving_average(average: f64, value: f64, weight: f64) -> f64 {
    average + weight * (value - average)
}

/// Returns the time that the units take at `rate` units per second; zero if the rate is unknown (0).
///
/// ```
/// use grebecleat_scheduler::rates::queueing_time;
/// assert_eq!(queueing_time(4.0, 2.0).as_secs(), 2);
/// assert_eq!(queueing_time(4.0, 1e-300).as_secs(), 3600);
/// assert_eq!(queueing_time(4.0, 0.0).as_secs(), 0);
/// ```
pub fn queueing_time(units: f64, rate: f64) -> Duration {
    let seconds = if rate > 0.0 {
        (units / rate).min(MAX_QUEUEING_SECONDS)
    } else {
        0.0
    };
    Duration::from_secs_f64(seconds)
}
