//! Tests queued drains, which drain one node of a zone after another.

use crate::fixture::*;
use grebecleat_catalog::records::Stage;
use grebecleat_membership::answers::ResponseHealth;
use grebecleat_membership::node_status::NodeStatus;

#[test]
fn a_queued_drain_waits_for_its_zone_and_for_admission() {
    let mut fixture = Fixture::new();
    fixture.drain(2, Some(Stage::Draining), seconds(0));
    fixture.wait(seconds(1));
    fixture.drain(1, Some(Stage::Queued), seconds(0));
    assert_eq!(fixture.phase(1), waiting("node 2 drains"));
    assert_eq!(
        fixture.status(1),
        NodeStatus::Ready,
        "a node accepts requests while its drain is queued"
    );
    // A drain in another zone is proposed at once, and admission decides on it.
    fixture.rejects_with = Some("9.0 units a second of reserves lie out of reach");
    fixture.drain(3, Some(Stage::Queued), seconds(0));
    assert_eq!(
        fixture.phase(3),
        waiting("9.0 units a second of reserves lie out of reach")
    );
    fixture.rejects_with = None;
    fixture.wait(seconds(6));
    assert_eq!(
        fixture.committed,
        [(3, Some(Stage::Draining), "no conflict in its zone".into())]
    );
    fixture.wait(seconds(1));
    fixture.drain(4, Some(Stage::Queued), seconds(0));
    assert_eq!(fixture.phase(4), waiting("node 3 drains"));
    fixture.committed.clear();
    // The earlier drain ends, but its node is suspect and still blocks the drain.
    fixture.report(H1, 3, |seen| seen.answers = ResponseHealth::Bad);
    fixture.drain(3, None, seconds(0));
    assert_eq!(
        (fixture.phase(4), fixture.committed.len()),
        (waiting("node 3 does not answer as it should"), 0)
    );
    fixture.report(H1, 3, |seen| seen.answers = ResponseHealth::Good);
    assert_eq!(
        fixture.committed,
        [(4, Some(Stage::Draining), "no conflict in its zone".into())]
    );
}

#[test]
fn the_earliest_request_of_a_zone_goes_first() {
    let mut fixture = Fixture::new();
    fixture.report(H1, 2, |seen| {
        (seen.incarnation, seen.age, seen.revision) = (2, Some(seconds(18)), 2);
    });
    fixture.drain(1, Some(Stage::Queued), seconds(0));
    fixture.wait(seconds(1));
    fixture.drain(2, Some(Stage::Queued), seconds(0));
    assert_eq!(
        fixture.phase(1),
        waiting("node 2 has just started and is cold")
    );
    assert_eq!(
        fixture.phase(2),
        waiting("node 1 of the same zone was queued first")
    );
    fixture.wait(seconds(2));
    assert_eq!(
        fixture.committed,
        [(1, Some(Stage::Draining), "no conflict in its zone".into())]
    );
}
