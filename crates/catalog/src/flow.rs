//! A maximum flow from groups of volumes to the nodes with their extents, which is updated in place
//! when amounts and capacities change.
//!
//! [`crate::planner`] calls it volume by volume, and [`crate::incremental_flow`] as a site changes.
//! [`Flow::raise_max_loads`] raises the maximum load of a group on each of its nodes. [`Flow::fill`] carries
//! as much of an amount as possible along the shortest augmenting paths (Ford and Fulkerson, with
//! breadth-first search as in Edmonds and Karp). A solver would have to start from scratch each
//! time; this flow continues from the current loads. Changes after [`Flow::begin_trial`] are
//! recorded, and [`Flow::undo_trial`] reverts them. This module performs no I/O.
//!
//! `Network` owns the loads and capacities; `PathSearch` owns the results of searches. Amounts are in
//! thousandths of units per second. Memory use is a few words for each node of each group.

mod network;
mod path_search;

pub use network::Group;

use network::{Edge, Network};
use path_search::{Path, PathSearch};

/// The flow. See the module documentation.
#[derive(Debug, Clone, Default)]
pub struct Flow {
    network: Network,
    search: PathSearch,
}

impl Flow {
    /// Creates a flow over nodes of these capacities, without groups.
    pub fn new(capacity: &[u64]) -> Self {
        Flow {
            network: Network::new(capacity),
            search: PathSearch::new(capacity.len()),
        }
    }

    /// Unused capacity of a node.
    pub fn spare(&self, node: usize) -> u64 {
        self.network.spare(node)
    }

    /// A group, by its number.
    pub fn group(&self, group: usize) -> &Group {
        self.network.group(group)
    }

    /// Number of the group of volumes on these nodes. The group is added if it does not exist.
    pub fn group_of(&mut self, nodes: &[usize]) -> usize {
        self.network.group_of(nodes)
    }

    /// Groups with an edge to a node.
    pub fn groups_at(&self, node: usize) -> impl Iterator<Item = usize> + '_ {
        self.network.edges_to(node).iter().map(|edge| edge.group)
    }

    /// Returns whether a search has found that no path leads from a node to spare capacity.
    pub fn is_saturated(&self, node: usize) -> bool {
        self.search.is_saturated(node)
    }

    /// Sets the maximum load of a group on each of its nodes, and removes the load beyond it. Returns
    /// the removed amount.
    pub fn set_max_loads(&mut self, group: usize, max_loads: &[u64]) -> u64 {
        let mut dropped = 0;
        for (index, max_load) in max_loads.iter().enumerate() {
            let edge = Edge { group, index };
            let former = self.network.max_load(edge);
            if *max_load == former {
                continue;
            }
            self.network.set_max_load(edge, *max_load);
            let excess = self.network.load(edge).saturating_sub(*max_load);
            dropped += excess;
            self.drop_load(edge, excess);
            if *max_load > former {
                self.update_saturated(edge);
            }
        }
        dropped
    }

    /// Clears saturation after the maximum load on an edge was raised, if a saturated node carries load
    /// of this group that can now move along the edge.
    fn update_saturated(&mut self, edge: Edge) {
        if self.search.is_saturated(self.network.node(edge)) {
            return;
        }
        let group = self.network.group(edge.group);
        let mut loads = group.nodes.iter().zip(&group.loads);
        if loads.any(|(node, load)| *load > 0 && self.search.is_saturated(*node)) {
            self.search.clear_saturated();
        }
    }

    /// Raises the maximum load of a group on each of its nodes by the amounts in `more`.
    pub fn raise_max_loads(&mut self, group: usize, more: impl Iterator<Item = u64>) {
        let former = &self.network.group(group).max_loads;
        let raised: Vec<u64> = former
            .iter()
            .zip(more)
            .map(|(former, more)| former + more)
            .collect();
        self.set_max_loads(group, &raised);
    }

    /// Removes an amount of a group's load, from any of its nodes.
    pub fn shed_load(&mut self, group: usize, mut amount: u64) {
        for index in 0..self.network.group(group).loads.len() {
            let edge = Edge { group, index };
            let here = amount.min(self.network.load(edge));
            self.drop_load(edge, here);
            amount -= here;
        }
    }

    /// Changes a node's capacity, and removes the load beyond it. Returns the removed amount of each
    /// group.
    pub fn set_capacity(&mut self, node: usize, former: u64, capacity: u64) -> Vec<(usize, u64)> {
        let used = former - self.network.spare(node);
        if used <= capacity {
            self.set_spare(node, capacity - used);
            return Vec::new();
        }
        let mut excess = used - capacity;
        let mut dropped = Vec::new();
        for edge in self.network.edges_to(node).to_vec() {
            let load = self.network.load(edge);
            let here = excess.min(load);
            if here > 0 {
                self.network.set_load(edge, load - here);
                dropped.push((edge.group, here));
                excess -= here;
            }
        }
        self.set_spare(node, 0);
        dropped
    }

    /// Carries as much of an amount of a group as possible, and returns the amount that is left.
    pub fn fill(&mut self, group: usize, amount: u64) -> u64 {
        let mut left = amount;
        while left > 0 {
            let Some(path) = self.search.find(&self.network, group) else {
                break;
            };
            left -= self.augment(group, &path, left);
        }
        left
    }

    /// Carries the amount that the bottleneck of a path allows, at most `wanted`, and returns it.
    fn augment(&mut self, group: usize, path: &Path, wanted: u64) -> u64 {
        let network = &self.network;
        let nodes = &network.group(group).nodes;
        let index = nodes
            .iter()
            .position(|node| *node == path.first)
            .expect("the path begins at a node of its group");
        let own_edge = Edge { group, index };
        let end = path
            .steps
            .first()
            .map_or(path.first, |step| network.node(step.to));
        let mut amount = wanted
            .min(network.spare(end))
            .min(network.max_load(own_edge) - network.load(own_edge));
        for step in &path.steps {
            amount = amount
                .min(network.load(step.from))
                .min(network.max_load(step.to) - network.load(step.to));
        }
        self.add_load(own_edge, amount);
        for step in &path.steps {
            let remaining = self.network.load(step.from) - amount;
            self.network.set_load(step.from, remaining);
            self.add_load(step.to, amount);
        }
        self.set_spare(end, self.network.spare(end) - amount);
        amount
    }

    /// Starts a trial: from now on, all changes are recorded.
    pub fn begin_trial(&mut self) {
        self.network.begin_trial();
    }

    /// Reverts all changes since the trial began.
    pub fn undo_trial(&mut self) {
        self.network.undo_trial();
        self.search.clear_saturated();
    }

    fn add_load(&mut self, edge: Edge, amount: u64) {
        self.network
            .set_load(edge, self.network.load(edge) + amount);
    }

    fn set_spare(&mut self, node: usize, spare: u64) {
        if spare > self.network.spare(node) {
            self.search.clear_saturated();
        }
        self.network.set_spare(node, spare);
    }

    fn drop_load(&mut self, edge: Edge, amount: u64) {
        if amount == 0 {
            return;
        }
        let node = self.network.node(edge);
        self.network
            .set_load(edge, self.network.load(edge) - amount);
        self.set_spare(node, self.network.spare(node) + amount);
    }
}
