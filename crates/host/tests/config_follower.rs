//! Tests of a host that follows a state service, which publishes plans, volumes, limits and drains.

mod common;

use common::{ms, Rig};
use grebecleat_catalog::follower::{Follower, InitialState};
use grebecleat_catalog::leader::Epoch;
use grebecleat_catalog::records::Version;
use grebecleat_catalog_service::declared_config::deployment;
use grebecleat_host::router::{ConnId, Input};
use grebecleat_wire::pb::{self, frame::Body, Outcome};

const PLAN: &str = "plan p rate=1000 reservation=1000";
const VOLUME: &str = "volume 5 plan=p hosts=h cells=1 blocks=64";

fn limited_plan(limit: u32) -> String {
    format!("plan p rate=100 reservation=4 limit={limit} burst={limit} slack=100")
}

/// Returns a host that shares a volume and its limit with another host, and a connection to a node for
/// which one attempt waits. The bucket of the host's half of the limit starts empty.
fn rig_with_shared_limit(limit: u32) -> (Rig, ConnId) {
    let mut rig = Rig::following("host(name = \"i\")");
    let volume = "volume 5 plan=p hosts=h,i cells=1 blocks=64";
    rig.publish(&[&limited_plan(limit), volume], 1);
    rig.submit(1, 0);
    rig.advance(ms(100));
    let conn = rig.connect();
    (rig, conn)
}

/// Advances the clock by 20 ms, answers the attempts that were written, and returns their number.
fn serve_20_ms(rig: &mut Rig, conn: ConnId) -> usize {
    rig.advance(ms(20));
    let attempts = rig.attempts(conn);
    for attempt in &attempts {
        rig.respond(conn, attempt.attempt, pb::Result::Ok);
    }
    attempts.len()
}

/// Submits 40 requests, and returns how many are sent to the node within a second.
fn sent_within_a_second(rig: &mut Rig, conn: ConnId, first: u8) -> usize {
    (first..first + 40).for_each(|n| rig.submit(n, 0));
    let sent = (0..50).map(|_| serve_20_ms(rig, conn)).sum();
    rig.outcomes();
    sent
}

/// Submits 40 requests every 500 ms and cancels those that remain, for `span_ms`. Returns how many are
/// sent to the node.
fn sent_within(rig: &mut Rig, conn: ConnId, span_ms: u64) -> usize {
    let mut sent = 0;
    for n in 0..span_ms / 20 {
        if n % 25 == 0 {
            (10..50).for_each(|n| rig.submit(n, 0));
        }
        sent += serve_20_ms(rig, conn);
        // A cancelled request frees its id for the next round.
        if n % 25 == 24 {
            (10..50).for_each(|n| rig.cancel(n));
        }
    }
    rig.outcomes();
    sent
}

/// Returns the reports about node 1 since the last call: the version that the host has applied, the
/// number of its outstanding attempts, and whether an attempt without a response may still run.
fn reports_about_node_1(rig: &mut Rig) -> Vec<(u64, u32, bool)> {
    rig.advance(ms(60));
    let conn = rig.state_service.expect("dialled");
    let written = rig.written(conn).into_iter();
    let reports = written.filter_map(|body| match body {
        Body::NodeObservations(report) => Some(report.nodes),
        _ => None,
    });
    let rows = reports.flatten().filter(|row| row.node == 1);
    rows.map(|row| (row.follows, row.attempts, row.unsure_us > 0))
        .collect()
}

#[test]
fn a_volume_is_served_from_its_publication_to_its_retirement() {
    let mut rig = Rig::following("");
    rig.submit(1, 0);
    assert_eq!(
        rig.outcomes(),
        [(1, Outcome::Rejected)],
        "retryable, because the volume may be published soon"
    );
    rig.publish(&[PLAN, VOLUME], 1);
    rig.submit(2, 0);
    let conn = rig.connect();
    let written = rig.attempts(conn);
    assert_eq!((written.len(), written[0].plan_rate), (1, 1000.0));
    // The volume is retired while one attempt is written and others are queued. The response to the
    // written one still reaches the client.
    (3..60).for_each(|n| rig.submit(n, 1));
    rig.written(conn);
    rig.publish(&["volume 5 retire"], 2);
    let outcomes = rig.outcomes();
    let queued_and_rejected =
        |(n, outcome): &(u8, Outcome)| *n > 2 && *outcome == Outcome::Rejected;
    assert!(
        !outcomes.is_empty() && outcomes.iter().all(queued_and_rejected),
        "{outcomes:?}"
    );
    rig.respond(conn, written[0].attempt, pb::Result::Ok);
    assert_eq!(rig.outcomes(), [(2, Outcome::Completed)]);
    rig.submit(99, 0);
    assert_eq!(
        rig.outcomes(),
        [(99, Outcome::Failed)],
        "not retryable, because the volume no longer exists"
    );
}

#[test]
fn requests_of_a_volume_of_other_hosts_are_rejected() {
    let mut rig = Rig::following("host(name = \"i\")");
    rig.publish(
        &[
            "plan p rate=10",
            "volume 5 plan=p hosts=h,i cells=1 blocks=64",
        ],
        1,
    );
    rig.publish(&["volume 5 hosts=i"], 1);
    rig.submit(1, 0);
    assert_eq!(rig.outcomes(), [(1, Outcome::Rejected)]);
    rig.publish(&["volume 5 hosts=h"], 3);
    rig.submit(2, 0);
    let conn = rig.connect();
    assert_eq!(rig.attempts(conn).len(), 1);
}

/// A lowered limit also applies to queued requests. A raised limit applies once its revision is stable.
#[test]
fn a_limit_is_lowered_at_once_and_raised_once_stable() {
    // The host's half of the limit is 20 units a second.
    let (mut rig, conn) = rig_with_shared_limit(40);
    assert_eq!(rig.attempts(conn).len(), 1);
    let at_forty = sent_within_a_second(&mut rig, conn, 10);
    assert!((15..=22).contains(&at_forty), "{at_forty}");
    rig.publish(&[&limited_plan(8)], 1);
    let at_eight = sent_within_a_second(&mut rig, conn, 60);
    assert!((3..=8).contains(&at_eight), "{at_eight}");
    rig.publish(&[&limited_plan(60)], 2);
    let unstable = sent_within_a_second(&mut rig, conn, 110);
    assert!(unstable <= 5, "{unstable}");
    rig.publish(&["plan other rate=1"], 4);
    let at_sixty = sent_within_a_second(&mut rig, conn, 160);
    assert!(at_sixty >= 25, "{at_sixty}");
    // After its lease has expired without a connection, the host uses its share of the reservation, 2
    // units a second.
    rig.step(vec![Input::StateServiceGone {
        conn: rig.state_service.expect("dialled"),
    }]);
    rig.advance(ms(3000));
    rig.outcomes();
    sent_within_a_second(&mut rig, conn, 10); // uses up the rest of the burst
    let alone = sent_within_a_second(&mut rig, conn, 60);
    assert!(alone <= 4, "{alone}");
    assert!(rig.has_logged("lease"), "{:?}", rig.log);
}

/// The connection stays open, but no response arrives for a minute; then one arrives with forty
/// revisions. The host must use its share of the reservation during the minute, and then the lowest of
/// the forty limits until all revisions are stable.
#[test]
fn after_a_minute_without_updates_the_lowest_of_forty_limits_holds_until_stable() {
    let (mut rig, conn) = rig_with_shared_limit(40);
    sent_within(&mut rig, conn, 4000);
    let without_updates = sent_within(&mut rig, conn, 56_000);
    assert!(
        (90..=130).contains(&without_updates),
        "{without_updates} sent; its share of the reservation is 2 a second"
    );
    let limits = (0..40).map(|n| if n == 20 { 12 } else { 41 + n });
    let plans: Vec<String> = limits.map(limited_plan).collect();
    let revisions: Vec<[&str; 1]> = plans.iter().map(|plan| [plan.as_str()]).collect();
    let revisions: Vec<&[&str]> = revisions.iter().map(|changes| &changes[..]).collect();
    rig.publish_revisions(&revisions, 1);
    let plan = rig.router.follower().catalog().plan("p");
    assert_eq!(plan.map(|plan| plan.limit), Some(80.0));
    let unstable = sent_within(&mut rig, conn, 2000);
    assert!(
        (8..=18).contains(&unstable),
        "{unstable} sent; the lowest limit is 12, and the other host may still use it"
    );
    // On the same connection, a response reports all revisions as stable.
    rig.publish(&["plan other rate=1"], 41);
    let stable = sent_within(&mut rig, conn, 2000);
    assert!(stable >= 30, "{stable}");
}

/// After an operator drains a node, no new attempt is written, queued attempts are revoked, and the host
/// reports the attempts that still run. Neither a change of the endpoint list nor a restart of the node
/// ends the drain.
#[test]
fn a_drained_node_receives_no_attempts_and_its_progress_is_reported() {
    let mut rig = Rig::following("");
    rig.publish(&["node 1 zone=a", PLAN, VOLUME], 1);
    rig.submit(1, 0);
    let conn = rig.connect();
    let written = rig.attempts(conn);
    rig.submit(2, 0); // its attempt waits in the outbox
    rig.publish(&["drain 1 queued"], 2);
    rig.submit(3, 0);
    rig.publish(&["drain 1"], 3);
    assert!(
        rig.attempts(conn).is_empty(),
        "a queued attempt is revoked by the drain"
    );
    rig.submit(4, 0);
    assert_eq!(
        rig.outcomes(),
        [
            (2, Outcome::Rejected),
            (3, Outcome::Rejected),
            (4, Outcome::Rejected)
        ]
    );
    // The endpoint list reports the node as gone and then as ready again; the drain stays in force.
    rig.list_endpoints(&[(1, pb::NodeState::Gone)]);
    rig.list_endpoints(&[(1, pb::NodeState::Ready), (2, pb::NodeState::Ready)]);
    rig.submit(5, 0);
    assert_eq!(rig.outcomes(), [(5, Outcome::Rejected)]);
    assert_eq!(reports_about_node_1(&mut rig).last(), Some(&(3, 1, false)));
    // The node never responds. The attempt may still run after its request has expired.
    rig.advance(ms(2000));
    assert_eq!(reports_about_node_1(&mut rig).last(), Some(&(3, 0, true)));
    assert!(rig
        .attempts(conn)
        .iter()
        .all(|other| other.attempt == written[0].attempt));
    rig.advance(ms(2000));
    assert_eq!(reports_about_node_1(&mut rig).last(), Some(&(3, 0, false)));
    rig.publish(&["undrain 1"], 4);
    rig.advance(ms(500)); // each host adds a jitter, because all receive the end of the drain at once
    rig.submit(6, 0);
    assert_eq!(rig.attempts(conn).len(), 1);
}

#[test]
fn a_persisted_drain_holds_after_a_restart() {
    let mut rig = Rig::following("");
    rig.publish(&["node 1 zone=a", PLAN, VOLUME, "drain 1"], 1);
    let catalog = rig.router.follower().catalog();
    let persisted = Follower::empty_catalog(deployment(rig.router.settings())).restored(
        catalog.version(),
        catalog.state(),
        vec![],
    );
    let start = InitialState {
        catalog: persisted,
        stable: Version(1),
        epoch: Epoch(1),
    };
    let mut rig = Rig::following_from("", start);
    rig.submit(1, 0);
    assert_eq!(
        (rig.outcomes(), rig.dials.len()),
        (vec![(1, Outcome::Rejected)], 0)
    );
}

/// A response that violates the protocol must end the connection and not affect the service.
#[test]
fn a_state_service_that_violates_the_protocol_is_disconnected() {
    let mut rig = Rig::following("");
    rig.publish(&[PLAN, VOLUME], 1);
    let poll = rig.poll();
    let conn = rig.state_service.expect("dialled");
    let malformed = pb::Revision {
        version: 2,
        from: 9,
        ..Default::default()
    };
    rig.state_service_sends(pb::ConfigUpdate {
        call: poll.call,
        epoch: 1,
        version: 2,
        revisions: vec![malformed],
        ..Default::default()
    });
    assert!(
        rig.is_closed(conn)
            && rig.has_logged("invalid entry 2: expected a base version below 2, found 9"),
        "{:?}",
        rig.log
    );
    rig.submit(1, 0);
    let node = rig.connect();
    assert_eq!(rig.attempts(node).len(), 1);
    // The host dials the state service again after the backoff.
    let first = rig.state_service;
    rig.advance(ms(2000));
    assert_ne!(rig.state_service, first);
}

/// A response may arrive in parts. An incomplete response must change nothing.
#[test]
fn a_response_in_parts_is_applied_when_it_is_complete() {
    let mut rig = Rig::following("");
    let poll = rig.poll();
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
    let part = |state: Vec<pb::Change>, more| pb::ConfigUpdate {
        call: poll.call,
        epoch: 3,
        version: 7,
        stable: 7,
        lease_us: 1_000_000,
        snapshot: true,
        at: 7,
        state,
        more,
        ..Default::default()
    };
    rig.state_service_sends(part(vec![plan, volume(5)], true));
    rig.submit(1, 0);
    assert_eq!(rig.outcomes(), [(1, Outcome::Rejected)]);
    rig.state_service_sends(part(vec![volume(6)], false));
    assert_eq!(rig.router.follower().catalog().volumes().count(), 2);
    rig.submit(2, 0);
    let node = rig.connect();
    assert_eq!(rig.attempts(node).len(), 1);
}

/// A service that accepts connections and closes them without a response must be dialled with a growing
/// backoff, as if the dials had failed.
#[test]
fn a_state_service_that_accepts_and_closes_is_dialled_with_backoff() {
    let mut rig = Rig::following("");
    let mut waits = Vec::new();
    for _ in 0..7 {
        let conn = rig.state_service.expect("dialled");
        let outbox = rig.new_outbox(conn);
        rig.step(vec![Input::StateServiceUp { conn, outbox }]);
        rig.poll();
        rig.step(vec![Input::StateServiceGone { conn }]);
        let gone = rig.now;
        while rig.state_service == Some(conn) {
            rig.advance(ms(10));
        }
        waits.push(rig.now - gone);
    }
    assert!(waits[0] <= ms(200), "{waits:?}");
    assert!(waits[5] >= ms(1000) && waits[6] >= ms(1000), "{waits:?}");
}
