//! When a drain goes to its next stage, and what keeps it from that.

use super::messages::{Action, ProposalId};
use super::records::{DrainState, Host, Node, Pending};
use super::{Membership, RETRY_INTERVAL};
use crate::list_reading::ListedState;
use grebecleat_catalog::admission::{excluded_in_zone, ExclusionReason};
use grebecleat_catalog::feed::HostNumber;
use grebecleat_catalog::records::{Drain, Stage, Version};
use std::time::Duration;

/// A step of a drain, as it is to be proposed.
struct NextStage {
    /// None: the drain is to end, and the node serves again.
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

impl Membership {
    /// Proposes the next stage of each drain that can go on.
    pub(super) fn propose_stages(&mut self, actions: &mut Vec<Action>) {
        let drained = |(number, node): (&u32, &Node)| node.drain.as_ref().map(|_| *number);
        let nodes: Vec<u32> = self.nodes.iter().filter_map(drained).collect();
        for node in nodes {
            let next = self.next_stage(node);
            actions.extend(next.and_then(|next| self.propose(node, next)));
        }
        self.retry_queued = false;
    }

    fn propose(&mut self, number: u32, next: NextStage) -> Option<Action> {
        self.last_proposal += 1;
        let proposal = ProposalId(self.last_proposal);
        let drain = self.nodes.get_mut(&number)?.drain.as_mut()?;
        drain.pending = Some(Pending {
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
            base_version: self.version,
            reason: next.reason,
        })
    }

    /// The stage that a drain should go to now; None: it stays where it is.
    fn next_stage(&mut self, number: u32) -> Option<NextStage> {
        let node = &self.nodes[&number];
        let drain = node
            .drain
            .as_ref()
            .filter(|drain| drain.pending.is_none())?;
        match drain.stage {
            Stage::Queued => self.after_queued(number),
            Stage::Draining => self.after_draining(number, drain),
            Stage::Drained => after_drained(node),
            Stage::Removed => None,
        }
    }

    /// A queued drain begins when nothing known here blocks it.
    fn after_queued(&mut self, number: u32) -> Option<NextStage> {
        let blocked_by = self.blocked_by(number);
        let retry_at = self.now + RETRY_INTERVAL;
        let drain = self.nodes.get_mut(&number)?.drain.as_mut()?;
        if let Some(reason) = blocked_by {
            drain.waits_for = reason;
            drain.retry_at = retry_at;
            return None;
        }
        let due = self.retry_queued || drain.retry_at <= self.now;
        due.then(|| NextStage::new(Stage::Draining, "its turn has come"))
    }

    /// A drain is finished when every host is notified and quiet, and ends when its time is over.
    fn after_draining(&self, number: u32, drain: &DrainState) -> Option<NextStage> {
        let notified = self.unnotified_hosts(drain.version).is_empty();
        if notified && self.quiet_at(number).is_some_and(|at| at <= self.now) {
            let reason = "nothing is under way at any host";
            return Some(NextStage::new(Stage::Drained, reason));
        }
        let expired = drain.expires_at.is_some_and(|at| at <= self.now);
        expired.then(|| NextStage {
            stage: None,
            reason: format!("given up: not empty within {}", span_text(drain.timeout)),
        })
    }

    /// What keeps a queued drain from beginning, as far as is known here.
    fn blocked_by(&self, number: u32) -> Option<String> {
        if let Some(other) = self.earlier_in_queue(number) {
            return Some(format!("node {other} of its zone asked before it"));
        }
        let conflicts = self.conflicts(number);
        let texts = conflicts
            .iter()
            .map(|(node, reason)| format!("node {node} {reason}"));
        let texts: Vec<String> = texts.collect();
        (!texts.is_empty()).then(|| texts.join(" and "))
    }

    /// A queued drain in the same zone that was requested earlier.
    fn earlier_in_queue(&self, number: u32) -> Option<u32> {
        let node = &self.nodes[&number];
        let requested_at = |node: &Node| {
            let queued = node
                .drain
                .as_ref()
                .filter(|drain| drain.stage == Stage::Queued);
            queued.map(|drain| drain.requested_at)
        };
        let place = (requested_at(node)?, number);
        let same_zone = |other: &Node| other.facts.zone == node.facts.zone;
        let others = self.nodes.iter().filter(|(_, other)| same_zone(other));
        let places = others.filter_map(|(number, other)| Some((requested_at(other)?, *number)));
        let earliest = places.filter(|other| *other < place).min();
        earliest.map(|(_, number)| number)
    }

    /// Unavailable nodes of the same zone, as far as is known here.
    fn conflicts(&self, number: u32) -> Vec<(u32, ExclusionReason)> {
        let zone = |node: u32| self.nodes.get(&node).map(|node| node.facts.zone.clone());
        let excluded = self.nodes.iter().filter_map(|(number, node)| {
            let drains = node
                .blocks_new_requests()
                .then_some(ExclusionReason::Draining);
            Some((*number, drains.or(node.exclusion)?))
        });
        excluded_in_zone(number, zone, excluded)
    }

    /// Hosts that might still send by an older version than that, and whether they are connected.
    pub(super) fn unnotified_hosts(&self, version: Version) -> Vec<(HostNumber, bool)> {
        let may_send =
            |host: &Host| !host.removed && host.acknowledged.is_some_and(|known| known < version);
        let hosts = self.hosts.iter().filter(|(_, host)| may_send(host));
        hosts
            .map(|(number, host)| (*number, host.connected))
            .collect()
    }

    /// When the last attempt that any host had in flight there is over, as far as is known. None
    /// while some host still counts attempts, or has not counted them since it follows the drain.
    pub(super) fn quiet_at(&self, number: u32) -> Option<Duration> {
        let node = &self.nodes[&number];
        let version = node.drain.as_ref()?.version;
        let mut quiet_at = Duration::ZERO;
        for (host_number, host) in &self.hosts {
            if host.acknowledged.is_none() {
                continue;
            }
            let quiet_at_host = if host.connected {
                let report = node.reports.get(host_number)?;
                let counted = report.observation.catalog_version >= version;
                if !counted || report.observation.attempts > 0 {
                    return None;
                }
                let resolved_at = report.received + report.observation.unresolved_for;
                host.unaccounted_until.max(resolved_at)
            } else {
                host.unaccounted_until
            };
            quiet_at = quiet_at.max(quiet_at_host);
        }
        Some(quiet_at)
    }

    /// When a draining node is quiet everywhere.
    pub(super) fn quiet_due_at(&self, node: u32) -> Option<Duration> {
        let draining = self.drain_stage(node) == Some(Stage::Draining);
        draining.then(|| self.quiet_at(node)).flatten()
    }

    /// When a queued drain is tried again.
    pub(super) fn retry_due_at(&self, node: u32) -> Option<Duration> {
        let drain = self.nodes[&node].drain.as_ref()?;
        let waits = drain.stage == Stage::Queued && drain.pending.is_none();
        waits.then_some(drain.retry_at)
    }

    /// When a drain is given up.
    pub(super) fn expiry_due_at(&self, node: u32) -> Option<Duration> {
        let drain = self.nodes[&node].drain.as_ref()?;
        let runs = drain.stage == Stage::Draining && drain.pending.is_none();
        drain.expires_at.filter(|_| runs)
    }
}

/// A drained node counts as taken out once the endpoint list says that it is gone.
fn after_drained(node: &Node) -> Option<NextStage> {
    let gone = node
        .list_reading()
        .is_some_and(|reading| reading.state == ListedState::Gone);
    gone.then(|| NextStage::new(Stage::Removed, "the list says that it is gone"))
}

fn span_text(span: Duration) -> String {
    match span.as_secs() {
        seconds if seconds < 10 => format!("{:.1} s", span.as_secs_f64()),
        seconds if seconds < 120 => format!("{seconds} s"),
        seconds => format!("{} min", seconds / 60),
    }
}
