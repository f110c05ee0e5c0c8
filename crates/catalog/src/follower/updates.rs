//! Applies the leader's updates, if they continue from the version that this host has.
//!
//! [`Follower::step`] calls [`Follower::apply_update`] for each granted poll.

use super::messages::Update;
use super::{Follower, MAX_UNSTABLE_REVISIONS};
use crate::catalog::Catalog;
use crate::change::{Change, Revision};
use crate::feed::FollowerLease;
use crate::leader::Epoch;
use crate::records::Version;
use thiserror::Error;

/// The reason why an update is not applied. The messages are written to the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub(super) enum UpdateError {
    /// Revisions are missing or out of order.
    #[error("what came does not lead from {} to {}", .from.0, .to.0)]
    Gap { from: Version, to: Version },
    /// See [`MAX_UNSTABLE_REVISIONS`].
    #[error(
        "update not applied: more than {MAX_UNSTABLE_REVISIONS} revisions are not acknowledged by all \
         hosts"
    )]
    TooManyOpen,
}

impl Follower {
    /// Applies an update that leads to `version`. An update is applied completely or not at all,
    /// because a partly applied update would be a state that the leader never decided on.
    pub(super) fn apply_update(
        &mut self,
        epoch: Epoch,
        version: Version,
        update: Update,
    ) -> Result<(), UpdateError> {
        let before = self.catalog.version();
        check_update(&self.catalog, version, &update)?;
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
            self.persistence.require_snapshot();
        }
        for revision in revisions {
            self.apply_revision(revision);
        }
        self.acknowledgements
            .follow(self.now, before, self.catalog.version());
        Ok(())
    }

    fn replace_state(&mut self, at: Version, state: Vec<Change>) {
        let facts = self.catalog.facts().clone();
        self.catalog = Follower::empty_catalog(facts).restored(at, state, Vec::new());
        self.announcements.mark_all(&self.catalog);
        self.follower_lease = FollowerLease::persisted(at, at);
        self.persistence.reset();
        self.acknowledgements.reset();
    }

    fn apply_revision(&mut self, revision: Revision) {
        let revision = with_former_states(&self.catalog, revision);
        self.announcements.mark_earlier_states(&revision);
        self.catalog
            .apply(revision.clone())
            .expect("check_update has checked the order");
        self.announcements.mark_revision(&self.catalog, &revision);
        self.persistence.add(revision);
    }
}

/// Checks that an update continues from the catalog's version, leads to `version` without gaps, and
/// does not exceed [`MAX_UNSTABLE_REVISIONS`].
fn check_update(catalog: &Catalog, version: Version, update: &Update) -> Result<(), UpdateError> {
    let present = catalog.version();
    let (start, unstable, revisions) = match update {
        Update::Revisions(revisions) => (present, catalog.audit_log().len(), revisions),
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
    if unstable + revisions.len() > MAX_UNSTABLE_REVISIONS {
        return Err(UpdateError::TooManyOpen);
    }
    Ok(())
}

/// Adds the changes that restore this host's former state to a revision. For a volume that was not
/// served through this host, the leader sends the former state, because the host's own may be
/// outdated.
fn with_former_states(catalog: &Catalog, revision: Revision) -> Revision {
    let former = |change: &Change| {
        let subject = change.subject();
        let sent = revision
            .before
            .iter()
            .find(|before| before.subject() == subject);
        sent.cloned().unwrap_or_else(|| catalog.now(&subject))
    };
    let before = revision.changes.iter().rev().map(former).collect();
    Revision { before, ..revision }
}
