//! The load of a volume as an integer number of parts of a unit per second, as the flows count it.
//! Plain data.

use super::Volume;

/// Number of parts of a unit per second in which flows are counted. More parts lose less to rounding;
/// with fewer parts, integer flows are solved in fewer steps.
pub(crate) const PARTS_PER_UNIT: f64 = 1000.0;

/// A volume's load in parts: the part of its reservation that nodes can serve, and the maximum load
/// on each of these nodes.
pub(crate) struct Load {
    /// The part of the reservation that nodes can serve.
    pub reservation: u64,
    /// Indexes of the nodes, each with the maximum load of this volume on it.
    pub max_loads: Vec<(usize, u64)>,
}

impl Load {
    /// Creates the load of a volume. `up` are the indexes of the volume's nodes that can serve it,
    /// each with its fraction of the volume's extents.
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

/// Converts units per second to parts, rounded.
pub(crate) fn to_parts(units: f64) -> u64 {
    (units * PARTS_PER_UNIT).round().max(0.0) as u64
}

/// Converts parts to units per second.
pub(super) fn to_units(parts: u64) -> f64 {
    parts as f64 / PARTS_PER_UNIT
}
