//! Tests of the quota leases of one limit: which leases are granted, renewed, released and rejected.

mod common;

use common::sharers;
use grebecleat_coordination::borrowed_leases::{Lender, OutgoingLeaseMessage};
use grebecleat_coordination::lease_message::{
    LeaseMessage, LeaseTerms, ReceivedLeaseMessage, FULL_LIMIT,
};
use grebecleat_coordination::quota_lease::QuotaLeases;
use grebecleat_coordination::{HostNumber, Incarnation};
use std::time::Duration;

/// Returns a duration in seconds.
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

/// Returns the leases of a host that started at time 0. From 5 seconds on it knows its granted leases.
fn leases(me: HostNumber, sharer_count: usize) -> QuotaLeases {
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

/// Returns a grant to A's first incarnation.
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
        recovering_incarnation: Incarnation(incarnation),
    }
}

/// Makes A request a lease from B and receive the grant. Returns the amount that A has borrowed in addition.
fn borrow(a: &mut QuotaLeases, b: &mut QuotaLeases, now: Duration) -> u32 {
    let before = a.leased(now).borrowed;
    a.set_demand(FULL_LIMIT);
    for request in a.run_round(now, &[lender(B, b.spare(now))]) {
        assert_eq!(request.to, B);
        for answer in b.handle_message(now, received(A, 1, 2, request.message)) {
            a.handle_message(now, received(B, 1, 2, answer.message));
        }
    }
    a.leased(now).borrowed - before
}

/// Makes A request a quarter of the limit from B. Returns the number and the amount of its only request.
fn request_a_quarter(a: &mut QuotaLeases, now: Duration) -> (u64, u32) {
    a.set_demand(FULL_LIMIT);
    let sent = a.run_round(now, &[lender(B, FULL_LIMIT / 4)]);
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
fn a_lease_is_renewed_while_it_is_needed_and_expires_otherwise() {
    let mut a = leases(A, 2);
    let mut b = leases(B, 2);
    let granted = borrow(&mut a, &mut b, s(10));
    assert!(granted > FULL_LIMIT / 3, "{granted}");
    assert_eq!(a.quota(s(10)) + b.quota(s(10)), FULL_LIMIT);
    // A renews the lease in its second half. The lease then expires later on both sides.
    borrow(&mut a, &mut b, s(12));
    assert_eq!(
        (a.quota(s(15)), b.quota(s(16))),
        (FULL_LIMIT / 2 + granted, FULL_LIMIT / 2 - granted)
    );
    // A does not renew it again. It expires for the borrower before it expires for the lender.
    assert_eq!(
        (a.quota(s(16)), b.quota(s(16))),
        (FULL_LIMIT / 2, FULL_LIMIT / 2 - granted)
    );
    assert_eq!(b.quota(s(17)), FULL_LIMIT / 2);
}

#[test]
fn a_lender_that_needs_its_own_quota_lets_the_lease_expire() {
    let mut a = leases(A, 2);
    let mut b = leases(B, 2);
    borrow(&mut a, &mut b, s(10));
    b.set_demand(FULL_LIMIT);
    borrow(&mut a, &mut b, s(12));
    assert_eq!(
        (a.quota(s(14)), b.quota(s(15))),
        (FULL_LIMIT / 2, FULL_LIMIT / 2)
    );
}

#[test]
fn a_borrower_drops_an_unneeded_lease_before_it_sends_the_release() {
    let mut a = leases(A, 2);
    let mut b = leases(B, 2);
    let granted = borrow(&mut a, &mut b, s(10));
    a.set_demand(0);
    let sent = a.run_round(s(11), &[]);
    assert_eq!(a.quota(s(11)), FULL_LIMIT / 2);
    let [OutgoingLeaseMessage {
        to: B,
        message: release @ LeaseMessage::Release { .. },
    }] = sent[..]
    else {
        panic!("{sent:?}")
    };
    assert_eq!(b.quota(s(11)), FULL_LIMIT / 2 - granted);
    b.handle_message(s(11), received(A, 1, 2, release));
    assert_eq!(b.quota(s(11)), FULL_LIMIT / 2);
}

#[test]
fn requests_of_hosts_that_do_not_share_and_late_or_unknown_grants_are_rejected() {
    let request = request(FULL_LIMIT / 4);
    // Each case: the sender, its incarnation and its number of sharers, and whether it receives an answer.
    let cases = [
        ((A, 1, 2), true),
        ((A, 1, 3), false),             // another number of sharers
        ((HostNumber(9), 1, 2), false), // not a sharer
        ((B, 1, 2), false),             // the host itself
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
    // A message of an earlier incarnation arrives after one of a later incarnation.
    let mut b = leases(B, 2);
    b.handle_message(s(10), received(A, 2, 2, LeaseMessage::Recovering));
    assert!(b
        .handle_message(s(10), received(A, 1, 2, request))
        .is_empty());
    // A grant without a request, and a grant that arrives after its lease has expired.
    let mut a = leases(A, 2);
    a.handle_message(s(10), received(B, 1, 2, grant(7, FULL_LIMIT / 4)));
    assert_eq!(a.quota(s(10)), FULL_LIMIT / 2);
    let (request, amount) = request_a_quarter(&mut a, s(10));
    a.handle_message(s(14), received(B, 1, 2, grant(request, amount)));
    assert_eq!(a.quota(s(14)), FULL_LIMIT / 2);
}

#[test]
fn a_restarted_host_uses_only_its_reserve_until_all_sharers_have_sent_cleared() {
    let mut b = QuotaLeases::new(s(10), B, Incarnation(5), TERMS, sharers(3));
    let reserve = b.quota(s(10));
    assert!(reserve > 0 && reserve < FULL_LIMIT / 20, "{reserve}");
    assert_eq!(b.spare(s(10)), 0);
    let sent = b.run_round(s(10), &[]);
    assert_eq!(
        sent,
        [
            outgoing(A, LeaseMessage::Recovering),
            outgoing(C, LeaseMessage::Recovering)
        ]
    );
    b.handle_message(s(10), received(A, 1, 3, cleared(5)));
    b.handle_message(s(10), received(C, 1, 3, cleared(4))); // of another incarnation
    assert_eq!(b.quota(s(10)), reserve);
    b.handle_message(s(10), received(C, 1, 3, cleared(5)));
    assert_eq!(b.quota(s(10)), FULL_LIMIT / 3);
    // If a sharer never answers, the host recovers when all leases of its earlier incarnations have expired.
    let b = QuotaLeases::new(s(10), B, Incarnation(5), TERMS, sharers(3));
    assert_eq!((b.quota(s(14)), b.quota(s(15))), (reserve, FULL_LIMIT / 3));
}

#[test]
fn a_borrower_drops_leases_of_an_earlier_incarnation_of_its_lender() {
    let mut a = leases(A, 2);
    let mut b = leases(B, 2);
    assert!(borrow(&mut a, &mut b, s(10)) > 0);
    let out = a.handle_message(s(11), received(B, 2, 2, LeaseMessage::Recovering));
    assert_eq!(out, [outgoing(B, cleared(2))]);
    assert_eq!(a.quota(s(11)), FULL_LIMIT / 2);
}

#[test]
fn a_new_number_of_sharers_ends_borrowed_leases_but_not_granted_ones() {
    let mut a = leases(A, 2);
    let mut b = leases(B, 2);
    let granted = borrow(&mut a, &mut b, s(10));
    a.set_sharers(sharers(3));
    b.set_sharers(sharers(3));
    assert_eq!(
        (a.quota(s(11)), b.quota(s(11))),
        (FULL_LIMIT / 3, (FULL_LIMIT / 3).saturating_sub(granted))
    );
    // A lease that was granted among three sharers is a larger fraction among two, since the host may still
    // apply the base quota for three.
    let mut b = leases(B, 3);
    b.handle_message(s(10), received(A, 1, 3, request(FULL_LIMIT / 10)));
    b.set_sharers(sharers(2));
    assert_eq!(
        b.quota(s(10)),
        FULL_LIMIT / 2 - (FULL_LIMIT / 10 * 3).div_ceil(2)
    );
}

#[test]
fn a_volume_that_is_added_again_ignores_grants_to_its_former_requests() {
    let mut before = leases(A, 2);
    let (request, amount) = request_a_quarter(&mut before, s(10));
    let mut after = QuotaLeases::new(s(11), A, Incarnation(1), TERMS, sharers(2));
    after.handle_message(s(11), received(B, 1, 2, cleared(1)));
    after.set_demand(FULL_LIMIT);
    after.run_round(s(11), &[lender(B, FULL_LIMIT / 4)]);
    after.handle_message(s(11), received(B, 1, 2, grant(request, amount)));
    assert_eq!(after.quota(s(11)), FULL_LIMIT / 2);
}
