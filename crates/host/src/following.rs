//! This host's way to the state service, and what its decisions know of plans and volumes.
//!
//! Called by the desk: what came on the connection and from the disk goes in, and `step` answers what the
//! sockets, the disk and the decisions are to be told. What is followed, kept and believed is decided in
//! [`grebecleat_plans::follow`]; here is only when to dial again, and the putting together of answers that
//! come in parts. A host without a state service serves what its settings say, for good.
//!
//! Memory: the catalog of volumes that work through this host, and one answer being put together, of at most
//! [`MOST_PARTS`] records.

use crate::desk::ConnId;
use crate::outbox::Outbox;
use grebecleat::interface::{Event, LimitQuota, Plan, PlanId, VolumeId, VolumeTerms};
use grebecleat_plans::changes::{self, Name, Version};
use grebecleat_plans::follow::{self, Action, Came, Follow, Start};
use grebecleat_plans::source::{Call, Era};
use grebecleat_settings::Settings;
use grebecleat_state::codec::{changes_of, entry_of};
use grebecleat_state::store::Keep;
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
    Keep { number: u64, keeps: Vec<Keep> },
    Note { text: String },
}

pub struct Following {
    /// None: the settings alone count.
    follow: Option<Follow>,
    heard: Vec<follow::Event>,
    conn: Option<ConnId>,
    outbox: Option<Arc<Outbox>>,
    dialled: Duration,
    dial_at: Duration,
    tries: u32,
    /// An answer that has begun to come: its state and entries so far.
    part: Option<pb::Feed>,
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
            follow: None,
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
    pub fn of(s: &Settings, host: &str, start: Start, seed: u64) -> Self {
        let follow = Some(Follow::new(host.into(), start, s.bounds.max_dispatch_delay));
        let (rng, volumes) = (Pcg64Mcg::seed_from_u64(seed), HashMap::new());
        Following {
            follow,
            rng,
            volumes,
            ..Following::declared(s)
        }
    }

    pub fn standing(&self, volume: VolumeId) -> Standing {
        match (self.volumes.get(&volume), &self.follow) {
            (Some((plan, hosts, true)), _) => Standing::Here {
                plan: *plan,
                hosts: *hosts,
            },
            (Some(_), _) => Standing::Elsewhere,
            (None, Some(f)) if !f.knows() => Standing::Untold,
            (None, _) => Standing::Nowhere,
        }
    }

    /// The rate of a plan by its number, units a second.
    pub fn rate(&self, plan: PlanId) -> f64 {
        self.rates.get(plan.0).copied().unwrap_or_default()
    }

    pub fn is_on(&self) -> bool {
        self.follow.is_some()
    }

    pub fn follow(&self) -> Option<&Follow> {
        self.follow.as_ref()
    }

    /// Nodes that somebody wants empty, by all that was followed.
    pub fn drained(&self) -> Vec<u32> {
        let follow = self.follow.iter();
        follow
            .flat_map(|f| f.catalog().drains())
            .filter(|(_, d)| d.holds())
            .map(|(node, _)| node)
            .collect()
    }

    /// Whether they may be others since this was last asked.
    pub fn drains_changed(&mut self) -> bool {
        let version = self
            .follow
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
        self.heard.push(follow::Event::Up);
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
        self.heard.push(follow::Event::Down);
    }

    pub fn kept(&mut self, number: u64, done: Result<(), String>) {
        self.heard.push(match done {
            Ok(()) => follow::Event::Kept { number },
            Err(why) => follow::Event::NotKept { why },
        });
    }

    /// Frames of the service's connection; an error where it says what makes no sense.
    pub fn frame(&mut self, conn: ConnId, body: Body) -> Result<(), String> {
        if self.conn != Some(conn) {
            return Ok(());
        }
        match body {
            Body::Feed(f) => self.feed(f)?,
            Body::FeedBehind(b) => self
                .heard
                .push(follow::Event::Behind { call: Call(b.call) }),
            Body::Refused(r) => self.heard.push(follow::Event::Refused {
                call: Call(r.call),
                why: r.why,
            }),
            Body::GoingAway(_) => {}
            _ => return Err("the state service said what is not for it to say".into()),
        }
        Ok(())
    }

    fn feed(&mut self, f: pb::Feed) -> Result<(), String> {
        let (more, call) = (f.more, f.call);
        let whole = match self.part.take() {
            Some(mut begun) if begun.call == call => {
                begun.state.extend(f.state);
                begun.entries.extend(f.entries);
                begun
            }
            _ => f,
        };
        if whole.state.len() + whole.entries.len() > MAX_PARTS {
            return Err("the state service sends more than anybody could mean".into());
        }
        if more {
            self.part = Some(whole);
            return Ok(());
        }
        let entries = whole
            .entries
            .into_iter()
            .map(entry_of)
            .collect::<Result<Vec<_>, _>>();
        let entries = entries.map_err(|e| e.to_string())?;
        let came = match whole.whole {
            false => Came::Entries(entries),
            true => {
                let state = changes_of(whole.state).map_err(|e| e.to_string())?;
                Came::Whole {
                    at: Version(whole.at),
                    state,
                    entries,
                }
            }
        };
        self.heard.push(follow::Event::Granted {
            call: Call(call),
            era: Era(whole.era),
            version: Version(whole.version),
            settled: Version(whole.settled),
            lease: Duration::from_micros(whole.lease_us),
            came,
        });
        Ok(())
    }

    /// When `step` must be called again if nothing happens before.
    pub fn wake_at(&self) -> Option<Duration> {
        let follow = self.follow.as_ref()?;
        let link = match (self.conn, &self.outbox) {
            (None, _) => Some(self.dial_at),
            (Some(_), None) => Some(self.dialled + DIAL),
            _ => None,
        };
        [follow.wake_at(), link].into_iter().flatten().min()
    }

    /// `number` gives connections their numbers.
    pub fn step(
        &mut self,
        now: Duration,
        events: &mut Vec<Event>,
        mut number: impl FnMut() -> u64,
    ) -> Vec<Out> {
        let mut out = Vec::new();
        if self.follow.is_none() {
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
        let follow = self.follow.as_mut().expect("looked at above");
        let due = follow.wake_at().is_some_and(|at| at <= now);
        if self.heard.is_empty() && !due {
            return out;
        }
        for action in follow.step(now, std::mem::take(&mut self.heard)) {
            match action {
                Action::Ask {
                    call,
                    era,
                    has,
                    settled,
                    sure,
                } => {
                    let (has, settled, sure) = (has.0, settled.0, sure.0);
                    let body = Body::Follow(pb::Follow {
                        call: call.0,
                        era: era.0,
                        has,
                        settled,
                        sure,
                    });
                    self.put(body);
                }
                Action::Confirm { era, has } => {
                    let body = Body::Confirm(pb::Confirm {
                        era: era.0,
                        has: has.0,
                    });
                    self.put(body);
                }
                Action::Keep(k) => {
                    let catalog = self.follow.as_ref().expect("looked at above").catalog();
                    let mut keeps = vec![Keep::Era(k.era)];
                    if k.whole {
                        let (version, trail) =
                            (catalog.version(), catalog.trail().cloned().collect());
                        keeps.push(Keep::Whole {
                            version,
                            state: catalog.state().collect(),
                            trail,
                        });
                    } else {
                        keeps.extend(k.entries.into_iter().map(Keep::Entry));
                    }
                    keeps.push(Keep::Settled(k.settled));
                    out.push(Out::Keep {
                        number: k.number,
                        keeps,
                    });
                }
                Action::Plan { name, plan } => events.push(self.plan(name, plan)),
                Action::Volume { id, terms } => events.push(self.volume(VolumeId(id), terms)),
                Action::Note { text } => out.push(Out::Note { text }),
            }
        }
        out
    }

    fn plan(&mut self, name: Name, p: changes::Plan) -> Event {
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

    fn volume(&mut self, volume: VolumeId, terms: Option<follow::Terms>) -> Event {
        let Some(t) = terms.filter(|t| t.mine) else {
            // What went elsewhere is known as such; what is no more is not.
            match self
                .follow
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
        let limit = t.part.map(|p| LimitQuota {
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
