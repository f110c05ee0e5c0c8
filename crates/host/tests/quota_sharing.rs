//! A host with a peer: the units that a quota lease lets it send, also after a pause of the process.

mod common;
use bytes::Bytes;
use common::{ms, Rig, CLIENT};
use grebecleat_coordination::coordinator::Coordinator;
use grebecleat_coordination::events::{Action, Event, Rules};
use grebecleat_coordination::lease_message::LeaseTerms;
use grebecleat_coordination::{HostNumber, Incarnation};
use grebecleat_host::router::{ConnId, Input};
use grebecleat_scheduler::api::PeerId;
use grebecleat_wire::pb::{self, frame::Body};
use std::collections::BTreeSet;
use std::time::Duration;

const MORE: &str = r#"
host(name = "h2")
plan(name = "capped", rate = 100, limit = 100, limit_burst = 800, limit_slack = 100)
volume(id = 6, plan = "capped")
fleet(every = ms(100), loan = s(1), margin = ms(100))
"#;

struct Pair {
    rig: Rig,
    peer: Coordinator,
    to_peer: Vec<Event>,
    up: BTreeSet<ConnId>,
    taken: u64,
    /// Units of the attempts that were written to nodes.
    sent: f64,
}

impl Pair {
    fn new() -> Pair {
        let rules = Rules {
            interval: ms(100),
            leases: LeaseTerms {
                duration: Duration::from_secs(1),
                margin: ms(100),
            },
        };
        let rig = Rig::with_peer(MORE);
        let peer = Coordinator::new(
            rig.now,
            HostNumber(1),
            Incarnation(1),
            vec![HostNumber(0)],
            rules,
            1,
        );
        let sharers = [HostNumber(0), HostNumber(1)].into();
        let to_peer = vec![Event::VolumeChanged {
            volume: 6,
            sharers,
            limit: 100.0,
        }];
        Pair {
            rig,
            peer,
            to_peer,
            up: BTreeSet::new(),
            taken: 0,
            sent: 0.0,
        }
    }

    /// Advances the clock by a step. Nodes respond at once, and the messages between the hosts arrive.
    fn go(&mut self, step: Duration) {
        self.rig.now += step;
        self.rig.step(vec![]);
        let dialled: Vec<ConnId> = self.rig.dials.iter().map(|d| d.0).collect();
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
        let events: Vec<Event> = self.to_peer.drain(..).chain(received).collect();
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

    fn take(&mut self, units: f64) {
        self.taken += 1;
        let id = Bytes::from(format!("{:036}", self.taken));
        let (volume, shard, left_us) = (6, Some(1), 1_900_000);
        let take = pb::SubmitRequest {
            piece: id.clone(),
            id,
            volume,
            shard,
            units,
            left_us,
            ..Default::default()
        };
        self.rig.receive(CLIENT, Body::SubmitRequest(take));
    }

    fn busy(&mut self, span: Duration) {
        let until = self.rig.now + span;
        while self.rig.now < until {
            self.take(2.0);
            self.go(ms(10));
        }
    }
}

#[test]
fn a_quota_lease_that_expires_during_a_pause_fills_no_bucket_after_its_end() {
    let mut p = Pair::new();
    p.busy(ms(5000));
    let before = p.sent;
    p.busy(ms(3000));
    let rate = (p.sent - before) / 3.0;
    assert!(
        rate > 80.0,
        "{rate} units a second of 100, with a peer that requests nothing"
    );
    // Three seconds, of which the lease had at most one left: 94 units for that one, and 50 for each
    // of the rest.
    p.rig.now += ms(3000);
    let before = p.sent;
    (0..80).for_each(|_| p.take(8.0));
    (0..60).for_each(|_| p.go(ms(1)));
    let sent = p.sent - before;
    assert!(
        (100.0..=210.0).contains(&sent),
        "{sent} units at once after the pause"
    );
}

#[test]
fn without_a_responding_peer_a_host_serves_its_own_quota() {
    let mut p = Pair::new();
    p.to_peer.clear();
    let until = p.rig.now + ms(5000);
    while p.rig.now < until {
        p.take(2.0);
        p.rig.gossip.clear();
        p.go(ms(10));
    }
    let before = p.sent;
    for _ in 0..300 {
        p.take(2.0);
        p.rig.gossip.clear();
        p.go(ms(10));
    }
    let rate = (p.sent - before) / 3.0;
    assert!(
        (40.0..=55.0).contains(&rate),
        "{rate} units a second of its quota of 50"
    );
}
