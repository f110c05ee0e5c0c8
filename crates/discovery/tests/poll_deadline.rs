//! Any three consecutive calls begin early enough for the staleness bound, however long the calls themselves
//! take and however long the scheduler's backoff is. If calls fail fast, the scheduler's backoff applies
//! unchanged.

use grebecleat_discovery::poll_deadline::{Action, Event, PollDeadline};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::time::Duration;

const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// The staleness bound: the longest time until the host must know a change.
const MAX_STALENESS: Duration = ms(6000);
/// Timeout of a call, its dial included.
const CALL_TIMEOUT: Duration = ms(1000);
/// Longest time until a watch without a response is detected.
const WATCH_TIMEOUT: Duration = ms(3050);
/// Longest backoff of the scheduler.
const MAX_BACKOFF: Duration = ms(2250);

/// Calls that fail after the last response, and when the next call begins if the scheduler does not call
/// before. Times are in milliseconds.
struct Case {
    name: &'static str,
    /// When each call begins and fails.
    failures: &'static [(u64, u64)],
    /// Earliest and latest time at which the next call begins.
    next_call: (u64, u64),
}

const CASES: [Case; 5] = [
    Case {
        name: "a watch without a response",
        failures: &[(0, 3050)],
        next_call: (3200, 3550),
    },
    Case {
        name: "a watch without a response, then a late refusal",
        failures: &[(0, 3050), (3550, 4550)],
        next_call: (4550, 4900),
    },
    Case {
        name: "a watch without a response, then an immediate refusal",
        failures: &[(0, 3050), (3550, 3551)],
        next_call: (4550, 4900),
    },
    Case {
        name: "two immediate refusals",
        failures: &[(2000, 2001), (3500, 3501)],
        next_call: (6550, 6900),
    },
    Case {
        name: "calls without a response that have already used up the time",
        failures: &[(0, 1000), (3600, 4600), (5000, 9000)],
        next_call: (9000, 9000),
    },
];

#[test]
fn the_next_call_begins_early_enough_for_one_more_call() {
    for case in CASES {
        for seed in 0..20 {
            check_next_call(&case, seed);
        }
    }
}

fn check_next_call(case: &Case, seed: u64) {
    let name = case.name;
    let mut deadline = PollDeadline::new(MAX_STALENESS, CALL_TIMEOUT, seed);
    let mut due = None;
    deadline.step(ms(0), Some(Event::Answered));
    for (index, (begun, ended)) in case.failures.iter().enumerate() {
        if index > 0 || *begun > 0 {
            deadline.step(ms(*begun), Some(Event::CallStarted));
        }
        assert_eq!(deadline.wake_at(), None, "{name}: a call is outstanding");
        due = deadline.step(ms(*ended), Some(Event::Failed));
    }
    let (earliest, latest) = case.next_call;
    let last_failure = case.failures[case.failures.len() - 1].1;
    if latest == last_failure {
        assert_eq!(
            due,
            Some(Action::Call),
            "{name}: the call must begin at once"
        );
        return;
    }
    let at = deadline.wake_at().expect(name);
    assert!((ms(earliest)..=ms(latest)).contains(&at), "{name}: {at:?}");
    assert_eq!(deadline.step(at - ms(1).min(at), None), None, "{name}");
    assert_eq!(
        (deadline.step(at, None), deadline.wake_at()),
        (Some(Action::Call), None),
        "{name}"
    );
}

#[test]
fn any_three_consecutive_calls_begin_within_the_staleness_bound_less_one_call() {
    for seed in 0..2000 {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut deadline = PollDeadline::new(MAX_STALENESS, CALL_TIMEOUT, seed);
        let mut now = ms(100_000);
        let mut begun = vec![now];
        deadline.step(now, Some(Event::Answered));
        for call in 0..12 {
            let longest = if call == 0 {
                WATCH_TIMEOUT
            } else {
                CALL_TIMEOUT
            };
            let took = [ms(1), longest, longest.mul_f64(rng.random())][rng.random_range(0..3)];
            now += took;
            deadline.step(now, Some(Event::Failed));
            let backoff = MAX_BACKOFF.mul_f64(rng.random());
            // The next call begins after the scheduler's backoff or at the deadline, whichever is earlier.
            now = (now + backoff).min(deadline.wake_at().unwrap_or(Duration::MAX).max(now));
            begun.push(now);
            deadline.step(now, Some(Event::CallStarted));
        }
        let spans = begun.windows(3).map(|calls| calls[2] - calls[0]);
        let longest = spans.max().expect("there are at least three calls");
        assert!(
            longest + CALL_TIMEOUT < MAX_STALENESS,
            "seed {seed}: {longest:?}"
        );
    }
}

/// Two backoffs of the scheduler after fast failures fit into the staleness bound, so the deadline requires no
/// earlier call.
#[test]
fn fast_failures_leave_the_backoff_unchanged() {
    for seed in 0..200 {
        let mut deadline = PollDeadline::new(MAX_STALENESS, CALL_TIMEOUT, seed);
        let mut now = ms(100_000);
        deadline.step(now, Some(Event::CallStarted));
        for _ in 0..20 {
            now += ms(2);
            deadline.step(now, Some(Event::Failed));
            now += MAX_BACKOFF;
            assert_eq!(deadline.step(now, None), None, "seed {seed}");
            deadline.step(now, Some(Event::CallStarted));
        }
    }
}

/// A discovery service that is overloaded needs fewer calls, and time to respond to the queued ones.
#[test]
fn after_repeated_refusals_the_backoff_applies_and_calls_get_more_time() {
    let mut deadline = PollDeadline::new(MAX_STALENESS, CALL_TIMEOUT, 1);
    let extended_timeout = ms(3000);
    assert_eq!(deadline.call_timeout(), extended_timeout, "no response yet");
    deadline.step(ms(0), Some(Event::Answered));
    let refuse_call = |deadline: &mut PollDeadline, at: Duration| {
        deadline.step(at, Some(Event::CallStarted));
        deadline.step(at, Some(Event::Refused));
        deadline.step(at, Some(Event::Failed));
    };
    refuse_call(&mut deadline, ms(2000));
    assert_eq!(deadline.call_timeout(), CALL_TIMEOUT);
    assert!(
        deadline.wake_at().is_some(),
        "the deadline still applies after one refusal"
    );
    refuse_call(&mut deadline, ms(3000));
    assert_eq!(
        (deadline.call_timeout(), deadline.wake_at()),
        (extended_timeout, None)
    );
    deadline.step(ms(4000), Some(Event::Moved));
    assert_eq!(
        deadline.call_timeout(),
        CALL_TIMEOUT,
        "no call was refused at the new address"
    );
    refuse_call(&mut deadline, ms(5000));
    refuse_call(&mut deadline, ms(6000));
    deadline.step(ms(7000), Some(Event::Answered));
    assert_eq!(
        deadline.call_timeout(),
        CALL_TIMEOUT,
        "discovery has responded"
    );
}
