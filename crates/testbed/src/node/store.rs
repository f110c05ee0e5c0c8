//! The data of one node: its extents, the versions of their bytes, and the idempotency keys of the
//! writes that were performed.

use crate::versions::Versions;
use bytes::Bytes;
use grebecleat_wire::pb;
use std::collections::HashMap;
use std::time::Duration;

/// Limit on the bytes of data that one node stores; it rejects writes that exceed it. A larger limit takes
/// more memory for a long scenario; with a smaller one the scenario's own writes are rejected.
const MAX_BYTES: usize = 64 << 20;
/// Number of idempotency keys beyond which old ones are dropped. A larger number takes more memory;
/// with a smaller one a retry may be performed twice.
const MAX_KEYS: usize = 100_000;
/// Minimum time for which an idempotency key is retained.
const KEY_RETENTION: Duration = Duration::from_secs(30);

/// The ids of a volume and of an extent in it.
type ExtentKey = (u64, u64);

/// The result of a write.
#[derive(Debug, Default)]
pub(super) struct WriteResult {
    /// Whether the write took effect, even if the data was the same before.
    pub(super) performed: bool,
    /// The newest version that excluded the write from some of its bytes; `None` if none did.
    pub(super) superseded: Option<u64>,
}

/// The extents of a node.
#[derive(Debug, Default)]
pub(super) struct ExtentStore {
    extents: HashMap<ExtentKey, Bytes>,
    /// For writes with a version: the version of each byte of the extent.
    versions: HashMap<ExtentKey, Versions>,
    bytes: usize,
    /// The idempotency keys of the writes that were performed, and the times of the writes.
    performed: HashMap<Bytes, Duration>,
}

impl ExtentStore {
    /// Returns whether there is no capacity for additional data.
    pub(super) fn is_full(&self, additional: usize) -> bool {
        self.bytes + additional > MAX_BYTES
    }

    /// Returns the bytes that a read covers; fewer if the extent ends earlier.
    pub(super) fn read(&self, attempt: &pb::Attempt) -> Bytes {
        let Some(extent) = self.extents.get(&extent_key(attempt)) else {
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

    /// Performs a write on the bytes that no newer version wrote. A write of which newer
    /// versions wrote all bytes has no effect, and its key is not retained, since the same write may
    /// arrive again with another version.
    fn write(&mut self, attempt: &pb::Attempt, now: Duration) -> WriteResult {
        let extent_key = extent_key(attempt);
        let start = attempt.offset.unwrap_or(0);
        let length = attempt.data.len() as u32;
        let end = start + length;
        let (parts, superseded) = match attempt.version {
            Some(version) => {
                let versions = self.versions.entry(extent_key).or_default();
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
        let old = self.extents.get(&extent_key).cloned().unwrap_or_default();
        let new = match attempt.offset {
            None if superseded.is_none() => attempt.data.clone(),
            _ => parts.iter().fold(old.clone(), |extent, (from, end)| {
                let data = (from - start) as usize..(end - start) as usize;
                replace_part(&extent, *from as usize, &attempt.data.slice(data))
            }),
        };
        self.bytes = self.bytes + new.len() - old.len();
        self.extents.insert(extent_key, new);
        WriteResult {
            performed: true,
            superseded,
        }
    }
}

fn extent_key(attempt: &pb::Attempt) -> ExtentKey {
    (attempt.volume, attempt.extent)
}

/// Returns an extent with a part of it replaced. Bytes between the old end and the part are zero.
fn replace_part(old: &Bytes, start: usize, data: &Bytes) -> Bytes {
    let end = start + data.len();
    let mut new = old.to_vec();
    new.resize(new.len().max(end), 0);
    new[start..end].copy_from_slice(data);
    new.into()
}
