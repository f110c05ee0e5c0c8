//! The bytes of one connection from the start of the current message on.
//!
//! A byte is moved a constant number of times on average, however the messages were cut: the buffer grows
//! by a fraction of its size, and the bytes of finished messages are removed once they are half of it.

use std::ops::Range;

/// A buffer that is full grows by its capacity divided by this. A larger value copies the bytes of
/// messages in pieces more often; a smaller one holds more memory than was received.
const GROWTH_DIVISOR: usize = 8;

/// Bytes of a connection, in order.
#[derive(Debug, Default)]
pub(super) struct MessageBuffer {
    bytes: Vec<u8>,
    /// Number of bytes of finished messages, which precede the current one.
    finished: usize,
}

impl MessageBuffer {
    /// Appends received bytes. The capacity exceeds the length by a small fraction only, since the
    /// capacity is what counts as held.
    pub(super) fn push(&mut self, bytes: &[u8]) {
        let spare = self.bytes.capacity() - self.bytes.len();
        if spare < bytes.len() {
            let growth = self.bytes.capacity() / GROWTH_DIVISOR;
            self.bytes.reserve_exact(bytes.len().max(growth));
        }
        self.bytes.extend_from_slice(bytes);
    }

    /// Returns the bytes from the start of the current message on.
    pub(super) fn unfinished(&self) -> &[u8] {
        &self.bytes[self.finished..]
    }

    /// Returns the bytes from the start of the current message on.
    pub(super) fn unfinished_mut(&mut self) -> &mut [u8] {
        &mut self.bytes[self.finished..]
    }

    /// Removes a range of the current message's bytes.
    pub(super) fn remove(&mut self, range: Range<usize>) {
        if !range.is_empty() {
            let range = self.finished + range.start..self.finished + range.end;
            self.bytes.drain(range);
        }
    }

    /// Ends the current message after `length` bytes.
    pub(super) fn finish(&mut self, length: usize) {
        self.finished += length;
        let left = self.bytes.len() - self.finished;
        if left == 0 {
            *self = MessageBuffer::default();
        } else if self.finished >= left {
            self.bytes.drain(..self.finished);
            self.finished = 0;
        }
    }

    /// Returns the bytes of memory that the buffer takes.
    pub(super) fn capacity(&self) -> usize {
        self.bytes.capacity()
    }
}
