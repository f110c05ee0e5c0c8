//! Reads a snapshot.

use super::file::{damaged, disk, FORMAT, MAX_PART_BYTES};
use crate::codec::{change_from_proto, revision_from_proto};
use crate::store::{SnapshotDamage, StoreContents, StoreFault, StoredState};
use grebecleat_catalog::leader::Epoch;
use grebecleat_catalog::records::Version;
use grebecleat_wire::{frame, pb};
use pb::snapshot::Part;
use prost::Message;
use std::fs::File;
use std::path::Path;

/// Reads a complete snapshot. Returns a fault, and no contents, if it is damaged or truncated.
pub fn read(path: &Path) -> Result<StoreContents, StoreFault> {
    let mut file = File::open(path).map_err(|error| disk(path, &error))?;
    let mut frames = frame::Reader::new(MAX_PART_BYTES);
    let mut reader = PartReader {
        path,
        contents: StoreContents::default(),
        parts: 0,
        crc: 0,
        complete: false,
    };
    loop {
        let next = frames.next::<pb::Snapshot>();
        let next = next.map_err(|fault| {
            let parts = reader.parts;
            damaged(path, SnapshotDamage::Frame { parts, fault })
        })?;
        match next {
            Some(message) => reader.accept(message)?,
            None => {
                let bytes = frames.fill(&mut file);
                if bytes.map_err(|error| disk(path, &error))? == 0 {
                    break;
                }
            }
        }
    }
    if !reader.complete {
        return Err(damaged(path, SnapshotDamage::Truncated));
    }
    Ok(reader.contents)
}

struct PartReader<'a> {
    path: &'a Path,
    contents: StoreContents,
    /// Number of parts that were read so far.
    parts: u64,
    /// Checksum over the parts that were read so far.
    crc: u32,
    /// Whether the tail was read; no part may follow it.
    complete: bool,
}

impl PartReader<'_> {
    fn accept(&mut self, message: pb::Snapshot) -> Result<(), StoreFault> {
        if self.complete {
            return Err(self.damaged(SnapshotDamage::PartAfterTail));
        }
        let bytes = message.encode_to_vec();
        match message.part {
            Some(Part::Head(head)) if self.parts == 0 => self.accept_head(head)?,
            Some(Part::State(change)) if self.parts > 0 => {
                let change = change_from_proto(change).map_err(|error| self.damaged(error))?;
                self.contents.state.state.push(change);
            }
            Some(Part::Revision(revision)) if self.parts > 0 => {
                let revision =
                    revision_from_proto(revision).map_err(|error| self.damaged(error))?;
                self.contents.state.audit_log.push(revision);
            }
            Some(Part::Extents(run)) if self.parts > 0 => self.accept_extents(&run)?,
            Some(Part::Tail(tail)) if self.parts > 0 => {
                if tail.parts != self.parts || tail.crc != self.crc {
                    return Err(self.damaged(SnapshotDamage::MissingParts));
                }
                self.complete = true;
            }
            _ => return Err(self.damaged(SnapshotDamage::NotASnapshot)),
        }
        self.parts += 1;
        self.crc = crc32c::crc32c_append(self.crc, &bytes);
        Ok(())
    }

    fn accept_head(&mut self, head: pb::SnapshotHead) -> Result<(), StoreFault> {
        if head.format != FORMAT {
            return Err(StoreFault::Newer {
                schema: u64::from(head.format),
            });
        }
        let epochs = head.epochs.into_iter();
        let mut epochs: Vec<(Epoch, Version)> = epochs
            .map(|(epoch, up_to)| (Epoch(epoch), Version(up_to)))
            .collect();
        epochs.sort_unstable();
        let hosts = head.hosts.into_iter();
        self.contents.state = StoredState {
            version: Version(head.version),
            stable: Version(head.stable),
            epoch_forced_at: Version(head.epoch_forced_at),
            epoch: Epoch(head.epoch),
            epochs,
            hosts: hosts
                .map(|(name, applied)| (name.into(), Version(applied)))
                .collect(),
            ceiling: head.ceiling,
            ..StoredState::default()
        };
        Ok(())
    }

    fn accept_extents(&mut self, run: &pb::SnapshotExtents) -> Result<(), StoreFault> {
        let end = run
            .first
            .checked_add(run.extents)
            .ok_or_else(|| self.damaged(SnapshotDamage::ExtentOverflow))?;
        let extents = self.contents.extents.entry(run.volume).or_default();
        for extent in run.first..end {
            extents.insert(extent, run.shard);
        }
        Ok(())
    }

    fn damaged(&self, damage: impl Into<SnapshotDamage>) -> StoreFault {
        damaged(self.path, damage)
    }
}
