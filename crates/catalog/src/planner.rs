//! Whether all reservations of a site can be met at once.
//!
//! Called with a site (its nodes' capacities, its volumes' reservations and homes) and the nodes
//! that are taken out of it; the answer says how much can be carried, and which volumes give way
//! where not all can. By a maximum flow from volumes to nodes (Ford and Fulkerson; petgraph's
//! Dinic). Pure functions; memory for the time of the call.
//!
//! A volume can be served only where its extents lie. How far its load may gather on some of them
//! is the site's `spread`: 1 is load spread over its extents alike, more lets a node carry that
//! many times its part; the more, the more hopeful the answer. What lies on a node that is out is
//! out of reach, and its part of the reservation is reported by itself: nothing can carry it.
//!
//! Which volumes give way is decided by weight, the lightest first, and among the equally heavy the
//! higher number: how much can be carried in sum does not depend on the order (the carried sums
//! form a polymatroid), so the least gives way whatever the order. Volumes with the same homes are
//! one in the network; which of them give way is found by a flow that grows volume by volume.

use crate::flow::Flow;
use petgraph::algo::maximum_flow::dinics;
use petgraph::graph::{DiGraph, NodeIndex};
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// Parts of a unit a second in which flows are counted.
pub(crate) const PARTS: f64 = 1000.0;

/// A node of a site.
#[derive(Debug, Clone, PartialEq)]
pub struct Node {
    /// Its number.
    pub id: u32,
    /// Number of its zone.
    pub zone: u32,
    /// Units a second.
    pub capacity: f64,
}

/// A volume of a site.
#[derive(Debug, Clone, PartialEq)]
pub struct Volume {
    /// Its number.
    pub id: u64,
    /// Its reservation, units a second.
    pub reservation: f64,
    /// Its priority weight: the lightest give way first.
    pub weight: f64,
    /// Nodes with the part of its extents that lies on each; the parts add up to one.
    pub placement: Vec<(u32, f64)>,
}

/// Nodes and volumes, as far as promises depend on them.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Site {
    /// All nodes.
    pub nodes: Vec<Node>,
    /// All volumes.
    pub volumes: Vec<Volume>,
    /// By how many times its part of the extents a home may carry of a volume's load; at least 1.
    pub spread: f64,
}

/// Whether reservations can be met. Amounts are units a second.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Feasibility {
    /// Reservations of what can be reached.
    pub reachable: f64,
    /// How much of them can be carried at once.
    pub carried: f64,
    /// Reservations of what lies on nodes that are out.
    pub out_of_reach: f64,
    /// Volumes that must give way, and by how much.
    pub short: Vec<(u64, f64)>,
}

impl Feasibility {
    /// Whether no volume must give way.
    pub fn holds(&self) -> bool {
        self.short.is_empty()
    }
}

/// What is taken out of a site to see whether the rest can meet its promises.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Out {
    /// Nothing.
    Nothing,
    /// One node, by its number.
    Node(u32),
    /// All nodes of a zone, by its number.
    Zone(u32),
}

/// A volume's load in parts: its reservation where it can be served, and the most that each home
/// may carry.
pub(crate) struct Load {
    pub reservation: u64,
    /// Places of homes, with the most that each may carry.
    pub max_loads: Vec<(usize, u64)>,
}

impl Load {
    /// `up`: the places of a volume's homes that can serve it, with the part that lies on each.
    pub fn of(volume: &Volume, up: Vec<(usize, f64)>, spread: f64) -> Load {
        let part_up: f64 = up.iter().map(|(_, part)| part).sum();
        let reached = volume.reservation * part_up.min(1.0);
        let max_load = |part: f64| {
            let gathered = to_parts(volume.reservation * part * spread) + 1;
            to_parts(reached).min(gathered)
        };
        Load {
            reservation: to_parts(reached),
            max_loads: up
                .iter()
                .map(|(place, part)| (*place, max_load(*part)))
                .collect(),
        }
    }
}

/// Units a second in whole parts.
pub(crate) fn to_parts(units: f64) -> u64 {
    (units * PARTS).round().max(0.0) as u64
}

fn to_units(parts: u64) -> f64 {
    parts as f64 / PARTS
}

/// Volumes with the same homes, as one in the network.
#[derive(Default)]
struct Alike {
    amount: u64,
    max_loads: Vec<u64>,
}

/// A site with nodes out, ready to be asked about any of its volumes.
struct Network<'a> {
    site: &'a Site,
    capacity: Vec<u64>,
    loads: Vec<Load>,
}

impl<'a> Network<'a> {
    fn new(site: &'a Site, out: &BTreeSet<u32>) -> Self {
        let numbered = site.nodes.iter().enumerate();
        let places: HashMap<u32, usize> = numbered.map(|(place, node)| (node.id, place)).collect();
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
                .filter_map(|(id, part)| Some((places.get(id).copied()?, *part)))
                .collect();
            Load::of(volume, up, site.spread)
        };
        Network {
            site,
            capacity: site.nodes.iter().map(capacity).collect(),
            loads: site.volumes.iter().map(load).collect(),
        }
    }

    /// The most that can be carried of these amounts of volumes, which are given by their places.
    fn carried(&self, amounts: &[(usize, u64)]) -> u64 {
        let mut graph: DiGraph<(), u64> = DiGraph::new();
        let source = graph.add_node(());
        let sink = graph.add_node(());
        let nodes: Vec<NodeIndex> = self.capacity.iter().map(|_| graph.add_node(())).collect();
        for (node, capacity) in nodes.iter().zip(&self.capacity) {
            graph.add_edge(*node, sink, *capacity);
        }
        for (places, alike) in self.alike(amounts) {
            let volume = graph.add_node(());
            graph.add_edge(source, volume, alike.amount);
            for (place, max_load) in places.iter().zip(alike.max_loads) {
                graph.add_edge(volume, nodes[*place], max_load);
            }
        }
        dinics(&graph, source, sink).0
    }

    /// Volumes by their homes: what volumes with the same homes may put on a node adds up.
    fn alike(&self, amounts: &[(usize, u64)]) -> BTreeMap<Vec<usize>, Alike> {
        let mut by_homes: BTreeMap<Vec<usize>, Alike> = BTreeMap::new();
        for (volume, amount) in amounts {
            let max_loads = &self.loads[*volume].max_loads;
            let places: Vec<usize> = max_loads.iter().map(|(place, _)| *place).collect();
            let alike = by_homes.entry(places).or_default();
            alike.amount += amount;
            alike.max_loads.resize(max_loads.len(), 0);
            for (sum, (_, max_load)) in alike.max_loads.iter_mut().zip(max_loads) {
                *sum += max_load.min(amount);
            }
        }
        by_homes
    }

    fn verdict(&self) -> Feasibility {
        let amounts: Vec<(usize, u64)> = self
            .loads
            .iter()
            .map(|load| load.reservation)
            .enumerate()
            .collect();
        let reachable: u64 = amounts.iter().map(|(_, amount)| amount).sum();
        let carried = self.carried(&amounts);
        let reservations: f64 = self
            .site
            .volumes
            .iter()
            .map(|volume| volume.reservation)
            .sum();
        // The most of each home is rounded up: one part for each volume is no shortage.
        let slack = self.loads.len() as u64;
        let short = if carried + slack >= reachable {
            Vec::new()
        } else {
            self.volumes_that_give_way(amounts)
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

    /// Fills the heaviest volumes first, each as far as possible with all before it, and returns
    /// what is left.
    fn volumes_that_give_way(&self, mut amounts: Vec<(usize, u64)>) -> Vec<(u64, f64)> {
        let volumes = &self.site.volumes;
        amounts.sort_by(|(left, _), (right, _)| {
            let (left, right) = (&volumes[*left], &volumes[*right]);
            let by_weight = right.weight.total_cmp(&left.weight);
            by_weight.then(left.id.cmp(&right.id))
        });
        let mut flow = Flow::new(&self.capacity);
        let mut short = Vec::new();
        for (volume, amount) in amounts {
            let max_loads = &self.loads[volume].max_loads;
            let places: Vec<usize> = max_loads.iter().map(|(place, _)| *place).collect();
            let group = flow.group_of(&places);
            flow.offer(
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

/// Whether the reservations can be met with these nodes out.
///
/// ```
/// use grebecleat_catalog::planner::{check, Node, Site, Volume};
/// let node = |id| Node { id, zone: 1, capacity: 100.0 };
/// let volume = |id, reservation, nodes: &[u32]| Volume {
///     id,
///     reservation,
///     weight: 1.0,
///     placement: nodes.iter().map(|node| (*node, 1.0 / nodes.len() as f64)).collect(),
/// };
/// // Each could be carried by itself; together the first must leave node 1 to the second.
/// let mut site = Site {
///     nodes: vec![node(1), node(2)],
///     volumes: vec![volume(7, 100.0, &[1, 2]), volume(8, 90.0, &[1])],
///     spread: 2.0,
/// };
/// assert!(check(&site, &Default::default()).holds());
/// site.volumes[1].reservation = 110.0;
/// assert_eq!(check(&site, &Default::default()).short, [(8, 10.0)]);
/// ```
pub fn check(site: &Site, out: &BTreeSet<u32>) -> Feasibility {
    Network::new(site, out).verdict()
}

/// The site as it is, with any one node out, and with any one zone out.
pub fn survey(site: &Site) -> Vec<(Out, Feasibility)> {
    let zones: BTreeSet<u32> = site.nodes.iter().map(|node| node.zone).collect();
    let mut cases = vec![Out::Nothing];
    cases.extend(site.nodes.iter().map(|node| Out::Node(node.id)));
    cases.extend(zones.into_iter().map(Out::Zone));
    cases
        .into_iter()
        .map(|out| (out, check(site, &nodes_of(site, out))))
        .collect()
}

/// Nodes that are out with it.
pub fn nodes_of(site: &Site, out: Out) -> BTreeSet<u32> {
    let is_out = |node: &&Node| match out {
        Out::Nothing => false,
        Out::Node(id) => node.id == id,
        Out::Zone(zone) => node.zone == zone,
    };
    site.nodes
        .iter()
        .filter(is_out)
        .map(|node| node.id)
        .collect()
}
