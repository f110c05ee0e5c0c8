//! The lender's side of the leases of one limit: the leases that this host has granted.
//!
//! A state machine without I/O, which [`crate::quota_lease`] owns. It stores at most
//! [`crate::borrowed_leases::MAX_LEASES`] leases.

use crate::borrowed_leases::MAX_LEASES;
use crate::{HostNumber, Incarnation};
use std::collections::BTreeMap;
use std::time::Duration;

/// Identifies a lease for its lender.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct LeaseKey {
    /// The host that borrows the amount.
    pub borrower: HostNumber,
    /// The borrower's incarnation.
    pub incarnation: Incarnation,
    /// The number that the borrower gave to the lease.
    pub lease: u64,
}

/// A granted lease.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct GrantedLease {
    /// The amount, in fractions of [`crate::lease_message::FULL_LIMIT`].
    pub amount: u32,
    /// The number of hosts that shared the limit when the lease was granted.
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

    /// Returns the sum of the granted amounts, converted to fractions of a limit that `sharers` hosts share.
    ///
    /// A host applies its quota as a multiple of the base quota in force. While the sharers change, that is
    /// the smallest base quota of all versions that may be in force, which may be the one for more sharers
    /// than `sharers`. A granted amount is then a larger fraction of the base quota.
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

    /// Returns the times at which the leases expire.
    pub fn expiry_times(&self) -> impl Iterator<Item = Duration> + '_ {
        self.leases.values().map(|lease| lease.until)
    }

    /// Returns whether the maximum number of leases is granted.
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

    /// Drops expired leases.
    pub fn drop_expired(&mut self, now: Duration) {
        self.leases.retain(|_, lease| now < lease.until);
    }
}
