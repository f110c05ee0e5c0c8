//! Traffic classes and plans.

use super::{ms, DAY};
use crate::fields::{duration_of, Fields};
use grebecleat_scheduler::api::{DeduplicationScope, Idempotency, Plan, TrafficClass};
use serde_json::Value as Json;
use std::time::Duration;

/// A traffic class, as `stream_type()` declares it.
#[derive(Debug, Clone)]
pub struct TrafficClassSpec {
    /// The class's name.
    pub name: String,
    /// The class, as the scheduler has it.
    pub facts: TrafficClass,
    /// The time for which a client waits for all its attempts together.
    pub deadline: Duration,
    /// Whether the requests of the class write data.
    pub write: bool,
    /// The class's share of all requests in rehearsals.
    pub share: f64,
    /// The mean work of one unit in rehearsals.
    pub unit_work: Duration,
}

/// A plan with its name, as `plan()` declares it.
#[derive(Debug, Clone)]
pub struct PlanSpec {
    /// The plan's name.
    pub name: String,
    /// The plan, as the scheduler has it.
    pub facts: Plan,
}

/// The text of the values that the field `repeat` accepts.
const IDEMPOTENCY_VALUES: &str = "\"repeatable\", \"unrepeatable\" or keyed(group = \"all\", \
                                  \"zone\" or \"cell\", remembered = a time)";
/// The greatest rate or weight of a plan.
const MAX_RATE: f64 = 1e9;

/// Reads a `stream_type()`.
pub(super) fn stream(fields: &mut Fields) -> TrafficClassSpec {
    let idempotency = idempotency(fields);
    let name = fields.text("name", None);
    let latency_objective = fields.duration("slo", None, DAY);
    let deadline = fields.duration("expiry", None, DAY);
    if latency_objective > deadline {
        fields.fault(
            "slo",
            format!("expected at most the expiry, {deadline:?}, found {latency_objective:?}"),
        );
    }
    let facts = TrafficClass {
        latency_objective,
        idempotency,
        ordered: fields.boolean("ordered", Some(false)),
        priority_weight: fields.number("benefit", Some(1.0), (0.0, 1e6)),
        late_fraction: fields.number("late_part", Some(0.2), (0.0, 1.0)),
    };
    TrafficClassSpec {
        name,
        facts,
        deadline,
        write: fields.boolean("write", Some(false)),
        share: fields.number("share", Some(1.0), (0.0, 1e6)),
        unit_work: fields.duration("unit_work", Some(ms(4)), DAY),
    }
}

/// Reads the field `repeat` of a `stream_type()`.
fn idempotency(fields: &mut Fields) -> Idempotency {
    let Some(value) = fields.raw("repeat") else {
        return Idempotency::NonIdempotent;
    };
    match value.as_str() {
        Some("repeatable") => return Idempotency::Idempotent,
        Some("unrepeatable") => return Idempotency::NonIdempotent,
        _ => {}
    }
    match idempotency_key(value) {
        Some(with_key) => with_key,
        None => {
            let expected = format!("expected {IDEMPOTENCY_VALUES}, found {value}");
            fields.fault("repeat", expected);
            Idempotency::NonIdempotent
        }
    }
}

/// Returns the value of a `keyed()`; None for any other value.
fn idempotency_key(value: &Json) -> Option<Idempotency> {
    let scope = match value.get("group")?.as_str()? {
        "all" => DeduplicationScope::All,
        "zone" => DeduplicationScope::Zone,
        "cell" => DeduplicationScope::Shard,
        _ => return None,
    };
    let window = duration_of(value.get("remembered")?)?;
    Some(Idempotency::WithKey { scope, window })
}

/// Reads a `plan()`.
pub(super) fn plan(fields: &mut Fields) -> PlanSpec {
    let rate = |fields: &mut Fields, name, default| fields.number(name, default, (0.0, MAX_RATE));
    let facts = Plan {
        base_rate: rate(fields, "rate", None),
        reservation: rate(fields, "reservation", Some(0.0)),
        limit: rate(fields, "limit", Some(0.0)),
        limit_burst: rate(fields, "limit_burst", Some(0.0)),
        limit_slack: rate(fields, "limit_slack", Some(0.0)),
        weight: rate(fields, "weight", Some(1.0)),
        price: rate(fields, "price", Some(1.0)),
    };
    if facts.limit > 0.0 && facts.limit < facts.reservation {
        fields.fault(
            "limit",
            format!(
                "expected 0 (none) or at least the reservation, {}",
                facts.reservation
            ),
        );
    }
    if facts.limit > 0.0 && facts.limit_burst <= 0.0 {
        fields.fault(
            "limit_burst",
            "expected more than 0 where there is a limit".into(),
        );
    }
    PlanSpec {
        name: fields.text("name", None),
        facts,
    }
}
