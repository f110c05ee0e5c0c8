//! The tables of the file, the keys of their records, and the migration of an older file.
//!
//! The names of the tables and figures are part of the file format and never change.

use super::batch::{Batch, ExtentPlacements};
use super::fault::{StoreFault, StoreResult};
use grebecleat_plans::changes::Subject;
use redb::{Database, ReadableTable, TableDefinition, WriteTransaction};

/// Schema number of the file. 1: placement of extents one by one, and nothing else. 2: as here.
pub const SCHEMA: u64 = 2;

/// Figures by name, see [`figure`].
pub(super) const META: TableDefinition<&str, u64> = TableDefinition::new("meta");
/// Records of the catalog by subject, see [`subject_key`].
pub(super) const STATE: TableDefinition<&[u8], &[u8]> = TableDefinition::new("state");
/// Revisions by version.
pub(super) const AUDIT_LOG: TableDefinition<u64, &[u8]> = TableDefinition::new("trail");
/// Earlier epochs, each with its last version that belongs to this history.
pub(super) const EPOCHS: TableDefinition<u64, u64> = TableDefinition::new("eras");
/// Applied versions by the name of the host.
pub(super) const HOSTS: TableDefinition<&str, u64> = TableDefinition::new("hosts");
/// Chunks of extents by volume and chunk number, see [`super::extent_chunk`].
pub(super) const EXTENTS: TableDefinition<(u64, u64), &[u8]> = TableDefinition::new("extents");
/// Of schema 1: shards by volume and extent.
const PLACES_V1: TableDefinition<(u64, u64), u32> = TableDefinition::new("places");
/// Of schema 1: the version ceiling.
const CEILING_V1: TableDefinition<(), u64> = TableDefinition::new("ceiling");

/// Names of the figures in [`META`].
pub(super) mod figure {
    /// The schema number; not part of the checksum over the file.
    pub const SCHEMA: &str = "schema";
    /// The checksum over all records.
    pub const CHECKSUM: &str = "sum";
    /// Version of the catalog.
    pub const VERSION: &str = "version";
    /// The stable version.
    pub const STABLE: &str = "settled";
    /// The version at which a new epoch was last forced.
    pub const EPOCH_FORCED_AT: &str = "prevailed";
    /// The epoch of this history.
    pub const EPOCH: &str = "era";
    /// Every version number that a write may have used lies below this one.
    pub const CEILING: &str = "ceiling";
    /// Above 0 if the store was restored from a snapshot.
    pub const RESTORED: &str = "restored";
}

/// The key of a subject's record: its kind, then its name or number.
pub(super) fn subject_key(subject: &Subject) -> Vec<u8> {
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

/// A figure within a transaction; 0 if it is not stored.
pub(super) fn read_figure(write: &WriteTransaction, name: &str) -> StoreResult<u64> {
    let value = write
        .open_table(META)?
        .get(name)?
        .map(|value| value.value());
    Ok(value.unwrap_or(0))
}

/// Migrates an older or new file to [`SCHEMA`] in one transaction.
pub(super) fn migrate(database: &mut Database) -> StoreResult<()> {
    let write = database.begin_write()?;
    let schema = write
        .open_table(META)?
        .get(figure::SCHEMA)?
        .map(|schema| schema.value());
    match schema {
        Some(SCHEMA) => {
            drop(write.abort());
            return Ok(());
        }
        Some(schema) if schema > SCHEMA => return Err(StoreFault::Newer { schema }),
        _ => {}
    }
    migrate_tables(&write)?;
    write.delete_table(PLACES_V1)?;
    write.delete_table(CEILING_V1)?;
    write.commit()?;
    Ok(())
}

fn migrate_tables(write: &WriteTransaction) -> StoreResult<()> {
    let mut batch = Batch::new(write, 0);
    let mut placements = ExtentPlacements::default();
    for entry in write.open_table(PLACES_V1)?.iter()? {
        let (key, shard) = entry?;
        let (volume, extent) = key.value();
        placements.add(volume, extent, shard.value());
    }
    batch.put_placements(placements)?;
    let ceiling = write
        .open_table(CEILING_V1)?
        .get(())?
        .map(|ceiling| ceiling.value());
    if let Some(ceiling) = ceiling {
        batch.put_figure(figure::CEILING, ceiling)?;
    }
    write.open_table(STATE)?;
    write.open_table(AUDIT_LOG)?;
    write.open_table(EPOCHS)?;
    write.open_table(HOSTS)?;
    write.open_table(EXTENTS)?;
    batch.put_checksum()?;
    batch.put_schema(SCHEMA)
}
