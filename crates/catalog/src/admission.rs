//! Admission control: whether a change may land, by its effect on the reservations.
//!
//! The leader calls [`Admission::land`] with the catalog as the changes would leave it. The verdict
//! has the objections, and the caller decides. Either the changes stay, or the catalog reverts them
//! and the caller calls [`Admission::undo`]. No I/O. Each part of the state has one owner:
//!
//! - `SiteModel`: the site that the catalog describes, as an
//!   [`IncrementalFlow`](crate::incremental_flow::IncrementalFlow) without the nodes that are being
//!   drained;
//! - `LossTable`: the shortfall with each node and zone out;
//! - [`Admission`]: the nodes that hosts observe to be unavailable.
//!
//! Memory: the flow, and one figure for each node and zone.
//!
//! An objection means that reservations which could be met can no longer be met, or that more of
//! them cannot. A warning means the same for the case that any one node or any one zone is out. A
//! shortfall that exists already is no objection to a change that does not increase it: otherwise a
//! site could not be repaired step by step. Where no node's capacity is configured, the verdict
//! states that the capacity is unknown, and nothing is evaluated.
//!
//! Any other unavailable node in the zone of a drain is an objection to that drain: a node that is
//! being drained, is warming up, does not answer correctly or is gone
//! ([`Admission::set_unavailable`]). A zone is a failure domain, and data is laid out so that a
//! zone may lose one node and not two. Two operators who each see one drain must not together make
//! it two. A queued drain is evaluated by reservations alone, as if it had started.
//!
//! Losses are examined one by one, first those that share nodes with the changed subjects. The
//! caller limits their number, and the verdict states how many were not examined.

mod losses;
mod reasons;
mod site;

pub use reasons::{excluded_in_zone, join_reasons, AdmissionVerdict, ExclusionReason, Reason};

use crate::catalog::Catalog;
use crate::change::Change;
use crate::incremental_flow::Shortfall;
use crate::planner::{check, Out, Site};
use crate::records::{Drain, Name, Stage};
use losses::LossTable;
use site::SiteModel;
use std::collections::{BTreeMap, BTreeSet};

/// The admission control; see the module.
#[derive(Debug, Clone, Default)]
pub struct Admission {
    site: SiteModel,
    losses: LossTable,
    /// Nodes that hosts observe to be unavailable.
    unavailable: BTreeMap<u32, ExclusionReason>,
}

impl Admission {
    /// The admission control for the present state of a catalog. `spread`: see [`Site`].
    pub fn open(catalog: &Catalog, spread: f64) -> Admission {
        let mut admission = Admission {
            site: SiteModel::new(spread),
            ..Admission::default()
        };
        let state: Vec<Change> = catalog.state().collect();
        admission.apply(catalog, &state);
        admission
    }

    /// Sets hosts' observation of a node. An unavailable node prevents a drain in its zone from
    /// starting. None: the node is available.
    pub fn set_unavailable(&mut self, node: u32, reason: Option<ExclusionReason>) {
        match reason {
            Some(reason) => _ = self.unavailable.insert(node, reason),
            None => _ = self.unavailable.remove(&node),
        }
    }

    /// Nodes that are being drained, without those whose drain is queued.
    pub fn drains(&self) -> &BTreeSet<u32> {
        self.site.draining()
    }

    /// The reservations that cannot be met at present.
    pub fn shortfall(&self) -> Shortfall {
        self.site.shortfall()
    }

    /// The site that a catalog describes.
    pub fn site(&self, catalog: &Catalog) -> Site {
        self.site.site(catalog)
    }

    /// Number of losses that can be examined.
    pub fn losses(&self) -> usize {
        self.losses.count()
    }

    /// Updates the figures of at most `steps` stale losses, and returns how many stay stale. Meant
    /// for idle time.
    pub fn refresh(&mut self, steps: usize) -> usize {
        self.losses.refresh(&mut self.site, steps)
    }

    /// Evaluates changes that the catalog already has. `steps`: how many losses may be examined.
    pub fn land(&mut self, after: &Catalog, changes: &[Change], steps: usize) -> AdmissionVerdict {
        let before = self.site.shortfall();
        self.losses.save();
        let mut changed_nodes = self.site.nodes_touched(after, changes);
        let drained = self.newly_drained(changes, Drain::holds);
        let queued = self.newly_drained(changes, |drain| !drain.holds());
        let gone = self.gone_elsewhere(after, &drained);
        let before_without_gone = if gone.is_empty() {
            before
        } else {
            self.site.shortfall_without(&gone)
        };
        let not_empty = self.removed_before_empty(changes);

        self.apply(after, changes);

        changed_nodes.extend(self.site.nodes_touched(after, changes));
        let mut verdict = AdmissionVerdict::default();
        let objections = &mut verdict.objections;
        objections.extend(
            drained
                .iter()
                .filter_map(|node| self.coincidence(after, *node)),
        );
        objections.extend(not_empty.into_iter().map(|node| Reason::NotEmpty { node }));
        if !self.site.capacity_known() {
            verdict.capacity_unknown = true;
            return verdict;
        }
        objections.extend(self.check_reservations(after, &queued, &before));
        if !gone.is_empty() && objections.is_empty() {
            objections.extend(self.check_without_gone(gone, &before_without_gone));
        }
        if objections.is_empty() {
            self.check_losses(&changed_nodes, steps, &mut verdict);
        }
        verdict
    }

    /// Reverts the last [`Admission::land`], after the catalog has reverted its changes.
    pub fn undo(&mut self, catalog: &Catalog, changes: &[Change]) {
        self.apply(catalog, changes);
        self.losses.undo();
    }

    fn apply(&mut self, catalog: &Catalog, changes: &[Change]) {
        self.site.apply(catalog, changes);
        self.losses.list(&self.site);
    }

    /// Nodes of drains for which `is_wanted` holds, and that were not being drained before.
    fn newly_drained(
        &self,
        changes: &[Change],
        is_wanted: impl Fn(&Drain) -> bool,
    ) -> BTreeSet<u32> {
        let was_drained = |node: u32| {
            let stage = self.site.stage(node);
            stage.is_some_and(|stage| stage != Stage::Queued)
        };
        drains_of(changes)
            .filter(|&(node, drain)| is_wanted(drain) && !was_drained(node))
            .map(|(node, _)| node)
            .collect()
    }

    /// Nodes that the changes remove before they were drained.
    fn removed_before_empty(&self, changes: &[Change]) -> Vec<u32> {
        let was_empty = |node: u32| {
            let stage = self.site.stage(node);
            stage.is_some_and(|stage| stage >= Stage::Drained)
        };
        drains_of(changes)
            .filter(|(node, drain)| drain.stage == Stage::Removed && !was_empty(*node))
            .map(|(node, _)| node)
            .collect()
    }

    /// Nodes that are gone in zones where no drain starts now.
    fn gone_elsewhere(&self, catalog: &Catalog, drained: &BTreeSet<u32>) -> BTreeSet<u32> {
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

    /// Objects to a drain while other nodes of its zone are unavailable.
    fn coincidence(&self, after: &Catalog, node: u32) -> Option<Reason> {
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
        let with = excluded_in_zone(node, zone, draining.chain(unavailable));
        (!with.is_empty()).then(|| Reason::Coincides {
            node,
            zone: zone(node).unwrap_or_default(),
            with,
        })
    }

    /// Objects to reservations that can no longer be met. Queued drains are evaluated as if they
    /// had started.
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
            objections.push(Reason::Short {
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

    /// Objects to reservations that can no longer be met while nodes are gone.
    fn check_without_gone(&mut self, gone: BTreeSet<u32>, before: &Shortfall) -> Option<Reason> {
        let present = self.site.shortfall_without(&gone);
        let is_worse = present.exceeds(before, self.site.slack());
        is_worse.then(|| Reason::Meanwhile {
            gone: gone.into_iter().collect(),
            by: present.short + present.out_of_reach,
        })
    }

    /// Warns of reservations that can no longer be met with a loss.
    fn check_losses(
        &mut self,
        changed_nodes: &BTreeSet<u32>,
        steps: usize,
        verdict: &mut AdmissionVerdict,
    ) {
        let slack = self.site.slack();
        let order = self.losses.by_relevance(changed_nodes);
        verdict.unexamined_losses = order.len().saturating_sub(steps);
        for out in order.into_iter().take(steps) {
            let before = self.losses.former_shortfall(out);
            let shortfall = self.losses.examine(&mut self.site, out);
            if !shortfall.exceeds(&before, slack) {
                continue;
            }
            let zone = match out {
                Out::Zone(zone) => self.site.zone_name(zone).cloned(),
                Out::Nothing | Out::Node(_) => None,
            };
            verdict.warnings.push(Reason::Without {
                out,
                zone,
                by: shortfall.short,
            });
        }
    }
}

/// The drains that these changes set, with their nodes.
fn drains_of(changes: &[Change]) -> impl Iterator<Item = (u32, &Drain)> {
    changes.iter().filter_map(|change| match change {
        Change::Drain {
            node,
            to: Some(drain),
        } => Some((*node, drain)),
        _ => None,
    })
}
