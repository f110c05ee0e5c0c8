//! Dispatch queue: the requests that wait, and the nodes that the next step must visit for them.
//!
//! Called by [`super::Scheduler`] for each request that is queued or sent, and each answer. Owns the unassigned
//! requests and the sets of nodes; a node's own requests are in the node's queue. Bounds: one entry for each
//! queued request, each node, and each node and time at which capacity becomes available.

use super::clock::TICK;
use crate::api::{NodeId, RequestId};
use crate::state::{DesiredState, Node, NodeTable, PendingRequest};
use std::collections::BTreeSet;
use std::time::Duration;

/// Queued requests of one node, or unassigned ones, that are ranked in each tick. Larger: a tick takes longer.
/// Smaller: requests that cannot meet their deadline are rejected later.
const RANKED_AT_ONCE: usize = 256;
/// Bounds the ticks between two rankings. Larger: requests that cannot meet their deadline are rejected later.
/// Smaller: with thousands queued, ranking takes all of the host's time.
const MAX_RANKING_TICKS: usize = 4;

/// Returns in how many ticks so many queued requests are ranked once.
pub(super) fn ticks_per_ranking(queued: usize) -> u32 {
    (1 + queued / RANKED_AT_ONCE).min(MAX_RANKING_TICKS) as u32
}

/// Ranking of a queue of some length: whether it is due, and when the next one is.
#[derive(Debug, Clone, Copy)]
pub(super) struct RankingSchedule {
    /// The queue is to be ranked in this tick.
    pub(super) is_due: bool,
    /// Time until the ranking after this tick's.
    pub(super) next_look: Duration,
}

impl RankingSchedule {
    /// `ticked`: a tick has passed; `tick`: its number.
    pub(super) fn new(queued: usize, ticked: bool, tick: u32) -> Self {
        let every = ticks_per_ranking(queued);
        RankingSchedule {
            is_due: ticked && tick.is_multiple_of(every),
            next_look: TICK * (every - 1),
        }
    }

    /// Returns whether the queue is short enough to be ranked in every step.
    pub(super) fn is_short(&self) -> bool {
        self.next_look.is_zero()
    }
}

/// Queued requests, and the nodes to visit.
#[derive(Debug, Default)]
pub(super) struct DispatchQueue {
    /// Nodes with queued requests or outstanding attempts, and some that had any since the last tick.
    active: BTreeSet<NodeId>,
    /// Nodes at which something changed that may let a request go.
    changed: BTreeSet<NodeId>,
    /// Times from which on time alone may let a request go to the node.
    due: BTreeSet<(Duration, NodeId)>,
    /// Number of requests queued at nodes.
    queued: usize,
    /// Queued requests that any node can take.
    unassigned: Vec<RequestId>,
}

impl DispatchQueue {
    /// Queues a request at a node; None: any node can take it.
    pub(super) fn enqueue(
        &mut self,
        pending: &mut PendingRequest,
        node: Option<&mut Node>,
        now: Duration,
    ) {
        pending.desired = DesiredState::Queued;
        let Some(node) = node else {
            pending.queued_at = None;
            self.unassigned.push(pending.request.id);
            return;
        };
        pending.queued_at = Some(node.id);
        node.enqueue(pending);
        self.queued += 1;
        self.active.insert(node.id);
        self.changed.insert(node.id);
        if pending.not_before > now {
            self.due.insert((pending.not_before, node.id));
        }
    }

    /// Removes a request from the queue that it is in.
    pub(super) fn dequeue(&mut self, pending: &mut PendingRequest, nodes: &mut NodeTable) {
        let queued_at = pending.queued_at.take();
        match queued_at.and_then(|node| nodes.get_mut(node)) {
            Some(node) => self.queued -= usize::from(node.dequeue(pending)),
            None if pending.request.shard.is_none() => {
                let id = pending.request.id;
                self.unassigned.retain(|other| *other != id);
            }
            None => {}
        }
    }

    /// Records an attempt that is sent to the node.
    pub(super) fn attempt_sent(&mut self, node: NodeId) {
        self.active.insert(node);
    }

    /// Records a change at the node that may let a request go.
    pub(super) fn node_changed(&mut self, node: NodeId) {
        self.changed.insert(node);
    }

    /// Visits the node again from that time on.
    pub(super) fn visit_at(&mut self, node: NodeId, at: Duration) {
        self.due.insert((at, node));
    }

    /// Nodes to visit now: all active ones, or only those where something changed or a time has come.
    pub(super) fn nodes_to_visit(&mut self, all: bool, now: Duration) -> Vec<NodeId> {
        let mut changed = std::mem::take(&mut self.changed);
        while let Some(&(at, node)) = self.due.first().filter(|(at, _)| *at <= now) {
            self.due.remove(&(at, node));
            changed.insert(node);
        }
        if all {
            return self.active.iter().copied().collect();
        }
        changed
            .into_iter()
            .filter(|node| self.active.contains(node))
            .collect()
    }

    /// Drops nodes from the active ones that have nothing queued or outstanding.
    pub(super) fn prune_active(&mut self, nodes: &NodeTable) {
        let is_active = |node: &Node| !node.queue.is_empty() || !node.attempts.is_empty();
        self.active
            .retain(|id| nodes.get(*id).is_some_and(is_active));
    }

    /// Nodes with queued requests or outstanding attempts.
    pub(super) fn active(&self) -> impl Iterator<Item = NodeId> + '_ {
        self.active.iter().copied()
    }

    /// Returns whether any request is queued.
    pub(super) fn has_queued(&self) -> bool {
        !self.unassigned.is_empty() || self.queued > 0
    }

    /// Queued requests that any node can take.
    pub(super) fn unassigned(&self) -> &[RequestId] {
        &self.unassigned
    }

    /// Replaces the unassigned requests by the same ones in another order.
    pub(super) fn set_unassigned(&mut self, ranked: Vec<RequestId>) {
        self.unassigned = ranked;
    }

    /// The first unassigned requests: all of them, or as many as one tick can try.
    pub(super) fn first_unassigned(&self, all: bool) -> Vec<RequestId> {
        let most = if all { usize::MAX } else { RANKED_AT_ONCE };
        self.unassigned[..most.min(self.unassigned.len())].to_vec()
    }
}
