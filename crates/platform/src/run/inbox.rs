//! The bytes that were read from one connection and that the owner has not taken.
//!
//! A read is added to the previous one while that one is small, so the number of pieces, and the owner's
//! work for them, depends on the bytes and not on how the peer cut them. This module performs no I/O.

use std::collections::VecDeque;
use std::time::Duration;

/// Size in bytes up to which a read is added to the previous one. A larger value makes the time of a read
/// less exact; a smaller one costs the owner more work for messages in small pieces.
const MAX_MERGED_BYTES: usize = 4 << 10;

/// Bytes that the owner has taken.
#[derive(Debug, PartialEq, Eq)]
pub(super) struct TakenBytes {
    /// When the first of the bytes were read.
    pub(super) at: Duration,
    pub(super) bytes: Vec<u8>,
    /// Number of bytes of the memory budget that are released once these bytes are processed.
    pub(super) charged: usize,
}

#[derive(Debug)]
struct Piece {
    at: Duration,
    bytes: Vec<u8>,
    /// Number of its bytes that were taken.
    taken: usize,
    charged: usize,
}

/// Bytes in the order in which they were read. Memory: the bytes, and one record for each read of more than
/// a few of them; the reader bounds both.
#[derive(Debug, Default)]
pub(super) struct Inbox {
    pieces: VecDeque<Piece>,
    bytes: usize,
}

impl Inbox {
    /// Adds the bytes of a read at the time `at`, which charged this many bytes to the memory budget.
    pub(super) fn push(&mut self, at: Duration, bytes: Vec<u8>, charged: usize) {
        self.bytes += bytes.len();
        if let Some(last) = self.pieces.back_mut() {
            if last.bytes.len() + bytes.len() <= MAX_MERGED_BYTES {
                last.bytes.extend_from_slice(&bytes);
                last.charged += charged;
                return;
            }
        }
        self.pieces.push_back(Piece {
            at,
            bytes,
            taken: 0,
            charged,
        });
    }

    /// Takes at most `max` bytes that were read together, or `None` if there are none.
    pub(super) fn take(&mut self, max: usize) -> Option<TakenBytes> {
        let mut piece = self.pieces.pop_front()?;
        let left = piece.bytes.len() - piece.taken;
        self.bytes -= left.min(max);
        if left > max {
            let end = piece.taken + max;
            let taken = TakenBytes {
                at: piece.at,
                bytes: piece.bytes[piece.taken..end].to_vec(),
                charged: 0,
            };
            piece.taken = end;
            self.pieces.push_front(piece);
            return Some(taken);
        }
        piece.bytes.drain(..piece.taken);
        Some(TakenBytes {
            at: piece.at,
            bytes: piece.bytes,
            charged: piece.charged,
        })
    }

    /// Returns the number of bytes that were not taken.
    pub(super) fn len(&self) -> usize {
        self.bytes
    }

    /// Returns whether all bytes were taken.
    pub(super) fn is_empty(&self) -> bool {
        self.bytes == 0
    }

    /// Drops all bytes, and returns what they have charged to the memory budget.
    pub(super) fn clear(&mut self) -> usize {
        self.bytes = 0;
        self.pieces.drain(..).map(|piece| piece.charged).sum()
    }
}

#[cfg(test)]
mod tests;
