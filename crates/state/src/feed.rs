//! Who follows which version of the ledger, and when nobody follows an old one any more.
//!
//! Called on both sides of the feed. A source calls `asked` when a host asks for what is new, and `over` to
//! learn whether a change has come everywhere; a host calls `told` with each answer and `follows` whenever it
//! uses a version. The argument why limits hold meanwhile is in docs/design/plans.md. In short:
//!
//! - an answer carries the entries and a lease together, so whoever has the lease has the entries;
//! - a host counts its lease from when it asked, the source from when it answered, which is later, and a margin
//!   longer: no delay, and no clock that runs slower by less than the margin, lets a host follow beyond what the
//!   source believes;
//! - a host never goes back, so once it has asked with a version, its leases on older ones mean nothing;
//! - a source that was started anew knows of no lease: for as long as one may last, no change is over.
//!
//! Without input or output. Memory: for each host a few words for each version that it may still follow.

use crate::changes::Version;
use std::collections::BTreeMap;
use std::time::Duration;

/// A host, by its place in the settings.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct HostNo(pub u32);

#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
struct Held {
    has: Version,
    /// Until when it may follow a version that it was last told.
    leases: Vec<(Version, Duration)>,
}

/// What a host is answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Answer {
    /// All entries that it has not, and for how long it may follow them from when it asked.
    Grant { lease: Duration },
    /// It has more than the source: that was set back to an old state. Nothing is granted to anyone before
    /// somebody has looked, so leases run out and hosts fall back to what no change can take away.
    Behind { has: Version },
}

/// The source's side.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Leases {
    lease: Duration,
    margin: Duration,
    /// Before then leases of an earlier start may be out.
    unknown_until: Duration,
    hosts: BTreeMap<HostNo, Held>,
    behind: Option<Version>,
}

impl Leases {
    /// `again`: there may have been a start before this one.
    pub fn new(lease: Duration, margin: Duration, now: Duration, again: bool) -> Self {
        let unknown_until = if again { now + lease + margin } else { now };
        Leases { lease, margin, unknown_until, hosts: BTreeMap::new(), behind: None }
    }

    /// A host asks, and says what it has; `latest` is the ledger's version.
    pub fn asked(&mut self, now: Duration, host: HostNo, has: Version, latest: Version) -> Answer {
        if has > latest {
            self.behind = self.behind.max(Some(has));
        }
        if let Some(has) = self.behind {
            return Answer::Behind { has };
        }
        let until = now + self.lease + self.margin;
        let held = self.hosts.entry(host).or_default();
        held.has = held.has.max(has);
        held.leases.retain(|(v, until)| *v >= held.has && *until > now && *v != latest);
        held.leases.push((latest, until));
        Answer::Grant { lease: self.lease }
    }

    /// Whether no host follows a version before that one any more.
    pub fn over(&self, now: Duration, version: Version) -> bool {
        let past =
            |h: &Held| h.has >= version || h.leases.iter().all(|(v, until)| *v >= version || *until <= now);
        now >= self.unknown_until && self.hosts.values().all(past)
    }

    /// A version that some host has and the source has not, until somebody has looked.
    pub fn behind(&self) -> Option<Version> {
        self.behind
    }
}

/// A host's side. It is kept before it is followed, and read back at a start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub struct Follower {
    pub has: Version,
    until: Duration,
}

impl Follower {
    /// An answer to what was asked at `sent`, by this host's clock. An older one than what it has is not
    /// followed, nor is its lease.
    pub fn told(&mut self, sent: Duration, version: Version, lease: Duration) {
        if version >= self.has {
            self.until = if version > self.has { sent + lease } else { self.until.max(sent + lease) };
            self.has = version;
        }
    }

    /// The version that it may act on; None: only on what no change can take away.
    pub fn follows(&self, now: Duration) -> Option<Version> {
        (now < self.until).then_some(self.has)
    }
}

/// The limit that is in force for all hosts together: the highest of those that somebody may still follow.
/// `limits` are those of one volume by the version that set them, oldest first, and not empty.
pub fn in_force(limits: &[(Version, f64)], leases: &Leases, now: Duration) -> f64 {
    let first = limits.iter().rposition(|(v, _)| leases.over(now, *v)).unwrap_or(0);
    limits[first..].iter().map(|l| l.1).fold(0.0, f64::max)
}
