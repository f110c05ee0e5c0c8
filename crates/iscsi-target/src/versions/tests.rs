use super::*;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Versions strictly increase across restarts, with clock steps in either direction and ceilings
/// that are persisted late or never.
#[test]
fn versions_increase_across_restarts_with_any_clock_step() {
    for seed in 0..300 {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let (mut durable, mut last) = (0, 0);
        for _ in 0..20 {
            let mut v = Versions::new(durable, rng.random_range(0..1 << 50));
            let mut requested = Vec::new();
            for _ in 0..rng.random_range(0..200) {
                match rng.random_range(0..5) {
                    0 => requested.extend(v.reservation_due()),
                    1 if !requested.is_empty() => {
                        durable = durable.max(requested.remove(0));
                        v.reserve(durable);
                    }
                    2 if rng.random_range(0..9) == 0 => {
                        v.observe(rng.random_range(0..1 << 52));
                    }
                    _ => {
                        if let Some(n) = v.next() {
                            assert!(n > last && n < durable, "seed {seed}: {n} after {last}");
                            last = n;
                        }
                    }
                }
            }
        }
    }
}

#[test]
fn an_implausibly_high_version_is_ignored() {
    let mut v = Versions::new(0, 10);
    assert!(!v.observe(u64::MAX) && v.observe(20));
    if let Some(ceiling) = v.reservation_due() {
        v.reserve(ceiling);
    }
    assert_eq!(v.next(), Some(21));
}
