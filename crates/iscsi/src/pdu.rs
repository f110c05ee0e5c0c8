//! Protocol data units (RFC 7143, section 11).
//!
//! A PDU is a basic header segment of 48 bytes, additional header segments, a header digest, data
//! padded to four bytes, and a data digest. Numbers are big-endian. [`Reader`] turns received bytes
//! into PDUs and checks a length before it stores anything for it; [`write()`] encodes a PDU. Digests
//! are CRC32C (section 13.1), sent least significant byte first as in the standard's examples (RFC
//! 3720, appendix B.4). Connections call this module; it owns no state but each reader's buffer.

mod header;
mod opcode;
mod reader;

pub use header::{Header, NO_TAG};
pub use opcode::Opcode;
pub use reader::Reader;

use bytes::Bytes;

/// The length of the basic header segment, in bytes.
pub const BHS: usize = 48;

/// A protocol data unit, without its digests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Pdu {
    /// The basic header segment. [`write()`] sets its lengths.
    pub header: Header,
    /// The additional header segments (AHS), with their padding.
    pub ahs: Bytes,
    /// The data segment, without padding.
    pub data: Bytes,
}

impl Pdu {
    /// Creates a PDU without additional header segments.
    pub fn new(header: Header, data: impl Into<Bytes>) -> Self {
        Pdu {
            header,
            ahs: Bytes::new(),
            data: data.into(),
        }
    }
}

/// The digests that a connection has negotiated (section 13.1).
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Digests {
    /// HeaderDigest is CRC32C.
    pub header: bool,
    /// DataDigest is CRC32C.
    pub data: bool,
}

/// Returns the CRC32C of `bytes` in the byte order of a PDU.
///
/// The examples of RFC 3720, appendix B.4:
///
/// ```
/// use grebecleat_iscsi::pdu::digest;
/// assert_eq!(digest(&[0; 32]), [0xaa, 0x36, 0x91, 0x8a]);
/// assert_eq!(digest(&[0xff; 32]), [0x43, 0xab, 0xa8, 0x62]);
/// let up: Vec<u8> = (0..32).collect();
/// assert_eq!(digest(&up), [0x4e, 0x79, 0xdd, 0x46]);
/// let down: Vec<u8> = (0..32).rev().collect();
/// assert_eq!(digest(&down), [0x5c, 0xdb, 0x3f, 0x11]);
/// let read10 = [
///     0x01, 0xc0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0x14, 0, 0, 0, 0, 0, 0x04, 0, 0, 0, 0, 0x14,
///     0, 0, 0, 0x18, 0x28, 0, 0, 0, 0, 0, 0, 0, 0x02, 0, 0, 0, 0, 0, 0, 0,
/// ];
/// assert_eq!(digest(&read10), [0x56, 0x3a, 0x96, 0xd9]);
/// ```
pub fn digest(bytes: &[u8]) -> [u8; 4] {
    crc32c::crc32c(bytes).to_le_bytes()
}

/// The reason why [`Reader`] cannot return a PDU.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum PduError {
    /// The header digest does not match. The reader cannot find the next PDU, so the connection ends
    /// (section 7.7).
    #[error("header digest does not match")]
    HeaderDigest,
    /// The data digest does not match (section 7.8). The header is intact: its opcode determines the
    /// recovery.
    #[error("data digest does not match: {0:?}")]
    DataDigest(Header),
    /// The data segment exceeds the declared MaxRecvDataSegmentLength or the reader's own bound.
    #[error("data segment of {length} bytes, at most {limit}")]
    TooLong {
        /// The length of the data segment, in bytes.
        length: usize,
        /// The maximum length, in bytes.
        limit: usize,
    },
}

fn padded(length: usize) -> usize {
    length.next_multiple_of(4)
}

/// Appends a PDU to `to` and sets the lengths in its header.
///
/// ```
/// use grebecleat_iscsi::pdu::{write, Digests, Header, Opcode, Pdu, Reader};
/// let sent = Pdu::new(Header::new(Opcode::NopOut).set_itt(7), &b"hello"[..]);
/// let (both, mut bytes) = (Digests { header: true, data: true }, Vec::new());
/// write(&sent, both, &mut bytes);
/// assert_eq!(bytes.len(), 48 + 4 + 8 + 4);
/// let mut reader = Reader::new(8192);
/// reader.digests = both;
/// reader.push(&bytes);
/// let got = reader.next().unwrap().unwrap();
/// assert_eq!((got.data, got.header.itt(), got.header.data_length()), (sent.data, 7, 5));
/// ```
pub fn write(pdu: &Pdu, digests: Digests, to: &mut Vec<u8>) {
    write_head(pdu, digests, to);
    to.extend_from_slice(&pdu.data);
    write_tail(pdu, digests, to);
}

/// Appends the bytes before a PDU's data: headers and header digest. A caller that writes head, data
/// and tail separately does not copy the data.
pub fn write_head(pdu: &Pdu, digests: Digests, to: &mut Vec<u8>) {
    let ahs = padded(pdu.ahs.len());
    let mut header = pdu.header.0;
    header[4] = (ahs / 4) as u8;
    header[5..8].copy_from_slice(&(pdu.data.len() as u32).to_be_bytes()[1..]);
    let start = to.len();
    to.extend_from_slice(&header);
    to.extend_from_slice(&pdu.ahs);
    to.resize(start + BHS + ahs, 0);
    if digests.header {
        let sum = digest(&to[start..]);
        to.extend_from_slice(&sum);
    }
}

/// Appends the bytes after a PDU's data: the padding and the data digest, which covers the padding.
pub fn write_tail(pdu: &Pdu, digests: Digests, to: &mut Vec<u8>) {
    let pad = &[0; 3][..padded(pdu.data.len()) - pdu.data.len()];
    to.extend_from_slice(pad);
    if digests.data && !pdu.data.is_empty() {
        let sum = crc32c::crc32c_append(crc32c::crc32c(&pdu.data), pad);
        to.extend_from_slice(&sum.to_le_bytes());
    }
}
