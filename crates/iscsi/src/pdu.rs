//! Protocol data units (RFC 7143, section 11).
//!
//! A PDU is a basic header segment of 48 bytes, additional header segments, a header digest, data
//! padded to four bytes, and a data digest. Numbers are big-endian. [`Reader`] takes bytes as they
//! come and gives whole PDUs; a length is judged before anything is kept for it. Digests are CRC32C
//! (section 13.1), sent least byte first as in the standard's examples (RFC 3720, appendix B.4).

use bytes::{Buf, Bytes, BytesMut};
use std::{fmt, io};

pub const BHS: usize = 48;

/// Opcodes (section 11.2.1.2).
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[repr(u8)]
pub enum Opcode {
    NopOut = 0x00,
    ScsiCommand = 0x01,
    TaskManagement = 0x02,
    LoginRequest = 0x03,
    TextRequest = 0x04,
    DataOut = 0x05,
    LogoutRequest = 0x06,
    Snack = 0x10,
    NopIn = 0x20,
    ScsiResponse = 0x21,
    TaskManagementResponse = 0x22,
    LoginResponse = 0x23,
    TextResponse = 0x24,
    DataIn = 0x25,
    LogoutResponse = 0x26,
    R2t = 0x31,
    AsyncMessage = 0x32,
    Reject = 0x3f,
}

impl Opcode {
    pub const ALL: [Opcode; 18] = [
        Opcode::NopOut,
        Opcode::ScsiCommand,
        Opcode::TaskManagement,
        Opcode::LoginRequest,
        Opcode::TextRequest,
        Opcode::DataOut,
        Opcode::LogoutRequest,
        Opcode::Snack,
        Opcode::NopIn,
        Opcode::ScsiResponse,
        Opcode::TaskManagementResponse,
        Opcode::LoginResponse,
        Opcode::TextResponse,
        Opcode::DataIn,
        Opcode::LogoutResponse,
        Opcode::R2t,
        Opcode::AsyncMessage,
        Opcode::Reject,
    ];

    pub fn of(code: u8) -> Option<Opcode> {
        Self::ALL.into_iter().find(|o| *o as u8 == code)
    }

    /// Opcodes up to 0x1f come from initiators.
    pub fn from_initiator(self) -> bool {
        (self as u8) < 0x20
    }
}

/// The initiator task tag that stands for none (section 11.2.1.8).
pub const NO_TAG: u32 = 0xffff_ffff;

/// A basic header segment as its 48 bytes, with its fields by name. Fields that several PDUs place
/// alike have one accessor; what they mean in each is for the state machines.
#[derive(Clone, Copy, PartialEq, Eq)]
pub struct Header(pub [u8; BHS]);

macro_rules! words {
    ($($name:ident, $set:ident, $at:literal, $doc:literal;)*) => {
        $(
            #[doc = $doc]
            pub fn $name(&self) -> u32 {
                u32::from_be_bytes([self.0[$at], self.0[$at + 1], self.0[$at + 2], self.0[$at + 3]])
            }

            pub fn $set(mut self, value: u32) -> Self {
                self.0[$at..$at + 4].copy_from_slice(&value.to_be_bytes());
                self
            }
        )*
    };
}

impl Header {
    pub fn new(opcode: Opcode) -> Self {
        let mut bytes = [0; BHS];
        bytes[0] = opcode as u8;
        Header(bytes)
    }

    pub fn opcode_byte(&self) -> u8 {
        self.0[0] & 0x3f
    }

    pub fn opcode(&self) -> Option<Opcode> {
        Opcode::of(self.opcode_byte())
    }

    /// The I bit: immediate delivery.
    pub fn immediate(&self) -> bool {
        self.0[0] & 0x40 != 0
    }

    pub fn set_immediate(mut self, on: bool) -> Self {
        self.0[0] = self.0[0] & !0x40 | if on { 0x40 } else { 0 };
        self
    }

    /// The flags byte, of which bit 0x80 is F (final) in all PDUs that have one.
    pub fn flags(&self) -> u8 {
        self.0[1]
    }

    pub fn set_flags(mut self, flags: u8) -> Self {
        self.0[1] = flags;
        self
    }

    pub fn is_final(&self) -> bool {
        self.0[1] & 0x80 != 0
    }

    pub fn byte(&self, at: usize) -> u8 {
        self.0[at]
    }

    pub fn set_byte(mut self, at: usize, value: u8) -> Self {
        self.0[at] = value;
        self
    }

    /// TotalAHSLength, in bytes.
    pub fn ahs_length(&self) -> usize {
        usize::from(self.0[4]) * 4
    }

    pub fn data_length(&self) -> usize {
        u32::from_be_bytes([0, self.0[5], self.0[6], self.0[7]]) as usize
    }

    pub fn lun(&self) -> u64 {
        u64::from_be_bytes(self.0[8..16].try_into().expect("eight bytes"))
    }

    pub fn set_lun(mut self, lun: u64) -> Self {
        self.0[8..16].copy_from_slice(&lun.to_be_bytes());
        self
    }

    /// The initiator session id of login PDUs (section 11.12.5).
    pub fn isid(&self) -> [u8; 6] {
        self.0[8..14].try_into().expect("six bytes")
    }

    pub fn set_isid(mut self, isid: [u8; 6]) -> Self {
        self.0[8..14].copy_from_slice(&isid);
        self
    }

    pub fn tsih(&self) -> u16 {
        u16::from_be_bytes([self.0[14], self.0[15]])
    }

    pub fn set_tsih(mut self, tsih: u16) -> Self {
        self.0[14..16].copy_from_slice(&tsih.to_be_bytes());
        self
    }

    /// The connection id of login requests (section 11.12.7).
    pub fn cid(&self) -> u16 {
        u16::from_be_bytes([self.0[20], self.0[21]])
    }

    pub fn set_cid(mut self, cid: u16) -> Self {
        self.0[20..22].copy_from_slice(&cid.to_be_bytes());
        self
    }

    /// The command descriptor block of a SCSI command (section 11.3.5).
    pub fn cdb(&self) -> [u8; 16] {
        self.0[32..48].try_into().expect("sixteen bytes")
    }

    pub fn set_cdb(mut self, cdb: [u8; 16]) -> Self {
        self.0[32..48].copy_from_slice(&cdb);
        self
    }

    words! {
        itt, set_itt, 16, "Initiator task tag.";
        ttt, set_ttt, 20, "Target transfer tag; a command's expected length; referenced task tag.";
        cmd_sn, set_cmd_sn, 24, "CmdSN of requests; StatSN of responses.";
        exp_stat_sn, set_exp_stat_sn, 28, "ExpStatSN of requests; ExpCmdSN of responses.";
        word32, set_word32, 32, "MaxCmdSN of responses; DataSN place of no request.";
        word36, set_word36, 36, "DataSN of data; R2TSN; ExpDataSN of a response.";
        word40, set_word40, 40, "Buffer offset; bidirectional residual count.";
        word44, set_word44, 44, "Residual count; desired data transfer length.";
    }
}

impl fmt::Debug for Header {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let name = self
            .opcode()
            .map_or(format!("opcode {:#x}", self.opcode_byte()), |o| {
                format!("{o:?}")
            });
        write!(
            f,
            "{name} flags {:#04x} lun {} itt {:#x}",
            self.flags(),
            self.lun(),
            self.itt()
        )
    }
}

#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Pdu {
    pub header: Header,
    /// Additional header segments, padded.
    pub ahs: Bytes,
    pub data: Bytes,
}

impl Pdu {
    pub fn new(header: Header, data: impl Into<Bytes>) -> Self {
        Pdu {
            header,
            ahs: Bytes::new(),
            data: data.into(),
        }
    }
}

/// Which digests a connection has negotiated (section 13.1).
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Digests {
    pub header: bool,
    pub data: bool,
}

/// CRC32C as it stands in a PDU.
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

/// What is wrong with the bytes of a peer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PduError {
    /// Nothing after it can be found: the connection ends (section 7.7).
    HeaderDigest,
    /// The PDU is whole but its data is not what was sent (section 7.8): its header tells what to
    /// do.
    DataDigest(Header),
    /// More data than was declared as MaxRecvDataSegmentLength, or than this reader ever takes.
    TooLong { length: usize, most: usize },
}

impl fmt::Display for PduError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            PduError::HeaderDigest => write!(f, "header digest does not match"),
            PduError::DataDigest(h) => write!(f, "data digest does not match: {h:?}"),
            PduError::TooLong { length, most } => {
                write!(f, "data segment of {length} bytes, at most {most}")
            }
        }
    }
}

impl std::error::Error for PduError {}

fn padded(length: usize) -> usize {
    length.next_multiple_of(4)
}

/// Appends a PDU; its lengths are set here.
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

/// What stands before a PDU's data. Who writes head, data and tail one by one needs no copy of the
/// data.
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

/// What stands behind its data: padding, which its digest covers, and the digest.
pub fn write_tail(pdu: &Pdu, digests: Digests, to: &mut Vec<u8>) {
    let pad = &[0; 3][..padded(pdu.data.len()) - pdu.data.len()];
    to.extend_from_slice(pad);
    if digests.data && !pdu.data.is_empty() {
        let sum = crc32c::crc32c_append(crc32c::crc32c(&pdu.data), pad);
        to.extend_from_slice(&sum.to_le_bytes());
    }
}

/// Bytes that one read asks for, at least and at most.
const ONE_READ: (usize, usize) = (64 << 10, 1 << 20);

/// Takes bytes as they come and gives whole PDUs.
#[derive(Debug)]
pub struct Reader {
    held: BytesMut,
    pub digests: Digests,
    /// The MaxRecvDataSegmentLength that we declared.
    pub max_data: usize,
}

impl Reader {
    pub fn new(max_data: usize) -> Self {
        Reader {
            held: BytesMut::new(),
            digests: Digests::default(),
            max_data,
        }
    }

    pub fn push(&mut self, bytes: &[u8]) {
        self.held.extend_from_slice(bytes);
    }

    /// Reads once from a stream, straight to where the PDU is put together; answers how many bytes
    /// came.
    pub fn fill(&mut self, from: &mut impl io::Read) -> io::Result<usize> {
        let held = self.held.len();
        let header = self.held.first_chunk::<BHS>().map(|h| Header(*h));
        let whole = header.filter(|h| h.data_length() <= self.max_data);
        let missing = whole
            .map_or(0, |h| BHS + h.ahs_length() + h.data_length() + 12)
            .saturating_sub(held);
        self.held
            .resize(held + missing.clamp(ONE_READ.0, ONE_READ.1), 0);
        let got = from.read(&mut self.held[held..]);
        self.held.truncate(held + got.as_ref().map_or(0, |n| *n));
        got
    }

    /// Bytes of a PDU that has begun and is not whole.
    pub fn partial(&self) -> usize {
        self.held.len()
    }

    /// The next whole PDU; None until more bytes have come. A data digest fault has taken its PDU
    /// off, so that reading can go on; after any other fault it cannot.
    #[allow(clippy::should_implement_trait)]
    pub fn next(&mut self) -> Result<Option<Pdu>, PduError> {
        let Some(first) = self.held.first_chunk::<BHS>() else {
            return Ok(None);
        };
        let header = Header(*first);
        let (ahs, length) = (header.ahs_length(), header.data_length());
        let head = BHS + ahs;
        let sums = (
            if self.digests.header { 4 } else { 0 },
            if self.digests.data && length > 0 {
                4
            } else {
                0
            },
        );
        // The digest is judged before the lengths in it are believed.
        if self.digests.header {
            if self.held.len() < head + 4 {
                return Ok(None);
            }
            if digest(&self.held[..head]) != self.held[head..head + 4] {
                return Err(PduError::HeaderDigest);
            }
        }
        if length > self.max_data {
            return Err(PduError::TooLong {
                length,
                most: self.max_data,
            });
        }
        let body = padded(length);
        if self.held.len() < head + sums.0 + body + sums.1 {
            return Ok(None);
        }
        let mut whole = self.held.split_to(head + sums.0 + body + sums.1);
        whole.advance(BHS);
        let additional = whole.split_to(ahs).freeze();
        whole.advance(sums.0);
        if sums.1 > 0 && digest(&whole[..body]) != whole[body..body + 4] {
            return Err(PduError::DataDigest(header));
        }
        whole.truncate(length);
        Ok(Some(Pdu {
            header,
            ahs: additional,
            data: whole.freeze(),
        }))
    }
}
