//! Splits a block command by extent and combines the outcomes of its pieces.
//!
//! Used by the engine. A volume is divided into extents of a fixed number of blocks, and a request
//! touches one extent. [`Layout::pieces`] splits a range; [`OutcomeCollector`] takes the outcomes
//! of the pieces in any order. The command's outcome is that of its worst piece:
//!
//! | pieces | command | why |
//! | --- | --- | --- |
//! | all completed | GOOD, with the data of reads | |
//! | some rejected, none failed | BUSY, retry after the longest time | sent again with the same data |
//! | any failed | CHECK CONDITION, outcome unknown | neither success nor failure is certain |
//! | any not persisted | CHECK CONDITION, write error | the placement would be lost on a restart |
//!
//! The outcome is returned with that of the last piece: until then an attempt may be in progress,
//! which could take effect after an earlier response. The data of a read is held in memory once.

use bytes::{Bytes, BytesMut};
use grebecleat_iscsi::scsi::{Sense, Status};
use grebecleat_iscsi::session::Outcome;
use std::time::Duration;

/// A part of a command inside one extent. Offsets and lengths are in bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Piece {
    /// The extent's index in the volume.
    pub extent: u64,
    /// Offset in its extent.
    pub offset: u32,
    /// Offset in the command's data.
    pub data_offset: usize,
    /// Its length, at least one block.
    pub length: u32,
}

/// Mapping of a volume's blocks to extents.
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
    /// assert_eq!(pieces[0], Piece { extent: 0, offset: 3072, data_offset: 0, length: 1024 });
    /// assert_eq!(pieces[1], Piece { extent: 1, offset: 0, data_offset: 1024, length: 4096 });
    /// assert_eq!(pieces[2], Piece { extent: 2, offset: 0, data_offset: 5120, length: 1024 });
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
                data_offset: ((from - lba) * block_size) as usize,
                length: ((to - from) * block_size) as u32,
            }
        })
    }
}

/// Outcome of the request of a piece.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RequestOutcome {
    /// The request was executed. Holds the data of a read; if it is shorter than requested, the
    /// rest was never written and reads as zeroes.
    Completed(Bytes),
    /// Rejected, as far as is known without being executed.
    Rejected {
        /// Time after which it may be sent again, if the host gave one.
        retry_after: Option<Duration>,
        /// A write may take effect later than this response.
        may_still_apply: bool,
    },
    /// Failed; whether it was executed is unknown.
    Failed {
        /// A write may take effect later than this response.
        may_still_apply: bool,
    },
    /// Completed without effect on blocks for which the node holds this newer version.
    Superseded(u64),
    /// The placement of its extent cannot be persisted; the request may have been executed.
    NotPersisted,
}

/// Severity of the outcomes of a command's pieces, in ascending order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Severity {
    Completed,
    Rejected,
    Failed,
    NotPersisted,
}

/// Collects the outcomes of one command's pieces.
#[derive(Debug)]
pub struct OutcomeCollector {
    /// The pieces in order; `None` for those whose outcome was received.
    missing: Vec<Option<Piece>>,
    open: usize,
    /// Data length of the whole command.
    total_bytes: usize,
    reads: bool,
    /// Data of a read in several pieces; empty until the first outcome.
    data: BytesMut,
    /// Data of a read in one piece, which is not copied.
    single: Option<Bytes>,
    worst: Severity,
    retry_after: Option<Duration>,
    may_still_apply: bool,
}

/// A command's outcome.
#[derive(Debug, PartialEq)]
pub struct CommandOutcome {
    /// SCSI outcome to send to the initiator.
    pub outcome: Outcome,
    /// Time after which a BUSY command may be sent again, if the host gave one.
    pub retry_after: Option<Duration>,
    /// Whether a part of a write may take effect later.
    pub may_still_apply: bool,
}

impl OutcomeCollector {
    /// Starts without outcomes. `reads`: the command needs the data of its pieces.
    pub fn new(pieces: Vec<Piece>, reads: bool) -> Self {
        OutcomeCollector {
            open: pieces.len(),
            total_bytes: pieces.iter().map(|piece| piece.length as usize).sum(),
            missing: pieces.into_iter().map(Some).collect(),
            reads,
            data: BytesMut::new(),
            single: None,
            worst: Severity::Completed,
            retry_after: None,
            may_still_apply: false,
        }
    }

    /// Adds the outcome of the piece with the given index; returns the command's outcome after the
    /// last one. A second outcome of a piece is ignored.
    pub fn add(&mut self, index: usize, outcome: RequestOutcome) -> Option<CommandOutcome> {
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
                self.worst = self.worst.max(Severity::Rejected);
                self.retry_after = self.retry_after.max(retry_after);
                self.may_still_apply |= may_still_apply && !self.reads;
            }
            RequestOutcome::Failed { may_still_apply } => {
                self.worst = self.worst.max(Severity::Failed);
                self.may_still_apply |= may_still_apply && !self.reads;
            }
            RequestOutcome::Superseded(_) => self.worst = self.worst.max(Severity::Failed),
            RequestOutcome::NotPersisted => self.worst = self.worst.max(Severity::NotPersisted),
        }
        (self.open == 0).then(|| self.command_outcome())
    }

    /// Stores the data of a piece. The data of a command with a single piece is not copied.
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
        self.data[piece.data_offset..piece.data_offset + present].copy_from_slice(&data[..present]);
    }

    fn command_outcome(&mut self) -> CommandOutcome {
        let outcome = match self.worst {
            Severity::NotPersisted => Outcome::check(Sense::WRITE_ERROR),
            Severity::Failed => Outcome::check(Sense::OUTCOME_UNKNOWN),
            Severity::Rejected => Outcome::busy(self.retry_after),
            Severity::Completed => Outcome::good(match self.single.take() {
                Some(data) => data,
                None => std::mem::take(&mut self.data).freeze(),
            }),
        };
        let busy = outcome.status == Status::Busy;
        CommandOutcome {
            outcome,
            retry_after: self.retry_after.filter(|_| busy),
            may_still_apply: self.may_still_apply,
        }
    }
}

#[cfg(test)]
mod tests;
