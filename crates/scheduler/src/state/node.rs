//! A storage node, as one host sees it.
//!
//! A node is the record of its endpoint, and one small type for each mechanism, which alone writes it.

use super::{OutstandingAttempts, PendingRequest};
use crate::api::{
    EjectionReason, Endpoint, LogEvent, NodeId, NodeState, Request, ShardId, VolumeId, ZoneId,
};
use crate::request_queue::RequestQueue;
use crate::scheduler::{
    AdmissionLevel, ConcurrencyBackoff, FailureStreak, Flows, NodeCapacity, NodeContact,
    NodeDelays, WarmUp,
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
    /// Its state by the endpoint list.
    pub state: NodeState,
    /// Time at which its process last started; None: long ago.
    pub started: Option<Duration>,
    /// Its warm-up.
    pub warm_up: WarmUp,
    /// Its estimated capacity.
    pub capacity: NodeCapacity,
    /// Attempts outstanding there.
    pub attempts: OutstandingAttempts,
    /// Requests queued for it.
    pub queue: RequestQueue,
    /// Volumes that use it.
    pub flows: Flows,
    /// Delays of its answers beyond the work itself.
    pub delays: NodeDelays,
    /// Back-off of its concurrency limit.
    pub concurrency: ConcurrencyBackoff,
    /// Its admission level.
    pub admission: AdmissionLevel,
    /// Its consecutive failures and its last success.
    pub failures: FailureStreak,
    /// Evidence that it accepts requests.
    pub contact: NodeContact,
}

impl Node {
    /// A node that was unknown before; it is gone until [`Node::update`] has read its endpoint.
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
            contact: NodeContact::default(),
        }
    }

    /// Reads the node's endpoint; returns whether the node came up by that, or started anew.
    pub fn update(&mut self, endpoint: &Endpoint) -> bool {
        let changed = self.state != NodeState::Ready || self.started != endpoint.started;
        self.zone = endpoint.zone;
        self.shard = endpoint.shard;
        self.state = endpoint.state;
        self.started = endpoint.started;
        changed && endpoint.state == NodeState::Ready
    }

    /// Forgets the evidence against the node's former process: the node came up.
    pub fn reset(&mut self, now: Duration, warm_up: WarmUp) {
        self.failures.reset(now);
        self.concurrency = ConcurrencyBackoff::new();
        self.admission.reset();
        self.warm_up = warm_up;
    }

    /// Adds the tokens and samples of so many ticks, `seconds` in all.
    pub fn advance(&mut self, ticks: f64, seconds: f64) {
        self.capacity.refill(seconds);
        self.warm_up.refill(seconds);
        self.flows.advance(ticks, seconds);
    }

    /// Records an attempt that is sent now.
    pub fn attempt_sent(&mut self, request: &Request, now: Duration) {
        self.flows.sent(request.volume, request.units);
        self.capacity.sent(request.traffic_class, request.units);
        self.warm_up.take(request.units);
        self.attempts.add(request.id, request.units, now);
    }

    /// Records the end of an attempt; returns its sending time, if it was outstanding.
    pub fn attempt_ended(&mut self, request: &Request) -> Option<Duration> {
        let sent = self.attempts.remove(request.id, request.units)?;
        self.flows.ended(request.volume, request.units);
        Some(sent)
    }

    /// Ejects the node: it gets trial requests only. Returns the event to log, unless it was ejected before.
    pub fn eject(&mut self, reason: EjectionReason) -> Option<LogEvent> {
        let node = self.id;
        let changed = self.admission.eject();
        changed.then_some(LogEvent::NodeEjected { node, reason })
    }

    /// Queues a request for the node.
    pub fn enqueue(&mut self, pending: &PendingRequest) {
        let request = &pending.request;
        self.queue
            .add(pending.line(), pending.objective_at, request.id);
        self.flows.enqueued(request.volume, request.units);
    }

    /// Removes a request from the node's queue; returns whether it was there.
    pub fn dequeue(&mut self, pending: &PendingRequest) -> bool {
        let request = &pending.request;
        let removed = self
            .queue
            .remove(pending.line(), pending.objective_at, request.id);
        if removed {
            self.flows.dequeued(request.volume, request.units);
        }
        removed
    }

    /// Level of the volume's fair share here; None: no share was allocated yet.
    pub fn share_level(&self, volume: VolumeId) -> Option<f64> {
        self.flows.share_level(volume)
    }
}
