//! The connections to one node: how many there should be, and when to dial again.
//!
//! Called by the router: [`Pool::wanted`] after each change, and told of what became of dials. It
//! keeps the wanted state (connections that should be up for the attempts there are) and returns
//! the difference as one [`PoolAction`]. A node whose port is dead is dialled ever more rarely,
//! with jitter, since every host dials it; while that waits, its attempts are told at once that
//! there is no connection, and the decisions judge the node by that. Harm: a node that comes back
//! is found up to [`MAX_BACKOFF`] late, if the endpoint list says nothing.

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::time::Duration;

/// The delay after the first failed dial, doubled for each further one.
const FIRST_BACKOFF: Duration = Duration::from_millis(20);
/// The longest delay before another dial.
const MAX_BACKOFF: Duration = Duration::from_millis(500);
/// Failures after which the delay grows no more.
const MAX_DOUBLINGS: u32 = 8;
/// Dials that are late, beside which another is made.
pub const MAX_LATE_DIALS: usize = 2;

/// What one look at the pool asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PoolAction {
    /// Nothing.
    Nothing,
    /// One more dial.
    Dial,
    /// Nothing is up, nothing may be dialled yet: attempts that wait have no connection.
    Fail,
}

/// What there is.
#[derive(Debug, Clone, Copy, Default)]
pub struct PoolStatus {
    /// Connections that are up and of use now.
    pub up: usize,
    /// Dials.
    pub dialling: usize,
    /// Dials, of these, that take longer than a handshake should.
    pub late: usize,
    /// Attempts out or waiting at this node.
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
    /// A pool of a node that was not dialled yet. `seed`: of its jitter.
    pub fn new(attempts_per_connection: usize, max_connections: usize, seed: u64) -> Self {
        Pool {
            attempts_per_connection,
            max_connections,
            failed_dials: 0,
            not_before: Duration::ZERO,
            rng: Pcg64Mcg::seed_from_u64(seed),
        }
    }

    /// What to do, with what there is.
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

    /// As many dials at a time as are up, so that attempts don't queue behind one another's
    /// handshakes, and no more: a node that just came up must not see every host's whole pool at
    /// once. One that is late says nothing of the others: behind a lone late dial all that a host
    /// had for a node waited. Where dials have failed, it is not the dial: no other is made beside
    /// it. Harm: a node that falls silent is dialled up to three times by each host that has
    /// something for it, once.
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

    /// A dial has succeeded.
    pub fn dial_succeeded(&mut self) {
        self.forget_failures();
    }

    /// A dial has failed.
    pub fn dial_failed(&mut self, now: Duration) {
        let doubled = FIRST_BACKOFF * 2u32.pow(self.failed_dials.min(MAX_DOUBLINGS));
        let backoff = doubled.min(MAX_BACKOFF);
        self.failed_dials += 1;
        let jitter = backoff.mul_f64(self.rng.random::<f64>() / 2.0);
        self.not_before = now + backoff / 2 + jitter;
    }

    /// The endpoint list tells of a new start or another address: what was seen before says nothing
    /// of it.
    pub fn forget_failures(&mut self) {
        self.failed_dials = 0;
        self.not_before = Duration::ZERO;
    }
}

#[cfg(test)]
mod tests;
