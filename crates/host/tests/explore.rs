//! Random walks through the events that clients, nodes, discovery and time can cause at a router,
//! each from its seed. The invariants: each request has one response, before its deadline; no attempt
//! is written after the response, nor to a node that drains; a non-idempotent request is not written
//! again once it may have run; no state is left at the end.

mod common;
use bytes::Bytes;
use common::{ms, Rig, CLIENT};
use grebecleat_host::router::{ConnId, Input, OpenWork};
use grebecleat_wire::pb::{self, frame::Body, NodeState, Outcome};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;
use std::time::Duration;

const ONCE: u32 = 1;

#[derive(Default)]
struct Seen {
    stream: u32,
    deadline: Duration,
    answers: Vec<Outcome>,
    withdrawn: bool,
    /// Attempts that crossed: their numbers, and whether an answer proved that they never ran.
    crossed: Vec<(u64, bool)>,
}

struct Walk {
    rig: Rig,
    rng: Pcg64Mcg,
    seen: BTreeMap<u8, Seen>,
    /// Connections that are up, and what crossed them without an answer yet.
    up: BTreeMap<ConnId, Vec<(u64, u8)>>,
    state: [NodeState; 2],
}

impl Walk {
    fn look(&mut self) {
        for (n, outcome) in self.rig.outcomes() {
            let s = self
                .seen
                .get_mut(&n)
                .expect("only what was taken is answered");
            s.answers.push(outcome);
            assert!(
                self.rig.now <= s.deadline,
                "{n} answered at {:?}, expiry {:?}",
                self.rig.now,
                s.deadline
            );
            assert!(!s.withdrawn, "{n} answered though its client had left it");
            let may_have_run = s.crossed.iter().any(|c| !c.1);
            assert!(
                !(s.stream == ONCE && outcome == Outcome::Rejected && may_have_run),
                "{n} deferred after a run"
            );
        }
    }

    /// A connection's writer finds room.
    fn write(&mut self, conn: ConnId) {
        if !self.up.contains_key(&conn) || self.rig.outboxes[&conn].is_closed() {
            return;
        }
        for attempt in self.rig.attempts(conn) {
            let n = attempt.id[0];
            let s = self.seen.get_mut(&n).expect("a leg of something taken");
            assert!(
                s.answers.is_empty() && !s.withdrawn,
                "a leg of {n} crosses after its end"
            );
            assert!(
                self.rig.now < s.deadline,
                "a leg of {n} crosses after its expiry"
            );
            assert_eq!(
                self.state[attempt.node as usize - 1],
                NodeState::Ready,
                "a leg to a node that drains"
            );
            assert!(
                s.stream != ONCE || s.crossed.iter().all(|c| c.1),
                "{n} crosses twice"
            );
            s.crossed.push((attempt.attempt, false));
            self.up
                .get_mut(&conn)
                .expect("checked above")
                .push((attempt.attempt, n));
        }
    }

    fn answer(&mut self, conn: ConnId, result: pb::Result) {
        let Some(out) = self.up.get_mut(&conn).filter(|o| !o.is_empty()) else {
            return;
        };
        let (attempt, n) = out.swap_remove(self.rng.random_range(0..out.len()));
        if result == pb::Result::Full {
            let s = self.seen.get_mut(&n).expect("a leg of something taken");
            s.crossed
                .iter_mut()
                .filter(|c| c.0 == attempt)
                .for_each(|c| c.1 = true);
        }
        self.rig.respond(conn, attempt, result);
    }

    #[allow(clippy::too_many_lines)] // a table of what may happen next
    fn act(&mut self, next: &mut u8) {
        let conns: Vec<ConnId> = self.up.keys().copied().collect();
        let some = (!conns.is_empty()).then(|| conns[self.rng.random_range(0..conns.len())]);
        match (self.rng.random_range(0..14), some) {
            (0..=2, _) if *next < 250 => {
                *next += 1;
                let stream = self.rng.random_range(0..3);
                let deadline = self.rig.now + ms(2000);
                self.seen.insert(
                    *next,
                    Seen {
                        stream,
                        deadline,
                        ..Seen::default()
                    },
                );
                self.rig.submit(*next, stream);
            }
            (3, _) => {
                let waiting = self
                    .rig
                    .dials
                    .iter()
                    .map(|d| d.0)
                    .find(|c| !self.rig.outboxes.contains_key(c));
                if let Some(conn) = waiting {
                    let outbox = self.rig.new_outbox(conn);
                    self.up.insert(conn, Vec::new());
                    self.rig.step(vec![Input::NodeUp { conn, outbox }]);
                }
            }
            (4..=5, Some(conn)) => self.write(conn),
            (6..=7, Some(conn)) => self.answer(conn, pb::Result::Ok),
            (8, Some(conn)) => {
                let result = if self.rng.random() {
                    pb::Result::Error
                } else {
                    pb::Result::Full
                };
                self.answer(conn, result);
            }
            (9, Some(conn)) if self.rng.random::<f64>() < 0.3 => {
                self.up.remove(&conn);
                self.rig.step(vec![Input::NodeGone { conn }]);
            }
            (10, _) if self.rng.random::<f64>() < 0.3 => {
                let node = self.rng.random_range(0..2);
                let states = [NodeState::Ready, NodeState::Draining, NodeState::Ready];
                self.state[node] = states[self.rng.random_range(0..3)];
                let told: Vec<_> = (0..2).map(|i| (i as u32 + 1, self.state[i])).collect();
                self.rig.list_endpoints(&told);
            }
            (11, _) if *next > 0 => {
                let n = self.rng.random_range(1..=*next);
                let s = self.seen.get_mut(&n).expect("all up to next are there");
                if s.answers.is_empty() && self.rng.random::<f64>() < 0.1 {
                    s.withdrawn = true;
                    let id = Bytes::from(vec![n; 36]);
                    self.rig
                        .receive(CLIENT, Body::CancelRequest(pb::CancelRequest { id }));
                }
            }
            _ => {
                for _ in 0..self.rng.random_range(1..60) {
                    self.rig.advance(ms(1));
                    self.look();
                }
            }
        }
        self.look();
    }
}

#[test]
fn random_walks_keep_the_invariants() {
    let (mut requests, mut crossed, mut outcomes) = (0, 0, BTreeMap::new());
    for seed in 0..150 {
        let mut w = Walk {
            rig: Rig::with("bounds(legs_per_connection = 3, connections_per_node = 2)"),
            rng: Pcg64Mcg::seed_from_u64(seed),
            seen: BTreeMap::new(),
            up: BTreeMap::new(),
            state: [NodeState::Ready; 2],
        };
        let mut next = 0;
        (0..400).for_each(|_| w.act(&mut next));
        // Then time alone brings every answer that is owed.
        for _ in 0..2200 {
            w.rig.advance(ms(1));
            w.look();
        }
        for (n, s) in &w.seen {
            let owed = usize::from(!s.withdrawn);
            assert_eq!(
                s.answers.len(),
                owed,
                "seed {seed}, transfer {n}: {:?}",
                s.answers
            );
            s.answers
                .iter()
                .for_each(|a| *outcomes.entry(a.as_str_name()).or_insert(0) += 1);
            crossed += s.crossed.len();
        }
        requests += w.seen.len();
        assert_eq!(
            w.rig.router.open_work(),
            OpenWork::default(),
            "seed {seed} leaves something behind"
        );
    }
    // The walks must have seen all that can happen to a request.
    assert!(
        requests > 5000 && crossed > 1000 && outcomes.len() == 3,
        "{requests} {crossed} {outcomes:?}"
    );
}
