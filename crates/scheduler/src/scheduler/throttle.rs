//! Admission throttle: when a node answers late although this host had only one attempt outstanding there,
//! fewer requests are sent to it, and those of the lowest value are held back first (SRE book, chapter 21).
//!
//! The throttle protects nodes that are slow because of other hosts' load, which this host's own concurrency
//! limit cannot reduce. Its cost is that a single late node among idle ones is throttled a few answers later
//! than it could be.
//!
//! Called by [`super::Scheduler`]. [`AdmissionThrottle`] owns the range of request values and the fraction of
//! late answers over all nodes; each node has an [`AdmissionLevel`].

use super::settings::Settings;
use crate::rates::seconds;
use crate::state::{Node, RequestTable};
use std::time::Duration;

/// Change of the admission level per second of time that a late answer stands for. It is a rate over time, so a
/// host that gets many answers from a node lowers the level no faster than one that gets few. With a steeper
/// decrease, chance alone lowers the level; with a gentler one, an overload lasts longer.
const DECREASE_PER_SECOND: f64 = -0.4;
/// Change of the admission level per second of time that a timely answer stands for. A larger value makes the
/// level oscillate; a smaller one rejects requests for longer after an overload.
const INCREASE_PER_SECOND: f64 = 0.8;
/// Shortest time that one answer stands for, in seconds. With a larger value a burst of answers moves the level
/// too far.
const MIN_ANSWER_SECONDS: f64 = 0.025;
/// Longest time that one answer stands for, in seconds. With a larger value a single answer after a pause sets
/// the level alone; with a smaller one, a host that seldom uses the node does not react.
const MAX_ANSWER_SECONDS: f64 = 3.0;
/// Width of the range of levels over which only some requests of the same value are admitted, as a fraction of
/// the value scale. A larger value weakens the order by value; with a smaller one, all hosts admit or block all
/// requests of one value at the same moment.
const PARTIAL_ADMISSION_RANGE: f64 = 0.25;
/// Fraction of late answers that heavy requests, pauses and flushes cause without any overload. With a larger
/// value an overload is recognised later; with a smaller one, normal work counts as overload.
const BASELINE_LATE_FRACTION: f64 = 0.3;
/// Fraction of late answers from which on each late answer has its full weight.
const OVERLOAD_LATE_FRACTION: f64 = 0.5;
/// Smallest weight of a late answer. With a larger value normal work counts as overload; with a smaller one,
/// the first late answers of an overload have no effect.
const MIN_LATE_ANSWER_WEIGHT: f64 = 0.05;
/// Weight of one answer in the moving average over all nodes. With a larger value chance moves the average;
/// with a smaller one, it follows changes slowly.
const SMOOTHING_ALL_NODES: f64 = 0.02;
/// Weight of one answer in the moving average of its node; large, because a node may give only few answers.
const SMOOTHING_ONE_NODE: f64 = 0.4;
/// Smallest rise of the level per second without answers. With a larger value an ejected node gets more trial
/// requests; with a smaller one, its recovery is noticed later.
const MIN_RECOVERY_PER_SECOND: f64 = 0.04;
/// Largest rise of the level per second without answers. With a larger value many requests fail at an ejected
/// node.
const MAX_RECOVERY_PER_SECOND: f64 = 0.2;
/// Rise of the level per second for each request per second that this host sends to the node.
const RECOVERY_PER_REQUEST: f64 = 0.2;
/// Level above which a node is preferred for new objects. A node at or below it is busy enough with the
/// requests for its own data. With a larger value even slightly throttled nodes get no new objects; with a
/// smaller one, throttled nodes get more work.
const NEW_OBJECT_LEVEL: f64 = 0.9;
/// Lower bound of the mean request size in units when it is used as a divisor.
const MIN_MEAN_UNITS: f64 = 0.1;
/// Lower bound of the highest value of a unit; it keeps the value scale finite.
const MIN_VALUE: f64 = 1e-6;
/// Lower bound of the lowest value, as a fraction of the highest. With a smaller bound most values would lie
/// close together at one end of the scale.
const MIN_VALUE_RATIO: f64 = 1e-3;

/// Returns the weight of one late answer, given the fraction of answers that are late at the node or at all
/// nodes.
pub fn late_answer_weight(late_fraction: f64) -> f64 {
    let width = OVERLOAD_LATE_FRACTION - BASELINE_LATE_FRACTION;
    ((late_fraction - BASELINE_LATE_FRACTION) / width).clamp(MIN_LATE_ANSWER_WEIGHT, 1.0)
}

/// Admission level of one node.
#[derive(Debug, Default)]
pub(crate) struct AdmissionLevel {
    /// Fraction of the value scale that is admitted: 1 admits all requests, 0 almost none.
    level: f64,
    /// Time of the last answer that moved the level.
    changed_at: Duration,
    /// Fraction of the node's answers that were late, as a moving average.
    late_fraction: f64,
}

impl AdmissionLevel {
    /// Admits everything, because the node has just become ready.
    pub(crate) fn reset(&mut self) {
        self.level = 1.0;
    }

    /// Sets the level to zero; returns whether it was above zero.
    pub(crate) fn eject(&mut self) -> bool {
        std::mem::take(&mut self.level) > 0.0
    }

    /// Raises the level at the end of a control interval of `interval` seconds. `usage`: rate that this host
    /// uses at the node, in units per second.
    pub(super) fn recover(&mut self, usage: f64, mean_units: f64, interval: f64) {
        let rate = RECOVERY_PER_REQUEST * usage / mean_units.max(MIN_MEAN_UNITS);
        self.level = (self.level
            + rate.clamp(MIN_RECOVERY_PER_SECOND, MAX_RECOVERY_PER_SECOND) * interval)
            .min(1.0);
    }

    /// Returns whether the node is preferred for new objects.
    pub(super) fn is_preferred(&self) -> bool {
        self.level > NEW_OBJECT_LEVEL
    }

    pub(super) fn level(&self) -> f64 {
        self.level
    }

    pub(super) fn late_fraction(&self) -> f64 {
        self.late_fraction
    }
}

/// Lowest and highest value that a unit can have under the settings.
#[derive(Debug, Clone, Copy)]
struct ValueRange {
    /// Value of a unit that no token bucket covers, in the class and plan of the lowest value.
    lowest: f64,
    /// Value of a unit that a reservation covers, in the class and plan of the highest value.
    highest: f64,
}

impl ValueRange {
    fn new(settings: &Settings) -> Self {
        let classes = settings.traffic_classes.iter();
        let plans = &settings.plans;
        let values =
            classes.flat_map(|class| plans.iter().map(|plan| class.priority_weight * plan.price));
        let highest = values.clone().fold(MIN_VALUE, f64::max);
        let lowest =
            values.fold(highest, f64::min) * settings.units.spare_fraction.clamp(0.01, 0.9);
        ValueRange {
            lowest: lowest.max(highest * MIN_VALUE_RATIO),
            highest,
        }
    }
}

/// Admission control by request value, for all nodes.
#[derive(Debug)]
pub(super) struct AdmissionThrottle {
    values: ValueRange,
    /// Fraction of all nodes' answers that were late, as a moving average.
    late_fraction: f64,
}

impl AdmissionThrottle {
    pub(super) fn new(settings: &Settings) -> Self {
        AdmissionThrottle {
            values: ValueRange::new(settings),
            late_fraction: 0.0,
        }
    }

    /// Recomputes the value range after a change of the plans.
    pub(super) fn set_values(&mut self, settings: &Settings) {
        self.values = ValueRange::new(settings);
    }

    /// Adjusts a node's level after one of its answers. `late`: the answer was late, or the node refused the
    /// attempt.
    pub(super) fn record(&mut self, node: &mut AdmissionLevel, now: Duration, late: bool) {
        let elapsed = seconds(now.saturating_sub(node.changed_at));
        let weight = elapsed.clamp(MIN_ANSWER_SECONDS, MAX_ANSWER_SECONDS);
        let rate = match late {
            true => {
                DECREASE_PER_SECOND * late_answer_weight(self.late_fraction.max(node.late_fraction))
            }
            false => INCREASE_PER_SECOND,
        };
        let counted = f64::from(u8::from(late));
        self.late_fraction += SMOOTHING_ALL_NODES * (counted - self.late_fraction);
        node.late_fraction += SMOOTHING_ONE_NODE * (counted - node.late_fraction);
        node.level = (node.level + rate * weight).clamp(0.0, 1.0);
        node.changed_at = now;
    }

    /// Returns whether the node's level admits a request of the given value.
    ///
    /// The value scale is derived from the settings, so it is the same on all hosts. If each host built the
    /// scale from the requests that it receives, a host that receives only a surge of low-value requests
    /// would rank them as high as another host ranks its reservations.
    pub(super) fn admits(&self, node: &AdmissionLevel, value: f64, tie_breaker: f64) -> bool {
        let ValueRange { lowest, highest } = self.values;
        let rank = ((value / lowest).max(1.0).ln() / (highest / lowest).ln()).min(1.0);
        rank + tie_breaker * PARTIAL_ADMISSION_RANGE
            >= (1.0 - node.level) * (1.0 + PARTIAL_ADMISSION_RANGE)
    }
}

/// Marks the node's outstanding attempts that are already late, and returns how many it has newly marked.
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
