//! This host's way to the state service, and what its decisions know of plans and volumes.
//!
//! Called by the desk: what came on the connection and from the disk goes in, and `step` answers what the
//! sockets, the disk and the decisions are to be told. What is followed, kept and believed is decided in
//! [`grebecleat_plans::follower`]; here is only when to dial again, and the putting together of answers that
//! come in parts. A host without a state service serves what its settings say, for good.
//!
//! Memory: the catalog of volumes that work through this host, and one answer being put together, of at most
//! [`MOST_PARTS`] records.

use crate::desk::ConnId;
use crate::outbox::Outbox;
use grebecleat::interface::{Event, LimitQuota, Plan, PlanId, VolumeId, VolumeTerms};
use grebecleat_plans::follower::{self, Action, Follower, InitialState, Update};
use grebecleat_plans::leader::{CallId, Epoch};
use grebecleat_plans::records::{self, Name, Version};
use grebecleat_settings::Settings;
use grebecleat_state::codec::{changes_from_proto, revision_from_proto};
use grebecleat_state::store::Record;
use grebecleat_wire::pb::{self, frame::Body};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

/// The first wait before another dial, doubled for each that came to nothing, and the longest.
const AGAIN: (Duration, Duration) = (Duration::from_millis(100), Duration::from_secs(2));
/// A dial that reports nothing is given up after this.
const DIAL: Duration = Duration::from_secs(2);
/// Records of one answer. A service that sends more is not believed.
const MAX_PARTS: usize = 20_000_000;

/// How a volume stands here.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Standing {
    Here {
        plan: PlanId,
        hosts: usize,
    },
    /// It works through other hosts.
    Elsewhere,
    /// There is no such volume.
    Nowhere,
    /// Nobody has told this host anything yet.
    Untold,
}

/// What is to be done beyond telling the decisions.
#[derive(Debug)]
pub enum Out {
    Dial { conn: ConnId },
    Record { number: u64, records: Vec<Record> },
    Note { text: String },
}

pub struct Following {
    /// None: the settings alone count.
    follower: Option<Follower>,
    heard: Vec<follower::Event>,
    conn: Option<ConnId>,
    outbox: Option<Arc<Outbox>>,
    dialled: Duration,
    dial_at: Duration,
    tries: u32,
    /// An answer that has begun to come: its state and entries so far.
    part: Option<pb::ConfigUpdate>,
    rng: Pcg64Mcg,
    plans: HashMap<Name, PlanId>,
    /// By plan, units a second.
    rates: Vec<f64>,
    /// Of the catalog when drains were last looked at.
    drains_of: Version,
    volumes: HashMap<VolumeId, (PlanId, usize, bool)>,
}

impl Following {
    /// What the settings declare.
    pub fn declared(s: &Settings) -> Self {
        let plans = s
            .plans
            .iter()
            .enumerate()
            .map(|(n, p)| (Name::from(p.name.as_str()), PlanId(n)));
        let volumes = s
            .volumes
            .iter()
            .map(|v| (VolumeId(v.id), (PlanId(v.plan), v.hosts.len(), true)));
        Following {
            follower: None,
            heard: Vec::new(),
            conn: None,
            outbox: None,
            dialled: Duration::ZERO,
            dial_at: Duration::ZERO,
            tries: 0,
            part: None,
            rng: Pcg64Mcg::seed_from_u64(0),
            plans: plans.collect(),
            rates: s.plans.iter().map(|p| p.facts.base_rate).collect(),
            drains_of: Version(0),
            volumes: volumes.collect(),
        }
    }

    /// What a state service says, and was last known to say.
    pub fn of(s: &Settings, host: &str, start: InitialState, seed: u64) -> Self {
        let follower = Some(Follower::new(
            host.into(),
            start,
            s.bounds.max_dispatch_delay,
        ));
        let (rng, volumes) = (Pcg64Mcg::seed_from_u64(seed), HashMap::new());
        Following {
            follower,
            rng,
            volumes,
            ..Following::declared(s)
        }
    }

    pub fn standing(&self, volume: VolumeId) -> Standing {
        match (self.volumes.get(&volume), &self.follower) {
            (Some((plan, hosts, true)), _) => Standing::Here {
                plan: *plan,
                hosts: *hosts,
            },
            (Some(_), _) => Standing::Elsewhere,
            (None, Some(f)) if !f.has_state() => Standing::Untold,
            (None, _) => Standing::Nowhere,
        }
    }

    /// The rate of a plan by its number, units a second.
    pub fn rate(&self, plan: PlanId) -> f64 {
        self.rates.get(plan.0).copied().unwrap_or_default()
    }

    pub fn is_on(&self) -> bool {
        self.follower.is_some()
    }

    pub fn follower(&self) -> Option<&Follower> {
        self.follower.as_ref()
    }

    /// Nodes that somebody wants empty, by all that was followed.
    pub fn drained(&self) -> Vec<u32> {
        let follower = self.follower.iter();
        follower
            .flat_map(|f| f.catalog().drains())
            .filter(|(_, d)| d.holds())
            .map(|(node, _)| node)
            .collect()
    }

    /// Whether they may be others since this was last asked.
    pub fn drains_changed(&mut self) -> bool {
        let version = self
            .follower
            .as_ref()
            .map_or(Version(0), |f| f.catalog().version());
        std::mem::replace(&mut self.drains_of, version) != version
    }

    /// Whether there is a way to the service.
    pub fn is_up(&self) -> bool {
        self.outbox.is_some()
    }

    pub fn put(&self, body: Body) {
        self.outbox.iter().for_each(|o| {
            o.put(pb::Frame {
                sent_us: 0,
                body: Some(body.clone()),
            })
        });
    }

    pub fn up(&mut self, conn: ConnId, outbox: Arc<Outbox>) {
        if self.conn != Some(conn) {
            return outbox.close();
        }
        (self.outbox, self.tries) = (Some(outbox), 0);
        self.heard.push(follower::Event::Up);
    }

    pub fn gone(&mut self, conn: ConnId, now: Duration) {
        if self.conn != Some(conn) {
            return;
        }
        if let Some(outbox) = self.outbox.take() {
            outbox.close();
        }
        (self.conn, self.part) = (None, None);
        let wait = (AGAIN.0 * 2u32.pow(self.tries.min(8))).min(AGAIN.1);
        // All hosts lose a service that ends at one moment, and must not all come back at one.
        self.dial_at = now + wait.mul_f64(0.5 + self.rng.random::<f64>());
        self.tries += 1;
        self.heard.push(follower::Event::Down);
    }

    pub fn kept(&mut self, number: u64, done: Result<(), String>) {
        self.heard.push(match done {
            Ok(()) => follower::Event::Persisted { number },
            Err(reason) => follower::Event::PersistFailed { reason },
        });
    }

    /// Frames of the service's connection; an error where it says what makes no sense.
    pub fn frame(&mut self, conn: ConnId, body: Body) -> Result<(), String> {
        if self.conn != Some(conn) {
            return Ok(());
        }
        match body {
            Body::ConfigUpdate(f) => self.feed(f)?,
            Body::LeaderBehind(b) => self.heard.push(follower::Event::Behind {
                call: CallId(b.call),
            }),
            Body::ChangeRejected(r) => self.heard.push(follower::Event::PollRejected {
                call: CallId(r.call),
                reason: r.reason,
            }),
            Body::GoingAway(_) => {}
            _ => return Err("the state service said what is not for it to say".into()),
        }
        Ok(())
    }

    fn feed(&mut self, f: pb::ConfigUpdate) -> Result<(), String> {
        let (more, call) = (f.more, f.call);
        let whole = match self.part.take() {
            Some(mut begun) if begun.call == call => {
                begun.state.extend(f.state);
                begun.revisions.extend(f.revisions);
                begun
            }
            _ => f,
        };
        if whole.state.len() + whole.revisions.len() > MAX_PARTS {
            return Err("the state service sends more than anybody could mean".into());
        }
        if more {
            self.part = Some(whole);
            return Ok(());
        }
        let revisions = whole
            .revisions
            .into_iter()
            .map(revision_from_proto)
            .collect::<Result<Vec<_>, _>>();
        let revisions = revisions.map_err(|e| e.to_string())?;
        let update = match whole.snapshot {
            false => Update::Revisions(revisions),
            true => {
                let state = changes_from_proto(whole.state).map_err(|e| e.to_string())?;
                Update::Snapshot {
                    at: Version(whole.at),
                    state,
                    revisions,
                }
            }
        };
        self.heard.push(follower::Event::Granted {
            call: CallId(call),
            epoch: Epoch(whole.epoch),
            version: Version(whole.version),
            stable: Version(whole.stable),
            lease: Duration::from_micros(whole.lease_us),
            update,
        });
        Ok(())
    }

    /// When `step` must be called again if nothing happens before.
    pub fn wake_at(&self) -> Option<Duration> {
        let follower = self.follower.as_ref()?;
        let link = match (self.conn, &self.outbox) {
            (None, _) => Some(self.dial_at),
            (Some(_), None) => Some(self.dialled + DIAL),
            _ => None,
        };
        [follower.wake_at(), link].into_iter().flatten().min()
    }

    /// `number` gives connections their numbers.
    pub fn step(
        &mut self,
        now: Duration,
        events: &mut Vec<Event>,
        mut number: impl FnMut() -> u64,
    ) -> Vec<Out> {
        let mut out = Vec::new();
        if self.follower.is_none() {
            return out;
        }
        if let (Some(conn), None) = (self.conn, &self.outbox) {
            if now >= self.dialled + DIAL {
                self.gone(conn, now);
            }
        }
        if self.conn.is_none() && now >= self.dial_at {
            let conn = ConnId(number());
            (self.conn, self.dialled) = (Some(conn), now);
            out.push(Out::Dial { conn });
        }
        let follower = self.follower.as_mut().expect("looked at above");
        let due = follower.wake_at().is_some_and(|at| at <= now);
        if self.heard.is_empty() && !due {
            return out;
        }
        for action in follower.step(now, std::mem::take(&mut self.heard)) {
            match action {
                Action::Poll {
                    call,
                    epoch,
                    applied,
                    stable,
                    acknowledged,
                } => {
                    let (applied, stable, acknowledged) = (applied.0, stable.0, acknowledged.0);
                    let body = Body::FollowRequest(pb::FollowRequest {
                        call: call.0,
                        epoch: epoch.0,
                        applied,
                        stable,
                        acknowledged,
                    });
                    self.put(body);
                }
                Action::Acknowledge { epoch, applied } => {
                    let body = Body::Acknowledge(pb::Acknowledge {
                        epoch: epoch.0,
                        applied: applied.0,
                    });
                    self.put(body);
                }
                Action::Persist(k) => {
                    let catalog = self.follower.as_ref().expect("looked at above").catalog();
                    let mut records = vec![Record::Epoch(k.epoch)];
                    if k.snapshot {
                        let (version, audit_log) =
                            (catalog.version(), catalog.audit_log().cloned().collect());
                        records.push(Record::Whole {
                            version,
                            state: catalog.state().collect(),
                            audit_log,
                        });
                    } else {
                        records.extend(k.revisions.into_iter().map(Record::Revision));
                    }
                    records.push(Record::Stable(k.stable));
                    out.push(Out::Record {
                        number: k.number,
                        records,
                    });
                }
                Action::Plan { name, plan } => events.push(self.plan(name, plan)),
                Action::Volume { id, terms } => events.push(self.volume(VolumeId(id), terms)),
                Action::Note { text } => out.push(Out::Note { text }),
            }
        }
        out
    }

    fn plan(&mut self, name: Name, p: records::Plan) -> Event {
        let next = PlanId(self.plans.len());
        let id = *self.plans.entry(name).or_insert(next);
        self.rates.resize(self.plans.len(), 0.0);
        self.rates[id.0] = p.rate;
        let facts = Plan {
            base_rate: p.rate,
            reservation: p.reservation,
            limit: p.limit,
            limit_burst: p.burst,
            limit_slack: p.slack,
            weight: p.weight,
            price: p.price,
        };
        Event::PlanChanged { plan: id, facts }
    }

    fn volume(&mut self, volume: VolumeId, terms: Option<follower::Terms>) -> Event {
        let Some(t) = terms.filter(|t| t.mine) else {
            // What went elsewhere is known as such; what is no more is not.
            match self
                .follower
                .as_ref()
                .and_then(|f| f.catalog().volume(volume.0))
            {
                Some(_) => _ = self.volumes.insert(volume, (PlanId(0), 0, false)),
                None => _ = self.volumes.remove(&volume),
            }
            return Event::VolumeChanged {
                volume,
                terms: None,
            };
        };
        let plan = self.plans.get(&t.plan).copied().unwrap_or(PlanId(0));
        self.volumes.insert(volume, (plan, t.hosts, true));
        let limit = t.quota.map(|p| LimitQuota {
            rate: p.rate,
            burst: p.burst,
        });
        Event::VolumeChanged {
            volume,
            terms: Some(VolumeTerms {
                plan,
                hosts: t.hosts,
                limit,
            }),
        }
    }
}
