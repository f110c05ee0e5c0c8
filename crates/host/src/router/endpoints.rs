//! Applies a change of the endpoint list: informs the scheduler, closes connections to ended
//! processes, and revokes attempts to nodes that have left service.

use super::RequestRouter;
use grebecleat_discovery::ListUpdate;
use grebecleat_scheduler::api::{Event, NodeId, NodeState};
use tracing::debug;

impl RequestRouter {
    pub(super) fn apply_list_update(&mut self, update: ListUpdate) {
        let ListUpdate {
            kind,
            revision,
            mut endpoints,
            restarted,
            delisted: mut out_of_service,
        } = update;
        for endpoint in &mut endpoints {
            endpoint.state = self.node_state(endpoint.node, endpoint.state);
        }
        for endpoint in &endpoints {
            let restarted = restarted.contains(&endpoint.node);
            if endpoint.state != NodeState::Ready || restarted {
                out_of_service.push(endpoint.node);
                let node = endpoint.node.0;
                debug!(node, state = ?endpoint.state, restarted, revision, "endpoint list entry");
            }
            if restarted {
                self.node_restarted(endpoint.node);
            }
            // The open connections are to a process that has ended.
            if restarted || endpoint.state == NodeState::Gone {
                self.close_idle(endpoint.node, self.clock.now());
            }
        }
        self.effects
            .add_event(Event::EndpointUpdate { kind, endpoints });
        for node in out_of_service {
            self.revoke_attempts_to(node);
        }
        self.share_nodes_in_service();
    }

    /// Discards the state that concerns the former process of the node: the new process runs none of
    /// the former attempts, and dials to the former process cannot succeed.
    fn node_restarted(&mut self, node: NodeId) {
        self.attempts.node_restarted(node);
        self.pools.node_restarted(node);
    }
}
