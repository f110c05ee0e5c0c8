//! What an operator's program that attends is told: everything at first, then what has changed.
//!
//! Called by the state service's loop: `note` with what has happened, `tell` with what is so now, which
//! answers the frames for one that attends. Each is told the difference to what it was told before, so one
//! that reads slowly is told less often and nothing twice. Memory: for each that attends what it was last
//! told of nodes, and the last [`MOST_NOTES`] events.

use crate::codec::{change_to_proto, revision_to_proto};
use grebecleat_membership::drains::{DrainView, Membership, NodeView, Phase};
use grebecleat_membership::node_status::NodeStatus;
use grebecleat_plans::changes::{Revision, Version};
use grebecleat_plans::feed::HostNumber;
use grebecleat_plans::leader::Leader;
use grebecleat_wire::clock::micros;
use grebecleat_wire::pb;
use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

/// Who attends is told no more often than this.
pub const SPACING: Duration = Duration::from_millis(100);
const MAX_NOTES: usize = 1000;

/// Events of nodes, the newest last, each by its number.
#[derive(Default)]
pub struct EventLog {
    first: u64,
    notes: VecDeque<pb::EventLogEntry>,
}

impl EventLog {
    pub fn add(&mut self, at: Duration, node: Option<u32>, text: String) {
        self.notes.push_back(pb::EventLogEntry {
            at_us: micros(at),
            node,
            text,
        });
        if self.notes.len() > MAX_NOTES {
            self.notes.pop_front();
            self.first += 1;
        }
    }

    fn end(&self) -> u64 {
        self.first + self.notes.len() as u64
    }

    fn since(&self, number: u64) -> Vec<pb::EventLogEntry> {
        let skip = number.saturating_sub(self.first) as usize;
        self.notes.iter().skip(skip).cloned().collect()
    }
}

/// One that attends.
pub struct Subscription {
    call: u64,
    version: Option<Version>,
    stable: Version,
    nodes: BTreeMap<u32, pb::NodeReport>,
    head: Option<pb::SubscriptionUpdate>,
    notes: u64,
    told: Option<Instant>,
}

/// What all that attend are told of, beside the source and the members.
pub struct Present<'a> {
    pub leader: &'a Leader,
    pub members: &'a Membership,
    pub notes: &'a EventLog,
    pub epoch: u64,
    pub store_fault: &'a str,
    pub hosts: &'a [pb::HostStatus],
}

impl Subscription {
    pub fn new(call: u64) -> Self {
        let (nodes, head, stable) = (BTreeMap::new(), None, Version(0));
        Subscription {
            call,
            version: None,
            stable,
            nodes,
            head,
            notes: 0,
            told: None,
        }
    }

    /// When it may be told next.
    pub fn due(&self) -> Option<Instant> {
        self.told.map(|t| t + SPACING)
    }

    /// What is new to it, in `give`; nothing if nothing is.
    pub fn tell(
        &mut self,
        p: &Present,
        now: Instant,
        mut give: impl FnMut(pb::SubscriptionUpdate),
    ) {
        if self.due().is_some_and(|at| now < at) {
            return;
        }
        let (version, stable) = (p.leader.persisted(), p.leader.stable());
        let shortfall = p.leader.admission().shortfall();
        let mut head = pb::SubscriptionUpdate {
            call: self.call,
            version: version.0,
            stable: stable.0,
            epoch: p.epoch,
            hosts: p.hosts.to_vec(),
            short: shortfall.short,
            out_of_reach: shortfall.out_of_reach,
            behind: p.leader.behind().map(|v| v.0),
            store_fault: p.store_fault.to_string(),
            ..pb::SubscriptionUpdate::default()
        };
        let names = |h: &HostNumber| {
            p.hosts
                .get(h.0 as usize)
                .map(|h| h.name.clone())
                .unwrap_or_default()
        };
        let mut changed = Vec::new();
        for shown in p.members.shown(shortfall.short + shortfall.out_of_reach) {
            let node = node_pb(&shown, &names);
            if self
                .nodes
                .get(&shown.node)
                .is_none_or(|told| !alike(told, &node))
            {
                self.nodes.insert(shown.node, node.clone());
                changed.push(node);
            }
        }
        let happened = p.notes.since(self.notes);
        let revisions: Option<Vec<&Revision>> = self
            .version
            .and_then(|v| p.leader.catalog().since(v))
            .map(Iterator::collect);
        let news = self.head.as_ref() != Some(&head) || !changed.is_empty() || !happened.is_empty();
        if !news && self.version == Some(version) && self.stable == stable {
            return;
        }
        (self.head, self.notes, self.told) = (Some(head.clone()), p.notes.end(), Some(now));
        (self.stable, head.nodes, head.happened) = (stable, changed, happened);
        match revisions {
            Some(revisions) => {
                head.revisions = revisions
                    .into_iter()
                    .filter(|e| e.version <= version)
                    .map(revision_to_proto)
                    .collect();
                give(head);
            }
            // At first, and where the trail no longer reaches back so far.
            None => {
                let state = p
                    .leader
                    .catalog()
                    .state_at(version)
                    .map(|c| change_to_proto(&c));
                let first = pb::SubscriptionUpdate {
                    snapshot: true,
                    ..head.clone()
                };
                let mut first = Some(first);
                crate::serve::in_parts(state, |state, more| {
                    let part = first.take().unwrap_or(pb::SubscriptionUpdate {
                        call: self.call,
                        ..Default::default()
                    });
                    give(pb::SubscriptionUpdate {
                        state,
                        more,
                        ..part
                    });
                });
            }
        }
        self.version = Some(version);
    }
}

/// Whether nothing but spans that run by themselves has changed.
fn alike(told: &pb::NodeReport, now: &pb::NodeReport) -> bool {
    let still = |n: &pb::NodeReport| {
        let drain = n.drain.clone().map(|d| pb::DrainStatus {
            left_us: None,
            unsure_us: 0,
            ..d
        });
        pb::NodeReport {
            up_us: None,
            drain,
            ..n.clone()
        }
    };
    still(told) == still(now)
}

pub fn node_status_to_proto(status: NodeStatus) -> pb::NodeStatusKind {
    match status {
        NodeStatus::Unknown => pb::NodeStatusKind::Unknown,
        NodeStatus::Warming => pb::NodeStatusKind::Warming,
        NodeStatus::Ready => pb::NodeStatusKind::IsReady,
        NodeStatus::Draining => pb::NodeStatusKind::IsDraining,
        NodeStatus::Empty => pb::NodeStatusKind::IsEmpty,
        NodeStatus::Out => pb::NodeStatusKind::IsOut,
        NodeStatus::Suspect => pb::NodeStatusKind::Suspect,
        NodeStatus::Back => pb::NodeStatusKind::Back,
    }
}

pub fn node_status_from_proto(status: pb::NodeStatusKind) -> NodeStatus {
    let all = NodeStatus::NAMES.iter().map(|l| l.0);
    all.into_iter()
        .find(|l| node_status_to_proto(*l) == status)
        .unwrap_or_default()
}

fn node_pb(n: &NodeView, names: &dyn Fn(&HostNumber) -> String) -> pb::NodeReport {
    pb::NodeReport {
        node: n.node,
        name: n.facts.name.to_string(),
        zone: n.facts.zone.to_string(),
        shard: n.facts.shard,
        status: node_status_to_proto(n.node_status).into(),
        by: n.wins.to_string(),
        up_us: n.up.map(micros),
        start: n.reading.start,
        drain: n.drain.as_ref().map(|d| drain_pb(d, names)),
    }
}

fn drain_pb(d: &DrainView, names: &dyn Fn(&HostNumber) -> String) -> pb::DrainStatus {
    let mut shown = pb::DrainStatus {
        author: d.author.to_string(),
        asked_us: micros(d.asked),
        since_us: micros(d.since),
        left_us: d.left.map(micros),
        extents: d.extents,
        ..pb::DrainStatus::default()
    };
    let phase = match &d.phase {
        Phase::Waits { reason } => {
            shown.objections = vec![reason.clone()];
            pb::DrainPhase::Waits
        }
        Phase::Telling { hosts } => {
            shown.untold = hosts.iter().map(|(h, _)| names(h)).collect();
            shown.lost = hosts
                .iter()
                .filter(|(_, up)| !up)
                .map(|(h, _)| names(h))
                .collect();
            pb::DrainPhase::Telling
        }
        Phase::Quiescing {
            attempts,
            most,
            unsure,
        } => {
            (shown.attempts, shown.most, shown.unsure_us) = (*attempts, *most, micros(*unsure));
            pb::DrainPhase::Quiescing
        }
        Phase::Empty { objections } => {
            shown.objections = objections.clone();
            pb::DrainPhase::NowEmpty
        }
        Phase::Out => pb::DrainPhase::TakenOut,
    };
    shown.phase = phase.into();
    shown
}
