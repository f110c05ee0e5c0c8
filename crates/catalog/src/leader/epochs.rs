//! Epochs, which determine whether a version that a host follows is part of this catalog's history.
//!
//! The leader calls [`EpochHistory`] for each poll and acknowledgement, and when an operator forces
//! a new epoch. A store that was restored from a snapshot starts a new epoch, and each host sends
//! the epoch of its version. A version number alone does not identify the history: after enough new
//! revisions, the restored catalog reaches the same numbers again.
//!
//! The state is the current epoch, the earlier epochs with their last shared versions, and the
//! version of the last forced epoch. Memory use is one entry for each epoch.

use super::messages::Epoch;
use crate::records::Version;

/// The current epoch and the epochs before it. See the module documentation.
#[derive(Debug)]
pub(super) struct EpochHistory {
    present: Epoch,
    /// Earlier epochs, each with the last version that belongs to this history.
    earlier: Vec<(Epoch, Version)>,
    /// The version at which an operator last forced a new epoch.
    forced_at: Version,
}

impl EpochHistory {
    /// The history when the leader starts. `forced_at` is the version of the last forced epoch.
    pub fn new(present: Epoch, earlier: Vec<(Epoch, Version)>, forced_at: Version) -> Self {
        EpochHistory {
            present,
            earlier,
            forced_at,
        }
    }

    /// Returns whether a version that a host followed in `epoch` belongs to this history. `latest` is
    /// the version of the catalog.
    pub fn is_in_history(&self, epoch: Epoch, applied: Version, latest: Version) -> bool {
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

    /// Records that a new epoch was forced at `version`, or restores the earlier value if that was
    /// reverted.
    pub fn set_forced_at(&mut self, version: Version) {
        self.forced_at = version;
    }
}
