//! Compares the extent index with the standard ordered map: memory and lookup time, by the mean
//! length of the runs of consecutive extents on one shard.

use crate::commands::held_bytes;
use grebecleat_catalog_service::extents::Extents;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;
use std::hint::black_box;
use std::time::Instant;

const LOOKUPS: u64 = 2_000_000;

/// Extents in ascending order, on random shards that change after runs of `run` extents on average.
fn random_extents(count: u64, run: u64) -> impl Iterator<Item = (u64, u32)> {
    let mut rng = Pcg64Mcg::seed_from_u64(7);
    let (mut shard, mut remaining) = (0, 0);
    (0..count).map(move |extent| {
        if remaining == 0 {
            (shard, remaining) = (rng.random_range(0..40), rng.random_range(1..run * 2));
        }
        remaining -= 1;
        (extent, shard)
    })
}

/// Returns nanoseconds per lookup, over extents chosen at random.
fn lookup_ns(count: u64, get: impl Fn(u64) -> Option<u32>) -> f64 {
    let mut rng = Pcg64Mcg::seed_from_u64(9);
    let lookups: Vec<u64> = (0..LOOKUPS).map(|_| rng.random_range(0..count)).collect();
    let started = Instant::now();
    let found: u64 = lookups
        .iter()
        .filter_map(|e| get(black_box(*e)))
        .map(u64::from)
        .sum();
    black_box(found);
    started.elapsed().as_nanos() as f64 / LOOKUPS as f64
}

pub fn measure(count: u64) {
    println!("{count} extents, looked up at random.\n");
    println!("| mean run length | runs in the index | map, bytes per extent | index, bytes per extent | map lookup, ns | index lookup, ns | index build, ns per extent |");
    println!("| ---: | ---: | ---: | ---: | ---: | ---: | ---: |");
    for run in [1, 8, 64, 1024] {
        let before = held_bytes();
        let map: BTreeMap<u64, u32> = random_extents(count, run).collect();
        let map_bytes = held_bytes() - before;
        let map_ns = lookup_ns(count, |e| map.get(&e).copied());
        let (before, started) = (held_bytes(), Instant::now());
        let index: Extents = random_extents(count, run).collect();
        let build_ns = started.elapsed().as_nanos() as f64 / count as f64;
        let index_bytes = held_bytes() - before;
        let index_ns = lookup_ns(count, |e| index.get(e));
        let per_extent = |bytes: u64| bytes as f64 / count as f64;
        println!(
            "| {run} | {} | {:.2} | {:.2} | {map_ns:.0} | {index_ns:.0} | {build_ns:.0} |",
            index.runs(),
            per_extent(map_bytes),
            per_extent(index_bytes)
        );
    }
}
