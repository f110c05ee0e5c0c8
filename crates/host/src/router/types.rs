//! Inputs and outputs of the router, and the types that its modules share.

use crate::log_event::LogEvent;
use crate::outbox::Outbox;
use grebecleat_catalog_service::store::{Record, StoreFault};
use grebecleat_scheduler::api::{NodeId, PeerId, RequestId};
use grebecleat_wire::pb::{self, frame::Body};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// The number of one connection of this process. No number is used twice.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnId(pub u64);

/// An event at the sockets or on the disk.
#[derive(Debug)]
pub enum Input {
    /// A client has connected.
    ClientUp {
        /// Its connection.
        conn: ConnId,
        /// Frames to be written on it.
        outbox: Arc<Outbox>,
    },
    /// Frames of a client.
    ClientFrames {
        /// Its connection.
        conn: ConnId,
        /// When they were read.
        at: Duration,
        /// The frames, in order.
        frames: Vec<pb::Frame>,
    },
    /// The connection of a client or a subscriber has ended.
    ClientGone {
        /// Its connection.
        conn: ConnId,
    },
    /// A dial to a node has succeeded.
    NodeUp {
        /// The dialled connection.
        conn: ConnId,
        /// Frames to be written on it.
        outbox: Arc<Outbox>,
    },
    /// Frames of a node.
    NodeFrames {
        /// Its connection.
        conn: ConnId,
        /// When they were read.
        at: Duration,
        /// The frames, in order.
        frames: Vec<pb::Frame>,
    },
    /// A node's connection has ended, or a dial has failed.
    NodeGone {
        /// The connection.
        conn: ConnId,
    },
    /// The dial to discovery has succeeded.
    DiscoveryUp {
        /// The dialled connection.
        conn: ConnId,
        /// Frames to be written on it.
        outbox: Arc<Outbox>,
    },
    /// Frames of discovery.
    DiscoveryFrames {
        /// Its connection.
        conn: ConnId,
        /// The frames, in order.
        frames: Vec<pb::Frame>,
    },
    /// Discovery's connection has ended, or its dial has failed.
    DiscoveryGone {
        /// The connection.
        conn: ConnId,
    },
    /// Discovery has rejected a call because it has too many callers. The connection ends.
    DiscoveryRefused {
        /// The connection.
        conn: ConnId,
        /// How long the call had waited, beyond the time for which it was to wait for changes.
        waited: Duration,
        /// The call was an open watch, which had reported all changes until now.
        up_to_date: bool,
    },
    /// Discovery has closed a connection with its response, as it may: the next call needs another
    /// connection.
    DiscoveryEnded {
        /// The connection.
        conn: ConnId,
    },
    /// The pending call on a connection to discovery is overdue.
    DiscoveryOverdue {
        /// The connection, which stays open.
        conn: ConnId,
    },
    /// Discovery has another address from now on.
    DiscoveryMoved,
    /// The dial to the state service has succeeded.
    StateServiceUp {
        /// The dialled connection.
        conn: ConnId,
        /// Frames to be written on it.
        outbox: Arc<Outbox>,
    },
    /// Frames of the state service.
    StateServiceFrames {
        /// Its connection.
        conn: ConnId,
        /// The frames, in order.
        frames: Vec<pb::Frame>,
    },
    /// The state service's connection has ended, or its dial has failed.
    StateServiceGone {
        /// The connection.
        conn: ConnId,
    },
    /// The result of an [`Output::Persist`].
    Persisted {
        /// The number of the request.
        number: u64,
        /// The result.
        done: Result<(), StoreFault>,
    },
    /// The endpoint list that this host cached before its restart.
    CachedEndpoints {
        /// The list.
        list: pb::EndpointUpdate,
    },
    /// A message of another host.
    PeerMessage {
        /// Its sender.
        from: PeerId,
        /// How long it was on its way, as far as this host knows.
        waited: Duration,
        /// Its text. Empty: the input that makes the first step of a host happen.
        bytes: Vec<u8>,
    },
    /// The number of extents in each shard, as the portal of this process knows them.
    ExtentsByShard {
        /// Extents by shard.
        shards: BTreeMap<u32, u64>,
    },
    /// An operator's program has subscribed to metrics.
    SubscriberUp {
        /// Its connection.
        conn: ConnId,
        /// Frames to be written on it.
        outbox: Arc<Outbox>,
    },
    /// An operator requests a graceful shutdown: new requests are rejected, open requests are
    /// answered, then the host ends.
    Shutdown,
}

/// An action at the sockets or on the disk.
#[derive(Debug, PartialEq)]
pub enum Output {
    /// Connect to a node.
    Dial {
        /// The new connection.
        conn: ConnId,
        /// The node.
        node: NodeId,
        /// Its address.
        address: SocketAddr,
    },
    /// Connect to discovery.
    DialDiscovery {
        /// The new connection.
        conn: ConnId,
    },
    /// Connect to the state service.
    DialStateService {
        /// The new connection.
        conn: ConnId,
    },
    /// Write records to the store, all of them or none.
    Persist {
        /// The number that [`Input::Persisted`] returns.
        number: u64,
        /// The records.
        records: Vec<Record>,
    },
    /// Send a message to other hosts.
    SendToPeer {
        /// The receiver. None: all peers.
        to: Option<PeerId>,
        /// Its text.
        bytes: Vec<u8>,
    },
    /// Cache the endpoint list for the next start.
    CacheEndpoints {
        /// The file's bytes.
        bytes: Vec<u8>,
    },
    /// Write a change of state to the log.
    Log(LogEvent),
    /// The shutdown is complete: no request is open and every response is written, or its last
    /// moment has come.
    ShutdownComplete,
}

/// Counters since the start of the host.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counters {
    /// Requests handed to the scheduler.
    pub received: u64,
    /// Requests that completed.
    pub completed: u64,
    /// Requests that the scheduler rejected.
    pub rejected: u64,
    /// Requests that failed.
    pub failed: u64,
    /// Requests rejected on arrival; the scheduler does not see them.
    pub refused: u64,
    /// Requests that their client cancelled, or whose client disconnected.
    pub cancelled: u64,
    /// Attempts that the scheduler decided.
    pub attempts: u64,
    /// Attempts that were decided and never written to a socket.
    pub unsent: u64,
    /// Responses to attempts that had ended, were unknown, or are on another connection.
    pub stray_responses: u64,
    /// Pauses of this process.
    pub pauses: u64,
    /// Steps of the router.
    pub steps: u64,
    /// Events handed to the scheduler.
    pub events: u64,
}

impl Counters {
    /// The counts as this host's metrics show them.
    pub(super) fn to_metrics(self) -> pb::HostMetrics {
        pb::HostMetrics {
            taken: self.received + self.refused,
            done: self.completed,
            deferred: self.rejected + self.refused,
            abandoned: self.failed,
            stalls: self.pauses,
            ..pb::HostMetrics::default()
        }
    }
}

/// Open requests and outstanding attempts.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct OpenWork {
    /// Requests without a final response, or with an outstanding attempt.
    pub requests: usize,
    /// Outstanding attempts, including those that wait for a connection.
    pub attempts: usize,
    /// Bytes of request bodies.
    pub bytes: usize,
}

/// How a connection to a node is used, and who states the terms on which a volume is served.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum WireMode {
    /// The host's own protocol: many attempts share a connection, and terms come from the settings
    /// or the state service.
    #[default]
    Multiplexed,
    /// The platform's protocol: a connection carries one exchange at a time, and clients state the
    /// terms of the volume with each request. The connection of an abandoned attempt is closed: a
    /// late response must not be read as that of the next attempt, and closing the connection is the
    /// only way to cancel an attempt.
    Exclusive,
}

impl WireMode {
    /// Returns whether a connection carries one exchange at a time, and is closed when its attempt is
    /// abandoned.
    pub fn is_exclusive(self) -> bool {
        self == WireMode::Exclusive
    }

    /// Returns whether clients state the terms on which their volumes are served.
    pub fn terms_from_requests(self) -> bool {
        self == WireMode::Exclusive
    }
}

/// Returns the text of a request's id for the log, without the leading zeros that pad it.
pub fn request_label(id: &[u8]) -> &str {
    let text = std::str::from_utf8(id).unwrap_or("unreadable");
    text.trim_start_matches('0')
}

/// Returns a frame whose time is set when it is written.
pub(super) fn frame(body: Body) -> pb::Frame {
    pb::Frame {
        sent_us: 0,
        body: Some(body),
    }
}

/// Returns the id of a request. None: the bytes do not have the length of an id.
pub(super) fn request_id(id: &[u8]) -> Option<RequestId> {
    id.try_into().map(RequestId).ok()
}
