//! The part of a site that goes into the program.

use super::types::Size;
use crate::incremental_flow::IncrementalFlow;
use crate::planner::{Node, Site, Volume};
use std::collections::{BTreeMap, BTreeSet};

/// Most volumes that go into the program, in addition to those on nodes to be emptied.
const MAX_VOLUMES: usize = 300;
/// Most nodes that extents may move to, on a large site.
const MAX_TARGETS: usize = 6;
/// Most nodes of a site that goes into the program completely.
const MAX_COMPLETE_NODES: usize = 4 * MAX_TARGETS;
/// A reservation is taken for at least this where bytes are divided by it, units a second.
const MIN_RESERVATION: f64 = 1e-3;

/// What goes into the program.
pub(super) struct Scope<'a> {
    pub volumes: Vec<&'a Volume>,
    /// Nodes that extents may move to.
    pub targets: Vec<u32>,
    /// Nodes to be emptied.
    pub empty: &'a BTreeSet<u32>,
    /// By node: capacity without what the volumes left out use there.
    pub available: BTreeMap<u32, f64>,
    /// See [`Site`].
    pub spread: f64,
    /// Whether the whole site goes in.
    pub is_complete: bool,
    pub size: &'a dyn Fn(u64) -> Size,
}

impl<'a> Scope<'a> {
    pub fn of(
        site: &'a Site,
        flow: &IncrementalFlow,
        empty: &'a BTreeSet<u32>,
        size: &'a dyn Fn(u64) -> Size,
    ) -> Self {
        let is_complete =
            site.volumes.len() <= MAX_VOLUMES && site.nodes.len() <= MAX_COMPLETE_NODES;
        let serving: Vec<&Node> = site
            .nodes
            .iter()
            .filter(|node| !empty.contains(&node.id) && node.capacity > 0.0)
            .collect();
        let mut targets = serving.clone();
        targets.sort_by(|left, right| {
            let by_spare = flow.spare(right.id).total_cmp(&flow.spare(left.id));
            by_spare.then(left.id.cmp(&right.id))
        });
        if !is_complete {
            targets.truncate(MAX_TARGETS);
        }
        let volumes = if is_complete {
            site.volumes.iter().collect()
        } else {
            volumes_of_large_site(site, flow, empty, size)
        };
        let inside: BTreeSet<u64> = volumes.iter().map(|volume| volume.id).collect();
        let carried = flow.carried_except(&inside);
        let available = |node: &&Node| {
            let used = carried.get(&node.id).copied().unwrap_or(0.0);
            (node.id, (node.capacity - used).max(0.0))
        };
        Scope {
            volumes,
            targets: targets.iter().map(|node| node.id).collect(),
            empty,
            available: serving.iter().map(available).collect(),
            spread: site.spread,
            is_complete,
            size,
        }
    }

    pub fn size_of(&self, volume: &Volume) -> Size {
        (self.size)(volume.id)
    }
}

/// All volumes on nodes to be emptied, and of those with a home from which nothing leads to spare
/// capacity the ones that cost the fewest bytes for a unit a second.
fn volumes_of_large_site<'a>(
    site: &'a Site,
    flow: &IncrementalFlow,
    empty: &BTreeSet<u32>,
    size: &dyn Fn(u64) -> Size,
) -> Vec<&'a Volume> {
    let must_leave = |volume: &&Volume| volume.placement.iter().any(|home| empty.contains(&home.0));
    let is_tight = |volume: &Volume| volume.placement.iter().any(|home| flow.is_tight(home.0));
    let cost =
        |volume: &Volume| size(volume.id).total_bytes() / volume.reservation.max(MIN_RESERVATION);
    let (mut volumes, mut others): (Vec<&Volume>, Vec<&Volume>) =
        site.volumes.iter().partition(must_leave);
    others.retain(|volume| is_tight(volume) && volume.reservation > 0.0);
    others.sort_by(|left, right| {
        let by_cost = cost(left).total_cmp(&cost(right));
        by_cost.then(left.id.cmp(&right.id))
    });
    volumes.extend(others.into_iter().take(MAX_VOLUMES));
    volumes
}
