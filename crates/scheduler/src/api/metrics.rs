//! Metrics of the scheduler, for operators. Units; rates are units a second; times are spans since the host's
//! start.

use super::{NodeId, NodeState, VolumeId};
use std::time::Duration;

/// Reason for which a queued request is not sent to a node now.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum BlockReason {
    /// A retry waits for the end of its delay.
    RetryDelay,
    /// An earlier request of its key is open, or the key cools down.
    KeyOrder,
    /// The retry budget is exhausted.
    RetryBudget,
    /// The volume's limit is exhausted.
    RateLimit,
    /// The node is warming up, and this host's quota is exhausted.
    SlowStart,
    /// An earlier attempt may have run, and must not run again there.
    Idempotency,
    /// The volume is beyond its fair share, and the node has no spare capacity.
    Share,
    /// The lease of the endpoint list has expired, and no other evidence shows that the node accepts requests.
    Unconfirmed,
    /// The node gets only requests of a higher value.
    Throttled,
    /// The node is at its concurrency limit.
    Concurrency,
    /// No node has capacity for a new object.
    NoCapacity,
}

/// One node, as this host sees it.
#[derive(Debug, Clone, PartialEq)]
pub struct NodeMetrics {
    /// The node.
    pub node: NodeId,
    /// Its state by the endpoint list.
    pub state: NodeState,
    /// Time at which its process last started; None: long ago.
    pub started: Option<Duration>,
    /// Attempts outstanding.
    pub attempts: usize,
    /// Units outstanding.
    pub outstanding: f64,
    /// Requests queued.
    pub queued: usize,
    /// Rate that may go to it by the probing window.
    pub estimate: f64,
    /// Rate that it has done for this host.
    pub learned_rate: f64,
    /// Factor on its concurrency limit, above 0 and up to 1.
    pub concurrency_factor: f64,
    /// Part of the scale of values that is admitted, from 0 to 1.
    pub admission_level: f64,
    /// Fraction of its answers that were late.
    pub late_fraction: f64,
    /// It has started recently, and this host keeps to its quota.
    pub slow_start: bool,
    /// Consecutive failures.
    pub consecutive_failures: u32,
    /// Time at which it last completed an attempt; 0: never.
    pub last_success: Duration,
    /// Time at which the last attempt was sent to it; 0: never.
    pub last_sent: Duration,
}

/// Queued requests of one volume that one reason blocks at one node.
#[derive(Debug, Clone, PartialEq)]
pub struct QueueMetrics {
    /// The volume.
    pub volume: VolumeId,
    /// The node; None: they are new objects, which any node can take.
    pub node: Option<NodeId>,
    /// The reason.
    pub block_reason: BlockReason,
    /// Number of requests.
    pub requests: usize,
    /// Time at which the first of them was received.
    pub since: Duration,
}
