//! Service by volume and second, case by case.

use grebecleat_endpoint::accounts::*;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

struct Plain {
    /// Of volumes 1, 2, ...: reservation, limit, weight.
    volumes: Vec<(f64, f64, f64)>,
    capacity: Option<f64>,
}

impl Site for Plain {
    fn terms(&self, volume: u64) -> Option<Terms> {
        let (reservation, limit, weight) = *self.volumes.get((volume as usize).checked_sub(1)?)?;
        Some(Terms {
            plan: format!("p{volume}").into(),
            reservation,
            limit,
            weight,
            price: 1.0,
        })
    }
    fn capacity(&self, _: u32) -> Option<f64> {
        self.capacity
    }
    fn largest(&self) -> f64 {
        4.0
    }
}

const R: f64 = 10.0;

#[test]
fn what_is_due_and_got_in_a_second() {
    type Case = (
        &'static str,
        Plain,
        &'static [(u64, f64, f64, f64)],
        &'static [([f64; 3], [f64; 3], f64)],
    );
    let one = |limit| Plain {
        volumes: vec![(R, limit, 1.0)],
        capacity: Some(100.0),
    };
    let two = |capacity| Plain {
        volumes: vec![(R, 0.0, 1.0), (0.0, 0.0, 3.0)],
        capacity,
    };
    // Volume, asked, in time, late; then of each volume what was due, got and late.
    let cases: [Case; 8] = [
        (
            "inside the reserve",
            one(0.0),
            &[(1, 8.0, 8.0, 0.0)],
            &[([8.0, 0.0, 0.0], [8.0, 0.0, 0.0], 0.0)],
        ),
        // A second of it and one largest transfer lie in a store that was never drawn on.
        (
            "a burst",
            one(0.0),
            &[(1, 20.0, 15.0, 0.0)],
            &[([14.0, 6.0, 0.0], [14.0, 1.0, 0.0], 0.0)],
        ),
        (
            "late takes the worst",
            one(0.0),
            &[(1, 20.0, 2.0, 9.0)],
            &[([14.0, 6.0, 0.0], [2.0, 0.0, 0.0], 9.0)],
        ),
        (
            "more than the node can do",
            one(0.0),
            &[(1, 200.0, 95.0, 0.0)],
            &[([14.0, 76.0, 110.0], [14.0, 76.0, 5.0], 0.0)],
        ),
        (
            "beyond the limit nothing is due",
            one(30.0),
            &[(1, 60.0, 60.0, 0.0)],
            &[([14.0, 46.0, 0.0], [14.0, 46.0, 0.0], 0.0)],
        ),
        (
            "nobody has said what the node can do",
            two(None),
            &[(1, 20.0, 20.0, 0.0), (2, 9.0, 0.0, 0.0)],
            &[
                ([14.0, 0.0, 6.0], [14.0, 0.0, 6.0], 0.0),
                ([0.0, 0.0, 9.0], [0.0; 3], 0.0),
            ],
        ),
        // Of 90, 14 go to the reserve; of the 76 left a quarter and three.
        (
            "shares by weight",
            two(Some(100.0)),
            &[(1, 100.0, 14.0, 0.0), (2, 100.0, 50.0, 0.0)],
            &[
                ([14.0, 19.0, 67.0], [14.0, 0.0, 0.0], 0.0),
                ([0.0, 57.0, 43.0], [0.0, 50.0, 0.0], 0.0),
            ],
        ),
        // What one does not ask for the other may have.
        (
            "shares that are not asked for",
            two(Some(100.0)),
            &[(1, 100.0, 0.0, 0.0), (2, 6.0, 6.0, 0.0)],
            &[
                ([14.0, 70.0, 16.0], [0.0; 3], 0.0),
                ([0.0, 6.0, 0.0], [0.0, 6.0, 0.0], 0.0),
            ],
        ),
    ];
    for (what, site, told, expected) in cases {
        let mut a = Accounts::default();
        told.iter()
            .for_each(|(v, asked, timely, late)| a.add(7, *v, Some(1), *asked, *timely, *late));
        assert_eq!(a.close(8, &site), 1);
        for (i, (due, got, late)) in expected.iter().enumerate() {
            let s = a.volume(i as u64 + 1, 1).unwrap();
            let near = |a: f64, b: f64| (a - b).abs() < 0.01;
            let same = |a: [f64; 3], b: [f64; 3]| a.iter().zip(b).all(|(a, b)| near(*a, b));
            assert!(
                same(s.due, *due) && same(s.got, *got) && near(s.late, *late),
                "{what}: {s:?}"
            );
        }
    }
}

/// The store fills with time, and what comes piece by piece, in any order, from several hosts is one.
#[test]
fn seconds_that_come_in_pieces() {
    let site = Plain {
        volumes: vec![(R, 0.0, 1.0)],
        capacity: Some(40.0),
    };
    for seed in 0..50 {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let (mut whole, mut pieces) = (Accounts::default(), Accounts::default());
        let mut all = Vec::new();
        for second in 100..130 {
            let (asked, cell) = (rng.random_range(0.0..60.0), Some(rng.random_range(1..3)));
            let timely = rng.random_range(0.0..=asked);
            whole.add(second, 1, cell, asked, timely, 0.0);
            all.extend([
                (second, cell, asked, 0.0),
                (second, cell, 0.0, timely / 2.0),
                (second, cell, 0.0, timely / 2.0),
            ]);
        }
        all.shuffle(&mut rng);
        all.iter()
            .for_each(|(s, cell, asked, timely)| pieces.add(*s, 1, *cell, *asked, *timely, 0.0));
        whole.close(120, &site);
        whole.close(130, &site);
        pieces.close(130, &site);
        let (a, b) = (whole.volume(1, 30).unwrap(), pieces.volume(1, 30).unwrap());
        assert!(
            (a.got[RESERVE] - b.got[RESERVE]).abs() < 0.1 && (a.asked() - b.asked()).abs() < 0.1,
            "{seed}"
        );
        assert!(a.due[RESERVE] <= 30.0 * R + 14.0, "{a:?}");
        // What comes for a second that is over is not laid on another one.
        pieces.add(105, 1, None, 0.0, 5.0, 0.0);
        pieces.close(130, &site);
        assert_eq!(
            (pieces.missed(), pieces.volume(1, 30).unwrap().got),
            (5.0, b.got)
        );
    }
}

#[test]
fn more_volumes_than_are_accounted_for() {
    let site = Plain {
        volumes: vec![],
        capacity: None,
    };
    let mut a = Accounts::default();
    for v in 0..MOST as u64 + 10 {
        a.add(v / 1000, v, None, 1.0, 1.0, 0.0);
    }
    a.close(1000, &site);
    assert_eq!(a.volumes().count(), MOST);
    assert!(
        a.volume(5, 1).is_none() && a.volume(MOST as u64 + 9, 1).is_some(),
        "the quietest went"
    );
    let all = a.all(1000).asked();
    assert!((all - (MOST + 10) as f64).abs() < 20.0, "{all}");
}
