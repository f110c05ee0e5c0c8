//! The status of each node, from what all hosts report of it, and what admission is told of it.

use super::messages::Action;
use super::records::Node;
use super::Membership;
use crate::answers::Answers;
use crate::list_reading::ListReading;
use crate::node_status::{node_status, Evidence, NodeStatus};
use grebecleat_catalog::admission::ExclusionReason;
use grebecleat_catalog::records::Stage;
use std::time::Duration;

impl Membership {
    /// When a warming node is warm.
    pub(super) fn warm_at(&self, node: u32) -> Option<Duration> {
        let node = &self.nodes[&node];
        let warming = node.status == NodeStatus::Warming;
        let reading = node.list_reading().filter(|_| warming);
        Some(reading?.started? + self.warm_up_time)
    }

    /// Reckons a node's status again, and tells admission and operators where it has changed.
    pub(super) fn update_status(&mut self, number: u32, actions: &mut Vec<Action>) {
        let Some(node) = self.nodes.get(&number) else {
            return;
        };
        let (status, authority) = node_status(&self.evidence(node));
        let exclusion = exclusion(node, status);
        let known = node.known;
        let node = self.nodes.entry(number).or_default();
        let before = std::mem::replace(&mut node.status, status);
        node.authority = authority;
        if node.exclusion != exclusion {
            node.exclusion = exclusion;
            self.retry_queued = true;
            actions.push(Action::SetExclusion {
                node: number,
                reason: exclusion,
            });
        }
        if before != status && known {
            actions.push(Action::Notify {
                node: number,
                text: format!("{status}, by {authority}; it was {before}"),
            });
        }
    }

    fn evidence(&self, node: &Node) -> Evidence {
        let reading = node.list_reading().unwrap_or_default();
        let warm_at = reading.started.map(|started| started + self.warm_up_time);
        Evidence {
            drain: node.drain_stage(),
            listed: reading.state,
            answers: best_answers(node, reading.incarnation),
            warming: warm_at.is_some_and(|at| self.now < at),
            restarted: self.restarted_since_removal(node, &reading),
        }
    }

    /// Whether the node's process started after the node was taken out: by the wall clock, by which
    /// the catalog's times are told.
    fn restarted_since_removal(&self, node: &Node, reading: &ListReading) -> bool {
        let removal = node.drain.as_ref();
        let Some(removal) = removal.filter(|drain| drain.stage == Stage::Removed) else {
            return false;
        };
        let Some(started) = reading.started else {
            return false;
        };
        let age = self.now.saturating_sub(started);
        self.wall.saturating_sub(age) > removal.since
    }
}

/// How the node's present incarnation answers. One host's good report is worth more than many that
/// hear nothing: theirs is then on its way.
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

/// Why admission counts a node as unavailable.
fn exclusion(node: &Node, status: NodeStatus) -> Option<ExclusionReason> {
    match status {
        _ if !node.known => None,
        NodeStatus::Warming => Some(ExclusionReason::Warming),
        NodeStatus::Suspect => Some(ExclusionReason::Suspect),
        // Admission knows from the catalog which nodes are drained.
        NodeStatus::Removed if !node.blocks_new_requests() => Some(ExclusionReason::Removed),
        _ => None,
    }
}
