//! Computes whether all reservations of a site can be met at the same time.
//!
//! The input is a site (the capacities of its nodes, the reservations and placement of its volumes)
//! and the nodes that are out. The result is the load that the nodes can carry, and the volumes whose
//! reservations are not met if that is too little. The computation is a maximum flow from volumes to
//! nodes (Ford and Fulkerson, with Dinic's algorithm from petgraph). All functions are pure and
//! allocate memory only for the duration of the call.
//!
//! Only the nodes with a volume's extents can serve the volume. The site's `spread` bounds how much
//! of the load may be concentrated on one of them. With 1, the load is spread evenly over the
//! extents; with a larger factor, a node may carry that many times its fraction. The larger the
//! factor, the more optimistic the result. Extents on a node that is out are out of reach. Their
//! fraction of the reservation is reported separately, because no node can carry it.
//!
//! If capacity is short, the volumes with the lowest weight lose their reservations first, and among
//! equal weights those with the higher number. The total that can be carried does not depend on the
//! order (the sums that can be carried form a polymatroid), so the unmet total is minimal in every
//! order. Volumes on the same nodes are one vertex in the network. To find the unmet volumes, a flow
//! is extended volume by volume.

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
    /// Priority weight. Volumes with the lowest weight lose their reservations first.
    pub weight: f64,
    /// Numbers of the nodes with the volume's extents, each with its fraction of the extents. The
    /// fractions add up to one.
    pub placement: Vec<(u32, f64)>,
}

/// The nodes and volumes of a deployment, reduced to what reservations depend on.
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

/// The extent to which reservations can be met. Amounts are in units per second.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Feasibility {
    /// Sum of the reservations for extents on nodes that are not out.
    pub reachable: f64,
    /// The part of `reachable` that the nodes can carry at the same time.
    pub carried: f64,
    /// Sum of the reservations for extents on nodes that are out.
    pub out_of_reach: f64,
    /// Volumes whose reservations cannot be met, each with the unmet amount.
    pub short: Vec<(u64, f64)>,
}

impl Feasibility {
    /// Returns whether the reservations of all volumes can be met, apart from extents out of reach.
    pub fn holds(&self) -> bool {
        self.short.is_empty()
    }
}

/// An outage for which the reservations are checked.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Outage {
    /// No node is out.
    Nothing,
    /// One node is out, by its number.
    Node(u32),
    /// All nodes of a zone are out, by its number.
    Zone(u32),
}

/// Computes whether the reservations can be met while the nodes with these numbers are out.
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
/// // Node 1 could carry either volume; to meet both, volume 7 must be served mostly by node 2.
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

/// Computes the feasibility without an outage, for an outage of each node, and of each zone.
pub fn check_all_outages(site: &Site) -> Vec<(Outage, Feasibility)> {
    let zones: BTreeSet<u32> = site.nodes.iter().map(|node| node.zone).collect();
    let mut cases = vec![Outage::Nothing];
    cases.extend(site.nodes.iter().map(|node| Outage::Node(node.id)));
    cases.extend(zones.into_iter().map(Outage::Zone));
    cases
        .into_iter()
        .map(|out| (out, check(site, &nodes_out(site, out))))
        .collect()
}

/// Numbers of the nodes that are out in an outage.
pub fn nodes_out(site: &Site, out: Outage) -> BTreeSet<u32> {
    let is_out = |node: &&Node| match out {
        Outage::Nothing => false,
        Outage::Node(id) => node.id == id,
        Outage::Zone(zone) => node.zone == zone,
    };
    site.nodes
        .iter()
        .filter(is_out)
        .map(|node| node.id)
        .collect()
}
