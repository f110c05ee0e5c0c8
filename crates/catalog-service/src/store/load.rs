//! Reads and checks all contents of the file, for the recovery at a start and for a snapshot.

use super::checksum::{unseal, FileChecksum, TableNumber};
use super::extent_chunk::{chunk_key, chunk_place, decode_runs, senseless, EXTENTS_PER_CHUNK};
use super::fault::{damaged, StoreResult};
use super::record::StoreContents;
use super::schema::{
    figure, revision_place, subject_key, AUDIT_LOG, EPOCHS, EXTENTS, HOSTS, META, STATE,
};
use crate::codec::{change_from_proto, revision_from_proto};
use grebecleat_catalog::change::{Change, Revision};
use grebecleat_catalog::leader::Epoch;
use grebecleat_catalog::records::Version;
use grebecleat_wire::pb;
use prost::Message;
use redb::{Database, ReadTransaction, ReadableDatabase, ReadableTable};

/// Returns all contents of the file. Returns a fault if any record is damaged, missing, or older
/// than the rest.
pub(super) fn load(database: &Database) -> StoreResult<StoreContents> {
    let mut loader = Loader {
        read: database.begin_read()?,
        contents: StoreContents::default(),
        checksum: FileChecksum::default(),
        stored_checksum: None,
    };
    loader.load_figures()?;
    loader.load_state()?;
    loader.load_audit_log()?;
    loader.load_epochs()?;
    loader.load_hosts()?;
    loader.load_extents()?;
    if loader.stored_checksum != Some(loader.checksum) {
        return Err(damaged("records are missing, or older than the rest"));
    }
    Ok(loader.contents)
}

/// Returns the stored version of the catalog, and reads nothing else.
pub(super) fn load_version(database: &Database) -> StoreResult<Version> {
    let table = database.begin_read()?.open_table(META)?;
    let version = table.get(figure::VERSION)?.map(|version| version.value());
    Ok(Version(version.unwrap_or(0)))
}

struct Loader {
    read: ReadTransaction,
    contents: StoreContents,
    /// The sum over the records that were read so far.
    checksum: FileChecksum,
    /// The sum that the file states.
    stored_checksum: Option<FileChecksum>,
}

impl Loader {
    fn load_figures(&mut self) -> StoreResult<()> {
        let state = &mut self.contents.state;
        for entry in self.read.open_table(META)?.iter()? {
            let (name, value) = entry?;
            let (name, value) = (name.value(), value.value());
            match name {
                figure::SCHEMA => continue,
                figure::CHECKSUM => {
                    self.stored_checksum = Some(FileChecksum(value));
                    continue;
                }
                figure::VERSION => state.version = Version(value),
                figure::STABLE => state.stable = Version(value),
                figure::EPOCH_FORCED_AT => state.epoch_forced_at = Version(value),
                figure::EPOCH => state.epoch = Epoch(value),
                figure::CEILING => state.ceiling = value,
                figure::RESTORED => state.restored = value > 0,
                other => return Err(damaged(format!("a figure named {other}"))),
            }
            self.checksum
                .add(TableNumber::Meta, name.as_bytes(), &value.to_be_bytes());
        }
        Ok(())
    }

    fn load_state(&mut self) -> StoreResult<()> {
        for entry in self.read.open_table(STATE)?.iter()? {
            let (key, bytes) = entry?;
            let (key, bytes) = (key.value(), bytes.value());
            let change = decode_change(key, bytes)?;
            self.checksum.add(TableNumber::State, key, bytes);
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
                .add(TableNumber::AuditLog, &version.to_be_bytes(), bytes);
            state.audit_log.push(revision);
        }
        match state.audit_log.last() {
            Some(last) if last.version != state.version => Err(damaged(format!(
                "the trail ends before version {}",
                state.version.0
            ))),
            _ => Ok(()),
        }
    }

    fn load_epochs(&mut self) -> StoreResult<()> {
        for entry in self.read.open_table(EPOCHS)?.iter()? {
            let (epoch, up_to) = entry?;
            let (epoch, up_to) = (epoch.value(), up_to.value());
            self.checksum.add(
                TableNumber::Epochs,
                &epoch.to_be_bytes(),
                &up_to.to_be_bytes(),
            );
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
                .add(TableNumber::Hosts, name.as_bytes(), &applied.to_be_bytes());
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
            let place = || chunk_place(volume, chunk);
            let key = chunk_key(volume, chunk);
            let runs = decode_runs(unseal(&key, bytes, &place)?, &place)?;
            if chunk >= u64::MAX / EXTENTS_PER_CHUNK {
                return Err(senseless(&place));
            }
            self.checksum.add(TableNumber::Extents, &key, bytes);
            let extents = self.contents.extents.entry(volume).or_default();
            for run in runs {
                run.insert_into(extents, chunk * EXTENTS_PER_CHUNK);
            }
        }
        Ok(())
    }
}

fn decode_change(key: &[u8], bytes: &[u8]) -> StoreResult<Change> {
    let place = || format!("a record of kind {:?}", key.first());
    let value = unseal(key, bytes, &place)?;
    let change =
        pb::Change::decode(value).map_err(|error| damaged(format!("{}: {error}", place())))?;
    let change =
        change_from_proto(change).map_err(|error| damaged(format!("{}: {error}", place())))?;
    if subject_key(&change.subject()) != key || change.is_removal() {
        return Err(damaged(format!(
            "{} stands in the place of another",
            change.subject()
        )));
    }
    Ok(change)
}

fn decode_revision(
    version: u64,
    bytes: &[u8],
    previous: Option<&Revision>,
) -> StoreResult<Revision> {
    let place = || revision_place(version);
    let value = unseal(&version.to_be_bytes(), bytes, &place)?;
    let revision =
        pb::Revision::decode(value).map_err(|error| damaged(format!("{}: {error}", place())))?;
    let revision =
        revision_from_proto(revision).map_err(|error| damaged(format!("{}: {error}", place())))?;
    let follows = previous.is_none_or(|previous| previous.version == revision.from);
    if revision.version.0 != version || !follows {
        return Err(damaged(format!(
            "{} does not follow the one before it",
            place()
        )));
    }
    Ok(revision)
}
