//! Losses: each node and each zone that may fail, and the reservations that would then be unmet.
//!
//! [`crate::admission`] calls [`LossTable`] with the site after each change, and in idle time.
//!
//! State: the figures of each loss, and those before the last changes. Memory: twice an entry for
//! each node and zone.

use super::site::SiteModel;
use crate::incremental_flow::Shortfall;
use crate::planner::{Node, Out};
use std::collections::{BTreeMap, BTreeSet};

/// A loss, and the reservations that would be unmet with it.
#[derive(Debug, Clone, Default)]
struct Loss {
    nodes: BTreeSet<u32>,
    shortfall: Shortfall,
    /// Whether the shortfall is of the present state.
    is_fresh: bool,
}

/// The losses of a site; see the module.
#[derive(Debug, Clone, Default)]
pub(super) struct LossTable {
    losses: BTreeMap<Out, Loss>,
    /// The losses as they were before the last changes.
    former: BTreeMap<Out, Loss>,
}

impl LossTable {
    /// Number of losses.
    pub fn count(&self) -> usize {
        self.losses.len()
    }

    /// Saves the figures, for [`LossTable::former_shortfall`] and [`LossTable::undo`].
    pub fn save(&mut self) {
        self.former = self.losses.clone();
    }

    /// Restores the saved figures.
    pub fn undo(&mut self) {
        self.losses = std::mem::take(&mut self.former);
    }

    /// The saved figures of a loss; zero for a new loss.
    pub fn former_shortfall(&self, out: Out) -> Shortfall {
        let former = self.former.get(&out);
        former.map_or(Shortfall::default(), |loss| loss.shortfall)
    }

    /// Examines at most `steps` losses whose figures are stale, and returns how many stay stale.
    pub fn refresh(&mut self, site: &mut SiteModel, steps: usize) -> usize {
        let stale: Vec<Out> = self
            .losses
            .iter()
            .filter(|(_, loss)| !loss.is_fresh)
            .map(|(out, _)| *out)
            .collect();
        for out in stale.iter().take(steps) {
            self.examine(site, *out);
        }
        stale.len().saturating_sub(steps)
    }

    /// Computes the shortfall with a loss. Does not count data that the loss puts out of reach.
    pub fn examine(&mut self, site: &mut SiteModel, out: Out) -> Shortfall {
        let loss = self.losses.get_mut(&out).expect("a listed loss");
        loss.shortfall = Shortfall {
            short: site.shortfall_without(&loss.nodes).short,
            out_of_reach: 0.0,
        };
        loss.is_fresh = true;
        loss.shortfall
    }

    /// Losses in the order in which to examine them: first those that share nodes with the changed
    /// nodes.
    pub fn by_relevance(&self, changed_nodes: &BTreeSet<u32>) -> Vec<Out> {
        let mut order: Vec<(bool, Out)> = self
            .losses
            .iter()
            .map(|(out, loss)| (loss.nodes.is_disjoint(changed_nodes), *out))
            .collect();
        order.sort_unstable();
        order.into_iter().map(|(_, out)| out).collect()
    }

    /// Lists the losses of the present site again. Known figures stay, as stale ones.
    pub fn list(&mut self, site: &SiteModel) {
        let serves = |node: &&Node| !site.draining().contains(&node.id) && node.capacity > 0.0;
        let mut nodes_by_loss: BTreeMap<Out, BTreeSet<u32>> = BTreeMap::new();
        let mut serving = 0;
        for node in site.nodes().filter(serves) {
            serving += 1;
            for out in [Out::Node(node.id), Out::Zone(node.zone)] {
                nodes_by_loss.entry(out).or_default().insert(node.id);
            }
        }
        // No reservation is guaranteed without a zone that has all serving nodes.
        nodes_by_loss.retain(|out, nodes| !matches!(out, Out::Zone(_)) || nodes.len() < serving);
        let known = std::mem::take(&mut self.losses);
        for (out, nodes) in nodes_by_loss {
            let shortfall = known
                .get(&out)
                .map_or(Shortfall::default(), |loss| loss.shortfall);
            let loss = Loss {
                nodes,
                shortfall,
                is_fresh: false,
            };
            self.losses.insert(out, loss);
        }
    }
}
