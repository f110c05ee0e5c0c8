//! The ejected nodes, and the schedule by which this host probes them.
//!
//! [`crate::outlier_detection`] owns both. The module does no I/O and stores one entry for each ejected
//! node.
//!
//! An ejection ends when newer evidence shows that the node answers, or when the node restarts. It does
//! not end when there is no new evidence, so some hosts must probe the node. About once in
//! [`PROBE_INTERVAL`] each host decides at random whether it probes the node; on average [`PROBERS`]
//! hosts do. An ejection times out after [`EJECTION_TIMEOUT`] if the host cannot trust its verdicts: if it
//! receives too few fresh reports, or if too many nodes would be ejected. It then relies on its own
//! evidence, like a host without peers. Own evidence that a node answers always overrides an ejection.

use crate::outlier_detection::{Finding, Verdict};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;
use std::time::Duration;

/// The average time between two random decisions whether a host probes a node. A longer time delays the
/// end of an ejection; with a shorter one the probing hosts change often.
pub const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// The average number of hosts that probe an ejected node at a time. More hosts send more requests to a
/// bad node; fewer delay the end of its ejection.
pub const PROBERS: f64 = 2.0;
/// How long an ejection lasts without a trusted verdict. A shorter time ends ejections when gossip is
/// slow; with a longer one a host that is cut off from its peers avoids the nodes for longer.
pub const EJECTION_TIMEOUT: Duration = Duration::from_secs(5);
/// The minimum time between two such decisions, as a fraction of [`PROBE_INTERVAL`].
const MIN_TURN_FRACTION: f64 = 0.5;

/// The ejection of one node.
#[derive(Debug, Clone)]
struct Ejection {
    /// The start of the node's process.
    start: u64,
    /// When the latest evidence against the node was observed.
    last_bad: Duration,
    /// When this host last had no reason to distrust the ejection.
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

    /// Starts and ends ejections according to the findings. `nodes` maps each node of the endpoint list to
    /// the start of its process. `too_few_fresh` tells that too few reports are fresh.
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
            // If the other hosts' reports are fresh, the absence of evidence confirms the ejection:
            // a host that probes the node would have reported its answers.
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
            // Only evidence that is later than the evidence against the node ends its ejection.
            // Good observations from before the failure still arrive for some time.
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

/// Whether this host probes a node, until the next random decision.
#[derive(Debug, Clone, Copy)]
struct ProbeTurn {
    /// When the next random decision is due.
    until: Duration,
    /// Whether this host probes the node in this turn.
    probes: bool,
}

/// Decides when this host probes the ejected nodes.
#[derive(Debug)]
pub(crate) struct ProbeSchedule {
    /// The probability that this host probes a node in a turn.
    probability: f64,
    rng: Pcg64Mcg,
    turns: BTreeMap<u32, ProbeTurn>,
}

impl ProbeSchedule {
    /// Returns a schedule without turns. `fleet_size` is the number of hosts, including this one.
    pub fn new(fleet_size: usize, seed: u64) -> Self {
        ProbeSchedule {
            probability: (PROBERS / fleet_size.max(1) as f64).min(1.0),
            rng: Pcg64Mcg::seed_from_u64(seed),
            turns: BTreeMap::new(),
        }
    }

    /// Decides the turns that are due, and drops those of nodes that are no longer ejected.
    pub fn update(&mut self, now: Duration, ejections: &Ejections) {
        self.turns.retain(|node, _| ejections.contains(*node));
        for node in ejections.nodes() {
            let turn = self.turns.get(&node);
            if turn.is_none_or(|turn| now >= turn.until) {
                // The random duration keeps the turns of different hosts apart; otherwise all
                // probing hosts would probe at the same time.
                let until =
                    now + PROBE_INTERVAL.mul_f64(MIN_TURN_FRACTION + self.rng.random::<f64>());
                let probes = self.rng.random::<f64>() < self.probability;
                self.turns.insert(node, ProbeTurn { until, probes });
            }
        }
    }

    /// Returns whether this host probes a node now.
    pub fn is_probing(&self, node: u32) -> bool {
        self.turns.get(&node).is_some_and(|turn| turn.probes)
    }
}
