//! The models of nodes and list on sockets: one loop each, with the model's next moment as its
//! timer.

use crate::discovery_service::DiscoveryService;
use crate::draw::{injected_faults, source, InjectedFault};
use crate::net::{self, hello, PeerConnection, PeerEvent};
use crate::node::{Meter, Node, NodeAction, ProcessState};
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
pub struct ScriptContext {
    pub settings: Arc<Settings>,
    pub t0: Duration,
    pub tracer: Tracer,
}

impl ScriptContext {
    fn seed(&self) -> u64 {
        self.settings.rehearsal.as_ref().map_or(1, |r| r.seed)
    }

    fn injected_faults(&self) -> Vec<InjectedFault> {
        self.settings
            .rehearsal
            .as_ref()
            .map(|r| injected_faults(&self.settings, r))
            .unwrap_or_default()
    }

    fn now(&self) -> Duration {
        clock::now().saturating_sub(self.t0)
    }
}

fn receive_batch(heard: &Receiver<PeerEvent>, wait: Duration) -> Option<Vec<PeerEvent>> {
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
fn is_partitioned(
    context: &ScriptContext,
    injected_faults: &[InjectedFault],
    now: Duration,
    node: u32,
    host: Option<&String>,
) -> bool {
    let place = |name: &String| context.settings.hosts.iter().position(|h| h.name == *name);
    let Some(place) = host.and_then(place) else {
        return false;
    };
    let on = |s: &&InjectedFault| s.kind == Kind::WayCut && s.is_active(now);
    injected_faults
        .iter()
        .filter(on)
        .any(|s| s.nodes.contains(&node) && s.hosts.contains(&place))
}

struct RunningNode {
    node: Node,
    address: SocketAddr,
    shut: Arc<AtomicBool>,
    lines: BTreeMap<u64, PeerConnection>,
    /// Who is at the other end.
    hosts: BTreeMap<u64, String>,
}

/// Runs nodes until the process ends. `ready` is called once all listen.
pub fn run_nodes(
    context: &ScriptContext,
    ids: &[u32],
    list: SocketAddr,
    ready: impl FnOnce(usize),
) -> io::Result<()> {
    let (to, heard) = mpsc::channel();
    let (injected_faults, mut meter) = (context.injected_faults(), Meter::default());
    let mut running_nodes = BTreeMap::new();
    for spec in context
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
            context.tracer.clone(),
            shut.clone(),
            to.clone(),
        );
        let node = Node::new(
            spec.clone(),
            context.settings.clone(),
            context.seed(),
            &injected_faults,
        );
        running_nodes.insert(
            spec.id,
            RunningNode {
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
    net::dial(list, LIST, me, context.tracer.clone(), to.clone())?;
    let mut list_line: Option<PeerConnection> = None;
    ready(running_nodes.len());
    loop {
        let due = running_nodes.values().filter_map(|s| s.node.due()).min();
        let wait = due.map_or(TICK, |d| d.saturating_sub(context.now()).min(TICK));
        let Some(batch) = receive_batch(&heard, wait) else {
            return Ok(());
        };
        let now = context.now();
        let mut actions: Vec<(u32, NodeAction)> = Vec::new();
        for h in batch {
            match h {
                PeerEvent::Up { at: LIST, line, .. } => {
                    let entries = running_nodes.values().map(|s| entry(s, now));
                    entries.for_each(|e| {
                        line.send(Body::AnnounceEndpoint(pb::AnnounceEndpoint {
                            endpoint: Some(e),
                        }))
                    });
                    list_line = Some(line);
                }
                PeerEvent::Up {
                    at,
                    conn,
                    line,
                    them,
                } => {
                    let running_node = running_nodes.get_mut(&at).expect("its own listener");
                    running_node.hosts.insert(conn, them.name);
                    if running_node.node.process_state == ProcessState::Down {
                        line.close();
                    }
                    running_node.lines.insert(conn, line);
                }
                PeerEvent::Gone { at, conn } => {
                    running_nodes.get_mut(&at).into_iter().for_each(|s| {
                        s.lines.remove(&conn);
                        s.hosts.remove(&conn);
                    });
                }
                PeerEvent::Frame {
                    at,
                    conn,
                    waited,
                    body,
                } => {
                    let Some(running_node) = running_nodes.get_mut(&at) else {
                        continue;
                    };
                    if is_partitioned(
                        context,
                        &injected_faults,
                        now,
                        at,
                        running_node.hosts.get(&conn),
                    ) {
                        continue;
                    }
                    let mut to = Vec::new();
                    match body {
                        Body::Attempt(attempt) => {
                            let left =
                                Duration::from_micros(attempt.left_us).saturating_sub(waited);
                            running_node.node.take(now, conn, attempt, left, &mut to);
                        }
                        Body::CancelAttempt(c) => running_node.node.cancel(conn, c.attempt),
                        Body::HealthCheck(p) => {
                            let probed = pb::HealthCheckResult {
                                probe: p.probe,
                                result: pb::Result::Ok.into(),
                            };
                            running_node
                                .lines
                                .get(&conn)
                                .into_iter()
                                .for_each(|l| l.send(Body::HealthCheckResult(probed)));
                        }
                        _ => {}
                    }
                    actions.extend(to.into_iter().map(|d| (at, d)));
                }
            }
        }
        for (id, running_node) in &mut running_nodes {
            let mut to = Vec::new();
            running_node.node.advance(now, &mut meter, &mut to);
            actions.extend(to.into_iter().map(|d| (*id, d)));
        }
        for (id, action) in actions {
            let running_node = running_nodes
                .get_mut(&id)
                .expect("an action of a running node");
            let to = if let NodeAction::Answer { conn, .. } = &action {
                running_node.hosts.get(conn)
            } else {
                None
            };
            if !is_partitioned(context, &injected_faults, now, id, to) {
                perform(context, running_node, now, action, &list_line);
            }
        }
    }
}

fn entry(running_node: &RunningNode, now: Duration) -> pb::Endpoint {
    let spec = &running_node.node.spec;
    let state = match running_node.node.process_state {
        ProcessState::Up => pb::NodeState::Ready,
        ProcessState::Draining => pb::NodeState::Draining,
        ProcessState::Down => pb::NodeState::Gone,
    };
    pb::Endpoint {
        node: spec.id,
        zone: spec.zone as u32,
        shard: spec.shard,
        state: state.into(),
        address: running_node.address.to_string(),
        start: running_node.node.starts(),
        up_us: running_node
            .node
            .cold_since()
            .map(|s| clock::micros(now.saturating_sub(s))),
    }
}

fn perform(
    context: &ScriptContext,
    running_node: &mut RunningNode,
    now: Duration,
    action: NodeAction,
    list: &Option<PeerConnection>,
) {
    let (node, warm_us) = (
        running_node.node.spec.id,
        clock::micros(context.settings.rules.cold.warm_up_time),
    );
    let mark = |what: What| Marked {
        what: what.into(),
        node,
        units_a_second: running_node.node.capacity(),
        cold_part: context.settings.rules.cold.initial_fraction,
        warm_us,
        ..Marked::default()
    };
    match action {
        NodeAction::Answer { conn, answer } => {
            running_node
                .lines
                .get(&conn)
                .into_iter()
                .for_each(|l| l.send(Body::AttemptResponse(answer.clone())));
            return;
        }
        NodeAction::Effect { attempt, id } => {
            return context.tracer.mark(Marked {
                attempt,
                id,
                ..mark(What::Effect)
            });
        }
        NodeAction::Up { started } if started > 1 => {
            running_node.shut.store(false, Ordering::Relaxed);
            context.tracer.mark(mark(What::Started));
        }
        NodeAction::Up { .. } | NodeAction::Drains => {}
        NodeAction::Down { fell } => {
            if fell {
                context.tracer.mark(mark(What::Fell));
            }
            running_node.shut.store(true, Ordering::Relaxed);
            std::mem::take(&mut running_node.lines)
                .values()
                .for_each(PeerConnection::close);
        }
    }
    if let Some(list) = list {
        list.send(Body::AnnounceEndpoint(pb::AnnounceEndpoint {
            endpoint: Some(entry(running_node, now)),
        }));
    }
}

/// Runs the list until the process ends.
pub fn run_discovery_service(context: &ScriptContext, listener: TcpListener) -> io::Result<()> {
    let (to, heard) = mpsc::channel();
    let me = hello(pb::Role::List, "list", 1);
    net::listen(listener, 0, me, context.tracer.clone(), Arc::default(), to);
    let (facts, injected_faults) = (context.settings.list.clone(), context.injected_faults());
    let mut rng = source(context.seed(), 3);
    let mut model = DiscoveryService::default();
    let (mut lines, mut watching) = (BTreeMap::<u64, PeerConnection>::new(), BTreeSet::new());
    loop {
        let Some(batch) = receive_batch(&heard, TICK) else {
            return Ok(());
        };
        let now = context.now();
        let stale = |now: Duration| {
            let on = injected_faults
                .iter()
                .filter(|s| s.kind == Kind::DiscoveryStale);
            let on = on.filter(|s| s.is_active(now));
            on.map(|s| Duration::from_secs_f64(s.magnitude))
                .max()
                .unwrap_or_default()
        };
        for h in batch {
            match h {
                PeerEvent::Up { conn, line, .. } => drop(lines.insert(conn, line)),
                PeerEvent::Gone { conn, .. } => {
                    lines.remove(&conn);
                    watching.remove(&conn);
                }
                PeerEvent::Frame {
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
                    model.announce(now, entry, if silent { lag * SILENT } else { lag });
                }
                PeerEvent::Frame { conn, body, .. } => {
                    let Some(line) = lines.get(&conn) else {
                        continue;
                    };
                    if rng.random::<f64>() < facts.fails {
                        let kind = pb::EndpointUpdateKind::FetchFailed.into();
                        line.send(Body::EndpointUpdate(pb::EndpointUpdate {
                            kind,
                            ..Default::default()
                        }));
                        continue;
                    }
                    match body {
                        Body::Watch(w) if !w.on => drop(watching.remove(&conn)),
                        Body::Watch(_) => {
                            watching.insert(conn);
                            line.send(Body::EndpointUpdate(model.snapshot(now)));
                        }
                        Body::FetchEndpoints(_) => {
                            line.send(Body::EndpointUpdate(model.snapshot(now)))
                        }
                        _ => line.close(),
                    }
                }
            }
        }
        if let Some(changes) = model.advance(now) {
            for line in watching.iter().filter_map(|c| lines.get(c)) {
                line.send(Body::EndpointUpdate(changes.clone()));
            }
        }
    }
}
