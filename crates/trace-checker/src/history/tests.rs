use super::*;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use BlockAccess::{Read, Swap, Write};

fn operation(from: u64, to: u64, access: BlockAccess) -> Operation {
    let ms = Duration::from_millis;
    Operation {
        from: ms(from),
        to: (to > 0).then(|| ms(to)),
        access,
    }
}

#[test]
fn linearizable_histories_are_accepted_and_others_rejected() {
    let cases: [(&str, Vec<Operation>, Option<usize>); 9] = [
        (
            "writes in sequence, the last one read",
            vec![
                operation(0, 1, Write(1)),
                operation(2, 3, Write(2)),
                operation(4, 5, Read(2)),
            ],
            None,
        ),
        (
            "an overwritten value is read",
            vec![
                operation(0, 1, Write(1)),
                operation(2, 3, Write(2)),
                operation(4, 5, Read(1)),
            ],
            Some(2),
        ),
        (
            "concurrent writes, either may be the last",
            vec![
                operation(0, 9, Write(1)),
                operation(1, 9, Write(2)),
                operation(10, 11, Read(1)),
            ],
            None,
        ),
        (
            "a new value is read, then the old one",
            vec![
                operation(0, 9, Write(1)),
                operation(1, 2, Read(1)),
                operation(3, 4, Read(0)),
            ],
            Some(2),
        ),
        (
            "a write without a response takes effect late",
            vec![
                operation(0, 0, Write(1)),
                operation(1, 2, Read(0)),
                operation(50, 51, Read(1)),
            ],
            None,
        ),
        (
            "a write without a response overwrites a later write, which is then read again",
            vec![
                operation(0, 0, Write(1)),
                operation(2, 3, Write(2)),
                operation(4, 5, Read(2)),
                operation(6, 7, Read(1)),
                operation(8, 9, Read(2)),
            ],
            Some(4),
        ),
        (
            "two writes of one content without responses take effect twice",
            vec![
                operation(0, 0, Write(1)),
                operation(1, 0, Write(1)),
                operation(2, 3, Read(1)),
                operation(4, 5, Write(2)),
                operation(6, 7, Read(1)),
            ],
            None,
        ),
        (
            "a value that was never written is read",
            vec![operation(0, 1, Write(1)), operation(2, 3, Read(9))],
            Some(1),
        ),
        (
            "concurrent COMPARE AND WRITE of one value: only one can succeed",
            vec![
                operation(0, 9, Swap { with: 0, then: 1 }),
                operation(0, 9, Swap { with: 0, then: 2 }),
            ],
            Some(1),
        ),
    ];
    for (what, operations, wrong) in cases {
        let expected = wrong.map_or(HistoryResult::Linearizable, |at| {
            HistoryResult::NotLinearizable { at }
        });
        assert_eq!(check(0, &operations), expected, "{what}");
    }
}

/// Random histories of a correct block, whose commands take effect between their beginnings and
/// ends, are linearizable. They are not once a read of an overwritten value is added.
#[test]
fn a_correct_block_is_linearizable_and_a_stale_read_is_found() {
    for seed in 0..30 {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let (mut value, mut operations) = (0u64, Vec::new());
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
            operations.push(operation(from, if unknown { 0 } else { to }, access));
        }
        assert_eq!(
            check(0, &operations),
            HistoryResult::Linearizable,
            "seed {seed}"
        );
        let mut stale = operations.clone();
        stale.extend([
            operation(2000, 2001, Write(900)),
            operation(2002, 2003, Write(901)),
            operation(2004, 2005, Read(900)),
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
