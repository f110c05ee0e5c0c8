//! Actions that the decisions of today do not take, and that must work when they do.

use super::*;
use crate::common::{ms, Rig, CLIENT};
use grebecleat_wire::pb::frame::Body;

#[test]
fn a_cancelled_attempt_in_the_send_buffer_never_crosses_and_one_that_crossed_is_called_off() {
    for crossed in [false, true] {
        let mut r = Rig::with("legs(most = 1)");
        r.take(1, 1);
        let conn = r.connect();
        let attempts = if crossed {
            r.attempts(conn)
        } else {
            Vec::new()
        };
        r.router.perform(Action::CancelAttempt {
            id: RequestId([1; 36]),
            attempt: 0,
        });
        r.feed(vec![]);
        let told: Vec<Body> = r.cross(conn);
        let calls_off = |b: &Body| matches!(b, Body::CancelAttempt(c) if attempts.iter().any(|l| l.attempt == c.attempt));
        assert_eq!(
            (told.len(), told.iter().all(calls_off)),
            (usize::from(crossed), true)
        );
        // It never ran, so trying again is harmless; or nobody knows.
        let end = if crossed {
            pb::Outcome::Failed
        } else {
            pb::Outcome::Rejected
        };
        assert_eq!(r.finals(), [(1, end)]);
    }
}

#[test]
fn a_streamed_answer_that_has_begun_has_no_time_of_its_own() {
    let mut r = Rig::with("");
    r.take(1, 0);
    let conn = r.connect();
    let attempt = r.attempts(conn)[0].attempt;
    r.frames(
        conn,
        Body::ResponseStarted(pb::ResponseStarted {
            attempt,
            ..Default::default()
        }),
    );
    assert!(matches!(&r.cross(CLIENT)[..], [Body::ResponseStarted(b)] if b.id[0] == 1));
    r.wait(ms(4000));
    assert_eq!(r.finals(), [], "it belongs to the client");
    r.node_answers(conn, attempt, pb::Result::Ok);
    assert_eq!(r.finals(), [(1, pb::Outcome::Completed)]);
}

#[test]
fn a_probe_goes_out_where_there_is_a_connection_and_idle_ones_close() {
    let mut r = Rig::with("");
    r.router.perform(Action::HealthCheck { node: NodeId(1) });
    assert!(matches!(
        r.router.events[..],
        [Event::HealthChecked {
            outcome: AttemptOutcome::ConnectFailed,
            ..
        }]
    ));
    r.take(1, 0);
    let conn = r.connect();
    let attempt = r.attempts(conn)[0].attempt;
    r.router
        .perform(Action::CloseIdleConnections { node: NodeId(1) });
    assert!(!r.boxes[&conn].is_closed(), "a leg is out");
    r.node_answers(conn, attempt, pb::Result::Ok);
    r.router.perform(Action::HealthCheck { node: NodeId(1) });
    let probe = match &r.cross(conn)[..] {
        [Body::HealthCheck(p)] => p.probe,
        other => panic!("{other:?}"),
    };
    r.frames(
        conn,
        Body::HealthCheckResult(pb::HealthCheckResult {
            probe,
            result: pb::Result::Ok.into(),
        }),
    );
    assert!(r.router.health_checks.is_empty());
    r.router
        .perform(Action::CloseIdleConnections { node: NodeId(1) });
    assert!(r.boxes[&conn].is_closed());
}

#[test]
fn words_go_to_one_host_or_all_and_are_heard() {
    let mut r = Rig::with("");
    r.router.perform(Action::SendToPeer {
        to: Some(PeerId(2)),
        bytes: b"hi".to_vec(),
    });
    let told = Output::SendToPeer {
        to: Some(PeerId(2)),
        bytes: b"hi".to_vec(),
    };
    assert_eq!(
        r.router.step(
            ms(100_000),
            [Input::PeerMessage {
                from: PeerId(1),
                waited: ms(0),
                bytes: vec![]
            }]
        ),
        [told]
    );
}
