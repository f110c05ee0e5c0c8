//! Watch subscriptions of operators: a subscriber receives the complete state first, and then the
//! changes.
//!
//! The state service's loop calls [`EventLog::add`] with each event, and [`Subscription::update`]
//! with the present state, which sends the frames for one subscriber. Each update is the difference
//! to the updates before. A slow subscriber therefore receives fewer updates, and no change twice.
//! State, for each subscriber: the last report of every node. No I/O.

mod event_log;
mod node_report;

pub use event_log::EventLog;

use crate::codec::{change_to_proto, revision_to_proto};
use crate::parts::send_in_parts;
use grebecleat_catalog::leader::Leader;
use grebecleat_catalog::records::Version;
use grebecleat_membership::drains::Membership;
use grebecleat_wire::pb;
use node_report::{equal_except_times, node_to_proto};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Minimum time between two updates of one subscriber. A shorter time costs the service work for
/// each subscriber; a longer one delays what an operator sees.
pub const MIN_UPDATE_INTERVAL: Duration = Duration::from_millis(100);

/// The subscription of one subscriber.
pub struct Subscription {
    /// The subscriber's own number of its call.
    call: u64,
    /// Version of the catalog that was sent last; `None` before the first update.
    version: Option<Version>,
    stable: Version,
    /// The last report of each node.
    nodes: BTreeMap<u32, pb::NodeReport>,
    /// The head of the last update, without its revisions, nodes and events.
    head: Option<pb::SubscriptionUpdate>,
    /// Number of the next event to send.
    next_event: u64,
    updated_at: Option<Instant>,
}

/// A read-only view of the service's state, for the updates of all subscribers.
pub struct ServiceView<'a> {
    /// The catalog and its followers.
    pub leader: &'a Leader,
    /// The nodes and their drains.
    pub membership: &'a Membership,
    /// The last events of nodes.
    pub event_log: &'a EventLog,
    /// The epoch of the catalog's history.
    pub epoch: u64,
    /// The last failure of the store; empty if the last commit succeeded.
    pub store_fault: &'a str,
    /// The status of each host, indexed by host number.
    pub hosts: &'a [pb::HostStatus],
}

impl Subscription {
    /// Returns a subscription that has sent nothing. `call`: the subscriber's number of its call.
    pub fn new(call: u64) -> Self {
        Subscription {
            call,
            version: None,
            stable: Version(0),
            nodes: BTreeMap::new(),
            head: None,
            next_event: 0,
            updated_at: None,
        }
    }

    /// Returns when the next update may be sent; `None` if it may be sent at once.
    fn due_at(&self) -> Option<Instant> {
        Some(self.updated_at? + MIN_UPDATE_INTERVAL)
    }

    /// Passes the frames of an update to `send`. Does not call `send` if nothing has changed, or if
    /// the update is not due yet.
    pub fn update(
        &mut self,
        view: &ServiceView,
        now: Instant,
        send: impl FnMut(pb::SubscriptionUpdate),
    ) {
        if self.due_at().is_some_and(|at| now < at) {
            return;
        }
        let version = view.leader.persisted();
        let stable = view.leader.stable();
        let head = self.head(view);
        let nodes = self.changed_nodes(view);
        let happened = view.event_log.since(self.next_event);
        let same_head = self.head.as_ref() == Some(&head);
        let same_catalog = self.version == Some(version) && self.stable == stable;
        if same_head && same_catalog && nodes.is_empty() && happened.is_empty() {
            return;
        }
        self.head = Some(head.clone());
        self.next_event = view.event_log.end();
        self.updated_at = Some(now);
        self.stable = stable;
        let update = pb::SubscriptionUpdate {
            nodes,
            happened,
            ..head
        };
        self.send_update(view, version, update, send);
        self.version = Some(version);
    }

    fn head(&self, view: &ServiceView) -> pb::SubscriptionUpdate {
        let shortfall = view.leader.admission().shortfall();
        pb::SubscriptionUpdate {
            call: self.call,
            version: view.leader.persisted().0,
            stable: view.leader.stable().0,
            epoch: view.epoch,
            hosts: view.hosts.to_vec(),
            short: shortfall.short,
            out_of_reach: shortfall.out_of_reach,
            behind: view.leader.behind().map(|version| version.0),
            store_fault: view.store_fault.to_string(),
            ..pb::SubscriptionUpdate::default()
        }
    }

    /// Returns the reports of the nodes that have changed since the last update.
    fn changed_nodes(&mut self, view: &ServiceView) -> Vec<pb::NodeReport> {
        let shortfall = view.leader.admission().shortfall();
        let missing = shortfall.short + shortfall.out_of_reach;
        let mut changed = Vec::new();
        for node in view.membership.nodes(missing) {
            let report = node_to_proto(&node, view.hosts);
            let sent = self.nodes.get(&node.node);
            if sent.is_none_or(|sent| !equal_except_times(sent, &report)) {
                self.nodes.insert(node.node, report.clone());
                changed.push(report);
            }
        }
        changed
    }

    /// Sends an update with the revisions after the last update, or with the complete state.
    fn send_update(
        &self,
        view: &ServiceView,
        version: Version,
        mut update: pb::SubscriptionUpdate,
        mut send: impl FnMut(pb::SubscriptionUpdate),
    ) {
        let catalog = view.leader.catalog();
        if let Some(revisions) = self.version.and_then(|version| catalog.since(version)) {
            let revisions = revisions.filter(|revision| revision.version <= version);
            update.revisions = revisions.map(revision_to_proto).collect();
            return send(update);
        }
        // The complete state: in the first update, and if the audit log no longer has the revisions
        // after the last update.
        let state = catalog
            .state_at(version)
            .map(|change| change_to_proto(&change));
        update.snapshot = true;
        let mut first = Some(update);
        send_in_parts(state, |state, more| {
            let part = first.take().unwrap_or(pb::SubscriptionUpdate {
                call: self.call,
                ..pb::SubscriptionUpdate::default()
            });
            send(pb::SubscriptionUpdate {
                state,
                more,
                ..part
            });
        });
    }
}
