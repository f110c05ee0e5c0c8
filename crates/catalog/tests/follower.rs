//! A host's side of the feed, case by case.

mod common;

use common::{limited, ms, through as volume};
use grebecleat_catalog::catalog::*;
use grebecleat_catalog::change::*;
use grebecleat_catalog::feed::Quota;
use grebecleat_catalog::follower::*;
use grebecleat_catalog::leader::{for_host, CallId, Epoch};
use grebecleat_catalog::records::*;
use std::time::Duration;

fn facts() -> Deployment {
    Deployment {
        hosts: ["h1", "h2", "h3"].map(Name::from).into(),
        max_dispatch_delay: ms(100),
    }
}

/// A plan with a reservation of 3.
fn plan(name: &str, limit: f64) -> Change {
    limited(name, limit, 3.0, limit)
}

/// A leader that responds at once, and a host that polls it.
struct Rig {
    leader: Catalog,
    host: Follower,
    now: Duration,
    call: Option<(CallId, Version)>,
    requests: Vec<PersistRequest>,
    acknowledged: Vec<u64>,
    announced: Vec<(u64, Option<Terms>)>,
    notes: Vec<String>,
}

impl Rig {
    fn new() -> Rig {
        let start = InitialState {
            catalog: Follower::empty_catalog(facts()),
            ..InitialState::default()
        };
        let mut rig = Rig {
            leader: Catalog::new(facts(), 100),
            host: Follower::new("h3".into(), start, ms(100)),
            now: ms(1000),
            call: None,
            requests: Vec::new(),
            acknowledged: Vec::new(),
            announced: Vec::new(),
            notes: Vec::new(),
        };
        rig.land(vec![
            plan("free", 0.0),
            plan("twelve", 12.0),
            plan("six", 6.0),
        ]);
        rig.step(vec![Event::Up]);
        rig
    }

    fn land(&mut self, changes: Vec<Change>) {
        let revision = self
            .leader
            .propose(self.leader.version(), ChangeContext::default(), changes)
            .expect("in order");
        self.leader.apply(revision).expect("the next");
    }

    fn step(&mut self, events: Vec<Event>) {
        for action in self.host.step(self.now, events) {
            match action {
                Action::Poll { call, applied, .. } => self.call = Some((call, applied)),
                Action::Acknowledge { applied, .. } => self.acknowledged.push(applied.0),
                Action::Persist(request) => self.requests.push(request),
                Action::Volume { id, terms } => self.announced.push((id, terms)),
                Action::Plan { .. } => {}
                Action::Note { text } => self.notes.push(text),
            }
        }
    }

    /// The leader responds with all revisions and the stable version.
    fn grant(&mut self, stable: u64) {
        let (call, applied) = self.call.take().expect("it asks");
        let (stable, me) = (Version(stable), Name::from("h3"));
        let revisions = self.leader.since(applied).expect("all are there");
        let revisions = revisions
            .map(|e| for_host(&self.leader, stable, e, &me))
            .collect();
        let (version, lease, update) = (
            self.leader.version(),
            ms(3000),
            Update::Revisions(revisions),
        );
        self.step(vec![Event::Granted {
            call,
            epoch: Epoch(1),
            version,
            stable,
            lease,
            update,
        }]);
    }

    fn persist(&mut self) {
        for number in std::mem::take(&mut self.requests)
            .iter()
            .map(|request| request.number)
        {
            self.step(vec![Event::Persisted { number }]);
        }
    }

    fn quota(&self, id: u64) -> Option<Quota> {
        let last = self
            .announced
            .iter()
            .rev()
            .find(|t| t.0 == id)
            .and_then(|t| t.1.clone());
        last.expect("told of it").quota
    }
}

fn rate(quota: Option<Quota>) -> Option<f64> {
    quota.map(|p| p.rate)
}

/// A volume moved to another host, was changed there, and returned. The host did not follow the
/// versions in between, and must take them into account as long as others may follow them.
#[test]
fn a_returning_volume_is_limited_by_its_versions_in_between() {
    let mut rig = Rig::new();
    rig.land(vec![volume(1, "free", &["h3"])]);
    rig.grant(2);
    assert_eq!(rig.quota(1), None);
    rig.land(vec![volume(1, "free", &["h1"])]); // 3
    rig.land(vec![volume(1, "twelve", &["h1"])]); // 4
    rig.land(vec![volume(1, "free", &["h1"])]); // 5
    rig.land(vec![volume(1, "free", &["h3"])]); // 6
    rig.grant(2);
    assert_eq!(
        rate(rig.quota(1)),
        Some(0.0),
        "who follows 4 sends all that the limit allows"
    );
    rig.land(vec![plan("other", 0.0)]);
    rig.grant(4);
    assert_eq!(rate(rig.quota(1)), Some(0.0));
    rig.grant(5);
    assert_eq!(rig.quota(1), None);
}

#[test]
fn a_lower_limit_applies_at_once_a_higher_one_when_stable_and_the_reservation_without_a_lease() {
    let mut rig = Rig::new();
    rig.land(vec![volume(1, "twelve", &["h1", "h3"])]);
    rig.grant(2);
    assert_eq!(rate(rig.quota(1)), Some(6.0));
    rig.land(vec![volume(1, "six", &["h1", "h3"])]);
    rig.grant(2);
    assert_eq!(rate(rig.quota(1)), Some(3.0));
    rig.land(vec![plan("six", 24.0)]);
    rig.grant(3);
    assert_eq!(rate(rig.quota(1)), Some(3.0));
    rig.grant(4);
    assert_eq!(rate(rig.quota(1)), Some(12.0));
    rig.persist();
    assert_eq!(
        rig.host.wake_at(),
        Some(ms(1100)),
        "to say that nothing older crosses any more"
    );
    rig.now = ms(4000);
    rig.step(vec![]);
    assert_eq!(rate(rig.quota(1)), Some(1.5));
    assert!(rig.notes[0].contains("lease"), "{:?}", rig.notes);
    rig.grant(4);
    assert_eq!(rate(rig.quota(1)), Some(12.0));
}

#[test]
fn a_version_is_acknowledged_once_persisted_and_earlier_decisions_are_sent() {
    let mut rig = Rig::new();
    rig.land(vec![volume(1, "twelve", &["h3"])]);
    rig.grant(0);
    rig.now += ms(150);
    rig.step(vec![]);
    assert_eq!(rig.acknowledged, [], "not kept yet");
    rig.persist();
    assert_eq!(rig.acknowledged, [2]);
    rig.land(vec![volume(1, "six", &["h3"])]);
    rig.grant(2);
    rig.persist();
    assert_eq!(
        rig.acknowledged,
        [2],
        "what was decided before may still cross"
    );
    rig.now += ms(100);
    rig.step(vec![]);
    assert_eq!(rig.acknowledged, [2, 3]);
    // The disk fails: the host follows the version, and does not acknowledge it.
    rig.land(vec![volume(1, "twelve", &["h3"])]);
    rig.grant(3);
    rig.step(vec![Event::PersistFailed {
        reason: "full".into(),
    }]);
    rig.now += ms(200);
    rig.step(vec![]);
    assert_eq!(
        (rig.acknowledged.clone(), rate(rig.quota(1))),
        (vec![2, 3], Some(6.0))
    );
    rig.now += ms(1000);
    rig.requests.clear();
    rig.step(vec![]);
    assert!(
        rig.requests[0].snapshot,
        "of what was on its way nobody knows how much arrived"
    );
    rig.persist();
    assert_eq!(rig.acknowledged, [2, 3, 4]);
}

#[test]
fn an_update_with_a_gap_is_not_applied() {
    let mut rig = Rig::new();
    rig.grant(0);
    rig.land(vec![volume(1, "six", &["h3"])]);
    rig.land(vec![volume(2, "six", &["h3"])]);
    let (call, _) = rig.call.take().unwrap();
    let last = rig.leader.audit_log().last().unwrap().clone();
    let (version, stable, lease) = (Version(3), Version(3), ms(3000));
    rig.step(vec![Event::Granted {
        call,
        epoch: Epoch(1),
        version,
        stable,
        lease,
        update: Update::Revisions(vec![last]),
    }]);
    assert_eq!(
        (rig.host.catalog().version(), rig.announced.len()),
        (Version(1), 0)
    );
    assert!(
        rig.call.is_none() && rig.notes.last().unwrap().contains("does not lead"),
        "{:?}",
        rig.notes
    );
    rig.now += ms(1000);
    rig.step(vec![]);
    rig.grant(1);
    assert_eq!(rig.host.catalog().version(), Version(3));
    // An answer to an unknown or former poll is ignored.
    rig.step(vec![Event::Granted {
        call: CallId(999),
        epoch: Epoch(1),
        version,
        stable,
        lease,
        update: Update::Revisions(vec![]),
    }]);
    assert_eq!(rig.host.follower_lease().stable, Version(1));
}
