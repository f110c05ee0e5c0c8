//! Fleets of eight and more platform hosts while parts of the system fail. Each test counts what nodes and
//! clients received over all hosts, since load that is harmless from one host can add up.

mod rig;

use rig::client::malformed_client;
use rig::discovery::DiscoveryService;
use rig::fleet::{exclusive_run, Fleet};
use rig::ms;
use rig::node::Node;
use rig::site::DRAIN_GRACE;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::sleep;
use std::time::Instant;

const HOSTS: usize = 10;
const NODES: usize = 12;

fn nodes_of_zone(fleet: &Fleet, zone: &str) -> Vec<Node> {
    let nodes = fleet.nodes.iter().filter(|node| node.zone == zone);
    nodes.cloned().collect()
}

/// Each call takes discovery most of a second, and a call that would wait longer than a second is refused
/// at once.
#[test]
fn most_hosts_restarted_at_once_do_not_overload_discovery() {
    let _exclusive = exclusive_run();
    let fleet = Fleet::start(HOSTS, NODES, 3);
    let cached = fleet.endpoints();
    sleep(ms(1500));

    fleet.discovery.set_call_cost(ms(900));
    let killed_at = Instant::now();
    fleet.hosts[..7].iter().for_each(|host| host.kill());
    sleep(ms(300));
    (0..7).for_each(|host| fleet.start_host(host, &fleet.discovery, &cached));
    sleep(ms(4000));
    let calls = fleet.discovery.calls_since(killed_at).all;
    fleet.discovery.set_call_cost(ms(0));
    let recovered_at = Instant::now();
    sleep(ms(1500));

    let counters = fleet.finish();
    counters.assert_rules_hold();
    // Ten hosts in 4.3 s: each makes consecutive watches of at most 2 s, or repeats failed calls after a
    // back-off that doubles.
    assert!(calls <= 10 * 6, "{calls} calls to discovery");
    let recent = counters.requests_since(recovered_at);
    assert!(
        recent.all > 100 && recent.completed * 10 >= recent.all * 9,
        "{recent:?} in the end"
    );
}

#[test]
fn a_zone_that_warms_up_is_not_overloaded_by_the_sum_of_all_hosts() {
    let _exclusive = exclusive_run();
    let fleet = Fleet::start(HOSTS, NODES, 6);
    sleep(ms(1500));
    let zone = nodes_of_zone(&fleet, "a");
    zone.iter().for_each(Node::kill);
    sleep(ms(3000));

    zone.iter().for_each(Node::restart);
    let restarted_at = Instant::now();
    // All clients of all hosts send requests for one node of the zone.
    fleet.focus_clients_on(&[zone[0].shard]);
    fleet.publish_endpoints();
    sleep(ms(1500));
    fleet.focus_clients_on(&[]);
    sleep(ms(2500));
    let connections = zone.iter().map(|node| node.connections_since(restarted_at));
    let connections: usize = connections.sum();
    let recovered_at = Instant::now();
    sleep(ms(1500));

    let counters = fleet.finish();
    counters.assert_rules_hold();
    let is_in_zone = |uid: &str| zone.iter().any(|node| node.uid == uid);
    let attempts = counters.attempts_at(is_in_zone, restarted_at..recovered_at);
    assert!(attempts > 0, "no attempt reached the zone");
    // One connection for each outstanding attempt, and no more than the attempts need.
    assert!(
        connections <= attempts + 2 * HOSTS * zone.len(),
        "{connections} connections for {attempts} attempts"
    );
    let recent = counters.requests_since(recovered_at);
    assert!(
        recent.completed * 10 >= recent.all * 7,
        "{recent:?} in the end"
    );
}

/// A zone is partitioned from half of the hosts, discovery is slow, responses get lost, and connections
/// are reset during requests.
#[test]
fn under_a_partition_lost_responses_and_resets_no_request_runs_twice() {
    let _exclusive = exclusive_run();
    let fleet = Fleet::start(HOSTS, NODES, 4);
    sleep(ms(1000));
    fleet.discovery.set_call_cost(ms(100));
    let zone = nodes_of_zone(&fleet, "b");
    let partitioned_at = Instant::now();
    for node in &zone {
        node.partition_from(0..HOSTS / 2);
    }
    for node in fleet.nodes.iter().filter(|node| node.zone != "b") {
        node.inject_response_faults(0.1, 0.0);
    }
    for _ in 0..8 {
        sleep(ms(500));
        fleet.nodes.iter().for_each(Node::reset_connections);
    }
    let healed_at = Instant::now();
    fleet.discovery.set_call_cost(ms(0));
    for node in &fleet.nodes {
        node.partition_from([]);
        node.inject_response_faults(0.0, 0.0);
    }
    let connections = zone
        .iter()
        .map(|node| node.connections_since(partitioned_at));
    let connections: usize = connections.sum();
    sleep(ms(2500));
    let recovered_at = Instant::now();
    sleep(ms(1500));

    let counters = fleet.finish();
    counters.assert_rules_hold();
    assert!(
        counters.failed > 0,
        "no outcome was unknown, so this proves nothing"
    );
    // To a node that does not respond, each host sends only probes instead of its full demand, which is some
    // 280 requests for the zone from these hosts over four seconds.
    let seconds = (healed_at - partitioned_at).as_secs() as usize;
    let most = zone.len() * HOSTS * 8 * seconds;
    assert!(connections <= most, "{connections} connections");
    let recent = counters.requests_since(recovered_at);
    assert!(
        recent.completed * 10 >= recent.all * 8,
        "{recent:?} in the end"
    );
}

/// Six of ten nodes are replaced within three seconds, while clients send malformed requests and nodes
/// corrupt responses.
#[test]
fn replaced_nodes_get_no_attempts_and_their_successors_do() {
    let _exclusive = exclusive_run();
    let mut fleet = Fleet::start(HOSTS, NODES, 4);
    let ended = Arc::new(AtomicBool::new(false));
    let malformed: Vec<_> = fleet.hosts[..4]
        .iter()
        .map(|host| malformed_client(host.address, ended.clone()))
        .collect();
    for node in &fleet.nodes {
        node.inject_response_faults(0.0, 0.03);
    }
    sleep(ms(1000));
    let mut replaced = Vec::new();
    for index in 0..7 {
        fleet.replace_node(index);
        fleet.publish_endpoints();
        replaced.push((format!("s-{index}"), Instant::now()));
        sleep(ms(400));
    }
    for node in &fleet.nodes {
        node.inject_response_faults(0.0, 0.0);
    }
    sleep(ms(3000));
    let recovered_at = Instant::now();
    sleep(ms(2000));
    ended.store(true, Ordering::SeqCst);
    for client in malformed {
        client.join().unwrap();
    }

    let counters = fleet.finish();
    counters.assert_rules_hold();
    for (uid, at) in &replaced {
        // The drain grace, and time for discovery's response to arrive and be processed.
        let late = *at + DRAIN_GRACE + ms(400)..Instant::now();
        let late = counters.attempts_at(|node| node == uid, late);
        assert_eq!(late, 0, "{uid} got {late} attempts after it was gone");
    }
    let is_successor = |uid: &str| uid.ends_with('+');
    let attempts = counters.attempts_at(is_successor, recovered_at..Instant::now());
    assert!(attempts > 0, "no attempt reached the new nodes");
    let recent = counters.requests_since(recovered_at);
    assert!(
        recent.completed * 10 >= recent.all * 5,
        "{recent:?} in the end"
    );
}

/// All hosts are restarted one after the other by SIGTERM; meanwhile SIGHUP moves them to another
/// discovery service.
#[test]
fn a_rolling_restart_under_load_loses_nothing_and_follows_the_moved_discovery() {
    let _exclusive = exclusive_run();
    let fleet = Fleet::start(8, 8, 3);
    sleep(ms(500));
    let moved = DiscoveryService::start(fleet.endpoints());
    let moved_at = Instant::now();
    (4..8).for_each(|host| fleet.move_discovery(host, &moved));
    sleep(ms(1500));
    let calls = moved.calls_since(moved_at);
    assert!(
        calls.complete == 4 && calls.all <= 4 * 6,
        "{calls:?} of four hosts"
    );

    let cached = fleet.endpoints();
    // Restart two of the eight hosts at a time.
    for pair in [[0, 1], [2, 3], [4, 5], [6, 7]] {
        let hosts = pair.map(|host| &fleet.hosts[host]);
        let shut_down = std::thread::scope(|scope| {
            let threads = hosts.map(|host| scope.spawn(|| host.shut_down()));
            threads.map(|thread| thread.join().unwrap())
        });
        assert_eq!(shut_down, [true, true], "graceful shutdowns");
        for host in pair {
            fleet.start_host(host, &moved, &cached);
        }
    }
    let restarted_at = Instant::now();
    sleep(ms(2000));

    let counters = fleet.finish();
    counters.assert_rules_hold();
    let recent = counters.requests_since(restarted_at);
    assert!(
        recent.all > 100 && recent.completed * 10 >= recent.all * 9,
        "{recent:?} in the end"
    );
}
