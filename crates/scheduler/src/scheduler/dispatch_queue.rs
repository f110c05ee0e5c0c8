//! Dispatch queue: the queued requests, and the nodes that the next step must visit to send them.
//!
//! Called by [`super::Scheduler`] for each request that is queued or sent, and for each answer. Owns the
//! unassigned requests, which any node can take, and the sets of nodes to visit; requests for one node are in
//! that node's queue. Memory: one entry for each queued request, each node, and each pair of a node and a
//! time at which capacity becomes available there.

use super::clock::TICK;
use crate::api::{NodeId, RequestId};
use crate::state::{DesiredState, Node, NodeTable, PendingRequest};
use std::collections::BTreeSet;
use std::time::Duration;

/// Number of requests of one queue that a tick has time to rank: of one node's queue, or of the unassigned
/// requests. With a larger value a tick takes longer; with a smaller one, requests that cannot meet their
/// deadline are rejected later.
const RANKED_PER_TICK: usize = 256;
/// Largest number of ticks between two rankings of a queue. With a larger value requests that cannot meet
/// their deadline are rejected later; with a smaller one, ranking takes all of the host's time when thousands
/// of requests are queued.
const MAX_RANKING_TICKS: usize = 4;

/// Returns the number of ticks between two rankings of a queue with `queued` requests.
pub(super) fn ticks_per_ranking(queued: usize) -> u32 {
    (1 + queued / RANKED_PER_TICK).min(MAX_RANKING_TICKS) as u32
}

/// Schedule of the rankings of one queue, which depends on its length.
#[derive(Debug, Clone, Copy)]
pub(super) struct RankingSchedule {
    /// The queue must be ranked in this tick.
    pub(super) is_due: bool,
    /// Time that passes from the tick after this one to the next ranking; zero if each tick ranks the queue.
    pub(super) until_next_ranking: Duration,
}

impl RankingSchedule {
    /// `ticked`: a tick has passed since the last step; `tick`: number of the last tick.
    pub(super) fn new(queued: usize, ticked: bool, tick: u32) -> Self {
        let every = ticks_per_ranking(queued);
        RankingSchedule {
            is_due: ticked && tick.is_multiple_of(every),
            until_next_ranking: TICK * (every - 1),
        }
    }

    /// Returns whether the queue is short enough to be ranked in every step.
    pub(super) fn is_short(&self) -> bool {
        self.until_next_ranking.is_zero()
    }
}

/// Queued requests, and the nodes to visit.
#[derive(Debug, Default)]
pub(super) struct DispatchQueue {
    /// Nodes that have queued requests or outstanding attempts, or had some since the last tick.
    active: BTreeSet<NodeId>,
    /// Nodes at which something changed that may allow a request to be sent.
    changed: BTreeSet<NodeId>,
    /// Times from which on a request may be sent to the node without any other change.
    due: BTreeSet<(Duration, NodeId)>,
    /// Number of requests queued at nodes.
    queued: usize,
    /// Queued requests that any node can take.
    unassigned: Vec<RequestId>,
}

impl DispatchQueue {
    /// Queues a request at a node, or as unassigned for `None`, because any node can take it.
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

    /// Removes a request from its queue, if it is queued.
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

    /// Records that an attempt is sent to the node.
    pub(super) fn attempt_sent(&mut self, node: NodeId) {
        self.active.insert(node);
    }

    /// Records a change at the node that may allow a request to be sent.
    pub(super) fn node_changed(&mut self, node: NodeId) {
        self.changed.insert(node);
    }

    /// Schedules a visit of the node at the first step from `at` on.
    pub(super) fn visit_at(&mut self, node: NodeId, at: Duration) {
        self.due.insert((at, node));
    }

    /// Returns the nodes to visit now: all active nodes, or only those that have changed or have a scheduled
    /// visit.
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

    /// Removes nodes without queued requests and outstanding attempts from the active nodes.
    pub(super) fn prune_active(&mut self, nodes: &NodeTable) {
        let is_active = |node: &Node| !node.queue.is_empty() || !node.attempts.is_empty();
        self.active
            .retain(|id| nodes.get(*id).is_some_and(is_active));
    }

    /// Returns the nodes with queued requests or outstanding attempts.
    pub(super) fn active(&self) -> impl Iterator<Item = NodeId> + '_ {
        self.active.iter().copied()
    }

    /// Returns whether any request is queued.
    pub(super) fn has_queued(&self) -> bool {
        !self.unassigned.is_empty() || self.queued > 0
    }

    /// Returns the queued requests that any node can take.
    pub(super) fn unassigned(&self) -> &[RequestId] {
        &self.unassigned
    }

    /// Replaces the list of unassigned requests with the same requests in another order.
    pub(super) fn set_unassigned(&mut self, ranked: Vec<RequestId>) {
        self.unassigned = ranked;
    }

    /// Returns the first unassigned requests: all of them, or as many as one tick has time to try.
    pub(super) fn first_unassigned(&self, all: bool) -> Vec<RequestId> {
        let most = if all { usize::MAX } else { RANKED_PER_TICK };
        self.unassigned[..most.min(self.unassigned.len())].to_vec()
    }
}
