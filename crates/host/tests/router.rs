//! Tests of the router, which carries requests, attempts and connections between the scheduler and the
//! sockets. The tests simulate the network.

mod common;

use bytes::Bytes;
use common::{ms, Rig, CLIENT};
use grebecleat_host::router::{ConnId, Input, OpenWork, Output};
use grebecleat_wire::pb::{self, frame::Body};
use pb::NodeState::{Draining, Gone, Ready};
use pb::Outcome::{Completed, Failed, Rejected};

#[test]
fn a_request_has_one_response_and_later_ones_are_stray() {
    let mut rig = Rig::with("");
    rig.submit(1, 0);
    let conn = rig.connect();
    let attempts = rig.attempts(conn);
    assert_eq!(
        (attempts.len(), attempts[0].number, attempts[0].node),
        (1, 0, 1)
    );
    rig.now += ms(10);
    rig.respond(conn, attempts[0].attempt, pb::Result::Ok);
    assert_eq!(rig.outcomes(), [(1, Completed)]);
    // A duplicate, and a response to an attempt that was never sent.
    rig.respond(conn, attempts[0].attempt, pb::Result::Ok);
    rig.respond(conn, 99, pb::Result::Error);
    assert_eq!(
        (rig.outcomes(), rig.router.counters().stray_responses),
        (vec![], 2)
    );
    assert_eq!(rig.router.open_work(), OpenWork::default());
}

#[test]
fn a_queued_attempt_is_revoked_when_its_node_drains() {
    for waits_for_connection in [true, false] {
        let mut rig = Rig::with("");
        rig.submit(1, 1);
        let conn = (!waits_for_connection).then(|| rig.connect());
        rig.list_endpoints(&[(1, Draining), (2, Ready)]);
        if let Some(conn) = conn {
            assert_eq!(rig.attempts(conn).len(), 0);
        }
        // The scheduler knows that the attempt never ran, so that the non-idempotent request is rejected
        // (retryable) and does not fail.
        assert_eq!(
            (rig.outcomes(), rig.router.counters().unsent),
            (vec![(1, Rejected)], 1)
        );
    }
}

#[test]
fn a_queued_attempt_is_not_written_after_its_deadline_and_its_request_is_answered_before() {
    let mut rig = Rig::with("bounds(linger = s(10), dial_timeout = s(10))");
    rig.submit(1, 1);
    let conn = rig.connect();
    rig.advance(ms(1990));
    assert_eq!(rig.outcomes(), [(1, Rejected)]);
    assert_eq!(
        (rig.attempts(conn).len(), rig.router.open_work()),
        (0, OpenWork::default())
    );
}

/// The response tells the client whether an attempt may still take effect after it.
#[test]
fn the_final_response_states_whether_the_request_may_still_take_effect() {
    // What happens to the attempt before the deadline, and whether it may still run afterwards.
    type Case = (&'static str, fn(&mut Rig), bool);
    let cases: [Case; 4] = [
        ("it is never written", |_| (), false),
        (
            "its node does not respond",
            |rig| {
                let conn = rig.connect();
                assert_eq!(rig.attempts(conn).len(), 1);
            },
            true,
        ),
        (
            "its node responds that it never ran, and then no node is left",
            |rig| {
                let conn = rig.connect();
                let attempt = rig.attempts(conn)[0].attempt;
                rig.respond(conn, attempt, pb::Result::Full);
                rig.list_endpoints(&[(1, Gone), (2, Gone)]);
            },
            false,
        ),
        (
            "its node responds with a failure, so the attempt has ended if it ran",
            |rig| {
                let conn = rig.connect();
                let attempt = rig.attempts(conn)[0].attempt;
                rig.respond(conn, attempt, pb::Result::Error);
            },
            false,
        ),
    ];
    for (case, act, unsure) in cases {
        let mut rig = Rig::with("legs(most = 1)");
        rig.submit(1, 1);
        act(&mut rig);
        rig.advance(ms(1990));
        let responses = rig.responses().into_iter();
        let responses = responses.map(|it| (it.outcome() == Completed, it.unsure));
        assert_eq!(responses.collect::<Vec<_>>(), [(false, unsure)], "{case}");
    }
}

#[test]
fn an_attempt_that_cannot_be_written_is_revoked_after_the_dispatch_delay() {
    let mut rig = Rig::with("legs(most = 1)\nbounds(linger = ms(100))");
    rig.submit(1, 1);
    let conn = rig.connect();
    rig.advance(ms(300));
    assert_eq!(
        (rig.attempts(conn).len(), rig.outcomes()),
        (0, vec![(1, Rejected)])
    );
}

#[test]
fn an_attempt_of_a_cancelled_request_is_not_written() {
    let mut rig = Rig::with("");
    rig.submit(1, 0);
    let conn = rig.connect();
    rig.cancel(1);
    assert_eq!(
        (
            rig.attempts(conn).len(),
            rig.outcomes(),
            rig.router.open_work()
        ),
        (0, vec![], OpenWork::default())
    );
}

#[test]
fn a_response_after_the_deadline_is_stray() {
    let mut rig = Rig::with("");
    rig.submit(1, 1);
    let conn = rig.connect();
    let attempts = rig.attempts(conn);
    rig.advance(ms(1990));
    assert_eq!(rig.outcomes(), [(1, Failed)], "it may have run");
    rig.respond(conn, attempts[0].attempt, pb::Result::Ok);
    assert_eq!(
        (rig.outcomes(), rig.router.counters().stray_responses),
        (vec![], 1)
    );
}

#[test]
fn a_connection_reset_ends_each_attempt_once_and_later_responses_are_stray() {
    let mut rig = Rig::with("legs(most = 1)");
    (1..=5).for_each(|n| rig.submit(n, 1));
    let conn = rig.connect();
    let written = rig.attempts(conn);
    rig.step(vec![Input::NodeGone { conn }]);
    rig.advance(ms(1990));
    let mut outcomes = rig.outcomes();
    outcomes.sort_by_key(|(n, _)| *n);
    let sent = |n: u8| written.iter().any(|attempt| attempt.id[0] == n);
    let expected: Vec<_> = (1..=5)
        .map(|n| (n, if sent(n) { Failed } else { Rejected }))
        .collect();
    assert_eq!(outcomes, expected);
    rig.respond(conn, written[0].attempt, pb::Result::Ok);
    assert_eq!(rig.outcomes(), []);
}

#[test]
fn one_dial_runs_at_a_time_and_a_dial_that_reports_nothing_is_abandoned() {
    let mut rig = Rig::with("bounds(legs_per_connection = 1, dial_timeout = ms(100))");
    (1..=4).for_each(|n| rig.submit(n, 0));
    assert_eq!(rig.dials.len(), 1);
    rig.advance(ms(1990));
    assert_eq!(
        rig.outcomes().len(),
        4,
        "a dial that reports nothing is abandoned"
    );
    assert_eq!(rig.router.open_work(), OpenWork::default());
}

#[test]
fn a_non_idempotent_request_is_retried_after_a_queue_full_response() {
    let mut rig = Rig::with("");
    rig.submit(1, 1);
    let conn = rig.connect();
    let first = rig.attempts(conn);
    rig.respond(conn, first[0].attempt, pb::Result::Full);
    rig.advance(ms(150));
    let second = rig.attempts(conn);
    assert_eq!((second.len(), second[0].number), (1, 1));
}

#[test]
fn a_request_that_waited_in_a_socket_during_a_pause_has_less_time_left() {
    let mut rig = Rig::with("");
    rig.submit(1, 0);
    // The frame is sent just before a pause of 1.9 s and read after it, when 100 ms are left until the
    // client's deadline.
    let sent_us = rig.now.as_micros() as u64;
    rig.now += ms(1900);
    let id = Bytes::from(vec![2; 36]);
    let request = pb::SubmitRequest {
        id,
        volume: 5,
        units: 1.0,
        left_us: 2_000_000,
        shard: Some(2),
        ..Default::default()
    };
    let frames = vec![pb::Frame {
        sent_us,
        body: Some(Body::SubmitRequest(request)),
    }];
    let at = rig.now;
    rig.step(vec![Input::ClientFrames {
        conn: CLIENT,
        at,
        frames,
    }]);
    rig.advance(ms(95));
    assert!(
        rig.outcomes().contains(&(2, Rejected)),
        "answered before the client's deadline"
    );
}

#[test]
fn a_process_pause_is_not_charged_to_the_node_and_timers_fire_once() {
    let mut rig = Rig::with("");
    rig.submit(1, 0);
    let conn = rig.connect();
    let attempts = rig.attempts(conn);
    rig.advance(ms(10));
    let steps = rig.router.counters().events;
    rig.now += ms(900);
    assert!(rig.router.detect_pause(rig.now));
    // The response waited in the socket. The scheduler receives only this response and one timer.
    rig.respond(conn, attempts[0].attempt, pb::Result::Ok);
    assert_eq!(
        (rig.outcomes(), rig.router.counters().events - steps),
        (vec![(1, Completed)], 2)
    );
    assert!(!rig.has_logged("ejected"), "{:?}", rig.log);
}

#[test]
fn requests_past_their_deadline_after_a_pause_are_answered_at_once() {
    let mut rig = Rig::with("");
    (1..=20).for_each(|n| rig.submit(n, 0));
    rig.now += ms(5000);
    assert!(rig.router.detect_pause(rig.now));
    rig.step(vec![]);
    assert_eq!(rig.outcomes().len(), 20);
}

#[test]
fn a_host_that_shuts_down_rejects_new_requests_answers_open_ones_and_ends() {
    let mut rig = Rig::with("");
    rig.submit(1, 0);
    let conn = rig.connect();
    let attempts = rig.attempts(conn);
    rig.step(vec![Input::Shutdown]);
    rig.submit(2, 0);
    assert!(!rig.shutdown_complete);
    assert_eq!(rig.outcomes(), [(2, Rejected)]);
    rig.respond(conn, attempts[0].attempt, pb::Result::Ok);
    assert!(!rig.shutdown_complete, "the response is not written yet");
    assert_eq!(rig.outcomes(), [(1, Completed)]);
    rig.advance(ms(200));
    assert!(rig.shutdown_complete);
}

#[test]
fn requests_beyond_the_bound_are_rejected() {
    let mut rig = Rig::with("bounds(most_open = 3)");
    (1..=5).for_each(|n| rig.submit(n, 0));
    let outcomes = rig.outcomes().into_iter();
    let rejected = outcomes.filter(|(_, outcome)| *outcome == Rejected);
    let rejected: Vec<u8> = rejected.map(|(n, _)| n).collect();
    assert_eq!((rejected, rig.router.open_work().requests), (vec![4, 5], 3));
}

#[test]
fn a_client_that_never_reads_is_disconnected_and_its_requests_are_released() {
    let mut rig = Rig::with("bounds(most_unread = 4096, most_open = 1)");
    rig.submit(200, 0);
    (1..=199).for_each(|n| rig.submit(n, 0));
    assert!(rig.is_closed(CLIENT));
    assert_eq!(
        rig.router.open_work(),
        OpenWork::default(),
        "{:?}",
        rig.router.counters()
    );
    assert!(rig.has_logged("unread"), "{:?}", rig.log);
}

#[test]
fn a_client_that_violates_the_protocol_is_disconnected_alone() {
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
        let mut rig = Rig::with("");
        let other = ConnId((1 << 50) + 1);
        rig.connect_client(other);
        rig.submit(9, 0);
        let frames = vec![pb::Frame {
            sent_us: 1,
            body: Some(Body::SubmitRequest(bad.clone())),
        }];
        rig.step(vec![Input::ClientFrames {
            conn: other,
            at: ms(100_000),
            frames,
        }]);
        assert!(rig.is_closed(other) && !rig.is_closed(CLIENT), "{bad:?}");
        assert_eq!(rig.router.open_work().requests, 1);
    }
}

#[test]
fn requests_of_a_key_run_one_at_a_time() {
    let mut rig = Rig::with("");
    (1..=3).for_each(|n| rig.submit(n, 2));
    let conn = rig.connect();
    let first = rig.attempts(conn);
    assert_eq!(first.len(), 1);
    rig.respond(conn, first[0].attempt, pb::Result::Ok);
    rig.advance(ms(30));
    let second = rig.attempts(conn);
    assert_eq!((second.len(), second[0].id[0]), (1, 2));
}

#[test]
fn discovery_is_called_again_after_a_lost_connection_and_after_silence() {
    let mut rig = Rig::with("bounds(patience = ms(300))");
    let dials = |outputs: Vec<Output>| -> Vec<ConnId> {
        let dials = outputs.into_iter().filter_map(|output| match output {
            Output::DialDiscovery { conn } => Some(conn),
            _ => None,
        });
        dials.collect()
    };
    let mut dialled = Vec::new();
    let end = rig.now + ms(4000);
    while rig.now < end {
        rig.now = rig.router.wake_at().clamp(rig.now + ms(1), end);
        let outputs = rig.router.step(rig.now, vec![]);
        for conn in dials(outputs) {
            dialled.push(conn);
            match dialled.len() {
                1 => drop(
                    rig.router
                        .step(rig.now, vec![Input::DiscoveryGone { conn }]),
                ),
                _ => {
                    let outbox = rig.new_outbox(conn); // the connection is up, but no response arrives
                    rig.router
                        .step(rig.now, vec![Input::DiscoveryUp { conn, outbox }]);
                }
            }
        }
    }
    assert!(dialled.len() >= 3, "{dialled:?}");
}
