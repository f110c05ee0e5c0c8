//! The planner beside brute force on small sites, and beside the plain greedy answer.

use grebecleat_plans::planner::*;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeSet;

fn site(rng: &mut Pcg64Mcg) -> Site {
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
        let mut homes: BTreeSet<u32> = (0..rng.random_range(1..4))
            .map(|_| rng.random_range(0..nodes.len() as u32))
            .collect();
        homes.insert(rng.random_range(0..nodes.len() as u32));
        let quota = 1.0 / homes.len() as f64;
        let homes = homes.into_iter().map(|n| (n, quota)).collect();
        let (reserve, weight) = (
            f64::from(rng.random_range(0..9)),
            f64::from(rng.random_range(1..4)),
        );
        Volume {
            id,
            reserve,
            weight,
            homes,
        }
    };
    let volumes = (0..8u64).map(volume).collect();
    // So wide that a volume may gather on any of its homes.
    Site {
        nodes,
        volumes,
        spread: 100.0,
    }
}

/// The most that can be carried, by every cut there is: nodes of one side, and volumes that reach beyond it.
fn by_brute_force(s: &Site, reserves: &[f64]) -> f64 {
    let cut = |side: u32| {
        let applied = |n: u32| side & 1 << n != 0;
        let nodes: f64 = s
            .nodes
            .iter()
            .filter(|n| applied(n.id))
            .map(|n| n.capacity)
            .sum();
        let beyond = |v: &Volume| !v.homes.iter().all(|h| applied(h.0));
        let volumes = s
            .volumes
            .iter()
            .zip(reserves)
            .filter(|(v, _)| beyond(v))
            .map(|(_, r)| r)
            .sum::<f64>();
        nodes + volumes
    };
    (0..1 << s.nodes.len())
        .map(cut)
        .fold(f64::INFINITY, f64::min)
}

/// Each volume in turn on the homes with most room left.
fn by_greed(s: &Site) -> f64 {
    let mut room: Vec<f64> = s.nodes.iter().map(|n| n.capacity).collect();
    let mut carried = 0.0;
    for v in &s.volumes {
        let mut left = v.reserve;
        let mut homes: Vec<usize> = v.homes.iter().map(|h| h.0 as usize).collect();
        homes.sort_by(|a, b| room[*b].total_cmp(&room[*a]));
        for n in homes {
            let here = left.min(room[n]);
            (left, room[n], carried) = (left - here, room[n] - here, carried + here);
        }
    }
    carried
}

#[test]
fn it_answers_as_brute_force_does_and_the_least_and_lightest_give_way() {
    let (mut broken, mut greed_wrong) = (0, 0);
    for seed in 0..3000 {
        let s = site(&mut Pcg64Mcg::seed_from_u64(seed));
        let v = check(&s, &BTreeSet::new());
        let reserves: Vec<f64> = s.volumes.iter().map(|v| v.reserve).collect();
        let most = by_brute_force(&s, &reserves);
        assert!(
            (v.carried - most).abs() < 1e-6,
            "seed {seed}: {} of {most}",
            v.carried
        );
        assert_eq!(v.holds(), (v.asked - most).abs() < 0.02, "seed {seed}");
        greed_wrong += u32::from((by_greed(&s) - most).abs() > 1e-6);
        if v.holds() {
            continue;
        }
        broken += 1;
        // What gives way is all that is missing, and without it the rest can be carried.
        let given: f64 = v.short.iter().map(|s| s.1).sum();
        assert!((given - (v.asked - most)).abs() < 1e-6, "seed {seed}");
        let left =
            |v2: &Volume| v2.reserve - v.short.iter().find(|s| s.0 == v2.id).map_or(0.0, |s| s.1);
        let after: Vec<f64> = s.volumes.iter().map(left).collect();
        assert!(
            (by_brute_force(&s, &after) - after.iter().sum::<f64>()).abs() < 1e-6,
            "seed {seed}"
        );
        // Nobody gives way who could have kept more if all lighter ones had nothing.
        for (id, by) in &v.short {
            let own = s.volumes.iter().find(|v| v.id == *id).unwrap();
            let heavier = |o: &Volume| {
                (o.weight, std::cmp::Reverse(o.id)) >= (own.weight, std::cmp::Reverse(own.id))
            };
            let alone: Vec<f64> = s
                .volumes
                .iter()
                .zip(&after)
                .map(|(v, r)| if heavier(v) { *r } else { 0.0 })
                .collect();
            let more: Vec<f64> = s
                .volumes
                .iter()
                .zip(&alone)
                .map(|(v, r)| if v.id == *id { r + by } else { *r })
                .collect();
            assert!(
                (by_brute_force(&s, &more) - alone.iter().sum::<f64>()).abs() < 1e-6,
                "seed {seed}: {id}"
            );
        }
    }
    println!("{broken} of 3000 cannot be met; greed is wrong on {greed_wrong}");
    assert!(
        broken > 500 && greed_wrong > 30,
        "{broken} cannot be met; greed is wrong on {greed_wrong} of 3000"
    );
}

/// Where a volume's load may gather only so far: what gives way, found volume by volume, is what the flow
/// over all of them at once says is missing.
#[test]
fn what_gives_way_is_what_is_missing_at_any_spread() {
    let mut broken = 0;
    for seed in 0..6000 {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let s = Site {
            spread: [1.0, 1.25, 1.5, 2.0][seed as usize % 4],
            ..site(&mut rng)
        };
        let v = check(&s, &BTreeSet::new());
        let given: f64 = v.short.iter().map(|s| s.1).sum();
        broken += u32::from(!v.holds());
        assert!(
            (given - (v.asked - v.carried)).abs() < 0.02,
            "seed {seed}: {given} of {v:?}"
        );
    }
    assert!(broken > 1000, "{broken}");
}

#[test]
fn a_node_or_a_zone_out_and_what_is_out_of_reach() {
    let node = |id, zone| Node {
        id,
        zone,
        capacity: 100.0,
    };
    let volume = |id, homes: &[u32]| {
        let quota = 1.0 / homes.len() as f64;
        Volume {
            id,
            reserve: 80.0,
            weight: id as f64,
            homes: homes.iter().map(|n| (*n, quota)).collect(),
        }
    };
    let s = Site {
        nodes: vec![node(1, 1), node(2, 1), node(3, 2)],
        volumes: vec![volume(1, &[1, 3]), volume(2, &[2, 3]), volume(3, &[3])],
        spread: 1.0,
    };
    let told: Vec<(Out, f64, f64, bool)> = survey(&s)
        .into_iter()
        .map(|(out, v)| (out, v.asked, v.out_of_reach, v.holds()))
        .collect();
    // Spread over its extents alike, node 3 is asked for 40, 40 and 80.
    let expected = [
        (Out::Nothing, 240.0, 0.0, false),
        (Out::Node(1), 200.0, 40.0, false),
        (Out::Node(2), 200.0, 40.0, false),
        (Out::Node(3), 80.0, 160.0, true),
        (Out::Zone(1), 160.0, 80.0, false),
        (Out::Zone(2), 80.0, 160.0, true),
    ];
    assert_eq!(told, expected);
    let hopeful = Site { spread: 2.0, ..s };
    assert!(
        check(&hopeful, &BTreeSet::new()).holds(),
        "the first two keep to nodes 1 and 2"
    );
}
