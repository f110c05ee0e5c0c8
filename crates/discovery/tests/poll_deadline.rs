//! Three calls in a row begin within the term, whatever the calls themselves take and however long
//! the scheduler would wait; failures that come fast are left to the scheduler's backoff.

use grebecleat_discovery::poll_deadline::{Action, Event, PollDeadline};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::time::Duration;

const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

const TERM: Duration = ms(6000);
const CALL: Duration = ms(1000);
/// The longest time of a silent watch.
const WATCH: Duration = ms(3050);
/// The longest backoff of the scheduler.
const BACKOFF: Duration = ms(2250);

/// Failed calls after the last response, and when the next call begins if nobody else calls.
struct Case {
    name: &'static str,
    /// Beginning and end of each call.
    failures: &'static [(u64, u64)],
    /// Earliest and latest beginning of the next call.
    next_call: (u64, u64),
}

const CASES: [Case; 5] = [
    Case {
        name: "a watch fell silent",
        failures: &[(0, 3050)],
        next_call: (3200, 3550),
    },
    Case {
        name: "and the next was refused late",
        failures: &[(0, 3050), (3550, 4550)],
        next_call: (4550, 4900),
    },
    Case {
        name: "and the next was refused at once",
        failures: &[(0, 3050), (3550, 3551)],
        next_call: (4550, 4900),
    },
    Case {
        name: "refused at once, twice",
        failures: &[(2000, 2001), (3500, 3501)],
        next_call: (6550, 6900),
    },
    Case {
        name: "never answered, late already",
        failures: &[(0, 1000), (3600, 4600), (5000, 9000)],
        next_call: (9000, 9000),
    },
];

#[test]
fn a_call_begins_by_the_latest_time_that_leaves_time_for_one_more() {
    for case in CASES {
        for seed in 0..20 {
            check_next_call(&case, seed);
        }
    }
}

fn check_next_call(case: &Case, seed: u64) {
    let name = case.name;
    let mut deadline = PollDeadline::new(TERM, CALL, seed);
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
        assert_eq!(due, Some(Action::Call), "{name}: at once");
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
fn any_three_calls_in_a_row_begin_within_the_term_less_one_response() {
    for seed in 0..2000 {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut deadline = PollDeadline::new(TERM, CALL, seed);
        let mut now = ms(100_000);
        let mut begun = vec![now];
        deadline.step(now, Some(Event::Answered));
        for call in 0..12 {
            let longest = if call == 0 { WATCH } else { CALL };
            let took = [ms(1), longest, longest.mul_f64(rng.random())][rng.random_range(0..3)];
            now += took;
            deadline.step(now, Some(Event::Failed));
            let backoff = BACKOFF.mul_f64(rng.random());
            // The scheduler calls, or the deadline does.
            now = (now + backoff).min(deadline.wake_at().unwrap_or(Duration::MAX).max(now));
            begun.push(now);
            deadline.step(now, Some(Event::CallStarted));
        }
        let spans = begun.windows(3).map(|calls| calls[2] - calls[0]);
        let longest = spans.max().expect("there are twelve");
        assert!(longest + CALL < TERM, "seed {seed}: {longest:?}");
    }
}

/// Two backoffs of the scheduler after fast failures fit into the term, so the deadline does not
/// call.
#[test]
fn failures_that_come_fast_are_left_to_the_backoff() {
    for seed in 0..200 {
        let mut deadline = PollDeadline::new(TERM, CALL, seed);
        let mut now = ms(100_000);
        deadline.step(now, Some(Event::CallStarted));
        for _ in 0..20 {
            now += ms(2);
            deadline.step(now, Some(Event::Failed));
            now += BACKOFF;
            assert_eq!(deadline.step(now, None), None, "seed {seed}");
            deadline.step(now, Some(Event::CallStarted));
        }
    }
}

/// A crowded discovery needs fewer calls, and time to respond to the queued ones.
#[test]
fn after_repeated_refusals_the_backoff_applies_and_calls_get_more_time() {
    let mut deadline = PollDeadline::new(TERM, CALL, 1);
    let patient = ms(3000);
    assert_eq!(deadline.call_timeout(), patient, "no response yet");
    deadline.step(ms(0), Some(Event::Answered));
    let refused = |deadline: &mut PollDeadline, at: Duration| {
        deadline.step(at, Some(Event::CallStarted));
        deadline.step(at, Some(Event::Refused));
        deadline.step(at, Some(Event::Failed));
    };
    refused(&mut deadline, ms(2000));
    assert_eq!(deadline.call_timeout(), CALL);
    assert!(
        deadline.wake_at().is_some(),
        "the term holds after one refusal"
    );
    refused(&mut deadline, ms(3000));
    assert_eq!(
        (deadline.call_timeout(), deadline.wake_at()),
        (patient, None)
    );
    deadline.step(ms(4000), Some(Event::Moved));
    assert_eq!(
        deadline.call_timeout(),
        CALL,
        "the new address has not refused"
    );
    refused(&mut deadline, ms(5000));
    refused(&mut deadline, ms(6000));
    deadline.step(ms(7000), Some(Event::Answered));
    assert_eq!(deadline.call_timeout(), CALL, "discovery has responded");
}
