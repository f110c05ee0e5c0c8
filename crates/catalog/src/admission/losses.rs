//! Losses: each node and each zone that may fail, and what would then be missing.

use super::loss::Loss;
use super::Admission;
use crate::incremental_flow::Shortfall;
use crate::planner::{Node, Out};
use std::collections::{BTreeMap, BTreeSet};

impl Admission {
    /// How many losses there are to examine.
    pub fn losses(&self) -> usize {
        self.losses.len()
    }

    /// Brings the figures of at most `steps` losses up to the present state, and returns how many
    /// are left. For time without changes.
    pub fn refresh(&mut self, steps: usize) -> usize {
        let stale: Vec<Out> = self
            .losses
            .iter()
            .filter(|(_, loss)| !loss.is_fresh)
            .map(|(out, _)| *out)
            .collect();
        for out in stale.iter().take(steps) {
            self.examine(*out);
        }
        stale.len().saturating_sub(steps)
    }

    /// What would be missing with a loss; data that is out of reach with it is not counted.
    pub(super) fn examine(&mut self, out: Out) -> Shortfall {
        let loss = self.losses.get_mut(&out).expect("a listed loss");
        loss.shortfall = Shortfall {
            short: self.flow.without(&loss.nodes).short,
            out_of_reach: 0.0,
        };
        loss.is_fresh = true;
        loss.shortfall
    }

    /// Losses in the order in which to examine them: first those that share nodes with what has
    /// changed.
    pub(super) fn losses_by_relevance(&self, changed_nodes: &BTreeSet<u32>) -> Vec<Out> {
        let mut order: Vec<(bool, Out)> = self
            .losses
            .iter()
            .map(|(out, loss)| (loss.nodes.is_disjoint(changed_nodes), *out))
            .collect();
        order.sort_unstable();
        order.into_iter().map(|(_, out)| out).collect()
    }

    /// Lists the losses of the present site anew; known figures stay, as stale ones.
    pub(super) fn list_losses(&mut self) {
        let serves = |node: &&Node| !self.draining.contains(&node.id) && node.capacity > 0.0;
        let mut nodes_by_loss: BTreeMap<Out, BTreeSet<u32>> = BTreeMap::new();
        let mut serving = 0;
        for node in self.flow.nodes().filter(serves) {
            serving += 1;
            for out in [Out::Node(node.id), Out::Zone(node.zone)] {
                nodes_by_loss.entry(out).or_default().insert(node.id);
            }
        }
        // No promise is meant to hold without a zone that is all there is.
        nodes_by_loss.retain(|out, nodes| !matches!(out, Out::Zone(_)) || nodes.len() < serving);
        let former = std::mem::take(&mut self.losses);
        for (out, nodes) in nodes_by_loss {
            let shortfall = former
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
