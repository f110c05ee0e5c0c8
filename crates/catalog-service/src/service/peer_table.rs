//! The connected hosts and operators, and their calls that wait for an answer.
//!
//! Owned by [`super::owner`]. State: one entry for each connection that has sent its hello, at most
//! [`super::listener::MAX_CONNECTIONS`], and the names of the settings' hosts.

use super::call_table::{CallTable, PeerCall};
use super::frame_sender::FrameSender;
use grebecleat_catalog::feed::HostNumber;
use grebecleat_catalog::leader::{CallId, Leader};
use grebecleat_catalog::records::Name;
use grebecleat_wire::pb::{self, frame::Body};
use std::collections::{BTreeMap, BTreeSet};
use tracing::warn;

/// The role of an accepted peer, which its hello states.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum PeerRole {
    /// A host of the settings.
    Host(HostNumber),
    /// An operator's command.
    Operator,
}

/// A connected host or operator.
struct Peer {
    /// Sends frames to its connection.
    frames: FrameSender,
    /// The name that its hello states.
    name: String,
    role: PeerRole,
    /// Whether the host has connected again; frames on this connection are then ignored.
    superseded: bool,
}

/// The host and the calls of a connection that has ended.
pub(super) struct DisconnectedPeer {
    /// The host that is no longer connected; `None` for an operator, and for a host that has
    /// connected again.
    pub host: Option<HostNumber>,
    /// The peer's calls without an answer, in ascending order.
    pub calls: Vec<CallId>,
}

/// The connected peers by connection number, and their calls.
pub(super) struct PeerTable {
    /// The hosts of the settings, indexed by host number.
    hosts: Vec<Name>,
    peers: BTreeMap<u64, Peer>,
    calls: CallTable,
}

impl PeerTable {
    /// Returns a table without peers. `hosts`: the hosts of the settings, indexed by host
    /// number.
    pub fn new(hosts: Vec<Name>) -> Self {
        PeerTable {
            hosts,
            peers: BTreeMap::new(),
            calls: CallTable::new(),
        }
    }

    /// Adds a peer and returns its role, if it is a host of the settings or an operator; disconnects
    /// any other peer. Also disconnects an earlier connection of the same host.
    pub fn connect(
        &mut self,
        conn: u64,
        hello: &pb::Hello,
        frames: FrameSender,
    ) -> Option<PeerRole> {
        let Some(role) = self.role_of(hello) else {
            warn!(
                conn,
                peer = %hello.name,
                "peer is neither an operator nor a host of the settings"
            );
            frames.disconnect();
            return None;
        };
        if role != PeerRole::Operator {
            self.supersede(role);
        }
        let peer = Peer {
            frames,
            name: hello.name.clone(),
            role,
            superseded: false,
        };
        self.peers.insert(conn, peer);
        Some(role)
    }

    fn role_of(&self, hello: &pb::Hello) -> Option<PeerRole> {
        match hello.role() {
            pb::Role::Operator => Some(PeerRole::Operator),
            pb::Role::Host => self.host_number(&hello.name).map(PeerRole::Host),
            _ => None,
        }
    }

    /// Disconnects the earlier connections of a host: only its newest connection is used.
    fn supersede(&mut self, role: PeerRole) {
        for peer in self.peers.values_mut() {
            if peer.role == role {
                peer.frames.disconnect();
                peer.superseded = true;
            }
        }
    }

    /// Removes a peer and its calls.
    pub fn remove(&mut self, conn: u64) -> DisconnectedPeer {
        let peer = self.peers.remove(&conn).filter(|peer| !peer.superseded);
        let host = peer.and_then(|peer| match peer.role {
            PeerRole::Host(host) => Some(host),
            PeerRole::Operator => None,
        });
        let calls = self.calls.remove_connection(conn);
        DisconnectedPeer { host, calls }
    }

    /// Returns the role of a peer; `None` if the connection is unknown or superseded.
    pub fn role(&self, conn: u64) -> Option<PeerRole> {
        let peer = self.peers.get(&conn).filter(|peer| !peer.superseded)?;
        Some(peer.role)
    }

    /// Disconnects a peer that broke the protocol.
    pub fn disconnect(&self, conn: u64) {
        if let Some(peer) = self.peers.get(&conn) {
            warn!(conn, peer = %peer.name, "peer disconnected: it sent a frame of another role");
            peer.frames.disconnect();
        }
    }

    /// Returns the number of a host of the settings.
    pub fn host_number(&self, name: &str) -> Option<HostNumber> {
        let index = self.hosts.iter().position(|host| **host == *name)?;
        Some(HostNumber(index as u32))
    }

    /// Returns the name of a host of the settings.
    pub fn host_name(&self, host: HostNumber) -> Name {
        self.hosts[host.0 as usize].clone()
    }

    /// Returns an unused call ID, for a call of this service itself.
    pub fn allocate_call(&mut self) -> CallId {
        self.calls.allocate()
    }

    /// Returns an unused call ID for a peer's call, and stores the call until it is answered.
    pub fn register_call(&mut self, conn: u64, call: u64) -> CallId {
        self.calls.register(conn, call)
    }

    /// Removes and returns a peer's call; `None` if its peer has disconnected.
    pub fn take_call(&mut self, call: CallId) -> Option<PeerCall> {
        self.calls.take(call)
    }

    /// Returns the name and the frame sender of a peer.
    pub fn connection(&self, conn: u64) -> Option<(&str, &FrameSender)> {
        let peer = self.peers.get(&conn)?;
        Some((&peer.name, &peer.frames))
    }

    /// Sends a frame to a peer; drops the frame if the peer has disconnected.
    pub fn send(&self, conn: u64, body: Body) {
        if let Some(peer) = self.peers.get(&conn) {
            peer.frames.send(body);
        }
    }

    /// Answers a peer's call. Drops the answer if the peer has disconnected.
    pub fn reply(&mut self, call: CallId, body: impl FnOnce(u64) -> Body) {
        let Some(peer_call) = self.calls.take(call) else {
            return;
        };
        if let Some(peer) = self.peers.get(&peer_call.conn) {
            peer.frames.send(body(peer_call.call));
        }
    }

    /// Rejects an operator's change. `reason`: the text that the operator reads.
    pub fn reject(&mut self, call: CallId, reason: String) {
        self.reply(call, |call| {
            Body::ChangeRejected(pb::ChangeRejected { call, reason })
        });
    }

    /// Returns the status of all hosts: what each has applied, and whether it is connected.
    pub fn host_status(&self, leader: &Leader) -> Vec<pb::HostStatus> {
        let waits = leader.waits_for(leader.persisted());
        let waits: BTreeMap<Name, bool> = waits.into_iter().collect();
        let connected: BTreeSet<&str> = self
            .peers
            .values()
            .filter(|peer| peer.role != PeerRole::Operator)
            .map(|peer| peer.name.as_str())
            .collect();
        let mut hosts = Vec::new();
        for (name, applied) in leader.follows() {
            hosts.push(pb::HostStatus {
                name: name.to_string(),
                heard_of: applied.is_some(),
                applied: applied.unwrap_or_default().0,
                holds_up: waits.contains_key(name),
                silent: waits.get(name).copied().unwrap_or(false),
                up: connected.contains(&**name),
            });
        }
        hosts
    }
}
