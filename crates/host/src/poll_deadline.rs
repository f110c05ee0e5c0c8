//! When discovery is polled again at the latest, so that a change is known in time whatever call
//! fails.
//!
//! The decisions space calls after failures, further and further, which spares a discovery that has
//! too many callers. They don't know how long the calls themselves took. [`PollDeadline`] does, and
//! calls for them where their wait would be too long for the term in which a change has to be
//! known.
//!
//! The argument. Let T be when discovery has the change and can be reached again. Of the calls from
//! T on, the first may have been begun before T and then is lost; the second may fail too, in
//! whatever way and however late a call can fail (refused, reset, given up, a dial that never comes
//! up); the third is answered. (Where T falls between two calls, the earlier one was begun before T
//! all the same.) Each beginning is known here, and the first is at T or before, so the third must
//! be answered within the term from the first one's *beginning*. That says nothing of T, which a
//! host can't know: it holds for any three calls in a row. A watch begins with the answer before
//! it.
//!
//! ```text
//!     watch, silent from its beginning    2.0 s   discovery_calls::MAX_WATCH_WAIT
//!       what it may take beyond           1.0     discovery_calls::CALL_TIMEOUT
//!       the look that ends it            0.05     the platform's sweep
//!     wait                         up to 0.50     what is left but for the next two lines and SPREAD
//!     dial and call, refused as late as can be    1.0   the call's span, from its dial on
//!     wait                         up to 0.35     SPREAD
//!     dial and call, answered as late as can be   1.0
//!     at most                             5.9 s   the term is 6 s, WAKES for our own wakes
//! ```
//!
//! Before, each wait was the decisions' alone (up to 0.6 s after a first failure, 1.2 after a
//! second, 2.25 later) and a call's span began when its dial was up: 3.05 + 0.6 + 1.3 + 1.2 + 1.3 =
//! 7.45 s after a silent watch, and 1.3 + 2.25 + 1.3 + 2.25 + 1.3 = 8.4 s in the middle of an
//! outage.
//!
//! Failures that come fast leave the decisions' own waits as they are (two of them are 4.5 s at
//! most), so a discovery that refuses at once sees no more calls than before. Harm: one that takes
//! calls and never answers is called more often, by a twentieth in the model fleets of
//! `platform/tests/poll_deadline`. A second failure of a call begun after T is not covered: that
//! needs either more calls all the time or less time for each.
//!
//! A discovery that moves is a call begun anew there, and the one at the former address counts as
//! failed. Pushed lists come by the same watches. Shorter waits (settings that want more polls)
//! shorten the sum.

//! A discovery that answers that it has too many callers is alive, and what it needs is fewer calls.
//! After [`MAX_HASTY_REFUSALS`] refusals in a row, and until a host's first answer, nothing is
//! called for the term: the decisions' growing waits apply alone, and a call is given the time that
//! it may queue there. Guards against a fleet whose calls keep discovery from serving any of them:
//! with 60 hosts each call took up to 2 s to be refused, every host made a second one after 1 s, and
//! none was served for 20 s. What the host may do meanwhile is for the decisions
//! (`DiscoveryPolicy::lease`).

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::time::Duration;

/// What is left at least for the last wait, over which many hosts' calls are spread.
const SPREAD: Duration = Duration::from_millis(350);
/// Our own wakes between what happens and what is done about it.
const WAKES: Duration = Duration::from_millis(100);

/// Refusals in a row for which a call is still made within the term: the argument covers one
/// failure after a call that was lost.
const MAX_HASTY_REFUSALS: u32 = 1;
/// What a call may take of a discovery that is crowded, or of which nothing is known yet: longer
/// than it lets a call wait (one and two seconds were seen). Harm: one that is lost then is found
/// so much later.
pub const PATIENT_CALL: Duration = Duration::from_millis(3000);

/// What has become of calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Event {
    /// A call was begun; where it needs a connection, its dial.
    Called,
    /// Discovery answered: all that it had is known, and a watch begins.
    Answered,
    /// The call failed, was refused or given up.
    Failed,
    /// Discovery is at another address: how often the former one refused says nothing of it.
    Moved,
    /// Discovery has answered that it has too many callers; [`Event::Failed`] follows.
    Refused,
}

/// What to do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// Call discovery now.
    Call,
}

/// Decides when discovery is polled at the latest.
#[derive(Debug)]
pub struct PollDeadline {
    rng: Pcg64Mcg,
    /// From a call's beginning to the latest one of the second call after it.
    second_after: Duration,
    /// From a call's beginning to the latest one of the next.
    next_after: Duration,
    /// What a call may take, its dial included.
    call: Duration,
    /// Discovery has answered since the start.
    answered: bool,
    /// Refusals since it last answered.
    refusals: u32,
    /// When the last call was begun, of those since discovery last answered.
    last: Option<Duration>,
    /// When the one before it was.
    before: Option<Duration>,
    call_at: Option<Duration>,
}

impl PollDeadline {
    /// `term`: in which a change has to be known; `call`: what a call may take, its dial included;
    /// `seed`: of the spread.
    pub fn new(term: Duration, call: Duration, seed: u64) -> Self {
        let second_after = term.saturating_sub(call + WAKES);
        PollDeadline {
            rng: Pcg64Mcg::seed_from_u64(seed),
            second_after,
            next_after: second_after.saturating_sub(call + SPREAD),
            call,
            answered: false,
            refusals: 0,
            last: None,
            before: None,
            call_at: None,
        }
    }

    /// What the next call may take, its dial included.
    pub fn call_timeout(&self) -> Duration {
        if self.is_patient() {
            PATIENT_CALL
        } else {
            self.call
        }
    }

    fn is_patient(&self) -> bool {
        !self.answered || self.refusals > MAX_HASTY_REFUSALS
    }

    /// When `step` must be called again if nothing happens before.
    pub fn wake_at(&self) -> Option<Duration> {
        self.call_at
    }

    /// Takes in what has happened, and returns whether to call.
    pub fn step(&mut self, now: Duration, event: Option<Event>) -> Option<Action> {
        match event {
            Some(Event::Called) => {
                self.before = self.last;
                self.last = Some(now);
                self.call_at = None;
            }
            Some(Event::Answered) => {
                self.answered = true;
                self.refusals = 0;
                self.before = None;
                self.last = Some(now);
                self.call_at = None;
            }
            Some(Event::Moved) => self.refusals = 0,
            Some(Event::Refused) => self.refusals += 1,
            Some(Event::Failed) if self.is_patient() => self.call_at = None,
            Some(Event::Failed) => self.plan_call(now),
            None => {}
        }
        self.call_at.take_if(|at| now >= *at).map(|_| Action::Call)
    }

    fn plan_call(&mut self, now: Duration) {
        let second = self.before.map(|begun| begun + self.second_after);
        let next = self.last.map(|begun| begun + self.next_after);
        let latest = [second, next].into_iter().flatten().min();
        let room = latest.map_or(Duration::ZERO, |at| at.saturating_sub(now));
        let early = room.min(SPREAD).mul_f64(self.rng.random());
        self.call_at = latest.map(|at| at.max(now) - early);
    }
}
