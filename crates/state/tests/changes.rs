//! The ledger: collisions, undo, order, and the state beside a plain model under any sequence of changes.

use grebecleat_state::changes::*;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;
use std::time::Duration;

fn plan(name: &str, reservation: f64) -> Change {
    let to = Some(Plan { rate: 100.0, reservation, limit: 0.0, weight: 1.0 });
    Change::Plan { name: name.into(), to }
}

fn no_plan(name: &str) -> Change {
    Change::Plan { name: name.into(), to: None }
}

fn volume(id: u64, plan: &str) -> Change {
    Change::Volume { id, to: Some(Volume { plan: plan.into(), hosts: vec!["h".into()] }) }
}

fn retired(id: u64) -> Change {
    Change::Volume { id, to: None }
}

fn land(l: &mut Ledger, changes: Vec<Change>) -> Result<Version, Refused> {
    let entry = l.propose(l.version(), ("clerk", "test"), Duration::ZERO, changes)?;
    l.take(entry).expect("the next");
    Ok(l.version())
}

fn begun() -> Ledger {
    let mut l = Ledger::new(100);
    land(&mut l, vec![plan("basic", 10.0), plan("priority", 50.0), volume(1, "basic"), volume(2, "basic")])
        .unwrap();
    l
}

#[test]
fn what_is_refused_and_why() {
    let limit = |limit, reservation| {
        let to = Some(Plan { limit, reservation, ..Plan::default() });
        vec![Change::Plan { name: "p".into(), to }]
    };
    let nowhere = Change::Volume { id: 9, to: Some(Volume { plan: "basic".into(), hosts: vec![] }) };
    let cases: [(Vec<Change>, &str); 11] = [
        (vec![], "changes nothing"),
        (vec![volume(1, "basic")], "changes nothing"),
        (vec![volume(1, "gold")], "plan gold does not exist"),
        (vec![retired(7)], "volume 7 does not exist"),
        (vec![no_plan("gold")], "plan gold does not exist"),
        (vec![no_plan("basic")], "plan basic is in use by volume 1"),
        (vec![volume(1, "priority"), no_plan("basic")], "plan basic is in use by volume 2"),
        (vec![volume(1, "priority"), retired(1)], "volume 1 is changed twice at once"),
        (vec![volume(3, "basic"), no_plan("basic"), retired(1), retired(2)], "plan basic does not exist"),
        (limit(5.0, 10.0), "plan p: its limit is below its reservation"),
        (vec![nowhere], "volume 9 works through no host"),
    ];
    for (changes, why) in cases {
        let mut l = begun();
        assert_eq!(land(&mut l, changes.clone()).unwrap_err().to_string(), why, "{changes:?}");
        assert_eq!(l, begun(), "nothing of it is done");
    }
    // Several as one may rest on each other.
    let mut l = begun();
    let all = vec![volume(1, "priority"), volume(2, "gold"), no_plan("basic"), plan("gold", 1.0)];
    assert!(land(&mut l, all).is_ok());
    assert_eq!((l.plan("basic"), l.volume(2).unwrap().plan.as_str()), (None, "gold"));
}

/// Two sessions that looked at the same version: the second is told what it collided with, or lands if they
/// have nothing to do with each other.
#[test]
fn two_at_once() {
    let cases: [(Vec<Change>, Vec<Change>, Option<&str>); 6] = [
        (vec![volume(1, "priority")], vec![volume(1, "basic"), plan("x", 1.0)], Some("volume 1")),
        (vec![volume(1, "priority")], vec![volume(2, "priority")], None),
        (vec![plan("basic", 5.0)], vec![volume(1, "priority")], None),
        (vec![plan("priority", 5.0)], vec![volume(1, "priority")], Some("plan priority")),
        (vec![retired(1)], vec![volume(1, "priority")], Some("volume 1")),
        // A plan is deleted while a volume is put on it: the one that comes second is refused.
        (vec![no_plan("priority")], vec![volume(1, "priority")], Some("plan priority")),
    ];
    for (first, second, collides) in cases {
        let mut l = begun();
        let looked_at = l.version();
        land(&mut l, first.clone()).unwrap();
        let with = l.version();
        let second = l.propose(looked_at, ("other", "at once"), Duration::ZERO, second.clone());
        match (collides, second) {
            (None, Ok(entry)) => assert_eq!(entry.version.0, with.0 + 1),
            (Some(subject), Err(Refused::Collision { subject: s, with: w })) => {
                assert_eq!((s.to_string().as_str(), w), (subject, with));
            }
            (expected, got) => panic!("{first:?}: expected {expected:?}, found {got:?}"),
        }
    }
    let mut l = begun();
    land(&mut l, vec![volume(1, "priority")]).unwrap();
    let delete = l.propose(Version(1), ("other", ""), Duration::ZERO, vec![no_plan("priority")]);
    assert_eq!(delete.unwrap_err().to_string(), "plan priority is in use by volume 1");
}

#[test]
fn undo_is_a_new_change_and_collides_like_one() {
    let mut l = begun();
    let moved = land(&mut l, vec![volume(1, "priority"), retired(2), plan("gold", 1.0)]).unwrap();
    land(&mut l, vec![volume(7, "basic")]).unwrap();
    let undo = l.undo(moved, ("clerk", "was wrong"), Duration::ZERO).unwrap();
    l.take(undo.clone()).unwrap();
    assert_eq!(
        (l.volume(1).unwrap().plan.as_str(), l.volume(2).is_some(), l.plan("gold")),
        ("basic", true, None)
    );
    assert_eq!(l.undo(moved, ("clerk", ""), Duration::ZERO).unwrap_err().to_string()[..9], *"plan gold");
    // And undone again.
    let redo = l.undo(undo.version, ("clerk", "was right"), Duration::ZERO).unwrap();
    l.take(redo).unwrap();
    assert_eq!((l.volume(1).unwrap().plan.as_str(), l.volume(2).is_some()), ("priority", false));
}

/// A feed that comes late, twice, or was set back: entries are taken once and in order, or not at all.
#[test]
fn a_follower_never_goes_back_and_never_skips() {
    let mut source = begun();
    let mut entries: Vec<Entry> = source.trail().cloned().collect();
    for n in 0..40 {
        land(&mut source, vec![volume(100 + n, "basic")]).unwrap();
        entries.push(source.trail().last().unwrap().clone());
    }
    for seed in 0..50 {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut host = Ledger::new(5);
        while host.version() < source.version() {
            let at = rng.random_range(0..entries.len());
            let before = host.version();
            match host.take(entries[at].clone()) {
                Ok(()) => assert_eq!(host.version().0, before.0 + 1),
                Err(OutOfOrder::Older) => assert!(entries[at].version <= before),
                Err(OutOfOrder::Gap { wants }) => assert!(wants < entries[at].version),
            }
        }
        assert_eq!((host.volume(139), host.trail().count()), (source.volume(139), 5));
    }
}

/// What is known of long ago is bounded, and who looked at that is told.
#[test]
fn beyond_the_trail_a_change_is_asked_again() {
    let mut l = Ledger::new(3);
    land(&mut l, vec![plan("basic", 1.0)]).unwrap();
    for n in 0..5 {
        land(&mut l, vec![volume(n, "basic")]).unwrap();
    }
    let propose = |at: u64| l.propose(Version(at), ("c", ""), Duration::ZERO, vec![volume(50, "basic")]);
    assert_eq!(propose(2), Err(Refused::TooOld { oldest: Version(4) }));
    assert!(propose(3).is_ok());
}

/// Any sequence of changes beside a plain model: what lands lands whole, what is refused changes nothing,
/// every volume stands on a plan that there is, and undoing all from the last to the first leads back.
#[test]
fn any_sequence_beside_a_plain_model() {
    for seed in 0..200 {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let (mut l, mut landed) = (Ledger::new(1000), Vec::new());
        let (mut plans, mut volumes) = (BTreeMap::<String, f64>::new(), BTreeMap::<u64, String>::new());
        for _ in 0..120 {
            let changes: Vec<Change> = (0..rng.random_range(1..4))
                .map(|_| {
                    let (name, id) = (format!("p{}", rng.random_range(0..4)), rng.random_range(0..6));
                    match rng.random_range(0..5) {
                        0 => no_plan(&name),
                        1 => plan(&name, f64::from(rng.random_range(0..5))),
                        2 => retired(id),
                        _ => volume(id, &name),
                    }
                })
                .collect();
            let before = l.clone();
            match land(&mut l, changes.clone()) {
                Err(_) => assert_eq!(l, before),
                Ok(version) => {
                    landed.push(version);
                    for change in changes {
                        match change {
                            Change::Plan { name, to: Some(p) } => drop(plans.insert(name, p.reservation)),
                            Change::Plan { name, to: None } => drop(plans.remove(&name)),
                            Change::Volume { id, to: Some(v) } => drop(volumes.insert(id, v.plan)),
                            Change::Volume { id, to: None } => drop(volumes.remove(&id)),
                        }
                    }
                }
            }
            assert!(volumes.values().all(|p| plans.contains_key(p)), "seed {seed}");
            (0..6).for_each(|id| assert_eq!(l.volume(id).map(|v| &v.plan), volumes.get(&id)));
            (0..4).for_each(|n| {
                let name = format!("p{n}");
                assert_eq!(l.plan(&name).map(|p| p.reservation), plans.get(&name).copied());
            });
        }
        while let Some(version) = landed.pop() {
            let wanted = l.trail().find(|e| e.version == version).expect("kept").before.clone();
            let undo =
                l.propose(l.version(), ("c", "back"), Duration::ZERO, wanted).expect("it was so before");
            l.take(undo).unwrap();
        }
        assert!(
            (0..6).all(|id| l.volume(id).is_none()) && (0..4).all(|n| l.plan(&format!("p{n}")).is_none())
        );
    }
}
