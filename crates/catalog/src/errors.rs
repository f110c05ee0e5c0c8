//! Why a change is rejected, and why a revision cannot be applied.
//!
//! Returned by [`crate::propose`], [`crate::validation`] and [`crate::catalog`]; operators read the
//! texts.

use crate::change::Subject;
use crate::records::{Name, Version};
use thiserror::Error;

/// Why proposed changes make no revision.
#[derive(Debug, Clone, PartialEq, Error)]
pub enum ChangeError {
    /// The subject, or one that the change refers to, was changed after the version the author
    /// looked at.
    #[error("{subject} was changed meanwhile, by entry {} of {author}", .with.0)]
    Collision {
        /// What was changed.
        subject: Subject,
        /// The revision that changed it.
        with: Version,
        /// Who changed it.
        author: String,
    },
    /// The audit log does not reach back to the version the author looked at.
    #[error("looked at before entry {}, the oldest that is still known", .oldest.0)]
    TooOld {
        /// The oldest revision that is still known.
        oldest: Version,
    },
    /// The author has looked at a version that does not exist here.
    #[error("looked at a version after {}, the latest", .latest.0)]
    Ahead {
        /// The newest version here.
        latest: Version,
    },
    /// The subject does not exist.
    #[error("{0} does not exist")]
    Unknown(Subject),
    /// Something that stays refers to what is to be removed.
    #[error("{what} is in use by {by}")]
    InUse {
        /// What is to be removed.
        what: Subject,
        /// What refers to it.
        by: Subject,
    },
    /// Two of the changes have the same subject.
    #[error("{0} is changed twice at once")]
    Twice(Subject),
    /// The catalog would be the same as before.
    #[error("changes nothing")]
    Empty,
    /// A value of the subject is not allowed.
    #[error("{subject}: {what}")]
    Figure {
        /// Whose value.
        subject: Subject,
        /// What is wrong with it.
        what: InvalidValue,
    },
}

/// What is wrong with a value of a plan, volume, node, drain or scheduled change.
#[derive(Debug, Clone, PartialEq, Error)]
pub enum InvalidValue {
    /// One of a plan's values.
    #[error("a figure is negative or no number")]
    NotANumber,
    /// See [`crate::validation`] for why this is not allowed.
    #[error("its limit is below its reservation")]
    LimitBelowReservation,
    /// A plan with a limit but an empty token bucket.
    #[error("a limit needs a burst above 0")]
    NoBurst,
    /// What was decided earlier may pass the limit by more than the slack.
    #[error("its slack is below what may still cross of its limit, {least}")]
    SlackTooSmall {
        /// The least slack that would do, units.
        least: f64,
    },
    /// A volume that no host serves.
    #[error("works through no host")]
    NoHost,
    /// A volume through a host that the deployment does not have.
    #[error("works through {0}, which is no host here")]
    UnknownHost(Name),
    /// A volume that lists a host twice.
    #[error("works through one host twice")]
    HostTwice,
    /// A volume of size 0.
    #[error("has no blocks")]
    NoBlocks,
    /// A node's capacity.
    #[error("its capacity is negative or no number")]
    Capacity,
    /// A node's name that could be mistaken for the number of another.
    #[error("its name, {0}, is a number and might be another's")]
    NameIsANumber(Name),
    /// Two nodes of one name.
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
    /// A drain that would go back or skip a stage; stages by their names.
    #[error("cannot go from {from} to {to}")]
    StageOrder {
        /// The present stage, or "none".
        from: &'static str,
        /// The proposed stage.
        to: &'static str,
    },
    /// A volume on a shard that has no node.
    #[error("its data may lie in cell {shard}, which no node holds")]
    ShardWithoutNode {
        /// The shard.
        shard: u32,
    },
}

/// Why a persisted revision cannot be applied to this state.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum OutOfOrder {
    /// This version or a newer one is here already: the feed was reset to an older state.
    #[error("the revision is older than the state")]
    Older,
    /// Revisions before it are missing.
    #[error("revisions from {} on are missing", .expected.0)]
    Gap {
        /// The next version that fits.
        expected: Version,
    },
}
