//! The calls on one connection to discovery, one after the other: which comes next, and how long it
//! may take.
//!
//! State machine: [`DiscoveryCalls::step`] takes what is wanted or was answered and returns the
//! call to write now, if any. No I/O and no clock. When discovery is called anew after a failure is
//! not decided here, but by the decisions and `grebecleat_discovery::poll_deadline`.

use std::time::Duration;

/// The least that a call for changes may wait at discovery.
const MIN_WATCH_WAIT: Duration = Duration::from_millis(1000);
/// The most that it may wait there. A watch that falls silent is found by this and [`CALL_TIMEOUT`]
/// alone, and what it has missed is known soon after. Harm: more calls, mostly empty.
const MAX_WATCH_WAIT: Duration = Duration::from_millis(2000);
/// How long the first call on a connection, for what is newer than a revision that was known
/// before, may wait there. Nothing, so that it is answered as soon as its turn comes, and found
/// lost as soon as one for the complete list would be.
const RESUME_WAIT: Duration = Duration::ZERO;
/// What a call may take beyond its wait there; of one on a new connection, its dial included.
pub const CALL_TIMEOUT: Duration = Duration::from_millis(1000);

/// How long an answer is awaited that is overdue: what discovery writes counts as told, however late
/// it is. Harm: the connection of a call that was lost stays open for so long.
const LATE_ANSWER_TIMEOUT: Duration = Duration::from_millis(4000);

/// What has happened.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Event {
    /// Changes are asked for from now on, or no longer.
    Watch {
        /// From now on.
        on: bool,
    },
    /// The complete list is asked for once.
    Fetch,
    /// An answer came.
    Answered {
        /// The list's revision in it.
        revision: u64,
    },
}

/// A call to write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Call {
    /// For the complete list.
    Complete,
    /// For what is newer than a revision, once there is something or the wait is over.
    Newer {
        /// The revision that is known.
        revision: u64,
        /// How long discovery may wait for a change.
        wait: Duration,
    },
}

/// A call that has not been answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OutstandingCall {
    /// What was asked for.
    pub call: Call,
    /// When it was written.
    pub begun: Duration,
    /// When it is overdue, and another one may be made on another connection.
    pub answer_by: Duration,
    /// It goes on with a watch: what is new is written to it at once, and it waits for nothing else.
    pub continues_watch: bool,
    /// [`DiscoveryCalls::report_overdue`] has reported it.
    reported: bool,
}

impl OutstandingCall {
    /// When its connection is closed.
    pub fn give_up_at(&self) -> Duration {
        self.answer_by + LATE_ANSWER_TIMEOUT
    }
}

/// The calls on one connection.
#[derive(Debug)]
pub struct DiscoveryCalls {
    /// What the next call for the complete list, or the first one, may take.
    complete_timeout: Duration,
    watching: bool,
    fetch: bool,
    revision: Option<u64>,
    /// Discovery has answered on this connection.
    has_answered: bool,
    /// Its last answer was to a watch, which goes on with the next one.
    watch_open: bool,
    outstanding: Option<OutstandingCall>,
}

impl DiscoveryCalls {
    /// `first_timeout`: what the first call may take at most; the router, which knows when it
    /// dialled, may end it sooner. `known`: the revision that this host has, of which it missed
    /// nothing: discovery is then asked for what is newer alone.
    ///
    /// A complete list costs discovery by its length, and a watch after it a second call. Of many
    /// hosts that lost theirs at once, each would cost so much, and what is refused would begin
    /// anew: the fleet then keeps discovery busy for ever.
    ///
    /// `continues`: discovery has just answered on a connection that ended with its answer, so that
    /// the watch goes on here, and its first call waits as any other.
    pub fn new(first_timeout: Duration, known: Option<u64>, continues: bool) -> Self {
        DiscoveryCalls {
            complete_timeout: first_timeout,
            watching: false,
            fetch: false,
            revision: known,
            has_answered: continues && known.is_some(),
            watch_open: false,
            outstanding: None,
        }
    }

    /// Whether the call that is out has become overdue since the last report.
    pub fn report_overdue(&mut self, now: Duration) -> bool {
        let outstanding = self.outstanding.as_mut();
        let Some(call) = outstanding.filter(|call| !call.reported && now >= call.answer_by) else {
            return false;
        };
        call.reported = true;
        true
    }

    /// The call that is out, if any.
    pub fn outstanding(&self) -> Option<OutstandingCall> {
        self.outstanding
    }

    /// Takes in an event; `poll_interval`: how often the settings ask for the list.
    pub fn step(&mut self, now: Duration, poll_interval: Duration, event: Event) -> Option<Call> {
        match event {
            Event::Watch { on } => self.watching = on,
            Event::Fetch => self.fetch = true,
            Event::Answered { revision } => self.answered(revision),
        }
        if self.outstanding.is_some() {
            return None;
        }
        // A fetch that is asked for before any revision is known stays asked for.
        let fetch_again = self.revision.is_some() && std::mem::take(&mut self.fetch);
        // The next call follows at once, or what changes meanwhile would be taken as known.
        let Some(revision) = self.revision.filter(|_| !fetch_again) else {
            return self.begin(now, Call::Complete, self.complete_timeout);
        };
        if !self.watching {
            return None;
        }
        if !self.has_answered {
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
            continues_watch: self.watch_open && matches!(call, Call::Newer { .. }),
            reported: false,
        });
        Some(call)
    }

    /// Revisions only grow; one that does not is of a service that has lost its own, and what has
    /// changed since cannot be known from it: the next call is for the complete list.
    fn answered(&mut self, revision: u64) {
        let went_back = self.revision.is_some_and(|known| revision < known);
        let answered = self.outstanding.take();
        self.watch_open = answered.is_some_and(|it| matches!(it.call, Call::Newer { .. }));
        self.has_answered = true;
        self.revision = if went_back { None } else { Some(revision) };
        self.complete_timeout = CALL_TIMEOUT;
    }
}
