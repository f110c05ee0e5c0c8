//! Announces plans and terms of volumes to the host's scheduler when they change.
//!
//! The follower marks what may have changed, and announces the differences at the end of each step.
//!
//! The state is the last announced terms of each volume, and the marked plans and volumes.

use super::messages::{Action, Terms};
use crate::catalog::Catalog;
use crate::change::{Change, Revision};
use crate::records::Name;
use std::collections::{BTreeMap, BTreeSet};

/// The announced terms, and what may differ from them. See the module documentation.
#[derive(Debug)]
pub(super) struct Announcements {
    /// Plans whose new values were not announced yet.
    dirty_plans: BTreeSet<Name>,
    /// Volumes whose terms may differ from the announced ones.
    dirty_volumes: BTreeSet<u64>,
    /// The last announced terms of each volume.
    announced: BTreeMap<u64, Terms>,
}

impl Announcements {
    /// Marks everything in the catalog, since nothing is announced yet.
    pub fn new(catalog: &Catalog) -> Self {
        let mut announcements = Announcements {
            dirty_plans: BTreeSet::new(),
            dirty_volumes: BTreeSet::new(),
            announced: BTreeMap::new(),
        };
        announcements.mark_all(catalog);
        announcements
    }

    /// Marks all plans and volumes in the catalog, and every volume that was announced.
    pub fn mark_all(&mut self, catalog: &Catalog) {
        self.dirty_volumes.extend(self.announced.keys());
        self.dirty_volumes
            .extend(catalog.volumes().map(|(id, _)| id));
        self.dirty_plans
            .extend(catalog.plans().map(|(name, _)| name.clone()));
    }

    /// Marks the volumes with a limit, whose terms depend on the lease.
    pub fn mark_limited(&mut self) {
        let limited = self
            .announced
            .iter()
            .filter(|(_, terms)| terms.quota.is_some());
        self.dirty_volumes.extend(limited.map(|(id, _)| *id));
    }

    /// Marks the plans that a revision changes, and the volumes whose terms it may affect.
    pub fn mark_revision(&mut self, catalog: &Catalog, revision: &Revision) {
        for change in revision.changes.iter().chain(&revision.before) {
            match change {
                Change::Volume { id, .. } => _ = self.dirty_volumes.insert(*id),
                Change::Plan { name, .. } => {
                    self.dirty_plans.insert(name.clone());
                    self.dirty_volumes.extend(catalog.volumes_of_plan(name));
                }
                _ => {}
            }
        }
    }

    /// Marks the volumes whose earlier states a revision adds.
    pub fn mark_earlier_states(&mut self, revision: &Revision) {
        for (_, change) in &revision.also {
            if let Change::Volume { id, .. } = change {
                self.dirty_volumes.insert(*id);
            }
        }
    }

    /// Announces the marked plans.
    pub fn announce_plans(&mut self, catalog: &Catalog, actions: &mut Vec<Action>) {
        for name in std::mem::take(&mut self.dirty_plans) {
            if let Some(plan) = catalog.plan(&name).cloned() {
                actions.push(Action::Plan { name, plan });
            }
        }
    }

    /// Announces the marked volumes whose terms differ from the announced ones.
    pub fn announce_volumes(
        &mut self,
        terms_of: impl Fn(u64) -> Option<Terms>,
        actions: &mut Vec<Action>,
    ) {
        for id in std::mem::take(&mut self.dirty_volumes) {
            let terms = terms_of(id);
            if self.announced.get(&id) == terms.as_ref() {
                continue;
            }
            match &terms {
                Some(terms) => _ = self.announced.insert(id, terms.clone()),
                None => _ = self.announced.remove(&id),
            }
            actions.push(Action::Volume { id, terms });
        }
    }
}
