//! Breadth-first search for augmenting paths, from a group to a node with spare capacity.
//!
//! Owned by [`crate::flow`]. The state is the set of saturated nodes, from which no path leads to
//! spare capacity, and the nodes that the current search has visited: two entries for each node.

use super::network::{Edge, Group, Network};

/// A step of an augmenting path: load of a group moves from one of its nodes to another.
#[derive(Debug, Clone, Copy)]
pub(super) struct Step {
    /// The node that the load leaves.
    node: usize,
    /// The edge to the node that the load leaves.
    pub from: Edge,
    /// The edge to the node that receives the load.
    pub to: Edge,
}

/// An augmenting path.
pub(super) struct Path {
    /// The node that receives the group's new load.
    pub first: usize,
    /// The steps that free capacity on that node, the last step first.
    pub steps: Vec<Step>,
}

/// The last visit to a node.
#[derive(Debug, Clone, Copy, Default)]
struct Visit {
    /// Number of the search.
    search: u64,
    /// The step that leads to the node, or `None` if the node belongs to the searching group.
    step: Option<Step>,
}

/// The search and its results. See the module documentation.
#[derive(Debug, Clone, Default)]
pub(super) struct PathSearch {
    /// Whether no path leads from a node to spare capacity, by node. Valid until capacity is freed or
    /// a maximum load is raised. This avoids repeated visits of full nodes.
    saturated: Vec<bool>,
    visits: Vec<Visit>,
    /// Number of searches so far.
    search_count: u64,
}

impl PathSearch {
    /// Creates a search over that number of nodes, none of which is known to be saturated.
    pub fn new(nodes: usize) -> Self {
        PathSearch {
            saturated: vec![false; nodes],
            visits: vec![Visit::default(); nodes],
            search_count: 0,
        }
    }

    /// Returns whether a search has found that no path leads from a node to spare capacity.
    pub fn is_saturated(&self, node: usize) -> bool {
        self.saturated[node]
    }

    /// Marks no node as saturated any more, because there may be new paths.
    pub fn clear_saturated(&mut self) {
        self.saturated.fill(false);
    }

    /// Finds the shortest augmenting path from a group to a node with spare capacity.
    pub fn find(&mut self, network: &Network, group: usize) -> Option<Path> {
        self.search_count += 1;
        let search = self.search_count;
        let mut queue: Vec<usize> = Vec::new();
        let Group {
            nodes,
            loads,
            max_loads,
        } = network.group(group);
        for (index, node) in nodes.iter().enumerate() {
            if loads[index] < max_loads[index] && !self.saturated[*node] {
                self.visits[*node] = Visit { search, step: None };
                queue.push(*node);
            }
        }
        let mut next = 0;
        while let Some(node) = queue.get(next).copied() {
            next += 1;
            if network.spare(node) > 0 {
                return Some(self.path_to(node));
            }
            self.visit_neighbours(network, node, &mut queue);
        }
        for node in queue {
            self.saturated[node] = true;
        }
        None
    }

    /// Visits the nodes to which load of `node` can move.
    fn visit_neighbours(&mut self, network: &Network, node: usize, queue: &mut Vec<usize>) {
        for from in network.edges_to(node).iter().copied() {
            let group = network.group(from.group);
            if group.loads[from.index] == 0 {
                continue;
            }
            for (index, other) in group.nodes.iter().enumerate() {
                let is_new = self.visits[*other].search != self.search_count;
                let is_open =
                    group.loads[index] < group.max_loads[index] && !self.saturated[*other];
                if is_new && is_open {
                    let to = Edge {
                        group: from.group,
                        index,
                    };
                    self.visits[*other] = Visit {
                        search: self.search_count,
                        step: Some(Step { node, from, to }),
                    };
                    queue.push(*other);
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
