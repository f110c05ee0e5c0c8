//! What each call means, and the checks that need more than one of them.

use crate::fields::{span_of, Call, Fault, Fields, Place};
use crate::kinds::Kind;
use crate::script::calls_of;
use grebecleat_scheduler::api::*;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

const DAY: Duration = Duration::from_secs(86_400);
const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

#[derive(Debug, Clone)]
pub struct Stream {
    pub name: String,
    pub facts: TrafficClass,
    /// How long a client waits for all its tries together.
    pub deadline: Duration,
    pub write: bool,
    /// Part of all requests, and the mean work of one unit, in rehearsals.
    pub share: f64,
    pub unit_work: Duration,
}

#[derive(Debug, Clone)]
pub struct NamedPlan {
    pub name: String,
    pub facts: Plan,
}

#[derive(Debug, Clone)]
pub struct VolumeSpec {
    pub id: u64,
    pub plan: usize,
    pub shards: Vec<u32>,
    /// Places of the hosts through which it works.
    pub hosts: Vec<usize>,
    /// Part of its plan's rate that its clients ask for.
    pub asks: f64,
    /// Size as a logical unit, in blocks of 512 bytes.
    pub blocks: u64,
}

#[derive(Debug, Clone)]
pub struct NodeSpec {
    pub id: u32,
    /// What operators call it.
    pub name: String,
    pub zone: usize,
    pub shard: u32,
    /// Units a second that it can do, for the planner; 0: nobody has said.
    pub capacity: f64,
    pub cores: u32,
    pub speed: f64,
    /// Places in its queue, beyond which it turns away.
    pub queue: usize,
    pub pause_every: Duration,
    pub pause: Duration,
    /// Part of a write's work that is put off, and how often that is done.
    pub put_off: f64,
    pub flush_every: Duration,
    /// Part of the work saved for data among the last few it took.
    pub warm_saves: f64,
    pub warm_keys: usize,
}

#[derive(Debug, Clone)]
pub struct HostSpec {
    pub name: String,
    pub zone: usize,
    pub listen: Option<SocketAddr>,
}

#[derive(Debug, Clone)]
pub struct ListSpec {
    pub address: Option<SocketAddr>,
    pub rule: DiscoveryPolicy,
    /// How late the list is on a node that came, drains or went.
    pub lag: Duration,
    /// Part of its calls that fail.
    pub fails: f64,
}

/// Where hosts follow changes of plans, and on what terms.
#[derive(Debug, Clone)]
pub struct StateSpec {
    pub address: Option<SocketAddr>,
    /// For how long a host may act on what it was last told.
    pub lease: Duration,
    /// By how much clocks may run apart in that time.
    pub margin: Duration,
    /// How far a volume's load may gather on a part of its nodes: 1 is spread alike.
    pub spread: f64,
    pub max_audit_log: u64,
    pub snapshot_every: Duration,
}

/// What hosts tell each other, and for how long they lend.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FleetSpec {
    /// Between two rounds of words.
    pub every: Duration,
    pub loan: Duration,
    /// By how much clocks may run apart in that time.
    pub margin: Duration,
}

#[derive(Debug, Clone)]
pub struct Rules {
    pub drain_grace: Duration,
    pub cold: SlowStartPolicy,
    pub attempts: Option<RetryBudget>,
    pub key_rest: Duration,
    /// Kept back from every deadline, so that the answer is with the client in time.
    pub answer_margin: Duration,
}

/// What one host lets itself hold. Everything that a peer can make grow has a bound here.
#[derive(Debug, Clone)]
pub struct Bounds {
    pub max_open: usize,
    pub max_held_bytes: usize,
    pub max_frame: usize,
    pub max_clients: usize,
    /// Bytes of answers that a client may leave unread.
    pub max_unread: usize,
    pub attempts_per_connection: usize,
    pub connections_per_node: usize,
    /// To all nodes together.
    pub node_connections: usize,
    pub dial_timeout: Duration,
    pub idle: Duration,
    /// An attempt that could not be written for so long is taken back.
    pub max_dispatch_delay: Duration,
    /// A greeting, or the rest of a frame that has begun, must come within this.
    pub patience: Duration,
}

/// An iSCSI target: its volumes are its logical units, in order.
#[derive(Debug, Clone)]
pub struct TargetSpec {
    pub name: String,
    /// Places among the volumes.
    pub volumes: Vec<usize>,
    /// Initiators that may log in; None: all.
    pub initiators: Option<Vec<String>>,
    /// Name and secret that an initiator must prove to know, and ours.
    pub chap: Option<(String, String)>,
    pub mutual: Option<(String, String)>,
}

/// Where and how a host serves iSCSI.
#[derive(Debug, Clone)]
pub struct PortalSpec {
    pub listen: SocketAddr,
    pub host: usize,
    pub group: u16,
    /// Traffic classes of reads, writes, and reads of at least so many bytes.
    pub read: usize,
    pub write: usize,
    pub large_read: usize,
    pub large_from: u32,
    pub unit_bytes: u32,
    pub extent_blocks: u32,
    /// Commands of one volume at the start and at the most, and of one session.
    pub commands: (f64, f64, u32),
}

#[derive(Debug, Clone)]
pub struct Trouble {
    pub kind: Kind,
    pub at: Duration,
    pub len: Duration,
    /// Part of the nodes, hosts or volumes that it strikes, where it names none.
    pub part: f64,
    pub size: f64,
    pub nodes: Vec<u32>,
    pub hosts: Vec<usize>,
    pub zone: Option<usize>,
}

/// A change of plans while a rehearsal runs, in the words of `grebecleat plans set`.
#[derive(Debug, Clone)]
pub struct ScriptedChange {
    pub at: Duration,
    pub words: Vec<String>,
    pub who: String,
    pub force: bool,
}

#[derive(Debug, Clone)]
pub struct Rehearsal {
    pub seed: u64,
    pub length: Duration,
    /// First tries a second, all volumes together; 0: as the volumes' plans say.
    pub per_second: f64,
    pub retries: u32,
    pub retry_wait: Duration,
    /// Part of the reads that go to data that the same client has written.
    pub reread: f64,
    pub bytes_per_unit: u32,
    /// iSCSI sessions at each target of each portal.
    pub sessions: u8,
    pub troubles: Vec<Trouble>,
    pub changes: Vec<ScriptedChange>,
}

#[derive(Debug, Clone)]
pub struct Settings {
    pub name: String,
    pub zones: Vec<String>,
    pub traffic_classes: Vec<Stream>,
    pub plans: Vec<NamedPlan>,
    pub volumes: Vec<VolumeSpec>,
    pub nodes: Vec<NodeSpec>,
    pub hosts: Vec<HostSpec>,
    pub list: ListSpec,
    pub state: Option<StateSpec>,
    /// None: every host decides by itself.
    pub fleet: Option<FleetSpec>,
    pub units: UnitSettings,
    pub host_limits: HostLimits,
    pub rules: Rules,
    pub bounds: Bounds,
    pub portals: Vec<PortalSpec>,
    pub targets: Vec<TargetSpec>,
    pub rehearsal: Option<Rehearsal>,
}

impl Settings {
    /// The longest deadline of any traffic class; zero where there is none.
    pub fn longest_deadline(&self) -> Duration {
        let deadlines = self.traffic_classes.iter().map(|class| class.deadline);
        deadlines.max().unwrap_or_default()
    }

    /// Reads a file; all its faults where it has any, and then nothing may be started by it.
    pub fn load(path: &Path) -> Result<Self, Vec<Fault>> {
        let text = std::fs::read_to_string(path).map_err(|e| {
            let place = Place {
                file: path.display().to_string(),
                line: 0,
            };
            vec![Fault {
                place,
                what: format!("cannot read: {e}"),
            }]
        })?;
        Self::read(path, text)
    }

    pub fn read(path: &Path, text: String) -> Result<Self, Vec<Fault>> {
        let calls = calls_of(path, text).map_err(|f| vec![f])?;
        let mut r = Reader {
            calls: &calls,
            file: path.display().to_string(),
            faults: Vec::new(),
        };
        let settings = r.settings();
        match r.faults.is_empty() {
            true => Ok(settings),
            false => Err(r.faults),
        }
    }
}

struct Reader<'a> {
    calls: &'a [Call],
    file: String,
    faults: Vec<Fault>,
}

impl Reader<'_> {
    fn each<T>(&mut self, what: &str, mut read: impl FnMut(&mut Fields) -> T) -> Vec<T> {
        let calls = self.calls.iter().filter(|c| c.what == what);
        calls
            .map(|call| {
                let mut f = Fields::of(call, &mut self.faults);
                let value = read(&mut f);
                f.end();
                value
            })
            .collect()
    }

    /// A call that may stand once; without it all its fields take their defaults.
    fn once<T>(&mut self, what: &'static str, read: impl FnMut(&mut Fields) -> T) -> T {
        let mut places = self
            .calls
            .iter()
            .filter(|c| c.what == what)
            .map(|c| c.place.clone());
        if let Some(place) = places.nth(1) {
            self.faults.push(Fault {
                place,
                what: format!("{what}: stands a second time; expected one"),
            });
        }
        let blank = [Call {
            what,
            place: Place {
                file: self.file.clone(),
                line: 0,
            },
            fields: Default::default(),
        }];
        let mut read = read;
        if let Some(value) = self.each(what, &mut read).into_iter().next() {
            return value;
        }
        let mut f = Fields::of(&blank[0], &mut self.faults);
        let value = read(&mut f);
        f.end();
        value
    }

    fn whole_file(&mut self, what: String) {
        let place = Place {
            file: self.file.clone(),
            line: 0,
        };
        self.faults.push(Fault { place, what });
    }

    fn unique<T: Ord + std::fmt::Display>(&mut self, what: &str, field: &str, ids: Vec<T>) {
        let places: Vec<Place> = self
            .calls
            .iter()
            .filter(|c| c.what == what)
            .map(|c| c.place.clone())
            .collect();
        let mut seen = BTreeSet::new();
        for (id, place) in ids.into_iter().zip(places) {
            let text =
                format!("{what}: field '{field}': {id} stands a second time; expected each once");
            if !seen.insert(id) {
                self.faults.push(Fault { place, what: text });
            }
        }
    }

    fn settings(&mut self) -> Settings {
        let name = self.once("deployment", |f| f.text("name", Some("unnamed")));
        let zones = self.each("zone", |f| f.text("name", None));
        self.unique("zone", "name", zones.clone());
        let zone_names: Vec<&str> = zones.iter().map(String::as_str).collect();
        let traffic_classes = self.each("stream_type", stream);
        self.unique(
            "stream_type",
            "name",
            traffic_classes.iter().map(|s| s.name.clone()).collect(),
        );
        let plans = self.each("plan", plan);
        self.unique(
            "plan",
            "name",
            plans.iter().map(|p| p.name.clone()).collect(),
        );
        let plan_names: Vec<&str> = plans.iter().map(|p| p.name.as_str()).collect();
        let nodes = self.each("node", |f| node(f, &zone_names));
        self.unique("node", "id", nodes.iter().map(|n| n.id).collect());
        let mut called: Vec<&str> = nodes
            .iter()
            .map(|n| n.name.as_str())
            .filter(|n| !n.is_empty())
            .collect();
        called.sort_unstable();
        if let Some(twice) = called.windows(2).find(|w| w[0] == w[1]) {
            self.whole_file(format!(
                "node: field 'name': {} stands a second time; expected each once",
                twice[0]
            ));
        }
        let hosts = self.each("host", |f| host(f, &zone_names));
        self.unique(
            "host",
            "name",
            hosts.iter().map(|h| h.name.clone()).collect(),
        );
        let host_names: Vec<&str> = hosts.iter().map(|h| h.name.as_str()).collect();
        let shards: BTreeSet<u32> = nodes.iter().map(|n| n.shard).collect();
        let volumes = self.each("volume", |f| volume(f, &plan_names, &host_names, &shards));
        self.unique("volume", "id", volumes.iter().map(|v| v.id).collect());
        for (what, none) in [
            ("zone", zones.is_empty()),
            ("stream_type", traffic_classes.is_empty()),
            ("plan", plans.is_empty()),
            ("host", hosts.is_empty()),
        ] {
            if none {
                self.whole_file(format!("no {what}() in the file; expected at least one"));
            }
        }
        let list = self.once("node_list", list);
        let follows = self.calls.iter().any(|c| c.what == "state_service");
        let state = follows.then(|| self.once("state_service", state));
        let shares = self.calls.iter().any(|c| c.what == "fleet");
        let fleet = shares.then(|| self.once("fleet", fleet));
        let units = self.once("units", units);
        let host_limits = self.once("legs", attempts);
        let hosts_n = hosts.len();
        let rules = self.once("rules", |f| rules(f, hosts_n));
        let bounds = self.once("bounds", bounds);
        // Attempts are drawn from a limit when they are decided and cross up to
        // `max_dispatch_delay` later, so a burst can reach the nodes by the rate over that time too
        // much.
        let slack_short = |p: &NamedPlan| {
            p.facts.limit > 0.0 && {
                p.facts.limit_slack < p.facts.limit * bounds.max_dispatch_delay.as_secs_f64()
            }
        };
        if let Some(p) = plans.iter().find(|p| slack_short(p)) {
            let least = p.facts.limit * bounds.max_dispatch_delay.as_secs_f64();
            self.whole_file(format!(
                "plan: field 'limit_slack': of {}: expected at least limit times bounds' linger, {least}",
                p.name
            ));
        }
        let stream_names: Vec<&str> = traffic_classes.iter().map(|s| s.name.as_str()).collect();
        let portals = self.each("portal", |f| portal(f, &host_names, &stream_names));
        // A request that counts for less than it is would slip through reservations and limits.
        let most = |p: &PortalSpec| (p.extent_blocks * 512).div_ceil(p.unit_bytes);
        if let Some(p) = portals.iter().find(|p| f64::from(most(p)) > units.largest) {
            self.whole_file(format!(
                "portal: field 'extent_blocks': an extent is {} units; expected at most units' largest, {}",
                most(p),
                units.largest
            ));
        }
        let volume_ids: Vec<u64> = volumes.iter().map(|v| v.id).collect();
        let targets = self.each("target", |f| target(f, &volume_ids));
        self.unique(
            "target",
            "name",
            targets.iter().map(|t| t.name.clone()).collect(),
        );
        let rehearsal = self.rehearsal(&zone_names, &host_names, &nodes);
        Settings {
            name,
            traffic_classes,
            plans,
            volumes,
            nodes,
            list,
            state,
            fleet,
            units,
            host_limits,
            rules,
            bounds,
            portals,
            targets,
            rehearsal,
            zones: zones.clone(),
            hosts: hosts.clone(),
        }
    }

    fn rehearsal(
        &mut self,
        zones: &[&str],
        hosts: &[&str],
        nodes: &[NodeSpec],
    ) -> Option<Rehearsal> {
        let ids: BTreeSet<u32> = nodes.iter().map(|n| n.id).collect();
        let troubles = self.each("trouble", |f| trouble(f, zones, hosts, &ids));
        let changes = self.each("change", change);
        if !self.calls.iter().any(|c| c.what == "rehearsal") {
            return None;
        }
        let (seed, length) = self.once("rehearsal", |f| {
            (
                f.whole("seed", Some(1), (0, u64::MAX)),
                f.span("length", None, DAY),
            )
        });
        Some(self.once("load_of", |f| Rehearsal {
            seed,
            length,
            per_second: f.number("per_second", Some(0.0), (0.0, 1e6)),
            retries: f.whole("retries", Some(1), (0, 10)) as u32,
            retry_wait: f.span("retry_wait", Some(ms(100)), DAY),
            reread: f.number("reread", Some(0.3), (0.0, 1.0)),
            bytes_per_unit: f.whole("bytes_per_unit", Some(512), (1, 1 << 20)) as u32,
            sessions: f.whole("sessions", Some(4), (0, 64)) as u8,
            troubles: troubles.clone(),
            changes: changes.clone(),
        }))
    }
}

fn stream(f: &mut Fields) -> Stream {
    let idempotency = match f.raw("repeat") {
        Some(v) if v.as_str() == Some("repeatable") => Idempotency::Idempotent,
        Some(v) if v.as_str() == Some("unrepeatable") => Idempotency::NonIdempotent,
        Some(v) => {
            let scope = match v.get("group").and_then(|g| g.as_str()) {
                Some("all") => Some(DeduplicationScope::All),
                Some("zone") => Some(DeduplicationScope::Zone),
                Some("cell") => Some(DeduplicationScope::Shard),
                _ => None,
            };
            match (scope, v.get("remembered").and_then(span_of)) {
                (Some(scope), Some(window)) => Idempotency::WithKey { scope, window },
                _ => {
                    let expected =
                        "\"repeatable\", \"unrepeatable\" or keyed(group = \"all\", \"zone\" or \
                                    \"cell\", remembered = a time)";
                    f.fault("repeat", format!("expected {expected}, found {v}"));
                    Idempotency::NonIdempotent
                }
            }
        }
        None => Idempotency::NonIdempotent,
    };
    let name = f.text("name", None);
    let (latency_objective, deadline) = (f.span("slo", None, DAY), f.span("expiry", None, DAY));
    if latency_objective > deadline {
        f.fault(
            "slo",
            format!("expected at most the expiry, {deadline:?}, found {latency_objective:?}"),
        );
    }
    let facts = TrafficClass {
        latency_objective,
        idempotency,
        ordered: f.flag("ordered", Some(false)),
        priority_weight: f.number("benefit", Some(1.0), (0.0, 1e6)),
        late_fraction: f.number("late_part", Some(0.2), (0.0, 1.0)),
    };
    let (write, share) = (
        f.flag("write", Some(false)),
        f.number("share", Some(1.0), (0.0, 1e6)),
    );
    Stream {
        name,
        facts,
        deadline,
        write,
        share,
        unit_work: f.span("unit_work", Some(ms(4)), DAY),
    }
}

fn plan(f: &mut Fields) -> NamedPlan {
    let rate = |f: &mut Fields, name, default| f.number(name, default, (0.0, 1e9));
    let facts = Plan {
        base_rate: rate(f, "rate", None),
        reservation: rate(f, "reservation", Some(0.0)),
        limit: rate(f, "limit", Some(0.0)),
        limit_burst: rate(f, "limit_burst", Some(0.0)),
        limit_slack: rate(f, "limit_slack", Some(0.0)),
        weight: rate(f, "weight", Some(1.0)),
        price: rate(f, "price", Some(1.0)),
    };
    if facts.limit > 0.0 && facts.limit < facts.reservation {
        f.fault(
            "limit",
            format!(
                "expected 0 (none) or at least the reservation, {}",
                facts.reservation
            ),
        );
    }
    if facts.limit > 0.0 && facts.limit_burst <= 0.0 {
        f.fault(
            "limit_burst",
            "expected more than 0 where there is a limit".into(),
        );
    }
    NamedPlan {
        name: f.text("name", None),
        facts,
    }
}

fn volume(f: &mut Fields, plans: &[&str], hosts: &[&str], shards: &BTreeSet<u32>) -> VolumeSpec {
    let named: Vec<u32> = f
        .numbers("cells", u64::from(u32::MAX))
        .into_iter()
        .map(|c| c as u32)
        .collect();
    if let Some(shard) = named.iter().find(|c| !shards.contains(c)) {
        f.fault(
            "cells",
            format!("expected cells that a node() holds, found {shard}"),
        );
    }
    let mut through = f.some_of("hosts", hosts);
    if through.is_empty() {
        through = (0..hosts.len()).collect();
    }
    VolumeSpec {
        id: f.whole("id", None, (0, u64::MAX)),
        plan: f.one_of("plan", None, plans),
        shards: if named.is_empty() {
            shards.iter().copied().collect()
        } else {
            named
        },
        hosts: through,
        asks: f.number("asks", Some(1.0), (0.0, 1e6)),
        blocks: f.whole("blocks", Some(1 << 21), (1, 1 << 48)),
    }
}

fn node(f: &mut Fields, zones: &[&str]) -> NodeSpec {
    let id = f.whole("id", None, (0, u64::from(u32::MAX))) as u32;
    let name = f.maybe_text("name").unwrap_or_default();
    if name.parse::<u64>().is_ok() {
        f.fault(
            "name",
            format!("expected a name that is no number, found {name}"),
        );
    }
    NodeSpec {
        id,
        name,
        zone: f.one_of("zone", None, zones),
        shard: f.whole("cell", Some(u64::from(id)), (0, u64::from(u32::MAX))) as u32,
        capacity: f.number("capacity", Some(0.0), (0.0, 1e9)),
        cores: f.whole("cores", Some(2), (1, 1024)) as u32,
        speed: f.number("speed", Some(1.0), (0.01, 1000.0)),
        queue: f.whole("queue", Some(64), (1, 1 << 20)) as usize,
        pause_every: f.span("pause_every", Some(Duration::ZERO), DAY),
        pause: f.span("pause", Some(Duration::ZERO), DAY),
        put_off: f.number("put_off", Some(0.0), (0.0, 0.95)),
        flush_every: f.span("flush_every", Some(ms(2000)), DAY),
        warm_saves: f.number("warm_saves", Some(0.4), (0.0, 0.95)),
        warm_keys: f.whole("warm_keys", Some(2), (0, 1024)) as usize,
    }
}

fn address(f: &mut Fields, name: &'static str) -> Option<SocketAddr> {
    let text = f.maybe_text(name)?;
    let read = text.parse().ok();
    if read.is_none() {
        f.fault(
            name,
            format!("expected an address and port such as \"127.0.0.1:7100\", found {text:?}"),
        );
    }
    read
}

fn host(f: &mut Fields, zones: &[&str]) -> HostSpec {
    HostSpec {
        name: f.text("name", None),
        zone: f.one_of("zone", Some(0), zones),
        listen: address(f, "listen"),
    }
}

fn list(f: &mut Fields) -> ListSpec {
    ListSpec {
        address: address(f, "address"),
        rule: DiscoveryPolicy {
            polled: f.flag("on_asking", Some(true)),
            poll_interval: f.span("ask_every", Some(ms(10_000)), DAY),
            lease: None,
        },
        lag: f.span("lag", Some(ms(1000)), DAY),
        fails: f.number("fails", Some(0.0), (0.0, 1.0)),
    }
}

fn state(f: &mut Fields) -> StateSpec {
    let spec = StateSpec {
        address: address(f, "address"),
        lease: f.span("lease", Some(ms(6000)), DAY),
        margin: f.span("margin", Some(ms(1000)), DAY),
        spread: f.number("spread", Some(2.0), (1.0, 1000.0)),
        max_audit_log: f.whole("most_trail", Some(100_000), (100, 10_000_000)),
        snapshot_every: f.span("snapshot_every", Some(ms(600_000)), DAY),
    };
    if spec.lease < ms(100) {
        f.fault(
            "lease",
            format!("expected at least ms(100), found {:?}", spec.lease),
        );
    }
    spec
}

fn change(f: &mut Fields) -> ScriptedChange {
    let words = f.raw("words").and_then(|v| {
        v.as_array()
            .map(|a| a.iter().map(|w| w.as_str().map(str::to_string)).collect())
    });
    let words: Option<Vec<String>> = words.flatten();
    if words.as_ref().is_none_or(|w| w.is_empty()) {
        f.fault(
            "words",
            "expected a list of changes such as [\"plan basic limit=20\"]".into(),
        );
    }
    ScriptedChange {
        at: f.span("at", None, DAY),
        words: words.unwrap_or_default(),
        who: f.text("who", Some("rehearsal")),
        force: f.flag("force", Some(false)),
    }
}

fn fleet(f: &mut Fields) -> FleetSpec {
    let every = f.span("every", Some(ms(200)), DAY);
    let loan = f.span("loan", Some(ms(2000)), DAY);
    let margin = f.span("margin", Some(ms(250)), DAY);
    if every < ms(20) {
        f.fault("every", format!("expected at least 20ms, found {every:?}"));
    }
    // A loan is asked for anew in its second half, and the answer must have rounds to come in.
    if loan < every * 4 {
        f.fault(
            "loan",
            format!(
                "expected at least four times every, {:?}, found {loan:?}",
                every * 4
            ),
        );
    }
    // Clocks of one machine lose less; of several, well under a hundredth.
    if margin < loan / 100 {
        f.fault(
            "margin",
            format!(
                "expected at least a hundredth of loan, {:?}, found {margin:?}",
                loan / 100
            ),
        );
    }
    FleetSpec {
        every,
        loan,
        margin,
    }
}

fn units(f: &mut Fields) -> UnitSettings {
    UnitSettings {
        mean: f.number("mean", Some(2.0), (0.01, 1e6)),
        largest: f.number("largest", Some(8.0), (0.01, 1e6)),
        meter: f.span("meter", Some(ms(1000)), DAY),
        share_fraction: f.number("share_part", Some(0.35), (0.0, 1.0)),
        spare_fraction: f.number("spare_part", Some(0.05), (0.0, 1.0)),
    }
}

fn attempts(f: &mut Fields) -> HostLimits {
    let max_retry_after = f.span("come_back_most", Some(ms(2000)), DAY);
    HostLimits {
        max_attempts: f.whole("most", Some(3), (1, 100)) as u32,
        probing: f.flag("probing", Some(false)),
        max_retry_after: (!max_retry_after.is_zero()).then_some(max_retry_after),
        answer_slack: f.span("answer_slack", Some(ms(8)), DAY),
    }
}

fn rules(f: &mut Fields, hosts: usize) -> Rules {
    let cold = SlowStartPolicy {
        hosts,
        units: f.number("cold_units", Some(20.0), (0.0, 1e9)),
        initial_fraction: f.number("cold_from", Some(0.2), (0.01, 1.0)),
        warm_up_time: f.span("warm_within", Some(ms(10_000)), DAY),
        overload_window: f.span("fall_within", Some(ms(2000)), DAY),
        multiple: f.number("fall_multiple", Some(3.0), (1.0, 1000.0)),
    };
    let share = f.number("further_share", Some(0.0), (0.0, 100.0));
    let floor = f.number("further_floor", Some(3.0), (0.0, 1e6));
    let window = f.span("further_window", Some(ms(5000)), DAY);
    Rules {
        drain_grace: f.span("drain_grace", Some(ms(1000)), DAY),
        cold,
        attempts: (share > 0.0).then_some(RetryBudget {
            min_retries: floor,
            ratio: share,
            window,
        }),
        key_rest: f.span("key_rest", Some(ms(200)), DAY),
        answer_margin: f.span("answer_margin", Some(ms(20)), DAY),
    }
}

fn bounds(f: &mut Fields) -> Bounds {
    let most = 1u64 << 40;
    Bounds {
        max_open: f.whole("most_open", Some(20_000), (1, most)) as usize,
        max_held_bytes: f.whole("most_held_bytes", Some(256 << 20), (1, most)) as usize,
        max_frame: f.whole("most_frame", Some((1 << 20) + 4096), (4096, 1 << 30)) as usize,
        max_clients: f.whole("most_clients", Some(10_000), (1, most)) as usize,
        max_unread: f.whole("most_unread", Some(8 << 20), (4096, most)) as usize,
        attempts_per_connection: f.whole("legs_per_connection", Some(100), (1, 1 << 20)) as usize,
        connections_per_node: f.whole("connections_per_node", Some(4), (1, 1024)) as usize,
        node_connections: f.whole("node_connections", Some(10_000), (1, most)) as usize,
        dial_timeout: f.span("dial_timeout", Some(ms(250)), DAY),
        idle: f.span("idle", Some(ms(15_000)), DAY),
        max_dispatch_delay: f.span("linger", Some(ms(250)), DAY),
        patience: f.span("patience", Some(ms(5000)), DAY),
    }
}

fn portal(f: &mut Fields, hosts: &[&str], traffic_classes: &[&str]) -> PortalSpec {
    let listen = address(f, "listen");
    if listen.is_none() && f.raw("listen").is_none() {
        f.fault(
            "listen",
            "missing; expected an address and port such as \"127.0.0.1:3260\"".into(),
        );
    }
    PortalSpec {
        listen: listen.unwrap_or(([127, 0, 0, 1], 0).into()),
        host: f.one_of("host", Some(0), hosts),
        group: f.whole("group", Some(1), (1, 65_535)) as u16,
        read: f.one_of("read", None, traffic_classes),
        write: f.one_of("write", None, traffic_classes),
        large_read: f.one_of("large_read", None, traffic_classes),
        large_from: f.whole("large_from", Some(64 << 10), (512, 1 << 24)) as u32,
        unit_bytes: f.whole("unit_bytes", Some(16 << 10), (512, 1 << 24)) as u32,
        extent_blocks: f.whole("extent_blocks", Some(128), (1, 1 << 16)) as u32,
        commands: (
            f.number("first_commands", Some(64.0), (1.0, 1e6)),
            f.number("most_commands", Some(512.0), (1.0, 1e6)),
            f.whole("commands_each", Some(128), (1, 65_535)) as u32,
        ),
    }
}

fn target(f: &mut Fields, volumes: &[u64]) -> TargetSpec {
    let ids = f.numbers("volumes", u64::MAX);
    let found: Vec<Option<usize>> = ids
        .iter()
        .map(|id| volumes.iter().position(|v| v == id))
        .collect();
    if ids.is_empty() || found.contains(&None) {
        f.fault(
            "volumes",
            "expected a list of ids of volumes, at least one".into(),
        );
    }
    let mut secret = |name: &'static str, field: &'static str| {
        let (name, secret) = (f.maybe_text(name)?, f.text(field, None));
        if secret.len() < 12 {
            f.fault(
                field,
                format!("expected at least 12 bytes, found {}", secret.len()),
            );
        }
        Some((name, secret))
    };
    let chap = secret("chap_name", "chap_secret");
    let mutual = secret("mutual_name", "mutual_secret");
    // With one secret both ways, an initiator's proof could be had from us (RFC 7143, 9.2.1).
    if chap
        .as_ref()
        .zip(mutual.as_ref())
        .is_some_and(|(a, b)| a.1 == b.1)
    {
        f.fault("mutual_secret", "expected another than chap_secret".into());
    }
    let initiators = f.raw("initiators").map(|v| {
        let all = v
            .as_array()
            .map(|a| a.iter().map(|i| i.as_str().map(str::to_string)).collect());
        all.flatten().unwrap_or_else(|| {
            f.fault("initiators", format!("expected a list of names, found {v}"));
            Vec::new()
        })
    });
    TargetSpec {
        name: f.text("name", None),
        volumes: found.into_iter().flatten().collect(),
        initiators,
        chap,
        mutual,
    }
}

fn trouble(f: &mut Fields, zones: &[&str], hosts: &[&str], nodes: &BTreeSet<u32>) -> Trouble {
    let names: Vec<&str> = Kind::ALL.iter().map(|(name, _)| *name).collect();
    let kind = Kind::ALL[f.one_of("kind", None, &names)].1;
    let struck: Vec<u32> = f
        .numbers("nodes", u64::from(u32::MAX))
        .into_iter()
        .map(|n| n as u32)
        .collect();
    if let Some(n) = struck.iter().find(|n| !nodes.contains(n)) {
        f.fault("nodes", format!("expected ids of nodes, found {n}"));
    }
    let zone = f
        .raw("zone")
        .is_some()
        .then(|| f.one_of("zone", None, zones));
    Trouble {
        kind,
        at: f.span("at", None, DAY),
        len: f.span("len", Some(ms(5000)), DAY),
        part: f.number("part", Some(0.2), (0.0, 1.0)),
        size: f.number("size", Some(0.9), (0.0, 1000.0)),
        nodes: struck,
        hosts: f.some_of("hosts", hosts),
        zone,
    }
}
