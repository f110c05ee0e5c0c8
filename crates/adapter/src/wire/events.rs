//! Parses messages of the simulator's protocol into the scheduler's events.

use super::error::WireError;
use super::values::Values;
use grebecleat_scheduler::api::{
    AttemptEnd, AttemptOutcome, Endpoint, EndpointUpdateKind, Event, KeyId, NodeId, NodeState,
    PeerId, PlanId, Request, ShardId, TimerTag, TrafficClassId, VolumeId, ZoneId,
};

/// Largest size of a request, in units. A larger size is an error of the sender and is reduced to this one,
/// because it would overflow when sizes are added.
const MAX_UNITS: f64 = 1e9;

/// The settings of a host that are needed to parse its messages.
#[derive(Debug, Clone, Copy)]
pub struct MessageScope {
    /// Number of traffic classes.
    pub traffic_classes: usize,
    /// Number of plans.
    pub plans: usize,
    /// Index of the busy fraction in a load report; `None` if nodes do not report it.
    pub busy_index: Option<usize>,
}

/// Returns whether a message carries an event of a host.
pub fn is_event(message: &str) -> bool {
    matches!(
        message,
        "KNOCK" | "ACK_FIRST" | "REPLY" | "ABORTED" | "WAKEUP" | "CHECKED" | "PEER"
    )
}

/// Parses an event; the name of its host has already been read.
pub fn parse_event(values: &mut Values, scope: MessageScope) -> Result<Event, WireError> {
    let event = match values.message() {
        "KNOCK" => Event::RequestReceived(parse_request(values, scope)?),
        "ACK_FIRST" => parse_response_start(values)?,
        "REPLY" => Event::AttemptEnded(parse_attempt_end(values, scope)?),
        "ABORTED" => Event::RequestCancelled {
            id: values.request_id()?,
        },
        "WAKEUP" => Event::TimerFired {
            tag: TimerTag(values.required("tag")?),
        },
        "CHECKED" => parse_health_check(values)?,
        "PEER" => Event::PeerMessage {
            from: PeerId(values.required("sender")?),
            bytes: values.bytes("contents")?,
        },
        message => return Err(WireError::UnknownMessage(message.to_string())),
    };
    values.end()?;
    Ok(event)
}

fn parse_request(values: &mut Values, scope: MessageScope) -> Result<Request, WireError> {
    let id = values.request_id()?;
    let units = values.number("units")?.min(MAX_UNITS);
    // A negative number denotes a new object, which any node can store.
    let shard = values.optional::<i64>("slot-no")?;
    let shard = shard.and_then(|shard| u32::try_from(shard).ok());
    let traffic_class = TrafficClassId(values.required("cls")?);
    let plan = PlanId(values.required("policy-no")?);
    if traffic_class.0 >= scope.traffic_classes || plan.0 >= scope.plans {
        return Err(WireError::UndefinedClassOrPlan);
    }
    let hosts = values.number("mounts")? as usize;
    values.optional::<u64>("bits")?;
    let key = values.hex("region")?;
    let deadline = values.duration("expires-ms")?;
    let volume = values.hex("volume")?.unwrap_or(0);
    Ok(Request {
        id,
        units,
        shard: shard.map(ShardId),
        traffic_class,
        plan,
        hosts,
        key: key.map(KeyId),
        deadline,
        volume: VolumeId(volume),
    })
}

fn parse_response_start(values: &mut Values) -> Result<Event, WireError> {
    let id = values.request_id()?;
    let attempt = values.required("leg")?;
    values.required::<u32>("brick")?;
    values.duration("elapsed-ms")?;
    Ok(Event::ResponseStarted { id, attempt })
}

fn parse_attempt_end(values: &mut Values, scope: MessageScope) -> Result<AttemptEnd, WireError> {
    let id = values.request_id()?;
    let attempt = values.required("leg")?;
    let node = NodeId(values.required("brick")?);
    let outcome = attempt_outcome(values.required("result")?)?;
    let elapsed = values.duration("elapsed-ms")?;
    let answered = values.flag("finished")?;
    // The protocol adds one to the percentage, so that zero means that there is no report.
    let usage = values.optional::<u64>("metered")?;
    let reported = usage.filter(|usage| *usage > 0).map(|usage| usage - 1);
    let others = values.number("others-got")?;
    let load_report = values.load_report()?;
    let busy = scope.busy_index.and_then(|index| load_report.get(index));
    Ok(AttemptEnd {
        id,
        attempt,
        node,
        outcome,
        elapsed,
        answered,
        reported: reported.map(|percent| percent as f64),
        others,
        busy: busy.copied(),
    })
}

fn parse_health_check(values: &mut Values) -> Result<Event, WireError> {
    let node = NodeId(values.required("brick")?);
    values.duration("elapsed-ms")?;
    let outcome = attempt_outcome(values.required("result")?)?;
    values.load_report()?;
    Ok(Event::HealthChecked { node, outcome })
}

/// Returns the outcome that a result code denotes.
fn attempt_outcome(code: u32) -> Result<AttemptOutcome, WireError> {
    Ok(match code {
        200 => AttemptOutcome::Completed,
        502 => AttemptOutcome::Failed,
        429 => AttemptOutcome::QueueFull,
        408 => AttemptOutcome::TimedOut,
        521 => AttemptOutcome::ConnectFailed,
        520 => AttemptOutcome::ConnectionReset,
        444 => AttemptOutcome::Cancelled,
        409 => AttemptOutcome::NotSent,
        _ => return Err(WireError::UnknownResult(code)),
    })
}

/// Parses the kind of an endpoint update.
pub fn parse_update_kind(values: &mut Values) -> Result<EndpointUpdateKind, WireError> {
    const FIELD: &str = "form";
    match values.text(FIELD)? {
        "Partial" => Ok(EndpointUpdateKind::Delta),
        "Complete" => Ok(EndpointUpdateKind::Snapshot),
        "Persisted" => Ok(EndpointUpdateKind::Cached),
        "Error" => Ok(EndpointUpdateKind::FetchFailed),
        form => Err(values.bad_value(FIELD, form)),
    }
}

/// Parses one entry of an endpoint update.
pub fn parse_endpoint(values: &mut Values) -> Result<Endpoint, WireError> {
    let node = NodeId(values.required("brick")?);
    let zone = ZoneId(values.optional("area")?.unwrap_or(0));
    values.optional::<u32>("hw")?;
    let shard = ShardId(values.optional("group")?.unwrap_or(0));
    let state = parse_node_state(values)?;
    values.number("power-hint")?;
    let started = values.duration("online-since-ms")?;
    values.end()?;
    Ok(Endpoint {
        node,
        zone,
        shard,
        state,
        started: (!started.is_zero()).then_some(started),
    })
}

fn parse_node_state(values: &mut Values) -> Result<NodeState, WireError> {
    const FIELD: &str = "stage-state";
    match values.text(FIELD)? {
        "healthy" => Ok(NodeState::Ready),
        "cordoned" => Ok(NodeState::Draining),
        "deregistered" => Ok(NodeState::Gone),
        state => Err(values.bad_value(FIELD, state)),
    }
}
