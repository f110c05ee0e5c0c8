//! Attempts, health checks and their responses, as HTTP.
//!
//! Pure functions, which `run::owner::send` and `run::node_conn` call.

use crate::clients::SERVICE;
use crate::http::Response;
use bytes::Bytes;
use grebecleat_wire::pb;
use std::io::Write;

/// Appends the attempt as its node reads it. The attempt's `piece` is the head of the client's
/// request.
pub fn put_attempt(to: &mut Vec<u8>, attempt: &pb::Attempt) {
    to.extend_from_slice(&attempt.piece);
    // Writing to memory cannot fail.
    let _ = write!(
        to,
        "X-Remaining-Ms: {}\r\n\r\n",
        attempt.left_us.div_ceil(1000)
    );
    to.extend_from_slice(&attempt.data);
}

/// Appends a health check.
pub fn put_health_check(to: &mut Vec<u8>) {
    let _ = write!(to, "GET /health/live HTTP/1.1\r\nHost: {SERVICE}\r\n\r\n");
}

/// Returns a measurement in a header. A measurement that cannot be read counts as absent; the
/// response still counts.
fn measurement(response: &Response, header: &'static str) -> Option<f64> {
    let text = response.headers.one(header).ok().flatten()?;
    text.parse::<f64>()
        .ok()
        .filter(|value| value.is_finite() && *value >= 0.0)
}

/// Returns the meaning of a complete response for an attempt. Only a rejection proves that the
/// attempt never ran.
pub fn attempt_response(attempt: u64, response: &Response) -> pb::AttemptResponse {
    let rejected = matches!(response.headers.one("x-turned-away"), Ok(Some("1")));
    let result = match response.status {
        200 => pb::Result::Ok,
        503 | 504 if rejected => pb::Result::Full,
        _ => pb::Result::Error,
    };
    let data = if response.status == 200 {
        Bytes::copy_from_slice(&response.body)
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

/// Returns the meaning of a malformed or incomplete response for an attempt: the attempt has run.
pub fn failed_attempt_response(attempt: u64) -> pb::AttemptResponse {
    pb::AttemptResponse {
        attempt,
        result: pb::Result::Error.into(),
        ..pb::AttemptResponse::default()
    }
}

#[cfg(test)]
mod tests;
