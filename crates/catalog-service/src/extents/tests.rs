//! Tests of the extent index against an ordered map.

use super::*;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Inserts extents in random order, near and far apart, and moves some of them. Compares the
/// contents, the counts and the runs.
#[test]
fn contents_match_an_ordered_map() {
    for seed in 0..120 {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let (mut extents, mut expected) = (Extents::default(), BTreeMap::new());
        let spread = [40, 3000, 1 << 20, u64::MAX][seed as usize % 4];
        let shards = rng.random_range(1..4);
        let mut at = rng.random_range(0..spread);
        for _ in 0..3000 {
            at = match rng.random_range(0..10) {
                0 => rng.random_range(0..spread),
                1 => at.saturating_sub(1),
                _ => at.saturating_add(1).min(spread),
            };
            let shard = rng.random_range(0..shards) / (1 + rng.random_range(0..2));
            extents.insert(at, shard);
            expected.insert(at, shard);
            let near = at.saturating_add(rng.random_range(0..5)).saturating_sub(2);
            assert_eq!(
                extents.get(near),
                expected.get(&near).copied(),
                "seed {seed}"
            );
        }
        assert_eq!(extents.len(), expected.len() as u64);
        let runs: Vec<_> = extents.iter().collect();
        assert_eq!(runs.len(), extents.runs());
        let all: Vec<(u64, u32)> = runs
            .iter()
            .flat_map(|run| (0..run.length).map(move |offset| (run.first + offset, run.shard)))
            .collect();
        assert!(all.into_iter().eq(expected.into_iter()), "seed {seed}");
        assert!(extents
            .chunks
            .values()
            .all(|chunk| !chunk.is_empty() && chunk.len() <= MAX_RUNS_PER_CHUNK));
    }
}

#[test]
fn descending_and_alternating_extents_need_few_chunks() {
    let descending: Extents = (0..100_000u64).rev().map(|n| (n, 1)).collect();
    assert_eq!(
        (descending.len(), descending.runs(), descending.chunks.len()),
        (100_000, 1, 1)
    );
    let alternating: Extents = (0..100_000u64).map(|n| (n, (n % 2) as u32)).collect();
    assert_eq!(alternating.runs(), 100_000);
    assert!(
        alternating.chunks.len() < 2 * 100_000 / (MAX_RUNS_PER_CHUNK / 2),
        "{} chunks",
        alternating.chunks.len()
    );
}
