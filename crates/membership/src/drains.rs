//! The state machine that drains nodes and derives their status from the observations of all hosts.
//!
//! `step(now, wall, events)` returns the actions to perform: proposals to the catalog, exclusions
//! for admission and notices to operators. [`Membership::wake_at`] returns when it must be called
//! again. It performs no I/O. The catalog service calls it for every batch of events of the catalog,
//! the hosts and the store. Each step updates the status of the nodes that changed, and the stage of
//! every drain. Each part of the state has one owner:
//!
//! - `HostTable`: which catalog version each host has acknowledged, and whether it is connected;
//! - `NodeTable`: the catalog attributes, drain, reports and status of each node;
//! - `StatusRules`: the evidence on a node's status;
//! - `StageMachine`: the next stage of each drain.
//!
//! The stages of a drain are queued, draining, drained and removed. They are kept in the catalog,
//! and the change to a stage is persisted and replicated like any other change, so the stage of a
//! drain survives a crash at any moment. Only hosts know the progress between two stages, and they
//! report it again after a restart of the service:
//!
//! - A host is *notified* once it has acknowledged the catalog version that contains the drain.
//!   From then on it sends no attempt that was decided on an older version. A host that never
//!   acknowledged a version serves no requests. A host that is down blocks the drain until it is
//!   back or an operator guarantees that it sends nothing, since it might send again based on the
//!   version that it has persisted.
//! - A host is *quiescent* for a node if it counted its attempts after it applied the drain and none
//!   was in flight, and if the longest time that any attempt may take has passed for its attempts
//!   without a known outcome. Twice that time must pass for attempts that a host had in flight when
//!   its connection was lost, or that an earlier incarnation had in flight until the next one
//!   connected: once until the attempt ends at the host, and once until it ends at the node.
//! - A node is *drained* when every host is notified and quiescent. It stays drained, since no host
//!   sends to it.
//!
//! A queued drain is proposed when this state machine knows of no conflict in its zone; the earliest
//! request of a zone goes first. Admission makes the final decision on each proposal. A drain that
//! does not finish within its timeout is canceled and the node accepts requests again, because the
//! operator wanted the drain within that time or not at all. This process's clock measures the
//! timeout; the wall clock measures it across a restart. The wall clock may have been set in between,
//! so at least [`MIN_TIME_AFTER_RESTART`] remains.
//!
//! When the service starts, a single step must receive the complete state of the catalog. If the
//! hosts arrived in a later step, a drain would find no host to notify and finish too early.
//!
//! The state holds an entry for each host and each node, and a report of each host on each node.

mod drain_state;
mod hosts;
mod messages;
mod nodes;
mod stages;
mod status;
mod view;

pub use messages::{Action, Event, NodeAttributes, NodeObservation, ProposalId};
pub use view::{DrainView, NodeView, Phase};

use crate::node_status::node_status;
use drain_state::{stage_notice, DrainState};
use grebecleat_catalog::feed::HostNumber;
use grebecleat_catalog::records::{Drain, Version};
use hosts::HostTable;
use nodes::{Node, NodeTable};
use stages::{StageContext, StageMachine};
use status::StatusRules;
use std::collections::BTreeSet;
use std::time::Duration;

/// Minimum remaining time, after a restart of this process, of a drain with a timeout. The wall
/// clock may have stepped forward during the restart: with a shorter time, such a step would cancel
/// the drain before the hosts have reported again. A longer time lets a drain exceed its timeout by
/// more.
pub const MIN_TIME_AFTER_RESTART: Duration = Duration::from_secs(10);

/// The state machine of nodes and their drains; see the module documentation.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Membership {
    now: Duration,
    /// The wall-clock time since 1970.
    wall: Duration,
    /// The catalog's persisted version.
    version: Version,
    hosts: HostTable,
    nodes: NodeTable,
    status_rules: StatusRules,
    stages: StageMachine,
}

impl Membership {
    /// Creates the state machine at the start of the service. `warm_up_time` is the time from a
    /// node's start until it has its full capacity, and `max_attempt_time` the longest time that an
    /// attempt may take.
    pub fn new(
        now: Duration,
        warm_up_time: Duration,
        max_attempt_time: Duration,
        hosts: impl IntoIterator<Item = HostNumber>,
    ) -> Self {
        Membership {
            now,
            wall: Duration::ZERO,
            version: Version(0),
            hosts: HostTable::new(now, max_attempt_time, hosts),
            nodes: NodeTable::default(),
            status_rules: StatusRules::new(warm_up_time),
            stages: StageMachine::default(),
        }
    }

    /// Handles events, and returns the actions to perform, in order. `now` is the time of this
    /// process's clock, and `wall` the wall-clock time since 1970.
    pub fn step(&mut self, now: Duration, wall: Duration, events: Vec<Event>) -> Vec<Action> {
        self.now = now.max(self.now);
        self.wall = wall;
        let mut actions = Vec::new();
        for event in events {
            self.handle(event, &mut actions);
        }
        for node in self.nodes_to_update() {
            self.update_status(node, &mut actions);
        }
        let context = StageContext {
            now: self.now,
            version: self.version,
            hosts: &self.hosts,
        };
        self.stages.propose(context, &mut self.nodes, &mut actions);
        actions
    }

    /// Returns when `step` must be called again if no event occurs before.
    pub fn wake_at(&self) -> Option<Duration> {
        let due = self.nodes.iter().filter_map(|(_, node)| self.due_at(node));
        due.filter(|at| *at > self.now).min()
    }

    /// Returns whether the node's drain in the catalog forbids hosts to send it new requests.
    pub fn blocks_new_requests(&self, node: u32) -> bool {
        self.nodes.get(node).is_some_and(Node::blocks_new_requests)
    }

    fn handle(&mut self, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Node { node, to } => {
                self.nodes.set_attributes(node, to);
                self.stages.retry_queued();
            }
            Event::Drain { node, to, version } => {
                let notice = self.set_drain(node, to, version);
                actions.extend(notice.map(|text| Action::Notify { node, text }));
            }
            Event::Persisted { version } => self.version = self.version.max(version),
            Event::Acknowledged { host, version } => self.hosts.set_acknowledged(host, version),
            Event::HostRemoved { host } => self.hosts.set_removed(host),
            Event::HostConnected { host, incarnation } => {
                self.hosts.set_connected(self.now, host, incarnation);
            }
            Event::HostDisconnected { host } => {
                self.hosts.set_disconnected(self.now, host);
                self.nodes.discard_counts(host);
            }
            Event::Observed {
                host,
                node,
                observation,
            } => self.nodes.observe(self.now, host, node, observation),
            Event::Committed { proposal } => self.end_proposal(proposal, String::new()),
            Event::Rejected { proposal, reason } => self.end_proposal(proposal, reason),
        }
    }

    fn end_proposal(&mut self, proposal: ProposalId, reason: String) {
        self.stages
            .end_proposal(self.now, &mut self.nodes, proposal, reason);
    }

    /// Sets a drain as it was persisted. Returns the notice to operators if the stage changed.
    fn set_drain(&mut self, number: u32, drain: Option<Drain>, version: Version) -> Option<String> {
        self.stages.retry_queued();
        let before = self.nodes.take_drain(number);
        let Some(drain) = drain else {
            return before.map(|_| "drain ended".into());
        };
        let same_stage = before.filter(|before| before.stage == drain.stage);
        let notice = same_stage.is_none().then(|| stage_notice(&drain));
        let state = DrainState::new(drain, version, same_stage, self.now, self.wall);
        self.nodes.set_drain(number, state);
        notice
    }

    /// Takes the nodes that changed, and adds those whose timers expired.
    fn nodes_to_update(&mut self) -> BTreeSet<u32> {
        let mut numbers = self.nodes.take_changed();
        for (number, node) in self.nodes.iter() {
            if self.due_at(node).is_some_and(|at| at <= self.now) {
                numbers.insert(number);
            }
        }
        numbers
    }

    /// Returns when the next timer of a node expires.
    fn due_at(&self, node: &Node) -> Option<Duration> {
        let times = [
            self.status_rules.warm_at(node),
            stages::due_at(&self.hosts, node),
        ];
        times.into_iter().flatten().min()
    }

    /// Recomputes a node's status, and reports a change to admission and operators.
    fn update_status(&mut self, number: u32, actions: &mut Vec<Action>) {
        let Some(node) = self.nodes.get(number) else {
            return;
        };
        let evidence = self.status_rules.evidence(self.now, self.wall, node);
        let (status, status_source) = node_status(&evidence);
        let exclusion = status::exclusion(node, status);
        let in_catalog = node.in_catalog;
        let before = self.nodes.set_status(number, status, status_source);
        if self.nodes.set_exclusion(number, exclusion) {
            self.stages.retry_queued();
            actions.push(Action::SetExclusion {
                node: number,
                reason: exclusion,
            });
        }
        if before != status && in_catalog {
            actions.push(Action::Notify {
                node: number,
                text: format!("{status}, by {status_source}; it was {before}"),
            });
        }
    }
}
