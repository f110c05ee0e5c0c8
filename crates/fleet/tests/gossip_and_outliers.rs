//! Entries in common, words, and judgements: tables of cases.

use grebecleat_fleet::gossip_message::{GossipMessage, MAX_BYTES, MAX_ENTRIES};
use grebecleat_fleet::gossip_state::{
    GossipEntry, GossipState, HostReport, LeaseOffer, Observation, ServedUnits, VersionStamp,
    ENTRY_TIMEOUT, SYNC_TIMEOUT,
};
use grebecleat_fleet::outlier_detection::{
    EndpointPolicy, Observer, OutlierDetector, Verdict, EJECTION_TIMEOUT, EVIDENCE_WINDOW,
};
use grebecleat_fleet::{quota_lease::LeaseMessage, HostNumber, Incarnation};
use std::collections::BTreeMap;
use std::time::Duration;

const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

const NOW: Duration = ms(100_000);

fn common(peers: u32) -> GossipState {
    GossipState::new(
        NOW,
        HostNumber(0),
        Incarnation(10),
        ms(200),
        (1..=peers).map(HostNumber).collect(),
        3,
    )
}

fn observation(node: u32, sent: u32, bad: u32) -> Observation {
    Observation {
        node,
        start: 1,
        sent,
        bad,
        age: ms(0),
        contradicts_ejection: false,
    }
}

fn entry(writer: u32, incarnation: u64, count: u64, age: Duration, sent: u32) -> GossipEntry {
    let report = HostReport {
        observations: vec![observation(1, sent, 0)],
        ..HostReport::default()
    };
    GossipEntry {
        writer: HostNumber(writer),
        version: VersionStamp {
            incarnation: Incarnation(incarnation),
            count,
        },
        age,
        report,
    }
}

fn word(entries: Vec<GossipEntry>) -> GossipMessage {
    GossipMessage {
        incarnation: Incarnation(1),
        requests_sync: false,
        entries,
        lease_messages: Vec::new(),
    }
}

#[test]
fn the_larger_mark_counts_whatever_the_order() {
    // what comes, and which of them is held in the end, by what it sent
    type Case<'a> = (&'a [(u64, u64, u64, u32)], u32);
    let cases: [Case; 5] = [
        (&[(1, 1, 0, 5), (1, 2, 0, 6)], 6),
        (&[(1, 2, 0, 6), (1, 1, 0, 5)], 6),
        (&[(1, 2, 0, 6), (1, 2, 0, 9)], 6),      // doubled
        (&[(1, 900, 0, 5), (2, 1, 0, 6)], 6),    // a later life
        (&[(1, 2, 0, 6), (2, 1, 60_000, 7)], 6), // too old to be taken
    ];
    for (came, held) in cases {
        let mut c = common(3);
        for (incarnation, count, age, sent) in came {
            c.hear(
                NOW,
                HostNumber(2),
                &word(vec![entry(1, *incarnation, *count, ms(*age), *sent)]),
            );
        }
        let all: Vec<u32> = c.all(NOW).map(|(_, _, f)| f.observations[0].sent).collect();
        assert_eq!(all, [held], "{came:?}");
    }
}

#[test]
fn what_is_old_is_forgotten_and_does_not_come_back_through_a_slow_peer() {
    let mut c = common(3);
    c.hear(NOW, HostNumber(2), &word(vec![entry(1, 1, 5, ms(0), 6)]));
    let later = NOW + ENTRY_TIMEOUT;
    assert_eq!(c.all(later).count(), 0);
    c.round(later);
    let joined = c.hear(
        later,
        HostNumber(2),
        &word(vec![entry(1, 1, 5, ENTRY_TIMEOUT, 6)]),
    );
    assert_eq!((joined.newer.len(), joined.refused), (0, 1));
    // An entry of nobody known is refused as well.
    assert_eq!(
        c.hear(later, HostNumber(2), &word(vec![entry(77, 1, 5, ms(0), 6)]))
            .refused,
        1
    );
}

#[test]
fn a_host_that_lost_its_number_asks_before_it_writes_and_goes_above_it() {
    let mut c = common(3);
    let (words, _) = c.round(NOW + ms(250));
    assert!(
        words
            .iter()
            .all(|(_, w)| w.requests_sync && w.entries.is_empty()),
        "{words:?}"
    );
    let joined = c.hear(
        NOW + ms(300),
        HostNumber(2),
        &word(vec![entry(0, 40, 7, ms(0), 1)]),
    );
    assert!(joined.raised);
    assert_eq!(c.incarnation(), Incarnation(41));
    c.write(NOW + ms(300), HostReport::default(), true);
    let (words, _) = c.round(NOW + SYNC_TIMEOUT + ms(300));
    assert!(
        words
            .iter()
            .any(|(_, w)| w.entries.iter().any(|e| e.writer == HostNumber(0))),
        "{words:?}"
    );
}

#[test]
fn of_two_lives_of_one_host_the_earlier_steps_aside_while_the_other_is_heard() {
    let mut c = common(3);
    let after = NOW + SYNC_TIMEOUT + ms(500);
    c.write(after, HostReport::default(), true);
    c.round(after);
    assert!(
        !c.hear(after, HostNumber(2), &word(vec![entry(0, 11, 3, ms(0), 1)]))
            .raised
    );
    assert!(c.aside());
    // Its own former words change nothing; as long as the other's count grows it stays aside.
    c.hear(
        after + ms(9000),
        HostNumber(2),
        &word(vec![entry(0, 11, 40, ms(0), 1)]),
    );
    assert!(!c.round(after + ms(12_000)).1);
    assert!(c.aside());
    let (_, raised) = c.round(after + ms(19_500));
    assert!(raised && !c.aside());
    assert_eq!(c.incarnation(), Incarnation(12));
}

#[test]
fn words_come_back_as_they_went_or_are_refused_whole() {
    let report = HostReport {
        tried: 3,
        badly: 1,
        observations: vec![observation(4, 9, 2)],
        offers: vec![LeaseOffer {
            volume: 7,
            spare: 99,
        }],
        served: vec![ServedUnits {
            volume: 7,
            units: 1234,
        }],
    };
    let version = VersionStamp {
        incarnation: Incarnation(3),
        count: 8,
    };
    let e = GossipEntry {
        writer: HostNumber(5),
        version,
        age: ms(77),
        report,
    };
    let lease_messages = vec![
        (
            7,
            3,
            LeaseMessage::Request {
                ask: 1,
                loan: 2,
                amount: 3,
            },
        ),
        (
            7,
            3,
            LeaseMessage::Grant {
                ask: 1,
                of: Incarnation(4),
                amount: 3,
            },
        ),
        (7, 3, LeaseMessage::Release { loan: 2 }),
        (7, 3, LeaseMessage::Cleared { of: Incarnation(6) }),
        (8, 2, LeaseMessage::Recovered),
    ];
    let w = GossipMessage {
        incarnation: Incarnation(9),
        requests_sync: true,
        entries: vec![e.clone()],
        lease_messages,
    };
    assert_eq!(GossipMessage::from_bytes(&w.to_bytes()), Ok(w.clone()));
    let spoilt = |spoil: &dyn Fn(&mut GossipMessage)| {
        let mut w = w.clone();
        spoil(&mut w);
        GossipMessage::from_bytes(&w.to_bytes()).unwrap_err()
    };
    // what is wrong, and what must be said of it
    type Case<'a> = (&'a dyn Fn(&mut GossipMessage), &'a str);
    let cases: [Case; 7] = [
        (&|w| w.incarnation = Incarnation(u64::MAX), "life"),
        (
            &|w| w.entries[0].version.incarnation = Incarnation(0),
            "life 0",
        ),
        (
            &|w| w.entries[0].version.count = u64::MAX - 1,
            "entry of host 5: count",
        ),
        (
            &|w| w.entries[0].report.observations[0].bad = 10,
            "more bad than sent",
        ),
        (
            &|w| w.entries[0].report.offers[0].spare = u32::MAX,
            "more offered than there is",
        ),
        (
            &|w| w.entries = vec![e.clone(); MAX_ENTRIES + 1],
            "17 entries, expected at most 16",
        ),
        (
            &|w| {
                w.lease_messages[0].2 = LeaseMessage::Request {
                    ask: 1,
                    loan: 1,
                    amount: u32::MAX,
                }
            },
            "volume 7",
        ),
    ];
    for (spoil, said) in cases {
        let why = spoilt(spoil);
        assert!(why.contains(said), "{why}, expected {said}");
    }
    assert!(GossipMessage::from_bytes(b"garbage of any kind").is_err());
    assert!(GossipMessage::from_bytes(&vec![0; MAX_BYTES + 1]).is_err());
    let bytes = w.to_bytes();
    for cut in 0..bytes.len() {
        // Half a word is refused, or is one that says less: never more than was said.
        if let Ok(half) = GossipMessage::from_bytes(&bytes[..cut]) {
            assert!(
                half.entries.iter().all(|e| w.entries.contains(e)),
                "{half:?}"
            );
        }
    }
}

/// What each host says of node 1, as (sent, bad), by host; this one is the first.
fn verdict(
    own: Option<(u32, u32)>,
    others: &[(u32, u32)],
    fleet: usize,
) -> (Verdict, EndpointPolicy) {
    let nodes: BTreeMap<u32, u64> = (1..=4).map(|n| (n, 1)).collect();
    // Nodes 2 to 4 answer everybody.
    let report = |of: Option<(u32, u32)>| HostReport {
        observations: of
            .into_iter()
            .map(|(sent, bad)| observation(1, sent, bad))
            .chain((2..=4).map(|n| observation(n, 6, 0)))
            .collect(),
        ..HostReport::default()
    };
    let all: Vec<HostReport> = others.iter().map(|o| report(Some(*o))).collect();
    let witness = |(n, report)| Observer {
        host: HostNumber(n as u32 + 1),
        age: ms(100),
        report,
    };
    let others: Vec<Observer> = all.iter().enumerate().map(witness).collect();
    let mut judge = OutlierDetector::new(HostNumber(0), fleet, EVIDENCE_WINDOW, 1);
    judge.judge(NOW, &nodes, &report(own), &others);
    let verdict = judge
        .findings()
        .get(&1)
        .map_or(Verdict::Unknown, |f| f.verdict);
    let belief = match judge.belief(1) {
        EndpointPolicy::Probe => EndpointPolicy::Avoid, // by lot
        belief => belief,
    };
    (verdict, belief)
}

#[test]
fn which_source_wins() {
    let (bad, well, mixed) = ((5, 5), (5, 0), (6, 3));
    // this host's own, what others say, how many hosts there are; verdict and belief
    type Case<'a> = (
        Option<(u32, u32)>,
        &'a [(u32, u32)],
        usize,
        Verdict,
        EndpointPolicy,
    );
    let cases: [Case; 11] = [
        (
            None,
            &[bad, bad, bad],
            4,
            Verdict::Ejected,
            EndpointPolicy::Avoid,
        ),
        (
            Some(bad),
            &[bad, bad, bad],
            4,
            Verdict::Ejected,
            EndpointPolicy::Avoid,
        ),
        // Own fresh evidence stands above hearsay.
        (
            Some(well),
            &[bad, bad, bad],
            4,
            Verdict::Ejected,
            EndpointPolicy::OwnEvidence,
        ),
        // It is this host's own way.
        (
            Some(bad),
            &[well, well, well],
            4,
            Verdict::Split,
            EndpointPolicy::BadPath,
        ),
        // Half from half.
        (
            None,
            &[bad, bad, bad, well, well, well],
            7,
            Verdict::Split,
            EndpointPolicy::OwnEvidence,
        ),
        // Too few sides, or sights that say neither.
        (
            None,
            &[bad, bad],
            4,
            Verdict::Unknown,
            EndpointPolicy::OwnEvidence,
        ),
        (
            None,
            &[mixed, mixed, mixed],
            4,
            Verdict::Unknown,
            EndpointPolicy::OwnEvidence,
        ),
        // Too few are heard.
        (
            None,
            &[bad, bad, bad],
            8,
            Verdict::Distrusted,
            EndpointPolicy::OwnEvidence,
        ),
        (
            Some(bad),
            &[bad, bad, bad],
            8,
            Verdict::Distrusted,
            EndpointPolicy::OwnEvidence,
        ),
        (None, &[], 4, Verdict::Unknown, EndpointPolicy::OwnEvidence),
        (
            Some(bad),
            &[],
            4,
            Verdict::Unknown,
            EndpointPolicy::OwnEvidence,
        ),
    ];
    for (own, others, fleet, verdict_is, belief_is) in cases {
        assert_eq!(
            verdict(own, others, fleet),
            (verdict_is, belief_is),
            "{own:?} {others:?} of {fleet}"
        );
    }
}

#[test]
fn condemned_is_upheld_in_silence_cleared_by_evidence_and_lapses_where_too_few_are_heard() {
    let nodes: BTreeMap<u32, u64> = (1..=4).map(|n| (n, 1)).collect();
    let lease_messages = |bad: u32| HostReport {
        observations: vec![
            observation(1, 5, bad),
            observation(2, 5, 0),
            observation(3, 5, 0),
        ],
        ..HostReport::default()
    };
    let (ill, fine, silent) = (lease_messages(5), lease_messages(0), HostReport::default());
    let at = |report, n: u32, age| Observer {
        host: HostNumber(n),
        age,
        report,
    };
    let avoid =
        |j: &OutlierDetector| matches!(j.belief(1), EndpointPolicy::Avoid | EndpointPolicy::Probe);
    let own = HostReport {
        observations: vec![observation(2, 5, 0), observation(3, 5, 0)],
        ..HostReport::default()
    };
    let condemned = || {
        let mut j = OutlierDetector::new(HostNumber(0), 4, EVIDENCE_WINDOW, 1);
        let all: Vec<Observer> = (1..=3).map(|n| at(&ill, n, ms(0))).collect();
        j.judge(NOW, &nodes, &own, &all);
        assert!(avoid(&j));
        j
    };
    // Nobody sends there any more, and the peers are heard: it stays.
    let mut j = condemned();
    for step in 1..60 {
        let quiet: Vec<Observer> = (1..=3).map(|n| at(&silent, n, ms(0))).collect();
        j.judge(NOW + ms(step * 500), &nodes, &own, &quiet);
        assert!(avoid(&j), "after {step} half seconds");
    }
    // One who looked finds that it answers.
    let one = [at(&fine, 1, ms(0)), at(&silent, 2, ms(0))];
    j.judge(NOW + ms(30_000), &nodes, &own, &one);
    assert!(!avoid(&j));
    // Another process of it.
    let mut j = condemned();
    let new: BTreeMap<u32, u64> = (1..=4).map(|n| (n, 2)).collect();
    j.judge(NOW + ms(100), &new, &own, &[]);
    assert!(!avoid(&j));
    // Old evidence that comes round again condemns nothing.
    let mut j = OutlierDetector::new(HostNumber(0), 4, EVIDENCE_WINDOW, 1);
    let old: Vec<Observer> = (1..=3).map(|n| at(&ill, n, EVIDENCE_WINDOW)).collect();
    j.judge(NOW, &nodes, &own, &old);
    assert!(!avoid(&j));
    // Nobody is heard: in the end this host finds out by itself.
    let mut j = condemned();
    j.judge(NOW + EJECTION_TIMEOUT - ms(1), &nodes, &own, &[]);
    assert!(avoid(&j));
    j.judge(NOW + EJECTION_TIMEOUT, &nodes, &own, &[]);
    assert!(!avoid(&j));
}

/// Where most of what is tried would be condemned, the judgement is doubted.
#[test]
fn a_host_is_never_left_without_nodes_by_what_others_say() {
    let nodes: BTreeMap<u32, u64> = (1..=4).map(|n| (n, 1)).collect();
    for (ill, avoided) in [(1, 1), (2, 2), (3, 0), (4, 0)] {
        let observations = (1..=4)
            .map(|n| observation(n, 5, if n <= ill { 5 } else { 0 }))
            .collect();
        let report = HostReport {
            observations,
            ..HostReport::default()
        };
        let all: Vec<Observer> = (1..=3)
            .map(|n| Observer {
                host: HostNumber(n),
                age: ms(0),
                report: &report,
            })
            .collect();
        let mut j = OutlierDetector::new(HostNumber(0), 4, EVIDENCE_WINDOW, 1);
        j.judge(NOW, &nodes, &HostReport::default(), &all);
        let avoids = (1..=4)
            .filter(|n| j.belief(*n) != EndpointPolicy::OwnEvidence)
            .count();
        assert_eq!(avoids, avoided, "{ill} of four");
    }
}
