//! Thirty platform hosts and one node that has just started: no client requests its data for some
//! seconds, then all at once. The verdict comes from the node's own count of complete attempts.

mod rig;

use rig::answer;
use rig::live::*;
use serde_json::json;
use std::io::Write;
use std::net::{Shutdown, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

const HOSTS: usize = 30;
/// Units that a node can always bear within the window by the settings, in requests of mean size.
const ALWAYS_BORNE: f64 = 10.0;
/// The window of the slow-start rule.
const OVERLOAD_WINDOW: Duration = Duration::from_secs(2);
/// Time without requests before all clients send at once.
const QUIET_TIME: Duration = Duration::from_secs(6);

/// Starts a host of a fleet, with its own name and seed.
fn start_host(number: usize, discovery: &StubDiscovery) -> HostProcess {
    let mut settings = settings();
    settings["balancers"] = json!(HOSTS);
    // Nothing is reserved, so a host may send only its quota of the units that the node can always bear.
    settings["plans"][0]["guaranteed"] = json!(0.0);
    let seed = 0x9e37_79b9_7f4a_7c15_u64.wrapping_mul(number as u64 + 1);
    let fields = json!({"name": format!("n{number}"), "seed": format!("{seed:016x}")});
    HostProcess::spawn_with(discovery.address, 256, settings, fields)
}

fn millis_since_1970() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
    now.as_millis() as u64
}

fn read_status(mut stream: TcpStream) -> u16 {
    let (status, ..) = answer(&mut stream).expect("each request is answered");
    let _ = stream.shutdown(Shutdown::Both);
    status
}

/// Guards against thirty hosts sending one request each at once: the initial debt of each host's token bucket
/// had been paid off long before the clients sent their requests.
#[test]
fn thirty_hosts_with_demand_at_once_keep_to_the_slow_start_quota() {
    let received: Arc<Mutex<Vec<Instant>>> = Arc::default();
    let recorder = received.clone();
    let warming_up = node(move |_| {
        recorder.lock().unwrap().push(Instant::now());
        respond_with(OK_RESPONSE)
    });
    let discovery = start_discovery(json!([]));
    let mut hosts: Vec<HostProcess> = (0..HOSTS)
        .map(|number| start_host(number, &discovery))
        .collect();
    // The endpoint is published once all hosts watch, so that no other rule decides what follows.
    let published_at = Instant::now();
    let mut endpoint = target("s-1", &warming_up, 0, "ready");
    endpoint["boot_ms"] = json!(millis_since_1970());
    discovery.publish(json!([endpoint]));
    hosts.iter_mut().for_each(HostProcess::wait_until_ready);
    std::thread::sleep(QUIET_TIME.saturating_sub(published_at.elapsed()));
    assert_eq!(
        received.lock().unwrap().len(),
        0,
        "no client sent a request"
    );

    // Two requests for each host, on connections that stay open until they are answered: a request
    // that is not sent now is rejected.
    let mut connections = Vec::new();
    for (number, host) in hosts.iter().enumerate() {
        for client in [0, 1] {
            let mut stream = host.connect();
            let request = request("read", &format!("c{number}-{client}"), 0, 7, 2900);
            stream.write_all(request.as_bytes()).unwrap();
            connections.push(stream);
        }
    }
    let statuses: Vec<u16> = connections.into_iter().map(read_status).collect();

    let is_expected = |status: &u16| [200, 503].contains(status);
    assert!(statuses.iter().all(is_expected), "{statuses:?}");
    let received = received.lock().unwrap();
    let within_window = |start: &Instant| {
        let window = *start..*start + OVERLOAD_WINDOW;
        received.iter().filter(|at| window.contains(at)).count()
    };
    let most = received.iter().map(within_window).max().unwrap_or(0);
    let bound = ALWAYS_BORNE + 2.0 * ALWAYS_BORNE.sqrt() + 2.0;
    assert!(
        most as f64 <= bound,
        "{most} attempts within {OVERLOAD_WINDOW:?}, over {bound:.1}"
    );
    assert!(most >= 2, "{most} attempts: the quota is used");
}
