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
                assert_eq!((p.at, p.extent * 2048 + u64::from(p.offset)), (at, byte));
                assert!(p.length > 0 && p.offset + p.length <= 2048);
                (at, byte) = (at + p.length as usize, byte + u64::from(p.length));
            }
            assert_eq!(at as u64, blocks * 512);
        }
    }
}

#[test]
fn the_command_is_what_its_worst_piece_is_and_only_when_the_last_is_in() {
    let done = || RequestOutcome::Completed(Bytes::new());
    let deferred = |n| RequestOutcome::Rejected {
        retry_after: Some(ms(n)),
        may_still_apply: false,
    };
    let lost = || RequestOutcome::Failed {
        may_still_apply: true,
    };
    let cases = [
        (vec![done(), done(), done()], Status::Good, None),
        (
            vec![done(), deferred(200), deferred(90)],
            Status::Busy,
            Some(ms(200)),
        ),
        (
            vec![
                RequestOutcome::Rejected {
                    retry_after: None,
                    may_still_apply: false,
                },
                done(),
                done(),
            ],
            Status::Busy,
            None,
        ),
        (
            vec![deferred(200), lost(), done()],
            Status::CheckCondition,
            None,
        ),
    ];
    for (answers, status, retry_after) in cases {
        let mut g = Gather::new(LAYOUT.pieces(2, 8).collect(), false);
        let last = answers.len() - 1;
        for (i, a) in answers.into_iter().enumerate() {
            let whole = g.take(i, a);
            assert_eq!(whole.is_some(), i == last);
            if let Some(w) = whole {
                assert_eq!((w.outcome.status, w.retry_after), (status, retry_after));
            }
        }
        assert_eq!(g.take(0, lost()), None, "answered once");
    }
}

#[test]
fn a_read_is_put_together_and_what_nobody_wrote_is_zeroes() {
    let mut g = Gather::new(LAYOUT.pieces(3, 6).collect(), true);
    assert!(g
        .take(2, RequestOutcome::Completed(Bytes::from(vec![3; 512])))
        .is_none());
    assert!(g
        .take(0, RequestOutcome::Completed(Bytes::from(vec![1; 512])))
        .is_none());
    let whole = g
        .take(1, RequestOutcome::Completed(Bytes::from(vec![2; 100])))
        .unwrap();
    let d = whole.outcome.data;
    assert_eq!(
        (d.len(), d[0], d[512], d[611], d[612], d[2560]),
        (3072, 1, 2, 2, 0, 3)
    );
}
