//! A leg and the exchange with its node.

use crate::clients::SERVICE;
use crate::http::Response;
use bytes::Bytes;
use grebecleat_wire::pb;
use std::io::Write;

/// The leg as its node reads it. `piece` is the head that the client's exchange was given.
pub fn put_leg(to: &mut Vec<u8>, leg: &pb::Leg) {
    to.extend_from_slice(&leg.piece);
    // Writing to memory cannot fail.
    let _ = write!(to, "X-Remaining-Ms: {}\r\n\r\n", leg.left_us.div_ceil(1000));
    to.extend_from_slice(&leg.data);
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

/// What a whole answer says of a leg. Only a turned-away one proves that it never ran.
pub fn answer(leg: u64, r: &Response) -> pb::LegAnswer {
    let away = matches!(r.headers.one("x-turned-away"), Ok(Some("1")));
    let result = match r.status {
        200 => pb::Result::Ok,
        503 | 504 if away => pb::Result::Full,
        _ => pb::Result::Error,
    };
    pb::LegAnswer {
        leg,
        result: result.into(),
        reported: figure(r, "x-iops-used"),
        others: figure(r, "x-rho").unwrap_or(0.0),
        data: if r.status == 200 {
            Bytes::copy_from_slice(&r.body)
        } else {
            Bytes::new()
        },
        ..pb::LegAnswer::default()
    }
}

/// What is told of a leg whose answer is of no use: it has run.
pub fn spoilt(leg: u64) -> pb::LegAnswer {
    pb::LegAnswer {
        leg,
        result: pb::Result::Error.into(),
        ..pb::LegAnswer::default()
    }
}

#[cfg(test)]
mod tests;
