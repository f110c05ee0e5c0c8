//! Determines from the frames of the state service alone which limit of a volume was in force at
//! which time.
//!
//! The content of a version is assembled from the revisions and snapshots that hosts received. A
//! version is stable from the first update that declares it stable. The limit of the stable version
//! is in force. The module also checks each declaration: no host that may have followed an older
//! version, by its last acknowledgement and the last update to it, may thereby have been entitled to
//! more than the stable version grants it.
//!
//! After a store was restored from a snapshot, hosts may follow either of two histories. Until the
//! newest version of the new history is stable, the larger of both limits is in force.
//! Declarations of stable versions are not checked after a restore.

use crate::{Verdict, Violation};
use grebecleat_settings::Settings;
use grebecleat_wire::pb::{self, change, frame::Body, record::Kind, Record};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

/// The limit of one volume over all hosts.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limit {
    /// Units a second.
    pub rate: f64,
    /// Units that may be sent at once.
    pub burst: f64,
    /// Units by which the limit may be exceeded.
    pub slack: f64,
}

impl Limit {
    /// Returns a limit that permits whatever either limit permits; `None` means no
    /// limit.
    fn combined(a: Option<Limit>, b: Option<Limit>) -> Option<Limit> {
        let (a, b) = (a?, b?);
        Some(Limit {
            rate: a.rate.max(b.rate),
            burst: a.burst.max(b.burst),
            slack: a.slack + b.slack,
        })
    }
}

/// An update from the state service to a host. Violations print it: its names are output.
#[derive(Debug)]
struct Told {
    at: Duration,
    host: String,
    epoch: u64,
    version: u64,
    stable: u64,
}

/// The state of a host, as the host reported it to the state service.
#[derive(Debug)]
struct HostReport {
    at: Duration,
    host: String,
    epoch: u64,
    acknowledged: u64,
}

/// The values of a setting, by the version that set each; `None` if the version removed it.
type ByVersion<T> = BTreeMap<u64, Option<T>>;

/// The plans and volumes in the revisions of one epoch.
#[derive(Debug, Default)]
struct History {
    plans: BTreeMap<String, ByVersion<pb::PlanConfig>>,
    volumes: BTreeMap<u64, ByVersion<pb::VolumeConfig>>,
    /// Volumes and plans that each version changes.
    versions: BTreeMap<u64, (BTreeSet<u64>, BTreeSet<String>)>,
}

impl History {
    fn add(&mut self, version: u64, changed: &pb::Change) {
        use change::{Subject, To};
        match (&changed.subject, &changed.to) {
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

/// All updates and reports of one run that concern plans.
#[derive(Debug, Default)]
pub struct Plans {
    /// History of each epoch.
    histories: HashMap<u64, History>,
    /// Epochs in the order of their first updates.
    epochs: Vec<u64>,
    /// Updates by time.
    updates: Vec<Told>,
    /// Reports of hosts by time.
    reports: Vec<HostReport>,
    /// Hosts that an operator declared gone, with the time of the declaration.
    hosts_gone: Vec<(Duration, String)>,
}

impl Plans {
    /// Reads the trace of a state service's process.
    pub fn read(&mut self, records: &[Record]) {
        let mut peers: HashMap<u64, String> = HashMap::new();
        for record in records {
            let at = Duration::from_nanos(record.at_ns);
            let host = || peers.get(&record.conn).cloned().unwrap_or_default();
            match (
                record.kind(),
                record.frame.as_ref().and_then(|frame| frame.body.as_ref()),
            ) {
                (Kind::Opened, _) => drop(peers.insert(record.conn, record.peer.clone())),
                (Kind::In, Some(Body::FollowRequest(request))) => {
                    self.reports.push(HostReport {
                        at,
                        host: host(),
                        epoch: request.epoch,
                        acknowledged: request.acknowledged,
                    });
                }
                (Kind::In, Some(Body::Acknowledge(acknowledgement))) => {
                    self.reports.push(HostReport {
                        at,
                        host: host(),
                        epoch: acknowledgement.epoch,
                        acknowledged: acknowledgement.applied,
                    });
                }
                (Kind::In, Some(Body::HostGone(message))) => {
                    self.hosts_gone.push((at, message.host.clone()))
                }
                (Kind::Out, Some(Body::ConfigUpdate(update))) => {
                    self.add_update(at, host(), update)
                }
                _ => {}
            }
        }
        self.updates.sort_by_key(|t| t.at);
        self.reports.sort_by_key(|s| s.at);
    }

    fn add_update(&mut self, at: Duration, host: String, update: &pb::ConfigUpdate) {
        if !self.epochs.contains(&update.epoch) {
            self.epochs.push(update.epoch);
        }
        let history = self.histories.entry(update.epoch).or_default();
        update
            .state
            .iter()
            .for_each(|change| history.add(update.at, change));
        for revision in &update.revisions {
            revision
                .changes
                .iter()
                .for_each(|change| history.add(revision.version, change));
        }
        let (epoch, version, stable) = (update.epoch, update.version, update.stable);
        self.updates.push(Told {
            at,
            host,
            epoch,
            version,
            stable,
        });
    }

    /// Returns whether no host received an update.
    pub fn is_empty(&self) -> bool {
        self.updates.is_empty()
    }

    /// Returns a value at a version, from the history of its epoch or, if that has none, from the
    /// newest earlier epoch that has one.
    fn value_at<T: Clone>(
        &self,
        epoch: u64,
        version: u64,
        of: impl Fn(&History) -> Option<&ByVersion<T>>,
    ) -> Option<T> {
        let position = self.epochs.iter().position(|e| *e == epoch).unwrap_or(0);
        let epochs = self.epochs[..(position + 1).min(self.epochs.len())]
            .iter()
            .rev();
        let mut found =
            epochs.filter_map(|e| of(self.histories.get(e)?)?.range(..=version).next_back());
        found.next().and_then(|f| f.1.clone())
    }

    /// Returns the plan and configuration of a volume at a version.
    fn plan_and_volume(
        &self,
        epoch: u64,
        version: u64,
        volume: u64,
    ) -> Option<(pb::PlanConfig, pb::VolumeConfig)> {
        let v = self.value_at(epoch, version, |h| h.volumes.get(&volume))?;
        let p = self.value_at(epoch, version, |h| h.plans.get(&v.plan))?;
        Some((p, v))
    }

    /// Returns the limit of a volume at a version, or `None` if it has none.
    fn limit(&self, epoch: u64, version: u64, volume: u64) -> Option<Limit> {
        let (p, _) = self.plan_and_volume(epoch, version, volume)?;
        (p.limit > 0.0).then_some(Limit {
            rate: p.limit,
            burst: p.burst,
            slack: p.slack,
        })
    }

    /// Returns the limits of a volume, with the time from which each was in force; `None` means no
    /// limit. `initial`: the limit before the first update.
    pub fn limits_in_force(
        &self,
        volume: u64,
        initial: Option<Limit>,
    ) -> Vec<(Duration, Option<Limit>)> {
        let mut limits = vec![(Duration::ZERO, initial)];
        let (mut epoch, mut stable, mut old) = (None, 0, None);
        for update in &self.updates {
            if epoch.is_some_and(|e| e != update.epoch)
                && update.epoch != epoch.unwrap_or(update.epoch)
            {
                old = Some(limits.last().expect("the first").1);
                stable = 0;
            }
            if update.stable < stable {
                continue;
            }
            (epoch, stable) = (Some(update.epoch), update.stable);
            let now = self.limit(update.epoch, update.stable, volume);
            old.take_if(|_| update.stable == update.version);
            let now = old.map_or(now, |old| Limit::combined(old, now));
            if limits.last().is_none_or(|last| last.1 != now) {
                limits.push((update.at, now));
            }
        }
        limits
    }

    /// Returns all volumes in the updates.
    pub fn volumes(&self) -> BTreeSet<u64> {
        self.histories
            .values()
            .flat_map(|h| h.volumes.keys().copied())
            .collect()
    }

    /// Checks whether each version was stable when an update first declared it stable.
    pub fn check_stable(&self, settings: &Settings, verdict: &mut Verdict) {
        let Some(spec) = &settings.state else { return };
        let first = self.epochs.first().copied().unwrap_or_default();
        let mut stable = 0;
        // After a restore the frames do not show which history a host follows.
        for update in self
            .updates
            .iter()
            .take_while(|update| update.epoch == first)
        {
            if update.stable <= stable {
                continue;
            }
            for host in settings.hosts.iter().map(|host| host.name.as_str()) {
                if let Some(why) = self.objection(spec.lease + spec.margin, update, host) {
                    let what = format!(
                        "entry {} was called settled while {host} {why}",
                        update.stable
                    );
                    verdict.violations.push(Violation {
                        rule: 7,
                        what,
                        frames: vec![format!("{update:?}")],
                    });
                }
            }
            stable = update.stable;
        }
    }

    /// Returns why an update should not have declared its version stable, as far as one host is
    /// concerned, or `None` if the declaration was right.
    fn objection(&self, lease: Duration, update: &Told, host: &str) -> Option<String> {
        let earlier = self
            .updates
            .iter()
            .take_while(|o| o.at <= update.at)
            .filter(|o| o.host == host && o.at < update.at);
        let last = earlier.last()?;
        let mut own_reports = self
            .reports
            .iter()
            .filter(|s| s.host == host && s.at <= update.at);
        let acknowledged = own_reports
            .clone()
            .filter(|s| s.epoch == update.epoch)
            .map(|s| s.acknowledged)
            .max()
            .unwrap_or(0);
        let last_report = own_reports.next_back().map(|s| s.at).unwrap_or_default();
        if acknowledged >= update.stable
            || self.hosts_gone.iter().any(|declared| {
                declared.1 == host && declared.0 <= update.at && declared.0 > last_report
            })
        {
            return None;
        }
        if update.at < last.at + lease {
            return Some(format!(
                "had said no more than {acknowledged} and may still follow that"
            ));
        }
        // A host whose lease has expired still serves its share of the reservation, by the version
        // that it acknowledged.
        let reserved_share = |version: u64, volume: u64| -> f64 {
            match self.plan_and_volume(update.epoch, version, volume) {
                Some((p, v)) if p.limit > 0.0 && v.hosts.iter().any(|h| h == host) => {
                    p.reservation / v.hosts.len() as f64
                }
                Some((p, _)) if p.limit > 0.0 => 0.0,
                _ => f64::INFINITY,
            }
        };
        let limit_share = |volume: u64| -> f64 {
            match self.plan_and_volume(update.epoch, update.stable, volume) {
                Some((p, v)) if p.limit > 0.0 && v.hosts.iter().any(|h| h == host) => {
                    p.limit / v.hosts.len() as f64
                }
                Some((p, _)) if p.limit > 0.0 => 0.0,
                _ => f64::INFINITY,
            }
        };
        let serves = |volume: &u64| {
            let (_, v) = self.plan_and_volume(update.epoch, acknowledged, *volume)?;
            v.hosts.iter().any(|h| h == host).then_some(())
        };
        let exceeding = self.volumes().into_iter().filter(|v| serves(v).is_some());
        let mut exceeding =
            exceeding.filter(|v| reserved_share(acknowledged, *v) > limit_share(*v) + 1e-9);
        exceeding.next().map(|v| {
            format!("is cut off with entry {acknowledged}, and more of volume {v} than is its part")
        })
    }

    /// Returns each version that became stable, with the time from its first update until then.
    pub fn stabilization_times(&self) -> Vec<(u64, Duration)> {
        let mut first: BTreeMap<(u64, u64), Duration> = BTreeMap::new();
        let mut stabilization_times = BTreeMap::new();
        let mut newest = 0;
        for update in &self.updates {
            if update.version > newest {
                (newest + 1..=update.version)
                    .for_each(|v| _ = first.entry((update.epoch, v)).or_insert(update.at));
                newest = update.version;
            }
            let open: Vec<(u64, u64)> = first
                .range((update.epoch, 0)..=(update.epoch, update.stable))
                .map(|f| *f.0)
                .collect();
            for key in open {
                let at = first.remove(&key).expect("listed above");
                stabilization_times.entry(key.1).or_insert(update.at - at);
            }
        }
        stabilization_times.into_iter().collect()
    }
}
