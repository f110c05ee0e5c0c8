//! The ejected nodes, and this host's turns to probe them.
//!
//! Owned by [`crate::outlier_detection`]. No I/O. Memory: one row for each ejected node.
//!
//! An ejection ends by newer evidence that the node answers, by another start of the node, or by
//! this host's own evidence. Silence does not end it, so some hosts must probe. Once in
//! [`PROBE_INTERVAL`] each host draws at random whether it probes the node; on average [`PROBERS`]
//! of all hosts do. There is one exception: a host that receives too few reports drops its
//! ejections after [`EJECTION_TIMEOUT`], and finds out by itself, like a host without peers.

use crate::outlier_detection::{Finding, Verdict};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;
use std::time::Duration;

/// The average time between two draws of a host. A longer time delays the end of an ejection; a
/// shorter one changes the probing hosts often.
pub const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// The average number of hosts that probe an ejected node. More hosts send more requests to a bad
/// node; fewer delay the end of its ejection.
pub const PROBERS: f64 = 2.0;
/// How long an ejection lasts without a verdict that is trusted. A shorter time ends ejections when
/// gossip is slow; a longer one keeps nodes from a host that is cut off from its peers.
pub const EJECTION_TIMEOUT: Duration = Duration::from_secs(5);
/// The shortest time between two draws, as a fraction of [`PROBE_INTERVAL`].
const MIN_TURN: f64 = 0.5;

#[derive(Debug, Clone)]
struct Ejection {
    /// Start of the node's process.
    start: u64,
    /// When the last evidence against the node was observed.
    last_bad: Duration,
    /// When this host last had a verdict on the node that was trusted.
    confirmed_at: Duration,
}

/// The ejected nodes.
#[derive(Debug, Default)]
pub(crate) struct Ejections {
    nodes: BTreeMap<u32, Ejection>,
}

impl Ejections {
    /// Returns whether a node is ejected.
    pub fn contains(&self, node: u32) -> bool {
        self.nodes.contains_key(&node)
    }

    /// Returns the ejected nodes in ascending order.
    pub fn nodes(&self) -> impl Iterator<Item = u32> + Clone + '_ {
        self.nodes.keys().copied()
    }

    /// Ejects nodes, and ends ejections, by the findings. `nodes`: the nodes of the endpoint list,
    /// with the starts of their processes. `too_few_fresh`: too few reports are fresh.
    pub fn update(
        &mut self,
        now: Duration,
        nodes: &BTreeMap<u32, u64>,
        findings: &BTreeMap<u32, Finding>,
        too_few_fresh: bool,
    ) {
        for (node, finding) in findings {
            self.apply_finding(now, *node, nodes[node], finding);
        }
        self.nodes.retain(|node, ejection| {
            let finding = findings.get(node);
            let distrusted = finding.is_some_and(|finding| finding.verdict == Verdict::Distrusted);
            // Silence confirms the ejection if the other hosts' reports are fresh: some host
            // probes the node.
            if !too_few_fresh && !distrusted {
                ejection.confirmed_at = now;
            }
            let is_same_process = nodes.get(node) == Some(&ejection.start);
            is_same_process && now < ejection.confirmed_at + EJECTION_TIMEOUT
        });
    }

    fn apply_finding(&mut self, now: Duration, node: u32, start: u64, finding: &Finding) {
        match finding.verdict {
            Verdict::Ejected => {
                let ejection = Ejection {
                    start,
                    last_bad: finding.last_bad.unwrap_or(now),
                    confirmed_at: now,
                };
                self.nodes.insert(node, ejection);
            }
            // Only evidence that is later than the evidence against the node ends its ejection:
            // good observations from before the failure still arrive for some time.
            Verdict::Healthy | Verdict::Split => {
                let ejection = self.nodes.get(&node);
                let answers_again = ejection.is_some_and(|ejection| {
                    finding.last_good.is_some_and(|at| at > ejection.last_bad)
                });
                if answers_again {
                    self.nodes.remove(&node);
                }
            }
            Verdict::Unknown | Verdict::Distrusted => {}
        }
    }
}

/// Whether this host probes a node, until the next draw.
#[derive(Debug, Clone, Copy)]
struct ProbeTurn {
    until: Duration,
    probes: bool,
}

/// This host's turns to probe the ejected nodes.
#[derive(Debug)]
pub(crate) struct ProbeSchedule {
    /// The chance that a draw makes this host probe.
    chance: f64,
    rng: Pcg64Mcg,
    turns: BTreeMap<u32, ProbeTurn>,
}

impl ProbeSchedule {
    /// Returns a schedule without turns. `fleet_size`: number of hosts, including this one.
    pub fn new(fleet_size: usize, seed: u64) -> Self {
        ProbeSchedule {
            chance: (PROBERS / fleet_size.max(1) as f64).min(1.0),
            rng: Pcg64Mcg::seed_from_u64(seed),
            turns: BTreeMap::new(),
        }
    }

    /// Draws the turns that are due, and drops those of nodes that are no longer ejected.
    pub fn draw(&mut self, now: Duration, ejections: &Ejections) {
        self.turns.retain(|node, _| ejections.contains(*node));
        for node in ejections.nodes() {
            let turn = self.turns.get(&node);
            if turn.is_none_or(|turn| now >= turn.until) {
                // Each host draws at other moments; otherwise all probing hosts would probe at the
                // same time.
                let until = now + PROBE_INTERVAL.mul_f64(MIN_TURN + self.rng.random::<f64>());
                let probes = self.rng.random::<f64>() < self.chance;
                self.turns.insert(node, ProbeTurn { until, probes });
            }
        }
    }

    /// Returns whether this host probes a node now.
    pub fn is_probing(&self, node: u32) -> bool {
        self.turns.get(&node).is_some_and(|turn| turn.probes)
    }
}
