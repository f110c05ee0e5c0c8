//! Clients' connections that are closed so that other clients find a slot.
//!
//! The owner asks for the candidates when the listener reports that it has no slot, and at each
//! sweep, and closes them. State: none.
//!
//! How long a client with a request waits for a slot. The clients before it in the listener's queue
//! came before it. Once it has waited for [`NEW_CLIENT_GRACE`], all of them are older than that, and
//! the owner closes each of them that is silent at the check that follows its being accepted: from
//! the next sweep on, the queue moves as fast as the host accepts and closes, however many clients
//! are in it, and a client that dials again is queued last. If the age counted from being accepted,
//! each round of as many clients as there are slots would cost that time again. Only a client that
//! has sent something occupies a slot for longer: by an open request until its deadline, by a
//! response that it does not read within the sweep's timeout, or by half a request within the
//! sweep's timeout. Harm: the request of a slow client may cross the close, and the client connects
//! again.

use super::connection::{ClientState, Connection, Role};
use super::connection_table::ConnectionTable;
use super::socket::silent_for;
use super::sweep::{IDLE_TIMEOUT, NEW_CLIENT_GRACE};
use grebecleat_host::router::ConnId;
use std::cmp::Reverse;
use std::time::Duration;

/// One eviction closes this fraction of the slots at most, since each closing costs a check of all
/// connections. A larger value closes more at once; a smaller one delays the others.
const SLOTS_PER_EVICTION: usize = 16;

/// How readily a connection is closed; lower classes go first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum EvictionClass {
    /// Its last response was an error.
    Rejected,
    /// It has never sent anything.
    Silent,
    /// Idle for longer than the idle timeout.
    LongIdle,
    Idle,
    /// Part of a request has come: it stays.
    Receiving,
}

/// A connection that may be closed.
pub(super) struct Candidate {
    pub(super) class: EvictionClass,
    pub(super) conn: ConnId,
    idle: Duration,
}

/// Returns how many connections one eviction may close. A few at a time suffice.
pub(super) fn max_closings(slots: usize) -> usize {
    1 + slots / SLOTS_PER_EVICTION
}

/// Returns the candidates: the most readily closed class first, and within a class the connection
/// that has been idle the longest.
pub(super) fn candidates(connections: &ConnectionTable, now: Duration) -> Vec<Candidate> {
    let mut candidates = Vec::new();
    for (conn, connection) in connections.iter() {
        let Role::Client(client) = &connection.role else {
            continue;
        };
        let idle = now.saturating_sub(client.since);
        if let Some(class) = eviction_class(connection, client, idle) {
            candidates.push(Candidate { class, conn, idle });
        }
    }
    candidates.sort_unstable_by_key(|candidate| (candidate.class, Reverse(candidate.idle)));
    candidates
}

/// Returns by how much the clients that have sent requests and keep connections exceed `max`.
pub(super) fn excess_idle_clients(connections: &ConnectionTable, max: usize) -> usize {
    let staying = connections.iter().filter(
        |(_, connection)| matches!(&connection.role, Role::Client(client) if may_stay(client)),
    );
    staying.count().saturating_sub(max)
}

/// Returns the idle clients that have sent requests, the one idle the longest first.
///
/// If more clients keep connections than may, the owner closes these in this order: a client that
/// sends again and again is among the last. This guards against many clients that send once and
/// stay, and keep others out. Harm: if very many clients take turns, each of them dials again.
pub(super) fn idle_clients(connections: &ConnectionTable) -> Vec<ConnId> {
    let mut idle: Vec<(Duration, ConnId)> = Vec::new();
    for (conn, connection) in connections.iter() {
        let Role::Client(client) = &connection.role else {
            continue;
        };
        let is_idle = may_stay(client)
            && client.exchange.is_none()
            && connection.read_buffer.is_empty()
            && !connection.has_unwritten();
        if is_idle {
            idle.push((client.since, conn));
        }
    }
    idle.sort_unstable();
    idle.into_iter().map(|(_, conn)| conn).collect()
}

/// Returns how readily the connection is closed; None: it stays.
fn eviction_class(
    connection: &Connection,
    client: &ClientState,
    idle: Duration,
) -> Option<EvictionClass> {
    if client.exchange.is_some() {
        return None;
    }
    // Closing the connection now would lose the rest of its response.
    if connection.has_unwritten() {
        return None;
    }
    if client.discard.is_some() {
        return Some(EvictionClass::Rejected);
    }
    let is_silent = !client.has_sent
        && (idle > NEW_CLIENT_GRACE || silent_for(connection.fd) > NEW_CLIENT_GRACE);
    if is_silent {
        return Some(EvictionClass::Silent);
    }
    if idle > IDLE_TIMEOUT {
        return Some(EvictionClass::LongIdle);
    }
    if client.has_sent && connection.read_buffer.is_empty() {
        return Some(EvictionClass::Idle);
    }
    Some(EvictionClass::Receiving)
}

/// Returns whether the client has sent something, and may send more.
fn may_stay(client: &ClientState) -> bool {
    client.has_sent && client.discard.is_none()
}
