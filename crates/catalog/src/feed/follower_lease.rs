//! A host's side of the feed: the versions that it reckons with, and its lease.
//!
//! Owned by [`crate::follower`], which persists the versions before it acknowledges them.

use crate::records::Version;
use std::time::Duration;

/// What a host follows, and until when; see the module.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub struct FollowerLease {
    /// The newest version that it follows.
    pub applied: Version,
    /// Versions before this one need not be reckoned with any more.
    pub stable: Version,
    /// End of the lease, by this host's clock.
    until: Duration,
}

impl FollowerLease {
    /// As it was persisted: without a lease.
    pub fn persisted(applied: Version, stable: Version) -> Self {
        FollowerLease {
            applied,
            stable: stable.min(applied),
            until: Duration::ZERO,
        }
    }

    /// An answer to a poll that was sent at `sent`, by this host's clock. One with an older version
    /// than it has is not followed, nor is its lease.
    pub fn granted(&mut self, sent: Duration, version: Version, stable: Version, lease: Duration) {
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

    /// Whether the lease still runs.
    pub fn leased(&self, now: Duration) -> bool {
        now < self.until
    }

    /// When the lease ends.
    pub fn until(&self) -> Duration {
        self.until
    }
}
