//! Random numbers for the scheduler's decisions, from one seeded generator.
//!
//! Called by [`super::Scheduler`] and by the mechanisms that spread the actions of many hosts in time. The
//! seed and the order of calls determine all results, so the order of calls is part of the scheduler's
//! behaviour.

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::time::Duration;

/// Seeded source of random fractions and delays.
#[derive(Debug)]
pub(super) struct Jitter(Pcg64Mcg);

impl Jitter {
    pub(super) fn new(seed: u64) -> Self {
        Jitter(Pcg64Mcg::seed_from_u64(seed))
    }

    /// Returns a random fraction, at least 0 and below 1.
    pub(super) fn fraction(&mut self) -> f64 {
        self.0.random::<f64>()
    }

    /// Returns a random delay, at least zero and below `max`.
    pub(super) fn up_to(&mut self, max: Duration) -> Duration {
        max.mul_f64(self.fraction())
    }
}
