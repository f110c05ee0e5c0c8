//! The load of a volume in parts of a unit per second, as the flows count it. Plain data.

use super::Volume;

/// Parts of a unit per second in which flows are counted. More parts lose less to rounding; fewer
/// parts make integer flows find their solution in fewer steps.
pub(crate) const PARTS_PER_UNIT: f64 = 1000.0;

/// A volume's load in parts: its reservation as far as nodes can serve it, and the maximum load on
/// each of these nodes.
pub(crate) struct Load {
    /// The reservation as far as nodes can serve it.
    pub reservation: u64,
    /// Indexes of nodes, each with the maximum load of this volume there.
    pub max_loads: Vec<(usize, u64)>,
}

impl Load {
    /// `up`: the indexes of the volume's nodes that can serve it, each with the fraction of the
    /// volume's extents that lies there.
    pub fn of(volume: &Volume, up: Vec<(usize, f64)>, spread: f64) -> Load {
        let fraction_up: f64 = up.iter().map(|(_, fraction)| fraction).sum();
        let reached = volume.reservation * fraction_up.min(1.0);
        let max_load = |fraction: f64| {
            let gathered = to_parts(volume.reservation * fraction * spread) + 1;
            to_parts(reached).min(gathered)
        };
        Load {
            reservation: to_parts(reached),
            max_loads: up
                .iter()
                .map(|(index, fraction)| (*index, max_load(*fraction)))
                .collect(),
        }
    }
}

/// Units a second in parts, rounded.
pub(crate) fn to_parts(units: f64) -> u64 {
    (units * PARTS_PER_UNIT).round().max(0.0) as u64
}

/// Parts in units per second.
pub(super) fn to_units(parts: u64) -> f64 {
    parts as f64 / PARTS_PER_UNIT
}
