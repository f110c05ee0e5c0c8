//! Tests restarts of the catalog service at each stage of a drain.

use crate::fixture::*;
use grebecleat_catalog::records::{Drain, Stage, Version};
use grebecleat_membership::drains::{Event, Membership};
use grebecleat_membership::node_status::NodeStatus;

/// Returns a fixture whose membership was replaced by a new one, with a drain of node 1 in the
/// catalog. `since` is the time of the drain's request, in seconds since 1970.
fn restarted(stage: Stage, since: u64) -> Fixture {
    let mut fixture = Fixture::new();
    fixture.version = 5;
    fixture.membership = Membership::new(fixture.now, seconds(20), seconds(3), [H1, H2]);
    let version = Version(5);
    let acknowledged = |host| Event::Acknowledged {
        host,
        version: Some(version),
    };
    let drain = Drain {
        stage,
        timeout: seconds(30),
        author: "ann".into(),
        requested_at: seconds(since),
        since: seconds(since),
    };
    fixture.step(vec![
        Event::Persisted { version },
        Event::Drain {
            node: 1,
            to: Some(drain),
            version,
        },
        acknowledged(H1),
        acknowledged(H2),
    ]);
    fixture.start();
    fixture
}

/// During the restart, the wall clock steps by nothing, back by an hour, and forward by an hour.
#[test]
fn a_restarted_service_continues_a_drain_with_its_remaining_time() {
    for (since, remaining) in [
        (WALL_OFFSET_SECONDS + 990, 20),
        (WALL_OFFSET_SECONDS + 4600, 30),
        (WALL_OFFSET_SECONDS - 2600, 10),
    ] {
        let mut fixture = restarted(Stage::Draining, since);
        let view = fixture
            .membership
            .node(1, 0.0)
            .expect("the node is in the catalog");
        let time_left = view.drain.and_then(|drain| drain.time_left);
        assert_eq!(time_left, Some(seconds(remaining)));
        // Attempts from before the restart may still run, although the hosts count none.
        assert_eq!(fixture.phase(1), quiescing(0, 0, 6));
        fixture.wait(seconds(6));
        assert_eq!(
            fixture.committed,
            [(
                1,
                Some(Stage::Drained),
                "no host has an attempt in flight".into()
            )]
        );
    }
}

#[test]
fn a_restarted_service_knows_the_status_of_each_stage() {
    for (stage, status) in [
        (Stage::Queued, NodeStatus::Draining),
        (Stage::Drained, NodeStatus::Drained),
        (Stage::Removed, NodeStatus::Removed),
    ] {
        let mut fixture = restarted(stage, WALL_OFFSET_SECONDS + 999);
        fixture.wait(seconds(1));
        assert_eq!(fixture.status(1), status, "{stage:?}");
    }
}
