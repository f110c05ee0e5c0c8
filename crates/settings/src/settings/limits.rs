//! Limits of hosts: units, attempts, rules, and bounds on memory and connections.

use super::{ms, DAY};
use crate::fields::Fields;
use grebecleat_scheduler::api::{HostLimits, RetryBudget, SlowStartPolicy, UnitSettings};
use std::time::Duration;

/// The rules of the decisions, as `rules()` declares them.
#[derive(Debug, Clone)]
pub struct Rules {
    /// The grace period of a draining node.
    pub drain_grace: Duration,
    /// The slow start of nodes.
    pub cold: SlowStartPolicy,
    /// The retry budget; `None` if retries are not limited.
    pub attempts: Option<RetryBudget>,
    /// How long a key rests after a request before its next request is sent.
    pub key_cool_down: Duration,
    /// Time that is reserved before every deadline, so that the answer reaches the client in time.
    pub answer_margin: Duration,
}

/// The bounds of one host's memory and connections, as `bounds()` declares them. Every buffer that
/// a peer can make grow has a bound here.
#[derive(Debug, Clone)]
pub struct Bounds {
    /// Requests that are open at a time.
    pub max_open: usize,
    /// Bytes of data of all open requests.
    pub max_held_bytes: usize,
    /// Bytes of the largest frame.
    pub max_frame: usize,
    /// Clients that are connected at a time.
    pub max_clients: usize,
    /// Bytes of answers that a client may leave unread.
    pub max_unread: usize,
    /// Attempts in flight on one connection.
    pub attempts_per_connection: usize,
    /// Connections to one node.
    pub connections_per_node: usize,
    /// Connections to all nodes together.
    pub node_connections: usize,
    /// The time until a connection must be established.
    pub dial_timeout: Duration,
    /// The time after which an idle connection is closed.
    pub idle: Duration,
    /// The maximum dispatch delay: an attempt that could not be written for this time is withdrawn.
    pub max_dispatch_delay: Duration,
    /// The time until a peer's hello, or the rest of an incomplete frame, must arrive.
    pub patience: Duration,
}

/// The greatest value of a bound.
const MAX_BOUND: u64 = 1 << 40;

/// Reads a `units()`.
pub(super) fn units(fields: &mut Fields) -> UnitSettings {
    UnitSettings {
        mean: fields.number("mean", Some(2.0), (0.01, 1e6)),
        largest: fields.number("largest", Some(8.0), (0.01, 1e6)),
        meter: fields.duration("meter", Some(ms(1000)), DAY),
        share_fraction: fields.number("share_part", Some(0.35), (0.0, 1.0)),
        spare_fraction: fields.number("spare_part", Some(0.05), (0.0, 1.0)),
    }
}

/// Reads a `legs()`.
pub(super) fn attempts(fields: &mut Fields) -> HostLimits {
    let max_retry_after = fields.duration("come_back_most", Some(ms(2000)), DAY);
    HostLimits {
        max_attempts: fields.integer("most", Some(3), (1, 100)) as u32,
        probing: fields.boolean("probing", Some(false)),
        max_retry_after: (!max_retry_after.is_zero()).then_some(max_retry_after),
        answer_slack: fields.duration("answer_slack", Some(ms(8)), DAY),
    }
}

/// Reads a `rules()`. `hosts`: number of hosts.
pub(super) fn rules(fields: &mut Fields, hosts: usize) -> Rules {
    let cold = SlowStartPolicy {
        hosts,
        units: fields.number("cold_units", Some(20.0), (0.0, 1e9)),
        initial_fraction: fields.number("cold_from", Some(0.2), (0.01, 1.0)),
        warm_up_time: fields.duration("warm_within", Some(ms(10_000)), DAY),
        overload_window: fields.duration("fall_within", Some(ms(2000)), DAY),
        multiple: fields.number("fall_multiple", Some(3.0), (1.0, 1000.0)),
    };
    let share = fields.number("further_share", Some(0.0), (0.0, 100.0));
    let floor = fields.number("further_floor", Some(3.0), (0.0, 1e6));
    let window = fields.duration("further_window", Some(ms(5000)), DAY);
    Rules {
        drain_grace: fields.duration("drain_grace", Some(ms(1000)), DAY),
        cold,
        attempts: (share > 0.0).then_some(RetryBudget {
            min_retries: floor,
            ratio: share,
            window,
        }),
        key_cool_down: fields.duration("key_rest", Some(ms(200)), DAY),
        answer_margin: fields.duration("answer_margin", Some(ms(20)), DAY),
    }
}

/// Reads a `bounds()`.
pub(super) fn bounds(fields: &mut Fields) -> Bounds {
    Bounds {
        max_open: fields.integer("most_open", Some(20_000), (1, MAX_BOUND)) as usize,
        max_held_bytes: fields.integer("most_held_bytes", Some(256 << 20), (1, MAX_BOUND)) as usize,
        max_frame: fields.integer("most_frame", Some((1 << 20) + 4096), (4096, 1 << 30)) as usize,
        max_clients: fields.integer("most_clients", Some(10_000), (1, MAX_BOUND)) as usize,
        max_unread: fields.integer("most_unread", Some(8 << 20), (4096, MAX_BOUND)) as usize,
        attempts_per_connection: fields.integer("legs_per_connection", Some(100), (1, 1 << 20))
            as usize,
        connections_per_node: fields.integer("connections_per_node", Some(4), (1, 1024)) as usize,
        node_connections: fields.integer("node_connections", Some(10_000), (1, MAX_BOUND)) as usize,
        dial_timeout: fields.duration("dial_timeout", Some(ms(250)), DAY),
        idle: fields.duration("idle", Some(ms(15_000)), DAY),
        max_dispatch_delay: fields.duration("linger", Some(ms(250)), DAY),
        patience: fields.duration("patience", Some(ms(5000)), DAY),
    }
}
