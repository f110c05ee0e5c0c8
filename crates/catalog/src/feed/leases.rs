//! The leader's side of the feed: which version each host has, until when the host may follow it,
//! and the stable version.
//!
//! Owned by [`crate::leader`]. Memory: one entry for each host.

use super::limit_reductions::LimitReductions;
use crate::records::Version;
use std::collections::BTreeMap;
use std::time::Duration;

/// A host, by its place in the settings.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct HostNumber(pub u32);

/// The leader's record of a host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct HostLease {
    /// The newest version that the host acknowledged; None: it was never granted a lease.
    applied: Option<Version>,
    /// When the last lease that the host may have ends, with the margin.
    until: Duration,
    /// Whether an operator guarantees that the host sends nothing.
    is_removed: bool,
}

impl HostLease {
    /// The newest version up to which no change lowers this host's quota without its knowledge.
    fn reach(&self, now: Duration, limit_reductions: &LimitReductions) -> Version {
        match self.applied {
            None => limit_reductions.latest(),
            Some(_) if self.is_removed => limit_reductions.latest(),
            Some(applied) if now < self.until => applied,
            Some(applied) => limit_reductions.reach(applied),
        }
    }
}

/// The decision on a poll.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum PollDecision {
    /// The host gets all revisions that it does not have, and a lease.
    Grant {
        /// How long the host may follow the revisions, counted from when it sent the poll.
        lease: Duration,
    },
    /// Some host has a newer version than the leader, because the leader's store was reset to an
    /// older state. The leader grants nothing to any host before an operator has decided. So leases
    /// run out, and hosts fall back to the quota that no change can lower.
    Behind {
        /// The newest version that a host has.
        applied: Version,
    },
    /// The host is not in the settings.
    UnknownHost,
}

/// The leases of all hosts; see the module.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Leases {
    lease: Duration,
    margin: Duration,
    hosts: BTreeMap<HostNumber, HostLease>,
    stable: Version,
    behind: Option<Version>,
}

impl Leases {
    /// `stable`: the stable version that an earlier start persisted. `hosts`: all hosts, each with
    /// the version that it had acknowledged; None: it was never granted a lease. Leases of an
    /// earlier start may still run.
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

    /// How long a granted lease lasts.
    pub fn lease(&self) -> Duration {
        self.lease
    }

    /// Handles a poll of a host that has `applied`, with an immediate response. `latest`: the
    /// catalog's version.
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

    /// Records that some host has followed a version that is not known here.
    pub fn set_behind(&mut self, applied: Version) {
        self.behind = self.behind.max(Some(applied));
    }

    /// Records that a host has and follows `applied`. `latest`: the catalog's version.
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

    /// Decides on the response to a host; if granted, the host has a lease from now on.
    pub fn grant(&mut self, now: Duration, host: HostNumber) -> PollDecision {
        let Some(host_lease) = self.hosts.get_mut(&host) else {
            return PollDecision::UnknownHost;
        };
        if let Some(applied) = self.behind {
            return PollDecision::Behind { applied };
        }
        // From now on, the host may follow a version even if it has acknowledged none.
        host_lease.applied = host_lease.applied.or(Some(Version(0)));
        host_lease.until = now + self.lease + self.margin;
        host_lease.is_removed = false;
        PollDecision::Grant { lease: self.lease }
    }

    /// The newest version that a host has acknowledged; None: it was never granted a lease.
    pub fn applied(&self, host: HostNumber) -> Option<Version> {
        self.hosts
            .get(&host)
            .and_then(|host_lease| host_lease.applied)
    }

    /// Records an operator's guarantee that this host sends nothing until it is granted a lease
    /// again.
    pub fn set_removed(&mut self, host: HostNumber) {
        if let Some(host_lease) = self.hosts.get_mut(&host) {
            host_lease.is_removed = true;
        }
    }

    /// The stable version: all changes up to it have reached every host that they must reach. The
    /// stable version never goes back, and never beyond `upto`, since a revision that may yet be
    /// reverted is not stable.
    pub fn stable(
        &mut self,
        now: Duration,
        limit_reductions: &LimitReductions,
        upto: Version,
    ) -> Version {
        let reached = self
            .hosts
            .values()
            .map(|host_lease| host_lease.reach(now, limit_reductions))
            .min()
            .unwrap_or(limit_reductions.latest());
        self.stable = self.stable.max(reached.min(upto));
        self.stable
    }

    /// Hosts for which a version waits to be stable, and whether only the host's own acknowledgement
    /// can end that, because its last lease has ended.
    pub fn waits_for(
        &self,
        now: Duration,
        version: Version,
        limit_reductions: &LimitReductions,
    ) -> Vec<(HostNumber, bool)> {
        self.hosts
            .iter()
            .filter(|(_, host_lease)| host_lease.reach(now, limit_reductions) < version)
            .map(|(host, host_lease)| (*host, now >= host_lease.until))
            .collect()
    }

    /// When the stable version may change by time alone.
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

    /// The newest version that some host has and the leader does not know, until an operator has
    /// decided.
    pub fn behind(&self) -> Option<Version> {
        self.behind
    }

    /// An operator has decided, and the state here has a version after all that hosts have.
    pub fn clear_behind(&mut self) {
        self.behind = None;
    }
}
