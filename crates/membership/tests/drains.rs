//! Drains and lives of nodes, case by case.

use grebecleat_membership::drains::*;
use grebecleat_membership::node_status::{
    node_status, Answers, ListedState, NodeStatus, Said, Wins,
};
use grebecleat_plans::admission::ExclusionReason;
use grebecleat_plans::feed::HostNumber;
use grebecleat_plans::records::{Drain, Stage, Version};
use std::time::Duration;

const fn s(n: u64) -> Duration {
    Duration::from_secs(n)
}

const H1: HostNumber = HostNumber(0);
const H2: HostNumber = HostNumber(1);
const WALL: u64 = 1_000_000;

/// Two hosts, four nodes in two zones, and a catalog that takes whatever is proposed, unless it is told not
/// to.
struct Rig {
    m: Membership,
    now: Duration,
    /// What the wall clock is ahead of ours.
    wall: Duration,
    version: u64,
    refuses: Option<&'static str>,
    landed: Vec<(u32, Option<Stage>, String)>,
    unfit: Vec<(u32, Option<ExclusionReason>)>,
    notes: Vec<(u32, String)>,
}

impl Rig {
    fn new() -> Rig {
        let mut r = Rig {
            m: Membership::new(s(0), s(20), s(3), [H1, H2]),
            now: s(990),
            wall: s(WALL),
            version: 1,
            refuses: None,
            landed: Vec::new(),
            unfit: Vec::new(),
            notes: Vec::new(),
        };
        r.begin();
        // What hosts that come up may have had out before is over.
        r.wait(s(10));
        r
    }

    fn begin(&mut self) {
        let node = |n: u32| {
            let name = format!("box{n}.example.org").as_str().into();
            let zone = if n < 3 { "room-a" } else { "room-b" }.into();
            Event::Node {
                node: n,
                to: Some(NodeFacts {
                    name,
                    zone,
                    shard: n,
                }),
            }
        };
        self.step((1..5).map(node).collect());
        let sure = |host| Event::Acknowledged {
            host,
            version: Some(Version(self.version)),
        };
        let up = |host| Event::Up { host, process: 1 };
        self.step(vec![sure(H1), sure(H2), up(H1), up(H2)]);
        for n in 1..5 {
            self.sees(H1, n, |_| ());
            self.sees(H2, n, |_| ());
        }
    }

    fn step(&mut self, events: Vec<Event>) {
        let mut events = events;
        loop {
            let actions = self
                .m
                .step(self.now, self.now + self.wall, std::mem::take(&mut events));
            for a in actions {
                match a {
                    Action::Propose {
                        ask,
                        node,
                        to,
                        base_version,
                        reason,
                    } => {
                        assert_eq!(
                            base_version.0, self.version,
                            "it has looked at the newest that is kept"
                        );
                        if let Some(reason) = self.refuses {
                            events.push(Event::Rejected {
                                ask,
                                reason: reason.into(),
                            });
                            continue;
                        }
                        self.landed
                            .push((node, to.as_ref().map(|d| d.stage), reason));
                        events.extend(self.lands(node, to));
                        events.push(Event::Committed { ask });
                    }
                    Action::Unfit { node, how } => self.unfit.push((node, how)),
                    Action::Note { node, text } => self.notes.push((node, text)),
                }
            }
            if events.is_empty() {
                return;
            }
        }
    }

    fn lands(&mut self, node: u32, to: Option<Drain>) -> Vec<Event> {
        self.version += 1;
        let (version, since) = (Version(self.version), self.now + self.wall);
        let to = to.map(|d| Drain { since, ..d });
        vec![
            Event::Persisted { version },
            Event::Drain { node, to, version },
        ]
    }

    /// An operator's change.
    fn drain(&mut self, node: u32, stage: Option<Stage>, within: Duration) {
        let asked = self.now + self.wall;
        let drain = |stage| Drain {
            stage,
            within,
            author: "ann".into(),
            asked,
            since: asked,
        };
        let events = self.lands(node, stage.map(drain));
        self.step(events);
    }

    /// A host's sight of a node that is ready and long up, but for what is said.
    fn sees(&mut self, host: HostNumber, node: u32, but: impl Fn(&mut Sight)) {
        let follows = Version(self.version);
        let mut sight = Sight {
            word: ListedState::Ready,
            start: 1,
            revision: 1,
            follows,
            ..Sight::default()
        };
        but(&mut sight);
        self.step(vec![Event::Seen { host, node, sight }]);
    }

    fn sure(&mut self, host: HostNumber) {
        self.step(vec![Event::Acknowledged {
            host,
            version: Some(Version(self.version)),
        }]);
    }

    fn wait(&mut self, span: Duration) {
        let end = self.now + span;
        while let Some(at) = self.m.wake_at().filter(|at| *at <= end) {
            assert!(at > self.now, "it sleeps");
            self.now = at;
            self.step(vec![]);
        }
        self.now = end;
        self.step(vec![]);
    }

    fn shown(&self, node: u32) -> (NodeStatus, Option<Phase>) {
        let shown = self.m.show_one(node, 0.0).expect("known");
        (shown.node_status, shown.drain.map(|d| d.phase))
    }

    fn phase(&self, node: u32) -> Phase {
        self.shown(node).1.expect("it is drained")
    }
}

/// Who is believed where they disagree.
#[test]
fn the_table_of_lives() {
    use Answers::{Bad, Good};
    use ListedState::{Draining as D, Gone as G, Never, Ready as R};
    use Stage::*;
    let cases = [
        // wish, list, answers, cold, anew -> what it is, and who says so
        (
            None,
            Never,
            Answers::None,
            false,
            false,
            NodeStatus::Unknown,
            Wins::List,
        ),
        (
            None,
            R,
            Answers::None,
            false,
            false,
            NodeStatus::Ready,
            Wins::List,
        ),
        (
            None,
            R,
            Good,
            false,
            false,
            NodeStatus::Ready,
            Wins::Answers,
        ),
        (None, R, Good, true, false, NodeStatus::Warming, Wins::List),
        (
            None,
            R,
            Bad,
            true,
            false,
            NodeStatus::Suspect,
            Wins::Answers,
        ),
        (
            None,
            D,
            Good,
            false,
            false,
            NodeStatus::Draining,
            Wins::List,
        ),
        (None, G, Good, false, false, NodeStatus::Out, Wins::List),
        (
            Some(Queued),
            R,
            Good,
            false,
            false,
            NodeStatus::Ready,
            Wins::Answers,
        ),
        (
            Some(Queued),
            G,
            Good,
            false,
            false,
            NodeStatus::Out,
            Wins::List,
        ),
        (
            Some(Draining),
            R,
            Good,
            true,
            true,
            NodeStatus::Draining,
            Wins::Operators,
        ),
        (
            Some(Draining),
            G,
            Answers::None,
            false,
            false,
            NodeStatus::Draining,
            Wins::Operators,
        ),
        (
            Some(Drained),
            R,
            Bad,
            false,
            false,
            NodeStatus::Empty,
            Wins::Operators,
        ),
        (
            Some(Removed),
            G,
            Answers::None,
            false,
            false,
            NodeStatus::Out,
            Wins::Operators,
        ),
        (
            Some(Removed),
            R,
            Answers::None,
            false,
            false,
            NodeStatus::Out,
            Wins::Operators,
        ),
        (
            Some(Removed),
            R,
            Answers::None,
            true,
            true,
            NodeStatus::Back,
            Wins::List,
        ),
        (
            Some(Removed),
            G,
            Answers::None,
            true,
            true,
            NodeStatus::Out,
            Wins::Operators,
        ),
    ];
    for (wish, word, answers, cold, anew, is, wins) in cases {
        let said = Said {
            wish,
            word,
            answers,
            cold,
            anew,
        };
        assert_eq!(node_status(&said), (is, wins), "{said:?}");
    }
}

#[test]
fn a_drain_from_the_asking_to_the_taking_out() {
    let mut r = Rig::new();
    for h in [H1, H2] {
        r.sees(h, 1, |s| s.attempts = 3);
    }
    r.drain(1, Some(Stage::Draining), s(0));
    assert_eq!(
        r.phase(1),
        Phase::Telling {
            hosts: vec![(H1, true), (H2, true)]
        }
    );
    r.sure(H1);
    r.sees(H1, 1, |s| s.attempts = 2);
    assert_eq!(
        r.phase(1),
        Phase::Telling {
            hosts: vec![(H2, true)]
        }
    );
    r.sure(H2);
    // What it counted before it followed says nothing.
    assert_eq!(
        r.phase(1),
        Phase::Quiescing {
            attempts: 5,
            most: 5,
            unsure: s(0)
        }
    );
    r.sees(H2, 1, |s| {
        (s.attempts, s.unsure) = (0, Duration::from_secs(2))
    });
    r.sees(H1, 1, |s| s.attempts = 0);
    assert_eq!(
        r.phase(1),
        Phase::Quiescing {
            attempts: 0,
            most: 5,
            unsure: s(2)
        }
    );
    r.wait(s(1));
    assert_eq!(r.landed, []);
    r.wait(s(1));
    assert_eq!(
        r.landed,
        [(
            1,
            Some(Stage::Drained),
            "nothing is under way at any host".into()
        )]
    );
    let unknown = "whether data lies there alone is not known here".to_string();
    assert_eq!(
        r.shown(1),
        (
            NodeStatus::Empty,
            Some(Phase::Empty {
                objections: vec![unknown]
            })
        )
    );
    r.sees(H1, 1, |s| s.extents = Some(7));
    assert_eq!(
        r.phase(1),
        Phase::Empty {
            objections: vec!["7 extents lie there and nowhere else".into()]
        }
    );
    r.sees(H1, 1, |s| s.extents = Some(0));
    assert_eq!(r.phase(1), Phase::Empty { objections: vec![] });
    // Its process ends, and the list says so.
    r.sees(H1, 1, |s| (s.word, s.revision) = (ListedState::Gone, 2));
    assert_eq!(r.shown(1), (NodeStatus::Out, Some(Phase::Out)));
    // The other host's list is late, and then the box is put back: nobody sends it anything before it is
    // returned.
    r.sees(H2, 1, |_| ());
    assert_eq!(r.shown(1).0, NodeStatus::Out);
    r.wait(s(60));
    r.sees(H1, 1, |s| {
        (s.start, s.age, s.revision) = (2, Some(Duration::from_secs(4)), 3)
    });
    assert_eq!((r.shown(1).0, r.m.holds(1)), (NodeStatus::Back, true));
    r.drain(1, None, s(0));
    assert_eq!(
        (r.shown(1), r.m.holds(1)),
        ((NodeStatus::Warming, None), false)
    );
    r.wait(s(16));
    assert_eq!(r.shown(1).0, NodeStatus::Ready);
    assert_eq!(r.unfit, [(1, Some(ExclusionReason::Cold)), (1, None)]);
}

/// A node restarts under its number while it drains: the wish is for the box.
#[test]
fn a_node_that_comes_back_while_it_drains_goes_on_draining() {
    let mut r = Rig::new();
    r.drain(1, Some(Stage::Draining), s(0));
    r.sees(H1, 1, |s| {
        (s.word, s.attempts, s.revision) = (ListedState::Gone, 1, 2)
    });
    assert_eq!(r.shown(1).0, NodeStatus::Draining);
    r.sees(H1, 1, |s| {
        (s.start, s.age, s.revision) = (2, Some(Duration::from_secs(0)), 3)
    });
    assert_eq!(r.shown(1).0, NodeStatus::Draining);
    r.sure(H1);
    r.sure(H2);
    r.sees(H2, 1, |_| ());
    assert_eq!(r.shown(1).0, NodeStatus::Empty);
    // It is empty and runs: it was not taken out.
    r.wait(s(60));
    assert_eq!(r.landed.len(), 1);
}

#[test]
fn one_of_a_zone_after_the_other_in_the_order_asked() {
    let mut r = Rig::new();
    r.drain(2, Some(Stage::Draining), s(0));
    r.wait(s(1));
    r.drain(1, Some(Stage::Queued), s(0));
    assert_eq!(
        r.phase(1),
        Phase::Waits {
            reason: "node 2 drains".into()
        }
    );
    assert_eq!(
        r.shown(1).0,
        NodeStatus::Ready,
        "it serves until its turn comes"
    );
    // Of another zone: at once, as far as is known here, and admission has the last word.
    r.refuses = Some("9.0 units a second of reserves lie out of reach");
    r.drain(3, Some(Stage::Queued), s(0));
    assert_eq!(
        r.phase(3),
        Phase::Waits {
            reason: "9.0 units a second of reserves lie out of reach".into()
        }
    );
    r.refuses = None;
    r.wait(s(6));
    assert_eq!(
        r.landed,
        [(3, Some(Stage::Draining), "its turn has come".into())]
    );
    r.wait(s(1));
    r.drain(4, Some(Stage::Queued), s(0));
    assert_eq!(
        r.phase(4),
        Phase::Waits {
            reason: "node 3 drains".into()
        }
    );
    r.landed.clear();
    // A node that is suspect in the zone keeps it waiting when the drain before it is over.
    r.sees(H1, 3, |s| s.answers = Answers::Bad);
    r.drain(3, None, s(0));
    assert_eq!(
        (r.phase(4), r.landed.len()),
        (
            Phase::Waits {
                reason: "node 3 does not answer as it should".into()
            },
            0
        )
    );
    r.sees(H1, 3, |s| s.answers = Answers::Good);
    assert_eq!(
        r.landed,
        [(4, Some(Stage::Draining), "its turn has come".into())]
    );
    // Two wait in one zone: who asked first goes first, and the other says on whom it waits.
    let mut r = Rig::new();
    r.sees(H1, 2, |s| {
        (s.start, s.age, s.revision) = (2, Some(Duration::from_secs(18)), 2)
    });
    r.drain(1, Some(Stage::Queued), s(0));
    r.wait(s(1));
    r.drain(2, Some(Stage::Queued), s(0));
    assert_eq!(
        r.phase(1),
        Phase::Waits {
            reason: "node 2 has just started and is cold".into()
        }
    );
    assert_eq!(
        r.phase(2),
        Phase::Waits {
            reason: "node 1 of its zone asked before it".into()
        }
    );
    r.wait(s(2));
    assert_eq!(
        r.landed,
        [(1, Some(Stage::Draining), "its turn has come".into())]
    );
}

/// A host that is cut off holds a drain up, since it may send on what it knew, until somebody answers for it.
#[test]
fn a_host_that_is_not_heard_of() {
    let mut r = Rig::new();
    r.sees(H2, 1, |s| s.attempts = 4);
    r.step(vec![Event::Lost { host: H2 }]);
    r.drain(1, Some(Stage::Draining), s(0));
    r.sure(H1);
    r.sees(H1, 1, |_| ());
    r.wait(s(100));
    assert_eq!(
        r.phase(1),
        Phase::Telling {
            hosts: vec![(H2, false)]
        }
    );
    r.step(vec![Event::HostRemoved { host: H2 }]);
    assert_eq!(r.shown(1).0, NodeStatus::Empty);
    // Lost just now, its attempts are given their time.
    let mut r = Rig::new();
    r.drain(1, Some(Stage::Draining), s(0));
    for h in [H1, H2] {
        r.sure(h);
        r.sees(h, 1, |s| s.attempts = u32::from(h == H2));
    }
    r.step(vec![Event::Lost { host: H2 }]);
    assert_eq!(
        r.phase(1),
        Phase::Quiescing {
            attempts: 0,
            most: 1,
            unsure: s(6)
        }
    );
    r.wait(s(5));
    // Found by the explorer: cut off, it went on sending, and died only just before its next process came.
    r.step(vec![Event::Up {
        host: H2,
        process: 2,
    }]);
    r.sees(H2, 1, |_| ());
    r.wait(s(5));
    assert_eq!(r.shown(1).0, NodeStatus::Draining);
    r.wait(s(1));
    assert_eq!(r.shown(1).0, NodeStatus::Empty);
    // The same process counts what it has out by itself.
    let mut r = Rig::new();
    r.step(vec![Event::Lost { host: H2 }]);
    r.wait(s(7));
    r.step(vec![Event::Up {
        host: H2,
        process: 1,
    }]);
    r.drain(1, Some(Stage::Draining), s(0));
    for h in [H1, H2] {
        r.sure(h);
        r.sees(h, 1, |_| ());
    }
    assert_eq!(r.shown(1).0, NodeStatus::Empty);
    // One that was never heard of has followed nothing, and is not waited for.
    let mut r = Rig::new();
    r.step(vec![Event::Acknowledged {
        host: H2,
        version: None,
    }]);
    r.drain(1, Some(Stage::Draining), s(0));
    r.sure(H1);
    r.sees(H1, 1, |_| ());
    assert_eq!(r.shown(1).0, NodeStatus::Empty);
}

/// Found by the explorer: what an earlier process of a host counted was taken for what the next one had out,
/// which had started without the drain, sent, and then followed it.
#[test]
fn what_an_earlier_process_counted_says_nothing_of_the_next() {
    let mut r = Rig::new();
    r.drain(1, Some(Stage::Draining), s(0));
    r.sure(H2);
    r.sees(H2, 1, |_| ());
    // It follows, has nothing out, and dies before that is kept.
    r.sees(H1, 1, |_| ());
    r.step(vec![
        Event::Lost { host: H1 },
        Event::Up {
            host: H1,
            process: 2,
        },
    ]);
    r.wait(s(10));
    r.sure(H1);
    assert!(
        matches!(r.phase(1), Phase::Quiescing { .. }),
        "its successor has not counted yet"
    );
    r.sees(H1, 1, |s| s.attempts = 1);
    assert_eq!(
        r.phase(1),
        Phase::Quiescing {
            attempts: 1,
            most: 1,
            unsure: s(0)
        }
    );
}

#[test]
fn a_drain_that_never_comes_to_an_end_is_given_up() {
    let mut r = Rig::new();
    r.drain(1, Some(Stage::Draining), s(30));
    r.sure(H1);
    r.sure(H2);
    r.sees(H2, 1, |_| ());
    r.sees(H1, 1, |s| s.attempts = 1);
    r.wait(s(29));
    assert_eq!((r.landed.len(), r.shown(1).0), (0, NodeStatus::Draining));
    r.wait(s(1));
    assert_eq!(
        r.landed,
        [(1, None, "given up: not empty within 30 s".into())]
    );
    assert_eq!(
        (r.shown(1), r.m.holds(1)),
        ((NodeStatus::Ready, None), false)
    );
}

/// The service starts anew at each stage of a drain, and the wall clock has stepped meanwhile.
#[test]
fn a_service_that_starts_anew_goes_on_where_it_was() {
    let drain = |stage, since: u64| {
        let (within, since) = (s(30), s(since));
        Event::Drain {
            node: 1,
            to: Some(Drain {
                stage,
                within,
                author: "ann".into(),
                asked: since,
                since,
            }),
            version: Version(5),
        }
    };
    let start = |drain| {
        let sure = |host| Event::Acknowledged {
            host,
            version: Some(Version(5)),
        };
        vec![
            Event::Persisted {
                version: Version(5),
            },
            drain,
            sure(H1),
            sure(H2),
        ]
    };
    // Asked 10 s ago; the clock stepped back by an hour, on by an hour.
    for (since, left) in [(WALL + 990, 20), (WALL + 4600, 30), (WALL - 2600, 10)] {
        let mut r = Rig::new();
        r.version = 5;
        r.m = Membership::new(r.now, s(20), s(3), [H1, H2]);
        r.step(start(drain(Stage::Draining, since)));
        r.begin();
        let shown =
            r.m.show_one(1, 0.0)
                .and_then(|n| n.drain)
                .and_then(|d| d.left);
        assert_eq!(shown, Some(s(left)));
        // What hosts had out before it was there is given its time, though they count nothing.
        assert_eq!(
            r.phase(1),
            Phase::Quiescing {
                attempts: 0,
                most: 0,
                unsure: s(6)
            }
        );
        r.wait(s(6));
        assert_eq!(
            r.landed,
            [(
                1,
                Some(Stage::Drained),
                "nothing is under way at any host".into()
            )]
        );
    }
    for (stage, is) in [
        (Stage::Queued, NodeStatus::Draining),
        (Stage::Drained, NodeStatus::Empty),
        (Stage::Removed, NodeStatus::Out),
    ] {
        let mut r = Rig::new();
        r.version = 5;
        r.m = Membership::new(r.now, s(20), s(3), [H1, H2]);
        r.step(start(drain(stage, WALL + 999)));
        r.begin();
        r.wait(s(1));
        assert_eq!(r.shown(1).0, is, "{stage:?}");
    }
}

/// What was asked of the catalog when something else landed first counts for nothing, and is asked anew.
#[test]
fn an_answer_that_comes_too_late_is_not_mistaken() {
    let mut r = Rig::new();
    r.drain(1, Some(Stage::Draining), s(0));
    r.sure(H1);
    r.sure(H2);
    r.sees(H1, 1, |_| ());
    let follows = Version(r.version);
    let sight = Sight {
        word: ListedState::Ready,
        start: 1,
        revision: 1,
        follows,
        ..Sight::default()
    };
    let asked = r.m.step(
        r.now,
        r.now + r.wall,
        vec![Event::Seen {
            host: H2,
            node: 1,
            sight,
        }],
    );
    let Some(Action::Propose { ask, .. }) = asked
        .into_iter()
        .find(|a| matches!(a, Action::Propose { .. }))
    else {
        panic!("it is empty");
    };
    // Meanwhile the operator has called it off, and drains it again.
    r.drain(1, None, s(0));
    r.drain(1, Some(Stage::Draining), s(0));
    r.step(vec![Event::Rejected {
        ask,
        reason: "changed meanwhile".into(),
    }]);
    assert_eq!(
        r.phase(1),
        Phase::Telling {
            hosts: vec![(H1, true), (H2, true)]
        }
    );
}
