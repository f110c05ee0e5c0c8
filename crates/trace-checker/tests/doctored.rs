//! Each rule's traces twice: as they should be, and doctored so that the rule is broken and caught.

use bytes::Bytes;
use grebecleat_settings::Settings;
use grebecleat_trace_checker::{TraceSet, Verdict};
use grebecleat_wire::pb::{self, frame::Body, marked::What, record::Kind, Record};

const SETTINGS: &str = r#"
zone(name = "a")
zone(name = "b")
stream_type(name = "read", slo = ms(200), expiry = s(2), repeat = "repeatable")
stream_type(name = "once", slo = ms(200), expiry = s(2), repeat = "unrepeatable", write = True)
stream_type(name = "keyed", slo = ms(200), expiry = s(2), repeat = keyed(group = "zone", remembered = s(1)))
stream_type(name = "row", slo = ms(200), expiry = s(2), repeat = "repeatable", ordered = True)
plan(name = "p", rate = 10, limit = 10, limit_burst = 20, limit_slack = 5)
host(name = "h")
node(id = 1, zone = "a")
node(id = 2, zone = "b")
volume(id = 5, plan = "p")
rules(drain_grace = ms(500), cold_units = 10, cold_from = 0.2, warm_within = s(10), fall_within = s(2),
      fall_multiple = 2, further_share = 0.25, further_floor = 2, further_window = s(5), key_rest = ms(200))
"#;

/// Traces being written: one of clients, one of a host, one of nodes; times are milliseconds.
struct Traces([Vec<Record>; 3]);

const CLIENT: usize = 0;
const HOST: usize = 1;
const NODE: usize = 2;
const READ: u32 = 0;
const ONCE: u32 = 1;
const KEYED: u32 = 2;
const ROW: u32 = 3;

fn id(n: u8) -> Bytes {
    Bytes::from(vec![b'a' + n; 36])
}

impl Traces {
    fn new() -> Self {
        let of = |role: pb::Role, name: &str| {
            let who = pb::Hello {
                role: role.into(),
                name: name.into(),
                ..Default::default()
            };
            vec![Record {
                kind: Kind::Process.into(),
                process: Some(who),
                ..Default::default()
            }]
        };
        let mut t = Traces([
            of(pb::Role::Client, "clients"),
            of(pb::Role::Host, "h"),
            of(pb::Role::Node, "nodes"),
        ]);
        for side in [CLIENT, NODE] {
            t.0[side].push(Record {
                kind: Kind::Opened.into(),
                conn: 1,
                peer: "h".into(),
                ..Default::default()
            });
        }
        t.list(1, pb::NodeState::Ready, 1);
        t
    }

    fn put(&mut self, side: usize, at: u64, kind: Kind, body: Body) {
        let frame = Some(pb::Frame {
            sent_us: 0,
            body: Some(body),
        });
        let at_ns = at * 1_000_000;
        self.0[side].push(Record {
            at_ns,
            kind: kind.into(),
            conn: 1,
            frame,
            ..Default::default()
        });
    }

    fn closed(&mut self, side: usize, at: u64) {
        let at_ns = at * 1_000_000;
        self.0[side].push(Record {
            at_ns,
            kind: Kind::Closed.into(),
            conn: 1,
            ..Default::default()
        });
    }

    fn mark(&mut self, at: u64, what: What) {
        let (units_a_second, cold_part, warm_us) = (10.0, 0.2, 10_000_000);
        let mark = pb::Marked {
            what: what.into(),
            node: 1,
            name: "h".into(),
            units_a_second,
            cold_part,
            warm_us,
            ..Default::default()
        };
        let (at_ns, kind, mark) = (at * 1_000_000, Kind::Mark.into(), Some(mark));
        self.0[NODE].push(Record {
            at_ns,
            kind,
            mark,
            ..Default::default()
        });
    }

    fn list(&mut self, at: u64, state: pb::NodeState, start: u64) {
        let entry = pb::Endpoint {
            node: 1,
            state: state.into(),
            start,
            ..Default::default()
        };
        let (kind, endpoints) = (pb::EndpointUpdateKind::Delta.into(), vec![entry]);
        self.put(
            HOST,
            at,
            Kind::In,
            Body::EndpointUpdate(pb::EndpointUpdate {
                kind,
                revision: 0,
                endpoints,
            }),
        );
    }

    /// A client's request, as both ends record it.
    fn take(&mut self, at: u64, n: u8, traffic_class: u32) {
        let (key, units, left_us) = (Some(3), 2.0, 2_000_000);
        let take = pb::SubmitRequest {
            id: id(n),
            piece: id(n),
            traffic_class,
            volume: 5,
            key,
            units,
            left_us,
            ..Default::default()
        };
        self.put(CLIENT, at, Kind::Out, Body::SubmitRequest(take.clone()));
        self.put(HOST, at, Kind::In, Body::SubmitRequest(take));
    }

    fn answer(&mut self, at: u64, n: u8, outcome: pb::Outcome) {
        let f = pb::Response {
            id: id(n),
            outcome: outcome.into(),
            ..Default::default()
        };
        self.put(HOST, at, Kind::Out, Body::Response(f.clone()));
        self.put(CLIENT, at, Kind::In, Body::Response(f));
    }

    /// An attempt to a node; its number is the moment.
    fn attempt(&mut self, at: u64, n: u8, node: u32, number: u32) {
        let (units, left_us) = (2.0, 1_000_000);
        let attempt = pb::Attempt {
            attempt: at,
            id: id(n),
            number,
            node,
            volume: 5,
            units,
            left_us,
            ..Default::default()
        };
        self.put(HOST, at, Kind::Out, Body::Attempt(attempt.clone()));
        self.put(NODE, at, Kind::In, Body::Attempt(attempt));
    }

    fn back(&mut self, at: u64, attempt: u64, result: pb::Result) {
        let a = pb::AttemptResponse {
            attempt,
            result: result.into(),
            ..Default::default()
        };
        self.put(HOST, at, Kind::In, Body::AttemptResponse(a));
    }

    fn check(mut self) -> Verdict {
        let mut traces = TraceSet::default();
        // The clients' run goes on well past what is judged.
        self.0[CLIENT].push(Record {
            at_ns: 60_000_000_000,
            kind: Kind::Closed.into(),
            conn: 99,
            ..Default::default()
        });
        for mut records in self.0 {
            records[1..].sort_by_key(|r| r.at_ns);
            traces.add(records);
        }
        let settings =
            Settings::read("doctored.star".as_ref(), SETTINGS.into()).expect("good settings");
        traces.check(&settings).expect("whole traces")
    }
}

/// Plays a case as it should be, which breaks nothing, and doctored, which breaks that rule alone.
fn both(rule: u8, play: impl Fn(&mut Traces, bool)) {
    for doctored in [false, true] {
        let mut t = Traces::new();
        play(&mut t, doctored);
        let broken: Vec<u8> = t.check().violations.iter().map(|b| b.rule).collect();
        let expected: &[u8] = if doctored { &[rule] } else { &[] };
        assert_eq!(broken, expected, "rule {rule}, doctored: {doctored}");
    }
}

use pb::Outcome::{Completed, Failed, Rejected};
use pb::Result::{Error, Full, Ok};

#[test]
fn a_missing_late_or_duplicate_response_is_found() {
    both(1, |t, missing| {
        t.take(10, 1, READ);
        if !missing {
            t.answer(20, 1, Rejected);
        }
    });
    both(1, |t, late| {
        t.take(10, 1, READ);
        t.answer(if late { 2019 } else { 2017 }, 1, Rejected);
    });
    for (doubled, expected) in [(false, 0), (true, 2)] {
        let mut t = Traces::new();
        t.take(10, 1, READ);
        t.answer(20, 1, Rejected);
        if doubled {
            t.answer(30, 1, Completed);
        }
        assert_eq!(
            t.check().violations.len(),
            expected,
            "as the client and as the host shows it"
        );
    }
}

#[test]
fn an_attempt_after_the_response_is_found() {
    both(1, |t, after| {
        t.take(10, 1, READ);
        t.attempt(if after { 25 } else { 15 }, 1, 1, 0);
        t.answer(20, 1, Failed);
    });
}

#[test]
fn a_request_whose_host_died_is_lost_and_breaks_no_rule() {
    let mut t = Traces::new();
    t.take(10, 1, READ);
    t.closed(CLIENT, 500);
    let v = t.check();
    assert_eq!((v.violations, v.lost_with_host), (vec![], 1));
}

#[test]
fn a_paused_host_owes_its_responses_once_it_continues() {
    for (stopped, broken) in [(true, 0), (false, 1)] {
        let mut t = Traces::new();
        t.take(10, 1, READ);
        if stopped {
            t.mark(100, What::Stopped);
            t.mark(4000, What::Continued);
        }
        t.answer(4010, 1, Rejected);
        assert_eq!(t.check().violations.len(), broken);
    }
}

#[test]
fn retries_beyond_the_idempotency_of_the_traffic_class_are_found() {
    both(2, |t, ran| {
        t.take(10, 1, ONCE);
        t.attempt(20, 1, 1, 0);
        t.back(30, 20, if ran { Error } else { Full });
        t.attempt(40, 1, 1, 1);
        t.back(50, 40, Ok);
        t.answer(51, 1, Completed);
    });
    both(2, |t, outside| {
        t.take(10, 1, KEYED);
        t.attempt(20, 1, 1, 0);
        t.back(30, 20, Error);
        t.attempt(40, 1, if outside { 2 } else { 1 }, 1);
        t.answer(50, 1, Failed);
    });
    both(2, |t, forgotten| {
        t.take(10, 1, KEYED);
        t.attempt(20, 1, 1, 0);
        t.back(30, 20, Error);
        t.attempt(if forgotten { 1021 } else { 1019 }, 1, 1, 1);
        t.answer(1030, 1, Failed);
    });
    // No answer is no proof either.
    both(2, |t, silent| {
        t.take(10, 1, ONCE);
        t.attempt(20, 1, 1, 0);
        if !silent {
            t.back(30, 20, Full);
        }
        t.attempt(40, 1, 1, 1);
        t.answer(50, 1, Failed);
    });
}

#[test]
fn a_rejection_after_which_a_retry_may_do_harm_is_found() {
    both(2, |t, deferred| {
        t.take(10, 1, ONCE);
        t.attempt(20, 1, 1, 0);
        t.answer(30, 1, if deferred { Rejected } else { Failed });
    });
}

#[test]
fn a_duplicate_effect_of_a_non_idempotent_request_is_found() {
    both(2, |t, twice| {
        t.take(10, 1, ONCE);
        t.attempt(20, 1, 1, 0);
        t.back(30, 20, Ok);
        t.answer(31, 1, Completed);
        for at in if twice { vec![25, 26] } else { vec![25] } {
            let mark = pb::Marked {
                what: What::Effect.into(),
                id: id(1),
                ..Default::default()
            };
            let (at_ns, kind, mark) = (at * 1_000_000, Kind::Mark.into(), Some(mark));
            t.0[NODE].push(Record {
                at_ns,
                kind,
                mark,
                ..Default::default()
            });
        }
    });
}

#[test]
fn an_attempt_to_a_draining_node_after_the_grace_is_found() {
    for state in [pb::NodeState::Draining, pb::NodeState::Gone] {
        both(3, |t, late| {
            t.list(100, state, 1);
            t.take(110, 1, READ);
            t.attempt(if late { 601 } else { 600 }, 1, 1, 0);
            t.answer(700, 1, Rejected);
        });
    }
}

#[test]
fn an_overload_of_a_node_that_warms_up_is_found() {
    // It can do 10 units a second warm, a fifth of that cold; twice that over 2 s is 8, and 10
    // always go.
    both(4, |t, much| {
        t.mark(50, What::Started);
        t.list(100, pb::NodeState::Ready, 2);
        for n in 0..if much { 7 } else { 5 } {
            t.take(110 + u64::from(n), n, READ);
            t.attempt(130 + u64::from(n), n, 1, 0);
            t.answer(200, n, Rejected);
        }
    });
    both(4, |t, told| {
        t.mark(50, What::Started);
        if told {
            t.list(100, pb::NodeState::Ready, 2);
        }
        t.take(110, 1, READ);
        t.attempt(120, 1, 1, 0);
        t.mark(130, What::Fell);
        t.answer(200, 1, Rejected);
    });
}

#[test]
fn requests_of_one_key_out_of_order_or_without_cool_down_are_found() {
    both(5, |t, early| {
        t.take(10, 1, ROW);
        t.take(11, 2, ROW);
        t.attempt(20, 1, 1, 0);
        t.back(40, 20, Ok);
        t.answer(40, 1, Completed);
        t.attempt(if early { 39 } else { 41 }, 2, 1, 0);
        t.answer(60, 2, Completed);
    });
    // The first was never sent, and is deferred long after.
    both(5, |t, early| {
        t.take(10, 1, ROW);
        t.take(11, 2, ROW);
        t.attempt(if early { 20 } else { 90 }, 2, 1, 0);
        t.answer(91, 1, Rejected);
        t.answer(92, 2, Rejected);
    });
    // Its time was up without an answer: the key rests 200 ms more, from 1020 on.
    both(5, |t, unrested| {
        t.take(10, 1, ROW);
        t.take(11, 2, ROW);
        t.attempt(20, 1, 1, 0);
        t.answer(1021, 1, Rejected);
        t.attempt(if unrested { 1219 } else { 1221 }, 2, 1, 0);
        t.answer(1300, 2, Rejected);
    });
}

#[test]
fn retries_beyond_the_budget_are_found() {
    // Four taken: two free and a quarter of four make three.
    both(6, |t, more| {
        for n in 0..4 {
            t.take(10 + u64::from(n), n, READ);
            t.attempt(100 + u64::from(n), n, 1, 0);
        }
        for n in 0..if more { 4 } else { 3 } {
            t.attempt(200 + u64::from(n), n, 1, 1);
        }
        (0..4).for_each(|n| t.answer(300, n, Rejected));
    });
}

#[test]
fn an_exceeded_limit_is_found() {
    // Its store holds 20, fills by 10 a second and may go 5 below: 12 requests of 2 units pass, 13
    // do not.
    both(7, |t, more| {
        for n in 0..if more { 13 } else { 12 } {
            t.take(10, n, READ);
            t.attempt(20, n, 1 + u32::from(n) % 2, 0);
            t.answer(30, n, Rejected);
        }
    });
}

#[test]
fn a_truncated_trace_is_not_checked() {
    let mut traces = TraceSet::default();
    let mut t = Traces::new();
    t.0[HOST].push(Record {
        kind: Kind::Cut.into(),
        ..Default::default()
    });
    t.0.into_iter().for_each(|records| traces.add(records));
    let settings =
        Settings::read("doctored.star".as_ref(), SETTINGS.into()).expect("good settings");
    assert!(traces
        .check(&settings)
        .is_err_and(|e| e.to_string().contains("cut")));
}
