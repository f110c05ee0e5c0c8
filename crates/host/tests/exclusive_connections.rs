//! Tests of connections that carry one attempt at a time, and of a discovery service that moves to another
//! address. Attempts, connections and calls end while a response is still pending.

mod common;

use common::{ms, Rig, CLIENT};
use grebecleat_host::router::{ConnId, Input, OpenWork};
use grebecleat_wire::pb::{self, frame::Body};
use pb::EndpointUpdateKind::{Delta, Snapshot};
use pb::NodeState::{Draining, Ready};
use pb::Outcome::{Completed, Failed, Rejected};

/// The node has received a part of the attempt, and would receive and run the rest as soon as it reads
/// again.
#[test]
fn the_connection_of_a_partly_written_attempt_is_closed_whatever_ends_the_attempt() {
    type Case = (&'static str, fn(&mut Rig), &'static [(u8, pb::Outcome)]);
    let cases: [Case; 4] = [
        ("its request is cancelled", |rig| rig.cancel(1), &[]),
        (
            "its client disconnects",
            |rig| rig.step(vec![Input::ClientGone { conn: CLIENT }]),
            &[],
        ),
        (
            "its node drains",
            |rig| rig.list_endpoints(&[(1, Draining), (2, Ready)]),
            &[(1, Rejected)],
        ),
        (
            "its deadline passes",
            |rig| rig.advance(ms(2000)),
            &[(1, Rejected)],
        ),
    ];
    for (case, end, outcomes) in cases {
        for written_completely in [false, true] {
            let mut rig = Rig::with_exclusive_connections("");
            rig.submit(1, 1);
            let conn = rig.connect();
            let outbox = rig.outboxes[&conn].clone();
            assert_eq!(outbox.take_batch(|| rig.now, usize::MAX).frames.len(), 1);
            if written_completely {
                outbox.batch_written();
            }
            end(&mut rig);
            if written_completely {
                // The connection of a completely written attempt is closed only when the deadline passes.
                assert_eq!(outbox.is_closed(), case == "its deadline passes", "{case}");
                continue;
            }
            assert!(outbox.is_closed(), "{case}");
            assert_eq!(
                (rig.router.counters().unsent, rig.router.open_work()),
                (1, OpenWork::default()),
                "{case}"
            );
            assert_eq!(rig.outcomes(), outcomes, "{case}: it never ran");
        }
    }
}

/// A node may close an idle connection just as an attempt is assigned to it. This must not count as a
/// failure of the node.
#[test]
fn an_attempt_assigned_to_an_ended_connection_is_reassigned_once() {
    let mut rig = Rig::with_exclusive_connections("legs(most = 2)");
    rig.submit(1, 1);
    let conn = rig.connect();
    let attempt = rig.attempts(conn)[0].attempt;
    rig.respond(conn, attempt, pb::Result::Ok);
    assert_eq!(rig.outcomes(), [(1, Completed)]);
    rig.advance(ms(100));
    rig.submit(2, 1);
    // The attempt is in the outbox, and the connection ends before the attempt is written.
    rig.step(vec![Input::NodeGone { conn }]);
    assert_eq!((rig.outcomes(), rig.dials.len()), (vec![], 2));
    let second = rig.connect();
    assert!(second != conn && rig.is_closed(conn));
    // The second time the scheduler learns of it, because a node that accepts and closes connections is
    // not healthy.
    rig.step(vec![Input::NodeGone { conn: second }]);
    rig.advance(ms(200));
    let third = rig.connect();
    let attempts = rig.attempts(third);
    let numbers = attempts.iter().map(|it| (it.id[0], it.number));
    assert_eq!(numbers.collect::<Vec<_>>(), [(2, 1)], "another attempt");
    // This attempt was written completely, so it may have run.
    rig.step(vec![Input::NodeGone { conn: third }]);
    assert_eq!(rig.outcomes(), [(2, Failed)]);
}

/// Without the reuse delay, a duplicate of a response would be taken for the response to the next attempt.
#[test]
fn a_connection_has_a_reuse_delay_after_a_response_so_that_a_duplicate_finds_no_attempt() {
    for duplicated in [false, true] {
        let mut rig = Rig::with_exclusive_connections("");
        rig.submit(1, 1);
        let conn = rig.connect();
        let attempt = rig.attempts(conn)[0].attempt;
        rig.respond(conn, attempt, pb::Result::Ok);
        rig.submit(2, 1);
        assert_eq!(
            (
                rig.outcomes().len(),
                rig.attempts(conn).len(),
                rig.dials.len()
            ),
            (1, 0, 1)
        );
        if duplicated {
            // A response for which no attempt waits ends the connection.
            rig.step(vec![Input::NodeGone { conn }]);
        }
        rig.advance(ms(10));
        let conn = if duplicated { rig.connect() } else { conn };
        let attempts = rig.attempts(conn);
        assert_eq!(
            (attempts.len(), attempts[0].id[0], rig.dials.len()),
            (1, 2, 1 + usize::from(duplicated))
        );
        rig.respond(conn, attempts[0].attempt, pb::Result::Ok);
        assert_eq!(
            (rig.outcomes(), rig.router.counters().stray_responses),
            (vec![(2, Completed)], 0)
        );
    }
}

#[test]
fn an_attempt_does_not_wait_for_a_reuse_delay_while_another_connection_is_busy() {
    let mut rig = Rig::with_exclusive_connections("");
    rig.submit(1, 0);
    let busy = rig.connect();
    assert_eq!(rig.attempts(busy).len(), 1);
    rig.submit(2, 0);
    let not_reusable = rig.connect();
    let attempt = rig.attempts(not_reusable)[0].attempt;
    rig.respond(not_reusable, attempt, pb::Result::Ok);
    rig.submit(3, 0);
    assert_eq!(rig.dials.len(), 3);
    let third = rig.connect();
    assert_eq!(
        (rig.attempts(not_reusable).len(), rig.attempts(third).len()),
        (0, 1)
    );
}

#[test]
fn the_former_discovery_is_read_until_the_new_one_has_responded() {
    let mut rig = Rig::with_exclusive_connections("");
    let old = rig.connect_discovery();
    rig.discovery_sends(old, Snapshot, &[(1, Ready), (2, Ready)]);
    rig.step(vec![Input::DiscoveryMoved]);
    let new = rig.connect_discovery();
    assert!(new != old && !rig.is_closed(old));
    // Until the new discovery has responded to its call, an update of the old one is applied.
    rig.discovery_sends(old, Delta, &[(1, Draining)]);
    rig.submit(1, 1);
    assert_eq!((rig.outcomes(), rig.dials.len()), (vec![(1, Rejected)], 0));
    rig.discovery_sends(new, Snapshot, &[(1, Ready), (2, Draining)]);
    assert!(rig.is_closed(old));
    // From now on, updates of the old one are ignored.
    rig.discovery_sends(old, Delta, &[(1, Draining)]);
    rig.advance(ms(500)); // a node that is back receives attempts after a delay
    rig.submit(2, 1);
    assert_eq!((rig.outcomes(), rig.dials.len()), (vec![], 1));
}

#[test]
fn a_discovery_that_moved_is_dialled_without_the_backoff_of_the_former() {
    let mut rig = Rig::with_exclusive_connections("");
    let gone = |rig: &mut Rig, conn: ConnId| rig.step(vec![Input::DiscoveryGone { conn }]);
    for _ in 0..8 {
        let conn = rig.connect_discovery();
        gone(&mut rig, conn);
    }
    rig.step(vec![Input::DiscoveryMoved]);
    let (at, conn) = *rig.discovery_dials.last().unwrap();
    assert_eq!(at, rig.now, "dialled at once");
    rig.new_outbox(conn);
    gone(&mut rig, conn);
    rig.connect_discovery();
    let waited = rig.discovery_dials.last().unwrap().0 - at;
    assert!(
        waited <= ms(600),
        "waited {waited:?}, longer than after a first failure"
    );
}

/// The connections to a node are useless once the endpoint list reports another process, or the node as
/// gone.
#[test]
fn idle_connections_are_closed_when_their_process_is_replaced() {
    for state in [Ready, pb::NodeState::Gone] {
        let mut rig = Rig::with_exclusive_connections("");
        rig.submit(1, 1);
        let conn = rig.connect();
        let attempt = rig.attempts(conn)[0].attempt;
        rig.respond(conn, attempt, pb::Result::Ok);
        rig.restart_node_1(state);
        assert!(rig.is_closed(conn), "{state:?}");
    }
}

/// If a dial succeeds only after its request has ended, its node has left or its process was replaced, no
/// attempt must be written on its connection.
#[test]
fn a_dial_that_succeeds_late_carries_no_outdated_attempt() {
    type Case = (&'static str, fn(&mut Rig), bool);
    let cases: [Case; 4] = [
        ("its request is cancelled", |rig| rig.cancel(1), false),
        (
            "its node drains",
            |rig| rig.list_endpoints(&[(1, Draining), (2, Ready)]),
            false,
        ),
        (
            "its node has left",
            |rig| rig.list_endpoints(&[(2, Ready)]),
            false,
        ),
        (
            "its process is replaced",
            |rig| rig.restart_node_1(Ready),
            true,
        ),
    ];
    for (case, end, closed) in cases {
        let mut rig = Rig::with_exclusive_connections("");
        rig.submit(1, 1);
        let late = rig.dials[0].0;
        end(&mut rig);
        if closed {
            rig.advance(ms(500)); // a node that is back receives attempts after a delay
            rig.submit(2, 1);
            assert_eq!(rig.dials.len(), 2, "{case}: another dial");
        }
        rig.connect_node(late);
        assert_eq!(
            (rig.attempts(late).len(), rig.is_closed(late)),
            (0, closed),
            "{case}"
        );
    }
}

#[test]
fn an_open_watch_is_not_requested_again() {
    let mut rig = Rig::with_exclusive_connections("");
    let conn = rig.connect_discovery();
    rig.step(vec![Input::DiscoveryGone { conn }]);
    // Discovery moves before the scheduler calls again, and is called at once.
    rig.step(vec![Input::DiscoveryMoved]);
    let conn = rig.connect_discovery();
    rig.discovery_sends(conn, Snapshot, &[(1, Ready), (2, Ready)]);
    rig.advance(ms(2900));
    assert!(
        !rig.is_closed(conn),
        "the watch stays open, because its transport bounds the time of a call"
    );
}

/// The id of a request must not be reused while its attempt is outstanding.
#[test]
fn a_cancelled_request_stays_open_until_its_attempt_has_ended() {
    let mut rig = Rig::with_exclusive_connections("");
    rig.submit(1, 1);
    let conn = rig.connect();
    let attempt = rig.attempts(conn)[0].attempt;
    rig.cancel(1);
    assert!(rig.router.is_open(&[1; 36]));
    let response = pb::AttemptResponse {
        attempt,
        ..Default::default()
    };
    rig.receive(conn, Body::AttemptResponse(response));
    assert!(!rig.router.is_open(&[1; 36]));
}

/// When a third of all dials succeeded late, all attempts of a host to the affected nodes waited behind
/// one dial each.
#[test]
fn another_dial_is_made_beside_a_late_one() {
    let mut rig = Rig::with_exclusive_connections("");
    rig.submit(1, 1);
    rig.advance(ms(15));
    assert_eq!(rig.dials.len(), 1, "a normal handshake is not late yet");
    rig.advance(ms(10));
    rig.advance(ms(25));
    assert_eq!(rig.dials.len(), 3, "another dial beside each late one");
    rig.advance(ms(100));
    assert_eq!(
        rig.dials.len(),
        3,
        "no further dial, because the node may be the cause"
    );
    let conn = rig.connect();
    assert_eq!((rig.attempts(conn).len(), rig.outcomes()), (1, vec![]));
    // The first dial succeeds late, and its connection carries the next attempt.
    let late = rig.dials[0].0;
    rig.connect_node(late);
    rig.submit(2, 1);
    assert_eq!((rig.attempts(late).len(), rig.dials.len()), (1, 3));
    // After a failed dial, another one beside a late dial would be no more likely to succeed.
    let mut rig = Rig::with_exclusive_connections("");
    rig.submit(1, 1);
    let conn = rig.dials[0].0;
    rig.step(vec![Input::NodeGone { conn }]);
    rig.submit(2, 1);
    rig.advance(ms(30));
    let dials = rig.dials.len();
    rig.advance(ms(200));
    assert_eq!(rig.dials.len(), dials, "no second dial beside a late one");
}

/// An overdue call that is answered becomes the current call again, and the call that replaced it is
/// closed.
#[test]
fn an_overdue_call_that_is_answered_replaces_the_later_one() {
    let mut rig = Rig::with_exclusive_connections("");
    let first = rig.connect_discovery();
    rig.discovery_sends(first, Snapshot, &[(1, Ready), (2, Ready)]);
    rig.step(vec![Input::DiscoveryOverdue { conn: first }]);
    let second = rig.connect_discovery();
    assert!(!rig.is_closed(first), "it is still read");
    rig.discovery_sends(first, Delta, &[(1, Draining)]);
    let closed = [first, second].map(|conn| rig.is_closed(conn));
    assert_eq!(closed, [false, true]);
    rig.submit(1, 1);
    assert_eq!((rig.outcomes(), rig.dials.len()), (vec![(1, Rejected)], 0));
}
