//! The course of a shutdown: serving on, closing connections, closing the listener, the end.
//!
//! After SIGTERM clients go on with the connections that they have, and the process is killed no
//! sooner than the longest deadline, of which no more than [`MAX_COUNTED_DEADLINE`] counts, and
//! [`KILL_GRACE`]. It serves until [`LAST_REQUEST_MARGIN`] before that, and has answered by
//! [`LAST_ANSWER_MARGIN`] before it.

use super::sweep::NEW_CLIENT_GRACE;
use super::Owner;
use crate::run::connection::{Connection, Role};
use crate::run::socket::{has_connection_queued, pending_input, PendingInput};
use grebecleat_wire::clock;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// Of the longest deadline, what counts for the moment of the kill.
const MAX_COUNTED_DEADLINE: Duration = Duration::from_millis(3000);
/// From that deadline to the kill.
const KILL_GRACE: Duration = Duration::from_millis(700);
/// The last requests are taken so long before the kill.
const LAST_REQUEST_MARGIN: Duration = Duration::from_millis(450);
/// The last answers are written so long before the kill.
pub(super) const LAST_ANSWER_MARGIN: Duration = Duration::from_millis(200);
/// What was accepted before the listener was closed has been processed by then.
const LISTENER_SETTLE_TIME: Duration = Duration::from_millis(20);

impl Owner {
    /// When this process may be killed, once it was asked to shut down.
    pub(super) fn kill_at(&self) -> Option<Duration> {
        let longest = self.config.settings.longest_deadline();
        let counted = longest.min(MAX_COUNTED_DEADLINE);
        Some(self.draining_since? + counted + KILL_GRACE)
    }

    /// Whether answers now end their connections. Until then a host that shuts down serves on: its
    /// clients would find no other host there before the next start.
    pub(super) fn closes_after_answer(&self) -> bool {
        self.kill_at()
            .is_some_and(|kill_at| clock::now() + LAST_REQUEST_MARGIN >= kill_at)
    }

    /// Whether a client still awaits something: an answer, or a look at what it has sent.
    fn is_awaiting(&self, connection: &Connection, now: Duration) -> bool {
        let Role::Client(client) = &connection.role else {
            return false;
        };
        if client.discard.is_some() {
            // Ended with something unread, its connection would be reset, and the answer with it.
            return connection.has_unwritten()
                || pending_input(connection.fd) == PendingInput::Bytes;
        }
        let has_begun = client.exchange.is_some()
            || connection.has_unwritten()
            || !connection.read_buffer.is_empty();
        let is_new = !client.has_sent && now < connection.opened_at + NEW_CLIENT_GRACE;
        has_begun || is_new || !connection.gate.is_quiet(connection.fd)
    }

    /// A client whose exchange crossed the close of an idle connection comes again, so the listener
    /// stays until the last answers are due, and until no client is in its queue: one that is there
    /// would be reset with what it has sent.
    pub(super) fn close_listener_when_due(&mut self, now: Duration) {
        if self.listener_closed_at.is_some() {
            return;
        }
        let Some(kill_at) = self.kill_at() else {
            return;
        };
        if now + LAST_ANSWER_MARGIN < kill_at {
            return;
        }
        let cannot_wait = now + LAST_ANSWER_MARGIN / 2 >= kill_at;
        if has_connection_queued(self.listener) && !cannot_wait {
            return;
        }
        self.listener_closed_at = Some(now);
        self.slots.stopped.store(true, Ordering::Release);
        // SAFETY: the listener lives in its coroutine until it sees this.
        unsafe { libc::shutdown(self.listener, libc::SHUT_RDWR) };
        self.slots.wake.post();
    }

    pub(super) fn shutdown_is_complete(&self) -> bool {
        let now = clock::now();
        let all_processed = self
            .listener_closed_at
            .is_some_and(|at| now >= at + LISTENER_SETTLE_TIME);
        all_processed
            && self.inputs.is_empty()
            && !self
                .connections
                .values()
                .any(|connection| self.is_awaiting(connection, now))
    }
}
