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
    pub homes: Vec<usize>,
    /// What each home carries.
    pub loads: Vec<u64>,
    /// The most that each home may carry.
    pub max_loads: Vec<u64>,
}

/// A home of a group.
#[derive(Debug, Clone, Copy)]
struct Home {
    group: usize,
    /// Place among the group's homes.
    place: usize,
}

/// A former value, recorded during a trial.
#[derive(Debug, Clone, Copy)]
enum Former {
    Load { home: Home, value: u64 },
    MaxLoad { home: Home, value: u64 },
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
    group_by_homes: HashMap<Vec<usize>, usize>,
    /// By node: the homes that groups have there.
    homes_at: Vec<Vec<Home>>,
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
            homes_at: vec![Vec::new(); nodes],
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
    pub fn group_of(&mut self, homes: &[usize]) -> usize {
        if let Some(group) = self.group_by_homes.get(homes) {
            return *group;
        }
        let group = self.groups.len();
        self.group_by_homes.insert(homes.to_vec(), group);
        for (place, node) in homes.iter().enumerate() {
            self.homes_at[*node].push(Home { group, place });
        }
        self.groups.push(Group {
            homes: homes.to_vec(),
            loads: vec![0; homes.len()],
            max_loads: vec![0; homes.len()],
        });
        group
    }

    /// Groups with a home on a node.
    pub fn groups_at(&self, node: usize) -> impl Iterator<Item = usize> + '_ {
        self.homes_at[node].iter().map(|home| home.group)
    }

    /// Whether no path leads from a node to spare capacity, as far as was searched.
    pub fn is_saturated(&self, node: usize) -> bool {
        self.saturated[node]
    }

    /// Sets the most that a group may put on each of its homes; what they carry beyond that is
    /// dropped. Returns how much.
    pub fn set_max_loads(&mut self, group: usize, max_loads: &[u64]) -> u64 {
        let mut dropped = 0;
        for (place, max_load) in max_loads.iter().enumerate() {
            let home = Home { group, place };
            let former = self.groups[group].max_loads[place];
            if *max_load == former {
                continue;
            }
            self.record(Former::MaxLoad {
                home,
                value: former,
            });
            self.groups[group].max_loads[place] = *max_load;
            let excess = self.groups[group].loads[place].saturating_sub(*max_load);
            dropped += excess;
            self.drop_load(home, excess);
            if *max_load > former {
                self.reopen_behind(home);
            }
        }
        dropped
    }

    /// A home may carry more of its group. Saturated nodes whose load of this group can now move
    /// there are not saturated any more.
    fn reopen_behind(&mut self, home: Home) {
        let group = &self.groups[home.group];
        if self.saturated[group.homes[home.place]] {
            return;
        }
        let mut loads = group.homes.iter().zip(&group.loads);
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
        for place in 0..self.groups[group].loads.len() {
            let here = amount.min(self.groups[group].loads[place]);
            self.drop_load(Home { group, place }, here);
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
        for home in self.homes_at[node].clone() {
            let load = self.groups[home.group].loads[home.place];
            let here = excess.min(load);
            if here > 0 {
                self.set_load(home, load - here);
                dropped.push((home.group, here));
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
            homes,
            loads,
            max_loads,
        } = &self.groups[group];
        for (place, node) in homes.iter().enumerate() {
            if loads[place] < max_loads[place] && !self.saturated[*node] {
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
        for home in &self.homes_at[node] {
            let group = &self.groups[home.group];
            if group.loads[home.place] == 0 {
                continue;
            }
            for (to, other) in group.homes.iter().enumerate() {
                let is_new = self.visits[*other].search != search;
                let is_open = group.loads[to] < group.max_loads[to] && !self.saturated[*other];
                if is_new && is_open {
                    let step = Step {
                        node,
                        group: home.group,
                        from: home.place,
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
        let place = own
            .homes
            .iter()
            .position(|node| *node == path.first)
            .expect("a path begins on a home of its group");
        let end = path
            .steps
            .first()
            .map_or(path.first, |step| self.groups[step.group].homes[step.to]);
        let mut amount = wanted
            .min(self.spare[end])
            .min(own.max_loads[place] - own.loads[place]);
        for step in &path.steps {
            let moved = &self.groups[step.group];
            amount = amount
                .min(moved.loads[step.from])
                .min(moved.max_loads[step.to] - moved.loads[step.to]);
        }
        let own_home = Home { group, place };
        self.set_load(own_home, self.load(own_home) + amount);
        for step in &path.steps {
            let from = Home {
                group: step.group,
                place: step.from,
            };
            let to = Home {
                group: step.group,
                place: step.to,
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
                Former::Load { home, value } => self.groups[home.group].loads[home.place] = value,
                Former::MaxLoad { home, value } => {
                    self.groups[home.group].max_loads[home.place] = value
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

    fn load(&self, home: Home) -> u64 {
        self.groups[home.group].loads[home.place]
    }

    fn set_load(&mut self, home: Home, load: u64) {
        let value = self.load(home);
        self.record(Former::Load { home, value });
        self.groups[home.group].loads[home.place] = load;
    }

    fn set_spare(&mut self, node: usize, spare: u64) {
        let value = self.spare[node];
        self.record(Former::Spare { node, value });
        if spare > value {
            self.saturated.fill(false);
        }
        self.spare[node] = spare;
    }

    fn drop_load(&mut self, home: Home, amount: u64) {
        if amount == 0 {
            return;
        }
        let node = self.groups[home.group].homes[home.place];
        self.set_load(home, self.load(home) - amount);
        self.set_spare(node, self.spare[node] + amount);
    }
}
