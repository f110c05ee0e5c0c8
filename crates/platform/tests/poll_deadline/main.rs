//! The time until every host knows a change of the endpoint list, and the number of calls for it:
//! fleets of the real `RequestRouter`, scheduler and `CallSequence`, on the test's clock, against a
//! discovery that goes down, falls silent, loses responses, and refuses calls that it cannot serve in
//! time. Each run has one seed, and is made without the router's poll deadline (`before`) and with it
//! (`after`).

mod discovery;
mod fleet;
mod scenarios;

use fleet::{Fleet, Outcome};
use grebecleat_platform::config::DISCOVERY_TERM;
use scenarios::{scenarios, Scenario, CALM};
use std::time::Duration;

const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Sums over all runs.
#[derive(Debug, Default)]
struct Totals {
    calls: usize,
    fruitless: usize,
    unexcused: usize,
}

impl Totals {
    fn add(&mut self, outcome: &Outcome) {
        self.calls += outcome.calls;
        self.fruitless += outcome.fruitless;
        self.unexcused += outcome.unexcused;
    }
}

fn check_run(run: &str, scenario: &Scenario, before: &Outcome, after: &Outcome) {
    assert_eq!(after.unexcused, 0, "{run}: {after:?}");
    // Calls without a response are the fleet's cost; each response causes the call that follows it.
    let most = before.fruitless + before.fruitless / 12;
    // Which responses are lost differs with each call.
    let drawn = scenario.lost > 0.0;
    assert!(
        drawn || after.fruitless <= most,
        "{run}: {} fruitless, {most}",
        after.fruitless
    );
    // No second is busier than before by more than one draw differs from another, or than the second
    // in which discovery sends an ordinary change to all hosts.
    let most = (before.busiest + before.busiest / 20).max(CALM.hosts * 3 / 2);
    assert!(
        after.busiest <= most,
        "{run}: {} calls in a second",
        after.busiest
    );
}

/// Whatever happens to the call that is outstanding when discovery has a change, and to the next
/// call, the host knows the change within the term. Without the poll deadline, it does not.
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
        total_after.fruitless <= total_before.fruitless + total_before.fruitless / 33,
        "fruitless calls: before {total_before:?}, after {total_after:?}"
    );
    assert!(
        slowest > DISCOVERY_TERM - ms(400),
        "it is not made as bad as it can be: {slowest:?}"
    );
    let unguarded = total_before.unexcused;
    assert!(unguarded > 100, "{unguarded} hosts too late without it");
}
