//! Decides, on one host, which requests go out now, which are held, and which are given up.
//!
//! Called as `Control::new(..).under(..)` once, then `step(now, events)` for every batch, which answers the
//! actions; the words of both are in `interface.rs`. The design (docs/design.md) decides the ordinary path:
//! demand, probing window, split, fill, buckets, bound on units out. Beside it stand six mechanisms at most:
//!
//! 1. the brake: late answers shrink a node's bound below the design's floor;
//! 2. the ease: late lone attempts cut what may go to a node by benefit; silence and refusals in a row shut it;
//! 3. order by benefit among held requests, and giving up early what cannot be in time;
//! 4. retries, spaced, while the time left exceeds the expected time;
//! 5. the rule guards: drains, cold parts, key order, repeats, attempt budget, limit parts;
//! 6. following the list, with backed-off, jittered renewal.

use crate::bucket::TokenBucket;
use crate::filling::fill;
use crate::held::Line;
use crate::histogram::Histogram;
use crate::interface::*;
use crate::ranking::rank_of;
use crate::spans::{secs, smooth, wait_behind};
use crate::state::*;
use crate::window::{Reading, Window};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Duration;

const TICK: Duration = Duration::from_millis(10); // the design's refill
const INTERVAL: Duration = Duration::from_millis(500); // long enough for a few answers a node
const SMOOTH: f64 = 0.3; // a surge counts within three intervals
const LATENCY_OBJECTIVE_PART: f64 = 0.15; // what a node's queue may take of it; the rest is work
const FLOOR: (f64, f64) = (2.0, 6.0); // one and three large requests, each twice the mean
const MAX_OUT: f64 = 32.0; // the design's, in mean requests
const START_REQUESTS: f64 = 4.0; // a second: low, as a host knows nothing yet
const BRAKE_LEAST: f64 = 0.02; // a crowd of hosts needs well below one request each
const AT_ONCE: usize = 256; // held requests of a node, or floating ones, that are ranked in each tick
const SELDOM: usize = 4; // ticks; else, with thousands held, ranking would be all a host does
const SHUT_AFTER: u32 = 3; // one or two bad answers can be chance
const COME_BACK: Duration = Duration::from_millis(500); // what a client is told at the least
const BRAKE_DOWN: f64 = 0.9; // with the next, balances where half are late
const BRAKE_UP: f64 = 1.1;
const EASE_DOWN: f64 = -0.4; // a second; a host that hears often moves no faster than one that seldom does
const EASE_UP: f64 = 0.8;
const EASE_SPAN: (f64, f64) = (0.025, 3.0); // seconds; the least and most that one answer speaks for
const EASE_BLUR: f64 = 0.25; // of the scale; requests of one value go in part, not all or none
const LATE_USUAL: f64 = 0.3; // heavy requests, pauses and flushes alone
const LATE_WEIGHT: (f64, f64) = (0.02, 0.4); // of one answer, among all nodes' and among the node's
const EASY: f64 = 0.9; // below, a node has enough of its own before a new object
const SILENT_LATENCY_OBJECTIVES: u32 = 4; // a heavy request alone is not silence
const EASE_AGAIN: (f64, f64, f64) = (0.04, 0.2, 0.2); // a second: least, most, and for a request a second
const LEAST_PART: f64 = 0.15; // quantile that stands for work without a queue
const WATCH_AGAIN: Duration = Duration::from_millis(200); // doubled for each failed call
const COLD_PART: f64 = 0.9; // of what the rule allows: the rest, and the chance it forgives, are for luck
const COLD_HELD: f64 = 0.2; // the rest of the part fills
const HEIR: f64 = 0.5; // what a node in another's place may be slower, and the rule forgives nothing
const USAGE_SPAN: f64 = 30.0; // seconds; a host that sends seldom needs long to know how much
const PER_UNIT_KEPT: f64 = 400.0; // answers, before they are halved
const RETURN_SPREAD: Duration = Duration::from_millis(400); // well under the rules' spans

/// Units that a flow could use in the next interval (paper, equation 6), before smoothing.
pub fn demand(used: f64, backlog: f64, queued: f64, outstanding: f64) -> f64 {
    let more = if outstanding > 0.0 { queued * used / outstanding } else { 0.0 };
    used + backlog.max(more)
}

/// A host's part of a volume's reservation. Late reports can say that less was done everywhere than
/// we know to have been done here; a split built on that would starve one host, so it falls to even.
pub fn host_part(own_demand: f64, own_done: f64, reported: Option<f64>, hosts: usize) -> f64 {
    let even = 1.0 / hosts.max(1) as f64;
    match reported {
        Some(all) if own_done <= all * 1.25 + 1e-9 => {
            let others = (all - own_done).max(0.0);
            if own_demand + others > 0.0 {
                (own_demand / (own_demand + others)).max(even / 2.0)
            } else {
                even
            }
        }
        _ => even,
    }
}

/// Units that this host may have out at a node: the learned rate over part of the tightest latency objective, at least
/// a few large requests (fewer where all hosts' floors would pass the most of one), at most so many in all.
pub fn bound(rate: f64, tightest: Duration, mean_units: f64, hosts: usize) -> f64 {
    let (mean, part) = (mean_units.max(0.1), MAX_OUT / hosts.max(1) as f64);
    (rate * LATENCY_OBJECTIVE_PART * secs(tightest))
        .max(part.clamp(FLOOR.0, FLOOR.1) * mean)
        .min(MAX_OUT * mean)
}

/// Whether an attempt may follow one that may have run (repeat rule). `ran` is where and when that was.
pub fn may_resend(idempotency: Idempotency, ran: Option<Ran>, to: (ZoneId, ShardId), now: Duration) -> bool {
    match (ran, idempotency) {
        (None, _) | (_, Idempotency::Idempotent) => true,
        (Some(_), Idempotency::NonIdempotent) => false,
        (Some(Ran { zone, shard, sent }), Idempotency::WithKey { scope, window }) => {
            let inside = match scope {
                DeduplicationScope::All => true,
                DeduplicationScope::Zone => zone == to.0,
                DeduplicationScope::Shard => shard == to.1,
            };
            inside && now < sent + window
        }
    }
}

/// Whether the client may be told that trying again is harmless.
pub fn may_defer(idempotency: Idempotency, may_have_run: bool) -> bool {
    !may_have_run
        || matches!(
            idempotency,
            Idempotency::Idempotent | Idempotency::WithKey { scope: DeduplicationScope::All, .. }
        )
}

/// What this host may send to a cold node in one span of the rule: its part of the units always borne, or of
/// the least that a node can do by now, by its own rate: all hosts' own rates are no more than a node can do.
pub fn cold_part(rule: &SlowStartPolicy, own_rate: f64, age: Duration) -> f64 {
    let warm = (secs(age) / secs(rule.warm_up_time).max(1e-3)).min(1.0);
    let capacity = rule.initial_fraction + (1.0 - rule.initial_fraction) * warm;
    let able = rule.multiple * capacity * own_rate * secs(rule.overload_window);
    COLD_PART * able.max(rule.units / rule.hosts.max(1) as f64)
}

/// How far one late answer is believed, by the part that is late at the node or at all of the host's nodes.
pub fn belief(late: f64) -> f64 {
    ((late - LATE_USUAL) / (0.5 - LATE_USUAL)).clamp(0.05, 1.0)
}

/// The least and the best benefit that a unit can bring.
pub fn scale(traffic_classes: &[TrafficClass], plans: &[Plan], units: &UnitSettings) -> (f64, f64) {
    let benefits = traffic_classes.iter().flat_map(|s| plans.iter().map(|p| s.priority_weight * p.price));
    let best = benefits.clone().fold(1e-6, f64::max);
    let least = benefits.fold(best, f64::min) * units.spare_fraction.clamp(0.01, 0.9);
    (least.max(best * 1e-3), best)
}

/// In how many ticks so many held requests are ranked once.
pub fn seldom(held: usize) -> u32 {
    (1 + held / AT_ONCE).min(SELDOM) as u32
}

/// The decisions of one host.
#[derive(Debug)]
pub struct Control {
    rng: Pcg64Mcg,
    traffic_classes: Vec<TrafficClass>,
    plans: Vec<Plan>,
    units: UnitSettings,
    host_limits: HostLimits,
    cold: SlowStartPolicy,
    list: DiscoveryPolicy,
    budget: Option<RetryBudget>,
    rest: Duration,
    tightest: Duration,
    per_unit: Histogram,
    pub(crate) bk: Books,
}

impl Control {
    pub fn new(
        seed: u64, traffic_classes: Vec<TrafficClass>, plans: Vec<Plan>, units: UnitSettings,
        host_limits: HostLimits,
    ) -> Self {
        let tightest = traffic_classes
            .iter()
            .map(|s| s.latency_objective)
            .filter(|d| *d > TICK)
            .min()
            .unwrap_or(INTERVAL);
        let (rng, per_unit) = (Pcg64Mcg::seed_from_u64(seed), Histogram::new(TICK / 5, 1.4, 16));
        let (cold, list, rest) = (SlowStartPolicy::default(), DiscoveryPolicy::default(), Duration::ZERO);
        let bk = Books { values: scale(&traffic_classes, &plans, &units), ..Books::default() };
        Control {
            rng,
            traffic_classes,
            plans,
            units,
            host_limits,
            cold,
            list,
            budget: None,
            rest,
            tightest,
            per_unit,
            bk,
        }
    }

    /// The figures of the rules.
    pub fn under(
        mut self, cold: SlowStartPolicy, list: DiscoveryPolicy, attempts: Option<RetryBudget>, rest: Duration,
    ) -> Self {
        (self.cold, self.list, self.budget, self.rest) = (cold, list, attempts, rest);
        self
    }

    pub fn step(&mut self, now: Duration, events: Vec<Event>) -> Vec<Action> {
        if self.bk.armed.is_none() {
            (self.bk.ticked, self.bk.planned) = (now, now);
            // All hosts may start at once, and the list's service has room for few calls at a time.
            self.bk.watch_at = self.list.polled.then(|| now + self.spread(INTERVAL));
        }
        self.bk.now = now;
        let ticks = (now.saturating_sub(self.bk.ticked).as_micros() / TICK.as_micros()) as u32;
        self.bk.refill(ticks, TICK);
        events.into_iter().for_each(|e| self.hear(e));
        let planned = now >= self.bk.planned + INTERVAL;
        if planned {
            self.plan();
        }
        self.decide(ticks > 0, planned);
        self.reconcile()
    }

    fn spread(&mut self, most: Duration) -> Duration {
        most.mul_f64(self.rng.random::<f64>())
    }

    fn hear(&mut self, event: Event) {
        match event {
            Event::RequestReceived(x) => self.take(x),
            Event::ResponseStarted { id, .. } => {
                self.bk.requests.get_mut(&id).into_iter().for_each(|x| x.begun = true)
            }
            Event::AttemptEnded(end) => {
                self.measure(&end);
                self.attempt_ended(&end);
            }
            // A connection that comes up late is no word on its node.
            Event::AttemptSent { id, node, at } => self.bk.crosses(id, node, at),
            Event::RequestCancelled { id } => self.bk.close(id),
            Event::PlanChanged { plan, facts } => {
                self.plans.resize(self.plans.len().max(plan.0 + 1), Plan::default());
                self.plans[plan.0] = facts;
                self.bk.values = scale(&self.traffic_classes, &self.plans, &self.units);
            }
            Event::VolumeChanged { volume, terms: Some(terms) } => {
                let new = || Volume::new(terms, self.plans[terms.plan.0].reservation);
                self.bk.retired.remove(&volume);
                self.bk.volumes.entry(volume).or_insert_with(new).retune(terms);
            }
            // What is out stays out, and its end is heard; what is held would wait for nothing.
            Event::VolumeChanged { volume, terms: None } => {
                self.bk.held_of(volume).into_iter().for_each(|id| self.give_up(id, COME_BACK));
                self.bk.retired.insert(volume);
            }
            Event::EndpointUpdate { kind, endpoints } => self.follow(kind, endpoints),
            Event::TimerFired { .. } | Event::HealthChecked { .. } | Event::PeerMessage { .. } => {}
        }
    }

    fn take(&mut self, x: Request) {
        self.bk.taken.add(self.bk.now);
        let (stream, plan, id) = (&self.traffic_classes[x.traffic_class.0], &self.plans[x.plan.0], x.id);
        let volume = || Volume::new(VolumeTerms::even(x.plan, plan, x.hosts), plan.reservation);
        self.bk.volumes.entry(x.volume).or_insert_with(volume);
        if let (true, Some(key)) = (stream.ordered, x.key) {
            self.bk.keys.join(key, id);
        }
        // A client's later try has less time left than a first one, and its latency objective began with the first:
        // it must not pass as fresh before requests that can still be in time.
        let left = x.deadline.saturating_sub(self.bk.now);
        let longest = self.bk.longest.entry(x.traffic_class).or_default();
        *longest = left.max(*longest);
        let objective_at = self.bk.now + stream.latency_objective.saturating_sub(*longest - left);
        self.bk.least_units = Some(self.bk.least_units.map_or(x.units, |least| least.min(x.units)));
        self.bk.requests.insert(id, PendingRequest::new(x, self.bk.now, objective_at, self.rng.random()));
        self.hold(id);
    }

    /// Puts a request among those held at the node that has its data, or among those that any may take.
    /// One whose time is up, or whose node is absent, is given up at once: its client may know better.
    fn hold(&mut self, id: RequestId) {
        let x = &self.bk.requests[&id];
        let at = x.request.shard.and_then(|shard| self.bk.holder(shard));
        let absent = x.request.shard.is_some() && at.is_none();
        if absent || self.bk.now + self.expected(at, x.request.units) >= x.request.deadline {
            return self.give_up(id, COME_BACK);
        }
        let x = self.bk.requests.get_mut(&id).expect("looked up above");
        (x.want, x.at) = (Want::Held, at);
        self.bk.hold(id);
    }

    fn give_up(&mut self, id: RequestId, wait: Duration) {
        self.blame(id);
        let Some(x) = self.bk.requests.get_mut(&id) else { return };
        let idempotency = self.traffic_classes[x.request.traffic_class.0].idempotency;
        x.want = if may_defer(idempotency, x.ran.is_some()) { Want::Deferred(wait) } else { Want::Abandoned };
        self.bk.moves(id);
    }

    fn measure(&mut self, ended: &AttemptEnd) {
        let AttemptEnd { id, node, outcome: end, elapsed, reported: told, .. } = *ended;
        let Some((x, nd)) = self.bk.requests.get_mut(&id).zip(self.bk.nodes.get_mut(&node)) else { return };
        let (now, units) = (self.bk.now, x.request.units);
        let v = self.bk.volumes.get_mut(&x.request.volume).expect("made when taken");
        let base = self.plans[v.plan.0].base_rate;
        v.reported = told.map(|percent| (percent / 100.0 * base, now)).or(v.reported);
        let sent = nd.attempt_ended(&x.request).unwrap_or(now.saturating_sub(elapsed));
        self.bk.stirred.insert(node);
        // A limit counts what crosses, when it crosses. What was never sent gives its units back; what found
        // no connection draws them again when it goes, or units drawn long before would add to a full
        // store's. Harm: where the store counts an attempt without a connection, as much is lost to the volume.
        if x.attempts == 1 && matches!(end, AttemptOutcome::NotSent | AttemptOutcome::ConnectFailed) {
            x.drawn = false;
            let back = if end == AttemptOutcome::NotSent { units } else { 0.0 };
            v.limit.iter_mut().for_each(|b| b.give(back));
        }
        let never_ran = matches!(
            end,
            AttemptOutcome::QueueFull | AttemptOutcome::ConnectFailed | AttemptOutcome::NotSent
        );
        if !never_ran && end != AttemptOutcome::Completed && x.ran.is_none() {
            x.ran = Some(Ran { zone: nd.zone, shard: nd.shard, sent });
        }
        // What fails fast looks idle and would draw all that may go anywhere. Some bad answers in a row keep
        // new objects away; dead ports and full queues also shut the node's ease, while errors may spare
        // some requests whose data is there, and a reset may be its connection's alone: a node that died
        // has a dead port next. Harm: a short jam shuts a node for seconds.
        let bad = !matches!(
            end,
            AttemptOutcome::Completed
                | AttemptOutcome::TimedOut
                | AttemptOutcome::Cancelled
                | AttemptOutcome::NotSent
        );
        nd.bad_row += u32::from(bad);
        if bad && !matches!(end, AttemptOutcome::Failed | AttemptOutcome::ConnectionReset) {
            nd.feel(now, EASE_DOWN, EASE_SPAN, &mut self.bk.late, LATE_WEIGHT, belief);
            if nd.bad_row >= SHUT_AFTER {
                nd.shut(
                    &mut self.bk.out,
                    format!(
                        "{} after {} bad answers in a row",
                        if end == AttemptOutcome::QueueFull { "Full" } else { "NoConnection" },
                        nd.bad_row
                    ),
                );
            }
        }
        if end == AttemptOutcome::Completed {
            self.per_unit.add(elapsed.div_f64(units.max(0.5)));
            let own = self.per_unit.quantile(LEAST_PART).unwrap_or_default().mul_f64(units);
            let late = elapsed > own + self.tightest.mul_f64(LATENCY_OBJECTIVE_PART);
            nd.lags.add(elapsed.saturating_sub(own));
            if !late || !x.felt {
                let by = if late { EASE_DOWN } else { EASE_UP };
                nd.feel(now, by, EASE_SPAN, &mut self.bk.late, LATE_WEIGHT, belief);
            }
            v.done += units;
            nd.answers.add(units, late);
            (nd.heard, nd.bad_row) = (now, 0);
            // Late answers of any cause (slow node, strangers' load, other hosts) shrink the bound below
            // the design's floor, which alone would queue past the latency objective.
            nd.brake = (nd.brake * if late { BRAKE_DOWN } else { BRAKE_UP }).clamp(BRAKE_LEAST, 1.0);
        } else if end == AttemptOutcome::QueueFull {
            nd.answers.full += 1.0;
            nd.brake = (nd.brake * BRAKE_DOWN * BRAKE_DOWN).max(BRAKE_LEAST);
        }
    }

    fn attempt_ended(&mut self, ended: &AttemptEnd) {
        let AttemptEnd { id, node, outcome: end, answered: over, .. } = *ended;
        let Some(x) = self.bk.requests.get_mut(&id) else { return };
        x.out = None;
        let may_still_run = matches!(
            end,
            AttemptOutcome::TimedOut | AttemptOutcome::ConnectionReset | AttemptOutcome::Cancelled
        );
        if let (true, true, Some(key)) =
            (may_still_run, self.traffic_classes[x.request.traffic_class.0].ordered, x.request.key)
        {
            self.bk.keys.rest(key, id, self.bk.now + self.rest);
        }
        if over || x.over || x.begun {
            return self.bk.close(id);
        }
        let (attempts, left, units) =
            (x.attempts, x.request.deadline.saturating_sub(self.bk.now), x.request.units);
        let wait = self.spread(TICK * 2) + TICK * 2u32.pow(attempts.min(6));
        let (x, nd) = (&self.bk.requests[&id], self.bk.nodes.get(&node));
        let idempotency = self.traffic_classes[x.request.traffic_class.0].idempotency;
        let again = self.retry_allowed()
            && attempts < self.host_limits.max_attempts
            && !matches!(end, AttemptOutcome::TimedOut | AttemptOutcome::NotSent | AttemptOutcome::Cancelled)
            && nd.is_some_and(|nd| may_resend(idempotency, x.ran, (nd.zone, nd.shard), self.bk.now))
            && left > self.expected(Some(node), units) + wait;
        if again {
            self.bk.requests.get_mut(&id).expect("looked up above").not_before = self.bk.now + wait;
            self.hold(id);
        } else {
            self.give_up(id, COME_BACK);
        }
    }

    /// Another attempt stays inside the budget of any window, whose edge is read against us on both counts.
    fn retry_allowed(&self) -> bool {
        let Some(rule) = &self.budget else { return true };
        let taken = self.bk.taken.within(rule.window.saturating_sub(TICK), self.bk.now);
        let made = self.bk.further.within(rule.window + TICK, self.bk.now);
        (made + 1) as f64 <= rule.min_retries + rule.ratio * taken as f64
    }

    /// Time that an attempt of this size should take: the node's late lag over the best, and the usual time.
    fn expected(&self, node: Option<NodeId>, units: f64) -> Duration {
        let lags = node.and_then(|n| self.bk.nodes.get(&n)).and_then(|nd| nd.lags.quantile(0.5));
        let usual = self.per_unit.quantile(0.5).unwrap_or_default().mul_f64(units);
        // Never nothing: a host that has yet to hear an answer must still give up before the deadline.
        (lags.unwrap_or_default() + usual).max(TICK * 2)
    }

    fn follow(&mut self, kind: EndpointUpdateKind, endpoints: Vec<Endpoint>) {
        let now = self.bk.now;
        if kind == EndpointUpdateKind::FetchFailed {
            self.bk.watch_tries += 1;
            // Well inside the time after which the rule counts a host as told of what it has not heard.
            let most = (WATCH_AGAIN * 2u32.pow(self.bk.watch_tries.min(4))).min(self.list.poll_interval / 4);
            self.bk.watch_at = Some(now + most / 2 + self.spread(most));
            return;
        }
        if kind != EndpointUpdateKind::Delta {
            let named = |id: &NodeId| endpoints.iter().any(|e| e.node == *id);
            let absent = self.bk.nodes.iter_mut().filter(|(id, _)| !named(id));
            absent.for_each(|(_, nd)| nd.state = NodeState::Gone);
        }
        self.bk.watch_tries *= u32::from(kind == EndpointUpdateKind::Cached);
        let first = self.bk.nodes.is_empty();
        for e in endpoints {
            let edges = (START_REQUESTS * self.units.mean, MAX_OUT * self.units.mean / secs(self.tightest));
            let (lags, before) = (Histogram::new(TICK, 1.5, 16), self.bk.usage_before(&e, HEIR));
            let new =
                || Node::new(&e, Window::new(edges.0, edges.1), lags, self.traffic_classes.len(), before);
            let nd = self.bk.nodes.entry(e.node).or_insert_with(new);
            self.bk.shards.entry(e.shard).or_default().insert(e.node);
            let came = nd.state != NodeState::Ready || nd.started != e.started;
            (nd.zone, nd.shard, nd.state, nd.started) = (e.zone, e.shard, e.state, e.started);
            if came && e.state == NodeState::Ready {
                (nd.bad_row, nd.brake, nd.heard, nd.ease) = (0, 1.0, now, 1.0);
                // All hosts learn of it about together; without the wait each would send first.
                nd.open_from =
                    now + RETURN_SPREAD.mul_f64(f64::from(u8::from(!first)) * self.rng.random::<f64>());
                nd.cold = None;
                if e.started.is_some_and(|s| now < s + self.cold.warm_up_time) {
                    // A bucket passes one request into debt; many hosts' at once push a node over. A random
                    // debt spreads them, a lapse of what is full keeps them so. Harm: few hosts wait.
                    nd.cold = Some(TokenBucket::lapsing(self.units.mean, self.rng.random()));
                    self.bk.log(format!("node {} came back cold", e.node.0));
                }
            }
        }
        self.tune_cold();
        let left = self.bk.nodes.values().filter(|nd| nd.state != NodeState::Ready);
        for id in left.flat_map(|nd| nd.held.ids()).collect::<Vec<_>>() {
            self.bk.unhold(id);
            self.hold(id);
        }
    }

    fn tune_cold(&mut self) {
        // What a host did there, not what it could do: of the latter all hosts' sum is no bound.
        for nd in self.bk.nodes.values_mut().filter(|nd| nd.cold.is_some()) {
            let age = self.bk.now.saturating_sub(nd.started.unwrap_or_default());
            let part = cold_part(&self.cold, (nd.usage.rate() + nd.reserved) / 2.0, age);
            // A full bucket and its refill together stay inside one span of the rule.
            let (span, depth) = (secs(self.cold.overload_window).max(1e-3), part * COLD_HELD);
            nd.cold.iter_mut().for_each(|b| b.retune((part - depth) / span, depth));
            nd.cold.take_if(|_| age >= self.cold.warm_up_time);
        }
    }

    /// The control interval: demand, parts of reservations, windows, fill.
    fn plan(&mut self) {
        let (now, span) = (self.bk.now, secs(self.bk.now - self.bk.planned));
        self.bk.planned = now;
        let mut asked: BTreeMap<VolumeId, f64> = BTreeMap::new();
        for nd in self.bk.nodes.values_mut() {
            for (volume, f) in &mut nd.flows {
                let (used, backlog, queued, outstanding) = f.sample(span / secs(TICK));
                f.demand = smooth(f.demand, demand(used, backlog, queued, outstanding) / span, SMOOTH);
                *asked.entry(*volume).or_default() += f.demand;
            }
            nd.flows.retain(|_, f| f.demand > 0.01 || f.out > 0.0 || f.held > 0.0);
        }
        for (id, v) in &mut self.bk.volumes {
            v.done_rate = smooth(v.done_rate, std::mem::take(&mut v.done) / span, SMOOTH);
            // A report that no later one has replaced says nothing of now.
            let fresh = |(_, at): &(f64, Duration)| now < *at + self.units.meter * 3 + INTERVAL;
            let reported = v.reported.filter(fresh).map(|(rate, _)| rate);
            let part = host_part(asked.get(id).copied().unwrap_or(0.0), v.done_rate, reported, v.hosts);
            let rate = self.plans[v.plan.0].reservation * part;
            v.reserve.retune(rate, rate);
        }
        for nd in self.bk.nodes.values_mut() {
            let seen = std::mem::take(&mut nd.answers);
            // A cold node's rate says nothing of what it will do, and its part is reckoned from before.
            let (done, warm) = (seen.done / span, nd.cold.is_none());
            nd.usage.add(if warm { seen.done } else { 0.0 }, if warm { span } else { 0.0 }, USAGE_SPAN);
            if warm && (seen.was_held || done > nd.rate) {
                nd.rate = smooth(nd.rate, done, SMOOTH);
            }
            nd.window.read(&Reading {
                congested: seen.was_held && (seen.full > 0.0 || seen.slow * 2.0 > seen.all.max(1.0)),
                below_reservation: seen.below_reservation,
                outstanding: nd.out,
                mix: nd.mix_parts(),
            });
            nd.mix.iter_mut().for_each(|m| *m *= 0.9);
            let again = EASE_AGAIN.2 * nd.usage.rate() / self.units.mean.max(0.1);
            nd.ease = (nd.ease + again.clamp(EASE_AGAIN.0, EASE_AGAIN.1) * span).min(1.0);
            nd.lags.halve();
            nd.bad_row /= 2;
            let estimate = nd.window.estimate;
            nd.tokens.retune(estimate, estimate);
            let ask = |(id, f): (&VolumeId, &Flow)| {
                let (v, all) = (&self.bk.volumes[id], asked.get(id).copied().unwrap_or(0.0).max(1e-9));
                let reservation = v.reserve.rate() * f.demand / all;
                Ask { demand: f.demand, reservation, weight: self.plans[v.plan.0].weight }
            };
            let asks: Vec<Ask> = nd.flows.iter().map(ask).collect();
            nd.reserved = asks.iter().map(|a| a.reservation).sum();
            for (f, (_, spare)) in nd.flows.values_mut().zip(fill(estimate, &asks)) {
                f.spare.get_or_insert_with(|| TokenBucket::new(spare, spare, spare)).retune(spare, spare);
            }
        }
        let heard = self.bk.nodes.values().map(|nd| nd.rate).filter(|r| *r > 0.0);
        self.bk.usual_rate = heard.clone().sum::<f64>() / heard.count().max(1) as f64;
        self.tune_cold();
        self.bk.keys.sweep(now);
        self.bk.forget(self.budget.as_ref().map_or(INTERVAL, |rule| rule.window + INTERVAL));
        self.per_unit.halve_above(PER_UNIT_KEPT);
    }

    /// Benefit per unit, by the bucket that would pay, and whether one would.
    fn value(&self, x: &PendingRequest, id: Option<NodeId>) -> (f64, bool) {
        let (timely, paid) = self.timely(x, id);
        let late = self.bk.now + self.expected(id, x.request.units) > x.objective_at;
        (
            timely * if late { self.traffic_classes[x.request.traffic_class.0].late_fraction } else { 1.0 },
            paid,
        )
    }

    /// The same, were it in time: alike for all of one volume and traffic class.
    fn timely(&self, x: &PendingRequest, id: Option<NodeId>) -> (f64, bool) {
        let nd = id.and_then(|n| self.bk.nodes.get(&n));
        let stream = &self.traffic_classes[x.request.traffic_class.0];
        let spare = nd.and_then(|nd| nd.flows.get(&x.request.volume)).and_then(|f| f.spare.as_ref());
        let v = &self.bk.volumes[&x.request.volume];
        let (part, paid) = match spare {
            _ if v.reserve.held() > 0.0 => (1.0, true),
            Some(b) if b.held() <= 0.0 => (self.units.spare_fraction, false),
            _ => (self.units.share_fraction, true),
        };
        (part * stream.priority_weight * self.plans[v.plan.0].price, paid)
    }

    /// The rules and the buckets let it go to this node now.
    fn may_send(&self, id: RequestId, x: &PendingRequest, node: NodeId) -> bool {
        self.rejection(id, x, node).is_none()
    }

    /// Which of the rules and the buckets keeps it from going to this node now.
    pub(crate) fn rejection(&self, id: RequestId, x: &PendingRequest, node: NodeId) -> Option<BlockReason> {
        let nd = &self.bk.nodes[&node];
        let (now, stream) = (self.bk.now, &self.traffic_classes[x.request.traffic_class.0]);
        let limit = self.bk.volumes[&x.request.volume].limit.as_ref();
        let key = x.request.key.filter(|_| stream.ordered);
        match () {
            _ if !(x.not_before..x.request.deadline).contains(&now) => Some(BlockReason::RetryDelay),
            _ if key.is_some_and(|key| !self.bk.keys.has_turn(key, id, now)) => Some(BlockReason::KeyOrder),
            _ if x.attempts > 0 && !self.retry_allowed() => Some(BlockReason::RetryBudget),
            _ if !x.drawn && limit.is_some_and(|b| b.held() < x.request.units) => {
                Some(BlockReason::RateLimit)
            }
            _ if nd.cold.as_ref().is_some_and(|b| b.held() <= 0.0) => Some(BlockReason::SlowStart),
            _ if !may_resend(stream.idempotency, x.ran, (nd.zone, nd.shard), now) => {
                Some(BlockReason::Idempotency)
            }
            _ => match self.value(x, Some(node)) {
                (_, false) if nd.tokens.held() <= 0.0 => Some(BlockReason::Share),
                (value, _) => (!self.eased(x.lot, nd, value)).then_some(BlockReason::Throttled),
            },
        }
    }

    /// Whether the node's ease lets a request of that value go. The scale is the settings', alike on all
    /// hosts: measured against what it is itself offered, a host with nothing but a surge would rank the
    /// surge as high as another host its reservations.
    fn eased(&self, lot: f64, nd: &Node, value: f64) -> bool {
        let (least, best) = self.bk.values;
        let place = ((value / least).max(1.0).ln() / (best / least).ln()).min(1.0);
        place + lot * EASE_BLUR >= (1.0 - nd.ease) * (1.0 + EASE_BLUR)
    }

    /// From when on the node has room for so many units, as far as time alone decides; None where something
    /// must come back first, or the node must change.
    pub(crate) fn opens(&self, node: NodeId, units: f64) -> Option<Duration> {
        let nd = &self.bk.nodes[&node];
        let rate = if nd.rate > 0.0 { nd.rate } else { self.bk.usual_rate };
        let most = bound(rate, self.tightest, self.units.mean, self.cold.hosts) * nd.brake;
        // Many hosts with one request out each are too many for one node: below one, the bound paces.
        let gap = || self.expected(Some(node), units).mul_f64(units / most);
        match nd.state == NodeState::Ready {
            true if nd.out <= 0.0 && units > most => Some(nd.open_from.max(nd.sent + gap())),
            true if nd.out <= 0.0 || nd.out + units <= most => Some(nd.open_from),
            _ => None,
        }
    }

    fn room(&self, node: NodeId, units: f64) -> bool {
        self.opens(node, units).is_some_and(|at| at <= self.bk.now)
    }

    /// Between ticks only those nodes are looked at where something changed or a time has come: with many
    /// nodes, an answer of one must not cost a look at all.
    fn decide(&mut self, ticked: bool, planned: bool) {
        if ticked {
            self.listen();
        }
        let tick = (self.bk.ticked.as_nanos() / TICK.as_nanos()) as u32;
        self.place(ticked, tick);
        for node in self.bk.to_visit(ticked || planned) {
            while let Some(id) = self.next_at(node) {
                self.send(id, node);
            }
            let every = seldom(self.bk.nodes[&node].held.len());
            if ticked && tick.is_multiple_of(every) {
                self.shed(node, TICK * (every - 1));
            }
        }
    }

    /// The held request that goes to the node now. Where time alone will make room, the node is looked at
    /// again then.
    fn next_at(&mut self, node: NodeId) -> Option<RequestId> {
        // Most looks find the node full: what the smallest has no room for, none has.
        let mut units = self.bk.least_units?;
        let mut found = None;
        for _ in 0..2 {
            let at = self.opens(node, units)?;
            if at > self.bk.now {
                self.bk.due.insert((at, node));
                return None;
            }
            if found.is_some() {
                break;
            }
            found = Some(self.best(node)?.2);
            units = self.bk.requests[&found?].request.units;
        }
        found
    }

    /// What the held request that should go next to the node would bring, when it should have gone, and
    /// which it is. A smaller one behind it waits, or large ones would never go.
    fn best(&self, node: NodeId) -> Option<(f64, Reverse<Duration>, RequestId)> {
        let soonest = self.bk.now + self.expected(Some(node), 0.0);
        let firsts = self.bk.nodes[&node].held.lines().filter_map(|line| self.first(line, node, soonest));
        firsts.max_by(|a, b| a.partial_cmp(b).expect("values are finite"))
    }

    /// The best of a line that may go: of those that can be in time the earliest, else of the late ones.
    /// None can be in time whose latency objective comes before `soonest`.
    fn first(
        &self, line: &Line, node: NodeId, soonest: Duration,
    ) -> Option<(f64, Reverse<Duration>, RequestId)> {
        let nd = &self.bk.nodes[&node];
        let any = &self.bk.requests[&line.first()?.1 .0];
        // What bars the luckiest of a line bars it whole, however long it is.
        let (timely, paid) = self.timely(any, Some(node));
        let limit = self.bk.volumes[&any.request.volume].limit.as_ref().filter(|_| !any.drawn);
        let spent = limit.is_some_and(|b| b.held() < self.bk.least_units.unwrap_or(0.0));
        if spent || !(paid || nd.tokens.held() > 0.0) || !self.eased(1.0, nd, timely) {
            return None;
        }
        let value = |(objective_at, Reverse(id)): &(Duration, Reverse<RequestId>)| {
            let x = &self.bk.requests[id];
            self.may_send(*id, x, node).then(|| (self.value(x, Some(node)).0, Reverse(*objective_at), *id))
        };
        let split = (soonest, Reverse(RequestId([u8::MAX; 36])));
        let late = line.range(..split).find_map(value);
        let mut behind = None;
        let in_time = line.range(split..).filter_map(value).find(|v| {
            behind = behind.or(Some(*v));
            v.0 >= timely
        });
        let all = [late, in_time, behind].into_iter().flatten();
        all.max_by(|a, b| a.partial_cmp(b).expect("values are finite"))
    }

    /// A node with attempts out that has answered nothing for long is silent; one heard from is not. Guards
    /// against hangs, cut links and dead nodes the list still shows. Harm: one heavy request alone there.
    fn listen(&mut self) {
        let now = self.bk.now;
        let least = self.per_unit.quantile(LEAST_PART).unwrap_or(self.tightest);
        self.bk.settle_busy();
        for id in &self.bk.busy {
            let Some(nd) = self.bk.nodes.get_mut(id) else { continue };
            let mut overdue = 0;
            for (attempt, sent) in &nd.attempts {
                let Some(x) = self.bk.requests.get_mut(attempt).filter(|x| !x.felt) else { continue };
                x.felt = now
                    > *sent + least.mul_f64(x.request.units) + self.tightest.mul_f64(LATENCY_OBJECTIVE_PART);
                overdue += usize::from(x.felt);
            }
            let all = &mut self.bk.late;
            (0..overdue).for_each(|_| nd.feel(now, EASE_DOWN, EASE_SPAN, all, LATE_WEIGHT, belief));
            nd.answers.was_held |= !nd.held.is_empty();
            let since = nd.attempts.values().min().map_or(now, |sent| nd.heard.max(*sent));
            if now > since + self.tightest * SILENT_LATENCY_OBJECTIVES {
                nd.shut(&mut self.bk.out, format!("no answer for {:?}", now - since));
            }
        }
    }

    /// Held requests, the best first.
    fn ranked(&self, held: impl Iterator<Item = RequestId>, nd: Option<NodeId>) -> Vec<RequestId> {
        let mut line: Vec<_> = held.map(|h| (self.value(&self.bk.requests[&h], nd).0, h)).collect();
        line.sort_unstable_by(|a, b| b.partial_cmp(a).expect("values are finite"));
        line.into_iter().map(|(_, id)| id).collect()
    }

    /// Gives up at once what cannot be in time behind what goes first, so that its client may ask again; at
    /// the latest when the next look, so much later, would find its time up.
    fn shed(&mut self, node: NodeId, next: Duration) {
        let (nd, now) = (&self.bk.nodes[&node], self.bk.now);
        let rate = if nd.rate > 0.0 { nd.rate } else { self.bk.usual_rate };
        let most = bound(rate, self.tightest, self.units.mean, self.cold.hosts) * nd.brake;
        let rate = rate.max(most / secs(self.expected(Some(node), self.units.mean)));
        let (mut ahead, mut below, mut doomed) = (0.0, false, Vec::new());
        for id in self.ranked(nd.held.ids(), Some(node)) {
            let x = &self.bk.requests[&id];
            let wait = wait_behind(ahead, rate);
            let ready = now + wait + self.expected(Some(node), x.request.units);
            let barred = ready > x.objective_at && !self.eased(x.lot, nd, self.value(x, Some(node)).0);
            if barred || ready + next > x.request.deadline || self.overheld(x, next) {
                doomed.push((id, wait.max(COME_BACK)));
            } else {
                ahead += x.request.units;
                let reserved = self.bk.volumes[&x.request.volume].reserve.held() > 0.0;
                below |= reserved && now > x.taken + INTERVAL / 2;
            }
        }
        doomed.into_iter().for_each(|(id, wait)| self.give_up(id, wait));
        self.bk.nodes.get_mut(&node).expect("looked up above").answers.below_reservation |= below;
    }

    /// What has not gone by half of its time would come late if at all; its client still has time to ask
    /// again.
    fn overheld(&self, x: &PendingRequest, next: Duration) -> bool {
        x.attempts == 0 && self.bk.now + TICK + next >= x.taken + (x.request.deadline - x.taken) / 2
    }

    /// New objects go to the first node in their volume's ranking, or the next when that has enough: no
    /// room, something better of its own waiting, or sickness (a node that fails fast looks idle).
    fn place(&mut self, ticked: bool, tick: u32) {
        let every = seldom(self.bk.floating.len());
        let whole = every == 1 || ticked && tick.is_multiple_of(every);
        let line = match whole {
            true => self.ranked(self.bk.floating.iter().copied(), None),
            false => self.bk.floating[..AT_ONCE.min(self.bk.floating.len())].to_vec(),
        };
        if whole {
            self.bk.floating.clone_from(&line); // between whole looks, what was best then is tried
        }
        let (mut stuck, mut roomy) = (0.0, None);
        for id in line {
            let x = &self.bk.requests[&id];
            let fit = |n: NodeId| {
                let own = (self.value(x, Some(n)).0, Reverse(x.objective_at), id);
                self.may_send(id, x, n) && self.best(n).is_none_or(|b| own > b)
            };
            let first = |(n, nd): (&NodeId, &Node)| {
                (x.last != Some(*n), nd.ease > EASY, rank_of(x.request.volume, *n), *n)
            };
            let well = |(_, nd): &(&NodeId, &Node)| nd.bad_row < SHUT_AFTER;
            // The first is nearly always the one; only where it is not are all gone through.
            let top = self.bk.nodes.iter().filter(well).map(first).max().map(|(.., n)| n);
            let node = top.filter(|n| self.room(*n, x.request.units) && fit(*n)).or_else(|| {
                let least = self.bk.least_units.unwrap_or(0.0);
                let some =
                    || self.bk.nodes.iter().filter(well).map(|(n, _)| *n).filter(|n| self.room(*n, least));
                let roomy: &mut Vec<NodeId> = roomy.get_or_insert_with(|| some().collect());
                let open = roomy.iter().filter(|n| self.room(**n, x.request.units));
                let mut open: Vec<_> = open.map(|n| first((n, &self.bk.nodes[n]))).collect();
                open.sort_unstable_by(|a, b| b.cmp(a));
                open.into_iter().map(|(.., n)| n).find(|n| fit(*n))
            });
            let wait = wait_behind(stuck, self.bk.usual_rate * self.bk.nodes.len() as f64);
            let ready = self.bk.now + wait + self.expected(None, x.request.units) + TICK * (every - 1);
            match node {
                Some(node) => self.send(id, node),
                None if ticked && (ready > x.request.deadline || self.overheld(x, TICK * (every - 1))) => {
                    self.give_up(id, wait.max(COME_BACK))
                }
                None => stuck += x.request.units,
            }
        }
    }

    fn send(&mut self, id: RequestId, node: NodeId) {
        let (_, paid) = self.value(&self.bk.requests[&id], Some(node));
        self.bk.moves(id);
        let x = self.bk.requests.get_mut(&id).expect("held, so known");
        let v = self.bk.volumes.get_mut(&x.request.volume).expect("made when taken");
        let nd = self.bk.nodes.get_mut(&node).expect("looked up above");
        let spare = nd.flows.get_mut(&x.request.volume).and_then(|f| f.spare.as_mut());
        if v.reserve.held() > 0.0 {
            v.reserve.take(x.request.units);
        } else if let (true, Some(spare)) = (paid, spare) {
            spare.take(x.request.units);
        }
        if x.attempts > 0 {
            self.bk.further.add(self.bk.now);
        }
        if !std::mem::replace(&mut x.drawn, true) {
            v.limit.iter_mut().for_each(|b| b.take(x.request.units));
        }
        // Late behind others of our own is for the brake; late alone is others' doing.
        (x.want, x.attempts, x.last, x.felt) = (Want::Out(node), x.attempts + 1, Some(node), nd.out > 0.0);
        nd.attempt_started(&x.request, self.bk.now);
        self.bk.busy.insert(node);
    }

    /// Brings what is out, answered and timed into line with what is wanted.
    fn reconcile(&mut self) -> Vec<Action> {
        let now = self.bk.now;
        for id in std::mem::take(&mut self.bk.changed) {
            let Some(x) = self.bk.requests.get_mut(&id).filter(|x| !x.over) else { continue };
            match x.want {
                Want::Out(node) if x.out.is_none() => {
                    x.out = Some(node);
                    self.bk.out.push(Action::SendAttempt { id, node, deadline: x.request.deadline });
                }
                Want::Deferred(wait) => {
                    let retry_after = self.host_limits.max_retry_after.map(|most| wait.min(most));
                    self.bk.out.push(Action::Reject { id, retry_after });
                    self.bk.close(id);
                }
                Want::Abandoned => {
                    self.bk.out.push(Action::Fail { id });
                    self.bk.close(id);
                }
                _ => {}
            }
        }
        if self.bk.watch_at.take_if(|at| now >= *at).is_some() {
            self.bk.out.push(Action::WatchEndpoints { on: true });
        }
        let beat = if self.bk.holds() { self.bk.ticked + TICK } else { self.bk.planned + INTERVAL };
        let wanted = beat.min(self.bk.watch_at.unwrap_or(beat)).max(now + TICK / 10);
        if self.bk.armed.is_none_or(|at| at <= now || at > wanted) {
            (self.bk.armed, self.bk.tag) = (Some(wanted), self.bk.tag + 1);
            self.bk.out.push(Action::SetTimer { after: wanted - now, tag: TimerTag(self.bk.tag) });
        }
        std::mem::take(&mut self.bk.out)
    }
}
