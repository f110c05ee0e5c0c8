//! An endpoint list that an earlier version remembered (`tests/data`) is taken as it stands.

use grebecleat_discovery::endpoint_list::EndpointList;
use grebecleat_wire::pb;

#[test]
fn a_remembered_list_of_the_former_version_names_its_nodes() {
    let bytes = include_bytes!("../../../tests/data/host.list");
    let list = EndpointList::from_bytes(bytes).unwrap();
    assert_eq!(list.kind(), pb::EndpointUpdateKind::Snapshot);
    let seen: Vec<(u32, u32, u32, pb::NodeState)> = list
        .endpoints
        .iter()
        .map(|e| (e.node, e.zone, e.shard, e.state()))
        .collect();
    let wanted: Vec<_> = (1..=6)
        .map(|node| (node, u32::from(node > 3), node, pb::NodeState::Ready))
        .collect();
    assert_eq!(seen, wanted);
    assert!(list.endpoints.iter().all(|e| e.start == 1));
    assert!(list
        .endpoints
        .iter()
        .all(|e| e.address.starts_with("127.0.0.1:")));
}
