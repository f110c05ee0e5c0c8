//! Many hosts before one cold node, summed: what the first sends of all add up to in any window of the rule.
//! Of twenty or thirty hosts no more may come than the settings allow, and what chance adds to that: N + 2 x
//! root of N + 2 mean requests.

mod common;
use common::*;
use grebecleat_scheduler::api::*;
use grebecleat_scheduler::scheduler::*;
use std::collections::BTreeMap;

const MEAN: f64 = 2.0;
const START: u64 = 1000;
const TICK: u64 = 10;

/// How hosts come to want the node.
#[derive(Debug, Clone, Copy)]
struct Wave {
    hosts: u64,
    /// Nothing is asked for so long after the start was told; then by all at once.
    quiet: u64,
    /// After so long all hosts are started anew, with the list that they remember.
    restart: Option<u64>,
    /// Units of the requests, in turn.
    sizes: &'static [f64],
    /// Only every so many-th host has as much as it can send; the others have one request in so many ticks.
    eager: u64,
}

const PLAIN: Wave = Wave {
    hosts: 30,
    quiet: 0,
    restart: None,
    sizes: &[2.0],
    eager: 1,
};

fn started(seed: u64, now: u64, hosts: u64) -> Scheduler {
    let rule = SlowStartPolicy {
        hosts: hosts as usize,
        ..slow_start_policy()
    };
    let listing = DiscoveryPolicy {
        polled: false,
        poll_interval: ms(10_000),
        lease: None,
    };
    let (traffic_classes, plans) = (vec![stream(Idempotency::Idempotent)], vec![plan(1.0)]);
    let mut c = Scheduler::new(seed, traffic_classes, plans, units(), host_limits()).with_rules(
        rule,
        listing,
        None,
        ms(0),
    );
    let told = vec![entry(1, NodeState::Ready, Some(ms(START - 1)))];
    at(&mut c, now, vec![list(EndpointUpdateKind::Cached, told)]);
    c
}

fn name(n: u32) -> RequestId {
    let mut id = id(0);
    id.0[..4].copy_from_slice(&n.to_le_bytes());
    id
}

/// One host and what its clients want.
struct Busy {
    scheduler: Scheduler,
    /// Units of what is with the host.
    with: BTreeMap<RequestId, f64>,
    out: Vec<RequestId>,
}

/// The largest sum of units in any window of the rule, in mean requests.
#[allow(clippy::too_many_lines)] // one scene, read from top to bottom
fn largest_sum(wave: Wave, seed: u64) -> f64 {
    let fresh = |n: u64, now| Busy {
        scheduler: started(seed * 1000 + n + now * 7919, now, wave.hosts),
        with: BTreeMap::new(),
        out: Vec::new(),
    };
    let mut fleet: Vec<Busy> = (0..wave.hosts).map(|n| fresh(n, START)).collect();
    let (mut next, mut sent) = (0u32, Vec::new());
    let wanted_from = START + wave.quiet;
    let end = wanted_from.max(START + wave.restart.unwrap_or(0)) + 3000;
    for now in (START + TICK..end).step_by(TICK as usize) {
        if now < wanted_from && !now.is_multiple_of(TICK * 10) {
            continue; // nothing happens in a quiet time but that buckets fill
        }
        if wave.restart.is_some_and(|after| now == START + after) {
            fleet = (0..wave.hosts).map(|n| fresh(n, now)).collect();
        }
        for (n, host) in fleet.iter_mut().enumerate() {
            let mut events: Vec<Event> = Vec::new();
            for id in std::mem::take(&mut host.out) {
                host.with.remove(&id);
                events.push(Event::AttemptEnded(AttemptEnd {
                    id,
                    attempt: 0,
                    node: NodeId(1),
                    outcome: AttemptOutcome::Completed,
                    elapsed: ms(TICK),
                    answered: true,
                    reported: None,
                    others: 0.0,
                    busy: None,
                }));
            }
            let eager = (n as u64).is_multiple_of(wave.eager);
            let most = if eager { 2 } else { 1 };
            let due = eager || (now / TICK + n as u64 * 13).is_multiple_of(100);
            while now >= wanted_from && due && host.with.len() < most {
                next += 1;
                let units = wave.sizes[(next as usize * 7 + n) % wave.sizes.len()];
                host.with.insert(name(next), units);
                events.push(Event::RequestReceived(Request {
                    id: name(next),
                    units,
                    hosts: wave.hosts as usize,
                    ..request(0, ms(now + 3000))
                }));
            }
            let (out, deferred, abandoned) = at(&mut host.scheduler, now, events);
            for id in deferred.into_iter().chain(abandoned) {
                host.with.remove(&id);
            }
            sent.extend(out.iter().map(|(id, _)| (now, host.with[id])));
            host.out = out.into_iter().map(|(id, _)| id).collect();
        }
    }
    let span = slow_start_policy().overload_window.as_millis() as u64;
    let window = |from: u64| {
        sent.iter()
            .filter(move |(at, _)| (from..from + span).contains(at))
            .map(|s| s.1)
    };
    sent.iter()
        .map(|(at, _)| window(*at).sum::<f64>() / MEAN)
        .fold(0.0, f64::max)
}

/// What chance may add to the settings' always-borne units, in mean requests.
fn most() -> f64 {
    let n = slow_start_policy().units / MEAN;
    n + 2.0 * n.sqrt() + 2.0
}

/// Without what a full bucket loses, 30 hosts sent 30 in two seconds after six of quiet, and 20 hosts 20
/// after four: the debts that spread them were paid by then, and a bucket lets one request into debt.
#[test]
fn hosts_that_all_want_a_cold_node_after_a_quiet_time_keep_to_the_sum_of_their_parts() {
    let mixed: &[f64] = &[1.0, 2.0, 1.0, 4.0, 2.0, 1.0, 3.0];
    let mut waves = Vec::new();
    for hosts in [4, 10, 20, 30] {
        waves.extend([0, 2000, 4000, 6000].map(|quiet| Wave {
            hosts,
            quiet,
            ..PLAIN
        }));
        // Who has just sent and is started anew remembers nothing of it.
        waves.extend([4040, 4500, 5500].map(|after| Wave {
            hosts,
            quiet: 4000,
            restart: Some(after),
            ..PLAIN
        }));
        waves.push(Wave {
            hosts,
            quiet: 4000,
            sizes: mixed,
            ..PLAIN
        });
        waves.push(Wave {
            hosts,
            quiet: 6000,
            sizes: mixed,
            restart: Some(6500),
            ..PLAIN
        });
        waves.push(Wave {
            hosts,
            quiet: 4000,
            eager: 3,
            ..PLAIN
        });
    }
    for wave in waves {
        let sums: Vec<f64> = (0..4).map(|seed| largest_sum(wave, seed)).collect();
        assert!(
            sums.iter().all(|sum| *sum <= most()),
            "{wave:?}: {sums:?} of {:.1}",
            most()
        );
    }
}

/// What hosts gain from being careful must not be that nothing goes.
#[test]
fn the_parts_of_a_cold_node_are_used_by_few_hosts_and_by_many() {
    for hosts in [1, 4, 10, 30] {
        let sum = largest_sum(
            Wave {
                hosts,
                quiet: 4000,
                ..PLAIN
            },
            1,
        );
        assert!(
            sum >= slow_start_policy().units / MEAN / 2.0,
            "{hosts} hosts: {sum}"
        );
    }
}
