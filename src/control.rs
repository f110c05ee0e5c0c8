//! Decides, on one host, which transfers go out now, which are held, and which are given up.
//!
//! Called as `Control::new(..)` once and then `step(now, events)` for every batch; what comes back is
//! the list of actions. The words of both are in `interface.rs`; `bucket.rs` and `histogram.rs` are
//! plain helpers. The design (docs/design.md) decides the ordinary path: demand, probing window,
//! split, fill, buckets and the bound on units out. Beside it stand these mechanisms, six at most:
//!
//! 1. the brake: late answers shrink a node's bound below the design's floor;
//! 2. the watch on nodes: silent, failing and newly come nodes get trials, not traffic;
//! 3. order by benefit among held transfers, and giving up early what cannot be in time;
//! 4. further legs, spaced, while the time left exceeds the expected time;
//! 5. the rule guards: drains, cold parts, key order, repeats, leg budget, limit parts;
//! 6. following the list, with backed-off, jittered renewal.

use crate::bucket::TokenBucket;
use crate::histogram::Histogram;
use crate::interface::*;
use crate::state::*;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

const TICK: Duration = Duration::from_millis(10);
const INTERVAL: Duration = Duration::from_millis(500);
const SMOOTH: f64 = 0.3;
const ALPHA: f64 = 0.2;
const BAD_READINGS: u32 = 3;
const STABLE_WITHIN: f64 = 0.01;
const MIX_CHANGE: f64 = 0.10;
const SLO_PART: f64 = 0.25;
const FLOOR_LARGE: f64 = 2.0;
const LARGE: f64 = 2.0;
const MOST_OUT: f64 = 32.0;
const START_XFERS: f64 = 4.0;
const BRAKE_LEAST: f64 = 0.2;
const FAILING: f64 = 0.5;
const TRIAL_EVERY: Duration = Duration::from_millis(500);
const COLD_PART: f64 = 0.4;
const SILENT_SLOS: u32 = 2;
const PER_UNIT_KEPT: f64 = 400.0;
const RETURN_SPREAD: Duration = Duration::from_millis(400);

fn secs(d: Duration) -> f64 {
    d.as_secs_f64()
}

fn smooth(old: f64, new: f64, part: f64) -> f64 {
    old + part * (new - old)
}

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

/// What one flow asks of a node, and on what terms. Rates are units a second.
#[derive(Debug, Clone, Copy)]
pub struct Ask {
    pub demand: f64,
    pub reservation: f64,
    pub weight: f64,
}

/// Fills reservations first, then deals the leftover to unmet demand by weight. Answers each flow's
/// reserved and spare rate.
pub fn fill(capacity: f64, asks: &[Ask]) -> Vec<(f64, f64)> {
    let mut given: Vec<(f64, f64)> = asks.iter().map(|a| (a.demand.min(a.reservation), 0.0)).collect();
    let reserved: f64 = given.iter().map(|g| g.0).sum();
    if reserved > capacity && reserved > 0.0 {
        given.iter_mut().for_each(|g| g.0 *= capacity / reserved);
        return given;
    }
    let mut left = capacity - reserved;
    loop {
        let open = |g: &(f64, f64), a: &Ask| a.weight > 0.0 && a.demand - g.0 - g.1 > 1e-6;
        let weights: f64 = given.iter().zip(asks).filter(|(g, a)| open(g, a)).map(|(_, a)| a.weight).sum();
        if weights <= 0.0 || left <= 1e-6 {
            return given;
        }
        let each = left / weights;
        for (g, a) in given.iter_mut().zip(asks).filter(|(g, a)| open(g, a)) {
            let more = (a.demand - g.0 - g.1).min(each * a.weight);
            g.1 += more;
            left -= more;
        }
    }
}

#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Phase {
    Search,
    Wait,
    Stable { outstanding: f64 },
}

/// One interval's view of a node.
#[derive(Debug, Clone, Default)]
pub struct Reading {
    /// Transfers were held while answers came slower, or full.
    pub congested: bool,
    /// A volume was held below its reservation.
    pub below_reservation: bool,
    pub outstanding: f64,
    /// Smoothed units by stream type, as parts of one.
    pub mix: Vec<f64>,
}

/// The probing window over what this host can get from a node (paper, 4.3).
#[derive(Debug, Clone)]
pub struct Window {
    pub low: f64,
    pub high: f64,
    pub estimate: f64,
    pub phase: Phase,
    bad: u32,
    edges: (f64, f64),
    mix: Vec<f64>,
}

impl Window {
    pub fn new(low: f64, high: f64) -> Self {
        let high = high.max(low);
        let edges = (low, high);
        Window { low, high, estimate: low, phase: Phase::Search, bad: 0, edges, mix: Vec::new() }
    }

    /// One pause or flush slows a single reading; only the third in a row is believed.
    pub fn read(&mut self, r: &Reading) {
        self.bad = if r.congested { self.bad + 1 } else { 0 };
        match self.phase {
            Phase::Wait if r.below_reservation => {}
            Phase::Stable { outstanding } => {
                let moved = self.estimate - ALPHA * (r.outstanding - outstanding);
                self.estimate = moved.clamp(self.edges.0, self.edges.1);
                let apart = |(a, b): (&f64, &f64)| (a - b).abs() > MIX_CHANGE;
                if r.mix.len() != self.mix.len() || r.mix.iter().zip(&self.mix).any(apart) {
                    (self.low, self.high) = self.edges;
                    self.phase = Phase::Search;
                }
            }
            _ if self.bad >= BAD_READINGS || r.below_reservation => {
                self.bad = 0;
                self.high = self.estimate.max(self.low);
                self.estimate = self.low;
                self.phase = if r.below_reservation { Phase::Wait } else { Phase::Search };
                self.settle(r);
            }
            _ if r.congested => {}
            _ => {
                self.phase = Phase::Search;
                self.low = self.estimate;
                self.estimate = (self.low + self.high) / 2.0;
                self.settle(r);
            }
        }
    }

    fn settle(&mut self, r: &Reading) {
        if self.phase == Phase::Search && self.high - self.low <= STABLE_WITHIN * self.edges.1 {
            self.phase = Phase::Stable { outstanding: r.outstanding };
            self.mix = r.mix.clone();
        }
    }
}

/// Units that this host may have out at a node: the learned rate over part of the tightest SLO time,
/// at least a few large transfers, at most so many mean ones.
pub fn bound(rate: f64, tightest: Duration, mean_units: f64) -> f64 {
    let floor = FLOOR_LARGE * LARGE * mean_units;
    (rate * SLO_PART * secs(tightest)).max(floor).min(MOST_OUT * mean_units)
}

/// The nodes' fixed ranking for a volume (rendezvous hashing): highest first.
pub fn rank_of(volume: VolumeId, node: NodeId) -> u64 {
    let mut z = volume.0 ^ u64::from(node.0).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    for shift in [30, 27, 31] {
        z = (z ^ (z >> shift)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    }
    z
}

/// Whether a leg may follow one that may have run (repeat rule). `ran` is where and when that was.
pub fn may_repeat(repeat: Repeat, ran: Option<Ran>, to: (ZoneId, CellId), now: Duration) -> bool {
    match (ran, repeat) {
        (None, _) | (_, Repeat::Repeatable) => true,
        (Some(_), Repeat::Unrepeatable) => false,
        (Some(Ran { zone, cell, sent }), Repeat::Keyed { group, remembered }) => {
            let inside = match group {
                RepeatGroup::All => true,
                RepeatGroup::Zone => zone == to.0,
                RepeatGroup::Cell => cell == to.1,
            };
            inside && now < sent + remembered
        }
    }
}

/// Whether the client may be told that trying again is harmless.
pub fn may_defer(repeat: Repeat, may_have_run: bool) -> bool {
    !may_have_run || matches!(repeat, Repeat::Repeatable | Repeat::Keyed { group: RepeatGroup::All, .. })
}

/// What this host may send to a cold node: its part of the units that are always borne, or of the
/// least that a node of this rate can do by now. Half fills and half is held, so that a full bucket
/// and its refill together stay inside one span of the rule.
pub fn cold_part(rule: &ColdRule, own_rate: f64, age: Duration) -> f64 {
    let warm = (secs(age) / secs(rule.warm_within).max(1e-3)).min(1.0);
    let capacity = rule.starts_at + (1.0 - rule.starts_at) * warm;
    let able = COLD_PART * rule.multiple * capacity * own_rate * secs(rule.fall_within);
    able.max(rule.units / rule.hosts.max(1) as f64) / 2.0
}

/// Legs beyond the first, held inside the budget of any window.
#[derive(Debug, Default)]
pub struct Ration {
    rule: Option<LegBudget>,
    taken: VecDeque<Duration>,
    further: VecDeque<Duration>,
}

impl Ration {
    pub fn new(rule: Option<LegBudget>) -> Self {
        Ration { rule, ..Ration::default() }
    }

    pub fn take(&mut self, now: Duration) {
        if self.rule.is_some() {
            self.taken.push_back(now);
        }
    }

    pub fn allows(&mut self, now: Duration) -> bool {
        let Some(rule) = &self.rule else { return true };
        // The edge of the window is read against us on both counts: transfers leave a tick early, legs late.
        while self.taken.front().is_some_and(|t| *t + rule.window <= now + TICK) {
            self.taken.pop_front();
        }
        while self.further.front().is_some_and(|t| *t + rule.window + TICK < now) {
            self.further.pop_front();
        }
        (self.further.len() + 1) as f64 <= rule.floor + rule.share * self.taken.len() as f64
    }

    pub fn spend(&mut self, now: Duration) {
        if self.rule.is_some() {
            self.further.push_back(now);
        }
    }
}

/// Transfers that share a key, in the order taken, and the rest after a leg that may still run.
#[derive(Debug, Default)]
pub struct KeyLines {
    lines: BTreeMap<KeyId, (VecDeque<XferId>, Duration, Option<XferId>)>,
}

impl KeyLines {
    pub fn join(&mut self, key: KeyId, id: XferId) {
        self.lines.entry(key).or_default().0.push_back(id);
    }

    pub fn leave(&mut self, key: KeyId, id: XferId) {
        if let Some(line) = self.lines.get_mut(&key) {
            line.0.retain(|x| *x != id);
        }
    }

    pub fn doubt(&mut self, key: KeyId, id: XferId, until: Duration) {
        let line = self.lines.entry(key).or_default();
        (line.1, line.2) = (line.1.max(until), Some(id));
    }

    pub fn has_turn(&self, key: KeyId, id: XferId, now: Duration) -> bool {
        self.lines.get(&key).is_none_or(|(line, rest, by)| {
            line.front().is_none_or(|f| *f == id) && (now >= *rest || *by == Some(id))
        })
    }

    fn sweep(&mut self, now: Duration) {
        self.lines.retain(|_, (line, rest, _)| !line.is_empty() || now < *rest);
    }
}

#[derive(Debug)]
pub struct Control {
    now: Duration,
    rng: Pcg64Mcg,
    streams: Vec<StreamType>,
    plans: Vec<Plan>,
    units: UnitFacts,
    caps: LegCaps,
    cold: ColdRule,
    list: ListRule,
    key_rest: Duration,
    ration: Ration,
    keys: KeyLines,
    tightest: Duration,
    nodes: BTreeMap<NodeId, Node>,
    volumes: BTreeMap<VolumeId, Volume>,
    xfers: BTreeMap<XferId, Xfer>,
    floating: Vec<XferId>,
    per_unit: Histogram,
    ticked: Duration,
    planned: Duration,
    armed: Option<Duration>,
    tag: u64,
    watch_at: Option<Duration>,
    watch_tries: u32,
    changed: Vec<XferId>,
    out: Vec<Action>,
}

impl Control {
    pub fn new(
        seed: u64,
        streams: Vec<StreamType>,
        plans: Vec<Plan>,
        units: UnitFacts,
        caps: LegCaps,
    ) -> Self {
        let tightest = streams.iter().map(|s| s.slo).filter(|d| *d > TICK).min().unwrap_or(INTERVAL);
        Control {
            now: Duration::ZERO,
            rng: Pcg64Mcg::seed_from_u64(seed),
            streams,
            plans,
            units,
            caps,
            cold: ColdRule::default(),
            list: ListRule::default(),
            key_rest: Duration::ZERO,
            ration: Ration::default(),
            keys: KeyLines::default(),
            tightest,
            nodes: BTreeMap::new(),
            volumes: BTreeMap::new(),
            xfers: BTreeMap::new(),
            floating: Vec::new(),
            per_unit: Histogram::new(Duration::from_millis(2), 1.4, 16),
            ticked: Duration::ZERO,
            planned: Duration::ZERO,
            armed: None,
            tag: 0,
            watch_at: None,
            watch_tries: 0,
            changed: Vec::new(),
            out: Vec::new(),
        }
    }

    /// The figures of the rules.
    pub fn guarded(
        mut self,
        cold: ColdRule,
        list: ListRule,
        legs: Option<LegBudget>,
        key_rest: Duration,
    ) -> Self {
        (self.cold, self.list, self.key_rest) = (cold, list, key_rest);
        self.ration = Ration::new(legs);
        self
    }

    pub fn step(&mut self, now: Duration, events: Vec<Event>) -> Vec<Action> {
        if self.armed.is_none() {
            (self.ticked, self.planned) = (now, now);
            // All hosts may start at once, and the list's service has room for few calls at a time.
            self.watch_at = self.list.on_asking.then(|| now + self.spread(INTERVAL));
        }
        self.now = now;
        let ticks = (now.saturating_sub(self.ticked).as_micros() / TICK.as_micros()) as u32;
        self.refill(ticks);
        events.into_iter().for_each(|e| self.hear(e));
        if now >= self.planned + INTERVAL {
            self.plan();
        }
        self.decide(ticks > 0);
        self.reconcile()
    }

    fn spread(&mut self, most: Duration) -> Duration {
        most.mul_f64(self.rng.random::<f64>())
    }

    fn refill(&mut self, ticks: u32) {
        self.ticked += TICK * ticks;
        let (span, n) = (secs(TICK) * f64::from(ticks), f64::from(ticks));
        for v in self.volumes.values_mut() {
            v.reserve.refill(span);
            v.limit.iter_mut().for_each(|b| b.refill(span));
        }
        for nd in self.nodes.values_mut() {
            nd.tokens.refill(span);
            nd.cold.iter_mut().for_each(|b| b.refill(span));
            for f in nd.flows.values_mut() {
                f.spare.iter_mut().for_each(|b| b.refill(span));
                f.queued_sum += f.held * n;
                f.out_sum += f.out * n;
            }
        }
    }

    fn hear(&mut self, event: Event) {
        match event {
            Event::Taken(x) => self.take(x),
            Event::Begun { id, .. } => {
                if let Some(x) = self.xfers.get_mut(&id) {
                    x.begun = true;
                }
            }
            Event::LegOver { id, node, end, elapsed, over, reported, .. } => {
                self.leg_over(id, node, end, elapsed, over, reported);
            }
            Event::Withdrawn { id } => self.close(id),
            Event::List { kind, entries } => self.follow(kind, entries),
            Event::Timer { .. } | Event::Probed { .. } | Event::Told { .. } => {}
        }
    }

    fn take(&mut self, x: Transfer) {
        self.ration.take(self.now);
        let (stream, plan) = (&self.streams[x.stream_type.0], &self.plans[x.plan.0]);
        let hosts = x.hosts.max(1) as f64;
        self.volumes.entry(x.volume).or_insert_with(|| {
            let rate = plan.reservation / hosts;
            // A host that was restarted has forgotten what it drew from the limit's store, so its part
            // starts empty but for its part of the slack. Harm: a volume's first burst comes slower.
            let part = |of: f64| of / hosts;
            let limit = TokenBucket::new(part(plan.limit), part(plan.limit_burst), 0.0);
            Volume {
                plan: x.plan,
                hosts: x.hosts.max(1),
                done: 0.0,
                done_rate: 0.0,
                reported: None,
                reserve: TokenBucket::new(rate, rate, rate),
                limit: (plan.limit > 0.0).then_some(limit),
            }
        });
        let id = x.id;
        if let (true, Some(key)) = (stream.ordered, x.key) {
            self.keys.join(key, id);
        }
        let xfer = Xfer {
            taken: self.now,
            slo_at: self.now + stream.slo,
            want: Want::Held,
            over: false,
            begun: false,
            legs: 0,
            out: None,
            last: None,
            ran: None,
            not_before: self.now,
            x,
        };
        self.xfers.insert(id, xfer);
        self.hold(id);
    }

    /// Puts a transfer among those held at the node that has its data, or among those that any may take.
    fn hold(&mut self, id: XferId) {
        let Some(x) = self.xfers.get_mut(&id) else { return };
        x.want = Want::Held;
        let Some(cell) = x.x.cell else { return self.floating.push(id) };
        let ready = self.nodes.iter_mut().filter(|(_, nd)| nd.cell == cell && nd.state == NodeState::Ready);
        match ready.max_by_key(|(_, nd)| nd.started) {
            Some((_, nd)) => {
                nd.held.push(id);
                nd.flows.entry(x.x.volume).or_default().held += x.x.units;
            }
            None => self.give_up(id, TRIAL_EVERY),
        }
    }

    fn give_up(&mut self, id: XferId, wait: Duration) {
        let Some(x) = self.xfers.get_mut(&id).filter(|x| !x.over) else { return };
        let repeat = self.streams[x.x.stream_type.0].repeat;
        let end = if may_defer(repeat, x.ran.is_some()) { Want::Deferred(wait) } else { Want::Abandoned };
        x.want = end;
        self.unhold(id);
        self.changed.push(id);
    }

    /// The transfer needs nothing more from us; its record stays while a leg is out.
    fn close(&mut self, id: XferId) {
        let Some(x) = self.xfers.get_mut(&id) else { return };
        let was_held = !x.over && x.want == Want::Held;
        x.over = true;
        let (key, out) = (x.x.key, x.out);
        if was_held {
            self.unhold(id);
        }
        if out.is_none() {
            self.xfers.remove(&id);
            if let Some(key) = key {
                self.keys.leave(key, id);
            }
        }
    }

    fn leg_over(
        &mut self,
        id: XferId,
        node: NodeId,
        end: LegEnd,
        elapsed: Duration,
        over: bool,
        told: Option<f64>,
    ) {
        let Some(x) = self.xfers.get_mut(&id) else { return };
        x.out = None;
        let (xr, may_run) = (x.x.clone(), !matches!(end, LegEnd::Full | LegEnd::NoConnection | LegEnd::Moot));
        let sent = self.now.saturating_sub(elapsed);
        let (tightest, now) = (self.tightest, self.now);
        let v = self.volumes.get_mut(&xr.volume).expect("made when taken");
        if let Some(percent) = told {
            v.reported = Some((percent / 100.0 * self.plans[xr.plan.0].base_rate, now));
        }
        if let Some(nd) = self.nodes.get_mut(&node) {
            nd.out -= xr.units;
            nd.legs.remove(&id);
            nd.flows.entry(xr.volume).or_default().out -= xr.units;
            let bad = matches!(end, LegEnd::Error | LegEnd::NoConnection | LegEnd::Reset);
            nd.errors = smooth(nd.errors, f64::from(u8::from(bad)), SMOOTH);
            if may_run && x.ran.is_none() && end != LegEnd::Done {
                x.ran = Some(Ran { zone: nd.zone, cell: nd.cell, sent });
            }
            match end {
                LegEnd::Done => {
                    (nd.done, v.done) = (nd.done + xr.units, v.done + xr.units);
                    self.per_unit.add(elapsed.div_f64(xr.units.max(0.5)));
                    let own = self.per_unit.quantile(0.15).unwrap_or_default().mul_f64(xr.units);
                    let lag = elapsed.saturating_sub(own);
                    nd.lags.add(lag);
                    nd.answers += 1.0;
                    let late = lag > tightest.mul_f64(SLO_PART);
                    nd.slow += f64::from(u8::from(late));
                    // Late answers of any cause (slow node, strangers' load, other hosts) shrink the bound
                    // below the design's floor, which alone would queue past the SLO time.
                    nd.brake = (nd.brake * if late { 0.9 } else { 1.05 }).clamp(BRAKE_LEAST, 1.0);
                }
                LegEnd::Full => {
                    nd.fulls += 1.0;
                    nd.brake = (nd.brake * 0.7).max(BRAKE_LEAST);
                }
                _ => {}
            }
            let answered = matches!(end, LegEnd::Done | LegEnd::Error | LegEnd::Full);
            if answered {
                nd.heard = now;
                if std::mem::take(&mut nd.silent) {
                    nd.open_from = now;
                    self.out.push(Action::Log { text: format!("node {} answers again", node.0) });
                }
            }
        }
        let x = &self.xfers[&id];
        let (legs, ended) = (x.legs, over || x.over || x.begun);
        let may_still_run = matches!(end, LegEnd::TimeOut | LegEnd::Reset | LegEnd::Cancelled);
        if let (true, true, Some(key)) = (may_still_run, self.streams[xr.stream_type.0].ordered, xr.key) {
            self.keys.doubt(key, id, now + self.key_rest);
        }
        if ended {
            return self.close(id);
        }
        let wait = self.spread(TICK * 2) + TICK * 2u32.pow(legs.min(6));
        let left = xr.expiry.saturating_sub(now);
        let goes_on = end != LegEnd::TimeOut && end != LegEnd::Moot && self.may_follow(id, node);
        if goes_on && left > self.expected(node, xr.units) + wait {
            self.xfers.get_mut(&id).expect("looked up above").not_before = now + wait;
            self.hold(id);
        } else {
            self.give_up(id, TRIAL_EVERY);
        }
    }

    fn may_follow(&mut self, id: XferId, node: NodeId) -> bool {
        let (x, nd) = (&self.xfers[&id], &self.nodes[&node]);
        let repeat = self.streams[x.x.stream_type.0].repeat;
        x.legs < self.caps.most_legs
            && may_repeat(repeat, x.ran, (nd.zone, nd.cell), self.now)
            && (x.legs == 0 || self.ration.allows(self.now))
    }

    /// Time that a leg of this size should take at the node: what its answers lately took over the
    /// best seen for their size, and that best.
    fn expected(&self, node: NodeId, units: f64) -> Duration {
        let lag = self.nodes.get(&node).and_then(|nd| nd.lags.quantile(0.5)).unwrap_or_default();
        lag + self.per_unit.quantile(0.5).unwrap_or_default().mul_f64(units)
    }

    fn follow(&mut self, kind: ListKind, entries: Vec<ListEntry>) {
        if kind == ListKind::NotHad {
            self.watch_tries += 1;
            let most = TICK * 20 * 2u32.pow(self.watch_tries.min(5));
            self.watch_at = Some(self.now + most / 2 + self.spread(most));
            return;
        }
        if kind != ListKind::Changes {
            for (id, nd) in &mut self.nodes {
                if !entries.iter().any(|e| e.node == *id) {
                    nd.state = NodeState::Gone;
                }
            }
        }
        let first = self.nodes.is_empty();
        if kind != ListKind::Remembered {
            self.watch_tries = 0;
        }
        for e in entries {
            let edges = (START_XFERS * self.units.mean, MOST_OUT * self.units.mean / secs(self.tightest));
            let lags = Histogram::new(Duration::from_millis(8), 1.5, 16);
            let new = Node::new(&e, Window::new(edges.0, edges.1), lags, self.now);
            let nd = self.nodes.entry(e.node).or_insert(new);
            let came =
                nd.started != e.started || (nd.state == NodeState::Gone && e.state == NodeState::Ready);
            (nd.zone, nd.cell, nd.state) = (e.zone, e.cell, e.state);
            nd.started = e.started;
            let fresh = e.started.is_some_and(|s| self.now < s + self.cold.warm_within);
            if came || (fresh && nd.cold.is_none()) {
                (nd.silent, nd.brake, nd.heard) = (false, 1.0, self.now);
                // All hosts learn of it about together; without the wait each would send first.
                let wait =
                    if first { Duration::ZERO } else { RETURN_SPREAD.mul_f64(self.rng.random::<f64>()) };
                nd.open_from = self.now + wait;
                nd.cold = fresh
                    .then(|| TokenBucket::new(0.0, self.cold.units / self.cold.hosts.max(1) as f64, 0.0));
                if fresh {
                    self.out.push(Action::Log { text: format!("node {} came back cold", e.node.0) });
                }
            }
        }
        self.tune_cold();
        let moved = self.nodes.values_mut().filter(|nd| nd.state != NodeState::Ready);
        for id in moved.flat_map(|nd| std::mem::take(&mut nd.held)).collect::<Vec<_>>() {
            self.hold(id);
        }
    }

    fn tune_cold(&mut self) {
        let usual = self.usual_rate();
        for nd in self.nodes.values_mut().filter(|nd| nd.cold.is_some()) {
            let age = self.now.saturating_sub(nd.started.unwrap_or_default());
            let rate = if nd.rate > 0.0 { nd.rate.min(usual) } else { usual };
            let part = cold_part(&self.cold, rate, age);
            nd.cold.iter_mut().for_each(|b| b.retune(part / secs(self.cold.fall_within).max(1e-3), part));
            if age >= self.cold.warm_within {
                nd.cold = None;
            }
        }
    }

    fn usual_rate(&self) -> f64 {
        let heard: Vec<f64> = self.nodes.values().map(|nd| nd.rate).filter(|r| *r > 0.0).collect();
        heard.iter().sum::<f64>() / heard.len().max(1) as f64
    }

    /// The control interval: demand, parts of reservations, windows, fill.
    fn plan(&mut self) {
        let span = secs(self.now - self.planned);
        self.planned = self.now;
        let ticks = span / secs(TICK);
        let mut asked: BTreeMap<VolumeId, f64> = BTreeMap::new();
        for nd in self.nodes.values_mut() {
            for (volume, f) in &mut nd.flows {
                let now = demand(f.used, f.held, f.queued_sum / ticks, f.out_sum / ticks) / span;
                f.demand = smooth(f.demand, now, SMOOTH);
                (f.used, f.queued_sum, f.out_sum) = (0.0, 0.0, 0.0);
                *asked.entry(*volume).or_default() += f.demand;
            }
            nd.flows.retain(|_, f| f.demand > 0.01 || f.out > 0.0 || f.held > 0.0);
        }
        for (id, v) in &mut self.volumes {
            v.done_rate = smooth(v.done_rate, v.done / span, SMOOTH);
            v.done = 0.0;
            // A report that no later one has replaced says nothing of now.
            let fresh = |(_, at): &(f64, Duration)| self.now < *at + self.units.meter * 3 + INTERVAL;
            let reported = v.reported.filter(fresh).map(|(rate, _)| rate);
            let part = host_part(asked.get(id).copied().unwrap_or(0.0), v.done_rate, reported, v.hosts);
            let rate = self.plans[v.plan.0].reservation * part;
            v.reserve.retune(rate, rate);
        }
        for nd in self.nodes.values_mut() {
            let done = nd.done / span;
            if nd.was_held || done > nd.rate {
                nd.rate = smooth(nd.rate, done, SMOOTH);
            }
            let all: f64 = nd.mix.iter().sum::<f64>().max(1e-9);
            let reading = Reading {
                congested: nd.was_held && (nd.fulls > 0.0 || nd.slow * 2.0 > nd.answers.max(1.0)),
                below_reservation: nd.below,
                outstanding: nd.flows.values().map(|f| f.out).sum(),
                mix: nd.mix.iter().map(|m| m / all).collect(),
            };
            nd.window.read(&reading);
            nd.mix.iter_mut().for_each(|m| *m *= 0.9);
            nd.lags.halve();
            (nd.done, nd.fulls, nd.slow, nd.answers) = (0.0, 0.0, 0.0, 0.0);
            (nd.was_held, nd.below) = (false, false);
            let estimate = nd.window.estimate;
            nd.tokens.retune(estimate, estimate);
            let ask = |(id, f): (&VolumeId, &Flow)| {
                let (v, all) = (&self.volumes[id], asked.get(id).copied().unwrap_or(0.0).max(1e-9));
                let reservation = v.reserve.rate() * f.demand / all;
                Ask { demand: f.demand, reservation, weight: self.plans[v.plan.0].weight }
            };
            let asks: Vec<Ask> = nd.flows.iter().map(ask).collect();
            for (f, (_, spare)) in nd.flows.values_mut().zip(fill(estimate, &asks)) {
                f.spare.get_or_insert_with(|| TokenBucket::new(spare, spare, spare)).retune(spare, spare);
            }
        }
        self.tune_cold();
        self.keys.sweep(self.now);
        self.per_unit.halve_above(PER_UNIT_KEPT);
    }

    /// Benefit per unit, by the bucket that would pay, and whether one would.
    fn value(&self, x: &Xfer, nd: Option<&Node>) -> (f64, bool) {
        let stream = &self.streams[x.x.stream_type.0];
        let flow = nd.and_then(|nd| nd.flows.get(&x.x.volume)).and_then(|f| f.spare.as_ref());
        let (part, paid) = match (self.volumes[&x.x.volume].reserve.held() > 0.0, flow) {
            (true, _) => (1.0, true),
            (_, None) => (self.units.share_part, true),
            (_, Some(spare)) if spare.held() > 0.0 => (self.units.share_part, true),
            _ => (self.units.spare_part, false),
        };
        let late = if self.now > x.slo_at { stream.late_part } else { 1.0 };
        (part * late * stream.benefit * self.plans[x.x.plan.0].price, paid)
    }

    fn may_send(&self, id: XferId, x: &Xfer, nd: &Node, further: bool) -> bool {
        let ordered = self.streams[x.x.stream_type.0].ordered;
        let turn = !ordered || x.x.key.is_none_or(|key| self.keys.has_turn(key, id, self.now));
        let limit = self.volumes[&x.x.volume].limit.as_ref();
        turn && self.now >= x.not_before
            && self.now < x.x.expiry
            && (x.legs == 0 || further)
            && (x.legs > 0 || limit.is_none_or(|b| b.held() >= x.x.units))
            && nd.cold.as_ref().is_none_or(|b| b.held() > 0.0)
            && (self.value(x, Some(nd)).1 || nd.tokens.held() > 0.0)
    }

    fn room(&self, nd: &Node, units: f64) -> bool {
        let rate = if nd.rate > 0.0 { nd.rate } else { self.usual_rate() };
        let most = bound(rate, self.tightest, self.units.mean) * nd.brake;
        let trial = nd.silent && self.now >= nd.trial;
        let open = nd.state == NodeState::Ready && self.now >= nd.open_from;
        open && (trial || !nd.silent && (nd.out <= 0.0 || nd.out + units <= most))
    }

    fn decide(&mut self, ticked: bool) {
        if ticked {
            self.listen();
        }
        let further = self.ration.allows(self.now);
        let busy: Vec<NodeId> =
            self.nodes.iter().filter(|(_, nd)| !nd.held.is_empty()).map(|(n, _)| *n).collect();
        for node in busy {
            loop {
                let nd = &self.nodes[&node];
                let ready = nd.held.iter().map(|h| (*h, &self.xfers[h]));
                let ready = ready.filter(|(h, x)| self.may_send(*h, x, nd, further));
                let key = |x: &Xfer| (self.value(x, Some(nd)).0, std::cmp::Reverse(x.slo_at));
                let best = ready.max_by(|a, b| key(a.1).partial_cmp(&key(b.1)).expect("values are finite"));
                let Some((id, x)) = best.filter(|(_, x)| self.room(nd, x.x.units)) else { break };
                let further_leg = x.legs > 0;
                self.send(id, node);
                if further_leg {
                    break;
                }
            }
            if ticked {
                self.shed(node);
            }
        }
        self.place(ticked, further);
    }

    /// A node with legs out that has answered nothing for long is silent; one heard from is not. Guards
    /// against hangs, cut links and dead nodes the list still shows. Harm: one heavy transfer alone there.
    fn listen(&mut self) {
        let patience = self.tightest * SILENT_SLOS;
        for (id, nd) in &mut self.nodes {
            nd.was_held |= !nd.held.is_empty();
            let since = nd.legs.values().min().map_or(self.now, |sent| nd.heard.max(*sent));
            if !nd.silent && self.now > since + patience {
                nd.silent = true;
                let text = format!("node {} silent: no answer for {:?}", id.0, self.now - since);
                self.out.push(Action::Log { text });
            }
        }
    }

    /// Gives up at once what cannot be in time behind what goes first, so that its client may ask again.
    fn shed(&mut self, node: NodeId) {
        let nd = &self.nodes[&node];
        let rate = if nd.rate > 0.0 { nd.rate } else { self.usual_rate() };
        let mut line: Vec<(f64, XferId)> =
            nd.held.iter().map(|h| (self.value(&self.xfers[h], Some(nd)).0, *h)).collect();
        line.sort_by(|a, b| b.partial_cmp(a).expect("values are finite"));
        let (mut ahead, silent, mut below, mut doomed) = (0.0, nd.silent, false, Vec::new());
        for (_, id) in line {
            let x = &self.xfers[&id];
            let wait = if rate > 0.0 { Duration::from_secs_f64(ahead / rate) } else { Duration::ZERO };
            let over = self.now + wait + self.expected(node, x.x.units) > x.x.expiry;
            if over || (silent && self.now > x.slo_at) {
                doomed.push((id, wait));
            } else {
                ahead += x.x.units;
                let reserve = &self.volumes[&x.x.volume].reserve;
                below |= reserve.held() > 0.0 && self.now > x.taken + INTERVAL / 2;
            }
        }
        doomed.into_iter().for_each(|(id, wait)| self.give_up(id, wait.max(TRIAL_EVERY)));
        self.nodes.get_mut(&node).expect("looked up above").below |= below;
    }

    /// New objects go to the first node in their volume's ranking, or the next when that has enough.
    fn place(&mut self, ticked: bool, further: bool) {
        let mut line: Vec<(f64, XferId)> =
            self.floating.iter().map(|f| (self.value(&self.xfers[f], None).0, *f)).collect();
        line.sort_by(|a, b| b.partial_cmp(a).expect("values are finite"));
        let mut stuck = 0.0;
        for (_, id) in line {
            let x = &self.xfers[&id];
            let fit = |(_, nd): &(&NodeId, &Node)| {
                let calm = !nd.silent && nd.errors < FAILING && nd.held.is_empty();
                let repeat = self.streams[x.x.stream_type.0].repeat;
                calm && may_repeat(repeat, x.ran, (nd.zone, nd.cell), self.now)
                    && self.room(nd, x.x.units)
                    && self.may_send(id, x, nd, further)
            };
            let fits = self.nodes.iter().filter(fit);
            match fits.max_by_key(|(n, _)| (x.last != Some(**n), rank_of(x.x.volume, **n))).map(|(n, _)| *n) {
                Some(node) => self.send(id, node),
                None if ticked => {
                    let rate = self.usual_rate() * self.nodes.len() as f64;
                    let wait =
                        if rate > 0.0 { Duration::from_secs_f64(stuck / rate) } else { Duration::ZERO };
                    let typical = self.per_unit.quantile(0.5).unwrap_or_default().mul_f64(x.x.units);
                    stuck += x.x.units;
                    if self.now + wait + typical > x.x.expiry {
                        self.give_up(id, wait.max(TRIAL_EVERY));
                    }
                }
                None => {}
            }
        }
    }

    fn send(&mut self, id: XferId, node: NodeId) {
        let nd = &self.nodes[&node];
        let (_, paid) = self.value(&self.xfers[&id], Some(nd));
        self.unhold(id);
        let x = self.xfers.get_mut(&id).expect("held, so known");
        let v = self.volumes.get_mut(&x.x.volume).expect("made when taken");
        let nd = self.nodes.get_mut(&node).expect("looked up above");
        let (units, stream) = (x.x.units, x.x.stream_type.0);
        let f = nd.flows.entry(x.x.volume).or_default();
        if v.reserve.held() > 0.0 {
            v.reserve.take(units);
        } else if let (true, Some(spare)) = (paid, &mut f.spare) {
            spare.take(units);
        }
        if x.legs > 0 {
            self.ration.spend(self.now);
        } else {
            v.limit.iter_mut().for_each(|b| b.take(units));
        }
        nd.tokens.take(units);
        nd.cold.iter_mut().for_each(|b| b.take(units));
        if nd.mix.len() <= stream {
            nd.mix.resize(self.streams.len(), 0.0);
        }
        nd.mix[stream] += units;
        (nd.out, f.out, f.used) = (nd.out + units, f.out + units, f.used + units);
        nd.legs.insert(id, self.now);
        nd.trial = self.now + TRIAL_EVERY;
        (x.want, x.legs, x.last) = (Want::Out(node), x.legs + 1, Some(node));
        self.changed.push(id);
    }

    fn unhold(&mut self, id: XferId) {
        let Some(x) = self.xfers.get(&id) else { return };
        match x.x.cell {
            None => self.floating.retain(|f| *f != id),
            Some(cell) => {
                let at = self.nodes.values_mut().filter(|nd| nd.cell == cell);
                at.for_each(|nd| nd.unhold(id, x.x.volume, x.x.units));
            }
        }
    }

    /// Brings what is out, answered and timed into line with what is wanted.
    fn reconcile(&mut self) -> Vec<Action> {
        for id in std::mem::take(&mut self.changed) {
            let Some(x) = self.xfers.get_mut(&id).filter(|x| !x.over) else { continue };
            match x.want {
                Want::Out(node) if x.out.is_none() => {
                    x.out = Some(node);
                    self.out.push(Action::Send { id, node, until: x.x.expiry });
                }
                Want::Deferred(wait) => {
                    let come_back = self.caps.come_back.map(|most| wait.min(most));
                    self.out.push(Action::Defer { id, come_back });
                    self.close(id);
                }
                Want::Abandoned => {
                    self.out.push(Action::Abandon { id });
                    self.close(id);
                }
                _ => {}
            }
        }
        if self.watch_at.is_some_and(|at| self.now >= at) {
            self.watch_at = None;
            self.out.push(Action::Watch { on: true });
        }
        let holding = !self.floating.is_empty() || self.nodes.values().any(|nd| !nd.held.is_empty());
        let beat = if holding { self.ticked + TICK } else { self.planned + INTERVAL };
        let wanted = beat.min(self.watch_at.unwrap_or(beat)).max(self.now + TICK / 10);
        if self.armed.is_none_or(|at| at <= self.now || at > wanted) {
            (self.armed, self.tag) = (Some(wanted), self.tag + 1);
            self.out.push(Action::Timer { after: wanted - self.now, tag: TimerTag(self.tag) });
        }
        std::mem::take(&mut self.out)
    }
}
