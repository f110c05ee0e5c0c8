//! Rings of falling detail beside a plain list of all seconds.

use grebecleat_endpoint::ring::{width, Falling, ERROR, LEVELS, SLOTS};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// What whole slots of a plain list amount to.
fn plain(all: &[(u64, f64)], end: u64, span: u64, level: usize) -> f64 {
    let w = width(level);
    let (last, slots) = (end / w, span.div_ceil(w));
    let first = (last + 1).saturating_sub(slots) * w;
    all.iter()
        .filter(|(s, _)| (first..=end).contains(s))
        .map(|(_, x)| x)
        .sum()
}

#[test]
fn any_span_of_any_seconds_beside_a_plain_list() {
    for seed in 0..60 {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut f: Falling<2> = Falling::default();
        let (mut second, mut all) = (rng.random_range(0..1 << 30), Vec::new());
        let first = second;
        let calm = rng.random_range(1..400);
        for _ in 0..3000 {
            second += if rng.random_range(0..20) == 0 {
                rng.random_range(1..calm * 20)
            } else {
                1
            };
            let x = if rng.random_range(0..3) == 0 {
                0.0
            } else {
                10f64.powf(rng.random_range(-1.0..7.0))
            };
            f.push(second, [x, 1.0]);
            all.push((second, x));
        }
        let lived = second - first;
        for level in 0..LEVELS {
            let most = width(level) * SLOTS as u64;
            let least = if level == 0 {
                1
            } else {
                width(level - 1) * SLOTS as u64 + 1
            };
            for _ in 0..20 {
                let span = rng.random_range(least..=most);
                if most - width(level) > lived || span > most - width(level) {
                    continue; // the oldest slot of a ring may be cut
                }
                let (is, told) = (plain(&all, second, span, level), f.sum(second, span)[0]);
                assert!(
                    (is - told).abs() <= is * ERROR + 0.02 * SLOTS as f64,
                    "seed {seed}: {span} s: {is} {told}"
                );
            }
        }
    }
}

/// What is added up along the rings is added up before it is packed.
#[test]
fn three_days_of_the_same_second_add_up_and_the_memory_stays() {
    let mut f: Falling<7> = Falling::default();
    for s in 0..3 * 86_400u64 {
        f.push(s, [3.0; 7]);
    }
    let end = 3 * 86_400 - 1;
    for (span, slot) in [
        (60u64, 1u64),
        (500, 8),
        (3600, 64),
        (30_000, 512),
        (250_000, 4096),
    ] {
        let (n, is) = (span.div_ceil(slot) as f64, f.sum(end, span)[6]);
        let whole = (n - 1.0) * slot as f64 * 3.0;
        assert!(
            is >= whole * (1.0 - ERROR) && is <= (whole + slot as f64 * 3.0) * (1.0 + ERROR),
            "{span}: {is}"
        );
    }
    assert!(f.bytes() <= 5 * 64 * 2 * 7 + 5 * 128, "{}", f.bytes());
    let (w, points) = f.points(end, 60, 60);
    assert_eq!((w, points.len()), (1, 60));
    assert!(points.iter().all(|p| (p[0] - 3.0).abs() < 0.01));
    let (w, points) = f.points(end, 3600, 60);
    assert_eq!(w, 64);
    assert!(
        points[..59].iter().all(|p| (p[0] - 192.0).abs() < 0.2),
        "{points:?}"
    );
}

#[test]
fn after_a_long_silence_nothing_old_is_taken_for_new() {
    let mut f: Falling<1> = Falling::default();
    (0..1000).for_each(|s| f.push(s, [5.0]));
    f.push(10_000_000, [1.0]);
    for span in [1, 60, 600, 6000, 200_000] {
        assert_eq!(f.sum(10_000_000, span), [1.0], "{span}");
    }
    // A second that comes late is added to the newest.
    f.push(9_999_990, [2.0]);
    assert_eq!(
        (f.sum(10_000_000, 1), f.newest()),
        ([3.0], Some(10_000_000))
    );
}
