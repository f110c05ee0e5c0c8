//! Views of nodes and their drains for operators.
//!
//! The catalog service reads them to answer queries about nodes and drains.

use super::drain_state::DrainState;
use super::messages::NodeAttributes;
use super::nodes::{Node, NodeTable};
use super::Membership;
use crate::list_entry::ListEntry;
use crate::node_status::{NodeStatus, StatusSource};
use grebecleat_catalog::feed::HostNumber;
use grebecleat_catalog::records::Stage;
use std::time::Duration;

/// The progress of a drain.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Phase {
    /// The drain is queued.
    Waiting {
        /// The reason why the drain cannot begin.
        reason: String,
    },
    /// Some hosts have not acknowledged the drain.
    Notifying {
        /// The hosts that have not acknowledged, and whether each is connected.
        hosts: Vec<(HostNumber, bool)>,
    },
    /// All hosts are notified, and attempts may still be in flight.
    Quiescing {
        /// Number of attempts in flight at the node.
        attempts: u32,
        /// The largest number of attempts in flight since draining began.
        peak_attempts: u32,
        /// Longest time for which attempts without a known outcome may still run at the node.
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

/// The view of a node for operators.
#[derive(Debug, Clone, PartialEq)]
pub struct NodeView<'a> {
    /// The node's number.
    pub node: u32,
    /// The node's attributes in the catalog.
    pub attributes: &'a NodeAttributes,
    /// The node's status.
    pub status: NodeStatus,
    /// The source that decided the status.
    pub status_source: StatusSource,
    /// The node's entry in the endpoint list that takes precedence among those of all hosts.
    pub list_entry: ListEntry,
    /// Time since the node's process started. `None` if it started long ago or the time is unknown.
    pub uptime: Option<Duration>,
    /// The node's drain, if there is one.
    pub drain: Option<DrainView<'a>>,
}

/// The view of a drain for operators.
#[derive(Debug, Clone, PartialEq)]
pub struct DrainView<'a> {
    /// The operator who requested the drain.
    pub author: &'a str,
    /// When the drain was requested, since 1970.
    pub requested_at: Duration,
    /// When the stage last changed, since 1970.
    pub since: Duration,
    /// Time until the drain is canceled. `None` if it has no timeout or the node is not draining.
    pub time_left: Option<Duration>,
    /// The progress of the drain.
    pub phase: Phase,
    /// Number of extents that are stored on the node and on no other available node. `None` if
    /// unknown.
    pub sole_extents: Option<u64>,
}

impl Membership {
    /// Returns all nodes of the catalog. `unmet_reservations` are the reservations that cannot be
    /// met at present, in units a second; they are an objection to the removal of a node.
    pub fn nodes(&self, unmet_reservations: f64) -> impl Iterator<Item = NodeView<'_>> + '_ {
        let listed = self.nodes.iter().filter(|(_, node)| node.in_catalog);
        listed.map(move |(number, node)| self.node_view(number, node, unmet_reservations))
    }

    /// Returns one node of the catalog.
    pub fn node(&self, number: u32, unmet_reservations: f64) -> Option<NodeView<'_>> {
        let node = self.nodes.get(number).filter(|node| node.in_catalog)?;
        Some(self.node_view(number, node, unmet_reservations))
    }

    /// Returns the status of a node.
    pub fn node_status(&self, number: u32) -> NodeStatus {
        let node = self.nodes.get(number);
        node.map_or(NodeStatus::Unknown, |node| node.status)
    }

    fn node_view<'a>(&'a self, number: u32, node: &'a Node, unmet: f64) -> NodeView<'a> {
        let list_entry = node.list_entry().unwrap_or_default();
        let uptime = list_entry
            .started
            .map(|started| self.now.saturating_sub(started));
        let drain = node.drain.as_ref();
        NodeView {
            node: number,
            attributes: &node.attributes,
            status: node.status,
            status_source: node.status_source,
            list_entry,
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
                reason: drain.blocked_by.clone(),
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
        let quiescent_at = self.hosts.quiescent_at(node).unwrap_or(self.now);
        Phase::Quiescing {
            attempts: self.attempts_in_flight(node),
            peak_attempts: drain.peak_attempts,
            unresolved_for: quiescent_at.saturating_sub(self.now),
        }
    }

    /// Returns the number of attempts that connected hosts have in flight at a node.
    fn attempts_in_flight(&self, node: &Node) -> u32 {
        node.reports
            .iter()
            .filter(|(host, _)| self.hosts.is_connected(**host))
            .map(|(_, report)| report.observation.attempts)
            .sum()
    }
}

/// Returns the number of extents that are stored on a node and on no other available node. `None` if
/// no host has reported the node's extents.
fn sole_extents(nodes: &NodeTable, number: u32, node: &Node) -> Option<u64> {
    let serves_same_shard = |(other_number, other): (u32, &Node)| {
        let serves = matches!(other.status, NodeStatus::Ready | NodeStatus::Warming);
        other_number != number
            && other.in_catalog
            && other.attributes.shard == node.attributes.shard
            && other.drain.is_none()
            && serves
    };
    let reports = node.reports.values();
    let counts = reports.filter_map(|report| report.observation.extents);
    let extents = counts.reduce(|sum, count| sum + count)?;
    let elsewhere = nodes.iter().any(serves_same_shard);
    Some(if elsewhere { 0 } else { extents })
}

/// Returns the objections to the removal of a drained node.
fn objections(sole_extents: Option<u64>, unmet_reservations: f64) -> Vec<String> {
    let data = match sole_extents {
        Some(0) => None,
        Some(count) => Some(format!(
            "{count} extents are stored on no other available node"
        )),
        None => Some("unknown whether extents are stored on no other node".into()),
    };
    let capacity = (unmet_reservations > 0.0).then(|| {
        format!(
            "{unmet_reservations:.1} units a second of reserves cannot be met without this node"
        )
    });
    data.into_iter().chain(capacity).collect()
}
