//! Proposals of operators, scheduled changes and forced epochs, from the call to the write.
//!
//! The leader's shell calls these methods for each such call, and [`Leader::land_scheduled`] at
//! each step. A revision lands in one place: [`Leader::land`].

use super::catalog_writer::{Landing, LandingMode};
use super::messages::{Action, CallId, Persist, Proposal};
use super::persistence::PendingCommit;
use super::rejection::Rejection;
use super::{scheduled, Leader};
use crate::admission::AdmissionVerdict;
use crate::catalog::Catalog;
use crate::change::{Change, ChangeContext, Revision, ScheduledChange};
use crate::records::{Drain, Version};
use std::time::Duration;

/// Author of the revision that removes a lapsed scheduled change.
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
            fill_in_drain(self.writer.catalog(), self.wall, change, &author);
        }
        let by = ChangeContext::by(&author, &reason, self.wall);
        if let Some(at) = at.filter(|at| *at > self.wall && !dry_run) {
            let scheduled = ScheduledChange {
                at,
                author: author.clone(),
                reason: reason.clone(),
                force,
                changes,
                expects: Vec::new(),
            };
            changes = vec![self.schedule(base_version, by, scheduled)?];
        }
        let revision = self.writer.catalog().propose(base_version, by, changes)?;
        self.land(Some(call), revision, LandingMode { force, dry_run })
    }

    /// Returns the change that adds a scheduled change. Rejects it now if it is invalid by itself,
    /// rather than when it lands.
    fn schedule(
        &mut self,
        base_version: Version,
        by: ChangeContext,
        mut scheduled: ScheduledChange,
    ) -> Result<Change, Rejection> {
        let catalog = self.writer.catalog();
        catalog.propose(base_version, by, scheduled.changes.clone())?;
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
        by: ChangeContext,
        force: bool,
    ) -> Result<(), Rejection> {
        let revision = self.writer.catalog().undo(revision, by)?;
        let mode = LandingMode {
            force,
            dry_run: false,
        };
        self.land(Some(call), revision, mode)
    }

    /// Gives the present state a version beyond all that hosts follow, which starts a new epoch.
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
        let by = ChangeContext::by(author, reason, self.wall);
        let revision = self.writer.force_epoch(behind, by);
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

    /// Lands the scheduled changes that are due. One that is rejected lapses.
    pub(super) fn land_scheduled(&mut self) {
        if self.persistence.is_backing_off(self.now) {
            return;
        }
        for (id, scheduled) in scheduled::due(self.writer.catalog(), self.wall) {
            if let Err(rejection) = self.land_one_scheduled(id, &scheduled) {
                self.lapse(id, &scheduled, &rejection);
            }
        }
    }

    /// Lands the changes and, in the same revision, removes the scheduled change.
    fn land_one_scheduled(
        &mut self,
        id: u64,
        scheduled: &ScheduledChange,
    ) -> Result<(), Rejection> {
        let catalog = self.writer.catalog();
        scheduled::check_expected(catalog, scheduled)?;
        let mut changes = scheduled.changes.clone();
        changes.push(Change::Scheduled { id, to: None });
        for change in &mut changes {
            fill_in_drain(catalog, self.wall, change, &scheduled.author);
        }
        let by = ChangeContext::by(&scheduled.author, &scheduled.reason, self.wall);
        let revision = catalog.propose(catalog.version(), by, changes)?;
        let mode = LandingMode {
            force: scheduled.force,
            dry_run: false,
        };
        self.land(None, revision, mode)
    }

    /// Removes a scheduled change that was rejected; the audit log states the reason.
    fn lapse(&mut self, id: u64, scheduled: &ScheduledChange, rejection: &Rejection) {
        self.note(format!(
            "timed change {id} of {} lapses: {rejection}",
            scheduled.author
        ));
        let reason = format!("lapsed: {rejection}");
        let by = ChangeContext::by(SERVICE_AUTHOR, &reason, self.wall);
        let removal = vec![Change::Scheduled { id, to: None }];
        let catalog = self.writer.catalog();
        let landed = catalog
            .propose(catalog.version(), by, removal)
            .map_err(Rejection::from)
            .and_then(|revision| self.land(None, revision, LandingMode::default()));
        if let Err(rejection) = landed {
            self.note(rejection.to_string());
        }
    }

    /// The one place where a proposed revision lands: it is judged, applied to the catalog and
    /// written.
    fn land(
        &mut self,
        call: Option<CallId>,
        revision: Revision,
        mode: LandingMode,
    ) -> Result<(), Rejection> {
        match self
            .writer
            .land(revision, mode, self.persistence.stable())?
        {
            Landing::Previewed { verdict } => {
                let preview = call.map(|call| Action::Preview { call, verdict });
                self.actions.extend(preview);
            }
            Landing::Applied { revision, verdict } => {
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

/// Fills in who first requested a drain, when, and since when it is at its stage. A proposal that
/// repeats the present drain changes none of these.
fn fill_in_drain(catalog: &Catalog, wall: Duration, change: &mut Change, author: &str) {
    let Change::Drain {
        node,
        to: Some(drain),
    } = change
    else {
        return;
    };
    let Some(present) = catalog.drain(*node) else {
        drain.author = author.into();
        drain.requested_at = wall;
        drain.since = wall;
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
    drain.since = if *stage == drain.stage { *since } else { wall };
}
