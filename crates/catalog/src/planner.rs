//! Whether all reservations of a site can be met at once.
//!
//! Called with a site (the capacities of its nodes, the reservations and placement of its volumes)
//! and the nodes that are out. The result has the amount that can be carried, and the volumes that
//! give way if not all can be met. The computation is a maximum flow from volumes to nodes (Ford
//! and Fulkerson; petgraph's Dinic). Pure functions; memory for the time of the call.
//!
//! Only the nodes with a volume's extents can serve the volume. The site's `spread` bounds how much
//! of the load may gather on one of them. With 1, the load is spread evenly over the extents; with
//! more, a node may carry that many times its fraction. The larger the spread, the more optimistic
//! the result. Extents on a node that is out are out of reach. The result reports their fraction of
//! the reservation separately, because no node can carry it.
//!
//! The weight decides which volumes give way: the lowest weight first, and among equal weights the
//! higher number. The sum that can be carried does not depend on the order (the carried sums form a
//! polymatroid), so the least possible amount gives way in every order. Volumes on the same nodes
//! are one vertex in the network. A flow that grows volume by volume finds which of them give way.

mod load;
mod network;

pub(crate) use load::{to_parts, Load, PARTS_PER_UNIT};

use network::Network;
use std::collections::BTreeSet;

/// A node of a site.
#[derive(Debug, Clone, PartialEq)]
pub struct Node {
    /// The node's number.
    pub id: u32,
    /// Number of the node's zone.
    pub zone: u32,
    /// Capacity, units per second.
    pub capacity: f64,
}

/// A volume of a site.
#[derive(Debug, Clone, PartialEq)]
pub struct Volume {
    /// The volume's number.
    pub id: u64,
    /// The volume's reservation, units per second.
    pub reservation: f64,
    /// Priority weight: volumes with the lowest weight give way first.
    pub weight: f64,
    /// Numbers of the nodes with the volume's extents, each with its fraction of the extents. The
    /// fractions add up to one.
    pub placement: Vec<(u32, f64)>,
}

/// Nodes and volumes, as far as reservations depend on them.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Site {
    /// All nodes.
    pub nodes: Vec<Node>,
    /// All volumes.
    pub volumes: Vec<Volume>,
    /// Factor, at least 1, by which a node's share of a volume's load may exceed the fraction of
    /// the volume's extents there.
    pub spread: f64,
}

/// Whether reservations can be met. Amounts are units per second.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Feasibility {
    /// Reservations of extents that are in reach.
    pub reachable: f64,
    /// The amount of them that can be carried at once.
    pub carried: f64,
    /// Reservations of extents on nodes that are out.
    pub out_of_reach: f64,
    /// Volumes that must give way, each with the unmet amount.
    pub short: Vec<(u64, f64)>,
}

impl Feasibility {
    /// Returns whether no volume must give way.
    pub fn holds(&self) -> bool {
        self.short.is_empty()
    }
}

/// A case of nodes that are out, for which the reservations are checked.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Out {
    /// No node is out.
    Nothing,
    /// One node is out, by its number.
    Node(u32),
    /// All nodes of a zone are out, by its number.
    Zone(u32),
}

/// Computes whether the reservations can be met with these nodes out.
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
    Network::new(site, out).feasibility()
}

/// Computes the same for the complete site, with each node out, and with each zone out.
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

/// Numbers of the nodes that are out in a case.
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
