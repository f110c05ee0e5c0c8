//! Tests of the validation of changes and of the errors for invalid changes.

#![allow(clippy::too_many_lines)] // tables of cases

mod common;

use common::*;
use grebecleat_catalog::change::*;
use grebecleat_catalog::records::*;
use std::time::Duration;

#[test]
fn invalid_changes_are_rejected_with_their_reason() {
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
    let mut on_two_shards = volume(9, "basic");
    if let Change::Volume { to: Some(v), .. } = &mut on_two_shards {
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
        (vec![removal(7)], "volume 7 does not exist"),
        (vec![no_plan("gold")], "plan gold does not exist"),
        (vec![no_plan("basic")], "plan basic is in use by volume 1"),
        (
            vec![volume(1, "priority"), no_plan("basic")],
            "plan basic is in use by volume 2",
        ),
        (
            vec![volume(1, "priority"), removal(1)],
            "volume 1 is changed twice at once",
        ),
        (
            vec![volume(3, "basic"), no_plan("basic"), removal(1), removal(2)],
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
            vec![volume_on_hosts(9, "basic", &[])],
            "volume 9: works through no host",
        ),
        (
            vec![volume_on_hosts(9, "basic", &["k"])],
            "volume 9: works through k, which is no host here",
        ),
        (
            vec![volume_on_hosts(9, "basic", &["h", "h"])],
            "volume 9: works through one host twice",
        ),
        (
            vec![node(4, 1), on_two_shards.clone()],
            "volume 9: its data may lie in cell 7, which no node holds",
        ),
        (
            vec![node(4, 7), node(5, 1), drain(6)],
            "node 6 does not exist",
        ),
        (vec![target("t", &[1, 9])], "volume 9 does not exist"),
        (
            vec![target("t", &[1]), removal(1)],
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
            vec![scheduled(vec![volume_on_hosts(9, "basic", &[])])],
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
        let mut catalog = sample_catalog();
        assert_eq!(
            commit(&mut catalog, changes.clone())
                .unwrap_err()
                .to_string(),
            reason,
            "{changes:?}"
        );
        assert_eq!(catalog, sample_catalog(), "a rejected change has no effect");
    }
    // Changes of one proposal may depend on each other, in any order.
    let mut catalog = sample_catalog();
    let all = vec![
        volume(1, "priority"),
        volume(2, "gold"),
        no_plan("basic"),
        plan("gold", 1.0),
    ];
    assert!(commit(&mut catalog, all).is_ok());
    assert_eq!(
        (catalog.plan("basic"), &*catalog.volume(2).unwrap().plan),
        (None, "gold")
    );
    let all = vec![
        node(4, 1),
        node(5, 7),
        on_two_shards,
        volume(9, "gold"),
        drain(4),
        target("t", &[2]),
    ];
    let error = commit(&mut catalog, all.clone()).unwrap_err();
    assert_eq!(error.to_string(), "volume 9 is changed twice at once");
    assert!(commit(
        &mut catalog,
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
        (vec![removal(2)], "volume 2 is in use by target t"),
    ] {
        assert_eq!(
            commit(&mut catalog, changes).unwrap_err().to_string(),
            reason
        );
    }
    assert!(commit(&mut catalog, vec![removal(2), target("t", &[1])]).is_ok());
}

#[test]
fn a_drain_never_goes_back_and_node_names_are_unique() {
    use Stage::*;
    let stage = |stage| common::stage(4, stage);
    let named = |id, name: &str| {
        let to = Node {
            name: name.into(),
            zone: "a".into(),
            shard: id,
            ..Node::default()
        };
        Change::Node { id, to: Some(to) }
    };
    let mut catalog = sample_catalog();
    commit(&mut catalog, vec![named(4, "box4"), named(5, "box5")]).unwrap();
    assert_eq!(
        ["box4", "5", "box6", "6"].map(|n| catalog.node_by_name_or_number(n)),
        [Some(4), Some(5), None, None]
    );
    let rejected = [
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
    for (changes, reason) in rejected {
        assert_eq!(
            commit(&mut catalog, changes).unwrap_err().to_string(),
            reason
        );
    }
    commit(&mut catalog, vec![named(4, "box5"), named(5, "box4")])
        .expect("one proposal may swap two names");
    assert_eq!(
        ["box4", "box5"].map(|n| catalog.node_by_name_or_number(n)),
        [Some(5), Some(4)]
    );
    for (next, is_allowed) in [
        (Queued, true),
        (Draining, true),
        (Queued, false),
        (Drained, true),
        (Draining, false),
        (Removed, true),
    ] {
        assert_eq!(
            commit(&mut catalog, vec![stage(next)]).is_ok(),
            is_allowed,
            "{next:?}"
        );
    }
    commit(&mut catalog, vec![Change::Drain { node: 4, to: None }]).unwrap();
    commit(&mut catalog, vec![Change::Node { id: 4, to: None }]).unwrap();
    assert_eq!(catalog.node_by_name_or_number("box5"), None);
    catalog.revert_last();
    assert_eq!(catalog.node_by_name_or_number("box5"), Some(4));
}
