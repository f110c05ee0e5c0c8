//! The connection pool of one node: how many connections there should be, and when to dial again.
//!
//! After each change, the router calls [`Pool::wanted`], which compares the connections that exist with
//! those that the attempts need, and returns the next step as a [`PoolAction`]. State: the number of
//! consecutive failed dials, and the backoff that follows from it. A node that refuses connections is
//! dialled with exponential backoff, and with jitter, since every host dials it. During the backoff its
//! attempts fail at once for lack of a connection, and the scheduler counts these failures against the
//! node. The drawback is that a node that is available again is found up to [`MAX_BACKOFF`] late, unless
//! the endpoint list reports it.

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::time::Duration;

/// The delay after the first failed dial, doubled for each further one. With a longer delay, a node that
/// restarts is found later; with a shorter one, a dead node is dialled more often.
const FIRST_BACKOFF: Duration = Duration::from_millis(20);
/// The longest delay before another dial. With a longer delay, a node that is available again is found
/// later; with a shorter one, the dials of all hosts load a node that is down.
const MAX_BACKOFF: Duration = Duration::from_millis(500);
/// The largest number of doublings of the delay. The bound prevents an overflow.
const MAX_DOUBLINGS: u32 = 8;
/// The number of late dials up to which another dial may start. With a larger bound, a node that stops
/// responding has more dials in progress; with a smaller one, the attempts wait for a dial that was lost.
pub const MAX_LATE_DIALS: usize = 2;

/// The action that the router is to take for a pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PoolAction {
    /// Do nothing.
    Nothing,
    /// Start one more dial.
    Dial,
    /// Fail the waiting attempts, because there is no connection and none may be dialled yet.
    Fail,
}

/// The connections and attempts of a node.
#[derive(Debug, Clone, Copy, Default)]
pub struct PoolStatus {
    /// Connections that are up and can be used now.
    pub up: usize,
    /// Dials that have not succeeded yet.
    pub dialling: usize,
    /// How many of these dials already take longer than a handshake normally does.
    pub late: usize,
    /// Attempts to the node, waiting or assigned to a connection.
    pub attempts: usize,
    /// How many of these attempts wait for a connection.
    pub waiting: usize,
}

/// Decides on the connections to one node.
#[derive(Debug)]
pub struct Pool {
    attempts_per_connection: usize,
    max_connections: usize,
    /// Consecutive failed dials.
    failed_dials: u32,
    /// The end of the backoff: no dial starts before.
    next_dial_at: Duration,
    rng: Pcg64Mcg,
}

impl Pool {
    /// Returns the pool of a node that was not dialled yet. `seed` is the seed of its jitter.
    pub fn new(attempts_per_connection: usize, max_connections: usize, seed: u64) -> Self {
        Pool {
            attempts_per_connection,
            max_connections,
            failed_dials: 0,
            next_dial_at: Duration::ZERO,
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

    /// Returns whether another dial may start. As many dials may be in progress as connections are up
    /// (but at least one), so that attempts do not queue behind the handshakes of others. More are not
    /// allowed, so that a node that has just started does not receive the complete pools of all hosts at
    /// once. A late dial does not count, because otherwise all attempts of a host to a node would wait
    /// behind it. After a failed dial the cause is taken to be the node and not the dial, so that no other
    /// dial starts beside a late one. The drawback is that each host with attempts to a node that stops
    /// responding has up to three dials to it in progress, until the first of them fails.
    fn may_dial(&self, now: Duration, status: PoolStatus) -> bool {
        let PoolStatus { up, late, .. } = status;
        let wanted = status.attempts.div_ceil(self.attempts_per_connection);
        let on_time = status.dialling - late;
        let may_overlap_late = late == 0 || late <= MAX_LATE_DIALS && self.failed_dials == 0;
        up + on_time < wanted.min(self.max_connections)
            && on_time < status.waiting.min(up.max(1))
            && may_overlap_late
            && now >= self.next_dial_at
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
        self.next_dial_at = now + backoff / 2 + jitter;
    }

    /// Ends the backoff. Called after a successful dial, and when the endpoint list reports a new process
    /// or another address, about which earlier failures say nothing.
    pub fn forget_failures(&mut self) {
        self.failed_dials = 0;
        self.next_dial_at = Duration::ZERO;
    }
}

#[cfg(test)]
mod tests;
