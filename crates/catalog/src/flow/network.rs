//! The loads and capacities of the flow network, with a record of changes during a trial.
//!
//! Owned by [`crate::flow`]. The state is the groups with their loads, and the spare capacity of each
//! node. During a trial, the former values are recorded, and [`Network::undo_trial`] restores them.

use std::collections::HashMap;

/// Volumes on the same nodes: the load of these volumes on each node, and its maximum.
#[derive(Debug, Clone)]
pub struct Group {
    /// Indexes of the nodes.
    pub nodes: Vec<usize>,
    /// The load on each of these nodes.
    pub loads: Vec<u64>,
    /// The maximum load on each of these nodes.
    pub max_loads: Vec<u64>,
}

/// An edge from a group to one of its nodes.
#[derive(Debug, Clone, Copy)]
pub(super) struct Edge {
    /// The group.
    pub group: usize,
    /// Index among the group's nodes.
    pub index: usize,
}

/// A former value, recorded during a trial.
#[derive(Debug, Clone, Copy)]
enum Former {
    Load { edge: Edge, value: u64 },
    MaxLoad { edge: Edge, value: u64 },
    Spare { node: usize, value: u64 },
}

/// Groups, edges and nodes. See the module documentation.
#[derive(Debug, Clone, Default)]
pub(super) struct Network {
    /// Unused capacity, by node.
    spare: Vec<u64>,
    groups: Vec<Group>,
    group_by_nodes: HashMap<Vec<usize>, usize>,
    /// The edges that lead to each node, by node.
    edges_to: Vec<Vec<Edge>>,
    /// The former values of changes during the trial, oldest first; `None` outside a trial.
    trial: Option<Vec<Former>>,
}

impl Network {
    /// Creates a network of nodes with these capacities, without groups.
    pub fn new(capacity: &[u64]) -> Self {
        Network {
            spare: capacity.to_vec(),
            edges_to: vec![Vec::new(); capacity.len()],
            ..Network::default()
        }
    }

    /// Unused capacity of a node.
    pub fn spare(&self, node: usize) -> u64 {
        self.spare[node]
    }

    /// A group, by its number.
    pub fn group(&self, group: usize) -> &Group {
        &self.groups[group]
    }

    /// The edges that lead to a node.
    pub fn edges_to(&self, node: usize) -> &[Edge] {
        &self.edges_to[node]
    }

    /// The node that an edge leads to.
    pub fn node(&self, edge: Edge) -> usize {
        self.groups[edge.group].nodes[edge.index]
    }

    /// The load on an edge.
    pub fn load(&self, edge: Edge) -> u64 {
        self.groups[edge.group].loads[edge.index]
    }

    /// The maximum load on an edge.
    pub fn max_load(&self, edge: Edge) -> u64 {
        self.groups[edge.group].max_loads[edge.index]
    }

    /// Number of the group of volumes on these nodes. The group is added if it does not exist.
    pub fn group_of(&mut self, nodes: &[usize]) -> usize {
        if let Some(group) = self.group_by_nodes.get(nodes) {
            return *group;
        }
        let group = self.groups.len();
        self.group_by_nodes.insert(nodes.to_vec(), group);
        for (index, node) in nodes.iter().enumerate() {
            self.edges_to[*node].push(Edge { group, index });
        }
        self.groups.push(Group {
            nodes: nodes.to_vec(),
            loads: vec![0; nodes.len()],
            max_loads: vec![0; nodes.len()],
        });
        group
    }

    /// Sets the load on an edge.
    pub fn set_load(&mut self, edge: Edge, load: u64) {
        let value = self.load(edge);
        self.record(Former::Load { edge, value });
        self.groups[edge.group].loads[edge.index] = load;
    }

    /// Sets the maximum load on an edge.
    pub fn set_max_load(&mut self, edge: Edge, max_load: u64) {
        let value = self.max_load(edge);
        self.record(Former::MaxLoad { edge, value });
        self.groups[edge.group].max_loads[edge.index] = max_load;
    }

    /// Sets the unused capacity of a node.
    pub fn set_spare(&mut self, node: usize, spare: u64) {
        let value = self.spare[node];
        self.record(Former::Spare { node, value });
        self.spare[node] = spare;
    }

    /// Starts a trial: from now on, changes of loads and capacities are recorded.
    pub fn begin_trial(&mut self) {
        self.trial = Some(Vec::new());
    }

    /// Ends the trial and reverts all changes since it began.
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
    }

    fn record(&mut self, former: Former) {
        if let Some(trial) = &mut self.trial {
            trial.push(former);
        }
    }
}
