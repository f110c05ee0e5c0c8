//! What hosts and operators ask, as events of the leader and of the membership.

use super::owner::{Owner, StepInput};
use crate::codec::changes_from_proto;
use crate::subscription::Subscription;
use grebecleat_catalog::feed::HostNumber;
use grebecleat_catalog::leader::{CallId, Epoch, Event as LeaderEvent, Proposal};
use grebecleat_catalog::records::Version;
use grebecleat_membership::answers::Answers;
use grebecleat_membership::drains::{Event as MembershipEvent, NodeObservation};
use grebecleat_membership::list_reading::ListedState;
use grebecleat_wire::pb::{self, frame::Body};
use std::time::Duration;
use tracing::warn;

impl Owner<'_> {
    /// Handles a frame; a peer that sends what is not of its role is disconnected.
    pub(super) fn handle_frame(&mut self, conn: u64, body: Body, input: &mut StepInput) {
        let Some(peer) = self.peers.get(&conn).filter(|peer| !peer.superseded) else {
            return;
        };
        match (body, peer.host) {
            (Body::NodeObservations(observations), Some(host)) => {
                handle_observations(host, observations, input);
            }
            (Body::FollowRequest(request), Some(host)) => {
                self.handle_follow(conn, host, &request, input);
            }
            (Body::Acknowledge(acknowledge), Some(host)) => {
                input.leader.push(LeaderEvent::Acknowledged {
                    host,
                    epoch: Epoch(acknowledge.epoch),
                    applied: Version(acknowledge.applied),
                });
            }
            (Body::Subscribe(subscribe), None) => {
                let subscription = Subscription::new(subscribe.call);
                self.subscriptions.insert(conn, subscription);
            }
            (Body::Propose(propose), None) => self.handle_propose(conn, propose, input),
            (Body::Undo(undo), None) => self.handle_undo(conn, undo, input),
            (Body::HostGone(gone), None) => self.handle_host_gone(conn, gone, input),
            (Body::ForceEpoch(force), None) => self.handle_force_epoch(conn, force, input),
            (Body::Query(query), None) => self.handle_query(conn, query),
            (Body::GoingAway(_), _) => {}
            _ => {
                warn!(name = %peer.name, "peer sent a frame that is not of its role");
                peer.frames.disconnect();
            }
        }
    }

    fn handle_follow(
        &mut self,
        conn: u64,
        host: HostNumber,
        request: &pb::FollowRequest,
        input: &mut StepInput,
    ) {
        let call = self.register_call(conn, request.call);
        input.leader.push(LeaderEvent::Polled {
            call,
            host,
            epoch: Epoch(request.epoch),
            applied: Version(request.applied),
            stable: Version(request.stable),
            acknowledged: Version(request.acknowledged),
        });
    }

    fn handle_propose(&mut self, conn: u64, propose: pb::Propose, input: &mut StepInput) {
        let call = self.register_call(conn, propose.call);
        let changes = match changes_from_proto(propose.changes) {
            Ok(changes) => changes,
            Err(error) => return self.reject(call, error.to_string()),
        };
        let base_version = match propose.base_version {
            Some(version) => Version(version),
            None => self.leader.catalog().version(),
        };
        let proposal = Proposal {
            author: propose.author,
            reason: propose.reason,
            base_version,
            changes,
            at: propose.at_us.map(Duration::from_micros),
            force: propose.force,
            dry_run: propose.dry_run,
        };
        input.leader.push(LeaderEvent::Proposed { call, proposal });
    }

    fn handle_undo(&mut self, conn: u64, undo: pb::Undo, input: &mut StepInput) {
        let call = self.register_call(conn, undo.call);
        input.leader.push(LeaderEvent::Undo {
            call,
            author: undo.author,
            reason: undo.reason,
            revision: Version(undo.revision),
            force: undo.force,
        });
    }

    fn handle_host_gone(&mut self, conn: u64, gone: pb::HostGone, input: &mut StepInput) {
        let call = self.register_call(conn, gone.call);
        let Some(host) = self.host_number(&gone.host) else {
            return self.reject(call, format!("{} is no host here", gone.host));
        };
        input.leader.push(LeaderEvent::HostRemoved {
            call,
            host,
            author: gone.author,
        });
        input.membership.push(MembershipEvent::HostRemoved { host });
    }

    fn handle_force_epoch(&mut self, conn: u64, force: pb::ForceEpoch, input: &mut StepInput) {
        let call = self.register_call(conn, force.call);
        input.leader.push(LeaderEvent::ForceEpoch {
            call,
            author: force.author,
            reason: force.reason,
        });
    }

    /// Answers an operator's call; a call whose caller is gone has no answer.
    pub(super) fn reply(&mut self, call: CallId, body: impl FnOnce(u64) -> Body) {
        let Some(peer_call) = self.calls.remove(&call) else {
            return;
        };
        if let Some(peer) = self.peers.get(&peer_call.conn) {
            peer.frames.send(body(peer_call.call));
        }
    }

    /// Rejects an operator's change.
    pub(super) fn reject(&mut self, call: CallId, reason: String) {
        self.reply(call, |call| {
            Body::ChangeRejected(pb::ChangeRejected { call, reason })
        });
    }
}

fn handle_observations(
    host: HostNumber,
    observations: pb::NodeObservations,
    input: &mut StepInput,
) {
    for observation in observations.nodes {
        input.membership.push(MembershipEvent::Observed {
            host,
            node: observation.node,
            observation: observation_from_proto(&observation),
        });
    }
}

/// What a host observes of a node.
fn observation_from_proto(observation: &pb::NodeObservation) -> NodeObservation {
    let listed = match observation.listed() {
        pb::NodeState::NodeUnknown => ListedState::Never,
        pb::NodeState::Ready => ListedState::Ready,
        pb::NodeState::Draining => ListedState::Draining,
        pb::NodeState::Gone => ListedState::Gone,
    };
    let answers = match observation.answers() {
        pb::Answering::NotAsked => Answers::None,
        pb::Answering::Well => Answers::Good,
        pb::Answering::Badly => Answers::Bad,
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
