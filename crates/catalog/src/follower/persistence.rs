//! Tracks the host's writes to its disk: what must be written, what is pending, and what is
//! persisted.
//!
//! The follower calls [`Persistence`] with each revision and each result of a write, and at each
//! step. At most one write is pending.
//!
//! The state is the revisions that were received since the last write, the pending write, and the
//! persisted versions.

use super::messages::PersistRequest;
use crate::change::Revision;
use crate::leader::Epoch;
use crate::records::Version;

/// The write that has no result yet.
#[derive(Debug, Clone, Copy)]
struct PendingWrite {
    number: u64,
    version: Version,
}

/// The host's writes. See the module documentation.
#[derive(Debug)]
pub(super) struct Persistence {
    /// Revisions received since the last write.
    unpersisted: Vec<Revision>,
    /// Whether the next write must replace all that is stored.
    needs_snapshot: bool,
    pending: Option<PendingWrite>,
    /// The newest persisted version.
    persisted: Version,
    /// The stable version of the last write.
    stable: Version,
}

impl Persistence {
    /// The state after a start, when `applied` and `stable` are on the disk.
    pub fn new(applied: Version, stable: Version) -> Self {
        Persistence {
            unpersisted: Vec::new(),
            needs_snapshot: false,
            pending: None,
            persisted: applied,
            stable,
        }
    }

    /// The newest persisted version.
    pub fn persisted(&self) -> Version {
        self.persisted
    }

    /// Adds a revision to the next write.
    pub fn add(&mut self, revision: Revision) {
        self.unpersisted.push(revision);
    }

    /// Makes the next write replace all that is stored.
    pub fn require_snapshot(&mut self) {
        self.needs_snapshot = true;
    }

    /// Starts over after the state was replaced by a snapshot from the leader. The former version
    /// numbers may belong to another history, so the persisted versions and a pending write no longer
    /// count.
    pub fn reset(&mut self) {
        self.unpersisted.clear();
        self.needs_snapshot = true;
        self.persisted = Version::default();
        self.pending = None;
    }

    /// Returns whether no write is pending and there is something to write. `stable` is the stable
    /// version that the host knows.
    pub fn is_due(&self, stable: Version) -> bool {
        let has_news = !self.unpersisted.is_empty() || self.needs_snapshot || stable > self.stable;
        has_news && self.pending.is_none()
    }

    /// Starts a write of everything up to `version`.
    pub fn start(
        &mut self,
        number: u64,
        epoch: Epoch,
        stable: Version,
        version: Version,
    ) -> PersistRequest {
        self.pending = Some(PendingWrite { number, version });
        self.stable = stable;
        PersistRequest {
            number,
            epoch,
            stable,
            revisions: std::mem::take(&mut self.unpersisted),
            snapshot: std::mem::take(&mut self.needs_snapshot),
        }
    }

    /// Completes the write with that number. A write that no longer counts is ignored.
    pub fn complete(&mut self, number: u64) {
        let completed = self.pending.take_if(|pending| pending.number == number);
        if let Some(completed) = completed {
            self.persisted = completed.version;
        }
    }

    /// Cancels the pending write after it failed. How much of it is on the disk is unknown, so the
    /// next write replaces everything.
    pub fn fail(&mut self) {
        if self.pending.take().is_some() {
            self.needs_snapshot = true;
        }
    }
}
