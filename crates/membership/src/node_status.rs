//! The status of a node, from all sources of evidence.
//!
//! [`drains`](crate::drains) calls it for each node that changed. Pure functions. Operators, the
//! endpoint list and the node's own answers often disagree. The list is seconds late and shows only
//! whether a process runs. Answers show nothing about a node that gets no attempts. Operators may
//! drain a node that is long gone. [`PRECEDENCE`] decides which source counts: the first rule that
//! matches, from the top. Operators precede the list, since only they know the purpose of a
//! machine. The list precedes answers, since a node that is draining still answers well. Answers
//! precede the process's age in the list, since a node that fails every attempt does not improve by
//! being warm.

use crate::answers::Answers;
use crate::list_reading::ListedState;
use grebecleat_catalog::records::Stage;
use std::fmt;

/// The status of a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub enum NodeStatus {
    /// No source has ever named the node.
    #[default]
    Unknown,
    /// The node has just started and does not have its full capacity yet.
    Warming,
    /// The node serves.
    Ready,
    /// The node gets no new requests; attempts may still be in flight there.
    Draining,
    /// The node is drained: no attempt is in flight there.
    Drained,
    /// The node was removed, or the list no longer has it.
    Removed,
    /// The node should serve, and its answers are bad.
    Suspect,
    /// The node was removed and runs again. It gets no requests until its drain is ended.
    Returned,
}

/// The source that decided a node's status.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub enum Authority {
    /// There is no evidence.
    #[default]
    Nobody,
    /// The drain that operators requested.
    Operators,
    /// The endpoint list.
    EndpointList,
    /// The node's answers.
    Answers,
}

/// All evidence on a node's status.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
pub struct Evidence {
    /// The stage of the node's drain; None: there is no drain. A queued drain counts as none here.
    pub drain: Option<Stage>,
    /// The node's state in the endpoint list.
    pub listed: ListedState,
    /// The node's answers.
    pub answers: Answers,
    /// Whether the node started so recently that it does not have its full capacity.
    pub warming: bool,
    /// Whether the node's process started after the node was removed.
    pub restarted: bool,
}

/// A rule: the evidence that it requires (None: any), and the status that then counts.
pub struct Rule {
    /// The required stage of the drain.
    pub drain: Option<Option<Stage>>,
    /// The required state in the endpoint list.
    pub listed: Option<ListedState>,
    /// The required answers.
    pub answers: Option<Answers>,
    /// Whether the node must be warming up.
    pub warming: Option<bool>,
    /// Whether the node must have started after its removal.
    pub restarted: Option<bool>,
    /// The status that counts.
    pub status: NodeStatus,
    /// The source that decides.
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

/// The rules of precedence. The first rule that matches counts.
pub const PRECEDENCE: [Rule; 11] = [
    // The process started after the machine was removed, so somebody has put the machine back.
    Rule {
        listed: Some(ListedState::Ready),
        restarted: Some(true),
        authority: Authority::EndpointList,
        ..by_drain(Some(Stage::Removed), NodeStatus::Returned)
    },
    by_drain(Some(Stage::Removed), NodeStatus::Removed),
    by_drain(Some(Stage::Drained), NodeStatus::Drained),
    // The rule also covers a process that starts while the node is draining: a drain is for the
    // machine, not for one process.
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

/// The status of a node, and the source that decides it.
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
/// // The node restarts while it is draining: it is still draining.
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
