//! One process of `grebecleat platform` with a small list and scripted nodes on loopback.

use super::{answer, free_address, ms, next_exchange};
use serde_json::{json, Value};
use std::io::Write;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::{Duration, Instant};

/// What a node does with an exchange that came whole.
#[derive(Clone)]
pub enum Does {
    Says(Vec<u8>),
    /// Says it and hangs up.
    SaysAndEnds(Vec<u8>),
    Waits(Duration, Vec<u8>),
}

pub fn says(text: &str) -> Does {
    Does::Says(text.as_bytes().to_vec())
}

pub const GOOD: &str = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngood";
pub const AWAY: &str = "HTTP/1.1 503 No\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n";

pub type Script = Arc<dyn Fn(usize) -> Does + Send + Sync>;

/// A node: answers the n-th exchange as its script says, and keeps what came.
pub struct Node {
    pub address: SocketAddr,
    pub seen: Arc<Mutex<Vec<String>>>,
    pub connections: Arc<Mutex<usize>>,
}

pub fn node(script: impl Fn(usize) -> Does + Send + Sync + 'static) -> Node {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (seen, connections): (Arc<Mutex<Vec<String>>>, Arc<Mutex<usize>>) = Default::default();
    let (kept, opened, script): (_, _, Script) =
        (seen.clone(), connections.clone(), Arc::new(script));
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            *opened.lock().unwrap() += 1;
            let (kept, script) = (kept.clone(), script.clone());
            std::thread::spawn(move || serve_node(stream, &kept, &*script));
        }
    });
    Node {
        address,
        seen,
        connections,
    }
}

pub fn serve_node(
    mut stream: TcpStream,
    kept: &Mutex<Vec<String>>,
    script: &dyn Fn(usize) -> Does,
) {
    let mut had = Vec::new();
    loop {
        let Some(text) = next_exchange(&mut stream, &mut had) else {
            return;
        };
        let n = {
            let mut kept = kept.lock().unwrap();
            kept.push(text);
            kept.len() - 1
        };
        match script(n) {
            Does::Says(bytes) => _ = stream.write_all(&bytes),
            Does::Waits(span, bytes) => {
                sleep(span);
                let _ = stream.write_all(&bytes);
            }
            Does::SaysAndEnds(bytes) => {
                let _ = stream.write_all(&bytes);
                return;
            }
        }
    }
}

/// A list: the whole of it, and watches that wait until it changes.
#[derive(Clone)]
pub struct Discovery {
    pub address: SocketAddr,
    pub told: Arc<Mutex<(u64, Value)>>,
    pub calls: Arc<Mutex<Vec<String>>>,
}

pub fn discovery(targets: Value) -> Discovery {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let d = Discovery {
        address,
        told: Arc::new(Mutex::new((1, targets))),
        calls: Arc::default(),
    };
    let list = d.clone();
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let list = list.clone();
            std::thread::spawn(move || list.serve(stream));
        }
    });
    d
}

impl Discovery {
    pub fn serve(&self, mut stream: TcpStream) {
        let mut had = Vec::new();
        while let Some(text) = next_exchange(&mut stream, &mut had) {
            let target = text.split(' ').nth(1).unwrap_or_default().to_string();
            self.calls.lock().unwrap().push(target.clone());
            let since = target
                .split("since=")
                .nth(1)
                .and_then(|s| s.split('&').next()?.parse::<u64>().ok());
            let until = Instant::now() + ms(1000);
            while since.is_some_and(|s| self.told.lock().unwrap().0 <= s) && Instant::now() < until
            {
                sleep(ms(5));
            }
            let (rev, targets) = self.told.lock().unwrap().clone();
            let news = since.is_none_or(|s| rev > s);
            let targets = if news { targets } else { json!([]) };
            let body = json!({"rev": rev, "all": news, "targets": targets}).to_string();
            let _ = write!(
                stream,
                "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
        }
    }

    pub fn tell(&self, targets: Value) {
        let mut told = self.told.lock().unwrap();
        *told = (told.0 + 1, targets);
    }
}

pub fn target(uid: &str, node: &Node, shard: u32, state: &str) -> Value {
    target_at(uid, node.address, shard, state)
}

pub fn target_at(uid: &str, address: SocketAddr, shard: u32, state: &str) -> Value {
    json!({"uid": uid, "endpoint": address.to_string(), "az": "a", "model": "m", "pod_group": shard,
           "state": state, "capacity_hint": 1.0, "boot_ms": 0})
}

pub struct Live {
    pub child: Child,
    pub address: SocketAddr,
    pub config: PathBuf,
    pub log: PathBuf,
    pub sockets: u64,
}

impl Drop for Live {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = (
            std::fs::remove_file(&self.config),
            std::fs::remove_file(&self.log),
        );
    }
}

pub fn settings() -> Value {
    let stream = |name: &str, repeat: &str, ordered: bool| {
        json!({"name": name, "objective-ms": 200.0, "deadline-ms": 3000.0, "idempotency": repeat,
               "key-scope": "cell", "dedup-window-ms": 1500.0, "worth": 3.0, "late-value": 0.2,
               "serial-by-key": ordered, "stream": false})
    };
    json!({
        "balancers": 1, "registry-mode": "on_request", "zones": ["a"],
        "caps": {"max-attempts": 3, "retry-after": true, "max-retry-after-ms": 500.0, "conn-idle-ms": 30000.0,
                 "dial-timeout-ms": 250.0, "max-open": 1000, "probing": true},
        "family-info": {"largest": 6, "mean-units": 2.0, "writes": [false, true, true], "cold-units": 20.0,
                        "meter-ms": 500.0, "within-share": 0.35, "spare-worth": 0.08},
        "profiles": [stream("read", "free", false), stream("once", "single_shot", false),
                     stream("row", "guarded", true)],
        "plans": [{"name": "gold", "base-rate": 500.0, "guaranteed": 500.0, "proportion": 1.0, "price": 1.0}],
        "rules": {"answer-slack-ms": 58.0, "ask-every-ms": 9000.0, "extra-floor": 3.0, "further-ratio": 0.25,
                  "extra-window-ms": 5000.0, "cold-from": 0.2, "cold-ms": 9000.0, "fall-ms": 2000.0,
                  "tip-multiple": 4.0, "drain-grace-ms": 250.0, "settle-after-doubt-ms": 200.0}
    })
}

impl Live {
    pub fn start(list: &Discovery, sockets: u64) -> Live {
        let mut live = Live::begin(list.address, sockets, settings());
        live.is_ready();
        live
    }

    /// Starts it, and does not wait until it is ready.
    pub fn begin(list: SocketAddr, sockets: u64, settings: Value) -> Live {
        Live::begin_with(list, sockets, settings, json!({}))
    }

    /// The same with some fields of its configuration as they are given here.
    pub fn begin_with(list: SocketAddr, sockets: u64, settings: Value, fields: Value) -> Live {
        static NEXT: Mutex<u32> = Mutex::new(0);
        let n = {
            let mut next = NEXT.lock().unwrap();
            *next += 1;
            *next
        };
        let address = fields["listen"]
            .as_str()
            .map_or_else(free_address, |given| given.parse().unwrap());
        let file = |end: &str| {
            std::env::temp_dir().join(format!("grebecleat-{}-{n}.{end}", std::process::id()))
        };
        let (config, log) = (file("json"), file("log"));
        write_config(&config, "n1", address, list, sockets, settings);
        if let Some(fields) = fields.as_object().filter(|f| !f.is_empty()) {
            let mut whole: Value =
                serde_json::from_slice(&std::fs::read(&config).unwrap()).unwrap();
            fields
                .iter()
                .for_each(|(name, value)| whole[name] = value.clone());
            std::fs::write(&config, whole.to_string()).unwrap();
        }
        // The system holds it to its limit: one descriptor more than the settings grant fails there
        // and then.
        let mut command = Command::new("sh");
        command
            .args(["-c", "ulimit -n $0 && exec \"$1\" platform"])
            .arg(sockets.to_string());
        command
            .arg(env!("CARGO_BIN_EXE_grebecleat"))
            .env("LB_CONFIG", &config)
            .stdin(Stdio::null());
        let child = command
            .stderr(std::fs::File::create(&log).unwrap())
            .spawn()
            .unwrap();
        Live {
            child,
            address,
            config,
            log,
            sockets,
        }
    }

    pub fn is_ready(&mut self) {
        let until = Instant::now() + Duration::from_secs(20);
        while self.ask("GET /health/ready HTTP/1.1\r\n\r\n") != Some(200) {
            assert!(
                Instant::now() < until && self.child.try_wait().unwrap().is_none(),
                "it never was ready"
            );
            sleep(ms(20));
        }
    }

    /// Waits until its log says so, so many times.
    pub fn says(&self, text: &str, times: usize) {
        let until = Instant::now() + Duration::from_secs(20);
        let said = || {
            std::fs::read_to_string(&self.log)
                .unwrap_or_default()
                .matches(text)
                .count()
        };
        while said() < times {
            assert!(
                Instant::now() < until,
                "it never said '{text}' {times} times"
            );
            sleep(ms(5));
        }
    }

    /// Waits until it has ended by itself; whether with code 0.
    pub fn ends(&mut self) -> bool {
        let until = Instant::now() + Duration::from_secs(10);
        while self.child.try_wait().unwrap().is_none() {
            assert!(Instant::now() < until, "it never ended");
            sleep(ms(20));
        }
        self.child.wait().unwrap().success()
    }

    pub fn connect(&self) -> TcpStream {
        let stream = TcpStream::connect(self.address).unwrap();
        stream
            .set_read_timeout(Some(Duration::from_secs(20)))
            .unwrap();
        stream
    }

    pub fn ask(&self, text: &str) -> Option<u16> {
        let mut stream = TcpStream::connect(self.address).ok()?;
        stream
            .set_read_timeout(Some(Duration::from_secs(8)))
            .unwrap();
        stream.write_all(text.as_bytes()).ok()?;
        answer(&mut stream).map(|a| a.0)
    }

    pub fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        assert!(Command::new("kill")
            .args([name, &pid])
            .status()
            .unwrap()
            .success());
    }
}

pub fn write_config(
    path: &PathBuf,
    name: &str,
    listen: SocketAddr,
    list: SocketAddr,
    sockets: u64,
    settings: Value,
) {
    let config = json!({
        "name": name, "listen": listen.to_string(), "discovery": list.to_string(), "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 64, "sockets": sockets}, "settings": settings,
    });
    std::fs::write(path, config.to_string()).unwrap();
}

/// The settings with another deadline for all traffic classes.
pub fn settings_with_deadline(deadline: u64) -> Value {
    let mut all = settings();
    for n in 0..3 {
        all["profiles"][n]["deadline-ms"] = json!(deadline as f64);
    }
    all
}

/// A node or a list whose every exchange is handed to the test, which answers it when it will.
pub struct Hand {
    pub address: SocketAddr,
    came: Receiver<Came>,
}

pub struct Came {
    pub text: String,
    /// Which connection it came on, in the order of their coming.
    pub conn: usize,
    pub stream: TcpStream,
}

impl Hand {
    pub fn start() -> Hand {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let (to_test, came) = channel();
        std::thread::spawn(move || {
            for (conn, stream) in listener.incoming().flatten().enumerate() {
                // What it says is on its way when that has been said, and does not wait for the
                // host's word.
                stream.set_nodelay(true).unwrap();
                let to_test = to_test.clone();
                std::thread::spawn(move || hand_on(stream, conn, &to_test));
            }
        });
        Hand { address, came }
    }

    /// The next exchange that came whole.
    pub fn next(&self) -> Came {
        self.came
            .recv_timeout(Duration::from_secs(20))
            .expect("nothing came")
    }

    /// Answers the next one well; false where none comes for long.
    pub fn answer_next(&self) -> bool {
        let came = self.came.recv_timeout(Duration::from_secs(20));
        came.map(|mut c| c.answers("good")).is_ok()
    }

    /// One that has come already.
    pub fn now(&self) -> Option<Came> {
        self.came.try_recv().ok()
    }
}

fn hand_on(mut stream: TcpStream, conn: usize, to_test: &Sender<Came>) {
    let mut had = Vec::new();
    while let Some(text) = next_exchange(&mut stream, &mut had) {
        let came = Came {
            text,
            conn,
            stream: stream.try_clone().unwrap(),
        };
        if to_test.send(came).is_err() {
            return;
        }
    }
}

impl Came {
    pub fn says(&mut self, text: &str) {
        let _ = self.stream.write_all(text.as_bytes());
    }

    /// An answer with this for a body.
    pub fn answers(&mut self, body: &str) {
        self.says(&format!(
            "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        ));
    }

    pub fn lists(&mut self, revision: u64, all: bool, targets: Value) {
        self.answers(&json!({"rev": revision, "all": all, "targets": targets}).to_string());
    }

    pub fn ends(&self) {
        let _ = self.stream.shutdown(Shutdown::Both);
    }
}

/// A request of a traffic class for one piece of data.
pub fn request(stream: &str, id: &str, shard: i64, key: u64, left: u64) -> String {
    super::request(stream, id, 0x3_b4d6_0021, shard, key, left)
}

pub fn one_node(script: impl Fn(usize) -> Does + Send + Sync + 'static) -> (Node, Discovery, Live) {
    let node = node(script);
    let list = discovery(json!([target("s-1", &node, 0, "ready")]));
    let live = Live::start(&list, 256);
    (node, list, live)
}

pub fn seen(node: &Node) -> Vec<String> {
    node.seen.lock().unwrap().clone()
}
