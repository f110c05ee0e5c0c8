//! The flow of a site, updated in place when nodes and volumes change.
//!
//! [`crate::admission`] and [`crate::moves`] build it from a site and change it
//! ([`IncrementalFlow::set_node`], [`IncrementalFlow::set_volume`]). [`IncrementalFlow::shortfall`]
//! returns the reservations that cannot be carried, and [`IncrementalFlow::without`] those that
//! could not be carried if nodes were out. The cost of both depends on the volumes on these nodes,
//! not on the complete site. The results equal those of [`crate::planner::check`], which computes
//! everything from scratch; only that function determines which volumes' reservations are not met.
//! This module performs no I/O.
//!
//! `NodeTable` owns the nodes, `GroupTable` the demand of each group, and [`Flow`] the loads. Memory
//! use is an entry for each volume, and for each node of its group in the flow.

mod demand;
mod groups;
mod nodes;

use crate::flow::Flow;
use crate::planner::{to_parts, Node, Site, Volume, PARTS_PER_UNIT};
use demand::Demand;
use groups::GroupTable;
use nodes::NodeTable;
use std::collections::{BTreeMap, BTreeSet};

/// Reservations that cannot be carried, units per second.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Shortfall {
    /// The unmet amount for extents on nodes that are up.
    pub short: f64,
    /// The amount for extents on nodes that are out.
    pub out_of_reach: f64,
}

impl Shortfall {
    /// Returns whether this shortfall exceeds another by more than `slack`, the tolerance for
    /// rounding.
    pub fn exceeds(&self, other: &Shortfall, slack: f64) -> bool {
        self.short > other.short + slack || self.out_of_reach > other.out_of_reach + slack
    }
}

#[derive(Debug, Clone)]
struct PlacedVolume {
    volume: Volume,
    group: usize,
    demand: Demand,
}

/// The flow of a site. See the module documentation.
#[derive(Debug, Clone, Default)]
pub struct IncrementalFlow {
    spread: f64,
    flow: Flow,
    nodes: NodeTable,
    volumes: BTreeMap<u64, PlacedVolume>,
    groups: GroupTable,
    /// Sum of the reservations of all volumes in parts, including extents out of reach.
    reservations: u64,
}

impl IncrementalFlow {
    /// Creates the flow of a site with all nodes up.
    ///
    /// ```
    /// use grebecleat_catalog::planner::{Node, Site, Volume};
    /// use grebecleat_catalog::incremental_flow::IncrementalFlow;
    /// let node = |id| Node { id, zone: 1, capacity: 100.0 };
    /// let placement = || vec![(1, 0.5), (2, 0.5)];
    /// let volume = |id, reservation| {
    ///     Volume { id, reservation, weight: 1.0, placement: placement() }
    /// };
    /// let site = Site {
    ///     nodes: vec![node(1), node(2)],
    ///     volumes: vec![volume(7, 150.0)],
    ///     spread: 2.0,
    /// };
    /// let mut flow = IncrementalFlow::of(&site);
    /// assert_eq!(flow.shortfall().short, 0.0);
    /// assert_eq!(flow.without(&[2].into()).out_of_reach, 75.0);
    /// flow.set_volume(8, Some(volume(8, 60.0)));
    /// assert_eq!(flow.shortfall().short, 10.0);
    /// ```
    pub fn of(site: &Site) -> IncrementalFlow {
        let mut flow = IncrementalFlow::new(site.spread, site.nodes.clone());
        let volumes = site.volumes.iter();
        flow.set_volumes(volumes.map(|volume| (volume.id, Some(volume.clone()))));
        flow
    }

    fn new(spread: f64, nodes: Vec<Node>) -> IncrementalFlow {
        let capacity: Vec<u64> = nodes.iter().map(|node| to_parts(node.capacity)).collect();
        IncrementalFlow {
            spread,
            flow: Flow::new(&capacity),
            nodes: NodeTable::new(nodes),
            ..IncrementalFlow::default()
        }
    }

    /// The largest error from rounding, in units per second: a thousandth for each volume.
    pub fn slack(&self) -> f64 {
        self.volumes.len() as f64 / PARTS_PER_UNIT
    }

    /// All nodes.
    pub fn nodes(&self) -> impl Iterator<Item = &Node> {
        self.nodes.iter()
    }

    /// The factor by which a volume's load may be concentrated on one of its nodes: see [`Site`].
    pub fn spread(&self) -> f64 {
        self.spread
    }

    /// The reservations that cannot be carried.
    pub fn shortfall(&self) -> Shortfall {
        let total = self.groups.total_demand();
        let out_of_reach = self.reservations.saturating_sub(total) as f64 / PARTS_PER_UNIT;
        Shortfall {
            short: self.groups.total_unmet() as f64 / PARTS_PER_UNIT,
            out_of_reach: if out_of_reach < self.slack() {
                0.0
            } else {
                out_of_reach
            },
        }
    }

    /// The reservations that could not be carried if these nodes were out as well.
    pub fn without(&mut self, out: &BTreeSet<u32>) -> Shortfall {
        let indexes: Vec<usize> = out
            .iter()
            .filter_map(|id| self.nodes.index(*id))
            .filter(|index| self.nodes.is_up(*index))
            .collect();
        let groups: BTreeSet<usize> = indexes
            .iter()
            .flat_map(|index| self.flow.groups_at(*index))
            .collect();
        let saved = self.groups.save(&groups);
        self.flow.begin_trial();
        for index in &indexes {
            self.set_node_up(*index, false);
        }
        for group in &groups {
            let demand = self.demand_of_group(*group);
            self.set_group_demand(*group, &demand);
        }
        for group in groups {
            self.trim(group);
        }
        self.refill();
        let shortfall = self.shortfall();
        self.flow.undo_trial();
        for index in indexes {
            self.nodes.set_up(index, true);
        }
        self.groups.restore(saved);
        shortfall
    }

    /// Sets whether a node is up.
    pub fn set_up(&mut self, id: u32, up: bool) {
        let Some(index) = self.nodes.index(id) else {
            return;
        };
        if self.nodes.is_up(index) != up {
            self.set_node_up(index, up);
            self.recompute_demand(index);
        }
    }

    /// Adds a node, or changes its zone or capacity. Nodes are never removed; a node with capacity 0
    /// carries nothing.
    pub fn set_node(&mut self, node: Node) {
        let Some(index) = self.nodes.index(node.id) else {
            return self.add_node(node);
        };
        let former = self.nodes.capacity(index);
        self.nodes.replace(index, node);
        if !self.nodes.is_up(index) {
            return;
        }
        let capacity = self.nodes.capacity(index);
        for (group, _) in self.flow.set_capacity(index, former, capacity) {
            self.trim(group);
        }
        self.refill();
    }

    /// Rebuilds the flow with a new node, because its tables have a fixed number of nodes. This is
    /// slow but rarely needed.
    fn add_node(&mut self, node: Node) {
        let down = self.nodes.down();
        let mut nodes: Vec<Node> = self.nodes().cloned().collect();
        nodes.push(node);
        let volumes = self.volumes.values().map(|placed| placed.volume.clone());
        *self = IncrementalFlow::of(&Site {
            nodes,
            volumes: volumes.collect(),
            spread: self.spread,
        });
        for id in down {
            self.set_up(id, false);
        }
    }

    /// Adds or changes a volume, or removes it if `to` is `None`.
    pub fn set_volume(&mut self, id: u64, to: Option<Volume>) {
        self.set_volumes([(id, to)]);
    }

    /// Adds, changes or removes many volumes. Where there is enough capacity, this costs only one
    /// search for spare capacity.
    pub fn set_volumes(&mut self, volumes: impl IntoIterator<Item = (u64, Option<Volume>)>) {
        let mut changed_groups = BTreeSet::new();
        for (id, to) in volumes {
            if let Some(former) = self.volumes.remove(&id) {
                changed_groups.insert(former.group);
                self.remove_demand(&former);
            }
            if let Some(volume) = to {
                changed_groups.insert(self.place(volume));
            }
        }
        for group in changed_groups {
            self.trim(group);
        }
        self.refill();
    }

    /// Numbers of the nodes with data of a volume.
    pub fn nodes_of_volume(&self, id: u64) -> impl Iterator<Item = u32> + '_ {
        let placed = self.volumes.get(&id);
        placed
            .into_iter()
            .flat_map(|placed| &placed.volume.placement)
            .map(|(node, _)| *node)
    }

    /// Unused capacity of a node, units per second.
    pub fn spare(&self, id: u32) -> f64 {
        let index = self.nodes.index(id);
        index.map_or(0.0, |index| self.flow.spare(index) as f64 / PARTS_PER_UNIT)
    }

    /// Returns whether a node is a bottleneck: a reservation is unmet, and no path leads from the node
    /// to spare capacity.
    pub fn is_bottleneck(&self, id: u32) -> bool {
        let index = self.nodes.index(id);
        self.groups.has_unmet() && index.is_some_and(|index| self.flow.is_saturated(index))
    }

    /// The load on each node from all volumes except `left_out`. The load of a group is divided among
    /// its volumes in proportion to their demand.
    pub fn carried_except(&self, left_out: &BTreeSet<u64>) -> BTreeMap<u32, f64> {
        let mut carried: BTreeMap<u32, f64> = BTreeMap::new();
        for (group, members, total) in self.groups.with_demand() {
            let others: u64 = members
                .iter()
                .filter(|id| !left_out.contains(id))
                .map(|id| self.volumes[id].demand.amount)
                .sum();
            let fraction = others as f64 / total as f64;
            let group = self.flow.group(group);
            for (index, load) in group.nodes.iter().zip(&group.loads) {
                let sum = carried.entry(self.nodes.id(*index)).or_default();
                *sum += *load as f64 / PARTS_PER_UNIT * fraction;
            }
        }
        carried
    }

    fn set_node_up(&mut self, index: usize, up: bool) {
        let capacity = self.nodes.capacity(index);
        self.nodes.set_up(index, up);
        if up {
            self.flow.set_capacity(index, 0, capacity);
        } else {
            self.flow.set_capacity(index, capacity, 0);
        }
    }

    /// Recomputes the demand of all volumes with data on a node, and carries as much as possible.
    fn recompute_demand(&mut self, index: usize) {
        let groups: Vec<usize> = self.flow.groups_at(index).collect();
        for group in groups {
            let mut sum = self.no_demand(group);
            for id in self.groups.members(group) {
                let placed = self
                    .volumes
                    .get_mut(id)
                    .expect("a member of a group is in the table of volumes");
                placed.demand = Demand::of(&placed.volume, &self.nodes, self.spread);
                sum.add(&placed.demand);
            }
            self.set_group_demand(group, &sum);
            self.trim(group);
        }
        self.refill();
    }

    fn no_demand(&self, group: usize) -> Demand {
        Demand::none(self.flow.group(group).nodes.len())
    }

    /// The demand of a group's volumes with the nodes that are now up.
    fn demand_of_group(&self, group: usize) -> Demand {
        let mut sum = self.no_demand(group);
        for id in self.groups.members(group) {
            let volume = &self.volumes[id].volume;
            sum.add(&Demand::of(volume, &self.nodes, self.spread));
        }
        sum
    }

    fn set_group_demand(&mut self, group: usize, demand: &Demand) {
        self.groups.set_total(group, demand.amount);
        self.flow.set_max_loads(group, &demand.max_loads);
    }

    /// Adds a volume without carrying any of its load, and returns its group.
    fn place(&mut self, volume: Volume) -> usize {
        let indexed = self.nodes.indexed(&volume.placement);
        let indexes: Vec<usize> = indexed.map(|(index, _)| index).collect();
        let group = self.flow.group_of(&indexes);
        let demand = Demand::of(&volume, &self.nodes, self.spread);
        self.flow
            .raise_max_loads(group, demand.max_loads.iter().copied());
        self.groups.add(group, volume.id, demand.amount);
        self.reservations += to_parts(volume.reservation);
        let placed = PlacedVolume {
            group,
            demand,
            volume,
        };
        self.volumes.insert(placed.volume.id, placed);
        group
    }

    /// Subtracts the demand of a removed volume from its group.
    fn remove_demand(&mut self, former: &PlacedVolume) {
        let group = former.group;
        self.groups
            .remove(group, former.volume.id, former.demand.amount);
        self.reservations -= to_parts(former.volume.reservation);
        let max_loads = &self.flow.group(group).max_loads;
        let lowered: Vec<u64> = max_loads
            .iter()
            .zip(&former.demand.max_loads)
            .map(|(sum, own)| sum - own)
            .collect();
        self.flow.set_max_loads(group, &lowered);
    }

    /// Removes the load of a group beyond its demand, and records the unmet demand.
    fn trim(&mut self, group: usize) {
        let carried: u64 = self.flow.group(group).loads.iter().sum();
        let total = self.groups.total(group);
        self.flow.shed_load(group, carried.saturating_sub(total));
        self.groups.set_unmet(group, total.saturating_sub(carried));
    }

    /// Carries as much as possible of the unmet demand.
    fn refill(&mut self) {
        for (group, amount) in self.groups.take_unmet() {
            let left = self.flow.fill(group, amount);
            self.groups.set_unmet(group, left);
        }
    }
}
