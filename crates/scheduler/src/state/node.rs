//! A storage node, as one host sees it.

use crate::api::{
    EjectionReason, Endpoint, LogEvent, NodeId, NodeState, Request, RequestId, ShardId, VolumeId,
    ZoneId,
};
use crate::probing_window::ProbingWindow;
use crate::rates::MeanRate;
use crate::request_queue::RequestQueue;
use crate::scheduler::{
    AdmissionLevel, ConcurrencyBackoff, FailureStreak, NodeContact, NodeDelays, WarmUp,
};
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
    /// Its warm-up.
    pub warm_up: WarmUp,
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
    /// Delays of its answers beyond the work itself.
    pub delays: NodeDelays,
    /// Units sent by traffic class, smoothed.
    pub traffic_mix: Vec<f64>,
    /// Back-off of its concurrency limit.
    pub concurrency: ConcurrencyBackoff,
    /// Its admission level.
    pub admission: AdmissionLevel,
    /// Its consecutive failures and its last success.
    pub failures: FailureStreak,
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
        traffic_classes: usize,
        usage: MeanRate,
    ) -> Self {
        Node {
            id: endpoint.node,
            zone: endpoint.zone,
            shard: endpoint.shard,
            state: NodeState::Gone,
            started: endpoint.started,
            warm_up: WarmUp::default(),
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
            delays: NodeDelays::new(),
            traffic_mix: vec![0.0; traffic_classes],
            concurrency: ConcurrencyBackoff::new(),
            admission: AdmissionLevel::default(),
            failures: FailureStreak::default(),
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

    /// Forgets the evidence against its former process: the node came up.
    pub fn reset(&mut self, now: Duration, warm_up: WarmUp) {
        self.failures.reset(now);
        self.concurrency = ConcurrencyBackoff::new();
        self.admission.reset();
        self.warm_up = warm_up;
    }

    /// Counts a completed attempt of so many units.
    pub fn completed(&mut self, units: f64, late: bool, now: Duration) {
        self.stats.add_completed(units, late);
        self.failures.reset(now);
    }

    /// Lets older observations weigh less; `mix_retention`: what stays of the traffic mix.
    pub fn fade(&mut self, mix_retention: f64) {
        for units in &mut self.traffic_mix {
            *units *= mix_retention;
        }
        self.delays.fade();
        self.failures.fade();
    }

    /// Adds tokens and sums of so many ticks, `seconds` in all.
    pub fn advance(&mut self, ticks: f64, seconds: f64) {
        self.tokens.refill(seconds);
        self.warm_up.refill(seconds);
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
        self.warm_up.take(request.units);
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

    /// Marks the attempts outstanding here that are late by now, and returns how many were not marked before.
    pub fn count_overdue(
        &self,
        requests: &mut BTreeMap<RequestId, PendingRequest>,
        is_late: impl Fn(f64, Duration) -> bool,
    ) -> usize {
        let mut overdue = 0;
        for (id, sent) in &self.attempts {
            let Some(pending) = requests
                .get_mut(id)
                .filter(|pending| !pending.lateness_counted)
            else {
                continue;
            };
            pending.lateness_counted = is_late(pending.request.units, *sent);
            overdue += usize::from(pending.lateness_counted);
        }
        overdue
    }

    /// Ejects the node: it gets trial requests only. Returns the event to log, unless it was ejected before.
    pub fn eject(&mut self, reason: EjectionReason) -> Option<LogEvent> {
        let node = self.id;
        let changed = self.admission.eject();
        changed.then_some(LogEvent::NodeEjected { node, reason })
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
