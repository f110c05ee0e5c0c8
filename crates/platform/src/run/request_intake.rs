//! Reads and numbers the requests of clients, and rejects ids that are in use.
//!
//! The owner holds the [`RequestIntake`]: the ids in use ([`ClientIds`]) and the number of the last
//! request. The number of ids is bounded by the open requests and the outstanding attempts.

use super::client_ids::ClientIds;
use super::connection::ClientExchange;
use crate::clients::{ClientRequest, RequestParser};
use crate::config::Config;
use crate::http::{HttpError, MessageReader};
use bytes::Bytes;
use grebecleat_wire::clock;
use grebecleat_wire::pb;
use std::time::Duration;

/// The response to a request whose id is in use.
const DUPLICATE_ID: HttpError = HttpError {
    status: 409,
    reason: "X-Txn: id is in use by an open request",
};

/// A request that a client has sent.
pub(super) struct ParsedRequest {
    pub(super) request: ClientRequest,
    /// Whether the client keeps the connection open for another request.
    pub(super) keep_alive: bool,
}

/// Parses, checks and numbers the requests of clients.
pub(super) struct RequestIntake {
    parser: RequestParser,
    ids: ClientIds,
    /// Number of requests admitted since the start, from which their ids are derived.
    received: u64,
}

impl RequestIntake {
    pub(super) fn new(config: &Config) -> Self {
        RequestIntake {
            parser: RequestParser::new(config),
            ids: ClientIds::default(),
            received: 0,
        }
    }

    /// Reads a request. Returns `None` if it is incomplete, and an error, which is the response to the
    /// client, if it is invalid.
    pub(super) fn read(
        &self,
        reader: &mut MessageReader,
    ) -> Result<Option<ParsedRequest>, HttpError> {
        let Some(request) = reader.read_request()? else {
            return Ok(None);
        };
        let keep_alive = request.keep_alive;
        let request = self.parser.parse(&request)?;
        Ok(Some(ParsedRequest {
            request,
            keep_alive,
        }))
    }

    /// Returns an error, which is the response to the client, if the id is in use.
    pub(super) fn check_id(&self, client_id: &str) -> Result<(), HttpError> {
        if self.ids.contains(client_id) {
            return Err(DUPLICATE_ID);
        }
        Ok(())
    }

    /// Assigns an id to a request and records the client's id. During a shutdown, `last_response_at` is the
    /// time of the last responses, to which the request's remaining time is limited.
    pub(super) fn admit(
        &mut self,
        client_id: &str,
        submit: &mut pb::SubmitRequest,
        at: Duration,
        last_response_at: Option<Duration>,
    ) {
        self.received += 1;
        if let Some(last_response_at) = last_response_at {
            let left = last_response_at.saturating_sub(at);
            submit.left_us = submit.left_us.min(clock::micros(left));
        }
        submit.id = Bytes::from(format!("{:036x}", self.received));
        self.ids.insert(client_id.to_string());
    }

    /// Frees the id of an exchange that has ended for its client. If `is_open` is set, an attempt of
    /// its request is outstanding, and the id stays in use.
    pub(super) fn release(&mut self, exchange: ClientExchange, is_open: bool) {
        self.ids.release(exchange, is_open);
    }

    /// Frees the ids of requests that have ended since the last sweep.
    pub(super) fn sweep(&mut self, is_open: impl Fn(&Bytes) -> bool) {
        self.ids.sweep(is_open);
    }
}
