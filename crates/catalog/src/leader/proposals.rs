//! Handles proposals of operators, scheduled changes and forced epochs, from the call to the write.
//!
//! [`Leader::step`] calls these methods for each such call, and [`Leader::apply_due_changes`] at each
//! step. All proposed revisions pass through [`Leader::commit_revision`].

use super::catalog_writer::{CommitMode, CommitOutcome};
use super::messages::{Action, CallId, Persist, Proposal};
use super::persistence::PendingCommit;
use super::rejection::Rejection;
use super::{scheduled, Leader};
use crate::admission::AdmissionVerdict;
use crate::catalog::Catalog;
use crate::change::{Change, ChangeContext, Revision, ScheduledChange};
use crate::records::{Drain, Version};
use std::time::Duration;

/// Author of the revision that removes a scheduled change which was rejected when it was due.
const SERVICE_AUTHOR: &str = "the state service";

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
        self.persistence.check_capacity()?;
        for change in &mut changes {
            fill_in_drain(self.writer.catalog(), self.wall_time, change, &author);
        }
        let context = ChangeContext::by(&author, &reason, self.wall_time);
        if let Some(at) = at.filter(|at| *at > self.wall_time && !dry_run) {
            let scheduled = ScheduledChange {
                at,
                author: author.clone(),
                reason: reason.clone(),
                force,
                changes,
                expects: Vec::new(),
            };
            changes = vec![self.schedule(base_version, context, scheduled)?];
        }
        let revision = self
            .writer
            .catalog()
            .propose(base_version, context, changes)?;
        self.commit_revision(Some(call), revision, CommitMode { force, dry_run })
    }

    /// Returns the change that adds a scheduled change. Invalid changes are rejected at once rather
    /// than when they are due.
    fn schedule(
        &mut self,
        base_version: Version,
        context: ChangeContext,
        mut scheduled: ScheduledChange,
    ) -> Result<Change, Rejection> {
        let catalog = self.writer.catalog();
        catalog.propose(base_version, context, scheduled.changes.clone())?;
        let subjects = scheduled.changes.iter().map(Change::subject);
        scheduled.expects = subjects.map(|subject| catalog.now(&subject)).collect();
        Ok(Change::Scheduled {
            id: self.scheduled_ids.assign(),
            to: Some(scheduled),
        })
    }

    pub(super) fn undo(
        &mut self,
        call: CallId,
        revision: Version,
        context: ChangeContext,
        force: bool,
    ) -> Result<(), Rejection> {
        let revision = self.writer.catalog().undo(revision, context)?;
        let mode = CommitMode {
            force,
            dry_run: false,
        };
        self.commit_revision(Some(call), revision, mode)
    }

    /// Raises the version of the current state above all versions that hosts follow, which starts a
    /// new epoch.
    pub(super) fn force_epoch(
        &mut self,
        call: CallId,
        author: &str,
        reason: &str,
    ) -> Result<(), Rejection> {
        let behind = self.leases.behind().ok_or(Rejection::NotBehind)?;
        if self.persistence.has_pending_commits() {
            return Err(Rejection::CommitsPending);
        }
        let context = ChangeContext::by(author, reason, self.wall_time);
        let revision = self.writer.force_epoch(behind, context);
        self.leases.clear_behind();
        let commit = PendingCommit {
            version: revision.version,
            call: Some(call),
            verdict: AdmissionVerdict::default(),
            former_forced_at: self.epochs.forced_at(),
        };
        self.epochs.set_forced_at(revision.version);
        self.persistence
            .write_commit(Persist::EpochForced(revision), commit, &mut self.actions);
        Ok(())
    }

    /// Applies the scheduled changes that are due, and cancels those that are rejected.
    pub(super) fn apply_due_changes(&mut self) {
        if self.persistence.is_backing_off(self.now) {
            return;
        }
        for (id, scheduled) in scheduled::due(self.writer.catalog(), self.wall_time) {
            if let Err(rejection) = self.apply_scheduled(id, &scheduled) {
                self.cancel_scheduled(id, &scheduled, &rejection);
            }
        }
    }

    /// Applies the changes and, in the same revision, removes the scheduled change.
    fn apply_scheduled(&mut self, id: u64, scheduled: &ScheduledChange) -> Result<(), Rejection> {
        let catalog = self.writer.catalog();
        scheduled::check_expected(catalog, scheduled)?;
        let mut changes = scheduled.changes.clone();
        changes.push(Change::Scheduled { id, to: None });
        for change in &mut changes {
            fill_in_drain(catalog, self.wall_time, change, &scheduled.author);
        }
        let context = ChangeContext::by(&scheduled.author, &scheduled.reason, self.wall_time);
        let revision = catalog.propose(catalog.version(), context, changes)?;
        let mode = CommitMode {
            force: scheduled.force,
            dry_run: false,
        };
        self.commit_revision(None, revision, mode)
    }

    /// Removes a scheduled change that was rejected, and records the reason in the audit log.
    fn cancel_scheduled(&mut self, id: u64, scheduled: &ScheduledChange, rejection: &Rejection) {
        self.log_line(format!(
            "timed change {id} of {} lapses: {rejection}",
            scheduled.author
        ));
        let reason = format!("lapsed: {rejection}");
        let context = ChangeContext::by(SERVICE_AUTHOR, &reason, self.wall_time);
        let removal = vec![Change::Scheduled { id, to: None }];
        let catalog = self.writer.catalog();
        let landed = catalog
            .propose(catalog.version(), context, removal)
            .map_err(Rejection::from)
            .and_then(|revision| self.commit_revision(None, revision, CommitMode::default()));
        if let Err(rejection) = landed {
            self.log_line(rejection.to_string());
        }
    }

    /// Evaluates a proposed revision, applies it to the catalog and writes it. All proposed revisions
    /// pass through this method.
    fn commit_revision(
        &mut self,
        call: Option<CallId>,
        revision: Revision,
        mode: CommitMode,
    ) -> Result<(), Rejection> {
        match self
            .writer
            .admit(revision, mode, self.persistence.stable())?
        {
            CommitOutcome::Previewed { verdict } => {
                let preview = call.map(|call| Action::Preview { call, verdict });
                self.actions.extend(preview);
            }
            CommitOutcome::Applied { revision, verdict } => {
                let commit = PendingCommit {
                    version: revision.version,
                    call,
                    verdict,
                    former_forced_at: self.epochs.forced_at(),
                };
                self.persistence.write_commit(
                    Persist::Revision(revision),
                    commit,
                    &mut self.actions,
                );
            }
        }
        Ok(())
    }
}

/// Fills in who first requested a drain, when, and when the drain reached its stage. These stay
/// unchanged if a proposal repeats the current drain.
fn fill_in_drain(catalog: &Catalog, wall_time: Duration, change: &mut Change, author: &str) {
    let Change::Drain {
        node,
        to: Some(drain),
    } = change
    else {
        return;
    };
    let Some(present) = catalog.drain(*node) else {
        drain.author = author.into();
        drain.requested_at = wall_time;
        drain.since = wall_time;
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
        wall_time
    };
}
