//! The units that were served for each volume by all nodes of the process, by period.

use std::collections::{BTreeMap, HashMap};

/// Number of finished periods that are retained. Nodes report the last period but one to hosts;
/// with fewer than three periods there is nothing to report.
const RETAINED_PERIODS: usize = 8;

/// Units served for each volume, by period.
#[derive(Debug, Default)]
pub struct Meter {
    periods: BTreeMap<u64, HashMap<u64, f64>>,
}

impl Meter {
    /// Adds units to a period, and drops the oldest periods beyond the limit.
    pub fn add(&mut self, period: u64, volume: u64, units: f64) {
        let volumes = self.periods.entry(period).or_default();
        *volumes.entry(volume).or_default() += units;
        while self.periods.len() > RETAINED_PERIODS {
            self.periods.pop_first();
        }
    }

    /// Returns the units of a period for a volume.
    pub fn units(&self, period: u64, volume: u64) -> f64 {
        let volumes = self.periods.get(&period);
        let units = volumes.and_then(|volumes| volumes.get(&volume));
        units.copied().unwrap_or(0.0)
    }
}
