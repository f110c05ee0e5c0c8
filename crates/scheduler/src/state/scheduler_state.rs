//! Everything a host knows: what is so, and what is wanted but not yet brought about.

use crate::api::{
    Action, Endpoint, LogEvent, NodeId, NodeState, Request, RequestId, ShardId, TimerTag,
    TrafficClassId, VolumeId,
};
use crate::rates::MeanRate;
use crate::rejection_stats::{RejectedRequest, RejectionCounts};
use crate::scheduler::RetryPolicy;
use crate::state::{DesiredState, Node, PendingRequest, Volume};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Everything a host knows. Memory grows with its nodes, volumes, open requests and keys, and with the
/// requests of the retry budget's window.
#[derive(Debug, Default)]
pub struct SchedulerState {
    /// The time of this step.
    pub now: Duration,
    /// The last refill of the buckets.
    pub last_tick: Duration,
    /// The last control interval's end.
    pub last_interval: Duration,
    /// All nodes ever listed.
    pub nodes: BTreeMap<NodeId, Node>,
    /// The nodes of each shard.
    pub shards: BTreeMap<ShardId, BTreeSet<NodeId>>,
    /// Nodes with something queued or out, and perhaps some that lately had.
    pub active_nodes: BTreeSet<NodeId>,
    /// Nodes at which something changed that could let a request go.
    pub changed_nodes: BTreeSet<NodeId>,
    /// Moments from which time alone could let one go there.
    pub due: BTreeSet<(Duration, NodeId)>,
    /// How many requests are queued at nodes.
    pub queued: usize,
    /// Size of the smallest request seen.
    pub smallest_units: Option<f64>,
    /// Volumes served here.
    pub volumes: BTreeMap<VolumeId, Volume>,
    /// Volumes that are served no more, of which something may yet be out.
    pub retired: BTreeSet<VolumeId>,
    /// Requests without a final answer, or with an attempt out.
    pub requests: BTreeMap<RequestId, PendingRequest>,
    /// Queued requests that any node may take.
    pub unassigned: Vec<RequestId>,
    /// The longest time from receipt to deadline seen in each class.
    pub longest_deadline: BTreeMap<TrafficClassId, Duration>,
    /// Requests of which something new is wanted.
    pub changed_requests: Vec<RequestId>,
    /// When the timer runs out that was set last; None: none was yet.
    pub timer_at: Option<Duration>,
    /// Its tag.
    pub timer_tag: u64,
    /// Actions of this step.
    pub actions: Vec<Action>,
    /// What was rejected or failed, for operators alone.
    pub rejections: RejectionCounts,
    /// Those of this step.
    pub rejected: Vec<RejectedRequest>,
}

impl SchedulerState {
    /// Lets so many ticks pass for all buckets.
    pub fn refill(&mut self, ticks: u32, tick: Duration) {
        if ticks == 0 {
            return; // most steps: a look at every node would cost more than the step itself
        }
        self.last_tick += tick * ticks;
        let seconds = (tick * ticks).as_secs_f64();
        for volume in self.volumes.values_mut() {
            volume.refill(seconds);
        }
        for node in self.nodes.values_mut() {
            node.advance(f64::from(ticks), seconds);
        }
    }

    /// Counts a request that has come in; returns by how much its deadline is nearer than the longest of its
    /// class.
    pub fn count_received(&mut self, request: &Request) -> Duration {
        let left = request.deadline.saturating_sub(self.now);
        let longest = self
            .longest_deadline
            .entry(request.traffic_class)
            .or_default();
        *longest = left.max(*longest);
        let smallest = self
            .smallest_units
            .map_or(request.units, |least| least.min(request.units));
        self.smallest_units = Some(smallest);
        *longest - left
    }

    /// Takes over an endpoint, with `new_node` where its node is not known; whether the node came up by that.
    /// To `new_node` goes what stands for its usage: a fraction of what this host did at the node of its
    /// shard that it used last.
    pub fn update_node(
        &mut self,
        endpoint: &Endpoint,
        inherited: f64,
        new_node: impl FnOnce(MeanRate) -> Node,
    ) -> bool {
        let usage = self.predecessor_usage(endpoint, inherited);
        let node = self
            .nodes
            .entry(endpoint.node)
            .or_insert_with(|| new_node(usage));
        self.shards
            .entry(endpoint.shard)
            .or_default()
            .insert(endpoint.node);
        node.update(endpoint)
    }

    fn predecessor_usage(&self, endpoint: &Endpoint, inherited: f64) -> MeanRate {
        // Lists mostly tell of nodes that are known, which keep their own.
        if self.nodes.contains_key(&endpoint.node) {
            return MeanRate::default();
        }
        let same_shard = self.shards.get(&endpoint.shard).into_iter().flatten();
        let last_used = same_shard
            .filter_map(|id| self.nodes.get(id))
            .max_by_key(|node| node.attempts.last_sent());
        last_used.map_or_else(MeanRate::default, |node| {
            node.capacity.inherited_usage(inherited)
        })
    }

    /// Nodes that a whole list does not name are gone.
    pub fn mark_absent_gone(&mut self, endpoints: &[Endpoint]) {
        let listed: BTreeSet<NodeId> = endpoints.iter().map(|endpoint| endpoint.node).collect();
        for (id, node) in &mut self.nodes {
            if !listed.contains(id) {
                node.state = NodeState::Gone;
            }
        }
    }

    /// Requests queued at nodes that take none.
    pub fn queued_at_unready(&self) -> Vec<RequestId> {
        let unready = self
            .nodes
            .values()
            .filter(|node| node.state != NodeState::Ready);
        unready.flat_map(|node| node.queue.ids()).collect()
    }

    /// The node that has a shard's data: of several, the one that started last.
    pub fn node_of_shard(&self, shard: ShardId) -> Option<NodeId> {
        let there = self
            .shards
            .get(&shard)?
            .iter()
            .filter_map(|id| self.nodes.get(id));
        let ready = there.filter(|node| node.shard == shard && node.state == NodeState::Ready);
        ready.max_by_key(|node| node.started).map(|node| node.id)
    }

    /// The first of the unassigned requests, at most so many.
    pub fn first_unassigned(&self, most: usize) -> Vec<RequestId> {
        self.unassigned[..most.min(self.unassigned.len())].to_vec()
    }

    /// Queues a request at a node, or among those that any may take.
    pub fn enqueue(&mut self, id: RequestId, at: Option<NodeId>) {
        let Some(pending) = self.requests.get_mut(&id) else {
            return;
        };
        pending.desired = DesiredState::Queued;
        pending.queued_at = at;
        let Some(node) = at.and_then(|id| self.nodes.get_mut(&id)) else {
            self.unassigned.push(id);
            return;
        };
        node.enqueue(pending);
        self.queued += 1;
        self.active_nodes.insert(node.id);
        self.changed_nodes.insert(node.id);
        if pending.not_before > self.now {
            self.due.insert((pending.not_before, node.id));
        }
    }

    /// Takes a request out of the queue that it is in.
    pub fn dequeue(&mut self, id: RequestId) {
        let Some(pending) = self.requests.get_mut(&id) else {
            return;
        };
        match pending
            .queued_at
            .take()
            .and_then(|node| self.nodes.get_mut(&node))
        {
            Some(node) => self.queued -= usize::from(node.dequeue(pending)),
            None if pending.request.shard.is_none() => self.unassigned.retain(|other| *other != id),
            None => {}
        }
    }

    /// Something new is wanted of a request, which is queued no more.
    pub fn mark_changed(&mut self, id: RequestId) {
        self.dequeue(id);
        self.changed_requests.push(id);
    }

    /// The queued requests of a volume.
    pub fn queued_of_volume(&self, volume: VolumeId) -> Vec<RequestId> {
        let queued = |pending: &PendingRequest| {
            pending.request.volume == volume && pending.desired == DesiredState::Queued
        };
        self.requests
            .iter()
            .filter(|(_, pending)| queued(pending))
            .map(|(id, _)| *id)
            .collect()
    }

    /// An attempt that is out counts as sent then.
    pub fn set_sent(&mut self, id: RequestId, node: NodeId, at: Duration) {
        if let Some(node) = self.nodes.get_mut(&node) {
            node.attempts.set_sent(id, at);
        }
    }

    /// An attempt of a queued request goes to the node. `paid`: the flow's share pays where the reservation
    /// does not; `alone`: nothing else of this host is out there. Returns whether it is a retry.
    pub fn record_sent(&mut self, id: RequestId, node_id: NodeId, paid: bool, alone: bool) -> bool {
        self.mark_changed(id);
        let pending = self.requests.get_mut(&id).expect("queued, so known");
        let volume = self
            .volumes
            .get_mut(&pending.request.volume)
            .expect("made when the request came in");
        let node = self
            .nodes
            .get_mut(&node_id)
            .expect("looked up by the caller");
        let units = pending.request.units;
        if volume.reservation.pays() {
            volume.reservation.take(units);
        } else if paid {
            node.flows.take_share(pending.request.volume, units);
        }
        let is_retry = pending.attempts > 0;
        if !pending.limit_drawn {
            volume.draw_limit(units);
        }
        pending.limit_drawn = true;
        pending.desired = DesiredState::Sent(node_id);
        pending.attempts += 1;
        pending.last_node = Some(node_id);
        pending.lateness_counted = !alone;
        node.attempt_sent(&pending.request, self.now);
        self.active_nodes.insert(node_id);
        is_retry
    }

    /// Whether any request is queued.
    pub fn has_queued(&self) -> bool {
        !self.unassigned.is_empty() || self.queued > 0
    }

    /// Forgets nodes that have nothing queued or out.
    pub fn prune_active_nodes(&mut self) {
        let nodes = &self.nodes;
        let active = |node: &Node| !node.queue.is_empty() || !node.attempts.is_empty();
        self.active_nodes
            .retain(|id| nodes.get(id).is_some_and(active));
    }

    /// The request needs no further answer; its record stays while an attempt is out.
    pub fn close(&mut self, id: RequestId, retries: &mut RetryPolicy) {
        self.dequeue(id);
        let Some(pending) = self.requests.get_mut(&id) else {
            return;
        };
        pending.answered = true;
        if pending.out_at.is_some() {
            return;
        }
        let next = pending
            .request
            .key
            .and_then(|key| retries.request_closed(key, id));
        self.requests.remove(&id);
        let next_at = next
            .and_then(|next| self.requests.get(&next))
            .and_then(|pending| pending.queued_at);
        self.changed_nodes.extend(next_at);
    }

    /// Forgets volumes that are served no more, once nothing of them is left.
    pub fn drop_retired_volumes(&mut self) {
        if self.retired.is_empty() {
            return;
        }
        let open: BTreeSet<VolumeId> = self
            .requests
            .values()
            .map(|pending| pending.request.volume)
            .collect();
        for id in std::mem::take(&mut self.retired) {
            if open.contains(&id) {
                self.retired.insert(id);
                continue;
            }
            self.volumes.remove(&id);
            for node in self.nodes.values_mut() {
                node.flows.remove(id);
            }
        }
    }

    /// Nodes to look at: all active ones, or only those where something changed or fell due.
    pub fn nodes_to_visit(&mut self, all: bool) -> Vec<NodeId> {
        let mut changed = std::mem::take(&mut self.changed_nodes);
        while let Some(&(at, node)) = self.due.first().filter(|(at, _)| *at <= self.now) {
            self.due.remove(&(at, node));
            changed.insert(node);
        }
        if all {
            return self.active_nodes.iter().copied().collect();
        }
        changed
            .into_iter()
            .filter(|node| self.active_nodes.contains(node))
            .collect()
    }

    /// Writes a line to the host's log.
    pub fn log(&mut self, event: LogEvent) {
        self.actions.push(Action::Log { event });
    }

    /// Acts on the requests of which something new is wanted. `max_retry_after`: the longest delay that a
    /// client may be told; None: it is told none.
    pub fn act_on_changed_requests(
        &mut self,
        max_retry_after: Option<Duration>,
        retries: &mut RetryPolicy,
    ) {
        for id in std::mem::take(&mut self.changed_requests) {
            let Some(pending) = self
                .requests
                .get_mut(&id)
                .filter(|pending| !pending.answered)
            else {
                continue;
            };
            match pending.desired {
                DesiredState::Sent(node) if pending.out_at.is_none() => {
                    pending.out_at = Some(node);
                    let deadline = pending.request.deadline;
                    self.actions
                        .push(Action::SendAttempt { id, node, deadline });
                }
                DesiredState::Rejected(wait) => {
                    let retry_after = max_retry_after.map(|longest| wait.min(longest));
                    self.actions.push(Action::Reject { id, retry_after });
                    self.close(id, retries);
                }
                DesiredState::Failed => {
                    self.actions.push(Action::Fail { id });
                    self.close(id, retries);
                }
                DesiredState::Sent(_) | DesiredState::Queued => {}
            }
        }
    }

    /// Sets the timer to `at`, unless one that is set runs out before.
    pub fn wake_at(&mut self, at: Duration) {
        if self.timer_at.is_none_or(|set| set <= self.now || set > at) {
            self.timer_at = Some(at);
            self.timer_tag += 1;
            self.actions.push(Action::SetTimer {
                after: at - self.now,
                tag: TimerTag(self.timer_tag),
            });
        }
    }
}
