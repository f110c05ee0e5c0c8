//! Connections of clients: what they send becomes requests, one exchange at a time.
//!
//! State: [`ClientState`] of each connection. Bounds: [`MAX_PIPELINED_BYTES`] behind an open
//! exchange.

use super::shutdown::LAST_ANSWER_MARGIN;
use super::{frame, Owner};
use crate::clients::ClientRequest;
use crate::http::{self, put_response, HttpError};
use crate::run::connection::{consume, ClientExchange, ClientState, CloseReason, Discard, Role};
use crate::run::reader::ReadGate;
use crate::run::socket::{pending_input, PendingInput};
use bytes::Bytes;
use grebecleat_host::router::{request_label, ConnId, Input};
use grebecleat_wire::clock;
use grebecleat_wire::pb::{self, frame::Body};
use std::os::fd::RawFd;
use std::sync::Arc;
use std::time::Duration;
use tracing::debug;

/// Bytes that may wait behind a client's open exchange.
const MAX_PIPELINED_BYTES: usize = 16 << 10;

const DUPLICATE_ID: HttpError = HttpError {
    status: 409,
    reason: "an id that is open",
};

/// What was parsed of a client's bytes.
struct ParsedRequest {
    request: ClientRequest,
    /// Whether the client lets the connection stay open.
    keep_alive: bool,
    /// Bytes that it took.
    used: usize,
}

impl Owner {
    pub(super) fn client_accepted(&mut self, conn: ConnId, fd: RawFd, gate: Arc<ReadGate>) {
        let now = clock::now();
        let client = ClientState {
            exchange: None,
            has_sent: false,
            since: now,
            discard: None,
        };
        let outbox = self.add_connection(conn, Role::Client(client), fd, gate, now);
        self.inputs.push(Input::ClientUp { conn, outbox });
    }

    pub(super) fn handle_client_bytes(&mut self, conn: ConnId, at: Duration, bytes: &[u8]) {
        let Some(connection) = self.connections.get_mut(&conn) else {
            return;
        };
        let Role::Client(client) = &mut connection.role else {
            return;
        };
        if let Some(discard) = &mut client.discard {
            discard.bytes_left = discard.bytes_left.saturating_sub(bytes.len());
            if discard.bytes_left == 0 {
                self.connection_lost(conn, CloseReason::AnsweredLast);
            }
            return;
        }
        if connection.read_buffer.is_empty() && client.exchange.is_none() && client.has_sent {
            client.since = at;
        }
        client.has_sent = true;
        connection.read_buffer.extend_from_slice(bytes);
        if client.exchange.is_some() && connection.read_buffer.len() > MAX_PIPELINED_BYTES {
            return self.connection_lost(conn, CloseReason::TooMuchPipelined);
        }
        self.advance_client(conn, at);
    }

    /// Parses what a client has sent, as far as it may: one exchange at a time.
    pub(super) fn advance_client(&mut self, conn: ConnId, at: Duration) {
        loop {
            let Some(connection) = self.connections.get(&conn) else {
                return;
            };
            let Role::Client(client) = &connection.role else {
                return;
            };
            if client.exchange.is_some()
                || client.discard.is_some()
                || connection.read_buffer.is_empty()
            {
                return;
            }
            let parsed = match self.parse_request(&connection.read_buffer) {
                Ok(Some(parsed)) => parsed,
                Ok(None) => return,
                Err(error) => return self.reject(conn, error),
            };
            match parsed.request {
                ClientRequest::Ready => {
                    self.answer_readiness(conn, at, parsed.keep_alive, parsed.used)
                }
                ClientRequest::Submit { id, submit } => {
                    return self.submit(conn, at, id, *submit, parsed.keep_alive, parsed.used)
                }
            }
        }
    }

    fn parse_request(&self, bytes: &[u8]) -> Result<Option<ParsedRequest>, HttpError> {
        let Some((request, used)) = http::request(bytes)? else {
            return Ok(None);
        };
        let keep_alive = request.keep_alive;
        let request = self.request_parser.parse(&request)?;
        Ok(Some(ParsedRequest {
            request,
            keep_alive,
            used,
        }))
    }

    /// With a cached endpoint list it is of use at once: the freshness of what has changed since is
    /// known only a term after discovery could be reached, and discovery may be down or have too
    /// many callers just when most hosts start. Without any, all that it was sent would be
    /// rejected, so it waits for the list. Harm: what it sends to nodes that are gone finds no
    /// connection.
    fn answer_readiness(&mut self, conn: ConnId, at: Duration, keep_alive: bool, used: usize) {
        let ready = self.discovery_answered || self.has_cached_endpoints;
        let status = if ready { 200 } else { 503 };
        let Some(connection) = self.connections.get_mut(&conn) else {
            return;
        };
        let Role::Client(client) = &mut connection.role else {
            return;
        };
        consume(&mut connection.read_buffer, used);
        client.since = at;
        put_response(&mut connection.write_buffer, status, "", keep_alive, b"");
        if !keep_alive {
            client.discard = Some(Discard::from(at));
        }
        self.flush(conn);
    }

    fn submit(
        &mut self,
        conn: ConnId,
        at: Duration,
        client_id: String,
        mut submit: pb::SubmitRequest,
        keep_alive: bool,
        used: usize,
    ) {
        let kill_at = self.kill_at();
        let Some(connection) = self.connections.get_mut(&conn) else {
            return;
        };
        let Role::Client(client) = &mut connection.role else {
            return;
        };
        // A client that has waited to be accepted may be gone for long.
        let is_first = client.since <= connection.opened_at;
        if is_first && pending_input(connection.fd) == PendingInput::End {
            return self.connection_lost(conn, CloseReason::ClientDeparted);
        }
        if self.client_ids.contains(&client_id) {
            return self.reject(conn, DUPLICATE_ID);
        }
        consume(&mut connection.read_buffer, used);
        self.received += 1;
        if let Some(kill_at) = kill_at {
            let left = kill_at.saturating_sub(at + LAST_ANSWER_MARGIN);
            submit.left_us = submit.left_us.min(clock::micros(left));
        }
        submit.id = Bytes::from(format!("{:036x}", self.received));
        debug!(
            request = request_label(&submit.id),
            id = client_id,
            conn = conn.0,
            class = submit.traffic_class,
            shard = submit.shard,
            left_ms = submit.left_us / 1000,
            "request received"
        );
        client.exchange = Some(ClientExchange {
            client_id: client_id.clone(),
            request_id: submit.id.clone(),
            keep_alive,
        });
        self.client_ids.insert(client_id);
        let frames = vec![frame(Body::SubmitRequest(submit), at)];
        self.inputs.push(Input::ClientFrames { conn, at, frames });
    }

    /// Answers with the error, and hangs up once that has been read.
    pub(super) fn reject(&mut self, conn: ConnId, error: HttpError) {
        let Some(connection) = self.connections.get_mut(&conn) else {
            return;
        };
        let Role::Client(client) = &mut connection.role else {
            return;
        };
        client.discard = Some(Discard::from(clock::now()));
        connection.read_buffer = Vec::new();
        let text = error.reason.as_bytes();
        put_response(&mut connection.write_buffer, error.status, "", false, text);
        debug!(conn = conn.0, status = error.status, "client: {error}");
        self.flush(conn);
    }

    /// Ends a client's connection that only waits, unless the client has sent something that is not
    /// processed yet: closed now, its request would be lost. Then nothing is done, and the next
    /// sweep finds it. Whether it was ended.
    pub(super) fn close_if_quiet(&mut self, conn: ConnId) -> bool {
        let closed = self
            .connections
            .get(&conn)
            .is_some_and(|connection| connection.gate.close_unless_input(connection.fd));
        if closed {
            self.connection_lost(conn, CloseReason::Idle);
        }
        closed
    }
}
