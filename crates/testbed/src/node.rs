//! Model of a node: it stores bytes, and simulates the time that its work takes.
//!
//! State machine: [`Node::receive_attempt`], [`Node::cancel`] and [`Node::advance`] return the actions to
//! perform; [`Node::next_event_time`] returns the time of the next call. No I/O and no clock; times are since
//! the start of the scenario. [`crate::serve`] calls it.
//!
//! The node has cores, and a queue that rejects attempts when it is full. It pauses at intervals,
//! defers a part of the work of writes and performs that part in periodic flushes, and has less work
//! on extents that it accessed recently. While it warms up after a start, overload can end its process.
//! Faults slow it, stop it or change its responses.
//!
//! Bounds: `MAX_BYTES` and `MAX_KEYS` of `node/store.rs`, and the queue length of the script.

mod jobs;
mod meter;
mod pauses;
mod script;
mod slow_start;
mod store;

pub use meter::Meter;

use crate::draw::{hash_to_unit, InjectedFault};
use bytes::Bytes;
use grebecleat_settings::{FaultKind, NodeSpec, Settings};
use grebecleat_wire::pb;
use jobs::{Job, Jobs};
use pauses::Pauses;
use script::{ProcessChange, ProcessScript};
use slow_start::SlowStart;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;
use store::ExtentStore;

/// The words that separate the hashes of different purposes.
const NOISE_WORD: u64 = 1;
const HEAVY_TAIL_WORD: u64 = 2;
const FAST_ERROR_WORD: u64 = 3;
const LOST_RESPONSE_WORD: u64 = 4;
const FIRST_PAUSE_WORD: u64 = 6;
/// The bits by which the hash for lost responses differs from other hashes of the attempt.
const LOST_RESPONSE_BITS: u64 = 0x10_0000;
/// The fraction of attempts that a heavy tail slows.
const HEAVY_TAIL_FRACTION: f64 = 0.02;
/// Lowest speed of a node; it bounds a division.
const MIN_SPEED: f64 = 1e-3;
/// Lowest fraction of its speed that a noisy neighbor leaves a node.
const MIN_NEIGHBOR_FRACTION: f64 = 0.05;
/// A noisy neighbor is active in the first `NEIGHBOR_ACTIVE` of each `NEIGHBOR_CYCLE` seconds.
const NEIGHBOR_CYCLE: u64 = 4;
const NEIGHBOR_ACTIVE: u64 = 2;
/// Least work of a unit in seconds, and least length of a fault in seconds; they bound divisions.
const MIN_UNIT_WORK: f64 = 1e-6;
const MIN_SECONDS: f64 = 1e-3;

/// The state of a node's process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProcessState {
    /// The process accepts attempts.
    Up,
    /// The process rejects attempts, and finishes the accepted ones.
    Draining,
    /// The process does not run.
    Down,
}

/// An action that a node's model requests.
#[derive(Debug, PartialEq)]
pub enum NodeAction {
    /// Sends a response to an attempt.
    Response {
        /// The connection on which the attempt arrived.
        conn: u64,
        /// The response.
        response: pb::AttemptResponse,
    },
    /// Records that a write took effect.
    Effect {
        /// The attempt.
        attempt: u64,
        /// The idempotency key of the write.
        id: Bytes,
    },
    /// Announces that the process is up.
    Up {
        /// The number of starts of the process.
        started: u64,
    },
    /// Announces that the process is draining.
    Draining,
    /// Closes the connections, as the process is down.
    Down {
        /// Whether overload ended the process.
        overloaded: bool,
    },
}

/// The model of one node.
#[derive(Debug)]
pub struct Node {
    spec: NodeSpec,
    settings: Arc<Settings>,
    seed: u64,
    faults: Vec<InjectedFault>,
    process_state: ProcessState,
    script: ProcessScript,
    starts: u64,
    slow_start: SlowStart,
    jobs: Jobs,
    pauses: Pauses,
    /// The most recently accessed extents, which take less work.
    recent_extents: VecDeque<u64>,
    store: ExtentStore,
}

impl Node {
    /// Returns a warm node without data, with the faults that affect it.
    pub fn new(
        spec: NodeSpec,
        settings: Arc<Settings>,
        seed: u64,
        faults: &[InjectedFault],
    ) -> Self {
        let node_faults = faults.iter().filter(|fault| fault.nodes.contains(&spec.id));
        let faults: Vec<InjectedFault> = node_faults.cloned().collect();
        let script = ProcessScript::new(spec.id, seed, &faults);
        let random = hash_to_unit(seed, &[u64::from(spec.id), FIRST_PAUSE_WORD]);
        let pauses = Pauses::new(spec.pause_every.mul_f64(random));
        Node {
            spec,
            settings,
            seed,
            faults,
            process_state: ProcessState::Up,
            script,
            starts: 1,
            slow_start: SlowStart::default(),
            jobs: Jobs::default(),
            pauses,
            recent_extents: VecDeque::new(),
            store: ExtentStore::default(),
        }
    }

    /// Returns the node's specification in the script.
    pub fn spec(&self) -> &NodeSpec {
        &self.spec
    }

    /// Returns the state of the node's process.
    pub fn process_state(&self) -> ProcessState {
        self.process_state
    }

    /// Returns the number of starts of the process.
    pub fn starts(&self) -> u64 {
        self.starts
    }

    /// Returns the time of the last start; `None` for a node that was warm when the scenario began.
    pub fn cold_since(&self) -> Option<Duration> {
        self.slow_start.cold_since()
    }

    /// Returns the units a second that the node serves warm and without faults.
    pub fn capacity(&self) -> f64 {
        let classes = &self.settings.traffic_classes;
        let shares: f64 = classes.iter().map(|class| class.share).sum();
        let work: f64 = classes
            .iter()
            .map(|class| class.share * class.unit_work.as_secs_f64())
            .sum::<f64>()
            / shares;
        f64::from(self.spec.cores) * self.spec.speed / work.max(MIN_UNIT_WORK)
    }

    fn active_fault(&self, kind: FaultKind, now: Duration) -> Option<&InjectedFault> {
        let mut faults = self.faults.iter();
        faults.find(|fault| fault.kind == kind && fault.is_active(now))
    }

    /// Returns the speed of the node now, with its warm-up and its faults.
    fn speed(&self, now: Duration) -> f64 {
        let speed_fraction = self
            .slow_start
            .speed_fraction(now, &self.settings.rules.cold);
        let mut speed = self.spec.speed * speed_fraction;
        if let Some(fault) = self.active_fault(FaultKind::Slow, now) {
            speed /= fault.magnitude.max(1.0);
        }
        if let Some(fault) = self.active_fault(FaultKind::Neighbour, now) {
            if (now - fault.start).as_secs() % NEIGHBOR_CYCLE < NEIGHBOR_ACTIVE {
                speed *= (1.0 - fault.magnitude).max(MIN_NEIGHBOR_FRACTION);
            }
        }
        if let Some(fault) = self.active_fault(FaultKind::Ageing, now) {
            let length = fault.duration.as_secs_f64().max(MIN_SECONDS);
            let elapsed = (now - fault.start).as_secs_f64() / length;
            speed /= 1.0 + (fault.magnitude.max(1.0) - 1.0) * elapsed;
        }
        speed.max(MIN_SPEED)
    }

    /// Returns the work of an attempt, and defers a part of the work of a write.
    fn work_of(&mut self, attempt: &pb::Attempt, now: Duration) -> Duration {
        let classes = &self.settings.traffic_classes;
        let class = &classes[attempt.traffic_class as usize % classes.len()];
        let bytes = attempt.id.iter();
        let id = bytes.fold(0u64, |hash, byte| hash.wrapping_mul(131) + u64::from(*byte));
        let noise = 0.5 + hash_to_unit(self.seed, &[id, NOISE_WORD]);
        let mut work = class.unit_work.mul_f64(attempt.units * noise);
        if let Some(fault) = self.active_fault(FaultKind::HeavyTail, now) {
            if hash_to_unit(self.seed, &[id, HEAVY_TAIL_WORD]) < HEAVY_TAIL_FRACTION {
                work = work.mul_f64(fault.magnitude.max(1.0));
            }
        }
        if attempt.number == 0 && self.recent_extents.contains(&attempt.extent) {
            work = work.mul_f64(1.0 - self.spec.cache_savings);
        }
        self.recent_extents.push_back(attempt.extent);
        if self.recent_extents.len() > self.spec.cached_keys {
            self.recent_extents.pop_front();
        }
        if attempt.write {
            let deferred = work.mul_f64(self.spec.deferred_fraction);
            self.pauses.defer(deferred);
            work -= deferred;
        }
        work
    }

    /// Handles an attempt that arrives; its host still waits for `left`.
    pub fn receive_attempt(
        &mut self,
        now: Duration,
        conn: u64,
        attempt: pb::Attempt,
        left: Duration,
        actions: &mut Vec<NodeAction>,
    ) {
        if attempt.node != self.spec.id {
            return actions.push(rejection(conn, &attempt, pb::Result::WrongNode));
        }
        match self.process_state {
            ProcessState::Down => return,
            ProcessState::Draining => {
                return actions.push(rejection(conn, &attempt, pb::Result::Full));
            }
            ProcessState::Up => {}
        }
        // Each attempt that arrives loads a cold node, even one that the node rejects.
        let capacity = self.capacity();
        let rule = &self.settings.rules.cold;
        let slow_start = &mut self.slow_start;
        if slow_start.is_overloaded(now, attempt.units, rule, capacity) {
            self.stop();
            return actions.push(NodeAction::Down { overloaded: true });
        }
        if self.active_fault(FaultKind::Hang, now).is_some() {
            return;
        }
        if self.fails_fast(&attempt, now) {
            return actions.push(rejection(conn, &attempt, pb::Result::Error));
        }
        let queue_full = self.jobs.queued() >= self.spec.queue;
        if queue_full || (attempt.write && self.store.is_full(attempt.data.len())) {
            return actions.push(rejection(conn, &attempt, pb::Result::Full));
        }
        let work = self.work_of(&attempt, now);
        self.jobs.enqueue(Job {
            conn,
            attempt,
            deadline: now + left,
            work,
        });
        self.start_jobs(now, actions);
    }

    /// Returns whether a fault makes the node respond to an attempt with an error at once.
    fn fails_fast(&self, attempt: &pb::Attempt, now: Duration) -> bool {
        let id = attempt.attempt ^ u64::from(attempt.node) << 32;
        let fault = self.active_fault(FaultKind::FastErrors, now);
        fault.is_some_and(|fault| hash_to_unit(self.seed, &[id, FAST_ERROR_WORD]) < fault.magnitude)
    }

    /// Cancels an attempt that is queued or runs.
    pub fn cancel(&mut self, conn: u64, attempt: u64) {
        self.jobs.cancel(conn, attempt);
    }

    /// Starts queued attempts on the free cores, unless the node pauses. Expired ones are rejected.
    fn start_jobs(&mut self, now: Duration, actions: &mut Vec<NodeAction>) {
        while self.has_free_core() && now >= self.pauses.paused_until() {
            let Some(job) = self.jobs.dequeue() else {
                return;
            };
            if now >= job.deadline {
                actions.push(rejection(job.conn, &job.attempt, pb::Result::Expired));
                continue;
            }
            let end = now + job.work.div_f64(self.speed(now));
            self.jobs.start(end, job);
        }
    }

    fn has_free_core(&self) -> bool {
        self.jobs.running() < self.spec.cores as usize
    }

    /// Returns the time of the node's next timed action.
    pub fn next_event_time(&self) -> Option<Duration> {
        let change = self.script.next_time();
        if self.process_state == ProcessState::Down {
            return change;
        }
        let startable = self.jobs.queued() > 0 && self.has_free_core();
        let start = startable.then_some(self.pauses.paused_until());
        let times = [change, self.jobs.next_end(), start];
        times.into_iter().flatten().min()
    }

    /// Performs all timed actions that are due by `now`: changes of the process, ends of attempts, pauses, and
    /// starts of attempts.
    pub fn advance(&mut self, now: Duration, meter: &mut Meter, actions: &mut Vec<NodeAction>) {
        while let Some(change) = self.script.pop_due(now) {
            actions.extend(self.change_process(change, now));
        }
        while let Some((end, job)) = self.jobs.pop_finished(now) {
            self.finish(end, now, job, meter, actions);
        }
        let speed = self.speed(now);
        self.pauses.advance(now, &self.spec, speed);
        self.start_jobs(now, actions);
    }

    fn change_process(&mut self, change: ProcessChange, now: Duration) -> Option<NodeAction> {
        match change {
            ProcessChange::Drain if self.process_state == ProcessState::Up => {
                self.process_state = ProcessState::Draining;
                Some(NodeAction::Draining)
            }
            ProcessChange::Undrain if self.process_state == ProcessState::Draining => {
                self.process_state = ProcessState::Up;
                let started = self.starts;
                Some(NodeAction::Up { started })
            }
            ProcessChange::Stop if self.process_state != ProcessState::Down => {
                self.stop();
                Some(NodeAction::Down { overloaded: false })
            }
            ProcessChange::Start => {
                self.starts += 1;
                self.process_state = ProcessState::Up;
                self.slow_start.begin(now);
                let started = self.starts;
                Some(NodeAction::Up { started })
            }
            _ => None,
        }
    }

    /// Performs an attempt whose work ended at `end`, and responds.
    fn finish(
        &mut self,
        end: Duration,
        now: Duration,
        job: Job,
        meter: &mut Meter,
        actions: &mut Vec<NodeAction>,
    ) {
        if self.jobs.take_cancelled(&job) {
            return;
        }
        let attempt = &job.attempt;
        meter.add(self.period(end), attempt.volume, attempt.units);
        let mut data = Bytes::new();
        let mut superseded = None;
        if attempt.write {
            let result = self.store.write_once(attempt, now);
            superseded = result.superseded;
            if result.performed {
                actions.push(NodeAction::Effect {
                    attempt: attempt.attempt,
                    id: attempt.piece.clone(),
                });
            }
        } else {
            data = self.store.read(attempt);
        }
        if self.loses_response(attempt, now) {
            return;
        }
        let busy = self.jobs.running() as f64 / f64::from(self.spec.cores);
        let response = pb::AttemptResponse {
            attempt: attempt.attempt,
            result: pb::Result::Ok.into(),
            reported: self.reported_usage(attempt, now, meter),
            others: 0.0,
            busy: Some(busy),
            data,
            superseded,
        };
        actions.push(NodeAction::Response {
            conn: job.conn,
            response,
        });
    }

    /// Returns whether a fault loses the response to an attempt.
    fn loses_response(&self, attempt: &pb::Attempt, now: Duration) -> bool {
        let id = attempt.attempt ^ LOST_RESPONSE_BITS;
        let fault = self.active_fault(FaultKind::AnswerLost, now);
        fault.is_some_and(|fault| {
            hash_to_unit(self.seed, &[id, LOST_RESPONSE_WORD]) < fault.magnitude
        })
    }

    fn period_seconds(&self) -> f64 {
        self.settings.units.meter.as_secs_f64().max(MIN_SECONDS)
    }

    /// Returns the number of the metering period at a time.
    fn period(&self, at: Duration) -> u64 {
        (at.as_secs_f64() / self.period_seconds()) as u64
    }

    /// Returns the volume's usage in percent of its plan. The report is late by one period: it is
    /// for the complete period before the last complete one.
    fn reported_usage(&self, attempt: &pb::Attempt, now: Duration, meter: &Meter) -> Option<f64> {
        let period = self.period(now).checked_sub(2)?;
        let is_metered = !self.settings.units.meter.is_zero() && attempt.plan_rate > 0.0;
        let units = meter.units(period, attempt.volume);
        is_metered.then(|| units / self.period_seconds() / attempt.plan_rate * 100.0)
    }

    /// Ends the process. Its data is retained.
    fn stop(&mut self) {
        self.process_state = ProcessState::Down;
        self.jobs.clear();
        self.recent_extents.clear();
    }
}

/// Returns the response to an attempt that the node did not perform.
fn rejection(conn: u64, attempt: &pb::Attempt, result: pb::Result) -> NodeAction {
    let response = pb::AttemptResponse {
        attempt: attempt.attempt,
        result: result.into(),
        ..Default::default()
    };
    NodeAction::Response { conn, response }
}
