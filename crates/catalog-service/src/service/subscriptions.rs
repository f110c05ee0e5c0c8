//! Operators' watch subscriptions, and the event log that they read.
//!
//! Owned by [`super::owner`]. State: one subscription for each connection that has subscribed, and
//! the last events of nodes.

use super::membership_link::NodeNotice;
use super::peer_table::PeerTable;
use super::service_state::ServiceState;
use super::wall_time::wall_time;
use crate::subscription::{EventLog, ServiceView, Subscription};
use grebecleat_membership::drains::Membership;
use grebecleat_wire::pb::frame::Body;
use std::collections::BTreeMap;
use std::time::Instant;
use tracing::info;

/// The subscriptions by connection number.
#[derive(Default)]
pub(super) struct SubscriptionTable {
    event_log: EventLog,
    subscriptions: BTreeMap<u64, Subscription>,
}

impl SubscriptionTable {
    /// Subscribes a connection. `call`: the subscriber's own number of its call.
    pub fn subscribe(&mut self, conn: u64, call: u64) {
        self.subscriptions.insert(conn, Subscription::new(call));
    }

    /// Ends the subscription of a connection, if it has one.
    pub fn unsubscribe(&mut self, conn: u64) {
        self.subscriptions.remove(&conn);
    }

    /// Returns whether there is no subscription.
    pub fn is_empty(&self) -> bool {
        self.subscriptions.is_empty()
    }

    /// Adds events of nodes to the event log and to this process's log.
    pub fn add_notices(&mut self, notices: Vec<NodeNotice>) {
        for NodeNotice { node, text } in notices {
            info!(node, "{text}");
            self.event_log.add(wall_time(), Some(node), text);
        }
    }

    /// Sends each subscriber its next update, if the state has changed and the update is due.
    pub fn update(&mut self, state: &ServiceState, membership: &Membership, peers: &PeerTable) {
        if self.subscriptions.is_empty() {
            return;
        }
        let hosts = peers.host_status(state.leader);
        let view = ServiceView {
            leader: state.leader,
            membership,
            event_log: &self.event_log,
            epoch: state.epoch.0,
            store_fault: state.store_fault,
            hosts: &hosts,
        };
        for (conn, subscription) in &mut self.subscriptions {
            let Some((_, frames)) = peers.connection(*conn) else {
                continue;
            };
            subscription.update(&view, Instant::now(), |update| {
                frames.send(Body::SubscriptionUpdate(update))
            });
        }
    }
}
