//! What callers store and what they get back: the records of a batch, and the contents of a store.

use crate::extents::Extents;
use grebecleat_catalog::change::{Change, Revision};
use grebecleat_catalog::leader::Epoch;
use grebecleat_catalog::records::{Name, Version};
use std::collections::BTreeMap;

/// One thing to store. A batch of records is stored completely or not at all.
#[derive(Debug, Clone, PartialEq)]
pub enum Record {
    /// A revision of the catalog; it must follow the stored version.
    Revision(Revision),
    /// A revision from which on the state counts over every other history: a forced new epoch.
    EpochForced(Revision),
    /// The stable version: every follower has acknowledged it.
    Stable(Version),
    /// The version that a host last reported as applied.
    HostApplied {
        /// Name of the host.
        host: Name,
        /// The version that it has applied.
        version: Version,
    },
    /// The epoch of the history from here on.
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
    /// The complete catalog, in place of everything of it that is stored.
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
    /// Every version number that a write may have used lies below this one.
    Ceiling(u64),
}

/// Everything in a store but the placement of extents.
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
    /// Every version number that a write may have used lies below this one.
    pub ceiling: u64,
    /// Restored from a snapshot: a host that is not named may have followed versions unknown here.
    pub restored: bool,
}

/// Placement of extents by volume number.
pub type ExtentsByVolume = BTreeMap<u64, Extents>;

/// Everything in a store or a snapshot.
#[derive(Debug, Clone, Default)]
pub struct StoreContents {
    /// All but the placement of extents.
    pub state: StoredState,
    /// Placement of extents by volume number.
    pub extents: ExtentsByVolume,
}
