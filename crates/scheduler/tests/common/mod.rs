//! Helpers of the scheduler's tests: a scheduler with common settings, and constructors for its events.
#![allow(dead_code)]

use grebecleat_scheduler::api::*;
use grebecleat_scheduler::scheduler::Scheduler;
use std::time::Duration;

pub const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Safe to resend with an idempotency key, which the nodes of one shard recognise for 1.5 s.
pub const KEYED: Idempotency = Idempotency::WithKey {
    scope: DeduplicationScope::Shard,
    window: ms(1500),
};

pub fn class_with(idempotency: Idempotency) -> TrafficClass {
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
    SlowStartPolicy {
        hosts: 4,
        units: 20.0,
        initial_fraction: 0.2,
        warm_up_time: ms(10_000),
        overload_window: ms(2000),
        multiple: 3.0,
    }
}

/// A discovery policy whose endpoint list does not expire.
pub fn discovery_policy(polled: bool) -> DiscoveryPolicy {
    DiscoveryPolicy {
        polled,
        poll_interval: ms(10_000),
        lease: None,
    }
}

pub fn id(n: u8) -> RequestId {
    RequestId([n; 36])
}

/// Returns a request of two units whose data is in shard 1.
pub fn request(n: u8, deadline: Duration) -> Request {
    Request {
        id: id(n),
        units: 2.0,
        shard: Some(ShardId(1)),
        traffic_class: TrafficClassId(0),
        plan: PlanId(0),
        hosts: 2,
        key: None,
        deadline,
        volume: VolumeId(5),
    }
}

/// Returns the event that the host received one request.
pub fn receive(request: Request) -> Vec<Event> {
    vec![Event::RequestReceived(request)]
}

/// Returns the endpoint of a node that holds the shard with the same number as the node.
pub fn endpoint(node: u32, state: NodeState, started: Option<Duration>) -> Endpoint {
    Endpoint {
        node: NodeId(node),
        zone: ZoneId(0),
        shard: ShardId(node),
        state,
        started,
    }
}

pub fn endpoint_update(kind: EndpointUpdateKind, endpoints: Vec<Endpoint>) -> Event {
    Event::EndpointUpdate { kind, endpoints }
}

/// Returns the end of the first attempt of request `n`.
pub fn attempt_end(
    n: u8,
    node: u32,
    outcome: AttemptOutcome,
    elapsed: Duration,
    answered: bool,
) -> Event {
    attempt_end_of(id(n), NodeId(node), outcome, elapsed, answered)
}

/// Returns the end of the first attempt of a request.
pub fn attempt_end_of(
    id: RequestId,
    node: NodeId,
    outcome: AttemptOutcome,
    elapsed: Duration,
    answered: bool,
) -> Event {
    Event::AttemptEnded(AttemptEnd {
        id,
        attempt: 0,
        node,
        outcome,
        elapsed,
        answered,
        reported: None,
        others: 0.0,
        busy: None,
    })
}

/// Returns the events that these attempts completed after `elapsed` milliseconds.
pub fn completed(sent: &[(RequestId, NodeId)], elapsed: u64) -> Vec<Event> {
    let outcome = AttemptOutcome::Completed;
    sent.iter()
        .map(|(id, node)| attempt_end_of(*id, *node, outcome, ms(elapsed), true))
        .collect()
}

/// Returns the scheduler of a host whose cached endpoint list names nodes 1 and 2, which are ready and not new.
pub fn host(
    traffic_classes: Vec<TrafficClass>,
    plans: Vec<Plan>,
    retry_budget: Option<RetryBudget>,
) -> Scheduler {
    let mut scheduler = Scheduler::new(7, traffic_classes, plans, units(), host_limits())
        .with_policies(
            slow_start_policy(),
            discovery_policy(false),
            retry_budget,
            ms(200),
        );
    let ready = vec![
        endpoint(1, NodeState::Ready, None),
        endpoint(2, NodeState::Ready, None),
    ];
    let update = endpoint_update(EndpointUpdateKind::Cached, ready);
    scheduler.step(ms(1000), vec![update]);
    scheduler
}

/// Returns a scheduler with one idempotent traffic class, one plan and no retry budget.
pub fn idempotent_host(plan: Plan) -> Scheduler {
    host(vec![class_with(Idempotency::Idempotent)], vec![plan], None)
}

/// Performs a step at `now`, in milliseconds. Returns the attempts sent, the requests rejected and the requests
/// failed.
pub fn step_at(
    scheduler: &mut Scheduler,
    now: u64,
    events: Vec<Event>,
) -> (Vec<(RequestId, NodeId)>, Vec<RequestId>, Vec<RequestId>) {
    let (mut sent, mut rejected, mut failed) = (vec![], vec![], vec![]);
    for action in scheduler.step(ms(now), events) {
        match action {
            Action::SendAttempt { id, node, .. } => sent.push((id, node)),
            Action::Reject { id, .. } => rejected.push(id),
            Action::Fail { id } => failed.push(id),
            _ => {}
        }
    }
    (sent, rejected, failed)
}
