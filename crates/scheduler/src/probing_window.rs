//! Probing window: a search for the rate that one node can serve for one host. Nodes do not publish their
//! capacity.
//!
//! Called with one [`IntervalSample`] of the node in each control interval. The terms are those of the paper
//! ("End-to-end Performance Isolation through Virtual Datacenters", section 4.3). Rates are in units per
//! second.

use crate::interval_sample::IntervalSample;

/// Factor by which a change of the outstanding units moves the estimate in the stable phase. It is small
/// because few units are outstanding and their number varies much. With a larger factor the estimate
/// oscillates; with a smaller one, it follows a change of the capacity slowly.
const ALPHA: f64 = 0.2;
/// Number of consecutive congested samples that narrows the window; one pause or flush of a node causes
/// fewer. With a larger value an overload lasts longer; with a smaller one, a single pause halves the window.
const CONGESTED_SAMPLES: u32 = 3;
/// Width up to which the window is stable, as a fraction of the highest rate, as in the paper. With a larger
/// value the search ends with a worse estimate; with a smaller one, it takes longer.
const STABLE_WIDTH_FRACTION: f64 = 0.01;
/// Change of a traffic class's fraction of the mix that restarts the search, as in the paper. With a larger
/// value an outdated estimate is kept; with a smaller one, chance restarts the search.
const MIX_CHANGE: f64 = 0.10;

/// Phase of the search.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Phase {
    /// The search is narrowing the window.
    Search,
    /// The search waits until reservations are met.
    Wait,
    /// The window is narrow; the estimate follows the outstanding units.
    Stable {
        /// Units outstanding at the start of the phase.
        outstanding: f64,
    },
}

/// Probing window over the rate that a node can serve for this host (paper, section 4.3).
#[derive(Debug, Clone)]
pub struct ProbingWindow {
    /// Lower edge: a rate at which there was no congestion.
    low: f64,
    /// Upper edge: a rate at which there was congestion, or one higher than all rates tried.
    high: f64,
    /// Rate at which the host may use the node.
    estimate: f64,
    phase: Phase,
    /// Consecutive congested samples.
    congested_samples: u32,
    /// Lower bound of the lower edge.
    lowest: f64,
    /// Upper bound of the upper edge.
    highest: f64,
    /// Traffic mix at the start of the stable phase.
    stable_mix: Vec<f64>,
}

impl ProbingWindow {
    /// Starts a search between two rates, with the lower one as the first estimate.
    pub fn new(lowest: f64, highest: f64) -> Self {
        let highest = highest.max(lowest);
        ProbingWindow {
            low: lowest,
            high: highest,
            estimate: lowest,
            phase: Phase::Search,
            congested_samples: 0,
            lowest,
            highest,
            stable_mix: Vec::new(),
        }
    }

    /// Returns the lower edge: a rate at which there was no congestion.
    pub fn low(&self) -> f64 {
        self.low
    }

    /// Upper edge: a rate with congestion, or above any tried.
    pub fn high(&self) -> f64 {
        self.high
    }

    /// Returns the rate at which the host may use the node.
    pub fn estimate(&self) -> f64 {
        self.estimate
    }

    /// Returns the phase of the search.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Adjusts the window after one sample. One pause or flush of a node congests a single sample, so
    /// congestion has an effect only from the third congested sample in a row on.
    pub fn observe(&mut self, sample: &IntervalSample) {
        self.congested_samples = if sample.congested {
            self.congested_samples + 1
        } else {
            0
        };
        match self.phase {
            Phase::Wait if sample.below_reservation => {}
            Phase::Stable { outstanding } => self.follow_outstanding(sample, outstanding),
            _ if self.congested_samples >= CONGESTED_SAMPLES || sample.below_reservation => {
                self.congested_samples = 0;
                self.high = self.estimate.max(self.low);
                self.estimate = self.low;
                self.phase = if sample.below_reservation {
                    Phase::Wait
                } else {
                    Phase::Search
                };
                self.stabilise_if_narrow(sample);
            }
            _ if sample.congested => {}
            _ => {
                self.phase = Phase::Search;
                self.low = self.estimate;
                self.estimate = (self.low + self.high) / 2.0;
                self.stabilise_if_narrow(sample);
            }
        }
    }

    fn follow_outstanding(&mut self, sample: &IntervalSample, outstanding: f64) {
        let moved = self.estimate - ALPHA * (sample.outstanding - outstanding);
        self.estimate = moved.clamp(self.lowest, self.highest);
        let differs = |(a, b): (&f64, &f64)| (a - b).abs() > MIX_CHANGE;
        let same_classes = sample.mix.len() == self.stable_mix.len();
        if !same_classes || sample.mix.iter().zip(&self.stable_mix).any(differs) {
            self.low = self.lowest;
            self.high = self.highest;
            self.phase = Phase::Search;
        }
    }

    fn stabilise_if_narrow(&mut self, sample: &IntervalSample) {
        if self.phase == Phase::Search
            && self.high - self.low <= STABLE_WIDTH_FRACTION * self.highest
        {
            self.phase = Phase::Stable {
                outstanding: sample.outstanding,
            };
            self.stable_mix = sample.mix.clone();
        }
    }
}
