//! Clients: their requests, from the first byte to the one final answer.

use super::client_sessions::OpenRequest;
use super::request_terms::{request_terms, RequestTerms, Unserved};
use super::types::{frame, request_id};
use super::{ConnId, RequestRouter};
use crate::admission::{admit, Load, Refusal};
use crate::config_follower::VolumePlacement;
use crate::log_event::ProtocolViolation;
use crate::outbox::{AttemptId, Outbox};
use grebecleat_scheduler::api::*;
use grebecleat_wire::clock;
use grebecleat_wire::pb::{self, frame::Body};
use std::sync::Arc;
use std::time::Duration;

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
        let waited = client.transit_time(frame.sent_us, at);
        match frame.body {
            Some(Body::SubmitRequest(message)) => self.receive_request(conn, at, waited, message),
            Some(Body::CancelRequest(message)) => {
                client.outbox().cancel_handled(&message.id);
                let own = |id: &RequestId| {
                    let request = self.clients.request(id);
                    request.is_some_and(|request| request.client() == conn)
                };
                if let Some(id) = request_id(&message.id).filter(own) {
                    self.counters.cancelled += 1;
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
        waited: Duration,
        message: pb::SubmitRequest,
    ) {
        let wire_mode = self.pools.wire_mode();
        let is_open = |id: &RequestId| self.clients.request(id).is_some();
        let terms = request_terms(&message, &self.settings, &self.config, wire_mode, is_open);
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
        if let Err(refusal) = admit(load, message.data.len(), self.bounds()) {
            return self.refuse(conn, message, refusal);
        }
        let left = Duration::from_micros(message.left_us).min(terms.class_deadline);
        // What the frame waited on its way to us is gone from the client's time, as is what the
        // answer needs.
        let margin = self.settings.rules.answer_margin;
        let deadline = (at + left).saturating_sub(waited + margin);
        self.open_request(conn, message, &terms, at.saturating_sub(waited), deadline);
    }

    /// Hands a request to the decisions.
    fn open_request(
        &mut self,
        conn: ConnId,
        message: pb::SubmitRequest,
        terms: &RequestTerms,
        received: Duration,
        deadline: Duration,
    ) {
        self.counters.received += 1;
        self.metrics.request_received(received, &message);
        if let Some(sharing) = &mut self.sharing {
            sharing.request_received(message.volume, message.units);
        }
        self.events.push(Event::RequestReceived(Request {
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

    /// Rejects a request on arrival: it never ran, and its client may come again.
    fn refuse(&mut self, conn: ConnId, message: pb::SubmitRequest, refusal: Refusal) {
        self.counters.refused += 1;
        let longest = self.settings.host_limits.max_retry_after;
        let retry_after = longest.map(|longest| refusal.retry_after().min(longest));
        let response = pb::Response {
            id: message.id,
            outcome: pb::Outcome::Rejected.into(),
            retry_after_us: retry_after.map(clock::micros),
            ..pb::Response::default()
        };
        self.respond(conn, response);
    }

    /// A request of a volume that this host does not serve never runs here.
    fn reject_not_here(
        &mut self,
        conn: ConnId,
        message: pb::SubmitRequest,
        placement: VolumePlacement,
    ) {
        self.counters.refused += 1;
        // Elsewhere, or later, it may; of a volume that is no more there is nothing to come back
        // for.
        let outcome = match placement {
            VolumePlacement::Unknown => pb::Outcome::Failed,
            _ => pb::Outcome::Rejected,
        };
        let longest = self
            .settings
            .host_limits
            .max_retry_after
            .unwrap_or_default();
        let retry_after = Refusal::Draining.retry_after().min(longest);
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
        // A client that never reads must not hold our memory; its requests are then dropped.
        if client.outbox().bytes() > self.bounds().max_unread {
            self.disconnect(conn, ProtocolViolation::UnreadResponses);
        }
    }

    /// The one place where a request gets its final answer.
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
        // The answer says whether an effect may still come, so what can be revoked is revoked
        // first.
        let (revoked, crossed): (Vec<AttemptId>, Vec<AttemptId>) = outstanding
            .into_iter()
            .partition(|attempt| self.revoke(*attempt));
        let unsure = outcome != pb::Outcome::Completed && (may_still_run || !crossed.is_empty());
        let response = pb::Response {
            id: message_id,
            outcome: outcome.into(),
            unsure,
            ..response
        };
        self.respond(client, response);
        for attempt in revoked {
            self.end_attempt(attempt, AttemptOutcome::NotSent, self.now, None);
        }
        self.release_request(id);
    }

    fn count_finished(&mut self, id: RequestId, outcome: pb::Outcome) {
        let request = self.clients.request(&id);
        if let Some(request) = request.filter(|_| outcome == pb::Outcome::Completed) {
            let message = request.message();
            let class = &self.settings.traffic_classes[message.traffic_class as usize];
            let objective = class.facts.latency_objective;
            self.metrics
                .request_completed(request.received(), message, self.now, objective);
        }
        match outcome {
            pb::Outcome::Completed => self.counters.completed += 1,
            pb::Outcome::Rejected => self.counters.rejected += 1,
            _ => self.counters.failed += 1,
        }
    }

    /// After a request is answered: attempts of it that have not crossed never do, and its record
    /// goes with the last.
    pub(super) fn release_request(&mut self, id: RequestId) {
        let request = self.clients.request(&id);
        let Some(answered) = request.filter(|request| request.is_answered()) else {
            return;
        };
        for attempt in answered.outstanding().to_vec() {
            if self.revoke(attempt) {
                self.end_attempt(attempt, AttemptOutcome::NotSent, self.now, None);
            }
        }
        self.clients.remove_if_over(id);
    }

    fn cancel_request(&mut self, id: RequestId) {
        if self.clients.mark_answered(&id).is_none() {
            return;
        }
        self.events.push(Event::RequestCancelled { id });
        self.release_request(id);
    }

    pub(super) fn client_disconnected(&mut self, conn: ConnId) {
        self.metrics.unsubscribe(conn);
        let Some(open) = self.clients.disconnect(conn) else {
            return;
        };
        self.bad_peers.connection_ended(conn);
        for id in open {
            let request = self.clients.request(&id);
            let waiting = request.is_some_and(|request| !request.is_answered());
            self.counters.cancelled += u64::from(waiting);
            self.cancel_request(id);
        }
    }

    /// Closes a bad client's connection, and logs why.
    pub(super) fn disconnect(&mut self, conn: ConnId, violation: ProtocolViolation) {
        self.log_violation(conn, violation);
        self.client_disconnected(conn);
    }
}
