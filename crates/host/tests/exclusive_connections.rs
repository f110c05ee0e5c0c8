//! Attempts, connections and lists that end while something is still owed: where a connection
//! carries one attempt at a time, and where the list moves.

mod common;
use common::*;
use grebecleat_host::router::{ConnId, Input, OpenWork};
use grebecleat_wire::pb::{self, frame::Body};
use pb::EndpointUpdateKind::{Delta, Snapshot};
use pb::NodeState::{Draining, Ready};
use pb::Outcome::{Completed, Failed, Rejected};

/// What was written of it is in the node's hands, and the rest would follow whenever the node reads
/// again.
#[test]
fn an_attempt_written_in_part_never_crosses_whatever_ends_it() {
    type Case = (&'static str, fn(&mut Rig), &'static [(u8, pb::Outcome)]);
    let cases: [Case; 4] = [
        ("it is withdrawn", |r| r.withdraw(1), &[]),
        (
            "its client is gone",
            |r| r.feed(vec![Input::ClientGone { conn: CLIENT }]),
            &[],
        ),
        (
            "its node drains",
            |r| r.listed(&[(1, Draining), (2, Ready)]),
            &[(1, Rejected)],
        ),
        ("its time is up", |r| r.wait(ms(2000)), &[(1, Rejected)]),
    ];
    for (what, end, finals) in cases {
        for whole in [false, true] {
            let mut r = Rig::one_at_a_time("");
            r.take(1, 1);
            let conn = r.connect();
            let outbox = r.boxes[&conn].clone();
            assert_eq!(outbox.take_batch(|| r.now, usize::MAX).frames.len(), 1);
            if whole {
                outbox.batch_written();
            }
            end(&mut r);
            if whole {
                // It has crossed: only when its time is up does it take its connection with it.
                assert_eq!(outbox.is_closed(), what == "its time is up", "{what}");
                continue;
            }
            assert!(outbox.is_closed(), "{what}");
            assert_eq!(
                (r.router.counters().unsent, r.router.open_work()),
                (1, OpenWork::default()),
                "{what}"
            );
            assert_eq!(r.finals(), finals, "{what}: it never ran");
        }
    }
}

/// A node may end a connection that stands idle just as an attempt is given to it: that says
/// nothing of the node.
#[test]
fn an_attempt_given_to_a_connection_that_has_ended_goes_to_another_one_once() {
    let mut r = Rig::one_at_a_time("legs(most = 2)");
    r.take(1, 1);
    let conn = r.connect();
    let attempt = r.attempts(conn)[0].attempt;
    r.node_answers(conn, attempt, pb::Result::Ok);
    assert_eq!(r.finals(), [(1, Completed)]);
    r.wait(ms(100));
    r.take(2, 1);
    // It lies in the outbox, and the end is heard before it is written.
    r.feed(vec![Input::NodeGone { conn }]);
    assert_eq!((r.finals(), r.dialled.len()), (vec![], 2));
    let second = r.connect();
    assert!(second != conn && r.boxes[&conn].is_closed());
    // The same again is for the decisions: a node that takes connections and ends them is not well.
    r.feed(vec![Input::NodeGone { conn: second }]);
    r.wait(ms(200));
    let third = r.connect();
    let attempts = r.attempts(third);
    assert_eq!(
        attempts
            .iter()
            .map(|l| (l.id[0], l.number))
            .collect::<Vec<_>>(),
        [(2, 1)],
        "another leg"
    );
    // Written whole, it may have run.
    r.feed(vec![Input::NodeGone { conn: third }]);
    assert_eq!(r.finals(), [(2, Failed)]);
}

/// A second answer to the attempt before would be taken for the next attempt's.
#[test]
fn a_connection_rests_after_an_answer_and_a_second_one_finds_no_attempt() {
    for comes_twice in [false, true] {
        let mut r = Rig::one_at_a_time("");
        r.take(1, 1);
        let conn = r.connect();
        let attempt = r.attempts(conn)[0].attempt;
        r.node_answers(conn, attempt, pb::Result::Ok);
        r.take(2, 1);
        assert_eq!(
            (r.finals().len(), r.attempts(conn).len(), r.dialled.len()),
            (1, 0, 1)
        );
        if comes_twice {
            // What nothing waits for ends the connection.
            r.feed(vec![Input::NodeGone { conn }]);
        }
        r.wait(ms(10));
        let conn = if comes_twice { r.connect() } else { conn };
        let attempts = r.attempts(conn);
        assert_eq!(
            (attempts.len(), attempts[0].id[0], r.dialled.len()),
            (1, 2, 1 + usize::from(comes_twice))
        );
        r.node_answers(conn, attempts[0].attempt, pb::Result::Ok);
        assert_eq!(
            (r.finals(), r.router.counters().stray_responses),
            (vec![(2, Completed)], 0)
        );
    }
}

#[test]
fn beside_an_attempt_that_is_out_none_waits_for_a_resting_connection() {
    let mut r = Rig::one_at_a_time("");
    r.take(1, 0);
    let busy = r.connect();
    assert_eq!(r.attempts(busy).len(), 1);
    r.take(2, 0);
    let rests = r.connect();
    let attempt = r.attempts(rests)[0].attempt;
    r.node_answers(rests, attempt, pb::Result::Ok);
    r.take(3, 0);
    assert_eq!(r.dialled.len(), 3);
    let third = r.connect();
    assert_eq!((r.attempts(rests).len(), r.attempts(third).len()), (0, 1));
}

#[test]
fn the_former_list_is_heard_until_the_new_one_has_answered() {
    let mut r = Rig::one_at_a_time("");
    let old = r.list_up();
    r.list_tells(old, Snapshot, &[(1, Ready), (2, Ready)]);
    r.feed(vec![Input::DiscoveryMoved]);
    let new = r.list_up();
    assert!(new != old && !r.boxes[&old].is_closed());
    // The new one has been called and is silent; what the old one tells counts.
    r.list_tells(old, Delta, &[(1, Draining)]);
    r.take(1, 1);
    assert_eq!((r.finals(), r.dialled.len()), (vec![(1, Rejected)], 0));
    r.list_tells(new, Snapshot, &[(1, Ready), (2, Draining)]);
    assert!(r.boxes[&old].is_closed());
    // From now on the new one alone.
    r.list_tells(old, Delta, &[(1, Draining)]);
    r.wait(ms(500)); // a node that came back is sent to after a while
    r.take(2, 1);
    assert_eq!((r.finals(), r.dialled.len()), (vec![], 1));
}

#[test]
fn a_list_that_moved_is_not_kept_waiting_for_the_failures_of_the_former() {
    let mut r = Rig::one_at_a_time("");
    let gone = |r: &mut Rig, conn: ConnId| r.feed(vec![Input::DiscoveryGone { conn }]);
    for _ in 0..8 {
        let conn = r.list_up();
        gone(&mut r, conn);
    }
    r.feed(vec![Input::DiscoveryMoved]);
    let (at, conn) = *r.lists.last().unwrap();
    assert_eq!(at, r.now, "dialled at once");
    r.outbox(conn);
    gone(&mut r, conn);
    r.list_up();
    let waited = r.lists.last().unwrap().0 - at;
    assert!(waited <= ms(600), "{waited:?}, as after a first failure");
}

/// Nodes that the list tells to be another process, or gone, have no connection that leads
/// anywhere.
#[test]
fn idle_connections_go_with_the_process_they_led_to() {
    for state in [Ready, pb::NodeState::Gone] {
        let mut r = Rig::one_at_a_time("");
        r.take(1, 1);
        let conn = r.connect();
        let attempt = r.attempts(conn)[0].attempt;
        r.node_answers(conn, attempt, pb::Result::Ok);
        let mut told = list(&[(1, state), (2, Ready)]);
        told.endpoints[0].start = 2;
        r.feed(vec![Input::CachedEndpoints { list: told }]);
        assert!(r.boxes[&conn].is_closed(), "{state:?}");
    }
}

/// A dial is up after its request, its node or the process it was meant for is gone: no attempt
/// goes there.
#[test]
fn a_dial_that_is_up_late_carries_nothing_to_what_it_was_not_meant_for() {
    type Case = (&'static str, fn(&mut Rig), bool);
    let renewed = |r: &mut Rig| {
        let mut told = list(&[(1, Ready), (2, Ready)]);
        told.endpoints[0].start = 2;
        r.feed(vec![Input::CachedEndpoints { list: told }]);
    };
    let cases: [Case; 4] = [
        ("its transfer is over", |r| r.withdraw(1), false),
        (
            "its node drains",
            |r| r.listed(&[(1, Draining), (2, Ready)]),
            false,
        ),
        ("its node is gone", |r| r.listed(&[(2, Ready)]), false),
        ("another process is there", renewed, true),
    ];
    for (what, end, closed) in cases {
        let mut r = Rig::one_at_a_time("");
        r.take(1, 1);
        let late = r.dialled[0].0;
        end(&mut r);
        if closed {
            r.wait(ms(500)); // a node that came back is sent to after a while
            r.take(2, 1);
            assert_eq!(r.dialled.len(), 2, "{what}: another dial");
        }
        let outbox = r.outbox(late);
        r.feed(vec![Input::NodeUp { conn: late, outbox }]);
        assert_eq!(
            (r.attempts(late).len(), r.boxes[&late].is_closed()),
            (0, closed),
            "{what}"
        );
    }
}

#[test]
fn a_watch_that_stands_is_not_asked_for_again() {
    let mut r = Rig::one_at_a_time("");
    let conn = r.list_up();
    r.feed(vec![Input::DiscoveryGone { conn }]);
    // The decisions will ask again; the list moves first, and is asked at once.
    r.feed(vec![Input::DiscoveryMoved]);
    let conn = r.list_up();
    r.list_tells(conn, Snapshot, &[(1, Ready), (2, Ready)]);
    r.wait(ms(2900));
    assert!(
        !r.boxes[&conn].is_closed(),
        "it stands: whoever carries it knows how long a call may take"
    );
}

/// A client's id must not be free while its attempt is out: its request is held until then.
#[test]
fn a_request_whose_client_left_is_held_until_its_attempt_has_ended() {
    let mut r = Rig::one_at_a_time("");
    r.take(1, 1);
    let conn = r.connect();
    let attempt = r.attempts(conn)[0].attempt;
    r.withdraw(1);
    assert!(r.router.is_open(&[1; 36]));
    r.frames(
        conn,
        Body::AttemptResponse(pb::AttemptResponse {
            attempt,
            ..Default::default()
        }),
    );
    assert!(!r.router.is_open(&[1; 36]));
}

/// A third of the connections came up late, and whatever a host had for their nodes waited behind
/// one dial.
#[test]
fn an_attempt_does_not_wait_for_a_late_dial_alone() {
    let mut r = Rig::one_at_a_time("");
    r.take(1, 1);
    r.wait(ms(15));
    assert_eq!(r.dialled.len(), 1, "a handshake takes its time");
    r.wait(ms(10));
    r.wait(ms(25));
    assert_eq!(r.dialled.len(), 3, "one beside each that is late");
    r.wait(ms(100));
    assert_eq!(r.dialled.len(), 3, "and no more: it may be the node");
    let conn = r.connect();
    assert_eq!((r.attempts(conn).len(), r.finals()), (1, vec![]));
    // The first comes up after all, and serves the next.
    let late = r.dialled[0].0;
    let outbox = r.outbox(late);
    r.feed(vec![Input::NodeUp { conn: late, outbox }]);
    r.take(2, 1);
    assert_eq!((r.attempts(late).len(), r.dialled.len()), (1, 3));
    // Where a dial has failed nothing says that another would do better.
    let mut r = Rig::one_at_a_time("");
    r.take(1, 1);
    let conn = r.dialled[0].0;
    r.feed(vec![Input::NodeGone { conn }]);
    r.take(2, 1);
    r.wait(ms(30));
    let dials = r.dialled.len();
    r.wait(ms(200));
    assert_eq!(r.dialled.len(), dials, "one at a time");
}

/// An overdue call that is answered takes its place again, and the one that was made after it goes.
#[test]
fn an_overdue_call_that_is_answered_goes_on_and_the_later_one_ends() {
    let mut r = Rig::one_at_a_time("");
    let first = r.list_up();
    r.list_tells(first, Snapshot, &[(1, Ready), (2, Ready)]);
    r.feed(vec![Input::DiscoveryOverdue { conn: first }]);
    let second = r.list_up();
    assert!(!r.boxes[&first].is_closed(), "it is heard on");
    r.list_tells(first, Delta, &[(1, Draining)]);
    let closed = [first, second].map(|conn| r.boxes[&conn].is_closed());
    assert_eq!(closed, [false, true]);
    r.take(1, 1);
    assert_eq!((r.finals(), r.dialled.len()), (vec![(1, Rejected)], 0));
}
