//! Limits that change: traces as they should be, and doctored so that the limit in force is passed,
//! or a change is called settled too early.

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
    let who = pb::Hello {
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
        process: Some(who),
        ..Default::default()
    };
    vec![first, opened(1, "h"), opened(2, "i")]
}

/// What hosts sent of volume 5 and what the state service told them; times are milliseconds.
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
        t.told(1, 0, 1, 1, &[plan(10.0, 4.0, 20.0), volume(&["h", "i"])]);
        t.told(1, 1, 1, 1, &[plan(10.0, 4.0, 20.0), volume(&["h", "i"])]);
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

    /// A host is answered: what that version changed, and what is settled.
    fn told(&mut self, at: u64, host: usize, version: u64, stable: u64, changes: &[pb::Change]) {
        let entry = pb::Revision {
            version,
            from: version - 1,
            changes: changes.to_vec(),
            ..Default::default()
        };
        let entries = if changes.is_empty() {
            vec![]
        } else {
            vec![entry]
        };
        let feed = pb::ConfigUpdate {
            epoch: 1,
            version,
            stable,
            revisions: entries,
            ..Default::default()
        };
        self.state.push(Self::record(
            at,
            Kind::Out,
            host as u64 + 1,
            Body::ConfigUpdate(feed),
        ));
    }

    fn acknowledged(&mut self, at: u64, host: usize, applied: u64) {
        let confirm = Body::Acknowledge(pb::Acknowledge { epoch: 1, applied });
        self.state
            .push(Self::record(at, Kind::In, host as u64 + 1, confirm));
    }

    fn gone(&mut self, at: u64, host: &str) {
        let gone = Body::HostGone(pb::HostGone {
            call: 1,
            author: "clerk".into(),
            host: host.into(),
        });
        self.state.push(Self::record(at, Kind::In, 9, gone));
    }

    /// A host's first attempt of a request of that many units crosses.
    fn attempt(&mut self, at: u64, host: usize, units: f64) {
        self.attempts += 1;
        let id = Bytes::from(format!("{:036}", self.attempts));
        let take = pb::SubmitRequest {
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
        let done = pb::Response {
            id,
            outcome: pb::Outcome::Completed.into(),
            ..Default::default()
        };
        let records = &mut self.hosts[host];
        records.push(Self::record(at, Kind::In, 1, Body::SubmitRequest(take)));
        records.push(Self::record(at, Kind::Out, 3, Body::Attempt(attempt)));
        records.push(Self::record(at + 1, Kind::Out, 1, Body::Response(done)));
    }

    fn check(self) -> Verdict {
        let settings = Settings::read("x.star".as_ref(), SETTINGS.into()).expect("good settings");
        let mut traces = TraceSet::default();
        traces.add(self.state);
        self.hosts.into_iter().for_each(|h| traces.add(h));
        traces.check(&settings).unwrap()
    }
}

fn plan(limit: f64, reservation: f64, burst: f64) -> pb::Change {
    let figures = pb::PlanConfig {
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
        to: (limit >= 0.0).then_some(change::To::PlanTo(figures)),
    }
}

fn volume(hosts: &[&str]) -> pb::Change {
    let hosts = hosts.iter().map(|h| h.to_string()).collect();
    let facts = pb::VolumeConfig {
        plan: "p".into(),
        hosts,
        ..Default::default()
    };
    pb::Change {
        subject: Some(change::Subject::Volume(5)),
        to: Some(change::To::VolumeTo(facts)),
    }
}

fn broken(v: &Verdict) -> Vec<String> {
    assert!(
        v.violations.iter().all(|b| b.rule == 7),
        "{:?}",
        v.violations
    );
    v.violations.iter().map(|b| b.what.clone()).collect()
}

/// Both hosts send at that rate each, second by second.
fn stream(t: &mut Traces, from: u64, to: u64, each: f64) {
    for at in (from..to).step_by(500) {
        t.attempt(at, 0, each / 2.0);
        t.attempt(at + 10, 1, each / 2.0);
    }
}

#[test]
fn the_limit_of_the_stable_version_is_in_force() {
    // Raised from 10 to 30 at 2 s, settled at 4 s; what each sends from 2 s and from 5 s on.
    for (each, later, fine) in [(5.0, 15.0, true), (15.0, 15.0, false), (5.0, 20.0, false)] {
        let mut t = Traces::new();
        stream(&mut t, 100, 2000, 5.0);
        let raised = [plan(30.0, 4.0, 20.0)];
        (0..2).for_each(|h| t.told(2000, h, 2, 1, &raised));
        stream(&mut t, 2100, 4000, each);
        (0..2).for_each(|h| t.acknowledged(3900, h, 2));
        (0..2).for_each(|h| t.told(4000, h, 2, 2, &[]));
        stream(&mut t, 5000, 12_000, later);
        let v = t.check();
        assert_eq!(
            broken(&v).is_empty(),
            fine,
            "{each}, {later}: {:?}",
            v.violations
        );
    }
    // Lowered from 10 to 4: the old one is in force until it is settled, the new one from then on.
    for (until, later, fine) in [(4000, 2.0, true), (7000, 2.0, false), (4000, 4.0, false)] {
        let mut t = Traces::new();
        let lowered = [plan(4.0, 4.0, 8.0)];
        (0..2).for_each(|h| t.told(2000, h, 2, 1, &lowered));
        (0..2).for_each(|h| t.acknowledged(3900, h, 2));
        (0..2).for_each(|h| t.told(4000, h, 2, 2, &[]));
        stream(&mut t, 100, until, 5.0);
        stream(&mut t, until, 14_000, later);
        let v = t.check();
        assert_eq!(
            broken(&v).is_empty(),
            fine,
            "{until}, {later}: {:?}",
            v.violations
        );
    }
    // None at first, then one: its store is full when it comes into force.
    let mut t = Traces::new();
    (0..2).for_each(|h| t.told(2000, h, 2, 2, &[plan(0.0, 4.0, 20.0)]));
    stream(&mut t, 2100, 6000, 50.0);
    (0..2).for_each(|h| t.told(6000, h, 3, 2, &[plan(10.0, 4.0, 20.0)]));
    (0..2).for_each(|h| t.acknowledged(6400, h, 3));
    (0..2).for_each(|h| t.told(6500, h, 3, 3, &[]));
    stream(&mut t, 6600, 9000, 5.0);
    let mut bad = Traces {
        state: t.state.clone(),
        hosts: t.hosts.clone(),
        attempts: t.attempts,
    };
    let v = t.check();
    // The hosts had not said that they have entry 2 when it was called settled.
    assert_eq!(
        broken(&v),
        [
            "entry 2 was called settled while h had said no more than 0 and may still follow that",
            "entry 2 was called settled while i had said no more than 0 and may still follow that"
        ]
    );
    stream(&mut bad, 9000, 12_000, 20.0);
    assert!(broken(&bad.check())
        .iter()
        .any(|b| b.contains("below its store")));
}

#[test]
fn a_version_declared_stable_too_early_is_found() {
    type Doctor = fn(&mut Traces);
    let cases: [(&str, Doctor, Option<&str>); 7] = [
        ("both said that they have it", |t| (0..2).for_each(|h| t.acknowledged(2500, h, 2)), None),
        (
            "one did not",
            |t| t.acknowledged(2500, 0, 2),
            Some("entry 2 was called settled while i had said no more than 1 and may still follow that"),
        ),
        (
            "one was cut off, and its lease is over",
            |t| {
                t.acknowledged(2500, 0, 2);
                t.state.retain(|r| r.at_ns < 1_500_000_000 || r.conn == 1);
                t.told(4600, 0, 2, 2, &[]);
            },
            None,
        ),
        (
            "the same, and it holds more than its part",
            |t| {
                t.acknowledged(2500, 0, 2);
                t.state.retain(|r| r.at_ns < 1_500_000_000 || r.conn == 1);
                t.told(4600, 0, 2, 2, &[]);
                for r in &mut t.state {
                    if let Some(Body::ConfigUpdate(f)) = r.frame.as_mut().and_then(|f| f.body.as_mut()) {
                        f.revisions.iter_mut().filter(|e| e.version == 2).for_each(|e| e.changes = vec![plan(3.0, 1.0, 20.0)]);
                    }
                }
            },
            Some("entry 2 was called settled while i is cut off with entry 1, and more of volume 5 than is its part"),
        ),
        (
            "the same, and an operator answers for it",
            |t| {
                t.acknowledged(2500, 0, 2);
                t.state.retain(|r| r.at_ns < 1_500_000_000 || r.conn == 1);
                t.gone(3000, "i");
                t.told(4600, 0, 2, 2, &[]);
            },
            None,
        ),
        (
            "it asked again after that",
            |t| {
                t.acknowledged(2500, 0, 2);
                t.gone(2600, "i");
                t.acknowledged(2700, 1, 1);
            },
            Some("entry 2 was called settled while i had said no more than 1 and may still follow that"),
        ),
        ("nothing is called settled", |t| t.state.retain(|r| r.at_ns < 2_900_000_000), None),
    ];
    for (what, doctor, expected) in cases {
        let mut t = Traces::new();
        (0..2).for_each(|h| t.acknowledged(1000, h, 1));
        (0..2).for_each(|h| t.told(2000, h, 2, 1, &[plan(8.0, 4.0, 20.0)]));
        t.told(3000, 0, 2, 2, &[]);
        doctor(&mut t);
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
            broken(&t.check()).first().map(String::as_str),
            expected,
            "{what}"
        );
    }
}
