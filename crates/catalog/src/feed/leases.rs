//! The leader's side of the feed: which version each host has, until when the host may follow it,
//! and the stable version.
//!
//! Owned by [`crate::leader`]. Memory use is one entry for each host.

use super::limit_reductions::LimitReductions;
use crate::records::Version;
use std::collections::BTreeMap;
use std::time::Duration;

/// A host, by its position in the settings.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct HostNumber(pub u32);

/// The leader's record of a host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct HostLease {
    /// The newest version that the host acknowledged, or `None` if it was never granted a lease.
    applied: Option<Version>,
    /// When the host's last lease ends, including the margin.
    until: Duration,
    /// Whether an operator guarantees that the host sends no requests to nodes.
    is_removed: bool,
}

impl HostLease {
    /// The newest version such that no change up to it lowers a quota that this host may still use.
    fn safe_version(&self, now: Duration, limit_reductions: &LimitReductions) -> Version {
        match self.applied {
            None => limit_reductions.latest(),
            Some(_) if self.is_removed => limit_reductions.latest(),
            Some(applied) if now < self.until => applied,
            Some(applied) => limit_reductions.safe_version(applied),
        }
    }
}

/// How to respond to a poll.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum PollDecision {
    /// The host receives all revisions that it does not have, and a lease.
    Grant {
        /// How long the host may follow the revisions, counted from when it sent the poll.
        lease: Duration,
    },
    /// Some host has a newer version than the leader, because the leader's store was reset to an
    /// older state. The leader grants nothing to any host until an operator has decided which state
    /// is authoritative. So leases expire, and hosts fall back to the quota that no change can lower.
    Behind {
        /// The newest version that a host has.
        applied: Version,
    },
    /// The host is not in the settings.
    UnknownHost,
}

/// The leases of all hosts. See the module documentation.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Leases {
    lease: Duration,
    margin: Duration,
    hosts: BTreeMap<HostNumber, HostLease>,
    stable: Version,
    behind: Option<Version>,
}

impl Leases {
    /// Creates the leases when the leader starts. `stable` is the persisted stable version. `hosts`
    /// are all hosts, each with the persisted version that it has acknowledged, or `None` if it was
    /// never granted a lease. Leases that were granted before the start may still be valid.
    pub fn new(
        lease: Duration,
        margin: Duration,
        now: Duration,
        stable: Version,
        hosts: impl IntoIterator<Item = (HostNumber, Option<Version>)>,
    ) -> Self {
        let mut leases = BTreeMap::new();
        for (host, applied) in hosts {
            let until = if applied.is_some() {
                now + lease + margin
            } else {
                now
            };
            let host_lease = HostLease {
                applied,
                until,
                is_removed: false,
            };
            leases.insert(host, host_lease);
        }
        Leases {
            lease,
            margin,
            hosts: leases,
            stable,
            behind: None,
        }
    }

    /// The duration of a granted lease.
    pub fn lease(&self) -> Duration {
        self.lease
    }

    /// Handles a poll of a host that has `applied`, and responds at once. `latest` is the version of
    /// the catalog.
    pub fn poll(
        &mut self,
        now: Duration,
        host: HostNumber,
        applied: Version,
        latest: Version,
    ) -> PollDecision {
        self.acknowledge(host, applied, latest);
        self.grant(now, host)
    }

    /// Records that some host has followed a version that is unknown here.
    pub fn set_behind(&mut self, applied: Version) {
        self.behind = self.behind.max(Some(applied));
    }

    /// Records that a host has persisted and follows `applied`. `latest` is the version of the
    /// catalog.
    pub fn acknowledge(&mut self, host: HostNumber, applied: Version, latest: Version) {
        let Some(host_lease) = self.hosts.get_mut(&host) else {
            return;
        };
        if applied <= latest {
            host_lease.applied = host_lease.applied.max(Some(applied));
        } else {
            self.set_behind(applied);
        }
    }

    /// Decides how to respond to a poll of a host. If the result is a grant, the lease begins now.
    pub fn grant(&mut self, now: Duration, host: HostNumber) -> PollDecision {
        let Some(host_lease) = self.hosts.get_mut(&host) else {
            return PollDecision::UnknownHost;
        };
        if let Some(applied) = self.behind {
            return PollDecision::Behind { applied };
        }
        // From now on, the host may follow a version even if it has not acknowledged any.
        host_lease.applied = host_lease.applied.or(Some(Version(0)));
        host_lease.until = now + self.lease + self.margin;
        host_lease.is_removed = false;
        PollDecision::Grant { lease: self.lease }
    }

    /// The newest version that a host has acknowledged, or `None` if it was never granted a lease.
    pub fn applied(&self, host: HostNumber) -> Option<Version> {
        self.hosts
            .get(&host)
            .and_then(|host_lease| host_lease.applied)
    }

    /// Records an operator's guarantee that this host sends no requests until it is granted a lease
    /// again.
    pub fn set_removed(&mut self, host: HostNumber) {
        if let Some(host_lease) = self.hosts.get_mut(&host) {
            host_lease.is_removed = true;
        }
    }

    /// Updates and returns the stable version: all changes up to it have reached every host that they
    /// must reach. The stable version never decreases. It does not exceed `upto`, because a revision
    /// that may still be reverted is not stable.
    pub fn stable(
        &mut self,
        now: Duration,
        limit_reductions: &LimitReductions,
        upto: Version,
    ) -> Version {
        let reached = self
            .hosts
            .values()
            .map(|host_lease| host_lease.safe_version(now, limit_reductions))
            .min()
            .unwrap_or(limit_reductions.latest());
        self.stable = self.stable.max(reached.min(upto));
        self.stable
    }

    /// Hosts that keep a version from becoming stable. The flag is true if only an acknowledgement of
    /// the host can end this, because its last lease has already expired.
    pub fn waits_for(
        &self,
        now: Duration,
        version: Version,
        limit_reductions: &LimitReductions,
    ) -> Vec<(HostNumber, bool)> {
        self.hosts
            .iter()
            .filter(|(_, host_lease)| host_lease.safe_version(now, limit_reductions) < version)
            .map(|(host, host_lease)| (*host, now >= host_lease.until))
            .collect()
    }

    /// When the stable version may next change without any event, because a lease expires.
    pub fn wake_at(&self, now: Duration) -> Option<Duration> {
        let may_change = |host_lease: &&HostLease| {
            host_lease
                .applied
                .is_some_and(|applied| applied > self.stable || !host_lease.is_removed)
        };
        self.hosts
            .values()
            .filter(may_change)
            .map(|host_lease| host_lease.until)
            .filter(|until| *until > now)
            .min()
    }

    /// The newest version that some host has and the leader does not know. `None` if there is none,
    /// or once an operator has decided that the leader's state is authoritative.
    pub fn behind(&self) -> Option<Version> {
        self.behind
    }

    /// Records that an operator has decided, and that the leader's version is now higher than that of
    /// any host.
    pub fn clear_behind(&mut self) {
        self.behind = None;
    }
}
