//! Writes the contents of the outboxes, which the router fills, to the sockets without blocking.
//!
//! The owner writes an attempt before it processes another event, and so it knows whether the last
//! byte was written without querying another thread. Bytes that a socket does not accept are retried
//! at the next step. At most [`MAX_WRITE`] bytes are taken from an outbox at once.

use super::{frame, Owner};
use crate::nodes;
use crate::run::client_conn;
use crate::run::connection::{CloseReason, NodeExchange, Role};
use crate::run::connection_table::WriteOutcome;
use crate::run::node_conn::health_check_result;
use crate::run::socket::peer_has_closed;
use grebecleat_discovery::long_polling::{Event as PollingEvent, PollConn};
use grebecleat_host::router::{request_label, ConnId, Input};
use grebecleat_wire::clock;
use grebecleat_wire::pb::{self, frame::Body};
use tracing::debug;

/// Maximum number of bytes taken from an outbox at once. A larger value copies more bytes that the
/// socket does not accept; a smaller one costs more writes.
const MAX_WRITE: usize = 128 << 10;
/// The placeholder for a status if the health check was not sent.
const NO_STATUS: u16 = 0;

impl Owner {
    pub(super) fn flush_all(&mut self) {
        for conn in self.connections.take_writable(clock::now()) {
            self.flush(conn);
        }
    }

    /// Writes the connection's write queue, then the contents of its outbox.
    pub(super) fn flush(&mut self, conn: ConnId) {
        self.write_all(conn);
        self.account_for(conn, false);
    }

    fn write_all(&mut self, conn: ConnId) {
        loop {
            let Some(connection) = self.connections.get(conn) else {
                return;
            };
            let is_client = matches!(connection.role, Role::Client(_));
            if !is_client && connection.outbox.is_closed() {
                // The rest of an attempt that the router has revoked must not be sent.
                return self.close(conn, CloseReason::ClosedByRouter);
            }
            match self.connections.write(conn) {
                WriteOutcome::Complete => {}
                WriteOutcome::Blocked => return,
                WriteOutcome::Failed => {
                    return self.connection_lost(conn, CloseReason::WriteFailed)
                }
            }
            if !is_client && !self.may_send(conn) {
                return;
            }
            let Some(connection) = self.connections.get(conn) else {
                return;
            };
            let batch = connection.outbox.take_batch(clock::now, MAX_WRITE);
            if batch.frames.is_empty() {
                if batch.closed {
                    self.close(conn, CloseReason::ClosedByRouter);
                }
                return;
            }
            for frame in batch.frames {
                if let Some(body) = frame.body {
                    self.encode_message(conn, body);
                }
            }
        }
    }

    /// Returns whether the outbox of a connection to a node or to discovery may be written now. If not,
    /// closes that connection, or the connection of an attempt's client that has left.
    fn may_send(&mut self, conn: ConnId) -> bool {
        let Some(connection) = self.connections.get(conn) else {
            return false;
        };
        // If the node has ended the connection, an attempt written now would be reset. If the node has
        // sent unexpected bytes, they would be taken as the response to the attempt. The attempt is
        // still in the outbox, so the router can send it on another connection.
        let is_idle = matches!(connection.role, Role::Node(NodeExchange::Idle));
        if is_idle && !connection.outbox.is_flushed() && !connection.gate.is_quiet(connection.fd) {
            self.connection_lost(conn, CloseReason::UnexpectedBytes);
            return false;
        }
        !self.close_departed_client(conn)
    }

    /// Closes a client that has left while one of its attempts is in the node's outbox, and returns
    /// whether there was one. The end of the client's connection may still be in its socket, or queued
    /// behind other events. The attempt stays in the outbox, from which the router revokes it.
    ///
    /// Because nothing happens between this check and the write, no attempt is sent after the end of its
    /// client's connection has arrived at this machine, however long the owner was busy, the dial took
    /// or a retry waited. The check also finds clients whose connection this host has closed. It costs
    /// one query of the client's socket for each attempt.
    fn close_departed_client(&mut self, conn: ConnId) -> bool {
        let has_departed = |client: &ConnId| {
            self.connections
                .get(*client)
                .is_none_or(|connection| peer_has_closed(connection.fd))
        };
        let departed = self.router.clients_waiting_on(conn).find(has_departed);
        let Some(client) = departed else {
            return false;
        };
        self.connection_lost(client, CloseReason::ClientDeparted);
        true
    }

    /// Encodes a message of the outbox into the connection's write queue, or performs it.
    fn encode_message(&mut self, conn: ConnId, body: Body) {
        let Some(connection) = self.connections.get_mut(conn) else {
            return;
        };
        match (&mut connection.role, body) {
            (Role::Client(_), Body::Response(response)) => {
                self.encode_final_response(conn, &response)
            }
            (Role::Node(exchange), Body::Attempt(attempt)) => {
                *exchange = NodeExchange::Attempt(attempt.attempt);
                debug!(
                    attempt_id = attempt.attempt,
                    request_id = request_label(&attempt.id),
                    number = attempt.number,
                    node = attempt.node,
                    conn = conn.0,
                    left_ms = attempt.left_us / 1000,
                    "attempt sent"
                );
                connection
                    .write_queue
                    .push(nodes::attempt_message(&attempt));
            }
            (Role::Node(exchange @ NodeExchange::Idle), Body::HealthCheck(check)) => {
                *exchange = NodeExchange::HealthCheck(check.probe);
                connection.write_queue.push(nodes::health_check_message());
            }
            (Role::Node(_), Body::HealthCheck(check)) => {
                let at = clock::now();
                let frames = vec![frame(health_check_result(check.probe, NO_STATUS), at)];
                self.inputs.push(Input::NodeFrames { conn, at, frames });
            }
            (Role::Discovery, Body::Watch(watch)) => {
                let conn = PollConn(conn.0);
                self.step_discovery(PollingEvent::Watch { conn, on: watch.on });
            }
            (Role::Discovery, Body::FetchEndpoints(_)) => {
                let conn = PollConn(conn.0);
                self.step_discovery(PollingEvent::Fetch { conn });
            }
            _ => {}
        }
    }

    fn encode_final_response(&mut self, conn: ConnId, response: &pb::Response) {
        let now = clock::now();
        let closes = self.shutdown.closes_after_response(now);
        let Some(connection) = self.connections.get_mut(conn) else {
            return;
        };
        let finished = client_conn::finish_exchange(connection, response, closes, now);
        let Some(finished) = finished else {
            return;
        };
        let exchange = finished.exchange;
        debug!(
            request_id = request_label(&exchange.request_id),
            client_id = exchange.client_id,
            outcome = ?response.outcome(),
            retry_after_ms = response.retry_after_us.map(|us| us / 1000),
            "request answered"
        );
        let is_open = self.router.is_open(&exchange.request_id);
        self.intake.release(exchange, is_open);
        if finished.has_next {
            // The response precedes any later one, since it is already in the write queue.
            self.schedule.add(conn);
        }
    }
}
