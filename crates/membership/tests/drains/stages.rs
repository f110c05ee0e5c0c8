//! Tests the stages of a drain, from the request to the removal of the node.

use crate::fixture::*;
use grebecleat_catalog::admission::ExclusionReason;
use grebecleat_catalog::records::{Stage, Version};
use grebecleat_membership::drains::{Action, Event, NodeObservation, Phase};
use grebecleat_membership::list_entry::ListedState;
use grebecleat_membership::node_status::NodeStatus;

/// Returns a fixture in which node 1 is drained: every host is notified and quiescent.
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
fn a_node_is_drained_when_every_host_is_notified_and_quiescent() {
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
    // The host's count from before it applied the drain does not suffice.
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
            "no host has an attempt in flight".into()
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
                "unknown whether extents are stored on no other node"
            ]))
        )
    );
    fixture.report(H1, 1, |seen| seen.extents = Some(7));
    assert_eq!(
        fixture.phase(1),
        drained(&["7 extents are stored on no other available node"])
    );
    fixture.report(H1, 1, |seen| seen.extents = Some(0));
    assert_eq!(fixture.phase(1), drained(&[]));
    // The node's process ends, and the endpoint list no longer contains it.
    fixture.report(H1, 1, |seen| {
        (seen.listed, seen.revision) = (ListedState::Gone, 2);
    });
    assert_eq!(
        fixture.status_and_phase(1),
        (NodeStatus::Removed, Some(Phase::Removed))
    );
    // The other host still has the older list.
    fixture.report(H2, 1, |_| ());
    assert_eq!(fixture.status(1), NodeStatus::Removed);
}

/// A removed machine runs again. Hosts must send it nothing until an operator ends its drain.
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

/// A node's process restarts while the node is draining. A drain applies to the machine, so it
/// continues.
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
    // The endpoint list still contains the node, so the node is not removed.
    fixture.wait(seconds(60));
    assert_eq!(fixture.committed.len(), 1);
}

#[test]
fn a_drain_is_canceled_at_its_timeout() {
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
        [(1, None, "canceled: node not drained within 30 s".into())]
    );
    assert_eq!(
        (fixture.status_and_phase(1), fixture.is_blocked(1)),
        ((NodeStatus::Ready, None), false)
    );
}

/// An operator's changes are committed while a proposal has no outcome yet. The outcome of that
/// proposal must not affect the new drain.
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
    let wall = fixture.now + fixture.wall_offset;
    let actions = fixture.membership.step(fixture.now, wall, vec![observed]);
    let proposed = actions.into_iter().find_map(|action| match action {
        Action::Propose { proposal, .. } => Some(proposal),
        _ => None,
    });
    let proposal = proposed.expect("the hosts are quiescent, so the next stage is proposed");
    // Meanwhile, the operator ends the drain and drains the node again.
    fixture.drain(1, None, seconds(0));
    fixture.drain(1, Some(Stage::Draining), seconds(0));
    fixture.step(vec![Event::Rejected {
        proposal,
        reason: "changed meanwhile".into(),
    }]);
    assert_eq!(fixture.phase(1), notifying(&[(H1, true), (H2, true)]));
}
