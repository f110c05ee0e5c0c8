//! Plans, their trail and where extents lie, in one file that survives crashes.
//!
//! Called as [`Store::open`] at a start, which reads everything and answers it, and then `keep` with batches,
//! each of which is on the disk when it returns, whole or not at all. `redb` is taken for it: one file, copy
//! on write, a commit that is whole or was not, no thread and no log of its own. Weighed against it: SQLite,
//! which is C and wants its own build; a log of our own, which would be a database written again.
//!
//! What `redb` does not promise is added here. Every record carries a checksum of its key and value, and the
//! file one sum over all of them, so that a byte that rots, a record that goes missing or one that comes back
//! from an older page is seen at the next start, and told with its place, instead of served. All pages are
//! looked at when it is opened, and nothing is written to a file in which something is wrong.
//!
//! After a commit that failed nobody knows whether it is on the disk. The file is opened again and asked;
//! where even that fails, [`StoreFault::Unknown`] says so, and what is then there beyond what the caller was
//! told is taken back with the next batch.
//!
//! Memory: what the caller keeps of it, and a cache of [`CACHE`] bytes.

use crate::codec::{change_from_proto, change_to_proto, revision_from_proto, revision_to_proto};
use crate::extents::Extents;
use grebecleat_plans::changes::{Change, Name, Revision, Subject, Version};
use grebecleat_plans::leader::Epoch;
use grebecleat_wire::pb;
use prost::Message;
use redb::{
    Builder, Database, ReadableDatabase, ReadableTable, StorageBackend, Table, TableDefinition,
    WriteTransaction,
};
use std::collections::BTreeMap;
use std::fmt;
use std::panic::AssertUnwindSafe;
use std::path::{Path, PathBuf};

const CACHE: usize = 64 << 20;
/// Extents of one record: a placement rewrites one, and ten million extents are some 160,000 of them.
pub const CHUNK: u64 = 64;
/// 1: places of extents one by one, and nothing else. 2: as here.
pub const SCHEMA: u64 = 2;

const META: TableDefinition<&str, u64> = TableDefinition::new("meta");
/// Records of the catalog by subject, see [`key`].
const STATE: TableDefinition<&[u8], &[u8]> = TableDefinition::new("state");
const AUDIT_LOG: TableDefinition<u64, &[u8]> = TableDefinition::new("trail");
const EPOCHS: TableDefinition<u64, u64> = TableDefinition::new("eras");
const HOSTS: TableDefinition<&str, u64> = TableDefinition::new("hosts");
const EXTENTS: TableDefinition<(u64, u64), &[u8]> = TableDefinition::new("extents");
/// Of schema 1.
const PLACES: TableDefinition<(u64, u64), u32> = TableDefinition::new("places");
const CEILING: TableDefinition<(), u64> = TableDefinition::new("ceiling");

/// Why a store does not serve.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreFault {
    /// Another process has it.
    Locked,
    /// Made by a newer program.
    Newer { schema: u64 },
    /// What is in it cannot be what was written.
    Damaged { what: String },
    /// The disk is full, read-only, or fails; nothing of the batch is on it.
    Disk { what: String },
    /// The same, and whether the batch is on it will show when it works again.
    Unknown { what: String },
}

impl fmt::Display for StoreFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StoreFault::Locked => write!(f, "in use by another process"),
            StoreFault::Newer { schema } => {
                write!(f, "of schema {schema}, and this program knows up to {SCHEMA}; use a newer program")
            }
            StoreFault::Damaged { what } => {
                write!(f, "damaged: {what}; restore it from a snapshot")
            }
            StoreFault::Disk { what } => write!(f, "{what}"),
            StoreFault::Unknown { what } => {
                write!(
                    f,
                    "{what}; whether it arrived shows when the disk works again"
                )
            }
        }
    }
}

impl std::error::Error for StoreFault {}

fn damaged(what: impl fmt::Display) -> StoreFault {
    StoreFault::Damaged {
        what: what.to_string(),
    }
}

impl<T: Into<redb::Error>> From<T> for StoreFault {
    fn from(e: T) -> Self {
        match e.into() {
            redb::Error::DatabaseAlreadyOpen => StoreFault::Locked,
            redb::Error::Corrupted(what) => damaged(what),
            redb::Error::Io(e) if e.kind() == std::io::ErrorKind::InvalidData => {
                damaged("it is no store, or its head is gone")
            }
            redb::Error::Io(e) => StoreFault::Disk {
                what: e.to_string(),
            },
            e @ (redb::Error::TableTypeMismatch { .. }
            | redb::Error::TypeDefinitionChanged { .. }) => damaged(e),
            e => StoreFault::Disk {
                what: e.to_string(),
            },
        }
    }
}

type Told<T> = Result<T, StoreFault>;

/// What is to be on the disk.
#[derive(Debug, Clone, PartialEq)]
pub enum Record {
    Revision(Revision),
    /// An entry from which on the state prevails over all others.
    EpochForced(Revision),
    Stable(Version),
    /// What a host said to have.
    Has(Name, Version),
    Epoch(Epoch),
    /// An earlier era, and up to which version it is part of this history.
    Past(Epoch, Version),
    Prevailed(Version),
    /// It was put back from a snapshot: hosts that it does not name may be there.
    Restored,
    /// Everything of the catalog anew.
    Whole {
        version: Version,
        state: Vec<Change>,
        audit_log: Vec<Revision>,
    },
    Place {
        volume: u64,
        extent: u64,
        shard: u32,
    },
    /// Versions that writes may have had lie below.
    Ceiling(u64),
}

/// Everything of a store but where extents lie.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct StoredState {
    pub version: Version,
    pub state: Vec<Change>,
    pub audit_log: Vec<Revision>,
    pub stable: Version,
    pub epoch_forced_at: Version,
    pub epoch: Epoch,
    pub epochs: Vec<(Epoch, Version)>,
    pub hosts: BTreeMap<Name, Version>,
    pub ceiling: u64,
    /// It was put back from a snapshot: a host that is not named may have followed what is not known here.
    pub restored: bool,
}

/// How to come by the file again, after it failed.
enum Way {
    File(PathBuf),
    /// Of tests.
    Backend(Box<dyn Fn() -> Box<dyn StorageBackend> + Send>),
}

/// A boxed backend is one.
#[derive(Debug)]
struct Boxed(Box<dyn StorageBackend>);

impl StorageBackend for Boxed {
    fn len(&self) -> Result<u64, std::io::Error> {
        self.0.len()
    }
    fn read(&self, offset: u64, out: &mut [u8]) -> Result<(), std::io::Error> {
        self.0.read(offset, out)
    }
    fn set_len(&self, len: u64) -> Result<(), std::io::Error> {
        self.0.set_len(len)
    }
    fn sync_data(&self) -> Result<(), std::io::Error> {
        self.0.sync_data()
    }
    fn write(&self, offset: u64, data: &[u8]) -> Result<(), std::io::Error> {
        self.0.write(offset, data)
    }
    fn close(&self) -> Result<(), std::io::Error> {
        self.0.close()
    }
}

pub struct Store {
    way: Way,
    /// None after a failure, until it could be opened again.
    db: Option<Database>,
    max_audit_log: u64,
    /// What the caller was told to be on the disk.
    version: Version,
}

/// A record's bytes: a checksum of its key and value, then the value.
fn sealed(key: &[u8], value: &[u8]) -> Vec<u8> {
    let mut bytes = sum_of(key, value).to_le_bytes().to_vec();
    bytes.extend_from_slice(value);
    bytes
}

fn sum_of(key: &[u8], value: &[u8]) -> u32 {
    crc32c::crc32c_append(crc32c::crc32c(key), value)
}

fn opened<'a>(key: &[u8], bytes: &'a [u8], what: &dyn Fn() -> String) -> Told<&'a [u8]> {
    let Some((sum, value)) = bytes.split_first_chunk::<4>() else {
        return Err(damaged(format!("{} is cut short", what())));
    };
    match sum_of(key, value) == u32::from_le_bytes(*sum) {
        true => Ok(value),
        false => Err(damaged(format!("{} has a wrong checksum", what()))),
    }
}

/// Where a subject's record stands: its kind, then its name or number.
fn key(subject: &Subject) -> Vec<u8> {
    let (kind, name) = match subject {
        Subject::Plan(name) => (0, name.as_bytes().to_vec()),
        Subject::Node(id) => (1, id.to_be_bytes().to_vec()),
        Subject::Volume(id) => (2, id.to_be_bytes().to_vec()),
        Subject::Drain(id) => (3, id.to_be_bytes().to_vec()),
        Subject::Target(name) => (4, name.as_bytes().to_vec()),
        Subject::Scheduled(id) => (5, id.to_be_bytes().to_vec()),
    };
    [vec![kind], name].concat()
}

/// One record's part of the sum over all.
fn part(table: u8, key: &[u8], bytes: &[u8]) -> u64 {
    let sum = crc32c::crc32c_append(crc32c::crc32c_append(crc32c::crc32c(&[table]), key), bytes);
    u64::from(sum).wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1
}

fn chunk_key(volume: u64, chunk: u64) -> Vec<u8> {
    [volume.to_be_bytes(), chunk.to_be_bytes()].concat()
}

/// Shards of the extents of one chunk, as runs: first of the chunk, how many, shard.
fn chunk_runs(bytes: &[u8]) -> Option<Vec<(u8, u8, u32)>> {
    let runs = bytes.chunks(6).map(|r| {
        let [start, n, a, b, c, d] = r else {
            return None;
        };
        (u64::from(*start) + u64::from(*n) <= CHUNK && *n > 0)
            .then(|| (*start, *n, u32::from_le_bytes([*a, *b, *c, *d])))
    });
    runs.collect()
}

fn chunk_bytes(e: &Extents) -> Vec<u8> {
    e.iter()
        .flat_map(|(start, n, shard)| [&[start as u8, n as u8][..], &shard.to_le_bytes()].concat())
        .collect()
}

/// A transaction, with the sum over all records as it changes.
struct Batch<'a> {
    write: &'a WriteTransaction,
    sum: u64,
}

impl Batch<'_> {
    fn meta(&self, name: &str, value: u64) -> Told<()> {
        self.write.open_table(META)?.insert(name, value)?;
        Ok(())
    }

    fn put<K: redb::Key + 'static>(
        &mut self,
        table: &mut Table<K, &'static [u8]>,
        no: u8,
        at: K::SelfType<'_>,
        key: &[u8],
        value: Option<&[u8]>,
    ) -> Told<()> {
        let old = match value {
            Some(value) => {
                let bytes = sealed(key, value);
                self.sum = self.sum.wrapping_add(part(no, key, &bytes));
                table.insert(at, &bytes[..])?
            }
            None => table.remove(at)?,
        };
        if let Some(old) = old {
            self.sum = self.sum.wrapping_sub(part(no, key, old.value()));
        }
        Ok(())
    }

    fn state(&mut self, c: &Change) -> Told<()> {
        let mut table = self.write.open_table(STATE)?;
        let (key, bytes) = (key(&c.subject()), change_to_proto(c).encode_to_vec());
        self.put(
            &mut table,
            0,
            &key[..],
            &key,
            (!c.ends()).then_some(&bytes[..]),
        )
    }

    fn audit_log(&mut self, e: &Revision) -> Told<()> {
        let mut table = self.write.open_table(AUDIT_LOG)?;
        let bytes = revision_to_proto(e).encode_to_vec();
        self.put(
            &mut table,
            1,
            e.version.0,
            &e.version.0.to_be_bytes(),
            Some(&bytes),
        )
    }

    fn untrail(&mut self, version: u64) -> Told<()> {
        let mut table = self.write.open_table(AUDIT_LOG)?;
        self.put(&mut table, 1, version, &version.to_be_bytes(), None)
    }

    /// A number under a name: the version, what is settled, what a host has.
    fn number(&mut self, name: &str, value: u64) -> Told<()> {
        let mut table = self.write.open_table(META)?;
        let old = table.insert(name, value)?.map(|v| v.value());
        if let Some(old) = old {
            self.sum = self
                .sum
                .wrapping_sub(part(3, name.as_bytes(), &old.to_be_bytes()));
        }
        self.sum = self
            .sum
            .wrapping_add(part(3, name.as_bytes(), &value.to_be_bytes()));
        Ok(())
    }

    fn host(&mut self, name: &str, applied: u64) -> Told<()> {
        let mut table = self.write.open_table(HOSTS)?;
        let old = table.insert(name, applied)?.map(|v| v.value());
        if let Some(old) = old {
            self.sum = self
                .sum
                .wrapping_sub(part(4, name.as_bytes(), &old.to_be_bytes()));
        }
        self.sum = self
            .sum
            .wrapping_add(part(4, name.as_bytes(), &applied.to_be_bytes()));
        Ok(())
    }

    fn epoch(&mut self, epoch: u64, upto: u64) -> Told<()> {
        let mut table = self.write.open_table(EPOCHS)?;
        if let Some(old) = table.insert(epoch, upto)?.map(|v| v.value()) {
            self.sum = self
                .sum
                .wrapping_sub(part(5, &epoch.to_be_bytes(), &old.to_be_bytes()));
        }
        self.sum = self
            .sum
            .wrapping_add(part(5, &epoch.to_be_bytes(), &upto.to_be_bytes()));
        Ok(())
    }

    /// Extents of one chunk get new places.
    fn places(&mut self, volume: u64, chunk: u64, placed: &[(u64, u32)]) -> Told<()> {
        let mut table = self.write.open_table(EXTENTS)?;
        let key = chunk_key(volume, chunk);
        let what = || {
            format!(
                "the record of extents {} on of volume {volume}",
                chunk * CHUNK
            )
        };
        let mut e = Extents::default();
        if let Some(old) = table.get((volume, chunk))? {
            let runs = chunk_runs(opened(&key, old.value(), &what)?);
            for (start, n, shard) in
                runs.ok_or_else(|| damaged(format!("{} makes no sense", what())))?
            {
                (0..u64::from(n)).for_each(|i| e.insert(u64::from(start) + i, shard));
            }
        }
        placed
            .iter()
            .for_each(|(extent, shard)| e.insert(extent % CHUNK, *shard));
        let bytes = chunk_bytes(&e);
        self.put(&mut table, 2, (volume, chunk), &key, Some(&bytes))
    }
}

impl Store {
    /// Opens the file, or makes it, and reads all that is in it. `max_audit_log`: entries that are kept of the
    /// trail, and all that are not settled.
    pub fn open(
        path: &Path,
        max_audit_log: u64,
    ) -> Told<(Store, StoredState, BTreeMap<u64, Extents>)> {
        Store::open_way(Way::File(path.to_path_buf()), max_audit_log)
    }

    /// The same on a disk that a test makes.
    pub fn open_on(
        disk: impl Fn() -> Box<dyn StorageBackend> + Send + 'static,
        max_audit_log: u64,
    ) -> Told<(Store, StoredState, BTreeMap<u64, Extents>)> {
        Store::open_way(Way::Backend(Box::new(disk)), max_audit_log)
    }

    fn open_way(
        way: Way,
        max_audit_log: u64,
    ) -> Told<(Store, StoredState, BTreeMap<u64, Extents>)> {
        caught(move || {
            let mut db = database(&way)?;
            migrate(&mut db)?;
            let (persisted, places) = read(&db)?;
            let version = persisted.version;
            Ok((
                Store {
                    way,
                    db: Some(db),
                    max_audit_log,
                    version,
                },
                persisted,
                places,
            ))
        })
    }

    /// Puts all of it on the disk, whole or not at all. After a fault it may be called again.
    pub fn keep(&mut self, batch: &[Record]) -> Told<()> {
        let told = self.version;
        let db = match self.db.take() {
            Some(db) => db,
            None => database(&self.way)?,
        };
        let after = caught(|| commit(&db, batch, told, self.max_audit_log));
        match after {
            Ok(version) => {
                (self.version, self.db) = (version, Some(db));
                Ok(())
            }
            Err(StoreFault::Disk { what }) => {
                drop(db);
                let last = batch.iter().rev().find_map(|k| match k {
                    Record::Revision(e) | Record::EpochForced(e) => Some(e.version),
                    Record::Whole { version, .. } => Some(*version),
                    _ => None,
                });
                let again = caught(|| {
                    let db = database(&self.way)?;
                    let version = db
                        .begin_read()?
                        .open_table(META)?
                        .get("version")?
                        .map_or(0, |v| v.value());
                    Ok((db, Version(version)))
                });
                let Ok((db, version)) = again else {
                    return Err(StoreFault::Unknown { what });
                };
                self.db = Some(db);
                match last {
                    Some(last) if last == version && last != told => {
                        self.version = version;
                        Ok(())
                    }
                    _ => Err(StoreFault::Disk { what }),
                }
            }
            Err(fault) => Err(fault),
        }
    }

    /// Everything again, as it is on the disk.
    pub fn read(&mut self) -> Told<(StoredState, BTreeMap<u64, Extents>)> {
        let db = match self.db.take() {
            Some(db) => db,
            None => database(&self.way)?,
        };
        let all = caught(|| read(&db));
        self.db = Some(db);
        all
    }
}

/// A damaged file can make the database library panic; that must end in a fault as well.
fn caught<T>(f: impl FnOnce() -> Told<T>) -> Told<T> {
    match std::panic::catch_unwind(AssertUnwindSafe(f)) {
        Ok(told) => told,
        Err(reason) => {
            let reason = reason
                .downcast_ref::<String>()
                .cloned()
                .or_else(|| reason.downcast_ref::<&str>().map(|s| s.to_string()));
            Err(damaged(
                reason.unwrap_or_else(|| "it cannot be read".into()),
            ))
        }
    }
}

fn database(way: &Way) -> Told<Database> {
    let mut builder = Builder::new();
    builder.set_cache_size(CACHE);
    // Every page is looked at, since a plain opening trusts what it finds and may fail much later.
    builder.set_check_integrity_on_open(true);
    Ok(match way {
        Way::File(path) => {
            // A file is made beside its place, so that one whose making was cut off is never taken for a
            // store.
            if !path.exists() {
                let making = path.with_extension("making");
                let _ = std::fs::remove_file(&making);
                migrate(&mut builder.create(&making)?)?;
                std::fs::rename(&making, path).map_err(|e| StoreFault::Disk {
                    what: e.to_string(),
                })?;
            }
            builder.open(path)?
        }
        Way::Backend(disk) => builder.create_with_backend(Boxed(disk()))?,
    })
}

/// Brings an older file to today's form, in one step.
fn migrate(db: &mut Database) -> Told<()> {
    let write = db.begin_write()?;
    {
        let schema = write.open_table(META)?.get("schema")?.map(|s| s.value());
        match schema {
            Some(SCHEMA) => {
                drop(write.abort());
                return Ok(());
            }
            Some(schema) if schema > SCHEMA => return Err(StoreFault::Newer { schema }),
            _ => {}
        }
        let mut batch = Batch {
            write: &write,
            sum: 0,
        };
        let mut chunks: BTreeMap<(u64, u64), Vec<(u64, u32)>> = BTreeMap::new();
        for revision in write.open_table(PLACES)?.iter()? {
            let (at, shard) = revision?;
            let (volume, extent) = at.value();
            chunks
                .entry((volume, extent / CHUNK))
                .or_default()
                .push((extent, shard.value()));
        }
        for ((volume, chunk), placed) in chunks {
            batch.places(volume, chunk, &placed)?;
        }
        let ceiling = write.open_table(CEILING)?.get(())?.map(|c| c.value());
        if let Some(ceiling) = ceiling {
            batch.number("ceiling", ceiling)?;
        }
        write.open_table(STATE)?;
        write.open_table(AUDIT_LOG)?;
        write.open_table(EPOCHS)?;
        write.open_table(HOSTS)?;
        write.open_table(EXTENTS)?;
        batch.meta("sum", batch.sum)?;
        batch.meta("schema", SCHEMA)?;
    }
    write.delete_table(PLACES)?;
    write.delete_table(CEILING)?;
    write.commit()?;
    Ok(())
}

/// Reads and checks everything.
fn read(db: &Database) -> Told<(StoredState, BTreeMap<u64, Extents>)> {
    let read = db.begin_read()?;
    let (mut persisted, mut sum) = (StoredState::default(), 0u64);
    let mut told = None;
    for revision in read.open_table(META)?.iter()? {
        let (name, value) = revision?;
        let (name, value) = (name.value(), value.value());
        match name {
            "schema" => continue,
            "sum" => {
                told = Some(value);
                continue;
            }
            "version" => persisted.version = Version(value),
            "settled" => persisted.stable = Version(value),
            "prevailed" => persisted.epoch_forced_at = Version(value),
            "era" => persisted.epoch = Epoch(value),
            "ceiling" => persisted.ceiling = value,
            "restored" => persisted.restored = value > 0,
            other => return Err(damaged(format!("a figure named {other}"))),
        }
        sum = sum.wrapping_add(part(3, name.as_bytes(), &value.to_be_bytes()));
    }
    for revision in read.open_table(STATE)?.iter()? {
        let (at, bytes) = revision?;
        let (at, bytes) = (at.value(), bytes.value());
        let what = || format!("a record of kind {:?}", at.first());
        let value = opened(at, bytes, &what)?;
        let change = pb::Change::decode(value).map_err(|e| damaged(format!("{}: {e}", what())))?;
        let change = change_from_proto(change).map_err(|e| damaged(format!("{}: {e}", what())))?;
        if key(&change.subject()) != at || change.ends() {
            return Err(damaged(format!(
                "{} stands in the place of another",
                change.subject()
            )));
        }
        sum = sum.wrapping_add(part(0, at, bytes));
        persisted.state.push(change);
    }
    for revision in read.open_table(AUDIT_LOG)?.iter()? {
        let (version, bytes) = revision?;
        let (version, bytes) = (version.value(), bytes.value());
        let what = || format!("entry {version} of the trail");
        let value = opened(&version.to_be_bytes(), bytes, &what)?;
        let revision =
            pb::Revision::decode(value).map_err(|e| damaged(format!("{}: {e}", what())))?;
        let revision =
            revision_from_proto(revision).map_err(|e| damaged(format!("{}: {e}", what())))?;
        let follows = persisted
            .audit_log
            .last()
            .is_none_or(|l| l.version == revision.from);
        if revision.version.0 != version || !follows {
            return Err(damaged(format!(
                "{} does not follow the one before it",
                what()
            )));
        }
        sum = sum.wrapping_add(part(1, &version.to_be_bytes(), bytes));
        persisted.audit_log.push(revision);
    }
    if persisted
        .audit_log
        .last()
        .is_some_and(|l| l.version != persisted.version)
    {
        return Err(damaged(format!(
            "the trail ends before version {}",
            persisted.version.0
        )));
    }
    for revision in read.open_table(EPOCHS)?.iter()? {
        let (epoch, upto) = revision?;
        sum = sum.wrapping_add(part(
            5,
            &epoch.value().to_be_bytes(),
            &upto.value().to_be_bytes(),
        ));
        persisted
            .epochs
            .push((Epoch(epoch.value()), Version(upto.value())));
    }
    for revision in read.open_table(HOSTS)?.iter()? {
        let (name, applied) = revision?;
        sum = sum.wrapping_add(part(
            4,
            name.value().as_bytes(),
            &applied.value().to_be_bytes(),
        ));
        persisted
            .hosts
            .insert(name.value().into(), Version(applied.value()));
    }
    let mut places: BTreeMap<u64, Extents> = BTreeMap::new();
    for revision in read.open_table(EXTENTS)?.iter()? {
        let (at, bytes) = revision?;
        let ((volume, chunk), bytes) = (at.value(), bytes.value());
        let what = || {
            format!(
                "the record of extents {} on of volume {volume}",
                chunk.saturating_mul(CHUNK)
            )
        };
        let key = chunk_key(volume, chunk);
        let runs = chunk_runs(opened(&key, bytes, &what)?);
        let runs = runs
            .filter(|_| chunk < u64::MAX / CHUNK)
            .ok_or_else(|| damaged(format!("{} makes no sense", what())))?;
        sum = sum.wrapping_add(part(2, &key, bytes));
        let lies = places.entry(volume).or_default();
        for (start, n, shard) in runs {
            (0..u64::from(n))
                .for_each(|i| lies.insert(chunk * CHUNK + u64::from(start) + i, shard));
        }
    }
    if told != Some(sum) {
        return Err(damaged("records are missing, or older than the rest"));
    }
    Ok((persisted, places))
}

/// One batch; answers the version that is then there.
fn commit(db: &Database, batch: &[Record], told: Version, max_audit_log: u64) -> Told<Version> {
    let write = db.begin_write()?;
    let version = {
        let figure = |name: &str| -> Told<u64> {
            Ok(write.open_table(META)?.get(name)?.map_or(0, |v| v.value()))
        };
        let mut b = Batch {
            write: &write,
            sum: figure("sum")?,
        };
        let (mut version, mut stable) = (figure("version")?, figure("settled")?);
        // An earlier commit arrived, though it was told that it failed.
        let anew = batch.iter().any(|k| matches!(k, Record::Whole { .. }));
        while version > told.0 && !anew {
            let last = write
                .open_table(AUDIT_LOG)?
                .get(version)?
                .map(|v| v.value().to_vec());
            let last = last.ok_or_else(|| damaged(format!("entry {version} is missing")))?;
            let value = opened(&version.to_be_bytes(), &last, &|| {
                format!("entry {version} of the trail")
            })?;
            let revision = pb::Revision::decode(value).map_err(damaged)?;
            let revision = revision_from_proto(revision).map_err(damaged)?;
            for c in &revision.before {
                b.state(c)?;
            }
            b.untrail(version)?;
            version = revision.from.0;
            if revision.version != revision.from.next() {
                b.number("prevailed", 0)?; // an operator is asked again
            }
        }
        let mut chunks: BTreeMap<(u64, u64), Vec<(u64, u32)>> = BTreeMap::new();
        for keep in batch {
            match keep {
                Record::Revision(e) | Record::EpochForced(e) => {
                    if e.from.0 != version {
                        let what =
                            format!("entry {} does not follow version {version}", e.version.0);
                        return Err(StoreFault::Disk { what });
                    }
                    for c in &e.changes {
                        b.state(c)?;
                    }
                    b.audit_log(e)?;
                    version = e.version.0;
                    if matches!(keep, Record::EpochForced(_)) {
                        b.number("prevailed", version)?;
                    }
                }
                Record::Stable(v) => stable = v.0,
                Record::Has(name, v) => b.host(name, v.0)?,
                Record::Epoch(epoch) => b.number("era", epoch.0)?,
                Record::Past(epoch, upto) => b.epoch(epoch.0, upto.0)?,
                Record::Prevailed(v) => b.number("prevailed", v.0)?,
                Record::Restored => b.number("restored", 1)?,
                Record::Whole {
                    version: v,
                    state,
                    audit_log,
                } => {
                    clear(&mut b)?;
                    for c in state {
                        b.state(c)?;
                    }
                    for e in audit_log {
                        b.audit_log(e)?;
                    }
                    version = v.0;
                }
                Record::Place {
                    volume,
                    extent,
                    shard,
                } => {
                    chunks
                        .entry((*volume, extent / CHUNK))
                        .or_default()
                        .push((*extent, *shard));
                }
                Record::Ceiling(c) => b.number("ceiling", *c)?,
            }
        }
        for ((volume, chunk), placed) in chunks {
            b.places(volume, chunk, &placed)?;
        }
        // The trail is as long as it may be, and longer only by what is not settled.
        let before = version.saturating_sub(max_audit_log).min(stable);
        loop {
            let first = write
                .open_table(AUDIT_LOG)?
                .first()?
                .map(|(v, _)| v.value());
            match first.filter(|v| *v <= before) {
                Some(v) => b.untrail(v)?,
                None => break,
            }
        }
        b.number("version", version)?;
        b.number("settled", stable)?;
        b.meta("sum", b.sum)?;
        version
    };
    write.commit()?;
    Ok(Version(version))
}

/// Takes all records of the catalog out.
fn clear(b: &mut Batch) -> Told<()> {
    let keys: Vec<Vec<u8>> = b
        .write
        .open_table(STATE)?
        .iter()?
        .map(|e| e.map(|(k, _)| k.value().to_vec()))
        .collect::<Result<_, _>>()?;
    for key in keys {
        let mut table = b.write.open_table(STATE)?;
        b.put(&mut table, 0, &key[..], &key, None)?;
    }
    let versions: Vec<u64> = b
        .write
        .open_table(AUDIT_LOG)?
        .iter()?
        .map(|e| e.map(|(v, _)| v.value()))
        .collect::<Result<_, _>>()?;
    versions.into_iter().try_for_each(|v| b.untrail(v))
}
