//! How nodes are drained, and what all hosts together see of them.
//!
//! Called as `step(now, wall, events)` for every batch of what the catalog, the hosts and the disk brought,
//! which answers what to propose to the catalog, what to tell admission and what to tell people;
//! [`Membership::wake_at`] says when it must be called again. Wanted at any time, and brought about by
//! `bring`: that each drain stands at the stage that what is known allows, and that admission knows which
//! nodes are not as they should be.
//!
//! A drain goes: asked for (perhaps waiting for its turn), told to every host, quiet, empty, out. Its stages
//! lie in the catalog, each a change of its own that is kept and told like any other, so that a crash at any
//! moment finds it where it was; between them only hosts know, and tell it again to whoever starts anew:
//!
//! - a host is *told* once it has said that it keeps the catalog up to the drain and that nothing decided
//!   before can still cross. One that was never heard of serves nothing; one that is dead holds the drain up
//!   until it is back or an operator answers for it, since it might send again on what it knew;
//! - a node is *quiet* at a host that counted its attempts after it followed the drain and found none, once those
//!   that ended without a word have had the longest time that any may take. What a host had out when the way
//!   to it was lost, or an earlier process of it up to when the next one came, is given twice that: to end,
//!   and to be over at the node;
//! - a node is *empty* when every host is told and quiet. It does not go back: nobody sends to it any more.
//!
//! One that waits is proposed when nothing in its zone is known to speak against it, the one that asked first
//! before the others of its zone; admission has the last word, at each try anew. A drain that is not empty
//! within its time is given up, and the node serves again: its operator wanted it soon or not at all. Time is
//! counted by this process's clock; over a start by the wall clock, which may have stepped, so at least
//! [`ANEW`] remains.
//!
//! At a start everything that the catalog has goes into one step: a drain whose hosts come in a later one
//! would be taken for one that no host need be told of.
//!
//! Without input or output. Memory: a few words for each node and host, and for each node that is known.

use crate::node_status::{node_status, Answers, ListedState, NodeStatus, Reading, Said, Wins};
use grebecleat_plans::admission::{excluded_in_zone, ExclusionReason};
use grebecleat_plans::feed::HostNumber;
use grebecleat_plans::records::{Drain, Name, Stage, Version};
use std::collections::{BTreeMap, BTreeSet};
use std::hash::{Hash, Hasher};
use std::time::Duration;

/// What a drain that has a time keeps of it at a start of ours, whatever the wall clock says.
pub const ANEW: Duration = Duration::from_secs(10);
/// One that waits is proposed again after this, if nothing that is known here has changed: what keeps it may
/// be elsewhere in the catalog.
const AGAIN: Duration = Duration::from_secs(5);

/// What one host sees of a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
pub struct Sight {
    pub word: ListedState,
    pub start: u64,
    /// Since the process started; None: long ago.
    pub age: Option<Duration>,
    pub revision: u64,
    pub answers: Answers,
    /// Up to where it followed the catalog when it counted.
    pub follows: Version,
    /// Attempts that have crossed and not ended.
    pub attempts: u32,
    /// For so long may run there what ended without a word.
    pub unsure: Duration,
    /// Extents that its portal knows to lie there; None: it has no portal.
    pub extents: Option<u64>,
}

#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// A node of the catalog, as it is kept; None: it is no more.
    Node {
        node: u32,
        to: Option<NodeFacts>,
    },
    /// A drain, as it is kept.
    Drain {
        node: u32,
        to: Option<Drain>,
        version: Version,
    },
    /// The catalog is kept up to there.
    Persisted {
        version: Version,
    },
    /// What that host has said to have, with nothing older crossing; None: it was never heard of.
    Acknowledged {
        host: HostNumber,
        version: Option<Version>,
    },
    /// Somebody answers for it that this host sends nothing, until it is heard of again.
    HostRemoved {
        host: HostNumber,
    },
    /// There is a way to that host, and which start of its process that is; or none any more.
    Up {
        host: HostNumber,
        process: u64,
    },
    Lost {
        host: HostNumber,
    },
    Seen {
        host: HostNumber,
        node: u32,
        sight: Sight,
    },
    /// What came of a proposal.
    Committed {
        ask: Ask,
    },
    Rejected {
        ask: Ask,
        reason: String,
    },
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, Default)]
pub struct NodeFacts {
    pub name: Name,
    pub zone: Name,
    pub shard: u32,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ask(pub u64);

#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// To the catalog, as one who looked at that version.
    Propose {
        ask: Ask,
        node: u32,
        to: Option<Drain>,
        base_version: Version,
        reason: String,
    },
    /// To admission.
    Unfit {
        node: u32,
        how: Option<ExclusionReason>,
    },
    /// For people: what has become of a node.
    Note { node: u32, text: String },
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Seen {
    sight: Sight,
    /// When it came.
    at: Duration,
    started: Option<Duration>,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, Default)]
struct Host {
    /// None: it was never heard of.
    sure: Option<Version>,
    gone: bool,
    up: bool,
    process: Option<u64>,
    /// When the last that an earlier process of it may have had out is over: to end there, and at the node.
    over: Duration,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, Default)]
struct Node {
    facts: NodeFacts,
    known: bool,
    seen: BTreeMap<HostNumber, Seen>,
    wish: Option<Wish>,
    node_status: NodeStatus,
    wins: Wins,
    /// What admission was told.
    unfit: Option<ExclusionReason>,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Wish {
    stage: Stage,
    within: Duration,
    author: Name,
    asked: Duration,
    since: Duration,
    version: Version,
    /// When it is given up, by our clock; None: never.
    until: Option<Duration>,
    /// The most attempts that were seen out since it goes.
    most: u32,
    /// Why it still waits, and when it is tried again.
    waits: String,
    again: Duration,
    /// On its way to the catalog, and to which stage.
    asking: Option<(Ask, Option<Stage>)>,
}

/// How far a drain is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Phase {
    Waits {
        reason: String,
    },
    /// These hosts have not said that they know of it; and whether they can be heard at all.
    Telling {
        hosts: Vec<(HostNumber, bool)>,
    },
    /// Attempts that are out, of the most that were, and for how long at the least what is out may run.
    Quiescing {
        attempts: u32,
        most: u32,
        unsure: Duration,
    },
    /// Nothing is under way. What speaks against taking it out all the same.
    Empty {
        objections: Vec<String>,
    },
    Out,
}

/// A node, for whoever shows it.
#[derive(Debug, Clone, PartialEq)]
pub struct NodeView<'a> {
    pub node: u32,
    pub facts: &'a NodeFacts,
    pub node_status: NodeStatus,
    pub wins: Wins,
    pub reading: Reading,
    /// Since its process started; None: long, or not known.
    pub up: Option<Duration>,
    pub drain: Option<DrainView<'a>>,
}

#[derive(Debug, Clone, PartialEq)]
pub struct DrainView<'a> {
    pub author: &'a str,
    pub asked: Duration,
    pub since: Duration,
    /// Until it is given up.
    pub left: Option<Duration>,
    pub phase: Phase,
    /// Extents that lie there and on no other node.
    pub extents: Option<u64>,
}

#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Membership {
    warm_up_time: Duration,
    longest: Duration,
    now: Duration,
    wall: Duration,
    version: Version,
    hosts: BTreeMap<HostNumber, Host>,
    nodes: BTreeMap<u32, Node>,
    next: u64,
    dirty: BTreeSet<u32>,
    /// Something changed that a waiting drain may have waited for.
    stirred: bool,
}

/// For explorers: how many questions were asked before makes no difference to what follows.
impl Hash for Membership {
    fn hash<H: Hasher>(&self, to: &mut H) {
        (
            self.now,
            self.wall,
            self.version,
            &self.hosts,
            &self.nodes,
            &self.dirty,
            self.stirred,
        )
            .hash(to);
    }
}

fn text(span: Duration) -> String {
    match span.as_secs() {
        s if s < 10 => format!("{:.1} s", span.as_secs_f64()),
        s if s < 120 => format!("{s} s"),
        s => format!("{} min", s / 60),
    }
}

impl Membership {
    /// `warm_up_time`: until a node that started can do all its work; `longest`: an attempt may take at most.
    pub fn new(
        now: Duration,
        warm_up_time: Duration,
        longest: Duration,
        hosts: impl IntoIterator<Item = HostNumber>,
    ) -> Self {
        // What hosts had out before this process was there, they may have lost since, and not know of any
        // more.
        let host = Host {
            over: now + longest * 2,
            ..Host::default()
        };
        Membership {
            warm_up_time,
            longest,
            now,
            wall: Duration::ZERO,
            version: Version(0),
            hosts: hosts.into_iter().map(|h| (h, host.clone())).collect(),
            nodes: BTreeMap::new(),
            next: 0,
            dirty: BTreeSet::new(),
            stirred: false,
        }
    }

    pub fn step(&mut self, now: Duration, wall: Duration, events: Vec<Event>) -> Vec<Action> {
        (self.now, self.wall) = (now.max(self.now), wall);
        let mut out = Vec::new();
        events.into_iter().for_each(|e| self.hear(e, &mut out));
        let timed = |n: &&u32| self.due(**n).is_some_and(|at| at <= self.now);
        let due: Vec<u32> = self.nodes.keys().filter(timed).copied().collect();
        self.dirty.extend(due);
        for node in std::mem::take(&mut self.dirty) {
            self.settle_life(node, &mut out);
        }
        self.bring(&mut out);
        out
    }

    /// When `step` must be called again if nothing happens before.
    pub fn wake_at(&self) -> Option<Duration> {
        self.nodes
            .keys()
            .filter_map(|n| self.due(*n))
            .filter(|at| *at > self.now)
            .min()
    }

    /// When time alone may change something of a node.
    fn due(&self, node: u32) -> Option<Duration> {
        let n = &self.nodes[&node];
        let warm = self
            .reading(n)
            .and_then(|r| r.started)
            .map(|s| s + self.warm_up_time);
        let warm = warm.filter(|_| n.node_status == NodeStatus::Warming);
        let Some(w) = &n.wish else { return warm };
        let quiet = (w.stage == Stage::Draining)
            .then(|| self.quiet_at(node))
            .flatten();
        let again = (w.stage == Stage::Queued && w.asking.is_none()).then_some(w.again);
        let until = w
            .until
            .filter(|_| w.stage == Stage::Draining && w.asking.is_none());
        [warm, quiet, again, until].into_iter().flatten().min()
    }

    fn hear(&mut self, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Node { node, to } => {
                let n = self.nodes.entry(node).or_default();
                n.known = to.is_some();
                n.facts = to.unwrap_or_default();
                self.dirty.insert(node);
                self.stirred = true;
            }
            Event::Drain { node, to, version } => self.wished(node, to, version, out),
            Event::Persisted { version } => self.version = self.version.max(version),
            Event::Acknowledged { host, version } => {
                let h = self.hosts.entry(host).or_default();
                // Whoever is heard of is not gone, whatever was said before.
                h.gone &= h.sure == version;
                h.sure = version;
            }
            Event::HostRemoved { host } => self.hosts.entry(host).or_default().gone = true,
            Event::Up { host, process } => {
                let over = self.now + self.longest * 2;
                let h = self.hosts.entry(host).or_default();
                (h.up, h.gone) = (true, false);
                // The one before may have sent up to now; the same one counts what it has out by itself.
                if h.process.replace(process) != Some(process) {
                    h.over = over;
                }
            }
            Event::Lost { host } => {
                let over = self.now + self.longest * 2;
                let h = self.hosts.entry(host).or_default();
                (h.up, h.over) = (false, over);
                // Whoever comes back may be another process, which knows less than the one that counted: its
                // attempts must not be missed for the other's having had none.
                let sights = self
                    .nodes
                    .values_mut()
                    .filter_map(|n| n.seen.get_mut(&host));
                sights.for_each(|s| {
                    s.sight = Sight {
                        follows: Version(0),
                        answers: Answers::None,
                        ..s.sight
                    }
                });
            }
            Event::Seen { host, node, sight } => self.see(host, node, sight),
            Event::Committed { ask } => self.asked(ask, String::new()),
            Event::Rejected { ask, reason } => self.asked(ask, reason),
        }
    }

    fn wished(&mut self, node: u32, to: Option<Drain>, version: Version, out: &mut Vec<Action>) {
        let (now, wall) = (self.now, self.wall);
        let n = self.nodes.entry(node).or_default();
        let was = n.wish.take();
        self.dirty.insert(node);
        self.stirred = true;
        let Some(d) = to else {
            if was.is_some() {
                out.push(Action::Note {
                    node,
                    text: "no longer drained".into(),
                });
            }
            return;
        };
        let went = was.as_ref().is_some_and(|w| w.stage == d.stage);
        let since = was.as_ref().filter(|_| went).and_then(|w| w.until);
        // Of a drain that was there before this process is only known when it went by the wall clock.
        let spent = wall
            .saturating_sub(d.since)
            .min(d.within.saturating_sub(ANEW));
        let until = since.or_else(|| (!d.within.is_zero()).then(|| now + (d.within - spent)));
        if !went {
            let text = match d.stage {
                Stage::Queued => format!("{} wants it empty, in its turn", d.author),
                Stage::Draining => format!("drains, as {} wants", d.author),
                Stage::Drained => "empty: nothing that was sent to it is under way".into(),
                Stage::Removed => "taken out".into(),
            };
            out.push(Action::Note { node, text });
        }
        n.wish = Some(Wish {
            stage: d.stage,
            within: d.within,
            author: d.author,
            asked: d.asked,
            since: d.since,
            version,
            until,
            most: was.as_ref().filter(|_| went).map_or(0, |w| w.most),
            waits: String::new(),
            again: now,
            // What was asked of the catalog before may be answered yet, and then counts for nothing.
            asking: None,
        });
    }

    fn see(&mut self, host: HostNumber, node: u32, sight: Sight) {
        let (now, n) = (self.now, self.nodes.entry(node).or_default());
        let before = n.seen.get(&host).filter(|s| s.sight.start == sight.start);
        // One start has one moment, or each look would seem a start of its own.
        let started = before.and_then(|s| s.started);
        let started = started.or_else(|| sight.age.map(|age| now.saturating_sub(age)));
        n.seen.insert(
            host,
            Seen {
                sight,
                at: now,
                started,
            },
        );
        if let Some(w) = n.wish.as_mut().filter(|w| w.stage == Stage::Draining) {
            w.most = w.most.max(n.seen.values().map(|s| s.sight.attempts).sum());
        }
        self.dirty.insert(node);
    }

    fn asked(&mut self, ask: Ask, reason: String) {
        let (now, of) = (self.now, |n: &&mut Node| {
            n.wish.as_ref().is_some_and(|w| is(w, ask))
        });
        fn is(w: &Wish, ask: Ask) -> bool {
            w.asking.is_some_and(|a| a.0 == ask)
        }
        let Some(n) = self.nodes.values_mut().find(of) else {
            return;
        };
        let w = n.wish.as_mut().expect("looked at above");
        // Landed: what it changed comes as the catalog's own word.
        w.asking = None;
        (w.waits, w.again) = (reason, now + AGAIN);
    }

    /// The list's word on a node that is to be believed.
    fn reading(&self, n: &Node) -> Option<Reading> {
        let reading = |s: &Seen| {
            let Sight {
                word,
                start,
                revision,
                ..
            } = s.sight;
            Reading {
                word,
                start,
                started: s.started,
                revision,
            }
        };
        let told = n
            .seen
            .values()
            .map(reading)
            .filter(|r| r.word != ListedState::Never);
        told.reduce(|a, b| if b.beats(&a) { b } else { a })
    }

    fn said(&self, n: &Node) -> Said {
        let r = self.reading(n).unwrap_or_default();
        let cold = r.started.is_some_and(|s| self.now < s + self.warm_up_time);
        let answers = n
            .seen
            .values()
            .filter(|s| s.sight.start == r.start)
            .map(|s| s.sight.answers);
        // One host's good word is worth more than many that hear nothing: it is on their way then.
        let answers = answers.max_by_key(|a| match a {
            Answers::None => 0,
            Answers::Bad => 1,
            Answers::Good => 2,
        });
        let out = n.wish.as_ref().filter(|w| w.stage == Stage::Removed);
        // By the wall clock, which both the catalog's times and, through it, ages are put on.
        let began = r
            .started
            .map(|s| self.wall.saturating_sub(self.now.saturating_sub(s)));
        let anew = out.zip(began).is_some_and(|(w, began)| began > w.since);
        let wish = n.wish.as_ref().map(|w| w.stage);
        Said {
            wish,
            word: r.word,
            answers: answers.unwrap_or_default(),
            cold,
            anew,
        }
    }

    fn settle_life(&mut self, node: u32, out: &mut Vec<Action>) {
        let n = &self.nodes[&node];
        let (is, wins) = node_status(&self.said(n));
        let (was, known) = (n.node_status, n.known);
        let how = match is {
            _ if !known => None,
            NodeStatus::Warming => Some(ExclusionReason::Cold),
            NodeStatus::Suspect => Some(ExclusionReason::Suspect),
            // Who drains is told to admission by the catalog itself.
            NodeStatus::Out if !self.holds(node) => Some(ExclusionReason::Removed),
            _ => None,
        };
        let n = self.nodes.get_mut(&node).expect("looked up above");
        (n.node_status, n.wins) = (is, wins);
        if n.unfit != how {
            n.unfit = how;
            self.stirred = true;
            out.push(Action::Unfit { node, how });
        }
        if was != is && known {
            out.push(Action::Note {
                node,
                text: format!("{is}, by {wins}; it was {was}"),
            });
        }
    }

    /// Hosts that might still send to a node whose drain has that version, and whether they can be heard.
    fn untold(&self, version: Version) -> Vec<(HostNumber, bool)> {
        let may = |h: &Host| !h.gone && h.sure.is_some_and(|sure| sure < version);
        self.hosts
            .iter()
            .filter(|(_, h)| may(h))
            .map(|(no, h)| (*no, h.up))
            .collect()
    }

    /// When the last that any host had out there is over, as far as is known: None while some host still
    /// counts attempts, or has not counted since it follows.
    fn quiet_at(&self, node: u32) -> Option<Duration> {
        let n = &self.nodes[&node];
        let version = n.wish.as_ref()?.version;
        let mut at = Duration::ZERO;
        for (no, h) in self.hosts.iter().filter(|(_, h)| h.sure.is_some()) {
            let counted = n.seen.get(no).filter(|s| s.sight.follows >= version);
            at = at.max(match counted {
                _ if !h.up => h.over,
                Some(s) if s.sight.attempts == 0 => h.over.max(s.at + s.sight.unsure),
                _ => return None,
            });
        }
        Some(at)
    }

    fn attempts(&self, n: &Node) -> u32 {
        n.seen
            .iter()
            .filter(|(no, _)| self.hosts.get(no).is_some_and(|h| h.up))
            .map(|(_, s)| s.sight.attempts)
            .sum()
    }

    /// Other nodes of its zone that keep a drain from going, as far as is known here.
    fn coincides(&self, node: u32) -> Vec<(u32, ExclusionReason)> {
        let zone = |n: u32| self.nodes.get(&n).map(|n| n.facts.zone.clone());
        let others = self.nodes.iter().filter_map(|(id, n)| {
            let drains = n.wish.as_ref().is_some_and(|w| w.stage != Stage::Queued);
            Some((
                *id,
                if drains {
                    Some(ExclusionReason::Drains)
                } else {
                    n.unfit
                }?,
            ))
        });
        excluded_in_zone(node, zone, others)
    }

    /// Whether one that waits in the same zone asked before it.
    fn before(&self, node: u32) -> Option<u32> {
        let me = &self.nodes[&node];
        let asked = |n: &Node| {
            n.wish
                .as_ref()
                .filter(|w| w.stage == Stage::Queued)
                .map(|w| w.asked)
        };
        let mine = (asked(me)?, node);
        let others = self
            .nodes
            .iter()
            .filter(|(_, n)| n.facts.zone == me.facts.zone);
        let others = others.filter_map(|(id, n)| Some((asked(n)?, *id)));
        others.filter(|o| *o < mine).min().map(|o| o.1)
    }

    /// The stage to which a drain should go now, and why; None: it stays where it is. Inside: None, it ends.
    fn wanted(&mut self, node: u32) -> Option<(Option<Stage>, String)> {
        let n = &self.nodes[&node];
        let w = n.wish.as_ref().filter(|w| w.asking.is_none())?;
        match w.stage {
            Stage::Queued => {
                let waits = match (self.before(node), &self.coincides(node)[..]) {
                    (Some(other), _) => format!("node {other} of its zone asked before it"),
                    (_, []) => String::new(),
                    (_, with) => {
                        let each: Vec<String> = with
                            .iter()
                            .map(|(n, how)| format!("node {n} {how}"))
                            .collect();
                        each.join(" and ")
                    }
                };
                let (free, due) = (waits.is_empty(), self.stirred || w.again <= self.now);
                let w = self.nodes.get_mut(&node)?.wish.as_mut()?;
                if !free {
                    (w.waits, w.again) = (waits, self.now + AGAIN);
                    return None;
                }
                due.then(|| (Some(Stage::Draining), "its turn has come".into()))
            }
            Stage::Draining => {
                let told = self.untold(w.version).is_empty();
                if told && self.quiet_at(node).is_some_and(|at| at <= self.now) {
                    return Some((
                        Some(Stage::Drained),
                        "nothing is under way at any host".into(),
                    ));
                }
                let up = w.until.is_some_and(|until| until <= self.now);
                up.then(|| {
                    (
                        None,
                        format!("given up: not empty within {}", text(w.within)),
                    )
                })
            }
            Stage::Drained => {
                let gone = self.reading(n).is_some_and(|r| r.word == ListedState::Gone);
                gone.then(|| (Some(Stage::Removed), "the list says that it is gone".into()))
            }
            Stage::Removed => None,
        }
    }

    /// Proposes what is wanted of each drain and is not so.
    fn bring(&mut self, out: &mut Vec<Action>) {
        let wished: Vec<u32> = self
            .nodes
            .iter()
            .filter(|(_, n)| n.wish.is_some())
            .map(|(id, _)| *id)
            .collect();
        for node in wished {
            let Some((to, reason)) = self.wanted(node) else {
                continue;
            };
            self.next += 1;
            let (ask, base_version) = (Ask(self.next), self.version);
            let w = self
                .nodes
                .get_mut(&node)
                .and_then(|n| n.wish.as_mut())
                .expect("wanted of it");
            w.asking = Some((ask, to));
            let drain = to.map(|stage| Drain {
                stage,
                within: w.within,
                author: w.author.clone(),
                asked: w.asked,
                since: w.since,
            });
            out.push(Action::Propose {
                ask,
                node,
                to: drain,
                base_version,
                reason,
            });
        }
        self.stirred = false;
    }

    /// Whether hosts send a node nothing new, as far as the catalog says.
    pub fn holds(&self, node: u32) -> bool {
        let wish = self.nodes.get(&node).and_then(|n| n.wish.as_ref());
        wish.is_some_and(|w| w.stage != Stage::Queued)
    }

    pub fn node_status(&self, node: u32) -> NodeStatus {
        self.nodes
            .get(&node)
            .map_or(NodeStatus::Unknown, |n| n.node_status)
    }

    /// `missing`: reserves that cannot be met as it is, units a second, for what speaks against taking one
    /// out.
    pub fn shown(&self, missing: f64) -> impl Iterator<Item = NodeView<'_>> + '_ {
        self.nodes
            .iter()
            .filter(|(_, n)| n.known)
            .map(move |(id, n)| self.show(*id, n, missing))
    }

    /// One of them.
    pub fn show_one(&self, node: u32, missing: f64) -> Option<NodeView<'_>> {
        self.nodes
            .get(&node)
            .filter(|n| n.known)
            .map(|n| self.show(node, n, missing))
    }

    fn show<'a>(&'a self, node: u32, n: &'a Node, missing: f64) -> NodeView<'a> {
        let drain = n.wish.as_ref().map(|w| {
            let extents = self.alone(node, n);
            let phase = match w.stage {
                Stage::Queued => Phase::Waits {
                    reason: w.waits.clone(),
                },
                Stage::Draining => match self.untold(w.version) {
                    hosts if hosts.is_empty() => {
                        let over = self.quiet_at(node).unwrap_or(self.now);
                        let unsure = over.saturating_sub(self.now);
                        Phase::Quiescing {
                            attempts: self.attempts(n),
                            most: w.most,
                            unsure,
                        }
                    }
                    hosts => Phase::Telling { hosts },
                },
                Stage::Drained => {
                    let lies = match extents {
                        Some(0) => None,
                        Some(n) => Some(format!("{n} extents lie there and nowhere else")),
                        None => Some("whether data lies there alone is not known here".into()),
                    };
                    let short = (missing > 0.0).then(|| {
                        format!("{missing:.1} units a second of reserves cannot be met without it")
                    });
                    Phase::Empty {
                        objections: lies.into_iter().chain(short).collect(),
                    }
                }
                Stage::Removed => Phase::Out,
            };
            let left = w
                .until
                .filter(|_| w.stage == Stage::Draining)
                .map(|u| u.saturating_sub(self.now));
            DrainView {
                author: &w.author,
                asked: w.asked,
                since: w.since,
                left,
                phase,
                extents,
            }
        });
        let reading = self.reading(n).unwrap_or_default();
        let up = reading.started.map(|s| self.now.saturating_sub(s));
        NodeView {
            node,
            facts: &n.facts,
            node_status: n.node_status,
            wins: n.wins,
            reading,
            up,
            drain,
        }
    }

    /// Extents that lie on that node and on no other that is ready.
    fn alone(&self, node: u32, n: &Node) -> Option<u64> {
        let shard = n.facts.shard;
        let mut others = self
            .nodes
            .iter()
            .filter(|(id, o)| **id != node && o.known && o.facts.shard == shard);
        let elsewhere = others.any(|(_, o)| {
            o.wish.is_none() && matches!(o.node_status, NodeStatus::Ready | NodeStatus::Warming)
        });
        let counted = n.seen.values().filter_map(|s| s.sight.extents);
        let all = counted.reduce(|a, b| a + b);
        all.map(|n| if elsewhere { 0 } else { n })
    }
}
