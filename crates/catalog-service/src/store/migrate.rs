//! Migrates a file of an older schema, or a new file, to the current schema.

use super::batch::{Batch, ExtentPlacements};
use super::fault::{StoreFault, StoreResult};
use super::schema::{
    meta_key, AUDIT_LOG, CEILING_V1, EPOCHS, EXTENTS, HOSTS, META, PLACEMENTS_V1, SCHEMA, STATE,
};
use redb::{Database, ReadableTable, WriteTransaction};

/// Migrates an older or new file to [`SCHEMA`] in one transaction.
pub(super) fn migrate(database: &mut Database) -> StoreResult<()> {
    let write = database.begin_write()?;
    let schema = write
        .open_table(META)?
        .get(meta_key::SCHEMA)?
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
    write.delete_table(PLACEMENTS_V1)?;
    write.delete_table(CEILING_V1)?;
    write.commit()?;
    Ok(())
}

fn migrate_tables(write: &WriteTransaction) -> StoreResult<()> {
    let mut batch = Batch::new(write, 0);
    let mut placements = ExtentPlacements::default();
    for entry in write.open_table(PLACEMENTS_V1)?.iter()? {
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
        batch.put_meta(meta_key::CEILING, ceiling)?;
    }
    write.open_table(STATE)?;
    write.open_table(AUDIT_LOG)?;
    write.open_table(EPOCHS)?;
    write.open_table(HOSTS)?;
    write.open_table(EXTENTS)?;
    batch.put_checksum()?;
    batch.put_schema(SCHEMA)
}
