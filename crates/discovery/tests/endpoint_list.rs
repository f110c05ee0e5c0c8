//! The endpoint list keeps the start time of each start, and reads only a complete stored copy.

use grebecleat_discovery::endpoint_list::EndpointList;
use grebecleat_scheduler::api::NodeId;
use grebecleat_wire::pb;
use std::time::Duration;

#[test]
fn one_start_keeps_its_moment_and_a_damaged_memory_is_refused() {
    let s = Duration::from_secs;
    let entry = |start, up: u64| pb::Endpoint {
        node: 3,
        state: pb::NodeState::Ready.into(),
        address: "127.0.0.1:9".into(),
        start,
        up_us: Some(up * 1_000_000),
        ..Default::default()
    };
    let mut l = EndpointList::default();
    assert_eq!(l.read(&entry(1, 4), s(10), 1).unwrap().started, Some(s(6)));
    assert_eq!(
        l.read(&entry(1, 4), s(11), 1).unwrap().started,
        Some(s(6)),
        "the message waited a second"
    );
    assert_eq!(l.read(&entry(2, 0), s(12), 2).unwrap().started, Some(s(12)));
    let bytes = l.to_bytes(s(13));
    assert_eq!(
        EndpointList::from_bytes(&bytes).unwrap().endpoints[0].up_us,
        Some(1_000_000)
    );
    assert!(EndpointList::from_bytes(&bytes[..bytes.len() - 1]).is_err());
    assert_eq!(l.retain_listed(&[], 3), [NodeId(3)]);
    assert!(l.retain_listed(&[], 3).is_empty());
}
