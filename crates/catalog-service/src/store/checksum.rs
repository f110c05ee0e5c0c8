//! Checksums of single records and of the file.
//!
//! Every record carries a checksum of its key and value, so that a byte that rots is found with its
//! place. The file carries one sum over all records, so that a record that goes missing, or one
//! that returns from an older page with a checksum that is right in itself, is found as well.

use super::fault::{damaged, StoreResult};

/// Which table a record's contribution to the sum belongs to. The numbers are part of the file
/// format.
#[derive(Debug, Clone, Copy)]
pub(super) enum TableNumber {
    State = 0,
    AuditLog = 1,
    Extents = 2,
    Meta = 3,
    Hosts = 4,
    Epochs = 5,
}

/// A record's bytes: a checksum of its key and value, then the value.
pub(super) fn seal(key: &[u8], value: &[u8]) -> Vec<u8> {
    let mut bytes = record_checksum(key, value).to_le_bytes().to_vec();
    bytes.extend_from_slice(value);
    bytes
}

/// The value of a record's bytes, if its checksum is right. `place` names the record in the fault.
pub(super) fn unseal<'a>(
    key: &[u8],
    bytes: &'a [u8],
    place: &dyn Fn() -> String,
) -> StoreResult<&'a [u8]> {
    let Some((checksum, value)) = bytes.split_first_chunk::<4>() else {
        return Err(damaged(format!("{} is cut short", place())));
    };
    if record_checksum(key, value) != u32::from_le_bytes(*checksum) {
        return Err(damaged(format!("{} has a wrong checksum", place())));
    }
    Ok(value)
}

fn record_checksum(key: &[u8], value: &[u8]) -> u32 {
    crc32c::crc32c_append(crc32c::crc32c(key), value)
}

/// The sum over all records of a file. It does not depend on their order.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct FileChecksum(pub u64);

impl FileChecksum {
    /// Adds a record.
    pub fn add(&mut self, table: TableNumber, key: &[u8], bytes: &[u8]) {
        self.0 = self.0.wrapping_add(contribution(table, key, bytes));
    }

    /// Takes out a record that was added.
    pub fn remove(&mut self, table: TableNumber, key: &[u8], bytes: &[u8]) {
        self.0 = self.0.wrapping_sub(contribution(table, key, bytes));
    }
}

/// One record's contribution to the sum.
fn contribution(table: TableNumber, key: &[u8], bytes: &[u8]) -> u64 {
    // The golden ratio in 64 bits, which spreads the 32 bits of the checksum over all of them.
    const SPREAD: u64 = 0x9e37_79b9_7f4a_7c15;
    let checksum = crc32c::crc32c(&[table as u8]);
    let checksum = crc32c::crc32c_append(checksum, key);
    let checksum = crc32c::crc32c_append(checksum, bytes);
    u64::from(checksum).wrapping_mul(SPREAD) | 1
}
