//! Routes the requests, attempts and connections of one host between the sockets and the scheduler.
//!
//! The router is a state machine without I/O and without a clock of its own. `step(now, inputs)` puts
//! frames into outboxes and returns the other outputs for the caller to perform; `wake_at` returns
//! when `step` must be called again. The caller is the event loop that owns the sockets: that of
//! [`crate::server`], or that of the platform crate. The router defines the order in which a step
//! handles its inputs; each part of the state has one owner:
//!
//! | state | owner |
//! | --- | --- |
//! | clients, open requests and their bytes | `ClientSessions` |
//! | outstanding attempts, their deadlines | `AttemptTable` |
//! | connections to nodes, attempts that wait for a connection | `NodePools`, `NodeConnection` |
//! | outstanding health checks | `HealthChecks` |
//! | timers of the scheduler, time of the next periodic sweep | `Timers` |
//! | plans, volumes, drains | [`crate::config_follower`] |
//! | quotas of shared limits, nodes that all hosts avoid as outliers | [`crate::quota_sharing`] |
//! | node observations sent to the state service | [`crate::observations`] |
//! | metrics, subscribers to them | `MetricsPublisher` |
//! | graceful shutdown | `Shutdown` |
//!
//! Every event and action of [`grebecleat_scheduler::api`] passes through the router:
//!
//! - A request has one final response: that of its first attempt that completes, or else the
//!   scheduler's decision to reject or fail it. A request that its client has cancelled has none. A
//!   later response is counted as stray and dropped.
//! - An attempt ends once, with the first of these: the response of its node, its deadline, a reset
//!   of its connection, a cancellation, or its revocation from an outbox. Only a revoked attempt is
//!   reported as never sent.
//! - When the endpoint list, a drain or outlier detection takes a node out of service, every
//!   attempt to it that is not yet written is revoked. The router reports a drained or avoided node
//!   to the scheduler as if the endpoint list had marked it as draining.
//!
//! `requests` implements the life cycle of a request and of its attempts, `nodes` the connections to
//! nodes and the exclusion of nodes from service, `endpoints` and `discovery` the endpoint list.
//!
//! The router stores the open requests with their bytes and the connections, both bounded by the
//! settings, and one record for each node.

mod attempt_table;
mod client_sessions;
mod discovery;
mod effects;
mod endpoints;
mod health_checks;
mod host_identity;
mod make_scheduler;
mod metrics_publisher;
mod node_connection;
mod node_pools;
mod nodes;
mod request_terms;
mod requests;
mod shutdown;
mod step_clock;
mod timers;
mod types;
mod violation_log_limiter;

pub use types::{request_label, ConnId, Counters, Input, OpenWork, Output, WireMode};

use crate::config_follower::ConfigFollower;
use crate::log_event::{LogEvent, ProtocolViolation};
use crate::observations::{node_health, DrainProgress, ObservationReport};
use crate::quota_sharing::QuotaSharing;
use attempt_table::AttemptTable;
use client_sessions::ClientSessions;
use discovery::DiscoveryConnections;
use effects::StepEffects;
use grebecleat_catalog::follower::{Follower, InitialState};
use grebecleat_discovery::{DiscoveryClient, Event as DiscoveryEvent};
use grebecleat_scheduler::api::{Action, Event, NodeId, PeerId};
use grebecleat_scheduler::scheduler::Scheduler;
use grebecleat_settings::Settings;
use grebecleat_wire::clock;
use grebecleat_wire::pb::{self, frame::Body};
use host_identity::HostIdentity;
use metrics_publisher::MetricsPublisher;
use node_pools::NodePools;
use shutdown::Shutdown;
use std::sync::Arc;
use std::time::Duration;
use step_clock::StepClock;
use timers::Timers;
use tracing::debug;
use types::request_id;

/// The longest time between two steps while a request is open. A pause of the process is detected when
/// a step comes later than requested; with a larger bound, a short pause would end before that time and
/// be counted as latency of the nodes.
const MAX_SLEEP: Duration = Duration::from_millis(50);
/// The longest time between two steps while no request is open. With a larger bound, a pause of the
/// process would be detected later.
const MAX_IDLE_SLEEP: Duration = Duration::from_secs(1);

/// The requests, attempts and connections of one host.
pub struct RequestRouter {
    host: HostIdentity,
    clock: StepClock,
    scheduler: Scheduler,
    effects: StepEffects,
    config: ConfigFollower,
    /// `None` if this host shares neither quotas nor outlier observations with peers.
    sharing: Option<QuotaSharing>,
    clients: ClientSessions,
    attempts: AttemptTable,
    pools: NodePools,
    /// Follows the discovery service and owns the endpoint list.
    discovery: DiscoveryClient,
    discovery_connections: DiscoveryConnections,
    observations: ObservationReport,
    metrics: MetricsPublisher,
    timers: Timers,
    shutdown: Shutdown,
}

impl RequestRouter {
    /// Creates the router of a host that serves the volumes declared in its settings. `seed` must
    /// differ at each start of the host.
    pub fn new(settings: Arc<Settings>, seed: u64) -> Self {
        RequestRouter {
            scheduler: make_scheduler::scheduler(&settings, seed),
            clock: StepClock::default(),
            effects: StepEffects::default(),
            config: ConfigFollower::declared(&settings),
            sharing: None,
            clients: ClientSessions::default(),
            attempts: AttemptTable::new(settings.longest_deadline()),
            pools: NodePools::new(settings.clone(), seed),
            discovery: DiscoveryClient::new(settings.bounds.patience),
            discovery_connections: DiscoveryConnections::default(),
            observations: ObservationReport::default(),
            metrics: MetricsPublisher::default(),
            timers: Timers::default(),
            shutdown: Shutdown::default(),
            host: HostIdentity::new(settings, seed),
        }
    }

    /// Sets this host's index in the settings' list of hosts.
    pub fn with_host_index(mut self, index: usize) -> Self {
        self.host.set_index(index);
        self
    }

    /// Takes plans, volumes and drains from a state service, starting from the last persisted state.
    pub fn following(mut self, host: &str, start: InitialState) -> Self {
        self.config = ConfigFollower::of(self.host.settings(), host, start, self.host.seed());
        self
    }

    /// Shares node observations and quotas with the peers. With a state service, call
    /// [`RequestRouter::following`] first.
    pub fn sharing(mut self, now: Duration, peers: &[PeerId], incarnation: u64) -> Self {
        let settings = self.host.settings();
        let index = self.host.index();
        let seed = self.host.seed();
        self.sharing = QuotaSharing::of(now, settings, index, peers, incarnation, seed);
        if let (Some(sharing), false) = (&mut self.sharing, self.config.follows_state_service()) {
            sharing.declared(self.host.settings());
        }
        self
    }

    /// Uses the platform's protocol, see [`WireMode::Exclusive`].
    pub fn with_exclusive_connections(mut self) -> Self {
        self.pools = self.pools.with_exclusive_connections();
        self
    }

    /// Requires a change of the endpoint list to be known within `deadline`, with a time-out of
    /// `call_timeout` for each call; see [`DiscoveryClient::with_poll_deadline`].
    pub fn with_poll_deadline(mut self, deadline: Duration, call_timeout: Duration) -> Self {
        let seed = self.host.seed();
        self.discovery = self
            .discovery
            .with_poll_deadline(deadline, call_timeout, seed);
        self
    }

    /// Returns the settings of this host.
    pub fn settings(&self) -> &Settings {
        self.host.settings()
    }

    /// Returns the follower of the state service. Panics if this host follows none.
    pub fn follower(&self) -> &Follower {
        self.config
            .follower()
            .expect("this host follows a state service")
    }

    /// Returns the scheduler, for introspection.
    pub fn scheduler(&mut self) -> &mut Scheduler {
        &mut self.scheduler
    }

    /// Returns the counters since the start of the host.
    pub fn counters(&self) -> Counters {
        self.metrics.counters()
    }

    /// Returns whether a request is open, which means unanswered or with an outstanding attempt.
    pub fn is_open(&self, id: &[u8]) -> bool {
        request_id(id).is_some_and(|id| self.clients.request(&id).is_some())
    }

    /// Returns the client connections whose attempts wait to be written on `conn`, a connection to a
    /// node.
    pub fn clients_waiting_on(&self, conn: ConnId) -> impl Iterator<Item = ConnId> + '_ {
        self.pools.queued_on(conn).filter_map(|attempt| {
            let request = self.attempts.get(attempt)?.request();
            Some(self.clients.request(&request)?.client())
        })
    }

    /// Returns the numbers of open requests and outstanding attempts.
    pub fn open_work(&self) -> OpenWork {
        OpenWork {
            requests: self.clients.request_count(),
            attempts: self.attempts.len(),
            bytes: self.clients.request_bytes(),
        }
    }

    /// Returns whether this process was paused just before `now`. If so, the caller must read the
    /// frames that wait in its sockets before the next step: responses that arrived during the pause
    /// must be handled before the router concludes that a node has not responded.
    pub fn detect_pause(&mut self, now: Duration) -> bool {
        let paused = self.clock.detect_pause(now);
        self.metrics.counters_mut().pauses += u64::from(paused);
        paused
    }

    /// Returns when `step` must be called again if there is no input before.
    pub fn wake_at(&mut self) -> Duration {
        let idle = self.clients.request_count() == 0 && !self.shutdown.has_begun();
        let latest = self.clock.now() + if idle { MAX_IDLE_SLEEP } else { MAX_SLEEP };
        let wakes = [
            self.timers.first_at(),
            self.attempts.first_deadline(),
            self.pools.next_recheck_at(),
            self.config.wake_at(),
            self.metrics.publish_at(),
            self.sharing.as_ref().map(QuotaSharing::wake_at),
            self.discovery.wake_at(),
        ];
        let wake = wakes.into_iter().flatten().fold(latest, Duration::min);
        self.clock.request_wake(wake)
    }

    /// Handles the inputs that have arrived up to `now` and returns the outputs to perform.
    pub fn step(&mut self, now: Duration, inputs: impl IntoIterator<Item = Input>) -> Vec<Output> {
        self.clock.advance(now);
        self.metrics.counters_mut().steps += 1;
        self.expire_quota_leases();
        for input in inputs {
            self.handle_input(input);
        }
        self.follow_configuration();
        self.exchange_gossip();
        self.expire_attempts();
        self.recheck_pools();
        self.fire_timers();
        if self.timers.take_due_sweep(self.clock.now()) {
            self.sweep();
        }
        self.step_discovery(DiscoveryEvent::CheckTimeout);
        // An action may cause another event in the same step: for instance, an attempt ends at once
        // if there is no connection to its node or its request is already answered.
        loop {
            let events = self.effects.take_events();
            if events.is_empty() {
                break;
            }
            self.metrics.counters_mut().events += events.len() as u64;
            let actions = self.scheduler.step(self.clock.now(), events);
            self.log_rejections();
            for action in actions {
                self.perform(action);
            }
            self.adjust_pools();
        }
        self.step_discovery(DiscoveryEvent::CheckPollDeadline);
        self.adjust_pools();
        self.complete_shutdown();
        self.effects.take_outputs()
    }

    fn log_rejections(&self) {
        for rejected in self.scheduler.rejected_in_step() {
            let request = request_label(&rejected.id.0);
            debug!(request, cause = ?rejected.cause, "request rejected or failed");
        }
    }

    fn recheck_pools(&mut self) {
        while let Some(node) = self.pools.take_due_recheck(self.clock.now()) {
            self.assign_waiting_attempts(node);
        }
    }

    fn fire_timers(&mut self) {
        if let Some(tag) = self.timers.take_due(self.clock.now()) {
            self.effects.add_event(Event::TimerFired { tag });
        }
    }

    fn handle_input(&mut self, input: Input) {
        match input {
            Input::ClientUp { conn, outbox } => self.client_connected(conn, outbox),
            Input::ClientFrames { conn, at, frames } => {
                for frame in frames {
                    self.handle_client_frame(conn, at, frame);
                }
            }
            Input::ClientGone { conn } => self.client_disconnected(conn),
            Input::NodeUp { conn, outbox } => self.node_connected(conn, outbox),
            Input::NodeFrames { conn, at, frames } => {
                for frame in frames {
                    self.handle_node_frame(conn, at, frame);
                }
            }
            Input::NodeGone { conn } => self.node_disconnected(conn),
            Input::DiscoveryUp { conn, outbox } => self.discovery_connected(conn, outbox),
            Input::DiscoveryFrames { conn, frames } => self.handle_discovery_frames(conn, frames),
            Input::DiscoveryGone { conn } => self.discovery_disconnected(conn),
            Input::DiscoveryRefused {
                conn,
                waited,
                up_to_date,
            } => self.discovery_refused(conn, waited, up_to_date),
            Input::DiscoveryClosedAfterResponse { conn } => self.discovery_ended(conn),
            Input::DiscoveryOverdue { conn } => self.discovery_overdue(conn),
            Input::DiscoveryMoved => self.step_discovery(DiscoveryEvent::Moved),
            Input::StateServiceUp { conn, outbox } => {
                self.observations.forget();
                self.config.connected(conn, outbox);
            }
            Input::StateServiceFrames { conn, frames } => {
                self.handle_state_service_frames(conn, frames)
            }
            Input::StateServiceGone { conn } => self.config.disconnected(conn, self.clock.now()),
            Input::Persisted { number, done } => self.config.persisted(number, done),
            Input::CachedEndpoints { list } => {
                self.step_discovery(DiscoveryEvent::CachedList { list })
            }
            Input::PeerMessage {
                from,
                waited,
                bytes,
            } => self.handle_peer_message(from, waited, bytes),
            Input::ExtentsByShard { shards } => self.observations.set_extents_by_shard(shards),
            Input::SubscriberUp { conn, outbox } => self.metrics.subscribe(conn, outbox),
            Input::Shutdown => self.begin_shutdown(),
        }
    }

    fn perform(&mut self, action: Action) {
        match action {
            Action::SendAttempt { id, node, deadline } => self.start_attempt(id, node, deadline),
            Action::Reject { id, retry_after } => {
                let response = pb::Response {
                    retry_after_us: retry_after.map(clock::micros),
                    ..pb::Response::default()
                };
                self.finish_request(id, pb::Outcome::Rejected, response);
            }
            Action::Fail { id } => {
                self.finish_request(id, pb::Outcome::Failed, pb::Response::default())
            }
            Action::CancelAttempt { id, attempt } => self.cancel_attempt(id, attempt),
            Action::SetTimer { after, tag } => self.timers.set(self.clock.now() + after, tag),
            Action::HealthCheck { node } => self.check_health(node),
            Action::CloseIdleConnections { node } => self.close_idle(node, self.clock.now()),
            Action::SendToPeer { to, bytes } => {
                self.effects.add_output(Output::SendToPeer { to, bytes })
            }
            Action::Log { event } => self.effects.log(LogEvent::Scheduler(event)),
            Action::WatchEndpoints { on } => self.step_discovery(DiscoveryEvent::Watch { on }),
            Action::FetchEndpoints => self.step_discovery(DiscoveryEvent::Fetch),
        }
    }

    fn sweep(&mut self) {
        self.end_stale_attempts();
        self.end_lost_dials();
        self.close_expired_idle();
        self.publish_observations();
        self.publish_metrics();
        self.step_discovery(DiscoveryEvent::StoreDue);
    }

    /// Sends the state service the node observations that have changed.
    fn publish_observations(&mut self) {
        let follower = self.config.follower();
        let Some(follower) = follower.filter(|_| self.config.is_up()) else {
            return;
        };
        let applied = follower.catalog().version().0;
        let health = node_health(&self.scheduler, self.clock.now());
        let known = self.discovery.endpoints().iter();
        let rows: Vec<pb::NodeObservation> = known
            .map(|(node, known)| {
                let drained = self.config.is_drained(node);
                let progress = drained.then(|| DrainProgress {
                    applied,
                    outstanding: self.attempts.outstanding_at(node),
                    may_run_for: self.attempts.may_run_for(node, self.clock.now()),
                });
                self.observations
                    .row(self.clock.now(), node, known, health.get(&node), progress)
            })
            .collect();
        let nodes = self.observations.changes(rows);
        if !nodes.is_empty() {
            let observations = pb::NodeObservations { nodes };
            self.config.put(Body::NodeObservations(observations));
        }
    }

    /// Sends the metrics of one interval to the subscribers. Disconnects subscribers that have left
    /// too many metrics unread.
    fn publish_metrics(&mut self) {
        if !self.metrics.is_due(self.clock.now()) {
            return;
        }
        let host_metrics = self.host_metrics();
        for conn in self.metrics.slow_subscribers() {
            self.disconnect(conn, ProtocolViolation::UnreadMetrics);
        }
        let endpoints = self.discovery.endpoints();
        let start_number_of = |node: NodeId| endpoints.get(node).map_or(0, |known| known.start);
        self.metrics.publish(
            self.clock.now(),
            &self.scheduler,
            start_number_of,
            host_metrics,
        );
    }

    fn host_metrics(&self) -> pb::HostMetrics {
        let follower = self.config.follower();
        let metrics = pb::HostMetrics {
            host: self.host.name(),
            open: self.clients.request_count() as u64,
            held_bytes: self.clients.request_bytes() as u64,
            draining: self.shutdown.has_begun(),
            leased: follower.is_some_and(|follower| follower.leased()),
            follows: follower.map_or(0, |follower| follower.catalog().version().0),
            longest_us: clock::micros(self.attempts.longest_deadline()),
            ..self.metrics.counters().to_metrics()
        };
        match &self.sharing {
            Some(sharing) => sharing.metrics(self.clock.now(), self.host.settings(), metrics),
            None => metrics,
        }
    }

    fn begin_shutdown(&mut self) {
        if self.shutdown.has_begun() {
            return;
        }
        let longest = self.clients.latest_deadline().unwrap_or(self.clock.now());
        self.shutdown.begin(longest + self.host.bounds().patience);
        let open_requests = self.clients.request_count();
        self.effects
            .log(LogEvent::ShutdownStarted { open_requests });
        self.clients.announce_shutdown();
    }

    fn complete_shutdown(&mut self) {
        let clients = &self.clients;
        let all_written = || clients.all_written();
        if self.shutdown.try_complete(self.clock.now(), all_written) {
            self.effects.add_output(Output::ShutdownComplete);
        }
    }
}

#[cfg(test)]
mod tests;
