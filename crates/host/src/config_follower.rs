//! This host's connection to the state service, and what its decisions know of plans and volumes.
//!
//! Called by the router: what came on the connection and from the disk goes in, and
//! [`ConfigFollower::step`] returns what the sockets, the disk and the decisions are to be told.
//! What is followed, persisted and believed is decided in [`grebecleat_catalog::follower`]; here is
//! only when to dial again, and the assembly of answers that come in parts. A host without a state
//! service serves what its settings say, for good.
//!
//! Memory: the catalog of volumes that work through this host, and one answer being assembled, of
//! at most [`MAX_RECORDS`] records.

use crate::outbox::Outbox;
use crate::router::ConnId;
use grebecleat_catalog::follower::{
    self, Action, Follower, InitialState, PersistRequest, Terms, Update,
};
use grebecleat_catalog::leader::{CallId, Epoch};
use grebecleat_catalog::records::{self, Name, Version};
use grebecleat_catalog_service::codec::{changes_from_proto, revision_from_proto, DecodeError};
use grebecleat_catalog_service::store::Record;
use grebecleat_scheduler::api::{Event, LimitQuota, Plan, PlanId, VolumeId, VolumeTerms};
use grebecleat_settings::Settings;
use grebecleat_wire::pb::{self, frame::Body};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

/// The first delay before another dial, doubled for each that came to nothing.
const FIRST_BACKOFF: Duration = Duration::from_millis(100);
/// The longest delay before another dial.
const MAX_BACKOFF: Duration = Duration::from_secs(2);
/// Dials that came to nothing after which the delay grows no more.
const MAX_DOUBLINGS: u32 = 8;
/// A dial that reports nothing is given up after this.
const DIAL_TIMEOUT: Duration = Duration::from_secs(2);
/// Records of one answer. A service that sends more is not believed.
const MAX_RECORDS: usize = 20_000_000;

/// Whether this host serves a volume.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum VolumePlacement {
    /// It works through this host.
    Here {
        /// Its plan.
        plan: PlanId,
        /// Through how many hosts it works.
        hosts: usize,
    },
    /// It works through other hosts.
    Elsewhere,
    /// There is no such volume.
    Unknown,
    /// This host has not been told of any volume yet.
    NotYetKnown,
}

/// What is to be done beyond telling the decisions.
#[derive(Debug)]
pub enum ConfigAction {
    /// Connect to the state service.
    Dial {
        /// The new connection.
        conn: ConnId,
    },
    /// Write records to the store; [`ConfigFollower::persisted`] tells when they are there.
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

/// What a state service must not send.
#[derive(Debug, thiserror::Error)]
pub enum StateServiceError {
    /// A message that only others send.
    #[error("the state service said what is not for it to say")]
    UnexpectedMessage,
    /// An answer with more than [`MAX_RECORDS`] records.
    #[error("the state service sends more than anybody could mean")]
    TooLarge,
    /// A change that cannot be decoded.
    #[error(transparent)]
    Decode(#[from] DecodeError),
}

/// What this host knows of a volume that the catalog names.
#[derive(Debug, Clone, Copy)]
struct KnownVolume {
    plan: PlanId,
    hosts: usize,
    /// It works through this host.
    here: bool,
}

/// Follows a state service, or stands by what the settings declare.
pub struct ConfigFollower {
    /// None: the settings alone count.
    follower: Option<Follower>,
    pending: Vec<follower::Event>,
    conn: Option<ConnId>,
    outbox: Option<Arc<Outbox>>,
    dialled: Duration,
    dial_at: Duration,
    failed_dials: u32,
    /// An answer of which parts have come.
    partial: Option<pb::ConfigUpdate>,
    rng: Pcg64Mcg,
    plans: HashMap<Name, PlanId>,
    /// By plan, units a second.
    rates: Vec<f64>,
    /// The version whose drains were last looked at.
    drains_version: Version,
    volumes: HashMap<VolumeId, KnownVolume>,
}

impl ConfigFollower {
    /// What the settings declare.
    pub fn declared(settings: &Settings) -> Self {
        let plans = settings.plans.iter().enumerate();
        let volumes = settings.volumes.iter().map(|volume| {
            let known = KnownVolume {
                plan: PlanId(volume.plan),
                hosts: volume.hosts.len(),
                here: true,
            };
            (VolumeId(volume.id), known)
        });
        ConfigFollower {
            follower: None,
            pending: Vec::new(),
            conn: None,
            outbox: None,
            dialled: Duration::ZERO,
            dial_at: Duration::ZERO,
            failed_dials: 0,
            partial: None,
            rng: Pcg64Mcg::seed_from_u64(0),
            plans: plans
                .map(|(index, plan)| (Name::from(plan.name.as_str()), PlanId(index)))
                .collect(),
            rates: settings
                .plans
                .iter()
                .map(|plan| plan.facts.base_rate)
                .collect(),
            drains_version: Version(0),
            volumes: volumes.collect(),
        }
    }

    /// What a state service says, beginning with what was last persisted of it.
    pub fn of(settings: &Settings, host: &str, start: InitialState, seed: u64) -> Self {
        let max_dispatch_delay = settings.bounds.max_dispatch_delay;
        ConfigFollower {
            follower: Some(Follower::new(host.into(), start, max_dispatch_delay)),
            rng: Pcg64Mcg::seed_from_u64(seed),
            volumes: HashMap::new(),
            ..ConfigFollower::declared(settings)
        }
    }

    /// Whether this host serves the volume.
    pub fn placement(&self, volume: VolumeId) -> VolumePlacement {
        if let Some(known) = self.volumes.get(&volume) {
            return match known.here {
                true => VolumePlacement::Here {
                    plan: known.plan,
                    hosts: known.hosts,
                },
                false => VolumePlacement::Elsewhere,
            };
        }
        let follower = self.follower.as_ref();
        match follower.is_some_and(|follower| !follower.has_state()) {
            true => VolumePlacement::NotYetKnown,
            false => VolumePlacement::Unknown,
        }
    }

    /// A plan's base rate, in units a second; 0 for an unknown one.
    pub fn rate(&self, plan: PlanId) -> f64 {
        self.rates.get(plan.0).copied().unwrap_or_default()
    }

    /// Whether a state service is followed.
    pub fn is_on(&self) -> bool {
        self.follower.is_some()
    }

    /// What is followed.
    pub fn follower(&self) -> Option<&Follower> {
        self.follower.as_ref()
    }

    /// Nodes that are drained, by all that was followed.
    pub fn drained(&self) -> Vec<u32> {
        let Some(follower) = &self.follower else {
            return Vec::new();
        };
        let drains = follower.catalog().drains();
        drains
            .filter(|(_, drain)| drain.holds())
            .map(|(node, _)| node)
            .collect()
    }

    /// Whether the drains may be others since this was last called.
    pub fn drains_changed(&mut self) -> bool {
        let follower = self.follower.as_ref();
        let version = follower.map_or(Version(0), |follower| follower.catalog().version());
        std::mem::replace(&mut self.drains_version, version) != version
    }

    /// Whether there is a connection to the service.
    pub fn is_up(&self) -> bool {
        self.outbox.is_some()
    }

    /// Sends a message to the service, where there is a connection.
    pub fn put(&self, body: Body) {
        if let Some(outbox) = &self.outbox {
            outbox.put(pb::Frame {
                sent_us: 0,
                body: Some(body),
            });
        }
    }

    /// A dial has succeeded.
    pub fn connected(&mut self, conn: ConnId, outbox: Arc<Outbox>) {
        if self.conn != Some(conn) {
            return outbox.close();
        }
        self.outbox = Some(outbox);
        self.pending.push(follower::Event::Up);
    }

    /// The connection has ended, or the dial has failed.
    pub fn disconnected(&mut self, conn: ConnId, now: Duration) {
        if self.conn != Some(conn) {
            return;
        }
        if let Some(outbox) = self.outbox.take() {
            outbox.close();
        }
        self.conn = None;
        self.partial = None;
        let doubled = FIRST_BACKOFF * 2u32.pow(self.failed_dials.min(MAX_DOUBLINGS));
        // All hosts lose a service that ends at one moment, and must not all come back at one.
        let jitter = 0.5 + self.rng.random::<f64>();
        self.dial_at = now + doubled.min(MAX_BACKOFF).mul_f64(jitter);
        self.failed_dials += 1;
        self.pending.push(follower::Event::Down);
    }

    /// A [`ConfigAction::Persist`] is done, or has failed.
    pub fn persisted(&mut self, number: u64, done: Result<(), String>) {
        self.pending.push(match done {
            Ok(()) => follower::Event::Persisted { number },
            Err(reason) => follower::Event::PersistFailed { reason },
        });
    }

    /// Takes a message of the service's connection.
    pub fn handle_frame(&mut self, conn: ConnId, body: Body) -> Result<(), StateServiceError> {
        if self.conn != Some(conn) {
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

    fn handle_update(&mut self, update: pb::ConfigUpdate) -> Result<(), StateServiceError> {
        let more = update.more;
        let update = self.assemble(update);
        if update.state.len() + update.revisions.len() > MAX_RECORDS {
            return Err(StateServiceError::TooLarge);
        }
        if more {
            self.partial = Some(update);
            return Ok(());
        }
        let revisions = update.revisions.into_iter().map(revision_from_proto);
        let revisions = revisions.collect::<Result<Vec<_>, _>>()?;
        let granted = match update.snapshot {
            false => Update::Revisions(revisions),
            true => Update::Snapshot {
                at: Version(update.at),
                state: changes_from_proto(update.state)?,
                revisions,
            },
        };
        // Not as soon as the connection is up: one that has too many callers may accept and hang up.
        self.failed_dials = 0;
        self.pending.push(follower::Event::Granted {
            call: CallId(update.call),
            epoch: Epoch(update.epoch),
            version: Version(update.version),
            stable: Version(update.stable),
            lease: Duration::from_micros(update.lease_us),
            update: granted,
        });
        Ok(())
    }

    /// Adds a part of an answer to those that have come before.
    fn assemble(&mut self, part: pb::ConfigUpdate) -> pb::ConfigUpdate {
        match self.partial.take() {
            Some(mut begun) if begun.call == part.call => {
                begun.state.extend(part.state);
                begun.revisions.extend(part.revisions);
                begun
            }
            _ => part,
        }
    }

    /// When `step` must be called again if nothing happens before.
    pub fn wake_at(&self) -> Option<Duration> {
        let follower = self.follower.as_ref()?;
        let link = match (self.conn, &self.outbox) {
            (None, _) => Some(self.dial_at),
            (Some(_), None) => Some(self.dialled + DIAL_TIMEOUT),
            (Some(_), Some(_)) => None,
        };
        [follower.wake_at(), link].into_iter().flatten().min()
    }

    /// Adds what the decisions are to be told to `events`. `next_number` gives connections their
    /// numbers.
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
        actions.extend(self.dial(now, next_number));
        let follower = self.follower.as_mut().expect("looked at above");
        let due = follower.wake_at().is_some_and(|at| at <= now);
        if self.pending.is_empty() && !due {
            return actions;
        }
        for action in follower.step(now, std::mem::take(&mut self.pending)) {
            self.perform(action, events, &mut actions);
        }
        actions
    }

    /// Gives up a dial that reports nothing, and dials where it is time.
    fn dial(&mut self, now: Duration, next_number: impl FnOnce() -> u64) -> Option<ConfigAction> {
        if let (Some(conn), None) = (self.conn, &self.outbox) {
            if now >= self.dialled + DIAL_TIMEOUT {
                self.disconnected(conn, now);
            }
        }
        if self.conn.is_some() || now < self.dial_at {
            return None;
        }
        let conn = ConnId(next_number());
        self.conn = Some(conn);
        self.dialled = now;
        Some(ConfigAction::Dial { conn })
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
            Action::Plan { name, plan } => events.push(self.plan_changed(name, plan)),
            Action::Volume { id, terms } => events.push(self.volume_changed(VolumeId(id), terms)),
            Action::Note { text } => actions.push(ConfigAction::Log { text }),
        }
    }

    fn persist(&self, request: PersistRequest) -> ConfigAction {
        let follower = self.follower.as_ref().expect("it asked for it");
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

    fn plan_changed(&mut self, name: Name, plan: records::Plan) -> Event {
        let next = PlanId(self.plans.len());
        let id = *self.plans.entry(name).or_insert(next);
        self.rates.resize(self.plans.len(), 0.0);
        self.rates[id.0] = plan.rate;
        let facts = Plan {
            base_rate: plan.rate,
            reservation: plan.reservation,
            limit: plan.limit,
            limit_burst: plan.burst,
            limit_slack: plan.slack,
            weight: plan.weight,
            price: plan.price,
        };
        Event::PlanChanged { plan: id, facts }
    }

    fn volume_changed(&mut self, volume: VolumeId, terms: Option<Terms>) -> Event {
        let Some(terms) = terms.filter(|terms| terms.mine) else {
            self.volume_left(volume);
            return Event::VolumeChanged {
                volume,
                terms: None,
            };
        };
        let plan = self.plans.get(&terms.plan).copied().unwrap_or(PlanId(0));
        let hosts = terms.hosts;
        let here = true;
        self.volumes
            .insert(volume, KnownVolume { plan, hosts, here });
        let limit = terms.quota.map(|quota| LimitQuota {
            rate: quota.rate,
            burst: quota.burst,
        });
        Event::VolumeChanged {
            volume,
            terms: Some(VolumeTerms { plan, hosts, limit }),
        }
    }

    /// What went elsewhere is known as such; what is no more is not.
    fn volume_left(&mut self, volume: VolumeId) {
        let follower = self.follower.as_ref();
        let exists = follower.is_some_and(|f| f.catalog().volume(volume.0).is_some());
        if !exists {
            self.volumes.remove(&volume);
            return;
        }
        let elsewhere = KnownVolume {
            plan: PlanId(0),
            hosts: 0,
            here: false,
        };
        self.volumes.insert(volume, elsewhere);
    }
}
