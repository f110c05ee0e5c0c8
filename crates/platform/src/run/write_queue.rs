//! The bytes that wait to be written to one socket.
//!
//! A body is shared with the request or the response that it belongs to, and is not copied.

use crate::http::OutgoingMessage;
use bytes::Bytes;
use std::collections::VecDeque;

/// Size in bytes up to which a body is copied behind its head: one write then sends both.
const MAX_COPIED_BODY: usize = 4 << 10;

/// A part of a message.
#[derive(Debug)]
struct Segment {
    rest: Bytes,
    /// Whether the bytes belong to the queue alone.
    is_owned: bool,
}

/// Bytes that wait to be written, in order.
#[derive(Debug, Default)]
pub(super) struct WriteQueue {
    segments: VecDeque<Segment>,
    /// Number of bytes that wait.
    bytes: usize,
    /// Number of these bytes that are not shared with a request or a response.
    owned_bytes: usize,
}

impl WriteQueue {
    /// Adds a message.
    pub(super) fn push(&mut self, message: OutgoingMessage) {
        let OutgoingMessage { mut head, body } = message;
        if body.len() <= MAX_COPIED_BODY {
            head.extend_from_slice(&body);
            return self.push_segment(Bytes::from(head), true);
        }
        self.push_segment(Bytes::from(head), true);
        self.push_segment(body, false);
    }

    fn push_segment(&mut self, rest: Bytes, is_owned: bool) {
        if rest.is_empty() {
            return;
        }
        self.bytes += rest.len();
        self.owned_bytes += if is_owned { rest.len() } else { 0 };
        self.segments.push_back(Segment { rest, is_owned });
    }

    /// Returns the number of waiting bytes that are not shared with a request or a response.
    pub(super) fn owned_bytes(&self) -> usize {
        self.owned_bytes
    }

    /// Returns the number of bytes that wait.
    pub(super) fn len(&self) -> usize {
        self.bytes
    }

    /// Returns whether no bytes wait.
    pub(super) fn is_empty(&self) -> bool {
        self.bytes == 0
    }

    /// Returns the next bytes to write, or `None` if no bytes wait.
    pub(super) fn next(&self) -> Option<&[u8]> {
        self.segments.front().map(|segment| &segment.rest[..])
    }

    /// Removes the first bytes of the segment that [`WriteQueue::next`] returns, which were written.
    pub(super) fn advance(&mut self, written: usize) {
        let Some(segment) = self.segments.front_mut() else {
            return;
        };
        let _ = segment.rest.split_to(written);
        self.bytes -= written;
        self.owned_bytes -= if segment.is_owned { written } else { 0 };
        if segment.rest.is_empty() {
            self.segments.pop_front();
        }
    }
}

#[cfg(test)]
mod tests;
