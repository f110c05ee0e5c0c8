//! Makes revisions from proposed changes, or rejects changes that collide with later ones.
//!
//! The leader calls it with typed changes, their author and reason, and the author's base version.
//! The revision is then persisted and applied atomically. No I/O, no state.
//!
//! Two changes collide if they touch the same subject, or if one refers to a subject that the other
//! removes. An older base version alone is no collision. A collision needs a subject that has
//! changed since, or that may have changed, where the audit log no longer reaches back so far. This
//! guards against two operators who each undo the other's change without seeing it. The cost:
//! changes of two different values of one plan collide too, and the second author must retry.

use crate::catalog::Catalog;
use crate::change::{Change, ChangeContext, Revision};
use crate::errors::ChangeError;
use crate::overlay::Overlay;
use crate::records::Version;
use crate::{limit_lowering, validation};

impl Catalog {
    /// The revision that these changes would make, by an author who bases them on `base_version`.
    ///
    /// # Errors
    /// If the changes collide with later changes, are not valid, or change nothing.
    pub fn propose(
        &self,
        base_version: Version,
        by: ChangeContext,
        changes: Vec<Change>,
    ) -> Result<Revision, ChangeError> {
        if changes.is_empty() {
            return Err(ChangeError::Empty);
        }
        self.check_unchanged_since(base_version, &changes)?;
        let mut after = Overlay::new(self);
        let mut before = Vec::new();
        for change in &changes {
            let subject = change.subject();
            validation::check_values(self.facts(), change)?;
            before.insert(0, self.now(&subject));
            if !after.put(change) {
                return Err(ChangeError::Twice(subject));
            }
        }
        validation::check_references(&after)?;
        if changes
            .iter()
            .all(|change| self.now(&change.subject()) == *change)
        {
            return Err(ChangeError::Empty);
        }
        let lowers_limits = limit_lowering::lowers_limits(&after);
        Ok(Revision {
            changes,
            before,
            lowers_limits,
            ..empty_revision(self.version().next(), self.version(), by)
        })
    }

    /// A revision without changes and with a version beyond `over`, so that this state takes
    /// precedence over all states up to there. It starts a new epoch.
    pub fn force_epoch(&self, over: Version, by: ChangeContext) -> Revision {
        let version = over.max(self.version()).next();
        Revision {
            // The grants of the other history to hosts are unknown here.
            lowers_limits: true,
            ..empty_revision(version, self.version(), by)
        }
    }

    /// The revision that restores the subjects that an earlier revision changed, if they have not
    /// changed since. Does not restore a scheduled change that has landed: it would land again at
    /// once.
    ///
    /// # Errors
    /// The errors of [`Catalog::propose`], or if the audit log does not have the revision.
    pub fn undo(&self, revision: Version, by: ChangeContext) -> Result<Revision, ChangeError> {
        let undone = self.revision(revision).ok_or(ChangeError::TooOld {
            oldest: self.oldest_known(),
        })?;
        let lands_again =
            |change: &&Change| matches!(change, Change::Scheduled { to: Some(_), .. });
        let changes = undone
            .before
            .iter()
            .filter(|change| !lands_again(change))
            .cloned()
            .collect();
        self.propose(revision, by, changes)
    }

    /// Checks that no subject that the changes touch or refer to has changed since `base_version`.
    fn check_unchanged_since(
        &self,
        base_version: Version,
        changes: &[Change],
    ) -> Result<(), ChangeError> {
        if base_version > self.version() {
            return Err(ChangeError::Ahead {
                latest: self.version(),
            });
        }
        if self.since(base_version).is_none() {
            return Err(ChangeError::TooOld {
                oldest: self.oldest_known(),
            });
        }
        for change in changes {
            // A volume that was put on a plan in the meantime is no change of that plan.
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

fn empty_revision(version: Version, from: Version, by: ChangeContext) -> Revision {
    Revision {
        version,
        from,
        at: by.at,
        author: by.author.to_string(),
        reason: by.reason.to_string(),
        objections: by.objections.to_string(),
        changes: Vec::new(),
        before: Vec::new(),
        lowers_limits: false,
        also: Vec::new(),
    }
}
