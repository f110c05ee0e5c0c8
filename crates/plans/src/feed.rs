//! Who follows which version of the catalog, when nobody follows an old one any more, and what a host may
//! send of a limited volume meanwhile.
//!
//! Called on both sides of the feed. A source calls `asked` when a host asks for what is new, and `stable`
//! to learn up to where changes have come everywhere; a host calls `told` with each answer, and [`quota`] with
//! what each version that it must still reckon with says of a volume. The argument why limits hold meanwhile
//! is in docs/design/plans.md. In short:
//!
//! - a host keeps to the least that any version says from the settled one, as far as it knows, to the newest
//!   it has. The settled version itself lies in every host's window, so all parts add up to no more than that
//!   version's limit, whoever knows what;
//! - an answer carries the entries and a lease together, so whoever has the lease has the entries;
//! - a host counts its lease from when it asked, the source from when it answered, which is later, and a
//!   margin longer: no delay, and no clock that runs slower by less than the margin, lets a host follow
//!   beyond what the source believes;
//! - without a lease a host keeps to its part of the reservation, which no change takes away unheard: a
//!   change that does take of it is not settled before the host has said that it has it, or somebody has said
//!   that the host is gone;
//! - a host never goes back, and neither does what is settled.
//!
//! Without input or output. Memory: a few words for each host.

use crate::changes::Version;
use std::collections::BTreeMap;
use std::time::Duration;

/// A host, by its place in the settings.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct HostNumber(pub u32);

/// What the source knows of a host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Held {
    /// The newest version that it said to have; None: it was never heard of, so nothing was ever granted.
    applied: Option<Version>,
    /// When the last lease that it may hold has run out, with the margin.
    until: Duration,
    /// Somebody answers for it that it sends nothing.
    gone: bool,
}

/// What a host is answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum PollDecision {
    /// All entries that it has not, and for how long it may follow them from when it asked.
    Grant {
        lease: Duration,
    },
    /// It has more than the source: that was set back to an old state. Nothing is granted to anyone before
    /// somebody has looked, so leases run out and hosts fall back to what no change can take away.
    Behind {
        applied: Version,
    },
    Stranger,
}

/// Versions that lower what no host loses unheard, as far as they are known.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct LimitReductions {
    /// Before that one nothing is known.
    from: Version,
    /// Each with the version before it.
    at: Vec<(Version, Version)>,
    latest: Version,
}

impl LimitReductions {
    /// After a version of which only that much is known.
    pub fn new(from: Version) -> Self {
        LimitReductions {
            from,
            at: Vec::new(),
            latest: from,
        }
    }

    pub fn add(&mut self, version: Version, lowers_limits: bool) {
        let before = std::mem::replace(&mut self.latest, version);
        if lowers_limits {
            self.at.push((version, before));
        }
    }

    /// The last version up to which a host that has `applied` is owed what it then knew.
    fn reach(&self, applied: Version) -> Version {
        if applied < self.from {
            return applied;
        }
        let next = self.at.get(self.at.partition_point(|v| v.0 <= applied));
        next.map_or(self.latest, |v| v.1)
    }

    /// Forgets what lies before a version that is settled.
    pub fn forget(&mut self, before: Version) {
        self.from = self.from.max(before);
        self.at.retain(|v| v.0 > before);
    }
}

/// The source's side.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Leases {
    lease: Duration,
    margin: Duration,
    hosts: BTreeMap<HostNumber, Held>,
    stable: Version,
    behind: Option<Version>,
}

impl Leases {
    /// `stable`: what was, before an earlier start told anyone. `hosts`: all there are, with what each was
    /// last known to have; None: it was never heard of. Leases of an earlier start may be out.
    pub fn new(
        lease: Duration,
        margin: Duration,
        now: Duration,
        stable: Version,
        hosts: impl IntoIterator<Item = (HostNumber, Option<Version>)>,
    ) -> Self {
        let held = |applied: Option<Version>| {
            let until = if applied.is_some() {
                now + lease + margin
            } else {
                now
            };
            Held {
                applied,
                until,
                gone: false,
            }
        };
        let hosts = hosts
            .into_iter()
            .map(|(host, applied)| (host, held(applied)))
            .collect();
        Leases {
            lease,
            margin,
            hosts,
            stable,
            behind: None,
        }
    }

    pub fn lease(&self) -> Duration {
        self.lease
    }

    /// A host asks, says what it has, and is answered at once; `latest` is the catalog's version.
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

    /// Some host has followed what is not known here.
    pub fn set_behind(&mut self, applied: Version) {
        self.behind = self.behind.max(Some(applied));
    }

    /// A host says what it has and uses.
    pub fn acknowledge(&mut self, host: HostNumber, applied: Version, latest: Version) {
        let Some(held) = self.hosts.get_mut(&host) else {
            return;
        };
        if applied <= latest {
            held.applied = held.applied.max(Some(applied));
        } else {
            self.set_behind(applied);
        }
    }

    /// A host is answered, and has a lease from then on.
    pub fn grant(&mut self, now: Duration, host: HostNumber) -> PollDecision {
        match (self.hosts.get_mut(&host), self.behind) {
            (None, _) => PollDecision::Stranger,
            (_, Some(applied)) => PollDecision::Behind { applied },
            (Some(held), None) => {
                // Whatever it said, from here on it may follow something.
                held.applied = held.applied.or(Some(Version(0)));
                (held.until, held.gone) = (now + self.lease + self.margin, false);
                PollDecision::Grant { lease: self.lease }
            }
        }
    }

    /// What a host is known to have.
    pub fn applied(&self, host: HostNumber) -> Option<Version> {
        self.hosts.get(&host).and_then(|h| h.applied)
    }

    /// Somebody answers for it that this host sends nothing until it asks again.
    pub fn set_gone(&mut self, host: HostNumber) {
        self.hosts
            .get_mut(&host)
            .into_iter()
            .for_each(|h| h.gone = true);
    }

    /// Up to which version all changes have come everywhere that they must. It never goes back, and never
    /// beyond `upto`: of what may yet be taken back nothing is settled.
    pub fn stable(
        &mut self,
        now: Duration,
        limit_reductions: &LimitReductions,
        upto: Version,
    ) -> Version {
        let reached = self
            .hosts
            .values()
            .map(|h| Self::reach(h, now, limit_reductions))
            .min();
        self.stable = self
            .stable
            .max(reached.unwrap_or(limit_reductions.latest).min(upto));
        self.stable
    }

    fn reach(h: &Held, now: Duration, limit_reductions: &LimitReductions) -> Version {
        match h.applied {
            None => limit_reductions.latest,
            Some(_) if h.gone => limit_reductions.latest,
            Some(applied) if now < h.until => applied,
            Some(applied) => limit_reductions.reach(applied),
        }
    }

    /// Hosts on which a version waits, and whether nothing but their own word can end that: they have not
    /// been heard for as long as a lease.
    pub fn waits_for(
        &self,
        now: Duration,
        version: Version,
        limit_reductions: &LimitReductions,
    ) -> Vec<(HostNumber, bool)> {
        let waits = self
            .hosts
            .iter()
            .filter(|(_, h)| Self::reach(h, now, limit_reductions) < version);
        waits.map(|(no, h)| (*no, now >= h.until)).collect()
    }

    /// When what is settled may change by time alone.
    pub fn wake_at(&self, now: Duration) -> Option<Duration> {
        let behind = |h: &&Held| {
            h.applied
                .is_some_and(|applied| applied > self.stable || !h.gone)
        };
        self.hosts
            .values()
            .filter(behind)
            .map(|h| h.until)
            .filter(|u| *u > now)
            .min()
    }

    /// A version that some host has and the source has not, until somebody has looked.
    pub fn behind(&self) -> Option<Version> {
        self.behind
    }

    /// Somebody has looked, and what is to count now has a version after all that hosts have.
    pub fn clear_behind(&mut self) {
        self.behind = None;
    }
}

/// A host's side. It is kept before it is followed, and read back at a start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub struct FollowerLease {
    pub applied: Version,
    /// Versions before this one need not be reckoned with any more.
    pub stable: Version,
    until: Duration,
}

impl FollowerLease {
    /// As it was kept: without a lease.
    pub fn persisted(applied: Version, stable: Version) -> Self {
        FollowerLease {
            applied,
            stable: stable.min(applied),
            until: Duration::ZERO,
        }
    }

    /// An answer to what was asked at `sent`, by this host's clock. An older one than what it has is not
    /// followed, nor is its lease.
    pub fn granted(&mut self, sent: Duration, version: Version, stable: Version, lease: Duration) {
        if version >= self.applied {
            self.until = if version > self.applied {
                sent + lease
            } else {
                self.until.max(sent + lease)
            };
            self.applied = version;
            self.stable = self.stable.max(stable).min(version);
        }
    }

    pub fn leased(&self, now: Duration) -> bool {
        now < self.until
    }

    /// When its lease runs out.
    pub fn until(&self) -> Duration {
        self.until
    }
}

/// What one version says of a volume, as one host reads it. Rates are units a second.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitTerms {
    pub reservation: f64,
    /// 0: none.
    pub limit: f64,
    pub burst: f64,
    /// Through how many hosts it works, and whether this is one of them.
    pub hosts: usize,
    pub mine: bool,
}

/// A host's part of a limit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Quota {
    pub rate: f64,
    pub burst: f64,
}

/// What a host may send of a volume by all versions that it must reckon with; None: no limit. A version in
/// which the volume does not exist says nothing.
///
/// ```
/// use grebecleat_plans::feed::{quota, Quota, LimitTerms};
/// let says = |limit, hosts| LimitTerms { reservation: 4.0, limit, burst: 2.0 * limit, hosts, mine: true };
/// // Raised from 8 to 12 over two hosts, not settled yet: still 4, and the burst that goes with it.
/// assert_eq!(quota([says(8.0, 2), says(12.0, 2)], true), Some(Quota { rate: 4.0, burst: 8.0 }));
/// // A third host comes in: from now on each has a third.
/// assert_eq!(quota([says(12.0, 2), says(12.0, 3)], true), Some(Quota { rate: 4.0, burst: 8.0 }));
/// // Without a lease: the part of the reservation.
/// assert_eq!(quota([says(12.0, 2)], false), Some(Quota { rate: 2.0, burst: 12.0 }));
/// assert_eq!(quota([says(0.0, 2)], false), None);
/// ```
pub fn quota(window: impl IntoIterator<Item = LimitTerms>, leased: bool) -> Option<Quota> {
    let limited = window.into_iter().filter(|s| s.limit > 0.0);
    let each = limited.map(|s| {
        let share = if s.mine {
            1.0 / s.hosts.max(1) as f64
        } else {
            0.0
        };
        let rate = if leased { s.limit } else { s.reservation };
        Quota {
            rate: rate * share,
            burst: s.burst * share,
        }
    });
    each.reduce(|a, b| Quota {
        rate: a.rate.min(b.rate),
        burst: a.burst.min(b.burst),
    })
}
