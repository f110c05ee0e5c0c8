//! What the control interval learns and sets: demands, this host's part of reservations, probing windows
//! ("End-to-end Performance Isolation through Virtual Datacenters", section 4).

use super::Scheduler;
use crate::rates::moving_average;
use crate::state::{FlowSample, Node, ReportedUsage};
use crate::{api::VolumeId, reading::Reading};
use std::{collections::BTreeMap, time::Duration};

pub(super) const TICK: Duration = Duration::from_millis(10); // between two refills, as in the design
pub(super) const INTERVAL: Duration = Duration::from_millis(500); // long enough for a few answers a node
const SMOOTHING: f64 = 0.3; // weight of an interval; a surge counts within three
pub(super) const MIN_DEMAND: f64 = 0.01; // units a second; less, with nothing queued or out, is no flow
const REPORT_TOLERANCE: f64 = 1.25; // by which more may have been done here than is reported of everywhere
const MIX_RETENTION: f64 = 0.9; // of the traffic mix, over an interval
const USAGE_SPAN: f64 = 30.0; // seconds; a host that sends seldom needs long to know how much

/// Units that a flow could use in the next interval (paper, equation 6), before smoothing.
pub fn demand(flow: &FlowSample) -> f64 {
    let scaled = if flow.outstanding > 0.0 {
        flow.queued * flow.used / flow.outstanding
    } else {
        0.0
    };
    flow.used + flow.backlog.max(scaled)
}

/// A flow's demand after one more sample, over an interval of so many seconds.
pub(super) fn smoothed_demand(mean: f64, sample: &FlowSample, interval: f64) -> f64 {
    moving_average(mean, demand(sample) / interval, SMOOTHING)
}

/// A host's fraction of a volume's reservation. Late reports can say that less was done everywhere than we
/// know to have been done here; a split built on that would starve one host, so it falls to even.
pub fn reservation_fraction(
    own_demand: f64,
    own_rate: f64,
    reported: Option<f64>,
    hosts: usize,
) -> f64 {
    let even = 1.0 / hosts.max(1) as f64;
    let Some(everywhere) = reported.filter(|all| own_rate <= all * REPORT_TOLERANCE + 1e-9) else {
        return even;
    };
    let others = (everywhere - own_rate).max(0.0);
    if own_demand + others <= 0.0 {
        return even;
    }
    (own_demand / (own_demand + others)).max(even / 2.0)
}

impl Scheduler {
    pub(super) fn split_reservations(&mut self, demands: &BTreeMap<VolumeId, f64>, interval: f64) {
        for (id, volume) in &mut self.state.volumes {
            let done_rate = std::mem::take(&mut volume.done) / interval;
            volume.done_rate = moving_average(volume.done_rate, done_rate, SMOOTHING);
            // A report that no later one has replaced says nothing of now.
            let fresh =
                |usage: &ReportedUsage| self.state.now < usage.at + self.units.meter * 3 + INTERVAL;
            let reported = volume.reported.filter(fresh).map(|usage| usage.rate);
            let own_demand = demands.get(id).copied().unwrap_or(0.0);
            let fraction =
                reservation_fraction(own_demand, volume.done_rate, reported, volume.hosts);
            let rate = self.plans[volume.plan.0].reservation * fraction;
            volume.reservation.reconfigure(rate, rate);
        }
    }
}

/// What the last interval says of the rate that this host can get from a node.
pub(super) fn learn_capacity(node: &mut Node, interval: f64) {
    let stats = std::mem::take(&mut node.stats);
    let done_rate = stats.completed_units / interval;
    // A cold node's rate says nothing of what it will do, and its quota is reckoned from before.
    let warm = !node.warm_up.is_active();
    let counted = f64::from(u8::from(warm));
    node.usage.add(
        stats.completed_units * counted,
        interval * counted,
        USAGE_SPAN,
    );
    if warm && (stats.had_queue || done_rate > node.learned_rate) {
        node.learned_rate = moving_average(node.learned_rate, done_rate, SMOOTHING);
    }
    let mostly_late = stats.late * 2.0 > stats.completed.max(1.0);
    node.window.observe(&Reading {
        congested: stats.had_queue && (stats.queue_full > 0.0 || mostly_late),
        below_reservation: stats.below_reservation,
        outstanding: node.outstanding,
        mix: node.mix_fractions(),
    });
    node.fade(MIX_RETENTION);
    node.tokens
        .reconfigure(node.window.estimate, node.window.estimate);
}
