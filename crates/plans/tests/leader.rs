//! The state service's decisions, case by case.

use grebecleat_plans::admission::join_reasons;
use grebecleat_plans::changes::*;
use grebecleat_plans::feed::HostNumber;
use grebecleat_plans::leader::*;
use std::collections::BTreeMap;
use std::time::Duration;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

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

fn volume(id: u64, plan: &str) -> Change {
    let (plan, hosts, shards) = (plan.into(), ["h1".into(), "h2".into()].into(), [1].into());
    Change::Volume {
        id,
        to: Some(Volume {
            plan,
            hosts,
            shards,
            blocks: 8,
        }),
    }
}

fn node(id: u32, capacity: f64) -> Change {
    Change::Node {
        id,
        to: Some(Node {
            zone: "a".into(),
            shard: id,
            capacity,
            ..Node::default()
        }),
    }
}

/// A service with a disk that keeps when it is told to.
struct Rig {
    s: Leader,
    now: Duration,
    sent: Vec<(u64, Persist)>,
    said: Vec<Action>,
    calls: u64,
}

impl Rig {
    fn new() -> Rig {
        let facts = Deployment {
            hosts: ["h1", "h2"].map(Name::from).into(),
            max_dispatch_delay: Duration::ZERO,
        };
        let catalog = Catalog::new(facts, 50);
        let (applied, hosts, epochs) = (
            BTreeMap::new(),
            ["h1", "h2"].map(Name::from).to_vec(),
            Vec::new(),
        );
        let (stable, epoch, epoch_forced_at) = (Version(0), Epoch(7), Version(0));
        let start = InitialState {
            catalog,
            stable,
            applied,
            hosts,
            epoch,
            epochs,
            epoch_forced_at,
        };
        let s = Leader::new(start, ms(3000), ms(500), 2.0, ms(1000));
        Rig {
            s,
            now: ms(1000),
            sent: Vec::new(),
            said: Vec::new(),
            calls: 0,
        }
    }

    /// Three plans and two volumes, kept.
    fn begun() -> Rig {
        let mut r = Rig::new();
        r.propose(
            vec![plan("basic", 10.0), plan("gold", 40.0), node(1, 100.0)],
            |_| (),
        );
        r.keep();
        r.propose(vec![volume(1, "basic"), volume(2, "basic")], |_| ());
        r.keep();
        r.said.clear();
        r
    }

    fn step(&mut self, events: Vec<Event>) {
        for action in self.s.step(self.now, self.now + ms(1_000_000), events) {
            match action {
                Action::Persist { number, what } => self.sent.push((number, what)),
                other => self.said.push(other),
            }
        }
    }

    fn call(&mut self) -> CallId {
        self.calls += 1;
        CallId(self.calls)
    }

    fn propose(&mut self, changes: Vec<Change>, with: impl FnOnce(&mut Proposal)) -> CallId {
        let call = self.call();
        let base_version = self.s.persisted();
        let (author, reason) = ("clerk".to_string(), "test".to_string());
        let mut proposal = Proposal {
            author,
            reason,
            base_version,
            changes,
            at: None,
            force: false,
            dry_run: false,
        };
        with(&mut proposal);
        self.step(vec![Event::Proposed { call, proposal }]);
        call
    }

    fn keep(&mut self) {
        while let Some((upto, _)) = self.sent.last().map(|s| (s.0, ())) {
            self.sent.clear();
            self.step(vec![Event::Persisted { upto }]);
        }
    }

    fn ask(&mut self, host: u32, applied: u64, stable: u64) -> CallId {
        let call = self.call();
        let (host, epoch) = (
            HostNumber(host),
            if applied == 0 { Epoch(0) } else { Epoch(7) },
        );
        let (applied, stable) = (Version(applied), Version(stable));
        self.step(vec![Event::Polled {
            call,
            host,
            epoch,
            applied,
            stable,
            acknowledged: applied,
        }]);
        call
    }

    /// What was said since the last look, in short.
    fn said(&mut self) -> Vec<String> {
        let short = |a: Action| match a {
            Action::Grant {
                call,
                from,
                to,
                snapshot,
                stable,
                ..
            } => {
                format!(
                    "{}: {} to {}, settled {}{}",
                    call.0,
                    from.0,
                    to.0,
                    stable.0,
                    if snapshot { ", whole" } else { "" }
                )
            }
            Action::Behind { call, applied } => format!("{}: behind {}", call.0, applied.0),
            Action::Committed {
                call,
                version,
                verdict,
            } => {
                let warned = join_reasons(&verdict.warnings);
                format!("{}: landed {} {warned}", call.0, version.0)
                    .trim_end()
                    .to_string()
            }
            Action::Reject { call, reason } => format!("{}: {reason}", call.0),
            Action::Preview { call, verdict } => {
                format!("{}: would {}", call.0, join_reasons(&verdict.objections))
                    .trim_end()
                    .to_string()
            }
            Action::Note { text } => text,
            Action::Persist { .. } => unreachable!("taken out"),
        };
        std::mem::take(&mut self.said)
            .into_iter()
            .map(short)
            .collect()
    }
}

#[test]
fn nobody_is_told_of_what_is_not_persisted() {
    let mut r = Rig::begun();
    let a = r.propose(vec![volume(1, "gold")], |_| ());
    let b = r.propose(vec![plan("more", 1.0)], |_| ());
    assert_eq!((r.said(), r.s.persisted()), (vec![], Version(2)));
    // Two are on their way at once, and are kept together.
    r.keep();
    assert_eq!(
        r.said(),
        [format!("{}: landed 3", a.0), format!("{}: landed 4", b.0)]
    );
    // What rests on one that cannot be kept falls with it.
    let a = r.propose(vec![plan("x", 1.0)], |_| ());
    let b = r.propose(vec![volume(3, "x")], |p| p.base_version = Version(5));
    let number = r.sent[0].0;
    r.sent.clear();
    r.step(vec![Event::PersistFailed {
        number,
        reason: "disk full".into(),
    }]);
    let told = r.said();
    assert!(
        told.contains(&format!("{}: not kept: disk full", a.0)),
        "{told:?}"
    );
    assert!(
        told.contains(&format!("{}: not kept: disk full", b.0)),
        "{told:?}"
    );
    assert_eq!(
        (r.s.catalog().version(), r.s.catalog().plan("x")),
        (Version(4), None)
    );
    // What the disk says later of what was taken back counts for nothing.
    r.step(vec![Event::PersistFailed {
        number: number + 1,
        reason: "it rests on the first".into(),
    }]);
    assert!(r.said().is_empty());
    // And can be asked again once there is room.
    r.now += ms(2000);
    let a = r.propose(vec![plan("x", 1.0)], |_| ());
    r.keep();
    assert_eq!(r.said(), [format!("{}: landed 5", a.0)]);
}

#[test]
fn two_sessions_at_once_and_what_the_second_is_told() {
    let mut r = Rig::begun();
    let a = r.propose(vec![volume(1, "gold")], |_| ());
    let b = r.propose(vec![volume(1, "basic"), plan("basic", 11.0)], |p| {
        p.author = "other".into()
    });
    let c = r.propose(vec![volume(2, "gold")], |p| p.author = "other".into());
    r.keep();
    let told = r.said();
    assert!(
        told.contains(&format!("{}: landed 3", a.0))
            && told.contains(&format!("{}: landed 4", c.0)),
        "{told:?}"
    );
    let collided = format!(
        "{}: volume 1 was changed meanwhile, by entry 3 of clerk",
        b.0
    );
    assert!(told.contains(&collided), "{told:?}");
}

#[test]
fn what_speaks_against_a_change_keeps_it_out_unless_it_is_forced() {
    let mut r = Rig::begun();
    let more = vec![volume(3, "gold"), volume(4, "gold"), volume(5, "gold")];
    let a = r.propose(more.clone(), |_| ());
    let reason = "40.0 units a second of reserves cannot be met; what gives way: volume 5 by 40.0";
    assert_eq!(r.said(), [format!("{}: {reason}", a.0)]);
    assert!(r.s.catalog().volume(3).is_none() && r.sent.is_empty());
    // Whoever only looks is told the same, and nothing lands, not even what nothing speaks against.
    let looks = r.propose(more.clone(), |p| p.dry_run = true);
    let fine = r.propose(vec![volume(3, "gold")], |p| p.dry_run = true);
    assert_eq!(
        r.said(),
        [
            format!("{}: would {reason}", looks.0),
            format!("{}: would", fine.0)
        ]
    );
    assert!(
        r.s.catalog().volume(3).is_none()
            && r.sent.is_empty()
            && r.s.admission().shortfall().short == 0.0
    );
    let b = r.propose(more, |p| p.force = true);
    r.keep();
    assert_eq!(r.said(), [format!("{}: landed 3", b.0)]);
    assert_eq!(
        r.s.catalog().audit_log().last().unwrap().objections,
        reason,
        "and the trail says so"
    );
    let c = r.call();
    let (author, reason) = ("clerk".to_string(), "too much".to_string());
    r.step(vec![Event::Undo {
        call: c,
        author,
        reason,
        revision: Version(3),
        force: false,
    }]);
    r.keep();
    assert!(r.s.catalog().volume(3).is_none() && r.s.admission().shortfall().short == 0.0);
}

#[test]
fn a_scheduled_change_lands_lapses_or_is_called_off() {
    let mut r = Rig::begun();
    let at = |after: u64| Some(ms(1_000_000) + ms(1000 + after));
    r.propose(vec![volume(1, "gold")], |p| p.at = at(5000));
    r.propose(vec![volume(2, "gold")], |p| p.at = at(6000));
    r.propose(vec![plan("gold", 30.0)], |p| p.at = at(7000));
    let bad = r.propose(vec![volume(1, "none")], |p| p.at = at(7000));
    r.keep();
    let told = r.said();
    assert!(
        told.contains(&format!("{}: plan none does not exist", bad.0)),
        "told now and not at night: {told:?}"
    );
    assert_eq!(r.s.wake_at(), Some(ms(6000)));
    // Somebody changes one of them first, and calls another off.
    r.propose(vec![Change::Volume { id: 2, to: None }], |_| ());
    r.propose(vec![Change::Scheduled { id: 3, to: None }], |_| ());
    r.keep();
    r.said();
    r.now = ms(6000);
    r.step(vec![]);
    assert_eq!(&*r.s.catalog().volume(1).unwrap().plan, "gold");
    r.now = ms(9000);
    r.step(vec![]);
    r.keep();
    assert_eq!(
        r.said(),
        ["timed change 2 of clerk lapses: volume 2 has changed since it was asked for"]
    );
    assert_eq!(
        (r.s.catalog().scheduled().count(), r.s.catalog().volume(2)),
        (0, None)
    );
    assert_eq!(r.s.catalog().plan("gold").unwrap().reservation, 40.0);
    let last = r.s.catalog().audit_log().last().unwrap();
    assert!(last.reason.starts_with("lapsed"), "{last:?}");
    // Undoing what landed does not bring its time back.
    let landed =
        r.s.catalog()
            .audit_log()
            .find(|e| e.changes.contains(&volume(1, "gold")))
            .unwrap()
            .version;
    let call = r.call();
    r.step(vec![Event::Undo {
        call,
        author: "clerk".into(),
        reason: "".into(),
        revision: landed,
        force: false,
    }]);
    r.keep();
    assert_eq!(
        (
            r.s.catalog().scheduled().count(),
            &*r.s.catalog().volume(1).unwrap().plan
        ),
        (0, "basic")
    );
}

#[test]
fn a_host_is_answered_when_there_is_news_or_a_third_of_its_lease_is_over() {
    let mut r = Rig::begun();
    let a = r.ask(0, 0, 0);
    // That it was ever heard of is kept before it is granted anything.
    assert!(
        r.said().is_empty()
            && matches!(
                r.sent[..],
                [.., (_, Persist::Has(HostNumber(0), Version(0)))]
            )
    );
    r.keep();
    assert_eq!(r.said(), [format!("{}: 2 to 2, settled 2, whole", a.0)]);
    let b = r.ask(0, 2, 2);
    r.keep();
    assert!(r.said().is_empty());
    r.now += ms(1000);
    r.step(vec![]);
    assert_eq!(r.said(), [format!("{}: 2 to 2, settled 2", b.0)]);
    let c = r.ask(0, 2, 2);
    r.propose(vec![plan("x", 1.0)], |_| ());
    assert!(r.said().is_empty());
    r.keep();
    let told = r.said();
    assert!(
        told.contains(&format!("{}: 2 to 3, settled 2", c.0)),
        "{told:?}"
    );
    // Its word settles it, and the next answer says so.
    let d = r.ask(0, 3, 2);
    r.keep();
    assert_eq!(r.said(), [format!("{}: 3 to 3, settled 3", d.0)]);
    let e = r.call();
    r.step(vec![Event::Polled {
        call: e,
        host: HostNumber(9),
        epoch: Epoch(7),
        applied: Version(3),
        stable: Version(3),
        acknowledged: Version(3),
    }]);
    assert_eq!(
        r.said(),
        [format!("{}: this host is not in the settings", e.0)]
    );
}

/// A change that takes of what a host has unheard waits for its word, or an operator's.
#[test]
fn a_silent_host_holds_up_what_it_must_hear_of() {
    let mut r = Rig::begun();
    r.ask(0, 0, 0);
    r.ask(1, 0, 0);
    r.keep();
    r.ask(0, 2, 2);
    r.ask(1, 2, 2);
    r.keep();
    let limited = |limit: f64, reservation: f64| {
        let to = Some(Plan {
            limit,
            reservation,
            burst: limit,
            slack: limit,
            weight: 1.0,
            ..Plan::default()
        });
        Change::Plan {
            name: "basic".into(),
            to,
        }
    };
    r.propose(vec![plan("y", 1.0)], |_| ());
    r.propose(vec![limited(20.0, 10.0)], |_| ());
    r.keep();
    r.ask(0, 4, 2);
    r.keep();
    assert_eq!(r.s.stable(), Version(2));
    assert_eq!(r.s.waits_for(Version(4)), [("h2".into(), false)]);
    // Its lease runs out: what it need not hear of is over, the new limit is not.
    r.now += ms(3600);
    r.step(vec![]);
    r.keep();
    assert_eq!(
        (r.s.stable(), r.s.waits_for(Version(4))),
        (Version(3), vec![("h2".into(), true)])
    );
    let call = r.call();
    r.step(vec![Event::HostRemoved {
        call,
        host: HostNumber(1),
        author: "clerk".into(),
    }]);
    r.keep();
    assert_eq!(
        (r.s.stable(), r.s.waits_for(Version(4))),
        (Version(4), vec![])
    );
    // A volume's name is not used again before its end is over everywhere.
    r.ask(1, 2, 2);
    r.propose(vec![Change::Volume { id: 2, to: None }], |_| ());
    r.keep();
    r.said();
    let again = r.propose(vec![volume(2, "basic")], |_| ());
    assert_eq!(
        r.said(),
        [format!(
            "{}: volume 2 was before, and entry 5 that ended it is not settled yet",
            again.0
        )]
    );
}

/// After a restore versions alone would be taken for the same history.
#[test]
fn a_host_of_another_history_is_not_believed_before_somebody_has_looked() {
    let mut r = Rig::begun();
    let a = r.call();
    let asked = |call, epoch, applied| Event::Polled {
        call,
        host: HostNumber(0),
        epoch: Epoch(epoch),
        applied: Version(applied),
        stable: Version(0),
        acknowledged: Version(applied),
    };
    r.step(vec![asked(a, 6, 2)]);
    assert_eq!(
        r.said(),
        [format!("{}: behind 2", a.0)],
        "as many entries, and not the same ones"
    );
    let b = r.ask(1, 2, 2);
    assert_eq!(
        r.said(),
        [format!("{}: behind 2", b.0)],
        "nobody is granted anything"
    );
    let c = r.call();
    r.step(vec![Event::ForceEpoch {
        call: c,
        author: "clerk".into(),
        reason: "restored".into(),
    }]);
    r.keep();
    assert_eq!(r.said(), [format!("{}: landed 3", c.0)]);
    let d = r.call();
    r.step(vec![asked(d, 6, 2)]);
    r.keep();
    assert_eq!(r.said(), [format!("{}: 2 to 3, settled 2, whole", d.0)]);
}
