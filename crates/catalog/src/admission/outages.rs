//! Possible outages (of each node and of each zone), and the reservations that could not be met
//! during each of them.
//!
//! [`crate::admission`] calls [`OutageTable`] with the site after each change, and while the leader
//! is idle.
//!
//! The table keeps the shortfall of each outage, and a copy from before the last changes, so memory
//! use is two entries for each node and zone.

use super::site::SiteModel;
use crate::incremental_flow::Shortfall;
use crate::planner::{Node, Outage};
use std::collections::{BTreeMap, BTreeSet};

/// An outage: the nodes that are out, and the reservations that could not be met without them.
#[derive(Debug, Clone, Default)]
struct OutageEntry {
    nodes: BTreeSet<u32>,
    shortfall: Shortfall,
    /// Whether the shortfall was computed for the current state.
    is_fresh: bool,
}

/// The outages of a site. See the module documentation.
#[derive(Debug, Clone, Default)]
pub(super) struct OutageTable {
    outages: BTreeMap<Outage, OutageEntry>,
    /// The outages before the last changes.
    former: BTreeMap<Outage, OutageEntry>,
}

impl OutageTable {
    /// Number of outages.
    pub fn count(&self) -> usize {
        self.outages.len()
    }

    /// Saves the current values, for [`OutageTable::former_shortfall`] and [`OutageTable::undo`].
    pub fn save(&mut self) {
        self.former = self.outages.clone();
    }

    /// Restores the saved values.
    pub fn undo(&mut self) {
        self.outages = std::mem::take(&mut self.former);
    }

    /// The saved shortfall of an outage, or zero if the outage is new.
    pub fn former_shortfall(&self, out: Outage) -> Shortfall {
        let former = self.former.get(&out);
        former.map_or(Shortfall::default(), |loss| loss.shortfall)
    }

    /// Recomputes at most `steps` stale outages, and returns how many remain stale.
    pub fn refresh(&mut self, site: &mut SiteModel, steps: usize) -> usize {
        let stale: Vec<Outage> = self
            .outages
            .iter()
            .filter(|(_, loss)| !loss.is_fresh)
            .map(|(out, _)| *out)
            .collect();
        for out in stale.iter().take(steps) {
            self.examine(site, *out);
        }
        stale.len().saturating_sub(steps)
    }

    /// Computes the shortfall during an outage. Data on the nodes that are out is not counted.
    pub fn examine(&mut self, site: &mut SiteModel, out: Outage) -> Shortfall {
        let loss = self
            .outages
            .get_mut(&out)
            .expect("the outage is in the table");
        loss.shortfall = Shortfall {
            short: site.shortfall_without(&loss.nodes).short,
            out_of_reach: 0.0,
        };
        loss.is_fresh = true;
        loss.shortfall
    }

    /// Outages in the order in which to evaluate them: first those that share nodes with the changed
    /// nodes.
    pub fn by_relevance(&self, changed_nodes: &BTreeSet<u32>) -> Vec<Outage> {
        let mut order: Vec<(bool, Outage)> = self
            .outages
            .iter()
            .map(|(out, loss)| (loss.nodes.is_disjoint(changed_nodes), *out))
            .collect();
        order.sort_unstable();
        order.into_iter().map(|(_, out)| out).collect()
    }

    /// Rebuilds the list of outages from the current site. Known values are kept and marked stale.
    pub fn list(&mut self, site: &SiteModel) {
        let serves = |node: &&Node| !site.draining().contains(&node.id) && node.capacity > 0.0;
        let mut nodes_by_outage: BTreeMap<Outage, BTreeSet<u32>> = BTreeMap::new();
        let mut serving = 0;
        for node in site.nodes().filter(serves) {
            serving += 1;
            for out in [Outage::Node(node.id), Outage::Zone(node.zone)] {
                nodes_by_outage.entry(out).or_default().insert(node.id);
            }
        }
        // If one zone has all serving nodes, nothing can be guaranteed during its outage.
        nodes_by_outage
            .retain(|out, nodes| !matches!(out, Outage::Zone(_)) || nodes.len() < serving);
        let known = std::mem::take(&mut self.outages);
        for (out, nodes) in nodes_by_outage {
            let shortfall = known
                .get(&out)
                .map_or(Shortfall::default(), |loss| loss.shortfall);
            let loss = OutageEntry {
                nodes,
                shortfall,
                is_fresh: false,
            };
            self.outages.insert(out, loss);
        }
    }
}
