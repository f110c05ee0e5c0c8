//! The leader's catalog with all decided revisions, and the admission control over it.
//!
//! [`CatalogWriter`] is the only writer of the leader's catalog: it applies revisions, reverts
//! revisions that could not be persisted, and keeps admission and the limit reductions consistent
//! with the catalog. The leader calls it for each proposal and for each result of a write.
//!
//! State: the catalog, [`Admission`], the limit reductions, and how many losses may still be
//! examined in the present step. A revision in the catalog may not be persisted yet.

use super::rejection::Rejection;
use crate::admission::{join_reasons, Admission, AdmissionVerdict, ExclusionReason};
use crate::catalog::Catalog;
use crate::change::{Change, ChangeContext, Revision};
use crate::feed::LimitReductions;
use crate::records::Version;
use std::time::Duration;

/// Losses that are examined for one change, some 36 ms at ten thousand volumes. A larger number
/// delays hosts' polls; a smaller one leaves more warnings out.
const MAX_LOSSES: usize = 256;
/// Losses examined in a step with several proposals, which share them. In a flood of proposals,
/// admission judges each change by its effect on the complete site, and only few by their effect
/// with a node or zone out.
const MAX_LOSSES_OF_SEVERAL: usize = MAX_LOSSES / 4;
/// Losses whose figures are refreshed in a step without changes. A larger number delays an event
/// that arrives meanwhile.
const IDLE_LOSSES: usize = 16;
/// Time until the next refresh. A longer interval leaves figures stale for longer.
const IDLE_REFRESH_INTERVAL: Duration = Duration::from_millis(20);

/// How a revision lands.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct LandingMode {
    /// The revision lands despite objections.
    pub force: bool,
    /// The revision is judged and then reverted.
    pub dry_run: bool,
}

/// The result of a revision that was not rejected.
#[derive(Debug)]
pub(super) enum Landing {
    /// The catalog has the revision.
    Applied {
        revision: Revision,
        verdict: AdmissionVerdict,
    },
    /// The revision was a dry run; the catalog is as before.
    Previewed { verdict: AdmissionVerdict },
}

/// The catalog and the admission control over it; see the module.
#[derive(Debug)]
pub(super) struct CatalogWriter {
    catalog: Catalog,
    admission: Admission,
    limit_reductions: LimitReductions,
    /// Losses that may be examined in the present step.
    step_budget: usize,
    /// Losses that may still be examined in the present step.
    remaining_budget: usize,
    /// Losses whose figures are of an older state.
    stale_losses: usize,
}

impl CatalogWriter {
    /// `stable`: the persisted stable version. `spread`: see [`crate::planner::Site`].
    pub fn new(mut catalog: Catalog, stable: Version, spread: f64) -> Self {
        catalog.need(stable);
        CatalogWriter {
            admission: Admission::open(&catalog, spread),
            limit_reductions: limit_reductions_of(&catalog),
            step_budget: 0,
            remaining_budget: 0,
            stale_losses: 0,
            catalog,
        }
    }

    /// The catalog with all decided revisions.
    pub fn catalog(&self) -> &Catalog {
        &self.catalog
    }

    /// The admission control.
    pub fn admission(&self) -> &Admission {
        &self.admission
    }

    /// The revisions that lower limits.
    pub fn limit_reductions(&self) -> &LimitReductions {
        &self.limit_reductions
    }

    /// Starts a step with a number of proposals, which share the losses to examine.
    pub fn begin_step(&mut self, proposals: usize) {
        self.step_budget = if proposals > 1 {
            MAX_LOSSES_OF_SEVERAL
        } else {
            MAX_LOSSES
        };
        self.remaining_budget = self.step_budget;
    }

    /// Ends a step: refreshes the figures of some losses if nothing was judged.
    pub fn end_step(&mut self) {
        if self.remaining_budget == self.step_budget {
            self.stale_losses = self.admission.refresh(IDLE_LOSSES);
        }
    }

    /// When the next step should refresh stale losses.
    pub fn refresh_at(&self, now: Duration) -> Option<Duration> {
        (self.stale_losses > 0).then(|| now + IDLE_REFRESH_INTERVAL)
    }

    /// Sets whether admission counts a node as unavailable; None: the node is available.
    pub fn set_unavailable(&mut self, node: u32, reason: Option<ExclusionReason>) {
        self.admission.set_unavailable(node, reason);
    }

    /// Judges a revision and applies it to the catalog. `stable`: the persisted stable version.
    ///
    /// # Errors
    /// If admission objects and the revision is not forced, the audit log is full, or hosts may
    /// still know a former volume with the same number. The catalog is then as before.
    pub fn land(
        &mut self,
        mut revision: Revision,
        mode: LandingMode,
        stable: Version,
    ) -> Result<Landing, Rejection> {
        self.check_not_still_known(&revision, stable)?;
        if self.catalog.audit_log_is_full() {
            return Err(Rejection::AuditLogFull);
        }
        self.apply(&revision);
        let verdict = self.judge(&revision);
        if mode.dry_run {
            self.revert_last();
            return Ok(Landing::Previewed { verdict });
        }
        let objections = join_reasons(&verdict.objections);
        if !objections.is_empty() {
            if !mode.force {
                self.revert_last();
                return Err(Rejection::Objections(objections));
            }
            // The stored revision must name the objections; admission already has its changes.
            self.catalog.revert_last();
            revision.objections = objections;
            self.apply(&revision);
        }
        self.limit_reductions
            .add(revision.version, revision.lowers_limits);
        Ok(Landing::Applied { revision, verdict })
    }

    /// Applies a revision that gives the present state a version beyond `behind`, the newest
    /// version that any host follows, and returns it.
    pub fn force_epoch(&mut self, behind: Version, by: ChangeContext) -> Revision {
        let revision = self.catalog.force_epoch(behind, by);
        self.apply(&revision);
        self.limit_reductions.add(revision.version, true);
        revision
    }

    /// Reverts the last revision.
    pub fn revert_last(&mut self) {
        if let Some(revision) = self.catalog.revert_last() {
            self.admission.undo(&self.catalog, &revision.changes);
        }
    }

    /// Drops what is needed only before a persisted stable version.
    pub fn set_stable(&mut self, stable: Version) {
        self.limit_reductions.forget(stable);
        self.catalog.need(stable);
    }

    /// Rebuilds the limit reductions after the persisted stable version from the audit log, after
    /// revisions were reverted.
    pub fn rebuild_limit_reductions(&mut self, stable: Version) {
        self.limit_reductions = LimitReductions::new(stable);
        for revision in self.catalog.audit_log() {
            if revision.version > stable {
                self.limit_reductions
                    .add(revision.version, revision.lowers_limits);
            }
        }
    }

    fn apply(&mut self, revision: &Revision) {
        self.catalog
            .apply(revision.clone())
            .expect("the revision was proposed for the present version");
    }

    /// Judges a revision that the catalog has, within the remaining budget of the step.
    fn judge(&mut self, revision: &Revision) -> AdmissionVerdict {
        let verdict = self
            .admission
            .land(&self.catalog, &revision.changes, self.remaining_budget);
        let all_losses = self.admission.losses();
        let examined = all_losses - verdict.unexamined_losses.min(all_losses);
        self.remaining_budget = self.remaining_budget.saturating_sub(examined.max(1));
        verdict
    }

    /// Rejects a new volume with the number of a removed volume that hosts may still follow: such a
    /// host would mistake the new volume for the former one.
    fn check_not_still_known(&self, revision: &Revision, stable: Version) -> Result<(), Rejection> {
        for change in &revision.changes {
            let subject = change.subject();
            let is_new = matches!(change, Change::Volume { to: Some(_), .. })
                && self.catalog.now(&subject).is_removal();
            let Some(ended_at) = self.catalog.last_changed(&subject).filter(|_| is_new) else {
                continue;
            };
            if ended_at > stable {
                return Err(Rejection::StillKnown { subject, ended_at });
            }
        }
        Ok(())
    }
}

/// The limit reductions among the revisions of the audit log.
fn limit_reductions_of(catalog: &Catalog) -> LimitReductions {
    let first = catalog
        .audit_log()
        .next()
        .map_or(catalog.version(), |oldest| oldest.from);
    let mut limit_reductions = LimitReductions::new(first);
    for revision in catalog.audit_log() {
        limit_reductions.add(revision.version, revision.lowers_limits);
    }
    limit_reductions
}
