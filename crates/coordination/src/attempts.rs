//! Counts this host's attempts of the last seconds to each node, for the observations in its report.
//!
//! [`crate::coordinator`] owns the counts, adds each attempt, and halves them regularly. The module does
//! no I/O. It stores one entry for each node in use.

use crate::evidence::EVIDENCE_WINDOW;
use crate::host_report::Observation;
use std::collections::BTreeMap;
use std::time::Duration;

/// The counts of good and bad attempts to one node.
///
/// Each result halves the count of the other kind. After a change of the node its earlier results
/// therefore soon weigh little. If good and bad results alternate, both counts stay small.
#[derive(Debug, Default, Clone, Copy)]
struct AttemptCounts {
    good: u32,
    bad: u32,
    /// When the last attempt ended.
    last_ended: Duration,
    /// When the node last answered an attempt of this host while it was ejected.
    answered_ejected: Option<Duration>,
}

/// The nodes in use, and the results of this host's attempts to them.
#[derive(Debug, Default)]
pub(crate) struct AttemptHistory {
    /// The nodes in use, with the start of each node's process.
    nodes: BTreeMap<u32, u64>,
    counts: BTreeMap<u32, AttemptCounts>,
}

impl AttemptHistory {
    /// Returns the nodes in use, with the start of each node's process.
    pub fn nodes(&self) -> &BTreeMap<u32, u64> {
        &self.nodes
    }

    /// Replaces the nodes in use. Keeps the counts of nodes whose process is still the same.
    pub fn set_nodes(&mut self, nodes: BTreeMap<u32, u64>) {
        // Results of a node's former process say nothing about the present one.
        let before = &self.nodes;
        self.counts
            .retain(|node, _| nodes.contains_key(node) && nodes.get(node) == before.get(node));
        self.nodes = nodes;
    }

    /// Counts an attempt. Returns whether the peers may need its result at once. `is_ejected` tells whether
    /// this host has ejected the node.
    pub fn record(&mut self, now: Duration, node: u32, bad: bool, is_ejected: bool) -> bool {
        let counts = self.counts.entry(node).or_default();
        if bad {
            counts.bad = counts.bad.saturating_add(1);
            counts.good /= 2;
        } else {
            counts.good = counts.good.saturating_add(1);
            counts.bad /= 2;
        }
        counts.last_ended = now;
        if !bad && is_ejected {
            counts.answered_ejected = Some(now);
        }
        bad || counts.answered_ejected == Some(now)
    }

    /// Halves all counts, or drops all of them if `is_outdated`.
    pub fn halve(&mut self, is_outdated: bool) {
        self.counts.retain(|_, counts| {
            counts.good /= 2;
            counts.bad /= 2;
            !is_outdated && counts.good + counts.bad > 0
        });
    }

    /// Returns this host's observation of a node, or `None` if the node is not in use or has no counted
    /// attempts.
    pub fn observation(&self, now: Duration, node: u32) -> Option<Observation> {
        let counts = self.counts.get(&node)?;
        let start = *self.nodes.get(&node)?;
        let answers_ejected = counts
            .answered_ejected
            .is_some_and(|at| now < at + EVIDENCE_WINDOW);
        Some(Observation {
            node,
            start,
            attempts: counts.good.saturating_add(counts.bad),
            failed: counts.bad,
            age: now.saturating_sub(counts.last_ended),
            contradicts_ejection: counts.bad == 0 && answers_ejected,
        })
    }

    /// Returns this host's observations of all nodes in use, in ascending order of their numbers.
    pub fn observations(&self, now: Duration) -> impl Iterator<Item = Observation> + '_ {
        let nodes = self.counts.keys();
        nodes.filter_map(move |node| self.observation(now, *node))
    }
}
