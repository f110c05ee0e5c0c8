//! A storage node, as one host sees it.
//!
//! A node's record consists of its endpoint and of one small type for each mechanism, which only that mechanism
//! modifies.

use super::{OutstandingAttempts, PendingRequest};
use crate::api::{
    EjectionReason, Endpoint, LogEvent, NodeId, NodeState, Request, ShardId, VolumeId, ZoneId,
};
use crate::request_queue::RequestQueue;
use crate::scheduler::{
    AdmissionLevel, ConcurrencyBackoff, FailureStreak, Flows, NodeCapacity, NodeDelays,
    ServingEvidence, WarmUp,
};
use std::time::Duration;

/// A node and this host's evidence about it.
#[derive(Debug)]
pub struct Node {
    /// Its id.
    pub id: NodeId,
    /// Its zone.
    pub zone: ZoneId,
    /// The shard that it holds.
    pub shard: ShardId,
    /// Its state according to the endpoint list.
    pub state: NodeState,
    /// Time at which its process last started; `None` if that was long ago.
    pub started: Option<Duration>,
    /// State of its warm-up.
    pub warm_up: WarmUp,
    /// Its estimated capacity.
    pub capacity: NodeCapacity,
    /// Attempts outstanding at the node.
    pub attempts: OutstandingAttempts,
    /// Requests queued for it.
    pub queue: RequestQueue,
    /// Demand and fair share of each volume that uses it.
    pub flows: Flows,
    /// Time that its answers take beyond the work itself.
    pub delays: NodeDelays,
    /// Back-off of its concurrency limit.
    pub concurrency: ConcurrencyBackoff,
    /// Its admission level.
    pub admission: AdmissionLevel,
    /// Its consecutive failures and its last success.
    pub failures: FailureStreak,
    /// Evidence, from its attempts, that it accepts requests.
    pub serving_evidence: ServingEvidence,
}

impl Node {
    /// Returns the record of a new node, whose state is "gone" until [`Node::update`] applies its endpoint.
    pub fn new(endpoint: &Endpoint, capacity: NodeCapacity) -> Self {
        Node {
            id: endpoint.node,
            zone: endpoint.zone,
            shard: endpoint.shard,
            state: NodeState::Gone,
            started: endpoint.started,
            warm_up: WarmUp::default(),
            capacity,
            attempts: OutstandingAttempts::default(),
            queue: RequestQueue::default(),
            flows: Flows::default(),
            delays: NodeDelays::new(),
            concurrency: ConcurrencyBackoff::new(),
            admission: AdmissionLevel::default(),
            failures: FailureStreak::default(),
            serving_evidence: ServingEvidence::default(),
        }
    }

    /// Applies an update of the node's endpoint; returns whether the node has thereby become ready or
    /// restarted.
    pub fn update(&mut self, endpoint: &Endpoint) -> bool {
        let changed = self.state != NodeState::Ready || self.started != endpoint.started;
        self.zone = endpoint.zone;
        self.shard = endpoint.shard;
        self.state = endpoint.state;
        self.started = endpoint.started;
        changed && endpoint.state == NodeState::Ready
    }

    /// Discards the evidence against the node's former process, because the node has become ready.
    pub fn reset(&mut self, now: Duration, warm_up: WarmUp) {
        self.failures.reset(now);
        self.concurrency = ConcurrencyBackoff::new();
        self.admission.reset();
        self.warm_up = warm_up;
    }

    /// Adds the tokens and samples of `ticks` ticks, which last `seconds` in total.
    pub fn advance(&mut self, ticks: f64, seconds: f64) {
        self.capacity.refill(seconds);
        self.warm_up.refill(seconds);
        self.flows.advance(ticks, seconds);
    }

    /// Records an attempt that is being sent now.
    pub fn attempt_sent(&mut self, request: &Request, now: Duration) {
        self.flows.sent(request.volume, request.units);
        self.capacity.sent(request.traffic_class, request.units);
        self.warm_up.take(request.units);
        self.attempts.add(request.id, request.units, now);
    }

    /// Records the end of an attempt; returns its send time, if it was outstanding.
    pub fn attempt_ended(&mut self, request: &Request) -> Option<Duration> {
        let sent = self.attempts.remove(request.id, request.units)?;
        self.flows.ended(request.volume, request.units);
        Some(sent)
    }

    /// Ejects the node, so that it gets only trial requests. Returns the event to log, unless it was ejected
    /// already.
    pub fn eject(&mut self, reason: EjectionReason) -> Option<LogEvent> {
        let node = self.id;
        let changed = self.admission.eject();
        changed.then_some(LogEvent::NodeEjected { node, reason })
    }

    /// Queues a request for the node.
    pub fn enqueue(&mut self, pending: &PendingRequest) {
        let request = &pending.request;
        self.queue
            .add(pending.sub_queue_key(), pending.objective_at, request.id);
        self.flows.enqueued(request.volume, request.units);
    }

    /// Removes a request from the node's queue; returns whether it was there.
    pub fn dequeue(&mut self, pending: &PendingRequest) -> bool {
        let request = &pending.request;
        let removed = self
            .queue
            .remove(pending.sub_queue_key(), pending.objective_at, request.id);
        if removed {
            self.flows.dequeued(request.volume, request.units);
        }
        removed
    }

    /// Returns the level of the volume's fair share at this node, or `None` if no share was allocated yet.
    pub fn share_level(&self, volume: VolumeId) -> Option<f64> {
        self.flows.share_level(volume)
    }
}
