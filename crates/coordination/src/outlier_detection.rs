//! Outlier detection: what all hosts' evidence says of a node, and which policy this host follows
//! for it.
//!
//! State machine: [`OutlierDetector::evaluate`] takes what this host has tried and what its peers
//! report, and returns the nodes of which this host's policy has changed. Called by
//! [`crate::coordinator`] at every round. No I/O. Memory: a row for each node of the list.
//!
//! A node is ejected where at least [`MIN_OBSERVERS`] hosts find it bad, with twice the weight that
//! speaks for it; where reports of at most half of the hosts are fresh, or too many nodes would be
//! ejected, the verdict is distrusted and this host goes by its own evidence.
//!
//! | this host's own evidence | all evidence | policy |
//! | --- | --- | --- |
//! | good | any | `OwnEvidence` |
//! | bad | good, split | `BadPath`: the module's own backoff and count of bad answers decide |
//! | bad | ejected | `Avoid`, or `Probe` in turn |
//! | bad | too little, distrusted | `OwnEvidence` |
//! | none, or old | ejected | `Avoid`, or `Probe` in turn |
//! | none, or old | anything else | `OwnEvidence` |
//!
//! An ejection ends by newer evidence that the node answers, by another start of the node, or by
//! this host's own evidence; never by silence, so some hosts must probe: each host draws, once in
//! [`PROBE_INTERVAL`], whether it probes, so that [`PROBERS`] of all do on average. The exception
//! is a host that receives too few reports: after [`EJECTION_TIMEOUT`] it drops what it received,
//! and finds out by itself like one without peers.

use crate::evidence::{self, EvidenceByNode, EvidenceTally, NodeEvidence, Observer};
use crate::host_report::{HostReport, Observation};
use crate::HostNumber;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Hosts that must find a node bad; fewer, though at least 2, in a fleet that has no more.
pub const MIN_OBSERVERS: usize = 3;
/// How long a host probes, or does not, on average.
pub const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Hosts that probe an ejected node at a time, on average.
pub const PROBERS: f64 = 2.0;
/// How long an ejection lasts without a verdict that is trusted.
pub const EJECTION_TIMEOUT: Duration = Duration::from_secs(5);
/// The fraction of all observed nodes that may be ejected, as a panic threshold.
const MAX_EJECTED_FRACTION: f64 = 0.5;
/// How many times the weight for a node the weight against it must be.
const EJECTION_WEIGHT_RATIO: f64 = 2.0;
/// Bad attempts of its own below which a host does not take its own path for bad.
const MIN_OWN_BAD: u32 = 2;

/// The conclusion from all evidence on a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// No host, or too few, have tried it in the last seconds.
    Unknown,
    /// It answers.
    Healthy,
    /// Some reach it and some do not: the paths there are bad, not the node.
    Split,
    /// It is an outlier.
    Ejected,
    /// It would be ejected, but so would too many, or too few reports are fresh.
    Distrusted,
}

impl Verdict {
    /// Its name as operators see it.
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

/// How this host treats a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndpointPolicy {
    /// As a host without peers does.
    OwnEvidence,
    /// Others reach it: it is this host's path there that is bad.
    BadPath,
    /// Nothing is sent there.
    Avoid,
    /// It is ejected, and it is this host's turn to probe it.
    Probe,
}

/// The verdict on a node, with the evidence for it.
#[derive(Debug, Clone, PartialEq)]
pub struct Finding {
    /// What follows from it.
    pub verdict: Verdict,
    /// The evidence for the node.
    pub good: EvidenceTally,
    /// The evidence against it.
    pub bad: EvidenceTally,
    /// When the last evidence for it was observed.
    pub last_good: Option<Duration>,
    /// When the last evidence against it was observed.
    pub last_bad: Option<Duration>,
}

#[derive(Debug, Clone)]
struct Ejection {
    /// Start of the node's process.
    start: u64,
    /// When the last evidence against it was observed.
    last_bad: Duration,
    /// When this host last had a verdict on it that was trusted.
    confirmed_at: Duration,
}

/// Whether this host probes a node, until it draws again.
#[derive(Debug, Clone, Copy)]
struct ProbeTurn {
    until: Duration,
    probes: bool,
}

/// One host's outlier detection.
#[derive(Debug)]
pub struct OutlierDetector {
    me: HostNumber,
    /// How many hosts there are.
    fleet_size: usize,
    /// A report is fresh below this age: in a large fleet all reports take longer to come round
    /// than news.
    fresh_within: Duration,
    rng: Pcg64Mcg,
    ejections: BTreeMap<u32, Ejection>,
    probe_turns: BTreeMap<u32, ProbeTurn>,
    /// The last policies returned.
    policies: BTreeMap<u32, EndpointPolicy>,
    findings: BTreeMap<u32, Finding>,
}

impl OutlierDetector {
    /// `fleet_size`: hosts of the fleet, with this one. `fresh_within`: below which age a report
    /// counts as fresh.
    pub fn new(me: HostNumber, fleet_size: usize, fresh_within: Duration, seed: u64) -> Self {
        OutlierDetector {
            me,
            fleet_size,
            fresh_within,
            rng: Pcg64Mcg::seed_from_u64(seed),
            ejections: BTreeMap::new(),
            probe_turns: BTreeMap::new(),
            policies: BTreeMap::new(),
            findings: BTreeMap::new(),
        }
    }

    /// What the last evaluation found of each node that some host has tried.
    pub fn findings(&self) -> &BTreeMap<u32, Finding> {
        &self.findings
    }

    /// Whether this host has the node ejected.
    pub fn is_ejected(&self, node: u32) -> bool {
        self.ejections.contains_key(&node)
    }

    /// How this host treats the node.
    pub fn policy(&self, node: u32) -> EndpointPolicy {
        let policy = self.policies.get(&node).copied();
        policy.unwrap_or(EndpointPolicy::OwnEvidence)
    }

    /// Evaluates all evidence, and returns the policies that have changed. `nodes`: those of the
    /// list, with the starts of their processes. `own` is what this host has tried, `peers` what
    /// the others report.
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
        self.update_ejections(now, nodes, too_few_fresh);
        self.draw_probe_turns(now);
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

    /// Whether more than the allowed fraction of all known nodes is ejected, or would be by the
    /// findings.
    fn ejects_too_many(&self) -> bool {
        let is_ejected = |finding: &Finding| finding.verdict == Verdict::Ejected;
        let ejections = || self.ejections.keys();
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

    /// Ejects, and ends ejections, by the findings.
    fn update_ejections(&mut self, now: Duration, nodes: &BTreeMap<u32, u64>, too_few_fresh: bool) {
        for (node, finding) in &self.findings {
            match finding.verdict {
                Verdict::Ejected => {
                    let ejection = Ejection {
                        start: nodes[node],
                        last_bad: finding.last_bad.unwrap_or(now),
                        confirmed_at: now,
                    };
                    self.ejections.insert(*node, ejection);
                }
                // It must be evidence that the node answers of later than what ejected it: what
                // hosts found before it failed is on its way for some time yet.
                Verdict::Healthy | Verdict::Split => {
                    let ejection = self.ejections.get(node);
                    let answers_again = ejection.is_some_and(|ejection| {
                        finding.last_good.is_some_and(|at| at > ejection.last_bad)
                    });
                    if answers_again {
                        self.ejections.remove(node);
                    }
                }
                Verdict::Unknown | Verdict::Distrusted => {}
            }
        }
        let findings = &self.findings;
        self.ejections.retain(|node, ejection| {
            let finding = findings.get(node);
            let distrusted = finding.is_some_and(|finding| finding.verdict == Verdict::Distrusted);
            // Silence confirms it where the others' reports are fresh: some host probes.
            if !too_few_fresh && !distrusted {
                ejection.confirmed_at = now;
            }
            let is_same_process = nodes.get(node) == Some(&ejection.start);
            is_same_process && now < ejection.confirmed_at + EJECTION_TIMEOUT
        });
    }

    fn draw_probe_turns(&mut self, now: Duration) {
        let chance = (PROBERS / self.fleet_size.max(1) as f64).min(1.0);
        let ejections = &self.ejections;
        self.probe_turns
            .retain(|node, _| ejections.contains_key(node));
        for node in ejections.keys() {
            let turn = self.probe_turns.get(node);
            if turn.is_none_or(|turn| now >= turn.until) {
                // At other moments on each host, or all that probe would probe at the same time.
                let until = now + PROBE_INTERVAL.mul_f64(0.5 + self.rng.random::<f64>());
                let probes = self.rng.random::<f64>() < chance;
                self.probe_turns.insert(*node, ProbeTurn { until, probes });
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
            let turn = self.probe_turns.get(&node);
            return if turn.is_some_and(|turn| turn.probes) {
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
