//! A host that follows a state service: what it serves before it was told, and as it is told more.

mod common;

use common::{ms, Rig};
use grebecleat_catalog::follower::{Follower, InitialState};
use grebecleat_catalog::leader::Epoch;
use grebecleat_catalog::records::Version;
use grebecleat_catalog_service::declared_config::deployment;
use grebecleat_host::router::Input;
use grebecleat_wire::pb::{self, frame::Body, Outcome};

const VOLUME: &str = "volume 5 plan=p hosts=h cells=1 blocks=64";

#[test]
fn nothing_is_served_before_it_was_told_and_what_is_retired_no_more() {
    let mut r = Rig::following("");
    r.take(1, 0);
    assert_eq!(
        r.finals(),
        [(1, Outcome::Rejected)],
        "it may be told of it in a moment"
    );
    r.told(&["plan p rate=1000 reservation=1000", VOLUME], 1);
    r.take(2, 0);
    let conn = r.connect();
    let out = r.attempts(conn);
    assert_eq!((out.len(), out[0].plan_rate), (1, 1000.0));
    // Retired with one attempt out and one held: what is out has its answer when it comes.
    (3..60).for_each(|n| r.take(n, 1));
    r.cross(conn);
    r.told(&["volume 5 retire"], 2);
    let told = r.finals();
    assert!(
        !told.is_empty() && told.iter().all(|(n, o)| *n > 2 && *o == Outcome::Rejected),
        "{told:?}"
    );
    r.node_answers(conn, out[0].attempt, pb::Result::Ok);
    assert_eq!(r.finals(), [(2, Outcome::Completed)]);
    r.take(99, 0);
    assert_eq!(
        r.finals(),
        [(99, Outcome::Failed)],
        "there is nothing to come back for"
    );
}

#[test]
fn a_volume_that_works_through_others_is_sent_elsewhere() {
    let mut r = Rig::following("host(name = \"i\")");
    r.told(
        &[
            "plan p rate=10",
            "volume 5 plan=p hosts=h,i cells=1 blocks=64",
        ],
        1,
    );
    r.told(&["volume 5 hosts=i"], 1);
    r.take(1, 0);
    assert_eq!(r.finals(), [(1, Outcome::Rejected)]);
    r.told(&["volume 5 hosts=h"], 3);
    r.take(2, 0);
    let conn = r.connect();
    assert_eq!(r.attempts(conn).len(), 1);
}

/// A limit that is lowered holds for what is already held; raised, it waits until that is settled.
#[test]
fn a_limit_follows_what_it_is_told() {
    let mut r = Rig::following("host(name = \"i\")");
    let limited =
        |limit: u32| format!("plan p rate=100 reservation=4 limit={limit} burst={limit} slack=100");
    r.told(
        &[&limited(40), "volume 5 plan=p hosts=h,i cells=1 blocks=64"],
        1,
    );
    r.take(1, 0);
    // Its part fills from nothing: 20 a second.
    r.wait(ms(100));
    let conn = r.connect();
    assert_eq!(r.attempts(conn).len(), 1);
    let attempts = |r: &mut Rig, from: u8, span: u64| {
        (from..from + 40).for_each(|n| r.take(n, 0));
        let mut sent = 0;
        for _ in 0..span / 20 {
            r.wait(ms(20));
            let out = r.attempts(conn);
            sent += out.len();
            out.iter()
                .for_each(|l| r.node_answers(conn, l.attempt, pb::Result::Ok));
        }
        r.finals();
        sent
    };
    let at_forty = attempts(&mut r, 10, 1000);
    assert!((15..=22).contains(&at_forty), "{at_forty}");
    r.told(&[&limited(8)], 1);
    let at_eight = attempts(&mut r, 60, 1000);
    assert!((3..=8).contains(&at_eight), "{at_eight}");
    r.told(&[&limited(60)], 2);
    let unsettled = attempts(&mut r, 110, 1000);
    assert!(unsettled <= 5, "{unsettled}");
    r.told(&["plan other rate=1"], 4);
    let at_sixty = attempts(&mut r, 160, 1000);
    assert!(at_sixty >= 25, "{at_sixty}");
    // Cut off until its lease is over: the part of the reservation, 2 a second.
    r.feed(vec![Input::StateServiceGone {
        conn: r.state.unwrap(),
    }]);
    r.wait(ms(3000));
    r.finals();
    attempts(&mut r, 10, 1000); // what its part of the burst still held
    let alone = attempts(&mut r, 60, 1000);
    assert!(alone <= 4, "{alone}");
    assert!(r.has_logged("lease"), "{:?}", r.log);
}

/// The feed stands still for a minute, on a connection that stays up, and then forty versions come
/// in one answer: while it stands the host keeps to its part of the reservation, and then to the
/// least that any of them says.
#[test]
fn a_feed_that_stands_still_for_a_minute_and_then_brings_forty_versions() {
    let mut r = Rig::following("host(name = \"i\")");
    let limited =
        |limit: u32| format!("plan p rate=100 reservation=4 limit={limit} burst={limit} slack=100");
    r.told(
        &[&limited(40), "volume 5 plan=p hosts=h,i cells=1 blocks=64"],
        1,
    );
    r.take(1, 0);
    r.wait(ms(100));
    let conn = r.connect();
    let attempts = |r: &mut Rig, span: u64| {
        let mut sent = 0;
        for n in 0..span / 20 {
            (n % 25 == 0).then(|| (10..50).for_each(|n| r.take(n, 0)));
            r.wait(ms(20));
            let out = r.attempts(conn);
            sent += out.len();
            out.iter()
                .for_each(|l| r.node_answers(conn, l.attempt, pb::Result::Ok));
            // What is held gives its number free for the next ones.
            if n % 25 == 24 {
                (10..50).for_each(|n| r.withdraw(n));
            }
        }
        r.finals();
        sent
    };
    attempts(&mut r, 4000);
    let standing = attempts(&mut r, 56_000);
    assert!(
        (90..=130).contains(&standing),
        "{standing}: its part of the reservation is 2 a second"
    );
    let versions: Vec<String> = (0..40)
        .map(|n| limited(if n == 20 { 12 } else { 41 + n }))
        .collect();
    let versions: Vec<[&str; 1]> = versions.iter().map(|v| [v.as_str()]).collect();
    r.told_all(&versions.iter().map(|v| &v[..]).collect::<Vec<_>>(), 1);
    let terms = r.router.follower().catalog().plan("p").map(|p| p.limit);
    assert_eq!(terms, Some(80.0));
    let unsettled = attempts(&mut r, 2000);
    assert!(
        (8..=18).contains(&unsettled),
        "{unsettled}: one of them said 12, and somebody may follow it"
    );
    // The same connection, now with an answer that says that all of them are over.
    r.told(&["plan other rate=1"], 41);
    let stable = attempts(&mut r, 2000);
    assert!(stable >= 30, "{stable}");
}

/// A drain that somebody asks for: nothing new crosses, what lies in a send buffer does not, and
/// the service hears what is still under way. What the list says of it meanwhile changes nothing,
/// nor does a restart with what was kept.
#[test]
fn a_node_that_somebody_wants_empty() {
    let mut r = Rig::following("");
    r.told(
        &["node 1 zone=a", "plan p rate=1000 reservation=1000", VOLUME],
        1,
    );
    r.take(1, 0);
    let conn = r.connect();
    let out = r.attempts(conn);
    r.take(2, 0); // decided, and not yet written
    r.told(&["drain 1 queued"], 2);
    r.take(3, 0);
    r.told(&["drain 1"], 3);
    assert!(
        r.attempts(conn).is_empty(),
        "what was decided before it was told does not cross"
    );
    r.take(4, 0);
    assert_eq!(
        r.finals(),
        [
            (2, Outcome::Rejected),
            (3, Outcome::Rejected),
            (4, Outcome::Rejected)
        ]
    );
    // The list tells of it anew, and of a restart: it stays as it is.
    r.listed(&[(1, pb::NodeState::Gone)]);
    r.listed(&[(1, pb::NodeState::Ready), (2, pb::NodeState::Ready)]);
    r.take(5, 0);
    assert_eq!(r.finals(), [(5, Outcome::Rejected)]);
    let sights = |r: &mut Rig| {
        r.wait(ms(60));
        let told = r.cross(r.state.unwrap()).into_iter();
        let told = told.filter_map(|b| {
            if let Body::NodeObservations(s) = b {
                Some(s.nodes)
            } else {
                None
            }
        });
        let told = told.flatten().filter(|n| n.node == 1);
        told.map(|n| (n.follows, n.attempts, n.unsure_us > 0))
            .collect::<Vec<_>>()
    };
    assert_eq!(sights(&mut r).last(), Some(&(3, 1, false)));
    // It never answers: for as long as a request may take, nobody knows whether it runs.
    r.wait(ms(2000));
    assert_eq!(sights(&mut r).last(), Some(&(3, 0, true)));
    assert!(r.attempts(conn).iter().all(|l| l.attempt == out[0].attempt));
    r.wait(ms(2000));
    assert_eq!(sights(&mut r).last(), Some(&(3, 0, false)));
    r.told(&["undrain 1"], 4);
    r.wait(ms(500)); // all hosts hear of it at one moment, and each waits for a moment of its own
    r.take(6, 0);
    assert_eq!(r.attempts(conn).len(), 1);
}

#[test]
fn a_host_that_starts_with_what_it_kept_of_a_drain_sends_nothing() {
    let mut r = Rig::following("");
    r.told(
        &[
            "node 1 zone=a",
            "plan p rate=1000 reservation=1000",
            VOLUME,
            "drain 1",
        ],
        1,
    );
    let catalog = r.router.follower().catalog();
    let kept = Follower::empty_catalog(deployment(r.router.settings())).restored(
        catalog.version(),
        catalog.state(),
        vec![],
    );
    let start = InitialState {
        catalog: kept,
        stable: Version(1),
        epoch: Epoch(1),
    };
    let mut r = Rig::started("", start);
    r.take(1, 0);
    assert_eq!(
        (r.finals(), r.dialled.len()),
        (vec![(1, Outcome::Rejected)], 0)
    );
}

/// An answer that makes no sense ends the connection, and the host goes on as it was.
#[test]
fn a_service_that_makes_no_sense_is_hung_up_on() {
    let mut r = Rig::following("");
    r.told(&["plan p rate=1000 reservation=1000", VOLUME], 1);
    let (ask, conn) = (r.asks(), r.state.unwrap());
    let entry = pb::Revision {
        version: 2,
        from: 9,
        ..Default::default()
    };
    let feed = pb::ConfigUpdate {
        call: ask.call,
        epoch: 1,
        version: 2,
        revisions: vec![entry],
        ..Default::default()
    };
    let frames = vec![pb::Frame {
        sent_us: 0,
        body: Some(Body::ConfigUpdate(feed)),
    }];
    r.feed(vec![Input::StateServiceFrames { conn, frames }]);
    assert!(
        r.boxes[&conn].is_closed() && r.has_logged("no change"),
        "{:?}",
        r.log
    );
    r.take(1, 0);
    let node = r.connect();
    assert_eq!(r.attempts(node).len(), 1);
    // It dials again after a while, and by itself no sooner.
    let first = r.state;
    r.wait(ms(2000));
    assert_ne!(r.state, first);
}

/// Answers come in parts: half of one is nothing.
#[test]
fn an_answer_in_parts_counts_when_it_is_whole() {
    let mut r = Rig::following("");
    let (ask, conn) = (r.asks(), r.state.unwrap());
    let subject = |id| Some(pb::change::Subject::Volume(id));
    let facts = pb::VolumeConfig {
        plan: "p".into(),
        hosts: vec!["h".into()],
        shards: vec![1],
        blocks: 64,
    };
    let volume = |id| pb::Change {
        subject: subject(id),
        to: Some(pb::change::To::VolumeTo(facts.clone())),
    };
    let plan = pb::Change {
        subject: Some(pb::change::Subject::Plan("p".into())),
        to: Some(pb::change::To::PlanTo(pb::PlanConfig {
            rate: 9.0,
            reservation: 9.0,
            ..Default::default()
        })),
    };
    let part = |state: Vec<pb::Change>, more| {
        let (call, epoch, version, stable, lease_us) = (ask.call, 3, 7, 7, 1_000_000);
        let feed = pb::ConfigUpdate {
            call,
            epoch,
            version,
            stable,
            lease_us,
            snapshot: true,
            at: 7,
            state,
            more,
            ..Default::default()
        };
        vec![pb::Frame {
            sent_us: 0,
            body: Some(Body::ConfigUpdate(feed)),
        }]
    };
    r.feed(vec![Input::StateServiceFrames {
        conn,
        frames: part(vec![plan, volume(5)], true),
    }]);
    r.take(1, 0);
    assert_eq!(r.finals(), [(1, Outcome::Rejected)]);
    r.feed(vec![Input::StateServiceFrames {
        conn,
        frames: part(vec![volume(6)], false),
    }]);
    assert_eq!(r.router.follower().catalog().volumes().count(), 2);
    r.take(2, 0);
    let node = r.connect();
    assert_eq!(r.attempts(node).len(), 1);
}

/// A service that takes connections and ends them unanswered is dialled ever more seldom.
#[test]
fn a_state_service_that_accepts_and_hangs_up_is_dialled_ever_more_seldom() {
    let mut r = Rig::following("");
    let mut waits = Vec::new();
    for _ in 0..7 {
        let conn = r.state.unwrap();
        let outbox = r.outbox(conn);
        r.feed(vec![Input::StateServiceUp { conn, outbox }]);
        r.asks();
        r.feed(vec![Input::StateServiceGone { conn }]);
        let gone = r.now;
        while r.state == Some(conn) {
            r.wait(ms(10));
        }
        waits.push(r.now - gone);
    }
    assert!(waits[0] <= ms(200), "{waits:?}");
    assert!(waits[5] >= ms(1000) && waits[6] >= ms(1000), "{waits:?}");
}
