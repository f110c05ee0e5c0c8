//! The lender's side of one limit's leases: the leases that this host has granted.
//!
//! State machine, owned by [`crate::quota_lease`]. No I/O. Memory: at most
//! [`crate::borrowed_leases::MAX_LEASES`] leases.

use crate::borrowed_leases::MAX_LEASES;
use crate::{HostNumber, Incarnation};
use std::collections::BTreeMap;
use std::time::Duration;

/// Identifies a lease for its lender.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct LeaseKey {
    /// The host that borrows.
    pub borrower: HostNumber,
    /// The borrower's incarnation.
    pub incarnation: Incarnation,
    /// The borrower's number of the lease.
    pub lease: u64,
}

/// A lease that is granted, with its terms.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct GrantedLease {
    /// The amount, in fractions of [`crate::lease_message::FULL_LIMIT`].
    pub amount: u32,
    /// Number of hosts that shared the limit when the lease was granted.
    pub sharers: u32,
    /// When the lease expires for the lender.
    pub until: Duration,
}

/// The leases of one limit that one host has granted.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub(crate) struct GrantedLeases {
    leases: BTreeMap<LeaseKey, GrantedLease>,
}

impl GrantedLeases {
    /// Returns the sum of the granted amounts.
    pub fn amount(&self, now: Duration) -> u32 {
        self.unexpired(now).map(|lease| lease.amount).sum()
    }

    /// Returns the sum of the granted amounts as fractions of a limit that `sharers` hosts share.
    ///
    /// A host may still apply a quota for more sharers than this host computes with: the quota in
    /// force is the least of all versions that may be in force. A granted amount is then a larger
    /// fraction of the quota.
    pub fn amount_among(&self, now: Duration, sharers: u64) -> u64 {
        self.unexpired(now)
            .map(|lease| {
                let most_sharers = sharers.max(u64::from(lease.sharers));
                (u64::from(lease.amount) * most_sharers).div_ceil(sharers.max(1))
            })
            .sum()
    }

    fn unexpired(&self, now: Duration) -> impl Iterator<Item = &GrantedLease> {
        self.leases.values().filter(move |lease| now < lease.until)
    }

    /// Returns when each lease expires.
    pub fn ends(&self) -> impl Iterator<Item = Duration> + '_ {
        self.leases.values().map(|lease| lease.until)
    }

    /// Returns whether no further lease can be granted.
    pub fn is_full(&self) -> bool {
        self.leases.len() >= MAX_LEASES
    }

    /// Returns a lease that has not expired.
    pub fn get_mut(&mut self, now: Duration, key: &LeaseKey) -> Option<&mut GrantedLease> {
        self.leases.get_mut(key).filter(|lease| now < lease.until)
    }

    /// Adds a lease.
    pub fn insert(&mut self, key: LeaseKey, lease: GrantedLease) {
        self.leases.insert(key, lease);
    }

    /// Removes a lease that its borrower has released.
    pub fn remove(&mut self, key: &LeaseKey) {
        self.leases.remove(key);
    }

    /// Drops leases that have expired.
    pub fn drop_expired(&mut self, now: Duration) {
        self.leases.retain(|_, lease| now < lease.until);
    }
}
