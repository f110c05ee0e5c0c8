//! The status of a node, from all who say something of it.
//!
//! Operators, the endpoint list and the node's own answers often disagree: the list is seconds late
//! and knows only whether a process runs, answers tell nothing of a node that is sent nothing, and
//! operators may drain what is long gone. [`PRECEDENCE`] says whom to believe: its rules are read
//! from the top, and the first that matches counts. Operators stand above the list, since only they
//! know what a machine is meant for; the list stands above answers, since a node that is told to
//! drain answers as well as ever; and answers stand above the age that the list tells, since a node
//! that fails everything is no better for being warm.

use crate::answers::Answers;
use crate::list_reading::ListedState;
use grebecleat_catalog::records::Stage;
use std::fmt;

/// The status of a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub enum NodeStatus {
    /// Nothing has ever named it.
    #[default]
    Unknown,
    /// It has just started and cannot do all its work yet.
    Warming,
    /// It serves.
    Ready,
    /// It gets no new requests; what was sent to it may still be under way.
    Draining,
    /// It is drained: nothing is under way there.
    Drained,
    /// It was taken out, or the list says that it is gone.
    Removed,
    /// It should serve, and its answers say otherwise.
    Suspect,
    /// It was taken out and runs again; it gets nothing until its drain is ended.
    Returned,
}

/// Whose word decided a node's status.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub enum Authority {
    /// Nobody has said anything.
    #[default]
    Nobody,
    /// The drain that operators asked for.
    Operators,
    /// The endpoint list.
    EndpointList,
    /// The node's answers.
    Answers,
}

/// All that is known of a node's status.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
pub struct Evidence {
    /// The stage of its drain; None: nobody drains it. A drain that is queued counts as none here.
    pub drain: Option<Stage>,
    /// What the endpoint list says.
    pub listed: ListedState,
    /// How it answers.
    pub answers: Answers,
    /// It started so lately that it cannot do all its work.
    pub warming: bool,
    /// Its process started after it was taken out.
    pub restarted: bool,
}

/// A rule: what must hold (None: anything), and the status that then counts.
pub struct Rule {
    /// The drain's stage must be this one.
    pub drain: Option<Option<Stage>>,
    /// The list must say this.
    pub listed: Option<ListedState>,
    /// The answers must be such.
    pub answers: Option<Answers>,
    /// Whether it must be warming.
    pub warming: Option<bool>,
    /// Whether it must have started after it was taken out.
    pub restarted: Option<bool>,
    /// The status that counts.
    pub status: NodeStatus,
    /// Who says so.
    pub authority: Authority,
}

const fn by_drain(drain: Option<Stage>, status: NodeStatus) -> Rule {
    Rule {
        drain: Some(drain),
        listed: None,
        answers: None,
        warming: None,
        restarted: None,
        status,
        authority: Authority::Operators,
    }
}

const fn by_list(listed: ListedState, status: NodeStatus) -> Rule {
    Rule {
        listed: Some(listed),
        authority: Authority::EndpointList,
        ..by_drain(None, status)
    }
}

/// Who is believed, from the top.
pub const PRECEDENCE: [Rule; 11] = [
    // A process that started after the machine was taken out: somebody has put the machine back.
    Rule {
        listed: Some(ListedState::Ready),
        restarted: Some(true),
        authority: Authority::EndpointList,
        ..by_drain(Some(Stage::Removed), NodeStatus::Returned)
    },
    by_drain(Some(Stage::Removed), NodeStatus::Removed),
    by_drain(Some(Stage::Drained), NodeStatus::Drained),
    // Whatever starts under its number while it drains: the drain is for the machine, not for one
    // process.
    by_drain(Some(Stage::Draining), NodeStatus::Draining),
    by_list(ListedState::Never, NodeStatus::Unknown),
    by_list(ListedState::Gone, NodeStatus::Removed),
    by_list(ListedState::Draining, NodeStatus::Draining),
    Rule {
        answers: Some(Answers::Bad),
        authority: Authority::Answers,
        ..by_list(ListedState::Ready, NodeStatus::Suspect)
    },
    Rule {
        warming: Some(true),
        ..by_list(ListedState::Ready, NodeStatus::Warming)
    },
    Rule {
        answers: Some(Answers::Good),
        authority: Authority::Answers,
        ..by_list(ListedState::Ready, NodeStatus::Ready)
    },
    by_list(ListedState::Ready, NodeStatus::Ready),
];

impl Rule {
    fn matches(&self, evidence: &Evidence) -> bool {
        let drain = evidence.drain.filter(|stage| *stage != Stage::Queued);
        self.drain.is_none_or(|expected| expected == drain)
            && self
                .listed
                .is_none_or(|expected| expected == evidence.listed)
            && self
                .answers
                .is_none_or(|expected| expected == evidence.answers)
            && self
                .warming
                .is_none_or(|expected| expected == evidence.warming)
            && self
                .restarted
                .is_none_or(|expected| expected == evidence.restarted)
    }
}

/// The status of a node, and who says so.
///
/// ```
/// use grebecleat_membership::answers::Answers;
/// use grebecleat_membership::list_reading::ListedState;
/// use grebecleat_membership::node_status::{node_status, Authority, Evidence, NodeStatus};
/// use grebecleat_catalog::records::Stage;
/// let evidence = Evidence {
///     listed: ListedState::Ready,
///     answers: Answers::Bad,
///     warming: true,
///     ..Evidence::default()
/// };
/// assert_eq!(node_status(&evidence), (NodeStatus::Suspect, Authority::Answers));
/// // It came back by itself while it drains: it still drains.
/// let restarted = Evidence { drain: Some(Stage::Draining), restarted: true, ..evidence };
/// assert_eq!(node_status(&restarted), (NodeStatus::Draining, Authority::Operators));
/// ```
pub fn node_status(evidence: &Evidence) -> (NodeStatus, Authority) {
    let rule = PRECEDENCE.iter().find(|rule| rule.matches(evidence));
    rule.map_or((NodeStatus::Unknown, Authority::Nobody), |rule| {
        (rule.status, rule.authority)
    })
}

impl fmt::Display for NodeStatus {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            NodeStatus::Unknown => "unknown",
            NodeStatus::Warming => "warming",
            NodeStatus::Ready => "ready",
            NodeStatus::Draining => "draining",
            NodeStatus::Drained => "empty",
            NodeStatus::Removed => "out",
            NodeStatus::Suspect => "suspect",
            NodeStatus::Returned => "back",
        })
    }
}

impl fmt::Display for Authority {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Authority::Nobody => "nobody",
            Authority::Operators => "operators",
            Authority::EndpointList => "the list",
            Authority::Answers => "its answers",
        })
    }
}
