//! Creates revisions from proposed changes, and rejects changes that conflict with later ones
//! (optimistic concurrency control).
//!
//! The leader calls it with typed changes, their author and reason, and the author's base version.
//! The revision is then persisted and applied atomically. This module performs no I/O and holds no
//! state.
//!
//! A proposed change conflicts with a revision after the base version that changed the same subject,
//! or a subject that the proposed change refers to. An older base version alone is no conflict, as
//! long as the audit log reaches back that far and shows that none of these subjects has changed.
//! This prevents two operators from undoing each other's changes without noticing it. The cost is
//! that changes of two different values of one plan conflict too, and the second author must retry.

use crate::catalog::Catalog;
use crate::change::{Change, ChangeContext, Revision};
use crate::errors::ChangeError;
use crate::overlay::Overlay;
use crate::records::Version;
use crate::{limit_lowering, validation};

impl Catalog {
    /// Creates the revision for changes whose author has seen the catalog at `base_version`.
    ///
    /// # Errors
    /// If the changes conflict with later changes, are invalid, or change nothing.
    pub fn propose(
        &self,
        base_version: Version,
        context: ChangeContext,
        changes: Vec<Change>,
    ) -> Result<Revision, ChangeError> {
        if changes.is_empty() {
            return Err(ChangeError::NoChange);
        }
        self.check_unchanged_since(base_version, &changes)?;
        let mut after = Overlay::new(self);
        let mut before = Vec::new();
        for change in &changes {
            let subject = change.subject();
            validation::check_values(self.facts(), change)?;
            before.insert(0, self.now(&subject));
            if !after.put(change) {
                return Err(ChangeError::DuplicateSubject(subject));
            }
        }
        validation::check_references(&after)?;
        if changes
            .iter()
            .all(|change| self.now(&change.subject()) == *change)
        {
            return Err(ChangeError::NoChange);
        }
        let lowers_limits = limit_lowering::lowers_limits(&after);
        Ok(Revision {
            changes,
            before,
            lowers_limits,
            ..empty_revision(self.version().next(), self.version(), context)
        })
    }

    /// Creates a revision without changes whose version is higher than `over`, so that the current
    /// state supersedes all states up to `over`. The revision starts a new epoch.
    pub fn force_epoch(&self, over: Version, context: ChangeContext) -> Revision {
        let version = over.max(self.version()).next();
        Revision {
            // The limits that hosts were granted under the other history are unknown here.
            lowers_limits: true,
            ..empty_revision(version, self.version(), context)
        }
    }

    /// Creates the revision that restores the subjects of an earlier revision, if they have not
    /// changed since. A scheduled change that was applied is not restored, because it would be applied
    /// again at once.
    ///
    /// # Errors
    /// The errors of [`Catalog::propose`], or if the audit log does not have the revision.
    pub fn undo(&self, revision: Version, context: ChangeContext) -> Result<Revision, ChangeError> {
        let undone = self.revision(revision).ok_or(ChangeError::TooOld {
            oldest: self.oldest_known(),
        })?;
        let is_applied_again =
            |change: &&Change| matches!(change, Change::Scheduled { to: Some(_), .. });
        let changes = undone
            .before
            .iter()
            .filter(|change| !is_applied_again(change))
            .cloned()
            .collect();
        self.propose(revision, context, changes)
    }

    /// Checks that no subject that the changes modify or refer to has changed since `base_version`.
    fn check_unchanged_since(
        &self,
        base_version: Version,
        changes: &[Change],
    ) -> Result<(), ChangeError> {
        if base_version > self.version() {
            return Err(ChangeError::FutureVersion {
                latest: self.version(),
            });
        }
        if self.since(base_version).is_none() {
            return Err(ChangeError::TooOld {
                oldest: self.oldest_known(),
            });
        }
        for change in changes {
            // A volume that was assigned to a plan in the meantime does not count as a change of
            // that plan.
            for subject in change.references().into_iter().chain([change.subject()]) {
                let last_changed = self.last_changed(&subject);
                let Some(with) = last_changed.filter(|version| *version > base_version) else {
                    continue;
                };
                let author = self
                    .revision(with)
                    .map_or_else(String::new, |revision| revision.author.clone());
                return Err(ChangeError::Collision {
                    subject,
                    with,
                    author,
                });
            }
        }
        Ok(())
    }
}

fn empty_revision(version: Version, from: Version, context: ChangeContext) -> Revision {
    Revision {
        version,
        from,
        at: context.at,
        author: context.author.to_string(),
        reason: context.reason.to_string(),
        objections: context.objections.to_string(),
        changes: Vec::new(),
        before: Vec::new(),
        lowers_limits: false,
        also: Vec::new(),
    }
}
