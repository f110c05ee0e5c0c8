//! Graceful shutdown of the host.
//!
//! Called by the router. Once the shutdown has begun, new requests are rejected and open requests
//! are answered. The shutdown is complete when every open request is answered and every answer is
//! written, or at a last moment: a client that does not read must not prevent the end of the process.

use std::time::Duration;

/// The state of a graceful shutdown.
#[derive(Debug, Default)]
pub(super) struct Shutdown {
    /// None: no shutdown has begun.
    deadline: Option<Duration>,
    complete: bool,
}

impl Shutdown {
    /// Begins the shutdown, which is complete at `deadline` at the latest.
    pub(super) fn begin(&mut self, deadline: Duration) {
        self.deadline.get_or_insert(deadline);
    }

    /// Returns whether the shutdown has begun.
    pub(super) fn has_begun(&self) -> bool {
        self.deadline.is_some()
    }

    /// Returns true once: in the step in which the shutdown becomes complete.
    pub(super) fn completes(&mut self, now: Duration, all_written: impl FnOnce() -> bool) -> bool {
        let Some(deadline) = self.deadline.filter(|_| !self.complete) else {
            return false;
        };
        self.complete = now >= deadline || all_written();
        self.complete
    }
}
