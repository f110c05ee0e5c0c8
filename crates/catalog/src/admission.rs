//! Admission control: decides whether a change is admitted, by its effect on the reservations.
//!
//! The leader calls [`Admission::land`] with the catalog after the changes. The verdict lists the
//! objections, and the caller decides whether to keep the changes. To discard them, the caller first
//! reverts them in the catalog and then calls [`Admission::undo`]. This module performs no I/O. Each
//! part of the state has one owner:
//!
//! - `SiteModel`: the site that the catalog describes, as an
//!   [`IncrementalFlow`](crate::incremental_flow::IncrementalFlow) without the nodes that are being
//!   drained;
//! - `OutageTable`: the shortfall during an outage of each node and of each zone;
//! - [`Admission`]: the nodes that hosts report as unavailable.
//!
//! Memory use is the flow, and one shortfall for each node and zone.
//!
//! An objection means that the change increases the sum of reservations that cannot be met. A
//! warning means the same for an outage of a single node or a single zone. A shortfall that exists
//! before the change is no objection as long as the change does not increase it: otherwise a site
//! could not be repaired step by step. If no node's capacity is configured, the verdict states that
//! the capacity is unknown, and reservations are not evaluated.
//!
//! A drain is objected to while any other node of its zone is unavailable: draining, warming up, not
//! responding correctly, or removed ([`Admission::set_unavailable`]). A zone is a failure domain,
//! and data is laid out so that a zone tolerates the loss of one node but not of two. Without this
//! rule, two operators who each see only their own drain could together drain two nodes. A queued
//! drain is evaluated by reservations alone, as if it had started.
//!
//! Outages are evaluated one by one, beginning with those that share nodes with the changed
//! subjects. The caller limits their number, and the verdict states how many were not evaluated.

mod outages;
mod reasons;
mod site;

pub use reasons::{excluded_in_zone, join_reasons, AdmissionVerdict, ExclusionReason, Reason};

use crate::catalog::Catalog;
use crate::change::Change;
use crate::incremental_flow::Shortfall;
use crate::planner::{check, Outage, Site};
use crate::records::{Drain, Name, Stage};
use outages::OutageTable;
use site::SiteModel;
use std::collections::{BTreeMap, BTreeSet};

/// The admission control. See the module documentation.
#[derive(Debug, Clone, Default)]
pub struct Admission {
    site: SiteModel,
    outages: OutageTable,
    /// Nodes that hosts report as unavailable.
    unavailable: BTreeMap<u32, ExclusionReason>,
}

impl Admission {
    /// Creates the admission control for the current state of a catalog. See [`Site`] for `spread`.
    pub fn open(catalog: &Catalog, spread: f64) -> Admission {
        let mut admission = Admission {
            site: SiteModel::new(spread),
            ..Admission::default()
        };
        let state: Vec<Change> = catalog.state().collect();
        admission.apply(catalog, &state);
        admission
    }

    /// Records why hosts report a node as unavailable, or with `None` that it is available. An
    /// unavailable node prevents other drains in its zone from starting.
    pub fn set_unavailable(&mut self, node: u32, reason: Option<ExclusionReason>) {
        match reason {
            Some(reason) => _ = self.unavailable.insert(node, reason),
            None => _ = self.unavailable.remove(&node),
        }
    }

    /// Nodes whose drain has started. Nodes with a queued drain are not included.
    pub fn drains(&self) -> &BTreeSet<u32> {
        self.site.draining()
    }

    /// The reservations that cannot be met in the current state.
    pub fn shortfall(&self) -> Shortfall {
        self.site.shortfall()
    }

    /// The site that a catalog describes.
    pub fn site(&self, catalog: &Catalog) -> Site {
        self.site.site(catalog)
    }

    /// Number of node and zone outages that can be evaluated.
    pub fn outages(&self) -> usize {
        self.outages.count()
    }

    /// Recomputes at most `steps` stale outages, and returns how many remain stale. Meant to be called
    /// while the leader is idle.
    pub fn refresh(&mut self, steps: usize) -> usize {
        self.outages.refresh(&mut self.site, steps)
    }

    /// Evaluates changes that were already applied to the catalog `after`, with at most `steps` outages.
    pub fn land(&mut self, after: &Catalog, changes: &[Change], steps: usize) -> AdmissionVerdict {
        let before = self.site.shortfall();
        self.outages.save();
        let mut changed_nodes = self.site.affected_nodes(after, changes);
        let drained = self.newly_drained(changes, Drain::holds);
        let queued = self.newly_drained(changes, |drain| !drain.holds());
        let removed = self.removed_in_other_zones(after, &drained);
        let before_without_removed = if removed.is_empty() {
            before
        } else {
            self.site.shortfall_without(&removed)
        };
        let not_drained = self.removed_before_drained(changes);

        self.apply(after, changes);

        changed_nodes.extend(self.site.affected_nodes(after, changes));
        let mut verdict = AdmissionVerdict::default();
        let objections = &mut verdict.objections;
        objections.extend(
            drained
                .iter()
                .filter_map(|node| self.unavailable_in_zone(after, *node)),
        );
        objections.extend(
            not_drained
                .into_iter()
                .map(|node| Reason::NotDrained { node }),
        );
        if !self.site.capacity_known() {
            verdict.capacity_unknown = true;
            return verdict;
        }
        objections.extend(self.check_reservations(after, &queued, &before));
        if !removed.is_empty() && objections.is_empty() {
            objections.extend(self.check_without_removed(removed, &before_without_removed));
        }
        if objections.is_empty() {
            self.check_outages(&changed_nodes, steps, &mut verdict);
        }
        verdict
    }

    /// Reverts the last [`Admission::land`], after the catalog has reverted its changes.
    pub fn undo(&mut self, catalog: &Catalog, changes: &[Change]) {
        self.apply(catalog, changes);
        self.outages.undo();
    }

    fn apply(&mut self, catalog: &Catalog, changes: &[Change]) {
        self.site.apply(catalog, changes);
        self.outages.list(&self.site);
    }

    /// Nodes whose drains match `predicate`, and that were not being drained before the changes.
    fn newly_drained(
        &self,
        changes: &[Change],
        predicate: impl Fn(&Drain) -> bool,
    ) -> BTreeSet<u32> {
        let was_draining = |node: u32| {
            let stage = self.site.stage(node);
            stage.is_some_and(|stage| stage != Stage::Queued)
        };
        drains_of(changes)
            .filter(|&(node, drain)| predicate(drain) && !was_draining(node))
            .map(|(node, _)| node)
            .collect()
    }

    /// Nodes that the changes remove although their drains were not complete.
    fn removed_before_drained(&self, changes: &[Change]) -> Vec<u32> {
        let was_drained = |node: u32| {
            let stage = self.site.stage(node);
            stage.is_some_and(|stage| stage >= Stage::Drained)
        };
        drains_of(changes)
            .filter(|(node, drain)| drain.stage == Stage::Removed && !was_drained(*node))
            .map(|(node, _)| node)
            .collect()
    }

    /// Removed nodes in zones in which the changes start no drain.
    fn removed_in_other_zones(&self, catalog: &Catalog, drained: &BTreeSet<u32>) -> BTreeSet<u32> {
        if drained.is_empty() {
            return BTreeSet::new();
        }
        let zone = |id: &u32| catalog.node(*id).map(|node| node.zone.clone());
        let drained_zones: BTreeSet<Option<Name>> = drained.iter().map(zone).collect();
        let is_elsewhere = |node: &u32| !drained_zones.contains(&zone(node));
        self.unavailable
            .iter()
            .filter(|(_, reason)| **reason == ExclusionReason::Removed)
            .map(|(node, _)| *node)
            .filter(|node| is_elsewhere(node) && !self.drains().contains(node))
            .collect()
    }

    /// Objects to a drain if other nodes of its zone are unavailable.
    fn unavailable_in_zone(&self, after: &Catalog, node: u32) -> Option<Reason> {
        let draining = self
            .drains()
            .iter()
            .map(|other| (*other, ExclusionReason::Draining));
        let unavailable = self
            .unavailable
            .iter()
            .filter(|(other, _)| !self.drains().contains(other))
            .map(|(other, reason)| (*other, *reason));
        let zone = |id: u32| after.node(id).map(|node| node.zone.clone());
        let unavailable_nodes = excluded_in_zone(node, zone, draining.chain(unavailable));
        (!unavailable_nodes.is_empty()).then(|| Reason::ZoneUnavailable {
            node,
            zone: zone(node).unwrap_or_default(),
            unavailable_nodes,
        })
    }

    /// Objects if the changes increase the reservations that cannot be met. Queued drains are
    /// evaluated as if they had started.
    fn check_reservations(
        &mut self,
        after: &Catalog,
        queued: &BTreeSet<u32>,
        before: &Shortfall,
    ) -> Vec<Reason> {
        let slack = self.site.slack();
        let present = if queued.is_empty() {
            self.site.shortfall()
        } else {
            self.site.shortfall_without(queued)
        };
        let mut objections = Vec::new();
        if present.short > before.short + slack {
            let out: BTreeSet<u32> = self.drains().union(queued).copied().collect();
            objections.push(Reason::Unmet {
                by: present.short,
                volumes: check(&self.site(after), &out).short,
            });
        }
        if present.out_of_reach > before.out_of_reach + slack {
            objections.push(Reason::OutOfReach {
                by: present.out_of_reach,
            });
        }
        objections
    }

    /// Objects if the changes increase the reservations that cannot be met without the removed nodes.
    fn check_without_removed(
        &mut self,
        removed: BTreeSet<u32>,
        before: &Shortfall,
    ) -> Option<Reason> {
        let present = self.site.shortfall_without(&removed);
        let is_worse = present.exceeds(before, self.site.slack());
        is_worse.then(|| Reason::UnmetWithRemovedNodes {
            gone: removed.into_iter().collect(),
            by: present.short + present.out_of_reach,
        })
    }

    /// Warns of outages during which the changes increase the reservations that cannot be met.
    fn check_outages(
        &mut self,
        changed_nodes: &BTreeSet<u32>,
        steps: usize,
        verdict: &mut AdmissionVerdict,
    ) {
        let slack = self.site.slack();
        let order = self.outages.by_relevance(changed_nodes);
        verdict.unevaluated_outages = order.len().saturating_sub(steps);
        for out in order.into_iter().take(steps) {
            let before = self.outages.former_shortfall(out);
            let shortfall = self.outages.examine(&mut self.site, out);
            if !shortfall.exceeds(&before, slack) {
                continue;
            }
            let zone = match out {
                Outage::Zone(zone) => self.site.zone_name(zone).cloned(),
                Outage::Nothing | Outage::Node(_) => None,
            };
            verdict.warnings.push(Reason::UnmetDuringOutage {
                out,
                zone,
                by: shortfall.short,
            });
        }
    }
}

/// The drains that the changes add or modify, each with its node.
fn drains_of(changes: &[Change]) -> impl Iterator<Item = (u32, &Drain)> {
    changes.iter().filter_map(|change| match change {
        Change::Drain {
            node,
            to: Some(drain),
        } => Some((*node, drain)),
        _ => None,
    })
}
