//! Proposals and their landing: checked against the catalog and the promises, applied, and sent to
//! the disk.

use super::messages::{Action, CallId, Persist, Proposal};
use super::pending::PendingCommit;
use super::rejection::{Rejection, MAX_PENDING_COMMITS};
use super::Leader;
use crate::admission::join_reasons;
use crate::change::{Change, ChangeContext, Revision, ScheduledChange};
use crate::records::{Drain, Version};

/// How a revision lands.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct LandingMode {
    /// Whatever speaks against it.
    pub force: bool,
    /// It is only judged, for a caller, and taken back.
    pub dry_run: bool,
}

impl Leader {
    pub(super) fn propose(&mut self, call: CallId, proposal: Proposal) -> Result<(), Rejection> {
        let Proposal {
            author,
            reason,
            base_version,
            mut changes,
            at,
            force,
            dry_run,
        } = proposal;
        if self.pending_commits.len() >= MAX_PENDING_COMMITS {
            return Err(Rejection::TooManyPending);
        }
        for change in &mut changes {
            self.fill_in_drain(change, &author);
        }
        let by = ChangeContext::by(&author, &reason, self.wall);
        if let Some(at) = at.filter(|at| *at > self.wall && !dry_run) {
            // What is wrong with it by itself is reported now, and not at night when it lands.
            self.catalog.propose(base_version, by, changes.clone())?;
            let expects = changes
                .iter()
                .map(|change| self.catalog.now(&change.subject()))
                .collect();
            let scheduled = ScheduledChange {
                at,
                author: author.clone(),
                reason: reason.clone(),
                force,
                changes,
                expects,
            };
            let id = self.next_scheduled;
            self.next_scheduled += 1;
            changes = vec![Change::Scheduled {
                id,
                to: Some(scheduled),
            }];
        }
        let revision = self.catalog.propose(base_version, by, changes)?;
        self.land(Some(call), revision, LandingMode { force, dry_run })
    }

    pub(super) fn undo(
        &mut self,
        call: CallId,
        revision: Version,
        by: ChangeContext,
        force: bool,
    ) -> Result<(), Rejection> {
        let revision = self.catalog.undo(revision, by)?;
        let mode = LandingMode {
            force,
            dry_run: false,
        };
        self.land(Some(call), revision, mode)
    }

    /// Fills in who first asked for a drain, when, and since when it is in its stage; an author who
    /// asks for what is so already changes none of these.
    pub(super) fn fill_in_drain(&self, change: &mut Change, author: &str) {
        let Change::Drain {
            node,
            to: Some(drain),
        } = change
        else {
            return;
        };
        let Some(present) = self.catalog.drain(*node) else {
            drain.author = author.into();
            drain.requested_at = self.wall;
            drain.since = self.wall;
            return;
        };
        let Drain {
            stage,
            author,
            requested_at,
            since,
            ..
        } = present;
        drain.author = author.clone();
        drain.requested_at = *requested_at;
        drain.since = if *stage == drain.stage {
            *since
        } else {
            self.wall
        };
    }

    /// The one place where a revision lands: judged, applied to the catalog and sent to the disk.
    pub(super) fn land(
        &mut self,
        call: Option<CallId>,
        mut revision: Revision,
        mode: LandingMode,
    ) -> Result<(), Rejection> {
        self.check_not_still_known(&revision)?;
        if self.catalog.audit_log_is_full() {
            return Err(Rejection::AuditLogFull);
        }
        self.catalog
            .apply(revision.clone())
            .expect("proposed as the next");
        let verdict = self
            .admission
            .land(&self.catalog, &revision.changes, self.loss_budget);
        let all_losses = self.admission.losses();
        let losses_examined = all_losses - verdict.unexamined_losses.min(all_losses);
        self.loss_budget = self.loss_budget.saturating_sub(losses_examined.max(1));
        if let (true, Some(call)) = (mode.dry_run, call) {
            self.catalog.revert_last();
            self.admission.undo(&self.catalog, &revision.changes);
            self.actions.push(Action::Preview { call, verdict });
            return Ok(());
        }
        let objections = join_reasons(&verdict.objections);
        if !objections.is_empty() {
            self.catalog.revert_last();
            if !mode.force {
                self.admission.undo(&self.catalog, &revision.changes);
                return Err(Rejection::Objections(objections));
            }
            revision.objections = objections;
            self.catalog
                .apply(revision.clone())
                .expect("taken back just now");
        }
        let version = revision.version;
        self.limit_reductions.add(version, revision.lowers_limits);
        let number = self.persist(Persist::Revision(revision));
        self.pending_commits.push_back(PendingCommit {
            number,
            version,
            call,
            verdict,
            epoch_forced_at: self.epoch_forced_at,
        });
        Ok(())
    }

    /// Hosts know of a volume from when it is served through them on: one that takes the number of
    /// a former volume would be taken for that by hosts that still reckon with it.
    fn check_not_still_known(&self, revision: &Revision) -> Result<(), Rejection> {
        for change in &revision.changes {
            let subject = change.subject();
            let is_new = matches!(change, Change::Volume { to: Some(_), .. })
                && self.catalog.now(&subject).is_removal();
            let Some(ended_at) = self.catalog.last_changed(&subject).filter(|_| is_new) else {
                continue;
            };
            if ended_at > self.stable_persisted {
                return Err(Rejection::StillKnown { subject, ended_at });
            }
        }
        Ok(())
    }
}
