//! Errors of rejected changes, and of revisions that cannot be applied.
//!
//! [`crate::propose`], [`crate::validation`] and [`crate::catalog`] return them. The messages are
//! shown to operators.

use crate::change::Subject;
use crate::records::{Name, Version};
use thiserror::Error;

/// The reason why proposed changes are rejected.
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
    #[error("the base version is older than entry {}, the oldest in the audit log", .oldest.0)]
    TooOld {
        /// The oldest revision in the audit log.
        oldest: Version,
    },
    /// The author's base version is newer than the catalog.
    #[error("the base version is newer than version {}, the latest", .latest.0)]
    FutureVersion {
        /// The catalog's version.
        latest: Version,
    },
    /// The subject does not exist.
    #[error("{0} does not exist")]
    Unknown(Subject),
    /// A subject that is not removed refers to the removed subject.
    #[error("{what} is in use by {by}")]
    InUse {
        /// The removed subject.
        what: Subject,
        /// The subject that refers to it.
        by: Subject,
    },
    /// Two of the changes have the same subject.
    #[error("{0} is changed twice at once")]
    DuplicateSubject(Subject),
    /// The changes would leave the catalog as it is.
    #[error("changes nothing")]
    NoChange,
    /// A value of the subject is invalid.
    #[error("{subject}: {what}")]
    InvalidValue {
        /// The subject with the value.
        subject: Subject,
        /// What is wrong with the value.
        what: InvalidValue,
    },
}

/// What is wrong with a value of a plan, volume, node, drain or scheduled change.
#[derive(Debug, Clone, PartialEq, Error)]
pub enum InvalidValue {
    /// A value of a plan is negative, infinite or not a number.
    #[error("a figure is negative or no number")]
    InvalidNumber,
    /// A plan has a limit below its reservation. See [`crate::validation`] for why this is not
    /// allowed.
    #[error("its limit is below its reservation")]
    LimitBelowReservation,
    /// A plan has a limit and a token bucket of capacity 0.
    #[error("a limit needs a burst above 0")]
    NoBurst,
    /// A plan's slack does not cover the attempts that were decided under a former limit and may
    /// still be sent.
    #[error("its slack is below what may still cross of its limit, {minimum}")]
    SlackTooSmall {
        /// The smallest valid slack, units.
        minimum: f64,
    },
    /// No host serves the volume.
    #[error("works through no host")]
    NoHost,
    /// The volume is served through a host that the deployment does not have.
    #[error("works through {0}, which is no host here")]
    UnknownHost(Name),
    /// The volume lists a host twice.
    #[error("works through one host twice")]
    DuplicateHost,
    /// The volume has size 0.
    #[error("has 0 blocks, expected at least 1")]
    NoBlocks,
    /// A node's capacity is negative, infinite or not a number.
    #[error("its capacity is negative, infinite or not a number")]
    InvalidCapacity,
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
    /// A drain would return to an earlier stage, or start at a later stage than draining.
    #[error("cannot go from {from} to {to}")]
    StageOrder {
        /// Name of the current stage, or "none".
        from: &'static str,
        /// Name of the proposed stage.
        to: &'static str,
    },
    /// A volume may have data on a shard that no node holds.
    #[error("its data may lie in cell {shard}, which no node holds")]
    ShardWithoutNode {
        /// The shard.
        shard: u32,
    },
}

/// The reason why a revision cannot be applied to this state.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum OutOfOrder {
    /// The catalog already has this version or a newer one: the feed was reset to an older state.
    #[error("the revision is not newer than the catalog")]
    Older,
    /// Revisions before this one are missing.
    #[error("revisions are missing, expected version {} next", .expected.0)]
    Gap {
        /// The next version that can be applied.
        expected: Version,
    },
}
