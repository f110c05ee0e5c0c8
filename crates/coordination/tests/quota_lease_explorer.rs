//! A model checker for the leases of one limit among up to three hosts. It explores the reachable states in
//! breadth-first order. Messages are lost, duplicated, reordered, or arrive after their sender has
//! restarted. Hosts restart without memory. A clock loses a tick. A third host joins after the first two
//! have applied the new set of sharers. In every state the hosts' quotas must add up to at most the limit.
//! Models with a fault, which is injected outside the code under test, must violate this invariant.

mod common;

use common::sharers;
use grebecleat_coordination::borrowed_leases::{Lender, OutgoingLeaseMessage};
use grebecleat_coordination::lease_message::{
    LeaseMessage, LeaseTerms, ReceivedLeaseMessage, FULL_LIMIT,
};
use grebecleat_coordination::quota_lease::QuotaLeases;
use grebecleat_coordination::{HostNumber, Incarnation};
use std::collections::{HashSet, VecDeque};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

const TERMS: LeaseTerms = LeaseTerms {
    duration: ticks(2),
    margin: ticks(1),
};
/// The maximum number of messages in flight; further messages are lost.
const MAX_IN_FLIGHT: usize = 2;
/// The age in ticks of a host that starts with its recovery over.
const LONG_AGO: u64 = 50;
/// The maximum number of states that are visited in one exploration without a fault.
const MAX_STATES: usize = 250_000;

/// Returns a duration in ticks, of one second each.
const fn ticks(count: u64) -> Duration {
    Duration::from_secs(count)
}

/// A fault that is injected into the model.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    None,
    /// A restarted host assumes that it has granted no leases.
    SkipsRecovery,
    /// `Cleared` is sent in the name of a host, without regard to the leases that this host uses.
    ClearedByThirdHost,
    /// A message is taken for one of its sender's present incarnation.
    IncarnationsMixedUp,
    /// A clock loses more than the margin.
    SlowClock,
    /// The lender counts the duration from the request instead of from the grant.
    CountsFromRequest,
    /// A release arrives although the borrower has not dropped the lease.
    ReleasedTooEarly,
    /// A grant is also taken for the answer to other requests.
    GrantsMixedUp,
    /// The third host joins before the first two have applied the new set of sharers.
    JoinsTooEarly,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Host {
    /// `None` if the host has not joined yet.
    leases: Option<QuotaLeases>,
    /// The host's clock, in ticks.
    clock: u64,
    incarnation: u64,
    /// The number of ticks that the clock has lost.
    lost_ticks: u8,
    /// The host knows that the third host shares the limit.
    knows_new_sharer: bool,
}

impl Host {
    fn now(&self) -> Duration {
        ticks(self.clock)
    }

    fn quota(&self) -> u64 {
        let leases = self.leases.as_ref();
        leases.map_or(0, |leases| u64::from(leases.quota(self.now())))
    }

    fn sharer_count(&self) -> Option<usize> {
        let leases = self.leases.as_ref();
        leases.map(|leases| leases.sharers().len())
    }
}

/// A state of the model.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct World {
    /// The true time, in ticks.
    time: u64,
    hosts: Vec<Host>,
    /// The messages in flight, with their receivers.
    in_flight: Vec<(usize, ReceivedLeaseMessage)>,
    /// The number of restarts, lost or duplicated messages and lost ticks so far. Lost ticks do not count
    /// under `Fault::SlowClock`.
    mishaps: u8,
    /// The third host has yet to join.
    joining: bool,
    /// Whether each host has run its round in this tick.
    had_round: Vec<bool>,
}

impl World {
    /// Returns a message in flight, and removes it unless it will arrive again.
    fn take_message(&mut self, at: usize, duplicated: bool) -> (usize, ReceivedLeaseMessage) {
        let message = self.in_flight[at];
        if !duplicated {
            self.in_flight.remove(at);
        }
        message
    }

    fn tick(&mut self) {
        self.time += 1;
        self.had_round.fill(false);
    }

    fn sum_of_quotas(&self) -> u64 {
        self.hosts.iter().map(Host::quota).sum()
    }
}

/// The states that can follow one state.
struct Successors<'a> {
    world: &'a World,
    found: Vec<World>,
}

impl Successors<'_> {
    /// Adds the state after a change if it differs from the present one.
    fn add(&mut self, change: impl FnOnce(&mut World)) {
        let mut next = self.world.clone();
        change(&mut next);
        if next != *self.world {
            self.found.push(next);
        }
    }

    /// Adds the state after a mishap.
    fn add_mishap(&mut self, change: impl FnOnce(&mut World)) {
        self.add(|next| {
            next.mishaps += 1;
            change(next);
        });
    }
}

/// The parameters of one exploration.
struct Model {
    fault: Fault,
    hosts: usize,
    /// The last tick that is explored.
    end: u64,
    max_mishaps: u8,
    /// The third host joins during the exploration.
    joins: bool,
}

impl Model {
    fn start(&self) -> World {
        let sharer_count = if self.joins { 2 } else { self.hosts };
        // The clocks differ, and are far enough from zero that all start times are positive.
        let host = |index: usize| Host {
            leases: (index < sharer_count).then(|| {
                let started_at = ticks(90 + 3 * index as u64);
                QuotaLeases::new(
                    started_at,
                    HostNumber(index as u32),
                    Incarnation(1),
                    TERMS,
                    sharers(sharer_count),
                )
            }),
            clock: 100 + 3 * index as u64,
            incarnation: 1,
            lost_ticks: 0,
            knows_new_sharer: false,
        };
        let hosts = (0..self.hosts).map(host).collect();
        World {
            time: 0,
            hosts,
            in_flight: Vec::new(),
            mishaps: 0,
            joining: self.joins,
            had_round: vec![false; self.hosts],
        }
    }

    /// Returns the demand of a host. In the first half only the first host has a demand, in the second half
    /// only the others.
    fn demand(&self, world: &World, host: usize) -> u32 {
        let first_half = world.time < self.end / 2;
        if (host == 0) == first_half {
            FULL_LIMIT
        } else {
            0
        }
    }

    fn send(&self, world: &mut World, from: usize, messages: Vec<OutgoingLeaseMessage>) {
        let sharers = world.hosts[from].sharer_count().unwrap_or(0) as u32;
        let incarnation = Incarnation(world.hosts[from].incarnation);
        for OutgoingLeaseMessage { to, message } in messages {
            let received = ReceivedLeaseMessage {
                from: HostNumber(from as u32),
                incarnation,
                sharers,
                message,
            };
            if self.fault == Fault::ClearedByThirdHost && message == LeaseMessage::Recovering {
                let cleared = ReceivedLeaseMessage {
                    from: to,
                    incarnation: Incarnation(world.hosts[to.0 as usize].incarnation),
                    sharers,
                    message: LeaseMessage::Cleared {
                        recovering_incarnation: incarnation,
                    },
                };
                world.in_flight.push((from, cleared));
            }
            if world.in_flight.len() < MAX_IN_FLIGHT {
                world.in_flight.push((to.0 as usize, received));
            }
        }
        world.in_flight.sort_unstable();
        world.in_flight.dedup();
    }

    fn deliver(&self, world: &mut World, at: usize, duplicated: bool) {
        let (to, mut received) = world.take_message(at, duplicated);
        if self.fault == Fault::IncarnationsMixedUp {
            let sender = &world.hosts[received.from.0 as usize];
            received.incarnation = Incarnation(sender.incarnation);
        }
        let mut now = world.hosts[to].now();
        let is_request = matches!(received.message, LeaseMessage::Request { .. });
        if self.fault == Fault::CountsFromRequest && is_request {
            now -= ticks(3);
        }
        let Some(leases) = world.hosts[to].leases.as_mut() else {
            return;
        };
        let answers = leases.handle_message(now, received);
        if self.fault == Fault::GrantsMixedUp {
            grant_other_requests(leases, now, received);
        }
        self.send(world, to, answers);
        if let (Fault::ReleasedTooEarly, LeaseMessage::Request { lease, .. }) =
            (self.fault, received.message)
        {
            let release = ReceivedLeaseMessage {
                message: LeaseMessage::Release { lease },
                ..received
            };
            if world.in_flight.len() < MAX_IN_FLIGHT {
                world.in_flight.push((to, release));
            }
        }
    }

    fn run_round(&self, world: &mut World, index: usize) {
        world.had_round[index] = true;
        let demand = self.demand(world, index);
        let mut lenders = Vec::new();
        for (other, host) in world.hosts.iter().enumerate() {
            if let Some(leases) = host.leases.as_ref().filter(|_| other != index) {
                lenders.push(Lender {
                    host: HostNumber(other as u32),
                    spare: leases.spare(host.now()),
                });
            }
        }
        let now = world.hosts[index].now();
        let leases = world.hosts[index]
            .leases
            .as_mut()
            .expect("only a host that has joined runs rounds");
        leases.set_demand(demand);
        let messages = leases.run_round(now, &lenders);
        self.send(world, index, messages);
    }

    /// Restarts a host without memory. No clock advances during the restart, which is the worst case.
    fn restart(&self, world: &mut World, index: usize) {
        let host = &mut world.hosts[index];
        let sharer_count = host.sharer_count().unwrap_or(self.hosts);
        host.incarnation += 1;
        let skipped_ticks = if self.fault == Fault::SkipsRecovery {
            LONG_AGO
        } else {
            0
        };
        host.leases = Some(QuotaLeases::new(
            ticks(host.clock - skipped_ticks),
            HostNumber(index as u32),
            Incarnation(host.incarnation),
            TERMS,
            sharers(sharer_count),
        ));
    }

    fn next(&self, world: &World) -> Vec<World> {
        let mut successors = Successors {
            world,
            found: Vec::new(),
        };
        let mishaps_left = world.mishaps < self.max_mishaps;
        self.add_deliveries(&mut successors, mishaps_left);
        for host in 0..self.hosts {
            let has_joined = world.hosts[host].leases.is_some();
            if has_joined && !world.had_round[host] {
                successors.add(|next| self.run_round(next, host));
            }
            if mishaps_left && has_joined {
                successors.add_mishap(|next| self.restart(next, host));
            }
        }
        if world.joining {
            self.add_joins(&mut successors);
        }
        if world.time < self.end {
            self.add_ticks(&mut successors, mishaps_left);
        }
        successors.found
    }

    /// Adds the states after a message arrives, arrives and stays in flight, or is lost.
    fn add_deliveries(&self, successors: &mut Successors, mishaps_left: bool) {
        for at in 0..successors.world.in_flight.len() {
            successors.add(|next| self.deliver(next, at, false));
            if mishaps_left {
                successors.add_mishap(|next| self.deliver(next, at, true));
                successors.add_mishap(|next| {
                    next.in_flight.remove(at);
                });
            }
        }
    }

    /// Adds the states after one of the first two hosts applies the new set of sharers, or the third host
    /// joins.
    fn add_joins(&self, successors: &mut Successors) {
        for host in 0..2 {
            successors.add(|next| {
                next.hosts[host].knows_new_sharer = true;
                if let Some(leases) = &mut next.hosts[host].leases {
                    leases.set_sharers(sharers(3));
                }
            });
        }
        let both_know = successors.world.hosts[..2]
            .iter()
            .all(|host| host.knows_new_sharer);
        if both_know || self.fault == Fault::JoinsTooEarly {
            successors.add(|next| {
                next.joining = false;
                let now = next.hosts[2].now();
                next.hosts[2].leases = Some(QuotaLeases::new(
                    now - ticks(LONG_AGO),
                    HostNumber(2),
                    Incarnation(1),
                    TERMS,
                    sharers(3),
                ));
            });
        }
    }

    /// Adds the states after a tick in which all clocks advance, or all clocks but one.
    fn add_ticks(&self, successors: &mut Successors, mishaps_left: bool) {
        successors.add(|next| {
            next.tick();
            for host in &mut next.hosts {
                host.clock += 1;
            }
        });
        let is_slow = self.fault == Fault::SlowClock;
        let max_lost_ticks = if is_slow { 3 } else { 1 };
        for slow in 0..self.hosts {
            if successors.world.hosts[slow].lost_ticks >= max_lost_ticks || !mishaps_left {
                continue;
            }
            successors.add(|next| {
                next.tick();
                next.mishaps += u8::from(!is_slow);
                next.hosts[slow].lost_ticks += 1;
                for (index, host) in next.hosts.iter_mut().enumerate() {
                    host.clock += u64::from(index != slow);
                }
            });
        }
    }

    /// Returns the number of visited states, and the first state in which the quotas exceed the
    /// limit.
    fn explore(&self, max_states: usize) -> (usize, Option<World>) {
        let mut visited: HashSet<u64> = HashSet::new();
        let mut open = VecDeque::from([self.start()]);
        while let Some(world) = open.pop_front() {
            let mut hasher = DefaultHasher::new();
            world.hash(&mut hasher);
            if !visited.insert(hasher.finish()) {
                continue;
            }
            if world.sum_of_quotas() > u64::from(FULL_LIMIT) {
                return (visited.len(), Some(world));
            }
            if visited.len() >= max_states {
                break;
            }
            open.extend(self.next(&world));
        }
        (visited.len(), None)
    }
}

/// Also handles a grant as the answer to the requests before and after its own.
fn grant_other_requests(leases: &mut QuotaLeases, now: Duration, received: ReceivedLeaseMessage) {
    let LeaseMessage::Grant {
        request,
        borrower_incarnation,
        amount,
    } = received.message
    else {
        return;
    };
    for other in [request.wrapping_sub(2), request + 2] {
        let message = LeaseMessage::Grant {
            request: other,
            borrower_incarnation,
            amount,
        };
        leases.handle_message(
            now,
            ReceivedLeaseMessage {
                message,
                ..received
            },
        );
    }
}

#[test]
fn the_quotas_of_a_limit_never_exceed_it() {
    for (hosts, end, max_mishaps, joins) in [
        (2, 4, 1, false),
        (2, 6, 1, false),
        (2, 4, 2, false),
        (3, 4, 1, true),
    ] {
        let (visited, violation) = Model {
            fault: Fault::None,
            hosts,
            end,
            max_mishaps,
            joins,
        }
        .explore(MAX_STATES);
        let which = if visited < MAX_STATES {
            "all"
        } else {
            "the first"
        };
        println!(
            "{hosts} hosts, {end} ticks, {max_mishaps} mishaps, joins {joins}: \
             {which} {visited} states"
        );
        assert!(
            visited > 1_000,
            "only {visited} states were visited, expected more than 1000"
        );
        assert!(violation.is_none(), "{violation:#?}");
    }
}

#[test]
fn every_injected_fault_lets_the_quotas_exceed_the_limit() {
    let faults = [
        Fault::SkipsRecovery,
        Fault::ClearedByThirdHost,
        Fault::IncarnationsMixedUp,
        Fault::SlowClock,
        Fault::CountsFromRequest,
        Fault::ReleasedTooEarly,
        Fault::GrantsMixedUp,
        Fault::JoinsTooEarly,
    ];
    for fault in faults {
        let joins = fault == Fault::JoinsTooEarly;
        let (visited, violation) = Model {
            fault,
            hosts: if joins { 3 } else { 2 },
            end: 6,
            max_mishaps: 2,
            joins,
        }
        .explore(8 * MAX_STATES);
        println!("{fault:?}: after {visited} states");
        assert!(
            violation.is_some(),
            "{fault:?} does not violate the limit in {visited} states"
        );
    }
}
