//! This host's quotas of all shared limits: measures the demand, runs the leases, and reports the quotas
//! that have changed.
//!
//! A state machine without I/O, which [`crate::coordinator`] owns. For each volume with a shared limit it
//! stores the [`QuotaLeases`], the demand, which determines how much they request, and the last returned
//! quota.

use crate::borrowed_leases::{Lender, OutgoingLeaseMessage};
use crate::events::{Action, CoordinationSettings};
use crate::gossip_message::{VolumeLeaseMessage, VolumeReceived, MAX_REPORT_ITEMS};
use crate::host_report::LeaseOffer;
use crate::lease_message::FULL_LIMIT;
use crate::quota_lease::QuotaLeases;
use crate::{HostNumber, Incarnation};
use rand::seq::SliceRandom;
use rand_pcg::Pcg64Mcg;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// The weight of the last round in the moving average of the demand. A larger weight requests leases for
/// short bursts; a smaller one follows growth late.
const DEMAND_SMOOTHING: f64 = 0.3;
/// The quota that a host aims for, as a multiple of its measured demand, so that growing demand does not
/// wait for each lease. A larger multiple takes amounts that other hosts may need; a smaller one delays
/// growth.
const DEMAND_HEADROOM: f64 = 1.25;
/// The minimum interval in the computation of the demand, in seconds. It prevents a division by zero.
const MIN_INTERVAL_SECONDS: f64 = 1e-3;

/// A quota with the base quota at that time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct AppliedQuota {
    quota: u32,
    base_quota: u32,
}

/// The state of one volume with a shared limit.
#[derive(Debug)]
struct SharedVolume {
    leases: QuotaLeases,
    /// The limit, in units a second.
    limit: f64,
    /// Units that clients requested at this host since the last round.
    requested: f64,
    /// The moving average of the units a second that clients request at this host.
    demand: f64,
    /// The quota that was last returned as a change.
    applied: Option<AppliedQuota>,
}

/// A lease message to send, with its receiver.
#[derive(Debug, Clone, Copy)]
pub(crate) struct AddressedLeaseMessage {
    /// The receiver.
    pub to: HostNumber,
    /// The message.
    pub message: VolumeLeaseMessage,
}

/// This host's present quota of one volume's limit. All amounts are fractions of the complete limit.
#[derive(Debug, Clone, PartialEq)]
pub struct QuotaMetrics {
    /// The volume's number.
    pub volume: u64,
    /// The number of hosts that share the limit.
    pub sharers: usize,
    /// The quota that this host may use.
    pub quota: f64,
    /// The quota that this host would have without leases.
    pub base_quota: f64,
    /// The amount that this host has granted to others.
    pub granted: f64,
    /// The amount that this host has borrowed from others.
    pub borrowed: f64,
}

/// This host's quotas of all volumes with a shared limit.
#[derive(Debug)]
pub(crate) struct SharedQuotas {
    me: HostNumber,
    rules: CoordinationSettings,
    volumes: BTreeMap<u64, SharedVolume>,
    /// The volumes whose quota may have changed.
    dirty: BTreeSet<u64>,
    /// When some quota next changes without a message.
    next_change_at: Duration,
}

impl SharedQuotas {
    /// Returns quotas without any volume.
    pub fn new(now: Duration, me: HostNumber, rules: CoordinationSettings) -> Self {
        SharedQuotas {
            me,
            rules,
            volumes: BTreeMap::new(),
            dirty: BTreeSet::new(),
            next_change_at: now,
        }
    }

    /// Returns when some quota next changes without a message.
    pub fn next_change_at(&self) -> Duration {
        if self.volumes.is_empty() {
            Duration::MAX
        } else {
            self.next_change_at
        }
    }

    /// Sets the sharers and the limit of a volume. Returns an action if the limit was shared and no longer is.
    pub fn volume_changed(
        &mut self,
        now: Duration,
        incarnation: Incarnation,
        volume: u64,
        sharers: BTreeSet<HostNumber>,
        limit: f64,
    ) -> Option<Action> {
        if !sharers.contains(&self.me) || sharers.len() < 2 || limit <= 0.0 {
            self.volumes.remove(&volume)?;
            return Some(Action::QuotaChanged {
                volume,
                base_quota_multiple: 1.0,
            });
        }
        self.dirty.insert(volume);
        let terms = self.rules.leases;
        let shared = self.volumes.entry(volume).or_insert_with(|| SharedVolume {
            leases: QuotaLeases::new(now, self.me, incarnation, terms, sharers.clone()),
            limit,
            requested: 0.0,
            demand: 0.0,
            applied: None,
        });
        shared.limit = limit;
        shared.leases.set_sharers(sharers);
        None
    }

    /// Counts units that clients requested at this host.
    pub fn add_requested(&mut self, volume: u64, units: f64) {
        if let Some(shared) = self.volumes.get_mut(&volume) {
            shared.requested += units;
        }
    }

    /// Handles a lease message of another host, and returns the answers.
    pub fn handle_message(
        &mut self,
        now: Duration,
        message: VolumeReceived,
    ) -> Vec<AddressedLeaseMessage> {
        let Some(shared) = self.volumes.get_mut(&message.volume) else {
            return Vec::new();
        };
        self.dirty.insert(message.volume);
        let answers = shared.leases.handle_message(now, message.received);
        with_volume(message.volume, shared, answers)
    }

    /// Sets this host's own incarnation.
    pub fn set_incarnation(&mut self, incarnation: Incarnation) {
        for shared in self.volumes.values_mut() {
            shared.leases.set_incarnation(incarnation);
        }
        self.mark_all_dirty();
    }

    /// Marks all quotas as possibly changed.
    pub fn mark_all_dirty(&mut self) {
        self.dirty.extend(self.volumes.keys());
    }

    /// Runs a round: updates the demands, and returns the messages to send. `lenders` contains the offers of
    /// other hosts by volume. `superseded` tells whether a later process of this host is known.
    pub fn run_round(
        &mut self,
        now: Duration,
        superseded: bool,
        mut lenders: BTreeMap<u64, Vec<Lender>>,
        rng: &mut Pcg64Mcg,
    ) -> Vec<AddressedLeaseMessage> {
        let interval = self.rules.interval.as_secs_f64().max(MIN_INTERVAL_SECONDS);
        let mut out = Vec::new();
        for (volume, shared) in &mut self.volumes {
            let requested = std::mem::take(&mut shared.requested);
            shared.demand += DEMAND_SMOOTHING * (requested / interval - shared.demand);
            let demand = shared.demand * DEMAND_HEADROOM / shared.limit * f64::from(FULL_LIMIT);
            shared.leases.set_demand(demand as u32);
            shared.leases.set_superseded(superseded);
            self.dirty.insert(*volume);
            let mut lenders = lenders.remove(volume).unwrap_or_default();
            // All hosts that need more know the same offers. The shuffle, among lenders with spare amounts
            // of similar size, keeps them from requesting from the same host.
            lenders.shuffle(rng);
            lenders.sort_by_key(|lender| Reverse(lender.spare.max(1).ilog2()));
            let messages = shared.leases.run_round(now, &lenders);
            out.extend(with_volume(*volume, shared, messages));
        }
        out
    }

    /// Returns the amounts that this host could lease to others, the largest ones first.
    pub fn offers(&self, now: Duration) -> Vec<LeaseOffer> {
        let mut offers = Vec::new();
        for (volume, shared) in &self.volumes {
            let spare = shared.leases.spare(now);
            if spare > 0 {
                let volume = *volume;
                offers.push(LeaseOffer { volume, spare });
            }
        }
        offers.sort_by_key(|offer| Reverse(offer.spare));
        offers.truncate(MAX_REPORT_ITEMS);
        offers
    }

    /// Returns the quotas that have changed since they were returned last.
    pub fn take_changes(&mut self, now: Duration) -> Vec<Action> {
        let mut changes = Vec::new();
        for volume in std::mem::take(&mut self.dirty) {
            let Some(shared) = self.volumes.get_mut(&volume) else {
                continue;
            };
            let change_at = shared.leases.next_change_at(now);
            let change_at = change_at.unwrap_or(now + self.rules.interval);
            self.next_change_at = if self.next_change_at <= now {
                change_at
            } else {
                change_at.min(self.next_change_at)
            };
            let applied = AppliedQuota {
                quota: shared.leases.quota(now),
                base_quota: shared.leases.base_quota(),
            };
            if shared.applied != Some(applied) {
                shared.applied = Some(applied);
                let base_quota_multiple =
                    f64::from(applied.quota) / f64::from(applied.base_quota.max(1));
                changes.push(Action::QuotaChanged {
                    volume,
                    base_quota_multiple,
                });
            }
        }
        changes
    }

    /// Returns the present quotas of all volumes, for operators.
    pub fn metrics(&self, now: Duration) -> Vec<QuotaMetrics> {
        let fraction = |amount: u32| f64::from(amount) / f64::from(FULL_LIMIT);
        let row = |(volume, shared): (&u64, &SharedVolume)| {
            let leased = shared.leases.leased(now);
            QuotaMetrics {
                volume: *volume,
                sharers: shared.leases.sharers().len(),
                quota: fraction(shared.leases.quota(now)),
                base_quota: fraction(shared.leases.base_quota()),
                granted: fraction(leased.granted),
                borrowed: fraction(leased.borrowed),
            }
        };
        self.volumes.iter().map(row).collect()
    }
}

/// Adds the volume and the number of sharers to messages.
fn with_volume(
    volume: u64,
    shared: &SharedVolume,
    messages: Vec<OutgoingLeaseMessage>,
) -> Vec<AddressedLeaseMessage> {
    let sharers = shared.leases.sharers().len() as u32;
    let add_volume = |outgoing: OutgoingLeaseMessage| AddressedLeaseMessage {
        to: outgoing.to,
        message: VolumeLeaseMessage {
            volume,
            sharers,
            message: outgoing.message,
        },
    };
    messages.into_iter().map(add_volume).collect()
}
