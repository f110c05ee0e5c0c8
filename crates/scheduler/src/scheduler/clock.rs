//! Clock of the scheduler: the time of the current step, ticks, control intervals and the timer that the host
//! runs.
//!
//! Called by [`super::Scheduler`] in each step. Owns the times of the last tick and the last control interval,
//! and the timer that is set at the host. The host supplies the time, which never decreases.

use crate::api::{Action, TimerTag};
use crate::rates::seconds;
use std::time::Duration;

/// Time between two refills of the token buckets, as in the design. With a larger value requests wait longer
/// for tokens; with a smaller one, a host with many nodes spends its time on refills.
pub(super) const TICK: Duration = Duration::from_millis(10);
/// Control interval: time between two updates of demands, shares and capacities. With a larger value the host
/// adapts later; with a smaller one, an interval contains too few answers of a node.
pub(super) const INTERVAL: Duration = Duration::from_millis(500);

/// Time of the current step, and the ticks and control intervals that have passed.
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

    /// Starts a step; returns whether it is the first. Ticks and intervals are counted from the first step.
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

    /// Returns the length in seconds of the control interval that ends with this step, if one does.
    pub(super) fn take_interval(&mut self) -> Option<f64> {
        if self.now < self.last_interval + INTERVAL {
            return None;
        }
        let interval = seconds(self.now - self.last_interval);
        self.last_interval = self.now;
        Some(interval)
    }

    /// Returns the number of the last tick, counted from time zero.
    pub(super) fn tick_number(&self) -> u32 {
        (self.last_tick.as_nanos() / TICK.as_nanos()) as u32
    }

    /// Sets the timer to the next tick if requests are queued, otherwise to the end of the control interval,
    /// or to `call_at` if that is earlier. Returns the action, or `None` if a timer that is already set
    /// expires by then.
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

/// The timer that is set at the host.
#[derive(Debug, Default)]
struct Timer {
    /// Time at which the most recently set timer expires; `None` if no timer was set yet.
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
