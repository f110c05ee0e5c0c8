//! The records that callers store, and the contents of a store that they read back.

use crate::extents::Extents;
use grebecleat_catalog::change::{Change, Revision};
use grebecleat_catalog::leader::Epoch;
use grebecleat_catalog::records::{Name, Version};
use std::collections::BTreeMap;

/// One record to store. A batch of records is stored completely or not at all.
#[derive(Debug, Clone, PartialEq)]
pub enum Record {
    /// A revision of the catalog; it must follow the stored version.
    Revision(Revision),
    /// A revision that forces a new epoch: from this revision on, the state takes precedence over
    /// every other history.
    EpochForced(Revision),
    /// The stable version, which every follower has acknowledged.
    Stable(Version),
    /// The version that a host last reported as applied.
    HostApplied {
        /// Name of the host.
        host: Name,
        /// The version that it has applied.
        version: Version,
    },
    /// The current epoch of the catalog's history.
    Epoch(Epoch),
    /// An earlier epoch, which is part of this history up to a version.
    PastEpoch {
        /// The earlier epoch.
        epoch: Epoch,
        /// Its last version that belongs to this history.
        up_to: Version,
    },
    /// The version at which an operator last forced a new epoch.
    EpochForcedAt(Version),
    /// The store was restored from a snapshot: hosts that the snapshot does not name may exist.
    Restored,
    /// The complete catalog, which replaces the stored catalog.
    Snapshot {
        /// Version of the state.
        version: Version,
        /// One change for each subject that exists.
        state: Vec<Change>,
        /// The newest revisions, oldest first; the last one made `version`.
        audit_log: Vec<Revision>,
    },
    /// The shard on which an extent lies.
    ExtentPlacement {
        /// Number of the volume.
        volume: u64,
        /// Number of the extent within the volume.
        extent: u64,
        /// Number of the shard.
        shard: u32,
    },
    /// The ceiling: every version number that a write may have used is below it.
    VersionCeiling(u64),
}

/// All contents of a store except the placement of extents.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct StoredState {
    /// Version of the catalog; 0 for a new store.
    pub version: Version,
    /// One change for each subject that exists, in the order of the store's keys.
    pub state: Vec<Change>,
    /// The newest revisions, oldest first.
    pub audit_log: Vec<Revision>,
    /// The version that every follower has acknowledged.
    pub stable: Version,
    /// The version at which an operator last forced a new epoch; 0 if never.
    pub epoch_forced_at: Version,
    /// The epoch of this history; 0 for a new store.
    pub epoch: Epoch,
    /// Earlier epochs, each with its last version that belongs to this history.
    pub epochs: Vec<(Epoch, Version)>,
    /// By host, the version that it last reported as applied.
    pub hosts: BTreeMap<Name, Version>,
    /// The ceiling: every version number that a write may have used is below it.
    pub ceiling: u64,
    /// The store was restored from a snapshot: a host that it does not name may have followed
    /// versions that are unknown here.
    pub restored: bool,
}

/// Placement of extents by volume number.
pub type ExtentsByVolume = BTreeMap<u64, Extents>;

/// All contents of a store or a snapshot.
#[derive(Debug, Clone, Default)]
pub struct StoreContents {
    /// All contents except the placement of extents.
    pub state: StoredState,
    /// Placement of extents by volume number.
    pub extents: ExtentsByVolume,
}
