//! Reads and checks all contents of the file, for recovery at the start and for a snapshot.

use super::checksum::{unseal, FileChecksum, TableId};
use super::damage::{ContentError, Damage, RecordPlace};
use super::extent_chunk::{chunk_key, chunk_place, decode_runs, invalid, EXTENTS_PER_CHUNK};
use super::fault::{damaged, StoreFault, StoreResult};
use super::record::StoreContents;
use super::schema::{meta_key, subject_key, AUDIT_LOG, EPOCHS, EXTENTS, HOSTS, META, STATE};
use crate::codec::{change_from_proto, revision_from_proto};
use grebecleat_catalog::change::{Change, Revision};
use grebecleat_catalog::leader::Epoch;
use grebecleat_catalog::records::Version;
use grebecleat_wire::pb;
use prost::Message;
use redb::{Database, ReadTransaction, ReadableDatabase, ReadableTable};

/// Returns all contents of the file. Returns a fault if any record is damaged, missing or stale.
pub(super) fn load(database: &Database) -> StoreResult<StoreContents> {
    let mut loader = Loader {
        read: database.begin_read()?,
        contents: StoreContents::default(),
        checksum: FileChecksum::default(),
        stored_checksum: None,
    };
    loader.load_meta()?;
    loader.load_state()?;
    loader.load_audit_log()?;
    loader.load_epochs()?;
    loader.load_hosts()?;
    loader.load_extents()?;
    if loader.stored_checksum != Some(loader.checksum) {
        return Err(damaged(Damage::WrongFileChecksum));
    }
    Ok(loader.contents)
}

/// Returns the stored version of the catalog, and reads nothing else.
pub(super) fn load_version(database: &Database) -> StoreResult<Version> {
    let table = database.begin_read()?.open_table(META)?;
    let version = table.get(meta_key::VERSION)?.map(|version| version.value());
    Ok(Version(version.unwrap_or(0)))
}

struct Loader {
    read: ReadTransaction,
    contents: StoreContents,
    /// The checksum over the records that were read so far.
    checksum: FileChecksum,
    /// The checksum that the file states; `None` until it was read.
    stored_checksum: Option<FileChecksum>,
}

impl Loader {
    fn load_meta(&mut self) -> StoreResult<()> {
        let state = &mut self.contents.state;
        for entry in self.read.open_table(META)?.iter()? {
            let (name, value) = entry?;
            let (name, value) = (name.value(), value.value());
            match name {
                meta_key::SCHEMA => continue,
                meta_key::CHECKSUM => {
                    self.stored_checksum = Some(FileChecksum(value));
                    continue;
                }
                meta_key::VERSION => state.version = Version(value),
                meta_key::STABLE => state.stable = Version(value),
                meta_key::EPOCH_FORCED_AT => state.epoch_forced_at = Version(value),
                meta_key::EPOCH => state.epoch = Epoch(value),
                meta_key::CEILING => state.ceiling = value,
                meta_key::RESTORED => state.restored = value > 0,
                other => {
                    let name = other.to_string();
                    return Err(damaged(Damage::UnknownMetaKey { name }));
                }
            }
            self.checksum
                .add(TableId::Meta, name.as_bytes(), &value.to_be_bytes());
        }
        Ok(())
    }

    fn load_state(&mut self) -> StoreResult<()> {
        for entry in self.read.open_table(STATE)?.iter()? {
            let (key, bytes) = entry?;
            let (key, bytes) = (key.value(), bytes.value());
            let change = decode_change(key, bytes)?;
            self.checksum.add(TableId::State, key, bytes);
            self.contents.state.state.push(change);
        }
        Ok(())
    }

    fn load_audit_log(&mut self) -> StoreResult<()> {
        let state = &mut self.contents.state;
        for entry in self.read.open_table(AUDIT_LOG)?.iter()? {
            let (version, bytes) = entry?;
            let (version, bytes) = (version.value(), bytes.value());
            let revision = decode_revision(version, bytes, state.audit_log.last())?;
            self.checksum
                .add(TableId::AuditLog, &version.to_be_bytes(), bytes);
            state.audit_log.push(revision);
        }
        match state.audit_log.last() {
            Some(last) if last.version != state.version => Err(damaged(Damage::ShortAuditLog {
                version: state.version.0,
            })),
            _ => Ok(()),
        }
    }

    fn load_epochs(&mut self) -> StoreResult<()> {
        for entry in self.read.open_table(EPOCHS)?.iter()? {
            let (epoch, up_to) = entry?;
            let (epoch, up_to) = (epoch.value(), up_to.value());
            self.checksum
                .add(TableId::Epochs, &epoch.to_be_bytes(), &up_to.to_be_bytes());
            let epochs = &mut self.contents.state.epochs;
            epochs.push((Epoch(epoch), Version(up_to)));
        }
        Ok(())
    }

    fn load_hosts(&mut self) -> StoreResult<()> {
        for entry in self.read.open_table(HOSTS)?.iter()? {
            let (name, applied) = entry?;
            let (name, applied) = (name.value(), applied.value());
            self.checksum
                .add(TableId::Hosts, name.as_bytes(), &applied.to_be_bytes());
            let hosts = &mut self.contents.state.hosts;
            hosts.insert(name.into(), Version(applied));
        }
        Ok(())
    }

    fn load_extents(&mut self) -> StoreResult<()> {
        for entry in self.read.open_table(EXTENTS)?.iter()? {
            let (at, bytes) = entry?;
            let (volume, chunk) = at.value();
            let bytes = bytes.value();
            let place = chunk_place(volume, chunk);
            let key = chunk_key(volume, chunk);
            let runs = decode_runs(unseal(&key, bytes, place)?, place)?;
            if chunk >= u64::MAX / EXTENTS_PER_CHUNK {
                return Err(invalid(place));
            }
            self.checksum.add(TableId::Extents, &key, bytes);
            let extents = self.contents.extents.entry(volume).or_default();
            for run in runs {
                run.insert_into(extents, chunk * EXTENTS_PER_CHUNK);
            }
        }
        Ok(())
    }
}

fn undecodable(place: RecordPlace, error: impl Into<ContentError>) -> StoreFault {
    let error = error.into();
    damaged(Damage::Undecodable { place, error })
}

fn decode_change(key: &[u8], bytes: &[u8]) -> StoreResult<Change> {
    let kind = key.first().copied();
    let place = RecordPlace::Change { kind };
    let value = unseal(key, bytes, place)?;
    let change = pb::Change::decode(value).map_err(|error| undecodable(place, error))?;
    let change = change_from_proto(change).map_err(|error| undecodable(place, error))?;
    if subject_key(&change.subject()) != key || change.is_removal() {
        let subject = change.subject().to_string();
        return Err(damaged(Damage::WrongKey { subject }));
    }
    Ok(change)
}

fn decode_revision(
    version: u64,
    bytes: &[u8],
    previous: Option<&Revision>,
) -> StoreResult<Revision> {
    let place = RecordPlace::Revision { version };
    let value = unseal(&version.to_be_bytes(), bytes, place)?;
    let revision = pb::Revision::decode(value).map_err(|error| undecodable(place, error))?;
    let revision = revision_from_proto(revision).map_err(|error| undecodable(place, error))?;
    let follows = previous.is_none_or(|previous| previous.version == revision.from);
    if revision.version.0 != version || !follows {
        return Err(damaged(Damage::WrongOrder { place }));
    }
    Ok(revision)
}
