//! A host with plain settings, and short ways to tell it things.
#![allow(dead_code)]

use grebecleat::control::Control;
use grebecleat::interface::*;
use std::time::Duration;

pub const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

pub fn stream(idempotency: Idempotency) -> StreamType {
    StreamType {
        slo: ms(200),
        idempotency,
        ordered: false,
        benefit: 2.0,
        late_part: 0.2,
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

pub fn units() -> UnitFacts {
    UnitFacts {
        mean: 2.0,
        largest: 8.0,
        meter: ms(1000),
        share_part: 0.35,
        spare_part: 0.05,
    }
}

pub fn caps() -> Caps {
    Caps {
        most_attempts: 3,
        probing: false,
        come_back: Some(ms(2000)),
        answer_slack: ms(8),
    }
}

pub fn cold_rule() -> ColdRule {
    let (warm_within, fall_within) = (ms(10_000), ms(2000));
    ColdRule {
        hosts: 4,
        units: 20.0,
        starts_at: 0.2,
        warm_within,
        fall_within,
        multiple: 3.0,
    }
}

pub fn id(n: u8) -> RequestId {
    RequestId([n; 36])
}

pub fn request(n: u8, expiry: Duration) -> Request {
    let (stream_type, plan, volume) = (StreamTypeId(0), PlanId(0), VolumeId(5));
    let cell = Some(CellId(1));
    Request {
        id: id(n),
        units: 2.0,
        cell,
        stream_type,
        plan,
        hosts: 2,
        key: None,
        expiry,
        volume,
    }
}

pub fn entry(node: u32, state: NodeState, started: Option<Duration>) -> Endpoint {
    Endpoint {
        node: NodeId(node),
        zone: ZoneId(0),
        cell: CellId(node),
        state,
        started,
    }
}

pub fn list(kind: EndpointUpdateKind, endpoints: Vec<Endpoint>) -> Event {
    Event::EndpointUpdate { kind, endpoints }
}

pub fn over(n: u8, node: u32, end: AttemptOutcome, took: Duration, over: bool) -> Event {
    let (id, node, reported) = (id(n), NodeId(node), None);
    Event::AttemptEnded {
        id,
        attempt: 0,
        node,
        end,
        elapsed: took,
        over,
        reported,
        others: 0.0,
        busy: None,
    }
}

/// A host whose list names nodes 1 and 2, ready and long up.
pub fn host(streams: Vec<StreamType>, plans: Vec<Plan>, attempts: Option<RetryBudget>) -> Control {
    let listing = DiscoveryPolicy {
        polled: false,
        poll_interval: ms(10_000),
    };
    let mut c = Control::new(7, streams, plans, units(), caps()).under(
        cold_rule(),
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
    c: &mut Control,
    now: u64,
    events: Vec<Event>,
) -> (Vec<(RequestId, NodeId)>, Vec<RequestId>, Vec<RequestId>) {
    let (mut sent, mut deferred, mut abandoned) = (vec![], vec![], vec![]);
    for action in c.step(ms(now), events) {
        match action {
            Action::Send { id, node, .. } => sent.push((id, node)),
            Action::Defer { id, .. } => deferred.push(id),
            Action::Abandon { id } => abandoned.push(id),
            _ => {}
        }
    }
    (sent, deferred, abandoned)
}
