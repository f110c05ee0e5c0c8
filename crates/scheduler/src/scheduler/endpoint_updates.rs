//! Endpoint updates: the effect of an update of the endpoint list on nodes and on the requests queued there.

use super::{capacity::NodeCapacity, Scheduler};
use crate::api::{Endpoint, EndpointUpdateKind, LogEvent, NodeId};
use crate::state::Node;

/// Fraction of the predecessor's usage that a node of the same shard starts with. Larger: a successor that is
/// slower by as much is overloaded while it warms up, which the rule does not forgive. Smaller: it stays idle.
const INHERITED_USAGE: f64 = 0.5;

impl Scheduler {
    pub(super) fn update_endpoints(&mut self, kind: EndpointUpdateKind, endpoints: Vec<Endpoint>) {
        let now = self.state.now;
        if kind == EndpointUpdateKind::FetchFailed {
            return self.fetch_backoff.call_failed(now, &mut self.jitter);
        }
        if kind != EndpointUpdateKind::Delta {
            self.state.mark_absent_gone(&endpoints);
        }
        if kind != EndpointUpdateKind::Cached {
            self.fetch_backoff.reset();
        } else if let Some(within) = self.endpoint_lease.start_cached(now) {
            self.fetch_backoff
                .call_within(within, now, &mut self.jitter);
        }
        let first = self.state.nodes.is_empty();
        let objective = self.latency.tightest_objective();
        for endpoint in endpoints {
            // Most entries are of known nodes.
            let new_node = |usage| {
                let classes = self.traffic_classes.len();
                let capacity = NodeCapacity::new(self.units.mean, objective, classes, usage);
                Node::new(&endpoint, capacity)
            };
            if self.state.update_node(&endpoint, INHERITED_USAGE, new_node) {
                self.node_came_up(endpoint.node, first);
            }
        }
        self.slow_start.update(self.state.nodes.values_mut(), now);
        for id in self.state.queued_at_unready() {
            self.state.dequeue(id);
            self.enqueue(id);
        }
    }

    fn node_came_up(&mut self, id: NodeId, first: bool) {
        let now = self.state.now;
        let node = self.state.nodes.get_mut(&id).expect("updated just now");
        let warm_up = self
            .slow_start
            .start(node.started, first, now, &mut self.jitter);
        let is_warming = warm_up.is_active();
        node.reset(now, warm_up);
        if is_warming {
            self.state.log(LogEvent::NodeWarmingUp { node: id });
        }
    }
}
