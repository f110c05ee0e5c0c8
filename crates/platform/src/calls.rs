//! The calls on one connection to the list, one after the other: which comes next, and how long it may take.
//!
//! [`Calls::step`] is told what was asked and what came, and answers the call to write now, if any. It has no
//! socket and no clock. When the list is called anew after a failure is not decided here, but by the
//! decisions and `grebecleat_host::renewal`.

use std::time::Duration;

/// The least and the most that a call to the list may wait there. A watch that falls silent is found by that
/// and [`ANSWER`] alone, and what it kept back counts as told soon after. Harm: more calls, mostly empty.
const WATCH: (Duration, Duration) = (Duration::from_millis(1000), Duration::from_millis(2000));
/// What a call may take beyond its wait there; of one on a new connection, its dial included.
pub const ANSWER: Duration = Duration::from_millis(1000);

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Event {
    /// Changes are wanted from now on, or no longer.
    Watch { on: bool },
    /// The whole list is wanted once.
    Fetch,
    /// An answer came, of that revision.
    Told { revision: u64 },
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    Whole,
    /// What is newer than a revision, once there is something or the wait is over.
    Newer {
        revision: u64,
        wait: Duration,
    },
}

#[derive(Debug)]
pub struct Calls {
    /// What the first call may take at most; the desk, which knows when it dialled, may end it sooner.
    first: Duration,
    watching: bool,
    whole: bool,
    revision: Option<u64>,
    /// A call is out, and must be answered by then.
    by: Option<Duration>,
}

impl Calls {
    pub fn new(first: Duration) -> Self {
        Calls {
            first,
            watching: false,
            whole: false,
            revision: None,
            by: None,
        }
    }

    /// When the call that is out must be answered.
    pub fn by(&self) -> Option<Duration> {
        self.by
    }

    /// `ask_every`: how often the settings want the list asked for.
    pub fn step(&mut self, now: Duration, poll_interval: Duration, event: Event) -> Option<Action> {
        match event {
            Event::Watch { on } => self.watching = on,
            Event::Fetch => self.whole = true,
            // Versions only grow; one that does not is of a service that has lost its own, and what has
            // changed since is nobody's to tell: the next call is for the whole list.
            Event::Told { revision } => {
                let back = self.revision.is_some_and(|had| revision < had);
                (self.by, self.revision) = (None, Some(revision).filter(|_| !back));
                self.first = ANSWER;
            }
        }
        if self.by.is_some() {
            return None;
        }
        // The next call follows at once, or what changes meanwhile would count as told.
        match self.revision.filter(|_| !std::mem::take(&mut self.whole)) {
            Some(_) if !self.watching => None,
            Some(revision) => {
                let wait = (poll_interval / 2).clamp(WATCH.0, WATCH.1);
                self.by = Some(now + wait + ANSWER);
                Some(Action::Newer { revision, wait })
            }
            None => {
                self.by = Some(now + self.first);
                Some(Action::Whole)
            }
        }
    }
}
