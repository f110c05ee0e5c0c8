//! Fair shares: division of each node's estimated capacity among its flows by demand, reservation and weight
//! ("End-to-end Performance Isolation through Virtual Datacenters", section 4.1).
//!
//! Called by [`super::Scheduler`] once per control interval. A [`Flow`] owns the demand and the share of one
//! volume at one node; each node has a [`Flows`]. Memory: one flow for each volume that used the node within
//! the last intervals.

use super::demand::DemandEstimator;
use crate::api::{Plan, VolumeId};
use crate::max_min_fair_share::{allocate, FlowDemand};
use crate::state::{Node, VolumeTable};
use crate::token_bucket::TokenBucket;
use std::collections::BTreeMap;

/// Lower bound of a demand when it is used as a divisor.
const MIN_DIVISOR: f64 = 1e-9;

/// One volume's requests at one node. Amounts are in units, rates in units per second.
#[derive(Debug, Default)]
pub(crate) struct Flow {
    demand: DemandEstimator,
    /// Token bucket of the fair share beyond the reservation; `None` if no share was allocated yet.
    share: Option<TokenBucket>,
}

impl Flow {
    /// Sets the rate of the share; the bucket of a new share starts full.
    fn set_share(&mut self, rate: f64) {
        self.share
            .get_or_insert_with(|| TokenBucket::new(rate, rate, rate))
            .reconfigure(rate, rate);
    }
}

/// The flows of one node.
#[derive(Debug, Default)]
pub(crate) struct Flows {
    flows: BTreeMap<VolumeId, Flow>,
    /// Sum of the rates that this host's flows have reserved at the node.
    reserved_rate: f64,
}

impl Flows {
    pub(crate) fn enqueued(&mut self, volume: VolumeId, units: f64) {
        let flow = self.flows.entry(volume).or_default();
        flow.demand.enqueued(units);
    }

    pub(crate) fn dequeued(&mut self, volume: VolumeId, units: f64) {
        let flow = self.flows.entry(volume).or_default();
        flow.demand.dequeued(units);
    }

    pub(crate) fn sent(&mut self, volume: VolumeId, units: f64) {
        let flow = self.flows.entry(volume).or_default();
        flow.demand.sent(units);
    }

    pub(crate) fn ended(&mut self, volume: VolumeId, units: f64) {
        let flow = self.flows.entry(volume).or_default();
        flow.demand.ended(units);
    }

    /// Draws units from the volume's share, if it has one.
    pub(crate) fn take_share(&mut self, volume: VolumeId, units: f64) {
        let flow = self.flows.get_mut(&volume);
        if let Some(share) = flow.and_then(|flow| flow.share.as_mut()) {
            share.take(units);
        }
    }

    /// Returns the level of the volume's share, or `None` if no share was allocated yet.
    pub(crate) fn share_level(&self, volume: VolumeId) -> Option<f64> {
        let share = self.flows.get(&volume)?.share.as_ref()?;
        Some(share.level())
    }

    /// Adds the tokens and samples of `ticks` ticks, which last `seconds` in total.
    pub(crate) fn advance(&mut self, ticks: f64, seconds: f64) {
        for flow in self.flows.values_mut() {
            if let Some(share) = &mut flow.share {
                share.refill(seconds);
            }
            flow.demand.advance(ticks);
        }
    }

    pub(super) fn reserved_rate(&self) -> f64 {
        self.reserved_rate
    }

    pub(crate) fn remove(&mut self, volume: VolumeId) {
        self.flows.remove(&volume);
    }
}

/// Demand of each volume, summed over all nodes, in units per second.
pub(super) type VolumeDemands = BTreeMap<VolumeId, f64>;

/// Ends a control interval of `ticks` ticks, which lasted `interval` seconds: measures the demands of all
/// flows and removes idle flows.
pub(super) fn measure_demands<'a>(
    nodes: impl Iterator<Item = &'a mut Node>,
    ticks: f64,
    interval: f64,
) -> VolumeDemands {
    let mut demands = VolumeDemands::new();
    for node in nodes {
        let flows = &mut node.flows.flows;
        for (volume, flow) in flows.iter_mut() {
            *demands.entry(*volume).or_default() += flow.demand.end_interval(ticks, interval);
        }
        flows.retain(|_, flow| !flow.demand.is_idle());
    }
    demands
}

/// Divides each node's estimated capacity among its flows, by their demands and by their volumes'
/// reservations and weights.
pub(super) fn allocate_shares<'a>(
    nodes: impl Iterator<Item = &'a mut Node>,
    volumes: &VolumeTable,
    plans: &[Plan],
    demands: &VolumeDemands,
) {
    let flow_demand = |(id, flow): (&VolumeId, &Flow)| {
        let volume = &volumes[*id];
        let total_demand = demands.get(id).copied().unwrap_or(0.0).max(MIN_DIVISOR);
        let demand = flow.demand.demand();
        FlowDemand {
            demand,
            reservation: volume.reservation.rate() * demand / total_demand,
            weight: plans[volume.plan.0].weight,
        }
    };
    for node in nodes {
        let flows = &mut node.flows;
        let flow_demands: Vec<FlowDemand> = flows.flows.iter().map(flow_demand).collect();
        flows.reserved_rate = flow_demands.iter().map(|flow| flow.reservation).sum();
        let allocations = allocate(node.capacity.estimate(), &flow_demands);
        for (flow, allocation) in flows.flows.values_mut().zip(allocations) {
            flow.set_share(allocation.spare);
        }
    }
}
