//! The endpoint list keeps the first start time that it computed for each start of a node, and rejects a
//! truncated stored copy.

use grebecleat_discovery::endpoint_list::EndpointList;
use grebecleat_scheduler::api::NodeId;
use grebecleat_wire::pb;
use std::time::Duration;

const fn seconds(n: u64) -> Duration {
    Duration::from_secs(n)
}

/// Returns an entry of node 3 with this start number and uptime in seconds.
fn entry(start: u64, uptime: u64) -> pb::Endpoint {
    pb::Endpoint {
        node: 3,
        state: pb::NodeState::Ready.into(),
        address: "127.0.0.1:9".into(),
        start,
        up_us: Some(uptime * 1_000_000),
        ..Default::default()
    }
}

#[test]
fn one_start_keeps_its_start_time_and_a_truncated_stored_copy_is_rejected() {
    let mut list = EndpointList::default();
    let mut started = |entry, now, revision| list.read(&entry, now, revision).unwrap().started;
    assert_eq!(started(entry(1, 4), seconds(10), 1), Some(seconds(6)));
    assert_eq!(
        started(entry(1, 4), seconds(11), 1),
        Some(seconds(6)),
        "the message was delayed by a second"
    );
    assert_eq!(started(entry(2, 0), seconds(12), 2), Some(seconds(12)));
    let bytes = list.to_bytes(seconds(13));
    assert_eq!(
        EndpointList::from_bytes(&bytes).unwrap().endpoints[0].up_us,
        Some(1_000_000)
    );
    assert!(EndpointList::from_bytes(&bytes[..bytes.len() - 1]).is_err());
    assert_eq!(list.retain_listed(&[], 3), [NodeId(3)]);
    assert!(list.retain_listed(&[], 3).is_empty());
}
