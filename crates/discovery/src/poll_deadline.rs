//! The latest time of the next call to discovery, so that the host learns of a change in time even if calls
//! fail.
//!
//! The scheduler spaces the calls after failures with an increasing backoff, which protects a discovery service
//! that has too many callers. The scheduler does not know how long the calls themselves took. [`PollDeadline`]
//! does, and calls before the backoff has passed if the backoff would violate the staleness bound: the longest
//! time after which the host must know a change that discovery has.
//!
//! # Why three calls suffice
//!
//! Let T be the time from which discovery has the change and can be reached again. Consider the calls that are
//! outstanding at T or begin after T:
//!
//! 1. The first call may have begun before T, and is then lost.
//! 2. The second call may fail too, in every way and as late as a call can fail: refused, reset, timed out,
//!    or with a dial that never succeeds.
//! 3. Discovery responds to the third call.
//!
//! (If T falls between two calls, the earlier of the two has begun before T as well and takes the place of the
//! first call.) The client knows when each call began, and the first call began at T or before. The staleness
//! bound therefore holds if the third call gets its response within the bound from the *beginning* of the first
//! call. This condition does not mention T, which a host cannot know: it has to hold for any three consecutive
//! calls. A watch begins with the response that precedes it.
//!
//! The time budget of the worst case:
//!
//! ```text
//!     watch without a response            2.0  s  MAX_WATCH_WAIT of the calls
//!       timeout beyond that wait          1.0     CALL_TIMEOUT of the calls
//!       sweep that detects the timeout    0.05    the platform's sweep interval
//!     wait                       up to    0.5     the remainder after the other lines
//!     dial and call, refused as late
//!       as possible                       1.0     the call's timeout, which includes the dial
//!     wait                       up to    0.35    MIN_JITTER
//!     dial and call, answered as late
//!       as possible                       1.0     the call's timeout, which includes the dial
//!     total                    at most    5.9  s  the bound is 6 s, less WAKE_LATENCY for this process
//! ```
//!
//! Without the poll deadline, each wait is decided by the scheduler alone (up to 0.6 s after a first failure,
//! 1.2 s after a second one, 2.25 s later) and the timeout of a call begins when its dial has succeeded. The
//! total is then 3.05 + 0.6 + 1.3 + 1.2 + 1.3 = 7.45 s after a watch without a response, and
//! 1.3 + 2.25 + 1.3 + 2.25 + 1.3 = 8.4 s in the middle of an outage.
//!
//! If calls fail fast, the scheduler's backoff applies unchanged, because two waits are at most 4.5 s. A
//! discovery service that refuses calls at once therefore gets no more calls than without the deadline. The
//! cost of the deadline is that a service that accepts calls and never responds gets more of them: a twentieth
//! more in the simulated fleets of `platform/tests/poll_deadline`. The budget does not cover a second
//! failure among the calls that began after T; that would need either more calls at all times or a shorter
//! timeout for each call.
//!
//! If the address of discovery changes, a call begins at the new address, and the call at the former address
//! counts as failed. Lists that discovery pushes arrive as responses to the same watches. Settings that require
//! more frequent polls shorten the waits, and with them the total.
//!
//! # Refusals
//!
//! A discovery service that refuses calls because it has too many callers is alive, and needs fewer calls.
//! After [`MAX_PROMPT_REFUSALS`] refusals in a row, and until the first response to a host, the deadline does
//! not apply: only the scheduler's backoff does, and a call gets the time for which discovery may queue it.
//! This guards against a fleet whose calls keep discovery from serving any of them: with 60 hosts, discovery
//! took up to 2 s to refuse each call, every host made a second call after 1 s, and discovery served no call
//! for 20 s. The scheduler decides how the host may use its list meanwhile (`DiscoveryPolicy::lease`).

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::time::Duration;

/// Shortest range of the random wait before the last call, over which the calls of many hosts are spread. With
/// a smaller value, the calls of a fleet coincide; a larger one shortens the first wait of the time budget.
const MIN_JITTER: Duration = Duration::from_millis(350);
/// Longest total delay with which this process reacts to events during the three calls. With a smaller value, a
/// busy host violates the staleness bound; a larger one shortens the waits.
const WAKE_LATENCY: Duration = Duration::from_millis(100);

/// Number of consecutive refusals after which the deadline still applies to the next call. The time budget
/// covers one failure after a lost call. A larger number adds load to a discovery service that is overloaded;
/// with zero, the staleness bound would not hold after the first refusal.
const MAX_PROMPT_REFUSALS: u32 = 1;
/// Timeout of a call to a discovery service that is overloaded, or that has not responded yet. It is longer
/// than discovery queues a call, which may take one to two seconds; a shorter timeout abandons calls to which
/// discovery would respond. The cost is that the client detects a lost call later.
pub const EXTENDED_CALL_TIMEOUT: Duration = Duration::from_millis(3000);

/// An input of [`PollDeadline::step`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Event {
    /// A call has begun, or the dial for it if it needs a connection.
    CallStarted,
    /// Discovery has responded: the host has the current list, and a watch begins.
    Answered,
    /// The call has failed, was refused or has timed out.
    Failed,
    /// The address of discovery has changed. Refusals at the former address no longer count.
    Moved,
    /// Discovery has refused the call because it has too many callers; [`Event::Failed`] follows.
    Refused,
}

/// An output of [`PollDeadline::step`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// Call discovery now.
    Call,
}

/// Decides the latest time at which the next call to discovery begins.
#[derive(Debug)]
pub struct PollDeadline {
    rng: Pcg64Mcg,
    /// Longest time from the beginning of a call to the beginning of the second call after it.
    second_call_within: Duration,
    /// Longest time from the beginning of a call to the beginning of the next call.
    next_call_within: Duration,
    /// Timeout of a call, its dial included.
    call_timeout: Duration,
    /// Whether discovery has responded since the start.
    has_response: bool,
    /// Refusals since discovery last responded.
    refusals: u32,
    /// When the latest call or watch began; `None` before the first call.
    last_call: Option<Duration>,
    /// When the call before that began; `None` if discovery has responded since.
    previous_call: Option<Duration>,
    /// When the next call is due; `None` if none is scheduled.
    call_at: Option<Duration>,
}

impl PollDeadline {
    /// Returns a deadline without any call yet. `max_staleness` is the staleness bound, `call_timeout` is the
    /// timeout of a call, its dial included, and `seed` initializes the jitter.
    pub fn new(max_staleness: Duration, call_timeout: Duration, seed: u64) -> Self {
        let second_call_within = max_staleness.saturating_sub(call_timeout + WAKE_LATENCY);
        PollDeadline {
            rng: Pcg64Mcg::seed_from_u64(seed),
            second_call_within,
            next_call_within: second_call_within.saturating_sub(call_timeout + MIN_JITTER),
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
        if self.is_suspended() {
            EXTENDED_CALL_TIMEOUT
        } else {
            self.call_timeout
        }
    }

    /// Returns whether the deadline does not apply at present, and calls get the extended timeout.
    fn is_suspended(&self) -> bool {
        !self.has_response || self.refusals > MAX_PROMPT_REFUSALS
    }

    /// Returns when `step` must be called again if no event occurs before.
    pub fn wake_at(&self) -> Option<Duration> {
        self.call_at
    }

    /// Takes an event, if any, and returns the action if it is due.
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
            Some(Event::Failed) if self.is_suspended() => self.call_at = None,
            Some(Event::Failed) => self.schedule_call(now),
            None => {}
        }
        self.call_at.take_if(|at| now >= *at).map(|_| Action::Call)
    }

    fn schedule_call(&mut self, now: Duration) {
        let second = self
            .previous_call
            .map(|sent_at| sent_at + self.second_call_within);
        let next = self
            .last_call
            .map(|sent_at| sent_at + self.next_call_within);
        let latest = [second, next].into_iter().flatten().min();
        let time_left = latest.map_or(Duration::ZERO, |at| at.saturating_sub(now));
        let jitter = time_left.min(MIN_JITTER).mul_f64(self.rng.random());
        self.call_at = latest.map(|at| at.max(now) - jitter);
    }
}
