//! Epochs: which versions of hosts are part of this history, and how an operator begins a new
//! epoch.
//!
//! A store that was restored from a snapshot begins a new epoch, and hosts say in which epoch they
//! followed what they have: versions alone would be taken for the same history once as many new
//! ones have landed.

use super::messages::{CallId, Epoch, Persist};
use super::pending::PendingCommit;
use super::rejection::Rejection;
use super::Leader;
use crate::admission::AdmissionVerdict;
use crate::change::ChangeContext;
use crate::records::Version;

impl Leader {
    /// Whether what was followed in that epoch up to that version is part of this history.
    pub(super) fn is_shared_history(&self, epoch: Epoch, applied: Version) -> bool {
        let upto = if epoch == self.epoch {
            Some(self.catalog.version())
        } else {
            let earlier = self.epochs.iter().find(|earlier| earlier.0 == epoch);
            earlier.map(|(_, upto)| *upto)
        };
        upto.is_some_and(|upto| applied <= upto)
    }

    /// Hosts have followed what is not known here any more: the present state gets a version beyond
    /// theirs.
    pub(super) fn force_epoch(
        &mut self,
        call: CallId,
        author: &str,
        reason: &str,
    ) -> Result<(), Rejection> {
        let behind = self.leases.behind().ok_or(Rejection::NotBehind)?;
        if !self.pending_commits.is_empty() {
            return Err(Rejection::CommitsPending);
        }
        let by = ChangeContext::by(author, reason, self.wall);
        let revision = self.catalog.force_epoch(behind, by);
        let version = revision.version;
        self.catalog
            .apply(revision.clone())
            .expect("beyond all versions");
        self.limit_reductions.add(version, true);
        self.leases.clear_behind();
        let epoch_forced_at = std::mem::replace(&mut self.epoch_forced_at, version);
        let number = self.persist(Persist::EpochForced(revision));
        self.pending_commits.push_back(PendingCommit {
            number,
            version,
            call: Some(call),
            verdict: AdmissionVerdict::default(),
            epoch_forced_at,
        });
        Ok(())
    }
}
