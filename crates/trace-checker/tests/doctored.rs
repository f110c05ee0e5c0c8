//! Each rule is checked on correct traces, which violate no rule, and on altered traces, which
//! violate that rule alone.

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

/// The traces of the clients, a host and the nodes, indexed by `CLIENT`, `HOST` and `NODE`; times are
/// milliseconds.
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
        let first_record = |role: pb::Role, name: &str| {
            let hello = pb::Hello {
                role: role.into(),
                name: name.into(),
                ..Default::default()
            };
            vec![Record {
                kind: Kind::Process.into(),
                process: Some(hello),
                ..Default::default()
            }]
        };
        let mut t = Traces([
            first_record(pb::Role::Client, "clients"),
            first_record(pb::Role::Host, "h"),
            first_record(pb::Role::Node, "nodes"),
        ]);
        for process in [CLIENT, NODE] {
            t.0[process].push(Record {
                kind: Kind::Opened.into(),
                conn: 1,
                peer: "h".into(),
                ..Default::default()
            });
        }
        t.endpoint_update(1, pb::NodeState::Ready, 1);
        t
    }

    fn put(&mut self, process: usize, at: u64, kind: Kind, body: Body) {
        let frame = Some(pb::Frame {
            sent_us: 0,
            body: Some(body),
        });
        let at_ns = at * 1_000_000;
        self.0[process].push(Record {
            at_ns,
            kind: kind.into(),
            conn: 1,
            frame,
            ..Default::default()
        });
    }

    fn closed(&mut self, process: usize, at: u64) {
        let at_ns = at * 1_000_000;
        self.0[process].push(Record {
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

    /// Adds an update of the endpoint list to the host: the state and incarnation of node 1.
    fn endpoint_update(&mut self, at: u64, state: pb::NodeState, start: u64) {
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

    /// Adds a client's request to the traces of the client and the host.
    fn submit_request(&mut self, at: u64, n: u8, traffic_class: u32) {
        let (key, units, left_us) = (Some(3), 2.0, 2_000_000);
        let submit_request = pb::SubmitRequest {
            id: id(n),
            piece: id(n),
            traffic_class,
            volume: 5,
            key,
            units,
            left_us,
            ..Default::default()
        };
        self.put(
            CLIENT,
            at,
            Kind::Out,
            Body::SubmitRequest(submit_request.clone()),
        );
        self.put(HOST, at, Kind::In, Body::SubmitRequest(submit_request));
    }

    /// Adds a response to the traces of the host and the client.
    fn respond(&mut self, at: u64, n: u8, outcome: pb::Outcome) {
        let response = pb::Response {
            id: id(n),
            outcome: outcome.into(),
            ..Default::default()
        };
        self.put(HOST, at, Kind::Out, Body::Response(response.clone()));
        self.put(CLIENT, at, Kind::In, Body::Response(response));
    }

    /// Adds an attempt to the traces of the host and the node. Its identifier is its time.
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

    /// Adds a node's response to an attempt to the host's trace.
    fn attempt_response(&mut self, at: u64, attempt: u64, result: pb::Result) {
        let response = pb::AttemptResponse {
            attempt,
            result: result.into(),
            ..Default::default()
        };
        self.put(HOST, at, Kind::In, Body::AttemptResponse(response));
    }

    fn check(mut self) -> Verdict {
        let mut traces = TraceSet::default();
        // The clients' trace ends after all deadlines.
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
            Settings::read("doctored.star".as_ref(), SETTINGS.into()).expect("valid settings");
        traces.check(&settings).expect("complete traces")
    }
}

/// Checks a case twice: its correct traces violate no rule, and its altered traces violate that rule
/// once. `write_traces`: writes the traces, altered if its argument is true.
fn check_correct_and_altered(rule: u8, write_traces: impl Fn(&mut Traces, bool)) {
    for altered in [false, true] {
        let mut t = Traces::new();
        write_traces(&mut t, altered);
        let broken: Vec<u8> = t.check().violations.iter().map(|b| b.rule).collect();
        let expected: &[u8] = if altered { &[rule] } else { &[] };
        assert_eq!(broken, expected, "rule {rule}, altered: {altered}");
    }
}

use pb::Outcome::{Completed, Failed, Rejected};
use pb::Result::{Error, Full, Ok};

#[test]
fn a_missing_late_or_duplicate_response_is_found() {
    check_correct_and_altered(1, |t, missing| {
        t.submit_request(10, 1, READ);
        if !missing {
            t.respond(20, 1, Rejected);
        }
    });
    check_correct_and_altered(1, |t, late| {
        t.submit_request(10, 1, READ);
        t.respond(if late { 2019 } else { 2017 }, 1, Rejected);
    });
    for (duplicate, expected) in [(false, 0), (true, 2)] {
        let mut t = Traces::new();
        t.submit_request(10, 1, READ);
        t.respond(20, 1, Rejected);
        if duplicate {
            t.respond(30, 1, Completed);
        }
        assert_eq!(
            t.check().violations.len(),
            expected,
            "one violation by the client's trace, and one by the host's"
        );
    }
}

#[test]
fn an_attempt_after_the_response_is_found() {
    check_correct_and_altered(1, |t, after| {
        t.submit_request(10, 1, READ);
        t.attempt(if after { 25 } else { 15 }, 1, 1, 0);
        t.respond(20, 1, Failed);
    });
}

#[test]
fn a_request_whose_host_died_is_lost_and_breaks_no_rule() {
    let mut t = Traces::new();
    t.submit_request(10, 1, READ);
    t.closed(CLIENT, 500);
    let v = t.check();
    assert_eq!((v.violations, v.lost_with_host), (vec![], 1));
}

#[test]
fn a_paused_host_owes_its_responses_once_it_continues() {
    for (stopped, broken) in [(true, 0), (false, 1)] {
        let mut t = Traces::new();
        t.submit_request(10, 1, READ);
        if stopped {
            t.mark(100, What::Stopped);
            t.mark(4000, What::Continued);
        }
        t.respond(4010, 1, Rejected);
        assert_eq!(t.check().violations.len(), broken);
    }
}

#[test]
fn retries_beyond_the_idempotency_of_the_traffic_class_are_found() {
    check_correct_and_altered(2, |t, may_have_run| {
        t.submit_request(10, 1, ONCE);
        t.attempt(20, 1, 1, 0);
        t.attempt_response(30, 20, if may_have_run { Error } else { Full });
        t.attempt(40, 1, 1, 1);
        t.attempt_response(50, 40, Ok);
        t.respond(51, 1, Completed);
    });
    check_correct_and_altered(2, |t, outside_scope| {
        t.submit_request(10, 1, KEYED);
        t.attempt(20, 1, 1, 0);
        t.attempt_response(30, 20, Error);
        t.attempt(40, 1, if outside_scope { 2 } else { 1 }, 1);
        t.respond(50, 1, Failed);
    });
    check_correct_and_altered(2, |t, after_window| {
        t.submit_request(10, 1, KEYED);
        t.attempt(20, 1, 1, 0);
        t.attempt_response(30, 20, Error);
        t.attempt(if after_window { 1021 } else { 1019 }, 1, 1, 1);
        t.respond(1030, 1, Failed);
    });
    // An attempt without a response may have run as well.
    check_correct_and_altered(2, |t, no_response| {
        t.submit_request(10, 1, ONCE);
        t.attempt(20, 1, 1, 0);
        if !no_response {
            t.attempt_response(30, 20, Full);
        }
        t.attempt(40, 1, 1, 1);
        t.respond(50, 1, Failed);
    });
}

#[test]
fn a_rejection_after_which_a_retry_may_do_harm_is_found() {
    check_correct_and_altered(2, |t, rejected| {
        t.submit_request(10, 1, ONCE);
        t.attempt(20, 1, 1, 0);
        t.respond(30, 1, if rejected { Rejected } else { Failed });
    });
}

#[test]
fn a_duplicate_effect_of_a_non_idempotent_request_is_found() {
    check_correct_and_altered(2, |t, twice| {
        t.submit_request(10, 1, ONCE);
        t.attempt(20, 1, 1, 0);
        t.attempt_response(30, 20, Ok);
        t.respond(31, 1, Completed);
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
        check_correct_and_altered(3, |t, late| {
            t.endpoint_update(100, state, 1);
            t.submit_request(110, 1, READ);
            t.attempt(if late { 601 } else { 600 }, 1, 1, 0);
            t.respond(700, 1, Rejected);
        });
    }
}

#[test]
fn an_overload_of_a_node_that_warms_up_is_found() {
    // The node's capacity is 10 units a second when warm, and a fifth of that at its start. Twice
    // that over 2 s is 8 units, and 10 units are always permitted.
    check_correct_and_altered(4, |t, overload| {
        t.mark(50, What::Started);
        t.endpoint_update(100, pb::NodeState::Ready, 2);
        for n in 0..if overload { 7 } else { 5 } {
            t.submit_request(110 + u64::from(n), n, READ);
            t.attempt(130 + u64::from(n), n, 1, 0);
            t.respond(200, n, Rejected);
        }
    });
    check_correct_and_altered(4, |t, notified| {
        t.mark(50, What::Started);
        if notified {
            t.endpoint_update(100, pb::NodeState::Ready, 2);
        }
        t.submit_request(110, 1, READ);
        t.attempt(120, 1, 1, 0);
        t.mark(130, What::Fell);
        t.respond(200, 1, Rejected);
    });
}

#[test]
fn requests_of_one_key_out_of_order_or_without_cool_down_are_found() {
    check_correct_and_altered(5, |t, early| {
        t.submit_request(10, 1, ROW);
        t.submit_request(11, 2, ROW);
        t.attempt(20, 1, 1, 0);
        t.attempt_response(40, 20, Ok);
        t.respond(40, 1, Completed);
        t.attempt(if early { 39 } else { 41 }, 2, 1, 0);
        t.respond(60, 2, Completed);
    });
    // The first request is rejected late, without an attempt.
    check_correct_and_altered(5, |t, early| {
        t.submit_request(10, 1, ROW);
        t.submit_request(11, 2, ROW);
        t.attempt(if early { 20 } else { 90 }, 2, 1, 0);
        t.respond(91, 1, Rejected);
        t.respond(92, 2, Rejected);
    });
    // The first attempt's deadline passed at 1020 without a response: the key rests for 200 ms more.
    check_correct_and_altered(5, |t, in_cool_down| {
        t.submit_request(10, 1, ROW);
        t.submit_request(11, 2, ROW);
        t.attempt(20, 1, 1, 0);
        t.respond(1021, 1, Rejected);
        t.attempt(if in_cool_down { 1219 } else { 1221 }, 2, 1, 0);
        t.respond(1300, 2, Rejected);
    });
}

#[test]
fn retries_beyond_the_budget_are_found() {
    // Of four requests, two retries are always permitted, and a quarter of four more: three.
    check_correct_and_altered(6, |t, more| {
        for n in 0..4 {
            t.submit_request(10 + u64::from(n), n, READ);
            t.attempt(100 + u64::from(n), n, 1, 0);
        }
        for n in 0..if more { 4 } else { 3 } {
            t.attempt(200 + u64::from(n), n, 1, 1);
        }
        (0..4).for_each(|n| t.respond(300, n, Rejected));
    });
}

#[test]
fn an_exceeded_limit_is_found() {
    // The token bucket holds 20 units, fills by 10 units a second, and may fall to 5 below zero: 12
    // requests of 2 units conform, 13 do not.
    check_correct_and_altered(7, |t, more| {
        for n in 0..if more { 13 } else { 12 } {
            t.submit_request(10, n, READ);
            t.attempt(20, n, 1 + u32::from(n) % 2, 0);
            t.respond(30, n, Rejected);
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
        Settings::read("doctored.star".as_ref(), SETTINGS.into()).expect("valid settings");
    assert!(traces
        .check(&settings)
        .is_err_and(|e| e.to_string().contains("cut")));
}
