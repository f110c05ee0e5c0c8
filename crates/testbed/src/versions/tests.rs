use super::*;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

#[test]
fn each_byte_holds_its_newest_version_as_in_a_plain_table() {
    for seed in 0..300 {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let (mut v, mut plain) = (Versions::default(), [0u64; 64]);
        for _ in 0..60 {
            let from = rng.random_range(0..63u32);
            let (end, version) = (rng.random_range(from + 1..=64), rng.random_range(1..30));
            let newer = plain[from as usize..end as usize]
                .iter()
                .copied()
                .filter(|p| *p > version)
                .max();
            let (parts, reported) = v.write(from, end, version);
            assert_eq!(reported, newer, "seed {seed}");
            for b in from..end {
                let expected = plain[b as usize] <= version;
                assert_eq!(
                    parts.iter().any(|p| (p.0..p.1).contains(&b)),
                    expected,
                    "seed {seed} byte {b}"
                );
                plain[b as usize] = plain[b as usize].max(version);
            }
            assert!(v
                .0
                .windows(2)
                .all(|w| w[0].1 <= w[1].0 && (w[0].1 < w[1].0 || w[0].2 != w[1].2)));
        }
    }
}
