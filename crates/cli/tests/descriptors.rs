//! One process at its limit of file descriptors, with more idle clients than it may hold open. The
//! connections to discovery and to the nodes, and clients that send requests, must still get descriptors.
//!
//! The operating system enforces the limit (`rig::live`). Idle clients reconnect whenever they are closed.
//! Assertions rest on counts: calls to discovery, responses, and requests that nodes received.

mod rig;

use rig::live::*;
use rig::{answer, free_address, lock, ms};
use serde_json::{json, Value};
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, JoinHandle};
use std::time::{Duration, Instant};

/// Minimum socket limit that a configuration may set.
const SOCKETS: u64 = 48;
/// Time until the deadline that each request states, which is also how long its client waits.
const REMAINING_MS: u64 = 2900;

/// Clients that send nothing, or one request when they connect, and reconnect whenever they are closed.
struct IdleClients {
    ended: Arc<AtomicBool>,
    /// Total number of connections made.
    made: Arc<AtomicUsize>,
    thread: Option<JoinHandle<()>>,
}

impl IdleClients {
    /// Starts the clients, and returns once all have connected. `first` is what each sends on connecting.
    fn start(host: SocketAddr, clients: usize, first: &'static str) -> IdleClients {
        let (ended, made): (Arc<AtomicBool>, Arc<AtomicUsize>) = Default::default();
        let (stop, count) = (ended.clone(), made.clone());
        let dial = move || {
            let mut stream = TcpStream::connect(host).ok()?;
            stream.write_all(first.as_bytes()).ok()?;
            stream.set_nonblocking(true).unwrap();
            count.fetch_add(1, Ordering::SeqCst);
            Some(stream)
        };
        let thread = std::thread::spawn(move || {
            let mut all: Vec<Option<TcpStream>> = (0..clients).map(|_| dial()).collect();
            while !stop.load(Ordering::SeqCst) {
                for s in &mut all {
                    let closed = s.as_mut().is_none_or(|s| match s.read(&mut [0; 512]) {
                        Ok(n) => n == 0,
                        Err(e) => e.kind() != ErrorKind::WouldBlock,
                    });
                    if closed {
                        *s = dial();
                    }
                }
                sleep(ms(2));
            }
        });
        let idle = IdleClients {
            ended,
            made,
            thread: Some(thread),
        };
        let until = Instant::now() + Duration::from_secs(20);
        while idle.made.load(Ordering::SeqCst) < clients {
            assert!(
                Instant::now() < until,
                "not all clients connected within 20 s"
            );
            sleep(ms(1));
        }
        idle
    }
}

impl Drop for IdleClients {
    fn drop(&mut self) {
        self.ended.store(true, Ordering::SeqCst);
        self.thread.take().into_iter().for_each(|t| _ = t.join());
    }
}

/// The listener and the connections that an outage closes.
type Connections = (TcpListener, Vec<TcpStream>);

/// A discovery service that can fail, with all its connections, and recover.
struct Outage {
    list: StubDiscovery,
    address: SocketAddr,
    up: Arc<Mutex<Option<Connections>>>,
}

impl Outage {
    /// Returns a service that is down at first.
    fn of(targets: Value) -> Outage {
        let address = free_address();
        Outage {
            list: start_discovery(targets),
            address,
            up: Arc::default(),
        }
    }

    fn recover(&self) {
        let listener = TcpListener::bind(self.address).unwrap();
        listener.set_nonblocking(true).unwrap();
        *lock(&self.up) = Some((listener, Vec::new()));
        let (up, list) = (self.up.clone(), self.list.clone());
        std::thread::spawn(move || loop {
            match &mut *lock(&up) {
                None => return,
                Some((listener, open)) => {
                    if let Ok((stream, _)) = listener.accept() {
                        stream.set_nonblocking(false).unwrap();
                        open.push(stream.try_clone().unwrap());
                        let list = list.clone();
                        std::thread::spawn(move || list.serve(stream));
                    }
                }
            }
            sleep(ms(1));
        });
    }

    fn fail(&self) {
        let (listener, open) = lock(&self.up).take().unwrap();
        drop(listener);
        open.iter().for_each(|s| _ = s.shutdown(Shutdown::Both));
    }

    fn calls(&self) -> Vec<String> {
        lock(&self.list.calls).clone()
    }

    /// Waits until the service has received so many calls.
    fn wait_for_calls(&self, times: usize) {
        let until = Instant::now() + Duration::from_secs(20);
        while self.calls().len() < times {
            assert!(
                Instant::now() < until,
                "expected {times} calls, found {}",
                self.calls().len()
            );
            sleep(ms(2));
        }
    }
}

const READY: &str = "GET /health/ready HTTP/1.1\r\n\r\n";

/// Sends a request and returns the status of its response, if it arrives before the deadline.
fn status_within_deadline(host: SocketAddr, text: &str) -> Option<u16> {
    let began = Instant::now();
    let mut stream = TcpStream::connect(host).ok()?;
    stream.write_all(text.as_bytes()).ok()?;
    stream
        .set_read_timeout(Some(
            ms(REMAINING_MS).saturating_sub(began.elapsed()).max(ms(1)),
        ))
        .unwrap();
    answer(&mut stream).map(|a| a.0)
}

fn requests(host: SocketAddr, what: &str, n: u64) -> Vec<Option<u16>> {
    (0..n)
        .map(|k| {
            status_within_deadline(
                host,
                &request("once", &format!("{what}-{k}"), 0, k, REMAINING_MS),
            )
        })
        .collect()
}

fn ids(node: &Node) -> Vec<String> {
    let id = |t: &String| {
        t.split("X-Txn: ")
            .nth(1)
            .unwrap()
            .split("\r\n")
            .next()
            .unwrap()
            .to_string()
    };
    received_requests(node).iter().map(id).collect()
}

#[derive(Clone, Copy, PartialEq, Debug)]
enum When {
    AtStart,
    InService,
    AfterHangup,
    AfterTerm,
}

fn assert_recovered_discovery_is_called(when: When, first: &'static str) {
    let what = format!("{when:?}, {first:.4}");
    let (old, new) = (
        node(|_| respond_with(OK_RESPONSE)),
        node(|_| respond_with(OK_RESPONSE)),
    );
    let only_old = json!([target("s-1", &old, 0, "ready")]);
    let mut outage = Outage::of(only_old.clone());
    if when != When::AtStart {
        outage.recover();
    }
    let mut live = HostProcess::spawn(outage.address, SOCKETS, settings());
    match when {
        When::AtStart => {
            let until = Instant::now() + Duration::from_secs(20);
            while status_within_deadline(live.address, READY).is_none() {
                assert!(
                    Instant::now() < until,
                    "{what}: the host did not respond within 20 s"
                );
                sleep(ms(5));
            }
        }
        _ => live.wait_until_ready(),
    }
    let _idle = IdleClients::start(live.address, 4 * SOCKETS as usize, first);
    match when {
        When::AtStart => {
            // Without an endpoint list, the host is not ready.
            assert_eq!(
                status_within_deadline(live.address, READY),
                Some(503),
                "{what}"
            );
            assert_eq!(requests(live.address, "early", 2), [Some(503); 2], "{what}");
        }
        When::InService => {
            outage.fail();
            assert_eq!(
                status_within_deadline(live.address, READY),
                Some(200),
                "{what}"
            );
            assert_eq!(requests(live.address, "early", 2), [Some(200); 2], "{what}");
        }
        When::AfterHangup => {
            // The connection to the old service stays open until the new one has responded.
            let successor = Outage::of(only_old);
            write_config(
                &live.config,
                "n1",
                live.address,
                successor.address,
                live.sockets,
                settings(),
            );
            live.signal("-HUP");
            live.wait_for_log("connection lost", 1);
            outage = successor;
            assert_eq!(
                status_within_deadline(live.address, READY),
                Some(200),
                "{what}"
            );
            assert_eq!(requests(live.address, "early", 2), [Some(200); 2], "{what}");
        }
        When::AfterTerm => {
            outage.fail();
            live.signal("-TERM");
        }
    }
    let before = outage.calls().len();
    outage.list.publish(json!([
        target("s-1", &old, 0, "draining"),
        target("s-2", &new, 0, "ready")
    ]));
    outage.recover();
    // The second call shows that the host has applied the response to the first.
    outage.wait_for_calls(before + 2);
    // A host that has a list requests only newer changes from the same service, and misses none.
    let has_list = matches!(when, When::InService | When::AfterTerm);
    let since = has_list.then_some("since=1&timeout_ms=0");
    let call = outage.calls()[before].clone();
    assert_eq!(
        call.split_once('?').map(|(_, query)| query),
        since,
        "{what}: {call}"
    );
    assert_eq!(
        status_within_deadline(live.address, READY),
        Some(200),
        "{what}"
    );
    assert_eq!(requests(live.address, "late", 5), [Some(200); 5], "{what}");
    assert_eq!(
        ids(&new),
        ["late-0", "late-1", "late-2", "late-3", "late-4"],
        "{what}"
    );
    let fds = std::fs::read_dir(format!("/proc/{}/fd", live.child.id()))
        .unwrap()
        .count();
    assert!(fds <= SOCKETS as usize, "{what}: {fds} descriptors");
    if when == When::AfterTerm {
        assert!(live.wait_for_exit(), "{what}");
    }
}

#[test]
fn a_recovered_discovery_is_called_however_many_idle_clients_there_are() {
    for when in [
        When::AtStart,
        When::InService,
        When::AfterHangup,
        When::AfterTerm,
    ] {
        assert_recovered_discovery_is_called(when, "");
    }
}

/// The clients send one readiness request and keep their connections open.
#[test]
fn a_recovered_discovery_is_called_however_many_clients_stay_after_one_request() {
    for when in [
        When::AtStart,
        When::InService,
        When::AfterHangup,
        When::AfterTerm,
    ] {
        assert_recovered_discovery_is_called(when, READY);
    }
}

#[test]
fn idle_clients_that_reconnect_again_and_again_do_not_block_active_ones() {
    let node = node(|_| respond_with(OK_RESPONSE));
    let list = start_discovery(json!([target("s-1", &node, 0, "ready")]));
    let live = HostProcess::start(&list, SOCKETS);
    let idle = IdleClients::start(live.address, 900, "");
    assert_eq!(requests(live.address, "t", 5), [Some(200); 5]);
    assert_eq!(ids(&node), ["t-0", "t-1", "t-2", "t-3", "t-4"]);
    assert_eq!(status_within_deadline(live.address, READY), Some(200));
    assert!(
        idle.made.load(Ordering::SeqCst) > 900,
        "no client reconnected, so the test shows nothing"
    );
}
