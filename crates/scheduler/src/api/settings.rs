//! Settings that the scheduler and its host share. Rates are units a second.

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

/// Whether a request may be sent again after an attempt that may have run (RFC 9110, 9.2.2).
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Idempotency {
    /// A second run has no further effect.
    Idempotent,
    /// Nodes of `scope` recognise the request's key for `window` after it was sent.
    WithKey {
        /// The nodes that recognise the key.
        scope: DeduplicationScope,
        /// The time for which they recognise it.
        window: Duration,
    },
    /// It must not run twice.
    NonIdempotent,
}

/// Settings of one class of requests.
#[derive(Debug, Clone)]
pub struct TrafficClass {
    /// Time from receipt within which an answer earns its full value.
    pub latency_objective: Duration,
    /// Whether an attempt may follow one that may have run.
    pub idempotency: Idempotency,
    /// Requests of one key run one after the other.
    pub ordered: bool,
    /// Value of a unit that is answered within the objective, before the plan's price.
    pub priority_weight: f64,
    /// Fraction of that value that a late answer still earns, from 0 to 1.
    pub late_fraction: f64,
}

/// Figures of a plan, for one volume over all hosts and nodes.
#[derive(Debug, Clone, Default)]
pub struct Plan {
    /// Rate of which reported usage is a percentage.
    pub base_rate: f64,
    /// Rate that the volume is guaranteed.
    pub reservation: f64,
    /// Rate that the volume may not exceed; 0: no limit.
    pub limit: f64,
    /// Units that the limit lets pass at once.
    pub limit_burst: f64,
    /// Units by which the limit may be exceeded.
    pub limit_slack: f64,
    /// Weight in the division of the capacity that the reservations leave.
    pub weight: f64,
    /// Factor on the value of the volume's requests.
    pub price: f64,
}

/// One host's quota of a volume's limit, as figures of a token bucket.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitQuota {
    /// Units a second.
    pub rate: f64,
    /// Units at once.
    pub burst: f64,
}

/// Terms on which this host serves a volume.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct VolumeTerms {
    /// The volume's plan.
    pub plan: PlanId,
    /// Number of hosts that receive the volume's requests.
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

/// Measures of work and of its value.
#[derive(Debug, Clone)]
pub struct UnitSettings {
    /// Mean size of a request, in units.
    pub mean: f64,
    /// Size of the largest request, in units.
    pub largest: f64,
    /// Period over which nodes add up the usage that they report; zero: they report none.
    pub meter: Duration,
    /// Fraction of the value that units earn beyond the reservation, within the fair share.
    pub share_fraction: f64,
    /// Fraction of the value that units earn beyond the fair share.
    pub spare_fraction: f64,
}

/// Limits of the deployment on attempts, health checks and answers.
#[derive(Debug, Clone)]
pub struct HostLimits {
    /// Attempts of one request, its first included.
    pub max_attempts: u32,
    /// Whether nodes answer health checks.
    pub probing: bool,
    /// Longest Retry-After of a rejection; None: rejections have none.
    pub max_retry_after: Option<Duration>,
    /// Time after the deadline up to which an answer may still come.
    pub answer_slack: Duration,
}

/// Rule on nodes that have started recently: the units that all hosts together may send to one while it warms
/// up.
#[derive(Debug, Clone, Default)]
pub struct SlowStartPolicy {
    /// Number of hosts that share the allowance.
    pub hosts: usize,
    /// Units within the window that any node bears, even one that has just started.
    pub units: f64,
    /// Fraction of its full capacity at which a node starts.
    pub initial_fraction: f64,
    /// Time after which a node has its full capacity.
    pub warm_up_time: Duration,
    /// Length of the window over which the rule adds up the units sent.
    pub overload_window: Duration,
    /// Multiple of its present capacity that a node bears within the window.
    pub multiple: f64,
}

/// Rule on retries over any window.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    /// Retries that are always allowed.
    pub min_retries: f64,
    /// Retries allowed for each request received in the window.
    pub ratio: f64,
    /// Length of the window.
    pub window: Duration,
}

/// How this host gets the endpoint list.
#[derive(Debug, Clone, Default)]
pub struct DiscoveryPolicy {
    /// The host must poll for the endpoint list; discovery does not push it.
    pub polled: bool,
    /// Time between two polls by the settings.
    pub poll_interval: Duration,
    /// Time after an answer from discovery for which nodes may be used without another answer; None: without
    /// end. A lease needs a discovery that answers from time to time even if nothing has changed.
    pub lease: Option<Duration>,
}
