//! Connections to nodes: dials, what nodes send, and what becomes of attempts when a connection
//! ends.

use super::types::{frame, NodeConnection};
use super::{ConnId, Output, RequestRouter};
use crate::outbox::{AttemptId, Outbox};
use crate::pool::{PoolAction, PoolStatus};
use grebecleat_scheduler::api::*;
use grebecleat_wire::pb::{self, frame::Body};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

impl RequestRouter {
    pub(super) fn node_connected(&mut self, conn: ConnId, outbox: Arc<Outbox>) {
        let Some(connection) = self.conns.get_mut(&conn) else {
            return outbox.close();
        };
        connection.outbox = Some(outbox);
        connection.idle_since = self.now;
        let node = connection.node;
        let pool = self.pools.get_mut(&node).expect("made when dialled");
        pool.pool.dial_succeeded();
        self.assign_waiting(node);
    }

    pub(super) fn handle_node_frame(&mut self, conn: ConnId, at: Duration, frame: pb::Frame) {
        match frame.body {
            Some(Body::AttemptResponse(response)) => {
                self.handle_attempt_response(conn, at, response)
            }
            Some(Body::ResponseStarted(started)) => {
                self.handle_response_started(conn, AttemptId(started.attempt))
            }
            Some(Body::HealthCheckResult(result)) => {
                if let Some(node) = self.health_checks.completed(result.probe) {
                    let outcome = match result.result() {
                        pb::Result::Ok => AttemptOutcome::Completed,
                        _ => AttemptOutcome::Failed,
                    };
                    self.events.push(Event::HealthChecked { node, outcome });
                }
            }
            Some(Body::GoingAway(_)) => {
                if let Some(connection) = self.conns.get_mut(&conn) {
                    connection.going_away = true;
                }
            }
            _ => {
                self.log_bad_peer(conn, "node sent what only hosts and clients send");
                self.node_disconnected(conn);
            }
        }
    }

    fn is_on(&self, attempt: AttemptId, conn: ConnId) -> bool {
        let outstanding = self.attempts.get(attempt);
        outstanding.is_some_and(|outstanding| outstanding.conn() == Some(conn))
    }

    fn handle_attempt_response(
        &mut self,
        conn: ConnId,
        at: Duration,
        response: pb::AttemptResponse,
    ) {
        let attempt = AttemptId(response.attempt);
        // After its end, twice, of an attempt that was never sent, or of an earlier connection's:
        // dropped.
        if !self.is_on(attempt, conn) {
            self.counters.stray_responses += 1;
            return;
        }
        let outcome = match response.result() {
            pb::Result::Ok => AttemptOutcome::Completed,
            pb::Result::Full => AttemptOutcome::QueueFull,
            pb::Result::WrongNode | pb::Result::Expired => AttemptOutcome::NotSent,
            pb::Result::Error | pb::Result::Unknown => AttemptOutcome::Failed,
        };
        self.end_attempt(attempt, outcome, at, Some(response));
    }

    fn handle_response_started(&mut self, conn: ConnId, attempt: AttemptId) {
        let Some(started) = self.attempts.response_started(attempt, conn) else {
            return;
        };
        let (id, number) = (started.request(), started.number());
        self.events.push(Event::ResponseStarted {
            id,
            attempt: number,
        });
        let Some(request) = self.clients.request(&id) else {
            return;
        };
        if let Some(client) = self.clients.session(request.client()) {
            let started = pb::ResponseStarted {
                attempt: 0,
                id: request.message().id.clone(),
            };
            client.outbox().put(frame(Body::ResponseStarted(started)));
        }
    }

    pub(super) fn node_disconnected(&mut self, conn: ConnId) {
        // Out of the pool before any attempt ends: an end lets others go, and they must not go
        // here.
        let Some(connection) = self.conns.remove(&conn) else {
            return;
        };
        let (node, was_up) = (connection.node, connection.is_up());
        if let Some(pool) = self.pools.get_mut(&node) {
            pool.conns.retain(|other| *other != conn);
            if !was_up {
                pool.pool.dial_failed(self.now);
            }
        }
        for attempt in connection.attempts {
            self.attempt_lost_connection(attempt, connection.outbox.as_ref());
        }
        if let Some(outbox) = connection.outbox {
            outbox.close();
        }
        self.bad_peers.connection_ended(conn);
        for node in self.health_checks.connection_ended(conn) {
            self.events.push(Event::HealthChecked {
                node,
                outcome: AttemptOutcome::ConnectionReset,
            });
        }
        self.assign_waiting(node);
    }

    fn attempt_lost_connection(&mut self, attempt: AttemptId, outbox: Option<&Arc<Outbox>>) {
        let exclusive = self.wire_mode.is_exclusive();
        let queued = outbox.is_some_and(|outbox| outbox.is_queued(attempt));
        if exclusive && queued && self.reassign(attempt) {
            return;
        }
        let partly_written = |outbox: &Outbox| exclusive && outbox.is_writing();
        let unsent = outbox.is_none_or(|outbox| outbox.revoke(attempt) || partly_written(outbox));
        self.counters.unsent += u64::from(unsent);
        let outcome = match unsent {
            true => AttemptOutcome::ConnectFailed,
            false => AttemptOutcome::ConnectionReset,
        };
        self.end_attempt(attempt, outcome, self.now, None);
    }

    /// An attempt that was given to a connection whose end we had yet to hear of goes to another
    /// one, once: an end under a connection that was idle says nothing of its node. Whether it
    /// does.
    fn reassign(&mut self, attempt: AttemptId) -> bool {
        let Some(node) = self.attempts.unassign(attempt, self.now) else {
            return false;
        };
        if let Some(pool) = self.pools.get_mut(&node) {
            pool.waiting.push_front(attempt);
        }
        true
    }

    /// Brings the connections of changed pools towards what the pools want.
    pub(super) fn adjust_pools(&mut self) {
        while let Some(node) = self.changed_pools.pop_first() {
            let Some(pool) = self.pools.get(&node) else {
                continue;
            };
            let wanted = pool.pool.wanted(self.now, self.pool_status(node));
            let known = self.endpoints.nodes.get(&node);
            match (wanted, known.and_then(|known| known.address)) {
                (PoolAction::Nothing, _) => {}
                // Where there is no room for another, its attempts wait, and are swept if for too
                // long.
                (PoolAction::Dial, Some(address)) => {
                    if self.make_room_for_dial() {
                        self.dial(node, address);
                        self.changed_pools.insert(node); // it may want several
                    }
                }
                (PoolAction::Fail, _) | (PoolAction::Dial, None) => {
                    let waiting: Vec<AttemptId> = pool.waiting.iter().copied().collect();
                    for attempt in waiting {
                        self.counters.unsent += 1;
                        self.end_attempt(attempt, AttemptOutcome::ConnectFailed, self.now, None);
                    }
                }
            }
        }
    }

    fn pool_status(&self, node: NodeId) -> PoolStatus {
        let pool = &self.pools[&node];
        let mut status = PoolStatus {
            waiting: pool.waiting.len(),
            attempts: pool.waiting.len(),
            ..PoolStatus::default()
        };
        let mut resting = 0;
        for conn in pool.conns.iter().filter_map(|conn| self.conns.get(conn)) {
            status.attempts += conn.attempts.len();
            status.up += usize::from(conn.is_up());
            // Those that rest are of no use yet; but an attempt alone waits for one of them.
            let rests = conn.attempts.is_empty() && conn.rests_until > self.now;
            resting += usize::from(rests);
            let late = !conn.is_up() && conn.dialled + self.handshake <= self.now;
            status.late += usize::from(late && self.wire_mode.is_exclusive());
        }
        status.dialling = pool.conns.len() - status.up;
        status.up = (status.up - resting).max(usize::from(status.up > 0));
        status
    }

    fn dial(&mut self, node: NodeId, address: SocketAddr) {
        let conn = ConnId(self.next_number());
        let dialling = NodeConnection::dialling(node, self.now);
        self.conns.insert(conn, dialling);
        if self.wire_mode.is_exclusive() {
            self.pool_checks.insert((self.now + self.handshake, node));
        }
        if let Some(pool) = self.pools.get_mut(&node) {
            pool.conns.push(conn);
        }
        self.outputs.push(Output::Dial {
            conn,
            node,
            address,
        });
    }

    /// Whether there may be one more connection to nodes; where all are in use, the one that has
    /// been idle the longest makes room.
    fn make_room_for_dial(&mut self) -> bool {
        if self.conns.len() < self.bounds().node_connections {
            return true;
        }
        let idle = self.conns.iter().filter(|(_, conn)| conn.is_idle());
        let oldest = idle.min_by_key(|(_, conn)| conn.idle_since);
        let Some(oldest) = oldest.map(|(id, _)| *id) else {
            return false;
        };
        self.node_disconnected(oldest);
        true
    }

    /// Closes the connections to a node that have been idle since then.
    pub(super) fn close_idle(&mut self, node: NodeId, since: Duration) {
        let Some(pool) = self.pools.get(&node) else {
            return;
        };
        for conn in pool.conns.clone() {
            let idle = |conn: &NodeConnection| conn.is_idle() && conn.idle_since <= since;
            if self.conns.get(&conn).is_some_and(idle) {
                self.node_disconnected(conn);
            }
        }
    }

    /// Closes what a dial to a process that is no more still brings up.
    pub(super) fn forget_dials(&mut self, node: NodeId) {
        let Some(pool) = self.pools.get_mut(&node) else {
            return;
        };
        let dialling = |conn: &ConnId| {
            let connection = self.conns.get(conn);
            connection.is_some_and(|connection| !connection.is_up())
        };
        let dials: Vec<ConnId> = pool.conns.iter().copied().filter(dialling).collect();
        pool.conns.retain(|conn| !dials.contains(conn));
        for conn in dials {
            self.conns.remove(&conn);
        }
        self.changed_pools.insert(node);
    }

    pub(super) fn check_health(&mut self, node: NodeId) {
        let probe = self.next_number();
        let conns = self.pools.get(&node).map(|pool| pool.conns.as_slice());
        let up = conns.unwrap_or_default().iter().find_map(|conn| {
            let outbox = self.conns.get(conn)?.outbox.as_ref()?;
            Some((*conn, outbox))
        });
        let Some((conn, outbox)) = up else {
            self.events.push(Event::HealthChecked {
                node,
                outcome: AttemptOutcome::ConnectFailed,
            });
            return;
        };
        outbox.put(frame(Body::HealthCheck(pb::HealthCheck { probe })));
        self.health_checks.sent(probe, node, conn);
    }

    /// Ends dials that report nothing, for whatever reason: they must not keep their nodes'
    /// attempts waiting.
    pub(super) fn end_lost_dials(&mut self) {
        let since = self.now.saturating_sub(self.bounds().dial_timeout * 2);
        let lost = |conn: &NodeConnection| !conn.is_up() && conn.idle_since < since;
        let conns = self.conns.iter().filter(|(_, conn)| lost(conn));
        let lost: Vec<ConnId> = conns.map(|(id, _)| *id).collect();
        for conn in lost {
            self.node_disconnected(conn);
        }
    }

    /// Closes connections that have been idle for as long as the settings allow.
    pub(super) fn close_long_idle(&mut self) {
        let since = self.now.saturating_sub(self.bounds().idle);
        let old = |conn: &&NodeConnection| conn.is_idle() && conn.idle_since < since;
        let nodes: std::collections::BTreeSet<NodeId> = self
            .conns
            .values()
            .filter(old)
            .map(|conn| conn.node)
            .collect();
        for node in nodes {
            self.close_idle(node, since);
        }
    }
}
