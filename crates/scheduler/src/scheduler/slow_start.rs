//! Slow start: while a recently started node warms up, this host sends it no more than its own quota of the
//! work that the node can already do.
//!
//! Slow start prevents all hosts together from overloading a node that is warming up. Its cost is that a small
//! number of hosts leaves part of the node's capacity unused.
//!
//! Called by [`super::Scheduler`] when a node becomes ready, in each control interval, and when the endpoint
//! list changes. [`SlowStart`] holds the policy; each node has a [`WarmUp`], which owns this host's quota
//! there.

use super::jitter::Jitter;
use crate::state::Node;
use crate::token_bucket::TokenBucket;
use crate::{api::SlowStartPolicy, rates::seconds};
use std::time::Duration;

/// Fraction of the allowance of the slow-start rule that is used. The rest, and the excess that the rule
/// tolerates, absorb random variation. With a larger value random variation breaks the rule; with a smaller
/// one, nodes are underused while they warm up.
const USED_FRACTION: f64 = 0.9;
/// Fraction of the quota that may be sent at once; the rest becomes available over the rule's window. A larger
/// value lets bursts of many hosts coincide; a smaller one makes large requests wait long.
const BURST_FRACTION: f64 = 0.2;
/// Upper bound of the random delay before the first request to a node that has become ready. With a larger
/// value requests wait longer than the deployment's rules allow; with a smaller one, more hosts send their
/// first requests together.
const MAX_FIRST_USE_DELAY: Duration = Duration::from_millis(400);

/// Returns the number of units that this host may send to a node that is warming up, in one window of the
/// rule. It is this host's share of the units that every node can take or, if that is more, of the work that
/// the node can do at its age. The latter is computed from this host's own rate at the node, so that the
/// shares of all hosts add up to the node's capacity.
pub fn slow_start_quota(policy: &SlowStartPolicy, own_rate: f64, age: Duration) -> f64 {
    let warm_fraction = (seconds(age) / seconds(policy.warm_up_time).max(1e-3)).min(1.0);
    let capacity = policy.initial_fraction + (1.0 - policy.initial_fraction) * warm_fraction;
    let max_load_units = policy.multiple * capacity * own_rate * seconds(policy.overload_window);
    USED_FRACTION * max_load_units.max(policy.units / policy.hosts.max(1) as f64)
}

/// Warm-up of one node.
#[derive(Debug, Default)]
pub(crate) struct WarmUp {
    /// No request is sent to the node before this time.
    accepts_from: Duration,
    /// Token bucket of this host's quota; `None` if the node is warm.
    quota: Option<TokenBucket>,
}

impl WarmUp {
    pub(super) fn accepts_from(&self) -> Duration {
        self.accepts_from
    }

    pub(super) fn is_active(&self) -> bool {
        self.quota.is_some()
    }

    /// Returns whether the quota allows a request to the node.
    pub(super) fn allows(&self) -> bool {
        self.quota.as_ref().is_none_or(|quota| quota.level() > 0.0)
    }

    /// Draws the units of an attempt from the quota.
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

/// Slow start of the nodes that have started recently.
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

    /// Starts the warm-up of a node that has become ready. `started`: start time of its process;
    /// `is_first_list`: the node is in the first endpoint list that this host received.
    pub(super) fn start(
        &self,
        started: Option<Duration>,
        is_first_list: bool,
        now: Duration,
        jitter: &mut Jitter,
    ) -> WarmUp {
        // All hosts learn of the node at about the same time; without the delay all would send requests at
        // once.
        let delay =
            MAX_FIRST_USE_DELAY.mul_f64(f64::from(u8::from(!is_first_list)) * jitter.fraction());
        let is_warming = started.is_some_and(|started| now < started + self.policy.warm_up_time);
        WarmUp {
            accepts_from: now + delay,
            // A bucket lets one request exceed its tokens and goes into debt; many hosts that do so at the
            // same time overload a node. A random initial debt spreads the hosts in time, and the loss of
            // tokens when the bucket is full keeps them spread. The cost is that a small number of hosts
            // waits without need.
            quota: is_warming
                .then(|| TokenBucket::losing_when_full(self.mean_units, jitter.fraction())),
        }
    }

    /// Updates the quotas to the nodes' ages, and ends the warm-up of nodes that are warm.
    pub(super) fn update<'a>(&self, nodes: impl Iterator<Item = &'a mut Node>, now: Duration) {
        let window = seconds(self.policy.overload_window).max(1e-3);
        for node in nodes {
            let Some(bucket) = &mut node.warm_up.quota else {
                continue;
            };
            let age = now.saturating_sub(node.started.unwrap_or_default());
            // The quota follows the work that this host did at the node, not the work that it could do there,
            // because the sum of the latter over all hosts has no bound.
            let own_rate = (node.capacity.usage_rate() + node.flows.reserved_rate()) / 2.0;
            let quota = slow_start_quota(&self.policy, own_rate, age);
            // A full bucket plus its refill over one window of the rule add up to the quota.
            let burst = quota * BURST_FRACTION;
            bucket.reconfigure((quota - burst) / window, burst);
            let is_warm = age >= self.policy.warm_up_time;
            node.warm_up.quota.take_if(|_| is_warm);
        }
    }
}
