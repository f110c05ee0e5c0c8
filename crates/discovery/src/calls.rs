//! The sequence of calls on one connection to a discovery service that responds to one call at a time: which
//! call comes next, and its timeout.
//!
//! [`CallSequence`] is a state machine without I/O and without a clock. [`crate::long_polling`] calls
//! [`CallSequence::step`] with a request or a response, and sends the call that it returns, if any. The time of
//! a call after a failure is decided by the scheduler's backoff and by [`crate::poll_deadline`].

use std::time::Duration;

/// Shortest time for which discovery may hold a call for changes. With a smaller value, discovery sends more
/// empty responses.
const MIN_WATCH_WAIT: Duration = Duration::from_millis(1000);
/// Longest time for which discovery may hold a call for changes. The sum of this and [`CALL_TIMEOUT`] bounds
/// the time until the host detects a watch that gets no response; soon after, the host learns of the changes
/// that it missed. A larger value violates the time budget of [`crate::poll_deadline`]. The cost of a small
/// value is more calls, most of them with an empty response.
const MAX_WATCH_WAIT: Duration = Duration::from_millis(2000);
/// Time for which discovery may hold the first call on a connection that requests the changes after a known
/// revision. The time is zero, so that discovery responds as soon as it has processed the call, and the host
/// detects that such a call was lost as soon as it would for a call for the complete list.
const RESUME_WAIT: Duration = Duration::ZERO;
/// Timeout of a call, in addition to the time for which discovery may hold it. The timeout of a call on a new
/// connection includes the dial. A larger value violates the time budget of [`crate::poll_deadline`]; a smaller
/// one abandons calls to which discovery would respond.
pub const CALL_TIMEOUT: Duration = Duration::from_millis(1000);

/// Time for which the host waits for an overdue response before it closes the connection. Discovery counts a
/// response as delivered however late it sends it, so a change in it must not be lost. The cost is that the
/// connection of a lost call stays open for this time.
const LATE_RESPONSE_TIMEOUT: Duration = Duration::from_millis(4000);

/// An input of [`CallSequence::step`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Event {
    /// The client starts or stops to watch for changes.
    Watch {
        /// Whether the client watches from now on.
        on: bool,
    },
    /// The client requests the complete list once.
    Fetch,
    /// Discovery has responded.
    Answered {
        /// The list's revision in the response.
        revision: u64,
    },
}

/// A call to send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Call {
    /// Requests the complete list.
    Complete,
    /// Requests the changes after a revision. Discovery responds at the first change or at the end of `wait`.
    Newer {
        /// The known revision.
        revision: u64,
        /// How long discovery may hold the call until there is a change.
        wait: Duration,
    },
}

impl Call {
    /// Returns the name of this kind of call in the log.
    pub fn kind(&self) -> &'static str {
        match self {
            Call::Complete => "complete list",
            Call::Newer { .. } => "changes",
        }
    }

    /// Returns the revision after which the call requests changes, or `None` if it requests the complete list.
    pub fn known_revision(&self) -> Option<u64> {
        match self {
            Call::Complete => None,
            Call::Newer { revision, .. } => Some(*revision),
        }
    }

    /// Returns how long discovery may hold the call until there is a change.
    pub fn wait(&self) -> Duration {
        match self {
            Call::Complete => Duration::ZERO,
            Call::Newer { wait, .. } => *wait,
        }
    }
}

/// A call that has no response yet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OutstandingCall {
    /// The call.
    pub call: Call,
    /// When it was sent.
    pub sent_at: Duration,
    /// When the call becomes overdue. Another call may then begin on another connection.
    pub timeout_at: Duration,
    /// Whether the call continues a watch. Discovery responds to such a call as soon as there is a change, and
    /// holds the call for no other reason.
    pub continues_watch: bool,
    /// Whether [`CallSequence::report_overdue`] has reported the call.
    is_reported: bool,
}

impl OutstandingCall {
    /// Returns when the host stops to wait for the response and closes the connection.
    pub fn close_at(&self) -> Duration {
        self.timeout_at + LATE_RESPONSE_TIMEOUT
    }

    /// Returns how long the call has been queued at discovery, without the time for which discovery may hold it
    /// until there is a change.
    pub fn queueing_time(&self, now: Duration) -> Duration {
        now.saturating_sub(self.sent_at)
            .saturating_sub(self.call.wait())
    }

    /// Returns whether a response now means that discovery did not hold the call until there was a change,
    /// although the call allows that.
    pub fn ends_early(&self, now: Duration) -> bool {
        let Call::Newer { wait, .. } = self.call else {
            return false;
        };
        now < self.sent_at + wait / 2
    }
}

/// Decides the sequence of calls on one connection.
#[derive(Debug)]
pub struct CallSequence {
    /// Timeout of the next call for the complete list, and of the first call on the connection.
    complete_timeout: Duration,
    is_watching: bool,
    /// Whether the client has requested the complete list.
    is_fetch_requested: bool,
    revision: Option<u64>,
    /// Whether discovery has responded on this connection.
    has_response: bool,
    /// Whether the last response was to a call for changes, so that the next call continues the watch.
    is_watch_open: bool,
    outstanding: Option<OutstandingCall>,
}

impl CallSequence {
    /// Returns the sequence for a new connection.
    ///
    /// - `first_timeout` is the longest timeout of the first call; the client, which knows when it began to
    ///   dial, may end the call sooner.
    /// - `known` is the revision of the list that this host has completely; the calls then request only later
    ///   changes.
    /// - `continues` means that discovery has just responded on a connection that ended with the response.
    ///   The watch then continues on this connection, and discovery may hold the first call like any other
    ///   call for changes.
    ///
    /// The calls resume from a known revision because a complete list costs discovery in proportion to its
    /// length, and the watch after it costs another call. If many hosts requested their complete lists at once,
    /// and requested them again after each refusal, discovery could stay overloaded forever.
    pub fn new(first_timeout: Duration, known: Option<u64>, continues: bool) -> Self {
        CallSequence {
            complete_timeout: first_timeout,
            is_watching: false,
            is_fetch_requested: false,
            revision: known,
            has_response: continues && known.is_some(),
            is_watch_open: false,
            outstanding: None,
        }
    }

    /// Returns whether the outstanding call is overdue and was not reported before, and marks it as reported.
    pub fn report_overdue(&mut self, now: Duration) -> bool {
        let outstanding = self.outstanding.as_mut();
        let Some(call) = outstanding.filter(|call| !call.is_reported && now >= call.timeout_at)
        else {
            return false;
        };
        call.is_reported = true;
        true
    }

    /// Returns the outstanding call, if any.
    pub fn outstanding(&self) -> Option<OutstandingCall> {
        self.outstanding
    }

    /// Takes an event and returns the call to send now, if any. `poll_interval` is the time between two polls
    /// that the settings require.
    pub fn step(&mut self, now: Duration, poll_interval: Duration, event: Event) -> Option<Call> {
        match event {
            Event::Watch { on } => self.is_watching = on,
            Event::Fetch => self.is_fetch_requested = true,
            Event::Answered { revision } => self.answered(revision),
        }
        if self.outstanding.is_some() {
            return None;
        }
        // A fetch that is requested while no revision is known stays requested.
        let fetch_again = self.revision.is_some() && std::mem::take(&mut self.is_fetch_requested);
        // The next call follows the response at once. Otherwise the host would count a change in between as
        // known.
        let Some(revision) = self.revision.filter(|_| !fetch_again) else {
            return self.begin(now, Call::Complete, self.complete_timeout);
        };
        if !self.is_watching {
            return None;
        }
        if !self.has_response {
            let wait = RESUME_WAIT;
            return self.begin(now, Call::Newer { revision, wait }, self.complete_timeout);
        }
        let wait = (poll_interval / 2).clamp(MIN_WATCH_WAIT, MAX_WATCH_WAIT);
        self.begin(now, Call::Newer { revision, wait }, wait + CALL_TIMEOUT)
    }

    fn begin(&mut self, now: Duration, call: Call, timeout: Duration) -> Option<Call> {
        self.outstanding = Some(OutstandingCall {
            call,
            sent_at: now,
            timeout_at: now + timeout,
            continues_watch: self.is_watch_open && matches!(call, Call::Newer { .. }),
            is_reported: false,
        });
        Some(call)
    }

    /// Records a response. Revisions only increase, so a smaller revision comes from a discovery service that
    /// has lost its state. The changes since then cannot be derived from it, so the next call requests the
    /// complete list.
    fn answered(&mut self, revision: u64) {
        let is_older = self.revision.is_some_and(|known| revision < known);
        let answered = self.outstanding.take();
        self.is_watch_open =
            answered.is_some_and(|outstanding| matches!(outstanding.call, Call::Newer { .. }));
        self.has_response = true;
        self.revision = if is_older { None } else { Some(revision) };
        self.complete_timeout = CALL_TIMEOUT;
    }
}
