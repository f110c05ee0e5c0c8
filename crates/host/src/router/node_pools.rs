//! The connection pools of all nodes, and the attempts that wait for a connection.
//!
//! For each node, [`crate::pool`] decides how many connections there should be. [`NodePools`] owns the
//! existing connections and dials, the attempts on each of them, and the waiting attempts. It stores
//! one entry for each node that has had an attempt, and one for each connection and dial; the settings
//! bound the number of connections and dials.

use super::health_checks::HealthChecks;
use super::node_connection::NodeConnection;
use super::types::{ConnId, WireMode};
use crate::outbox::{AttemptId, Outbox};
use crate::pool::{Pool, PoolAction, PoolStatus, MAX_LATE_DIALS};
use grebecleat_scheduler::api::NodeId;
use grebecleat_settings::{Bounds, Settings};
use grebecleat_wire::pb;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

/// The time between a response and the next attempt on a connection that carries one exchange at a
/// time. A duplicate of the response arrives within some milliseconds; without this delay it would be
/// read as the response to the next attempt. With a longer delay, an attempt waits or one more
/// connection is dialled more often, when all connections to a node have just received a response.
const REUSE_DELAY: Duration = Duration::from_millis(10);
/// Fraction of the tightest latency objective that a dial may take before another dial is started. Two
/// dials in a row then take about as long as an attempt may be late before the scheduler suspects its
/// node. A larger fraction makes attempts wait longer for a slow dial; a smaller one dials nodes more
/// than once that are merely slow.
const LATE_DIAL_FRACTION: f64 = 0.1;

/// The connections to one node, and the attempts that wait for a connection to it.
#[derive(Debug)]
struct NodePool {
    /// Decides how many connections there should be.
    policy: Pool,
    conns: Vec<ConnId>,
    waiting: VecDeque<AttemptId>,
}

/// The pools of all nodes.
#[derive(Debug)]
pub(super) struct NodePools {
    settings: Arc<Settings>,
    /// The seed for the jitter of the pools' dial backoff.
    seed: u64,
    wire_mode: WireMode,
    /// The time after which a dial that has not succeeded is late.
    late_dial_after: Duration,
    conns: BTreeMap<ConnId, NodeConnection>,
    pools: BTreeMap<NodeId, NodePool>,
    /// Nodes whose pool has changed since it was last asked for an action.
    changed: BTreeSet<NodeId>,
    /// When to look at a pool again: a connection to the node becomes reusable, or a dial late.
    rechecks: BTreeSet<(Duration, NodeId)>,
    health_checks: HealthChecks,
}

impl NodePools {
    /// Creates pools without connections. `seed` seeds the jitter of the pools' dial backoff.
    pub(super) fn new(settings: Arc<Settings>, seed: u64) -> Self {
        let classes = settings.traffic_classes.iter();
        let tightest_objective = classes.map(|class| class.facts.latency_objective).min();
        let late_dial_after = tightest_objective
            .unwrap_or_default()
            .mul_f64(LATE_DIAL_FRACTION)
            .max(REUSE_DELAY);
        NodePools {
            settings,
            seed,
            wire_mode: WireMode::default(),
            late_dial_after,
            conns: BTreeMap::new(),
            pools: BTreeMap::new(),
            changed: BTreeSet::new(),
            rechecks: BTreeSet::new(),
            health_checks: HealthChecks::default(),
        }
    }

    /// Sets the mode to [`WireMode::Exclusive`].
    pub(super) fn with_exclusive_connections(self) -> Self {
        NodePools {
            wire_mode: WireMode::Exclusive,
            ..self
        }
    }

    /// Returns how connections are used.
    pub(super) fn wire_mode(&self) -> WireMode {
        self.wire_mode
    }

    fn bounds(&self) -> &Bounds {
        &self.settings.bounds
    }

    /// Returns the outstanding health checks.
    #[cfg(test)]
    pub(super) fn health_checks(&self) -> &HealthChecks {
        &self.health_checks
    }

    /// Returns the outstanding health checks, for updating.
    pub(super) fn health_checks_mut(&mut self) -> &mut HealthChecks {
        &mut self.health_checks
    }

    /// Returns the time within which all dials that may run at the same time should have succeeded. If
    /// an attempt waits longer for a connection, the node causes the delay.
    pub(super) fn dial_allowance(&self) -> Duration {
        self.late_dial_after * (MAX_LATE_DIALS as u32 + 1)
    }

    /// Returns when [`NodePools::take_due_recheck`] next returns a node.
    pub(super) fn next_recheck_at(&self) -> Option<Duration> {
        self.rechecks.first().map(|(at, _)| *at)
    }

    /// Returns a node whose waiting attempts may now be assigned to a connection, or need another dial.
    pub(super) fn take_due_recheck(&mut self, now: Duration) -> Option<NodeId> {
        let &(at, node) = self.rechecks.first()?;
        if at > now {
            return None;
        }
        self.rechecks.remove(&(at, node));
        Some(node)
    }
}

/// Handles attempts, which wait for a connection, are assigned to one, and are released.
impl NodePools {
    /// Adds an attempt to those that wait for a connection to the node, behind them.
    pub(super) fn enqueue(&mut self, node: NodeId, attempt: AttemptId) {
        let bounds = &self.settings.bounds;
        let per_connection = bounds.attempts_per_connection;
        let connections = bounds.connections_per_node;
        let seed = self.seed ^ u64::from(node.0);
        let pool = self.pools.entry(node).or_insert_with(|| NodePool {
            policy: Pool::new(per_connection, connections, seed),
            conns: Vec::new(),
            waiting: VecDeque::new(),
        });
        pool.waiting.push_back(attempt);
    }

    /// Adds an attempt whose connection has ended to those that wait, ahead of them.
    pub(super) fn enqueue_first(&mut self, node: NodeId, attempt: AttemptId) {
        if let Some(pool) = self.pools.get_mut(&node) {
            pool.waiting.push_front(attempt);
        }
    }

    /// Records that the pool of a node has changed and may want an action.
    pub(super) fn mark_changed(&mut self, node: NodeId) {
        self.changed.insert(node);
    }

    /// Removes and returns the first attempt that waits for the node, and the connection to assign it
    /// to. Returns `None` if no attempt waits or no connection can carry one.
    pub(super) fn take_assignable(
        &mut self,
        node: NodeId,
        now: Duration,
    ) -> Option<(AttemptId, ConnId)> {
        let attempt = *self.pools.get(&node)?.waiting.front()?;
        let conn = self.least_loaded(node, now)?;
        let pool = self.pools.get_mut(&node)?;
        pool.waiting.pop_front();
        Some((attempt, conn))
    }

    /// Returns the connection to which the node's next attempt is to be assigned: the one with the
    /// fewest attempts. If connections have capacity but none is reusable yet, schedules a recheck for
    /// when the first of them is.
    fn least_loaded(&mut self, node: NodeId, now: Duration) -> Option<ConnId> {
        let capacity = self.bounds().attempts_per_connection;
        let mut least_loaded = None;
        let mut first_reusable: Option<Duration> = None;
        for candidate in &self.pools.get(&node)?.conns {
            let Some(conn) = self.conns.get(candidate) else {
                continue;
            };
            if !conn.has_capacity(capacity) {
                continue;
            }
            let reusable_from = conn.reusable_from();
            if reusable_from > now {
                let earlier = first_reusable.map_or(reusable_from, |at| at.min(reusable_from));
                first_reusable = Some(earlier);
                continue;
            }
            let load = conn.load();
            if least_loaded.is_none_or(|(least, _)| load < least) {
                least_loaded = Some((load, *candidate));
            }
        }
        let Some((_, conn)) = least_loaded else {
            self.rechecks.extend(first_reusable.map(|at| (at, node)));
            return None;
        };
        Some(conn)
    }

    /// Assigns an attempt to the connection that [`NodePools::take_assignable`] returned with it, and
    /// puts its frame into the outbox. `client` is the outbox of the connection to the client.
    pub(super) fn put_attempt(
        &mut self,
        attempt: AttemptId,
        conn: ConnId,
        frame: pb::Frame,
        now: Duration,
        deadline: Duration,
        client: Option<Arc<Outbox>>,
    ) {
        let conn = self.conns.get_mut(&conn);
        let conn = conn.expect("an attempt is assigned to an existing connection");
        conn.assign(attempt, frame, now, deadline, client);
    }

    /// Tries to revoke an attempt before it is written to its node, and returns whether it is revoked:
    /// the node then never runs it. If the attempt is written in part on a connection that carries one
    /// exchange at a time, the connection is closed: otherwise the node would receive the rest when it
    /// reads again. `conn` is `None` while the attempt waits for a connection.
    pub(super) fn revoke(&self, attempt: AttemptId, conn: Option<ConnId>) -> bool {
        let conn = conn.and_then(|conn| self.conns.get(&conn));
        match conn.and_then(|conn| conn.outbox()) {
            None => true,
            Some(outbox) if outbox.revoke(attempt) => true,
            Some(outbox) if self.wire_mode.is_exclusive() && outbox.is_writing() => {
                outbox.close();
                true
            }
            Some(_) => false,
        }
    }

    /// Removes an attempt that has ended from its connection, or from those that wait. `responded`
    /// states whether its node has sent a response.
    pub(super) fn release(
        &mut self,
        attempt: AttemptId,
        node: NodeId,
        conn: Option<ConnId>,
        now: Duration,
        responded: bool,
    ) {
        let exclusive = self.wire_mode.is_exclusive();
        if let Some(conn) = conn.and_then(|conn| self.conns.get_mut(&conn)) {
            conn.release(attempt, now);
            if exclusive && responded {
                conn.delay_reuse(now + REUSE_DELAY);
            }
        } else if let Some(pool) = self.pools.get_mut(&node) {
            pool.waiting.retain(|other| *other != attempt);
        }
    }

    /// Returns the attempts that wait for a connection to the node.
    pub(super) fn waiting(&self, node: NodeId) -> Vec<AttemptId> {
        let pool = self.pools.get(&node);
        pool.map(|pool| pool.waiting.iter().copied().collect())
            .unwrap_or_default()
    }

    /// Returns the attempts that wait for a connection to any node.
    pub(super) fn all_waiting(&self) -> impl Iterator<Item = AttemptId> + '_ {
        let waiting = self.pools.values().flat_map(|pool| &pool.waiting);
        waiting.copied()
    }

    /// Returns the attempts that wait for a connection to the node or are assigned to one.
    pub(super) fn attempts_to(&self, node: NodeId) -> Vec<AttemptId> {
        let mut attempts = self.waiting(node);
        let conns = self.connections_to(node).iter();
        let conns = conns.filter_map(|conn| self.conns.get(conn));
        attempts.extend(conns.flat_map(|conn| conn.attempts()));
        attempts
    }

    /// Returns the attempts that wait in the outbox of a connection.
    pub(super) fn queued_on(&self, conn: ConnId) -> impl Iterator<Item = AttemptId> + '_ {
        let conn = self.conns.get(&conn);
        let open = conn.and_then(|conn| Some((conn, conn.outbox()?)));
        let queued = open.into_iter().flat_map(|(conn, outbox)| {
            let attempts = conn.attempts().iter();
            attempts.filter(move |attempt| outbox.is_queued(**attempt))
        });
        queued.copied()
    }

    /// Returns the attempts in outboxes that were put there before `put_before` or whose deadline has
    /// passed.
    pub(super) fn stale_in_outboxes(&self, put_before: Duration, now: Duration) -> Vec<AttemptId> {
        let mut stale = Vec::new();
        let busy = self.conns.values();
        for conn in busy.filter(|conn| !conn.attempts().is_empty()) {
            if let Some(outbox) = conn.outbox() {
                stale.extend(outbox.stale(put_before, now));
            }
        }
        stale
    }
}

/// Handles dials, connections, and their ends.
impl NodePools {
    /// Returns a connection or dial, or `None` if it has ended.
    pub(super) fn connection(&self, conn: ConnId) -> Option<&NodeConnection> {
        self.conns.get(&conn)
    }

    /// Returns the connections and dials to a node.
    pub(super) fn connections_to(&self, node: NodeId) -> &[ConnId] {
        let pool = self.pools.get(&node);
        pool.map(|pool| pool.conns.as_slice()).unwrap_or_default()
    }

    /// Returns the first connection to the node that is up, and its outbox.
    pub(super) fn first_up_connection(&self, node: NodeId) -> Option<(ConnId, &Arc<Outbox>)> {
        let mut conns = self.connections_to(node).iter();
        conns.find_map(|conn| Some((*conn, self.conns.get(conn)?.outbox()?)))
    }

    /// Records that a dial has succeeded, and returns its node. If the dial was abandoned, closes the
    /// connection and returns `None`.
    pub(super) fn connected(
        &mut self,
        conn: ConnId,
        outbox: Arc<Outbox>,
        now: Duration,
    ) -> Option<NodeId> {
        let Some(connection) = self.conns.get_mut(&conn) else {
            outbox.close();
            return None;
        };
        connection.dial_succeeded(outbox, now);
        let node = connection.node();
        let pool = self.pools.get_mut(&node);
        let pool = pool.expect("a node that is dialled has a pool");
        pool.policy.dial_succeeded();
        Some(node)
    }

    /// Records that the node accepts no further attempts on a connection.
    pub(super) fn going_away(&mut self, conn: ConnId) {
        if let Some(connection) = self.conns.get_mut(&conn) {
            connection.set_going_away();
        }
    }

    /// Removes a connection that has ended, or a dial that has failed. The caller ends its attempts
    /// afterwards, since each of those ends lets other attempts be assigned, which must not be to this
    /// connection.
    pub(super) fn disconnected(&mut self, conn: ConnId, now: Duration) -> Option<NodeConnection> {
        let ended = self.conns.remove(&conn)?;
        if let Some(pool) = self.pools.get_mut(&ended.node()) {
            pool.conns.retain(|other| *other != conn);
            if !ended.is_up() {
                pool.policy.dial_failed(now);
            }
        }
        Some(ended)
    }

    /// Returns a node whose pool has changed, and the action that the pool wants. Each change is returned
    /// once.
    pub(super) fn next_action(&mut self, now: Duration) -> Option<(NodeId, PoolAction)> {
        while let Some(node) = self.changed.pop_first() {
            if let Some(pool) = self.pools.get(&node) {
                return Some((node, pool.policy.wanted(now, self.status(pool, now))));
            }
        }
        None
    }

    fn status(&self, pool: &NodePool, now: Duration) -> PoolStatus {
        let mut status = PoolStatus {
            waiting: pool.waiting.len(),
            attempts: pool.waiting.len(),
            ..PoolStatus::default()
        };
        let mut not_reusable = 0;
        for conn in pool.conns.iter().filter_map(|conn| self.conns.get(conn)) {
            status.attempts += conn.attempts().len();
            status.up += usize::from(conn.is_up());
            // A connection that is not reusable yet does not count as up. If none is, one of them
            // counts all the same: a single waiting attempt waits for it rather than for a dial.
            let waits_for_reuse = conn.attempts().is_empty() && conn.reusable_from() > now;
            not_reusable += usize::from(waits_for_reuse);
            let late = conn.is_late_dial(self.late_dial_after, now);
            status.late += usize::from(late && self.wire_mode.is_exclusive());
        }
        status.dialling = pool.conns.len() - status.up;
        status.up = (status.up - not_reusable).max(usize::from(status.up > 0));
        status
    }

    /// Records a new dial. The pool is asked again whether it wants another one.
    pub(super) fn dialled(&mut self, conn: ConnId, node: NodeId, now: Duration) {
        self.conns.insert(conn, NodeConnection::dialling(node, now));
        if self.wire_mode.is_exclusive() {
            self.rechecks.insert((now + self.late_dial_after, node));
        }
        if let Some(pool) = self.pools.get_mut(&node) {
            pool.conns.push(conn);
        }
        self.changed.insert(node);
    }

    /// Returns whether the settings allow one more connection to any node.
    pub(super) fn has_capacity(&self) -> bool {
        self.conns.len() < self.bounds().node_connections
    }

    /// Returns the connection that has been idle for the longest time.
    pub(super) fn longest_idle(&self) -> Option<ConnId> {
        let idle = self.conns.iter().filter(|(_, conn)| conn.is_idle());
        let oldest = idle.min_by_key(|(_, conn)| conn.idle_since());
        oldest.map(|(id, _)| *id)
    }

    /// Returns whether a connection has been idle since `since` or longer.
    pub(super) fn is_idle_since(&self, conn: ConnId, since: Duration) -> bool {
        let conn = self.conns.get(&conn);
        conn.is_some_and(|conn| conn.is_idle() && conn.idle_since() <= since)
    }

    /// Returns the nodes to which a connection has been idle for longer than the settings allow.
    pub(super) fn nodes_with_expired_idle(&self, now: Duration) -> BTreeSet<NodeId> {
        let since = self.idle_limit(now);
        let expired = |conn: &&NodeConnection| conn.is_idle() && conn.idle_since() < since;
        let conns = self.conns.values().filter(expired);
        conns.map(|conn| conn.node()).collect()
    }

    /// Returns the time such that a connection that has been idle since before it is to be closed.
    pub(super) fn idle_limit(&self, now: Duration) -> Duration {
        now.saturating_sub(self.bounds().idle)
    }

    /// Returns the dials that have reported neither success nor failure within twice the dial time-out.
    /// A dial should report its failure when its time-out expires.
    pub(super) fn lost_dials(&self, now: Duration) -> Vec<ConnId> {
        let since = now.saturating_sub(self.bounds().dial_timeout * 2);
        let lost = |conn: &NodeConnection| !conn.is_up() && conn.idle_since() < since;
        let conns = self.conns.iter().filter(|(_, conn)| lost(conn));
        conns.map(|(id, _)| *id).collect()
    }

    /// Records that a node's process was replaced. Dials to the former process are abandoned, and the new
    /// process is dialled without backoff.
    pub(super) fn node_restarted(&mut self, node: NodeId) {
        let Some(pool) = self.pools.get_mut(&node) else {
            return;
        };
        pool.policy.forget_failures();
        let dialling = |conn: &ConnId| {
            let connection = self.conns.get(conn);
            connection.is_some_and(|connection| !connection.is_up())
        };
        let dials: Vec<ConnId> = pool.conns.iter().copied().filter(dialling).collect();
        pool.conns.retain(|conn| !dials.contains(conn));
        for conn in dials {
            self.conns.remove(&conn);
        }
        self.changed.insert(node);
    }
}
