//! Clients of a scenario: they generate random requests, give up on an attempt at its deadline, retry,
//! and verify what they read. One event loop serves all volumes; each host has one connection.

use crate::draw::{injected_faults, random_generator, InjectedFault};
use crate::net::{self, hello, PeerConnection, PeerEvent};
use bytes::Bytes;
use grebecleat_settings::{FaultKind, Rehearsal, Settings};
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

/// Number of existing extents of a volume that requests access.
const EXTENTS_PER_VOLUME: u64 = 48;
/// Fraction of the writes that create an extent, whose shard the host chooses.
const NEW_EXTENT_FRACTION: f64 = 0.3;
/// Fraction of a volume's requests that go to its preferred host; the others go to a random one of its
/// hosts.
const PREFERRED_HOST_FRACTION: f64 = 0.7;
/// Time in seconds after which another host becomes a volume's preferred one.
const PREFERRED_HOST_SECONDS: f64 = 9.0;
const RECONNECT_INTERVAL: Duration = Duration::from_millis(50);
/// Limit on the created extents of a volume that are retained for later reads.
const MAX_CREATED_EXTENTS: usize = 64;

/// The results of the attempts and of the requests that they belong to.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ClientCounts {
    pub tries: u64,
    pub done: u64,
    pub deferred: u64,
    pub abandoned: u64,
    /// Attempts whose connection to the host closed before the response.
    pub lost: u64,
    /// Attempts without a response by their deadline, although the connection stayed open.
    pub unanswered: u64,
    /// Responses to attempts that were already answered.
    pub doubled: u64,
    /// Reads that returned content that no client wrote to the extent.
    pub wrong_content: u64,
    /// Requests whose host was not connected at their first attempt.
    pub without_host: u64,
    /// For each plan: requests, those completed within their latency objective, and those completed later.
    pub plans: BTreeMap<usize, (u64, u64, u64)>,
    /// For each volume's index and second of arrival: requests, and those completed within their latency
    /// objective.
    pub seconds: BTreeMap<(usize, u64), (u64, u64)>,
}

impl ClientCounts {
    /// Returns the fraction of a volume's requests that completed within their latency objective, among
    /// those that arrived in a range of seconds; `None` if there were none.
    pub fn timely(&self, volume: usize, seconds: std::ops::Range<u64>) -> Option<f64> {
        let all = self
            .seconds
            .range((volume, seconds.start)..(volume, seconds.end.max(seconds.start)));
        let (all, timely) = all.fold((0, 0), |sum, (_, s)| (sum.0 + s.0, sum.1 + s.1));
        (all > 0).then(|| timely as f64 / all as f64)
    }
}

/// A callback that receives the time and the counts so far.
pub type Progress<'a> = Box<dyn Fn(Duration, &ClientCounts) + Sync + 'a>;

/// A scheduled action of the event loop.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// A new request for a volume; `surge` is the index of the fault that adds the request.
    Arrival {
        volume: usize,
        surge: Option<usize>,
    },
    Retry {
        request: usize,
    },
    /// The end of the wait for a response to the attempt with this number.
    Timeout {
        number: u64,
    },
    Reconnect {
        host: usize,
    },
}

/// A client request with its attempts.
struct Request {
    id: Bytes,
    volume: usize,
    host: usize,
    traffic_class: usize,
    extent: u64,
    shard: Option<u32>,
    key: u64,
    units: u32,
    arrived_at: Duration,
    attempts: u32,
}

/// An attempt that awaits its response.
struct Attempt {
    request: usize,
    deadline: Duration,
    host: usize,
}

/// The event loop of all clients of a scenario.
pub struct Clients<'a> {
    settings: &'a Settings,
    script: &'a Rehearsal,
    injected_faults: Vec<InjectedFault>,
    t0: Duration,
    hosts: Arc<Mutex<Vec<Option<SocketAddr>>>>,
    tracer: Tracer,
    connections: Vec<Option<(u64, PeerConnection)>>,
    generators: Vec<Pcg64Mcg>,
    /// The scheduled events by time; events of equal times are in the order of scheduling.
    events: BinaryHeap<Reverse<(Duration, u64, Event)>>,
    sequence: u64,
    requests: Vec<Request>,
    attempts: HashMap<Bytes, Attempt>,
    attempts_by_number: HashMap<u64, Bytes>,
    /// The ids of the answered attempts, to detect repeated responses.
    answered: HashSet<Bytes>,
    /// For each volume: the extents that its writes created, with their shards.
    created_extents: BTreeMap<usize, Vec<(u64, u32)>>,
    /// For each extent: the ids of the requests whose content may be there.
    written: HashMap<(usize, u64), HashSet<Bytes>>,
    counts: ClientCounts,
    /// Called about once a second with the time and the counts.
    progress: Progress<'a>,
}

/// Returns an id of 36 characters in the form of a UUID, made of two numbers.
fn id_of(a: u64, b: u64) -> Bytes {
    Bytes::from(format!(
        "{:08x}-{:04x}-{:04x}-{:04x}-{b:012x}",
        a >> 32,
        a >> 16 & 0xffff,
        a & 0xffff,
        0x4a00
    ))
}

/// Returns the content that a request writes: its id, repeated.
fn content(id: &Bytes, len: usize) -> Bytes {
    id.iter().copied().cycle().take(len).collect()
}

/// Returns whether a volume belongs to an iSCSI target. Only the initiators write such a volume.
fn belongs_to_target(settings: &Settings, volume: &usize) -> bool {
    settings.targets.iter().any(|t| t.volumes.contains(volume))
}

impl<'a> Clients<'a> {
    /// Returns clients that connect to the addresses in `hosts`, which may change while they run. `None` if
    /// the settings declare no scenario.
    pub fn new(
        settings: &'a Settings,
        t0: Duration,
        hosts: Arc<Mutex<Vec<Option<SocketAddr>>>>,
        tracer: Tracer,
    ) -> Option<Self> {
        let script = settings.rehearsal.as_ref()?;
        let generators =
            (0..settings.volumes.len()).map(|v| random_generator(script.seed, 100_000 + v as u64));
        Some(Clients {
            settings,
            script,
            injected_faults: injected_faults(settings, script),
            t0,
            hosts,
            tracer,
            connections: settings.hosts.iter().map(|_| None).collect(),
            generators: generators.collect(),
            events: BinaryHeap::new(),
            sequence: 0,
            requests: Vec::new(),
            attempts: HashMap::new(),
            attempts_by_number: HashMap::new(),
            answered: HashSet::new(),
            created_extents: BTreeMap::new(),
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

    fn schedule(&mut self, at: Duration, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((at, self.sequence, event)));
    }

    /// Returns the units a second that a volume requests.
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
        let (peer_event_sender, peer_events) = mpsc::channel();
        (0..self.connections.len())
            .for_each(|host| self.schedule(Duration::ZERO, Event::Reconnect { host }));
        for volume in
            (0..self.settings.volumes.len()).filter(|v| !belongs_to_target(self.settings, v))
        {
            self.schedule(
                Duration::ZERO,
                Event::Arrival {
                    volume,
                    surge: None,
                },
            );
        }
        for (i, s) in self.injected_faults.clone().iter().enumerate() {
            let surges = matches!(s.kind, FaultKind::HotKey | FaultKind::Scan);
            for volume in s
                .volumes
                .iter()
                .filter(|v| surges && !belongs_to_target(self.settings, v))
            {
                self.schedule(
                    s.start,
                    Event::Arrival {
                        volume: *volume,
                        surge: Some(i),
                    },
                );
            }
        }
        let longest = self.settings.longest_deadline();
        let (end, last) = (self.script.length, self.script.length + longest * 2);
        let mut last_progress = Duration::ZERO;
        loop {
            let now = self.now();
            let busy = !self.attempts.is_empty();
            if now > last
                || (now > end
                    && !busy
                    && !self
                        .events
                        .iter()
                        .any(|h| h.0 .0 < last && self.is_retry(h)))
            {
                return self.counts;
            }
            if now >= last_progress + Duration::from_secs(1) {
                last_progress = now;
                (self.progress)(now, &self.counts);
            }
            while let Some(Reverse((at, _, event))) =
                self.events.peek().copied().filter(|h| h.0 .0 <= now)
            {
                self.events.pop();
                self.handle_event(at, event, &peer_event_sender);
            }
            let wait = self.events.peek().map_or(RECONNECT_INTERVAL, |h| {
                h.0 .0.saturating_sub(now).min(RECONNECT_INTERVAL)
            });
            match peer_events.recv_timeout(wait) {
                Ok(first) => {
                    let more: Vec<PeerEvent> = peer_events.try_iter().take(512).collect();
                    std::iter::once(first)
                        .chain(more)
                        .for_each(|h| self.handle_peer_event(h));
                }
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return self.counts,
            }
        }
    }

    fn is_retry(&self, h: &Reverse<(Duration, u64, Event)>) -> bool {
        matches!(h.0 .2, Event::Retry { .. })
    }

    fn handle_event(
        &mut self,
        at: Duration,
        event: Event,
        peer_event_sender: &mpsc::Sender<PeerEvent>,
    ) {
        match event {
            Event::Arrival { volume, surge } => self.handle_arrival(at, volume, surge),
            Event::Retry { request } => self.attempt(request),
            Event::Timeout { number } => {
                let Some(id) = self.attempts_by_number.remove(&number) else {
                    return;
                };
                if let Some(t) = self.attempts.remove(&id) {
                    self.counts.unanswered += 1;
                    self.end_attempt(t.request, None);
                }
            }
            Event::Reconnect { host } if self.connections[host].is_none() => {
                let address = self.hosts.lock().unwrap_or_else(|e| e.into_inner())[host];
                let me = hello(pb::Role::Client, "clients", 1);
                if let Some(address) = address {
                    let _ = net::dial(
                        address,
                        host as u32,
                        me,
                        self.tracer.clone(),
                        peer_event_sender.clone(),
                    );
                }
                self.schedule(self.now() + RECONNECT_INTERVAL, Event::Reconnect { host });
            }
            Event::Reconnect { .. } => {}
        }
    }

    fn handle_arrival(&mut self, at: Duration, volume: usize, surge: Option<usize>) {
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
            .filter(|s| s.kind == FaultKind::Reconnect && s.start <= at)
            .count();
        let spec = &self.settings.volumes[volume];
        let rng = &mut self.generators[volume];
        let gap = -rng.random::<f64>().max(1e-12).ln() / per_second;
        let shares: f64 = self.settings.traffic_classes.iter().map(|s| s.share).sum();
        let mut place = rng.random::<f64>() * shares;
        let pick = self.settings.traffic_classes.iter().position(|s| {
            place -= s.share;
            place < 0.0
        });
        let traffic_class = pick.unwrap_or(0);
        let write = self.settings.traffic_classes[traffic_class].write;
        let (mean, largest) = (self.settings.units.mean, self.settings.units.largest);
        let units =
            (1.0 + -rng.random::<f64>().max(1e-9).ln() * (mean - 1.0).max(0.0)).min(largest) as u32;
        let preferred = (at.as_secs_f64() / PREFERRED_HOST_SECONDS) as usize + reconnects + volume;
        let n = spec.hosts.len();
        let turn = if rng.random::<f64>() < PREFERRED_HOST_FRACTION {
            preferred
        } else {
            preferred + 1 + rng.random_range(0..n)
        };
        let host = spec.hosts[turn % n];
        let mut extent = rng.random_range(0..EXTENTS_PER_VOLUME);
        let mut shard = Some(spec.shards[(extent % spec.shards.len() as u64) as usize]);
        let (fresh, reread) = (rng.random::<f64>(), rng.random::<f64>());
        let position = rng.random::<f64>();
        if write && fresh < NEW_EXTENT_FRACTION {
            (extent, shard) = (1_000_000 + self.requests.len() as u64, None);
        } else if !write && reread < self.script.reread {
            let created_extents = self.created_extents.get(&volume).filter(|k| !k.is_empty());
            if let Some(created_extents) = created_extents {
                let (e, c) = created_extents
                    [(position * created_extents.len() as f64) as usize % created_extents.len()];
                (extent, shard) = (e, Some(c));
            }
        }
        if at > Duration::ZERO {
            let id = id_of(self.script.seed, self.requests.len() as u64);
            let key = (volume as u64) << 32 | extent;
            let (arrived_at, attempts) = (at, 0);
            self.requests.push(Request {
                id,
                volume,
                host,
                traffic_class,
                extent,
                shard,
                key,
                units,
                arrived_at,
                attempts,
            });
            self.counts.plans.entry(spec.plan).or_default().0 += 1;
            self.counts
                .seconds
                .entry((volume, at.as_secs()))
                .or_default()
                .0 += 1;
            self.attempt(self.requests.len() - 1);
        }
        self.schedule(
            at + Duration::from_secs_f64(gap),
            Event::Arrival { volume, surge },
        );
    }

    fn attempt(&mut self, request: usize) {
        let now = self.now();
        let p = &mut self.requests[request];
        let traffic_class = &self.settings.traffic_classes[p.traffic_class];
        let deadline = p.arrived_at + traffic_class.deadline;
        let Some((_, connection)) = &self.connections[p.host] else {
            self.counts.without_host += u64::from(p.attempts == 0);
            return self.end_attempt(request, None);
        };
        if now + Duration::from_millis(1) >= deadline {
            return;
        }
        p.attempts += 1;
        self.sequence += 1;
        let number = self.sequence;
        let id = id_of(number, request as u64);
        let data = match traffic_class.write {
            true => content(&p.id, (p.units * self.script.bytes_per_unit) as usize),
            false => Bytes::new(),
        };
        if traffic_class.write {
            self.written
                .entry((p.volume, p.extent))
                .or_default()
                .insert(p.id.clone());
        }
        connection.send(Body::SubmitRequest(pb::SubmitRequest {
            id: id.clone(),
            piece: p.id.clone(),
            traffic_class: p.traffic_class as u32,
            volume: self.settings.volumes[p.volume].id,
            shard: p.shard,
            key: Some(p.key),
            units: f64::from(p.units),
            left_us: clock::micros(deadline - now),
            extent: p.extent,
            length: p.units * self.script.bytes_per_unit,
            write: traffic_class.write,
            data,
            offset: None,
            version: None,
            plan: None,
            hosts: None,
        }));
        let host = p.host;
        self.counts.tries += 1;
        self.attempts_by_number.insert(number, id.clone());
        self.attempts.insert(
            id,
            Attempt {
                request,
                deadline,
                host,
            },
        );
        let slack = self.settings.host_limits.answer_slack;
        self.schedule(deadline + slack, Event::Timeout { number });
    }

    fn handle_peer_event(&mut self, event: PeerEvent) {
        match event {
            PeerEvent::Connected {
                source,
                conn,
                connection,
                ..
            } => {
                let host = source as usize;
                match self.connections[host] {
                    None => self.connections[host] = Some((conn, connection)),
                    Some(_) => connection.close(),
                }
            }
            PeerEvent::Closed { source, conn } => {
                let host = source as usize;
                if self.connections[host].as_ref().is_none_or(|l| l.0 != conn) {
                    return;
                }
                self.connections[host] = None;
                self.schedule(self.now() + RECONNECT_INTERVAL, Event::Reconnect { host });
                let unanswered: Vec<Bytes> = self
                    .attempts
                    .iter()
                    .filter(|(_, t)| t.host == host)
                    .map(|(id, _)| id.clone())
                    .collect();
                for id in unanswered {
                    let attempt = self.attempts.remove(&id).expect("listed above");
                    self.counts.lost += 1;
                    // The host may have performed the request, so only an idempotent one is retried.
                    self.end_attempt(attempt.request, Some(Outcome::Unknown));
                }
            }
            PeerEvent::Frame {
                body: Body::Response(response),
                ..
            } => self.handle_response(response),
            PeerEvent::Frame { .. } => {}
        }
    }

    fn handle_response(&mut self, response: Response) {
        if !self.answered.insert(response.id.clone()) {
            self.counts.doubled += 1;
            return;
        }
        let Some(attempt) = self.attempts.remove(&response.id) else {
            return;
        };
        let now = self.now();
        let outcome = response.outcome();
        match outcome {
            Outcome::Completed => self.counts.done += 1,
            Outcome::Rejected => self.counts.deferred += 1,
            _ => self.counts.abandoned += 1,
        }
        let p = &self.requests[attempt.request];
        if outcome == Outcome::Completed {
            let traffic_class = &self.settings.traffic_classes[p.traffic_class];
            let plan = self.settings.volumes[p.volume].plan;
            let plan_counts = self.counts.plans.entry(plan).or_default();
            if now <= p.arrived_at + traffic_class.facts.latency_objective {
                plan_counts.1 += 1;
                self.counts
                    .seconds
                    .entry((p.volume, p.arrived_at.as_secs()))
                    .or_default()
                    .1 += 1;
            } else {
                plan_counts.2 += 1;
            }
            if traffic_class.write && p.shard.is_none() {
                let created_extents = self.created_extents.entry(p.volume).or_default();
                created_extents.push((p.extent, response.shard.unwrap_or_default()));
                if created_extents.len() > MAX_CREATED_EXTENTS {
                    created_extents.remove(0);
                }
            }
            if !traffic_class.write && !response.data.is_empty() {
                let writer_id = response.data.slice(..response.data.len().min(36));
                let was_written = self
                    .written
                    .get(&(p.volume, p.extent))
                    .is_some_and(|w| w.contains(&writer_id));
                self.counts.wrong_content += u64::from(
                    !was_written || response.data != content(&writer_id, response.data.len()),
                );
            }
            return;
        }
        let wait =
            Duration::from_micros(response.retry_after_us.unwrap_or(0)).max(self.script.retry_wait);
        self.schedule_retry(attempt.request, outcome, wait, attempt.deadline);
    }

    fn end_attempt(&mut self, request: usize, outcome: Option<Outcome>) {
        let deadline = self.requests[request].arrived_at
            + self.settings.traffic_classes[self.requests[request].traffic_class].deadline;
        if let Some(outcome) = outcome {
            self.schedule_retry(request, outcome, self.script.retry_wait, deadline);
        }
    }

    fn schedule_retry(
        &mut self,
        request: usize,
        outcome: Outcome,
        wait: Duration,
        deadline: Duration,
    ) {
        use grebecleat_settings::Idempotency;
        let p = &self.requests[request];
        let may_retry = outcome == Outcome::Rejected
            || self.settings.traffic_classes[p.traffic_class]
                .facts
                .idempotency
                == Idempotency::Idempotent;
        let at = self.now() + wait;
        if may_retry && p.attempts <= self.script.retries && at < deadline {
            self.schedule(at, Event::Retry { request });
        }
    }
}
