//! The scheduler of one host: decides which requests are sent to a storage node now, which are queued, and
//! which are rejected.
//!
//! The scheduler is a state machine: [`Scheduler::step`] takes the time and the events since the last step,
//! and returns the actions to perform ([`crate::api`]). It does no I/O and has no clock of its own; random
//! numbers come from the given seed. This file calls the mechanisms in a fixed order and makes no decisions
//! itself. Each mechanism is a module in the folder `scheduler`, which documents its constants, the state
//! that it owns, and the problem that it prevents:
//!
//! - `request_flow`: the life cycle of a request through the tables, the queues and the mechanisms;
//! - `demand`, `reservations`, `shares`, `capacity`: measurement of demands and capacities in each control
//!   interval, and division of the capacities (docs/design.md);
//! - `concurrency`: limit of the units outstanding at a node, and its back-off when answers are late;
//! - `throttle`: limit of the requests to a node that is slow because of other hosts;
//! - `outlier_ejection`: nodes that do not answer or that fail, and therefore get only trial requests;
//! - `slow_start`: limit of the requests to a node that has started recently;
//! - `latency`: the expected duration of an attempt, and whether an attempt is late;
//! - `dispatch`, `dispatch_queue`, `placement`: which queued request goes to which node, and what blocks it;
//! - `retry_policy`: whether another attempt may follow;
//! - `shedding`: early rejection of requests that cannot be answered in time;
//! - `discovery`, `endpoint_lease`, `fetch_backoff`: which nodes get requests while the endpoint list may be
//!   out of date, and the time of the next call to the discovery service;
//! - `attempt_outcome`: the effect of a finished attempt on its node, its volume and its request.
//!
//! `introspection` reports the scheduler's state to operators, and `rejection_log` the causes of rejections.

mod attempt_outcome;
mod capacity;
mod clock;
mod concurrency;
mod demand;
mod discovery;
mod dispatch;
mod dispatch_queue;
mod endpoint_lease;
mod fetch_backoff;
mod introspection;
mod jitter;
mod latency;
mod outlier_ejection;
mod placement;
mod rejection_log;
mod request_flow;
mod reservations;
mod retry_policy;
mod settings;
mod shares;
mod shedding;
mod slow_start;
mod throttle;

pub use concurrency::concurrency_limit;
pub use demand::{demand, FlowSample};
pub use reservations::reservation_fraction;
pub use retry_policy::{may_reject, may_resend, PriorAttempt};
pub use slow_start::slow_start_quota;
pub use throttle::late_answer_weight;

pub(crate) use capacity::NodeCapacity;
pub(crate) use concurrency::ConcurrencyBackoff;
pub(crate) use endpoint_lease::ServingEvidence;
pub(crate) use latency::NodeDelays;
pub(crate) use outlier_ejection::FailureStreak;
pub(crate) use reservations::ReservationShare;
pub(crate) use shares::Flows;
pub(crate) use slow_start::WarmUp;
pub(crate) use throttle::AdmissionLevel;

use crate::api::{
    Action, DiscoveryPolicy, Endpoint, EndpointUpdateKind, Event, HostLimits, LogEvent, Plan,
    RetryBudget, SlowStartPolicy, TrafficClass, UnitSettings, VolumeId, VolumeTerms,
};
use crate::rates::seconds;
use crate::state::{Node, NodeTable, RequestTable, VolumeTable};
use clock::{Clock, TICK};
use concurrency::ConcurrencyLimiter;
use discovery::Discovery;
use dispatch::DispatchView;
use dispatch_queue::{DispatchQueue, RankingSchedule};
use jitter::Jitter;
use latency::LatencyModel;
use rejection_log::RejectionLog;
use retry_policy::RetryPolicy;
use settings::Settings;
use shares::{allocate_shares, measure_demands, VolumeDemands};
use slow_start::SlowStart;
use std::time::Duration;
use throttle::{count_overdue, AdmissionThrottle};

/// The scheduler of one host. Its memory grows with the numbers of nodes, volumes, open requests and keys,
/// and with the number of requests in the retry budget's window.
#[derive(Debug)]
pub struct Scheduler {
    settings: Settings,
    jitter: Jitter,
    clock: Clock,
    nodes: NodeTable,
    requests: RequestTable,
    volumes: VolumeTable,
    queue: DispatchQueue,
    discovery: Discovery,
    slow_start: SlowStart,
    concurrency: ConcurrencyLimiter,
    throttle: AdmissionThrottle,
    latency: LatencyModel,
    retries: RetryPolicy,
    rejections: RejectionLog,
    /// Actions of the current step.
    actions: Vec<Action>,
}

impl Scheduler {
    /// Returns a scheduler without the policies of [`Scheduler::with_policies`]. Its first step counts as the
    /// host's start.
    pub fn new(
        seed: u64,
        traffic_classes: Vec<TrafficClass>,
        plans: Vec<Plan>,
        units: UnitSettings,
        limits: HostLimits,
    ) -> Self {
        let mean_units = units.mean;
        let latency = LatencyModel::new(&traffic_classes);
        let settings = Settings {
            traffic_classes,
            plans,
            units,
            max_retry_after: limits.max_retry_after,
        };
        Scheduler {
            jitter: Jitter::new(seed),
            clock: Clock::default(),
            nodes: NodeTable::default(),
            requests: RequestTable::default(),
            volumes: VolumeTable::default(),
            queue: DispatchQueue::default(),
            discovery: Discovery::new(&DiscoveryPolicy::default()),
            slow_start: SlowStart::new(SlowStartPolicy::default(), mean_units),
            concurrency: ConcurrencyLimiter::new(latency.tightest_objective(), mean_units),
            throttle: AdmissionThrottle::new(&settings),
            latency,
            retries: RetryPolicy::new(limits.max_attempts),
            rejections: RejectionLog::default(),
            actions: Vec::new(),
            settings,
        }
    }

    /// Sets the slow-start policy, the discovery policy, the retry budget and the key cool-down.
    /// `key_cooldown`: time for which a key is blocked after an attempt that may still be running.
    pub fn with_policies(
        mut self,
        slow_start: SlowStartPolicy,
        discovery: DiscoveryPolicy,
        retry_budget: Option<RetryBudget>,
        key_cooldown: Duration,
    ) -> Self {
        self.concurrency.set_hosts(slow_start.hosts);
        self.slow_start = SlowStart::new(slow_start, self.settings.units.mean);
        self.discovery = Discovery::new(&discovery);
        self.retries.configure(retry_budget, key_cooldown);
        self
    }

    /// Processes the events up to `now`, which must never decrease, and returns the actions to perform.
    pub fn step(&mut self, now: Duration, events: Vec<Event>) -> Vec<Action> {
        self.start_step(now);
        let ticked = self.tick();
        for event in events {
            self.handle_event(event);
        }
        let interval_over = self.end_interval();
        self.dispatch(ticked, interval_over);
        self.act_on_changed_requests();
        self.call_discovery();
        self.set_timer();
        std::mem::take(&mut self.actions)
    }

    fn start_step(&mut self, now: Duration) {
        if self.clock.start_step(now) {
            self.discovery.start(now, &mut self.jitter);
        }
        self.rejections.start_step();
    }

    /// Refills all token buckets for the ticks that have passed; returns whether any tick has passed.
    fn tick(&mut self) -> bool {
        let ticks = self.clock.take_ticks();
        if ticks == 0 {
            return false; // most steps; visiting all nodes would cost more than the step itself
        }
        let seconds = seconds(TICK * ticks);
        self.volumes.refill(seconds);
        for node in self.nodes.values_mut() {
            node.advance(f64::from(ticks), seconds);
        }
        true
    }

    fn handle_event(&mut self, event: Event) {
        let now = self.clock.now();
        match event {
            Event::RequestReceived(request) => self.receive_request(request),
            Event::ResponseStarted { id, .. } => {
                if let Some(pending) = self.requests.get_mut(id) {
                    pending.response_started = true;
                }
            }
            Event::AttemptEnded(end) => self.attempt_ended(&end),
            // A connection that opens late must not count against its node.
            Event::AttemptSent { id, node, at } => {
                if let Some(node) = self.nodes.get_mut(node) {
                    node.attempts.set_sent(id, at);
                }
            }
            Event::RequestCancelled { id } => self.close(id),
            Event::PlanChanged { plan, facts } => {
                self.settings.set_plan(plan, facts);
                self.throttle.set_values(&self.settings);
            }
            Event::VolumeChanged { volume, terms } => self.set_volume_terms(volume, terms),
            Event::EndpointUpdate { kind, endpoints } => self.update_endpoints(kind, &endpoints),
            Event::EndpointsConfirmed => self.discovery.confirmed(now),
            Event::DiscoveryMoved => self.discovery.moved(now),
            Event::FetchRefused { waited } => {
                self.discovery.refused(waited, now, &mut self.jitter);
            }
            Event::TimerFired { .. } | Event::HealthChecked { .. } | Event::PeerMessage { .. } => {}
        }
    }

    fn set_volume_terms(&mut self, id: VolumeId, terms: Option<VolumeTerms>) {
        let Some(terms) = terms else {
            self.reject_queued(id);
            return self.volumes.retire(id);
        };
        let reservation = self.settings.plan(terms.plan).reservation;
        self.volumes.set_terms(id, terms, reservation);
    }

    /// Applies an update of the endpoint list, and queues requests again whose node is no longer ready.
    fn update_endpoints(&mut self, kind: EndpointUpdateKind, endpoints: &[Endpoint]) {
        let now = self.clock.now();
        self.discovery.updated(kind, now, &mut self.jitter);
        if kind == EndpointUpdateKind::FetchFailed {
            return;
        }
        if kind != EndpointUpdateKind::Delta {
            self.nodes.mark_absent_gone(endpoints);
        }
        let is_first_list = self.nodes.is_empty();
        for endpoint in endpoints {
            self.update_endpoint(endpoint, is_first_list);
        }
        self.slow_start.update(self.nodes.values_mut(), now);
        self.requeue_at_unready();
    }

    fn update_endpoint(&mut self, endpoint: &Endpoint, is_first_list: bool) {
        let now = self.clock.now();
        let mean_units = self.settings.units.mean;
        let objective = self.latency.tightest_objective();
        let classes = self.settings.traffic_classes.len();
        let came_up = self.nodes.update(endpoint, |predecessor| {
            let predecessor = predecessor.map(|node| &node.capacity);
            let capacity = NodeCapacity::new(mean_units, objective, classes, predecessor);
            Node::new(endpoint, capacity)
        });
        let Some(node) = came_up else { return };
        let warm_up = self
            .slow_start
            .start(node.started, is_first_list, now, &mut self.jitter);
        let is_warming = warm_up.is_active();
        node.reset(now, warm_up);
        let node = node.id;
        self.log(is_warming.then_some(LogEvent::NodeWarmingUp { node }));
    }

    /// Ends the control interval if it is over: updates the estimates of demands and capacities, and divides
    /// the capacities again. Returns whether the interval was over.
    fn end_interval(&mut self) -> bool {
        let now = self.clock.now();
        let Some(interval) = self.clock.take_interval() else {
            return false;
        };
        let ticks = interval / seconds(TICK);
        let demands = measure_demands(self.nodes.values_mut(), ticks, interval);
        self.split_reservations(&demands, interval);
        self.learn_capacities(interval);
        let plans = &self.settings.plans;
        allocate_shares(self.nodes.values_mut(), &self.volumes, plans, &demands);
        self.concurrency.update_mean_rate(self.nodes.values());
        let lease_change = self.discovery.lease_change(now);
        self.log(lease_change);
        self.slow_start.update(self.nodes.values_mut(), now);
        self.retries.expire(now);
        self.remove_retired_volumes();
        self.forget_idle_volumes(&demands);
        self.latency.decay();
        true
    }

    /// Sets this host's share of each volume's reservation.
    fn split_reservations(&mut self, demands: &VolumeDemands, interval: f64) {
        let now = self.clock.now();
        let meter = self.settings.units.meter;
        for (id, volume) in self.volumes.iter_mut() {
            let own_demand = demands.get(id).copied().unwrap_or(0.0);
            let reservation = self.settings.plan(volume.plan).reservation;
            let hosts = volume.hosts;
            volume
                .reservation
                .end_interval(own_demand, reservation, hosts, interval, meter, now);
        }
    }

    /// Updates the estimates of the rates that the nodes can serve for this host.
    fn learn_capacities(&mut self, interval: f64) {
        let mean_units = self.settings.units.mean;
        for node in self.nodes.values_mut() {
            let is_warm = !node.warm_up.is_active();
            let outstanding = node.attempts.units();
            node.capacity.end_interval(interval, is_warm, outstanding);
            node.delays.decay();
            node.failures.decay();
            let usage = node.capacity.usage_rate();
            node.admission.recover(usage, mean_units, interval);
        }
    }

    /// Bounds the number of volumes that clients can make this host remember. A volume is in use while it has
    /// a request or a flow.
    fn forget_idle_volumes(&mut self, demands: &VolumeDemands) {
        if !self.volumes.has_excess() {
            return;
        }
        let open = self.requests.volumes();
        self.volumes
            .forget_idle(|id| open.contains(id) || demands.contains_key(id));
    }

    fn remove_retired_volumes(&mut self) {
        if !self.volumes.has_retired() {
            return;
        }
        let open = self.requests.volumes();
        for id in self.volumes.remove_retired(&open) {
            self.nodes.remove_flows(id);
        }
    }

    /// Sends the requests that may be sent now, and rejects those that cannot be answered in time. Between
    /// ticks it visits only nodes that have changed or have a scheduled visit, so that the cost of handling
    /// one answer does not grow with the number of nodes.
    fn dispatch(&mut self, ticked: bool, interval_over: bool) {
        if ticked {
            self.detect_silence();
        }
        self.assign_unassigned(ticked);
        let now = self.clock.now();
        let tick = self.clock.tick_number();
        for id in self.queue.nodes_to_visit(ticked || interval_over, now) {
            self.dispatch_at(id);
            let queued = self.nodes[id].queue.len();
            let schedule = RankingSchedule::new(queued, ticked, tick);
            if schedule.is_due {
                self.shed_load(id, schedule.until_next_ranking);
            }
        }
    }

    /// Counts overdue attempts as late, and ejects nodes that have not answered for too long.
    fn detect_silence(&mut self) {
        let now = self.clock.now();
        let bound = self.latency.overdue_bound();
        let objective = self.latency.tightest_objective();
        self.queue.prune_active(&self.nodes);
        for id in self.queue.active() {
            let Some(node) = self.nodes.get_mut(id) else {
                continue;
            };
            let is_late = |units, sent| bound.is_passed(units, sent, now);
            for _ in 0..count_overdue(node, &mut self.requests, is_late) {
                self.throttle.record(&mut node.admission, now, true);
            }
            node.capacity.observe_queue(!node.queue.is_empty());
            let oldest_sent = node.attempts.oldest_sent();
            let silence = node.failures.silence(oldest_sent, objective, now);
            let event = silence.and_then(|reason| node.eject(reason));
            self.actions
                .extend(event.map(|event| Action::Log { event }));
        }
    }

    fn call_discovery(&mut self) {
        if self.discovery.take_due_call(self.clock.now()) {
            self.actions.push(Action::WatchEndpoints { on: true });
        }
    }

    fn set_timer(&mut self) {
        let has_queued = self.queue.has_queued();
        let call_at = self.discovery.next_call_at();
        self.actions
            .extend(self.clock.set_timer(has_queued, call_at));
    }

    fn log(&mut self, event: Option<LogEvent>) {
        self.actions
            .extend(event.map(|event| Action::Log { event }));
    }

    /// Returns read access for the mechanisms that decide which request goes to which node.
    fn view(&self) -> DispatchView<'_> {
        DispatchView {
            now: self.clock.now(),
            settings: &self.settings,
            nodes: &self.nodes,
            requests: &self.requests,
            volumes: &self.volumes,
            lease: self.discovery.lease(),
            concurrency: &self.concurrency,
            throttle: &self.throttle,
            latency: &self.latency,
            retries: &self.retries,
        }
    }
}
