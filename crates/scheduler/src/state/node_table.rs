//! The nodes of the endpoint list, by id and by shard.

use super::Node;
use crate::api::{Endpoint, NodeId, NodeState, RequestId, ShardId, VolumeId};
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Index;

/// All nodes that the endpoint list has ever named. Memory: one record for each.
#[derive(Debug, Default)]
pub struct NodeTable {
    nodes: BTreeMap<NodeId, Node>,
    /// The nodes of each shard.
    shards: BTreeMap<ShardId, BTreeSet<NodeId>>,
}

impl NodeTable {
    /// Returns a node, if it was ever listed.
    pub fn get(&self, id: NodeId) -> Option<&Node> {
        self.nodes.get(&id)
    }

    /// Returns a node, if it was ever listed.
    pub fn get_mut(&mut self, id: NodeId) -> Option<&mut Node> {
        self.nodes.get_mut(&id)
    }

    /// Returns all nodes, ordered by id.
    pub fn values(&self) -> impl Iterator<Item = &Node> + Clone {
        self.nodes.values()
    }

    /// Returns all nodes, ordered by id.
    pub fn values_mut(&mut self) -> impl Iterator<Item = &mut Node> {
        self.nodes.values_mut()
    }

    /// Returns the number of nodes.
    pub fn len(&self) -> usize {
        self.nodes.len()
    }

    /// Returns whether no node was ever listed.
    pub fn is_empty(&self) -> bool {
        self.nodes.is_empty()
    }

    /// Applies an update of one endpoint; returns its node if the node has thereby become ready or restarted.
    /// `new_node`: makes the record of a new node, given the most recently used node of its shard.
    pub fn update(
        &mut self,
        endpoint: &Endpoint,
        new_node: impl FnOnce(Option<&Node>) -> Node,
    ) -> Option<&mut Node> {
        // Most endpoints belong to known nodes, for which no predecessor need be searched.
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

    /// Marks all nodes as gone that a complete endpoint list does not name.
    pub fn mark_absent_gone(&mut self, endpoints: &[Endpoint]) {
        let listed: BTreeSet<NodeId> = endpoints.iter().map(|endpoint| endpoint.node).collect();
        for (id, node) in &mut self.nodes {
            if !listed.contains(id) {
                node.state = NodeState::Gone;
            }
        }
    }

    /// Returns the requests that are queued at nodes that are not ready.
    pub fn queued_at_unready(&self) -> Vec<RequestId> {
        let nodes = self.nodes.values();
        let unready = nodes.filter(|node| node.state != NodeState::Ready);
        unready.flat_map(|node| node.queue.ids()).collect()
    }

    /// Returns the ready node that holds a shard's data; if there are several, the one that started last.
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

    /// Returns a node that is known to be listed.
    fn index(&self, id: NodeId) -> &Node {
        &self.nodes[&id]
    }
}
