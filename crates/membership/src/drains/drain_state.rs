//! The state of one drain: its record in the catalog, and the progress between two stages, which
//! the catalog does not contain.
//!
//! The node table owns each drain; `stages` decides its next stage.

use super::messages::ProposalId;
use super::MIN_TIME_AFTER_RESTART;
use grebecleat_catalog::records::{Drain, Name, Stage, Version};
use std::time::Duration;

/// A drain; see the module documentation.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct DrainState {
    pub stage: Stage,
    /// Timeout of the drain. Zero if it has none.
    pub timeout: Duration,
    pub author: Name,
    /// When the drain was first requested, since 1970.
    pub requested_at: Duration,
    /// When the stage last changed, since 1970.
    pub since: Duration,
    /// The version of the catalog that contains the latest change of the drain.
    pub version: Version,
    /// When the drain is canceled, by this process's clock. `None` if it has no timeout.
    pub expires_at: Option<Duration>,
    /// The largest number of attempts in flight since draining began.
    pub peak_attempts: u32,
    /// The reason why the drain cannot begin or its last proposal was rejected; empty if there is
    /// none.
    pub blocked_by: String,
    /// When a queued drain is proposed again.
    pub retry_at: Duration,
    /// The proposal that has no outcome yet.
    pub pending: Option<PendingProposal>,
}

/// A proposal that has no outcome yet.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct PendingProposal {
    pub proposal: ProposalId,
    /// The proposed stage. `None` proposes to end the drain.
    pub stage: Option<Stage>,
}

impl DrainState {
    /// Creates the state of a drain as it was persisted. `former_same_stage` is the former state of the
    /// drain if that has the same stage; its progress and its timeout continue.
    pub fn new(
        drain: Drain,
        version: Version,
        former_same_stage: Option<DrainState>,
        now: Duration,
        wall: Duration,
    ) -> Self {
        let expires_at = former_same_stage
            .as_ref()
            .and_then(|before| before.expires_at);
        DrainState {
            stage: drain.stage,
            timeout: drain.timeout,
            requested_at: drain.requested_at,
            since: drain.since,
            version,
            expires_at: expires_at.or_else(|| expiry(&drain, now, wall)),
            peak_attempts: former_same_stage.map_or(0, |before| before.peak_attempts),
            blocked_by: String::new(),
            retry_at: now,
            // The outcome of an earlier proposal may still arrive, and is then ignored.
            pending: None,
            author: drain.author,
        }
    }

    /// Returns whether the drain waits for the outcome of a proposal.
    pub fn awaits(&self, proposal: ProposalId) -> bool {
        let pending = self.pending.as_ref();
        pending.is_some_and(|pending| pending.proposal == proposal)
    }
}

/// Returns when a drain is canceled. For a drain that began before this process started, only the
/// wall clock measures how long it has run.
fn expiry(drain: &Drain, now: Duration, wall: Duration) -> Option<Duration> {
    if drain.timeout.is_zero() {
        return None;
    }
    let max_elapsed = drain.timeout.saturating_sub(MIN_TIME_AFTER_RESTART);
    let elapsed = wall.saturating_sub(drain.since).min(max_elapsed);
    Some(now + (drain.timeout - elapsed))
}

/// Returns the notice to operators that a drain has reached a new stage.
pub(super) fn stage_notice(drain: &Drain) -> String {
    match drain.stage {
        Stage::Queued => format!("drain queued by {}", drain.author),
        Stage::Draining => format!("draining, requested by {}", drain.author),
        Stage::Drained => "drained: no host has an attempt in flight".into(),
        Stage::Removed => "removed".into(),
    }
}
