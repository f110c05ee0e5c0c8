//! A maximum flow from groups of volumes to the nodes that have their extents, which is updated in
//! place as amounts and capacities change.
//!
//! Called by [`crate::planner`] volume by volume, and by [`crate::incremental_flow`] as a site
//! changes: [`Flow::offer`] raises what a group may put on each of its homes, [`Flow::fill`]
//! carries as much of an amount as possible along shortest augmenting paths (Ford and Fulkerson,
//! with breadth first search as by Edmonds and Karp). A solver would have to begin anew each time;
//! this goes on from what is carried. Changes after [`Flow::begin_trial`] are recorded, and
//! [`Flow::undo_trial`] takes them back.
//!
//! Amounts are whole thousandths of units a second. Memory: a few words for each home of each
//! group.

use std::collections::HashMap;

/// Volumes with the same homes: how much of them each home carries, and may carry.
#[derive(Debug, Clone)]
pub struct Group {
    /// Nodes, by their places.
    pub nodes: Vec<usize>,
    /// What each home carries.
    pub loads: Vec<u64>,
    /// The most that each home may carry.
    pub max_loads: Vec<u64>,
}

/// A home of a group.
#[derive(Debug, Clone, Copy)]
struct Edge {
    group: usize,
    /// Place among the group's homes.
    index: usize,
}

/// A former value, recorded during a trial.
#[derive(Debug, Clone, Copy)]
enum Former {
    Load { edge: Edge, value: u64 },
    MaxLoad { edge: Edge, value: u64 },
    Spare { node: usize, value: u64 },
}

/// A step of an augmenting path: load of a group moves from one of its homes to another.
#[derive(Debug, Clone, Copy)]
struct Step {
    /// The node of the first home.
    node: usize,
    group: usize,
    /// Places among the group's homes.
    from: usize,
    to: usize,
}

/// An augmenting path.
struct Path {
    /// The node on which the group's own load arrives.
    first: usize,
    /// The steps that make room there, the last one first.
    steps: Vec<Step>,
}

/// How a node was last reached.
#[derive(Debug, Clone, Copy, Default)]
struct Visit {
    /// Number of the search.
    search: u64,
    /// None: as a home of the group that is searched for.
    step: Option<Step>,
}

/// The flow; see the module.
#[derive(Debug, Clone, Default)]
pub struct Flow {
    /// By node: capacity that nothing uses.
    spare: Vec<u64>,
    groups: Vec<Group>,
    group_by_nodes: HashMap<Vec<usize>, usize>,
    /// By node: the homes that groups have there.
    edges_at: Vec<Vec<Edge>>,
    /// Nodes from which no path leads to spare capacity. True until capacity is freed or a group
    /// may put more somewhere, so that searches do not go through full nodes again and again.
    saturated: Vec<bool>,
    trial: Option<Vec<Former>>,
    visits: Vec<Visit>,
    /// Number of searches so far.
    searches: u64,
}

impl Flow {
    /// Nodes of these capacities, without groups.
    pub fn new(capacity: &[u64]) -> Self {
        let nodes = capacity.len();
        Flow {
            spare: capacity.to_vec(),
            edges_at: vec![Vec::new(); nodes],
            saturated: vec![false; nodes],
            visits: vec![Visit::default(); nodes],
            ..Flow::default()
        }
    }

    /// Capacity of a node that nothing uses.
    pub fn spare(&self, node: usize) -> u64 {
        self.spare[node]
    }

    /// A group, by its number.
    pub fn group(&self, group: usize) -> &Group {
        &self.groups[group]
    }

    /// Number of the group of volumes with those homes, which is added if it is new.
    pub fn group_of(&mut self, nodes: &[usize]) -> usize {
        if let Some(group) = self.group_by_nodes.get(nodes) {
            return *group;
        }
        let group = self.groups.len();
        self.group_by_nodes.insert(nodes.to_vec(), group);
        for (index, node) in nodes.iter().enumerate() {
            self.edges_at[*node].push(Edge { group, index });
        }
        self.groups.push(Group {
            nodes: nodes.to_vec(),
            loads: vec![0; nodes.len()],
            max_loads: vec![0; nodes.len()],
        });
        group
    }

    /// Groups with a home on a node.
    pub fn groups_at(&self, node: usize) -> impl Iterator<Item = usize> + '_ {
        self.edges_at[node].iter().map(|edge| edge.group)
    }

    /// Whether no path leads from a node to spare capacity, as far as was searched.
    pub fn is_saturated(&self, node: usize) -> bool {
        self.saturated[node]
    }

    /// Sets the most that a group may put on each of its homes; what they carry beyond that is
    /// dropped. Returns how much.
    pub fn set_max_loads(&mut self, group: usize, max_loads: &[u64]) -> u64 {
        let mut dropped = 0;
        for (index, max_load) in max_loads.iter().enumerate() {
            let edge = Edge { group, index };
            let former = self.groups[group].max_loads[index];
            if *max_load == former {
                continue;
            }
            self.record(Former::MaxLoad {
                edge,
                value: former,
            });
            self.groups[group].max_loads[index] = *max_load;
            let excess = self.groups[group].loads[index].saturating_sub(*max_load);
            dropped += excess;
            self.drop_load(edge, excess);
            if *max_load > former {
                self.reopen_behind(edge);
            }
        }
        dropped
    }

    /// A home may carry more of its group. Saturated nodes whose load of this group can now move
    /// there are not saturated any more.
    fn reopen_behind(&mut self, edge: Edge) {
        let group = &self.groups[edge.group];
        if self.saturated[group.nodes[edge.index]] {
            return;
        }
        let mut loads = group.nodes.iter().zip(&group.loads);
        if loads.any(|(node, load)| *load > 0 && self.saturated[*node]) {
            self.saturated.fill(false);
        }
    }

    /// Raises the most that a group may put on each of its homes.
    pub fn offer(&mut self, group: usize, more: impl Iterator<Item = u64>) {
        let former = &self.groups[group].max_loads;
        let raised: Vec<u64> = former
            .iter()
            .zip(more)
            .map(|(former, more)| former + more)
            .collect();
        self.set_max_loads(group, &raised);
    }

    /// Carries that much less of a group, wherever it lies.
    pub fn drop_some(&mut self, group: usize, mut amount: u64) {
        for index in 0..self.groups[group].loads.len() {
            let here = amount.min(self.groups[group].loads[index]);
            self.drop_load(Edge { group, index }, here);
            amount -= here;
        }
    }

    /// Changes a node's capacity; what has no place there any more is dropped. Returns how much of
    /// which group.
    pub fn set_capacity(&mut self, node: usize, former: u64, capacity: u64) -> Vec<(usize, u64)> {
        let used = former - self.spare[node];
        if used <= capacity {
            self.set_spare(node, capacity - used);
            return Vec::new();
        }
        let mut excess = used - capacity;
        let mut dropped = Vec::new();
        for edge in self.edges_at[node].clone() {
            let load = self.groups[edge.group].loads[edge.index];
            let here = excess.min(load);
            if here > 0 {
                self.set_load(edge, load - here);
                dropped.push((edge.group, here));
                excess -= here;
            }
        }
        self.set_spare(node, 0);
        dropped
    }

    /// Carries as much of a group as possible of an amount; returns what is left over.
    pub fn fill(&mut self, group: usize, amount: u64) -> u64 {
        let mut left = amount;
        while left > 0 {
            let Some(path) = self.search(group) else {
                break;
            };
            left -= self.augment(group, &path, left);
        }
        left
    }

    /// The shortest augmenting path from a group to a node with spare capacity.
    fn search(&mut self, group: usize) -> Option<Path> {
        self.searches += 1;
        let search = self.searches;
        let mut reached: Vec<usize> = Vec::new();
        let Group {
            nodes,
            loads,
            max_loads,
        } = &self.groups[group];
        for (index, node) in nodes.iter().enumerate() {
            if loads[index] < max_loads[index] && !self.saturated[*node] {
                self.visits[*node] = Visit { search, step: None };
                reached.push(*node);
            }
        }
        let mut next = 0;
        while let Some(node) = reached.get(next).copied() {
            next += 1;
            if self.spare[node] > 0 {
                return Some(self.path_to(node));
            }
            self.visit_neighbours(node, search, &mut reached);
        }
        for node in reached {
            self.saturated[node] = true;
        }
        None
    }

    /// Reaches the nodes to which load of this one can move.
    fn visit_neighbours(&mut self, node: usize, search: u64, reached: &mut Vec<usize>) {
        for edge in &self.edges_at[node] {
            let group = &self.groups[edge.group];
            if group.loads[edge.index] == 0 {
                continue;
            }
            for (to, other) in group.nodes.iter().enumerate() {
                let is_new = self.visits[*other].search != search;
                let is_open = group.loads[to] < group.max_loads[to] && !self.saturated[*other];
                if is_new && is_open {
                    let step = Step {
                        node,
                        group: edge.group,
                        from: edge.index,
                        to,
                    };
                    self.visits[*other] = Visit {
                        search,
                        step: Some(step),
                    };
                    reached.push(*other);
                }
            }
        }
    }

    fn path_to(&self, end: usize) -> Path {
        let mut steps = Vec::new();
        let mut first = end;
        while let Some(step) = self.visits[first].step {
            steps.push(step);
            first = step.node;
        }
        Path { first, steps }
    }

    /// Carries along a path what its narrowest step lets through; returns how much.
    fn augment(&mut self, group: usize, path: &Path, wanted: u64) -> u64 {
        let own = &self.groups[group];
        let index = own
            .nodes
            .iter()
            .position(|node| *node == path.first)
            .expect("a path begins on a home of its group");
        let end = path
            .steps
            .first()
            .map_or(path.first, |step| self.groups[step.group].nodes[step.to]);
        let mut amount = wanted
            .min(self.spare[end])
            .min(own.max_loads[index] - own.loads[index]);
        for step in &path.steps {
            let moved = &self.groups[step.group];
            amount = amount
                .min(moved.loads[step.from])
                .min(moved.max_loads[step.to] - moved.loads[step.to]);
        }
        let own_home = Edge { group, index };
        self.set_load(own_home, self.load(own_home) + amount);
        for step in &path.steps {
            let from = Edge {
                group: step.group,
                index: step.from,
            };
            let to = Edge {
                group: step.group,
                index: step.to,
            };
            self.set_load(from, self.load(from) - amount);
            self.set_load(to, self.load(to) + amount);
        }
        self.set_spare(end, self.spare[end] - amount);
        amount
    }

    /// From here on all changes are recorded.
    pub fn begin_trial(&mut self) {
        self.trial = Some(Vec::new());
    }

    /// Takes back all changes since the trial began.
    pub fn undo_trial(&mut self) {
        for former in self.trial.take().unwrap_or_default().into_iter().rev() {
            match former {
                Former::Load { edge, value } => self.groups[edge.group].loads[edge.index] = value,
                Former::MaxLoad { edge, value } => {
                    self.groups[edge.group].max_loads[edge.index] = value
                }
                Former::Spare { node, value } => self.spare[node] = value,
            }
        }
        self.saturated.fill(false);
    }

    fn record(&mut self, former: Former) {
        if let Some(trial) = &mut self.trial {
            trial.push(former);
        }
    }

    fn load(&self, edge: Edge) -> u64 {
        self.groups[edge.group].loads[edge.index]
    }

    fn set_load(&mut self, edge: Edge, load: u64) {
        let value = self.load(edge);
        self.record(Former::Load { edge, value });
        self.groups[edge.group].loads[edge.index] = load;
    }

    fn set_spare(&mut self, node: usize, spare: u64) {
        let value = self.spare[node];
        self.record(Former::Spare { node, value });
        if spare > value {
            self.saturated.fill(false);
        }
        self.spare[node] = spare;
    }

    fn drop_load(&mut self, edge: Edge, amount: u64) {
        if amount == 0 {
            return;
        }
        let node = self.groups[edge.group].nodes[edge.index];
        self.set_load(edge, self.load(edge) - amount);
        self.set_spare(node, self.spare[node] + amount);
    }
}
