//! What the list of nodes said, as the decisions read it, and as it is remembered over a restart.
//!
//! The list gives ages, since nobody's clocks are compared; an age read twice gives two moments that differ
//! by what the messages waited. Each start of a node therefore keeps the moment reckoned first, or the
//! decisions would see a restart in every list.

use grebecleat::interface::{Endpoint, NodeId, NodeState, ShardId, ZoneId};
use grebecleat_wire::{clock, frame, pb};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

#[derive(Debug, Clone)]
pub struct KnownEndpoint {
    pub address: Option<SocketAddr>,
    pub state: NodeState,
    pub start: u64,
    pub zone: ZoneId,
    pub shard: ShardId,
    pub started: Option<Duration>,
    /// Of the list that told it; 0: it is remembered.
    pub revision: u64,
}

/// All nodes the list has named. Nodes stay known after they are gone; the bound is the list's own length.
#[derive(Debug, Default)]
pub struct EndpointList {
    pub nodes: BTreeMap<NodeId, KnownEndpoint>,
}

impl EndpointList {
    /// Reads one entry; None where it makes no sense.
    pub fn read(&mut self, e: &pb::Endpoint, now: Duration, revision: u64) -> Option<Endpoint> {
        let state = match e.state() {
            pb::NodeState::Ready => NodeState::Ready,
            pb::NodeState::Draining => NodeState::Draining,
            pb::NodeState::Gone => NodeState::Gone,
            pb::NodeState::NodeUnknown => return None,
        };
        let node = NodeId(e.node);
        let reckoned = e
            .up_us
            .map(|us| now.saturating_sub(Duration::from_micros(us)));
        let before = self
            .nodes
            .get(&node)
            .filter(|k| k.start == e.start && k.started.is_some());
        let started = before.map_or(reckoned, |k| k.started);
        let (zone, shard) = (ZoneId(e.zone), ShardId(e.shard));
        let address = e.address.parse().ok();
        let known = KnownEndpoint {
            address,
            state,
            start: e.start,
            zone,
            shard,
            started,
            revision,
        };
        self.nodes.insert(node, known);
        Some(Endpoint {
            node,
            zone,
            shard,
            state,
            started,
        })
    }

    /// Nodes that a whole list no longer names are gone; answers which.
    pub fn retain_listed(&mut self, named: &[Endpoint], revision: u64) -> Vec<NodeId> {
        let there = |id: &NodeId| named.iter().any(|e| e.node == *id);
        let gone = self
            .nodes
            .iter_mut()
            .filter(|(id, k)| k.state != NodeState::Gone && !there(id));
        gone.map(|(id, k)| {
            (k.state, k.revision) = (NodeState::Gone, revision);
            *id
        })
        .collect()
    }

    /// The list as a file's bytes, to be remembered.
    pub fn to_bytes(&self, now: Duration) -> Vec<u8> {
        let there = self
            .nodes
            .iter()
            .filter(|(_, k)| k.state != NodeState::Gone);
        let endpoints = there.map(|(id, k)| pb::Endpoint {
            node: id.0,
            zone: k.zone.0,
            shard: k.shard.0,
            state: if k.state == NodeState::Ready {
                pb::NodeState::Ready
            } else {
                pb::NodeState::Draining
            }
            .into(),
            address: k.address.map(|a| a.to_string()).unwrap_or_default(),
            start: k.start,
            up_us: k.started.map(|s| clock::micros(now.saturating_sub(s))),
        });
        let list = pb::EndpointUpdate {
            kind: pb::EndpointUpdateKind::Snapshot.into(),
            revision: 0,
            endpoints: endpoints.collect(),
        };
        let mut bytes = Vec::new();
        frame::write(&list, &mut bytes);
        bytes
    }

    /// What a file remembers. Of a damaged one nothing is taken: a list half read would hide nodes.
    pub fn from_bytes(bytes: &[u8]) -> Result<pb::EndpointUpdate, frame::FrameFault> {
        let mut reader = frame::Reader::new(bytes.len());
        reader.push(bytes);
        reader
            .next()?
            .ok_or(frame::FrameFault::Message("the file ends early".into()))
    }
}

#[cfg(test)]
mod tests;
