//! Probing window: the search for the rate that one host can get from one node, whose capacity is not published.
//!
//! Called with one [`IntervalSample`] of the node each control interval. The terms are the paper's
//! ("End-to-end Performance Isolation through Virtual Datacenters", section 4.3). Rates are units a second.

use crate::interval_sample::IntervalSample;

/// Factor from outstanding units to the estimate in the stable phase; small, since outstanding units are few and
/// vary much. Larger: the estimate oscillates. Smaller: it follows a change of the capacity slowly.
const ALPHA: f64 = 0.2;
/// Consecutive congested samples that narrow the window; one pause or flush causes fewer. Larger: an overload
/// lasts longer. Smaller: a pause halves the window.
const CONGESTED_SAMPLES: u32 = 3;
/// Width of a stable window, as a fraction of the highest rate; as in the paper. Larger: the search ends with a
/// worse estimate. Smaller: it takes longer.
const STABLE_WITHIN: f64 = 0.01;
/// Change of a traffic class's fraction that restarts the search; as in the paper. Larger: an outdated estimate
/// stays. Smaller: chance restarts the search.
const MIX_CHANGE: f64 = 0.10;

/// Phase of the search.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Phase {
    /// The search narrows the window.
    Search,
    /// The search waits until reservations are met.
    Wait,
    /// The window is narrow; the estimate follows the outstanding units.
    Stable {
        /// Units outstanding at the start of the phase.
        outstanding: f64,
    },
}

/// Probing window over the rate that this host can get from a node (paper, 4.3).
#[derive(Debug, Clone)]
pub struct ProbingWindow {
    /// Lower edge: a rate without congestion.
    low: f64,
    /// Upper edge: a rate with congestion, or above any tried.
    high: f64,
    /// Rate that may go to the node.
    estimate: f64,
    phase: Phase,
    /// Consecutive congested samples.
    congested_samples: u32,
    /// Smallest lower edge.
    lowest: f64,
    /// Largest upper edge.
    highest: f64,
    /// Traffic mix at the start of the stable phase.
    stable_mix: Vec<f64>,
}

impl ProbingWindow {
    /// Starts a search between two rates, at the lower one.
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

    /// Lower edge: a rate without congestion.
    pub fn low(&self) -> f64 {
        self.low
    }

    /// Upper edge: a rate with congestion, or above any tried.
    pub fn high(&self) -> f64 {
        self.high
    }

    /// Rate that may go to the node.
    pub fn estimate(&self) -> f64 {
        self.estimate
    }

    /// Phase of the search.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Moves the window by one sample. One pause or flush congests a single sample, so only the third congested
    /// sample in a row counts.
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
                self.settle(sample);
            }
            _ if sample.congested => {}
            _ => {
                self.phase = Phase::Search;
                self.low = self.estimate;
                self.estimate = (self.low + self.high) / 2.0;
                self.settle(sample);
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

    fn settle(&mut self, sample: &IntervalSample) {
        if self.phase == Phase::Search && self.high - self.low <= STABLE_WITHIN * self.highest {
            self.phase = Phase::Stable {
                outstanding: sample.outstanding,
            };
            self.stable_mix = sample.mix.clone();
        }
    }
}
