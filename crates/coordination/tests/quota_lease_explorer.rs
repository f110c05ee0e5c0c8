//! Explores the reachable states of the leases of one limit among up to three hosts. Messages are
//! lost, duplicated, overtaken, or arrive after the end of their sender's incarnation. Hosts die
//! and restart without their memory. A clock loses a tick. The third host joins after the first two
//! have followed. In every state the hosts' quotas add up to at most the limit. Worlds with an
//! injected fault, on the other side of the leases' interface, must violate that.

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
/// Messages in flight, at most; a further message is not sent.
const MAX_IN_FLIGHT: usize = 2;
/// The time in ticks since the start of a host whose recovery is over.
const LONG_AGO: u64 = 50;
/// States that are visited, at most, if a world has more.
const MAX_STATES: usize = 250_000;

/// Returns a duration in ticks, of one second each.
const fn ticks(count: u64) -> Duration {
    Duration::from_secs(count)
}

/// A fault that is injected into a world.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    None,
    /// A host that restarts assumes that it has granted no lease.
    SkipsRecovery,
    /// One host sends `Cleared` in the name of another host, without knowing that host's leases.
    ClearedByThirdHost,
    /// Messages count as messages of their sender's present incarnation.
    IncarnationsMixedUp,
    /// A clock loses more than the margin.
    SlowClock,
    /// The lender counts the duration from the request, and not from its grant.
    CountsFromRequest,
    /// A release is sent before the borrower has dropped the lease.
    ReleasedTooEarly,
    /// One grant counts as the answer to another request as well.
    GrantsMixedUp,
    /// The third host begins before the first two hosts have followed.
    JoinsTooEarly,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Host {
    leases: Option<QuotaLeases>,
    clock: u64,
    incarnation: u64,
    slips: u8,
    follows: bool,
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

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct World {
    time: u64,
    hosts: Vec<Host>,
    /// Receivers and what they receive.
    in_flight: Vec<(usize, ReceivedLeaseMessage)>,
    mishaps: u8,
    joining: bool,
    /// Hosts that have had their round in this tick.
    had_round: Vec<bool>,
}

impl World {
    /// Returns a message in flight, and removes it unless it is duplicated.
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

/// The worlds that follow from one world.
struct Successors<'a> {
    world: &'a World,
    found: Vec<World>,
}

impl Successors<'_> {
    /// Adds the world after a change, if the world differs.
    fn add(&mut self, change: impl FnOnce(&mut World)) {
        let mut next = self.world.clone();
        change(&mut next);
        if next != *self.world {
            self.found.push(next);
        }
    }

    /// Adds the world after a mishap.
    fn add_mishap(&mut self, change: impl FnOnce(&mut World)) {
        self.add(|next| {
            next.mishaps += 1;
            change(next);
        });
    }
}

struct Model {
    fault: Fault,
    hosts: usize,
    end: u64,
    max_mishaps: u8,
    joins: bool,
}

impl Model {
    fn start(&self) -> World {
        let sharer_count = if self.joins { 2 } else { self.hosts };
        // Clocks begin apart, far enough from zero that no host's start is near it.
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
            slips: 0,
            follows: false,
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

    /// Returns the demand of a host. The demand moves from the first host to the second at half
    /// time.
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
            if self.fault == Fault::ClearedByThirdHost && message == LeaseMessage::Recovered {
                let cleared = ReceivedLeaseMessage {
                    from: to,
                    incarnation: Incarnation(world.hosts[to.0 as usize].incarnation),
                    sharers,
                    message: LeaseMessage::Cleared {
                        recovered_incarnation: incarnation,
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
        let leases = world.hosts[index].leases.as_mut().expect("alive");
        leases.set_demand(demand);
        let messages = leases.run_round(now, &lenders);
        self.send(world, index, messages);
    }

    /// Restarts a host before any clock moves, which is the worst time.
    fn restart(&self, world: &mut World, index: usize) {
        let host = &mut world.hosts[index];
        let sharer_count = host.sharer_count().unwrap_or(self.hosts);
        host.incarnation += 1;
        let skipped = if self.fault == Fault::SkipsRecovery {
            LONG_AGO
        } else {
            0
        };
        host.leases = Some(QuotaLeases::new(
            ticks(host.clock - skipped),
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
            let alive = world.hosts[host].leases.is_some();
            if alive && !world.had_round[host] {
                successors.add(|next| self.run_round(next, host));
            }
            if mishaps_left && alive {
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

    /// Adds the worlds in which a message arrives once, twice, or never.
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

    /// Adds the worlds in which one of the first two hosts follows, or the third host joins.
    fn add_joins(&self, successors: &mut Successors) {
        for host in 0..2 {
            successors.add(|next| {
                next.hosts[host].follows = true;
                if let Some(leases) = &mut next.hosts[host].leases {
                    leases.set_sharers(sharers(3));
                }
            });
        }
        let both_follow = successors.world.hosts[..2].iter().all(|host| host.follows);
        if both_follow || self.fault == Fault::JoinsTooEarly {
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

    /// Adds the worlds in which all clocks move, or all clocks but one.
    fn add_ticks(&self, successors: &mut Successors, mishaps_left: bool) {
        successors.add(|next| {
            next.tick();
            for host in &mut next.hosts {
                host.clock += 1;
            }
        });
        let is_slow = self.fault == Fault::SlowClock;
        let max_slips = if is_slow { 3 } else { 1 };
        for slow in 0..self.hosts {
            if successors.world.hosts[slow].slips >= max_slips || !mishaps_left {
                continue;
            }
            successors.add(|next| {
                next.tick();
                next.mishaps += u8::from(!is_slow);
                next.hosts[slow].slips += 1;
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

/// Handles a grant as the answer to the requests before and after its own as well.
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
        let (visited, broken) = Model {
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
        assert!(visited > 1_000, "{visited} states are no exploration");
        assert!(broken.is_none(), "{broken:#?}");
    }
}

#[test]
fn injected_faults_are_found() {
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
        let (visited, broken) = Model {
            fault,
            hosts: if joins { 3 } else { 2 },
            end: 6,
            max_mishaps: 2,
            joins,
        }
        .explore(8 * MAX_STATES);
        println!("{fault:?}: after {visited} states");
        assert!(
            broken.is_some(),
            "{fault:?} is not found in {visited} states"
        );
    }
}
