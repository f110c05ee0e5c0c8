//! The router's inputs and outputs, and types that its modules share.

use crate::log_event::LogEvent;
use crate::outbox::Outbox;
use grebecleat_catalog_service::store::{Record, StoreFault};
use grebecleat_scheduler::api::{NodeId, PeerId, RequestId};
use grebecleat_wire::pb::{self, frame::Body};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Identifies one connection of this process. No identifier is used twice.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnId(pub u64);

/// An event at the sockets, on the disk or in this process that the router handles.
#[derive(Debug)]
pub enum Input {
    /// A client has connected.
    ClientUp {
        /// Its connection.
        conn: ConnId,
        /// Frames to be written on it.
        outbox: Arc<Outbox>,
    },
    /// Frames of a client have been read.
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
    /// Frames of a node have been read.
    NodeFrames {
        /// Its connection.
        conn: ConnId,
        /// When they were read.
        at: Duration,
        /// The frames, in order.
        frames: Vec<pb::Frame>,
    },
    /// A connection to a node has ended, or a dial has failed.
    NodeGone {
        /// The connection.
        conn: ConnId,
    },
    /// A dial to the discovery service has succeeded.
    DiscoveryUp {
        /// The dialled connection.
        conn: ConnId,
        /// Frames to be written on it.
        outbox: Arc<Outbox>,
    },
    /// Frames of the discovery service have been read.
    DiscoveryFrames {
        /// Its connection.
        conn: ConnId,
        /// The frames, in order.
        frames: Vec<pb::Frame>,
    },
    /// A connection to the discovery service has ended, or a dial has failed.
    DiscoveryGone {
        /// The connection.
        conn: ConnId,
    },
    /// The discovery service has rejected a call because it has too many callers. It closes the
    /// connection.
    DiscoveryRefused {
        /// The connection.
        conn: ConnId,
        /// How long the call had waited, beyond the time for which it asked to wait for changes.
        waited: Duration,
        /// Whether the call was an open watch, which had reported all changes until now.
        up_to_date: bool,
    },
    /// The discovery service has closed a connection after its response, which is not a failure. The
    /// next call needs another connection.
    DiscoveryClosedAfterResponse {
        /// The connection.
        conn: ConnId,
    },
    /// The pending call on a connection to the discovery service is overdue.
    DiscoveryOverdue {
        /// The connection, which stays open.
        conn: ConnId,
    },
    /// The address of the discovery service has changed.
    DiscoveryMoved,
    /// A dial to the state service has succeeded.
    StateServiceUp {
        /// The dialled connection.
        conn: ConnId,
        /// Frames to be written on it.
        outbox: Arc<Outbox>,
    },
    /// Frames of the state service have been read.
    StateServiceFrames {
        /// Its connection.
        conn: ConnId,
        /// The frames, in order.
        frames: Vec<pb::Frame>,
    },
    /// The connection to the state service has ended, or a dial has failed.
    StateServiceGone {
        /// The connection.
        conn: ConnId,
    },
    /// An [`Output::Persist`] has been performed or has failed.
    Persisted {
        /// The number of that [`Output::Persist`].
        number: u64,
        /// The result.
        done: Result<(), StoreFault>,
    },
    /// The endpoint list that this host cached before its restart has been read.
    CachedEndpoints {
        /// The list.
        list: pb::EndpointUpdate,
    },
    /// A message from another host has arrived.
    PeerMessage {
        /// Its sender.
        from: PeerId,
        /// The transit time of the message, as far as this host knows it.
        waited: Duration,
        /// The encoded message. It is empty in the input that triggers the first step of a host.
        bytes: Vec<u8>,
    },
    /// The iSCSI portal of this process reports the number of extents in each shard.
    ExtentsByShard {
        /// The number of extents by shard.
        shards: BTreeMap<u32, u64>,
    },
    /// An operator's tool has subscribed to metrics.
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

/// An action that the router's caller performs at the sockets, on the disk or in the log.
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
    /// Connect to the discovery service.
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
    /// Send a message to one or all other hosts.
    SendToPeer {
        /// The receiver; `None` for all peers.
        to: Option<PeerId>,
        /// The encoded message.
        bytes: Vec<u8>,
    },
    /// Write the endpoint list to its cache file, for the next start.
    CacheEndpoints {
        /// The contents of the file.
        bytes: Vec<u8>,
    },
    /// Write an event to the log.
    Log(LogEvent),
    /// The shutdown is complete, either because every request is answered and every response is
    /// written, or because the deadline of the shutdown has passed.
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
    /// Requests that the scheduler failed.
    pub failed: u64,
    /// Requests rejected on arrival, without being handed to the scheduler.
    pub refused: u64,
    /// Requests that their client cancelled, or whose client disconnected.
    pub cancelled: u64,
    /// Attempts that the scheduler requested.
    pub attempts: u64,
    /// Requested attempts that were never written to a socket.
    pub unsent: u64,
    /// Responses to attempts that had ended, that are unknown, or that are on another connection.
    pub stray_responses: u64,
    /// Detected pauses of this process.
    pub pauses: u64,
    /// Steps of the router.
    pub steps: u64,
    /// Events handed to the scheduler.
    pub events: u64,
}

impl Counters {
    /// Returns a metrics message with these counters, and with all other fields at their defaults.
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

/// The numbers of open requests and outstanding attempts.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct OpenWork {
    /// Requests without a final response, or with an outstanding attempt.
    pub requests: usize,
    /// Outstanding attempts, including those that wait for a connection.
    pub attempts: usize,
    /// Bytes of the bodies of the open requests.
    pub bytes: usize,
}

/// How a connection to a node is used, and where the service terms of a volume (its plan and its
/// number of hosts) come from.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum WireMode {
    /// The host's own protocol: many attempts share a connection, and the service terms come from
    /// the settings or the state service.
    #[default]
    Multiplexed,
    /// The platform's protocol: a connection carries one exchange at a time, and each request may
    /// contain the service terms of its volume. The connection of an abandoned attempt is closed: a
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

    /// Returns whether a request may contain the service terms of its volume.
    pub fn terms_from_requests(self) -> bool {
        self == WireMode::Exclusive
    }
}

/// Returns a request's id as text for the log, without the leading zeros that pad it.
pub fn request_label(id: &[u8]) -> &str {
    let text = std::str::from_utf8(id).unwrap_or("unreadable");
    text.trim_start_matches('0')
}

/// Returns a frame without its time of sending, which is set when the frame is written.
pub(super) fn frame(body: Body) -> pb::Frame {
    pb::Frame {
        sent_us: 0,
        body: Some(body),
    }
}

/// Returns the id of a request, or `None` if the bytes do not have the length of an id.
pub(super) fn request_id(id: &[u8]) -> Option<RequestId> {
    id.try_into().map(RequestId).ok()
}
