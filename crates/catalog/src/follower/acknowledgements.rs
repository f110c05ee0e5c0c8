//! Determines which version the host may acknowledge to the leader.
//!
//! A host acknowledges a version once the version is persisted, and once every attempt decided on
//! an older version has been sent or never will be. The follower calls [`Acknowledgements`] when it
//! follows a version and at each step.
//!
//! The state is the versions that are followed but not acknowledged, and the last acknowledgement.

use crate::records::Version;
use std::time::Duration;

/// A version, and since when the host follows it.
#[derive(Debug, Clone, Copy)]
struct Followed {
    version: Version,
    since: Duration,
}

/// The host's acknowledgements. See the module documentation.
#[derive(Debug)]
pub(super) struct Acknowledgements {
    /// Longest time between the decision to send an attempt and its sending.
    max_dispatch_delay: Duration,
    /// Versions that are not acknowledged, oldest first.
    followed: Vec<Followed>,
    /// The newest version that may be acknowledged.
    acknowledged: Version,
    /// The last acknowledgement on this connection.
    sent: Version,
}

impl Acknowledgements {
    /// The state after a start, when the host follows `applied`.
    pub fn new(max_dispatch_delay: Duration, applied: Version) -> Self {
        let followed = Followed {
            version: applied,
            since: Duration::ZERO,
        };
        Acknowledgements {
            max_dispatch_delay,
            followed: vec![followed],
            acknowledged: Version(0),
            sent: Version(0),
        }
    }

    /// The newest version that may be acknowledged.
    pub fn acknowledged(&self) -> Version {
        self.acknowledged
    }

    /// Records that the host follows `version` from `now` on, after it followed `former`.
    pub fn follow(&mut self, now: Duration, former: Version, version: Version) {
        if version > former || self.followed.is_empty() {
            self.followed.push(Followed {
                version,
                since: now,
            });
        }
    }

    /// Forgets all versions after the state was replaced by a snapshot from the leader, because the
    /// former version numbers may belong to another history.
    pub fn reset(&mut self) {
        self.followed.clear();
        self.acknowledged = Version::default();
        self.sent = Version::default();
    }

    /// Starts a new connection, on which nothing was acknowledged yet.
    pub fn reconnect(&mut self) {
        self.sent = Version(0);
    }

    /// The version to acknowledge now, if it is newer than the last acknowledgement.
    pub fn next(&mut self, now: Duration, persisted: Version) -> Option<Version> {
        for followed in &self.followed {
            let is_sent = followed.since + self.max_dispatch_delay <= now;
            if followed.version <= persisted && is_sent {
                self.acknowledged = self.acknowledged.max(followed.version);
            }
        }
        let acknowledged = self.acknowledged;
        self.followed
            .retain(|followed| followed.version > acknowledged);
        if acknowledged <= self.sent {
            return None;
        }
        self.sent = acknowledged;
        Some(acknowledged)
    }

    /// When the next persisted version may be acknowledged.
    pub fn due_at(&self, persisted: Version) -> Option<Duration> {
        self.followed
            .iter()
            .filter(|followed| followed.version <= persisted)
            .map(|followed| followed.since + self.max_dispatch_delay)
            .min()
    }
}
