//! One process with the smallest memory limit and the most descriptors, whose peers make it hold as much
//! as they can.

mod rig;

use rig::answer;
use rig::live::*;
use serde_json::json;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::thread::JoinHandle;
use std::time::Duration;

const MEMORY_MB: u64 = 32;
const SOCKETS: u64 = 1024;
/// Number of clients that stop, about as many as the host accepts.
const STOPPING_CLIENTS: usize = 540;
const HEAD_BYTES: usize = 15_500;
const BODY_BYTES: usize = 64 << 10;
const MISSING_BYTES: usize = 100;
const STACK_BYTES: usize = 128 << 10;

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

/// Guards against incomplete requests whose sum has no bound: the process exceeded its limit and was
/// killed.
#[test]
fn clients_that_stop_inside_a_request_are_answered_within_the_memory_limit() {
    let node = node(|_| respond_with(OK_RESPONSE));
    let list = start_discovery(json!([target("s-1", &node, 0, "ready")]));
    let fields = json!({"limits": {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": SOCKETS}});
    let mut host = HostProcess::spawn_with(list.address, SOCKETS, settings(), fields);
    host.wait_until_ready();
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
    let peak_kb = status_kb(&host, "VmHWM:") - status_kb(&host, "RssFile:");
    assert!(peak_kb <= MEMORY_MB << 10, "{peak_kb} kB at the peak");
    host.wait_for_log("clients turned away", 1);
}
