//! Connections to discovery: carries calls and responses between the sockets and
//! [`grebecleat_discovery::long_polling`], which decides about them.
//!
//! State: whether discovery has responded since the start, and whether there was an endpoint list
//! from before the start.

use super::{frame, unix_ms, Owner};
use crate::clients::SERVICE;
use crate::discovery::{self, DiscoveryError, EndpointNames, ReadEndpoints};
use crate::http;
use crate::run::connection::{CloseReason, Role};
use grebecleat_discovery::calls::{Call, OutstandingCall};
use grebecleat_discovery::long_polling::{
    Action as PollingAction, Event as PollingEvent, PollConn, Response,
};
use grebecleat_host::router::{ConnId, Input};
use grebecleat_wire::clock;
use grebecleat_wire::pb::{self, frame::Body};
use tracing::{debug, info};

/// The status with which discovery refuses a call that would be queued, or has been queued, for too
/// long.
const TOO_MANY_CALLERS: u16 = 503;

/// A complete response of discovery.
struct DiscoveryResponse {
    endpoints: ReadEndpoints,
    /// Whether another call may follow on the connection.
    keep_alive: bool,
}

impl DiscoveryResponse {
    /// Returns what the calls depend on.
    fn summary(&self) -> Response {
        let list = &self.endpoints.list;
        Response {
            revision: self.endpoints.revision,
            is_complete: list.kind() == pb::EndpointUpdateKind::Snapshot,
            is_well_formed: self.endpoints.malformed == 0,
            is_empty: list.endpoints.is_empty(),
            keep_alive: self.keep_alive,
        }
    }
}

/// Reads a response; None: more bytes must come.
fn read_response(
    bytes: &[u8],
    names: &mut EndpointNames,
) -> Result<Option<DiscoveryResponse>, DiscoveryError> {
    let Some((response, used)) = http::response_up_to(bytes, http::MAX_LIST)? else {
        return Ok(None);
    };
    if response.status != 200 {
        return Err(DiscoveryError::Status(response.status));
    }
    Ok(Some(DiscoveryResponse {
        endpoints: names.read(&response.body, unix_ms())?,
        keep_alive: response.keep_alive && used == bytes.len(),
    }))
}

impl Owner {
    /// Reads the endpoint list as the platform last saw it here. Ignores a list that cannot be read.
    pub(super) fn load_cached_endpoints(&mut self) {
        let Some(cached) = self.config.cached_endpoints.take() else {
            return;
        };
        match self.endpoint_names.read(&cached, unix_ms()) {
            Ok(read) => {
                self.has_cached_endpoints = !read.list.endpoints.is_empty();
                if self.has_cached_endpoints {
                    self.step_polling(PollingEvent::Cached {
                        revision: read.revision,
                        is_well_formed: read.malformed == 0,
                    });
                }
                self.inputs.push(Input::CachedEndpoints { list: read.list });
            }
            Err(error) => {
                if self.may_log() {
                    info!(%error, "cached endpoint list ignored");
                }
            }
        }
    }

    pub(super) fn step_polling(&mut self, event: PollingEvent) {
        for action in self.polling.step(clock::now(), event) {
            self.perform_polling(action);
        }
    }

    fn perform_polling(&mut self, action: PollingAction) {
        match action {
            PollingAction::Call { conn, call } => self.send_call(ConnId(conn.0), call),
            PollingAction::ReportOverdue { conn } => {
                let conn = ConnId(conn.0);
                self.inputs.push(Input::DiscoveryOverdue { conn });
            }
            PollingAction::ReportRefused {
                conn,
                waited,
                up_to_date,
            } => self.inputs.push(Input::DiscoveryRefused {
                conn: ConnId(conn.0),
                waited,
                up_to_date,
            }),
            PollingAction::End { conn } => {
                let conn = ConnId(conn.0);
                self.inputs.push(Input::DiscoveryEnded { conn });
                self.close(conn, CloseReason::AnsweredLast);
            }
            PollingAction::Drop { conn } => {
                self.connection_lost(ConnId(conn.0), CloseReason::AnsweredLast)
            }
        }
    }

    fn send_call(&mut self, conn: ConnId, call: Call) {
        let Some(connection) = self.connections.get_mut(&conn) else {
            return;
        };
        debug!(
            conn = conn.0,
            call = call.kind(),
            known_revision = call.known_revision(),
            wait_ms = call.wait().as_millis() as u64,
            "discovery call"
        );
        connection
            .write_buffer
            .extend_from_slice(&discovery::call(SERVICE, call));
        self.flush(conn);
    }

    pub(super) fn handle_discovery_bytes(&mut self, conn: ConnId) {
        let Some(connection) = self.connections.get_mut(&conn) else {
            return;
        };
        if !matches!(connection.role, Role::Discovery) {
            return;
        }
        let Some(outstanding) = self.polling.outstanding(PollConn(conn.0)) else {
            return self.connection_lost(conn, CloseReason::UnexpectedBytes);
        };
        let bytes = connection.read_buffer.len();
        let response = match read_response(&connection.read_buffer, &mut self.endpoint_names) {
            Ok(None) => return,
            Ok(Some(response)) => Ok(response),
            Err(error) => Err(error),
        };
        connection.read_buffer = Vec::new();
        match response {
            Ok(response) => {
                let elapsed = clock::now().saturating_sub(outstanding.begun);
                debug!(
                    conn = conn.0,
                    call = outstanding.call.kind(),
                    known_revision = outstanding.call.known_revision(),
                    elapsed_ms = elapsed.as_millis() as u64,
                    bytes,
                    revision = response.endpoints.revision,
                    entries = response.endpoints.list.endpoints.len(),
                    "discovery response"
                );
                self.take_endpoints(conn, response)
            }
            Err(error) => self.response_unusable(conn, outstanding, bytes, &error),
        }
    }

    fn response_unusable(
        &mut self,
        conn: ConnId,
        outstanding: OutstandingCall,
        bytes: usize,
        error: &DiscoveryError,
    ) {
        if self.may_log() {
            let elapsed = clock::now().saturating_sub(outstanding.begun);
            info!(
                conn = conn.0,
                call = outstanding.call.kind(),
                known_revision = outstanding.call.known_revision(),
                elapsed_ms = elapsed.as_millis() as u64,
                bytes,
                %error,
                "discovery response unusable"
            );
        }
        if matches!(error, DiscoveryError::Status(TOO_MANY_CALLERS)) {
            let conn = PollConn(conn.0);
            self.step_polling(PollingEvent::Refused { conn });
        }
        self.connection_lost(conn, CloseReason::BadAnswer);
    }

    fn take_endpoints(&mut self, conn: ConnId, response: DiscoveryResponse) {
        let summary = response.summary();
        let endpoints = response.endpoints;
        self.discovery_answered = true;
        let frames = vec![frame(Body::EndpointUpdate(endpoints.list), clock::now())];
        self.inputs.push(Input::DiscoveryFrames { conn, frames });
        if endpoints.malformed > 0 && self.may_log() {
            let entries = endpoints.malformed;
            info!(entries, "endpoint list entries unreadable, ignored");
        }
        let conn = PollConn(conn.0);
        self.step_polling(PollingEvent::Answered {
            conn,
            response: summary,
        });
    }
}
