//! The tables of the file, and the keys of their records.
//!
//! The names of the tables and the keys of [`META`] are part of the file format, and never change.

use grebecleat_catalog::change::Subject;
use redb::TableDefinition;

/// The current schema number of the file. Schema 1 contains only the placement of single extents
/// and the version ceiling.
pub(super) const SCHEMA: u64 = 2;

/// Numbers that concern the whole store, by name; see [`meta_key`].
pub(super) const META: TableDefinition<&str, u64> = TableDefinition::new("meta");
/// Records of the catalog by subject; see [`subject_key`].
pub(super) const STATE: TableDefinition<&[u8], &[u8]> = TableDefinition::new("state");
/// Revisions by version.
pub(super) const AUDIT_LOG: TableDefinition<u64, &[u8]> = TableDefinition::new("trail");
/// Earlier epochs, each with its last version that belongs to this history.
pub(super) const EPOCHS: TableDefinition<u64, u64> = TableDefinition::new("eras");
/// Applied versions by the name of the host.
pub(super) const HOSTS: TableDefinition<&str, u64> = TableDefinition::new("hosts");
/// Chunks of extents by volume and chunk number; see [`super::extent_chunk`].
pub(super) const EXTENTS: TableDefinition<(u64, u64), &[u8]> = TableDefinition::new("extents");
/// Shards by volume and extent, in schema 1.
pub(super) const PLACEMENTS_V1: TableDefinition<(u64, u64), u32> = TableDefinition::new("places");
/// The version ceiling, in schema 1.
pub(super) const CEILING_V1: TableDefinition<(), u64> = TableDefinition::new("ceiling");

/// The keys of [`META`].
pub(super) mod meta_key {
    /// The schema number. The file's checksum does not cover it.
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
    /// The ceiling: every version number that a write may have used is below it.
    pub const CEILING: &str = "ceiling";
    /// A number above 0 if the store was restored from a snapshot.
    pub const RESTORED: &str = "restored";
}

/// Returns the key of a subject's record: the subject's kind, then its name or number.
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
