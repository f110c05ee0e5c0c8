//! Measures the time until every host knows a change of the endpoint list, and the number of calls that
//! this takes. Fleets of the real `RequestRouter`, scheduler and `CallSequence` run on a simulated
//! clock, against a simulated discovery that goes down, stops responding, loses responses, and refuses
//! calls that it cannot serve in time. Each scenario runs with the same seed without the router's poll
//! deadline (`before`) and with it (`after`).

mod discovery;
mod fleet;
mod scenarios;

use fleet::{Fleet, Outcome};
use grebecleat_platform::config::MAX_LIST_STALENESS;
use scenarios::{scenarios, Scenario, BASELINE};
use std::time::Duration;

const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Sums over all runs.
#[derive(Debug, Default)]
struct Totals {
    calls: usize,
    unanswered: usize,
    unexpectedly_late: usize,
}

impl Totals {
    fn add(&mut self, outcome: &Outcome) {
        self.calls += outcome.calls;
        self.unanswered += outcome.unanswered;
        self.unexpectedly_late += outcome.unexpectedly_late;
    }
}

fn check_run(run: &str, scenario: &Scenario, before: &Outcome, after: &Outcome) {
    assert_eq!(after.unexpectedly_late, 0, "{run}: {after:?}");
    // Only calls without a response are compared, since each response causes the call after it.
    let max_unanswered = before.unanswered + before.unanswered / 12;
    // With random losses, which responses are lost depends on the number of calls.
    let is_random = scenario.lost > 0.0;
    assert!(
        is_random || after.unanswered <= max_unanswered,
        "{run}: {} calls without a response, expected at most {max_unanswered}",
        after.unanswered
    );
    // The busiest second has at most as many calls as without the deadline, plus 5% for random
    // variation, or as many as the second in which discovery sends an ordinary change to all hosts.
    let max_calls = (before.busiest + before.busiest / 20).max(BASELINE.hosts * 3 / 2);
    assert!(
        after.busiest <= max_calls,
        "{run}: {} calls in one second, expected at most {max_calls}",
        after.busiest
    );
}

/// If the call that is outstanding when discovery has a change is lost, and the next call fails in any
/// way, the host still knows the change within the term. Without the poll deadline, it does not.
#[test]
fn a_change_is_known_within_the_term_when_one_call_is_lost_and_the_next_one_fails() {
    let mut slowest = Duration::ZERO;
    let mut total_before = Totals::default();
    let mut total_after = Totals::default();
    for (name, scenario) in scenarios() {
        let seeds = if scenario.forced_failures.is_some() {
            3
        } else {
            1
        };
        for seed in 0..seeds {
            let run = format!("{name}, seed {seed}");
            let before = Fleet::run(&scenario, false, seed);
            let after = Fleet::run(&scenario, true, seed);
            println!("{run}\n   before {before:?}\n   after  {after:?}");
            check_run(&run, &scenario, &before, &after);
            total_before.add(&before);
            total_after.add(&after);
            if scenario.forced_failures == Some(1) {
                slowest = slowest.max(after.slowest);
            }
        }
    }
    println!("before {total_before:?}, after {total_after:?}, slowest {slowest:?}");
    assert!(
        total_after.unanswered <= total_before.unanswered + total_before.unanswered / 33,
        "calls without a response: before {total_before:?}, after {total_after:?}"
    );
    assert!(
        slowest > MAX_LIST_STALENESS - ms(400),
        "the scenarios do not reach the worst case: slowest {slowest:?}"
    );
    let late_without_deadline = total_before.unexpectedly_late;
    assert!(
        late_without_deadline > 100,
        "{late_without_deadline} hosts too late without the poll deadline, expected over 100"
    );
}
