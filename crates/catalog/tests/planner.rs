//! Compares the planner with brute force and with a greedy placement on small random sites.

#![allow(clippy::too_many_lines)] // tables of cases

use grebecleat_catalog::planner::*;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeSet;

fn random_site(rng: &mut Pcg64Mcg) -> Site {
    let nodes = rng.random_range(1..5u32);
    let node = |id| (id, f64::from(rng.random_range(0..12)));
    let nodes: Vec<Node> = (0..nodes)
        .map(node)
        .map(|(id, capacity)| Node {
            id,
            zone: id / 2,
            capacity,
        })
        .collect();
    let volume = |id| {
        let mut placement: BTreeSet<u32> = (0..rng.random_range(1..4))
            .map(|_| rng.random_range(0..nodes.len() as u32))
            .collect();
        placement.insert(rng.random_range(0..nodes.len() as u32));
        let part = 1.0 / placement.len() as f64;
        let placement = placement.into_iter().map(|n| (n, part)).collect();
        let (reservation, weight) = (
            f64::from(rng.random_range(0..9)),
            f64::from(rng.random_range(1..4)),
        );
        Volume {
            id,
            reservation,
            weight,
            placement,
        }
    };
    let volumes = (0..8u64).map(volume).collect();
    // This spread lets any one node of a volume carry all of its load.
    Site {
        nodes,
        volumes,
        spread: 100.0,
    }
}

/// The maximum load that the nodes can carry, as the minimum over all cuts (max-flow min-cut theorem). A
/// cut is a set of nodes; its value is their capacity plus the reservations of the volumes that also have
/// nodes outside of the set.
fn max_load_by_brute_force(site: &Site, reservations: &[f64]) -> f64 {
    let cut = |side: u32| {
        let is_inside = |n: u32| side & 1 << n != 0;
        let nodes: f64 = site
            .nodes
            .iter()
            .filter(|n| is_inside(n.id))
            .map(|n| n.capacity)
            .sum();
        let beyond = |volume: &Volume| !volume.placement.iter().all(|h| is_inside(h.0));
        let volumes = site
            .volumes
            .iter()
            .zip(reservations)
            .filter(|(volume, _)| beyond(volume))
            .map(|(_, r)| r)
            .sum::<f64>();
        nodes + volumes
    };
    (0..1 << site.nodes.len())
        .map(cut)
        .fold(f64::INFINITY, f64::min)
}

/// The load carried when each volume in turn is placed on its nodes with the most spare capacity.
fn max_load_by_greedy_placement(site: &Site) -> f64 {
    let mut spare: Vec<f64> = site.nodes.iter().map(|n| n.capacity).collect();
    let mut carried = 0.0;
    for volume in &site.volumes {
        let mut unplaced = volume.reservation;
        let mut placement: Vec<usize> = volume.placement.iter().map(|h| h.0 as usize).collect();
        placement.sort_by(|a, b| spare[*b].total_cmp(&spare[*a]));
        for n in placement {
            let placed = unplaced.min(spare[n]);
            (unplaced, spare[n], carried) =
                (unplaced - placed, spare[n] - placed, carried + placed);
        }
    }
    carried
}

#[test]
fn the_planner_agrees_with_brute_force_and_reduces_the_lowest_weights_first() {
    let (mut infeasible, mut greedy_wrong) = (0, 0);
    for seed in 0..3000 {
        let site = random_site(&mut Pcg64Mcg::seed_from_u64(seed));
        let verdict = check(&site, &BTreeSet::new());
        let reservations: Vec<f64> = site
            .volumes
            .iter()
            .map(|volume| volume.reservation)
            .collect();
        let max_load = max_load_by_brute_force(&site, &reservations);
        assert!(
            (verdict.carried - max_load).abs() < 1e-6,
            "seed {seed}: {} of {max_load}",
            verdict.carried
        );
        assert_eq!(
            verdict.holds(),
            (verdict.reachable - max_load).abs() < 0.02,
            "seed {seed}"
        );
        greedy_wrong += u32::from((max_load_by_greedy_placement(&site) - max_load).abs() > 1e-6);
        if verdict.holds() {
            continue;
        }
        infeasible += 1;
        // The unmet reservations add up to the whole shortfall, and the rest can be carried without them.
        let unmet: f64 = verdict.short.iter().map(|entry| entry.1).sum();
        assert!(
            (unmet - (verdict.reachable - max_load)).abs() < 1e-6,
            "seed {seed}"
        );
        let met = |volume: &Volume| {
            volume.reservation
                - verdict
                    .short
                    .iter()
                    .find(|entry| entry.0 == volume.id)
                    .map_or(0.0, |entry| entry.1)
        };
        let after: Vec<f64> = site.volumes.iter().map(met).collect();
        assert!(
            (max_load_by_brute_force(&site, &after) - after.iter().sum::<f64>()).abs() < 1e-6,
            "seed {seed}"
        );
        // A volume is reduced only if it could not have more even with nothing left to all volumes of lower
        // weight.
        for (id, by) in &verdict.short {
            let reduced = site.volumes.iter().find(|volume| volume.id == *id).unwrap();
            let is_at_least_as_heavy = |other: &Volume| {
                (other.weight, std::cmp::Reverse(other.id))
                    >= (reduced.weight, std::cmp::Reverse(reduced.id))
            };
            let without_lighter: Vec<f64> = site
                .volumes
                .iter()
                .zip(&after)
                .map(|(volume, r)| {
                    if is_at_least_as_heavy(volume) {
                        *r
                    } else {
                        0.0
                    }
                })
                .collect();
            let more: Vec<f64> = site
                .volumes
                .iter()
                .zip(&without_lighter)
                .map(|(volume, r)| if volume.id == *id { r + by } else { *r })
                .collect();
            assert!(
                (max_load_by_brute_force(&site, &more) - without_lighter.iter().sum::<f64>()).abs()
                    < 1e-6,
                "seed {seed}: {id}"
            );
        }
    }
    println!(
        "of 3000 sites, {infeasible} cannot meet all reservations; \
         the greedy placement is wrong on {greedy_wrong}"
    );
    assert!(
        infeasible > 500 && greedy_wrong > 30,
        "of 3000 sites, {infeasible} cannot meet all reservations (expected more than 500); \
         the greedy placement is wrong on {greedy_wrong} (expected more than 30)"
    );
}

/// With a bounded spread, the unmet reservations, found volume by volume, add up to the shortfall that the
/// flow over all volumes at once has.
#[test]
fn unmet_reservations_add_up_to_the_shortfall_at_any_spread() {
    let mut infeasible = 0;
    for seed in 0..6000 {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let site = Site {
            spread: [1.0, 1.25, 1.5, 2.0][seed as usize % 4],
            ..random_site(&mut rng)
        };
        let verdict = check(&site, &BTreeSet::new());
        let unmet: f64 = verdict.short.iter().map(|entry| entry.1).sum();
        infeasible += u32::from(!verdict.holds());
        assert!(
            (unmet - (verdict.reachable - verdict.carried)).abs() < 0.02,
            "seed {seed}: unmet reservations add up to {unmet}, but the planner found {verdict:?}"
        );
    }
    assert!(
        infeasible > 1000,
        "only {infeasible} of 6000 sites cannot meet all reservations"
    );
}

#[test]
fn a_survey_reports_each_node_and_each_zone_out() {
    let node = |id, zone| Node {
        id,
        zone,
        capacity: 100.0,
    };
    let volume = |id, placement: &[u32]| {
        let part = 1.0 / placement.len() as f64;
        Volume {
            id,
            reservation: 80.0,
            weight: id as f64,
            placement: placement.iter().map(|n| (*n, part)).collect(),
        }
    };
    let site = Site {
        nodes: vec![node(1, 1), node(2, 1), node(3, 2)],
        volumes: vec![volume(1, &[1, 3]), volume(2, &[2, 3]), volume(3, &[3])],
        spread: 1.0,
    };
    let found: Vec<(Outage, f64, f64, bool)> = check_all_outages(&site)
        .into_iter()
        .map(|(out, verdict)| {
            (
                out,
                verdict.reachable,
                verdict.out_of_reach,
                verdict.holds(),
            )
        })
        .collect();
    // At spread 1 each volume loads its nodes in proportion to its extents there, so node 3 gets loads of
    // 40, 40 and 80.
    let expected = [
        (Outage::Nothing, 240.0, 0.0, false),
        (Outage::Node(1), 200.0, 40.0, false),
        (Outage::Node(2), 200.0, 40.0, false),
        (Outage::Node(3), 80.0, 160.0, true),
        (Outage::Zone(1), 160.0, 80.0, false),
        (Outage::Zone(2), 80.0, 160.0, true),
    ];
    assert_eq!(found, expected);
    let uneven_spread = Site {
        spread: 2.0,
        ..site
    };
    assert!(
        check(&uneven_spread, &BTreeSet::new()).holds(),
        "the first two volumes may put all of their load on nodes 1 and 2"
    );
}
