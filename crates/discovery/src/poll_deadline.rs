//! The latest time of the next call to discovery, so that a change is known in time even if calls
//! fail.
//!
//! The scheduler spaces the calls after failures with a growing backoff, which spares a discovery
//! that has too many callers. The scheduler does not know how long the calls themselves took.
//! [`PollDeadline`] knows it, and calls before the backoff has passed where the backoff would be too
//! long for the term within which a change has to be known.
//!
//! # Argument
//!
//! Let T be the time from which discovery has the change and can be reached again. Consider the
//! calls that are outstanding at T or begin after T:
//!
//! 1. The first call may have begun before T, and then is lost.
//! 2. The second call may fail too, in every way and as late as a call can fail: refused, reset,
//!    timed out, or with a dial that never succeeds.
//! 3. Discovery answers the third call.
//!
//! (If T falls between two calls, the earlier of the two has begun before T all the same.) The client
//! knows when each call began, and the first call began at T or before. So the third call must be
//! answered within the term from the *beginning* of the first call. This condition does not mention
//! T, which a host cannot know: it holds for any three calls in a row. A watch begins with the
//! response that precedes it.
//!
//! ```text
//!     watch, silent from its beginning    2.0 s   MAX_WATCH_WAIT of the calls
//!       what it may take beyond           1.0     CALL_TIMEOUT of the calls
//!       the sweep that ends it           0.05     the platform's sweep interval
//!     wait                         up to 0.50     the remainder, without the next two lines and
//!                                                 MIN_JITTER
//!     dial and call, refused as late as can be    1.0   the call's timeout, from its dial on
//!     wait                         up to 0.35     MIN_JITTER
//!     dial and call, answered as late as can be   1.0
//!     at most                             5.9 s   the term is 6 s, WAKE_LATENCY for our own wakes
//! ```
//!
//! Without the poll deadline, each wait is the scheduler's alone (up to 0.6 s after a first failure,
//! 1.2 s after a second one, 2.25 s later) and a call's timeout begins when its dial has succeeded:
//! 3.05 + 0.6 + 1.3 + 1.2 + 1.3 = 7.45 s after a silent watch, and
//! 1.3 + 2.25 + 1.3 + 2.25 + 1.3 = 8.4 s in the middle of an outage.
//!
//! Failures that come fast leave the scheduler's backoff as it is (two waits are 4.5 s at most), so
//! a discovery that refuses at once gets no more calls than without the deadline. Harm: a discovery
//! that accepts calls and never answers gets more calls, by a twentieth in the model fleets of
//! `platform/tests/poll_deadline`. The argument does not cover a second failure of a call that began
//! after T: that needs either more calls all the time or a shorter timeout for each call.
//!
//! If discovery moves, a call begins at its new address, and the call at the former address counts
//! as failed. Lists that discovery pushes come by the same watches. Shorter waits (settings that
//! require more polls) shorten the sum.
//!
//! # Refusals
//!
//! A discovery that responds that it has too many callers is alive, and needs fewer calls. After
//! [`MAX_PROMPT_REFUSALS`] refusals in a row, and until a host's first response, the deadline does
//! not apply: the scheduler's backoff applies alone, and a call gets the time for which it may be
//! queued at discovery. This guards against a fleet whose calls keep discovery from serving any of
//! them: with 60 hosts, discovery took up to 2 s to refuse each call, every host made a second call
//! after 1 s, and discovery served no call for 20 s. The scheduler decides what the host may do
//! meanwhile (`DiscoveryPolicy::lease`).

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::time::Duration;

/// The least length of the last wait, over which the calls of many hosts are spread. A smaller value
/// makes the calls of a fleet coincide; a larger one shortens the first wait of the argument.
const MIN_JITTER: Duration = Duration::from_millis(350);
/// Bound on the time between an event and the reaction of this process, over all three calls. A
/// smaller value makes a busy host late; a larger one shortens the waits.
const WAKE_LATENCY: Duration = Duration::from_millis(100);

/// Number of refusals in a row after which a call still follows within the term: the argument covers
/// one failure after a lost call. A larger number overloads a crowded discovery; zero gives up the
/// term at the first refusal.
const MAX_PROMPT_REFUSALS: u32 = 1;
/// Timeout of a call to a discovery that is crowded, or that has not responded yet. The timeout is
/// longer than discovery queues a call (one and two seconds were observed); a shorter timeout
/// abandons calls that discovery would serve. Harm: the client detects a lost call that much later.
pub const PATIENT_CALL_TIMEOUT: Duration = Duration::from_millis(3000);

/// An event of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Event {
    /// A call has begun; if it needs a connection, its dial has begun.
    CallStarted,
    /// Discovery has responded: the host knows everything that discovery had, and a watch begins.
    Answered,
    /// The call has failed, was refused or has timed out.
    Failed,
    /// Discovery is at another address. The refusals at the former address do not count there.
    Moved,
    /// Discovery has responded that it has too many callers; [`Event::Failed`] follows.
    Refused,
}

/// An action to perform.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// Call discovery now.
    Call,
}

/// Decides when the next call to discovery begins at the latest.
#[derive(Debug)]
pub struct PollDeadline {
    rng: Pcg64Mcg,
    /// Longest time from the beginning of a call to the beginning of the second call after it.
    second_after: Duration,
    /// Longest time from the beginning of a call to the beginning of the next call.
    next_after: Duration,
    /// Timeout of a call, its dial included.
    call_timeout: Duration,
    /// Whether discovery has responded since the start.
    has_response: bool,
    /// Refusals since discovery last responded.
    refusals: u32,
    /// When the last call began, among the calls since discovery last responded.
    last_call: Option<Duration>,
    /// When the call before the last call began.
    previous_call: Option<Duration>,
    call_at: Option<Duration>,
}

impl PollDeadline {
    /// `term`: the time within which a change has to be known; `call_timeout`: timeout of a call, its
    /// dial included; `seed`: of the jitter.
    pub fn new(term: Duration, call_timeout: Duration, seed: u64) -> Self {
        let second_after = term.saturating_sub(call_timeout + WAKE_LATENCY);
        PollDeadline {
            rng: Pcg64Mcg::seed_from_u64(seed),
            second_after,
            next_after: second_after.saturating_sub(call_timeout + MIN_JITTER),
            call_timeout,
            has_response: false,
            refusals: 0,
            last_call: None,
            previous_call: None,
            call_at: None,
        }
    }

    /// Returns the timeout of the next call, its dial included.
    pub fn call_timeout(&self) -> Duration {
        if self.is_patient() {
            PATIENT_CALL_TIMEOUT
        } else {
            self.call_timeout
        }
    }

    /// Returns whether calls get more time and the deadline does not apply.
    fn is_patient(&self) -> bool {
        !self.has_response || self.refusals > MAX_PROMPT_REFUSALS
    }

    /// Returns when `step` must be called again if nothing happens before.
    pub fn wake_at(&self) -> Option<Duration> {
        self.call_at
    }

    /// Takes an event, if any, and returns the action that is due.
    pub fn step(&mut self, now: Duration, event: Option<Event>) -> Option<Action> {
        match event {
            Some(Event::CallStarted) => {
                self.previous_call = self.last_call;
                self.last_call = Some(now);
                self.call_at = None;
            }
            Some(Event::Answered) => {
                self.has_response = true;
                self.refusals = 0;
                self.previous_call = None;
                self.last_call = Some(now);
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
        let second = self.previous_call.map(|begun| begun + self.second_after);
        let next = self.last_call.map(|begun| begun + self.next_after);
        let latest = [second, next].into_iter().flatten().min();
        let time_left = latest.map_or(Duration::ZERO, |at| at.saturating_sub(now));
        let early = time_left.min(MIN_JITTER).mul_f64(self.rng.random());
        self.call_at = latest.map(|at| at.max(now) - early);
    }
}
