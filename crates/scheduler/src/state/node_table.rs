//! The nodes of the endpoint list, by id and by shard.

use super::Node;
use crate::api::{Endpoint, NodeId, NodeState, RequestId, ShardId, VolumeId};
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Index;

/// All nodes that were ever listed. Memory: one record each.
#[derive(Debug, Default)]
pub struct NodeTable {
    nodes: BTreeMap<NodeId, Node>,
    /// The nodes of each shard.
    shards: BTreeMap<ShardId, BTreeSet<NodeId>>,
}

impl NodeTable {
    /// A node, if it was ever listed.
    pub fn get(&self, id: NodeId) -> Option<&Node> {
        self.nodes.get(&id)
    }

    /// A node, if it was ever listed.
    pub fn get_mut(&mut self, id: NodeId) -> Option<&mut Node> {
        self.nodes.get_mut(&id)
    }

    /// All nodes, by id.
    pub fn values(&self) -> impl Iterator<Item = &Node> + Clone {
        self.nodes.values()
    }

    /// All nodes, by id.
    pub fn values_mut(&mut self) -> impl Iterator<Item = &mut Node> {
        self.nodes.values_mut()
    }

    /// Number of nodes.
    pub fn len(&self) -> usize {
        self.nodes.len()
    }

    /// Returns whether no node was ever listed.
    pub fn is_empty(&self) -> bool {
        self.nodes.is_empty()
    }

    /// Reads an endpoint; returns its node if the node came up by that. `new_node`: makes the record of a node
    /// that was unknown before, given the node of its shard that was used last.
    pub fn update(
        &mut self,
        endpoint: &Endpoint,
        new_node: impl FnOnce(Option<&Node>) -> Node,
    ) -> Option<&mut Node> {
        // Most entries are of known nodes.
        if !self.nodes.contains_key(&endpoint.node) {
            let node = new_node(self.last_used_of_shard(endpoint.shard));
            self.nodes.insert(endpoint.node, node);
        }
        self.shards
            .entry(endpoint.shard)
            .or_default()
            .insert(endpoint.node);
        let node = self.nodes.get_mut(&endpoint.node)?;
        node.update(endpoint).then_some(node)
    }

    fn last_used_of_shard(&self, shard: ShardId) -> Option<&Node> {
        let of_shard = self.shards.get(&shard).into_iter().flatten();
        of_shard
            .filter_map(|id| self.nodes.get(id))
            .max_by_key(|node| node.attempts.last_sent())
    }

    /// Marks nodes as gone that a complete list does not name.
    pub fn mark_absent_gone(&mut self, endpoints: &[Endpoint]) {
        let listed: BTreeSet<NodeId> = endpoints.iter().map(|endpoint| endpoint.node).collect();
        for (id, node) in &mut self.nodes {
            if !listed.contains(id) {
                node.state = NodeState::Gone;
            }
        }
    }

    /// Requests queued at nodes that accept none.
    pub fn queued_at_unready(&self) -> Vec<RequestId> {
        let nodes = self.nodes.values();
        let unready = nodes.filter(|node| node.state != NodeState::Ready);
        unready.flat_map(|node| node.queue.ids()).collect()
    }

    /// The node that holds a shard's data; of several, the one that started last.
    pub fn node_of_shard(&self, shard: ShardId) -> Option<&Node> {
        let listed = self.shards.get(&shard)?;
        listed
            .iter()
            .filter_map(|id| self.nodes.get(id))
            .filter(|node| node.shard == shard && node.state == NodeState::Ready)
            .max_by_key(|node| node.started)
    }

    /// Removes a volume's flows from all nodes.
    pub fn remove_flows(&mut self, volume: VolumeId) {
        for node in self.nodes.values_mut() {
            node.flows.remove(volume);
        }
    }
}

impl Index<NodeId> for NodeTable {
    type Output = Node;

    /// A node that is known to be listed.
    fn index(&self, id: NodeId) -> &Node {
        &self.nodes[&id]
    }
}
