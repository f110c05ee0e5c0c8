//! Computes the terms on which a host serves a volume from all versions that the host must take into
//! account. Pure functions, called by the follower for each volume whose terms may have changed.

use super::Terms;
use crate::catalog::Catalog;
use crate::change::Change;
use crate::feed::{quota, LimitTerms};
use crate::records::{Name, Plan, Volume};
use std::collections::BTreeMap;

/// The state before some revision: a volume, and the plans that differ from the current ones.
struct EarlierState<'a> {
    catalog: &'a Catalog,
    host: &'a Name,
    volume: Option<&'a Volume>,
    plans: BTreeMap<&'a Name, Option<&'a Plan>>,
}

impl<'a> EarlierState<'a> {
    /// Reverts one change, and returns whether it concerns the volume or its plan.
    fn revert(&mut self, id: u64, before: &'a Change) -> bool {
        match before {
            Change::Volume { id: other, to } if *other == id => {
                self.volume = to.as_ref();
                true
            }
            Change::Plan { name, to } => {
                self.plans.insert(name, to.as_ref());
                self.volume.is_some_and(|volume| volume.plan == *name)
            }
            _ => false,
        }
    }

    fn limit_terms(&self) -> Option<LimitTerms> {
        let volume = self.volume?;
        let plan = match self.plans.get(&volume.plan) {
            Some(earlier) => *earlier,
            None => self.catalog.plan(&volume.plan),
        }?;
        Some(LimitTerms {
            reservation: plan.reservation,
            limit: plan.limit,
            burst: plan.burst,
            hosts: volume.hosts.len(),
            served_here: volume.hosts.contains(self.host),
        })
    }
}

/// The terms on which `host` serves a volume, or `None` if the volume is not in the catalog. `leased`
/// is whether the host has a lease.
pub(super) fn terms(catalog: &Catalog, host: &Name, leased: bool, id: u64) -> Option<Terms> {
    let volume = catalog.volume(id)?;
    Some(Terms {
        plan: volume.plan.clone(),
        hosts: volume.hosts.len(),
        served_here: volume.hosts.contains(host),
        quota: quota(limit_terms_window(catalog, host, id), leased),
    })
}

/// The limit of a volume in each version that the host must take into account, newest first.
fn limit_terms_window(catalog: &Catalog, host: &Name, id: u64) -> Vec<LimitTerms> {
    let mut state = EarlierState {
        catalog,
        host,
        volume: catalog.volume(id),
        plans: BTreeMap::new(),
    };
    let mut window: Vec<LimitTerms> = state.limit_terms().into_iter().collect();
    for revision in catalog.audit_log().rev() {
        let mut has_changed = false;
        for before in &revision.before {
            has_changed |= state.revert(id, before);
        }
        if has_changed {
            window.extend(state.limit_terms());
        }
    }
    window
}
