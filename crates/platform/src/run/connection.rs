//! The state of one connection.
//!
//! [`super::connection_table`] owns the connections; the protocols ([`super::client_conn`],
//! [`super::node_conn`]) change the state of one connection. This module performs no I/O. A connection
//! buffers one message that is being read and one that is being written.

use super::reader::ReadGate;
use super::write_queue::WriteQueue;
use crate::http::{MessageReader, MAX_ENDPOINT_LIST};
use bytes::Bytes;
use grebecleat_host::memory_budget::{HeldBytes, PeerKind};
use grebecleat_host::outbox::Outbox;
use grebecleat_host::router::{ConnId, Input};
use std::os::fd::RawFd;
use std::sync::Arc;
use std::time::Duration;

/// Time after the last response for which further bytes of the client are read and dropped. With a
/// smaller value, a reset may destroy the response; a larger one lets rejected clients occupy slots.
const DISCARD_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum number of bytes of a client that are read and dropped after the last response. With a
/// smaller value, a reset may destroy the response; a larger one lets rejected clients send more.
const MAX_DISCARDED_BYTES: usize = 256 << 10;

/// A request of a client that awaits its final response.
#[derive(Debug)]
pub(super) struct ClientExchange {
    /// The id that the client sent.
    pub(super) client_id: String,
    /// The id that this host assigned.
    pub(super) request_id: Bytes,
    /// Whether the client keeps the connection open for another request.
    pub(super) keep_alive: bool,
    /// Number of bytes that the request holds.
    pub(super) bytes: usize,
}

/// The limits on dropping the bytes of a client after its last response.
#[derive(Debug)]
pub(super) struct Discard {
    /// When the connection is closed.
    pub(super) until: Duration,
    /// Number of further bytes to drop before the connection is closed.
    pub(super) bytes_left: usize,
}

impl Discard {
    /// Returns the limits for a client whose last response was composed at `now`.
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
    /// When the client began to send the current request, or when the connection became idle.
    pub(super) phase_began_at: Duration,
    /// Set once the last response to the client was composed.
    pub(super) discard: Option<Discard>,
    /// Number of requests behind the one of the open exchange that were dropped to free memory. They are
    /// rejected after its response.
    pub(super) dropped_requests: usize,
}

impl ClientState {
    /// Returns the state of a client that was accepted at `now`.
    pub(super) fn new(now: Duration) -> Self {
        ClientState {
            exchange: None,
            has_sent: false,
            phase_began_at: now,
            discard: None,
            dropped_requests: 0,
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

/// Why the owner closes a connection. The variants' names appear in the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum CloseReason {
    /// The peer has closed or reset it.
    PeerClosed,
    /// Writing to the socket failed.
    WriteFailed,
    /// The router has closed it: an attempt on it has ended, it was idle, or discovery moved.
    ClosedByRouter,
    /// The awaited bytes were not received in time.
    TimedOut,
    /// It was idle for too long, or it was idle and occupied a slot that others need.
    Idle,
    /// The last response on it was sent or received.
    AnsweredLast,
    /// The peer has sent bytes that are no response to a request, or ended the connection.
    UnexpectedBytes,
    /// The peer's response is malformed, is not a success, or will never be complete.
    BadAnswer,
    /// The client had closed the connection before its request could be sent.
    ClientDeparted,
    /// The client has sent too many bytes after the request of its open exchange.
    TooMuchPipelined,
    /// The client does not read its response, and other peers need the memory.
    UnreadResponse,
    /// The endpoint lists that are being read take too much memory.
    ListTooLarge,
}

/// The kind of peer, and the state of the protocol with it.
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
    pub(super) reader: MessageReader,
    pub(super) write_queue: WriteQueue,
    pub(super) opened_at: Duration,
    /// When the bytes that were last added to the message reader were read.
    pub(super) last_read_at: Duration,
}

impl Role {
    /// Returns the reader of the messages that the peer sends.
    pub(super) fn message_reader(&self) -> MessageReader {
        match self {
            Role::Client(_) => MessageReader::for_requests(),
            Role::Node(_) => MessageReader::for_responses(),
            Role::Discovery => MessageReader::for_responses_up_to(MAX_ENDPOINT_LIST),
        }
    }

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
    /// Returns whether the socket has not accepted all bytes of the write queue yet.
    pub(super) fn has_unwritten(&self) -> bool {
        !self.write_queue.is_empty()
    }

    /// Returns the bytes that the connection holds, by kind.
    pub(super) fn held_bytes(&self) -> HeldBytes {
        let read = self.reader.capacity();
        let unwritten = self.write_queue.len() + self.outbox.bytes();
        match &self.role {
            Role::Client(client) => match &client.exchange {
                Some(exchange) => HeldBytes {
                    pipelined: read,
                    open_request: exchange.bytes,
                    unread_response: unwritten,
                    ..HeldBytes::default()
                },
                None => HeldBytes {
                    incomplete_request: read,
                    unread_response: unwritten,
                    ..HeldBytes::default()
                },
            },
            Role::Node(_) => HeldBytes {
                node_message: read + self.write_queue.owned_bytes(),
                ..HeldBytes::default()
            },
            Role::Discovery => HeldBytes {
                endpoint_list: read,
                ..HeldBytes::default()
            },
        }
    }
}

/// The peer of a dial.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum DialTarget {
    Node,
    Discovery,
}

impl DialTarget {
    /// Returns the kind of peer, as the memory budget distinguishes it.
    pub(super) fn peer_kind(self) -> PeerKind {
        match self {
            DialTarget::Node => PeerKind::Node,
            DialTarget::Discovery => PeerKind::Discovery,
        }
    }

    /// Returns the router's input for a dial that has failed.
    pub(super) fn failure_input(self, conn: ConnId) -> Input {
        match self {
            DialTarget::Node => Input::NodeGone { conn },
            DialTarget::Discovery => Input::DiscoveryGone { conn },
        }
    }

    /// Returns the router's input for a dial that has succeeded.
    pub(super) fn success_input(self, conn: ConnId, outbox: Arc<Outbox>) -> Input {
        match self {
            DialTarget::Node => Input::NodeUp { conn, outbox },
            DialTarget::Discovery => Input::DiscoveryUp { conn, outbox },
        }
    }
}
