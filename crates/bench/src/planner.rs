//! How long the planner takes, by the size of a site, whose promises hold and whose do not.

use grebecleat_plans::planner::{check, Node, Site, Volume};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeSet;
use std::time::Instant;

/// Volumes on some neighbouring nodes each, reserves that fill that part of all nodes.
fn site(nodes: u32, volumes: u64, filled: f64) -> Site {
    let mut rng = Pcg64Mcg::seed_from_u64(u64::from(nodes));
    let all: Vec<Node> = (0..nodes).map(|id| Node { id, zone: id / 10, capacity: 1000.0 }).collect();
    let each = f64::from(nodes) * 1000.0 * filled / volumes as f64;
    let volume = |id| {
        let (first, n) = (rng.random_range(0..nodes), rng.random_range(1..=6.min(nodes)));
        let homes = (0..n).map(|i| ((first + i) % nodes, 1.0 / f64::from(n))).collect();
        Volume {
            id,
            reserve: each * rng.random_range(0.5..1.5),
            weight: f64::from(rng.random_range(1..4)),
            homes,
        }
    };
    let volumes = (0..volumes).map(volume).collect();
    Site { nodes: all, volumes, spread: 2.0 }
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
                100.0 * v.carried / v.asked,
                v.short.len()
            );
        }
    }
}
