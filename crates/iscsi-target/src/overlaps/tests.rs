use super::*;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

fn range(start: u64, end: u64, writes: bool) -> Range {
    Range {
        start,
        end,
        writes,
        reads: !writes,
    }
}

#[test]
fn reads_run_concurrently_and_overlapping_writes_keep_the_order_of_arrival() {
    let mut o = Overlaps::default();
    assert!(o.open(1, range(0, 8, false)) && o.open(2, range(4, 12, false)));
    assert!(
        !o.open(3, range(10, 20, true)),
        "waits for the read of blocks 10 and 11"
    );
    assert!(
        !o.open(4, range(18, 19, false)),
        "waits for the write that itself waits"
    );
    assert!(
        o.open(5, range(20, 30, true)),
        "adjacent ranges do not overlap"
    );
    assert!(o.close(1).is_empty());
    assert_eq!(o.close(2), [3]);
    assert_eq!(o.close(3), [4]);
    assert!(
        o.close(4).is_empty() && o.close(5).is_empty() && o.is_empty() && o.close(5).is_empty()
    );
}

#[test]
fn writes_do_not_wait_for_a_late_write_and_reads_wait_until_it_is_covered_or_closed() {
    let mut o = Overlaps::default();
    let both = Range {
        reads: true,
        ..range(0, 6, true)
    };
    assert!(o.open(1, range(0, 8, true)));
    assert!(!o.open(2, range(2, 4, false)) && !o.open(3, range(0, 4, true)) && !o.open(4, both));
    assert!(
        o.set_late(1).is_empty(),
        "the write waits for the read of its blocks"
    );
    assert!(o.open(5, range(6, 8, true)) && !o.open(6, range(7, 9, false)));
    assert!(
        o.close_covering(5).is_empty(),
        "the late write is not covered completely"
    );
    assert_eq!(
        o.close(1),
        [2, 6],
        "after the late write is closed the reads start"
    );
    assert_eq!(
        (o.close(2), o.close(3), o.close(4)),
        (vec![3], vec![4], vec![])
    );
    o.close(6);
    // A later write that completes covers the late one, and the read that waited for both starts.
    assert!(o.open(10, range(0, 4, true)) && !o.open(11, range(0, 8, true)));
    assert_eq!(o.set_late(10), [11]);
    assert!(!o.open(12, range(1, 2, false)));
    assert_eq!(o.close_covering(11), [12]);
    assert!(
        o.close(10).is_empty() && o.close(12).is_empty() && o.is_empty(),
        "no late write is left"
    );
}

#[test]
fn the_order_equals_that_of_a_linear_search() {
    for seed in 0..200 {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let (mut o, mut plain, mut running) =
            (Overlaps::default(), Vec::<(u64, Range)>::new(), Vec::new());
        let may_go = |plain: &[(u64, Range)], at: usize| {
            plain[..at]
                .iter()
                .all(|e| !e.1.conflicts_with(&plain[at].1))
        };
        for no in 0..120 {
            if rng.random_range(0..3) > 0 || running.is_empty() {
                let start = rng.random_range(0..60);
                let r = range(start, start + rng.random_range(1..12), rng.random());
                plain.push((no, r));
                let go = o.open(no, r);
                assert_eq!(go, may_go(&plain, plain.len() - 1), "seed {seed}");
                running.extend(go.then_some(no));
            } else {
                let done = running.swap_remove(rng.random_range(0..running.len()));
                plain.retain(|e| e.0 != done);
                running.extend(o.close(done));
            }
            let mut expected: Vec<u64> = (0..plain.len())
                .filter(|i| may_go(&plain, *i))
                .map(|i| plain[i].0)
                .collect();
            running.sort_unstable();
            expected.sort_unstable();
            assert_eq!(running, expected, "seed {seed}");
        }
    }
}

#[test]
fn a_lookup_visits_nearby_ranges_and_not_all_that_are_open() {
    let mut o = Overlaps::default();
    (0..10_000).for_each(|n| assert!(o.open(n, range(n * 100, n * 100 + 8, true))));
    o.visited = 0;
    (0..1000).for_each(|n| assert!(o.open(10_000 + n, range(n * 1000 + 50, n * 1000 + 58, true))));
    assert!(
        o.visited < 2000,
        "{} ranges looked at; a plain list looks at 10,000,000",
        o.visited
    );
}
