//! The health of a node, as one host sees it in the responses to its attempts.
//!
//! Each host derives it from its own attempts and reports it to the catalog service. This module
//! has pure functions only.

use std::time::Duration;

/// How well a node responds to the attempts of a host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub enum ResponseHealth {
    /// Unknown, because the node completed no attempt recently and gave no evidence of being bad.
    #[default]
    None,
    /// The node completes attempts.
    Good,
    /// The node rejects attempts, fails them or does not respond.
    Bad,
}

/// A host's measurements of its attempts at a node.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AttemptMeasurements {
    /// The fraction of the node's load that the admission throttle admits, from 0 (ejected) to 1.
    pub admission_level: f64,
    /// Failed attempts in a row.
    pub consecutive_failures: u32,
    /// Time since the node last completed an attempt. `None` if it never did.
    pub since_success: Option<Duration>,
}

/// Admission level below which a node counts as bad: it is ejected, or nearly so. A higher value
/// would report a node as bad that is merely throttled; a lower one detects a bad node later.
const BAD_BELOW_LEVEL: f64 = 0.1;
/// Admission level that a bad node must reach before it is no longer reported as bad. The level
/// rises by itself while nothing is sent, so a lower value would end the bad state without
/// evidence; a higher one ends it later.
const RECOVERY_LEVEL: f64 = 0.5;
/// Number of consecutive failures after which a node counts as bad. With a smaller number, isolated
/// failures would suffice; with a larger one, a bad node is detected later.
const BAD_AFTER_FAILURES: u32 = 3;
/// Age beyond which a completed attempt no longer shows that a node is good. A larger age would
/// report a node as good that no longer is; a smaller one loses the evidence on rarely used nodes.
const MAX_SUCCESS_AGE: Duration = Duration::from_secs(10);

impl ResponseHealth {
    /// Returns the value that a host reports, given its measurements and its previous report.
    ///
    /// ```
    /// use grebecleat_membership::answers::{ResponseHealth, AttemptMeasurements};
    /// use std::time::Duration;
    /// let health = |admission_level, consecutive_failures, seconds| AttemptMeasurements {
    ///     admission_level,
    ///     consecutive_failures,
    ///     since_success: Some(Duration::from_secs(seconds)),
    /// };
    /// assert_eq!(ResponseHealth::of(health(1.0, 0, 3), ResponseHealth::None), ResponseHealth::Good);
    /// assert_eq!(ResponseHealth::of(health(0.0, 0, 3), ResponseHealth::Good), ResponseHealth::Bad);
    /// assert_eq!(ResponseHealth::of(health(0.3, 0, 3), ResponseHealth::Bad), ResponseHealth::Bad);
    /// assert_eq!(ResponseHealth::of(health(0.6, 0, 30), ResponseHealth::Bad), ResponseHealth::None);
    /// ```
    pub fn of(health: AttemptMeasurements, before: ResponseHealth) -> ResponseHealth {
        let min_level = match before {
            ResponseHealth::Bad => RECOVERY_LEVEL,
            ResponseHealth::None | ResponseHealth::Good => BAD_BELOW_LEVEL,
        };
        if health.admission_level < min_level || health.consecutive_failures >= BAD_AFTER_FAILURES {
            return ResponseHealth::Bad;
        }
        match health.since_success {
            Some(since) if since < MAX_SUCCESS_AGE => ResponseHealth::Good,
            _ => ResponseHealth::None,
        }
    }
}
