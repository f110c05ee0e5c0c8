//! The evidence on each node's status, and the status that admission counts.
//!
//! [`Membership`](super::Membership) calls [`StatusRules`] for each node that changed. State: the
//! warm-up time only.

use super::nodes::Node;
use crate::answers::Answers;
use crate::list_reading::ListReading;
use crate::node_status::{Evidence, NodeStatus};
use grebecleat_catalog::admission::ExclusionReason;
use grebecleat_catalog::records::Stage;
use std::time::Duration;

/// Collects the evidence on nodes; see the module.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct StatusRules {
    /// Time from a node's start until it has its full capacity.
    warm_up_time: Duration,
}

impl StatusRules {
    /// `warm_up_time`: time from a node's start until it has its full capacity.
    pub fn new(warm_up_time: Duration) -> Self {
        StatusRules { warm_up_time }
    }

    /// When a node that is warming up has its full capacity.
    pub fn warm_at(&self, node: &Node) -> Option<Duration> {
        let warming = node.status == NodeStatus::Warming;
        let reading = node.list_reading().filter(|_| warming);
        Some(reading?.started? + self.warm_up_time)
    }

    /// The evidence on a node. `now`: this process's clock; `wall`: since 1970.
    pub fn evidence(&self, now: Duration, wall: Duration, node: &Node) -> Evidence {
        let reading = node.list_reading().unwrap_or_default();
        let warm_at = reading.started.map(|started| started + self.warm_up_time);
        Evidence {
            drain: node.drain_stage(),
            listed: reading.state,
            answers: best_answers(node, reading.incarnation),
            warming: warm_at.is_some_and(|at| now < at),
            restarted: restarted_since_removal(now, wall, node, &reading),
        }
    }
}

/// Returns whether the node's process started after the node was removed. Compares by the wall
/// clock, because the catalog's times are by that clock.
fn restarted_since_removal(
    now: Duration,
    wall: Duration,
    node: &Node,
    reading: &ListReading,
) -> bool {
    let removal = node.drain.as_ref();
    let Some(removal) = removal.filter(|drain| drain.stage == Stage::Removed) else {
        return false;
    };
    let Some(started) = reading.started else {
        return false;
    };
    let age = now.saturating_sub(started);
    wall.saturating_sub(age) > removal.since
}

/// The answers of a node's present incarnation. One host's good report counts more than any number
/// of bad ones: with these hosts, the path to the node is at fault.
fn best_answers(node: &Node, incarnation: u64) -> Answers {
    let reports = node.reports.values().map(|report| report.observation);
    let current = reports.filter(|observation| observation.incarnation == incarnation);
    let answers = current.map(|observation| observation.answers);
    let best = answers.max_by_key(|answers| match answers {
        Answers::None => 0,
        Answers::Bad => 1,
        Answers::Good => 2,
    });
    best.unwrap_or_default()
}

/// The reason why admission counts a node as unavailable.
pub(super) fn exclusion(node: &Node, status: NodeStatus) -> Option<ExclusionReason> {
    match status {
        _ if !node.known => None,
        NodeStatus::Warming => Some(ExclusionReason::Warming),
        NodeStatus::Suspect => Some(ExclusionReason::Suspect),
        // Admission knows from the catalog which nodes are drained.
        NodeStatus::Removed if !node.blocks_new_requests() => Some(ExclusionReason::Removed),
        _ => None,
    }
}
