//! Plans as they were told: which limit was in force when, from the frames of the state service
//! alone.
//!
//! What a version says is put together from the entries and states that hosts were sent; what was
//! settled, from the first answer that says so. The limit in force is that of the settled version.
//! Whether it was right to call it settled is judged as well: every host that may have followed an
//! older version, by its last words and answers, must not thereby have held itself entitled to more
//! than the settled version gives it.
//!
//! After a store was put back from a snapshot two histories are under way: until the one that
//! counts is settled to its end, the larger of both limits is in force, and nothing is said of what
//! was settled.

use crate::{Verdict, Violation};
use grebecleat_settings::Settings;
use grebecleat_wire::pb::{self, change, frame::Body, record::Kind, Record};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

/// Terms of one volume over all hosts: units a second, units at once, and by how much it may be
/// passed.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limit {
    pub rate: f64,
    pub burst: f64,
    pub slack: f64,
}

impl Limit {
    fn larger(a: Option<Limit>, b: Option<Limit>) -> Option<Limit> {
        let (a, b) = (a?, b?);
        Some(Limit {
            rate: a.rate.max(b.rate),
            burst: a.burst.max(b.burst),
            slack: a.slack + b.slack,
        })
    }
}

/// An answer to a host.
#[derive(Debug)]
struct Told {
    at: Duration,
    host: String,
    epoch: u64,
    version: u64,
    stable: u64,
}

/// What a host said of itself.
#[derive(Debug)]
struct Said {
    at: Duration,
    host: String,
    epoch: u64,
    acknowledged: u64,
}

/// A value that changes with the version.
type ByVersion<T> = BTreeMap<u64, Option<T>>;

/// What the entries of one history say.
#[derive(Debug, Default)]
struct History {
    plans: BTreeMap<String, ByVersion<pb::PlanConfig>>,
    volumes: BTreeMap<u64, ByVersion<pb::VolumeConfig>>,
    /// Volumes that a version touches, itself or by their plan's figures.
    versions: BTreeMap<u64, (BTreeSet<u64>, BTreeSet<String>)>,
}

impl History {
    fn add(&mut self, version: u64, c: &pb::Change) {
        use change::{Subject, To};
        match (&c.subject, &c.to) {
            (Some(Subject::Plan(name)), to) => {
                let to = if let Some(To::PlanTo(p)) = to {
                    Some(*p)
                } else {
                    None
                };
                self.plans
                    .entry(name.clone())
                    .or_default()
                    .insert(version, to);
                self.versions
                    .entry(version)
                    .or_default()
                    .1
                    .insert(name.clone());
            }
            (Some(Subject::Volume(id)), to) => {
                let to = if let Some(To::VolumeTo(v)) = to {
                    Some(v.clone())
                } else {
                    None
                };
                self.volumes.entry(*id).or_default().insert(version, to);
                self.versions.entry(version).or_default().0.insert(*id);
            }
            _ => {}
        }
    }
}

/// All that was told of plans in a run.
#[derive(Debug, Default)]
pub struct Plans {
    histories: HashMap<u64, History>,
    /// In the order in which they were first told.
    epochs: Vec<u64>,
    told: Vec<Told>,
    said: Vec<Said>,
    gone: Vec<(Duration, String)>,
}

impl Plans {
    /// Reads the trace of a state service's process.
    pub fn read(&mut self, records: &[Record]) {
        let mut peers: HashMap<u64, String> = HashMap::new();
        for r in records {
            let at = Duration::from_nanos(r.at_ns);
            let host = || peers.get(&r.conn).cloned().unwrap_or_default();
            match (r.kind(), r.frame.as_ref().and_then(|f| f.body.as_ref())) {
                (Kind::Opened, _) => drop(peers.insert(r.conn, r.peer.clone())),
                (Kind::In, Some(Body::FollowRequest(f))) => {
                    self.said.push(Said {
                        at,
                        host: host(),
                        epoch: f.epoch,
                        acknowledged: f.acknowledged,
                    });
                }
                (Kind::In, Some(Body::Acknowledge(c))) => {
                    self.said.push(Said {
                        at,
                        host: host(),
                        epoch: c.epoch,
                        acknowledged: c.applied,
                    });
                }
                (Kind::In, Some(Body::HostGone(g))) => self.gone.push((at, g.host.clone())),
                (Kind::Out, Some(Body::ConfigUpdate(f))) => self.feed(at, host(), f),
                _ => {}
            }
        }
        self.told.sort_by_key(|t| t.at);
        self.said.sort_by_key(|s| s.at);
    }

    fn feed(&mut self, at: Duration, host: String, f: &pb::ConfigUpdate) {
        if !self.epochs.contains(&f.epoch) {
            self.epochs.push(f.epoch);
        }
        let history = self.histories.entry(f.epoch).or_default();
        f.state.iter().for_each(|c| history.add(f.at, c));
        for e in &f.revisions {
            e.changes.iter().for_each(|c| history.add(e.version, c));
        }
        let (epoch, version, stable) = (f.epoch, f.version, f.stable);
        self.told.push(Told {
            at,
            host,
            epoch,
            version,
            stable,
        });
    }

    pub fn is_empty(&self) -> bool {
        self.told.is_empty()
    }

    /// What a version says of something: by the history it belongs to, or the one that it came out
    /// of.
    fn look<T: Clone>(
        &self,
        epoch: u64,
        version: u64,
        of: impl Fn(&History) -> Option<&ByVersion<T>>,
    ) -> Option<T> {
        let upto = self.epochs.iter().position(|e| *e == epoch).unwrap_or(0);
        let epochs = self.epochs[..(upto + 1).min(self.epochs.len())]
            .iter()
            .rev();
        let mut found =
            epochs.filter_map(|e| of(self.histories.get(e)?)?.range(..=version).next_back());
        found.next().and_then(|f| f.1.clone())
    }

    /// Plan's figures and hosts of a volume at a version.
    fn terms(
        &self,
        epoch: u64,
        version: u64,
        volume: u64,
    ) -> Option<(pb::PlanConfig, pb::VolumeConfig)> {
        let v = self.look(epoch, version, |h| h.volumes.get(&volume))?;
        let p = self.look(epoch, version, |h| h.plans.get(&v.plan))?;
        Some((p, v))
    }

    fn limit(&self, epoch: u64, version: u64, volume: u64) -> Option<Limit> {
        let (p, _) = self.terms(epoch, version, volume)?;
        (p.limit > 0.0).then_some(Limit {
            rate: p.limit,
            burst: p.burst,
            slack: p.slack,
        })
    }

    /// When which limit of a volume came into force; None: none.
    pub fn in_force(&self, volume: u64, at_first: Option<Limit>) -> Vec<(Duration, Option<Limit>)> {
        let mut all = vec![(Duration::ZERO, at_first)];
        let (mut epoch, mut stable, mut old) = (None, 0, None);
        for t in &self.told {
            if epoch.is_some_and(|e| e != t.epoch) && t.epoch != epoch.unwrap_or(t.epoch) {
                old = Some(all.last().expect("the first").1);
                stable = 0;
            }
            if t.stable < stable {
                continue;
            }
            (epoch, stable) = (Some(t.epoch), t.stable);
            let now = self.limit(t.epoch, t.stable, volume);
            old.take_if(|_| t.stable == t.version);
            let now = old.map_or(now, |old| Limit::larger(old, now));
            if all.last().is_none_or(|l| l.1 != now) {
                all.push((t.at, now));
            }
        }
        all
    }

    /// Volumes that were ever told of.
    pub fn volumes(&self) -> BTreeSet<u64> {
        self.histories
            .values()
            .flat_map(|h| h.volumes.keys().copied())
            .collect()
    }

    /// Whether each version was settled when it was first called so.
    pub fn check_stable(&self, s: &Settings, v: &mut Verdict) {
        let Some(spec) = &s.state else { return };
        let first = self.epochs.first().copied().unwrap_or_default();
        let mut stable = 0;
        // After a restore the histories of hosts cannot be told from the outside: see above.
        for t in self.told.iter().take_while(|t| t.epoch == first) {
            if t.stable <= stable {
                continue;
            }
            for host in s.hosts.iter().map(|h| h.name.as_str()) {
                if let Some(why) = self.unsettled(spec.lease + spec.margin, t, host) {
                    let what = format!("entry {} was called settled while {host} {why}", t.stable);
                    v.violations.push(Violation {
                        rule: 7,
                        what,
                        frames: vec![format!("{t:?}")],
                    });
                }
            }
            stable = t.stable;
        }
    }

    fn unsettled(&self, lease: Duration, t: &Told, host: &str) -> Option<String> {
        let before = self
            .told
            .iter()
            .take_while(|o| o.at <= t.at)
            .filter(|o| o.host == host && o.at < t.at);
        let last = before.last()?;
        let mut own = self.said.iter().filter(|s| s.host == host && s.at <= t.at);
        let acknowledged = own
            .clone()
            .filter(|s| s.epoch == t.epoch)
            .map(|s| s.acknowledged)
            .max()
            .unwrap_or(0);
        let heard = own.next_back().map(|s| s.at).unwrap_or_default();
        if acknowledged >= t.stable
            || self
                .gone
                .iter()
                .any(|g| g.1 == host && g.0 <= t.at && g.0 > heard)
        {
            return None;
        }
        if t.at < last.at + lease {
            return Some(format!(
                "had said no more than {acknowledged} and may still follow that"
            ));
        }
        // Cut off, it holds to its part of the reservation as it knows it.
        let floor = |version: u64, volume: u64| -> f64 {
            match self.terms(t.epoch, version, volume) {
                Some((p, v)) if p.limit > 0.0 && v.hosts.iter().any(|h| h == host) => {
                    p.reservation / v.hosts.len() as f64
                }
                Some((p, _)) if p.limit > 0.0 => 0.0,
                _ => f64::INFINITY,
            }
        };
        let part = |volume: u64| -> f64 {
            match self.terms(t.epoch, t.stable, volume) {
                Some((p, v)) if p.limit > 0.0 && v.hosts.iter().any(|h| h == host) => {
                    p.limit / v.hosts.len() as f64
                }
                Some((p, _)) if p.limit > 0.0 => 0.0,
                _ => f64::INFINITY,
            }
        };
        let knows = |volume: &u64| {
            let (_, v) = self.terms(t.epoch, acknowledged, *volume)?;
            v.hosts.iter().any(|h| h == host).then_some(())
        };
        let more = self.volumes().into_iter().filter(|v| knows(v).is_some());
        let mut more = more.filter(|v| floor(acknowledged, *v) > part(*v) + 1e-9);
        more.next().map(|v| {
            format!("is cut off with entry {acknowledged}, and more of volume {v} than is its part")
        })
    }

    /// How long each entry took from when it was first told to when it was called settled.
    pub fn took(&self) -> Vec<(u64, Duration)> {
        let mut first: BTreeMap<(u64, u64), Duration> = BTreeMap::new();
        let mut took = BTreeMap::new();
        let mut newest = 0;
        for t in &self.told {
            if t.version > newest {
                (newest + 1..=t.version)
                    .for_each(|v| _ = first.entry((t.epoch, v)).or_insert(t.at));
                newest = t.version;
            }
            let open: Vec<(u64, u64)> = first
                .range((t.epoch, 0)..=(t.epoch, t.stable))
                .map(|f| *f.0)
                .collect();
            for key in open {
                let at = first.remove(&key).expect("listed above");
                took.entry(key.1).or_insert(t.at - at);
            }
        }
        took.into_iter().collect()
    }
}
