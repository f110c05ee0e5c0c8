//! A host's quota of a volume's limit. Pure functions, called by [`crate::follower`].

/// The limit of a volume in one version, as it concerns one host. Rates are in units per second.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitTerms {
    /// The volume's reservation over all hosts.
    pub reservation: f64,
    /// The volume's limit over all hosts. 0 means no limit.
    pub limit: f64,
    /// Capacity of the limit's token bucket over all hosts, units.
    pub burst: f64,
    /// Number of hosts through which the volume is served.
    pub hosts: usize,
    /// Whether the volume is served through this host.
    pub served_here: bool,
}

impl LimitTerms {
    fn quota(&self, leased: bool) -> Quota {
        let fraction = if self.served_here {
            1.0 / self.hosts.max(1) as f64
        } else {
            0.0
        };
        let rate = if leased { self.limit } else { self.reservation };
        Quota {
            rate: rate * fraction,
            burst: self.burst * fraction,
        }
    }
}

/// A host's part of a limit, as a token bucket.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Quota {
    /// Refill rate of the bucket, units per second.
    pub rate: f64,
    /// Capacity of the bucket, units.
    pub burst: f64,
}

impl Quota {
    fn min(self, other: Quota) -> Quota {
        Quota {
            rate: self.rate.min(other.rate),
            burst: self.burst.min(other.burst),
        }
    }
}

/// The quota of a volume that a host may use under all versions that it must take into account, or
/// `None` if the volume has no limit. `window` has no entry for versions without the volume.
///
/// ```
/// use grebecleat_catalog::feed::{quota, Quota, LimitTerms};
/// let terms = |limit, hosts| LimitTerms {
///     reservation: 4.0,
///     limit,
///     burst: 2.0 * limit,
///     hosts,
///     served_here: true,
/// };
/// let rate_of_4 = Some(Quota { rate: 4.0, burst: 8.0 });
/// // The limit is raised from 8 to 12 over two hosts, and the change is not stable yet: the rate is
/// // still 4, with the former burst.
/// assert_eq!(quota([terms(8.0, 2), terms(12.0, 2)], true), rate_of_4);
/// // A third host is added: from now on each host has a third of the limit.
/// assert_eq!(quota([terms(12.0, 2), terms(12.0, 3)], true), rate_of_4);
/// // Without a lease, the host has its part of the reservation.
/// assert_eq!(quota([terms(12.0, 2)], false), Some(Quota { rate: 2.0, burst: 12.0 }));
/// assert_eq!(quota([terms(0.0, 2)], false), None);
/// ```
pub fn quota(window: impl IntoIterator<Item = LimitTerms>, leased: bool) -> Option<Quota> {
    window
        .into_iter()
        .filter(|terms| terms.limit > 0.0)
        .map(|terms| terms.quota(leased))
        .reduce(Quota::min)
}
