//! The calls on one connection to a discovery that responds to one call at a time: which call comes
//! next, and its timeout.
//!
//! State machine: [`CallSequence::step`] takes a request or a response and returns the call to send
//! now, if any. No I/O and no clock. [`crate::long_polling`] calls it. The call after a failure is
//! not decided here, but by the scheduler's backoff and by [`crate::poll_deadline`].

use std::time::Duration;

/// The shortest time for which a call for changes may wait at discovery. A smaller value makes
/// discovery respond to more empty calls.
const MIN_WATCH_WAIT: Duration = Duration::from_millis(1000);
/// The longest time for which a call for changes may wait at discovery. This and [`CALL_TIMEOUT`]
/// alone bound the time until the host detects a silent watch, and the host knows the missed change
/// soon after. A larger value breaks the sum of [`crate::poll_deadline`]. Harm: more calls, most of
/// them empty.
const MAX_WATCH_WAIT: Duration = Duration::from_millis(2000);
/// The time for which the first call on a connection, for what is newer than an already known
/// revision, may wait at discovery. Zero, so that discovery responds as soon as the turn of the call
/// comes, and the host detects a lost call as soon as a lost call for the complete list.
const RESUME_WAIT: Duration = Duration::ZERO;
/// Timeout of a call beyond its wait at discovery. The timeout of a call on a new connection
/// includes its dial. A larger value breaks the sum of [`crate::poll_deadline`]; a smaller one
/// abandons calls that discovery would serve.
pub const CALL_TIMEOUT: Duration = Duration::from_millis(1000);

/// How long an overdue response is awaited: discovery counts what it sends as delivered, however
/// late it is. Harm: the connection of a lost call stays open for this time.
const LATE_RESPONSE_TIMEOUT: Duration = Duration::from_millis(4000);

/// An event of the sequence.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Event {
    /// The client requests changes from now on, or no longer.
    Watch {
        /// Whether it requests them.
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
    /// For the complete list.
    Complete,
    /// For what is newer than a revision, as soon as there is something or the wait is over.
    Newer {
        /// The known revision.
        revision: u64,
        /// How long discovery may wait for a change.
        wait: Duration,
    },
}

impl Call {
    /// The kind of call as the log names it.
    pub fn kind(&self) -> &'static str {
        match self {
            Call::Complete => "complete list",
            Call::Newer { .. } => "changes",
        }
    }

    /// The revision after which the call requests changes; None: it requests the complete list.
    pub fn known_revision(&self) -> Option<u64> {
        match self {
            Call::Complete => None,
            Call::Newer { revision, .. } => Some(*revision),
        }
    }

    /// How long discovery may wait for a change.
    pub fn wait(&self) -> Duration {
        match self {
            Call::Complete => Duration::ZERO,
            Call::Newer { wait, .. } => *wait,
        }
    }
}

/// A call without a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OutstandingCall {
    /// The call.
    pub call: Call,
    /// When it was sent.
    pub begun: Duration,
    /// When it becomes overdue. Another call may then begin on another connection.
    pub answer_by: Duration,
    /// Whether it continues a watch. Discovery sends a change to such a call at once, and the call
    /// waits for nothing else.
    pub continues_watch: bool,
    /// Whether [`CallSequence::report_overdue`] has reported it.
    reported: bool,
}

impl OutstandingCall {
    /// Returns when its connection is closed.
    pub fn give_up_at(&self) -> Duration {
        self.answer_by + LATE_RESPONSE_TIMEOUT
    }

    /// Returns how long the call has been queued at discovery, without the time for which it was to
    /// wait there for changes.
    pub fn queueing_time(&self, now: Duration) -> Duration {
        now.saturating_sub(self.begun)
            .saturating_sub(self.call.wait())
    }

    /// Returns whether discovery has not waited for changes, although the call allows it to.
    pub fn ends_early(&self, now: Duration) -> bool {
        let Call::Newer { wait, .. } = self.call else {
            return false;
        };
        now < self.begun + wait / 2
    }
}

/// The calls on one connection.
#[derive(Debug)]
pub struct CallSequence {
    /// Timeout of the next call for the complete list, or of the first call.
    complete_timeout: Duration,
    is_watching: bool,
    /// Whether a fetch is requested.
    fetch: bool,
    revision: Option<u64>,
    /// Whether discovery has responded on this connection.
    has_response: bool,
    /// Whether the last response was to a watch, which the next call continues.
    is_watch_open: bool,
    outstanding: Option<OutstandingCall>,
}

impl CallSequence {
    /// `first_timeout`: longest timeout of the first call; the client, which knows when it dialled,
    /// may end the call sooner. `known`: the revision that this host has and of which it missed
    /// nothing; the calls then request what is newer alone. `continues`: discovery has just
    /// responded on a connection that ended with the response, so that the watch continues on this
    /// connection, and its first call waits like any other.
    ///
    /// A complete list costs discovery by its length, and the watch after it costs a second call.
    /// If many hosts lost their lists at once, each of them would cost discovery that much, and each
    /// refused call would begin anew: the fleet would keep discovery busy forever.
    pub fn new(first_timeout: Duration, known: Option<u64>, continues: bool) -> Self {
        CallSequence {
            complete_timeout: first_timeout,
            is_watching: false,
            fetch: false,
            revision: known,
            has_response: continues && known.is_some(),
            is_watch_open: false,
            outstanding: None,
        }
    }

    /// Returns whether the outstanding call has become overdue since the last report.
    pub fn report_overdue(&mut self, now: Duration) -> bool {
        let outstanding = self.outstanding.as_mut();
        let Some(call) = outstanding.filter(|call| !call.reported && now >= call.answer_by) else {
            return false;
        };
        call.reported = true;
        true
    }

    /// Returns the outstanding call, if any.
    pub fn outstanding(&self) -> Option<OutstandingCall> {
        self.outstanding
    }

    /// Takes an event, and returns the call to send now. `poll_interval`: how often the settings
    /// require the list to be polled.
    pub fn step(&mut self, now: Duration, poll_interval: Duration, event: Event) -> Option<Call> {
        match event {
            Event::Watch { on } => self.is_watching = on,
            Event::Fetch => self.fetch = true,
            Event::Answered { revision } => self.answered(revision),
        }
        if self.outstanding.is_some() {
            return None;
        }
        // A fetch that is requested before any revision is known stays requested.
        let fetch_again = self.revision.is_some() && std::mem::take(&mut self.fetch);
        // The next call follows at once; otherwise a change meanwhile would count as known.
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
            begun: now,
            answer_by: now + timeout,
            continues_watch: self.is_watch_open && matches!(call, Call::Newer { .. }),
            reported: false,
        });
        Some(call)
    }

    /// Records a response. Revisions only grow. A smaller revision comes from a discovery that has
    /// lost its own revisions, and whose changes since then cannot be derived from it: the next call
    /// is for the complete list.
    fn answered(&mut self, revision: u64) {
        let went_back = self.revision.is_some_and(|known| revision < known);
        let answered = self.outstanding.take();
        self.is_watch_open = answered.is_some_and(|it| matches!(it.call, Call::Newer { .. }));
        self.has_response = true;
        self.revision = if went_back { None } else { Some(revision) };
        self.complete_timeout = CALL_TIMEOUT;
    }
}
