//! Connections to nodes: answers to attempts and health checks, one exchange at a time.
//!
//! State: [`NodeExchange`] of each connection. Bounds: answers beyond [`SMALL_ANSWER`] only within
//! the memory that open requests may take.

use super::{frame, Owner};
use crate::http;
use crate::nodes;
use crate::run::connection::{CloseReason, Connection, NodeExchange, Role};
use grebecleat_host::router::{ConnId, Input};
use grebecleat_wire::clock;
use grebecleat_wire::pb::{self, frame::Body};
use std::time::Duration;

/// An answer may take more memory than this only while all that are being read take no more than
/// their part.
const SMALL_ANSWER: usize = 64 << 10;
/// The status that stands for an answer that cannot be read.
const BAD_GATEWAY: u16 = 502;

/// A complete answer of a node.
struct NodeAnswer {
    body: Body,
    /// The connection cannot carry another exchange.
    is_last: bool,
}

/// Why a node's bytes are no answer.
enum AnswerError {
    /// They answer nothing that was sent; the router learns only that the connection is gone.
    Unexpected,
    /// They cannot be read.
    Malformed,
}

/// None: more must come.
fn read_answer(
    conn: ConnId,
    connection: &Connection,
    exchange: &NodeExchange,
) -> Result<Option<NodeAnswer>, AnswerError> {
    if matches!(exchange, NodeExchange::Idle) {
        return Err(AnswerError::Unexpected);
    }
    let parsed = http::response(&connection.read_buffer).map_err(|error| {
        tracing::debug!(conn = conn.0, "node: {error}");
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
    let partly_sent = connection.has_unwritten();
    // What answers an attempt that has not been sent completely is meant for another, unless it is
    // a rejection.
    if partly_sent && !is_rejection(&body) {
        return Err(AnswerError::Unexpected);
    }
    let has_more = used < connection.read_buffer.len();
    Ok(Some(NodeAnswer {
        body,
        is_last: !response.keep_alive || has_more || partly_sent,
    }))
}

fn is_rejection(body: &Body) -> bool {
    matches!(body, Body::AttemptResponse(response) if response.result() == pb::Result::Full)
}

/// A status other than 200 is a failed check.
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

impl Owner {
    pub(super) fn handle_node_bytes(&mut self, conn: ConnId, at: Duration, bytes: &[u8]) {
        let Some(connection) = self.connections.get_mut(&conn) else {
            return;
        };
        connection.last_read_at = at;
        connection.read_buffer.extend_from_slice(bytes);
        let is_large = connection.read_buffer.len() > SMALL_ANSWER;
        if is_large && self.node_bytes() > self.config.settings.bounds.max_held_bytes {
            return self.answer_malformed(conn);
        }
        self.handle_node_answer(conn, at);
    }

    fn handle_node_answer(&mut self, conn: ConnId, at: Duration) {
        let Some(connection) = self.connections.get(&conn) else {
            return;
        };
        let Role::Node(exchange) = &connection.role else {
            return;
        };
        match read_answer(conn, connection, exchange) {
            Ok(None) => {}
            Ok(Some(answer)) => self.finish_exchange(conn, answer, at),
            Err(AnswerError::Unexpected) => {
                self.connection_lost(conn, CloseReason::UnexpectedBytes)
            }
            Err(AnswerError::Malformed) => self.answer_malformed(conn),
        }
    }

    /// Reports to the router how an exchange with a node ended, and that the connection goes, where
    /// it does.
    fn finish_exchange(&mut self, conn: ConnId, answer: NodeAnswer, at: Duration) {
        let Some(connection) = self.connections.get_mut(&conn) else {
            return;
        };
        let Role::Node(exchange) = &mut connection.role else {
            return;
        };
        *exchange = NodeExchange::Idle;
        connection.read_buffer = Vec::new();
        let mut frames = Vec::new();
        if answer.is_last {
            // That it goes comes first, or the next attempt would be given to it.
            frames.push(frame(Body::GoingAway(pb::GoingAway {}), at));
        }
        frames.push(frame(answer.body, at));
        self.inputs.push(Input::NodeFrames { conn, at, frames });
        if answer.is_last {
            self.connection_lost(conn, CloseReason::AnsweredLast);
        }
    }

    /// Bytes of answers that are being read.
    fn node_bytes(&self) -> usize {
        let nodes = self
            .connections
            .values()
            .filter(|connection| matches!(connection.role, Role::Node(_)));
        nodes.map(|connection| connection.read_buffer.len()).sum()
    }

    /// An answer that will never be complete: what it was for has run, and the connection is of no
    /// further use.
    pub(super) fn answer_malformed(&mut self, conn: ConnId) {
        let Some(connection) = self.connections.get(&conn) else {
            return;
        };
        let Role::Node(exchange) = &connection.role else {
            return;
        };
        if connection.has_unwritten() {
            // Its request has not been sent completely, so it has not run.
            return self.connection_lost(conn, CloseReason::BadAnswer);
        }
        let body = match *exchange {
            NodeExchange::Attempt(attempt) => {
                Body::AttemptResponse(nodes::failed_attempt_response(attempt))
            }
            NodeExchange::HealthCheck(probe) => health_check_result(probe, BAD_GATEWAY),
            NodeExchange::Idle => return self.connection_lost(conn, CloseReason::UnexpectedBytes),
        };
        let answer = NodeAnswer {
            body,
            is_last: true,
        };
        self.finish_exchange(conn, answer, clock::now());
    }
}
