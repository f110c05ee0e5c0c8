//! Tests of a host's side of the catalog feed: quotas, acknowledgements and updates.

mod common;

use common::{limited, ms, volume_on_hosts as volume};
use grebecleat_catalog::catalog::*;
use grebecleat_catalog::change::*;
use grebecleat_catalog::feed::Quota;
use grebecleat_catalog::follower::*;
use grebecleat_catalog::leader::{filter_for_host, CallId, Epoch};
use grebecleat_catalog::records::*;
use std::time::Duration;

fn deployment() -> Deployment {
    Deployment {
        hosts: ["h1", "h2", "h3"].map(Name::from).into(),
        max_dispatch_delay: ms(100),
    }
}

/// A plan with a reservation of 3.
fn plan(name: &str, limit: f64) -> Change {
    limited(name, limit, 3.0, limit)
}

/// The leader's catalog, and a host whose polls are answered by `grant`.
struct Rig {
    leader: Catalog,
    host: Follower,
    now: Duration,
    poll_in_flight: Option<(CallId, Version)>,
    persist_requests: Vec<PersistRequest>,
    acknowledged: Vec<u64>,
    announced_terms: Vec<(u64, Option<Terms>)>,
    notes: Vec<String>,
}

impl Rig {
    fn new() -> Rig {
        let start = InitialState {
            catalog: Follower::empty_catalog(deployment()),
            ..InitialState::default()
        };
        let mut rig = Rig {
            leader: Catalog::new(deployment(), 100),
            host: Follower::new("h3".into(), start, ms(100)),
            now: ms(1000),
            poll_in_flight: None,
            persist_requests: Vec::new(),
            acknowledged: Vec::new(),
            announced_terms: Vec::new(),
            notes: Vec::new(),
        };
        rig.commit(vec![
            plan("free", 0.0),
            plan("twelve", 12.0),
            plan("six", 6.0),
        ]);
        rig.step(vec![Event::Up]);
        rig
    }

    fn commit(&mut self, changes: Vec<Change>) {
        let revision = self
            .leader
            .propose(self.leader.version(), ChangeContext::default(), changes)
            .expect("the change is valid");
        self.leader
            .apply(revision)
            .expect("the revision has the next version");
    }

    fn step(&mut self, events: Vec<Event>) {
        for action in self.host.step(self.now, events) {
            match action {
                Action::Poll { call, applied, .. } => self.poll_in_flight = Some((call, applied)),
                Action::Acknowledge { applied, .. } => self.acknowledged.push(applied.0),
                Action::Persist(request) => self.persist_requests.push(request),
                Action::Volume { id, terms } => self.announced_terms.push((id, terms)),
                Action::Plan { .. } => {}
                Action::Log { text } => self.notes.push(text),
            }
        }
    }

    /// Answers the host's poll with all revisions that it lacks and the given stable version.
    fn grant(&mut self, stable: u64) {
        let (call, applied) = self
            .poll_in_flight
            .take()
            .expect("the host has a poll in flight");
        let (stable, host_name) = (Version(stable), Name::from("h3"));
        let revisions = self
            .leader
            .since(applied)
            .expect("the audit log holds all revisions");
        let revisions = revisions
            .map(|e| filter_for_host(&self.leader, stable, e, &host_name))
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
        for number in std::mem::take(&mut self.persist_requests)
            .iter()
            .map(|request| request.number)
        {
            self.step(vec![Event::Persisted { number }]);
        }
    }

    fn quota(&self, id: u64) -> Option<Quota> {
        let last = self
            .announced_terms
            .iter()
            .rev()
            .find(|t| t.0 == id)
            .and_then(|t| t.1.clone());
        last.expect("the host announced terms of the volume").quota
    }
}

fn rate(quota: Option<Quota>) -> Option<f64> {
    quota.map(|p| p.rate)
}

/// A volume moves to another host, is given a limit there, and returns. The host has never applied the
/// versions in between, but must bound its quota by them as long as another host may still follow one of
/// them; otherwise both hosts together would exceed the limit.
#[test]
fn a_returning_volume_is_limited_by_its_versions_in_between() {
    let mut rig = Rig::new();
    rig.commit(vec![volume(1, "free", &["h3"])]);
    rig.grant(2);
    assert_eq!(rig.quota(1), None);
    rig.commit(vec![volume(1, "free", &["h1"])]); // version 3
    rig.commit(vec![volume(1, "twelve", &["h1"])]); // version 4
    rig.commit(vec![volume(1, "free", &["h1"])]); // version 5
    rig.commit(vec![volume(1, "free", &["h3"])]); // version 6
    rig.grant(2);
    assert_eq!(
        rate(rig.quota(1)),
        Some(0.0),
        "a host that follows version 4 may use the complete limit"
    );
    rig.commit(vec![plan("other", 0.0)]);
    rig.grant(4);
    assert_eq!(rate(rig.quota(1)), Some(0.0));
    rig.grant(5);
    assert_eq!(rig.quota(1), None);
}

#[test]
fn a_lower_limit_applies_at_once_a_higher_one_when_stable_and_the_reservation_without_a_lease() {
    let mut rig = Rig::new();
    rig.commit(vec![volume(1, "twelve", &["h1", "h3"])]);
    rig.grant(2);
    assert_eq!(rate(rig.quota(1)), Some(6.0));
    rig.commit(vec![volume(1, "six", &["h1", "h3"])]);
    rig.grant(2);
    assert_eq!(rate(rig.quota(1)), Some(3.0));
    rig.commit(vec![plan("six", 24.0)]);
    rig.grant(3);
    assert_eq!(rate(rig.quota(1)), Some(3.0));
    rig.grant(4);
    assert_eq!(rate(rig.quota(1)), Some(12.0));
    rig.persist();
    assert_eq!(
        rig.host.wake_at(),
        Some(ms(1100)),
        "the host acknowledges once requests of older versions can no longer be sent"
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
    rig.commit(vec![volume(1, "twelve", &["h3"])]);
    rig.grant(0);
    rig.now += ms(150);
    rig.step(vec![]);
    assert_eq!(rig.acknowledged, [], "the version is not persisted yet");
    rig.persist();
    assert_eq!(rig.acknowledged, [2]);
    rig.commit(vec![volume(1, "six", &["h3"])]);
    rig.grant(2);
    rig.persist();
    assert_eq!(
        rig.acknowledged,
        [2],
        "requests that were admitted under version 2 may still be sent"
    );
    rig.now += ms(100);
    rig.step(vec![]);
    assert_eq!(rig.acknowledged, [2, 3]);
    // A failed write: the host applies the version and does not acknowledge it.
    rig.commit(vec![volume(1, "twelve", &["h3"])]);
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
    rig.persist_requests.clear();
    rig.step(vec![]);
    assert!(
        rig.persist_requests[0].snapshot,
        "after a failed write, a snapshot replaces whatever part was written"
    );
    rig.persist();
    assert_eq!(rig.acknowledged, [2, 3, 4]);
}

#[test]
fn an_update_with_a_gap_is_not_applied() {
    let mut rig = Rig::new();
    rig.grant(0);
    rig.commit(vec![volume(1, "six", &["h3"])]);
    rig.commit(vec![volume(2, "six", &["h3"])]);
    let (call, _) = rig.poll_in_flight.take().unwrap();
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
        (rig.host.catalog().version(), rig.announced_terms.len()),
        (Version(1), 0)
    );
    assert!(
        rig.poll_in_flight.is_none() && rig.notes.last().unwrap().contains("does not lead"),
        "{:?}",
        rig.notes
    );
    rig.now += ms(1000);
    rig.step(vec![]);
    rig.grant(1);
    assert_eq!(rig.host.catalog().version(), Version(3));
    // A response to an unknown or earlier poll is ignored.
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
