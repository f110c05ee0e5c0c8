//! Whether all reservations of a site can be met, asked again and again as the site changes.
//!
//! Called by [`crate::admission`] and [`crate::moves`] as a site is built and changed
//! ([`IncrementalFlow::set_node`], [`IncrementalFlow::set_volume`]); [`IncrementalFlow::shortfall`]
//! then says what cannot be carried, and [`IncrementalFlow::without`] what could not if nodes were
//! out, at the cost of what lies there and not of the whole site. The answers are those of
//! [`crate::planner::check`], which works everything out anew; which volumes give way only that one
//! says. No I/O.
//!
//! Memory: each volume, and its group's homes in the flow.

use crate::flow::Flow;
use crate::planner::{to_parts, Load, Node, Site, Volume, PARTS};
use std::collections::{BTreeMap, BTreeSet, HashMap};

#[derive(Debug, Clone)]
struct SiteNode {
    node: Node,
    is_up: bool,
}

/// What cannot be carried: units a second of reservations.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Shortfall {
    /// Of what can be reached.
    pub short: f64,
    /// Of what lies on nodes that are out.
    pub out_of_reach: f64,
}

impl Shortfall {
    /// Whether more is missing than in another case, by more than `slack`, which rounding may lose.
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

/// What volumes of one group ask for, in parts.
#[derive(Debug, Clone, Default)]
struct Demand {
    amount: u64,
    /// The most that each home may carry.
    max_loads: Vec<u64>,
}

/// The flow of a site; see the module.
#[derive(Debug, Clone, Default)]
pub struct IncrementalFlow {
    spread: f64,
    flow: Flow,
    nodes: Vec<SiteNode>,
    /// Places of nodes, by number.
    places: HashMap<u32, usize>,
    volumes: BTreeMap<u64, PlacedVolume>,
    /// By group: its volumes.
    members: Vec<BTreeSet<u64>>,
    /// By group: what its volumes ask for in all.
    totals: Vec<u64>,
    /// By group: what of it is not carried, where that is not 0.
    unmet: BTreeMap<usize, u64>,
    /// The reservations of all volumes, reachable or not.
    reservations: u64,
}

impl IncrementalFlow {
    /// The flow of a site.
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
        let numbered = nodes.iter().enumerate();
        let places = numbered.map(|(place, node)| (node.id, place)).collect();
        let nodes = nodes
            .into_iter()
            .map(|node| SiteNode { node, is_up: true })
            .collect();
        IncrementalFlow {
            spread,
            flow: Flow::new(&capacity),
            nodes,
            places,
            ..IncrementalFlow::default()
        }
    }

    /// What rounding may lose, units a second: a thousandth for each volume.
    pub fn slack(&self) -> f64 {
        self.volumes.len() as f64 / PARTS
    }

    /// All nodes.
    pub fn nodes(&self) -> impl Iterator<Item = &Node> {
        self.nodes.iter().map(|site_node| &site_node.node)
    }

    /// How far a volume's load may gather on some of its homes: see [`Site`].
    pub fn spread(&self) -> f64 {
        self.spread
    }

    /// What cannot be carried.
    pub fn shortfall(&self) -> Shortfall {
        let short: u64 = self.unmet.values().sum();
        let total: u64 = self.totals.iter().sum();
        let out_of_reach = self.reservations.saturating_sub(total) as f64 / PARTS;
        Shortfall {
            short: short as f64 / PARTS,
            out_of_reach: if out_of_reach < self.slack() {
                0.0
            } else {
                out_of_reach
            },
        }
    }

    /// What could not be carried with these nodes out as well.
    pub fn without(&mut self, out: &BTreeSet<u32>) -> Shortfall {
        let places: Vec<usize> = out
            .iter()
            .filter_map(|id| self.places.get(id).copied())
            .filter(|place| self.nodes[*place].is_up)
            .collect();
        let groups: BTreeSet<usize> = places
            .iter()
            .flat_map(|place| self.flow.groups_at(*place))
            .collect();
        let former_totals: Vec<(usize, u64)> = groups
            .iter()
            .map(|group| (*group, self.totals[*group]))
            .collect();
        let former_unmet = self.unmet.clone();
        self.flow.begin_trial();
        for place in &places {
            self.switch(*place, false);
        }
        for group in &groups {
            let mut sum = self.no_demand(*group);
            for id in &self.members[*group] {
                sum.add(&self.demand(&self.volumes[id].volume));
            }
            self.totals[*group] = sum.amount;
            self.flow.set_max_loads(*group, &sum.max_loads);
        }
        for group in groups {
            self.trim(group);
        }
        self.refill();
        let shortfall = self.shortfall();
        self.flow.undo_trial();
        for place in places {
            self.nodes[place].is_up = true;
        }
        for (group, total) in former_totals {
            self.totals[group] = total;
        }
        self.unmet = former_unmet;
        shortfall
    }

    /// Takes a node out, or back in, for good.
    pub fn set_up(&mut self, id: u32, up: bool) {
        let Some(place) = self.places.get(&id).copied() else {
            return;
        };
        if self.nodes[place].is_up != up {
            self.switch(place, up);
            self.reload(place);
        }
    }

    /// Adds a node, or changes its zone or capacity; one without capacity stays known and carries
    /// nothing.
    pub fn set_node(&mut self, node: Node) {
        let Some(place) = self.places.get(&node.id).copied() else {
            return self.add_node(node);
        };
        let former = to_parts(self.nodes[place].node.capacity);
        let capacity = to_parts(node.capacity);
        self.nodes[place].node = node;
        if !self.nodes[place].is_up {
            return;
        }
        for (group, _) in self.flow.set_capacity(place, former, capacity) {
            self.trim(group);
        }
        self.refill();
    }

    /// Builds the flow anew, since its tables are as long as there are nodes; rare.
    fn add_node(&mut self, node: Node) {
        let down: Vec<u32> = self
            .nodes
            .iter()
            .filter(|site_node| !site_node.is_up)
            .map(|site_node| site_node.node.id)
            .collect();
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

    /// Adds or changes a volume; None: it is removed.
    pub fn set_volume(&mut self, id: u64, to: Option<Volume>) {
        self.set_volumes([(id, to)]);
    }

    /// Sets many volumes, at the cost of one search for spare capacity where there is enough.
    pub fn set_volumes(&mut self, volumes: impl IntoIterator<Item = (u64, Option<Volume>)>) {
        let mut changed_groups = BTreeSet::new();
        for (id, to) in volumes {
            if let Some(former) = self.volumes.remove(&id) {
                changed_groups.insert(former.group);
                self.remove_demand(id, &former);
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

    /// Nodes with data of a volume.
    pub fn nodes_of_volume(&self, id: u64) -> impl Iterator<Item = u32> + '_ {
        let placement = self.volumes.get(&id).map(|placed| &placed.volume.placement);
        placement.into_iter().flatten().map(|(node, _)| *node)
    }

    /// Units a second that a node could carry in addition.
    pub fn spare(&self, id: u32) -> f64 {
        let place = self.places.get(&id);
        place.map_or(0.0, |place| self.flow.spare(*place) as f64 / PARTS)
    }

    /// Whether no path leads from a node to spare capacity, while something is not carried.
    pub fn is_tight(&self, id: u32) -> bool {
        let place = self.places.get(&id);
        !self.unmet.is_empty() && place.is_some_and(|place| self.flow.is_saturated(*place))
    }

    /// What each node carries of all volumes but these; volumes with the same homes are carried
    /// alike.
    pub fn carried_except(&self, left_out: &BTreeSet<u64>) -> BTreeMap<u32, f64> {
        let mut carried: BTreeMap<u32, f64> = BTreeMap::new();
        for (number, members) in self.members.iter().enumerate() {
            if self.totals[number] == 0 {
                continue;
            }
            let others: u64 = members
                .iter()
                .filter(|id| !left_out.contains(id))
                .map(|id| self.volumes[id].demand.amount)
                .sum();
            let part = others as f64 / self.totals[number] as f64;
            let group = self.flow.group(number);
            for (place, load) in group.nodes.iter().zip(&group.loads) {
                let sum = carried.entry(self.nodes[*place].node.id).or_default();
                *sum += *load as f64 / PARTS * part;
            }
        }
        carried
    }

    fn switch(&mut self, place: usize, up: bool) {
        let capacity = to_parts(self.nodes[place].node.capacity);
        let (from, to) = if up { (0, capacity) } else { (capacity, 0) };
        self.nodes[place].is_up = up;
        self.flow.set_capacity(place, from, to);
    }

    /// Works out the demand of all volumes with a home on a node anew.
    fn reload(&mut self, place: usize) {
        let groups: Vec<usize> = self.flow.groups_at(place).collect();
        for group in groups {
            let mut sum = self.no_demand(group);
            for id in self.members[group].clone() {
                let demand = self.demand(&self.volumes[&id].volume);
                sum.add(&demand);
                self.volumes.get_mut(&id).expect("a member").demand = demand;
            }
            self.totals[group] = sum.amount;
            self.flow.set_max_loads(group, &sum.max_loads);
            self.trim(group);
        }
        self.refill();
    }

    fn no_demand(&self, group: usize) -> Demand {
        Demand {
            amount: 0,
            max_loads: vec![0; self.flow.group(group).nodes.len()],
        }
    }

    fn demand(&self, volume: &Volume) -> Demand {
        let known: Vec<(usize, f64)> = volume
            .placement
            .iter()
            .filter_map(|(id, part)| Some((self.places.get(id).copied()?, *part)))
            .collect();
        let up = known
            .iter()
            .copied()
            .filter(|(place, _)| self.nodes[*place].is_up)
            .collect();
        let load = Load::of(volume, up, self.spread);
        let max_load = |place: usize| {
            let max_load = load.max_loads.iter().find(|max_load| max_load.0 == place);
            max_load.map_or(0, |(_, max_load)| *max_load)
        };
        Demand {
            amount: load.reservation,
            max_loads: known.iter().map(|(place, _)| max_load(*place)).collect(),
        }
    }

    /// Adds a volume, with nothing of it carried; returns its group.
    fn place(&mut self, volume: Volume) -> usize {
        let nodes: Vec<usize> = volume
            .placement
            .iter()
            .filter_map(|(id, _)| self.places.get(id).copied())
            .collect();
        let group = self.flow.group_of(&nodes);
        if group == self.members.len() {
            self.members.push(BTreeSet::new());
            self.totals.push(0);
        }
        let demand = self.demand(&volume);
        self.flow.offer(group, demand.max_loads.iter().copied());
        self.members[group].insert(volume.id);
        self.totals[group] += demand.amount;
        self.reservations += to_parts(volume.reservation);
        let placed = PlacedVolume {
            group,
            demand,
            volume,
        };
        self.volumes.insert(placed.volume.id, placed);
        group
    }

    /// Removes what a volume, which is not there any more, has added to its group.
    fn remove_demand(&mut self, id: u64, former: &PlacedVolume) {
        let group = former.group;
        self.members[group].remove(&id);
        self.reservations -= to_parts(former.volume.reservation);
        self.totals[group] -= former.demand.amount;
        let max_loads = &self.flow.group(group).max_loads;
        let lowered: Vec<u64> = max_loads
            .iter()
            .zip(&former.demand.max_loads)
            .map(|(sum, own)| sum - own)
            .collect();
        self.flow.set_max_loads(group, &lowered);
    }

    /// Drops what a group carries beyond what it asks for, and notes what it does not carry.
    fn trim(&mut self, group: usize) {
        let carried: u64 = self.flow.group(group).loads.iter().sum();
        let total = self.totals[group];
        self.flow.drop_some(group, carried.saturating_sub(total));
        match total.saturating_sub(carried) {
            0 => self.unmet.remove(&group),
            left => self.unmet.insert(group, left),
        };
    }

    /// Carries as much as possible of what is not carried.
    fn refill(&mut self) {
        for (group, amount) in std::mem::take(&mut self.unmet) {
            let left = self.flow.fill(group, amount);
            if left > 0 {
                self.unmet.insert(group, left);
            }
        }
    }
}

impl Demand {
    fn add(&mut self, other: &Demand) {
        self.amount += other.amount;
        for (sum, max_load) in self.max_loads.iter_mut().zip(&other.max_loads) {
            *sum += max_load;
        }
    }
}
