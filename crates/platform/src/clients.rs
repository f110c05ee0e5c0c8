//! Translation between a client's HTTP messages and the router's requests. Pure functions.
//!
//! [`RequestParser::parse`] translates a complete HTTP request into a request for the router, or
//! returns its fault; [`put_final`] translates a final response. A message that cannot be understood,
//! or that names something unknown, gets its response here and never becomes a request, so nothing of
//! it can reach a node. `run::request_intake` and `run::client_conn` call these functions.

mod fields;

use crate::config::{ClassProtocol, Config};
use crate::http::{self, HttpError, Request};
use bytes::Bytes;
use fields::{decimal, header_readings, hex16, path_readings, position, Placement};
use grebecleat_wire::pb;
use std::fmt::Write;
use std::time::Duration;

/// The path of the readiness check.
pub const READY: &str = "/health/ready";
/// The host name of nodes and discovery in a head.
pub const SERVICE: &str = "backend.local";
/// The largest number of bytes of a client's id. A larger value lets clients take memory; a smaller
/// one rejects requests.
const MAX_ID: usize = 512;

/// A parsed request of a client.
#[derive(Debug)]
pub enum ClientRequest {
    /// A readiness check.
    Ready,
    /// A request for a node.
    Submit {
        /// The id that the client sent.
        id: String,
        /// The request, without the id that the host assigns.
        submit: Box<pb::SubmitRequest>,
    },
}

/// Parses requests by the names that a deployment's settings declare.
#[derive(Debug)]
pub struct RequestParser {
    traffic_classes: Vec<ClassProtocol>,
    plans: Vec<String>,
    /// The largest number of units of one request.
    max_units: f64,
}

const fn bad_request(reason: &'static str) -> HttpError {
    HttpError {
        status: 400,
        reason,
    }
}

const UNKNOWN_PATH: HttpError = HttpError {
    status: 404,
    reason: "a path that is not known here",
};
const UNKNOWN_METHOD: HttpError = HttpError {
    status: 405,
    reason: "neither GET nor PUT",
};
const WRONG_METHOD: HttpError = HttpError {
    status: 405,
    reason: "a method that is not this path's",
};

/// The traffic class and the key that a request's path names.
struct Target {
    /// Index of the traffic class.
    traffic_class: usize,
    key: u64,
}

impl RequestParser {
    /// Returns the parser of a configuration.
    pub fn new(config: &Config) -> Self {
        let plans = config.settings.plans.iter();
        RequestParser {
            traffic_classes: config.traffic_classes.clone(),
            plans: plans.map(|plan| plan.name.clone()).collect(),
            max_units: config.settings.units.largest,
        }
    }

    /// Translates a complete HTTP request.
    ///
    /// Errors: the response to a request that cannot be understood, or that names something unknown.
    pub fn parse(&self, request: &Request) -> Result<ClientRequest, HttpError> {
        let path = request.target.split(['?', '#']).next().unwrap_or_default();
        if path == READY && request.method == "GET" {
            return Ok(ClientRequest::Ready);
        }
        if !matches!(request.method, "GET" | "PUT") {
            return Err(UNKNOWN_METHOD);
        }
        let write = request.method == "PUT";
        let target = self.target(path)?;
        let class = &self.traffic_classes[target.traffic_class];
        if class.write.is_some_and(|class_write| class_write != write) {
            return Err(WRONG_METHOD);
        }
        let id = client_id(request)?;
        let plan = self.plan(request)?;
        let left_ms = request.headers.one("x-remaining-ms")?.and_then(decimal);
        let left_ms = left_ms.ok_or(bad_request("X-Remaining-Ms is no span"))?;
        let placement = self.placement(request)?;
        let idempotency_key = request
            .headers
            .one("idempotency-key")?
            .filter(|key| !key.is_empty());
        if class.requires_key && idempotency_key.is_none() {
            return Err(bad_request("no Idempotency-Key"));
        }
        let submit = pb::SubmitRequest {
            piece: Bytes::from(node_head(request, id, idempotency_key, write)),
            traffic_class: target.traffic_class as u32,
            volume: placement.volume,
            shard: placement.shard,
            key: Some(target.key),
            units: placement.units,
            left_us: left_ms * 1000,
            write,
            data: Bytes::copy_from_slice(&request.body),
            plan: Some(plan as u32),
            hosts: Some(placement.hosts),
            ..pb::SubmitRequest::default()
        };
        Ok(ClientRequest::Submit {
            id: id.to_string(),
            submit: Box::new(submit),
        })
    }

    /// Returns the traffic class, which is the first part of the path, and the key, which is the
    /// last.
    fn target(&self, path: &str) -> Result<Target, HttpError> {
        let mut parts = path.strip_prefix('/').ok_or(UNKNOWN_PATH)?.split('/');
        let first = parts.next().ok_or(UNKNOWN_PATH)?;
        let last = parts.next_back().ok_or(UNKNOWN_PATH)?;
        let names = self.traffic_classes.iter().map(|class| class.name.as_str());
        let traffic_class = position(names, first.as_bytes(), || path_readings(first));
        let traffic_class = traffic_class.ok_or(UNKNOWN_PATH)?;
        let key = hex16(last).ok_or(bad_request("a path that does not end in 16 hex digits"))?;
        Ok(Target { traffic_class, key })
    }

    /// Returns the index of the plan.
    fn plan(&self, request: &Request) -> Result<usize, HttpError> {
        let value = request.headers.one_raw("x-qos-policy")?;
        let names = self.plans.iter().map(String::as_str);
        let plan = value.and_then(|value| position(names, value, || header_readings(value)));
        plan.ok_or(bad_request("X-Qos-Policy names no plan"))
    }

    fn placement(&self, request: &Request) -> Result<Placement, HttpError> {
        let text = request.headers.one("x-placement")?;
        let placement = text.and_then(Placement::parse);
        let placement = placement.ok_or(bad_request("X-Placement cannot be read"))?;
        if !(placement.units > 0.0 && placement.units <= self.max_units) {
            return Err(bad_request("X-Placement with units out of range"));
        }
        if placement.hosts == 0 {
            return Err(bad_request("X-Placement with no hosts"));
        }
        Ok(placement)
    }
}

fn client_id<'b>(request: &Request<'b>) -> Result<&'b str, HttpError> {
    let id = request.headers.one("x-txn")?;
    id.filter(|id| !id.is_empty() && id.len() <= MAX_ID)
        .ok_or(bad_request("no X-Txn"))
}

/// Returns the head of the request for the nodes, without its end.
fn node_head(request: &Request, id: &str, idempotency_key: Option<&str>, write: bool) -> String {
    let mut head = format!(
        "{} {} HTTP/1.1\r\nHost: {SERVICE}\r\nX-Txn: {id}\r\n",
        request.method, request.target
    );
    if let Some(key) = idempotency_key {
        let _ = write!(head, "Idempotency-Key: {key}\r\n");
    }
    if write || !request.body.is_empty() {
        let _ = write!(head, "Content-Length: {}\r\n", request.body.len());
    }
    head
}

/// Appends a final response, as the client reads it. The response to a failed request must differ
/// from the response to a rejected one.
pub fn put_final(to: &mut Vec<u8>, response: &pb::Response, keep_alive: bool) {
    match response.outcome() {
        pb::Outcome::Completed => http::put_response(to, 200, "", keep_alive, &response.data),
        pb::Outcome::Rejected => {
            let retry_after = response.retry_after_us.map(Duration::from_micros);
            let header = retry_after.map_or(String::new(), |after| {
                format!("Retry-After: {:.3}\r\n", after.as_secs_f64())
            });
            http::put_response(to, 503, &header, keep_alive, b"");
        }
        _ => http::put_response(to, 502, "", keep_alive, b""),
    }
}

#[cfg(test)]
mod tests;
