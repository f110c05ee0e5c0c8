//! The reader that turns a connection's bytes into PDUs.
//!
//! [`Reader`] owns the buffered bytes. A connection's owner pushes bytes, or lets the reader fill its
//! buffer from a stream, and then takes PDUs. Memory: the buffer holds at most the longest acceptable
//! PDU and the bytes of one push or read.

use super::{digest, padded, Digests, Header, Pdu, PduError, BHS};
use bytes::{Buf, BytesMut};
use std::io;

/// The minimum space for one read, in bytes. A smaller value costs more system calls; a larger one
/// occupies more memory per connection.
const MIN_READ_BYTES: usize = 64 << 10;

/// The maximum space for one read, in bytes. A larger value zeroes more memory than a read fills; a
/// smaller one needs more reads for a large PDU.
const MAX_READ_BYTES: usize = 1 << 20;

/// The padding and the two digests of a PDU, in bytes, at most.
const MAX_OVERHEAD_BYTES: usize = 12;

/// The length of a digest, in bytes.
const DIGEST_BYTES: usize = 4;

/// Buffers a connection's bytes and returns complete PDUs.
#[derive(Debug)]
pub struct Reader {
    buffer: BytesMut,
    /// The digests to expect.
    pub digests: Digests,
    /// The MaxRecvDataSegmentLength that this side declared, in bytes. A larger data segment is an
    /// error before anything is stored for it.
    pub max_data: usize,
}

impl Reader {
    /// Creates a reader without digests. `max_data` bounds data segments, in bytes.
    pub fn new(max_data: usize) -> Self {
        Reader {
            buffer: BytesMut::new(),
            digests: Digests::default(),
            max_data,
        }
    }

    /// Appends received bytes to the buffer.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Reads once from a stream directly into the buffer and returns the number of bytes read.
    pub fn fill(&mut self, from: &mut impl io::Read) -> io::Result<usize> {
        let buffered = self.buffer.len();
        let header = self.buffer.first_chunk::<BHS>().map(|bytes| Header(*bytes));
        let acceptable = header.filter(|header| header.data_length() <= self.max_data);
        let missing = acceptable
            .map_or(0, |header| {
                BHS + header.ahs_length() + header.data_length() + MAX_OVERHEAD_BYTES
            })
            .saturating_sub(buffered);
        let space = missing.clamp(MIN_READ_BYTES, MAX_READ_BYTES);
        self.buffer.resize(buffered + space, 0);
        let received = from.read(&mut self.buffer[buffered..]);
        let count = received.as_ref().map_or(0, |count| *count);
        self.buffer.truncate(buffered + count);
        received
    }

    /// Returns the number of buffered bytes: the start of an incomplete PDU.
    pub fn partial(&self) -> usize {
        self.buffer.len()
    }

    /// Returns the next complete PDU; None until more bytes arrive. A data digest error removes its
    /// PDU from the buffer, so that reading can continue. After any other error it cannot.
    #[allow(clippy::should_implement_trait)]
    pub fn next(&mut self) -> Result<Option<Pdu>, PduError> {
        let Some(first) = self.buffer.first_chunk::<BHS>() else {
            return Ok(None);
        };
        let header = Header(*first);
        let length = header.data_length();
        let header_bytes = BHS + header.ahs_length();
        let header_digest_bytes = if self.digests.header { DIGEST_BYTES } else { 0 };
        let data_digest_bytes = if self.digests.data && length > 0 {
            DIGEST_BYTES
        } else {
            0
        };
        // The header digest is checked before the lengths that it covers are used.
        if self.digests.header {
            if self.buffer.len() < header_bytes + DIGEST_BYTES {
                return Ok(None);
            }
            if digest(&self.buffer[..header_bytes])
                != self.buffer[header_bytes..header_bytes + DIGEST_BYTES]
            {
                return Err(PduError::HeaderDigest);
            }
        }
        if length > self.max_data {
            return Err(PduError::TooLong {
                length,
                limit: self.max_data,
            });
        }
        let padded_bytes = padded(length);
        let pdu_bytes = header_bytes + header_digest_bytes + padded_bytes + data_digest_bytes;
        if self.buffer.len() < pdu_bytes {
            return Ok(None);
        }
        let mut pdu = self.buffer.split_to(pdu_bytes);
        pdu.advance(BHS);
        let ahs = pdu.split_to(header.ahs_length()).freeze();
        pdu.advance(header_digest_bytes);
        if data_digest_bytes > 0
            && digest(&pdu[..padded_bytes]) != pdu[padded_bytes..padded_bytes + DIGEST_BYTES]
        {
            return Err(PduError::DataDigest(header));
        }
        pdu.truncate(length);
        let data = pdu.freeze();
        Ok(Some(Pdu { header, ahs, data }))
    }
}
