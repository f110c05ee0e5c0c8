//! The discovery service on a socket: its loop, its watchers, and its injected faults.

use super::{receive_batch, ScriptContext, TICK};
use crate::discovery_service::DiscoveryService;
use crate::draw::{random_generator, InjectedFault};
use crate::net::{self, hello, PeerConnection, PeerEvent};
use grebecleat_settings::FaultKind;
use grebecleat_wire::pb::{self, frame::Body};
use rand::Rng;
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::TcpListener;
use std::sync::{mpsc, Arc};
use std::time::Duration;

/// Factor on the lag for a process that ended without an announcement. Such an end is noticed later
/// than an announced start or drain; a factor of 1 would hide the difference from the hosts.
const UNANNOUNCED_LAG_FACTOR: u32 = 3;
/// The random generator's purpose for failed requests.
const FAILURE_PURPOSE: u64 = 3;

/// Runs the discovery service until the process ends.
///
/// # Errors
///
/// Returns no error at present; the caller's commands share the type.
pub fn run_discovery_service(context: &ScriptContext, listener: TcpListener) -> io::Result<()> {
    let (sender, events) = mpsc::channel();
    let me = hello(pb::Role::List, "list", 1);
    let tracer = context.tracer.clone();
    net::listen(listener, 0, me, tracer, Arc::default(), sender);
    let mut server = DiscoveryServer {
        context,
        faults: context.injected_faults(),
        rng: random_generator(context.seed(), FAILURE_PURPOSE),
        model: DiscoveryService::default(),
        connections: BTreeMap::new(),
        watchers: BTreeSet::new(),
    };
    while let Some(batch) = receive_batch(&events, TICK) {
        let now = context.now();
        for event in batch {
            server.handle(event, now);
        }
        server.notify_watchers(now);
    }
    Ok(())
}

struct DiscoveryServer<'a> {
    context: &'a ScriptContext,
    faults: Vec<InjectedFault>,
    rng: Pcg64Mcg,
    model: DiscoveryService,
    connections: BTreeMap<u64, PeerConnection>,
    /// The connections that watch for changes.
    watchers: BTreeSet<u64>,
}

impl DiscoveryServer<'_> {
    fn handle(&mut self, event: PeerEvent, now: Duration) {
        match event {
            PeerEvent::Connected {
                conn, connection, ..
            } => {
                self.connections.insert(conn, connection);
            }
            PeerEvent::Closed { conn, .. } => {
                self.connections.remove(&conn);
                self.watchers.remove(&conn);
            }
            PeerEvent::Frame {
                body: Body::AnnounceEndpoint(announcement),
                ..
            } => self.announce(announcement.endpoint.unwrap_or_default(), now),
            PeerEvent::Frame { conn, body, .. } => self.serve(conn, body, now),
        }
    }

    /// Publishes a node's state after the lag of the script and of its faults.
    fn announce(&mut self, endpoint: pb::Endpoint, now: Duration) {
        let unannounced = endpoint.state() == pb::NodeState::Gone;
        // The states before the start of the scenario are published at once.
        let lag = if now < TICK {
            Duration::ZERO
        } else {
            self.context.settings.list.lag + self.additional_lag(now)
        };
        let factor = if unannounced {
            UNANNOUNCED_LAG_FACTOR
        } else {
            1
        };
        self.model.announce(now, endpoint, lag * factor);
    }

    /// Returns the additional lag of the active faults, in which the service is stale.
    fn additional_lag(&self, now: Duration) -> Duration {
        let stale = |fault: &&InjectedFault| fault.kind == FaultKind::DiscoveryStale;
        let faults = self.faults.iter().filter(stale);
        let active = faults.filter(|fault| fault.is_active(now));
        let lags = active.map(|fault| Duration::from_secs_f64(fault.magnitude));
        lags.max().unwrap_or_default()
    }

    /// Responds to a request, or fails it at the script's rate.
    fn serve(&mut self, conn: u64, body: Body, now: Duration) {
        let Some(connection) = self.connections.get(&conn) else {
            return;
        };
        if self.rng.random::<f64>() < self.context.settings.list.fails {
            let kind = pb::EndpointUpdateKind::FetchFailed.into();
            connection.send(Body::EndpointUpdate(pb::EndpointUpdate {
                kind,
                ..Default::default()
            }));
            return;
        }
        match body {
            Body::Watch(watch) if !watch.on => {
                self.watchers.remove(&conn);
            }
            Body::Watch(_) => {
                self.watchers.insert(conn);
                connection.send(Body::EndpointUpdate(self.model.snapshot(now)));
            }
            Body::FetchEndpoints(_) => {
                connection.send(Body::EndpointUpdate(self.model.snapshot(now)));
            }
            _ => connection.close(),
        }
    }

    /// Sends the changes that are published by `now` to each watcher.
    fn notify_watchers(&mut self, now: Duration) {
        let Some(changes) = self.model.advance(now) else {
            return;
        };
        let watchers = self.watchers.iter();
        for connection in watchers.filter_map(|conn| self.connections.get(conn)) {
            connection.send(Body::EndpointUpdate(changes.clone()));
        }
    }
}
