//! Hosts that disconnect, restart or never connect while a node is draining.

use crate::fixture::*;
use grebecleat_catalog::records::Stage;
use grebecleat_membership::drains::{Event, Phase};
use grebecleat_membership::node_status::NodeStatus;

/// A disconnected host may still send attempts based on the catalog version that it has persisted.
#[test]
fn a_disconnected_host_blocks_a_drain_until_an_operator_removes_it() {
    let mut fixture = Fixture::new();
    fixture.report(H2, 1, |seen| seen.attempts = 4);
    fixture.disconnect(H2);
    fixture.drain(1, Some(Stage::Draining), seconds(0));
    fixture.acknowledge(H1);
    fixture.report(H1, 1, |_| ());
    fixture.wait(seconds(100));
    assert_eq!(fixture.phase(1), notifying(&[(H2, false)]));
    fixture.step(vec![Event::HostRemoved { host: H2 }]);
    assert_eq!(fixture.status(1), NodeStatus::Drained);
}

#[test]
fn attempts_of_a_lost_host_get_twice_the_longest_attempt_time() {
    let mut fixture = Fixture::new();
    fixture.drain(1, Some(Stage::Draining), seconds(0));
    for host in [H1, H2] {
        fixture.acknowledge(host);
        fixture.report(host, 1, |seen| seen.attempts = u32::from(host == H2));
    }
    fixture.disconnect(H2);
    assert_eq!(fixture.phase(1), quiescing(0, 1, 6));
    fixture.wait(seconds(5));
    // The state exploration found this case: the disconnected host continues to send, and ends only
    // just before its next incarnation connects.
    fixture.connect(H2, 2);
    fixture.report(H2, 1, |_| ());
    fixture.wait(seconds(5));
    assert_eq!(fixture.status(1), NodeStatus::Draining);
    fixture.wait(seconds(1));
    assert_eq!(fixture.status(1), NodeStatus::Drained);
}

#[test]
fn a_reconnected_incarnation_counts_its_own_attempts() {
    let mut fixture = Fixture::new();
    fixture.disconnect(H2);
    fixture.wait(seconds(7));
    fixture.connect(H2, 1);
    fixture.drain(1, Some(Stage::Draining), seconds(0));
    for host in [H1, H2] {
        fixture.acknowledge(host);
        fixture.report(host, 1, |_| ());
    }
    assert_eq!(fixture.status(1), NodeStatus::Drained);
}

#[test]
fn a_host_that_never_acknowledged_does_not_block_a_drain() {
    let mut fixture = Fixture::new();
    fixture.step(vec![Event::Acknowledged {
        host: H2,
        version: None,
    }]);
    fixture.drain(1, Some(Stage::Draining), seconds(0));
    fixture.acknowledge(H1);
    fixture.report(H1, 1, |_| ());
    assert_eq!(fixture.status(1), NodeStatus::Drained);
}

/// The state exploration found this fault: the attempt counts of a host's earlier incarnation were
/// used for the next one, which had started without the drain, sent an attempt, and then applied
/// the drain.
#[test]
fn counts_of_an_earlier_incarnation_do_not_apply_to_the_next() {
    let mut fixture = Fixture::new();
    fixture.drain(1, Some(Stage::Draining), seconds(0));
    fixture.acknowledge(H2);
    fixture.report(H2, 1, |_| ());
    // The host applies the drain, has no attempt in flight, and ends before it persists the drain.
    fixture.report(H1, 1, |_| ());
    fixture.step(vec![
        Event::HostDisconnected { host: H1 },
        Event::HostConnected {
            host: H1,
            incarnation: 2,
        },
    ]);
    fixture.wait(seconds(10));
    fixture.acknowledge(H1);
    assert!(
        matches!(fixture.phase(1), Phase::Quiescing { .. }),
        "the next incarnation has not counted its attempts yet"
    );
    fixture.report(H1, 1, |seen| seen.attempts = 1);
    assert_eq!(fixture.phase(1), quiescing(1, 1, 0));
}
