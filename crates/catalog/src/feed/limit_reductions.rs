//! Versions that lower a limit, burst or reservation that hosts may rely on without a lease.
//!
//! Owned by the leader, which adds every revision. Bounded by the revisions that are not stable.

use crate::records::Version;

/// A version that lowers limits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Reduction {
    version: Version,
    /// The version before it.
    before: Version,
}

/// The known versions that lower limits; see the module.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct LimitReductions {
    /// Whether versions up to this one lower limits is unknown.
    known_after: Version,
    reductions: Vec<Reduction>,
    latest: Version,
}

impl LimitReductions {
    /// No reductions, after a version about whose predecessors nothing is known.
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

    /// The last version that lowers no quota of a host that has `applied` and no lease.
    pub(super) fn reach(&self, applied: Version) -> Version {
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
