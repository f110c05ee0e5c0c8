use super::*;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use BlockAccess::{Read, Swap, Write};

fn op(from: u64, to: u64, access: BlockAccess) -> Operation {
    let ms = Duration::from_millis;
    Operation {
        from: ms(from),
        to: (to > 0).then(|| ms(to)),
        access,
    }
}

#[test]
fn histories_that_can_and_cannot_be() {
    let cases: [(&str, Vec<Operation>, Option<usize>); 9] = [
        (
            "one after the other",
            vec![op(0, 1, Write(1)), op(2, 3, Write(2)), op(4, 5, Read(2))],
            None,
        ),
        (
            "the old value comes back",
            vec![op(0, 1, Write(1)), op(2, 3, Write(2)), op(4, 5, Read(1))],
            Some(2),
        ),
        (
            "two at once, either last",
            vec![op(0, 9, Write(1)), op(1, 9, Write(2)), op(10, 11, Read(1))],
            None,
        ),
        (
            "seen, then gone again",
            vec![op(0, 9, Write(1)), op(1, 2, Read(1)), op(3, 4, Read(0))],
            Some(2),
        ),
        (
            "nobody knows, and it shows late",
            vec![op(0, 0, Write(1)), op(1, 2, Read(0)), op(50, 51, Read(1))],
            None,
        ),
        (
            "the late write: over a newer one that was answered",
            vec![
                op(0, 0, Write(1)),
                op(2, 3, Write(2)),
                op(4, 5, Read(2)),
                op(6, 7, Read(1)),
                op(8, 9, Read(2)),
            ],
            Some(4),
        ),
        (
            "unanswered twice with the same content: may show twice",
            vec![
                op(0, 0, Write(1)),
                op(1, 0, Write(1)),
                op(2, 3, Read(1)),
                op(4, 5, Write(2)),
                op(6, 7, Read(1)),
            ],
            None,
        ),
        (
            "from nowhere",
            vec![op(0, 1, Write(1)), op(2, 3, Read(9))],
            Some(1),
        ),
        (
            "compared and written: one of two",
            vec![
                op(0, 9, Swap { with: 0, then: 1 }),
                op(0, 9, Swap { with: 0, then: 2 }),
            ],
            Some(1),
        ),
    ];
    for (what, ops, wrong) in cases {
        let expected = wrong.map_or(HistoryResult::Linearizable, |at| {
            HistoryResult::NotLinearizable { at }
        });
        assert_eq!(check(0, &ops), expected, "{what}");
    }
}

/// A block that does what it should, with commands that take effect somewhere inside their time:
/// always in order, and never once a read is made to have seen what was long overwritten.
#[test]
fn a_true_block_is_in_order_and_a_stale_read_is_not() {
    for seed in 0..30 {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let (mut value, mut ops) = (0u64, Vec::new());
        for n in 0..60u64 {
            let moment = n * 10;
            let (from, to) = (
                moment.saturating_sub(rng.random_range(0..25)),
                moment + rng.random_range(1..25),
            );
            let access = if rng.random() {
                Write(n + 1)
            } else {
                Read(value)
            };
            if let Write(v) = access {
                value = v;
            }
            let unknown = matches!(access, Write(_)) && rng.random_range(0..6) == 0;
            ops.push(op(from, if unknown { 0 } else { to }, access));
        }
        assert_eq!(check(0, &ops), HistoryResult::Linearizable, "seed {seed}");
        let mut stale = ops.clone();
        stale.extend([
            op(2000, 2001, Write(900)),
            op(2002, 2003, Write(901)),
            op(2004, 2005, Read(900)),
        ]);
        assert_eq!(
            check(0, &stale),
            HistoryResult::NotLinearizable {
                at: stale.len() - 1
            },
            "seed {seed}"
        );
    }
}
