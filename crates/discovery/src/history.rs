//! Counts the calls to discovery that have failed since its last response, for the log.

use crate::events::{FailureReason, LogEvent};
use std::time::Duration;

/// Failures since discovery last responded.
#[derive(Debug, Default)]
pub(crate) struct FailureHistory {
    /// When discovery last responded; `None` if it has not responded since the start.
    responded_at: Option<Duration>,
    /// Calls that have failed since then.
    failures: u32,
}

impl FailureHistory {
    /// Counts a failed call.
    pub(crate) fn failed(&mut self, now: Duration, reason: FailureReason) -> LogEvent {
        self.failures += 1;
        LogEvent::CallFailed {
            reason,
            since_response: self.responded_at.map(|at| now.saturating_sub(at)),
            failures: self.failures,
        }
    }

    /// Records a response. Returns a log event if calls had failed before it.
    pub(crate) fn responded(&mut self, now: Duration) -> Option<LogEvent> {
        self.responded_at = Some(now);
        let failures = std::mem::take(&mut self.failures);
        (failures > 0).then_some(LogEvent::Recovered { failures })
    }
}
