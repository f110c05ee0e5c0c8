//! The leader's catalog with all accepted revisions, and its admission control.
//!
//! [`CatalogWriter`] is the only writer of the leader's catalog: it applies revisions, reverts
//! revisions that could not be persisted, and keeps admission and the limit reductions consistent
//! with the catalog. The leader calls it for each proposal and for each result of a write.
//!
//! The state is the catalog, [`Admission`], the limit reductions, and how many outages may still be
//! evaluated in the current step. Revisions in the catalog are not necessarily persisted yet.

use super::rejection::Rejection;
use crate::admission::{join_reasons, Admission, AdmissionVerdict, ExclusionReason};
use crate::catalog::Catalog;
use crate::change::{Change, ChangeContext, Revision};
use crate::feed::LimitReductions;
use crate::records::Version;
use std::time::Duration;

/// Maximum number of outages that are evaluated for one change, which takes some 36 ms for ten
/// thousand volumes. A larger number delays hosts' polls; a smaller one omits more warnings.
const MAX_OUTAGES: usize = 256;
/// Maximum number of outages that are evaluated in a step with several proposals, for all of them
/// together. Under a flood of proposals, admission evaluates the effect of each change on the
/// complete site, and only for few of them the effect during outages.
const MAX_OUTAGES_PER_BATCH: usize = MAX_OUTAGES / 4;
/// Maximum number of outages that are recomputed in a step without changes. A larger number delays
/// an event that arrives in the meantime.
const MAX_IDLE_OUTAGES: usize = 16;
/// Time until the next refresh. A longer interval leaves results stale for longer.
const IDLE_REFRESH_INTERVAL: Duration = Duration::from_millis(20);

/// How to handle a proposed revision.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct CommitMode {
    /// The revision is applied despite objections.
    pub force: bool,
    /// The revision is evaluated and then reverted.
    pub dry_run: bool,
}

/// The result of a revision that was not rejected.
#[derive(Debug)]
pub(super) enum CommitOutcome {
    /// The revision was applied to the catalog.
    Applied {
        revision: Revision,
        verdict: AdmissionVerdict,
    },
    /// The revision was a dry run. The catalog is unchanged.
    Previewed { verdict: AdmissionVerdict },
}

/// The catalog and the admission control over it. See the module documentation.
#[derive(Debug)]
pub(super) struct CatalogWriter {
    catalog: Catalog,
    admission: Admission,
    limit_reductions: LimitReductions,
    /// Number of outages that may be evaluated in the current step.
    step_budget: usize,
    /// Number of outages that may still be evaluated in the current step.
    remaining_budget: usize,
    /// Number of outages whose results are of an older state.
    stale_outages: usize,
}

impl CatalogWriter {
    /// `stable` is the persisted stable version. See [`crate::planner::Site`] for `spread`.
    pub fn new(mut catalog: Catalog, stable: Version, spread: f64) -> Self {
        catalog.retain_after(stable);
        CatalogWriter {
            admission: Admission::open(&catalog, spread),
            limit_reductions: limit_reductions_of(&catalog),
            step_budget: 0,
            remaining_budget: 0,
            stale_outages: 0,
            catalog,
        }
    }

    /// The catalog with all accepted revisions.
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

    /// Starts a step with a number of proposals, which share the budget for outages.
    pub fn begin_step(&mut self, proposals: usize) {
        self.step_budget = if proposals > 1 {
            MAX_OUTAGES_PER_BATCH
        } else {
            MAX_OUTAGES
        };
        self.remaining_budget = self.step_budget;
    }

    /// Ends a step. Recomputes some stale outages if no change was evaluated in the step.
    pub fn end_step(&mut self) {
        if self.remaining_budget == self.step_budget {
            self.stale_outages = self.admission.refresh(MAX_IDLE_OUTAGES);
        }
    }

    /// When the next step should recompute stale outages.
    pub fn refresh_at(&self, now: Duration) -> Option<Duration> {
        (self.stale_outages > 0).then(|| now + IDLE_REFRESH_INTERVAL)
    }

    /// Sets why admission counts a node as unavailable, or with `None` that the node is available.
    pub fn set_unavailable(&mut self, node: u32, reason: Option<ExclusionReason>) {
        self.admission.set_unavailable(node, reason);
    }

    /// Evaluates a revision, and applies it to the catalog unless it is rejected. `stable` is the
    /// persisted stable version.
    ///
    /// # Errors
    /// If admission objects and the revision is not forced, the audit log is full, or hosts may
    /// still know a removed volume with the same number. The catalog is then unchanged.
    pub fn admit(
        &mut self,
        mut revision: Revision,
        mode: CommitMode,
        stable: Version,
    ) -> Result<CommitOutcome, Rejection> {
        self.check_volume_number_free(&revision, stable)?;
        if self.catalog.audit_log_is_full() {
            return Err(Rejection::AuditLogFull);
        }
        self.apply(&revision);
        let verdict = self.evaluate(&revision);
        if mode.dry_run {
            self.revert_last();
            return Ok(CommitOutcome::Previewed { verdict });
        }
        let objections = join_reasons(&verdict.objections);
        if !objections.is_empty() {
            if !mode.force {
                self.revert_last();
                return Err(Rejection::Objections(objections));
            }
            // The stored revision must name the objections. Admission already has the changes, so
            // only the catalog applies the revision again.
            self.catalog.revert_last();
            revision.objections = objections;
            self.apply(&revision);
        }
        self.limit_reductions
            .add(revision.version, revision.lowers_limits);
        Ok(CommitOutcome::Applied { revision, verdict })
    }

    /// Applies and returns a revision that raises the version of the current state above `behind`, the
    /// newest version that any host follows.
    pub fn force_epoch(&mut self, behind: Version, context: ChangeContext) -> Revision {
        let revision = self.catalog.force_epoch(behind, context);
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

    /// Drops data that is no longer needed once `stable` is persisted as the stable version.
    pub fn set_stable(&mut self, stable: Version) {
        self.limit_reductions.forget(stable);
        self.catalog.retain_after(stable);
    }

    /// Rebuilds the limit reductions from the audit log after revisions were reverted. `stable` is the
    /// persisted stable version.
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
            .expect("the revision was created for the current version");
    }

    /// Evaluates a revision that was applied to the catalog, within the remaining budget of the step.
    fn evaluate(&mut self, revision: &Revision) -> AdmissionVerdict {
        let verdict = self
            .admission
            .land(&self.catalog, &revision.changes, self.remaining_budget);
        let all_outages = self.admission.outages();
        let examined = all_outages - verdict.unevaluated_outages.min(all_outages);
        self.remaining_budget = self.remaining_budget.saturating_sub(examined.max(1));
        verdict
    }

    /// Rejects a new volume with the number of a removed volume that hosts may still follow, because
    /// such a host would mistake the new volume for the removed one.
    fn check_volume_number_free(
        &self,
        revision: &Revision,
        stable: Version,
    ) -> Result<(), Rejection> {
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
