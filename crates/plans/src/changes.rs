//! The catalog of changes: what plans, volumes, nodes, drains and targets are, and how they came to be so.
//!
//! Called as `propose` with typed changes, who asks, why, and the version that they looked at; the answer is
//! an entry that is to be kept whole or not at all, or what it collided with. `apply` lays a kept entry over
//! the state, the same way for the one who proposed it, for a start that reads them back, and for hosts that
//! follow the feed. Without input or output; nothing here decides over requests.
//!
//! Two changes collide if they touch the same subject, or if one rests on a subject that the other takes
//! away. Who looked at an older version is not refused for that alone: only for a subject that has changed
//! since, or may have, where the trail no longer reaches back so far. Guards against two clerks that each
//! undo the other unseen; harm: two changes of different figures of one plan collide too, and the second is
//! asked again.
//!
//! Memory: the state, and a trail of at most as many entries as it was made with.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet, VecDeque};
use std::fmt;
use std::sync::Arc;
use std::time::Duration;

/// The state after so many entries.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Version(pub u64);

impl Version {
    pub fn next(self) -> Version {
        Version(self.0 + 1)
    }
}

pub type Name = Arc<str>;

/// Figures of a plan, for one volume over all hosts. Rates are units a second; a limit of 0 is none.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Plan {
    pub rate: f64,
    pub reservation: f64,
    pub limit: f64,
    /// Units that the limit's store holds, and by how much it may be passed.
    pub burst: f64,
    pub slack: f64,
    pub weight: f64,
    pub price: f64,
}

#[derive(Debug, Clone, PartialEq)]
pub struct Volume {
    pub plan: Name,
    /// Through which hosts it works.
    pub hosts: Arc<[Name]>,
    /// Where its data may lie.
    pub shards: Arc<[u32]>,
    pub blocks: u64,
}

#[derive(Debug, Clone, PartialEq, Default)]
pub struct Node {
    /// What operators call it; each once. Empty: it goes by its number.
    pub name: Name,
    pub zone: Name,
    pub shard: u32,
    /// Units a second; 0: nobody has said.
    pub capacity: f64,
}

/// How far a drain has come, as it must outlive a crash. What lies between these is told by hosts as it is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub enum Stage {
    /// It waits until nothing speaks against it; the node serves as before.
    Queued,
    /// Hosts send the node nothing new.
    #[default]
    Draining,
    /// Nothing that any host sent it is under way.
    Drained,
    /// It is taken out: what comes back under its number is not trusted with work before it is returned.
    Removed,
}

/// Somebody wants the node empty.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Drain {
    pub stage: Stage,
    /// Counted from when it goes, after which it is given up; zero: never.
    pub within: Duration,
    /// Who asked first and when; when the stage last changed. Times are since 1970. The catalog's keeper fills
    /// these in.
    pub author: Name,
    pub asked: Duration,
    pub since: Duration,
}

impl Drain {
    /// Whether the node is to get nothing new.
    pub fn holds(&self) -> bool {
        self.stage != Stage::Queued
    }
}

impl Stage {
    pub const NAMES: [(Stage, &'static str); 4] = [
        (Stage::Queued, "queued"),
        (Stage::Draining, "going"),
        (Stage::Drained, "empty"),
        (Stage::Removed, "out"),
    ];

    pub fn name(self) -> &'static str {
        Stage::NAMES
            .iter()
            .find(|(stage, _)| *stage == self)
            .map_or("", |(_, name)| name)
    }

    /// Whether a drain may go from one stage to the other; None: there is none. Nothing goes back but to none
    /// at all: what an empty node was told cannot be untold, and a node that is out is returned, and perhaps
    /// drained anew.
    ///
    /// ```
    /// use grebecleat_plans::changes::Stage::{self, *};
    /// assert!(Stage::may_follow(None, Some(Queued)) && Stage::may_follow(Some(Queued), Some(Draining)));
    /// assert!(!Stage::may_follow(Some(Drained), Some(Draining)) && !Stage::may_follow(None, Some(Drained)));
    /// assert!(Stage::may_follow(Some(Removed), None));
    /// ```
    pub fn may_follow(was: Option<Stage>, is: Option<Stage>) -> bool {
        match (was, is) {
            (_, None) => true,
            (None, Some(is)) => is <= Stage::Draining,
            (Some(was), Some(is)) => was <= is,
        }
    }
}

/// Changes that are to land at a stated time, by the wall clock since 1970.
#[derive(Debug, Clone, PartialEq)]
pub struct ScheduledChange {
    pub at: Duration,
    pub author: String,
    pub reason: String,
    pub force: bool,
    pub changes: Vec<Change>,
    /// How their subjects were when they were asked for: of one that is not so any more, nobody knows whether
    /// it is still meant.
    pub expects: Vec<Change>,
}

/// What a change touches.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Subject {
    Plan(Name),
    Volume(u64),
    Node(u32),
    Drain(u32),
    Target(Name),
    Scheduled(u64),
}

impl fmt::Display for Subject {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Subject::Plan(name) => write!(f, "plan {name}"),
            Subject::Volume(id) => write!(f, "volume {id}"),
            Subject::Node(id) => write!(f, "node {id}"),
            Subject::Drain(id) => write!(f, "drain of node {id}"),
            Subject::Target(name) => write!(f, "target {name}"),
            Subject::Scheduled(id) => write!(f, "timed change {id}"),
        }
    }
}

/// Puts something in the place of what was there; None takes it away.
#[derive(Debug, Clone, PartialEq)]
pub enum Change {
    Plan {
        name: Name,
        to: Option<Plan>,
    },
    Volume {
        id: u64,
        to: Option<Volume>,
    },
    Node {
        id: u32,
        to: Option<Node>,
    },
    Drain {
        node: u32,
        to: Option<Drain>,
    },
    Target {
        name: Name,
        to: Option<Arc<[u64]>>,
    },
    Scheduled {
        id: u64,
        to: Option<ScheduledChange>,
    },
}

impl Change {
    pub fn subject(&self) -> Subject {
        match self {
            Change::Plan { name, .. } => Subject::Plan(name.clone()),
            Change::Volume { id, .. } => Subject::Volume(*id),
            Change::Node { id, .. } => Subject::Node(*id),
            Change::Drain { node, .. } => Subject::Drain(*node),
            Change::Target { name, .. } => Subject::Target(name.clone()),
            Change::Scheduled { id, .. } => Subject::Scheduled(*id),
        }
    }

    /// Whether it takes its subject away.
    pub fn ends(&self) -> bool {
        match self {
            Change::Plan { to, .. } => to.is_none(),
            Change::Volume { to, .. } => to.is_none(),
            Change::Node { to, .. } => to.is_none(),
            Change::Drain { to, .. } => to.is_none(),
            Change::Target { to, .. } => to.is_none(),
            Change::Scheduled { to, .. } => to.is_none(),
        }
    }

    /// What it rests on beside its subject.
    fn rests_on(&self) -> Vec<Subject> {
        match self {
            Change::Volume { to: Some(v), .. } => vec![Subject::Plan(v.plan.clone())],
            Change::Drain { node, to: Some(_) } => vec![Subject::Node(*node)],
            Change::Target { to: Some(t), .. } => t.iter().map(|v| Subject::Volume(*v)).collect(),
            _ => Vec::new(),
        }
    }
}

/// One atomic step of the state.
#[derive(Debug, Clone, PartialEq)]
pub struct Revision {
    pub version: Version,
    /// The version that it follows: the one before, but where a state prevailed over newer ones.
    pub from: Version,
    /// Since 1970, by the clock of who kept it.
    pub at: Duration,
    pub author: String,
    pub reason: String,
    /// What spoke against it, where it was forced.
    pub objections: String,
    pub changes: Vec<Change>,
    /// What puts back what was there before, in the order in which to do it.
    pub before: Vec<Change>,
    /// A host that knows only what was before may now send more of a limited volume than is promised to it:
    /// such a one must be heard of before the change is over. See [`crate::feed`].
    pub lowers_limits: bool,
    /// To a host that hears of a volume first by this entry: how that was before earlier ones.
    pub also: Vec<(Version, Change)>,
}

/// By whom and why, as the trail keeps it.
#[derive(Debug, Clone, Copy, Default)]
pub struct ChangeContext<'a> {
    pub author: &'a str,
    pub reason: &'a str,
    pub objections: &'a str,
    pub at: Duration,
}

#[derive(Debug, Clone, PartialEq)]
pub enum ChangeError {
    /// Changed since it was looked at, by that entry.
    Collision {
        subject: Subject,
        with: Version,
        author: String,
    },
    /// The trail does not reach back to what was looked at.
    TooOld {
        oldest: Version,
    },
    /// Who proposes has looked at what is not kept here.
    Ahead {
        latest: Version,
    },
    Unknown(Subject),
    /// Something else stands on it.
    InUse {
        what: Subject,
        by: Subject,
    },
    Twice(Subject),
    Empty,
    Figure {
        subject: Subject,
        what: String,
    },
}

impl fmt::Display for ChangeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ChangeError::Collision {
                subject,
                with,
                author,
            } => {
                write!(
                    f,
                    "{subject} was changed meanwhile, by entry {} of {author}",
                    with.0
                )
            }
            ChangeError::TooOld { oldest } => {
                write!(
                    f,
                    "looked at before entry {}, the oldest that is still known",
                    oldest.0
                )
            }
            ChangeError::Ahead { latest } => {
                write!(f, "looked at a version after {}, the latest", latest.0)
            }
            ChangeError::Unknown(subject) => write!(f, "{subject} does not exist"),
            ChangeError::InUse { what, by } => write!(f, "{what} is in use by {by}"),
            ChangeError::Twice(subject) => write!(f, "{subject} is changed twice at once"),
            ChangeError::Empty => write!(f, "changes nothing"),
            ChangeError::Figure { subject, what } => write!(f, "{subject}: {what}"),
        }
    }
}

/// Why a kept entry cannot be laid over this state.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OutOfOrder {
    /// It is here already, or something newer is: a feed that was set back.
    Older,
    /// Entries before it have not come.
    Gap { expected: Version },
}

/// What a deployment says once and no change touches.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Deployment {
    /// Names of all hosts; a volume works through some of them.
    pub hosts: BTreeSet<Name>,
    /// How long an attempt may be decided before it crosses: a limit's slack must cover it.
    pub max_dispatch_delay: Duration,
}

#[derive(Debug, Clone, Default, PartialEq)]
pub struct Catalog {
    facts: Deployment,
    version: Version,
    plans: BTreeMap<Name, Plan>,
    volumes: BTreeMap<u64, Volume>,
    nodes: BTreeMap<u32, Node>,
    drains: BTreeMap<u32, Drain>,
    targets: BTreeMap<Name, Arc<[u64]>>,
    scheduled: BTreeMap<u64, ScheduledChange>,
    /// Nodes by name.
    called: BTreeMap<Name, u32>,
    /// Volumes by plan: a plan that thousands stand on is taken away, or not, without looking at all volumes.
    volumes_of_plan: BTreeMap<Name, BTreeSet<u64>>,
    /// Each name, and each set of hosts or shards, is held once however many volumes have it.
    names: HashSet<Name>,
    host_sets: HashSet<Arc<[Name]>>,
    shard_sets: HashSet<Arc<[u32]>>,
    audit_log: VecDeque<Revision>,
    max_audit_log: usize,
    /// Entries after that one are not dropped.
    needed: Version,
    /// The last entry of the trail that touched a subject.
    last_changed: HashMap<Subject, Version>,
}

impl Catalog {
    pub fn new(facts: Deployment, max_audit_log: usize) -> Self {
        Catalog {
            facts,
            max_audit_log: max_audit_log.max(1),
            needed: Version(u64::MAX),
            ..Catalog::default()
        }
    }

    /// From here on entries after that one stay in the trail, however many there are.
    pub fn need(&mut self, after: Version) {
        self.needed = after;
    }

    /// A state as it was kept: its version, everything in it, and the last entries, oldest first.
    pub fn restored(
        mut self,
        version: Version,
        state: impl IntoIterator<Item = Change>,
        audit_log: Vec<Revision>,
    ) -> Self {
        state.into_iter().for_each(|c| self.put(&c));
        self.version = version;
        audit_log.into_iter().for_each(|e| self.remember(e));
        self
    }

    pub fn facts(&self) -> &Deployment {
        &self.facts
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

    pub fn node(&self, id: u32) -> Option<&Node> {
        self.nodes.get(&id)
    }

    /// The node of that name, or of that number.
    pub fn node_called(&self, name: &str) -> Option<u32> {
        let number = || name.parse().ok().filter(|id| self.nodes.contains_key(id));
        self.called.get(name).copied().or_else(number)
    }

    pub fn drain(&self, node: u32) -> Option<&Drain> {
        self.drains.get(&node)
    }

    pub fn plans(&self) -> impl Iterator<Item = (&Name, &Plan)> {
        self.plans.iter()
    }

    pub fn volumes(&self) -> impl Iterator<Item = (u64, &Volume)> {
        self.volumes.iter().map(|(id, v)| (*id, v))
    }

    pub fn nodes(&self) -> impl Iterator<Item = (u32, &Node)> {
        self.nodes.iter().map(|(id, n)| (*id, n))
    }

    pub fn drains(&self) -> impl Iterator<Item = (u32, &Drain)> {
        self.drains.iter().map(|(id, d)| (*id, d))
    }

    pub fn targets(&self) -> impl Iterator<Item = (&Name, &Arc<[u64]>)> {
        self.targets.iter()
    }

    pub fn scheduled(&self) -> impl Iterator<Item = (u64, &ScheduledChange)> {
        self.scheduled.iter().map(|(id, t)| (*id, t))
    }

    /// Volumes on a plan.
    pub fn volumes_of_plan(&self, plan: &str) -> impl Iterator<Item = u64> + '_ {
        self.volumes_of_plan
            .get(plan)
            .into_iter()
            .flatten()
            .copied()
    }

    /// The last entries, oldest first.
    pub fn audit_log(
        &self,
    ) -> impl DoubleEndedIterator<Item = &Revision> + ExactSizeIterator + Clone {
        self.audit_log.iter()
    }

    /// Whether the trail is as long as it may be, with entries alone that are needed.
    pub fn audit_log_is_full(&self) -> bool {
        self.audit_log.len() >= self.max_audit_log
            && self
                .audit_log
                .front()
                .is_some_and(|e| e.version > self.needed)
    }

    /// Entries after that one; None where the trail no longer reaches back so far.
    pub fn since(&self, version: Version) -> Option<impl Iterator<Item = &Revision> + '_> {
        let first = self.audit_log.front().map_or(self.version, |e| e.from);
        (version >= first).then(|| {
            let from = self.audit_log.partition_point(|e| e.version <= version);
            self.audit_log.range(from..)
        })
    }

    /// Everything, as changes that would make it from nothing.
    pub fn state(&self) -> impl Iterator<Item = Change> + '_ {
        let plans = self.plans.iter().map(|(n, p)| Change::Plan {
            name: n.clone(),
            to: Some(p.clone()),
        });
        let nodes = self.nodes.iter().map(|(id, n)| Change::Node {
            id: *id,
            to: Some(n.clone()),
        });
        let volumes = self.volumes.iter().map(|(id, v)| Change::Volume {
            id: *id,
            to: Some(v.clone()),
        });
        let drains = self.drains.iter().map(|(n, d)| Change::Drain {
            node: *n,
            to: Some(d.clone()),
        });
        let targets = self.targets.iter().map(|(n, t)| Change::Target {
            name: n.clone(),
            to: Some(t.clone()),
        });
        let scheduled = self.scheduled.iter().map(|(id, t)| Change::Scheduled {
            id: *id,
            to: Some(t.clone()),
        });
        plans
            .chain(nodes)
            .chain(volumes)
            .chain(drains)
            .chain(targets)
            .chain(scheduled)
    }

    /// The same as it was at a version that the trail reaches back to.
    pub fn state_at(&self, version: Version) -> impl Iterator<Item = Change> + '_ {
        let mut was: BTreeMap<Subject, Change> = BTreeMap::new();
        for revision in self
            .audit_log
            .iter()
            .rev()
            .take_while(|e| e.version > version)
        {
            was.extend(revision.before.iter().map(|c| (c.subject(), c.clone())));
        }
        let changed: BTreeSet<Subject> = was.keys().cloned().collect();
        let stayed = self
            .state()
            .filter(move |c| !changed.contains(&c.subject()));
        was.into_values().filter(|c| !c.ends()).chain(stayed)
    }

    /// What would make this state that one; nothing where they are alike.
    pub fn changes_towards(&self, other: &Catalog) -> Vec<Change> {
        let gone = self
            .state()
            .map(|c| c.subject())
            .filter(|s| other.now(s).ends())
            .map(|s| other.now(&s));
        let new = other.state().filter(|c| self.now(&c.subject()) != *c);
        // What stands on something goes before it, and comes after it.
        let mut gone: Vec<Change> = gone.collect();
        gone.reverse();
        new.chain(gone).collect()
    }

    /// The entry that these changes would make, asked by someone who looked at that version.
    pub fn propose(
        &self,
        base_version: Version,
        by: ChangeContext,
        changes: Vec<Change>,
    ) -> Result<Revision, ChangeError> {
        if changes.is_empty() {
            return Err(ChangeError::Empty);
        }
        self.unchanged_since(base_version, &changes)?;
        let mut after = Overlay {
            below: self,
            over: BTreeMap::new(),
        };
        let mut before = Vec::new();
        for change in &changes {
            let subject = change.subject();
            self.fine(change)?;
            before.insert(0, self.now(&subject));
            if after.over.insert(subject.clone(), change).is_some() {
                return Err(ChangeError::Twice(subject));
            }
        }
        after.check_references()?;
        if changes.iter().all(|c| self.now(&c.subject()) == *c) {
            return Err(ChangeError::Empty);
        }
        let lowers_limits = after.lowers_limits();
        let ChangeContext {
            author,
            reason,
            objections,
            at,
        } = by;
        let (author, reason, objections) = (
            author.to_string(),
            reason.to_string(),
            objections.to_string(),
        );
        let (from, version) = (self.version, self.version.next());
        Ok(Revision {
            version,
            from,
            at,
            author,
            reason,
            objections,
            changes,
            before,
            lowers_limits,
            also: Vec::new(),
        })
    }

    /// An entry that changes nothing and lets this state prevail over all others up to a version.
    pub fn force_epoch(&self, over: Version, by: ChangeContext) -> Revision {
        let ChangeContext {
            author,
            reason,
            objections,
            at,
        } = by;
        let (author, reason, objections) = (
            author.to_string(),
            reason.to_string(),
            objections.to_string(),
        );
        let (from, version) = (self.version, over.max(self.version).next());
        // Nobody knows what hosts were promised meanwhile.
        let (changes, before, also) = (Vec::new(), Vec::new(), Vec::new());
        Revision {
            version,
            from,
            at,
            author,
            reason,
            objections,
            changes,
            before,
            lowers_limits: true,
            also,
        }
    }

    /// The entry that puts back what an earlier one changed, where nothing has changed it since. What was to
    /// land at a stated time and did is not put back: it would land again at once.
    pub fn undo(&self, revision: Version, by: ChangeContext) -> Result<Revision, ChangeError> {
        let oldest = self.audit_log.front().map_or(self.version, |e| e.version);
        let found = self.audit_log.iter().find(|e| e.version == revision);
        let back = &found.ok_or(ChangeError::TooOld { oldest })?.before;
        let back = back
            .iter()
            .filter(|c| !matches!(c, Change::Scheduled { to: Some(_), .. }));
        self.propose(revision, by, back.cloned().collect())
    }

    /// Lays a kept entry over the state.
    pub fn apply(&mut self, revision: Revision) -> Result<(), OutOfOrder> {
        if revision.version <= self.version {
            return Err(OutOfOrder::Older);
        }
        if revision.from != self.version {
            return Err(OutOfOrder::Gap {
                expected: self.version.next(),
            });
        }
        revision.changes.iter().for_each(|c| self.put(c));
        self.version = revision.version;
        self.remember(revision);
        Ok(())
    }

    fn remember(&mut self, revision: Revision) {
        for c in &revision.changes {
            self.last_changed.insert(c.subject(), revision.version);
        }
        for (version, was) in &revision.also {
            let at = self.audit_log.binary_search_by_key(version, |e| e.version);
            let earlier = at.ok().and_then(|at| self.audit_log.get_mut(at));
            earlier.into_iter().for_each(|e| e.before.push(was.clone()));
        }
        self.audit_log.push_back(revision);
        while self.audit_log.len() > self.max_audit_log
            && self
                .audit_log
                .front()
                .is_some_and(|e| e.version <= self.needed)
        {
            let old = self.audit_log.pop_front().expect("not empty");
            self.unremember(&old);
        }
    }

    /// An entry is no longer in the trail: what it touched and nothing later did is not known any more.
    fn unremember(&mut self, old: &Revision) {
        for c in &old.changes {
            if let std::collections::hash_map::Entry::Occupied(e) =
                self.last_changed.entry(c.subject())
            {
                if *e.get() == old.version {
                    e.remove();
                }
            }
        }
    }

    /// Takes the last entry back, one that was never kept.
    pub fn revert_last(&mut self) -> Option<Revision> {
        let revision = self.audit_log.pop_back()?;
        revision.before.iter().for_each(|c| self.put(c));
        self.version = revision.from;
        for c in &revision.changes {
            let subject = c.subject();
            let touches = |e: &&Revision| e.changes.iter().any(|c| c.subject() == subject);
            match self.audit_log.iter().rev().find(touches).map(|e| e.version) {
                Some(version) => _ = self.last_changed.insert(subject, version),
                None => _ = self.last_changed.remove(&subject),
            }
        }
        Some(revision)
    }

    /// The last entry of the trail that touched a subject.
    pub fn last_changed(&self, subject: &Subject) -> Option<Version> {
        self.last_changed.get(subject).copied()
    }

    /// Drops entries up to that version from the trail, and answers them.
    pub fn forget(&mut self, upto: Version) -> Vec<Revision> {
        let n = self.audit_log.partition_point(|e| e.version <= upto);
        let old: Vec<Revision> = self.audit_log.drain(..n).collect();
        old.iter().for_each(|e| self.unremember(e));
        old
    }

    /// Whether anything that the changes touch or rest on has changed since.
    fn unchanged_since(
        &self,
        base_version: Version,
        changes: &[Change],
    ) -> Result<(), ChangeError> {
        if base_version > self.version {
            return Err(ChangeError::Ahead {
                latest: self.version,
            });
        }
        let oldest = self.audit_log.front().map_or(self.version, |e| e.version);
        if self.since(base_version).is_none() {
            return Err(ChangeError::TooOld { oldest });
        }
        // A volume that was put on a plan meanwhile does not change that plan for others.
        for subject in changes
            .iter()
            .flat_map(|c| c.rests_on().into_iter().chain([c.subject()]))
        {
            if let Some(with) = self.last_changed(&subject).filter(|v| *v > base_version) {
                let by = self.audit_log.iter().rev().find(|e| e.version == with);
                let author = by.map(|e| e.author.clone()).unwrap_or_default();
                return Err(ChangeError::Collision {
                    subject,
                    with,
                    author,
                });
            }
        }
        Ok(())
    }

    /// The change that would put a subject as it is now.
    pub fn now(&self, subject: &Subject) -> Change {
        match subject {
            Subject::Plan(name) => Change::Plan {
                name: name.clone(),
                to: self.plans.get(name).cloned(),
            },
            Subject::Volume(id) => Change::Volume {
                id: *id,
                to: self.volumes.get(id).cloned(),
            },
            Subject::Node(id) => Change::Node {
                id: *id,
                to: self.nodes.get(id).cloned(),
            },
            Subject::Drain(node) => Change::Drain {
                node: *node,
                to: self.drains.get(node).cloned(),
            },
            Subject::Target(name) => Change::Target {
                name: name.clone(),
                to: self.targets.get(name).cloned(),
            },
            Subject::Scheduled(id) => Change::Scheduled {
                id: *id,
                to: self.scheduled.get(id).cloned(),
            },
        }
    }

    fn name(&mut self, name: &Name) -> Name {
        self.names.get(name).cloned().unwrap_or_else(|| {
            self.names.insert(name.clone());
            name.clone()
        })
    }

    fn put(&mut self, change: &Change) {
        fn set<K: Ord, V>(map: &mut BTreeMap<K, V>, key: K, to: Option<V>) {
            match to {
                Some(to) => drop(map.insert(key, to)),
                None => drop(map.remove(&key)),
            }
        }
        match change.clone() {
            Change::Plan { name, to } => set(&mut self.plans, name, to),
            Change::Node { id, to } => {
                let old = self.nodes.get(&id).map(|n| n.name.clone());
                if let Some(old) = old.filter(|old| self.called.get(old) == Some(&id)) {
                    self.called.remove(&old);
                }
                if let Some(name) = to.as_ref().map(|n| &n.name).filter(|n| !n.is_empty()) {
                    self.called.insert(name.clone(), id);
                }
                set(&mut self.nodes, id, to);
            }
            Change::Drain { node, to } => set(&mut self.drains, node, to),
            Change::Target { name, to } => set(&mut self.targets, name, to),
            Change::Scheduled { id, to } => set(&mut self.scheduled, id, to),
            Change::Volume { id, to } => {
                let to = to.map(|v| self.shared(v));
                let new = to.as_ref().map(|v| v.plan.clone());
                let old = match to {
                    Some(v) => self.volumes.insert(id, v),
                    None => self.volumes.remove(&id),
                };
                let old = old.map(|v| v.plan);
                if old == new {
                    return;
                }
                if let Some(volumes_of_plan) =
                    old.and_then(|plan| self.volumes_of_plan.get_mut(&plan))
                {
                    volumes_of_plan.remove(&id);
                }
                new.into_iter()
                    .for_each(|plan| _ = self.volumes_of_plan.entry(plan).or_default().insert(id));
            }
        }
    }

    fn shared(&mut self, v: Volume) -> Volume {
        let plan = self.name(&v.plan);
        let (hosts, shards) = (
            self.host_sets.get(&v.hosts).cloned(),
            self.shard_sets.get(&v.shards).cloned(),
        );
        let hosts = hosts.unwrap_or_else(|| {
            self.host_sets.insert(v.hosts.clone());
            v.hosts
        });
        let shards = shards.unwrap_or_else(|| {
            self.shard_sets.insert(v.shards.clone());
            v.shards
        });
        Volume {
            plan,
            hosts,
            shards,
            blocks: v.blocks,
        }
    }

    /// What is wrong with a change by itself.
    fn fine(&self, change: &Change) -> Result<(), ChangeError> {
        let bad = |what: String| {
            Err(ChangeError::Figure {
                subject: change.subject(),
                what,
            })
        };
        match change {
            Change::Plan { to: Some(p), .. } => {
                let all = [
                    p.rate,
                    p.reservation,
                    p.limit,
                    p.burst,
                    p.slack,
                    p.weight,
                    p.price,
                ];
                if all.iter().any(|n| !n.is_finite() || *n < 0.0) {
                    return bad("a figure is negative or no number".into());
                }
                if p.limit <= 0.0 {
                    return Ok(());
                }
                // Below its reserve a limit would break a promise, and a host that is cut off from the feed
                // falls back to the reserve: see docs/design/plans.md.
                if p.limit < p.reservation {
                    return bad("its limit is below its reservation".into());
                }
                if p.burst <= 0.0 {
                    return bad("a limit needs a burst above 0".into());
                }
                let least = p.limit * self.facts.max_dispatch_delay.as_secs_f64();
                if p.slack < least {
                    return bad(format!(
                        "its slack is below what may still cross of its limit, {least}"
                    ));
                }
                Ok(())
            }
            Change::Volume { to: Some(v), .. } => {
                if v.hosts.is_empty() {
                    return bad("works through no host".into());
                }
                if let Some(host) = v.hosts.iter().find(|h| !self.facts.hosts.contains(*h)) {
                    return bad(format!("works through {host}, which is no host here"));
                }
                if v.hosts.iter().collect::<BTreeSet<_>>().len() < v.hosts.len() {
                    return bad("works through one host twice".into());
                }
                if v.blocks == 0 {
                    return bad("has no blocks".into());
                }
                Ok(())
            }
            Change::Node { to: Some(n), .. } if !(n.capacity.is_finite() && n.capacity >= 0.0) => {
                bad("its capacity is negative or no number".into())
            }
            Change::Node { to: Some(n), .. } if n.name.parse::<u64>().is_ok() => bad(format!(
                "its name, {}, is a number and might be another's",
                n.name
            )),
            Change::Scheduled { to: Some(t), .. } => {
                if t.changes
                    .iter()
                    .any(|c| matches!(c, Change::Scheduled { .. }))
                {
                    return bad("a timed change within a timed change".into());
                }
                t.changes.iter().try_for_each(|c| self.fine(c))
            }
            _ => Ok(()),
        }
    }
}

/// The state as changes would leave it, without a copy of all that they do not touch.
struct Overlay<'a> {
    below: &'a Catalog,
    over: BTreeMap<Subject, &'a Change>,
}

impl Overlay<'_> {
    fn plan(&self, name: &Name) -> Option<&Plan> {
        match self.over.get(&Subject::Plan(name.clone())) {
            Some(Change::Plan { to, .. }) => to.as_ref(),
            _ => self.below.plans.get(name),
        }
    }

    fn volume(&self, id: u64) -> Option<&Volume> {
        match self.over.get(&Subject::Volume(id)) {
            Some(Change::Volume { to, .. }) => to.as_ref(),
            _ => self.below.volumes.get(&id),
        }
    }

    fn node(&self, id: u32) -> Option<&Node> {
        match self.over.get(&Subject::Node(id)) {
            Some(Change::Node { to, .. }) => to.as_ref(),
            _ => self.below.nodes.get(&id),
        }
    }

    fn drains(&self, node: u32) -> bool {
        match self.over.get(&Subject::Drain(node)) {
            Some(change) => !change.ends(),
            None => self.below.drains.contains_key(&node),
        }
    }

    /// A shard that no node holds any more, if any, and a volume whose data may lie there.
    fn unheld(&self) -> Option<(u32, u64)> {
        let last_changed = self.over.keys().any(|s| matches!(s, Subject::Node(_)));
        let changed = self.over.values().filter_map(|c| match c {
            Change::Volume { id, to: Some(_) } => Some(*id),
            _ => None,
        });
        // Only a change of nodes can leave a volume behind that it does not touch itself.
        let all: Vec<u64> = if last_changed {
            self.below.volumes.keys().copied().collect()
        } else {
            Vec::new()
        };
        let ids: BTreeSet<u32> = self.below.nodes.keys().copied().collect();
        let new = self.over.keys().filter_map(|s| {
            if let Subject::Node(n) = s {
                Some(*n)
            } else {
                None
            }
        });
        let nodes = ids.into_iter().chain(new).filter_map(|n| self.node(n));
        let shards: BTreeSet<u32> = nodes.map(|n| n.shard).collect();
        if shards.is_empty() {
            return None; // nothing is said of nodes here
        }
        let volumes = changed
            .chain(all)
            .filter_map(|id| Some((id, self.volume(id)?)));
        let shortfall = |v: &Volume| v.shards.iter().copied().find(|c| !shards.contains(c));
        volumes
            .filter_map(|(id, v)| Some((shortfall(v)?, id)))
            .next()
    }

    /// Whether what is left hangs together.
    fn check_references(&self) -> Result<(), ChangeError> {
        for (subject, change) in &self.over {
            if change.ends() && self.below.now(subject).ends() {
                return Err(ChangeError::Unknown(subject.clone()));
            }
            match change {
                Change::Plan { name, to: None } => {
                    let stays = |id: &&u64| self.volume(**id).is_some_and(|v| v.plan == *name);
                    let volumes_of_plan =
                        self.below.volumes_of_plan.get(name).into_iter().flatten();
                    if let Some(by) = volumes_of_plan.into_iter().find(stays) {
                        return Err(ChangeError::InUse {
                            what: subject.clone(),
                            by: Subject::Volume(*by),
                        });
                    }
                }
                Change::Volume { id, to: None } => {
                    let holds = |name: &Name, volumes: &Arc<[u64]>| {
                        let left = match self.over.get(&Subject::Target(name.clone())) {
                            Some(Change::Target { to, .. }) => to.as_ref(),
                            _ => Some(volumes),
                        };
                        left.is_some_and(|t| t.contains(id))
                    };
                    if let Some((name, _)) = self.below.targets.iter().find(|(n, t)| holds(n, t)) {
                        let by = Subject::Target(name.clone());
                        return Err(ChangeError::InUse {
                            what: subject.clone(),
                            by,
                        });
                    }
                }
                Change::Volume { to: Some(v), .. } if self.plan(&v.plan).is_none() => {
                    return Err(ChangeError::Unknown(Subject::Plan(v.plan.clone())));
                }
                Change::Drain { node, to: Some(_) } if self.node(*node).is_none() => {
                    return Err(ChangeError::Unknown(Subject::Node(*node)));
                }
                Change::Drain { node, to: Some(to) } => {
                    let was = self.below.drain(*node).map(|d| d.stage);
                    if !Stage::may_follow(was, Some(to.stage)) {
                        let was = was.map_or("none", Stage::name);
                        let what = format!("cannot go from {was} to {}", to.stage.name());
                        return Err(ChangeError::Figure {
                            subject: subject.clone(),
                            what,
                        });
                    }
                }
                Change::Node { id, to: Some(n) } if !n.name.is_empty() => {
                    let own = |other: &u32| {
                        *other != *id && self.node(*other).is_some_and(|o| o.name == n.name)
                    };
                    let below = self.below.called.get(&n.name).copied().filter(own);
                    let exclusion_reason = self.over.keys().find_map(|s| match s {
                        Subject::Node(other) if own(other) => Some(*other),
                        _ => None,
                    });
                    if let Some(other) = below.or(exclusion_reason) {
                        let what = format!("node {other} is called {} as well", n.name);
                        return Err(ChangeError::Figure {
                            subject: subject.clone(),
                            what,
                        });
                    }
                }
                Change::Node { id, to: None } if self.drains(*id) => {
                    return Err(ChangeError::InUse {
                        what: subject.clone(),
                        by: Subject::Drain(*id),
                    });
                }
                Change::Target { to: Some(t), .. } => {
                    if let Some(v) = t.iter().find(|v| self.volume(**v).is_none()) {
                        return Err(ChangeError::Unknown(Subject::Volume(*v)));
                    }
                }
                _ => {}
            }
        }
        if let Some((shard, volume)) = self.unheld() {
            let what = format!("its data may lie in cell {shard}, which no node holds");
            return Err(ChangeError::Figure {
                subject: Subject::Volume(volume),
                what,
            });
        }
        Ok(())
    }

    /// Whether a host that knows only what was before may hold itself entitled to more of a limited volume
    /// than it is now: see [`crate::feed`].
    fn lowers_limits(&self) -> bool {
        let of_plan = |name: &Name| {
            let (was, is) = (self.below.plans.get(name), self.plan(name));
            let volumes_of_plan = || {
                self.below
                    .volumes_of_plan
                    .get(name)
                    .is_some_and(|s| !s.is_empty())
            };
            is.is_some_and(|is| {
                is.limit > 0.0 && was.is_some_and(|was| lowered(was, is)) && volumes_of_plan()
            })
        };
        let of_volume = |id: u64| {
            let Some(v) = self.volume(id) else {
                return false;
            };
            let Some(is) = self.plan(&v.plan).filter(|p| p.limit > 0.0) else {
                return false;
            };
            let Some(was) = self.below.volumes.get(&id) else {
                // One of that name may have been before, and somebody may still know that one.
                return self.below.last_changed(&Subject::Volume(id)).is_some();
            };
            let fewer =
                was.hosts.iter().any(|h| !v.hosts.contains(h)) || v.hosts.len() > was.hosts.len();
            fewer
                || self
                    .below
                    .plans
                    .get(&was.plan)
                    .is_none_or(|p| lowered(p, is))
        };
        self.over.values().any(|c| match c {
            Change::Plan { name, .. } => of_plan(name),
            Change::Volume { id, .. } => of_volume(*id),
            _ => false,
        })
    }
}

/// What can never be taken from a host unheard, its part of the reservation and of the burst, shrinks.
fn lowered(was: &Plan, is: &Plan) -> bool {
    was.limit <= 0.0 || is.reservation < was.reservation || is.burst < was.burst
}
