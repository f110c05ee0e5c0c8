//! Epochs: which versions that hosts follow are part of this catalog's history.
//!
//! The leader calls [`EpochHistory`] for each poll and acknowledgement, and when an operator forces
//! a new epoch. A store that was restored from a snapshot starts a new epoch, and each host sends
//! the epoch of its version. A version number alone does not identify the history: after enough new
//! revisions, the restored catalog reaches the same numbers again.
//!
//! State: the present epoch, the earlier ones with their last shared versions, and the version of
//! the last forced epoch. Memory: one entry for each epoch.

use super::messages::Epoch;
use crate::records::Version;

/// The present epoch and the epochs before it; see the module.
#[derive(Debug)]
pub(super) struct EpochHistory {
    present: Epoch,
    /// Earlier epochs, each with the last version that belongs to this history.
    earlier: Vec<(Epoch, Version)>,
    /// The version at which an operator last forced a new epoch.
    forced_at: Version,
}

impl EpochHistory {
    pub fn new(present: Epoch, earlier: Vec<(Epoch, Version)>, forced_at: Version) -> Self {
        EpochHistory {
            present,
            earlier,
            forced_at,
        }
    }

    /// Returns whether a version that a host followed in `epoch` belongs to this history. `latest`:
    /// the catalog's version.
    pub fn is_shared(&self, epoch: Epoch, applied: Version, latest: Version) -> bool {
        if epoch == self.present {
            return applied <= latest;
        }
        let earlier = self.earlier.iter().find(|earlier| earlier.0 == epoch);
        earlier.is_some_and(|(_, last_shared)| applied <= *last_shared)
    }

    /// The version at which an operator last forced a new epoch.
    pub fn forced_at(&self) -> Version {
        self.forced_at
    }

    /// Records that a new epoch was forced at `version`, or restores the record of an earlier one.
    pub fn set_forced_at(&mut self, version: Version) {
        self.forced_at = version;
    }
}
