//! Changes of the catalog as data: subjects, changes, and the revisions that record them.
//!
//! [`crate::catalog`] applies revisions; the leader and the followers exchange them; other crates
//! store and send them. This module is plain data.

use crate::records::{Drain, Name, Node, Plan, Version, Volume};
use std::fmt;
use std::sync::Arc;
use std::time::Duration;

/// Changes that are applied at a given time.
#[derive(Debug, Clone, PartialEq)]
pub struct ScheduledChange {
    /// When to apply the changes, as wall-clock time since the Unix epoch.
    pub at: Duration,
    /// The operator who scheduled the changes.
    pub author: String,
    /// The operator's reason, as typed.
    pub reason: String,
    /// Whether to apply the changes despite objections of admission control.
    pub force: bool,
    /// The changes.
    pub changes: Vec<Change>,
    /// The subjects as they were when the operator scheduled the changes. If one of them differs when
    /// the changes are due, the operator may no longer want the changes, and they are cancelled.
    pub expects: Vec<Change>,
}

/// A record of the catalog that a change can replace or remove.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Subject {
    /// A plan, by name.
    Plan(Name),
    /// A volume, by number.
    Volume(u64),
    /// A node, by number.
    Node(u32),
    /// The drain of a node, by the node's number.
    Drain(u32),
    /// A target, by name.
    Target(Name),
    /// A scheduled change, by number.
    Scheduled(u64),
}

impl fmt::Display for Subject {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Subject::Plan(name) => write!(f, "plan {name}"),
            Subject::Volume(id) => write!(f, "volume {id}"),
            Subject::Node(id) => write!(f, "node {id}"),
            Subject::Drain(id) => write!(f, "drain of node {id}"),
            Subject::Target(name) => write!(f, "target {name}"),
            Subject::Scheduled(id) => write!(f, "timed change {id}"),
        }
    }
}

/// The replacement or, with `to: None`, the removal of one subject.
#[derive(Debug, Clone, PartialEq)]
pub enum Change {
    /// A change of a plan.
    Plan {
        /// The plan's name.
        name: Name,
        /// The new plan.
        to: Option<Plan>,
    },
    /// A change of a volume.
    Volume {
        /// The volume's number.
        id: u64,
        /// The new volume.
        to: Option<Volume>,
    },
    /// A change of a node.
    Node {
        /// The node's number.
        id: u32,
        /// The new node.
        to: Option<Node>,
    },
    /// A change of a node's drain.
    Drain {
        /// The node's number.
        node: u32,
        /// The new drain.
        to: Option<Drain>,
    },
    /// A change of a target.
    Target {
        /// The target's name.
        name: Name,
        /// The volumes that the target offers.
        to: Option<Arc<[u64]>>,
    },
    /// A change of a scheduled change.
    Scheduled {
        /// The scheduled change's number.
        id: u64,
        /// The new scheduled change.
        to: Option<ScheduledChange>,
    },
}

impl Change {
    /// The one subject that the change replaces or removes.
    pub fn subject(&self) -> Subject {
        match self {
            Change::Plan { name, .. } => Subject::Plan(name.clone()),
            Change::Volume { id, .. } => Subject::Volume(*id),
            Change::Node { id, .. } => Subject::Node(*id),
            Change::Drain { node, .. } => Subject::Drain(*node),
            Change::Target { name, .. } => Subject::Target(name.clone()),
            Change::Scheduled { id, .. } => Subject::Scheduled(*id),
        }
    }

    /// Returns whether the change removes its subject.
    pub fn is_removal(&self) -> bool {
        match self {
            Change::Plan { to, .. } => to.is_none(),
            Change::Volume { to, .. } => to.is_none(),
            Change::Node { to, .. } => to.is_none(),
            Change::Drain { to, .. } => to.is_none(),
            Change::Target { to, .. } => to.is_none(),
            Change::Scheduled { to, .. } => to.is_none(),
        }
    }

    /// Other subjects that must exist for the change to be valid.
    pub(crate) fn references(&self) -> Vec<Subject> {
        match self {
            Change::Volume {
                to: Some(volume), ..
            } => vec![Subject::Plan(volume.plan.clone())],
            Change::Drain { node, to: Some(_) } => vec![Subject::Node(*node)],
            Change::Target {
                to: Some(volumes), ..
            } => volumes.iter().map(|id| Subject::Volume(*id)).collect(),
            _ => Vec::new(),
        }
    }
}

/// An atomic set of changes that leads from one version of the catalog to the next, as stored and
/// sent.
#[derive(Debug, Clone, PartialEq)]
pub struct Revision {
    /// The version of the catalog after the revision.
    pub version: Version,
    /// The version of the catalog before the revision. It is the previous number, except where a new
    /// epoch was forced.
    pub from: Version,
    /// When the leader accepted the revision, by its wall clock, since the Unix epoch.
    pub at: Duration,
    /// The operator who proposed the revision.
    pub author: String,
    /// The operator's reason, as typed.
    pub reason: String,
    /// The objections to the revision if it was forced, otherwise empty.
    pub objections: String,
    /// The changes.
    pub changes: Vec<Change>,
    /// Changes that restore the state before the revision, in the order in which to apply them.
    pub before: Vec<Change>,
    /// Whether a host that knows only the state before the revision may use more of a limited volume
    /// than its quota after the revision allows. If so, that host must acknowledge this version
    /// before the version is stable. See [`crate::feed`].
    pub lowers_limits: bool,
    /// Earlier states of volumes that a host first learns of by this revision: each volume as it was
    /// before each earlier revision that the host must still take into account.
    pub also: Vec<(Version, Change)>,
}

/// The author, reason and time of a change, as the audit log records them.
#[derive(Debug, Clone, Copy, Default)]
pub struct ChangeContext<'a> {
    /// The operator who proposes the change.
    pub author: &'a str,
    /// The operator's reason, as typed.
    pub reason: &'a str,
    /// The objections to the change if it is forced, otherwise empty.
    pub objections: &'a str,
    /// When the change is proposed, as time since the Unix epoch.
    pub at: Duration,
}

impl<'a> ChangeContext<'a> {
    /// Creates the context of a change that is not forced.
    pub fn by(author: &'a str, reason: &'a str, at: Duration) -> Self {
        ChangeContext {
            author,
            reason,
            objections: "",
            at,
        }
    }
}
