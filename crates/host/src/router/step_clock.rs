//! The time of the current step, and the pauses of this process between steps.
//!
//! The time of a step is never before that of the previous one. The pauses are recorded by
//! [`crate::process_pause::ProcessPauses`].

use crate::process_pause::ProcessPauses;
use std::time::Duration;

/// The clock of the router, which stands still during a step.
#[derive(Debug)]
pub(super) struct StepClock {
    now: Duration,
    /// When the caller was last asked to call `step` at the latest.
    requested_wake: Duration,
    pauses: ProcessPauses,
}

impl Default for StepClock {
    fn default() -> Self {
        StepClock {
            now: Duration::ZERO,
            requested_wake: Duration::MAX,
            pauses: ProcessPauses::default(),
        }
    }
}

impl StepClock {
    /// Returns the time of the current step.
    pub(super) fn now(&self) -> Duration {
        self.now
    }

    /// Sets the time of a new step.
    pub(super) fn advance(&mut self, now: Duration) {
        self.now = now.max(self.now);
    }

    /// Records that the caller is asked to call `step` at `at` or now, whichever is later, and returns
    /// that time.
    pub(super) fn request_wake(&mut self, at: Duration) -> Duration {
        self.requested_wake = at.max(self.now);
        self.requested_wake
    }

    /// Returns whether this process was paused just before `now`: whether the caller woke much later
    /// than requested.
    pub(super) fn detect_pause(&mut self, now: Duration) -> bool {
        let paused = self
            .pauses
            .record_wake(self.requested_wake.max(self.now), now);
        if paused {
            self.requested_wake = now;
        }
        paused
    }

    /// Returns how long this process was paused between `from` and `until`.
    pub(super) fn paused_within(&self, from: Duration, until: Duration) -> Duration {
        self.pauses.within(from, until)
    }
}
