//! The demand of volumes on the nodes of their group. Plain data.

use super::nodes::NodeTable;
use crate::planner::{Load, Volume};

/// The demand of a volume or a group, in parts.
#[derive(Debug, Clone, Default)]
pub(super) struct Demand {
    /// The demand over all nodes.
    pub amount: u64,
    /// The maximum load on each node of the group.
    pub max_loads: Vec<u64>,
}

impl Demand {
    /// Creates a demand of 0 for a group with that number of nodes.
    pub fn none(nodes: usize) -> Self {
        Demand {
            amount: 0,
            max_loads: vec![0; nodes],
        }
    }

    /// Computes the demand of a volume on those of its nodes that are up.
    pub fn of(volume: &Volume, nodes: &NodeTable, spread: f64) -> Self {
        let known: Vec<(usize, f64)> = nodes.indexed(&volume.placement).collect();
        let up = known
            .iter()
            .copied()
            .filter(|(index, _)| nodes.is_up(*index))
            .collect();
        let load = Load::of(volume, up, spread);
        let max_load = |index: usize| {
            let max_load = load.max_loads.iter().find(|(other, _)| *other == index);
            max_load.map_or(0, |(_, max_load)| *max_load)
        };
        Demand {
            amount: load.reservation,
            max_loads: known.iter().map(|(index, _)| max_load(*index)).collect(),
        }
    }

    /// Adds another demand on the same nodes.
    pub fn add(&mut self, other: &Demand) {
        self.amount += other.amount;
        for (sum, max_load) in self.max_loads.iter_mut().zip(&other.max_loads) {
            *sum += max_load;
        }
    }
}
