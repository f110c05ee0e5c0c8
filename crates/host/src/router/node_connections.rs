//! Connections to nodes: dials, what nodes send, and what becomes of attempts when a connection
//! ends.

use super::types::frame;
use super::{ConnId, Output, RequestRouter};
use crate::log_event::ProtocolViolation;
use crate::outbox::{AttemptId, Outbox};
use crate::pool::PoolAction;
use grebecleat_scheduler::api::*;
use grebecleat_wire::pb::{self, frame::Body};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

impl RequestRouter {
    pub(super) fn node_connected(&mut self, conn: ConnId, outbox: Arc<Outbox>) {
        if let Some(node) = self.pools.connected(conn, outbox, self.now) {
            self.assign_waiting(node);
        }
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
            Some(Body::GoingAway(_)) => self.pools.going_away(conn),
            _ => {
                self.log_violation(conn, ProtocolViolation::UnexpectedNodeMessage);
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
        let Some(ended) = self.pools.disconnected(conn, self.now) else {
            return;
        };
        for attempt in ended.attempts() {
            self.attempt_lost_connection(*attempt, ended.outbox());
        }
        if let Some(outbox) = ended.outbox() {
            outbox.close();
        }
        self.bad_peers.connection_ended(conn);
        for node in self.health_checks.connection_ended(conn) {
            self.events.push(Event::HealthChecked {
                node,
                outcome: AttemptOutcome::ConnectionReset,
            });
        }
        self.assign_waiting(ended.node());
    }

    fn attempt_lost_connection(&mut self, attempt: AttemptId, outbox: Option<&Arc<Outbox>>) {
        let exclusive = self.pools.wire_mode().is_exclusive();
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
        self.pools.enqueue_first(node, attempt);
        true
    }

    /// Brings the connections of changed pools towards what the pools want.
    pub(super) fn adjust_pools(&mut self) {
        while let Some((node, wanted)) = self.pools.next_action(self.now) {
            let known = self.endpoints.nodes.get(&node);
            match (wanted, known.and_then(|known| known.address)) {
                (PoolAction::Nothing, _) => {}
                // Where there is no room for another, its attempts wait, and are swept if for too
                // long.
                (PoolAction::Dial, Some(address)) => {
                    if self.make_room_for_dial() {
                        self.dial(node, address);
                    }
                }
                (PoolAction::Fail, _) | (PoolAction::Dial, None) => {
                    for attempt in self.pools.waiting(node) {
                        self.counters.unsent += 1;
                        self.end_attempt(attempt, AttemptOutcome::ConnectFailed, self.now, None);
                    }
                }
            }
        }
    }

    fn dial(&mut self, node: NodeId, address: SocketAddr) {
        let conn = ConnId(self.next_number());
        self.pools.dialled(conn, node, self.now);
        self.outputs.push(Output::Dial {
            conn,
            node,
            address,
        });
    }

    /// Whether there may be one more connection to nodes; where all are in use, the one that has
    /// been idle the longest makes room.
    fn make_room_for_dial(&mut self) -> bool {
        if self.pools.has_capacity() {
            return true;
        }
        let Some(oldest) = self.pools.longest_idle() else {
            return false;
        };
        self.node_disconnected(oldest);
        true
    }

    /// Closes the connections to a node that have been idle since then.
    pub(super) fn close_idle(&mut self, node: NodeId, since: Duration) {
        for conn in self.pools.connections_to(node).to_vec() {
            if self.pools.is_idle_since(conn, since) {
                self.node_disconnected(conn);
            }
        }
    }

    pub(super) fn check_health(&mut self, node: NodeId) {
        let probe = self.next_number();
        let Some((conn, outbox)) = self.pools.connection_up(node) else {
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
        for conn in self.pools.lost_dials(self.now) {
            self.node_disconnected(conn);
        }
    }

    /// Closes connections that have been idle for as long as the settings allow.
    pub(super) fn close_long_idle(&mut self) {
        let since = self.pools.idle_limit(self.now);
        for node in self.pools.nodes_with_expired_idle(self.now) {
            self.close_idle(node, since);
        }
    }
}
