//! How nodes are drained, and the status of nodes by the observations of all hosts.
//!
//! State machine: `step(now, wall, events)` returns the actions to perform: proposals to the
//! catalog, exclusions for admission and notices to operators. [`Membership::wake_at`] returns when
//! it must be called again. No I/O. The catalog service calls it for every batch of events of the
//! catalog, the hosts and the store. Each step updates the status of the nodes that changed, and
//! the stage of every drain. Each part of the state has one owner:
//!
//! - `HostTable`: which catalog version each host has acknowledged, and whether it is connected;
//! - `NodeTable`: the facts, drains, reports and status of nodes;
//! - `StatusRules`: the evidence on a node's status;
//! - `StageMachine`: the next stage of each drain.
//!
//! A drain is queued, draining, drained, removed. The stages are in the catalog. Each stage is a
//! change that is persisted and replicated like any other, so a crash at any moment finds the drain
//! at its stage. Only hosts know the progress between two stages, and they report it again to a new
//! process:
//!
//! - A host is *notified* once it has acknowledged the catalog up to the drain; then it can no
//!   longer send an attempt decided before. A host that never acknowledged a version serves
//!   nothing. A host that is down blocks the drain until it is back or an operator guarantees that
//!   it sends nothing, since it might send again by its persisted version.
//! - A node is *quiet* at a host that counted its attempts after it followed the drain and found
//!   none, once its attempts without a known outcome have had the longest time that any attempt may
//!   take. Attempts that a host had in flight when its connection was lost, or that an earlier
//!   incarnation had in flight until the next one connected, get twice that time: to end at the
//!   host, and to be over at the node.
//! - A node is *drained* when every host is notified and quiet. It does not go back, since no host
//!   sends to it.
//!
//! A queued drain is proposed when nothing known here conflicts with it in its zone; the earliest
//! request of a zone goes first. Admission decides finally, at each attempt again. A drain that is
//! not finished within its timeout is given up, and the node serves again, because its operator
//! wanted it soon or not at all. This process's clock measures the timeout; over a restart, the
//! wall clock does. The wall clock may have been set, so at least [`MIN_TIME_AFTER_RESTART`]
//! remains.
//!
//! At a start, the catalog's complete state goes into one step. If its hosts came in a later step,
//! a drain would find no host to notify.
//!
//! Memory: an entry for each host and node, and a report of each host on each node.

mod drain_state;
mod hosts;
mod messages;
mod nodes;
mod stages;
mod status;
mod view;

pub use messages::{Action, Event, NodeFacts, NodeObservation, ProposalId};
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

/// Least remaining time of a drain with a timeout after a restart of this process. The wall clock
/// may have stepped forward during the restart: with a shorter time, such a step would give up a
/// drain before the hosts have reported again. A longer time lets a drain exceed its timeout by
/// more.
pub const MIN_TIME_AFTER_RESTART: Duration = Duration::from_secs(10);

/// The state machine of nodes and their drains; see the module.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Membership {
    now: Duration,
    /// The wall clock, since 1970.
    wall: Duration,
    /// The catalog's persisted version.
    version: Version,
    hosts: HostTable,
    nodes: NodeTable,
    status_rules: StatusRules,
    stages: StageMachine,
}

impl Membership {
    /// `warm_up_time`: time from a node's start until it has its full capacity.
    /// `max_attempt_time`: the longest time that an attempt may take.
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

    /// Handles events, and returns the actions to perform, in order. `now`: this process's clock;
    /// `wall`: time since 1970.
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

    /// When `step` must be called again if nothing happens before.
    pub fn wake_at(&self) -> Option<Duration> {
        let due = self.nodes.iter().filter_map(|(_, node)| self.due_at(node));
        due.filter(|at| *at > self.now).min()
    }

    /// Returns whether hosts send a node nothing new, by the catalog.
    pub fn blocks_new_requests(&self, node: u32) -> bool {
        self.nodes.get(node).is_some_and(Node::blocks_new_requests)
    }

    fn handle(&mut self, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Node { node, to } => {
                self.nodes.set_facts(node, to);
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

    /// Sets a drain as it was persisted, and returns the notice to operators.
    fn set_drain(&mut self, number: u32, drain: Option<Drain>, version: Version) -> Option<String> {
        self.stages.retry_queued();
        let before = self.nodes.take_drain(number);
        let Some(drain) = drain else {
            return before.map(|_| "no longer drained".into());
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

    /// When time alone may change something about a node.
    fn due_at(&self, node: &Node) -> Option<Duration> {
        let times = [
            self.status_rules.warm_at(node),
            stages::due_at(&self.hosts, node),
        ];
        times.into_iter().flatten().min()
    }

    /// Computes a node's status again, and reports a change to admission and operators.
    fn update_status(&mut self, number: u32, actions: &mut Vec<Action>) {
        let Some(node) = self.nodes.get(number) else {
            return;
        };
        let evidence = self.status_rules.evidence(self.now, self.wall, node);
        let (status, authority) = node_status(&evidence);
        let exclusion = status::exclusion(node, status);
        let known = node.known;
        let before = self.nodes.set_status(number, status, authority);
        if self.nodes.set_exclusion(number, exclusion) {
            self.stages.retry_queued();
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
}
