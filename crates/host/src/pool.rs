//! The connection pool of one node: how many connections there should be, and when to dial again.
//!
//! Called by the router: [`Pool::wanted`] after each change compares the connections that exist with
//! those that the attempts need, and returns the difference as one [`PoolAction`]. State: the failed
//! dials in a row, and the backoff that follows from them. A node that refuses connections is dialled
//! with exponential backoff, and with jitter, since every host dials it. During the backoff its
//! attempts fail at once for lack of a connection, and the scheduler judges the node by that. In
//! exchange, a node that is back is found up to [`MAX_BACKOFF`] late, unless the endpoint list
//! reports it.

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::time::Duration;

/// The delay after the first failed dial, doubled for each further one. A longer delay finds a node
/// that restarts later; a shorter one dials a dead node more often.
const FIRST_BACKOFF: Duration = Duration::from_millis(20);
/// The longest delay before another dial. A longer one finds a node that is back later; with a
/// shorter one, the dials of all hosts load a node that is down.
const MAX_BACKOFF: Duration = Duration::from_millis(500);
/// Failed dials after which the delay no longer grows. The bound keeps the doubling from
/// overflowing.
const MAX_DOUBLINGS: u32 = 8;
/// Late dials that do not prevent another dial. With a larger bound, a node that stops responding is
/// dialled more often at once; with a smaller one, the attempts wait for a dial that was lost.
pub const MAX_LATE_DIALS: usize = 2;

/// The action that a pool wants.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PoolAction {
    /// Nothing.
    Nothing,
    /// One more dial.
    Dial,
    /// Fail the waiting attempts: there is no connection, and none may be dialled yet.
    Fail,
}

/// The connections and attempts that exist.
#[derive(Debug, Clone, Copy, Default)]
pub struct PoolStatus {
    /// Connections that are up and can be used now.
    pub up: usize,
    /// Dials that have not succeeded yet.
    pub dialling: usize,
    /// Dials, of these, that take longer than a handshake normally does.
    pub late: usize,
    /// Attempts to this node, waiting or assigned to a connection.
    pub attempts: usize,
    /// Attempts, of these, that wait for a connection.
    pub waiting: usize,
}

/// Decides on the connections to one node.
#[derive(Debug)]
pub struct Pool {
    attempts_per_connection: usize,
    max_connections: usize,
    failed_dials: u32,
    not_before: Duration,
    rng: Pcg64Mcg,
}

impl Pool {
    /// The pool of a node that was not dialled yet. `seed` is the seed of its jitter.
    pub fn new(attempts_per_connection: usize, max_connections: usize, seed: u64) -> Self {
        Pool {
            attempts_per_connection,
            max_connections,
            failed_dials: 0,
            not_before: Duration::ZERO,
            rng: Pcg64Mcg::seed_from_u64(seed),
        }
    }

    /// Returns the action that follows from the connections and attempts that exist.
    pub fn wanted(&self, now: Duration, status: PoolStatus) -> PoolAction {
        if status.waiting == 0 {
            return PoolAction::Nothing;
        }
        if self.may_dial(now, status) {
            return PoolAction::Dial;
        }
        if status.dialling == 0 && status.up == 0 {
            return PoolAction::Fail;
        }
        PoolAction::Nothing
    }

    /// Returns whether another dial may start. As many dials may run at a time as connections are
    /// up, so that attempts do not queue behind the handshakes of others. More dials may not run: a
    /// node that has just started must not receive the complete pools of all hosts at once. A late
    /// dial does not count: all attempts of a host to a node used to wait behind one late dial.
    /// Where dials have failed, the cause is the node and not the dial, so no other dial runs
    /// during a late one. In exchange, a node that stops responding is dialled up to three times, once, by
    /// each host that has attempts to it.
    fn may_dial(&self, now: Duration, status: PoolStatus) -> bool {
        let PoolStatus { up, late, .. } = status;
        let wanted = status.attempts.div_ceil(self.attempts_per_connection);
        let on_time = status.dialling - late;
        let beside_late = late == 0 || late <= MAX_LATE_DIALS && self.failed_dials == 0;
        up + on_time < wanted.min(self.max_connections)
            && on_time < status.waiting.min(up.max(1))
            && beside_late
            && now >= self.not_before
    }

    /// Records that a dial has succeeded.
    pub fn dial_succeeded(&mut self) {
        self.forget_failures();
    }

    /// Records that a dial has failed, and starts the backoff.
    pub fn dial_failed(&mut self, now: Duration) {
        let doubled = FIRST_BACKOFF * 2u32.pow(self.failed_dials.min(MAX_DOUBLINGS));
        let backoff = doubled.min(MAX_BACKOFF);
        self.failed_dials += 1;
        let jitter = backoff.mul_f64(self.rng.random::<f64>() / 2.0);
        self.not_before = now + backoff / 2 + jitter;
    }

    /// Ends the backoff. The endpoint list has reported a new process or another address, for which
    /// earlier failures are no evidence.
    pub fn forget_failures(&mut self) {
        self.failed_dials = 0;
        self.not_before = Duration::ZERO;
    }
}

#[cfg(test)]
mod tests;
