//! Host processes that gossip their observations of nodes and lease each other quotas of limits, with
//! faults between them. Assertions rest on what the nodes received, as recorded in their trace.

mod process;

use grebecleat_testbed::links::Links;
use grebecleat_testbed::net::hello;
use grebecleat_wire::pb::{self, frame::Body, record::Kind, Outcome};
use grebecleat_wire::trace::read_file;
use grebecleat_wire::{clock, frame};
use process::Started;
use std::collections::BTreeSet;
use std::fs;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::Command;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread::sleep;
use std::time::Duration;

const PROGRAM: &str = env!("CARGO_BIN_EXE_grebecleat");
const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn exclusive_run() -> MutexGuard<'static, ()> {
    static ONE: Mutex<()> = Mutex::new(());
    ONE.lock().unwrap_or_else(|e| e.into_inner())
}

/// Limit of one volume over all hosts, in units per second. The even quota of each host is 12.
const LIMIT: f64 = 48.0;
const BURST: f64 = 24.0;
const SLACK: f64 = 12.0;
const HOSTS: usize = 4;
const SITE: &str = r#"
zone(name = "a")
stream_type(name = "read", slo = ms(300), expiry = ms(800), repeat = "repeatable", benefit = 2, unit_work = ms(2))
plan(name = "capped", rate = 40, reservation = 4, limit = 48, limit_burst = 24, limit_slack = 12)
for i in range(4):
    node(id = i + 1, zone = "a", cores = 2, queue = 64)
for i in range(4):
    host(name = "h%d" % i)
volume(id = 1, plan = "capped", cells = [1, 2, 3, 4])
node_list(lag = ms(100))
legs(most = 2)
rules(answer_margin = ms(60), cold_units = 40)
"#;
const FLEET: &str = "fleet(every = ms(100), loan = ms(1500), margin = ms(250))\n";

fn start(args: &[String], log: &std::path::Path) -> Started {
    let log = fs::File::options()
        .create(true)
        .append(true)
        .open(log)
        .unwrap();
    process::start(Command::new(PROGRAM).args(args), log.into())
}

struct Site {
    folder: PathBuf,
    script: String,
    list: Started,
    _nodes: Started,
    links: Links,
    hosts: Vec<Option<Started>>,
}

impl Site {
    fn new(name: &str, fleet: &str) -> Site {
        let folder =
            std::env::temp_dir().join(format!("grebecleat-peers-{}-{name}", std::process::id()));
        fs::create_dir_all(&folder).unwrap();
        let script = folder.join("site.star");
        fs::write(&script, format!("{SITE}{fleet}")).unwrap();
        let script = script.to_str().unwrap().to_string();
        let args = |a: &[&str]| a.iter().map(|s| s.to_string()).collect::<Vec<_>>();
        let list = start(
            &args(&["discovery-service", &script, "--listen", "127.0.0.1:0"]),
            &folder.join("list.log"),
        );
        let trace = folder.join("nodes.trace").display().to_string();
        let nodes = start(
            &args(&["node", &script, "--list", &list.1, "--trace", &trace]),
            &folder.join("nodes.log"),
        );
        let links = Links::between((0..HOSTS).map(|h| format!("h{h}")).collect()).unwrap();
        let mut site = Site {
            folder,
            script,
            list,
            _nodes: nodes,
            links,
            hosts: (0..HOSTS).map(|_| None).collect(),
        };
        (0..HOSTS).for_each(|h| site.begin(h));
        site
    }

    fn begin(&mut self, h: usize) {
        let listen = self.hosts[h]
            .take()
            .map_or("127.0.0.1:0".into(), |h| h.1.clone());
        let mut args: Vec<String> = [
            "run",
            &self.script,
            "--host",
            &format!("h{h}"),
            "--listen",
            &listen,
            "--list",
            &self.list.1,
        ]
        .iter()
        .map(|s| s.to_string())
        .collect();
        for (peer, at) in self
            .links
            .addresses()
            .iter()
            .enumerate()
            .filter(|(p, _)| *p != h)
        {
            args.extend(["--peer".into(), format!("h{peer}={at}")]);
        }
        let host = start(&args, &self.folder.join(format!("h{h}.log")));
        self.links.set_target(h, host.1.parse().unwrap());
        self.hosts[h] = Some(host);
    }

    fn signal(&self, h: usize, name: &str) {
        let id = self.hosts[h].as_ref().unwrap().0.id().to_string();
        assert!(Command::new("kill")
            .args(["-s", name, &id])
            .status()
            .unwrap()
            .success());
    }

    /// Sends a host requests for the volume at a rate in units per second until stopped; returns the number
    /// that completed.
    fn ask(
        &self,
        h: usize,
        per_second: u64,
        ended: Arc<AtomicBool>,
    ) -> std::thread::JoinHandle<u64> {
        let at: SocketAddr = self.hosts[h].as_ref().unwrap().1.parse().unwrap();
        std::thread::spawn(move || {
            let (mut done, mut n) = (0, 0u64);
            let mut line: Option<(TcpStream, frame::Reader)> = None;
            while !ended.load(Ordering::SeqCst) {
                sleep(Duration::from_secs(1) / per_second as u32);
                if line.is_none() {
                    let Ok(mut s) = TcpStream::connect(at) else {
                        continue;
                    };
                    s.set_read_timeout(Some(ms(1))).unwrap();
                    put(&mut s, Body::Hello(hello(pb::Role::Client, "c", 1)));
                    line = Some((s, frame::Reader::new(1 << 20)));
                }
                let (s, reader) = line.as_mut().unwrap();
                n += 1;
                let id: Vec<u8> = format!("{h:04}{n:032}").into();
                let (units, left_us, shard) = (1.0, 800_000, Some(1 + (n % 4) as u32));
                put(
                    s,
                    Body::SubmitRequest(pb::SubmitRequest {
                        id: id.into(),
                        volume: 1,
                        units,
                        left_us,
                        shard,
                        ..Default::default()
                    }),
                );
                let gone = match reader.fill(s) {
                    Ok(0) => true,
                    Err(e) => !matches!(
                        e.kind(),
                        std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut
                    ),
                    Ok(_) => false,
                };
                while let Ok(Some(f)) = reader.next::<pb::Frame>() {
                    if let Some(Body::Response(f)) = f.body {
                        done += u64::from(f.outcome() == Outcome::Completed);
                    }
                }
                if gone {
                    line = None;
                }
            }
            done
        })
    }

    fn shows(&self, h: usize) -> String {
        let at = &self.hosts[h].as_ref().unwrap().1;
        let out = Command::new(PROGRAM)
            .args(["fleet", "--at", at])
            .output()
            .unwrap();
        assert!(
            out.status.success(),
            "{}",
            String::from_utf8_lossy(&out.stderr)
        );
        String::from_utf8_lossy(&out.stdout).into_owned()
    }

    /// Waits until the output of `fleet` for a host contains a text.
    fn wait_until_shows(&self, h: usize, what: &str) {
        let mut said = String::new();
        for _ in 0..20 {
            said = self.shows(h);
            if said.contains(what) {
                return;
            }
        }
        panic!("host {h} never shows {what:?}:\n{said}");
    }

    /// Returns when units reached the nodes from any host, and how many.
    fn received_units(&self) -> Vec<(f64, f64)> {
        let records = read_file(&self.folder.join("nodes.trace")).unwrap();
        let attempts = records
            .iter()
            .filter(|r| r.kind() == Kind::In)
            .filter_map(|r| {
                let Some(Body::Attempt(l)) = r.frame.as_ref().and_then(|f| f.body.as_ref()) else {
                    return None;
                };
                Some((r.at_ns as f64 / 1e9, l.units))
            });
        let mut all: Vec<(f64, f64)> = attempts.collect();
        all.sort_by(|a, b| a.0.total_cmp(&b.0));
        all
    }

    /// Returns the largest excess, over all time windows, above what the limit and its slack allow.
    fn units_over_limit(&self) -> f64 {
        let received = self.received_units();
        // Computes the maximum of sum(i..=j) - LIMIT * (t_j - t_i) in one pass.
        let (mut best, mut run) = (0.0f64, 0.0f64);
        let mut last = received.first().map_or(0.0, |c| c.0);
        for (at, units) in received {
            run = (run - LIMIT * (at - last)).max(0.0) + units;
            (best, last) = (best.max(run), at);
        }
        best - BURST - SLACK
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        self.hosts.clear();
        let _ = fs::remove_dir_all(&self.folder);
    }
}

fn put(s: &mut TcpStream, body: Body) {
    let mut bytes = Vec::new();
    let sent_us = clock::micros(clock::now());
    frame::write(
        &pb::Frame {
            sent_us,
            body: Some(body),
        },
        &mut bytes,
    );
    let _ = s.write_all(&bytes);
}

/// Returns the pairs of hosts to cut so that one host is partitioned from all others.
fn partition_of(h: usize) -> BTreeSet<(usize, usize)> {
    (0..HOSTS)
        .filter(|o| *o != h)
        .flat_map(|o| [(o, h), (h, o)])
        .collect()
}

/// A volume whose requests all come through one host gets nearly its whole limit there, while an even
/// quota would be a quarter. The limit over all hosts holds while that host is partitioned, is paused for
/// longer than its quota leases, and is killed and restarts without its state.
#[test]
fn quotas_of_a_limit_follow_demand_and_the_limit_holds_through_partitions_pauses_and_kills() {
    let _exclusive = exclusive_run();
    let mut site = Site::new("parts", FLEET);
    site.wait_until_shows(0, "3 peers heard");
    let ended = Arc::new(AtomicBool::new(false));
    let busy = site.ask(0, 120, ended.clone());
    site.wait_until_shows(0, "borrowed 6"); // percent of the limit; 65.6 can be borrowed
    sleep(ms(2500));
    let rate = |from: f64| {
        let received: Vec<(f64, f64)> = site
            .received_units()
            .into_iter()
            .filter(|c| c.0 >= from)
            .collect();
        received.iter().map(|c| c.1).sum::<f64>() / (received.last().unwrap().0 - from)
    };
    let now = || clock::now().as_secs_f64();
    let lent = rate(now() - 2.0);
    assert!(
        lent > 0.6 * LIMIT,
        "{lent:.1} units a second of {LIMIT}, even parts give {}",
        LIMIT / 4.0
    );
    // Partition the host while the others begin to need what they have lent.
    site.links.set_cut(partition_of(0));
    let others: Vec<_> = (1..HOSTS).map(|h| site.ask(h, 40, ended.clone())).collect();
    sleep(ms(3000));
    let said = site.shows(0);
    assert!(
        said.contains("borrowed 0.0%") && said.contains(" 25.0% of its limit"),
        "{said}"
    );
    site.links.set_cut(BTreeSet::new());
    sleep(ms(1500));
    // Pause the host for longer than its quota leases, while messages and responses wait for it.
    site.signal(0, "STOP");
    sleep(ms(2500));
    site.signal(0, "CONT");
    sleep(ms(1000));
    // Kill the host with its quotas lent out, twice. The second time its peers cannot report what they hold.
    site.signal(1, "KILL");
    sleep(ms(100));
    site.begin(1);
    sleep(ms(1500));
    site.links.set_cut(partition_of(1));
    site.signal(1, "KILL");
    site.begin(1);
    sleep(ms(500));
    let said = site.shows(1);
    assert!(
        !said.contains(" 25.0% of its limit"),
        "it cannot know what it lent:\n{said}"
    );
    sleep(ms(3000));
    let said = site.shows(1);
    assert!(
        said.contains(" 25.0% of its limit"),
        "what it lent has run out by now:\n{said}"
    );
    ended.store(true, Ordering::SeqCst);
    assert!(busy.join().unwrap() > 0);
    others
        .into_iter()
        .for_each(|o| assert!(o.join().unwrap() > 0, "a host completed no request"));
    let over = site.units_over_limit();
    assert!(over <= 0.0, "{over:.1} units over the limit in some window");
}

/// Hosts without peers in their configuration, and one that hears none of its peers, serve their even quota.
#[test]
fn a_mixed_fleet_and_hosts_without_peers_serve_by_their_even_quotas() {
    let _exclusive = exclusive_run();
    let mut site = Site::new("mixed", "");
    assert!(site.shows(0).contains("tells its peers nothing"));
    // Two of the hosts run with gossip.
    let with = site.folder.join("with.star");
    fs::write(&with, format!("{SITE}{FLEET}")).unwrap();
    site.script = with.to_str().unwrap().to_string();
    for h in [2, 3] {
        site.signal(h, "KILL");
        site.begin(h);
    }
    site.wait_until_shows(2, "1 peers heard");
    let ended = Arc::new(AtomicBool::new(false));
    let asks: Vec<_> = (0..HOSTS).map(|h| site.ask(h, 30, ended.clone())).collect();
    sleep(ms(4000));
    ended.store(true, Ordering::SeqCst);
    let done: Vec<u64> = asks.into_iter().map(|a| a.join().unwrap()).collect();
    // Each gets 12 units a second for four seconds. The two that hear only each other first wait out leases
    // that no host holds, and then use their own quota.
    assert!(done.iter().all(|d| *d >= 16), "{done:?}");
    assert!(
        site.units_over_limit() <= 0.0,
        "{:.1} over the limit",
        site.units_over_limit()
    );
}
