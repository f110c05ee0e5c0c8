//! A storage node, as one host sees it.

use crate::api::{
    Action, EjectionReason, Endpoint, LogEvent, NodeId, NodeState, Request, RequestId, ShardId,
    VolumeId, ZoneId,
};
use crate::histogram::Histogram;
use crate::probing_window::ProbingWindow;
use crate::rates::MeanRate;
use crate::request_queue::RequestQueue;
use crate::scheduler::NodeContact;
use crate::state::PendingRequest;
use crate::token_bucket::TokenBucket;
use std::collections::BTreeMap;
use std::time::Duration;

/// What one flow did since the last sample. Units.
#[derive(Debug, Clone, Copy)]
pub struct FlowSample {
    /// Sent.
    pub used: f64,
    /// Queued now.
    pub backlog: f64,
    /// Queued, mean over the ticks.
    pub queued: f64,
    /// Out at the node, mean over the ticks.
    pub outstanding: f64,
}

/// A flow: one volume's requests at one node. Units; rates are units a second.
#[derive(Debug, Default)]
pub struct Flow {
    /// Out at the node now.
    pub outstanding: f64,
    /// Queued now.
    pub queued: f64,
    /// Sent since the last sample.
    pub used: f64,
    /// Sum of `queued` over the ticks since the last sample.
    pub queued_sum: f64,
    /// Sum of `outstanding` over the ticks since the last sample.
    pub outstanding_sum: f64,
    /// Rate that it could use, smoothed.
    pub demand: f64,
    /// Bucket of its fair share beyond the reservation; None: none was allocated yet.
    pub spare: Option<TokenBucket>,
}

impl Flow {
    /// What it did since the last call, over so many ticks.
    pub fn take_sample(&mut self, ticks: f64) -> FlowSample {
        let sample = FlowSample {
            used: self.used,
            backlog: self.queued,
            queued: self.queued_sum / ticks,
            outstanding: self.outstanding_sum / ticks,
        };
        self.used = 0.0;
        self.queued_sum = 0.0;
        self.outstanding_sum = 0.0;
        sample
    }

    /// Adds tokens and sums of so many ticks, `seconds` in all.
    fn advance(&mut self, ticks: f64, seconds: f64) {
        if let Some(spare) = &mut self.spare {
            spare.refill(seconds);
        }
        self.queued_sum += self.queued * ticks;
        self.outstanding_sum += self.outstanding * ticks;
    }
}

/// What a node answered since the last control interval.
#[derive(Debug, Default)]
pub struct IntervalStats {
    /// Units completed.
    pub completed_units: f64,
    /// Completed answers that were late.
    pub late: f64,
    /// Completed answers.
    pub completed: f64,
    /// Answers that its queue was full.
    pub queue_full: f64,
    /// Requests were queued here meanwhile.
    pub had_queue: bool,
    /// A volume was queued here below its reservation.
    pub below_reservation: bool,
}

impl IntervalStats {
    /// Counts a completed answer.
    pub fn add_completed(&mut self, units: f64, late: bool) {
        self.completed_units += units;
        self.completed += 1.0;
        self.late += f64::from(u8::from(late));
    }
}

/// A node and what this host has learnt of it. Units; rates are units a second.
#[derive(Debug)]
pub struct Node {
    /// Its id.
    pub id: NodeId,
    /// Its zone.
    pub zone: ZoneId,
    /// The shard that it holds.
    pub shard: ShardId,
    /// What the endpoint list says of it.
    pub state: NodeState,
    /// When its process last started; None: long ago.
    pub started: Option<Duration>,
    /// Nothing goes there before then.
    pub accepts_from: Duration,
    /// This host's quota of what it bears while it warms up; None: it is warm.
    pub slow_start: Option<TokenBucket>,
    /// Search for the rate that this host can get from it.
    pub window: ProbingWindow,
    /// Bucket of the window's estimate.
    pub tokens: TokenBucket,
    /// Units out.
    pub outstanding: f64,
    /// Attempts out, and when each was sent.
    pub attempts: BTreeMap<RequestId, Duration>,
    /// Requests queued for it.
    pub queue: RequestQueue,
    /// Volumes that use it.
    pub flows: BTreeMap<VolumeId, Flow>,
    /// What it answered since the last control interval.
    pub stats: IntervalStats,
    /// Rate that this host learnt that it does; 0: not known yet.
    pub learned_rate: f64,
    /// Rate done here through this host, over a long time.
    pub usage: MeanRate,
    /// Rate reserved here through this host.
    pub reserved_rate: f64,
    /// Times of its answers beyond the work itself.
    pub delays: Histogram,
    /// Units sent by traffic class, smoothed.
    pub traffic_mix: Vec<f64>,
    /// Factor on its concurrency limit, over 0 to 1.
    pub concurrency_factor: f64,
    /// How far down the scale of values it takes requests: 1 all, 0 almost none.
    pub admission_level: f64,
    /// When the admission level last moved.
    pub admission_changed: Duration,
    /// Fraction of its answers that were late, smoothed.
    pub late_fraction: f64,
    /// When it last completed an attempt, or came up.
    pub last_success: Duration,
    /// Failures in a row.
    pub consecutive_failures: u32,
    /// When it was last sent something; 0: never.
    pub last_sent: Duration,
    /// Evidence that it accepts requests.
    pub contact: NodeContact,
}

impl Node {
    /// A node not heard of before: gone until its endpoint is read. `usage`: what stands for its own.
    pub fn new(
        endpoint: &Endpoint,
        window: ProbingWindow,
        delays: Histogram,
        traffic_classes: usize,
        usage: MeanRate,
    ) -> Self {
        Node {
            id: endpoint.node,
            zone: endpoint.zone,
            shard: endpoint.shard,
            state: NodeState::Gone,
            started: endpoint.started,
            accepts_from: Duration::ZERO,
            slow_start: None,
            tokens: TokenBucket::new(window.estimate, window.estimate, window.estimate),
            window,
            outstanding: 0.0,
            attempts: BTreeMap::new(),
            queue: RequestQueue::default(),
            flows: BTreeMap::new(),
            stats: IntervalStats::default(),
            learned_rate: 0.0,
            usage,
            reserved_rate: 0.0,
            delays,
            traffic_mix: vec![0.0; traffic_classes],
            concurrency_factor: 1.0,
            admission_level: 0.0,
            admission_changed: Duration::ZERO,
            late_fraction: 0.0,
            last_success: Duration::ZERO,
            consecutive_failures: 0,
            last_sent: Duration::ZERO,
            contact: NodeContact::default(),
        }
    }

    /// Takes over what the endpoint list says of it; whether it came up by that, or started anew.
    pub fn update(&mut self, endpoint: &Endpoint) -> bool {
        let changed = self.state != NodeState::Ready || self.started != endpoint.started;
        self.zone = endpoint.zone;
        self.shard = endpoint.shard;
        self.state = endpoint.state;
        self.started = endpoint.started;
        changed && endpoint.state == NodeState::Ready
    }

    /// It has come up: what was held against its former process is forgotten. Nothing goes there before
    /// `accepts_from`.
    pub fn reset(&mut self, now: Duration, accepts_from: Duration) {
        self.consecutive_failures = 0;
        self.concurrency_factor = 1.0;
        self.last_success = now;
        self.admission_level = 1.0;
        self.accepts_from = accepts_from;
        self.slow_start = None;
    }

    /// Counts a completed attempt of so many units.
    pub fn completed(&mut self, units: f64, late: bool, now: Duration) {
        self.stats.add_completed(units, late);
        self.last_success = now;
        self.consecutive_failures = 0;
    }

    /// Lets older observations weigh less; `mix_retention`: what stays of the traffic mix.
    pub fn fade(&mut self, mix_retention: f64) {
        for units in &mut self.traffic_mix {
            *units *= mix_retention;
        }
        self.delays.halve();
        self.consecutive_failures /= 2;
    }

    /// Adds tokens and sums of so many ticks, `seconds` in all.
    pub fn advance(&mut self, ticks: f64, seconds: f64) {
        self.tokens.refill(seconds);
        if let Some(slow_start) = &mut self.slow_start {
            slow_start.refill(seconds);
        }
        for flow in self.flows.values_mut() {
            flow.advance(ticks, seconds);
        }
    }

    /// An attempt of the request goes out.
    pub fn attempt_sent(&mut self, request: &Request, now: Duration) {
        let flow = self.flows.entry(request.volume).or_default();
        self.outstanding += request.units;
        flow.outstanding += request.units;
        flow.used += request.units;
        self.tokens.take(request.units);
        if let Some(slow_start) = &mut self.slow_start {
            slow_start.take(request.units);
        }
        self.traffic_mix[request.traffic_class.0] += request.units;
        self.attempts.insert(request.id, now);
        self.last_sent = now;
    }

    /// An attempt of the request is over; returns when it was sent, if it was out.
    pub fn attempt_ended(&mut self, request: &Request) -> Option<Duration> {
        let sent = self.attempts.remove(&request.id)?;
        self.outstanding -= request.units;
        self.flows.entry(request.volume).or_default().outstanding -= request.units;
        Some(sent)
    }

    /// Marks the attempts out here that are late by now, and returns how many were not marked before. One is
    /// late after `time_per_unit` for each unit and `queueing` beside that.
    pub fn count_overdue(
        &self,
        requests: &mut BTreeMap<RequestId, PendingRequest>,
        now: Duration,
        time_per_unit: Duration,
        queueing: Duration,
    ) -> usize {
        let mut overdue = 0;
        for (id, sent) in &self.attempts {
            let Some(pending) = requests
                .get_mut(id)
                .filter(|pending| !pending.lateness_counted)
            else {
                continue;
            };
            let work = time_per_unit.mul_f64(pending.request.units);
            pending.lateness_counted = now > *sent + work + queueing;
            overdue += usize::from(pending.lateness_counted);
        }
        overdue
    }

    /// Takes nothing but trials from now on, and logs why unless it was so before.
    pub fn eject(&mut self, actions: &mut Vec<Action>, reason: EjectionReason) {
        let level = std::mem::take(&mut self.admission_level);
        if level > 0.0 {
            let event = LogEvent::NodeEjected {
                node: self.id,
                reason,
            };
            actions.push(Action::Log { event });
        }
    }

    /// Queues a request here.
    pub fn enqueue(&mut self, pending: &PendingRequest) {
        self.queue
            .add(pending.line(), pending.objective_at, pending.request.id);
        self.flows.entry(pending.request.volume).or_default().queued += pending.request.units;
    }

    /// Takes a request out of the queue; whether it was there.
    pub fn dequeue(&mut self, pending: &PendingRequest) -> bool {
        let removed = self
            .queue
            .remove(pending.line(), pending.objective_at, pending.request.id);
        if removed {
            self.flows.entry(pending.request.volume).or_default().queued -= pending.request.units;
        }
        removed
    }

    /// Units sent by traffic class, as fractions of their sum.
    pub fn mix_fractions(&self) -> Vec<f64> {
        let sum: f64 = self.traffic_mix.iter().sum::<f64>().max(1e-9);
        self.traffic_mix.iter().map(|units| units / sum).collect()
    }

    /// The bucket of a volume's fair share here.
    pub fn spare(&self, volume: VolumeId) -> Option<&TokenBucket> {
        self.flows.get(&volume)?.spare.as_ref()
    }
}
