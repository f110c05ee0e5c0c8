//! How a node answers what a host sends it.

use std::time::Duration;

/// How a node answers what hosts send it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub enum Answers {
    /// Nothing is known: no host has sent it anything lately.
    #[default]
    None,
    /// It completes attempts.
    Good,
    /// It refuses, fails or does not answer.
    Bad,
}

/// What a host's decisions know of a node's answers.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct NodeHealth {
    /// The fraction of its load that the admission throttle lets go there, from 0 (ejected) to 1.
    pub admission_level: f64,
    /// Failed attempts in a row.
    pub consecutive_failures: u32,
    /// Time since it last completed an attempt; None: never.
    pub since_success: Option<Duration>,
}

/// Below this admission level a node is ejected, or nearly so.
const BAD_BELOW: f64 = 0.1;
/// What the admission level must reach before a bad node counts as good again: the level rises by
/// itself while nothing is sent.
const GOOD_AGAIN_ABOVE: f64 = 0.5;
/// One or two failures can be chance.
const BAD_AFTER_FAILURES: u32 = 3;
/// An older answer says nothing of now.
const MAX_ANSWER_AGE: Duration = Duration::from_secs(10);

impl Answers {
    /// What a host reports of a node's answers, given what it reported before.
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
