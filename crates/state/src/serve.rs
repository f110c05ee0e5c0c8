//! The state service on its sockets.
//!
//! One thread owns [`Source`]; each connection has one that reads and one that writes. Hosts and operators
//! speak the same frames as everybody else (`plans.proto`). What the decisions want kept goes to the
//! [`Keeper`], one commit for all of a step. Nothing is decided here but when to hang up on a peer.
//!
//! Bounds: [`MOST_CONNECTIONS`]; a reader hands over one frame at a time to a queue of [`QUEUE`], and waits
//! when it is full; a writer's queue holds [`QUEUE`] frames of at most [`PART`] bytes or one record, and who
//! leaves them unread is hung up on. Snapshots are written beside the store, by a thread of their own.

use crate::attending::{Attending, Notes, Present, SPACING};
use crate::codec::{change_pb, changes_of, entry_pb};
use crate::declared::{declared, facts};
use crate::keeper::Keeper;
use crate::snapshot;
use crate::store::{Keep as Record, Kept, StoreFault};
use grebecleat_membership::drains::{
    Action as Wanted, Ask, Event as Seen, Facts, Membership, Sight,
};
use grebecleat_membership::life::{Answers, Word};
use grebecleat_plans::admission::Reason;
use grebecleat_plans::changes::{Catalog, Change, Entry, Name, Version};
use grebecleat_plans::feed::HostNo;
use grebecleat_plans::moves::{self, Size};
use grebecleat_plans::source::{
    for_host, is_for, Action, Call, Era, Event, Keep, Proposal, Source, Start,
};
use grebecleat_settings::{Settings, StateSpec};
use grebecleat_wire::delay::Delay;
use grebecleat_wire::pb::{self, frame::Body, look::What};
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
    Kept {
        upto: u64,
    },
    NotKept {
        number: u64,
        why: String,
    },
    Shown {
        conn: u64,
        shown: Box<pb::Shown>,
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
    host: Option<HostNo>,
    /// The same host has dialled anew.
    stale: bool,
}

/// What a store held, as the decisions want it at a start.
fn start(kept: Kept, settings: &Settings, spec: &StateSpec) -> Start {
    let catalog = Catalog::new(facts(settings), spec.max_trail as usize);
    let catalog = catalog.restored(kept.version, kept.state, kept.trail);
    let hosts: Vec<Name> = settings
        .hosts
        .iter()
        .map(|h| Name::from(h.name.as_str()))
        .collect();
    let number = |name: &Name| {
        hosts
            .iter()
            .position(|h| h == name)
            .map(|at| HostNo(at as u32))
    };
    let mut has: BTreeMap<HostNo, Version> = kept
        .hosts
        .iter()
        .filter_map(|(name, has)| Some((number(name)?, *has)))
        .collect();
    if kept.restored {
        (0..hosts.len() as u32).for_each(|h| _ = has.entry(HostNo(h)).or_insert(Version(0)));
    }
    let (settled, era, eras, prevailed) = (kept.settled, kept.era, kept.eras, kept.prevailed);
    Start {
        catalog,
        settled,
        has,
        hosts,
        era,
        eras,
        prevailed,
    }
}

/// A number that names a history; nobody else's is the same.
pub fn new_era() -> Era {
    let now = SystemTime::now()
        .duration_since(SystemTime::UNIX_EPOCH)
        .unwrap_or_default();
    Era((now.as_nanos() as u64) ^ u64::from(std::process::id()) << 48 | 1)
}

/// Serves until it is told to stop. `started` gets the address it listens on.
pub fn serve(o: Options, started: impl FnOnce(SocketAddr, Handle)) -> Result<(), String> {
    let spec = o
        .settings
        .state
        .clone()
        .ok_or("the settings name no state_service()")?;
    let told = |e: StoreFault| format!("store {}: {e}", o.store.display());
    let (keeper, mut kept, _) = Keeper::open(&o.store, spec.max_trail).map_err(told)?;
    if kept.era == Era(0) {
        kept.era = new_era();
        let (done, kept_it) = mpsc::channel();
        keeper.keep(vec![Record::Era(kept.era)], move |r| drop(done.send(r)));
        kept_it.recv().map_err(|e| e.to_string())?.map_err(told)?;
    }
    let (era, fresh) = (kept.era, kept.version == Version(0));
    let now = clock::now();
    let source = Source::new(
        start(kept, &o.settings, &spec),
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
    let hosts = (0..o.settings.hosts.len() as u32).map(HostNo);
    let members = Membership::new(now, o.settings.rules.cold.warm_up_time, longest, hosts);
    let listener =
        TcpListener::bind(o.listen).map_err(|e| format!("cannot listen on {}: {e}", o.listen))?;
    let address = listener.local_addr().map_err(|e| e.to_string())?;
    let (to, heard) = mpsc::channel();
    let mut owner = Owner {
        source,
        members,
        shown: Version(0),
        sure: BTreeMap::new(),
        asks: BTreeMap::new(),
        notes: Notes::default(),
        attending: BTreeMap::new(),
        era,
        keeper,
        to: to.clone(),
        peers: BTreeMap::new(),
        calls: BTreeMap::new(),
        next: 1,
        trouble: String::new(),
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
    source: Source,
    members: Membership,
    /// Up to where the members know the catalog, and what hosts have said to have.
    shown: Version,
    sure: BTreeMap<HostNo, Option<Version>>,
    /// Calls of theirs.
    asks: BTreeMap<Call, Ask>,
    notes: Notes,
    attending: BTreeMap<u64, Attending>,
    era: Era,
    keeper: Keeper,
    to: Sender<Heard>,
    peers: BTreeMap<u64, Peer>,
    /// Whose call, by which number, each of ours is.
    calls: BTreeMap<Call, (u64, u64)>,
    next: u64,
    /// What the store last complained of.
    trouble: String,
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
        let (who, why) = (
            "settings".to_string(),
            format!("declared in {}", self.o.file),
        );
        let (changes, at, force, looked_at) = (declared(&self.o.settings), None, true, Version(0));
        let proposal = Proposal {
            who,
            why,
            looked_at,
            changes,
            at,
            force,
            only_look: false,
        };
        let call = Call(0);
        let mut refused = None;
        for action in self.source.step(
            clock::now(),
            wall(),
            vec![Event::Proposed { call, proposal }],
        ) {
            match action {
                Action::Refused { why, .. } => refused = Some(why),
                other => {
                    self.carry_out(vec![other]);
                }
            }
        }
        refused.map_or(Ok(()), |why| Err(format!("{}: {why}", self.o.file)))
    }

    fn run(&mut self, heard: &Receiver<Heard>) {
        loop {
            let now = clock::now();
            let wake = [self.source.wake_at(), self.members.wake_at()]
                .into_iter()
                .flatten()
                .min();
            let wake = wake.map_or(IDLE, |at| at.saturating_sub(now).min(IDLE));
            let wake = if self.attending.is_empty() {
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
            let actions = self.source.step(clock::now(), wall(), events);
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
            let kept = self.source.kept();
            if kept > self.shown {
                let anew =
                    self.source.catalog().since(self.shown).is_none() || self.shown == Version(0);
                let changes: Vec<(Version, Change)> = match self.source.catalog().since(self.shown)
                {
                    Some(entries) if !anew => {
                        let kept = entries.filter(|e| e.version <= kept);
                        kept.flat_map(|e| e.changes.iter().map(|c| (e.version, c.clone())))
                            .collect()
                    }
                    _ => {
                        let at = |c: &Change| {
                            self.source.catalog().touched(&c.subject()).unwrap_or(kept)
                        };
                        self.source
                            .catalog()
                            .state_at(kept)
                            .map(|c| (at(&c), c))
                            .collect()
                    }
                };
                seen.push(Seen::Kept { version: kept });
                seen.extend(
                    changes
                        .into_iter()
                        .filter_map(|(version, c)| member_event(version, c)),
                );
                self.shown = kept;
            }
            let follows: Vec<(HostNo, Option<Version>)> = self
                .source
                .follows()
                .enumerate()
                .map(|(i, (_, has))| (HostNo(i as u32), has))
                .collect();
            for (host, version) in follows {
                if self.sure.insert(host, version) != Some(version) {
                    seen.push(Seen::Sure { host, version });
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
                        looked_at,
                        why,
                    } => {
                        self.next += 1;
                        let call = Call(self.next);
                        self.asks.insert(call, ask);
                        let (who, changes) =
                            ("drains".to_string(), vec![Change::Drain { node, to }]);
                        let proposal = Proposal {
                            who,
                            why,
                            looked_at,
                            changes,
                            at: None,
                            force: false,
                            only_look: false,
                        };
                        events.push(Event::Proposed { call, proposal });
                    }
                    Wanted::Unfit { node, how } => events.push(Event::Unfit { node, how }),
                    Wanted::Note { node, text } => {
                        info!(node, "{text}");
                        self.notes.add(wall(), Some(node), text);
                    }
                }
            }
            if !events.is_empty() {
                let actions = self.source.step(clock::now(), wall(), events);
                seen.extend(self.carry_out(actions));
            }
        }
    }

    fn tell_attending(&mut self) {
        if self.attending.is_empty() {
            return;
        }
        let hosts = self.host_status();
        let present = Present {
            source: &self.source,
            members: &self.members,
            notes: &self.notes,
            era: self.era.0,
            trouble: &self.trouble,
            hosts: &hosts,
        };
        for (conn, attending) in &mut self.attending {
            let Some(peer) = self.peers.get(conn) else {
                continue;
            };
            attending.tell(&present, Instant::now(), |a| {
                peer.line.put(Body::Attended(a))
            });
        }
    }

    fn host_status(&self) -> Vec<pb::HostStatus> {
        let waits: BTreeMap<Name, bool> = self
            .source
            .waits_for(self.source.kept())
            .into_iter()
            .collect();
        let up: BTreeSet<&str> = self
            .peers
            .values()
            .filter(|p| p.host.is_some())
            .map(|p| p.name.as_str())
            .collect();
        let hosts = self.source.follows().map(|(name, has)| pb::HostStatus {
            name: name.to_string(),
            heard_of: has.is_some(),
            has: has.unwrap_or_default().0,
            holds_up: waits.contains_key(name),
            silent: waits.get(name).copied().unwrap_or(false),
            up: up.contains(&**name),
        });
        hosts.collect()
    }

    fn call(&mut self, conn: u64, theirs: u64) -> Call {
        self.next += 1;
        self.calls.insert(Call(self.next), (conn, theirs));
        Call(self.next)
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
                    (pb::Role::Host, Some(at)) => Some(HostNo(at as u32)),
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
                self.attending.remove(&conn);
                let lost = self
                    .peers
                    .remove(&conn)
                    .filter(|p| !p.stale)
                    .and_then(|p| p.host);
                seen.extend(lost.map(|host| Seen::Lost { host }));
                let gone: Vec<Call> = self
                    .calls
                    .iter()
                    .filter(|c| c.1 .0 == conn)
                    .map(|c| *c.0)
                    .collect();
                for call in gone {
                    self.calls.remove(&call);
                    events.push(Event::Hung { call });
                }
            }
            Heard::Frame { conn, body } => self.frame(conn, *body, events, seen),
            Heard::Kept { upto } => {
                self.trouble.clear();
                self.unkept.retain(|n| *n > upto);
                events.push(Event::Kept { upto });
            }
            Heard::NotKept { number, why } => {
                error!("not kept: {why}");
                self.trouble = why.clone();
                self.unkept.retain(|n| *n > number);
                events.push(Event::NotKept { number, why });
            }
            Heard::Shown { conn, shown } => {
                self.peers
                    .get(&conn)
                    .into_iter()
                    .for_each(|p| p.line.put(Body::Shown(*shown.clone())));
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
            (Body::Sighted(s), Some(host)) => {
                let each = s.nodes.into_iter().map(|n| (n.node, sight_of(&n)));
                seen.extend(each.map(|(node, sight)| Seen::Seen { host, node, sight }));
            }
            (Body::Attend(a), None) => drop(self.attending.insert(conn, Attending::new(a.call))),
            (Body::Follow(f), Some(host)) => {
                let call = self.call(conn, f.call);
                let (has, settled, sure) = (Version(f.has), Version(f.settled), Version(f.sure));
                events.push(Event::Asked {
                    call,
                    host,
                    era: Era(f.era),
                    has,
                    settled,
                    sure,
                });
            }
            (Body::Confirm(c), Some(host)) => {
                events.push(Event::Confirmed {
                    host,
                    era: Era(c.era),
                    has: Version(c.has),
                });
            }
            (Body::Propose(p), None) => {
                let call = self.call(conn, p.call);
                match changes_of(p.changes) {
                    Err(why) => {
                        self.carry_out(vec![Action::Refused {
                            call,
                            why: why.to_string(),
                        }]);
                    }
                    Ok(changes) => {
                        let looked_at =
                            p.looked_at.map_or(self.source.catalog().version(), Version);
                        let at = p.at_us.map(Duration::from_micros);
                        let proposal = Proposal {
                            who: p.who,
                            why: p.why,
                            looked_at,
                            changes,
                            at,
                            force: p.force,
                            only_look: p.only_look,
                        };
                        events.push(Event::Proposed { call, proposal });
                    }
                }
            }
            (Body::Undo(u), None) => {
                let call = self.call(conn, u.call);
                events.push(Event::Undo {
                    call,
                    who: u.who,
                    why: u.why,
                    entry: Version(u.entry),
                    force: u.force,
                });
            }
            (Body::HostGone(g), None) => {
                let call = self.call(conn, g.call);
                let at = self.o.settings.hosts.iter().position(|h| h.name == g.host);
                match at {
                    Some(at) => {
                        let host = HostNo(at as u32);
                        events.push(Event::Gone {
                            call,
                            host,
                            who: g.who,
                        });
                        seen.push(Seen::Gone { host });
                    }
                    None => {
                        let why = format!("{} is no host here", g.host);
                        self.carry_out(vec![Action::Refused { call, why }]);
                    }
                }
            }
            (Body::Prevail(p), None) => {
                let call = self.call(conn, p.call);
                events.push(Event::Prevail {
                    call,
                    who: p.who,
                    why: p.why,
                });
            }
            (Body::Look(l), None) => self.look(conn, l),
            (Body::GoingAway(_), _) => {}
            _ => {
                warn!(name = %peer.name, "said what is not for it to say");
                peer.line.hang_up();
            }
        }
    }

    fn look(&mut self, conn: u64, l: pb::Look) {
        let line = self.peers[&conn].line.clone();
        let (version, settled) = (self.source.kept(), self.source.settled());
        let head = pb::Shown {
            call: l.call,
            version: version.0,
            settled: settled.0,
            era: self.era.0,
            trouble: self.trouble.clone(),
            ..pb::Shown::default()
        };
        match l.what() {
            What::State => {
                let state = self
                    .source
                    .catalog()
                    .state_at(version)
                    .map(|c| change_pb(&c));
                in_parts(state, |state, more| {
                    line.put(Body::Shown(pb::Shown {
                        state,
                        more,
                        ..head.clone()
                    }));
                });
            }
            What::Trail => {
                let all = self
                    .source
                    .catalog()
                    .trail()
                    .filter(|e| e.version <= version && e.version.0 > l.after);
                let n = all.clone().count();
                let most = if l.most == 0 { n } else { l.most as usize };
                let entries = all.skip(n.saturating_sub(most)).map(entry_pb);
                in_parts(entries, |entries, more| {
                    line.put(Body::Shown(pb::Shown {
                        entries,
                        more,
                        ..head.clone()
                    }));
                });
            }
            What::Status | What::Unknown => {
                let missing = self.source.admission().missing();
                let (short, out_of_reach) = (missing.short, missing.out_of_reach);
                let behind = self.source.behind().map(|v| v.0);
                let hosts = self.host_status();
                line.put(Body::Shown(pb::Shown {
                    hosts,
                    short,
                    out_of_reach,
                    behind,
                    ..head
                }));
            }
            What::Proposal => {
                // It may take seconds, and hosts must not wait for it.
                let site = self.source.admission().site(self.source.catalog());
                let mut empty: BTreeSet<u32> = l.empty.into_iter().collect();
                empty.extend(self.source.admission().drains());
                let sizes: BTreeMap<u64, u64> = self
                    .source
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
                    let each = |m: &moves::Move| pb::MoveExtents {
                        volume: m.volume,
                        from: m.from,
                        to: m.to,
                        extents: m.extents,
                        bytes: m.bytes,
                    };
                    let shown = pb::Shown {
                        moves: p.moves.iter().map(each).collect(),
                        short: p.short,
                        ..head
                    };
                    let _ = to.send(Heard::Shown {
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
                Action::Keep { number, what } => {
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
                    whole,
                    settled,
                    lease,
                } => {
                    self.grant(call, (from, to), whole, settled, lease);
                }
                Action::Behind { call, has } => {
                    warn!("a host has followed entry {}, which is not known here; an operator must say what counts", has.0);
                    self.say(call, |call| Body::FeedBehind(pb::FeedBehind { call }));
                }
                Action::Landed { call, .. } if self.asks.contains_key(&call) => {
                    answered.extend(self.asks.remove(&call).map(|ask| Seen::Landed { ask }));
                }
                Action::Refused { call, why } if self.asks.contains_key(&call) => {
                    answered.extend(
                        self.asks
                            .remove(&call)
                            .map(|ask| Seen::Refused { ask, why }),
                    );
                }
                Action::Landed {
                    call,
                    version,
                    opinion,
                } => {
                    let waits = self.source.waits_for(version);
                    let waits_for = waits
                        .iter()
                        .filter(|w| w.1)
                        .map(|w| w.0.to_string())
                        .collect();
                    let warnings = opinion.warnings.iter().map(|w| w.to_string()).collect();
                    let (unseen, blind) = (opinion.unseen as u32, opinion.blind);
                    self.say(call, |call| {
                        Body::Landed(pb::Landed {
                            call,
                            version: version.0,
                            warnings,
                            unseen,
                            blind,
                            waits_for,
                        })
                    });
                }
                Action::Refused { call, why } => {
                    self.say(call, |call| Body::Refused(pb::Refused { call, why }))
                }
                Action::Would { call, opinion } => {
                    let version = self.source.catalog().version().0;
                    let words = |all: &[Reason]| all.iter().map(|r| r.to_string()).collect();
                    let (against, warnings) = (words(&opinion.against), words(&opinion.warnings));
                    let (unseen, blind) = (opinion.unseen as u32, opinion.blind);
                    self.say(call, |call| {
                        Body::Would(pb::Would {
                            call,
                            version,
                            against,
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
            self.keeper.keep(records, move |done| {
                let _ = to.send(match done {
                    Ok(()) => Heard::Kept { upto: last },
                    // All of them are one commit: with the first nothing is kept.
                    Err(why) => Heard::NotKept {
                        number: first,
                        why: why.to_string(),
                    },
                });
            });
        }
        answered
    }

    fn record(&self, what: Keep) -> Record {
        match what {
            Keep::Entry(e) => Record::Entry(e),
            Keep::Prevails(e) => Record::Prevails(e),
            Keep::Settled(v) => Record::Settled(v),
            Keep::Has(host, has) => Record::Has(
                self.o.settings.hosts[host.0 as usize].name.as_str().into(),
                has,
            ),
        }
    }

    fn say(&mut self, call: Call, body: impl FnOnce(u64) -> Body) {
        let Some((conn, theirs)) = self.calls.remove(&call) else {
            return;
        };
        if let Some(peer) = self.peers.get(&conn) {
            peer.line.put(body(theirs));
        }
    }

    fn grant(
        &mut self,
        call: Call,
        (from, to): (Version, Version),
        whole: bool,
        settled: Version,
        lease: Duration,
    ) {
        let Some((conn, theirs)) = self.calls.remove(&call) else {
            return;
        };
        let Some(peer) = self.peers.get(&conn) else {
            return;
        };
        let me = Name::from(peer.name.as_str());
        let catalog = self.source.catalog();
        let head = pb::Feed {
            call: theirs,
            era: self.era.0,
            version: to.0,
            settled: settled.0,
            lease_us: clock::micros(lease),
            whole,
            at: from.0,
            ..pb::Feed::default()
        };
        if whole {
            let state = catalog
                .state_at(from)
                .filter(|c| is_for(c, &me))
                .map(|c| change_pb(&c));
            in_parts(state, |state, _| {
                peer.line.put(Body::Feed(pb::Feed {
                    state,
                    more: true,
                    ..head.clone()
                }));
            });
        }
        let entries = catalog
            .since(from)
            .into_iter()
            .flatten()
            .filter(|e| e.version <= to);
        let entries = entries.map(|e: &Entry| entry_pb(&for_host(catalog, settled, e, &me)));
        in_parts(entries, |entries, more| {
            peer.line.put(Body::Feed(pb::Feed {
                entries,
                more,
                ..head.clone()
            }));
        });
    }

    /// A snapshot when it is time and something has changed.
    fn snapshot(&mut self) {
        let version = self.source.kept();
        if Instant::now() < self.snapshot_at || version == self.snapshot_of {
            return;
        }
        self.snapshot_at = Instant::now() + self.spec.snapshot_every;
        self.snapshot_of = version;
        let path = self.o.store.with_extension("snapshot");
        self.keeper.read(move |all| {
            std::thread::spawn(move || {
                let written = all
                    .and_then(|all| snapshot::write(&path, &all, wall()).map(|()| all.0.version));
                match written {
                    Ok(version) => info!(version = version.0, "snapshot in {}", path.display()),
                    Err(why) => error!("no snapshot: {why}"),
                }
            });
        });
    }
}

/// What the members are told of a change that is kept.
fn member_event(version: Version, change: Change) -> Option<Seen> {
    match change {
        Change::Node { id, to } => {
            let to = to.map(|n| Facts {
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

fn sight_of(n: &pb::NodeSight) -> Sight {
    let word = match n.listed() {
        pb::NodeState::NodeUnknown => Word::Never,
        pb::NodeState::Ready => Word::Ready,
        pb::NodeState::Draining => Word::Draining,
        pb::NodeState::Gone => Word::Gone,
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
        Catalog::new(facts(settings), 1).restored(Version(1), state, Vec::new())
    };
    catalog(declared(settings)).towards(&catalog(state.into_iter().collect()))
}
