//! Sizes, moves and proposals. Plain data.

/// A part of a volume, an extent or a unit a second below this is none.
pub(super) const EPSILON: f64 = 1e-7;

/// What it costs to move a volume.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Size {
    /// Number of its extents.
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
    /// The node where they lie.
    pub from: u32,
    /// The node where they are to lie.
    pub to: u32,
    /// How many.
    pub extents: u64,
    /// Their size in all.
    pub bytes: u64,
}

/// What to move.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Proposal {
    /// All moves.
    pub moves: Vec<Move>,
    /// Bytes of all moves.
    pub bytes: u64,
    /// The program's optimum in bytes, below which no answer with whole extents can lie, of what
    /// went into it.
    pub least: f64,
    /// Reservations that stay unmet, units a second.
    pub short: f64,
    /// Whether the whole site went into the program.
    pub is_complete: bool,
}
