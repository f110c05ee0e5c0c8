//! All that can happen to drains of two nodes of one zone, explored: two operators, one of whom may have
//! looked at an older state, hosts that follow, keep and say so in steps of their own, sights that come late,
//! a list that lags, attempts that end in time or without a word, hosts and a state service that die and start
//! anew, ways that are cut, nodes that restart. In every state the invariants of [`World::check`] hold, and
//! from a sample of them, once nothing goes wrong any more, every drain that goes comes to be empty. Worlds
//! with a fault planted on purpose must show it.
//!
//! Attempts go to the first node alone: nodes meet only in what their drains may coincide with.

use grebecleat_membership::drains::{Action, Event, Membership, NodeFacts, Sight};
use grebecleat_membership::node_status::{Answers, ListedState, NodeStatus};
use grebecleat_plans::admission::{excluded_in_zone, ExclusionReason};
use grebecleat_plans::feed::HostNumber;
use grebecleat_plans::records::{Drain, Stage, Version};
use std::collections::HashSet;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

const NODES: usize = 2;
const LONGEST: u64 = 1;
const WARM: u64 = 1;
const BEGIN: u64 = 10;

fn ticks(n: u64) -> Duration {
    Duration::from_secs(n)
}

/// What is wrong on purpose, on the other side of the decisions' interface.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    None,
    /// A host says that it has what it follows before that is on its disk.
    SaysBeforeItKeeps,
    /// A host counts its attempts and then says that it followed what came after.
    CountsThenFollows,
    /// Attempts that ended without a word are taken for over.
    ForgetsTheUnsure,
    /// The service does not tell that the way to a host is lost.
    LossUntold,
    /// A service that starts anew takes it that nothing is out.
    StartsInTheDark,
    /// Admission does not look at what a drain coincides with.
    NoAdmission,
    /// A host that follows a drain sends all the same.
    SendsAfterAll,
}

type Drains = [Option<Stage>; NODES];

fn holds(stage: Option<Stage>) -> bool {
    stage.is_some_and(|s| s != Stage::Queued)
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, Default)]
struct Host {
    alive: bool,
    process: u64,
    /// What this host and the service think of the way between them.
    linked: bool,
    heard: bool,
    follows: (u64, Drains),
    kept: (u64, Drains),
    /// Said, and on its way.
    said: Option<u64>,
    /// Its last sight on this way, and whether that has come.
    sights: Option<([Sight; NODES], bool)>,
    /// When the attempt out was sent, and until when an earlier one may run.
    attempt: Option<u64>,
    unsure: u64,
    /// What its list last said of the first node.
    list: (ListedState, u64),
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, Default)]
struct Node {
    up: bool,
    start: u64,
    started: Option<u64>,
    /// What lost or late hosts sent may run until then.
    runs: u64,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct World {
    now: u64,
    version: u64,
    drains: Drains,
    touched: [(u64, u8); NODES],
    unfit: [Option<ExclusionReason>; NODES],
    members: Membership,
    applied: Vec<Option<u64>>,
    hosts: Vec<Host>,
    node: Node,
    /// What the second operator has looked at.
    looked: u64,
    acts: u8,
    mishaps: u8,
    /// Attempts that were sent.
    sent: u8,
}

struct Model {
    fault: Fault,
    hosts: usize,
    last_tick: u64,
    acts: u8,
    mishaps: u8,
    attempts: u8,
    /// Whether the node restarts as well.
    restarts: bool,
}

const MACHINE: u8 = 9;

/// What operators ask for: who, of which node, and what.
const ACTS: [(u8, usize, Option<Stage>); 5] = [
    (0, 0, Some(Stage::Draining)),
    (0, 0, None),
    (1, 0, None),
    (1, 1, Some(Stage::Draining)),
    (1, 1, Some(Stage::Queued)),
];

impl Model {
    fn first(&self) -> World {
        let (at, list) = ((1, [None; NODES]), (ListedState::Ready, 1));
        let host = Host {
            alive: true,
            linked: true,
            heard: true,
            follows: at,
            kept: at,
            list,
            ..Host::default()
        };
        let mut w = World {
            now: BEGIN,
            version: 1,
            drains: [None; NODES],
            touched: [(0, 0); NODES],
            unfit: [None; NODES],
            members: Membership::new(ticks(0), ticks(WARM), ticks(LONGEST), []),
            applied: vec![Some(1); self.hosts],
            hosts: vec![host; self.hosts],
            node: Node {
                up: true,
                start: 1,
                ..Node::default()
            },
            looked: 1,
            acts: 0,
            mishaps: 0,
            sent: 0,
        };
        self.start_service(&mut w, ticks(0));
        let up = (0..self.hosts as u32)
            .map(|h| Event::Up {
                host: HostNumber(h),
                process: 0,
            })
            .collect();
        self.tell(&mut w, up);
        w
    }

    fn start_service(&self, w: &mut World, now: Duration) {
        let hosts = (0..self.hosts as u32).map(HostNumber);
        w.members = Membership::new(now, ticks(WARM), ticks(LONGEST), hosts);
        w.unfit = [None; NODES];
        let mut events = vec![Event::Persisted {
            version: Version(w.version),
        }];
        for n in 0..NODES {
            let facts = NodeFacts {
                zone: "a".into(),
                shard: n as u32,
                ..NodeFacts::default()
            };
            events.push(Event::Node {
                node: n as u32,
                to: Some(facts),
            });
            let to = w.drains[n].map(|stage| Drain {
                stage,
                ..Drain::default()
            });
            let version = Version(w.touched[n].0);
            events.extend(to.is_some().then_some(Event::Drain {
                node: n as u32,
                to,
                version,
            }));
        }
        for (h, applied) in w.applied.iter().enumerate() {
            events.push(Event::Acknowledged {
                host: HostNumber(h as u32),
                version: applied.map(Version),
            });
        }
        self.tell(w, events);
    }

    /// The catalog: optimistic versions, drains that go one way, and admission's look at the zone.
    fn propose(
        &self,
        w: &mut World,
        by: u8,
        n: usize,
        to: Option<Stage>,
        looked: u64,
    ) -> Result<(), String> {
        if w.touched[n].0 > looked {
            return Err(format!("changed meanwhile by {}", w.touched[n].1));
        }
        if w.drains[n] == to || !Stage::may_follow(w.drains[n], to) {
            return Err("nothing to change".into());
        }
        if holds(to) && !holds(w.drains[n]) && self.fault != Fault::NoAdmission {
            let drains = (0..NODES)
                .filter(|o| holds(w.drains[*o]))
                .map(|o| (o as u32, ExclusionReason::Drains));
            let unfit = (0..NODES).filter_map(|o| Some((o as u32, w.unfit[o]?)));
            if !excluded_in_zone(n as u32, |_| 'a', drains.chain(unfit)).is_empty() {
                return Err("coincides".into());
            }
        }
        w.version += 1;
        (w.drains[n], w.touched[n]) = (to, (w.version, by));
        Ok(())
    }

    /// The decisions hear something, and what they do is done.
    fn tell(&self, w: &mut World, mut events: Vec<Event>) {
        for _ in 0..20 {
            let actions = w
                .members
                .step(ticks(w.now), ticks(w.now), std::mem::take(&mut events));
            for a in actions {
                match a {
                    Action::Propose {
                        ask,
                        node,
                        to,
                        base_version,
                        ..
                    } => {
                        let to = to.map(|d| d.stage);
                        match self.propose(w, MACHINE, node as usize, to, base_version.0) {
                            Ok(()) => {
                                events.extend(landed(w, node as usize));
                                events.push(Event::Committed { ask });
                            }
                            Err(reason) => events.push(Event::Rejected { ask, reason }),
                        }
                    }
                    Action::Unfit { node, how } => w.unfit[node as usize] = how,
                    Action::Note { .. } => {}
                }
            }
            if events.is_empty() {
                return;
            }
        }
        panic!("the decisions never come to rest");
    }

    fn sight(&self, w: &World, h: usize) -> [Sight; NODES] {
        let host = &w.hosts[h];
        let follows = Version(host.follows.0);
        let (word, start) = host.list;
        let started = w.node.started.filter(|_| w.node.start == start);
        let unsure = match self.fault {
            Fault::ForgetsTheUnsure => Duration::ZERO,
            _ => ticks(host.unsure.saturating_sub(w.now)),
        };
        let first = Sight {
            word,
            start,
            age: started.map(|s| ticks(w.now - s)),
            revision: start * 2 + u64::from(word == ListedState::Gone),
            answers: Answers::None,
            follows,
            attempts: u32::from(host.attempt.is_some()),
            unsure,
            extents: None,
        };
        [
            first,
            Sight {
                word: ListedState::Ready,
                start: 1,
                revision: 1,
                follows,
                ..Sight::default()
            },
        ]
    }

    fn lose(&self, w: &mut World, h: usize) {
        if std::mem::take(&mut w.hosts[h].heard) && self.fault != Fault::LossUntold {
            self.tell(
                w,
                vec![Event::Lost {
                    host: HostNumber(h as u32),
                }],
            );
        }
    }

    /// Everything that can happen next.
    fn next(&self, w: &World) -> Vec<World> {
        let mut all = Vec::new();
        let mut go = |f: &dyn Fn(&mut World)| {
            let mut next = w.clone();
            f(&mut next);
            all.push(next);
        };
        if w.now < BEGIN + self.last_tick {
            go(&|w| self.tick(w));
        }
        let listed = (
            if w.node.up {
                ListedState::Ready
            } else {
                ListedState::Gone
            },
            w.node.start,
        );
        for h in 0..self.hosts {
            let (host, no) = (&w.hosts[h], HostNumber(h as u32));
            let held = holds(host.follows.1[0]) && self.fault != Fault::SendsAfterAll;
            let may = host.alive && w.node.up && host.attempt.is_none() && w.sent < self.attempts;
            if may && host.list.0 == ListedState::Ready && !held {
                go(&|w| (w.hosts[h].attempt, w.sent) = (Some(w.now), w.sent + 1));
            }
            if host.attempt.is_some() {
                go(&|w| w.hosts[h].attempt = None);
            }
            if host.alive && host.list != listed {
                go(&|w| w.hosts[h].list = listed);
            }
            if host.linked && host.heard && host.follows.0 < w.version {
                go(&|w| {
                    w.hosts[h].follows = (w.version, w.drains);
                    if self.fault == Fault::CountsThenFollows {
                        let (follows, sights) = (Version(w.version), w.hosts[h].sights.iter_mut());
                        sights
                            .flat_map(|s| &mut s.0)
                            .for_each(|s| s.follows = follows);
                    }
                });
            }
            if host.alive && host.kept.0 < host.follows.0 {
                go(&|w| w.hosts[h].kept = w.hosts[h].follows);
            }
            let says = if self.fault == Fault::SaysBeforeItKeeps {
                host.follows.0
            } else {
                host.kept.0
            };
            if host.linked && host.said.is_none() && w.applied[h] < Some(says) {
                go(&|w| w.hosts[h].said = Some(says));
            }
            if let Some(said) = host.said.filter(|_| host.heard) {
                go(&|w| {
                    (w.hosts[h].said, w.applied[h]) = (None, Some(said));
                    self.tell(
                        w,
                        vec![Event::Acknowledged {
                            host: no,
                            version: Some(Version(said)),
                        }],
                    );
                });
            }
            let sight = self.sight(w, h);
            if host.linked && host.sights.is_none_or(|(last, come)| come && last != sight) {
                go(&|w| w.hosts[h].sights = Some((sight, false)));
            }
            if let Some((sights, false)) = host.sights.filter(|_| host.heard) {
                go(&|w| {
                    w.hosts[h].sights = Some((sights, true));
                    let see = |n: usize| Event::Seen {
                        host: no,
                        node: n as u32,
                        sight: sights[n],
                    };
                    self.tell(w, vec![see(0), see(1)]);
                });
            }
            if host.heard && !host.linked {
                go(&|w| self.lose(w, h));
            }
            if host.alive && !host.linked {
                go(&|w| self.link(w, h));
            }
            if !host.alive {
                go(&|w| {
                    let (kept, heard, process) =
                        (w.hosts[h].kept, w.hosts[h].heard, w.hosts[h].process + 1);
                    w.hosts[h] = Host {
                        alive: true,
                        process,
                        heard,
                        follows: kept,
                        kept,
                        list: listed,
                        ..Host::default()
                    };
                });
            }
            if w.mishaps < self.mishaps && host.alive {
                go(&|w| {
                    w.mishaps += 1;
                    // What it had out may yet come to the node and run there.
                    let host = &mut w.hosts[h];
                    if host.attempt.take().is_some() {
                        w.node.runs = w.node.runs.max(w.now + 2 * LONGEST);
                    }
                    (host.alive, host.linked, host.unsure) = (false, false, 0);
                });
            }
            if w.mishaps < self.mishaps && host.linked {
                go(&|w| {
                    w.mishaps += 1;
                    w.hosts[h].linked = false;
                });
            }
        }
        if w.mishaps < self.mishaps {
            go(&|w| {
                w.mishaps += 1;
                let now = if self.fault == Fault::StartsInTheDark {
                    ticks(0)
                } else {
                    ticks(w.now)
                };
                for host in &mut w.hosts {
                    (host.linked, host.heard, host.said, host.sights) = (false, false, None, None);
                }
                self.start_service(w, now);
            });
        }
        if self.restarts && (w.mishaps < self.mishaps || !w.node.up) {
            go(&|w| {
                w.mishaps += u8::from(w.node.up);
                let n = &mut w.node;
                *n = match n.up {
                    true => Node {
                        up: false,
                        runs: 0,
                        ..n.clone()
                    },
                    false => Node {
                        up: true,
                        start: n.start + 1,
                        started: Some(w.now),
                        runs: 0,
                    },
                };
                for h in &mut w.hosts {
                    if h.attempt.take().is_some() {
                        h.unsure = w.now + LONGEST; // a reset: as far as the host knows, it may have run
                    }
                }
            });
        }
        if w.looked < w.version {
            go(&|w| w.looked = w.version);
        }
        if w.acts < self.acts {
            for (by, n, to) in ACTS {
                let looked = if by == 0 { w.version } else { w.looked };
                let mut next = w.clone();
                match self.propose(&mut next, by, n, to, looked) {
                    Ok(()) => {
                        next.acts += 1;
                        let events = landed(&next, n);
                        self.tell(&mut next, events);
                        all.push(next);
                    }
                    // Whoever looked at an older state is told who changed it.
                    Err(reason) if w.touched[n].0 > looked => {
                        assert_eq!(reason, format!("changed meanwhile by {}", w.touched[n].1));
                    }
                    Err(_) => {}
                }
            }
        }
        all
    }

    fn link(&self, w: &mut World, h: usize) {
        self.lose(w, h);
        let host = &mut w.hosts[h];
        (host.linked, host.heard, host.said, host.sights) = (true, true, None, None);
        let process = host.process;
        self.tell(
            w,
            vec![Event::Up {
                host: HostNumber(h as u32),
                process,
            }],
        );
    }

    fn tick(&self, w: &mut World) {
        w.now += 1;
        for h in &mut w.hosts {
            if h.attempt.is_some_and(|sent| w.now >= sent + LONGEST) {
                (h.attempt, h.unsure) = (None, w.now + LONGEST);
                w.node.runs = w.node.runs.max(w.now + LONGEST);
            }
        }
        self.tell(w, Vec::new());
    }

    /// Visits all states; how many there are, and the first in which something is wrong.
    fn explore(&self) -> (usize, Option<String>) {
        let (mut seen, mut open) = (HashSet::new(), vec![self.first()]);
        while let Some(w) = open.pop() {
            if !seen.insert(digest(&w)) {
                continue;
            }
            if let Some(wrong) = w.check() {
                return (seen.len(), Some(wrong));
            }
            if seen.len() % 64 == 0 {
                if let Some(stuck) = self.stuck(w.clone()) {
                    return (seen.len(), Some(stuck));
                }
            }
            assert!(seen.len() < 20_000_000, "too many states");
            open.extend(self.next(&w));
        }
        (seen.len(), None)
    }

    /// Where nothing more goes wrong and nobody acts, each drain that goes comes to be empty.
    fn stuck(&self, mut w: World) -> Option<String> {
        for _ in 0..5 {
            self.tick(&mut w);
            for h in 0..self.hosts {
                let no = HostNumber(h as u32);
                let host = &mut w.hosts[h];
                if !host.alive {
                    (host.alive, host.follows, host.process) = (true, host.kept, host.process + 1);
                }
                if !(host.linked && host.heard) {
                    self.link(&mut w, h);
                }
                let host = &mut w.hosts[h];
                (host.attempt, host.follows) = (None, (w.version, w.drains));
                (host.kept, w.applied[h]) = (host.follows, Some(w.version));
                let sight = self.sight(&w, h);
                let see = |n: usize| Event::Seen {
                    host: no,
                    node: n as u32,
                    sight: sight[n],
                };
                let sure = Event::Acknowledged {
                    host: no,
                    version: Some(Version(w.version)),
                };
                self.tell(&mut w, vec![sure, see(0), see(1)]);
            }
        }
        let stuck = w.drains.contains(&Some(Stage::Draining));
        stuck.then(|| format!("a drain that goes never comes to be empty: {w:?}"))
    }
}

fn landed(w: &World, n: usize) -> Vec<Event> {
    let to = w.drains[n].map(|stage| Drain {
        stage,
        ..Drain::default()
    });
    let version = Version(w.version);
    vec![
        Event::Persisted { version },
        Event::Drain {
            node: n as u32,
            to,
            version,
        },
    ]
}

/// So few of so many numbers are alike that a state taken for another is not to be expected.
fn digest(w: &World) -> u128 {
    let half = |salt: u8| {
        let mut h = DefaultHasher::new();
        salt.hash(&mut h);
        w.hash(&mut h);
        u128::from(h.finish())
    };
    half(1) << 64 | half(2)
}

impl World {
    fn check(&self) -> Option<String> {
        if self.drains.iter().all(|d| holds(*d)) {
            return Some(format!("both nodes of the zone are drained: {self:?}"));
        }
        if matches!(self.drains[0], Some(Stage::Drained | Stage::Removed)) {
            let out = self.hosts.iter().any(|h| h.attempt.is_some());
            if out || self.node.runs > self.now {
                return Some(format!(
                    "called empty, and something is under way: {self:?}"
                ));
            }
        }
        for n in 0..NODES {
            let node_status = self.members.node_status(n as u32);
            if holds(self.drains[n])
                && matches!(
                    node_status,
                    NodeStatus::Ready | NodeStatus::Warming | NodeStatus::Suspect
                )
            {
                return Some(format!(
                    "node {n} is drained and called {node_status}: {self:?}"
                ));
            }
            if holds(self.drains[n]) != self.members.holds(n as u32) {
                return Some(format!(
                    "node {n}: the decisions know of another drain: {self:?}"
                ));
            }
        }
        None
    }
}

const SHORT: Model = Model {
    fault: Fault::None,
    hosts: 1,
    last_tick: 2,
    acts: 1,
    mishaps: 1,
    attempts: 1,
    restarts: false,
};

/// Explores models side by side; states visited, and what was found.
fn explored(models: &[(&'static str, Model)]) -> Vec<(&'static str, usize, Option<String>)> {
    std::thread::scope(|scope| {
        let started: Vec<_> = models
            .iter()
            .map(|(what, model)| (*what, scope.spawn(move || model.explore())))
            .collect();
        let ended = started.into_iter().map(|(what, t)| {
            let (states, wrong) = t.join().expect("an explorer");
            println!(
                "{what}: {states} states{}",
                if wrong.is_some() {
                    ", and it shows"
                } else {
                    ""
                }
            );
            (what, states, wrong)
        });
        ended.collect()
    })
}

#[test]
fn no_state_is_wrong() {
    let models = [
        ("one act, one mishap", SHORT),
        (
            "two operators, none",
            Model {
                acts: 2,
                last_tick: 3,
                mishaps: 0,
                ..SHORT
            },
        ),
    ];
    explored(&models)
        .into_iter()
        .for_each(|(what, _, wrong)| assert_eq!(wrong, None, "{what}"));
}

/// The long forms: `cargo test --release -p grebecleat-membership --test explore -- --ignored --nocapture`.
#[test]
#[ignore = "minutes; CI plays the short forms"]
fn no_state_is_wrong_with_more_of_everything() {
    let models = [
        (
            "two operators, one mishap",
            Model {
                acts: 2,
                last_tick: 3,
                ..SHORT
            },
        ),
        (
            "the node restarts",
            Model {
                last_tick: 3,
                restarts: true,
                ..SHORT
            },
        ),
        (
            "two mishaps",
            Model {
                mishaps: 2,
                ..SHORT
            },
        ),
        (
            "two hosts, no mishap",
            Model {
                hosts: 2,
                mishaps: 0,
                ..SHORT
            },
        ),
    ];
    explored(&models)
        .into_iter()
        .for_each(|(what, _, wrong)| assert_eq!(wrong, None, "{what}"));
}

#[test]
fn planted_faults_are_found() {
    use Fault::*;
    let models = [
        (
            "says before it keeps",
            Model {
                fault: SaysBeforeItKeeps,
                ..SHORT
            },
        ),
        (
            "counts, then follows",
            Model {
                fault: CountsThenFollows,
                ..SHORT
            },
        ),
        (
            "forgets the unsure",
            Model {
                fault: ForgetsTheUnsure,
                ..SHORT
            },
        ),
        (
            "a loss untold",
            Model {
                fault: LossUntold,
                ..SHORT
            },
        ),
        (
            "starts in the dark",
            Model {
                fault: StartsInTheDark,
                ..SHORT
            },
        ),
        (
            "no admission",
            Model {
                fault: NoAdmission,
                acts: 2,
                ..SHORT
            },
        ),
        (
            "sends after all",
            Model {
                fault: SendsAfterAll,
                ..SHORT
            },
        ),
    ];
    explored(&models)
        .into_iter()
        .for_each(|(what, n, wrong)| assert!(wrong.is_some(), "{what}: {n} states"));
}
