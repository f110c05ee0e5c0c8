//! Commits one batch of records in one transaction.

use super::batch::{read_meta, Batch, ExtentPlacements};
use super::checksum::unseal;
use super::damage::{ContentError, Damage, RecordPlace};
use super::fault::{damaged, disk, StoreResult};
use super::record::Record;
use super::schema::{meta_key, AUDIT_LOG};
use crate::codec::revision_from_proto;
use grebecleat_catalog::change::Revision;
use grebecleat_catalog::records::Version;
use grebecleat_wire::pb;
use prost::Message;
use redb::{Database, ReadableTable};

/// Stores a batch completely or not at all, and returns the version of the catalog after it.
///
/// `reported`: the version that the caller knows to be stored. Revisions that are stored beyond it
/// belong to a commit that was reported as failed and is stored nevertheless; the batch first rolls
/// them back. `max_audit_log`: revisions of the audit log that remain, in addition to all revisions
/// that are not yet stable.
pub(super) fn commit(
    database: &Database,
    batch: &[Record],
    reported: Version,
    max_audit_log: u64,
) -> StoreResult<Version> {
    let write = database.begin_write()?;
    let mut transaction = Transaction {
        batch: Batch::new(&write, read_meta(&write, meta_key::CHECKSUM)?),
        version: read_meta(&write, meta_key::VERSION)?,
        stable: read_meta(&write, meta_key::STABLE)?,
        placements: ExtentPlacements::default(),
    };
    let replaces_catalog = batch
        .iter()
        .any(|record| matches!(record, Record::Snapshot { .. }));
    if !replaces_catalog {
        transaction.roll_back_to(reported)?;
    }
    for record in batch {
        transaction.apply(record)?;
    }
    let version = transaction.finish(max_audit_log)?;
    write.commit()?;
    Ok(Version(version))
}

struct Transaction<'a> {
    batch: Batch<'a>,
    /// Version of the catalog after the records that were applied so far.
    version: u64,
    stable: u64,
    placements: ExtentPlacements,
}

impl Transaction<'_> {
    /// Rolls back the revisions after `reported`: an earlier commit is stored although it was
    /// reported as failed.
    fn roll_back_to(&mut self, reported: Version) -> StoreResult<()> {
        while self.version > reported.0 {
            let revision = self.stored_revision(self.version)?;
            for change in &revision.before {
                self.batch.put_change(change)?;
            }
            self.batch.remove_revision(self.version)?;
            self.version = revision.from.0;
            if revision.version != revision.from.next() {
                // The revision forced a new epoch: the operator has to decide again.
                self.batch.put_meta(meta_key::EPOCH_FORCED_AT, 0)?;
            }
        }
        Ok(())
    }

    fn stored_revision(&self, version: u64) -> StoreResult<Revision> {
        let table = self.batch.transaction().open_table(AUDIT_LOG)?;
        let bytes = table.get(version)?.map(|bytes| bytes.value().to_vec());
        let bytes = bytes.ok_or_else(|| damaged(Damage::MissingRevision { version }))?;
        let place = RecordPlace::Revision { version };
        let value = unseal(&version.to_be_bytes(), &bytes, place)?;
        let revision = pb::Revision::decode(value).map_err(ContentError::Message);
        let revision = revision.map_err(damaged)?;
        revision_from_proto(revision)
            .map_err(ContentError::Content)
            .map_err(damaged)
    }

    fn apply(&mut self, record: &Record) -> StoreResult<()> {
        match record {
            Record::Revision(revision) => self.apply_revision(revision),
            Record::EpochForced(revision) => {
                self.apply_revision(revision)?;
                self.batch.put_meta(meta_key::EPOCH_FORCED_AT, self.version)
            }
            Record::Stable(version) => {
                self.stable = version.0;
                Ok(())
            }
            Record::HostApplied { host, version } => self.batch.put_host(host, version.0),
            Record::Epoch(epoch) => self.batch.put_meta(meta_key::EPOCH, epoch.0),
            Record::PastEpoch { epoch, up_to } => self.batch.put_past_epoch(epoch.0, up_to.0),
            Record::EpochForcedAt(version) => {
                self.batch.put_meta(meta_key::EPOCH_FORCED_AT, version.0)
            }
            Record::Restored => self.batch.put_meta(meta_key::RESTORED, 1),
            Record::Snapshot {
                version,
                state,
                audit_log,
            } => {
                self.batch.remove_catalog()?;
                for change in state {
                    self.batch.put_change(change)?;
                }
                for revision in audit_log {
                    self.batch.put_revision(revision)?;
                }
                self.version = version.0;
                Ok(())
            }
            Record::ExtentPlacement {
                volume,
                extent,
                shard,
            } => {
                self.placements.add(*volume, *extent, *shard);
                Ok(())
            }
            Record::VersionCeiling(ceiling) => self.batch.put_meta(meta_key::CEILING, *ceiling),
        }
    }

    fn apply_revision(&mut self, revision: &Revision) -> StoreResult<()> {
        if revision.from.0 != self.version {
            return Err(disk(format!(
                "entry {} cannot be stored: expected an entry that follows version {}",
                revision.version.0, self.version
            )));
        }
        for change in &revision.changes {
            self.batch.put_change(change)?;
        }
        self.batch.put_revision(revision)?;
        self.version = revision.version.0;
        Ok(())
    }

    /// Stores the placements, the versions and the file's checksum, and returns the version of the
    /// catalog.
    fn finish(mut self, max_audit_log: u64) -> StoreResult<u64> {
        self.batch
            .put_placements(std::mem::take(&mut self.placements))?;
        self.trim_audit_log(max_audit_log)?;
        self.batch.put_meta(meta_key::VERSION, self.version)?;
        self.batch.put_meta(meta_key::STABLE, self.stable)?;
        self.batch.put_checksum()?;
        Ok(self.version)
    }

    /// Removes the oldest revisions beyond the audit log's maximum length, except those that are
    /// not yet stable.
    fn trim_audit_log(&mut self, max_audit_log: u64) -> StoreResult<()> {
        let last_removed = self.version.saturating_sub(max_audit_log).min(self.stable);
        loop {
            let oldest = {
                let table = self.batch.transaction().open_table(AUDIT_LOG)?;
                let first = table.first()?;
                first.map(|(version, _)| version.value())
            };
            match oldest {
                Some(version) if version <= last_removed => self.batch.remove_revision(version)?,
                _ => return Ok(()),
            }
        }
    }
}
