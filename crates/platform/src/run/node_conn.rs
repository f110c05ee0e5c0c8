//! The protocol on a node's connection: responses to attempts and health checks, one exchange at a
//! time.
//!
//! The owner calls these functions with one [`Connection`], whose [`NodeExchange`] they change. They
//! perform no I/O.

use super::connection::{CloseReason, Connection, NodeExchange, Role};
use crate::nodes;
use grebecleat_host::router::ConnId;
use grebecleat_wire::pb::{self, frame::Body};
use tracing::debug;

/// The status that replaces the one of a malformed response.
const BAD_GATEWAY: u16 = 502;

/// A complete response of a node.
pub(super) struct NodeResponse {
    pub(super) body: Body,
    /// Whether the connection cannot carry another exchange.
    pub(super) is_last: bool,
}

/// Why the bytes of a node cannot be treated as a response.
pub(super) enum ResponseError {
    /// They are no response to the open exchange. The router is told only that the connection is lost.
    Unexpected,
    /// They are not a valid response.
    Malformed,
}

/// Parses the response to the open exchange. Returns `None` if it is incomplete.
pub(super) fn parse_response(
    conn: ConnId,
    connection: &mut Connection,
) -> Result<Option<NodeResponse>, ResponseError> {
    let is_partly_sent = connection.has_unwritten();
    let Role::Node(exchange) = &connection.role else {
        return Ok(None);
    };
    if matches!(exchange, NodeExchange::Idle) {
        return Err(ResponseError::Unexpected);
    }
    let parsed = connection.reader.read_response().map_err(|error| {
        debug!(conn = conn.0, %error, "node response malformed");
        ResponseError::Malformed
    })?;
    let Some(response) = parsed else {
        return Ok(None);
    };
    let body = match exchange {
        NodeExchange::Idle => return Err(ResponseError::Unexpected),
        NodeExchange::HealthCheck(probe) => health_check_result(*probe, response.status),
        NodeExchange::Attempt(attempt) => {
            Body::AttemptResponse(nodes::attempt_response(*attempt, &response))
        }
    };
    let keep_alive = response.keep_alive;
    // A node may reject an attempt before it has received all of it. Any other response to an attempt
    // that has not been sent completely belongs to another attempt.
    if is_partly_sent && !is_rejection(&body) {
        return Err(ResponseError::Unexpected);
    }
    let has_more = connection.reader.bytes_behind() > 0;
    Ok(Some(NodeResponse {
        body,
        is_last: !keep_alive || has_more || is_partly_sent,
    }))
}

/// Returns the response that replaces a malformed or incomplete one: the attempt counts as run, and the
/// connection cannot be used again.
///
/// Returns an error if no request was sent completely on the connection; the connection must then be
/// closed.
pub(super) fn malformed_response(connection: &Connection) -> Result<NodeResponse, CloseReason> {
    if connection.has_unwritten() {
        // The request has not been sent completely, so the attempt has not run.
        return Err(CloseReason::BadAnswer);
    }
    let body = match connection.role {
        Role::Node(NodeExchange::Attempt(attempt)) => {
            Body::AttemptResponse(nodes::failed_attempt_response(attempt))
        }
        Role::Node(NodeExchange::HealthCheck(probe)) => health_check_result(probe, BAD_GATEWAY),
        _ => return Err(CloseReason::UnexpectedBytes),
    };
    Ok(NodeResponse {
        body,
        is_last: true,
    })
}

/// Ends the exchange and returns the messages for the router.
pub(super) fn finish_exchange(connection: &mut Connection, response: NodeResponse) -> Vec<Body> {
    connection.role = Role::Node(NodeExchange::Idle);
    connection.reader.clear();
    let mut messages = Vec::new();
    if response.is_last {
        // This message comes first; otherwise the router could assign the next attempt to this
        // connection.
        messages.push(Body::GoingAway(pb::GoingAway {}));
    }
    messages.push(response.body);
    messages
}

fn is_rejection(body: &Body) -> bool {
    matches!(body, Body::AttemptResponse(response) if response.result() == pb::Result::Full)
}

/// Returns the result of a health check from the status of its response: only 200 is a success.
pub(super) fn health_check_result(probe: u64, status: u16) -> Body {
    let result = if status == 200 {
        pb::Result::Ok
    } else {
        pb::Result::Error
    };
    Body::HealthCheckResult(pb::HealthCheckResult {
        probe,
        result: result.into(),
    })
}
