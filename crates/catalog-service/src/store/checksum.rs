//! Checksums of single records and of the file.
//!
//! Every record carries a checksum of its key and value, which detects a corrupted byte and
//! identifies the record. The file carries one checksum over all records, which detects a missing
//! record, and a stale record of an older page, whose own checksum is valid.

use super::damage::{Damage, RecordPlace};
use super::fault::{damaged, StoreResult};

/// The table of a record, as the record's contribution to the file's checksum covers it. The numbers
/// are part of the file format.
#[derive(Debug, Clone, Copy)]
pub(super) enum TableId {
    State = 0,
    AuditLog = 1,
    Extents = 2,
    Meta = 3,
    Hosts = 4,
    Epochs = 5,
}

/// Returns a record's stored bytes: a checksum of its key and value, then the value.
pub(super) fn seal(key: &[u8], value: &[u8]) -> Vec<u8> {
    let mut bytes = record_checksum(key, value).to_le_bytes().to_vec();
    bytes.extend_from_slice(value);
    bytes
}

/// Checks a record's stored bytes, and returns its value. `place`: identifies the record in the
/// fault.
///
/// Returns [`super::StoreFault::Damaged`] if the record is too short or its checksum is wrong.
pub(super) fn unseal<'a>(key: &[u8], bytes: &'a [u8], place: RecordPlace) -> StoreResult<&'a [u8]> {
    let Some((checksum, value)) = bytes.split_first_chunk::<4>() else {
        return Err(damaged(Damage::Truncated { place }));
    };
    if record_checksum(key, value) != u32::from_le_bytes(*checksum) {
        return Err(damaged(Damage::WrongChecksum { place }));
    }
    Ok(value)
}

fn record_checksum(key: &[u8], value: &[u8]) -> u32 {
    crc32c::crc32c_append(crc32c::crc32c(key), value)
}

/// The checksum over all records of a file: a sum, which does not depend on their order.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct FileChecksum(pub u64);

impl FileChecksum {
    /// Adds a record.
    pub fn add(&mut self, table: TableId, key: &[u8], bytes: &[u8]) {
        self.0 = self.0.wrapping_add(contribution(table, key, bytes));
    }

    /// Removes a record that was added.
    pub fn remove(&mut self, table: TableId, key: &[u8], bytes: &[u8]) {
        self.0 = self.0.wrapping_sub(contribution(table, key, bytes));
    }
}

/// Returns one record's contribution to the file's checksum.
fn contribution(table: TableId, key: &[u8], bytes: &[u8]) -> u64 {
    // The golden ratio in 64 bits: the product spreads the checksum's 32 bits over all 64.
    const MIX_FACTOR: u64 = 0x9e37_79b9_7f4a_7c15;
    let checksum = crc32c::crc32c(&[table as u8]);
    let checksum = crc32c::crc32c_append(checksum, key);
    let checksum = crc32c::crc32c_append(checksum, bytes);
    u64::from(checksum).wrapping_mul(MIX_FACTOR) | 1
}
