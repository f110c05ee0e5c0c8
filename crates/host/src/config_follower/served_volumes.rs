//! The plans and volumes that this host knows: which volumes it serves, and on which terms.
//!
//! [`super::ConfigFollower`] updates it when a plan or a volume changes, and reads it for each request
//! of the router. Memory: one entry for each plan, and one for each volume that this host serves or has
//! served and that still exists.

use grebecleat_catalog::follower::Terms;
use grebecleat_catalog::records::{self, Name};
use grebecleat_scheduler::api::{Event, LimitQuota, Plan, PlanId, VolumeId, VolumeTerms};
use grebecleat_settings::Settings;
use std::collections::HashMap;

/// Whether this host serves a volume.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum VolumePlacement {
    /// This host serves the volume.
    Here {
        /// Its plan.
        plan: PlanId,
        /// The number of hosts that serve it.
        hosts: usize,
    },
    /// Only other hosts serve the volume.
    Elsewhere,
    /// There is no such volume.
    Unknown,
    /// This host has not received the catalog yet.
    NotYetKnown,
}

/// A volume of the catalog. The plan and the number of hosts count only if this host serves it.
#[derive(Debug, Clone, Copy)]
struct KnownVolume {
    plan: PlanId,
    /// The number of hosts that serve it.
    hosts: usize,
    /// Whether this host serves it.
    here: bool,
}

/// The plans and volumes that this host knows.
pub(super) struct ServedVolumes {
    plans: HashMap<Name, PlanId>,
    /// Base rates in units a second, indexed by plan.
    rates: Vec<f64>,
    volumes: HashMap<VolumeId, KnownVolume>,
}

impl ServedVolumes {
    /// Returns the plans that the settings declare, without volumes.
    pub(super) fn declared_plans(settings: &Settings) -> Self {
        let plans = settings.plans.iter().enumerate();
        let rates = settings.plans.iter().map(|plan| plan.facts.base_rate);
        ServedVolumes {
            plans: plans
                .map(|(index, plan)| (Name::from(plan.name.as_str()), PlanId(index)))
                .collect(),
            rates: rates.collect(),
            volumes: HashMap::new(),
        }
    }

    /// Returns the plans and volumes that the settings declare.
    pub(super) fn declared(settings: &Settings) -> Self {
        let volumes = settings.volumes.iter().map(|volume| {
            let known = KnownVolume {
                plan: PlanId(volume.plan),
                hosts: volume.hosts.len(),
                here: true,
            };
            (VolumeId(volume.id), known)
        });
        ServedVolumes {
            volumes: volumes.collect(),
            ..ServedVolumes::declared_plans(settings)
        }
    }

    /// Returns the placement of a volume, or `None` if the volume is unknown.
    pub(super) fn placement(&self, volume: VolumeId) -> Option<VolumePlacement> {
        let known = self.volumes.get(&volume)?;
        Some(match known.here {
            true => VolumePlacement::Here {
                plan: known.plan,
                hosts: known.hosts,
            },
            false => VolumePlacement::Elsewhere,
        })
    }

    /// Returns the base rate of a plan in units a second, or 0 for an unknown plan.
    pub(super) fn rate(&self, plan: PlanId) -> f64 {
        self.rates.get(plan.0).copied().unwrap_or_default()
    }

    /// Applies a plan of the catalog, and returns the event for the scheduler.
    pub(super) fn plan_changed(&mut self, name: Name, plan: records::Plan) -> Event {
        let next = PlanId(self.plans.len());
        let plan_id = *self.plans.entry(name).or_insert(next);
        self.rates.resize(self.plans.len(), 0.0);
        self.rates[plan_id.0] = plan.rate;
        let facts = Plan {
            base_rate: plan.rate,
            reservation: plan.reservation,
            limit: plan.limit,
            limit_burst: plan.burst,
            limit_slack: plan.slack,
            weight: plan.weight,
            price: plan.price,
        };
        Event::PlanChanged {
            plan: plan_id,
            facts,
        }
    }

    /// Applies the terms of a volume that this host serves, and returns the event for the scheduler.
    pub(super) fn volume_served(&mut self, volume: VolumeId, terms: Terms) -> Event {
        let plan = self.plans.get(&terms.plan).copied().unwrap_or(PlanId(0));
        let hosts = terms.hosts;
        let known = KnownVolume {
            plan,
            hosts,
            here: true,
        };
        self.volumes.insert(volume, known);
        let limit = terms.quota.map(|quota| LimitQuota {
            rate: quota.rate,
            burst: quota.burst,
        });
        Event::VolumeChanged {
            volume,
            terms: Some(VolumeTerms { plan, hosts, limit }),
        }
    }

    /// Records that this host does not serve a volume, and returns the event for the scheduler. A
    /// volume that still exists is recorded as served elsewhere; one that does not is forgotten.
    pub(super) fn volume_not_served(&mut self, volume: VolumeId, exists: bool) -> Event {
        if exists {
            let elsewhere = KnownVolume {
                plan: PlanId(0),
                hosts: 0,
                here: false,
            };
            self.volumes.insert(volume, elsewhere);
        } else {
            self.volumes.remove(&volume);
        }
        Event::VolumeChanged {
            volume,
            terms: None,
        }
    }
}
