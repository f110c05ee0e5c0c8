//! What a host knows of its flows, volumes, nodes and requests, and the book-keeping on it.
//! What the figures mean, and what follows from them, is decided in `control.rs`.

use crate::account::Account;
use crate::bucket::TokenBucket;
use crate::held::{Held, LineKey};
use crate::histogram::Histogram;
use crate::interface::*;
use crate::lines::KeyLines;
use crate::spans::{Recent, Usage};
use crate::window::Window;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// What one flow asks of a node, and on what terms. Rates are units a second.
#[derive(Debug, Clone, Copy)]
pub struct Ask {
    pub demand: f64,
    pub reservation: f64,
    pub weight: f64,
}

/// Where and when an attempt was sent that may have run.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Ran {
    pub zone: ZoneId,
    pub shard: ShardId,
    pub sent: Duration,
}

/// A volume at a node. Units.
#[derive(Debug, Default)]
pub struct Flow {
    pub out: f64,
    pub held: f64,
    pub used: f64,
    pub queued_sum: f64,
    pub out_sum: f64,
    pub demand: f64,
    pub spare: Option<TokenBucket>,
}

impl Flow {
    /// Used, backlog, mean queued and mean outstanding units since the last call.
    pub fn sample(&mut self, ticks: f64) -> (f64, f64, f64, f64) {
        let seen = (self.used, self.held, self.queued_sum / ticks, self.out_sum / ticks);
        (self.used, self.queued_sum, self.out_sum) = (0.0, 0.0, 0.0);
        seen
    }
}

#[derive(Debug)]
pub struct Volume {
    pub plan: PlanId,
    pub hosts: usize,
    pub done: f64,
    pub done_rate: f64,
    /// Service everywhere, units a second, and when we were told.
    pub reported: Option<(f64, Duration)>,
    pub reserve: TokenBucket,
    pub limit: Option<TokenBucket>,
}

impl Volume {
    /// `reservation`: of the plan, over all hosts. A part of a limit starts empty, since a host that starts,
    /// or comes in, cannot know what was drawn before. Harm: slow first bursts.
    pub fn new(terms: VolumeTerms, reservation: f64) -> Self {
        let part = reservation / terms.hosts.max(1) as f64;
        let reserve = TokenBucket::new(part, part, reservation);
        let (plan, hosts) = (terms.plan, terms.hosts);
        let mut v = Volume { plan, hosts, done: 0.0, done_rate: 0.0, reported: None, reserve, limit: None };
        v.retune(terms);
        v
    }

    /// New terms. What a limit's bucket holds, or owes, stays, cut to its depth.
    pub fn retune(&mut self, terms: VolumeTerms) {
        (self.plan, self.hosts) = (terms.plan, terms.hosts);
        self.limit = terms.limit.map(|LimitQuota { rate, burst: depth }| {
            let mut limit = self.limit.take().unwrap_or_else(|| TokenBucket::new(rate, depth, 0.0));
            limit.retune(rate, depth);
            limit
        });
    }
}

/// What a node answered since the last interval.
#[derive(Debug, Default)]
pub struct Answers {
    pub done: f64,
    pub slow: f64,
    pub all: f64,
    pub full: f64,
    pub was_held: bool,
    pub below_reservation: bool,
}

impl Answers {
    pub fn add(&mut self, units: f64, slow: bool) {
        self.done += units;
        self.all += 1.0;
        self.slow += f64::from(u8::from(slow));
    }
}

#[derive(Debug)]
pub struct Node {
    pub id: NodeId,
    pub zone: ZoneId,
    pub shard: ShardId,
    pub state: NodeState,
    pub started: Option<Duration>,
    pub open_from: Duration,
    pub cold: Option<TokenBucket>,
    pub window: Window,
    pub tokens: TokenBucket,
    pub out: f64,
    pub attempts: BTreeMap<RequestId, Duration>,
    pub held: Held,
    pub flows: BTreeMap<VolumeId, Flow>,
    pub answers: Answers,
    pub rate: f64,
    pub usage: Usage,
    /// Units a second reserved here through this host.
    pub reserved: f64,
    pub lags: Histogram,
    pub mix: Vec<f64>,
    pub brake: f64,
    /// How far down the ladder of kinds this node takes requests, and when that last moved.
    pub ease: f64,
    /// The part of answers that were late, smoothed.
    pub late: f64,
    pub felt: Duration,
    pub heard: Duration,
    pub bad_row: u32,
    pub sent: Duration,
}

impl Node {
    /// A node not yet heard of: gone until its entry is read.
    pub fn new(e: &Endpoint, window: Window, lags: Histogram, traffic_classes: usize, usage: Usage) -> Self {
        Node {
            id: e.node,
            zone: e.zone,
            shard: e.shard,
            state: NodeState::Gone,
            started: e.started,
            open_from: Duration::ZERO,
            cold: None,
            tokens: TokenBucket::new(window.estimate, window.estimate, window.estimate),
            window,
            out: 0.0,
            attempts: BTreeMap::new(),
            held: Held::default(),
            flows: BTreeMap::new(),
            answers: Answers::default(),
            rate: 0.0,
            usage,
            reserved: 0.0,
            lags,
            mix: vec![0.0; traffic_classes],
            brake: 1.0,
            ease: 0.0,
            late: 0.0,
            felt: Duration::ZERO,
            heard: Duration::ZERO,
            bad_row: 0,
            sent: Duration::ZERO,
        }
    }

    pub fn attempt_started(&mut self, x: &Request, now: Duration) {
        let f = self.flows.entry(x.volume).or_default();
        (self.out, f.out, f.used) = (self.out + x.units, f.out + x.units, f.used + x.units);
        self.tokens.take(x.units);
        self.cold.iter_mut().for_each(|b| b.take(x.units));
        self.mix[x.traffic_class.0] += x.units;
        self.attempts.insert(x.id, now);
        self.sent = now;
    }

    /// When the attempt went, if it was out.
    pub fn attempt_ended(&mut self, x: &Request) -> Option<Duration> {
        let sent = self.attempts.remove(&x.id)?;
        self.out -= x.units;
        self.flows.entry(x.volume).or_default().out -= x.units;
        Some(sent)
    }

    /// Moves the ease at so much a second for the time since it last moved, of which an answer speaks for
    /// no less and no more than a span; how far a fall is believed, the caller says from the part that is
    /// late here and at all nodes.
    pub fn feel(
        &mut self, now: Duration, by: f64, span: (f64, f64), all_late: &mut f64, weight: (f64, f64),
        belief: fn(f64) -> f64,
    ) {
        let since = now.saturating_sub(self.felt).as_secs_f64().clamp(span.0, span.1);
        let late = f64::from(u8::from(by < 0.0));
        let sure = if by < 0.0 { belief(all_late.max(self.late)) } else { 1.0 };
        *all_late += weight.0 * (late - *all_late);
        self.late += weight.1 * (late - self.late);
        (self.ease, self.felt) = ((self.ease + by * sure * since).clamp(0.0, 1.0), now);
    }

    /// Takes away the ease, and says why unless it was away.
    pub fn shut(&mut self, out: &mut Vec<Action>, why: String) {
        if std::mem::take(&mut self.ease) > 0.0 {
            out.push(Action::Log { text: format!("node {} shut: {why}", self.id.0) });
        }
    }

    pub fn hold(&mut self, x: &PendingRequest) {
        self.held.add(x.line(), x.objective_at, x.request.id);
        self.flows.entry(x.request.volume).or_default().held += x.request.units;
    }

    /// Takes a request from those held here; whether it was among them.
    pub fn unhold(&mut self, x: &PendingRequest) -> bool {
        let was = self.held.remove(x.line(), x.objective_at, x.request.id);
        if was {
            self.flows.entry(x.request.volume).or_default().held -= x.request.units;
        }
        was
    }

    /// Units by traffic class, as parts of one.
    pub fn mix_parts(&self) -> Vec<f64> {
        let all: f64 = self.mix.iter().sum::<f64>().max(1e-9);
        self.mix.iter().map(|m| m / all).collect()
    }
}

/// What is wanted of a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Want {
    Held,
    Out(NodeId),
    Deferred(Duration),
    Abandoned,
}

#[derive(Debug)]
pub struct PendingRequest {
    pub request: Request,
    pub taken: Duration,
    pub objective_at: Duration,
    pub want: Want,
    pub over: bool,
    pub begun: bool,
    /// Its attempt's lateness has been counted.
    pub felt: bool,
    /// Its place, in one, among those of its kind.
    pub lot: f64,
    /// Its units are drawn from the volume's limit.
    pub drawn: bool,
    /// The node at which it is held, when it is.
    pub at: Option<NodeId>,
    pub attempts: u32,
    pub out: Option<NodeId>,
    pub last: Option<NodeId>,
    pub ran: Option<Ran>,
    pub not_before: Duration,
}

impl PendingRequest {
    pub fn new(request: Request, taken: Duration, objective_at: Duration, lot: f64) -> Self {
        PendingRequest {
            request,
            taken,
            objective_at,
            want: Want::Held,
            over: false,
            begun: false,
            felt: false,
            lot,
            drawn: false,
            at: None,
            attempts: 0,
            out: None,
            last: None,
            ran: None,
            not_before: taken,
        }
    }

    pub fn line(&self) -> LineKey {
        (self.request.volume, self.request.traffic_class, self.drawn)
    }
}

/// Everything a host keeps: what is present, and what is wanted but not yet brought about.
#[derive(Debug, Default)]
pub struct Books {
    pub now: Duration,
    pub ticked: Duration,
    pub planned: Duration,
    pub nodes: BTreeMap<NodeId, Node>,
    pub shards: BTreeMap<ShardId, BTreeSet<NodeId>>,
    /// Nodes with something held or out, and perhaps some that lately had.
    pub busy: BTreeSet<NodeId>,
    /// Nodes at which something changed that could let a request go.
    pub stirred: BTreeSet<NodeId>,
    /// Moments from which time alone could let one go there.
    pub due: BTreeSet<(Duration, NodeId)>,
    /// How many requests are held at nodes.
    pub holding: usize,
    /// The smallest request seen.
    pub least_units: Option<f64>,
    /// The mean learned rate of the nodes heard.
    pub usual_rate: f64,
    /// The part of all nodes' answers that were late, smoothed.
    pub late: f64,
    /// The least and the best benefit that a unit can bring.
    pub values: (f64, f64),
    pub volumes: BTreeMap<VolumeId, Volume>,
    /// Volumes that are served no more, of which something may yet be out.
    pub retired: BTreeSet<VolumeId>,
    pub requests: BTreeMap<RequestId, PendingRequest>,
    /// Held requests that any node may take.
    pub floating: Vec<RequestId>,
    pub keys: KeyLines,
    pub taken: Recent,
    /// The longest time from taking to deadline seen.
    pub longest: BTreeMap<TrafficClassId, Duration>,
    pub further: Recent,
    /// Requests of which something new is wanted.
    pub changed: Vec<RequestId>,
    pub armed: Option<Duration>,
    pub tag: u64,
    pub watch_at: Option<Duration>,
    pub watch_tries: u32,
    pub out: Vec<Action>,
    /// For people alone.
    pub account: Account,
}

impl Books {
    pub fn refill(&mut self, ticks: u32, tick: Duration) {
        if ticks == 0 {
            return; // most steps: a look at every node would cost more than the step itself
        }
        self.ticked += tick * ticks;
        let span = (tick * ticks).as_secs_f64();
        for v in self.volumes.values_mut() {
            v.reserve.refill(span);
            v.limit.iter_mut().for_each(|b| b.refill(span));
        }
        for nd in self.nodes.values_mut() {
            nd.tokens.refill(span);
            nd.cold.iter_mut().for_each(|b| b.refill(span));
            for f in nd.flows.values_mut() {
                f.spare.iter_mut().for_each(|b| b.refill(span));
                f.queued_sum += f.held * f64::from(ticks);
                f.out_sum += f.out * f64::from(ticks);
            }
        }
    }

    /// For a node that is new to us: so large a part of what this host did at the node of its shard that it
    /// used last. Lists mostly tell of nodes that are known, which keep their own.
    pub fn usage_before(&self, e: &Endpoint, part: f64) -> Usage {
        let new = !self.nodes.contains_key(&e.node);
        let there =
            self.shards.get(&e.shard).filter(|_| new).into_iter().flatten().filter_map(|n| self.nodes.get(n));
        there.max_by_key(|nd| nd.sent).map_or_else(Usage::default, |nd| nd.usage.part(part))
    }

    /// The node that has the data of a shard: of several, the one that started last.
    pub fn holder(&self, shard: ShardId) -> Option<NodeId> {
        let there = self.shards.get(&shard)?.iter().filter_map(|n| Some((n, self.nodes.get(n)?)));
        let ready = there.filter(|(_, nd)| nd.shard == shard && nd.state == NodeState::Ready);
        ready.max_by_key(|(_, nd)| nd.started).map(|(n, _)| *n)
    }

    /// Puts a request among those held at its node, or among those that any may take.
    pub fn hold(&mut self, id: RequestId) {
        let Some(x) = self.requests.get(&id) else { return };
        match x.at.and_then(|n| Some((n, self.nodes.get_mut(&n)?))) {
            Some((n, nd)) => {
                nd.hold(x);
                self.holding += 1;
                self.busy.insert(n);
                self.stirred.insert(n);
                if x.not_before > self.now {
                    self.due.insert((x.not_before, n));
                }
            }
            None => self.floating.push(id),
        }
    }

    pub fn unhold(&mut self, id: RequestId) {
        let Some(x) = self.requests.get_mut(&id) else { return };
        match x.at.take().and_then(|n| self.nodes.get_mut(&n)) {
            None if x.request.shard.is_none() => self.floating.retain(|f| *f != id),
            nd => self.holding -= usize::from(nd.is_some_and(|nd| nd.unhold(x))),
        }
    }

    /// Something new is wanted of a request, which is held no more.
    pub fn moves(&mut self, id: RequestId) {
        self.unhold(id);
        self.changed.push(id);
    }

    /// What is held of a volume.
    pub fn held_of(&self, volume: VolumeId) -> Vec<RequestId> {
        let held = self.requests.iter().filter(|(_, x)| x.request.volume == volume && x.want == Want::Held);
        held.map(|(id, _)| *id).collect()
    }

    /// An attempt that is out counts as sent then.
    pub fn crosses(&mut self, id: RequestId, node: NodeId, at: Duration) {
        let sent = self.nodes.get_mut(&node).and_then(|nd| nd.attempts.get_mut(&id));
        sent.into_iter().for_each(|sent| *sent = at);
    }

    /// Whether anything is held.
    pub fn holds(&self) -> bool {
        !self.floating.is_empty() || self.holding > 0
    }

    pub fn settle_busy(&mut self) {
        let nodes = &self.nodes;
        self.busy.retain(|n| nodes.get(n).is_some_and(|nd| !nd.held.is_empty() || !nd.attempts.is_empty()));
    }

    /// The request needs nothing more from us; its record stays while an attempt is out.
    pub fn close(&mut self, id: RequestId) {
        self.unhold(id);
        let Some(x) = self.requests.get_mut(&id) else { return };
        x.over = true;
        if x.out.is_none() {
            let next = x.request.key.and_then(|key| self.keys.leave(key, id));
            self.requests.remove(&id);
            let at = next.and_then(|next| self.requests.get(&next)).and_then(|x| x.at);
            self.stirred.extend(at);
        }
    }

    /// Forgets volumes that are served no more, once nothing of them is left.
    fn forget_retired(&mut self) {
        if self.retired.is_empty() {
            return;
        }
        let left: BTreeSet<VolumeId> = self.requests.values().map(|x| x.request.volume).collect();
        for id in std::mem::take(&mut self.retired) {
            if left.contains(&id) {
                self.retired.insert(id);
            } else {
                self.volumes.remove(&id);
                self.nodes.values_mut().for_each(|nd| _ = nd.flows.remove(&id));
            }
        }
    }

    /// Nodes to look at: all that are busy after a tick, else those where something changed or fell due.
    pub fn to_visit(&mut self, all: bool) -> Vec<NodeId> {
        let mut stirred = std::mem::take(&mut self.stirred);
        while let Some(&(at, n)) = self.due.first().filter(|d| d.0 <= self.now) {
            self.due.remove(&(at, n));
            stirred.insert(n);
        }
        match all {
            true => self.busy.iter().copied().collect(),
            false => stirred.into_iter().filter(|n| self.busy.contains(n)).collect(),
        }
    }

    /// Forgets counts older than the span, and volumes that are served no more.
    pub fn forget(&mut self, span: Duration) {
        self.forget_retired();
        self.taken.forget(span, self.now);
        self.further.forget(span, self.now);
    }

    pub fn log(&mut self, text: String) {
        self.out.push(Action::Log { text });
    }
}
