//! Frames: a length, a checksum and a message.
//!
//! The header has eight bytes: the length of the message, and the CRC32C of the message, both in
//! little-endian order. The reader checks the length against its bound before it stores any byte of
//! the message. It allocates memory only for bytes that arrive, so a header that claims 4 GiB costs
//! eight bytes.

use bytes::{Buf, Bytes, BytesMut};
use prost::Message;

/// Bytes of a frame's header.
pub const HEADER: usize = 8;
/// Maximum number of bytes that one read from a stream returns. The buffer grows by this number. A
/// larger number costs memory for each connection; a smaller one costs more reads.
const READ_BYTES: usize = 32 << 10;

/// The reason why a peer's bytes are no frame. The connection cannot be used any further.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum FrameFault {
    /// The frame is longer than the reader accepts.
    #[error("frame of {length} bytes, at most {most}")]
    TooLong {
        /// Bytes of the message, as the header states them.
        length: usize,
        /// Bytes that the reader accepts.
        most: usize,
    },
    /// The checksum of the message is wrong.
    #[error("frame with a wrong checksum")]
    Checksum,
    /// The bytes are no message of the expected type; the decoder's error.
    #[error("frame that holds no message: {0}")]
    Message(String),
    /// This version does not know the message's body.
    #[error("message of an unknown kind")]
    Unknown,
}

/// Appends a message as a frame, and returns the number of bytes of the frame.
///
/// ```
/// use grebecleat_wire::{frame, pb};
/// let sent = pb::Frame { sent_us: 7, body: Some(pb::frame::Body::FetchEndpoints(pb::FetchEndpoints
/// {})) };
/// let mut bytes = Vec::new();
/// frame::write(&sent, &mut bytes);
/// let mut reader = frame::Reader::new(1024);
/// reader.push(&bytes[..5]);
/// assert_eq!(reader.next::<pb::Frame>(), Ok(None));
/// reader.push(&bytes[5..]);
/// assert_eq!(reader.next(), Ok(Some(sent)));
/// ```
pub fn write<M: Message>(message: &M, to: &mut Vec<u8>) -> usize {
    let start = to.len();
    to.extend_from_slice(&[0; HEADER]);
    message.encode(to).expect("a vector grows");
    let length = to.len() - start - HEADER;
    let sum = crc32c::crc32c(&to[start + HEADER..]);
    to[start..start + 4].copy_from_slice(&(length as u32).to_le_bytes());
    to[start + 4..start + HEADER].copy_from_slice(&sum.to_le_bytes());
    length + HEADER
}

/// Assembles messages from bytes as they arrive.
#[derive(Debug)]
pub struct Reader {
    /// Bytes that arrived and were not returned as messages.
    buffered: BytesMut,
    max_message: usize,
}

impl Reader {
    /// Returns a reader without bytes. `max_message`: bytes of the largest message that it accepts.
    pub fn new(max_message: usize) -> Self {
        Reader {
            buffered: BytesMut::new(),
            max_message,
        }
    }

    /// Adds bytes that arrived.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffered.extend_from_slice(bytes);
    }

    /// Reads once from a stream, and returns the number of bytes that arrived.
    pub fn fill(&mut self, from: &mut impl std::io::Read) -> std::io::Result<usize> {
        let buffered = self.buffered.len();
        // Reserves the memory of a large frame at once, so that the frame is not moved each time it
        // grows.
        let length = self
            .buffered
            .first_chunk::<4>()
            .map_or(0, |length| u32::from_le_bytes(*length) as usize);
        let missing = if length <= self.max_message {
            (length + HEADER).saturating_sub(buffered)
        } else {
            0
        };
        self.buffered.reserve(missing.max(READ_BYTES));
        self.buffered.resize(buffered + READ_BYTES, 0);
        let read = from.read(&mut self.buffered[buffered..]);
        let read_bytes = read.as_ref().map_or(0, |count| *count);
        self.buffered.truncate(buffered + read_bytes);
        read
    }

    /// Returns the number of bytes of an incomplete frame.
    pub fn partial(&self) -> usize {
        self.buffered.len()
    }

    /// Returns the next complete message; None until more bytes arrive. After a fault every later
    /// call returns a fault too.
    #[allow(clippy::should_implement_trait)]
    pub fn next<M: Message + Default>(&mut self) -> Result<Option<M>, FrameFault> {
        let Some(header) = self.buffered.first_chunk::<HEADER>() else {
            return Ok(None);
        };
        let length = u32::from_le_bytes([header[0], header[1], header[2], header[3]]) as usize;
        let sum = u32::from_le_bytes([header[4], header[5], header[6], header[7]]);
        if length > self.max_message {
            return Err(FrameFault::TooLong {
                length,
                most: self.max_message,
            });
        }
        if self.buffered.len() < HEADER + length {
            return Ok(None);
        }
        if crc32c::crc32c(&self.buffered[HEADER..HEADER + length]) != sum {
            return Err(FrameFault::Checksum);
        }
        self.buffered.advance(HEADER);
        let message: Bytes = self.buffered.split_to(length).freeze();
        M::decode(message)
            .map(Some)
            .map_err(|error| FrameFault::Message(error.to_string()))
    }
}
