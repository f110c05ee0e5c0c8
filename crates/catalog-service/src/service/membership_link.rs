//! Passes decisions between the leader and the membership's state machine.
//!
//! Owned by [`super::owner`], which alternates between [`MembershipLink::step`] and the leader
//! until neither has a new decision. State: the membership, how much of the leader's state the
//! membership knows, and the membership's own proposals without a result.

use super::wall_time::wall_time;
use grebecleat_catalog::change::Change;
use grebecleat_catalog::feed::HostNumber;
use grebecleat_catalog::leader::{CallId, Event as LeaderEvent, Leader, Proposal};
use grebecleat_catalog::records::Version;
use grebecleat_membership::drains::{
    Action as MembershipAction, Event as MembershipEvent, Membership, NodeAttributes, ProposalId,
};
use grebecleat_wire::clock;
use std::collections::BTreeMap;
use std::time::Duration;

/// Author of the membership's own proposals in the audit log.
const AUTHOR: &str = "drains";

/// The decisions that the membership made in one step.
#[derive(Default)]
pub(super) struct MembershipOutcome {
    /// The membership's proposals and exclusions, for the leader.
    pub leader_events: Vec<LeaderEvent>,
    /// Notices for operators, in their order.
    pub notices: Vec<NodeNotice>,
}

/// An event of one node, for operators.
pub(super) struct NodeNotice {
    /// The node's number.
    pub node: u32,
    /// The text that describes the event.
    pub text: String,
}

/// The membership, and how much it knows of the catalog and of the hosts' acknowledgements.
pub(super) struct MembershipLink {
    membership: Membership,
    /// The version up to which the membership knows the catalog.
    known: Version,
    /// By host, the acknowledged version that the membership knows.
    acknowledged: BTreeMap<HostNumber, Option<Version>>,
    /// The membership's own proposals that wait for their result.
    proposals: BTreeMap<CallId, ProposalId>,
}

impl MembershipLink {
    /// Returns a link whose membership knows nothing of the catalog yet.
    pub fn new(membership: Membership) -> Self {
        MembershipLink {
            membership,
            known: Version(0),
            acknowledged: BTreeMap::new(),
            proposals: BTreeMap::new(),
        }
    }

    /// Returns the membership, to read from.
    pub fn membership(&self) -> &Membership {
        &self.membership
    }

    /// Returns when the membership's next timer is due.
    pub fn wake_at(&self) -> Option<Duration> {
        self.membership.wake_at()
    }

    /// Removes and returns the membership's proposal with that call ID, when its result is known.
    pub fn take_proposal(&mut self, call: CallId) -> Option<ProposalId> {
        self.proposals.remove(&call)
    }

    /// Steps the membership with `events` and with everything new in the leader's state. Returns
    /// `None` if there is nothing new and no timer is due. `allocate_call`: returns an unused ID for
    /// the call of a proposal.
    pub fn step(
        &mut self,
        leader: &Leader,
        mut events: Vec<MembershipEvent>,
        allocate_call: impl FnMut() -> CallId,
    ) -> Option<MembershipOutcome> {
        self.add_catalog_events(leader, &mut events);
        self.add_acknowledgements(leader, &mut events);
        let is_due = self.wake_at().is_some_and(|at| at <= clock::now());
        if events.is_empty() && !is_due {
            return None;
        }
        let actions = self.membership.step(clock::now(), wall_time(), events);
        Some(self.outcome(actions, allocate_call))
    }

    /// Adds the stored changes of the catalog that the membership does not know yet.
    fn add_catalog_events(&mut self, leader: &Leader, events: &mut Vec<MembershipEvent>) {
        let persisted = leader.persisted();
        if persisted <= self.known {
            return;
        }
        events.push(MembershipEvent::Persisted { version: persisted });
        let catalog = leader.catalog();
        match catalog.since(self.known) {
            Some(revisions) if self.known != Version(0) => {
                for revision in revisions.filter(|revision| revision.version <= persisted) {
                    for change in &revision.changes {
                        events.extend(membership_event(revision.version, change.clone()));
                    }
                }
            }
            // The complete state: in the first step, and if the audit log no longer has the revisions
            // after `known`.
            _ => {
                for change in catalog.state_at(persisted) {
                    let version = catalog.last_changed(&change.subject());
                    events.extend(membership_event(version.unwrap_or(persisted), change));
                }
            }
        }
        self.known = persisted;
    }

    /// Adds the versions that hosts have acknowledged and that the membership does not know yet.
    fn add_acknowledgements(&mut self, leader: &Leader, events: &mut Vec<MembershipEvent>) {
        for (index, (_, version)) in leader.follows().enumerate() {
            let host = HostNumber(index as u32);
            let known = self.acknowledged.insert(host, version);
            if known != Some(version) {
                events.push(MembershipEvent::Acknowledged { host, version });
            }
        }
    }

    fn outcome(
        &mut self,
        actions: Vec<MembershipAction>,
        mut allocate_call: impl FnMut() -> CallId,
    ) -> MembershipOutcome {
        let mut outcome = MembershipOutcome::default();
        for action in actions {
            match action {
                MembershipAction::Propose {
                    proposal: id,
                    node,
                    to,
                    base_version,
                    reason,
                } => {
                    let call = allocate_call();
                    self.proposals.insert(call, id);
                    let proposal = Proposal {
                        author: AUTHOR.to_string(),
                        reason,
                        base_version,
                        changes: vec![Change::Drain { node, to }],
                        at: None,
                        force: false,
                        dry_run: false,
                    };
                    let proposed = LeaderEvent::Proposed { call, proposal };
                    outcome.leader_events.push(proposed);
                }
                MembershipAction::SetExclusion { node, reason } => {
                    let unavailable = LeaderEvent::NodeUnavailable { node, how: reason };
                    outcome.leader_events.push(unavailable);
                }
                MembershipAction::Notify { node, text } => {
                    outcome.notices.push(NodeNotice { node, text });
                }
            }
        }
        outcome
    }
}

/// Returns the event of a stored change; `None` if the change concerns neither a node nor a drain.
fn membership_event(version: Version, change: Change) -> Option<MembershipEvent> {
    match change {
        Change::Node { id, to } => {
            let attributes = to.map(|node| NodeAttributes {
                name: node.name,
                zone: node.zone,
                shard: node.shard,
            });
            Some(MembershipEvent::Node {
                node: id,
                to: attributes,
            })
        }
        Change::Drain { node, to } => Some(MembershipEvent::Drain { node, to, version }),
        _ => None,
    }
}
