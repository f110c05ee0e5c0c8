//! Whether the reserves that were promised can all be met at once.
//!
//! Called with a site, its nodes' capacities and its volumes' reserves and homes, and with the nodes that are
//! taken out of it; the answer says how much can be carried, and which volumes give way where not all can. A
//! maximum flow from volumes to nodes tells (Ford and Fulkerson; by petgraph's Dinic). Without input or
//! output.
//!
//! A volume can be served only where its extents lie. How far its load may gather on some of them is the
//! site's `spread`: 1 is load spread over its extents alike, more lets a node carry that many times its part; the more,
//! the more hopeful the answer. What lies on a node that is out is out of reach, and its part of the reserve
//! is told by itself: nobody can carry it.
//!
//! Who gives way is decided by weight, the lightest first, and among the equally heavy the higher number:
//! what can be carried in sum does not depend on the order (the carried sums form a polymatroid), so the
//! least gives way whatever the order. Volumes with like homes are one in the network; who gives way is found
//! by a flow that grows volume by volume.

use crate::flow::Flow;
use petgraph::algo::maximum_flow::dinics;
use petgraph::graph::{DiGraph, NodeIndex};
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// Flows are counted in thousandths of units a second.
pub(crate) const PARTS: f64 = 1000.0;

#[derive(Debug, Clone, PartialEq)]
pub struct Node {
    pub id: u32,
    pub zone: u32,
    /// Units a second.
    pub capacity: f64,
}

#[derive(Debug, Clone, PartialEq)]
pub struct Volume {
    pub id: u64,
    /// Units a second.
    pub reserve: f64,
    pub weight: f64,
    /// Nodes with the part of its extents that lies on each; the parts add up to one.
    pub homes: Vec<(u32, f64)>,
}

#[derive(Debug, Clone, Default, PartialEq)]
pub struct Site {
    pub nodes: Vec<Node>,
    pub volumes: Vec<Volume>,
    pub spread: f64,
}

#[derive(Debug, Clone, Default, PartialEq)]
pub struct Feasibility {
    /// Reserves of what can be reached, and how much of them can be carried at once.
    pub asked: f64,
    pub carried: f64,
    /// Reserves of what lies on nodes that are out.
    pub out_of_reach: f64,
    /// Volumes that must give way, and by how much.
    pub short: Vec<(u64, f64)>,
}

impl Feasibility {
    pub fn holds(&self) -> bool {
        self.short.is_empty()
    }
}

/// What is taken out of a site to see whether the rest still bears its promises.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Out {
    Nothing,
    Node(u32),
    Zone(u32),
}

/// A volume's reserve where it can still be served, and the most that each of its homes may carry.
pub(crate) struct Load {
    pub reserve: u64,
    pub homes: Vec<(usize, u64)>,
}

impl Load {
    /// `up`: the places of a volume's homes that can serve it, with the part that lies on each.
    pub fn of(v: &Volume, up: Vec<(usize, f64)>, spread: f64) -> Load {
        let reached = v.reserve * up.iter().map(|h| h.1).sum::<f64>().min(1.0);
        let most = |quota: f64| snapshot(reached).min(snapshot(v.reserve * quota * spread) + 1);
        Load {
            reserve: snapshot(reached),
            homes: up.iter().map(|(n, quota)| (*n, most(*quota))).collect(),
        }
    }
}

pub(crate) fn snapshot(units: f64) -> u64 {
    (units * PARTS).round().max(0.0) as u64
}

/// A site with its nodes out, ready to be asked about any of its volumes.
struct Network<'a> {
    site: &'a Site,
    capacity: Vec<u64>,
    loads: Vec<Load>,
}

impl<'a> Network<'a> {
    fn new(site: &'a Site, out: &BTreeSet<u32>) -> Self {
        let place: HashMap<u32, usize> = site
            .nodes
            .iter()
            .enumerate()
            .map(|(i, n)| (n.id, i))
            .collect();
        let capacity = site.nodes.iter().map(|n| {
            if out.contains(&n.id) {
                0
            } else {
                snapshot(n.capacity)
            }
        });
        let load = |v: &Volume| {
            let up = |(id, quota): &(u32, f64)| {
                let place = place.get(id).copied().filter(|_| !out.contains(id))?;
                Some((place, *quota))
            };
            Load::of(v, v.homes.iter().filter_map(up).collect(), site.spread)
        };
        Network {
            site,
            capacity: capacity.collect(),
            loads: site.volumes.iter().map(load).collect(),
        }
    }

    /// The most that can be carried of these amounts of volumes.
    fn carried(&self, amounts: &[(usize, u64)]) -> u64 {
        // Alike volumes are one: what each may put on a node adds up.
        let mut alike: BTreeMap<Vec<usize>, (u64, Vec<u64>)> = BTreeMap::new();
        for (v, amount) in amounts {
            let homes = &self.loads[*v].homes;
            let of = alike
                .entry(homes.iter().map(|h| h.0).collect())
                .or_default();
            of.0 += amount;
            of.1.resize(homes.len(), 0);
            of.1.iter_mut()
                .zip(homes)
                .for_each(|(sum, h)| *sum += h.1.min(*amount));
        }
        let mut g: DiGraph<(), u64> = DiGraph::new();
        let (leader, sink) = (g.add_node(()), g.add_node(()));
        let nodes: Vec<NodeIndex> = self.capacity.iter().map(|_| g.add_node(())).collect();
        for (node, capacity) in nodes.iter().zip(&self.capacity) {
            g.add_edge(*node, sink, *capacity);
        }
        for (homes, (amount, most)) in alike {
            let volume = g.add_node(());
            g.add_edge(leader, volume, amount);
            for (n, most) in homes.iter().zip(most) {
                g.add_edge(volume, nodes[*n], most);
            }
        }
        dinics(&g, leader, sink).0
    }

    fn verdict(&self) -> Feasibility {
        let all: Vec<(usize, u64)> = self.loads.iter().map(|l| l.reserve).enumerate().collect();
        let asked: u64 = all.iter().map(|a| a.1).sum();
        let carried = self.carried(&all);
        let units = |n: u64| n as f64 / PARTS;
        let reserves: f64 = self.site.volumes.iter().map(|v| v.reserve).sum();
        // Each home's most is rounded up: a thousandth for each volume is no shortage.
        let slack = self.loads.len() as u64;
        let short = if carried + slack >= asked {
            Vec::new()
        } else {
            self.gives_way(all)
        };
        let out_of_reach = (reserves - units(asked)).max(0.0);
        let out_of_reach = if out_of_reach < units(slack) {
            0.0
        } else {
            out_of_reach
        };
        Feasibility {
            asked: units(asked),
            carried: units(carried.min(asked)),
            out_of_reach,
            short,
        }
    }

    /// The heaviest first, each as far as it can go beside all before it.
    fn gives_way(&self, mut all: Vec<(usize, u64)>) -> Vec<(u64, f64)> {
        let volumes = &self.site.volumes;
        all.sort_by(|(a, _), (b, _)| {
            let (a, b) = (&volumes[*a], &volumes[*b]);
            b.weight.total_cmp(&a.weight).then(a.id.cmp(&b.id))
        });
        let mut flow = Flow::new(&self.capacity);
        let left = all.into_iter().map(|(v, amount)| {
            let homes = &self.loads[v].homes;
            let g = flow.group_of(&homes.iter().map(|h| h.0).collect::<Vec<_>>());
            flow.offer(g, homes.iter().map(|h| h.1.min(amount)));
            (v, flow.fill(g, amount))
        });
        left.filter(|(_, left)| *left > 0)
            .map(|(v, left)| (volumes[v].id, left as f64 / PARTS))
            .collect()
    }
}

/// Whether the reserves hold with these nodes out.
///
/// ```
/// use grebecleat_plans::planner::{check, Node, Site, Volume};
/// let node = |id| Node { id, zone: 1, capacity: 100.0 };
/// let volume = |id, reserve, nodes: &[u32]| Volume {
///     id, reserve, weight: 1.0, homes: nodes.iter().map(|n| (*n, 1.0 / nodes.len() as f64)).collect(),
/// };
/// // Each could be carried with most room left by itself; together the first must leave node 1 to the second.
/// let mut site = Site {
///     nodes: vec![node(1), node(2)],
///     volumes: vec![volume(7, 100.0, &[1, 2]), volume(8, 90.0, &[1])],
///     spread: 2.0,
/// };
/// assert!(check(&site, &Default::default()).holds());
/// site.volumes[1].reserve = 110.0;
/// assert_eq!(check(&site, &Default::default()).short, [(8, 10.0)]);
/// ```
pub fn check(site: &Site, out: &BTreeSet<u32>) -> Feasibility {
    Network::new(site, out).verdict()
}

/// The site as it is, with any one node out, and with any one zone out.
pub fn survey(site: &Site) -> Vec<(Out, Feasibility)> {
    let zones: BTreeSet<u32> = site.nodes.iter().map(|n| n.zone).collect();
    let all = [Out::Nothing]
        .into_iter()
        .chain(site.nodes.iter().map(|n| Out::Node(n.id)));
    all.chain(zones.into_iter().map(Out::Zone))
        .map(|out| (out, check(site, &nodes_of(site, out))))
        .collect()
}

/// Nodes that are out with it.
pub fn nodes_of(site: &Site, out: Out) -> BTreeSet<u32> {
    let hit = |n: &&Node| match out {
        Out::Nothing => false,
        Out::Node(id) => n.id == id,
        Out::Zone(zone) => n.zone == zone,
    };
    site.nodes.iter().filter(hit).map(|n| n.id).collect()
}
