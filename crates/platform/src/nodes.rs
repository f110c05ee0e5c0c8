//! Encodes attempts and health checks as HTTP requests to nodes, and interprets the responses.
//!
//! `run::owner::send` and `run::node_conn` call these functions, which perform no I/O.

use crate::clients::SERVICE;
use crate::http::{OutgoingMessage, Response};
use bytes::Bytes;
use grebecleat_wire::pb;

/// Returns the HTTP request of an attempt. The attempt's `piece` holds the request line and headers of
/// the client's request.
pub fn attempt_message(attempt: &pb::Attempt) -> OutgoingMessage {
    let mut head = attempt.piece.to_vec();
    let left_ms = attempt.left_us.div_ceil(1000);
    head.extend_from_slice(format!("X-Remaining-Ms: {left_ms}\r\n\r\n").as_bytes());
    OutgoingMessage {
        head,
        body: attempt.data.clone(),
    }
}

/// Returns the HTTP request of a health check.
pub fn health_check_message() -> OutgoingMessage {
    let head = format!("GET /health/live HTTP/1.1\r\nHost: {SERVICE}\r\n\r\n");
    OutgoingMessage {
        head: head.into_bytes(),
        body: Bytes::new(),
    }
}

/// Returns the measurement in a header. A malformed measurement is ignored, and does not make the
/// response invalid.
fn measurement(response: &Response, header: &'static str) -> Option<f64> {
    let text = response.headers.one(header).ok().flatten()?;
    text.parse::<f64>()
        .ok()
        .filter(|value| value.is_finite() && *value >= 0.0)
}

/// Returns the result of an attempt from its complete response. Only a rejection proves that the
/// attempt did not run.
pub fn attempt_response(attempt: u64, response: &Response) -> pb::AttemptResponse {
    let rejected = matches!(response.headers.one("x-turned-away"), Ok(Some("1")));
    let result = match response.status {
        200 => pb::Result::Ok,
        503 | 504 if rejected => pb::Result::Full,
        _ => pb::Result::Error,
    };
    let data = if response.status == 200 {
        Bytes::copy_from_slice(response.body)
    } else {
        Bytes::new()
    };
    pb::AttemptResponse {
        attempt,
        result: result.into(),
        reported: measurement(response, "x-iops-used"),
        others: measurement(response, "x-rho").unwrap_or(0.0),
        data,
        ..pb::AttemptResponse::default()
    }
}

/// Returns the result of an attempt whose response is malformed or incomplete. The attempt counts as
/// run.
pub fn failed_attempt_response(attempt: u64) -> pb::AttemptResponse {
    pb::AttemptResponse {
        attempt,
        result: pb::Result::Error.into(),
        ..pb::AttemptResponse::default()
    }
}

#[cfg(test)]
mod tests;
