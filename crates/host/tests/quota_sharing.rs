//! Tests of a host with one peer: how many units a quota lease lets it send, also after a pause of the
//! process.

mod common;
use bytes::Bytes;
use common::{ms, Rig, CLIENT};
use grebecleat_coordination::coordinator::Coordinator;
use grebecleat_coordination::events::{Action, CoordinationSettings, Event};
use grebecleat_coordination::lease_message::LeaseTerms;
use grebecleat_coordination::{HostNumber, Incarnation};
use grebecleat_host::router::{ConnId, Input};
use grebecleat_scheduler::api::PeerId;
use grebecleat_wire::pb::{self, frame::Body};
use std::collections::BTreeSet;
use std::time::Duration;

const SHARED_LIMIT: &str = r#"
host(name = "h2")
plan(name = "capped", rate = 100, limit = 100, limit_burst = 800, limit_slack = 100)
volume(id = 6, plan = "capped")
fleet(every = ms(100), loan = s(1), margin = ms(100))
"#;

/// A host and its peer. The peer shares the limit of volume 6 and requests nothing itself.
struct Pair {
    rig: Rig,
    peer: Coordinator,
    /// Events for the next step of the peer.
    peer_events: Vec<Event>,
    up: BTreeSet<ConnId>,
    /// The number of requests so far.
    submitted: u64,
    /// Units of the attempts that were written to nodes.
    sent: f64,
}

impl Pair {
    fn new() -> Pair {
        let rules = CoordinationSettings {
            interval: ms(100),
            leases: LeaseTerms {
                duration: Duration::from_secs(1),
                margin: ms(100),
            },
        };
        let rig = Rig::with_peer(SHARED_LIMIT);
        let peer = Coordinator::new(
            rig.now,
            HostNumber(1),
            Incarnation(1),
            vec![HostNumber(0)],
            rules,
            1,
        );
        let sharers = [HostNumber(0), HostNumber(1)].into();
        let peer_events = vec![Event::VolumeChanged {
            volume: 6,
            sharers,
            limit: 100.0,
        }];
        Pair {
            rig,
            peer,
            peer_events,
            up: BTreeSet::new(),
            submitted: 0,
            sent: 0.0,
        }
    }

    /// Advances the clock by a step. Nodes respond at once, and messages between the hosts arrive at once.
    fn advance(&mut self, step: Duration) {
        self.rig.now += step;
        self.rig.step(vec![]);
        let dialled: Vec<ConnId> = self.rig.dials.iter().map(|dial| dial.0).collect();
        for conn in dialled {
            if self.up.insert(conn) {
                let outbox = self.rig.new_outbox(conn);
                self.rig.step(vec![Input::NodeUp { conn, outbox }]);
            }
            for attempt in self.rig.attempts(conn) {
                self.sent += attempt.units;
                self.rig.respond(conn, attempt.attempt, pb::Result::Ok);
            }
        }
        self.rig.outcomes();
        let received = std::mem::take(&mut self.rig.gossip).into_iter();
        let received = received.map(|bytes| Event::MessageReceived {
            from: HostNumber(0),
            waited: ms(0),
            bytes,
        });
        let events: Vec<Event> = self.peer_events.drain(..).chain(received).collect();
        for action in self.peer.step(self.rig.now, events) {
            if let Action::Send { bytes, .. } = action {
                self.rig.step(vec![Input::PeerMessage {
                    from: PeerId(1),
                    waited: ms(0),
                    bytes,
                }]);
            }
        }
    }

    /// Submits a request of volume 6.
    fn submit(&mut self, units: f64) {
        self.submitted += 1;
        let id = Bytes::from(format!("{:036}", self.submitted));
        let (volume, shard, left_us) = (6, Some(1), 1_900_000);
        let request = pb::SubmitRequest {
            piece: id.clone(),
            id,
            volume,
            shard,
            units,
            left_us,
            ..Default::default()
        };
        self.rig.receive(CLIENT, Body::SubmitRequest(request));
    }

    /// Submits 200 units a second for the given time, twice the limit.
    fn overload(&mut self, span: Duration) {
        let until = self.rig.now + span;
        while self.rig.now < until {
            self.submit(2.0);
            self.advance(ms(10));
        }
    }
}

#[test]
fn a_quota_lease_that_expires_during_a_pause_fills_no_bucket_after_its_end() {
    let mut pair = Pair::new();
    pair.overload(ms(5000));
    let before = pair.sent;
    pair.overload(ms(3000));
    let rate = (pair.sent - before) / 3.0;
    assert!(
        rate > 80.0,
        "{rate} units a second; the limit is 100, and the peer requests nothing"
    );
    // During a pause of three seconds, the lease is valid for at most one more second. The bucket gains 94
    // units in that second and 50 in each of the others.
    pair.rig.now += ms(3000);
    let before = pair.sent;
    (0..80).for_each(|_| pair.submit(8.0));
    (0..60).for_each(|_| pair.advance(ms(1)));
    let sent = pair.sent - before;
    assert!(
        (100.0..=210.0).contains(&sent),
        "{sent} units sent at once after the pause"
    );
}

#[test]
fn without_a_responding_peer_a_host_serves_its_own_quota() {
    let mut pair = Pair::new();
    pair.peer_events.clear();
    let until = pair.rig.now + ms(5000);
    while pair.rig.now < until {
        pair.submit(2.0);
        pair.rig.gossip.clear();
        pair.advance(ms(10));
    }
    let before = pair.sent;
    for _ in 0..300 {
        pair.submit(2.0);
        pair.rig.gossip.clear();
        pair.advance(ms(10));
    }
    let rate = (pair.sent - before) / 3.0;
    assert!(
        (40.0..=55.0).contains(&rate),
        "{rate} units a second; its own quota is 50"
    );
}
