//! The record of one chunk of extents, as runs of extents on one shard.
//!
//! Layout: each run has six bytes. These are its first extent within the chunk, its length, and its
//! shard in little-endian order.

use super::damage::{Damage, RecordPlace};
use super::fault::{damaged, StoreFault, StoreResult};
use crate::extents::Extents;

/// Number of extents that one record covers. A placement rewrites one record, so a larger chunk writes
/// more bytes for each placement; a smaller one needs more records (about 160,000 for ten million
/// extents at the current size). The number is part of the file format.
pub(super) const EXTENTS_PER_CHUNK: u64 = 64;
/// Encoded size of one run.
const RUN_BYTES: usize = 6;

/// Consecutive extents of a chunk on one shard.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct ChunkRun {
    /// First extent, relative to the chunk's first; below [`EXTENTS_PER_CHUNK`].
    start: u8,
    /// Number of extents; at least one.
    length: u8,
    shard: u32,
}

impl ChunkRun {
    /// Places the run's extents on their shard. `first`: the first extent of the run's chunk.
    pub fn insert_into(&self, extents: &mut Extents, first: u64) {
        for offset in 0..u64::from(self.length) {
            extents.insert(first + u64::from(self.start) + offset, self.shard);
        }
    }
}

/// Returns the key of a chunk's record, as the record's checksum covers it.
pub(super) fn chunk_key(volume: u64, chunk: u64) -> Vec<u8> {
    [volume.to_be_bytes(), chunk.to_be_bytes()].concat()
}

/// Returns the place of a chunk's record, for faults.
pub(super) fn chunk_place(volume: u64, chunk: u64) -> RecordPlace {
    RecordPlace::Extents {
        volume,
        first: chunk.saturating_mul(EXTENTS_PER_CHUNK),
    }
}

/// Returns the fault of a chunk's record with a valid checksum and invalid runs.
pub(super) fn invalid(place: RecordPlace) -> StoreFault {
    damaged(Damage::Invalid { place })
}

/// Decodes the runs of a record's value.
pub(super) fn decode_runs(value: &[u8], place: RecordPlace) -> StoreResult<Vec<ChunkRun>> {
    let mut runs = Vec::with_capacity(value.len() / RUN_BYTES);
    for bytes in value.chunks(RUN_BYTES) {
        let run = decode_run(bytes).ok_or_else(|| invalid(place))?;
        runs.push(run);
    }
    Ok(runs)
}

fn decode_run(bytes: &[u8]) -> Option<ChunkRun> {
    let [start, length, shard @ ..] = bytes else {
        return None;
    };
    let run = ChunkRun {
        start: *start,
        length: *length,
        shard: u32::from_le_bytes(shard.try_into().ok()?),
    };
    let end = u64::from(run.start) + u64::from(run.length);
    (end <= EXTENTS_PER_CHUNK && run.length > 0).then_some(run)
}

/// Encodes the value of a chunk's record. `extents`: the chunk's extents, numbered from its first.
pub(super) fn encode_runs(extents: &Extents) -> Vec<u8> {
    let mut bytes = Vec::new();
    for run in extents.iter() {
        bytes.extend_from_slice(&[run.first as u8, run.length as u8]);
        bytes.extend_from_slice(&run.shard.to_le_bytes());
    }
    bytes
}
