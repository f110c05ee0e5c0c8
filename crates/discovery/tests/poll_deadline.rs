//! Between the beginnings of three calls in a row lies less than the term, whatever the calls
//! themselves take and however long the decisions would wait; and failures that come fast are left
//! to the decisions.

use grebecleat_discovery::poll_deadline::{Action, Event, PollDeadline};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::time::Duration;

const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

const TERM: Duration = ms(6000);
const CALL: Duration = ms(1000);
/// A watch, and the longest that the decisions wait.
const WATCH: Duration = ms(3050);
const WAIT: Duration = ms(2250);

/// What failures of given spans are followed by, when nobody else calls: by when the next call was
/// made.
#[test]
fn a_call_is_made_by_the_latest_time_that_leaves_room_for_one_more() {
    // Failures after the last word, each with its beginning and end; from when to when the next
    // call is made.
    type Case = (&'static str, &'static [(u64, u64)], (u64, u64));
    let cases: [Case; 5] = [
        ("a watch fell silent", &[(0, 3050)], (3200, 3550)),
        (
            "and the next was refused late",
            &[(0, 3050), (3550, 4550)],
            (4550, 4900),
        ),
        (
            "and the next was refused at once",
            &[(0, 3050), (3550, 3551)],
            (4550, 4900),
        ),
        (
            "refused at once, twice",
            &[(2000, 2001), (3500, 3501)],
            (6550, 6900),
        ),
        (
            "never answered, late already",
            &[(0, 1000), (3600, 4600), (5000, 9000)],
            (9000, 9000),
        ),
    ];
    for (what, failures, (first, last)) in cases {
        for seed in 0..20 {
            let (mut r, mut due) = (PollDeadline::new(TERM, CALL, seed), None);
            r.step(ms(0), Some(Event::Answered));
            for (n, (begun, ended)) in failures.iter().enumerate() {
                if n > 0 || *begun > 0 {
                    r.step(ms(*begun), Some(Event::CallStarted));
                }
                assert_eq!(r.wake_at(), None, "{what}: a call is out");
                due = r.step(ms(*ended), Some(Event::Failed));
            }
            if ms(last) == ms(failures[failures.len() - 1].1) {
                assert_eq!(due, Some(Action::Call), "{what}: at once");
                continue;
            }
            let at = r.wake_at().expect(what);
            assert!((ms(first)..=ms(last)).contains(&at), "{what}: {at:?}");
            assert_eq!(r.step(at - ms(1).min(at), None), None, "{what}");
            assert_eq!(
                (r.step(at, None), r.wake_at()),
                (Some(Action::Call), None),
                "{what}"
            );
        }
    }
}

#[test]
fn any_three_calls_in_a_row_are_begun_within_the_term_less_one_answer() {
    for seed in 0..2000 {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut r = PollDeadline::new(TERM, CALL, seed);
        let (mut now, mut begun) = (ms(100_000), vec![ms(100_000)]);
        r.step(now, Some(Event::Answered));
        for n in 0..12 {
            let longest = if n == 0 { WATCH } else { CALL };
            let took = [ms(1), longest, longest.mul_f64(rng.random())][rng.random_range(0..3)];
            now += took;
            r.step(now, Some(Event::Failed));
            let wait = WAIT.mul_f64(rng.random());
            // The decisions, or what calls for them.
            now = (now + wait).min(r.wake_at().unwrap_or(Duration::MAX).max(now));
            begun.push(now);
            r.step(now, Some(Event::CallStarted));
        }
        let spans = begun.windows(3).map(|b| b[2] - b[0]);
        let longest = spans.max().expect("there are twelve");
        assert!(longest + CALL < TERM, "seed {seed}: {longest:?}");
    }
}

/// Two waits of the decisions after fast failures fit, so nothing is called for them.
#[test]
fn failures_that_come_fast_are_left_to_the_decisions() {
    for seed in 0..200 {
        let mut r = PollDeadline::new(TERM, CALL, seed);
        let mut now = ms(100_000);
        r.step(now, Some(Event::CallStarted));
        for _ in 0..20 {
            now += ms(2);
            r.step(now, Some(Event::Failed));
            now += WAIT;
            assert_eq!(r.step(now, None), None, "seed {seed}");
            r.step(now, Some(Event::CallStarted));
        }
    }
}

/// What a crowded discovery needs is fewer calls, and time to answer those that wait.
#[test]
fn a_discovery_that_refuses_again_is_left_to_the_decisions_and_given_time() {
    let mut r = PollDeadline::new(TERM, CALL, 1);
    let patient = ms(3000);
    assert_eq!(r.call_timeout(), patient, "it has not answered yet");
    r.step(ms(0), Some(Event::Answered));
    let refused = |r: &mut PollDeadline, at: Duration| {
        r.step(at, Some(Event::CallStarted));
        r.step(at, Some(Event::Refused));
        r.step(at, Some(Event::Failed));
    };
    refused(&mut r, ms(2000));
    assert_eq!(r.call_timeout(), CALL);
    assert!(r.wake_at().is_some(), "the term is kept after one refusal");
    refused(&mut r, ms(3000));
    assert_eq!((r.call_timeout(), r.wake_at()), (patient, None));
    r.step(ms(4000), Some(Event::Moved));
    assert_eq!(r.call_timeout(), CALL, "another one has not refused");
    refused(&mut r, ms(5000));
    refused(&mut r, ms(6000));
    r.step(ms(7000), Some(Event::Answered));
    assert_eq!(r.call_timeout(), CALL, "it has answered");
}
