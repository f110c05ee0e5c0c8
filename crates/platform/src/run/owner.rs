//! The loop of the one owner: the router, and the state of every connection.
//!
//! [`Owner::run`] takes what the readers, the listener and signals report, steps the router and
//! carries out what it returns, until a shutdown is complete. Files: `client_conn`, `eviction`
//! (which clients' connections are closed for others), `node_conn`, `discovery_conn`, `dials`,
//! `writer`, `sweep`, `shutdown`, `reload`.
//!
//! Bounds: [`MAX_EVENTS_PER_STEP`] events go into one step, so that a flood cannot delay timers.

mod client_conn;
mod dials;
mod discovery_conn;
mod eviction;
mod node_conn;
mod reload;
mod shutdown;
mod sweep;
mod writer;

use super::client_ids::ClientIds;
use super::connection::{
    ClientState, CloseReason, Connection, DialTarget, KnownRevision, PendingDial, QueuedDial, Role,
};
use super::listener::{ClientSlots, LAST_DIALED_CONN};
use super::log_limiter::LogLimiter;
use super::reader::{OwnerEvent, ReadGate};
use crate::clients::RequestParser;
use crate::config::{Config, DISCOVERY_TERM};
use crate::discovery::EndpointNames;
use crate::discovery_calls::CALL_TIMEOUT;
use crate::statistics::StatisticsReporter;
use grebecleat_host::outbox::Outbox;
use grebecleat_host::router::{ConnId, Counters, Input, Output, RequestRouter};
use grebecleat_scheduler::api::PeerId;
use grebecleat_wire::clock;
use grebecleat_wire::pb::{self, frame::Body};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::os::fd::RawFd;
use std::path::PathBuf;
use std::sync::atomic::Ordering;
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender};
use std::sync::{Arc, Mutex};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tracing::{debug, info};

/// Events that go into one step, so that a flood cannot delay timers.
const MAX_EVENTS_PER_STEP: usize = 512;
/// After a pause of this process: time for the readers to bring what waits in the sockets.
const CATCH_UP_TIME: Duration = Duration::from_millis(3);
/// Dials and sockets that did not take all are looked at again after this.
const RETRY_INTERVAL: Duration = Duration::from_millis(2);

/// The router, every connection, and what is to be done about them.
pub(super) struct Owner {
    config: Config,
    /// Read again on SIGHUP.
    config_file: Option<PathBuf>,
    request_parser: RequestParser,
    endpoint_names: EndpointNames,
    router: RequestRouter,
    connections: BTreeMap<ConnId, Connection>,
    /// Closed by us; their readers have yet to end.
    closing: BTreeSet<ConnId>,
    pending_dials: Vec<PendingDial>,
    queued_dials: VecDeque<QueuedDial>,
    /// Connections to nodes that have a descriptor: dialled, up, or closed with a reader that has
    /// yet to end.
    node_descriptors: BTreeSet<ConnId>,
    /// What the router's next step takes in.
    inputs: Vec<Input>,
    /// Connections whose outboxes have something new.
    changed_outboxes: Arc<Mutex<Vec<ConnId>>>,
    /// Connections whose sockets did not take all.
    blocked: BTreeSet<ConnId>,
    client_ids: ClientIds,
    /// Requests taken since the start; numbers them.
    received: u64,
    /// Where discovery is.
    discovery: SocketAddr,
    slots: Arc<ClientSlots>,
    listener: RawFd,
    /// The listener waits for a slot.
    listener_waits: bool,
    to_owner: Sender<OwnerEvent>,
    /// None: there is no endpoint list, or part of it could not be read.
    known_revision: Option<KnownRevision>,
    /// Discovery has answered since the start.
    discovery_answered: bool,
    /// There was an endpoint list from before the start.
    has_cached_endpoints: bool,
    sweep_at: Duration,
    /// When the shutdown was asked for.
    draining_since: Option<Duration>,
    listener_closed_at: Option<Duration>,
    log_limiter: LogLimiter,
    statistics: StatisticsReporter,
    statistics_at: Duration,
}

impl Owner {
    pub(super) fn new(
        config: Config,
        config_file: Option<PathBuf>,
        slots: Arc<ClientSlots>,
        listener: RawFd,
        to_owner: Sender<OwnerEvent>,
    ) -> Self {
        let router = RequestRouter::new(config.settings.clone(), config.seed)
            .with_exclusive_connections()
            .with_poll_deadline(DISCOVERY_TERM, CALL_TIMEOUT);
        let now = clock::now();
        let mut owner = Owner {
            request_parser: RequestParser::new(&config),
            endpoint_names: EndpointNames::default(),
            router,
            connections: BTreeMap::new(),
            closing: BTreeSet::new(),
            pending_dials: Vec::new(),
            queued_dials: VecDeque::new(),
            node_descriptors: BTreeSet::new(),
            inputs: Vec::new(),
            changed_outboxes: Arc::default(),
            blocked: BTreeSet::new(),
            client_ids: ClientIds::default(),
            received: 0,
            discovery: config.discovery,
            slots,
            listener,
            listener_waits: false,
            to_owner,
            known_revision: None,
            discovery_answered: false,
            has_cached_endpoints: false,
            sweep_at: now,
            draining_since: None,
            listener_closed_at: None,
            log_limiter: LogLimiter::new(now),
            statistics: StatisticsReporter::default(),
            statistics_at: now,
            config_file,
            config,
        };
        owner.load_cached_endpoints();
        owner.log_settings();
        owner
    }

    fn log_settings(&self) {
        let settings = &self.config.settings;
        info!(
            polled = settings.list.rule.polled,
            poll_interval = ?settings.list.rule.poll_interval,
            drain_grace = ?settings.rules.drain_grace,
            hosts = settings.rules.cold.hosts,
            cached_endpoints = self.has_cached_endpoints,
            "settings in force"
        );
    }

    pub(super) fn counters(&self) -> Counters {
        self.router.counters()
    }

    /// Runs until a shutdown is complete, or every sender of events is gone.
    pub(super) fn run(&mut self, events: &Receiver<OwnerEvent>) {
        // A first step, so that the decisions ask for the endpoint list without waiting for a
        // client.
        self.inputs.push(Input::PeerMessage {
            from: PeerId(u32::MAX),
            waited: Duration::ZERO,
            bytes: Vec::new(),
        });
        self.step();
        loop {
            let wait = self.time_to_wake();
            let mut handled = 0;
            if self.inputs.is_empty() && !wait.is_zero() {
                match events.recv_timeout(wait) {
                    Ok(event) => {
                        self.handle_event(event);
                        handled += 1;
                    }
                    Err(RecvTimeoutError::Timeout) => {}
                    Err(RecvTimeoutError::Disconnected) => return,
                }
            }
            self.catch_up_after_pause();
            while handled < MAX_EVENTS_PER_STEP {
                let Ok(event) = events.try_recv() else { break };
                self.handle_event(event);
                handled += 1;
            }
            self.check_dials();
            self.step();
            if clock::now() >= self.sweep_at {
                self.sweep();
            }
            if self.shutdown_is_complete() {
                self.log_statistics();
                return;
            }
        }
    }

    fn time_to_wake(&mut self) -> Duration {
        let now = clock::now();
        let mut wake = self.router.wake_at().min(self.sweep_at);
        let nothing_to_retry = self.pending_dials.is_empty()
            && self.queued_dials.is_empty()
            && self.blocked.is_empty();
        if !nothing_to_retry {
            wake = wake.min(now + RETRY_INTERVAL);
        }
        wake.saturating_sub(now)
    }

    /// Answers that came during a pause of this process are read before a node's silence is
    /// evaluated.
    fn catch_up_after_pause(&mut self) {
        if !self.router.detect_pause(clock::now()) {
            return;
        }
        if self.may_log() {
            info!("this process was paused; its own delay is not charged to the nodes");
        }
        std::thread::sleep(CATCH_UP_TIME);
    }

    fn step(&mut self) {
        let inputs = std::mem::take(&mut self.inputs);
        for output in self.router.step(clock::now(), inputs) {
            self.perform(output);
        }
        self.flush_all();
    }

    fn perform(&mut self, output: Output) {
        match output {
            Output::Dial { conn, address, .. } => self.dial(conn, address, DialTarget::Node),
            Output::DialDiscovery { conn } => {
                self.dial(conn, self.discovery, DialTarget::Discovery)
            }
            Output::Log(event) => {
                if self.may_log() {
                    event.write(None);
                }
            }
            // No disk, no state service, no peers here.
            Output::CacheEndpoints { .. }
            | Output::DialStateService { .. }
            | Output::Persist { .. }
            | Output::SendToPeer { .. }
            | Output::ShutdownComplete => {}
        }
    }

    fn handle_event(&mut self, event: OwnerEvent) {
        match event {
            OwnerEvent::Accepted { conn, fd, gate } => self.client_accepted(conn, fd, gate),
            OwnerEvent::Read { conn, at, bytes } => self.handle_read(conn, at, &bytes),
            OwnerEvent::Ended { conn, stream } => {
                if !self.closing.remove(&conn) {
                    self.connection_lost(conn, CloseReason::PeerClosed);
                    self.closing.remove(&conn);
                }
                drop(stream);
                self.descriptor_freed(conn);
            }
            OwnerEvent::SlotsExhausted => {
                self.listener_waits = true;
                self.make_room();
            }
            OwnerEvent::Signal(signal_hook::consts::SIGHUP) => self.reload(),
            OwnerEvent::Signal(_) if self.draining_since.is_none() => {
                self.draining_since = Some(clock::now());
                if self.may_log() {
                    info!("shutdown requested: requests are served until shortly before the kill");
                }
            }
            OwnerEvent::Signal(_) => {}
        }
    }

    /// The socket of a connection is closed: its descriptor serves another.
    fn descriptor_freed(&mut self, conn: ConnId) {
        self.node_descriptors.remove(&conn);
        if conn.0 <= LAST_DIALED_CONN {
            return;
        }
        self.slots.used.fetch_sub(1, Ordering::AcqRel);
        if std::mem::take(&mut self.listener_waits) {
            self.slots.wake.post();
        }
    }

    fn add_connection(
        &mut self,
        conn: ConnId,
        role: Role,
        fd: RawFd,
        gate: Arc<ReadGate>,
        now: Duration,
    ) -> Arc<Outbox> {
        let changed = self.changed_outboxes.clone();
        let notify = move || changed.lock().unwrap_or_else(|e| e.into_inner()).push(conn);
        // Closing notifies as well, and no coroutine waits in the socket.
        let outbox = Arc::new(Outbox::new(notify, || ()));
        let connection = Connection {
            role,
            fd,
            gate,
            outbox: outbox.clone(),
            read_buffer: Vec::new(),
            write_buffer: Vec::new(),
            written: 0,
            opened_at: now,
            last_read_at: now,
        };
        self.connections.insert(conn, connection);
        outbox
    }

    /// Closes a connection without reporting it to the router; its reader ends, and with it the
    /// descriptor.
    fn close(&mut self, conn: ConnId, reason: CloseReason) {
        let Some(connection) = self.connections.remove(&conn) else {
            return;
        };
        let peer = connection.role.name();
        let open_ms = clock::now()
            .saturating_sub(connection.opened_at)
            .as_millis();
        debug!(conn = conn.0, peer, ?reason, open_ms, "connection closed");
        if let Role::Client(ClientState {
            exchange: Some(exchange),
            ..
        }) = connection.role
        {
            let is_open = self.router.is_open(&exchange.request_id);
            self.client_ids.release(exchange, is_open);
        }
        self.blocked.remove(&conn);
        // SAFETY: the number is its own until `OwnerEvent::Ended` has brought the stream.
        unsafe { libc::shutdown(connection.fd, libc::SHUT_RDWR) };
        connection.gate.close();
        self.closing.insert(conn);
    }

    /// A connection has ended, or is of no further use.
    fn connection_lost(&mut self, conn: ConnId, reason: CloseReason) {
        let Some(connection) = self.connections.get(&conn) else {
            return;
        };
        self.inputs.push(match connection.role {
            Role::Client(_) => Input::ClientGone { conn },
            Role::Node(_) => Input::NodeGone { conn },
            Role::Discovery(_) => Input::DiscoveryGone { conn },
        });
        self.close(conn, reason);
    }

    fn handle_read(&mut self, conn: ConnId, at: Duration, bytes: &[u8]) {
        let Some(connection) = self.connections.get_mut(&conn) else {
            return;
        };
        connection.gate.consumed(bytes.len());
        match connection.role {
            Role::Client(_) => self.handle_client_bytes(conn, at, bytes),
            Role::Node(_) => self.handle_node_bytes(conn, at, bytes),
            Role::Discovery(_) => {
                connection.read_buffer.extend_from_slice(bytes);
                self.handle_discovery_answer(conn);
            }
        }
    }

    /// Whether one more line of the log may be written now.
    fn may_log(&mut self) -> bool {
        self.log_limiter.allow(clock::now())
    }
}

fn frame(body: Body, at: Duration) -> pb::Frame {
    pb::Frame {
        sent_us: clock::micros(at),
        body: Some(body),
    }
}

/// The wall clock in milliseconds, by which discovery says when nodes started.
fn unix_ms() -> f64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0.0, |since| since.as_secs_f64() * 1000.0)
}

#[cfg(test)]
mod tests;
