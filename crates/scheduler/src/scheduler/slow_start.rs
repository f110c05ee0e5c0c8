//! Slow start: a node that has started recently gets from this host no more than its quota of the work that
//! the node can do by then.
//!
//! Guards against an overload of a node that is warming up by all hosts together. Harm: few hosts leave part of
//! the node's capacity unused.
//!
//! Called by [`super::Scheduler`] when a node comes up, each control interval, and when the endpoint list
//! changes. [`SlowStart`] holds the rule; [`WarmUp`], one a node, owns the node's quota.

use super::jitter::Jitter;
use crate::state::Node;
use crate::token_bucket::TokenBucket;
use crate::{api::SlowStartPolicy, rates::seconds};
use std::time::Duration;

/// Fraction of the rule's allowance that is used; the rest, and the excess that the rule tolerates, cover chance.
/// Larger: chance breaks the rule. Smaller: nodes that warm up idle.
const USED_FRACTION: f64 = 0.9;
/// Fraction of the quota that may go at once; the rest fills over the rule's window. Larger: bursts of many
/// hosts coincide. Smaller: a large request waits long.
const BURST_FRACTION: f64 = 0.2;
/// Bounds the random delay before the first request to a node that has come up. Larger: requests wait longer,
/// beyond the rules' spans. Smaller: more hosts send their first requests together.
const MAX_FIRST_USE_DELAY: Duration = Duration::from_millis(400);

/// Units that this host may send, in one window of the rule, to a node that is warming up: its part of the units
/// that a node always bears, or of the least that the node can do by now. The latter is reckoned from this
/// host's own rate there, so that the parts of all hosts sum to it.
pub fn slow_start_quota(policy: &SlowStartPolicy, own_rate: f64, age: Duration) -> f64 {
    let warm = (seconds(age) / seconds(policy.warm_up_time).max(1e-3)).min(1.0);
    let capacity = policy.initial_fraction + (1.0 - policy.initial_fraction) * warm;
    let bearable = policy.multiple * capacity * own_rate * seconds(policy.overload_window);
    USED_FRACTION * bearable.max(policy.units / policy.hosts.max(1) as f64)
}

/// Warm-up of one node.
#[derive(Debug, Default)]
pub(crate) struct WarmUp {
    /// No request goes to the node before this time.
    accepts_from: Duration,
    /// Quota of this host; None: the node is warm.
    quota: Option<TokenBucket>,
}

impl WarmUp {
    pub(super) fn accepts_from(&self) -> Duration {
        self.accepts_from
    }

    pub(super) fn is_active(&self) -> bool {
        self.quota.is_some()
    }

    /// Returns whether a request may go to the node by the quota.
    pub(super) fn allows(&self) -> bool {
        self.quota.as_ref().is_none_or(|quota| quota.level() > 0.0)
    }

    /// Draws the units of an attempt.
    pub(crate) fn take(&mut self, units: f64) {
        if let Some(quota) = &mut self.quota {
            quota.take(units);
        }
    }

    pub(crate) fn refill(&mut self, seconds: f64) {
        if let Some(quota) = &mut self.quota {
            quota.refill(seconds);
        }
    }
}

/// The rule on nodes that have started recently.
#[derive(Debug)]
pub(super) struct SlowStart {
    policy: SlowStartPolicy,
    /// Mean size of a request, in units.
    mean_units: f64,
}

impl SlowStart {
    pub(super) fn new(policy: SlowStartPolicy, mean_units: f64) -> Self {
        SlowStart { policy, mean_units }
    }

    /// Starts the warm-up of a node that came up. `started`: start of its process; `first`: the first endpoint
    /// list of this host names it.
    pub(super) fn start(
        &self,
        started: Option<Duration>,
        first: bool,
        now: Duration,
        jitter: &mut Jitter,
    ) -> WarmUp {
        // All hosts learn of the node at about the same time; without the delay each would send at once.
        let delay = MAX_FIRST_USE_DELAY.mul_f64(f64::from(u8::from(!first)) * jitter.fraction());
        let is_warming = started.is_some_and(|started| now < started + self.policy.warm_up_time);
        WarmUp {
            accepts_from: now + delay,
            // A bucket lets one request into debt, and many hosts that do so together overload a node. A random
            // initial debt spreads them, and the lapse of a full bucket keeps them apart. Harm: few hosts wait.
            quota: is_warming.then(|| TokenBucket::lapsing(self.mean_units, jitter.fraction())),
        }
    }

    /// Sets the quotas by the nodes' ages, and ends the warm-up of nodes that are warm.
    pub(super) fn update<'a>(&self, nodes: impl Iterator<Item = &'a mut Node>, now: Duration) {
        let window = seconds(self.policy.overload_window).max(1e-3);
        for node in nodes {
            let Some(bucket) = &mut node.warm_up.quota else {
                continue;
            };
            let age = now.saturating_sub(node.started.unwrap_or_default());
            // The work that a host did there, not the work that it could do: the sum of the latter over all
            // hosts has no bound.
            let own_rate = (node.capacity.usage_rate() + node.flows.reserved_rate()) / 2.0;
            let quota = slow_start_quota(&self.policy, own_rate, age);
            // A full bucket and its refill together stay within one window of the rule.
            let burst = quota * BURST_FRACTION;
            bucket.reconfigure((quota - burst) / window, burst);
            let is_warm = age >= self.policy.warm_up_time;
            node.warm_up.quota.take_if(|_| is_warm);
        }
    }
}
