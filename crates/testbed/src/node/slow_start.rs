//! The slow start of one node: its reduced speed after a start, and the overload that ends its
//! process while it warms up.

use grebecleat_settings::SlowStartPolicy;
use std::collections::VecDeque;
use std::time::Duration;

/// Shortest warm-up time in seconds that the speed is computed with; it bounds a division.
const MIN_WARM_UP_SECONDS: f64 = 1e-3;
/// Shortest window in seconds for which the tolerated load is computed. With a shorter one a single
/// attempt right after the start would overload the node.
const MIN_WINDOW_SECONDS: f64 = 0.5;

/// The warm-up of a node since its last start.
#[derive(Debug, Default)]
pub(super) struct SlowStart {
    /// The time of the last start; `None` for a node that was warm when the scenario began.
    cold_since: Option<Duration>,
    /// The attempts of the overload window: time and units.
    arrived: VecDeque<(Duration, f64)>,
}

impl SlowStart {
    pub(super) fn cold_since(&self) -> Option<Duration> {
        self.cold_since
    }

    /// Begins the warm-up.
    pub(super) fn begin(&mut self, now: Duration) {
        self.cold_since = Some(now);
        self.arrived.clear();
    }

    /// Returns the fraction of its full speed that the node has now.
    pub(super) fn speed_fraction(&self, now: Duration, rule: &SlowStartPolicy) -> f64 {
        let Some(since) = self.cold_since else {
            return 1.0;
        };
        let warm_up = rule.warm_up_time.as_secs_f64().max(MIN_WARM_UP_SECONDS);
        let elapsed = now.saturating_sub(since).as_secs_f64() / warm_up;
        (rule.initial_fraction + (1.0 - rule.initial_fraction) * elapsed).min(1.0)
    }

    /// Records an attempt that arrived. Returns whether the attempts of the window overload the
    /// node, whose capacity is in units a second.
    pub(super) fn is_overloaded(
        &mut self,
        now: Duration,
        units: f64,
        rule: &SlowStartPolicy,
        capacity: f64,
    ) -> bool {
        let warm_up_time = rule.warm_up_time;
        let Some(since) = self.cold_since.filter(|since| now < *since + warm_up_time) else {
            return false;
        };
        self.arrived.push_back((now, units));
        let window = rule.overload_window;
        while self
            .arrived
            .front()
            .is_some_and(|(at, _)| *at + window < now)
        {
            self.arrived.pop_front();
        }
        let seconds = window.min(now - since).as_secs_f64();
        let arrived: f64 = self.arrived.iter().map(|(_, units)| units).sum();
        let tolerated = rule.multiple
            * self.speed_fraction(now, rule)
            * capacity
            * seconds.max(MIN_WINDOW_SECONDS);
        arrived > tolerated.max(rule.units)
    }
}
