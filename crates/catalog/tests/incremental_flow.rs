//! Checks that the incremental flow gives the same results as the planner, which computes each result
//! from scratch.

#![allow(clippy::too_many_lines)] // tables of cases

use grebecleat_catalog::incremental_flow::IncrementalFlow;
use grebecleat_catalog::planner::{check, Node, Site, Volume};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeSet;

fn volume(rng: &mut Pcg64Mcg, id: u64, nodes: u32) -> Volume {
    let placement: BTreeSet<u32> = (0..rng.random_range(1..5))
        .map(|_| rng.random_range(0..nodes))
        .collect();
    let fraction = 1.0 / placement.len() as f64;
    let placement = placement.into_iter().map(|node| (node, fraction)).collect();
    Volume {
        id,
        reservation: f64::from(rng.random_range(0..12)),
        weight: 1.0,
        placement,
    }
}

#[test]
fn the_shortfall_equals_the_planners_after_any_changes() {
    let (mut with_shortfall, mut examined) = (0, 0);
    for seed in 0..400 {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let nodes = rng.random_range(2..7u32);
        let node = |rng: &mut Pcg64Mcg, id| Node {
            id,
            zone: id / 2,
            capacity: f64::from(rng.random_range(0..25)),
        };
        let mut site = Site {
            nodes: (0..nodes).map(|id| node(&mut rng, id)).collect(),
            volumes: (0..10).map(|id| volume(&mut rng, id, nodes)).collect(),
            spread: [1.0, 1.5, 3.0][seed as usize % 3],
        };
        let (mut flow, mut down) = (IncrementalFlow::of(&site), BTreeSet::new());
        for _ in 0..30 {
            match rng.random_range(0..10) {
                0 => {
                    let id = rng.random_range(0..nodes);
                    let changed = node(&mut rng, id);
                    site.nodes[changed.id as usize] = changed.clone();
                    flow.set_node(changed);
                }
                1 => {
                    let id = rng.random_range(0..nodes);
                    let up = down.remove(&id) || !down.insert(id);
                    flow.set_up(id, up);
                }
                2..4 => {
                    let id = rng.random_range(0..12);
                    site.volumes.retain(|volume| volume.id != id);
                    flow.set_volume(id, None);
                }
                _ => {
                    let id = rng.random_range(0..12);
                    let changed = volume(&mut rng, id, nodes);
                    site.volumes.retain(|volume| volume.id != changed.id);
                    site.volumes.push(changed.clone());
                    flow.set_volume(changed.id, Some(changed));
                }
            }
            let one_node = BTreeSet::from([rng.random_range(0..nodes)]);
            let two_nodes =
                BTreeSet::from([rng.random_range(0..nodes), rng.random_range(0..nodes)]);
            for out in [BTreeSet::new(), one_node, two_nodes] {
                let shortfall = if out.is_empty() {
                    flow.shortfall()
                } else {
                    flow.without(&out)
                };
                let excluded = &out | &down;
                let expected = check(&site, &excluded);
                let context = format!(
                    "seed {seed}, without {excluded:?}: found {shortfall:?}, expected {expected:?}"
                );
                assert!(
                    (shortfall.short - (expected.reachable - expected.carried)).abs() < 0.02,
                    "{context}"
                );
                assert!(
                    (shortfall.out_of_reach - expected.out_of_reach).abs() < 0.02,
                    "{context}"
                );
                (with_shortfall, examined) =
                    (with_shortfall + u32::from(!expected.holds()), examined + 1);
            }
        }
    }
    assert!(
        with_shortfall > examined / 10 && with_shortfall < examined * 9 / 10,
        "{with_shortfall} of {examined} checks had a shortfall; expected 10% to 90%"
    );
}

#[test]
fn a_new_node_carries_unmet_reservations() {
    let mut site = Site {
        nodes: vec![],
        volumes: vec![],
        spread: 1.0,
    };
    site.nodes.push(Node {
        id: 1,
        zone: 1,
        capacity: 50.0,
    });
    site.volumes.push(Volume {
        id: 1,
        reservation: 80.0,
        weight: 1.0,
        placement: vec![(1, 0.5), (2, 0.5)],
    });
    let mut flow = IncrementalFlow::of(&site);
    // The incremental flow rounds the maximum load on each node up by a thousandth, so exact results are
    // compared after rounding.
    let shortfall = |flow: &IncrementalFlow| {
        (
            flow.shortfall().short.round(),
            flow.shortfall().out_of_reach.round(),
        )
    };
    assert_eq!(
        shortfall(&flow),
        (0.0, 40.0),
        "half of the load is out of reach while node 2 is unknown"
    );
    flow.set_node(Node {
        id: 2,
        zone: 1,
        capacity: 30.0,
    });
    assert_eq!(shortfall(&flow), (10.0, 0.0));
    flow.set_up(2, false);
    assert_eq!(shortfall(&flow), (0.0, 40.0));
    flow.set_up(2, true);
    flow.set_node(Node {
        id: 2,
        zone: 1,
        capacity: 40.0,
    });
    assert_eq!(shortfall(&flow), (0.0, 0.0));
}
