//! Handles the connections to nodes, and the exclusion of nodes from service by operators and peers.
//!
//! The router passes the frames and connections of nodes, the actions of the scheduler, and the
//! messages of the state service and of the peers to the methods here. `NodePools` owns the
//! connections, [`crate::config_follower`] plans, volumes and drains, and [`crate::quota_sharing`]
//! quotas and the nodes that outlier detection has found.

use super::types::frame;
use super::{ConnId, Output, RequestRouter};
use crate::config_follower::ConfigAction;
use crate::log_event::{ExclusionReason, LogEvent, ProtocolViolation};
use crate::outbox::{AttemptId, Outbox};
use crate::pool::PoolAction;
use crate::quota_sharing::SharingOutcome;
use grebecleat_discovery::endpoint_list::KnownEndpoint;
use grebecleat_scheduler::api::{
    AttemptOutcome, Endpoint, EndpointUpdateKind, Event, NodeId, NodeState, PeerId,
};
use grebecleat_wire::pb::{self, frame::Body};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// The most expired quota leases that are applied in one step, after a pause of the process. Each lease
/// ends once, and the number of leases is far below this bound. A smaller bound would apply some of
/// them late; without a bound, an error in their times could keep the step from ending.
const MAX_EXPIRIES_PER_STEP: usize = 256;

/// Handles the connections to nodes.
impl RequestRouter {
    pub(super) fn node_connected(&mut self, conn: ConnId, outbox: Arc<Outbox>) {
        if let Some(node) = self.pools.connected(conn, outbox, self.clock.now()) {
            self.assign_waiting_attempts(node);
        }
    }

    pub(super) fn handle_node_frame(&mut self, conn: ConnId, at: Duration, frame: pb::Frame) {
        match frame.body {
            Some(Body::AttemptResponse(response)) => {
                self.handle_attempt_response(conn, at, response)
            }
            Some(Body::ResponseStarted(started)) => {
                self.handle_response_started(conn, AttemptId(started.attempt))
            }
            Some(Body::HealthCheckResult(result)) => self.handle_health_check_result(&result),
            Some(Body::GoingAway(_)) => self.pools.going_away(conn),
            _ => {
                self.effects
                    .log_violation(conn, ProtocolViolation::UnexpectedNodeMessage);
                self.node_disconnected(conn);
            }
        }
    }

    fn handle_attempt_response(
        &mut self,
        conn: ConnId,
        at: Duration,
        response: pb::AttemptResponse,
    ) {
        let attempt = AttemptId(response.attempt);
        let outstanding = self.attempts.get(attempt);
        // A stray response is dropped. It is a duplicate, or a response to an attempt that has ended,
        // was never sent, or is on another connection.
        if outstanding.is_none_or(|outstanding| outstanding.conn() != Some(conn)) {
            self.metrics.counters_mut().stray_responses += 1;
            return;
        }
        let outcome = match response.result() {
            pb::Result::Ok => AttemptOutcome::Completed,
            pb::Result::Full => AttemptOutcome::QueueFull,
            pb::Result::WrongNode | pb::Result::Expired => AttemptOutcome::NotSent,
            pb::Result::Error | pb::Result::Unknown => AttemptOutcome::Failed,
        };
        self.end_attempt(attempt, outcome, at, Some(response));
    }

    fn handle_response_started(&mut self, conn: ConnId, attempt: AttemptId) {
        let Some(started) = self.attempts.response_started(attempt, conn) else {
            return;
        };
        let request_id = started.request();
        self.effects.add_event(Event::ResponseStarted {
            id: request_id,
            attempt: started.number(),
        });
        let Some(request) = self.clients.request(&request_id) else {
            return;
        };
        if let Some(client) = self.clients.session(request.client()) {
            let started = pb::ResponseStarted {
                attempt: 0,
                id: request.message().id.clone(),
            };
            client.outbox().put(frame(Body::ResponseStarted(started)));
        }
    }

    fn handle_health_check_result(&mut self, result: &pb::HealthCheckResult) {
        let Some(node) = self.pools.health_checks_mut().completed(result.probe) else {
            return;
        };
        let outcome = match result.result() {
            pb::Result::Ok => AttemptOutcome::Completed,
            _ => AttemptOutcome::Failed,
        };
        self.effects
            .add_event(Event::HealthChecked { node, outcome });
    }

    pub(super) fn node_disconnected(&mut self, conn: ConnId) {
        let Some(ended) = self.pools.disconnected(conn, self.clock.now()) else {
            return;
        };
        for attempt in ended.attempts() {
            self.attempt_lost_connection(*attempt, ended.outbox());
        }
        if let Some(outbox) = ended.outbox() {
            outbox.close();
        }
        self.effects.connection_ended(conn);
        for node in self.pools.health_checks_mut().connection_ended(conn) {
            self.effects.add_event(Event::HealthChecked {
                node,
                outcome: AttemptOutcome::ConnectionReset,
            });
        }
        self.assign_waiting_attempts(ended.node());
    }

    fn attempt_lost_connection(&mut self, attempt: AttemptId, outbox: Option<&Arc<Outbox>>) {
        let exclusive = self.pools.wire_mode().is_exclusive();
        let queued = outbox.is_some_and(|outbox| outbox.is_queued(attempt));
        if exclusive && queued && self.reassign(attempt) {
            return;
        }
        let partly_written = |outbox: &Outbox| exclusive && outbox.is_writing();
        let unsent = outbox.is_none_or(|outbox| outbox.revoke(attempt) || partly_written(outbox));
        self.metrics.counters_mut().unsent += u64::from(unsent);
        let outcome = match unsent {
            true => AttemptOutcome::ConnectFailed,
            false => AttemptOutcome::ConnectionReset,
        };
        self.end_attempt(attempt, outcome, self.clock.now(), None);
    }

    /// Makes an attempt that was still in the outbox of its connection when the connection ended wait
    /// for another one, and returns whether it does. An attempt is reassigned at most once. That a node
    /// closes an idle connection is no evidence of a fault.
    fn reassign(&mut self, attempt: AttemptId) -> bool {
        let Some(node) = self.attempts.unassign(attempt, self.clock.now()) else {
            return false;
        };
        self.pools.enqueue_first(node, attempt);
        true
    }

    /// Performs the actions that the pools want after their changes.
    pub(super) fn adjust_pools(&mut self) {
        while let Some((node, action)) = self.pools.next_action(self.clock.now()) {
            let known = self.discovery.endpoints().get(node);
            match (action, known.and_then(|known| known.address)) {
                (PoolAction::Nothing, _) => {}
                // If there is no capacity for another connection, the attempts wait; the sweep ends
                // those that have waited too long.
                (PoolAction::Dial, Some(address)) => {
                    if self.make_room_for_dial() {
                        self.dial(node, address);
                    }
                }
                (PoolAction::Fail, _) | (PoolAction::Dial, None) => {
                    for attempt in self.pools.waiting(node) {
                        self.metrics.counters_mut().unsent += 1;
                        self.end_attempt(
                            attempt,
                            AttemptOutcome::ConnectFailed,
                            self.clock.now(),
                            None,
                        );
                    }
                }
            }
        }
    }

    fn dial(&mut self, node: NodeId, address: SocketAddr) {
        let conn = ConnId(self.effects.next_id());
        self.pools.dialled(conn, node, self.clock.now());
        self.effects.add_output(Output::Dial {
            conn,
            node,
            address,
        });
    }

    /// Makes room for one more connection to any node, and returns whether there is room. At the bound
    /// on connections, this closes the one that has been idle for the longest time.
    fn make_room_for_dial(&mut self) -> bool {
        if self.pools.has_capacity() {
            return true;
        }
        let Some(longest_idle) = self.pools.longest_idle() else {
            return false;
        };
        self.node_disconnected(longest_idle);
        true
    }

    /// Closes the connections to a node that have been idle since `since` or longer.
    pub(super) fn close_idle(&mut self, node: NodeId, since: Duration) {
        // Closing a connection lets a waiting attempt be assigned, possibly to one of those that follow,
        // so each is checked again.
        for conn in self.pools.connections_to(node).to_vec() {
            if self.pools.is_idle_since(conn, since) {
                self.node_disconnected(conn);
            }
        }
    }

    /// Closes the connections that have been idle for longer than the settings allow.
    pub(super) fn close_expired_idle(&mut self) {
        let since = self.pools.idle_limit(self.clock.now());
        for node in self.pools.nodes_with_expired_idle(self.clock.now()) {
            self.close_idle(node, since);
        }
    }

    /// Ends the dials that have reported neither success nor failure, so that the attempts that wait
    /// for them do not wait for ever.
    pub(super) fn end_lost_dials(&mut self) {
        for conn in self.pools.lost_dials(self.clock.now()) {
            self.node_disconnected(conn);
        }
    }

    /// Ends the attempts that have waited too long for a connection or in an outbox.
    pub(super) fn end_stale_attempts(&mut self) {
        // The end of one attempt lets others be assigned, and a stale one may have been written by now.
        // Only an attempt that can still be revoked was not.
        for attempt in self.stale_attempts() {
            if !self.revoke(attempt) {
                continue;
            }
            let outstanding = self.attempts.get(attempt);
            let in_time = outstanding.is_some_and(|attempt| attempt.deadline() > self.clock.now());
            let outcome = match in_time {
                true => AttemptOutcome::ConnectFailed,
                false => AttemptOutcome::NotSent,
            };
            self.end_attempt(attempt, outcome, self.clock.now(), None);
        }
    }

    fn stale_attempts(&self) -> Vec<AttemptId> {
        let bounds = self.host.bounds();
        let put_before = self.clock.now().saturating_sub(bounds.max_dispatch_delay);
        let mut stale = self.pools.stale_in_outboxes(put_before, self.clock.now());
        let longest_wait = bounds.dial_timeout.max(bounds.max_dispatch_delay);
        let requested_before = self.clock.now().saturating_sub(longest_wait);
        let waiting = self.pools.all_waiting();
        stale.extend(waiting.filter(|attempt| {
            let outstanding = self.attempts.get(*attempt);
            outstanding.is_some_and(|attempt| attempt.timed_from() < requested_before)
        }));
        stale
    }

    pub(super) fn check_health(&mut self, node: NodeId) {
        let probe = self.effects.next_id();
        let Some((conn, outbox)) = self.pools.first_up_connection(node) else {
            self.effects.add_event(Event::HealthChecked {
                node,
                outcome: AttemptOutcome::ConnectFailed,
            });
            return;
        };
        outbox.put(frame(Body::HealthCheck(pb::HealthCheck { probe })));
        self.pools.health_checks_mut().sent(probe, node, conn);
    }
}

/// Handles the exclusion of nodes from service.
impl RequestRouter {
    fn is_avoided(&self, node: NodeId) -> bool {
        let sharing = self.sharing.as_ref();
        sharing.is_some_and(|sharing| sharing.is_avoided(node))
    }

    /// Returns the state of a node that is reported to the scheduler: the one in the endpoint list
    /// (`listed`), but draining for a ready node that an operator drains or that all hosts avoid.
    pub(super) fn node_state(&self, node: NodeId, listed: NodeState) -> NodeState {
        let excluded = self.config.is_drained(node) || self.is_avoided(node);
        match listed {
            NodeState::Ready if excluded => NodeState::Draining,
            listed => listed,
        }
    }

    /// Reports the nodes in service to the outlier detection that the hosts share: those that are ready
    /// in the endpoint list and that no operator drains.
    pub(super) fn share_nodes_in_service(&mut self) {
        let Some(sharing) = &mut self.sharing else {
            return;
        };
        let in_service = |(node, known): (NodeId, &KnownEndpoint)| {
            let ready = known.state == NodeState::Ready && !self.config.is_drained(node);
            ready.then_some((node.0, known.start))
        };
        let nodes = self.discovery.endpoints().iter().filter_map(in_service);
        sharing.set_nodes_in_service(nodes.collect());
    }

    /// Reports nodes whose exclusion from service has changed to the scheduler, as if the endpoint list
    /// had changed their state.
    pub(super) fn apply_exclusions(&mut self, nodes: &[NodeId], reason: ExclusionReason) {
        let endpoints: Vec<Endpoint> = nodes
            .iter()
            .filter_map(|node| self.endpoint_of(*node))
            .collect();
        for endpoint in &endpoints {
            let node = endpoint.node;
            let excluded = match reason {
                ExclusionReason::Drained => self.config.is_drained(node),
                ExclusionReason::Outlier => self.is_avoided(node),
            };
            self.effects.log(LogEvent::NodeExclusion {
                node,
                reason,
                excluded,
            });
        }
        let unready = endpoints
            .iter()
            .filter(|endpoint| endpoint.state != NodeState::Ready);
        let out_of_service: Vec<NodeId> = unready.map(|endpoint| endpoint.node).collect();
        if !endpoints.is_empty() {
            self.effects.add_event(Event::EndpointUpdate {
                kind: EndpointUpdateKind::Delta,
                endpoints,
            });
        }
        for node in out_of_service {
            self.revoke_attempts_to(node);
        }
        // An operator who drains a node waits until its outstanding attempts are reported, which a sweep
        // does.
        self.timers.sweep_now(self.clock.now());
    }

    fn endpoint_of(&self, node: NodeId) -> Option<Endpoint> {
        let known = self.discovery.endpoints().get(node)?;
        Some(Endpoint {
            node,
            zone: known.zone,
            shard: known.shard,
            state: self.node_state(node, known.state),
            started: known.started,
        })
    }
}

/// Handles the state service and the peers.
impl RequestRouter {
    pub(super) fn handle_state_service_frames(&mut self, conn: ConnId, frames: Vec<pb::Frame>) {
        for body in frames.into_iter().filter_map(|frame| frame.body) {
            if let Err(error) = self.config.handle_frame(conn, body) {
                self.effects.log_violation(conn, error.into());
                self.config.disconnected(conn, self.clock.now());
            }
        }
    }

    /// Passes changes of plans, volumes and drains to the scheduler, and the actions of the follower
    /// of the state service to the router's caller.
    pub(super) fn follow_configuration(&mut self) {
        let (events, ids) = self.effects.events_and_ids();
        let first_added = events.len();
        let now = self.clock.now();
        let actions = self.config.step(now, events, || ids.next());
        if let Some(sharing) = &mut self.sharing {
            for event in &mut events[first_added..] {
                if let Event::VolumeChanged { volume, terms } = event {
                    let hosts = self.config.hosts_of(*volume, self.host.settings());
                    *terms = sharing.volume_changed(*volume, *terms, hosts);
                }
            }
        }
        for action in actions {
            self.effects.add_output(match action {
                ConfigAction::Dial { conn } => Output::DialStateService { conn },
                ConfigAction::Persist { number, records } => Output::Persist { number, records },
                ConfigAction::Log { text } => Output::Log(LogEvent::Catalog { text }),
            });
        }
        if let Some(changed) = self.config.take_drain_changes() {
            self.apply_exclusions(&changed, ExclusionReason::Drained);
            self.share_nodes_in_service();
        }
    }

    /// Applies the expiries of quota leases during a pause of the process, each as of its own time. The
    /// scheduler refills its token buckets by the elapsed time; without this step it would refill them
    /// for the whole pause at a rate that other hosts got back when the leases expired. This step comes
    /// before the inputs are handled, since a peer's request for quota takes effect only now.
    pub(super) fn expire_quota_leases(&mut self) {
        for _ in 0..MAX_EXPIRIES_PER_STEP {
            let now = self.clock.now();
            let sharing = self.sharing.as_mut();
            let Some(sharing) = sharing.filter(|sharing| sharing.quota_changes_at() < now) else {
                return;
            };
            let expiry = sharing.quota_changes_at();
            let mut events = Vec::new();
            let outcome = sharing.step(expiry, &mut events);
            self.apply_sharing_outcome(outcome);
            if events.is_empty() {
                continue;
            }
            for action in self.scheduler.step(expiry, events) {
                self.perform(action);
            }
        }
    }

    /// Handles the messages of the peers, and passes changes of quotas to the scheduler.
    pub(super) fn exchange_gossip(&mut self) {
        let Some(sharing) = &mut self.sharing else {
            return;
        };
        let (events, _) = self.effects.events_and_ids();
        let outcome = sharing.step(self.clock.now(), events);
        self.apply_sharing_outcome(outcome);
    }

    pub(super) fn handle_peer_message(
        &mut self,
        from: PeerId,
        transit_time: Duration,
        bytes: Vec<u8>,
    ) {
        if let Some(sharing) = self.sharing.as_mut().filter(|_| !bytes.is_empty()) {
            sharing.message_received(from, transit_time, &bytes);
        }
        self.effects.add_event(Event::PeerMessage { from, bytes });
    }

    fn apply_sharing_outcome(&mut self, outcome: SharingOutcome) {
        for (to, bytes) in outcome.messages {
            self.effects.add_output(Output::SendToPeer {
                to: Some(to),
                bytes,
            });
        }
        for event in outcome.log {
            self.effects.log(event);
        }
        if !outcome.changed_nodes.is_empty() {
            self.apply_exclusions(&outcome.changed_nodes, ExclusionReason::Outlier);
        }
    }
}
