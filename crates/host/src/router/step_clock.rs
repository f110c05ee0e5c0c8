//! The time of the current step, and the pauses of this process between steps.
//!
//! Called by the router. The time never goes backwards. Memory: that of
//! [`crate::process_pause::ProcessPauses`].

use crate::process_pause::ProcessPauses;
use std::time::Duration;

/// The time of the current step.
#[derive(Debug)]
pub(super) struct StepClock {
    now: Duration,
    /// The moment at which the caller was last requested to wake.
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
    /// The time of the current step.
    pub(super) fn now(&self) -> Duration {
        self.now
    }

    /// Begins a step.
    pub(super) fn advance(&mut self, now: Duration) {
        self.now = now.max(self.now);
    }

    /// Records when the caller is to wake, and returns that moment.
    pub(super) fn request_wake(&mut self, at: Duration) -> Duration {
        self.requested_wake = at.max(self.now);
        self.requested_wake
    }

    /// Returns whether this process was paused before the caller woke at `now`.
    pub(super) fn detect_pause(&mut self, now: Duration) -> bool {
        let paused = self.pauses.woke(self.requested_wake.max(self.now), now);
        if paused {
            self.requested_wake = now;
        }
        paused
    }

    /// Returns for how much of a span this process was paused.
    pub(super) fn paused_within(&self, from: Duration, until: Duration) -> Duration {
        self.pauses.within(from, until)
    }
}
