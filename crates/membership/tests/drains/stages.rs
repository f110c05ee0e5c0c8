//! The stages of a drain, from the request to the removal of the node.

use crate::fixture::*;
use grebecleat_catalog::admission::ExclusionReason;
use grebecleat_catalog::records::{Stage, Version};
use grebecleat_membership::drains::{Action, Event, NodeObservation, Phase};
use grebecleat_membership::list_reading::ListedState;
use grebecleat_membership::node_status::NodeStatus;

/// Node 1 drained: every host is notified and quiet.
fn drained_node() -> Fixture {
    let mut fixture = Fixture::new();
    fixture.drain(1, Some(Stage::Draining), seconds(0));
    for host in [H1, H2] {
        fixture.acknowledge(host);
        fixture.report(host, 1, |_| ());
    }
    fixture
}

#[test]
fn a_node_is_drained_when_every_host_is_notified_and_quiet() {
    let mut fixture = Fixture::new();
    for host in [H1, H2] {
        fixture.report(host, 1, |seen| seen.attempts = 3);
    }
    fixture.drain(1, Some(Stage::Draining), seconds(0));
    assert_eq!(fixture.phase(1), notifying(&[(H1, true), (H2, true)]));
    fixture.acknowledge(H1);
    fixture.report(H1, 1, |seen| seen.attempts = 2);
    assert_eq!(fixture.phase(1), notifying(&[(H2, true)]));
    fixture.acknowledge(H2);
    // A host's count before it followed the drain does not apply.
    assert_eq!(fixture.phase(1), quiescing(5, 5, 0));
    fixture.report(H2, 1, |seen| {
        (seen.attempts, seen.unresolved_for) = (0, seconds(2));
    });
    fixture.report(H1, 1, |seen| seen.attempts = 0);
    assert_eq!(fixture.phase(1), quiescing(0, 5, 2));
    fixture.wait(seconds(1));
    assert_eq!(fixture.committed, []);
    fixture.wait(seconds(1));
    assert_eq!(
        fixture.committed,
        [(
            1,
            Some(Stage::Drained),
            "nothing is under way at any host".into()
        )]
    );
}

#[test]
fn a_drained_node_is_removed_when_the_endpoint_list_drops_it() {
    let mut fixture = drained_node();
    assert_eq!(
        fixture.status_and_phase(1),
        (
            NodeStatus::Drained,
            Some(drained(&[
                "whether data lies there alone is not known here"
            ]))
        )
    );
    fixture.report(H1, 1, |seen| seen.extents = Some(7));
    assert_eq!(
        fixture.phase(1),
        drained(&["7 extents lie there and nowhere else"])
    );
    fixture.report(H1, 1, |seen| seen.extents = Some(0));
    assert_eq!(fixture.phase(1), drained(&[]));
    // The node's process ends, and the endpoint list drops it.
    fixture.report(H1, 1, |seen| {
        (seen.listed, seen.revision) = (ListedState::Gone, 2);
    });
    assert_eq!(
        fixture.status_and_phase(1),
        (NodeStatus::Removed, Some(Phase::Removed))
    );
    // The other host's list is late.
    fixture.report(H2, 1, |_| ());
    assert_eq!(fixture.status(1), NodeStatus::Removed);
}

/// The machine is put back: hosts send it nothing before an operator returns it.
#[test]
fn a_removed_node_that_runs_again_serves_once_its_drain_is_ended() {
    let mut fixture = drained_node();
    fixture.report(H1, 1, |seen| {
        (seen.listed, seen.revision) = (ListedState::Gone, 2);
    });
    fixture.wait(seconds(60));
    fixture.report(H1, 1, |seen| {
        (seen.incarnation, seen.age, seen.revision) = (2, Some(seconds(4)), 3);
    });
    assert_eq!(
        (fixture.status(1), fixture.is_blocked(1)),
        (NodeStatus::Returned, true)
    );
    fixture.drain(1, None, seconds(0));
    assert_eq!(
        (fixture.status_and_phase(1), fixture.is_blocked(1)),
        ((NodeStatus::Warming, None), false)
    );
    fixture.wait(seconds(16));
    assert_eq!(fixture.status(1), NodeStatus::Ready);
    assert_eq!(
        fixture.exclusions,
        [(1, Some(ExclusionReason::Warming)), (1, None)]
    );
}

/// A node restarts under its number while it is draining. The drain is for the machine.
#[test]
fn a_node_that_restarts_while_draining_stays_draining() {
    let mut fixture = Fixture::new();
    fixture.drain(1, Some(Stage::Draining), seconds(0));
    fixture.report(H1, 1, |seen| {
        (seen.listed, seen.attempts, seen.revision) = (ListedState::Gone, 1, 2);
    });
    assert_eq!(fixture.status(1), NodeStatus::Draining);
    fixture.report(H1, 1, |seen| {
        (seen.incarnation, seen.age, seen.revision) = (2, Some(seconds(0)), 3);
    });
    assert_eq!(fixture.status(1), NodeStatus::Draining);
    fixture.acknowledge(H1);
    fixture.acknowledge(H2);
    fixture.report(H2, 1, |_| ());
    assert_eq!(fixture.status(1), NodeStatus::Drained);
    // The node is drained and its process runs, so it is not removed.
    fixture.wait(seconds(60));
    assert_eq!(fixture.committed.len(), 1);
}

#[test]
fn a_drain_is_given_up_at_its_timeout() {
    let mut fixture = Fixture::new();
    fixture.drain(1, Some(Stage::Draining), seconds(30));
    fixture.acknowledge(H1);
    fixture.acknowledge(H2);
    fixture.report(H2, 1, |_| ());
    fixture.report(H1, 1, |seen| seen.attempts = 1);
    fixture.wait(seconds(29));
    assert_eq!(
        (fixture.committed.len(), fixture.status(1)),
        (0, NodeStatus::Draining)
    );
    fixture.wait(seconds(1));
    assert_eq!(
        fixture.committed,
        [(1, None, "given up: not empty within 30 s".into())]
    );
    assert_eq!(
        (fixture.status_and_phase(1), fixture.is_blocked(1)),
        ((NodeStatus::Ready, None), false)
    );
}

/// Another change commits before a proposal. The outcome of that proposal is ignored, and the drain
/// is proposed again.
#[test]
fn the_outcome_of_a_superseded_proposal_is_ignored() {
    let mut fixture = Fixture::new();
    fixture.drain(1, Some(Stage::Draining), seconds(0));
    fixture.acknowledge(H1);
    fixture.acknowledge(H2);
    fixture.report(H1, 1, |_| ());
    let observation = NodeObservation {
        listed: ListedState::Ready,
        incarnation: 1,
        revision: 1,
        catalog_version: Version(fixture.version),
        ..NodeObservation::default()
    };
    let observed = Event::Observed {
        host: H2,
        node: 1,
        observation,
    };
    let wall = fixture.now + fixture.wall;
    let actions = fixture.membership.step(fixture.now, wall, vec![observed]);
    let proposed = actions.into_iter().find_map(|action| match action {
        Action::Propose { proposal, .. } => Some(proposal),
        _ => None,
    });
    let proposal = proposed.expect("the node is quiet");
    // In the meantime, the operator has ended the drain, and drains the node again.
    fixture.drain(1, None, seconds(0));
    fixture.drain(1, Some(Stage::Draining), seconds(0));
    fixture.step(vec![Event::Rejected {
        proposal,
        reason: "changed meanwhile".into(),
    }]);
    assert_eq!(fixture.phase(1), notifying(&[(H1, true), (H2, true)]));
}
