//! What the decision module is told and what it answers. No decision is made here.

use std::time::Duration;

/// A request, by the text under which the client knows it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub [u8; 36]);

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct NodeId(pub u32);

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct VolumeId(pub u64);

/// The piece of data that a request reads or writes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KeyId(pub u64);

/// The group of nodes that hold one part of the data.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CellId(pub u32);

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ZoneId(pub u32);

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PlanId(pub usize);

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StreamTypeId(pub usize);

/// Another host's number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PeerId(pub u32);

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TimerTag(pub u64);

/// Which nodes know a repeat of a keyed request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DeduplicationScope {
    All,
    Zone,
    Cell,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Idempotency {
    Idempotent,
    WithKey { scope: DeduplicationScope, window: Duration },
    NonIdempotent,
}

#[derive(Debug, Clone)]
pub struct StreamType {
    pub slo: Duration,
    pub idempotency: Idempotency,
    pub ordered: bool,
    pub benefit: f64,
    pub late_part: f64,
}

/// Figures of a plan, for one volume over all hosts and nodes. Rates are units a second.
#[derive(Debug, Clone, Default)]
pub struct Plan {
    pub base_rate: f64,
    pub reservation: f64,
    /// 0: no limit.
    pub limit: f64,
    pub limit_burst: f64,
    pub limit_slack: f64,
    pub weight: f64,
    pub price: f64,
}

/// On what terms this host serves a volume.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Terms {
    pub plan: PlanId,
    /// Through how many hosts it works.
    pub hosts: usize,
    /// This host's own part of a limit: units a second, and units at once.
    pub limit: Option<(f64, f64)>,
}

impl Terms {
    /// Even parts of a plan's limit.
    pub fn even(id: PlanId, plan: &Plan, hosts: usize) -> Self {
        let hosts = hosts.max(1);
        let part = |of: f64| of / hosts as f64;
        let limit = (plan.limit > 0.0).then(|| (part(plan.limit), part(plan.limit_burst)));
        Terms { plan: id, hosts, limit }
    }
}

#[derive(Debug, Clone)]
pub struct UnitFacts {
    pub mean: f64,
    pub largest: f64,
    /// The period over which reported service is added up; zero: none is reported.
    pub meter: Duration,
    /// The part of the benefit that units earn beyond the reservation, inside the share.
    pub share_part: f64,
    /// The part that units earn beyond the share.
    pub spare_part: f64,
}

/// What the deployment lets a host do with attempts and probes.
#[derive(Debug, Clone)]
pub struct Caps {
    pub most_attempts: u32,
    pub probing: bool,
    pub come_back: Option<Duration>,
    pub answer_slack: Duration,
}

/// The rule on nodes that have just started.
#[derive(Debug, Clone, Default)]
pub struct ColdRule {
    pub hosts: usize,
    pub units: f64,
    pub starts_at: f64,
    pub warm_within: Duration,
    pub fall_within: Duration,
    pub multiple: f64,
}

/// The rule on retries.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    pub floor: f64,
    pub share: f64,
    pub window: Duration,
}

/// How the list of nodes is come by.
#[derive(Debug, Clone, Default)]
pub struct DiscoveryPolicy {
    pub polled: bool,
    pub poll_interval: Duration,
}

#[derive(Debug, Clone)]
pub struct Request {
    pub id: RequestId,
    pub units: f64,
    /// None: a new object, which any node can take.
    pub cell: Option<CellId>,
    pub stream_type: StreamTypeId,
    pub plan: PlanId,
    /// Through how many hosts the volume works.
    pub hosts: usize,
    pub key: Option<KeyId>,
    pub expiry: Duration,
    pub volume: VolumeId,
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptOutcome {
    Done,
    Error,
    Full,
    TimeOut,
    NoConnection,
    Reset,
    Cancelled,
    Moot,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NodeState {
    Ready,
    Draining,
    Gone,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndpointUpdateKind {
    Delta,
    Snapshot,
    Cached,
    FetchFailed,
}

#[derive(Debug, Clone)]
pub struct Endpoint {
    pub node: NodeId,
    pub zone: ZoneId,
    pub cell: CellId,
    pub state: NodeState,
    /// When its process last started; None: long ago.
    pub started: Option<Duration>,
}

#[derive(Debug, Clone)]
pub enum Event {
    Taken(Request),
    /// The answer of a streamed request has begun; it now belongs to the client.
    Begun {
        id: RequestId,
        attempt: u32,
    },
    AttemptEnded {
        id: RequestId,
        attempt: u32,
        node: NodeId,
        end: AttemptOutcome,
        elapsed: Duration,
        /// The request has had its final answer.
        over: bool,
        /// The volume's service everywhere in a finished period, in percent of the plan's rate.
        reported: Option<f64>,
        /// Units that this cell did for the volume through other hosts since its last answer here.
        others: f64,
        /// Busy part of the node's cores, where it is reported.
        busy: Option<f64>,
    },
    /// An attempt is on its way to its node from then on, and not from when it was decided: it waited for a
    /// connection, or waits for one that should be up by then.
    Crosses {
        id: RequestId,
        node: NodeId,
        at: Duration,
    },
    Withdrawn {
        id: RequestId,
    },
    /// A plan's figures from now on; that of a new plan has the next number.
    Plan {
        plan: PlanId,
        facts: Plan,
    },
    /// A volume's terms from now on; None: it is served here no more. A volume of which nothing is told has
    /// those of its first request.
    Volume {
        volume: VolumeId,
        terms: Option<Terms>,
    },
    EndpointUpdate {
        kind: EndpointUpdateKind,
        endpoints: Vec<Endpoint>,
    },
    Timer {
        tag: TimerTag,
    },
    Probed {
        node: NodeId,
        end: AttemptOutcome,
    },
    Told {
        from: PeerId,
        bytes: Vec<u8>,
    },
}

/// What keeps a held request from going, for whoever shows it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Rejection {
    /// Another attempt keeps its distance.
    Spacing,
    /// An earlier one with its key is not over, or the key rests.
    Turn,
    /// The budget of retries is spent.
    Budget,
    /// The volume's limit is.
    Limit,
    /// The node is cold, and this host's part of what it bears is spent.
    Cold,
    /// It may have run, and must not run there again.
    Idempotency,
    /// The volume is beyond its share, and the node has nothing over.
    Share,
    /// The node takes only what brings more.
    Ease,
    /// As much is out at the node as may be.
    Room,
    /// No node has room for a new object.
    Nowhere,
}

#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    Send { id: RequestId, node: NodeId, until: Duration },
    Defer { id: RequestId, come_back: Option<Duration> },
    Abandon { id: RequestId },
    CancelAttempt { id: RequestId, attempt: u32 },
    Timer { after: Duration, tag: TimerTag },
    Probe { node: NodeId },
    CloseIdle { node: NodeId },
    Tell { to: Option<PeerId>, bytes: Vec<u8> },
    Log { text: String },
    WatchEndpoints { on: bool },
    FetchEndpoints,
}
