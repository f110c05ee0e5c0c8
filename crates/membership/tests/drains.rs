//! Drains and the status of nodes, case by case.

#![allow(clippy::too_many_lines)] // tables of cases

use grebecleat_catalog::admission::ExclusionReason;
use grebecleat_catalog::feed::HostNumber;
use grebecleat_catalog::records::{Drain, Stage, Version};
use grebecleat_membership::answers::Answers;
use grebecleat_membership::drains::*;
use grebecleat_membership::list_reading::ListedState;
use grebecleat_membership::node_status::{node_status, Authority, Evidence, NodeStatus};
use std::time::Duration;

const fn s(n: u64) -> Duration {
    Duration::from_secs(n)
}

const H1: HostNumber = HostNumber(0);
const H2: HostNumber = HostNumber(1);
const WALL: u64 = 1_000_000;

/// Two hosts, four nodes in two zones, and a catalog that takes whatever is proposed, unless it is
/// told not to.
struct Fixture {
    membership: Membership,
    now: Duration,
    /// What the wall clock is ahead of ours.
    wall: Duration,
    version: u64,
    rejects_with: Option<&'static str>,
    committed: Vec<(u32, Option<Stage>, String)>,
    exclusions: Vec<(u32, Option<ExclusionReason>)>,
    notices: Vec<(u32, String)>,
}

impl Fixture {
    fn new() -> Fixture {
        let mut fixture = Fixture {
            membership: Membership::new(s(0), s(20), s(3), [H1, H2]),
            now: s(990),
            wall: s(WALL),
            version: 1,
            rejects_with: None,
            committed: Vec::new(),
            exclusions: Vec::new(),
            notices: Vec::new(),
        };
        fixture.start();
        // What hosts that come up may have had out before is over.
        fixture.wait(s(10));
        fixture
    }

    fn start(&mut self) {
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
        let acknowledged = |host| Event::Acknowledged {
            host,
            version: Some(Version(self.version)),
        };
        let connected = |host| Event::HostConnected {
            host,
            incarnation: 1,
        };
        self.step(vec![
            acknowledged(H1),
            acknowledged(H2),
            connected(H1),
            connected(H2),
        ]);
        for n in 1..5 {
            self.report(H1, n, |_| ());
            self.report(H2, n, |_| ());
        }
    }

    fn step(&mut self, events: Vec<Event>) {
        let mut events = events;
        loop {
            let actions =
                self.membership
                    .step(self.now, self.now + self.wall, std::mem::take(&mut events));
            for a in actions {
                match a {
                    Action::Propose {
                        proposal,
                        node,
                        to,
                        base_version,
                        reason,
                    } => {
                        assert_eq!(
                            base_version.0, self.version,
                            "it has looked at the newest that is kept"
                        );
                        if let Some(reason) = self.rejects_with {
                            events.push(Event::Rejected {
                                proposal,
                                reason: reason.into(),
                            });
                            continue;
                        }
                        self.committed
                            .push((node, to.as_ref().map(|d| d.stage), reason));
                        events.extend(self.commit(node, to));
                        events.push(Event::Committed { proposal });
                    }
                    Action::SetExclusion { node, reason } => self.exclusions.push((node, reason)),
                    Action::Notify { node, text } => self.notices.push((node, text)),
                }
            }
            if events.is_empty() {
                return;
            }
        }
    }

    fn commit(&mut self, node: u32, to: Option<Drain>) -> Vec<Event> {
        self.version += 1;
        let (version, since) = (Version(self.version), self.now + self.wall);
        let to = to.map(|d| Drain { since, ..d });
        vec![
            Event::Persisted { version },
            Event::Drain { node, to, version },
        ]
    }

    /// An operator's change.
    fn drain(&mut self, node: u32, stage: Option<Stage>, timeout: Duration) {
        let requested_at = self.now + self.wall;
        let drain = |stage| Drain {
            stage,
            timeout,
            author: "ann".into(),
            requested_at,
            since: requested_at,
        };
        let events = self.commit(node, stage.map(drain));
        self.step(events);
    }

    /// A host's observation of a node that is ready and long up, but for what is said.
    fn report(&mut self, host: HostNumber, node: u32, but: impl Fn(&mut NodeObservation)) {
        let catalog_version = Version(self.version);
        let mut observation = NodeObservation {
            listed: ListedState::Ready,
            incarnation: 1,
            revision: 1,
            catalog_version,
            ..NodeObservation::default()
        };
        but(&mut observation);
        self.step(vec![Event::Observed {
            host,
            node,
            observation,
        }]);
    }

    fn acknowledge(&mut self, host: HostNumber) {
        self.step(vec![Event::Acknowledged {
            host,
            version: Some(Version(self.version)),
        }]);
    }

    fn wait(&mut self, span: Duration) {
        let end = self.now + span;
        while let Some(at) = self.membership.wake_at().filter(|at| *at <= end) {
            assert!(at > self.now, "it sleeps");
            self.now = at;
            self.step(vec![]);
        }
        self.now = end;
        self.step(vec![]);
    }

    fn status_and_phase(&self, node: u32) -> (NodeStatus, Option<Phase>) {
        let view = self.membership.node(node, 0.0).expect("known");
        (view.status, view.drain.map(|drain| drain.phase))
    }

    fn phase(&self, node: u32) -> Phase {
        self.status_and_phase(node).1.expect("it is drained")
    }
}

fn waiting(reason: &str) -> Phase {
    Phase::Waiting {
        reason: reason.into(),
    }
}

fn notifying(hosts: &[(HostNumber, bool)]) -> Phase {
    Phase::Notifying {
        hosts: hosts.to_vec(),
    }
}

fn quiescing(attempts: u32, peak_attempts: u32, unresolved_seconds: u64) -> Phase {
    Phase::Quiescing {
        attempts,
        peak_attempts,
        unresolved_for: s(unresolved_seconds),
    }
}

fn drained(objections: &[&str]) -> Phase {
    Phase::Drained {
        objections: objections.iter().map(|text| text.to_string()).collect(),
    }
}

/// Who is believed where they disagree.
#[test]
fn the_order_of_precedence() {
    use Answers::{Bad, Good};
    use ListedState::{Draining as D, Gone as G, Never, Ready as R};
    use Stage::*;
    let cases = [
        // drain, list, answers, warming, restarted -> its status, and who says so
        (
            None,
            Never,
            Answers::None,
            false,
            false,
            NodeStatus::Unknown,
            Authority::EndpointList,
        ),
        (
            None,
            R,
            Answers::None,
            false,
            false,
            NodeStatus::Ready,
            Authority::EndpointList,
        ),
        (
            None,
            R,
            Good,
            false,
            false,
            NodeStatus::Ready,
            Authority::Answers,
        ),
        (
            None,
            R,
            Good,
            true,
            false,
            NodeStatus::Warming,
            Authority::EndpointList,
        ),
        (
            None,
            R,
            Bad,
            true,
            false,
            NodeStatus::Suspect,
            Authority::Answers,
        ),
        (
            None,
            D,
            Good,
            false,
            false,
            NodeStatus::Draining,
            Authority::EndpointList,
        ),
        (
            None,
            G,
            Good,
            false,
            false,
            NodeStatus::Removed,
            Authority::EndpointList,
        ),
        (
            Some(Queued),
            R,
            Good,
            false,
            false,
            NodeStatus::Ready,
            Authority::Answers,
        ),
        (
            Some(Queued),
            G,
            Good,
            false,
            false,
            NodeStatus::Removed,
            Authority::EndpointList,
        ),
        (
            Some(Draining),
            R,
            Good,
            true,
            true,
            NodeStatus::Draining,
            Authority::Operators,
        ),
        (
            Some(Draining),
            G,
            Answers::None,
            false,
            false,
            NodeStatus::Draining,
            Authority::Operators,
        ),
        (
            Some(Drained),
            R,
            Bad,
            false,
            false,
            NodeStatus::Drained,
            Authority::Operators,
        ),
        (
            Some(Removed),
            G,
            Answers::None,
            false,
            false,
            NodeStatus::Removed,
            Authority::Operators,
        ),
        (
            Some(Removed),
            R,
            Answers::None,
            false,
            false,
            NodeStatus::Removed,
            Authority::Operators,
        ),
        (
            Some(Removed),
            R,
            Answers::None,
            true,
            true,
            NodeStatus::Returned,
            Authority::EndpointList,
        ),
        (
            Some(Removed),
            G,
            Answers::None,
            true,
            true,
            NodeStatus::Removed,
            Authority::Operators,
        ),
    ];
    for (drain, listed, answers, warming, restarted, status, authority) in cases {
        let evidence = Evidence {
            drain,
            listed,
            answers,
            warming,
            restarted,
        };
        assert_eq!(node_status(&evidence), (status, authority), "{evidence:?}");
    }
}

#[test]
fn a_drain_from_the_request_to_the_removal() {
    let mut fixture = Fixture::new();
    for h in [H1, H2] {
        fixture.report(h, 1, |s| s.attempts = 3);
    }
    fixture.drain(1, Some(Stage::Draining), s(0));
    assert_eq!(fixture.phase(1), notifying(&[(H1, true), (H2, true)]));
    fixture.acknowledge(H1);
    fixture.report(H1, 1, |s| s.attempts = 2);
    assert_eq!(fixture.phase(1), notifying(&[(H2, true)]));
    fixture.acknowledge(H2);
    // What it counted before it followed says nothing.
    assert_eq!(fixture.phase(1), quiescing(5, 5, 0));
    fixture.report(H2, 1, |s| {
        (s.attempts, s.unresolved_for) = (0, Duration::from_secs(2))
    });
    fixture.report(H1, 1, |s| s.attempts = 0);
    assert_eq!(fixture.phase(1), quiescing(0, 5, 2));
    fixture.wait(s(1));
    assert_eq!(fixture.committed, []);
    fixture.wait(s(1));
    assert_eq!(
        fixture.committed,
        [(
            1,
            Some(Stage::Drained),
            "nothing is under way at any host".into()
        )]
    );
    let unknown = "whether data lies there alone is not known here".to_string();
    assert_eq!(
        fixture.status_and_phase(1),
        (
            NodeStatus::Drained,
            Some(Phase::Drained {
                objections: vec![unknown]
            })
        )
    );
    fixture.report(H1, 1, |s| s.extents = Some(7));
    assert_eq!(
        fixture.phase(1),
        drained(&["7 extents lie there and nowhere else"])
    );
    fixture.report(H1, 1, |s| s.extents = Some(0));
    assert_eq!(fixture.phase(1), drained(&[]));
    // Its process ends, and the list says so.
    fixture.report(H1, 1, |s| (s.listed, s.revision) = (ListedState::Gone, 2));
    assert_eq!(
        fixture.status_and_phase(1),
        (NodeStatus::Removed, Some(Phase::Removed))
    );
    // The other host's list is late, and then the box is put back: nobody sends it anything before
    // it is returned.
    fixture.report(H2, 1, |_| ());
    assert_eq!(fixture.status_and_phase(1).0, NodeStatus::Removed);
    fixture.wait(s(60));
    fixture.report(H1, 1, |s| {
        (s.incarnation, s.age, s.revision) = (2, Some(Duration::from_secs(4)), 3)
    });
    assert_eq!(
        (
            fixture.status_and_phase(1).0,
            fixture.membership.blocks_new_requests(1)
        ),
        (NodeStatus::Returned, true)
    );
    fixture.drain(1, None, s(0));
    assert_eq!(
        (
            fixture.status_and_phase(1),
            fixture.membership.blocks_new_requests(1)
        ),
        ((NodeStatus::Warming, None), false)
    );
    fixture.wait(s(16));
    assert_eq!(fixture.status_and_phase(1).0, NodeStatus::Ready);
    assert_eq!(
        fixture.exclusions,
        [(1, Some(ExclusionReason::Warming)), (1, None)]
    );
}

/// A node restarts under its number while it drains: the wish is for the box.
#[test]
fn a_node_that_comes_back_while_it_drains_goes_on_draining() {
    let mut fixture = Fixture::new();
    fixture.drain(1, Some(Stage::Draining), s(0));
    fixture.report(H1, 1, |s| {
        (s.listed, s.attempts, s.revision) = (ListedState::Gone, 1, 2)
    });
    assert_eq!(fixture.status_and_phase(1).0, NodeStatus::Draining);
    fixture.report(H1, 1, |s| {
        (s.incarnation, s.age, s.revision) = (2, Some(Duration::from_secs(0)), 3)
    });
    assert_eq!(fixture.status_and_phase(1).0, NodeStatus::Draining);
    fixture.acknowledge(H1);
    fixture.acknowledge(H2);
    fixture.report(H2, 1, |_| ());
    assert_eq!(fixture.status_and_phase(1).0, NodeStatus::Drained);
    // It is empty and runs: it was not taken out.
    fixture.wait(s(60));
    assert_eq!(fixture.committed.len(), 1);
}

#[test]
fn one_of_a_zone_after_the_other_in_the_order_asked() {
    let mut fixture = Fixture::new();
    fixture.drain(2, Some(Stage::Draining), s(0));
    fixture.wait(s(1));
    fixture.drain(1, Some(Stage::Queued), s(0));
    assert_eq!(fixture.phase(1), waiting("node 2 drains"));
    assert_eq!(
        fixture.status_and_phase(1).0,
        NodeStatus::Ready,
        "it serves until its turn comes"
    );
    // Of another zone: at once, as far as is known here, and admission has the last word.
    fixture.rejects_with = Some("9.0 units a second of reserves lie out of reach");
    fixture.drain(3, Some(Stage::Queued), s(0));
    assert_eq!(
        fixture.phase(3),
        waiting("9.0 units a second of reserves lie out of reach")
    );
    fixture.rejects_with = None;
    fixture.wait(s(6));
    assert_eq!(
        fixture.committed,
        [(3, Some(Stage::Draining), "its turn has come".into())]
    );
    fixture.wait(s(1));
    fixture.drain(4, Some(Stage::Queued), s(0));
    assert_eq!(fixture.phase(4), waiting("node 3 drains"));
    fixture.committed.clear();
    // A node that is suspect in the zone keeps it waiting when the drain before it is over.
    fixture.report(H1, 3, |s| s.answers = Answers::Bad);
    fixture.drain(3, None, s(0));
    assert_eq!(
        (fixture.phase(4), fixture.committed.len()),
        (waiting("node 3 does not answer as it should"), 0)
    );
    fixture.report(H1, 3, |s| s.answers = Answers::Good);
    assert_eq!(
        fixture.committed,
        [(4, Some(Stage::Draining), "its turn has come".into())]
    );
    // Two wait in one zone: who asked first goes first, and the other says on whom it waits.
    let mut fixture = Fixture::new();
    fixture.report(H1, 2, |s| {
        (s.incarnation, s.age, s.revision) = (2, Some(Duration::from_secs(18)), 2)
    });
    fixture.drain(1, Some(Stage::Queued), s(0));
    fixture.wait(s(1));
    fixture.drain(2, Some(Stage::Queued), s(0));
    assert_eq!(
        fixture.phase(1),
        waiting("node 2 has just started and is cold")
    );
    assert_eq!(
        fixture.phase(2),
        waiting("node 1 of its zone asked before it")
    );
    fixture.wait(s(2));
    assert_eq!(
        fixture.committed,
        [(1, Some(Stage::Draining), "its turn has come".into())]
    );
}

/// A host that is cut off holds a drain up, since it may send on what it knew, until somebody
/// answers for it.
#[test]
fn a_host_that_is_not_heard_of() {
    let mut fixture = Fixture::new();
    fixture.report(H2, 1, |s| s.attempts = 4);
    fixture.step(vec![Event::HostDisconnected { host: H2 }]);
    fixture.drain(1, Some(Stage::Draining), s(0));
    fixture.acknowledge(H1);
    fixture.report(H1, 1, |_| ());
    fixture.wait(s(100));
    assert_eq!(fixture.phase(1), notifying(&[(H2, false)]));
    fixture.step(vec![Event::HostRemoved { host: H2 }]);
    assert_eq!(fixture.status_and_phase(1).0, NodeStatus::Drained);
    // Lost just now, its attempts are given their time.
    let mut fixture = Fixture::new();
    fixture.drain(1, Some(Stage::Draining), s(0));
    for h in [H1, H2] {
        fixture.acknowledge(h);
        fixture.report(h, 1, |s| s.attempts = u32::from(h == H2));
    }
    fixture.step(vec![Event::HostDisconnected { host: H2 }]);
    assert_eq!(fixture.phase(1), quiescing(0, 1, 6));
    fixture.wait(s(5));
    // Found by the explorer: cut off, it went on sending, and died only just before its next
    // process came.
    fixture.step(vec![Event::HostConnected {
        host: H2,
        incarnation: 2,
    }]);
    fixture.report(H2, 1, |_| ());
    fixture.wait(s(5));
    assert_eq!(fixture.status_and_phase(1).0, NodeStatus::Draining);
    fixture.wait(s(1));
    assert_eq!(fixture.status_and_phase(1).0, NodeStatus::Drained);
    // The same process counts what it has out by itself.
    let mut fixture = Fixture::new();
    fixture.step(vec![Event::HostDisconnected { host: H2 }]);
    fixture.wait(s(7));
    fixture.step(vec![Event::HostConnected {
        host: H2,
        incarnation: 1,
    }]);
    fixture.drain(1, Some(Stage::Draining), s(0));
    for h in [H1, H2] {
        fixture.acknowledge(h);
        fixture.report(h, 1, |_| ());
    }
    assert_eq!(fixture.status_and_phase(1).0, NodeStatus::Drained);
    // One that was never heard of has followed nothing, and is not waited for.
    let mut fixture = Fixture::new();
    fixture.step(vec![Event::Acknowledged {
        host: H2,
        version: None,
    }]);
    fixture.drain(1, Some(Stage::Draining), s(0));
    fixture.acknowledge(H1);
    fixture.report(H1, 1, |_| ());
    assert_eq!(fixture.status_and_phase(1).0, NodeStatus::Drained);
}

/// Found by the explorer: what an earlier process of a host counted was taken for what the next one
/// had out, which had started without the drain, sent, and then followed it.
#[test]
fn what_an_earlier_process_counted_says_nothing_of_the_next() {
    let mut fixture = Fixture::new();
    fixture.drain(1, Some(Stage::Draining), s(0));
    fixture.acknowledge(H2);
    fixture.report(H2, 1, |_| ());
    // It follows, has nothing out, and dies before that is kept.
    fixture.report(H1, 1, |_| ());
    fixture.step(vec![
        Event::HostDisconnected { host: H1 },
        Event::HostConnected {
            host: H1,
            incarnation: 2,
        },
    ]);
    fixture.wait(s(10));
    fixture.acknowledge(H1);
    assert!(
        matches!(fixture.phase(1), Phase::Quiescing { .. }),
        "its successor has not counted yet"
    );
    fixture.report(H1, 1, |s| s.attempts = 1);
    assert_eq!(fixture.phase(1), quiescing(1, 1, 0));
}

#[test]
fn a_drain_that_never_comes_to_an_end_is_given_up() {
    let mut fixture = Fixture::new();
    fixture.drain(1, Some(Stage::Draining), s(30));
    fixture.acknowledge(H1);
    fixture.acknowledge(H2);
    fixture.report(H2, 1, |_| ());
    fixture.report(H1, 1, |s| s.attempts = 1);
    fixture.wait(s(29));
    assert_eq!(
        (fixture.committed.len(), fixture.status_and_phase(1).0),
        (0, NodeStatus::Draining)
    );
    fixture.wait(s(1));
    assert_eq!(
        fixture.committed,
        [(1, None, "given up: not empty within 30 s".into())]
    );
    assert_eq!(
        (
            fixture.status_and_phase(1),
            fixture.membership.blocks_new_requests(1)
        ),
        ((NodeStatus::Ready, None), false)
    );
}

/// The service starts anew at each stage of a drain, and the wall clock has stepped meanwhile.
#[test]
fn a_service_that_starts_anew_goes_on_where_it_was() {
    let drain = |stage, since: u64| {
        let (timeout, since) = (s(30), s(since));
        Event::Drain {
            node: 1,
            to: Some(Drain {
                stage,
                timeout,
                author: "ann".into(),
                requested_at: since,
                since,
            }),
            version: Version(5),
        }
    };
    let start = |drain| {
        let acknowledged = |host| Event::Acknowledged {
            host,
            version: Some(Version(5)),
        };
        vec![
            Event::Persisted {
                version: Version(5),
            },
            drain,
            acknowledged(H1),
            acknowledged(H2),
        ]
    };
    // Asked 10 s ago; the clock stepped back by an hour, on by an hour.
    for (since, left) in [(WALL + 990, 20), (WALL + 4600, 30), (WALL - 2600, 10)] {
        let mut fixture = Fixture::new();
        fixture.version = 5;
        fixture.membership = Membership::new(fixture.now, s(20), s(3), [H1, H2]);
        fixture.step(start(drain(Stage::Draining, since)));
        fixture.start();
        let time_left = fixture
            .membership
            .node(1, 0.0)
            .and_then(|n| n.drain)
            .and_then(|d| d.time_left);
        assert_eq!(time_left, Some(s(left)));
        // What hosts had out before it was there is given its time, though they count nothing.
        assert_eq!(fixture.phase(1), quiescing(0, 0, 6));
        fixture.wait(s(6));
        assert_eq!(
            fixture.committed,
            [(
                1,
                Some(Stage::Drained),
                "nothing is under way at any host".into()
            )]
        );
    }
    for (stage, is) in [
        (Stage::Queued, NodeStatus::Draining),
        (Stage::Drained, NodeStatus::Drained),
        (Stage::Removed, NodeStatus::Removed),
    ] {
        let mut fixture = Fixture::new();
        fixture.version = 5;
        fixture.membership = Membership::new(fixture.now, s(20), s(3), [H1, H2]);
        fixture.step(start(drain(stage, WALL + 999)));
        fixture.start();
        fixture.wait(s(1));
        assert_eq!(fixture.status_and_phase(1).0, is, "{stage:?}");
    }
}

/// What was asked of the catalog when something else committed first counts for nothing, and is
/// asked anew.
#[test]
fn an_answer_that_comes_too_late_is_not_mistaken() {
    let mut fixture = Fixture::new();
    fixture.drain(1, Some(Stage::Draining), s(0));
    fixture.acknowledge(H1);
    fixture.acknowledge(H2);
    fixture.report(H1, 1, |_| ());
    let catalog_version = Version(fixture.version);
    let observation = NodeObservation {
        listed: ListedState::Ready,
        incarnation: 1,
        revision: 1,
        catalog_version,
        ..NodeObservation::default()
    };
    let actions = fixture.membership.step(
        fixture.now,
        fixture.now + fixture.wall,
        vec![Event::Observed {
            host: H2,
            node: 1,
            observation,
        }],
    );
    let Some(Action::Propose { proposal, .. }) = actions
        .into_iter()
        .find(|a| matches!(a, Action::Propose { .. }))
    else {
        panic!("it is empty");
    };
    // Meanwhile the operator has called it off, and drains it again.
    fixture.drain(1, None, s(0));
    fixture.drain(1, Some(Stage::Draining), s(0));
    fixture.step(vec![Event::Rejected {
        proposal,
        reason: "changed meanwhile".into(),
    }]);
    assert_eq!(fixture.phase(1), notifying(&[(H1, true), (H2, true)]));
}
