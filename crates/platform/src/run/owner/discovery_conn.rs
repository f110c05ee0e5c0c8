//! The connection to discovery: calls for the endpoint list, one after the other.
//!
//! State: the [`crate::discovery_calls`] of the connection, and whether discovery has answered at
//! all.

use super::{frame, unix_ms, Owner};
use crate::clients::SERVICE;
use crate::discovery::{self, DiscoveryError, EndpointNames, ReadEndpoints};
use crate::discovery_calls::{Call, DiscoveryCalls, Event, OutstandingCall};
use crate::http;
use crate::run::connection::{CloseReason, DiscoveryConnection, KnownRevision, Role};
use grebecleat_discovery::poll_deadline::PATIENT_CALL_TIMEOUT;
use grebecleat_host::router::{ConnId, Input};
use grebecleat_wire::clock;
use grebecleat_wire::pb::{self, frame::Body};
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;
use tracing::{debug, info};

/// The status with which discovery refuses a call that would wait, or has waited, for too long.
const TOO_MANY_CALLERS: u16 = 503;

/// A watch goes on where its next call comes within this after its last answer: less than the
/// platform allows, for what is on its way.
const CONTINUES_WITHIN: Duration = Duration::from_millis(150);

/// A complete answer of discovery.
struct DiscoveryAnswer {
    endpoints: ReadEndpoints,
    /// Whether another call may follow on the connection.
    keep_alive: bool,
}

/// What was asked for, and how long ago.
struct OutstandingCallLog(OutstandingCall);

impl fmt::Display for OutstandingCallLog {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let waited = clock::now().saturating_sub(self.0.begun).as_millis();
        match self.0.call {
            Call::Complete => write!(f, "complete for {waited}ms"),
            Call::Newer { revision, .. } => write!(f, "newer than {revision} for {waited}ms"),
        }
    }
}

/// What a call has waited at discovery, beyond what it was to wait there for changes.
fn queueing_time(outstanding: &OutstandingCall, now: Duration) -> Duration {
    let wait = match outstanding.call {
        Call::Complete => Duration::ZERO,
        Call::Newer { wait, .. } => wait,
    };
    now.saturating_sub(outstanding.begun).saturating_sub(wait)
}

/// Whether discovery has nothing new and did not wait for it, as one does that is about to end, or
/// that knows no watches: called again at once, it would be called without a pause.
fn is_early(outstanding: &OutstandingCall, answer: &DiscoveryAnswer, now: Duration) -> bool {
    let Call::Newer { wait, .. } = outstanding.call else {
        return false;
    };
    let has_waited = now >= outstanding.begun + wait / 2;
    !has_waited && answer.endpoints.list.endpoints.is_empty()
}

/// None: more must come.
fn read_answer(
    bytes: &[u8],
    names: &mut EndpointNames,
) -> Result<Option<DiscoveryAnswer>, DiscoveryError> {
    let Some((response, used)) = http::response_up_to(bytes, http::MAX_LIST)? else {
        return Ok(None);
    };
    if response.status != 200 {
        return Err(DiscoveryError::Status(response.status));
    }
    Ok(Some(DiscoveryAnswer {
        endpoints: names.read(&response.body, unix_ms())?,
        keep_alive: response.keep_alive && used == bytes.len(),
    }))
}

/// The revision from which that discovery may go on; None: something in its answer could not be
/// read, which the next complete list may mend.
fn complete_revision(
    read: &ReadEndpoints,
    discovery: SocketAddr,
    told_at: Option<Duration>,
) -> Option<KnownRevision> {
    let revision = read.revision;
    (read.malformed == 0).then_some(KnownRevision {
        revision,
        discovery,
        told_at,
    })
}

impl Owner {
    /// The endpoint list as the platform last saw it here. One that cannot be read is ignored.
    pub(super) fn load_cached_endpoints(&mut self) {
        let Some(cached) = self.config.cached_endpoints.take() else {
            return;
        };
        match self.endpoint_names.read(&cached, unix_ms()) {
            Ok(read) => {
                self.has_cached_endpoints = !read.list.endpoints.is_empty();
                if self.has_cached_endpoints {
                    self.known_revision = complete_revision(&read, self.discovery, None);
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

    /// State of a connection that has just been dialled.
    pub(super) fn new_discovery_connection(&self) -> DiscoveryConnection {
        let known = self.known_revision;
        let known = known.filter(|known| known.discovery == self.discovery);
        let told_at = known.and_then(|known| known.told_at);
        let continues = told_at.is_some_and(|at| clock::now() < at + CONTINUES_WITHIN);
        // The router, which knows how long it may take, ends it sooner.
        let first_timeout = PATIENT_CALL_TIMEOUT;
        let known = known.map(|known| known.revision);
        DiscoveryConnection {
            calls: DiscoveryCalls::new(first_timeout, known, continues),
            address: self.discovery,
        }
    }

    /// Whether discovery has told changes of an older revision than it had told before: it has lost
    /// its own, and only a complete list says what has changed since.
    fn went_back(&self, told: &KnownRevision, endpoints: &ReadEndpoints) -> bool {
        let before = self.known_revision;
        let is_complete = endpoints.list.kind() == pb::EndpointUpdateKind::Snapshot;
        let is_older = before.is_some_and(|before| {
            before.discovery == told.discovery && told.revision < before.revision
        });
        is_older && !is_complete
    }

    fn discovery_address(&self, conn: ConnId) -> Option<SocketAddr> {
        match &self.connections.get(&conn)?.role {
            Role::Discovery(discovery) => Some(discovery.address),
            _ => None,
        }
    }

    pub(super) fn handle_discovery_answer(&mut self, conn: ConnId) {
        let Some(connection) = self.connections.get_mut(&conn) else {
            return;
        };
        let Role::Discovery(discovery) = &mut connection.role else {
            return;
        };
        let Some(outstanding) = discovery.calls.outstanding() else {
            return self.connection_lost(conn, CloseReason::UnexpectedBytes);
        };
        let bytes = connection.read_buffer.len();
        let answer = match read_answer(&connection.read_buffer, &mut self.endpoint_names) {
            Ok(None) => return,
            Ok(Some(answer)) => Ok(answer),
            Err(error) => Err(error),
        };
        connection.read_buffer = Vec::new();
        match answer {
            Ok(answer) => {
                debug!(
                    conn = conn.0,
                    call = %OutstandingCallLog(outstanding),
                    bytes,
                    revision = answer.endpoints.revision,
                    entries = answer.endpoints.list.endpoints.len(),
                    "list of nodes: answer"
                );
                self.take_endpoints(conn, outstanding, answer)
            }
            Err(error) => {
                if self.may_log() {
                    let call = OutstandingCallLog(outstanding);
                    info!(conn = conn.0, %call, bytes, "list of nodes: {error}");
                }
                if matches!(error, DiscoveryError::Status(TOO_MANY_CALLERS)) {
                    let waited = queueing_time(&outstanding, clock::now());
                    let up_to_date = outstanding.continues_watch;
                    self.inputs.push(Input::DiscoveryRefused {
                        conn,
                        waited,
                        up_to_date,
                    });
                }
                self.connection_lost(conn, CloseReason::BadAnswer);
            }
        }
    }

    fn take_endpoints(
        &mut self,
        conn: ConnId,
        outstanding: OutstandingCall,
        answer: DiscoveryAnswer,
    ) {
        let early = is_early(&outstanding, &answer, clock::now());
        let DiscoveryAnswer {
            endpoints,
            keep_alive,
        } = answer;
        self.discovery_answered = true;
        if let Some(address) = self.discovery_address(conn) {
            let told = complete_revision(&endpoints, address, Some(clock::now()));
            self.known_revision = told.filter(|told| !self.went_back(told, &endpoints));
        }
        let frames = vec![frame(Body::EndpointUpdate(endpoints.list), clock::now())];
        self.inputs.push(Input::DiscoveryFrames { conn, frames });
        if endpoints.malformed > 0 && self.may_log() {
            let malformed = endpoints.malformed;
            info!("list of nodes: {malformed} entries cannot be read");
        }
        if keep_alive {
            let revision = endpoints.revision;
            self.call_discovery(conn, Event::Answered { revision });
        } else if early {
            self.connection_lost(conn, CloseReason::AnsweredLast);
        } else {
            self.inputs.push(Input::DiscoveryEnded { conn });
            self.close(conn, CloseReason::AnsweredLast);
        }
    }

    pub(super) fn call_discovery(&mut self, conn: ConnId, event: Event) {
        let Some(connection) = self.connections.get_mut(&conn) else {
            return;
        };
        let Role::Discovery(discovery) = &mut connection.role else {
            return;
        };
        let poll_interval = self.config.settings.list.rule.poll_interval;
        let calls = &mut discovery.calls;
        let Some(call) = calls.step(clock::now(), poll_interval, event) else {
            return;
        };
        debug!(conn = conn.0, ?call, "list of nodes: call");
        connection
            .write_buffer
            .extend_from_slice(&discovery::call(SERVICE, call));
        self.flush(conn);
    }
}
