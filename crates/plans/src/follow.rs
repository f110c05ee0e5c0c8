//! A host's side of the feed: what it asks for, what it keeps, and what its decisions are told of each
//! volume.
//!
//! Called as `step(now, events)` for every batch of what happened on the way to the state service and to the
//! disk, which answers what to ask, keep, and tell; [`Follow::wake_at`] says when it must be called again.
//! Wanted at any time: an open question to the service, everything that came on the disk, a word to the
//! service once nothing of an older version can cross any more, and the decisions on the terms that follow
//! from all versions that must be reckoned with ([`crate::feed::part`]). `bring` diffs these against what is
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

use crate::changes::{Catalog, Change, Entry, Facts, Name, Plan, Subject, Version, Volume};
use crate::feed::{part, Follower, Part, Says};
use crate::source::{Call, Era};
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
pub enum Came {
    /// What follows what this host has.
    Entries(Vec<Entry>),
    /// Everything as it was at a settled version, and what followed.
    Whole {
        at: Version,
        state: Vec<Change>,
        entries: Vec<Entry>,
    },
}

#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// There is a way to the service, or none any more.
    Up,
    Down,
    Granted {
        call: Call,
        era: Era,
        version: Version,
        settled: Version,
        lease: Duration,
        came: Came,
    },
    /// The service knows less than this host.
    Behind {
        call: Call,
    },
    Refused {
        call: Call,
        why: String,
    },
    Kept {
        number: u64,
    },
    NotKept {
        why: String,
    },
}

/// What is to be on the disk, together or not at all.
#[derive(Debug, Clone, PartialEq)]
pub struct Keep {
    pub number: u64,
    pub era: Era,
    pub settled: Version,
    /// Entries to add, with what puts them back.
    pub entries: Vec<Entry>,
    /// In place of all that was kept, where steps are missing.
    pub whole: bool,
}

/// On what terms this host serves a volume.
#[derive(Debug, Clone, PartialEq)]
pub struct Terms {
    pub plan: Name,
    pub hosts: usize,
    /// It works through this host.
    pub mine: bool,
    /// This host's part of the limit; None: there is none.
    pub part: Option<Part>,
}

#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// `sure`: as in [`Action::Confirm`].
    Ask {
        call: Call,
        era: Era,
        has: Version,
        settled: Version,
        sure: Version,
    },
    /// Nothing of an older version crosses from here any more.
    Confirm {
        era: Era,
        has: Version,
    },
    Keep(Keep),
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
pub struct Start {
    pub catalog: Catalog,
    pub settled: Version,
    pub era: Era,
}

#[derive(Debug)]
pub struct Follow {
    me: Name,
    max_dispatch_delay: Duration,
    catalog: Catalog,
    follower: Follower,
    era: Era,
    now: Duration,
    up: bool,
    asked: Option<(Call, Duration)>,
    lease: Duration,
    /// The last keep: its number, and the version that it brings.
    keeping: Option<(u64, Version)>,
    kept: Version,
    /// What came since the last keep.
    unkept: Vec<Entry>,
    whole: bool,
    settled_kept: Version,
    /// Versions with when they were followed, oldest first, of which the service has not been told.
    followed: Vec<(Version, Duration)>,
    /// Of which nothing older can cross any more, and up to where the service was told so.
    sure: Version,
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

impl Follow {
    /// `max_dispatch_delay`: how long what was decided may take to cross.
    pub fn new(me: Name, start: Start, max_dispatch_delay: Duration) -> Self {
        let Start {
            catalog,
            settled,
            era,
        } = start;
        let has = catalog.version();
        let plans = catalog.plans().map(|(name, _)| name.clone()).collect();
        let dirty = catalog.volumes().map(|(id, _)| id).collect();
        Follow {
            me,
            max_dispatch_delay,
            follower: Follower::kept(has, settled),
            catalog,
            era,
            now: Duration::ZERO,
            up: false,
            asked: None,
            lease: FIRST,
            keeping: None,
            kept: has,
            unkept: Vec::new(),
            whole: false,
            settled_kept: settled,
            followed: vec![(has, Duration::ZERO)],
            sure: Version(0),
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
    pub fn catalog_of(facts: Facts) -> Catalog {
        Catalog::new(facts, MAX_OPEN)
    }

    pub fn catalog(&self) -> &Catalog {
        &self.catalog
    }

    pub fn follower(&self) -> &Follower {
        &self.follower
    }

    /// Whether it has ever followed anything: until then nobody can say that a volume does not exist.
    pub fn knows(&self) -> bool {
        self.catalog.version() > Version(0)
    }

    pub fn leased(&self) -> bool {
        self.leased
    }

    /// In which history it stands.
    pub fn era(&self) -> Era {
        self.era
    }

    pub fn step(&mut self, now: Duration, events: Vec<Event>) -> Vec<Action> {
        self.now = now.max(self.now);
        events.into_iter().for_each(|e| self.hear(e));
        let leased = self.follower.leased(self.now);
        if leased != std::mem::replace(&mut self.leased, leased) {
            // Only limits depend on it.
            self.dirty.extend(
                self.told
                    .iter()
                    .filter(|(_, t)| t.part.is_some())
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
        let lease = self.leased.then(|| self.follower.until());
        let confirm = self
            .followed
            .iter()
            .filter(|f| f.0 <= self.kept)
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
                era,
                version,
                settled,
                lease,
                came,
            } => {
                let Some((_, sent)) = self.asked.take_if(|a| a.0 == call) else {
                    return;
                };
                self.lease = lease;
                let fits = self.come(era, version, came);
                if fits {
                    self.follower.told(sent, version, settled, lease);
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
            Event::Refused { call, why } if self.asked.take_if(|a| a.0 == call).is_some() => {
                self.note(format!("the state service refuses: {why}"));
                self.not_before = self.now + AGAIN;
            }
            Event::Behind { .. } | Event::Refused { .. } => {}
            Event::Kept { number } => {
                if let Some((_, version)) = self.keeping.take_if(|k| k.0 == number) {
                    self.kept = version;
                }
            }
            Event::NotKept { why } => {
                self.note(format!("plans cannot be kept: {why}"));
                // Of what was on its way nobody knows how much arrived; all of it goes again.
                if self.keeping.take().is_some() {
                    self.whole = true;
                }
                self.not_before = self.now + AGAIN;
            }
        }
    }

    /// Takes what came, if it follows what is here.
    fn come(&mut self, era: Era, version: Version, came: Came) -> bool {
        let before = self.catalog.version();
        let (at, whole, entries) = match came {
            Came::Entries(entries) => (before, None, entries),
            Came::Whole { at, state, entries } => (at, Some(state), entries),
        };
        // All of it or nothing: half of it would be a state that nobody ever decided.
        let last = entries.iter().try_fold(at, |v, e| {
            (e.from == v && e.version > v).then_some(e.version)
        });
        if last != Some(version) || version < before {
            self.note(format!(
                "what came does not lead from {} to {}",
                at.0, version.0
            ));
            return false;
        }
        let open = if whole.is_some() {
            0
        } else {
            self.catalog.trail().len()
        };
        if open + entries.len() > MAX_OPEN {
            self.note("too many changes wait for other hosts; nothing new is followed".into());
            return false;
        }
        if let Some(state) = whole {
            self.dirty.extend(self.told.keys());
            let facts = self.catalog.facts().clone();
            self.catalog = Follow::catalog_of(facts).restored(at, state, Vec::new());
            self.dirty.extend(self.catalog.volumes().map(|(id, _)| id));
            self.plans
                .extend(self.catalog.plans().map(|(name, _)| name.clone()));
            self.unkept.clear();
            self.whole = true;
            // In another history the numbers of the last one mean nothing, nor what is still on its way to
            // the disk of it.
            self.follower = Follower::kept(at, at);
            (self.kept, self.sure, self.confirmed, self.keeping) = Default::default();
            self.followed.clear();
        }
        if self.era != era {
            (self.era, self.whole) = (era, true);
        }
        for entry in entries {
            let entry = self.completed(entry);
            self.dirty
                .extend(entry.also.iter().filter_map(|(_, c)| match c {
                    Change::Volume { id, .. } => Some(*id),
                    _ => None,
                }));
            self.catalog.take(entry.clone()).expect("looked at above");
            self.touch(&entry);
            self.unkept.push(entry);
        }
        if self.catalog.version() > before || self.followed.is_empty() {
            self.followed.push((self.catalog.version(), self.now));
        }
        true
    }

    /// An entry with what puts it back here, and how that was which did not work through this host.
    fn completed(&self, entry: Entry) -> Entry {
        // What this host has of a volume that went elsewhere may be old.
        let told = |s: &Subject| entry.before.iter().find(|c| c.subject() == *s).cloned();
        let was = |c: &Change| told(&c.subject()).unwrap_or_else(|| self.catalog.now(&c.subject()));
        let before = entry.changes.iter().rev().map(was).collect();
        Entry { before, ..entry }
    }

    /// Volumes whose terms an entry may change.
    fn touch(&mut self, entry: &Entry) {
        for change in entry.changes.iter().chain(&entry.before) {
            match change {
                Change::Volume { id, .. } => _ = self.dirty.insert(*id),
                Change::Plan { name, .. } => {
                    self.plans.insert(name.clone());
                    self.dirty.extend(self.catalog.standing(name));
                }
                _ => {}
            }
        }
    }

    /// What is settled need not be reckoned with any more.
    fn settle(&mut self) {
        let settled = self.follower.settled;
        for entry in self.catalog.forget(settled) {
            self.touch(&entry);
        }
    }

    /// What each version that must be reckoned with says of a volume, the newest first.
    fn window(&self, id: u64) -> Vec<Says> {
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
            Some(Says {
                reservation: plan.reservation,
                limit: plan.limit,
                burst: plan.burst,
                hosts,
                mine,
            })
        };
        all.extend(says(&volume, &plans));
        for entry in self.catalog.trail().rev() {
            let mut touched = false;
            for change in &entry.before {
                match change {
                    Change::Volume { id: other, to } if *other == id => {
                        (volume, touched) = (to.clone(), true);
                    }
                    Change::Plan { name, to } => {
                        plans.insert(name.clone(), to.clone());
                        touched |= volume.as_ref().is_some_and(|v| v.plan == *name);
                    }
                    _ => {}
                }
            }
            if touched {
                all.extend(says(&volume, &plans));
            }
        }
        all
    }

    fn terms(&self, id: u64) -> Option<Terms> {
        let v = self.catalog.volume(id)?;
        let part = part(self.window(id), self.leased);
        Some(Terms {
            plan: v.plan.clone(),
            hosts: v.hosts.len(),
            mine: v.hosts.contains(&self.me),
            part,
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
        let news =
            !self.unkept.is_empty() || self.whole || self.follower.settled > self.settled_kept;
        if news && self.keeping.is_none() && self.now >= self.not_before {
            self.next += 1;
            let (number, era, settled) = (self.next, self.era, self.follower.settled);
            let (entries, whole) = (
                std::mem::take(&mut self.unkept),
                std::mem::take(&mut self.whole),
            );
            self.out.push(Action::Keep(Keep {
                number,
                era,
                settled,
                entries,
                whole,
            }));
            self.keeping = Some((number, self.catalog.version()));
            self.settled_kept = settled;
        }
        if !self.up {
            return;
        }
        // What was decided on an older version may still cross for so long.
        let crossed = |f: &&(Version, Duration)| {
            f.0 <= self.kept && f.1 + self.max_dispatch_delay <= self.now
        };
        self.sure = self
            .followed
            .iter()
            .filter(crossed)
            .map(|f| f.0)
            .fold(self.sure, Version::max);
        self.followed.retain(|f| f.0 > self.sure);
        if self.sure > self.confirmed {
            self.confirmed = self.sure;
            self.out.push(Action::Confirm {
                era: self.era,
                has: self.sure,
            });
        }
        self.asked.take_if(|a| self.now >= a.1 + self.lease);
        if self.asked.is_none() && self.now >= self.not_before {
            self.next += 1;
            let call = Call(self.next);
            self.asked = Some((call, self.now));
            let (has, settled) = (self.catalog.version(), self.follower.settled);
            self.out.push(Action::Ask {
                call,
                era: self.era,
                has,
                settled,
                sure: self.sure,
            });
        }
    }

    fn note(&mut self, text: String) {
        self.out.push(Action::Note { text });
    }

    /// Subjects that changes touched and that are not settled, for whoever shows it.
    pub fn open(&self) -> impl Iterator<Item = Subject> + '_ {
        self.catalog
            .trail()
            .flat_map(|e| e.changes.iter().map(|c| c.subject()))
    }
}
