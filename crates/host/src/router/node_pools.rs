//! Connections to nodes, and the attempts that wait for one.
//!
//! Called by the router. For each node, [`crate::pool`] decides how many connections there should
//! be; this table owns the connections and dials that there are, the attempts on each of them, and
//! the attempts that wait. Memory: one entry for each node that has had an attempt, and one for
//! each connection and dial, which the settings bound.

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

/// On a connection that carries one exchange at a time, the time between a response and the next
/// attempt. A duplicate of the response arrives within some milliseconds; on a connection without
/// this pause it would be taken for the response to the next attempt. With a longer pause, where
/// all connections to a node have just received a response, an attempt waits, or one more
/// connection is dialled.
const PAUSE_AFTER_RESPONSE: Duration = Duration::from_millis(10);
/// Fraction of the tightest latency objective that a handshake may take before a second dial is
/// started. Two dials in a row then take about as long as an attempt may be late before the
/// scheduler suspects its node. A larger fraction delays the attempts behind a slow dial; a smaller
/// one dials nodes that are merely slow more than once.
const HANDSHAKE_FRACTION: f64 = 0.1;

/// The connections to one node, and the attempts that wait for one.
#[derive(Debug)]
struct NodePool {
    pool: Pool,
    conns: Vec<ConnId>,
    waiting: VecDeque<AttemptId>,
}

/// The pools of all nodes.
#[derive(Debug)]
pub(super) struct NodePools {
    settings: Arc<Settings>,
    /// Seed of the jitter of the pools.
    seed: u64,
    wire_mode: WireMode,
    /// A dial that takes longer than this is late.
    handshake: Duration,
    conns: BTreeMap<ConnId, NodeConnection>,
    pools: BTreeMap<NodeId, NodePool>,
    /// Nodes whose pool may want an action.
    changed: BTreeSet<NodeId>,
    /// When a pause of a connection for which an attempt waits ends, or a dial becomes late.
    checks: BTreeSet<(Duration, NodeId)>,
    health_checks: HealthChecks,
}

impl NodePools {
    /// No connections. `seed` is the seed of the pools' jitter.
    pub(super) fn new(settings: Arc<Settings>, seed: u64) -> Self {
        let classes = settings.traffic_classes.iter();
        let tightest_objective = classes.map(|class| class.facts.latency_objective).min();
        let handshake = tightest_objective
            .unwrap_or_default()
            .mul_f64(HANDSHAKE_FRACTION)
            .max(PAUSE_AFTER_RESPONSE);
        NodePools {
            settings,
            seed,
            wire_mode: WireMode::default(),
            handshake,
            conns: BTreeMap::new(),
            pools: BTreeMap::new(),
            changed: BTreeSet::new(),
            checks: BTreeSet::new(),
            health_checks: HealthChecks::default(),
        }
    }

    /// Uses each connection for one exchange at a time.
    pub(super) fn with_exclusive_connections(self) -> Self {
        NodePools {
            wire_mode: WireMode::Exclusive,
            ..self
        }
    }

    /// How connections are used.
    pub(super) fn wire_mode(&self) -> WireMode {
        self.wire_mode
    }

    fn bounds(&self) -> &Bounds {
        &self.settings.bounds
    }

    /// The health checks that were sent on the connections.
    #[cfg(test)]
    pub(super) fn health_checks(&self) -> &HealthChecks {
        &self.health_checks
    }

    /// The health checks that were sent on the connections, to be updated.
    pub(super) fn health_checks_mut(&mut self) -> &mut HealthChecks {
        &mut self.health_checks
    }

    /// The time within which each of the dials that may run at a time has had its handshake. An
    /// attempt that waits longer for its connection waits because of the node.
    pub(super) fn dial_allowance(&self) -> Duration {
        self.handshake * (MAX_LATE_DIALS as u32 + 1)
    }

    /// Returns when [`NodePools::take_due_check`] next returns a node.
    pub(super) fn first_check(&self) -> Option<Duration> {
        self.checks.first().map(|(at, _)| *at)
    }

    /// Returns a node whose waiting attempts may now have a connection, or need another dial.
    pub(super) fn take_due_check(&mut self, now: Duration) -> Option<NodeId> {
        let &(at, node) = self.checks.first()?;
        if at > now {
            return None;
        }
        self.checks.remove(&(at, node));
        Some(node)
    }
}

/// Attempts: waiting, assigned, released.
impl NodePools {
    /// Adds an attempt to those that wait for a connection to the node.
    pub(super) fn enqueue(&mut self, node: NodeId, attempt: AttemptId) {
        let bounds = &self.settings.bounds;
        let per_connection = bounds.attempts_per_connection;
        let connections = bounds.connections_per_node;
        let seed = self.seed ^ u64::from(node.0);
        let pool = self.pools.entry(node).or_insert_with(|| NodePool {
            pool: Pool::new(per_connection, connections, seed),
            conns: Vec::new(),
            waiting: VecDeque::new(),
        });
        pool.waiting.push_back(attempt);
    }

    /// Puts an attempt whose connection has ended before all others that wait.
    pub(super) fn enqueue_first(&mut self, node: NodeId, attempt: AttemptId) {
        if let Some(pool) = self.pools.get_mut(&node) {
            pool.waiting.push_front(attempt);
        }
    }

    /// Notes that the pool of a node may want an action.
    pub(super) fn mark_changed(&mut self, node: NodeId) {
        self.changed.insert(node);
    }

    /// Takes the first attempt that waits for the node, if a connection can carry it, and returns
    /// both.
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

    /// Returns the connection that carries the node's next attempt: the one with the fewest
    /// attempts. Where each connection with capacity pauses, the node is checked again when the
    /// first pause ends.
    fn least_loaded(&mut self, node: NodeId, now: Duration) -> Option<ConnId> {
        let capacity = self.bounds().attempts_per_connection;
        let mut least_loaded = None;
        let mut pause_ends: Option<Duration> = None;
        for candidate in &self.pools.get(&node)?.conns {
            let Some(conn) = self.conns.get(candidate) else {
                continue;
            };
            if !conn.has_capacity(capacity) {
                continue;
            }
            let paused_until = conn.paused_until();
            if paused_until > now {
                let earlier = pause_ends.map_or(paused_until, |at| at.min(paused_until));
                pause_ends = Some(earlier);
                continue;
            }
            let load = conn.load();
            if least_loaded.is_none_or(|(least, _)| load < least) {
                least_loaded = Some((load, *candidate));
            }
        }
        let Some((_, conn)) = least_loaded else {
            self.checks.extend(pause_ends.map(|at| (at, node)));
            return None;
        };
        Some(conn)
    }

    /// Puts an attempt into the outbox of the connection that [`NodePools::take_assignable`]
    /// returned. `client` is the outbox of the client's connection.
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

    /// Revokes an attempt that is not written to its node, and returns whether it now never will
    /// be. A connection that carries one exchange at a time and on which the attempt is written in
    /// part is closed: otherwise the node would receive the rest whenever it reads again. `conn` is
    /// None while the attempt waits for a connection.
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

    /// Removes an attempt that has ended from its connection, or from those that wait. `responded`:
    /// its node has sent a response.
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
                conn.pause(now + PAUSE_AFTER_RESPONSE);
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

    /// Returns the attempts that wait for a connection to the node, and those assigned to one.
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

    /// Returns the attempts in outboxes that were put there before `put_before`, or whose deadline
    /// has passed.
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

/// Connections: dials, idle connections, connections that end.
impl NodePools {
    /// A connection or dial.
    pub(super) fn connection(&self, conn: ConnId) -> Option<&NodeConnection> {
        self.conns.get(&conn)
    }

    /// The connections and dials to a node.
    pub(super) fn connections_to(&self, node: NodeId) -> &[ConnId] {
        let pool = self.pools.get(&node);
        pool.map(|pool| pool.conns.as_slice()).unwrap_or_default()
    }

    /// Returns a connection to the node that is up.
    pub(super) fn connection_up(&self, node: NodeId) -> Option<(ConnId, &Arc<Outbox>)> {
        let mut conns = self.connections_to(node).iter();
        conns.find_map(|conn| Some((*conn, self.conns.get(conn)?.outbox()?)))
    }

    /// Records that a dial has succeeded, and returns its node. None: the dial was given up; the
    /// connection is closed.
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
        connection.came_up(outbox, now);
        let node = connection.node();
        let pool = self.pools.get_mut(&node);
        let pool = pool.expect("a node that is dialled has a pool");
        pool.pool.dial_succeeded();
        Some(node)
    }

    /// Notes that the node accepts no further attempts on a connection.
    pub(super) fn going_away(&mut self, conn: ConnId) {
        if let Some(connection) = self.conns.get_mut(&conn) {
            connection.set_going_away();
        }
    }

    /// Removes a connection that has ended, or a dial that has failed. Its attempts have still to be
    /// ended: their ends let other attempts be assigned, which must not be to this connection.
    pub(super) fn disconnected(&mut self, conn: ConnId, now: Duration) -> Option<NodeConnection> {
        let ended = self.conns.remove(&conn)?;
        if let Some(pool) = self.pools.get_mut(&ended.node()) {
            pool.conns.retain(|other| *other != conn);
            if !ended.is_up() {
                pool.pool.dial_failed(now);
            }
        }
        Some(ended)
    }

    /// Returns a node whose pool has changed, and the action that the pool wants.
    pub(super) fn next_action(&mut self, now: Duration) -> Option<(NodeId, PoolAction)> {
        while let Some(node) = self.changed.pop_first() {
            if let Some(pool) = self.pools.get(&node) {
                return Some((node, pool.pool.wanted(now, self.status(pool, now))));
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
        let mut paused = 0;
        for conn in pool.conns.iter().filter_map(|conn| self.conns.get(conn)) {
            status.attempts += conn.attempts().len();
            status.up += usize::from(conn.is_up());
            // A connection that pauses cannot be used yet; but an attempt that waits alone waits
            // for one of them.
            let pauses = conn.attempts().is_empty() && conn.paused_until() > now;
            paused += usize::from(pauses);
            let late = conn.is_late_dial(self.handshake, now);
            status.late += usize::from(late && self.wire_mode.is_exclusive());
        }
        status.dialling = pool.conns.len() - status.up;
        status.up = (status.up - paused).max(usize::from(status.up > 0));
        status
    }

    /// Records a new dial. The pool may want another one.
    pub(super) fn dialled(&mut self, conn: ConnId, node: NodeId, now: Duration) {
        self.conns.insert(conn, NodeConnection::dialling(node, now));
        if self.wire_mode.is_exclusive() {
            self.checks.insert((now + self.handshake, node));
        }
        if let Some(pool) = self.pools.get_mut(&node) {
            pool.conns.push(conn);
        }
        self.changed.insert(node);
    }

    /// Returns whether there may be one more connection to nodes.
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

    /// Returns the nodes to which a connection has been idle for as long as the settings allow.
    pub(super) fn nodes_with_expired_idle(&self, now: Duration) -> BTreeSet<NodeId> {
        let since = self.idle_limit(now);
        let expired = |conn: &&NodeConnection| conn.is_idle() && conn.idle_since() < since;
        let conns = self.conns.values().filter(expired);
        conns.map(|conn| conn.node()).collect()
    }

    /// A connection that has been idle since then has been idle for as long as the settings allow.
    pub(super) fn idle_limit(&self, now: Duration) -> Duration {
        now.saturating_sub(self.bounds().idle)
    }

    /// Returns the dials that have reported neither success nor failure, for whatever reason. Each
    /// dial has a time-out of its own; this is twice as long.
    pub(super) fn lost_dials(&self, now: Duration) -> Vec<ConnId> {
        let since = now.saturating_sub(self.bounds().dial_timeout * 2);
        let lost = |conn: &NodeConnection| !conn.is_up() && conn.idle_since() < since;
        let conns = self.conns.iter().filter(|(_, conn)| lost(conn));
        conns.map(|(id, _)| *id).collect()
    }

    /// Notes that a node's process was replaced: dials to the former process are forgotten, and the
    /// new process is dialled without backoff.
    pub(super) fn node_restarted(&mut self, node: NodeId) {
        let Some(pool) = self.pools.get_mut(&node) else {
            return;
        };
        pool.pool.forget_failures();
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
