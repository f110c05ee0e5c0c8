//! The SCSI commands of a disk (SPC-4, SBC-3, SAM-5).
//!
//! [`decode`] decodes a command descriptor block into a [`Command`], or returns the sense data that
//! rejects it. [`Unit::answer`] answers the commands that need no data of the disk (INQUIRY and its
//! pages, capacity, mode pages, ...). The caller performs all other commands. No I/O.

/// Status codes (SAM-5, table 31).
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
pub enum Status {
    Good = 0x00,
    CheckCondition = 0x02,
    Busy = 0x08,
    ReservationConflict = 0x18,
    TaskSetFull = 0x28,
    TaskAborted = 0x40,
}

/// Sense key, additional sense code and qualifier (SPC-4, 4.5.6).
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Sense {
    pub key: u8,
    pub asc: u8,
    pub ascq: u8,
    /// The INFORMATION field: the offset of a miscompare, or the block of a range error.
    pub information: Option<u64>,
}

const fn sense(key: u8, asc: u8, ascq: u8) -> Sense {
    Sense {
        key,
        asc,
        ascq,
        information: None,
    }
}

impl Sense {
    pub const NONE: Sense = sense(0x0, 0x00, 0x00);
    pub const INVALID_OPCODE: Sense = sense(0x5, 0x20, 0x00);
    pub const LBA_OUT_OF_RANGE: Sense = sense(0x5, 0x21, 0x00);
    pub const INVALID_FIELD_IN_CDB: Sense = sense(0x5, 0x24, 0x00);
    pub const LUN_NOT_SUPPORTED: Sense = sense(0x5, 0x25, 0x00);
    pub const PARAMETER_LIST_LENGTH: Sense = sense(0x5, 0x1a, 0x00);
    pub const INVALID_FIELD_IN_PARAMETERS: Sense = sense(0x5, 0x26, 0x00);
    pub const INVALID_RELEASE: Sense = sense(0x5, 0x26, 0x04);
    pub const POWER_ON: Sense = sense(0x6, 0x29, 0x00);
    pub const BUS_DEVICE_RESET: Sense = sense(0x6, 0x29, 0x03);
    pub const I_T_NEXUS_LOSS: Sense = sense(0x6, 0x29, 0x07);
    pub const RESERVATIONS_PREEMPTED: Sense = sense(0x6, 0x2a, 0x03);
    pub const RESERVATIONS_RELEASED: Sense = sense(0x6, 0x2a, 0x04);
    pub const REGISTRATIONS_PREEMPTED: Sense = sense(0x6, 0x2a, 0x05);
    /// COMMANDS CLEARED BY ANOTHER INITIATOR.
    pub const COMMANDS_CLEARED: Sense = sense(0x6, 0x2f, 0x00);
    /// PROTOCOL SERVICE CRC ERROR: data arrived damaged. The initiator may retry the command.
    pub const PROTOCOL_CRC: Sense = sense(0xb, 0x47, 0x05);
    pub const UNEXPECTED_UNSOLICITED_DATA: Sense = sense(0xb, 0x0c, 0x0c);
    pub const NOT_ENOUGH_UNSOLICITED_DATA: Sense = sense(0xb, 0x0c, 0x0d);
    /// ABORTED COMMAND, COMMAND TIMEOUT DURING PROCESSING DUE TO ERROR RECOVERY: the outcome of the
    /// command is unknown.
    pub const OUTCOME_UNKNOWN: Sense = sense(0xb, 0x2e, 0x02);
    pub const WRITE_ERROR: Sense = sense(0x3, 0x0c, 0x00);
    pub const MISCOMPARE: Sense = sense(0xe, 0x1d, 0x00);

    /// Returns this sense data with the INFORMATION field set.
    pub fn at(self, information: u64) -> Sense {
        Sense {
            information: Some(information),
            ..self
        }
    }

    /// Encodes the sense data in fixed format (SPC-4, 4.5.3), 18 bytes.
    pub fn fixed(&self) -> [u8; 18] {
        let mut b = [0; 18];
        (b[0], b[2], b[7], b[12], b[13]) = (0x70, self.key, 10, self.asc, self.ascq);
        if let Some(i) = self.information.and_then(|i| u32::try_from(i).ok()) {
            b[0] |= 0x80;
            b[3..7].copy_from_slice(&i.to_be_bytes());
        }
        b
    }

    /// Encodes the sense data in descriptor format (SPC-4, 4.5.2), with an information descriptor if
    /// the INFORMATION field is set.
    pub fn descriptor(&self) -> Vec<u8> {
        let mut b = vec![0x72, self.key, self.asc, self.ascq, 0, 0, 0, 0];
        if let Some(i) = self.information {
            b.extend([0, 0x0a, 0x80, 0]);
            b.extend(i.to_be_bytes());
            b[7] = 12;
        }
        b
    }
}

/// Returns the status qualifier of BUSY (SAM-5, 5.3.2): the retry delay of this initiator for this
/// logical unit (scope 0), in units of 100 ms, rounded up. 0 gives no delay.
///
/// ```
/// use grebecleat_iscsi::scsi::retry_delay;
/// use std::time::Duration;
/// let ms = Duration::from_millis;
/// assert_eq!([0, 1, 100, 101, 2500].map(|n| retry_delay(ms(n))), [0, 1, 1, 2, 25]);
/// assert_eq!(retry_delay(Duration::from_secs(1 << 20)), 0x3fef);
/// ```
pub fn retry_delay(wait: std::time::Duration) -> u16 {
    wait.as_micros().div_ceil(100_000).min(0x3fef) as u16
}

/// A decoded command. `most` is the ALLOCATION LENGTH, in bytes: the maximum length of the answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Command {
    TestUnitReady,
    RequestSense {
        descriptor: bool,
        most: usize,
    },
    Inquiry {
        page: Option<u8>,
        most: usize,
    },
    ModeSense {
        ten: bool,
        page: u8,
        subpage: u8,
        disable_block_descriptors: bool,
        most: usize,
    },
    StartStop,
    ReadCapacity10,
    ReadCapacity16 {
        most: usize,
    },
    ReportLuns {
        select: u8,
        most: usize,
    },
    Read {
        lba: u64,
        blocks: u64,
        fua: bool,
    },
    Write {
        lba: u64,
        blocks: u64,
        fua: bool,
    },
    /// If `bytes` is set (BYTCHK), the initiator sends data to compare.
    Verify {
        lba: u64,
        blocks: u64,
        bytes: bool,
    },
    /// If `blocks` is 0, the range extends to the end of the disk.
    SynchronizeCache {
        lba: u64,
        blocks: u64,
        immediate: bool,
    },
    /// The initiator sends twice `blocks`: the data to compare, then the data to write.
    CompareAndWrite {
        lba: u64,
        blocks: u64,
    },
    /// If `blocks` is 0, the range extends to the end of the disk. Without `data`, zeros are written.
    WriteSame {
        lba: u64,
        blocks: u64,
        unmap: bool,
        data: bool,
    },
    Unmap {
        length: usize,
    },
    ReserveIn {
        action: u8,
        most: usize,
    },
    ReserveOut {
        action: u8,
        scope: u8,
        kind: u8,
        length: usize,
    },
    ReportOpcodes {
        requested_opcode: Option<u8>,
        most: usize,
    },
}

/// The supported operation codes with the lengths of their command descriptor blocks, in bytes, as
/// REPORT SUPPORTED OPERATION CODES lists them.
pub const OPCODES: &[(u8, u8)] = &[
    (0x00, 6),
    (0x03, 6),
    (0x08, 6),
    (0x0a, 6),
    (0x12, 6),
    (0x1a, 6),
    (0x1b, 6),
    (0x25, 10),
    (0x28, 10),
    (0x2a, 10),
    (0x2f, 10),
    (0x35, 10),
    (0x41, 10),
    (0x42, 10),
    (0x5a, 10),
    (0x5e, 10),
    (0x5f, 10),
    (0x88, 16),
    (0x89, 16),
    (0x8a, 16),
    (0x8f, 16),
    (0x91, 16),
    (0x93, 16),
    (0x9e, 16),
    (0xa0, 12),
    (0xa3, 12),
    (0xa8, 12),
    (0xaa, 12),
];

/// Decodes a big-endian number.
fn big_endian(bytes: &[u8]) -> u64 {
    bytes.iter().fold(0, |n, b| n << 8 | u64::from(*b))
}

/// Decodes a command descriptor block.
///
/// ```
/// use grebecleat_iscsi::scsi::{decode, Command, Sense};
/// let cdb = |bytes: &[u8]| { let mut c = [0; 16]; c[..bytes.len()].copy_from_slice(bytes); c };
/// let read = decode(&cdb(&[0x28, 0x08, 0, 0, 1, 0, 0, 0, 8, 0]));
/// assert_eq!(read, Ok(Command::Read { lba: 256, blocks: 8, fua: true }));
/// let last = Command::Read { lba: 0x1f_ffff, blocks: 256, fua: false };
/// assert_eq!(decode(&cdb(&[0x08, 0x1f, 0xff, 0xff, 0])), Ok(last));
/// assert_eq!(decode(&cdb(&[0xff])), Err(Sense::INVALID_OPCODE));
/// ```
pub fn decode(cdb: &[u8; 16]) -> Result<Command, Sense> {
    let (length10, length16) = (big_endian(&cdb[7..9]) as usize, big_endian(&cdb[10..14]));
    let to_usize = |n: u64| n as usize;
    // Protection information is not supported: RDPROTECT, WRPROTECT and VRPROTECT must be 0.
    let check_no_protection = || {
        if cdb[1] & 0xe0 == 0 {
            Ok(())
        } else {
            Err(Sense::INVALID_FIELD_IN_CDB)
        }
    };
    let fua = cdb[1] & 0x08 != 0;
    let range6 = |blocks: u64| {
        (
            big_endian(&[cdb[1] & 0x1f, cdb[2], cdb[3]]),
            if blocks == 0 { 256 } else { blocks },
        )
    };
    // The group code of the operation code determines the length of the command descriptor block and
    // the offsets of the block address and the length.
    let range = || match cdb[0] >> 5 {
        4 => (big_endian(&cdb[2..10]), length16),
        5 => (big_endian(&cdb[2..6]), big_endian(&cdb[6..10])),
        _ => (big_endian(&cdb[2..6]), big_endian(&cdb[7..9])),
    };
    let command = match cdb[0] {
        0x00 => Command::TestUnitReady,
        0x03 => Command::RequestSense {
            descriptor: cdb[1] & 1 != 0,
            most: usize::from(cdb[4]),
        },
        0x08 => {
            let (lba, blocks) = range6(u64::from(cdb[4]));
            Command::Read {
                lba,
                blocks,
                fua: false,
            }
        }
        0x0a => {
            let (lba, blocks) = range6(u64::from(cdb[4]));
            Command::Write {
                lba,
                blocks,
                fua: false,
            }
        }
        0x12 => {
            let page = (cdb[1] & 1 != 0).then_some(cdb[2]);
            if page.is_none() && cdb[2] != 0 {
                return Err(Sense::INVALID_FIELD_IN_CDB);
            }
            Command::Inquiry {
                page,
                most: big_endian(&cdb[3..5]) as usize,
            }
        }
        0x1a | 0x5a => Command::ModeSense {
            ten: cdb[0] == 0x5a,
            page: cdb[2] & 0x3f,
            subpage: cdb[3],
            disable_block_descriptors: cdb[1] & 0x08 != 0,
            most: if cdb[0] == 0x5a {
                length10
            } else {
                usize::from(cdb[4])
            },
        },
        0x1b => Command::StartStop,
        0x25 => Command::ReadCapacity10,
        0x28 | 0xa8 | 0x88 => {
            check_no_protection()?;
            let (lba, blocks) = range();
            Command::Read { lba, blocks, fua }
        }
        0x2a | 0xaa | 0x8a => {
            check_no_protection()?;
            let (lba, blocks) = range();
            Command::Write { lba, blocks, fua }
        }
        0x2f | 0x8f => {
            check_no_protection()?;
            let (lba, blocks) = range();
            let bytes = match (cdb[1] >> 1) & 3 {
                0 => false,
                1 => true,
                _ => return Err(Sense::INVALID_FIELD_IN_CDB),
            };
            Command::Verify { lba, blocks, bytes }
        }
        0x35 | 0x91 => {
            let (lba, blocks) = range();
            Command::SynchronizeCache {
                lba,
                blocks,
                immediate: cdb[1] & 2 != 0,
            }
        }
        0x41 | 0x93 => {
            check_no_protection()?;
            // ANCHOR and the obsolete LBDATA and PBDATA are not supported.
            if cdb[1] & 0x16 != 0 {
                return Err(Sense::INVALID_FIELD_IN_CDB);
            }
            let (lba, blocks) = range();
            let data = cdb[0] == 0x41 || cdb[1] & 1 == 0;
            Command::WriteSame {
                lba,
                blocks,
                unmap: cdb[1] & 8 != 0,
                data,
            }
        }
        0x42 => Command::Unmap { length: length10 },
        0x5e => Command::ReserveIn {
            action: cdb[1] & 0x1f,
            most: length10,
        },
        0x5f => Command::ReserveOut {
            action: cdb[1] & 0x1f,
            scope: cdb[2] >> 4,
            kind: cdb[2] & 0xf,
            length: big_endian(&cdb[5..9]) as usize,
        },
        0x89 => {
            check_no_protection()?;
            Command::CompareAndWrite {
                lba: big_endian(&cdb[2..10]),
                blocks: u64::from(cdb[13]),
            }
        }
        0x9e if cdb[1] & 0x1f == 0x10 => Command::ReadCapacity16 {
            most: to_usize(length16),
        },
        0xa0 => Command::ReportLuns {
            select: cdb[2],
            most: big_endian(&cdb[6..10]) as usize,
        },
        0xa3 if cdb[1] & 0x1f == 0x0c => {
            let requested_opcode = match cdb[2] & 7 {
                0 => None,
                1 => Some(cdb[3]),
                _ => return Err(Sense::INVALID_FIELD_IN_CDB),
            };
            Command::ReportOpcodes {
                requested_opcode,
                most: big_endian(&cdb[6..10]) as usize,
            }
        }
        0x9e | 0xa3 => return Err(Sense::INVALID_FIELD_IN_CDB),
        _ => return Err(Sense::INVALID_OPCODE),
    };
    Ok(command)
}

/// A logical unit: a disk as its initiators see it.
#[derive(Debug, Clone)]
pub struct Unit {
    /// The capacity, in blocks.
    pub blocks: u64,
    /// The block size, in bytes.
    pub block_size: u32,
    /// A locally assigned identifier. Its low 60 bits form an NAA 3 designator.
    pub id: u64,
    /// The unit serial number.
    pub serial: String,
    /// The maximum number of blocks in one command, as the block limits page reports it.
    pub max_blocks: u32,
    pub read_only: bool,
}

const VENDOR: &[u8; 8] = b"GREBECLT";
const PRODUCT: &[u8; 16] = b"VOLUME          ";
const REVISION: &[u8; 4] = b"0002";
/// The maximum number of blocks in one COMPARE AND WRITE.
pub const MAX_COMPARE_AND_WRITE_BLOCKS: u8 = 64;
/// The supported vital product data pages.
const VPD_PAGES: [u8; 6] = [0x00, 0x80, 0x83, 0xb0, 0xb1, 0xb2];

impl Unit {
    /// Checks that a range lies within the disk (SBC-3, 4.5). An empty range may start at the end.
    pub fn within(&self, lba: u64, blocks: u64) -> Result<(), Sense> {
        match lba.checked_add(blocks) {
            Some(end) if end <= self.blocks => Ok(()),
            _ => Err(Sense::LBA_OUT_OF_RANGE.at(lba)),
        }
    }

    /// Answers a command that needs no data of the disk; None for any other command. `luns` lists the
    /// logical units of the target for REPORT LUNS. `pending` is the sense data for REQUEST SENSE.
    pub fn answer(
        &self,
        command: &Command,
        luns: &[u64],
        pending: Sense,
    ) -> Option<Result<Vec<u8>, Sense>> {
        let (mut data, most) = match command {
            Command::TestUnitReady | Command::StartStop => (Vec::new(), 0),
            Command::RequestSense {
                descriptor: true,
                most,
            } => (pending.descriptor(), *most),
            Command::RequestSense { most, .. } => (pending.fixed().to_vec(), *most),
            Command::Inquiry { page: None, most } => (self.inquiry(), *most),
            Command::Inquiry {
                page: Some(page),
                most,
            } => match self.vital_product_data(*page) {
                Ok(data) => (data, *most),
                Err(sense) => return Some(Err(sense)),
            },
            Command::ModeSense {
                ten,
                page,
                subpage,
                disable_block_descriptors,
                most,
            } => match self.mode_sense(*ten, *page, *subpage, *disable_block_descriptors) {
                Ok(data) => (data, *most),
                Err(sense) => return Some(Err(sense)),
            },
            Command::ReadCapacity10 => {
                let last = u32::try_from(self.blocks - 1).unwrap_or(u32::MAX);
                (
                    [last.to_be_bytes(), self.block_size.to_be_bytes()].concat(),
                    8,
                )
            }
            Command::ReadCapacity16 { most } => {
                let mut data = vec![0; 32];
                data[..8].copy_from_slice(&(self.blocks - 1).to_be_bytes());
                data[8..12].copy_from_slice(&self.block_size.to_be_bytes());
                data[14] = 0xc0; // LBPME, LBPRZ: unmapped blocks read as zeros
                (data, *most)
            }
            Command::ReportLuns { select, .. } if *select > 2 => {
                return Some(Err(Sense::INVALID_FIELD_IN_CDB))
            }
            Command::ReportLuns { select, most } => {
                // SELECT REPORT 1 asks for well-known logical units only; there are none.
                let luns = if *select == 1 { &[] } else { luns };
                let mut data = (8 * luns.len() as u32).to_be_bytes().to_vec();
                data.extend([0; 4]);
                luns.iter().for_each(|l| data.extend(l.to_be_bytes()));
                (data, *most)
            }
            Command::ReportOpcodes {
                requested_opcode,
                most,
            } => (supported_opcodes(*requested_opcode), *most),
            _ => return None,
        };
        data.truncate(most);
        Some(Ok(data))
    }

    /// Returns the standard INQUIRY data.
    fn inquiry(&self) -> Vec<u8> {
        let mut b = vec![0; 96];
        // A direct access block device, SPC-4, response data format 2, with command queuing.
        (b[2], b[3], b[4], b[7]) = (0x06, 0x12, 91, 0x02);
        b[8..16].copy_from_slice(VENDOR);
        b[16..32].copy_from_slice(PRODUCT);
        b[32..36].copy_from_slice(REVISION);
        // Version descriptors: SAM-5, iSCSI, SPC-4, SBC-3.
        for (i, v) in [0x00a0u16, 0x0960, 0x0460, 0x04c0].into_iter().enumerate() {
            b[58 + 2 * i..60 + 2 * i].copy_from_slice(&v.to_be_bytes());
        }
        b
    }

    /// Returns a vital product data page.
    fn vital_product_data(&self, page: u8) -> Result<Vec<u8>, Sense> {
        let body = match page {
            0x00 => VPD_PAGES.to_vec(),
            0x80 => self.serial.as_bytes().to_vec(),
            0x83 => {
                let naa = 0x3000_0000_0000_0000 | self.id & 0x0fff_ffff_ffff_ffff;
                let t10 = [&VENDOR[..], self.serial.as_bytes()].concat();
                let mut b = vec![0x01, 0x03, 0, 8];
                b.extend(naa.to_be_bytes());
                b.extend([0x02, 0x01, 0, t10.len() as u8]);
                b.extend(t10);
                b
            }
            0xb0 => {
                let mut b = vec![0; 60];
                b[1] = MAX_COMPARE_AND_WRITE_BLOCKS;
                b[4..8].copy_from_slice(&self.max_blocks.to_be_bytes());
                b[8..12].copy_from_slice(&self.max_blocks.to_be_bytes());
                b[16..20].copy_from_slice(&self.max_blocks.to_be_bytes()); // maximum blocks of UNMAP
                b[20..24].copy_from_slice(&1u32.to_be_bytes()); // maximum block descriptors of UNMAP
                b[32..40].copy_from_slice(&u64::from(self.max_blocks).to_be_bytes()); // maximum blocks of WRITE SAME
                b
            }
            0xb1 => {
                let mut b = vec![0; 60];
                b[1] = 1; // a non-rotating medium
                b
            }
            // LBPU, LBPWS, LBPWS10 and LBPRZ: UNMAP and WRITE SAME (10 and 16) unmap blocks, which then
            // read as zeros. The unit is thin provisioned.
            0xb2 => vec![0, 0xe4, 0x02, 0],
            _ => return Err(Sense::INVALID_FIELD_IN_CDB),
        };
        let mut b = vec![0, page];
        b.extend((body.len() as u16).to_be_bytes());
        b.extend(body);
        Ok(b)
    }

    /// Returns the answer to MODE SENSE.
    fn mode_sense(
        &self,
        ten: bool,
        page: u8,
        subpage: u8,
        disable_block_descriptors: bool,
    ) -> Result<Vec<u8>, Sense> {
        let caching = || {
            let mut b = vec![0x08, 0x12];
            b.resize(20, 0);
            b // WCE 0: a write that ends with GOOD is on stable storage
        };
        let control = || {
            let mut b = vec![0x0a, 0x0a, 0x02, 0x10]; // GLTSD, unrestricted reordering
            b.resize(12, 0);
            b
        };
        let pages = match (page, subpage) {
            (0x08, 0) => caching(),
            (0x0a, 0) => control(),
            (0x3f, 0 | 0xff) => [caching(), control()].concat(),
            _ => return Err(Sense::INVALID_FIELD_IN_CDB),
        };
        let mut block = Vec::new();
        if !disable_block_descriptors {
            block.extend(u32::try_from(self.blocks).unwrap_or(u32::MAX).to_be_bytes());
            block.extend(self.block_size.to_be_bytes());
        }
        let device_specific = if self.read_only { 0x80 } else { 0 } | 0x10; // WP, DPOFUA
        let head = match ten {
            false => vec![
                (3 + block.len() + pages.len()) as u8,
                0,
                device_specific,
                block.len() as u8,
            ],
            true => {
                let length = (6 + block.len() + pages.len()) as u16;
                let mut b = length.to_be_bytes().to_vec();
                b.extend([0, device_specific, 0, 0]);
                b.extend((block.len() as u16).to_be_bytes());
                b
            }
        };
        Ok([head, block, pages].concat())
    }
}

/// Returns the answer to REPORT SUPPORTED OPERATION CODES.
fn supported_opcodes(requested_opcode: Option<u8>) -> Vec<u8> {
    match requested_opcode {
        None => {
            let mut b = (8 * OPCODES.len() as u32).to_be_bytes().to_vec();
            for (code, length) in OPCODES {
                b.extend([*code, 0, 0, 0, 0, 0, 0, *length]);
            }
            b
        }
        Some(code) => match OPCODES.iter().find(|o| o.0 == code) {
            None => vec![0, 1, 0, 0],
            Some((_, length)) => {
                let mut b = vec![0, 3, 0, *length, code];
                b.resize(4 + usize::from(*length), 0xff);
                b
            }
        },
    }
}

/// Returns the ranges in the parameter list of UNMAP (SBC-3, 5.29), each as first block and number of
/// blocks.
///
/// ```
/// use grebecleat_iscsi::scsi::{unmap_ranges, Sense};
/// let mut list = vec![0, 22, 0, 16, 0, 0, 0, 0];
/// list.extend(5u64.to_be_bytes());
/// list.extend([0, 0, 0, 3, 0, 0, 0, 0]);
/// assert_eq!(unmap_ranges(&list), Ok(vec![(5, 3)]));
/// assert_eq!(unmap_ranges(&list[..10]), Err(Sense::PARAMETER_LIST_LENGTH));
/// assert_eq!(unmap_ranges(&[]), Ok(vec![]));
/// ```
pub fn unmap_ranges(list: &[u8]) -> Result<Vec<(u64, u64)>, Sense> {
    if list.is_empty() {
        return Ok(Vec::new());
    }
    let length = list
        .get(2..4)
        .map(|b| big_endian(b) as usize)
        .ok_or(Sense::PARAMETER_LIST_LENGTH)?;
    let descriptors = list
        .get(8..8 + length)
        .ok_or(Sense::PARAMETER_LIST_LENGTH)?;
    Ok(descriptors
        .chunks_exact(16)
        .map(|d| (big_endian(&d[..8]), big_endian(&d[8..12])))
        .collect())
}
