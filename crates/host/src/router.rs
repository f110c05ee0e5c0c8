//! Routes one host's requests, attempts and connections between the sockets and the decisions.
//!
//! State machine: [`RequestRouter::step`] takes what has happened and returns what the sockets are
//! to do beyond what lies in the outboxes; [`RequestRouter::wake_at`] says when it must be called
//! again. No I/O and no clock. Called by the owner's loop ([`crate::server`], or the platform's).
//! Every event and action of `grebecleat_scheduler::api` is carried here:
//!
//! - a request is answered once: by its first attempt that completes, else by the decisions, else
//!   not at all (its client has left); what comes later is counted as stray and dropped;
//! - an attempt ends once, by the first of: its node's answer, its deadline, a reset, a cancel, or
//!   being revoked from an outbox, which alone is reported as "never ran";
//! - what the endpoint list says of a node, or a drain, revokes every attempt to it that has not
//!   crossed. The decisions hear of a node that is drained as the list would tell of one that
//!   drains.
//!
//! Files: `clients` (requests and their answers), `attempts`, `node_connections`, `discovery`,
//! `endpoints` (what the list changes), `configuration` (state service, quotas and gossip),
//! `decisions` (how they are set up), `reporting` (sweep, observations, metrics), `shutdown`. Which
//! volumes are served, and on what terms, [`crate::config_follower`] says; what of a limit this host
//! may use, and which nodes all hosts find bad, [`crate::quota_sharing`], where it is on.
//!
//! Memory: requests and their bytes as the settings' bounds allow, connections likewise, and a
//! record for each node.

mod attempt_table;
mod attempts;
mod bad_peers;
mod client_sessions;
mod clients;
mod configuration;
mod decisions;
mod discovery;
mod endpoints;
mod health_checks;
mod metrics_publisher;
mod node_connections;
mod node_pools;
mod reporting;
mod request_terms;
mod shutdown;
mod timers;
mod types;

pub use types::{request_label, ConnId, Counters, Input, OpenWork, Output, WireMode};

use crate::config_follower::ConfigFollower;
use crate::endpoint_list::EndpointList;
use crate::log_event::{LogEvent, ProtocolViolation};
use crate::observations::ObservationReport;
use crate::poll_deadline::PollDeadline;
use crate::process_pause::ProcessPauses;
use crate::quota_sharing::QuotaSharing;
use attempt_table::AttemptTable;
use bad_peers::BadPeers;
use client_sessions::ClientSessions;
use grebecleat_catalog::follower::{Follower, InitialState};
use grebecleat_scheduler::api::*;
use grebecleat_scheduler::scheduler::Scheduler;
use grebecleat_settings::{Bounds, Settings};
use grebecleat_wire::clock;
use grebecleat_wire::pb::{self, frame::Body};
use health_checks::HealthChecks;
use metrics_publisher::MetricsPublisher;
use node_pools::NodePools;
use shutdown::Shutdown;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use timers::Timers;
use tracing::debug;
use types::{request_id, DiscoveryHistory, DiscoveryLink, HeardDiscoveryLink};

/// The longest sleep while anything is open, so that a pause of the process is seen for what it is.
const MAX_SLEEP: Duration = Duration::from_millis(50);
/// The longest sleep while nothing is open.
const MAX_IDLE_SLEEP: Duration = Duration::from_secs(1);

/// One host's requests, attempts and connections.
pub struct RequestRouter {
    scheduler: Scheduler,
    settings: Arc<Settings>,
    /// This host's index among the settings' hosts.
    host_index: usize,
    config: ConfigFollower,
    /// None: this host shares nothing with its peers.
    sharing: Option<QuotaSharing>,
    seed: u64,
    now: Duration,
    /// When the last [`RequestRouter::wake_at`] asked to be called.
    requested_wake: Duration,
    pauses: ProcessPauses,
    clients: ClientSessions,
    attempts: AttemptTable,
    pools: NodePools,
    endpoints: EndpointList,
    /// Extents by shard, where a portal has told.
    extents_by_shard: Option<BTreeMap<u32, u64>>,
    observations: ObservationReport,
    metrics: MetricsPublisher,
    endpoints_changed: bool,
    discovery: DiscoveryLink,
    heard_discovery: Vec<HeardDiscoveryLink>,
    discovery_history: DiscoveryHistory,
    /// None: after a failure discovery is called when the decisions say, however long that is.
    poll_deadline: Option<PollDeadline>,
    health_checks: HealthChecks,
    timers: Timers,
    events: Vec<Event>,
    outputs: Vec<Output>,
    last_number: u64,
    shutdown: Shutdown,
    bad_peers: BadPeers,
    counters: Counters,
}

impl RequestRouter {
    /// A host with the volumes that its settings declare. `seed` is new at each start of the host.
    pub fn new(settings: Arc<Settings>, seed: u64) -> Self {
        RequestRouter {
            scheduler: decisions::scheduler(&settings, seed),
            host_index: 0,
            config: ConfigFollower::declared(&settings),
            sharing: None,
            seed,
            now: Duration::ZERO,
            requested_wake: Duration::MAX,
            pauses: ProcessPauses::default(),
            clients: ClientSessions::default(),
            attempts: AttemptTable::new(settings.longest_deadline()),
            pools: NodePools::new(settings.clone(), seed),
            endpoints: EndpointList::default(),
            extents_by_shard: None,
            observations: ObservationReport::default(),
            metrics: MetricsPublisher::default(),
            endpoints_changed: false,
            discovery: DiscoveryLink::default(),
            heard_discovery: Vec::new(),
            discovery_history: DiscoveryHistory::default(),
            poll_deadline: None,
            health_checks: HealthChecks::default(),
            timers: Timers::default(),
            events: Vec::new(),
            outputs: Vec::new(),
            last_number: 1,
            shutdown: Shutdown::default(),
            bad_peers: BadPeers::default(),
            counters: Counters::default(),
            settings,
        }
    }

    /// Sets this host's index among the settings' hosts.
    pub fn with_host_index(mut self, index: usize) -> Self {
        self.host_index = index;
        self
    }

    /// Follows a state service, from what was last persisted of it.
    pub fn following(mut self, host: &str, start: InitialState) -> Self {
        self.config = ConfigFollower::of(&self.settings, host, start, self.seed);
        self
    }

    /// Shares observations and quotas with its peers. Called after [`RequestRouter::following`].
    pub fn sharing(mut self, now: Duration, peers: &[PeerId], incarnation: u64) -> Self {
        let index = self.host_index;
        self.sharing = QuotaSharing::of(now, &self.settings, index, peers, incarnation, self.seed);
        if let (Some(sharing), false) = (&mut self.sharing, self.config.is_on()) {
            sharing.declared(&self.settings);
        }
        self
    }

    /// Speaks the platform's wire: see [`WireMode::Exclusive`].
    pub fn with_exclusive_connections(mut self) -> Self {
        self.pools = self.pools.with_exclusive_connections();
        self
    }

    /// What discovery has to tell is known within `term`, also where calls fail; one may take
    /// `call`, its dial included.
    pub fn with_poll_deadline(mut self, term: Duration, call: Duration) -> Self {
        self.poll_deadline = Some(PollDeadline::new(term, call, self.seed));
        self
    }

    fn bounds(&self) -> &Bounds {
        &self.settings.bounds
    }

    fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }

    /// The settings that it was made with.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// What it follows of a state service. Panics where there is none.
    pub fn follower(&self) -> &Follower {
        self.config.follower().expect("it follows a state service")
    }

    /// The decisions, for inspection.
    pub fn scheduler(&mut self) -> &mut Scheduler {
        &mut self.scheduler
    }

    /// Counts since the start.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// Whether anything of a request is open or out.
    pub fn is_open(&self, id: &[u8]) -> bool {
        request_id(id).is_some_and(|id| self.clients.request(&id).is_some())
    }

    /// The clients of the attempts that wait to be written on a node's connection.
    pub fn clients_waiting_on(&self, conn: ConnId) -> impl Iterator<Item = ConnId> + '_ {
        self.pools.queued_on(conn).filter_map(|attempt| {
            let request = self.attempts.get(attempt)?.request();
            Some(self.clients.request(&request)?.client())
        })
    }

    /// What is open now.
    pub fn open_work(&self) -> OpenWork {
        OpenWork {
            requests: self.clients.request_count(),
            attempts: self.attempts.len(),
            bytes: self.clients.request_bytes(),
        }
    }

    /// Whether this process has just stood still: the caller then first reads what waits in its
    /// sockets, since answers that came meanwhile must be heard before silence is judged.
    pub fn detect_pause(&mut self, now: Duration) -> bool {
        let paused = self.pauses.woke(self.requested_wake.max(self.now), now);
        if paused {
            self.counters.pauses += 1;
            self.requested_wake = now;
        }
        paused
    }

    /// When `step` must be called again if nothing happens before.
    pub fn wake_at(&mut self) -> Duration {
        let idle = self.clients.request_count() == 0 && !self.shutdown.has_begun();
        let latest = self.now + if idle { MAX_IDLE_SLEEP } else { MAX_SLEEP };
        let wakes = [
            self.timers.first_at(),
            self.attempts.first_deadline(),
            self.pools.first_check(),
            self.config.wake_at(),
            self.metrics.publish_at(),
            self.sharing.as_ref().map(QuotaSharing::wake_at),
            self.discovery.answer_by,
            self.poll_deadline.as_ref().and_then(PollDeadline::wake_at),
        ];
        let wake = wakes.into_iter().flatten().fold(latest, Duration::min);
        self.requested_wake = wake.max(self.now);
        self.requested_wake
    }

    /// Takes in what has happened up to `now` and returns what to do.
    pub fn step(&mut self, now: Duration, inputs: impl IntoIterator<Item = Input>) -> Vec<Output> {
        self.now = now.max(self.now);
        self.counters.steps += 1;
        self.expire_quota_leases();
        for input in inputs {
            self.handle_input(input);
        }
        self.follow_configuration();
        self.exchange_gossip();
        self.expire_attempts();
        self.check_pools();
        self.fire_timers();
        if self.timers.take_due_sweep(self.now) {
            self.sweep();
        }
        if self.discovery.answer_by.is_some_and(|by| self.now >= by) {
            self.discovery_overdue();
        }
        // What the decisions ask for can at once come to an end (nothing to send on, already over).
        while !self.events.is_empty() {
            let events = std::mem::take(&mut self.events);
            self.counters.events += events.len() as u64;
            let actions = self.scheduler.step(self.now, events);
            self.log_rejections();
            for action in actions {
                self.perform(action);
            }
            self.adjust_pools();
        }
        self.poll_before_deadline(None);
        self.adjust_pools();
        self.complete_shutdown();
        std::mem::take(&mut self.outputs)
    }

    fn log_rejections(&self) {
        for rejected in self.scheduler.rejected_in_step() {
            let request = request_label(&rejected.id.0);
            debug!(request, cause = ?rejected.cause, "request rejected or failed");
        }
    }

    fn check_pools(&mut self) {
        while let Some(node) = self.pools.take_due_check(self.now) {
            self.assign_waiting(node);
        }
    }

    fn fire_timers(&mut self) {
        if let Some(tag) = self.timers.take_due(self.now) {
            self.events.push(Event::TimerFired { tag });
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
            Input::DiscoveryEnded { conn } => self.discovery_ended(conn),
            Input::DiscoveryOverdue { conn } => {
                if self.discovery.conn == Some(conn) {
                    self.discovery_overdue();
                }
            }
            Input::DiscoveryMoved => self.discovery_moved(),
            Input::StateServiceUp { conn, outbox } => {
                self.observations.forget();
                self.config.connected(conn, outbox);
            }
            Input::StateServiceFrames { conn, frames } => {
                self.handle_state_service_frames(conn, frames)
            }
            Input::StateServiceGone { conn } => self.config.disconnected(conn, self.now),
            Input::Persisted { number, done } => self.config.persisted(number, done),
            Input::CachedEndpoints { list } => {
                self.apply_endpoints(EndpointUpdateKind::Cached, &list.endpoints, 0)
            }
            Input::PeerMessage {
                from,
                waited,
                bytes,
            } => self.handle_peer_message(from, waited, bytes),
            Input::ExtentsByShard { shards } => self.extents_by_shard = Some(shards),
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
            Action::SetTimer { after, tag } => self.timers.set(self.now + after, tag),
            Action::HealthCheck { node } => self.check_health(node),
            Action::CloseIdleConnections { node } => self.close_idle(node, self.now),
            Action::SendToPeer { to, bytes } => self.outputs.push(Output::SendToPeer { to, bytes }),
            Action::Log { text } => self.log(LogEvent::Scheduler { text }),
            Action::WatchEndpoints { on } => self.call_discovery(Body::Watch(pb::Watch { on })),
            Action::FetchEndpoints => {
                self.call_discovery(Body::FetchEndpoints(pb::FetchEndpoints {}))
            }
        }
    }

    fn log(&mut self, event: LogEvent) {
        self.outputs.push(Output::Log(event));
    }

    fn log_violation(&mut self, conn: ConnId, violation: ProtocolViolation) {
        if self.bad_peers.may_log(conn) {
            self.log(LogEvent::ProtocolViolation { conn, violation });
        }
    }
}

#[cfg(test)]
mod tests;
