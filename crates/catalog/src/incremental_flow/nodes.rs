//! The nodes of a site by index, and which of them are up.
//!
//! Owned by [`crate::incremental_flow`]. Memory use is an entry for each node.

use crate::planner::{to_parts, Node};
use std::collections::HashMap;

#[derive(Debug, Clone)]
struct SiteNode {
    node: Node,
    is_up: bool,
}

/// The nodes of a site. See the module documentation.
#[derive(Debug, Clone, Default)]
pub(super) struct NodeTable {
    nodes: Vec<SiteNode>,
    /// Indexes of nodes, by number.
    indexes: HashMap<u32, usize>,
}

impl NodeTable {
    /// Creates a table of nodes, all of which are up.
    pub fn new(nodes: Vec<Node>) -> Self {
        let numbered = nodes.iter().enumerate();
        let indexes = numbered.map(|(index, node)| (node.id, index)).collect();
        let up = |node| SiteNode { node, is_up: true };
        NodeTable {
            nodes: nodes.into_iter().map(up).collect(),
            indexes,
        }
    }

    /// All nodes, by index.
    pub fn iter(&self) -> impl Iterator<Item = &Node> {
        self.nodes.iter().map(|site_node| &site_node.node)
    }

    /// Numbers of the nodes that are down.
    pub fn down(&self) -> Vec<u32> {
        self.nodes
            .iter()
            .filter(|site_node| !site_node.is_up)
            .map(|site_node| site_node.node.id)
            .collect()
    }

    /// Index of the node with that number.
    pub fn index(&self, id: u32) -> Option<usize> {
        self.indexes.get(&id).copied()
    }

    /// Number of the node at an index.
    pub fn id(&self, index: usize) -> u32 {
        self.nodes[index].node.id
    }

    /// Configured capacity of a node in parts, whether the node is up or not.
    pub fn capacity(&self, index: usize) -> u64 {
        to_parts(self.nodes[index].node.capacity)
    }

    /// Returns whether the node at an index is up.
    pub fn is_up(&self, index: usize) -> bool {
        self.nodes[index].is_up
    }

    /// Sets whether the node at an index is up.
    pub fn set_up(&mut self, index: usize, is_up: bool) {
        self.nodes[index].is_up = is_up;
    }

    /// Replaces the node at an index.
    pub fn replace(&mut self, index: usize, node: Node) {
        self.nodes[index].node = node;
    }

    /// Converts the node numbers of a placement to indexes, and omits nodes that are not in the table.
    pub fn indexed<'a>(
        &'a self,
        placement: &'a [(u32, f64)],
    ) -> impl Iterator<Item = (usize, f64)> + 'a {
        placement
            .iter()
            .filter_map(|(id, fraction)| Some((self.index(*id)?, *fraction)))
    }
}
