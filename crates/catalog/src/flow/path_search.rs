//! The search for augmenting paths: breadth first, from a group to a node with spare capacity.
//!
//! Owned by [`crate::flow`]. State: the nodes from which no path leads to spare capacity, and the
//! marks of the present search. Memory: two entries for each node.

use super::network::{Edge, Group, Network};

/// A step of an augmenting path: load of a group moves from one of its nodes to another.
#[derive(Debug, Clone, Copy)]
pub(super) struct Step {
    /// The first node.
    node: usize,
    /// The edge to the first node.
    pub from: Edge,
    /// The edge to the second node.
    pub to: Edge,
}

/// An augmenting path.
pub(super) struct Path {
    /// The node to which the group's new load goes.
    pub first: usize,
    /// The steps that free capacity there, the last step first.
    pub steps: Vec<Step>,
}

/// The last visit to a node.
#[derive(Debug, Clone, Copy, Default)]
struct Visit {
    /// Number of the search.
    search: u64,
    /// The step that leads to the node; None: the node is one of the searching group.
    step: Option<Step>,
}

/// The search and its findings. See the [module documentation](self).
#[derive(Debug, Clone, Default)]
pub(super) struct PathSearch {
    /// Nodes from which no path leads to spare capacity. The finding holds until capacity is freed
    /// or a maximum load rises. It keeps searches from visiting full nodes again and again.
    saturated: Vec<bool>,
    visits: Vec<Visit>,
    /// Number of searches so far.
    searches: u64,
}

impl PathSearch {
    /// A search over that number of nodes, without findings.
    pub fn new(nodes: usize) -> Self {
        PathSearch {
            saturated: vec![false; nodes],
            visits: vec![Visit::default(); nodes],
            searches: 0,
        }
    }

    /// Returns whether no path leads from a node to spare capacity, as far as was searched.
    pub fn is_saturated(&self, node: usize) -> bool {
        self.saturated[node]
    }

    /// Drops all findings, since there may be new paths.
    pub fn clear_saturated(&mut self) {
        self.saturated.fill(false);
    }

    /// The shortest augmenting path from a group to a node with spare capacity.
    pub fn find(&mut self, network: &Network, group: usize) -> Option<Path> {
        self.searches += 1;
        let search = self.searches;
        let mut reached: Vec<usize> = Vec::new();
        let Group {
            nodes,
            loads,
            max_loads,
        } = network.group(group);
        for (index, node) in nodes.iter().enumerate() {
            if loads[index] < max_loads[index] && !self.saturated[*node] {
                self.visits[*node] = Visit { search, step: None };
                reached.push(*node);
            }
        }
        let mut next = 0;
        while let Some(node) = reached.get(next).copied() {
            next += 1;
            if network.spare(node) > 0 {
                return Some(self.path_to(node));
            }
            self.visit_neighbours(network, node, &mut reached);
        }
        for node in reached {
            self.saturated[node] = true;
        }
        None
    }

    /// Visits the nodes to which load of this node can move.
    fn visit_neighbours(&mut self, network: &Network, node: usize, reached: &mut Vec<usize>) {
        for from in network.edges_to(node).iter().copied() {
            let group = network.group(from.group);
            if group.loads[from.index] == 0 {
                continue;
            }
            for (index, other) in group.nodes.iter().enumerate() {
                let is_new = self.visits[*other].search != self.searches;
                let is_open =
                    group.loads[index] < group.max_loads[index] && !self.saturated[*other];
                if is_new && is_open {
                    let to = Edge {
                        group: from.group,
                        index,
                    };
                    self.visits[*other] = Visit {
                        search: self.searches,
                        step: Some(Step { node, from, to }),
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
}
