//! Weighs all hosts' observations of each node: the evidence for it and against it.
//!
//! Pure functions, called by [`crate::outlier_detection`] in each evaluation. Evidence is what
//! hosts tried themselves, of one process of the node, not older than [`EVIDENCE_WINDOW`]. Each
//! host's weighs as much as it sent, up to a bound, scaled by the host's local health, and fades
//! with its age.

use crate::host_report::{HostReport, Observation};
use crate::HostNumber;
use std::collections::BTreeMap;
use std::time::Duration;

/// Well over the time in which news reaches all hosts, and under that in which a node starts anew.
pub const EVIDENCE_WINDOW: Duration = Duration::from_secs(4);
/// Attempts that one host's evidence weighs at most: a busy host is still one observer.
const MAX_WEIGHT: f64 = 8.0;

/// One host's report of nodes.
#[derive(Debug, Clone)]
pub struct Observer<'a> {
    /// The host.
    pub host: HostNumber,
    /// Time since it wrote the report.
    pub age: Duration,
    /// What it reports.
    pub report: &'a HostReport,
}

/// An observation with the host that made it.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Evidence {
    /// The host that observed.
    pub observer: HostNumber,
    /// What it observed, with its age now.
    pub observation: Observation,
}

/// Fresh evidence by node.
pub(crate) type EvidenceByNode = BTreeMap<u32, Vec<Evidence>>;

/// How many hosts are for a node, or against it, and how much their evidence weighs.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct EvidenceTally {
    /// Hosts.
    pub hosts: usize,
    /// Their weight together, in attempts that count.
    pub weight: f64,
}

/// All evidence on one node.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct NodeEvidence {
    /// The evidence for it.
    pub good: EvidenceTally,
    /// The evidence against it.
    pub bad: EvidenceTally,
    /// When the last evidence for it was observed.
    pub last_good: Option<Duration>,
    /// When the last evidence against it was observed.
    pub last_bad: Option<Duration>,
}

/// The fresh observations of the nodes' present processes. `nodes`: with the starts of their
/// processes.
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

/// How each host compares with the others on the same nodes.
#[derive(Debug, Clone, Copy, Default)]
struct PeerComparison {
    /// Nodes that it observed.
    observed: f64,
    /// Nodes that it alone finds bad.
    alone: f64,
}

/// The local health of each host, 0 to 1: a host that finds bad what its peers find good is itself
/// ill (Lifeguard, Dadgar 2018).
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

/// Adds up the evidence on one node.
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
