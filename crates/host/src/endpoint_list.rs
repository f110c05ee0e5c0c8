//! The endpoint list: as discovery told it, as the decisions read it, and as it is stored over a
//! restart.
//!
//! Discovery gives ages, since no two clocks are compared; an age read twice gives two moments that
//! differ by what the messages waited. Each start of a node therefore keeps the moment that was
//! worked out first, or the decisions would see a restart in every list.
//!
//! Memory: nodes stay known after they are gone; the bound is the list's own length.

use grebecleat_scheduler::api::{Endpoint, NodeId, NodeState, ShardId, ZoneId};
use grebecleat_wire::{clock, frame, pb};
use std::collections::{BTreeMap, HashSet};
use std::net::SocketAddr;
use std::time::Duration;

/// What is known of a node.
#[derive(Debug, Clone)]
pub struct KnownEndpoint {
    /// Where it is dialled; None: its address makes no sense.
    pub address: Option<SocketAddr>,
    /// Its state.
    pub state: NodeState,
    /// Tells one start of its process from another.
    pub start: u64,
    /// Its zone.
    pub zone: ZoneId,
    /// The shard that it holds.
    pub shard: ShardId,
    /// When its process started; None: long ago.
    pub started: Option<Duration>,
    /// Revision of the list that told it; 0: it comes from the stored list.
    pub revision: u64,
}

/// All nodes that discovery has named.
#[derive(Debug, Default)]
pub struct EndpointList {
    /// By their ids.
    pub nodes: BTreeMap<NodeId, KnownEndpoint>,
}

impl EndpointList {
    /// Takes one endpoint, and returns it as the decisions read it; None where it has no state.
    pub fn read(
        &mut self,
        endpoint: &pb::Endpoint,
        now: Duration,
        revision: u64,
    ) -> Option<Endpoint> {
        let state = match endpoint.state() {
            pb::NodeState::Ready => NodeState::Ready,
            pb::NodeState::Draining => NodeState::Draining,
            pb::NodeState::Gone => NodeState::Gone,
            pb::NodeState::NodeUnknown => return None,
        };
        let node = NodeId(endpoint.node);
        let known = KnownEndpoint {
            address: endpoint.address.parse().ok(),
            state,
            start: endpoint.start,
            zone: ZoneId(endpoint.zone),
            shard: ShardId(endpoint.shard),
            started: self.start_time(node, endpoint, now),
            revision,
        };
        let read = Endpoint {
            node,
            zone: known.zone,
            shard: known.shard,
            state,
            started: known.started,
        };
        self.nodes.insert(node, known);
        Some(read)
    }

    /// When the endpoint's process started: as worked out when that start was first told.
    fn start_time(&self, node: NodeId, endpoint: &pb::Endpoint, now: Duration) -> Option<Duration> {
        let known = self.nodes.get(&node);
        let same_start = known.filter(|known| known.start == endpoint.start);
        if let Some(started) = same_start.and_then(|known| known.started) {
            return Some(started);
        }
        let uptime = endpoint.up_us.map(Duration::from_micros)?;
        Some(now.saturating_sub(uptime))
    }

    /// Nodes that a complete list no longer names are gone; returns them.
    pub fn retain_listed(&mut self, listed: &[Endpoint], revision: u64) -> Vec<NodeId> {
        let listed: HashSet<NodeId> = listed.iter().map(|endpoint| endpoint.node).collect();
        let mut gone = Vec::new();
        for (id, known) in &mut self.nodes {
            if known.state != NodeState::Gone && !listed.contains(id) {
                known.state = NodeState::Gone;
                known.revision = revision;
                gone.push(*id);
            }
        }
        gone
    }

    /// The list as the bytes of a file.
    pub fn to_bytes(&self, now: Duration) -> Vec<u8> {
        let here = self.nodes.iter();
        let here = here.filter(|(_, known)| known.state != NodeState::Gone);
        let list = pb::EndpointUpdate {
            kind: pb::EndpointUpdateKind::Snapshot.into(),
            revision: 0,
            endpoints: here
                .map(|(id, known)| stored_endpoint(*id, known, now))
                .collect(),
        };
        let mut bytes = Vec::new();
        frame::write(&list, &mut bytes);
        bytes
    }

    /// Reads a file's bytes. Of a damaged one nothing is taken: a list half read would hide nodes.
    pub fn from_bytes(bytes: &[u8]) -> Result<pb::EndpointUpdate, frame::FrameFault> {
        let mut reader = frame::Reader::new(bytes.len());
        reader.push(bytes);
        reader
            .next()?
            .ok_or(frame::FrameFault::Message("the file ends early".into()))
    }
}

fn stored_endpoint(id: NodeId, known: &KnownEndpoint, now: Duration) -> pb::Endpoint {
    let state = match known.state {
        NodeState::Ready => pb::NodeState::Ready,
        NodeState::Draining | NodeState::Gone => pb::NodeState::Draining,
    };
    let uptime = |started: Duration| clock::micros(now.saturating_sub(started));
    pb::Endpoint {
        node: id.0,
        zone: known.zone.0,
        shard: known.shard.0,
        state: state.into(),
        address: known
            .address
            .map(|address| address.to_string())
            .unwrap_or_default(),
        start: known.start,
        up_us: known.started.map(uptime),
    }
}

#[cfg(test)]
mod tests;
