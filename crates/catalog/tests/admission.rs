//! Objections to changes, case by case, and that a verdict does not depend on the changes before.

#![allow(clippy::too_many_lines)] // tables of cases

use grebecleat_catalog::admission::{Admission, AdmissionVerdict, ExclusionReason, Reason};
use grebecleat_catalog::catalog::*;
use grebecleat_catalog::change::*;
use grebecleat_catalog::planner::{check, Out};
use grebecleat_catalog::records::*;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeSet;
use std::time::Duration;

const ALL: usize = 1000;

fn plan(name: &str, reservation: f64) -> Change {
    let to = Some(Plan {
        rate: 100.0,
        reservation,
        weight: 1.0,
        price: 1.0,
        ..Plan::default()
    });
    Change::Plan {
        name: name.into(),
        to,
    }
}

fn volume(id: u64, plan: &str, shards: &[u32]) -> Change {
    let (plan, hosts, shards) = (plan.into(), ["h".into()].into(), shards.into());
    Change::Volume {
        id,
        to: Some(Volume {
            plan,
            hosts,
            shards,
            blocks: 8,
        }),
    }
}

fn node(id: u32, zone: &str, capacity: f64) -> Change {
    Change::Node {
        id,
        to: Some(Node {
            zone: zone.into(),
            shard: id,
            capacity,
            ..Node::default()
        }),
    }
}

fn drain(node: u32, on: bool) -> Change {
    Change::Drain {
        node,
        to: on.then(Drain::default),
    }
}

fn stage(node: u32, stage: Stage) -> Change {
    Change::Drain {
        node,
        to: Some(Drain {
            stage,
            ..Drain::default()
        }),
    }
}

fn empty_catalog() -> Catalog {
    Catalog::new(
        Deployment {
            hosts: ["h".into()].into(),
            max_dispatch_delay: Duration::ZERO,
        },
        10,
    )
}

fn land(catalog: &mut Catalog, changes: Vec<Change>) {
    let revision = catalog
        .propose(catalog.version(), ChangeContext::default(), changes)
        .expect("in order");
    catalog.apply(revision).expect("the next");
}

/// Two zones of two nodes, each node of 100; four volumes, each on two nodes of different zones.
fn two_zones() -> Catalog {
    let mut catalog = empty_catalog();
    let nodes = [
        node(1, "a", 100.0),
        node(2, "a", 100.0),
        node(3, "b", 100.0),
        node(4, "b", 100.0),
    ];
    land(&mut catalog, nodes.into());
    land(
        &mut catalog,
        vec![
            plan("basic", 20.0),
            plan("gold", 80.0),
            plan("big", 85.0),
            plan("none", 0.0),
        ],
    );
    land(
        &mut catalog,
        vec![
            volume(1, "basic", &[1, 3]),
            volume(2, "basic", &[2, 4]),
            volume(3, "basic", &[1, 4]),
            volume(4, "basic", &[2, 3]),
        ],
    );
    catalog
}

fn verdict(
    catalog: &mut Catalog,
    admission: &mut Admission,
    changes: Vec<Change>,
) -> AdmissionVerdict {
    land(catalog, changes.clone());
    let found = admission.land(catalog, &changes, ALL);
    catalog.revert_last();
    admission.undo(catalog, &changes);
    found
}

#[test]
fn objections_and_warnings_to_a_change() {
    let mut catalog = two_zones();
    let mut admission = Admission::open(&catalog, 2.0);
    admission.refresh(ALL);
    let cases: [(&str, Vec<Change>, &[&str]); 9] = [
        ("nothing much", vec![volume(5, "basic", &[1, 2])], &[]),
        ("no reserve at all", vec![volume(5, "none", &[1])], &[]),
        ("a lower reserve", vec![plan("basic", 10.0)], &[]),
        (
            "more than its node can do",
            vec![volume(5, "gold", &[1]), volume(6, "gold", &[1])],
            &["against: 60.0 units a second of reserves cannot be met; what gives way: volume 6 by 60.0"],
        ),
        (
            "as much as holds, and no node to spare",
            vec![volume(5, "gold", &[1, 2]), volume(6, "gold", &[1, 2])],
            // With node 1 out, half of what lies on both must be carried by node 2, and the rest is
            // out of reach.
            &[],
        ),
        (
            "what holds with all there and not without",
            vec![volume(5, "big", &[1, 2, 3]), volume(6, "big", &[1, 2, 3]), volume(7, "big", &[1, 2, 3])],
            &[
                // Without node 4, volumes 1 to 4 lie on the three nodes of the large ones, which
                // ask for 255.
                "warns: with zone a out, 5.0 units a second of reserves could not be met",
                "warns: with zone b out, 10.0 units a second of reserves could not be met",
                "warns: with node 4 out, 15.0 units a second of reserves could not be met",
            ],
        ),
        (
            "a drain with room beside it",
            vec![drain(1, true)],
            &["against: 20.0 units a second of reserves lie out of reach"],
        ),
        (
            "a weaker node",
            vec![node(1, "a", 5.0), node(3, "b", 5.0)],
            &["against: 10.0 units a second of reserves cannot be met; what gives way: volume 1 by 10.0"],
        ),
        ("a new node", vec![node(9, "c", 50.0)], &[]),
    ];
    let before = admission.shortfall();
    for (what, changes, expected) in cases {
        let found = verdict(&mut catalog, &mut admission, changes);
        let objections = found.objections.iter().map(|r| format!("against: {r}"));
        let texts: Vec<String> = objections
            .chain(found.warnings.iter().map(|r| format!("warns: {r}")))
            .collect();
        assert_eq!(texts, expected, "{what}");
        assert!(!found.capacity_unknown && found.unexamined_losses == 0);
        assert_eq!(admission.shortfall(), before, "{what}: taken back");
    }
}

/// Drains while a zone is without other nodes; each case with what was so before it.
#[test]
fn objections_to_a_drain() {
    use Stage::*;
    let free = || vec![plan("basic", 0.0)];
    type Case = (
        &'static str,
        Vec<Change>,
        &'static [(u32, ExclusionReason)],
        Vec<Change>,
        &'static [&'static str],
    );
    let cases: [Case; 11] = [
        ("alone", free(), &[], vec![stage(1, Draining)], &[]),
        (
            "a second one of its zone",
            [free(), vec![stage(2, Draining)]].concat(),
            &[],
            vec![stage(1, Draining)],
            &["node 1 must not drain while in zone a node 2 drains"],
        ),
        ("beside one that waits", [free(), vec![stage(2, Queued)]].concat(), &[], vec![stage(1, Draining)], &[]),
        ("of another zone", [free(), vec![stage(3, Draining)]].concat(), &[], vec![stage(1, Draining)], &[]),
        ("waiting beside one", [free(), vec![stage(2, Draining)]].concat(), &[], vec![stage(1, Queued)], &[]),
        (
            "two at once",
            free(),
            &[],
            vec![stage(1, Draining), stage(2, Draining)],
            &[
                "node 1 must not drain while in zone a node 2 drains",
                "node 2 must not drain while in zone a node 1 drains",
            ],
        ),
        (
            "beside a cold one",
            free(),
            &[(2, ExclusionReason::Warming), (3, ExclusionReason::Removed)],
            vec![stage(1, Draining)],
            &["node 1 must not drain while in zone a node 2 has just started and is cold"],
        ),
        ("cold itself", free(), &[(1, ExclusionReason::Warming)], vec![stage(1, Draining)], &[]),
        (
            "reserved data there, and it would only wait",
            vec![],
            &[],
            vec![stage(1, Queued)],
            &["20.0 units a second of reserves lie out of reach"],
        ),
        (
            "out before it is empty",
            [free(), vec![stage(1, Draining)]].concat(),
            &[],
            vec![stage(1, Removed)],
            &["what was sent to node 1 may still be under way; it is empty when its drain says so"],
        ),
        (
            "out once it is",
            [free(), vec![stage(1, Draining)], vec![stage(1, Drained)]].concat(),
            &[(2, ExclusionReason::Warming)],
            vec![stage(1, Removed)],
            &[],
        ),
    ];
    for (what, before, unavailable, changes, expected) in cases {
        let mut catalog = two_zones();
        for c in before {
            land(&mut catalog, vec![c]);
        }
        let mut admission = Admission::open(&catalog, 2.0);
        unavailable
            .iter()
            .for_each(|(n, how)| admission.set_unavailable(*n, Some(*how)));
        let found = verdict(&mut catalog, &mut admission, changes);
        let texts: Vec<String> = found.objections.iter().map(|r| r.to_string()).collect();
        assert_eq!(texts, expected, "{what}");
    }
}

/// While a node of another zone is gone, what a drain leaves must carry its part as well.
#[test]
fn a_drain_is_rejected_that_a_node_gone_in_another_zone_leaves_no_capacity_for() {
    let mut catalog = empty_catalog();
    let nodes = [("a", 1), ("a", 2), ("b", 3), ("b", 4)].map(|(zone, id)| node(id, zone, 100.0));
    land(&mut catalog, nodes.into());
    land(&mut catalog, vec![plan("all", 240.0)]);
    // Spread so wide that any of its nodes may carry up to all of it.
    land(
        &mut catalog,
        vec![
            volume(1, "all", &[2, 3, 4]),
            plan("none", 0.0),
            volume(2, "none", &[1]),
        ],
    );
    let mut admission = Admission::open(&catalog, 5.0);
    assert_eq!(
        verdict(
            &mut catalog,
            &mut admission,
            vec![stage(1, Stage::Draining)]
        )
        .objections,
        []
    );
    admission.set_unavailable(3, Some(ExclusionReason::Removed));
    assert_eq!(
        verdict(
            &mut catalog,
            &mut admission,
            vec![stage(1, Stage::Draining)]
        )
        .objections,
        [],
        "it carried nothing"
    );
    land(&mut catalog, vec![volume(1, "all", &[1, 2, 3, 4])]);
    let mut admission = Admission::open(&catalog, 5.0);
    admission.set_unavailable(3, Some(ExclusionReason::Removed));
    let found = verdict(
        &mut catalog,
        &mut admission,
        vec![stage(1, Stage::Draining)],
    );
    assert!(!found.objections.is_empty(), "{found:?}");
    let texts = Reason::Meanwhile {
        gone: vec![3],
        by: 40.0,
    }
    .to_string();
    assert_eq!(
        texts,
        "while node 3 is gone, 40.0 units a second of reserves cannot be met"
    );
}

/// Reservations that were short before are no reason against mending them, or against unrelated
/// changes.
#[test]
fn a_change_that_makes_a_broken_site_no_worse_is_admitted() {
    let mut catalog = two_zones();
    land(
        &mut catalog,
        vec![
            volume(5, "gold", &[1]),
            volume(6, "gold", &[1]),
            volume(7, "gold", &[2]),
        ],
    );
    let mut admission = Admission::open(&catalog, 2.0);
    admission.refresh(ALL);
    assert!((admission.shortfall().short - 60.0).abs() < 0.1);
    assert_eq!(
        verdict(&mut catalog, &mut admission, vec![volume(6, "basic", &[1])]),
        AdmissionVerdict::default(),
        "better"
    );
    assert_eq!(
        verdict(&mut catalog, &mut admission, vec![volume(8, "none", &[3])]),
        AdmissionVerdict::default(),
        "no worse"
    );
    let worse = verdict(&mut catalog, &mut admission, vec![volume(8, "basic", &[1])]);
    assert!(
        matches!(worse.objections[..], [Reason::Short { .. }]),
        "{worse:?}"
    );
    // And what lands is the new measure.
    land(&mut catalog, vec![volume(8, "basic", &[1])]);
    admission.land(&catalog, &[volume(8, "basic", &[1])], ALL);
    assert!((admission.shortfall().short - 80.0).abs() < 0.1);
    assert_eq!(
        verdict(&mut catalog, &mut admission, vec![volume(8, "none", &[1])]),
        AdmissionVerdict::default()
    );
}

#[test]
fn without_capacities_nothing_is_judged_and_losses_near_the_change_are_examined_first() {
    let mut catalog = empty_catalog();
    land(&mut catalog, vec![node(1, "a", 0.0), plan("gold", 80.0)]);
    let mut admission = Admission::open(&catalog, 2.0);
    assert!(verdict(&mut catalog, &mut admission, vec![volume(1, "gold", &[1])]).capacity_unknown);
    let mut catalog = two_zones();
    let mut admission = Admission::open(&catalog, 2.0);
    admission.refresh(ALL);
    let changes = vec![
        volume(5, "big", &[3, 4, 2]),
        volume(6, "big", &[3, 4, 2]),
        volume(7, "big", &[3, 4, 2]),
    ];
    land(&mut catalog, changes.clone());
    let found = admission.land(&catalog, &changes, 5);
    let zones = |r: &Reason| {
        matches!(
            r,
            Reason::Without {
                out: Out::Zone(_),
                ..
            }
        )
    };
    // Node 1 shares nothing with them, and its loss, which would be a warning too, is examined
    // last.
    assert!(
        found.unexamined_losses == 1
            && found.warnings.len() == 2
            && found.warnings.iter().all(zones),
        "{found:?}"
    );
    assert_eq!((admission.refresh(0), admission.refresh(ALL)), (1, 0));
}

#[test]
fn the_shortfall_is_that_of_the_planner_after_any_changes() {
    for seed in 0..120 {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut catalog = two_zones();
        let mut admission = Admission::open(&catalog, 1.5);
        for _ in 0..40 {
            let shards: BTreeSet<u32> = (0..3).map(|_| rng.random_range(1..5)).collect();
            let shards: Vec<u32> = shards.into_iter().collect();
            let name = ["basic", "gold", "none"][rng.random_range(0..3)];
            let change = match rng.random_range(0..8) {
                0 => plan(name, f64::from(rng.random_range(0..90))),
                1 => node(
                    rng.random_range(1..5),
                    ["a", "b", "c"][rng.random_range(0..3)],
                    f64::from(rng.random_range(1..200)),
                ),
                2 => match rng.random_range(0..6) {
                    0 | 1 => drain(rng.random_range(1..5), false),
                    n => stage(rng.random_range(1..5), Stage::NAMES[n - 2].0),
                },
                3 => Change::Volume {
                    id: rng.random_range(1..9),
                    to: None,
                },
                _ => volume(rng.random_range(1..9), name, &shards),
            };
            let Ok(revision) = catalog.propose(
                catalog.version(),
                ChangeContext::default(),
                vec![change.clone()],
            ) else {
                continue;
            };
            catalog.apply(revision).unwrap();
            let found = admission.land(
                &catalog,
                std::slice::from_ref(&change),
                rng.random_range(0..9),
            );
            if !found.objections.is_empty() && rng.random_range(0..2) == 0 {
                catalog.revert_last();
                admission.undo(&catalog, &[change]);
            }
            let out = catalog
                .drains()
                .filter(|(_, d)| d.holds())
                .map(|(n, _)| n)
                .collect();
            let expected_feasibility = check(&admission.site(&catalog), &out);
            let shortfall = admission.shortfall();
            assert!(
                (shortfall.short - (expected_feasibility.reachable - expected_feasibility.carried))
                    .abs()
                    < 0.05,
                "seed {seed}: {shortfall:?} {expected_feasibility:?}"
            );
            assert!(
                (shortfall.out_of_reach - expected_feasibility.out_of_reach).abs() < 0.05,
                "seed {seed}: {shortfall:?} {expected_feasibility:?}"
            );
        }
    }
}
