//! Tests with simulated fleets, each generated from a seed. Messages are late, lost and duplicated. An
//! adversary chooses which hosts can reach each other. Hosts restart without memory and pause. The tests
//! check invariants in every run, and measure two alternatives for comparison: even quotas, and a host
//! that avoids a node on any report.

mod common;
mod simulation;

use common::ms;
use grebecleat_coordination::evidence::EVIDENCE_WINDOW;
use grebecleat_coordination::outlier_detection::{EndpointPolicy, EJECTION_TIMEOUT};
use rand::Rng;
use simulation::{Host, World, LIMIT};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Returns the number of seeds: the value of the environment variable `WORLDS`, or `default`.
fn seeds(default: u64) -> u64 {
    std::env::var("WORLDS")
        .ok()
        .and_then(|count| count.parse().ok())
        .unwrap_or(default)
}

#[test]
fn a_rumor_of_a_failing_node_reaches_all_hosts_within_a_bounded_cost() {
    println!("hosts  last host knows  messages a host and second  bytes a host and second");
    // A simulation of a thousand hosts takes minutes in one process.
    let sizes: &[usize] = if seeds(0) > 0 {
        &[10, 100, 300, 1000]
    } else {
        &[10, 100]
    };
    for &hosts in sizes {
        let mut world = World::new(hosts, 100, 30.0, false, 3);
        world.run(ms(2000));
        let (sent, sent_bytes) = (world.sent, world.sent_bytes);
        world.run(ms(1000));
        let per_host = |count: u64| count as f64 / hosts as f64;
        let quiet = per_host(world.sent - sent);
        let quiet_bytes = per_host(world.sent_bytes - sent_bytes);
        world.dead.insert(7);
        let (begun, sent) = (world.now, world.sent);
        let has_heard = |host: &Host| host.nodes_found_bad().any(|node| node == 7);
        while !world.hosts.iter().all(has_heard) {
            world.tick();
            assert!(
                world.now < begun + ms(8000),
                "{hosts} hosts: not all have received the rumor after 8 s"
            );
        }
        let took = world.now - begun;
        let busy = per_host(world.sent - sent) / took.as_secs_f64();
        println!(
            "{hosts:>5}  {took:>15?}  {quiet:>6.1}, with a rumor {busy:>5.1}  {quiet_bytes:>10.0}"
        );
        // Two messages a round, up to four rounds in an interval of 0.2 s with a rumor, and random jitter.
        assert!(
            quiet.max(busy) <= 2.0 * 4.0 / 0.2 * 1.34,
            "{quiet} messages a host and second without a rumor, {busy} with one"
        );
        let all = world.hosts_with_a_policy_for(7);
        println!("       {all} of {hosts} hosts have changed their policy then");
        world.run(ms(5000));
        let all = world.hosts_with_a_policy_for(7);
        assert!(
            all * 10 >= hosts * 9,
            "{all} of {hosts} hosts have changed their policy"
        );
        // The node answers again. The hosts that probe it notice and report that.
        world.dead.clear();
        world.run(ms(8000));
        let avoids = |host: &&Host| host.avoided.contains(&7);
        let still = world.hosts.iter().filter(avoids).count();
        assert_eq!(still, 0, "{still} of {hosts} avoid a node that answers");
    }
}

#[test]
fn quotas_follow_demand_and_never_exceed_the_limit() {
    let mut world = World::new(10, 4, 1.0, true, 5);
    for (host, fraction) in [(0, 0.1), (1, 0.1), (2, 0.8)] {
        world.hosts[host].demand = LIMIT * fraction;
    }
    world.run(ms(6000));
    let used = |world: &World, quota: &dyn Fn(&Host) -> f64| {
        let hosts = world.hosts.iter();
        let used = hosts.map(|host| (quota(host) / 10.0).min(host.demand / LIMIT));
        used.sum::<f64>()
    };
    let leased = used(&world, &|host| host.quota);
    let even = used(&world, &|_| 1.0);
    println!(
        "used of a limit with demand 1:1:8 over ten hosts: {leased:.2}, with even quotas {even:.2}"
    );
    assert!(leased >= 0.9 && even < 0.35);
    // The busy host is cut off. It continues with its base quota, and the others get back theirs.
    let others = (0..10).filter(|host| *host != 2);
    world.cut = others.flat_map(|host| [(host, 2), (2, host)]).collect();
    world.hosts[5].demand = LIMIT * 0.1;
    world.run(ms(4000));
    assert!(
        world.hosts[2].quota >= 0.99 && world.hosts[5].quota >= 0.99,
        "{} {}",
        world.hosts[2].quota,
        world.hosts[5].quota
    );
    // After the cut the busy host borrows again the amounts that the others do not need.
    world.cut.clear();
    world.run(ms(5000));
    assert!(
        world.hosts[2].quota > 4.0 && world.hosts[5].quota >= 0.99,
        "{} {}",
        world.hosts[2].quota,
        world.hosts[5].quota
    );
}

/// Changes the demands and the cuts at random, and restarts or pauses a random host or none.
fn disturb(world: &mut World) {
    let hosts = world.hosts.len();
    for host in 0..hosts {
        let fraction = [0.0, 0.02, 0.5, 1.0][world.rng.random_range(0..4)];
        world.hosts[host].demand = LIMIT * fraction;
    }
    let kind = world.rng.random_range(0..3);
    world.cut.clear();
    for from in 0..hosts {
        for to in 0..hosts {
            let is_split = kind == 1 && (from % 2 != to % 2);
            if is_split || (kind == 2 && world.rng.random::<f64>() < 0.5) {
                world.cut.insert((from, to));
            }
        }
    }
    let host = world.rng.random_range(0..hosts);
    match world.rng.random_range(0..4) {
        0 => world.restart(host),
        1 => {
            let pause = ms(world.rng.random_range(500..4000));
            world.hosts[host].paused_until = world.now + pause;
        }
        _ => {}
    }
}

/// The demands and the cuts change about as often as leases are renewed, in steps of up to 1.5 s. Hosts
/// restart, or pause, in some cases for longer than their leases last.
#[test]
fn quotas_stay_within_the_limit_under_an_adversary() {
    for (hosts, default_seeds, steps) in [(6, 24, 20), (60, 2, 12), (300, 1, 6)] {
        let mut largest_sum: f64 = 0.0;
        let is_small = hosts == 6;
        let count = if is_small {
            seeds(default_seeds)
        } else {
            default_seeds
        };
        for seed in 0..count {
            let mut world = World::new(hosts, 4, 2.0, true, seed);
            world.loss = 0.1;
            for step in 0..steps {
                disturb(&mut world);
                let span = if step % 2 == 0 {
                    1000
                } else {
                    world.rng.random_range(100..1500)
                };
                let until = world.now + ms(span);
                while world.now < until {
                    world.tick();
                    world.check_quotas();
                    largest_sum = largest_sum.max(world.sum_of_quotas());
                }
            }
        }
        println!("{hosts} hosts: the quotas add up to at most {largest_sum:.3} of the limit");
    }
}

/// The number of hosts in the simulations with cuts.
const CUT_HOSTS: usize = 12;
/// The number of nodes in the simulations with cuts.
const CUT_NODES: u32 = 8;

/// Cuts a quarter or half of the hosts off from some nodes. For two of three seeds also cuts these hosts
/// off from the others, in one direction or in both.
fn cut_by_seed(world: &mut World, seed: u64) {
    let impaired = if seed.is_multiple_of(2) { 3 } else { 6 };
    for host in 0..impaired {
        for node in 0..world.rng.random_range(1..=CUT_NODES) {
            world.unreached.insert((host, node));
        }
    }
    if seed.is_multiple_of(3) {
        return;
    }
    for from in 0..CUT_HOSTS {
        for to in 0..CUT_HOSTS {
            let is_across = (from < impaired) != (to < impaired);
            if is_across && (seed % 3 == 1 || from < impaired) {
                world.cut.insert((from, to));
            }
        }
    }
}

/// Measures how long hosts avoid nodes that they can reach.
#[derive(Default)]
struct WrongAvoidance {
    since: BTreeMap<(usize, u32), Duration>,
    longest: Duration,
}

impl WrongAvoidance {
    fn observe(&mut self, world: &World) {
        for (index, host) in world.hosts.iter().enumerate() {
            for node in 0..CUT_NODES {
                let is_reached = !world.unreached.contains(&(index, node));
                if is_reached && host.avoided.contains(&node) {
                    let since = *self.since.entry((index, node)).or_insert(world.now);
                    self.longest = self.longest.max(world.now - since);
                } else {
                    self.since.remove(&(index, node));
                }
            }
        }
    }
}

#[test]
fn a_cut_ejects_no_reachable_node_for_longer_than_the_evidence_window_and_ejection_timeout() {
    let mut longest = Duration::ZERO;
    let mut would_avoid = 0;
    let mut still_avoid = 0;
    let all = seeds(100);
    for seed in 0..all {
        let mut world = World::new(CUT_HOSTS, CUT_NODES, 40.0, false, seed);
        world.run(ms(1500));
        cut_by_seed(&mut world, seed);
        let mut wrong = WrongAvoidance::default();
        for tick in 0..500 {
            world.tick();
            wrong.observe(&world);
            for host in world.hosts.iter_mut().filter(|_| tick % 20 == 0) {
                let found_bad: Vec<u32> = host.nodes_found_bad().collect();
                host.reported_bad.extend(found_bad);
            }
        }
        longest = longest.max(wrong.longest);
        world.unreached = BTreeSet::new();
        world.cut = BTreeSet::new();
        world.run(EVIDENCE_WINDOW + EJECTION_TIMEOUT);
        let hosts = || world.hosts.iter();
        still_avoid += hosts().filter(|host| !host.avoided.is_empty()).count();
        would_avoid += hosts().map(|host| host.reported_bad.len()).sum::<usize>();
    }
    println!(
        "{all} cuts: a host avoided a node that it can reach for at most {longest:?}; \
         {still_avoid} hosts avoided nodes after the cut; \
         hosts that avoid on every report would have avoided {would_avoid} nodes"
    );
    assert!(
        would_avoid > 0,
        "no host received a report of a bad node, so the test checks nothing"
    );
    assert_eq!(still_avoid, 0);
    assert!(longest <= EVIDENCE_WINDOW + EJECTION_TIMEOUT, "{longest:?}");
}

/// A third of the hosts is impaired and finds every node bad. The others continue to rely on their own
/// evidence.
#[test]
fn impaired_hosts_that_find_every_node_bad_eject_no_node_for_the_others() {
    let mut world = World::new(12, 8, 40.0, false, 9);
    world.run(ms(1500));
    world.unreached = (0..4)
        .flat_map(|host| (0..8).map(move |node| (host, node)))
        .collect();
    for _ in 0..500 {
        world.tick();
        let others = world.hosts[4..].iter();
        let avoiding = others.filter(|host| !host.avoided.is_empty()).count();
        assert_eq!(avoiding, 0, "hosts that avoid a node at {:?}", world.now);
    }
    let policies = world.hosts[0].coordinator.policies().into_iter();
    let bad_paths = policies
        .filter(|known| known.policy == EndpointPolicy::BadPath)
        .count();
    assert!(
        bad_paths >= 6,
        "an impaired host considers its path bad to {bad_paths} of 8 nodes, expected at least 6"
    );
}
