//! A host's part of a volume's limit. Pure functions.

/// What one version says of a volume, as one host reads it. Rates are in units a second.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitTerms {
    /// The volume's reservation over all hosts.
    pub reservation: f64,
    /// The volume's limit over all hosts; 0: none.
    pub limit: f64,
    /// Capacity of the limit's token bucket over all hosts, units.
    pub burst: f64,
    /// Through how many hosts it is served.
    pub hosts: usize,
    /// Whether this host is one of them.
    pub mine: bool,
}

impl LimitTerms {
    fn quota(&self, leased: bool) -> Quota {
        let part = if self.mine {
            1.0 / self.hosts.max(1) as f64
        } else {
            0.0
        };
        let rate = if leased { self.limit } else { self.reservation };
        Quota {
            rate: rate * part,
            burst: self.burst * part,
        }
    }
}

/// A host's part of a limit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Quota {
    /// Units a second.
    pub rate: f64,
    /// Units.
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

/// What a host may send of a volume by all versions that it must reckon with; None: no limit. A
/// version in which the volume does not exist has no terms.
///
/// ```
/// use grebecleat_catalog::feed::{quota, Quota, LimitTerms};
/// let terms = |limit, hosts| LimitTerms {
///     reservation: 4.0,
///     limit,
///     burst: 2.0 * limit,
///     hosts,
///     mine: true,
/// };
/// let rate_of_4 = Some(Quota { rate: 4.0, burst: 8.0 });
/// // Raised from 8 to 12 over two hosts, not stable yet: still 4, and the burst that goes with it.
/// assert_eq!(quota([terms(8.0, 2), terms(12.0, 2)], true), rate_of_4);
/// // A third host comes in: from now on each has a third.
/// assert_eq!(quota([terms(12.0, 2), terms(12.0, 3)], true), rate_of_4);
/// // Without a lease: the part of the reservation.
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
