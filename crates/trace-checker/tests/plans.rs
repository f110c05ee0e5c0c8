//! Limits that change: the checker accepts correct traces, and finds altered ones in which the limit
//! in force is exceeded or a version is declared stable too early.

use bytes::Bytes;
use grebecleat_settings::Settings;
use grebecleat_trace_checker::{TraceSet, Verdict};
use grebecleat_wire::pb::{self, change, frame::Body, record::Kind, Record};

const SETTINGS: &str = r#"
zone(name = "a")
stream_type(name = "read", slo = ms(200), expiry = s(2), repeat = "repeatable")
plan(name = "p", rate = 10, reservation = 4, limit = 10, limit_burst = 20, limit_slack = 5)
host(name = "h")
host(name = "i")
node(id = 1, zone = "a")
volume(id = 5, plan = "p")
state_service(lease = s(2), margin = ms(500))
"#;

fn process(role: pb::Role, name: &str) -> Vec<Record> {
    let hello = pb::Hello {
        role: role.into(),
        name: name.into(),
        ..Default::default()
    };
    let opened = |conn, peer: &str| Record {
        kind: Kind::Opened.into(),
        conn,
        peer: peer.into(),
        ..Default::default()
    };
    let first = Record {
        kind: Kind::Process.into(),
        process: Some(hello),
        ..Default::default()
    };
    vec![first, opened(1, "h"), opened(2, "i")]
}

/// The traces of two hosts that serve volume 5, and of the state service; times are milliseconds.
struct Traces {
    state: Vec<Record>,
    hosts: [Vec<Record>; 2],
    attempts: u64,
}

impl Traces {
    fn new() -> Self {
        let hosts = ["h", "i"].map(|name| process(pb::Role::Host, name));
        let mut t = Traces {
            state: process(pb::Role::State, "state"),
            hosts,
            attempts: 0,
        };
        t.update(1, 0, 1, 1, &[plan(10.0, 4.0, 20.0), volume(&["h", "i"])]);
        t.update(1, 1, 1, 1, &[plan(10.0, 4.0, 20.0), volume(&["h", "i"])]);
        t
    }

    fn record(at: u64, kind: Kind, conn: u64, body: Body) -> Record {
        let frame = Some(pb::Frame {
            sent_us: 0,
            body: Some(body),
        });
        Record {
            at_ns: at * 1_000_000,
            kind: kind.into(),
            conn,
            frame,
            ..Default::default()
        }
    }

    /// Adds an update to a host: the changes of a version, and the stable version.
    fn update(&mut self, at: u64, host: usize, version: u64, stable: u64, changes: &[pb::Change]) {
        let revision = pb::Revision {
            version,
            from: version - 1,
            changes: changes.to_vec(),
            ..Default::default()
        };
        let revisions = if changes.is_empty() {
            vec![]
        } else {
            vec![revision]
        };
        let config_update = pb::ConfigUpdate {
            epoch: 1,
            version,
            stable,
            revisions,
            ..Default::default()
        };
        self.state.push(Self::record(
            at,
            Kind::Out,
            host as u64 + 1,
            Body::ConfigUpdate(config_update),
        ));
    }

    /// Adds a host's acknowledgement of a version.
    fn acknowledge(&mut self, at: u64, host: usize, applied: u64) {
        let acknowledgement = Body::Acknowledge(pb::Acknowledge { epoch: 1, applied });
        self.state
            .push(Self::record(at, Kind::In, host as u64 + 1, acknowledgement));
    }

    /// Adds an operator's declaration that a host is gone.
    fn declare_gone(&mut self, at: u64, host: &str) {
        let host_gone = Body::HostGone(pb::HostGone {
            call: 1,
            author: "clerk".into(),
            host: host.into(),
        });
        self.state.push(Self::record(at, Kind::In, 9, host_gone));
    }

    /// Adds a request, its first attempt and its response at a host.
    fn attempt(&mut self, at: u64, host: usize, units: f64) {
        self.attempts += 1;
        let id = Bytes::from(format!("{:036}", self.attempts));
        let submit = pb::SubmitRequest {
            id: id.clone(),
            volume: 5,
            units,
            left_us: 2_000_000,
            ..Default::default()
        };
        let attempt = pb::Attempt {
            attempt: self.attempts,
            id: id.clone(),
            node: 1,
            volume: 5,
            units,
            left_us: 1_000_000,
            ..Default::default()
        };
        let response = pb::Response {
            id,
            outcome: pb::Outcome::Completed.into(),
            ..Default::default()
        };
        let records = &mut self.hosts[host];
        records.push(Self::record(at, Kind::In, 1, Body::SubmitRequest(submit)));
        records.push(Self::record(at, Kind::Out, 3, Body::Attempt(attempt)));
        records.push(Self::record(at + 1, Kind::Out, 1, Body::Response(response)));
    }

    fn check(self) -> Verdict {
        let settings = Settings::read("x.star".as_ref(), SETTINGS.into()).expect("valid settings");
        let mut traces = TraceSet::default();
        traces.add(self.state);
        self.hosts.into_iter().for_each(|h| traces.add(h));
        traces.check(&settings).unwrap()
    }
}

fn plan(limit: f64, reservation: f64, burst: f64) -> pb::Change {
    let plan_config = pb::PlanConfig {
        rate: 10.0,
        reservation,
        limit,
        burst,
        slack: 5.0,
        ..Default::default()
    };
    let subject = Some(change::Subject::Plan("p".into()));
    pb::Change {
        subject,
        to: (limit >= 0.0).then_some(change::To::PlanTo(plan_config)),
    }
}

fn volume(hosts: &[&str]) -> pb::Change {
    let hosts = hosts.iter().map(|h| h.to_string()).collect();
    let volume_config = pb::VolumeConfig {
        plan: "p".into(),
        hosts,
        ..Default::default()
    };
    pb::Change {
        subject: Some(change::Subject::Volume(5)),
        to: Some(change::To::VolumeTo(volume_config)),
    }
}

fn limit_violations(v: &Verdict) -> Vec<String> {
    assert!(
        v.violations.iter().all(|b| b.rule == 7),
        "{:?}",
        v.violations
    );
    v.violations.iter().map(|b| b.what.clone()).collect()
}

/// Adds attempts of both hosts. `each`: units a second of each host.
fn send_steadily(t: &mut Traces, from: u64, to: u64, each: f64) {
    for at in (from..to).step_by(500) {
        t.attempt(at, 0, each / 2.0);
        t.attempt(at + 10, 1, each / 2.0);
    }
}

#[test]
fn the_limit_of_the_stable_version_is_in_force() {
    // The limit is raised from 10 to 30 at 2 s, and the change is stable at 4 s. The cases have the
    // rate of each host from 2 s and from 5 s on.
    for (each, later, is_correct) in [(5.0, 15.0, true), (15.0, 15.0, false), (5.0, 20.0, false)] {
        let mut t = Traces::new();
        send_steadily(&mut t, 100, 2000, 5.0);
        let raised = [plan(30.0, 4.0, 20.0)];
        (0..2).for_each(|h| t.update(2000, h, 2, 1, &raised));
        send_steadily(&mut t, 2100, 4000, each);
        (0..2).for_each(|h| t.acknowledge(3900, h, 2));
        (0..2).for_each(|h| t.update(4000, h, 2, 2, &[]));
        send_steadily(&mut t, 5000, 12_000, later);
        let v = t.check();
        assert_eq!(
            limit_violations(&v).is_empty(),
            is_correct,
            "{each}, {later}: {:?}",
            v.violations
        );
    }
    // The limit is lowered from 10 to 4. The old one is in force until the change is stable at 4 s,
    // and the new one from then on.
    for (until, later, is_correct) in [(4000, 2.0, true), (7000, 2.0, false), (4000, 4.0, false)] {
        let mut t = Traces::new();
        let lowered = [plan(4.0, 4.0, 8.0)];
        (0..2).for_each(|h| t.update(2000, h, 2, 1, &lowered));
        (0..2).for_each(|h| t.acknowledge(3900, h, 2));
        (0..2).for_each(|h| t.update(4000, h, 2, 2, &[]));
        send_steadily(&mut t, 100, until, 5.0);
        send_steadily(&mut t, until, 14_000, later);
        let v = t.check();
        assert_eq!(
            limit_violations(&v).is_empty(),
            is_correct,
            "{until}, {later}: {:?}",
            v.violations
        );
    }
    // No limit at first, then one: its token bucket is full when it comes into force.
    let mut t = Traces::new();
    (0..2).for_each(|h| t.update(2000, h, 2, 2, &[plan(0.0, 4.0, 20.0)]));
    send_steadily(&mut t, 2100, 6000, 50.0);
    (0..2).for_each(|h| t.update(6000, h, 3, 2, &[plan(10.0, 4.0, 20.0)]));
    (0..2).for_each(|h| t.acknowledge(6400, h, 3));
    (0..2).for_each(|h| t.update(6500, h, 3, 3, &[]));
    send_steadily(&mut t, 6600, 9000, 5.0);
    let mut exceeding = Traces {
        state: t.state.clone(),
        hosts: t.hosts.clone(),
        attempts: t.attempts,
    };
    let v = t.check();
    // No host had acknowledged version 2 when it was declared stable.
    assert_eq!(
        limit_violations(&v),
        [
            "entry 2 was called settled while h had said no more than 0 and may still follow that",
            "entry 2 was called settled while i had said no more than 0 and may still follow that"
        ]
    );
    send_steadily(&mut exceeding, 9000, 12_000, 20.0);
    assert!(limit_violations(&exceeding.check())
        .iter()
        .any(|b| b.contains("below its store")));
}

#[test]
fn a_version_declared_stable_too_early_is_found() {
    type Alteration = fn(&mut Traces);
    let cases: [(&str, Alteration, Option<&str>); 7] = [
        ("both hosts acknowledged it", |t| (0..2).for_each(|h| t.acknowledge(2500, h, 2)), None),
        (
            "one host did not acknowledge it",
            |t| t.acknowledge(2500, 0, 2),
            Some("entry 2 was called settled while i had said no more than 1 and may still follow that"),
        ),
        (
            "one host was cut off, and its lease is over",
            |t| {
                t.acknowledge(2500, 0, 2);
                t.state.retain(|r| r.at_ns < 1_500_000_000 || r.conn == 1);
                t.update(4600, 0, 2, 2, &[]);
            },
            None,
        ),
        (
            "the same, and its reserved share exceeds its share of the limit",
            |t| {
                t.acknowledge(2500, 0, 2);
                t.state.retain(|r| r.at_ns < 1_500_000_000 || r.conn == 1);
                t.update(4600, 0, 2, 2, &[]);
                for r in &mut t.state {
                    if let Some(Body::ConfigUpdate(f)) = r.frame.as_mut().and_then(|f| f.body.as_mut()) {
                        f.revisions.iter_mut().filter(|e| e.version == 2).for_each(|e| e.changes = vec![plan(3.0, 1.0, 20.0)]);
                    }
                }
            },
            Some("entry 2 was called settled while i is cut off with entry 1, and more of volume 5 than is its part"),
        ),
        (
            "the same, and an operator declares the host gone",
            |t| {
                t.acknowledge(2500, 0, 2);
                t.state.retain(|r| r.at_ns < 1_500_000_000 || r.conn == 1);
                t.declare_gone(3000, "i");
                t.update(4600, 0, 2, 2, &[]);
            },
            None,
        ),
        (
            "the host reports again after the declaration",
            |t| {
                t.acknowledge(2500, 0, 2);
                t.declare_gone(2600, "i");
                t.acknowledge(2700, 1, 1);
            },
            Some("entry 2 was called settled while i had said no more than 1 and may still follow that"),
        ),
        ("no version is declared stable", |t| t.state.retain(|r| r.at_ns < 2_900_000_000), None),
    ];
    for (what, alter, expected) in cases {
        let mut t = Traces::new();
        (0..2).for_each(|h| t.acknowledge(1000, h, 1));
        (0..2).for_each(|h| t.update(2000, h, 2, 1, &[plan(8.0, 4.0, 20.0)]));
        t.update(3000, 0, 2, 2, &[]);
        alter(&mut t);
        if what.contains("lease is over") || what.starts_with("the same") {
            t.state.retain(|r| {
                r.at_ns != 3_000_000_000
                    || r.conn != 1
                    || matches!(
                        r.frame.as_ref().and_then(|f| f.body.as_ref()),
                        Some(Body::HostGone(_))
                    )
            });
        }
        assert_eq!(
            limit_violations(&t.check()).first().map(String::as_str),
            expected,
            "{what}"
        );
    }
}
