//! Random sequences of the events that clients, nodes, discovery and time can cause at a router, each
//! generated from a seed. The invariants: each request has one response, before its deadline; no
//! attempt is written after the response, nor to a node that drains; a non-idempotent request is not
//! written again once it may have run; no state is left at the end.

mod common;
use bytes::Bytes;
use common::{ms, Rig, CLIENT};
use grebecleat_host::router::{ConnId, Input, OpenWork};
use grebecleat_wire::pb::{self, frame::Body, NodeState, Outcome};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;
use std::time::Duration;

/// The traffic class of non-idempotent requests.
const NON_IDEMPOTENT: u32 = 1;

/// What the test has observed of a request.
#[derive(Default)]
struct ObservedRequest {
    traffic_class: u32,
    deadline: Duration,
    outcomes: Vec<Outcome>,
    cancelled: bool,
    /// The ids of the attempts that were written, each with whether a response proved that the attempt
    /// never ran.
    written: Vec<(u64, bool)>,
}

struct RandomRun {
    rig: Rig,
    rng: Pcg64Mcg,
    /// By the number from which the request's id is made.
    requests: BTreeMap<u8, ObservedRequest>,
    /// Connections that are up, each with its unanswered attempts and the numbers of their requests.
    up: BTreeMap<ConnId, Vec<(u64, u8)>>,
    node_states: [NodeState; 2],
}

impl RandomRun {
    /// Reads the responses that the router has written to the client, and checks them.
    fn check_responses(&mut self) {
        for (n, outcome) in self.rig.outcomes() {
            let request = self
                .requests
                .get_mut(&n)
                .expect("a response must belong to a submitted request");
            request.outcomes.push(outcome);
            assert!(
                self.rig.now <= request.deadline,
                "request {n} answered at {:?}, after its deadline {:?}",
                self.rig.now,
                request.deadline
            );
            assert!(
                !request.cancelled,
                "request {n} answered after its client cancelled it"
            );
            let may_have_run = request.written.iter().any(|attempt| !attempt.1);
            assert!(
                !(request.traffic_class == NON_IDEMPOTENT
                    && outcome == Outcome::Rejected
                    && may_have_run),
                "non-idempotent request {n} rejected although it may have run"
            );
        }
    }

    /// Writes the attempts that wait for a connection, and checks that each may be written.
    fn write(&mut self, conn: ConnId) {
        if !self.up.contains_key(&conn) || self.rig.outboxes[&conn].is_closed() {
            return;
        }
        for attempt in self.rig.attempts(conn) {
            let n = attempt.id[0];
            let request = self
                .requests
                .get_mut(&n)
                .expect("an attempt must belong to a submitted request");
            assert!(
                request.outcomes.is_empty() && !request.cancelled,
                "an attempt of request {n} written after the request has ended"
            );
            assert!(
                self.rig.now < request.deadline,
                "an attempt of request {n} written after its deadline"
            );
            assert_eq!(
                self.node_states[attempt.node as usize - 1],
                NodeState::Ready,
                "an attempt of request {n} written to a node that is not ready"
            );
            assert!(
                request.traffic_class != NON_IDEMPOTENT || request.written.iter().all(|it| it.1),
                "non-idempotent request {n} written again although it may have run"
            );
            request.written.push((attempt.attempt, false));
            self.up
                .get_mut(&conn)
                .expect("checked above")
                .push((attempt.attempt, n));
        }
    }

    /// Lets a node respond to a random unanswered attempt of a connection.
    fn respond(&mut self, conn: ConnId, result: pb::Result) {
        let Some(unanswered) = self.up.get_mut(&conn).filter(|it| !it.is_empty()) else {
            return;
        };
        let (attempt, n) = unanswered.swap_remove(self.rng.random_range(0..unanswered.len()));
        if result == pb::Result::Full {
            let request = self
                .requests
                .get_mut(&n)
                .expect("an attempt must belong to a submitted request");
            request
                .written
                .iter_mut()
                .filter(|it| it.0 == attempt)
                .for_each(|it| it.1 = true);
        }
        self.rig.respond(conn, attempt, result);
    }

    /// Causes a random event. `last` is the number of the last request that was submitted.
    #[allow(clippy::too_many_lines)] // one match over all events
    fn cause_event(&mut self, last: &mut u8) {
        let conns: Vec<ConnId> = self.up.keys().copied().collect();
        let conn = (!conns.is_empty()).then(|| conns[self.rng.random_range(0..conns.len())]);
        match (self.rng.random_range(0..14), conn) {
            (0..=2, _) if *last < 250 => {
                *last += 1;
                let traffic_class = self.rng.random_range(0..3);
                let deadline = self.rig.now + ms(2000);
                self.requests.insert(
                    *last,
                    ObservedRequest {
                        traffic_class,
                        deadline,
                        ..ObservedRequest::default()
                    },
                );
                self.rig.submit(*last, traffic_class);
            }
            (3, _) => {
                let dialling = self
                    .rig
                    .dials
                    .iter()
                    .map(|dial| dial.0)
                    .find(|conn| !self.rig.outboxes.contains_key(conn));
                if let Some(conn) = dialling {
                    let outbox = self.rig.new_outbox(conn);
                    self.up.insert(conn, Vec::new());
                    self.rig.step(vec![Input::NodeUp { conn, outbox }]);
                }
            }
            (4..=5, Some(conn)) => self.write(conn),
            (6..=7, Some(conn)) => self.respond(conn, pb::Result::Ok),
            (8, Some(conn)) => {
                let result = if self.rng.random() {
                    pb::Result::Error
                } else {
                    pb::Result::Full
                };
                self.respond(conn, result);
            }
            (9, Some(conn)) if self.rng.random::<f64>() < 0.3 => {
                self.up.remove(&conn);
                self.rig.step(vec![Input::NodeGone { conn }]);
            }
            (10, _) if self.rng.random::<f64>() < 0.3 => {
                let node = self.rng.random_range(0..2);
                let states = [NodeState::Ready, NodeState::Draining, NodeState::Ready];
                self.node_states[node] = states[self.rng.random_range(0..3)];
                let endpoints: Vec<_> = (0..2)
                    .map(|i| (i as u32 + 1, self.node_states[i]))
                    .collect();
                self.rig.list_endpoints(&endpoints);
            }
            (11, _) if *last > 0 => {
                let n = self.rng.random_range(1..=*last);
                let request = self
                    .requests
                    .get_mut(&n)
                    .expect("all requests up to the last were submitted");
                if request.outcomes.is_empty() && self.rng.random::<f64>() < 0.1 {
                    request.cancelled = true;
                    let id = Bytes::from(vec![n; 36]);
                    self.rig
                        .receive(CLIENT, Body::CancelRequest(pb::CancelRequest { id }));
                }
            }
            _ => {
                for _ in 0..self.rng.random_range(1..60) {
                    self.rig.advance(ms(1));
                    self.check_responses();
                }
            }
        }
        self.check_responses();
    }
}

#[test]
fn random_events_keep_the_invariants() {
    let (mut requests, mut written, mut outcomes) = (0, 0, BTreeMap::new());
    for seed in 0..150 {
        let mut run = RandomRun {
            rig: Rig::with("bounds(legs_per_connection = 3, connections_per_node = 2)"),
            rng: Pcg64Mcg::seed_from_u64(seed),
            requests: BTreeMap::new(),
            up: BTreeMap::new(),
            node_states: [NodeState::Ready; 2],
        };
        let mut last = 0;
        (0..400).for_each(|_| run.cause_event(&mut last));
        // Then every request that is still open has its response without further events.
        for _ in 0..2200 {
            run.rig.advance(ms(1));
            run.check_responses();
        }
        for (n, request) in &run.requests {
            let expected = usize::from(!request.cancelled);
            assert_eq!(
                request.outcomes.len(),
                expected,
                "seed {seed}, request {n}: {:?}",
                request.outcomes
            );
            request
                .outcomes
                .iter()
                .for_each(|it| *outcomes.entry(it.as_str_name()).or_insert(0) += 1);
            written += request.written.len();
        }
        requests += run.requests.len();
        assert_eq!(
            run.rig.router.open_work(),
            OpenWork::default(),
            "seed {seed}: the router still has open work at the end"
        );
    }
    // The runs must have covered all outcomes of a request.
    assert!(
        requests > 5000 && written > 1000 && outcomes.len() == 3,
        "{requests} requests, {written} written attempts, outcomes {outcomes:?}"
    );
}
