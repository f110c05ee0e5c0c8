//! A store as one plain file, and back.
//!
//! A snapshot is written beside its place and moved there once it is whole on the disk, so that at every
//! moment the last whole one is there. Frames with checksums, and a tail that counts them: one that was cut
//! short is seen for what it is. Restoring builds a new store beside the old one, which is moved aside and
//! never deleted, and begins a new era, since hosts may have followed what the snapshot does not know.

use crate::codec::{change_from_proto, change_to_proto, revision_from_proto, revision_to_proto};
use crate::extents::Extents;
use crate::store::{Record, Store, StoreFault, StoredState};
use grebecleat_plans::changes::Version;
use grebecleat_plans::leader::Epoch;
use grebecleat_wire::{frame, pb};
use pb::snapshot::Part;
use prost::Message;
use std::collections::BTreeMap;
use std::fs::File;
use std::io::{self, BufWriter, Write};
use std::path::{Path, PathBuf};
use std::time::Duration;

const FORMAT: u32 = 1;
/// The largest part there is: a volume, or an entry of the trail.
const MAX_PART: usize = 64 << 20;
/// Records of one commit while restoring.
const AT_ONCE: usize = 20_000;

/// What is in a store.
pub type All = (StoredState, BTreeMap<u64, Extents>);

fn disk(path: &Path, e: &io::Error) -> StoreFault {
    StoreFault::Disk {
        what: format!("{}: {e}", path.display()),
    }
}

fn damaged(path: &Path, what: impl std::fmt::Display) -> StoreFault {
    StoreFault::Damaged {
        what: format!("{}: {what}", path.display()),
    }
}

/// Puts parts into frames, and counts and sums them.
struct Writer<W: Write> {
    to: W,
    parts: u64,
    crc: u32,
    bytes: Vec<u8>,
}

impl<W: Write> Writer<W> {
    fn put(&mut self, part: Part) -> io::Result<()> {
        let message = pb::Snapshot { part: Some(part) };
        self.crc = crc32c::crc32c_append(self.crc, &message.encode_to_vec());
        self.parts += 1;
        self.bytes.clear();
        frame::write(&message, &mut self.bytes);
        self.to.write_all(&self.bytes)
    }
}

/// Writes a snapshot; at every moment the file is the old one or the new one. `at`: since 1970.
pub fn write(path: &Path, (persisted, places): &All, at: Duration) -> Result<(), StoreFault> {
    let exclusion_reason = path.with_extension("writing");
    let written = write_file(&exclusion_reason, persisted, places, at);
    let moved = written
        .and_then(|()| std::fs::rename(&exclusion_reason, path))
        .and_then(|()| sync_folder(path));
    moved.map_err(|e| {
        let _ = std::fs::remove_file(&exclusion_reason);
        disk(path, &e)
    })
}

fn sync_folder(path: &Path) -> io::Result<()> {
    let folder = path
        .parent()
        .filter(|p| !p.as_os_str().is_empty())
        .unwrap_or(Path::new("."));
    File::open(folder)?.sync_all()
}

fn write_file(
    path: &Path,
    persisted: &StoredState,
    places: &BTreeMap<u64, Extents>,
    at: Duration,
) -> io::Result<()> {
    let mut w = Writer {
        to: BufWriter::new(File::create(path)?),
        parts: 0,
        crc: 0,
        bytes: Vec::new(),
    };
    w.put(Part::Head(pb::SnapshotHead {
        format: FORMAT,
        version: persisted.version.0,
        stable: persisted.stable.0,
        epoch_forced_at: persisted.epoch_forced_at.0,
        epoch: persisted.epoch.0,
        epochs: persisted
            .epochs
            .iter()
            .map(|(epoch, upto)| (epoch.0, upto.0))
            .collect(),
        hosts: persisted
            .hosts
            .iter()
            .map(|(name, applied)| (name.to_string(), applied.0))
            .collect(),
        ceiling: persisted.ceiling,
        at_us: grebecleat_wire::clock::micros(at),
    }))?;
    persisted
        .state
        .iter()
        .try_for_each(|c| w.put(Part::State(change_to_proto(c))))?;
    persisted
        .audit_log
        .iter()
        .try_for_each(|e| w.put(Part::Revision(revision_to_proto(e))))?;
    for (volume, lies) in places {
        for (first, extents, shard) in lies.iter() {
            w.put(Part::Extents(pb::SnapshotExtents {
                volume: *volume,
                first,
                extents,
                shard,
            }))?;
        }
    }
    let (parts, crc) = (w.parts, w.crc);
    w.put(Part::Tail(pb::SnapshotTail { parts, crc }))?;
    w.to.flush()?;
    w.to.get_ref().sync_all()
}

/// Reads a snapshot whole; of one that is damaged or cut short nothing is taken.
pub fn read(path: &Path) -> Result<All, StoreFault> {
    let mut file = File::open(path).map_err(|e| disk(path, &e))?;
    let mut reader = frame::Reader::new(MAX_PART);
    let (mut persisted, mut places) = (StoredState::default(), BTreeMap::<u64, Extents>::new());
    let (mut parts, mut crc, mut over) = (0, 0, false);
    loop {
        let part = match reader
            .next::<pb::Snapshot>()
            .map_err(|e| damaged(path, format!("after {parts} parts: {e}")))?
        {
            Some(part) => part,
            None => match reader.fill(&mut file).map_err(|e| disk(path, &e))? {
                0 => break,
                _ => continue,
            },
        };
        if over {
            return Err(damaged(path, "it goes on after its end"));
        }
        let bytes = part.encode_to_vec();
        match part.part {
            Some(Part::Head(h)) if parts == 0 => {
                if h.format != FORMAT {
                    return Err(StoreFault::Newer {
                        schema: u64::from(h.format),
                    });
                }
                (persisted.version, persisted.stable) = (Version(h.version), Version(h.stable));
                (
                    persisted.epoch_forced_at,
                    persisted.epoch,
                    persisted.ceiling,
                ) = (Version(h.epoch_forced_at), Epoch(h.epoch), h.ceiling);
                persisted.epochs = h
                    .epochs
                    .into_iter()
                    .map(|(epoch, upto)| (Epoch(epoch), Version(upto)))
                    .collect();
                persisted.epochs.sort_unstable();
                persisted.hosts = h
                    .hosts
                    .into_iter()
                    .map(|(name, applied)| (name.into(), Version(applied)))
                    .collect();
            }
            Some(Part::State(c)) if parts > 0 => persisted
                .state
                .push(change_from_proto(c).map_err(|e| damaged(path, e))?),
            Some(Part::Revision(e)) if parts > 0 => persisted
                .audit_log
                .push(revision_from_proto(e).map_err(|e| damaged(path, e))?),
            Some(Part::Extents(e)) if parts > 0 => {
                let lies = places.entry(e.volume).or_default();
                let end = e
                    .first
                    .checked_add(e.extents)
                    .ok_or_else(|| damaged(path, "extents without end"))?;
                (e.first..end).for_each(|extent| lies.insert(extent, e.shard));
            }
            Some(Part::Tail(t)) if parts > 0 => {
                if (t.parts, t.crc) != (parts, crc) {
                    return Err(damaged(path, "parts are missing"));
                }
                over = true;
            }
            _ => return Err(damaged(path, "it is no snapshot")),
        }
        parts += 1;
        crc = crc32c::crc32c_append(crc, &bytes);
    }
    match over {
        true => Ok((persisted, places)),
        false => Err(damaged(path, "it ends early")),
    }
}

/// Builds a store from a snapshot, in a new era. Where one was it is moved aside; answers to where.
pub fn restore(snapshot: &Path, store: &Path, epoch: Epoch) -> Result<Option<PathBuf>, StoreFault> {
    let (persisted, places) = read(snapshot)?;
    let exclusion_reason = store.with_extension("restoring");
    let _ = std::fs::remove_file(&exclusion_reason);
    fill(&exclusion_reason, &persisted, &places, epoch)?;
    let mut aside = None;
    if store.exists() {
        let n = (1..)
            .find(|n| !store.with_extension(format!("before-{n}")).exists())
            .expect("there are numbers");
        let to = store.with_extension(format!("before-{n}"));
        std::fs::rename(store, &to).map_err(|e| disk(store, &e))?;
        aside = Some(to);
    }
    let moved = std::fs::rename(&exclusion_reason, store).and_then(|()| sync_folder(store));
    moved.map_err(|e| disk(store, &e))?;
    Ok(aside)
}

fn fill(
    path: &Path,
    persisted: &StoredState,
    places: &BTreeMap<u64, Extents>,
    epoch: Epoch,
) -> Result<(), StoreFault> {
    let (mut store, ..) = Store::open(path, u64::MAX)?;
    let (version, state, audit_log) = (
        persisted.version,
        persisted.state.clone(),
        persisted.audit_log.clone(),
    );
    let mut batch = vec![
        Record::Whole {
            version,
            state,
            audit_log,
        },
        Record::Stable(persisted.stable),
        Record::Prevailed(persisted.epoch_forced_at),
        Record::Ceiling(persisted.ceiling),
        Record::Past(persisted.epoch, persisted.version),
        Record::Epoch(epoch),
    ];
    batch.extend(
        persisted
            .epochs
            .iter()
            .map(|(epoch, upto)| Record::Past(*epoch, *upto)),
    );
    // Of hosts that it does not name nobody knows whether they joined since: see `Record::Restored`.
    batch.push(Record::Restored);
    batch.extend(
        persisted
            .hosts
            .iter()
            .map(|(name, applied)| Record::Has(name.clone(), *applied)),
    );
    store.keep(&batch)?;
    let runs = places
        .iter()
        .flat_map(|(volume, lies)| lies.iter().map(move |run| (*volume, run)));
    let each = runs.flat_map(|(volume, (first, n, shard))| {
        (first..first + n).map(move |extent| Record::Place {
            volume,
            extent,
            shard,
        })
    });
    let mut batch = Vec::new();
    for place in each {
        batch.push(place);
        if batch.len() == AT_ONCE {
            store.keep(&std::mem::take(&mut batch))?;
        }
    }
    store.keep(&batch)
}
