//! The connections to one node: how many there should be, and when to try again.
//!
//! Called by the desk: `wanted` after each change, and told of what became of dials. It keeps the wanted
//! state (connections that should be up for the attempts there are) and answers the difference as one [`PoolAction`].
//! A node whose port is dead is dialled ever more rarely, with jitter, since every host dials it; while that
//! waits, its attempts are told at once that there is no connection, and the decisions judge the node by that.
//! Harm: a node that comes back is found up to `MOST_WAIT` late, if the list says nothing.

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::time::Duration;

const FIRST_BACKOFF: Duration = Duration::from_millis(20);
const MAX_BACKOFF: Duration = Duration::from_millis(500);
/// Dials that are late, beside which another is made.
pub const MAX_LATE_DIALS: usize = 2;

/// What one look at the pool asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PoolAction {
    Nothing,
    Dial,
    /// Nothing is up, nothing may be dialled yet: attempts that wait have no connection.
    Fail,
}

/// What there is. Attempts are those out or waiting at this node.
#[derive(Debug, Clone, Copy, Default)]
pub struct PoolStatus {
    pub up: usize,
    pub dialling: usize,
    /// Dials, of these, that take longer than a handshake should.
    pub late: usize,
    pub attempts: usize,
    pub waiting: usize,
}

#[derive(Debug)]
pub struct Pool {
    per_connection: usize,
    most: usize,
    failures: u32,
    not_before: Duration,
    rng: Pcg64Mcg,
}

impl Pool {
    pub fn new(per_connection: usize, most: usize, seed: u64) -> Self {
        let rng = Pcg64Mcg::seed_from_u64(seed);
        Pool {
            per_connection,
            most,
            failures: 0,
            not_before: Duration::ZERO,
            rng,
        }
    }

    pub fn wanted(&self, now: Duration, p: PoolStatus) -> PoolAction {
        let want = p.attempts.div_ceil(self.per_connection).min(self.most);
        match p {
            PoolStatus { waiting: 0, .. } => PoolAction::Nothing,
            // As many dials at a time as are up, so that attempts don't queue behind one another's handshakes,
            // and no more: a node that just came up must not see every host's whole pool at once. One that is
            // late is no word on the others: behind a lone late dial all that a host had for a node waited.
            // Where dials have failed, it is not the dial: no other is made beside it. Harm: a node that falls
            // silent is dialled up to three times by each host that has something for it, once.
            PoolStatus {
                dialling,
                late,
                up,
                waiting,
                ..
            } if up + dialling - late < want
                && dialling - late < waiting.min(up.max(1))
                && (late == 0 || late <= MAX_LATE_DIALS && self.failures == 0)
                && now >= self.not_before =>
            {
                PoolAction::Dial
            }
            PoolStatus {
                dialling: 0, up: 0, ..
            } => PoolAction::Fail,
            _ => PoolAction::Nothing,
        }
    }

    pub fn dial_succeeded(&mut self) {
        (self.failures, self.not_before) = (0, Duration::ZERO);
    }

    pub fn dial_failed(&mut self, now: Duration) {
        let wait = (FIRST_BACKOFF * 2u32.pow(self.failures.min(8))).min(MAX_BACKOFF);
        self.failures += 1;
        self.not_before = now + wait / 2 + wait.mul_f64(self.rng.random::<f64>() / 2.0);
    }

    /// The list tells of a new start or another address: what was seen before says nothing of it.
    pub fn forget_failures(&mut self) {
        self.dial_succeeded();
    }
}

#[cfg(test)]
mod tests;
