//! A command on blocks, split by extent, and its outcome from those of the pieces.
//!
//! Called by the engine. A volume's blocks lie in extents of a fixed number of blocks, and a
//! request touches one extent. [`Layout::pieces`] splits a range; [`Gather`] takes the pieces'
//! outcomes, in any order, and makes the one outcome of the command, that of its worst piece:
//!
//! | pieces | command | why |
//! | --- | --- | --- |
//! | all completed | GOOD, with the data of reads | |
//! | some rejected, none failed | BUSY, retry after the longest time | sent again with the same data |
//! | any failed | CHECK CONDITION, outcome unknown | neither success nor failure is certain |
//! | any not persisted | CHECK CONDITION, write error | its place would be lost with this process |
//!
//! The outcome is given when the last piece has its own: until then an attempt may be in progress,
//! and an answer that came before it could be overtaken by its effect. A read's memory is its data,
//! once.

use bytes::{Bytes, BytesMut};
use grebecleat_iscsi::scsi::{Sense, Status};
use grebecleat_iscsi::session::Outcome;
use std::time::Duration;

/// A part of a command inside one extent. Offsets and lengths are in bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Piece {
    /// The extent's index in the volume.
    pub extent: u64,
    /// Where it begins in its extent.
    pub offset: u32,
    /// Where it begins in the command's data.
    pub at: usize,
    /// Its length, at least one block.
    pub length: u32,
}

/// How a volume's blocks lie in extents.
#[derive(Debug, Clone, Copy)]
pub struct Layout {
    /// Bytes of a block.
    pub block_size: u32,
    /// Blocks of an extent, at least one.
    pub extent_blocks: u32,
}

impl Layout {
    /// The pieces of a range of blocks, in order.
    ///
    /// ```
    /// use grebecleat_iscsi_target::blocks::{Layout, Piece};
    /// let layout = Layout { block_size: 512, extent_blocks: 8 };
    /// let pieces: Vec<Piece> = layout.pieces(6, 12).collect();
    /// assert_eq!(pieces[0], Piece { extent: 0, offset: 3072, at: 0, length: 1024 });
    /// assert_eq!(pieces[1], Piece { extent: 1, offset: 0, at: 1024, length: 4096 });
    /// assert_eq!(pieces[2], Piece { extent: 2, offset: 0, at: 5120, length: 1024 });
    /// assert_eq!((pieces.len(), layout.pieces(5, 0).count()), (3, 0));
    /// ```
    pub fn pieces(self, lba: u64, blocks: u64) -> impl Iterator<Item = Piece> {
        let extent_blocks = u64::from(self.extent_blocks);
        let block_size = u64::from(self.block_size);
        let end = lba + blocks;
        let extents = if blocks == 0 {
            0..0
        } else {
            lba / extent_blocks..end.div_ceil(extent_blocks)
        };
        extents.map(move |extent| {
            let extent_start = extent * extent_blocks;
            let from = lba.max(extent_start);
            let to = end.min(extent_start + extent_blocks);
            Piece {
                extent,
                offset: ((from - extent_start) * block_size) as u32,
                at: ((from - lba) * block_size) as usize,
                length: ((to - from) * block_size) as u32,
            }
        })
    }
}

/// What became of a piece's request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RequestOutcome {
    /// Done. Data of reads; less than asked for is zeroes from there on, for blocks that were never
    /// written.
    Completed(Bytes),
    /// Turned away before it was done, as far as is known.
    Rejected {
        /// When it may be sent again, if the host gave a time.
        retry_after: Option<Duration>,
        /// A write may take effect later than this answer.
        may_still_apply: bool,
    },
    /// Not done, or done without anyone knowing.
    Failed {
        /// A write may take effect later than this answer.
        may_still_apply: bool,
    },
    /// Done, but for blocks of which the node has that newer version.
    Superseded(u64),
    /// Done or not, but its place cannot be persisted.
    NotPersisted,
}

/// The worst outcome among a command's pieces, in rising order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Worst {
    Completed,
    Rejected,
    Failed,
    NotPersisted,
}

/// The outcomes of one command's pieces, as they come.
#[derive(Debug)]
pub struct Gather {
    /// Pieces in their order; none where the outcome has come.
    missing: Vec<Option<Piece>>,
    open: usize,
    /// Of the whole command.
    total_bytes: usize,
    reads: bool,
    /// Data of reads in several pieces; empty until the first has come.
    data: BytesMut,
    /// Data of a read in one piece, not copied.
    single: Option<Bytes>,
    worst: Worst,
    retry_after: Option<Duration>,
    may_still_apply: bool,
}

/// A command's outcome.
#[derive(Debug, PartialEq)]
pub struct Gathered {
    /// What the initiator gets.
    pub outcome: Outcome,
    /// After which time a BUSY command may be sent again, if the host gave one.
    pub retry_after: Option<Duration>,
    /// A write of which a part may take effect later.
    pub may_still_apply: bool,
}

impl Gather {
    /// No outcome has come yet. `reads`: the command wants the data of its pieces.
    pub fn new(pieces: Vec<Piece>, reads: bool) -> Self {
        Gather {
            open: pieces.len(),
            total_bytes: pieces.iter().map(|piece| piece.length as usize).sum(),
            missing: pieces.into_iter().map(Some).collect(),
            reads,
            data: BytesMut::new(),
            single: None,
            worst: Worst::Completed,
            retry_after: None,
            may_still_apply: false,
        }
    }

    /// Takes the outcome of the piece with that index; the command's outcome, once it is the last.
    /// A second outcome of one piece changes nothing.
    pub fn add(&mut self, index: usize, outcome: RequestOutcome) -> Option<Gathered> {
        let piece = self.missing.get_mut(index)?.take()?;
        self.open -= 1;
        match outcome {
            RequestOutcome::Completed(data) => {
                if self.reads {
                    self.add_data(piece, &data);
                }
            }
            RequestOutcome::Rejected {
                retry_after,
                may_still_apply,
            } => {
                self.worst = self.worst.max(Worst::Rejected);
                self.retry_after = self.retry_after.max(retry_after);
                self.may_still_apply |= may_still_apply && !self.reads;
            }
            RequestOutcome::Failed { may_still_apply } => {
                self.worst = self.worst.max(Worst::Failed);
                self.may_still_apply |= may_still_apply && !self.reads;
            }
            RequestOutcome::Superseded(_) => self.worst = self.worst.max(Worst::Failed),
            RequestOutcome::NotPersisted => self.worst = self.worst.max(Worst::NotPersisted),
        }
        (self.open == 0).then(|| self.gathered())
    }

    /// All of a command's data in one piece is passed on without a copy.
    fn add_data(&mut self, piece: Piece, data: &Bytes) {
        let length = piece.length as usize;
        if self.missing.len() == 1 && data.len() >= length {
            self.single = Some(data.slice(..length));
            return;
        }
        if self.data.is_empty() {
            self.data = BytesMut::zeroed(self.total_bytes);
        }
        let present = data.len().min(length);
        self.data[piece.at..piece.at + present].copy_from_slice(&data[..present]);
    }

    fn gathered(&mut self) -> Gathered {
        let outcome = match self.worst {
            Worst::NotPersisted => Outcome::check(Sense::WRITE_ERROR),
            Worst::Failed => Outcome::check(Sense::OUTCOME_UNKNOWN),
            Worst::Rejected => Outcome::busy(self.retry_after),
            Worst::Completed => Outcome::good(match self.single.take() {
                Some(data) => data,
                None => std::mem::take(&mut self.data).freeze(),
            }),
        };
        let busy = outcome.status == Status::Busy;
        Gathered {
            outcome,
            retry_after: self.retry_after.filter(|_| busy),
            may_still_apply: self.may_still_apply,
        }
    }
}

#[cfg(test)]
mod tests;
