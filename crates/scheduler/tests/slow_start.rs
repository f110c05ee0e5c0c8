//! Slow start: the quota of one host at a node that is warming up, and the total that many hosts send to it.
//!
//! Within any overload window of the slow-start policy, all hosts together may send the N mean requests that
//! the settings allow plus a margin for random variation: N + 2 * sqrt(N) + 2 mean requests.

mod common;
use common::*;
use grebecleat_scheduler::api::*;
use grebecleat_scheduler::scheduler::*;
use std::collections::BTreeMap;

/// Size of the mean request, in units.
const MEAN: f64 = 2.0;
/// When the node starts, in milliseconds.
const START: u64 = 1000;
/// Time between two steps of a host, in milliseconds.
const TICK: u64 = 10;

/// A simulated load: many hosts send requests to one node that has just started. Times are in milliseconds.
#[derive(Debug, Clone, Copy)]
struct Workload {
    hosts: u64,
    /// Time after the node's start without any request; then all hosts receive requests at once.
    idle: u64,
    /// Time after the node's start at which all hosts restart, with their cached endpoint lists.
    restart: Option<u64>,
    /// Sizes of the requests in units, used in turn.
    sizes: &'static [f64],
    /// One in this many hosts always has two open requests; the others get one request every hundred ticks.
    busy_one_in: u64,
}

const BASE: Workload = Workload {
    hosts: 30,
    idle: 0,
    restart: None,
    sizes: &[2.0],
    busy_one_in: 1,
};

/// Returns the scheduler of a host whose cached endpoint list names a node that has just started.
fn host_with_new_node(seed: u64, now: u64, hosts: usize) -> Scheduler {
    let policy = SlowStartPolicy {
        hosts,
        ..slow_start_policy()
    };
    let classes = vec![class_with(Idempotency::Idempotent)];
    let mut scheduler = Scheduler::new(seed, classes, vec![plan(1.0)], units(), host_limits())
        .with_policies(policy, discovery_policy(false), None, ms(0));
    let new_node = vec![endpoint(1, NodeState::Ready, Some(ms(START - 1)))];
    let update = endpoint_update(EndpointUpdateKind::Cached, new_node);
    step_at(&mut scheduler, now, vec![update]);
    scheduler
}

fn request_id(n: u32) -> RequestId {
    let mut id = id(0);
    id.0[..4].copy_from_slice(&n.to_le_bytes());
    id
}

/// One host and its clients' requests.
struct SimulatedHost {
    scheduler: Scheduler,
    /// Units of the open requests.
    open: BTreeMap<RequestId, f64>,
    outstanding: Vec<RequestId>,
}

/// The hosts of a workload, and the requests that they have sent.
struct Fleet {
    workload: Workload,
    seed: u64,
    hosts: Vec<SimulatedHost>,
    /// Number of the last request.
    last: u32,
    /// Time in milliseconds and size in units of each request sent.
    sent: Vec<(u64, f64)>,
}

impl Fleet {
    fn new(workload: Workload, seed: u64) -> Self {
        let mut fleet = Fleet {
            workload,
            seed,
            hosts: Vec::new(),
            last: 0,
            sent: Vec::new(),
        };
        fleet.restart(START);
        fleet
    }

    fn restart(&mut self, now: u64) {
        let new_host = |n: u64| SimulatedHost {
            scheduler: host_with_new_node(
                self.seed * 1000 + n + now * 7919,
                now,
                self.workload.hosts as usize,
            ),
            open: BTreeMap::new(),
            outstanding: Vec::new(),
        };
        self.hosts = (0..self.workload.hosts).map(new_host).collect();
    }

    /// Steps one host: completes its outstanding requests, and lets it receive new ones unless the workload is
    /// idle.
    fn step(&mut self, n: usize, now: u64, is_idle: bool) {
        let workload = self.workload;
        let host = &mut self.hosts[n];
        let mut events: Vec<Event> = Vec::new();
        for id in std::mem::take(&mut host.outstanding) {
            host.open.remove(&id);
            let outcome = AttemptOutcome::Completed;
            events.push(attempt_end_of(id, NodeId(1), outcome, ms(TICK), true));
        }
        let is_busy = (n as u64).is_multiple_of(workload.busy_one_in);
        let max_open = if is_busy { 2 } else { 1 };
        let is_due = is_busy || (now / TICK + n as u64 * 13).is_multiple_of(100);
        while !is_idle && is_due && host.open.len() < max_open {
            self.last += 1;
            let units = workload.sizes[(self.last as usize * 7 + n) % workload.sizes.len()];
            host.open.insert(request_id(self.last), units);
            events.push(Event::RequestReceived(Request {
                id: request_id(self.last),
                units,
                hosts: workload.hosts as usize,
                ..request(0, ms(now + 3000))
            }));
        }
        let (sent, rejected, failed) = step_at(&mut host.scheduler, now, events);
        for id in rejected.into_iter().chain(failed) {
            host.open.remove(&id);
        }
        let units = sent.iter().map(|(id, _)| (now, host.open[id]));
        self.sent.extend(units);
        host.outstanding = sent.into_iter().map(|(id, _)| id).collect();
    }

    /// Returns the largest total that was sent within one overload window, in mean requests.
    fn peak_load(&self) -> f64 {
        let span = slow_start_policy().overload_window.as_millis() as u64;
        let window = |from: u64| {
            self.sent
                .iter()
                .filter(move |(at, _)| (from..from + span).contains(at))
                .map(|(_, units)| units)
        };
        self.sent
            .iter()
            .map(|(at, _)| window(*at).sum::<f64>() / MEAN)
            .fold(0.0, f64::max)
    }
}

/// Simulates a workload and returns the largest total that is sent within one overload window, in mean
/// requests.
fn peak_load(workload: Workload, seed: u64) -> f64 {
    let mut fleet = Fleet::new(workload, seed);
    let idle_until = START + workload.idle;
    let end = idle_until.max(START + workload.restart.unwrap_or(0)) + 3000;
    for now in (START + TICK..end).step_by(TICK as usize) {
        let is_idle = now < idle_until;
        if is_idle && !now.is_multiple_of(TICK * 10) {
            continue; // without requests only the buckets fill, for which fewer steps suffice
        }
        if workload.restart.is_some_and(|after| now == START + after) {
            fleet.restart(now);
        }
        for n in 0..workload.hosts as usize {
            fleet.step(n, now, is_idle);
        }
    }
    fleet.peak_load()
}

/// Returns the load that a node can always take within an overload window by the settings, plus the margin for
/// random variation, in mean requests.
fn max_peak_load() -> f64 {
    let n = slow_start_policy().units / MEAN;
    n + 2.0 * n.sqrt() + 2.0
}

/// Guards against buckets that are all full after an idle time. A bucket lets one request go into debt, and the
/// random initial debts that spread the hosts are paid off while they are idle. Full buckets therefore lose
/// tokens: without that, 30 hosts sent 30 requests within two seconds after six idle seconds, and 20 hosts sent
/// 20 after four.
#[test]
fn hosts_that_use_a_new_node_after_an_idle_time_stay_within_the_sum_of_their_quotas() {
    let mixed_sizes: &[f64] = &[1.0, 2.0, 1.0, 4.0, 2.0, 1.0, 3.0];
    let mut workloads = Vec::new();
    for hosts in [4, 10, 20, 30] {
        workloads.extend([0, 2000, 4000, 6000].map(|idle| Workload {
            hosts,
            idle,
            ..BASE
        }));
        // A host that restarts after it has sent requests has no record of them.
        workloads.extend([4040, 4500, 5500].map(|after| Workload {
            hosts,
            idle: 4000,
            restart: Some(after),
            ..BASE
        }));
        workloads.push(Workload {
            hosts,
            idle: 4000,
            sizes: mixed_sizes,
            ..BASE
        });
        workloads.push(Workload {
            hosts,
            idle: 6000,
            sizes: mixed_sizes,
            restart: Some(6500),
            ..BASE
        });
        workloads.push(Workload {
            hosts,
            idle: 4000,
            busy_one_in: 3,
            ..BASE
        });
    }
    for workload in workloads {
        let peaks: Vec<f64> = (0..4).map(|seed| peak_load(workload, seed)).collect();
        assert!(
            peaks.iter().all(|peak| *peak <= max_peak_load()),
            "{workload:?}: peak loads {peaks:?}, expected at most {:.1}",
            max_peak_load()
        );
    }
}

/// Guards against quotas that are so small that the hosts send far less than the node can take.
#[test]
fn the_quotas_of_a_new_node_are_used_by_few_hosts_and_by_many() {
    for hosts in [1, 4, 10, 30] {
        let peak = peak_load(
            Workload {
                hosts,
                idle: 4000,
                ..BASE
            },
            1,
        );
        assert!(
            peak >= slow_start_policy().units / MEAN / 2.0,
            "{hosts} hosts: peak load {peak}"
        );
    }
}

#[test]
fn a_warming_node_gets_no_more_than_the_hosts_quota() {
    let policy = slow_start_policy();
    // previous rate of this host in units a second, age of the node in milliseconds, expected quota for one
    // window
    let cases = [
        (0.0, 0, 4.5),
        (0.0, 9000, 4.5),
        (1.0, 0, 4.5),
        (100.0, 0, 108.0),
        (100.0, 10_000, 540.0),
    ];
    for (rate, age, expected) in cases {
        let quota = slow_start_quota(&policy, rate, ms(age));
        assert!(
            (quota - expected).abs() < 1e-6,
            "rate {rate}, age {age} ms: quota {quota}"
        );
    }
    let mut scheduler = idempotent_host(plan(1.0));
    let started = endpoint_update(
        EndpointUpdateKind::Delta,
        vec![endpoint(1, NodeState::Ready, Some(ms(1000)))],
    );
    let mut units = 0.0;
    step_at(&mut scheduler, 1001, vec![started]);
    for t in (1010..3010).step_by(10) {
        let n = ((t - 1010) / 10 % 200) as u8;
        let (sent, ..) = step_at(&mut scheduler, t, receive(request(n, ms(t + 400))));
        units += 2.0 * sent.len() as f64;
        step_at(&mut scheduler, t + 1, completed(&sent, 1));
    }
    assert!(units <= policy.units / 4.0 + 2.0, "{units} units");
}

/// Returns the units that are sent within two seconds to `node`, which has just started and takes over shard 1
/// from node 1. Before that, the volume sent `previous_rate` requests a second to node 1.
fn units_to_new_node(previous_rate: u64, reservation: f64, node: u32) -> f64 {
    let mut scheduler = idempotent_host(plan(reservation));
    let interval = 1000u64.checked_div(previous_rate).unwrap_or(u64::MAX) as usize;
    let mut n = 0u8;
    for t in (1010..11_010)
        .step_by(interval.max(10))
        .skip(usize::from(previous_rate == 0) * 99_999)
    {
        n = n.wrapping_add(1);
        let (sent, ..) = step_at(&mut scheduler, t, receive(request(n, ms(t + 400))));
        step_at(&mut scheduler, t + 5, completed(&sent, 5));
    }
    let replacement = Endpoint {
        shard: ShardId(1),
        ..endpoint(node, NodeState::Ready, Some(ms(11_000)))
    };
    let endpoints = vec![endpoint(1, NodeState::Gone, None), replacement];
    step_at(
        &mut scheduler,
        11_011,
        vec![endpoint_update(EndpointUpdateKind::Delta, endpoints)],
    );
    let mut units = 0.0;
    for t in (11_420..13_420).step_by(20) {
        n = n.wrapping_add(1);
        let (sent, ..) = step_at(&mut scheduler, t, receive(request(n, ms(t + 400))));
        units += 2.0 * sent.len() as f64;
        step_at(&mut scheduler, t + 1, completed(&sent, 1));
    }
    units
}

/// Guards against a replacement node that gets only the units that any new node can take until it is warm. With
/// 300 hosts each may then send a three-hundredth of them, which accounted for 5702 of some 14,000 rejections
/// on a day on which six nodes in ten were replaced.
#[test]
fn a_replacement_node_gets_a_quota_by_its_predecessors_usage_and_by_reservations() {
    // This host's quota at any new node, plus one request, because a bucket may go into debt by one request.
    let baseline = slow_start_policy().units / 4.0 + 2.0;
    assert!(units_to_new_node(0, 0.0, 3) <= baseline);
    let replacement = units_to_new_node(20, 0.0, 3);
    let restarted = units_to_new_node(20, 0.0, 1);
    let reserved = units_to_new_node(0, 80.0, 3);
    // The policy's bound at the end of the two seconds; a host's quota is limited by its own previous rate.
    let max_units = slow_start_quota(&slow_start_policy(), 40.0, ms(2420)) + 2.0;
    assert!(
        replacement > baseline && replacement < restarted && restarted <= max_units,
        "baseline {baseline}, replacement {replacement}, restarted {restarted}, maximum {max_units}"
    );
    assert!(
        reserved > baseline && reserved <= max_units,
        "with a reservation {reserved}, maximum {max_units}"
    );
}

#[test]
fn first_requests_of_many_hosts_to_a_new_node_stay_within_the_sum_of_their_quotas() {
    let hosts = 250;
    let policy = SlowStartPolicy {
        hosts: 250,
        ..slow_start_policy()
    };
    let mut sends = 0;
    for seed in 0..hosts {
        let discovery = discovery_policy(false);
        let (traffic_classes, plans) = (vec![class_with(Idempotency::Idempotent)], vec![plan(1.0)]);
        let mut scheduler = Scheduler::new(seed, traffic_classes, plans, units(), host_limits())
            .with_policies(policy.clone(), discovery, None, ms(0));
        step_at(
            &mut scheduler,
            1000,
            vec![endpoint_update(
                EndpointUpdateKind::Cached,
                vec![endpoint(1, NodeState::Ready, Some(ms(999)))],
            )],
        );
        let requests = (0..20)
            .map(|n| Event::RequestReceived(request(n, ms(3000))))
            .collect();
        sends += step_at(&mut scheduler, 1010, requests).0.len();
        sends += (1020..3000)
            .step_by(10)
            .map(|t| step_at(&mut scheduler, t, vec![]).0.len())
            .sum::<usize>();
    }
    assert!(
        sends as f64 * 2.0 <= policy.units * 1.2,
        "{sends} requests of 2 units sent within one overload window"
    );
}
