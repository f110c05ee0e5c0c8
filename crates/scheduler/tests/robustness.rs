//! Settings out of range and very large fleets.

mod common;
use common::*;
use grebecleat_scheduler::api::*;
use grebecleat_scheduler::scheduler::{concurrency_limit, reservation_fraction, Scheduler};

#[test]
fn zero_infinite_undefined_and_negative_settings_do_not_panic() {
    let invalid = [0.0, f64::INFINITY, f64::NAN, -3.0];
    for value in invalid {
        assert!(
            concurrency_limit(value, ms(0), value, 0).is_nan()
                || concurrency_limit(value, ms(0), value, 0) <= f64::INFINITY
        );
        assert!(reservation_fraction(0.0, 0.0, Some(0.0), 0) == 1.0);
        let zero_plan = Plan {
            weight: 0.0,
            base_rate: 0.0,
            price: 0.0,
            ..Plan::default()
        };
        let mut scheduler = idempotent_host(zero_plan);
        let empty_request = Request {
            units: 0.0,
            hosts: 0,
            ..request(1, ms(2000))
        };
        step_at(
            &mut scheduler,
            1010,
            vec![
                Event::RequestReceived(empty_request),
                endpoint_update(EndpointUpdateKind::Delta, vec![]),
            ],
        );
        step_at(
            &mut scheduler,
            2000,
            vec![attempt_end(1, 1, AttemptOutcome::Completed, ms(0), true)],
        );
        // The measured rate falls to zero while the node is silent for long. The queueing time that is computed
        // from it must not overflow.
        step_at(
            &mut scheduler,
            2010,
            (2..60)
                .map(|n| Event::RequestReceived(request(n, ms(9_000_000))))
                .collect(),
        );
        for t in (3000..1_000_000).step_by(500) {
            step_at(&mut scheduler, t, vec![]);
        }
    }
}

#[test]
fn thousands_of_nodes_and_hosts_are_handled() {
    for (hosts, nodes) in [(0, 3000), (1, 3000), (100_000, 0)] {
        let policy = SlowStartPolicy {
            hosts,
            ..slow_start_policy()
        };
        let discovery = discovery_policy(true);
        let mut scheduler = Scheduler::new(
            1,
            vec![class_with(KEYED)],
            vec![plan(1.0)],
            units(),
            host_limits(),
        )
        .with_policies(policy, discovery, None, ms(0));
        let endpoints = (1..=nodes)
            .map(|n| endpoint(n, NodeState::Ready, Some(ms(900))))
            .collect();
        step_at(
            &mut scheduler,
            1000,
            vec![endpoint_update(EndpointUpdateKind::Snapshot, endpoints)],
        );
        let request = Request {
            hosts: 9999,
            ..request(1, ms(3000))
        };
        let (sent, rejected, _) =
            step_at(&mut scheduler, 1800, vec![Event::RequestReceived(request)]);
        assert!(sent.len() + rejected.len() <= 1 && (nodes > 0 || rejected.len() == 1));
    }
}
