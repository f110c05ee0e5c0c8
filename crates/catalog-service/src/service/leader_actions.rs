//! Performs the leader's actions: stores records, and answers hosts and operators.
//!
//! Called by [`super::owner`] with the actions of one step. Has no state.

use super::commit_pipeline::{CommitPipeline, PendingCommit};
use super::config_update::send_grant;
use super::membership_link::MembershipLink;
use super::peer_table::PeerTable;
use crate::store::Record;
use grebecleat_catalog::admission::{AdmissionVerdict, Reason};
use grebecleat_catalog::leader::{Action, CallId, Epoch, Leader, Persist};
use grebecleat_catalog::records::Version;
use grebecleat_membership::drains::Event as MembershipEvent;
use grebecleat_wire::pb::{self, frame::Body};
use tracing::{info, warn};

/// The parts of the service that the leader's actions affect.
pub(super) struct ActionPerformer<'a> {
    /// The leader after the step.
    pub leader: &'a Leader,
    /// The epoch of the catalog's history.
    pub epoch: Epoch,
    /// The connected peers, which are answered.
    pub peers: &'a mut PeerTable,
    /// Stores the records.
    pub commits: &'a mut CommitPipeline,
    /// The membership, which also makes proposals.
    pub membership: &'a mut MembershipLink,
}

impl ActionPerformer<'_> {
    /// Performs the actions in their order, and starts one commit of all their records at the end.
    /// Returns the results of the membership's own proposals.
    pub fn perform(&mut self, actions: Vec<Action>) -> Vec<MembershipEvent> {
        let mut pending = PendingCommit::default();
        let mut results = Vec::new();
        for action in actions {
            match action {
                Action::Persist { number, what } => {
                    self.commits.expect(number);
                    pending.push(number, self.record(what));
                }
                Action::Grant(grant) => send_grant(self.peers, self.leader, self.epoch, &grant),
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
                    None => self.peers.reject(call, reason),
                },
                Action::Preview { call, verdict } => self.report_preview(call, &verdict),
                Action::Log { text } => info!("{text}"),
            }
        }
        self.commits.commit(pending);
        results
    }

    fn record(&self, what: Persist) -> Record {
        match what {
            Persist::Revision(revision) => Record::Revision(revision),
            Persist::EpochForced(revision) => Record::EpochForced(revision),
            Persist::Stable(version) => Record::Stable(version),
            Persist::Applied(host, version) => Record::HostApplied {
                host: self.peers.host_name(host),
                version,
            },
        }
    }

    fn report_behind(&mut self, call: CallId, applied: Version) {
        warn!(
            revision = applied.0,
            "host has applied a revision that is unknown here; an operator must force a new epoch"
        );
        self.peers
            .reply(call, |call| Body::LeaderBehind(pb::LeaderBehind { call }));
    }

    fn report_committed(&mut self, call: CallId, version: Version, verdict: &AdmissionVerdict) {
        let mut waits_for = Vec::new();
        for (host, silent) in self.leader.waits_for(version) {
            if silent {
                waits_for.push(host.to_string());
            }
        }
        self.peers.reply(call, |call| {
            Body::ChangeCommitted(pb::ChangeCommitted {
                call,
                version: version.0,
                warnings: reason_texts(&verdict.warnings),
                unseen: verdict.unevaluated_outages as u32,
                blind: verdict.capacity_unknown,
                waits_for,
            })
        });
    }

    fn report_preview(&mut self, call: CallId, verdict: &AdmissionVerdict) {
        let version = self.leader.catalog().version().0;
        self.peers.reply(call, |call| {
            Body::ChangePreview(pb::ChangePreview {
                call,
                version,
                objections: reason_texts(&verdict.objections),
                warnings: reason_texts(&verdict.warnings),
                unseen: verdict.unevaluated_outages as u32,
                blind: verdict.capacity_unknown,
            })
        });
    }
}

fn reason_texts(reasons: &[Reason]) -> Vec<String> {
    reasons.iter().map(|reason| reason.to_string()).collect()
}
