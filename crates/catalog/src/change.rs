//! Changes of the catalog as data: subjects, changes, and the revisions that record them.
//!
//! Used by [`crate::catalog`], which applies revisions, by the leader and the followers, and by the
//! packages that store and send them. Owns no state.

use crate::records::{Drain, Name, Node, Plan, Version, Volume};
use std::fmt;
use std::sync::Arc;
use std::time::Duration;

/// Changes that are to land at a stated time.
#[derive(Debug, Clone, PartialEq)]
pub struct ScheduledChange {
    /// When, since 1970 by the wall clock.
    pub at: Duration,
    /// Who asked for it.
    pub author: String,
    /// Why, in the author's words.
    pub reason: String,
    /// Whether it lands whatever speaks against it.
    pub force: bool,
    /// What is to land.
    pub changes: Vec<Change>,
    /// The subjects as they were when this was asked for. If one differs by then, the author may no
    /// longer mean the change, and it lapses.
    pub expects: Vec<Change>,
}

/// What a change touches.
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

/// Replaces one subject; `to: None` removes it.
#[derive(Debug, Clone, PartialEq)]
pub enum Change {
    /// Of a plan.
    Plan {
        /// Its name.
        name: Name,
        /// What it becomes.
        to: Option<Plan>,
    },
    /// Of a volume.
    Volume {
        /// Its number.
        id: u64,
        /// What it becomes.
        to: Option<Volume>,
    },
    /// Of a node.
    Node {
        /// Its number.
        id: u32,
        /// What it becomes.
        to: Option<Node>,
    },
    /// Of a node's drain.
    Drain {
        /// The node's number.
        node: u32,
        /// What it becomes.
        to: Option<Drain>,
    },
    /// Of a target.
    Target {
        /// Its name.
        name: Name,
        /// The volumes that it offers.
        to: Option<Arc<[u64]>>,
    },
    /// Of a scheduled change.
    Scheduled {
        /// Its number.
        id: u64,
        /// What it becomes.
        to: Option<ScheduledChange>,
    },
}

impl Change {
    /// The one subject that it replaces or removes.
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

    /// Whether it removes its subject.
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

    /// Other subjects that must exist for it.
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

/// One atomic step of the catalog, as stored and sent.
#[derive(Debug, Clone, PartialEq)]
pub struct Revision {
    /// The version that it makes.
    pub version: Version,
    /// The version that it follows: the one before, except where a new epoch was forced.
    pub from: Version,
    /// When, since 1970 by the leader's clock.
    pub at: Duration,
    /// Who asked for it.
    pub author: String,
    /// Why, in the author's words.
    pub reason: String,
    /// What spoke against it, where it was forced; else empty.
    pub objections: String,
    /// What it changes.
    pub changes: Vec<Change>,
    /// Changes that restore what was there before, in the order in which to apply them.
    pub before: Vec<Change>,
    /// A host that knows only the state before may send more of a limited volume than it is now
    /// entitled to: it must acknowledge this version before the version is stable. See
    /// [`crate::feed`].
    pub lowers_limits: bool,
    /// For a host that learns of a volume first by this revision: the volume as it was before each
    /// earlier revision that the host must still reckon with.
    pub also: Vec<(Version, Change)>,
}

/// By whom, why and when, as the audit log records it.
#[derive(Debug, Clone, Copy, Default)]
pub struct ChangeContext<'a> {
    /// Who asks.
    pub author: &'a str,
    /// Why, in the author's words.
    pub reason: &'a str,
    /// What speaks against it, where it is forced; else empty.
    pub objections: &'a str,
    /// When, since 1970.
    pub at: Duration,
}

impl<'a> ChangeContext<'a> {
    /// Of a change that is not forced.
    pub fn by(author: &'a str, reason: &'a str, at: Duration) -> Self {
        ChangeContext {
            author,
            reason,
            objections: "",
            at,
        }
    }
}
