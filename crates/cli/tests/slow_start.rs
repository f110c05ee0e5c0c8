//! Thirty processes and one node that has just started: nobody wants it for some seconds, then all
//! at once. What reaches it is judged by the node's own count of what came whole.

mod rig;

use rig::answer;
use rig::live::*;
use serde_json::json;
use std::io::Write;
use std::net::Shutdown;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

const HOSTS: usize = 30;
/// The settings' always-borne units in mean requests, and the time in which they count.
const BORNE: f64 = 10.0;
const SPAN: Duration = Duration::from_secs(2);
const QUIET: Duration = Duration::from_secs(6);

/// A host with a name and chance of its own, among so many.
fn start(n: usize, list: &Discovery) -> Live {
    let mut settings = settings();
    settings["balancers"] = json!(HOSTS);
    // Nothing is reserved: what a host may send there is its part of the always-borne units alone.
    settings["plans"][0]["guaranteed"] = json!(0.0);
    let seed = 0x9e37_79b9_7f4a_7c15_u64.wrapping_mul(n as u64 + 1);
    let fields = json!({"name": format!("n{n}"), "seed": format!("{seed:016x}")});
    Live::begin_with(list.address, 256, settings, fields)
}

/// Thirty of them sent one each as soon as they were asked, since each had long paid the debt it
/// began with.
#[test]
fn thirty_hosts_that_all_want_a_cold_node_at_once_keep_to_what_it_bears() {
    let came: Arc<Mutex<Vec<Instant>>> = Arc::default();
    let kept = came.clone();
    let cold = node(move |_| {
        kept.lock().unwrap().push(Instant::now());
        says(GOOD)
    });
    let list = discovery(json!([]));
    let mut hosts: Vec<Live> = (0..HOSTS).map(|n| start(n, &list)).collect();
    // Told of the start once all of them listen for it: no rule of the list's decides what follows.
    let told_at = Instant::now();
    let up_since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap()
        .as_millis() as u64;
    let mut target = target("s-1", &cold, 0, "ready");
    target["boot_ms"] = json!(up_since);
    list.tell(json!([target]));
    hosts.iter_mut().for_each(Live::is_ready);
    std::thread::sleep(QUIET.saturating_sub(told_at.elapsed()));
    assert_eq!(came.lock().unwrap().len(), 0, "nothing was asked for");
    // Two from each client, which stay until they are answered: what does not go now is deferred.
    let asked: Vec<_> = hosts
        .iter()
        .enumerate()
        .flat_map(|(n, host)| [0, 1].map(|k| (host.connect(), format!("c{n}-{k}"))))
        .map(|(mut stream, id)| {
            stream
                .write_all(request("read", &id, 0, 7, 2900).as_bytes())
                .unwrap();
            stream
        })
        .collect();
    let told: Vec<u16> = asked
        .into_iter()
        .map(|mut stream| {
            let (status, ..) = answer(&mut stream).expect("each is answered");
            let _ = stream.shutdown(Shutdown::Both);
            status
        })
        .collect();
    assert!(told.iter().all(|s| [200, 503].contains(s)), "{told:?}");
    let came = came.lock().unwrap();
    let within = |from: &Instant| {
        came.iter()
            .filter(|at| (*from..*from + SPAN).contains(*at))
            .count()
    };
    let most = came.iter().map(within).max().unwrap_or(0);
    let bears = BORNE + 2.0 * BORNE.sqrt() + 2.0;
    assert!(
        most as f64 <= bears,
        "{most} came within {SPAN:?}, of {bears:.1} borne"
    );
    assert!(most >= 2, "{most}: it is used all the same");
}
