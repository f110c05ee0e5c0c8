//! Whether a change may land: what it does to the promises that were made.
//!
//! The leader calls [`Admission::land`] with the catalog as changes would leave it; the answer says
//! what speaks against them, and the caller decides: either they stay, or the catalog takes them
//! back and [`Admission::undo`] is called. No I/O. It owns the site that the catalog describes, as
//! an [`IncrementalFlow`] without the nodes that are being drained. Memory: the flow, and one
//! figure for each node and zone.
//!
//! An objection is that reservations which could be met cannot be met any more, or more of them
//! cannot; a warning, that they could not with any one node or any one zone out, where they could
//! before. What was already broken is no reason against a change that does not make it worse: else
//! a site could not be mended step by step. Where no node's capacity is configured, nothing can be
//! judged, and the answer says so.
//!
//! An objection to a drain is, besides, whatever else its zone is without: another drain, a node
//! that is cold, does not answer as it should or is gone ([`Admission::set_unavailable`]). A zone
//! is what fails as one, and data is laid out so that it may lose one node and not two; two
//! operators who each see one drain must not together make it two. A drain that only waits for its
//! turn is judged by reservations alone, as if its turn had come.
//!
//! Losses are examined one by one, those first that share nodes with what is changed; the work is
//! cut off after a number of steps, and the answer says how many losses were not examined.

mod loss;
mod losses;
mod reasons;
mod site;

pub use reasons::{excluded_in_zone, join_reasons, AdmissionVerdict, ExclusionReason, Reason};

use crate::catalog::Catalog;
use crate::change::Change;
use crate::incremental_flow::{IncrementalFlow, Shortfall};
use crate::planner::{check, Out, Site};
use crate::records::{Drain, Name, Stage};
use loss::Loss;
use std::collections::{BTreeMap, BTreeSet};

/// The judgement of changes; see the module.
#[derive(Debug, Clone, Default)]
pub struct Admission {
    flow: IncrementalFlow,
    /// Names of zones; the planner knows them by their places here.
    zones: Vec<Name>,
    nodes_of_shard: BTreeMap<u32, BTreeSet<u32>>,
    /// The reservation of each plan that the flow was given.
    reservations: BTreeMap<Name, f64>,
    /// Whether any node's capacity was ever configured.
    capacity_known: bool,
    /// Nodes that get nothing new.
    draining: BTreeSet<u32>,
    stages: BTreeMap<u32, Stage>,
    unavailable: BTreeMap<u32, ExclusionReason>,
    losses: BTreeMap<Out, Loss>,
    /// The losses as they were before the last changes.
    losses_before: BTreeMap<Out, Loss>,
}

impl Admission {
    /// The judgement for the present state of a catalog. `spread`: see [`Site`].
    pub fn open(catalog: &Catalog, spread: f64) -> Admission {
        let mut admission = Admission {
            flow: IncrementalFlow::of(&Site {
                spread,
                ..Site::default()
            }),
            ..Admission::default()
        };
        let state: Vec<Change> = catalog.state().collect();
        admission.apply(catalog, &state);
        admission
    }

    /// What hosts observe of a node, which prevents a drain in its zone from starting; None: it is
    /// available.
    pub fn set_unavailable(&mut self, node: u32, how: Option<ExclusionReason>) {
        match how {
            Some(how) => _ = self.unavailable.insert(node, how),
            None => _ = self.unavailable.remove(&node),
        }
    }

    /// Nodes that are being drained, without those whose drain waits for its turn.
    pub fn drains(&self) -> &BTreeSet<u32> {
        &self.draining
    }

    /// What of the reservations cannot be met at present.
    pub fn shortfall(&self) -> Shortfall {
        self.flow.shortfall()
    }

    /// Judges these changes, which the catalog already has. `steps`: how many losses may be
    /// examined.
    pub fn land(&mut self, after: &Catalog, changes: &[Change], steps: usize) -> AdmissionVerdict {
        let before = self.flow.shortfall();
        self.losses_before = self.losses.clone();
        let mut changed_nodes = self.nodes_touched(after, changes);
        let drained = self.newly_drained(changes, Drain::holds);
        let queued = self.newly_drained(changes, |drain| !drain.holds());
        let gone = self.gone_elsewhere(after, &drained);
        let before_without_gone = if gone.is_empty() {
            before
        } else {
            self.flow.without(&gone)
        };
        let not_empty = self.removed_before_empty(changes);

        self.apply(after, changes);

        changed_nodes.extend(self.nodes_touched(after, changes));
        let mut verdict = AdmissionVerdict::default();
        let objections = &mut verdict.objections;
        for node in &drained {
            objections.extend(self.coincidence(after, *node));
        }
        for node in not_empty {
            objections.push(Reason::NotEmpty { node });
        }
        if !self.capacity_known {
            verdict.capacity_unknown = true;
            return verdict;
        }
        self.check_reservations(after, &queued, &before, objections);
        if !gone.is_empty() && objections.is_empty() {
            objections.extend(self.check_without_gone(gone, &before_without_gone));
        }
        if objections.is_empty() {
            self.check_losses(&changed_nodes, steps, &mut verdict);
        }
        verdict
    }

    /// The catalog has taken the changes of the last [`Admission::land`] back, and is as it was
    /// before.
    pub fn undo(&mut self, catalog: &Catalog, changes: &[Change]) {
        self.apply(catalog, changes);
        self.losses = std::mem::take(&mut self.losses_before);
    }

    /// Nodes of drains for which `is_wanted` holds, and that were not being drained before.
    fn newly_drained(
        &self,
        changes: &[Change],
        is_wanted: impl Fn(&Drain) -> bool,
    ) -> BTreeSet<u32> {
        let mut nodes = BTreeSet::new();
        for (node, drain) in drains_of(changes) {
            let stage = self.stages.get(&node);
            let was_drained = stage.is_some_and(|stage| *stage != Stage::Queued);
            if is_wanted(drain) && !was_drained {
                nodes.insert(node);
            }
        }
        nodes
    }

    /// Nodes that are to be taken out and were never empty.
    fn removed_before_empty(&self, changes: &[Change]) -> Vec<u32> {
        let mut nodes = Vec::new();
        for (node, drain) in drains_of(changes) {
            let stage = self.stages.get(&node);
            let was_empty = stage.is_some_and(|stage| *stage >= Stage::Drained);
            if drain.stage == Stage::Removed && !was_empty {
                nodes.push(node);
            }
        }
        nodes
    }

    /// Nodes that are gone in zones where nothing begins to drain now.
    fn gone_elsewhere(&self, catalog: &Catalog, drained: &BTreeSet<u32>) -> BTreeSet<u32> {
        if drained.is_empty() {
            return BTreeSet::new();
        }
        let zone = |id: &u32| catalog.node(*id).map(|node| node.zone.clone());
        let drained_zones: BTreeSet<Option<Name>> = drained.iter().map(zone).collect();
        self.unavailable
            .iter()
            .filter(|(_, how)| **how == ExclusionReason::Removed)
            .map(|(node, _)| *node)
            .filter(|node| !drained_zones.contains(&zone(node)) && !self.draining.contains(node))
            .collect()
    }

    /// What else the zone of a drained node is without.
    fn coincidence(&self, after: &Catalog, node: u32) -> Option<Reason> {
        let draining = self
            .draining
            .iter()
            .map(|other| (*other, ExclusionReason::Draining));
        let unavailable = self
            .unavailable
            .iter()
            .filter(|(other, _)| !self.draining.contains(other))
            .map(|(other, how)| (*other, *how));
        let zone = |id: u32| after.node(id).map(|node| node.zone.clone());
        let with = excluded_in_zone(node, zone, draining.chain(unavailable));
        (!with.is_empty()).then(|| Reason::Coincides {
            node,
            zone: zone(node).unwrap_or_default(),
            with,
        })
    }

    /// Objects to reservations that cannot be met any more. A drain that waits for its turn is
    /// judged as if it had come.
    fn check_reservations(
        &mut self,
        after: &Catalog,
        queued: &BTreeSet<u32>,
        before: &Shortfall,
        objections: &mut Vec<Reason>,
    ) {
        let slack = self.flow.slack();
        let present = if queued.is_empty() {
            self.flow.shortfall()
        } else {
            self.flow.without(queued)
        };
        if present.short > before.short + slack {
            let out: BTreeSet<u32> = self.draining.union(queued).copied().collect();
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
    }

    /// Objects to reservations that cannot be met while nodes are gone, and could before.
    fn check_without_gone(&mut self, gone: BTreeSet<u32>, before: &Shortfall) -> Option<Reason> {
        let present = self.flow.without(&gone);
        let is_worse = present.exceeds(before, self.flow.slack());
        is_worse.then(|| Reason::Meanwhile {
            gone: gone.into_iter().collect(),
            by: present.short + present.out_of_reach,
        })
    }

    /// Warns of reservations that could not be met with a loss, and could before.
    fn check_losses(
        &mut self,
        changed_nodes: &BTreeSet<u32>,
        steps: usize,
        verdict: &mut AdmissionVerdict,
    ) {
        let slack = self.flow.slack();
        let order = self.losses_by_relevance(changed_nodes);
        verdict.unexamined_losses = order.len().saturating_sub(steps);
        for out in order.into_iter().take(steps) {
            let before = self.losses_before.get(&out);
            let before = before.map_or(Shortfall::default(), |loss| loss.shortfall);
            let shortfall = self.examine(out);
            if !shortfall.exceeds(&before, slack) {
                continue;
            }
            let zone = match out {
                Out::Zone(zone) => self.zones.get(zone as usize).cloned(),
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
