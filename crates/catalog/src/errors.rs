//! Errors of rejected changes, and of revisions that cannot be applied.
//!
//! [`crate::propose`], [`crate::validation`] and [`crate::catalog`] return them. Operators read the
//! texts.

use crate::change::Subject;
use crate::records::{Name, Version};
use thiserror::Error;

/// The reason why proposed changes make no revision.
#[derive(Debug, Clone, PartialEq, Error)]
pub enum ChangeError {
    /// The subject, or a subject that the change refers to, was changed after the author's base
    /// version.
    #[error("{subject} was changed meanwhile, by entry {} of {author}", .with.0)]
    Collision {
        /// The changed subject.
        subject: Subject,
        /// The revision that changed the subject.
        with: Version,
        /// The author of that revision.
        author: String,
    },
    /// The audit log does not reach back to the author's base version.
    #[error("looked at before entry {}, the oldest that is still known", .oldest.0)]
    TooOld {
        /// The oldest revision in the audit log.
        oldest: Version,
    },
    /// The author's base version does not exist here.
    #[error("looked at a version after {}, the latest", .latest.0)]
    Ahead {
        /// The catalog's version.
        latest: Version,
    },
    /// The subject does not exist.
    #[error("{0} does not exist")]
    Unknown(Subject),
    /// A subject that stays refers to the removed subject.
    #[error("{what} is in use by {by}")]
    InUse {
        /// The removed subject.
        what: Subject,
        /// The subject that refers to it.
        by: Subject,
    },
    /// Two of the changes have the same subject.
    #[error("{0} is changed twice at once")]
    Twice(Subject),
    /// The changes would leave the catalog as it is.
    #[error("changes nothing")]
    Empty,
    /// A value of the subject is not allowed.
    #[error("{subject}: {what}")]
    InvalidValue {
        /// The subject with the value.
        subject: Subject,
        /// The fault of the value.
        what: InvalidValue,
    },
}

/// The fault of a value of a plan, volume, node, drain or scheduled change.
#[derive(Debug, Clone, PartialEq, Error)]
pub enum InvalidValue {
    /// A value of a plan is negative, infinite or not a number.
    #[error("a figure is negative or no number")]
    NotANumber,
    /// A plan has a limit below its reservation. See [`crate::validation`] for why this is not
    /// allowed.
    #[error("its limit is below its reservation")]
    LimitBelowReservation,
    /// A plan has a limit and an empty token bucket.
    #[error("a limit needs a burst above 0")]
    NoBurst,
    /// Attempts decided earlier may exceed the limit by more than the slack.
    #[error("its slack is below what may still cross of its limit, {least}")]
    SlackTooSmall {
        /// The smallest valid slack, units.
        least: f64,
    },
    /// No host serves the volume.
    #[error("works through no host")]
    NoHost,
    /// The volume is served through a host that the deployment does not have.
    #[error("works through {0}, which is no host here")]
    UnknownHost(Name),
    /// The volume lists a host twice.
    #[error("works through one host twice")]
    HostTwice,
    /// The volume has size 0.
    #[error("has no blocks")]
    NoBlocks,
    /// A node's capacity is negative, infinite or not a number.
    #[error("its capacity is negative or no number")]
    Capacity,
    /// A node's name could be mistaken for the number of another node.
    #[error("its name, {0}, is a number and might be another's")]
    NameIsANumber(Name),
    /// Two nodes have the same name.
    #[error("node {other} is called {name} as well")]
    NameTaken {
        /// The node that has the name.
        other: u32,
        /// The name.
        name: Name,
    },
    /// Scheduled changes do not nest.
    #[error("a timed change within a timed change")]
    NestedSchedule,
    /// A drain would go back or skip a stage.
    #[error("cannot go from {from} to {to}")]
    StageOrder {
        /// Name of the present stage, or "none".
        from: &'static str,
        /// Name of the proposed stage.
        to: &'static str,
    },
    /// A volume is on a shard that has no node.
    #[error("its data may lie in cell {shard}, which no node holds")]
    ShardWithoutNode {
        /// The shard.
        shard: u32,
    },
}

/// The reason why a persisted revision cannot be applied to this state.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum OutOfOrder {
    /// The catalog already has this version or a newer one: the feed was reset to an older state.
    #[error("the revision is older than the state")]
    Older,
    /// Revisions before this one are missing.
    #[error("revisions from {} on are missing", .expected.0)]
    Gap {
        /// The next version that can be applied.
        expected: Version,
    },
}
