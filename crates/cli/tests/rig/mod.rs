//! Several processes of `grebecleat platform` on loopback, with nodes, list and clients that count
//! what crosses. Verdicts come from counts of what came whole, never from how long something took.
//!
//! [`Fleet::start`] starts it; its parts are there to be troubled: a [`Node`] is killed and comes
//! back cold, is cut from some hosts, loses or spoils answers, resets connections; the [`List`] is
//! slow or moves; hosts end by [`Fleet::kill`] and [`Fleet::end`]. [`Fleet::stop`] ends the traffic
//! and gives the [`Counts`].

#![allow(dead_code)]

pub mod crowded;
pub mod live;

use grebecleat_platform::http;
use serde_json::{json, Value};
use std::collections::{BTreeMap, BTreeSet};
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread::{sleep, JoinHandle};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Where something may listen in a moment, on an address of its own: on the one that all dial from,
/// somebody's outgoing connection may have the port by then.
pub fn free_address() -> SocketAddr {
    static NEXT: AtomicUsize = AtomicUsize::new(1);
    let (n, process) = (NEXT.fetch_add(1, Ordering::SeqCst), std::process::id());
    let address = std::net::Ipv4Addr::new(
        127,
        11 + (n / 250) as u8,
        (process % 250) as u8,
        (n % 250) as u8 + 1,
    );
    TcpListener::bind((address, 0))
        .unwrap()
        .local_addr()
        .unwrap()
}

pub const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

pub fn lock<T>(m: &Mutex<T>) -> MutexGuard<'_, T> {
    m.lock().unwrap_or_else(|e| e.into_inner())
}

const GOOD: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngood";
const AWAY: &[u8] = b"HTTP/1.1 503 No\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n";
const SPOILT: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\ngood";

/// What the settings tell hosts of nodes and rules; the rig holds them to it.
pub const DEADLINE: Duration = ms(1500);
pub const GRACE: Duration = ms(250);
pub const STARTS_AT: f64 = 0.1;
pub const WARM: Duration = ms(6000);
pub const FALL: (Duration, f64) = (ms(2000), 1.0);
pub const ALWAYS_BORNE: f64 = 24.0;
pub const FURTHER: (f64, f64, Duration) = (3.0, 0.25, ms(5000));
/// A node's work at a time, for one unit each, and what waits there at most.
const SLOTS: usize = 4;
const WORK: Duration = ms(30);
const QUEUE: usize = 60;
const UNITS: f64 = 2.0;

/// Units a second that a warm node can do.
pub fn able() -> f64 {
    SLOTS as f64 / WORK.as_secs_f64()
}

// Nodes

#[derive(Debug, Clone)]
pub struct Seen {
    pub at: Instant,
    pub id: String,
    pub host: usize,
    pub stream: String,
    pub key: String,
    pub ran: bool,
    /// When it was answered, or given up by the node.
    pub until: Instant,
}

#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Mode {
    Well,
    /// Its process is dead: connections are reset and refused.
    Dead,
}

#[derive(Debug)]
struct Inside {
    mode: Mode,
    booted: Option<Instant>,
    /// Hosts that it does not hear and that do not hear it.
    cut_from: BTreeSet<usize>,
    /// Of answers: lost with their connection after the work is done; spoilt.
    lost: f64,
    spoilt: f64,
    free: [Instant; SLOTS],
    waiting: usize,
    seen: Vec<Seen>,
    dials: Vec<Instant>,
    open: Vec<TcpStream>,
    listener: Option<TcpListener>,
    /// Fell over under the sum of all hosts.
    fell: bool,
    draw: u64,
}

#[derive(Clone)]
pub struct Node {
    pub uid: String,
    pub shard: u32,
    pub zone: &'static str,
    pub address: SocketAddr,
    inside: Arc<Mutex<Inside>>,
}

impl Inside {
    fn chance(&mut self) -> f64 {
        // A few bits of a linear congruence: the same in every run.
        self.draw = self
            .draw
            .wrapping_mul(6364136223846793005)
            .wrapping_add(1442695040888963407);
        (self.draw >> 40) as f64 / (1u64 << 24) as f64
    }

    /// Which part of its work a node can do at that age.
    fn speed(&self, now: Instant) -> f64 {
        let age = self
            .booted
            .map_or(WARM, |b| now.saturating_duration_since(b));
        (STARTS_AT + (1.0 - STARTS_AT) * (age.as_secs_f64() / WARM.as_secs_f64())).min(1.0)
    }

    /// All hosts' units within the rule's span until now, against what the rule lets a node of that
    /// age bear.
    fn falls(&self, now: Instant) -> bool {
        let cold = self.booted.is_some_and(|b| now < b + WARM);
        let first = self
            .seen
            .partition_point(|s| s.at + FALL.0 <= now || self.booted.is_some_and(|b| s.at < b));
        let units = (self.seen.len() - first) as f64 * UNITS;
        let bears = FALL.1 * able() * self.speed(now) * FALL.0.as_secs_f64();
        cold && units > bears.max(ALWAYS_BORNE)
    }
}

impl Node {
    pub fn start(uid: &str, shard: u32, zone: &'static str, booted: Option<Instant>) -> Node {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let now = Instant::now();
        let inside = Inside {
            mode: Mode::Well,
            booted,
            cut_from: BTreeSet::new(),
            lost: 0.0,
            spoilt: 0.0,
            free: [now; SLOTS],
            waiting: 0,
            seen: Vec::new(),
            dials: Vec::new(),
            open: Vec::new(),
            listener: None,
            fell: false,
            draw: u64::from(shard) + 7,
        };
        let node = Node {
            uid: uid.into(),
            shard,
            zone,
            address,
            inside: Arc::new(Mutex::new(inside)),
        };
        node.listen(listener);
        node
    }

    fn listen(&self, listener: TcpListener) {
        lock(&self.inside).listener = Some(listener.try_clone().unwrap());
        let node = self.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming() {
                let Ok(stream) = stream else { return };
                let mut inside = lock(&node.inside);
                if inside.mode == Mode::Dead {
                    return;
                }
                inside.dials.push(Instant::now());
                inside.open.push(stream.try_clone().unwrap());
                drop(inside);
                let node = node.clone();
                std::thread::spawn(move || node.serve(stream));
            }
        });
    }

    fn serve(&self, mut stream: TcpStream) {
        let mut had = Vec::new();
        while let Some(text) = next_exchange(&mut stream, &mut had) {
            let now = Instant::now();
            let id = header(&text, "X-Txn").unwrap_or_default().to_string();
            let host = id
                .strip_prefix('h')
                .and_then(|t| t.split('-').next()?.parse().ok())
                .unwrap_or(0);
            let mut parts = text
                .split(' ')
                .nth(1)
                .unwrap_or_default()
                .split('/')
                .skip(1);
            let (traffic_class, key) = (
                parts.next().unwrap_or_default(),
                parts.next().unwrap_or_default(),
            );
            let (until, answer) = {
                let mut inside = lock(&self.inside);
                if inside.cut_from.contains(&host) {
                    continue; // it never came
                }
                let full = inside.waiting >= QUEUE;
                let speed = inside.speed(now);
                let work = WORK.mul_f64(UNITS / speed);
                let slot = (0..SLOTS).min_by_key(|n| inside.free[*n]).unwrap();
                let until = if full {
                    now
                } else {
                    inside.free[slot].max(now) + work
                };
                if !full {
                    inside.free[slot] = until;
                    inside.waiting += 1;
                }
                let (stream, key) = (traffic_class.to_string(), key.to_string());
                inside.seen.push(Seen {
                    at: now,
                    id,
                    host,
                    stream,
                    key,
                    ran: !full,
                    until,
                });
                inside.fell |= inside.falls(now);
                let lost = inside.chance() < inside.lost;
                let spoilt = inside.chance() < inside.spoilt;
                let answer = match full {
                    true => Some(AWAY),
                    false if lost => None,
                    false if spoilt => Some(SPOILT),
                    false => Some(GOOD),
                };
                (until, answer)
            };
            sleep(until.saturating_duration_since(Instant::now()));
            let mut inside = lock(&self.inside);
            inside.waiting = inside.waiting.saturating_sub(1);
            if inside.mode == Mode::Dead {
                return;
            }
            if inside.cut_from.contains(&host) {
                continue; // its answer is lost on the way
            }
            drop(inside);
            match answer {
                Some(answer) => _ = stream.write_all(answer),
                None => {
                    let _ = stream.shutdown(Shutdown::Both);
                    return;
                }
            }
        }
    }

    pub fn cut_from(&self, hosts: impl IntoIterator<Item = usize>) {
        lock(&self.inside).cut_from = hosts.into_iter().collect();
    }

    /// Which parts of its answers are lost with their connections, and spoilt.
    pub fn spoils(&self, lost: f64, spoilt: f64) {
        let mut inside = lock(&self.inside);
        (inside.lost, inside.spoilt) = (lost, spoilt);
    }

    /// Resets all that is open, under whatever waits there.
    pub fn reset(&self) {
        lock(&self.inside)
            .open
            .drain(..)
            .for_each(|s| _ = s.shutdown(Shutdown::Both));
    }

    pub fn kill(&self) {
        let mut inside = lock(&self.inside);
        inside.mode = Mode::Dead;
        inside.waiting = 0;
        inside
            .open
            .drain(..)
            .for_each(|s| _ = s.shutdown(Shutdown::Both));
        if let Some(l) = inside.listener.take() {
            // Wakes the thread that accepts, which then lets go of the port.
            drop(l);
            drop(inside);
            let _ = TcpStream::connect(self.address);
        }
    }

    /// Its process starts again at the same place, cold.
    pub fn back(&self) {
        let listener = again(|| TcpListener::bind(self.address).ok());
        {
            let mut inside = lock(&self.inside);
            let now = Instant::now();
            (inside.mode, inside.booted, inside.free) = (Mode::Well, Some(now), [now; SLOTS]);
        }
        self.listen(listener);
    }

    pub fn booted(&self) -> Option<Instant> {
        lock(&self.inside).booted
    }

    pub fn fell(&self) -> bool {
        lock(&self.inside).fell
    }

    pub fn seen(&self) -> Vec<Seen> {
        lock(&self.inside).seen.clone()
    }

    pub fn dials_since(&self, at: Instant) -> usize {
        lock(&self.inside)
            .dials
            .iter()
            .filter(|d| **d >= at)
            .count()
    }

    pub fn entry(&self, state: &str) -> Value {
        let boot = self.booted().map_or(0, |b| {
            let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
            (unix - b.elapsed()).as_millis() as u64
        });
        json!({"uid": self.uid, "endpoint": self.address.to_string(), "az": self.zone, "model": "m",
               "pod_group": self.shard, "state": state, "capacity_hint": 1.0, "boot_ms": boot})
    }
}

fn again<T>(mut what: impl FnMut() -> Option<T>) -> T {
    for _ in 0..400 {
        if let Some(t) = what() {
            return t;
        }
        sleep(ms(10));
    }
    panic!("it never came about");
}

fn header<'a>(text: &'a str, name: &str) -> Option<&'a str> {
    text.lines()
        .find_map(|l| l.strip_prefix(name)?.strip_prefix(": "))
}

/// The next whole request as text.
pub fn next_exchange(stream: &mut TcpStream, had: &mut Vec<u8>) -> Option<String> {
    let mut buffer = [0; 4096];
    loop {
        if let Ok(Some((_, used))) = http::request(had) {
            let text = String::from_utf8_lossy(&had[..used]).into_owned();
            had.drain(..used);
            return Some(text);
        }
        match stream.read(&mut buffer) {
            Ok(n @ 1..) => had.extend_from_slice(&buffer[..n]),
            _ => return None,
        }
    }
}

/// Status, head and body of the next answer; None where the connection ends without one.
pub fn answer(stream: &mut TcpStream) -> Option<(u16, String, Vec<u8>)> {
    let (mut had, mut buffer) = (Vec::new(), [0; 4096]);
    loop {
        if let Ok(Some((r, used))) = http::response(&had) {
            let head = String::from_utf8_lossy(&had[..used - r.body.len()]).into_owned();
            return Some((r.status, head, r.body.to_vec()));
        }
        match stream.read(&mut buffer) {
            Ok(n @ 1..) => had.extend_from_slice(&buffer[..n]),
            _ => return None,
        }
    }
}

// The list

#[derive(Debug)]
struct Listed {
    revision: u64,
    entries: Vec<Value>,
}

/// The list of nodes: all of it, and watches that wait until it changes. It handles calls in turn.
#[derive(Clone)]
pub struct List {
    pub address: SocketAddr,
    told: Arc<Mutex<Listed>>,
    turn: Arc<Mutex<()>>,
    queued: Arc<AtomicU64>,
    /// What one call costs it.
    cost: Arc<Mutex<Duration>>,
    calls: Arc<Mutex<Vec<(Instant, bool)>>>,
}

/// A call that would wait longer ends with 503.
const LIST_PATIENCE: Duration = ms(1000);

impl List {
    pub fn start(entries: Vec<Value>) -> List {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let list = List {
            address: listener.local_addr().unwrap(),
            told: Arc::new(Mutex::new(Listed {
                revision: 1,
                entries,
            })),
            turn: Arc::default(),
            queued: Arc::default(),
            cost: Arc::new(Mutex::new(Duration::ZERO)),
            calls: Arc::default(),
        };
        let l = list.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let l = l.clone();
                std::thread::spawn(move || l.serve(stream));
            }
        });
        list
    }

    fn serve(&self, mut stream: TcpStream) {
        let mut had = Vec::new();
        while let Some(text) = next_exchange(&mut stream, &mut had) {
            let target = text.split(' ').nth(1).unwrap_or_default().to_string();
            let since = number(&target, "since=");
            lock(&self.calls).push((Instant::now(), since.is_none()));
            let cost = *lock(&self.cost);
            let before = self.queued.fetch_add(1, Ordering::SeqCst);
            if cost * (before as u32) > LIST_PATIENCE {
                self.queued.fetch_sub(1, Ordering::SeqCst);
                sleep(LIST_PATIENCE / 20);
                let _ = stream.write_all(b"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n");
                continue;
            }
            {
                let _turn = lock(&self.turn);
                sleep(cost);
            }
            self.queued.fetch_sub(1, Ordering::SeqCst);
            let until = Instant::now() + ms(number(&target, "timeout_ms=").unwrap_or(0));
            while since.is_some_and(|s| lock(&self.told).revision <= s) && Instant::now() < until {
                sleep(ms(10));
            }
            let body = {
                let told = lock(&self.told);
                let news = since.is_none_or(|s| told.revision > s);
                let targets = if news {
                    told.entries.clone()
                } else {
                    Vec::new()
                };
                json!({"rev": told.revision, "all": news, "targets": targets}).to_string()
            };
            let _ = write!(
                stream,
                "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
        }
    }

    pub fn tell(&self, entries: Vec<Value>) {
        let mut told = lock(&self.told);
        (told.revision, told.entries) = (told.revision + 1, entries);
    }

    pub fn costs(&self, each: Duration) {
        *lock(&self.cost) = each;
    }

    /// Calls since then: all, and those for the whole list.
    pub fn calls_since(&self, at: Instant) -> (usize, usize) {
        let calls = lock(&self.calls);
        let late = calls.iter().filter(|c| c.0 >= at);
        (late.clone().count(), late.filter(|c| c.1).count())
    }
}

fn number(target: &str, name: &str) -> Option<u64> {
    target.split(name).nth(1)?.split('&').next()?.parse().ok()
}

// Hosts

pub struct Host {
    child: Mutex<Option<Child>>,
    pub address: SocketAddr,
    config: PathBuf,
    log: PathBuf,
    /// Since when it is up, and whether it was killed outright meanwhile: what it had then is
    /// nobody's.
    kills: Mutex<Vec<(Instant, Instant)>>,
}

fn settings(hosts: usize) -> Value {
    let stream = |name: &str, repeat: &str, ordered: bool| {
        json!({"name": name, "objective-ms": 200.0, "deadline-ms": DEADLINE.as_millis() as f64,
               "idempotency": repeat, "key-scope": "cell", "dedup-window-ms": 1500.0, "worth": 3.0,
               "late-value": 0.2, "serial-by-key": ordered, "stream": false})
    };
    json!({
        "balancers": hosts, "registry-mode": "on_request", "zones": ["a", "b", "c"],
        "caps": {"max-attempts": 3, "retry-after": true, "max-retry-after-ms": 500.0, "conn-idle-ms": 30000.0,
                 "dial-timeout-ms": 250.0, "max-open": 1000, "probing": false},
        "family-info": {"largest": 6, "mean-units": UNITS, "writes": [false, true, true],
                        "cold-units": ALWAYS_BORNE, "meter-ms": 500.0, "within-share": 0.35,
                        "spare-worth": 0.08},
        "profiles": [stream("read", "free", false), stream("once", "single_shot", false),
                     stream("row", "guarded", true)],
        "plans": [{"name": "gold", "base-rate": 60.0, "guaranteed": 60.0, "proportion": 1.0, "price": 1.0}],
        "rules": {"answer-slack-ms": 58.0, "ask-every-ms": 9000.0, "extra-floor": FURTHER.0,
                  "further-ratio": FURTHER.1, "extra-window-ms": FURTHER.2.as_millis() as f64,
                  "cold-from": STARTS_AT, "cold-ms": WARM.as_millis() as f64,
                  "fall-ms": FALL.0.as_millis() as f64, "tip-multiple": FALL.1,
                  "drain-grace-ms": GRACE.as_millis() as f64, "settle-after-doubt-ms": 200.0}
    })
}

impl Host {
    fn write_config(&self, n: usize, hosts: usize, list: SocketAddr, known: &[Value]) {
        let config = json!({
            "name": format!("n{n}"), "listen": self.address.to_string(), "discovery": list.to_string(),
            "seed": format!("{:016x}", 0x8c1f_30d2_7a5b_e964u64 ^ (n as u64 * 7919)),
            "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 512}, "settings": settings(hosts),
            "known": {"rev": 1, "all": true, "targets": known},
        });
        std::fs::write(&self.config, config.to_string()).unwrap();
    }

    fn spawn(&self) {
        let log = std::fs::File::options()
            .create(true)
            .append(true)
            .open(&self.log)
            .unwrap();
        let mut command = Command::new(env!("CARGO_BIN_EXE_grebecleat"));
        command.args([
            "--log-level",
            "info,may=error,grebecleat_platform=debug",
            "platform",
        ]);
        command
            .env("LB_CONFIG", &self.config)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log);
        *lock(&self.child) = Some(command.spawn().unwrap());
    }

    pub fn ready(&self) -> bool {
        let Ok(mut stream) = TcpStream::connect(self.address) else {
            return false;
        };
        stream.set_read_timeout(Some(ms(2000))).unwrap();
        let asked = stream.write_all(b"GET /health/ready HTTP/1.1\r\nConnection: close\r\n\r\n");
        asked.is_ok() && answer(&mut stream).is_some_and(|a| a.0 == 200)
    }

    pub fn signal(&self, name: &str) {
        if let Some(child) = &*lock(&self.child) {
            let done = Command::new("kill")
                .args([name, &child.id().to_string()])
                .status()
                .unwrap();
            assert!(done.success());
        }
    }
}

// Clients

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Told {
    Is(u16),
    /// The connection ended without an answer, or it did not come in time.
    Nothing,
    /// An idle close crossed it, and there was nobody to send it to once more.
    Nobody,
}

#[derive(Debug, Clone)]
pub struct Asked {
    pub id: String,
    pub host: usize,
    pub shard: u32,
    pub stream: &'static str,
    pub at: Instant,
    pub told: Told,
    pub over: Instant,
}

pub struct Fleet {
    pub hosts: Arc<Vec<Host>>,
    pub nodes: Vec<Node>,
    /// Nodes that were replaced.
    pub left: Vec<Node>,
    pub list: List,
    asked: Arc<Mutex<Vec<Asked>>>,
    /// While there are some, all clients ask for these shards alone.
    eager: Arc<Mutex<Vec<u32>>>,
    ended: Arc<AtomicBool>,
    clients: Vec<JoinHandle<()>>,
    /// What the list said, when, of nodes that are not to be used any more.
    unused: Vec<(Node, Instant)>,
    pub began: Instant,
}

static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());

/// Fleets of one test program come one after another: side by side they would starve each other.
pub fn alone() -> MutexGuard<'static, ()> {
    lock(&ONE_AT_A_TIME)
}

const ZONES: [&str; 3] = ["a", "b", "c"];

impl Fleet {
    /// So many hosts and nodes, node n in zone n modulo three; each host has so many clients.
    pub fn start(hosts: usize, nodes: usize, clients: usize) -> Fleet {
        static NEXT: AtomicU64 = AtomicU64::new(0);
        let number = NEXT.fetch_add(1, Ordering::SeqCst);
        let nodes: Vec<Node> = (0..nodes)
            .map(|n| Node::start(&format!("s-{n}"), n as u32, ZONES[n % 3], None))
            .collect();
        let entries: Vec<Value> = nodes.iter().map(|n| n.entry("ready")).collect();
        let list = List::start(entries.clone());
        let tmp = std::env::temp_dir();
        let all: Vec<Host> = (0..hosts)
            .map(|n| {
                let address = free_address();
                let name = format!(
                    "grebecleat-coordination-{}-{number}-{n}",
                    std::process::id()
                );
                let (config, log) = (
                    tmp.join(format!("{name}.json")),
                    tmp.join(format!("{name}.log")),
                );
                Host {
                    child: Mutex::default(),
                    address,
                    config,
                    log,
                    kills: Mutex::default(),
                }
            })
            .collect();
        for (n, h) in all.iter().enumerate() {
            h.write_config(n, hosts, list.address, &entries);
            h.spawn();
        }
        let mut fleet = Fleet {
            hosts: Arc::new(all),
            nodes,
            left: Vec::new(),
            list,
            asked: Arc::default(),
            eager: Arc::default(),
            ended: Arc::default(),
            clients: Vec::new(),
            unused: Vec::new(),
            began: Instant::now(),
        };
        fleet
            .hosts
            .iter()
            .for_each(|h| again(|| h.ready().then_some(())));
        fleet.began = Instant::now();
        for host in 0..hosts {
            for n in 0..clients {
                let (all, asked, ended) = (
                    fleet.hosts.clone(),
                    fleet.asked.clone(),
                    fleet.ended.clone(),
                );
                let eager = fleet.eager.clone();
                let shards = fleet.nodes.len() as u32;
                fleet.clients.push(std::thread::spawn(move || {
                    client(&all[host], (host, n), shards, &eager, &asked, &ended);
                }));
            }
        }
        fleet
    }

    /// All clients ask for these alone from now on; for everything again, where there is none.
    pub fn all_want(&self, shards: &[u32]) {
        *lock(&self.eager) = shards.to_vec();
    }

    pub fn entries(&self) -> Vec<Value> {
        self.nodes.iter().map(|n| n.entry("ready")).collect()
    }

    /// SIGKILL.
    pub fn kill(&self, host: usize) {
        let h = &self.hosts[host];
        let from = Instant::now();
        if let Some(mut child) = lock(&h.child).take() {
            let _ = child.kill();
            let _ = child.wait();
        }
        lock(&h.kills).push((from, Instant::now()));
    }

    /// Starts it again, from nothing but the list that the platform last saw there.
    pub fn begin(&self, host: usize, list: &List, known: &[Value]) {
        self.hosts[host].write_config(host, self.hosts.len(), list.address, known);
        self.hosts[host].spawn();
    }

    /// SIGTERM, and waits until it has ended by itself; whether with code 0.
    pub fn end(&self, host: usize) -> bool {
        let h = &self.hosts[host];
        h.signal("-TERM");
        let child = lock(&h.child).take();
        child.is_some_and(|mut child| {
            for _ in 0..1000 {
                if let Some(status) = child.try_wait().unwrap() {
                    return status.success();
                }
                sleep(ms(10));
            }
            let _ = child.kill();
            let _ = child.wait();
            false
        })
    }

    /// SIGHUP, after its file names another list.
    pub fn move_list(&self, host: usize, list: &List) {
        self.hosts[host].write_config(host, self.hosts.len(), list.address, &[]);
        self.hosts[host].signal("-HUP");
    }

    /// Another node takes the place of one, whose process ends; the list is told later, by
    /// [`Fleet::tell`].
    pub fn replace(&mut self, n: usize) {
        let old = self.nodes[n].clone();
        let uid = format!("{}+", old.uid);
        self.nodes[n] = Node::start(&uid, old.shard, old.zone, Some(Instant::now()));
        self.unused.push((old.clone(), Instant::now()));
        self.left.push(old);
    }

    /// The list tells of all nodes as they are.
    pub fn tell(&mut self) {
        self.list.tell(self.entries());
    }

    /// Ends the traffic and the hosts, and adds up what crossed.
    pub fn stop(mut self) -> Counters {
        self.ended.store(true, Ordering::SeqCst);
        self.clients.drain(..).for_each(|c| c.join().unwrap());
        let mut crashed = Vec::new();
        for (n, h) in self.hosts.iter().enumerate() {
            let mut child = lock(&h.child);
            match child.as_mut().map(|c| c.try_wait()) {
                Some(Ok(None)) => {}
                _ => crashed.push(n),
            }
        }
        let mut log = String::new();
        for h in self.hosts.iter() {
            if let Some(mut child) = lock(&h.child).take() {
                let _ = child.kill();
                let _ = child.wait();
            }
            log += &std::fs::read_to_string(&h.log).unwrap_or_default();
            let _ = (
                std::fs::remove_file(&h.log),
                std::fs::remove_file(&h.config),
            );
        }
        let asked = std::mem::take(&mut *lock(&self.asked));
        let nodes: Vec<Node> = self.nodes.iter().chain(&self.left).cloned().collect();
        Counters::of(&asked, &nodes, &self.hosts, crashed, log, self.list.clone())
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.ended.store(true, Ordering::SeqCst);
        for h in self.hosts.iter() {
            if let Some(mut child) = lock(&h.child).take() {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
    }
}

/// A request of a traffic class for one piece of data.
pub fn request(stream: &str, id: &str, volume: u64, shard: i64, key: u64, left: u64) -> String {
    let method = if stream == "read" { "GET" } else { "PUT" };
    let body = if stream == "read" {
        ""
    } else {
        "Content-Length: 2\r\n"
    };
    let data = if stream == "read" { "" } else { "hi" };
    format!(
        "{method} /{stream}/{key:016x}?q=1 HTTP/1.1\r\nHost: backend.local\r\nX-Txn: {id}\r\nX-Qos-Policy: gold\r\n\
         X-Remaining-Ms: {left}\r\nIdempotency-Key: k{id}\r\n{body}\
         X-Placement: volume={volume:016x},units={UNITS},shard={shard},hosts=1\r\n\r\n{data}"
    )
}

/// Asks one thing after another, at an even pace; comes again when told to, and dials when it must.
fn client(
    host: &Host,
    (number, me): (usize, usize),
    shards: u32,
    eager: &Mutex<Vec<u32>>,
    asked: &Mutex<Vec<Asked>>,
    ended: &AtomicBool,
) {
    let mut stream: Option<TcpStream> = None;
    let mut n = 0u64;
    while !ended.load(Ordering::SeqCst) {
        n += 1;
        let kept = stream.take();
        let idle = kept.is_some();
        let Some(mut s) = kept.or_else(|| TcpStream::connect(host.address).ok()) else {
            sleep(ms(100)); // nobody there
            continue;
        };
        let kind = ["read", "read", "once", "row"][(n % 4) as usize];
        // Every client goes through all shards, each from its own place on.
        let mut shard = ((n + me as u64 * 5 + number as u64 * 3) % u64::from(shards)) as u32;
        let wanted = lock(eager).clone();
        if let Some(all) = u64::try_from(wanted.len()).ok().filter(|all| *all > 0) {
            shard = wanted[(n % all) as usize];
        }
        let (volume, key) = (0x3b4d_0000 + number as u64, u64::from(shard) * 16 + n % 3);
        let id = format!("h{number}-{me}-{n}");
        let at = Instant::now();
        s.set_read_timeout(Some(DEADLINE + ms(500))).unwrap();
        // Some are new objects, which any node can take.
        let place = if kind == "once" && n % 8 > 3 {
            -1
        } else {
            i64::from(shard)
        };
        let text = request(kind, &id, volume, place, key, DEADLINE.as_millis() as u64);
        let ask = |s: &mut TcpStream| s.write_all(text.as_bytes()).ok().and_then(|()| answer(s));
        let (mut got, mut told) = (ask(&mut s), Told::Nothing);
        if got.is_none() && idle && at.elapsed() < DEADLINE {
            // The host may close between exchanges; what crosses that is sent once more.
            match TcpStream::connect(host.address) {
                Ok(again) => {
                    s = again;
                    s.set_read_timeout(Some(DEADLINE + ms(500))).unwrap();
                    got = ask(&mut s);
                }
                Err(_) => told = Told::Nobody,
            }
        }
        told = got.as_ref().map_or(told, |a| Told::Is(a.0));
        lock(asked).push(Asked {
            id,
            host: number,
            shard,
            stream: kind,
            at,
            told,
            over: Instant::now(),
        });
        match &got {
            Some((_, head, _)) if !head.contains("Connection: close") => stream = Some(s),
            _ => {}
        }
        sleep(match got {
            Some((200, ..)) => ms(40),
            _ => ms(150),
        });
    }
}

/// Sends what cannot be understood, as fast as it is answered, until the end.
pub fn bad_client(host: SocketAddr, ended: Arc<AtomicBool>) -> JoinHandle<()> {
    std::thread::spawn(move || {
        let bad = [
            "noise without any sense\r\n\r\n".to_string(),
            request("once", "h0-bad", 1, 0, 1, 900)
                .replace("Content-Length: 2", "Content-Length: -2"),
            request("once", "h0-bad", 1, 0, 1, 900).replace(
                "Content-Length: 2",
                "Content-Length: 2\r\nTransfer-Encoding: chunked",
            ),
            request("once", "h0-bad", 1, 0, 1, 900)[..70].to_string(),
        ];
        for text in bad.iter().cycle() {
            if ended.load(Ordering::SeqCst) {
                return;
            }
            if let Ok(mut s) = TcpStream::connect(host) {
                let _ = (
                    s.set_read_timeout(Some(ms(300))),
                    s.write_all(text.as_bytes()),
                );
                let _ = s.read(&mut [0; 64]);
            }
            sleep(ms(20));
        }
    })
}

// What crossed

#[derive(Debug, Default)]
pub struct Counters {
    pub asked: usize,
    pub done: usize,
    pub deferred: usize,
    pub abandoned: usize,
    /// Neither an answer in time, nor a host that was killed with it.
    pub lost: Vec<String>,
    /// Effects of one request that happened twice.
    pub twice: Vec<String>,
    /// Told that trying again is harmless, where the effect had happened or might yet.
    pub wrongly_deferred: Vec<String>,
    /// Pairs of one key and host that ran together or out of turn.
    pub out_of_order: usize,
    /// Nodes that fell over under the sum of all hosts.
    pub fell: Vec<String>,
    pub crashed: Vec<usize>,
    /// The most that any host was over its budget of retries, in any window.
    pub over_budget: f64,
    pub attempts: usize,
    pub log: String,
    answers: Vec<Asked>,
    /// All hosts' whole exchanges, by node and time.
    pub crossed: Vec<(String, Seen)>,
}

impl Counters {
    fn of(
        asked: &[Asked],
        nodes: &[Node],
        hosts: &[Host],
        crashed: Vec<usize>,
        log: String,
        _list: List,
    ) -> Counters {
        let mut c = Counters {
            asked: asked.len(),
            crashed,
            log,
            answers: asked.to_vec(),
            ..Counters::default()
        };
        for n in nodes {
            c.crossed
                .extend(n.seen().into_iter().map(|s| (n.uid.clone(), s)));
            if n.fell() {
                c.fell.push(n.uid.clone());
            }
        }
        c.crossed.sort_by_key(|(_, s)| s.at);
        c.attempts = c.crossed.len();
        let mut by_id: BTreeMap<&str, Vec<&Seen>> = BTreeMap::new();
        for (_, s) in &c.crossed {
            by_id.entry(&s.id).or_default().push(s);
        }
        for a in asked {
            let attempts = by_id.get(a.id.as_str()).cloned().unwrap_or_default();
            let ran = attempts.iter().filter(|s| s.ran).count();
            match a.told {
                Told::Is(200) => c.done += 1,
                Told::Is(429 | 503) => c.deferred += 1,
                Told::Is(_) => c.abandoned += 1,
                Told::Nobody if attempts.is_empty() => {}
                Told::Nothing | Told::Nobody => {
                    // A connection's end is seen a little later than it happened.
                    let kills = lock(&hosts[a.host].kills).clone();
                    if !kills
                        .iter()
                        .any(|(from, to)| a.at <= *to + ms(50) && a.over >= *from)
                    {
                        c.lost.push(format!("{} {} {:?}", a.id, a.stream, a.told));
                    }
                }
            }
            if a.stream == "once" && ran > 1 {
                c.twice.push(a.id.clone());
            }
            if a.stream != "read" && ran > 0 && matches!(a.told, Told::Is(429 | 503)) {
                c.wrongly_deferred.push(a.id.clone());
            }
        }
        c.count_order();
        c.count_budget(asked, &by_id_times(&c.crossed));
        c
    }

    /// Of one key through one host, the next may begin only when the one before has ended.
    fn count_order(&mut self) {
        let mut last: BTreeMap<(String, usize, String), (Instant, String)> = BTreeMap::new();
        for (node, s) in self
            .crossed
            .iter()
            .filter(|(_, s)| s.stream == "row" && s.ran)
        {
            let key = (node.clone(), s.host, s.key.clone());
            if let Some((until, id)) = last.get(&key) {
                self.out_of_order += usize::from(s.at + ms(2) < *until && *id != s.id);
            }
            last.insert(key, (s.until, s.id.clone()));
        }
    }

    fn count_budget(&mut self, asked: &[Asked], further: &BTreeMap<usize, Vec<Instant>>) {
        let (floor, share, window) = FURTHER;
        for (host, times) in further {
            for (n, end) in times.iter().enumerate() {
                let from = *end - window;
                let made = times[..=n].iter().filter(|t| **t > from).count();
                let taken = asked
                    .iter()
                    .filter(|a| a.host == *host && a.at > from && a.at <= *end)
                    .count();
                self.over_budget = self
                    .over_budget
                    .max(made as f64 - floor - share * taken as f64);
            }
        }
    }

    /// The rules that every fleet keeps.
    pub fn keep_the_rules(&self) {
        assert_eq!(
            self.crashed,
            Vec::<usize>::new(),
            "hosts crashed\n{}",
            self.log
        );
        assert_eq!(
            self.lost,
            Vec::<String>::new(),
            "{} of {} lost",
            self.lost.len(),
            self.asked
        );
        assert_eq!(
            self.twice,
            Vec::<String>::new(),
            "effects that happened twice"
        );
        assert_eq!(
            self.wrongly_deferred,
            Vec::<String>::new(),
            "deferred though they ran"
        );
        assert_eq!(self.out_of_order, 0, "of one key together");
        assert_eq!(self.fell, Vec::<String>::new(), "cold nodes pushed over");
        assert!(
            self.over_budget <= 1.0,
            "{} further legs over the budget",
            self.over_budget
        );
        assert!(!self.log.contains("panicked"), "{}", self.log);
    }

    /// Of what was asked from then on: all, and done.
    pub fn since(&self, at: Instant) -> (usize, usize) {
        let late = self.answers.iter().filter(|a| a.at >= at);
        (
            late.clone().count(),
            late.filter(|a| a.told == Told::Is(200)).count(),
        )
    }

    /// Exchanges that came to nodes of a name within a span.
    pub fn came(&self, to: impl Fn(&str) -> bool, span: std::ops::Range<Instant>) -> usize {
        self.crossed
            .iter()
            .filter(|(uid, s)| to(uid) && span.contains(&s.at))
            .count()
    }
}

/// When each host made attempts beyond a request's first.
fn by_id_times(crossed: &[(String, Seen)]) -> BTreeMap<usize, Vec<Instant>> {
    let (mut seen, mut further) = (BTreeSet::new(), BTreeMap::<usize, Vec<Instant>>::new());
    for (_, s) in crossed {
        if !seen.insert(&s.id) {
            further.entry(s.host).or_default().push(s.at);
        }
    }
    further
}
