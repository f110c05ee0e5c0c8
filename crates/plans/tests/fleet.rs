//! A state service and three hosts in one small world: messages late, lost and out of order, disks that fail,
//! processes that die between any two steps, a store put back from a snapshot, operators who change plans all
//! the while. At every moment no volume may be sent more of than the settled version's limit; what was told
//! as landed stays landed; no host goes back. Once the faults stop, everybody follows the newest.

use grebecleat_plans::changes::*;
use grebecleat_plans::feed::HostNumber;
use grebecleat_plans::follower::{self, Follower, Update};
use grebecleat_plans::leader::{self, for_host, is_for, CallId, Epoch, Leader, Proposal};
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;
use std::time::Duration;

const HOSTS: [&str; 3] = ["h1", "h2", "h3"];
const LEASE: Duration = Duration::from_millis(600);
const MARGIN: Duration = Duration::from_millis(100);
const MAX_DISPATCH_DELAY: Duration = Duration::from_millis(20);
const STEP: Duration = Duration::from_millis(10);
const VOLUMES: std::ops::Range<u64> = 1..5;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn facts() -> Deployment {
    Deployment {
        hosts: HOSTS.iter().map(|h| Name::from(*h)).collect(),
        max_dispatch_delay: MAX_DISPATCH_DELAY,
    }
}

/// What the service's disk holds.
#[derive(Clone)]
struct Disk {
    start: leader::InitialState,
}

impl Disk {
    fn new(epoch: u64) -> Self {
        let (catalog, applied, hosts) = (
            Catalog::new(facts(), 30),
            BTreeMap::new(),
            HOSTS.map(Name::from).to_vec(),
        );
        let (stable, epoch, epochs, epoch_forced_at) =
            (Version(0), Epoch(epoch), Vec::new(), Version(0));
        Disk {
            start: leader::InitialState {
                catalog,
                stable,
                applied,
                hosts,
                epoch,
                epochs,
                epoch_forced_at,
            },
        }
    }

    fn keep(&mut self, what: leader::Persist) {
        match what {
            leader::Persist::Revision(e) => self.start.catalog.apply(e).expect("the next"),
            leader::Persist::Stable(v) => {
                self.start.stable = v;
                self.start.catalog.need(v);
            }
            leader::Persist::Has(h, v) => _ = self.start.applied.insert(h, v),
            leader::Persist::EpochForced(e) => {
                self.start.epoch_forced_at = e.version;
                self.start.catalog.apply(e).expect("further on");
            }
        }
    }

    /// As it was, in a new era. Hosts that it does not know of may have joined since.
    fn restored(&self, epoch: u64) -> Self {
        let mut start = self.start.clone();
        start.epochs.push((start.epoch, start.catalog.version()));
        start.epoch = Epoch(epoch);
        for h in 0..HOSTS.len() as u32 {
            start.applied.entry(HostNumber(h)).or_insert(Version(0));
        }
        Disk { start }
    }
}

/// What a host's disk holds.
#[derive(Clone, Default)]
struct HostDisk(Option<follower::InitialState>);

impl HostDisk {
    fn start(&self) -> follower::InitialState {
        self.0.clone().unwrap_or_else(|| follower::InitialState {
            catalog: Follower::catalog_of(facts()),
            ..Default::default()
        })
    }

    fn keep(&mut self, k: &follower::PersistRequest, snapshot: &Catalog) {
        let mut start = self.start();
        if k.snapshot {
            start.catalog = snapshot.clone();
        } else {
            k.revisions
                .iter()
                .for_each(|e| start.catalog.apply(e.clone()).expect("the next"));
        }
        start.catalog.forget(k.stable);
        (start.stable, start.epoch) = (k.stable, k.epoch);
        self.0 = Some(start);
    }
}

enum Message {
    Ask {
        host: usize,
        call: CallId,
        epoch: Epoch,
        applied: Version,
        stable: Version,
        acknowledged: Version,
    },
    Confirm {
        host: usize,
        epoch: Epoch,
        applied: Version,
    },
    Told {
        host: usize,
        event: follower::Event,
    },
}

struct Host {
    follow: Follower,
    disk: HostDisk,
    /// Keeps on their way, and the state that a whole one means.
    keeping: Vec<(follower::PersistRequest, Catalog)>,
    terms: BTreeMap<u64, follower::Terms>,
    calls: u64,
    newest: Version,
    up: bool,
}

struct World {
    rng: Pcg64Mcg,
    now: Duration,
    disk: Disk,
    snapshot: Disk,
    leader: Leader,
    keeping: Vec<(u64, leader::Persist)>,
    hosts: Vec<Host>,
    /// In flight, with when they arrive.
    wire: Vec<(Duration, u64, Message)>,
    /// Which host's call each of the service's calls is.
    calls: BTreeMap<u64, (usize, CallId)>,
    next: u64,
    operators: BTreeMap<u64, Vec<Change>>,
    landed: BTreeMap<Version, Vec<Change>>,
    faults: bool,
    /// No restore is still being got over.
    mended: bool,
    counts: [u32; 6],
}

impl World {
    fn new(seed: u64) -> Self {
        let (disk, now) = (Disk::new(1), ms(1000));
        let mut w = World {
            rng: Pcg64Mcg::seed_from_u64(seed),
            leader: Leader::new(disk.start.clone(), LEASE, MARGIN, 2.0, now),
            snapshot: disk.clone(),
            disk,
            now,
            keeping: Vec::new(),
            hosts: Vec::new(),
            wire: Vec::new(),
            calls: BTreeMap::new(),
            next: 0,
            operators: BTreeMap::new(),
            landed: BTreeMap::new(),
            faults: true,
            mended: true,
            counts: [0; 6],
        };
        w.hosts = HOSTS
            .iter()
            .map(|name| Host::new(name, HostDisk::default()))
            .collect();
        w
    }

    fn chance(&mut self, one_in: u32) -> bool {
        self.faults && self.rng.random_range(0..one_in) == 0
    }

    fn send(&mut self, m: Message) {
        if self.chance(8) {
            return;
        }
        let most = if self.faults { 300 } else { 20 };
        let at = self.now + ms(self.rng.random_range(1..most));
        self.next += 1;
        self.wire.push((at, self.next, m));
    }

    fn source_step(&mut self, events: Vec<leader::Event>) {
        // The wall clock steps now and then.
        let wall = self.now + ms(1_000_000) - if self.chance(50) { ms(3000) } else { ms(0) };
        for action in self.leader.step(self.now, wall, events) {
            match action {
                leader::Action::Persist { number, what } => self.keeping.push((number, what)),
                leader::Action::Grant {
                    call,
                    from,
                    to,
                    snapshot,
                    stable,
                    lease,
                } => {
                    let (host, back) = self.calls[&call.0];
                    let name = Name::from(HOSTS[host]);
                    let catalog = self.leader.catalog();
                    let revisions = catalog
                        .since(from)
                        .expect("the trail reaches back")
                        .filter(|e| e.version <= to);
                    let revisions = revisions
                        .map(|e| for_host(catalog, stable, e, &name))
                        .collect();
                    let state = || {
                        catalog
                            .state_at(from)
                            .filter(|c| is_for(c, &name))
                            .collect()
                    };
                    let update = match snapshot {
                        true => Update::Snapshot {
                            at: from,
                            state: state(),
                            revisions,
                        },
                        false => Update::Revisions(revisions),
                    };
                    self.counts[0] += u32::from(snapshot);
                    let (epoch, version) = (self.disk.start.epoch, to);
                    let event = follower::Event::Granted {
                        call: back,
                        epoch,
                        version,
                        stable,
                        lease,
                        update,
                    };
                    self.send(Message::Told { host, event });
                }
                leader::Action::Behind { call, .. } => {
                    let (host, back) = self.calls[&call.0];
                    self.counts[1] += 1;
                    self.send(Message::Told {
                        host,
                        event: follower::Event::Behind { call: back },
                    });
                }
                leader::Action::Committed { call, version, .. } => {
                    if let Some(changes) = self.operators.remove(&call.0) {
                        self.landed.insert(version, changes);
                    }
                }
                leader::Action::Reject { call, .. } => {
                    if let Some((host, back)) = self.calls.get(&call.0).copied() {
                        let event = follower::Event::PollRejected {
                            call: back,
                            reason: "no".into(),
                        };
                        self.send(Message::Told { host, event });
                    }
                }
                leader::Action::Preview { .. } | leader::Action::Note { .. } => {}
            }
        }
    }

    fn host_step(&mut self, i: usize, events: Vec<follower::Event>) {
        let now = self.now;
        let h = &mut self.hosts[i];
        let actions = h.follow.step(now, events);
        let applied = h.follow.catalog().version();
        assert!(
            applied >= h.newest,
            "{} went back from {:?} to {applied:?}",
            HOSTS[i],
            h.newest
        );
        h.newest = applied;
        for action in actions {
            match action {
                follower::Action::Poll {
                    call,
                    epoch,
                    applied,
                    stable,
                    acknowledged,
                } => {
                    self.send(Message::Ask {
                        host: i,
                        call,
                        epoch,
                        applied,
                        stable,
                        acknowledged,
                    });
                }
                follower::Action::Acknowledge { epoch, applied } => self.send(Message::Confirm {
                    host: i,
                    epoch,
                    applied,
                }),
                follower::Action::Persist(k) => {
                    let snapshot = self.hosts[i].follow.catalog().clone();
                    self.hosts[i].keeping.push((k, snapshot));
                }
                follower::Action::Volume { id, terms: Some(t) } => {
                    _ = self.hosts[i].terms.insert(id, t)
                }
                follower::Action::Volume { id, terms: None } => _ = self.hosts[i].terms.remove(&id),
                follower::Action::Plan { .. } | follower::Action::Note { .. } => {}
            }
        }
    }

    fn operator(&mut self) {
        self.next += 1;
        let call = CallId(1 << 40 | self.next);
        let plan = |rng: &mut Pcg64Mcg| {
            let name = ["a", "b"].choose(rng).expect("two").to_string();
            let limit = f64::from(rng.random_range(0..4) * 6);
            let reservation = if limit > 0.0 {
                limit / f64::from(rng.random_range(1..4))
            } else {
                4.0
            };
            let to = Plan {
                reservation,
                limit,
                burst: 1.0 + limit,
                slack: limit,
                weight: 1.0,
                ..Plan::default()
            };
            Change::Plan {
                name: name.as_str().into(),
                to: Some(to),
            }
        };
        let volume = |rng: &mut Pcg64Mcg| {
            let id = rng.random_range(VOLUMES);
            let hosts = loop {
                let some: Vec<Name> = HOSTS
                    .iter()
                    .filter(|_| rng.random())
                    .map(|h| Name::from(*h))
                    .collect();
                if !some.is_empty() {
                    break some;
                }
            };
            let plan = Name::from(*["a", "b"].choose(rng).expect("two"));
            let to = Volume {
                plan,
                hosts: hosts.into(),
                shards: [].into(),
                blocks: 8,
            };
            Change::Volume {
                id,
                to: (rng.random_range(0..6) > 0).then_some(to),
            }
        };
        let changes: Vec<Change> = (0..self.rng.random_range(1..3))
            .map(|_| {
                if self.rng.random_range(0..3) == 0 {
                    plan(&mut self.rng)
                } else {
                    volume(&mut self.rng)
                }
            })
            .collect();
        let base_version = self.leader.persisted();
        let at = (self.rng.random_range(0..6) == 0)
            .then(|| self.now + ms(1_000_000) + ms(self.rng.random_range(0..900)));
        let proposal = Proposal {
            author: "op".into(),
            reason: "test".into(),
            base_version,
            changes: changes.clone(),
            at,
            force: false,
            dry_run: false,
        };
        if at.is_none() {
            self.operators.insert(call.0, changes);
        }
        self.source_step(vec![leader::Event::Proposed { call, proposal }]);
    }

    fn restart_source(&mut self, disk: Option<Disk>) {
        // Of what was on its way any first part may have arrived.
        let n = self.rng.random_range(0..=self.keeping.len());
        let sent = std::mem::take(&mut self.keeping);
        match disk {
            None => sent
                .into_iter()
                .take(n)
                .for_each(|(_, what)| self.disk.keep(what)),
            Some(disk) => {
                self.disk = disk;
                self.landed
                    .retain(|v, _| *v <= self.disk.start.catalog.version());
                self.counts[3] += 1;
                self.mended = false;
            }
        }
        self.leader = Leader::new(self.disk.start.clone(), LEASE, MARGIN, 2.0, self.now);
        (self.operators, self.counts[2]) = (BTreeMap::new(), self.counts[2] + 1);
        for i in 0..HOSTS.len() {
            self.host_step(i, vec![follower::Event::Down, follower::Event::Up]);
        }
    }

    fn restart_host(&mut self, i: usize) {
        let h = &mut self.hosts[i];
        let n = self.rng.random_range(0..=h.keeping.len());
        let (disk, sent) = (&mut h.disk, std::mem::take(&mut h.keeping));
        sent.iter()
            .take(n)
            .for_each(|(k, snapshot)| disk.keep(k, snapshot));
        let (calls, disk) = (h.calls, h.disk.clone());
        self.hosts[i] = Host::new(HOSTS[i], disk);
        self.hosts[i].calls = calls;
        self.wire
            .retain(|(_, _, m)| !matches!(m, Message::Told { host, .. } if *host == i));
        self.counts[4] += 1;
    }

    fn disks(&mut self) {
        if !self.keeping.is_empty() && self.rng.random_range(0..3) > 0 {
            if self.chance(40) {
                // What rests on the first fails after it, and what comes meanwhile does not.
                let failed: Vec<u64> = self.keeping.drain(..).map(|k| k.0).collect();
                for number in failed {
                    self.source_step(vec![leader::Event::PersistFailed {
                        number,
                        reason: "full".into(),
                    }]);
                    if self.rng.random() {
                        self.operator();
                    }
                }
                return;
            }
            let n = self.rng.random_range(1..=self.keeping.len());
            let mut upto = 0;
            for (number, what) in self.keeping.drain(..n).collect::<Vec<_>>() {
                self.disk.keep(what);
                upto = number;
            }
            self.source_step(vec![leader::Event::Persisted { upto }]);
        }
        for i in 0..HOSTS.len() {
            if self.hosts[i].keeping.is_empty() || self.rng.random_range(0..3) == 0 {
                continue;
            }
            let (k, snapshot) = self.hosts[i].keeping.remove(0);
            if self.chance(20) {
                self.host_step(
                    i,
                    vec![follower::Event::PersistFailed {
                        reason: "full".into(),
                    }],
                );
            } else {
                self.hosts[i].disk.keep(&k, &snapshot);
                self.host_step(i, vec![follower::Event::Persisted { number: k.number }]);
            }
        }
    }

    fn tick(&mut self) {
        self.now += STEP;
        if self.faults {
            match self.rng.random_range(0..400) {
                0..25 => self.operator(),
                25..28 => self.restart_source(None),
                28 => {
                    let epoch = self.rng.random();
                    let disk = self.snapshot.restored(epoch);
                    self.restart_source(Some(disk));
                }
                29 => self.snapshot = self.disk.clone(),
                30..33 => {
                    let i = self.rng.random_range(0..HOSTS.len());
                    self.restart_host(i);
                }
                33..36 => {
                    let i = self.rng.random_range(0..HOSTS.len());
                    self.host_step(i, vec![follower::Event::Down]);
                    self.hosts[i].up = false;
                }
                36..39 => {
                    self.next += 1;
                    let call = CallId(1 << 41 | self.next);
                    let (author, reason) = ("op".to_string(), "restored".to_string());
                    self.source_step(vec![leader::Event::ForceEpoch {
                        call,
                        author,
                        reason,
                    }]);
                }
                _ => {}
            }
        }
        for i in 0..HOSTS.len() {
            if !self.hosts[i].up && (!self.faults || self.rng.random_range(0..30) == 0) {
                self.hosts[i].up = true;
                self.host_step(i, vec![follower::Event::Up]);
            }
        }
        self.disks();
        let (due, later): (Vec<_>, Vec<_>) = std::mem::take(&mut self.wire)
            .into_iter()
            .partition(|w| w.0 <= self.now);
        self.wire = later;
        for (_, _, m) in due {
            match m {
                Message::Ask {
                    host,
                    call,
                    epoch,
                    applied,
                    stable,
                    acknowledged,
                } => {
                    self.next += 1;
                    let own = CallId(self.next);
                    self.calls.insert(own.0, (host, call));
                    let host = HostNumber(host as u32);
                    self.source_step(vec![leader::Event::Polled {
                        call: own,
                        host,
                        epoch,
                        applied,
                        stable,
                        acknowledged,
                    }]);
                }
                Message::Confirm {
                    host,
                    epoch,
                    applied,
                } => {
                    self.source_step(vec![leader::Event::Acknowledged {
                        host: HostNumber(host as u32),
                        epoch,
                        applied,
                    }]);
                }
                Message::Told { host, event } => self.host_step(host, vec![event]),
            }
        }
        self.source_step(Vec::new());
        for i in 0..HOSTS.len() {
            self.host_step(i, Vec::new());
        }
        self.judge();
    }

    /// No volume may be sent more of than the limit of the settled version.
    fn judge(&mut self) {
        let catalog = self.leader.catalog();
        let stable = self.leader.stable();
        // After a restore two histories are under way, and no limit of one of them bounds both, until the one
        // that counts has come everywhere.
        let epoch = self.disk.start.epoch;
        self.mended |=
            stable == catalog.version() && self.hosts.iter().all(|h| h.follow.epoch() == epoch);
        if !self.mended {
            return;
        }
        let mut then =
            Catalog::new(facts(), 1).restored(stable, catalog.state_at(stable), Vec::new());
        then.forget(stable);
        for id in VOLUMES {
            let Some(v) = then.volume(id) else { continue };
            let plan = then.plan(&v.plan).expect("its plan");
            if plan.limit <= 0.0 {
                continue;
            }
            let parts = self
                .hosts
                .iter()
                .filter_map(|h| h.terms.get(&id))
                .filter(|t| t.mine);
            let parts: Vec<_> = parts.map(|t| t.quota).collect();
            let rate: f64 = parts
                .iter()
                .map(|p| p.map_or(f64::INFINITY, |p| p.rate))
                .sum();
            let burst: f64 = parts
                .iter()
                .map(|p| p.map_or(f64::INFINITY, |p| p.burst))
                .sum();
            assert!(
                rate <= plan.limit + 1e-9 && burst <= plan.burst + 1e-9,
                "volume {id} at {:?}: {rate} of {}, {burst} of {}; settled {stable:?}, latest {:?}\n{:#?}",
                self.now,
                plan.limit,
                plan.burst,
                catalog.version(),
                self.hosts.iter().map(|h| (h.follow.follower_lease(), h.terms.get(&id))).collect::<Vec<_>>()
            );
            self.counts[5] += u32::from(parts.len() > 1);
        }
    }
}

impl Host {
    fn new(name: &str, disk: HostDisk) -> Self {
        let follow = Follower::new(name.into(), disk.start(), MAX_DISPATCH_DELAY);
        let (keeping, terms) = (Vec::new(), BTreeMap::new());
        Host {
            follow,
            disk,
            keeping,
            terms,
            calls: 0,
            newest: Version(0),
            up: false,
        }
    }
}

fn play(seed: u64, ticks: u32) -> [u32; 6] {
    let mut w = World::new(seed);
    let declared = ["a", "b"].map(|n| Change::Plan {
        name: n.into(),
        to: Some(Plan {
            reservation: 3.0,
            limit: 6.0,
            burst: 7.0,
            slack: 6.0,
            weight: 1.0,
            ..Plan::default()
        }),
    });
    let proposal = Proposal {
        author: "op".into(),
        reason: "declared".into(),
        base_version: Version(0),
        changes: declared.into(),
        at: None,
        force: false,
        dry_run: false,
    };
    w.source_step(vec![leader::Event::Proposed {
        call: CallId(1 << 42),
        proposal,
    }]);
    for _ in 0..ticks {
        w.tick();
        // What was told as landed is there.
        let persisted: BTreeMap<Version, &Vec<Change>> = w
            .disk
            .start
            .catalog
            .audit_log()
            .map(|e| (e.version, &e.changes))
            .collect();
        let first = persisted.keys().next().copied().unwrap_or_default();
        for (v, changes) in w.landed.iter().filter(|l| *l.0 >= first) {
            assert_eq!(
                persisted.get(v),
                Some(&changes),
                "seed {seed}: {v:?} was told as landed"
            );
        }
    }
    w.faults = false;
    // A host that was cut off through a restore may show only now that it has followed something else.
    for n in 0..500 {
        if n % 100 == 50 {
            let (author, reason, call) = ("op".to_string(), "at last".to_string(), CallId(1 << 43));
            w.source_step(vec![leader::Event::ForceEpoch {
                call,
                author,
                reason,
            }]);
        }
        w.tick();
    }
    let latest = w.leader.persisted();
    assert_eq!(
        latest,
        w.leader.catalog().version(),
        "seed {seed}: nothing waits for the disk"
    );
    for (i, h) in w.hosts.iter().enumerate() {
        let f = h.follow.follower_lease();
        assert_eq!(
            (f.applied, f.stable, h.follow.leased()),
            (latest, latest, true),
            "seed {seed}: {}",
            HOSTS[i]
        );
        for id in VOLUMES {
            let own = w
                .leader
                .catalog()
                .volume(id)
                .filter(|v| v.hosts.contains(&Name::from(HOSTS[i])));
            let terms = h.terms.get(&id).filter(|t| t.mine);
            assert_eq!(terms.map(|t| &t.plan), own.map(|v| &v.plan), "seed {seed}");
        }
    }
    w.counts
}

#[test]
fn limits_hold_whatever_happens_and_all_is_followed_in_the_end() {
    let mut sum = [0; 6];
    for seed in 0..300 {
        let counts = play(seed, 600);
        sum.iter_mut().zip(counts).for_each(|(s, c)| *s += c);
    }
    // Whole states told, hosts told that the service knows less, its starts, its restores, starts of hosts,
    // volumes judged over several hosts.
    assert!(sum.iter().all(|n| *n > 100), "{sum:?}");
}
