//! Determines moves of whole extents, from the solution of the program or without one. Pure
//! functions, called by [`crate::moves`].

use super::program::{ExtentChange, ExtentChanges};
use super::scope::Scope;
use super::types::{Move, EPSILON};
use crate::planner::Volume;
use std::collections::BTreeMap;

/// Fractions of an extent up to this size are rounding errors of the solver, and are not rounded up
/// to a whole extent. A larger value moves too few extents; a smaller one moves too many.
const SOLVER_TOLERANCE: f64 = 1e-4;

/// Extents that must still arrive at a node.
struct Arrival {
    node: u32,
    extents: f64,
}

impl ExtentChange {
    /// The extents that arrive minus those that leave.
    fn net(&self) -> f64 {
        self.arriving - self.leaving
    }
}

impl Scope<'_> {
    /// Converts a solution to moves of whole extents, rounded up.
    pub fn whole_extent_moves(&self, changes: &ExtentChanges) -> Vec<Move> {
        let mut moves = Vec::new();
        for volume in &self.volumes {
            self.round_volume(volume, changes, &mut moves);
        }
        moves
    }

    fn round_volume(&self, volume: &Volume, changes: &ExtentChanges, moves: &mut Vec<Move>) {
        let size = self.size_of(volume);
        let mut arrivals = arrivals(volume, changes);
        for (from, fraction) in &volume.placement {
            let extents_here = (fraction * size.extents as f64).round();
            let leaving = if self.evacuated.contains(from) {
                extents_here
            } else {
                let change = changes.get(&(volume.id, *from));
                -change.copied().unwrap_or_default().net()
            };
            let mut left = round_up(leaving).min(extents_here as u64);
            while left > 0 {
                let Some(arrival) = arrivals.first_mut() else {
                    break;
                };
                let extents = left.min(round_up(arrival.extents).max(1));
                moves.push(Move {
                    volume: volume.id,
                    from: *from,
                    to: arrival.node,
                    extents,
                    bytes: extents * size.bytes,
                });
                left -= extents;
                arrival.extents -= extents as f64;
                if arrival.extents <= EPSILON && arrivals.len() > 1 {
                    arrivals.remove(0);
                }
            }
        }
    }

    /// Moves all extents away from the nodes to be evacuated, to the targets with the most spare
    /// capacity.
    pub fn evacuation(&self) -> Vec<Move> {
        let available = |node: &u32| (*node, self.available[node]);
        let mut spare: BTreeMap<u32, f64> = self.targets.iter().map(available).collect();
        let mut moves = Vec::new();
        for volume in &self.volumes {
            let size = self.size_of(volume);
            for (from, fraction) in volume
                .placement
                .iter()
                .filter(|(node, _)| self.evacuated.contains(node))
            {
                let most_spare = spare
                    .iter_mut()
                    .max_by(|left, right| left.1.total_cmp(right.1));
                let extents = (fraction * size.extents as f64).round() as u64;
                let Some((to, spare)) = most_spare.filter(|_| extents > 0) else {
                    continue;
                };
                *spare -= volume.reservation * fraction;
                moves.push(Move {
                    volume: volume.id,
                    from: *from,
                    to: *to,
                    extents,
                    bytes: extents * size.bytes,
                });
            }
        }
        moves
    }
}

/// Nodes at which more extents of a volume arrive than leave, in decreasing order of the difference.
fn arrivals(volume: &Volume, changes: &ExtentChanges) -> Vec<Arrival> {
    let mut arrivals: Vec<Arrival> = changes
        .range((volume.id, 0)..=(volume.id, u32::MAX))
        .map(|((_, node), change)| Arrival {
            node: *node,
            extents: change.net(),
        })
        .filter(|arrival| arrival.extents > EPSILON)
        .collect();
    arrivals.sort_by(|left, right| {
        let by_extents = right.extents.total_cmp(&left.extents);
        by_extents.then(left.node.cmp(&right.node))
    });
    arrivals
}

fn round_up(extents: f64) -> u64 {
    (extents - SOLVER_TOLERANCE).ceil().max(0.0) as u64
}
