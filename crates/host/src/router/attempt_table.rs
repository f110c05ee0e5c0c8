//! Outstanding attempts and their deadlines.
//!
//! The router updates the table when an attempt starts, is assigned to a connection, or ends. The
//! table also counts the outstanding attempts to each node, and knows until when an attempt that
//! ended without a response may still run at its node: both are reported for nodes that are drained.
//! It stores one entry for each outstanding attempt, and two for each node.

use super::ConnId;
use crate::outbox::AttemptId;
use grebecleat_scheduler::api::{AttemptOutcome, NodeId, RequestId};
use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

/// Returns whether an attempt with this outcome may still run at its node.
pub(super) fn may_still_run(outcome: AttemptOutcome) -> bool {
    use AttemptOutcome::{Cancelled, ConnectionReset, TimedOut};
    matches!(outcome, TimedOut | Cancelled | ConnectionReset)
}

/// An attempt that has not ended.
#[derive(Debug)]
pub(super) struct OutstandingAttempt {
    request: RequestId,
    number: u32,
    node: NodeId,
    conn: Option<ConnId>,
    /// When the attempt was assigned to its connection, or requested if it still waits for one.
    timed_from: Duration,
    deadline: Duration,
    /// Whether the attempt was taken off a connection that ended.
    reassigned: bool,
}

impl OutstandingAttempt {
    /// Creates an attempt that the scheduler has requested at `now`, and that waits for a connection.
    pub(super) fn new(
        request: RequestId,
        number: u32,
        node: NodeId,
        now: Duration,
        deadline: Duration,
    ) -> Self {
        OutstandingAttempt {
            request,
            number,
            node,
            conn: None,
            timed_from: now,
            deadline,
            reassigned: false,
        }
    }

    /// Returns the id of its request.
    pub(super) fn request(&self) -> RequestId {
        self.request
    }

    /// Returns its number among the attempts of its request, which starts at 0.
    pub(super) fn number(&self) -> u32 {
        self.number
    }

    /// Returns its node.
    pub(super) fn node(&self) -> NodeId {
        self.node
    }

    /// Returns its connection, or `None` while it waits for one.
    pub(super) fn conn(&self) -> Option<ConnId> {
        self.conn
    }

    /// Returns the time from which its duration is counted: when it was assigned to its connection, or
    /// when the scheduler requested it if it has not been assigned yet.
    pub(super) fn timed_from(&self) -> Duration {
        self.timed_from
    }

    /// Returns its deadline.
    pub(super) fn deadline(&self) -> Duration {
        self.deadline
    }
}

/// All outstanding attempts.
#[derive(Debug)]
pub(super) struct AttemptTable {
    attempts: HashMap<AttemptId, OutstandingAttempt>,
    deadlines: BTreeSet<(Duration, AttemptId)>,
    /// The number of outstanding attempts to each node.
    outstanding_per_node: HashMap<NodeId, u32>,
    /// Until when an attempt that ended without a response may still run at its node.
    may_run_until: HashMap<NodeId, Duration>,
    /// The longest time that a request of any traffic class may take.
    longest_deadline: Duration,
}

impl AttemptTable {
    /// Creates an empty table. `longest_deadline` is the longest time that a request of any traffic
    /// class may take.
    pub(super) fn new(longest_deadline: Duration) -> Self {
        AttemptTable {
            attempts: HashMap::new(),
            deadlines: BTreeSet::new(),
            outstanding_per_node: HashMap::new(),
            may_run_until: HashMap::new(),
            longest_deadline,
        }
    }

    /// Returns the longest time that a request of any traffic class may take.
    pub(super) fn longest_deadline(&self) -> Duration {
        self.longest_deadline
    }

    /// Returns the number of outstanding attempts.
    pub(super) fn len(&self) -> usize {
        self.attempts.len()
    }

    /// Returns an attempt, or `None` if it is not outstanding.
    pub(super) fn get(&self, attempt: AttemptId) -> Option<&OutstandingAttempt> {
        self.attempts.get(&attempt)
    }

    /// Returns the attempt with this number among `attempts`, which must be those of one request.
    pub(super) fn find_by_number(&self, attempts: &[AttemptId], number: u32) -> Option<AttemptId> {
        let has_number = |id: &AttemptId| {
            let attempt = self.attempts.get(id);
            attempt.is_some_and(|attempt| attempt.number == number)
        };
        attempts.iter().copied().find(has_number)
    }

    /// Adds an attempt. Its deadline takes effect once [`AttemptTable::start_deadline`] is called.
    pub(super) fn insert(&mut self, id: AttemptId, attempt: OutstandingAttempt) {
        *self.outstanding_per_node.entry(attempt.node).or_default() += 1;
        self.attempts.insert(id, attempt);
    }

    /// Puts the deadline of an attempt into effect.
    pub(super) fn start_deadline(&mut self, attempt: AttemptId, deadline: Duration) {
        self.deadlines.insert((deadline, attempt));
    }

    /// Returns the earliest deadline.
    pub(super) fn first_deadline(&self) -> Option<Duration> {
        self.deadlines.first().map(|(at, _)| *at)
    }

    /// Returns an attempt whose deadline has passed. Each attempt is returned once.
    pub(super) fn take_expired(&mut self, now: Duration) -> Option<AttemptId> {
        let &(at, attempt) = self.deadlines.first()?;
        if at > now {
            return None;
        }
        self.deadlines.remove(&(at, attempt));
        Some(attempt)
    }

    /// Assigns a waiting attempt to a connection, and returns the attempt and when its wait began. The
    /// duration of the attempt is counted from `now` on, since the time that an attempt waits for a
    /// connection is no evidence about its node.
    pub(super) fn assign(
        &mut self,
        attempt: AttemptId,
        conn: ConnId,
        now: Duration,
    ) -> (&OutstandingAttempt, Duration) {
        let attempt = self.attempts.get_mut(&attempt);
        let attempt = attempt.expect("an attempt that waits for a connection is outstanding");
        attempt.conn = Some(conn);
        let waiting_since = std::mem::replace(&mut attempt.timed_from, now);
        (attempt, waiting_since)
    }

    /// Takes an attempt off its connection, which has ended, so that it waits for another one, and
    /// returns its node. Returns `None` if the attempt was already taken off a connection once, or if
    /// its deadline has passed.
    pub(super) fn unassign(&mut self, attempt: AttemptId, now: Duration) -> Option<NodeId> {
        let attempt = self.attempts.get_mut(&attempt)?;
        if attempt.reassigned || attempt.deadline <= now {
            return None;
        }
        attempt.reassigned = true;
        attempt.conn = None;
        Some(attempt.node)
    }

    /// Removes the deadline of an attempt whose response has started: from now on only the client's
    /// deadline applies. Returns `None` if the attempt is not outstanding on this connection.
    pub(super) fn response_started(
        &mut self,
        id: AttemptId,
        conn: ConnId,
    ) -> Option<&OutstandingAttempt> {
        let attempt = self.attempts.get_mut(&id);
        let attempt = attempt.filter(|attempt| attempt.conn == Some(conn))?;
        self.deadlines.remove(&(attempt.deadline, id));
        attempt.deadline = Duration::MAX;
        Some(attempt)
    }

    /// Removes an attempt that has ended.
    pub(super) fn remove(
        &mut self,
        id: AttemptId,
        outcome: AttemptOutcome,
        now: Duration,
    ) -> Option<OutstandingAttempt> {
        let ended = self.attempts.remove(&id)?;
        self.deadlines.remove(&(ended.deadline, id));
        if let Some(count) = self.outstanding_per_node.get_mut(&ended.node) {
            *count -= 1;
        }
        if may_still_run(outcome) {
            let until = now + self.longest_deadline;
            let known = self.may_run_until.entry(ended.node).or_insert(until);
            *known = until.max(*known);
        }
        Some(ended)
    }

    /// Returns the number of outstanding attempts to a node.
    pub(super) fn outstanding_at(&self, node: NodeId) -> u32 {
        self.outstanding_per_node.get(&node).copied().unwrap_or(0)
    }

    /// Returns for how much longer an attempt that ended without a response may run at the node.
    pub(super) fn may_run_for(&self, node: NodeId, now: Duration) -> Duration {
        let until = self.may_run_until.get(&node).copied();
        until.unwrap_or_default().saturating_sub(now)
    }

    /// Records that a node's process was replaced. The new process runs no attempt of the former one.
    pub(super) fn node_restarted(&mut self, node: NodeId) {
        self.may_run_until.remove(&node);
    }
}
