//! Which clients' connections are closed so that other clients find a slot.
//!
//! Called when the listener reports that it has no slot, and at each sweep.

use super::sweep::{IDLE_TIMEOUT, NEW_CLIENT_GRACE};
use super::Owner;
use crate::run::connection::{ClientState, CloseReason, Connection, Role};
use crate::run::socket::silent_for;
use grebecleat_host::router::ConnId;
use grebecleat_wire::clock;
use std::cmp::Reverse;
use std::time::Duration;

/// One look for room closes a fraction of the slots: each closing costs a look at all connections.
const SLOTS_PER_EVICTION: usize = 16;

/// How readily a connection is closed; those that come first go first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum EvictionClass {
    /// An error was its last answer.
    Rejected,
    /// It has never sent anything.
    Silent,
    /// Idle for longer than the idle timeout.
    LongIdle,
    Idle,
    /// Part of an exchange has come: it stays.
    Receiving,
}

struct Candidate {
    class: EvictionClass,
    idle: Duration,
    conn: ConnId,
}

/// None: the connection stays.
fn eviction_class(connection: &Connection, idle: Duration) -> Option<EvictionClass> {
    let Role::Client(client) = &connection.role else {
        return None;
    };
    if client.exchange.is_some() {
        return None;
    }
    // Closed now, the rest of its answer would be lost.
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

/// Whether it has sent something, and may send more.
fn may_stay(client: &ClientState) -> bool {
    client.has_sent && client.discard.is_none()
}

impl Owner {
    /// Where clients have all the slots that they may: the silent go first, then those that have
    /// been idle for long.
    ///
    /// How long a client with a request waits for a slot: those before it in the listener's queue
    /// came before it. Once it has waited for [`NEW_CLIENT_GRACE`], all of them are older than
    /// that, and each that is silent is closed at the look that follows its being accepted: from
    /// the next sweep on the queue moves as fast as we accept and close, however many are in it,
    /// and whoever dials again is queued last. Reckoned from their being accepted, each round of as
    /// many as there are slots would cost that span anew. For longer a slot is taken only by a
    /// client that has sent something: by an open request until its deadline, an answer that is not
    /// read within the sweep's timeout, half an exchange likewise. Harm: what a slow client sends
    /// may cross the close, and it comes again.
    pub(super) fn make_room(&mut self) {
        let candidates = self.eviction_candidates();
        // A host that shuts down keeps as many of those that have sent requests as it may ever
        // keep: late in its shutdown they get no other connection here. But no more, or clients
        // that come now get none.
        let mut excess = if self.draining_since.is_some() {
            self.excess_idle_clients()
        } else {
            usize::MAX
        };
        // A few at a time. A connection that turns out to have sent something is none of them, or
        // one that is yet to be processed would leave the listener waiting for the next sweep.
        let mut closings_left = 1 + self.slots.limit / SLOTS_PER_EVICTION;
        for candidate in candidates {
            let conn = candidate.conn;
            let closed = match candidate.class {
                EvictionClass::Rejected => {
                    self.connection_lost(conn, CloseReason::AnsweredLast);
                    true
                }
                EvictionClass::Silent => self.close_if_quiet(conn),
                EvictionClass::LongIdle | EvictionClass::Idle if excess > 0 => {
                    let closed = self.close_if_quiet(conn);
                    excess -= usize::from(closed);
                    closed
                }
                _ => false,
            };
            closings_left -= usize::from(closed);
            if closings_left == 0 {
                return;
            }
        }
    }

    /// The most readily closed first, within a class the one idle the longest.
    fn eviction_candidates(&self) -> Vec<Candidate> {
        let now = clock::now();
        let mut candidates = Vec::new();
        for (conn, connection) in &self.connections {
            let Role::Client(client) = &connection.role else {
                continue;
            };
            let idle = now.saturating_sub(client.since);
            let Some(class) = eviction_class(connection, idle) else {
                continue;
            };
            candidates.push(Candidate {
                class,
                idle,
                conn: *conn,
            });
        }
        candidates.sort_unstable_by_key(|candidate| (candidate.class, Reverse(candidate.idle)));
        candidates
    }

    /// How many more clients that have sent requests keep connections than may.
    fn excess_idle_clients(&self) -> usize {
        let staying = self.connections.values().filter(
            |connection| matches!(&connection.role, Role::Client(client) if may_stay(client)),
        );
        staying
            .count()
            .saturating_sub(self.config.descriptors.idle_clients)
    }

    /// Where more clients keep connections than may, those go that have been idle the longest: a
    /// client that sends again and again is among the last. Guards against many that send once and
    /// stay, and keep others out. Harm: with very many clients in turn each dials anew.
    pub(super) fn limit_idle_clients(&mut self) {
        let mut idle: Vec<(Duration, ConnId)> = Vec::new();
        for (conn, connection) in &self.connections {
            let Role::Client(client) = &connection.role else {
                continue;
            };
            let is_idle = may_stay(client)
                && client.exchange.is_none()
                && connection.read_buffer.is_empty()
                && !connection.has_unwritten();
            if is_idle {
                idle.push((client.since, *conn));
            }
        }
        let excess = self.excess_idle_clients();
        if excess == 0 || self.draining_since.is_some() {
            return;
        }
        idle.sort_unstable();
        for (_, conn) in idle.into_iter().take(excess) {
            self.close_if_quiet(conn);
        }
    }
}
