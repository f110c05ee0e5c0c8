use super::*;

#[test]
fn a_change_shows_after_its_lag_and_ages_go_on() {
    let s = Duration::from_secs;
    let mut l = DiscoveryService::default();
    let up = pb::Endpoint {
        node: 1,
        state: pb::NodeState::Ready.into(),
        up_us: Some(0),
        ..Default::default()
    };
    l.announce(s(10), up, s(2));
    assert!(l.advance(s(11)).is_none() && l.snapshot(s(11)).endpoints.is_empty());
    assert_eq!(
        l.advance(s(12)).unwrap().endpoints[0].up_us,
        Some(2_000_000)
    );
    assert_eq!(l.snapshot(s(15)).endpoints[0].up_us, Some(5_000_000));
}
