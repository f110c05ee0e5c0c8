//! A router in a network that the test simulates, without sockets, and with a clock that only the test
//! advances.
#![allow(dead_code)] // each test binary uses only some of the functions

use bytes::Bytes;
use grebecleat_catalog::change::ChangeContext;
use grebecleat_catalog::follower::{Follower, InitialState};
use grebecleat_catalog_service::change_syntax::parse_change;
use grebecleat_catalog_service::codec::revision_to_proto;
use grebecleat_catalog_service::declared_config::deployment;
use grebecleat_catalog_service::store::Record;
use grebecleat_host::log_event::LogEvent;
use grebecleat_host::outbox::Outbox;
use grebecleat_host::router::{ConnId, Input, Output, RequestRouter};
use grebecleat_scheduler::api::PeerId;
use grebecleat_settings::Settings;
use grebecleat_wire::pb::{self, frame::Body};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

pub const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

pub const SETTINGS: &str = r#"
zone(name = "a")
stream_type(name = "read", slo = ms(200), expiry = s(2), repeat = "repeatable")
stream_type(name = "once", slo = ms(200), expiry = s(2), repeat = "unrepeatable", write = True)
stream_type(name = "row", slo = ms(200), expiry = s(2), repeat = "repeatable", ordered = True)
plan(name = "p", rate = 1000, reservation = 1000)
host(name = "h")
node(id = 1, zone = "a")
node(id = 2, zone = "a")
volume(id = 5, plan = "p")
rules(answer_margin = ms(20))
"#;

/// The settings for connections that carry one attempt at a time.
const ONE_ATTEMPT_PER_CONNECTION: &str =
    "bounds(legs_per_connection = 1, linger = s(10), dial_timeout = s(10), patience = s(2))";

/// The connection of the client that is connected to every router from the start.
pub const CLIENT: ConnId = ConnId(1 << 50);

/// Returns [`SETTINGS`] extended by the lines `more`.
pub fn settings(more: &str) -> Arc<Settings> {
    let read = Settings::read("router.star".as_ref(), format!("{SETTINGS}{more}"));
    Arc::new(read.expect("the settings are valid"))
}

/// A router, the simulated network around it, and the outputs of the router so far.
pub struct Rig {
    pub router: RequestRouter,
    pub now: Duration,
    /// The outboxes of all connections that were up.
    pub outboxes: BTreeMap<ConnId, Arc<Outbox>>,
    /// Dials to nodes: the connection, and the node.
    pub dials: Vec<(ConnId, u32)>,
    /// Dials to discovery: the time, and the connection.
    pub discovery_dials: Vec<(Duration, ConnId)>,
    pub log: Vec<LogEvent>,
    pub shutdown_complete: bool,
    /// The connection of the last dial to the state service.
    pub state_service: Option<ConnId>,
    /// The last poll of the state service that was written and not read by the test yet.
    pub last_poll: Option<pb::FollowRequest>,
    /// Records that wait to be persisted, by the number of the request.
    pub persist_requests: Vec<(u64, Vec<Record>)>,
    /// Messages that were sent to peers.
    pub gossip: Vec<Vec<u8>>,
}

/// Constructors.
impl Rig {
    /// Returns a router whose connections carry many attempts at a time.
    pub fn with(more: &str) -> Self {
        Rig::of(RequestRouter::new(settings(more), 7))
    }

    /// Returns a router whose connections to nodes carry one attempt at a time, and are closed when that
    /// attempt is abandoned.
    pub fn with_exclusive_connections(more: &str) -> Self {
        let settings = settings(&format!("{ONE_ATTEMPT_PER_CONNECTION}\n{more}"));
        Rig::of(RequestRouter::new(settings, 7).with_exclusive_connections())
    }

    /// Returns a router that shares quotas with one peer.
    pub fn with_peer(more: &str) -> Self {
        let router = RequestRouter::new(settings(more), 7);
        Rig::of(router.sharing(ms(100_000), &[PeerId(1)], 1))
    }

    /// Returns a router that follows a state service and has persisted nothing.
    pub fn following(more: &str) -> Self {
        let start = InitialState {
            catalog: Follower::empty_catalog(deployment(&settings(more))),
            ..InitialState::default()
        };
        Rig::following_from(more, start)
    }

    /// Returns a router that follows a state service and starts from the given persisted state.
    pub fn following_from(more: &str, start: InitialState) -> Self {
        let mut rig = Rig::of(RequestRouter::new(settings(more), 7).following("h", start));
        rig.advance(ms(10));
        let conn = rig
            .state_service
            .expect("the router dials the state service");
        let outbox = rig.new_outbox(conn);
        rig.step(vec![Input::StateServiceUp { conn, outbox }]);
        rig
    }

    fn of(router: RequestRouter) -> Self {
        let mut rig = Rig {
            router,
            now: ms(100_000),
            outboxes: BTreeMap::new(),
            dials: Vec::new(),
            discovery_dials: Vec::new(),
            log: Vec::new(),
            shutdown_complete: false,
            state_service: None,
            last_poll: None,
            persist_requests: Vec::new(),
            gossip: Vec::new(),
        };
        rig.list_endpoints(&[(1, pb::NodeState::Ready), (2, pb::NodeState::Ready)]);
        rig.connect_client(CLIENT);
        rig
    }
}

/// The clock, inputs and outputs.
impl Rig {
    pub fn new_outbox(&mut self, conn: ConnId) -> Arc<Outbox> {
        let outbox = Arc::new(Outbox::new(|| (), || ()));
        self.outboxes.insert(conn, outbox.clone());
        outbox
    }

    pub fn is_closed(&self, conn: ConnId) -> bool {
        self.outboxes[&conn].is_closed()
    }

    pub fn step(&mut self, inputs: Vec<Input>) {
        for output in self.router.step(self.now, inputs) {
            match output {
                Output::Dial { conn, node, .. } => self.dials.push((conn, node.0)),
                Output::DialDiscovery { conn } => self.discovery_dials.push((self.now, conn)),
                Output::Log(event) => self.log.push(event),
                Output::ShutdownComplete => self.shutdown_complete = true,
                Output::DialStateService { conn } => self.state_service = Some(conn),
                Output::Persist { number, records } => {
                    self.persist_requests.push((number, records))
                }
                Output::SendToPeer { bytes, .. } => self.gossip.push(bytes),
                Output::CacheEndpoints { .. } => {}
            }
        }
        self.router.wake_at();
    }

    /// Advances the clock by `span`, and steps the router each time it is due to wake.
    pub fn advance(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.now = self.router.wake_at().max(self.now + ms(1)).min(end);
            self.step(vec![]);
        }
    }

    /// Returns whether the text of an event in the log contains `part`.
    pub fn has_logged(&self, part: &str) -> bool {
        let text = |event: &LogEvent| match event {
            LogEvent::ProtocolViolation { violation, .. } => violation.to_string(),
            LogEvent::Scheduler(event) => event.to_string(),
            LogEvent::Catalog { text } => text.clone(),
            LogEvent::Coordination(notice) => notice.to_string(),
            other => format!("{other:?}"),
        };
        self.log.iter().any(|event| text(event).contains(part))
    }

    /// Hands the router a frame that was sent at the current time.
    pub fn receive(&mut self, conn: ConnId, body: Body) {
        let at = self.now;
        let frames = vec![pb::Frame {
            sent_us: at.as_micros() as u64,
            body: Some(body),
        }];
        self.step(vec![match conn {
            CLIENT => Input::ClientFrames { conn, at, frames },
            _ => Input::NodeFrames { conn, at, frames },
        }]);
    }

    /// Takes the messages that wait in the outbox of a connection, as the connection's writer does.
    pub fn written(&mut self, conn: ConnId) -> Vec<Body> {
        let batch = self.outboxes[&conn].take_batch(|| self.now, usize::MAX);
        self.outboxes[&conn].batch_written();
        let bodies: Vec<Body> = batch
            .frames
            .into_iter()
            .filter_map(|frame| frame.body)
            .collect();
        let poll = |body: &Body| match body {
            Body::FollowRequest(poll) => Some(*poll),
            _ => None,
        };
        self.last_poll = bodies.iter().filter_map(poll).last().or(self.last_poll);
        bodies
    }
}

/// Clients.
impl Rig {
    pub fn connect_client(&mut self, conn: ConnId) {
        let outbox = self.new_outbox(conn);
        self.step(vec![Input::ClientUp { conn, outbox }]);
    }

    /// Submits a request of the client, whose id consists of bytes with the value `n`.
    pub fn submit(&mut self, n: u8, traffic_class: u32) {
        let request = pb::SubmitRequest {
            id: Bytes::from(vec![n; 36]),
            piece: Bytes::from(vec![n; 36]),
            traffic_class,
            volume: 5,
            shard: Some(1),
            key: Some(9),
            units: 1.0,
            left_us: 2_000_000,
            ..Default::default()
        };
        self.receive(CLIENT, Body::SubmitRequest(request));
    }

    /// Cancels the client's request `n`.
    pub fn cancel(&mut self, n: u8) {
        let id = Bytes::from(vec![n; 36]);
        self.receive(CLIENT, Body::CancelRequest(pb::CancelRequest { id }));
    }

    /// Takes the final responses that wait for the client.
    pub fn responses(&mut self) -> Vec<pb::Response> {
        let written = self.written(CLIENT).into_iter();
        let responses = written.filter_map(|body| match body {
            Body::Response(response) => Some(response),
            _ => None,
        });
        responses.collect()
    }

    /// Takes the final responses that wait for the client, and returns their requests and outcomes.
    pub fn outcomes(&mut self) -> Vec<(u8, pb::Outcome)> {
        let responses = self.responses().into_iter();
        let outcomes = responses.map(|response| (response.id[0], response.outcome()));
        outcomes.collect()
    }
}

/// Nodes.
impl Rig {
    /// Lets the last dial to a node succeed.
    pub fn connect(&mut self) -> ConnId {
        let (conn, _) = *self.dials.last().expect("the router has dialled a node");
        self.connect_node(conn);
        conn
    }

    /// Lets a dial to a node succeed.
    pub fn connect_node(&mut self, conn: ConnId) {
        let outbox = self.new_outbox(conn);
        self.step(vec![Input::NodeUp { conn, outbox }]);
    }

    /// Takes the attempts that wait in the outbox of a connection to a node.
    pub fn attempts(&mut self, conn: ConnId) -> Vec<pb::Attempt> {
        let written = self.written(conn).into_iter();
        let attempts = written.filter_map(|body| match body {
            Body::Attempt(attempt) => Some(attempt),
            _ => None,
        });
        attempts.collect()
    }

    /// Lets a node respond to an attempt.
    pub fn respond(&mut self, conn: ConnId, attempt: u64, result: pb::Result) {
        let response = pb::AttemptResponse {
            attempt,
            result: result.into(),
            ..Default::default()
        };
        self.receive(conn, Body::AttemptResponse(response));
    }
}

/// Discovery.
impl Rig {
    /// Advances the clock until discovery is dialled, and lets the dial succeed.
    pub fn connect_discovery(&mut self) -> ConnId {
        let is_dialled = |rig: &Self| {
            let last = rig.discovery_dials.last();
            last.is_some_and(|(_, conn)| !rig.outboxes.contains_key(conn))
        };
        for _ in 0..1000 {
            if is_dialled(self) {
                break;
            }
            self.advance(ms(10));
        }
        let last = self.discovery_dials.last();
        let conn = last.expect("the router dials discovery").1;
        let outbox = self.new_outbox(conn);
        self.step(vec![Input::DiscoveryUp { conn, outbox }]);
        conn
    }

    /// Lets discovery send an endpoint list or a change of it.
    pub fn discovery_sends(
        &mut self,
        conn: ConnId,
        kind: pb::EndpointUpdateKind,
        endpoints: &[(u32, pb::NodeState)],
    ) {
        let update = pb::EndpointUpdate {
            kind: kind.into(),
            revision: 2,
            ..endpoint_list(endpoints)
        };
        let frames = vec![pb::Frame {
            sent_us: 0,
            body: Some(Body::EndpointUpdate(update)),
        }];
        self.step(vec![Input::DiscoveryFrames { conn, frames }]);
    }

    /// Replaces the endpoint list, for tests in which it does not matter how the router receives it.
    pub fn list_endpoints(&mut self, endpoints: &[(u32, pb::NodeState)]) {
        let list = endpoint_list(endpoints);
        self.step(vec![Input::CachedEndpoints { list }]);
    }

    /// Replaces the endpoint list by one in which node 1 is a new process.
    pub fn restart_node_1(&mut self, state: pb::NodeState) {
        let mut list = endpoint_list(&[(1, state), (2, pb::NodeState::Ready)]);
        list.endpoints[0].start = 2;
        self.step(vec![Input::CachedEndpoints { list }]);
    }
}

pub fn endpoint_list(endpoints: &[(u32, pb::NodeState)]) -> pb::EndpointUpdate {
    let endpoint = |(node, state): &(u32, pb::NodeState)| pb::Endpoint {
        node: *node,
        shard: *node,
        state: (*state).into(),
        address: "127.0.0.1:9".into(),
        start: 1,
        ..Default::default()
    };
    pb::EndpointUpdate {
        kind: pb::EndpointUpdateKind::Snapshot.into(),
        revision: 1,
        endpoints: endpoints.iter().map(endpoint).collect(),
    }
}

/// The state service.
impl Rig {
    /// Takes the last poll that the router has sent to the state service.
    pub fn poll(&mut self) -> pb::FollowRequest {
        self.written(self.state_service.expect("dialled"));
        self.last_poll.take().expect("the router has sent a poll")
    }

    /// Lets the state service send a response.
    pub fn state_service_sends(&mut self, update: pb::ConfigUpdate) {
        let conn = self.state_service.expect("dialled");
        let frames = vec![pb::Frame {
            sent_us: 0,
            body: Some(Body::ConfigUpdate(update)),
        }];
        self.step(vec![Input::StateServiceFrames { conn, frames }]);
    }

    /// Lets the state service respond with one revision that contains these changes. All revisions up to
    /// `stable` are stable. The records that the router then persists are written at once.
    pub fn publish(&mut self, changes: &[&str], stable: u64) {
        self.publish_revisions(&[changes], stable);
    }

    /// Lets the state service respond with several revisions, each with the changes of one element.
    pub fn publish_revisions(&mut self, revisions: &[&[&str]], stable: u64) {
        let poll = self.poll();
        let followed = self.router.follower().catalog();
        let mut catalog = Follower::empty_catalog(deployment(self.router.settings())).restored(
            followed.version(),
            followed.state(),
            Vec::new(),
        );
        let mut published = Vec::new();
        for changes in revisions {
            let changes: Vec<_> = changes
                .iter()
                .map(|change| parse_change(&catalog, change).expect("the change is valid"))
                .collect();
            let revision = catalog
                .propose(catalog.version(), ChangeContext::default(), changes)
                .expect("the changes are accepted");
            catalog
                .apply(revision.clone())
                .expect("the revision follows the last one");
            published.push(revision_to_proto(&revision));
        }
        self.state_service_sends(pb::ConfigUpdate {
            call: poll.call,
            epoch: 1,
            version: catalog.version().0,
            stable,
            lease_us: 3_000_000,
            revisions: published,
            ..Default::default()
        });
        for (number, _) in std::mem::take(&mut self.persist_requests) {
            self.step(vec![Input::Persisted {
                number,
                done: Ok(()),
            }]);
        }
    }
}
