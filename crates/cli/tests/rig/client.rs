//! Clients of a fleet's hosts: closed-loop clients, and clients that send malformed requests.

use super::host::Host;
use super::site::{DEADLINE, REQUEST_UNITS};
use super::{answer, lock, ms};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, JoinHandle};
use std::time::{Duration, Instant};

/// Time that a client waits for a response after the deadline.
const RESPONSE_SLACK: Duration = ms(500);

/// Outcome of a request at its client.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClientOutcome {
    /// A response with this status.
    Status(u16),
    /// The connection ended without a response, or none came in time.
    NoResponse,
    /// The host closed an idle connection as the request was sent, and accepted no other.
    Unreachable,
}

impl ClientOutcome {
    /// Returns whether the response says that the request did not run, so that a retry is harmless.
    pub fn is_rejection(self) -> bool {
        matches!(self, ClientOutcome::Status(429 | 503))
    }
}

/// A request as its client saw it.
#[derive(Debug, Clone)]
pub struct ClientRequest {
    pub id: String,
    pub host: usize,
    pub traffic_class: &'static str,
    pub sent_at: Instant,
    pub outcome: ClientOutcome,
    pub ended_at: Instant,
}

/// Returns a request of a traffic class for one key. `left`: milliseconds to its deadline; `shard`:
/// negative for a new object.
pub fn request(
    traffic_class: &str,
    id: &str,
    volume: u64,
    shard: i64,
    key: u64,
    left: u64,
) -> String {
    let is_read = traffic_class == "read";
    let method = if is_read { "GET" } else { "PUT" };
    let length = if is_read { "" } else { "Content-Length: 2\r\n" };
    let body = if is_read { "" } else { "hi" };
    format!(
        "{method} /{traffic_class}/{key:016x}?q=1 HTTP/1.1\r\nHost: backend.local\r\nX-Txn: {id}\r\nX-Qos-Policy: gold\r\n\
         X-Remaining-Ms: {left}\r\nIdempotency-Key: k{id}\r\n{length}\
         X-Placement: volume={volume:016x},units={REQUEST_UNITS},shard={shard},hosts=1\r\n\r\n{body}"
    )
}

/// State that all clients of a fleet share.
#[derive(Default)]
pub struct Load {
    /// Requests that have ended.
    pub requests: Mutex<Vec<ClientRequest>>,
    /// While this is not empty, all clients send requests for these shards alone.
    pub focus: Mutex<Vec<u32>>,
    /// The load has ended.
    pub ended: AtomicBool,
}

/// One client of a host.
pub struct Client {
    pub hosts: Arc<Vec<Host>>,
    /// Index of its host.
    pub host: usize,
    /// Index among the clients of that host.
    pub number: usize,
    pub shards: u32,
    pub load: Arc<Load>,
}

impl Client {
    /// Sends requests one at a time until the load ends, with a pause after each. Reconnects if the
    /// connection was closed.
    pub fn run(&self) {
        let mut idle_connection: Option<TcpStream> = None;
        let mut number = 0u64;
        while !self.load.ended.load(Ordering::SeqCst) {
            number += 1;
            let reused = idle_connection.take();
            let is_reused = reused.is_some();
            let stream = reused.or_else(|| TcpStream::connect(self.address()).ok());
            let Some(stream) = stream else {
                sleep(ms(100)); // no host listens there
                continue;
            };
            let (pause, stream) = self.send(number, stream, is_reused);
            idle_connection = stream;
            sleep(pause);
        }
    }

    fn address(&self) -> SocketAddr {
        self.hosts[self.host].address
    }

    /// Sends one request; returns the pause before the next one, and the connection if it stays
    /// open.
    fn send(
        &self,
        number: u64,
        mut stream: TcpStream,
        is_reused: bool,
    ) -> (Duration, Option<TcpStream>) {
        let id = format!("h{}-{}-{number}", self.host, self.number);
        let traffic_class = ["read", "read", "once", "row"][(number % 4) as usize];
        let shard = self.shard(number);
        let volume = 0x3b4d_0000 + self.host as u64;
        let key = u64::from(shard) * 16 + number % 3;
        // Some requests are for new objects, which any node can store.
        let is_new_object = traffic_class == "once" && number % 8 > 3;
        let place = if is_new_object { -1 } else { i64::from(shard) };
        let deadline = DEADLINE.as_millis() as u64;
        let text = request(traffic_class, &id, volume, place, key, deadline);
        let sent_at = Instant::now();
        let mut response = exchange(&mut stream, &text);
        let mut outcome = ClientOutcome::NoResponse;
        if response.is_none() && is_reused && sent_at.elapsed() < DEADLINE {
            // The host may close an idle connection as the request is sent: one more attempt.
            match TcpStream::connect(self.address()) {
                Ok(connection) => {
                    stream = connection;
                    response = exchange(&mut stream, &text);
                }
                Err(_) => outcome = ClientOutcome::Unreachable,
            }
        }
        if let Some((status, ..)) = &response {
            outcome = ClientOutcome::Status(*status);
        }
        lock(&self.load.requests).push(ClientRequest {
            id,
            host: self.host,
            traffic_class,
            sent_at,
            outcome,
            ended_at: Instant::now(),
        });
        let completed = outcome == ClientOutcome::Status(200);
        let pause = if completed { ms(40) } else { ms(150) };
        let stays_open = response.is_some_and(|(_, head, _)| !head.contains("Connection: close"));
        (pause, stays_open.then_some(stream))
    }

    /// Returns the shard of a request. Every client cycles through all shards, each from a different
    /// first one.
    fn shard(&self, number: u64) -> u32 {
        let focus = lock(&self.load.focus);
        if !focus.is_empty() {
            return focus[(number % focus.len() as u64) as usize];
        }
        let first = self.number as u64 * 5 + self.host as u64 * 3;
        ((number + first) % u64::from(self.shards)) as u32
    }
}

fn exchange(stream: &mut TcpStream, text: &str) -> Option<(u16, String, Vec<u8>)> {
    let timeout = DEADLINE + RESPONSE_SLACK;
    stream.set_read_timeout(Some(timeout)).unwrap();
    stream.write_all(text.as_bytes()).ok()?;
    answer(stream)
}

/// Sends malformed requests one after the other, until `ended` is set.
pub fn malformed_client(host: SocketAddr, ended: Arc<AtomicBool>) -> JoinHandle<()> {
    std::thread::spawn(move || {
        let good = request("once", "h0-bad", 1, 0, 1, 900);
        let malformed = [
            "noise without any sense\r\n\r\n".to_string(),
            good.replace("Content-Length: 2", "Content-Length: -2"),
            good.replace(
                "Content-Length: 2",
                "Content-Length: 2\r\nTransfer-Encoding: chunked",
            ),
            good[..70].to_string(),
        ];
        for text in malformed.iter().cycle() {
            if ended.load(Ordering::SeqCst) {
                return;
            }
            if let Ok(mut stream) = TcpStream::connect(host) {
                let _ = stream.set_read_timeout(Some(ms(300)));
                let _ = stream.write_all(text.as_bytes());
                let _ = stream.read(&mut [0; 64]);
            }
            sleep(ms(20));
        }
    })
}
