//! One host's requests, attempts and connections, between the sockets and the decisions.
//!
//! Called by the owner's loop: `step(now, inputs)` for every batch of what happened, which answers what the
//! sockets are to do beyond what already lies in the outboxes; [`Desk::wake_at`] says when it must be called
//! again. It has no socket and no clock. Every event and action of `grebecleat::interface` is carried here:
//!
//! - a request is answered once: by its first attempt that is done, else by the decisions, else by nobody (its
//!   client is gone); what comes later is counted as stray and dropped;
//! - an attempt ends once, by the first of: its node's answer, its time, a reset, a cancel, or being taken back
//!   from an outbox, which alone is told as "never ran";
//! - what the list says of a node, or an operator's wish to have it empty, takes back every attempt to it that
//!   has not crossed. The decisions are told of a node that somebody wants empty as the list would tell of
//!   one that drains.
//!
//! Which volumes are served, and on what terms, [`crate::following`] says: the settings, or a state service;
//! what of a limit this host may use, and which nodes all hosts find bad, [`crate::sharing`], where it is on.

use crate::admission::{admit, Held, Turned};
use crate::figures::{self, Service};
use crate::following::{Following, Out, Standing};
use crate::listing::Listing;
use crate::outbox::{AttemptId, Outbox};
use crate::pool::{Pool, Present, Step, MAX_LATE};
use crate::renewal::{self, Renewal};
use crate::sharing::Sharing;
use crate::sights::Sights;
use crate::stall::Stalls;
use grebecleat::control::Control;
use grebecleat::interface::*;
use grebecleat_membership::node_status::{Answers, Heard};
use grebecleat_plans::follower::InitialState;
use grebecleat_settings::{Bounds, Settings};
use grebecleat_state::store::Record;
use grebecleat_wire::clock;
use grebecleat_wire::delay::Delay;
use grebecleat_wire::pb::{self, frame::Body};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// How often what waits in the outboxes, or for the list, is looked through.
const SWEEP: Duration = Duration::from_millis(25);
/// The longest sleep while anything is open, so that a stall of our own is seen for what it is.
const BEAT: Duration = Duration::from_millis(50);
const IDLE_BEAT: Duration = Duration::from_secs(1);
/// Lines of the log that name one bad peer; after them it is only counted.
const LINES_A_PEER: u32 = 3;
/// Ends of loans that are looked at one by one after a stand-still.
const LAPSES: usize = 256;
/// An answer's connection, where it carries one exchange at a time, rests so long before the next attempt: an
/// answer that came twice is some milliseconds late, and would be taken for that attempt's. Harm: where all
/// connections to a node have just answered, an attempt waits, or one more is dialled.
const QUIET: Duration = Duration::from_millis(10);
/// Of the tightest latency objective: what a handshake may take before another is begun beside it. Two of them in turn
/// are about what the decisions let an attempt be late before they doubt its node.
const HANDSHAKE: f64 = 0.1;
/// Bytes of figures that a watcher may leave unread.
const MAX_UNREAD: usize = 4 << 20;

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnId(pub u64);

/// What happened at the sockets. `at` is when the frames were read.
#[derive(Debug)]
pub enum Input {
    ClientUp {
        conn: ConnId,
        outbox: Arc<Outbox>,
    },
    ClientFrames {
        conn: ConnId,
        at: Duration,
        frames: Vec<pb::Frame>,
    },
    ClientGone {
        conn: ConnId,
    },
    NodeUp {
        conn: ConnId,
        outbox: Arc<Outbox>,
    },
    NodeFrames {
        conn: ConnId,
        at: Duration,
        frames: Vec<pb::Frame>,
    },
    /// Also a dial that came to nothing.
    NodeGone {
        conn: ConnId,
    },
    ListUp {
        conn: ConnId,
        outbox: Arc<Outbox>,
    },
    ListFrames {
        conn: ConnId,
        frames: Vec<pb::Frame>,
    },
    ListGone {
        conn: ConnId,
    },
    StateUp {
        conn: ConnId,
        outbox: Arc<Outbox>,
    },
    StateFrames {
        conn: ConnId,
        frames: Vec<pb::Frame>,
    },
    StateGone {
        conn: ConnId,
    },
    /// What [`Output::Record`] asked for is on the disk, or why not.
    Kept {
        number: u64,
        done: Result<(), String>,
    },
    Remembered {
        list: pb::EndpointUpdate,
    },
    /// `waited`: on its way, as far as that is known.
    Word {
        from: PeerId,
        waited: Duration,
        bytes: Vec<u8>,
    },
    /// Extents that the portal of this process knows to lie in each shard.
    Holds {
        shards: BTreeMap<u32, u64>,
    },
    /// Somebody who watches.
    WatcherUp {
        conn: ConnId,
        outbox: Arc<Outbox>,
    },
    /// The list answers elsewhere from now on.
    ListMoved,
    /// Take no more, answer what is held, then end.
    Drain,
}

/// What the sockets are to do.
#[derive(Debug, PartialEq)]
pub enum Output {
    Dial {
        conn: ConnId,
        node: NodeId,
        address: SocketAddr,
    },
    DialList {
        conn: ConnId,
    },
    DialState {
        conn: ConnId,
    },
    Record {
        number: u64,
        records: Vec<Record>,
    },
    Tell {
        to: Option<PeerId>,
        bytes: Vec<u8>,
    },
    Remember {
        bytes: Vec<u8>,
    },
    /// A change of state, for the log.
    Note {
        text: String,
    },
    /// Drained: nothing is held and every answer is written.
    Ended,
}

/// Counts since the start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counts {
    pub taken: u64,
    pub done: u64,
    pub deferred: u64,
    pub abandoned: u64,
    pub turned_away: u64,
    pub withdrawn: u64,
    pub attempts: u64,
    /// Attempts that were decided and never crossed a socket.
    pub unsent: u64,
    /// Answers to attempts that were over, unknown, or another connection's.
    pub strays: u64,
    pub stalls: u64,
    pub steps: u64,
    pub events: u64,
}

#[derive(Debug)]
struct Open {
    client: ConnId,
    take: pb::SubmitRequest,
    /// The volume's plan when it was taken.
    plan: PlanId,
    taken: Duration,
    deadline: Duration,
    /// It has had its final answer, or nobody waits for one.
    over: bool,
    /// An attempt of it ended without word from its node: it may still run.
    unsure: bool,
    attempts: u32,
    out: Vec<AttemptId>,
}

#[derive(Debug)]
struct OutstandingAttempt {
    id: RequestId,
    number: u32,
    node: NodeId,
    /// None while it waits for a connection.
    conn: Option<ConnId>,
    sent: Duration,
    until: Duration,
    /// Its connection had ended before it was given to it, and it has been given to another.
    moved: bool,
}

#[derive(Debug)]
struct Client {
    outbox: Arc<Outbox>,
    delay: Delay,
    open: BTreeSet<RequestId>,
}

#[derive(Debug)]
struct NodeConn {
    node: NodeId,
    outbox: Option<Arc<Outbox>>,
    attempts: BTreeSet<AttemptId>,
    dialled: Duration,
    idle_since: Duration,
    rests_until: Duration,
    /// Its node takes nothing more on it.
    leaving: bool,
}

#[derive(Debug)]
struct NodePool {
    pool: Pool,
    conns: Vec<ConnId>,
    waiting: VecDeque<AttemptId>,
}

#[derive(Debug, Default)]
struct ListLink {
    conn: Option<ConnId>,
    outbox: Option<Arc<Outbox>>,
    wanted: Vec<Body>,
    watching: bool,
    answer_by: Option<Duration>,
}

pub struct Desk {
    control: Control,
    settings: Arc<Settings>,
    /// Its place among the settings' hosts.
    me: usize,
    plans: Following,
    /// None: this host decides by itself.
    sharing: Option<Sharing>,
    /// Clients say on what terms their volumes are served.
    as_told: bool,
    /// A connection carries one exchange at a time and ends with one that is given up.
    one_at_a_time: bool,
    seed: u64,
    now: Duration,
    wanted_wake: Duration,
    sweep_at: Duration,
    stalls: Stalls,
    requests: HashMap<RequestId, Open>,
    held_bytes: usize,
    clients: BTreeMap<ConnId, Client>,
    attempts: HashMap<AttemptId, OutstandingAttempt>,
    times: BTreeSet<(Duration, AttemptId)>,
    conns: BTreeMap<ConnId, NodeConn>,
    pools: BTreeMap<NodeId, NodePool>,
    /// Nodes whose pool may want something.
    touched: BTreeSet<NodeId>,
    /// When a connection that rests may be used where an attempt waits for it, or a dial there is late.
    looks: BTreeSet<(Duration, NodeId)>,
    /// A dial that takes longer is late.
    handshake: Duration,
    listing: Listing,
    /// Nodes that somebody wants empty, whatever the list says.
    drained: BTreeSet<NodeId>,
    /// Attempts to each node that have no end yet; and until when what ended without a word may still run there.
    out_at: HashMap<NodeId, u32>,
    unsure: HashMap<NodeId, Duration>,
    /// Extents by shard, where a portal has told.
    holds: Option<BTreeMap<u32, u64>>,
    sights: Sights,
    watchers: BTreeMap<ConnId, Arc<Outbox>>,
    service: Service,
    figures_at: Duration,
    /// The longest that a request may take.
    longest: Duration,
    list_changed: bool,
    list: ListLink,
    /// The list's connection from before it moved, which is heard until the new one has answered: what it
    /// tells counts as told, and the new one may be long in coming.
    former: Option<(ConnId, Arc<Outbox>)>,
    /// None: after a failure the list is asked for when the decisions say, however long that is.
    renewal: Option<Renewal>,
    probes: HashMap<u64, (NodeId, ConnId)>,
    timers: BTreeSet<(Duration, u64)>,
    events: Vec<Event>,
    out: Vec<Output>,
    next: u64,
    draining: Option<Duration>,
    ended: bool,
    complained: BTreeMap<ConnId, u32>,
    counts: Counts,
}

/// Through which of the settings' hosts a volume works, as it is followed.
fn sharers(
    plans: &Following,
    s: &Settings,
    volume: VolumeId,
) -> BTreeSet<grebecleat_fleet::HostNumber> {
    let names = plans
        .follower()
        .and_then(|f| f.catalog().volume(volume.0))
        .map(|v| v.hosts.clone());
    let place = |name: &grebecleat_plans::records::Name| {
        s.hosts.iter().position(|h| h.name.as_str() == &**name)
    };
    let places = names.iter().flat_map(|n| n.iter()).filter_map(place);
    places
        .map(|h| grebecleat_fleet::HostNumber(h as u32))
        .collect()
}

fn request_id(id: &[u8]) -> Option<RequestId> {
    id.try_into().map(RequestId).ok()
}

impl Desk {
    /// `seed` is new at each start of the host.
    pub fn new(settings: Arc<Settings>, seed: u64) -> Self {
        let s = &settings;
        let traffic_classes = s.traffic_classes.iter().map(|x| x.facts.clone()).collect();
        let plans = s.plans.iter().map(|p| p.facts.clone()).collect();
        let rules = &s.rules;
        let control = Control::new(
            seed,
            traffic_classes,
            plans,
            s.units.clone(),
            s.host_limits.clone(),
        )
        .under(
            rules.cold.clone(),
            // The list is asked for in either case: where it pushes, one watch is the asking.
            DiscoveryPolicy {
                polled: true,
                poll_interval: s.list.rule.poll_interval,
            },
            rules.attempts.clone(),
            rules.key_rest,
        );
        let plans = Following::declared(s);
        let longest = s
            .traffic_classes
            .iter()
            .map(|x| x.deadline)
            .max()
            .unwrap_or_default();
        let tightest = s
            .traffic_classes
            .iter()
            .map(|x| x.facts.latency_objective)
            .min()
            .unwrap_or_default();
        let handshake = tightest.mul_f64(HANDSHAKE).max(QUIET);
        Desk {
            drained: BTreeSet::new(),
            out_at: HashMap::new(),
            unsure: HashMap::new(),
            holds: None,
            sights: Sights::default(),
            watchers: BTreeMap::new(),
            service: Service::default(),
            figures_at: Duration::ZERO,
            longest,
            control,
            me: 0,
            plans,
            sharing: None,
            as_told: false,
            one_at_a_time: false,
            seed,
            now: Duration::ZERO,
            wanted_wake: Duration::MAX,
            sweep_at: Duration::ZERO,
            stalls: Stalls::default(),
            requests: HashMap::new(),
            held_bytes: 0,
            clients: BTreeMap::new(),
            attempts: HashMap::new(),
            times: BTreeSet::new(),
            conns: BTreeMap::new(),
            pools: BTreeMap::new(),
            touched: BTreeSet::new(),
            looks: BTreeSet::new(),
            handshake,
            listing: Listing::default(),
            list_changed: false,
            list: ListLink::default(),
            former: None,
            renewal: None,
            probes: HashMap::new(),
            timers: BTreeSet::new(),
            events: Vec::new(),
            out: Vec::new(),
            next: 1,
            draining: None,
            ended: false,
            complained: BTreeMap::new(),
            counts: Counts::default(),
            settings,
        }
    }

    /// Its place among the settings' hosts.
    pub fn at(mut self, me: usize) -> Self {
        self.me = me;
        self
    }

    /// Follows a state service, from what was last kept of it.
    pub fn following(mut self, host: &str, start: InitialState) -> Self {
        self.plans = Following::of(&self.settings, host, start, self.seed);
        // What it kept of drains counts from the first list on.
        self.drained = self.plans.drained().into_iter().map(NodeId).collect();
        self
    }

    /// Tells its peers what it sees and has, and hears them. Called after [`Desk::following`].
    pub fn sharing(mut self, now: Duration, peers: &[PeerId], life: u64) -> Self {
        self.sharing = Sharing::of(now, &self.settings, self.me, peers, life, self.seed);
        if let (Some(sharing), false) = (&mut self.sharing, self.plans.is_on()) {
            sharing.declared(&self.settings);
        }
        self
    }

    /// For a platform whose clients say with each request on what terms its volume is served, and whose
    /// nodes take one exchange at a time on a connection. An attempt that is given up there takes its connection
    /// with it: what its node may yet answer must not be read as the next attempt's, and a closed connection is
    /// the only way to call an attempt off.
    pub fn one_at_a_time(mut self) -> Self {
        (self.as_told, self.one_at_a_time) = (true, true);
        self
    }

    /// What the list has to tell is known within a term, also where calls fail; one may take so long, its
    /// dial included.
    pub fn list_within(mut self, term: Duration, call: Duration) -> Self {
        self.renewal = Some(Renewal::new(term, call, self.seed));
        self
    }

    fn bounds(&self) -> &Bounds {
        &self.settings.bounds
    }

    fn number(&mut self) -> u64 {
        self.next += 1;
        self.next
    }

    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// What it follows of a state service. Panics where there is none.
    pub fn plans(&self) -> &grebecleat_plans::follower::Follower {
        self.plans.follower().expect("it follows a state service")
    }

    /// The decisions, for people to look at.
    pub fn control(&mut self) -> &mut Control {
        &mut self.control
    }

    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Whether anything of a request is open or out.
    pub fn holds(&self, id: &[u8]) -> bool {
        request_id(id).is_some_and(|id| self.requests.contains_key(&id))
    }

    /// The clients of the attempts that wait to be written on a node's connection.
    pub fn clients_at(&self, conn: ConnId) -> impl Iterator<Item = ConnId> + '_ {
        let c = self
            .conns
            .get(&conn)
            .and_then(|c| Some((c.outbox.as_ref()?, &c.attempts)));
        let waiting = c
            .into_iter()
            .flat_map(|(o, attempts)| attempts.iter().filter(move |attempt| o.is_held(**attempt)));
        waiting
            .filter_map(|attempt| Some(self.requests.get(&self.attempts.get(attempt)?.id)?.client))
    }

    /// Requests open, attempts out and bytes held now.
    pub fn held(&self) -> (usize, usize, usize) {
        (self.requests.len(), self.attempts.len(), self.held_bytes)
    }

    /// Whether this host has just stood still: the caller then first reads what waits in its sockets, since
    /// answers that came meanwhile must be heard before silence is judged.
    pub fn stood_still(&mut self, now: Duration) -> bool {
        let stalled = self.stalls.woke(self.wanted_wake.max(self.now), now);
        if stalled {
            self.counts.stalls += 1;
            self.wanted_wake = now;
        }
        stalled
    }

    /// When `step` must be called again if nothing happens before.
    pub fn wake_at(&mut self) -> Duration {
        let timer = self.timers.first().map(|t| t.0);
        let attempt = self.times.first().map(|t| t.0);
        let beat = self.now
            + if self.requests.is_empty() && self.draining.is_none() {
                IDLE_BEAT
            } else {
                BEAT
            };
        let figures = (!self.watchers.is_empty()).then_some(self.figures_at);
        let words = self.sharing.as_ref().map(Sharing::wake_at);
        let look = self.looks.first().map(|r| r.0);
        let list = self.list.answer_by;
        let renewal = self.renewal.as_ref().and_then(Renewal::wake_at);
        let wake = [
            timer,
            attempt,
            look,
            self.plans.wake_at(),
            figures,
            words,
            list,
            renewal,
        ]
        .into_iter()
        .flatten()
        .fold(beat, Duration::min);
        self.wanted_wake = wake.max(self.now);
        self.wanted_wake
    }

    pub fn step(&mut self, now: Duration, inputs: impl IntoIterator<Item = Input>) -> Vec<Output> {
        self.now = now.max(self.now);
        self.counts.steps += 1;
        self.lapse();
        inputs.into_iter().for_each(|i| self.hear(i));
        self.tend_plans();
        self.tend_sharing();
        self.times_up();
        while let Some(&(at, node)) = self.looks.first().filter(|r| r.0 <= self.now) {
            self.looks.remove(&(at, node));
            self.serve(node);
        }
        // However many timers a pause has let come due, the decisions are called once.
        let mut rung = None;
        while let Some(&(at, tag)) = self.timers.first().filter(|t| t.0 <= self.now) {
            self.timers.remove(&(at, tag));
            rung = Some(tag);
        }
        if let Some(tag) = rung {
            self.events.push(Event::TimerFired { tag: TimerTag(tag) });
        }
        if self.now >= self.sweep_at {
            self.sweep();
        }
        if self.list.answer_by.is_some_and(|by| self.now >= by) {
            self.list_lost("no answer");
        }
        // What the decisions ask for can at once come to an end (nothing to send on, already over).
        while !self.events.is_empty() {
            let events = std::mem::take(&mut self.events);
            self.counts.events += events.len() as u64;
            for action in self.control.step(self.now, events) {
                self.act(action);
            }
            self.tend_pools();
        }
        self.renew_list(None);
        self.tend_pools();
        self.end_when_drained();
        std::mem::take(&mut self.out)
    }

    fn hear(&mut self, input: Input) {
        match input {
            Input::ClientUp { conn, outbox } => {
                if self.draining.is_some() {
                    outbox.put(frame(Body::GoingAway(pb::GoingAway {})));
                }
                let client = Client {
                    outbox,
                    delay: Delay::default(),
                    open: BTreeSet::new(),
                };
                self.clients.insert(conn, client);
            }
            Input::ClientFrames { conn, at, frames } => {
                for f in frames {
                    self.client_says(conn, at, f);
                }
            }
            Input::ClientGone { conn } => self.client_gone(conn),
            Input::NodeUp { conn, outbox } => {
                let Some(c) = self.conns.get_mut(&conn) else {
                    return outbox.close();
                };
                c.outbox = Some(outbox);
                c.idle_since = self.now;
                let node = c.node;
                self.pools
                    .get_mut(&node)
                    .expect("made when dialled")
                    .pool
                    .came_up();
                self.serve(node);
            }
            Input::NodeFrames { conn, at, frames } => {
                for f in frames {
                    self.node_says(conn, at, f);
                }
            }
            Input::NodeGone { conn } => self.node_conn_gone(conn),
            Input::ListUp { conn, outbox } => {
                if self.list.conn != Some(conn) {
                    return outbox.close();
                }
                self.list.outbox = Some(outbox);
                self.ask_list();
            }
            Input::ListFrames { conn, frames } => {
                let (mine, former) = (self.list.conn == Some(conn), self.is_former(conn));
                for f in frames {
                    match f.body {
                        Some(Body::EndpointUpdate(l)) if mine || former => {
                            if mine {
                                self.list.answer_by = None;
                                self.former.take().into_iter().for_each(|(_, o)| o.close());
                            }
                            self.listed(l);
                            if mine {
                                self.renew_list(Some(renewal::Event::Told));
                            }
                        }
                        _ => self.complain(conn, "list sent something that is no list"),
                    }
                }
            }
            Input::ListGone { conn } if self.list.conn == Some(conn) => {
                self.list_lost("connection lost")
            }
            Input::ListGone { conn } if self.is_former(conn) => self.former = None,
            Input::ListGone { .. } => {}
            // Not a failure: the decisions keep what they have, and the new one is dialled at once.
            Input::ListMoved => {
                let before = std::mem::take(&mut self.list);
                match before.conn.zip(before.outbox) {
                    Some(link) if self.former.is_none() => self.former = Some(link),
                    // It has moved again before it was heard there.
                    other => other.into_iter().for_each(|(_, o)| o.close()),
                }
                // How often another list has failed says nothing of this one: no changes, but an answer.
                self.events.push(Event::EndpointUpdate {
                    kind: EndpointUpdateKind::Delta,
                    endpoints: Vec::new(),
                });
                self.list.wanted.push(Body::Watch(pb::Watch { on: true }));
                self.ask_list();
            }
            Input::StateUp { conn, outbox } => {
                self.sights.forget();
                self.plans.up(conn, outbox);
            }
            Input::StateFrames { conn, frames } => {
                for body in frames.into_iter().filter_map(|f| f.body) {
                    if let Err(why) = self.plans.frame(conn, body) {
                        self.complain(conn, &why);
                        self.plans.gone(conn, self.now);
                    }
                }
            }
            Input::StateGone { conn } => self.plans.gone(conn, self.now),
            Input::Kept { number, done } => self.plans.kept(number, done),
            Input::Remembered { list } => {
                self.endpoints(EndpointUpdateKind::Cached, &list.endpoints, 0)
            }
            Input::Word {
                from,
                waited,
                bytes,
            } => {
                // Empty: the host's own first word to itself.
                let sharing = self.sharing.as_mut().filter(|_| !bytes.is_empty());
                sharing
                    .into_iter()
                    .for_each(|s| s.told(from, waited, &bytes));
                self.events.push(Event::PeerMessage { from, bytes });
            }
            Input::Holds { shards } => self.holds = Some(shards),
            Input::WatcherUp { conn, outbox } => {
                self.service.anew();
                self.watchers.insert(conn, outbox);
            }
            Input::Drain => self.drain(),
        }
    }

    // Clients

    fn client_says(&mut self, conn: ConnId, at: Duration, f: pb::Frame) {
        let Some(client) = self.clients.get_mut(&conn) else {
            return;
        };
        let waited = client.delay.waited(f.sent_us, at);
        match f.body {
            Some(Body::SubmitRequest(t)) => self.take(conn, at, waited, t),
            Some(Body::CancelRequest(w)) => {
                client.outbox.heard(&w.id);
                let id = request_id(&w.id)
                    .filter(|id| self.requests.get(id).is_some_and(|x| x.client == conn));
                if let Some(id) = id {
                    self.counts.withdrawn += 1;
                    self.withdraw(id);
                }
            }
            Some(Body::GoingAway(_)) => {}
            _ => self.throw_out(conn, "client sent what only hosts and nodes send"),
        }
    }

    fn take(&mut self, conn: ConnId, at: Duration, waited: Duration, t: pb::SubmitRequest) {
        let Some(id) = request_id(&t.id) else {
            return self.throw_out(conn, "transfer without a proper id");
        };
        if self.requests.contains_key(&id) {
            return self.throw_out(conn, "transfer with an id that is still open");
        }
        let traffic_class = t.traffic_class as usize;
        let Some(stream) = self.settings.traffic_classes.get(traffic_class) else {
            return self.throw_out(conn, "transfer of an unknown stream type");
        };
        let volume = VolumeId(t.volume);
        let told = t.plan.zip(t.hosts).filter(|_| self.as_told);
        let told = told.map(|(plan, hosts)| Standing::Here {
            plan: PlanId(plan as usize),
            hosts: hosts as usize,
        });
        let (plan, hosts) = match told.unwrap_or_else(|| self.plans.standing(volume)) {
            Standing::Here { plan, .. } if plan.0 >= self.settings.plans.len() => {
                return self.throw_out(conn, "transfer of an unknown plan");
            }
            Standing::Here { plan, hosts } => (plan, hosts),
            Standing::Nowhere if !self.plans.is_on() => {
                return self.throw_out(conn, "transfer of an unknown volume");
            }
            // Its client may know less than we do of what changed, or more: it is told, and not hung up on.
            other => return self.not_here(conn, t, other),
        };
        let units = t.units;
        if !(units.is_finite() && units > 0.0 && units <= self.settings.units.largest) {
            return self.throw_out(conn, "transfer of a size that the settings do not know");
        }
        let left = Duration::from_micros(t.left_us).min(stream.deadline);
        let margin = self.settings.rules.answer_margin;
        // What the frame waited on its way to us is gone from the client's time, as is what the answer needs.
        let deadline = (at + left).saturating_sub(waited + margin);
        let held = Held {
            open: self.requests.len(),
            bytes: self.held_bytes,
            draining: self.draining.is_some(),
        };
        if let Err(turned) = admit(held, t.data.len(), self.bounds()) {
            self.counts.turned_away += 1;
            let retry_after = self
                .settings
                .host_limits
                .max_retry_after
                .map(|most| turned.retry_after().min(most));
            let retry_after_us = retry_after.map(clock::micros);
            let outcome = pb::Outcome::Deferred.into();
            return self.answer(
                conn,
                pb::Response {
                    id: t.id,
                    outcome,
                    retry_after_us,
                    ..pb::Response::default()
                },
            );
        }
        self.counts.taken += 1;
        let taken = at.saturating_sub(waited);
        if !self.watchers.is_empty() {
            self.service.took(taken, &t);
        }
        self.held_bytes += t.data.len();
        self.sharing
            .iter_mut()
            .for_each(|s| s.took(t.volume, units));
        self.clients
            .get_mut(&conn)
            .expect("heard from it")
            .open
            .insert(id);
        let (shard, key) = (t.shard.map(ShardId), t.key.map(KeyId));
        let traffic_class = TrafficClassId(traffic_class);
        self.events.push(Event::RequestReceived(Request {
            id,
            units,
            shard,
            traffic_class,
            plan,
            hosts,
            key,
            deadline,
            volume,
        }));
        let open = Open {
            client: conn,
            take: t,
            plan,
            taken,
            deadline,
            over: false,
            unsure: false,
            attempts: 0,
            out: Vec::new(),
        };
        self.requests.insert(id, open);
    }

    /// A request of a volume that this host does not serve never runs here.
    fn not_here(&mut self, conn: ConnId, t: pb::SubmitRequest, standing: Standing) {
        self.counts.turned_away += 1;
        // Elsewhere, or later, it may; of a volume that is no more there is nothing to come back for.
        let outcome = match standing {
            Standing::Nowhere => pb::Outcome::Abandoned,
            _ => pb::Outcome::Deferred,
        };
        let retry_after = Turned::Draining.retry_after().min(
            self.settings
                .host_limits
                .max_retry_after
                .unwrap_or_default(),
        );
        let retry_after =
            (outcome == pb::Outcome::Deferred && !retry_after.is_zero()).then_some(retry_after);
        let retry_after_us = retry_after.map(clock::micros);
        self.answer(
            conn,
            pb::Response {
                id: t.id,
                outcome: outcome.into(),
                retry_after_us,
                ..pb::Response::default()
            },
        );
    }

    /// Tells the decisions what changed of plans and volumes, and the disk and the service what they must
    /// know.
    fn tend_plans(&mut self) {
        let mut next = self.next;
        let number = || {
            next += 1;
            next
        };
        let from = self.events.len();
        let out = self.plans.step(self.now, &mut self.events, number);
        self.next = next;
        if let Some(sharing) = &mut self.sharing {
            for event in &mut self.events[from..] {
                if let Event::VolumeChanged { volume, terms } = event {
                    *terms = sharing.volume(
                        *volume,
                        *terms,
                        sharers(&self.plans, &self.settings, *volume),
                    );
                }
            }
        }
        for o in out {
            self.out.push(match o {
                Out::Dial { conn } => Output::DialState { conn },
                Out::Record { number, records } => Output::Record { number, records },
                Out::Note { text } => Output::Note { text },
            });
        }
        if self.plans.drains_changed() {
            let wanted: BTreeSet<NodeId> = self.plans.drained().into_iter().map(NodeId).collect();
            let changed: Vec<NodeId> = wanted
                .symmetric_difference(&self.drained)
                .copied()
                .collect();
            self.drained = wanted;
            self.wished(&changed, "wanted empty", |desk, node| {
                desk.drained.contains(&node)
            });
            self.tell_nodes();
        }
    }

    /// What was lent to this host and ran out while it stood still ended then, and not now: the decisions fill
    /// their buckets by the time that has gone by, and would do it by a rate that others have long had again.
    /// Before anything is heard, since what peers ask counts from now on.
    fn lapse(&mut self) {
        // Loans end one after the other; the last of them well within so many looks.
        for _ in 0..LAPSES {
            let Some(sharing) = self.sharing.as_mut().filter(|s| s.lapses_at() < self.now) else {
                return;
            };
            let (at, mut events) = (sharing.lapses_at(), Vec::new());
            let out = sharing.step(at, &mut events);
            self.carry(out);
            if !events.is_empty() {
                self.control
                    .step(at, events)
                    .into_iter()
                    .for_each(|a| self.act(a));
            }
        }
    }

    /// Hears and tells peers, and tells the decisions what came of it.
    fn tend_sharing(&mut self) {
        let Some(sharing) = &mut self.sharing else {
            return;
        };
        let out = sharing.step(self.now, &mut self.events);
        self.carry(out);
    }

    fn carry(&mut self, out: crate::sharing::Out) {
        for (to, bytes) in out.tell {
            self.out.push(Output::Tell {
                to: Some(to),
                bytes,
            });
        }
        out.notes.into_iter().for_each(|text| self.note(text));
        if !out.changed.is_empty() {
            self.wished(&out.changed, "avoided", Desk::avoids);
        }
    }

    fn avoids(&self, node: NodeId) -> bool {
        self.sharing.as_ref().is_some_and(|s| s.avoids(node))
    }

    /// The fleet judges those nodes that the list and the operators have in use.
    fn tell_nodes(&mut self) {
        let Some(sharing) = &mut self.sharing else {
            return;
        };
        let used = |(node, k): (&NodeId, &crate::listing::Known)| {
            let used = k.state == NodeState::Ready && !self.drained.contains(node);
            used.then_some((node.0, k.start))
        };
        sharing.nodes(self.listing.nodes.iter().filter_map(used).collect());
    }

    /// What a node counts as: what the list says, unless somebody wants it empty or all find it bad.
    fn state_of(&self, node: NodeId, listed: NodeState) -> NodeState {
        match listed {
            NodeState::Ready if self.drained.contains(&node) || self.avoids(node) => {
                NodeState::Draining
            }
            listed => listed,
        }
    }

    /// Somebody wants these nodes empty, or no longer: the decisions hear of it as if the list had told.
    fn wished(&mut self, nodes: &[NodeId], how: &str, wished: impl Fn(&Self, NodeId) -> bool) {
        let entry = |node: &NodeId| {
            let k = self.listing.nodes.get(node)?;
            let (zone, shard, started) = (k.zone, k.shard, k.started);
            Some(Endpoint {
                node: *node,
                zone,
                shard,
                state: self.state_of(*node, k.state),
                started,
            })
        };
        let endpoints: Vec<Endpoint> = nodes.iter().filter_map(entry).collect();
        for e in &endpoints {
            let not = if wished(self, e.node) {
                ""
            } else {
                "no longer "
            };
            self.note(format!("node {} is {not}{how}", e.node.0));
        }
        let left: Vec<NodeId> = endpoints
            .iter()
            .filter(|e| e.state != NodeState::Ready)
            .map(|e| e.node)
            .collect();
        if !endpoints.is_empty() {
            self.events.push(Event::EndpointUpdate {
                kind: EndpointUpdateKind::Delta,
                endpoints,
            });
        }
        left.into_iter().for_each(|node| self.take_back(node));
        // Whoever asked waits to hear what is still under way.
        self.sweep_at = self.now;
    }

    /// What was decided before we were told must not cross after.
    fn take_back(&mut self, node: NodeId) {
        let Some(pool) = self.pools.get(&node) else {
            return;
        };
        let on_conns = pool
            .conns
            .iter()
            .filter_map(|c| self.conns.get(c))
            .flat_map(|c| c.attempts.iter());
        let attempts: Vec<AttemptId> = pool.waiting.iter().chain(on_conns).copied().collect();
        for attempt in attempts {
            if self.unsend(attempt) {
                self.end_attempt(attempt, AttemptOutcome::NotSent, self.now, None);
            }
        }
    }

    fn answer(&mut self, conn: ConnId, told: pb::Response) {
        let Some(client) = self.clients.get(&conn) else {
            return;
        };
        client.outbox.put(frame(Body::Response(told)));
        // A client that never reads must not hold our memory; its requests are then nobody's.
        if client.outbox.bytes() > self.bounds().max_unread {
            self.throw_out(conn, "client leaves its answers unread");
        }
    }

    /// The one place where a request gets its final answer.
    fn finish(&mut self, id: RequestId, outcome: pb::Outcome, told: pb::Response) {
        let Some(x) = self.requests.get_mut(&id).filter(|x| !x.over) else {
            return;
        };
        x.over = true;
        let (client, wire_id, mut unsure) = (x.client, x.take.id.clone(), x.unsure);
        if outcome == pb::Outcome::Done && !self.watchers.is_empty() {
            let latency_objective = self.settings.traffic_classes[x.take.traffic_class as usize]
                .facts
                .latency_objective;
            self.service
                .done(x.taken, &x.take, self.now <= x.taken + latency_objective);
        }
        match outcome {
            pb::Outcome::Done => self.counts.done += 1,
            pb::Outcome::Deferred => self.counts.deferred += 1,
            _ => self.counts.abandoned += 1,
        }
        // The answer says whether an effect may still come, so what can be taken back is taken back first.
        let (back, crossed): (Vec<AttemptId>, Vec<AttemptId>) = x
            .out
            .clone()
            .into_iter()
            .partition(|attempt| self.unsend(*attempt));
        unsure = outcome != pb::Outcome::Done && (unsure || !crossed.is_empty());
        self.answer(
            client,
            pb::Response {
                id: wire_id,
                outcome: outcome.into(),
                unsure,
                ..told
            },
        );
        back.into_iter()
            .for_each(|attempt| self.end_attempt(attempt, AttemptOutcome::NotSent, self.now, None));
        self.settle(id);
    }

    /// After a request is over: attempts of it that have not crossed never do, and its record goes with the
    /// last.
    fn settle(&mut self, id: RequestId) {
        let Some(x) = self.requests.get(&id).filter(|x| x.over) else {
            return;
        };
        for attempt in x.out.clone() {
            if self.unsend(attempt) {
                self.end_attempt(attempt, AttemptOutcome::NotSent, self.now, None);
            }
        }
        if self.requests.get(&id).is_some_and(|x| x.out.is_empty()) {
            let x = self.requests.remove(&id).expect("looked up above");
            self.held_bytes -= x.take.data.len();
            if let Some(c) = self.clients.get_mut(&x.client) {
                c.open.remove(&id);
            }
        }
    }

    fn withdraw(&mut self, id: RequestId) {
        let Some(x) = self.requests.get_mut(&id).filter(|x| !x.over) else {
            return;
        };
        x.over = true;
        self.events.push(Event::RequestCancelled { id });
        self.settle(id);
    }

    fn client_gone(&mut self, conn: ConnId) {
        self.watchers
            .remove(&conn)
            .into_iter()
            .for_each(|o| o.close());
        let Some(client) = self.clients.remove(&conn) else {
            return;
        };
        client.outbox.close();
        self.complained.remove(&conn);
        for id in client.open {
            self.counts.withdrawn += u64::from(self.requests.get(&id).is_some_and(|x| !x.over));
            self.withdraw(id);
        }
    }

    fn throw_out(&mut self, conn: ConnId, why: &str) {
        self.complain(conn, why);
        self.client_gone(conn);
    }

    fn complain(&mut self, conn: ConnId, why: &str) {
        let lines = self.complained.entry(conn).or_default();
        *lines += 1;
        if *lines <= LINES_A_PEER {
            self.note(format!("connection {}: {why}", conn.0));
        }
    }

    fn note(&mut self, text: String) {
        self.out.push(Output::Note { text });
    }

    // Attempts

    fn send(&mut self, id: RequestId, node: NodeId, until: Duration) {
        let (attempt, now) = (AttemptId(self.number()), self.now);
        self.counts.attempts += 1;
        let Some(x) = self.requests.get_mut(&id) else {
            return;
        };
        let number = x.attempts;
        x.attempts += 1;
        x.out.push(attempt);
        self.attempts.insert(
            attempt,
            OutstandingAttempt {
                id,
                number,
                node,
                conn: None,
                sent: now,
                until,
                moved: false,
            },
        );
        *self.out_at.entry(node).or_default() += 1;
        if x.over {
            return self.end_attempt(attempt, AttemptOutcome::NotSent, now, None);
        }
        let listed = self.listing.nodes.get(&node).map(|k| k.state);
        if listed.is_none_or(|listed| self.state_of(node, listed) != NodeState::Ready) {
            return self.end_attempt(attempt, AttemptOutcome::NotSent, now, None);
        }
        self.times.insert((until, attempt));
        let (per, most) = (
            self.bounds().attempts_per_connection,
            self.bounds().connections_per_node,
        );
        let seed = self.seed ^ u64::from(node.0);
        let pool = self.pools.entry(node).or_insert_with(|| {
            let pool = Pool::new(per, most, seed);
            NodePool {
                pool,
                conns: Vec::new(),
                waiting: VecDeque::new(),
            }
        });
        pool.waiting.push_back(attempt);
        self.serve(node);
        if self.one_at_a_time
            && self
                .attempts
                .get(&attempt)
                .is_some_and(|l| l.conn.is_none())
        {
            // Until as many dials as may be made at a time have had theirs, it is the dial and not the node.
            let at = now + self.handshake * (MAX_LATE as u32 + 1);
            self.events.push(Event::AttemptSent { id, node, at });
        }
    }

    /// Gives waiting attempts of a node to connections with room, the emptiest first.
    fn serve(&mut self, node: NodeId) {
        self.touched.insert(node);
        let per = self.bounds().attempts_per_connection;
        let Some(pool) = self.pools.get_mut(&node) else {
            return;
        };
        while let Some(attempt) = pool.waiting.front().copied() {
            let up = pool
                .conns
                .iter()
                .filter_map(|c| Some((c, self.conns.get(c)?)));
            let open =
                up.filter(|(_, c)| c.outbox.is_some() && !c.leaving && c.attempts.len() < per);
            let (rested, rest): (Vec<_>, Vec<_>) =
                open.partition(|(_, c)| c.rests_until <= self.now);
            // Of idle ones the last used: the others grow old enough to be closed.
            let emptiest = rested
                .into_iter()
                .min_by_key(|(_, c)| (c.attempts.len(), Reverse(c.idle_since)));
            let Some(conn) = emptiest.map(|(id, _)| *id) else {
                let soonest = rest.into_iter().map(|(_, c)| c.rests_until).min();
                self.looks.extend(soonest.map(|at| (at, node)));
                return;
            };
            pool.waiting.pop_front();
            let l = self
                .attempts
                .get_mut(&attempt)
                .expect("waiting legs are known");
            l.conn = Some(conn);
            // What it waited for a connection is no word on what its node can do.
            if std::mem::replace(&mut l.sent, self.now) < self.now {
                self.events.push(Event::AttemptSent {
                    id: l.id,
                    node,
                    at: self.now,
                });
            }
            let x = &self.requests[&l.id];
            let (t, plan) = (&x.take, x.plan);
            let message = pb::Attempt {
                attempt: attempt.0,
                id: t.id.clone(),
                number: l.number,
                node: node.0,
                traffic_class: t.traffic_class,
                plan: plan.0 as u32,
                plan_rate: self.plans.rate(plan),
                volume: t.volume,
                key: t.key,
                units: t.units,
                left_us: 0, // set when it is written
                extent: t.extent,
                length: t.length,
                write: t.write,
                piece: t.piece.clone(),
                data: t.data.clone(),
                offset: t.offset,
                version: t.version,
            };
            let client = self.clients.get(&x.client).map(|c| c.outbox.clone());
            let c = self.conns.get_mut(&conn).expect("found above");
            c.attempts.insert(attempt);
            let outbox = c.outbox.as_ref().expect("found up");
            outbox.put_attempt_of(
                attempt,
                frame(Body::Attempt(message)),
                self.now,
                l.until,
                client,
            );
        }
    }

    /// Takes an attempt back if it has not crossed; whether it now never will. One that is written in part takes
    /// its connection with it, or its node would have the rest whenever it reads again.
    fn unsend(&mut self, attempt: AttemptId) -> bool {
        let Some(l) = self.attempts.get(&attempt) else {
            return false;
        };
        let unsent = match l
            .conn
            .and_then(|c| self.conns.get(&c))
            .and_then(|c| c.outbox.as_ref())
        {
            Some(outbox) if outbox.revoke(attempt) => true,
            Some(outbox) if self.one_at_a_time && outbox.is_writing() => {
                outbox.close();
                true
            }
            Some(_) => false,
            None => true,
        };
        self.counts.unsent += u64::from(unsent);
        unsent
    }

    /// The one place where an attempt ends, and the decisions are told how.
    fn end_attempt(
        &mut self,
        attempt: AttemptId,
        end: AttemptOutcome,
        at: Duration,
        answer: Option<pb::AttemptResponse>,
    ) {
        let Some(l) = self.attempts.remove(&attempt) else {
            return;
        };
        self.times.remove(&(l.until, attempt));
        self.out_at.entry(l.node).and_modify(|n| *n -= 1);
        if matches!(
            end,
            AttemptOutcome::TimedOut | AttemptOutcome::Cancelled | AttemptOutcome::ConnectionReset
        ) {
            let until = self.now + self.longest;
            self.unsure
                .entry(l.node)
                .and_modify(|u| *u = until.max(*u))
                .or_insert(until);
        }
        match l.conn.and_then(|c| self.conns.get_mut(&c)) {
            Some(c) => {
                c.attempts.remove(&attempt);
                c.idle_since = self.now;
                if self.one_at_a_time && answer.is_some() {
                    c.rests_until = self.now + QUIET;
                }
            }
            None => {
                let pool = self.pools.get_mut(&l.node);
                pool.into_iter()
                    .for_each(|p| p.waiting.retain(|w| *w != attempt));
            }
        }
        let at = at.max(l.sent);
        let elapsed = (at - l.sent).saturating_sub(self.stalls.within(l.sent, at));
        let (id, node) = (l.id, l.node);
        if let Some(x) = self.requests.get_mut(&id) {
            x.out.retain(|o| *o != attempt);
            x.unsure |= matches!(
                end,
                AttemptOutcome::TimedOut
                    | AttemptOutcome::Cancelled
                    | AttemptOutcome::ConnectionReset
            );
        }
        let told = answer.unwrap_or_default();
        if let Some(sharing) = &mut self.sharing {
            sharing.tried(node, end);
            let x = self
                .requests
                .get(&id)
                .filter(|_| end == AttemptOutcome::Completed);
            x.into_iter()
                .for_each(|x| sharing.did(x.take.volume, x.take.units));
        }
        if end == AttemptOutcome::Completed && !self.watchers.is_empty() {
            let units = self.requests.get(&id).map_or(0.0, |x| x.take.units);
            self.service.done_at(node, units);
        }
        if end == AttemptOutcome::Completed {
            let shard = self.listing.nodes.get(&node).map(|k| k.shard.0);
            let done = pb::Response {
                shard,
                data: told.data,
                superseded: told.superseded,
                ..Default::default()
            };
            self.finish(id, pb::Outcome::Done, done);
        }
        let over = self.requests.get(&id).is_none_or(|x| x.over);
        let reported = told
            .reported
            .map(|percent| match (&self.sharing, self.requests.get(&id)) {
                (Some(sharing), Some(x)) => {
                    let rate = self.plans.rate(x.plan).max(1e-9);
                    percent.max(sharing.served(self.now, x.take.volume) / rate * 100.0)
                }
                _ => percent,
            });
        self.events.push(Event::AttemptEnded(AttemptEnd {
            id,
            attempt: l.number,
            node,
            outcome: end,
            elapsed,
            answered: over,
            reported,
            others: told.others,
            busy: told.busy,
        }));
        self.settle(id);
        let given_up = matches!(end, AttemptOutcome::TimedOut | AttemptOutcome::Cancelled);
        let cut = |c: &NodeConn| given_up || c.outbox.as_ref().is_some_and(|o| o.is_closed());
        let cut = l
            .conn
            .filter(|c| self.one_at_a_time && self.conns.get(c).is_some_and(cut));
        cut.into_iter().for_each(|conn| self.node_conn_gone(conn));
        self.serve(node);
    }

    /// Attempts whose time has come. One that never crossed never ran.
    fn times_up(&mut self) {
        while let Some(&(at, attempt)) = self.times.first().filter(|t| t.0 <= self.now) {
            self.times.remove(&(at, attempt));
            let end = if self.unsend(attempt) {
                AttemptOutcome::NotSent
            } else {
                AttemptOutcome::TimedOut
            };
            self.end_attempt(attempt, end, self.now, None);
        }
    }

    fn cancel(&mut self, id: RequestId, number: u32) {
        let of = |attempt: &&AttemptId| {
            self.attempts
                .get(attempt)
                .is_some_and(|l| l.number == number)
        };
        let Some(attempt) = self
            .requests
            .get(&id)
            .and_then(|x| x.out.iter().find(of).copied())
        else {
            return;
        };
        if self.unsend(attempt) {
            return self.end_attempt(attempt, AttemptOutcome::NotSent, self.now, None);
        }
        let conn = self.attempts.get(&attempt).and_then(|l| l.conn);
        if let Some(outbox) = conn
            .and_then(|c| self.conns.get(&c))
            .and_then(|c| c.outbox.as_ref())
        {
            outbox.put(frame(Body::CancelAttempt(pb::CancelAttempt {
                attempt: attempt.0,
            })));
        }
        self.end_attempt(attempt, AttemptOutcome::Cancelled, self.now, None);
    }

    // Nodes

    fn node_says(&mut self, conn: ConnId, at: Duration, f: pb::Frame) {
        match f.body {
            Some(Body::AttemptResponse(a)) => {
                let attempt = AttemptId(a.attempt);
                // After its end, twice, of an attempt nobody sent, or of an earlier connection's: dropped.
                if self
                    .attempts
                    .get(&attempt)
                    .is_none_or(|l| l.conn != Some(conn))
                {
                    self.counts.strays += 1;
                    return;
                }
                let end = match a.result() {
                    pb::Result::Ok => AttemptOutcome::Completed,
                    pb::Result::Full => AttemptOutcome::QueueFull,
                    pb::Result::WrongNode | pb::Result::Expired => AttemptOutcome::NotSent,
                    pb::Result::Error | pb::Result::Unknown => AttemptOutcome::Failed,
                };
                self.end_attempt(attempt, end, at, Some(a));
            }
            Some(Body::ResponseStarted(b)) => {
                let attempt = AttemptId(b.attempt);
                let Some(l) = self
                    .attempts
                    .get_mut(&attempt)
                    .filter(|l| l.conn == Some(conn))
                else {
                    return;
                };
                // From here it has no time of its own: the answer is on its way to the client.
                self.times.remove(&(l.until, attempt));
                l.until = Duration::MAX;
                let (id, number) = (l.id, l.number);
                self.events.push(Event::ResponseStarted {
                    id,
                    attempt: number,
                });
                let client = self
                    .requests
                    .get(&id)
                    .and_then(|x| Some((x, self.clients.get(&x.client)?)));
                if let Some((x, c)) = client {
                    let begun = pb::ResponseStarted {
                        attempt: 0,
                        id: x.take.id.clone(),
                    };
                    c.outbox.put(frame(Body::ResponseStarted(begun)));
                }
            }
            Some(Body::HealthCheckResult(p)) => {
                if let Some((node, _)) = self.probes.remove(&p.probe) {
                    let outcome = if p.result() == pb::Result::Ok {
                        AttemptOutcome::Completed
                    } else {
                        AttemptOutcome::Failed
                    };
                    self.events.push(Event::HealthChecked { node, outcome });
                }
            }
            Some(Body::GoingAway(_)) => {
                self.conns
                    .get_mut(&conn)
                    .into_iter()
                    .for_each(|c| c.leaving = true);
            }
            _ => {
                self.complain(conn, "node sent what only hosts and clients send");
                self.node_conn_gone(conn);
            }
        }
    }

    fn node_conn_gone(&mut self, conn: ConnId) {
        // Out of the pool before any attempt ends: an end lets others go, and they must not go here.
        let Some(c) = self.conns.remove(&conn) else {
            return;
        };
        let (node, was_up) = (c.node, c.outbox.is_some());
        if let Some(pool) = self.pools.get_mut(&node) {
            pool.conns.retain(|c| *c != conn);
            if !was_up {
                pool.pool.failed(self.now);
            }
        }
        for attempt in c.attempts {
            if self.one_at_a_time
                && c.outbox.as_ref().is_some_and(|o| o.is_held(attempt))
                && self.elsewhere(attempt)
            {
                continue;
            }
            let partly = |o: &Arc<Outbox>| self.one_at_a_time && o.is_writing();
            let unsent = c
                .outbox
                .as_ref()
                .is_none_or(|o| o.revoke(attempt) || partly(o));
            self.counts.unsent += u64::from(unsent);
            self.end_attempt(
                attempt,
                if unsent {
                    AttemptOutcome::ConnectFailed
                } else {
                    AttemptOutcome::ConnectionReset
                },
                self.now,
                None,
            );
        }
        if let Some(outbox) = c.outbox {
            outbox.close();
        }
        self.complained.remove(&conn);
        for probe in self
            .probes
            .extract_if(|_, p| p.1 == conn)
            .map(|(_, (node, _))| node)
            .collect::<Vec<_>>()
        {
            self.events.push(Event::HealthChecked {
                node: probe,
                outcome: AttemptOutcome::ConnectionReset,
            });
        }
        self.serve(node);
    }

    /// An attempt that was given to a connection whose end we had yet to hear goes to another one, once: an end
    /// under a connection that stood idle says nothing of its node.
    fn elsewhere(&mut self, attempt: AttemptId) -> bool {
        let Some(l) = self
            .attempts
            .get_mut(&attempt)
            .filter(|l| !l.moved && l.until > self.now)
        else {
            return false;
        };
        (l.moved, l.conn) = (true, None);
        let node = l.node;
        self.pools
            .get_mut(&node)
            .into_iter()
            .for_each(|p| p.waiting.push_front(attempt));
        true
    }

    /// Brings the connections of touched nodes towards what their pools want.
    fn tend_pools(&mut self) {
        while let Some(node) = self.touched.pop_first() {
            let Some(pool) = self.pools.get(&node) else {
                continue;
            };
            let conns = || pool.conns.iter().filter_map(|c| self.conns.get(c));
            let up = conns().filter(|c| c.outbox.is_some()).count();
            let attempts = conns().map(|c| c.attempts.len()).sum::<usize>() + pool.waiting.len();
            let dialling = pool.conns.len() - up;
            // Those that rest are of no use yet; but an attempt alone waits for one of them.
            let rest = conns()
                .filter(|c| c.attempts.is_empty() && c.rests_until > self.now)
                .count();
            let up = (up - rest).max(usize::from(up > 0));
            let is_late =
                |c: &&NodeConn| c.outbox.is_none() && c.dialled + self.handshake <= self.now;
            let late = if self.one_at_a_time {
                conns().filter(is_late).count()
            } else {
                0
            };
            let present = Present {
                up,
                dialling,
                late,
                attempts,
                waiting: pool.waiting.len(),
            };
            let address = self.listing.nodes.get(&node).and_then(|k| k.address);
            let waiting: Vec<AttemptId> = pool.waiting.iter().copied().collect();
            match (pool.pool.wanted(self.now, present), address) {
                (Step::Nothing, _) => {}
                // Where there is no room for another, its attempts wait, and are swept if for too long.
                (Step::Dial, Some(address)) => {
                    if self.one_more() {
                        self.dial(node, address);
                        self.touched.insert(node); // it may want several
                    }
                }
                (Step::Fail, _) | (Step::Dial, None) => {
                    for attempt in waiting {
                        self.counts.unsent += 1;
                        self.end_attempt(attempt, AttemptOutcome::ConnectFailed, self.now, None);
                    }
                }
            }
        }
    }

    fn dial(&mut self, node: NodeId, address: SocketAddr) {
        let conn = ConnId(self.number());
        let new = NodeConn {
            node,
            outbox: None,
            attempts: BTreeSet::new(),
            dialled: self.now,
            idle_since: self.now,
            rests_until: Duration::ZERO,
            leaving: false,
        };
        self.conns.insert(conn, new);
        if self.one_at_a_time {
            self.looks.insert((self.now + self.handshake, node));
        }
        self.pools
            .get_mut(&node)
            .into_iter()
            .for_each(|p| p.conns.push(conn));
        self.out.push(Output::Dial {
            conn,
            node,
            address,
        });
    }

    /// Whether there may be one more connection to nodes; where all are spoken for, the one that has been
    /// idle the longest makes room.
    fn one_more(&mut self) -> bool {
        if self.conns.len() < self.bounds().node_connections {
            return true;
        }
        let idle = self
            .conns
            .iter()
            .filter(|(_, c)| c.outbox.is_some() && c.attempts.is_empty());
        let oldest = idle.min_by_key(|(_, c)| c.idle_since).map(|(id, _)| *id);
        oldest
            .into_iter()
            .for_each(|conn| self.node_conn_gone(conn));
        oldest.is_some()
    }

    fn close_idle(&mut self, node: NodeId, since: Duration) {
        let Some(pool) = self.pools.get(&node) else {
            return;
        };
        for conn in pool.conns.clone() {
            let idle =
                |c: &NodeConn| c.outbox.is_some() && c.attempts.is_empty() && c.idle_since <= since;
            if self.conns.get(&conn).is_some_and(idle) {
                self.node_conn_gone(conn);
            }
        }
    }

    /// What a dial to a process that is no more still brings up is closed: it is nobody's.
    fn forget_dials(&mut self, node: NodeId) {
        let Some(pool) = self.pools.get_mut(&node) else {
            return;
        };
        let (dials, up) = pool
            .conns
            .iter()
            .partition(|c| self.conns.get(c).is_some_and(|c| c.outbox.is_none()));
        pool.conns = up;
        let dials: Vec<ConnId> = dials;
        dials
            .into_iter()
            .for_each(|conn| _ = self.conns.remove(&conn));
        self.touched.insert(node);
    }

    fn probe(&mut self, node: NodeId) {
        let conns = self
            .pools
            .get(&node)
            .map(|p| p.conns.clone())
            .unwrap_or_default();
        let probe = self.number();
        let up = conns
            .into_iter()
            .find_map(|c| Some((c, self.conns.get(&c)?.outbox.clone()?)));
        match up {
            Some((conn, outbox)) => {
                outbox.put(frame(Body::HealthCheck(pb::HealthCheck { probe })));
                self.probes.insert(probe, (node, conn));
            }
            None => self.events.push(Event::HealthChecked {
                node,
                outcome: AttemptOutcome::ConnectFailed,
            }),
        }
    }

    // The list

    fn ask_list(&mut self) {
        let by = self.now + self.list_patience();
        let Some(outbox) = &self.list.outbox else {
            if self.list.conn.is_none() {
                let conn = ConnId(self.number());
                self.list.conn = Some(conn);
                self.list.answer_by = Some(by);
                self.out.push(Output::DialList { conn });
                self.renew_list(Some(renewal::Event::Called));
            }
            return;
        };
        for body in self.list.wanted.drain(..) {
            if let Body::Watch(w) = &body {
                // One that stands needs no second: its answer may be longer in coming than that of a call.
                if std::mem::replace(&mut self.list.watching, w.on) && w.on {
                    continue;
                }
            }
            outbox.put(frame(body));
            // One span for dial and call: two in a row would be twice as long where both are slow.
            self.list.answer_by.get_or_insert(by);
        }
    }

    /// A host that has no list yet serves nobody, and no term runs: it waits for a slow answer rather than
    /// ask again. Guards a start against a list that takes longer than a call may take later, which would
    /// never be had. Harm: a call that is lost then is found so much later.
    fn list_patience(&self) -> Duration {
        let renewal = self
            .renewal
            .as_ref()
            .filter(|_| !self.listing.nodes.is_empty());
        renewal.map_or(self.bounds().patience, |r| r.call)
    }

    /// Calls the list where the decisions would wait for too long. What they ask for later finds the watch.
    fn renew_list(&mut self, event: Option<renewal::Event>) {
        let renewal = self
            .renewal
            .as_mut()
            .filter(|_| !self.listing.nodes.is_empty());
        let due = renewal.and_then(|r| r.step(self.now, event));
        if let (Some(renewal::Action::Call), None) = (due, self.list.conn) {
            self.list.wanted.push(Body::Watch(pb::Watch { on: true }));
            self.ask_list();
        }
    }

    fn list_lost(&mut self, why: &str) {
        if let Some(outbox) = self.list.outbox.take() {
            outbox.close();
        }
        self.list = ListLink::default();
        self.note(format!("list of nodes: {why}"));
        self.renew_list(Some(renewal::Event::Failed));
        self.events.push(Event::EndpointUpdate {
            kind: EndpointUpdateKind::FetchFailed,
            endpoints: Vec::new(),
        });
    }

    fn is_former(&self, conn: ConnId) -> bool {
        self.former.as_ref().is_some_and(|(c, _)| *c == conn)
    }

    fn listed(&mut self, l: pb::EndpointUpdate) {
        match l.kind() {
            pb::EndpointUpdateKind::Delta => {
                self.endpoints(EndpointUpdateKind::Delta, &l.endpoints, l.revision)
            }
            pb::EndpointUpdateKind::Snapshot => {
                self.endpoints(EndpointUpdateKind::Snapshot, &l.endpoints, l.revision)
            }
            _ => self.events.push(Event::EndpointUpdate {
                kind: EndpointUpdateKind::FetchFailed,
                endpoints: Vec::new(),
            }),
        }
    }

    fn endpoints(&mut self, kind: EndpointUpdateKind, endpoints: &[pb::Endpoint], revision: u64) {
        let before: BTreeMap<NodeId, (u64, Option<SocketAddr>)> = self
            .listing
            .nodes
            .iter()
            .map(|(id, k)| (*id, (k.start, k.address)))
            .collect();
        let read: Vec<Endpoint> = endpoints
            .iter()
            .filter_map(|e| self.listing.read(e, self.now, revision))
            .collect();
        if read.len() < endpoints.len() {
            self.note(format!(
                "list of nodes: {} endpoints without a state",
                endpoints.len() - read.len()
            ));
        }
        let mut left = if kind == EndpointUpdateKind::Delta {
            Vec::new()
        } else {
            self.listing.only(&read, revision)
        };
        let read: Vec<Endpoint> = read
            .into_iter()
            .map(|e| Endpoint {
                state: self.state_of(e.node, e.state),
                ..e
            })
            .collect();
        for e in &read {
            let known = &self.listing.nodes[&e.node];
            let renewed = before
                .get(&e.node)
                .is_some_and(|b| *b != (known.start, known.address));
            if renewed {
                self.unsure.remove(&e.node); // another process knows nothing of what the last one ran
            }
            if e.state != NodeState::Ready || renewed {
                left.push(e.node);
            }
            if renewed {
                self.pools
                    .get_mut(&e.node)
                    .into_iter()
                    .for_each(|p| p.pool.renew());
                self.forget_dials(e.node);
            }
            // What is open leads to a process that is no more.
            if renewed || e.state == NodeState::Gone {
                self.close_idle(e.node, self.now);
            }
        }
        self.events.push(Event::EndpointUpdate {
            kind,
            endpoints: read,
        });
        left.into_iter().for_each(|node| self.take_back(node));
        self.list_changed = kind != EndpointUpdateKind::Cached;
        self.tell_nodes();
    }

    // Time and the end

    fn sweep(&mut self) {
        self.sweep_at = self.now + SWEEP;
        let since = self.now.saturating_sub(self.bounds().max_dispatch_delay);
        let mut stale: Vec<AttemptId> = Vec::new();
        for c in self.conns.values().filter(|c| !c.attempts.is_empty()) {
            stale.extend(c.outbox.iter().flat_map(|o| o.stale(since, self.now)));
        }
        let dialled = self.now.saturating_sub(
            self.bounds()
                .dial_timeout
                .max(self.bounds().max_dispatch_delay),
        );
        for pool in self.pools.values().filter(|p| !p.waiting.is_empty()) {
            let old = pool
                .waiting
                .iter()
                .filter(|l| self.attempts.get(l).is_some_and(|l| l.sent < dialled));
            stale.extend(old.copied());
        }
        // Each end lets others go, maybe one that is listed here: only what is now taken back never crossed.
        for attempt in stale {
            if !self.unsend(attempt) {
                continue;
            }
            let timely = self
                .attempts
                .get(&attempt)
                .is_some_and(|l| l.until > self.now);
            let end = if timely {
                AttemptOutcome::ConnectFailed
            } else {
                AttemptOutcome::NotSent
            };
            self.end_attempt(attempt, end, self.now, None);
        }
        // A dial that reports nothing, for whatever reason, must not keep its node's attempts waiting.
        let dialled = self.now.saturating_sub(self.bounds().dial_timeout * 2);
        let lost = |c: &NodeConn| c.outbox.is_none() && c.idle_since < dialled;
        let lost: Vec<ConnId> = self
            .conns
            .iter()
            .filter(|(_, c)| lost(c))
            .map(|(id, _)| *id)
            .collect();
        lost.into_iter().for_each(|conn| self.node_conn_gone(conn));
        let idle = self.now.saturating_sub(self.bounds().idle);
        let old =
            |c: &&NodeConn| c.outbox.is_some() && c.attempts.is_empty() && c.idle_since < idle;
        let nodes: BTreeSet<NodeId> = self.conns.values().filter(old).map(|c| c.node).collect();
        nodes.into_iter().for_each(|n| self.close_idle(n, idle));
        self.tell_sights();
        self.tell_figures();
        if std::mem::take(&mut self.list_changed) {
            self.out.push(Output::Remember {
                bytes: self.listing.to_bytes(self.now),
            });
        }
    }

    /// Tells the state service what has changed of how this host sees nodes.
    fn tell_sights(&mut self) {
        let Some(follows) = self.plans.follower().map(|f| f.catalog().version().0) else {
            return;
        };
        if !self.plans.is_up() {
            return;
        }
        let (now, since) = (self.now, |at: Duration| self.now.saturating_sub(at));
        let mut heard = BTreeMap::new();
        for f in self.control.nodes() {
            let lately = (!f.heard.is_zero()).then(|| since(f.heard));
            heard.insert(
                f.node,
                Heard {
                    ease: f.ease,
                    bad_row: f.bad_row,
                    since: lately,
                },
            );
        }
        let rows = self.listing.nodes.iter().map(|(node, k)| {
            let before = self.sights.answers(node.0);
            let answers = heard
                .get(node)
                .map_or(Answers::None, |h| Answers::of(*h, before));
            // What is out at a node that serves changes all the time, and nobody waits for it to end.
            let drained = self.drained.contains(node);
            let unsure = self
                .unsure
                .get(node)
                .map_or(Duration::ZERO, |u| u.saturating_sub(now));
            pb::NodeObservation {
                node: node.0,
                listed: match k.state {
                    NodeState::Ready => pb::NodeState::Ready,
                    NodeState::Draining => pb::NodeState::Draining,
                    NodeState::Gone => pb::NodeState::Gone,
                }
                .into(),
                start: k.start,
                up_us: k.started.map(|s| clock::micros(since(s))),
                revision: k.revision,
                answers: match answers {
                    Answers::None => pb::Answering::NotAsked,
                    Answers::Good => pb::Answering::Well,
                    Answers::Bad => pb::Answering::Badly,
                }
                .into(),
                follows: if drained { follows } else { 0 },
                attempts: if drained {
                    self.out_at.get(node).copied().unwrap_or(0)
                } else {
                    0
                },
                unsure_us: if drained { clock::micros(unsure) } else { 0 },
                extents: self
                    .holds
                    .as_ref()
                    .map(|h| h.get(&k.shard.0).copied().unwrap_or(0)),
            }
        });
        let nodes = self.sights.news(rows.collect::<Vec<_>>());
        if !nodes.is_empty() {
            self.plans
                .put(Body::NodeObservations(pb::NodeObservations { nodes }));
        }
    }

    /// Tells whoever watches, every second; who leaves it unread is hung up on.
    fn tell_figures(&mut self) {
        if self.watchers.is_empty() || self.now < self.figures_at {
            return;
        }
        self.figures_at = self.now + figures::EVERY;
        let c = self.counts;
        let head = pb::HostMetrics {
            host: self
                .settings
                .hosts
                .get(self.me)
                .map(|h| h.name.clone())
                .unwrap_or_default(),
            open: self.requests.len() as u64,
            held_bytes: self.held_bytes as u64,
            taken: c.taken + c.turned_away,
            done: c.done,
            deferred: c.deferred + c.turned_away,
            abandoned: c.abandoned,
            stalls: c.stalls,
            draining: self.draining.is_some(),
            leased: self.plans.follower().is_some_and(|f| f.leased()),
            follows: self.plans.follower().map_or(0, |f| f.catalog().version().0),
            longest_us: clock::micros(self.longest),
            ..pb::HostMetrics::default()
        };
        let head = self
            .sharing
            .iter()
            .fold(head, |head, s| s.figures(self.now, &self.settings, head));
        let starts = |node: NodeId| self.listing.nodes.get(&node).map_or(0, |k| k.start);
        let figures = self.service.tell(self.now, &self.control, starts, head);
        let unread: Vec<ConnId> = self
            .watchers
            .iter()
            .filter(|(_, o)| o.bytes() > MAX_UNREAD)
            .map(|w| *w.0)
            .collect();
        unread
            .into_iter()
            .for_each(|conn| self.throw_out(conn, "a watcher leaves its figures unread"));
        for outbox in self.watchers.values() {
            outbox.put(frame(Body::HostMetrics(Box::new(figures.clone()))));
        }
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::SendAttempt { id, node, deadline } => self.send(id, node, deadline),
            Action::Reject { id, retry_after } => {
                let retry_after_us = retry_after.map(clock::micros);
                self.finish(
                    id,
                    pb::Outcome::Deferred,
                    pb::Response {
                        retry_after_us,
                        ..Default::default()
                    },
                );
            }
            Action::Fail { id } => self.finish(id, pb::Outcome::Abandoned, pb::Response::default()),
            Action::CancelAttempt { id, attempt } => self.cancel(id, attempt),
            Action::SetTimer { after, tag } => {
                self.timers.insert((self.now + after, tag.0));
            }
            Action::HealthCheck { node } => self.probe(node),
            Action::CloseIdleConnections { node } => self.close_idle(node, self.now),
            Action::SendToPeer { to, bytes } => self.out.push(Output::Tell { to, bytes }),
            Action::Log { text } => self.note(text),
            Action::WatchEndpoints { on } => {
                self.list.wanted.push(Body::Watch(pb::Watch { on }));
                self.ask_list();
            }
            Action::FetchEndpoints => {
                self.list
                    .wanted
                    .push(Body::FetchEndpoints(pb::FetchEndpoints {}));
                self.ask_list();
            }
        }
    }

    fn drain(&mut self) {
        if self.draining.is_some() {
            return;
        }
        let longest = self
            .requests
            .values()
            .map(|x| x.deadline)
            .max()
            .unwrap_or(self.now);
        self.draining = Some(longest + self.bounds().patience);
        self.note(format!("draining: {} transfers held", self.requests.len()));
        for c in self.clients.values() {
            c.outbox.put(frame(Body::GoingAway(pb::GoingAway {})));
        }
    }

    /// A client that reads nothing must not keep a drained host up: there is a last moment.
    fn end_when_drained(&mut self) {
        let Some(last) = self.draining.filter(|_| !self.ended) else {
            return;
        };
        let answered = self.requests.values().all(|x| x.over);
        let written = || self.clients.values().all(|c| c.outbox.is_flushed());
        if self.now >= last || (answered && written()) {
            self.ended = true;
            self.out.push(Output::Ended);
        }
    }
}

/// A frame whose time is set when it is written.
fn frame(body: Body) -> pb::Frame {
    pb::Frame {
        sent_us: 0,
        body: Some(body),
    }
}

#[cfg(test)]
mod tests;
