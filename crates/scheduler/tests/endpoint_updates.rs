//! Updates of the endpoint list, and the calls to discovery that fetch it.

mod common;
use common::*;
use grebecleat_scheduler::api::*;
use grebecleat_scheduler::scheduler::Scheduler;

#[test]
fn a_draining_or_gone_node_gets_no_new_request() {
    for state in [NodeState::Draining, NodeState::Gone] {
        let mut scheduler = idempotent_host(plan(1.0));
        let update = endpoint_update(EndpointUpdateKind::Delta, vec![endpoint(1, state, None)]);
        let (sent, rejected, _) = step_at(
            &mut scheduler,
            1010,
            vec![update, Event::RequestReceived(request(1, ms(3000)))],
        );
        assert_eq!((sent.len(), rejected.len()), (0, 1));
    }
    // A node that is missing from a snapshot is gone, and the requests queued for it are rejected at once.
    let mut scheduler = idempotent_host(plan(1.0));
    step_at(
        &mut scheduler,
        1001,
        (1..=20)
            .map(|n| Event::RequestReceived(request(n, ms(9000))))
            .collect(),
    );
    let (sent, rejected, _) = step_at(
        &mut scheduler,
        1003,
        vec![endpoint_update(
            EndpointUpdateKind::Snapshot,
            vec![endpoint(2, NodeState::Ready, None)],
        )],
    );
    assert!(sent.is_empty() && rejected.len() > 5, "{}", rejected.len());
}

#[test]
fn the_endpoint_list_is_fetched_at_the_start_and_after_each_failed_call() {
    let discovery = discovery_policy(true);
    let mut scheduler = Scheduler::new(
        3,
        vec![class_with(KEYED)],
        vec![plan(1.0)],
        units(),
        host_limits(),
    )
    .with_policies(slow_start_policy(), discovery, None, ms(0));
    let mut calls_at = Vec::new();
    for t in (1000..40_000).step_by(10) {
        let failed = calls_at.last() == Some(&(t - 10)) && calls_at.len() < 6;
        let events = if failed {
            vec![endpoint_update(EndpointUpdateKind::FetchFailed, vec![])]
        } else {
            vec![]
        };
        let called = scheduler
            .step(ms(t), events)
            .contains(&Action::WatchEndpoints { on: true });
        calls_at.extend(called.then_some(t));
    }
    assert_eq!(
        calls_at.len(),
        6,
        "expected one call at the start and one after each failed call: {calls_at:?}"
    );
    assert!(
        calls_at.windows(2).all(|w| w[1] - w[0] < 10_000)
            && calls_at[5] - calls_at[4] > calls_at[1] - calls_at[0]
    );
}
