//! A host's side of the feed: the versions that the host takes into account, and its lease.
//!
//! Owned by [`crate::follower`], which persists the versions before it acknowledges them.

use crate::records::Version;
use std::time::Duration;

/// The versions that a host takes into account, and its lease. See the module documentation.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub struct FollowerLease {
    /// The newest version that the host follows.
    pub applied: Version,
    /// The newest stable version that the host knows. The host need not take older versions into
    /// account.
    pub stable: Version,
    /// When the lease ends, by this host's clock.
    until: Duration,
}

impl FollowerLease {
    /// The state after a start: the persisted versions, and no lease.
    pub fn persisted(applied: Version, stable: Version) -> Self {
        FollowerLease {
            applied,
            stable: stable.min(applied),
            until: Duration::ZERO,
        }
    }

    /// Applies the response to a poll that was sent at `sent`, by this host's clock. A response with
    /// an older version than the host has is ignored together with its lease.
    pub fn apply_grant(
        &mut self,
        sent: Duration,
        version: Version,
        stable: Version,
        lease: Duration,
    ) {
        if version < self.applied {
            return;
        }
        self.until = if version > self.applied {
            sent + lease
        } else {
            self.until.max(sent + lease)
        };
        self.applied = version;
        self.stable = self.stable.max(stable).min(version);
    }

    /// Returns whether the lease is still valid.
    pub fn leased(&self, now: Duration) -> bool {
        now < self.until
    }

    /// When the lease ends.
    pub fn until(&self) -> Duration {
        self.until
    }
}
