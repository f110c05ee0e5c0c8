use super::*;

#[test]
fn a_change_is_published_after_its_lag_and_the_uptime_advances() {
    let seconds = Duration::from_secs;
    let mut service = DiscoveryService::default();
    let endpoint = pb::Endpoint {
        node: 1,
        state: pb::NodeState::Ready.into(),
        up_us: Some(0),
        ..Default::default()
    };

    service.announce(seconds(10), endpoint, seconds(2));

    assert!(service.advance(seconds(11)).is_none());
    assert!(service.snapshot(seconds(11)).endpoints.is_empty());
    let update = service.advance(seconds(12)).unwrap();
    assert_eq!(update.endpoints[0].up_us, Some(2_000_000));
    let snapshot = service.snapshot(seconds(15));
    assert_eq!(snapshot.endpoints[0].up_us, Some(5_000_000));
}
