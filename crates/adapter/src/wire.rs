//! Lines in, lines out.

use base64::engine::general_purpose::STANDARD;
use base64::Engine;
use grebecleat_adapter::settings::{self, time, Pairs};
use grebecleat_scheduler::api::*;
use grebecleat_scheduler::scheduler::Scheduler;
use std::collections::BTreeMap;
use std::fmt::{self, Write};
use std::str::FromStr;
use std::time::Duration;

/// More units than this in one request are a slip of the sender.
const MAX_UNITS: f64 = 1e9;

/// What is wrong with the input, and on which line.
#[derive(Debug)]
pub struct Fault {
    line: u64,
    what: String,
}

impl Fault {
    pub fn at(line: u64, what: String) -> Self {
        Fault { line, what }
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "line {}: {}", self.line, self.what)
    }
}

struct Host {
    scheduler: Scheduler,
    traffic_classes: usize,
    plans: usize,
    busy: Option<usize>,
    events: Vec<Event>,
}

struct Listing {
    host: String,
    kind: EndpointUpdateKind,
    left: usize,
    endpoints: Vec<Endpoint>,
}

/// All hosts of this process and the batch being read.
#[derive(Default)]
pub struct Desk {
    hosts: BTreeMap<String, Host>,
    batch: Option<(Duration, String)>,
    listing: Option<Listing>,
}

/// The values of one line, taken in order.
struct Values<'a> {
    parts: std::str::Split<'a, char>,
    name: &'a str,
}

impl<'a> Values<'a> {
    fn word(&mut self, what: &str) -> Result<&'a str, String> {
        self.parts
            .next()
            .filter(|w| !w.is_empty())
            .ok_or(format!("{} lacks {what}", self.name))
    }

    fn maybe<T: FromStr>(&mut self, what: &str) -> Result<Option<T>, String> {
        match self.word(what)? {
            "-" => Ok(None),
            w => w
                .parse()
                .map(Some)
                .map_err(|_| format!("{} has a bad {what}: {w}", self.name)),
        }
    }

    fn must<T: FromStr>(&mut self, what: &str) -> Result<T, String> {
        self.maybe(what)?
            .ok_or(format!("{} lacks {what}", self.name))
    }

    /// A size or span: absent, infinite or negative figures count as nothing.
    fn number(&mut self, what: &str) -> Result<f64, String> {
        Ok(self
            .maybe::<f64>(what)?
            .filter(|n| n.is_finite())
            .unwrap_or(0.0)
            .max(0.0))
    }

    fn time(&mut self, what: &str) -> Result<Duration, String> {
        Ok(time(self.number(what)?))
    }

    fn yes(&mut self, what: &str) -> Result<bool, String> {
        match self.word(what)? {
            "1" => Ok(true),
            "0" | "-" => Ok(false),
            w => Err(format!("{} has a bad {what}: {w}", self.name)),
        }
    }

    fn hex(&mut self, what: &str) -> Result<Option<u64>, String> {
        match self.word(what)? {
            "-" => Ok(None),
            w => u64::from_str_radix(w, 16)
                .map(Some)
                .map_err(|_| format!("{} has a bad {what}: {w}", self.name)),
        }
    }

    fn request(&mut self) -> Result<RequestId, String> {
        let w = self.word("rid")?;
        w.as_bytes()
            .try_into()
            .map(RequestId)
            .map_err(|_| format!("{} has a bad rid: {w}", self.name))
    }

    fn bytes(&mut self, what: &str) -> Result<Vec<u8>, String> {
        match self.word(what)? {
            "-" => Ok(Vec::new()),
            w => STANDARD
                .decode(w)
                .map_err(|_| format!("{} has a bad {what}", self.name)),
        }
    }

    fn report(&mut self) -> Result<Vec<f64>, String> {
        match self.word("gauge")? {
            "-" => Ok(Vec::new()),
            w => w
                .split(',')
                .map(|v| if v == "-" { Ok(0.0) } else { v.parse() })
                .collect::<Result<_, _>>()
                .map_err(|_| format!("{} has a bad gauge: {w}", self.name)),
        }
    }

    fn end(&mut self) -> Result<(), String> {
        match self.parts.next() {
            None => Ok(()),
            Some(_) => Err(format!("{} has too many values", self.name)),
        }
    }
}

fn attempt_outcome(code: u32) -> Result<AttemptOutcome, String> {
    Ok(match code {
        200 => AttemptOutcome::Completed,
        502 => AttemptOutcome::Failed,
        429 => AttemptOutcome::QueueFull,
        408 => AttemptOutcome::TimedOut,
        521 => AttemptOutcome::ConnectFailed,
        520 => AttemptOutcome::ConnectionReset,
        444 => AttemptOutcome::Cancelled,
        409 => AttemptOutcome::NotSent,
        _ => return Err(format!("unknown result {code}")),
    })
}

impl Desk {
    /// At the end of input: a batch that was begun must have ended.
    pub fn closed(&self) -> Result<(), String> {
        match self.batch {
            None => Ok(()),
            Some(_) => Err("input ends inside a batch".into()),
        }
    }

    /// Takes one line; the last of a batch brings the reply.
    pub fn line(&mut self, text: &str) -> Result<Option<String>, String> {
        let mut v = Values {
            parts: text.split(' '),
            name: "",
        };
        let name = v.parts.next().unwrap_or("");
        v.name = name;
        if let Some(listing) = &mut self.listing {
            if name != "ENTRY" {
                return Err(format!(
                    "expected {} more ENTRY lines, found {name}",
                    listing.left
                ));
            }
            listing.endpoints.push(entry(&mut v)?);
            listing.left -= 1;
            return self.listed().map(|()| None);
        }
        match (name, self.batch.is_some()) {
            ("", _) => return Ok(None),
            ("BEGIN_BATCH", false) => {
                let now = v.time("time-ms")?;
                let serial = v.word("serial")?.to_string();
                v.end()?;
                self.batch = Some((now, serial));
            }
            ("BEGIN_BATCH", true) => return Err("a batch begins inside a batch".into()),
            (_, false) => return Err(format!("{name} outside a batch")),
            ("END", true) => {
                v.end()?;
                return Ok(self.reply());
            }
            ("CREATE", true) => self.create(text)?,
            ("DETACH", true) => {
                let host = v.word("host")?;
                v.end()?;
                self.hosts
                    .remove(host)
                    .ok_or(format!("DETACH for unknown host {host}"))?;
            }
            ("SYNC", true) => {
                let host = v.word("host")?.to_string();
                if !self.hosts.contains_key(&host) {
                    return Err(format!("SYNC for unknown host {host}"));
                }
                let kind = match v.word("form")? {
                    "Partial" => EndpointUpdateKind::Delta,
                    "Complete" => EndpointUpdateKind::Snapshot,
                    "Persisted" => EndpointUpdateKind::Cached,
                    "Error" => EndpointUpdateKind::FetchFailed,
                    w => return Err(format!("SYNC has a bad form: {w}")),
                };
                v.maybe::<i64>("revision")?;
                let left = v.maybe("items")?.unwrap_or(0);
                v.end()?;
                self.listing = Some(Listing {
                    host,
                    kind,
                    left,
                    endpoints: Vec::new(),
                });
                self.listed()?;
            }
            _ => self.event(name, &mut v)?,
        }
        Ok(None)
    }

    fn create(&mut self, text: &str) -> Result<(), String> {
        let mut parts = text.splitn(4, ' ').skip(1);
        let host = parts
            .next()
            .filter(|h| !h.is_empty())
            .ok_or("CREATE lacks host")?;
        let seed = parts.next().ok_or("CREATE lacks nonce64")?;
        let seed = seed
            .parse::<u64>()
            .or_else(|_| seed.parse::<i64>().map(|s| s as u64));
        let seed = seed.map_err(|_| "CREATE has a bad nonce64")?;
        let p = Pairs::read(parts.next().unwrap_or(""))?;
        let (traffic_classes, plans) = (settings::traffic_classes(&p)?, settings::plans(&p)?);
        let counts = (traffic_classes.len(), plans.len());
        let scheduler = Scheduler::new(
            seed,
            traffic_classes,
            plans,
            settings::units(&p)?,
            settings::host_limits(&p)?,
        )
        .with_rules(
            settings::cold(&p)?,
            settings::list(&p)?,
            settings::retry_budget(&p)?,
            settings::key_rest(&p)?,
        );
        let busy = settings::report_place(&p, "utilization");
        let host_new = Host {
            scheduler,
            traffic_classes: counts.0,
            plans: counts.1,
            busy,
            events: Vec::new(),
        };
        self.hosts.insert(host.to_string(), host_new);
        Ok(())
    }

    fn listed(&mut self) -> Result<(), String> {
        if let Some(l) = self.listing.take_if(|l| l.left == 0) {
            let host = self.hosts.get_mut(&l.host).ok_or("SYNC for unknown host")?;
            host.events.push(Event::EndpointUpdate {
                kind: l.kind,
                endpoints: l.endpoints,
            });
        }
        Ok(())
    }

    fn event(&mut self, name: &str, v: &mut Values) -> Result<(), String> {
        if ![
            "KNOCK",
            "ACK_FIRST",
            "REPLY",
            "ABORTED",
            "WAKEUP",
            "CHECKED",
            "PEER",
        ]
        .contains(&name)
        {
            return Err(format!("unknown message {name}"));
        }
        let id = v.word("host")?;
        let host = self
            .hosts
            .get_mut(id)
            .ok_or(format!("{name} for unknown host {id}"))?;
        let event = match name {
            "KNOCK" => {
                let id = v.request()?;
                let units = v.number("units")?.min(MAX_UNITS);
                let shard = v
                    .maybe::<i64>("slot-no")?
                    .and_then(|c| u32::try_from(c).ok())
                    .map(ShardId);
                let traffic_class = TrafficClassId(v.must("cls")?);
                let plan = PlanId(v.must("policy-no")?);
                if traffic_class.0 >= host.traffic_classes || plan.0 >= host.plans {
                    return Err("KNOCK names a cls or policy-no that no setting describes".into());
                }
                let hosts = v.number("mounts")? as usize;
                v.maybe::<u64>("bits")?;
                let key = v.hex("region")?.map(KeyId);
                let deadline = v.time("expires-ms")?;
                let volume = VolumeId(v.hex("volume")?.unwrap_or(0));
                Event::RequestReceived(Request {
                    id,
                    units,
                    shard,
                    traffic_class,
                    plan,
                    hosts,
                    key,
                    deadline,
                    volume,
                })
            }
            "ACK_FIRST" => {
                let (id, attempt) = (v.request()?, v.must("leg")?);
                v.must::<u32>("brick")?;
                v.time("elapsed-ms")?;
                Event::ResponseStarted { id, attempt }
            }
            "REPLY" => Event::AttemptEnded(AttemptEnd {
                id: v.request()?,
                attempt: v.must("leg")?,
                node: NodeId(v.must("brick")?),
                outcome: attempt_outcome(v.must("result")?)?,
                elapsed: v.time("elapsed-ms")?,
                answered: v.yes("finished")?,
                reported: v
                    .maybe::<u64>("metered")?
                    .filter(|m| *m > 0)
                    .map(|m| (m - 1) as f64),
                others: v.number("others-got")?,
                busy: host
                    .busy
                    .and_then(|at| v.report().map(|r| r.get(at).copied()).transpose())
                    .transpose()?,
            }),
            "ABORTED" => Event::RequestCancelled { id: v.request()? },
            "WAKEUP" => Event::TimerFired {
                tag: TimerTag(v.must("tag")?),
            },
            "CHECKED" => {
                let node = NodeId(v.must("brick")?);
                v.time("elapsed-ms")?;
                let outcome = attempt_outcome(v.must("result")?)?;
                v.report()?;
                Event::HealthChecked { node, outcome }
            }
            _ => Event::PeerMessage {
                from: PeerId(v.must("sender")?),
                bytes: v.bytes("contents")?,
            },
        };
        if let ("REPLY", None) = (name, host.busy) {
            v.report()?;
        }
        v.end()?;
        host.events.push(event);
        Ok(())
    }

    /// Only hosts that had an event may act.
    fn reply(&mut self) -> Option<String> {
        let (now, serial) = self.batch.take()?;
        let mut text = String::new();
        for (name, host) in self.hosts.iter_mut().filter(|(_, h)| !h.events.is_empty()) {
            for action in host.scheduler.step(now, std::mem::take(&mut host.events)) {
                write_action(&mut text, name, &action);
            }
        }
        let _ = writeln!(text, "OK {serial}");
        Some(text)
    }
}

fn entry(v: &mut Values) -> Result<Endpoint, String> {
    let entry = Endpoint {
        node: NodeId(v.must("brick")?),
        zone: ZoneId(v.maybe("area")?.unwrap_or(0)),
        shard: {
            v.maybe::<u32>("hw")?;
            ShardId(v.maybe("group")?.unwrap_or(0))
        },
        state: match v.word("stage-state")? {
            "healthy" => NodeState::Ready,
            "cordoned" => NodeState::Draining,
            "deregistered" => NodeState::Gone,
            w => return Err(format!("ENTRY has a bad stage-state: {w}")),
        },
        started: {
            v.number("power-hint")?;
            Some(v.time("online-since-ms")?).filter(|t| !t.is_zero())
        },
    };
    v.end()?;
    Ok(entry)
}

fn ms(t: Duration) -> String {
    let us = t.as_nanos().div_ceil(1000);
    format!("{}.{:03}", us / 1000, us % 1000)
}

fn write_action(to: &mut String, host: &str, action: &Action) {
    let text = |id: &RequestId| String::from_utf8_lossy(&id.0).into_owned();
    let _ = match action {
        Action::SendAttempt { id, node, deadline } => {
            writeln!(to, "TRY {host} {} {} {}", text(id), node.0, ms(*deadline))
        }
        Action::Reject { id, retry_after } => {
            let wait = retry_after.map_or("-".into(), ms);
            writeln!(to, "REFUSE {host} {} {wait}", text(id))
        }
        Action::Fail { id } => writeln!(to, "SURRENDER {host} {}", text(id)),
        Action::CancelAttempt { id, attempt } => {
            writeln!(to, "DROP_ATTEMPT {host} {} {attempt}", text(id))
        }
        Action::SetTimer { after, tag } => writeln!(to, "WAKE_AT {host} {} {}", ms(*after), tag.0),
        Action::HealthCheck { node } => writeln!(to, "SAMPLE {host} {}", node.0),
        Action::CloseIdleConnections { node } => writeln!(to, "RELEASE {host} {}", node.0),
        Action::SendToPeer { to: peer, bytes } => {
            let dest = peer.map_or(-1, |p| i64::from(p.0));
            writeln!(to, "BROADCAST_TO {host} {dest} {}", STANDARD.encode(bytes))
        }
        Action::Log { event } => writeln!(to, "JOURNAL_LINE {host} {event}"),
        Action::WatchEndpoints { on } => writeln!(to, "SUBSCRIBE {host} {}", u8::from(*on)),
        Action::FetchEndpoints => writeln!(to, "LIST_ALL {host}"),
    };
}
