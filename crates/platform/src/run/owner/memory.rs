//! Enforces the memory budget: reports what the connections hold, turns clients away when they hold too
//! much, and lets waiting readers go on when memory is free.

use super::Owner;
use crate::run::allocator::{self, HeapBytes};
use crate::run::client_conn;
use crate::run::connection::{CloseReason, Role};
use grebecleat_host::memory_budget::{Eviction, EvictionCounts};
use grebecleat_host::router::ConnId;
use grebecleat_wire::clock;
use std::time::Duration;
use tracing::{debug, warn};

impl Owner {
    /// Reports what a connection holds. `received` is set if its peer has sent bytes.
    pub(super) fn account_for(&mut self, conn: ConnId, received: bool) {
        let Some(connection) = self.connections.get(conn) else {
            return;
        };
        let held = connection.held_bytes();
        self.budget.lock().set(conn, held, clock::now(), received);
    }

    /// Turns clients away while the connections hold too much.
    pub(super) fn relieve_memory(&mut self) {
        let now = clock::now();
        loop {
            let Some(eviction) = self.budget.lock().eviction(now) else {
                return;
            };
            if !self.evict(eviction, now) {
                return;
            }
            self.budget.lock().count_eviction(eviction);
            debug!(?eviction, "client turned away for memory");
        }
    }

    /// Returns whether the client was turned away.
    fn evict(&mut self, eviction: Eviction, now: Duration) -> bool {
        match eviction {
            Eviction::RejectIncomplete(conn) => {
                let Some(connection) = self.connections.get_mut(conn) else {
                    return false;
                };
                client_conn::reject_incomplete(connection, now);
                self.flush(conn);
            }
            Eviction::RejectPipelined(conn) => {
                let connection = self.connections.get_mut(conn);
                if !connection.is_some_and(client_conn::drop_pipelined) {
                    return false;
                }
                self.account_for(conn, false);
            }
            Eviction::CloseUnread(conn) => self.connection_lost(conn, CloseReason::UnreadResponse),
        }
        true
    }

    /// Lets readers that wait for memory go on. A reader may wait before the owner has handled the event
    /// that its client was accepted; its grant is kept until then.
    pub(super) fn grant_reads(&mut self) {
        let mut grants = std::mem::take(&mut self.early_grants);
        // A reader locks the budget while it holds the lock of its gate, so the budget must not be locked
        // while a gate is.
        grants.extend(self.budget.lock().take_grants());
        for grant in grants {
            if grant.conn > self.last_accepted {
                self.early_grants.push(grant);
                continue;
            }
            let Some(connection) = self.connections.get_mut(grant.conn) else {
                self.budget.lock().finish_read(grant.conn, grant.bytes, 0);
                continue;
            };
            if let Role::Node(_) = connection.role {
                // The node was not silent while its reader waited.
                connection.last_read_at = clock::now();
            }
            connection.gate.grant_memory();
        }
    }

    /// Reports the clients that were turned away, and returns freed memory to the operating system.
    pub(super) fn check_memory(&mut self, now: Duration) {
        self.relieve_memory();
        let heap_in_use = || HeapBytes::measure().in_use;
        let checks = self
            .memory_monitor
            .check(now, heap_in_use, &self.budget.lock());
        if checks.trims {
            allocator::trim();
        }
        if let Some(evicted) = checks.report {
            self.report_evictions(evicted);
        }
    }

    fn report_evictions(&mut self, evicted: EvictionCounts) {
        if !self.may_log() {
            return;
        }
        let budget = self.budget.lock();
        let held = budget.held();
        warn!(
            incomplete = evicted.incomplete,
            pipelined = evicted.pipelined,
            unread = evicted.unread,
            held = held.total(),
            open_requests = held.open_request,
            read_ahead = budget.read_ahead(),
            limit = budget.limit(),
            "memory budget used up, clients turned away"
        );
    }
}
