//! A desk with a peer: what a loan lets it send, and what not after it has stood still.

mod common;
use bytes::Bytes;
use common::*;
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
    /// Units that crossed to nodes.
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
        let rig = Rig::sharing(MORE);
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

    /// Nodes answer at once, and words between the two arrive.
    fn go(&mut self, step: Duration) {
        self.rig.now += step;
        self.rig.feed(vec![]);
        let dialled: Vec<ConnId> = self.rig.dialled.iter().map(|d| d.0).collect();
        for conn in dialled {
            if self.up.insert(conn) {
                let outbox = self.rig.outbox(conn);
                self.rig.feed(vec![Input::NodeUp { conn, outbox }]);
            }
            for attempt in self.rig.attempts(conn) {
                self.sent += attempt.units;
                self.rig.node_answers(conn, attempt.attempt, pb::Result::Ok);
            }
        }
        self.rig.finals();
        let heard = std::mem::take(&mut self.rig.words).into_iter();
        let heard = heard.map(|bytes| Event::MessageReceived {
            from: HostNumber(0),
            waited: ms(0),
            bytes,
        });
        let events: Vec<Event> = self.to_peer.drain(..).chain(heard).collect();
        for action in self.peer.step(self.rig.now, events) {
            if let Action::Send { bytes, .. } = action {
                self.rig.feed(vec![Input::PeerMessage {
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
        self.rig.frames(CLIENT, Body::SubmitRequest(take));
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
fn a_loan_that_runs_out_while_a_host_stands_still_fills_nothing_after_its_end() {
    let mut p = Pair::new();
    p.busy(ms(5000));
    let before = p.sent;
    p.busy(ms(3000));
    let rate = (p.sent - before) / 3.0;
    assert!(
        rate > 80.0,
        "{rate} units a second of 100, with a peer that asks for nothing"
    );
    // Three seconds, of which the loan had at most one left: 94 units for that one, and 50 for each
    // of the rest.
    p.rig.now += ms(3000);
    let before = p.sent;
    (0..80).for_each(|_| p.take(8.0));
    (0..60).for_each(|_| p.go(ms(1)));
    let sent = p.sent - before;
    assert!(
        (100.0..=210.0).contains(&sent),
        "{sent} units at once after it stood still"
    );
}

#[test]
fn without_a_peer_that_answers_it_serves_by_its_own_part() {
    let mut p = Pair::new();
    p.to_peer.clear();
    let until = p.rig.now + ms(5000);
    while p.rig.now < until {
        p.take(2.0);
        p.rig.words.clear();
        p.go(ms(10));
    }
    let before = p.sent;
    for _ in 0..300 {
        p.take(2.0);
        p.rig.words.clear();
        p.go(ms(10));
    }
    let rate = (p.sent - before) / 3.0;
    assert!(
        (40.0..=55.0).contains(&rate),
        "{rate} units a second of its part of 50"
    );
}
