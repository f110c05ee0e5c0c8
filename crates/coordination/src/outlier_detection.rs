//! Outlier detection: judges each node by the evidence of all hosts, and chooses this host's policy for
//! the node.
//!
//! The detector is a state machine without I/O: [`OutlierDetector::evaluate`] takes this host's
//! observations and its peers' reports, and returns the nodes whose policy has changed.
//! [`crate::coordinator`] calls it in every round. The detector stores one entry for each node of the
//! endpoint list.
//!
//! A node is ejected if at least [`MIN_OBSERVERS`] hosts find it bad and the weight of their evidence is
//! at least twice the weight of the evidence for the node. The detector distrusts such verdicts if at
//! most half of the hosts have fresh reports, or if too many nodes would be ejected. This host then
//! relies on its own evidence.
//!
//! | this host's own evidence | verdict of all evidence | policy |
//! | --- | --- | --- |
//! | good | any | `OwnEvidence` |
//! | bad | healthy, split | `BadPath`: the scheduler's own backoff and count of failures decide |
//! | bad | ejected | `Avoid`, or `Probe` in this host's turn |
//! | bad | unknown, distrusted | `OwnEvidence` |
//! | none, or too old | ejected | `Avoid`, or `Probe` in this host's turn |
//! | none, or too old | any other | `OwnEvidence` |
//!
//! The documentation of the module `ejections` describes how an ejection ends.

use crate::ejections::{Ejections, ProbeSchedule};
use crate::evidence::{self, EvidenceByNode, EvidenceTally, NodeEvidence, Observer};
use crate::host_report::{HostReport, Observation};
use crate::HostNumber;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

pub use crate::ejections::{EJECTION_TIMEOUT, PROBERS, PROBE_INTERVAL};

/// The number of hosts that must find a node bad before it is ejected. In a fleet with fewer other hosts
/// all of these are needed, but at least 2. A larger number ejects later; a smaller one lets a few
/// impaired hosts eject a node.
pub const MIN_OBSERVERS: usize = 3;
/// The fraction of the known nodes that may be ejected (a panic threshold). A larger fraction leaves
/// too few nodes for the load; with a smaller one no node is ejected when many fail.
const MAX_EJECTED_FRACTION: f64 = 0.5;
/// The minimum ratio of the weight of the evidence against a node to the weight of the evidence for it.
/// A larger ratio ejects later; a smaller one ejects nodes on contradictory evidence.
const EJECTION_WEIGHT_RATIO: f64 = 2.0;
/// The number of this host's own failed attempts from which it considers its path to a node bad. A
/// larger number detects a bad path later; with a smaller one a single failure counts as a bad path.
const MIN_OWN_FAILED: u32 = 2;

/// The conclusion from all hosts' evidence on a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// Too few hosts have evidence on the node from the last seconds.
    Unknown,
    /// The node answers.
    Healthy,
    /// Some hosts reach the node and some do not, so the paths to it are bad and not the node.
    Split,
    /// The node is an outlier.
    Ejected,
    /// The evidence would eject the node, but it would eject too many nodes, or too few reports are
    /// fresh.
    Distrusted,
}

impl Verdict {
    /// Returns the verdict's name in output for operators.
    pub fn name(self) -> &'static str {
        match self {
            Verdict::Unknown => "unknown",
            Verdict::Healthy => "well",
            Verdict::Split => "split",
            Verdict::Ejected => "condemned",
            Verdict::Distrusted => "doubted",
        }
    }
}

/// The way in which this host treats a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndpointPolicy {
    /// The host relies on its own evidence, like a host without peers.
    OwnEvidence,
    /// Other hosts reach the node, so this host's path to it is bad.
    BadPath,
    /// The host sends nothing to the node.
    Avoid,
    /// The node is ejected, and it is this host's turn to probe it.
    Probe,
}

/// The verdict on a node, with the evidence for it.
#[derive(Debug, Clone, PartialEq)]
pub struct Finding {
    /// The verdict.
    pub verdict: Verdict,
    /// The evidence for the node.
    pub good: EvidenceTally,
    /// The evidence against the node.
    pub bad: EvidenceTally,
    /// When the latest evidence for the node was observed.
    pub last_good: Option<Duration>,
    /// When the latest evidence against the node was observed.
    pub last_bad: Option<Duration>,
}

/// The outlier detector of one host.
#[derive(Debug)]
pub struct OutlierDetector {
    me: HostNumber,
    /// The number of hosts, including this one.
    fleet_size: usize,
    /// The age below which a report is fresh. It grows with the fleet: reports that are not rumors spread
    /// in rotation, which takes longer in a large fleet.
    fresh_within: Duration,
    ejections: Ejections,
    probes: ProbeSchedule,
    /// The policies as last returned.
    policies: BTreeMap<u32, EndpointPolicy>,
    findings: BTreeMap<u32, Finding>,
}

impl OutlierDetector {
    /// Returns a detector without evidence. `fleet_size` is the number of hosts, including this one. A
    /// report is fresh if its age is below `fresh_within`.
    pub fn new(me: HostNumber, fleet_size: usize, fresh_within: Duration, seed: u64) -> Self {
        OutlierDetector {
            me,
            fleet_size,
            fresh_within,
            ejections: Ejections::default(),
            probes: ProbeSchedule::new(fleet_size, seed),
            policies: BTreeMap::new(),
            findings: BTreeMap::new(),
        }
    }

    /// Returns the findings of the last evaluation, one for each node on which there was fresh evidence.
    pub fn findings(&self) -> &BTreeMap<u32, Finding> {
        &self.findings
    }

    /// Returns whether this host has ejected the node.
    pub fn is_ejected(&self, node: u32) -> bool {
        self.ejections.contains(node)
    }

    /// Returns this host's policy for the node.
    pub fn policy(&self, node: u32) -> EndpointPolicy {
        let policy = self.policies.get(&node).copied();
        policy.unwrap_or(EndpointPolicy::OwnEvidence)
    }

    /// Evaluates all evidence, and returns the policies that have changed. `nodes` maps each node of the
    /// endpoint list to the start of its process. `own` contains this host's observations, `peers` the
    /// reports of the other hosts.
    pub fn evaluate(
        &mut self,
        now: Duration,
        nodes: &BTreeMap<u32, u64>,
        own: &HostReport,
        peers: &[Observer],
    ) -> Vec<(u32, EndpointPolicy)> {
        let others = || peers.iter().filter(|peer| peer.host != self.me);
        let fresh: BTreeSet<HostNumber> = others()
            .filter(|peer| peer.age < self.fresh_within)
            .map(|peer| peer.host)
            .collect();
        let too_few_fresh = (1 + fresh.len()) * 2 <= self.fleet_size;
        let own_observer = Observer {
            host: self.me,
            age: Duration::ZERO,
            report: own,
        };
        let by_node = evidence::collect(nodes, others().cloned().chain([own_observer]));
        self.update_findings(now, &by_node);
        if too_few_fresh || self.ejects_too_many() {
            self.distrust_ejections();
        }
        self.ejections
            .update(now, nodes, &self.findings, too_few_fresh);
        self.probes.update(now, &self.ejections);
        self.update_policies(nodes, own)
    }

    fn update_findings(&mut self, now: Duration, by_node: &EvidenceByNode) {
        let health = evidence::local_health(by_node);
        self.findings.clear();
        for (node, all) in by_node {
            let evidence = evidence::weigh(now, all, &health);
            let finding = Finding {
                verdict: self.verdict(&evidence),
                good: evidence.good,
                bad: evidence.bad,
                last_good: evidence.last_good,
                last_bad: evidence.last_bad,
            };
            self.findings.insert(*node, finding);
        }
    }

    fn verdict(&self, evidence: &NodeEvidence) -> Verdict {
        let NodeEvidence { good, bad, .. } = *evidence;
        let others = self.fleet_size.saturating_sub(1);
        let min_observers = MIN_OBSERVERS.min(others).max(2);
        let outweighs = bad.weight >= EJECTION_WEIGHT_RATIO * good.weight && bad.weight > 0.0;
        if bad.hosts >= min_observers && outweighs {
            Verdict::Ejected
        } else if bad.hosts > 0 && good.hosts > 0 {
            Verdict::Split
        } else if good.hosts > 0 {
            Verdict::Healthy
        } else {
            Verdict::Unknown
        }
    }

    /// Returns whether more than the allowed fraction of the known nodes is ejected, or would be after the
    /// present findings.
    fn ejects_too_many(&self) -> bool {
        let is_ejected = |finding: &Finding| finding.verdict == Verdict::Ejected;
        let ejections = || self.ejections.nodes();
        let unobserved = ejections().filter(|node| !self.findings.contains_key(node));
        let known = self.findings.len() + unobserved.count();
        let only_ejected_before =
            ejections().filter(|node| !self.findings.get(node).is_some_and(is_ejected));
        let ejected_now = self.findings.values().filter(|finding| is_ejected(finding));
        let ejected = only_ejected_before.count() + ejected_now.count();
        ejected as f64 > MAX_EJECTED_FRACTION * known as f64
    }

    fn distrust_ejections(&mut self) {
        for finding in self.findings.values_mut() {
            if finding.verdict == Verdict::Ejected {
                finding.verdict = Verdict::Distrusted;
            }
        }
    }

    fn update_policies(
        &mut self,
        nodes: &BTreeMap<u32, u64>,
        own: &HostReport,
    ) -> Vec<(u32, EndpointPolicy)> {
        let mut changed = Vec::new();
        for (node, start) in nodes {
            let is_present = |seen: &&Observation| seen.node == *node && seen.start == *start;
            let policy = self.choose_policy(*node, own.observations.iter().find(is_present));
            if self.policy(*node) != policy {
                self.policies.insert(*node, policy);
                changed.push((*node, policy));
            }
        }
        self.policies.retain(|node, _| nodes.contains_key(node));
        changed
    }

    fn choose_policy(&self, node: u32, own: Option<&Observation>) -> EndpointPolicy {
        if own.is_some_and(Observation::is_good) {
            return EndpointPolicy::OwnEvidence;
        }
        if self.is_ejected(node) {
            return if self.probes.is_probing(node) {
                EndpointPolicy::Probe
            } else {
                EndpointPolicy::Avoid
            };
        }
        let own_is_bad = own.is_some_and(|own| own.is_bad() && own.failed >= MIN_OWN_FAILED);
        let verdict = self.findings.get(&node).map(|finding| finding.verdict);
        let others_reach_it = matches!(verdict, Some(Verdict::Healthy | Verdict::Split));
        if own_is_bad && others_reach_it {
            EndpointPolicy::BadPath
        } else {
            EndpointPolicy::OwnEvidence
        }
    }
}
