//! What the platform tells a host at its start: variables, and a file with the settings, as the host's own.
//!
//! Begin with [`Config::read`]. The settings are the object that the users' bench gives its adapter; they are
//! flattened to the bench's pairs and read by the adapter's own reader, so that no default can differ between
//! the two. What is not there (names, waits, limits of this process) is read here, and a file is taken whole
//! or not at all. A fault names the file, the path in it, and what is wrong.

use grebecleat::interface::*;
use grebecleat_adapter::settings::{self as shared, Pairs};
use grebecleat_settings::{Bounds, ListSpec, NamedPlan, Rules, Settings, Stream};
use serde_json::Value;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Kept back from every deadline: for our own queue, for the write, and for the way to the client.
const ANSWER_MARGIN: Duration = ms(12);
/// A connection is closed so long before its node would, since an attempt that crosses that close is reset.
const IDLE_MARGIN: Duration = ms(1000);
/// Descriptors for what is neither a client's nor a node's: standard streams, the runtime's, the signals',
/// the listener, the list's old and new connection.
const SPARE: usize = 24;
/// Of the rest, what clients may hold.
const CLIENTS_PART: f64 = 0.55;
/// Of all, what clients that have asked may keep: the platform lets them hold a third, and whoever has asked
/// once and keeps his connection for good takes the place of one who would ask.
const KEPT_PART: usize = 5;
/// Of the memory, what bodies of open requests may hold.
const BYTES_PART: usize = 8;

/// How long an attempt may wait here before it is taken back.
const MAX_DISPATCH_DELAY: Duration = ms(250);
/// Two looks at what waits, every 25 ms.
const CROSSING_MARGIN: Duration = ms(50);
/// Whatever the settings say of asking, what a silent list keeps back counts as told after this: watches and
/// waits after failed calls are reckoned from no more.
pub const SILENCE: Duration = ms(6000);

/// How the file's descriptors are shared out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Descriptors {
    pub clients: usize,
    pub nodes: usize,
    /// Of the clients', those that have asked something; past that the one idle the longest is closed.
    pub kept: usize,
}

impl Descriptors {
    /// ```
    /// use grebecleat_platform::config::Descriptors;
    /// assert_eq!(Descriptors::of(256), Descriptors { clients: 127, nodes: 105, kept: 51 });
    /// ```
    pub fn of(sockets: usize) -> Self {
        let shared = sockets.saturating_sub(SPARE).max(2);
        let clients = ((shared as f64 * CLIENTS_PART) as usize).max(1);
        Descriptors {
            clients,
            nodes: shared - clients,
            kept: sockets / KEPT_PART,
        }
    }
}

/// What is told of a traffic class beside what the decisions know.
#[derive(Debug, Clone)]
pub struct Kind {
    pub name: String,
    pub keyed: bool,
    pub write: Option<bool>,
}

#[derive(Debug, Clone)]
pub struct Config {
    pub name: String,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub seed: u64,
    pub descriptors: Descriptors,
    /// The list as this host last had it, in the list's own form.
    pub known: Option<Vec<u8>>,
    pub kinds: Vec<Kind>,
    pub settings: Arc<Settings>,
}

/// An object's values by their paths, as the bench writes them.
fn flatten(path: &str, value: &Value, to: &mut Vec<(String, String)>) {
    let plain = |v: &Value| match v {
        // As it stands: a name is compared with what clients send.
        Value::String(s) => s.clone(),
        Value::Null => "-".into(),
        v => v.to_string(),
    };
    let under = |name: &str| {
        if path.is_empty() {
            name.to_string()
        } else {
            format!("{path}.{name}")
        }
    };
    match value {
        Value::Object(fields) => fields
            .iter()
            .for_each(|(name, v)| flatten(&under(name), v, to)),
        Value::Array(items) if items.iter().any(Value::is_object) => {
            to.push((under("count"), items.len().to_string()));
            items
                .iter()
                .enumerate()
                .for_each(|(n, v)| flatten(&under(&n.to_string()), v, to));
        }
        Value::Array(items) => {
            let all: Vec<String> = items.iter().map(plain).collect();
            to.push((path.to_string(), all.join(",")));
        }
        v => to.push((path.to_string(), plain(v))),
    }
}

struct Doc<'a> {
    file: &'a Path,
    root: Value,
}

impl Doc<'_> {
    fn fault(&self, path: &str, what: &str) -> String {
        format!("{}: {path}: {what}", self.file.display())
    }

    fn text(&self, path: &str) -> Result<&str, String> {
        match self.root.get(path) {
            Some(Value::String(s)) if !s.is_empty() => Ok(s),
            Some(other) => Err(self.fault(path, &format!("expected a text, found {other}"))),
            None => Err(self.fault(path, "missing")),
        }
    }

    fn address(&self, path: &str) -> Result<SocketAddr, String> {
        let text = self.text(path)?;
        text.parse()
            .map_err(|_| self.fault(path, &format!("expected an address and port, found {text}")))
    }

    fn whole(&self, path: &[&str], (least, most): (u64, u64)) -> Result<u64, String> {
        let at = path.iter().try_fold(&self.root, |v, name| v.get(name));
        let n = at
            .and_then(Value::as_f64)
            .filter(|n| (least as f64..=most as f64).contains(n));
        let what = || {
            format!(
                "expected a number from {least} to {most}, found {}",
                at.unwrap_or(&Value::Null)
            )
        };
        n.map(|n| n as u64)
            .ok_or_else(|| self.fault(&path.join("."), &what()))
    }
}

impl Config {
    /// From the file that the variable names.
    pub fn from_env() -> Result<(std::path::PathBuf, Self), String> {
        let path = std::env::var_os("LB_CONFIG")
            .ok_or("LB_CONFIG: missing; expected the configuration's path")?;
        let path = std::path::PathBuf::from(path);
        let config = Config::load(&path)?;
        Ok((path, config))
    }

    pub fn load(file: &Path) -> Result<Self, String> {
        let text =
            std::fs::read(file).map_err(|e| format!("{}: cannot read: {e}", file.display()))?;
        Config::read(file, &text)
    }

    pub fn read(file: &Path, text: &[u8]) -> Result<Self, String> {
        let root: Value = serde_json::from_slice(text)
            .map_err(|e| format!("{}: is no JSON: {e}", file.display()))?;
        let doc = Doc { file, root };
        let name = doc.text("name")?.to_string();
        let (listen, discovery) = (doc.address("listen")?, doc.address("discovery")?);
        let seed = doc.text("seed")?;
        let seed = u64::from_str_radix(seed, 16)
            .map_err(|_| doc.fault("seed", &format!("expected hex digits, found {seed}")))?;
        let memory = doc.whole(&["limits", "memory_mb"], (8, 1 << 24))? as usize;
        let sockets = doc.whole(&["limits", "sockets"], (48, 1 << 20))? as usize;
        let known = match doc.root.get("known") {
            None | Some(Value::Null) => None,
            Some(known) => Some(known.to_string().into_bytes()),
        };
        let mut pairs = Vec::new();
        match doc.root.get("settings") {
            Some(Value::Object(_)) => flatten("", &doc.root["settings"], &mut pairs),
            _ => return Err(doc.fault("settings", "missing; expected an object")),
        }
        let at = |what: String| doc.fault("settings", &what);
        let p = Pairs::of(
            pairs
                .iter()
                .map(|(path, value)| (path.as_str(), value.as_str())),
        );
        let descriptors = Descriptors::of(sockets);
        let (kinds, settings) =
            settings(&name, listen, discovery, &p, memory, descriptors).map_err(at)?;
        let settings = Arc::new(settings);
        Ok(Config {
            name,
            listen,
            discovery,
            seed,
            descriptors,
            known,
            kinds,
            settings,
        })
    }
}

fn settings(
    name: &str,
    listen: SocketAddr,
    discovery: SocketAddr,
    p: &Pairs,
    memory_mb: usize,
    descriptors: Descriptors,
) -> Result<(Vec<Kind>, Settings), String> {
    let (facts, plans) = (shared::traffic_classes(p)?, shared::plans(p)?);
    for (what, none) in [("profiles", facts.is_empty()), ("plans", plans.is_empty())] {
        if none {
            return Err(format!("{what}: none; expected at least one"));
        }
    }
    let writes: Vec<&str> = p.word("family-info.writes").split(',').collect();
    let (mut kinds, mut traffic_classes) = (Vec::new(), Vec::new());
    let dial_timeout = p.time("caps.dial-timeout-ms")?;
    let dial_timeout = if dial_timeout.is_zero() {
        ms(250)
    } else {
        dial_timeout
    };
    // An attempt that follows one that may have run must have crossed while that one is remembered, and it may
    // wait for its connection after it was decided.
    let crossing = dial_timeout.max(MAX_DISPATCH_DELAY) + CROSSING_MARGIN;
    for (n, mut facts) in facts.into_iter().enumerate() {
        if let Idempotency::WithKey { window, .. } = &mut facts.idempotency {
            *window = window.saturating_sub(crossing);
        }
        let name = named(p, "profiles", n)?;
        let deadline = p.time(&format!("profiles.{n}.deadline-ms"))?;
        if deadline.is_zero() {
            return Err(format!(
                "profiles.{n}.deadline-ms: expected a span above zero"
            ));
        }
        let write = writes.get(n).and_then(|w| w.parse::<bool>().ok());
        let keyed = matches!(facts.idempotency, Idempotency::WithKey { .. });
        kinds.push(Kind {
            name: name.clone(),
            keyed,
            write,
        });
        let (share, unit_work) = (0.0, Duration::ZERO);
        let write = write.unwrap_or(false);
        traffic_classes.push(Stream {
            name,
            facts,
            deadline,
            write,
            share,
            unit_work,
        });
    }
    let plans = plans.into_iter().enumerate();
    let plans = plans.map(|(n, facts)| {
        Ok(NamedPlan {
            name: named(p, "plans", n)?,
            facts,
        })
    });
    let plans = plans.collect::<Result<Vec<_>, String>>()?;
    let units = shared::units(p)?;
    if units.largest <= 0.0 || units.mean <= 0.0 {
        return Err(
            "family-info.largest, family-info.mean-units: expected numbers above zero".into(),
        );
    }
    let max_open = match p.count("caps.max-open")? {
        0 => usize::MAX,
        most => most,
    };
    let idle = p.time("caps.conn-idle-ms")?;
    let idle = if idle.is_zero() {
        Duration::from_secs(10)
    } else {
        idle
    };
    let rules = Rules {
        drain_grace: p.time("rules.drain-grace-ms")?,
        cold: shared::cold(p)?,
        attempts: shared::retry_budget(p)?,
        key_rest: shared::key_rest(p)?,
        answer_margin: ANSWER_MARGIN,
    };
    let bounds = Bounds {
        max_open: max_open.min(descriptors.clients),
        max_held_bytes: (memory_mb << 20) / BYTES_PART,
        max_frame: 1 << 20,
        max_clients: descriptors.clients,
        max_unread: 1 << 20,
        attempts_per_connection: 1,
        connections_per_node: descriptors.nodes,
        node_connections: descriptors.nodes,
        dial_timeout,
        idle: idle.saturating_sub(IDLE_MARGIN).max(idle / 2),
        max_dispatch_delay: MAX_DISPATCH_DELAY,
        patience: ms(2000),
    };
    let settings = Settings {
        name: name.to_string(),
        zones: p.word("zones").split(',').map(String::from).collect(),
        traffic_classes,
        plans,
        volumes: Vec::new(),
        nodes: Vec::new(),
        hosts: vec![grebecleat_settings::HostSpec {
            name: name.to_string(),
            zone: 0,
            listen: Some(listen),
        }],
        list: ListSpec {
            address: Some(discovery),
            rule: discovery_policy(p)?,
            lag: Duration::ZERO,
            fails: 0.0,
        },
        state: None,
        fleet: None,
        units,
        host_limits: shared::host_limits(p)?,
        rules,
        bounds,
        portals: Vec::new(),
        targets: Vec::new(),
        rehearsal: None,
    };
    Ok((kinds, settings))
}

fn discovery_policy(p: &Pairs) -> Result<DiscoveryPolicy, String> {
    let told = shared::list(p)?;
    let poll_interval = if told.poll_interval.is_zero() {
        SILENCE
    } else {
        told.poll_interval.min(SILENCE)
    };
    Ok(DiscoveryPolicy {
        poll_interval,
        ..told
    })
}

fn named(p: &Pairs, what: &str, n: usize) -> Result<String, String> {
    match p.word(&format!("{what}.{n}.name")) {
        "" => Err(format!("{what}.{n}.name: missing")),
        name => Ok(name.to_string()),
    }
}

#[cfg(test)]
pub(crate) mod tests;
