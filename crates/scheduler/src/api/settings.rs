//! Settings that the scheduler and its host share. Rates are in units per second.

use super::PlanId;
use std::time::Duration;

/// The nodes that recognise an idempotency key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// Every node.
    All,
    /// Nodes of the same zone.
    Zone,
    /// Nodes of the same shard.
    Shard,
}

/// Whether a request may be sent again after an attempt that may have run (RFC 9110, section 9.2.2).
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Idempotency {
    /// A second run has no further effect.
    Idempotent,
    /// Nodes in `scope` recognise the request's idempotency key for `window` after it was sent.
    WithKey {
        /// The nodes that recognise the key.
        scope: DeduplicationScope,
        /// The time for which they recognise it.
        window: Duration,
    },
    /// The request must not run twice.
    NonIdempotent,
}

/// Settings of one class of requests.
#[derive(Debug, Clone)]
pub struct TrafficClass {
    /// Time from receipt within which an answer earns its full value.
    pub latency_objective: Duration,
    /// Whether an attempt may follow one that may have run.
    pub idempotency: Idempotency,
    /// Requests of one key must run one at a time, in order of receipt.
    pub ordered: bool,
    /// Value of a unit that is answered within the objective, before it is multiplied by the plan's price.
    pub priority_weight: f64,
    /// Fraction of that value that a late answer still earns, from 0 to 1.
    pub late_fraction: f64,
}

/// Parameters of a plan. They apply to one volume, over all hosts and nodes.
#[derive(Debug, Clone, Default)]
pub struct Plan {
    /// Rate to which the percentages of reported usage refer.
    pub base_rate: f64,
    /// Rate that is guaranteed to the volume.
    pub reservation: f64,
    /// Rate that the volume may not exceed; 0 if it has no limit.
    pub limit: f64,
    /// Number of units that the limit allows at once.
    pub limit_burst: f64,
    /// Number of units by which the limit may be exceeded.
    pub limit_slack: f64,
    /// Weight in the division of the capacity that the reservations leave.
    pub weight: f64,
    /// Factor by which the value of the volume's requests is multiplied.
    pub price: f64,
}

/// One host's quota of a volume's limit, as parameters of a token bucket.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitQuota {
    /// Units per second.
    pub rate: f64,
    /// Number of units that may be sent at once.
    pub burst: f64,
}

/// Terms on which this host serves a volume.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct VolumeTerms {
    /// The volume's plan.
    pub plan: PlanId,
    /// Number of hosts that receive the volume's requests.
    pub hosts: usize,
    /// This host's quota of the plan's limit; `None` if the plan has no limit.
    pub limit: Option<LimitQuota>,
}

impl VolumeTerms {
    /// Returns terms that give each host an equal quota of the plan's limit.
    pub fn even(id: PlanId, plan: &Plan, hosts: usize) -> Self {
        let hosts = hosts.max(1);
        let quota = |total: f64| total / hosts as f64;
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

/// Parameters of request sizes, of usage reports and of the value of units.
#[derive(Debug, Clone)]
pub struct UnitSettings {
    /// Mean size of a request, in units.
    pub mean: f64,
    /// Size of the largest request, in units.
    pub largest: f64,
    /// Period over which nodes add up the usage that they report; zero if they report none.
    pub meter: Duration,
    /// Fraction of its value that a unit earns beyond the reservation and within the fair share.
    pub share_fraction: f64,
    /// Fraction of its value that a unit earns beyond the fair share.
    pub spare_fraction: f64,
}

/// Limits of the deployment on attempts, health checks and answers.
#[derive(Debug, Clone)]
pub struct HostLimits {
    /// Maximum number of attempts of one request, including the first.
    pub max_attempts: u32,
    /// Whether nodes answer health checks.
    pub probing: bool,
    /// Longest Retry-After of a rejection; `None` if rejections carry no Retry-After.
    pub max_retry_after: Option<Duration>,
    /// Time after the deadline within which an answer may still be given.
    pub answer_slack: Duration,
}

/// Rule for nodes that have started recently: the number of units that all hosts together may send to a node
/// while it warms up.
#[derive(Debug, Clone, Default)]
pub struct SlowStartPolicy {
    /// Number of hosts that share the allowance.
    pub hosts: usize,
    /// Number of units that every node can take within the window, even one that has just started.
    pub units: f64,
    /// Fraction of its full capacity at which a node starts.
    pub initial_fraction: f64,
    /// Time after which a node has its full capacity.
    pub warm_up_time: Duration,
    /// Length of the window over which the rule adds up the units sent.
    pub overload_window: Duration,
    /// Multiple of its current capacity that a node can take within the window.
    pub multiple: f64,
}

/// Limit on the number of retries in every window of the given length.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    /// Number of retries that are always allowed.
    pub min_retries: f64,
    /// Number of retries allowed for each request received in the window.
    pub ratio: f64,
    /// Length of the window.
    pub window: Duration,
}

/// How this host gets the endpoint list.
#[derive(Debug, Clone, Default)]
pub struct DiscoveryPolicy {
    /// The host must poll for the endpoint list, because discovery does not push it.
    pub polled: bool,
    /// Time between two polls.
    pub poll_interval: Duration,
    /// Time for which nodes may be used after an answer from discovery without another answer; `None` if
    /// without end. A lease requires a discovery service that answers from time to time even if nothing has
    /// changed.
    pub lease: Option<Duration>,
}
