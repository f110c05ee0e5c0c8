//! Writes a snapshot.

use super::file::{disk, sync_parent_directory, FORMAT};
use crate::codec::{change_to_proto, revision_to_proto};
use crate::store::{StoreContents, StoreFault, StoredState};
use grebecleat_wire::{clock, frame, pb};
use pb::snapshot::Part;
use prost::Message;
use std::fs::File;
use std::io::{self, BufWriter, Write};
use std::path::Path;
use std::time::Duration;

/// Writes a snapshot. At every moment the file is either the old snapshot or the new one.
///
/// `at`: the time since 1970 at which the contents were read. Returns [`StoreFault::Disk`] if the
/// file cannot be written.
pub fn write(path: &Path, contents: &StoreContents, at: Duration) -> Result<(), StoreFault> {
    let temporary = path.with_extension("writing");
    let moved = write_file(&temporary, contents, at)
        .and_then(|()| std::fs::rename(&temporary, path))
        .and_then(|()| sync_parent_directory(path));
    moved.map_err(|error| {
        let _ = std::fs::remove_file(&temporary);
        disk(path, &error)
    })
}

fn write_file(path: &Path, contents: &StoreContents, at: Duration) -> io::Result<()> {
    let mut writer = PartWriter {
        to: BufWriter::new(File::create(path)?),
        parts: 0,
        crc: 0,
        bytes: Vec::new(),
    };
    writer.put(Part::Head(head(&contents.state, at)))?;
    for change in &contents.state.state {
        writer.put(Part::State(change_to_proto(change)))?;
    }
    for revision in &contents.state.audit_log {
        writer.put(Part::Revision(revision_to_proto(revision)))?;
    }
    for (volume, extents) in &contents.extents {
        for run in extents.iter() {
            writer.put(Part::Extents(pb::SnapshotExtents {
                volume: *volume,
                first: run.first,
                extents: run.length,
                shard: run.shard,
            }))?;
        }
    }
    let tail = pb::SnapshotTail {
        parts: writer.parts,
        crc: writer.crc,
    };
    writer.put(Part::Tail(tail))?;
    writer.to.flush()?;
    writer.to.get_ref().sync_all()
}

fn head(state: &StoredState, at: Duration) -> pb::SnapshotHead {
    let epochs = state.epochs.iter();
    let hosts = state.hosts.iter();
    pb::SnapshotHead {
        format: FORMAT,
        version: state.version.0,
        stable: state.stable.0,
        epoch_forced_at: state.epoch_forced_at.0,
        epoch: state.epoch.0,
        epochs: epochs.map(|(epoch, up_to)| (epoch.0, up_to.0)).collect(),
        hosts: hosts
            .map(|(name, applied)| (name.to_string(), applied.0))
            .collect(),
        ceiling: state.ceiling,
        at_us: clock::micros(at),
    }
}

/// Writes parts as frames, and counts and checksums them.
struct PartWriter<W: Write> {
    to: W,
    parts: u64,
    crc: u32,
    /// The frame of one part. Each part reuses the allocation.
    bytes: Vec<u8>,
}

impl<W: Write> PartWriter<W> {
    fn put(&mut self, part: Part) -> io::Result<()> {
        let message = pb::Snapshot { part: Some(part) };
        self.crc = crc32c::crc32c_append(self.crc, &message.encode_to_vec());
        self.parts += 1;
        self.bytes.clear();
        frame::write(&message, &mut self.bytes);
        self.to.write_all(&self.bytes)
    }
}
