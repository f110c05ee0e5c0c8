//! Attempts that this host made in the last seconds, by node, as observations for its report.
//!
//! Owned by [`crate::coordinator`], which counts each attempt here and halves the counts as time passes.
//! Memory: a row for each node in use.

use crate::evidence::EVIDENCE_WINDOW;
use crate::host_report::Observation;
use std::collections::BTreeMap;
use std::time::Duration;

/// Attempts of the last seconds to one node. Each answer halves the count of the other kind: of a
/// node that has changed, earlier answers are little evidence, and of one that answers sometimes
/// well and sometimes badly both counts stay.
#[derive(Debug, Default, Clone, Copy)]
struct AttemptCounts {
    good: u32,
    bad: u32,
    last: Duration,
    /// When it last answered here while it was ejected.
    answered_ejected: Option<Duration>,
}

/// The nodes in use, and how they answered this host.
#[derive(Debug, Default)]
pub(crate) struct AttemptHistory {
    /// With the starts of their processes.
    nodes: BTreeMap<u32, u64>,
    counts: BTreeMap<u32, AttemptCounts>,
}

impl AttemptHistory {
    /// The nodes in use, with the starts of their processes.
    pub fn nodes(&self) -> &BTreeMap<u32, u64> {
        &self.nodes
    }

    /// Replaces the nodes in use.
    pub fn set_nodes(&mut self, nodes: BTreeMap<u32, u64>) {
        // Another process of a node knows nothing of what the last one did.
        let before = &self.nodes;
        self.counts
            .retain(|node, _| nodes.contains_key(node) && nodes.get(node) == before.get(node));
        self.nodes = nodes;
    }

    /// Counts an attempt; whether it may be news for the peers. `is_ejected`: whether this host has
    /// the node ejected.
    pub fn record(&mut self, now: Duration, node: u32, bad: bool, is_ejected: bool) -> bool {
        let counts = self.counts.entry(node).or_default();
        if bad {
            counts.bad = counts.bad.saturating_add(1);
            counts.good /= 2;
        } else {
            counts.good = counts.good.saturating_add(1);
            counts.bad /= 2;
        }
        counts.last = now;
        if !bad && is_ejected {
            counts.answered_ejected = Some(now);
        }
        bad || counts.answered_ejected == Some(now)
    }

    /// Halves all counts; where `is_outdated`, drops them.
    pub fn halve(&mut self, is_outdated: bool) {
        self.counts.retain(|_, counts| {
            counts.good /= 2;
            counts.bad /= 2;
            !is_outdated && counts.good + counts.bad > 0
        });
    }

    /// What this host observed of a node in use.
    pub fn observation(&self, now: Duration, node: u32) -> Option<Observation> {
        let counts = self.counts.get(&node)?;
        let start = *self.nodes.get(&node)?;
        let answers_ejected = counts
            .answered_ejected
            .is_some_and(|at| now < at + EVIDENCE_WINDOW);
        Some(Observation {
            node,
            start,
            sent: counts.good.saturating_add(counts.bad),
            bad: counts.bad,
            age: now.saturating_sub(counts.last),
            contradicts_ejection: counts.bad == 0 && answers_ejected,
        })
    }

    /// What this host observed of all nodes in use, in their order.
    pub fn observations(&self, now: Duration) -> impl Iterator<Item = Observation> + '_ {
        let nodes = self.counts.keys();
        nodes.filter_map(move |node| self.observation(now, *node))
    }
}
