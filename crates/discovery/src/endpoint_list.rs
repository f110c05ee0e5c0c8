//! The endpoint list: as discovery sent it, as the scheduler reads it, and as the host stores it for its next
//! start.
//!
//! Discovery sends the uptime of each node instead of its start time, because the clocks of two machines cannot
//! be compared. Start times that are computed from two messages differ by the delays of the messages. The list
//! therefore keeps the start time that it computed first for each start of a node; otherwise every list would
//! look like a restart to the scheduler.
//!
//! The list keeps nodes that are gone, so its memory is bounded by the number of nodes that discovery has ever
//! listed.

use crate::events::ListUpdate;
use grebecleat_scheduler::api::{Endpoint, EndpointUpdateKind, NodeId, NodeState, ShardId, ZoneId};
use grebecleat_wire::{clock, frame, pb};
use std::collections::{BTreeMap, BTreeSet, HashSet};
use std::net::SocketAddr;
use std::time::Duration;

/// Identifies the process of a node by its start number and its address.
type Process = (u64, Option<SocketAddr>);

/// The last known state of a node.
#[derive(Debug, Clone)]
pub struct KnownEndpoint {
    /// The address to dial; `None` if discovery sent an address that cannot be parsed.
    pub address: Option<SocketAddr>,
    /// Its state.
    pub state: NodeState,
    /// Number that distinguishes one start of its process from another.
    pub start: u64,
    /// Its zone.
    pub zone: ZoneId,
    /// The shard that it holds.
    pub shard: ShardId,
    /// When its process started; `None` if discovery does not report it, because that was long ago.
    pub started: Option<Duration>,
    /// Revision of the latest list with this node; 0 if that is the stored copy.
    pub revision: u64,
}

impl KnownEndpoint {
    fn process(&self) -> Process {
        (self.start, self.address)
    }
}

/// All nodes that discovery has listed.
#[derive(Debug, Default)]
pub struct EndpointList {
    nodes: BTreeMap<NodeId, KnownEndpoint>,
}

impl EndpointList {
    /// Returns the last known state of a node.
    pub fn get(&self, node: NodeId) -> Option<&KnownEndpoint> {
        self.nodes.get(&node)
    }

    /// Returns all known nodes, including those that are gone, in the order of their ids.
    pub fn iter(&self) -> impl Iterator<Item = (NodeId, &KnownEndpoint)> {
        self.nodes.iter().map(|(node, known)| (*node, known))
    }

    /// Returns whether no node is known.
    pub fn is_empty(&self) -> bool {
        self.nodes.is_empty()
    }

    /// Applies an update from discovery, and returns the change. Entries without a state are ignored. If the
    /// update is a complete list (`kind` is not a delta), all nodes that it does not contain are marked as
    /// gone.
    pub fn update(
        &mut self,
        kind: EndpointUpdateKind,
        endpoints: &[pb::Endpoint],
        now: Duration,
        revision: u64,
    ) -> ListUpdate {
        let before = self.processes_of(endpoints);
        let read = endpoints
            .iter()
            .filter_map(|endpoint| self.read(endpoint, now, revision));
        let read: Vec<Endpoint> = read.collect();
        let delisted = match kind {
            EndpointUpdateKind::Delta => Vec::new(),
            _ => self.retain_listed(&read, revision),
        };
        let is_restarted = |node: &NodeId| {
            let process = self.nodes[node].process();
            before.get(node).is_some_and(|former| *former != process)
        };
        let listed = read.iter().map(|endpoint| endpoint.node);
        let restarted: BTreeSet<NodeId> = listed.filter(is_restarted).collect();
        ListUpdate {
            kind,
            revision,
            endpoints: read,
            restarted,
            delisted,
        }
    }

    /// Returns the known processes of these nodes.
    fn processes_of(&self, endpoints: &[pb::Endpoint]) -> BTreeMap<NodeId, Process> {
        let nodes = endpoints.iter().map(|endpoint| NodeId(endpoint.node));
        let known = nodes.filter_map(|id| Some((id, self.nodes.get(&id)?.process())));
        known.collect()
    }

    /// Records one endpoint, and returns it in the scheduler's form, or `None` if it has no state.
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

    /// Returns when the endpoint's process started, as computed when discovery first listed this
    /// start.
    fn start_time(&self, node: NodeId, endpoint: &pb::Endpoint, now: Duration) -> Option<Duration> {
        let known = self.nodes.get(&node);
        let same_start = known.filter(|known| known.start == endpoint.start);
        if let Some(started) = same_start.and_then(|known| known.started) {
            return Some(started);
        }
        let uptime = endpoint.up_us.map(Duration::from_micros)?;
        Some(now.saturating_sub(uptime))
    }

    /// Marks the nodes that a complete list does not contain as gone, and returns them.
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

    /// Encodes the list as the bytes of its stored copy.
    pub fn to_bytes(&self, now: Duration) -> Vec<u8> {
        let present = self.nodes.iter();
        let present = present.filter(|(_, known)| known.state != NodeState::Gone);
        let list = pb::EndpointUpdate {
            kind: pb::EndpointUpdateKind::Snapshot.into(),
            revision: 0,
            endpoints: present
                .map(|(id, known)| stored_endpoint(*id, known, now))
                .collect(),
        };
        let mut bytes = Vec::new();
        frame::write(&list, &mut bytes);
        bytes
    }

    /// Decodes the bytes of a stored copy.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes are damaged or incomplete. No part of a damaged copy is used, because
    /// nodes would be missing from a partial list.
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
