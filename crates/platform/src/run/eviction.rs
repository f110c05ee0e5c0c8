//! Selects clients' connections to close, so that other clients get a slot.
//!
//! The owner requests the candidates and closes them when the listener reports that all slots are in
//! use, and at each sweep while the listener waits for a slot.
//!
//! # How long a client with a request waits for a slot
//!
//! All clients ahead of it in the listener's queue connected earlier. Once it has waited for
//! [`NEW_CLIENT_GRACE_PERIOD`], all of them are older than that, and the owner closes each silent one at the
//! first check after accepting it. From the next sweep on, the queue therefore advances as fast as the
//! host accepts and closes connections, however long it is; a client that dials again goes to its end.
//! If the age counted from accepting the client, each batch of as many clients as there are slots
//! would take that time again.
//!
//! Only a client that has sent something occupies a slot for longer: with an open request until its
//! deadline, and with a response that it does not read or a request that it does not complete until
//! the sweep's timeout. The cost is that a slow client may send its request while its connection is
//! being closed, and must connect again.

use super::connection::{ClientState, Connection, Role};
use super::connection_table::ConnectionTable;
use super::socket::time_since_last_receive;
use super::sweep::{IDLE_TIMEOUT, NEW_CLIENT_GRACE_PERIOD};
use grebecleat_host::router::ConnId;
use std::cmp::Reverse;
use std::time::Duration;

/// One eviction closes one connection, and one more for each this many slots, since each eviction
/// checks all connections. A larger value closes fewer connections at once, so that waiting clients
/// are delayed; a smaller one closes more connections than needed.
const SLOTS_PER_EVICTION: usize = 16;

/// The priority with which a connection is closed: lower classes are closed first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum EvictionClass {
    /// Its last response was an error.
    Rejected,
    /// It has never sent anything.
    Silent,
    /// Idle for longer than the idle timeout.
    LongIdle,
    Idle,
    /// Part of a request was received, so the connection is kept.
    Receiving,
}

/// A connection that may be closed.
pub(super) struct Candidate {
    pub(super) class: EvictionClass,
    pub(super) conn: ConnId,
    idle: Duration,
}

/// Returns the maximum number of connections that one eviction closes.
pub(super) fn max_closings(slots: usize) -> usize {
    1 + slots / SLOTS_PER_EVICTION
}

/// Returns the candidates in the order in which they are closed: by class, and within a class the
/// connection that has been idle the longest first.
pub(super) fn candidates(connections: &ConnectionTable, now: Duration) -> Vec<Candidate> {
    let mut candidates = Vec::new();
    for (conn, connection) in connections.iter() {
        let Role::Client(client) = &connection.role else {
            continue;
        };
        let idle = now.saturating_sub(client.phase_began_at);
        if let Some(class) = eviction_class(connection, client, idle) {
            candidates.push(Candidate { class, conn, idle });
        }
    }
    candidates.sort_unstable_by_key(|candidate| (candidate.class, Reverse(candidate.idle)));
    candidates
}

/// Returns by how much the number of clients that have sent requests and stay connected exceeds `max`.
pub(super) fn excess_idle_clients(connections: &ConnectionTable, max: usize) -> usize {
    let staying = connections.iter().filter(
        |(_, connection)| matches!(&connection.role, Role::Client(client) if is_persistent_client(client)),
    );
    staying.count().saturating_sub(max)
}

/// Returns the idle clients that have sent requests, the one idle the longest first.
///
/// If more clients stay connected than the limit allows, the owner closes them in this order, so that
/// a client that sends frequently is among the last. Otherwise, many clients that send once and stay
/// connected would keep other clients out. The cost is that if very many clients send in turn, each of
/// them must dial again.
pub(super) fn idle_clients(connections: &ConnectionTable) -> Vec<ConnId> {
    let mut idle: Vec<(Duration, ConnId)> = Vec::new();
    for (conn, connection) in connections.iter() {
        let Role::Client(client) = &connection.role else {
            continue;
        };
        let is_idle = is_persistent_client(client)
            && client.exchange.is_none()
            && connection.reader.is_empty()
            && !connection.has_unwritten();
        if is_idle {
            idle.push((client.phase_began_at, conn));
        }
    }
    idle.sort_unstable();
    idle.into_iter().map(|(_, conn)| conn).collect()
}

/// Returns the class of a client's connection, or `None` if it must not be closed.
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
        && (idle > NEW_CLIENT_GRACE_PERIOD
            || time_since_last_receive(connection.fd) > NEW_CLIENT_GRACE_PERIOD);
    if is_silent {
        return Some(EvictionClass::Silent);
    }
    if idle > IDLE_TIMEOUT {
        return Some(EvictionClass::LongIdle);
    }
    if client.has_sent && connection.reader.is_empty() {
        return Some(EvictionClass::Idle);
    }
    Some(EvictionClass::Receiving)
}

/// Returns whether the client has sent something, and has not had its last response.
fn is_persistent_client(client: &ClientState) -> bool {
    client.has_sent && client.discard.is_none()
}
