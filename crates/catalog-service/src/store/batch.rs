//! A write transaction that maintains the checksum of the file.
//!
//! [`super::commit`] and the migration write every record through one of these functions, so that
//! the checksum covers every write.

use super::checksum::{seal, unseal, FileChecksum, TableId};
use super::extent_chunk::{chunk_key, chunk_place, decode_runs, encode_runs, EXTENTS_PER_CHUNK};
use super::fault::StoreResult;
use super::schema::{meta_key, subject_key, AUDIT_LOG, EPOCHS, EXTENTS, HOSTS, META, STATE};
use crate::codec::{change_to_proto, revision_to_proto};
use crate::extents::Extents;
use grebecleat_catalog::change::{Change, Revision};
use prost::Message;
use redb::{ReadableTable, Table, WriteTransaction};
use std::collections::BTreeMap;

/// New placements of extents, grouped by chunk, so that each chunk's record is written once.
#[derive(Debug, Default)]
pub(super) struct ExtentPlacements {
    by_chunk: BTreeMap<ChunkId, Vec<Placement>>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct ChunkId {
    volume: u64,
    chunk: u64,
}

#[derive(Debug, Clone, Copy)]
struct Placement {
    extent: u64,
    shard: u32,
}

impl ExtentPlacements {
    /// Adds the placement of an extent on a shard.
    pub fn add(&mut self, volume: u64, extent: u64, shard: u32) {
        let chunk = extent / EXTENTS_PER_CHUNK;
        let chunk = self.by_chunk.entry(ChunkId { volume, chunk });
        chunk.or_default().push(Placement { extent, shard });
    }
}

/// Returns the number under a key of [`META`] within a transaction; 0 if it is not stored.
pub(super) fn read_meta(transaction: &WriteTransaction, key: &str) -> StoreResult<u64> {
    let value = transaction
        .open_table(META)?
        .get(key)?
        .map(|value| value.value());
    Ok(value.unwrap_or(0))
}

/// A transaction, and the file's checksum after each of its writes.
pub(super) struct Batch<'a> {
    transaction: &'a WriteTransaction,
    checksum: FileChecksum,
}

impl<'a> Batch<'a> {
    /// Returns a batch without writes. `checksum`: the file's checksum before the transaction.
    pub fn new(transaction: &'a WriteTransaction, checksum: u64) -> Self {
        Batch {
            transaction,
            checksum: FileChecksum(checksum),
        }
    }

    /// Returns the transaction, to read from.
    pub fn transaction(&self) -> &'a WriteTransaction {
        self.transaction
    }

    /// Stores the file's checksum. Only the schema number may be written after it.
    pub fn put_checksum(&self) -> StoreResult<()> {
        self.put_outside_checksum(meta_key::CHECKSUM, self.checksum.0)
    }

    /// Stores the schema number, which the file's checksum does not cover.
    pub fn put_schema(&self, schema: u64) -> StoreResult<()> {
        self.put_outside_checksum(meta_key::SCHEMA, schema)
    }

    fn put_outside_checksum(&self, name: &str, value: u64) -> StoreResult<()> {
        self.transaction.open_table(META)?.insert(name, value)?;
        Ok(())
    }

    /// Stores one record with its checksum, or removes the record if there is no value.
    fn put_sealed<K: redb::Key + 'static>(
        &mut self,
        table: &mut Table<K, &'static [u8]>,
        table_id: TableId,
        at: K::SelfType<'_>,
        key: &[u8],
        value: Option<&[u8]>,
    ) -> StoreResult<()> {
        let former = match value {
            Some(value) => {
                let bytes = seal(key, value);
                self.checksum.add(table_id, key, &bytes);
                table.insert(at, &bytes[..])?
            }
            None => table.remove(at)?,
        };
        if let Some(former) = former {
            self.checksum.remove(table_id, key, former.value());
        }
        Ok(())
    }

    /// Replaces the contribution to the file's checksum of a plain number, whose record has no
    /// checksum.
    fn replace_contribution(
        &mut self,
        table_id: TableId,
        key: &[u8],
        former: Option<u64>,
        value: u64,
    ) {
        if let Some(former) = former {
            self.checksum.remove(table_id, key, &former.to_be_bytes());
        }
        self.checksum.add(table_id, key, &value.to_be_bytes());
    }

    /// Stores the record of a subject, or removes it if the change removes the subject.
    pub fn put_change(&mut self, change: &Change) -> StoreResult<()> {
        let mut table = self.transaction.open_table(STATE)?;
        let key = subject_key(&change.subject());
        let bytes = change_to_proto(change).encode_to_vec();
        let value = (!change.is_removal()).then_some(&bytes[..]);
        self.put_sealed(&mut table, TableId::State, &key[..], &key, value)
    }

    fn remove_change(&mut self, key: &[u8]) -> StoreResult<()> {
        let mut table = self.transaction.open_table(STATE)?;
        self.put_sealed(&mut table, TableId::State, key, key, None)
    }

    /// Stores a revision in the audit log.
    pub fn put_revision(&mut self, revision: &Revision) -> StoreResult<()> {
        let mut table = self.transaction.open_table(AUDIT_LOG)?;
        let version = revision.version.0;
        let value = revision_to_proto(revision).encode_to_vec();
        let key = version.to_be_bytes();
        self.put_sealed(&mut table, TableId::AuditLog, version, &key, Some(&value))
    }

    /// Removes a revision from the audit log.
    pub fn remove_revision(&mut self, version: u64) -> StoreResult<()> {
        let mut table = self.transaction.open_table(AUDIT_LOG)?;
        let key = version.to_be_bytes();
        self.put_sealed(&mut table, TableId::AuditLog, version, &key, None)
    }

    /// Stores a number under its key of [`META`]; see [`meta_key`].
    pub fn put_meta(&mut self, name: &str, value: u64) -> StoreResult<()> {
        let mut table = self.transaction.open_table(META)?;
        let former = table.insert(name, value)?.map(|former| former.value());
        self.replace_contribution(TableId::Meta, name.as_bytes(), former, value);
        Ok(())
    }

    /// Stores the version that a host has applied.
    pub fn put_host(&mut self, name: &str, applied: u64) -> StoreResult<()> {
        let mut table = self.transaction.open_table(HOSTS)?;
        let former = table.insert(name, applied)?.map(|former| former.value());
        self.replace_contribution(TableId::Hosts, name.as_bytes(), former, applied);
        Ok(())
    }

    /// Stores an earlier epoch and its last version that belongs to this history.
    pub fn put_past_epoch(&mut self, epoch: u64, up_to: u64) -> StoreResult<()> {
        let mut table = self.transaction.open_table(EPOCHS)?;
        let former = table.insert(epoch, up_to)?.map(|former| former.value());
        self.replace_contribution(TableId::Epochs, &epoch.to_be_bytes(), former, up_to);
        Ok(())
    }

    /// Stores new placements of extents, one record for each chunk.
    pub fn put_placements(&mut self, placements: ExtentPlacements) -> StoreResult<()> {
        for (id, placed) in placements.by_chunk {
            self.put_chunk(id, &placed)?;
        }
        Ok(())
    }

    fn put_chunk(&mut self, id: ChunkId, placed: &[Placement]) -> StoreResult<()> {
        let ChunkId { volume, chunk } = id;
        let mut table = self.transaction.open_table(EXTENTS)?;
        let key = chunk_key(volume, chunk);
        let place = chunk_place(volume, chunk);
        let mut extents = Extents::default();
        if let Some(former) = table.get((volume, chunk))? {
            for run in decode_runs(unseal(&key, former.value(), place)?, place)? {
                run.insert_into(&mut extents, 0);
            }
        }
        for placement in placed {
            extents.insert(placement.extent % EXTENTS_PER_CHUNK, placement.shard);
        }
        let value = encode_runs(&extents);
        self.put_sealed(
            &mut table,
            TableId::Extents,
            (volume, chunk),
            &key,
            Some(&value),
        )
    }

    /// Removes all records of the catalog: its state and its audit log.
    pub fn remove_catalog(&mut self) -> StoreResult<()> {
        let mut keys = Vec::new();
        for entry in self.transaction.open_table(STATE)?.iter()? {
            let (key, _) = entry?;
            keys.push(key.value().to_vec());
        }
        for key in keys {
            self.remove_change(&key)?;
        }
        let mut versions = Vec::new();
        for entry in self.transaction.open_table(AUDIT_LOG)?.iter()? {
            let (version, _) = entry?;
            versions.push(version.value());
        }
        for version in versions {
            self.remove_revision(version)?;
        }
        Ok(())
    }
}
