//! The basic header segment of PDUs (RFC 7143, section 11.2). No state and no I/O.

use super::{Opcode, BHS};
use std::fmt;

/// The reserved tag value: no initiator task tag or target transfer tag (section 11.2.1.8).
pub const NO_TAG: u32 = 0xffff_ffff;

/// A basic header segment: its 48 bytes, with an accessor for each field. Fields that stand at one
/// place in several PDUs share an accessor. The state machines interpret them per opcode.
#[derive(Clone, Copy, PartialEq, Eq)]
pub struct Header(pub [u8; BHS]);

/// Defines a getter and a builder-style setter for big-endian fields of 32 bits.
macro_rules! words {
    ($($name:ident, $set:ident, $at:literal, $doc:literal;)*) => {
        $(
            #[doc = $doc]
            pub fn $name(&self) -> u32 {
                u32::from_be_bytes([self.0[$at], self.0[$at + 1], self.0[$at + 2], self.0[$at + 3]])
            }

            #[doc = concat!("Sets the field that [`Self::", stringify!($name), "`] returns.")]
            pub fn $set(mut self, value: u32) -> Self {
                self.0[$at..$at + 4].copy_from_slice(&value.to_be_bytes());
                self
            }
        )*
    };
}

impl Header {
    /// Creates a header with this opcode and zeros elsewhere.
    pub fn new(opcode: Opcode) -> Self {
        let mut bytes = [0; BHS];
        bytes[0] = opcode as u8;
        Header(bytes)
    }

    /// Returns the opcode's number, without the I bit.
    pub fn opcode_byte(&self) -> u8 {
        self.0[0] & 0x3f
    }

    /// Returns the opcode; None for an unknown number.
    pub fn opcode(&self) -> Option<Opcode> {
        Opcode::of(self.opcode_byte())
    }

    /// Returns the I bit: immediate delivery.
    pub fn immediate(&self) -> bool {
        self.0[0] & 0x40 != 0
    }

    /// Sets the I bit.
    pub fn set_immediate(mut self, on: bool) -> Self {
        self.0[0] = self.0[0] & !0x40 | if on { 0x40 } else { 0 };
        self
    }

    /// Returns the flags byte. Bit 0x80 is F (final) in every PDU that has an F bit.
    pub fn flags(&self) -> u8 {
        self.0[1]
    }

    /// Sets the flags byte.
    pub fn set_flags(mut self, flags: u8) -> Self {
        self.0[1] = flags;
        self
    }

    /// Returns the F (final) bit.
    pub fn is_final(&self) -> bool {
        self.0[1] & 0x80 != 0
    }

    /// Returns the byte at this offset.
    pub fn byte(&self, at: usize) -> u8 {
        self.0[at]
    }

    /// Sets the byte at this offset.
    pub fn set_byte(mut self, at: usize, value: u8) -> Self {
        self.0[at] = value;
        self
    }

    /// Returns TotalAHSLength, in bytes.
    pub fn ahs_length(&self) -> usize {
        usize::from(self.0[4]) * 4
    }

    /// Returns DataSegmentLength, in bytes, without padding.
    pub fn data_length(&self) -> usize {
        u32::from_be_bytes([0, self.0[5], self.0[6], self.0[7]]) as usize
    }

    /// Returns the logical unit number field.
    pub fn lun(&self) -> u64 {
        u64::from_be_bytes(self.0[8..16].try_into().expect("eight bytes"))
    }

    /// Sets the logical unit number field.
    pub fn set_lun(mut self, lun: u64) -> Self {
        self.0[8..16].copy_from_slice(&lun.to_be_bytes());
        self
    }

    /// Returns the ISID (initiator session ID) of login PDUs (section 11.12.5).
    pub fn isid(&self) -> [u8; 6] {
        self.0[8..14].try_into().expect("six bytes")
    }

    /// Sets the ISID.
    pub fn set_isid(mut self, isid: [u8; 6]) -> Self {
        self.0[8..14].copy_from_slice(&isid);
        self
    }

    /// Returns the TSIH (target session identifying handle) of login PDUs.
    pub fn tsih(&self) -> u16 {
        u16::from_be_bytes([self.0[14], self.0[15]])
    }

    /// Sets the TSIH.
    pub fn set_tsih(mut self, tsih: u16) -> Self {
        self.0[14..16].copy_from_slice(&tsih.to_be_bytes());
        self
    }

    /// Returns the CID (connection ID) of login requests (section 11.12.7).
    pub fn cid(&self) -> u16 {
        u16::from_be_bytes([self.0[20], self.0[21]])
    }

    /// Sets the CID.
    pub fn set_cid(mut self, cid: u16) -> Self {
        self.0[20..22].copy_from_slice(&cid.to_be_bytes());
        self
    }

    /// Returns the command descriptor block (CDB) of a SCSI command (section 11.3.5).
    pub fn cdb(&self) -> [u8; 16] {
        self.0[32..48].try_into().expect("sixteen bytes")
    }

    /// Sets the command descriptor block.
    pub fn set_cdb(mut self, cdb: [u8; 16]) -> Self {
        self.0[32..48].copy_from_slice(&cdb);
        self
    }

    words! {
        itt, set_itt, 16, "Returns the initiator task tag (ITT).";
        ttt, set_ttt, 20, "Returns the target transfer tag (TTT), a command's expected data transfer length, or the referenced task tag.";
        cmd_sn, set_cmd_sn, 24, "Returns CmdSN of requests, StatSN of responses.";
        exp_stat_sn, set_exp_stat_sn, 28, "Returns ExpStatSN of requests, ExpCmdSN of responses.";
        word32, set_word32, 32, "Returns MaxCmdSN of responses, RefCmdSN of a task management request.";
        word36, set_word36, 36, "Returns DataSN of data PDUs, R2TSN of R2T, ExpDataSN of a response.";
        word40, set_word40, 40, "Returns the buffer offset, or the bidirectional residual count.";
        word44, set_word44, 44, "Returns the residual count, or the desired data transfer length.";
    }
}

impl fmt::Debug for Header {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let name = self
            .opcode()
            .map_or(format!("opcode {:#x}", self.opcode_byte()), |opcode| {
                format!("{opcode:?}")
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
