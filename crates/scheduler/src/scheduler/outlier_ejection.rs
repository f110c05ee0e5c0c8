//! Outlier ejection: a node that stays silent, or fails several times in a row, gets trial requests only
//! (Envoy's outlier detection).
//!
//! Guards against hangs, cut links and dead nodes that the endpoint list still shows, and against nodes that
//! fail fast: those look idle and would attract every request that any node can take. Harm: a short overload
//! can eject a node for seconds; so can a single heavy request that is alone at its node.
//!
//! Called by [`super::Scheduler`] each tick and for each outcome. [`FailureStreak`], one a node, owns the
//! node's failures and its last success. An ejected node's admission level is zero ([`super::throttle`]).

use crate::api::{AttemptOutcome, EjectionReason};
use std::time::Duration;

/// Consecutive failures that eject a node; one or two can be chance. Larger: more requests fail at a dead node.
/// Smaller: chance ejects nodes.
const EJECTION_THRESHOLD: u32 = 3;
/// Longest silence with attempts outstanding, in latency objectives. Larger: more requests time out at a dead
/// node. Smaller: one heavy request alone counts as silence.
const SILENT_OBJECTIVES: u32 = 4;

/// Consecutive failures of one node.
#[derive(Debug, Default)]
pub(crate) struct FailureStreak {
    failures: u32,
    /// Time at which the node last completed an attempt, or came up.
    last_success: Duration,
}

impl FailureStreak {
    /// Starts anew: the node came up, or completed an attempt.
    pub(crate) fn reset(&mut self, now: Duration) {
        self.failures = 0;
        self.last_success = now;
    }

    /// Counts a failure.
    pub(super) fn add(&mut self) {
        self.failures += 1;
    }

    /// Lets older failures weigh less.
    pub(crate) fn fade(&mut self) {
        self.failures /= 2;
    }

    /// Returns whether the node has failed so often in a row that no new object should go there.
    pub(super) fn is_outlier(&self) -> bool {
        self.failures >= EJECTION_THRESHOLD
    }

    /// Returns the reason to eject the node after this outcome, if it has failed too often in a row.
    pub(super) fn ejection(&self, outcome: AttemptOutcome) -> Option<EjectionReason> {
        let failures = self.failures;
        self.is_outlier().then_some(match outcome {
            AttemptOutcome::QueueFull => EjectionReason::QueueFull { failures },
            _ => EjectionReason::ConnectFailed { failures },
        })
    }

    /// Returns the reason to eject the node, if it has been silent for too long. `oldest_sent`: sending time of
    /// the oldest attempt outstanding there.
    pub(super) fn silence(
        &self,
        oldest_sent: Option<Duration>,
        tightest_objective: Duration,
        now: Duration,
    ) -> Option<EjectionReason> {
        let silent_since = self.last_success.max(oldest_sent?);
        let too_long = now > silent_since + tightest_objective * SILENT_OBJECTIVES;
        too_long.then(|| EjectionReason::Silent {
            silent_for: now - silent_since,
        })
    }

    pub(super) fn failures(&self) -> u32 {
        self.failures
    }

    pub(super) fn last_success(&self) -> Duration {
        self.last_success
    }
}

/// Returns whether the outcome counts against the node.
pub(super) fn is_failure(outcome: AttemptOutcome) -> bool {
    use AttemptOutcome::{Cancelled, Completed, NotSent, TimedOut};
    !matches!(outcome, Completed | TimedOut | Cancelled | NotSent)
}

/// Returns whether the node took no attempt: such failures eject it. Errors do not, since a node that fails some
/// requests may still serve others whose data is only there. Resets do not either, since a connection may end
/// alone: a node that died has a closed port.
pub(super) fn is_refusal(outcome: AttemptOutcome) -> bool {
    matches!(
        outcome,
        AttemptOutcome::QueueFull | AttemptOutcome::ConnectFailed
    )
}
