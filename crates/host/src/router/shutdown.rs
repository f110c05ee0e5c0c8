//! Graceful shutdown of the host.
//!
//! Once the shutdown has begun, the router rejects new requests and answers those that are open. The
//! shutdown is complete when every request is answered and every response is written, or at a
//! deadline: a client that does not read its responses must not keep the process from ending.

use std::time::Duration;

/// The state of a graceful shutdown.
#[derive(Debug, Default)]
pub(super) struct Shutdown {
    /// `None` until the shutdown begins.
    deadline: Option<Duration>,
    complete: bool,
}

impl Shutdown {
    /// Begins the shutdown, which completes at `deadline` at the latest. Later calls have no effect.
    pub(super) fn begin(&mut self, deadline: Duration) {
        self.deadline.get_or_insert(deadline);
    }

    /// Returns whether the shutdown has begun.
    pub(super) fn has_begun(&self) -> bool {
        self.deadline.is_some()
    }

    /// Returns whether the shutdown becomes complete in this step, which is true only once.
    pub(super) fn try_complete(
        &mut self,
        now: Duration,
        all_written: impl FnOnce() -> bool,
    ) -> bool {
        let Some(deadline) = self.deadline.filter(|_| !self.complete) else {
            return false;
        };
        self.complete = now >= deadline || all_written();
        self.complete
    }
}
