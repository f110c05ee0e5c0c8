//! Outlier ejection: a node that does not answer, or that fails several times in a row, gets only trial
//! requests (Envoy's outlier detection).
//!
//! Ejection protects requests from nodes that hang, are cut off from the network or have died while the
//! endpoint list still names them, and from nodes that fail fast: those look idle and would attract every
//! request that any node can take. Its cost is that a short overload can eject a node for seconds, and so can
//! a single heavy request that is the only one at its node.
//!
//! Called by [`super::Scheduler`] in each tick and for each attempt outcome. Each node has a [`FailureStreak`],
//! which owns its failures and the time of its last success. Ejection sets the node's admission level to zero
//! ([`super::throttle`]).

use crate::api::{AttemptOutcome, EjectionReason};
use std::time::Duration;

/// Number of consecutive failures that ejects a node. With a larger value more requests fail at a dead node;
/// with a smaller one, nodes are ejected by chance, since one or two failures can be chance.
const EJECTION_THRESHOLD: u32 = 3;
/// Longest time without an answer while attempts are outstanding, as a multiple of the tightest latency
/// objective. With a larger value more requests time out at a dead node; with a smaller one, a single heavy
/// request ejects its node.
const SILENT_OBJECTIVES: u32 = 4;

/// Consecutive failures of one node.
#[derive(Debug, Default)]
pub(crate) struct FailureStreak {
    failures: u32,
    /// Time at which the node last completed an attempt, or became ready.
    last_success: Duration,
}

impl FailureStreak {
    /// Resets the streak, because the node has become ready or has completed an attempt.
    pub(crate) fn reset(&mut self, now: Duration) {
        self.failures = 0;
        self.last_success = now;
    }

    /// Counts a failure.
    pub(super) fn add(&mut self) {
        self.failures += 1;
    }

    /// Halves the failure count, so that older failures have less weight.
    pub(crate) fn decay(&mut self) {
        self.failures /= 2;
    }

    /// Returns whether the node has failed so often in a row that no new object should be placed there.
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

    /// Returns the reason to eject the node, if it has not answered for too long. `oldest_sent`: send time of
    /// the oldest attempt that is outstanding there.
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

/// Returns whether the outcome counts as a failure of the node.
pub(super) fn is_failure(outcome: AttemptOutcome) -> bool {
    use AttemptOutcome::{Cancelled, Completed, NotSent, TimedOut};
    !matches!(outcome, Completed | TimedOut | Cancelled | NotSent)
}

/// Returns whether the node did not accept the attempt. Only such failures eject a node. Error answers do
/// not, because a node that fails some requests may still serve others whose data is only there. Connection
/// resets do not either, because a single connection may break while the node keeps running; the port of a
/// dead node is closed.
pub(super) fn is_refusal(outcome: AttemptOutcome) -> bool {
    matches!(
        outcome,
        AttemptOutcome::QueueFull | AttemptOutcome::ConnectFailed
    )
}
