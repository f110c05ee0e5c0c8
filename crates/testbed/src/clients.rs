//! Clients of a rehearsal: they draw work, wait no longer than their time, come again, and check
//! what they read. One loop for all of them; each host has one connection.

use crate::draw::{injected_faults, source, InjectedFault};
use crate::net::{self, hello, PeerConnection, PeerEvent};
use bytes::Bytes;
use grebecleat_settings::{Kind, Rehearsal, Settings};
use grebecleat_wire::pb::{self, frame::Body, Outcome};
use grebecleat_wire::trace::Tracer;
use grebecleat_wire::{clock, pb::Response};
use rand::Rng;
use rand_pcg::Pcg64Mcg;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::mpsc::{self, RecvTimeoutError};
use std::sync::{Arc, Mutex};
use std::time::Duration;

const EXTENTS_A_VOLUME: u64 = 48;
const NEW_OBJECTS: f64 = 0.3;
const LEAD: f64 = 0.7;
const LEAD_CHANGES: f64 = 9.0;
const RECONNECT: Duration = Duration::from_millis(50);
const KNOWN_OBJECTS: usize = 64;

/// What became of the tries, and of the pieces of work that they were for.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ClientCounts {
    pub tries: u64,
    pub done: u64,
    pub deferred: u64,
    pub abandoned: u64,
    /// Tries whose host went before it answered.
    pub lost: u64,
    /// Tries that no answer reached in their time from a host that stayed.
    pub unanswered: u64,
    pub doubled: u64,
    /// Reads whose content nobody wrote there.
    pub wrong_content: u64,
    /// First tries that found no host.
    pub unreached: u64,
    /// By plan: pieces, done in their latency objective, done late.
    pub plans: BTreeMap<usize, (u64, u64, u64)>,
    /// By place of a volume and second: pieces, and of these done in their latency objective.
    pub seconds: BTreeMap<(usize, u64), (u64, u64)>,
}

impl ClientCounts {
    /// The part of a volume's pieces that were done in their latency objective, of those that began
    /// in a span of seconds.
    pub fn timely(&self, volume: usize, seconds: std::ops::Range<u64>) -> Option<f64> {
        let all = self
            .seconds
            .range((volume, seconds.start)..(volume, seconds.end.max(seconds.start)));
        let (all, timely) = all.fold((0, 0), |sum, (_, s)| (sum.0 + s.0, sum.1 + s.1));
        (all > 0).then(|| timely as f64 / all as f64)
    }
}

/// Hears the time and the tally so far.
pub type Progress<'a> = Box<dyn Fn(Duration, &ClientCounts) + Sync + 'a>;

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum What {
    Arrive { volume: usize, surge: Option<usize> },
    Again { piece: usize },
    GiveUp { tried: u64 },
    Reconnect { host: usize },
}

struct Piece {
    id: Bytes,
    volume: usize,
    host: usize,
    stream: usize,
    extent: u64,
    shard: Option<u32>,
    key: u64,
    units: u32,
    born: Duration,
    tries: u32,
}

struct Try {
    piece: usize,
    until: Duration,
    host: usize,
}

pub struct Clients<'a> {
    settings: &'a Settings,
    script: &'a Rehearsal,
    injected_faults: Vec<InjectedFault>,
    t0: Duration,
    hosts: Arc<Mutex<Vec<Option<SocketAddr>>>>,
    tracer: Tracer,
    lines: Vec<Option<(u64, PeerConnection)>>,
    sources: Vec<Pcg64Mcg>,
    heap: BinaryHeap<Reverse<(Duration, u64, What)>>,
    serial: u64,
    pieces: Vec<Piece>,
    tries: HashMap<Bytes, Try>,
    by_number: HashMap<u64, Bytes>,
    answered: HashSet<Bytes>,
    known: BTreeMap<usize, Vec<(u64, u32)>>,
    written: HashMap<(usize, u64), HashSet<Bytes>>,
    counts: ClientCounts,
    /// Called about once a second with the time and the tally.
    progress: Progress<'a>,
}

/// An id of 36 characters that two numbers make.
fn id_of(a: u64, b: u64) -> Bytes {
    Bytes::from(format!(
        "{:08x}-{:04x}-{:04x}-{:04x}-{b:012x}",
        a >> 32,
        a >> 16 & 0xffff,
        a & 0xffff,
        0x4a00
    ))
}

/// A piece's content: its id, over and over.
fn content(id: &Bytes, len: usize) -> Bytes {
    id.iter().copied().cycle().take(len).collect()
}

/// What initiators have as their disk is nobody else's to write.
fn disk(settings: &Settings, volume: &usize) -> bool {
    settings.targets.iter().any(|t| t.volumes.contains(volume))
}

impl<'a> Clients<'a> {
    /// `hosts` tells where each host listens now; it may change while the clients run.
    pub fn new(
        settings: &'a Settings,
        t0: Duration,
        hosts: Arc<Mutex<Vec<Option<SocketAddr>>>>,
        tracer: Tracer,
    ) -> Option<Self> {
        let script = settings.rehearsal.as_ref()?;
        let sources = (0..settings.volumes.len()).map(|v| source(script.seed, 100_000 + v as u64));
        Some(Clients {
            settings,
            script,
            injected_faults: injected_faults(settings, script),
            t0,
            hosts,
            tracer,
            lines: settings.hosts.iter().map(|_| None).collect(),
            sources: sources.collect(),
            heap: BinaryHeap::new(),
            serial: 0,
            pieces: Vec::new(),
            tries: HashMap::new(),
            by_number: HashMap::new(),
            answered: HashSet::new(),
            known: BTreeMap::new(),
            written: HashMap::new(),
            counts: ClientCounts::default(),
            progress: Box::new(|_, _| ()),
        })
    }

    /// Sets the callback for the progress, called about once a second.
    pub fn set_progress(&mut self, progress: Progress<'a>) {
        self.progress = progress;
    }

    fn now(&self) -> Duration {
        clock::now().saturating_sub(self.t0)
    }

    fn plan(&mut self, at: Duration, what: What) {
        self.serial += 1;
        self.heap.push(Reverse((at, self.serial, what)));
    }

    /// Units a second that a volume asks for.
    fn rate(&self, volume: usize) -> f64 {
        let of = |v: usize| {
            let v = &self.settings.volumes[v];
            self.settings.plans[v.plan].facts.base_rate * v.asks
        };
        let all: f64 = (0..self.settings.volumes.len()).map(of).sum();
        match self.script.per_second {
            0.0 => of(volume),
            n => of(volume) / all.max(1e-9) * n * self.settings.units.mean,
        }
    }

    pub fn run(mut self) -> ClientCounts {
        let (to, heard) = mpsc::channel();
        (0..self.lines.len()).for_each(|host| self.plan(Duration::ZERO, What::Reconnect { host }));
        for volume in (0..self.settings.volumes.len()).filter(|v| !disk(self.settings, v)) {
            self.plan(
                Duration::ZERO,
                What::Arrive {
                    volume,
                    surge: None,
                },
            );
        }
        for (i, s) in self.injected_faults.clone().iter().enumerate() {
            let surges = matches!(s.kind, Kind::HotKey | Kind::Scan);
            for volume in s
                .volumes
                .iter()
                .filter(|v| surges && !disk(self.settings, v))
            {
                self.plan(
                    s.start,
                    What::Arrive {
                        volume: *volume,
                        surge: Some(i),
                    },
                );
            }
        }
        let longest = self.settings.longest_deadline();
        let (end, last) = (self.script.length, self.script.length + longest * 2);
        let mut told = Duration::ZERO;
        loop {
            let now = self.now();
            let busy = !self.tries.is_empty();
            if now > last
                || (now > end && !busy && !self.heap.iter().any(|h| h.0 .0 < last && self.pends(h)))
            {
                return self.counts;
            }
            if now >= told + Duration::from_secs(1) {
                told = now;
                (self.progress)(now, &self.counts);
            }
            while let Some(Reverse((at, _, what))) =
                self.heap.peek().copied().filter(|h| h.0 .0 <= now)
            {
                self.heap.pop();
                self.due(at, what, &to);
            }
            let wait = self
                .heap
                .peek()
                .map_or(RECONNECT, |h| h.0 .0.saturating_sub(now).min(RECONNECT));
            match heard.recv_timeout(wait) {
                Ok(first) => {
                    let more: Vec<PeerEvent> = heard.try_iter().take(512).collect();
                    std::iter::once(first)
                        .chain(more)
                        .for_each(|h| self.hear(h));
                }
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return self.counts,
            }
        }
    }

    fn pends(&self, h: &Reverse<(Duration, u64, What)>) -> bool {
        matches!(h.0 .2, What::Again { .. })
    }

    fn due(&mut self, at: Duration, what: What, to: &mpsc::Sender<PeerEvent>) {
        match what {
            What::Arrive { volume, surge } => self.arrive(at, volume, surge),
            What::Again { piece } => self.attempt(piece),
            What::GiveUp { tried } => {
                let Some(id) = self.by_number.remove(&tried) else {
                    return;
                };
                if let Some(t) = self.tries.remove(&id) {
                    self.counts.unanswered += 1;
                    self.over(t.piece, None);
                }
            }
            What::Reconnect { host } if self.lines[host].is_none() => {
                let address = self.hosts.lock().unwrap_or_else(|e| e.into_inner())[host];
                let me = hello(pb::Role::Client, "clients", 1);
                if let Some(address) = address {
                    let _ = net::dial(address, host as u32, me, self.tracer.clone(), to.clone());
                }
                self.plan(self.now() + RECONNECT, What::Reconnect { host });
            }
            What::Reconnect { .. } => {}
        }
    }

    fn arrive(&mut self, at: Duration, volume: usize, surge: Option<usize>) {
        let (mut rate, mut end) = (self.rate(volume), self.script.length);
        if let Some(s) = surge.map(|i| &self.injected_faults[i]) {
            (rate, end) = (rate * (s.magnitude - 1.0).max(0.0), end.min(s.end()));
        }
        let per_second = rate / self.settings.units.mean;
        if at >= end || per_second <= 0.0 {
            return;
        }
        let reconnects = self
            .injected_faults
            .iter()
            .filter(|s| s.kind == Kind::Reconnect && s.start <= at)
            .count();
        let spec = &self.settings.volumes[volume];
        let rng = &mut self.sources[volume];
        let gap = -rng.random::<f64>().max(1e-12).ln() / per_second;
        let shares: f64 = self.settings.traffic_classes.iter().map(|s| s.share).sum();
        let mut place = rng.random::<f64>() * shares;
        let pick = self.settings.traffic_classes.iter().position(|s| {
            place -= s.share;
            place < 0.0
        });
        let stream = pick.unwrap_or(0);
        let write = self.settings.traffic_classes[stream].write;
        let (mean, largest) = (self.settings.units.mean, self.settings.units.largest);
        let units =
            (1.0 + -rng.random::<f64>().max(1e-9).ln() * (mean - 1.0).max(0.0)).min(largest) as u32;
        let lead = (at.as_secs_f64() / LEAD_CHANGES) as usize + reconnects + volume;
        let n = spec.hosts.len();
        let turn = if rng.random::<f64>() < LEAD {
            lead
        } else {
            lead + 1 + rng.random_range(0..n)
        };
        let host = spec.hosts[turn % n];
        let mut extent = rng.random_range(0..EXTENTS_A_VOLUME);
        let mut shard = Some(spec.shards[(extent % spec.shards.len() as u64) as usize]);
        let (fresh, reread) = (rng.random::<f64>(), rng.random::<f64>());
        let at_known = rng.random::<f64>();
        if write && fresh < NEW_OBJECTS {
            (extent, shard) = (1_000_000 + self.pieces.len() as u64, None);
        } else if !write && reread < self.script.reread {
            let known = self.known.get(&volume).filter(|k| !k.is_empty());
            if let Some(known) = known {
                let (e, c) = known[(at_known * known.len() as f64) as usize % known.len()];
                (extent, shard) = (e, Some(c));
            }
        }
        if at > Duration::ZERO {
            let id = id_of(self.script.seed, self.pieces.len() as u64);
            let key = (volume as u64) << 32 | extent;
            let (born, tries) = (at, 0);
            self.pieces.push(Piece {
                id,
                volume,
                host,
                stream,
                extent,
                shard,
                key,
                units,
                born,
                tries,
            });
            self.counts.plans.entry(spec.plan).or_default().0 += 1;
            self.counts
                .seconds
                .entry((volume, at.as_secs()))
                .or_default()
                .0 += 1;
            self.attempt(self.pieces.len() - 1);
        }
        self.plan(
            at + Duration::from_secs_f64(gap),
            What::Arrive { volume, surge },
        );
    }

    fn attempt(&mut self, piece: usize) {
        let now = self.now();
        let p = &mut self.pieces[piece];
        let stream = &self.settings.traffic_classes[p.stream];
        let until = p.born + stream.deadline;
        let Some((_, line)) = &self.lines[p.host] else {
            self.counts.unreached += u64::from(p.tries == 0);
            return self.over(piece, None);
        };
        if now + Duration::from_millis(1) >= until {
            return;
        }
        p.tries += 1;
        self.serial += 1;
        let number = self.serial;
        let id = id_of(number, piece as u64);
        let data = match stream.write {
            true => content(&p.id, (p.units * self.script.bytes_per_unit) as usize),
            false => Bytes::new(),
        };
        if stream.write {
            self.written
                .entry((p.volume, p.extent))
                .or_default()
                .insert(p.id.clone());
        }
        line.send(Body::SubmitRequest(pb::SubmitRequest {
            id: id.clone(),
            piece: p.id.clone(),
            traffic_class: p.stream as u32,
            volume: self.settings.volumes[p.volume].id,
            shard: p.shard,
            key: Some(p.key),
            units: f64::from(p.units),
            left_us: clock::micros(until - now),
            extent: p.extent,
            length: p.units * self.script.bytes_per_unit,
            write: stream.write,
            data,
            offset: None,
            version: None,
            plan: None,
            hosts: None,
        }));
        let host = p.host;
        self.counts.tries += 1;
        self.by_number.insert(number, id.clone());
        self.tries.insert(id, Try { piece, until, host });
        let slack = self.settings.host_limits.answer_slack;
        self.plan(until + slack, What::GiveUp { tried: number });
    }

    fn hear(&mut self, heard: PeerEvent) {
        match heard {
            PeerEvent::Connected {
                source,
                conn,
                connection,
                ..
            } => {
                let host = source as usize;
                match self.lines[host] {
                    None => self.lines[host] = Some((conn, connection)),
                    Some(_) => connection.close(),
                }
            }
            PeerEvent::Closed { source, conn } => {
                let host = source as usize;
                if self.lines[host].as_ref().is_none_or(|l| l.0 != conn) {
                    return;
                }
                self.lines[host] = None;
                self.plan(self.now() + RECONNECT, What::Reconnect { host });
                let gone: Vec<Bytes> = self
                    .tries
                    .iter()
                    .filter(|(_, t)| t.host == host)
                    .map(|(id, _)| id.clone())
                    .collect();
                for id in gone {
                    let t = self.tries.remove(&id).expect("listed above");
                    self.counts.lost += 1;
                    // What it held may have run: only what may run again is sent again.
                    self.over(t.piece, Some(Outcome::Unknown));
                }
            }
            PeerEvent::Frame {
                body: Body::Response(f),
                ..
            } => self.answered(f),
            PeerEvent::Frame { .. } => {}
        }
    }

    fn answered(&mut self, f: Response) {
        if !self.answered.insert(f.id.clone()) {
            self.counts.doubled += 1;
            return;
        }
        let Some(t) = self.tries.remove(&f.id) else {
            return;
        };
        let now = self.now();
        let outcome = f.outcome();
        match outcome {
            Outcome::Completed => self.counts.done += 1,
            Outcome::Rejected => self.counts.deferred += 1,
            _ => self.counts.abandoned += 1,
        }
        let p = &self.pieces[t.piece];
        if outcome == Outcome::Completed {
            let stream = &self.settings.traffic_classes[p.stream];
            let plan = self.settings.volumes[p.volume].plan;
            let line = self.counts.plans.entry(plan).or_default();
            if now <= p.born + stream.facts.latency_objective {
                line.1 += 1;
                self.counts
                    .seconds
                    .entry((p.volume, p.born.as_secs()))
                    .or_default()
                    .1 += 1;
            } else {
                line.2 += 1;
            }
            if stream.write && p.shard.is_none() {
                let known = self.known.entry(p.volume).or_default();
                known.push((p.extent, f.shard.unwrap_or_default()));
                if known.len() > KNOWN_OBJECTS {
                    known.remove(0);
                }
            }
            if !stream.write && !f.data.is_empty() {
                let by = f.data.slice(..f.data.len().min(36));
                let known = self
                    .written
                    .get(&(p.volume, p.extent))
                    .is_some_and(|w| w.contains(&by));
                self.counts.wrong_content +=
                    u64::from(!known || f.data != content(&by, f.data.len()));
            }
            return;
        }
        let wait = Duration::from_micros(f.retry_after_us.unwrap_or(0)).max(self.script.retry_wait);
        self.again(t.piece, outcome, wait, t.until);
    }

    fn over(&mut self, piece: usize, outcome: Option<Outcome>) {
        let until = self.pieces[piece].born
            + self.settings.traffic_classes[self.pieces[piece].stream].deadline;
        if let Some(outcome) = outcome {
            self.again(piece, outcome, self.script.retry_wait, until);
        }
    }

    fn again(&mut self, piece: usize, outcome: Outcome, wait: Duration, until: Duration) {
        use grebecleat_settings::Idempotency;
        let p = &self.pieces[piece];
        let harmless = outcome == Outcome::Rejected
            || self.settings.traffic_classes[p.stream].facts.idempotency == Idempotency::Idempotent;
        let at = self.now() + wait;
        if harmless && p.tries <= self.script.retries && at < until {
            self.plan(at, What::Again { piece });
        }
    }
}
