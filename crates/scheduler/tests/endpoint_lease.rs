//! Lease of the endpoint list: how long a host continues to use the list while discovery does not respond.

mod common;

use common::*;
use grebecleat_scheduler::api::*;
use grebecleat_scheduler::scheduler::Scheduler;
use std::time::Duration;

const LEASE: Duration = ms(5750);
/// When discovery last responded, in milliseconds.
const LAST_RESPONSE: u64 = 2000;
/// When the lease expires, in milliseconds: `LEASE` after `LAST_RESPONSE`.
const LEASE_EXPIRY: u64 = 7750;

fn leased_host() -> Scheduler {
    let discovery = DiscoveryPolicy {
        polled: true,
        poll_interval: ms(6000),
        lease: Some(LEASE),
    };
    let classes = vec![class_with(Idempotency::Idempotent)];
    let plans = vec![plan(100.0)];
    Scheduler::new(7, classes, plans, units(), host_limits()).with_policies(
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

/// Returns a host that has received one complete list from discovery.
fn host_with_list() -> Scheduler {
    let mut host = leased_host();
    host.step(ms(1000), vec![]);
    let list = endpoint_update(EndpointUpdateKind::Snapshot, both_ready());
    host.step(ms(LAST_RESPONSE), vec![list, Event::EndpointsConfirmed]);
    host
}

/// Returns whether a request that is received at `now` is sent to node 1 before its deadline, one second later.
fn is_sent(host: &mut Scheduler, number: u8, now: u64) -> bool {
    let request = request(number, ms(now + 1000));
    let (sent, ..) = step_at(host, now, vec![Event::RequestReceived(request)]);
    let mut sent = sent.len();
    for later in (now + 5..now + 1100).step_by(5) {
        sent += step_at(host, later, vec![]).0.len();
    }
    sent > 0
}

/// Sends a request at `now`, and ends its attempt with `outcome` 10 ms later.
fn run_attempt(host: &mut Scheduler, number: u8, now: u64, outcome: AttemptOutcome) {
    let request = request(number, ms(now + 1000));
    let (sent, ..) = step_at(host, now, vec![Event::RequestReceived(request)]);
    assert_eq!(sent.len(), 1, "request {number} must be sent at {now} ms");
    step_at(
        host,
        now + 10,
        vec![attempt_end(number, 1, outcome, ms(10), true)],
    );
}

#[test]
fn a_list_is_used_until_its_lease_expires_and_again_once_discovery_responds() {
    let mut host = host_with_list();
    run_attempt(&mut host, 1, LEASE_EXPIRY - 20, AttemptOutcome::Failed);
    assert!(!is_sent(&mut host, 2, LEASE_EXPIRY + 10));
    step_at(
        &mut host,
        LEASE_EXPIRY + 1500,
        vec![Event::EndpointsConfirmed],
    );
    assert!(is_sent(&mut host, 3, LEASE_EXPIRY + 1600));
}

/// A discovery service that only pushes changes grants no lease: its silence means that nothing has changed.
#[test]
fn a_list_without_a_lease_does_not_expire() {
    let classes = vec![class_with(Idempotency::Idempotent)];
    let mut host = host(classes, vec![plan(100.0)], None);
    assert!(is_sent(&mut host, 1, 600_000));
}

#[test]
fn a_cached_list_is_used_for_three_seconds_after_the_start() {
    for (now, expected) in [(3990, true), (4010, false)] {
        let mut host = leased_host();
        host.step(
            ms(1000),
            vec![endpoint_update(EndpointUpdateKind::Cached, both_ready())],
        );
        assert_eq!(is_sent(&mut host, 1, now), expected, "at {now} ms");
    }
}

#[test]
fn an_address_change_of_discovery_shortens_the_lease() {
    // Discovery changes its address one second after its last response, or shortly before the lease expires. An
    // address change never extends the lease.
    for (moved, last_sent) in [(3000, 6750), (7000, LEASE_EXPIRY)] {
        for (now, expected) in [(last_sent - 10, true), (last_sent + 10, false)] {
            let mut host = host_with_list();
            step_at(&mut host, moved, vec![Event::DiscoveryMoved]);
            assert_eq!(
                is_sent(&mut host, 1, now),
                expected,
                "address changed at {moved} ms, request at {now} ms"
            );
        }
    }
}

/// A node may complete requests for up to three seconds after discovery announced that it is draining, so a
/// completed request proves only that draining was not announced more than three seconds earlier.
#[test]
fn a_node_that_completes_requests_is_used_for_the_lease_less_the_drain_notice() {
    for (after, expected) in [(2700, true), (2800, false)] {
        let mut host = host_with_list();
        run_attempt(&mut host, 1, LEASE_EXPIRY - 100, AttemptOutcome::Completed);
        assert_eq!(
            is_sent(&mut host, 2, LEASE_EXPIRY - 100 + after),
            expected,
            "after {after} ms"
        );
    }
}

#[test]
fn a_node_that_may_be_draining_or_replaced_is_unused_until_discovery_responds() {
    use AttemptOutcome::*;
    for outcome in [QueueFull, ConnectFailed, ConnectionReset, TimedOut] {
        let mut host = host_with_list();
        run_attempt(&mut host, 1, LEASE_EXPIRY - 300, Completed);
        run_attempt(&mut host, 2, LEASE_EXPIRY - 200, outcome);
        assert!(!is_sent(&mut host, 3, LEASE_EXPIRY + 10), "{outcome:?}");
        step_at(
            &mut host,
            LEASE_EXPIRY + 1500,
            vec![Event::EndpointsConfirmed],
        );
        assert!(
            is_sent(&mut host, 4, LEASE_EXPIRY + 1600),
            "{outcome:?}, list confirmed"
        );
    }
}

/// After a full queue, a completed attempt shows that the node has capacity again. After a reset, an attempt
/// that was sent earlier and completes shows that only one connection was lost and the process did not restart.
#[test]
fn a_node_that_completes_an_older_attempt_is_the_same_process_and_stays_in_use() {
    use AttemptOutcome::*;
    let begin = LEASE_EXPIRY - 500;
    let mut host = host_with_list();
    run_attempt(&mut host, 1, begin, QueueFull);
    run_attempt(&mut host, 2, begin + 100, Completed);
    assert!(
        is_sent(&mut host, 3, LEASE_EXPIRY + 10),
        "the queue was full before"
    );

    let mut host = host_with_list();
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
        is_sent(&mut host, 3, LEASE_EXPIRY + 10),
        "only one connection was reset"
    );
}

/// If discovery queues a call for long before it refuses it, the backoff grows, so that the host makes about
/// one call in each poll interval.
#[test]
fn refused_calls_back_off_to_one_in_a_poll_interval() {
    let mut host = host_with_list();
    let mut now = LAST_RESPONSE;
    let mut waits = Vec::new();
    for _ in 0..8 {
        now += 2000;
        let refused = Event::FetchRefused { waited: ms(2000) };
        let refused_at = now;
        let mut actions = host.step(ms(now), vec![refused]);
        while !actions
            .iter()
            .any(|action| matches!(action, Action::WatchEndpoints { .. }))
        {
            now += 5;
            actions = host.step(ms(now), vec![]);
        }
        waits.push(now - refused_at);
    }
    assert!((1000..=3010).contains(&waits[0]), "{waits:?}");
    assert!(
        waits[1..].iter().all(|wait| (2000..=6010).contains(wait)),
        "{waits:?}"
    );
    let cycle = 2000 + waits[1..].iter().sum::<u64>() / 7;
    assert!((4500..7500).contains(&cycle), "one call every {cycle} ms");
}
