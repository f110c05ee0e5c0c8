//! Clients, nodes and discovery that send their messages in very many pieces: the other clients are served
//! as without them.

mod rig;

use rig::answer;
use rig::live::*;
use serde_json::{json, Value};
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread::{sleep, JoinHandle};
use std::time::{Duration, Instant};

const SOCKETS: u64 = 512;
/// Number of clients that write a body chunk by chunk.
const SLOW_CLIENTS: usize = 80;
/// Number of chunks of one byte that a slow client sends at once.
const FIRST_CHUNKS: usize = 6_000;
/// Number of chunks of one byte that it sends afterwards, one in [`PACE`].
const PACED_CHUNKS: usize = 700;
const PACE: Duration = Duration::from_millis(1);
const CHUNK: &[u8] = b"1\r\nb\r\n";
const LAST_CHUNK: &[u8] = b"0\r\n\r\n";
/// Time within which the host awaits a request, less a margin for the accept.
const REQUEST_TIME: Duration = Duration::from_millis(2200);
const USUAL_REQUESTS: u64 = 40;
const USUAL_PACE: Duration = Duration::from_millis(25);
const USUAL_DEADLINE_MS: u64 = 1200;

/// A client that writes the body of its request chunk by chunk.
struct SlowClient {
    stream: TcpStream,
    began_at: Instant,
    sent: usize,
    /// Bytes that the socket has not accepted.
    unsent: Vec<u8>,
    completed_at: Option<Instant>,
}

impl SlowClient {
    fn connect(host: SocketAddr, number: usize) -> Self {
        let began_at = Instant::now();
        let mut stream = TcpStream::connect(host).unwrap();
        stream.set_nodelay(true).unwrap();
        let head = format!(
            "PUT /once/{number:016x} HTTP/1.1\r\nX-Txn: slow-{number}\r\nX-Qos-Policy: gold\r\n\
             X-Remaining-Ms: 2900\r\nTransfer-Encoding: chunked\r\n\
             X-Placement: volume=0000000000000000,units=2,shard=0,hosts=1\r\n\r\n"
        );
        stream.write_all(head.as_bytes()).unwrap();
        stream.write_all(&CHUNK.repeat(FIRST_CHUNKS)).unwrap();
        stream.set_nonblocking(true).unwrap();
        SlowClient {
            stream,
            began_at,
            sent: 0,
            unsent: Vec::new(),
            completed_at: None,
        }
    }

    /// Writes the chunks that are due, each in a write of its own. Returns whether all are sent.
    fn write_due(&mut self) -> bool {
        let due = self.began_at.elapsed().as_nanos() / PACE.as_nanos();
        while self.sent < PACED_CHUNKS.min(due as usize) && self.write_unsent() {
            self.sent += 1;
            self.unsent.extend_from_slice(CHUNK);
            if self.sent == PACED_CHUNKS {
                self.unsent.extend_from_slice(LAST_CHUNK);
            }
        }
        let is_complete = self.write_unsent() && self.sent == PACED_CHUNKS;
        if is_complete {
            self.completed_at.get_or_insert_with(Instant::now);
        }
        is_complete
    }

    fn write_unsent(&mut self) -> bool {
        if self.unsent.is_empty() {
            return true;
        }
        match self.stream.write(&self.unsent) {
            Ok(written) => _ = self.unsent.drain(..written),
            Err(error) if error.kind() == ErrorKind::WouldBlock => {}
            // The host has closed the connection.
            Err(_) => {
                self.sent = PACED_CHUNKS;
                self.unsent.clear();
            }
        }
        self.unsent.is_empty()
    }

    /// Returns the status of the response, if the request was complete in time.
    fn status_if_in_time(mut self) -> Option<Option<u16>> {
        let completed_at = self.completed_at?;
        if completed_at >= self.began_at + REQUEST_TIME {
            return None;
        }
        self.stream.set_nonblocking(false).unwrap();
        self.stream
            .set_read_timeout(Some(Duration::from_secs(8)))
            .unwrap();
        Some(answer(&mut self.stream).map(|(status, ..)| status))
    }
}

/// Sends requests chunk by chunk on many connections, and returns the statuses of those that were complete
/// in time.
fn spawn_slow_clients(host: SocketAddr) -> JoinHandle<Vec<Option<u16>>> {
    std::thread::spawn(move || {
        let clients = 0..SLOW_CLIENTS;
        let mut clients: Vec<_> = clients.map(|n| SlowClient::connect(host, n)).collect();
        loop {
            let complete = clients.iter_mut().filter_map(|client| {
                let is_complete = client.write_due();
                is_complete.then_some(())
            });
            if complete.count() == SLOW_CLIENTS {
                break;
            }
            sleep(PACE / 4);
        }
        let clients = clients.into_iter();
        clients.filter_map(SlowClient::status_if_in_time).collect()
    })
}

/// Sends requests at a steady rate, each on a connection of its own, and returns the number of completed
/// ones.
fn completed_usual_requests(host: &HostProcess) -> usize {
    std::thread::scope(|scope| {
        let requests = (0..USUAL_REQUESTS).map(|key| {
            sleep(USUAL_PACE);
            let text = request("read", &format!("usual-{key}"), 0, key, USUAL_DEADLINE_MS);
            scope.spawn(move || host.status_of(&text))
        });
        let requests: Vec<_> = requests.collect();
        let statuses = requests.into_iter().map(|usual| usual.join().unwrap());
        statuses.filter(|status| *status == Some(200)).count()
    })
}

/// Guards against the cost of a body that grows with the square of its chunks: requests of other clients
/// had no answer in time.
#[test]
fn clients_that_write_chunk_by_chunk_delay_no_other_client() {
    let node = node(|_| respond_with(OK_RESPONSE));
    let list = start_discovery(json!([target("s-1", &node, 0, "ready")]));
    let host = HostProcess::start(&list, SOCKETS);
    let slow = spawn_slow_clients(host.address);
    assert_eq!(completed_usual_requests(&host), USUAL_REQUESTS as usize);
    let statuses = slow.join().unwrap();
    assert!(
        statuses.iter().all(|status| *status == Some(200)),
        "{statuses:?}"
    );
}

/// Serves requests with a response in chunks of one byte, of which the last never comes.
fn spawn_node_with_endless_responses() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            std::thread::spawn(move || send_endless_response(stream));
        }
    });
    address
}

fn send_endless_response(mut stream: TcpStream) {
    stream.set_nodelay(true).unwrap();
    let _ = stream.read(&mut [0; 4096]);
    let head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    let mut is_open = stream.write_all(head).is_ok();
    is_open &= stream.write_all(&CHUNK.repeat(FIRST_CHUNKS)).is_ok();
    while is_open {
        sleep(PACE);
        is_open = stream.write_all(CHUNK).is_ok();
    }
}

/// Guards against the same cost in the responses of nodes: a node that sends without end delayed the
/// responses of the others.
#[test]
fn nodes_that_respond_chunk_by_chunk_delay_no_other_request() {
    let usual = node(|_| respond_with(OK_RESPONSE));
    let endless = spawn_node_with_endless_responses();
    let list = start_discovery(json!([
        target("s-1", &usual, 0, "ready"),
        target_at("s-2", endless, 1, "ready"),
    ]));
    let host = HostProcess::start(&list, SOCKETS);
    let stalled: Vec<_> = (0..SLOW_CLIENTS as u64)
        .map(|key| {
            let mut client = host.connect();
            let text = request("once", &format!("stalled-{key}"), 1, key, 2900);
            client.write_all(text.as_bytes()).unwrap();
            client
        })
        .collect();
    assert_eq!(completed_usual_requests(&host), USUAL_REQUESTS as usize);
    drop(stalled);
}

/// Returns an endpoint list of so many nodes, of which the first is the given one.
fn long_list(first: &Node, nodes: usize) -> Value {
    let gone = |number| {
        let address = SocketAddr::from(([127, 0, 0, 1], 1));
        target_at(&format!("gone-{number}"), address, 9, "gone")
    };
    let mut targets = vec![target("s-1", first, 0, "ready")];
    targets.extend((1..nodes).map(gone));
    json!({"rev": 1, "all": true, "targets": targets})
}

/// Serves the endpoint list in chunks of a few bytes, each in a write of its own.
fn spawn_discovery_in_pieces(list: String) -> SocketAddr {
    const PIECE_BYTES: usize = 2;
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            stream.set_nodelay(true).unwrap();
            let _ = stream.read(&mut [0; 4096]);
            let head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
            let mut is_open = stream.write_all(head).is_ok();
            for piece in list.as_bytes().chunks(PIECE_BYTES) {
                let text = String::from_utf8_lossy(piece);
                is_open = is_open && write!(stream, "{:x}\r\n{text}\r\n", piece.len()).is_ok();
            }
            let _ = stream.write_all(LAST_CHUNK);
        }
    });
    address
}

/// Guards against the same cost in the responses of discovery: a long list in small chunks was not read
/// within the time of a call.
#[test]
fn an_endpoint_list_that_comes_chunk_by_chunk_is_read_in_time() {
    let node = node(|_| respond_with(OK_RESPONSE));
    let discovery = spawn_discovery_in_pieces(long_list(&node, 250).to_string());
    let mut host = HostProcess::spawn(discovery, SOCKETS, settings());
    host.wait_until_ready();
    assert_eq!(completed_usual_requests(&host), USUAL_REQUESTS as usize);
}
