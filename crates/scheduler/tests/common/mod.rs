//! A host with plain settings, and short ways to tell it things.
#![allow(dead_code)]

use grebecleat_scheduler::api::*;
use grebecleat_scheduler::scheduler::Scheduler;
use std::time::Duration;

pub const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

pub fn stream(idempotency: Idempotency) -> TrafficClass {
    TrafficClass {
        latency_objective: ms(200),
        idempotency,
        ordered: false,
        priority_weight: 2.0,
        late_fraction: 0.2,
    }
}

pub fn plan(reservation: f64) -> Plan {
    Plan {
        base_rate: 10.0,
        reservation,
        weight: 1.0,
        price: 1.0,
        ..Plan::default()
    }
}

pub fn units() -> UnitSettings {
    UnitSettings {
        mean: 2.0,
        largest: 8.0,
        meter: ms(1000),
        share_fraction: 0.35,
        spare_fraction: 0.05,
    }
}

pub fn host_limits() -> HostLimits {
    HostLimits {
        max_attempts: 3,
        probing: false,
        max_retry_after: Some(ms(2000)),
        answer_slack: ms(8),
    }
}

pub fn slow_start_policy() -> SlowStartPolicy {
    let (warm_up_time, overload_window) = (ms(10_000), ms(2000));
    SlowStartPolicy {
        hosts: 4,
        units: 20.0,
        initial_fraction: 0.2,
        warm_up_time,
        overload_window,
        multiple: 3.0,
    }
}

pub fn id(n: u8) -> RequestId {
    RequestId([n; 36])
}

pub fn request(n: u8, deadline: Duration) -> Request {
    let (traffic_class, plan, volume) = (TrafficClassId(0), PlanId(0), VolumeId(5));
    let shard = Some(ShardId(1));
    Request {
        id: id(n),
        units: 2.0,
        shard,
        traffic_class,
        plan,
        hosts: 2,
        key: None,
        deadline,
        volume,
    }
}

pub fn entry(node: u32, state: NodeState, started: Option<Duration>) -> Endpoint {
    Endpoint {
        node: NodeId(node),
        zone: ZoneId(0),
        shard: ShardId(node),
        state,
        started,
    }
}

pub fn list(kind: EndpointUpdateKind, endpoints: Vec<Endpoint>) -> Event {
    Event::EndpointUpdate { kind, endpoints }
}

pub fn over(n: u8, node: u32, end: AttemptOutcome, took: Duration, over: bool) -> Event {
    let (id, node, reported) = (id(n), NodeId(node), None);
    Event::AttemptEnded(AttemptEnd {
        id,
        attempt: 0,
        node,
        outcome: end,
        elapsed: took,
        answered: over,
        reported,
        others: 0.0,
        busy: None,
    })
}

/// A host whose list names nodes 1 and 2, ready and long up.
pub fn host(
    traffic_classes: Vec<TrafficClass>,
    plans: Vec<Plan>,
    attempts: Option<RetryBudget>,
) -> Scheduler {
    let listing = DiscoveryPolicy {
        polled: false,
        poll_interval: ms(10_000),
        lease: None,
    };
    let mut c = Scheduler::new(7, traffic_classes, plans, units(), host_limits()).with_rules(
        slow_start_policy(),
        listing,
        attempts,
        ms(200),
    );
    let ready = vec![
        entry(1, NodeState::Ready, None),
        entry(2, NodeState::Ready, None),
    ];
    c.step(ms(1000), vec![list(EndpointUpdateKind::Cached, ready)]);
    c
}

/// Tells a host things at a moment; answers what was sent, deferred and abandoned.
pub fn at(
    c: &mut Scheduler,
    now: u64,
    events: Vec<Event>,
) -> (Vec<(RequestId, NodeId)>, Vec<RequestId>, Vec<RequestId>) {
    let (mut sent, mut deferred, mut abandoned) = (vec![], vec![], vec![]);
    for action in c.step(ms(now), events) {
        match action {
            Action::SendAttempt { id, node, .. } => sent.push((id, node)),
            Action::Reject { id, .. } => deferred.push(id),
            Action::Fail { id } => abandoned.push(id),
            _ => {}
        }
    }
    (sent, deferred, abandoned)
}
