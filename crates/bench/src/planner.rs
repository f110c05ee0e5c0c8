//! Measures how long the planner takes to check a site, by its size, with reservations that fit the
//! capacity and with ones that exceed it; and how long the admission check of one change takes, with
//! the loss of every node and zone examined in turn.

use grebecleat_catalog::admission::Admission;
use grebecleat_catalog::catalog::Catalog;
use grebecleat_catalog::change::{Change, ChangeContext};
use grebecleat_catalog::planner::{check, Node, Site, Volume};
use grebecleat_catalog::records::{self, Deployment};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeSet;
use std::time::{Duration, Instant};

/// A site whose volumes are each placed on up to six neighbouring nodes. The reservations add up to
/// about the fraction `filled` of the capacity of all nodes.
fn site(nodes: u32, volumes: u64, filled: f64) -> Site {
    let mut rng = Pcg64Mcg::seed_from_u64(u64::from(nodes));
    let all_nodes: Vec<Node> = (0..nodes)
        .map(|id| Node {
            id,
            zone: id / 10,
            capacity: 1000.0,
        })
        .collect();
    let mean_reservation = f64::from(nodes) * 1000.0 * filled / volumes as f64;
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
            reservation: mean_reservation * rng.random_range(0.5..1.5),
            weight: f64::from(rng.random_range(1..4)),
            placement,
        }
    };
    let volumes = (0..volumes).map(volume).collect();
    Site {
        nodes: all_nodes,
        volumes,
        spread: 2.0,
    }
}

/// A catalog with the nodes and volumes of a site, and one plan per volume.
fn catalog(site: &Site) -> Catalog {
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
        shards: v.placement.iter().map(|share| share.0).collect(),
        blocks: 8,
    };
    let nodes = site.nodes.iter().map(|n| Change::Node {
        id: n.id,
        to: Some(node(n)),
    });
    let plans = site.volumes.iter().map(|v| Change::Plan {
        name: v.id.to_string().into(),
        to: Some(plan(v)),
    });
    let volumes = site.volumes.iter().map(|v| Change::Volume {
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

fn measure_admission() {
    println!("\n| volumes | nodes | filled | open, ms | one change without examining losses, ms | one change with all losses, ms | losses |");
    println!("| ---: | ---: | ---: | ---: | ---: | ---: | ---: |");
    for (volumes, nodes) in [(100, 10), (1000, 50), (10_000, 200), (100_000, 1000)] {
        for filled in [0.5, 0.7, 0.9] {
            let site = site(nodes, volumes, filled);
            let mut catalog = catalog(&site);
            let started = Instant::now();
            let mut admission = Admission::open(&catalog, site.spread);
            let open_ms = started.elapsed().as_secs_f64() * 1e3;
            let mut elapsed_ms = [Vec::new(), Vec::new()];
            let mut outages = 0;
            for (i, steps) in [0, 0, 0, 0, 0, usize::MAX, usize::MAX, usize::MAX]
                .into_iter()
                .enumerate()
            {
                let id = i as u64 * 7;
                let reservation = site.volumes[id as usize].reservation * 1.2;
                let plan = records::Plan {
                    reservation,
                    weight: 1.0,
                    ..Default::default()
                };
                let change = vec![Change::Plan {
                    name: id.to_string().into(),
                    to: Some(plan),
                }];
                let started = Instant::now();
                let entry = catalog
                    .propose(catalog.version(), ChangeContext::default(), change.clone())
                    .expect("the change is based on the current version");
                catalog
                    .apply(entry)
                    .expect("the entry follows the current version");
                let outcome = admission.land(&catalog, &change, steps);
                elapsed_ms[usize::from(steps > 0)].push(started.elapsed().as_secs_f64() * 1e3);
                outages = outages.max(outcome.unevaluated_outages);
            }
            let median = |samples: &mut Vec<f64>| {
                samples.sort_by(f64::total_cmp);
                samples[samples.len() / 2]
            };
            let [without_losses, with_losses] = &mut elapsed_ms;
            println!(
                "| {volumes} | {nodes} | {filled} | {open_ms:.1} | {:.2} | {:.1} | {outages} |",
                median(without_losses),
                median(with_losses)
            );
        }
    }
}

pub fn measure() {
    println!("| volumes | nodes | filled | reservations hold | carried | volumes short of their reservation | ms |");
    println!("| ---: | ---: | ---: | --- | ---: | ---: | ---: |");
    for (volumes, nodes) in [(100, 10), (1000, 50), (10_000, 200), (100_000, 1000)] {
        for filled in [0.5, 0.9, 1.02] {
            let site = site(nodes, volumes, filled);
            let started = Instant::now();
            let verdict = check(&site, &BTreeSet::new());
            let elapsed_ms = started.elapsed().as_secs_f64() * 1e3;
            println!(
                "| {volumes} | {nodes} | {filled} | {} | {:.2}% | {} | {elapsed_ms:.1} |",
                if verdict.holds() { "yes" } else { "no" },
                100.0 * verdict.carried / verdict.reachable,
                verdict.short.len()
            );
        }
    }
    measure_admission();
}
