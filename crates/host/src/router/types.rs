//! What goes in and out of the router, and the records that it keeps of requests, attempts and
//! connections.

use crate::log_event::LogEvent;
use crate::outbox::Outbox;
use grebecleat_catalog_service::store::{Record, StoreFault};
use grebecleat_scheduler::api::{NodeId, PeerId, RequestId};
use grebecleat_wire::pb::{self, frame::Body};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Identifies one connection of this process; never used twice.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnId(pub u64);

/// What has happened at the sockets and on the disk.
#[derive(Debug)]
pub enum Input {
    /// A client has connected.
    ClientUp {
        /// Its connection.
        conn: ConnId,
        /// What is to be written to it.
        outbox: Arc<Outbox>,
    },
    /// Frames of a client.
    ClientFrames {
        /// Its connection.
        conn: ConnId,
        /// When they were read.
        at: Duration,
        /// In order.
        frames: Vec<pb::Frame>,
    },
    /// A client's connection has ended.
    ClientGone {
        /// Its connection.
        conn: ConnId,
    },
    /// A dial to a node has succeeded.
    NodeUp {
        /// The dialled connection.
        conn: ConnId,
        /// What is to be written to it.
        outbox: Arc<Outbox>,
    },
    /// Frames of a node.
    NodeFrames {
        /// Its connection.
        conn: ConnId,
        /// When they were read.
        at: Duration,
        /// In order.
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
        /// What is to be written to it.
        outbox: Arc<Outbox>,
    },
    /// Frames of discovery.
    DiscoveryFrames {
        /// Its connection.
        conn: ConnId,
        /// In order.
        frames: Vec<pb::Frame>,
    },
    /// Discovery's connection has ended, or its dial has failed.
    DiscoveryGone {
        /// The connection.
        conn: ConnId,
    },
    /// Discovery has answered a call that it has too many callers. The connection ends with that.
    DiscoveryRefused {
        /// The connection.
        conn: ConnId,
        /// How long the call had waited by then, beyond what it was to wait for changes.
        waited: Duration,
        /// It was a watch that had been open, and told all that there was until now.
        up_to_date: bool,
    },
    /// Discovery has ended a connection with its answer, as it may: the next call needs another.
    DiscoveryEnded {
        /// The connection.
        conn: ConnId,
    },
    /// The call that is out on a connection to discovery has taken longer than it should.
    DiscoveryOverdue {
        /// The connection, which stays open.
        conn: ConnId,
    },
    /// Discovery answers at another address from now on.
    DiscoveryMoved,
    /// The dial to the state service has succeeded.
    StateServiceUp {
        /// The dialled connection.
        conn: ConnId,
        /// What is to be written to it.
        outbox: Arc<Outbox>,
    },
    /// Frames of the state service.
    StateServiceFrames {
        /// Its connection.
        conn: ConnId,
        /// In order.
        frames: Vec<pb::Frame>,
    },
    /// The state service's connection has ended, or its dial has failed.
    StateServiceGone {
        /// The connection.
        conn: ConnId,
    },
    /// What [`Output::Persist`] asked for is on the disk, or why not.
    Persisted {
        /// The number of the request.
        number: u64,
        /// The result.
        done: Result<(), StoreFault>,
    },
    /// The endpoint list that this host stored before its restart.
    CachedEndpoints {
        /// The list.
        list: pb::EndpointUpdate,
    },
    /// A message of another host.
    PeerMessage {
        /// Its sender.
        from: PeerId,
        /// How long it was on its way, as far as that is known.
        waited: Duration,
        /// Its text; empty: this host's own first message to itself.
        bytes: Vec<u8>,
    },
    /// How many extents the portal of this process knows to lie in each shard.
    ExtentsByShard {
        /// Extents by shard.
        shards: BTreeMap<u32, u64>,
    },
    /// An operator's program has subscribed to metrics.
    SubscriberUp {
        /// Its connection.
        conn: ConnId,
        /// What is to be written to it.
        outbox: Arc<Outbox>,
    },
    /// Shut down gracefully: take no more, answer what is open, then end.
    Shutdown,
}

/// What the sockets and the disk are to do.
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
    /// Write records to the store, all or none.
    Persist {
        /// Comes back with [`Input::Persisted`].
        number: u64,
        /// The records.
        records: Vec<Record>,
    },
    /// Send a message to other hosts.
    SendToPeer {
        /// To whom; None: to all.
        to: Option<PeerId>,
        /// Its text.
        bytes: Vec<u8>,
    },
    /// Store the endpoint list for the next start.
    CacheEndpoints {
        /// The file's bytes.
        bytes: Vec<u8>,
    },
    /// Write a change of state to the log.
    Log(LogEvent),
    /// The shutdown is complete: nothing is open and every answer is written.
    ShutdownComplete,
}

/// Counts since the start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counters {
    /// Requests handed to the decisions.
    pub received: u64,
    /// Requests answered as done.
    pub completed: u64,
    /// Requests that the decisions rejected.
    pub rejected: u64,
    /// Requests that failed.
    pub failed: u64,
    /// Requests turned away on arrival, before the decisions heard of them.
    pub refused: u64,
    /// Requests whose client has left.
    pub cancelled: u64,
    /// Attempts decided.
    pub attempts: u64,
    /// Attempts that were decided and never crossed a socket.
    pub unsent: u64,
    /// Answers to attempts that were over, unknown, or another connection's.
    pub stray_responses: u64,
    /// Times in which this process stood still.
    pub pauses: u64,
    /// Steps of the router.
    pub steps: u64,
    /// Events handed to the decisions.
    pub events: u64,
}

/// What is open now.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct OpenWork {
    /// Requests without a final answer, or with an attempt out.
    pub requests: usize,
    /// Attempts out or waiting for a connection.
    pub attempts: usize,
    /// Bytes of request bodies.
    pub bytes: usize,
}

/// How a connection to a node is used, and who says on what terms a volume is served.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum WireMode {
    /// The host's own protocol: many attempts share a connection, and terms come from the settings
    /// or the state service.
    #[default]
    Multiplexed,
    /// The platform's: a connection carries one exchange at a time, and clients say with each
    /// request on what terms its volume is served. An attempt that is given up takes its connection
    /// with it: what its node may yet answer must not be read as the next attempt's, and a closed
    /// connection is the only way to call one off.
    Exclusive,
}

impl WireMode {
    /// A connection carries one exchange at a time, and ends with one that is given up.
    pub fn is_exclusive(self) -> bool {
        self == WireMode::Exclusive
    }

    /// Clients say on what terms their volumes are served.
    pub fn terms_from_requests(self) -> bool {
        self == WireMode::Exclusive
    }
}

/// The connection to discovery.
#[derive(Debug, Default)]
pub(super) struct DiscoveryLink {
    /// None: neither up nor being dialled.
    pub conn: Option<ConnId>,
    /// None: not up.
    pub outbox: Option<Arc<Outbox>>,
    /// To be sent once it is up.
    pub pending: Vec<Body>,
    /// A watch is open on it.
    pub watching: bool,
    /// When a call, or the dial, is overdue.
    pub answer_by: Option<Duration>,
    /// Discovery has answered on it.
    pub answered: bool,
    /// Its first call goes on with a watch: how long that may take, whoever carries it knows.
    pub continues_watch: bool,
}

/// A connection to discovery on which nothing new is asked, and which is heard until the one that
/// has taken its place is answered: what it tells counts as told, and the new one may be long in
/// coming.
#[derive(Debug)]
pub(super) struct HeardDiscoveryLink {
    pub conn: ConnId,
    pub outbox: Arc<Outbox>,
    /// Discovery has moved since. Otherwise its call is overdue, and it takes its place again once
    /// it is answered.
    pub has_moved: bool,
}

/// What has become of the calls to discovery; for the log.
#[derive(Debug, Default)]
pub(super) struct DiscoveryHistory {
    /// When it last answered; None: not since the start.
    pub answered_at: Option<Duration>,
    /// Calls that failed since then.
    pub failures: u32,
}

/// The text of a request's id in the log: without the zeros that only fill it up.
pub fn request_label(id: &[u8]) -> &str {
    let text = std::str::from_utf8(id).unwrap_or("unreadable");
    text.trim_start_matches('0')
}

/// A frame whose time is set when it is written.
pub(super) fn frame(body: Body) -> pb::Frame {
    pb::Frame {
        sent_us: 0,
        body: Some(body),
    }
}

/// The id of a request, where its bytes are as many as an id has.
pub(super) fn request_id(id: &[u8]) -> Option<RequestId> {
    id.try_into().map(RequestId).ok()
}
