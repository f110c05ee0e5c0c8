//! How long the planner takes, by the size of a site, whose promises hold and whose do not; and how
//! long it takes to say whether one change may land, with every node and zone out in turn.

use grebecleat_catalog::admission::Admission;
use grebecleat_catalog::catalog::Catalog;
use grebecleat_catalog::change::{Change, ChangeContext};
use grebecleat_catalog::planner::{check, Node, Site, Volume};
use grebecleat_catalog::records::{self, Deployment};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeSet;
use std::time::{Duration, Instant};

/// Volumes on some neighbouring nodes each, reserves that fill that part of all nodes.
fn site(nodes: u32, volumes: u64, filled: f64) -> Site {
    let mut rng = Pcg64Mcg::seed_from_u64(u64::from(nodes));
    let all: Vec<Node> = (0..nodes)
        .map(|id| Node {
            id,
            zone: id / 10,
            capacity: 1000.0,
        })
        .collect();
    let each = f64::from(nodes) * 1000.0 * filled / volumes as f64;
    let volume = |id| {
        let (first, n) = (
            rng.random_range(0..nodes),
            rng.random_range(1..=6.min(nodes)),
        );
        let placement = (0..n)
            .map(|i| ((first + i) % nodes, 1.0 / f64::from(n)))
            .collect();
        Volume {
            id,
            reservation: each * rng.random_range(0.5..1.5),
            weight: f64::from(rng.random_range(1..4)),
            placement,
        }
    };
    let volumes = (0..volumes).map(volume).collect();
    Site {
        nodes: all,
        volumes,
        spread: 2.0,
    }
}

/// The same site as a catalog.
fn catalog(s: &Site) -> Catalog {
    let plan = |v: &Volume| records::Plan {
        reservation: v.reservation,
        weight: v.weight,
        ..Default::default()
    };
    let node = |n: &Node| records::Node {
        name: "".into(),
        zone: n.zone.to_string().into(),
        shard: n.id,
        capacity: n.capacity,
    };
    let volume = |v: &Volume| records::Volume {
        plan: v.id.to_string().into(),
        hosts: ["h".into()].into(),
        shards: v.placement.iter().map(|h| h.0).collect(),
        blocks: 8,
    };
    let nodes = s.nodes.iter().map(|n| Change::Node {
        id: n.id,
        to: Some(node(n)),
    });
    let plans = s.volumes.iter().map(|v| Change::Plan {
        name: v.id.to_string().into(),
        to: Some(plan(v)),
    });
    let volumes = s.volumes.iter().map(|v| Change::Volume {
        id: v.id,
        to: Some(volume(v)),
    });
    let facts = Deployment {
        hosts: ["h".into()].into(),
        max_dispatch_delay: Duration::ZERO,
    };
    Catalog::new(facts, 100).restored(
        Default::default(),
        nodes.chain(plans).chain(volumes),
        Vec::new(),
    )
}

fn admission() {
    println!("\n| volumes | nodes | filled | opened, ms | a change, no loss looked at, ms | with all losses, ms | losses |");
    println!("| ---: | ---: | ---: | ---: | ---: | ---: | ---: |");
    for (volumes, nodes) in [(100, 10), (1000, 50), (10_000, 200), (100_000, 1000)] {
        for filled in [0.5, 0.7, 0.9] {
            let s = site(nodes, volumes, filled);
            let mut l = catalog(&s);
            let begun = Instant::now();
            let mut a = Admission::open(&l, s.spread);
            let opened = begun.elapsed().as_secs_f64() * 1e3;
            let mut took = [Vec::new(), Vec::new()];
            let mut losses = 0;
            for (i, steps) in [0, 0, 0, 0, 0, usize::MAX, usize::MAX, usize::MAX]
                .into_iter()
                .enumerate()
            {
                let id = i as u64 * 7;
                let reservation = s.volumes[id as usize].reservation * 1.2;
                let plan = records::Plan {
                    reservation,
                    weight: 1.0,
                    ..Default::default()
                };
                let change = vec![Change::Plan {
                    name: id.to_string().into(),
                    to: Some(plan),
                }];
                let begun = Instant::now();
                let entry = l
                    .propose(l.version(), ChangeContext::default(), change.clone())
                    .expect("in order");
                l.apply(entry).expect("the next");
                let o = a.land(&l, &change, steps);
                took[usize::from(steps > 0)].push(begun.elapsed().as_secs_f64() * 1e3);
                losses = losses.max(o.unexamined_losses);
            }
            let median = |of: &mut Vec<f64>| {
                of.sort_by(f64::total_cmp);
                of[of.len() / 2]
            };
            let [few, all] = &mut took;
            println!(
                "| {volumes} | {nodes} | {filled} | {opened:.1} | {:.2} | {:.1} | {losses} |",
                median(few),
                median(all)
            );
        }
    }
}

pub fn measure() {
    println!("| volumes | nodes | filled | holds | carried | give way | ms |");
    println!("| ---: | ---: | ---: | --- | ---: | ---: | ---: |");
    for (volumes, nodes) in [(100, 10), (1000, 50), (10_000, 200), (100_000, 1000)] {
        for filled in [0.5, 0.9, 1.02] {
            let s = site(nodes, volumes, filled);
            let begun = Instant::now();
            let v = check(&s, &BTreeSet::new());
            let took = begun.elapsed().as_secs_f64() * 1e3;
            println!(
                "| {volumes} | {nodes} | {filled} | {} | {:.2}% | {} | {took:.1} |",
                if v.holds() { "yes" } else { "no" },
                100.0 * v.carried / v.reachable,
                v.short.len()
            );
        }
    }
    admission();
}
