//! The answers of a node to a host's attempts.
//!
//! Each host derives them from its own attempts and reports them. Pure functions.

use std::time::Duration;

/// The answers of a node to hosts' attempts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub enum Answers {
    /// Nothing is known, because no host has sent the node an attempt recently.
    #[default]
    None,
    /// The node completes attempts.
    Good,
    /// The node rejects attempts, fails them or does not respond.
    Bad,
}

/// A host's measurements of a node's answers.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct NodeHealth {
    /// The fraction of the node's load that the admission throttle admits, from 0 (ejected) to 1.
    pub admission_level: f64,
    /// Failed attempts in a row.
    pub consecutive_failures: u32,
    /// Time since the node last completed an attempt; None: never.
    pub since_success: Option<Duration>,
}

/// Admission level below which a node counts as bad: it is ejected, or nearly so. A higher value
/// counts a node as bad that only reduces its load; a lower one detects a bad node later.
const BAD_BELOW: f64 = 0.1;
/// Admission level that a bad node must reach to count as good again. The level rises by itself
/// while nothing is sent, so a lower value would end the bad state without evidence; a higher one
/// ends it later.
const GOOD_AGAIN_ABOVE: f64 = 0.5;
/// Consecutive failures after which a node counts as bad. With fewer, chance failures would count;
/// with more, a bad node is detected later.
const BAD_AFTER_FAILURES: u32 = 3;
/// Age beyond which a completed attempt is no evidence of the present state. A larger age counts a
/// node as good that no longer is; a smaller one loses the evidence on rarely used nodes.
const MAX_ANSWER_AGE: Duration = Duration::from_secs(10);

impl Answers {
    /// The answers that a host reports, given those that it reported before.
    ///
    /// ```
    /// use grebecleat_membership::answers::{Answers, NodeHealth};
    /// use std::time::Duration;
    /// let health = |admission_level, consecutive_failures, seconds| NodeHealth {
    ///     admission_level,
    ///     consecutive_failures,
    ///     since_success: Some(Duration::from_secs(seconds)),
    /// };
    /// assert_eq!(Answers::of(health(1.0, 0, 3), Answers::None), Answers::Good);
    /// assert_eq!(Answers::of(health(0.0, 0, 3), Answers::Good), Answers::Bad);
    /// assert_eq!(Answers::of(health(0.3, 0, 3), Answers::Bad), Answers::Bad);
    /// assert_eq!(Answers::of(health(0.6, 0, 30), Answers::Bad), Answers::None);
    /// ```
    pub fn of(health: NodeHealth, before: Answers) -> Answers {
        let least_level = match before {
            Answers::Bad => GOOD_AGAIN_ABOVE,
            Answers::None | Answers::Good => BAD_BELOW,
        };
        if health.admission_level < least_level || health.consecutive_failures >= BAD_AFTER_FAILURES
        {
            return Answers::Bad;
        }
        match health.since_success {
            Some(since) if since < MAX_ANSWER_AGE => Answers::Good,
            _ => Answers::None,
        }
    }
}
