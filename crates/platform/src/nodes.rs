//! An attempt and the exchange with its node.

use crate::clients::SERVICE;
use crate::http::Response;
use bytes::Bytes;
use grebecleat_wire::pb;
use std::io::Write;

/// The attempt as its node reads it. `piece` is the head that the client's exchange was given.
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

pub fn put_probe(to: &mut Vec<u8>) {
    let _ = write!(to, "GET /health/live HTTP/1.1\r\nHost: {SERVICE}\r\n\r\n");
}

/// A figure that cannot be read is absent; the answer still counts.
fn figure(r: &Response, name: &'static str) -> Option<f64> {
    let text = r.headers.one(name).ok().flatten()?;
    text.parse::<f64>()
        .ok()
        .filter(|n| n.is_finite() && *n >= 0.0)
}

/// What a whole answer says of an attempt. Only a turned-away one proves that it never ran.
pub fn answer(attempt: u64, r: &Response) -> pb::AttemptResponse {
    let away = matches!(r.headers.one("x-turned-away"), Ok(Some("1")));
    let result = match r.status {
        200 => pb::Result::Ok,
        503 | 504 if away => pb::Result::Full,
        _ => pb::Result::Error,
    };
    pb::AttemptResponse {
        attempt,
        result: result.into(),
        reported: figure(r, "x-iops-used"),
        others: figure(r, "x-rho").unwrap_or(0.0),
        data: if r.status == 200 {
            Bytes::copy_from_slice(&r.body)
        } else {
            Bytes::new()
        },
        ..pb::AttemptResponse::default()
    }
}

/// What is told of an attempt whose answer is of no use: it has run.
pub fn spoilt(attempt: u64) -> pb::AttemptResponse {
    pb::AttemptResponse {
        attempt,
        result: pb::Result::Error.into(),
        ..pb::AttemptResponse::default()
    }
}

#[cfg(test)]
mod tests;
