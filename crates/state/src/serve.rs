//! The state service on its sockets.
//!
//! One thread owns [`Leader`]; each connection has one that reads and one that writes. Hosts and operators
//! speak the same frames as everybody else (`plans.proto`). What the decisions want kept goes to the
//! [`GroupCommit`], one commit for all of a step. Nothing is decided here but when to hang up on a peer.
//!
//! Bounds: [`MOST_CONNECTIONS`]; a reader hands over one frame at a time to a queue of [`QUEUE`], and waits
//! when it is full; a writer's queue holds [`QUEUE`] frames of at most [`PART`] bytes or one record, and who
//! leaves them unread is hung up on. Snapshots are written beside the store, by a thread of their own.

use crate::codec::{change_to_proto, changes_from_proto, revision_to_proto};
use crate::declared_config::{declared, deployment};
use crate::group_commit::GroupCommit;
use crate::snapshot;
use crate::store::{Record, StoreFault, StoredState};
use crate::subscription::{EventLog, Present, Subscription, SPACING};
use grebecleat_membership::drains::{
    Action as Wanted, Ask, Event as Seen, Membership, NodeFacts, Sight,
};
use grebecleat_membership::node_status::{Answers, ListedState};
use grebecleat_plans::admission::Reason;
use grebecleat_plans::changes::{Catalog, Change, Name, Revision, Version};
use grebecleat_plans::feed::HostNumber;
use grebecleat_plans::leader::{
    for_host, is_for, Action, CallId, Epoch, Event, InitialState, Leader, Persist, Proposal,
};
use grebecleat_plans::moves::{self, Size};
use grebecleat_settings::{Settings, StateSpec};
use grebecleat_wire::delay::Delay;
use grebecleat_wire::pb::{self, frame::Body, query::What};
use grebecleat_wire::trace::Tracer;
use grebecleat_wire::{clock, frame, VERSION};
use prost::Message;
use std::collections::{BTreeMap, BTreeSet};
use std::io::{self, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::mpsc::{self, Receiver, RecvTimeoutError, Sender, SyncSender, TrySendError};
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime};
use tracing::{error, info, warn};

const MAX_CONNECTIONS: usize = 1024;
const QUEUE: usize = 1024;
/// Bytes after which an answer goes on in another frame.
const PART: usize = 128 << 10;
const MAX_FRAME: usize = 16 << 20;
const PATIENCE: Duration = Duration::from_secs(5);
/// Events of one step.
const ONE_STEP: usize = 512;
const IDLE: Duration = Duration::from_secs(1);
/// Bytes of an extent, where no portal says how large its extents are.
const EXTENT: u64 = 64 << 10;

/// Rounds between the catalog and the members of one step.
const ROUNDS: usize = 16;

pub struct Options {
    pub settings: Arc<Settings>,
    /// How the settings are called, for the trail.
    pub file: String,
    pub store: PathBuf,
    pub listen: SocketAddr,
    pub tracer: Tracer,
}

/// Tells a running service to end once what it has decided is kept.
#[derive(Clone)]
pub struct Handle(Sender<Heard>);

impl Handle {
    pub fn stop(&self) {
        let _ = self.0.send(Heard::Stop);
    }
}

enum Heard {
    Up {
        conn: u64,
        them: Box<pb::Hello>,
        line: Line,
    },
    Frame {
        conn: u64,
        body: Box<Body>,
    },
    Gone {
        conn: u64,
    },
    StoredState {
        upto: u64,
    },
    PersistFailed {
        number: u64,
        reason: String,
    },
    QueryResult {
        conn: u64,
        shown: Box<pb::QueryResult>,
    },
    Stop,
}

/// The way out of one connection.
#[derive(Clone)]
struct Line {
    frames: SyncSender<Body>,
    stream: Arc<TcpStream>,
}

impl Line {
    /// Who leaves this much unread is hung up on.
    fn put(&self, body: Body) {
        if let Err(TrySendError::Full(_)) = self.frames.try_send(body) {
            warn!("a peer leaves its answers unread");
            self.hang_up();
        }
    }

    fn hang_up(&self) {
        let _ = self.stream.shutdown(Shutdown::Both);
    }
}

struct Peer {
    line: Line,
    name: String,
    /// None: an operator.
    host: Option<HostNumber>,
    /// The same host has dialled anew.
    stale: bool,
}

/// What a store held, as the decisions want it at a start.
fn start(persisted: StoredState, settings: &Settings, spec: &StateSpec) -> InitialState {
    let catalog = Catalog::new(deployment(settings), spec.max_audit_log as usize);
    let catalog = catalog.restored(persisted.version, persisted.state, persisted.audit_log);
    let hosts: Vec<Name> = settings
        .hosts
        .iter()
        .map(|h| Name::from(h.name.as_str()))
        .collect();
    let number = |name: &Name| {
        hosts
            .iter()
            .position(|h| h == name)
            .map(|at| HostNumber(at as u32))
    };
    let mut applied: BTreeMap<HostNumber, Version> = persisted
        .hosts
        .iter()
        .filter_map(|(name, applied)| Some((number(name)?, *applied)))
        .collect();
    if persisted.restored {
        (0..hosts.len() as u32)
            .for_each(|h| _ = applied.entry(HostNumber(h)).or_insert(Version(0)));
    }
    let (stable, epoch, epochs, epoch_forced_at) = (
        persisted.stable,
        persisted.epoch,
        persisted.epochs,
        persisted.epoch_forced_at,
    );
    InitialState {
        catalog,
        stable,
        applied,
        hosts,
        epoch,
        epochs,
        epoch_forced_at,
    }
}

/// A number that names a history; nobody else's is the same.
pub fn new_epoch() -> Epoch {
    let now = SystemTime::now()
        .duration_since(SystemTime::UNIX_EPOCH)
        .unwrap_or_default();
    Epoch((now.as_nanos() as u64) ^ u64::from(std::process::id()) << 48 | 1)
}

/// Serves until it is told to stop. `started` gets the address it listens on.
pub fn serve(o: Options, started: impl FnOnce(SocketAddr, Handle)) -> Result<(), String> {
    let spec = o
        .settings
        .state
        .clone()
        .ok_or("the settings name no state_service()")?;
    let told = |e: StoreFault| format!("store {}: {e}", o.store.display());
    let (group_commit, mut persisted, _) =
        GroupCommit::open(&o.store, spec.max_audit_log).map_err(told)?;
    if persisted.epoch == Epoch(0) {
        persisted.epoch = new_epoch();
        let (done, persisted_it) = mpsc::channel();
        group_commit.keep(vec![Record::Epoch(persisted.epoch)], move |r| {
            drop(done.send(r))
        });
        persisted_it
            .recv()
            .map_err(|e| e.to_string())?
            .map_err(told)?;
    }
    let (epoch, fresh) = (persisted.epoch, persisted.version == Version(0));
    let now = clock::now();
    let leader = Leader::new(
        start(persisted, &o.settings, &spec),
        spec.lease,
        spec.margin,
        spec.spread,
        now,
    );
    let longest = o
        .settings
        .traffic_classes
        .iter()
        .map(|s| s.deadline)
        .max()
        .unwrap_or_default();
    let hosts = (0..o.settings.hosts.len() as u32).map(HostNumber);
    let members = Membership::new(now, o.settings.rules.cold.warm_up_time, longest, hosts);
    let listener =
        TcpListener::bind(o.listen).map_err(|e| format!("cannot listen on {}: {e}", o.listen))?;
    let address = listener.local_addr().map_err(|e| e.to_string())?;
    let (to, heard) = mpsc::channel();
    let mut owner = Owner {
        leader,
        members,
        shown: Version(0),
        acknowledged: BTreeMap::new(),
        asks: BTreeMap::new(),
        notes: EventLog::default(),
        subscription: BTreeMap::new(),
        epoch,
        group_commit,
        to: to.clone(),
        peers: BTreeMap::new(),
        calls: BTreeMap::new(),
        next: 1,
        store_fault: String::new(),
        snapshot_at: Instant::now() + spec.snapshot_every,
        snapshot_of: Version(u64::MAX),
        stopping: false,
        unkept: BTreeSet::new(),
        spec,
        o: &o,
    };
    if fresh {
        owner.declare()?;
    }
    owner.tell_members(Vec::new());
    accept(listener, &o.tracer, to.clone());
    started(address, Handle(to));
    owner.run(&heard);
    Ok(())
}

struct Owner<'a> {
    leader: Leader,
    members: Membership,
    /// Up to where the members know the catalog, and what hosts have said to have.
    shown: Version,
    acknowledged: BTreeMap<HostNumber, Option<Version>>,
    /// Calls of theirs.
    asks: BTreeMap<CallId, Ask>,
    notes: EventLog,
    subscription: BTreeMap<u64, Subscription>,
    epoch: Epoch,
    group_commit: GroupCommit,
    to: Sender<Heard>,
    peers: BTreeMap<u64, Peer>,
    /// Whose call, by which number, each of ours is.
    calls: BTreeMap<CallId, (u64, u64)>,
    next: u64,
    /// What the store last complained of.
    store_fault: String,
    snapshot_at: Instant,
    snapshot_of: Version,
    stopping: bool,
    /// Numbers on their way to the disk.
    unkept: BTreeSet<u64>,
    spec: StateSpec,
    o: &'a Options,
}

fn wall() -> Duration {
    SystemTime::now()
        .duration_since(SystemTime::UNIX_EPOCH)
        .unwrap_or_default()
}

impl Owner<'_> {
    /// The first entry is what the settings declare.
    fn declare(&mut self) -> Result<(), String> {
        let (author, reason) = (
            "settings".to_string(),
            format!("declared in {}", self.o.file),
        );
        let (changes, at, force, base_version) =
            (declared(&self.o.settings), None, true, Version(0));
        let proposal = Proposal {
            author,
            reason,
            base_version,
            changes,
            at,
            force,
            dry_run: false,
        };
        let call = CallId(0);
        let mut refused = None;
        for action in self.leader.step(
            clock::now(),
            wall(),
            vec![Event::Proposed { call, proposal }],
        ) {
            match action {
                Action::Reject { reason, .. } => refused = Some(reason),
                other => {
                    self.carry_out(vec![other]);
                }
            }
        }
        refused.map_or(Ok(()), |reason| Err(format!("{}: {reason}", self.o.file)))
    }

    fn run(&mut self, heard: &Receiver<Heard>) {
        loop {
            let now = clock::now();
            let wake = [self.leader.wake_at(), self.members.wake_at()]
                .into_iter()
                .flatten()
                .min();
            let wake = wake.map_or(IDLE, |at| at.saturating_sub(now).min(IDLE));
            let wake = if self.subscription.is_empty() {
                wake
            } else {
                wake.min(SPACING)
            };
            let first = match heard.recv_timeout(wake) {
                Ok(first) => Some(first),
                Err(RecvTimeoutError::Timeout) => None,
                Err(RecvTimeoutError::Disconnected) => return,
            };
            let (mut events, mut seen) = (Vec::new(), Vec::new());
            for h in first.into_iter().chain(heard.try_iter().take(ONE_STEP)) {
                self.hear(h, &mut events, &mut seen);
            }
            let actions = self.leader.step(clock::now(), wall(), events);
            seen.extend(self.carry_out(actions));
            self.tell_members(seen);
            self.tell_attending();
            self.snapshot();
            if self.stopping && self.unkept.is_empty() {
                return;
            }
        }
    }

    /// The members hear what has changed of the catalog and of what hosts have, beside what is given; and what
    /// they want is brought before the catalog, which may answer at once.
    fn tell_members(&mut self, mut seen: Vec<Seen>) {
        for _ in 0..ROUNDS {
            let persisted = self.leader.persisted();
            if persisted > self.shown {
                let anew =
                    self.leader.catalog().since(self.shown).is_none() || self.shown == Version(0);
                let changes: Vec<(Version, Change)> = match self.leader.catalog().since(self.shown)
                {
                    Some(revisions) if !anew => {
                        let persisted = revisions.filter(|e| e.version <= persisted);
                        persisted
                            .flat_map(|e| e.changes.iter().map(|c| (e.version, c.clone())))
                            .collect()
                    }
                    _ => {
                        let at = |c: &Change| {
                            self.leader
                                .catalog()
                                .last_changed(&c.subject())
                                .unwrap_or(persisted)
                        };
                        self.leader
                            .catalog()
                            .state_at(persisted)
                            .map(|c| (at(&c), c))
                            .collect()
                    }
                };
                seen.push(Seen::Persisted { version: persisted });
                seen.extend(
                    changes
                        .into_iter()
                        .filter_map(|(version, c)| member_event(version, c)),
                );
                self.shown = persisted;
            }
            let follows: Vec<(HostNumber, Option<Version>)> = self
                .leader
                .follows()
                .enumerate()
                .map(|(i, (_, applied))| (HostNumber(i as u32), applied))
                .collect();
            for (host, version) in follows {
                if self.acknowledged.insert(host, version) != Some(version) {
                    seen.push(Seen::Acknowledged { host, version });
                }
            }
            let due = self.members.wake_at().is_some_and(|at| at <= clock::now());
            if seen.is_empty() && !due {
                return;
            }
            let mut events = Vec::new();
            for action in self
                .members
                .step(clock::now(), wall(), std::mem::take(&mut seen))
            {
                match action {
                    Wanted::Propose {
                        ask,
                        node,
                        to,
                        base_version,
                        reason,
                    } => {
                        self.next += 1;
                        let call = CallId(self.next);
                        self.asks.insert(call, ask);
                        let (author, changes) =
                            ("drains".to_string(), vec![Change::Drain { node, to }]);
                        let proposal = Proposal {
                            author,
                            reason,
                            base_version,
                            changes,
                            at: None,
                            force: false,
                            dry_run: false,
                        };
                        events.push(Event::Proposed { call, proposal });
                    }
                    Wanted::Unfit { node, how } => {
                        events.push(Event::NodeUnavailable { node, how })
                    }
                    Wanted::Note { node, text } => {
                        info!(node, "{text}");
                        self.notes.add(wall(), Some(node), text);
                    }
                }
            }
            if !events.is_empty() {
                let actions = self.leader.step(clock::now(), wall(), events);
                seen.extend(self.carry_out(actions));
            }
        }
    }

    fn tell_attending(&mut self) {
        if self.subscription.is_empty() {
            return;
        }
        let hosts = self.host_status();
        let present = Present {
            leader: &self.leader,
            members: &self.members,
            notes: &self.notes,
            epoch: self.epoch.0,
            store_fault: &self.store_fault,
            hosts: &hosts,
        };
        for (conn, subscription) in &mut self.subscription {
            let Some(peer) = self.peers.get(conn) else {
                continue;
            };
            subscription.tell(&present, Instant::now(), |a| {
                peer.line.put(Body::SubscriptionUpdate(a))
            });
        }
    }

    fn host_status(&self) -> Vec<pb::HostStatus> {
        let waits: BTreeMap<Name, bool> = self
            .leader
            .waits_for(self.leader.persisted())
            .into_iter()
            .collect();
        let up: BTreeSet<&str> = self
            .peers
            .values()
            .filter(|p| p.host.is_some())
            .map(|p| p.name.as_str())
            .collect();
        let hosts = self.leader.follows().map(|(name, applied)| pb::HostStatus {
            name: name.to_string(),
            heard_of: applied.is_some(),
            applied: applied.unwrap_or_default().0,
            holds_up: waits.contains_key(name),
            silent: waits.get(name).copied().unwrap_or(false),
            up: up.contains(&**name),
        });
        hosts.collect()
    }

    fn call(&mut self, conn: u64, theirs: u64) -> CallId {
        self.next += 1;
        self.calls.insert(CallId(self.next), (conn, theirs));
        CallId(self.next)
    }

    fn hear(&mut self, heard: Heard, events: &mut Vec<Event>, seen: &mut Vec<Seen>) {
        match heard {
            Heard::Up { conn, them, line } => {
                let at = self
                    .o
                    .settings
                    .hosts
                    .iter()
                    .position(|h| h.name == them.name);
                let host = match (them.role(), at) {
                    (pb::Role::Operator, _) => None,
                    (pb::Role::Host, Some(at)) => Some(HostNumber(at as u32)),
                    _ => {
                        warn!(name = %them.name, "neither an operator nor a host of these settings");
                        return line.hang_up();
                    }
                };
                if let Some(host) = host {
                    // A host that dials anew is heard on its new way alone.
                    let old = |p: &&Peer| p.host == Some(host);
                    self.peers
                        .values()
                        .filter(old)
                        .for_each(|p| p.line.hang_up());
                    self.peers
                        .values_mut()
                        .filter(|p| p.host == Some(host))
                        .for_each(|p| p.stale = true);
                    seen.push(Seen::Up {
                        host,
                        process: them.incarnation,
                    });
                }
                self.peers.insert(
                    conn,
                    Peer {
                        line,
                        name: them.name,
                        host,
                        stale: false,
                    },
                );
            }
            Heard::Gone { conn } => {
                self.subscription.remove(&conn);
                let lost = self
                    .peers
                    .remove(&conn)
                    .filter(|p| !p.stale)
                    .and_then(|p| p.host);
                seen.extend(lost.map(|host| Seen::Lost { host }));
                let gone: Vec<CallId> = self
                    .calls
                    .iter()
                    .filter(|c| c.1 .0 == conn)
                    .map(|c| *c.0)
                    .collect();
                for call in gone {
                    self.calls.remove(&call);
                    events.push(Event::CallerDisconnected { call });
                }
            }
            Heard::Frame { conn, body } => self.frame(conn, *body, events, seen),
            Heard::StoredState { upto } => {
                self.store_fault.clear();
                self.unkept.retain(|n| *n > upto);
                events.push(Event::Persisted { upto });
            }
            Heard::PersistFailed { number, reason } => {
                error!("not kept: {reason}");
                self.store_fault = reason.clone();
                self.unkept.retain(|n| *n > number);
                events.push(Event::PersistFailed { number, reason });
            }
            Heard::QueryResult { conn, shown } => {
                self.peers
                    .get(&conn)
                    .into_iter()
                    .for_each(|p| p.line.put(Body::QueryResult(*shown.clone())));
            }
            Heard::Stop => {
                info!("ending: {} records wait to be kept", self.unkept.len());
                self.stopping = true;
            }
        }
    }

    fn frame(&mut self, conn: u64, body: Body, events: &mut Vec<Event>, seen: &mut Vec<Seen>) {
        let Some(peer) = self.peers.get(&conn).filter(|p| !p.stale) else {
            return;
        };
        match (body, peer.host) {
            (Body::NodeObservations(s), Some(host)) => {
                let each = s.nodes.into_iter().map(|n| (n.node, sight_of(&n)));
                seen.extend(each.map(|(node, sight)| Seen::Seen { host, node, sight }));
            }
            (Body::Subscribe(a), None) => {
                drop(self.subscription.insert(conn, Subscription::new(a.call)))
            }
            (Body::FollowRequest(f), Some(host)) => {
                let call = self.call(conn, f.call);
                let (applied, stable, acknowledged) = (
                    Version(f.applied),
                    Version(f.stable),
                    Version(f.acknowledged),
                );
                events.push(Event::Polled {
                    call,
                    host,
                    epoch: Epoch(f.epoch),
                    applied,
                    stable,
                    acknowledged,
                });
            }
            (Body::Acknowledge(c), Some(host)) => {
                events.push(Event::Acknowledged {
                    host,
                    epoch: Epoch(c.epoch),
                    applied: Version(c.applied),
                });
            }
            (Body::Propose(p), None) => {
                let call = self.call(conn, p.call);
                match changes_from_proto(p.changes) {
                    Err(reason) => {
                        self.carry_out(vec![Action::Reject {
                            call,
                            reason: reason.to_string(),
                        }]);
                    }
                    Ok(changes) => {
                        let base_version = p
                            .base_version
                            .map_or(self.leader.catalog().version(), Version);
                        let at = p.at_us.map(Duration::from_micros);
                        let proposal = Proposal {
                            author: p.author,
                            reason: p.reason,
                            base_version,
                            changes,
                            at,
                            force: p.force,
                            dry_run: p.dry_run,
                        };
                        events.push(Event::Proposed { call, proposal });
                    }
                }
            }
            (Body::Undo(u), None) => {
                let call = self.call(conn, u.call);
                events.push(Event::Undo {
                    call,
                    author: u.author,
                    reason: u.reason,
                    revision: Version(u.revision),
                    force: u.force,
                });
            }
            (Body::HostGone(g), None) => {
                let call = self.call(conn, g.call);
                let at = self.o.settings.hosts.iter().position(|h| h.name == g.host);
                match at {
                    Some(at) => {
                        let host = HostNumber(at as u32);
                        events.push(Event::HostRemoved {
                            call,
                            host,
                            author: g.author,
                        });
                        seen.push(Seen::HostRemoved { host });
                    }
                    None => {
                        let reason = format!("{} is no host here", g.host);
                        self.carry_out(vec![Action::Reject { call, reason }]);
                    }
                }
            }
            (Body::ForceEpoch(p), None) => {
                let call = self.call(conn, p.call);
                events.push(Event::ForceEpoch {
                    call,
                    author: p.author,
                    reason: p.reason,
                });
            }
            (Body::Query(l), None) => self.query(conn, l),
            (Body::GoingAway(_), _) => {}
            _ => {
                warn!(name = %peer.name, "said what is not for it to say");
                peer.line.hang_up();
            }
        }
    }

    fn query(&mut self, conn: u64, l: pb::Query) {
        let line = self.peers[&conn].line.clone();
        let (version, stable) = (self.leader.persisted(), self.leader.stable());
        let head = pb::QueryResult {
            call: l.call,
            version: version.0,
            stable: stable.0,
            epoch: self.epoch.0,
            store_fault: self.store_fault.clone(),
            ..pb::QueryResult::default()
        };
        match l.what() {
            What::State => {
                let state = self
                    .leader
                    .catalog()
                    .state_at(version)
                    .map(|c| change_to_proto(&c));
                in_parts(state, |state, more| {
                    line.put(Body::QueryResult(pb::QueryResult {
                        state,
                        more,
                        ..head.clone()
                    }));
                });
            }
            What::AuditLog => {
                let all = self
                    .leader
                    .catalog()
                    .audit_log()
                    .filter(|e| e.version <= version && e.version.0 > l.after);
                let n = all.clone().count();
                let most = if l.most == 0 { n } else { l.most as usize };
                let revisions = all.skip(n.saturating_sub(most)).map(revision_to_proto);
                in_parts(revisions, |revisions, more| {
                    line.put(Body::QueryResult(pb::QueryResult {
                        revisions,
                        more,
                        ..head.clone()
                    }));
                });
            }
            What::Status | What::Unknown => {
                let shortfall = self.leader.admission().shortfall();
                let (short, out_of_reach) = (shortfall.short, shortfall.out_of_reach);
                let behind = self.leader.behind().map(|v| v.0);
                let hosts = self.host_status();
                line.put(Body::QueryResult(pb::QueryResult {
                    hosts,
                    short,
                    out_of_reach,
                    behind,
                    ..head
                }));
            }
            What::Proposal => {
                // It may take seconds, and hosts must not wait for it.
                let site = self.leader.admission().site(self.leader.catalog());
                let mut empty: BTreeSet<u32> = l.empty.into_iter().collect();
                empty.extend(self.leader.admission().drains());
                let sizes: BTreeMap<u64, u64> = self
                    .leader
                    .catalog()
                    .volumes()
                    .map(|(id, v)| (id, v.blocks * 512))
                    .collect();
                let bytes = self.extent_bytes();
                let to = self.to.clone();
                std::thread::spawn(move || {
                    let size = |id: u64| Size {
                        extents: sizes[&id].div_ceil(bytes).max(1),
                        bytes,
                    };
                    let p = moves::propose(&site, &empty, size).unwrap_or_default();
                    let each = |m: &moves::Move| pb::ExtentMove {
                        volume: m.volume,
                        from: m.from,
                        to: m.to,
                        extents: m.extents,
                        bytes: m.bytes,
                    };
                    let shown = pb::QueryResult {
                        moves: p.moves.iter().map(each).collect(),
                        short: p.short,
                        ..head
                    };
                    let _ = to.send(Heard::QueryResult {
                        conn,
                        shown: Box::new(shown),
                    });
                });
            }
        }
    }

    fn extent_bytes(&self) -> u64 {
        self.o
            .settings
            .portals
            .first()
            .map_or(EXTENT, |p| u64::from(p.extent_blocks) * 512)
    }

    /// Does what the catalog's decisions want; what came of the members' own proposals is answered.
    fn carry_out(&mut self, actions: Vec<Action>) -> Vec<Seen> {
        let (mut records, mut numbers) = (Vec::new(), (0, 0));
        let mut answered = Vec::new();
        for action in actions {
            match action {
                Action::Persist { number, what } => {
                    numbers = (
                        if records.is_empty() {
                            number
                        } else {
                            numbers.0
                        },
                        number,
                    );
                    self.unkept.insert(number);
                    records.push(self.record(what));
                }
                Action::Grant {
                    call,
                    from,
                    to,
                    snapshot,
                    stable,
                    lease,
                } => {
                    self.grant(call, (from, to), snapshot, stable, lease);
                }
                Action::Behind { call, applied } => {
                    warn!("a host has followed entry {}, which is not known here; an operator must say what counts", applied.0);
                    self.say(call, |call| Body::LeaderBehind(pb::LeaderBehind { call }));
                }
                Action::Committed { call, .. } if self.asks.contains_key(&call) => {
                    answered.extend(self.asks.remove(&call).map(|ask| Seen::Committed { ask }));
                }
                Action::Reject { call, reason } if self.asks.contains_key(&call) => {
                    answered.extend(
                        self.asks
                            .remove(&call)
                            .map(|ask| Seen::Rejected { ask, reason }),
                    );
                }
                Action::Committed {
                    call,
                    version,
                    verdict,
                } => {
                    let waits = self.leader.waits_for(version);
                    let waits_for = waits
                        .iter()
                        .filter(|w| w.1)
                        .map(|w| w.0.to_string())
                        .collect();
                    let warnings = verdict.warnings.iter().map(|w| w.to_string()).collect();
                    let (unseen, blind) = (verdict.unseen as u32, verdict.blind);
                    self.say(call, |call| {
                        Body::ChangeCommitted(pb::ChangeCommitted {
                            call,
                            version: version.0,
                            warnings,
                            unseen,
                            blind,
                            waits_for,
                        })
                    });
                }
                Action::Reject { call, reason } => self.say(call, |call| {
                    Body::ChangeRejected(pb::ChangeRejected { call, reason })
                }),
                Action::Preview { call, verdict } => {
                    let version = self.leader.catalog().version().0;
                    let words = |all: &[Reason]| all.iter().map(|r| r.to_string()).collect();
                    let (objections, warnings) =
                        (words(&verdict.objections), words(&verdict.warnings));
                    let (unseen, blind) = (verdict.unseen as u32, verdict.blind);
                    self.say(call, |call| {
                        Body::ChangePreview(pb::ChangePreview {
                            call,
                            version,
                            objections,
                            warnings,
                            unseen,
                            blind,
                        })
                    });
                }
                Action::Note { text } => info!("{text}"),
            }
        }
        if !records.is_empty() {
            let (to, (first, last)) = (self.to.clone(), numbers);
            self.group_commit.keep(records, move |done| {
                let _ = to.send(match done {
                    Ok(()) => Heard::StoredState { upto: last },
                    // All of them are one commit: with the first nothing is kept.
                    Err(reason) => Heard::PersistFailed {
                        number: first,
                        reason: reason.to_string(),
                    },
                });
            });
        }
        answered
    }

    fn record(&self, what: Persist) -> Record {
        match what {
            Persist::Revision(e) => Record::Revision(e),
            Persist::EpochForced(e) => Record::EpochForced(e),
            Persist::Stable(v) => Record::Stable(v),
            Persist::Has(host, applied) => Record::Has(
                self.o.settings.hosts[host.0 as usize].name.as_str().into(),
                applied,
            ),
        }
    }

    fn say(&mut self, call: CallId, body: impl FnOnce(u64) -> Body) {
        let Some((conn, theirs)) = self.calls.remove(&call) else {
            return;
        };
        if let Some(peer) = self.peers.get(&conn) {
            peer.line.put(body(theirs));
        }
    }

    fn grant(
        &mut self,
        call: CallId,
        (from, to): (Version, Version),
        snapshot: bool,
        stable: Version,
        lease: Duration,
    ) {
        let Some((conn, theirs)) = self.calls.remove(&call) else {
            return;
        };
        let Some(peer) = self.peers.get(&conn) else {
            return;
        };
        let me = Name::from(peer.name.as_str());
        let catalog = self.leader.catalog();
        let head = pb::ConfigUpdate {
            call: theirs,
            epoch: self.epoch.0,
            version: to.0,
            stable: stable.0,
            lease_us: clock::micros(lease),
            snapshot,
            at: from.0,
            ..pb::ConfigUpdate::default()
        };
        if snapshot {
            let state = catalog
                .state_at(from)
                .filter(|c| is_for(c, &me))
                .map(|c| change_to_proto(&c));
            in_parts(state, |state, _| {
                peer.line.put(Body::ConfigUpdate(pb::ConfigUpdate {
                    state,
                    more: true,
                    ..head.clone()
                }));
            });
        }
        let revisions = catalog
            .since(from)
            .into_iter()
            .flatten()
            .filter(|e| e.version <= to);
        let revisions =
            revisions.map(|e: &Revision| revision_to_proto(&for_host(catalog, stable, e, &me)));
        in_parts(revisions, |revisions, more| {
            peer.line.put(Body::ConfigUpdate(pb::ConfigUpdate {
                revisions,
                more,
                ..head.clone()
            }));
        });
    }

    /// A snapshot when it is time and something has changed.
    fn snapshot(&mut self) {
        let version = self.leader.persisted();
        if Instant::now() < self.snapshot_at || version == self.snapshot_of {
            return;
        }
        self.snapshot_at = Instant::now() + self.spec.snapshot_every;
        self.snapshot_of = version;
        let path = self.o.store.with_extension("snapshot");
        self.group_commit.read(move |all| {
            std::thread::spawn(move || {
                let written = all
                    .and_then(|all| snapshot::write(&path, &all, wall()).map(|()| all.0.version));
                match written {
                    Ok(version) => info!(version = version.0, "snapshot in {}", path.display()),
                    Err(reason) => error!("no snapshot: {reason}"),
                }
            });
        });
    }
}

/// What the members are told of a change that is kept.
fn member_event(version: Version, change: Change) -> Option<Seen> {
    match change {
        Change::Node { id, to } => {
            let to = to.map(|n| NodeFacts {
                name: n.name,
                zone: n.zone,
                shard: n.shard,
            });
            Some(Seen::Node { node: id, to })
        }
        Change::Drain { node, to } => Some(Seen::Drain { node, to, version }),
        _ => None,
    }
}

fn sight_of(n: &pb::NodeObservation) -> Sight {
    let word = match n.listed() {
        pb::NodeState::NodeUnknown => ListedState::Never,
        pb::NodeState::Ready => ListedState::Ready,
        pb::NodeState::Draining => ListedState::Draining,
        pb::NodeState::Gone => ListedState::Gone,
    };
    let answers = match n.answers() {
        pb::Answering::NotAsked => Answers::None,
        pb::Answering::Well => Answers::Good,
        pb::Answering::Badly => Answers::Bad,
    };
    Sight {
        word,
        start: n.start,
        age: n.up_us.map(Duration::from_micros),
        revision: n.revision,
        answers,
        follows: Version(n.follows),
        attempts: n.attempts,
        unsure: Duration::from_micros(n.unsure_us),
        extents: n.extents,
    }
}

/// Gives records out in parts of some bytes; there is always at least one, and the last has no more after it.
pub(crate) fn in_parts<T: Message>(
    all: impl Iterator<Item = T>,
    mut give: impl FnMut(Vec<T>, bool),
) {
    let (mut part, mut bytes) = (Vec::new(), 0);
    for record in all {
        let size = record.encoded_len();
        if bytes > 0 && bytes + size > PART {
            give(std::mem::take(&mut part), true);
            bytes = 0;
        }
        bytes += size;
        part.push(record);
    }
    give(part, false);
}

fn accept(listener: TcpListener, tracer: &Tracer, to: Sender<Heard>) {
    let (tracer, conns, open) = (
        tracer.clone(),
        Arc::new(AtomicU64::new(1)),
        Arc::new(AtomicUsize::new(0)),
    );
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let stream = match stream {
                Ok(stream) => stream,
                Err(e) => {
                    warn!("cannot accept: {e}");
                    std::thread::sleep(Duration::from_millis(10));
                    continue;
                }
            };
            if open.fetch_add(1, Ordering::Relaxed) >= MAX_CONNECTIONS {
                open.fetch_sub(1, Ordering::Relaxed);
                warn!("a caller is turned away: {MAX_CONNECTIONS} connections");
                continue;
            }
            let (tracer, to, open) = (tracer.clone(), to.clone(), open.clone());
            let conn = conns.fetch_add(1, Ordering::Relaxed);
            std::thread::spawn(move || {
                if let Err(e) = converse(stream, conn, &tracer, &to) {
                    warn!(conn, "connection closed: {e}");
                }
                let _ = to.send(Heard::Gone { conn });
                open.fetch_sub(1, Ordering::Relaxed);
            });
        }
    });
}

fn converse(
    mut stream: TcpStream,
    conn: u64,
    tracer: &Tracer,
    to: &Sender<Heard>,
) -> io::Result<()> {
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(PATIENCE))?;
    stream.set_write_timeout(Some(PATIENCE))?;
    let me = pb::Hello {
        version: VERSION,
        role: pb::Role::State.into(),
        name: "state".into(),
        incarnation: 1,
        max_frame: MAX_FRAME as u32,
    };
    let mut bytes = Vec::new();
    let sent_us = clock::micros(clock::now());
    frame::write(
        &pb::Frame {
            sent_us,
            body: Some(Body::Hello(me)),
        },
        &mut bytes,
    );
    stream.write_all(&bytes)?;
    let mut reader = frame::Reader::new(MAX_FRAME);
    let own = Arc::new(stream.try_clone()?);
    let (mut delay, mut name) = (Delay::default(), None);
    loop {
        let (mut read, now) = (Vec::new(), clock::now());
        while let Some(f) = reader
            .next::<pb::Frame>()
            .map_err(|e| io::Error::other(e.to_string()))?
        {
            read.push(f);
        }
        tracer.read(conn, now, &read);
        for f in read {
            delay.waited(f.sent_us, now);
            match (f.body, &name) {
                (Some(Body::Hello(them)), None) if them.version == VERSION => {
                    stream.set_read_timeout(None)?;
                    tracer.opened(conn, &them.name);
                    name = Some(them.name.clone());
                    let (frames, from) = mpsc::sync_channel(QUEUE);
                    let (writer, tracer) = (own.clone(), tracer.clone());
                    std::thread::spawn(move || write_on(&writer, conn, &tracer, &from));
                    let line = Line {
                        frames,
                        stream: own.clone(),
                    };
                    let _ = to.send(Heard::Up {
                        conn,
                        them: Box::new(them),
                        line,
                    });
                }
                (Some(body), Some(_)) => drop(to.send(Heard::Frame {
                    conn,
                    body: Box::new(body),
                })),
                _ => {
                    return Err(io::Error::other(
                        "no proper greeting, or a frame without a body",
                    ))
                }
            }
        }
        match reader.fill(&mut stream) {
            Ok(n) if n > 0 => {}
            Ok(_) => break,
            Err(e) if name.is_some() => {
                drop(e); // hung up on, by them or by us
                break;
            }
            Err(e) => return Err(e),
        }
    }
    tracer.closed(conn, name.as_deref().unwrap_or_default());
    Ok(())
}

fn write_on(mut stream: &TcpStream, conn: u64, tracer: &Tracer, from: &Receiver<Body>) {
    let mut bytes = Vec::new();
    while let Ok(first) = from.recv() {
        let now = clock::now();
        let sent_us = clock::micros(now);
        let bodies = std::iter::once(first).chain(from.try_iter().take(15));
        let frames: Vec<_> = bodies
            .map(|b| pb::Frame {
                sent_us,
                body: Some(b),
            })
            .collect();
        tracer.written(conn, now, &frames);
        bytes.clear();
        frames.iter().for_each(|f| _ = frame::write(f, &mut bytes));
        if stream.write_all(&bytes).is_err() {
            let _ = stream.shutdown(Shutdown::Both);
            return;
        }
    }
    let _ = stream.shutdown(Shutdown::Both);
}

/// What a store's file and its settings disagree in, for whoever looks at it without a service.
pub fn differences(settings: &Settings, state: impl IntoIterator<Item = Change>) -> Vec<Change> {
    let catalog = |state: Vec<Change>| {
        Catalog::new(deployment(settings), 1).restored(Version(1), state, Vec::new())
    };
    catalog(declared(settings)).changes_towards(&catalog(state.into_iter().collect()))
}
