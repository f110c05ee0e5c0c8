//! Finds connections that have been slow, silent or idle for too long.
//!
//! The owner calls [`Expired::find`] at each sweep and ends the connections. The coroutines have no
//! timers of their own.

use super::connection::{ClientState, Connection, Role};
use super::connection_table::ConnectionTable;
use super::discovery_port::DiscoveryPort;
use super::socket::{pending_input, PendingInput};
use crate::http::HttpError;
use grebecleat_host::router::ConnId;
use std::time::Duration;

/// Time between two sweeps. A larger value detects every timeout later, and invalidates the sum of
/// times in `grebecleat_discovery::poll_deadline`; a smaller one costs CPU time.
pub(super) const SWEEP_INTERVAL: Duration = Duration::from_millis(50);
/// Time from accepting a client to closing it, if it has sent nothing or only part of its first
/// request. A larger value lets silent clients occupy slots; a smaller one closes slow clients.
const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_millis(2400);
/// Time within which a later request must be complete. A larger value lets slow clients occupy slots;
/// a smaller one rejects their requests.
const LATER_REQUEST_TIMEOUT: Duration = Duration::from_millis(2000);
/// Time after which a client's connection without an open exchange is closed. A larger value lets idle
/// clients occupy slots; a smaller one makes more clients dial again.
pub(super) const IDLE_TIMEOUT: Duration = Duration::from_millis(2000);
/// Age below which a client that has sent nothing is not closed, since it may be about to send. For
/// evictions, the age counts from when the client connected, not from when it was accepted. A larger
/// value lets silent clients occupy slots; a smaller one closes new clients.
pub(super) const NEW_CLIENT_GRACE_PERIOD: Duration = Duration::from_millis(100);
/// Time within which a node must continue a response that it has begun to send. Without this timeout, a
/// response that announces more bytes than it has, on a connection that stays open, would delay its
/// request until the deadline. The cost is that a valid response counts as malformed if the network
/// stalls for longer.
const RESPONSE_STALL_TIMEOUT: Duration = Duration::from_millis(100);
/// Time that a client has to read its response. A larger value lets slow readers occupy slots;
/// a smaller one cuts off responses.
const RESPONSE_READ_TIMEOUT: Duration = Duration::from_millis(5000);

/// Longest time after its timeout for which a request counts as complete in time if bytes of it have arrived
/// and are not processed. With a smaller value, complete requests are rejected while this host is busy;
/// a larger one lets slow clients occupy slots.
const IN_TRANSIT_GRACE_PERIOD: Duration = Duration::from_millis(500);

/// The response to a request that is not completed in time.
pub(super) const REQUEST_TIMEOUT: HttpError = HttpError {
    status: 408,
    reason: "request not completed in time",
};

/// When and how a connection that waits for its peer is ended.
enum Expiry {
    Never,
    /// The connection is closed, whatever its peer has sent.
    Close(Duration),
    /// The client has never sent anything.
    Silent(Duration),
    Idle(Duration),
    /// The client gets an error response to its incomplete request.
    Incomplete(Duration),
    /// The node's response counts as malformed, since it was not completed in time.
    Malformed(Duration),
}

/// Connections that must be ended now.
#[derive(Default)]
pub(super) struct Expired {
    /// Connections to close, whatever their peers have sent.
    pub(super) close: Vec<ConnId>,
    /// Clients to close, unless they have sent something.
    pub(super) idle: Vec<ConnId>,
    /// Connections to nodes whose response was not completed in time.
    pub(super) malformed: Vec<ConnId>,
    /// Clients whose request was not completed in time.
    pub(super) incomplete: Vec<ConnId>,
}

/// The phase of a graceful shutdown, as far as it matters for idle clients.
#[derive(Debug, Clone, Copy)]
pub(super) struct ShutdownPhase {
    /// Whether a shutdown was requested.
    pub(super) is_requested: bool,
    /// Whether responses now end their connections.
    pub(super) closes_after_response: bool,
}

impl Expired {
    /// Returns the connections that must be ended at `now`.
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
                    let had_time = now >= connection.opened_at + NEW_CLIENT_GRACE_PERIOD;
                    if now >= at || phase.closes_after_response && had_time {
                        expired.idle.push(conn);
                    }
                }
                Expiry::Idle(at) => {
                    // During a shutdown, idle clients are kept, since they cannot get another
                    // connection here late in the shutdown.
                    let is_due = now >= at && !phase.is_requested;
                    if phase.closes_after_response || is_due {
                        expired.idle.push(conn);
                    }
                }
                Expiry::Incomplete(at) if now >= at => {
                    let is_late = now >= at + IN_TRANSIT_GRACE_PERIOD;
                    if is_late || !may_be_complete(connection, at) {
                        expired.incomplete.push(conn);
                    }
                }
                Expiry::Malformed(at) if now >= at => expired.malformed.push(conn),
                _ => {}
            }
        }
        expired
    }
}

/// Returns whether bytes may have arrived before `at` that this host has not processed: the request may be
/// complete. Once bytes that were read later are processed, all that arrived before are.
fn may_be_complete(connection: &Connection, at: Duration) -> bool {
    let has_more =
        || connection.gate.is_behind() || pending_input(connection.fd) == PendingInput::Bytes;
    connection.last_read_at < at && has_more()
}

fn expiry(conn: ConnId, connection: &Connection, discovery: &DiscoveryPort) -> Expiry {
    match &connection.role {
        Role::Node(_) if connection.reader.is_empty() => Expiry::Never,
        // The rest of the response may be in the socket.
        Role::Node(_) if connection.gate.is_behind() => Expiry::Never,
        Role::Node(_) => Expiry::Malformed(connection.last_read_at + RESPONSE_STALL_TIMEOUT),
        Role::Client(client) => client_expiry(connection, client),
        Role::Discovery => {
            let outstanding = discovery.outstanding(conn);
            outstanding.map_or(Expiry::Never, |call| Expiry::Close(call.close_at()))
        }
    }
}

fn client_expiry(connection: &Connection, client: &ClientState) -> Expiry {
    if client.exchange.is_some() {
        return Expiry::Never;
    }
    if connection.has_unwritten() {
        return Expiry::Close(client.phase_began_at + RESPONSE_READ_TIMEOUT);
    }
    if let Some(discard) = &client.discard {
        return Expiry::Close(discard.until);
    }
    if !client.has_sent {
        return Expiry::Silent(connection.opened_at + FIRST_REQUEST_TIMEOUT);
    }
    if connection.reader.is_empty() {
        return Expiry::Idle(client.phase_began_at + IDLE_TIMEOUT);
    }
    // The time for the first request counts from when the client was accepted.
    if client.phase_began_at <= connection.opened_at {
        return Expiry::Incomplete(connection.opened_at + FIRST_REQUEST_TIMEOUT);
    }
    Expiry::Incomplete(client.phase_began_at + LATER_REQUEST_TIMEOUT)
}
