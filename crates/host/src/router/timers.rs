//! The scheduler's timers, and the time of the next periodic sweep.
//!
//! One entry is stored for each timer that the scheduler has set and that has not fired.

use grebecleat_scheduler::api::TimerTag;
use std::collections::BTreeSet;
use std::time::Duration;

/// Time between two sweeps. A sweep ends attempts that have waited too long, and publishes
/// observations, metrics and the endpoint list to cache. A longer interval lets stale attempts wait
/// longer; a shorter one visits every connection more often.
const SWEEP_INTERVAL: Duration = Duration::from_millis(25);

/// Timers in the order in which they fire.
#[derive(Debug, Default)]
pub(super) struct Timers {
    scheduled: BTreeSet<(Duration, u64)>,
    sweep_at: Duration,
}

impl Timers {
    /// Sets a timer of the scheduler, which fires at `at`.
    pub(super) fn set(&mut self, at: Duration, tag: TimerTag) {
        self.scheduled.insert((at, tag.0));
    }

    /// Returns when the first of the scheduler's timers fires.
    pub(super) fn first_at(&self) -> Option<Duration> {
        self.scheduled.first().map(|(at, _)| *at)
    }

    /// Removes the timers that are due and returns the last of them. After a pause of the process
    /// several timers may be due; the scheduler is called once for all of them.
    pub(super) fn take_due(&mut self, now: Duration) -> Option<TimerTag> {
        let mut due = None;
        while let Some(&(at, tag)) = self.scheduled.first().filter(|(at, _)| *at <= now) {
            self.scheduled.remove(&(at, tag));
            due = Some(TimerTag(tag));
        }
        due
    }

    /// Requests a sweep in the current step.
    pub(super) fn sweep_now(&mut self, now: Duration) {
        self.sweep_at = now;
    }

    /// Returns whether a sweep is due, and if so schedules the next one.
    pub(super) fn take_due_sweep(&mut self, now: Duration) -> bool {
        let due = now >= self.sweep_at;
        if due {
            self.sweep_at = now + SWEEP_INTERVAL;
        }
        due
    }
}
