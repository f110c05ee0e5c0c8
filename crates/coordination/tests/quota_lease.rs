//! Quota leases of one limit: what is granted, renewed, released and rejected.

use grebecleat_coordination::borrowed_leases::{Lender, OutgoingLeaseMessage};
use grebecleat_coordination::lease_message::{
    LeaseMessage, LeaseTerms, ReceivedLeaseMessage, WHOLE_LIMIT,
};
use grebecleat_coordination::quota_lease::QuotaLeases;
use grebecleat_coordination::{HostNumber, Incarnation};
use std::collections::BTreeSet;
use std::time::Duration;

const fn s(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

const TERMS: LeaseTerms = LeaseTerms {
    duration: s(4),
    margin: s(1),
};
const A: HostNumber = HostNumber(0);
const B: HostNumber = HostNumber(1);
const C: HostNumber = HostNumber(2);

fn sharers(count: u32) -> BTreeSet<HostNumber> {
    (0..count).map(HostNumber).collect()
}

/// The leases of a host that knows what it has granted.
fn leases(me: HostNumber, sharer_count: u32) -> QuotaLeases {
    QuotaLeases::new(s(0), me, Incarnation(1), TERMS, sharers(sharer_count))
}

fn received(
    from: HostNumber,
    incarnation: u64,
    sharers: u32,
    message: LeaseMessage,
) -> ReceivedLeaseMessage {
    ReceivedLeaseMessage {
        from,
        incarnation: Incarnation(incarnation),
        sharers,
        message,
    }
}

fn outgoing(to: HostNumber, message: LeaseMessage) -> OutgoingLeaseMessage {
    OutgoingLeaseMessage { to, message }
}

fn lender(host: HostNumber, spare: u32) -> Lender {
    Lender { host, spare }
}

/// A grant to A's first incarnation.
fn grant(request: u64, amount: u32) -> LeaseMessage {
    LeaseMessage::Grant {
        request,
        borrower_incarnation: Incarnation(1),
        amount,
    }
}

fn request(amount: u32) -> LeaseMessage {
    LeaseMessage::Request {
        request: 1,
        lease: 1,
        amount,
    }
}

fn cleared(incarnation: u64) -> LeaseMessage {
    LeaseMessage::Cleared {
        recovered_incarnation: Incarnation(incarnation),
    }
}

/// A requests from B, and receives the grant; returns what it borrowed.
fn borrow(a: &mut QuotaLeases, b: &mut QuotaLeases, now: Duration) -> u32 {
    let before = a.leased(now).borrowed;
    a.set_demand(WHOLE_LIMIT);
    for request in a.run_round(now, &[lender(B, b.spare(now))]) {
        assert_eq!(request.to, B);
        for answer in b.handle_message(now, received(A, 1, 2, request.message)) {
            a.handle_message(now, received(B, 1, 2, answer.message));
        }
    }
    a.leased(now).borrowed - before
}

/// Has the host request a quarter of the limit from B; the number of its only request, and the
/// amount.
fn request_a_quarter(a: &mut QuotaLeases, now: Duration) -> (u64, u32) {
    a.set_demand(WHOLE_LIMIT);
    let sent = a.run_round(now, &[lender(B, WHOLE_LIMIT / 4)]);
    let [OutgoingLeaseMessage {
        to: B,
        message: LeaseMessage::Request {
            request, amount, ..
        },
    }] = sent[..]
    else {
        panic!("{sent:?}")
    };
    (request, amount)
}

#[test]
fn a_lease_is_renewed_while_it_is_needed_and_runs_out_otherwise() {
    let mut a = leases(A, 2);
    let mut b = leases(B, 2);
    let granted = borrow(&mut a, &mut b, s(10));
    assert!(granted > WHOLE_LIMIT / 3, "{granted}");
    assert_eq!(a.quota(s(10)) + b.quota(s(10)), WHOLE_LIMIT);
    // Requested anew in its second half; both sides go by the later end.
    borrow(&mut a, &mut b, s(12));
    assert_eq!(
        (a.quota(s(15)), b.quota(s(16))),
        (WHOLE_LIMIT / 2 + granted, WHOLE_LIMIT / 2 - granted)
    );
    // It is renewed no more: the borrower's end is before the lender's.
    assert_eq!(
        (a.quota(s(16)), b.quota(s(16))),
        (WHOLE_LIMIT / 2, WHOLE_LIMIT / 2 - granted)
    );
    assert_eq!(b.quota(s(17)), WHOLE_LIMIT / 2);
}

#[test]
fn a_lender_that_needs_its_own_quota_lets_the_lease_run_out() {
    let mut a = leases(A, 2);
    let mut b = leases(B, 2);
    borrow(&mut a, &mut b, s(10));
    b.set_demand(WHOLE_LIMIT);
    borrow(&mut a, &mut b, s(12));
    assert_eq!(
        (a.quota(s(14)), b.quota(s(15))),
        (WHOLE_LIMIT / 2, WHOLE_LIMIT / 2)
    );
}

#[test]
fn a_lease_that_is_not_needed_is_dropped_before_its_lender_is_sent_the_release() {
    let mut a = leases(A, 2);
    let mut b = leases(B, 2);
    let granted = borrow(&mut a, &mut b, s(10));
    a.set_demand(0);
    let sent = a.run_round(s(11), &[]);
    assert_eq!(a.quota(s(11)), WHOLE_LIMIT / 2);
    let [OutgoingLeaseMessage {
        to: B,
        message: release @ LeaseMessage::Release { .. },
    }] = sent[..]
    else {
        panic!("{sent:?}")
    };
    assert_eq!(b.quota(s(11)), WHOLE_LIMIT / 2 - granted);
    b.handle_message(s(11), received(A, 1, 2, release));
    assert_eq!(b.quota(s(11)), WHOLE_LIMIT / 2);
}

#[test]
fn requests_of_others_than_present_sharers_and_late_or_unknown_grants_are_rejected() {
    let request = request(WHOLE_LIMIT / 4);
    // the sender, its incarnation, among how many it shares; and whether it is answered
    let cases = [
        ((A, 1, 2), true),
        ((A, 1, 3), false),             // another number of sharers
        ((HostNumber(9), 1, 2), false), // it does not share
        ((B, 1, 2), false),             // oneself
    ];
    for ((from, incarnation, sharers), answered) in cases {
        let mut b = leases(B, 2);
        let out = b.handle_message(s(10), received(from, incarnation, sharers, request));
        assert_eq!(
            !out.is_empty(),
            answered,
            "{from:?} {incarnation} {sharers}: {out:?}"
        );
    }
    // A message of an earlier incarnation arrives after one of a later.
    let mut b = leases(B, 2);
    b.handle_message(s(10), received(A, 2, 2, LeaseMessage::Recovered));
    assert!(b
        .handle_message(s(10), received(A, 1, 2, request))
        .is_empty());
    // A grant of something never requested, and one that comes after its lease would have run out.
    let mut a = leases(A, 2);
    a.handle_message(s(10), received(B, 1, 2, grant(7, WHOLE_LIMIT / 4)));
    assert_eq!(a.quota(s(10)), WHOLE_LIMIT / 2);
    let (request, amount) = request_a_quarter(&mut a, s(10));
    a.handle_message(s(14), received(B, 1, 2, grant(request, amount)));
    assert_eq!(a.quota(s(14)), WHOLE_LIMIT / 2);
}

#[test]
fn a_host_without_memory_uses_only_its_reserve_until_all_sharers_have_sent_cleared() {
    let mut b = QuotaLeases::new(s(10), B, Incarnation(5), TERMS, sharers(3));
    let reserve = b.quota(s(10));
    assert!(reserve > 0 && reserve < WHOLE_LIMIT / 20, "{reserve}");
    assert_eq!(b.spare(s(10)), 0);
    let sent = b.run_round(s(10), &[]);
    assert_eq!(
        sent,
        [
            outgoing(A, LeaseMessage::Recovered),
            outgoing(C, LeaseMessage::Recovered)
        ]
    );
    b.handle_message(s(10), received(A, 1, 3, cleared(5)));
    b.handle_message(s(10), received(C, 1, 3, cleared(4))); // of another incarnation
    assert_eq!(b.quota(s(10)), reserve);
    b.handle_message(s(10), received(C, 1, 3, cleared(5)));
    assert_eq!(b.quota(s(10)), WHOLE_LIMIT / 3);
    // Where one never answers, every lease has run out in the end.
    let b = QuotaLeases::new(s(10), B, Incarnation(5), TERMS, sharers(3));
    assert_eq!((b.quota(s(14)), b.quota(s(15))), (reserve, WHOLE_LIMIT / 3));
}

#[test]
fn a_borrower_that_learns_of_a_new_incarnation_of_its_lender_uses_nothing_of_the_earlier() {
    let mut a = leases(A, 2);
    let mut b = leases(B, 2);
    assert!(borrow(&mut a, &mut b, s(10)) > 0);
    let out = a.handle_message(s(11), received(B, 2, 2, LeaseMessage::Recovered));
    assert_eq!(out, [outgoing(B, cleared(2))]);
    assert_eq!(a.quota(s(11)), WHOLE_LIMIT / 2);
}

#[test]
fn with_another_number_of_sharers_what_was_borrowed_is_void_and_what_was_granted_is_not() {
    let mut a = leases(A, 2);
    let mut b = leases(B, 2);
    let granted = borrow(&mut a, &mut b, s(10));
    a.set_sharers(sharers(3));
    b.set_sharers(sharers(3));
    assert_eq!(
        (a.quota(s(11)), b.quota(s(11))),
        (WHOLE_LIMIT / 3, (WHOLE_LIMIT / 3).saturating_sub(granted))
    );
    // Of a quota that is still applied among three, what was granted then is as much, with two as
    // well.
    let mut b = leases(B, 3);
    b.handle_message(s(10), received(A, 1, 3, request(WHOLE_LIMIT / 10)));
    b.set_sharers(sharers(2));
    assert_eq!(
        b.quota(s(10)),
        WHOLE_LIMIT / 2 - (WHOLE_LIMIT / 10 * 3).div_ceil(2)
    );
}

#[test]
fn a_volume_that_comes_back_in_one_incarnation_takes_no_grant_of_what_it_requested_before() {
    let mut before = leases(A, 2);
    let (request, amount) = request_a_quarter(&mut before, s(10));
    let mut after = QuotaLeases::new(s(11), A, Incarnation(1), TERMS, sharers(2));
    after.handle_message(s(11), received(B, 1, 2, cleared(1)));
    after.set_demand(WHOLE_LIMIT);
    after.run_round(s(11), &[lender(B, WHOLE_LIMIT / 4)]);
    after.handle_message(s(11), received(B, 1, 2, grant(request, amount)));
    assert_eq!(after.quota(s(11)), WHOLE_LIMIT / 2);
}
