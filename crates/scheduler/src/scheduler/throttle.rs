//! Admission throttle: late answers to attempts that were alone at a node cut what may go there, the least
//! value first; silence and failures in a row eject it (Envoy's outlier detection; SRE book, chapter 21).
//!
//! Guards against nodes that are late by others' doing, hang, or fail fast. Harm: a jam ejects one for
//! seconds.

use super::{concurrency::QUEUEING_FRACTION, Scheduler};
use crate::{api::EjectionReason, rates::seconds, state::Node};
use std::time::Duration;

const DECREASE: f64 = -0.4; // a second; a host that hears often moves no faster than one that seldom does
const INCREASE: f64 = 0.8; // a second
const MIN_WEIGHT: f64 = 0.025; // seconds; the least that one answer speaks for
const MAX_WEIGHT: f64 = 3.0; // seconds; the most
const BLUR: f64 = 0.25; // of the scale; requests of one value go in part, not all or none
const USUAL_LATE_FRACTION: f64 = 0.3; // heavy requests, pauses and flushes alone
const LATE_WEIGHT_ALL: f64 = 0.02; // of one answer, among all nodes'
const LATE_WEIGHT_NODE: f64 = 0.4; // of one answer, among the node's
const SILENT_OBJECTIVES: u32 = 4; // latency objectives; a heavy request alone is not silence
const MIN_RECOVERY: f64 = 0.04; // a second
const MAX_RECOVERY: f64 = 0.2; // a second
const RECOVERY_BY_REQUEST: f64 = 0.2; // a second, for each request a second
pub(super) const UNQUEUED_QUANTILE: f64 = 0.15; // of the time for a unit: stands for work without a queue
pub(super) const EJECT_AFTER: u32 = 3; // failures in a row; one or two can be chance
pub(super) const OPEN: f64 = 0.9; // below, a node has enough of its own before a new object

/// How far one late answer is believed, by the fraction that is late at the node or at all nodes.
pub fn credibility(late_fraction: f64) -> f64 {
    ((late_fraction - USUAL_LATE_FRACTION) / (0.5 - USUAL_LATE_FRACTION)).clamp(0.05, 1.0)
}

/// Moves a node's admission level after an answer, in time or late (or bad), for the time since then.
pub(super) fn adjust_admission(
    node: &mut Node,
    late_everywhere: &mut f64,
    now: Duration,
    late: bool,
) {
    let speaks_for =
        seconds(now.saturating_sub(node.admission_changed)).clamp(MIN_WEIGHT, MAX_WEIGHT);
    let rate = match late {
        true => DECREASE * credibility(late_everywhere.max(node.late_fraction)),
        false => INCREASE,
    };
    let counted = f64::from(u8::from(late));
    *late_everywhere += LATE_WEIGHT_ALL * (counted - *late_everywhere);
    node.late_fraction += LATE_WEIGHT_NODE * (counted - node.late_fraction);
    node.admission_level = (node.admission_level + rate * speaks_for).clamp(0.0, 1.0);
    node.admission_changed = now;
}

/// Lets a node's admission level rise by itself, for a control interval of so many seconds.
pub(super) fn recover_admission(node: &mut Node, mean_units: f64, interval: f64) {
    let rate = RECOVERY_BY_REQUEST * node.usage.per_second() / mean_units.max(0.1);
    node.admission_level =
        (node.admission_level + rate.clamp(MIN_RECOVERY, MAX_RECOVERY) * interval).min(1.0);
}

impl Scheduler {
    /// Whether the node's admission level lets a request of that value go. The scale is the settings', alike
    /// on all hosts: measured against what it is itself offered, a host with nothing but a surge would rank
    /// the surge as high as another host its reservations.
    pub(super) fn throttle_admits(&self, node: &Node, value: f64, tie_breaker: f64) -> bool {
        let range = self.state.value_range;
        let rank = ((value / range.least).max(1.0).ln() / (range.best / range.least).ln()).min(1.0);
        rank + tie_breaker * BLUR >= (1.0 - node.admission_level) * (1.0 + BLUR)
    }

    /// Counts attempts that are overdue as late, and ejects nodes that have answered nothing for long. Guards
    /// against hangs, cut links and dead nodes that the endpoint list still shows. Harm: one heavy request
    /// alone there.
    pub(super) fn detect_silence(&mut self) {
        let now = self.state.now;
        let time_per_unit = self
            .time_per_unit
            .quantile(UNQUEUED_QUANTILE)
            .unwrap_or(self.tightest_objective);
        let queueing = self.tightest_objective.mul_f64(QUEUEING_FRACTION);
        self.state.prune_active_nodes();
        for id in &self.state.active_nodes {
            let Some(node) = self.state.nodes.get_mut(id) else {
                continue;
            };
            for _ in 0..node.count_overdue(&mut self.state.requests, now, time_per_unit, queueing) {
                adjust_admission(node, &mut self.state.late_fraction, now, true);
            }
            node.stats.had_queue |= !node.queue.is_empty();
            let silent_since = node
                .attempts
                .values()
                .min()
                .map_or(now, |sent| node.last_success.max(*sent));
            if now > silent_since + self.tightest_objective * SILENT_OBJECTIVES {
                let reason = EjectionReason::Silent {
                    silent_for: now - silent_since,
                };
                node.eject(&mut self.state.actions, reason);
            }
        }
    }
}
