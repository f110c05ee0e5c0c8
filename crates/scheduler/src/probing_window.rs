//! How far a host may go at one node: the probing window over a capacity that nobody states.
//!
//! The control interval gives it one [`IntervalSample`] of the node each time. Its terms are the paper's
//! ("End-to-end Performance Isolation through Virtual Datacenters", section 4.3). Rates are units a second.

use crate::interval_sample::IntervalSample;

const ALPHA: f64 = 0.2; // mild: outstanding units are few and jumpy
const CONGESTED_SAMPLES: u32 = 3; // against one pause or flush
const STABLE_WITHIN: f64 = 0.01; // of the upper edge, as in the paper
const MIX_CHANGE: f64 = 0.10; // as in the paper

/// How far the search has come.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Phase {
    /// It narrows the window.
    Search,
    /// It waits until reservations are met.
    Wait,
    /// The window is narrow; the estimate follows the outstanding units.
    Stable {
        /// Units out when it became so.
        outstanding: f64,
    },
}

/// The probing window over the rate that this host can get from a node (paper, 4.3).
#[derive(Debug, Clone)]
pub struct ProbingWindow {
    /// Lower edge: carried without congestion.
    pub low: f64,
    /// Upper edge: not carried.
    pub high: f64,
    /// The rate that may go to the node.
    pub estimate: f64,
    /// How far the search has come.
    pub phase: Phase,
    congested_samples: u32,
    lowest: f64,
    highest: f64,
    stable_mix: Vec<f64>,
}

impl ProbingWindow {
    /// A search between two rates that begins at the lower one.
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

    /// Takes one sample. One pause or flush slows a single sample; only the third in a row is believed.
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
