//! Decides when a drain enters its next stage, and what blocks it.
//!
//! [`Membership`](super::Membership) calls [`StageMachine::propose`] at each step. The state machine
//! keeps the number of the last proposal, and whether queued drains must be retried. The drains
//! themselves are in the node table.

use super::drain_state::{DrainState, PendingProposal};
use super::hosts::HostTable;
use super::messages::{Action, ProposalId};
use super::nodes::{Node, NodeTable};
use crate::list_entry::ListedState;
use grebecleat_catalog::admission::{excluded_in_zone, ExclusionReason};
use grebecleat_catalog::records::{Drain, Stage, Version};
use std::hash::{Hash, Hasher};
use std::time::Duration;

/// Time after which a queued drain is proposed again although no event has occurred: what blocks it
/// may be in a part of the catalog that [`Membership`](super::Membership) does not receive. A longer
/// interval starts drains later; a shorter one loads the catalog with proposals.
const RETRY_INTERVAL: Duration = Duration::from_secs(5);

/// The change of a drain's stage that is to be proposed.
struct NextStage {
    /// The next stage. `None` if the drain ends and the node accepts requests again.
    stage: Option<Stage>,
    reason: String,
}

impl NextStage {
    fn new(stage: Stage, reason: &str) -> Self {
        NextStage {
            stage: Some(stage),
            reason: reason.into(),
        }
    }
}

/// The state of the membership that the decisions of one step depend on.
#[derive(Clone, Copy)]
pub(super) struct StageContext<'a> {
    pub now: Duration,
    /// The catalog's persisted version.
    pub version: Version,
    pub hosts: &'a HostTable,
}

/// Decides the stages of all drains; see the module documentation.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub(super) struct StageMachine {
    last_proposal: u64,
    /// Whether a change may have unblocked a queued drain.
    retry_queued: bool,
}

/// The state exploration in the tests compares states by their hash. The number of earlier proposals
/// has no influence on later states, and is left out.
impl Hash for StageMachine {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.retry_queued.hash(state);
    }
}

impl StageMachine {
    /// Retries all queued drains at the next step, after a change that may have unblocked them.
    pub fn retry_queued(&mut self) {
        self.retry_queued = true;
    }

    /// Proposes the next stage of each drain that can advance.
    pub fn propose(
        &mut self,
        context: StageContext,
        nodes: &mut NodeTable,
        actions: &mut Vec<Action>,
    ) {
        let drained = nodes.iter().filter(|(_, node)| node.drain.is_some());
        let numbers: Vec<u32> = drained.map(|(number, _)| number).collect();
        for number in numbers {
            let next = self.next_stage(context, nodes, number);
            actions.extend(next.and_then(|next| self.propose_stage(context, nodes, number, next)));
        }
        self.retry_queued = false;
    }

    /// Records the outcome of a proposal. The change itself, if the proposal was committed, arrives
    /// as [`Event::Drain`](super::Event::Drain).
    pub fn end_proposal(
        &mut self,
        now: Duration,
        nodes: &mut NodeTable,
        proposal: ProposalId,
        reason: String,
    ) {
        if let Some(drain) = nodes.drain_awaiting(proposal) {
            drain.pending = None;
            drain.blocked_by = reason;
            drain.retry_at = now + RETRY_INTERVAL;
        }
    }

    fn propose_stage(
        &mut self,
        context: StageContext,
        nodes: &mut NodeTable,
        number: u32,
        next: NextStage,
    ) -> Option<Action> {
        self.last_proposal += 1;
        let proposal = ProposalId(self.last_proposal);
        let drain = nodes.drain_mut(number)?;
        drain.pending = Some(PendingProposal {
            proposal,
            stage: next.stage,
        });
        let to = next.stage.map(|stage| Drain {
            stage,
            timeout: drain.timeout,
            author: drain.author.clone(),
            requested_at: drain.requested_at,
            since: drain.since,
        });
        Some(Action::Propose {
            proposal,
            node: number,
            to,
            base_version: context.version,
            reason: next.reason,
        })
    }

    /// Returns the next stage of a drain. `None` if it stays at its stage.
    fn next_stage(
        &self,
        context: StageContext,
        nodes: &mut NodeTable,
        number: u32,
    ) -> Option<NextStage> {
        let node = nodes.get(number)?;
        let drain = node
            .drain
            .as_ref()
            .filter(|drain| drain.pending.is_none())?;
        match drain.stage {
            Stage::Queued => self.after_queued(context.now, nodes, number),
            Stage::Draining => after_draining(context, node, drain),
            Stage::Drained => after_drained(node),
            Stage::Removed => None,
        }
    }

    /// A queued drain begins when nothing known to the membership blocks it.
    fn after_queued(&self, now: Duration, nodes: &mut NodeTable, number: u32) -> Option<NextStage> {
        let blocked_by = blocked_by(nodes, number);
        let drain = nodes.drain_mut(number)?;
        if let Some(reason) = blocked_by {
            drain.blocked_by = reason;
            drain.retry_at = now + RETRY_INTERVAL;
            return None;
        }
        let due = self.retry_queued || drain.retry_at <= now;
        due.then(|| NextStage::new(Stage::Draining, "no conflict in its zone"))
    }
}

/// A node is drained when every host is notified and quiescent. Its drain is canceled at the timeout.
fn after_draining(context: StageContext, node: &Node, drain: &DrainState) -> Option<NextStage> {
    let notified = context.hosts.unnotified(drain.version).is_empty();
    let is_quiescent = || {
        let quiescent_at = context.hosts.quiescent_at(node);
        quiescent_at.is_some_and(|at| at <= context.now)
    };
    if notified && is_quiescent() {
        let reason = "no host has an attempt in flight";
        return Some(NextStage::new(Stage::Drained, reason));
    }
    let expired = drain.expires_at.is_some_and(|at| at <= context.now);
    expired.then(|| NextStage {
        stage: None,
        reason: format!(
            "canceled: node not drained within {}",
            format_duration(drain.timeout)
        ),
    })
}

/// A drained node counts as removed when the endpoint list no longer contains it.
fn after_drained(node: &Node) -> Option<NextStage> {
    let gone = node
        .list_entry()
        .is_some_and(|entry| entry.state == ListedState::Gone);
    gone.then(|| NextStage::new(Stage::Removed, "the endpoint list no longer contains it"))
}

/// Returns the reason why a queued drain cannot begin, as far as it is known to the membership.
fn blocked_by(nodes: &NodeTable, number: u32) -> Option<String> {
    if let Some(other) = earlier_in_queue(nodes, number) {
        return Some(format!("node {other} of the same zone was queued first"));
    }
    let texts: Vec<String> = conflicts(nodes, number)
        .iter()
        .map(|(node, reason)| format!("node {node} {reason}"))
        .collect();
    (!texts.is_empty()).then(|| texts.join(" and "))
}

/// Returns the node in the same zone whose queued drain was requested first, if that is another node.
fn earlier_in_queue(nodes: &NodeTable, number: u32) -> Option<u32> {
    let node = nodes.get(number)?;
    let requested_at = |node: &Node| {
        let drain = node.drain.as_ref();
        let queued = drain.filter(|drain| drain.stage == Stage::Queued);
        queued.map(|drain| drain.requested_at)
    };
    let position = (requested_at(node)?, number);
    let earliest = nodes
        .iter()
        .filter(|(_, other)| other.attributes.zone == node.attributes.zone)
        .filter_map(|(number, other)| Some((requested_at(other)?, number)))
        .filter(|other| *other < position)
        .min();
    earliest.map(|(_, number)| number)
}

/// Returns the unavailable nodes of the same zone, as far as they are known to the membership, and why
/// each is unavailable.
fn conflicts(nodes: &NodeTable, number: u32) -> Vec<(u32, ExclusionReason)> {
    let zone = |node: u32| nodes.get(node).map(|node| node.attributes.zone.clone());
    let excluded = nodes.iter().filter_map(|(number, node)| {
        let draining = node
            .blocks_new_requests()
            .then_some(ExclusionReason::Draining);
        Some((number, draining.or(node.exclusion)?))
    });
    excluded_in_zone(number, zone, excluded)
}

/// Returns when the next timer of a node's drain expires.
pub(super) fn due_at(hosts: &HostTable, node: &Node) -> Option<Duration> {
    let drain = node.drain.as_ref()?;
    let is_draining = drain.stage == Stage::Draining;
    let quiescent_at = is_draining.then(|| hosts.quiescent_at(node)).flatten();
    if drain.pending.is_some() {
        return quiescent_at;
    }
    let retry_at = (drain.stage == Stage::Queued).then_some(drain.retry_at);
    let expires_at = drain.expires_at.filter(|_| is_draining);
    [quiescent_at, retry_at, expires_at]
        .into_iter()
        .flatten()
        .min()
}

fn format_duration(span: Duration) -> String {
    match span.as_secs() {
        seconds if seconds < 10 => format!("{:.1} s", span.as_secs_f64()),
        seconds if seconds < 120 => format!("{seconds} s"),
        seconds => format!("{} min", seconds / 60),
    }
}
