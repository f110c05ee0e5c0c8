//! Random draws of the decisions, from one seeded generator.
//!
//! Called by [`super::Scheduler`] and by the mechanisms that spread hosts apart in time. A seed and an order of
//! calls determine all draws, so the order of calls is part of the scheduler's behaviour.

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

    /// Draws a fraction: at least 0, below 1.
    pub(super) fn fraction(&mut self) -> f64 {
        self.0.random::<f64>()
    }

    /// Draws a delay: at least zero, below `max`.
    pub(super) fn up_to(&mut self, max: Duration) -> Duration {
        max.mul_f64(self.fraction())
    }
}
