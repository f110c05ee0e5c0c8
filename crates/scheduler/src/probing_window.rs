//! How far a host may go at one node: the probing window over a capacity that nobody states.
//!
//! The control interval gives it one [`Reading`] of the node each time. Its terms are the paper's
//! ("End-to-end Performance Isolation through Virtual Datacenters", section 4.3). Rates are units a second.

use crate::reading::Reading;

const ALPHA: f64 = 0.2; // mild: outstanding units are few and jumpy
const BAD_READINGS: u32 = 3; // against one pause or flush
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
    congested_readings: u32,
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
            congested_readings: 0,
            lowest,
            highest,
            stable_mix: Vec::new(),
        }
    }

    /// Takes one reading. One pause or flush slows a single reading; only the third in a row is believed.
    pub fn observe(&mut self, reading: &Reading) {
        self.congested_readings = if reading.congested {
            self.congested_readings + 1
        } else {
            0
        };
        match self.phase {
            Phase::Wait if reading.below_reservation => {}
            Phase::Stable { outstanding } => self.follow_outstanding(reading, outstanding),
            _ if self.congested_readings >= BAD_READINGS || reading.below_reservation => {
                self.congested_readings = 0;
                self.high = self.estimate.max(self.low);
                self.estimate = self.low;
                self.phase = if reading.below_reservation {
                    Phase::Wait
                } else {
                    Phase::Search
                };
                self.settle(reading);
            }
            _ if reading.congested => {}
            _ => {
                self.phase = Phase::Search;
                self.low = self.estimate;
                self.estimate = (self.low + self.high) / 2.0;
                self.settle(reading);
            }
        }
    }

    fn follow_outstanding(&mut self, reading: &Reading, outstanding: f64) {
        let moved = self.estimate - ALPHA * (reading.outstanding - outstanding);
        self.estimate = moved.clamp(self.lowest, self.highest);
        let differs = |(a, b): (&f64, &f64)| (a - b).abs() > MIX_CHANGE;
        let same_classes = reading.mix.len() == self.stable_mix.len();
        if !same_classes || reading.mix.iter().zip(&self.stable_mix).any(differs) {
            self.low = self.lowest;
            self.high = self.highest;
            self.phase = Phase::Search;
        }
    }

    fn settle(&mut self, reading: &Reading) {
        if self.phase == Phase::Search && self.high - self.low <= STABLE_WITHIN * self.highest {
            self.phase = Phase::Stable {
                outstanding: reading.outstanding,
            };
            self.stable_mix = reading.mix.clone();
        }
    }
}
