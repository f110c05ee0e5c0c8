//! A node that keeps bytes and does its work in time, without sockets.
//!
//! It has cores, a queue that turns away when full, pauses, work of writes put off and done in one
//! go, less work on data among the last few it took, a cold start during which it can be pushed
//! over, and troubles. `take`, `advance` and `due` are all of it; times are those of the rehearsal.

use crate::draw::{hash_to_unit, InjectedFault};
use crate::versions::Versions;
use bytes::Bytes;
use grebecleat_settings::{Kind, NodeSpec, Settings};
use grebecleat_wire::pb;
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

/// Bytes of data that one node keeps; a write beyond is turned away.
const MAX_BYTES: usize = 64 << 20;
const MAX_REMEMBERED: usize = 100_000;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProcessState {
    Up,
    Draining,
    Down,
}

/// What a node does at a moment.
#[derive(Debug, PartialEq)]
pub enum NodeAction {
    Answer {
        conn: u64,
        answer: pb::AttemptResponse,
    },
    /// A write was carried out.
    Effect {
        attempt: u64,
        id: Bytes,
    },
    Up {
        started: u64,
    },
    Drains,
    /// The process is gone, or (`fell`) was pushed over.
    Down {
        fell: bool,
    },
}

#[derive(Debug)]
struct Job {
    conn: u64,
    attempt: pb::Attempt,
    until: Duration,
    work: Duration,
}

/// Units done for each volume through all nodes, by finished period.
#[derive(Debug, Default)]
pub struct Meter {
    periods: BTreeMap<u64, HashMap<u64, f64>>,
}

impl Meter {
    pub fn add(&mut self, period: u64, volume: u64, units: f64) {
        *self
            .periods
            .entry(period)
            .or_default()
            .entry(volume)
            .or_default() += units;
        while self.periods.len() > 8 {
            self.periods.pop_first();
        }
    }

    pub fn of(&self, period: u64, volume: u64) -> f64 {
        self.periods
            .get(&period)
            .and_then(|p| p.get(&volume))
            .copied()
            .unwrap_or(0.0)
    }
}

#[derive(Debug)]
pub struct Node {
    spec: NodeSpec,
    process_state: ProcessState,
    settings: Arc<Settings>,
    seed: u64,
    injected_faults: Vec<InjectedFault>,
    /// Moments at which the script does something to it, and what.
    acts: VecDeque<(Duration, Act)>,
    starts: u64,
    cold_since: Option<Duration>,
    running: BTreeMap<(Duration, u64), Job>,
    queue: VecDeque<Job>,
    next: u64,
    cancelled: BTreeSet<(u64, u64)>,
    put_off: Duration,
    flush_at: Duration,
    still_until: Duration,
    pause_at: Duration,
    arrived: VecDeque<(Duration, f64)>,
    last: VecDeque<u64>,
    extents: HashMap<(u64, u64), Bytes>,
    /// Of what was written with a version: which, by bytes of the extent.
    versions: HashMap<(u64, u64), Versions>,
    bytes: usize,
    /// Keyed pieces of work that were carried out, and when.
    done: HashMap<Bytes, Duration>,
}

/// An extent with a part of it written anew; what lies between is zeroes.
fn patched(old: &Bytes, at: usize, data: &Bytes) -> Bytes {
    let mut new = old.to_vec();
    new.resize(new.len().max(at + data.len()), 0);
    new[at..at + data.len()].copy_from_slice(data);
    new.into()
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum Act {
    Drain,
    Undrain,
    Stop,
    Start,
}

impl Node {
    pub fn new(
        spec: NodeSpec,
        settings: Arc<Settings>,
        seed: u64,
        injected_faults: &[InjectedFault],
    ) -> Self {
        let own = |s: &&InjectedFault| s.nodes.contains(&spec.id);
        let injected_faults: Vec<InjectedFault> =
            injected_faults.iter().filter(own).cloned().collect();
        let mut acts = Vec::new();
        for s in &injected_faults {
            match s.kind {
                Kind::MassRestart => {
                    let down =
                        Duration::from_secs_f64(0.3 + hash_to_unit(seed, &[u64::from(spec.id), 5]));
                    acts.extend([(s.start, Act::Stop), (s.start + down, Act::Start)]);
                }
                Kind::Drain => acts.extend([(s.start, Act::Drain), (s.end(), Act::Undrain)]),
                Kind::Ageing => {
                    let end = s.end();
                    acts.extend([
                        (end, Act::Stop),
                        (end + Duration::from_millis(700), Act::Start),
                    ]);
                }
                _ => {}
            }
        }
        acts.sort_by_key(|a| a.0);
        let first_pause = spec
            .pause_every
            .mul_f64(hash_to_unit(seed, &[u64::from(spec.id), 6]));
        Node {
            spec,
            process_state: ProcessState::Up,
            settings,
            seed,
            injected_faults,
            acts: acts.into(),
            starts: 1,
            cold_since: None,
            running: BTreeMap::new(),
            queue: VecDeque::new(),
            next: 0,
            cancelled: BTreeSet::new(),
            put_off: Duration::ZERO,
            flush_at: Duration::ZERO,
            still_until: Duration::ZERO,
            pause_at: first_pause,
            arrived: VecDeque::new(),
            last: VecDeque::new(),
            extents: HashMap::new(),
            versions: HashMap::new(),
            bytes: 0,
            done: HashMap::new(),
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

    pub fn starts(&self) -> u64 {
        self.starts
    }

    pub fn cold_since(&self) -> Option<Duration> {
        self.cold_since
    }

    /// Units a second that it can do warm and undisturbed, for the audit.
    pub fn capacity(&self) -> f64 {
        let shares: f64 = self.settings.traffic_classes.iter().map(|s| s.share).sum();
        let work: f64 = self
            .settings
            .traffic_classes
            .iter()
            .map(|s| s.share * s.unit_work.as_secs_f64())
            .sum::<f64>()
            / shares;
        f64::from(self.spec.cores) * self.spec.speed / work.max(1e-6)
    }

    fn active_fault(&self, kind: Kind, now: Duration) -> Option<&InjectedFault> {
        self.injected_faults
            .iter()
            .find(|s| s.kind == kind && s.is_active(now))
    }

    /// The part of its full power that it has now, but for troubles.
    fn warmth(&self, now: Duration) -> f64 {
        let (rule, Some(since)) = (&self.settings.rules.cold, self.cold_since) else {
            return 1.0;
        };
        let part =
            (now.saturating_sub(since)).as_secs_f64() / rule.warm_up_time.as_secs_f64().max(1e-3);
        (rule.initial_fraction + (1.0 - rule.initial_fraction) * part).min(1.0)
    }

    fn speed(&self, now: Duration) -> f64 {
        let mut speed = self.spec.speed * self.warmth(now);
        if let Some(s) = self.active_fault(Kind::Slow, now) {
            speed /= s.magnitude.max(1.0);
        }
        if let Some(s) = self.active_fault(Kind::Neighbour, now) {
            speed *= if (now - s.start).as_secs() % 4 < 2 {
                (1.0 - s.magnitude).max(0.05)
            } else {
                1.0
            };
        }
        if let Some(s) = self.active_fault(Kind::Ageing, now) {
            let part = (now - s.start).as_secs_f64() / s.duration.as_secs_f64().max(1e-3);
            speed /= 1.0 + (s.magnitude.max(1.0) - 1.0) * part;
        }
        speed.max(1e-3)
    }

    fn work_of(&mut self, attempt: &pb::Attempt, now: Duration) -> Duration {
        let stream = &self.settings.traffic_classes
            [attempt.traffic_class as usize % self.settings.traffic_classes.len()];
        let words = attempt
            .id
            .iter()
            .fold(0u64, |h, b| h.wrapping_mul(131) + u64::from(*b));
        let noise = 0.5 + hash_to_unit(self.seed, &[words, 1]);
        let mut work = stream.unit_work.mul_f64(attempt.units * noise);
        if let Some(s) = self.active_fault(Kind::HeavyTail, now) {
            if hash_to_unit(self.seed, &[words, 2]) < 0.02 {
                work = work.mul_f64(s.magnitude.max(1.0));
            }
        }
        if attempt.number == 0 && self.last.contains(&attempt.extent) {
            work = work.mul_f64(1.0 - self.spec.warm_saves);
        }
        self.last.push_back(attempt.extent);
        if self.last.len() > self.spec.warm_keys {
            self.last.pop_front();
        }
        if attempt.write {
            let later = work.mul_f64(self.spec.put_off);
            self.put_off += later;
            work -= later;
        }
        work
    }

    /// An attempt arrives; `left` is what its host still waits.
    pub fn take(
        &mut self,
        now: Duration,
        conn: u64,
        attempt: pb::Attempt,
        left: Duration,
        to: &mut Vec<NodeAction>,
    ) {
        let mut turn = |result: pb::Result| {
            let answer = pb::AttemptResponse {
                attempt: attempt.attempt,
                result: result.into(),
                ..Default::default()
            };
            to.push(NodeAction::Answer { conn, answer });
        };
        if attempt.node != self.spec.id {
            return turn(pb::Result::WrongNode);
        }
        match self.process_state {
            ProcessState::Down => return,
            ProcessState::Draining => return turn(pb::Result::Full),
            ProcessState::Up => {}
        }
        // Every bit of work that arrives presses on a cold node, also what it turns away.
        if self.pressed(now, attempt.units) {
            self.stop();
            return to.push(NodeAction::Down { fell: true });
        }
        if self.active_fault(Kind::Hang, now).is_some() {
            return;
        }
        let words = attempt.attempt ^ u64::from(attempt.node) << 32;
        if self
            .active_fault(Kind::FastErrors, now)
            .is_some_and(|s| hash_to_unit(self.seed, &[words, 3]) < s.magnitude)
        {
            return turn(pb::Result::Error);
        }
        let full = self.queue.len() >= self.spec.queue;
        if full || (attempt.write && self.bytes + attempt.data.len() > MAX_BYTES) {
            return turn(pb::Result::Full);
        }
        let work = self.work_of(&attempt, now);
        self.queue.push_back(Job {
            conn,
            attempt,
            until: now + left,
            work,
        });
        self.begin(now, to);
    }

    pub fn cancel(&mut self, conn: u64, attempt: u64) {
        self.queue
            .retain(|j| (j.conn, j.attempt.attempt) != (conn, attempt));
        if self
            .running
            .values()
            .any(|j| (j.conn, j.attempt.attempt) == (conn, attempt))
        {
            self.cancelled.insert((conn, attempt));
        }
    }

    /// Whether what arrived lately pushes it over.
    fn pressed(&mut self, now: Duration, units: f64) -> bool {
        let rule = &self.settings.rules.cold;
        let Some(since) = self.cold_since.filter(|s| now < *s + rule.warm_up_time) else {
            return false;
        };
        self.arrived.push_back((now, units));
        while self
            .arrived
            .front()
            .is_some_and(|(at, _)| *at + rule.overload_window < now)
        {
            self.arrived.pop_front();
        }
        let span = rule.overload_window.min(now - since).as_secs_f64();
        let sum: f64 = self.arrived.iter().map(|a| a.1).sum();
        let bears = rule.multiple * self.warmth(now) * self.capacity() * span.max(0.5);
        sum > bears.max(rule.units)
    }

    fn begin(&mut self, now: Duration, to: &mut Vec<NodeAction>) {
        while self.running.len() < self.spec.cores as usize && now >= self.still_until {
            let Some(job) = self.queue.pop_front() else {
                return;
            };
            if now >= job.until {
                let result = pb::Result::Expired.into();
                let answer = pb::AttemptResponse {
                    attempt: job.attempt.attempt,
                    result,
                    ..Default::default()
                };
                to.push(NodeAction::Answer {
                    conn: job.conn,
                    answer,
                });
                continue;
            }
            self.next += 1;
            let end = now + job.work.div_f64(self.speed(now));
            self.running.insert((end, self.next), job);
        }
    }

    /// When something next happens by itself.
    pub fn due(&self) -> Option<Duration> {
        let act = self.acts.front().map(|a| a.0);
        if self.process_state == ProcessState::Down {
            return act;
        }
        let job = self.running.first_key_value().map(|(k, _)| k.0);
        let waiting = (!self.queue.is_empty() && self.running.len() < self.spec.cores as usize)
            .then_some(self.still_until);
        [act, job, waiting].into_iter().flatten().min()
    }

    pub fn advance(&mut self, now: Duration, meter: &mut Meter, to: &mut Vec<NodeAction>) {
        while let Some((_, act)) = self.acts.front().copied().filter(|a| a.0 <= now) {
            self.acts.pop_front();
            match act {
                Act::Drain if self.process_state == ProcessState::Up => {
                    self.process_state = ProcessState::Draining;
                    to.push(NodeAction::Drains);
                }
                Act::Undrain if self.process_state == ProcessState::Draining => {
                    self.process_state = ProcessState::Up;
                    to.push(NodeAction::Up {
                        started: self.starts,
                    });
                }
                Act::Stop if self.process_state != ProcessState::Down => {
                    self.stop();
                    to.push(NodeAction::Down { fell: false });
                }
                Act::Start => {
                    self.starts += 1;
                    (self.process_state, self.cold_since) = (ProcessState::Up, Some(now));
                    self.arrived.clear();
                    to.push(NodeAction::Up {
                        started: self.starts,
                    });
                }
                _ => {}
            }
        }
        while let Some(entry) = self.running.first_entry().filter(|e| e.key().0 <= now) {
            let ((at, _), job) = entry.remove_entry();
            self.finish(at, now, job, meter, to);
        }
        self.stand_still(now);
        self.begin(now, to);
    }

    /// Pauses, and work put off that is done in one go, keep it from beginning anything.
    fn stand_still(&mut self, now: Duration) {
        if !self.spec.pause.is_zero() && now >= self.pause_at {
            self.still_until = self.still_until.max(now + self.spec.pause);
            self.pause_at = now + self.spec.pause_every;
        }
        if now >= self.flush_at {
            let work = std::mem::take(&mut self.put_off).div_f64(f64::from(self.spec.cores));
            self.still_until = self.still_until.max(now + work.div_f64(self.speed(now)));
            self.flush_at = now + self.spec.flush_every;
        }
    }

    fn finish(
        &mut self,
        at: Duration,
        now: Duration,
        job: Job,
        meter: &mut Meter,
        to: &mut Vec<NodeAction>,
    ) {
        let (attempt, conn) = (job.attempt, job.conn);
        if self.cancelled.remove(&(conn, attempt.attempt)) {
            return;
        }
        let period = self.settings.units.meter.as_secs_f64().max(0.001);
        let number = |t: Duration| (t.as_secs_f64() / period) as u64;
        meter.add(number(at), attempt.volume, attempt.units);
        let (mut data, mut superseded) = (Bytes::new(), None);
        let place = (attempt.volume, attempt.extent);
        if attempt.write {
            // A repeat that is remembered has no second effect.
            if !self.done.contains_key(&attempt.piece) {
                superseded = self.write(&attempt, now, to);
            }
            if self.done.len() > MAX_REMEMBERED {
                let oldest = now.saturating_sub(Duration::from_secs(30));
                self.done.retain(|_, at| *at > oldest);
            }
        } else if let Some(kept) = self.extents.get(&place) {
            let from = (attempt.offset.unwrap_or(0) as usize).min(kept.len());
            data = kept.slice(from..kept.len().min(from + attempt.length as usize));
        }
        let words = attempt.attempt ^ 0x10_0000;
        if self
            .active_fault(Kind::AnswerLost, now)
            .is_some_and(|s| hash_to_unit(self.seed, &[words, 4]) < s.magnitude)
        {
            return;
        }
        // Late by a period: the one before the last that is whole.
        let told = number(now)
            .checked_sub(2)
            .map(|p| meter.of(p, attempt.volume));
        let reported = told
            .filter(|_| !self.settings.units.meter.is_zero() && attempt.plan_rate > 0.0)
            .map(|units| units / period / attempt.plan_rate * 100.0);
        let busy = Some(self.running.len() as f64 / f64::from(self.spec.cores));
        let result = pb::Result::Ok.into();
        let answer = pb::AttemptResponse {
            attempt: attempt.attempt,
            result,
            reported,
            others: 0.0,
            busy,
            data,
            superseded,
        };
        to.push(NodeAction::Answer { conn, answer });
    }

    /// Carries out a write where nothing newer lies; the newest that kept a part of it out. One
    /// that was kept out whole had no effect and is not remembered: it may come again with another
    /// version.
    fn write(
        &mut self,
        attempt: &pb::Attempt,
        now: Duration,
        to: &mut Vec<NodeAction>,
    ) -> Option<u64> {
        let place = (attempt.volume, attempt.extent);
        let (at, length) = (attempt.offset.unwrap_or(0), attempt.data.len() as u32);
        let (parts, newer) = match attempt.version {
            Some(v) => self
                .versions
                .entry(place)
                .or_default()
                .write(at, at + length, v),
            None => (vec![(at, at + length)], None),
        };
        if parts.is_empty() && length > 0 {
            return newer;
        }
        self.done.insert(attempt.piece.clone(), now);
        let old = self.extents.get(&place).cloned().unwrap_or_default();
        let new = match attempt.offset {
            None if newer.is_none() => attempt.data.clone(),
            _ => parts.iter().fold(old.clone(), |new, (from, end)| {
                patched(
                    &new,
                    *from as usize,
                    &attempt
                        .data
                        .slice((from - at) as usize..(end - at) as usize),
                )
            }),
        };
        self.bytes = self.bytes + new.len() - old.len();
        self.extents.insert(place, new);
        to.push(NodeAction::Effect {
            attempt: attempt.attempt,
            id: attempt.piece.clone(),
        });
        newer
    }

    fn stop(&mut self) {
        self.process_state = ProcessState::Down;
        self.queue.clear();
        self.running.clear();
        self.cancelled.clear();
        self.last.clear();
    }
}
