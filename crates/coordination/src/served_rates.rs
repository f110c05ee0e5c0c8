//! The rates at which this host and the other hosts serve each volume.
//!
//! [`crate::coordinator`] owns the rates. It adds the units that this host serves, and the counts in the
//! reports of the other hosts. The module stores one entry for each volume that this host serves, and one
//! for each host and volume of a report.

use crate::evidence::EVIDENCE_WINDOW;
use crate::gossip_message::MAX_REPORT_ITEMS;
use crate::gossip_state::KnownReport;
use crate::host_report::{ServedUnits, VersionStamp};
use crate::HostNumber;
use std::collections::BTreeMap;
use std::time::Duration;

/// The units that this host has served for a volume, and their rate.
#[derive(Debug, Default, Clone, Copy)]
struct LocalRate {
    units: f64,
    /// The value of `units` when the rate was last measured.
    measured_units: f64,
    /// The rate, in units a second.
    rate: f64,
}

/// The units that another host has served for a volume, and their rate.
#[derive(Debug, Clone, Copy)]
struct RemoteRate {
    version: VersionStamp,
    units: u64,
    /// When the host wrote the report with `units`.
    reported_at: Duration,
    /// The rate, in units a second.
    rate: f64,
}

/// The rates of all volumes.
#[derive(Debug, Default)]
pub(crate) struct ServedRates {
    local: BTreeMap<u64, LocalRate>,
    remote: BTreeMap<u64, BTreeMap<HostNumber, RemoteRate>>,
}

impl ServedRates {
    /// Counts units that this host has served for a volume.
    pub fn add_local(&mut self, volume: u64, units: f64) {
        self.local.entry(volume).or_default().units += units;
    }

    /// Computes this host's rates from the units of the last `seconds`.
    pub fn measure_local(&mut self, seconds: f64) {
        for local in self.local.values_mut() {
            local.rate = (local.units - local.measured_units) / seconds;
            local.measured_units = local.units;
        }
    }

    /// Updates the rates of another host from the counts in its report.
    pub fn add_remote(&mut self, now: Duration, known: &KnownReport) {
        let reported_at = now.saturating_sub(known.age);
        for served in &known.report.served {
            let new = RemoteRate {
                version: known.version,
                units: served.units,
                reported_at,
                rate: 0.0,
            };
            let hosts = self.remote.entry(served.volume).or_default();
            let remote = hosts.entry(known.host).or_insert(new);
            let seconds = reported_at.saturating_sub(remote.reported_at).as_secs_f64();
            let restarted = remote.version.incarnation != known.version.incarnation;
            if restarted || served.units < remote.units {
                *remote = new;
            } else if seconds > 0.0 {
                let rate = (served.units - remote.units) as f64 / seconds;
                *remote = RemoteRate { rate, ..new };
            }
        }
    }

    /// Returns the units of this host's busiest volumes, for its report. For the other volumes the rates
    /// that answers to clients report are accurate enough.
    pub fn busiest(&self) -> Vec<ServedUnits> {
        let mut busy: Vec<(&u64, &LocalRate)> = self
            .local
            .iter()
            .filter(|(_, local)| local.rate > 0.0)
            .collect();
        busy.sort_by(|(_, a), (_, b)| b.rate.total_cmp(&a.rate));
        busy.into_iter()
            .take(MAX_REPORT_ITEMS)
            .map(|(volume, local)| ServedUnits {
                volume: *volume,
                units: local.units as u64,
            })
            .collect()
    }

    /// Returns the rate at which the other hosts serve a volume, in units a second.
    pub fn elsewhere(&self, now: Duration, volume: u64) -> f64 {
        let hosts = self.remote.get(&volume).into_iter().flatten();
        hosts
            .filter(|(_, remote)| now < remote.reported_at + EVIDENCE_WINDOW)
            .map(|(_, remote)| remote.rate)
            .sum()
    }

    /// Returns the rate at which all hosts serve a volume, in units a second.
    pub fn everywhere(&self, now: Duration, volume: u64) -> f64 {
        let local = self.local.get(&volume).map_or(0.0, |local| local.rate);
        local + self.elsewhere(now, volume)
    }
}
