//! All that can happen to drains of two nodes of one zone, explored: two operators, one of whom may
//! have an older base version; hosts that follow, persist and acknowledge in separate steps;
//! observations that arrive late; an endpoint list that lags; attempts that end in time or without
//! a response; hosts and a catalog service that end and restart; connections that break; nodes that
//! restart. In every state the invariants of `World::check` hold. From a sample of the states,
//! every draining node becomes drained once no further fault occurs. Models with a fault planted on
//! purpose must violate an invariant.
//!
//! Only the first node gets attempts: the nodes interact only in the drains that may coincide.

mod model;
mod successors;
mod world;

use model::{Fault, Model};

const SHORT: Model = Model {
    fault: Fault::None,
    hosts: 1,
    last_tick: 2,
    operator_changes: 1,
    failures: 1,
    attempts: 1,
    restarts: false,
};

/// Explores models in parallel. Returns the number of visited states and the violation of each.
fn explored(models: &[(&'static str, Model)]) -> Vec<(&'static str, usize, Option<String>)> {
    std::thread::scope(|scope| {
        let started: Vec<_> = models
            .iter()
            .map(|(name, model)| (*name, scope.spawn(move || model.explore())))
            .collect();
        let ended = started.into_iter().map(|(name, explorer)| {
            let (states, violation) = explorer.join().expect("an explorer");
            let outcome = match violation {
                Some(_) => ", and a violation",
                None => "",
            };
            println!("{name}: {states} states{outcome}");
            (name, states, violation)
        });
        ended.collect()
    })
}

fn assert_no_violation(models: &[(&'static str, Model)]) {
    for (name, _, violation) in explored(models) {
        assert_eq!(violation, None, "{name}");
    }
}

#[test]
fn no_state_violates_an_invariant() {
    let two_operators = Model {
        operator_changes: 2,
        last_tick: 3,
        failures: 0,
        ..SHORT
    };
    assert_no_violation(&[
        ("one change, one failure", SHORT),
        ("two operators, no failure", two_operators),
    ]);
}

/// The long forms: `cargo test --release -p grebecleat-membership --test explore -- --ignored
/// --nocapture`.
#[test]
#[ignore = "minutes; CI plays the short forms"]
fn no_state_violates_an_invariant_in_longer_runs() {
    let two_operators = Model {
        operator_changes: 2,
        last_tick: 3,
        ..SHORT
    };
    let node_restarts = Model {
        last_tick: 3,
        restarts: true,
        ..SHORT
    };
    let two_failures = Model {
        failures: 2,
        ..SHORT
    };
    let two_hosts = Model {
        hosts: 2,
        failures: 0,
        ..SHORT
    };
    assert_no_violation(&[
        ("two operators, one failure", two_operators),
        ("the node restarts", node_restarts),
        ("two failures", two_failures),
        ("two hosts, no failure", two_hosts),
    ]);
}

#[test]
fn planted_faults_are_found() {
    let planted = |fault| Model { fault, ..SHORT };
    let no_admission = Model {
        operator_changes: 2,
        ..planted(Fault::NoAdmission)
    };
    let models = [
        (
            "acknowledges before persisting",
            planted(Fault::AcknowledgesBeforePersisting),
        ),
        (
            "counts before following",
            planted(Fault::CountsBeforeFollowing),
        ),
        (
            "forgets unresolved attempts",
            planted(Fault::ForgetsUnresolvedAttempts),
        ),
        (
            "disconnect not reported",
            planted(Fault::DisconnectNotReported),
        ),
        (
            "restarts without waiting",
            planted(Fault::RestartsWithoutWaiting),
        ),
        ("no admission", no_admission),
        ("sends despite the drain", planted(Fault::SendsDespiteDrain)),
    ];
    for (name, states, violation) in explored(&models) {
        assert!(violation.is_some(), "{name}: {states} states");
    }
}
