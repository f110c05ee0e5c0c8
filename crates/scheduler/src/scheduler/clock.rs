//! Clock of the decisions: the time of the step, the tick, the control interval and the host's timer.
//!
//! Called by [`super::Scheduler`] in each step. Owns the times of the last tick and the last control interval,
//! and the timer that is set at the host. The time comes from the host and never goes back.

use crate::api::{Action, TimerTag};
use crate::rates::seconds;
use std::time::Duration;

/// Time between two refills of the token buckets; as in the design. Larger: requests wait longer for tokens.
/// Smaller: a host with many nodes spends its time on refills.
pub(super) const TICK: Duration = Duration::from_millis(10);
/// Control interval: time between two updates of demands, shares and capacities. Larger: the host adapts later.
/// Smaller: an interval holds too few answers of a node.
pub(super) const INTERVAL: Duration = Duration::from_millis(500);

/// Time of the step, and the periods that have passed.
#[derive(Debug, Default)]
pub(super) struct Clock {
    now: Duration,
    last_tick: Duration,
    /// End of the last control interval.
    last_interval: Duration,
    timer: Timer,
}

impl Clock {
    pub(super) fn now(&self) -> Duration {
        self.now
    }

    /// Starts a step; returns whether it is the first, from which on ticks and intervals count.
    pub(super) fn start_step(&mut self, now: Duration) -> bool {
        self.now = now;
        let is_first = self.timer.at.is_none();
        if is_first {
            self.last_tick = now;
            self.last_interval = now;
        }
        is_first
    }

    /// Returns the number of complete ticks since the last call.
    pub(super) fn take_ticks(&mut self) -> u32 {
        let elapsed = self.now.saturating_sub(self.last_tick);
        let ticks = (elapsed.as_micros() / TICK.as_micros()) as u32;
        self.last_tick += TICK * ticks;
        ticks
    }

    /// Returns the length in seconds of the control interval that ends now, if one ends.
    pub(super) fn take_interval(&mut self) -> Option<f64> {
        if self.now < self.last_interval + INTERVAL {
            return None;
        }
        let interval = seconds(self.now - self.last_interval);
        self.last_interval = self.now;
        Some(interval)
    }

    /// Number of the last tick, counted from time zero.
    pub(super) fn tick_number(&self) -> u32 {
        (self.last_tick.as_nanos() / TICK.as_nanos()) as u32
    }

    /// Sets the timer to the next tick (while requests are queued) or the next control interval, or to `call_at`
    /// if that is earlier. Returns the action, unless a timer that is set expires before.
    pub(super) fn set_timer(
        &mut self,
        has_queued: bool,
        call_at: Option<Duration>,
    ) -> Option<Action> {
        let next = match has_queued {
            true => self.last_tick + TICK,
            false => self.last_interval + INTERVAL,
        };
        let at = next.min(call_at.unwrap_or(next)).max(self.now + TICK / 10);
        self.timer.set(at, self.now)
    }
}

/// The timer at the host.
#[derive(Debug, Default)]
struct Timer {
    /// Time at which the timer expires that was set last; None: none was set yet.
    at: Option<Duration>,
    /// Tag of that timer.
    tag: u64,
}

impl Timer {
    fn set(&mut self, at: Duration, now: Duration) -> Option<Action> {
        let is_covered = self.at.is_some_and(|set| set > now && set <= at);
        if is_covered {
            return None;
        }
        self.at = Some(at);
        self.tag += 1;
        Some(Action::SetTimer {
            after: at - now,
            tag: TimerTag(self.tag),
        })
    }
}
