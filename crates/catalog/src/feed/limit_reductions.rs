//! Versions that lower a quota which a host may use without a lease (a part of a reservation or a
//! burst).
//!
//! Owned by the leader, which adds every revision. The list is bounded by the number of revisions
//! that are not stable.

use crate::records::Version;

/// A version that lowers such a quota.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Reduction {
    version: Version,
    /// The version before it.
    before: Version,
}

/// The known versions that lower such quotas. See the module documentation.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct LimitReductions {
    /// For versions up to this one it is unknown whether they lower quotas.
    known_after: Version,
    reductions: Vec<Reduction>,
    latest: Version,
}

impl LimitReductions {
    /// Creates an empty list. Nothing is known about versions up to `known_after`.
    pub fn new(known_after: Version) -> Self {
        LimitReductions {
            known_after,
            reductions: Vec::new(),
            latest: known_after,
        }
    }

    /// The newest version that was added.
    pub(super) fn latest(&self) -> Version {
        self.latest
    }

    /// Adds the next version.
    pub fn add(&mut self, version: Version, lowers_limits: bool) {
        let before = std::mem::replace(&mut self.latest, version);
        if lowers_limits {
            self.reductions.push(Reduction { version, before });
        }
    }

    /// The newest version such that no version after `applied` and up to it lowers a quota of a host
    /// without a lease.
    pub(super) fn safe_version(&self, applied: Version) -> Version {
        if applied < self.known_after {
            return applied;
        }
        let next = self
            .reductions
            .partition_point(|reduction| reduction.version <= applied);
        self.reductions
            .get(next)
            .map_or(self.latest, |reduction| reduction.before)
    }

    /// Drops the reductions up to a stable version.
    pub fn forget(&mut self, stable: Version) {
        self.known_after = self.known_after.max(stable);
        self.reductions
            .retain(|reduction| reduction.version > stable);
    }
}
