//! The decisions of one host: which requests go to a storage node now, which wait, and which are rejected.
//!
//! State machine: [`Scheduler::step`] takes the time and what has happened since, and returns the actions to
//! perform ([`crate::api`]). No I/O, no clock of its own; chance comes from the given seed. This file
//! is its shell, which hands each event to the mechanism that it concerns and decides nothing; the
//! mechanisms, each with its constants and the danger that it guards against, are the files of the folder
//! `scheduler`:
//!
//! - `requests`: what becomes of a request that comes in, and how one is answered that will not be sent;
//! - `demand`, `reservations`, `shares`, `capacity`: what the control interval learns and divides (docs/design.md);
//! - `concurrency`: units out at a node, and the back-off when answers come late;
//! - `throttle`: what a node that is late by others' doing, hangs or fails fast may still get;
//! - `outlier_ejection`: which nodes get trial requests only;
//! - `latency`: the time that an attempt should take, and whether one is late;
//! - `slow_start`: what a node that has just started may get;
//! - `dispatch`, `placement`: which queued request goes to which node, and what blocks it;
//! - `retry_policy`: whether another attempt may follow one that failed;
//! - `shedding`: what is rejected early because it cannot be in time;
//! - `endpoint_lease`: which nodes may get requests while the endpoint list may be out of date;
//! - `fetch_backoff`: the time of the next call to discovery;
//! - `attempt_outcome`, `endpoint_updates`: the effect of an attempt's end, or of the endpoint list, on a node.
//!
//! `inspection` shows to operators what the decisions know.

mod attempt_outcome;
mod capacity;
mod clock;
mod concurrency;
mod demand;
mod dispatch;
mod endpoint_lease;
mod endpoint_updates;
mod fetch_backoff;
pub mod inspection;
mod jitter;
mod latency;
mod outlier_ejection;
mod placement;
mod requests;
mod reservations;
mod retry_policy;
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
pub(crate) use retry_policy::RetryPolicy;
pub(crate) use shares::Flows;
pub(crate) use slow_start::WarmUp;
pub(crate) use throttle::AdmissionLevel;

use crate::api::*;
use crate::rates::seconds;
use crate::state::{PendingRequest, SchedulerState, Volume};
use clock::{INTERVAL, TICK};
use concurrency::ConcurrencyLimiter;
use dispatch::ticks_per_ranking;
use endpoint_lease::EndpointLease;
use fetch_backoff::FetchBackoff;
use jitter::Jitter;
use latency::LatencyModel;
use requests::MIN_RETRY_AFTER;
use shares::{allocate_shares, measure_demands, VolumeDemands};
use slow_start::SlowStart;
use std::time::Duration;
use throttle::{count_overdue, AdmissionThrottle};

/// The decisions of one host.
#[derive(Debug)]
pub struct Scheduler {
    jitter: Jitter,
    traffic_classes: Vec<TrafficClass>,
    plans: Vec<Plan>,
    units: UnitSettings,
    limits: HostLimits,
    slow_start: SlowStart,
    concurrency: ConcurrencyLimiter,
    throttle: AdmissionThrottle,
    latency: LatencyModel,
    endpoint_lease: EndpointLease,
    fetch_backoff: FetchBackoff,
    retries: RetryPolicy,
    state: SchedulerState,
}

impl Scheduler {
    /// A host without rules; its first step is its start.
    pub fn new(
        seed: u64,
        traffic_classes: Vec<TrafficClass>,
        plans: Vec<Plan>,
        units: UnitSettings,
        limits: HostLimits,
    ) -> Self {
        let latency = LatencyModel::new(&traffic_classes);
        let objective = latency.tightest_objective();
        let slow_start = SlowStartPolicy::default();
        Scheduler {
            jitter: Jitter::new(seed),
            concurrency: ConcurrencyLimiter::new(objective, units.mean, slow_start.hosts),
            throttle: AdmissionThrottle::new(&traffic_classes, &plans, &units),
            latency,
            slow_start: SlowStart::new(slow_start, units.mean),
            traffic_classes,
            plans,
            units,
            endpoint_lease: EndpointLease::new(None),
            fetch_backoff: FetchBackoff::new(&DiscoveryPolicy::default()),
            retries: RetryPolicy::new(limits.max_attempts, None, Duration::ZERO),
            limits,
            state: SchedulerState::default(),
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
        let objective = self.latency.tightest_objective();
        self.concurrency = ConcurrencyLimiter::new(objective, self.units.mean, slow_start.hosts);
        self.slow_start = SlowStart::new(slow_start, self.units.mean);
        self.endpoint_lease = EndpointLease::new(discovery.lease);
        self.fetch_backoff = FetchBackoff::new(&discovery);
        self.retries = RetryPolicy::new(self.limits.max_attempts, retry_budget, key_cooldown);
        self
    }

    /// Takes in what has happened up to `now`, which never goes back, and returns what to do.
    pub fn step(&mut self, now: Duration, events: Vec<Event>) -> Vec<Action> {
        if self.state.timer_at.is_none() {
            self.start(now);
        }
        self.state.now = now;
        self.state.rejected.clear();
        let ticks =
            (now.saturating_sub(self.state.last_tick).as_micros() / TICK.as_micros()) as u32;
        self.state.refill(ticks, TICK);
        for event in events {
            self.handle_event(event);
        }
        let interval_over = now >= self.state.last_interval + INTERVAL;
        if interval_over {
            self.run_control_interval();
        }
        self.dispatch(ticks > 0, interval_over);
        self.reconcile()
    }

    fn start(&mut self, now: Duration) {
        self.state.last_tick = now;
        self.state.last_interval = now;
        self.fetch_backoff.start(now, &mut self.jitter);
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::RequestReceived(request) => self.receive_request(request),
            Event::ResponseStarted { id, .. } => {
                if let Some(pending) = self.state.requests.get_mut(&id) {
                    pending.response_started = true;
                }
            }
            Event::AttemptEnded(end) => {
                self.record_outcome(&end);
                self.retry_or_answer(&end);
            }
            // A connection that comes up late is no evidence against its node.
            Event::AttemptSent { id, node, at } => self.state.set_sent(id, node, at),
            Event::RequestCancelled { id } => self.state.close(id, &mut self.retries),
            Event::PlanChanged { plan, facts } => {
                self.plans
                    .resize(self.plans.len().max(plan.0 + 1), Plan::default());
                self.plans[plan.0] = facts;
                self.throttle
                    .set_values(&self.traffic_classes, &self.plans, &self.units);
            }
            Event::VolumeChanged {
                volume,
                terms: Some(terms),
            } => {
                let new = || Volume::new(terms, self.plans[terms.plan.0].reservation);
                self.state.retired.remove(&volume);
                self.state
                    .volumes
                    .entry(volume)
                    .or_insert_with(new)
                    .set_terms(terms);
            }
            Event::VolumeChanged {
                volume,
                terms: None,
            } => {
                self.reject_queued(volume);
                self.state.retired.insert(volume);
            }
            Event::EndpointUpdate { kind, endpoints } => self.update_endpoints(kind, endpoints),
            Event::EndpointsConfirmed => self.endpoint_lease.renew(self.state.now),
            Event::DiscoveryMoved => {
                self.fetch_backoff.reset();
                self.endpoint_lease.discovery_moved(self.state.now);
            }
            Event::FetchRefused { waited } => {
                self.fetch_backoff
                    .call_refused(waited, self.state.now, &mut self.jitter);
            }
            Event::TimerFired { .. } | Event::HealthChecked { .. } | Event::PeerMessage { .. } => {}
        }
    }

    fn receive_request(&mut self, request: Request) {
        let class = &self.traffic_classes[request.traffic_class.0];
        let plan = &self.plans[request.plan.0];
        let new_volume = || {
            Volume::new(
                VolumeTerms::even(request.plan, plan, request.hosts),
                plan.reservation,
            )
        };
        self.state
            .volumes
            .entry(request.volume)
            .or_insert_with(new_volume);
        let ordered_key = request.key.filter(|_| class.ordered);
        self.retries
            .request_received(request.id, ordered_key, self.state.now);
        // A client's later try has less time left than its first, with which the objective began: it must not
        // pass as fresh before requests that can still be in time.
        let spent = self.state.count_received(&request);
        let objective_at = self.state.now + class.latency_objective.saturating_sub(spent);
        let (id, tie_breaker) = (request.id, self.jitter.fraction());
        let pending = PendingRequest::new(request, self.state.now, objective_at, tie_breaker);
        self.state.requests.insert(id, pending);
        self.enqueue(id);
    }

    /// A volume is served no more: what is out stays out, and its end is heard of; what is queued would wait
    /// for nothing.
    fn reject_queued(&mut self, volume: VolumeId) {
        for id in self.state.queued_of_volume(volume) {
            self.reject_or_fail(id, MIN_RETRY_AFTER);
        }
    }

    /// The control interval: learns what nodes do, and divides it anew.
    fn run_control_interval(&mut self) {
        let interval = seconds(self.state.now - self.state.last_interval);
        self.state.last_interval = self.state.now;
        let ticks = interval / seconds(TICK);
        let demands = measure_demands(self.state.nodes.values_mut(), ticks, interval);
        self.split_reservations(&demands, interval);
        for node in self.state.nodes.values_mut() {
            let is_warm = !node.warm_up.is_active();
            let outstanding = node.attempts.units();
            node.capacity.end_interval(interval, is_warm, outstanding);
            node.delays.fade();
            node.failures.fade();
            let usage = node.capacity.usage_rate();
            node.admission.recover(usage, self.units.mean, interval);
        }
        let nodes = self.state.nodes.values_mut();
        allocate_shares(nodes, &self.state.volumes, &self.plans, &demands);
        self.concurrency.update_mean_rate(self.state.nodes.values());
        if let Some(event) = self.endpoint_lease.state_change(self.state.now) {
            self.state.log(event);
        }
        self.slow_start
            .update(self.state.nodes.values_mut(), self.state.now);
        self.retries.expire(self.state.now);
        self.state.drop_retired_volumes();
        self.latency.fade();
    }

    /// Sets this host's part of each volume's reservation.
    fn split_reservations(&mut self, demands: &VolumeDemands, interval: f64) {
        let now = self.state.now;
        let meter = self.units.meter;
        for (id, volume) in &mut self.state.volumes {
            let own_demand = demands.get(id).copied().unwrap_or(0.0);
            let reservation = self.plans[volume.plan.0].reservation;
            let hosts = volume.hosts;
            volume
                .reservation
                .end_interval(own_demand, reservation, hosts, interval, meter, now);
        }
    }

    /// Between ticks only those nodes are looked at where something changed or a time has come: with many
    /// nodes, an answer of one must not cost a look at all.
    fn dispatch(&mut self, ticked: bool, interval_over: bool) {
        if ticked {
            self.detect_silence();
        }
        let tick = (self.state.last_tick.as_nanos() / TICK.as_nanos()) as u32;
        self.assign_unassigned(ticked, tick);
        for node in self.state.nodes_to_visit(ticked || interval_over) {
            while let Some(id) = self.next_dispatchable(node) {
                self.send_attempt(id, node);
            }
            let every = ticks_per_ranking(self.state.nodes[&node].queue.len());
            if ticked && tick.is_multiple_of(every) {
                self.shed_load(node, TICK * (every - 1));
            }
        }
    }

    /// Counts overdue attempts as late, and ejects nodes that have been silent for too long.
    fn detect_silence(&mut self) {
        let now = self.state.now;
        let bound = self.latency.overdue_bound();
        let is_late = |units, sent| bound.is_passed(units, sent, now);
        self.state.prune_active_nodes();
        for id in &self.state.active_nodes {
            let Some(node) = self.state.nodes.get_mut(id) else {
                continue;
            };
            for _ in 0..count_overdue(node, &mut self.state.requests, is_late) {
                self.throttle.record(&mut node.admission, now, true);
            }
            node.capacity.observe_queue(!node.queue.is_empty());
            let oldest_sent = node.attempts.oldest_sent();
            let objective = self.latency.tightest_objective();
            let silence = node.failures.silence(oldest_sent, objective, now);
            let event = silence.and_then(|reason| node.eject(reason));
            let actions = &mut self.state.actions;
            actions.extend(event.map(|event| Action::Log { event }));
        }
    }

    /// Brings what is out, answered and timed into line with what is wanted.
    fn reconcile(&mut self) -> Vec<Action> {
        let now = self.state.now;
        self.state
            .act_on_changed_requests(self.limits.max_retry_after, &mut self.retries);
        if self.fetch_backoff.take_due(now) {
            self.state.actions.push(Action::WatchEndpoints { on: true });
        }
        let next = match self.state.has_queued() {
            true => self.state.last_tick + TICK,
            false => self.state.last_interval + INTERVAL,
        };
        self.state.wake_at(
            next.min(self.fetch_backoff.next_call_at().unwrap_or(next))
                .max(now + TICK / 10),
        );
        std::mem::take(&mut self.state.actions)
    }
}
