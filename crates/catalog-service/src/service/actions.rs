//! Performs what the leader decides: stores records, and answers hosts and operators.

use super::event::ServiceEvent;
use super::owner::Owner;
use crate::codec::{change_to_proto, revision_to_proto};
use crate::parts::send_in_parts;
use crate::store::Record;
use grebecleat_catalog::admission::{AdmissionVerdict, Reason};
use grebecleat_catalog::leader::{for_host, is_for, Action, CallId, Grant, Persist};
use grebecleat_catalog::records::{Name, Version};
use grebecleat_membership::drains::Event as MembershipEvent;
use grebecleat_wire::clock;
use grebecleat_wire::pb::{self, frame::Body};
use tracing::{info, warn};

/// What one step stores, in one commit.
#[derive(Default)]
struct PendingCommit {
    records: Vec<Record>,
    /// Numbers of the first and the last record.
    first: u64,
    last: u64,
}

impl Owner<'_> {
    /// Performs the leader's actions. Returns the results of the membership's own proposals.
    pub(super) fn perform(&mut self, actions: Vec<Action>) -> Vec<MembershipEvent> {
        let mut pending = PendingCommit::default();
        let mut results = Vec::new();
        for action in actions {
            match action {
                Action::Persist { number, what } => {
                    if pending.records.is_empty() {
                        pending.first = number;
                    }
                    pending.last = number;
                    self.uncommitted.insert(number);
                    pending.records.push(self.record(what));
                }
                Action::Grant(grant) => self.send_grant(&grant),
                Action::Behind { call, applied } => self.report_behind(call, applied),
                Action::Committed {
                    call,
                    version,
                    verdict,
                } => match self.membership.take_proposal(call) {
                    Some(proposal) => results.push(MembershipEvent::Committed { proposal }),
                    None => self.report_committed(call, version, &verdict),
                },
                Action::Reject { call, reason } => match self.membership.take_proposal(call) {
                    Some(proposal) => results.push(MembershipEvent::Rejected { proposal, reason }),
                    None => self.reject(call, reason),
                },
                Action::Preview { call, verdict } => self.report_preview(call, &verdict),
                Action::Note { text } => info!("{text}"),
            }
        }
        if !pending.records.is_empty() {
            self.commit(pending);
        }
        results
    }

    fn record(&self, what: Persist) -> Record {
        match what {
            Persist::Revision(revision) => Record::Revision(revision),
            Persist::EpochForced(revision) => Record::EpochForced(revision),
            Persist::Stable(version) => Record::Stable(version),
            Persist::Applied(host, version) => {
                let host = &self.options.settings.hosts[host.0 as usize];
                Record::HostApplied {
                    host: host.name.as_str().into(),
                    version,
                }
            }
        }
    }

    fn commit(&self, pending: PendingCommit) {
        let to_owner = self.to_owner.clone();
        let PendingCommit {
            records,
            first,
            last,
        } = pending;
        self.group_commit.commit(records, move |result| {
            let event = match result {
                Ok(()) => ServiceEvent::Persisted { up_to: last },
                // They are one commit: with the first none is stored.
                Err(fault) => ServiceEvent::PersistFailed {
                    number: first,
                    reason: fault.to_string(),
                },
            };
            let _ = to_owner.send(event);
        });
    }

    fn report_behind(&mut self, call: CallId, applied: Version) {
        warn!(
            applied = applied.0,
            "a host has followed a revision that is not known here; an operator must force an epoch"
        );
        self.reply(call, |call| Body::LeaderBehind(pb::LeaderBehind { call }));
    }

    fn report_committed(&mut self, call: CallId, version: Version, verdict: &AdmissionVerdict) {
        let mut waits_for = Vec::new();
        for (host, silent) in self.leader.waits_for(version) {
            if silent {
                waits_for.push(host.to_string());
            }
        }
        self.reply(call, |call| {
            Body::ChangeCommitted(pb::ChangeCommitted {
                call,
                version: version.0,
                warnings: reason_texts(&verdict.warnings),
                unseen: verdict.unexamined_losses as u32,
                blind: verdict.capacity_unknown,
                waits_for,
            })
        });
    }

    fn report_preview(&mut self, call: CallId, verdict: &AdmissionVerdict) {
        let version = self.leader.catalog().version().0;
        self.reply(call, |call| {
            Body::ChangePreview(pb::ChangePreview {
                call,
                version,
                objections: reason_texts(&verdict.objections),
                warnings: reason_texts(&verdict.warnings),
                unseen: verdict.unexamined_losses as u32,
                blind: verdict.capacity_unknown,
            })
        });
    }

    fn send_grant(&mut self, grant: &Grant) {
        let Some(peer_call) = self.calls.remove(&grant.call) else {
            return;
        };
        let Some(peer) = self.peers.get(&peer_call.conn) else {
            return;
        };
        let host = Name::from(peer.name.as_str());
        let catalog = self.leader.catalog();
        let head = pb::ConfigUpdate {
            call: peer_call.call,
            epoch: self.epoch.0,
            version: grant.to.0,
            stable: grant.stable.0,
            lease_us: clock::micros(grant.lease),
            snapshot: grant.snapshot,
            at: grant.from.0,
            ..pb::ConfigUpdate::default()
        };
        if grant.snapshot {
            let state = catalog
                .state_at(grant.from)
                .filter(|change| is_for(change, &host))
                .map(|change| change_to_proto(&change));
            send_in_parts(state, |state, _| {
                peer.frames.send(Body::ConfigUpdate(pb::ConfigUpdate {
                    state,
                    // The revisions follow, if none but an empty part.
                    more: true,
                    ..head.clone()
                }));
            });
        }
        let revisions = catalog.since(grant.from).into_iter().flatten();
        let revisions = revisions
            .filter(|revision| revision.version <= grant.to)
            .map(|revision| revision_to_proto(&for_host(catalog, grant.stable, revision, &host)));
        send_in_parts(revisions, |revisions, more| {
            peer.frames.send(Body::ConfigUpdate(pb::ConfigUpdate {
                revisions,
                more,
                ..head.clone()
            }));
        });
    }
}

fn reason_texts(reasons: &[Reason]) -> Vec<String> {
    reasons.iter().map(|reason| reason.to_string()).collect()
}
