//! The sockets, on `may` coroutines.
//!
//! One thread owns the [`Desk`] and with it the decisions; it is no coroutine, since its clock must be right
//! and `may`'s timers, kept by length, can lose one (docs/design/host.md). Each connection has one that reads
//! and one that writes; a listener and the dials have their own. Readers hand whole frames to the owner; the
//! owner puts frames into outboxes, from which writers pull. So a peer that sends garbage, reads nothing or
//! stands still blocks its own two coroutines and nobody else. Nothing here decides more than when to hang up
//! on a peer that breaks the wire.

use crate::endpoint_list::EndpointList;
use crate::outbox::Outbox;
use crate::router::{ConnId, Counters, Input, Output, RequestRouter};
use grebecleat::interface::PeerId;
use grebecleat_plans::follower::InitialState;
use grebecleat_settings::{Bounds, Settings};
use grebecleat_state::group_commit::GroupCommit;
use grebecleat_wire::delay::Delay;
use grebecleat_wire::pb::{self, frame::Body};
use grebecleat_wire::trace::Tracer;
use grebecleat_wire::{clock, frame, VERSION};
use may::net::{TcpListener, TcpStream};
use may::sync::Semphore;
use may::{coroutine, go};
use std::collections::BTreeMap;
use std::fs::File;
use std::io::{self, Write};
use std::net::{Shutdown, SocketAddr};
use std::os::fd::AsRawFd;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::mpsc::{self, Receiver, RecvTimeoutError, Sender};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tracing::{error, info, warn};

/// Bytes a writer takes from its outbox at a time.
const ONE_WRITE: usize = 128 << 10;
/// Inputs that go into one step, so that a flood cannot keep timers waiting.
const ONE_STEP: usize = 4096;
/// Words that wait for one peer; more are lost.
const MAX_WORDS: usize = 8;
/// After a stall: time for the readers to bring what waits in the sockets.
const CATCH_UP: Duration = Duration::from_millis(5);
/// Numbers below are the desk's own connections, above it the listener's.
const ACCEPTED: u64 = 1 << 48;
/// How long a worker without events waits before it looks by itself.
const POLL: Duration = Duration::from_millis(1);
/// Words of eight bytes; `tracing` formats on this stack.
const CONNECTION_STACK: usize = 8 << 10;

/// What a host needs beside its settings.
#[derive(Debug, Clone)]
pub struct Options {
    pub settings: Arc<Settings>,
    /// Place among the settings' hosts.
    pub host: usize,
    pub listen: SocketAddr,
    pub list: SocketAddr,
    /// Where the state service answers, and what was kept of it; None: the settings alone count.
    pub state: Option<StateLink>,
    pub peers: Vec<(PeerId, SocketAddr)>,
    /// A number that grows from start to start, as far as anybody here can know.
    pub life: u64,
    pub tracer: Tracer,
    /// Where the last list is kept for the next start.
    pub remember: Option<PathBuf>,
    pub seed: u64,
    pub workers: usize,
}

/// How a host follows a state service.
#[derive(Clone)]
pub struct StateLink {
    pub address: SocketAddr,
    pub keeper: GroupCommit,
    pub start: InitialState,
}

impl std::fmt::Debug for StateLink {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "state service at {}", self.address)
    }
}

/// Words on their way to one peer: how many wait, and where they are put.
type Talk = (Arc<AtomicUsize>, may::sync::mpsc::Sender<Vec<u8>>);

#[derive(Clone)]
struct Shared {
    options: Arc<Options>,
    to_owner: Sender<Input>,
    me: pb::Hello,
    clients: Arc<AtomicUsize>,
    accepted: Arc<AtomicU64>,
    closing: Arc<AtomicBool>,
    talks: Arc<Mutex<BTreeMap<PeerId, Talk>>>,
}

impl Shared {
    fn bounds(&self) -> &Bounds {
        &self.options.settings.bounds
    }
}

/// A handle by which a running host is told to drain.
#[derive(Clone)]
pub struct Handle {
    to_owner: Sender<Input>,
    tracer: Tracer,
    numbers: Arc<AtomicU64>,
}

/// A client inside this process: what it sends and gets passes no socket, but is recorded as if it did, so
/// that the audit sees one host whatever its clients speak.
pub struct Local {
    conn: ConnId,
    outbox: Arc<Outbox>,
    to_owner: Sender<Input>,
    tracer: Tracer,
}

impl Local {
    pub fn send(&self, bodies: impl IntoIterator<Item = Body>) {
        let at = clock::now();
        let sent_us = clock::micros(at);
        let frames: Vec<_> = bodies
            .into_iter()
            .map(|b| pb::Frame {
                sent_us,
                body: Some(b),
            })
            .collect();
        self.tracer.read(self.conn.0, at, &frames);
        self.outbox.note_cancels(&frames);
        let _ = self.to_owner.send(Input::ClientFrames {
            conn: self.conn,
            at,
            frames,
        });
    }

    /// What has come since the last look.
    pub fn read(&self) -> Vec<Body> {
        let pulled = self.outbox.take_batch(clock::now, usize::MAX);
        self.tracer.written(self.conn.0, pulled.at, &pulled.frames);
        self.outbox.batch_written();
        pulled.frames.into_iter().filter_map(|f| f.body).collect()
    }
}

impl Handle {
    /// Where this process records what crosses its sockets.
    pub fn tracer(&self) -> &Tracer {
        &self.tracer
    }

    /// A client in this process; `wake` is called when there is something to read.
    pub fn local(&self, wake: impl Fn() + Send + Sync + 'static) -> Local {
        let conn = ConnId(self.numbers.fetch_add(1, Ordering::Relaxed));
        let outbox = Arc::new(Outbox::new(wake, || ()));
        let (to_owner, tracer) = (self.to_owner.clone(), self.tracer.clone());
        tracer.opened(conn.0, "inside");
        let _ = to_owner.send(Input::ClientUp {
            conn,
            outbox: outbox.clone(),
        });
        Local {
            conn,
            outbox,
            to_owner,
            tracer,
        }
    }

    pub fn drain(&self) {
        let _ = self.to_owner.send(Input::Shutdown);
    }

    /// How many extents lie in each shard, as far as this process knows.
    pub fn holds(&self, shards: BTreeMap<u32, u64>) {
        let _ = self.to_owner.send(Input::ExtentsByShard { shards });
    }
}

/// Runs a host until it has drained. `started` gets the address it listens on and a handle.
pub fn run(options: Options, started: impl FnOnce(SocketAddr, Handle)) -> io::Result<Counters> {
    may::config()
        .set_workers(options.workers.max(1))
        .set_stack_size(CONNECTION_STACK);
    // Bound, as the runtime has it, the n-th worker of every host on a machine shares the n-th processor, and
    // what keeps that one busy keeps all of them from hearing anybody, whatever the others do.
    may::config().set_worker_pin(false);
    // A wake-up from the owner's thread is at times only seen when the worker polls again: with `may`'s own
    // 10 ms that was the 99th percentile. Harm: an idle worker wakes a thousand times a second.
    may::config().set_timeout_ns(POLL.as_nanos() as u64);
    let listener = TcpListener::bind(options.listen)?;
    let address = listener.local_addr()?;
    let (to_owner, inputs) = mpsc::channel();
    let me = hello(&options);
    let shared = Shared {
        options: Arc::new(options),
        to_owner: to_owner.clone(),
        me,
        clients: Arc::default(),
        accepted: Arc::new(AtomicU64::new(ACCEPTED)),
        closing: Arc::default(),
        talks: Arc::default(),
    };
    if let Some(list) = shared.options.remember.as_deref().and_then(remembered) {
        let _ = to_owner.send(Input::CachedEndpoints { list });
    }
    let accepting = shared.clone();
    go!(move || accept(&listener, &accepting));
    let (owner, owning) = (
        std::thread::Builder::new().name("owner".into()),
        shared.clone(),
    );
    let owner = owner.spawn(move || own(&owning, &inputs))?;
    let (tracer, numbers) = (shared.options.tracer.clone(), shared.accepted.clone());
    started(
        address,
        Handle {
            to_owner,
            tracer,
            numbers,
        },
    );
    owner
        .join()
        .map_err(|_| io::Error::other("the owner of the decisions panicked"))
}

/// A peer's number, from its place among the settings' hosts.
pub fn peer(place: usize) -> PeerId {
    PeerId(place as u32)
}

/// SIGTERM or SIGINT drains the host; a second one ends the process with code 3.
pub fn on_signals(handle: Handle) {
    on_signals_do(move || handle.drain());
}

/// The same for any process that can be told to end.
pub fn on_signals_do(end: impl Fn() + Send + 'static) {
    std::thread::spawn(move || {
        let signals = [signal_hook::consts::SIGTERM, signal_hook::consts::SIGINT];
        let Ok(mut signals) = signal_hook::iterator::Signals::new(signals) else {
            return;
        };
        for (n, _) in signals.forever().enumerate() {
            if n > 0 {
                warn!("ended by a second signal");
                std::process::exit(3);
            }
            end();
        }
    });
}

fn hello(options: &Options) -> pb::Hello {
    pb::Hello {
        version: VERSION,
        role: pb::Role::Host.into(),
        name: options.settings.hosts[options.host].name.clone(),
        // Another one at each start, also where the seed is given.
        incarnation: clock::now().as_nanos() as u64 ^ u64::from(std::process::id()) << 40,
        max_frame: options.settings.bounds.max_frame as u32,
    }
}

fn remembered(path: &Path) -> Option<pb::EndpointUpdate> {
    let bytes = std::fs::read(path).ok()?;
    match EndpointList::from_bytes(&bytes) {
        Ok(list) => Some(list),
        Err(fault) => {
            warn!("remembered list {} not taken: {fault}", path.display());
            None
        }
    }
}

/// The loop of the one owner of the decisions.
fn own(shared: &Shared, inputs: &Receiver<Input>) -> Counters {
    let mut router = RequestRouter::new(shared.options.settings.clone(), shared.options.seed)
        .with_host_index(shared.options.host);
    if let Some(link) = &shared.options.state {
        router = router.following(&shared.me.name, link.start.clone());
    }
    let peers: Vec<PeerId> = shared.options.peers.iter().map(|p| p.0).collect();
    router = router.sharing(clock::now(), &peers, shared.options.life);
    let (mut batch, mut alive) = (Vec::new(), true);
    // A first step, so that the decisions ask for the list without waiting for a client.
    batch.push(Input::PeerMessage {
        from: PeerId(u32::MAX),
        waited: Duration::ZERO,
        bytes: Vec::new(),
    });
    while alive {
        let wait = router.wake_at().saturating_sub(clock::now());
        if batch.is_empty() && !wait.is_zero() {
            match inputs.recv_timeout(wait) {
                Ok(input) => batch.push(input),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => break,
            }
        }
        if router.detect_pause(clock::now()) {
            warn!("this host stood still; its own lateness is not laid on the nodes");
            std::thread::sleep(CATCH_UP);
        }
        while batch.len() < ONE_STEP {
            match inputs.try_recv() {
                Ok(input) => batch.push(input),
                Err(_) => break,
            }
        }
        for output in router.step(clock::now(), batch.drain(..)) {
            alive &= !carry_out(shared, output);
        }
    }
    router.counters()
}

/// Answers whether the host has ended.
fn carry_out(shared: &Shared, output: Output) -> bool {
    match output {
        Output::Dial { conn, address, .. } => {
            let up = move |outbox| Input::NodeUp { conn, outbox };
            let frames = move |at, frames| Input::NodeFrames { conn, at, frames };
            dial(
                shared,
                conn,
                address,
                pb::Role::Node,
                up,
                frames,
                Input::NodeGone { conn },
            );
        }
        Output::DialDiscovery { conn } => {
            let up = move |outbox| Input::DiscoveryUp { conn, outbox };
            let frames = move |_, frames| Input::DiscoveryFrames { conn, frames };
            dial(
                shared,
                conn,
                shared.options.list,
                pb::Role::List,
                up,
                frames,
                Input::DiscoveryGone { conn },
            );
        }
        Output::DialStateService { conn } => {
            let Some(link) = &shared.options.state else {
                return false;
            };
            let up = move |outbox| Input::StateServiceUp { conn, outbox };
            let frames = move |_, frames| Input::StateServiceFrames { conn, frames };
            dial(
                shared,
                conn,
                link.address,
                pb::Role::State,
                up,
                frames,
                Input::StateServiceGone { conn },
            );
        }
        Output::Persist { number, records } => {
            let Some(link) = &shared.options.state else {
                return false;
            };
            let to_owner = shared.to_owner.clone();
            link.keeper.commit(records, move |done| {
                let done = done.map_err(|why| why.to_string());
                let _ = to_owner.send(Input::Persisted { number, done });
            });
        }
        Output::SendToPeer { to, bytes } => {
            let peers = shared
                .options
                .peers
                .iter()
                .filter(|(p, _)| to.is_none_or(|to| to == *p));
            peers.for_each(|(peer, address)| say(shared, *peer, *address, &bytes));
        }
        Output::CacheEndpoints { bytes } => {
            if let Some(path) = shared.options.remember.clone() {
                // Files block; coroutines must not.
                std::thread::spawn(move || {
                    if let Err(e) = replace_file(&path, &bytes) {
                        warn!("the list cannot be kept in {}: {e}", path.display());
                    }
                });
            }
        }
        Output::Log { text } => {
            let word = text
                .strip_prefix("node ")
                .and_then(|rest| rest.split(' ').next());
            match word.and_then(|w| w.parse::<u32>().ok()) {
                Some(node) => info!(host = %shared.me.name, node, "{text}"),
                None => info!(host = %shared.me.name, "{text}"),
            }
        }
        Output::ShutdownComplete => return true,
    }
    false
}

/// Dials, and serves the connection until it ends; `gone` is told whatever came of it.
fn dial(
    shared: &Shared,
    conn: ConnId,
    address: SocketAddr,
    role: pb::Role,
    up: impl FnOnce(Arc<Outbox>) -> Input + Send + 'static,
    frames: impl Fn(Duration, Vec<pb::Frame>) -> Input + Send + 'static,
    gone: Input,
) {
    let (shared, timeout) = (shared.clone(), shared.bounds().dial_timeout);
    go!(move || {
        let stream = TcpStream::connect_timeout(&address, timeout);
        let served = stream.map_err(|e| e.to_string());
        let served =
            served.and_then(|stream| serve(&shared, conn, stream, role, timeout, up, frames));
        if let Err(why) = served {
            tracing::debug!(conn = conn.0, %address, "connection over: {why}");
        }
        let _ = shared.to_owner.send(gone);
    });
}

/// The old file stays whole until the new one is.
fn replace_file(path: &Path, bytes: &[u8]) -> io::Result<()> {
    let exclusion_reason = path.with_extension("new");
    let mut file = File::create(&exclusion_reason)?;
    file.write_all(bytes)?;
    file.sync_all()?;
    std::fs::rename(exclusion_reason, path)
}

fn accept(listener: &TcpListener, shared: &Shared) {
    // One descriptor is kept back: when all are used up, it lets a caller in to be turned away, where a
    // listener without one would spin on a caller that it can neither take nor refuse.
    let mut spare = File::open("/dev/null").ok();
    loop {
        match listener.accept() {
            Ok((stream, _)) if shared.closing.load(Ordering::Relaxed) => drop(stream),
            Ok((stream, from)) => {
                if shared.clients.fetch_add(1, Ordering::Relaxed) >= shared.bounds().max_clients {
                    shared.clients.fetch_sub(1, Ordering::Relaxed);
                    warn!(
                        "{from} turned away: {} connections",
                        shared.bounds().max_clients
                    );
                    continue;
                }
                let shared = shared.clone();
                go!(move || {
                    let conn = ConnId(shared.accepted.fetch_add(1, Ordering::Relaxed));
                    if let Err(why) = serve_caller(&shared, conn, stream) {
                        warn!(conn = conn.0, %from, "connection closed: {why}");
                    }
                    let _ = shared.to_owner.send(Input::ClientGone { conn });
                    shared.clients.fetch_sub(1, Ordering::Relaxed);
                });
            }
            Err(e) if matches!(e.raw_os_error(), Some(libc::EMFILE | libc::ENFILE)) => {
                error!("no file descriptors left; a caller is turned away");
                drop(spare.take());
                drop(listener.accept());
                spare = File::open("/dev/null").ok();
                coroutine::sleep(Duration::from_millis(10));
            }
            Err(e) => {
                warn!("cannot accept: {e}");
                coroutine::sleep(Duration::from_millis(10));
            }
        }
    }
}

fn serve_caller(shared: &Shared, conn: ConnId, stream: TcpStream) -> Result<(), String> {
    let (bounds, mut reader) = (
        shared.bounds(),
        frame::Reader::new(shared.bounds().max_frame),
    );
    let mut stream = stream;
    let them = greet(&mut stream, &mut reader, &shared.me, bounds.patience)?;
    match them.role() {
        pb::Role::Client => {
            let up = |outbox| Input::ClientUp { conn, outbox };
            let frames = |at, frames| Input::ClientFrames { conn, at, frames };
            converse(shared, conn, stream, reader, &them, up, frames)
        }
        pb::Role::Host => {
            let from = shared
                .options
                .settings
                .hosts
                .iter()
                .position(|h| h.name == them.name);
            let from = PeerId(from.ok_or(format!("unknown host {}", them.name))? as u32);
            let tracer = shared.options.tracer.clone();
            let mut delay = Delay::default();
            read_on(&mut stream, &mut reader, bounds.patience, |at, frames| {
                tracer.read(conn.0, at, &frames);
                for f in frames {
                    // What lay in a socket while either side stood still is that much older.
                    let waited = delay.waited(f.sent_us, at);
                    let Some(Body::GossipMessage(w)) = f.body else {
                        return Err("a host sent no word".into());
                    };
                    let _ = shared.to_owner.send(Input::PeerMessage {
                        from,
                        waited,
                        bytes: w.text.to_vec(),
                    });
                }
                Ok(())
            })
        }
        pb::Role::Operator => {
            let up = |outbox| Input::SubscriberUp { conn, outbox };
            let frames = |at, frames| Input::ClientFrames { conn, at, frames };
            converse(shared, conn, stream, reader, &them, up, frames)
        }
        role => Err(format!("{} is no client", role.as_str_name())),
    }
}

/// Puts a word to a peer on its way. Words may be lost: one that cannot be written soon is of no use.
fn say(shared: &Shared, peer: PeerId, address: SocketAddr, word: &[u8]) {
    let mut talks = shared.talks.lock().unwrap_or_else(|e| e.into_inner());
    if let Some((waiting, to)) = talks.get(&peer) {
        if waiting.load(Ordering::Acquire) >= MAX_WORDS {
            return;
        }
        waiting.fetch_add(1, Ordering::AcqRel);
        if to.send(word.to_vec()).is_ok() {
            return;
        }
    }
    let (to, words) = may::sync::mpsc::channel();
    let waiting = Arc::new(AtomicUsize::new(1));
    let _ = to.send(word.to_vec());
    talks.insert(peer, (waiting.clone(), to));
    let shared = shared.clone();
    go!(move || {
        if let Err(why) = talk(&shared, address, &waiting, &words) {
            tracing::debug!(%address, "no more words to this host: {why}");
        }
    });
}

/// One connection for all words to a peer, until there is none for a while, or it cannot be written to.
fn talk(
    shared: &Shared,
    address: SocketAddr,
    waiting: &AtomicUsize,
    words: &may::sync::mpsc::Receiver<Vec<u8>>,
) -> Result<(), String> {
    let timeout = shared.bounds().dial_timeout;
    let mut stream = TcpStream::connect_timeout(&address, timeout).map_err(|e| e.to_string())?;
    let mut reader = frame::Reader::new(shared.bounds().max_frame);
    greet(&mut stream, &mut reader, &shared.me, timeout)?;
    stream
        .set_write_timeout(Some(shared.bounds().patience))
        .map_err(|e| e.to_string())?;
    while let Ok(text) = words.recv_timeout(shared.bounds().idle) {
        waiting.fetch_sub(1, Ordering::AcqRel);
        let sent_us = clock::micros(clock::now());
        let body = Some(Body::GossipMessage(pb::GossipMessage { text: text.into() }));
        let mut bytes = Vec::new();
        frame::write(&pb::Frame { sent_us, body }, &mut bytes);
        stream.write_all(&bytes).map_err(|e| e.to_string())?;
    }
    Ok(())
}

/// Both sides say who they are. A peer of another version is told ours before we hang up.
fn greet(
    stream: &mut TcpStream,
    reader: &mut frame::Reader,
    me: &pb::Hello,
    patience: Duration,
) -> Result<pb::Hello, String> {
    let _ = stream.set_nodelay(true);
    let sent_us = clock::micros(clock::now());
    let mut bytes = Vec::new();
    frame::write(
        &pb::Frame {
            sent_us,
            body: Some(Body::Hello(me.clone())),
        },
        &mut bytes,
    );
    stream.write_all(&bytes).map_err(|e| e.to_string())?;
    stream
        .set_read_timeout(Some(patience))
        .map_err(|e| e.to_string())?;
    loop {
        match reader
            .next::<pb::Frame>()
            .map_err(|e| e.to_string())?
            .map(|f| f.body)
        {
            Some(Some(Body::Hello(them))) if them.version == VERSION => return Ok(them),
            Some(Some(Body::Hello(them))) => {
                return Err(format!(
                    "speaks version {}, expected {VERSION}",
                    them.version
                ));
            }
            Some(_) => return Err("no greeting".into()),
            None => match reader.fill(stream) {
                Ok(0) => return Err("hung up before a greeting".into()),
                Ok(_) => {}
                Err(e) => return Err(format!("no greeting: {e}")),
            },
        }
    }
}

/// A connection that we dialled: greeting, then reading and writing until it ends.
fn serve(
    shared: &Shared,
    conn: ConnId,
    mut stream: TcpStream,
    role: pb::Role,
    timeout: Duration,
    up: impl FnOnce(Arc<Outbox>) -> Input,
    frames: impl Fn(Duration, Vec<pb::Frame>) -> Input,
) -> Result<(), String> {
    let mut reader = frame::Reader::new(shared.bounds().max_frame);
    let them = greet(&mut stream, &mut reader, &shared.me, timeout)?;
    if them.role() != role {
        return Err(format!(
            "{} where {} was expected",
            them.role().as_str_name(),
            role.as_str_name()
        ));
    }
    converse(shared, conn, stream, reader, &them, up, frames)
}

fn converse(
    shared: &Shared,
    conn: ConnId,
    mut stream: TcpStream,
    mut reader: frame::Reader,
    them: &pb::Hello,
    up: impl FnOnce(Arc<Outbox>) -> Input,
    frames: impl Fn(Duration, Vec<pb::Frame>) -> Input,
) -> Result<(), String> {
    let writer = stream.try_clone().map_err(|e| e.to_string())?;
    let tracer = &shared.options.tracer;
    tracer.opened(conn.0, &them.name);
    let outbox = start_writer(writer, conn, tracer.clone());
    let _ = shared.to_owner.send(up(outbox.clone()));
    let ended = read_on(
        &mut stream,
        &mut reader,
        shared.bounds().patience,
        |at, read| {
            tracer.read(conn.0, at, &read);
            outbox.note_cancels(&read);
            shared
                .to_owner
                .send(frames(at, read))
                .map_err(|_| "the host has ended".to_string())
        },
    );
    outbox.close();
    tracer.closed(conn.0, &them.name);
    ended
}

/// Reads frames until the peer ends; a frame that has begun must go on within the patience.
fn read_on(
    stream: &mut TcpStream,
    reader: &mut frame::Reader,
    patience: Duration,
    mut give: impl FnMut(Duration, Vec<pb::Frame>) -> Result<(), String>,
) -> Result<(), String> {
    loop {
        let mut frames = Vec::new();
        while let Some(f) = reader.next::<pb::Frame>().map_err(|e| e.to_string())? {
            frames.push(f);
        }
        if !frames.is_empty() {
            give(clock::now(), frames)?;
        }
        let begun = reader.partial() > 0;
        stream
            .set_read_timeout(begun.then_some(patience))
            .map_err(|e| e.to_string())?;
        match reader.fill(stream) {
            Ok(0) if begun => return Err("hung up inside a frame".into()),
            Ok(0) => return Ok(()),
            Ok(_) => {}
            Err(e)
                if matches!(
                    e.kind(),
                    io::ErrorKind::TimedOut | io::ErrorKind::WouldBlock
                ) =>
            {
                return Err("half a frame, then silence".into());
            }
            Err(e) => return Err(e.to_string()),
        }
    }
}

/// Starts the coroutine that writes a connection's outbox.
fn start_writer(mut stream: TcpStream, conn: ConnId, tracer: Tracer) -> Arc<Outbox> {
    let bell = Arc::new((AtomicBool::new(false), Semphore::new(0)));
    let ring = bell.clone();
    // Hanging up must also free a writer that sits in a full socket; the number is void once it has ended.
    let socket = Arc::new(Mutex::new(Some(stream.as_raw_fd())));
    let hang_up = socket.clone();
    let outbox = Arc::new(Outbox::new(
        move || {
            if !ring.0.swap(true, Ordering::AcqRel) {
                ring.1.post();
            }
        },
        move || {
            if let Some(fd) = *hang_up.lock().unwrap_or_else(|e| e.into_inner()) {
                // SAFETY: the writer takes the number away, under this lock, before its socket closes.
                unsafe { libc::shutdown(fd, libc::SHUT_RDWR) };
            }
        },
    ));
    let out = outbox.clone();
    go!(move || {
        let mut bytes = Vec::new();
        loop {
            bell.0.store(false, Ordering::Release);
            let pulled = out.take_batch(clock::now, ONE_WRITE);
            if pulled.frames.is_empty() {
                if pulled.closed {
                    break;
                }
                bell.1.wait();
                continue;
            }
            tracer.written(conn.0, pulled.at, &pulled.frames);
            bytes.clear();
            for f in &pulled.frames {
                frame::write(f, &mut bytes);
            }
            if stream.write_all(&bytes).is_err() {
                break;
            }
            out.batch_written();
            if bytes.capacity() > 4 * ONE_WRITE {
                bytes = Vec::new(); // one large frame must not be paid for by every idle connection
            }
        }
        *socket.lock().unwrap_or_else(|e| e.into_inner()) = None;
        let _ = stream.shutdown(Shutdown::Both);
    });
    outbox
}
