//! The schedule of a graceful shutdown: continued service, closing connections, closing the
//! listener, the end.
//!
//! The owner calls [`Shutdown`]. State: when the shutdown was requested, and when the listener was
//! closed. No I/O and no clock.
//!
//! After SIGTERM, clients continue to use the connections that they have. The platform kills the
//! process no sooner than the longest deadline, of which no more than [`MAX_COUNTED_DEADLINE`]
//! counts, and [`KILL_GRACE`]. The process accepts requests until [`LAST_REQUEST_MARGIN`] before the
//! kill, and has sent its responses by [`LAST_ANSWER_MARGIN`] before the kill.

use std::time::Duration;

/// The part of the longest deadline that counts for the time of the kill. A larger value lets the
/// platform kill a host that still serves; a smaller one ends the service early.
const MAX_COUNTED_DEADLINE: Duration = Duration::from_millis(3000);
/// Time from that deadline to the kill. A larger value lets the platform kill a host that still
/// serves; a smaller one ends the service early.
const KILL_GRACE: Duration = Duration::from_millis(700);
/// Time from the last accepted requests to the kill. A smaller value accepts requests that the host
/// cannot complete; a larger one rejects requests that it could.
const LAST_REQUEST_MARGIN: Duration = Duration::from_millis(450);
/// Time from the last responses to the kill. A smaller value risks responses that the kill cuts off;
/// a larger one leaves the last requests less time.
const LAST_ANSWER_MARGIN: Duration = Duration::from_millis(200);
/// Time after which the owner has processed what was accepted before the listener was closed. A
/// smaller value loses clients that were just accepted; a larger one delays the end.
const LISTENER_SETTLE_TIME: Duration = Duration::from_millis(20);

/// When the listener may be closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ListenerClosing {
    /// Not now.
    NotDue,
    /// If no client is in the listener's queue. A queued client would be reset, and its request
    /// lost.
    IfQueueEmpty,
    /// Now, since the kill is near.
    Due,
}

/// The schedule of a shutdown.
#[derive(Debug)]
pub(super) struct Shutdown {
    /// Longest deadline of a request, as far as it counts.
    counted_deadline: Duration,
    /// None: no shutdown was requested.
    requested_at: Option<Duration>,
    /// None: the listener is open.
    listener_closed_at: Option<Duration>,
}

impl Shutdown {
    /// `longest_deadline`: of all requests.
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

    /// Returns when the last responses are sent, if a shutdown was requested.
    pub(super) fn last_answer_at(&self) -> Option<Duration> {
        Some(self.kill_at()? - LAST_ANSWER_MARGIN)
    }

    /// Returns whether responses now end their connections. Until then, a host that shuts down
    /// continues to serve: its clients would find no other host at its address before the next
    /// start.
    pub(super) fn closes_after_answer(&self, now: Duration) -> bool {
        self.kill_at()
            .is_some_and(|kill_at| now + LAST_REQUEST_MARGIN >= kill_at)
    }

    /// Returns when the listener may be closed. A client whose request crossed the close of an idle
    /// connection connects again, so the listener stays open until the last responses are due.
    pub(super) fn listener_closing(&self, now: Duration) -> ListenerClosing {
        let Some(kill_at) = self.kill_at().filter(|_| self.listener_closed_at.is_none()) else {
            return ListenerClosing::NotDue;
        };
        if now + LAST_ANSWER_MARGIN < kill_at {
            return ListenerClosing::NotDue;
        }
        if now + LAST_ANSWER_MARGIN / 2 >= kill_at {
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
