//! Tests of outlier detection: which evidence decides, how long an ejection lasts, and how many nodes may
//! be ejected.

mod common;

use common::{ms, observation, NOW};
use grebecleat_coordination::evidence::{Observer, EVIDENCE_WINDOW};
use grebecleat_coordination::host_report::HostReport;
use grebecleat_coordination::outlier_detection::{
    EndpointPolicy, OutlierDetector, Verdict, EJECTION_TIMEOUT,
};
use grebecleat_coordination::HostNumber;
use std::collections::BTreeMap;
use std::time::Duration;

/// Returns nodes 1 to 4, all with the same start of their process.
fn nodes(start: u64) -> BTreeMap<u32, u64> {
    (1..=4).map(|node| (node, start)).collect()
}

fn detector(fleet_size: usize) -> OutlierDetector {
    OutlierDetector::new(HostNumber(0), fleet_size, EVIDENCE_WINDOW, 1)
}

/// Returns hosts 1 to 3 as observers with the same report.
fn three_observers(report: &HostReport, age: Duration) -> Vec<Observer<'_>> {
    (1..=3).map(|host| observer(host, report, age)).collect()
}

fn observer(host: u32, report: &HostReport, age: Duration) -> Observer<'_> {
    Observer {
        host: HostNumber(host),
        age,
        report,
    }
}

/// Returns the verdict on node 1 and the policy for it. `own` and `peers` are the observations of node 1 by
/// this host and by its peers, as (attempts, failed). Nodes 2 to 4 answer every host.
fn verdict_and_policy(
    own: Option<(u32, u32)>,
    peers: &[(u32, u32)],
    fleet_size: usize,
) -> (Verdict, EndpointPolicy) {
    let report = |of_node_1: Option<(u32, u32)>| {
        let of_node_1 = of_node_1.map(|(attempts, failed)| observation(1, attempts, failed));
        let of_others = (2..=4).map(|node| observation(node, 6, 0));
        HostReport {
            observations: of_node_1.into_iter().chain(of_others).collect(),
            ..HostReport::default()
        }
    };
    let reports: Vec<HostReport> = peers.iter().map(|peer| report(Some(*peer))).collect();
    let observers: Vec<Observer> = (1..)
        .zip(&reports)
        .map(|(host, report)| observer(host, report, ms(100)))
        .collect();
    let mut detector = detector(fleet_size);
    detector.evaluate(NOW, &nodes(1), &report(own), &observers);
    let finding = detector.findings().get(&1);
    let verdict = finding.map_or(Verdict::Unknown, |finding| finding.verdict);
    let policy = match detector.policy(1) {
        EndpointPolicy::Probe => EndpointPolicy::Avoid, // whether the host probes is random
        policy => policy,
    };
    (verdict, policy)
}

#[test]
fn own_evidence_takes_precedence_and_an_ejection_needs_enough_observers() {
    let bad = (5, 5);
    let good = (5, 0);
    let mixed = (6, 3);
    // Each case: this host's own observation, its peers' observations, the number of hosts, and the
    // expected verdict and policy.
    type Case<'a> = (
        Option<(u32, u32)>,
        &'a [(u32, u32)],
        usize,
        Verdict,
        EndpointPolicy,
    );
    use EndpointPolicy::{Avoid, BadPath, OwnEvidence};
    use Verdict::{Distrusted, Ejected, Split, Unknown};
    let cases: [Case; 11] = [
        (None, &[bad, bad, bad], 4, Ejected, Avoid),
        (Some(bad), &[bad, bad, bad], 4, Ejected, Avoid),
        // Fresh evidence of this host takes precedence over that of its peers.
        (Some(good), &[bad, bad, bad], 4, Ejected, OwnEvidence),
        // Only this host's path to the node is bad.
        (Some(bad), &[good, good, good], 4, Split, BadPath),
        // Half of the observers reach the node.
        (
            None,
            &[bad, bad, bad, good, good, good],
            7,
            Split,
            OwnEvidence,
        ),
        // Too few observers, or observations that are neither good nor bad.
        (None, &[bad, bad], 4, Unknown, OwnEvidence),
        (None, &[mixed, mixed, mixed], 4, Unknown, OwnEvidence),
        // Too few reports are fresh.
        (None, &[bad, bad, bad], 8, Distrusted, OwnEvidence),
        (Some(bad), &[bad, bad, bad], 8, Distrusted, OwnEvidence),
        (None, &[], 4, Unknown, OwnEvidence),
        (Some(bad), &[], 4, Unknown, OwnEvidence),
    ];
    for (own, peers, fleet_size, verdict, policy) in cases {
        assert_eq!(
            verdict_and_policy(own, peers, fleet_size),
            (verdict, policy),
            "{own:?} {peers:?} of {fleet_size}"
        );
    }
}

/// Returns a report in which nodes 2 and 3 are good and `failed` of 5 attempts to node 1 have failed.
fn report_of_node_1(failed: u32) -> HostReport {
    HostReport {
        observations: vec![
            observation(1, 5, failed),
            observation(2, 5, 0),
            observation(3, 5, 0),
        ],
        ..HostReport::default()
    }
}

/// Returns this host's own report, which has no observation of node 1.
fn own_report() -> HostReport {
    HostReport {
        observations: vec![observation(2, 5, 0), observation(3, 5, 0)],
        ..HostReport::default()
    }
}

fn avoids_node_1(detector: &OutlierDetector) -> bool {
    matches!(
        detector.policy(1),
        EndpointPolicy::Avoid | EndpointPolicy::Probe
    )
}

/// Returns a detector that has ejected node 1.
fn ejecting_detector() -> OutlierDetector {
    let mut detector = detector(4);
    let bad = report_of_node_1(5);
    let observers = three_observers(&bad, ms(0));
    detector.evaluate(NOW, &nodes(1), &own_report(), &observers);
    assert!(avoids_node_1(&detector));
    detector
}

#[test]
fn an_ejection_lasts_without_evidence_and_ends_with_newer_good_evidence() {
    let empty = HostReport::default();
    // No host sends attempts to the node, and the peers' reports are fresh, so the ejection stays.
    let mut detector = ejecting_detector();
    for step in 1..60 {
        let observers = three_observers(&empty, ms(0));
        detector.evaluate(NOW + ms(step * 500), &nodes(1), &own_report(), &observers);
        assert!(avoids_node_1(&detector), "after {step} half seconds");
    }
    // A host that probes the node reports that it answers.
    let good = report_of_node_1(0);
    let one = [observer(1, &good, ms(0)), observer(2, &empty, ms(0))];
    detector.evaluate(NOW + ms(30_000), &nodes(1), &own_report(), &one);
    assert!(!avoids_node_1(&detector));
}

#[test]
fn an_ejection_ends_when_the_node_restarts() {
    let mut detector = ejecting_detector();
    detector.evaluate(NOW + ms(100), &nodes(2), &own_report(), &[]);
    assert!(!avoids_node_1(&detector));
}

#[test]
fn expired_evidence_ejects_no_node() {
    let mut detector = detector(4);
    let bad = report_of_node_1(5);
    let old = three_observers(&bad, EVIDENCE_WINDOW);
    detector.evaluate(NOW, &nodes(1), &own_report(), &old);
    assert!(!avoids_node_1(&detector));
}

#[test]
fn an_ejection_times_out_where_too_few_reports_are_fresh() {
    let mut detector = ejecting_detector();
    let just_before = NOW + EJECTION_TIMEOUT - ms(1);
    detector.evaluate(just_before, &nodes(1), &own_report(), &[]);
    assert!(avoids_node_1(&detector));
    detector.evaluate(NOW + EJECTION_TIMEOUT, &nodes(1), &own_report(), &[]);
    assert!(!avoids_node_1(&detector));
}

/// If more than half of the observed nodes would be ejected, the verdicts are distrusted.
#[test]
fn reports_of_peers_never_leave_a_host_without_nodes() {
    for (bad_nodes, avoided) in [(1, 1), (2, 2), (3, 0), (4, 0)] {
        let observations = (1..=4).map(|node| {
            let failed = if node <= bad_nodes { 5 } else { 0 };
            observation(node, 5, failed)
        });
        let report = HostReport {
            observations: observations.collect(),
            ..HostReport::default()
        };
        let observers = three_observers(&report, ms(0));
        let mut detector = detector(4);
        detector.evaluate(NOW, &nodes(1), &HostReport::default(), &observers);
        let avoids = (1..=4)
            .filter(|node| detector.policy(*node) != EndpointPolicy::OwnEvidence)
            .count();
        assert_eq!(avoids, avoided, "{bad_nodes} of four");
    }
}
