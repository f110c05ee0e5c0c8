//! The schedule of a graceful shutdown: the host continues to serve, then closes connections after
//! their responses, then closes the listener, and ends.
//!
//! The owner holds the [`Shutdown`]: when the shutdown was requested, and when the listener was closed.
//! This module performs no I/O and reads no clock.
//!
//! After SIGTERM, clients continue to use their connections. The platform kills the process no earlier
//! than after the longest deadline, of which at most [`MAX_COUNTED_DEADLINE`] counts, plus
//! [`KILL_GRACE`]. The process accepts requests until [`LAST_REQUEST_MARGIN`] before the kill, and has
//! sent its responses by [`LAST_RESPONSE_MARGIN`] before the kill.

use std::time::Duration;

/// Upper limit on the longest deadline when the time of the kill is computed. A larger value lets the
/// platform kill a host that still serves; a smaller one ends the service early.
const MAX_COUNTED_DEADLINE: Duration = Duration::from_millis(3000);
/// Time from the end of that deadline to the kill. A larger value lets the platform kill a host that
/// still serves; a smaller one ends the service early.
const KILL_GRACE: Duration = Duration::from_millis(700);
/// Time from the last accepted requests to the kill. A smaller value accepts requests that the host
/// cannot complete; a larger one rejects requests that it could.
const LAST_REQUEST_MARGIN: Duration = Duration::from_millis(450);
/// Time from the last responses to the kill. With a smaller value, the kill may cut off responses; a
/// larger one leaves the last requests less time.
const LAST_RESPONSE_MARGIN: Duration = Duration::from_millis(200);
/// Time within which the owner processes the clients that were accepted before the listener was
/// closed. A smaller value loses clients that were just accepted; a larger one delays the end.
const LISTENER_SETTLE_TIME: Duration = Duration::from_millis(20);

/// Whether the listener may be closed now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ListenerClosing {
    /// Not now.
    NotDue,
    /// Only if no client is in the listener's queue. A queued client would be reset, and its request
    /// lost.
    IfQueueEmpty,
    /// In any case, since the kill is near.
    Due,
}

/// The schedule of a shutdown.
#[derive(Debug)]
pub(super) struct Shutdown {
    /// The longest deadline of a request, limited to [`MAX_COUNTED_DEADLINE`].
    counted_deadline: Duration,
    /// `None` if no shutdown was requested.
    requested_at: Option<Duration>,
    /// `None` while the listener is open.
    listener_closed_at: Option<Duration>,
}

impl Shutdown {
    /// `longest_deadline` is the longest one of all traffic classes.
    pub(super) fn new(longest_deadline: Duration) -> Self {
        Shutdown {
            counted_deadline: longest_deadline.min(MAX_COUNTED_DEADLINE),
            requested_at: None,
            listener_closed_at: None,
        }
    }

    /// Returns whether a shutdown was requested.
    pub(super) fn is_requested(&self) -> bool {
        self.requested_at.is_some()
    }

    /// Begins the shutdown.
    pub(super) fn request(&mut self, now: Duration) {
        self.requested_at.get_or_insert(now);
    }

    /// Returns when the platform may kill this process, if a shutdown was requested.
    fn kill_at(&self) -> Option<Duration> {
        Some(self.requested_at? + self.counted_deadline + KILL_GRACE)
    }

    /// Returns the time by which the last responses must be sent, if a shutdown was requested.
    pub(super) fn last_response_at(&self) -> Option<Duration> {
        Some(self.kill_at()? - LAST_RESPONSE_MARGIN)
    }

    /// Returns whether a response now ends its connection. Before that time, the host continues to
    /// serve, since its clients find no other host at its address until it is started again.
    pub(super) fn closes_after_response(&self, now: Duration) -> bool {
        self.kill_at()
            .is_some_and(|kill_at| now + LAST_REQUEST_MARGIN >= kill_at)
    }

    /// Returns whether the listener may be closed now. A client that sent a request while its idle
    /// connection was being closed connects again, so the listener stays open until the last responses
    /// are due.
    pub(super) fn listener_closing(&self, now: Duration) -> ListenerClosing {
        let Some(kill_at) = self.kill_at().filter(|_| self.listener_closed_at.is_none()) else {
            return ListenerClosing::NotDue;
        };
        if now + LAST_RESPONSE_MARGIN < kill_at {
            return ListenerClosing::NotDue;
        }
        if now + LAST_RESPONSE_MARGIN / 2 >= kill_at {
            return ListenerClosing::Due;
        }
        ListenerClosing::IfQueueEmpty
    }

    /// Records that the listener was closed.
    pub(super) fn listener_closed(&mut self, now: Duration) {
        self.listener_closed_at = Some(now);
    }

    /// Returns whether the owner has processed everything that the listener accepted.
    pub(super) fn is_settled(&self, now: Duration) -> bool {
        self.listener_closed_at
            .is_some_and(|at| now >= at + LISTENER_SETTLE_TIME)
    }
}
