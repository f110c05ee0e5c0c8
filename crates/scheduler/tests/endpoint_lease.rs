//! Lease of the endpoint list: the requests that a host still sends without an answer from discovery.

mod common;

use common::*;
use grebecleat_scheduler::api::*;
use grebecleat_scheduler::scheduler::Scheduler;
use std::time::Duration;

const LEASE: Duration = ms(5750);
/// Time of discovery's last answer.
const ANSWERED: u64 = 2000;
const LEASE_ENDS: u64 = 7750;

fn leased_host() -> Scheduler {
    let discovery = DiscoveryPolicy {
        polled: true,
        poll_interval: ms(6000),
        lease: Some(LEASE),
    };
    let classes = vec![class_with(Idempotency::Idempotent)];
    let plans = vec![plan(100.0)];
    Scheduler::new(7, classes, plans, units(), host_limits()).with_rules(
        slow_start_policy(),
        discovery,
        None,
        ms(200),
    )
}

fn both_ready() -> Vec<Endpoint> {
    vec![
        endpoint(1, NodeState::Ready, None),
        endpoint(2, NodeState::Ready, None),
    ]
}

/// A host with one answer from discovery.
fn answered_host() -> Scheduler {
    let mut host = leased_host();
    host.step(ms(1000), vec![]);
    let list = endpoint_update(EndpointUpdateKind::Snapshot, both_ready());
    host.step(ms(ANSWERED), vec![list, Event::EndpointsConfirmed]);
    host
}

/// Returns whether a request received then goes to node 1 before its deadline, one second later.
fn is_sent(host: &mut Scheduler, number: u8, now: u64) -> bool {
    let request = request(number, ms(now + 1000));
    let (sent, ..) = step_at(host, now, vec![Event::RequestReceived(request)]);
    let mut sent = sent.len();
    for later in (now + 5..now + 1100).step_by(5) {
        sent += step_at(host, later, vec![]).0.len();
    }
    sent > 0
}

/// Sends a request then, whose attempt ends 10 ms later with that outcome.
fn attempt_that_ends(host: &mut Scheduler, number: u8, now: u64, outcome: AttemptOutcome) {
    let request = request(number, ms(now + 1000));
    let (sent, ..) = step_at(host, now, vec![Event::RequestReceived(request)]);
    assert_eq!(sent.len(), 1, "request {number} is sent at {now}");
    step_at(
        host,
        now + 10,
        vec![attempt_end(number, 1, outcome, ms(10), true)],
    );
}

#[test]
fn a_list_is_used_until_its_lease_expires_and_again_once_discovery_answers() {
    let mut host = answered_host();
    attempt_that_ends(&mut host, 1, LEASE_ENDS - 20, AttemptOutcome::Failed);
    assert!(!is_sent(&mut host, 2, LEASE_ENDS + 10));
    step_at(
        &mut host,
        LEASE_ENDS + 1500,
        vec![Event::EndpointsConfirmed],
    );
    assert!(is_sent(&mut host, 3, LEASE_ENDS + 1600));
}

/// Discovery that pushes changes only has no lease.
#[test]
fn a_list_without_a_lease_does_not_expire() {
    let classes = vec![class_with(Idempotency::Idempotent)];
    let mut host = host(classes, vec![plan(100.0)], None);
    assert!(is_sent(&mut host, 1, 600_000));
}

#[test]
fn a_list_stored_before_the_start_is_used_for_three_seconds() {
    for (now, expected) in [(3990, true), (4010, false)] {
        let mut host = leased_host();
        host.step(
            ms(1000),
            vec![endpoint_update(EndpointUpdateKind::Cached, both_ready())],
        );
        assert_eq!(is_sent(&mut host, 1, now), expected, "at {now}");
    }
}

#[test]
fn a_move_of_discovery_shortens_the_lease() {
    // Discovery moves one second after its last answer, and late in the lease; the lease is never extended.
    for (moved, last_sent) in [(3000, 6750), (7000, LEASE_ENDS)] {
        for (now, expected) in [(last_sent - 10, true), (last_sent + 10, false)] {
            let mut host = answered_host();
            step_at(&mut host, moved, vec![Event::DiscoveryMoved]);
            assert_eq!(
                is_sent(&mut host, 1, now),
                expected,
                "moved at {moved}, sent at {now}"
            );
        }
    }
}

/// A node may complete requests for up to three seconds after discovery published its draining.
#[test]
fn a_node_that_completes_requests_gets_more_for_the_lease_less_the_drain_notice() {
    for (after, expected) in [(2700, true), (2800, false)] {
        let mut host = answered_host();
        attempt_that_ends(&mut host, 1, LEASE_ENDS - 100, AttemptOutcome::Completed);
        assert_eq!(
            is_sent(&mut host, 2, LEASE_ENDS - 100 + after),
            expected,
            "after {after} ms"
        );
    }
}

#[test]
fn a_node_that_may_be_draining_or_replaced_waits_for_discovery() {
    use AttemptOutcome::*;
    for outcome in [QueueFull, ConnectFailed, ConnectionReset, TimedOut] {
        let mut host = answered_host();
        attempt_that_ends(&mut host, 1, LEASE_ENDS - 300, Completed);
        attempt_that_ends(&mut host, 2, LEASE_ENDS - 200, outcome);
        assert!(!is_sent(&mut host, 3, LEASE_ENDS + 10), "{outcome:?}");
        step_at(
            &mut host,
            LEASE_ENDS + 1500,
            vec![Event::EndpointsConfirmed],
        );
        assert!(
            is_sent(&mut host, 4, LEASE_ENDS + 1600),
            "{outcome:?}, confirmed"
        );
    }
}

/// A full queue has capacity again, and only one connection of the node was lost.
#[test]
fn a_node_that_completes_an_older_attempt_is_the_same_process_and_gets_more() {
    use AttemptOutcome::*;
    let begin = LEASE_ENDS - 500;
    let mut host = answered_host();
    attempt_that_ends(&mut host, 1, begin, QueueFull);
    attempt_that_ends(&mut host, 2, begin + 100, Completed);
    assert!(is_sent(&mut host, 3, LEASE_ENDS + 10), "its queue was full");

    let mut host = answered_host();
    let deadline = ms(begin + 1000);
    let both = [1, 2].map(|number| Event::RequestReceived(request(number, deadline)));
    assert_eq!(step_at(&mut host, begin, both.into()).0.len(), 2);
    step_at(
        &mut host,
        begin + 10,
        vec![attempt_end(1, 1, ConnectionReset, ms(10), true)],
    );
    step_at(
        &mut host,
        begin + 20,
        vec![attempt_end(2, 1, Completed, ms(20), true)],
    );
    assert!(
        is_sent(&mut host, 3, LEASE_ENDS + 10),
        "one connection was reset"
    );
}

/// After a call that was queued for long before discovery refused it, the host waits longer: in the long run it
/// calls once in a poll interval.
#[test]
fn refused_calls_back_off_to_one_in_a_poll_interval() {
    let mut host = answered_host();
    let mut now = ANSWERED;
    let mut waits = Vec::new();
    for _ in 0..8 {
        now += 2000;
        let refused = Event::FetchRefused { waited: ms(2000) };
        let begun = now;
        let mut actions = host.step(ms(now), vec![refused]);
        while !actions
            .iter()
            .any(|action| matches!(action, Action::WatchEndpoints { .. }))
        {
            now += 5;
            actions = host.step(ms(now), vec![]);
        }
        waits.push(now - begun);
    }
    assert!((1000..=3010).contains(&waits[0]), "{waits:?}");
    assert!(
        waits[1..].iter().all(|wait| (2000..=6010).contains(wait)),
        "{waits:?}"
    );
    let cycle = 2000 + waits[1..].iter().sum::<u64>() / 7;
    assert!((4500..7500).contains(&cycle), "a call each {cycle} ms");
}
