//! Determines the status of a node from all sources of evidence.
//!
//! [`drains`](crate::drains) calls [`node_status`] for each node that changed. This module has pure
//! functions only. Operators, the endpoint list and the node's responses often disagree. The list is
//! seconds late and shows only whether a process runs. Responses show nothing about a node that is
//! sent no attempts. Operators may drain a node that is long gone. The first matching rule of
//! [`PRECEDENCE`] decides. Operators take precedence over the list, since only they know what is
//! planned for a machine. The list takes precedence over responses, since a draining node still
//! responds well. Bad responses take precedence over the process's age in the list, since the end of
//! the warm-up does not help a node that fails every attempt.

use crate::answers::ResponseHealth;
use crate::list_entry::ListedState;
use grebecleat_catalog::records::Stage;
use std::fmt;

/// The status of a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub enum NodeStatus {
    /// The endpoint list has never contained the node, and it is not being drained.
    #[default]
    Unknown,
    /// The node has just started and does not have its full capacity yet (warm-up).
    Warming,
    /// The node accepts requests.
    Ready,
    /// The node is sent no new requests; attempts may still be in flight there.
    Draining,
    /// The node is drained: no attempt is in flight there.
    Drained,
    /// The node was removed, or the endpoint list no longer contains it.
    Removed,
    /// The node is listed as ready, but responds badly.
    Suspect,
    /// The node was removed and runs again. It is sent no requests until an operator ends its drain.
    Returned,
}

/// The source that decided a node's status.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub enum StatusSource {
    /// No source has evidence.
    #[default]
    NoEvidence,
    /// Operators, who requested a drain.
    Operators,
    /// The endpoint list.
    EndpointList,
    /// The node's responses to attempts.
    Responses,
}

/// All evidence on a node's status.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
pub struct Evidence {
    /// The stage of the node's drain. `None` if there is no drain; a queued drain counts as none.
    pub drain: Option<Stage>,
    /// The node's state in the endpoint list.
    pub listed: ListedState,
    /// How well the node responds to attempts.
    pub answers: ResponseHealth,
    /// Whether the node started so recently that it does not have its full capacity yet.
    pub warming: bool,
    /// Whether the node's process started after the node was removed.
    pub restarted_after_removal: bool,
}

/// A rule of precedence: the evidence that it requires and the status that follows from it. A
/// field that is `None` matches any evidence.
pub struct PrecedenceRule {
    /// The required stage of the drain.
    pub drain: Option<Option<Stage>>,
    /// The required state in the endpoint list.
    pub listed: Option<ListedState>,
    /// The required responses to attempts.
    pub answers: Option<ResponseHealth>,
    /// Whether the node must be warming up.
    pub warming: Option<bool>,
    /// Whether the node must have started after its removal.
    pub restarted_after_removal: Option<bool>,
    /// The status of the node if the rule matches.
    pub status: NodeStatus,
    /// The source of evidence that the rule follows.
    pub status_source: StatusSource,
}

const fn drain_rule(drain: Option<Stage>, status: NodeStatus) -> PrecedenceRule {
    PrecedenceRule {
        drain: Some(drain),
        listed: None,
        answers: None,
        warming: None,
        restarted_after_removal: None,
        status,
        status_source: StatusSource::Operators,
    }
}

const fn list_rule(listed: ListedState, status: NodeStatus) -> PrecedenceRule {
    PrecedenceRule {
        listed: Some(listed),
        status_source: StatusSource::EndpointList,
        ..drain_rule(None, status)
    }
}

/// The rules of precedence. The first rule that matches decides.
pub const PRECEDENCE: [PrecedenceRule; 11] = [
    // The process started after the machine was removed, so the machine is back in operation.
    PrecedenceRule {
        listed: Some(ListedState::Ready),
        restarted_after_removal: Some(true),
        status_source: StatusSource::EndpointList,
        ..drain_rule(Some(Stage::Removed), NodeStatus::Returned)
    },
    drain_rule(Some(Stage::Removed), NodeStatus::Removed),
    drain_rule(Some(Stage::Drained), NodeStatus::Drained),
    // This rule also covers a process that starts while the node is draining: a drain applies to
    // the machine, not to one process.
    drain_rule(Some(Stage::Draining), NodeStatus::Draining),
    list_rule(ListedState::NeverListed, NodeStatus::Unknown),
    list_rule(ListedState::Gone, NodeStatus::Removed),
    list_rule(ListedState::Draining, NodeStatus::Draining),
    PrecedenceRule {
        answers: Some(ResponseHealth::Bad),
        status_source: StatusSource::Responses,
        ..list_rule(ListedState::Ready, NodeStatus::Suspect)
    },
    PrecedenceRule {
        warming: Some(true),
        ..list_rule(ListedState::Ready, NodeStatus::Warming)
    },
    PrecedenceRule {
        answers: Some(ResponseHealth::Good),
        status_source: StatusSource::Responses,
        ..list_rule(ListedState::Ready, NodeStatus::Ready)
    },
    list_rule(ListedState::Ready, NodeStatus::Ready),
];

impl PrecedenceRule {
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
                .restarted_after_removal
                .is_none_or(|expected| expected == evidence.restarted_after_removal)
    }
}

/// Returns the status of a node, and the source of evidence that decided it.
///
/// ```
/// use grebecleat_membership::answers::ResponseHealth;
/// use grebecleat_membership::list_entry::ListedState;
/// use grebecleat_membership::node_status::{node_status, Evidence, NodeStatus, StatusSource};
/// use grebecleat_catalog::records::Stage;
/// let evidence = Evidence {
///     listed: ListedState::Ready,
///     answers: ResponseHealth::Bad,
///     warming: true,
///     ..Evidence::default()
/// };
/// assert_eq!(node_status(&evidence), (NodeStatus::Suspect, StatusSource::Responses));
/// // A node that restarts while it is draining is still draining.
/// let restarted = Evidence {
///     drain: Some(Stage::Draining),
///     restarted_after_removal: true,
///     ..evidence
/// };
/// assert_eq!(node_status(&restarted), (NodeStatus::Draining, StatusSource::Operators));
/// ```
pub fn node_status(evidence: &Evidence) -> (NodeStatus, StatusSource) {
    let rule = PRECEDENCE.iter().find(|rule| rule.matches(evidence));
    rule.map_or((NodeStatus::Unknown, StatusSource::NoEvidence), |rule| {
        (rule.status, rule.status_source)
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

impl fmt::Display for StatusSource {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            StatusSource::NoEvidence => "nobody",
            StatusSource::Operators => "operators",
            StatusSource::EndpointList => "the list",
            StatusSource::Responses => "its answers",
        })
    }
}
