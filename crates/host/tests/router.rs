//! The hard cases between decisions and sockets, each caused without a socket: the test is the
//! network.

mod common;
use bytes::Bytes;
use common::*;
use grebecleat_host::router::{ConnId, Input, OpenWork, Output};
use grebecleat_wire::pb::{self, frame::Body};
use pb::NodeState::{Draining, Gone, Ready};
use pb::Outcome::{Completed, Failed, Rejected};

#[test]
fn a_request_goes_out_and_comes_back_once() {
    let mut r = Rig::with("");
    r.take(1, 0);
    let conn = r.connect();
    let attempts = r.attempts(conn);
    assert_eq!(
        (attempts.len(), attempts[0].number, attempts[0].node),
        (1, 0, 1)
    );
    r.now += ms(10);
    r.node_answers(conn, attempts[0].attempt, pb::Result::Ok);
    assert_eq!(r.finals(), [(1, Completed)]);
    // Twice, and of an attempt that nobody sent.
    r.node_answers(conn, attempts[0].attempt, pb::Result::Ok);
    r.node_answers(conn, 99, pb::Result::Error);
    assert_eq!(
        (r.finals(), r.router.counters().stray_responses),
        (vec![], 2)
    );
    assert_eq!(r.router.open_work(), OpenWork::default());
}

#[test]
fn an_attempt_in_the_send_buffer_never_crosses_after_its_node_drains() {
    for waits_for_connection in [true, false] {
        let mut r = Rig::with("");
        r.take(1, 1);
        let conn = (!waits_for_connection).then(|| r.connect());
        r.listed(&[(1, Draining), (2, Ready)]);
        if let Some(conn) = conn {
            assert_eq!(r.attempts(conn).len(), 0);
        }
        // The decisions know that it never ran: the non-idempotent request is deferred, not
        // abandoned.
        assert_eq!(
            (r.finals(), r.router.counters().unsent),
            (vec![(1, Rejected)], 1)
        );
    }
}

#[test]
fn an_attempt_in_the_send_buffer_never_crosses_after_its_deadline_and_is_answered_before_it() {
    let mut r = Rig::with("bounds(linger = s(10), dial_timeout = s(10))");
    r.take(1, 1);
    let conn = r.connect();
    r.wait(ms(1990));
    assert_eq!(r.finals(), [(1, Rejected)]);
    assert_eq!(
        (r.attempts(conn).len(), r.router.open_work()),
        (0, OpenWork::default())
    );
}

/// A client that must not let a late effect pass unseen is told when there may be one.
#[test]
fn the_final_answer_tells_whether_an_effect_may_still_come() {
    // What is done to the attempt before the deadline, and whether it may still run.
    type Case = (&'static str, fn(&mut Rig), bool);
    let cases: [Case; 4] = [
        ("it never crosses", |_| (), false),
        (
            "its node stays silent",
            |r| {
                let conn = r.connect();
                assert_eq!(r.attempts(conn).len(), 1);
            },
            true,
        ),
        (
            "its node says that it never ran, and then there is none",
            |r| {
                let conn = r.connect();
                let attempt = r.attempts(conn)[0].attempt;
                r.node_answers(conn, attempt, pb::Result::Full);
                r.listed(&[(1, Gone), (2, Gone)]);
            },
            false,
        ),
        (
            "its node fails it: if it ran, it has run",
            |r| {
                let conn = r.connect();
                let attempt = r.attempts(conn)[0].attempt;
                r.node_answers(conn, attempt, pb::Result::Error);
            },
            false,
        ),
    ];
    for (what, happens, unsure) in cases {
        let mut r = Rig::with("legs(most = 1)");
        r.take(1, 1);
        happens(&mut r);
        r.wait(ms(1990));
        let said: Vec<(bool, bool)> = r
            .cross(CLIENT)
            .into_iter()
            .filter_map(|b| match b {
                Body::Response(f) => Some((f.outcome() == Completed, f.unsure)),
                _ => None,
            })
            .collect();
        assert_eq!(said, [(false, unsure)], "{what}");
    }
}

#[test]
fn an_attempt_that_cannot_be_written_is_taken_back_after_a_while() {
    let mut r = Rig::with("legs(most = 1)\nbounds(linger = ms(100))");
    r.take(1, 1);
    let conn = r.connect();
    r.wait(ms(300));
    assert_eq!(
        (r.attempts(conn).len(), r.finals()),
        (0, vec![(1, Rejected)])
    );
}

#[test]
fn an_attempt_whose_client_leaves_never_crosses() {
    let mut r = Rig::with("");
    r.take(1, 0);
    let conn = r.connect();
    r.frames(
        CLIENT,
        Body::CancelRequest(pb::CancelRequest {
            id: Bytes::from(vec![1; 36]),
        }),
    );
    assert_eq!(
        (r.attempts(conn).len(), r.finals(), r.router.open_work()),
        (0, vec![], OpenWork::default())
    );
}

#[test]
fn an_answer_after_the_time_out_is_stray_and_changes_nothing() {
    let mut r = Rig::with("");
    r.take(1, 1);
    let conn = r.connect();
    let attempts = r.attempts(conn);
    r.wait(ms(1990));
    assert_eq!(r.finals(), [(1, Failed)], "it may have run");
    r.node_answers(conn, attempts[0].attempt, pb::Result::Ok);
    assert_eq!(
        (r.finals(), r.router.counters().stray_responses),
        (vec![], 1)
    );
}

#[test]
fn a_reset_with_many_attempts_out_ends_each_once_and_an_old_connections_answer_is_stray() {
    let mut r = Rig::with("legs(most = 1)");
    (1..=5).for_each(|n| r.take(n, 1));
    let conn = r.connect();
    let crossed = r.attempts(conn);
    r.feed(vec![Input::NodeGone { conn }]);
    r.wait(ms(1990));
    let mut finals = r.finals();
    finals.sort_by_key(|f| f.0);
    let sent = |n: u8| crossed.iter().any(|l| l.id[0] == n);
    let expected: Vec<_> = (1..=5)
        .map(|n| (n, if sent(n) { Failed } else { Rejected }))
        .collect();
    assert_eq!(finals, expected);
    r.node_answers(conn, crossed[0].attempt, pb::Result::Ok);
    assert_eq!(r.finals(), []);
}

#[test]
fn only_one_dial_at_a_time_and_none_that_hangs_forever() {
    let mut r = Rig::with("bounds(legs_per_connection = 1, dial_timeout = ms(100))");
    (1..=4).for_each(|n| r.take(n, 0));
    assert_eq!(r.dialled.len(), 1);
    r.wait(ms(1990));
    assert_eq!(
        r.finals().len(),
        4,
        "a dial that reports nothing is given up"
    );
    assert_eq!(r.router.open_work(), OpenWork::default());
}

#[test]
fn a_full_answer_lets_even_an_unrepeatable_request_go_again() {
    let mut r = Rig::with("");
    r.take(1, 1);
    let conn = r.connect();
    let first = r.attempts(conn);
    r.node_answers(conn, first[0].attempt, pb::Result::Full);
    r.wait(ms(150));
    let second = r.attempts(conn);
    assert_eq!((second.len(), second[0].number), (1, 1));
}

#[test]
fn what_lies_in_a_socket_during_a_stall_has_less_time_left() {
    let mut r = Rig::with("");
    r.take(1, 0);
    // Sent just before we were stopped for 1.9 s; read after. The client gives up 100 ms from now.
    let sent_us = r.now.as_micros() as u64;
    r.now += ms(1900);
    let id = Bytes::from(vec![2; 36]);
    let take = pb::SubmitRequest {
        id,
        volume: 5,
        units: 1.0,
        left_us: 2_000_000,
        shard: Some(2),
        ..Default::default()
    };
    let frames = vec![pb::Frame {
        sent_us,
        body: Some(Body::SubmitRequest(take)),
    }];
    let at = r.now;
    r.feed(vec![Input::ClientFrames {
        conn: CLIENT,
        at,
        frames,
    }]);
    r.wait(ms(95));
    assert!(
        r.finals().contains(&(2, Rejected)),
        "answered before its client gives up"
    );
}

#[test]
fn a_stall_of_our_own_is_not_laid_on_the_node_and_timers_ring_once() {
    let mut r = Rig::with("");
    r.take(1, 0);
    let conn = r.connect();
    let attempts = r.attempts(conn);
    r.wait(ms(10));
    let steps = r.router.counters().events;
    r.now += ms(900);
    assert!(r.router.detect_pause(r.now));
    // The answer had lain in the socket; it and one timer are all that is heard.
    r.node_answers(conn, attempts[0].attempt, pb::Result::Ok);
    assert_eq!(
        (r.finals(), r.router.counters().events - steps),
        (vec![(1, Completed)], 2)
    );
    assert!(!r.has_logged("shut"), "{:?}", r.log);
}

#[test]
fn what_is_past_its_deadline_after_a_stall_is_answered_at_once() {
    let mut r = Rig::with("");
    (1..=20).for_each(|n| r.take(n, 0));
    r.now += ms(5000);
    assert!(r.router.detect_pause(r.now));
    r.feed(vec![]);
    assert_eq!(r.finals().len(), 20);
}

#[test]
fn a_draining_host_turns_away_answers_what_it_holds_and_ends() {
    let mut r = Rig::with("");
    r.take(1, 0);
    let conn = r.connect();
    let attempts = r.attempts(conn);
    r.feed(vec![Input::Shutdown]);
    r.take(2, 0);
    assert!(!r.ended);
    assert_eq!(r.finals(), [(2, Rejected)]);
    r.node_answers(conn, attempts[0].attempt, pb::Result::Ok);
    assert!(!r.ended, "the answer is not written yet");
    assert_eq!(r.finals(), [(1, Completed)]);
    r.wait(ms(200));
    assert!(r.ended);
}

#[test]
fn more_than_the_bounds_is_turned_away_with_an_answer() {
    let mut r = Rig::with("bounds(most_open = 3)");
    (1..=5).for_each(|n| r.take(n, 0));
    let turned: Vec<u8> = r
        .finals()
        .into_iter()
        .filter(|f| f.1 == Rejected)
        .map(|f| f.0)
        .collect();
    assert_eq!((turned, r.router.open_work().requests), (vec![4, 5], 3));
}

#[test]
fn a_client_that_never_reads_is_hung_up_on_and_holds_no_memory() {
    let mut r = Rig::with("bounds(most_unread = 4096, most_open = 1)");
    r.take(200, 0);
    (1..=199).for_each(|n| r.take(n, 0));
    assert!(r.boxes[&CLIENT].is_closed());
    assert_eq!(
        r.router.open_work(),
        OpenWork::default(),
        "{:?}",
        r.router.counters()
    );
    assert!(r.has_logged("unread"), "{:?}", r.log);
}

#[test]
fn clients_that_make_no_sense_are_hung_up_on_one_by_one() {
    let good = pb::SubmitRequest {
        id: Bytes::from(vec![1; 36]),
        volume: 5,
        units: 1.0,
        left_us: 1,
        ..Default::default()
    };
    let cases = [
        pb::SubmitRequest {
            id: Bytes::from_static(b"short"),
            ..good.clone()
        },
        pb::SubmitRequest {
            traffic_class: 77,
            ..good.clone()
        },
        pb::SubmitRequest {
            volume: 6,
            ..good.clone()
        },
        pb::SubmitRequest {
            units: f64::NAN,
            ..good.clone()
        },
        pb::SubmitRequest {
            units: 1e300,
            ..good.clone()
        },
    ];
    for bad in cases {
        let mut r = Rig::with("");
        let other = ConnId((1 << 50) + 1);
        let outbox = r.outbox(other);
        r.feed(vec![Input::ClientUp {
            conn: other,
            outbox,
        }]);
        r.take(9, 0);
        let frames = vec![pb::Frame {
            sent_us: 1,
            body: Some(Body::SubmitRequest(bad.clone())),
        }];
        r.feed(vec![Input::ClientFrames {
            conn: other,
            at: ms(100_000),
            frames,
        }]);
        assert!(
            r.boxes[&other].is_closed() && !r.boxes[&CLIENT].is_closed(),
            "{bad:?}"
        );
        assert_eq!(r.router.open_work().requests, 1);
    }
}

#[test]
fn one_request_of_a_key_at_a_time() {
    let mut r = Rig::with("");
    (1..=3).for_each(|n| r.take(n, 2));
    let conn = r.connect();
    let first = r.attempts(conn);
    assert_eq!(first.len(), 1);
    r.node_answers(conn, first[0].attempt, pb::Result::Ok);
    r.wait(ms(30));
    let second = r.attempts(conn);
    assert_eq!((second.len(), second[0].id[0]), (1, 2));
}

#[test]
fn the_list_is_asked_for_again_when_it_is_lost_or_silent() {
    let mut r = Rig::with("bounds(patience = ms(300))");
    let dials = |out: Vec<Output>| -> Vec<ConnId> {
        out.into_iter()
            .filter_map(|o| {
                if let Output::DialDiscovery { conn } = o {
                    Some(conn)
                } else {
                    None
                }
            })
            .collect()
    };
    let mut seen = Vec::new();
    let end = r.now + ms(4000);
    while r.now < end {
        r.now = r.router.wake_at().clamp(r.now + ms(1), end);
        let out = r.router.step(r.now, vec![]);
        for conn in dials(out) {
            seen.push(conn);
            match seen.len() {
                1 => drop(r.router.step(r.now, vec![Input::DiscoveryGone { conn }])),
                _ => {
                    let outbox = r.outbox(conn); // comes up and never answers
                    r.router
                        .step(r.now, vec![Input::DiscoveryUp { conn, outbox }]);
                }
            }
        }
    }
    assert!(seen.len() >= 3, "{seen:?}");
}
