//! Changes in words, as operators type them and read them.
//!
//! One change is one line: what it is of, then what is to be so:
//!
//! ```text
//! plan basic limit=20 burst=40 slack=5      figures that are not named stay
//! plan basic drop
//! volume 103 plan=priority hosts=h1,h2      a volume that is not there needs plan, hosts, shards and blocks
//! volume 103 retire
//! node 5 name=box5.example.org zone=room-a shard=5 capacity=120
//! node 5 drop
//! drain box5.example.org within=10m         nothing new there, until it is empty
//! drain 5 queued                            the same, as soon as nothing speaks against it
//! drain 5 out                               it is taken out
//! undrain 5                                 it is returned, or its drain called off
//! target iqn.2026-12.org.example:x volumes=1,2
//! target iqn.2026-12.org.example:x drop
//! timed 4 off                               calls off what was to land later
//! ```

use grebecleat_plans::changes::{Catalog, Change, Drain, Name, Node, Plan, Stage, Subject, Volume};
use std::fmt::Display;
use std::str::FromStr;
use std::time::{Duration, SystemTime};

/// What is wrong with a line, and where.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SyntaxError {
    pub line: String,
    pub what: String,
}

impl Display for SyntaxError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{:?}: {}", self.line, self.what)
    }
}

impl std::error::Error for SyntaxError {}

/// Fields of a line that nobody has read yet.
struct Fields<'a> {
    left: Vec<(&'a str, &'a str)>,
}

impl<'a> Fields<'a> {
    fn of(words: &[&'a str]) -> Result<Self, String> {
        let field = |w: &&'a str| {
            w.split_once('=')
                .ok_or(format!("expected name=value, found {w}"))
        };
        Ok(Fields {
            left: words.iter().map(field).collect::<Result<_, _>>()?,
        })
    }

    fn text(&mut self, name: &str) -> Option<&'a str> {
        let at = self.left.iter().position(|f| f.0 == name)?;
        Some(self.left.remove(at).1)
    }

    /// A value in place of what is there.
    fn set<T: FromStr>(&mut self, name: &str, to: &mut T) -> Result<(), String> {
        if let Some(text) = self.text(name) {
            *to = read(name, text)?;
        }
        Ok(())
    }

    fn list<T: FromStr>(&mut self, name: &str, to: &mut std::sync::Arc<[T]>) -> Result<(), String> {
        if let Some(text) = self.text(name) {
            let all = text
                .split(',')
                .filter(|t| !t.is_empty())
                .map(|t| read(name, t));
            *to = all.collect::<Result<Vec<T>, String>>()?.into();
        }
        Ok(())
    }

    fn end(self, known: &str) -> Result<(), String> {
        match self.left.first() {
            Some((name, _)) => Err(format!(
                "{name} is not known here; expected some of {known}"
            )),
            None => Ok(()),
        }
    }
}

fn read<T: FromStr>(name: &str, text: &str) -> Result<T, String> {
    text.parse()
        .map_err(|_| format!("{name}: {text} makes no sense there"))
}

/// Names of hosts, one after the other.
fn names(f: &mut Fields, name: &str, to: &mut std::sync::Arc<[Name]>) {
    if let Some(text) = f.text(name) {
        *to = text
            .split(',')
            .filter(|t| !t.is_empty())
            .map(Name::from)
            .collect();
    }
}

/// A node by its name or number; one that is not there by its number alone, for whoever refuses that.
fn node(catalog: &Catalog, name: &str) -> Result<u32, String> {
    let known = catalog.node_called(name).or_else(|| name.parse().ok());
    known.ok_or_else(|| format!("there is no node called {name}"))
}

/// The change that a line means, beside what the catalog says now.
///
/// ```
/// use grebecleat_plans::changes::{Change, Catalog, Plan};
/// use grebecleat_state::change_syntax::change;
/// let l = Catalog::default();
/// let to = Plan { rate: 12.0, weight: 3.0, price: 1.0, ..Plan::default() };
/// let plan = Change::Plan { name: "basic".into(), to: Some(to) };
/// assert_eq!(change(&l, "plan basic rate=12 weight=3"), Ok(plan));
/// let told = change(&l, "plan basic rat=12").unwrap_err().to_string();
/// assert_eq!(told, "\"plan basic rat=12\": rat is not known here; expected some of rate, reservation, limit, \
///                   burst, slack, weight, price");
/// ```
pub fn change(catalog: &Catalog, line: &str) -> Result<Change, SyntaxError> {
    let words: Vec<&str> = line.split_whitespace().collect();
    of(catalog, &words).map_err(|what| SyntaxError {
        line: line.into(),
        what,
    })
}

fn of(catalog: &Catalog, words: &[&str]) -> Result<Change, String> {
    let [kind, name, rest @ ..] = words else {
        return Err(
            "expected what it is of and its name, such as: volume 103 plan=priority".into(),
        );
    };
    match (*kind, rest) {
        ("plan", ["drop"]) => Ok(Change::Plan {
            name: Name::from(*name),
            to: None,
        }),
        ("plan", rest) => {
            let new = || Plan {
                weight: 1.0,
                price: 1.0,
                ..Plan::default()
            };
            let mut p = catalog.plan(name).cloned().unwrap_or_else(new);
            let mut f = Fields::of(rest)?;
            f.set("rate", &mut p.rate)?;
            f.set("reservation", &mut p.reservation)?;
            f.set("limit", &mut p.limit)?;
            f.set("burst", &mut p.burst)?;
            f.set("slack", &mut p.slack)?;
            f.set("weight", &mut p.weight)?;
            f.set("price", &mut p.price)?;
            f.end("rate, reservation, limit, burst, slack, weight, price")?;
            Ok(Change::Plan {
                name: Name::from(*name),
                to: Some(p),
            })
        }
        ("volume", ["retire"]) => Ok(Change::Volume {
            id: read("volume", name)?,
            to: None,
        }),
        ("volume", rest) => {
            let id = read("volume", name)?;
            let new = || Volume {
                plan: "".into(),
                hosts: [].into(),
                shards: [].into(),
                blocks: 0,
            };
            let (known, mut f) = (catalog.volume(id), Fields::of(rest)?);
            let mut v = known.cloned().unwrap_or_else(new);
            v.plan = f.text("plan").map_or(v.plan, Name::from);
            names(&mut f, "hosts", &mut v.hosts);
            f.list("cells", &mut v.shards)?;
            f.set("blocks", &mut v.blocks)?;
            f.end("plan, hosts, cells, blocks")?;
            if known.is_none()
                && (v.plan.is_empty() || v.hosts.is_empty() || v.shards.is_empty() || v.blocks == 0)
            {
                return Err("a new volume needs plan, hosts, cells and blocks".into());
            }
            Ok(Change::Volume { id, to: Some(v) })
        }
        ("node", ["drop"]) => Ok(Change::Node {
            id: read("node", name)?,
            to: None,
        }),
        ("node", rest) => {
            let id = read("node", name)?;
            let mut f = Fields::of(rest)?;
            let new = || Node {
                shard: id,
                ..Node::default()
            };
            let mut n = catalog.node(id).cloned().unwrap_or_else(new);
            n.name = f.text("name").map_or(n.name, Name::from);
            n.zone = f.text("zone").map_or(n.zone, Name::from);
            f.set("cell", &mut n.shard)?;
            f.set("capacity", &mut n.capacity)?;
            f.end("name, zone, cell, capacity")?;
            if n.zone.is_empty() {
                return Err("a new node needs its zone".into());
            }
            Ok(Change::Node { id, to: Some(n) })
        }
        ("drain", rest) => {
            let node = node(catalog, name)?;
            let named = |w: &&str| {
                Stage::NAMES
                    .iter()
                    .find(|(_, n)| n == w)
                    .map(|(stage, _)| *stage)
            };
            let (stage, rest) = match rest
                .split_first()
                .and_then(|(w, rest)| Some((named(w)?, rest)))
            {
                Some(named) => named,
                None => (
                    catalog
                        .drain(node)
                        .map_or(Stage::Draining, |d| d.stage.max(Stage::Draining)),
                    rest,
                ),
            };
            let mut d = Drain {
                stage,
                ..catalog.drain(node).cloned().unwrap_or_default()
            };
            let mut f = Fields::of(rest)?;
            if let Some(text) = f.text("within") {
                let within = humantime::parse_duration(text);
                d.within = within
                    .map_err(|_| format!("within: {text} is no time such as 90s, 5m or 2h"))?;
            }
            f.end("within")?;
            Ok(Change::Drain { node, to: Some(d) })
        }
        ("undrain", []) => Ok(Change::Drain {
            node: node(catalog, name)?,
            to: None,
        }),
        ("target", ["drop"]) => Ok(Change::Target {
            name: Name::from(*name),
            to: None,
        }),
        ("target", rest) => {
            let (mut f, mut volumes) = (Fields::of(rest)?, std::sync::Arc::from([]));
            f.list("volumes", &mut volumes)?;
            f.end("volumes")?;
            Ok(Change::Target {
                name: Name::from(*name),
                to: Some(volumes),
            })
        }
        ("timed", ["off"]) => Ok(Change::Scheduled {
            id: read("timed", name)?,
            to: None,
        }),
        _ => Err(
            "expected plan, volume, node, drain, undrain, target or timed, and what is to be so"
                .into(),
        ),
    }
}

/// A change in the words that would make it.
///
/// ```
/// use grebecleat_plans::changes::Catalog;
/// use grebecleat_state::change_syntax::{change, said};
/// let line = "volume 7 plan=gold hosts=h1,h2 cells=1,2 blocks=64";
/// assert_eq!(said(&change(&Catalog::default(), line).unwrap()), line);
/// ```
pub fn said(c: &Change) -> String {
    let list = |all: &mut dyn Iterator<Item = String>| all.collect::<Vec<_>>().join(",");
    match c {
        Change::Plan { name, to: None } => format!("plan {name} drop"),
        Change::Plan { name, to: Some(p) } => format!(
            "plan {name} rate={} reservation={} limit={} burst={} slack={} weight={} price={}",
            p.rate, p.reservation, p.limit, p.burst, p.slack, p.weight, p.price
        ),
        Change::Volume { id, to: None } => format!("volume {id} retire"),
        Change::Volume { id, to: Some(v) } => format!(
            "volume {id} plan={} hosts={} cells={} blocks={}",
            v.plan,
            list(&mut v.hosts.iter().map(|h| h.to_string())),
            list(&mut v.shards.iter().map(|c| c.to_string())),
            v.blocks
        ),
        Change::Node { id, to: None } => format!("node {id} drop"),
        Change::Node { id, to: Some(n) } => {
            let name = if n.name.is_empty() {
                String::new()
            } else {
                format!("name={} ", n.name)
            };
            format!(
                "node {id} {name}zone={} cell={} capacity={}",
                n.zone, n.shard, n.capacity
            )
        }
        Change::Drain { node, to: None } => format!("undrain {node}"),
        Change::Drain { node, to: Some(d) } => {
            let stage = if d.stage == Stage::Draining {
                ""
            } else {
                d.stage.name()
            };
            let within = humantime::format_duration(d.within)
                .to_string()
                .replace(' ', "");
            let within = if d.within.is_zero() {
                String::new()
            } else {
                format!("within={within}")
            };
            let words = ["drain", &node.to_string(), stage, &within];
            words
                .into_iter()
                .filter(|w| !w.is_empty())
                .collect::<Vec<_>>()
                .join(" ")
        }
        Change::Target { name, to: None } => format!("target {name} drop"),
        Change::Target { name, to: Some(t) } => {
            format!(
                "target {name} volumes={}",
                list(&mut t.iter().map(|v| v.to_string()))
            )
        }
        Change::Scheduled { id, to: None } => format!("timed {id} off"),
        Change::Scheduled { id, to: Some(t) } => {
            let inner: Vec<String> = t.changes.iter().map(said).collect();
            format!(
                "timed {id} at {} of {}: {}",
                date(t.at),
                t.author,
                inner.join("; ")
            )
        }
    }
}

/// What an entry did, each change with what it changed of what was there before.
///
/// ```
/// use grebecleat_plans::changes::Catalog;
/// use grebecleat_state::change_syntax::{change, differences};
/// let of = |line| change(&Catalog::default(), line).unwrap();
/// let told = |now, was| differences(&[of(now)], &[of(was)]);
/// assert_eq!(told("drain 3", "drain 3 queued within=1m"), ["drain 3: no longer queued no longer within=1m"]);
/// assert_eq!(told("drain 3 empty", "drain 3"), ["drain 3: empty (was none)"]);
/// ```
pub fn differences(changes: &[Change], before: &[Change]) -> Vec<String> {
    let was = |s: &Subject| before.iter().find(|c| c.subject() == *s);
    let each = changes.iter().map(
        |c| match was(&c.subject()).filter(|b| !b.ends() && !c.ends()) {
            Some(b) => {
                let (old, new) = (said(b), said(c));
                let (old, new): (Vec<&str>, Vec<&str>) =
                    (old.split(' ').collect(), new.split(' ').collect());
                let key = |w: &str| w.split_once('=').map(|(k, _)| k.to_string());
                let mut fields = Vec::new();
                for n in new[2..].iter().filter(|n| !old[2..].contains(n)) {
                    let was = old[2..]
                        .iter()
                        .find(|o| key(o) == key(n))
                        .copied()
                        .unwrap_or("none");
                    fields.push(format!(
                        "{n} (was {})",
                        was.split_once('=').map_or(was, |x| x.1)
                    ));
                }
                let gone = old[2..]
                    .iter()
                    .filter(|o| !new[2..].iter().any(|n| key(n) == key(o)));
                fields.extend(gone.map(|o| format!("no longer {o}")));
                format!("{} {}: {}", new[0], new[1], fields.join(" "))
            }
            None => said(c),
        },
    );
    each.collect()
}

/// A moment since 1970 as date and time of day, in UTC.
///
/// ```
/// use grebecleat_state::change_syntax::{date, moment};
/// use std::time::Duration;
/// let at = Duration::from_secs(1_796_083_200);
/// assert_eq!(date(at), "2026-12-01T00:00:00Z");
/// assert_eq!(moment("2026-12-01T00:00:00Z", Duration::ZERO), Some(at));
/// assert_eq!(moment("+90s", at), Some(at + Duration::from_secs(90)));
/// assert_eq!(moment("tonight", at), None);
/// ```
pub fn date(at: Duration) -> String {
    // Beyond the year 9999 the crate panics.
    let at = SystemTime::UNIX_EPOCH + at.min(Duration::from_secs(253_402_300_799));
    humantime::format_rfc3339_seconds(at).to_string()
}

/// A moment as [`date`] writes it, or a time from now such as +90s.
pub fn moment(text: &str, now: Duration) -> Option<Duration> {
    match text.strip_prefix('+') {
        Some(after) => Some(now + humantime::parse_duration(after).ok()?),
        None => humantime::parse_rfc3339(text)
            .ok()?
            .duration_since(SystemTime::UNIX_EPOCH)
            .ok(),
    }
}
