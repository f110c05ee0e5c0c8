//! The flow network of a site with some nodes out.
//!
//! [`crate::planner`] builds a [`Network`] for one call. Memory use is an entry for each node and
//! volume, and an edge for each node of each group of volumes.

use super::load::{to_parts, to_units, Load};
use super::{Feasibility, Node, Site, Volume};
use crate::flow::Flow;
use petgraph::algo::maximum_flow::dinics;
use petgraph::graph::{DiGraph, NodeIndex};
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// Volumes on the same nodes, as one vertex in the network.
#[derive(Default)]
struct VolumeGroup {
    amount: u64,
    /// The maximum load on each node.
    max_loads: Vec<u64>,
}

/// The network. See the module documentation.
pub(super) struct Network<'a> {
    site: &'a Site,
    /// Capacity by index of the node; 0 if the node is out.
    capacity: Vec<u64>,
    /// Loads by index of the volume.
    loads: Vec<Load>,
}

impl<'a> Network<'a> {
    /// Creates the network of a site. `out` are the numbers of the nodes that are out.
    pub fn new(site: &'a Site, out: &BTreeSet<u32>) -> Self {
        let numbered = site.nodes.iter().enumerate();
        let indexes: HashMap<u32, usize> = numbered.map(|(index, node)| (node.id, index)).collect();
        let capacity = |node: &Node| {
            if out.contains(&node.id) {
                0
            } else {
                to_parts(node.capacity)
            }
        };
        let load = |volume: &Volume| {
            let up = volume
                .placement
                .iter()
                .filter(|(id, _)| !out.contains(id))
                .filter_map(|(id, fraction)| Some((indexes.get(id).copied()?, *fraction)))
                .collect();
            Load::of(volume, up, site.spread)
        };
        Network {
            site,
            capacity: site.nodes.iter().map(capacity).collect(),
            loads: site.volumes.iter().map(load).collect(),
        }
    }

    /// Computes how much of the reservations can be carried, and which volumes' reservations are not
    /// met.
    pub fn feasibility(&self) -> Feasibility {
        let amounts: Vec<(usize, u64)> = self
            .loads
            .iter()
            .map(|load| load.reservation)
            .enumerate()
            .collect();
        let reachable: u64 = amounts.iter().map(|(_, amount)| amount).sum();
        let carried = self.carried(&amounts);
        let volumes = &self.site.volumes;
        let reservations: f64 = volumes.iter().map(|volume| volume.reservation).sum();
        // Rounding may lose up to one part for each volume, which is no shortage.
        let slack = self.loads.len() as u64;
        let short = if carried + slack >= reachable {
            Vec::new()
        } else {
            self.unmet_volumes(amounts)
        };
        let out_of_reach = (reservations - to_units(reachable)).max(0.0);
        Feasibility {
            reachable: to_units(reachable),
            carried: to_units(carried.min(reachable)),
            out_of_reach: if out_of_reach < to_units(slack) {
                0.0
            } else {
                out_of_reach
            },
            short,
        }
    }

    /// The maximum that can be carried of these amounts of volumes, which are given by index.
    fn carried(&self, amounts: &[(usize, u64)]) -> u64 {
        let mut graph: DiGraph<(), u64> = DiGraph::new();
        let source = graph.add_node(());
        let sink = graph.add_node(());
        let nodes: Vec<NodeIndex> = self.capacity.iter().map(|_| graph.add_node(())).collect();
        for (node, capacity) in nodes.iter().zip(&self.capacity) {
            graph.add_edge(*node, sink, *capacity);
        }
        for (indexes, group) in self.groups(amounts) {
            let volume = graph.add_node(());
            graph.add_edge(source, volume, group.amount);
            for (index, max_load) in indexes.iter().zip(group.max_loads) {
                graph.add_edge(volume, nodes[*index], max_load);
            }
        }
        dinics(&graph, source, sink).0
    }

    /// Groups volumes by the indexes of their nodes. The maximum load of a group on a node is the sum
    /// over its volumes.
    fn groups(&self, amounts: &[(usize, u64)]) -> BTreeMap<Vec<usize>, VolumeGroup> {
        let mut by_nodes: BTreeMap<Vec<usize>, VolumeGroup> = BTreeMap::new();
        for (volume, amount) in amounts {
            let max_loads = &self.loads[*volume].max_loads;
            let group = by_nodes.entry(indexes_of(max_loads)).or_default();
            group.amount += amount;
            group.max_loads.resize(max_loads.len(), 0);
            for (sum, (_, max_load)) in group.max_loads.iter_mut().zip(max_loads) {
                *sum += max_load.min(amount);
            }
        }
        by_nodes
    }

    /// Adds volumes to the flow, highest weight first, each as far as it can be carried together with
    /// all volumes before it. Returns the volumes with an unmet amount.
    fn unmet_volumes(&self, mut amounts: Vec<(usize, u64)>) -> Vec<(u64, f64)> {
        let volumes = &self.site.volumes;
        amounts.sort_by(|(left, _), (right, _)| {
            let left = &volumes[*left];
            let right = &volumes[*right];
            let by_weight = right.weight.total_cmp(&left.weight);
            by_weight.then(left.id.cmp(&right.id))
        });
        let mut flow = Flow::new(&self.capacity);
        let mut short = Vec::new();
        for (volume, amount) in amounts {
            let max_loads = &self.loads[volume].max_loads;
            let group = flow.group_of(&indexes_of(max_loads));
            flow.raise_max_loads(
                group,
                max_loads.iter().map(|(_, max_load)| *max_load.min(&amount)),
            );
            let left = flow.fill(group, amount);
            if left > 0 {
                short.push((volumes[volume].id, to_units(left)));
            }
        }
        short
    }
}

fn indexes_of(max_loads: &[(usize, u64)]) -> Vec<usize> {
    max_loads.iter().map(|(index, _)| *index).collect()
}
