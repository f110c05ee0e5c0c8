//! The event loop, which processes all events on one thread, in order.
//!
//! [`Owner::run`] takes the events of the readers, the listener and the signal handler, handles the
//! input of the connections, steps the router, and performs the router's outputs, until a shutdown is
//! complete. A step of the router that is due goes ahead of input. Separate types hold the
//! parts of the state: the connections ([`ConnectionTable`]), the dials ([`Dialer`]), the clients'
//! requests ([`RequestIntake`]), discovery ([`DiscoveryPort`]), the listener ([`ListenerHandle`]), the
//! shutdown ([`Shutdown`]), the connections that wait for their turn ([`InputSchedule`]) and the log
//! ([`LogLimiter`], [`StatisticsLog`]). The module `turns` bounds the input of one step, `receive`
//! processes received messages, `send` writes the contents of the outboxes, `memory` enforces the memory
//! budget, and `client_slots` the limits on clients.

mod client_slots;
mod memory;
mod receive;
mod send;
mod turns;

use super::client_conn;
use super::connection::{CloseReason, DialTarget, NodeExchange, Role};
use super::connection_table::{ConnectionTable, RETRY_INTERVAL};
use super::dials::{DialOutcome, Dialer};
use super::discovery_port::DiscoveryPort;
use super::input_schedule::{Eligible, InputSchedule};
use super::listener::{ListenerHandle, LAST_DIALED_CONN};
use super::log_limiter::LogLimiter;
use super::memory_monitor::MemoryMonitor;
use super::owner_time::{Activity, OwnerTime};
use super::reader::{OwnerEvent, ReadGate, Reader};
use super::request_intake::RequestIntake;
use super::shared_budget::SharedBudget;
use super::shutdown::{ListenerClosing, Shutdown};
use super::statistics_log::StatisticsLog;
use super::sweep::{Expired, ShutdownPhase, REQUEST_TIMEOUT, SWEEP_INTERVAL};
use crate::config::{Config, MAX_LIST_STALENESS};
use grebecleat_discovery::calls::CALL_TIMEOUT;
use grebecleat_discovery::long_polling::{Event as PollingEvent, PollConn};
use grebecleat_host::memory_budget::ReadGrant;
use grebecleat_host::router::{ConnId, Counters, Input, Output, RequestRouter};
use grebecleat_scheduler::api::PeerId;
use grebecleat_wire::clock;
use grebecleat_wire::pb::{self, frame::Body};
use may::net::TcpStream;
use std::net::SocketAddr;
use std::os::fd::{AsRawFd, FromRawFd, IntoRawFd};
use std::path::PathBuf;
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender};
use std::time::Duration;
use tracing::{info, warn};
use turns::EndedReader;

/// Maximum number of events that are taken from the queue in one step. A connection's reader has one or two
/// in the queue at most. A larger value lets many new connections delay timers; a smaller one costs more
/// steps.
const MAX_EVENTS_PER_STEP: usize = 512;
/// Time that the readers get after a pause of this process to report what is in the sockets. With a
/// smaller value, the pause counts as slowness of nodes; a larger one prolongs the pause.
const CATCH_UP_TIME: Duration = Duration::from_millis(3);

/// The owner of the router and of all state that serves it.
pub(super) struct Owner {
    config: Config,
    /// The file to read again on SIGHUP.
    config_file: Option<PathBuf>,
    router: RequestRouter,
    /// Inputs for the router's next step.
    inputs: Vec<Input>,
    connections: ConnectionTable,
    /// The connections that have input.
    schedule: InputSchedule,
    /// The connections whose readers have ended, until their input is handled.
    ended: Vec<EndedReader>,
    dialer: Dialer,
    intake: RequestIntake,
    discovery: DiscoveryPort,
    listener: ListenerHandle,
    budget: SharedBudget,
    memory_monitor: MemoryMonitor,
    /// The client that was accepted last; the listener numbers them in order.
    last_accepted: ConnId,
    /// Memory granted to readers of clients that were accepted after `last_accepted`.
    early_grants: Vec<ReadGrant>,
    event_sender: Sender<OwnerEvent>,
    shutdown: Shutdown,
    sweep_at: Duration,
    log_limiter: LogLimiter,
    statistics: StatisticsLog,
    time: OwnerTime,
}

impl Owner {
    pub(super) fn new(
        config: Config,
        config_file: Option<PathBuf>,
        listener: ListenerHandle,
        budget: SharedBudget,
        event_sender: Sender<OwnerEvent>,
    ) -> Self {
        let router = RequestRouter::new(config.settings.clone(), config.seed)
            .with_exclusive_connections()
            .with_poll_deadline(MAX_LIST_STALENESS, CALL_TIMEOUT);
        let now = clock::now();
        let settings = &config.settings;
        let poll_interval = settings.list.rule.poll_interval;
        let mut owner = Owner {
            router,
            inputs: Vec::new(),
            connections: ConnectionTable::default(),
            schedule: InputSchedule::default(),
            ended: Vec::new(),
            dialer: Dialer::new(settings.bounds.dial_timeout, config.descriptors.nodes),
            intake: RequestIntake::new(&config),
            discovery: DiscoveryPort::new(config.discovery, poll_interval),
            listener,
            budget,
            memory_monitor: MemoryMonitor::default(),
            last_accepted: ConnId(LAST_DIALED_CONN),
            early_grants: Vec::new(),
            event_sender,
            shutdown: Shutdown::new(settings.longest_deadline()),
            sweep_at: now,
            log_limiter: LogLimiter::new(now),
            statistics: StatisticsLog::new(&config, now),
            time: OwnerTime::default(),
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
            memory_budget = self.config.memory.budget,
            cached_endpoints = self.discovery.has_cached_list(),
            "settings in force"
        );
        if !self.config.memory.is_sufficient {
            warn!("memory limit too small for the connections of this host, it may be exceeded");
        }
    }

    pub(super) fn counters(&self) -> Counters {
        self.router.counters()
    }

    /// Runs until a shutdown is complete or every sender of events is dropped.
    pub(super) fn run(&mut self, events: &Receiver<OwnerEvent>) {
        // An empty message triggers a first step, so that the scheduler requests the endpoint list
        // without waiting for a client.
        self.inputs.push(Input::PeerMessage {
            from: PeerId(u32::MAX),
            waited: Duration::ZERO,
            bytes: Vec::new(),
        });
        self.step();
        loop {
            if !self.await_event(events) {
                return;
            }
            self.catch_up_after_pause(events);
            self.take_events(events);
            self.step_if_due();
            let deadline = self.router.wake_at().min(self.sweep_at);
            self.take_turns(Eligible::All, deadline);
            self.finish_ended();
            self.check_dials();
            self.step();
            self.grant_reads();
            let now = clock::now();
            if now >= self.sweep_at {
                self.sweep();
                self.spent_since(Activity::Sweeping, now);
            }
            if self.shutdown_is_complete() {
                self.statistics.write(
                    &mut self.router,
                    &self.connections,
                    &self.budget,
                    &mut self.time,
                );
                return;
            }
        }
    }

    /// Waits for an event if there is nothing to do, and handles it. Returns `false` if every sender of
    /// events is dropped.
    fn await_event(&mut self, events: &Receiver<OwnerEvent>) -> bool {
        let wait = self.time_to_wake();
        let has_work =
            !self.inputs.is_empty() || !self.schedule.is_empty() || !self.ended.is_empty();
        if has_work || wait.is_zero() {
            return true;
        }
        let began_at = clock::now();
        let received = events.recv_timeout(wait);
        self.spent_since(Activity::Idle, began_at);
        match received {
            Ok(event) => self.handle_event(event),
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => return false,
        }
        true
    }

    /// Steps the router if one of its deadlines is due: it goes ahead of the input of clients. The responses
    /// that have arrived are handled first, within the bound of a step, since a request whose response is
    /// here has not timed out.
    fn step_if_due(&mut self) {
        if clock::now() >= self.router.wake_at() {
            self.take_turns(Eligible::Dialed, Duration::MAX);
            self.step();
        }
    }

    /// Handles the events that are in the queue.
    fn take_events(&mut self, events: &Receiver<OwnerEvent>) {
        for event in events.try_iter().take(MAX_EVENTS_PER_STEP) {
            self.handle_event(event);
        }
    }

    fn time_to_wake(&mut self) -> Duration {
        let now = clock::now();
        let mut wake = self.router.wake_at().min(self.sweep_at);
        if let Some(retry_at) = self.connections.retry_at() {
            wake = wake.min(retry_at);
        }
        if !self.dialer.is_idle() || self.budget.lock().has_waiting() {
            wake = wake.min(now + RETRY_INTERVAL);
        }
        wake.saturating_sub(now)
    }

    /// Gives the readers time to report what was received during a pause of this process, before the
    /// router evaluates which nodes are silent.
    fn catch_up_after_pause(&mut self, events: &Receiver<OwnerEvent>) {
        if !self.router.detect_pause(clock::now()) {
            return;
        }
        if self.may_log() {
            info!("process pause detected, delay not charged to nodes");
        }
        std::thread::sleep(CATCH_UP_TIME);
        self.catch_up(events);
    }

    fn step(&mut self) {
        self.time.step();
        let inputs = std::mem::take(&mut self.inputs);
        let began_at = clock::now();
        for output in self.router.step(began_at, inputs) {
            self.perform(output);
        }
        let decided_at = self.spent_since(Activity::Deciding, began_at);
        self.flush_all();
        self.spent_since(Activity::Writing, decided_at);
    }

    /// Accounts for an activity that began at `began_at` and ends now. Returns the time.
    fn spent_since(&mut self, activity: Activity, began_at: Duration) -> Duration {
        let now = clock::now();
        self.time.spent(activity, now.saturating_sub(began_at));
        now
    }

    fn perform(&mut self, output: Output) {
        match output {
            Output::Dial { conn, address, .. } => self.dial(conn, address, DialTarget::Node),
            Output::DialDiscovery { conn } => {
                self.dial(conn, self.discovery.address(), DialTarget::Discovery)
            }
            Output::Log(event) => {
                if self.may_log() {
                    event.write(None);
                }
            }
            // On the platform, a host has no disk, no state service and no peers.
            Output::CacheEndpoints { .. }
            | Output::DialStateService { .. }
            | Output::Persist { .. }
            | Output::SendToPeer { .. }
            | Output::ShutdownComplete => {}
        }
    }

    fn handle_event(&mut self, event: OwnerEvent) {
        self.time.event();
        match event {
            OwnerEvent::Accepted { conn, fd, gate } => self.client_accepted(conn, fd, gate),
            OwnerEvent::Readable { conn } => self.schedule.add(conn),
            // The owner grants reads after each step.
            OwnerEvent::ReadWaits => {}
            OwnerEvent::Ended { conn, stream } => {
                self.end_after_input(EndedReader { conn, stream })
            }
            OwnerEvent::SlotsExhausted => {
                self.listener.slots_exhausted();
                self.free_client_slots();
            }
            OwnerEvent::Signal(signal_hook::consts::SIGHUP) => self.reload(),
            OwnerEvent::Signal(_) if !self.shutdown.is_requested() => {
                self.shutdown.request(clock::now());
                if self.may_log() {
                    info!("shutdown requested, serving until shortly before the kill");
                }
            }
            OwnerEvent::Signal(_) => {}
        }
    }

    /// Records that the socket of a connection is closed, so that its descriptor is free.
    fn descriptor_freed(&mut self, conn: ConnId) {
        self.dialer.descriptor_freed(conn);
        if conn.0 > LAST_DIALED_CONN {
            self.listener.slot_freed();
        }
    }

    fn dial(&mut self, conn: ConnId, address: SocketAddr, target: DialTarget) {
        let outcome = self.dialer.dial(clock::now(), conn, address, target);
        if let Some(outcome) = outcome {
            self.dial_ended(outcome, clock::now());
        }
    }

    fn check_dials(&mut self) {
        let now = clock::now();
        for outcome in self.dialer.check(now) {
            self.dial_ended(outcome, now);
        }
    }

    fn dial_ended(&mut self, outcome: DialOutcome, now: Duration) {
        let DialOutcome { conn, target, .. } = outcome;
        let Some(socket) = outcome.socket else {
            return self.inputs.push(target.failure_input(conn));
        };
        // SAFETY: `into_raw_fd` has just transferred the ownership of the descriptor.
        let stream = unsafe { TcpStream::from_raw_fd(socket.into_raw_fd()) };
        let gate = ReadGate::new();
        let role = match target {
            DialTarget::Node => Role::Node(NodeExchange::Idle),
            DialTarget::Discovery => {
                let conn = PollConn(conn.0);
                self.step_discovery(PollingEvent::Connected { conn });
                Role::Discovery
            }
        };
        let fd = stream.as_raw_fd();
        let outbox = self.connections.add(conn, role, fd, gate.clone(), now);
        let reader = Reader {
            conn,
            peer: target.peer_kind(),
            gate,
            budget: self.budget.clone(),
            event_sender: self.event_sender.clone(),
        };
        reader.start(stream);
        self.inputs.push(target.success_input(conn, outbox));
    }

    /// Closes a connection without reporting it to the router.
    fn close(&mut self, conn: ConnId, reason: CloseReason) {
        let Some(connection) = self.connections.close(conn, reason, clock::now()) else {
            return;
        };
        let charged = connection.gate.close();
        let mut budget = self.budget.lock();
        budget.remove(conn);
        budget.processed(charged);
        drop(budget);
        match connection.role {
            Role::Client(client) => {
                if let Some(exchange) = client.exchange {
                    let is_open = self.router.is_open(&exchange.request_id);
                    self.intake.release(exchange, is_open);
                }
            }
            Role::Node(_) => {}
            Role::Discovery => {
                let conn = PollConn(conn.0);
                self.step_discovery(PollingEvent::Closed { conn });
            }
        }
    }

    /// Closes a connection that has ended or cannot be used again, and reports the loss to the router.
    fn connection_lost(&mut self, conn: ConnId, reason: CloseReason) {
        let Some(connection) = self.connections.get(conn) else {
            return;
        };
        self.inputs.push(match connection.role {
            Role::Client(_) => Input::ClientGone { conn },
            Role::Node(_) => Input::NodeGone { conn },
            Role::Discovery => Input::DiscoveryGone { conn },
        });
        self.close(conn, reason);
    }

    fn sweep(&mut self) {
        let now = clock::now();
        self.sweep_at = now + SWEEP_INTERVAL;
        let phase = ShutdownPhase {
            is_requested: self.shutdown.is_requested(),
            closes_after_response: self.shutdown.closes_after_response(now),
        };
        let expired = Expired::find(&self.connections, &self.discovery, now, phase);
        self.step_discovery(PollingEvent::CheckTimeouts);
        for conn in expired.close {
            self.connection_lost(conn, CloseReason::TimedOut);
        }
        for conn in expired.idle {
            self.close_if_quiet(conn);
        }
        self.limit_idle_clients();
        for conn in expired.malformed {
            self.finish_malformed_exchange(conn);
        }
        for conn in expired.incomplete {
            self.reject(conn, &REQUEST_TIMEOUT);
        }
        if self.listener.is_waiting() {
            self.free_client_slots();
            self.listener.wake();
        }
        if phase.closes_after_response {
            self.close_listener_when_due(now);
        }
        let router = &self.router;
        self.intake.sweep(|request| router.is_open(request));
        self.check_memory(now);
        self.statistics.write_if_due(
            now,
            &mut self.router,
            &self.connections,
            &self.budget,
            &mut self.time,
        );
    }

    /// Reads the configuration file again. Only a change of discovery's address has an effect; an
    /// invalid file is ignored.
    fn reload(&mut self) {
        let Some(file) = &self.config_file else {
            return;
        };
        match Config::load(file) {
            Ok(new) if new.name != self.config.name => {
                if self.may_log() {
                    let name = new.name;
                    info!(name, "configuration rejected: it names another host");
                }
            }
            Ok(new) => {
                if new.discovery != self.discovery.address() {
                    let address = new.discovery;
                    self.step_discovery(PollingEvent::Moved { address });
                    self.inputs.push(Input::DiscoveryMoved);
                }
                if self.may_log() {
                    info!("configuration reloaded");
                }
            }
            Err(error) => {
                if self.may_log() {
                    info!(%error, "configuration rejected, current one stays");
                }
            }
        }
    }

    fn close_listener_when_due(&mut self, now: Duration) {
        let is_due = match self.shutdown.listener_closing(now) {
            ListenerClosing::NotDue => false,
            ListenerClosing::IfQueueEmpty => !self.listener.has_connection_queued(),
            ListenerClosing::Due => true,
        };
        if is_due {
            self.shutdown.listener_closed(now);
            self.listener.close();
        }
    }

    fn shutdown_is_complete(&self) -> bool {
        let now = clock::now();
        self.shutdown.is_settled(now)
            && self.inputs.is_empty()
            && !self
                .connections
                .iter()
                .any(|(_, connection)| client_conn::is_awaiting(connection, now))
    }

    /// Returns whether the rate limit allows one more log line now.
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

#[cfg(test)]
mod tests;
