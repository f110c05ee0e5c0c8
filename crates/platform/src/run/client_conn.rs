//! The protocol on a client's connection: one exchange at a time.
//!
//! The owner calls these functions with one [`Connection`], whose [`ClientState`] they change. They
//! perform no I/O, except that [`is_awaiting`] queries the socket. A client may have sent up to
//! [`MAX_PIPELINED_BYTES`] after the request of an open exchange.

use super::connection::{
    consume, ClientExchange, ClientState, CloseReason, Connection, Discard, Role,
};
use super::socket::{pending_input, PendingInput};
use super::sweep::NEW_CLIENT_GRACE_PERIOD;
use crate::clients::put_final_response;
use crate::http::{put_response, HttpError};
use grebecleat_wire::pb;
use std::time::Duration;

/// Maximum number of bytes that a client may send after the request of its open exchange. A larger
/// value lets clients take more memory; a smaller one closes clients that pipeline requests.
const MAX_PIPELINED_BYTES: usize = 16 << 10;

/// The result of receiving bytes from a client.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum Received {
    /// The bytes are in the read buffer.
    Buffered,
    /// The last response to the client was sent, so the bytes are dropped.
    Discarded,
    /// The connection must be closed.
    Close(CloseReason),
}

/// An exchange whose final response was appended to the write buffer.
pub(super) struct FinishedExchange {
    pub(super) exchange: ClientExchange,
    /// Whether the read buffer holds bytes of a further request that may be processed.
    pub(super) has_next: bool,
}

/// Processes bytes that were received from a client at the time `at`.
pub(super) fn receive(connection: &mut Connection, at: Duration, bytes: &[u8]) -> Received {
    let Role::Client(client) = &mut connection.role else {
        return Received::Discarded;
    };
    if let Some(discard) = &mut client.discard {
        discard.bytes_left = discard.bytes_left.saturating_sub(bytes.len());
        if discard.bytes_left == 0 {
            return Received::Close(CloseReason::AnsweredLast);
        }
        return Received::Discarded;
    }
    if connection.read_buffer.is_empty() && client.exchange.is_none() && client.has_sent {
        client.phase_began_at = at;
    }
    client.has_sent = true;
    connection.read_buffer.extend_from_slice(bytes);
    if client.exchange.is_some() && connection.read_buffer.len() > MAX_PIPELINED_BYTES {
        return Received::Close(CloseReason::TooMuchPipelined);
    }
    Received::Buffered
}

/// Returns whether the next request may be parsed from the read buffer.
pub(super) fn may_parse(connection: &Connection) -> bool {
    let Role::Client(client) = &connection.role else {
        return false;
    };
    client.exchange.is_none() && client.discard.is_none() && !connection.read_buffer.is_empty()
}

/// Returns whether no exchange has been completed on this connection yet.
pub(super) fn is_first_exchange(connection: &Connection, client: &ClientState) -> bool {
    client.phase_began_at <= connection.opened_at
}

/// Begins an exchange whose request is the first `used` bytes of the read buffer.
pub(super) fn begin_exchange(connection: &mut Connection, exchange: ClientExchange, used: usize) {
    let Role::Client(client) = &mut connection.role else {
        return;
    };
    consume(&mut connection.read_buffer, used);
    client.exchange = Some(exchange);
}

/// Responds to a readiness check, which is the first `used` bytes of the read buffer.
pub(super) fn respond_to_readiness_check(
    connection: &mut Connection,
    at: Duration,
    is_ready: bool,
    keep_alive: bool,
    used: usize,
) {
    let Role::Client(client) = &mut connection.role else {
        return;
    };
    let status = if is_ready { 200 } else { 503 };
    consume(&mut connection.read_buffer, used);
    client.phase_began_at = at;
    put_response(&mut connection.write_buffer, status, "", keep_alive, b"");
    if !keep_alive {
        client.discard = Some(Discard::from(at));
    }
}

/// Responds with an error, which is the last response on the connection.
pub(super) fn reject(connection: &mut Connection, now: Duration, error: &HttpError) {
    let Role::Client(client) = &mut connection.role else {
        return;
    };
    client.discard = Some(Discard::from(now));
    connection.read_buffer = Vec::new();
    let text = error.reason.as_bytes();
    put_response(&mut connection.write_buffer, error.status, "", false, text);
}

/// Appends the final response of the open exchange. If `closes_after_response` is set, the response
/// announces the close of the connection, unless a pipelined request awaits its own response.
pub(super) fn finish_exchange(
    connection: &mut Connection,
    response: &pb::Response,
    closes_after_response: bool,
    now: Duration,
) -> Option<FinishedExchange> {
    let Role::Client(client) = &mut connection.role else {
        return None;
    };
    let exchange = client.exchange.take()?;
    // A pipelined request that has been read gets its response too.
    let has_pipelined = !connection.read_buffer.is_empty();
    let keep_alive = exchange.keep_alive && (!closes_after_response || has_pipelined);
    client.phase_began_at = now;
    if !keep_alive {
        client.discard = Some(Discard::from(now));
    }
    put_final_response(&mut connection.write_buffer, response, keep_alive);
    Some(FinishedExchange {
        exchange,
        has_next: keep_alive && has_pipelined,
    })
}

/// Returns whether a client still awaits a response, or has sent bytes that are not processed yet.
pub(super) fn is_awaiting(connection: &Connection, now: Duration) -> bool {
    let Role::Client(client) = &connection.role else {
        return false;
    };
    if client.discard.is_some() {
        // Closing a socket with unread bytes resets the connection, and the response is lost.
        return connection.has_unwritten() || pending_input(connection.fd) == PendingInput::Bytes;
    }
    let has_begun = client.exchange.is_some()
        || connection.has_unwritten()
        || !connection.read_buffer.is_empty();
    let is_new = !client.has_sent && now < connection.opened_at + NEW_CLIENT_GRACE_PERIOD;
    has_begun || is_new || !connection.gate.is_quiet(connection.fd)
}
