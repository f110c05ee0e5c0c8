//! The membership's state machine, and what it knows of the leader's state.

use grebecleat_catalog::feed::HostNumber;
use grebecleat_catalog::leader::CallId;
use grebecleat_catalog::records::Version;
use grebecleat_membership::drains::{Membership, ProposalId};
use std::collections::BTreeMap;
use std::time::Duration;

/// The membership, and what it knows of the catalog and of the hosts.
pub(super) struct MembershipLink {
    /// The state machine.
    pub membership: Membership,
    /// The version up to which the membership knows the catalog.
    pub known: Version,
    /// What the membership knows of the version that each host has acknowledged.
    pub acknowledged: BTreeMap<HostNumber, Option<Version>>,
    /// The membership's own proposals that wait for their result.
    pub proposals: BTreeMap<CallId, ProposalId>,
}

impl MembershipLink {
    /// A membership that knows nothing of the catalog yet.
    pub fn new(membership: Membership) -> Self {
        MembershipLink {
            membership,
            known: Version(0),
            acknowledged: BTreeMap::new(),
            proposals: BTreeMap::new(),
        }
    }

    /// When the membership must be stepped next.
    pub fn wake_at(&self) -> Option<Duration> {
        self.membership.wake_at()
    }

    /// The membership's proposal under that call, which then has its result.
    pub fn take_proposal(&mut self, call: CallId) -> Option<ProposalId> {
        self.proposals.remove(&call)
    }
}
