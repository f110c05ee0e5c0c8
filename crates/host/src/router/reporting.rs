//! What is done at every sweep: attempts and connections that have waited too long, and what is
//! reported to the state service, to subscribers and to the disk.

use super::types::frame;
use super::{Output, RequestRouter};
use crate::endpoint_list::KnownEndpoint;
use crate::log_event::{LogEvent, ProtocolViolation};
use crate::outbox::AttemptId;
use grebecleat_membership::answers::{Answers, NodeHealth};
use grebecleat_scheduler::api::*;
use grebecleat_wire::clock;
use grebecleat_wire::pb::{self, frame::Body};
use std::collections::BTreeMap;
use std::time::Duration;

impl RequestRouter {
    pub(super) fn sweep(&mut self) {
        self.end_stale_attempts();
        self.end_lost_dials();
        self.close_long_idle();
        self.publish_observations();
        self.publish_metrics();
        if std::mem::take(&mut self.endpoints_changed) {
            let bytes = self.endpoints.to_bytes(self.now);
            self.outputs.push(Output::CacheEndpoints { bytes });
        }
    }

    /// Ends attempts that have waited too long for their connection, or in its outbox.
    fn end_stale_attempts(&mut self) {
        // Each end lets others go, maybe one that is listed here: only what is now revoked never
        // crossed.
        for attempt in self.stale_attempts() {
            if !self.revoke(attempt) {
                continue;
            }
            let outstanding = self.attempts.get(attempt);
            let in_time = outstanding.is_some_and(|attempt| attempt.deadline() > self.now);
            let outcome = match in_time {
                true => AttemptOutcome::ConnectFailed,
                false => AttemptOutcome::NotSent,
            };
            self.end_attempt(attempt, outcome, self.now, None);
        }
    }

    fn stale_attempts(&self) -> Vec<AttemptId> {
        let bounds = self.bounds();
        let put_before = self.now.saturating_sub(bounds.max_dispatch_delay);
        let mut stale = self.pools.stale_in_outboxes(put_before, self.now);
        let longest_wait = bounds.dial_timeout.max(bounds.max_dispatch_delay);
        let decided_before = self.now.saturating_sub(longest_wait);
        for attempt in self.pools.all_waiting() {
            let outstanding = self.attempts.get(attempt);
            if outstanding.is_some_and(|attempt| attempt.sent() < decided_before) {
                stale.push(attempt);
            }
        }
        stale
    }

    /// Tells the state service what has changed of how this host sees nodes.
    fn publish_observations(&mut self) {
        let Some(follower) = self.config.follower() else {
            return;
        };
        if !self.config.is_up() {
            return;
        }
        let applied = follower.catalog().version().0;
        let health: BTreeMap<NodeId, NodeHealth> = self.node_health();
        let known = self.endpoints.nodes.iter();
        let rows: Vec<pb::NodeObservation> = known
            .map(|(node, known)| self.observation(*node, known, health.get(node), applied))
            .collect();
        let nodes = self.observations.changes(rows);
        if !nodes.is_empty() {
            let observations = pb::NodeObservations { nodes };
            self.config.put(Body::NodeObservations(observations));
        }
    }

    fn node_health(&self) -> BTreeMap<NodeId, NodeHealth> {
        let health = self.scheduler.nodes().map(|node| {
            let succeeded = !node.last_success.is_zero();
            let since_success = self.now.saturating_sub(node.last_success);
            let health = NodeHealth {
                admission_level: node.admission_level,
                consecutive_failures: node.consecutive_failures,
                since_success: succeeded.then_some(since_success),
            };
            (node.node, health)
        });
        health.collect()
    }

    fn observation(
        &self,
        node: NodeId,
        known: &KnownEndpoint,
        health: Option<&NodeHealth>,
        applied: u64,
    ) -> pb::NodeObservation {
        let before = self.observations.answers(node.0);
        let answers = health.map_or(Answers::None, |health| Answers::of(*health, before));
        let uptime = |started: Duration| clock::micros(self.now.saturating_sub(started));
        let extents = self.extents_by_shard.as_ref();
        let observation = pb::NodeObservation {
            node: node.0,
            listed: listed_state(known.state).into(),
            start: known.start,
            up_us: known.started.map(uptime),
            revision: known.revision,
            answers: answering(answers).into(),
            extents: extents.map(|extents| extents.get(&known.shard.0).copied().unwrap_or(0)),
            ..pb::NodeObservation::default()
        };
        // What is out at a node that serves changes all the time, and nothing waits for it to end.
        if !self.config.is_drained(node) {
            return observation;
        }
        pb::NodeObservation {
            follows: applied,
            attempts: self.attempts.outstanding_at(node),
            unsure_us: clock::micros(self.attempts.may_run_for(node, self.now)),
            ..observation
        }
    }

    /// Sends metrics to all subscribers, every second; one that leaves them unread is disconnected.
    fn publish_metrics(&mut self) {
        if !self.metrics.is_due(self.now) {
            return;
        }
        let head = self.host_metrics();
        for conn in self.metrics.slow_subscribers() {
            self.disconnect(conn, ProtocolViolation::UnreadMetrics);
        }
        let endpoints = &self.endpoints;
        let start_of = |node: NodeId| endpoints.nodes.get(&node).map_or(0, |known| known.start);
        self.metrics
            .publish(self.now, &self.scheduler, start_of, head);
    }

    fn host_metrics(&self) -> pb::HostMetrics {
        let counters = self.counters;
        let follower = self.config.follower();
        let host = self.settings.hosts.get(self.host_index);
        let metrics = pb::HostMetrics {
            host: host.map(|host| host.name.clone()).unwrap_or_default(),
            open: self.clients.request_count() as u64,
            held_bytes: self.clients.request_bytes() as u64,
            taken: counters.received + counters.refused,
            done: counters.completed,
            deferred: counters.rejected + counters.refused,
            abandoned: counters.failed,
            stalls: counters.pauses,
            draining: self.shutdown.has_begun(),
            leased: follower.is_some_and(|follower| follower.leased()),
            follows: follower.map_or(0, |follower| follower.catalog().version().0),
            longest_us: clock::micros(self.attempts.longest_deadline()),
            ..pb::HostMetrics::default()
        };
        match &self.sharing {
            Some(sharing) => sharing.metrics(self.now, &self.settings, metrics),
            None => metrics,
        }
    }
}

fn listed_state(state: NodeState) -> pb::NodeState {
    match state {
        NodeState::Ready => pb::NodeState::Ready,
        NodeState::Draining => pb::NodeState::Draining,
        NodeState::Gone => pb::NodeState::Gone,
    }
}

fn answering(answers: Answers) -> pb::Answering {
    match answers {
        Answers::None => pb::Answering::NotAsked,
        Answers::Good => pb::Answering::Well,
        Answers::Bad => pb::Answering::Badly,
    }
}

impl RequestRouter {
    pub(super) fn begin_shutdown(&mut self) {
        if self.shutdown.has_begun() {
            return;
        }
        let longest = self.clients.latest_deadline().unwrap_or(self.now);
        self.shutdown.begin(longest + self.bounds().patience);
        let open_requests = self.clients.request_count();
        self.log(LogEvent::ShutdownStarted { open_requests });
        for client in self.clients.sessions() {
            client
                .outbox()
                .put(frame(Body::GoingAway(pb::GoingAway {})));
        }
    }

    pub(super) fn complete_shutdown(&mut self) {
        let clients = &self.clients;
        let all_written = || clients.all_written();
        if self.shutdown.completes(self.now, all_written) {
            self.outputs.push(Output::ShutdownComplete);
        }
    }
}
