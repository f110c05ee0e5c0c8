//! Events that the host reports to the scheduler. Times are spans since the host's start.

use super::{
    KeyId, NodeId, PeerId, Plan, PlanId, RequestId, ShardId, TimerTag, TrafficClassId, VolumeId,
    VolumeTerms, ZoneId,
};
use std::time::Duration;

/// A client's request for work on a volume.
#[derive(Debug, Clone)]
pub struct Request {
    /// Its id.
    pub id: RequestId,
    /// Its size in units.
    pub units: f64,
    /// The shard that holds its data; None: a new object, which any node can take.
    pub shard: Option<ShardId>,
    /// Its traffic class.
    pub traffic_class: TrafficClassId,
    /// The plan of its volume.
    pub plan: PlanId,
    /// Number of hosts that receive the volume's requests.
    pub hosts: usize,
    /// Its piece of data; None: unknown.
    pub key: Option<KeyId>,
    /// Time up to which its client waits for an answer.
    pub deadline: Duration,
    /// Its volume.
    pub volume: VolumeId,
}

/// Outcome of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The node carried it out.
    Completed,
    /// The node answered with an error; it may have run.
    Failed,
    /// The node's queue was full; it never ran.
    QueueFull,
    /// No answer came in time; it may still run.
    TimedOut,
    /// No connection to the node could be opened; it never ran.
    ConnectFailed,
    /// The connection was reset; it may still run.
    ConnectionReset,
    /// This host cancelled it; it may still run.
    Cancelled,
    /// It never left this host.
    NotSent,
}

/// State of a node by the endpoint list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NodeState {
    /// It accepts requests.
    Ready,
    /// It completes its requests and must get no new ones.
    Draining,
    /// It no longer exists.
    Gone,
}

/// Content of an update of the endpoint list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndpointUpdateKind {
    /// The endpoints that changed.
    Delta,
    /// All endpoints.
    Snapshot,
    /// All endpoints, as this host stored them before its restart.
    Cached,
    /// Nothing: the call for the list failed.
    FetchFailed,
}

/// One node of the endpoint list.
#[derive(Debug, Clone)]
pub struct Endpoint {
    /// The node.
    pub node: NodeId,
    /// Its zone.
    pub zone: ZoneId,
    /// The shard that it holds.
    pub shard: ShardId,
    /// Its state.
    pub state: NodeState,
    /// Time at which its process last started; None: long ago.
    pub started: Option<Duration>,
}

/// End of an attempt, with the data of its answer.
#[derive(Debug, Clone)]
pub struct AttemptEnd {
    /// The request.
    pub id: RequestId,
    /// Number of the attempt, from 0.
    pub attempt: u32,
    /// The node to which it was sent.
    pub node: NodeId,
    /// Its outcome.
    pub outcome: AttemptOutcome,
    /// Time since it was sent.
    pub elapsed: Duration,
    /// The request has its final answer.
    pub answered: bool,
    /// The volume's usage over all hosts in a complete meter period, in percent of the plan's base rate.
    pub reported: Option<f64>,
    /// Units that this shard served for the volume through other hosts since its last answer to this host.
    pub others: f64,
    /// Busy fraction of the node's cores; None: not reported.
    pub busy: Option<f64>,
}

/// An event that the host reports to the scheduler.
#[derive(Debug, Clone)]
pub enum Event {
    /// The host received a client's request.
    RequestReceived(Request),
    /// The answer of a streamed request has begun; it belongs to the client from now on.
    ResponseStarted {
        /// The request.
        id: RequestId,
        /// Number of its attempt, from 0.
        attempt: u32,
    },
    /// An attempt has ended.
    AttemptEnded(AttemptEnd),
    /// An attempt counts as sent at another time than it was decided: it waited for a connection, or waits for
    /// one that should be open by then.
    AttemptSent {
        /// The request.
        id: RequestId,
        /// The node.
        node: NodeId,
        /// Time from which it counts as sent.
        at: Duration,
    },
    /// The client has left and needs no answer.
    RequestCancelled {
        /// The request.
        id: RequestId,
    },
    /// A plan has these figures from now on; a new plan has the next number.
    PlanChanged {
        /// The plan.
        plan: PlanId,
        /// Its figures.
        facts: Plan,
    },
    /// A volume has these terms from now on. A volume without this event has the terms of its first request.
    VolumeChanged {
        /// The volume.
        volume: VolumeId,
        /// Its terms; None: it is no longer served here.
        terms: Option<VolumeTerms>,
    },
    /// The endpoint list has changed, or the call for it failed.
    EndpointUpdate {
        /// Content of the update.
        kind: EndpointUpdateKind,
        /// The endpoints in it.
        endpoints: Vec<Endpoint>,
    },
    /// Discovery has answered, with or without changes: the endpoint list is up to date.
    EndpointsConfirmed,
    /// Discovery is at another address from now on.
    DiscoveryMoved,
    /// Discovery has refused a call for the endpoint list: it has too many callers.
    FetchRefused {
        /// Time for which the call was queued there.
        waited: Duration,
    },
    /// A timer that the scheduler set has expired.
    TimerFired {
        /// The timer.
        tag: TimerTag,
    },
    /// A health check of a node has ended.
    HealthChecked {
        /// The node.
        node: NodeId,
        /// Its outcome.
        outcome: AttemptOutcome,
    },
    /// The scheduler of another host has sent a message.
    PeerMessage {
        /// Its sender.
        from: PeerId,
        /// Its content.
        bytes: Vec<u8>,
    },
}
