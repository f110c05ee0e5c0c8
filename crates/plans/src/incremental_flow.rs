//! Whether promises hold, asked again and again as a site changes.
//!
//! Called as a site is built and changed, `set_node` and `set_volume`; `shortfall` then says what cannot be
//! carried, and `without` what could not if nodes were out, at the cost of what lies there and not of the
//! whole site. The answers are those of [`crate::planner::check`], which works everything out anew; who gives
//! way only that one says. Without input or output.
//!
//! Memory: each volume, and its group's homes in the flow.

use crate::flow::Flow;
use crate::planner::{snapshot, Load, Node, Site, Volume, PARTS};
use std::collections::{BTreeMap, BTreeSet, HashMap};

#[derive(Debug, Clone)]
struct Spot {
    node: Node,
    up: bool,
}

/// What cannot be carried: units a second of reserves.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Shortfall {
    /// Of what can be reached.
    pub short: f64,
    /// Of what lies on nodes that are out.
    pub out_of_reach: f64,
}

impl Shortfall {
    /// Whether more is missing than in another case, beyond what is lost to rounding.
    pub fn exceeds(&self, other: &Shortfall, slack: f64) -> bool {
        self.short > other.short + slack || self.out_of_reach > other.out_of_reach + slack
    }
}

#[derive(Debug, Clone)]
struct Held {
    volume: Volume,
    group: usize,
    amount: u64,
    most: Vec<u64>,
}

#[derive(Debug, Clone, Default)]
pub struct IncrementalFlow {
    spread: f64,
    flow: Flow,
    spots: Vec<Spot>,
    place: HashMap<u32, usize>,
    volumes: BTreeMap<u64, Held>,
    /// By group: its volumes, what they ask for in all, and what of it is not carried.
    members: Vec<BTreeSet<u64>>,
    total: Vec<u64>,
    unmet: BTreeMap<usize, u64>,
    reserves: u64,
}

impl IncrementalFlow {
    /// ```
    /// use grebecleat_plans::planner::{Node, Site, Volume};
    /// use grebecleat_plans::incremental_flow::IncrementalFlow;
    /// let node = |id| Node { id, zone: 1, capacity: 100.0 };
    /// let volume = |id, reserve| Volume { id, reserve, weight: 1.0, homes: vec![(1, 0.5), (2, 0.5)] };
    /// let mut s = IncrementalFlow::of(&Site { nodes: vec![node(1), node(2)], volumes: vec![volume(7, 150.0)], spread: 2.0 });
    /// assert_eq!(s.shortfall().short, 0.0);
    /// assert_eq!(s.without(&[2].into()).out_of_reach, 75.0);
    /// s.set_volume(8, Some(volume(8, 60.0)));
    /// assert_eq!(s.shortfall().short, 10.0);
    /// ```
    pub fn of(site: &Site) -> IncrementalFlow {
        let mut s = IncrementalFlow::new(site.spread, site.nodes.clone());
        s.set_volumes(site.volumes.iter().map(|v| (v.id, Some(v.clone()))));
        s
    }

    fn new(spread: f64, nodes: Vec<Node>) -> IncrementalFlow {
        let flow = Flow::new(
            &nodes
                .iter()
                .map(|n| snapshot(n.capacity))
                .collect::<Vec<_>>(),
        );
        let place = nodes.iter().enumerate().map(|(i, n)| (n.id, i)).collect();
        let spots = nodes
            .into_iter()
            .map(|node| Spot { node, up: true })
            .collect();
        IncrementalFlow {
            spread,
            flow,
            spots,
            place,
            ..IncrementalFlow::default()
        }
    }

    /// What rounding may lose: a thousandth for each volume.
    pub fn slack(&self) -> f64 {
        self.volumes.len() as f64 / PARTS
    }

    pub fn nodes(&self) -> impl Iterator<Item = &Node> {
        self.spots.iter().map(|s| &s.node)
    }

    pub fn shortfall(&self) -> Shortfall {
        let (short, total) = (
            self.unmet.values().sum::<u64>(),
            self.total.iter().sum::<u64>(),
        );
        let out_of_reach = self.reserves.saturating_sub(total) as f64 / PARTS;
        let out_of_reach = if out_of_reach < self.slack() {
            0.0
        } else {
            out_of_reach
        };
        Shortfall {
            short: short as f64 / PARTS,
            out_of_reach,
        }
    }

    /// What would be missing with these nodes out as well.
    pub fn without(&mut self, out: &BTreeSet<u32>) -> Shortfall {
        let places: Vec<usize> = out
            .iter()
            .filter_map(|id| self.place.get(id).copied())
            .collect();
        let places: Vec<usize> = places.into_iter().filter(|p| self.spots[*p].up).collect();
        let last_changed: BTreeSet<usize> = places
            .iter()
            .flat_map(|p| self.flow.groups_at(*p))
            .collect();
        let totals: Vec<(usize, u64)> = last_changed.iter().map(|g| (*g, self.total[*g])).collect();
        let unmet = self.unmet.clone();
        self.flow.mark();
        places.iter().for_each(|p| self.switch(*p, false));
        for g in &last_changed {
            let (mut total, mut most) = (0, vec![0; self.flow.group(*g).homes.len()]);
            for id in &self.members[*g] {
                let (amount, each) = self.load(&self.volumes[id].volume);
                total += amount;
                most.iter_mut().zip(each).for_each(|(sum, m)| *sum += m);
            }
            self.total[*g] = total;
            self.flow.set_most(*g, &most);
        }
        last_changed.iter().for_each(|g| self.settle(*g));
        self.refill();
        let shortfall = self.shortfall();
        self.flow.back();
        places.iter().for_each(|p| self.spots[*p].up = true);
        totals
            .into_iter()
            .for_each(|(g, total)| self.total[g] = total);
        self.unmet = unmet;
        shortfall
    }

    /// Takes nodes out, or back in, for good.
    pub fn set_up(&mut self, id: u32, up: bool) {
        let Some(place) = self
            .place
            .get(&id)
            .copied()
            .filter(|p| self.spots[*p].up != up)
        else {
            return;
        };
        self.switch(place, up);
        self.reload(place);
    }

    /// A node's figures, or a new node; one without capacity stays known and carries nothing.
    pub fn set_node(&mut self, node: Node) {
        match self.place.get(&node.id).copied() {
            None => {
                let mut nodes: Vec<Node> = self.spots.iter().map(|s| s.node.clone()).collect();
                let down: Vec<u32> = self
                    .spots
                    .iter()
                    .filter(|s| !s.up)
                    .map(|s| s.node.id)
                    .collect();
                nodes.push(node);
                // Rare, and the flow's tables are as long as there are nodes.
                let volumes = self.volumes.values().map(|h| h.volume.clone()).collect();
                *self = IncrementalFlow::of(&Site {
                    nodes,
                    volumes,
                    spread: self.spread,
                });
                down.into_iter().for_each(|id| self.set_up(id, false));
            }
            Some(place) => {
                let was = snapshot(self.spots[place].node.capacity);
                self.spots[place].node = node;
                if self.spots[place].up {
                    let is = snapshot(self.spots[place].node.capacity);
                    let dropped = self.flow.set_capacity(place, was, is);
                    dropped.into_iter().for_each(|(g, _)| self.settle(g));
                    self.refill();
                }
            }
        }
    }

    /// A volume's promise and homes; None: it is no more.
    pub fn set_volume(&mut self, id: u64, to: Option<Volume>) {
        self.set_volumes([(id, to)]);
    }

    /// Many at once, at the cost of one search for room where there is enough.
    pub fn set_volumes(&mut self, all: impl IntoIterator<Item = (u64, Option<Volume>)>) {
        let mut last_changed = BTreeSet::new();
        for (id, to) in all {
            if let Some(old) = self.volumes.remove(&id) {
                let g = old.group;
                self.members[g].remove(&id);
                self.reserves -= snapshot(old.volume.reserve);
                self.total[g] -= old.amount;
                let less = self
                    .flow
                    .group(g)
                    .most
                    .iter()
                    .zip(&old.most)
                    .map(|(m, l)| m - l);
                let less: Vec<u64> = less.collect();
                self.flow.set_most(g, &less);
                last_changed.insert(g);
            }
            last_changed.extend(to.map(|v| self.lay(v)));
        }
        last_changed.into_iter().for_each(|g| self.settle(g));
        self.refill();
    }

    /// Nodes that hold a volume.
    pub fn homes_of(&self, id: u64) -> impl Iterator<Item = u32> + '_ {
        self.volumes
            .get(&id)
            .into_iter()
            .flat_map(|h| h.volume.homes.iter().map(|h| h.0))
    }

    /// Units a second that a node could carry beside what it does.
    pub fn room(&self, id: u32) -> f64 {
        self.place
            .get(&id)
            .map_or(0.0, |p| self.flow.room(*p) as f64 / PARTS)
    }

    /// Whether nothing leads from there to room, while something is not carried.
    pub fn is_tight(&self, id: u32) -> bool {
        !self.unmet.is_empty() && self.place.get(&id).is_some_and(|p| self.flow.is_shut(*p))
    }

    /// What each node carries of all volumes but these: of those with like homes, alike.
    pub fn carried_beside(&self, left_out: &BTreeSet<u64>) -> BTreeMap<u32, f64> {
        let mut carried: BTreeMap<u32, f64> = BTreeMap::new();
        for (g, members) in self
            .members
            .iter()
            .enumerate()
            .filter(|(g, _)| self.total[*g] > 0)
        {
            let exclusion_reason: u64 = members
                .iter()
                .filter(|id| !left_out.contains(id))
                .map(|id| self.volumes[id].amount)
                .sum();
            let quota = exclusion_reason as f64 / self.total[g] as f64;
            let group = self.flow.group(g);
            for (n, on) in group.homes.iter().zip(&group.on) {
                *carried.entry(self.spots[*n].node.id).or_default() += *on as f64 / PARTS * quota;
            }
        }
        carried
    }

    pub fn spread(&self) -> f64 {
        self.spread
    }

    fn switch(&mut self, place: usize, up: bool) {
        let capacity = snapshot(self.spots[place].node.capacity);
        let (was, is) = if up { (0, capacity) } else { (capacity, 0) };
        self.spots[place].up = up;
        self.flow.set_capacity(place, was, is);
    }

    /// Works the loads of all volumes with a home there out anew.
    fn reload(&mut self, place: usize) {
        let groups: Vec<usize> = self.flow.groups_at(place).collect();
        for g in groups {
            let (mut total, mut most) = (0, vec![0; self.flow.group(g).homes.len()]);
            for id in self.members[g].clone() {
                let (amount, each) = self.load(&self.volumes[&id].volume);
                total += amount;
                most.iter_mut().zip(&each).for_each(|(sum, m)| *sum += m);
                let held = self.volumes.get_mut(&id).expect("a member");
                (held.amount, held.most) = (amount, each);
            }
            self.total[g] = total;
            self.flow.set_most(g, &most);
            self.settle(g);
        }
        self.refill();
    }

    /// What a volume asks for, and the most that each of its homes may carry.
    fn load(&self, v: &Volume) -> (u64, Vec<u64>) {
        let known = |(id, quota): &(u32, f64)| Some((self.place.get(id).copied()?, *quota));
        let homes: Vec<(usize, f64)> = v.homes.iter().filter_map(known).collect();
        let up = homes
            .iter()
            .copied()
            .filter(|h| self.spots[h.0].up)
            .collect();
        let load = Load::of(v, up, self.spread);
        let most = |place| load.homes.iter().find(|h| h.0 == place).map_or(0, |h| h.1);
        (load.reserve, homes.iter().map(|h| most(h.0)).collect())
    }

    /// Makes a volume known, with nothing of it carried.
    fn lay(&mut self, v: Volume) -> usize {
        let homes: Vec<usize> = v
            .homes
            .iter()
            .filter_map(|h| self.place.get(&h.0).copied())
            .collect();
        let g = self.flow.group_of(&homes);
        if g == self.members.len() {
            self.members.push(BTreeSet::new());
            self.total.push(0);
        }
        let (amount, most) = self.load(&v);
        self.flow.offer(g, most.iter().copied());
        self.members[g].insert(v.id);
        self.total[g] += amount;
        self.reserves += snapshot(v.reserve);
        self.volumes.insert(
            v.id,
            Held {
                volume: v,
                group: g,
                amount,
                most,
            },
        );
        g
    }

    /// Drops what a group carries beyond what it asks for, and notes what it does not carry.
    fn settle(&mut self, g: usize) {
        let carried: u64 = self.flow.group(g).on.iter().sum();
        let total = self.total[g];
        self.flow.drop_some(g, carried.saturating_sub(total));
        match total.saturating_sub(carried) {
            0 => self.unmet.remove(&g),
            left => self.unmet.insert(g, left),
        };
    }

    /// Carries what it can of what is not carried.
    fn refill(&mut self) {
        for (g, left) in std::mem::take(&mut self.unmet) {
            let left = self.flow.fill(g, left);
            self.unmet.extend((left > 0).then_some((g, left)));
        }
    }
}
