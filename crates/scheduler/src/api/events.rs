//! Events that the host reports to the scheduler. Times are durations since the host's start.

use super::{
    KeyId, NodeId, PeerId, Plan, PlanId, RequestId, ShardId, TimerTag, TrafficClassId, VolumeId,
    VolumeTerms, ZoneId,
};
use std::time::Duration;

/// A client's request to read or write data of a volume.
#[derive(Debug, Clone)]
pub struct Request {
    /// Its id.
    pub id: RequestId,
    /// Its size in units.
    pub units: f64,
    /// The shard that holds its data; `None` for a new object, which any node can take.
    pub shard: Option<ShardId>,
    /// Its traffic class.
    pub traffic_class: TrafficClassId,
    /// The plan of its volume.
    pub plan: PlanId,
    /// Number of hosts that receive the volume's requests.
    pub hosts: usize,
    /// Key of the data that it reads or writes; `None` if unknown.
    pub key: Option<KeyId>,
    /// Time until which its client waits for an answer.
    pub deadline: Duration,
    /// Its volume.
    pub volume: VolumeId,
}

/// Outcome of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The node completed it.
    Completed,
    /// The node answered with an error; the attempt may have run.
    Failed,
    /// The node's queue was full; the attempt did not run.
    QueueFull,
    /// No answer came in time; the attempt may still be running.
    TimedOut,
    /// No connection to the node could be opened; the attempt did not run.
    ConnectFailed,
    /// The connection was reset; the attempt may still be running.
    ConnectionReset,
    /// This host cancelled it; the attempt may still be running.
    Cancelled,
    /// It was never sent.
    NotSent,
}

/// State of a node according to the endpoint list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NodeState {
    /// It accepts requests.
    Ready,
    /// It is completing its requests and must get no new ones.
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
    /// All endpoints, as stored by this host before its restart.
    Cached,
    /// No endpoints, because the call for the list failed.
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
    /// Time at which its process last started; `None` if that was long ago.
    pub started: Option<Duration>,
}

/// End of an attempt, with the data that came with its answer.
#[derive(Debug, Clone)]
pub struct AttemptEnd {
    /// The request.
    pub id: RequestId,
    /// Number of the attempt, counted from 0.
    pub attempt: u32,
    /// The node to which it was sent.
    pub node: NodeId,
    /// Its outcome.
    pub outcome: AttemptOutcome,
    /// Time since it was sent.
    pub elapsed: Duration,
    /// The client has the request's final answer.
    pub answered: bool,
    /// The volume's usage over all hosts in a complete meter period, in percent of the plan's base rate;
    /// `None` if the answer did not report it.
    pub reported: Option<f64>,
    /// Number of units that the shard served for the volume through other hosts since its last answer to this
    /// host.
    pub others: f64,
    /// Fraction of the node's cores that are busy; `None` if the answer did not report it.
    pub busy: Option<f64>,
}

/// An event that the host reports to the scheduler.
#[derive(Debug, Clone)]
pub enum Event {
    /// The host received a client's request.
    RequestReceived(Request),
    /// The streamed answer to a request has begun to reach the client, so the request can no longer be retried.
    ResponseStarted {
        /// The request.
        id: RequestId,
        /// Number of the attempt, counted from 0.
        attempt: u32,
    },
    /// An attempt has ended.
    AttemptEnded(AttemptEnd),
    /// The send time of an attempt differs from the time of the decision to send it, because the attempt
    /// waited for a connection or is waiting for one that should be open by then.
    AttemptSent {
        /// The request.
        id: RequestId,
        /// The node.
        node: NodeId,
        /// Send time of the attempt.
        at: Duration,
    },
    /// The client has cancelled the request or disconnected, and needs no answer.
    RequestCancelled {
        /// The request.
        id: RequestId,
    },
    /// The parameters of a plan have changed, or a plan was added; a new plan has the next unused id.
    PlanChanged {
        /// The plan.
        plan: PlanId,
        /// Its parameters from now on.
        facts: Plan,
    },
    /// The terms of a volume have changed. A volume for which no such event came has the terms of its first
    /// request.
    VolumeChanged {
        /// The volume.
        volume: VolumeId,
        /// Its terms from now on; `None` if this host no longer serves it.
        terms: Option<VolumeTerms>,
    },
    /// The endpoint list has changed, or the call for it failed.
    EndpointUpdate {
        /// Content of the update.
        kind: EndpointUpdateKind,
        /// The endpoints in it.
        endpoints: Vec<Endpoint>,
    },
    /// The discovery service has answered, with or without changes, so the endpoint list is up to date.
    EndpointsConfirmed,
    /// The discovery service has moved to another address.
    DiscoveryMoved,
    /// The discovery service has refused a call for the endpoint list because it has too many callers.
    FetchRefused {
        /// Time for which the call was queued at the service.
        waited: Duration,
    },
    /// A timer set by the scheduler has expired.
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
        /// The sending host.
        from: PeerId,
        /// Content of the message.
        bytes: Vec<u8>,
    },
}
