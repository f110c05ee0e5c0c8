//! What an update of the endpoint list changes of nodes, connections and attempts.

use super::RequestRouter;
use crate::endpoint_list::KnownEndpoint;
use crate::log_event::LogEvent;
use grebecleat_scheduler::api::*;
use grebecleat_wire::pb;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use tracing::debug;

/// What tells one process of a node from another.
type Process = (u64, Option<SocketAddr>);

fn process_of(known: &KnownEndpoint) -> Process {
    (known.start, known.address)
}

impl RequestRouter {
    pub(super) fn apply_endpoints(
        &mut self,
        kind: EndpointUpdateKind,
        endpoints: &[pb::Endpoint],
        revision: u64,
    ) {
        let before = self.processes_of(endpoints);
        let mut read = self.read_endpoints(endpoints, revision);
        let mut left = match kind {
            EndpointUpdateKind::Delta => Vec::new(),
            _ => self.endpoints.retain_listed(&read, revision),
        };
        for endpoint in &mut read {
            endpoint.state = self.node_state(endpoint.node, endpoint.state);
        }
        for endpoint in &read {
            let process = process_of(&self.endpoints.nodes[&endpoint.node]);
            let renewed = before
                .get(&endpoint.node)
                .is_some_and(|was| *was != process);
            if endpoint.state != NodeState::Ready || renewed {
                left.push(endpoint.node);
                let node = endpoint.node.0;
                debug!(node, state = ?endpoint.state, renewed, revision, "list of nodes: entry");
            }
            if renewed {
                self.node_restarted(endpoint.node);
            }
            // What is open leads to a process that is no more.
            if renewed || endpoint.state == NodeState::Gone {
                self.close_idle(endpoint.node, self.clock.now());
            }
        }
        self.effects.event(Event::EndpointUpdate {
            kind,
            endpoints: read,
        });
        for node in left {
            self.revoke_attempts_to(node);
        }
        self.endpoints_changed = kind != EndpointUpdateKind::Cached;
        self.share_known_nodes();
    }

    /// What was known of these nodes until now.
    fn processes_of(&self, endpoints: &[pb::Endpoint]) -> BTreeMap<NodeId, Process> {
        let nodes = endpoints.iter().map(|endpoint| NodeId(endpoint.node));
        let known = nodes.filter_map(|id| Some((id, process_of(self.endpoints.nodes.get(&id)?))));
        known.collect()
    }

    fn read_endpoints(&mut self, endpoints: &[pb::Endpoint], revision: u64) -> Vec<Endpoint> {
        let now = self.clock.now();
        let read = endpoints
            .iter()
            .filter_map(|endpoint| self.endpoints.read(endpoint, now, revision));
        let read: Vec<Endpoint> = read.collect();
        let unread = endpoints.len() - read.len();
        if unread > 0 {
            let text = format!("list of nodes: {unread} entries without a state");
            self.effects.log(LogEvent::Discovery { text });
        }
        read
    }

    /// Another process knows nothing of what the last one ran, and dials to that one are of no use.
    fn node_restarted(&mut self, node: NodeId) {
        self.attempts.node_restarted(node);
        self.pools.node_restarted(node);
    }
}
