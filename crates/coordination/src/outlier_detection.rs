//! Outlier detection: the verdict of all hosts' evidence on a node, and this host's policy for it.
//!
//! State machine: [`OutlierDetector::evaluate`] takes this host's observations and its peers'
//! reports, and returns the nodes whose policy has changed. [`crate::coordinator`] calls it in
//! every round. No I/O. Memory: one row for each node of the endpoint list.
//!
//! A node is ejected if at least [`MIN_OBSERVERS`] hosts find it bad, and the weight of their
//! evidence is at least twice the weight of the evidence for the node. The verdict is distrusted if
//! at most half of the hosts have fresh reports, or if too many nodes would be ejected. This host
//! then relies on its own evidence.
//!
//! | this host's own evidence | all evidence | policy |
//! | --- | --- | --- |
//! | good | any | `OwnEvidence` |
//! | bad | good, split | `BadPath`: the scheduler's own backoff and count of failures decide |
//! | bad | ejected | `Avoid`, or `Probe` in turn |
//! | bad | too little, distrusted | `OwnEvidence` |
//! | none, or old | ejected | `Avoid`, or `Probe` in turn |
//! | none, or old | anything else | `OwnEvidence` |
//!
//! The module `ejections` states how an ejection ends.

use crate::ejections::{Ejections, ProbeSchedule};
use crate::evidence::{self, EvidenceByNode, EvidenceTally, NodeEvidence, Observer};
use crate::host_report::{HostReport, Observation};
use crate::HostNumber;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

pub use crate::ejections::{EJECTION_TIMEOUT, PROBERS, PROBE_INTERVAL};

/// Hosts that must find a node bad before it is ejected. A smaller fleet needs all its other hosts,
/// but at least 2. A larger number ejects later; with a smaller one few bad hosts eject a node.
pub const MIN_OBSERVERS: usize = 3;
/// The fraction of all observed nodes that may be ejected (a panic threshold). A larger one leaves
/// too few nodes for the load; with a smaller one a failure of many nodes ejects none.
const MAX_EJECTED_FRACTION: f64 = 0.5;
/// The least ratio of the weight against a node to the weight for it. A larger ratio ejects later;
/// with a smaller one evidence that is split ejects.
const EJECTION_WEIGHT_RATIO: f64 = 2.0;
/// The least number of a host's own bad attempts after which it considers its own path bad. A
/// larger number detects a bad path later; with a smaller one a single failure counts as a bad
/// path.
const MIN_OWN_BAD: u32 = 2;

/// The conclusion from all evidence on a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// No host, or too few hosts, have sent attempts to the node in the last seconds.
    Unknown,
    /// The node answers.
    Healthy,
    /// Some hosts reach the node and some do not: the paths to it are bad, not the node.
    Split,
    /// The node is an outlier.
    Ejected,
    /// The node would be ejected, but too many nodes would be, or too few reports are fresh.
    Distrusted,
}

impl Verdict {
    /// Returns the verdict's name as operators see it.
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
    /// Other hosts reach the node: this host's path to it is bad.
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
    /// When the last evidence for the node was observed.
    pub last_good: Option<Duration>,
    /// When the last evidence against the node was observed.
    pub last_bad: Option<Duration>,
}

/// One host's outlier detection.
#[derive(Debug)]
pub struct OutlierDetector {
    me: HostNumber,
    /// Number of hosts, including this one.
    fleet_size: usize,
    /// The age below which a report is fresh. In a large fleet the rotation of all reports takes
    /// longer than a rumor.
    fresh_within: Duration,
    ejections: Ejections,
    probes: ProbeSchedule,
    /// The policies that were returned last.
    policies: BTreeMap<u32, EndpointPolicy>,
    findings: BTreeMap<u32, Finding>,
}

impl OutlierDetector {
    /// Returns a detector without evidence. `fleet_size`: number of hosts, including this one.
    /// `fresh_within`: the age below which a report counts as fresh.
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

    /// Returns the findings of the last evaluation, for each node to which some host has sent
    /// attempts.
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

    /// Evaluates all evidence, and returns the policies that have changed. `nodes`: the nodes of
    /// the endpoint list, with the starts of their processes. `own`: this host's observations.
    /// `peers`: the reports of the other hosts.
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
        self.probes.draw(now, &self.ejections);
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

    /// Returns whether more than the allowed fraction of all known nodes is ejected, or would be
    /// ejected by the findings.
    fn ejects_too_many(&self) -> bool {
        let is_ejected = |finding: &Finding| finding.verdict == Verdict::Ejected;
        let ejections = || self.ejections.nodes();
        let unobserved = ejections().filter(|node| !self.findings.contains_key(node));
        let known = self.findings.len() + unobserved.count();
        let not_found_again =
            ejections().filter(|node| !self.findings.get(node).is_some_and(is_ejected));
        let found = self.findings.values().filter(|finding| is_ejected(finding));
        let ejected = not_found_again.count() + found.count();
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
        let own_is_bad = own.is_some_and(|own| own.is_bad() && own.bad >= MIN_OWN_BAD);
        let verdict = self.findings.get(&node).map(|finding| finding.verdict);
        let others_reach_it = matches!(verdict, Some(Verdict::Healthy | Verdict::Split));
        if own_is_bad && others_reach_it {
            EndpointPolicy::BadPath
        } else {
            EndpointPolicy::OwnEvidence
        }
    }
}
