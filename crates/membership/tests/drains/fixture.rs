//! A test fixture: a membership of two hosts and four nodes, and a catalog that commits its proposals.

use grebecleat_catalog::admission::ExclusionReason;
use grebecleat_catalog::feed::HostNumber;
use grebecleat_catalog::records::{Drain, Stage, Version};
use grebecleat_membership::drains::*;
use grebecleat_membership::list_entry::ListedState;
use grebecleat_membership::node_status::NodeStatus;
use std::time::Duration;

pub const fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

pub const H1: HostNumber = HostNumber(0);
pub const H2: HostNumber = HostNumber(1);
/// The offset of the wall clock from the process's clock.
pub const WALL_OFFSET_SECONDS: u64 = 1_000_000;

/// Two hosts, four nodes in two zones, and a catalog that commits every proposal. If `rejects_with`
/// is set, the catalog rejects proposals for that reason instead.
pub struct Fixture {
    pub membership: Membership,
    pub now: Duration,
    /// The offset of the wall clock from the process's clock.
    pub wall_offset: Duration,
    /// The persisted version of the catalog.
    pub version: u64,
    /// The reason for which the catalog rejects proposals. `None` if it commits them.
    pub rejects_with: Option<&'static str>,
    /// The node, stage and reason of each proposal that was committed.
    pub committed: Vec<(u32, Option<Stage>, String)>,
    pub exclusions: Vec<(u32, Option<ExclusionReason>)>,
    pub notices: Vec<(u32, String)>,
}

impl Fixture {
    pub fn new() -> Fixture {
        let mut fixture = Fixture {
            membership: Membership::new(seconds(0), seconds(20), seconds(3), [H1, H2]),
            now: seconds(990),
            wall_offset: seconds(WALL_OFFSET_SECONDS),
            version: 1,
            rejects_with: None,
            committed: Vec::new(),
            exclusions: Vec::new(),
            notices: Vec::new(),
        };
        fixture.start();
        // Wait until attempts that the hosts may have had in flight before the start have ended.
        fixture.wait(seconds(10));
        fixture
    }

    /// Passes the state of the catalog and of both hosts to the membership.
    pub fn start(&mut self) {
        let node = |number: u32| {
            let name = format!("box{number}.example.org").as_str().into();
            let zone = if number < 3 { "room-a" } else { "room-b" }.into();
            Event::Node {
                node: number,
                to: Some(NodeAttributes {
                    name,
                    zone,
                    shard: number,
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
        for node in 1..5 {
            self.report(H1, node, |_| ());
            self.report(H2, node, |_| ());
        }
    }

    /// Performs a step and then passes the outcomes of its proposals, until no further event occurs.
    pub fn step(&mut self, events: Vec<Event>) {
        let mut events = events;
        loop {
            let actions = self.membership.step(
                self.now,
                self.now + self.wall_offset,
                std::mem::take(&mut events),
            );
            for action in actions {
                match action {
                    Action::Propose {
                        proposal,
                        node,
                        to,
                        base_version,
                        reason,
                    } => {
                        assert_eq!(
                            base_version.0, self.version,
                            "the proposal is based on the persisted version"
                        );
                        if let Some(reason) = self.rejects_with {
                            events.push(Event::Rejected {
                                proposal,
                                reason: reason.into(),
                            });
                            continue;
                        }
                        self.committed
                            .push((node, to.as_ref().map(|drain| drain.stage), reason));
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

    /// Commits a drain, and returns the catalog's events.
    pub fn commit(&mut self, node: u32, to: Option<Drain>) -> Vec<Event> {
        self.version += 1;
        let version = Version(self.version);
        let since = self.now + self.wall_offset;
        let to = to.map(|drain| Drain { since, ..drain });
        vec![
            Event::Persisted { version },
            Event::Drain { node, to, version },
        ]
    }

    /// Commits a drain that an operator requests. `None` ends the node's drain.
    pub fn drain(&mut self, node: u32, stage: Option<Stage>, timeout: Duration) {
        let requested_at = self.now + self.wall_offset;
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

    /// Reports a host's observation of a node that is ready and started long ago, except for the
    /// fields that `with` sets.
    pub fn report(&mut self, host: HostNumber, node: u32, with: impl Fn(&mut NodeObservation)) {
        let catalog_version = Version(self.version);
        let mut observation = NodeObservation {
            listed: ListedState::Ready,
            incarnation: 1,
            revision: 1,
            catalog_version,
            ..NodeObservation::default()
        };
        with(&mut observation);
        self.step(vec![Event::Observed {
            host,
            node,
            observation,
        }]);
    }

    pub fn acknowledge(&mut self, host: HostNumber) {
        self.step(vec![Event::Acknowledged {
            host,
            version: Some(Version(self.version)),
        }]);
    }

    /// Lets time pass, with a step at each wake-up time.
    pub fn wait(&mut self, span: Duration) {
        let end = self.now + span;
        while let Some(at) = self.membership.wake_at().filter(|at| *at <= end) {
            assert!(at > self.now, "the wake-up time is in the future");
            self.now = at;
            self.step(vec![]);
        }
        self.now = end;
        self.step(vec![]);
    }

    pub fn connect(&mut self, host: HostNumber, incarnation: u64) {
        self.step(vec![Event::HostConnected { host, incarnation }]);
    }

    pub fn disconnect(&mut self, host: HostNumber) {
        self.step(vec![Event::HostDisconnected { host }]);
    }

    pub fn status(&self, node: u32) -> NodeStatus {
        self.status_and_phase(node).0
    }

    pub fn is_blocked(&self, node: u32) -> bool {
        self.membership.blocks_new_requests(node)
    }

    pub fn status_and_phase(&self, node: u32) -> (NodeStatus, Option<Phase>) {
        let view = self
            .membership
            .node(node, 0.0)
            .expect("the node is in the catalog");
        (view.status, view.drain.map(|drain| drain.phase))
    }

    pub fn phase(&self, node: u32) -> Phase {
        self.status_and_phase(node).1.expect("the node has a drain")
    }
}

pub fn waiting(reason: &str) -> Phase {
    Phase::Waiting {
        reason: reason.into(),
    }
}

pub fn notifying(hosts: &[(HostNumber, bool)]) -> Phase {
    Phase::Notifying {
        hosts: hosts.to_vec(),
    }
}

pub fn quiescing(attempts: u32, peak_attempts: u32, unresolved_seconds: u64) -> Phase {
    Phase::Quiescing {
        attempts,
        peak_attempts,
        unresolved_for: seconds(unresolved_seconds),
    }
}

pub fn drained(objections: &[&str]) -> Phase {
    Phase::Drained {
        objections: objections.iter().map(|text| text.to_string()).collect(),
    }
}
