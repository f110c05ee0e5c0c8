//! One connection or dial to a node.
//!
//! [`super::node_pools::NodePools`] owns all of them. A connection stores its assigned attempts, whose
//! number the settings bound, and since when it has been idle.

use crate::outbox::{AttemptId, Outbox};
use grebecleat_scheduler::api::NodeId;
use grebecleat_wire::pb;
use std::cmp::Reverse;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

/// A connection or dial to a node.
#[derive(Debug)]
pub(super) struct NodeConnection {
    node: NodeId,
    /// `None` until the dial has succeeded.
    outbox: Option<Arc<Outbox>>,
    attempts: BTreeSet<AttemptId>,
    dialled: Duration,
    idle_since: Duration,
    /// The connection is not assigned another attempt before this time.
    reusable_from: Duration,
    /// Whether the node has announced that it accepts no further attempts on this connection.
    going_away: bool,
}

impl NodeConnection {
    /// Creates a dial that has just started.
    pub(super) fn dialling(node: NodeId, now: Duration) -> Self {
        NodeConnection {
            node,
            outbox: None,
            attempts: BTreeSet::new(),
            dialled: now,
            idle_since: now,
            reusable_from: Duration::ZERO,
            going_away: false,
        }
    }

    /// Returns the node.
    pub(super) fn node(&self) -> NodeId {
        self.node
    }

    /// Returns the outbox of frames to be written to the node, or `None` until the dial has succeeded.
    pub(super) fn outbox(&self) -> Option<&Arc<Outbox>> {
        self.outbox.as_ref()
    }

    /// Returns the attempts that are assigned to the connection.
    pub(super) fn attempts(&self) -> &BTreeSet<AttemptId> {
        &self.attempts
    }

    /// Returns the time from which the connection may be assigned another attempt.
    pub(super) fn reusable_from(&self) -> Duration {
        self.reusable_from
    }

    /// Returns whether the dial has succeeded.
    pub(super) fn is_up(&self) -> bool {
        self.outbox.is_some()
    }

    /// Returns whether the connection is up and has no attempt.
    pub(super) fn is_idle(&self) -> bool {
        self.is_up() && self.attempts.is_empty()
    }

    /// Returns when its last attempt ended. Before the first attempt has ended, returns when the dial
    /// succeeded, or when it started if it has not succeeded yet.
    pub(super) fn idle_since(&self) -> Duration {
        self.idle_since
    }

    /// Returns whether this is a dial that started at least `late_after` ago and has not succeeded.
    pub(super) fn is_late_dial(&self, late_after: Duration, now: Duration) -> bool {
        !self.is_up() && self.dialled + late_after <= now
    }

    /// Returns whether the connection may carry one more attempt, regardless of
    /// [`NodeConnection::reusable_from`]. `capacity` is the most attempts that a connection carries.
    pub(super) fn has_capacity(&self, capacity: usize) -> bool {
        self.is_up() && !self.going_away && self.attempts.len() < capacity
    }

    /// Returns the sort key for the choice of a connection: the one with the fewest attempts comes
    /// first, and among idle connections the most recently used, so that the others stay idle for long
    /// enough to be closed.
    pub(super) fn load(&self) -> (usize, Reverse<Duration>) {
        (self.attempts.len(), Reverse(self.idle_since))
    }

    /// Records that the dial has succeeded.
    pub(super) fn dial_succeeded(&mut self, outbox: Arc<Outbox>, now: Duration) {
        self.outbox = Some(outbox);
        self.idle_since = now;
    }

    /// Records that the node accepts no further attempts on this connection.
    pub(super) fn set_going_away(&mut self) {
        self.going_away = true;
    }

    /// Adds an attempt and puts its frame into the outbox. `client` is the outbox of the connection to
    /// the client.
    pub(super) fn assign(
        &mut self,
        attempt: AttemptId,
        frame: pb::Frame,
        now: Duration,
        deadline: Duration,
        client: Option<Arc<Outbox>>,
    ) {
        self.attempts.insert(attempt);
        let outbox = self.outbox.as_ref();
        let outbox = outbox.expect("an attempt is assigned to a connection that is up");
        outbox.put_client_attempt(attempt, frame, now, deadline, client);
    }

    /// Removes an attempt that has ended.
    pub(super) fn release(&mut self, attempt: AttemptId, now: Duration) {
        self.attempts.remove(&attempt);
        self.idle_since = now;
    }

    /// Prevents the connection from being assigned another attempt before `reusable_from`.
    pub(super) fn delay_reuse(&mut self, reusable_from: Duration) {
        self.reusable_from = reusable_from;
    }
}
