//! This host's quotas of all limits that it shares: demand, leases, and which quotas have changed.
//!
//! State machine, owned by [`crate::coordinator`]. No I/O. Each volume has its own [`QuotaLeases`]; what
//! is stored here besides is the demand by which they ask for leases, and the quota that was last
//! returned. Memory: a row for each volume with a limit that is shared.

use crate::borrowed_leases::{Lender, OutgoingLeaseMessage};
use crate::events::{Action, Rules};
use crate::gossip_message::{VolumeLeaseMessage, VolumeReceived, MAX_REPORT_ITEMS};
use crate::host_report::LeaseOffer;
use crate::lease_message::WHOLE_LIMIT;
use crate::quota_lease::QuotaLeases;
use crate::{HostNumber, Incarnation};
use rand::seq::SliceRandom;
use rand_pcg::Pcg64Mcg;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// The weight of the last round in the demand's moving average.
const DEMAND_SMOOTHING: f64 = 0.3;
/// What is asked for as a multiple of the demand, so that a volume's growth does not wait for every
/// lease.
const DEMAND_HEADROOM: f64 = 1.25;
/// An interval is counted as at least so many seconds.
const MIN_INTERVAL_SECONDS: f64 = 1e-3;

/// A quota, and the base quota that it is a multiple of.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct AppliedQuota {
    quota: u32,
    base_quota: u32,
}

#[derive(Debug)]
struct SharedVolume {
    leases: QuotaLeases,
    /// Units a second.
    limit: f64,
    /// Units requested here since the last round.
    requested: f64,
    /// Units a second that clients request here.
    demand: f64,
    /// What was last returned.
    applied: Option<AppliedQuota>,
}

/// A lease message to send, with its receiver.
#[derive(Debug, Clone, Copy)]
pub(crate) struct AddressedLeaseMessage {
    /// The receiver.
    pub to: HostNumber,
    /// What it is sent.
    pub message: VolumeLeaseMessage,
}

/// A volume's limit as this host has it now; quotas and leases in fractions of the whole limit.
#[derive(Debug, Clone, PartialEq)]
pub struct QuotaMetrics {
    /// The volume's number.
    pub volume: u64,
    /// How many hosts share it.
    pub sharers: usize,
    /// What this host may use.
    pub quota: f64,
    /// What it may use where nothing is leased.
    pub base_quota: f64,
    /// What it has granted to others.
    pub granted: f64,
    /// What it has borrowed from others.
    pub borrowed: f64,
}

/// The quotas of all shared volumes.
#[derive(Debug)]
pub(crate) struct SharedQuotas {
    me: HostNumber,
    rules: Rules,
    volumes: BTreeMap<u64, SharedVolume>,
    /// Volumes whose quota may have changed.
    touched: BTreeSet<u64>,
    /// When some quota next changes by itself.
    next_change: Duration,
}

impl SharedQuotas {
    /// Shares nothing yet.
    pub fn new(now: Duration, me: HostNumber, rules: Rules) -> Self {
        SharedQuotas {
            me,
            rules,
            volumes: BTreeMap::new(),
            touched: BTreeSet::new(),
            next_change: now,
        }
    }

    /// When some quota next changes by itself.
    pub fn change_at(&self) -> Duration {
        if self.volumes.is_empty() {
            Duration::MAX
        } else {
            self.next_change
        }
    }

    /// Takes a volume's sharers and limit. Returns an action where it is no longer shared.
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
            return Some(Action::QuotaChanged { volume, times: 1.0 });
        }
        self.touched.insert(volume);
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

    /// Counts units that clients requested here.
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
        self.touched.insert(message.volume);
        let answers = shared.leases.handle_message(now, message.received);
        addressed(message.volume, shared, answers)
    }

    /// Sets this host's own incarnation.
    pub fn set_incarnation(&mut self, incarnation: Incarnation) {
        for shared in self.volumes.values_mut() {
            shared.leases.set_incarnation(incarnation);
        }
        self.touch_all();
    }

    /// Marks all quotas as possibly changed.
    pub fn touch_all(&mut self) {
        self.touched.extend(self.volumes.keys());
    }

    /// The round: updates the demands, and returns the messages to send. `lenders`: what other
    /// hosts offer, by volume; `superseded`: whether a later process of this host is known.
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
            let demand = shared.demand * DEMAND_HEADROOM / shared.limit * f64::from(WHOLE_LIMIT);
            shared.leases.set_demand(demand as u32);
            shared.leases.set_superseded(superseded);
            self.touched.insert(*volume);
            let mut lenders = lenders.remove(volume).unwrap_or_default();
            // All hosts that need more know the same offers: without a shuffle all would ask the
            // same host.
            lenders.shuffle(rng);
            lenders.sort_by_key(|lender| Reverse(lender.spare.max(1).ilog2()));
            let messages = shared.leases.run_round(now, &lenders);
            out.extend(addressed(*volume, shared, messages));
        }
        out
    }

    /// What this host could lease to others, the largest first.
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

    /// The quotas that have changed since they were last returned.
    pub fn take_changes(&mut self, now: Duration) -> Vec<Action> {
        let mut changes = Vec::new();
        for volume in std::mem::take(&mut self.touched) {
            let Some(shared) = self.volumes.get_mut(&volume) else {
                continue;
            };
            let changes_at = shared.leases.changes_at(now);
            let changes_at = changes_at.unwrap_or(now + self.rules.interval);
            self.next_change = if self.next_change <= now {
                changes_at
            } else {
                changes_at.min(self.next_change)
            };
            let applied = AppliedQuota {
                quota: shared.leases.quota(now),
                base_quota: shared.leases.base_quota(),
            };
            if shared.applied != Some(applied) {
                shared.applied = Some(applied);
                let times = f64::from(applied.quota) / f64::from(applied.base_quota.max(1));
                changes.push(Action::QuotaChanged { volume, times });
            }
        }
        changes
    }

    /// All quotas, for operators.
    pub fn metrics(&self, now: Duration) -> Vec<QuotaMetrics> {
        let fraction = |amount: u32| f64::from(amount) / f64::from(WHOLE_LIMIT);
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

fn addressed(
    volume: u64,
    shared: &SharedVolume,
    messages: Vec<OutgoingLeaseMessage>,
) -> Vec<AddressedLeaseMessage> {
    let sharers = shared.leases.sharers().len() as u32;
    let address = |outgoing: OutgoingLeaseMessage| AddressedLeaseMessage {
        to: outgoing.to,
        message: VolumeLeaseMessage {
            volume,
            sharers,
            message: outgoing.message,
        },
    };
    messages.into_iter().map(address).collect()
}
