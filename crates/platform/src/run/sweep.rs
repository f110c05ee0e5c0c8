//! Connections that have been slow, silent or idle for too long.
//!
//! The owner calls [`Expired::find`] at each sweep, and ends the connections. No timer of the
//! coroutines is used. State: none.

use super::connection::{ClientState, Connection, Role};
use super::connection_table::ConnectionTable;
use super::discovery_conn::DiscoveryPort;
use crate::http::HttpError;
use grebecleat_host::router::ConnId;
use std::time::Duration;

/// Time between two sweeps. A larger value detects everything later, and breaks the sum of
/// `grebecleat_discovery::poll_deadline`; a smaller one costs processing time.
pub(super) const SWEEP_INTERVAL: Duration = Duration::from_millis(50);
/// Time from accepting a client to closing it, if it has sent nothing or only part of its first
/// request. A larger value lets silent clients occupy slots; a smaller one closes slow clients.
const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_millis(2400);
/// Time within which the rest of a later request must come. Larger and smaller values: as above.
const REQUEST_REST_TIMEOUT: Duration = Duration::from_millis(2000);
/// Time after which a connection without an open exchange is closed. A larger value lets idle
/// clients occupy slots. Harm: a client that sends again later dials again.
pub(super) const IDLE_TIMEOUT: Duration = Duration::from_millis(2000);
/// Clients younger than this may be about to send. Their age counts from their connecting, not from
/// their being accepted. A larger value lets silent clients occupy slots; a smaller one closes new
/// clients.
pub(super) const NEW_CLIENT_GRACE: Duration = Duration::from_millis(100);
/// Time within which a node's response that has begun must continue. This guards against responses
/// that announce more bytes than they have, and whose connection stays open: without it, such an
/// attempt delays its request until the deadline. Harm: a complete response over a link that stalls
/// for longer counts as malformed.
const ANSWER_REST_TIMEOUT: Duration = Duration::from_millis(100);
/// Time that a client may take to read its response. A larger value lets slow readers occupy slots;
/// a smaller one cuts off responses.
const ANSWER_READ_TIMEOUT: Duration = Duration::from_millis(5000);

/// The response to a request whose rest does not come.
pub(super) const REQUEST_TIMEOUT: HttpError = HttpError {
    status: 408,
    reason: "the rest did not come",
};

/// When and how a connection that waits for its peer is ended.
enum Expiry {
    Never,
    /// The connection is closed, whatever its peer has sent.
    Close(Duration),
    /// The client has never sent anything.
    Silent(Duration),
    Idle(Duration),
    /// The client gets an error as a response to its incomplete request.
    Incomplete(Duration),
    /// The node's response never becomes complete.
    Malformed(Duration),
}

/// Connections that are to be ended now.
#[derive(Default)]
pub(super) struct Expired {
    /// Connections to close, whatever their peers have sent.
    pub(super) close: Vec<ConnId>,
    /// Clients to close, unless they have sent something.
    pub(super) idle: Vec<ConnId>,
    /// Nodes whose response never becomes complete.
    pub(super) malformed: Vec<ConnId>,
    /// Clients whose request never becomes complete.
    pub(super) incomplete: Vec<ConnId>,
}

/// The phase of a graceful shutdown, as far as it matters for idle clients.
#[derive(Debug, Clone, Copy)]
pub(super) struct ShutdownPhase {
    /// Whether a shutdown was requested.
    pub(super) is_requested: bool,
    /// Whether responses now end their connections.
    pub(super) closes_after_answer: bool,
}

impl Expired {
    /// Returns the connections that are to be ended at `now`.
    pub(super) fn find(
        connections: &ConnectionTable,
        discovery: &DiscoveryPort,
        now: Duration,
        phase: ShutdownPhase,
    ) -> Self {
        let mut expired = Expired::default();
        for (conn, connection) in connections.iter() {
            match expiry(conn, connection, discovery) {
                Expiry::Close(at) if now >= at => expired.close.push(conn),
                Expiry::Silent(at) => {
                    let had_time = now >= connection.opened_at + NEW_CLIENT_GRACE;
                    if now >= at || phase.closes_after_answer && had_time {
                        expired.idle.push(conn);
                    }
                }
                Expiry::Idle(at) => {
                    // A host that shuts down keeps its connections: its clients get no other
                    // connection here.
                    let is_due = now >= at && !phase.is_requested;
                    if phase.closes_after_answer || is_due {
                        expired.idle.push(conn);
                    }
                }
                Expiry::Incomplete(at) if now >= at => expired.incomplete.push(conn),
                Expiry::Malformed(at) if now >= at => expired.malformed.push(conn),
                _ => {}
            }
        }
        expired
    }
}

fn expiry(conn: ConnId, connection: &Connection, discovery: &DiscoveryPort) -> Expiry {
    match &connection.role {
        Role::Node(_) if connection.read_buffer.is_empty() => Expiry::Never,
        Role::Node(_) => Expiry::Malformed(connection.last_read_at + ANSWER_REST_TIMEOUT),
        Role::Client(client) => client_expiry(connection, client),
        Role::Discovery => {
            let outstanding = discovery.outstanding(conn);
            outstanding.map_or(Expiry::Never, |call| Expiry::Close(call.give_up_at()))
        }
    }
}

fn client_expiry(connection: &Connection, client: &ClientState) -> Expiry {
    if client.exchange.is_some() {
        return Expiry::Never;
    }
    if connection.has_unwritten() {
        return Expiry::Close(client.since + ANSWER_READ_TIMEOUT);
    }
    if let Some(discard) = &client.discard {
        return Expiry::Close(discard.until);
    }
    if !client.has_sent {
        return Expiry::Silent(connection.opened_at + FIRST_REQUEST_TIMEOUT);
    }
    if connection.read_buffer.is_empty() {
        return Expiry::Idle(client.since + IDLE_TIMEOUT);
    }
    // Until the first exchange has ended, its time counts from accepting the client.
    if client.since <= connection.opened_at {
        return Expiry::Incomplete(connection.opened_at + FIRST_REQUEST_TIMEOUT);
    }
    Expiry::Incomplete(client.since + REQUEST_REST_TIMEOUT)
}
