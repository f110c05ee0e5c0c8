//! Compares proposed moves of extents with brute force over every placement on small sites, and checks
//! a drain on a larger site.

#![allow(clippy::too_many_lines)] // tables of cases

use grebecleat_catalog::moves::{propose, Move, Size};
use grebecleat_catalog::planner::{check, Node, Site, Volume};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet};

const EXTENTS: u64 = 3;

fn random_site(rng: &mut Pcg64Mcg) -> (Site, Vec<[u64; 3]>) {
    let nodes: Vec<Node> = (0..3)
        .map(|id| Node {
            id,
            zone: id,
            capacity: f64::from(rng.random_range(4..16)),
        })
        .collect();
    let extents_by_volume: Vec<[u64; 3]> = (0..3)
        .map(|_| {
            let mut extents_on = [0; 3];
            (0..EXTENTS)
                .for_each(|_| extents_on[rng.random_range(0..3).min(rng.random_range(0..3))] += 1);
            extents_on
        })
        .collect();
    let reservation: Vec<f64> = (0..3).map(|_| f64::from(rng.random_range(1..12))).collect();
    let volumes = extents_by_volume
        .iter()
        .enumerate()
        .map(|(id, extents_on)| place_volume(id as u64, reservation[id], extents_on))
        .collect();
    (
        Site {
            nodes,
            volumes,
            spread: 1.25,
        },
        extents_by_volume,
    )
}

fn place_volume(id: u64, reservation: f64, extents_on: &[u64; 3]) -> Volume {
    let placement = extents_on.iter().enumerate().filter(|(_, n)| **n > 0);
    let placement = placement
        .map(|(n, extents)| (n as u32, *extents as f64 / EXTENTS as f64))
        .collect();
    Volume {
        id,
        reservation,
        weight: 1.0,
        placement,
    }
}

/// All placements of a volume's extents on three nodes that leave the drained nodes empty.
fn placements(drained: &BTreeSet<u32>) -> Vec<[u64; 3]> {
    let all = (0..=EXTENTS).flat_map(|a| (0..=EXTENTS - a).map(move |b| [a, b, EXTENTS - a - b]));
    all.filter(|extents_on| drained.iter().all(|n| extents_on[*n as usize] == 0))
        .collect()
}

fn bytes(id: u64) -> u64 {
    [5, 1, 3][id as usize]
}

/// The fewest bytes that must move to meet all reservations, found by trying every placement. `None` if
/// no placement meets them.
fn fewest_bytes_by_brute_force(
    site: &Site,
    extents_by_volume: &[[u64; 3]],
    drained: &BTreeSet<u32>,
) -> Option<u64> {
    let placements = placements(drained);
    let cost = |id: usize, extents_on: &[u64; 3]| {
        let moved: u64 = (0..3)
            .map(|n| extents_by_volume[id][n].saturating_sub(extents_on[n]))
            .sum();
        moved * bytes(id as u64)
    };
    let mut best: Option<u64> = None;
    for a in &placements {
        for b in &placements {
            for c in &placements {
                let all = cost(0, a) + cost(1, b) + cost(2, c);
                if best.is_some_and(|best| all >= best) {
                    continue;
                }
                let reservation = |id: usize| site.volumes[id].reservation;
                let volumes = [a, b, c]
                    .into_iter()
                    .enumerate()
                    .map(|(id, extents_on)| place_volume(id as u64, reservation(id), extents_on));
                if check(
                    &Site {
                        volumes: volumes.collect(),
                        ..site.clone()
                    },
                    drained,
                )
                .holds()
                {
                    best = Some(all);
                }
            }
        }
    }
    best
}

fn apply_moves(site: &Site, moves: &[Move], extents: u64) -> Site {
    let mut moved_site = site.clone();
    for volume in &mut moved_site.volumes {
        let mut extents_on: BTreeMap<u32, i64> = volume
            .placement
            .iter()
            .map(|(n, part)| (*n, (part * extents as f64).round() as i64))
            .collect();
        for step in moves.iter().filter(|step| step.volume == volume.id) {
            *extents_on.entry(step.from).or_default() -= step.extents as i64;
            *extents_on.entry(step.to).or_default() += step.extents as i64;
        }
        assert!(
            extents_on.values().all(|n| *n >= 0),
            "the moves take more extents from a node than it holds: {moves:?}"
        );
        volume.placement = extents_on
            .into_iter()
            .filter(|h| h.1 > 0)
            .map(|(n, e)| (n, e as f64 / extents as f64))
            .collect();
    }
    moved_site
}

#[test]
fn proposals_move_as_few_bytes_as_brute_force() {
    let mut met = 0;
    let mut missed = 0;
    let mut proposed_bytes = 0;
    let mut fewest_bytes = 0;
    for seed in 0..400 {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let (site, extents_by_volume) = random_site(&mut rng);
        let drained: BTreeSet<u32> = (seed % 3 == 0)
            .then(|| rng.random_range(0..3))
            .into_iter()
            .collect();
        let size = |id| Size {
            extents: EXTENTS,
            bytes: bytes(id),
        };
        let found = propose(&site, &drained, size);
        let best = fewest_bytes_by_brute_force(&site, &extents_by_volume, &drained);
        let Some(proposal) = found else {
            assert_eq!(
                best,
                Some(0),
                "seed {seed}: no proposal for a site that needs moves"
            );
            continue;
        };
        assert!(proposal.is_complete, "seed {seed}");
        let site_after = apply_moves(&site, &proposal.moves, EXTENTS);
        assert!(
            site_after
                .volumes
                .iter()
                .all(|volume| volume.placement.iter().all(|h| !drained.contains(&h.0))),
            "seed {seed}: {proposal:?}"
        );
        let holds = check(&site_after, &drained).holds();
        assert_eq!(holds, proposal.short == 0.0, "seed {seed}: {proposal:?}");
        match (best, holds) {
            (None, true) => {
                panic!("seed {seed}: {proposal:?} meets all reservations, but no placement can")
            }
            (None, false) => {}
            (Some(_), false) => missed += 1,
            (Some(best), true) => {
                assert!(
                    proposal.bytes >= best && proposal.least <= best as f64 + 1e-3,
                    "seed {seed}: {proposal:?}, best {best}"
                );
                met += 1;
                (proposed_bytes, fewest_bytes) =
                    (proposed_bytes + proposal.bytes, fewest_bytes + best);
            }
        }
    }
    assert!(
        met > 150,
        "only {met} of 400 sites had reservations met by moves"
    );
    assert_eq!(
        (proposed_bytes, missed),
        (fewest_bytes, 0),
        "bytes moved, and sites whose reservations could be met and were not"
    );
}

/// After the moves the drained node is empty and all reservations are met, and only extents of that node
/// have moved.
#[test]
fn a_drain_on_a_larger_site_moves_only_the_nodes_extents() {
    let mut rng = Pcg64Mcg::seed_from_u64(3);
    let nodes = (0..40)
        .map(|id| Node {
            id,
            zone: id / 8,
            capacity: 1000.0,
        })
        .collect();
    let volumes = (0..800).map(|id| {
        let first = rng.random_range(0..40);
        let placement = (0..4).map(|i| ((first + i) % 40, 0.25)).collect();
        Volume {
            id,
            reservation: rng.random_range(20.0..60.0),
            weight: 1.0,
            placement,
        }
    });
    let site = Site {
        nodes,
        volumes: volumes.collect(),
        spread: 1.5,
    };
    assert!(check(&site, &BTreeSet::new()).holds());
    let size = |id: u64| Size {
        extents: 64 + id % 64,
        bytes: 1 << 20,
    };
    let drained = BTreeSet::from([7]);
    let proposal = propose(&site, &drained, size).expect("the drained node holds extents");
    let site_after: Vec<Volume> = site
        .volumes
        .iter()
        .map(|volume| {
            let volume_moves: Vec<Move> = proposal
                .moves
                .iter()
                .filter(|step| step.volume == volume.id)
                .copied()
                .collect();
            let single_volume = Site {
                volumes: vec![volume.clone()],
                ..site.clone()
            };
            apply_moves(&single_volume, &volume_moves, size(volume.id).extents)
                .volumes
                .remove(0)
        })
        .collect();
    let site_after = Site {
        volumes: site_after,
        ..site.clone()
    };
    assert!(site_after
        .volumes
        .iter()
        .all(|volume| volume.placement.iter().all(|h| h.0 != 7)));
    assert!(
        check(&site_after, &drained).holds() && proposal.short == 0.0,
        "{:?}",
        check(&site_after, &drained).short
    );
    assert!(proposal.moves.iter().all(|step| step.from == 7));
}
