//! Selects the part of a site that is included in the program. [`crate::moves`] builds a [`Scope`]
//! for one call.

use super::types::{has_extents_on, Size};
use crate::incremental_flow::IncrementalFlow;
use crate::planner::{Node, Site, Volume};
use std::collections::{BTreeMap, BTreeSet};

/// Maximum number of volumes in the program, in addition to those on nodes to be evacuated. With a
/// larger number, the program takes longer; with a smaller one, better proposals are missed.
const MAX_VOLUMES: usize = 300;
/// Maximum number of nodes to which extents may move on a large site. With a larger number, the
/// program takes longer; with a smaller one, there may be too little spare capacity.
const MAX_TARGETS: usize = 6;
/// Maximum number of nodes of a site that is included as a whole.
const MAX_COMPLETE_NODES: usize = 4 * MAX_TARGETS;
/// Lower bound of a reservation by which bytes are divided, units per second. It prevents a division
/// by zero; a larger value distorts the order of small volumes.
const MIN_RESERVATION: f64 = 1e-3;

/// The part of a site that is included in the program. See the module documentation.
pub(super) struct Scope<'a> {
    /// The volumes whose extents may move.
    pub volumes: Vec<&'a Volume>,
    /// Nodes to which extents may move, most spare capacity first.
    pub targets: Vec<u32>,
    /// Nodes to be evacuated: all their extents must move away.
    pub evacuated: &'a BTreeSet<u32>,
    /// The capacity that volumes outside the program do not use, by node.
    pub available: BTreeMap<u32, f64>,
    /// See [`Site`].
    pub spread: f64,
    /// Whether the complete site is included.
    pub is_complete: bool,
    /// The size of a volume, by its number.
    pub size: &'a dyn Fn(u64) -> Size,
}

impl<'a> Scope<'a> {
    /// Selects the part of `site` to include. `flow` is the flow of the site without the nodes in
    /// `evacuated`.
    pub fn of(
        site: &'a Site,
        flow: &IncrementalFlow,
        evacuated: &'a BTreeSet<u32>,
        size: &'a dyn Fn(u64) -> Size,
    ) -> Self {
        let is_complete =
            site.volumes.len() <= MAX_VOLUMES && site.nodes.len() <= MAX_COMPLETE_NODES;
        let serving: Vec<&Node> = site
            .nodes
            .iter()
            .filter(|node| !evacuated.contains(&node.id) && node.capacity > 0.0)
            .collect();
        let mut targets = by_spare_capacity(&serving, flow);
        if !is_complete {
            targets.truncate(MAX_TARGETS);
        }
        let volumes = if is_complete {
            site.volumes.iter().collect()
        } else {
            volumes_of_large_site(site, flow, evacuated, size)
        };
        let inside: BTreeSet<u64> = volumes.iter().map(|volume| volume.id).collect();
        let carried = flow.carried_except(&inside);
        let available = |node: &&Node| {
            let used = carried.get(&node.id).copied().unwrap_or(0.0);
            (node.id, (node.capacity - used).max(0.0))
        };
        Scope {
            volumes,
            targets,
            evacuated,
            available: serving.iter().map(available).collect(),
            spread: site.spread,
            is_complete,
            size,
        }
    }

    /// The size of a volume.
    pub fn size_of(&self, volume: &Volume) -> Size {
        (self.size)(volume.id)
    }
}

/// Numbers of the nodes, in decreasing order of spare capacity.
fn by_spare_capacity(nodes: &[&Node], flow: &IncrementalFlow) -> Vec<u32> {
    let mut nodes = nodes.to_vec();
    nodes.sort_by(|left, right| {
        let by_spare = flow.spare(right.id).total_cmp(&flow.spare(left.id));
        by_spare.then(left.id.cmp(&right.id))
    });
    nodes.iter().map(|node| node.id).collect()
}

/// All volumes on nodes to be evacuated, and of the volumes on bottleneck nodes those with the fewest
/// bytes to move for each unit per second of their reservation.
fn volumes_of_large_site<'a>(
    site: &'a Site,
    flow: &IncrementalFlow,
    evacuated: &BTreeSet<u32>,
    size: &dyn Fn(u64) -> Size,
) -> Vec<&'a Volume> {
    let must_leave = |volume: &&Volume| has_extents_on(volume, |node| evacuated.contains(&node));
    let is_bottleneck = |volume: &Volume| has_extents_on(volume, |node| flow.is_bottleneck(node));
    let cost =
        |volume: &Volume| size(volume.id).total_bytes() / volume.reservation.max(MIN_RESERVATION);
    let (mut volumes, mut others): (Vec<&Volume>, Vec<&Volume>) =
        site.volumes.iter().partition(must_leave);
    others.retain(|volume| is_bottleneck(volume) && volume.reservation > 0.0);
    others.sort_by(|left, right| {
        let by_cost = cost(left).total_cmp(&cost(right));
        by_cost.then(left.id.cmp(&right.id))
    });
    volumes.extend(others.into_iter().take(MAX_VOLUMES));
    volumes
}
