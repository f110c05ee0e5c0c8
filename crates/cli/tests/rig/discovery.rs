//! A discovery service that serves the endpoint list, and watches that wait for a change. It serves one
//! call at a time.

use super::http::{next_exchange, query_number, target};
use super::{lock, ms};
use serde_json::{json, Value};
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::{Duration, Instant};

/// A call that would wait longer than this for its turn is refused.
const MAX_QUEUEING_TIME: Duration = ms(1000);
const REFUSED: &[u8] = b"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n";

#[derive(Debug)]
struct EndpointList {
    revision: u64,
    endpoints: Vec<Value>,
}

/// A call that the service received.
struct Call {
    at: Instant,
    /// Whether it requests the complete list, instead of the changes since a revision.
    complete: bool,
}

/// Numbers of calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallCounts {
    /// All calls.
    pub all: usize,
    /// Calls for the complete list.
    pub complete: usize,
}

/// A discovery service. Clones are handles of one service.
#[derive(Clone)]
pub struct DiscoveryService {
    pub address: SocketAddr,
    list: Arc<Mutex<EndpointList>>,
    /// Held by the call that is being served.
    turn: Arc<Mutex<()>>,
    queued: Arc<AtomicU64>,
    /// Time that one call takes.
    call_cost: Arc<Mutex<Duration>>,
    calls: Arc<Mutex<Vec<Call>>>,
}

impl DiscoveryService {
    /// Starts a service with these endpoints, as revision 1.
    pub fn start(endpoints: Vec<Value>) -> DiscoveryService {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let service = DiscoveryService {
            address: listener.local_addr().unwrap(),
            list: Arc::new(Mutex::new(EndpointList {
                revision: 1,
                endpoints,
            })),
            turn: Arc::default(),
            queued: Arc::default(),
            call_cost: Arc::new(Mutex::new(Duration::ZERO)),
            calls: Arc::default(),
        };
        let server = service.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = server.clone();
                std::thread::spawn(move || server.serve(stream));
            }
        });
        service
    }

    fn serve(&self, mut stream: TcpStream) {
        let mut buffered = Vec::new();
        while let Some(text) = next_exchange(&mut stream, &mut buffered) {
            let target = target(&text);
            let since = query_number(target, "since=");
            lock(&self.calls).push(Call {
                at: Instant::now(),
                complete: since.is_none(),
            });
            if !self.take_turn() {
                let _ = stream.write_all(REFUSED);
                continue;
            }
            let wait = ms(query_number(target, "timeout_ms=").unwrap_or(0));
            self.wait_for_change(since, wait);
            let body = self.response(since);
            let _ = write!(
                stream,
                "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
        }
    }

    /// Waits for the call's turn; returns false if the call is refused.
    fn take_turn(&self) -> bool {
        let cost = *lock(&self.call_cost);
        let ahead = self.queued.fetch_add(1, Ordering::SeqCst);
        let refused = cost * (ahead as u32) > MAX_QUEUEING_TIME;
        if refused {
            self.queued.fetch_sub(1, Ordering::SeqCst);
            sleep(MAX_QUEUEING_TIME / 20);
            return false;
        }
        {
            let _turn = lock(&self.turn);
            sleep(cost);
        }
        self.queued.fetch_sub(1, Ordering::SeqCst);
        true
    }

    fn wait_for_change(&self, since: Option<u64>, wait: Duration) {
        let until = Instant::now() + wait;
        let unchanged = |since| lock(&self.list).revision <= since;
        while since.is_some_and(unchanged) && Instant::now() < until {
            sleep(ms(10));
        }
    }

    fn response(&self, since: Option<u64>) -> String {
        let list = lock(&self.list);
        let changed = since.is_none_or(|since| list.revision > since);
        let endpoints: &[Value] = if changed { &list.endpoints } else { &[] };
        json!({"rev": list.revision, "all": changed, "targets": endpoints}).to_string()
    }

    /// Publishes another list, as the next revision.
    pub fn publish(&self, endpoints: Vec<Value>) {
        let mut list = lock(&self.list);
        list.revision += 1;
        list.endpoints = endpoints;
    }

    /// Sets the time that each call takes.
    pub fn set_call_cost(&self, cost: Duration) {
        *lock(&self.call_cost) = cost;
    }

    /// Counts the calls since a time.
    pub fn calls_since(&self, since: Instant) -> CallCounts {
        let calls = lock(&self.calls);
        let recent = calls.iter().filter(|call| call.at >= since);
        CallCounts {
            all: recent.clone().count(),
            complete: recent.filter(|call| call.complete).count(),
        }
    }
}
