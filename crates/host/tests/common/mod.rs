//! A desk with a network played by the test.
#![allow(dead_code)]

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

/// A desk and the peers around it. Time stands still unless moved.
pub struct Rig {
    pub router: RequestRouter,
    pub now: Duration,
    pub boxes: BTreeMap<ConnId, Arc<Outbox>>,
    pub dialled: Vec<(ConnId, u32)>,
    /// The list's connections that it asked for.
    pub lists: Vec<(Duration, ConnId)>,
    pub log: Vec<LogEvent>,
    pub ended: bool,
    /// The connection to the state service, and what is to be kept.
    pub state: Option<ConnId>,
    /// What it last asked there.
    pub asked: Option<pb::FollowRequest>,
    pub keeps: Vec<(u64, Vec<Record>)>,
    /// Words to its peers.
    pub words: Vec<Vec<u8>>,
}

pub const CLIENT: ConnId = ConnId(1 << 50);

impl Rig {
    pub fn with(more: &str) -> Self {
        let settings = Settings::read("desk.star".as_ref(), format!("{SETTINGS}{more}"))
            .expect("good settings");
        Rig::of(RequestRouter::new(Arc::new(settings), 7))
    }

    /// A desk whose connections to nodes carry one attempt at a time, and end with one that is
    /// given up.
    pub fn one_at_a_time(more: &str) -> Self {
        let one = "bounds(legs_per_connection = 1, linger = s(10), dial_timeout = s(10), patience = s(2))";
        let settings = Settings::read("desk.star".as_ref(), format!("{SETTINGS}{one}\n{more}"));
        Rig::of(
            RequestRouter::new(Arc::new(settings.expect("good settings")), 7)
                .with_exclusive_connections(),
        )
    }

    /// A desk that has one peer.
    pub fn sharing(more: &str) -> Self {
        let settings = Settings::read("desk.star".as_ref(), format!("{SETTINGS}{more}"));
        let router = RequestRouter::new(Arc::new(settings.expect("good settings")), 7);
        Rig::of(router.sharing(ms(100_000), &[PeerId(1)], 1))
    }

    /// A desk that follows a state service, and has kept nothing of it.
    pub fn following(more: &str) -> Self {
        let settings = Settings::read("desk.star".as_ref(), format!("{SETTINGS}{more}"));
        let facts = deployment(&settings.expect("good settings"));
        Rig::started(
            more,
            InitialState {
                catalog: Follower::empty_catalog(facts),
                ..InitialState::default()
            },
        )
    }

    /// The same with what it kept of an earlier start.
    pub fn started(more: &str, start: InitialState) -> Self {
        let settings = Settings::read("desk.star".as_ref(), format!("{SETTINGS}{more}"))
            .expect("good settings");
        let mut rig = Rig::of(RequestRouter::new(Arc::new(settings), 7).following("h", start));
        rig.wait(ms(10));
        let conn = rig.state.expect("it dials");
        let outbox = rig.outbox(conn);
        rig.feed(vec![Input::StateServiceUp { conn, outbox }]);
        rig
    }

    fn of(router: RequestRouter) -> Self {
        let mut rig = Rig {
            router,
            now: ms(100_000),
            boxes: BTreeMap::new(),
            dialled: Vec::new(),
            lists: Vec::new(),
            log: Vec::new(),
            ended: false,
            state: None,
            asked: None,
            keeps: Vec::new(),
            words: Vec::new(),
        };
        rig.feed(vec![Input::CachedEndpoints {
            list: list(&[(1, pb::NodeState::Ready), (2, pb::NodeState::Ready)]),
        }]);
        let outbox = rig.outbox(CLIENT);
        rig.feed(vec![Input::ClientUp {
            conn: CLIENT,
            outbox,
        }]);
        rig
    }

    pub fn outbox(&mut self, conn: ConnId) -> Arc<Outbox> {
        let outbox = Arc::new(Outbox::new(|| (), || ()));
        self.boxes.insert(conn, outbox.clone());
        outbox
    }

    pub fn feed(&mut self, inputs: Vec<Input>) {
        for out in self.router.step(self.now, inputs) {
            match out {
                Output::Dial { conn, node, .. } => self.dialled.push((conn, node.0)),
                Output::DialDiscovery { conn } => self.lists.push((self.now, conn)),
                Output::Log(event) => self.log.push(event),
                Output::ShutdownComplete => self.ended = true,
                Output::DialStateService { conn } => self.state = Some(conn),
                Output::Persist { number, records } => self.keeps.push((number, records)),
                Output::SendToPeer { bytes, .. } => self.words.push(bytes),
                _ => {}
            }
        }
        self.router.wake_at();
    }

    /// Whether an event of the log holds this text.
    pub fn has_logged(&self, part: &str) -> bool {
        let text = |event: &LogEvent| match event {
            LogEvent::ProtocolViolation { violation, .. } => violation.to_string(),
            LogEvent::Scheduler { text }
            | LogEvent::Discovery { text }
            | LogEvent::Catalog { text }
            | LogEvent::Coordination { text } => text.clone(),
            other => format!("{other:?}"),
        };
        self.log.iter().any(|event| text(event).contains(part))
    }

    pub fn wait(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.now = self.router.wake_at().max(self.now + ms(1)).min(end);
            self.feed(vec![]);
        }
    }

    pub fn take(&mut self, n: u8, traffic_class: u32) {
        let take = pb::SubmitRequest {
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
        self.frames(CLIENT, Body::SubmitRequest(take));
    }

    pub fn withdraw(&mut self, n: u8) {
        self.frames(
            CLIENT,
            Body::CancelRequest(pb::CancelRequest {
                id: Bytes::from(vec![n; 36]),
            }),
        );
    }

    pub fn frames(&mut self, conn: ConnId, body: Body) {
        let sent_us = self.now.as_micros() as u64;
        let (at, frames) = (
            self.now,
            vec![pb::Frame {
                sent_us,
                body: Some(body),
            }],
        );
        let input = match conn {
            CLIENT => Input::ClientFrames { conn, at, frames },
            _ => Input::NodeFrames { conn, at, frames },
        };
        self.feed(vec![input]);
    }

    /// What the host now asks of the state service.
    pub fn asks(&mut self) -> pb::FollowRequest {
        self.cross(self.state.expect("dialled"));
        self.asked.take().expect("it asks")
    }

    /// The state service answers: these lines are one entry, and all is settled up to that one.
    pub fn told(&mut self, words: &[&str], stable: u64) {
        self.told_all(&[words], stable);
    }

    /// The same with several entries at once, each of its own lines.
    pub fn told_all(&mut self, all: &[&[&str]], stable: u64) {
        let ask = self.asks();
        let (conn, mut l) = (
            self.state.expect("dialled"),
            Follower::empty_catalog(deployment(self.router.settings())),
        );
        l = l.restored(
            self.router.follower().catalog().version(),
            self.router.follower().catalog().state(),
            Vec::new(),
        );
        let mut entries = Vec::new();
        for words in all {
            let changes: Vec<_> = words
                .iter()
                .map(|w| parse_change(&l, w).expect("good words"))
                .collect();
            let entry = l
                .propose(l.version(), ChangeContext::default(), changes)
                .expect("in order");
            l.apply(entry.clone()).expect("the next");
            entries.push(revision_to_proto(&entry));
        }
        let (epoch, call, lease_us, version) = (1, ask.call, 3_000_000, l.version().0);
        let feed = pb::ConfigUpdate {
            call,
            epoch,
            version,
            stable,
            lease_us,
            revisions: entries,
            ..Default::default()
        };
        let frames = vec![pb::Frame {
            sent_us: 0,
            body: Some(Body::ConfigUpdate(feed)),
        }];
        self.feed(vec![Input::StateServiceFrames { conn, frames }]);
        for (number, _) in std::mem::take(&mut self.keeps) {
            self.feed(vec![Input::Persisted {
                number,
                done: Ok(()),
            }]);
        }
    }

    /// Brings up the connection dialled last.
    pub fn connect(&mut self) -> ConnId {
        let (conn, _) = *self.dialled.last().expect("a dial");
        let outbox = self.outbox(conn);
        self.feed(vec![Input::NodeUp { conn, outbox }]);
        conn
    }

    /// What a connection's writer now puts on the socket.
    pub fn cross(&mut self, conn: ConnId) -> Vec<Body> {
        let pulled = self.boxes[&conn].take_batch(|| self.now, usize::MAX);
        self.boxes[&conn].batch_written();
        let told: Vec<Body> = pulled.frames.into_iter().filter_map(|f| f.body).collect();
        let follow = |b: &Body| {
            if let Body::FollowRequest(f) = b {
                Some(*f)
            } else {
                None
            }
        };
        self.asked = told.iter().filter_map(follow).last().or(self.asked);
        told
    }

    pub fn attempts(&mut self, conn: ConnId) -> Vec<pb::Attempt> {
        let attempts = self.cross(conn).into_iter();
        attempts
            .filter_map(|b| {
                if let Body::Attempt(l) = b {
                    Some(l)
                } else {
                    None
                }
            })
            .collect()
    }

    pub fn finals(&mut self) -> Vec<(u8, pb::Outcome)> {
        let finals = self.cross(CLIENT).into_iter();
        finals
            .filter_map(|b| {
                if let Body::Response(f) = b {
                    Some((f.id[0], f.outcome()))
                } else {
                    None
                }
            })
            .collect()
    }

    pub fn node_answers(&mut self, conn: ConnId, attempt: u64, result: pb::Result) {
        self.frames(
            conn,
            Body::AttemptResponse(pb::AttemptResponse {
                attempt,
                result: result.into(),
                ..Default::default()
            }),
        );
    }

    /// Waits until the list is asked for, and brings that connection up.
    pub fn list_up(&mut self) -> ConnId {
        let asks = |r: &Self| {
            r.lists
                .last()
                .is_some_and(|(_, conn)| !r.boxes.contains_key(conn))
        };
        for _ in 0..1000 {
            if asks(self) {
                break;
            }
            self.wait(ms(10));
        }
        let conn = self.lists.last().expect("it asks for the list").1;
        let outbox = self.outbox(conn);
        self.feed(vec![Input::DiscoveryUp { conn, outbox }]);
        conn
    }

    /// The list tells something on a connection.
    pub fn list_tells(
        &mut self,
        conn: ConnId,
        kind: pb::EndpointUpdateKind,
        endpoints: &[(u32, pb::NodeState)],
    ) {
        let list = pb::EndpointUpdate {
            kind: kind.into(),
            revision: 2,
            ..list(endpoints)
        };
        let frames = vec![pb::Frame {
            sent_us: 0,
            body: Some(Body::EndpointUpdate(list)),
        }];
        self.feed(vec![Input::DiscoveryFrames { conn, frames }]);
    }

    pub fn listed(&mut self, endpoints: &[(u32, pb::NodeState)]) {
        // A change as the list tells it; where it came from does not matter here.
        self.feed(vec![Input::CachedEndpoints {
            list: list(endpoints),
        }]);
    }
}

pub fn list(endpoints: &[(u32, pb::NodeState)]) -> pb::EndpointUpdate {
    let entry = |(node, state): &(u32, pb::NodeState)| pb::Endpoint {
        node: *node,
        shard: *node,
        state: (*state).into(),
        address: "127.0.0.1:9".into(),
        start: 1,
        ..Default::default()
    };
    let endpoints = endpoints.iter().map(entry).collect();
    pb::EndpointUpdate {
        kind: pb::EndpointUpdateKind::Snapshot.into(),
        revision: 1,
        endpoints,
    }
}
