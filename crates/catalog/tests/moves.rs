//! Proposals compared with every placement of extents, on small sites; and a drain at a larger one.

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

/// All ways to lay a volume's extents on three nodes, none on those to be emptied.
fn ways(empty: &BTreeSet<u32>) -> Vec<[u64; 3]> {
    let all = (0..=EXTENTS).flat_map(|a| (0..=EXTENTS - a).map(move |b| [a, b, EXTENTS - a - b]));
    all.filter(|way| empty.iter().all(|n| way[*n as usize] == 0))
        .collect()
}

fn bytes(id: u64) -> u64 {
    [5, 1, 3][id as usize]
}

/// The least bytes with which all reserves can be met, by trying every placement.
fn by_brute_force(
    site: &Site,
    extents_by_volume: &[[u64; 3]],
    empty: &BTreeSet<u32>,
) -> Option<u64> {
    let ways = ways(empty);
    let cost = |id: usize, way: &[u64; 3]| {
        let left: u64 = (0..3)
            .map(|n| extents_by_volume[id][n].saturating_sub(way[n]))
            .sum();
        left * bytes(id as u64)
    };
    let mut best: Option<u64> = None;
    for a in &ways {
        for b in &ways {
            for c in &ways {
                let all = cost(0, a) + cost(1, b) + cost(2, c);
                if best.is_some_and(|best| all >= best) {
                    continue;
                }
                let reservation = |id: usize| site.volumes[id].reservation;
                let volumes = [a, b, c]
                    .into_iter()
                    .enumerate()
                    .map(|(id, way)| place_volume(id as u64, reservation(id), way));
                if check(
                    &Site {
                        volumes: volumes.collect(),
                        ..site.clone()
                    },
                    empty,
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

fn after(site: &Site, moves: &[Move], extents: u64) -> Site {
    let mut random_site = site.clone();
    for volume in &mut random_site.volumes {
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
            "more moved than lies there: {moves:?}"
        );
        volume.placement = extents_on
            .into_iter()
            .filter(|h| h.1 > 0)
            .map(|(n, e)| (n, e as f64 / extents as f64))
            .collect();
    }
    random_site
}

#[test]
fn proposals_move_as_few_bytes_as_brute_force() {
    let (mut mended, mut missed, mut ours, mut least) = (0, 0, 0, 0);
    for seed in 0..400 {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let (site, extents_by_volume) = random_site(&mut rng);
        let empty: BTreeSet<u32> = (seed % 3 == 0)
            .then(|| rng.random_range(0..3))
            .into_iter()
            .collect();
        let size = |id| Size {
            extents: EXTENTS,
            bytes: bytes(id),
        };
        let found = propose(&site, &empty, size);
        let best = by_brute_force(&site, &extents_by_volume, &empty);
        let Some(proposal) = found else {
            assert_eq!(best, Some(0), "seed {seed}: nothing proposed");
            continue;
        };
        assert!(proposal.is_complete, "seed {seed}");
        let then = after(&site, &proposal.moves, EXTENTS);
        assert!(
            then.volumes
                .iter()
                .all(|volume| volume.placement.iter().all(|h| !empty.contains(&h.0))),
            "seed {seed}: {proposal:?}"
        );
        let holds = check(&then, &empty).holds();
        assert_eq!(holds, proposal.short == 0.0, "seed {seed}: {proposal:?}");
        match (best, holds) {
            (None, true) => panic!("seed {seed}: {proposal:?} cannot be"),
            (None, false) => {}
            (Some(_), false) => missed += 1,
            (Some(best), true) => {
                assert!(
                    proposal.bytes >= best && proposal.least <= best as f64 + 1e-3,
                    "seed {seed}: {proposal:?}, best {best}"
                );
                mended += 1;
                (ours, least) = (ours + proposal.bytes, least + best);
            }
        }
    }
    assert!(mended > 150, "{mended} mended");
    assert_eq!(
        (ours, missed),
        (least, 0),
        "bytes, and sites that could be mended and were not"
    );
}

/// On a larger site: the drained node is empty afterwards, reservations are met, and only its
/// extents move.
#[test]
fn a_drain_at_a_larger_site_moves_only_what_lies_on_the_node() {
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
    let empty = BTreeSet::from([7]);
    let proposal = propose(&site, &empty, size).expect("it holds something");
    let then: Vec<Volume> = site
        .volumes
        .iter()
        .map(|volume| {
            let own: Vec<Move> = proposal
                .moves
                .iter()
                .filter(|step| step.volume == volume.id)
                .copied()
                .collect();
            let one = Site {
                volumes: vec![volume.clone()],
                ..site.clone()
            };
            after(&one, &own, size(volume.id).extents).volumes.remove(0)
        })
        .collect();
    let then = Site {
        volumes: then,
        ..site.clone()
    };
    assert!(then
        .volumes
        .iter()
        .all(|volume| volume.placement.iter().all(|h| h.0 != 7)));
    assert!(
        check(&then, &empty).holds() && proposal.short == 0.0,
        "{:?}",
        check(&then, &empty).short
    );
    assert!(proposal.moves.iter().all(|step| step.from == 7));
}
