//! Client connections and the requests that are open on them.
//!
//! Called by the router with each request that arrives, with the start and the end of each of its
//! attempts, and with its final answer. A request is open until it is answered and its last attempt
//! has ended. Memory: one entry for each client and each open request, and the bytes of the open
//! requests; [`crate::admission`] bounds the requests and their bytes.

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

/// A request that is not answered, or that has an outstanding attempt.
#[derive(Debug)]
pub(super) struct OpenRequest {
    client: ConnId,
    message: pb::SubmitRequest,
    /// The plan of the volume when the request arrived.
    plan: PlanId,
    received: Duration,
    deadline: Duration,
    /// The request has its final answer, or its client has cancelled it.
    answered: bool,
    /// An attempt ended without an answer from its node, and may still run there.
    may_still_run: bool,
    /// The number of attempts so far.
    attempts: u32,
    outstanding: Vec<AttemptId>,
}

impl OpenRequest {
    /// A request that has just arrived.
    pub(super) fn new(
        client: ConnId,
        message: pb::SubmitRequest,
        plan: PlanId,
        received: Duration,
        deadline: Duration,
    ) -> Self {
        OpenRequest {
            client,
            message,
            plan,
            received,
            deadline,
            answered: false,
            may_still_run: false,
            attempts: 0,
            outstanding: Vec::new(),
        }
    }

    /// The connection of its client.
    pub(super) fn client(&self) -> ConnId {
        self.client
    }

    /// The request as its client sent it.
    pub(super) fn message(&self) -> &pb::SubmitRequest {
        &self.message
    }

    /// The plan of the volume when the request arrived.
    pub(super) fn plan(&self) -> PlanId {
        self.plan
    }

    /// When its client sent it, in this host's clock.
    pub(super) fn received(&self) -> Duration {
        self.received
    }

    /// Whether the request has its final answer, or its client has cancelled it.
    pub(super) fn is_answered(&self) -> bool {
        self.answered
    }

    /// Whether an attempt that ended without an answer may still run at its node.
    pub(super) fn may_still_run(&self) -> bool {
        self.may_still_run
    }

    /// The message that is sent to the node with an attempt of this request. `plan_rate` is the
    /// base rate of its plan, in units a second.
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

    /// The attempts that have not ended.
    pub(super) fn outstanding(&self) -> &[AttemptId] {
        &self.outstanding
    }
}

/// The connection of one client.
#[derive(Debug)]
pub(super) struct ClientSession {
    outbox: Arc<Outbox>,
    delay: Delay,
    open: BTreeSet<RequestId>,
}

impl ClientSession {
    /// Returns how long a frame was on its way.
    pub(super) fn transit_time(&mut self, sent_us: u64, at: Duration) -> Duration {
        self.delay.waited(sent_us, at)
    }

    /// Frames to be written to the client.
    pub(super) fn outbox(&self) -> &Arc<Outbox> {
        &self.outbox
    }
}

/// All clients and their open requests.
#[derive(Debug, Default)]
pub(super) struct ClientSessions {
    clients: BTreeMap<ConnId, ClientSession>,
    requests: HashMap<RequestId, OpenRequest>,
    /// Bytes of the bodies of the open requests.
    request_bytes: usize,
}

impl ClientSessions {
    /// Adds a client that has connected.
    pub(super) fn connect(&mut self, conn: ConnId, outbox: Arc<Outbox>) {
        let session = ClientSession {
            outbox,
            delay: Delay::default(),
            open: BTreeSet::new(),
        };
        self.clients.insert(conn, session);
    }

    /// Removes a client, closes its connection, and returns its open requests. None: no client has
    /// this connection.
    pub(super) fn disconnect(&mut self, conn: ConnId) -> Option<BTreeSet<RequestId>> {
        let session = self.clients.remove(&conn)?;
        session.outbox.close();
        Some(session.open)
    }

    /// The session on a connection.
    pub(super) fn session(&self, conn: ConnId) -> Option<&ClientSession> {
        self.clients.get(&conn)
    }

    /// The session on a connection, to be updated.
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

    /// Adds a request to the open requests.
    pub(super) fn open(&mut self, id: RequestId, request: OpenRequest) {
        self.request_bytes += request.message.data.len();
        let session = self.clients.get_mut(&request.client);
        let session = session.expect("the client that sent the request is connected");
        session.open.insert(id);
        self.requests.insert(id, request);
    }

    /// An open request.
    pub(super) fn request(&self, id: &RequestId) -> Option<&OpenRequest> {
        self.requests.get(id)
    }

    /// The number of open requests.
    pub(super) fn request_count(&self) -> usize {
        self.requests.len()
    }

    /// Bytes of the bodies of the open requests.
    pub(super) fn request_bytes(&self) -> usize {
        self.request_bytes
    }

    /// The latest deadline of the open requests.
    pub(super) fn latest_deadline(&self) -> Option<Duration> {
        let deadlines = self.requests.values().map(|request| request.deadline);
        deadlines.max()
    }

    /// Returns whether every open request is answered and every answer is written.
    pub(super) fn all_written(&self) -> bool {
        self.requests.values().all(|request| request.answered)
            && self
                .clients
                .values()
                .all(|session| session.outbox.is_flushed())
    }

    /// Adds an attempt to its request, and returns the attempt's number among the attempts of the
    /// request, and whether the request is already answered. None: the request is not open.
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

    /// Marks a request as answered. None: the request is not open, or was answered before.
    pub(super) fn mark_answered(&mut self, id: &RequestId) -> Option<&OpenRequest> {
        let open = self.requests.get_mut(id);
        let request = open.filter(|request| !request.answered)?;
        request.answered = true;
        Some(request)
    }

    /// Removes an answered request once it has no outstanding attempt.
    pub(super) fn remove_if_over(&mut self, id: RequestId) {
        let Entry::Occupied(entry) = self.requests.entry(id) else {
            return;
        };
        if !entry.get().outstanding.is_empty() {
            return;
        }
        let request = entry.remove();
        self.request_bytes -= request.message.data.len();
        if let Some(session) = self.clients.get_mut(&request.client) {
            session.open.remove(&id);
        }
    }
}
