//! A model of the hosts, the catalog and the service around the membership, and the exploration of
//! its states.

use crate::world::*;
use grebecleat_catalog::admission::{excluded_in_zone, ExclusionReason};
use grebecleat_catalog::feed::HostNumber;
use grebecleat_catalog::records::{Drain, Stage, Version};
use grebecleat_membership::answers::ResponseHealth;
use grebecleat_membership::drains::{Action, Event, Membership, NodeAttributes, NodeObservation};
use grebecleat_membership::list_entry::ListedState;
use std::collections::HashSet;
use std::time::Duration;

/// A fault that the model injects outside the membership, to show that the exploration finds it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    None,
    /// A host acknowledges the version that it has applied before it has persisted that version.
    AcknowledgesBeforePersisting,
    /// A host reports a count of its attempts with a version that it applied after the count.
    CountsBeforeApplying,
    /// A host reports that attempts without a known outcome have ended.
    ForgetsUnresolvedAttempts,
    /// The service does not report that a host's connection is lost.
    DisconnectNotReported,
    /// A restarted service assumes that no attempt is in flight.
    RestartsWithoutWaiting,
    /// Admission does not check for other drains in the zone.
    NoAdmission,
    /// A host that has applied a drain still sends to the node.
    SendsDespiteDrain,
}

/// The bounds of an exploration, and the fault to inject.
pub struct Model {
    pub fault: Fault,
    /// Number of hosts.
    pub hosts: usize,
    /// Number of ticks after the first one.
    pub max_ticks: u64,
    pub max_operator_changes: u8,
    pub max_failures: u8,
    pub max_attempts: u8,
    /// Whether the first node may restart.
    pub node_may_restart: bool,
}

/// The author number of the membership's own proposals.
const MEMBERSHIP_AUTHOR: u8 = 9;

/// Returns the events of a host's observations of all nodes.
pub fn observation_events(host: usize, observations: &[NodeObservation; NODES]) -> Vec<Event> {
    let numbered = observations.iter().enumerate();
    let event = |(node, observation): (usize, &NodeObservation)| Event::Observed {
        host: HostNumber(host as u32),
        node: node as u32,
        observation: *observation,
    };
    numbered.map(event).collect()
}

impl Model {
    fn initial_world(&self) -> World {
        let version_1 = (1, [None; NODES]);
        let host = Host {
            alive: true,
            connected: true,
            service_sees_connected: true,
            applied: version_1,
            persisted: version_1,
            list: (ListedState::Ready, 1),
            ..Host::default()
        };
        let mut world = World {
            now: FIRST_TICK,
            version: 1,
            drains: [None; NODES],
            last_changed: [(0, 0); NODES],
            excluded: [None; NODES],
            membership: Membership::new(ticks(0), ticks(WARM_UP_TIME), ticks(MAX_ATTEMPT_TIME), []),
            acknowledged: vec![Some(1); self.hosts],
            hosts: vec![host; self.hosts],
            node: Node {
                up: true,
                incarnation: 1,
                ..Node::default()
            },
            operator_version: 1,
            operator_changes: 0,
            failures: 0,
            attempts_sent: 0,
        };
        self.start_service(&mut world, ticks(0));
        let connected = |host| Event::HostConnected {
            host: HostNumber(host),
            incarnation: 0,
        };
        self.apply(&mut world, (0..self.hosts as u32).map(connected).collect());
        world
    }

    pub fn start_service(&self, world: &mut World, now: Duration) {
        let hosts = (0..self.hosts as u32).map(HostNumber);
        world.membership =
            Membership::new(now, ticks(WARM_UP_TIME), ticks(MAX_ATTEMPT_TIME), hosts);
        world.excluded = [None; NODES];
        let mut events = vec![Event::Persisted {
            version: Version(world.version),
        }];
        for node in 0..NODES {
            let attributes = NodeAttributes {
                zone: "a".into(),
                shard: node as u32,
                ..NodeAttributes::default()
            };
            events.push(Event::Node {
                node: node as u32,
                to: Some(attributes),
            });
            let drain = world.drains[node].map(|stage| Drain {
                stage,
                ..Drain::default()
            });
            events.extend(drain.map(|drain| Event::Drain {
                node: node as u32,
                to: Some(drain),
                version: Version(world.last_changed[node].0),
            }));
        }
        for (host, acknowledged) in world.acknowledged.iter().enumerate() {
            events.push(Event::Acknowledged {
                host: HostNumber(host as u32),
                version: acknowledged.map(Version),
            });
        }
        self.apply(world, events);
    }

    /// Commits or rejects a proposal as the catalog does: it rejects a change based on an outdated
    /// version, a stage that may not follow the present one, and a drain that conflicts in its zone.
    pub fn propose(
        &self,
        world: &mut World,
        author: u8,
        node: usize,
        to: Option<Stage>,
        base_version: u64,
    ) -> Result<(), String> {
        let (changed_at, changed_by) = world.last_changed[node];
        if changed_at > base_version {
            return Err(format!("changed meanwhile by {changed_by}"));
        }
        let from = world.drains[node];
        if from == to || !Stage::may_follow(from, to) {
            return Err("the change has no effect or is not allowed".into());
        }
        let begins = blocks_new_requests(to) && !blocks_new_requests(from);
        if begins && self.fault != Fault::NoAdmission {
            let draining = (0..NODES)
                .filter(|other| blocks_new_requests(world.drains[*other]))
                .map(|other| (other as u32, ExclusionReason::Draining));
            let excluded =
                (0..NODES).filter_map(|other| Some((other as u32, world.excluded[other]?)));
            if !excluded_in_zone(node as u32, |_| 'a', draining.chain(excluded)).is_empty() {
                return Err("another node of the zone is unavailable".into());
            }
        }
        world.version += 1;
        world.drains[node] = to;
        world.last_changed[node] = (world.version, author);
        Ok(())
    }

    /// Passes events to the membership and performs its actions, until no further event occurs.
    pub fn apply(&self, world: &mut World, mut events: Vec<Event>) {
        for _ in 0..20 {
            let now = ticks(world.now);
            for action in world.membership.step(now, now, std::mem::take(&mut events)) {
                self.perform(world, action, &mut events);
            }
            if events.is_empty() {
                return;
            }
        }
        panic!("the membership still has actions after 20 steps");
    }

    fn perform(&self, world: &mut World, action: Action, events: &mut Vec<Event>) {
        match action {
            Action::Propose {
                proposal,
                node,
                to,
                base_version,
                ..
            } => {
                let to = to.map(|drain| drain.stage);
                match self.propose(world, MEMBERSHIP_AUTHOR, node as usize, to, base_version.0) {
                    Ok(()) => {
                        events.extend(world.committed(node as usize));
                        events.push(Event::Committed { proposal });
                    }
                    Err(reason) => events.push(Event::Rejected { proposal, reason }),
                }
            }
            Action::SetExclusion { node, reason } => world.excluded[node as usize] = reason,
            Action::Notify { .. } => {}
        }
    }

    pub fn observation(&self, world: &World, host: usize) -> [NodeObservation; NODES] {
        let host = &world.hosts[host];
        let applied = Version(host.applied.0);
        let (listed, incarnation) = host.list;
        let is_present = world.node.incarnation == incarnation;
        let started = world.node.started.filter(|_| is_present);
        let unresolved_for = match self.fault {
            Fault::ForgetsUnresolvedAttempts => Duration::ZERO,
            _ => ticks(host.unresolved_until.saturating_sub(world.now)),
        };
        let first = NodeObservation {
            listed,
            incarnation,
            age: started.map(|started| ticks(world.now - started)),
            revision: incarnation * 2 + u64::from(listed == ListedState::Gone),
            answers: ResponseHealth::None,
            catalog_version: applied,
            attempts: u32::from(host.attempt.is_some()),
            unresolved_for,
            extents: None,
        };
        let second = NodeObservation {
            listed: ListedState::Ready,
            incarnation: 1,
            revision: 1,
            catalog_version: applied,
            ..NodeObservation::default()
        };
        [first, second]
    }

    /// Makes the service detect that a host's connection was lost.
    pub fn disconnect(&self, world: &mut World, host: usize) {
        let was_connected = std::mem::take(&mut world.hosts[host].service_sees_connected);
        if was_connected && self.fault != Fault::DisconnectNotReported {
            let host = HostNumber(host as u32);
            self.apply(world, vec![Event::HostDisconnected { host }]);
        }
    }

    pub fn connect(&self, world: &mut World, number: usize) {
        self.disconnect(world, number);
        let host = &mut world.hosts[number];
        host.connected = true;
        host.service_sees_connected = true;
        host.acknowledging = None;
        host.observations = None;
        let connected = Event::HostConnected {
            host: HostNumber(number as u32),
            incarnation: host.incarnation,
        };
        self.apply(world, vec![connected]);
    }

    pub fn tick(&self, world: &mut World) {
        world.now += 1;
        for host in &mut world.hosts {
            let is_over = |sent| world.now >= sent + MAX_ATTEMPT_TIME;
            if host.attempt.is_some_and(is_over) {
                host.attempt = None;
                host.unresolved_until = world.now + MAX_ATTEMPT_TIME;
                world.node.runs_until = world.node.runs_until.max(world.now + MAX_ATTEMPT_TIME);
            }
        }
        self.apply(world, Vec::new());
    }

    /// Visits all states up to the first violation. Returns the number of visited states and the
    /// violation, if any.
    pub fn explore(&self) -> (usize, Option<String>) {
        let mut visited = HashSet::new();
        let mut to_visit = vec![self.initial_world()];
        while let Some(world) = to_visit.pop() {
            if !visited.insert(world.state_hash()) {
                continue;
            }
            if let Some(violation) = world.check() {
                return (visited.len(), Some(violation));
            }
            if visited.len() % 64 == 0 {
                if let Some(stuck) = self.stuck(world.clone()) {
                    return (visited.len(), Some(stuck));
                }
            }
            assert!(visited.len() < 20_000_000, "more than 20 million states");
            to_visit.extend(self.next(&world));
        }
        (visited.len(), None)
    }

    /// Returns a violation if a draining node does not become drained although no further failure or
    /// change occurs.
    fn stuck(&self, mut world: World) -> Option<String> {
        for _ in 0..5 {
            self.tick(&mut world);
            for host in 0..self.hosts {
                self.recover(&mut world, host);
            }
        }
        let is_stuck = world.drains.contains(&Some(Stage::Draining));
        is_stuck.then(|| format!("a draining node never becomes drained: {world:?}"))
    }

    /// Makes a host start, connect, apply, persist and acknowledge the catalog, and report.
    fn recover(&self, world: &mut World, number: usize) {
        let host = &mut world.hosts[number];
        if !host.alive {
            host.alive = true;
            host.applied = host.persisted;
            host.incarnation += 1;
        }
        if !(host.connected && host.service_sees_connected) {
            self.connect(world, number);
        }
        let present = (world.version, world.drains);
        let host = &mut world.hosts[number];
        host.attempt = None;
        host.applied = present;
        host.persisted = present;
        world.acknowledged[number] = Some(world.version);
        let mut events = vec![Event::Acknowledged {
            host: HostNumber(number as u32),
            version: Some(Version(world.version)),
        }];
        events.extend(observation_events(number, &self.observation(world, number)));
        self.apply(world, events);
    }
}
