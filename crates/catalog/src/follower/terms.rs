//! The terms on which this host serves a volume, by all versions that it must reckon with.

use super::{Follower, Terms};
use crate::change::Change;
use crate::feed::{quota, LimitTerms};
use crate::records::{Name, Plan, Volume};
use std::collections::BTreeMap;

/// A volume and the plans that differ from the present ones, as they were before some revision.
struct EarlierState<'a> {
    follower: &'a Follower,
    volume: Option<&'a Volume>,
    plans: BTreeMap<&'a Name, Option<&'a Plan>>,
}

impl<'a> EarlierState<'a> {
    /// Goes back by one change; returns whether it touches the volume or its plan.
    fn go_back(&mut self, id: u64, before: &'a Change) -> bool {
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
            None => self.follower.catalog.plan(&volume.plan),
        }?;
        Some(LimitTerms {
            reservation: plan.reservation,
            limit: plan.limit,
            burst: plan.burst,
            hosts: volume.hosts.len(),
            mine: volume.hosts.contains(&self.follower.host),
        })
    }
}

impl Follower {
    pub(super) fn terms(&self, id: u64) -> Option<Terms> {
        let volume = self.catalog.volume(id)?;
        Some(Terms {
            plan: volume.plan.clone(),
            hosts: volume.hosts.len(),
            mine: volume.hosts.contains(&self.host),
            quota: quota(self.limit_terms_window(id), self.leased),
        })
    }

    /// What each version that must be reckoned with says of a volume, the newest first.
    fn limit_terms_window(&self, id: u64) -> Vec<LimitTerms> {
        let mut state = EarlierState {
            follower: self,
            volume: self.catalog.volume(id),
            plans: BTreeMap::new(),
        };
        let mut window: Vec<LimitTerms> = state.limit_terms().into_iter().collect();
        for revision in self.catalog.audit_log().rev() {
            let mut has_changed = false;
            for before in &revision.before {
                has_changed |= state.go_back(id, before);
            }
            if has_changed {
                window.extend(state.limit_terms());
            }
        }
        window
    }
}
