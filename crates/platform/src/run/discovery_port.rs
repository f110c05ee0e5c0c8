//! The protocol on the connections to discovery, and the host's readiness.
//!
//! The owner holds the [`DiscoveryPort`]: the outstanding calls ([`LongPolling`], which decides when to
//! call), the numbers of the names that discovery has listed, whether discovery has responded since
//! the start, and whether the configuration held a cached endpoint list. This module performs no
//! network I/O.

use super::wall_clock::unix_ms;
use crate::discovery::{DiscoveryError, EndpointNames, ReadEndpoints};
use crate::http::MessageReader;
use grebecleat_discovery::calls::OutstandingCall;
use grebecleat_discovery::long_polling::{Action, Event, LongPolling, PollConn, Response};
use grebecleat_host::router::ConnId;
use grebecleat_wire::pb;
use std::net::SocketAddr;
use std::time::Duration;

/// The status with which discovery refuses a call that would be queued for too long, or has been.
const OVERLOADED_STATUS: u16 = 503;

/// A complete response of discovery.
pub(super) struct DiscoveryResponse {
    pub(super) endpoints: ReadEndpoints,
    /// Whether the connection may carry another call.
    keep_alive: bool,
}

impl DiscoveryResponse {
    /// Returns the properties of the response that determine the next call.
    pub(super) fn summary(&self) -> Response {
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

/// Returns whether discovery has refused the call because it has too many callers.
pub(super) fn is_refusal(error: &DiscoveryError) -> bool {
    matches!(error, DiscoveryError::Status(OVERLOADED_STATUS))
}

/// The host's side of its connections to discovery.
pub(super) struct DiscoveryPort {
    polling: LongPolling,
    names: EndpointNames,
    has_response: bool,
    has_cached_list: bool,
}

impl DiscoveryPort {
    /// `poll_interval` is the longest time between two polls that the settings allow.
    pub(super) fn new(address: SocketAddr, poll_interval: Duration) -> Self {
        DiscoveryPort {
            polling: LongPolling::new(address, poll_interval),
            names: EndpointNames::default(),
            has_response: false,
            has_cached_list: false,
        }
    }

    /// Returns the address of discovery.
    pub(super) fn address(&self) -> SocketAddr {
        self.polling.address()
    }

    /// Returns the outstanding call of a connection, if any.
    pub(super) fn outstanding(&self, conn: ConnId) -> Option<OutstandingCall> {
        self.polling.outstanding(PollConn(conn.0))
    }

    /// Returns whether the configuration held a cached endpoint list with at least one endpoint.
    pub(super) fn has_cached_list(&self) -> bool {
        self.has_cached_list
    }

    /// Returns whether clients may send requests to this host.
    ///
    /// A host with a cached endpoint list is ready immediately: it must know a change only a term after
    /// discovery becomes reachable, and discovery may be down or overloaded just when most hosts start.
    /// The cost is that requests may go to nodes that are gone, whose dials fail. A host without a
    /// cached list would reject every request, so it waits for the list.
    pub(super) fn is_ready(&self) -> bool {
        self.has_response || self.has_cached_list
    }

    /// Reads the cached endpoint list.
    pub(super) fn read_cached(
        &mut self,
        now: Duration,
        cached: &[u8],
    ) -> Result<pb::EndpointUpdate, DiscoveryError> {
        let read = self.names.read(cached, unix_ms())?;
        self.has_cached_list = !read.list.endpoints.is_empty();
        if self.has_cached_list {
            let event = Event::Cached {
                revision: read.revision,
                is_well_formed: read.malformed == 0,
            };
            self.polling.step(now, event);
        }
        Ok(read.list)
    }

    /// Reads a response. Returns `None` if it is incomplete, and an error if it is not an endpoint list.
    pub(super) fn read_response(
        &mut self,
        reader: &mut MessageReader,
    ) -> Result<Option<DiscoveryResponse>, DiscoveryError> {
        let Some(response) = reader.read_response()? else {
            return Ok(None);
        };
        if response.status != 200 {
            return Err(DiscoveryError::Status(response.status));
        }
        let keep_alive = response.keep_alive;
        let endpoints = self.names.read(response.body, unix_ms())?;
        self.has_response = true;
        Ok(Some(DiscoveryResponse {
            endpoints,
            keep_alive: keep_alive && reader.bytes_behind() == 0,
        }))
    }

    /// Processes an event and returns the actions to perform, see [`LongPolling::step`].
    pub(super) fn step(&mut self, now: Duration, event: Event) -> Vec<Action> {
        self.polling.step(now, event)
    }
}
