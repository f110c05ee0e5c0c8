//! The leader's side of the feed: what each host has, until when it may follow it, and the stable
//! version.
//!
//! Owned by [`crate::leader`]. Bounded by the number of hosts.

use super::limit_reductions::LimitReductions;
use crate::records::Version;
use std::collections::BTreeMap;
use std::time::Duration;

/// A host, by its place in the settings.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct HostNumber(pub u32);

/// What the leader knows of a host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct HostLease {
    /// The newest version that it acknowledged; None: it was never granted anything.
    applied: Option<Version>,
    /// When the last lease that it may have ends, with the margin.
    until: Duration,
    /// An operator guarantees that it sends nothing.
    is_gone: bool,
}

impl HostLease {
    /// The newest version up to which no change takes anything from this host without its
    /// knowledge.
    fn reach(&self, now: Duration, limit_reductions: &LimitReductions) -> Version {
        match self.applied {
            None => limit_reductions.latest(),
            Some(_) if self.is_gone => limit_reductions.latest(),
            Some(applied) if now < self.until => applied,
            Some(applied) => limit_reductions.reach(applied),
        }
    }
}

/// How a poll is answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum PollDecision {
    /// With all revisions that the host does not have, and a lease.
    Grant {
        /// How long the host may follow them, from when it asked.
        lease: Duration,
    },
    /// Some host has more than the leader, whose store was reset to an older state. No host is
    /// granted anything before an operator has decided, so leases run out and hosts fall back to
    /// what no change can take away.
    Behind {
        /// The newest version that a host has.
        applied: Version,
    },
    /// The host is not in the settings.
    Stranger,
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
    /// `stable`: the stable version that an earlier start persisted. `hosts`: all there are, with
    /// what each had acknowledged; None: it was never granted anything. Leases of an earlier start
    /// may still run.
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
                is_gone: false,
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

    /// A host polls, with what it has, and is answered at once; `latest` is the catalog's version.
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

    /// Some host has followed a version that is not known here.
    pub fn set_behind(&mut self, applied: Version) {
        self.behind = self.behind.max(Some(applied));
    }

    /// A host acknowledges the version that it has and follows; `latest` is the catalog's version.
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

    /// A host is answered, and has a lease from then on.
    pub fn grant(&mut self, now: Duration, host: HostNumber) -> PollDecision {
        let Some(host_lease) = self.hosts.get_mut(&host) else {
            return PollDecision::Stranger;
        };
        if let Some(applied) = self.behind {
            return PollDecision::Behind { applied };
        }
        // Whatever it acknowledged, from here on it may follow something.
        host_lease.applied = host_lease.applied.or(Some(Version(0)));
        host_lease.until = now + self.lease + self.margin;
        host_lease.is_gone = false;
        PollDecision::Grant { lease: self.lease }
    }

    /// The newest version that a host has acknowledged; None: it was never granted anything.
    pub fn applied(&self, host: HostNumber) -> Option<Version> {
        self.hosts
            .get(&host)
            .and_then(|host_lease| host_lease.applied)
    }

    /// An operator guarantees that this host sends nothing until it is granted a lease again.
    pub fn set_gone(&mut self, host: HostNumber) {
        if let Some(host_lease) = self.hosts.get_mut(&host) {
            host_lease.is_gone = true;
        }
    }

    /// The stable version: all changes up to it have reached every host that they must. It never
    /// goes back, and never beyond `upto`, since what may yet be taken back is not stable.
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

    /// Hosts for which a version waits to be stable, and whether only their own acknowledgement can
    /// end that: their last lease has ended.
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
                .is_some_and(|applied| applied > self.stable || !host_lease.is_gone)
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
