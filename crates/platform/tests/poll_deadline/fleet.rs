//! A fleet of hosts, each with its router and its calls to discovery, on a simulated clock.

use super::discovery::Watch;
use super::ms;
use super::scenarios::{OutageKind, Scenario};
use grebecleat_discovery::calls::{CallSequence, Event, CALL_TIMEOUT};
use grebecleat_host::log_event::LogEvent;
use grebecleat_host::outbox::Outbox;
use grebecleat_host::router::{ConnId, Input, Output, RequestRouter};
use grebecleat_platform::config::{Config, MAX_LIST_STALENESS};
use grebecleat_scheduler::api::{LogEvent as SchedulerEvent, PeerId};
use grebecleat_settings::Settings;
use grebecleat_wire::pb::{self, frame::Body};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde_json::json;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::sync::Arc;
use std::time::Duration;

/// Network latency of a message.
pub const LATENCY: Duration = ms(1);
/// Timeout of a dial.
pub const DIAL_TIMEOUT: Duration = ms(250);
/// The start of the run, on the simulated clock.
pub const START: Duration = ms(100_000);
/// Time from the start of the run after which calls are counted. The earlier calls, at the start of all
/// hosts, are the same in all runs.
const COUNTED_AFTER: Duration = ms(5000);

fn settings() -> Arc<Settings> {
    let config = json!({
        "name": "n1", "listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "seed": "7",
        "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 256},
        "settings": {
            "balancers": 300, "registry-mode": "on_request", "zones": ["a"],
            "caps": {"max-attempts": 3, "retry-after": true, "max-retry-after-ms": 500.0},
            "family-info": {"largest": 6, "mean-units": 2.0, "writes": [false]},
            "profiles": [{"name": "read", "objective-ms": 200.0, "deadline-ms": 1500.0,
                          "idempotency": "free", "worth": 3.0}],
            "plans": [{"name": "gold", "base-rate": 60.0, "guaranteed": 60.0, "proportion": 1.0,
                       "price": 1.0}],
            "rules": {"answer-slack-ms": 58.0, "ask-every-ms": 9000.0}
        }
    });
    let text = config.to_string();
    Config::read("c.json".as_ref(), text.as_bytes())
        .unwrap()
        .settings
}

/// An event at a host. The order of the variants decides the order of simultaneous events.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum FleetEvent {
    /// The first step of a host, as its event loop makes it.
    Begin,
    Wake,
    DialEnds {
        conn: u64,
        up: bool,
    },
    /// A response with this revision, or a refusal if it is `None`.
    Response {
        conn: u64,
        revision: Option<u64>,
    },
    Sweep {
        conn: u64,
    },
    Restart,
    Moves,
    Changes,
    /// The wait time of a watch has ended.
    WatchExpired {
        watch: usize,
    },
}

/// A host's connection to discovery.
pub struct Link {
    pub conn: u64,
    pub outbox: Arc<Outbox>,
    pub calls: CallSequence,
}

pub struct Host {
    pub router: RequestRouter,
    pub link: Option<Link>,
    /// The connection that was dialed last; the router has abandoned the earlier ones.
    dialed_conn: u64,
    wake: Duration,
    /// When it first received the change.
    learned_at: Option<Duration>,
    /// When its last call began.
    pub call_begun_at: Duration,
    /// Number of failed calls among those that began after discovery had the change.
    failed: u32,
    /// Number of calls that the scenario made to fail.
    pub forced_failures: u32,
}

/// The outcome of a run.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Outcome {
    pub calls: usize,
    /// Number of these calls without a response.
    pub unanswered: usize,
    pub busiest: usize,
    /// Time from when discovery had the change and was reachable until the last host knew it.
    pub slowest: Duration,
    /// Number of hosts that knew it later than the term.
    pub late: usize,
    /// Number of late hosts with at most one failed call among those that began after discovery had
    /// the change.
    pub unexpectedly_late: usize,
}

pub struct Fleet {
    pub scenario: Scenario,
    /// Whether the routers have a poll deadline.
    pub has_poll_deadline: bool,
    pub rng: Pcg64Mcg,
    pub now: Duration,
    pub hosts: Vec<Host>,
    settings: Arc<Settings>,
    scheduled: BinaryHeap<Reverse<(Duration, usize, FleetEvent)>>,
    /// When discovery will have handled its queued calls.
    pub free_at: Duration,
    pub revision: u64,
    pub watches: BTreeMap<usize, Watch>,
    /// When each call was made.
    pub calls: Vec<Duration>,
    /// Number of responses that reached their hosts.
    responses: usize,
}

impl Fleet {
    /// Runs the scenario to its end.
    pub fn run(scenario: &Scenario, has_poll_deadline: bool, seed: u64) -> Outcome {
        let mut fleet = Fleet {
            scenario: scenario.clone(),
            has_poll_deadline,
            rng: Pcg64Mcg::seed_from_u64(seed),
            now: START,
            hosts: Vec::new(),
            settings: settings(),
            scheduled: BinaryHeap::new(),
            free_at: START,
            revision: 1,
            watches: BTreeMap::new(),
            calls: Vec::new(),
            responses: 0,
        };
        fleet.schedule_scenario();
        while let Some(Reverse((at, host, event))) = fleet.scheduled.pop() {
            if at > START + scenario.until {
                break;
            }
            fleet.now = at;
            fleet.handle(host, event);
        }
        fleet.outcome()
    }

    fn schedule_scenario(&mut self) {
        for host in 0..self.scenario.hosts {
            let new = self.new_host();
            self.hosts.push(new);
            self.schedule(START, host, FleetEvent::Begin);
            if let Some(restart) = self.scenario.restart {
                if self.rng.random::<f64>() < restart.fraction {
                    self.schedule(START + restart.at, host, FleetEvent::Restart);
                }
            }
            if let Some(at) = self.scenario.moves_at {
                self.schedule(START + at, host, FleetEvent::Moves);
            }
        }
        let change_at = self.scenario.change_at;
        // A change during an outage is in the list when the outage ends.
        let made_at = match self.scenario.outage {
            Some(outage) if outage.until == change_at => change_at - ms(1),
            _ => change_at,
        };
        self.schedule(START + made_at, 0, FleetEvent::Changes);
    }

    fn new_host(&mut self) -> Host {
        let seed = self.rng.random();
        let mut router =
            RequestRouter::new(self.settings.clone(), seed).with_exclusive_connections();
        if self.has_poll_deadline {
            router = router.with_poll_deadline(MAX_LIST_STALENESS, CALL_TIMEOUT);
        }
        Host {
            router,
            link: None,
            dialed_conn: 0,
            wake: Duration::ZERO,
            learned_at: None,
            call_begun_at: START,
            failed: 0,
            forced_failures: 0,
        }
    }

    pub fn schedule(&mut self, at: Duration, host: usize, event: FleetEvent) {
        self.scheduled.push(Reverse((at, host, event)));
    }

    fn has_link(&self, host: usize, conn: u64) -> bool {
        let link = self.hosts[host].link.as_ref();
        link.is_some_and(|link| link.conn == conn)
    }

    fn handle(&mut self, host: usize, event: FleetEvent) {
        match event {
            FleetEvent::Begin => {
                let first = Input::PeerMessage {
                    from: PeerId(u32::MAX),
                    waited: Duration::ZERO,
                    bytes: Vec::new(),
                };
                self.step(host, vec![first]);
            }
            FleetEvent::Wake => {
                if self.hosts[host].wake <= self.now {
                    self.step(host, vec![]);
                }
            }
            FleetEvent::DialEnds { conn, up } => {
                if self.hosts[host].dialed_conn == conn {
                    self.dial_ended(host, conn, up);
                }
            }
            FleetEvent::Response { conn, revision } => {
                if self.has_link(host, conn) {
                    match revision {
                        Some(revision) => self.handle_response(host, conn, revision),
                        None => self.close_link(host, conn),
                    }
                }
            }
            FleetEvent::Sweep { conn } => {
                let link = self.hosts[host].link.as_ref();
                let timeout_at = link
                    .filter(|link| link.conn == conn)
                    .and_then(|link| Some(link.calls.outstanding()?.timeout_at));
                if timeout_at.is_some_and(|timeout_at| self.now >= timeout_at) {
                    self.close_link(host, conn);
                }
            }
            FleetEvent::Restart => {
                let new = self.new_host();
                self.hosts[host] = new;
                self.schedule(self.now, host, FleetEvent::Begin);
            }
            FleetEvent::Moves => self.step(host, vec![Input::DiscoveryMoved]),
            FleetEvent::Changes => self.change_list(),
            FleetEvent::WatchExpired { watch } => self.watch_expired(watch),
        }
    }

    fn dial_ended(&mut self, host: usize, conn: u64, up: bool) {
        if !up {
            return self.step(host, vec![gone(conn)]);
        }
        let outbox = Arc::new(Outbox::new(|| (), || ()));
        let first_timeout = if self.has_poll_deadline {
            self.settings.bounds.patience
        } else {
            CALL_TIMEOUT
        };
        self.hosts[host].link = Some(Link {
            conn,
            outbox: outbox.clone(),
            calls: CallSequence::new(first_timeout, None, false),
        });
        let up = Input::DiscoveryUp {
            conn: ConnId(conn),
            outbox,
        };
        self.step(host, vec![up]);
    }

    fn handle_response(&mut self, host: usize, conn: u64, revision: u64) {
        self.responses += usize::from(self.now > START + COUNTED_AFTER);
        if revision > 1 {
            self.hosts[host].learned_at.get_or_insert(self.now);
        }
        let endpoint = pb::Endpoint {
            node: 1,
            state: pb::NodeState::Ready.into(),
            address: "127.0.0.1:9".into(),
            ..pb::Endpoint::default()
        };
        let list = pb::EndpointUpdate {
            kind: pb::EndpointUpdateKind::Snapshot.into(),
            revision,
            endpoints: vec![endpoint],
        };
        let frames = vec![pb::Frame {
            sent_us: 0,
            body: Some(Body::EndpointUpdate(list)),
        }];
        self.hosts[host].call_begun_at = self.now;
        let link = self.hosts[host].link.as_mut().expect("looked up before");
        let event = Event::Answered { revision };
        let call = link.calls.step(self.now, MAX_LIST_STALENESS, event);
        self.make_call(host, conn, call);
        let conn = ConnId(conn);
        self.step(host, vec![Input::DiscoveryFrames { conn, frames }]);
    }

    fn close_link(&mut self, host: usize, conn: u64) {
        self.hosts[host].link = None;
        self.step(host, vec![gone(conn)]);
    }

    fn step(&mut self, host: usize, inputs: Vec<Input>) {
        for output in self.hosts[host].router.step(self.now, inputs) {
            self.perform(host, output);
        }
        self.send_calls(host);
        let state = &mut self.hosts[host];
        state.wake = state.router.wake_at().max(self.now + ms(1));
        let wake = state.wake;
        self.schedule(wake, host, FleetEvent::Wake);
    }

    fn perform(&mut self, host: usize, output: Output) {
        match output {
            Output::Log(LogEvent::Discovery(_)) => self.count_failure(host),
            Output::Log(LogEvent::Scheduler(
                SchedulerEvent::EndpointLeaseExpired | SchedulerEvent::EndpointLeaseRenewed,
            )) => self.count_failure(host),
            Output::DialDiscovery { conn } => self.dial(host, conn),
            _ => {}
        }
    }

    fn count_failure(&mut self, host: usize) {
        let change_at = START + self.scenario.change_at;
        let state = &mut self.hosts[host];
        let counts = state.call_begun_at >= change_at && state.learned_at.is_none();
        state.failed += u32::from(counts);
    }

    fn dial(&mut self, host: usize, conn: ConnId) {
        self.hosts[host].dialed_conn = conn.0;
        self.hosts[host].call_begun_at = self.now;
        // A slow dial leaves little time for its call.
        let slow = if self.is_forced_to_fail(host) {
            Some([LATENCY, DIAL_TIMEOUT, ms(900)][self.rng.random_range(0..3)])
        } else {
            None
        };
        let (after, up) = match self.outage() {
            None => (slow.unwrap_or(LATENCY), true),
            Some(OutageKind::Refuses | OutageKind::Hangs) => (LATENCY, true),
            Some(OutageKind::Closed) => (LATENCY, false),
            Some(OutageKind::Silent) => (DIAL_TIMEOUT, false),
        };
        let ends = FleetEvent::DialEnds { conn: conn.0, up };
        self.schedule(self.now + after, host, ends);
    }

    /// Makes the calls that the messages in the outbox to discovery request.
    fn send_calls(&mut self, host: usize) {
        let now = self.now;
        let state = &mut self.hosts[host];
        let Some(link) = &mut state.link else {
            return;
        };
        let batch = link.outbox.take_batch(|| now, usize::MAX);
        link.outbox.batch_written();
        let mut call = None;
        for body in batch.frames.into_iter().filter_map(|frame| frame.body) {
            if let Body::Watch(watch) = body {
                let event = Event::Watch { on: watch.on };
                let next = link.calls.step(now, MAX_LIST_STALENESS, event);
                call = call.or(next);
            }
        }
        let conn = link.conn;
        if batch.closed {
            state.link = None;
        }
        self.make_call(host, conn, call);
    }

    fn outcome(&self) -> Outcome {
        let change_at = START + self.scenario.change_at;
        let delay = |host: &Host| match host.learned_at {
            Some(at) => at.saturating_sub(change_at),
            None => self.scenario.until,
        };
        let is_late = |host: &&Host| delay(host) > MAX_LIST_STALENESS;
        let counted = self.calls.iter().copied();
        let counted: Vec<Duration> = counted.filter(|at| *at > START + COUNTED_AFTER).collect();
        let in_second = |from: &Duration| {
            let second = *from..*from + ms(1000);
            counted.iter().filter(|at| second.contains(at)).count()
        };
        let late: Vec<&Host> = self.hosts.iter().filter(is_late).collect();
        Outcome {
            calls: counted.len(),
            unanswered: counted.len() - self.responses,
            busiest: counted.iter().step_by(7).map(in_second).max().unwrap_or(0),
            slowest: self.hosts.iter().map(delay).max().unwrap_or_default(),
            late: late.len(),
            unexpectedly_late: late.iter().filter(|host| host.failed <= 1).count(),
        }
    }
}

fn gone(conn: u64) -> Input {
    Input::DiscoveryGone { conn: ConnId(conn) }
}
