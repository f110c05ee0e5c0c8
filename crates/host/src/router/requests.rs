//! The course of a request: from its arrival, through its attempts, to its one final response.
//!
//! Called by the router with the frames of clients and the actions of the scheduler. The state is
//! that of `ClientSessions`, `AttemptTable` and `NodePools`; the methods here define the order
//! in which the three change. A request is finished in one place ([`RequestRouter::finish_request`]),
//! and an attempt ends in one place ([`RequestRouter::end_attempt`]).

use super::attempt_table::{may_still_run, OutstandingAttempt};
use super::client_sessions::OpenRequest;
use super::node_connection::NodeConnection;
use super::request_terms::{request_terms, RequestTerms, Unserved};
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

/// The smallest rate, in units a second, that a volume's usage is divided by. The bound keeps the
/// usage of a volume whose plan has no rate finite.
const MIN_RATE: f64 = 1e-9;

/// Clients and their requests.
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
                client.outbox().cancel_handled(&message.id);
                let own = |id: &RequestId| {
                    let request = self.clients.request(id);
                    request.is_some_and(|request| request.client() == conn)
                };
                if let Some(id) = request_id(&message.id).filter(own) {
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
            Err(Unserved::Invalid(violation)) => return self.disconnect(conn, violation),
            Err(Unserved::NotHere(placement)) => {
                return self.reject_not_here(conn, message, placement)
            }
        };
        let load = Load {
            open: self.clients.request_count(),
            bytes: self.clients.request_bytes(),
            draining: self.shutdown.has_begun(),
        };
        if let Err(refusal) = admit(load, message.data.len(), self.host.bounds()) {
            return self.refuse(conn, message, refusal);
        }
        let left = Duration::from_micros(message.left_us).min(terms.class_deadline);
        // The client's deadline also runs while the frame and the response are on their way.
        let margin = self.host.settings().rules.answer_margin;
        let deadline = (at + left).saturating_sub(transit_time + margin);
        let received = at.saturating_sub(transit_time);
        self.open_request(conn, message, &terms, received, deadline);
    }

    /// Hands a request to the scheduler.
    fn open_request(
        &mut self,
        conn: ConnId,
        message: pb::SubmitRequest,
        terms: &RequestTerms,
        received: Duration,
        deadline: Duration,
    ) {
        self.metrics.counters_mut().received += 1;
        self.metrics.request_received(received, &message);
        if let Some(sharing) = &mut self.sharing {
            sharing.request_received(message.volume, message.units);
        }
        self.effects.event(Event::RequestReceived(Request {
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
        let request = OpenRequest::new(conn, message, terms.plan, received, deadline);
        self.clients.open(terms.id, request);
    }

    /// Rejects a request on arrival: it never runs, and its client may retry it.
    fn refuse(&mut self, conn: ConnId, message: pb::SubmitRequest, refusal: Refusal) {
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

    /// Rejects a request of a volume that this host does not serve: it never runs here.
    fn reject_not_here(
        &mut self,
        conn: ConnId,
        message: pb::SubmitRequest,
        placement: VolumePlacement,
    ) {
        self.metrics.counters_mut().refused += 1;
        // Another host, or this one later, may serve a volume that is elsewhere or not yet known. A
        // retry for a volume that does not exist has no chance.
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
        // The responses to a client that never reads would fill this host's memory. Its requests
        // are cancelled.
        if client.outbox().bytes() > self.host.bounds().max_unread {
            self.disconnect(conn, ProtocolViolation::UnreadResponses);
        }
    }

    /// Sends a request its final response, unless it has had one.
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
        // be revoked are revoked first.
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
            self.metrics.request_completed(
                request.received(),
                message,
                self.clock.now(),
                objective,
            );
        }
        match outcome {
            pb::Outcome::Completed => self.metrics.counters_mut().completed += 1,
            pb::Outcome::Rejected => self.metrics.counters_mut().rejected += 1,
            _ => self.metrics.counters_mut().failed += 1,
        }
    }

    /// Revokes the attempts of an answered request that are not written yet, and removes the
    /// request once its last attempt has ended.
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
        self.clients.remove_if_over(id);
    }

    fn cancel_request(&mut self, id: RequestId) {
        if self.clients.mark_answered(&id).is_some() {
            self.effects.event(Event::RequestCancelled { id });
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

    /// Logs a violation by a client or a subscriber, and closes its connection.
    pub(super) fn disconnect(&mut self, conn: ConnId, violation: ProtocolViolation) {
        self.effects.log_violation(conn, violation);
        self.client_disconnected(conn);
    }
}

/// Attempts.
impl RequestRouter {
    pub(super) fn start_attempt(&mut self, id: RequestId, node: NodeId, deadline: Duration) {
        let attempt = AttemptId(self.effects.next_number());
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
        self.assign_waiting(node);
        let waits = |outstanding: &OutstandingAttempt| outstanding.conn().is_none();
        let exclusive = self.pools.wire_mode().is_exclusive();
        if exclusive && self.attempts.get(attempt).is_some_and(waits) {
            // Until each of the dials that may run at a time has had its handshake, the attempt is
            // late because of the dial, and not because of the node.
            self.effects.event(Event::AttemptSent {
                id,
                node,
                at: now + self.pools.dial_allowance(),
            });
        }
    }

    /// Assigns waiting attempts of a node to connections with capacity, the least loaded first.
    pub(super) fn assign_waiting(&mut self, node: NodeId) {
        self.pools.mark_changed(node);
        while let Some((attempt, conn)) = self.pools.take_assignable(node, self.clock.now()) {
            self.assign(attempt, conn);
        }
    }

    /// Puts an attempt into the outbox of a connection.
    fn assign(&mut self, attempt: AttemptId, conn: ConnId) {
        let (assigned, waited_since) = self.attempts.assign(attempt, conn, self.clock.now());
        let request_id = assigned.request();
        let node = assigned.node();
        let number = assigned.number();
        let deadline = assigned.deadline();
        if waited_since < self.clock.now() {
            self.effects.event(Event::AttemptSent {
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

    /// Revokes an attempt that is not written to its node, and returns whether it now never will
    /// be.
    pub(super) fn revoke(&mut self, attempt: AttemptId) -> bool {
        let Some(outstanding) = self.attempts.get(attempt) else {
            return false;
        };
        let revoked = self.pools.revoke(attempt, outstanding.conn());
        self.metrics.counters_mut().unsent += u64::from(revoked);
        revoked
    }

    /// Ends an attempt, and reports its outcome to the scheduler.
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
        let sent = ended.sent();
        let ended_at = at.max(sent);
        let paused = self.clock.paused_within(sent, ended_at);
        let elapsed = (ended_at - sent).saturating_sub(paused);
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
        self.effects.event(Event::AttemptEnded(AttemptEnd {
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
        self.assign_waiting(node);
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

    /// Returns the usage of the volume by all hosts, in percent of its plan's rate: the larger of
    /// the node's load report and the sum that the peers report.
    fn reported_usage(&self, id: RequestId, percent: f64) -> f64 {
        let (Some(sharing), Some(request)) = (&self.sharing, self.clients.request(&id)) else {
            return percent;
        };
        let rate = self.config.rate(request.plan()).max(MIN_RATE);
        let served = sharing.served_everywhere(self.clock.now(), request.message().volume);
        percent.max(served / rate * 100.0)
    }

    /// Closes a connection that carries one exchange at a time after an attempt on it was
    /// abandoned: a late response would be taken for that of the next attempt.
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

    /// Ends the attempts whose deadline has passed. An attempt that was not written never ran.
    pub(super) fn expire_attempts(&mut self) {
        while let Some(attempt) = self.attempts.take_expired(self.clock.now()) {
            let outcome = match self.revoke(attempt) {
                true => AttemptOutcome::NotSent,
                false => AttemptOutcome::TimedOut,
            };
            self.end_attempt(attempt, outcome, self.clock.now(), None);
        }
    }

    /// Cancels the attempt with this number among the attempts of a request.
    pub(super) fn cancel_attempt(&mut self, id: RequestId, number: u32) {
        let request = self.clients.request(&id);
        let outstanding = request.map_or(&[][..], |request| request.outstanding());
        let Some(attempt) = self.attempts.with_number(outstanding, number) else {
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

    /// Revokes all attempts to a node that are not written yet: an attempt that was decided before
    /// the node was excluded must not be written after.
    pub(super) fn revoke_attempts_to(&mut self, node: NodeId) {
        for attempt in self.pools.attempts_to(node) {
            if self.revoke(attempt) {
                self.end_attempt(attempt, AttemptOutcome::NotSent, self.clock.now(), None);
            }
        }
    }
}
