//! The models of nodes and list on sockets: one loop each, with the model's next moment as its
//! timer.

use crate::draw::{source, strikes, Strike};
use crate::list::List;
use crate::net::{self, hello, Heard, Line};
use crate::node::{Deed, Life, Meter, Node};
use grebecleat_settings::{Kind, Settings};
use grebecleat_wire::pb::{self, frame::Body, marked::What};
use grebecleat_wire::trace::Tracer;
use grebecleat_wire::{clock, pb::Marked};
use rand::Rng;
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{self, Receiver, RecvTimeoutError};
use std::sync::Arc;
use std::time::Duration;

const TICK: Duration = Duration::from_millis(20);
/// Dead processes are noticed later than ones that say that they come or go.
const SILENT: u32 = 3;

/// What both stand-ins are started with. `t0` is the machine's clock at the rehearsal's start.
#[derive(Debug, Clone)]
pub struct Stage {
    pub settings: Arc<Settings>,
    pub t0: Duration,
    pub tracer: Tracer,
}

impl Stage {
    fn seed(&self) -> u64 {
        self.settings.rehearsal.as_ref().map_or(1, |r| r.seed)
    }

    fn strikes(&self) -> Vec<Strike> {
        self.settings
            .rehearsal
            .as_ref()
            .map(|r| strikes(&self.settings, r))
            .unwrap_or_default()
    }

    fn now(&self) -> Duration {
        clock::now().saturating_sub(self.t0)
    }
}

fn heard_by(heard: &Receiver<Heard>, wait: Duration) -> Option<Vec<Heard>> {
    match heard.recv_timeout(wait) {
        Ok(first) => Some(
            std::iter::once(first)
                .chain(heard.try_iter().take(1024))
                .collect(),
        ),
        Err(RecvTimeoutError::Timeout) => Some(Vec::new()),
        Err(RecvTimeoutError::Disconnected) => None,
    }
}

/// Whether nothing crosses now between a host and a node.
fn way_cut(
    stage: &Stage,
    strikes: &[Strike],
    now: Duration,
    node: u32,
    host: Option<&String>,
) -> bool {
    let place = |name: &String| stage.settings.hosts.iter().position(|h| h.name == *name);
    let Some(place) = host.and_then(place) else {
        return false;
    };
    let on = |s: &&Strike| s.kind == Kind::WayCut && (s.at..s.at + s.len).contains(&now);
    strikes
        .iter()
        .filter(on)
        .any(|s| s.nodes.contains(&node) && s.hosts.contains(&place))
}

struct Seat {
    node: Node,
    address: SocketAddr,
    shut: Arc<AtomicBool>,
    lines: BTreeMap<u64, Line>,
    /// Who is at the other end.
    hosts: BTreeMap<u64, String>,
}

/// Runs nodes until the process ends. `ready` is called once all listen.
pub fn nodes(
    stage: &Stage,
    ids: &[u32],
    list: SocketAddr,
    ready: impl FnOnce(usize),
) -> io::Result<()> {
    let (to, heard) = mpsc::channel();
    let (strikes, mut meter) = (stage.strikes(), Meter::default());
    let mut seats = BTreeMap::new();
    for spec in stage
        .settings
        .nodes
        .iter()
        .filter(|n| ids.is_empty() || ids.contains(&n.id))
    {
        let listener = TcpListener::bind(("127.0.0.1", 0))?;
        let (address, shut) = (listener.local_addr()?, Arc::new(AtomicBool::new(false)));
        let me = hello(
            pb::Role::Node,
            &format!("node-{}", spec.id),
            u64::from(spec.id),
        );
        net::listen(
            listener,
            spec.id,
            me,
            stage.tracer.clone(),
            shut.clone(),
            to.clone(),
        );
        let node = Node::new(spec.clone(), stage.settings.clone(), stage.seed(), &strikes);
        seats.insert(
            spec.id,
            Seat {
                node,
                address,
                shut,
                lines: BTreeMap::new(),
                hosts: BTreeMap::new(),
            },
        );
    }
    const LIST: u32 = u32::MAX;
    let me = hello(pb::Role::Node, "nodes", 1);
    net::dial(list, LIST, me, stage.tracer.clone(), to.clone())?;
    let mut list_line: Option<Line> = None;
    ready(seats.len());
    loop {
        let due = seats.values().filter_map(|s| s.node.due()).min();
        let wait = due.map_or(TICK, |d| d.saturating_sub(stage.now()).min(TICK));
        let Some(batch) = heard_by(&heard, wait) else {
            return Ok(());
        };
        let now = stage.now();
        let mut deeds: Vec<(u32, Deed)> = Vec::new();
        for h in batch {
            match h {
                Heard::Up { at: LIST, line, .. } => {
                    let entries = seats.values().map(|s| entry(s, now));
                    entries.for_each(|e| {
                        line.put(Body::AnnounceEndpoint(pb::AnnounceEndpoint {
                            endpoint: Some(e),
                        }))
                    });
                    list_line = Some(line);
                }
                Heard::Up {
                    at,
                    conn,
                    line,
                    them,
                } => {
                    let seat = seats.get_mut(&at).expect("its own listener");
                    seat.hosts.insert(conn, them.name);
                    if seat.node.life == Life::Down {
                        line.hang_up();
                    }
                    seat.lines.insert(conn, line);
                }
                Heard::Gone { at, conn } => {
                    seats.get_mut(&at).into_iter().for_each(|s| {
                        s.lines.remove(&conn);
                        s.hosts.remove(&conn);
                    });
                }
                Heard::Frame {
                    at,
                    conn,
                    waited,
                    body,
                } => {
                    let Some(seat) = seats.get_mut(&at) else {
                        continue;
                    };
                    if way_cut(stage, &strikes, now, at, seat.hosts.get(&conn)) {
                        continue;
                    }
                    let mut to = Vec::new();
                    match body {
                        Body::Attempt(attempt) => {
                            let left =
                                Duration::from_micros(attempt.left_us).saturating_sub(waited);
                            seat.node.take(now, conn, attempt, left, &mut to);
                        }
                        Body::CancelAttempt(c) => seat.node.cancel(conn, c.attempt),
                        Body::HealthCheck(p) => {
                            let probed = pb::HealthCheckResult {
                                probe: p.probe,
                                result: pb::Result::Ok.into(),
                            };
                            seat.lines
                                .get(&conn)
                                .into_iter()
                                .for_each(|l| l.put(Body::HealthCheckResult(probed)));
                        }
                        _ => {}
                    }
                    deeds.extend(to.into_iter().map(|d| (at, d)));
                }
            }
        }
        for (id, seat) in &mut seats {
            let mut to = Vec::new();
            seat.node.advance(now, &mut meter, &mut to);
            deeds.extend(to.into_iter().map(|d| (*id, d)));
        }
        for (id, deed) in deeds {
            let seat = seats.get_mut(&id).expect("a seat's own deed");
            let to = if let Deed::Answer { conn, .. } = &deed {
                seat.hosts.get(conn)
            } else {
                None
            };
            if !way_cut(stage, &strikes, now, id, to) {
                do_it(stage, seat, now, deed, &list_line);
            }
        }
    }
}

fn entry(seat: &Seat, now: Duration) -> pb::Endpoint {
    let spec = &seat.node.spec;
    let state = match seat.node.life {
        Life::Up => pb::NodeState::Ready,
        Life::Draining => pb::NodeState::Draining,
        Life::Down => pb::NodeState::Gone,
    };
    pb::Endpoint {
        node: spec.id,
        zone: spec.zone as u32,
        shard: spec.shard,
        state: state.into(),
        address: seat.address.to_string(),
        start: seat.node.starts(),
        up_us: seat
            .node
            .cold_since()
            .map(|s| clock::micros(now.saturating_sub(s))),
    }
}

fn do_it(stage: &Stage, seat: &mut Seat, now: Duration, deed: Deed, list: &Option<Line>) {
    let (node, warm_us) = (
        seat.node.spec.id,
        clock::micros(stage.settings.rules.cold.warm_up_time),
    );
    let mark = |what: What| Marked {
        what: what.into(),
        node,
        units_a_second: seat.node.capacity(),
        cold_part: stage.settings.rules.cold.initial_fraction,
        warm_us,
        ..Marked::default()
    };
    match deed {
        Deed::Answer { conn, answer } => {
            seat.lines
                .get(&conn)
                .into_iter()
                .for_each(|l| l.put(Body::AttemptResponse(answer.clone())));
            return;
        }
        Deed::Effect { attempt, id } => {
            return stage.tracer.mark(Marked {
                attempt,
                id,
                ..mark(What::Effect)
            });
        }
        Deed::Up { started } if started > 1 => {
            seat.shut.store(false, Ordering::Relaxed);
            stage.tracer.mark(mark(What::Started));
        }
        Deed::Up { .. } | Deed::Drains => {}
        Deed::Down { fell } => {
            if fell {
                stage.tracer.mark(mark(What::Fell));
            }
            seat.shut.store(true, Ordering::Relaxed);
            std::mem::take(&mut seat.lines)
                .values()
                .for_each(Line::hang_up);
        }
    }
    if let Some(list) = list {
        list.put(Body::AnnounceEndpoint(pb::AnnounceEndpoint {
            endpoint: Some(entry(seat, now)),
        }));
    }
}

/// Runs the list until the process ends.
pub fn list(stage: &Stage, listener: TcpListener) -> io::Result<()> {
    let (to, heard) = mpsc::channel();
    let me = hello(pb::Role::List, "list", 1);
    net::listen(listener, 0, me, stage.tracer.clone(), Arc::default(), to);
    let (facts, strikes) = (stage.settings.list.clone(), stage.strikes());
    let mut rng = source(stage.seed(), 3);
    let mut model = List::default();
    let (mut lines, mut watching) = (BTreeMap::<u64, Line>::new(), BTreeSet::new());
    loop {
        let Some(batch) = heard_by(&heard, TICK) else {
            return Ok(());
        };
        let now = stage.now();
        let stale = |now: Duration| {
            let on = strikes.iter().filter(|s| s.kind == Kind::DiscoveryStale);
            let on = on.filter(|s| (s.at..s.at + s.len).contains(&now));
            on.map(|s| Duration::from_secs_f64(s.size))
                .max()
                .unwrap_or_default()
        };
        for h in batch {
            match h {
                Heard::Up { conn, line, .. } => drop(lines.insert(conn, line)),
                Heard::Gone { conn, .. } => {
                    lines.remove(&conn);
                    watching.remove(&conn);
                }
                Heard::Frame {
                    body: Body::AnnounceEndpoint(a),
                    ..
                } => {
                    let entry = a.endpoint.unwrap_or_default();
                    let silent = entry.state() == pb::NodeState::Gone;
                    // What it hears before anything has happened shows at once.
                    let lag = if now < TICK {
                        Duration::ZERO
                    } else {
                        facts.lag + stale(now)
                    };
                    model.hear(now, entry, if silent { lag * SILENT } else { lag });
                }
                Heard::Frame { conn, body, .. } => {
                    let Some(line) = lines.get(&conn) else {
                        continue;
                    };
                    if rng.random::<f64>() < facts.fails {
                        let kind = pb::EndpointUpdateKind::FetchFailed.into();
                        line.put(Body::EndpointUpdate(pb::EndpointUpdate {
                            kind,
                            ..Default::default()
                        }));
                        continue;
                    }
                    match body {
                        Body::Watch(w) if !w.on => drop(watching.remove(&conn)),
                        Body::Watch(_) => {
                            watching.insert(conn);
                            line.put(Body::EndpointUpdate(model.whole(now)));
                        }
                        Body::FetchEndpoints(_) => line.put(Body::EndpointUpdate(model.whole(now))),
                        _ => line.hang_up(),
                    }
                }
            }
        }
        if let Some(changes) = model.advance(now) {
            for line in watching.iter().filter_map(|c| lines.get(c)) {
                line.put(Body::EndpointUpdate(changes.clone()));
            }
        }
    }
}
