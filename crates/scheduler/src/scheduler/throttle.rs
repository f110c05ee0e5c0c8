//! Admission throttle: late answers of attempts that were alone at a node reduce the requests that may go
//! there, those of the least value first (SRE book, chapter 21).
//!
//! Guards against nodes that are late because of other hosts, where this host's own concurrency limit cannot
//! act. Harm: one late node among idle ones is cut a few answers later than it could be.
//!
//! Called by [`super::Scheduler`]. [`AdmissionThrottle`] owns the scale of values and the fraction of late
//! answers over all nodes; [`AdmissionLevel`], one a node, owns the node's level.

use super::settings::Settings;
use crate::rates::seconds;
use crate::state::{Node, RequestTable};
use std::time::Duration;

/// Change of the level a second after a late answer. A host with many answers from a node moves no faster than
/// one with few. Larger in size: the level falls by chance. Smaller: an overload lasts longer.
const DECREASE: f64 = -0.4;
/// Change of the level a second after a timely answer. Larger: the level oscillates. Smaller: requests are
/// rejected for longer after an overload.
const INCREASE: f64 = 0.8;
/// Shortest time that one answer counts for, in seconds. Larger: a burst of answers moves the level far.
const MIN_WEIGHT: f64 = 0.025;
/// Longest time that one answer counts for, in seconds. Larger: one answer after a pause decides alone. Smaller:
/// a host that seldom uses the node does not react.
const MAX_WEIGHT: f64 = 3.0;
/// Fraction of the scale over which requests of one value are admitted in part. Larger: the order of values
/// counts less. Smaller: hosts admit all or none of one value together.
const BLUR: f64 = 0.25;
/// Fraction of late answers that heavy requests, pauses and flushes cause alone. Larger: an overload is believed
/// later. Smaller: usual work counts as overload.
const USUAL_LATE_FRACTION: f64 = 0.3;
/// Fraction of late answers from which on a late answer counts in full.
const CERTAIN_LATE_FRACTION: f64 = 0.5;
/// Smallest weight of a late answer. Larger: usual work counts as overload. Smaller: the first answers of an
/// overload do not count at all.
const MIN_CREDIBILITY: f64 = 0.05;
/// Weight of one answer among those of all nodes. Larger: chance moves the mean. Smaller: it follows slowly.
const LATE_WEIGHT_ALL: f64 = 0.02;
/// Weight of one answer among those of its node; large, as a node's answers may be few.
const LATE_WEIGHT_NODE: f64 = 0.4;
/// Least rise of the level a second without answers. Larger: an ejected node gets more trials. Smaller: its
/// recovery is seen later.
const MIN_RECOVERY: f64 = 0.04;
/// Largest rise of the level a second without answers. Larger: many requests fail at an ejected node.
const MAX_RECOVERY: f64 = 0.2;
/// Rise of the level a second, for each request a second that this host sends to the node.
const RECOVERY_BY_REQUEST: f64 = 0.2;
/// Level up to which a node has enough requests of its own, and gets no new object while another node is above
/// it. Larger: nodes that are hardly throttled get none. Smaller: throttled nodes get more work.
const NEW_OBJECT_LEVEL: f64 = 0.9;
/// Smallest mean size of a request, in units, that divides.
const MIN_MEAN_UNITS: f64 = 0.1;
/// Smallest value that counts in the scale of values; it keeps the scale finite.
const MIN_VALUE: f64 = 1e-6;
/// Smallest least value, as a fraction of the best. Smaller: most values share one end of the scale.
const MIN_VALUE_RATIO: f64 = 1e-3;

/// Weight of one late answer, by the fraction that is late at the node or at all nodes.
pub fn credibility(late_fraction: f64) -> f64 {
    let certain = CERTAIN_LATE_FRACTION - USUAL_LATE_FRACTION;
    ((late_fraction - USUAL_LATE_FRACTION) / certain).clamp(MIN_CREDIBILITY, 1.0)
}

/// Admission level of one node.
#[derive(Debug, Default)]
pub(crate) struct AdmissionLevel {
    /// Part of the scale of values that is admitted: 1 all, 0 almost nothing.
    level: f64,
    /// Time of the last answer that moved the level.
    changed_at: Duration,
    /// Fraction of the node's answers that were late, smoothed.
    late_fraction: f64,
}

impl AdmissionLevel {
    /// Admits everything: the node came up.
    pub(crate) fn reset(&mut self) {
        self.level = 1.0;
    }

    /// Sets the level to zero; returns whether it was above.
    pub(crate) fn eject(&mut self) -> bool {
        std::mem::take(&mut self.level) > 0.0
    }

    /// Lets the level rise over a control interval of so many seconds. `usage`: units a second from this host.
    pub(super) fn recover(&mut self, usage: f64, mean_units: f64, interval: f64) {
        let rate = RECOVERY_BY_REQUEST * usage / mean_units.max(MIN_MEAN_UNITS);
        self.level = (self.level + rate.clamp(MIN_RECOVERY, MAX_RECOVERY) * interval).min(1.0);
    }

    /// Returns whether the node may get new objects before others.
    pub(super) fn is_open(&self) -> bool {
        self.level > NEW_OBJECT_LEVEL
    }

    pub(super) fn level(&self) -> f64 {
        self.level
    }

    pub(super) fn late_fraction(&self) -> f64 {
        self.late_fraction
    }
}

/// Least and best value of a unit.
#[derive(Debug, Clone, Copy)]
struct ValueRange {
    /// Paid by no bucket, in the class of the least value.
    least: f64,
    /// Paid by a reservation, in the class of the best value.
    best: f64,
}

impl ValueRange {
    fn new(settings: &Settings) -> Self {
        let classes = settings.traffic_classes.iter();
        let plans = &settings.plans;
        let values =
            classes.flat_map(|class| plans.iter().map(|plan| class.priority_weight * plan.price));
        let best = values.clone().fold(MIN_VALUE, f64::max);
        let least = values.fold(best, f64::min) * settings.units.spare_fraction.clamp(0.01, 0.9);
        ValueRange {
            least: least.max(best * MIN_VALUE_RATIO),
            best,
        }
    }
}

/// Admission by value, at every node.
#[derive(Debug)]
pub(super) struct AdmissionThrottle {
    values: ValueRange,
    /// Fraction of all nodes' answers that were late, smoothed.
    late_fraction: f64,
}

impl AdmissionThrottle {
    pub(super) fn new(settings: &Settings) -> Self {
        AdmissionThrottle {
            values: ValueRange::new(settings),
            late_fraction: 0.0,
        }
    }

    /// Adapts the scale of values to plans that have changed.
    pub(super) fn set_values(&mut self, settings: &Settings) {
        self.values = ValueRange::new(settings);
    }

    /// Moves the level of a node after an answer of it. `late`: the answer was late, or a refusal.
    pub(super) fn record(&mut self, node: &mut AdmissionLevel, now: Duration, late: bool) {
        let elapsed = seconds(now.saturating_sub(node.changed_at));
        let weight = elapsed.clamp(MIN_WEIGHT, MAX_WEIGHT);
        let rate = match late {
            true => DECREASE * credibility(self.late_fraction.max(node.late_fraction)),
            false => INCREASE,
        };
        let counted = f64::from(u8::from(late));
        self.late_fraction += LATE_WEIGHT_ALL * (counted - self.late_fraction);
        node.late_fraction += LATE_WEIGHT_NODE * (counted - node.late_fraction);
        node.level = (node.level + rate * weight).clamp(0.0, 1.0);
        node.changed_at = now;
    }

    /// Returns whether the node's level admits a request of that value. The scale comes from the settings and is
    /// the same on all hosts. On a scale of the values that it receives itself, a host with nothing but a surge
    /// would rank the surge as high as another host ranks its reservations.
    pub(super) fn admits(&self, node: &AdmissionLevel, value: f64, tie_breaker: f64) -> bool {
        let ValueRange { least, best } = self.values;
        let rank = ((value / least).max(1.0).ln() / (best / least).ln()).min(1.0);
        rank + tie_breaker * BLUR >= (1.0 - node.level) * (1.0 + BLUR)
    }
}

/// Marks the node's outstanding attempts that are late by now; returns how many were not marked before.
pub(super) fn count_overdue(
    node: &Node,
    requests: &mut RequestTable,
    is_late: impl Fn(f64, Duration) -> bool,
) -> usize {
    let mut overdue = 0;
    for (id, sent) in node.attempts.iter() {
        let Some(pending) = requests
            .get_mut(*id)
            .filter(|pending| !pending.attempts.lateness_counted())
        else {
            continue;
        };
        if is_late(pending.request.units, *sent) {
            pending.attempts.count_lateness();
            overdue += 1;
        }
    }
    overdue
}
