//! The bound on the memory that peers can make this process hold.
//!
//! Every byte that a peer sends, and every byte that waits for a peer to read it, counts in one
//! [`MemoryBudget`], whichever connection it belongs to. The budget has three parts:
//!
//! * Bytes that were received and not yet processed (read ahead). A reader reserves them before it
//!   reads, so they never exceed their part; the rest stays in the operating system's buffers.
//! * Responses of nodes that are being read. A node's reader waits while they exceed their part. The
//!   node that has waited the longest may exceed it until its response is complete, so that nodes which
//!   stop in the middle of a response cannot block each other.
//! * Everything else that connections hold. If it exceeds its part, [`MemoryBudget::eviction`] names
//!   the client to turn away: first the one whose incomplete request has gone without a byte for the
//!   longest, then one with pipelined requests, then one that does not read its response. A request
//!   that was accepted is never evicted; admission bounds those requests by
//!   [`MemoryBudget::open_request_limit`].
//!
//! The budget does no I/O and reads no clock. Its owner reports what each connection holds, performs
//! the evictions, and wakes the readers that [`MemoryBudget::take_grants`] returns.

use crate::router::ConnId;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// The limit divided by this is for bytes that were read and not processed.
const READ_AHEAD_DIVISOR: usize = 8;
/// The limit divided by this is for responses that are being read from nodes.
const NODE_RESPONSES_DIVISOR: usize = 4;
/// Eighths of the limit that accepted requests may take.
const OPEN_REQUEST_EIGHTHS: usize = 3;
/// Bytes of bookkeeping for each read that is not processed yet: the event, its place in the queue and
/// the allocator's minimum. Without it, a flood of one-byte reads would hold many times its size.
const READ_OVERHEAD_BYTES: usize = 160;
/// Bytes that a client must hold to be turned away. With a smaller value, usual clients whose requests
/// arrive in two parts are turned away for memory that others hold.
const MIN_EVICTED_BYTES: usize = 4 << 10;
/// Time without progress after which a client counts as not reading its response. A larger value lets
/// such clients hold memory for longer; a smaller one closes clients that read slowly.
const UNREAD_RESPONSE_GRACE: Duration = Duration::from_millis(500);

/// The kind of peer for which a reader reads.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PeerKind {
    /// A client.
    Client,
    /// A node.
    Node,
    /// The discovery service, whose reads never wait.
    Discovery,
}

/// The bytes that one connection holds.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct HeldBytes {
    /// A request that is not complete.
    pub incomplete_request: usize,
    /// Bytes behind the request of the open exchange.
    pub pipelined: usize,
    /// An accepted request.
    pub open_request: usize,
    /// A response that the client has not read.
    pub unread_response: usize,
    /// A response that is being read from a node, and the head of the attempt that is written to it.
    pub node_message: usize,
    /// A response that is being read from the discovery service.
    pub endpoint_list: usize,
}

impl HeldBytes {
    /// Returns the sum over all kinds.
    pub fn total(&self) -> usize {
        self.incomplete_request
            + self.pipelined
            + self.open_request
            + self.unread_response
            + self.node_message
            + self.endpoint_list
    }

    fn add(&mut self, other: &HeldBytes) {
        self.incomplete_request += other.incomplete_request;
        self.pipelined += other.pipelined;
        self.open_request += other.open_request;
        self.unread_response += other.unread_response;
        self.node_message += other.node_message;
        self.endpoint_list += other.endpoint_list;
    }

    fn subtract(&mut self, other: &HeldBytes) {
        self.incomplete_request -= other.incomplete_request;
        self.pipelined -= other.pipelined;
        self.open_request -= other.open_request;
        self.unread_response -= other.unread_response;
        self.node_message -= other.node_message;
        self.endpoint_list -= other.endpoint_list;
    }
}

/// How a client is turned away to free memory. The variants are in the order in which they are used.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Eviction {
    /// Its incomplete request is rejected.
    RejectIncomplete(ConnId),
    /// The requests behind its open exchange are rejected; the open one gets its response first.
    RejectPipelined(ConnId),
    /// It does not read its response and is disconnected.
    CloseUnread(ConnId),
}

/// Counts of clients that were turned away to free memory, since the start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct EvictionCounts {
    /// Incomplete requests that were rejected.
    pub incomplete: u64,
    /// Clients whose pipelined requests were rejected.
    pub pipelined: u64,
    /// Clients that were disconnected because they did not read their response.
    pub unread: u64,
}

impl EvictionCounts {
    /// Returns the sum over all kinds.
    pub fn total(&self) -> u64 {
        self.incomplete + self.pipelined + self.unread
    }

    /// Returns the counts since `earlier`.
    pub fn since(&self, earlier: &EvictionCounts) -> EvictionCounts {
        EvictionCounts {
            incomplete: self.incomplete - earlier.incomplete,
            pipelined: self.pipelined - earlier.pipelined,
            unread: self.unread - earlier.unread,
        }
    }
}

#[derive(Debug, Default)]
struct ConnectionRecord {
    held: HeldBytes,
    /// When the peer last sent or accepted a byte.
    progressed_at: Duration,
}

/// A read whose bytes are reserved.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReadGrant {
    /// The connection whose reader may go on.
    pub conn: ConnId,
    /// The number of bytes that are reserved.
    pub bytes: usize,
}

/// A reader that waits until it may read.
#[derive(Debug)]
struct WaitingReader {
    conn: ConnId,
    peer: PeerKind,
    bytes: usize,
}

/// The bytes that peers make this process hold, and the bound on them. Memory: one record for each
/// connection that holds bytes, and one entry for each reader that waits.
#[derive(Debug)]
pub struct MemoryBudget {
    limit: usize,
    read_ahead: usize,
    held: HeldBytes,
    connections: BTreeMap<ConnId, ConnectionRecord>,
    waiting: VecDeque<WaitingReader>,
    /// The node that may exceed the nodes' part until its response is complete.
    privileged_node: Option<ConnId>,
    peak: usize,
    evicted: EvictionCounts,
}

impl MemoryBudget {
    /// Returns an empty budget of `limit` bytes.
    pub fn new(limit: usize) -> Self {
        MemoryBudget {
            limit,
            read_ahead: 0,
            held: HeldBytes::default(),
            connections: BTreeMap::new(),
            waiting: VecDeque::new(),
            privileged_node: None,
            peak: 0,
            evicted: EvictionCounts::default(),
        }
    }

    /// Returns the limit in bytes.
    pub fn limit(&self) -> usize {
        self.limit
    }

    /// Returns the bytes that accepted requests may take within a budget of `limit` bytes.
    pub fn open_request_limit(limit: usize) -> usize {
        limit / 8 * OPEN_REQUEST_EIGHTHS
    }

    /// Returns the bytes that were read, or reserved for a read, and not processed.
    pub fn read_ahead(&self) -> usize {
        self.read_ahead
    }

    /// Returns the bytes that all connections hold, by kind.
    pub fn held(&self) -> HeldBytes {
        self.held
    }

    /// Returns the highest number of bytes that counted at one time.
    pub fn peak(&self) -> usize {
        self.peak
    }

    /// Returns the number of clients that were turned away.
    pub fn evicted(&self) -> EvictionCounts {
        self.evicted
    }

    /// Reserves bytes for a read. If it returns `false`, the reader must wait until
    /// [`MemoryBudget::take_grants`] returns its connection; the bytes are then reserved.
    pub fn request_read(&mut self, conn: ConnId, peer: PeerKind, bytes: usize) -> bool {
        let reader = WaitingReader { conn, peer, bytes };
        let is_granted = self.reserve(&reader);
        if !is_granted {
            self.waiting.push_back(reader);
        }
        is_granted
    }

    /// Reserves more bytes for a read that has begun, if they are available at once.
    pub fn extend_read(&mut self, bytes: usize) -> bool {
        let fits = self.fits(bytes);
        if fits {
            self.add_read_ahead(bytes);
        }
        fits
    }

    /// Records that a read has taken `received` of the bytes that were reserved for it. Returns the
    /// number of bytes that count until they are processed.
    pub fn finish_read(&mut self, conn: ConnId, reserved: usize, received: usize) -> usize {
        if received == 0 && !self.connections.contains_key(&conn) {
            // A node without a response must not keep the others waiting.
            self.end_privilege(conn);
        }
        let charged = if received == 0 {
            0
        } else {
            received + READ_OVERHEAD_BYTES
        };
        self.read_ahead -= reserved;
        self.add_read_ahead(charged);
        charged
    }

    /// Records that bytes which a read has charged are processed.
    pub fn processed(&mut self, charged: usize) {
        self.read_ahead -= charged;
    }

    /// Records what a connection holds now. `received` is set if its peer has sent bytes.
    pub fn set(&mut self, conn: ConnId, held: HeldBytes, now: Duration, received: bool) {
        if held.total() == 0 {
            return self.forget(conn);
        }
        let record = self.connections.entry(conn).or_default();
        // A peer that begins to hold bytes has just made progress.
        let is_new = record.held.total() == 0;
        let has_read = held.unread_response != record.held.unread_response;
        if received || has_read || is_new {
            record.progressed_at = now;
        }
        self.held.subtract(&record.held);
        self.held.add(&held);
        record.held = held;
        if held.node_message == 0 {
            self.end_privilege(conn);
        }
        self.note_peak();
    }

    /// Records that a connection is closed.
    pub fn remove(&mut self, conn: ConnId) {
        self.forget(conn);
        self.waiting.retain(|reader| reader.conn != conn);
    }

    fn forget(&mut self, conn: ConnId) {
        if let Some(record) = self.connections.remove(&conn) {
            self.held.subtract(&record.held);
        }
        self.end_privilege(conn);
    }

    fn end_privilege(&mut self, conn: ConnId) {
        if self.privileged_node == Some(conn) {
            self.privileged_node = None;
        }
    }

    /// Returns the next client to turn away, or `None` if the connections hold no more than their part
    /// or no client may be turned away. The caller reports what the connection holds afterwards.
    pub fn eviction(&self, now: Duration) -> Option<Eviction> {
        if self.held.total() <= self.limit - self.read_ahead_limit() {
            return None;
        }
        let candidates = self.connections.iter().filter_map(|(conn, record)| {
            let eviction = record.eviction(*conn, now)?;
            Some((eviction.rank(), record.progressed_at, *conn, eviction))
        });
        let (.., eviction) = candidates.min()?;
        Some(eviction)
    }

    /// Records that the owner has performed an eviction.
    pub fn count_eviction(&mut self, eviction: Eviction) {
        match eviction {
            Eviction::RejectIncomplete(_) => self.evicted.incomplete += 1,
            Eviction::RejectPipelined(_) => self.evicted.pipelined += 1,
            Eviction::CloseUnread(_) => self.evicted.unread += 1,
        }
    }

    /// Returns the reads of waiting readers that may go on; their bytes are reserved. Nodes come first,
    /// since their responses complete accepted requests.
    pub fn take_grants(&mut self) -> Vec<ReadGrant> {
        let mut granted = Vec::new();
        if self.waiting.is_empty() {
            return granted;
        }
        for peer in [PeerKind::Node, PeerKind::Client] {
            for reader in std::mem::take(&mut self.waiting) {
                if reader.peer == peer && self.reserve(&reader) {
                    granted.push(ReadGrant {
                        conn: reader.conn,
                        bytes: reader.bytes,
                    });
                } else {
                    self.waiting.push_back(reader);
                }
            }
        }
        granted
    }

    /// Returns whether any reader waits.
    pub fn has_waiting(&self) -> bool {
        !self.waiting.is_empty()
    }

    fn read_ahead_limit(&self) -> usize {
        self.limit / READ_AHEAD_DIVISOR
    }

    fn reserve(&mut self, reader: &WaitingReader) -> bool {
        let is_granted = match reader.peer {
            PeerKind::Discovery => true,
            PeerKind::Client => self.fits(reader.bytes),
            PeerKind::Node => {
                let node_limit = self.limit / NODE_RESPONSES_DIVISOR;
                let fits =
                    self.fits(reader.bytes) && self.held.node_message + reader.bytes <= node_limit;
                fits || *self.privileged_node.get_or_insert(reader.conn) == reader.conn
            }
        };
        if is_granted {
            self.add_read_ahead(reader.bytes);
        }
        is_granted
    }

    fn fits(&self, bytes: usize) -> bool {
        let read_ahead = self.read_ahead + bytes;
        read_ahead <= self.read_ahead_limit() && self.held.total() + read_ahead <= self.limit
    }

    fn add_read_ahead(&mut self, bytes: usize) {
        self.read_ahead += bytes;
        self.note_peak();
    }

    fn note_peak(&mut self) {
        self.peak = self.peak.max(self.held.total() + self.read_ahead);
    }
}

impl ConnectionRecord {
    /// Returns how the connection's peer may be turned away.
    fn eviction(&self, conn: ConnId, now: Duration) -> Option<Eviction> {
        let held = &self.held;
        if held.incomplete_request >= MIN_EVICTED_BYTES {
            return Some(Eviction::RejectIncomplete(conn));
        }
        if held.pipelined >= MIN_EVICTED_BYTES {
            return Some(Eviction::RejectPipelined(conn));
        }
        let is_stalled = now >= self.progressed_at + UNREAD_RESPONSE_GRACE;
        let may_close = held.unread_response >= MIN_EVICTED_BYTES && held.open_request == 0;
        (may_close && is_stalled).then_some(Eviction::CloseUnread(conn))
    }
}

impl Eviction {
    fn rank(self) -> u8 {
        match self {
            Eviction::RejectIncomplete(_) => 0,
            Eviction::RejectPipelined(_) => 1,
            Eviction::CloseUnread(_) => 2,
        }
    }
}

#[cfg(test)]
mod tests;
