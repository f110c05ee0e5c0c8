//! The state of one connection.
//!
//! [`super::connection_table`] owns the connections; the protocols ([`super::client_conn`],
//! [`super::node_conn`]) change the state of one connection. No I/O. Bounds: one message that is
//! being read and one that is being written for each connection.

use super::reader::ReadGate;
use bytes::Bytes;
use grebecleat_host::outbox::Outbox;
use grebecleat_host::router::{ConnId, Input};
use std::os::fd::RawFd;
use std::sync::Arc;
use std::time::Duration;

/// Time after an error for which the client's further bytes are dropped. A smaller value loses the
/// error to a reset; a larger one lets rejected clients occupy slots.
const DISCARD_TIMEOUT: Duration = Duration::from_millis(500);
/// Number of the client's bytes that are dropped after an error. Smaller and larger values: as
/// above.
const MAX_DISCARDED_BYTES: usize = 256 << 10;

/// A request of a client that awaits its final answer.
#[derive(Debug)]
pub(super) struct ClientExchange {
    /// The id that the client sent.
    pub(super) client_id: String,
    /// The id that this host assigned.
    pub(super) request_id: Bytes,
    /// Whether the client lets the connection stay open.
    pub(super) keep_alive: bool,
}

/// The bound on dropping the bytes of a client that has had its last response.
#[derive(Debug)]
pub(super) struct Discard {
    /// When the connection is closed.
    pub(super) until: Duration,
    /// Number of further bytes after which the connection is closed.
    pub(super) bytes_left: usize,
}

impl Discard {
    /// Returns the bound for a client whose last response was composed at `now`.
    pub(super) fn from(now: Duration) -> Self {
        Discard {
            until: now + DISCARD_TIMEOUT,
            bytes_left: MAX_DISCARDED_BYTES,
        }
    }
}

/// State of a client's connection.
#[derive(Debug)]
pub(super) struct ClientState {
    pub(super) exchange: Option<ClientExchange>,
    /// Whether the client has sent anything.
    pub(super) has_sent: bool,
    /// When the current exchange began, or when the connection became idle.
    pub(super) since: Duration,
    /// Present once the client has had its last response.
    pub(super) discard: Option<Discard>,
}

impl ClientState {
    /// Returns the state of a client that was accepted at `now`.
    pub(super) fn new(now: Duration) -> Self {
        ClientState {
            exchange: None,
            has_sent: false,
            since: now,
            discard: None,
        }
    }
}

/// The one exchange that a node's connection carries.
#[derive(Debug)]
pub(super) enum NodeExchange {
    Idle,
    /// Number of the attempt.
    Attempt(u64),
    /// Number of the health check.
    HealthCheck(u64),
}

/// Why the owner closes a connection; for the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum CloseReason {
    /// Its peer has ended or reset it.
    PeerClosed,
    /// The socket takes no more bytes.
    WriteFailed,
    /// The router has closed it: an attempt on it has ended, it was idle, or discovery moved.
    ClosedByRouter,
    /// The awaited bytes have not come in time.
    TimedOut,
    /// It awaited nothing, and was idle for too long or occupied a slot that others need.
    Idle,
    /// Its last response announced the close.
    AnsweredLast,
    /// Its peer has sent bytes that belong to no request.
    UnexpectedBytes,
    /// Its peer's response cannot be read, is no success, or will never be complete.
    BadAnswer,
    /// Its client had left before its request could be sent.
    ClientDeparted,
    /// Its client sends more bytes than may wait.
    TooMuchPipelined,
}

/// The peer at the other end, and the state of the protocol with it.
pub(super) enum Role {
    Client(ClientState),
    Node(NodeExchange),
    Discovery,
}

/// One open connection.
pub(super) struct Connection {
    pub(super) role: Role,
    pub(super) fd: RawFd,
    pub(super) gate: Arc<ReadGate>,
    pub(super) outbox: Arc<Outbox>,
    pub(super) read_buffer: Vec<u8>,
    pub(super) write_buffer: Vec<u8>,
    /// Bytes of the write buffer that the socket has taken.
    pub(super) written: usize,
    pub(super) opened_at: Duration,
    /// When the last bytes came into the read buffer.
    pub(super) last_read_at: Duration,
}

impl Role {
    /// Returns the kind of peer, as the log names it.
    pub(super) fn name(&self) -> &'static str {
        match self {
            Role::Client(_) => "client",
            Role::Node(_) => "node",
            Role::Discovery => "discovery",
        }
    }
}

impl Connection {
    /// Returns whether the socket has yet to take bytes of the write buffer.
    pub(super) fn has_unwritten(&self) -> bool {
        self.written < self.write_buffer.len()
    }
}

/// The peer of a dial.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum DialTarget {
    Node,
    Discovery,
}

impl DialTarget {
    /// Returns the router's input for a dial that has failed.
    pub(super) fn gone(self, conn: ConnId) -> Input {
        match self {
            DialTarget::Node => Input::NodeGone { conn },
            DialTarget::Discovery => Input::DiscoveryGone { conn },
        }
    }

    /// Returns the router's input for a dial that has succeeded.
    pub(super) fn up(self, conn: ConnId, outbox: Arc<Outbox>) -> Input {
        match self {
            DialTarget::Node => Input::NodeUp { conn, outbox },
            DialTarget::Discovery => Input::DiscoveryUp { conn, outbox },
        }
    }
}

/// Removes the first `used` bytes, and frees the memory once nothing is left.
pub(super) fn consume(buffer: &mut Vec<u8>, used: usize) {
    if used >= buffer.len() {
        *buffer = Vec::new();
    } else {
        buffer.drain(..used);
    }
}
