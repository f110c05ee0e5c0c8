//! The protocol on a node's connection: responses to attempts and health checks, one exchange at a
//! time.
//!
//! Functions over one [`Connection`], which the owner calls. State: [`NodeExchange`] of the
//! connection. No I/O.

use super::connection::{CloseReason, Connection, NodeExchange, Role};
use crate::http;
use crate::nodes;
use grebecleat_host::router::ConnId;
use grebecleat_wire::pb::{self, frame::Body};
use tracing::debug;

/// The status that stands for a response that cannot be read.
const BAD_GATEWAY: u16 = 502;

/// A complete response of a node.
pub(super) struct NodeAnswer {
    pub(super) body: Body,
    /// Whether the connection cannot carry another exchange.
    pub(super) is_last: bool,
}

/// Why a node's bytes are no response.
pub(super) enum AnswerError {
    /// They belong to no request. The router learns only that the connection is lost.
    Unexpected,
    /// They cannot be read.
    Malformed,
}

/// Reads a response; None: more bytes must come.
pub(super) fn read_answer(
    conn: ConnId,
    connection: &Connection,
) -> Result<Option<NodeAnswer>, AnswerError> {
    let Role::Node(exchange) = &connection.role else {
        return Ok(None);
    };
    if matches!(exchange, NodeExchange::Idle) {
        return Err(AnswerError::Unexpected);
    }
    let parsed = http::response(&connection.read_buffer).map_err(|error| {
        debug!(conn = conn.0, %error, "node response malformed");
        AnswerError::Malformed
    })?;
    let Some((response, used)) = parsed else {
        return Ok(None);
    };
    let body = match exchange {
        NodeExchange::Idle => return Err(AnswerError::Unexpected),
        NodeExchange::HealthCheck(probe) => health_check_result(*probe, response.status),
        NodeExchange::Attempt(attempt) => {
            Body::AttemptResponse(nodes::attempt_response(*attempt, &response))
        }
    };
    let is_partly_sent = connection.has_unwritten();
    // A response to an attempt that has not been sent completely belongs to another attempt, unless
    // it is a rejection.
    if is_partly_sent && !is_rejection(&body) {
        return Err(AnswerError::Unexpected);
    }
    let has_more = used < connection.read_buffer.len();
    Ok(Some(NodeAnswer {
        body,
        is_last: !response.keep_alive || has_more || is_partly_sent,
    }))
}

/// Returns the response that stands for a malformed one, which never becomes complete: its attempt
/// has run, and the connection cannot be used again.
///
/// Errors: no exchange has run on the connection, and the connection is to be closed.
pub(super) fn malformed_answer(connection: &Connection) -> Result<NodeAnswer, CloseReason> {
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
    Ok(NodeAnswer {
        body,
        is_last: true,
    })
}

/// Ends the exchange, and returns the messages for the router.
pub(super) fn finish_exchange(connection: &mut Connection, answer: NodeAnswer) -> Vec<Body> {
    connection.role = Role::Node(NodeExchange::Idle);
    connection.read_buffer = Vec::new();
    let mut messages = Vec::new();
    if answer.is_last {
        // The end of the connection comes first; otherwise it would get the next attempt.
        messages.push(Body::GoingAway(pb::GoingAway {}));
    }
    messages.push(answer.body);
    messages
}

fn is_rejection(body: &Body) -> bool {
    matches!(body, Body::AttemptResponse(response) if response.result() == pb::Result::Full)
}

/// Returns the result of a health check. A status other than 200 is a failure.
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
