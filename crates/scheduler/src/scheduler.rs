//! The decisions of one host: which requests go to a storage node now, which wait, and which are rejected.
//!
//! State machine: [`Scheduler::step`] takes the time and what has happened since, and returns the actions to
//! perform ([`crate::api`]). No I/O, no clock of its own; chance comes from the given seed. This file
//! is its shell, which hands each event to the mechanism that it concerns and decides nothing; the
//! mechanisms, each with its constants and the danger that it guards against, are the files of the folder
//! `scheduler`:
//!
//! - `requests`: what becomes of a request that comes in, and how one is answered that will not be sent;
//! - `fair_share`: demand, reservations, learnt rates and shares, once a control interval (docs/design.md);
//! - `concurrency`: units out at a node, and the back-off when answers come late;
//! - `throttle`: what a node that is late by others' doing, hangs or fails fast may still get;
//! - `slow_start`: what a node that has just started may get;
//! - `dispatch`, `placement`: which queued request goes to which node, and what blocks it;
//! - `retries`: whether another attempt may follow one that failed;
//! - `shedding`: what is rejected early because it cannot be in time;
//! - `endpoint_lease`: where a request may go whose node's entry of the endpoint list may be out of date;
//! - `outcomes`, `discovery`: what the end of an attempt, or the endpoint list, says of a node.
//!
//! `inspection` shows to operators what the decisions know.

mod concurrency;
mod discovery;
mod dispatch;
mod endpoint_lease;
mod fair_share;
pub mod inspection;
mod outcomes;
mod placement;
mod requests;
mod retries;
mod shedding;
mod slow_start;
mod throttle;

pub use concurrency::concurrency_limit;
pub use fair_share::{demand, reservation_fraction};
pub use retries::{may_reject, may_resend};
pub use slow_start::slow_start_quota;
pub use throttle::credibility;

use crate::api::*;
use crate::histogram::Histogram;
use crate::rates::seconds;
use crate::state::{FlowSample, PendingRequest, SchedulerState, Volume};
use dispatch::{ticks_per_ranking, value_range};
use fair_share::{INTERVAL, TICK};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use requests::MIN_RETRY_AFTER;
use std::time::Duration;

/// The shortest latency objective that a host can keep to.
fn tightest_objective(classes: &[TrafficClass]) -> Duration {
    let objectives = classes.iter().map(|class| class.latency_objective);
    objectives
        .filter(|objective| *objective > TICK)
        .min()
        .unwrap_or(INTERVAL)
}

/// The decisions of one host.
#[derive(Debug)]
pub struct Scheduler {
    rng: Pcg64Mcg,
    traffic_classes: Vec<TrafficClass>,
    plans: Vec<Plan>,
    units: UnitSettings,
    limits: HostLimits,
    slow_start: SlowStartPolicy,
    discovery: DiscoveryPolicy,
    retry_budget: Option<RetryBudget>,
    key_cooldown: Duration,
    tightest_objective: Duration,
    time_per_unit: Histogram,
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
        let value_range = value_range(&traffic_classes, &plans, &units);
        Scheduler {
            rng: Pcg64Mcg::seed_from_u64(seed),
            tightest_objective: tightest_objective(&traffic_classes),
            time_per_unit: requests::time_per_unit(),
            traffic_classes,
            plans,
            units,
            limits,
            slow_start: SlowStartPolicy::default(),
            discovery: DiscoveryPolicy::default(),
            retry_budget: None,
            key_cooldown: Duration::ZERO,
            state: SchedulerState {
                value_range,
                ..SchedulerState::default()
            },
        }
    }

    /// Sets the rules. `key_cooldown`: how long a key rests after an attempt that may still run.
    pub fn with_rules(
        mut self,
        slow_start: SlowStartPolicy,
        discovery: DiscoveryPolicy,
        retry_budget: Option<RetryBudget>,
        key_cooldown: Duration,
    ) -> Self {
        self.slow_start = slow_start;
        self.discovery = discovery;
        self.retry_budget = retry_budget;
        self.key_cooldown = key_cooldown;
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
        // All hosts may start at once, and discovery has capacity for few calls at a time.
        self.state.watch_at = self.discovery.polled.then(|| now + self.jitter(INTERVAL));
    }

    fn jitter(&mut self, max: Duration) -> Duration {
        max.mul_f64(self.rng.random::<f64>())
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
            Event::RequestCancelled { id } => self.state.close(id),
            Event::PlanChanged { plan, facts } => {
                self.plans
                    .resize(self.plans.len().max(plan.0 + 1), Plan::default());
                self.plans[plan.0] = facts;
                self.state.value_range =
                    value_range(&self.traffic_classes, &self.plans, &self.units);
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
            Event::EndpointsConfirmed => self.confirm_endpoints(),
            Event::DiscoveryMoved => self.discovery_moved(),
            Event::FetchRefused { waited } => self.back_off_refused_fetch(waited),
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
        if let (true, Some(key)) = (class.ordered, request.key) {
            self.state.key_order.push(key, request.id);
        }
        // A client's later try has less time left than its first, with which the objective began: it must not
        // pass as fresh before requests that can still be in time.
        let spent = self.state.count_received(&request);
        let objective_at = self.state.now + class.latency_objective.saturating_sub(spent);
        let (id, tie_breaker) = (request.id, self.rng.random());
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
        let smoothed =
            |mean: f64, sample: FlowSample| fair_share::smoothed_demand(mean, &sample, interval);
        let demands =
            self.state
                .measure_demands(interval / seconds(TICK), fair_share::MIN_DEMAND, smoothed);
        self.split_reservations(&demands, interval);
        for node in self.state.nodes.values_mut() {
            fair_share::learn_capacity(node, interval);
            throttle::recover_admission(node, self.units.mean, interval);
        }
        self.state
            .allocate_shares(&demands, |plan| self.plans[plan.0].weight);
        self.state.update_mean_learned_rate();
        self.log_endpoint_lease();
        self.update_slow_start();
        self.state.key_order.remove_idle(self.state.now);
        self.state.expire(
            self.retry_budget
                .as_ref()
                .map_or(INTERVAL, |budget| budget.window + INTERVAL),
        );
        self.time_per_unit.halve_above(fair_share::MAX_TIMES);
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

    /// Brings what is out, answered and timed into line with what is wanted.
    fn reconcile(&mut self) -> Vec<Action> {
        let now = self.state.now;
        self.state
            .act_on_changed_requests(self.limits.max_retry_after);
        if self.state.watch_at.take_if(|at| now >= *at).is_some() {
            self.state.actions.push(Action::WatchEndpoints { on: true });
        }
        let next = match self.state.has_queued() {
            true => self.state.last_tick + TICK,
            false => self.state.last_interval + INTERVAL,
        };
        self.state.wake_at(
            next.min(self.state.watch_at.unwrap_or(next))
                .max(now + TICK / 10),
        );
        std::mem::take(&mut self.state.actions)
    }
}
