//! How far a host may go at one node: the probing window over a capacity that nobody states.
//!
//! Called by `control.rs` once a control interval with one [`Reading`] of the node. Its words are the paper's
//! ("End-to-end Performance Isolation through Virtual Datacenters", section 4.3).

const ALPHA: f64 = 0.2; // mild: outstanding units are few and jumpy
const BAD_READINGS: u32 = 3; // against one pause or flush
const STABLE_WITHIN: f64 = 0.01; // of the upper edge, as in the paper
const MIX_CHANGE: f64 = 0.10; // as in the paper

#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Phase {
    Search,
    Wait,
    Stable { outstanding: f64 },
}

/// One interval's view of a node.
#[derive(Debug, Clone, Default)]
pub struct Reading {
    /// Requests were held while answers came slower, or full.
    pub congested: bool,
    /// A volume was held below its reservation.
    pub below_reservation: bool,
    pub outstanding: f64,
    /// Smoothed units by traffic class, as parts of one.
    pub mix: Vec<f64>,
}

/// The probing window over what this host can get from a node (paper, 4.3).
#[derive(Debug, Clone)]
pub struct Window {
    pub low: f64,
    pub high: f64,
    pub estimate: f64,
    pub phase: Phase,
    bad: u32,
    edges: (f64, f64),
    mix: Vec<f64>,
}

impl Window {
    pub fn new(low: f64, high: f64) -> Self {
        let edges @ (low, high) = (low, high.max(low));
        Window { low, high, estimate: low, phase: Phase::Search, bad: 0, edges, mix: Vec::new() }
    }

    /// One pause or flush slows a single reading; only the third in a row is believed.
    pub fn read(&mut self, r: &Reading) {
        self.bad = if r.congested { self.bad + 1 } else { 0 };
        match self.phase {
            Phase::Wait if r.below_reservation => {}
            Phase::Stable { outstanding } => {
                let moved = self.estimate - ALPHA * (r.outstanding - outstanding);
                self.estimate = moved.clamp(self.edges.0, self.edges.1);
                let apart = |(a, b): (&f64, &f64)| (a - b).abs() > MIX_CHANGE;
                if r.mix.len() != self.mix.len() || r.mix.iter().zip(&self.mix).any(apart) {
                    (self.low, self.high) = self.edges;
                    self.phase = Phase::Search;
                }
            }
            _ if self.bad >= BAD_READINGS || r.below_reservation => {
                self.bad = 0;
                self.high = self.estimate.max(self.low);
                self.estimate = self.low;
                self.phase = if r.below_reservation { Phase::Wait } else { Phase::Search };
                self.settle(r);
            }
            _ if r.congested => {}
            _ => {
                self.phase = Phase::Search;
                self.low = self.estimate;
                self.estimate = (self.low + self.high) / 2.0;
                self.settle(r);
            }
        }
    }

    fn settle(&mut self, r: &Reading) {
        if self.phase == Phase::Search && self.high - self.low <= STABLE_WITHIN * self.edges.1 {
            self.phase = Phase::Stable { outstanding: r.outstanding };
            self.mix = r.mix.clone();
        }
    }
}
