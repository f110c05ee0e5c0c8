//! How soon a change of the list is known to every host, and how many calls that takes: whole fleets of the
//! real `Desk`, decisions and `Calls`, on a clock of the test's, against a list that goes down, falls silent,
//! loses answers, and refuses whatever it cannot serve in time. Each run is of one seed, and is made without
//! the desk's bound (`before`) and with it.

use grebecleat::interface::PeerId;
use grebecleat_host::outbox::Outbox;
use grebecleat_host::router::{ConnId, Input, Output, RequestRouter};
use grebecleat_platform::calls::{self, Action, Calls};
use grebecleat_platform::config::{Config, SILENCE};
use grebecleat_settings::Settings;
use grebecleat_wire::pb::{self, frame::Body};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde_json::json;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::sync::Arc;
use std::time::Duration;

const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// A call that would wait for longer than this is refused: at once, or when it has waited.
const QUEUE: Duration = ms(900);
const WAY: Duration = ms(1);
/// Where nobody answers a dial, it is given up after this.
const DIAL: Duration = ms(250);
/// Of the platform's own looks at its connections.
const SWEEP: Duration = ms(50);
const BEGIN: Duration = ms(100_000);
/// From then on calls are counted: what begins with everybody's start is the same in all runs.
const COUNTED: Duration = ms(5000);

fn settings() -> Arc<Settings> {
    let config = json!({
        "name": "n1", "listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "seed": "7",
        "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 256},
        "settings": {
            "balancers": 300, "registry-mode": "on_request", "zones": ["a"],
            "caps": {"max-attempts": 3, "retry-after": true, "max-retry-after-ms": 500.0},
            "family-info": {"largest": 6, "mean-units": 2.0, "writes": [false]},
            "profiles": [{"name": "read", "objective-ms": 200.0, "deadline-ms": 1500.0, "idempotency": "free",
                          "worth": 3.0}],
            "plans": [{"name": "gold", "base-rate": 60.0, "guaranteed": 60.0, "proportion": 1.0,
                       "price": 1.0}],
            "rules": {"answer-slack-ms": 58.0, "ask-every-ms": 9000.0}
        }
    });
    Config::read("c.json".as_ref(), config.to_string().as_bytes())
        .unwrap()
        .settings
}

/// How the list fails while it is down.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Down {
    /// Dials are refused.
    Closed,
    /// Dials come up, and calls are answered 503.
    Refuses,
    /// Nothing comes back, neither of a dial nor of a call.
    Silent,
    /// Dials come up, and calls are never answered.
    Hangs,
}

#[derive(Debug, Clone)]
struct World {
    hosts: usize,
    until: Duration,
    /// What one call costs the list; it handles them in turn.
    cost: Duration,
    /// A call that cannot be served in time is refused when it has waited, not at once.
    refuses_late: bool,
    down: Option<(Down, Duration, Duration)>,
    /// All watches that are open then fall silent, connections and all.
    silent_at: Option<Duration>,
    /// The part of answers that is lost on the way.
    lost: f64,
    /// The part of hosts that start anew then, without a remembered list.
    restart: Option<(Duration, f64)>,
    /// The list moves then, for all hosts: their calls there are new ones.
    moves_at: Option<Duration>,
    /// From when the list has the change, so many calls of each host fail, in every way, as late as they can;
    /// and the answers come as late as they may.
    fails: Option<u32>,
    /// When the list has the change that is looked at, and can be reached.
    had_at: Duration,
}

const CALM: World = World {
    hosts: 300,
    until: ms(30_000),
    cost: ms(4),
    refuses_late: false,
    down: None,
    silent_at: None,
    lost: 0.0,
    restart: None,
    moves_at: None,
    fails: None,
    had_at: ms(10_000),
};

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum What {
    /// The first step, as the platform's loop makes it.
    Begin,
    Wake,
    DialEnds {
        conn: u64,
        up: bool,
    },
    /// A revision, or a refusal.
    Answer {
        conn: u64,
        revision: Option<u64>,
    },
    Sweep {
        conn: u64,
    },
    Restart,
    Moves,
    Changes,
    /// A watch has waited for as long as it was to.
    Over {
        watch: usize,
    },
}

struct Link {
    conn: u64,
    outbox: Arc<Outbox>,
    calls: Calls,
}

struct Host {
    router: RequestRouter,
    link: Option<Link>,
    /// The connection that was dialled last; the desk has given up on those before.
    dialled: u64,
    wake: Duration,
    told: Option<Duration>,
    /// When its last call was begun.
    began: Duration,
    /// Calls begun since the list had the change that have failed, and calls that were made to.
    failed: u32,
    spoilt: u32,
}

struct Watch {
    host: usize,
    conn: u64,
    revision: u64,
    /// It is never answered.
    silent: bool,
}

#[derive(Debug, Default, PartialEq, Eq)]
struct Seen {
    calls: usize,
    /// Of these, those that brought nothing.
    vain: usize,
    busiest: usize,
    /// From when the list had the change and could be reached until the last host had it.
    slowest: Duration,
    /// Hosts that had it later than the term.
    late: usize,
    /// Of these, those of whose calls that were begun since then no more than one has failed.
    unexcused: usize,
}

struct Run {
    w: World,
    bounded: bool,
    rng: Pcg64Mcg,
    now: Duration,
    hosts: Vec<Host>,
    events: BinaryHeap<Reverse<(Duration, usize, What)>>,
    free: Duration,
    revision: u64,
    watches: BTreeMap<usize, Watch>,
    calls: Vec<Duration>,
    heard: usize,
}

impl Run {
    fn of(w: &World, bounded: bool, seed: u64) -> Seen {
        let rng = Pcg64Mcg::seed_from_u64(seed);
        let mut run = Run {
            w: w.clone(),
            bounded,
            rng,
            now: BEGIN,
            hosts: Vec::new(),
            events: BinaryHeap::new(),
            free: BEGIN,
            revision: 1,
            watches: BTreeMap::new(),
            calls: Vec::new(),
            heard: 0,
        };
        let settings = settings();
        for n in 0..w.hosts {
            let host = run.host(&settings);
            run.hosts.push(host);
            run.at(BEGIN, n, What::Begin);
            if let Some((at, part)) = w.restart {
                if run.rng.random::<f64>() < part {
                    run.at(BEGIN + at, n, What::Restart);
                }
            }
            if let Some(at) = w.moves_at {
                run.at(BEGIN + at, n, What::Moves);
            }
        }
        // What was made while it was down is there when it is back.
        let made = w
            .down
            .filter(|d| d.2 == w.had_at)
            .map_or(w.had_at, |d| d.2 - ms(1));
        run.at(BEGIN + made, 0, What::Changes);
        while let Some(Reverse((at, host, what))) = run.events.pop() {
            if at > BEGIN + w.until {
                break;
            }
            run.now = at;
            run.happens(host, what, &settings);
        }
        run.seen()
    }

    fn host(&mut self, settings: &Arc<Settings>) -> Host {
        let router =
            RequestRouter::new(settings.clone(), self.rng.random()).with_exclusive_connections();
        let router = if self.bounded {
            router.with_poll_deadline(SILENCE, calls::ANSWER)
        } else {
            router
        };
        Host {
            router,
            link: None,
            dialled: 0,
            wake: Duration::ZERO,
            told: None,
            began: BEGIN,
            failed: 0,
            spoilt: 0,
        }
    }

    fn at(&mut self, at: Duration, host: usize, what: What) {
        self.events.push(Reverse((at, host, what)));
    }

    fn down(&self) -> Option<Down> {
        let span = self.w.down?;
        (BEGIN + span.1..BEGIN + span.2)
            .contains(&self.now)
            .then_some(span.0)
    }

    fn happens(&mut self, host: usize, what: What, settings: &Arc<Settings>) {
        let is_up = |h: &Host, conn| h.link.as_ref().is_some_and(|l| l.conn == conn);
        match what {
            What::Begin => {
                let word = Input::PeerMessage {
                    from: PeerId(u32::MAX),
                    waited: Duration::ZERO,
                    bytes: Vec::new(),
                };
                self.step(host, vec![word]);
            }
            What::Wake if self.hosts[host].wake > self.now => {}
            What::Wake => self.step(host, vec![]),
            What::DialEnds { conn, .. } if self.hosts[host].dialled != conn => {}
            What::DialEnds { conn, up: false } => self.step(host, vec![gone(conn)]),
            What::DialEnds { conn, up: true } => {
                let outbox = Arc::new(Outbox::new(|| (), || ()));
                let first = if self.bounded {
                    settings.bounds.patience
                } else {
                    calls::ANSWER
                };
                let link = Link {
                    conn,
                    outbox: outbox.clone(),
                    calls: Calls::new(first),
                };
                self.hosts[host].link = Some(link);
                self.step(
                    host,
                    vec![Input::DiscoveryUp {
                        conn: ConnId(conn),
                        outbox,
                    }],
                );
            }
            What::Answer { conn, .. } if !is_up(&self.hosts[host], conn) => {}
            What::Answer {
                conn,
                revision: None,
            } => self.loses(host, conn),
            What::Answer {
                conn,
                revision: Some(revision),
            } => {
                self.heard += usize::from(self.now > BEGIN + COUNTED);
                if revision > 1 {
                    self.hosts[host].told.get_or_insert(self.now);
                }
                let state = pb::NodeState::Ready.into();
                let endpoints = vec![pb::Endpoint {
                    node: 1,
                    state,
                    address: "127.0.0.1:9".into(),
                    ..Default::default()
                }];
                let list = pb::EndpointUpdate {
                    kind: pb::EndpointUpdateKind::Snapshot.into(),
                    revision,
                    endpoints,
                };
                let frames = vec![pb::Frame {
                    sent_us: 0,
                    body: Some(Body::EndpointUpdate(list)),
                }];
                self.hosts[host].began = self.now;
                let link = self.hosts[host].link.as_mut().expect("looked up above");
                let call = link
                    .calls
                    .step(self.now, SILENCE, calls::Event::Told { revision });
                self.call(host, conn, call);
                self.step(
                    host,
                    vec![Input::DiscoveryFrames {
                        conn: ConnId(conn),
                        frames,
                    }],
                );
            }
            What::Sweep { conn } => {
                let by = self.hosts[host]
                    .link
                    .as_ref()
                    .filter(|l| l.conn == conn)
                    .and_then(|l| l.calls.by());
                if by.is_some_and(|by| self.now >= by) {
                    self.loses(host, conn);
                }
            }
            What::Restart => {
                let new = self.host(settings);
                self.hosts[host] = new;
                self.at(self.now, host, What::Begin);
            }
            What::Moves => self.step(host, vec![Input::DiscoveryMoved]),
            What::Changes => {
                self.revision += 1;
                if self.down().is_none() {
                    for w in std::mem::take(&mut self.watches)
                        .into_values()
                        .filter(|w| !w.silent)
                    {
                        self.answers(w.host, w.conn, self.now, Some(self.revision));
                    }
                }
            }
            What::Over { watch } => {
                if let Some(w) = self.watches.remove(&watch).filter(|w| !w.silent) {
                    self.answers(w.host, w.conn, self.now, Some(w.revision));
                }
            }
        }
    }

    fn loses(&mut self, host: usize, conn: u64) {
        self.hosts[host].link = None;
        self.step(host, vec![gone(conn)]);
    }

    fn step(&mut self, host: usize, inputs: Vec<Input>) {
        for out in self.hosts[host].router.step(self.now, inputs) {
            if matches!(&out, Output::Log { text } if text.starts_with("list of nodes: ")) {
                let h = &mut self.hosts[host];
                h.failed += u32::from(h.began >= BEGIN + self.w.had_at && h.told.is_none());
            }
            if let Output::DialDiscovery { conn } = out {
                (self.hosts[host].dialled, self.hosts[host].began) = (conn.0, self.now);
                // A dial alone may take so long that its call has little left.
                let slow = self
                    .spoils(host)
                    .then(|| [WAY, DIAL, ms(900)][self.rng.random_range(0..3)]);
                let (after, up) = match self.down() {
                    None if slow.is_some() => (slow.unwrap_or_default(), true),
                    None | Some(Down::Refuses | Down::Hangs) => (WAY, true),
                    Some(Down::Closed) => (WAY, false),
                    Some(Down::Silent) => (DIAL, false),
                };
                self.at(self.now + after, host, What::DialEnds { conn: conn.0, up });
            }
        }
        let (now, mut call) = (self.now, None);
        let h = &mut self.hosts[host];
        if let Some(link) = &mut h.link {
            let pulled = link.outbox.take_batch(|| now, usize::MAX);
            link.outbox.batch_written();
            for body in pulled.frames.into_iter().filter_map(|f| f.body) {
                if let Body::Watch(w) = body {
                    let asked = link
                        .calls
                        .step(now, SILENCE, calls::Event::Watch { on: w.on });
                    call = call.or(asked);
                }
            }
            let conn = link.conn;
            if pulled.closed {
                h.link = None;
            }
            self.call(host, conn, call);
        }
        let h = &mut self.hosts[host];
        h.wake = h.router.wake_at().max(now + ms(1));
        let wake = h.wake;
        self.at(wake, host, What::Wake);
    }

    /// The list is called.
    fn call(&mut self, host: usize, conn: u64, call: Option<Action>) {
        let Some(call) = call else { return };
        self.calls.push(self.now);
        let by = self.hosts[host]
            .link
            .as_ref()
            .and_then(|l| l.calls.by())
            .unwrap_or(self.now);
        let late = SWEEP.mul_f64(self.rng.random());
        self.at(by + late, host, What::Sweep { conn });
        // The desk ends a call on a new connection a span after its dial.
        let dialled = self.hosts[host].began + calls::ANSWER;
        let by = if self.bounded && call == Action::Whole {
            by.min(dialled)
        } else {
            by
        };
        match self.down() {
            Some(Down::Refuses) => {
                return self.at(
                    self.now + WAY,
                    host,
                    What::Answer {
                        conn,
                        revision: None,
                    },
                )
            }
            Some(_) => return,
            None => {}
        }
        if self.spoils(host) {
            self.hosts[host].spoilt += 1;
            let refused = What::Answer {
                conn,
                revision: None,
            };
            match self.rng.random_range(0..3) {
                0 => {}
                1 => self.at(self.now + WAY, host, refused),
                _ => self.at(by - ms(5), host, refused),
            }
            return;
        }
        let begins = self.free.max(self.now);
        if begins > self.now + QUEUE {
            let after = if self.w.refuses_late { QUEUE } else { WAY };
            return self.at(
                self.now + after,
                host,
                What::Answer {
                    conn,
                    revision: None,
                },
            );
        }
        self.free = begins + self.w.cost;
        match call {
            Action::Newer { revision, wait } if revision >= self.revision => {
                let until = self.free + wait;
                let open_at = |at: Duration| self.now < at && at <= until;
                let silent = self.w.silent_at.is_some_and(|at| open_at(BEGIN + at));
                let (mut ends, mut silent) = (None, silent);
                // The system of one that goes down ends what is open; a machine that vanishes does not.
                if let Some((kind, at, _)) = self.w.down.filter(|d| open_at(BEGIN + d.1)) {
                    let says = !matches!(kind, Down::Silent | Down::Hangs);
                    (ends, silent) = (says.then_some(BEGIN + at), true);
                }
                if let Some(at) = ends {
                    self.at(
                        at,
                        host,
                        What::Answer {
                            conn,
                            revision: None,
                        },
                    );
                }
                let watch = self.calls.len();
                self.watches.insert(
                    watch,
                    Watch {
                        host,
                        conn,
                        revision,
                        silent,
                    },
                );
                self.at(until, host, What::Over { watch });
            }
            // As late as it may, where all is made as bad as can be.
            _ if self.w.fails.is_some() && self.now >= BEGIN + self.w.had_at => {
                self.answers(host, conn, by - ms(5), Some(self.revision))
            }
            _ => self.answers(host, conn, self.free, Some(self.revision)),
        }
    }

    /// Whether the host's next call is to fail.
    fn spoils(&self, host: usize) -> bool {
        let due = self.now >= BEGIN + self.w.had_at;
        due && self
            .w
            .fails
            .is_some_and(|most| self.hosts[host].spoilt < most)
    }

    fn answers(&mut self, host: usize, conn: u64, at: Duration, revision: Option<u64>) {
        if self.rng.random::<f64>() >= self.w.lost {
            self.at(at + WAY, host, What::Answer { conn, revision });
        }
    }

    fn seen(&self) -> Seen {
        let had = BEGIN + self.w.had_at;
        let took = |h: &Host| h.told.map_or(self.w.until, |at| at.saturating_sub(had));
        let all: Vec<Duration> = self.hosts.iter().map(took).collect();
        let later: Vec<Duration> = self
            .calls
            .iter()
            .copied()
            .filter(|c| *c > BEGIN + COUNTED)
            .collect();
        let second = |from: &Duration| {
            later
                .iter()
                .filter(|c| (*from..*from + ms(1000)).contains(c))
                .count()
        };
        Seen {
            calls: later.len(),
            vain: later.len() - self.heard,
            busiest: later.iter().step_by(7).map(second).max().unwrap_or(0),
            slowest: all.iter().copied().max().unwrap_or_default(),
            late: all.iter().filter(|t| **t > SILENCE).count(),
            unexcused: self
                .hosts
                .iter()
                .filter(|h| took(h) > SILENCE && h.failed <= 1)
                .count(),
        }
    }
}

fn gone(conn: u64) -> Input {
    Input::DiscoveryGone { conn: ConnId(conn) }
}

fn worlds() -> Vec<(&'static str, World)> {
    let down = |kind, until| Some((kind, ms(7000), until));
    let back = World {
        had_at: ms(15_000),
        ..CALM
    };
    vec![
        ("calm", CALM),
        (
            "down, dials refused",
            World {
                down: down(Down::Closed, ms(15_000)),
                ..back.clone()
            },
        ),
        (
            "down, calls refused",
            World {
                down: down(Down::Refuses, ms(15_000)),
                ..back.clone()
            },
        ),
        (
            "down, silent",
            World {
                down: down(Down::Silent, ms(15_000)),
                ..back.clone()
            },
        ),
        (
            "watches fall silent",
            World {
                silent_at: Some(ms(9999)),
                ..CALM
            },
        ),
        (
            "watches fall silent, few places",
            World {
                silent_at: Some(ms(9999)),
                cost: ms(6),
                ..CALM
            },
        ),
        ("one answer in five lost", World { lost: 0.2, ..CALM }),
        (
            "down, back with few places, most hosts new",
            World {
                down: down(Down::Closed, ms(15_000)),
                cost: ms(6),
                restart: Some((ms(13_000), 0.7)),
                ..back.clone()
            },
        ),
        (
            "the same, refused late, one answer in ten lost",
            World {
                down: down(Down::Refuses, ms(15_000)),
                cost: ms(6),
                refuses_late: true,
                lost: 0.1,
                restart: Some((ms(13_000), 0.7)),
                ..back.clone()
            },
        ),
        (
            "silent, then a failure",
            World {
                silent_at: Some(ms(9999)),
                fails: Some(1),
                ..CALM
            },
        ),
        (
            "hangs, then a failure",
            World {
                down: down(Down::Hangs, ms(15_000)),
                fails: Some(1),
                ..back.clone()
            },
        ),
        (
            "silent, then three failures",
            World {
                silent_at: Some(ms(9999)),
                fails: Some(3),
                ..CALM
            },
        ),
        (
            "silent, and the list moves meanwhile",
            World {
                silent_at: Some(ms(9999)),
                moves_at: Some(ms(12_000)),
                ..CALM
            },
        ),
    ]
}

/// Whatever befalls the call that is out when the list has a change, and the one after it, the change is
/// known within the term; without what guards that, it is not.
#[test]
fn a_change_is_known_within_the_term_when_one_call_is_lost_and_the_next_one_fails() {
    let (mut unguarded, mut slowest) = (0, Duration::ZERO);
    let (mut calls, mut vain) = ((0, 0), (0, 0));
    for (what, w) in worlds() {
        for seed in 0..if w.fails.is_some() { 3 } else { 1 } {
            let (before, after) = (Run::of(&w, false, seed), Run::of(&w, true, seed));
            println!("{what}, seed {seed}\n   before {before:?}\n   after  {after:?}");
            assert_eq!(after.unexcused, 0, "{what}, seed {seed}: {after:?}");
            unguarded += before.unexcused;
            slowest = slowest.max(if w.fails == Some(1) {
                after.slowest
            } else {
                Duration::ZERO
            });
            // Calls that bring nothing are the fleet's price; those that follow an answer come with it.
            calls = (calls.0 + before.calls, calls.1 + after.calls);
            vain = (vain.0 + before.vain, vain.1 + after.vain);
            let most = before.vain + before.vain / 12;
            let drawn = w.lost > 0.0; // in which calls answers are lost differs with each call
            assert!(
                drawn || after.vain <= most,
                "{what}, seed {seed}: {} in vain, {most}",
                after.vain
            );
            // No second is busier than before by more than one draw from another, nor than that in which an
            // ordinary change is told to all.
            let most = (before.busiest + before.busiest / 20).max(CALM.hosts * 3 / 2);
            assert!(
                after.busiest <= most,
                "{what}, seed {seed}: {} calls in a second",
                after.busiest
            );
        }
    }
    println!("calls {calls:?}, in vain {vain:?}, hosts too late without it {unguarded}, slowest {slowest:?}");
    assert!(
        vain.1 <= vain.0 + vain.0 / 33,
        "calls in vain, before and after: {vain:?}"
    );
    assert!(
        slowest > SILENCE - ms(400),
        "it is not made as bad as it can be: {slowest:?}"
    );
    assert!(unguarded > 100, "{unguarded} hosts too late without it");
}
