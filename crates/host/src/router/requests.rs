//! The life cycle of a request: from its arrival, through its attempts, to its one final response.
//!
//! The router passes the frames of clients and the actions of the scheduler to the methods here. They
//! define the order in which `ClientSessions`, `AttemptTable` and `NodePools` change. Only
//! [`RequestRouter::finish_request`] sends a final response to an accepted request, and only
//! [`RequestRouter::end_attempt`] ends an attempt.

use super::attempt_table::{may_still_run, OutstandingAttempt};
use super::client_sessions::{request_bytes, OpenRequest};
use super::node_connection::NodeConnection;
use super::request_terms::{request_terms, RequestTerms, TermsError};
use super::types::{frame, request_id};
use super::{ConnId, RequestRouter};
use crate::admission::{admit, Load, Refusal};
use crate::config_follower::VolumePlacement;
use crate::log_event::ProtocolViolation;
use crate::outbox::{AttemptId, Outbox};
use grebecleat_scheduler::api::{
    AttemptEnd, AttemptOutcome, Event, KeyId, NodeId, NodeState, Request, RequestId, ShardId,
    TrafficClassId, VolumeId,
};
use grebecleat_wire::clock;
use grebecleat_wire::pb::{self, frame::Body};
use std::sync::Arc;
use std::time::Duration;
use tracing::debug;

/// The smallest rate by which the usage of a volume is divided. The bound keeps the quotient finite
/// if the volume's plan is unknown or has a rate of zero.
const MIN_RATE_UNITS_PER_SECOND: f64 = 1e-9;

/// Handles clients and their requests.
impl RequestRouter {
    pub(super) fn client_connected(&mut self, conn: ConnId, outbox: Arc<Outbox>) {
        if self.shutdown.has_begun() {
            outbox.put(frame(Body::GoingAway(pb::GoingAway {})));
        }
        self.clients.connect(conn, outbox);
    }

    pub(super) fn handle_client_frame(&mut self, conn: ConnId, at: Duration, frame: pb::Frame) {
        let Some(client) = self.clients.session_mut(conn) else {
            return;
        };
        let transit_time = client.transit_time(frame.sent_us, at);
        match frame.body {
            Some(Body::SubmitRequest(message)) => {
                self.receive_request(conn, at, transit_time, message)
            }
            Some(Body::CancelRequest(message)) => {
                client.outbox().forget_cancellation(&message.id);
                let sent_by_client = |id: &RequestId| {
                    let request = self.clients.request(id);
                    request.is_some_and(|request| request.client() == conn)
                };
                if let Some(id) = request_id(&message.id).filter(sent_by_client) {
                    self.metrics.counters_mut().cancelled += 1;
                    self.cancel_request(id);
                }
            }
            Some(Body::GoingAway(_)) => {}
            _ => self.disconnect(conn, ProtocolViolation::UnexpectedClientMessage),
        }
    }

    fn receive_request(
        &mut self,
        conn: ConnId,
        at: Duration,
        transit_time: Duration,
        message: pb::SubmitRequest,
    ) {
        let wire_mode = self.pools.wire_mode();
        let is_open = |id: &RequestId| self.clients.request(id).is_some();
        let terms = request_terms(
            &message,
            self.host.settings(),
            &self.config,
            wire_mode,
            is_open,
        );
        let terms = match terms {
            Ok(terms) => terms,
            Err(TermsError::Violation(violation)) => return self.disconnect(conn, violation),
            Err(TermsError::NotServedHere(placement)) => {
                return self.reject_unserved_volume(conn, message, placement)
            }
        };
        let load = Load {
            open: self.clients.request_count(),
            bytes: self.clients.request_bytes(),
            draining: self.shutdown.has_begun(),
            volumes_full: !self
                .scheduler
                .has_place_for_volume(VolumeId(message.volume)),
        };
        if let Err(refusal) = admit(load, request_bytes(&message), self.host.bounds()) {
            return self.reject_on_arrival(conn, message, refusal);
        }
        let remaining = Duration::from_micros(message.left_us).min(terms.class_deadline);
        // The time until the client's deadline also includes the transit of the request and of the
        // response.
        let margin = self.host.settings().rules.answer_margin;
        let deadline = (at + remaining).saturating_sub(transit_time + margin);
        let sent_at = at.saturating_sub(transit_time);
        self.open_request(conn, message, &terms, sent_at, deadline);
    }

    /// Accepts a request and hands it to the scheduler.
    fn open_request(
        &mut self,
        conn: ConnId,
        message: pb::SubmitRequest,
        terms: &RequestTerms,
        sent_at: Duration,
        deadline: Duration,
    ) {
        self.metrics.counters_mut().received += 1;
        self.metrics.request_received(sent_at, &message);
        if let Some(sharing) = &mut self.sharing {
            sharing.request_received(message.volume, message.units);
        }
        self.effects.add_event(Event::RequestReceived(Request {
            id: terms.id,
            units: message.units,
            shard: message.shard.map(ShardId),
            traffic_class: TrafficClassId(message.traffic_class as usize),
            plan: terms.plan,
            hosts: terms.hosts,
            key: message.key.map(KeyId),
            deadline,
            volume: VolumeId(message.volume),
        }));
        let request = OpenRequest::new(conn, message, terms.plan, sent_at, deadline);
        self.clients.add_request(terms.id, request);
    }

    /// Rejects a request that has just arrived. It never runs, and its client may retry it.
    fn reject_on_arrival(&mut self, conn: ConnId, message: pb::SubmitRequest, refusal: Refusal) {
        self.metrics.counters_mut().refused += 1;
        let longest = self.host.settings().host_limits.max_retry_after;
        let retry_after = longest.map(|longest| refusal.retry_after().min(longest));
        let response = pb::Response {
            id: message.id,
            outcome: pb::Outcome::Rejected.into(),
            retry_after_us: retry_after.map(clock::micros),
            ..pb::Response::default()
        };
        self.respond(conn, response);
    }

    /// Rejects a request to a volume that this host does not serve. It never runs here.
    fn reject_unserved_volume(
        &mut self,
        conn: ConnId,
        message: pb::SubmitRequest,
        placement: VolumePlacement,
    ) {
        self.metrics.counters_mut().refused += 1;
        // A retry may succeed if another host serves the volume, or if this host will know it later.
        // It cannot succeed if the volume does not exist.
        let outcome = match placement {
            VolumePlacement::Unknown => pb::Outcome::Failed,
            _ => pb::Outcome::Rejected,
        };
        let longest = self.host.settings().host_limits.max_retry_after;
        let retry_after = Refusal::Draining.retry_after();
        let retry_after = retry_after.min(longest.unwrap_or_default());
        let stated = outcome == pb::Outcome::Rejected && !retry_after.is_zero();
        let response = pb::Response {
            id: message.id,
            outcome: outcome.into(),
            retry_after_us: stated.then(|| clock::micros(retry_after)),
            ..pb::Response::default()
        };
        self.respond(conn, response);
    }

    fn respond(&mut self, conn: ConnId, response: pb::Response) {
        let Some(client) = self.clients.session(conn) else {
            return;
        };
        client.outbox().put(frame(Body::Response(response)));
        // The responses to a client that never reads would fill this host's memory, so the client is
        // disconnected and its requests are cancelled.
        if client.outbox().bytes() > self.host.bounds().max_unread {
            self.disconnect(conn, ProtocolViolation::UnreadResponses);
        }
    }

    /// Sends the final response to a request, unless it already has one or is cancelled.
    pub(super) fn finish_request(
        &mut self,
        id: RequestId,
        outcome: pb::Outcome,
        response: pb::Response,
    ) {
        let Some(request) = self.clients.mark_answered(&id) else {
            return;
        };
        let client = request.client();
        let message_id = request.message().id.clone();
        let may_still_run = request.may_still_run();
        let outstanding = request.outstanding().to_vec();
        self.count_finished(id, outcome);
        // The response states whether the request may still take effect, so the attempts that can
        // still be revoked must be revoked before.
        let (revoked, written): (Vec<AttemptId>, Vec<AttemptId>) = outstanding
            .into_iter()
            .partition(|attempt| self.revoke(*attempt));
        let unsure = outcome != pb::Outcome::Completed && (may_still_run || !written.is_empty());
        let response = pb::Response {
            id: message_id,
            outcome: outcome.into(),
            unsure,
            ..response
        };
        self.respond(client, response);
        for attempt in revoked {
            self.end_attempt(attempt, AttemptOutcome::NotSent, self.clock.now(), None);
        }
        self.release_request(id);
    }

    fn count_finished(&mut self, id: RequestId, outcome: pb::Outcome) {
        let request = self.clients.request(&id);
        if let Some(request) = request.filter(|_| outcome == pb::Outcome::Completed) {
            let message = request.message();
            let class = &self.host.settings().traffic_classes[message.traffic_class as usize];
            let objective = class.facts.latency_objective;
            self.metrics
                .request_completed(request.sent_at(), message, self.clock.now(), objective);
        }
        match outcome {
            pb::Outcome::Completed => self.metrics.counters_mut().completed += 1,
            pb::Outcome::Rejected => self.metrics.counters_mut().rejected += 1,
            _ => self.metrics.counters_mut().failed += 1,
        }
    }

    /// If a request is answered, revokes its attempts that are not written yet, and removes it if its
    /// last attempt has ended.
    fn release_request(&mut self, id: RequestId) {
        let request = self.clients.request(&id);
        let Some(answered) = request.filter(|request| request.is_answered()) else {
            return;
        };
        for attempt in answered.outstanding().to_vec() {
            if self.revoke(attempt) {
                self.end_attempt(attempt, AttemptOutcome::NotSent, self.clock.now(), None);
            }
        }
        self.clients.remove_if_finished(id);
    }

    fn cancel_request(&mut self, id: RequestId) {
        if self.clients.mark_answered(&id).is_some() {
            self.effects.add_event(Event::RequestCancelled { id });
            self.release_request(id);
        }
    }

    pub(super) fn client_disconnected(&mut self, conn: ConnId) {
        self.metrics.unsubscribe(conn);
        let Some(open) = self.clients.disconnect(conn) else {
            return;
        };
        self.effects.connection_ended(conn);
        for request_id in open {
            let request = self.clients.request(&request_id);
            let waiting = request.is_some_and(|request| !request.is_answered());
            self.metrics.counters_mut().cancelled += u64::from(waiting);
            self.cancel_request(request_id);
        }
    }

    /// Logs a violation of the protocol by a client or a subscriber, and closes its connection.
    pub(super) fn disconnect(&mut self, conn: ConnId, violation: ProtocolViolation) {
        self.effects.log_violation(conn, violation);
        self.client_disconnected(conn);
    }
}

/// Starts and ends attempts.
impl RequestRouter {
    pub(super) fn start_attempt(&mut self, id: RequestId, node: NodeId, deadline: Duration) {
        let attempt = AttemptId(self.effects.next_id());
        let now = self.clock.now();
        self.metrics.counters_mut().attempts += 1;
        let Some((number, answered)) = self.clients.attempt_started(&id, attempt) else {
            return;
        };
        let outstanding = OutstandingAttempt::new(id, number, node, now, deadline);
        self.attempts.insert(attempt, outstanding);
        let known = self.discovery.endpoints().get(node);
        let state = known.map(|known| self.node_state(node, known.state));
        let ready = state == Some(NodeState::Ready);
        if answered || !ready {
            return self.end_attempt(attempt, AttemptOutcome::NotSent, now, None);
        }
        self.attempts.start_deadline(attempt, deadline);
        self.pools.enqueue(node, attempt);
        self.assign_waiting_attempts(node);
        let waits = |outstanding: &OutstandingAttempt| outstanding.conn().is_none();
        let exclusive = self.pools.wire_mode().is_exclusive();
        if exclusive && self.attempts.get(attempt).is_some_and(waits) {
            // The scheduler counts the time of the attempt from `at`. Until each of the dials that may
            // run at the same time has had time for its handshake, a delay is that of dialling and no
            // evidence about the node.
            self.effects.add_event(Event::AttemptSent {
                id,
                node,
                at: now + self.pools.dial_allowance(),
            });
        }
    }

    /// Assigns the attempts that wait for a connection to the node, in their order, each to the least
    /// loaded connection with capacity, until no connection can carry another one.
    pub(super) fn assign_waiting_attempts(&mut self, node: NodeId) {
        self.pools.mark_changed(node);
        while let Some((attempt, conn)) = self.pools.take_assignable(node, self.clock.now()) {
            self.assign(attempt, conn);
        }
    }

    /// Assigns an attempt to a connection and puts it into the connection's outbox.
    fn assign(&mut self, attempt: AttemptId, conn: ConnId) {
        let (assigned, waiting_since) = self.attempts.assign(attempt, conn, self.clock.now());
        let request_id = assigned.request();
        let node = assigned.node();
        let number = assigned.number();
        let deadline = assigned.deadline();
        if waiting_since < self.clock.now() {
            self.effects.add_event(Event::AttemptSent {
                id: request_id,
                node,
                at: self.clock.now(),
            });
        }
        let request = self.clients.request(&request_id);
        let request = request.expect("a request is open while it has an outstanding attempt");
        let client = self.clients.session(request.client());
        let client = client.map(|client| client.outbox().clone());
        let plan_rate = self.config.rate(request.plan());
        let message = request.attempt_message(attempt, number, node, plan_rate);
        let frame = frame(Body::Attempt(message));
        self.pools
            .put_attempt(attempt, conn, frame, self.clock.now(), deadline, client);
    }

    /// Tries to revoke an attempt before it is written to its node. Returns whether it is revoked: the
    /// node then never runs it.
    pub(super) fn revoke(&mut self, attempt: AttemptId) -> bool {
        let Some(outstanding) = self.attempts.get(attempt) else {
            return false;
        };
        let revoked = self.pools.revoke(attempt, outstanding.conn());
        self.metrics.counters_mut().unsent += u64::from(revoked);
        revoked
    }

    /// Ends an attempt and reports its outcome to the scheduler. If the attempt has completed, its
    /// request completes. `at` is when the attempt ended.
    pub(super) fn end_attempt(
        &mut self,
        attempt: AttemptId,
        outcome: AttemptOutcome,
        at: Duration,
        response: Option<pb::AttemptResponse>,
    ) {
        let Some(ended) = self.attempts.remove(attempt, outcome, self.clock.now()) else {
            return;
        };
        let request_id = ended.request();
        let node = ended.node();
        let responded = response.is_some();
        self.pools
            .release(attempt, node, ended.conn(), self.clock.now(), responded);
        let attempt_id = attempt.0;
        debug!(attempt_id, node = node.0, ?outcome, "attempt ended");
        let timed_from = ended.timed_from();
        let ended_at = at.max(timed_from);
        let paused = self.clock.paused_within(timed_from, ended_at);
        let elapsed = (ended_at - timed_from).saturating_sub(paused);
        self.clients
            .attempt_ended(&request_id, attempt, may_still_run(outcome));
        let response = response.unwrap_or_default();
        self.count_outcome(request_id, node, outcome);
        if outcome == AttemptOutcome::Completed {
            let known = self.discovery.endpoints().get(node);
            let completed = pb::Response {
                shard: known.map(|known| known.shard.0),
                data: response.data,
                superseded: response.superseded,
                ..pb::Response::default()
            };
            self.finish_request(request_id, pb::Outcome::Completed, completed);
        }
        let request = self.clients.request(&request_id);
        let answered = request.is_none_or(|request| request.is_answered());
        let reported = response.reported;
        let reported = reported.map(|percent| self.reported_usage(request_id, percent));
        self.effects.add_event(Event::AttemptEnded(AttemptEnd {
            id: request_id,
            attempt: ended.number(),
            node,
            outcome,
            elapsed,
            answered,
            reported,
            others: response.others,
            busy: response.busy,
        }));
        self.release_request(request_id);
        self.close_after_attempt(ended.conn(), outcome);
        self.assign_waiting_attempts(node);
    }

    fn count_outcome(&mut self, id: RequestId, node: NodeId, outcome: AttemptOutcome) {
        let completed = outcome == AttemptOutcome::Completed;
        let request = self.clients.request(&id);
        if let Some(sharing) = &mut self.sharing {
            sharing.attempt_ended(node, outcome);
            if let (true, Some(request)) = (completed, request) {
                let message = request.message();
                sharing.request_completed(message.volume, message.units);
            }
        }
        if completed {
            let units = request.map_or(0.0, |request| request.message().units);
            self.metrics.units_completed(node, units);
        }
    }

    /// Returns the usage of the request's volume through all hosts, in percent of its plan's rate: the
    /// larger of the usage that the node reports (`percent`) and the sum that the hosts report.
    fn reported_usage(&self, id: RequestId, percent: f64) -> f64 {
        let (Some(sharing), Some(request)) = (&self.sharing, self.clients.request(&id)) else {
            return percent;
        };
        let rate = self
            .config
            .rate(request.plan())
            .max(MIN_RATE_UNITS_PER_SECOND);
        let served = sharing.served_everywhere(self.clock.now(), request.message().volume);
        percent.max(served / rate * 100.0)
    }

    /// Closes a connection that carries one exchange at a time if its attempt was abandoned: a late
    /// response would be read as that of the next attempt. Also removes such a connection if its
    /// outbox is already closed.
    fn close_after_attempt(&mut self, conn: Option<ConnId>, outcome: AttemptOutcome) {
        use AttemptOutcome::{Cancelled, TimedOut};
        let Some(conn) = conn.filter(|_| self.pools.wire_mode().is_exclusive()) else {
            return;
        };
        let abandoned = matches!(outcome, TimedOut | Cancelled);
        let must_close = |conn: &NodeConnection| {
            abandoned || conn.outbox().is_some_and(|outbox| outbox.is_closed())
        };
        if self.pools.connection(conn).is_some_and(must_close) {
            self.node_disconnected(conn);
        }
    }

    /// Ends the attempts whose deadline has passed. Those that can still be revoked never ran and are
    /// reported as not sent.
    pub(super) fn expire_attempts(&mut self) {
        while let Some(attempt) = self.attempts.take_expired(self.clock.now()) {
            let outcome = match self.revoke(attempt) {
                true => AttemptOutcome::NotSent,
                false => AttemptOutcome::TimedOut,
            };
            self.end_attempt(attempt, outcome, self.clock.now(), None);
        }
    }

    /// Cancels one attempt of a request. `number` is its number among the request's attempts.
    pub(super) fn cancel_attempt(&mut self, id: RequestId, number: u32) {
        let request = self.clients.request(&id);
        let outstanding = request.map_or(&[][..], |request| request.outstanding());
        let Some(attempt) = self.attempts.find_by_number(outstanding, number) else {
            return;
        };
        if self.revoke(attempt) {
            return self.end_attempt(attempt, AttemptOutcome::NotSent, self.clock.now(), None);
        }
        let outstanding = self.attempts.get(attempt);
        let conn = outstanding.and_then(|outstanding| outstanding.conn());
        let conn = conn.and_then(|conn| self.pools.connection(conn));
        if let Some(outbox) = conn.and_then(|conn| conn.outbox()) {
            let cancel = pb::CancelAttempt { attempt: attempt.0 };
            outbox.put(frame(Body::CancelAttempt(cancel)));
        }
        self.end_attempt(attempt, AttemptOutcome::Cancelled, self.clock.now(), None);
    }

    /// Revokes all attempts to a node that are not written yet. No attempt must be written after its
    /// node is taken out of service, even if the scheduler requested it before.
    pub(super) fn revoke_attempts_to(&mut self, node: NodeId) {
        for attempt in self.pools.attempts_to(node) {
            if self.revoke(attempt) {
                self.end_attempt(attempt, AttemptOutcome::NotSent, self.clock.now(), None);
            }
        }
    }
}
