//! Closes the connections of idle clients, so that other clients get their slots.

use super::Owner;
use crate::run::connection::CloseReason;
use crate::run::eviction::{self, EvictionClass};
use grebecleat_host::router::ConnId;
use grebecleat_wire::clock;

impl Owner {
    /// Closes an idle client's connection, unless the client has sent something that is not processed
    /// yet: closing it would lose the request, and the next sweep finds the connection again. Returns
    /// whether it was closed.
    pub(super) fn close_if_quiet(&mut self, conn: ConnId) -> bool {
        let closed = self
            .connections
            .get(conn)
            .is_some_and(|connection| connection.gate.close_unless_input(connection.fd));
        if closed {
            self.connection_lost(conn, CloseReason::Idle);
        }
        closed
    }

    /// Closes clients' connections to free slots, see [`eviction`].
    pub(super) fn free_client_slots(&mut self) {
        let candidates = eviction::candidates(&self.connections, clock::now());
        // During a shutdown, the host keeps connected clients that have sent requests, up to the usual
        // limit: late in the shutdown, they cannot get another connection here. It closes those above
        // the limit; otherwise new clients would get no slot.
        let mut excess = if self.shutdown.is_requested() {
            let max_idle_clients = self.config.descriptors.idle_clients;
            eviction::excess_idle_clients(&self.connections, max_idle_clients)
        } else {
            usize::MAX
        };
        // A connection that stays open because of unprocessed bytes does not count; otherwise the
        // listener would have to wait for the next sweep.
        let mut closings_left = eviction::max_closings(self.listener.limit());
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

    /// Closes idle clients if more of them stay connected than the limit allows, see
    /// [`eviction::idle_clients`].
    pub(super) fn limit_idle_clients(&mut self) {
        let max_idle_clients = self.config.descriptors.idle_clients;
        let excess = eviction::excess_idle_clients(&self.connections, max_idle_clients);
        if excess == 0 || self.shutdown.is_requested() {
            return;
        }
        let idle = eviction::idle_clients(&self.connections);
        for conn in idle.into_iter().take(excess) {
            self.close_if_quiet(conn);
        }
    }
}
