//! Many processes of `grebecleat platform` that start at once, each with its cached endpoint list, while the
//! discovery service serves one call at a time and refuses calls that would wait too long.

mod rig;

use rig::crowded::{Cost, CrowdedDiscovery};
use rig::live::*;
use rig::ms;
use serde_json::{json, Value};
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::sleep;
use std::time::{Duration, Instant};

const PROCESSES: usize = 24;
/// At most eight calls for the complete list of eight nodes can wait, and serving the list once to every
/// host takes three seconds.
const COST: Cost = Cost {
    call: ms(100),
    entry: ms(3),
    max_wait: ms(900),
};
const NODES: u32 = 8;
/// Each host needs one call; twice as many are allowed.
const MAX_CALLS: usize = 2 * PROCESSES;
/// Time after which a change at the discovery service counts as announced to the hosts.
const TERM: Duration = ms(6000);
/// Grace time after the announcement, with the platform's slack; then a draining node must get no
/// attempts.
const DRAIN_GRACE: Duration = ms(300);
const GIVE_UP: Duration = Duration::from_secs(30);

struct Fleet {
    nodes: Vec<Node>,
    discovery: CrowdedDiscovery,
    hosts: Vec<HostProcess>,
}

impl Fleet {
    /// Starts all hosts at once, each with the cached endpoint list.
    fn start() -> Fleet {
        let nodes: Vec<Node> = (0..NODES)
            .map(|_| node(|_| respond_with(OK_RESPONSE)))
            .collect();
        let entries: Vec<Value> = (0..NODES).map(|n| entry(&nodes, n, "ready")).collect();
        let discovery = CrowdedDiscovery::start(entries, COST);
        let known = discovery.known();
        let start_host = |n: usize| {
            let fields = json!({"known": known, "seed": format!("{:016x}", 77 + n)});
            HostProcess::spawn_with(discovery.address, 64, many_hosts(), fields)
        };
        let mut hosts: Vec<HostProcess> = (0..PROCESSES).map(start_host).collect();
        for host in &mut hosts {
            host.wait_until_ready();
        }
        Fleet {
            nodes,
            discovery,
            hosts,
        }
    }
}

fn many_hosts() -> Value {
    let mut settings = settings();
    settings["balancers"] = json!(PROCESSES);
    settings
}

fn entry(nodes: &[Node], n: u32, state: &str) -> Value {
    target(&format!("s-{n}"), &nodes[n as usize], n, state)
}

/// A refused host must not cost discovery more than a served one. If hosts requested the complete list again
/// whenever their watch is refused, discovery would stay overloaded forever.
#[test]
fn every_host_watches_after_two_served_calls_for_each() {
    let fleet = Fleet::start();
    let began = Instant::now();
    loop {
        let calls = fleet.discovery.calls();
        let watching = fleet.discovery.watching();
        if watching == PROCESSES {
            println!("all watch: {calls:?}");
            return;
        }
        let served = calls.complete + calls.watches;
        assert!(
            served < MAX_CALLS && began.elapsed() < GIVE_UP,
            "{watching} of {PROCESSES} hosts watch after {calls:?}"
        );
        sleep(ms(20));
    }
}

/// A node must get no attempts once discovery could have announced its drain to every host. Each host gets
/// a request for the node every 100 ms.
#[test]
fn no_attempt_reaches_a_node_that_started_draining_a_term_ago() {
    let fleet = Fleet::start();
    fleet
        .discovery
        .change(0, entry(&fleet.nodes, 0, "draining"));
    let changed_at = Instant::now();
    let ended = AtomicBool::new(false);
    let late = std::thread::scope(|scope| {
        for (n, host) in fleet.hosts.iter().enumerate() {
            let ended = &ended;
            scope.spawn(move || {
                for turn in 0.. {
                    if ended.load(Ordering::SeqCst) {
                        return;
                    }
                    host.status_of(&request("read", &format!("{n}-{turn}"), 0, 7, 500));
                    sleep(ms(100));
                }
            });
        }
        sleep((TERM + DRAIN_GRACE).saturating_sub(changed_at.elapsed()));
        let before = received_requests(&fleet.nodes[0]).len();
        sleep(TERM);
        let late = received_requests(&fleet.nodes[0]).len() - before;
        ended.store(true, Ordering::SeqCst);
        late
    });
    let calls = fleet.discovery.calls();
    assert_eq!(late, 0, "sent too late; {calls:?}");
}

/// Discovery counts a response as delivered once it is written, so the host must apply it even if it has
/// given up that call meanwhile.
#[test]
fn a_response_that_arrives_after_its_call_was_repeated_counts() {
    let node = node(|_| respond_with(OK_RESPONSE));
    let discovery = ManualServer::start();
    let known = json!({"rev": 1, "all": true, "targets": [target("s-1", &node, 0, "ready")]});
    let host = HostProcess::spawn_with(discovery.address, 64, settings(), json!({"known": known}));
    let mut first = discovery.next();
    let again = discovery.next();
    assert_ne!(
        first.conn, again.conn,
        "the call was repeated on the same connection"
    );
    first.respond_with_list(2, false, json!([target("s-1", &node, 0, "draining")]));
    let until = Instant::now() + ms(3000);
    let is_sent = |turn| {
        let before = received_requests(&node).len();
        host.status_of(&request("read", &format!("late-{turn}"), 0, 7, 500));
        received_requests(&node).len() > before
    };
    let refused = (0..).find(|turn| !is_sent(*turn) || Instant::now() > until);
    assert!(
        Instant::now() < until,
        "still sent after {refused:?} requests"
    );
}

/// The endpoint list grows with the fleet, and its JSON may be indented.
#[test]
fn an_endpoint_list_of_thousands_of_indented_entries_is_accepted() {
    const ENTRIES: u32 = 3200;
    let node = node(|_| respond_with(OK_RESPONSE));
    let entries: Vec<Value> = (0..ENTRIES)
        .map(|n| target(&format!("s-{n:08x}"), &node, n, "ready"))
        .collect();
    let body = json!({"rev": 1, "all": true, "targets": entries});
    let body = serde_json::to_string_pretty(&body).unwrap();
    assert!(body.len() > 600_000, "{} bytes", body.len());
    let discovery = ManualServer::start();
    let mut host = HostProcess::spawn(discovery.address, 64, settings());
    discovery.next().respond(&body);
    // The watch that follows shows that the list was accepted.
    let next = discovery.next();
    assert!(
        next.text.contains("since=1&"),
        "expected a watch since revision 1, found {}",
        next.text
    );
    host.wait_until_ready();
    assert_eq!(
        host.status_of(&request("read", "one", 3199, 7, 2900)),
        Some(200)
    );
}

/// A cached list is used for three seconds after the start. From then until discovery responds, a node that
/// rejects requests gets no more of them, and one that completes them does.
#[test]
fn a_host_that_discovery_always_refuses_sends_only_to_nodes_that_complete_requests() {
    const CACHED_LEASE: Duration = ms(3000);
    let (completing, rejecting) = (
        node(|_| respond_with(OK_RESPONSE)),
        node(|_| respond_with(REJECTED_RESPONSE)),
    );
    let targets = json!([
        target("s-0", &completing, 0, "ready"),
        target("s-1", &rejecting, 1, "ready")
    ]);
    let known = json!({"rev": 1, "all": true, "targets": targets});
    let discovery = ManualServer::start();
    let address = discovery.address;
    let began = Instant::now();
    let host = HostProcess::spawn_with(address, 64, settings(), json!({"known": known}));
    let is_answering = AtomicBool::new(false);
    let ended = AtomicBool::new(false);
    std::thread::scope(|scope| {
        let (is_answering, ended, host) = (&is_answering, &ended, &host);
        scope.spawn(move || {
            while !ended.load(Ordering::SeqCst) {
                if let Some(mut call) = discovery.try_next() {
                    if is_answering.load(Ordering::SeqCst) {
                        call.respond_with_list(1, false, json!([]));
                    } else {
                        call.send_raw("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");
                    }
                }
                sleep(ms(5));
            }
        });
        for shard in 0..2 {
            scope.spawn(move || {
                for turn in 0.. {
                    if ended.load(Ordering::SeqCst) {
                        return;
                    }
                    host.status_of(&request("read", &format!("{shard}-{turn}"), shard, 7, 300));
                    sleep(ms(20));
                }
            });
        }
        let counts = || {
            (
                received_requests(&completing).len(),
                received_requests(&rejecting).len(),
            )
        };
        sleep((CACHED_LEASE + DRAIN_GRACE).saturating_sub(began.elapsed()));
        let before = counts();
        sleep(ms(4000));
        let refused = counts();
        is_answering.store(true, Ordering::SeqCst);
        let until = Instant::now() + GIVE_UP;
        while counts().1 == refused.1 && Instant::now() < until {
            sleep(ms(10));
        }
        let confirmed = counts();
        ended.store(true, Ordering::SeqCst);
        assert!(
            before.1 > 0,
            "no request was sent by the cached list: {before:?}"
        );
        assert_eq!(refused.1, before.1, "sent to a node that rejects requests");
        assert!(refused.0 > before.0 + 40, "{before:?}, {refused:?}");
        assert!(
            confirmed.1 > refused.1,
            "nothing was sent after discovery confirmed the list: {confirmed:?}"
        );
    });
}

/// A connection that closes after its response is no failure: the watch continues on the next connection,
/// with a wait. If the response came without a wait, the close counts as a failure, since discovery would
/// otherwise be called in a tight loop.
#[test]
fn a_discovery_that_closes_each_connection_after_its_response_is_watched() {
    let node = node(|_| respond_with(OK_RESPONSE));
    let discovery = ManualServer::start();
    let _host = HostProcess::spawn(discovery.address, 64, settings());
    let respond_and_close = |call: &mut HeldRequest, revision: u64, targets: Value| {
        let body = json!({"rev": revision, "all": revision == 1, "targets": targets}).to_string();
        let length = body.len();
        call.send_raw(&format!(
            "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: {length}\r\n\r\n{body}"
        ));
        call.close();
    };
    for revision in 1..4 {
        let mut call = discovery.next();
        if revision > 1 {
            let watch = format!("since={}&timeout_ms=2000 ", revision - 1);
            assert!(call.text.contains(&watch), "{}", call.text);
        }
        respond_and_close(
            &mut call,
            revision,
            json!([target("s-1", &node, 0, "ready")]),
        );
    }
    respond_and_close(&mut discovery.next(), 3, json!([]));
    let resumed = discovery.next();
    assert!(
        resumed.text.contains("since=3&timeout_ms=0 "),
        "{}",
        resumed.text
    );
}

/// If the revision goes backwards, discovery has lost its revisions. The host then requests the complete
/// list, even if the connection breaks meanwhile.
#[test]
fn a_revision_that_went_backwards_is_not_resumed() {
    let node = node(|_| respond_with(OK_RESPONSE));
    let discovery = ManualServer::start();
    let _host = HostProcess::spawn(discovery.address, 64, settings());
    let targets = json!([target("s-1", &node, 0, "ready")]);
    discovery.next().respond_with_list(9, true, targets.clone());
    discovery.next().respond_with_list(3, false, json!([]));
    let complete = discovery.next();
    assert!(!complete.text.contains("since="), "{}", complete.text);
    complete.close();
    let mut again = discovery.next();
    assert!(!again.text.contains("since="), "{}", again.text);
    again.respond_with_list(3, true, targets);
    let watch = discovery.next();
    assert!(
        watch.text.contains("since=3&timeout_ms=2000 "),
        "{}",
        watch.text
    );
    watch.close();
    let resumed = discovery.next();
    assert!(
        resumed.text.contains("since=3&timeout_ms=0 "),
        "{}",
        resumed.text
    );
}
