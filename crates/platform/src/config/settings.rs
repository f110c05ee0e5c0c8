//! Translates the platform's settings into the settings of the host, for [`super::Config::read`].

use super::descriptors::Descriptors;
use super::error::SettingsError;
use super::memory::MemoryLimits;
use grebecleat_adapter::settings::{self as bench, SettingValues};
use grebecleat_scheduler::api::{DiscoveryPolicy, Idempotency, Plan, TrafficClass};
use grebecleat_settings::{
    Bounds, DiscoverySpec, HostSpec, PlanSpec, Rules, Settings, TrafficClassSpec,
};
use std::net::SocketAddr;
use std::time::Duration;

/// Time subtracted from every deadline, for this host's queue, the write, and the network to the
/// client. A smaller value makes responses late; a larger one leaves attempts less time.
const RESPONSE_MARGIN: Duration = Duration::from_millis(12);
/// How long before the node's idle timeout this host closes an idle connection. An attempt that is
/// sent while the node closes the connection is reset. A smaller value resets more attempts; a larger
/// one costs more dials.
const IDLE_CLOSE_MARGIN: Duration = Duration::from_millis(1000);
/// A node's idle timeout, if the settings do not specify it.
const DEFAULT_NODE_IDLE: Duration = Duration::from_secs(10);
/// Timeout of a dial, if the settings do not specify it.
const DEFAULT_DIAL_TIMEOUT: Duration = Duration::from_millis(250);
/// Time that an attempt may wait for its connection before it is revoked. A larger value sends
/// attempts late; a smaller one fails attempts whose dial is slow.
const MAX_DISPATCH_DELAY: Duration = Duration::from_millis(250);
/// Maximum delay of the revocation: two sweeps of the router, which run every 25 ms. A smaller value
/// lets a retry reach its node after the deduplication window; a larger one forbids retries.
const MAX_REVOCATION_DELAY: Duration = Duration::from_millis(50);
/// Time within which a peer must continue a message that it has begun to send. A larger value lets
/// slow peers occupy connections; a smaller one closes them.
const MESSAGE_STALL_TIMEOUT: Duration = Duration::from_millis(2000);
/// Maximum number of bytes of one frame, and of the output that a client has not read yet. A larger
/// value takes more memory; a smaller one rejects frames and closes slow readers.
const MAX_BUFFERED_BYTES: usize = 1 << 20;
/// Time within which this host learns of a change of the endpoint list, even if the settings specify a
/// longer poll interval. The durations of watches and the backoff after failed calls are derived from
/// it. The lease of the endpoint list is this time less `MAX_DISPATCH_DELAY`, for which an attempt
/// may wait before it is written. A larger value uses stale lists; a smaller one costs discovery more
/// calls.
pub const MAX_LIST_STALENESS: Duration = Duration::from_millis(6000);

/// The protocol requirements on the requests of a traffic class, which the scheduler does not need.
#[derive(Debug, Clone)]
pub struct ClassProtocol {
    /// The name of the class, which is the first segment of a request's path.
    pub name: String,
    /// Whether its requests must have an idempotency key.
    pub requires_key: bool,
    /// `true` if its requests are writes (PUT), `false` if they are reads (GET), `None` if both are
    /// allowed.
    pub write: Option<bool>,
}

/// Values of this process's configuration, outside the object `settings`, that complete it.
pub(super) struct Process<'a> {
    pub(super) name: &'a str,
    pub(super) listen: SocketAddr,
    pub(super) discovery: SocketAddr,
    pub(super) memory: MemoryLimits,
    pub(super) descriptors: Descriptors,
}

/// The result of [`read_settings`].
pub(super) struct ReadSettings {
    pub(super) traffic_classes: Vec<ClassProtocol>,
    pub(super) settings: Settings,
}

/// The values of the object `caps`, with defaults for absent ones.
struct Caps {
    dial_timeout: Duration,
    max_open: usize,
    /// A node's idle timeout.
    node_idle: Duration,
}

fn default_if_zero(span: Duration, default: Duration) -> Duration {
    if span.is_zero() {
        default
    } else {
        span
    }
}

/// Reads the settings. If they have several errors, the order of the reads determines which one is
/// returned.
pub(super) fn read_settings(
    process: &Process,
    pairs: &SettingValues,
) -> Result<ReadSettings, SettingsError> {
    let classes = bench::traffic_classes(pairs)?;
    let plans = bench::plans(pairs)?;
    let lists = [
        ("profiles", classes.is_empty()),
        ("plans", plans.is_empty()),
    ];
    for (list, is_empty) in lists {
        if is_empty {
            return Err(SettingsError::Empty { list });
        }
    }
    let dial_timeout = pairs.duration("caps.dial-timeout-ms")?;
    let dial_timeout = default_if_zero(dial_timeout, DEFAULT_DIAL_TIMEOUT);
    let (protocols, streams) = read_classes(pairs, classes, dial_timeout)?;
    let plans = name_plans(pairs, plans)?;
    let units = bench::units(pairs)?;
    if units.largest <= 0.0 || units.mean <= 0.0 {
        return Err(SettingsError::NoUnits);
    }
    let caps = read_caps(pairs, dial_timeout)?;
    let rules = read_rules(pairs)?;
    let rule = discovery_policy(pairs)?;
    let host_limits = bench::host_limits(pairs)?;
    let settings = Settings {
        name: process.name.to_string(),
        zones: pairs.text("zones").split(',').map(String::from).collect(),
        traffic_classes: streams,
        plans,
        volumes: Vec::new(),
        nodes: Vec::new(),
        hosts: vec![HostSpec {
            name: process.name.to_string(),
            zone: 0,
            listen: Some(process.listen),
        }],
        list: DiscoverySpec {
            address: Some(process.discovery),
            rule,
            lag: Duration::ZERO,
            fails: 0.0,
        },
        state: None,
        fleet: None,
        units,
        host_limits,
        rules,
        bounds: bounds(process, &caps),
        portals: Vec::new(),
        targets: Vec::new(),
        rehearsal: None,
    };
    Ok(ReadSettings {
        traffic_classes: protocols,
        settings,
    })
}

fn read_caps(pairs: &SettingValues, dial_timeout: Duration) -> Result<Caps, SettingsError> {
    let max_open = pairs.count("caps.max-open")?;
    let node_idle = pairs.duration("caps.conn-idle-ms")?;
    Ok(Caps {
        dial_timeout,
        max_open: if max_open == 0 { usize::MAX } else { max_open },
        node_idle: default_if_zero(node_idle, DEFAULT_NODE_IDLE),
    })
}

fn read_classes(
    pairs: &SettingValues,
    classes: Vec<TrafficClass>,
    dial_timeout: Duration,
) -> Result<(Vec<ClassProtocol>, Vec<TrafficClassSpec>), SettingsError> {
    let writes: Vec<&str> = pairs.text("family-info.writes").split(',').collect();
    let mut protocols = Vec::new();
    let mut streams = Vec::new();
    // The retry of an attempt that may have run must reach its node before the node forgets the first
    // attempt's key, and the retry may wait for its connection after the decision to send it.
    let max_dispatch_time = dial_timeout.max(MAX_DISPATCH_DELAY) + MAX_REVOCATION_DELAY;
    for (index, mut facts) in classes.into_iter().enumerate() {
        if let Idempotency::WithKey { window, .. } = &mut facts.idempotency {
            *window = window.saturating_sub(max_dispatch_time);
        }
        let name = read_name(pairs, "profiles", index)?;
        let path = format!("profiles.{index}.deadline-ms");
        let deadline = pairs.duration(&path)?;
        if deadline.is_zero() {
            return Err(SettingsError::ZeroSpan { path });
        }
        let write = writes.get(index).and_then(|text| text.parse().ok());
        protocols.push(ClassProtocol {
            name: name.clone(),
            requires_key: matches!(facts.idempotency, Idempotency::WithKey { .. }),
            write,
        });
        streams.push(TrafficClassSpec {
            name,
            facts,
            deadline,
            write: write.unwrap_or(false),
            share: 0.0,
            unit_work: Duration::ZERO,
        });
    }
    Ok((protocols, streams))
}

fn name_plans(pairs: &SettingValues, plans: Vec<Plan>) -> Result<Vec<PlanSpec>, SettingsError> {
    let mut named = Vec::new();
    for (index, facts) in plans.into_iter().enumerate() {
        let name = read_name(pairs, "plans", index)?;
        named.push(PlanSpec { name, facts });
    }
    Ok(named)
}

fn read_name(pairs: &SettingValues, list: &str, index: usize) -> Result<String, SettingsError> {
    let path = format!("{list}.{index}.name");
    match pairs.text(&path) {
        "" => Err(SettingsError::MissingName { path }),
        name => Ok(name.to_string()),
    }
}

fn read_rules(pairs: &SettingValues) -> Result<Rules, SettingsError> {
    Ok(Rules {
        drain_grace: pairs.duration("rules.drain-grace-ms")?,
        cold: bench::slow_start_policy(pairs)?,
        attempts: bench::retry_budget(pairs)?,
        key_cool_down: bench::key_cooldown(pairs)?,
        answer_margin: RESPONSE_MARGIN,
    })
}

fn bounds(process: &Process, caps: &Caps) -> Bounds {
    let descriptors = process.descriptors;
    Bounds {
        max_open: caps.max_open.min(descriptors.clients),
        max_held_bytes: process.memory.open_requests,
        max_frame: MAX_BUFFERED_BYTES,
        max_clients: descriptors.clients,
        max_unread: MAX_BUFFERED_BYTES,
        attempts_per_connection: 1,
        connections_per_node: descriptors.nodes,
        node_connections: descriptors.nodes,
        dial_timeout: caps.dial_timeout,
        idle: caps
            .node_idle
            .saturating_sub(IDLE_CLOSE_MARGIN)
            .max(caps.node_idle / 2),
        max_dispatch_delay: MAX_DISPATCH_DELAY,
        patience: MESSAGE_STALL_TIMEOUT,
    }
}

fn discovery_policy(pairs: &SettingValues) -> Result<DiscoveryPolicy, SettingsError> {
    let policy = bench::discovery_policy(pairs)?;
    let poll_interval =
        default_if_zero(policy.poll_interval, MAX_LIST_STALENESS).min(MAX_LIST_STALENESS);
    Ok(DiscoveryPolicy {
        poll_interval,
        lease: Some(MAX_LIST_STALENESS - MAX_DISPATCH_DELAY),
        ..policy
    })
}
