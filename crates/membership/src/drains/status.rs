//! Collects the evidence on each node's status, and decides which nodes admission must exclude.
//!
//! [`Membership`](super::Membership) calls [`StatusRules`] for each node that changed.

use super::nodes::Node;
use crate::answers::ResponseHealth;
use crate::list_entry::ListEntry;
use crate::node_status::{Evidence, NodeStatus};
use grebecleat_catalog::admission::ExclusionReason;
use grebecleat_catalog::records::Stage;
use std::time::Duration;

/// Collects the evidence on the status of nodes.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct StatusRules {
    /// Time from a node's start until it has its full capacity.
    warm_up_time: Duration,
}

impl StatusRules {
    pub fn new(warm_up_time: Duration) -> Self {
        StatusRules { warm_up_time }
    }

    /// Returns when a node that is warming up has its full capacity. `None` if it is not warming up.
    pub fn warm_at(&self, node: &Node) -> Option<Duration> {
        let warming = node.status == NodeStatus::Warming;
        let entry = node.list_entry().filter(|_| warming);
        Some(entry?.started? + self.warm_up_time)
    }

    /// Returns the evidence on a node. `now` is the time of this process's clock, and `wall` the
    /// wall-clock time since 1970.
    pub fn evidence(&self, now: Duration, wall: Duration, node: &Node) -> Evidence {
        let entry = node.list_entry().unwrap_or_default();
        let warm_at = entry.started.map(|started| started + self.warm_up_time);
        Evidence {
            drain: node.drain_stage(),
            listed: entry.state,
            answers: best_answers(node, entry.incarnation),
            warming: warm_at.is_some_and(|at| now < at),
            restarted_after_removal: restarted_since_removal(now, wall, node, &entry),
        }
    }
}

/// Returns whether the node's process started after the node was removed. Compares wall-clock times,
/// because the catalog records wall-clock times.
fn restarted_since_removal(now: Duration, wall: Duration, node: &Node, entry: &ListEntry) -> bool {
    let removal = node.drain.as_ref();
    let Some(removal) = removal.filter(|drain| drain.stage == Stage::Removed) else {
        return false;
    };
    let Some(started) = entry.started else {
        return false;
    };
    let age = now.saturating_sub(started);
    wall.saturating_sub(age) > removal.since
}

/// Returns the best health that any host reports of a node's current incarnation. One good report
/// outweighs any number of bad ones: if the node responds well to one host, the fault is on the
/// network path of the others.
fn best_answers(node: &Node, incarnation: u64) -> ResponseHealth {
    let reports = node.reports.values().map(|report| report.observation);
    let current = reports.filter(|observation| observation.incarnation == incarnation);
    let answers = current.map(|observation| observation.answers);
    let best = answers.max_by_key(|answers| match answers {
        ResponseHealth::None => 0,
        ResponseHealth::Bad => 1,
        ResponseHealth::Good => 2,
    });
    best.unwrap_or_default()
}

/// Returns the reason why admission must count a node as unavailable. `None` if it is available.
pub(super) fn exclusion(node: &Node, status: NodeStatus) -> Option<ExclusionReason> {
    match status {
        _ if !node.in_catalog => None,
        NodeStatus::Warming => Some(ExclusionReason::Warming),
        NodeStatus::Suspect => Some(ExclusionReason::Suspect),
        // Admission knows from the catalog which nodes are drained.
        NodeStatus::Removed if !node.blocks_new_requests() => Some(ExclusionReason::Removed),
        _ => None,
    }
}
