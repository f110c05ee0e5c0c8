//! Processes messages received from clients, nodes and discovery: the owner passes them to the
//! connection's protocol and performs the result.

use super::{frame, Owner};
use crate::clients::ClientRequest;
use crate::clients::SERVICE;
use crate::discovery::{self, DiscoveryError};
use crate::http::{HttpError, OutgoingMessage};
use crate::run::client_conn;
use crate::run::connection::{ClientExchange, ClientState, CloseReason, Role};
use crate::run::discovery_port::{is_refusal, DiscoveryResponse};
use crate::run::input_schedule::Turn;
use crate::run::node_conn::{self, NodeResponse, ResponseError};
use crate::run::owner_time::Activity;
use crate::run::reader::ReadGate;
use crate::run::request_intake::ParsedRequest;
use crate::run::socket::{pending_input, PendingInput};
use bytes::Bytes;
use grebecleat_discovery::calls::{Call, OutstandingCall};
use grebecleat_discovery::long_polling::{
    Action as PollingAction, Event as PollingEvent, PollConn,
};
use grebecleat_host::router::{request_label, ConnId, Input};
use grebecleat_wire::clock;
use grebecleat_wire::pb::{self, frame::Body};
use std::os::fd::RawFd;
use std::sync::Arc;
use std::time::Duration;
use tracing::{debug, info, warn};

impl Owner {
    pub(super) fn client_accepted(&mut self, conn: ConnId, fd: RawFd, gate: Arc<ReadGate>) {
        let now = clock::now();
        self.last_accepted = conn;
        let role = Role::Client(ClientState::new(now));
        let outbox = self.connections.add(conn, role, fd, gate, now);
        self.inputs.push(Input::ClientUp { conn, outbox });
    }

    /// Reads and processes the requests of a client that have arrived, up to the first one that awaits
    /// its final response. Returns whether the turn ended before the last of them. Does nothing for other
    /// connections.
    pub(super) fn advance_client(&mut self, turn: &mut Turn) -> bool {
        let conn = turn.conn();
        loop {
            let Some(connection) = self.connections.get_mut(conn) else {
                return false;
            };
            if !client_conn::may_parse(connection) {
                return false;
            }
            if turn.is_spent() {
                return true;
            }
            let at = client_conn::request_received_at(connection);
            let began_at = clock::now();
            let parsed = self.intake.read(&mut connection.reader);
            self.spent_since(Activity::Parsing, began_at);
            let Some(parsed) = parsed.transpose() else {
                return false;
            };
            turn.charge_message();
            match parsed {
                Err(error) => self.reject(conn, &error),
                Ok(ParsedRequest {
                    request,
                    keep_alive,
                }) => match request {
                    ClientRequest::Ready => self.respond_to_readiness_check(conn, at, keep_alive),
                    ClientRequest::Submit { id, submit } => {
                        self.submit(conn, at, id, *submit, keep_alive)
                    }
                },
            }
        }
    }

    fn respond_to_readiness_check(&mut self, conn: ConnId, at: Duration, keep_alive: bool) {
        let is_ready = self.discovery.is_ready();
        let Some(connection) = self.connections.get_mut(conn) else {
            return;
        };
        client_conn::respond_to_readiness_check(connection, at, is_ready, keep_alive);
        self.flush(conn);
    }

    fn submit(
        &mut self,
        conn: ConnId,
        at: Duration,
        client_id: String,
        mut submit: pb::SubmitRequest,
        keep_alive: bool,
    ) {
        let Some(connection) = self.connections.get_mut(conn) else {
            return;
        };
        let Role::Client(client) = &connection.role else {
            return;
        };
        // A client that was accepted after a long wait in the listener's queue may have left already.
        if client_conn::is_first_exchange(connection, client)
            && pending_input(connection.fd) == PendingInput::End
        {
            return self.connection_lost(conn, CloseReason::ClientDeparted);
        }
        if let Err(error) = self.intake.check_id(&client_id) {
            return self.reject(conn, &error);
        }
        let last_response_at = self.shutdown.last_response_at();
        self.intake
            .admit(&client_id, &mut submit, at, last_response_at);
        debug!(
            request_id = request_label(&submit.id),
            client_id,
            conn = conn.0,
            class = submit.traffic_class,
            shard = submit.shard,
            left_ms = submit.left_us / 1000,
            "request received"
        );
        let exchange = ClientExchange {
            client_id,
            request_id: submit.id.clone(),
            keep_alive,
            bytes: submit.piece.len() + submit.data.len(),
        };
        client_conn::begin_exchange(connection, exchange);
        let frames = vec![frame(Body::SubmitRequest(submit), at)];
        self.inputs.push(Input::ClientFrames { conn, at, frames });
    }

    /// Responds to a client with an error, which is the last response on the connection.
    pub(super) fn reject(&mut self, conn: ConnId, error: &HttpError) {
        let Some(connection) = self.connections.get_mut(conn) else {
            return;
        };
        client_conn::reject(connection, clock::now(), error);
        debug!(conn = conn.0, status = error.status, %error, "client request rejected");
        self.flush(conn);
    }

    pub(super) fn handle_node_bytes(&mut self, turn: &mut Turn, at: Duration) {
        let conn = turn.conn();
        let Some(connection) = self.connections.get_mut(conn) else {
            return;
        };
        let began_at = clock::now();
        let parsed = node_conn::parse_response(conn, connection);
        self.spent_since(Activity::Parsing, began_at);
        match parsed {
            Ok(None) => {}
            Ok(Some(response)) => {
                turn.charge_message();
                self.finish_node_exchange(conn, response, at);
            }
            Err(ResponseError::Unexpected) => {
                self.connection_lost(conn, CloseReason::UnexpectedBytes)
            }
            Err(ResponseError::Malformed) => self.finish_malformed_exchange(conn),
        }
    }

    /// Ends an exchange whose response is malformed or will never be complete.
    pub(super) fn finish_malformed_exchange(&mut self, conn: ConnId) {
        let Some(connection) = self.connections.get(conn) else {
            return;
        };
        match node_conn::malformed_response(connection) {
            Ok(response) => self.finish_node_exchange(conn, response, clock::now()),
            Err(reason) => self.connection_lost(conn, reason),
        }
    }

    /// Reports the end of an exchange with a node to the router, and closes the connection if it cannot
    /// carry another exchange.
    fn finish_node_exchange(&mut self, conn: ConnId, response: NodeResponse, at: Duration) {
        let Some(connection) = self.connections.get_mut(conn) else {
            return;
        };
        let is_last = response.is_last;
        let messages = node_conn::finish_exchange(connection, response);
        let frames = messages.into_iter().map(|body| frame(body, at)).collect();
        self.inputs.push(Input::NodeFrames { conn, at, frames });
        if is_last {
            self.connection_lost(conn, CloseReason::AnsweredLast);
        }
    }

    /// Reads the cached endpoint list of the configuration. Ignores a list that cannot be read.
    pub(super) fn load_cached_endpoints(&mut self) {
        let Some(cached) = self.config.cached_endpoints.take() else {
            return;
        };
        match self.discovery.read_cached(clock::now(), &cached) {
            Ok(list) => self.inputs.push(Input::CachedEndpoints { list }),
            Err(error) => {
                if self.may_log() {
                    info!(%error, "cached endpoint list ignored");
                }
            }
        }
    }

    pub(super) fn step_discovery(&mut self, event: PollingEvent) {
        for action in self.discovery.step(clock::now(), event) {
            self.perform_discovery(action);
        }
    }

    fn perform_discovery(&mut self, action: PollingAction) {
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
                self.inputs
                    .push(Input::DiscoveryClosedAfterResponse { conn });
                self.close(conn, CloseReason::AnsweredLast);
            }
            PollingAction::Drop { conn } => {
                self.connection_lost(ConnId(conn.0), CloseReason::AnsweredLast)
            }
        }
    }

    fn send_call(&mut self, conn: ConnId, call: Call) {
        let Some(connection) = self.connections.get_mut(conn) else {
            return;
        };
        debug!(
            conn = conn.0,
            call = call.kind(),
            known_revision = call.known_revision(),
            wait_ms = call.wait().as_millis() as u64,
            "discovery call"
        );
        let bytes = discovery::encode_call(SERVICE, call);
        connection.write_queue.push(OutgoingMessage {
            head: bytes,
            body: Bytes::new(),
        });
        self.flush(conn);
    }

    pub(super) fn handle_discovery_bytes(&mut self, turn: &mut Turn) {
        let conn = turn.conn();
        let Some(outstanding) = self.discovery.outstanding(conn) else {
            return self.connection_lost(conn, CloseReason::UnexpectedBytes);
        };
        let Some(connection) = self.connections.get_mut(conn) else {
            return;
        };
        let began_at = clock::now();
        let read = self.discovery.read_response(&mut connection.reader);
        self.spent_since(Activity::Parsing, began_at);
        let Some(read) = read.transpose() else {
            return self.limit_endpoint_lists(conn);
        };
        turn.charge_message();
        let Some(connection) = self.connections.get_mut(conn) else {
            return;
        };
        let bytes = connection.reader.len();
        connection.reader.clear();
        match read {
            Ok(response) => self.handle_discovery_response(conn, &outstanding, bytes, response),
            Err(error) => self.handle_discovery_error(conn, &outstanding, bytes, &error),
        }
    }

    /// Closes the connection if the endpoint lists that are being read exceed their bound.
    fn limit_endpoint_lists(&mut self, conn: ConnId) {
        self.account_for(conn, true);
        let bytes = self.budget.lock().held().endpoint_list;
        let limit = self.config.memory.endpoint_lists;
        if bytes <= limit {
            return;
        }
        if self.may_log() {
            warn!(
                conn = conn.0,
                bytes, limit, "endpoint list too large, call given up"
            );
        }
        self.connection_lost(conn, CloseReason::ListTooLarge);
    }

    fn handle_discovery_response(
        &mut self,
        conn: ConnId,
        outstanding: &OutstandingCall,
        bytes: usize,
        response: DiscoveryResponse,
    ) {
        let summary = response.summary();
        let endpoints = response.endpoints;
        let now = clock::now();
        debug!(
            conn = conn.0,
            call = outstanding.call.kind(),
            known_revision = outstanding.call.known_revision(),
            elapsed_ms = now.saturating_sub(outstanding.sent_at).as_millis() as u64,
            bytes,
            revision = endpoints.revision,
            entries = endpoints.list.endpoints.len(),
            "discovery response"
        );
        let frames = vec![frame(Body::EndpointUpdate(endpoints.list), now)];
        self.inputs.push(Input::DiscoveryFrames { conn, frames });
        if endpoints.malformed > 0 && self.may_log() {
            let entries = endpoints.malformed;
            info!(entries, "endpoint list entries unreadable, ignored");
        }
        let conn = PollConn(conn.0);
        self.step_discovery(PollingEvent::Answered {
            conn,
            response: summary,
        });
    }

    fn handle_discovery_error(
        &mut self,
        conn: ConnId,
        outstanding: &OutstandingCall,
        bytes: usize,
        error: &DiscoveryError,
    ) {
        if self.may_log() {
            let elapsed = clock::now().saturating_sub(outstanding.sent_at);
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
        if is_refusal(error) {
            let conn = PollConn(conn.0);
            self.step_discovery(PollingEvent::Refused { conn });
        }
        self.connection_lost(conn, CloseReason::BadAnswer);
    }
}
