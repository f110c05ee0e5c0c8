//! Entries in common, words, and judgements: tables of cases.

use grebecleat_fleet::judgement::{Belief, Judge, Verdict, Witness, EVIDENCE, LAPSE};
use grebecleat_fleet::shared::{
    Common, Entry, Facts, Mark, Offer, Served, Sight, ASK_FIRST, FORGET,
};
use grebecleat_fleet::word::{Word, MAX_BYTES, MAX_ENTRIES};
use grebecleat_fleet::{budget::Say, HostNumber, Incarnation};
use std::collections::BTreeMap;
use std::time::Duration;

const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

const NOW: Duration = ms(100_000);

fn common(peers: u32) -> Common {
    Common::new(
        NOW,
        HostNumber(0),
        Incarnation(10),
        ms(200),
        (1..=peers).map(HostNumber).collect(),
        3,
    )
}

fn sight(node: u32, sent: u32, bad: u32) -> Sight {
    Sight {
        node,
        start: 1,
        sent,
        bad,
        ago: ms(0),
        clears: false,
    }
}

fn entry(writer: u32, incarnation: u64, count: u64, age: Duration, sent: u32) -> Entry {
    let facts = Facts {
        sights: vec![sight(1, sent, 0)],
        ..Facts::default()
    };
    Entry {
        writer: HostNumber(writer),
        mark: Mark {
            incarnation: Incarnation(incarnation),
            count,
        },
        age,
        facts,
    }
}

fn word(entries: Vec<Entry>) -> Word {
    Word {
        incarnation: Incarnation(1),
        asks: false,
        entries,
        says: Vec::new(),
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
        let all: Vec<u32> = c.all(NOW).map(|(_, _, f)| f.sights[0].sent).collect();
        assert_eq!(all, [held], "{came:?}");
    }
}

#[test]
fn what_is_old_is_forgotten_and_does_not_come_back_through_a_slow_peer() {
    let mut c = common(3);
    c.hear(NOW, HostNumber(2), &word(vec![entry(1, 1, 5, ms(0), 6)]));
    let later = NOW + FORGET;
    assert_eq!(c.all(later).count(), 0);
    c.round(later);
    let joined = c.hear(later, HostNumber(2), &word(vec![entry(1, 1, 5, FORGET, 6)]));
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
        words.iter().all(|(_, w)| w.asks && w.entries.is_empty()),
        "{words:?}"
    );
    let joined = c.hear(
        NOW + ms(300),
        HostNumber(2),
        &word(vec![entry(0, 40, 7, ms(0), 1)]),
    );
    assert!(joined.raised);
    assert_eq!(c.incarnation(), Incarnation(41));
    c.write(NOW + ms(300), Facts::default(), true);
    let (words, _) = c.round(NOW + ASK_FIRST + ms(300));
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
    let after = NOW + ASK_FIRST + ms(500);
    c.write(after, Facts::default(), true);
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
    let facts = Facts {
        tried: 3,
        badly: 1,
        sights: vec![sight(4, 9, 2)],
        offers: vec![Offer {
            volume: 7,
            spare: 99,
        }],
        served: vec![Served {
            volume: 7,
            units: 1234,
        }],
    };
    let mark = Mark {
        incarnation: Incarnation(3),
        count: 8,
    };
    let e = Entry {
        writer: HostNumber(5),
        mark,
        age: ms(77),
        facts,
    };
    let says = vec![
        (
            7,
            3,
            Say::Want {
                ask: 1,
                loan: 2,
                amount: 3,
            },
        ),
        (
            7,
            3,
            Say::Lend {
                ask: 1,
                of: Incarnation(4),
                amount: 3,
            },
        ),
        (7, 3, Say::Home { loan: 2 }),
        (7, 3, Say::Clear { of: Incarnation(6) }),
        (8, 2, Say::Born),
    ];
    let w = Word {
        incarnation: Incarnation(9),
        asks: true,
        entries: vec![e.clone()],
        says,
    };
    assert_eq!(Word::from_bytes(&w.to_bytes()), Ok(w.clone()));
    let spoilt = |spoil: &dyn Fn(&mut Word)| {
        let mut w = w.clone();
        spoil(&mut w);
        Word::from_bytes(&w.to_bytes()).unwrap_err()
    };
    // what is wrong, and what must be said of it
    type Case<'a> = (&'a dyn Fn(&mut Word), &'a str);
    let cases: [Case; 7] = [
        (&|w| w.incarnation = Incarnation(u64::MAX), "life"),
        (
            &|w| w.entries[0].mark.incarnation = Incarnation(0),
            "life 0",
        ),
        (
            &|w| w.entries[0].mark.count = u64::MAX - 1,
            "entry of host 5: count",
        ),
        (
            &|w| w.entries[0].facts.sights[0].bad = 10,
            "more bad than sent",
        ),
        (
            &|w| w.entries[0].facts.offers[0].spare = u32::MAX,
            "more offered than there is",
        ),
        (
            &|w| w.entries = vec![e.clone(); MAX_ENTRIES + 1],
            "17 entries, expected at most 16",
        ),
        (
            &|w| {
                w.says[0].2 = Say::Want {
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
    assert!(Word::from_bytes(b"garbage of any kind").is_err());
    assert!(Word::from_bytes(&vec![0; MAX_BYTES + 1]).is_err());
    let bytes = w.to_bytes();
    for cut in 0..bytes.len() {
        // Half a word is refused, or is one that says less: never more than was said.
        if let Ok(half) = Word::from_bytes(&bytes[..cut]) {
            assert!(
                half.entries.iter().all(|e| w.entries.contains(e)),
                "{half:?}"
            );
        }
    }
}

/// What each host says of node 1, as (sent, bad), by host; this one is the first.
fn verdict(own: Option<(u32, u32)>, others: &[(u32, u32)], fleet: usize) -> (Verdict, Belief) {
    let nodes: BTreeMap<u32, u64> = (1..=4).map(|n| (n, 1)).collect();
    // Nodes 2 to 4 answer everybody.
    let facts = |of: Option<(u32, u32)>| Facts {
        sights: of
            .into_iter()
            .map(|(sent, bad)| sight(1, sent, bad))
            .chain((2..=4).map(|n| sight(n, 6, 0)))
            .collect(),
        ..Facts::default()
    };
    let all: Vec<Facts> = others.iter().map(|o| facts(Some(*o))).collect();
    let witness = |(n, facts)| Witness {
        host: HostNumber(n as u32 + 1),
        age: ms(100),
        facts,
    };
    let others: Vec<Witness> = all.iter().enumerate().map(witness).collect();
    let mut judge = Judge::new(HostNumber(0), fleet, EVIDENCE, 1);
    judge.judge(NOW, &nodes, &facts(own), &others);
    let verdict = judge
        .findings()
        .get(&1)
        .map_or(Verdict::Unknown, |f| f.verdict);
    let belief = match judge.belief(1) {
        Belief::Look => Belief::Avoid, // by lot
        belief => belief,
    };
    (verdict, belief)
}

#[test]
fn which_source_wins() {
    let (bad, well, mixed) = ((5, 5), (5, 0), (6, 3));
    // this host's own, what others say, how many hosts there are; verdict and belief
    type Case<'a> = (Option<(u32, u32)>, &'a [(u32, u32)], usize, Verdict, Belief);
    let cases: [Case; 11] = [
        (None, &[bad, bad, bad], 4, Verdict::Condemned, Belief::Avoid),
        (
            Some(bad),
            &[bad, bad, bad],
            4,
            Verdict::Condemned,
            Belief::Avoid,
        ),
        // Own fresh evidence stands above hearsay.
        (
            Some(well),
            &[bad, bad, bad],
            4,
            Verdict::Condemned,
            Belief::AsToday,
        ),
        // It is this host's own way.
        (
            Some(bad),
            &[well, well, well],
            4,
            Verdict::Split,
            Belief::OwnWay,
        ),
        // Half from half.
        (
            None,
            &[bad, bad, bad, well, well, well],
            7,
            Verdict::Split,
            Belief::AsToday,
        ),
        // Too few sides, or sights that say neither.
        (None, &[bad, bad], 4, Verdict::Unknown, Belief::AsToday),
        (
            None,
            &[mixed, mixed, mixed],
            4,
            Verdict::Unknown,
            Belief::AsToday,
        ),
        // Too few are heard.
        (None, &[bad, bad, bad], 8, Verdict::Doubted, Belief::AsToday),
        (
            Some(bad),
            &[bad, bad, bad],
            8,
            Verdict::Doubted,
            Belief::AsToday,
        ),
        (None, &[], 4, Verdict::Unknown, Belief::AsToday),
        (Some(bad), &[], 4, Verdict::Unknown, Belief::AsToday),
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
    let says = |bad: u32| Facts {
        sights: vec![sight(1, 5, bad), sight(2, 5, 0), sight(3, 5, 0)],
        ..Facts::default()
    };
    let (ill, fine, silent) = (says(5), says(0), Facts::default());
    let at = |facts, n: u32, age| Witness {
        host: HostNumber(n),
        age,
        facts,
    };
    let avoid = |j: &Judge| matches!(j.belief(1), Belief::Avoid | Belief::Look);
    let own = Facts {
        sights: vec![sight(2, 5, 0), sight(3, 5, 0)],
        ..Facts::default()
    };
    let condemned = || {
        let mut j = Judge::new(HostNumber(0), 4, EVIDENCE, 1);
        let all: Vec<Witness> = (1..=3).map(|n| at(&ill, n, ms(0))).collect();
        j.judge(NOW, &nodes, &own, &all);
        assert!(avoid(&j));
        j
    };
    // Nobody sends there any more, and the peers are heard: it stays.
    let mut j = condemned();
    for step in 1..60 {
        let quiet: Vec<Witness> = (1..=3).map(|n| at(&silent, n, ms(0))).collect();
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
    let mut j = Judge::new(HostNumber(0), 4, EVIDENCE, 1);
    let old: Vec<Witness> = (1..=3).map(|n| at(&ill, n, EVIDENCE)).collect();
    j.judge(NOW, &nodes, &own, &old);
    assert!(!avoid(&j));
    // Nobody is heard: in the end this host finds out by itself.
    let mut j = condemned();
    j.judge(NOW + LAPSE - ms(1), &nodes, &own, &[]);
    assert!(avoid(&j));
    j.judge(NOW + LAPSE, &nodes, &own, &[]);
    assert!(!avoid(&j));
}

/// Where most of what is tried would be condemned, the judgement is doubted.
#[test]
fn a_host_is_never_left_without_nodes_by_what_others_say() {
    let nodes: BTreeMap<u32, u64> = (1..=4).map(|n| (n, 1)).collect();
    for (ill, avoided) in [(1, 1), (2, 2), (3, 0), (4, 0)] {
        let sights = (1..=4)
            .map(|n| sight(n, 5, if n <= ill { 5 } else { 0 }))
            .collect();
        let facts = Facts {
            sights,
            ..Facts::default()
        };
        let all: Vec<Witness> = (1..=3)
            .map(|n| Witness {
                host: HostNumber(n),
                age: ms(0),
                facts: &facts,
            })
            .collect();
        let mut j = Judge::new(HostNumber(0), 4, EVIDENCE, 1);
        j.judge(NOW, &nodes, &Facts::default(), &all);
        let avoids = (1..=4).filter(|n| j.belief(*n) != Belief::AsToday).count();
        assert_eq!(avoids, avoided, "{ill} of four");
    }
}
