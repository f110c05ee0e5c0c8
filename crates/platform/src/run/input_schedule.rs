//! Shares the owner's work among the connections that have sent something.
//!
//! The connections take turns. A [`Turn`] may cost [`TURN_COST`]; what it costs beyond that is subtracted from
//! the connection's next turns (deficit round robin). A connection with little input therefore waits for
//! one turn of each other connection at most, however much those have sent. Connections that this host
//! has dialed (nodes, discovery) and clients' connections have alternate turns while both have input. This
//! module performs no I/O.

use super::listener::LAST_DIALED_CONN;
use grebecleat_host::router::ConnId;
use std::collections::{HashSet, VecDeque};

/// Cost of one turn, in bytes of input. A larger value makes connections wait longer for their turns; a
/// smaller one costs more turns for large messages.
const TURN_COST: usize = 8 << 10;
/// Cost of beginning a turn, in bytes of input.
const BEGIN_COST: usize = 256;
/// Cost of a complete message, in bytes of input: it is passed on or responded to.
const MESSAGE_COST: usize = 4 << 10;

/// A connection that waits for its turn.
#[derive(Debug)]
struct Waiting {
    conn: ConnId,
    /// What its previous turns have cost too much.
    debt: usize,
}

/// The connections that wait for their turns. Memory: one record for each.
#[derive(Debug, Default)]
pub(super) struct InputSchedule {
    clients: VecDeque<Waiting>,
    dialed: VecDeque<Waiting>,
    /// Whether the last turn was that of a dialed connection.
    last_was_dialed: bool,
    waiting: HashSet<ConnId>,
}

/// The connections that may have a turn.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Eligible {
    All,
    /// Connections to nodes and to discovery.
    Dialed,
}

/// The work that the owner may do for one connection before the next one has its turn.
#[derive(Debug)]
pub(super) struct Turn {
    conn: ConnId,
    allowance: usize,
    spent: usize,
}

impl Turn {
    /// Returns the connection whose turn it is.
    pub(super) fn conn(&self) -> ConnId {
        self.conn
    }

    /// Returns how many bytes may still be taken.
    pub(super) fn left(&self) -> usize {
        self.allowance.saturating_sub(self.spent)
    }

    /// Returns whether the turn must end.
    pub(super) fn is_spent(&self) -> bool {
        self.left() == 0
    }

    /// Returns what the turn has cost.
    pub(super) fn spent(&self) -> usize {
        self.spent
    }

    /// Records that this number of bytes was taken.
    pub(super) fn charge_bytes(&mut self, bytes: usize) {
        self.spent += bytes;
    }

    /// Records that a message was complete.
    pub(super) fn charge_message(&mut self) {
        self.spent += MESSAGE_COST;
    }
}

impl InputSchedule {
    /// Adds a connection that has input, unless it waits already.
    pub(super) fn add(&mut self, conn: ConnId) {
        self.enqueue(conn, 0);
    }

    /// Returns whether a connection waits for its turn.
    pub(super) fn contains(&self, conn: ConnId) -> bool {
        self.waiting.contains(&conn)
    }

    /// Returns whether no connection waits.
    pub(super) fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Begins the turn of an eligible connection.
    pub(super) fn begin_turn(&mut self, eligible: Eligible) -> Option<Turn> {
        let is_dialed = match eligible {
            Eligible::Dialed => true,
            Eligible::All if self.clients.is_empty() => true,
            Eligible::All => !self.last_was_dialed && !self.dialed.is_empty(),
        };
        self.last_was_dialed = is_dialed;
        let queue = if is_dialed {
            &mut self.dialed
        } else {
            &mut self.clients
        };
        let turn = begin_turn_of(queue)?;
        self.waiting.remove(&turn.conn);
        Some(turn)
    }

    /// Ends a turn. If the connection has more input, it waits for its next turn.
    pub(super) fn end_turn(&mut self, turn: &Turn, has_more: bool) {
        if has_more {
            let debt = turn.spent.saturating_sub(turn.allowance);
            self.enqueue(turn.conn, debt);
        }
    }

    fn enqueue(&mut self, conn: ConnId, debt: usize) {
        if !self.waiting.insert(conn) {
            return;
        }
        let queue = if conn.0 > LAST_DIALED_CONN {
            &mut self.clients
        } else {
            &mut self.dialed
        };
        queue.push_back(Waiting { conn, debt });
    }
}

/// Begins the turn of the connection that has waited the longest and has no debt of a whole turn.
fn begin_turn_of(queue: &mut VecDeque<Waiting>) -> Option<Turn> {
    loop {
        let Waiting { conn, debt } = queue.pop_front()?;
        if debt < TURN_COST {
            return Some(Turn {
                conn,
                allowance: TURN_COST - debt,
                spent: BEGIN_COST,
            });
        }
        let debt = debt - TURN_COST;
        queue.push_back(Waiting { conn, debt });
    }
}

#[cfg(test)]
mod tests;
