use super::*;

const LAYOUT: Layout = Layout {
    block_size: 512,
    extent_blocks: 4,
};
fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

#[test]
fn pieces_cover_a_range_without_a_gap_or_an_overlap() {
    for lba in 0..12 {
        for blocks in 0..20 {
            let (mut at, mut byte) = (0, lba * 512);
            for p in LAYOUT.pieces(lba, blocks) {
                assert_eq!(
                    (p.data_offset, p.extent * 2048 + u64::from(p.offset)),
                    (at, byte)
                );
                assert!(p.length > 0 && p.offset + p.length <= 2048);
                (at, byte) = (at + p.length as usize, byte + u64::from(p.length));
            }
            assert_eq!(at as u64, blocks * 512);
        }
    }
}

#[test]
fn the_outcome_is_that_of_the_worst_piece_and_is_returned_with_the_last() {
    let completed = || RequestOutcome::Completed(Bytes::new());
    let rejected = |n| RequestOutcome::Rejected {
        retry_after: Some(ms(n)),
        may_still_apply: false,
    };
    let failed = || RequestOutcome::Failed {
        may_still_apply: true,
    };
    let cases = [
        (
            vec![completed(), completed(), completed()],
            Status::Good,
            None,
        ),
        (
            vec![completed(), rejected(200), rejected(90)],
            Status::Busy,
            Some(ms(200)),
        ),
        (
            vec![
                RequestOutcome::Rejected {
                    retry_after: None,
                    may_still_apply: false,
                },
                completed(),
                completed(),
            ],
            Status::Busy,
            None,
        ),
        (
            vec![rejected(200), failed(), completed()],
            Status::CheckCondition,
            None,
        ),
    ];
    for (outcomes, status, retry_after) in cases {
        let mut g = OutcomeCollector::new(LAYOUT.pieces(2, 8).collect(), false);
        let last = outcomes.len() - 1;
        for (i, a) in outcomes.into_iter().enumerate() {
            let command_outcome = g.add(i, a);
            assert_eq!(command_outcome.is_some(), i == last);
            if let Some(w) = command_outcome {
                assert_eq!((w.outcome.status, w.retry_after), (status, retry_after));
            }
        }
        assert_eq!(
            g.add(0, failed()),
            None,
            "a second outcome of a piece is ignored"
        );
    }
}

#[test]
fn a_read_is_assembled_and_unwritten_blocks_are_zeroes() {
    let mut g = OutcomeCollector::new(LAYOUT.pieces(3, 6).collect(), true);
    assert!(g
        .add(2, RequestOutcome::Completed(Bytes::from(vec![3; 512])))
        .is_none());
    assert!(g
        .add(0, RequestOutcome::Completed(Bytes::from(vec![1; 512])))
        .is_none());
    let command_outcome = g
        .add(1, RequestOutcome::Completed(Bytes::from(vec![2; 100])))
        .unwrap();
    let d = command_outcome.outcome.data;
    assert_eq!(
        (d.len(), d[0], d[512], d[611], d[612], d[2560]),
        (3072, 1, 2, 2, 0, 3)
    );
}
