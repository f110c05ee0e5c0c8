//! Nodes on sockets: one loop for all nodes of the process, their connections, and the partitions
//! between nodes and hosts.

use super::{receive_batch, ScriptContext, TICK};
use crate::draw::InjectedFault;
use crate::net::{self, hello, PeerConnection, PeerEvent};
use crate::node::{Meter, Node, NodeAction, ProcessState};
use grebecleat_settings::{FaultKind, NodeSpec};
use grebecleat_wire::clock;
use grebecleat_wire::pb::{self, frame::Body, marked::What, Marked};
use std::collections::BTreeMap;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{self, Sender};
use std::sync::Arc;
use std::time::Duration;

/// The source of the events of the connection to the discovery service; no node has this id.
const DISCOVERY: u32 = u32::MAX;

/// Runs nodes until the process ends; all nodes of the script if `ids` is empty. Calls `ready` with
/// their number once all of them listen.
///
/// # Errors
///
/// Returns an error if a node cannot listen, or if the discovery service at `discovery` does not
/// accept a connection.
pub fn run_nodes(
    context: &ScriptContext,
    ids: &[u32],
    discovery: SocketAddr,
    ready: impl FnOnce(usize),
) -> io::Result<()> {
    let (sender, events) = mpsc::channel();
    let mut server = NodeServer {
        context,
        faults: context.injected_faults(),
        meter: Meter::default(),
        nodes: BTreeMap::new(),
        discovery: None,
    };
    let nodes = context.settings.nodes.iter();
    for spec in nodes.filter(|node| ids.is_empty() || ids.contains(&node.id)) {
        server.start_node(spec, &sender)?;
    }
    let me = hello(pb::Role::Node, "nodes", 1);
    let tracer = context.tracer.clone();
    net::dial(discovery, DISCOVERY, me, tracer, sender.clone())?;
    ready(server.nodes.len());
    while let Some(batch) = receive_batch(&events, server.timeout()) {
        server.step(context.now(), batch);
    }
    Ok(())
}

/// A node's model with its socket and its connections.
struct RunningNode {
    node: Node,
    address: SocketAddr,
    /// Whether the listener drops connections, since the process is down.
    closed: Arc<AtomicBool>,
    connections: BTreeMap<u64, PeerConnection>,
    /// The name of the host at the other end of each connection.
    hosts: BTreeMap<u64, String>,
}

impl RunningNode {
    fn send(&self, conn: u64, body: Body) {
        if let Some(connection) = self.connections.get(&conn) {
            connection.send(body);
        }
    }

    fn connect(&mut self, conn: u64, host: String, connection: PeerConnection) {
        self.hosts.insert(conn, host);
        if self.node.process_state() == ProcessState::Down {
            connection.close();
        }
        self.connections.insert(conn, connection);
    }

    fn disconnect(&mut self, conn: u64) {
        self.connections.remove(&conn);
        self.hosts.remove(&conn);
    }

    /// Closes the listener and all connections, as the process is down.
    fn close(&mut self) {
        self.closed.store(true, Ordering::Relaxed);
        for connection in std::mem::take(&mut self.connections).values() {
            connection.close();
        }
    }

    /// Returns the node's entry of the endpoint list.
    fn endpoint(&self, now: Duration) -> pb::Endpoint {
        let spec = self.node.spec();
        let state = match self.node.process_state() {
            ProcessState::Up => pb::NodeState::Ready,
            ProcessState::Draining => pb::NodeState::Draining,
            ProcessState::Down => pb::NodeState::Gone,
        };
        let uptime = self.node.cold_since();
        let uptime = uptime.map(|since| clock::micros(now.saturating_sub(since)));
        pb::Endpoint {
            node: spec.id,
            zone: spec.zone as u32,
            shard: spec.shard,
            state: state.into(),
            address: self.address.to_string(),
            start: self.node.starts(),
            up_us: uptime,
        }
    }
}

struct NodeServer<'a> {
    context: &'a ScriptContext,
    faults: Vec<InjectedFault>,
    meter: Meter,
    nodes: BTreeMap<u32, RunningNode>,
    /// The connection to the discovery service, after its greeting.
    discovery: Option<PeerConnection>,
}

impl NodeServer<'_> {
    fn start_node(&mut self, spec: &NodeSpec, events: &Sender<PeerEvent>) -> io::Result<()> {
        let listener = TcpListener::bind(("127.0.0.1", 0))?;
        let address = listener.local_addr()?;
        let closed = Arc::new(AtomicBool::new(false));
        let name = format!("node-{}", spec.id);
        let me = hello(pb::Role::Node, &name, u64::from(spec.id));
        let tracer = self.context.tracer.clone();
        net::listen(
            listener,
            spec.id,
            me,
            tracer,
            closed.clone(),
            events.clone(),
        );
        let settings = self.context.settings.clone();
        let node = Node::new(spec.clone(), settings, self.context.seed(), &self.faults);
        let running_node = RunningNode {
            node,
            address,
            closed,
            connections: BTreeMap::new(),
            hosts: BTreeMap::new(),
        };
        self.nodes.insert(spec.id, running_node);
        Ok(())
    }

    /// Returns the time until the next timed action of a node, at most a tick.
    fn timeout(&self) -> Duration {
        let due = self
            .nodes
            .values()
            .filter_map(|node| node.node.next_event_time());
        due.min()
            .map_or(TICK, |due| due.saturating_sub(self.context.now()).min(TICK))
    }

    /// Handles the events, advances each node, and then performs all of their actions.
    fn step(&mut self, now: Duration, batch: Vec<PeerEvent>) {
        let mut actions: Vec<(u32, NodeAction)> = Vec::new();
        for event in batch {
            self.handle(event, now, &mut actions);
        }
        for (id, running_node) in &mut self.nodes {
            let mut node_actions = Vec::new();
            running_node
                .node
                .advance(now, &mut self.meter, &mut node_actions);
            actions.extend(node_actions.into_iter().map(|action| (*id, action)));
        }
        for (id, action) in actions {
            self.perform(id, action, now);
        }
    }

    fn handle(&mut self, event: PeerEvent, now: Duration, actions: &mut Vec<(u32, NodeAction)>) {
        match event {
            PeerEvent::Connected {
                source: DISCOVERY,
                connection,
                ..
            } => {
                for running_node in self.nodes.values() {
                    announce(&connection, running_node, now);
                }
                self.discovery = Some(connection);
            }
            PeerEvent::Connected {
                source,
                conn,
                peer,
                connection,
            } => {
                let running_node = self.nodes.get_mut(&source);
                let running_node = running_node.expect("each listener belongs to a node");
                running_node.connect(conn, peer.name, connection);
            }
            PeerEvent::Closed { source, conn } => {
                if let Some(running_node) = self.nodes.get_mut(&source) {
                    running_node.disconnect(conn);
                }
            }
            PeerEvent::Frame {
                source,
                conn,
                waited,
                body,
            } => {
                let mut node_actions = Vec::new();
                self.receive(source, conn, waited, body, now, &mut node_actions);
                actions.extend(node_actions.into_iter().map(|action| (source, action)));
            }
        }
    }

    /// Passes a host's frame to its node, unless the two are partitioned.
    fn receive(
        &mut self,
        id: u32,
        conn: u64,
        waited: Duration,
        body: Body,
        now: Duration,
        actions: &mut Vec<NodeAction>,
    ) {
        if self.is_partitioned(id, conn, now) {
            return;
        }
        let Some(running_node) = self.nodes.get_mut(&id) else {
            return;
        };
        match body {
            Body::Attempt(attempt) => {
                let left = Duration::from_micros(attempt.left_us).saturating_sub(waited);
                running_node
                    .node
                    .receive_attempt(now, conn, attempt, left, actions);
            }
            Body::CancelAttempt(cancel) => running_node.node.cancel(conn, cancel.attempt),
            Body::HealthCheck(check) => {
                let result = pb::HealthCheckResult {
                    probe: check.probe,
                    result: pb::Result::Ok.into(),
                };
                running_node.send(conn, Body::HealthCheckResult(result));
            }
            _ => {}
        }
    }

    /// Returns whether a fault currently partitions a node from the host at the other end of a
    /// connection.
    fn is_partitioned(&self, id: u32, conn: u64, now: Duration) -> bool {
        let name = self.nodes.get(&id).and_then(|node| node.hosts.get(&conn));
        let hosts = &self.context.settings.hosts;
        let host = name.and_then(|name| hosts.iter().position(|host| host.name == *name));
        let Some(host) = host else {
            return false;
        };
        self.faults
            .iter()
            .filter(|fault| fault.kind == FaultKind::WayCut && fault.is_active(now))
            .any(|fault| fault.nodes.contains(&id) && fault.hosts.contains(&host))
    }

    /// Performs a node's action, and announces a change of its process to the discovery service.
    fn perform(&mut self, id: u32, action: NodeAction, now: Duration) {
        if let NodeAction::Response { conn, response } = action {
            if !self.is_partitioned(id, conn, now) {
                self.nodes[&id].send(conn, Body::AttemptResponse(response));
            }
            return;
        }
        let running_node = self.nodes.get_mut(&id);
        let running_node = running_node.expect("each action belongs to a node");
        match action {
            NodeAction::Effect { attempt, id } => {
                let mark = mark(self.context, &running_node.node, What::Effect);
                let mark = Marked {
                    attempt,
                    id,
                    ..mark
                };
                return self.context.tracer.mark(mark);
            }
            NodeAction::Up { started } if started > 1 => {
                running_node.closed.store(false, Ordering::Relaxed);
                let mark = mark(self.context, &running_node.node, What::Started);
                self.context.tracer.mark(mark);
            }
            NodeAction::Down { overloaded } => {
                if overloaded {
                    let mark = mark(self.context, &running_node.node, What::Fell);
                    self.context.tracer.mark(mark);
                }
                running_node.close();
            }
            NodeAction::Response { .. } | NodeAction::Up { .. } | NodeAction::Draining => {}
        }
        if let Some(discovery) = &self.discovery {
            announce(discovery, running_node, now);
        }
    }
}

/// Announces a node's state to the discovery service.
fn announce(discovery: &PeerConnection, running_node: &RunningNode, now: Duration) {
    discovery.send(Body::AnnounceEndpoint(pb::AnnounceEndpoint {
        endpoint: Some(running_node.endpoint(now)),
    }));
}

/// Returns the record of an event of a node in the trace.
fn mark(context: &ScriptContext, node: &Node, what: What) -> Marked {
    let slow_start = &context.settings.rules.cold;
    Marked {
        what: what.into(),
        node: node.spec().id,
        units_a_second: node.capacity(),
        cold_part: slow_start.initial_fraction,
        warm_us: clock::micros(slow_start.warm_up_time),
        ..Marked::default()
    }
}
