//! The catalog: collisions, undo, order, and the state beside a plain model under any sequence of changes.

use grebecleat_plans::changes::*;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;
use std::time::Duration;

fn plan(name: &str, reservation: f64) -> Change {
    let to = Some(Plan {
        rate: 100.0,
        reservation,
        weight: 1.0,
        ..Plan::default()
    });
    Change::Plan {
        name: name.into(),
        to,
    }
}

fn limited(name: &str, limit: f64, reservation: f64, burst: f64) -> Change {
    let to = Some(Plan {
        limit,
        reservation,
        burst,
        slack: limit,
        ..Plan::default()
    });
    Change::Plan {
        name: name.into(),
        to,
    }
}

fn no_plan(name: &str) -> Change {
    Change::Plan {
        name: name.into(),
        to: None,
    }
}

fn volume(id: u64, plan: &str) -> Change {
    through(id, plan, &["h"])
}

fn through(id: u64, plan: &str, hosts: &[&str]) -> Change {
    let hosts = hosts.iter().map(|h| Name::from(*h)).collect();
    let to = Some(Volume {
        plan: plan.into(),
        hosts,
        shards: [].into(),
        blocks: 8,
    });
    Change::Volume { id, to }
}

fn node(id: u32, shard: u32) -> Change {
    Change::Node {
        id,
        to: Some(Node {
            zone: "a".into(),
            shard,
            capacity: 100.0,
            ..Node::default()
        }),
    }
}

fn drain(node: u32) -> Change {
    Change::Drain {
        node,
        to: Some(Drain::default()),
    }
}

fn target(name: &str, volumes: &[u64]) -> Change {
    Change::Target {
        name: name.into(),
        to: Some(volumes.into()),
    }
}

fn by<'a>(author: &'a str, reason: &'a str) -> ChangeContext<'a> {
    ChangeContext {
        author,
        reason,
        ..ChangeContext::default()
    }
}

fn catalog(max_audit_log: usize) -> Catalog {
    let hosts = ["h", "i", "j"].map(Name::from).into();
    Catalog::new(
        Deployment {
            hosts,
            max_dispatch_delay: Duration::from_millis(250),
        },
        max_audit_log,
    )
}

fn retired(id: u64) -> Change {
    Change::Volume { id, to: None }
}

fn land(l: &mut Catalog, changes: Vec<Change>) -> Result<Version, ChangeError> {
    let revision = l.propose(l.version(), by("clerk", "test"), changes)?;
    l.apply(revision).expect("the next");
    Ok(l.version())
}

fn begun() -> Catalog {
    let mut l = catalog(100);
    land(
        &mut l,
        vec![
            plan("basic", 10.0),
            plan("priority", 50.0),
            volume(1, "basic"),
            volume(2, "basic"),
        ],
    )
    .unwrap();
    l
}

#[test]
fn what_is_refused_and_why() {
    let limit = |limit, reservation, burst, slack| {
        let to = Some(Plan {
            limit,
            reservation,
            burst,
            slack,
            ..Plan::default()
        });
        vec![Change::Plan {
            name: "p".into(),
            to,
        }]
    };
    let mut far = volume(9, "basic");
    if let Change::Volume { to: Some(v), .. } = &mut far {
        v.shards = [1, 7].into();
    }
    let scheduled = |changes| Change::Scheduled {
        id: 1,
        to: Some(ScheduledChange {
            at: Duration::ZERO,
            author: "c".into(),
            reason: "".into(),
            force: false,
            changes,
            expects: vec![],
        }),
    };
    let cases: [(Vec<Change>, &str); 26] = [
        (vec![], "changes nothing"),
        (vec![volume(1, "basic")], "changes nothing"),
        (vec![volume(1, "gold")], "plan gold does not exist"),
        (vec![retired(7)], "volume 7 does not exist"),
        (vec![no_plan("gold")], "plan gold does not exist"),
        (vec![no_plan("basic")], "plan basic is in use by volume 1"),
        (
            vec![volume(1, "priority"), no_plan("basic")],
            "plan basic is in use by volume 2",
        ),
        (
            vec![volume(1, "priority"), retired(1)],
            "volume 1 is changed twice at once",
        ),
        (
            vec![volume(3, "basic"), no_plan("basic"), retired(1), retired(2)],
            "plan basic does not exist",
        ),
        (
            limit(5.0, 10.0, 9.0, 9.0),
            "plan p: its limit is below its reservation",
        ),
        (
            limit(5.0, 1.0, 0.0, 9.0),
            "plan p: a limit needs a burst above 0",
        ),
        (
            limit(8.0, 1.0, 9.0, 1.0),
            "plan p: its slack is below what may still cross of its limit, 2",
        ),
        (
            limit(-1.0, 1.0, 9.0, 1.0),
            "plan p: a figure is negative or no number",
        ),
        (
            vec![through(9, "basic", &[])],
            "volume 9: works through no host",
        ),
        (
            vec![through(9, "basic", &["k"])],
            "volume 9: works through k, which is no host here",
        ),
        (
            vec![through(9, "basic", &["h", "h"])],
            "volume 9: works through one host twice",
        ),
        (
            vec![node(4, 1), far.clone()],
            "volume 9: its data may lie in cell 7, which no node holds",
        ),
        (
            vec![node(4, 7), node(5, 1), drain(6)],
            "node 6 does not exist",
        ),
        (vec![target("t", &[1, 9])], "volume 9 does not exist"),
        (
            vec![target("t", &[1]), retired(1)],
            "volume 1 does not exist",
        ),
        (
            vec![Change::Drain { node: 4, to: None }],
            "drain of node 4 does not exist",
        ),
        (
            vec![Change::Scheduled { id: 4, to: None }],
            "timed change 4 does not exist",
        ),
        (
            vec![scheduled(vec![scheduled(vec![])])],
            "timed change 1: a timed change within a timed change",
        ),
        (
            vec![scheduled(vec![through(9, "basic", &[])])],
            "volume 9: works through no host",
        ),
        (
            vec![Change::Node { id: 4, to: None }],
            "node 4 does not exist",
        ),
        (
            vec![Change::Target {
                name: "t".into(),
                to: None,
            }],
            "target t does not exist",
        ),
    ];
    for (changes, reason) in cases {
        let mut l = begun();
        assert_eq!(
            land(&mut l, changes.clone()).unwrap_err().to_string(),
            reason,
            "{changes:?}"
        );
        assert_eq!(l, begun(), "nothing of it is done");
    }
    // Several as one may rest on each other.
    let mut l = begun();
    let all = vec![
        volume(1, "priority"),
        volume(2, "gold"),
        no_plan("basic"),
        plan("gold", 1.0),
    ];
    assert!(land(&mut l, all).is_ok());
    assert_eq!(
        (l.plan("basic"), &*l.volume(2).unwrap().plan),
        (None, "gold")
    );
    let all = vec![
        node(4, 1),
        node(5, 7),
        far,
        volume(9, "gold"),
        drain(4),
        target("t", &[2]),
    ];
    let twice = land(&mut l, all.clone()).unwrap_err();
    assert_eq!(twice.to_string(), "volume 9 is changed twice at once");
    assert!(land(
        &mut l,
        all.into_iter()
            .filter(|c| *c != volume(9, "gold"))
            .map(|c| match c {
                Change::Volume { id, to } => Change::Volume {
                    id,
                    to: to.map(|v| Volume {
                        plan: "gold".into(),
                        ..v
                    })
                },
                c => c,
            })
            .collect()
    )
    .is_ok());
    for (changes, reason) in [
        (
            vec![Change::Node { id: 4, to: None }],
            "node 4 is in use by drain of node 4",
        ),
        (
            vec![Change::Node { id: 5, to: None }],
            "volume 9: its data may lie in cell 7, which no node holds",
        ),
        (
            vec![node(5, 8)],
            "volume 9: its data may lie in cell 7, which no node holds",
        ),
        (vec![retired(2)], "volume 2 is in use by target t"),
    ] {
        assert_eq!(land(&mut l, changes).unwrap_err().to_string(), reason);
    }
    assert!(land(&mut l, vec![retired(2), target("t", &[1])]).is_ok());
}

/// Drains go one way, and nodes have names of their own.
#[test]
fn drains_and_names_of_nodes() {
    use Stage::*;
    let stage = |stage| Change::Drain {
        node: 4,
        to: Some(Drain {
            stage,
            ..Drain::default()
        }),
    };
    let named = |id, name: &str| {
        let to = Node {
            name: name.into(),
            zone: "a".into(),
            shard: id,
            ..Node::default()
        };
        Change::Node { id, to: Some(to) }
    };
    let mut l = begun();
    land(&mut l, vec![named(4, "box4"), named(5, "box5")]).unwrap();
    assert_eq!(
        ["box4", "5", "box6", "6"].map(|n| l.node_called(n)),
        [Some(4), Some(5), None, None]
    );
    let refused = [
        (
            vec![stage(Drained)],
            "drain of node 4: cannot go from none to empty",
        ),
        (
            vec![named(6, "box5")],
            "node 6: node 5 is called box5 as well",
        ),
        (
            vec![named(6, "x"), named(7, "x")],
            "node 6: node 7 is called x as well",
        ),
        (
            vec![named(6, "77")],
            "node 6: its name, 77, is a number and might be another's",
        ),
    ];
    for (changes, reason) in refused {
        assert_eq!(land(&mut l, changes).unwrap_err().to_string(), reason);
    }
    land(&mut l, vec![named(4, "box5"), named(5, "box4")]).expect("they change places");
    assert_eq!(
        ["box4", "box5"].map(|n| l.node_called(n)),
        [Some(5), Some(4)]
    );
    for (next, fine) in [
        (Queued, true),
        (Draining, true),
        (Queued, false),
        (Drained, true),
        (Draining, false),
        (Removed, true),
    ] {
        assert_eq!(land(&mut l, vec![stage(next)]).is_ok(), fine, "{next:?}");
    }
    land(&mut l, vec![Change::Drain { node: 4, to: None }]).unwrap();
    land(&mut l, vec![Change::Node { id: 4, to: None }]).unwrap();
    assert_eq!(l.node_called("box5"), None);
    l.revert_last();
    assert_eq!(l.node_called("box5"), Some(4));
}

/// Which entries must be heard of by every host before they are over.
#[test]
fn what_takes_from_hosts_that_do_not_hear_of_it() {
    let mut l = begun();
    let first = vec![
        limited("capped", 20.0, 10.0, 40.0),
        limited("lower", 20.0, 8.0, 40.0),
        plan("free", 9.0),
    ];
    land(&mut l, first).unwrap();
    land(
        &mut l,
        vec![through(5, "capped", &["h", "i"]), volume(6, "free")],
    )
    .unwrap();
    let cases = [
        (
            "a higher limit",
            vec![limited("capped", 30.0, 10.0, 40.0)],
            false,
        ),
        (
            "a lower limit",
            vec![limited("capped", 15.0, 10.0, 40.0)],
            false,
        ),
        (
            "a lower reservation",
            vec![limited("capped", 20.0, 9.0, 40.0)],
            true,
        ),
        (
            "a smaller burst",
            vec![limited("capped", 20.0, 10.0, 39.0)],
            true,
        ),
        ("no limit any more", vec![plan("capped", 1.0)], false),
        (
            "a limit where there was none",
            vec![limited("free", 30.0, 9.0, 40.0)],
            true,
        ),
        (
            "a plan on which nothing stands",
            vec![limited("lower", 20.0, 1.0, 40.0)],
            false,
        ),
        (
            "a plan with less",
            vec![through(5, "lower", &["h", "i"])],
            true,
        ),
        (
            "a plan without a limit",
            vec![through(5, "free", &["h", "i"])],
            false,
        ),
        ("onto a limit", vec![volume(6, "capped")], true),
        (
            "one more host",
            vec![through(5, "capped", &["h", "i", "j"])],
            true,
        ),
        ("one host fewer", vec![through(5, "capped", &["h"])], true),
        (
            "another host",
            vec![through(5, "capped", &["h", "j"])],
            true,
        ),
        (
            "a new volume with a limit",
            vec![volume(7, "capped")],
            false,
        ),
        ("a new volume without", vec![volume(7, "free")], false),
        ("a retired volume", vec![retired(5)], false),
        (
            "a new limited plan and a volume on it",
            vec![limited("x", 9.0, 1.0, 9.0), volume(6, "x")],
            true,
        ),
    ];
    land(&mut l, vec![volume(8, "capped")]).unwrap();
    land(&mut l, vec![retired(8)]).unwrap();
    let again = (
        "a volume by the name of one that was",
        vec![volume(8, "capped")],
        true,
    );
    for (what, changes, lowers_limits) in cases.into_iter().chain([again]) {
        let revision = l.propose(l.version(), by("c", what), changes).unwrap();
        assert_eq!(revision.lowers_limits, lowers_limits, "{what}");
    }
}

/// What was never kept is taken back, and one state is brought to another.
#[test]
fn back_and_towards() {
    let mut l = begun();
    let before = l.clone();
    land(
        &mut l,
        vec![
            volume(1, "priority"),
            retired(2),
            plan("x", 1.0),
            node(1, 1),
            drain(1),
        ],
    )
    .unwrap();
    let after = l.clone();
    assert!(l.revert_last().is_some());
    let all = |l: &Catalog| l.state().collect::<Vec<_>>();
    assert_eq!((all(&l), l.version()), (all(&before), before.version()));
    for (from, to) in [(&before, &after), (&after, &before)] {
        let mut l = from.clone();
        land(&mut l, from.changes_towards(to)).unwrap();
        assert_eq!(all(&l), all(to));
        assert!(l.changes_towards(to).is_empty());
    }
}

/// Two sessions that looked at the same version: the second is told what it collided with, or lands if they
/// have nothing to do with each other.
#[test]
fn two_at_once() {
    let cases: [(Vec<Change>, Vec<Change>, Option<&str>); 6] = [
        (
            vec![volume(1, "priority")],
            vec![volume(1, "basic"), plan("x", 1.0)],
            Some("volume 1"),
        ),
        (
            vec![volume(1, "priority")],
            vec![volume(2, "priority")],
            None,
        ),
        (vec![plan("basic", 5.0)], vec![volume(1, "priority")], None),
        (
            vec![plan("priority", 5.0)],
            vec![volume(1, "priority")],
            Some("plan priority"),
        ),
        (
            vec![retired(1)],
            vec![volume(1, "priority")],
            Some("volume 1"),
        ),
        // A plan is deleted while a volume is put on it: the one that comes second is refused.
        (
            vec![no_plan("priority")],
            vec![volume(1, "priority")],
            Some("plan priority"),
        ),
    ];
    for (first, second, collides) in cases {
        let mut l = begun();
        let base_version = l.version();
        land(&mut l, first.clone()).unwrap();
        let with = l.version();
        let second = l.propose(base_version, by("other", "at once"), second.clone());
        match (collides, second) {
            (None, Ok(revision)) => assert_eq!(revision.version.0, with.0 + 1),
            (
                Some(subject),
                Err(ChangeError::Collision {
                    subject: s,
                    with: w,
                    ..
                }),
            ) => {
                assert_eq!((s.to_string().as_str(), w), (subject, with));
            }
            (expected, got) => panic!("{first:?}: expected {expected:?}, found {got:?}"),
        }
    }
    let mut l = begun();
    land(&mut l, vec![volume(1, "priority")]).unwrap();
    let delete = l.propose(Version(1), by("other", ""), vec![no_plan("priority")]);
    assert_eq!(
        delete.unwrap_err().to_string(),
        "plan priority is in use by volume 1"
    );
}

#[test]
fn undo_is_a_new_change_and_collides_like_one() {
    let mut l = begun();
    let moved = land(
        &mut l,
        vec![volume(1, "priority"), retired(2), plan("gold", 1.0)],
    )
    .unwrap();
    land(&mut l, vec![volume(7, "basic")]).unwrap();
    let undo = l.undo(moved, by("clerk", "was wrong")).unwrap();
    l.apply(undo.clone()).unwrap();
    assert_eq!(
        (
            l.volume(1).unwrap().plan.to_string(),
            l.volume(2).is_some(),
            l.plan("gold")
        ),
        ("basic".to_string(), true, None)
    );
    assert_eq!(
        l.undo(moved, by("clerk", "")).unwrap_err().to_string()[..9],
        *"plan gold"
    );
    // And undone again.
    let redo = l.undo(undo.version, by("clerk", "was right")).unwrap();
    l.apply(redo).unwrap();
    assert_eq!(
        (l.volume(1).unwrap().plan.to_string(), l.volume(2).is_some()),
        ("priority".to_string(), false)
    );
}

/// A feed that comes late, twice, or was set back: entries are taken once and in order, or not at all.
#[test]
fn a_follower_never_goes_back_and_never_skips() {
    let mut leader = begun();
    let mut revisions: Vec<Revision> = leader.audit_log().cloned().collect();
    for n in 0..40 {
        land(&mut leader, vec![volume(100 + n, "basic")]).unwrap();
        revisions.push(leader.audit_log().last().unwrap().clone());
    }
    for seed in 0..50 {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut host = catalog(5);
        while host.version() < leader.version() {
            let at = rng.random_range(0..revisions.len());
            let before = host.version();
            match host.apply(revisions[at].clone()) {
                Ok(()) => assert_eq!(host.version().0, before.0 + 1),
                Err(OutOfOrder::Older) => assert!(revisions[at].version <= before),
                Err(OutOfOrder::Gap { expected }) => assert!(expected < revisions[at].version),
            }
        }
        assert_eq!(
            (host.volume(139), host.audit_log().count()),
            (leader.volume(139), 5)
        );
    }
}

/// What is known of long ago is bounded, and who looked at that is told.
#[test]
fn beyond_the_audit_log_a_change_is_asked_again() {
    let mut l = catalog(3);
    land(&mut l, vec![plan("basic", 1.0)]).unwrap();
    for n in 0..5 {
        land(&mut l, vec![volume(n, "basic")]).unwrap();
    }
    let propose = |at: u64| l.propose(Version(at), by("c", ""), vec![volume(50, "basic")]);
    assert_eq!(propose(2), Err(ChangeError::TooOld { oldest: Version(4) }));
    assert!(propose(3).is_ok());
}

/// Any sequence of changes beside a plain model: what lands lands whole, what is refused changes nothing,
/// every volume stands on a plan that there is, and undoing all from the last to the first leads back.
#[test]
fn any_sequence_beside_a_plain_model() {
    for seed in 0..200 {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let (mut l, mut landed) = (catalog(1000), Vec::new());
        let (mut plans, mut volumes) = (
            BTreeMap::<String, f64>::new(),
            BTreeMap::<u64, String>::new(),
        );
        for _ in 0..120 {
            let changes: Vec<Change> = (0..rng.random_range(1..4))
                .map(|_| {
                    let (name, id) = (
                        format!("p{}", rng.random_range(0..4)),
                        rng.random_range(0..6),
                    );
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
                            Change::Plan { name, to: Some(p) } => {
                                _ = plans.insert(name.to_string(), p.reservation)
                            }
                            Change::Plan { name, to: None } => drop(plans.remove(&*name)),
                            Change::Volume { id, to: Some(v) } => {
                                drop(volumes.insert(id, v.plan.to_string()))
                            }
                            Change::Volume { id, to: None } => drop(volumes.remove(&id)),
                            _ => unreachable!("not drawn"),
                        }
                    }
                }
            }
            assert!(
                volumes.values().all(|p| plans.contains_key(p)),
                "seed {seed}"
            );
            (0..6).for_each(|id| {
                assert_eq!(
                    l.volume(id).map(|v| v.plan.to_string()),
                    volumes.get(&id).cloned()
                )
            });
            (0..4).for_each(|n| {
                let name = format!("p{n}");
                assert_eq!(
                    l.plan(&name).map(|p| p.reservation),
                    plans.get(&name).copied()
                );
            });
        }
        while let Some(version) = landed.pop() {
            let wanted = l
                .audit_log()
                .find(|e| e.version == version)
                .expect("kept")
                .before
                .clone();
            let undo = l
                .propose(l.version(), by("c", "back"), wanted)
                .expect("it was so before");
            l.apply(undo).unwrap();
        }
        assert!(
            (0..6).all(|id| l.volume(id).is_none())
                && (0..4).all(|n| l.plan(&format!("p{n}")).is_none())
        );
    }
}
