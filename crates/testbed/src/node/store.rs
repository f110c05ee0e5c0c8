//! The data of one node: its extents, the versions of their bytes, and the idempotency keys of the
//! writes that were performed.

use crate::versions::Versions;
use bytes::Bytes;
use grebecleat_wire::pb;
use std::collections::HashMap;
use std::time::Duration;

/// Limit on the bytes of data that one node stores; it rejects a write beyond. A larger limit takes
/// more memory for a long scenario; with a smaller one the scenario's own writes are rejected.
const MAX_BYTES: usize = 64 << 20;
/// Number of idempotency keys beyond which old ones are dropped. A larger number takes more memory;
/// with a smaller one a retry may be performed twice.
const MAX_KEYS: usize = 100_000;
/// Time for which an idempotency key is retained at least.
const KEY_RETENTION: Duration = Duration::from_secs(30);

/// A volume and an extent in it.
type Place = (u64, u64);

/// The result of a write.
#[derive(Debug, Default)]
pub(super) struct WriteResult {
    /// Whether the write changed the data, or would have if the data had not been the same.
    pub(super) performed: bool,
    /// The newest version that kept the write from a part of its bytes.
    pub(super) superseded: Option<u64>,
}

/// The extents of a node.
#[derive(Debug, Default)]
pub(super) struct ExtentStore {
    extents: HashMap<Place, Bytes>,
    /// For writes with a version: the version of each byte of the extent.
    versions: HashMap<Place, Versions>,
    bytes: usize,
    /// The idempotency keys of the writes that were performed, and the times of the writes.
    performed: HashMap<Bytes, Duration>,
}

impl ExtentStore {
    /// Returns whether there is no capacity for additional data.
    pub(super) fn is_full(&self, additional: usize) -> bool {
        self.bytes + additional > MAX_BYTES
    }

    /// Returns the bytes that a read covers; fewer where the extent ends before.
    pub(super) fn read(&self, attempt: &pb::Attempt) -> Bytes {
        let Some(extent) = self.extents.get(&place(attempt)) else {
            return Bytes::new();
        };
        let start = (attempt.offset.unwrap_or(0) as usize).min(extent.len());
        let end = extent.len().min(start + attempt.length as usize);
        extent.slice(start..end)
    }

    /// Performs a write unless its idempotency key is known.
    pub(super) fn write_once(&mut self, attempt: &pb::Attempt, now: Duration) -> WriteResult {
        let mut result = WriteResult::default();
        if !self.performed.contains_key(&attempt.piece) {
            result = self.write(attempt, now);
        }
        if self.performed.len() > MAX_KEYS {
            let oldest = now.saturating_sub(KEY_RETENTION);
            self.performed.retain(|_, at| *at > oldest);
        }
        result
    }

    /// Performs a write on the bytes that no newer version wrote. A write that newer versions kept
    /// from all of its bytes has no effect, and its key is not retained: the same write may come
    /// again with another version.
    fn write(&mut self, attempt: &pb::Attempt, now: Duration) -> WriteResult {
        let place = place(attempt);
        let start = attempt.offset.unwrap_or(0);
        let length = attempt.data.len() as u32;
        let end = start + length;
        let (parts, superseded) = match attempt.version {
            Some(version) => {
                let versions = self.versions.entry(place).or_default();
                versions.write(start, end, version)
            }
            None => (vec![(start, end)], None),
        };
        if parts.is_empty() && length > 0 {
            return WriteResult {
                performed: false,
                superseded,
            };
        }
        self.performed.insert(attempt.piece.clone(), now);
        let old = self.extents.get(&place).cloned().unwrap_or_default();
        let new = match attempt.offset {
            None if superseded.is_none() => attempt.data.clone(),
            _ => parts.iter().fold(old.clone(), |extent, (from, end)| {
                let data = (from - start) as usize..(end - start) as usize;
                patched(&extent, *from as usize, &attempt.data.slice(data))
            }),
        };
        self.bytes = self.bytes + new.len() - old.len();
        self.extents.insert(place, new);
        WriteResult {
            performed: true,
            superseded,
        }
    }
}

fn place(attempt: &pb::Attempt) -> Place {
    (attempt.volume, attempt.extent)
}

/// Returns an extent with a part of it replaced. Bytes between the old end and the part are zero.
fn patched(old: &Bytes, start: usize, data: &Bytes) -> Bytes {
    let end = start + data.len();
    let mut new = old.to_vec();
    new.resize(new.len().max(end), 0);
    new[start..end].copy_from_slice(data);
    new.into()
}
