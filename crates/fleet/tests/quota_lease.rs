//! One budget at a time: what is lent, renewed, given back and refused.

use grebecleat_fleet::quota_lease::{
    LeaseMessage, LeaseTerms, QuotaLeases, ReceivedLeaseMessage, WHOLE_LIMIT,
};
use grebecleat_fleet::{HostNumber, Incarnation};
use std::collections::BTreeSet;
use std::time::Duration;

const fn s(n: u64) -> Duration {
    Duration::from_secs(n)
}

const SPANS: LeaseTerms = LeaseTerms {
    duration: s(4),
    margin: s(1),
};
const A: HostNumber = HostNumber(0);
const B: HostNumber = HostNumber(1);

fn sharers(n: u32) -> BTreeSet<HostNumber> {
    (0..n).map(HostNumber).collect()
}

/// A budget of a host that knows what it has lent.
fn budget(me: HostNumber, n: u32) -> QuotaLeases {
    QuotaLeases::new(s(0), me, Incarnation(1), SPANS, sharers(n))
}

fn from(host: HostNumber, incarnation: u64, n: u32, say: LeaseMessage) -> ReceivedLeaseMessage {
    ReceivedLeaseMessage {
        from: host,
        incarnation: Incarnation(incarnation),
        sharers: n,
        say,
    }
}

/// A asks B, and hears the answer; what it borrowed.
fn borrow(a: &mut QuotaLeases, b: &mut QuotaLeases, now: Duration) -> u32 {
    let before = a.leases(now).1;
    a.want(WHOLE_LIMIT);
    for (to, say) in a.tend(now, &[(B, b.spare(now))]) {
        assert_eq!(to, B);
        for (_, say) in b.hear(now, from(A, 1, 2, say)) {
            a.hear(now, from(B, 1, 2, say));
        }
    }
    a.leases(now).1 - before
}

#[test]
fn a_loan_is_renewed_while_it_is_needed_and_runs_out_else() {
    let (mut a, mut b) = (budget(A, 2), budget(B, 2));
    let lent = borrow(&mut a, &mut b, s(10));
    assert!(lent > WHOLE_LIMIT / 3, "{lent}");
    assert_eq!(a.part(s(10)) + b.part(s(10)), WHOLE_LIMIT);
    // Asked for anew in its second half; both sides go by the later end.
    borrow(&mut a, &mut b, s(12));
    assert_eq!(
        (a.part(s(15)), b.part(s(16))),
        (WHOLE_LIMIT / 2 + lent, WHOLE_LIMIT / 2 - lent)
    );
    // Nobody renews it any more: the borrower's end is before the lender's.
    assert_eq!(
        (a.part(s(16)), b.part(s(16))),
        (WHOLE_LIMIT / 2, WHOLE_LIMIT / 2 - lent)
    );
    assert_eq!(b.part(s(17)), WHOLE_LIMIT / 2);
}

#[test]
fn a_lender_that_needs_its_own_part_lets_the_loan_run_out() {
    let (mut a, mut b) = (budget(A, 2), budget(B, 2));
    borrow(&mut a, &mut b, s(10));
    b.want(WHOLE_LIMIT);
    borrow(&mut a, &mut b, s(12));
    assert_eq!(
        (a.part(s(14)), b.part(s(15))),
        (WHOLE_LIMIT / 2, WHOLE_LIMIT / 2)
    );
}

#[test]
fn what_is_not_needed_any_more_is_let_go_of_before_its_lender_hears_it() {
    let (mut a, mut b) = (budget(A, 2), budget(B, 2));
    let lent = borrow(&mut a, &mut b, s(10));
    a.want(0);
    let said = a.tend(s(11), &[]);
    assert_eq!(a.part(s(11)), WHOLE_LIMIT / 2);
    let [(B, home @ LeaseMessage::Release { .. })] = said[..] else {
        panic!("{said:?}")
    };
    assert_eq!(b.part(s(11)), WHOLE_LIMIT / 2 - lent);
    b.hear(s(11), from(A, 1, 2, home));
    assert_eq!(b.part(s(11)), WHOLE_LIMIT / 2);
}

#[test]
fn what_is_refused() {
    let want = LeaseMessage::Request {
        ask: 1,
        loan: 1,
        amount: WHOLE_LIMIT / 4,
    };
    // who says it, in which life, among how many; and whether it is answered
    let cases = [
        ((A, 1, 2), true),
        ((A, 1, 3), false),             // another number of sharers
        ((HostNumber(9), 1, 2), false), // it does not share
        ((B, 1, 2), false),             // oneself
    ];
    for ((who, incarnation, n), answered) in cases {
        let mut b = budget(B, 2);
        let out = b.hear(s(10), from(who, incarnation, n, want));
        assert_eq!(
            !out.is_empty(),
            answered,
            "{who:?} {incarnation} {n}: {out:?}"
        );
    }
    // A former life speaks after a later one.
    let mut b = budget(B, 2);
    b.hear(s(10), from(A, 2, 2, LeaseMessage::Recovered));
    assert!(b.hear(s(10), from(A, 1, 2, want)).is_empty());
    // An answer to something never asked, and one that comes after its loan would have run out.
    let mut a = budget(A, 2);
    a.hear(
        s(10),
        from(
            B,
            1,
            2,
            LeaseMessage::Grant {
                ask: 7,
                of: Incarnation(1),
                amount: WHOLE_LIMIT / 4,
            },
        ),
    );
    assert_eq!(a.part(s(10)), WHOLE_LIMIT / 2);
    a.want(WHOLE_LIMIT);
    let asked = a.tend(s(10), &[(B, WHOLE_LIMIT / 4)]);
    let [(B, LeaseMessage::Request { ask, amount, .. })] = asked[..] else {
        panic!("{asked:?}")
    };
    a.hear(
        s(14),
        from(
            B,
            1,
            2,
            LeaseMessage::Grant {
                ask,
                of: Incarnation(1),
                amount,
            },
        ),
    );
    assert_eq!(a.part(s(14)), WHOLE_LIMIT / 2);
}

#[test]
fn a_host_without_memory_uses_what_is_never_lent_until_all_have_said_that_they_hold_nothing() {
    let mut b = QuotaLeases::new(s(10), B, Incarnation(5), SPANS, sharers(3));
    let little = b.part(s(10));
    assert!(little > 0 && little < WHOLE_LIMIT / 20, "{little}");
    assert_eq!(b.spare(s(10)), 0);
    let said = b.tend(s(10), &[]);
    assert_eq!(
        said,
        [
            (A, LeaseMessage::Recovered),
            (HostNumber(2), LeaseMessage::Recovered)
        ]
    );
    b.hear(
        s(10),
        from(A, 1, 3, LeaseMessage::Cleared { of: Incarnation(5) }),
    );
    b.hear(
        s(10),
        from(
            HostNumber(2),
            1,
            3,
            LeaseMessage::Cleared { of: Incarnation(4) },
        ),
    ); // of another life
    assert_eq!(b.part(s(10)), little);
    b.hear(
        s(10),
        from(
            HostNumber(2),
            1,
            3,
            LeaseMessage::Cleared { of: Incarnation(5) },
        ),
    );
    assert_eq!(b.part(s(10)), WHOLE_LIMIT / 3);
    // Where one never answers, every loan has run out in the end.
    let b = QuotaLeases::new(s(10), B, Incarnation(5), SPANS, sharers(3));
    assert_eq!((b.part(s(14)), b.part(s(15))), (little, WHOLE_LIMIT / 3));
}

#[test]
fn a_borrower_that_hears_of_a_new_incarnation_of_its_lender_holds_nothing_of_the_former() {
    let (mut a, mut b) = (budget(A, 2), budget(B, 2));
    assert!(borrow(&mut a, &mut b, s(10)) > 0);
    let out = a.hear(s(11), from(B, 2, 2, LeaseMessage::Recovered));
    assert_eq!(out, [(B, LeaseMessage::Cleared { of: Incarnation(2) })]);
    assert_eq!(a.part(s(11)), WHOLE_LIMIT / 2);
}

#[test]
fn with_another_number_of_sharers_what_was_borrowed_is_void_and_what_was_lent_is_not() {
    let (mut a, mut b) = (budget(A, 2), budget(B, 2));
    let lent = borrow(&mut a, &mut b, s(10));
    a.shared_by(sharers(3));
    b.shared_by(sharers(3));
    assert_eq!(
        (a.part(s(11)), b.part(s(11))),
        (WHOLE_LIMIT / 3, (WHOLE_LIMIT / 3).saturating_sub(lent))
    );
    // Of a part that is still reckoned among three, what was lent then is as much, by two as well.
    let mut c = budget(B, 3);
    let want = LeaseMessage::Request {
        ask: 1,
        loan: 1,
        amount: WHOLE_LIMIT / 10,
    };
    c.hear(s(10), from(A, 1, 3, want));
    c.shared_by(sharers(2));
    assert_eq!(
        c.part(s(10)),
        WHOLE_LIMIT / 2 - (WHOLE_LIMIT / 10 * 3).div_ceil(2)
    );
}

#[test]
fn a_volume_that_comes_back_in_one_incarnation_takes_no_answer_to_what_it_asked_before() {
    let mut before = budget(A, 2);
    before.want(WHOLE_LIMIT);
    let asked = before.tend(s(10), &[(B, WHOLE_LIMIT / 4)]);
    let [(B, LeaseMessage::Request { ask, amount, .. })] = asked[..] else {
        panic!("{asked:?}")
    };
    let mut after = QuotaLeases::new(s(11), A, Incarnation(1), SPANS, sharers(2));
    after.hear(
        s(11),
        from(B, 1, 2, LeaseMessage::Cleared { of: Incarnation(1) }),
    );
    after.want(WHOLE_LIMIT);
    after.tend(s(11), &[(B, WHOLE_LIMIT / 4)]);
    after.hear(
        s(11),
        from(
            B,
            1,
            2,
            LeaseMessage::Grant {
                ask,
                of: Incarnation(1),
                amount,
            },
        ),
    );
    assert_eq!(after.part(s(11)), WHOLE_LIMIT / 2);
}
