//! Slow start: a node that has just started gets from this host no more than its part of what the node bears.
//!
//! Guards against all hosts together overloading a node that warms up. Harm: few hosts use less of it.

use super::Scheduler;
use crate::{api::SlowStartPolicy, rates::seconds};
use std::time::Duration;

const USED_FRACTION: f64 = 0.9; // of what the rule allows: the rest, and the chance it forgives, are for luck
const BURST_FRACTION: f64 = 0.2; // of the quota at once; the rest of it fills

/// Units that this host may send to a node that warms up in one window of the rule: its part of those that
/// are always borne, or of the least that a node can do by now, by its own rate, which all hosts' sum to.
pub fn slow_start_quota(policy: &SlowStartPolicy, own_rate: f64, age: Duration) -> f64 {
    let warm = (seconds(age) / seconds(policy.warm_up_time).max(1e-3)).min(1.0);
    let capacity = policy.initial_fraction + (1.0 - policy.initial_fraction) * warm;
    let bearable = policy.multiple * capacity * own_rate * seconds(policy.overload_window);
    USED_FRACTION * bearable.max(policy.units / policy.hosts.max(1) as f64)
}

impl Scheduler {
    /// Sets the quotas by the nodes' present ages, and drops those of nodes that are warm.
    pub(super) fn update_slow_start(&mut self) {
        let window = seconds(self.slow_start.overload_window).max(1e-3);
        for node in self.state.nodes.values_mut() {
            let Some(bucket) = &mut node.slow_start else {
                continue;
            };
            let age = self
                .state
                .now
                .saturating_sub(node.started.unwrap_or_default());
            // What a host did there, not what it could do: of the latter all hosts' sum is no bound.
            let own_rate = (node.usage.per_second() + node.reserved_rate) / 2.0;
            let quota = slow_start_quota(&self.slow_start, own_rate, age);
            // A full bucket and its refill together stay inside one window of the rule.
            let burst = quota * BURST_FRACTION;
            bucket.reconfigure((quota - burst) / window, burst);
            node.slow_start
                .take_if(|_| age >= self.slow_start.warm_up_time);
        }
    }
}
