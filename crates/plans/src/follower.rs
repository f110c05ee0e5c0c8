//! A host's side of the feed: what it asks for, what it keeps, and what its decisions are told of each
//! volume.
//!
//! Called as `step(now, events)` for every batch of what happened on the way to the state service and to the
//! disk, which answers what to ask, keep, and tell; [`Follower::wake_at`] says when it must be called again.
//! Wanted at any time: an open question to the service, everything that came on the disk, a word to the
//! service once nothing of an older version can cross any more, and the decisions on the terms that follow
//! from all versions that must be reckoned with ([`crate::feed::quota`]). `bring` diffs these against what is
//! so.
//!
//! - What comes is followed at once and kept beside; only once it is kept, and what was decided before has
//!   crossed or never will, does the host say that it has it. A host that dies in between has less than it
//!   followed, which is what the service believes.
//! - A host that starts has no lease: until the first answer it sends of limited volumes what no change can
//!   have taken from it, by what it kept. One that kept nothing knows of no volume.
//!
//! Without input or output. Memory: the catalog of volumes that work through this host, the last terms of
//! each, and at most [`MOST_OPEN`] entries that are not settled.

use crate::changes::{Catalog, Change, Deployment, Name, Plan, Revision, Subject, Version, Volume};
use crate::feed::{quota, FollowerLease, LimitTerms, Quota};
use crate::leader::{CallId, Epoch};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Entries that must still be reckoned with; with more the host follows nothing new until some are settled.
pub const MAX_OPEN: usize = 1 << 16;
/// How long the first answer may take; later ones may take as long as the last lease, which the service holds
/// them back by a third of at most. Guards against an answer that got lost on a way that still stands.
const FIRST: Duration = Duration::from_secs(1);
/// What could not be kept is tried again after this.
const AGAIN: Duration = Duration::from_secs(1);

/// What came from the service.
#[derive(Debug, Clone, PartialEq)]
pub enum Update {
    /// What follows what this host has.
    Entries(Vec<Revision>),
    /// Everything as it was at a settled version, and what followed.
    Whole {
        at: Version,
        state: Vec<Change>,
        revisions: Vec<Revision>,
    },
}

#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// There is a way to the service, or none any more.
    Up,
    Down,
    Granted {
        call: CallId,
        epoch: Epoch,
        version: Version,
        stable: Version,
        lease: Duration,
        came: Update,
    },
    /// The service knows less than this host.
    Behind {
        call: CallId,
    },
    PollRejected {
        call: CallId,
        reason: String,
    },
    Persisted {
        number: u64,
    },
    PersistFailed {
        reason: String,
    },
}

/// What is to be on the disk, together or not at all.
#[derive(Debug, Clone, PartialEq)]
pub struct PersistRequest {
    pub number: u64,
    pub epoch: Epoch,
    pub stable: Version,
    /// Entries to add, with what puts them back.
    pub revisions: Vec<Revision>,
    /// In place of all that was kept, where steps are missing.
    pub snapshot: bool,
}

/// On what terms this host serves a volume.
#[derive(Debug, Clone, PartialEq)]
pub struct Terms {
    pub plan: Name,
    pub hosts: usize,
    /// It works through this host.
    pub mine: bool,
    /// This host's part of the limit; None: there is none.
    pub quota: Option<Quota>,
}

#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// `acknowledged`: as in [`Action::Acknowledge`].
    Poll {
        call: CallId,
        epoch: Epoch,
        applied: Version,
        stable: Version,
        acknowledged: Version,
    },
    /// Nothing of an older version crosses from here any more.
    Acknowledge {
        epoch: Epoch,
        applied: Version,
    },
    Persist(PersistRequest),
    /// A plan's figures; its limit is in the terms of each volume.
    Plan {
        name: Name,
        plan: Plan,
    },
    /// None: the volume is no more, or not here.
    Volume {
        id: u64,
        terms: Option<Terms>,
    },
    Note {
        text: String,
    },
}

/// What the host was when it last was.
#[derive(Debug, Clone, Default)]
pub struct InitialState {
    pub catalog: Catalog,
    pub stable: Version,
    pub epoch: Epoch,
}

#[derive(Debug)]
pub struct Follower {
    me: Name,
    max_dispatch_delay: Duration,
    catalog: Catalog,
    follower_lease: FollowerLease,
    epoch: Epoch,
    now: Duration,
    up: bool,
    asked: Option<(CallId, Duration)>,
    lease: Duration,
    /// The last keep: its number, and the version that it brings.
    keeping: Option<(u64, Version)>,
    persisted: Version,
    /// What came since the last keep.
    unkept: Vec<Revision>,
    snapshot: bool,
    stable_persisted: Version,
    /// Versions with when they were followed, oldest first, of which the service has not been told.
    followed: Vec<(Version, Duration)>,
    /// Of which nothing older can cross any more, and up to where the service was told so.
    acknowledged: Version,
    confirmed: Version,
    leased: bool,
    not_before: Duration,
    /// Plans whose figures the decisions have not been told.
    plans: BTreeSet<Name>,
    told: BTreeMap<u64, Terms>,
    dirty: BTreeSet<u64>,
    next: u64,
    out: Vec<Action>,
}

impl Follower {
    /// `max_dispatch_delay`: how long what was decided may take to cross.
    pub fn new(me: Name, start: InitialState, max_dispatch_delay: Duration) -> Self {
        let InitialState {
            catalog,
            stable,
            epoch,
        } = start;
        let applied = catalog.version();
        let plans = catalog.plans().map(|(name, _)| name.clone()).collect();
        let dirty = catalog.volumes().map(|(id, _)| id).collect();
        Follower {
            me,
            max_dispatch_delay,
            follower_lease: FollowerLease::persisted(applied, stable),
            catalog,
            epoch,
            now: Duration::ZERO,
            up: false,
            asked: None,
            lease: FIRST,
            keeping: None,
            persisted: applied,
            unkept: Vec::new(),
            snapshot: false,
            stable_persisted: stable,
            followed: vec![(applied, Duration::ZERO)],
            acknowledged: Version(0),
            confirmed: Version(0),
            leased: false,
            not_before: Duration::ZERO,
            plans,
            told: BTreeMap::new(),
            dirty,
            next: 0,
            out: Vec::new(),
        }
    }

    /// A catalog for a host's own part of the state.
    pub fn catalog_of(facts: Deployment) -> Catalog {
        Catalog::new(facts, MAX_OPEN)
    }

    pub fn catalog(&self) -> &Catalog {
        &self.catalog
    }

    pub fn follower_lease(&self) -> &FollowerLease {
        &self.follower_lease
    }

    /// Whether it has ever followed anything: until then nobody can say that a volume does not exist.
    pub fn knows(&self) -> bool {
        self.catalog.version() > Version(0)
    }

    pub fn leased(&self) -> bool {
        self.leased
    }

    /// In which history it stands.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    pub fn step(&mut self, now: Duration, events: Vec<Event>) -> Vec<Action> {
        self.now = now.max(self.now);
        events.into_iter().for_each(|e| self.hear(e));
        let leased = self.follower_lease.leased(self.now);
        if leased != std::mem::replace(&mut self.leased, leased) {
            // Only limits depend on it.
            self.dirty.extend(
                self.told
                    .iter()
                    .filter(|(_, t)| t.quota.is_some())
                    .map(|(id, _)| *id),
            );
            if !leased {
                self.note(
                    "the lease on plans has run out: limited volumes keep to their reservations"
                        .into(),
                );
            }
        }
        self.bring();
        std::mem::take(&mut self.out)
    }

    /// When `step` must be called again if nothing happens before.
    pub fn wake_at(&self) -> Option<Duration> {
        let lease = self.leased.then(|| self.follower_lease.until());
        let confirm = self
            .followed
            .iter()
            .filter(|f| f.0 <= self.persisted)
            .map(|f| f.1 + self.max_dispatch_delay)
            .min();
        let confirm = confirm.filter(|_| self.up);
        let again = (self.not_before > self.now).then_some(self.not_before);
        let answer = self.asked.map(|a| a.1 + self.lease);
        [lease, confirm, again, answer].into_iter().flatten().min()
    }

    fn hear(&mut self, event: Event) {
        match event {
            Event::Up => (self.up, self.asked, self.confirmed) = (true, None, Version(0)),
            Event::Down => (self.up, self.asked) = (false, None),
            Event::Granted {
                call,
                epoch,
                version,
                stable,
                lease,
                came,
            } => {
                let Some((_, sent)) = self.asked.take_if(|a| a.0 == call) else {
                    return;
                };
                self.lease = lease;
                let fits = self.come(epoch, version, came);
                if fits {
                    self.follower_lease.granted(sent, version, stable, lease);
                    self.settle();
                } else {
                    self.not_before = self.now + AGAIN;
                }
            }
            Event::Behind { call } if self.asked.take_if(|a| a.0 == call).is_some() => {
                self.note(
                    "the state service knows less than this host; an operator must look".into(),
                );
                self.not_before = self.now + AGAIN;
            }
            Event::PollRejected { call, reason }
                if self.asked.take_if(|a| a.0 == call).is_some() =>
            {
                self.note(format!("the state service refuses: {reason}"));
                self.not_before = self.now + AGAIN;
            }
            Event::Behind { .. } | Event::PollRejected { .. } => {}
            Event::Persisted { number } => {
                if let Some((_, version)) = self.keeping.take_if(|k| k.0 == number) {
                    self.persisted = version;
                }
            }
            Event::PersistFailed { reason } => {
                self.note(format!("plans cannot be kept: {reason}"));
                // Of what was on its way nobody knows how much arrived; all of it goes again.
                if self.keeping.take().is_some() {
                    self.snapshot = true;
                }
                self.not_before = self.now + AGAIN;
            }
        }
    }

    /// Takes what came, if it follows what is here.
    fn come(&mut self, epoch: Epoch, version: Version, came: Update) -> bool {
        let before = self.catalog.version();
        let (at, snapshot, revisions) = match came {
            Update::Entries(revisions) => (before, None, revisions),
            Update::Whole {
                at,
                state,
                revisions,
            } => (at, Some(state), revisions),
        };
        // All of it or nothing: half of it would be a state that nobody ever decided.
        let last = revisions.iter().try_fold(at, |v, e| {
            (e.from == v && e.version > v).then_some(e.version)
        });
        if last != Some(version) || version < before {
            self.note(format!(
                "what came does not lead from {} to {}",
                at.0, version.0
            ));
            return false;
        }
        let open = if snapshot.is_some() {
            0
        } else {
            self.catalog.audit_log().len()
        };
        if open + revisions.len() > MAX_OPEN {
            self.note("too many changes wait for other hosts; nothing new is followed".into());
            return false;
        }
        if let Some(state) = snapshot {
            self.dirty.extend(self.told.keys());
            let facts = self.catalog.facts().clone();
            self.catalog = Follower::catalog_of(facts).restored(at, state, Vec::new());
            self.dirty.extend(self.catalog.volumes().map(|(id, _)| id));
            self.plans
                .extend(self.catalog.plans().map(|(name, _)| name.clone()));
            self.unkept.clear();
            self.snapshot = true;
            // In another history the numbers of the last one mean nothing, nor what is still on its way to
            // the disk of it.
            self.follower_lease = FollowerLease::persisted(at, at);
            (
                self.persisted,
                self.acknowledged,
                self.confirmed,
                self.keeping,
            ) = Default::default();
            self.followed.clear();
        }
        if self.epoch != epoch {
            (self.epoch, self.snapshot) = (epoch, true);
        }
        for revision in revisions {
            let revision = self.completed(revision);
            self.dirty
                .extend(revision.also.iter().filter_map(|(_, c)| match c {
                    Change::Volume { id, .. } => Some(*id),
                    _ => None,
                }));
            self.catalog
                .apply(revision.clone())
                .expect("looked at above");
            self.touch(&revision);
            self.unkept.push(revision);
        }
        if self.catalog.version() > before || self.followed.is_empty() {
            self.followed.push((self.catalog.version(), self.now));
        }
        true
    }

    /// An entry with what puts it back here, and how that was which did not work through this host.
    fn completed(&self, revision: Revision) -> Revision {
        // What this host has of a volume that went elsewhere may be old.
        let told = |s: &Subject| revision.before.iter().find(|c| c.subject() == *s).cloned();
        let was = |c: &Change| told(&c.subject()).unwrap_or_else(|| self.catalog.now(&c.subject()));
        let before = revision.changes.iter().rev().map(was).collect();
        Revision { before, ..revision }
    }

    /// Volumes whose terms an entry may change.
    fn touch(&mut self, revision: &Revision) {
        for change in revision.changes.iter().chain(&revision.before) {
            match change {
                Change::Volume { id, .. } => _ = self.dirty.insert(*id),
                Change::Plan { name, .. } => {
                    self.plans.insert(name.clone());
                    self.dirty.extend(self.catalog.volumes_of_plan(name));
                }
                _ => {}
            }
        }
    }

    /// What is settled need not be reckoned with any more.
    fn settle(&mut self) {
        let stable = self.follower_lease.stable;
        for revision in self.catalog.forget(stable) {
            self.touch(&revision);
        }
    }

    /// What each version that must be reckoned with says of a volume, the newest first.
    fn window(&self, id: u64) -> Vec<LimitTerms> {
        let mut volume: Option<Volume> = self.catalog.volume(id).cloned();
        let mut plans: BTreeMap<Name, Option<Plan>> = BTreeMap::new();
        let mut all = Vec::new();
        let says = |volume: &Option<Volume>, plans: &BTreeMap<Name, Option<Plan>>| {
            let v = volume.as_ref()?;
            let plan = plans
                .get(&v.plan)
                .cloned()
                .unwrap_or_else(|| self.catalog.plan(&v.plan).cloned())?;
            let (hosts, mine) = (v.hosts.len(), v.hosts.contains(&self.me));
            Some(LimitTerms {
                reservation: plan.reservation,
                limit: plan.limit,
                burst: plan.burst,
                hosts,
                mine,
            })
        };
        all.extend(says(&volume, &plans));
        for revision in self.catalog.audit_log().rev() {
            let mut last_changed = false;
            for change in &revision.before {
                match change {
                    Change::Volume { id: other, to } if *other == id => {
                        (volume, last_changed) = (to.clone(), true);
                    }
                    Change::Plan { name, to } => {
                        plans.insert(name.clone(), to.clone());
                        last_changed |= volume.as_ref().is_some_and(|v| v.plan == *name);
                    }
                    _ => {}
                }
            }
            if last_changed {
                all.extend(says(&volume, &plans));
            }
        }
        all
    }

    fn terms(&self, id: u64) -> Option<Terms> {
        let v = self.catalog.volume(id)?;
        let quota = quota(self.window(id), self.leased);
        Some(Terms {
            plan: v.plan.clone(),
            hosts: v.hosts.len(),
            mine: v.hosts.contains(&self.me),
            quota,
        })
    }

    /// Brings what is asked, kept and told into line with what is wanted.
    fn bring(&mut self) {
        for name in std::mem::take(&mut self.plans) {
            let plan = self.catalog.plan(&name).cloned();
            self.out
                .extend(plan.map(|plan| Action::Plan { name, plan }));
        }
        for id in std::mem::take(&mut self.dirty) {
            let terms = self.terms(id);
            if self.told.get(&id) == terms.as_ref() {
                continue;
            }
            match &terms {
                Some(t) => _ = self.told.insert(id, t.clone()),
                None => _ = self.told.remove(&id),
            }
            self.out.push(Action::Volume { id, terms });
        }
        let news = !self.unkept.is_empty()
            || self.snapshot
            || self.follower_lease.stable > self.stable_persisted;
        if news && self.keeping.is_none() && self.now >= self.not_before {
            self.next += 1;
            let (number, epoch, stable) = (self.next, self.epoch, self.follower_lease.stable);
            let (revisions, snapshot) = (
                std::mem::take(&mut self.unkept),
                std::mem::take(&mut self.snapshot),
            );
            self.out.push(Action::Persist(PersistRequest {
                number,
                epoch,
                stable,
                revisions,
                snapshot,
            }));
            self.keeping = Some((number, self.catalog.version()));
            self.stable_persisted = stable;
        }
        if !self.up {
            return;
        }
        // What was decided on an older version may still cross for so long.
        let crossed = |f: &&(Version, Duration)| {
            f.0 <= self.persisted && f.1 + self.max_dispatch_delay <= self.now
        };
        self.acknowledged = self
            .followed
            .iter()
            .filter(crossed)
            .map(|f| f.0)
            .fold(self.acknowledged, Version::max);
        self.followed.retain(|f| f.0 > self.acknowledged);
        if self.acknowledged > self.confirmed {
            self.confirmed = self.acknowledged;
            self.out.push(Action::Acknowledge {
                epoch: self.epoch,
                applied: self.acknowledged,
            });
        }
        self.asked.take_if(|a| self.now >= a.1 + self.lease);
        if self.asked.is_none() && self.now >= self.not_before {
            self.next += 1;
            let call = CallId(self.next);
            self.asked = Some((call, self.now));
            let (applied, stable) = (self.catalog.version(), self.follower_lease.stable);
            self.out.push(Action::Poll {
                call,
                epoch: self.epoch,
                applied,
                stable,
                acknowledged: self.acknowledged,
            });
        }
    }

    fn note(&mut self, text: String) {
        self.out.push(Action::Note { text });
    }

    /// Subjects that changes touched and that are not settled, for whoever shows it.
    pub fn open(&self) -> impl Iterator<Item = Subject> + '_ {
        self.catalog
            .audit_log()
            .flat_map(|e| e.changes.iter().map(|c| c.subject()))
    }
}
