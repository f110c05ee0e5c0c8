//! Frames: a length, a checksum and a message.
//!
//! Eight bytes of header, both numbers little-endian: the length of the message, and the CRC32C of
//! the message. The length is checked against the bound before anything is kept for it, and memory
//! is taken only as bytes arrive, so a header that claims 4 GiB costs eight bytes.

use bytes::{Buf, Bytes, BytesMut};
use prost::Message;
use std::fmt;

pub const HEADER: usize = 8;
/// What one read may bring; a held frame grows by this at a time.
const ONE_READ: usize = 32 << 10;

/// Why a peer's bytes cannot be read; the connection is of no more use.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FrameFault {
    TooLong {
        length: usize,
        most: usize,
    },
    Checksum,
    Message(String),
    /// No body that this version knows.
    Unknown,
}

impl fmt::Display for FrameFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            FrameFault::TooLong { length, most } => {
                write!(f, "frame of {length} bytes, at most {most}")
            }
            FrameFault::Checksum => write!(f, "frame with a wrong checksum"),
            FrameFault::Message(why) => write!(f, "frame that holds no message: {why}"),
            FrameFault::Unknown => write!(f, "message of an unknown kind"),
        }
    }
}

impl std::error::Error for FrameFault {}

/// Appends a message, framed, and answers how many bytes that took.
///
/// ```
/// use grebecleat_wire::{frame, pb};
/// let sent = pb::Frame { sent_us: 7, body: Some(pb::frame::Body::FetchEndpoints(pb::FetchEndpoints {})) };
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

/// Takes bytes as they come and gives back whole messages.
#[derive(Debug)]
pub struct Reader {
    held: BytesMut,
    most: usize,
}

impl Reader {
    pub fn new(most: usize) -> Self {
        Reader {
            held: BytesMut::new(),
            most,
        }
    }

    pub fn push(&mut self, bytes: &[u8]) {
        self.held.extend_from_slice(bytes);
    }

    /// Reads once from a stream; answers how many bytes came.
    pub fn fill(&mut self, from: &mut impl std::io::Read) -> std::io::Result<usize> {
        let held = self.held.len();
        // A large frame is put together where it begins, and not moved each time it grows.
        let length = self
            .held
            .first_chunk::<4>()
            .map_or(0, |h| u32::from_le_bytes(*h) as usize);
        let missing = if length <= self.most {
            (length + HEADER).saturating_sub(held)
        } else {
            0
        };
        self.held.reserve(missing.max(ONE_READ));
        self.held.resize(held + ONE_READ, 0);
        let got = from.read(&mut self.held[held..]);
        self.held.truncate(held + got.as_ref().map_or(0, |n| *n));
        got
    }

    /// Bytes of a frame that has begun and is not whole.
    pub fn partial(&self) -> usize {
        self.held.len()
    }

    /// The next whole message; None until more bytes have come. After a fault every later call is
    /// one too.
    #[allow(clippy::should_implement_trait)]
    pub fn next<M: Message + Default>(&mut self) -> Result<Option<M>, FrameFault> {
        let Some(header) = self.held.first_chunk::<HEADER>() else {
            return Ok(None);
        };
        let length = u32::from_le_bytes([header[0], header[1], header[2], header[3]]) as usize;
        let sum = u32::from_le_bytes([header[4], header[5], header[6], header[7]]);
        if length > self.most {
            return Err(FrameFault::TooLong {
                length,
                most: self.most,
            });
        }
        if self.held.len() < HEADER + length {
            return Ok(None);
        }
        if crc32c::crc32c(&self.held[HEADER..HEADER + length]) != sum {
            return Err(FrameFault::Checksum);
        }
        self.held.advance(HEADER);
        let message: Bytes = self.held.split_to(length).freeze();
        M::decode(message)
            .map(Some)
            .map_err(|e| FrameFault::Message(e.to_string()))
    }
}
