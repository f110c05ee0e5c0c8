//! Placement of new objects, which any node can take. An object goes to the first node in the rendezvous
//! order of its volume, or to the next node if that one is at its limit, has a request of higher value
//! queued, or fails fast (and therefore looks idle).
//!
//! Called by [`super::Scheduler`] for each unassigned request. [`Placement`] caches the nodes that have
//! capacity in a step.

use super::dispatch::DispatchView;
use crate::api::NodeId;
use crate::rendezvous_hash::rendezvous_weight;
use crate::state::{Node, PendingRequest};

/// Preference of a request for a node, compared field by field; the node with the greatest preference is
/// tried first.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Preference {
    untried: bool,
    is_preferred: bool,
    weight: u64,
    node: NodeId,
}

impl Preference {
    fn new(pending: &PendingRequest, node: &Node) -> Self {
        Preference {
            untried: pending.attempts.last_node() != Some(node.id),
            is_preferred: node.admission.is_preferred(),
            weight: rendezvous_weight(pending.request.volume, node.id),
            node: node.id,
        }
    }
}

/// Placement of the new objects of one step.
#[derive(Default)]
pub(super) struct Placement {
    /// Nodes that had capacity when the list was first needed in this step; `None` if it was not needed yet.
    with_capacity: Option<Vec<NodeId>>,
}

impl Placement {
    /// Returns the node to which a new object can be sent now, if there is one.
    pub(super) fn node_for(
        &mut self,
        view: &DispatchView,
        pending: &PendingRequest,
    ) -> Option<NodeId> {
        let nodes = view.nodes;
        let units = pending.request.units;
        let healthy = || nodes.values().filter(|node| !node.failures.is_outlier());
        // The first node takes nearly every object; all nodes are searched only if it does not.
        let preferences = healthy().map(|node| Preference::new(pending, node));
        let first = &nodes[preferences.max()?.node];
        if view.has_capacity(first, units) && is_best_for(view, pending, first) {
            return Some(first.id);
        }
        let smallest = view.requests.smallest_units().unwrap_or(0.0);
        let with_capacity = self.with_capacity.get_or_insert_with(|| {
            healthy()
                .filter(|node| view.has_capacity(node, smallest))
                .map(|node| node.id)
                .collect()
        });
        let mut order: Vec<Preference> = with_capacity
            .iter()
            .map(|id| &nodes[*id])
            .filter(|node| view.has_capacity(node, units))
            .map(|node| Preference::new(pending, node))
            .collect();
        order.sort_unstable_by(|a, b| b.cmp(a));
        order
            .into_iter()
            .map(|preference| &nodes[preference.node])
            .find(|node| is_best_for(view, pending, node))
            .map(|node| node.id)
    }
}

/// Returns whether nothing blocks the request at the node, and no better candidate is queued there.
fn is_best_for(view: &DispatchView, pending: &PendingRequest, node: &Node) -> bool {
    if view.block_reason(pending, node).is_some() {
        return false;
    }
    let own = view.candidate(pending, node);
    view.best_queued(node).is_none_or(|queued| own > queued)
}
