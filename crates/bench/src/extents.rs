//! The index of extents beside the standard ordered map: memory, and time for a look-up, by length
//! of runs.

use crate::commands::held;
use grebecleat_catalog_service::extents::Extents;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;
use std::hint::black_box;
use std::time::Instant;

const LOOKS: u64 = 2_000_000;

/// Extents in order of their number, on shards that change after runs of about that length.
fn drawn(count: u64, run: u64) -> impl Iterator<Item = (u64, u32)> {
    let mut rng = Pcg64Mcg::seed_from_u64(7);
    let (mut shard, mut left) = (0, 0);
    (0..count).map(move |extent| {
        if left == 0 {
            (shard, left) = (rng.random_range(0..40), rng.random_range(1..run * 2));
        }
        left -= 1;
        (extent, shard)
    })
}

/// Nanoseconds a look-up, at extents drawn by chance.
fn look(count: u64, get: impl Fn(u64) -> Option<u32>) -> f64 {
    let mut rng = Pcg64Mcg::seed_from_u64(9);
    let asked: Vec<u64> = (0..LOOKS).map(|_| rng.random_range(0..count)).collect();
    let begun = Instant::now();
    let found: u64 = asked
        .iter()
        .filter_map(|e| get(black_box(*e)))
        .map(u64::from)
        .sum();
    black_box(found);
    begun.elapsed().as_nanos() as f64 / LOOKS as f64
}

pub fn measure(count: u64) {
    println!("{count} extents, looked up at random.\n");
    println!("| run | runs kept | map, bytes an extent | index, bytes an extent | map, ns | index, ns | built, ns |");
    println!("| ---: | ---: | ---: | ---: | ---: | ---: | ---: |");
    for run in [1, 8, 64, 1024] {
        let before = held();
        let plain: BTreeMap<u64, u32> = drawn(count, run).collect();
        let of_plain = held() - before;
        let plain_ns = look(count, |e| plain.get(&e).copied());
        let (before, begun) = (held(), Instant::now());
        let index: Extents = drawn(count, run).collect();
        let built = begun.elapsed().as_nanos() as f64 / count as f64;
        let of_index = held() - before;
        let index_ns = look(count, |e| index.get(e));
        let each = |bytes: u64| bytes as f64 / count as f64;
        println!(
            "| {run} | {} | {:.2} | {:.2} | {plain_ns:.0} | {index_ns:.0} | {built:.0} |",
            index.runs(),
            each(of_plain),
            each(of_index)
        );
    }
}
