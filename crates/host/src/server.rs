//! The sockets of the running host, on `may` coroutines.
//!
//! One thread (`owner`) owns the [`RequestRouter`], and with it the scheduler. The owner is a thread and
//! not a coroutine because it depends on its timers: `may` orders its timers by length and can lose one
//! (docs/design/host.md). Each connection has one coroutine that reads and one that writes
//! (`connection`); the `listener` and the dials (`dial`) have their own. Readers hand complete
//! frames to the owner; the owner puts frames into outboxes, from which the writers take them. A
//! peer that sends malformed data, does not read or pauses therefore blocks only its own two
//! coroutines. The only decision here is to disconnect a peer that violates the protocol.
//!
//! [`RequestRouter`]: crate::router::RequestRouter

mod connection;
mod dial;
mod listener;
mod owner;
mod peers;
mod signals;

pub use signals::{call_on_signals, shut_down_on_signals};

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

/// The number of the first connection that the listener accepts. Smaller numbers belong to the
/// connections that the router dials; with a smaller value, the two ranges could overlap.
const FIRST_ACCEPTED: u64 = 1 << 48;
/// How long a coroutine worker without events waits before it polls. See `configure_workers`.
const POLL_INTERVAL: Duration = Duration::from_millis(1);
/// The stack size of a coroutine, in units of eight bytes. `tracing` formats log lines on the stack: a
/// smaller one overflows, and a larger one costs memory for every connection.
const CONNECTION_STACK: usize = 8 << 10;

/// The options of a host, apart from its settings.
#[derive(Debug, Clone)]
pub struct Options {
    /// The settings of the deployment.
    pub settings: Arc<Settings>,
    /// This host's index among the settings' hosts.
    pub host: usize,
    /// The address on which the host listens.
    pub listen: SocketAddr,
    /// The address of the discovery service.
    pub list: SocketAddr,
    /// The state service, or `None` if only the settings apply.
    pub state: Option<StateLink>,
    /// The hosts that share quotas and findings of outlier detection with this one.
    pub peers: Vec<(PeerId, SocketAddr)>,
    /// A number that increases with each start of the host, as far as this machine can ensure.
    pub incarnation: u64,
    /// Records the frames of all connections.
    pub tracer: Tracer,
    /// The file that caches the last endpoint list for the next start, if any.
    pub remember: Option<PathBuf>,
    /// The seed of all random choices.
    pub seed: u64,
    /// The number of threads for coroutines, at least one.
    pub workers: usize,
}

/// The state service of a host, and the host's own store.
#[derive(Clone)]
pub struct StateLink {
    /// The address of the service.
    pub address: SocketAddr,
    /// The store of this host.
    pub store: GroupCommit,
    /// The state that was last persisted in the store.
    pub start: InitialState,
}

impl std::fmt::Debug for StateLink {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "state service at {}", self.address)
    }
}

/// The state that the host's threads and coroutines share.
#[derive(Clone)]
struct Shared {
    options: Arc<Options>,
    to_owner: Sender<Input>,
    /// The greeting that this host sends on each connection.
    hello: pb::Hello,
    /// The number of accepted connections that have not ended.
    accepted: Arc<AtomicUsize>,
    /// The number of the next connection that is accepted.
    next_accepted: Arc<AtomicU64>,
    /// Whether the listener closes new connections at once.
    closing: Arc<AtomicBool>,
    peers: PeerLinks,
}

impl Shared {
    fn bounds(&self) -> &Bounds {
        &self.options.settings.bounds
    }

    fn send(&self, input: Input) {
        // Sending fails only after the owner has ended. The process is then about to end.
        let _ = self.to_owner.send(input);
    }
}

/// A handle to a running host.
#[derive(Clone)]
pub struct Handle {
    to_owner: Sender<Input>,
    tracer: Tracer,
    next_accepted: Arc<AtomicU64>,
}

impl Handle {
    /// Returns the tracer that records the frames of all connections of this process.
    pub fn tracer(&self) -> &Tracer {
        &self.tracer
    }

    /// Connects a client within this process. `wake` is called when there are messages to read.
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

    /// Reports the number of extents in each shard, as the portal of this process knows them.
    pub fn extents_by_shard(&self, shards: BTreeMap<u32, u64>) {
        let _ = self.to_owner.send(Input::ExtentsByShard { shards });
    }
}

/// A client within this process. Its messages pass through no socket, but are recorded as if they did,
/// so that the trace checker can treat all hosts alike, whatever protocol their clients use.
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
        self.outbox.record_cancellations(&frames);
        let _ = self.to_owner.send(Input::ClientFrames {
            conn: self.conn,
            at,
            frames,
        });
    }

    /// Returns the messages that have arrived since the last call.
    pub fn read(&self) -> Vec<Body> {
        let batch = self.outbox.take_batch(clock::now, usize::MAX);
        self.tracer.written(self.conn.0, batch.at, &batch.frames);
        self.outbox.batch_written();
        let bodies = batch.frames.into_iter().filter_map(|frame| frame.body);
        bodies.collect()
    }
}

/// Runs a host until its shutdown is complete. `started` is called with the address on which the
/// host listens, and with a handle.
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
    let for_listener = shared.clone();
    go!(move || listener::accept(&listener, &for_listener));
    let for_owner = shared.clone();
    let owner = std::thread::Builder::new()
        .name("owner".into())
        .spawn(move || owner::run(&for_owner, &inputs))?;
    let handle = Handle {
        to_owner,
        tracer: shared.options.tracer.clone(),
        next_accepted: shared.next_accepted.clone(),
    };
    started(address, handle);
    owner
        .join()
        .map_err(|_| io::Error::other("the owner of the router panicked"))
}

fn configure_workers(workers: usize) {
    may::config()
        .set_workers(workers.max(1))
        .set_stack_size(CONNECTION_STACK);
    // By default, `may` pins the n-th worker to the n-th processor. The n-th workers of all hosts on a
    // machine would then share that processor, and other load on it would stop all of them from reading,
    // even while other processors are idle.
    may::config().set_worker_pin(false);
    // A worker sometimes notices a wake-up from the owner's thread only when it polls again. With the
    // default of `may`, 10 ms, this wait determined the 99th percentile of the latency. The drawback of
    // the shorter interval is that an idle worker wakes a thousand times a second.
    may::config().set_timeout_ns(POLL_INTERVAL.as_nanos() as u64);
}

/// Returns the id of a peer from its index among the settings' hosts.
pub fn peer(index: usize) -> PeerId {
    PeerId(index as u32)
}

fn hello(options: &Options) -> pb::Hello {
    pb::Hello {
        version: VERSION,
        role: pb::Role::Host.into(),
        name: options.settings.hosts[options.host].name.clone(),
        // The incarnation differs at each start, even if the seed is the same.
        incarnation: clock::now().as_nanos() as u64 ^ u64::from(std::process::id()) << 40,
        max_frame: options.settings.bounds.max_frame as u32,
    }
}

fn cached_endpoints(path: &Path) -> Option<pb::EndpointUpdate> {
    let bytes = std::fs::read(path).ok()?;
    match EndpointList::from_bytes(&bytes) {
        Ok(list) => Some(list),
        Err(error) => {
            warn!(path = %path.display(), %error, "cached endpoint list not used");
            None
        }
    }
}
