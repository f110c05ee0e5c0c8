//! Tracks writes to the disk: which are pending, which are complete, and which a failed write
//! cancels.
//!
//! The leader calls [`Persistence`] for everything that it writes: revisions, the stable version,
//! and the versions that hosts have acknowledged. Writes are issued in order with consecutive
//! numbers. If one fails, it and all writes after it are cancelled.
//!
//! The state is the pending writes and the persisted versions: at most [`MAX_PENDING_COMMITS`]
//! revisions, and two entries for each host.

use super::messages::{Action, CallId, Persist};
use super::rejection::{Rejection, MAX_PENDING_COMMITS};
use crate::admission::AdmissionVerdict;
use crate::feed::HostNumber;
use crate::records::Version;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// How long the leader stops writing after a failed write. A shorter delay causes more futile writes
/// to a faulty disk; a longer one delays changes after the disk has recovered.
const PERSIST_RETRY_DELAY: Duration = Duration::from_secs(1);

/// A revision that is applied and not yet persisted.
#[derive(Debug)]
pub(super) struct PendingCommit {
    /// The version of the revision.
    pub version: Version,
    /// The caller that waits for the commit, if any.
    pub call: Option<CallId>,
    /// The effect of the revision on reservations.
    pub verdict: AdmissionVerdict,
    /// The version of the last forced epoch before this revision.
    pub former_forced_at: Version,
}

/// A stable version that is not yet persisted.
#[derive(Debug)]
struct PendingStable {
    number: u64,
    version: Version,
}

/// A host's acknowledged version that is not yet persisted.
#[derive(Debug)]
struct PendingApplied {
    host: HostNumber,
    version: Version,
}

/// What a completed write has persisted.
#[derive(Debug, Default)]
pub(super) struct Completed {
    /// Revisions that are now persisted, oldest first.
    pub commits: Vec<PendingCommit>,
    /// The stable version, if the write has persisted a new one.
    pub stable: Option<Version>,
}

/// The pending and the persisted writes. See the module documentation.
#[derive(Debug)]
pub(super) struct Persistence {
    /// Number of the last write.
    last_number: u64,
    /// Results of writes up to this number are ignored, because those writes were cancelled.
    cancelled_upto: u64,
    /// The leader writes nothing before this time.
    retry_at: Duration,
    /// Revisions with the numbers of their writes, oldest first.
    commits: VecDeque<(u64, PendingCommit)>,
    pending_stable: Option<PendingStable>,
    /// Acknowledged versions by number of their write.
    pending_applied: BTreeMap<u64, PendingApplied>,
    /// The newest persisted version.
    persisted: Version,
    persisted_stable: Version,
    persisted_applied: BTreeMap<HostNumber, Version>,
}

impl Persistence {
    /// The state when the leader starts, from the versions on the disk.
    pub fn new(
        persisted: Version,
        stable: Version,
        applied: BTreeMap<HostNumber, Version>,
    ) -> Self {
        Persistence {
            last_number: 0,
            cancelled_upto: 0,
            retry_at: Duration::ZERO,
            commits: VecDeque::new(),
            pending_stable: None,
            pending_applied: BTreeMap::new(),
            persisted,
            persisted_stable: stable,
            persisted_applied: applied,
        }
    }

    /// The newest persisted version.
    pub fn persisted(&self) -> Version {
        self.persisted
    }

    /// The newest persisted stable version.
    pub fn stable(&self) -> Version {
        self.persisted_stable
    }

    /// Returns whether an acknowledged version of the host is persisted. Only then may the host be
    /// granted a lease.
    pub fn has_applied(&self, host: HostNumber) -> bool {
        self.persisted_applied.contains_key(&host)
    }

    /// When the leader may write again after a failed write.
    pub fn retry_at(&self) -> Duration {
        self.retry_at
    }

    /// Returns whether the leader does not write at present, because a write failed recently.
    pub fn is_backing_off(&self, now: Duration) -> bool {
        now < self.retry_at
    }

    /// Returns whether a revision is pending.
    pub fn has_pending_commits(&self) -> bool {
        !self.commits.is_empty()
    }

    /// # Errors
    /// [`Rejection::TooManyPending`] if [`MAX_PENDING_COMMITS`] revisions are pending.
    pub fn check_capacity(&self) -> Result<(), Rejection> {
        if self.commits.len() >= MAX_PENDING_COMMITS {
            return Err(Rejection::TooManyPending);
        }
        Ok(())
    }

    /// Writes a revision.
    pub fn write_commit(&mut self, what: Persist, commit: PendingCommit, out: &mut Vec<Action>) {
        let number = self.write(what, out);
        self.commits.push_back((number, commit));
    }

    /// Writes the stable version, so that it is persisted before a host learns of it.
    pub fn write_stable(&mut self, now: Duration, version: Version, out: &mut Vec<Action>) {
        let is_new = version > self.persisted_stable && self.pending_stable.is_none();
        if is_new && !self.is_backing_off(now) {
            let number = self.write(Persist::Stable(version), out);
            self.pending_stable = Some(PendingStable { number, version });
        }
    }

    /// Writes the version that a host has acknowledged. A host that was granted a lease once must
    /// never again count as one that was not. If the version were lost, revisions that wait for the
    /// host would wait again after a restart.
    pub fn write_applied(
        &mut self,
        now: Duration,
        host: HostNumber,
        version: Version,
        out: &mut Vec<Action>,
    ) {
        let is_persisted = self.persisted_applied.get(&host) == Some(&version);
        let is_pending = self
            .pending_applied
            .values()
            .any(|pending| pending.host == host);
        if !is_persisted && !is_pending && !self.is_backing_off(now) {
            let number = self.write(Persist::Applied(host, version), out);
            self.pending_applied
                .insert(number, PendingApplied { host, version });
        }
    }

    /// Completes all writes up to a number. Ignores cancelled writes, which the disk may still
    /// report.
    pub fn complete(&mut self, upto: u64) -> Completed {
        let mut completed = Completed::default();
        if upto <= self.cancelled_upto {
            return completed;
        }
        let is_persisted = |commit: &mut (u64, PendingCommit)| commit.0 <= upto;
        while let Some((_, commit)) = self.commits.pop_front_if(is_persisted) {
            self.persisted = commit.version;
            completed.commits.push(commit);
        }
        let stable = self
            .pending_stable
            .take_if(|pending| pending.number <= upto);
        if let Some(stable) = stable {
            self.persisted_stable = stable.version;
            completed.stable = Some(stable.version);
        }
        let still_pending = self.pending_applied.split_off(&(upto + 1));
        for applied in std::mem::replace(&mut self.pending_applied, still_pending).into_values() {
            self.persisted_applied.insert(applied.host, applied.version);
        }
        completed
    }

    /// Cancels all pending writes after a write has failed, and returns the cancelled revisions,
    /// newest first. Returns `None` if the failed write was already cancelled.
    pub fn cancel_all(&mut self, now: Duration, number: u64) -> Option<Vec<PendingCommit>> {
        if number <= self.cancelled_upto {
            return None;
        }
        self.pending_stable = None;
        self.pending_applied.clear();
        self.retry_at = now + PERSIST_RETRY_DELAY;
        self.cancelled_upto = self.last_number;
        let commits = std::mem::take(&mut self.commits);
        Some(
            commits
                .into_iter()
                .rev()
                .map(|(_, commit)| commit)
                .collect(),
        )
    }

    /// Emits a write and returns its number.
    fn write(&mut self, what: Persist, out: &mut Vec<Action>) -> u64 {
        self.last_number += 1;
        out.push(Action::Persist {
            number: self.last_number,
            what,
        });
        self.last_number
    }
}
