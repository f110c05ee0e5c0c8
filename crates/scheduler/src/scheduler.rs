//! The decisions of one host: which requests are sent to a storage node now, which are queued, and which are
//! rejected.
//!
//! State machine: [`Scheduler::step`] takes the time and the events since the last step, and returns the actions
//! to perform ([`crate::api`]). No I/O, and no clock of its own; random draws come from the given seed. This file
//! is the shell: it calls the mechanisms in a fixed order and decides nothing. Each mechanism is a module of the
//! folder `scheduler`, with its constants, the state that it owns, and the risk that it guards against:
//!
//! - `request_flow`: the path of a request through the tables, the queues and the mechanisms;
//! - `demand`, `reservations`, `shares`, `capacity`: what a control interval measures and divides
//!   (docs/design.md);
//! - `concurrency`: units outstanding at a node, and the back-off when answers are late;
//! - `throttle`: requests that a node gets which is late because of other hosts;
//! - `outlier_ejection`: nodes that are silent or fail, and get trial requests only;
//! - `slow_start`: requests that a node gets which has started recently;
//! - `latency`: the time that an attempt should take, and whether one is late;
//! - `dispatch`, `dispatch_queue`, `placement`: which queued request goes to which node, and what blocks it;
//! - `retry_policy`: whether another attempt may follow;
//! - `shedding`: requests that are rejected early because they cannot be in time;
//! - `discovery`, `endpoint_lease`, `fetch_backoff`: which nodes get requests while the endpoint list may be out
//!   of date, and the time of the next call to discovery;
//! - `attempt_outcome`: the effect of an attempt's end on its node, its volume and its request.
//!
//! `introspection` shows the state of the decisions to operators, `rejection_log` the causes of rejections.

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
pub mod introspection;
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
pub use throttle::credibility;

pub(crate) use capacity::NodeCapacity;
pub(crate) use concurrency::ConcurrencyBackoff;
pub(crate) use endpoint_lease::NodeContact;
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

/// The decisions of one host. Memory grows with its nodes, volumes, open requests and keys, and with the requests
/// of the retry budget's window.
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
    /// Actions of this step.
    actions: Vec<Action>,
}

impl Scheduler {
    /// Returns a host without rules; its first step is its start.
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

    /// Sets the rules. `key_cooldown`: time for which a key is blocked after an attempt that may still run.
    pub fn with_rules(
        mut self,
        slow_start: SlowStartPolicy,
        discovery: DiscoveryPolicy,
        retry_budget: Option<RetryBudget>,
        key_cooldown: Duration,
    ) -> Self {
        self.concurrency.set_hosts(slow_start.hosts);
        self.slow_start = SlowStart::new(slow_start, self.settings.units.mean);
        self.discovery = Discovery::new(&discovery);
        self.retries.set_rules(retry_budget, key_cooldown);
        self
    }

    /// Processes the events up to `now`, which never goes back, and returns the actions to perform.
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

    /// Refills all buckets for the ticks that have passed; returns whether any has.
    fn tick(&mut self) -> bool {
        let ticks = self.clock.take_ticks();
        if ticks == 0 {
            return false; // in most steps; a visit of all nodes would cost more than the step itself
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
            // A connection that opens late is no evidence against its node.
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

    /// Reads an update of the endpoint list, and queues requests again whose node accepts none any more.
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

    /// Ends the control interval, if it is over: learns demands and capacities, and divides the capacities anew.
    /// Returns whether it was over.
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
        self.latency.fade();
        true
    }

    /// Sets this host's part of each volume's reservation.
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

    /// Learns the rates that this host can get from the nodes.
    fn learn_capacities(&mut self, interval: f64) {
        let mean_units = self.settings.units.mean;
        for node in self.nodes.values_mut() {
            let is_warm = !node.warm_up.is_active();
            let outstanding = node.attempts.units();
            node.capacity.end_interval(interval, is_warm, outstanding);
            node.delays.fade();
            node.failures.fade();
            let usage = node.capacity.usage_rate();
            node.admission.recover(usage, mean_units, interval);
        }
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

    /// Sends the requests that may go now, and rejects those that cannot be in time. Between ticks it visits only
    /// nodes that changed or whose time has come, so that the cost of one answer does not grow with the number of
    /// nodes.
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
                self.shed_load(id, schedule.next_look);
            }
        }
    }

    /// Counts overdue attempts as late, and ejects nodes that have been silent for too long.
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

    /// Read access for the mechanisms that decide which request goes to which node.
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
