//! What the state service, operators and peers change: plans and volumes, drains, quotas of limits,
//! and nodes that all hosts find bad.

use super::{ConnId, Output, RequestRouter};
use crate::config_follower::{ConfigAction, ConfigFollower};
use crate::endpoint_list::KnownEndpoint;
use crate::log_event::{ExclusionReason, LogEvent};
use crate::quota_sharing::SharingOutcome;
use grebecleat_catalog::records::Name;
use grebecleat_coordination::HostNumber;
use grebecleat_scheduler::api::*;
use grebecleat_settings::Settings;
use grebecleat_wire::pb;
use std::collections::BTreeSet;
use std::time::Duration;

/// Ends of quota leases that are looked at one by one after a pause.
const MAX_EXPIRIES_PER_STEP: usize = 256;

/// Through which of the settings' hosts a volume works, as it is followed.
fn hosts_of_volume(
    config: &ConfigFollower,
    settings: &Settings,
    volume: VolumeId,
) -> BTreeSet<HostNumber> {
    let follower = config.follower();
    let Some(known) = follower.and_then(|follower| follower.catalog().volume(volume.0)) else {
        return BTreeSet::new();
    };
    let index = |name: &Name| {
        let mut hosts = settings.hosts.iter();
        hosts.position(|host| host.name.as_str() == &**name)
    };
    let indexes = known.hosts.iter().filter_map(index);
    indexes.map(|index| HostNumber(index as u32)).collect()
}

impl RequestRouter {
    pub(super) fn handle_state_service_frames(&mut self, conn: ConnId, frames: Vec<pb::Frame>) {
        for body in frames.into_iter().filter_map(|frame| frame.body) {
            if let Err(error) = self.config.handle_frame(conn, body) {
                self.log_violation(conn, error.into());
                self.config.disconnected(conn, self.now);
            }
        }
    }

    /// Tells the decisions what has changed of plans and volumes, and the disk and the service what
    /// they must know.
    pub(super) fn follow_configuration(&mut self) {
        let mut last_number = self.last_number;
        let next_number = || {
            last_number += 1;
            last_number
        };
        let first = self.events.len();
        let actions = self.config.step(self.now, &mut self.events, next_number);
        self.last_number = last_number;
        if let Some(sharing) = &mut self.sharing {
            for event in &mut self.events[first..] {
                if let Event::VolumeChanged { volume, terms } = event {
                    let hosts = hosts_of_volume(&self.config, &self.settings, *volume);
                    *terms = sharing.volume_changed(*volume, *terms, hosts);
                }
            }
        }
        for action in actions {
            self.outputs.push(match action {
                ConfigAction::Dial { conn } => Output::DialStateService { conn },
                ConfigAction::Persist { number, records } => Output::Persist { number, records },
                ConfigAction::Log { text } => Output::Log(LogEvent::Catalog { text }),
            });
        }
        if let Some(changed) = self.config.take_drain_changes() {
            self.apply_exclusions(&changed, ExclusionReason::Drained);
            self.share_known_nodes();
        }
    }

    /// Quota that was leased to this host and ran out during a pause of the process ended then, and
    /// not now: the decisions fill their buckets by the time that has gone by, and would do it by a
    /// rate that others have long had again. Before anything is taken in, since what peers request
    /// counts from now on.
    pub(super) fn expire_quota_leases(&mut self) {
        // Leases end one after the other; the last of them well within so many looks.
        for _ in 0..MAX_EXPIRIES_PER_STEP {
            let now = self.now;
            let sharing = self.sharing.as_mut();
            let Some(sharing) = sharing.filter(|sharing| sharing.quota_changes_at() < now) else {
                return;
            };
            let at = sharing.quota_changes_at();
            let mut events = Vec::new();
            let outcome = sharing.step(at, &mut events);
            self.apply_sharing_outcome(outcome);
            if events.is_empty() {
                continue;
            }
            for action in self.scheduler.step(at, events) {
                self.perform(action);
            }
        }
    }

    /// Hears and tells peers, and tells the decisions what came of it.
    pub(super) fn exchange_gossip(&mut self) {
        let Some(sharing) = &mut self.sharing else {
            return;
        };
        let outcome = sharing.step(self.now, &mut self.events);
        self.apply_sharing_outcome(outcome);
    }

    pub(super) fn handle_peer_message(&mut self, from: PeerId, waited: Duration, bytes: Vec<u8>) {
        if let Some(sharing) = self.sharing.as_mut().filter(|_| !bytes.is_empty()) {
            sharing.message_received(from, waited, &bytes);
        }
        self.events.push(Event::PeerMessage { from, bytes });
    }

    fn apply_sharing_outcome(&mut self, outcome: SharingOutcome) {
        for (to, bytes) in outcome.messages {
            let to = Some(to);
            self.outputs.push(Output::SendToPeer { to, bytes });
        }
        for event in outcome.log {
            self.log(event);
        }
        if !outcome.changed_nodes.is_empty() {
            self.apply_exclusions(&outcome.changed_nodes, ExclusionReason::Outlier);
        }
    }

    fn is_avoided(&self, node: NodeId) -> bool {
        let sharing = self.sharing.as_ref();
        sharing.is_some_and(|sharing| sharing.is_avoided(node))
    }

    /// Tells the fleet's outlier detection which nodes the endpoint list and the operators have in
    /// use.
    pub(super) fn share_known_nodes(&mut self) {
        let Some(sharing) = &mut self.sharing else {
            return;
        };
        let in_use = |(node, known): (&NodeId, &KnownEndpoint)| {
            let used = known.state == NodeState::Ready && !self.config.is_drained(*node);
            used.then_some((node.0, known.start))
        };
        let nodes = self.endpoints.nodes.iter().filter_map(in_use);
        sharing.nodes_in_use(nodes.collect());
    }

    /// What a node counts as: what the endpoint list says, unless it is drained or all find it bad.
    pub(super) fn node_state(&self, node: NodeId, listed: NodeState) -> NodeState {
        let excluded = self.config.is_drained(node) || self.is_avoided(node);
        match listed {
            NodeState::Ready if excluded => NodeState::Draining,
            listed => listed,
        }
    }

    /// These nodes are excluded, or no longer: the decisions hear of it as if the endpoint list had
    /// told.
    fn apply_exclusions(&mut self, nodes: &[NodeId], reason: ExclusionReason) {
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
            self.log(LogEvent::NodeExclusion {
                node,
                reason,
                excluded,
            });
        }
        let unready = endpoints
            .iter()
            .filter(|endpoint| endpoint.state != NodeState::Ready);
        let left: Vec<NodeId> = unready.map(|endpoint| endpoint.node).collect();
        if !endpoints.is_empty() {
            self.events.push(Event::EndpointUpdate {
                kind: EndpointUpdateKind::Delta,
                endpoints,
            });
        }
        for node in left {
            self.revoke_attempts_to(node);
        }
        // Whoever asked for it waits to hear what is still under way.
        self.timers.sweep_now(self.now);
    }

    fn endpoint_of(&self, node: NodeId) -> Option<Endpoint> {
        let known = self.endpoints.nodes.get(&node)?;
        Some(Endpoint {
            node,
            zone: known.zone,
            shard: known.shard,
            state: self.node_state(node, known.state),
            started: known.started,
        })
    }
}
