//! The running host: its sockets, on `may` coroutines.
//!
//! One thread (`owner`) owns the [`RequestRouter`] and with it the decisions; it is no coroutine,
//! since its clock must be right and `may`'s timers, kept by length, can lose one
//! (docs/design/host.md). Each connection has one coroutine that reads and one that writes
//! (`connection`); the `listener` and the dials (`dial`) have their own. Readers hand whole frames
//! to the owner; the owner puts frames into outboxes, from which writers take them. So a peer that
//! sends garbage, reads nothing or stands still blocks its own two coroutines and nobody else.
//! Nothing here decides more than when to disconnect a peer that breaks the wire.
//!
//! [`RequestRouter`]: crate::router::RequestRouter

mod connection;
mod dial;
mod listener;
mod owner;
mod peers;
mod signals;

pub use signals::{on_signals, on_signals_do};

use crate::outbox::Outbox;
use crate::router::{ConnId, Counters, Input};
use grebecleat_catalog::follower::InitialState;
use grebecleat_catalog_service::group_commit::GroupCommit;
use grebecleat_discovery::endpoint_list::EndpointList;
use grebecleat_scheduler::api::PeerId;
use grebecleat_settings::{Bounds, Settings};
use grebecleat_wire::pb::{self, frame::Body};
use grebecleat_wire::trace::Tracer;
use grebecleat_wire::{clock, VERSION};
use may::go;
use may::net::TcpListener;
use peers::PeerLinks;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::mpsc::{self, Sender};
use std::sync::Arc;
use std::time::Duration;
use tracing::warn;

/// Numbers below are of connections that the router dials, from here on of those that the listener
/// accepts.
const FIRST_ACCEPTED: u64 = 1 << 48;
/// How long a worker without events waits before it looks by itself.
const POLL_INTERVAL: Duration = Duration::from_millis(1);
/// Stack of a coroutine, in words of eight bytes; `tracing` formats on it.
const CONNECTION_STACK: usize = 8 << 10;

/// What a host needs beside its settings.
#[derive(Debug, Clone)]
pub struct Options {
    /// The deployment.
    pub settings: Arc<Settings>,
    /// This host's index among the settings' hosts.
    pub host: usize,
    /// Where it listens.
    pub listen: SocketAddr,
    /// Where discovery answers.
    pub list: SocketAddr,
    /// Where the state service answers; None: the settings alone count.
    pub state: Option<StateLink>,
    /// Hosts to share with.
    pub peers: Vec<(PeerId, SocketAddr)>,
    /// A number that grows from start to start, as far as this machine can know.
    pub incarnation: u64,
    /// Where frames are recorded.
    pub tracer: Tracer,
    /// Where the last endpoint list is stored for the next start.
    pub remember: Option<PathBuf>,
    /// Of all that is random.
    pub seed: u64,
    /// Threads for coroutines, at least one.
    pub workers: usize,
}

/// How a host follows a state service.
#[derive(Clone)]
pub struct StateLink {
    /// Where it answers.
    pub address: SocketAddr,
    /// This host's own store.
    pub store: GroupCommit,
    /// What was last persisted there.
    pub start: InitialState,
}

impl std::fmt::Debug for StateLink {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "state service at {}", self.address)
    }
}

/// What the host's threads and coroutines have in common.
#[derive(Clone)]
struct Shared {
    options: Arc<Options>,
    to_owner: Sender<Input>,
    /// What it says of itself on each connection.
    hello: pb::Hello,
    /// Connections accepted and not over.
    accepted: Arc<AtomicUsize>,
    next_accepted: Arc<AtomicU64>,
    closing: Arc<AtomicBool>,
    peers: PeerLinks,
}

impl Shared {
    fn bounds(&self) -> &Bounds {
        &self.options.settings.bounds
    }

    fn send(&self, input: Input) {
        // The owner has ended: so does the process, soon.
        let _ = self.to_owner.send(input);
    }
}

/// A handle by which a running host is told to shut down.
#[derive(Clone)]
pub struct Handle {
    to_owner: Sender<Input>,
    tracer: Tracer,
    next_accepted: Arc<AtomicU64>,
}

impl Handle {
    /// Where this process records what crosses its sockets.
    pub fn tracer(&self) -> &Tracer {
        &self.tracer
    }

    /// A client in this process; `wake` is called when there is something to read.
    pub fn local(&self, wake: impl Fn() + Send + Sync + 'static) -> LocalClient {
        let conn = ConnId(self.next_accepted.fetch_add(1, Ordering::Relaxed));
        let outbox = Arc::new(Outbox::new(wake, || ()));
        self.tracer.opened(conn.0, "inside");
        let _ = self.to_owner.send(Input::ClientUp {
            conn,
            outbox: outbox.clone(),
        });
        LocalClient {
            conn,
            outbox,
            to_owner: self.to_owner.clone(),
            tracer: self.tracer.clone(),
        }
    }

    /// Shuts the host down gracefully.
    pub fn drain(&self) {
        let _ = self.to_owner.send(Input::Shutdown);
    }

    /// Tells how many extents lie in each shard, as far as this process knows.
    pub fn extents_by_shard(&self, shards: BTreeMap<u32, u64>) {
        let _ = self.to_owner.send(Input::ExtentsByShard { shards });
    }
}

/// A client inside this process: what it sends and gets passes no socket, but is recorded as if it
/// did, so that the audit sees one host whatever its clients speak.
pub struct LocalClient {
    conn: ConnId,
    outbox: Arc<Outbox>,
    to_owner: Sender<Input>,
    tracer: Tracer,
}

impl LocalClient {
    /// Sends messages to the host.
    pub fn send(&self, bodies: impl IntoIterator<Item = Body>) {
        let at = clock::now();
        let sent_us = clock::micros(at);
        let frame = |body| pb::Frame {
            sent_us,
            body: Some(body),
        };
        let frames: Vec<pb::Frame> = bodies.into_iter().map(frame).collect();
        self.tracer.read(self.conn.0, at, &frames);
        self.outbox.note_cancels(&frames);
        let _ = self.to_owner.send(Input::ClientFrames {
            conn: self.conn,
            at,
            frames,
        });
    }

    /// What has come since the last call.
    pub fn read(&self) -> Vec<Body> {
        let batch = self.outbox.take_batch(clock::now, usize::MAX);
        self.tracer.written(self.conn.0, batch.at, &batch.frames);
        self.outbox.batch_written();
        let bodies = batch.frames.into_iter().filter_map(|frame| frame.body);
        bodies.collect()
    }
}

/// Runs a host until its shutdown is complete. `started` gets the address that it listens on and a
/// handle.
pub fn run(options: Options, started: impl FnOnce(SocketAddr, Handle)) -> io::Result<Counters> {
    configure_workers(options.workers);
    let listener = TcpListener::bind(options.listen)?;
    let address = listener.local_addr()?;
    let (to_owner, inputs) = mpsc::channel();
    let shared = Shared {
        hello: hello(&options),
        options: Arc::new(options),
        to_owner: to_owner.clone(),
        accepted: Arc::default(),
        next_accepted: Arc::new(AtomicU64::new(FIRST_ACCEPTED)),
        closing: Arc::default(),
        peers: PeerLinks::default(),
    };
    let cached = shared.options.remember.as_deref();
    if let Some(list) = cached.and_then(cached_endpoints) {
        shared.send(Input::CachedEndpoints { list });
    }
    let accepting = shared.clone();
    go!(move || listener::accept(&listener, &accepting));
    let owning = shared.clone();
    let owner = std::thread::Builder::new()
        .name("owner".into())
        .spawn(move || owner::run(&owning, &inputs))?;
    let handle = Handle {
        to_owner,
        tracer: shared.options.tracer.clone(),
        next_accepted: shared.next_accepted.clone(),
    };
    started(address, handle);
    owner
        .join()
        .map_err(|_| io::Error::other("the owner of the decisions panicked"))
}

fn configure_workers(workers: usize) {
    may::config()
        .set_workers(workers.max(1))
        .set_stack_size(CONNECTION_STACK);
    // Bound, as the runtime has it, the n-th worker of every host on a machine shares the n-th
    // processor, and what keeps that one busy keeps all of them from hearing any peer, whatever the
    // others do.
    may::config().set_worker_pin(false);
    // A wake-up from the owner's thread is at times only seen when the worker polls again: with
    // `may`'s own 10 ms that was the 99th percentile. Harm: an idle worker wakes a thousand times a
    // second.
    may::config().set_timeout_ns(POLL_INTERVAL.as_nanos() as u64);
}

/// A peer's number, from its index among the settings' hosts.
pub fn peer(index: usize) -> PeerId {
    PeerId(index as u32)
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

fn cached_endpoints(path: &Path) -> Option<pb::EndpointUpdate> {
    let bytes = std::fs::read(path).ok()?;
    match EndpointList::from_bytes(&bytes) {
        Ok(list) => Some(list),
        Err(fault) => {
            warn!("remembered list {} not taken: {fault}", path.display());
            None
        }
    }
}
