//! All that can happen to drains of two nodes of one zone, explored: two operators, one of whom may
//! have looked at an older state, hosts that follow, keep and say so in steps of their own,
//! observations that come late, a list that lags, attempts that end in time or without a word,
//! hosts and a state service that die and start anew, ways that are cut, nodes that restart. In
//! every state the invariants of [`World::check`] hold, and from a sample of them, once nothing
//! goes wrong any more, every drain that goes comes to be empty. Worlds with a fault planted on
//! purpose must show it.
//!
//! Attempts go to the first node alone: nodes meet only in what their drains may coincide with.

use grebecleat_catalog::admission::{excluded_in_zone, ExclusionReason};
use grebecleat_catalog::feed::HostNumber;
use grebecleat_catalog::records::{Drain, Stage, Version};
use grebecleat_membership::answers::Answers;
use grebecleat_membership::drains::{Action, Event, Membership, NodeFacts, NodeObservation};
use grebecleat_membership::list_reading::ListedState;
use grebecleat_membership::node_status::NodeStatus;
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
    ForgetsTheUnresolved,
    /// The service does not tell that the way to a host is lost.
    LossUntold,
    /// A service that starts anew takes it that nothing is out.
    StartsWithoutWaiting,
    /// Admission does not look at what a drain coincides with.
    NoAdmission,
    /// A host that follows a drain sends all the same.
    SendsAfterAll,
}

type Drains = [Option<Stage>; NODES];

fn blocks_new_requests(stage: Option<Stage>) -> bool {
    stage.is_some_and(|s| s != Stage::Queued)
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, Default)]
struct Host {
    alive: bool,
    incarnation: u64,
    /// What this host and the service think of the way between them.
    linked: bool,
    heard: bool,
    follows: (u64, Drains),
    kept: (u64, Drains),
    /// Said, and on its way.
    said: Option<u64>,
    /// Its last observation on this way, and whether that has come.
    observations: Option<([NodeObservation; NODES], bool)>,
    /// When the attempt out was sent, and until when an earlier one may run.
    attempt: Option<u64>,
    unresolved: u64,
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
    membership: Membership,
    applied: Vec<Option<u64>>,
    hosts: Vec<Host>,
    node: Node,
    /// What the second operator has looked at.
    looked: u64,
    acts: u8,
    failures: u8,
    /// Attempts that were sent.
    sent: u8,
}

struct Model {
    fault: Fault,
    hosts: usize,
    last_tick: u64,
    acts: u8,
    failures: u8,
    attempts: u8,
    /// Whether the node restarts as well.
    restarts: bool,
}

/// The states that can follow one.
struct Successors<'a> {
    from: &'a World,
    worlds: Vec<World>,
}

impl<'a> Successors<'a> {
    fn of(from: &'a World) -> Self {
        Successors {
            from,
            worlds: Vec::new(),
        }
    }

    fn add(&mut self, change: impl FnOnce(&mut World)) {
        let mut world = self.from.clone();
        change(&mut world);
        self.worlds.push(world);
    }
}

/// A host's observations, as they arrive.
fn observed(host: usize, observations: &[NodeObservation; NODES]) -> Vec<Event> {
    let numbered = observations.iter().enumerate();
    let event = |(node, observation): (usize, &NodeObservation)| Event::Observed {
        host: HostNumber(host as u32),
        node: node as u32,
        observation: *observation,
    };
    numbered.map(event).collect()
}

const MACHINE: u8 = 9;

/// What operators proposal for: who, of which node, and what.
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
            membership: Membership::new(ticks(0), ticks(WARM), ticks(LONGEST), []),
            applied: vec![Some(1); self.hosts],
            hosts: vec![host; self.hosts],
            node: Node {
                up: true,
                start: 1,
                ..Node::default()
            },
            looked: 1,
            acts: 0,
            failures: 0,
            sent: 0,
        };
        self.start_service(&mut w, ticks(0));
        let up = (0..self.hosts as u32)
            .map(|h| Event::HostConnected {
                host: HostNumber(h),
                incarnation: 0,
            })
            .collect();
        self.apply(&mut w, up);
        w
    }

    fn start_service(&self, w: &mut World, now: Duration) {
        let hosts = (0..self.hosts as u32).map(HostNumber);
        w.membership = Membership::new(now, ticks(WARM), ticks(LONGEST), hosts);
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
        self.apply(w, events);
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
        if blocks_new_requests(to)
            && !blocks_new_requests(w.drains[n])
            && self.fault != Fault::NoAdmission
        {
            let drains = (0..NODES)
                .filter(|o| blocks_new_requests(w.drains[*o]))
                .map(|o| (o as u32, ExclusionReason::Draining));
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
    fn apply(&self, w: &mut World, mut events: Vec<Event>) {
        for _ in 0..20 {
            let actions =
                w.membership
                    .step(ticks(w.now), ticks(w.now), std::mem::take(&mut events));
            for a in actions {
                match a {
                    Action::Propose {
                        proposal,
                        node,
                        to,
                        base_version,
                        ..
                    } => {
                        let to = to.map(|d| d.stage);
                        match self.propose(w, MACHINE, node as usize, to, base_version.0) {
                            Ok(()) => {
                                events.extend(landed(w, node as usize));
                                events.push(Event::Committed { proposal });
                            }
                            Err(reason) => events.push(Event::Rejected { proposal, reason }),
                        }
                    }
                    Action::SetExclusion { node, reason } => w.unfit[node as usize] = reason,
                    Action::Notify { .. } => {}
                }
            }
            if events.is_empty() {
                return;
            }
        }
        panic!("the decisions never come to rest");
    }

    fn observation(&self, w: &World, h: usize) -> [NodeObservation; NODES] {
        let host = &w.hosts[h];
        let follows = Version(host.follows.0);
        let (listed, start) = host.list;
        let started = w.node.started.filter(|_| w.node.start == start);
        let unresolved = match self.fault {
            Fault::ForgetsTheUnresolved => Duration::ZERO,
            _ => ticks(host.unresolved.saturating_sub(w.now)),
        };
        let first = NodeObservation {
            listed,
            incarnation: start,
            age: started.map(|s| ticks(w.now - s)),
            revision: start * 2 + u64::from(listed == ListedState::Gone),
            answers: Answers::None,
            catalog_version: follows,
            attempts: u32::from(host.attempt.is_some()),
            unresolved_for: unresolved,
            extents: None,
        };
        [
            first,
            NodeObservation {
                listed: ListedState::Ready,
                incarnation: 1,
                revision: 1,
                catalog_version: follows,
                ..NodeObservation::default()
            },
        ]
    }

    fn lose(&self, w: &mut World, h: usize) {
        if std::mem::take(&mut w.hosts[h].heard) && self.fault != Fault::LossUntold {
            self.apply(
                w,
                vec![Event::HostDisconnected {
                    host: HostNumber(h as u32),
                }],
            );
        }
    }

    /// Every state that can come next.
    fn next(&self, world: &World) -> Vec<World> {
        let mut next = Successors::of(world);
        if world.now < BEGIN + self.last_tick {
            next.add(|w| self.tick(w));
        }
        for host in 0..self.hosts {
            self.host_sends(host, &mut next);
            self.host_follows(host, &mut next);
            self.host_reports(host, &mut next);
            self.host_connects(host, &mut next);
            self.host_fails(host, &mut next);
        }
        self.service_restarts(&mut next);
        self.node_restarts(&mut next);
        self.operators_act(&mut next);
        next.worlds
    }

    fn host_sends(&self, h: usize, next: &mut Successors) {
        let (world, host) = (next.from, &next.from.hosts[h]);
        let blocked = blocks_new_requests(host.follows.1[0]) && self.fault != Fault::SendsAfterAll;
        let may = host.alive && world.node.up && host.attempt.is_none();
        let listed_ready = host.list.0 == ListedState::Ready;
        if may && world.sent < self.attempts && listed_ready && !blocked {
            next.add(|w| (w.hosts[h].attempt, w.sent) = (Some(w.now), w.sent + 1));
        }
        if host.attempt.is_some() {
            next.add(|w| w.hosts[h].attempt = None);
        }
        let listed = world.listed();
        if host.alive && host.list != listed {
            next.add(|w| w.hosts[h].list = listed);
        }
    }

    /// A host follows the catalog, persists it and acknowledges it.
    fn host_follows(&self, h: usize, next: &mut Successors) {
        let (world, host) = (next.from, &next.from.hosts[h]);
        if host.linked && host.heard && host.follows.0 < world.version {
            next.add(|w| self.follow(w, h));
        }
        if host.alive && host.kept.0 < host.follows.0 {
            next.add(|w| w.hosts[h].kept = w.hosts[h].follows);
        }
        let says = match self.fault {
            Fault::SaysBeforeItKeeps => host.follows.0,
            _ => host.kept.0,
        };
        if host.linked && host.said.is_none() && world.applied[h] < Some(says) {
            next.add(|w| w.hosts[h].said = Some(says));
        }
        if let Some(said) = host.said.filter(|_| host.heard) {
            next.add(|w| {
                (w.hosts[h].said, w.applied[h]) = (None, Some(said));
                let acknowledged = Event::Acknowledged {
                    host: HostNumber(h as u32),
                    version: Some(Version(said)),
                };
                self.apply(w, vec![acknowledged]);
            });
        }
    }

    fn follow(&self, w: &mut World, h: usize) {
        let version = Version(w.version);
        let host = &mut w.hosts[h];
        host.follows = (w.version, w.drains);
        if self.fault == Fault::CountsThenFollows {
            for observation in host.observations.iter_mut().flat_map(|sent| &mut sent.0) {
                observation.catalog_version = version;
            }
        }
    }

    /// A host sends what it observes, and that arrives.
    fn host_reports(&self, h: usize, next: &mut Successors) {
        let host = &next.from.hosts[h];
        let now = self.observation(next.from, h);
        let changed = |(last, arrived)| arrived && last != now;
        if host.linked && host.observations.is_none_or(changed) {
            next.add(|w| w.hosts[h].observations = Some((now, false)));
        }
        if let Some((observations, false)) = host.observations.filter(|_| host.heard) {
            next.add(|w| {
                w.hosts[h].observations = Some((observations, true));
                self.apply(w, observed(h, &observations));
            });
        }
    }

    fn host_connects(&self, h: usize, next: &mut Successors) {
        let host = &next.from.hosts[h];
        if host.heard && !host.linked {
            next.add(|w| self.lose(w, h));
        }
        if host.alive && !host.linked {
            next.add(|w| self.link(w, h));
        }
        if !host.alive {
            next.add(|w| {
                let listed = w.listed();
                let before = &w.hosts[h];
                w.hosts[h] = Host {
                    alive: true,
                    incarnation: before.incarnation + 1,
                    heard: before.heard,
                    follows: before.kept,
                    kept: before.kept,
                    list: listed,
                    ..Host::default()
                };
            });
        }
    }

    /// A host dies, or its connection breaks.
    fn host_fails(&self, h: usize, next: &mut Successors) {
        let (world, host) = (next.from, &next.from.hosts[h]);
        if world.failures >= self.failures {
            return;
        }
        if host.alive {
            next.add(|w| {
                w.failures += 1;
                // What it had out may yet come to the node and run there.
                let host = &mut w.hosts[h];
                if host.attempt.take().is_some() {
                    w.node.runs = w.node.runs.max(w.now + 2 * LONGEST);
                }
                (host.alive, host.linked, host.unresolved) = (false, false, 0);
            });
        }
        if host.linked {
            next.add(|w| {
                w.failures += 1;
                w.hosts[h].linked = false;
            });
        }
    }

    fn service_restarts(&self, next: &mut Successors) {
        if next.from.failures >= self.failures {
            return;
        }
        next.add(|w| {
            w.failures += 1;
            let now = match self.fault {
                Fault::StartsWithoutWaiting => ticks(0),
                _ => ticks(w.now),
            };
            for host in &mut w.hosts {
                (host.linked, host.heard) = (false, false);
                (host.said, host.observations) = (None, None);
            }
            self.start_service(w, now);
        });
    }

    /// The node's process ends, or starts again.
    fn node_restarts(&self, next: &mut Successors) {
        let world = next.from;
        if !self.restarts || (world.failures >= self.failures && world.node.up) {
            return;
        }
        next.add(|w| {
            w.failures += u8::from(w.node.up);
            w.node.runs = 0;
            w.node.up = !w.node.up;
            if w.node.up {
                w.node.start += 1;
                w.node.started = Some(w.now);
            }
            for host in &mut w.hosts {
                if host.attempt.take().is_some() {
                    // A reset: as far as the host knows, it may have run.
                    host.unresolved = w.now + LONGEST;
                }
            }
        });
    }

    fn operators_act(&self, next: &mut Successors) {
        let world = next.from;
        if world.looked < world.version {
            next.add(|w| w.looked = w.version);
        }
        if world.acts >= self.acts {
            return;
        }
        for (by, n, to) in ACTS {
            let looked = if by == 0 { world.version } else { world.looked };
            let mut after = world.clone();
            match self.propose(&mut after, by, n, to, looked) {
                Ok(()) => {
                    after.acts += 1;
                    let events = landed(&after, n);
                    self.apply(&mut after, events);
                    next.worlds.push(after);
                }
                // Whoever looked at an older state is told who changed it.
                Err(reason) if world.touched[n].0 > looked => {
                    let changed_by = world.touched[n].1;
                    assert_eq!(reason, format!("changed meanwhile by {changed_by}"));
                }
                Err(_) => {}
            }
        }
    }

    fn link(&self, w: &mut World, h: usize) {
        self.lose(w, h);
        let host = &mut w.hosts[h];
        (host.linked, host.heard, host.said, host.observations) = (true, true, None, None);
        let incarnation = host.incarnation;
        self.apply(
            w,
            vec![Event::HostConnected {
                host: HostNumber(h as u32),
                incarnation,
            }],
        );
    }

    fn tick(&self, w: &mut World) {
        w.now += 1;
        for h in &mut w.hosts {
            if h.attempt.is_some_and(|sent| w.now >= sent + LONGEST) {
                (h.attempt, h.unresolved) = (None, w.now + LONGEST);
                w.node.runs = w.node.runs.max(w.now + LONGEST);
            }
        }
        self.apply(w, Vec::new());
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
                    (host.alive, host.follows, host.incarnation) =
                        (true, host.kept, host.incarnation + 1);
                }
                if !(host.linked && host.heard) {
                    self.link(&mut w, h);
                }
                let host = &mut w.hosts[h];
                (host.attempt, host.follows) = (None, (w.version, w.drains));
                (host.kept, w.applied[h]) = (host.follows, Some(w.version));
                let mut events = vec![Event::Acknowledged {
                    host: no,
                    version: Some(Version(w.version)),
                }];
                events.extend(observed(h, &self.observation(&w, h)));
                self.apply(&mut w, events);
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
    /// What the endpoint list says of the node, and of which start.
    fn listed(&self) -> (ListedState, u64) {
        let state = match self.node.up {
            true => ListedState::Ready,
            false => ListedState::Gone,
        };
        (state, self.node.start)
    }

    fn check(&self) -> Option<String> {
        if self.drains.iter().all(|d| blocks_new_requests(*d)) {
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
            let node_status = self.membership.node_status(n as u32);
            if blocks_new_requests(self.drains[n])
                && matches!(
                    node_status,
                    NodeStatus::Ready | NodeStatus::Warming | NodeStatus::Suspect
                )
            {
                return Some(format!(
                    "node {n} is drained and called {node_status}: {self:?}"
                ));
            }
            if blocks_new_requests(self.drains[n]) != self.membership.blocks_new_requests(n as u32)
            {
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
    failures: 1,
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
        ("one act, one failure", SHORT),
        (
            "two operators, none",
            Model {
                acts: 2,
                last_tick: 3,
                failures: 0,
                ..SHORT
            },
        ),
    ];
    explored(&models)
        .into_iter()
        .for_each(|(what, _, wrong)| assert_eq!(wrong, None, "{what}"));
}

/// The long forms: `cargo test --release -p grebecleat-membership --test explore -- --ignored
/// --nocapture`.
#[test]
#[ignore = "minutes; CI plays the short forms"]
fn no_state_is_wrong_with_more_of_everything() {
    let models = [
        (
            "two operators, one failure",
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
            "two failures",
            Model {
                failures: 2,
                ..SHORT
            },
        ),
        (
            "two hosts, no failure",
            Model {
                hosts: 2,
                failures: 0,
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
            "forgets the unresolved",
            Model {
                fault: ForgetsTheUnresolved,
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
            "starts without waiting",
            Model {
                fault: StartsWithoutWaiting,
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
