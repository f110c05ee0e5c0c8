//! The incremental flow gives the same answers as the planner, which works them out anew.

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
    let part = 1.0 / placement.len() as f64;
    let placement = placement.into_iter().map(|n| (n, part)).collect();
    Volume {
        id,
        reservation: f64::from(rng.random_range(0..12)),
        weight: 1.0,
        placement,
    }
}

#[test]
fn the_shortfall_is_that_of_the_planner_after_any_changes() {
    let (mut short, mut examined) = (0, 0);
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
                    site.volumes.retain(|expected| expected.id != id);
                    flow.set_volume(id, None);
                }
                _ => {
                    let id = rng.random_range(0..12);
                    let expected = volume(&mut rng, id, nodes);
                    site.volumes.retain(|o| o.id != expected.id);
                    site.volumes.push(expected.clone());
                    flow.set_volume(expected.id, Some(expected));
                }
            }
            let one = BTreeSet::from([rng.random_range(0..nodes)]);
            let two = BTreeSet::from([rng.random_range(0..nodes), rng.random_range(0..nodes)]);
            for out in [BTreeSet::new(), one, two] {
                let shortfall = if out.is_empty() {
                    flow.shortfall()
                } else {
                    flow.without(&out)
                };
                let all = &out | &down;
                let expected = check(&site, &all);
                let context = format!("seed {seed}, out {all:?}: {shortfall:?}, {expected:?}");
                assert!(
                    (shortfall.short - (expected.reachable - expected.carried)).abs() < 0.02,
                    "{context}"
                );
                assert!(
                    (shortfall.out_of_reach - expected.out_of_reach).abs() < 0.02,
                    "{context}"
                );
                (short, examined) = (short + u32::from(!expected.holds()), examined + 1);
            }
        }
    }
    assert!(
        short > examined / 10 && short < examined * 9 / 10,
        "{short} of {examined} were short"
    );
}

#[test]
fn a_new_node_carries_what_was_missing() {
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
    // Each home's most is rounded up by a thousandth.
    let shortfall = |flow: &IncrementalFlow| {
        (
            flow.shortfall().short.round(),
            flow.shortfall().out_of_reach.round(),
        )
    };
    assert_eq!(shortfall(&flow), (0.0, 40.0), "nobody knows its other home");
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
