//! What is on its way to the disk, and what follows from the disk's answers.
//!
//! Revisions, the stable version and what hosts have acknowledged are written in order under
//! consecutive numbers. If a write fails, it and all after it never happened: the catalog goes
//! back, and the callers are rejected.

use super::messages::{Action, Persist};
use super::pending::{PendingApplied, PendingCommit, PendingStable};
use super::rejection::Rejection;
use super::Leader;
use crate::feed::{HostNumber, LimitReductions};
use std::time::Duration;

/// How long nothing is written after a write has failed.
const PERSIST_RETRY_DELAY: Duration = Duration::from_secs(1);

impl Leader {
    /// Sends something to the disk; returns its number.
    pub(super) fn persist(&mut self, what: Persist) -> u64 {
        self.last_number += 1;
        self.actions.push(Action::Persist {
            number: self.last_number,
            what,
        });
        self.last_number
    }

    pub(super) fn handle_persisted(&mut self, upto: u64) {
        let is_persisted = |commit: &mut PendingCommit| commit.number <= upto;
        while let Some(commit) = self.pending_commits.pop_front_if(is_persisted) {
            self.persisted = commit.version;
            if let Some(call) = commit.call {
                self.actions.push(Action::Committed {
                    call,
                    version: commit.version,
                    verdict: commit.verdict,
                });
            }
        }
        let stable = self
            .pending_stable
            .take_if(|pending| pending.number <= upto);
        if let Some(stable) = stable {
            self.stable_persisted = stable.version;
            self.limit_reductions.forget(stable.version);
            self.catalog.need(stable.version);
        }
        let still_pending = self.pending_applied.split_off(&(upto + 1));
        for applied in std::mem::replace(&mut self.pending_applied, still_pending).into_values() {
            self.applied_persisted.insert(applied.host, applied.version);
        }
    }

    /// What was decided and could not be persisted never happened.
    pub(super) fn handle_persist_failed(&mut self, reason: String) {
        for commit in std::mem::take(&mut self.pending_commits).into_iter().rev() {
            if let Some(revision) = self.catalog.revert_last() {
                self.admission.undo(&self.catalog, &revision.changes);
            }
            self.epoch_forced_at = commit.epoch_forced_at;
            let rejection = Rejection::PersistFailed {
                reason: reason.clone(),
            };
            match commit.call {
                Some(call) => self.reject(call, &rejection),
                None => self.note(rejection.to_string()),
            }
        }
        self.limit_reductions = LimitReductions::new(self.stable_persisted);
        for revision in self.catalog.audit_log() {
            if revision.version > self.stable_persisted {
                self.limit_reductions
                    .add(revision.version, revision.lowers_limits);
            }
        }
        self.pending_stable = None;
        self.pending_applied.clear();
        self.retry_at = self.now + PERSIST_RETRY_DELAY;
        self.void_upto = self.last_number;
        self.note(Rejection::PersistFailed { reason }.to_string());
    }

    /// Persists the stable version before a host learns of it. Of versions that are on their way
    /// to the disk no host knows, so none of them is stable.
    pub(super) fn persist_stable(&mut self) {
        let version = self
            .leases
            .stable(self.now, &self.limit_reductions, self.persisted);
        let is_new = version > self.stable_persisted && self.pending_stable.is_none();
        if is_new && self.now >= self.retry_at {
            let number = self.persist(Persist::Stable(version));
            self.pending_stable = Some(PendingStable { number, version });
        }
    }

    /// Persists what a host has acknowledged. Once it was granted anything, it must never again be
    /// taken for one that was not; and if what it has were lost, revisions that wait for it would
    /// wait again after a start.
    pub(super) fn persist_applied(&mut self, host: HostNumber) {
        let version = self.leases.applied(host).unwrap_or_default();
        let is_persisted = self.applied_persisted.get(&host) == Some(&version);
        let is_pending = self
            .pending_applied
            .values()
            .any(|pending| pending.host == host);
        if !is_persisted && !is_pending && self.now >= self.retry_at {
            let number = self.persist(Persist::Applied(host, version));
            self.pending_applied
                .insert(number, PendingApplied { host, version });
        }
    }
}
