//! The states that can follow a state by one step of a host, the service, the node or an operator.

use crate::model::{observation_events, Fault, Model};
use crate::world::*;
use grebecleat_catalog::feed::HostNumber;
use grebecleat_catalog::records::{Stage, Version};
use grebecleat_membership::drains::Event;
use grebecleat_membership::list_entry::ListedState;

/// An operator's change of a drain.
struct OperatorChange {
    operator: u8,
    node: usize,
    to: Option<Stage>,
}

/// The changes that operators propose.
const OPERATOR_CHANGES: [OperatorChange; 5] = [
    OperatorChange {
        operator: 0,
        node: 0,
        to: Some(Stage::Draining),
    },
    OperatorChange {
        operator: 0,
        node: 0,
        to: None,
    },
    OperatorChange {
        operator: 1,
        node: 0,
        to: None,
    },
    OperatorChange {
        operator: 1,
        node: 1,
        to: Some(Stage::Draining),
    },
    OperatorChange {
        operator: 1,
        node: 1,
        to: Some(Stage::Queued),
    },
];

/// Collects the states that can follow a state.
struct Successors<'a> {
    from: &'a World,
    worlds: Vec<World>,
}

impl Successors<'_> {
    fn add(&mut self, transition: impl FnOnce(&mut World)) {
        let mut world = self.from.clone();
        transition(&mut world);
        self.worlds.push(world);
    }
}

impl Model {
    /// Returns all states that can follow a state.
    pub fn next(&self, world: &World) -> Vec<World> {
        let mut next = Successors {
            from: world,
            worlds: Vec::new(),
        };
        if world.now < FIRST_TICK + self.max_ticks {
            next.add(|world| self.tick(world));
        }
        for host in 0..self.hosts {
            self.host_sends(host, &mut next);
            self.host_applies_catalog(host, &mut next);
            self.host_reports(host, &mut next);
            self.host_connects(host, &mut next);
            self.host_fails(host, &mut next);
        }
        self.service_restarts(&mut next);
        self.node_restarts(&mut next);
        self.operators_propose(&mut next);
        next.worlds
    }

    /// A host sends an attempt, receives its response, or receives the endpoint list.
    fn host_sends(&self, number: usize, next: &mut Successors) {
        let world = next.from;
        let host = &world.hosts[number];
        let blocked_by_drain = blocks_new_requests(host.applied.1[0]);
        let blocked = blocked_by_drain && self.fault != Fault::SendsDespiteDrain;
        let can_send = host.alive && world.node.up && host.attempt.is_none();
        let listed_ready = host.list.0 == ListedState::Ready;
        if can_send && world.attempts_sent < self.max_attempts && listed_ready && !blocked {
            next.add(|world| {
                world.hosts[number].attempt = Some(world.now);
                world.attempts_sent += 1;
            });
        }
        if host.attempt.is_some() {
            next.add(|world| world.hosts[number].attempt = None);
        }
        let listed = world.listed();
        if host.alive && host.list != listed {
            next.add(|world| world.hosts[number].list = listed);
        }
    }

    /// A host applies a version of the catalog, persists it, or acknowledges it.
    fn host_applies_catalog(&self, number: usize, next: &mut Successors) {
        let world = next.from;
        let host = &world.hosts[number];
        if host.connected && host.service_sees_connected && host.applied.0 < world.version {
            next.add(|world| self.apply_catalog(world, number));
        }
        if host.alive && host.persisted.0 < host.applied.0 {
            next.add(|world| world.hosts[number].persisted = world.hosts[number].applied);
        }
        let acknowledges = match self.fault {
            Fault::AcknowledgesBeforePersisting => host.applied.0,
            _ => host.persisted.0,
        };
        let is_new = world.acknowledged[number] < Some(acknowledges);
        if host.connected && host.acknowledging.is_none() && is_new {
            next.add(|world| world.hosts[number].acknowledging = Some(acknowledges));
        }
        if let Some(version) = host.acknowledging.filter(|_| host.service_sees_connected) {
            next.add(|world| {
                world.hosts[number].acknowledging = None;
                world.acknowledged[number] = Some(version);
                let acknowledged = Event::Acknowledged {
                    host: HostNumber(number as u32),
                    version: Some(Version(version)),
                };
                self.apply(world, vec![acknowledged]);
            });
        }
    }

    fn apply_catalog(&self, world: &mut World, number: usize) {
        let version = Version(world.version);
        let host = &mut world.hosts[number];
        host.applied = (world.version, world.drains);
        if self.fault == Fault::CountsBeforeApplying {
            let last = host.observations.iter_mut();
            for observation in last.flat_map(|(observations, _)| observations) {
                observation.catalog_version = version;
            }
        }
    }

    /// A host sends its observations, or they arrive.
    fn host_reports(&self, number: usize, next: &mut Successors) {
        let host = &next.from.hosts[number];
        let now = self.observation(next.from, number);
        let changed = |(last, arrived)| arrived && last != now;
        if host.connected && host.observations.is_none_or(changed) {
            next.add(|world| world.hosts[number].observations = Some((now, false)));
        }
        if let Some((observations, false)) =
            host.observations.filter(|_| host.service_sees_connected)
        {
            next.add(|world| {
                world.hosts[number].observations = Some((observations, true));
                self.apply(world, observation_events(number, &observations));
            });
        }
    }

    /// The service detects a lost connection, or a host connects or restarts.
    fn host_connects(&self, number: usize, next: &mut Successors) {
        let host = &next.from.hosts[number];
        if host.service_sees_connected && !host.connected {
            next.add(|world| self.disconnect(world, number));
        }
        if host.alive && !host.connected {
            next.add(|world| self.connect(world, number));
        }
        if !host.alive {
            next.add(|world| {
                let listed = world.listed();
                let before = &world.hosts[number];
                world.hosts[number] = Host {
                    alive: true,
                    incarnation: before.incarnation + 1,
                    service_sees_connected: before.service_sees_connected,
                    applied: before.persisted,
                    persisted: before.persisted,
                    list: listed,
                    ..Host::default()
                };
            });
        }
    }

    /// A host ends, or its connection breaks.
    fn host_fails(&self, number: usize, next: &mut Successors) {
        let world = next.from;
        let host = &world.hosts[number];
        if world.failures >= self.max_failures {
            return;
        }
        if host.alive {
            next.add(|world| {
                world.failures += 1;
                // The host's attempt in flight may still reach the node and run there.
                let host = &mut world.hosts[number];
                if host.attempt.take().is_some() {
                    let runs_until = world.now + 2 * MAX_ATTEMPT_TIME;
                    world.node.runs_until = world.node.runs_until.max(runs_until);
                }
                host.alive = false;
                host.connected = false;
                host.unresolved_until = 0;
            });
        }
        if host.connected {
            next.add(|world| {
                world.failures += 1;
                world.hosts[number].connected = false;
            });
        }
    }

    fn service_restarts(&self, next: &mut Successors) {
        if next.from.failures >= self.max_failures {
            return;
        }
        next.add(|world| {
            world.failures += 1;
            let now = match self.fault {
                Fault::RestartsWithoutWaiting => ticks(0),
                _ => ticks(world.now),
            };
            for host in &mut world.hosts {
                host.connected = false;
                host.service_sees_connected = false;
                host.acknowledging = None;
                host.observations = None;
            }
            self.start_service(world, now);
        });
    }

    /// The node's process ends or restarts.
    fn node_restarts(&self, next: &mut Successors) {
        let world = next.from;
        if !self.node_may_restart || (world.failures >= self.max_failures && world.node.up) {
            return;
        }
        next.add(|world| {
            world.failures += u8::from(world.node.up);
            world.node.runs_until = 0;
            world.node.up = !world.node.up;
            if world.node.up {
                world.node.incarnation += 1;
                world.node.started = Some(world.now);
            }
            for host in &mut world.hosts {
                if host.attempt.take().is_some() {
                    // The connection is reset, and the host cannot know whether the attempt has run.
                    host.unresolved_until = world.now + MAX_ATTEMPT_TIME;
                }
            }
        });
    }

    /// The second operator reads the catalog, or an operator proposes a change. The first operator
    /// always knows the current version; the second may propose based on an older one.
    fn operators_propose(&self, next: &mut Successors) {
        let world = next.from;
        if world.operator_version < world.version {
            next.add(|world| world.operator_version = world.version);
        }
        if world.operator_changes >= self.max_operator_changes {
            return;
        }
        for OperatorChange { operator, node, to } in OPERATOR_CHANGES {
            let base_version = match operator {
                0 => world.version,
                _ => world.operator_version,
            };
            let mut after = world.clone();
            match self.propose(&mut after, operator, node, to, base_version) {
                Ok(()) => {
                    after.operator_changes += 1;
                    let events = after.committed(node);
                    self.apply(&mut after, events);
                    next.worlds.push(after);
                }
                // The rejection of a change based on an outdated version names the other author.
                Err(reason) if world.last_changed[node].0 > base_version => {
                    let changed_by = world.last_changed[node].1;
                    assert_eq!(reason, format!("changed meanwhile by {changed_by}"));
                }
                Err(_) => {}
            }
        }
    }
}
