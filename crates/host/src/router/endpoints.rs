//! Applies a change of the endpoint list to the scheduler, the connections and the attempts.

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
            delisted: mut left,
        } = update;
        for endpoint in &mut endpoints {
            endpoint.state = self.node_state(endpoint.node, endpoint.state);
        }
        for endpoint in &endpoints {
            let restarted = restarted.contains(&endpoint.node);
            if endpoint.state != NodeState::Ready || restarted {
                left.push(endpoint.node);
                let node = endpoint.node.0;
                debug!(node, state = ?endpoint.state, restarted, revision, "endpoint list entry");
            }
            if restarted {
                self.node_restarted(endpoint.node);
            }
            // The open connections lead to a process that has ended.
            if restarted || endpoint.state == NodeState::Gone {
                self.close_idle(endpoint.node, self.clock.now());
            }
        }
        self.effects
            .event(Event::EndpointUpdate { kind, endpoints });
        for node in left {
            self.revoke_attempts_to(node);
        }
        self.share_known_nodes();
    }

    /// Forgets what concerns the former process of the node. The new process runs none of its
    /// attempts, and dials to the former process are useless.
    fn node_restarted(&mut self, node: NodeId) {
        self.attempts.node_restarted(node);
        self.pools.node_restarted(node);
    }
}
