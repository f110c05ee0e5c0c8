//! Connects the leader with the membership: each learns what the other decides.

use super::owner::Owner;
use super::wall_time::wall_time;
use grebecleat_catalog::change::Change;
use grebecleat_catalog::feed::HostNumber;
use grebecleat_catalog::leader::{Event as LeaderEvent, Proposal};
use grebecleat_catalog::records::Version;
use grebecleat_membership::drains::{
    Action as MembershipAction, Event as MembershipEvent, NodeFacts,
};
use grebecleat_wire::clock;
use tracing::info;

/// Rounds between the leader and the membership in one step; the rest waits for the next step.
const MAX_ROUNDS_PER_STEP: usize = 16;
/// Author of the membership's own proposals in the audit log.
const AUTHOR: &str = "drains";

impl Owner<'_> {
    /// Steps the membership with `events` and with what is new in the catalog, and the leader with
    /// what the membership proposes, which may have its result at once, until both have nothing
    /// new.
    pub(super) fn step_membership(&mut self, mut events: Vec<MembershipEvent>) {
        for _ in 0..MAX_ROUNDS_PER_STEP {
            self.add_catalog_events(&mut events);
            self.add_acknowledgements(&mut events);
            let wake_at = self.membership.wake_at();
            let due = wake_at.is_some_and(|at| at <= clock::now());
            if events.is_empty() && !due {
                return;
            }
            let membership = &mut self.membership.membership;
            let actions = membership.step(clock::now(), wall_time(), std::mem::take(&mut events));
            let mut leader_events = Vec::new();
            for action in actions {
                self.perform_membership_action(action, &mut leader_events);
            }
            if !leader_events.is_empty() {
                let actions = self.leader.step(clock::now(), wall_time(), leader_events);
                events.extend(self.perform(actions));
            }
        }
    }

    /// Adds what is stored of the catalog beyond what the membership knows.
    fn add_catalog_events(&mut self, events: &mut Vec<MembershipEvent>) {
        let persisted = self.leader.persisted();
        let known = self.membership.known;
        if persisted <= known {
            return;
        }
        events.push(MembershipEvent::Persisted { version: persisted });
        let catalog = self.leader.catalog();
        match catalog.since(known) {
            Some(revisions) if known != Version(0) => {
                for revision in revisions.filter(|revision| revision.version <= persisted) {
                    for change in &revision.changes {
                        events.extend(membership_event(revision.version, change.clone()));
                    }
                }
            }
            // At first, and where the audit log no longer reaches back so far: the complete state.
            _ => {
                for change in catalog.state_at(persisted) {
                    let version = catalog.last_changed(&change.subject());
                    events.extend(membership_event(version.unwrap_or(persisted), change));
                }
            }
        }
        self.membership.known = persisted;
    }

    /// Adds the versions that hosts have acknowledged since the membership last learnt of them.
    fn add_acknowledgements(&mut self, events: &mut Vec<MembershipEvent>) {
        for (index, (_, version)) in self.leader.follows().enumerate() {
            let host = HostNumber(index as u32);
            let known = self.membership.acknowledged.insert(host, version);
            if known != Some(version) {
                events.push(MembershipEvent::Acknowledged { host, version });
            }
        }
    }

    fn perform_membership_action(
        &mut self,
        action: MembershipAction,
        leader_events: &mut Vec<LeaderEvent>,
    ) {
        match action {
            MembershipAction::Propose {
                proposal: id,
                node,
                to,
                base_version,
                reason,
            } => {
                let call = self.new_call();
                self.membership.proposals.insert(call, id);
                let proposal = Proposal {
                    author: AUTHOR.to_string(),
                    reason,
                    base_version,
                    changes: vec![Change::Drain { node, to }],
                    at: None,
                    force: false,
                    dry_run: false,
                };
                leader_events.push(LeaderEvent::Proposed { call, proposal });
            }
            MembershipAction::SetExclusion { node, reason } => {
                leader_events.push(LeaderEvent::NodeUnavailable { node, how: reason });
            }
            MembershipAction::Notify { node, text } => {
                info!(node, "{text}");
                self.event_log.add(wall_time(), Some(node), text);
            }
        }
    }
}

/// The event of a stored change; None if it is of no node and no drain.
fn membership_event(version: Version, change: Change) -> Option<MembershipEvent> {
    match change {
        Change::Node { id, to } => {
            let to = to.map(|node| NodeFacts {
                name: node.name,
                zone: node.zone,
                shard: node.shard,
            });
            Some(MembershipEvent::Node { node: id, to })
        }
        Change::Drain { node, to } => Some(MembershipEvent::Drain { node, to, version }),
        _ => None,
    }
}
