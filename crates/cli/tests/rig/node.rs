//! A storage node: serves requests in slots, warms up after its start, and injects faults.

use super::http::{header, next_exchange, target};
use super::site::{
    node_capacity, ALWAYS_BORNE_UNITS, INITIAL_FRACTION, NODE_QUEUE, NODE_SLOTS, OVERLOAD_MULTIPLE,
    OVERLOAD_WINDOW, REQUEST_UNITS, TIME_PER_UNIT, WARM_UP_TIME,
};
use super::{lock, retry};
use serde_json::{json, Value};
use std::collections::BTreeSet;
use std::io::Write;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

const COMPLETED: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngood";
const QUEUE_FULL: &[u8] = b"HTTP/1.1 503 No\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n";
const CORRUPTED: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\ngood";

/// An attempt that a node received completely.
#[derive(Debug, Clone)]
pub struct ReceivedAttempt {
    pub at: Instant,
    pub request_id: String,
    pub host: usize,
    pub traffic_class: String,
    pub key: String,
    /// Whether the node executed it; false if its queue was full.
    pub ran: bool,
    /// When the node responded, or would have responded if the response is lost.
    pub ended_at: Instant,
}

#[derive(Debug)]
struct State {
    /// False while the process is dead: connections are reset and refused.
    running: bool,
    /// When the process last started; `None` if it has been warm from the beginning.
    booted: Option<Instant>,
    /// Hosts with which the node cannot communicate.
    partitioned_from: BTreeSet<usize>,
    /// Fraction of the responses that are lost with their connection, after the attempt has run.
    lost_fraction: f64,
    /// Fraction of the responses that are corrupted.
    corrupted_fraction: f64,
    slots_free_at: [Instant; NODE_SLOTS],
    queued: usize,
    received: Vec<ReceivedAttempt>,
    connected_at: Vec<Instant>,
    connections: Vec<TcpStream>,
    listener: Option<TcpListener>,
    /// Whether all hosts together have overloaded the node while it warmed up.
    overloaded: bool,
    random: u64,
}

impl State {
    /// Returns a random number from 0 to 1, from a linear congruential generator that gives the same
    /// sequence in every run.
    fn random(&mut self) -> f64 {
        self.random = self
            .random
            .wrapping_mul(6364136223846793005)
            .wrapping_add(1442695040888963407);
        (self.random >> 40) as f64 / (1u64 << 24) as f64
    }

    /// Returns the fraction of the full capacity that the node has at its age.
    fn capacity_fraction(&self, now: Instant) -> f64 {
        let age = self
            .booted
            .map_or(WARM_UP_TIME, |booted| now.saturating_duration_since(booted));
        let warm = age.as_secs_f64() / WARM_UP_TIME.as_secs_f64();
        (INITIAL_FRACTION + (1.0 - INITIAL_FRACTION) * warm).min(1.0)
    }

    /// Returns whether all hosts together have sent more units within the slow-start rule's window than a
    /// node of this age can bear.
    fn is_overloaded(&self, now: Instant) -> bool {
        let warming_up = self
            .booted
            .is_some_and(|booted| now < booted + WARM_UP_TIME);
        let first = self.received.partition_point(|attempt| {
            let before_start = self.booted.is_some_and(|booted| attempt.at < booted);
            attempt.at + OVERLOAD_WINDOW <= now || before_start
        });
        let units = (self.received.len() - first) as f64 * REQUEST_UNITS;
        let capacity = node_capacity() * self.capacity_fraction(now);
        let borne = OVERLOAD_MULTIPLE * capacity * OVERLOAD_WINDOW.as_secs_f64();
        warming_up && units > borne.max(ALWAYS_BORNE_UNITS)
    }

    /// Queues an attempt, or rejects it. Returns the time at which it ends and the response, which is
    /// `None` if it is lost.
    fn admit(&mut self, attempt: &Attempt, now: Instant) -> (Instant, Option<&'static [u8]>) {
        let full = self.queued >= NODE_QUEUE;
        let work = TIME_PER_UNIT.mul_f64(REQUEST_UNITS / self.capacity_fraction(now));
        let slot = (0..NODE_SLOTS).min_by_key(|slot| self.slots_free_at[*slot]);
        let slot = slot.expect("a node has slots");
        let ended_at = if full {
            now
        } else {
            self.slots_free_at[slot].max(now) + work
        };
        if !full {
            self.slots_free_at[slot] = ended_at;
            self.queued += 1;
        }
        self.received.push(ReceivedAttempt {
            at: now,
            request_id: attempt.request_id.clone(),
            host: attempt.host,
            traffic_class: attempt.traffic_class.clone(),
            key: attempt.key.clone(),
            ran: !full,
            ended_at,
        });
        self.overloaded |= self.is_overloaded(now);
        let lost = self.random() < self.lost_fraction;
        let corrupted = self.random() < self.corrupted_fraction;
        let response = match (full, lost, corrupted) {
            (true, _, _) => Some(QUEUE_FULL),
            (false, true, _) => None,
            (false, false, true) => Some(CORRUPTED),
            (false, false, false) => Some(COMPLETED),
        };
        (ended_at, response)
    }

    fn reset_connections(&mut self) {
        for stream in self.connections.drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

/// The fields of an attempt that a node evaluates.
struct Attempt {
    request_id: String,
    host: usize,
    traffic_class: String,
    key: String,
}

impl Attempt {
    fn parse(text: &str) -> Attempt {
        let request_id = header(text, "X-Txn").unwrap_or_default().to_string();
        // Request ids start with the host's index: h3-0-17.
        let host = request_id
            .strip_prefix('h')
            .and_then(|rest| rest.split('-').next()?.parse().ok());
        let mut path = target(text).split('/').skip(1);
        let mut next = || path.next().unwrap_or_default().to_string();
        Attempt {
            host: host.unwrap_or(0),
            request_id,
            traffic_class: next(),
            key: next(),
        }
    }
}

/// A node. Clones are handles of one node.
#[derive(Clone)]
pub struct Node {
    pub uid: String,
    pub shard: u32,
    pub zone: &'static str,
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
}

impl Node {
    /// Starts a node. `booted`: when its process started; `None` if the node is warm.
    pub fn start(uid: &str, shard: u32, zone: &'static str, booted: Option<Instant>) -> Node {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let now = Instant::now();
        let state = State {
            running: true,
            booted,
            partitioned_from: BTreeSet::new(),
            lost_fraction: 0.0,
            corrupted_fraction: 0.0,
            slots_free_at: [now; NODE_SLOTS],
            queued: 0,
            received: Vec::new(),
            connected_at: Vec::new(),
            connections: Vec::new(),
            listener: None,
            overloaded: false,
            random: u64::from(shard) + 7,
        };
        let node = Node {
            uid: uid.into(),
            shard,
            zone,
            address,
            state: Arc::new(Mutex::new(state)),
        };
        node.listen(listener);
        node
    }

    fn listen(&self, listener: TcpListener) {
        lock(&self.state).listener = Some(listener.try_clone().unwrap());
        let node = self.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming() {
                let Ok(stream) = stream else { return };
                let mut state = lock(&node.state);
                if !state.running {
                    return;
                }
                state.connected_at.push(Instant::now());
                state.connections.push(stream.try_clone().unwrap());
                drop(state);
                let node = node.clone();
                std::thread::spawn(move || node.serve(stream));
            }
        });
    }

    fn serve(&self, mut stream: TcpStream) {
        let mut buffered = Vec::new();
        while let Some(text) = next_exchange(&mut stream, &mut buffered) {
            let now = Instant::now();
            let attempt = Attempt::parse(&text);
            let (ended_at, response) = {
                let mut state = lock(&self.state);
                if state.partitioned_from.contains(&attempt.host) {
                    continue; // the attempt is lost in the network
                }
                state.admit(&attempt, now)
            };
            sleep(ended_at.saturating_duration_since(Instant::now()));
            {
                let mut state = lock(&self.state);
                state.queued = state.queued.saturating_sub(1);
                if !state.running {
                    return;
                }
                if state.partitioned_from.contains(&attempt.host) {
                    continue; // the response is lost in the network
                }
            }
            let Some(response) = response else {
                let _ = stream.shutdown(Shutdown::Both);
                return;
            };
            let _ = stream.write_all(response);
        }
    }

    /// Cuts the network between the node and these hosts, and no others.
    pub fn partition_from(&self, hosts: impl IntoIterator<Item = usize>) {
        lock(&self.state).partitioned_from = hosts.into_iter().collect();
    }

    /// Loses or corrupts fractions of the responses.
    pub fn inject_response_faults(&self, lost: f64, corrupted: f64) {
        let mut state = lock(&self.state);
        state.lost_fraction = lost;
        state.corrupted_fraction = corrupted;
    }

    /// Resets all connections, including those with outstanding attempts.
    pub fn reset_connections(&self) {
        lock(&self.state).reset_connections();
    }

    /// Ends the process: connections are reset, and new ones refused.
    pub fn kill(&self) {
        let listener = {
            let mut state = lock(&self.state);
            state.running = false;
            state.queued = 0;
            state.reset_connections();
            state.listener.take()
        };
        if listener.is_some() {
            drop(listener);
            // Wakes the accepting thread, which then releases the port.
            let _ = TcpStream::connect(self.address);
        }
    }

    /// Starts the process again at the same address; it warms up.
    pub fn restart(&self) {
        let listener = retry(|| TcpListener::bind(self.address).ok());
        {
            let mut state = lock(&self.state);
            let now = Instant::now();
            state.running = true;
            state.booted = Some(now);
            state.slots_free_at = [now; NODE_SLOTS];
        }
        self.listen(listener);
    }

    /// Returns when the process last started; `None` if it has been warm from the beginning.
    pub fn booted(&self) -> Option<Instant> {
        lock(&self.state).booted
    }

    /// Returns whether all hosts together ever overloaded the node while it warmed up.
    pub fn was_overloaded(&self) -> bool {
        lock(&self.state).overloaded
    }

    /// Returns the attempts received so far.
    pub fn received(&self) -> Vec<ReceivedAttempt> {
        lock(&self.state).received.clone()
    }

    /// Returns the number of connections accepted since a time.
    pub fn connections_since(&self, since: Instant) -> usize {
        let state = lock(&self.state);
        let connected = state.connected_at.iter();
        connected.filter(|at| **at >= since).count()
    }

    /// Returns the node's entry of the endpoint list.
    pub fn endpoint(&self, state: &str) -> Value {
        let boot = self.booted().map_or(Duration::ZERO, |booted| {
            let unix_time = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
            unix_time - booted.elapsed()
        });
        json!({"uid": self.uid, "endpoint": self.address.to_string(), "az": self.zone, "model": "m",
               "pod_group": self.shard, "state": state, "capacity_hint": 1.0,
               "boot_ms": boot.as_millis() as u64})
    }
}
