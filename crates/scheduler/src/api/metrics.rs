//! Metrics of the scheduler, for operators. Amounts are in units, rates in units per second; times are
//! durations since the host's start.

use super::{NodeId, NodeState, VolumeId};
use std::time::Duration;

/// Reason why a queued request is not sent to a node now.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum BlockReason {
    /// The delay before the retry has not ended.
    RetryDelay,
    /// An earlier request of its key is open, or the key is in its cool-down.
    KeyOrder,
    /// The retry budget is exhausted.
    RetryBudget,
    /// The volume's limit is exhausted.
    RateLimit,
    /// The node is warming up, and this host's quota there is exhausted.
    SlowStart,
    /// An earlier attempt may have run, and another attempt at this node could have a duplicate effect.
    Idempotency,
    /// The volume has exceeded its fair share, and the node has no spare capacity.
    Share,
    /// The lease of the endpoint list has expired, and no other evidence shows that the node serves requests.
    Unconfirmed,
    /// The node is throttled and gets only requests of a higher value.
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
    /// Its state according to the endpoint list.
    pub state: NodeState,
    /// Time at which its process last started; `None` if that was long ago.
    pub started: Option<Duration>,
    /// Number of attempts outstanding.
    pub attempts: usize,
    /// Number of units outstanding.
    pub outstanding: f64,
    /// Number of requests queued.
    pub queued: usize,
    /// Rate at which this host may use it, estimated by the probing window.
    pub estimate: f64,
    /// Rate at which it has completed this host's work.
    pub learned_rate: f64,
    /// Factor applied to its concurrency limit, above 0 and at most 1.
    pub concurrency_factor: f64,
    /// Fraction of the scale of request values that is admitted, from 0 to 1.
    pub admission_level: f64,
    /// Fraction of its answers that were late.
    pub late_fraction: f64,
    /// It has started recently, and this host sends it no more than its quota.
    pub slow_start: bool,
    /// Number of consecutive failures.
    pub consecutive_failures: u32,
    /// Time at which it last completed an attempt; 0 if it never did.
    pub last_success: Duration,
    /// Time at which the last attempt was sent to it; 0 if none was sent.
    pub last_sent: Duration,
}

/// Queued requests of one volume that are blocked at one node for one reason.
#[derive(Debug, Clone, PartialEq)]
pub struct QueueMetrics {
    /// The volume.
    pub volume: VolumeId,
    /// The node; `None` for new objects, which any node can take.
    pub node: Option<NodeId>,
    /// The reason.
    pub block_reason: BlockReason,
    /// Number of requests.
    pub requests: usize,
    /// Time at which the earliest of them was received.
    pub since: Duration,
}
