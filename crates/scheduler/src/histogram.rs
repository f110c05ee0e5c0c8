//! Coarse histograms of durations.
//!
//! Used by the latency model, which chooses the bins. Memory: one count for each bin.

use std::time::Duration;

/// Counts of durations in bins whose edges grow by a constant factor; the last bin has no upper edge.
///
/// ```
/// use grebecleat_scheduler::histogram::Histogram;
/// use std::time::Duration;
/// let mut histogram = Histogram::new(Duration::from_millis(10), 2.0, 4);
/// assert_eq!(histogram.quantile(0.5), None);
/// for ms in [5, 15, 15, 35] {
///     histogram.add(Duration::from_millis(ms));
/// }
/// assert_eq!(histogram.quantile(0.5), Some(Duration::from_millis(15)));
/// histogram.halve();
/// assert_eq!(histogram.total(), 2.0);
/// ```
#[derive(Debug, Clone)]
pub struct Histogram {
    first_edge: f64,
    factor: f64,
    counts: Vec<f64>,
}

impl Histogram {
    /// `first_edge`: upper edge of the first bin; `factor`: ratio of each edge to the previous one, greater
    /// than 1.
    pub fn new(first_edge: Duration, factor: f64, bins: usize) -> Self {
        Histogram {
            first_edge: first_edge.as_secs_f64(),
            factor,
            counts: vec![0.0; bins.max(1)],
        }
    }

    /// Counts one duration.
    pub fn add(&mut self, time: Duration) {
        let bin = self.bin(time.as_secs_f64());
        self.counts[bin] += 1.0;
    }

    fn bin(&self, seconds: f64) -> usize {
        let steps = (seconds / self.first_edge).max(1.0).ln() / self.factor.ln();
        let bin = if seconds < self.first_edge {
            0
        } else {
            1 + steps as usize
        };
        bin.min(self.counts.len() - 1)
    }

    /// Halves all counts, so that durations added later have more weight.
    pub fn halve(&mut self) {
        for count in &mut self.counts {
            *count /= 2.0;
        }
    }

    /// Halves all counts if their sum exceeds `total`.
    pub fn halve_above(&mut self, total: f64) {
        if self.total() > total {
            self.halve();
        }
    }

    /// Returns the sum of all counts.
    pub fn total(&self) -> f64 {
        self.counts.iter().sum()
    }

    /// Returns the middle of the bin in which the given fraction of the counts is reached, or `None` if
    /// nothing was counted.
    pub fn quantile(&self, fraction: f64) -> Option<Duration> {
        let total = self.total();
        if total <= 0.0 {
            return None;
        }
        let mut seen = 0.0;
        let mut low = 0.0;
        let mut high = self.first_edge;
        for count in &self.counts {
            seen += count;
            if seen >= fraction * total {
                break;
            }
            low = high;
            high *= self.factor;
        }
        Some(Duration::from_secs_f64((low + high) / 2.0))
    }
}
