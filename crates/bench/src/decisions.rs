//! Measures the cost of one request in the scheduler alone, and in the router including the
//! scheduler, in a closed loop without sockets: each response is followed by a new request, so that
//! the numbers of requests in flight and queued stay constant.
//!
//! The nanoseconds depend on the load of the machine; the instruction count of
//! `valgrind --tool=callgrind` does not. For callgrind, run the program with a fixed number of
//! requests (`decisions --requests N`): the difference between the instruction counts of two runs,
//! divided by the difference between their request counts, is the cost of one request.

use crate::site;
use bytes::Bytes;
use grebecleat_host::outbox::Outbox;
use grebecleat_host::router::{ConnId, Input, Output, RequestRouter};
use grebecleat_scheduler::api::{
    Action, AttemptEnd, AttemptOutcome, DiscoveryPolicy, Endpoint, EndpointUpdateKind, Event,
    NodeId, NodeState, PlanId, Request, RequestId, ShardId, TrafficClassId, VolumeId, ZoneId,
};
use grebecleat_scheduler::scheduler::Scheduler;
use grebecleat_settings::Settings;
use grebecleat_wire::pb::{self, frame::Body};
use std::collections::{HashMap, VecDeque};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Time of the first request on the simulated clock of the loop.
const START: Duration = Duration::from_secs(1);
/// Simulated time between two requests, as at 20,000 requests per second.
const REQUEST_INTERVAL: Duration = Duration::from_micros(50);
/// Time to the deadline of each request in seconds, long enough that none expires during a run.
const DEADLINE_SECONDS: u32 = 600;
/// Number of volumes of the site.
const VOLUMES: u64 = 100;
/// Upper limit on the requests that the router completes before the measurement starts.
const MAX_WARM_UP_REQUESTS: u64 = 2000;

/// When a loop ends.
#[derive(Debug, Clone, Copy)]
pub enum LoopEnd {
    /// After this duration.
    After(Duration),
    /// After this number of completed requests.
    Requests(u64),
}

impl LoopEnd {
    fn is_reached(self, started: Instant, requests: u64) -> bool {
        match self {
            LoopEnd::After(span) => started.elapsed() >= span,
            LoopEnd::Requests(count) => requests >= count,
        }
    }
}

/// The load of one loop.
#[derive(Debug, Clone, Copy)]
pub struct Load {
    /// Number of nodes.
    pub nodes: u32,
    /// Requests open at any time.
    pub open: usize,
    /// Responses passed to the scheduler or router in one step.
    pub batch: usize,
}

/// Component that a run with a fixed number of requests measures.
#[derive(Debug, Clone, Copy, clap::ValueEnum)]
pub enum Subject {
    /// The scheduler alone.
    Scheduler,
    /// The router including the scheduler.
    Router,
}

/// Prints a table of nanoseconds per request for every combination of nodes, open requests and batch size.
pub fn measure(span: Duration) {
    println!(
        "| nodes | open | queued | batch | scheduler, ns per request | router and scheduler, ns per request |"
    );
    println!("| ---: | ---: | ---: | ---: | ---: | ---: |");
    let end = LoopEnd::After(span);
    for nodes in [10, 100, 1000] {
        for open in [1, 100, 10_000] {
            for batch in [1, 32] {
                let load = Load { nodes, open, batch };
                let (scheduler, queued) = run_scheduler(load, end);
                let router = run_router(load, end);
                println!(
                    "| {nodes} | {open} | {queued} | {batch} | {scheduler:.0} | {router:.0} |"
                );
            }
        }
    }
}

/// Runs one loop over a fixed number of requests.
pub fn run_fixed(subject: Subject, load: Load, requests: u64) {
    let end = LoopEnd::Requests(requests);
    let nanos = match subject {
        Subject::Scheduler => run_scheduler(load, end).0,
        Subject::Router => run_router(load, end),
    };
    println!("{subject:?}, {load:?}: {requests} requests, {nanos:.0} ns per request");
}

fn settings(nodes: u32) -> Settings {
    Settings::read("bench.star".as_ref(), site(nodes, DEADLINE_SECONDS))
        .expect("the generated settings are valid")
}

fn request_id(number: u64) -> RequestId {
    let mut id = [b'0'; 36];
    id[..8].copy_from_slice(&number.to_le_bytes());
    RequestId(id)
}

/// The shard of a request. Requests are sent to the nodes in rotation.
fn shard_of(number: u64, nodes: u32) -> u32 {
    (number % u64::from(nodes)) as u32 + 1
}

/// A closed loop around the scheduler.
struct SchedulerLoop {
    scheduler: Scheduler,
    nodes: u32,
    now: Duration,
    last_request: u64,
    in_flight: VecDeque<(RequestId, NodeId)>,
}

impl SchedulerLoop {
    fn new(nodes: u32) -> Self {
        let settings = settings(nodes);
        let traffic_classes = settings.traffic_classes.iter();
        let plans = settings.plans.iter();
        let discovery = DiscoveryPolicy {
            polled: false,
            poll_interval: Duration::from_secs(10),
            lease: None,
        };
        let key_cooldown = Duration::from_millis(200);
        let scheduler = Scheduler::new(
            1,
            traffic_classes.map(|class| class.facts.clone()).collect(),
            plans.map(|plan| plan.facts.clone()).collect(),
            settings.units.clone(),
            settings.host_limits.clone(),
        )
        .with_policies(settings.rules.cold.clone(), discovery, None, key_cooldown);
        let mut this = SchedulerLoop {
            scheduler,
            nodes,
            now: START,
            last_request: 0,
            in_flight: VecDeque::new(),
        };
        this.step(vec![Event::EndpointUpdate {
            kind: EndpointUpdateKind::Snapshot,
            endpoints: (1..=nodes).map(endpoint).collect(),
        }]);
        this
    }

    fn new_request(&mut self) -> Event {
        self.last_request += 1;
        let number = self.last_request;
        Event::RequestReceived(Request {
            id: request_id(number),
            units: 1.0,
            shard: Some(ShardId(shard_of(number, self.nodes))),
            traffic_class: TrafficClassId(0),
            plan: PlanId(0),
            hosts: 1,
            key: None,
            deadline: self.now + Duration::from_secs(u64::from(DEADLINE_SECONDS)),
            volume: VolumeId(number % VOLUMES),
        })
    }

    fn new_requests(&mut self, count: usize) -> Vec<Event> {
        (0..count).map(|_| self.new_request()).collect()
    }

    /// Steps the scheduler; returns the number of requests that it rejected or failed.
    fn step(&mut self, events: Vec<Event>) -> usize {
        let mut ended = 0;
        for action in self.scheduler.step(self.now, events) {
            match action {
                Action::SendAttempt { id, node, .. } => self.in_flight.push_back((id, node)),
                Action::Reject { .. } | Action::Fail { .. } => ended += 1,
                _ => {}
            }
        }
        ended
    }

    /// Completes the oldest attempts, at most `count`, each followed by a new request.
    fn complete(&mut self, count: usize) -> Vec<Event> {
        let mut events = Vec::new();
        for _ in 0..count {
            let Some((id, node)) = self.in_flight.pop_front() else {
                break;
            };
            events.push(Event::AttemptEnded(AttemptEnd {
                id,
                attempt: 0,
                node,
                outcome: AttemptOutcome::Completed,
                elapsed: Duration::from_millis(1),
                answered: true,
                reported: None,
                others: 0.0,
                busy: None,
            }));
            events.push(self.new_request());
        }
        events
    }
}

fn endpoint(number: u32) -> Endpoint {
    Endpoint {
        node: NodeId(number),
        zone: ZoneId(0),
        shard: ShardId(number),
        state: NodeState::Ready,
        started: None,
    }
}

/// Runs the scheduler loop; returns nanoseconds per request and the number of requests queued at
/// the end.
fn run_scheduler(load: Load, end: LoopEnd) -> (f64, usize) {
    let mut run = SchedulerLoop::new(load.nodes);
    let first = run.new_requests(load.open);
    run.step(first);
    let started = Instant::now();
    let mut open = load.open;
    let mut requests = 0u64;
    while !end.is_reached(started, requests) {
        run.now += REQUEST_INTERVAL * load.batch as u32;
        let events = run.complete(load.batch);
        requests += events.len() as u64 / 2;
        let ended = run.step(events);
        open -= ended.min(open);
        // Replaces rejected and failed requests; otherwise the queue would run empty over time.
        if ended > 0 {
            let replacements = run.new_requests(ended);
            open += ended;
            open -= run.step(replacements).min(open);
        }
    }
    let nanos = started.elapsed().as_nanos() as f64 / requests.max(1) as f64;
    (nanos, open.saturating_sub(run.in_flight.len()))
}

/// A closed loop around the router. It reads the outboxes as the writer tasks of the connections do.
struct RouterLoop {
    router: RequestRouter,
    nodes: u32,
    now: Duration,
    last_request: u64,
    client_outbox: Arc<Outbox>,
    node_outboxes: HashMap<ConnId, Arc<Outbox>>,
    /// Connections whose outboxes have signalled that they hold frames to write.
    writable: Arc<Mutex<Vec<ConnId>>>,
    in_flight: VecDeque<(ConnId, u64)>,
}

/// Id of the client connection.
const CLIENT: ConnId = ConnId(1 << 50);

impl RouterLoop {
    fn new(nodes: u32) -> Self {
        RouterLoop {
            router: RequestRouter::new(Arc::new(settings(nodes)), 1),
            nodes,
            now: START,
            last_request: 0,
            client_outbox: Arc::new(Outbox::new(|| (), || ())),
            node_outboxes: HashMap::new(),
            writable: Arc::default(),
            in_flight: VecDeque::new(),
        }
    }

    fn first_inputs(&mut self, open: usize) -> Vec<Input> {
        let list = pb::EndpointUpdate {
            kind: pb::EndpointUpdateKind::Snapshot.into(),
            revision: 1,
            endpoints: (1..=self.nodes).map(endpoint_message).collect(),
        };
        let client_up = Input::ClientUp {
            conn: CLIENT,
            outbox: self.client_outbox.clone(),
        };
        let requests = self.new_requests(open);
        vec![Input::CachedEndpoints { list }, client_up, requests]
    }

    fn new_requests(&mut self, count: usize) -> Input {
        Input::ClientFrames {
            conn: CLIENT,
            at: self.now,
            frames: (0..count).map(|_| self.new_request()).collect(),
        }
    }

    fn new_request(&mut self) -> pb::Frame {
        self.last_request += 1;
        let number = self.last_request;
        let id = Bytes::copy_from_slice(&request_id(number).0);
        let request = pb::SubmitRequest {
            piece: id.clone(),
            id,
            volume: number % VOLUMES,
            shard: Some(shard_of(number, self.nodes)),
            units: 1.0,
            left_us: u64::from(DEADLINE_SECONDS) * 1_000_000,
            length: 512,
            ..Default::default()
        };
        pb::Frame {
            sent_us: self.now.as_micros() as u64,
            body: Some(Body::SubmitRequest(request)),
        }
    }

    /// Steps the router and completes the node connections it opens; returns whether it opened any.
    fn step(&mut self, inputs: Vec<Input>) -> bool {
        let mut connected = Vec::new();
        for output in self.router.step(self.now, inputs) {
            if let Output::Dial { conn, .. } = output {
                let outbox = self.new_outbox(conn);
                connected.push(Input::NodeUp { conn, outbox });
            }
        }
        let dialled = !connected.is_empty();
        self.router.step(self.now, connected);
        dialled
    }

    fn new_outbox(&mut self, conn: ConnId) -> Arc<Outbox> {
        let writable = self.writable.clone();
        let notify = move || {
            writable
                .lock()
                .expect("the mutex is used by one thread only")
                .push(conn)
        };
        let outbox = Arc::new(Outbox::new(notify, || ()));
        self.node_outboxes.insert(conn, outbox.clone());
        outbox
    }

    /// Takes the responses out of the client's outbox and returns their number.
    fn read_responses(&mut self) -> usize {
        let now = self.now;
        let responses = self.client_outbox.take_batch(|| now, usize::MAX);
        self.client_outbox.batch_written();
        responses.frames.len()
    }

    /// Takes the attempts out of the outboxes of the node connections that have frames to write.
    fn read_attempts(&mut self) {
        let now = self.now;
        let writable = std::mem::take(
            &mut *self
                .writable
                .lock()
                .expect("the mutex is used by one thread only"),
        );
        for conn in writable {
            let outbox = &self.node_outboxes[&conn];
            let frames = outbox.take_batch(|| now, usize::MAX).frames;
            for frame in frames {
                if let Some(Body::Attempt(attempt)) = frame.body {
                    self.in_flight.push_back((conn, attempt.attempt));
                }
            }
            outbox.batch_written();
        }
    }

    /// Completes the oldest attempts, at most `count`.
    fn complete(&mut self, count: usize) -> Vec<Input> {
        let mut inputs = Vec::new();
        for _ in 0..count {
            let Some((conn, attempt)) = self.in_flight.pop_front() else {
                break;
            };
            let response = pb::AttemptResponse {
                attempt,
                result: pb::Result::Ok.into(),
                ..Default::default()
            };
            let frame = pb::Frame {
                sent_us: 0,
                body: Some(Body::AttemptResponse(response)),
            };
            inputs.push(Input::NodeFrames {
                conn,
                at: self.now,
                frames: vec![frame],
            });
        }
        inputs
    }
}

fn endpoint_message(number: u32) -> pb::Endpoint {
    pb::Endpoint {
        node: number,
        shard: number,
        state: pb::NodeState::Ready.into(),
        address: "127.0.0.1:9".into(),
        start: 1,
        ..Default::default()
    }
}

/// Runs the router loop and measures it once the node connections are up; returns nanoseconds per
/// request.
fn run_router(load: Load, end: LoopEnd) -> f64 {
    let mut run = RouterLoop::new(load.nodes);
    let mut inputs = run.first_inputs(load.open);
    let warm_up_requests = MAX_WARM_UP_REQUESTS.min(load.open as u64 * 20);
    let mut warm = false;
    let mut started = Instant::now();
    let mut requests = 0u64;
    while !warm || !end.is_reached(started, requests) {
        let dialled = run.step(inputs);
        let responses = run.read_responses();
        run.read_attempts();
        if !warm && !dialled && requests > warm_up_requests {
            warm = true;
            started = Instant::now();
            requests = 0;
        }
        run.now += REQUEST_INTERVAL * load.batch as u32;
        inputs = run.complete(load.batch);
        requests += inputs.len() as u64;
        if responses > 0 {
            inputs.push(run.new_requests(responses));
        }
    }
    started.elapsed().as_nanos() as f64 / requests.max(1) as f64
}
