//! Whether the reserves that were promised can all be met at once.
//!
//! Called with a site, its nodes' capacities and its volumes' reserves and homes, and with the nodes that are
//! taken out of it; the answer says how much can be carried, and which volumes give way where not all can. A
//! maximum flow from volumes to nodes tells (Ford and Fulkerson; by petgraph's Dinic). Without input or
//! output.
//!
//! A volume can be served only where its extents lie. How far its load may gather on some of them is the
//! site's
//! `spread`: 1 is load spread over its extents alike, more lets a node carry that many times its part; the more,
//! the more hopeful the answer. What lies on a node that is out is out of reach, and its part of the reserve
//! is told by itself: nobody can carry it.
//!
//! Who gives way is decided by weight, the lightest first, and among the equally heavy the higher number:
//! what can be carried in sum does not depend on the order (the carried sums form a polymatroid), so the
//! least gives way whatever the order. Volumes with like homes are one in the network; who gives way is found
//! by a flow that grows volume by volume.

use petgraph::algo::maximum_flow::dinics;
use petgraph::graph::{DiGraph, NodeIndex};
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// Flows are counted in thousandths of units a second.
const PARTS: f64 = 1000.0;

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

#[derive(Debug, Clone, PartialEq)]
pub struct Site {
    pub nodes: Vec<Node>,
    pub volumes: Vec<Volume>,
    pub spread: f64,
}

#[derive(Debug, Clone, Default, PartialEq)]
pub struct Verdict {
    /// Reserves of what can be reached, and how much of them can be carried at once.
    pub asked: f64,
    pub carried: f64,
    /// Reserves of what lies on nodes that are out.
    pub out_of_reach: f64,
    /// Volumes that must give way, and by how much.
    pub short: Vec<(u64, f64)>,
}

impl Verdict {
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
struct Load {
    reserve: u64,
    homes: Vec<(usize, u64)>,
}

fn whole(units: f64) -> u64 {
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
        let place: HashMap<u32, usize> = site.nodes.iter().enumerate().map(|(i, n)| (n.id, i)).collect();
        let capacity = site.nodes.iter().map(|n| if out.contains(&n.id) { 0 } else { whole(n.capacity) });
        let load = |v: &Volume| {
            let up = |(id, part): &(u32, f64)| {
                let place = place.get(id).copied().filter(|_| !out.contains(id))?;
                Some((place, *part))
            };
            let homes: Vec<(usize, f64)> = v.homes.iter().filter_map(up).collect();
            let reached = v.reserve * homes.iter().map(|h| h.1).sum::<f64>().min(1.0);
            let most = |part: f64| whole(reached).min(whole(v.reserve * part * site.spread) + 1);
            Load { reserve: whole(reached), homes: homes.iter().map(|(n, part)| (*n, most(*part))).collect() }
        };
        Network { site, capacity: capacity.collect(), loads: site.volumes.iter().map(load).collect() }
    }

    /// The most that can be carried of these amounts of volumes.
    fn carried(&self, amounts: &[(usize, u64)]) -> u64 {
        // Alike volumes are one: what each may put on a node adds up.
        let mut alike: BTreeMap<Vec<usize>, (u64, Vec<u64>)> = BTreeMap::new();
        for (v, amount) in amounts {
            let homes = &self.loads[*v].homes;
            let of = alike.entry(homes.iter().map(|h| h.0).collect()).or_default();
            of.0 += amount;
            of.1.resize(homes.len(), 0);
            of.1.iter_mut().zip(homes).for_each(|(sum, h)| *sum += h.1.min(*amount));
        }
        let mut g: DiGraph<(), u64> = DiGraph::new();
        let (source, sink) = (g.add_node(()), g.add_node(()));
        let nodes: Vec<NodeIndex> = self.capacity.iter().map(|_| g.add_node(())).collect();
        for (node, capacity) in nodes.iter().zip(&self.capacity) {
            g.add_edge(*node, sink, *capacity);
        }
        for (homes, (amount, most)) in alike {
            let volume = g.add_node(());
            g.add_edge(source, volume, amount);
            for (n, most) in homes.iter().zip(most) {
                g.add_edge(volume, nodes[*n], most);
            }
        }
        dinics(&g, source, sink).0
    }

    fn verdict(&self) -> Verdict {
        let all: Vec<(usize, u64)> = self.loads.iter().map(|l| l.reserve).enumerate().collect();
        let asked: u64 = all.iter().map(|a| a.1).sum();
        let carried = self.carried(&all);
        let units = |n: u64| n as f64 / PARTS;
        let reserves: f64 = self.site.volumes.iter().map(|v| v.reserve).sum();
        // Each home's most is rounded up: a thousandth for each volume is no shortage.
        let slack = self.loads.len() as u64;
        let short = if carried + slack >= asked { Vec::new() } else { self.gives_way(all) };
        let out_of_reach = (reserves - units(asked)).max(0.0);
        let out_of_reach = if out_of_reach < units(slack) { 0.0 } else { out_of_reach };
        Verdict { asked: units(asked), carried: units(carried.min(asked)), out_of_reach, short }
    }

    /// The heaviest first, each as far as it can go beside all before it.
    fn gives_way(&self, mut all: Vec<(usize, u64)>) -> Vec<(u64, f64)> {
        let volumes = &self.site.volumes;
        all.sort_by(|(a, _), (b, _)| {
            let (a, b) = (&volumes[*a], &volumes[*b]);
            b.weight.total_cmp(&a.weight).then(a.id.cmp(&b.id))
        });
        let mut placing = Placing::new(&self.capacity);
        let left = all.into_iter().map(|(v, amount)| (v, placing.put(&self.loads[v].homes, amount)));
        left.filter(|(_, left)| *left > 0).map(|(v, left)| (volumes[v].id, left as f64 / PARTS)).collect()
    }
}

/// Volumes with like homes: how much of them lies on each home, and may.
struct Alike {
    homes: Vec<usize>,
    on: Vec<u64>,
    most: Vec<u64>,
}

/// A flow that grows volume by volume: what is carried stays carried, and moves between homes to make room.
///
/// A flow solver would have to begin anew for each volume; this goes on from the last. Nodes from which
/// nothing leads to room any more are shut, since volumes that come later only take room away, so that a
/// search does not go again and again through what is full.
struct Placing {
    room: Vec<u64>,
    shut: Vec<bool>,
    alike: Vec<Alike>,
    of_homes: HashMap<Vec<usize>, usize>,
    /// By node: which have a home there.
    at: Vec<Vec<usize>>,
}

/// A step of a search: from which node, through whose volumes, from and to which of their homes.
type Step = (usize, usize, usize, usize);

impl Placing {
    fn new(capacity: &[u64]) -> Self {
        let (room, shut) = (capacity.to_vec(), vec![false; capacity.len()]);
        let at = vec![Vec::new(); capacity.len()];
        Placing { room, shut, alike: Vec::new(), of_homes: HashMap::new(), at }
    }

    /// Carries as much of a volume as it can; answers what is left over.
    fn put(&mut self, homes: &[(usize, u64)], amount: u64) -> u64 {
        let nodes: Vec<usize> = homes.iter().map(|h| h.0).collect();
        let next = self.alike.len();
        let g = *self.of_homes.entry(nodes.clone()).or_insert(next);
        if g == next {
            nodes.iter().for_each(|n| self.at[*n].push(g));
            let none = vec![0; nodes.len()];
            self.alike.push(Alike { homes: nodes, on: none.clone(), most: none });
        }
        // One more of these lets those before it gather more on a home that was as full of them as it may be;
        // what was shut behind that home no longer is.
        let a = &self.alike[g];
        let tight = a.homes.iter().enumerate().any(|(i, n)| a.on[i] == a.most[i] && !self.shut[*n]);
        if tight && a.homes.iter().enumerate().any(|(i, n)| a.on[i] > 0 && self.shut[*n]) {
            self.shut.fill(false);
        }
        self.alike[g].most.iter_mut().zip(homes).for_each(|(sum, h)| *sum += h.1.min(amount));
        let mut left = amount;
        while left > 0 {
            match self.search(g) {
                Some((first, path)) => left -= self.carry(g, first, &path, left),
                None => break,
            }
        }
        left
    }

    /// The shortest way from these volumes to a node with room: their home, and what must move on from there.
    fn search(&mut self, g: usize) -> Option<(usize, Vec<Step>)> {
        let mut from: HashMap<usize, Option<Step>> = HashMap::new();
        let mut seen: Vec<usize> = Vec::new();
        for (n, (on, most)) in
            self.alike[g].homes.iter().zip(self.alike[g].on.iter().zip(&self.alike[g].most))
        {
            if on < most && !self.shut[*n] && from.insert(*n, None).is_none() {
                seen.push(*n);
            }
        }
        let mut next = 0;
        while let Some(n) = seen.get(next).copied() {
            next += 1;
            if self.room[n] > 0 {
                let (mut path, mut at) = (Vec::new(), n);
                while let Some(Some(step)) = from.get(&at).copied() {
                    path.push(step);
                    at = step.0;
                }
                return Some((at, path));
            }
            for h in &self.at[n] {
                let a = &self.alike[*h];
                let here = a.homes.iter().position(|m| *m == n).expect("listed by its home");
                if a.on[here] == 0 {
                    continue;
                }
                for (there, m) in a.homes.iter().enumerate() {
                    if a.on[there] < a.most[there] && !self.shut[*m] && !from.contains_key(m) {
                        from.insert(*m, Some((n, *h, here, there)));
                        seen.push(*m);
                    }
                }
            }
        }
        seen.into_iter().for_each(|n| self.shut[n] = true);
        None
    }

    /// Carries along a way what its narrowest step lets through.
    fn carry(&mut self, g: usize, first: usize, path: &[Step], wanted: u64) -> u64 {
        let own = self.alike[g].homes.iter().position(|n| *n == first).expect("its own home");
        let end = path.first().map_or(first, |(_, h, _, there)| self.alike[*h].homes[*there]);
        let mut much = wanted.min(self.room[end]).min(self.alike[g].most[own] - self.alike[g].on[own]);
        for (_, h, here, there) in path {
            let a = &self.alike[*h];
            much = much.min(a.on[*here]).min(a.most[*there] - a.on[*there]);
        }
        self.alike[g].on[own] += much;
        for (_, h, here, there) in path {
            self.alike[*h].on[*here] -= much;
            self.alike[*h].on[*there] += much;
        }
        self.room[end] -= much;
        much
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
pub fn check(site: &Site, out: &BTreeSet<u32>) -> Verdict {
    Network::new(site, out).verdict()
}

/// The site as it is, with any one node out, and with any one zone out.
pub fn survey(site: &Site) -> Vec<(Out, Verdict)> {
    let zones: BTreeSet<u32> = site.nodes.iter().map(|n| n.zone).collect();
    let all = [Out::Nothing].into_iter().chain(site.nodes.iter().map(|n| Out::Node(n.id)));
    all.chain(zones.into_iter().map(Out::Zone)).map(|out| (out, check(site, &nodes_of(site, out)))).collect()
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
