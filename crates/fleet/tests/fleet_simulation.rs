//! Whole fleets in one process, each from its seed: words are late, lost and doubled, an adversary picks who
//! hears whom, hosts die, start anew without memory, and stand still. What holds in every one is asserted;
//! beside it stand even parts and a host that believes whatever it hears, in the same run.

use grebecleat_fleet::events::{Action, Event, Rules};
use grebecleat_fleet::evidence::EVIDENCE_WINDOW;
use grebecleat_fleet::fleet::Fleet;
use grebecleat_fleet::lease_message::LeaseTerms;
use grebecleat_fleet::outlier_detection::{EndpointPolicy, EJECTION_TIMEOUT};
use grebecleat_fleet::{HostNumber, Incarnation};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

const TICK: Duration = Duration::from_millis(10);
const RULES: Rules = Rules {
    interval: Duration::from_millis(200),
    leases: LeaseTerms {
        duration: Duration::from_secs(2),
        margin: Duration::from_millis(250),
    },
};
const VOLUME: u64 = 7;
const LIMIT: f64 = 1000.0;

const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// One host, and what is true for it.
struct Host {
    fleet: Fleet,
    incarnation: u64,
    inbox: Vec<(HostNumber, Vec<u8>)>,
    still_until: Duration,
    part: f64,
    avoids: BTreeSet<u32>,
    /// Nodes of which it has ever been told ill by somebody, as one that believes everything would take it.
    heard_ill: BTreeSet<u32>,
    demand: f64,
}

struct World {
    now: Duration,
    rng: Pcg64Mcg,
    hosts: Vec<Host>,
    nodes: BTreeMap<u32, u64>,
    /// Attempts a second of each host.
    attempts: f64,
    way: BTreeMap<(Duration, u64), (usize, HostNumber, Vec<u8>)>,
    sent: u64,
    bytes: u64,
    deaf: BTreeSet<(usize, usize)>,
    loss: f64,
    /// Nodes that nobody reaches, and those that one host does not.
    dead: BTreeSet<u32>,
    unreached: BTreeSet<(usize, u32)>,
}

impl World {
    fn new(hosts: usize, nodes: u32, attempts: f64, shared: bool, seed: u64) -> World {
        let nodes: BTreeMap<u32, u64> = (0..nodes).map(|n| (n, 1)).collect();
        let mut w = World {
            now: ms(5000),
            rng: Pcg64Mcg::seed_from_u64(seed),
            hosts: Vec::new(),
            nodes,
            attempts,
            way: BTreeMap::new(),
            sent: 0,
            bytes: 0,
            deaf: BTreeSet::new(),
            loss: 0.0,
            dead: BTreeSet::new(),
            unreached: BTreeSet::new(),
        };
        for h in 0..hosts {
            let host = w.host(h, hosts, 1, shared);
            w.hosts.push(host);
        }
        w
    }

    fn host(&mut self, h: usize, hosts: usize, incarnation: u64, shared: bool) -> Host {
        let peers = (0..hosts as u32)
            .filter(|p| *p != h as u32)
            .map(HostNumber)
            .collect();
        let seed = self.rng.random();
        let mut fleet = Fleet::new(
            self.now,
            HostNumber(h as u32),
            Incarnation(incarnation),
            peers,
            RULES,
            seed,
        );
        let sharers = (0..hosts as u32).map(HostNumber).collect();
        let mut events = vec![Event::NodesInUse(self.nodes.clone())];
        if shared {
            events.push(Event::VolumeChanged {
                volume: VOLUME,
                sharers,
                limit: LIMIT,
            });
        }
        let out = fleet.step(self.now, events);
        let part = if shared { 1.0 } else { 0.0 };
        let mut host = Host {
            fleet,
            incarnation,
            inbox: Vec::new(),
            still_until: Duration::ZERO,
            part,
            avoids: BTreeSet::new(),
            heard_ill: BTreeSet::new(),
            demand: 0.0,
        };
        let none = host.take(out);
        assert!(
            none.is_empty(),
            "nobody is told anything before the first round"
        );
        host
    }

    fn tick(&mut self) {
        self.now += TICK;
        while let Some(entry) = self.way.first_entry().filter(|e| e.key().0 <= self.now) {
            let (to, from, bytes) = entry.remove();
            self.hosts[to].inbox.push((from, bytes));
        }
        for h in 0..self.hosts.len() {
            if self.now < self.hosts[h].still_until {
                continue;
            }
            let mut events = Vec::new();
            let heard = std::mem::take(&mut self.hosts[h].inbox);
            events.extend(
                heard
                    .into_iter()
                    .map(|(from, bytes)| Event::MessageReceived {
                        from,
                        waited: ms(0),
                        bytes,
                    }),
            );
            let attempts = self.attempts * TICK.as_secs_f64();
            let attempts =
                attempts as usize + usize::from(self.rng.random::<f64>() < attempts.fract());
            for _ in 0..attempts {
                let node = self.rng.random_range(0..self.nodes.len() as u32);
                if !self.hosts[h].avoids.contains(&node) {
                    let bad = self.dead.contains(&node) || self.unreached.contains(&(h, node));
                    events.push(Event::AttemptEnded { node, bad });
                }
            }
            let demand = self.hosts[h].demand;
            if demand > 0.0 {
                events.push(Event::UnitsRequested {
                    volume: VOLUME,
                    units: demand * TICK.as_secs_f64(),
                });
            }
            let due = self.now >= self.hosts[h].fleet.wake_at();
            if events.is_empty() && !due {
                continue;
            }
            let now = self.now;
            let out = self.hosts[h].fleet.step(now, events);
            for (to, bytes) in self.hosts[h].take(out) {
                self.sent += 1;
                self.bytes += bytes.len() as u64;
                let to = to.0 as usize;
                if self.deaf.contains(&(h, to)) || self.rng.random::<f64>() < self.loss {
                    continue;
                }
                for _ in 0..1 + usize::from(self.rng.random::<f64>() < self.loss) {
                    let late = ms(self
                        .rng
                        .random_range(0..if self.loss > 0.0 { 400 } else { 5 }));
                    let number = self.sent * 2 + u64::from(self.rng.random::<bool>());
                    self.way.insert(
                        (now + late, number),
                        (to, HostNumber(h as u32), bytes.clone()),
                    );
                }
            }
        }
    }

    fn run(&mut self, span: Duration) {
        let until = self.now + span;
        while self.now < until {
            self.tick();
            self.check();
        }
    }

    /// Hosts that stand still send nothing, and first let go of what has run out when they go on.
    fn parts(&self) -> f64 {
        let awake = self.hosts.iter().filter(|h| self.now >= h.still_until);
        awake.map(|h| h.part).sum::<f64>() / self.hosts.len() as f64
    }

    fn check(&self) {
        let parts = self.parts();
        assert!(
            parts <= 1.0 + 1e-6,
            "parts of {parts} of the whole at {:?}",
            self.now
        );
    }

    fn restart(&mut self, h: usize) {
        // Whatever it knew is lost; its clock may even have gone back.
        let incarnation = self.hosts[h].incarnation + self.rng.random_range(0..2);
        let demand = self.hosts[h].demand;
        let n = self.hosts.len();
        let mut new = self.host(h, n, incarnation.max(1), true);
        new.demand = demand;
        self.hosts[h] = new;
    }
}

impl Host {
    fn take(&mut self, out: Vec<Action>) -> Vec<(HostNumber, Vec<u8>)> {
        let mut words = Vec::new();
        for action in out {
            match action {
                Action::Send { to, bytes } => words.push((to, bytes)),
                Action::QuotaChanged { times, .. } => self.part = times,
                Action::PolicyChanged {
                    node,
                    policy: EndpointPolicy::Avoid,
                } => _ = self.avoids.insert(node),
                Action::PolicyChanged { node, .. } => _ = self.avoids.remove(&node),
                Action::Log { .. } => {}
            }
        }
        words
    }
}

/// How many seeds: a few in CI, as many as asked for elsewhere.
fn seeds(few: u64) -> u64 {
    std::env::var("WORLDS")
        .ok()
        .and_then(|n| n.parse().ok())
        .unwrap_or(few)
}

#[test]
fn news_of_a_failing_node_is_with_all_hosts_within_a_bounded_cost() {
    println!("hosts  last host knows  words a host and second  bytes a host and second");
    // A thousand hosts take minutes in one process.
    let sizes: &[usize] = if seeds(0) > 0 {
        &[10, 100, 300, 1000]
    } else {
        &[10, 100]
    };
    for &hosts in sizes {
        let mut w = World::new(hosts, 100, 30.0, false, 3);
        w.run(ms(2000));
        let (sent, bytes) = (w.sent, w.bytes);
        w.run(ms(1000));
        let each = |n: u64| n as f64 / hosts as f64;
        let (quiet, quiet_bytes) = (each(w.sent - sent), each(w.bytes - bytes));
        w.dead.insert(7);
        let (begun, sent) = (w.now, w.sent);
        let knows = |h: &Host| {
            h.fleet
                .policies()
                .iter()
                .any(|b| b.node == 7 && b.finding.bad.hosts > 0)
        };
        while !w.hosts.iter().all(knows) {
            w.tick();
            assert!(w.now < begun + ms(8000), "{hosts} hosts: not all know");
        }
        let took = w.now - begun;
        let busy = each(w.sent - sent) / took.as_secs_f64();
        println!(
            "{hosts:>5}  {took:>15?}  {quiet:>6.1}, in the news {busy:>5.1}  {quiet_bytes:>10.0}"
        );
        // Two words a round, and four times as many rounds where there is news.
        assert!(
            quiet.max(busy) <= 2.0 * 4.0 / 0.2 * 1.34,
            "{quiet} and {busy} words"
        );
        let all = w
            .hosts
            .iter()
            .filter(|h| h.fleet.policy_of(7) != EndpointPolicy::OwnEvidence)
            .count();
        println!("       {all} of {hosts} go by it then");
        w.run(ms(5000));
        let all = w
            .hosts
            .iter()
            .filter(|h| h.fleet.policy_of(7) != EndpointPolicy::OwnEvidence)
            .count();
        assert!(all * 10 >= hosts * 9, "{all} of {hosts} go by it");
        // It answers again: those who look find out, and tell.
        w.dead.clear();
        w.run(ms(8000));
        let still = w.hosts.iter().filter(|h| h.avoids.contains(&7)).count();
        assert_eq!(still, 0, "{still} of {hosts} avoid a node that answers");
    }
}

#[test]
fn parts_follow_demand_and_never_add_up_to_more_than_the_whole() {
    let mut w = World::new(10, 4, 1.0, true, 5);
    for (h, of) in [(0, 0.1), (1, 0.1), (2, 0.8)] {
        w.hosts[h].demand = LIMIT * of;
    }
    w.run(ms(6000));
    let used = |w: &World, part: &dyn Fn(&Host) -> f64| {
        w.hosts
            .iter()
            .map(|h| (part(h) / 10.0).min(h.demand / LIMIT))
            .sum::<f64>()
    };
    let (lent, even) = (used(&w, &|h| h.part), used(&w, &|_| 1.0));
    println!(
        "used of a limit with demand 1:1:8 over ten hosts: {lent:.2}, with even parts {even:.2}"
    );
    assert!(lent >= 0.9 && even < 0.35);
    // The busy host is cut off: it keeps serving with its own part, and the others get theirs back.
    w.deaf = (0..10)
        .filter(|h| *h != 2)
        .flat_map(|h| [(h, 2), (2, h)])
        .collect();
    w.hosts[5].demand = LIMIT * 0.1;
    w.run(ms(4000));
    assert!(
        w.hosts[2].part >= 0.99 && w.hosts[5].part >= 0.99,
        "{} {}",
        w.hosts[2].part,
        w.hosts[5].part
    );
    // And heard again, it borrows again, of what the others do not need.
    w.deaf.clear();
    w.run(ms(5000));
    assert!(
        w.hosts[2].part > 4.0 && w.hosts[5].part >= 0.99,
        "{} {}",
        w.hosts[2].part,
        w.hosts[5].part
    );
}

/// Cuts that open and close with the period of the loans, hosts that die or stand still for longer than
/// their loans, and an adversary that picks who hears whom.
#[test]
fn under_an_adversary_the_parts_stay_within_the_whole() {
    for (hosts, few, length) in [(6, 24, 20), (60, 2, 12), (300, 1, 6)] {
        let mut most: f64 = 0.0;
        for seed in 0..if hosts == 6 { seeds(few) } else { few } {
            let mut w = World::new(hosts, 4, 2.0, true, seed);
            w.loss = 0.1;
            for step in 0..length {
                for h in 0..hosts {
                    w.hosts[h].demand = LIMIT * [0.0, 0.02, 0.5, 1.0][w.rng.random_range(0..4)];
                }
                let part = w.rng.random_range(0..3);
                w.deaf.clear();
                for a in 0..hosts {
                    for b in 0..hosts {
                        let split = part == 1 && (a % 2 != b % 2);
                        if split || (part == 2 && w.rng.random::<f64>() < 0.5) {
                            w.deaf.insert((a, b));
                        }
                    }
                }
                let h = w.rng.random_range(0..hosts);
                match w.rng.random_range(0..4) {
                    0 => w.restart(h),
                    1 => w.hosts[h].still_until = w.now + ms(w.rng.random_range(500..4000)),
                    _ => {}
                }
                let span = if step % 2 == 0 {
                    1000
                } else {
                    w.rng.random_range(100..1500)
                };
                let until = w.now + ms(span);
                while w.now < until {
                    w.tick();
                    w.check();
                    most = most.max(w.parts());
                }
            }
        }
        println!("{hosts} hosts: at most {most:.3} of the whole");
    }
}

#[test]
fn cuts_condemn_nothing_that_a_host_reaches_for_longer_than_the_stated_span() {
    let (mut longest, mut naive, mut standing) = (Duration::ZERO, 0usize, 0usize);
    let all = seeds(100);
    for seed in 0..all {
        let mut w = World::new(12, 8, 40.0, false, seed);
        w.run(ms(1500));
        // A quarter or half of the hosts lose some nodes, some lose each other, some one way only.
        let ill = if seed % 2 == 0 { 3 } else { 6 };
        for h in 0..ill {
            for n in 0..w.rng.random_range(1..=8) {
                w.unreached.insert((h, n));
            }
        }
        if seed % 3 > 0 {
            for a in 0..12 {
                for b in 0..12 {
                    let across = (a < ill) != (b < ill);
                    if across && (seed % 3 == 1 || a < ill) {
                        w.deaf.insert((a, b));
                    }
                }
            }
        }
        let mut since: BTreeMap<(usize, u32), Duration> = BTreeMap::new();
        let mut wrong = |w: &World, longest: &mut Duration| {
            for (h, host) in w.hosts.iter().enumerate() {
                for n in 0..8 {
                    let reached = !w.unreached.contains(&(h, n));
                    if reached && host.avoids.contains(&n) {
                        let at = *since.entry((h, n)).or_insert(w.now);
                        *longest = (*longest).max(w.now - at);
                    } else {
                        since.remove(&(h, n));
                    }
                }
            }
        };
        for tick in 0..500 {
            w.tick();
            wrong(&w, &mut longest);
            for host in w.hosts.iter_mut().filter(|_| tick % 20 == 0) {
                let ill = host
                    .fleet
                    .policies()
                    .into_iter()
                    .filter(|b| b.finding.bad.hosts > 0)
                    .map(|b| b.node);
                host.heard_ill.extend(ill);
            }
        }
        (w.unreached, w.deaf) = (BTreeSet::new(), BTreeSet::new());
        w.run(EVIDENCE_WINDOW + EJECTION_TIMEOUT);
        standing += w.hosts.iter().filter(|h| !h.avoids.is_empty()).count();
        naive += w.hosts.iter().map(|h| h.heard_ill.len()).sum::<usize>();
    }
    println!(
        "{all} cuts: a node that a host reaches was avoided for {longest:?} at most; after the cut {standing} \
         avoided; a host that believes what it hears would have avoided {naive}"
    );
    assert!(
        naive > 0,
        "nobody heard of anything, so this proves nothing"
    );
    assert_eq!(standing, 0);
    assert!(longest <= EVIDENCE_WINDOW + EJECTION_TIMEOUT, "{longest:?}");
}

/// A third of the hosts is ill and finds every node bad; the others go on by what they find.
#[test]
fn hosts_that_find_everything_bad_condemn_nothing_for_the_others() {
    let mut w = World::new(12, 8, 40.0, false, 9);
    w.run(ms(1500));
    w.unreached = (0..4).flat_map(|h| (0..8).map(move |n| (h, n))).collect();
    for _ in 0..500 {
        w.tick();
        let led = w.hosts[4..].iter().filter(|h| !h.avoids.is_empty()).count();
        assert_eq!(led, 0, "at {:?}", w.now);
    }
    let own_way = w.hosts[0]
        .fleet
        .policies()
        .iter()
        .filter(|b| b.policy == EndpointPolicy::BadPath)
        .count();
    assert!(
        own_way >= 6,
        "an ill host finds {own_way} of 8 to be its own way"
    );
}
