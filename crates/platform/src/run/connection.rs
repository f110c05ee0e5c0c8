//! What the owner knows of one connection, and the dials that are to become one. No I/O.
//!
//! Used by every module of the owner. Bounds: one message read and one being written for each
//! connection.

use super::reader::ReadGate;
use bytes::Bytes;
use grebecleat_host::outbox::Outbox;
use grebecleat_host::router::{ConnId, Input};
use socket2::Socket;
use std::net::SocketAddr;
use std::os::fd::RawFd;
use std::sync::Arc;
use std::time::Duration;

/// After an error, what its client still sends is dropped for this long, or the error would be lost
/// to a reset.
const DISCARD_TIMEOUT: Duration = Duration::from_millis(500);
/// After an error, so many bytes of its client are dropped.
const MAX_DISCARDED_BYTES: usize = 256 << 10;

/// A request of a client that awaits its final answer.
#[derive(Debug)]
pub(super) struct ClientExchange {
    /// The id that the client gave it.
    pub(super) client_id: String,
    /// The id that this host gave it.
    pub(super) request_id: Bytes,
    /// Whether the client lets the connection stay open.
    pub(super) keep_alive: bool,
}

/// What is dropped of a client that has had its last answer.
#[derive(Debug)]
pub(super) struct Discard {
    /// The connection is closed then.
    pub(super) until: Duration,
    /// The connection is closed after so many more bytes.
    pub(super) bytes_left: usize,
}

impl Discard {
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
    /// When the exchange that has begun began, or when the connection fell idle.
    pub(super) since: Duration,
    /// Present once it has had its last answer.
    pub(super) discard: Option<Discard>,
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
    /// The router has given it up: an attempt on it is over, it was idle, or it moved.
    ClosedByRouter,
    /// What it waited for has not come in time.
    TimedOut,
    /// It waited for nothing, and idled for too long or stood in the way of others.
    Idle,
    /// Its last answer said that it would be closed.
    AnsweredLast,
    /// Its peer sent what answers or belongs to nothing.
    UnexpectedBytes,
    /// Its peer's answer cannot be read, is no success, or will never be complete.
    BadAnswer,
    /// Its client was gone before its request could be sent.
    ClientDeparted,
    /// Its client sends more than may wait.
    TooMuchPipelined,
}

/// Which kind of peer is at the other end.
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
    /// When the last bytes of the read buffer came.
    pub(super) last_read_at: Duration,
}

impl Role {
    /// The kind of peer; for the log.
    pub(super) fn name(&self) -> &'static str {
        match self {
            Role::Client(_) => "client",
            Role::Node(_) => "node",
            Role::Discovery => "discovery",
        }
    }
}

impl Connection {
    /// Whether the socket has yet to take something that was composed.
    pub(super) fn has_unwritten(&self) -> bool {
        self.written < self.write_buffer.len()
    }
}

/// What a dial is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum DialTarget {
    Node,
    Discovery,
}

impl DialTarget {
    /// The router's input for a dial that has failed.
    pub(super) fn gone(self, conn: ConnId) -> Input {
        match self {
            DialTarget::Node => Input::NodeGone { conn },
            DialTarget::Discovery => Input::DiscoveryGone { conn },
        }
    }

    /// The router's input for a dial that has succeeded.
    pub(super) fn up(self, conn: ConnId, outbox: Arc<Outbox>) -> Input {
        match self {
            DialTarget::Node => Input::NodeUp { conn, outbox },
            DialTarget::Discovery => Input::DiscoveryUp { conn, outbox },
        }
    }
}

/// A dial whose outcome is not known yet.
pub(super) struct PendingDial {
    pub(super) conn: ConnId,
    pub(super) socket: Socket,
    /// It has failed then.
    pub(super) deadline: Duration,
    pub(super) target: DialTarget,
}

/// A dial to a node that waits for a descriptor.
pub(super) struct QueuedDial {
    pub(super) conn: ConnId,
    pub(super) address: SocketAddr,
    /// It has failed then.
    pub(super) deadline: Duration,
}

/// Removes the first `used` bytes, and frees the memory once nothing is left.
pub(super) fn consume(buffer: &mut Vec<u8>, used: usize) {
    if used >= buffer.len() {
        *buffer = Vec::new();
    } else {
        buffer.drain(..used);
    }
}
