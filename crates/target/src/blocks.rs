//! A command on blocks, in pieces of extents and back.
//!
//! A volume's blocks lie in extents of a fixed number of blocks, and a request touches one extent.
//! [`Layout::pieces`] splits a range; [`Gather`] takes the pieces' answers, in any order, and makes the one
//! answer of the command:
//!
//! | pieces | command | why |
//! | --- | --- | --- |
//! | all done | GOOD, with the data of reads | |
//! | some deferred, none abandoned | BUSY, come back after the longest time | done again with the same data |
//! | any abandoned | CHECK CONDITION, outcome unknown | nobody may promise either way |
//! | any unkept | CHECK CONDITION, write error | its place would be lost with this process |
//!
//! The answer is given when the last piece has its own: until then an attempt may be out, and an answer that came
//! before it could be overtaken by its effect.

use bytes::{Bytes, BytesMut};
use grebecleat_iscsi::scsi::{Sense, Status};
use grebecleat_iscsi::session::Outcome;
use std::time::Duration;

/// A part of a command inside one extent. Bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Piece {
    pub extent: u64,
    /// Where it begins in its extent, and in the command's data.
    pub offset: u32,
    pub at: usize,
    pub length: u32,
}

/// How a volume's blocks lie in extents.
#[derive(Debug, Clone, Copy)]
pub struct Layout {
    pub block_size: u32,
    pub extent_blocks: u32,
}

impl Layout {
    /// The pieces of a range of blocks, in order.
    ///
    /// ```
    /// use grebecleat_target::blocks::{Layout, Piece};
    /// let layout = Layout { block_size: 512, extent_blocks: 8 };
    /// let pieces: Vec<Piece> = layout.pieces(6, 12).collect();
    /// assert_eq!(pieces[0], Piece { extent: 0, offset: 3072, at: 0, length: 1024 });
    /// assert_eq!(pieces[1], Piece { extent: 1, offset: 0, at: 1024, length: 4096 });
    /// assert_eq!(pieces[2], Piece { extent: 2, offset: 0, at: 5120, length: 1024 });
    /// assert_eq!((pieces.len(), layout.pieces(5, 0).count()), (3, 0));
    /// ```
    pub fn pieces(self, lba: u64, blocks: u64) -> impl Iterator<Item = Piece> {
        let (each, size) = (u64::from(self.extent_blocks), u64::from(self.block_size));
        let end = lba + blocks;
        let extents = if blocks == 0 {
            0..0
        } else {
            lba / each..end.div_ceil(each)
        };
        extents.map(move |extent| {
            let (from, to) = (lba.max(extent * each), end.min((extent + 1) * each));
            Piece {
                extent,
                offset: ((from - extent * each) * size) as u32,
                at: ((from - lba) * size) as usize,
                length: ((to - from) * size) as u32,
            }
        })
    }
}

/// What a piece's request came to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Answer {
    /// Data of reads; less than asked for is zeroes from there on, for blocks that nobody wrote.
    Done(Bytes),
    /// Not done, or nobody knows. `unsure`: it may still have an effect, later than this answer.
    Deferred {
        retry_after: Option<Duration>,
        unsure: bool,
    },
    Abandoned {
        unsure: bool,
    },
    /// Done, but for blocks of which the node holds that newer version.
    Superseded(u64),
    /// Done, but it cannot be kept where.
    Unkept,
}

/// The answers of one command's pieces, as they come.
#[derive(Debug)]
pub struct Gather {
    left: Vec<Option<Piece>>,
    open: usize,
    /// Of the whole command.
    bytes: usize,
    data: BytesMut,
    one: Option<Bytes>,
    reads: bool,
    retry_after: Option<Duration>,
    deferred: bool,
    abandoned: bool,
    unkept: bool,
    unsure: bool,
}

/// A command's answer, and after which time a BUSY one may come again.
#[derive(Debug, PartialEq)]
pub struct Whole {
    pub outcome: Outcome,
    pub retry_after: Option<Duration>,
    /// A write of which a part may still have its effect.
    pub unsure: bool,
}

impl Gather {
    pub fn new(pieces: Vec<Piece>, reads: bool) -> Self {
        let bytes = pieces.iter().map(|p| p.length as usize).sum();
        let (data, one) = (BytesMut::new(), None);
        let (open, left) = (pieces.len(), pieces.into_iter().map(Some).collect());
        let (deferred, abandoned, unkept, unsure) = (false, false, false, false);
        Gather {
            left,
            open,
            bytes,
            data,
            one,
            reads,
            retry_after: None,
            deferred,
            abandoned,
            unkept,
            unsure,
        }
    }

    /// A command without pieces needs no answers.
    pub fn is_whole(&self) -> bool {
        self.open == 0
    }

    /// One piece's answer, by its place; the command's, once it is the last. A second answer to one changes
    /// nothing.
    pub fn take(&mut self, place: usize, answer: Answer) -> Option<Whole> {
        let piece = self.left.get_mut(place)?.take()?;
        self.open -= 1;
        match answer {
            // The whole of the command in one: nothing is to be put together, nor copied.
            Answer::Done(data)
                if self.reads && self.left.len() == 1 && data.len() >= piece.length as usize =>
            {
                self.one = Some(data.slice(..piece.length as usize));
            }
            Answer::Done(data) if self.reads => {
                if self.data.is_empty() {
                    self.data = BytesMut::zeroed(self.bytes);
                }
                let n = data.len().min(piece.length as usize);
                self.data[piece.at..piece.at + n].copy_from_slice(&data[..n]);
            }
            Answer::Done(_) => {}
            Answer::Deferred {
                retry_after,
                unsure,
            } => {
                self.deferred = true;
                self.retry_after = self.retry_after.max(retry_after);
                self.unsure |= unsure && !self.reads;
            }
            Answer::Abandoned { unsure } => {
                self.abandoned = true;
                self.unsure |= unsure && !self.reads;
            }
            Answer::Superseded(_) => self.abandoned = true,
            Answer::Unkept => self.unkept = true,
        }
        self.is_whole().then(|| self.whole())
    }

    pub fn whole(&mut self) -> Whole {
        let outcome = match (self.unkept, self.abandoned, self.deferred) {
            (true, ..) => Outcome::check(Sense::WRITE_ERROR),
            (_, true, _) => Outcome::check(Sense::OUTCOME_UNKNOWN),
            (.., true) => Outcome::busy(self.retry_after),
            _ => Outcome::good(
                self.one
                    .take()
                    .unwrap_or_else(|| std::mem::take(&mut self.data).freeze()),
            ),
        };
        let busy = outcome.status == Status::Busy;
        Whole {
            outcome,
            retry_after: self.retry_after.filter(|_| busy),
            unsure: self.unsure,
        }
    }
}

#[cfg(test)]
mod tests;
