//! One connection to a node, or a dial.
//!
//! Called by [`super::node_pools::NodePools`], which owns all of them. State: the attempts that are
//! assigned to the connection, and since when it is idle. Memory: one entry for each assigned
//! attempt; the settings bound them.

use crate::outbox::{AttemptId, Outbox};
use grebecleat_scheduler::api::NodeId;
use grebecleat_wire::pb;
use std::cmp::Reverse;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

/// A connection to a node, or a dial.
#[derive(Debug)]
pub(super) struct NodeConnection {
    node: NodeId,
    /// None: the dial has not succeeded yet.
    outbox: Option<Arc<Outbox>>,
    attempts: BTreeSet<AttemptId>,
    dialled: Duration,
    idle_since: Duration,
    /// No attempt is assigned to the connection before this moment.
    paused_until: Duration,
    /// The node accepts no further attempts on this connection.
    going_away: bool,
}

impl NodeConnection {
    /// A dial that has just started.
    pub(super) fn dialling(node: NodeId, now: Duration) -> Self {
        NodeConnection {
            node,
            outbox: None,
            attempts: BTreeSet::new(),
            dialled: now,
            idle_since: now,
            paused_until: Duration::ZERO,
            going_away: false,
        }
    }

    /// The node.
    pub(super) fn node(&self) -> NodeId {
        self.node
    }

    /// Frames to be written to the node. None: the dial has not succeeded yet.
    pub(super) fn outbox(&self) -> Option<&Arc<Outbox>> {
        self.outbox.as_ref()
    }

    /// The attempts that are assigned to the connection.
    pub(super) fn attempts(&self) -> &BTreeSet<AttemptId> {
        &self.attempts
    }

    /// The end of its pause. The connection carries no attempt before.
    pub(super) fn paused_until(&self) -> Duration {
        self.paused_until
    }

    /// Whether the dial has succeeded.
    pub(super) fn is_up(&self) -> bool {
        self.outbox.is_some()
    }

    /// Whether the connection is up and has no attempt.
    pub(super) fn is_idle(&self) -> bool {
        self.is_up() && self.attempts.is_empty()
    }

    /// When its last attempt ended; before the first, when it was dialled or came up.
    pub(super) fn idle_since(&self) -> Duration {
        self.idle_since
    }

    /// Whether this is a dial that has taken as long as `handshake`, or longer.
    pub(super) fn is_late_dial(&self, handshake: Duration, now: Duration) -> bool {
        !self.is_up() && self.dialled + handshake <= now
    }

    /// Whether the connection may carry one more attempt, apart from its pause. `capacity` is the
    /// number of attempts that a connection carries.
    pub(super) fn has_capacity(&self, capacity: usize) -> bool {
        self.is_up() && !self.going_away && self.attempts.len() < capacity
    }

    /// The order in which connections are used: the fewest attempts first; among idle connections
    /// the last used, so that the others become old enough to be closed.
    pub(super) fn load(&self) -> (usize, Reverse<Duration>) {
        (self.attempts.len(), Reverse(self.idle_since))
    }

    /// Records that the dial has succeeded.
    pub(super) fn came_up(&mut self, outbox: Arc<Outbox>, now: Duration) {
        self.outbox = Some(outbox);
        self.idle_since = now;
    }

    /// Records that the node accepts no further attempts on the connection.
    pub(super) fn set_going_away(&mut self) {
        self.going_away = true;
    }

    /// Puts an attempt into the outbox. `client` is the outbox of the client's connection.
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
        outbox.put_attempt_of(attempt, frame, now, deadline, client);
    }

    /// Removes an attempt that has ended.
    pub(super) fn release(&mut self, attempt: AttemptId, now: Duration) {
        self.attempts.remove(&attempt);
        self.idle_since = now;
    }

    /// Assigns no attempt to the connection before `until`.
    pub(super) fn pause(&mut self, until: Duration) {
        self.paused_until = until;
    }
}
