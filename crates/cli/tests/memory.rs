//! One process with the most descriptors that the platform names, whose peers make it hold as much as they
//! can.

mod rig;

use rig::answer;
use rig::live::*;
use serde_json::json;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Smallest memory limit that the platform names.
const MEMORY_MB: u64 = 32;
/// A limit within which the host holds all the requests of the test.
const LARGE_MEMORY_MB: u64 = 192;
const SOCKETS: u64 = 1024;
/// Number of clients that stop, about as many as the host accepts.
const STOPPING_CLIENTS: usize = 540;
const HEAD_BYTES: usize = 15_500;
const BODY_BYTES: usize = 64 << 10;
const MISSING_BYTES: usize = 100;
const STACK_BYTES: usize = 128 << 10;
/// The host holds no more than this part of its limit beyond what it held before its peers came.
const RETAINED_DIVISOR: u64 = 16;

/// Returns a field of the process's status, in kB.
fn status_kb(host: &HostProcess, field: &str) -> u64 {
    let path = format!("/proc/{}/status", host.child.id());
    let status = std::fs::read_to_string(path).unwrap();
    let line = status.lines().find_map(|line| line.strip_prefix(field));
    let value = line.and_then(|line| line.split_whitespace().next());
    value.unwrap().parse().unwrap()
}

/// A request without its last bytes.
fn partial_request(number: usize) -> String {
    let trace = "t".repeat(HEAD_BYTES);
    let body = "b".repeat(BODY_BYTES - MISSING_BYTES);
    format!(
        "PUT /write/{number:016x} HTTP/1.1\r\nX-Txn: stop-{number}\r\nX-Trace: {trace}\r\n\
         Content-Length: {BODY_BYTES}\r\n\r\n{body}"
    )
}

/// Sends a partial request and returns the status of the response, or `None` if the connection ends
/// without one.
fn stop_inside_request(host: SocketAddr, number: usize) -> Option<u16> {
    let mut stream = TcpStream::connect(host).ok()?;
    stream
        .set_read_timeout(Some(Duration::from_secs(20)))
        .unwrap();
    stream.write_all(partial_request(number).as_bytes()).ok()?;
    answer(&mut stream).map(|(status, ..)| status)
}

fn spawn_stopping_client(host: SocketAddr, number: usize) -> JoinHandle<Option<u16>> {
    std::thread::Builder::new()
        .stack_size(STACK_BYTES)
        .spawn(move || stop_inside_request(host, number))
        .unwrap()
}

/// Starts a host with one node and this memory limit.
fn start_host(memory_mb: u64) -> (Node, StubDiscovery, HostProcess) {
    let node = node(|_| respond_with(OK_RESPONSE));
    let list = start_discovery(json!([target("s-1", &node, 0, "ready")]));
    let fields = json!({"limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": SOCKETS}});
    let mut host = HostProcess::spawn_with(list.address, SOCKETS, settings(), fields);
    host.wait_until_ready();
    (node, list, host)
}

/// Lets clients stop inside their requests beside others that send whole ones, and checks that all of
/// them are answered and that the process stays within its limit.
fn assert_clients_that_stop_stay_within(memory_mb: u64, host: &HostProcess) {
    let stopping: Vec<_> = (0..STOPPING_CLIENTS)
        .map(|number| spawn_stopping_client(host.address, number))
        .collect();
    for key in 0..20 {
        let text = request("read", &format!("usual-{key}"), 0, key, 2900);
        assert_eq!(host.status_of(&text), Some(200), "usual request {key}");
    }
    for (number, client) in stopping.into_iter().enumerate() {
        let status = client.join().unwrap();
        assert!(
            matches!(status, Some(408 | 503)),
            "client {number}: {status:?}"
        );
    }
    let peak_kb = status_kb(host, "VmHWM:") - status_kb(host, "RssFile:");
    assert!(peak_kb <= memory_mb << 10, "{peak_kb} kB at the peak");
}

/// Guards against incomplete requests whose sum has no bound: the process exceeded its limit and was
/// killed.
#[test]
fn clients_that_stop_inside_a_request_are_answered_within_the_memory_limit() {
    let (_node, _list, host) = start_host(MEMORY_MB);
    assert_clients_that_stop_stay_within(MEMORY_MB, &host);
    host.wait_for_log("clients turned away", 1);
}

/// Guards against memory that stays with the process after the clients that used it have gone.
#[test]
fn memory_is_returned_after_the_clients_that_used_it_have_gone() {
    let (_node, _list, host) = start_host(LARGE_MEMORY_MB);
    let idle_kb = status_kb(&host, "RssAnon:");
    assert_clients_that_stop_stay_within(LARGE_MEMORY_MB, &host);
    let allowed_kb = idle_kb + (LARGE_MEMORY_MB << 10) / RETAINED_DIVISOR;
    let until = Instant::now() + Duration::from_secs(20);
    while status_kb(&host, "RssAnon:") > allowed_kb {
        let held = status_kb(&host, "RssAnon:");
        assert!(Instant::now() < until, "{held} kB held, {idle_kb} before");
        std::thread::sleep(Duration::from_millis(20));
    }
}
