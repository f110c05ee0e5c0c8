//! Nodes and their drains, for whoever shows them.

use super::messages::NodeFacts;
use super::records::{DrainState, Node};
use super::Membership;
use crate::list_reading::ListReading;
use crate::node_status::{Authority, NodeStatus};
use grebecleat_catalog::feed::HostNumber;
use grebecleat_catalog::records::Stage;
use std::time::Duration;

/// How far a drain is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Phase {
    /// It is queued.
    Waiting {
        /// For what.
        reason: String,
    },
    /// Some hosts have not acknowledged it.
    Notifying {
        /// Those hosts, and whether they are connected.
        hosts: Vec<(HostNumber, bool)>,
    },
    /// All hosts are notified, and attempts may still be under way.
    Quiescing {
        /// Attempts in flight.
        attempts: u32,
        /// The most that were seen in flight since the drain began.
        peak_attempts: u32,
        /// For how long at the least attempts that ended without an answer may still run.
        unresolved_for: Duration,
    },
    /// Nothing is under way.
    Drained {
        /// What speaks against taking the node out all the same.
        objections: Vec<String>,
    },
    /// The node is taken out.
    Removed,
}

/// A node, for whoever shows it.
#[derive(Debug, Clone, PartialEq)]
pub struct NodeView<'a> {
    /// Its number.
    pub node: u32,
    /// What the catalog says of it.
    pub facts: &'a NodeFacts,
    /// Its status.
    pub status: NodeStatus,
    /// Whose word decided its status.
    pub authority: Authority,
    /// What the endpoint list says.
    pub list_reading: ListReading,
    /// Time since its process started; None: long, or not known.
    pub uptime: Option<Duration>,
    /// Its drain, if it is drained.
    pub drain: Option<DrainView<'a>>,
}

/// A drain, for whoever shows it.
#[derive(Debug, Clone, PartialEq)]
pub struct DrainView<'a> {
    /// Who asked for it.
    pub author: &'a str,
    /// When it was requested, since 1970.
    pub requested_at: Duration,
    /// Since when it is at its stage, since 1970.
    pub since: Duration,
    /// Time until it is given up; None: never, or it is not draining.
    pub time_left: Option<Duration>,
    /// How far it is.
    pub phase: Phase,
    /// Extents that lie there and on no other node; None: not known.
    pub sole_extents: Option<u64>,
}

impl Membership {
    /// All nodes of the catalog. `unmet_reservations`: units a second of reservations that cannot
    /// be met as things are, which speaks against taking a node out.
    pub fn nodes(&self, unmet_reservations: f64) -> impl Iterator<Item = NodeView<'_>> + '_ {
        let known = self.nodes.iter().filter(|(_, node)| node.known);
        known.map(move |(number, node)| self.node_view(*number, node, unmet_reservations))
    }

    /// One node of the catalog.
    pub fn node(&self, number: u32, unmet_reservations: f64) -> Option<NodeView<'_>> {
        let node = self.nodes.get(&number).filter(|node| node.known)?;
        Some(self.node_view(number, node, unmet_reservations))
    }

    /// The status of a node.
    pub fn node_status(&self, number: u32) -> NodeStatus {
        let node = self.nodes.get(&number);
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
        let sole_extents = self.sole_extents(number, node);
        let phase = match drain.stage {
            Stage::Queued => Phase::Waiting {
                reason: drain.waits_for.clone(),
            },
            Stage::Draining => self.draining_phase(number, node, drain),
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

    fn draining_phase(&self, number: u32, node: &Node, drain: &DrainState) -> Phase {
        let hosts = self.unnotified_hosts(drain.version);
        if !hosts.is_empty() {
            return Phase::Notifying { hosts };
        }
        let quiet_at = self.quiet_at(number).unwrap_or(self.now);
        Phase::Quiescing {
            attempts: self.attempts_in_flight(node),
            peak_attempts: drain.peak_attempts,
            unresolved_for: quiet_at.saturating_sub(self.now),
        }
    }

    /// Attempts in flight at the hosts that are connected.
    fn attempts_in_flight(&self, node: &Node) -> u32 {
        let connected = |host| self.hosts.get(host).is_some_and(|host| host.connected);
        let reports = node.reports.iter().filter(|(host, _)| connected(*host));
        reports.map(|(_, report)| report.observation.attempts).sum()
    }

    /// Extents that lie on that node and on no other that serves; None: not known.
    fn sole_extents(&self, number: u32, node: &Node) -> Option<u64> {
        let serves_same_shard = |(other_number, other): (&u32, &Node)| {
            let serves = matches!(other.status, NodeStatus::Ready | NodeStatus::Warming);
            *other_number != number
                && other.known
                && other.facts.shard == node.facts.shard
                && other.drain.is_none()
                && serves
        };
        let reports = node.reports.values();
        let counts = reports.filter_map(|report| report.observation.extents);
        let extents = counts.reduce(|sum, count| sum + count)?;
        let elsewhere = self.nodes.iter().any(serves_same_shard);
        Some(if elsewhere { 0 } else { extents })
    }
}

/// What speaks against taking a drained node out.
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
