//! Tests of single decisions of the leader: commits, admission, scheduled changes, polls, the stable
//! version and epochs.

#[path = "../common/mod.rs"]
mod common;
mod rig;

use grebecleat_catalog::change::*;
use grebecleat_catalog::feed::HostNumber;
use grebecleat_catalog::leader::*;
use grebecleat_catalog::records::*;
use rig::*;

#[test]
fn a_change_is_not_announced_before_it_is_persisted() {
    let mut rig = Rig::with_two_volumes();
    let first = rig.propose(vec![volume(1, "gold")], |_| ());
    let second = rig.propose(vec![plan("more", 1.0)], |_| ());
    assert_eq!(
        (rig.take_texts(), rig.leader.persisted()),
        (vec![], Version(2))
    );
    // Two changes are pending at once, and are persisted together.
    rig.persist();
    assert_eq!(
        rig.take_texts(),
        [
            format!("{}: committed 3", first.0),
            format!("{}: committed 4", second.0)
        ]
    );
    // A change that depends on one that cannot be persisted fails with it.
    let first = rig.propose(vec![plan("x", 1.0)], |_| ());
    let second = rig.propose(vec![volume(3, "x")], |p| p.base_version = Version(5));
    let number = rig.pending_writes[0].0;
    rig.pending_writes.clear();
    rig.step(vec![Event::PersistFailed {
        number,
        reason: "disk full".into(),
    }]);
    let texts = rig.take_texts();
    assert!(
        texts.contains(&format!("{}: not kept: disk full", first.0)),
        "{texts:?}"
    );
    assert!(
        texts.contains(&format!("{}: not kept: disk full", second.0)),
        "{texts:?}"
    );
    assert_eq!(
        (
            rig.leader.catalog().version(),
            rig.leader.catalog().plan("x")
        ),
        (Version(4), None)
    );
    // A failure reported for a write that was cancelled with the first is ignored.
    rig.step(vec![Event::PersistFailed {
        number: number + 1,
        reason: "it depends on the first".into(),
    }]);
    assert!(rig.take_texts().is_empty());
    // The change can be proposed again once the disk has space.
    rig.now += ms(2000);
    let first = rig.propose(vec![plan("x", 1.0)], |_| ());
    rig.persist();
    assert_eq!(rig.take_texts(), [format!("{}: committed 5", first.0)]);
}

#[test]
fn a_concurrent_change_is_rejected_with_its_collision() {
    let mut rig = Rig::with_two_volumes();
    let first = rig.propose(vec![volume(1, "gold")], |_| ());
    let second = rig.propose(vec![volume(1, "basic"), plan("basic", 11.0)], |p| {
        p.author = "other".into()
    });
    let third = rig.propose(vec![volume(2, "gold")], |p| p.author = "other".into());
    rig.persist();
    let texts = rig.take_texts();
    assert!(
        texts.contains(&format!("{}: committed 3", first.0))
            && texts.contains(&format!("{}: committed 4", third.0)),
        "{texts:?}"
    );
    let collision = format!(
        "{}: volume 1 was changed meanwhile, by entry 3 of operator",
        second.0
    );
    assert!(texts.contains(&collision), "{texts:?}");
}

#[test]
fn objections_reject_a_change_unless_it_is_forced() {
    let mut rig = Rig::with_two_volumes();
    let three_volumes = vec![volume(3, "gold"), volume(4, "gold"), volume(5, "gold")];
    let first = rig.propose(three_volumes.clone(), |_| ());
    let reason = "40.0 units a second of reserves cannot be met; what gives way: volume 5 by 40.0";
    assert_eq!(rig.take_texts(), [format!("{}: {reason}", first.0)]);
    assert!(rig.leader.catalog().volume(3).is_none() && rig.pending_writes.is_empty());
    // A dry run gives the same reasons and commits nothing, not even a change without objections.
    let preview = rig.propose(three_volumes.clone(), |p| p.dry_run = true);
    let allowed = rig.propose(vec![volume(3, "gold")], |p| p.dry_run = true);
    assert_eq!(
        rig.take_texts(),
        [
            format!("{}: preview {reason}", preview.0),
            format!("{}: preview", allowed.0)
        ]
    );
    assert!(
        rig.leader.catalog().volume(3).is_none()
            && rig.pending_writes.is_empty()
            && rig.leader.admission().shortfall().short == 0.0
    );
    let second = rig.propose(three_volumes, |p| p.force = true);
    rig.persist();
    assert_eq!(rig.take_texts(), [format!("{}: committed 3", second.0)]);
    assert_eq!(
        rig.leader.catalog().audit_log().last().unwrap().objections,
        reason,
        "the audit log records the objections that were overridden"
    );
    let third = rig.new_call();
    rig.step(vec![Event::Undo {
        call: third,
        author: "operator".into(),
        reason: "too much".into(),
        revision: Version(3),
        force: false,
    }]);
    rig.persist();
    assert!(
        rig.leader.catalog().volume(3).is_none() && rig.leader.admission().shortfall().short == 0.0
    );
}

#[test]
fn a_scheduled_change_is_committed_lapses_or_is_cancelled() {
    let mut rig = Rig::with_two_volumes();
    let at = |after: u64| Some(ms(1_000_000) + ms(1000 + after));
    rig.propose(vec![volume(1, "gold")], |p| p.at = at(5000));
    rig.propose(vec![volume(2, "gold")], |p| p.at = at(6000));
    rig.propose(vec![plan("gold", 30.0)], |p| p.at = at(7000));
    let invalid = rig.propose(vec![volume(1, "none")], |p| p.at = at(7000));
    rig.persist();
    let texts = rig.take_texts();
    assert!(
        texts.contains(&format!("{}: plan none does not exist", invalid.0)),
        "an invalid change is rejected when it is scheduled, not when it is due: {texts:?}"
    );
    assert_eq!(rig.leader.wake_at(), Some(ms(6000)));
    // Before they are due, an operator changes the volume of the second and cancels the third.
    rig.propose(vec![Change::Volume { id: 2, to: None }], |_| ());
    rig.propose(vec![Change::Scheduled { id: 3, to: None }], |_| ());
    rig.persist();
    rig.take_texts();
    rig.now = ms(6000);
    rig.step(vec![]);
    assert_eq!(&*rig.leader.catalog().volume(1).unwrap().plan, "gold");
    rig.now = ms(9000);
    rig.step(vec![]);
    rig.persist();
    assert_eq!(
        rig.take_texts(),
        ["timed change 2 of operator lapses: volume 2 has changed since it was asked for"]
    );
    assert_eq!(
        (
            rig.leader.catalog().scheduled().count(),
            rig.leader.catalog().volume(2)
        ),
        (0, None)
    );
    assert_eq!(rig.leader.catalog().plan("gold").unwrap().reservation, 40.0);
    let last = rig.leader.catalog().audit_log().last().unwrap();
    assert!(last.reason.starts_with("lapsed"), "{last:?}");
    // Undoing the committed revision does not schedule its change again.
    let committed = rig
        .leader
        .catalog()
        .audit_log()
        .find(|revision| revision.changes.contains(&volume(1, "gold")))
        .unwrap()
        .version;
    let call = rig.new_call();
    rig.step(vec![Event::Undo {
        call,
        author: "operator".into(),
        reason: "".into(),
        revision: committed,
        force: false,
    }]);
    rig.persist();
    assert_eq!(
        (
            rig.leader.catalog().scheduled().count(),
            &*rig.leader.catalog().volume(1).unwrap().plan
        ),
        (0, "basic")
    );
}

#[test]
fn a_poll_is_answered_when_there_is_news_or_after_a_third_of_the_lease() {
    let mut rig = Rig::with_two_volumes();
    let first = rig.poll(0, 0, 0);
    // The leader persists the version that the host has applied before it grants a lease.
    assert!(
        rig.take_texts().is_empty()
            && matches!(
                rig.pending_writes[..],
                [.., (_, Persist::Applied(HostNumber(0), Version(0)))]
            )
    );
    rig.persist();
    assert_eq!(
        rig.take_texts(),
        [format!("{}: 2 to 2, stable 2, snapshot", first.0)]
    );
    let second = rig.poll(0, 2, 2);
    rig.persist();
    assert!(rig.take_texts().is_empty());
    rig.now += ms(1000);
    rig.step(vec![]);
    assert_eq!(
        rig.take_texts(),
        [format!("{}: 2 to 2, stable 2", second.0)]
    );
    let third = rig.poll(0, 2, 2);
    rig.propose(vec![plan("x", 1.0)], |_| ());
    assert!(rig.take_texts().is_empty());
    rig.persist();
    let texts = rig.take_texts();
    assert!(
        texts.contains(&format!("{}: 2 to 3, stable 2", third.0)),
        "{texts:?}"
    );
    // The host's acknowledgement makes the version stable, and the next response carries the new stable
    // version.
    let fourth = rig.poll(0, 3, 2);
    rig.persist();
    assert_eq!(
        rig.take_texts(),
        [format!("{}: 3 to 3, stable 3", fourth.0)]
    );
    let fifth = rig.new_call();
    rig.step(vec![Event::Polled {
        call: fifth,
        host: HostNumber(9),
        epoch: Epoch(7),
        applied: Version(3),
        stable: Version(3),
        acknowledged: Version(3),
    }]);
    assert_eq!(
        rig.take_texts(),
        [format!("{}: this host is not in the settings", fifth.0)]
    );
}

/// A version that lowers the quota a host has without a lease is stable only after the host has
/// acknowledged it, or an operator has guaranteed that the host is removed.
#[test]
fn a_silent_host_delays_the_stable_version_of_a_lowered_limit() {
    let mut rig = Rig::with_two_volumes();
    rig.poll(0, 0, 0);
    rig.poll(1, 0, 0);
    rig.persist();
    rig.poll(0, 2, 2);
    rig.poll(1, 2, 2);
    rig.persist();
    rig.propose(vec![plan("y", 1.0)], |_| ());
    rig.propose(vec![limited("basic", 20.0, 10.0, 20.0)], |_| ());
    rig.persist();
    rig.poll(0, 4, 2);
    rig.persist();
    assert_eq!(rig.leader.stable(), Version(2));
    assert_eq!(rig.leader.waits_for(Version(4)), [("h2".into(), false)]);
    // The host's lease ends. Version 3 does not lower its quota without a lease and becomes stable;
    // version 4, with the lower limit, does not.
    rig.now += ms(3600);
    rig.step(vec![]);
    rig.persist();
    assert_eq!(
        (rig.leader.stable(), rig.leader.waits_for(Version(4))),
        (Version(3), vec![("h2".into(), true)])
    );
    let call = rig.new_call();
    rig.step(vec![Event::HostRemoved {
        call,
        host: HostNumber(1),
        author: "operator".into(),
    }]);
    rig.persist();
    assert_eq!(
        (rig.leader.stable(), rig.leader.waits_for(Version(4))),
        (Version(4), vec![])
    );
    // The number of a removed volume cannot be used again before the removal is stable.
    rig.poll(1, 2, 2);
    rig.propose(vec![Change::Volume { id: 2, to: None }], |_| ());
    rig.persist();
    rig.take_texts();
    let reused = rig.propose(vec![volume(2, "basic")], |_| ());
    assert_eq!(
        rig.take_texts(),
        [format!(
            "{}: volume 2 was before, and entry 5 that ended it is not settled yet",
            reused.0
        )]
    );
}

/// After a restore, a host may have applied revisions of another history under the same version
/// numbers; only the epoch tells the histories apart.
#[test]
fn no_host_is_granted_a_lease_while_one_follows_another_history() {
    let mut rig = Rig::with_two_volumes();
    let first = rig.new_call();
    let polled = |call, epoch, applied| Event::Polled {
        call,
        host: HostNumber(0),
        epoch: Epoch(epoch),
        applied: Version(applied),
        stable: Version(0),
        acknowledged: Version(applied),
    };
    rig.step(vec![polled(first, 6, 2)]);
    assert_eq!(
        rig.take_texts(),
        [format!("{}: behind 2", first.0)],
        "the host has the same version, of another history"
    );
    let second = rig.poll(1, 2, 2);
    assert_eq!(
        rig.take_texts(),
        [format!("{}: behind 2", second.0)],
        "the other host is granted no lease either"
    );
    let third = rig.new_call();
    rig.step(vec![Event::ForceEpoch {
        call: third,
        author: "operator".into(),
        reason: "restored".into(),
    }]);
    rig.persist();
    assert_eq!(rig.take_texts(), [format!("{}: committed 3", third.0)]);
    let fourth = rig.new_call();
    rig.step(vec![polled(fourth, 6, 2)]);
    rig.persist();
    assert_eq!(
        rig.take_texts(),
        [format!("{}: 2 to 3, stable 2, snapshot", fourth.0)]
    );
}
