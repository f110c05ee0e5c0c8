//! Writes what the router has put into the outboxes, without waiting.
//!
//! An attempt that is decided is on the wire before anything else is processed, and whether its
//! last byte was written is known without asking another thread. What a socket does not take at
//! once is tried again at the next step. Bounds: [`MAX_WRITE`] bytes are taken from an outbox at
//! once.

use super::node_conn::health_check_result;
use super::{frame, Owner};
use crate::clients::put_final;
use crate::nodes;
use crate::run::connection::{consume, ClientState, CloseReason, Discard, NodeExchange, Role};
use crate::run::socket::peer_has_closed;
use grebecleat_discovery::long_polling::{Event as PollingEvent, PollConn};
use grebecleat_host::router::{request_label, ConnId, Input};
use grebecleat_wire::clock;
use grebecleat_wire::pb::{self, frame::Body};
use std::io;
use tracing::debug;

/// Bytes that are taken from an outbox at once.
const MAX_WRITE: usize = 128 << 10;
/// No status: a health check that was not sent.
const NO_STATUS: u16 = 0;

impl Owner {
    pub(super) fn flush_all(&mut self) {
        let changed = {
            let mut changed = self
                .changed_outboxes
                .lock()
                .unwrap_or_else(|e| e.into_inner());
            std::mem::take(&mut *changed)
        };
        let blocked = std::mem::take(&mut self.blocked);
        for conn in changed.into_iter().chain(blocked) {
            self.flush(conn);
        }
    }

    /// Writes what the socket takes; then what its outbox has.
    pub(super) fn flush(&mut self, conn: ConnId) {
        loop {
            let Some(connection) = self.connections.get(&conn) else {
                return;
            };
            let is_client = matches!(connection.role, Role::Client(_));
            if !is_client && connection.outbox.is_closed() {
                // What is left of an attempt that was given up must not cross any more.
                return self.close(conn, CloseReason::ClosedByRouter);
            }
            if !self.write_buffered(conn) {
                return;
            }
            if !is_client && !self.may_send(conn) {
                return;
            }
            let Some(connection) = self.connections.get(&conn) else {
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

    /// Writes what is composed; whether the socket took all of it.
    fn write_buffered(&mut self, conn: ConnId) -> bool {
        let Some(connection) = self.connections.get_mut(&conn) else {
            return false;
        };
        while connection.has_unwritten() {
            let rest = &connection.write_buffer[connection.written..];
            let flags = libc::MSG_DONTWAIT | libc::MSG_NOSIGNAL;
            // SAFETY: the pointer and the length are of one live slice; the number is still its
            // own.
            let sent =
                unsafe { libc::send(connection.fd, rest.as_ptr().cast(), rest.len(), flags) };
            if let Ok(sent) = usize::try_from(sent) {
                connection.written += sent;
                continue;
            }
            match io::Error::last_os_error().kind() {
                io::ErrorKind::Interrupted => {}
                io::ErrorKind::WouldBlock => {
                    self.blocked.insert(conn);
                    return false;
                }
                _ => {
                    self.connection_lost(conn, CloseReason::WriteFailed);
                    return false;
                }
            }
        }
        if !connection.write_buffer.is_empty() {
            connection.written = 0;
            consume(&mut connection.write_buffer, usize::MAX);
            if let Role::Client(ClientState {
                discard: Some(_), ..
            }) = connection.role
            {
                // SAFETY: the number is still its own.
                unsafe { libc::shutdown(connection.fd, libc::SHUT_WR) };
            }
        }
        connection.outbox.batch_written();
        true
    }

    /// Whether an attempt may be written now to a connection that is not a client's; where not, the
    /// connection or the client is closed.
    fn may_send(&mut self, conn: ConnId) -> bool {
        let Some(connection) = self.connections.get(&conn) else {
            return false;
        };
        // Its node has ended it, or sends more than it was asked for: an attempt written now would
        // be reset, or be taken to have that answer. It is still ours, and goes elsewhere.
        let is_idle = matches!(connection.role, Role::Node(NodeExchange::Idle));
        if is_idle && !connection.outbox.is_flushed() && !connection.gate.is_quiet(connection.fd) {
            self.connection_lost(conn, CloseReason::UnexpectedBytes);
            return false;
        }
        !self.close_departed_client(conn)
    }

    /// Whether an attempt lies in a node's outbox whose client has gone: its end may lie in the
    /// socket, or with its reader, behind all that the owner has yet to process. No client waits
    /// for the attempt's answer, and it stays where the router takes it back.
    ///
    /// So no attempt begins later than its client's end has come to this machine, however long the
    /// owner is busy, a dial took or a retry waited: the look is made at the last instant, and
    /// nothing lies between it and the write. Guards as well against attempts of a client that was
    /// hung up on. Harm: a look at the client's socket for each attempt.
    fn close_departed_client(&mut self, conn: ConnId) -> bool {
        let has_departed = |client: &ConnId| {
            self.connections
                .get(client)
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
        let Some(connection) = self.connections.get_mut(&conn) else {
            return;
        };
        match (&mut connection.role, body) {
            (Role::Client(_), Body::Response(response)) => self.compose_final(conn, &response),
            (Role::Node(exchange), Body::Attempt(attempt)) => {
                *exchange = NodeExchange::Attempt(attempt.attempt);
                debug!(
                    attempt = attempt.attempt,
                    request = request_label(&attempt.id),
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
                self.step_polling(PollingEvent::Watch { conn, on: watch.on });
            }
            (Role::Discovery, Body::FetchEndpoints(_)) => {
                let conn = PollConn(conn.0);
                self.step_polling(PollingEvent::Fetch { conn });
            }
            _ => {}
        }
    }

    fn compose_final(&mut self, conn: ConnId, response: &pb::Response) {
        let closes_after_answer = self.closes_after_answer();
        let Some(connection) = self.connections.get_mut(&conn) else {
            return;
        };
        let Role::Client(client) = &mut connection.role else {
            return;
        };
        let Some(exchange) = client.exchange.take() else {
            return;
        };
        // What it sent behind this one has been read, and is answered too.
        let has_pipelined = !connection.read_buffer.is_empty();
        let keep_alive = exchange.keep_alive && (!closes_after_answer || has_pipelined);
        let now = clock::now();
        client.since = now;
        if !keep_alive {
            client.discard = Some(Discard::from(now));
        }
        debug!(
            request = request_label(&exchange.request_id),
            id = exchange.client_id,
            outcome = ?response.outcome(),
            retry_after_ms = response.retry_after_us.map(|us| us / 1000),
            "request answered"
        );
        let is_open = self.router.is_open(&exchange.request_id);
        self.client_ids.release(exchange, is_open);
        put_final(&mut connection.write_buffer, response, keep_alive);
        if keep_alive && has_pipelined {
            // What waited behind it; the answer goes first, since it stands in the buffer.
            self.advance_client(conn, now);
        }
    }
}
