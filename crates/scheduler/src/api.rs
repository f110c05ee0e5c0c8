//! The messages between the decision module and its host: events in, actions out, and the settings that both
//! share.
//!
//! [`Event`] and [`Action`] are the whole vocabulary of [`crate::scheduler::Scheduler::step`]. Nothing is decided
//! here. Rates are units a second, where a unit is the settings' measure of node work; times are spans since
//! the host's start unless stated otherwise.

use std::fmt;
use std::time::Duration;

/// Identifies a request, by the text under which its client knows it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub [u8; 36]);

/// Identifies a storage node; the same at every host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct NodeId(pub u32);

/// Identifies a volume.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct VolumeId(pub u64);

/// Identifies the piece of data that a request reads or writes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KeyId(pub u64);

/// Identifies a shard: the nodes that hold one part of the data.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ShardId(pub u32);

/// Identifies an availability zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ZoneId(pub u32);

/// Identifies a plan, by its place in the settings.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PlanId(pub usize);

/// Identifies a traffic class, by its place in the settings.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TrafficClassId(pub usize);

/// Identifies another host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PeerId(pub u32);

/// Tells one timer of the module from another.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TimerTag(pub u64);

/// The nodes among which an idempotency key is recognised.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// Every node.
    All,
    /// Nodes of the same zone.
    Zone,
    /// Nodes of the same shard.
    Shard,
}

/// Whether a request may be sent again after an attempt that may have run (RFC 9110, 9.2.2).
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Idempotency {
    /// Repeating it has no further effect.
    Idempotent,
    /// Nodes of `scope` recognise the request's key for `window` after it was sent.
    WithKey {
        /// Where the key is recognised.
        scope: DeduplicationScope,
        /// For how long.
        window: Duration,
    },
    /// It must not run twice.
    NonIdempotent,
}

/// What the settings say of one class of requests.
#[derive(Debug, Clone)]
pub struct TrafficClass {
    /// Time from arrival within which an answer earns its full value.
    pub latency_objective: Duration,
    /// Whether an attempt may follow one that may have run.
    pub idempotency: Idempotency,
    /// Requests of one key run one after the other.
    pub ordered: bool,
    /// Value of a unit answered within the objective, before the plan's price.
    pub priority_weight: f64,
    /// The fraction of that value that a late answer still earns, from 0 to 1.
    pub late_fraction: f64,
}

/// Figures of a plan, for one volume over all hosts and nodes.
#[derive(Debug, Clone, Default)]
pub struct Plan {
    /// Rate against which reported usage is a percentage.
    pub base_rate: f64,
    /// Rate that the volume is guaranteed.
    pub reservation: f64,
    /// Rate that the volume may not exceed; 0: no limit.
    pub limit: f64,
    /// Units that the limit lets pass at once.
    pub limit_burst: f64,
    /// Units by which the limit may be overrun.
    pub limit_slack: f64,
    /// Weight in the division of what the reservations leave.
    pub weight: f64,
    /// Factor on the value of the volume's requests.
    pub price: f64,
}

/// A token bucket's figures: one host's quota of a volume's limit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitQuota {
    /// Units a second.
    pub rate: f64,
    /// Units at once.
    pub burst: f64,
}

/// The terms on which this host serves a volume.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct VolumeTerms {
    /// The volume's plan.
    pub plan: PlanId,
    /// Number of hosts through which the volume's requests come.
    pub hosts: usize,
    /// This host's quota of the plan's limit; None: no limit.
    pub limit: Option<LimitQuota>,
}

impl VolumeTerms {
    /// Terms with an even quota of the plan's limit for each host.
    pub fn even(id: PlanId, plan: &Plan, hosts: usize) -> Self {
        let hosts = hosts.max(1);
        let quota = |of: f64| of / hosts as f64;
        let limit = (plan.limit > 0.0).then(|| LimitQuota {
            rate: quota(plan.limit),
            burst: quota(plan.limit_burst),
        });
        VolumeTerms {
            plan: id,
            hosts,
            limit,
        }
    }
}

/// How the settings measure work and its value.
#[derive(Debug, Clone)]
pub struct UnitSettings {
    /// Mean size of a request, in units.
    pub mean: f64,
    /// Size of the largest request, in units.
    pub largest: f64,
    /// The period over which nodes add up the usage they report; zero: none is reported.
    pub meter: Duration,
    /// Fraction of the value that units earn beyond the reservation, inside the fair share.
    pub share_fraction: f64,
    /// Fraction of the value that units earn beyond the fair share.
    pub spare_fraction: f64,
}

/// What the deployment lets a host do with attempts, health checks and answers.
#[derive(Debug, Clone)]
pub struct HostLimits {
    /// Attempts of one request, its first included.
    pub max_attempts: u32,
    /// Whether nodes answer health checks.
    pub probing: bool,
    /// The longest delay that a rejected client may be told; None: clients are told none.
    pub max_retry_after: Option<Duration>,
    /// Time by which an answer may come after its deadline.
    pub answer_slack: Duration,
}

/// The rule on nodes that have just started: what all hosts together may send to one while it warms up.
#[derive(Debug, Clone, Default)]
pub struct SlowStartPolicy {
    /// Number of hosts that share the allowance.
    pub hosts: usize,
    /// Units within the window that a node bears however cold it is.
    pub units: f64,
    /// Fraction of its full capacity at which a node starts.
    pub initial_fraction: f64,
    /// Time after which a node has its full capacity.
    pub warm_up_time: Duration,
    /// Length of the window over which the rule adds up what was sent.
    pub overload_window: Duration,
    /// Multiple of its present capacity that a node bears within the window.
    pub multiple: f64,
}

/// The rule on attempts beyond each request's first, over any window.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    /// Retries that are always allowed.
    pub min_retries: f64,
    /// Retries allowed for each request received in the window.
    pub ratio: f64,
    /// Length of the window.
    pub window: Duration,
}

/// How this host learns of endpoints.
#[derive(Debug, Clone, Default)]
pub struct DiscoveryPolicy {
    /// The endpoint list must be asked for; it is not pushed.
    pub polled: bool,
    /// Time between two polls that the settings ask for.
    pub poll_interval: Duration,
    /// How long after an answer of discovery a node may be sent to without another one; None: however long.
    /// Needs a discovery that answers now and then though nothing has changed.
    pub lease: Option<Duration>,
}

/// A client's request for work on a volume.
#[derive(Debug, Clone)]
pub struct Request {
    /// Its id.
    pub id: RequestId,
    /// Its size.
    pub units: f64,
    /// The shard that holds its data; None: a new object, which any node can take.
    pub shard: Option<ShardId>,
    /// Its traffic class.
    pub traffic_class: TrafficClassId,
    /// The plan of its volume.
    pub plan: PlanId,
    /// Number of hosts through which the volume's requests come.
    pub hosts: usize,
    /// Its piece of data, where that is known.
    pub key: Option<KeyId>,
    /// When its client gives up.
    pub deadline: Duration,
    /// Its volume.
    pub volume: VolumeId,
}

/// How an attempt ended.
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
    /// No connection to the node came up; it never ran.
    ConnectFailed,
    /// The connection was reset; it may still run.
    ConnectionReset,
    /// This host called it off; it may still run.
    Cancelled,
    /// It never left this host.
    NotSent,
}

/// What the endpoint list says of a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NodeState {
    /// It takes requests.
    Ready,
    /// It finishes what it has and must get nothing new.
    Draining,
    /// It is no more.
    Gone,
}

/// What an update of the endpoint list holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndpointUpdateKind {
    /// The endpoints that changed.
    Delta,
    /// All endpoints there are.
    Snapshot,
    /// All endpoints as this host stored them before its restart.
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
    /// When its process last started; None: long ago.
    pub started: Option<Duration>,
}

/// How an attempt ended, and what its answer told.
#[derive(Debug, Clone)]
pub struct AttemptEnd {
    /// The request.
    pub id: RequestId,
    /// Which of its attempts, from 0.
    pub attempt: u32,
    /// The node it was sent to.
    pub node: NodeId,
    /// How it ended.
    pub outcome: AttemptOutcome,
    /// Time since it was sent.
    pub elapsed: Duration,
    /// The request has had its final answer.
    pub answered: bool,
    /// The volume's usage everywhere in a finished meter period, in percent of the plan's base rate.
    pub reported: Option<f64>,
    /// Units that this shard served for the volume through other hosts since its last answer to this host.
    pub others: f64,
    /// Busy fraction of the node's cores, where it is reported.
    pub busy: Option<f64>,
}

/// What the host tells the decision module.
#[derive(Debug, Clone)]
pub enum Event {
    /// A client's request has come in.
    RequestReceived(Request),
    /// The answer of a streamed request has begun; it now belongs to the client.
    ResponseStarted {
        /// The request.
        id: RequestId,
        /// Which of its attempts.
        attempt: u32,
    },
    /// An attempt is over.
    AttemptEnded(AttemptEnd),
    /// An attempt is on its way to its node from then on, and not from when it was decided: it waited for a
    /// connection, or waits for one that should be up by then.
    AttemptSent {
        /// The request.
        id: RequestId,
        /// The node.
        node: NodeId,
        /// From when it counts as sent.
        at: Duration,
    },
    /// The client has left and wants no answer.
    RequestCancelled {
        /// The request.
        id: RequestId,
    },
    /// A plan's figures from now on; a new plan has the next number.
    PlanChanged {
        /// The plan.
        plan: PlanId,
        /// Its figures.
        facts: Plan,
    },
    /// A volume's terms from now on. A volume of which nothing is told has those of its first request.
    VolumeChanged {
        /// The volume.
        volume: VolumeId,
        /// Its terms; None: it is served here no more.
        terms: Option<VolumeTerms>,
    },
    /// The endpoint list has changed, or could not be had.
    EndpointUpdate {
        /// What the update holds.
        kind: EndpointUpdateKind,
        /// The endpoints of which it speaks.
        endpoints: Vec<Endpoint>,
    },
    /// Discovery has answered, with changes or without: the endpoint list is up to date.
    EndpointsConfirmed,
    /// Discovery is at another address from now on.
    DiscoveryMoved,
    /// Discovery has refused a call for the endpoint list: it has too many callers.
    FetchRefused {
        /// How long the call had waited there by then.
        waited: Duration,
    },
    /// A timer that the module set has run out.
    TimerFired {
        /// Which timer.
        tag: TimerTag,
    },
    /// A health check of a node is over.
    HealthChecked {
        /// The node.
        node: NodeId,
        /// How it ended.
        outcome: AttemptOutcome,
    },
    /// Another host's module has sent a message.
    PeerMessage {
        /// Its sender.
        from: PeerId,
        /// Its text.
        bytes: Vec<u8>,
    },
}

/// Why a queued request is not sent to a node now.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum BlockReason {
    /// A retry waits out its delay.
    RetryDelay,
    /// An earlier request of its key is open, or the key rests.
    KeyOrder,
    /// The retry budget is spent.
    RetryBudget,
    /// The volume's limit is spent.
    RateLimit,
    /// The node is warming up, and this host's quota of what it bears is spent.
    SlowStart,
    /// It may have run, and must not run there again.
    Idempotency,
    /// The volume is beyond its fair share, and the node has nothing to spare.
    Share,
    /// The lease of the endpoint list has run out, and nothing else shows that the node takes requests.
    Unconfirmed,
    /// The node takes only requests of a higher value.
    Throttled,
    /// As much is out at the node as may be.
    Concurrency,
    /// No node has capacity for a new object.
    NoCapacity,
}

/// What the decision module wants done.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Send an attempt of a request.
    SendAttempt {
        /// The request.
        id: RequestId,
        /// Where to.
        node: NodeId,
        /// When the attempt is over at the latest.
        deadline: Duration,
    },
    /// Answer the client that the request did not run and may be sent again.
    Reject {
        /// The request.
        id: RequestId,
        /// After this time at the earliest; None: the client is told no time.
        retry_after: Option<Duration>,
    },
    /// Answer the client that the request failed and may have run.
    Fail {
        /// The request.
        id: RequestId,
    },
    /// Call an attempt off.
    CancelAttempt {
        /// The request.
        id: RequestId,
        /// Which of its attempts.
        attempt: u32,
    },
    /// Call [`crate::scheduler::Scheduler::step`] again, with this timer's event, after a time.
    SetTimer {
        /// From now.
        after: Duration,
        /// Which timer.
        tag: TimerTag,
    },
    /// Check a node's health.
    HealthCheck {
        /// The node.
        node: NodeId,
    },
    /// Close a node's idle connections.
    CloseIdleConnections {
        /// The node.
        node: NodeId,
    },
    /// Send a message to another host's module.
    SendToPeer {
        /// To whom; None: to all hosts.
        to: Option<PeerId>,
        /// Its text.
        bytes: Vec<u8>,
    },
    /// Write an event to the log.
    Log {
        /// The event.
        event: LogEvent,
    },
    /// Open, or close, the watch on the endpoint list.
    WatchEndpoints {
        /// Whether it is wanted.
        on: bool,
    },
    /// Fetch the whole endpoint list.
    FetchEndpoints,
}

/// Reason for which a node was ejected: from then on it gets trial requests only.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EjectionReason {
    /// Attempts are outstanding at the node, and it has answered none of them.
    Silent {
        /// Time since its last answer, or since the oldest of these attempts was sent.
        silent_for: Duration,
    },
    /// The node's queue was full.
    QueueFull {
        /// Consecutive failures of the node.
        failures: u32,
    },
    /// No connection to the node could be opened.
    ConnectFailed {
        /// Consecutive failures of the node.
        failures: u32,
    },
}

impl fmt::Display for EjectionReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            EjectionReason::Silent { silent_for } => write!(f, "no answer for {silent_for:?}"),
            EjectionReason::QueueFull { failures } => {
                write!(f, "queue full after {failures} failures in a row")
            }
            EjectionReason::ConnectFailed { failures } => {
                write!(f, "connection failed after {failures} failures in a row")
            }
        }
    }
}

/// Event of the decisions for the host's log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogEvent {
    /// The lease of the endpoint list has expired: only nodes that complete requests get more.
    EndpointLeaseExpired,
    /// Discovery has answered after the lease had expired.
    EndpointLeaseRenewed,
    /// A node has started recently and gets only this host's quota until it has warmed up.
    NodeWarmingUp {
        /// The node.
        node: NodeId,
    },
    /// A node was ejected.
    NodeEjected {
        /// The node.
        node: NodeId,
        /// The reason.
        reason: EjectionReason,
    },
}

impl fmt::Display for LogEvent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            LogEvent::EndpointLeaseExpired => {
                f.write_str("list of nodes: too old, only nodes that answer are used")
            }
            LogEvent::EndpointLeaseRenewed => f.write_str("list of nodes: in force again"),
            LogEvent::NodeWarmingUp { node } => write!(f, "node {} warming up", node.0),
            LogEvent::NodeEjected { node, reason } => {
                write!(f, "node {} ejected: {reason}", node.0)
            }
        }
    }
}
