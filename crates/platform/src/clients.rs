//! Translation between a client's HTTP messages and the router's requests, without I/O.
//!
//! [`RequestParser::parse`] translates a complete HTTP request into a request for the router, or
//! returns the HTTP error to respond with; [`final_response`] encodes the router's final response. A
//! malformed message, or one that names an unknown class or plan, is rejected here, so no part of it
//! reaches a node. `run::request_intake` and `run::client_conn` call these functions.

mod fields;

use crate::config::{ClassProtocol, Config};
use crate::http::{self, HttpError, OutgoingMessage, Request};
use bytes::Bytes;
use fields::{decimal, header_decodings, hex16, path_decodings, position, Placement};
use grebecleat_wire::pb;
use std::fmt::Write;
use std::time::Duration;

/// The path of the readiness check.
pub const READINESS_PATH: &str = "/health/ready";
/// The value of the `Host` header in requests to nodes and to discovery.
pub const SERVICE: &str = "backend.local";
/// Maximum length in bytes of the request id that a client sends. A larger value lets clients take
/// more memory; a smaller one rejects more requests.
const MAX_CLIENT_ID_BYTES: usize = 512;
/// The Retry-After of a request that is rejected to free memory, as of any overloaded host.
const RETRY_MEMORY: Duration = Duration::from_millis(250);

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

/// Parses requests, and looks up the names of traffic classes and plans in the settings.
#[derive(Debug)]
pub struct RequestParser {
    traffic_classes: Vec<ClassProtocol>,
    plans: Vec<String>,
    /// Maximum size of one request, in units.
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
    reason: "unknown path",
};
const UNSUPPORTED_METHOD: HttpError = HttpError {
    status: 405,
    reason: "method is neither GET nor PUT",
};
const METHOD_NOT_ALLOWED: HttpError = HttpError {
    status: 405,
    reason: "method is not allowed for this traffic class",
};

/// The traffic class and the key that a request's path names.
struct RequestTarget {
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
    /// Returns an error, which is the response to the client, if the request is malformed or names an
    /// unknown path, class or plan.
    pub fn parse(&self, request: &Request) -> Result<ClientRequest, HttpError> {
        let path = request.target.split(['?', '#']).next().unwrap_or_default();
        if path == READINESS_PATH && request.method == "GET" {
            return Ok(ClientRequest::Ready);
        }
        if !matches!(request.method, "GET" | "PUT") {
            return Err(UNSUPPORTED_METHOD);
        }
        let write = request.method == "PUT";
        let target = self.target(path)?;
        let class = &self.traffic_classes[target.traffic_class];
        if class.write.is_some_and(|class_write| class_write != write) {
            return Err(METHOD_NOT_ALLOWED);
        }
        let id = client_id(request)?;
        let plan = self.plan(request)?;
        let left_ms = request.headers.one("x-remaining-ms")?.and_then(decimal);
        let left_ms = left_ms.ok_or(bad_request("X-Remaining-Ms: expected milliseconds"))?;
        let placement = self.placement(request)?;
        let idempotency_key = request
            .headers
            .one("idempotency-key")?
            .filter(|key| !key.is_empty());
        if class.requires_key && idempotency_key.is_none() {
            return Err(bad_request("Idempotency-Key: missing"));
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
            data: Bytes::copy_from_slice(request.body),
            plan: Some(plan as u32),
            hosts: Some(placement.hosts),
            ..pb::SubmitRequest::default()
        };
        Ok(ClientRequest::Submit {
            id: id.to_string(),
            submit: Box::new(submit),
        })
    }

    /// Returns the traffic class, which the first segment of the path names, and the key, which is the
    /// last segment.
    fn target(&self, path: &str) -> Result<RequestTarget, HttpError> {
        let mut parts = path.strip_prefix('/').ok_or(UNKNOWN_PATH)?.split('/');
        let first = parts.next().ok_or(UNKNOWN_PATH)?;
        let last = parts.next_back().ok_or(UNKNOWN_PATH)?;
        let names = self.traffic_classes.iter().map(|class| class.name.as_str());
        let traffic_class = position(names, first.as_bytes(), || path_decodings(first));
        let traffic_class = traffic_class.ok_or(UNKNOWN_PATH)?;
        let key = hex16(last).ok_or(bad_request("path: expected 16 hex digits at its end"))?;
        Ok(RequestTarget { traffic_class, key })
    }

    /// Returns the index of the plan.
    fn plan(&self, request: &Request) -> Result<usize, HttpError> {
        let value = request.headers.one_raw("x-qos-policy")?;
        let names = self.plans.iter().map(String::as_str);
        let plan = value.and_then(|value| position(names, value, || header_decodings(value)));
        plan.ok_or(bad_request("X-Qos-Policy: missing or not a plan"))
    }

    fn placement(&self, request: &Request) -> Result<Placement, HttpError> {
        let text = request.headers.one("x-placement")?;
        let placement = text.and_then(Placement::parse);
        let placement = placement.ok_or(bad_request("X-Placement: missing or malformed"))?;
        if !(placement.units > 0.0 && placement.units <= self.max_units) {
            return Err(bad_request("X-Placement: units out of range"));
        }
        if placement.hosts == 0 {
            return Err(bad_request("X-Placement: hosts is 0, expected at least 1"));
        }
        Ok(placement)
    }
}

fn client_id<'b>(request: &Request<'b>) -> Result<&'b str, HttpError> {
    let id = request.headers.one("x-txn")?;
    id.filter(|id| !id.is_empty() && id.len() <= MAX_CLIENT_ID_BYTES)
        .ok_or(bad_request("X-Txn: missing, empty or too long"))
}

/// Returns the request line and the headers of the request for the node, without the empty line that
/// ends them: each attempt appends a header of its own.
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

/// Returns the HTTP form of a final response. A rejected request gets status 503 and a failed one 502,
/// since clients must be able to tell them apart.
pub fn final_response(response: &pb::Response, keep_alive: bool) -> OutgoingMessage {
    match response.outcome() {
        pb::Outcome::Completed => {
            http::response_message(200, "", keep_alive, response.data.clone())
        }
        pb::Outcome::Rejected => {
            let retry_after = response.retry_after_us.map(Duration::from_micros);
            let header = retry_after.map_or(String::new(), retry_after_header);
            http::response_message(503, &header, keep_alive, Bytes::new())
        }
        _ => http::response_message(502, "", keep_alive, Bytes::new()),
    }
}

/// Returns the rejection of a request that was dropped, or is not received further, to free memory.
pub fn memory_rejection(keep_alive: bool) -> OutgoingMessage {
    let header = retry_after_header(RETRY_MEMORY);
    http::response_message(503, &header, keep_alive, Bytes::new())
}

fn retry_after_header(after: Duration) -> String {
    format!("Retry-After: {:.3}\r\n", after.as_secs_f64())
}

#[cfg(test)]
mod tests;
