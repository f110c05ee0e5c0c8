//! Sizes, moves and proposals. Plain data.

use crate::planner::Volume;

/// Fractions of a volume, numbers of extents, and units per second below this count as zero. A larger
/// value ignores actual amounts; a smaller one mistakes rounding errors of the solver for amounts.
pub(super) const EPSILON: f64 = 1e-7;

/// The size of a volume, which determines the cost of moving it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Size {
    /// Number of extents.
    pub extents: u64,
    /// Bytes of one extent.
    pub bytes: u64,
}

impl Size {
    /// Bytes of all extents.
    pub(super) fn total_bytes(&self) -> f64 {
        (self.extents * self.bytes) as f64
    }
}

/// Extents of one volume to move from one node to another.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Move {
    /// The volume's number.
    pub volume: u64,
    /// The node that the extents leave.
    pub from: u32,
    /// The node where the extents arrive.
    pub to: u32,
    /// Number of extents.
    pub extents: u64,
    /// Total size of the extents.
    pub bytes: u64,
}

/// The proposed moves.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Proposal {
    /// All moves.
    pub moves: Vec<Move>,
    /// Bytes of all moves.
    pub bytes: u64,
    /// The optimum of the program in bytes, a lower bound for moves of whole extents within the part
    /// of the site that the program includes.
    pub least: f64,
    /// Reservations that remain unmet after the moves, units per second.
    pub short: f64,
    /// Whether the program included the complete site, so that `least` is a bound for all moves.
    pub is_complete: bool,
}

/// Returns whether a volume has extents on a node that matches `predicate`.
pub(super) fn has_extents_on(volume: &Volume, predicate: impl Fn(u32) -> bool) -> bool {
    volume.placement.iter().any(|(node, _)| predicate(*node))
}
