//! Nodes and their drains, as operators see them.
//!
//! The catalog service calls it for each query of nodes and drains. Owns no state.

use super::drain_state::DrainState;
use super::messages::NodeFacts;
use super::nodes::{Node, NodeTable};
use super::Membership;
use crate::list_reading::ListReading;
use crate::node_status::{Authority, NodeStatus};
use grebecleat_catalog::feed::HostNumber;
use grebecleat_catalog::records::Stage;
use std::time::Duration;

/// The progress of a drain.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Phase {
    /// The drain is queued.
    Waiting {
        /// The reason why the drain does not begin.
        reason: String,
    },
    /// Some hosts have not acknowledged the drain.
    Notifying {
        /// The hosts that have not acknowledged, and whether they are connected.
        hosts: Vec<(HostNumber, bool)>,
    },
    /// All hosts are notified, and attempts may still be in flight.
    Quiescing {
        /// Attempts in flight.
        attempts: u32,
        /// The most attempts in flight since the drain began.
        peak_attempts: u32,
        /// Longest remaining time of attempts without a known outcome.
        unresolved_for: Duration,
    },
    /// No attempt is in flight at the node.
    Drained {
        /// Objections to the removal of the node.
        objections: Vec<String>,
    },
    /// The node is removed.
    Removed,
}

/// A node, as operators see it.
#[derive(Debug, Clone, PartialEq)]
pub struct NodeView<'a> {
    /// The node's number.
    pub node: u32,
    /// The node's facts in the catalog.
    pub facts: &'a NodeFacts,
    /// The node's status.
    pub status: NodeStatus,
    /// The source that decided the status.
    pub authority: Authority,
    /// The reading of the endpoint list that takes precedence.
    pub list_reading: ListReading,
    /// Time since the node's process started; None: a long time, or unknown.
    pub uptime: Option<Duration>,
    /// The node's drain, if there is one.
    pub drain: Option<DrainView<'a>>,
}

/// A drain, as operators see it.
#[derive(Debug, Clone, PartialEq)]
pub struct DrainView<'a> {
    /// The operator who requested the drain.
    pub author: &'a str,
    /// When the drain was requested, since 1970.
    pub requested_at: Duration,
    /// When the stage last changed, since 1970.
    pub since: Duration,
    /// Time until the drain is given up; None: never, or the node is not draining.
    pub time_left: Option<Duration>,
    /// The progress of the drain.
    pub phase: Phase,
    /// Extents that lie on the node and on no other serving node; None: unknown.
    pub sole_extents: Option<u64>,
}

impl Membership {
    /// All nodes of the catalog. `unmet_reservations`: reservations that cannot be met at present,
    /// units a second; they are an objection to the removal of a node.
    pub fn nodes(&self, unmet_reservations: f64) -> impl Iterator<Item = NodeView<'_>> + '_ {
        let known = self.nodes.iter().filter(|(_, node)| node.known);
        known.map(move |(number, node)| self.node_view(number, node, unmet_reservations))
    }

    /// One node of the catalog.
    pub fn node(&self, number: u32, unmet_reservations: f64) -> Option<NodeView<'_>> {
        let node = self.nodes.get(number).filter(|node| node.known)?;
        Some(self.node_view(number, node, unmet_reservations))
    }

    /// The status of a node.
    pub fn node_status(&self, number: u32) -> NodeStatus {
        let node = self.nodes.get(number);
        node.map_or(NodeStatus::Unknown, |node| node.status)
    }

    fn node_view<'a>(&'a self, number: u32, node: &'a Node, unmet: f64) -> NodeView<'a> {
        let list_reading = node.list_reading().unwrap_or_default();
        let uptime = list_reading
            .started
            .map(|started| self.now.saturating_sub(started));
        let drain = node.drain.as_ref();
        NodeView {
            node: number,
            facts: &node.facts,
            status: node.status,
            authority: node.authority,
            list_reading,
            uptime,
            drain: drain.map(|drain| self.drain_view(number, node, drain, unmet)),
        }
    }

    fn drain_view<'a>(
        &self,
        number: u32,
        node: &Node,
        drain: &'a DrainState,
        unmet: f64,
    ) -> DrainView<'a> {
        let sole_extents = sole_extents(&self.nodes, number, node);
        let phase = match drain.stage {
            Stage::Queued => Phase::Waiting {
                reason: drain.waits_for.clone(),
            },
            Stage::Draining => self.draining_phase(node, drain),
            Stage::Drained => Phase::Drained {
                objections: objections(sole_extents, unmet),
            },
            Stage::Removed => Phase::Removed,
        };
        let expires_at = drain.expires_at.filter(|_| drain.stage == Stage::Draining);
        DrainView {
            author: &drain.author,
            requested_at: drain.requested_at,
            since: drain.since,
            time_left: expires_at.map(|at| at.saturating_sub(self.now)),
            phase,
            sole_extents,
        }
    }

    fn draining_phase(&self, node: &Node, drain: &DrainState) -> Phase {
        let hosts = self.hosts.unnotified(drain.version);
        if !hosts.is_empty() {
            return Phase::Notifying { hosts };
        }
        let quiet_at = self.hosts.quiet_at(node).unwrap_or(self.now);
        Phase::Quiescing {
            attempts: self.attempts_in_flight(node),
            peak_attempts: drain.peak_attempts,
            unresolved_for: quiet_at.saturating_sub(self.now),
        }
    }

    /// Attempts in flight at the hosts that are connected.
    fn attempts_in_flight(&self, node: &Node) -> u32 {
        node.reports
            .iter()
            .filter(|(host, _)| self.hosts.is_connected(**host))
            .map(|(_, report)| report.observation.attempts)
            .sum()
    }
}

/// Extents that lie on a node and on no other serving node; None: not known.
fn sole_extents(nodes: &NodeTable, number: u32, node: &Node) -> Option<u64> {
    let serves_same_shard = |(other_number, other): (u32, &Node)| {
        let serves = matches!(other.status, NodeStatus::Ready | NodeStatus::Warming);
        other_number != number
            && other.known
            && other.facts.shard == node.facts.shard
            && other.drain.is_none()
            && serves
    };
    let reports = node.reports.values();
    let counts = reports.filter_map(|report| report.observation.extents);
    let extents = counts.reduce(|sum, count| sum + count)?;
    let elsewhere = nodes.iter().any(serves_same_shard);
    Some(if elsewhere { 0 } else { extents })
}

/// Objections to the removal of a drained node.
fn objections(sole_extents: Option<u64>, unmet_reservations: f64) -> Vec<String> {
    let data = match sole_extents {
        Some(0) => None,
        Some(count) => Some(format!("{count} extents lie there and nowhere else")),
        None => Some("whether data lies there alone is not known here".into()),
    };
    let capacity = (unmet_reservations > 0.0).then(|| {
        format!("{unmet_reservations:.1} units a second of reserves cannot be met without it")
    });
    data.into_iter().chain(capacity).collect()
}
