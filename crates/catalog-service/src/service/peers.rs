//! The connected peers: their arrival, their calls, and what they learn of each other.

use super::frame_sender::FrameSender;
use super::owner::{Owner, StepInput};
use super::peer::{Peer, PeerCall};
use crate::subscription::ServiceView;
use grebecleat_catalog::feed::HostNumber;
use grebecleat_catalog::leader::{CallId, Event as LeaderEvent};
use grebecleat_catalog::records::Name;
use grebecleat_membership::drains::Event as MembershipEvent;
use grebecleat_wire::pb::{self, frame::Body};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;
use tracing::warn;

impl Owner<'_> {
    /// Accepts a host of the settings or an operator; disconnects any other peer.
    pub(super) fn handle_connected(
        &mut self,
        conn: u64,
        hello: pb::Hello,
        frames: FrameSender,
        input: &mut StepInput,
    ) {
        let host = match (hello.role(), self.host_number(&hello.name)) {
            (pb::Role::Operator, _) => None,
            (pb::Role::Host, Some(host)) => Some(host),
            _ => {
                warn!(name = %hello.name, "peer is neither an operator nor a host of the settings");
                return frames.disconnect();
            }
        };
        if let Some(host) = host {
            // Of a host that connects again only the new connection counts.
            for peer in self.peers.values_mut() {
                if peer.host == Some(host) {
                    peer.frames.disconnect();
                    peer.superseded = true;
                }
            }
            input.membership.push(MembershipEvent::HostConnected {
                host,
                incarnation: hello.incarnation,
            });
        }
        let peer = Peer {
            frames,
            name: hello.name,
            host,
            superseded: false,
        };
        self.peers.insert(conn, peer);
    }

    /// Forgets a peer, its subscription and its calls.
    pub(super) fn handle_disconnected(&mut self, conn: u64, input: &mut StepInput) {
        self.subscriptions.remove(&conn);
        if let Some(peer) = self.peers.remove(&conn) {
            match peer.host {
                Some(host) if !peer.superseded => {
                    input
                        .membership
                        .push(MembershipEvent::HostDisconnected { host });
                }
                _ => {}
            }
        }
        let mut disconnected = Vec::new();
        for (call, peer_call) in &self.calls {
            if peer_call.conn == conn {
                disconnected.push(*call);
            }
        }
        for call in disconnected {
            self.calls.remove(&call);
            input.leader.push(LeaderEvent::CallerDisconnected { call });
        }
    }

    /// The number of a host of the settings.
    pub(super) fn host_number(&self, name: &str) -> Option<HostNumber> {
        let hosts = &self.options.settings.hosts;
        let index = hosts.iter().position(|host| host.name == name)?;
        Some(HostNumber(index as u32))
    }

    /// A number for a call of this service.
    pub(super) fn new_call(&mut self) -> CallId {
        self.last_call += 1;
        CallId(self.last_call)
    }

    /// A number for a peer's call.
    pub(super) fn register_call(&mut self, conn: u64, call: u64) -> CallId {
        let id = self.new_call();
        self.calls.insert(id, PeerCall { conn, call });
        id
    }

    /// Sends subscribers what is new.
    pub(super) fn update_subscriptions(&mut self) {
        if self.subscriptions.is_empty() {
            return;
        }
        let hosts = self.host_status();
        let view = ServiceView {
            leader: &self.leader,
            membership: &self.membership.membership,
            event_log: &self.event_log,
            epoch: self.epoch.0,
            store_fault: &self.store_fault,
            hosts: &hosts,
        };
        for (conn, subscription) in &mut self.subscriptions {
            let Some(peer) = self.peers.get(conn) else {
                continue;
            };
            subscription.update(&view, Instant::now(), |update| {
                peer.frames.send(Body::SubscriptionUpdate(update))
            });
        }
    }

    /// What each host has applied, and what waits for it.
    pub(super) fn host_status(&self) -> Vec<pb::HostStatus> {
        let waits = self.leader.waits_for(self.leader.persisted());
        let waits: BTreeMap<Name, bool> = waits.into_iter().collect();
        let connected: BTreeSet<&str> = self
            .peers
            .values()
            .filter(|peer| peer.host.is_some())
            .map(|peer| peer.name.as_str())
            .collect();
        let mut hosts = Vec::new();
        for (name, applied) in self.leader.follows() {
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
