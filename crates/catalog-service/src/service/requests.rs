//! Converts the frames of hosts and operators into events of the leader and of the membership.
//!
//! Called by [`super::owner`] for each frame. Has no state.

use super::owner::StepInput;
use super::peer_table::{PeerRole, PeerTable};
use super::query_handler::QueryHandler;
use super::service_state::ServiceState;
use super::subscriptions::SubscriptionTable;
use crate::codec::{changes_from_proto, DecodeError};
use grebecleat_catalog::feed::HostNumber;
use grebecleat_catalog::leader::{CallId, Epoch, Event as LeaderEvent, Proposal};
use grebecleat_catalog::records::Version;
use grebecleat_membership::answers::ResponseHealth;
use grebecleat_membership::drains::{Event as MembershipEvent, NodeObservation};
use grebecleat_membership::list_entry::ListedState;
use grebecleat_wire::pb::{self, frame::Body};
use std::time::Duration;

/// Handles one frame of one connection, with the components of the service that a frame affects.
pub(super) struct RequestHandler<'a> {
    /// The connection that sent the frame.
    pub conn: u64,
    /// The decided state, which queries read.
    pub state: ServiceState<'a>,
    /// The connected peers, for roles, calls and answers.
    pub peers: &'a mut PeerTable,
    /// The subscriptions, to which an operator may be added.
    pub subscriptions: &'a mut SubscriptionTable,
    /// Answers queries.
    pub queries: &'a QueryHandler,
    /// The input of the step, to which the frame's events are added.
    pub input: &'a mut StepInput,
}

impl RequestHandler<'_> {
    /// Handles a frame. Drops a frame of a superseded connection; disconnects a peer that sends a
    /// frame that its role does not send.
    pub fn handle(&mut self, body: Body) {
        match self.peers.role(self.conn) {
            Some(PeerRole::Host(host)) => self.handle_host_frame(host, body),
            Some(PeerRole::Operator) => self.handle_operator_frame(body),
            None => {}
        }
    }

    fn handle_host_frame(&mut self, host: HostNumber, body: Body) {
        match body {
            Body::NodeObservations(observations) => self.add_observations(host, observations),
            Body::FollowRequest(request) => {
                let call = self.register(request.call);
                self.input.leader.push(polled_event(call, host, &request));
            }
            Body::Acknowledge(acknowledge) => {
                self.input.leader.push(LeaderEvent::Acknowledged {
                    host,
                    epoch: Epoch(acknowledge.epoch),
                    applied: Version(acknowledge.applied),
                });
            }
            Body::GoingAway(_) => {}
            _ => self.peers.disconnect(self.conn),
        }
    }

    fn handle_operator_frame(&mut self, body: Body) {
        match body {
            Body::Subscribe(subscribe) => self.subscriptions.subscribe(self.conn, subscribe.call),
            Body::Propose(propose) => self.handle_propose(propose),
            Body::Undo(undo) => self.handle_undo(undo),
            Body::HostGone(gone) => self.handle_host_gone(gone),
            Body::ForceEpoch(force) => self.handle_force_epoch(force),
            Body::Query(query) => {
                self.queries
                    .handle(self.conn, query, &self.state, self.peers);
            }
            Body::GoingAway(_) => {}
            _ => self.peers.disconnect(self.conn),
        }
    }

    fn register(&mut self, call: u64) -> CallId {
        self.peers.register_call(self.conn, call)
    }

    fn add_observations(&mut self, host: HostNumber, observations: pb::NodeObservations) {
        for observation in observations.nodes {
            self.input.membership.push(MembershipEvent::Observed {
                host,
                node: observation.node,
                observation: observation_from_proto(&observation),
            });
        }
    }

    fn handle_propose(&mut self, propose: pb::Propose) {
        let call = self.register(propose.call);
        let present = self.state.leader.catalog().version();
        match proposal_from_proto(propose, present) {
            Ok(proposal) => {
                let proposed = LeaderEvent::Proposed { call, proposal };
                self.input.leader.push(proposed);
            }
            Err(error) => self.peers.reject(call, error.to_string()),
        }
    }

    fn handle_undo(&mut self, undo: pb::Undo) {
        let call = self.register(undo.call);
        self.input.leader.push(LeaderEvent::Undo {
            call,
            author: undo.author,
            reason: undo.reason,
            revision: Version(undo.revision),
            force: undo.force,
        });
    }

    fn handle_host_gone(&mut self, gone: pb::HostGone) {
        let call = self.register(gone.call);
        let Some(host) = self.peers.host_number(&gone.host) else {
            let reason = format!(
                "unknown host {}: expected the name of a host in the settings of the state service",
                gone.host
            );
            return self.peers.reject(call, reason);
        };
        self.input.leader.push(LeaderEvent::HostRemoved {
            call,
            host,
            author: gone.author,
        });
        let removed = MembershipEvent::HostRemoved { host };
        self.input.membership.push(removed);
    }

    fn handle_force_epoch(&mut self, force: pb::ForceEpoch) {
        let call = self.register(force.call);
        self.input.leader.push(LeaderEvent::ForceEpoch {
            call,
            author: force.author,
            reason: force.reason,
        });
    }
}

/// Returns the event of a host's poll.
fn polled_event(call: CallId, host: HostNumber, request: &pb::FollowRequest) -> LeaderEvent {
    LeaderEvent::Polled {
        call,
        host,
        epoch: Epoch(request.epoch),
        applied: Version(request.applied),
        stable: Version(request.stable),
        acknowledged: Version(request.acknowledged),
    }
}

/// Decodes an operator's proposal. `present`: the base version of a proposal that states none.
fn proposal_from_proto(propose: pb::Propose, present: Version) -> Result<Proposal, DecodeError> {
    Ok(Proposal {
        author: propose.author,
        reason: propose.reason,
        base_version: propose.base_version.map_or(present, Version),
        changes: changes_from_proto(propose.changes)?,
        at: propose.at_us.map(Duration::from_micros),
        force: propose.force,
        dry_run: propose.dry_run,
    })
}

/// Decodes a host's observation of a node.
fn observation_from_proto(observation: &pb::NodeObservation) -> NodeObservation {
    let listed = match observation.listed() {
        pb::NodeState::NodeUnknown => ListedState::NeverListed,
        pb::NodeState::Ready => ListedState::Ready,
        pb::NodeState::Draining => ListedState::Draining,
        pb::NodeState::Gone => ListedState::Gone,
    };
    let answers = match observation.answers() {
        pb::Answering::NotAsked => ResponseHealth::None,
        pb::Answering::Well => ResponseHealth::Good,
        pb::Answering::Badly => ResponseHealth::Bad,
    };
    NodeObservation {
        listed,
        incarnation: observation.start,
        age: observation.up_us.map(Duration::from_micros),
        revision: observation.revision,
        answers,
        catalog_version: Version(observation.follows),
        attempts: observation.attempts,
        unresolved_for: Duration::from_micros(observation.unsure_us),
        extents: observation.extents,
    }
}
