//! Placement of new objects, which any node can take: at the first node in their volume's rendezvous order,
//! or the next where that is at its limit, has something better queued, or fails fast (and so looks idle).

use super::dispatch::{ticks_per_ranking, RANKED_AT_ONCE};
use super::{clock::TICK, requests::MIN_RETRY_AFTER, Scheduler};
use crate::api::NodeId;
use crate::state::{Node, PendingRequest};
use crate::{rates::queueing_time, rendezvous_hash::rendezvous_weight};

/// The greatest comes first.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Preference {
    untried: bool,
    open: bool,
    weight: u64,
    node: NodeId,
}

fn preference(pending: &PendingRequest, node: &Node) -> Preference {
    Preference {
        untried: pending.last_node != Some(node.id),
        open: node.admission.is_open(),
        weight: rendezvous_weight(pending.request.volume, node.id),
        node: node.id,
    }
}

impl Scheduler {
    pub(super) fn assign_unassigned(&mut self, ticked: bool, tick: u32) {
        let every = ticks_per_ranking(self.state.unassigned.len());
        let next_look = TICK * (every - 1);
        let (mut units_ahead, mut with_capacity, mut tried) = (0.0, None, RANKED_AT_ONCE);
        if every == 1 || ticked && tick.is_multiple_of(every) {
            self.state.unassigned = self.ranked(self.state.unassigned.iter().copied(), None);
            tried = self.state.unassigned.len();
        }
        // Between two rankings, what was best at the last is tried.
        for id in self.state.first_unassigned(tried) {
            let pending = &self.state.requests[&id];
            let units = pending.request.units;
            let all_nodes = self.concurrency.mean_learned_rate() * self.state.nodes.len() as f64;
            let wait = queueing_time(units_ahead, all_nodes);
            let ready = self.state.now + wait + self.expected_time(None, units) + next_look;
            let hopeless =
                ready > pending.request.deadline || self.queued_too_long(pending, next_look);
            match self.node_for(pending, &mut with_capacity) {
                Some(node) => self.send_attempt(id, node),
                None if ticked && hopeless => self.reject_or_fail(id, wait.max(MIN_RETRY_AFTER)),
                None => units_ahead += units,
            }
        }
    }

    /// The node that takes a new object now. `with_capacity`: nodes that had capacity when that was first
    /// asked for.
    fn node_for(
        &self,
        pending: &PendingRequest,
        with_capacity: &mut Option<Vec<NodeId>>,
    ) -> Option<NodeId> {
        let (state, units) = (&self.state, pending.request.units);
        let healthy = || {
            state
                .nodes
                .values()
                .filter(|node| !node.failures.is_outlier())
        };
        // The first is nearly always the one; only where it is not are all gone through.
        let first = healthy().map(|node| preference(pending, node)).max()?.node;
        if self.has_capacity(first, units) && self.is_best_for(pending, first) {
            return Some(first);
        }
        let smallest = state.smallest_units.unwrap_or(0.0);
        let open = healthy()
            .map(|node| node.id)
            .filter(|node| self.has_capacity(*node, smallest));
        let open = with_capacity.get_or_insert_with(|| open.collect()).iter();
        let open = open
            .filter(|node| self.has_capacity(**node, units))
            .map(|node| &state.nodes[node]);
        let mut order: Vec<_> = open.map(|node| preference(pending, node)).collect();
        order.sort_unstable_by(|a, b| b.cmp(a));
        order
            .into_iter()
            .map(|preference| preference.node)
            .find(|node| self.is_best_for(pending, *node))
    }

    /// Nothing blocks it there, and nothing better is queued there.
    fn is_best_for(&self, pending: &PendingRequest, node: NodeId) -> bool {
        let blocked = self.block_reason(pending, node).is_some();
        let own = self.candidate(pending, node);
        !blocked && self.best_queued(node).is_none_or(|queued| own > queued)
    }
}
