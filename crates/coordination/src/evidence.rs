//! Weighs the observations of all hosts as evidence for or against each node.
//!
//! The functions are pure; [`crate::outlier_detection`] calls them in each evaluation. A host's
//! evidence on a node is the results of its own attempts to the node's present process, not older
//! than [`EVIDENCE_WINDOW`]. The weight of the evidence is the number of attempts, up to a bound,
//! multiplied by the host's local health and by a factor that decreases with the evidence's age.

use crate::host_report::{HostReport, Observation};
use crate::HostNumber;
use std::collections::BTreeMap;
use std::time::Duration;

/// The maximum age of evidence. It must be well above the time in which a rumor reaches all hosts;
/// otherwise evidence expires before it arrives. It must be below the time that a node takes to restart;
/// otherwise evidence outlives its cause.
pub const EVIDENCE_WINDOW: Duration = Duration::from_secs(4);
/// The maximum weight of one host's evidence, in attempts, since a busy host is still only one observer. A
/// larger bound lets a single host decide; a smaller one ignores how many attempts a host has made.
const MAX_WEIGHT: f64 = 8.0;

/// One host's report, as evidence on nodes.
#[derive(Debug, Clone)]
pub struct Observer<'a> {
    /// The host.
    pub host: HostNumber,
    /// The time since the host wrote the report.
    pub age: Duration,
    /// The report.
    pub report: &'a HostReport,
}

/// An observation, with the host that made it.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Evidence {
    /// The host that made the observation.
    pub observer: HostNumber,
    /// The observation, with its present age.
    pub observation: Observation,
}

/// The fresh evidence on each node.
pub(crate) type EvidenceByNode = BTreeMap<u32, Vec<Evidence>>;

/// The number of hosts with evidence for a node, or against it, and the weight of that evidence.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct EvidenceTally {
    /// The number of hosts.
    pub hosts: usize,
    /// The sum of the weights, in attempts.
    pub weight: f64,
}

/// All evidence on one node.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct NodeEvidence {
    /// The evidence for the node.
    pub good: EvidenceTally,
    /// The evidence against the node.
    pub bad: EvidenceTally,
    /// When the latest evidence for the node was observed.
    pub last_good: Option<Duration>,
    /// When the latest evidence against the node was observed.
    pub last_bad: Option<Duration>,
}

/// Returns the fresh observations of the nodes' present processes. `nodes` maps each node to the start of
/// its process.
pub(crate) fn collect<'a>(
    nodes: &BTreeMap<u32, u64>,
    observers: impl Iterator<Item = Observer<'a>>,
) -> EvidenceByNode {
    let mut by_node = EvidenceByNode::new();
    for observer in observers {
        for observed in &observer.report.observations {
            let age = observed.age + observer.age;
            let is_present = nodes.get(&observed.node) == Some(&observed.start);
            if is_present && age < EVIDENCE_WINDOW {
                let observation = Observation { age, ..*observed };
                by_node.entry(observed.node).or_default().push(Evidence {
                    observer: observer.host,
                    observation,
                });
            }
        }
    }
    by_node
}

/// Counts how often a host's observations differ from those of other hosts on the same nodes.
#[derive(Debug, Clone, Copy, Default)]
struct PeerComparison {
    /// The number of nodes that the host has observed.
    observed: f64,
    /// The number of nodes that the host finds bad although most other hosts find them good.
    contradicted: f64,
}

/// Returns the local health of each host, from 0 to 1. A host that finds nodes bad that its peers find
/// good is probably impaired itself (Lifeguard, Dadgar 2018).
pub(crate) fn local_health(by_node: &EvidenceByNode) -> BTreeMap<HostNumber, f64> {
    let mut comparisons: BTreeMap<HostNumber, PeerComparison> = BTreeMap::new();
    for all in by_node.values() {
        let good = all.iter().filter(|item| item.observation.is_good()).count();
        for item in all {
            let others_good = good - usize::from(item.observation.is_good());
            let is_contradicted = item.observation.is_bad() && others_good > all.len() / 2;
            let comparison = comparisons.entry(item.observer).or_default();
            comparison.observed += 1.0;
            comparison.contradicted += f64::from(u8::from(is_contradicted));
        }
    }
    let health =
        |compared: PeerComparison| (1.0 - compared.contradicted / compared.observed).powi(2);
    comparisons
        .into_iter()
        .map(|(host, comparison)| (host, health(comparison)))
        .collect()
}

/// Sums up the evidence on one node.
pub(crate) fn weigh(
    now: Duration,
    all: &[Evidence],
    health: &BTreeMap<HostNumber, f64>,
) -> NodeEvidence {
    let good = || all.iter().filter(|item| item.observation.is_good());
    let bad = || all.iter().filter(|item| item.observation.is_bad());
    NodeEvidence {
        good: tally(good(), health),
        bad: tally(bad(), health),
        last_good: last_observed(now, good()),
        last_bad: last_observed(now, bad()),
    }
}

fn tally<'a>(
    evidence: impl Iterator<Item = &'a Evidence> + Clone,
    health: &BTreeMap<HostNumber, f64>,
) -> EvidenceTally {
    EvidenceTally {
        hosts: evidence.clone().count(),
        weight: evidence.map(|item| weight(item, health)).sum(),
    }
}

fn weight(evidence: &Evidence, health: &BTreeMap<HostNumber, f64>) -> f64 {
    let age = evidence.observation.age.as_secs_f64();
    let freshness = 1.0 - age / EVIDENCE_WINDOW.as_secs_f64();
    let health = health.get(&evidence.observer).copied().unwrap_or(1.0);
    f64::from(evidence.observation.attempts).min(MAX_WEIGHT) * freshness * health
}

fn last_observed<'a>(
    now: Duration,
    evidence: impl Iterator<Item = &'a Evidence>,
) -> Option<Duration> {
    let least_age = evidence.map(|item| item.observation.age).min();
    least_age.map(|age| now.saturating_sub(age))
}
