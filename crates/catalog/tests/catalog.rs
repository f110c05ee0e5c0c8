//! Tests of the catalog: collisions of concurrent changes, undo, the order in which revisions are
//! applied, and its state after random sequences of changes compared with that of a simple model.

#![allow(clippy::too_many_lines)] // tables of cases

mod common;

use common::*;
use grebecleat_catalog::catalog::*;
use grebecleat_catalog::change::*;
use grebecleat_catalog::errors::*;
use grebecleat_catalog::records::*;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;

/// A revision that may lower a quota is stable only after every host has acknowledged it, so each such
/// revision must be marked.
#[test]
fn revisions_that_lower_limits_are_marked() {
    let mut catalog = sample_catalog();
    let first = vec![
        limited("capped", 20.0, 10.0, 40.0),
        limited("lower", 20.0, 8.0, 40.0),
        plan("free", 9.0),
    ];
    commit(&mut catalog, first).unwrap();
    commit(
        &mut catalog,
        vec![volume_on_hosts(5, "capped", &["h", "i"]), volume(6, "free")],
    )
    .unwrap();
    let cases = [
        (
            "a higher limit",
            vec![limited("capped", 30.0, 10.0, 40.0)],
            false,
        ),
        (
            "a lower limit",
            vec![limited("capped", 15.0, 10.0, 40.0)],
            false,
        ),
        (
            "a lower reservation",
            vec![limited("capped", 20.0, 9.0, 40.0)],
            true,
        ),
        (
            "a smaller burst",
            vec![limited("capped", 20.0, 10.0, 39.0)],
            true,
        ),
        ("the limit removed", vec![plan("capped", 1.0)], false),
        (
            "a limit where there was none",
            vec![limited("free", 30.0, 9.0, 40.0)],
            true,
        ),
        (
            "a plan without volumes",
            vec![limited("lower", 20.0, 1.0, 40.0)],
            false,
        ),
        (
            "a volume moved to a plan with lower limits",
            vec![volume_on_hosts(5, "lower", &["h", "i"])],
            true,
        ),
        (
            "a volume moved to a plan without a limit",
            vec![volume_on_hosts(5, "free", &["h", "i"])],
            false,
        ),
        (
            "a volume moved to a plan with a limit",
            vec![volume(6, "capped")],
            true,
        ),
        (
            "one more host",
            vec![volume_on_hosts(5, "capped", &["h", "i", "j"])],
            true,
        ),
        (
            "one host fewer",
            vec![volume_on_hosts(5, "capped", &["h"])],
            true,
        ),
        (
            "another host",
            vec![volume_on_hosts(5, "capped", &["h", "j"])],
            true,
        ),
        (
            "a new volume with a limit",
            vec![volume(7, "capped")],
            false,
        ),
        (
            "a new volume without a limit",
            vec![volume(7, "free")],
            false,
        ),
        ("a removed volume", vec![removal(5)], false),
        (
            "a new limited plan and a volume on it",
            vec![limited("x", 9.0, 1.0, 9.0), volume(6, "x")],
            true,
        ),
    ];
    commit(&mut catalog, vec![volume(8, "capped")]).unwrap();
    commit(&mut catalog, vec![removal(8)]).unwrap();
    let reused_number = (
        "a new volume with the number of a removed one",
        vec![volume(8, "capped")],
        true,
    );
    for (case, changes, lowers_limits) in cases.into_iter().chain([reused_number]) {
        let revision = catalog
            .propose(catalog.version(), context("c", case), changes)
            .unwrap();
        assert_eq!(revision.lowers_limits, lowers_limits, "{case}");
    }
}

#[test]
fn a_reverted_revision_has_no_effect_and_changes_lead_from_one_state_to_another() {
    let mut catalog = sample_catalog();
    let before = catalog.clone();
    commit(
        &mut catalog,
        vec![
            volume(1, "priority"),
            removal(2),
            plan("x", 1.0),
            node(1, 1),
            drain(1),
        ],
    )
    .unwrap();
    let after = catalog.clone();
    assert!(catalog.revert_last().is_some());
    let state = |catalog: &Catalog| catalog.state().collect::<Vec<_>>();
    assert_eq!(
        (state(&catalog), catalog.version()),
        (state(&before), before.version())
    );
    for (from, to) in [(&before, &after), (&after, &before)] {
        let mut catalog = from.clone();
        commit(&mut catalog, from.changes_towards(to)).unwrap();
        assert_eq!(state(&catalog), state(to));
        assert!(catalog.changes_towards(to).is_empty());
    }
}

/// Two operators propose changes to the same base version. The second change is committed if it is
/// independent of the first; otherwise it is rejected with the subject and the revision it collides with.
#[test]
fn of_two_concurrent_changes_the_second_is_rejected_if_they_collide() {
    let cases: [(Vec<Change>, Vec<Change>, Option<&str>); 6] = [
        (
            vec![volume(1, "priority")],
            vec![volume(1, "basic"), plan("x", 1.0)],
            Some("volume 1"),
        ),
        (
            vec![volume(1, "priority")],
            vec![volume(2, "priority")],
            None,
        ),
        (vec![plan("basic", 5.0)], vec![volume(1, "priority")], None),
        (
            vec![plan("priority", 5.0)],
            vec![volume(1, "priority")],
            Some("plan priority"),
        ),
        (
            vec![removal(1)],
            vec![volume(1, "priority")],
            Some("volume 1"),
        ),
        // A plan is removed while another operator assigns a volume to it: the later change is rejected.
        (
            vec![no_plan("priority")],
            vec![volume(1, "priority")],
            Some("plan priority"),
        ),
    ];
    for (first, second, collides) in cases {
        let mut catalog = sample_catalog();
        let base_version = catalog.version();
        commit(&mut catalog, first.clone()).unwrap();
        let first_version = catalog.version();
        let second = catalog.propose(base_version, context("other", "at once"), second.clone());
        match (collides, second) {
            (None, Ok(revision)) => assert_eq!(revision.version.0, first_version.0 + 1),
            (
                Some(subject),
                Err(ChangeError::Collision {
                    subject: found,
                    with: found_with,
                    ..
                }),
            ) => {
                assert_eq!(
                    (found.to_string().as_str(), found_with),
                    (subject, first_version)
                );
            }
            (expected, got) => panic!("{first:?}: expected {expected:?}, found {got:?}"),
        }
    }
    let mut catalog = sample_catalog();
    commit(&mut catalog, vec![volume(1, "priority")]).unwrap();
    let removal = catalog.propose(Version(1), context("other", ""), vec![no_plan("priority")]);
    assert_eq!(
        removal.unwrap_err().to_string(),
        "plan priority is in use by volume 1"
    );
}

#[test]
fn an_undo_is_a_new_change_and_collides_like_one() {
    let mut catalog = sample_catalog();
    let moved = commit(
        &mut catalog,
        vec![volume(1, "priority"), removal(2), plan("gold", 1.0)],
    )
    .unwrap();
    commit(&mut catalog, vec![volume(7, "basic")]).unwrap();
    let undo = catalog
        .undo(moved, context("operator", "was wrong"))
        .unwrap();
    catalog.apply(undo.clone()).unwrap();
    assert_eq!(
        (
            catalog.volume(1).unwrap().plan.to_string(),
            catalog.volume(2).is_some(),
            catalog.plan("gold")
        ),
        ("basic".to_string(), true, None)
    );
    assert_eq!(
        catalog
            .undo(moved, context("operator", ""))
            .unwrap_err()
            .to_string()[..9],
        *"plan gold"
    );
    // The undo is itself a revision and can be undone.
    let redo = catalog
        .undo(undo.version, context("operator", "was right"))
        .unwrap();
    catalog.apply(redo).unwrap();
    assert_eq!(
        (
            catalog.volume(1).unwrap().plan.to_string(),
            catalog.volume(2).is_some()
        ),
        ("priority".to_string(), false)
    );
}

/// A feed may deliver revisions late, repeatedly or, after a reset, from the start. Each revision is
/// applied once and in order, or rejected as older or as following a gap.
#[test]
fn revisions_are_applied_once_and_in_order() {
    let mut leader = sample_catalog();
    let mut revisions: Vec<Revision> = leader.audit_log().cloned().collect();
    for n in 0..40 {
        commit(&mut leader, vec![volume(100 + n, "basic")]).unwrap();
        revisions.push(leader.audit_log().last().unwrap().clone());
    }
    for seed in 0..50 {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut host = empty_catalog(5);
        while host.version() < leader.version() {
            let at = rng.random_range(0..revisions.len());
            let before = host.version();
            match host.apply(revisions[at].clone()) {
                Ok(()) => assert_eq!(host.version().0, before.0 + 1),
                Err(OutOfOrder::Older) => assert!(revisions[at].version <= before),
                Err(OutOfOrder::Gap { expected }) => assert!(expected < revisions[at].version),
            }
        }
        assert_eq!(
            (host.volume(139), host.audit_log().count()),
            (leader.volume(139), 5)
        );
    }
}

#[test]
fn a_change_based_on_a_version_older_than_the_audit_log_is_rejected() {
    let mut catalog = empty_catalog(3);
    commit(&mut catalog, vec![plan("basic", 1.0)]).unwrap();
    for n in 0..5 {
        commit(&mut catalog, vec![volume(n, "basic")]).unwrap();
    }
    let propose =
        |at: u64| catalog.propose(Version(at), context("c", ""), vec![volume(50, "basic")]);
    assert_eq!(propose(2), Err(ChangeError::TooOld { oldest: Version(4) }));
    assert!(propose(3).is_ok());
}

/// Compares random sequences of changes with a simple model. A committed change takes effect completely
/// and a rejected one not at all, every volume has a plan that exists, and undoing all changes from the
/// last to the first restores the initial state.
#[test]
fn any_sequence_of_changes_matches_a_simple_model() {
    for seed in 0..200 {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let (mut catalog, mut committed) = (empty_catalog(1000), Vec::new());
        let (mut plans, mut volumes) = (
            BTreeMap::<String, f64>::new(),
            BTreeMap::<u64, String>::new(),
        );
        for _ in 0..120 {
            let changes: Vec<Change> = (0..rng.random_range(1..4))
                .map(|_| {
                    let (name, id) = (
                        format!("p{}", rng.random_range(0..4)),
                        rng.random_range(0..6),
                    );
                    match rng.random_range(0..5) {
                        0 => no_plan(&name),
                        1 => plan(&name, f64::from(rng.random_range(0..5))),
                        2 => removal(id),
                        _ => volume(id, &name),
                    }
                })
                .collect();
            let before = catalog.clone();
            match commit(&mut catalog, changes.clone()) {
                Err(_) => assert_eq!(catalog, before),
                Ok(version) => {
                    committed.push(version);
                    for change in changes {
                        match change {
                            Change::Plan { name, to: Some(p) } => {
                                _ = plans.insert(name.to_string(), p.reservation)
                            }
                            Change::Plan { name, to: None } => drop(plans.remove(&*name)),
                            Change::Volume { id, to: Some(v) } => {
                                drop(volumes.insert(id, v.plan.to_string()))
                            }
                            Change::Volume { id, to: None } => drop(volumes.remove(&id)),
                            _ => unreachable!("only changes of plans and volumes are generated"),
                        }
                    }
                }
            }
            assert!(
                volumes.values().all(|p| plans.contains_key(p)),
                "seed {seed}"
            );
            (0..6).for_each(|id| {
                assert_eq!(
                    catalog.volume(id).map(|v| v.plan.to_string()),
                    volumes.get(&id).cloned()
                )
            });
            (0..4).for_each(|n| {
                let name = format!("p{n}");
                assert_eq!(
                    catalog.plan(&name).map(|p| p.reservation),
                    plans.get(&name).copied()
                );
            });
        }
        while let Some(version) = committed.pop() {
            let previous = catalog
                .audit_log()
                .find(|e| e.version == version)
                .expect("the audit log holds all revisions")
                .before
                .clone();
            let undo = catalog
                .propose(catalog.version(), context("c", "back"), previous)
                .expect("the previous state is valid");
            catalog.apply(undo).unwrap();
        }
        assert!(
            (0..6).all(|id| catalog.volume(id).is_none())
                && (0..4).all(|n| catalog.plan(&format!("p{n}")).is_none())
        );
    }
}
