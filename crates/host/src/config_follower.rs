//! Follows the state service, which publishes the catalog of plans, volumes and drains.
//!
//! The router reports the events of the connection and of the store; [`ConfigFollower::step`] returns
//! the actions for the sockets and the store, and the events for the scheduler.
//! [`grebecleat_catalog::follower`] decides which revisions are applied, persisted and trusted; the
//! private modules own the connection (`link`) and the plans and volumes (`served_volumes`). A host
//! without a state service serves the volumes that its settings declare, for as long as it runs.
//!
//! Memory: the catalog of the volumes that this host serves, and one response that is being assembled.

mod link;
mod served_volumes;

pub use served_volumes::VolumePlacement;

use crate::outbox::Outbox;
use crate::router::ConnId;
use grebecleat_catalog::follower::{
    self, Action, Follower, InitialState, PersistRequest, Terms, Update,
};
use grebecleat_catalog::leader::{CallId, Epoch};
use grebecleat_catalog::records::{Name, Version};
use grebecleat_catalog_service::codec::{changes_from_proto, revision_from_proto, DecodeError};
use grebecleat_catalog_service::store::{Record, StoreFault};
use grebecleat_coordination::HostNumber;
use grebecleat_scheduler::api::{Event, NodeId, PlanId, VolumeId};
use grebecleat_settings::Settings;
use grebecleat_wire::pb::{self, frame::Body};
use link::StateServiceLink;
use served_volumes::ServedVolumes;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

/// An action that the router performs for the follower.
#[derive(Debug)]
pub enum ConfigAction {
    /// Connect to the state service.
    Dial {
        /// The new connection.
        conn: ConnId,
    },
    /// Write records to the store, and call [`ConfigFollower::persisted`] with the result.
    Persist {
        /// The number of the request.
        number: u64,
        /// The records.
        records: Vec<Record>,
    },
    /// Write a line to the log.
    Log {
        /// The line.
        text: String,
    },
}

/// A protocol violation by the state service.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum StateServiceError {
    /// A message of a kind that a state service does not send.
    #[error("unexpected message from the state service")]
    UnexpectedMessage,
    /// A response with more records than a host accepts.
    #[error("too many records in a response of the state service")]
    TooLarge,
    /// A change that cannot be decoded.
    #[error(transparent)]
    Decode(#[from] DecodeError),
}

/// Follows a state service, or serves the volumes that the settings declare.
pub struct ConfigFollower {
    /// `None` if there is no state service, so that only the settings apply.
    follower: Option<Follower>,
    /// Events since the last step.
    pending: Vec<follower::Event>,
    link: StateServiceLink,
    volumes: ServedVolumes,
    /// The nodes that are drained.
    drained: BTreeSet<NodeId>,
    /// The version of the catalog from which `drained` was taken.
    drains_version: Version,
}

impl ConfigFollower {
    /// Returns a follower for a host without a state service, which serves the volumes that the
    /// settings declare.
    pub fn declared(settings: &Settings) -> Self {
        ConfigFollower {
            follower: None,
            pending: Vec::new(),
            link: StateServiceLink::new(0),
            volumes: ServedVolumes::declared(settings),
            drained: BTreeSet::new(),
            drains_version: Version(0),
        }
    }

    /// Returns a follower of a state service that starts from the last persisted state. The drains in
    /// that state apply from the first endpoint list on.
    pub fn of(settings: &Settings, host: &str, start: InitialState, seed: u64) -> Self {
        let max_dispatch_delay = settings.bounds.max_dispatch_delay;
        let follower = Follower::new(host.into(), start, max_dispatch_delay);
        ConfigFollower {
            drained: drained_nodes(&follower),
            follower: Some(follower),
            link: StateServiceLink::new(seed),
            volumes: ServedVolumes::declared_plans(settings),
            ..ConfigFollower::declared(settings)
        }
    }

    /// Returns whether this host serves the volume.
    pub fn placement(&self, volume: VolumeId) -> VolumePlacement {
        if let Some(placement) = self.volumes.placement(volume) {
            return placement;
        }
        let follower = self.follower.as_ref();
        match follower.is_some_and(|follower| !follower.has_state()) {
            true => VolumePlacement::NotYetKnown,
            false => VolumePlacement::Unknown,
        }
    }

    /// Returns the base rate of a plan in units a second, or 0 for an unknown plan.
    pub fn rate(&self, plan: PlanId) -> f64 {
        self.volumes.rate(plan)
    }

    /// Returns whether this host follows a state service.
    pub fn follows_state_service(&self) -> bool {
        self.follower.is_some()
    }

    /// Returns the follower, or `None` if there is no state service.
    pub fn follower(&self) -> Option<&Follower> {
        self.follower.as_ref()
    }

    /// Returns whether the node is drained.
    pub fn is_drained(&self, node: NodeId) -> bool {
        self.drained.contains(&node)
    }

    /// Takes over the drains of a catalog that has changed, and returns the nodes whose drain has
    /// started or ended. Returns `None` if the catalog has not changed since the last call.
    pub fn take_drain_changes(&mut self) -> Option<Vec<NodeId>> {
        let follower = self.follower.as_ref()?;
        let version = follower.catalog().version();
        if std::mem::replace(&mut self.drains_version, version) == version {
            return None;
        }
        let drained = drained_nodes(follower);
        let changed = drained.symmetric_difference(&self.drained).copied();
        let changed = changed.collect();
        self.drained = drained;
        Some(changed)
    }

    /// Returns the hosts that serve a volume, each by its index among the hosts of the settings.
    pub fn hosts_of(&self, volume: VolumeId, settings: &Settings) -> BTreeSet<HostNumber> {
        let follower = self.follower.as_ref();
        let known = follower.and_then(|follower| follower.catalog().volume(volume.0));
        let Some(known) = known else {
            return BTreeSet::new();
        };
        let index = |name: &Name| {
            let mut hosts = settings.hosts.iter();
            hosts.position(|host| host.name.as_str() == &**name)
        };
        let indexes = known.hosts.iter().filter_map(index);
        indexes.map(|index| HostNumber(index as u32)).collect()
    }

    /// Returns whether there is a connection to the state service.
    pub fn is_up(&self) -> bool {
        self.link.is_up()
    }

    /// Sends a message to the state service, if there is a connection.
    pub fn put(&self, body: Body) {
        self.link.put(body);
    }

    /// Records that a dial has succeeded.
    pub fn connected(&mut self, conn: ConnId, outbox: Arc<Outbox>) {
        if self.link.connected(conn, outbox) {
            self.pending.push(follower::Event::Up);
        }
    }

    /// Records that the connection has ended, or that the dial has failed.
    pub fn disconnected(&mut self, conn: ConnId, now: Duration) {
        if self.link.disconnected(conn, now) {
            self.pending.push(follower::Event::Down);
        }
    }

    /// Records the result of a [`ConfigAction::Persist`].
    pub fn persisted(&mut self, number: u64, done: Result<(), StoreFault>) {
        self.pending.push(match done {
            Ok(()) => follower::Event::Persisted { number },
            Err(fault) => follower::Event::PersistFailed {
                reason: fault.to_string(),
            },
        });
    }

    /// Handles a message of the state service.
    pub fn handle_frame(&mut self, conn: ConnId, body: Body) -> Result<(), StateServiceError> {
        if !self.link.is_current(conn) {
            return Ok(());
        }
        match body {
            Body::ConfigUpdate(update) => return self.handle_update(update),
            Body::LeaderBehind(behind) => self.pending.push(follower::Event::Behind {
                call: CallId(behind.call),
            }),
            Body::ChangeRejected(rejected) => self.pending.push(follower::Event::PollRejected {
                call: CallId(rejected.call),
                reason: rejected.reason,
            }),
            Body::GoingAway(_) => {}
            _ => return Err(StateServiceError::UnexpectedMessage),
        }
        Ok(())
    }

    fn handle_update(&mut self, part: pb::ConfigUpdate) -> Result<(), StateServiceError> {
        let Some(update) = self.link.assemble(part)? else {
            return Ok(());
        };
        let revisions = update.revisions.into_iter().map(revision_from_proto);
        let revisions = revisions.collect::<Result<Vec<_>, _>>()?;
        let content = match update.snapshot {
            false => Update::Revisions(revisions),
            true => Update::Snapshot {
                at: Version(update.at),
                state: changes_from_proto(update.state)?,
                revisions,
            },
        };
        self.link.response_received();
        self.pending.push(follower::Event::Granted {
            call: CallId(update.call),
            epoch: Epoch(update.epoch),
            version: Version(update.version),
            stable: Version(update.stable),
            lease: Duration::from_micros(update.lease_us),
            update: content,
        });
        Ok(())
    }

    /// Returns when `step` must be called again if no event arrives before.
    pub fn wake_at(&self) -> Option<Duration> {
        let follower = self.follower.as_ref()?;
        let wakes = [follower.wake_at(), self.link.wake_at()];
        wakes.into_iter().flatten().min()
    }

    /// Handles the events since the last call, adds the events for the scheduler to `events`, and
    /// returns the actions to perform. `next_number` generates the number of a new connection.
    pub fn step(
        &mut self,
        now: Duration,
        events: &mut Vec<Event>,
        next_number: impl FnMut() -> u64,
    ) -> Vec<ConfigAction> {
        let mut actions = Vec::new();
        if self.follower.is_none() {
            return actions;
        }
        if let Some(overdue) = self.link.overdue_dial(now) {
            self.disconnected(overdue, now);
        }
        let dialled = self.link.dial(now, next_number);
        actions.extend(dialled.map(|conn| ConfigAction::Dial { conn }));
        let Some(follower) = self.follower.as_mut() else {
            return actions;
        };
        let due = follower.wake_at().is_some_and(|at| at <= now);
        if self.pending.is_empty() && !due {
            return actions;
        }
        for action in follower.step(now, std::mem::take(&mut self.pending)) {
            self.perform(action, events, &mut actions);
        }
        actions
    }

    fn perform(
        &mut self,
        action: Action,
        events: &mut Vec<Event>,
        actions: &mut Vec<ConfigAction>,
    ) {
        match action {
            Action::Poll {
                call,
                epoch,
                applied,
                stable,
                acknowledged,
            } => self.put(Body::FollowRequest(pb::FollowRequest {
                call: call.0,
                epoch: epoch.0,
                applied: applied.0,
                stable: stable.0,
                acknowledged: acknowledged.0,
            })),
            Action::Acknowledge { epoch, applied } => {
                self.put(Body::Acknowledge(pb::Acknowledge {
                    epoch: epoch.0,
                    applied: applied.0,
                }))
            }
            Action::Persist(request) => actions.push(self.persist(request)),
            Action::Plan { name, plan } => events.push(self.volumes.plan_changed(name, plan)),
            Action::Volume { id, terms } => events.push(self.volume_changed(VolumeId(id), terms)),
            Action::Log { text } => actions.push(ConfigAction::Log { text }),
        }
    }

    fn persist(&self, request: PersistRequest) -> ConfigAction {
        let follower = self.follower.as_ref();
        let follower = follower.expect("only a follower requests that records be persisted");
        let catalog = follower.catalog();
        let mut records = vec![Record::Epoch(request.epoch)];
        if request.snapshot {
            records.push(Record::Snapshot {
                version: catalog.version(),
                state: catalog.state().collect(),
                audit_log: catalog.audit_log().cloned().collect(),
            });
        } else {
            records.extend(request.revisions.into_iter().map(Record::Revision));
        }
        records.push(Record::Stable(request.stable));
        ConfigAction::Persist {
            number: request.number,
            records,
        }
    }

    fn volume_changed(&mut self, volume: VolumeId, terms: Option<Terms>) -> Event {
        if let Some(terms) = terms.filter(|terms| terms.served_here) {
            return self.volumes.volume_served(volume, terms);
        }
        let follower = self.follower.as_ref();
        let exists = follower.is_some_and(|follower| follower.catalog().volume(volume.0).is_some());
        self.volumes.volume_not_served(volume, exists)
    }
}

/// Returns the nodes whose drain is in force in the follower's catalog.
fn drained_nodes(follower: &Follower) -> BTreeSet<NodeId> {
    let drains = follower.catalog().drains();
    let in_force = drains.filter(|(_, drain)| drain.holds());
    in_force.map(|(node, _)| NodeId(node)).collect()
}
