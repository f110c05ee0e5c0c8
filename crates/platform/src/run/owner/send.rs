//! Writes the contents of the outboxes, which the router fills, to the sockets without waiting.
//!
//! A decided attempt is on the wire before the owner processes anything else, and the owner knows
//! whether its last byte was written without querying another thread. The owner retries the bytes
//! that a socket does not take at once at the next step. State: none of its own. Bounds: [`MAX_WRITE`] bytes are taken
//! from an outbox at once.

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

/// Number of bytes taken from an outbox at once. A larger value copies more bytes that the socket
/// does not take; a smaller one costs more writes.
const MAX_WRITE: usize = 128 << 10;
/// No status: a health check that was not sent.
const NO_STATUS: u16 = 0;

impl Owner {
    pub(super) fn flush_all(&mut self) {
        for conn in self.connections.take_writable() {
            self.flush(conn);
        }
    }

    /// Writes the connection's write buffer, then the contents of its outbox.
    pub(super) fn flush(&mut self, conn: ConnId) {
        loop {
            let Some(connection) = self.connections.get(conn) else {
                return;
            };
            let is_client = matches!(connection.role, Role::Client(_));
            if !is_client && connection.outbox.is_closed() {
                // The rest of an attempt that the router gave up must not be sent any more.
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
                    self.compose(conn, body);
                }
            }
        }
    }

    /// Returns whether an attempt may be written now to a connection to a node or to discovery. If
    /// not, closes that connection, or the connection of the attempt's client.
    fn may_send(&mut self, conn: ConnId) -> bool {
        let Some(connection) = self.connections.get(conn) else {
            return false;
        };
        // The node has ended the connection, or has sent bytes that belong to no request: an attempt
        // written now would be reset, or be taken to have those bytes as its response. The attempt
        // is still in the outbox, and goes to another connection.
        let is_idle = matches!(connection.role, Role::Node(NodeExchange::Idle));
        if is_idle && !connection.outbox.is_flushed() && !connection.gate.is_quiet(connection.fd) {
            self.connection_lost(conn, CloseReason::UnexpectedBytes);
            return false;
        }
        !self.close_departed_client(conn)
    }

    /// Closes a client that has left while one of its attempts is in the node's outbox, and returns
    /// whether there is one. The client's end may be in its socket, or with its reader, behind
    /// everything that the owner has yet to process. No client awaits the attempt's response, and
    /// the attempt stays where the router revokes it.
    ///
    /// So no attempt begins after the end of its client has come to this machine, however long the
    /// owner is busy, a dial took or a retry waited: the check is made at the last moment, and
    /// nothing lies between the check and the write. This also guards against attempts of a client
    /// whose connection this host has closed. Harm: each attempt costs a check of the client's
    /// socket.
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

    /// Appends a frame's message to the connection's write buffer.
    fn compose(&mut self, conn: ConnId, body: Body) {
        let Some(connection) = self.connections.get_mut(conn) else {
            return;
        };
        match (&mut connection.role, body) {
            (Role::Client(_), Body::Response(response)) => self.compose_final(conn, &response),
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
                nodes::put_attempt(&mut connection.write_buffer, &attempt);
            }
            (Role::Node(exchange @ NodeExchange::Idle), Body::HealthCheck(check)) => {
                *exchange = NodeExchange::HealthCheck(check.probe);
                nodes::put_health_check(&mut connection.write_buffer);
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

    fn compose_final(&mut self, conn: ConnId, response: &pb::Response) {
        let now = clock::now();
        let closes = self.shutdown.closes_after_answer(now);
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
            // The response goes first, since it is in the write buffer.
            self.advance_client(conn, now);
        }
    }
}
