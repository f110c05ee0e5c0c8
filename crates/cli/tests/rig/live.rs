//! One process of `grebecleat platform` on loopback, with a stub discovery service and scripted nodes.

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

/// Response of a node to a request that it received completely.
#[derive(Clone)]
pub enum ScriptedResponse {
    Send(Vec<u8>),
    /// Sends the bytes and closes the connection.
    SendAndClose(Vec<u8>),
    SendAfter(Duration, Vec<u8>),
}

pub fn respond_with(text: &str) -> ScriptedResponse {
    ScriptedResponse::Send(text.as_bytes().to_vec())
}

pub const OK_RESPONSE: &str = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngood";
pub const REJECTED_RESPONSE: &str =
    "HTTP/1.1 503 No\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n";

pub type Script = Arc<dyn Fn(usize) -> ScriptedResponse + Send + Sync>;

/// A node that answers the n-th request as its script defines, and records all requests.
pub struct Node {
    pub address: SocketAddr,
    pub received: Arc<Mutex<Vec<String>>>,
    pub connections: Arc<Mutex<usize>>,
}

pub fn node(script: impl Fn(usize) -> ScriptedResponse + Send + Sync + 'static) -> Node {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (received, connections): (Arc<Mutex<Vec<String>>>, Arc<Mutex<usize>>) = Default::default();
    let (kept, opened, script): (_, _, Script) =
        (received.clone(), connections.clone(), Arc::new(script));
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            *opened.lock().unwrap() += 1;
            let (kept, script) = (kept.clone(), script.clone());
            std::thread::spawn(move || serve_node(stream, &kept, &*script));
        }
    });
    Node {
        address,
        received,
        connections,
    }
}

pub fn serve_node(
    mut stream: TcpStream,
    kept: &Mutex<Vec<String>>,
    script: &dyn Fn(usize) -> ScriptedResponse,
) {
    let mut buffered = Vec::new();
    loop {
        let Some(text) = next_exchange(&mut stream, &mut buffered) else {
            return;
        };
        let n = {
            let mut kept = kept.lock().unwrap();
            kept.push(text);
            kept.len() - 1
        };
        match script(n) {
            ScriptedResponse::Send(bytes) => _ = stream.write_all(&bytes),
            ScriptedResponse::SendAfter(span, bytes) => {
                sleep(span);
                let _ = stream.write_all(&bytes);
            }
            ScriptedResponse::SendAndClose(bytes) => {
                let _ = stream.write_all(&bytes);
                return;
            }
        }
    }
}

/// A discovery service that serves the complete list, and watches that wait until it changes.
#[derive(Clone)]
pub struct StubDiscovery {
    pub address: SocketAddr,
    pub published: Arc<Mutex<(u64, Value)>>,
    pub calls: Arc<Mutex<Vec<String>>>,
}

pub fn start_discovery(targets: Value) -> StubDiscovery {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let d = StubDiscovery {
        address,
        published: Arc::new(Mutex::new((1, targets))),
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

impl StubDiscovery {
    pub fn serve(&self, mut stream: TcpStream) {
        let mut buffered = Vec::new();
        while let Some(text) = next_exchange(&mut stream, &mut buffered) {
            let target = text.split(' ').nth(1).unwrap_or_default().to_string();
            self.calls.lock().unwrap().push(target.clone());
            let since = target
                .split("since=")
                .nth(1)
                .and_then(|s| s.split('&').next()?.parse::<u64>().ok());
            let until = Instant::now() + ms(1000);
            while since.is_some_and(|s| self.published.lock().unwrap().0 <= s)
                && Instant::now() < until
            {
                sleep(ms(5));
            }
            let (rev, targets) = self.published.lock().unwrap().clone();
            let has_news = since.is_none_or(|s| rev > s);
            let targets = if has_news { targets } else { json!([]) };
            let body = json!({"rev": rev, "all": has_news, "targets": targets}).to_string();
            let _ = write!(
                stream,
                "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
        }
    }

    pub fn publish(&self, targets: Value) {
        let mut published = self.published.lock().unwrap();
        *published = (published.0 + 1, targets);
    }
}

pub fn target(uid: &str, node: &Node, shard: u32, state: &str) -> Value {
    target_at(uid, node.address, shard, state)
}

pub fn target_at(uid: &str, address: SocketAddr, shard: u32, state: &str) -> Value {
    json!({"uid": uid, "endpoint": address.to_string(), "az": "a", "model": "m", "pod_group": shard,
           "state": state, "capacity_hint": 1.0, "boot_ms": 0})
}

pub struct HostProcess {
    pub child: Child,
    pub address: SocketAddr,
    pub config: PathBuf,
    pub log: PathBuf,
    pub sockets: u64,
}

impl Drop for HostProcess {
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
    let traffic_class = |name: &str, idempotency: &str, ordered: bool| {
        json!({"name": name, "objective-ms": 200.0, "deadline-ms": 3000.0, "idempotency": idempotency,
               "key-scope": "cell", "dedup-window-ms": 1500.0, "worth": 3.0, "late-value": 0.2,
               "serial-by-key": ordered, "stream": false})
    };
    json!({
        "balancers": 1, "registry-mode": "on_request", "zones": ["a"],
        "caps": {"max-attempts": 3, "retry-after": true, "max-retry-after-ms": 500.0, "conn-idle-ms": 30000.0,
                 "dial-timeout-ms": 250.0, "max-open": 1000, "probing": true},
        "family-info": {"largest": 6, "mean-units": 2.0, "writes": [false, true, true], "cold-units": 20.0,
                        "meter-ms": 500.0, "within-share": 0.35, "spare-worth": 0.08},
        "profiles": [traffic_class("read", "free", false), traffic_class("once", "single_shot", false),
                     traffic_class("row", "guarded", true)],
        "plans": [{"name": "gold", "base-rate": 500.0, "guaranteed": 500.0, "proportion": 1.0, "price": 1.0}],
        "rules": {"answer-slack-ms": 58.0, "ask-every-ms": 9000.0, "extra-floor": 3.0, "further-ratio": 0.25,
                  "extra-window-ms": 5000.0, "cold-from": 0.2, "cold-ms": 9000.0, "fall-ms": 2000.0,
                  "tip-multiple": 4.0, "drain-grace-ms": 250.0, "settle-after-doubt-ms": 200.0}
    })
}

impl HostProcess {
    pub fn start(list: &StubDiscovery, sockets: u64) -> HostProcess {
        let mut live = HostProcess::spawn(list.address, sockets, settings());
        live.wait_until_ready();
        live
    }

    /// Starts the process without waiting until it is ready.
    pub fn spawn(list: SocketAddr, sockets: u64, settings: Value) -> HostProcess {
        HostProcess::spawn_with(list, sockets, settings, json!({}))
    }

    /// Starts the process with `fields` in place of those of its configuration.
    pub fn spawn_with(
        list: SocketAddr,
        sockets: u64,
        settings: Value,
        fields: Value,
    ) -> HostProcess {
        static NEXT: Mutex<u32> = Mutex::new(0);
        let n = {
            let mut next = NEXT.lock().unwrap();
            *next += 1;
            *next
        };
        let address = fields["listen"]
            .as_str()
            .map_or_else(free_address, |given| given.parse().unwrap());
        let file = |extension: &str| {
            std::env::temp_dir().join(format!("grebecleat-{}-{n}.{extension}", std::process::id()))
        };
        let (config, log) = (file("json"), file("log"));
        write_config(&config, "n1", address, list, sockets, settings);
        if let Some(fields) = fields.as_object().filter(|f| !f.is_empty()) {
            let mut merged: Value =
                serde_json::from_slice(&std::fs::read(&config).unwrap()).unwrap();
            fields
                .iter()
                .for_each(|(name, value)| merged[name] = value.clone());
            std::fs::write(&config, merged.to_string()).unwrap();
        }
        // The operating system enforces the limit: opening one descriptor more than the settings grant
        // fails at once.
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
        HostProcess {
            child,
            address,
            config,
            log,
            sockets,
        }
    }

    pub fn wait_until_ready(&mut self) {
        let until = Instant::now() + Duration::from_secs(20);
        while self.status_of("GET /health/ready HTTP/1.1\r\n\r\n") != Some(200) {
            assert!(
                Instant::now() < until && self.child.try_wait().unwrap().is_none(),
                "the host was not ready within 20 s"
            );
            sleep(ms(20));
        }
    }

    /// Waits until the log contains the text so many times.
    pub fn wait_for_log(&self, text: &str, times: usize) {
        let until = Instant::now() + Duration::from_secs(20);
        let occurrences = || {
            std::fs::read_to_string(&self.log)
                .unwrap_or_default()
                .matches(text)
                .count()
        };
        while occurrences() < times {
            assert!(
                Instant::now() < until,
                "the log did not contain '{text}' {times} times within 20 s"
            );
            sleep(ms(5));
        }
    }

    /// Waits until the process has exited by itself; returns whether with code 0.
    pub fn wait_for_exit(&mut self) -> bool {
        let until = Instant::now() + Duration::from_secs(10);
        while self.child.try_wait().unwrap().is_none() {
            assert!(Instant::now() < until, "the host did not exit within 10 s");
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

    pub fn status_of(&self, text: &str) -> Option<u16> {
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

/// Returns the settings with another deadline for all traffic classes, in milliseconds.
pub fn settings_with_deadline(deadline: u64) -> Value {
    let mut all = settings();
    for n in 0..3 {
        all["profiles"][n]["deadline-ms"] = json!(deadline as f64);
    }
    all
}

/// A node or a discovery service whose requests the test receives and answers itself.
pub struct ManualServer {
    pub address: SocketAddr,
    requests: Receiver<HeldRequest>,
}

pub struct HeldRequest {
    pub text: String,
    /// Number of its connection, in the order in which connections were accepted.
    pub conn: usize,
    pub stream: TcpStream,
}

impl ManualServer {
    pub fn start() -> ManualServer {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let (to_test, requests) = channel();
        std::thread::spawn(move || {
            for (conn, stream) in listener.incoming().flatten().enumerate() {
                // Each write is sent at once, and does not wait for an acknowledgement from the host.
                stream.set_nodelay(true).unwrap();
                let to_test = to_test.clone();
                std::thread::spawn(move || forward_requests(stream, conn, &to_test));
            }
        });
        ManualServer { address, requests }
    }

    /// Waits for the next complete request.
    pub fn next(&self) -> HeldRequest {
        self.requests
            .recv_timeout(Duration::from_secs(20))
            .expect("no request within 20 s")
    }

    /// Answers the next request with status 200; returns false if none arrives within 20 s.
    pub fn respond_to_next(&self) -> bool {
        let request = self.requests.recv_timeout(Duration::from_secs(20));
        request.map(|mut request| request.respond("good")).is_ok()
    }

    /// Returns a request that has already arrived, if there is one.
    pub fn try_next(&self) -> Option<HeldRequest> {
        self.requests.try_recv().ok()
    }
}

fn forward_requests(mut stream: TcpStream, conn: usize, to_test: &Sender<HeldRequest>) {
    let mut buffered = Vec::new();
    while let Some(text) = next_exchange(&mut stream, &mut buffered) {
        let request = HeldRequest {
            text,
            conn,
            stream: stream.try_clone().unwrap(),
        };
        if to_test.send(request).is_err() {
            return;
        }
    }
}

impl HeldRequest {
    pub fn send_raw(&mut self, text: &str) {
        let _ = self.stream.write_all(text.as_bytes());
    }

    /// Sends a response with status 200 and this body.
    pub fn respond(&mut self, body: &str) {
        self.send_raw(&format!(
            "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        ));
    }

    pub fn respond_with_list(&mut self, revision: u64, all: bool, targets: Value) {
        self.respond(&json!({"rev": revision, "all": all, "targets": targets}).to_string());
    }

    pub fn close(&self) {
        let _ = self.stream.shutdown(Shutdown::Both);
    }
}

/// Returns a request of a traffic class for one key. `left`: milliseconds to its deadline.
pub fn request(traffic_class: &str, id: &str, shard: i64, key: u64, left: u64) -> String {
    super::request(traffic_class, id, 0x3_b4d6_0021, shard, key, left)
}

pub fn one_node(
    script: impl Fn(usize) -> ScriptedResponse + Send + Sync + 'static,
) -> (Node, StubDiscovery, HostProcess) {
    let node = node(script);
    let list = start_discovery(json!([target("s-1", &node, 0, "ready")]));
    let live = HostProcess::start(&list, 256);
    (node, list, live)
}

pub fn received_requests(node: &Node) -> Vec<String> {
    node.received.lock().unwrap().clone()
}
