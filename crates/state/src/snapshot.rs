//! A store as one plain file, and back.
//!
//! A snapshot is written beside its place and moved there once it is whole on the disk, so that at every
//! moment the last whole one is there. Frames with checksums, and a tail that counts them: one that was cut
//! short is seen for what it is. Restoring builds a new store beside the old one, which is moved aside and
//! never deleted, and begins a new era, since hosts may have followed what the snapshot does not know.

use crate::codec::{change_of, change_pb, entry_of, entry_pb};
use crate::extents::Extents;
use crate::store::{Keep, Kept, Store, StoreFault};
use grebecleat_plans::changes::Version;
use grebecleat_plans::source::Era;
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
pub type All = (Kept, BTreeMap<u64, Extents>);

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
pub fn write(path: &Path, (kept, places): &All, at: Duration) -> Result<(), StoreFault> {
    let beside = path.with_extension("writing");
    let written = write_file(&beside, kept, places, at);
    let moved = written
        .and_then(|()| std::fs::rename(&beside, path))
        .and_then(|()| sync_folder(path));
    moved.map_err(|e| {
        let _ = std::fs::remove_file(&beside);
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
    kept: &Kept,
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
        version: kept.version.0,
        settled: kept.settled.0,
        prevailed: kept.prevailed.0,
        era: kept.era.0,
        eras: kept
            .eras
            .iter()
            .map(|(era, upto)| (era.0, upto.0))
            .collect(),
        hosts: kept
            .hosts
            .iter()
            .map(|(name, has)| (name.to_string(), has.0))
            .collect(),
        ceiling: kept.ceiling,
        at_us: grebecleat_wire::clock::micros(at),
    }))?;
    kept.state
        .iter()
        .try_for_each(|c| w.put(Part::State(change_pb(c))))?;
    kept.trail
        .iter()
        .try_for_each(|e| w.put(Part::Entry(entry_pb(e))))?;
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
    let (mut kept, mut places) = (Kept::default(), BTreeMap::<u64, Extents>::new());
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
                (kept.version, kept.settled) = (Version(h.version), Version(h.settled));
                (kept.prevailed, kept.era, kept.ceiling) =
                    (Version(h.prevailed), Era(h.era), h.ceiling);
                kept.eras = h
                    .eras
                    .into_iter()
                    .map(|(era, upto)| (Era(era), Version(upto)))
                    .collect();
                kept.eras.sort_unstable();
                kept.hosts = h
                    .hosts
                    .into_iter()
                    .map(|(name, has)| (name.into(), Version(has)))
                    .collect();
            }
            Some(Part::State(c)) if parts > 0 => {
                kept.state.push(change_of(c).map_err(|e| damaged(path, e))?)
            }
            Some(Part::Entry(e)) if parts > 0 => {
                kept.trail.push(entry_of(e).map_err(|e| damaged(path, e))?)
            }
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
        true => Ok((kept, places)),
        false => Err(damaged(path, "it ends early")),
    }
}

/// Builds a store from a snapshot, in a new era. Where one was it is moved aside; answers to where.
pub fn restore(snapshot: &Path, store: &Path, era: Era) -> Result<Option<PathBuf>, StoreFault> {
    let (kept, places) = read(snapshot)?;
    let beside = store.with_extension("restoring");
    let _ = std::fs::remove_file(&beside);
    fill(&beside, &kept, &places, era)?;
    let mut aside = None;
    if store.exists() {
        let n = (1..)
            .find(|n| !store.with_extension(format!("before-{n}")).exists())
            .expect("there are numbers");
        let to = store.with_extension(format!("before-{n}"));
        std::fs::rename(store, &to).map_err(|e| disk(store, &e))?;
        aside = Some(to);
    }
    let moved = std::fs::rename(&beside, store).and_then(|()| sync_folder(store));
    moved.map_err(|e| disk(store, &e))?;
    Ok(aside)
}

fn fill(
    path: &Path,
    kept: &Kept,
    places: &BTreeMap<u64, Extents>,
    era: Era,
) -> Result<(), StoreFault> {
    let (mut store, ..) = Store::open(path, u64::MAX)?;
    let (version, state, trail) = (kept.version, kept.state.clone(), kept.trail.clone());
    let mut batch = vec![
        Keep::Whole {
            version,
            state,
            trail,
        },
        Keep::Settled(kept.settled),
        Keep::Prevailed(kept.prevailed),
        Keep::Ceiling(kept.ceiling),
        Keep::Past(kept.era, kept.version),
        Keep::Era(era),
    ];
    batch.extend(kept.eras.iter().map(|(era, upto)| Keep::Past(*era, *upto)));
    // Of hosts that it does not name nobody knows whether they joined since: see `Keep::Restored`.
    batch.push(Keep::Restored);
    batch.extend(
        kept.hosts
            .iter()
            .map(|(name, has)| Keep::Has(name.clone(), *has)),
    );
    store.keep(&batch)?;
    let runs = places
        .iter()
        .flat_map(|(volume, lies)| lies.iter().map(move |run| (*volume, run)));
    let each = runs.flat_map(|(volume, (first, n, shard))| {
        (first..first + n).map(move |extent| Keep::Place {
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
