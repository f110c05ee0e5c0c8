//! Attempts: from the decision to send one until its end, of which there is exactly one.

use super::attempt_table::{may_still_run, OutstandingAttempt};
use super::client_sessions::OpenRequest;
use super::node_pools::NodeConnection;
use super::types::frame;
use super::{ConnId, RequestRouter};
use crate::outbox::AttemptId;
use grebecleat_scheduler::api::*;
use grebecleat_wire::pb::{self, frame::Body};
use std::time::Duration;
use tracing::debug;

impl RequestRouter {
    pub(super) fn start_attempt(&mut self, id: RequestId, node: NodeId, deadline: Duration) {
        let attempt = AttemptId(self.next_number());
        let now = self.now;
        self.counters.attempts += 1;
        let Some((number, answered)) = self.clients.attempt_started(&id, attempt) else {
            return;
        };
        let outstanding = OutstandingAttempt::new(id, number, node, now, deadline);
        self.attempts.insert(attempt, outstanding);
        let listed = self.endpoints.nodes.get(&node).map(|known| known.state);
        let ready = listed.is_some_and(|listed| self.node_state(node, listed) == NodeState::Ready);
        if answered || !ready {
            return self.end_attempt(attempt, AttemptOutcome::NotSent, now, None);
        }
        self.attempts.start_deadline(attempt, deadline);
        self.pools.enqueue(node, attempt);
        self.assign_waiting(node);
        let waits = |outstanding: &OutstandingAttempt| outstanding.conn().is_none();
        let exclusive = self.pools.wire_mode().is_exclusive();
        if exclusive && self.attempts.get(attempt).is_some_and(waits) {
            // Until as many dials as may be made at a time have had theirs, it is the dial and not
            // the node.
            let at = now + self.pools.dial_allowance();
            self.events.push(Event::AttemptSent { id, node, at });
        }
    }

    /// Assigns waiting attempts of a node to connections with capacity, the least loaded first.
    pub(super) fn assign_waiting(&mut self, node: NodeId) {
        self.pools.mark_changed(node);
        while let Some((attempt, conn)) = self.pools.take_assignable(node, self.now) {
            self.assign(attempt, conn);
        }
    }

    /// Puts an attempt into a connection's outbox.
    fn assign(&mut self, attempt: AttemptId, conn: ConnId) {
        let (assigned, waited_since) = self.attempts.assign(attempt, conn, self.now);
        let (id, node) = (assigned.request(), assigned.node());
        let (number, deadline) = (assigned.number(), assigned.deadline());
        if waited_since < self.now {
            let at = self.now;
            self.events.push(Event::AttemptSent { id, node, at });
        }
        let request = self.clients.request(&id);
        let request = request.expect("a request is open while it has an outstanding attempt");
        let client = self.clients.session(request.client());
        let client = client.map(|client| client.outbox().clone());
        let message = self.attempt_message(attempt, number, node, request);
        let frame = frame(Body::Attempt(message));
        self.pools
            .put_attempt(attempt, conn, frame, self.now, deadline, client);
    }

    fn attempt_message(
        &self,
        attempt: AttemptId,
        number: u32,
        node: NodeId,
        request: &OpenRequest,
    ) -> pb::Attempt {
        let message = request.message();
        pb::Attempt {
            attempt: attempt.0,
            id: message.id.clone(),
            number,
            node: node.0,
            traffic_class: message.traffic_class,
            plan: request.plan().0 as u32,
            plan_rate: self.config.rate(request.plan()),
            volume: message.volume,
            key: message.key,
            units: message.units,
            left_us: 0, // set when it is written
            extent: message.extent,
            length: message.length,
            write: message.write,
            piece: message.piece.clone(),
            data: message.data.clone(),
            offset: message.offset,
            version: message.version,
        }
    }

    /// Revokes an attempt if it has not crossed; whether it now never will. One that is written in
    /// part takes its connection with it, or its node would have the rest whenever it reads again.
    pub(super) fn revoke(&mut self, attempt: AttemptId) -> bool {
        let Some(outstanding) = self.attempts.get(attempt) else {
            return false;
        };
        let revoked = self.pools.revoke(attempt, outstanding.conn());
        self.counters.unsent += u64::from(revoked);
        revoked
    }

    /// The one place where an attempt ends, and the decisions are told how.
    pub(super) fn end_attempt(
        &mut self,
        attempt: AttemptId,
        outcome: AttemptOutcome,
        at: Duration,
        response: Option<pb::AttemptResponse>,
    ) {
        let Some(ended) = self.attempts.remove(attempt, outcome, self.now) else {
            return;
        };
        let responded = response.is_some();
        self.pools
            .release(attempt, ended.node(), ended.conn(), self.now, responded);
        debug!(
            attempt = attempt.0,
            node = ended.node().0,
            ?outcome,
            "attempt ended"
        );
        let sent = ended.sent();
        let at = at.max(sent);
        let elapsed = (at - sent).saturating_sub(self.pauses.within(sent, at));
        let (id, node) = (ended.request(), ended.node());
        self.clients
            .attempt_ended(&id, attempt, may_still_run(outcome));
        let response = response.unwrap_or_default();
        self.count_outcome(id, node, outcome);
        if outcome == AttemptOutcome::Completed {
            let known = self.endpoints.nodes.get(&node);
            let done = pb::Response {
                shard: known.map(|known| known.shard.0),
                data: response.data,
                superseded: response.superseded,
                ..pb::Response::default()
            };
            self.finish_request(id, pb::Outcome::Completed, done);
        }
        let request = self.clients.request(&id);
        let answered = request.is_none_or(|request| request.is_answered());
        let reported = response
            .reported
            .map(|percent| self.reported_usage(id, percent));
        self.events.push(Event::AttemptEnded(AttemptEnd {
            id,
            attempt: ended.number(),
            node,
            outcome,
            elapsed,
            answered,
            reported,
            others: response.others,
            busy: response.busy,
        }));
        self.release_request(id);
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

    /// The volume's usage everywhere, in percent of its plan's rate: as the node reported it, or as
    /// the peers know it where that is more.
    fn reported_usage(&self, id: RequestId, percent: f64) -> f64 {
        let (Some(sharing), Some(request)) = (&self.sharing, self.clients.request(&id)) else {
            return percent;
        };
        let rate = self.config.rate(request.plan()).max(1e-9);
        percent.max(sharing.served_everywhere(self.now, request.message().volume) / rate * 100.0)
    }

    /// Where a connection carries one exchange at a time, one that was given up ends with its
    /// attempt.
    fn close_after_attempt(&mut self, conn: Option<ConnId>, outcome: AttemptOutcome) {
        use AttemptOutcome::{Cancelled, TimedOut};
        let given_up = matches!(outcome, TimedOut | Cancelled);
        let Some(conn) = conn.filter(|_| self.pools.wire_mode().is_exclusive()) else {
            return;
        };
        let closed = |conn: &NodeConnection| {
            let outbox = conn.outbox();
            outbox.is_some_and(|outbox| outbox.is_closed())
        };
        let ends = |conn: &NodeConnection| given_up || closed(conn);
        if self.pools.connection(conn).is_some_and(ends) {
            self.node_disconnected(conn);
        }
    }

    /// Ends attempts whose deadline has passed. One that never crossed never ran.
    pub(super) fn expire_attempts(&mut self) {
        while let Some(attempt) = self.attempts.take_expired(self.now) {
            let outcome = match self.revoke(attempt) {
                true => AttemptOutcome::NotSent,
                false => AttemptOutcome::TimedOut,
            };
            self.end_attempt(attempt, outcome, self.now, None);
        }
    }

    /// Calls off the attempt of that number of a request.
    pub(super) fn cancel_attempt(&mut self, id: RequestId, number: u32) {
        let is_it = |attempt: &&AttemptId| {
            let outstanding = self.attempts.get(**attempt);
            outstanding.is_some_and(|outstanding| outstanding.number() == number)
        };
        let request = self.clients.request(&id);
        let outstanding = request.map(|request| request.outstanding().iter());
        let Some(attempt) = outstanding.and_then(|mut attempts| attempts.find(is_it).copied())
        else {
            return;
        };
        if self.revoke(attempt) {
            return self.end_attempt(attempt, AttemptOutcome::NotSent, self.now, None);
        }
        let outstanding = self.attempts.get(attempt);
        let conn = outstanding.and_then(|outstanding| outstanding.conn());
        let conn = conn.and_then(|conn| self.pools.connection(conn));
        if let Some(outbox) = conn.and_then(|conn| conn.outbox()) {
            let cancel = pb::CancelAttempt { attempt: attempt.0 };
            outbox.put(frame(Body::CancelAttempt(cancel)));
        }
        self.end_attempt(attempt, AttemptOutcome::Cancelled, self.now, None);
    }

    /// Revokes all attempts to a node that have not crossed: what was decided before we heard of it
    /// must not cross after.
    pub(super) fn revoke_attempts_to(&mut self, node: NodeId) {
        for attempt in self.pools.attempts_to(node) {
            if self.revoke(attempt) {
                self.end_attempt(attempt, AttemptOutcome::NotSent, self.now, None);
            }
        }
    }
}
