//! The protocol on a client's connection: one exchange at a time.
//!
//! The owner calls these functions with one [`Connection`], whose [`ClientState`] they change. They
//! perform no I/O, except that [`is_awaiting`] queries the socket. A client may have sent up to
//! [`MAX_PIPELINED_BYTES`] after the request of an open exchange.

use super::connection::{ClientExchange, ClientState, CloseReason, Connection, Discard, Role};
use super::socket::{pending_input, PendingInput};
use super::sweep::NEW_CLIENT_GRACE_PERIOD;
use crate::clients::{final_response, memory_rejection};
use crate::http::{response_message, HttpError, MessageReader, OutgoingMessage};
use bytes::Bytes;
use grebecleat_wire::pb;
use std::time::Duration;

/// Maximum number of bytes that a client may send after the request of its open exchange. A larger
/// value lets clients take more memory; a smaller one closes clients that pipeline requests.
const MAX_PIPELINED_BYTES: usize = 16 << 10;

/// The result of receiving bytes from a client.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum Received {
    /// The bytes are in the message reader.
    Buffered,
    /// The last response to the client was sent, so the bytes are dropped.
    Discarded,
    /// The connection must be closed.
    Close(CloseReason),
}

/// An exchange whose final response was appended to the write buffer.
pub(super) struct FinishedExchange {
    pub(super) exchange: ClientExchange,
    /// Whether the message reader holds bytes of a further request that may be processed.
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
    if connection.reader.is_empty() && client.exchange.is_none() && client.has_sent {
        client.phase_began_at = at;
    }
    client.has_sent = true;
    let has_exchange = client.exchange.is_some();
    connection.reader.push(bytes);
    if has_exchange && connection.reader.len() > MAX_PIPELINED_BYTES {
        return Received::Close(CloseReason::TooMuchPipelined);
    }
    Received::Buffered
}

/// Returns whether the next request may be read.
pub(super) fn may_parse(connection: &Connection) -> bool {
    let Role::Client(client) = &connection.role else {
        return false;
    };
    client.exchange.is_none() && client.discard.is_none() && !connection.reader.is_empty()
}

/// Returns when the current request was received, for its deadline: a request that was sent behind another
/// one counts as received when the response to that one was composed.
pub(super) fn request_received_at(connection: &Connection) -> Duration {
    match &connection.role {
        Role::Client(client) => connection.last_read_at.max(client.phase_began_at),
        _ => connection.last_read_at,
    }
}

/// Returns whether no exchange has been completed on this connection yet.
pub(super) fn is_first_exchange(connection: &Connection, client: &ClientState) -> bool {
    client.phase_began_at <= connection.opened_at
}

/// Begins an exchange, whose request is the one that was read.
pub(super) fn begin_exchange(connection: &mut Connection, exchange: ClientExchange) {
    let Role::Client(client) = &mut connection.role else {
        return;
    };
    connection.reader.finish();
    client.exchange = Some(exchange);
}

/// Responds to a readiness check, which is the request that was read.
pub(super) fn respond_to_readiness_check(
    connection: &mut Connection,
    at: Duration,
    is_ready: bool,
    keep_alive: bool,
) {
    let Role::Client(client) = &mut connection.role else {
        return;
    };
    let status = if is_ready { 200 } else { 503 };
    connection.reader.finish();
    client.phase_began_at = at;
    let response = response_message(status, "", keep_alive, Bytes::new());
    connection.write_queue.push(response);
    if !keep_alive {
        client.discard = Some(Discard::from(at));
    }
}

/// Responds with an error, which is the last response on the connection.
pub(super) fn reject(connection: &mut Connection, now: Duration, error: &HttpError) {
    let text = Bytes::from_static(error.reason.as_bytes());
    respond_last(
        connection,
        now,
        response_message(error.status, "", false, text),
    );
}

/// Rejects an incomplete request to free its memory.
pub(super) fn reject_incomplete(connection: &mut Connection, now: Duration) {
    respond_last(connection, now, memory_rejection(false));
}

fn respond_last(connection: &mut Connection, now: Duration, response: OutgoingMessage) {
    let Role::Client(client) = &mut connection.role else {
        return;
    };
    client.discard = Some(Discard::from(now));
    connection.reader.clear();
    connection.write_queue.push(response);
}

/// Drops the requests behind the one of the open exchange to free their memory. They are rejected after
/// its response. Returns whether they were dropped: if bytes were read that are not processed yet, they
/// are kept, since the number of requests in them is not known.
pub(super) fn drop_pipelined(connection: &mut Connection) -> bool {
    let Role::Client(client) = &mut connection.role else {
        return false;
    };
    if client.exchange.is_none() || !connection.gate.pause_if_processed() {
        return false;
    }
    client.dropped_requests = count_requests(&mut connection.reader);
    connection.reader.clear();
    true
}

/// Reads the requests that have arrived, and returns their number, including an incomplete or malformed
/// one at their end.
fn count_requests(reader: &mut MessageReader) -> usize {
    let mut count = 0;
    while !reader.is_empty() {
        count += 1;
        match reader.read_request() {
            Ok(Some(request)) if request.keep_alive => reader.finish(),
            _ => break,
        }
    }
    count
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
    let dropped = std::mem::take(&mut client.dropped_requests);
    if dropped > 0 {
        finish_with_rejections(connection, response, &exchange, dropped, now);
        return Some(FinishedExchange {
            exchange,
            has_next: false,
        });
    }
    // A pipelined request that has been read gets its response too.
    let has_pipelined = !connection.reader.is_empty();
    let keep_alive = exchange.keep_alive && (!closes_after_response || has_pipelined);
    client.phase_began_at = now;
    if !keep_alive {
        client.discard = Some(Discard::from(now));
    }
    let message = final_response(response, keep_alive);
    connection.write_queue.push(message);
    Some(FinishedExchange {
        exchange,
        has_next: keep_alive && has_pipelined,
    })
}

/// Appends the response of an exchange and the rejections of the dropped requests behind it, which end
/// the connection.
fn finish_with_rejections(
    connection: &mut Connection,
    response: &pb::Response,
    exchange: &ClientExchange,
    dropped: usize,
    now: Duration,
) {
    let message = final_response(response, exchange.keep_alive);
    connection.write_queue.push(message);
    // A client that announced its last request awaits no further response.
    let rejections = if exchange.keep_alive { dropped } else { 0 };
    for left in (0..rejections).rev() {
        connection.write_queue.push(memory_rejection(left > 0));
    }
    if let Role::Client(client) = &mut connection.role {
        client.phase_began_at = now;
        client.discard = Some(Discard::from(now));
    }
    connection.gate.resume();
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
    let has_begun =
        client.exchange.is_some() || connection.has_unwritten() || !connection.reader.is_empty();
    let is_new = !client.has_sent && now < connection.opened_at + NEW_CLIENT_GRACE_PERIOD;
    has_begun || is_new || !connection.gate.is_quiet(connection.fd)
}

#[cfg(test)]
mod tests;
