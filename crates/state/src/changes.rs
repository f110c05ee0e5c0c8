//! The ledger of changes: what plans and volumes are, and how they came to be so.
//!
//! Called as `propose` with typed changes, who asks, why, and the version that they looked at; the answer is
//! an entry that is to be kept whole or not at all, or what it collided with. `take` lays a kept entry over
//! the state, the same way for the one who proposed it, for a start that reads them back, and for hosts that
//! follow the feed. Without input or output; nothing here decides over transfers.
//!
//! Two changes collide if they touch the same subject, a plan or a volume, or if one rests on a subject that
//! the other takes away. Who looked at an older version is not refused for that alone: only for a subject
//! that has changed since, or may have, where the trail no longer reaches back so far. Guards against two
//! clerks that each undo the other unseen; harm: two changes of different figures of one plan collide too,
//! and the second is asked again.
//!
//! Memory: the state, and a trail of at most as many entries as it was made with.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::fmt;
use std::time::Duration;

/// The state after so many entries.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Version(pub u64);

/// Figures of a plan; rates are units a second, a limit of 0 is none.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Plan {
    pub rate: f64,
    pub reservation: f64,
    pub limit: f64,
    pub weight: f64,
}

#[derive(Debug, Clone, PartialEq)]
pub struct Volume {
    pub plan: String,
    pub hosts: Vec<String>,
}

/// What a change touches.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Subject {
    Plan(String),
    Volume(u64),
}

impl fmt::Display for Subject {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Subject::Plan(name) => write!(f, "plan {name}"),
            Subject::Volume(id) => write!(f, "volume {id}"),
        }
    }
}

/// Puts something in the place of what was there; None takes it away.
#[derive(Debug, Clone, PartialEq)]
pub enum Change {
    Plan { name: String, to: Option<Plan> },
    Volume { id: u64, to: Option<Volume> },
}

impl Change {
    pub fn subject(&self) -> Subject {
        match self {
            Change::Plan { name, .. } => Subject::Plan(name.clone()),
            Change::Volume { id, .. } => Subject::Volume(*id),
        }
    }

    /// What it rests on beside its subject.
    fn rests_on(&self) -> Option<Subject> {
        match self {
            Change::Volume { to: Some(v), .. } => Some(Subject::Plan(v.plan.clone())),
            _ => None,
        }
    }
}

/// One atomic step of the state.
#[derive(Debug, Clone, PartialEq)]
pub struct Entry {
    pub version: Version,
    /// Since 1970, by the clock of who kept it.
    pub at: Duration,
    pub who: String,
    pub why: String,
    pub changes: Vec<Change>,
    /// What puts back what was there before, in the order in which to do it.
    pub before: Vec<Change>,
}

#[derive(Debug, Clone, PartialEq)]
pub enum Refused {
    /// Changed since it was looked at, by that entry.
    Collision {
        subject: Subject,
        with: Version,
    },
    /// The trail does not reach back to what was looked at.
    TooOld {
        oldest: Version,
    },
    Unknown(Subject),
    /// A plan that volumes stand on, one of them named.
    InUse {
        plan: String,
        by: u64,
    },
    Twice(Subject),
    Empty,
    Figure {
        plan: String,
        what: &'static str,
    },
    NoHost(u64),
}

impl fmt::Display for Refused {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Refused::Collision { subject, with } => {
                write!(f, "{subject} was changed meanwhile, by entry {}", with.0)
            }
            Refused::TooOld { oldest } => {
                write!(f, "looked at before entry {}, the oldest that is still known", oldest.0)
            }
            Refused::Unknown(subject) => write!(f, "{subject} does not exist"),
            Refused::InUse { plan, by } => write!(f, "plan {plan} is in use by volume {by}"),
            Refused::Twice(subject) => write!(f, "{subject} is changed twice at once"),
            Refused::Empty => write!(f, "changes nothing"),
            Refused::Figure { plan, what } => write!(f, "plan {plan}: {what}"),
            Refused::NoHost(id) => write!(f, "volume {id} works through no host"),
        }
    }
}

/// Why a kept entry cannot be laid over this state.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OutOfOrder {
    /// It is here already, or something newer is: a feed that was set back.
    Older,
    /// Entries before it have not come.
    Gap { wants: Version },
}

#[derive(Debug, Clone, Default, PartialEq)]
pub struct Ledger {
    version: Version,
    plans: BTreeMap<String, Plan>,
    volumes: BTreeMap<u64, Volume>,
    /// Volumes by plan: a plan that thousands stand on is taken away, or not, without looking at all volumes.
    standing: BTreeMap<String, BTreeSet<u64>>,
    trail: VecDeque<Entry>,
    most_trail: usize,
}

impl Ledger {
    pub fn new(most_trail: usize) -> Self {
        Ledger { most_trail: most_trail.max(1), ..Ledger::default() }
    }

    pub fn version(&self) -> Version {
        self.version
    }

    pub fn plan(&self, name: &str) -> Option<&Plan> {
        self.plans.get(name)
    }

    pub fn volume(&self, id: u64) -> Option<&Volume> {
        self.volumes.get(&id)
    }

    /// The last entries, oldest first.
    pub fn trail(&self) -> impl Iterator<Item = &Entry> {
        self.trail.iter()
    }

    /// The entry that these changes would make, asked by someone who looked at that version.
    pub fn propose(
        &self, looked_at: Version, (who, why): (&str, &str), at: Duration, changes: Vec<Change>,
    ) -> Result<Entry, Refused> {
        if changes.is_empty() {
            return Err(Refused::Empty);
        }
        self.since(looked_at, &changes)?;
        let (mut after, mut seen, mut before) = (self.clone_state(), BTreeSet::new(), Vec::new());
        for change in &changes {
            let subject = change.subject();
            if !seen.insert(subject.clone()) {
                return Err(Refused::Twice(subject));
            }
            fine(change)?;
            before.insert(0, self.now(&subject));
            after.put(change);
        }
        after.whole(&changes, self)?;
        if changes.iter().all(|c| self.now(&c.subject()) == *c) {
            return Err(Refused::Empty);
        }
        let (version, who, why) = (Version(self.version.0 + 1), who.to_string(), why.to_string());
        Ok(Entry { version, at, who, why, changes, before })
    }

    /// The entry that puts back what an earlier one changed, where nothing has changed it since.
    pub fn undo(&self, entry: Version, by: (&str, &str), at: Duration) -> Result<Entry, Refused> {
        let oldest = self.trail.front().map_or(self.version, |e| e.version);
        let found = self.trail.iter().find(|e| e.version == entry);
        let changes = found.ok_or(Refused::TooOld { oldest })?.before.clone();
        self.propose(entry, by, at, changes)
    }

    /// Lays a kept entry over the state.
    pub fn take(&mut self, entry: Entry) -> Result<(), OutOfOrder> {
        let wants = Version(self.version.0 + 1);
        if entry.version < wants {
            return Err(OutOfOrder::Older);
        }
        if entry.version > wants {
            return Err(OutOfOrder::Gap { wants });
        }
        entry.changes.iter().for_each(|c| self.put(c));
        self.version = entry.version;
        self.trail.push_back(entry);
        while self.trail.len() > self.most_trail {
            self.trail.pop_front();
        }
        Ok(())
    }

    /// Whether anything that the changes touch or rest on has changed since.
    fn since(&self, looked_at: Version, changes: &[Change]) -> Result<(), Refused> {
        if looked_at >= self.version {
            return Ok(());
        }
        let oldest = self.trail.front().map_or(self.version, |e| e.version);
        if looked_at.0 + 1 < oldest.0 {
            return Err(Refused::TooOld { oldest });
        }
        let touched: BTreeSet<Subject> =
            changes.iter().flat_map(|c| [Some(c.subject()), c.rests_on()]).flatten().collect();
        for entry in self.trail.iter().filter(|e| e.version > looked_at) {
            // A volume that was put on a plan meanwhile does not change that plan for others.
            if let Some(c) = entry.changes.iter().find(|c| touched.contains(&c.subject())) {
                return Err(Refused::Collision { subject: c.subject(), with: entry.version });
            }
        }
        Ok(())
    }

    /// The change that would put a subject as it is now.
    fn now(&self, subject: &Subject) -> Change {
        match subject {
            Subject::Plan(name) => Change::Plan { name: name.clone(), to: self.plans.get(name).cloned() },
            Subject::Volume(id) => Change::Volume { id: *id, to: self.volumes.get(id).cloned() },
        }
    }

    fn clone_state(&self) -> Overlay<'_> {
        Overlay { below: self, plans: BTreeMap::new(), volumes: BTreeMap::new() }
    }

    fn put(&mut self, change: &Change) {
        match change {
            Change::Plan { name, to: Some(plan) } => drop(self.plans.insert(name.clone(), plan.clone())),
            Change::Plan { name, to: None } => drop(self.plans.remove(name)),
            Change::Volume { id, to } => {
                let old = match to {
                    Some(v) => {
                        self.standing.entry(v.plan.clone()).or_default().insert(*id);
                        self.volumes.insert(*id, v.clone())
                    }
                    None => self.volumes.remove(id),
                };
                let left = old.filter(|o| to.as_ref().is_none_or(|v| v.plan != o.plan));
                if let Some(standing) = left.and_then(|o| self.standing.get_mut(&o.plan)) {
                    standing.remove(id);
                }
            }
        }
    }
}

/// The state as changes would leave it, without a copy of all that they do not touch.
struct Overlay<'a> {
    below: &'a Ledger,
    plans: BTreeMap<String, bool>,
    volumes: BTreeMap<u64, Option<String>>,
}

impl Overlay<'_> {
    fn put(&mut self, change: &Change) {
        match change {
            Change::Plan { name, to } => drop(self.plans.insert(name.clone(), to.is_some())),
            Change::Volume { id, to } => {
                self.volumes.insert(*id, to.as_ref().map(|v| v.plan.clone()));
            }
        }
    }

    fn has_plan(&self, name: &str) -> bool {
        self.plans.get(name).copied().unwrap_or_else(|| self.below.plans.contains_key(name))
    }

    /// Whether what is left hangs together.
    fn whole(&self, changes: &[Change], below: &Ledger) -> Result<(), Refused> {
        for change in changes {
            match change {
                Change::Plan { name, to: None } => {
                    if below.plan(name).is_none() {
                        return Err(Refused::Unknown(change.subject()));
                    }
                    let stays = |id: &&u64| {
                        self.volumes.get(id).is_none_or(|plan| plan.as_deref() == Some(name.as_str()))
                    };
                    let standing = below.standing.get(name).into_iter().flatten();
                    if let Some(by) = standing.into_iter().find(stays) {
                        return Err(Refused::InUse { plan: name.clone(), by: *by });
                    }
                }
                Change::Volume { id, to: None } if below.volume(*id).is_none() => {
                    return Err(Refused::Unknown(Subject::Volume(*id)));
                }
                Change::Volume { to: Some(v), .. } if !self.has_plan(&v.plan) => {
                    return Err(Refused::Unknown(Subject::Plan(v.plan.clone())));
                }
                _ => {}
            }
        }
        Ok(())
    }
}

/// What is wrong with a change by itself.
fn fine(change: &Change) -> Result<(), Refused> {
    match change {
        Change::Plan { name, to: Some(p) } => {
            let bad = |what| Err(Refused::Figure { plan: name.clone(), what });
            let all = [p.rate, p.reservation, p.limit, p.weight];
            if all.iter().any(|n| !n.is_finite() || *n < 0.0) {
                return bad("a figure is negative or no number");
            }
            // Below its reserve a limit would break a promise, and a host that is cut off from the feed falls
            // back to the reserve: see docs/design/plans.md.
            if p.limit > 0.0 && p.limit < p.reservation {
                return bad("its limit is below its reservation");
            }
            Ok(())
        }
        Change::Volume { id, to: Some(v) } if v.hosts.is_empty() => Err(Refused::NoHost(*id)),
        _ => Ok(()),
    }
}
