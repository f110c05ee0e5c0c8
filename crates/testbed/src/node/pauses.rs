//! The times at which one node starts no attempt: its regular pauses, and the flushes of the work
//! that its writes deferred.

use grebecleat_settings::NodeSpec;
use std::time::Duration;

/// The pauses and the deferred work of a node.
#[derive(Debug, Default)]
pub(super) struct Pauses {
    /// Work of writes that the next flush performs.
    deferred: Duration,
    next_flush: Duration,
    next_pause: Duration,
    paused_until: Duration,
}

impl Pauses {
    pub(super) fn new(first_pause: Duration) -> Self {
        Pauses {
            next_pause: first_pause,
            ..Pauses::default()
        }
    }

    pub(super) fn paused_until(&self) -> Duration {
        self.paused_until
    }

    /// Defers a part of a write's work to the next flush.
    pub(super) fn defer(&mut self, work: Duration) {
        self.deferred += work;
    }

    /// Begins a pause or a flush that is due. A flush performs the deferred work at the node's speed.
    pub(super) fn advance(&mut self, now: Duration, spec: &NodeSpec, speed: f64) {
        if !spec.pause.is_zero() && now >= self.next_pause {
            self.paused_until = self.paused_until.max(now + spec.pause);
            self.next_pause = now + spec.pause_every;
        }
        if now >= self.next_flush {
            let work = std::mem::take(&mut self.deferred).div_f64(f64::from(spec.cores));
            self.paused_until = self.paused_until.max(now + work.div_f64(speed));
            self.next_flush = now + spec.flush_every;
        }
    }
}
