//! Client connections and the requests that are open on them.
//!
//! The router reports each accepted request, the start and the end of each of its attempts, and its
//! final response. A request is open until it is answered and its last attempt has ended. One entry is
//! stored for each client and for each open request, with the bytes of the request;
//! [`crate::admission`] bounds the number of open requests and their bytes.

use super::types::frame;
use super::ConnId;
use crate::outbox::{AttemptId, Outbox};
use grebecleat_scheduler::api::{NodeId, PlanId, RequestId};
use grebecleat_wire::delay::Delay;
use grebecleat_wire::pb::{self, frame::Body};
use std::collections::btree_map::BTreeMap;
use std::collections::hash_map::{Entry, HashMap};
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

/// A request that is unanswered or has an outstanding attempt.
#[derive(Debug)]
pub(super) struct OpenRequest {
    client: ConnId,
    message: pb::SubmitRequest,
    /// The plan that the volume had when the request arrived.
    plan: PlanId,
    /// When its client sent it, in time of this host's clock.
    sent_at: Duration,
    deadline: Duration,
    /// Whether the request has its final response, or its client has cancelled it.
    answered: bool,
    /// Whether an attempt that ended without a response may still run at its node.
    may_still_run: bool,
    /// The number of attempts so far, which is the number of the next one.
    attempts: u32,
    outstanding: Vec<AttemptId>,
}

impl OpenRequest {
    /// Creates a request that has just arrived.
    pub(super) fn new(
        client: ConnId,
        message: pb::SubmitRequest,
        plan: PlanId,
        sent_at: Duration,
        deadline: Duration,
    ) -> Self {
        OpenRequest {
            client,
            message,
            plan,
            sent_at,
            deadline,
            answered: false,
            may_still_run: false,
            attempts: 0,
            outstanding: Vec::new(),
        }
    }

    /// Returns the connection of its client.
    pub(super) fn client(&self) -> ConnId {
        self.client
    }

    /// Returns the message that its client sent.
    pub(super) fn message(&self) -> &pb::SubmitRequest {
        &self.message
    }

    /// Returns the plan that the volume had when the request arrived.
    pub(super) fn plan(&self) -> PlanId {
        self.plan
    }

    /// Returns when its client sent it, in time of this host's clock.
    pub(super) fn sent_at(&self) -> Duration {
        self.sent_at
    }

    /// Returns whether the request has its final response, or its client has cancelled it.
    pub(super) fn is_answered(&self) -> bool {
        self.answered
    }

    /// Returns whether an attempt that ended without a response may still run at its node.
    pub(super) fn may_still_run(&self) -> bool {
        self.may_still_run
    }

    /// Returns the message that sends an attempt of this request to a node. `plan_rate` is the base
    /// rate of its plan, in units a second.
    pub(super) fn attempt_message(
        &self,
        attempt: AttemptId,
        number: u32,
        node: NodeId,
        plan_rate: f64,
    ) -> pb::Attempt {
        let message = &self.message;
        pb::Attempt {
            attempt: attempt.0,
            id: message.id.clone(),
            number,
            node: node.0,
            traffic_class: message.traffic_class,
            plan: self.plan.0 as u32,
            plan_rate,
            volume: message.volume,
            key: message.key,
            units: message.units,
            left_us: 0, // set when the attempt is written
            extent: message.extent,
            length: message.length,
            write: message.write,
            piece: message.piece.clone(),
            data: message.data.clone(),
            offset: message.offset,
            version: message.version,
        }
    }

    /// Returns the attempts that have not ended.
    pub(super) fn outstanding(&self) -> &[AttemptId] {
        &self.outstanding
    }
}

/// The connection of one client.
#[derive(Debug)]
pub(super) struct ClientSession {
    outbox: Arc<Outbox>,
    delay: Delay,
    open_requests: BTreeSet<RequestId>,
}

impl ClientSession {
    /// Returns the transit time of a frame that was sent at `sent_us`, in time of the client's clock,
    /// and read at `at`.
    pub(super) fn transit_time(&mut self, sent_us: u64, at: Duration) -> Duration {
        self.delay.waited(sent_us, at)
    }

    /// Returns the outbox of frames to be written to the client.
    pub(super) fn outbox(&self) -> &Arc<Outbox> {
        &self.outbox
    }
}

/// All clients and their open requests.
#[derive(Debug, Default)]
pub(super) struct ClientSessions {
    clients: BTreeMap<ConnId, ClientSession>,
    requests: HashMap<RequestId, OpenRequest>,
    /// Bytes of the open requests, see [`request_bytes`].
    request_bytes: usize,
}

impl ClientSessions {
    /// Adds a client that has connected.
    pub(super) fn connect(&mut self, conn: ConnId, outbox: Arc<Outbox>) {
        let session = ClientSession {
            outbox,
            delay: Delay::default(),
            open_requests: BTreeSet::new(),
        };
        self.clients.insert(conn, session);
    }

    /// Removes a client, closes its connection, and returns its open requests. Returns `None` if no
    /// client has this connection.
    pub(super) fn disconnect(&mut self, conn: ConnId) -> Option<BTreeSet<RequestId>> {
        let session = self.clients.remove(&conn)?;
        session.outbox.close();
        Some(session.open_requests)
    }

    /// Returns the session of the client on a connection.
    pub(super) fn session(&self, conn: ConnId) -> Option<&ClientSession> {
        self.clients.get(&conn)
    }

    /// Returns the session of the client on a connection, for updating.
    pub(super) fn session_mut(&mut self, conn: ConnId) -> Option<&mut ClientSession> {
        self.clients.get_mut(&conn)
    }

    /// Notifies all clients that this host is shutting down.
    pub(super) fn announce_shutdown(&self) {
        for session in self.clients.values() {
            let going_away = frame(Body::GoingAway(pb::GoingAway {}));
            session.outbox.put(going_away);
        }
    }

    /// Adds an open request.
    pub(super) fn add_request(&mut self, id: RequestId, request: OpenRequest) {
        self.request_bytes += request_bytes(&request.message);
        let session = self.clients.get_mut(&request.client);
        let session = session.expect("the client that sent the request is connected");
        session.open_requests.insert(id);
        self.requests.insert(id, request);
    }

    /// Returns a request, or `None` if it is not open.
    pub(super) fn request(&self, id: &RequestId) -> Option<&OpenRequest> {
        self.requests.get(id)
    }

    /// Returns the number of open requests.
    pub(super) fn request_count(&self) -> usize {
        self.requests.len()
    }

    /// Returns the bytes of the open requests, see [`request_bytes`].
    pub(super) fn request_bytes(&self) -> usize {
        self.request_bytes
    }

    /// Returns the latest deadline of the open requests.
    pub(super) fn latest_deadline(&self) -> Option<Duration> {
        let deadlines = self.requests.values().map(|request| request.deadline);
        deadlines.max()
    }

    /// Returns whether every request is answered and every response is written.
    pub(super) fn all_written(&self) -> bool {
        self.requests.values().all(|request| request.answered)
            && self
                .clients
                .values()
                .all(|session| session.outbox.is_flushed())
    }

    /// Adds an attempt to its request. Returns the attempt's number among the attempts of the request
    /// and whether the request is already answered, or `None` if the request is not open.
    pub(super) fn attempt_started(
        &mut self,
        id: &RequestId,
        attempt: AttemptId,
    ) -> Option<(u32, bool)> {
        let request = self.requests.get_mut(id)?;
        let number = request.attempts;
        request.attempts += 1;
        request.outstanding.push(attempt);
        Some((number, request.answered))
    }

    /// Removes an attempt that has ended from its request.
    pub(super) fn attempt_ended(
        &mut self,
        id: &RequestId,
        attempt: AttemptId,
        may_still_run: bool,
    ) {
        if let Some(request) = self.requests.get_mut(id) {
            request.outstanding.retain(|other| *other != attempt);
            request.may_still_run |= may_still_run;
        }
    }

    /// Marks a request as answered. Returns `None` if the request is not open or was already answered.
    pub(super) fn mark_answered(&mut self, id: &RequestId) -> Option<&OpenRequest> {
        let open = self.requests.get_mut(id);
        let request = open.filter(|request| !request.answered)?;
        request.answered = true;
        Some(request)
    }

    /// Removes an answered request if it has no outstanding attempt.
    pub(super) fn remove_if_finished(&mut self, id: RequestId) {
        let Entry::Occupied(entry) = self.requests.entry(id) else {
            return;
        };
        if !entry.get().outstanding.is_empty() {
            return;
        }
        let request = entry.remove();
        self.request_bytes -= request_bytes(&request.message);
        if let Some(session) = self.clients.get_mut(&request.client) {
            session.open_requests.remove(&id);
        }
    }
}

/// Returns the bytes of a request whose number its client determines: its body, and the field that
/// identifies or begins it.
pub(super) fn request_bytes(message: &pb::SubmitRequest) -> usize {
    message.data.len() + message.piece.len()
}
