//! Weighs all hosts' observations of each node, as evidence for the node and against it.
//!
//! Pure functions, which [`crate::outlier_detection`] calls in each evaluation. Evidence consists
//! of the hosts' own attempts to one process of the node, not older than [`EVIDENCE_WINDOW`]. The
//! weight of a host's evidence is its number of attempts, up to a bound, scaled by the host's local
//! health. The weight decreases with the age of the evidence.

use crate::host_report::{HostReport, Observation};
use crate::HostNumber;
use std::collections::BTreeMap;
use std::time::Duration;

/// The greatest age of evidence. It must be well above the time in which a rumor reaches all hosts;
/// with a shorter window evidence expires on its way. It must be below the time in which a node
/// restarts; with a longer one evidence outlives its cause.
pub const EVIDENCE_WINDOW: Duration = Duration::from_secs(4);
/// The greatest weight of one host's evidence, in attempts: a busy host is still one observer. A
/// larger bound lets one host decide; a smaller one ignores how much a host has sent.
const MAX_WEIGHT: f64 = 8.0;

/// One host's report, as evidence on nodes.
#[derive(Debug, Clone)]
pub struct Observer<'a> {
    /// The host.
    pub host: HostNumber,
    /// Time since it wrote the report.
    pub age: Duration,
    /// The report.
    pub report: &'a HostReport,
}

/// An observation with the host that made it.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Evidence {
    /// The host that observed.
    pub observer: HostNumber,
    /// The observation, with its present age.
    pub observation: Observation,
}

/// Fresh evidence by node.
pub(crate) type EvidenceByNode = BTreeMap<u32, Vec<Evidence>>;

/// The number of hosts whose evidence is for a node, or against it, and the weight of the evidence.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct EvidenceTally {
    /// Number of hosts.
    pub hosts: usize,
    /// Sum of the weights, in attempts.
    pub weight: f64,
}

/// All evidence on one node.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct NodeEvidence {
    /// The evidence for the node.
    pub good: EvidenceTally,
    /// The evidence against the node.
    pub bad: EvidenceTally,
    /// When the last evidence for the node was observed.
    pub last_good: Option<Duration>,
    /// When the last evidence against the node was observed.
    pub last_bad: Option<Duration>,
}

/// Returns the fresh observations of the nodes' present processes. `nodes`: the nodes with the
/// starts of their processes.
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

/// The comparison of a host's observations with those of the other hosts on the same nodes.
#[derive(Debug, Clone, Copy, Default)]
struct PeerComparison {
    /// Number of nodes that the host observed.
    observed: f64,
    /// Number of nodes that the host finds bad and most others find good.
    alone: f64,
}

/// Returns the local health of each host, from 0 to 1. A host that finds nodes bad which its peers
/// find good is itself impaired (Lifeguard, Dadgar 2018).
pub(crate) fn local_health(by_node: &EvidenceByNode) -> BTreeMap<HostNumber, f64> {
    let mut comparisons: BTreeMap<HostNumber, PeerComparison> = BTreeMap::new();
    for all in by_node.values() {
        let good = all.iter().filter(|one| one.observation.is_good()).count();
        for one in all {
            let others_good = good - usize::from(one.observation.is_good());
            let alone = one.observation.is_bad() && others_good > all.len() / 2;
            let comparison = comparisons.entry(one.observer).or_default();
            comparison.observed += 1.0;
            comparison.alone += f64::from(u8::from(alone));
        }
    }
    let health = |of: PeerComparison| (1.0 - of.alone / of.observed).powi(2);
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
    let good = || all.iter().filter(|one| one.observation.is_good());
    let bad = || all.iter().filter(|one| one.observation.is_bad());
    NodeEvidence {
        good: tally(good(), health),
        bad: tally(bad(), health),
        last_good: last_observed(now, good()),
        last_bad: last_observed(now, bad()),
    }
}

fn tally<'a>(
    some: impl Iterator<Item = &'a Evidence> + Clone,
    health: &BTreeMap<HostNumber, f64>,
) -> EvidenceTally {
    EvidenceTally {
        hosts: some.clone().count(),
        weight: some.map(|one| weight(one, health)).sum(),
    }
}

fn weight(one: &Evidence, health: &BTreeMap<HostNumber, f64>) -> f64 {
    let age = one.observation.age.as_secs_f64();
    let freshness = 1.0 - age / EVIDENCE_WINDOW.as_secs_f64();
    let health = health.get(&one.observer).copied().unwrap_or(1.0);
    f64::from(one.observation.sent).min(MAX_WEIGHT) * freshness * health
}

fn last_observed<'a>(now: Duration, some: impl Iterator<Item = &'a Evidence>) -> Option<Duration> {
    let least_age = some.map(|one| one.observation.age).min();
    least_age.map(|age| now.saturating_sub(age))
}
