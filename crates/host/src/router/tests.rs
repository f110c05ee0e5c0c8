//! Tests of actions that the router supports and that the scheduler does not return yet.

use super::*;
use crate::common::{ms, Rig, CLIENT};
use grebecleat_scheduler::api::{AttemptOutcome, RequestId};
use grebecleat_wire::pb::frame::Body;

#[test]
fn a_cancelled_attempt_is_revoked_if_queued_and_cancelled_at_its_node_if_written() {
    for written in [false, true] {
        let mut rig = Rig::with("legs(most = 1)");
        rig.submit(1, 1);
        let conn = rig.connect();
        let attempts = if written {
            rig.attempts(conn)
        } else {
            Vec::new()
        };
        rig.router.perform(Action::CancelAttempt {
            id: RequestId([1; 36]),
            attempt: 0,
        });
        rig.step(vec![]);
        let bodies: Vec<Body> = rig.written(conn);
        let cancels = |body: &Body| match body {
            Body::CancelAttempt(cancel) => {
                attempts.iter().any(|sent| sent.attempt == cancel.attempt)
            }
            _ => false,
        };
        assert_eq!(
            (bodies.len(), bodies.iter().all(cancels)),
            (usize::from(written), true)
        );
        // A revoked attempt never ran, so its request is safe to retry. A written one may have run.
        let outcome = if written {
            pb::Outcome::Failed
        } else {
            pb::Outcome::Rejected
        };
        assert_eq!(rig.outcomes(), [(1, outcome)]);
    }
}

#[test]
fn a_response_that_has_started_has_no_deadline_of_its_own() {
    let mut rig = Rig::with("");
    rig.submit(1, 0);
    let conn = rig.connect();
    let attempt = rig.attempts(conn)[0].attempt;
    rig.receive(
        conn,
        Body::ResponseStarted(pb::ResponseStarted {
            attempt,
            ..Default::default()
        }),
    );
    assert!(
        matches!(&rig.written(CLIENT)[..], [Body::ResponseStarted(started)] if started.id[0] == 1)
    );
    rig.advance(ms(4000));
    assert_eq!(rig.outcomes(), [], "only the client's deadline counts");
    rig.respond(conn, attempt, pb::Result::Ok);
    assert_eq!(rig.outcomes(), [(1, pb::Outcome::Completed)]);
}

#[test]
fn a_health_check_is_sent_on_an_open_connection_and_idle_ones_are_closed() {
    let mut rig = Rig::with("");
    rig.router.perform(Action::HealthCheck { node: NodeId(1) });
    assert!(matches!(
        rig.router.effects.events(),
        [Event::HealthChecked {
            outcome: AttemptOutcome::ConnectFailed,
            ..
        }]
    ));
    rig.submit(1, 0);
    let conn = rig.connect();
    let attempt = rig.attempts(conn)[0].attempt;
    rig.router
        .perform(Action::CloseIdleConnections { node: NodeId(1) });
    assert!(
        !rig.outboxes[&conn].is_closed(),
        "an attempt is outstanding"
    );
    rig.respond(conn, attempt, pb::Result::Ok);
    rig.router.perform(Action::HealthCheck { node: NodeId(1) });
    let probe = match &rig.written(conn)[..] {
        [Body::HealthCheck(check)] => check.probe,
        other => panic!("{other:?}"),
    };
    rig.receive(
        conn,
        Body::HealthCheckResult(pb::HealthCheckResult {
            probe,
            result: pb::Result::Ok.into(),
        }),
    );
    assert!(rig.router.pools.health_checks().is_empty());
    rig.router
        .perform(Action::CloseIdleConnections { node: NodeId(1) });
    assert!(rig.outboxes[&conn].is_closed());
}

#[test]
fn messages_to_a_peer_become_outputs_and_its_messages_are_accepted() {
    let mut rig = Rig::with("");
    rig.router.perform(Action::SendToPeer {
        to: Some(PeerId(2)),
        bytes: b"hi".to_vec(),
    });
    let sent = Output::SendToPeer {
        to: Some(PeerId(2)),
        bytes: b"hi".to_vec(),
    };
    assert_eq!(
        rig.router.step(
            ms(100_000),
            [Input::PeerMessage {
                from: PeerId(1),
                waited: ms(0),
                bytes: vec![]
            }]
        ),
        [sent]
    );
}
