//! The state of one drain: its record in the catalog, and the progress that only this process
//! knows.
//!
//! Owned by the node table; `stages` decides its next stage.

use super::messages::ProposalId;
use super::MIN_TIME_AFTER_RESTART;
use grebecleat_catalog::records::{Drain, Name, Stage, Version};
use std::time::Duration;

/// A drain; see the module.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct DrainState {
    pub stage: Stage,
    /// Timeout of the drain; zero: none.
    pub timeout: Duration,
    pub author: Name,
    /// When the drain was first requested, since 1970.
    pub requested_at: Duration,
    /// When the stage last changed, since 1970.
    pub since: Duration,
    /// The catalog's version with the latest change of the drain.
    pub version: Version,
    /// When the drain is given up, by this process's clock; None: never.
    pub expires_at: Option<Duration>,
    /// The most attempts in flight since the drain began.
    pub peak_attempts: u32,
    /// The reason why the drain is still queued.
    pub waits_for: String,
    /// When the drain is proposed again.
    pub retry_at: Duration,
    /// The proposal that has no outcome yet.
    pub pending: Option<Pending>,
}

/// A proposal that has no outcome yet.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct Pending {
    pub proposal: ProposalId,
    /// The proposed stage; None: the end of the drain.
    pub stage: Option<Stage>,
}

impl DrainState {
    /// A drain as it was persisted. `same_stage`: the former state, if it has the same stage.
    pub fn new(
        drain: Drain,
        version: Version,
        same_stage: Option<DrainState>,
        now: Duration,
        wall: Duration,
    ) -> Self {
        let expires_at = same_stage.as_ref().and_then(|before| before.expires_at);
        DrainState {
            stage: drain.stage,
            timeout: drain.timeout,
            requested_at: drain.requested_at,
            since: drain.since,
            version,
            expires_at: expires_at.or_else(|| expiry(&drain, now, wall)),
            peak_attempts: same_stage.map_or(0, |before| before.peak_attempts),
            waits_for: String::new(),
            retry_at: now,
            // The outcome of an earlier proposal may still come, and is then ignored.
            pending: None,
            author: drain.author,
        }
    }

    /// Returns whether the drain waits for the outcome of that proposal.
    pub fn awaits(&self, proposal: ProposalId) -> bool {
        let pending = self.pending.as_ref();
        pending.is_some_and(|pending| pending.proposal == proposal)
    }
}

/// When a drain is given up. For a drain from before this process started, only the wall clock
/// measures how long it has run.
fn expiry(drain: &Drain, now: Duration, wall: Duration) -> Option<Duration> {
    if drain.timeout.is_zero() {
        return None;
    }
    let most = drain.timeout.saturating_sub(MIN_TIME_AFTER_RESTART);
    let spent = wall.saturating_sub(drain.since).min(most);
    Some(now + (drain.timeout - spent))
}

/// The notice to operators that a drain is at a new stage.
pub(super) fn stage_notice(drain: &Drain) -> String {
    match drain.stage {
        Stage::Queued => format!("{} wants it empty, in its turn", drain.author),
        Stage::Draining => format!("drains, as {} wants", drain.author),
        Stage::Drained => "empty: nothing that was sent to it is under way".into(),
        Stage::Removed => "taken out".into(),
    }
}
