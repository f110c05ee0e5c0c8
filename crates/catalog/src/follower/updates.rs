//! Applies what the leader sends, if it follows what this host has.

use super::messages::Update;
use super::{Followed, Follower, MAX_UNSTABLE_REVISIONS};
use crate::change::{Change, Revision};
use crate::feed::FollowerLease;
use crate::leader::Epoch;
use crate::records::Version;
use thiserror::Error;

/// Why an update is not followed. Operators read the texts in the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub(super) enum UpdateError {
    /// Revisions are missing, or out of order.
    #[error("what came does not lead from {} to {}", .from.0, .to.0)]
    Gap { from: Version, to: Version },
    /// See [`MAX_UNSTABLE_REVISIONS`].
    #[error("too many changes wait for other hosts; nothing new is followed")]
    TooManyOpen,
}

impl Follower {
    /// Applies an update that leads to `version`: all of it or nothing, since half of it would be a
    /// state that was never decided.
    pub(super) fn apply_update(
        &mut self,
        epoch: Epoch,
        version: Version,
        update: Update,
    ) -> Result<(), UpdateError> {
        let before = self.catalog.version();
        self.check_update(version, &update)?;
        let revisions = match update {
            Update::Revisions(revisions) => revisions,
            Update::Snapshot {
                at,
                state,
                revisions,
            } => {
                self.replace_state(at, state);
                revisions
            }
        };
        if self.epoch != epoch {
            self.epoch = epoch;
            self.needs_snapshot = true;
        }
        for revision in revisions {
            self.apply_revision(revision);
        }
        if self.catalog.version() > before || self.followed.is_empty() {
            self.followed.push(Followed {
                version: self.catalog.version(),
                since: self.now,
            });
        }
        Ok(())
    }

    fn check_update(&self, version: Version, update: &Update) -> Result<(), UpdateError> {
        let present = self.catalog.version();
        let (start, open, revisions) = match update {
            Update::Revisions(revisions) => (present, self.catalog.audit_log().len(), revisions),
            Update::Snapshot { at, revisions, .. } => (*at, 0, revisions),
        };
        let mut last = start;
        let mut in_order = true;
        for revision in revisions {
            in_order &= revision.from == last && revision.version > last;
            last = revision.version;
        }
        if !in_order || last != version || version < present {
            return Err(UpdateError::Gap {
                from: start,
                to: version,
            });
        }
        if open + revisions.len() > MAX_UNSTABLE_REVISIONS {
            return Err(UpdateError::TooManyOpen);
        }
        Ok(())
    }

    fn replace_state(&mut self, at: Version, state: Vec<Change>) {
        self.dirty_volumes.extend(self.announced.keys());
        let facts = self.catalog.facts().clone();
        self.catalog = Follower::empty_catalog(facts).restored(at, state, Vec::new());
        self.dirty_volumes
            .extend(self.catalog.volumes().map(|(id, _)| id));
        self.dirty_plans
            .extend(self.catalog.plans().map(|(name, _)| name.clone()));
        self.unpersisted.clear();
        self.needs_snapshot = true;
        // In another history the former numbers mean nothing, nor does what is still on its way to
        // the disk.
        self.follower_lease = FollowerLease::persisted(at, at);
        self.persisted = Version::default();
        self.acknowledged = Version::default();
        self.acknowledgement_sent = Version::default();
        self.pending_persist = None;
        self.followed.clear();
    }

    fn apply_revision(&mut self, revision: Revision) {
        let revision = self.complete(revision);
        for (_, change) in &revision.also {
            if let Change::Volume { id, .. } = change {
                self.dirty_volumes.insert(*id);
            }
        }
        self.catalog
            .apply(revision.clone())
            .expect("checked to be in order");
        self.mark_dirty(&revision);
        self.unpersisted.push(revision);
    }

    /// A revision with the changes that restore the former state of this host. Of a volume that was
    /// not served here the leader sends it, since what this host has of it may be old.
    fn complete(&self, revision: Revision) -> Revision {
        let former = |change: &Change| {
            let subject = change.subject();
            let sent = revision
                .before
                .iter()
                .find(|before| before.subject() == subject);
            sent.cloned().unwrap_or_else(|| self.catalog.now(&subject))
        };
        let before = revision.changes.iter().rev().map(former).collect();
        Revision { before, ..revision }
    }

    /// Marks the plans that a revision touches, and the volumes whose terms it may change.
    pub(super) fn mark_dirty(&mut self, revision: &Revision) {
        for change in revision.changes.iter().chain(&revision.before) {
            match change {
                Change::Volume { id, .. } => _ = self.dirty_volumes.insert(*id),
                Change::Plan { name, .. } => {
                    self.dirty_plans.insert(name.clone());
                    self.dirty_volumes
                        .extend(self.catalog.volumes_of_plan(name));
                }
                _ => {}
            }
        }
    }
}
