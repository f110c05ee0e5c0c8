//! A simulation of a fleet in one process: hosts, nodes, and a network that delays, loses and duplicates
//! messages.

use crate::common::ms;
use grebecleat_coordination::coordinator::Coordinator;
use grebecleat_coordination::events::{Action, CoordinationSettings, Event};
use grebecleat_coordination::lease_message::LeaseTerms;
use grebecleat_coordination::outlier_detection::EndpointPolicy;
use grebecleat_coordination::{HostNumber, Incarnation};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

pub const TICK: Duration = ms(10);
pub const RULES: CoordinationSettings = CoordinationSettings {
    interval: ms(200),
    leases: LeaseTerms {
        duration: ms(2000),
        margin: ms(250),
    },
};
const VOLUME: u64 = 7;
/// The limit of the volume, in units a second.
pub const LIMIT: f64 = 1000.0;
/// The upper bound of a message's delay in milliseconds if `World::loss` is 0.
const MAX_DELAY_MS: u64 = 5;
/// The upper bound of a message's delay in milliseconds if messages can be lost.
const MAX_DELAY_WITH_LOSS_MS: u64 = 400;

/// A simulated host.
pub struct Host {
    pub coordinator: Coordinator,
    incarnation: u64,
    inbox: Vec<(HostNumber, Vec<u8>)>,
    /// Until then the host's process is paused.
    pub paused_until: Duration,
    /// The host's quota as a multiple of its base quota.
    pub quota: f64,
    /// The nodes that the host avoids.
    pub avoided: BTreeSet<u32>,
    /// The nodes that any host has ever reported to this host as bad. A host that avoided nodes on every
    /// report would have avoided all of them.
    pub reported_bad: BTreeSet<u32>,
    /// The demand of the host's clients, in units a second.
    pub demand: f64,
}

/// A message in flight.
struct InFlight {
    from: HostNumber,
    to: usize,
    bytes: Vec<u8>,
}

/// The simulated fleet with its network.
pub struct World {
    pub now: Duration,
    pub rng: Pcg64Mcg,
    pub hosts: Vec<Host>,
    /// The nodes, with the start of each node's process.
    nodes: BTreeMap<u32, u64>,
    /// The number of attempts of each host a second.
    attempt_rate: f64,
    /// The messages in flight, by arrival time and number.
    in_flight: BTreeMap<(Duration, u64), InFlight>,
    /// The number of messages that were sent so far.
    pub sent: u64,
    /// The bytes of these messages.
    pub sent_bytes: u64,
    /// Pairs of hosts of which the first cannot reach the second.
    pub cut: BTreeSet<(usize, usize)>,
    /// The probability that a message is lost, and the probability that it is duplicated.
    pub loss: f64,
    /// The nodes that no host can reach.
    pub dead: BTreeSet<u32>,
    /// Pairs of a host and a node that the host cannot reach.
    pub unreached: BTreeSet<(usize, u32)>,
}

impl World {
    pub fn new(hosts: usize, nodes: u32, attempt_rate: f64, shared: bool, seed: u64) -> World {
        let mut world = World {
            now: ms(5000),
            rng: Pcg64Mcg::seed_from_u64(seed),
            hosts: Vec::new(),
            nodes: (0..nodes).map(|node| (node, 1)).collect(),
            attempt_rate,
            in_flight: BTreeMap::new(),
            sent: 0,
            sent_bytes: 0,
            cut: BTreeSet::new(),
            loss: 0.0,
            dead: BTreeSet::new(),
            unreached: BTreeSet::new(),
        };
        for index in 0..hosts {
            let host = world.start_host(index, hosts, 1, shared);
            world.hosts.push(host);
        }
        world
    }

    fn start_host(&mut self, index: usize, hosts: usize, incarnation: u64, shared: bool) -> Host {
        let me = HostNumber(index as u32);
        let all = || (0..hosts as u32).map(HostNumber);
        let seed = self.rng.random();
        let coordinator = Coordinator::new(
            self.now,
            me,
            Incarnation(incarnation),
            all().filter(|host| *host != me).collect(),
            RULES,
            seed,
        );
        let mut host = Host {
            coordinator,
            incarnation,
            inbox: Vec::new(),
            paused_until: Duration::ZERO,
            quota: if shared { 1.0 } else { 0.0 },
            avoided: BTreeSet::new(),
            reported_bad: BTreeSet::new(),
            demand: 0.0,
        };
        let mut events = vec![Event::NodesInUse(self.nodes.clone())];
        if shared {
            events.push(Event::VolumeChanged {
                volume: VOLUME,
                sharers: all().collect(),
                limit: LIMIT,
            });
        }
        let messages = host.step(self.now, events);
        assert!(
            messages.is_empty(),
            "a host must not send messages before its first round"
        );
        host
    }

    pub fn tick(&mut self) {
        self.now += TICK;
        self.deliver();
        for index in 0..self.hosts.len() {
            if self.now < self.hosts[index].paused_until {
                continue;
            }
            let events = self.events_of(index);
            let is_due = self.now >= self.hosts[index].coordinator.wake_at();
            if events.is_empty() && !is_due {
                continue;
            }
            for (to, bytes) in self.hosts[index].step(self.now, events) {
                self.send(index, to.0 as usize, bytes);
            }
        }
    }

    fn deliver(&mut self) {
        while let Some(first) = self.in_flight.first_entry() {
            if first.key().0 > self.now {
                break;
            }
            let message = first.remove();
            let inbox = &mut self.hosts[message.to].inbox;
            inbox.push((message.from, message.bytes));
        }
    }

    /// Returns the events of a host in a tick: received messages, ended attempts, and requested units.
    fn events_of(&mut self, index: usize) -> Vec<Event> {
        let mut events = Vec::new();
        for (from, bytes) in std::mem::take(&mut self.hosts[index].inbox) {
            events.push(Event::MessageReceived {
                from,
                waited: ms(0),
                bytes,
            });
        }
        let attempts = self.attempt_rate * TICK.as_secs_f64();
        let rounds_up = self.rng.random::<f64>() < attempts.fract();
        for _ in 0..attempts as usize + usize::from(rounds_up) {
            let node = self.rng.random_range(0..self.nodes.len() as u32);
            if !self.hosts[index].avoided.contains(&node) {
                let bad = self.dead.contains(&node) || self.unreached.contains(&(index, node));
                events.push(Event::AttemptEnded { node, bad });
            }
        }
        let demand = self.hosts[index].demand;
        if demand > 0.0 {
            events.push(Event::UnitsRequested {
                volume: VOLUME,
                units: demand * TICK.as_secs_f64(),
            });
        }
        events
    }

    fn send(&mut self, from: usize, to: usize, bytes: Vec<u8>) {
        self.sent += 1;
        self.sent_bytes += bytes.len() as u64;
        if self.cut.contains(&(from, to)) || self.rng.random::<f64>() < self.loss {
            return;
        }
        let duplicated = self.rng.random::<f64>() < self.loss;
        let max_delay = if self.loss > 0.0 {
            MAX_DELAY_WITH_LOSS_MS
        } else {
            MAX_DELAY_MS
        };
        for _ in 0..1 + usize::from(duplicated) {
            let delay = ms(self.rng.random_range(0..max_delay));
            let number = self.sent * 2 + u64::from(self.rng.random::<bool>());
            let message = InFlight {
                from: HostNumber(from as u32),
                to,
                bytes: bytes.clone(),
            };
            self.in_flight.insert((self.now + delay, number), message);
        }
    }

    /// Runs for a time span, and checks in each tick that the quotas do not exceed the limit.
    pub fn run(&mut self, span: Duration) {
        let until = self.now + span;
        while self.now < until {
            self.tick();
            self.check_quotas();
        }
    }

    /// Returns the sum of the quotas as a fraction of the limit. Paused hosts are left out, since they serve
    /// nothing, and drop expired leases before anything else when they continue.
    pub fn sum_of_quotas(&self) -> f64 {
        let running = self
            .hosts
            .iter()
            .filter(|host| self.now >= host.paused_until);
        running.map(|host| host.quota).sum::<f64>() / self.hosts.len() as f64
    }

    pub fn check_quotas(&self) {
        let quotas = self.sum_of_quotas();
        assert!(
            quotas <= 1.0 + 1e-6,
            "the quotas add up to {quotas} times the limit at {:?}",
            self.now
        );
    }

    /// Restarts a host without memory. Its incarnation may be the same as before, as if its clock had gone
    /// back.
    pub fn restart(&mut self, index: usize) {
        let incarnation = self.hosts[index].incarnation + self.rng.random_range(0..2);
        let demand = self.hosts[index].demand;
        let hosts = self.hosts.len();
        let mut new = self.start_host(index, hosts, incarnation.max(1), true);
        new.demand = demand;
        self.hosts[index] = new;
    }

    /// Returns the number of hosts whose policy for the node is not their own evidence.
    pub fn hosts_with_a_policy_for(&self, node: u32) -> usize {
        let policies = self
            .hosts
            .iter()
            .map(|host| host.coordinator.policy_of(node));
        policies
            .filter(|policy| *policy != EndpointPolicy::OwnEvidence)
            .count()
    }
}

impl Host {
    /// Passes events to the host's coordinator, and returns the messages that it sends.
    fn step(&mut self, now: Duration, events: Vec<Event>) -> Vec<(HostNumber, Vec<u8>)> {
        let mut messages = Vec::new();
        for action in self.coordinator.step(now, events) {
            match action {
                Action::Send { to, bytes } => messages.push((to, bytes)),
                Action::QuotaChanged {
                    base_quota_multiple,
                    ..
                } => self.quota = base_quota_multiple,
                Action::PolicyChanged { node, policy } => {
                    if policy == EndpointPolicy::Avoid {
                        self.avoided.insert(node);
                    } else {
                        self.avoided.remove(&node);
                    }
                }
                Action::Log { .. } => {}
            }
        }
        messages
    }

    /// Returns the nodes that any host finds bad, as far as this host knows.
    pub fn nodes_found_bad(&self) -> impl Iterator<Item = u32> {
        let policies = self.coordinator.policies().into_iter();
        policies
            .filter(|known| known.finding.bad.hosts > 0)
            .map(|known| known.node)
    }
}
