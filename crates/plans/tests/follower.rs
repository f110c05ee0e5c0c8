//! A host's side of the feed, case by case.

use grebecleat_plans::changes::*;
use grebecleat_plans::feed::Quota;
use grebecleat_plans::follower::*;
use grebecleat_plans::leader::{for_host, CallId, Epoch};
use std::time::Duration;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn facts() -> Deployment {
    Deployment {
        hosts: ["h1", "h2", "h3"].map(Name::from).into(),
        max_dispatch_delay: ms(100),
    }
}

fn plan(name: &str, limit: f64) -> Change {
    let to = Plan {
        reservation: 3.0,
        limit,
        burst: limit,
        slack: limit,
        weight: 1.0,
        ..Plan::default()
    };
    Change::Plan {
        name: name.into(),
        to: Some(to),
    }
}

fn volume(id: u64, plan: &str, hosts: &[&str]) -> Change {
    let hosts = hosts.iter().map(|h| Name::from(*h)).collect();
    Change::Volume {
        id,
        to: Some(Volume {
            plan: plan.into(),
            hosts,
            shards: [].into(),
            blocks: 8,
        }),
    }
}

/// A service that answers at once, and a host that asks it.
struct Rig {
    leader: Catalog,
    host: Follower,
    now: Duration,
    call: Option<(CallId, Version)>,
    keeps: Vec<PersistRequest>,
    confirmed: Vec<u64>,
    told: Vec<(u64, Option<Terms>)>,
    notes: Vec<String>,
}

impl Rig {
    fn new() -> Rig {
        let start = InitialState {
            catalog: Follower::catalog_of(facts()),
            ..InitialState::default()
        };
        let mut r = Rig {
            leader: Catalog::new(facts(), 100),
            host: Follower::new("h3".into(), start, ms(100)),
            now: ms(1000),
            call: None,
            keeps: Vec::new(),
            confirmed: Vec::new(),
            told: Vec::new(),
            notes: Vec::new(),
        };
        r.land(vec![
            plan("free", 0.0),
            plan("twelve", 12.0),
            plan("six", 6.0),
        ]);
        r.step(vec![Event::Up]);
        r
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
                Action::Acknowledge { applied, .. } => self.confirmed.push(applied.0),
                Action::Persist(k) => self.keeps.push(k),
                Action::Volume { id, terms } => self.told.push((id, terms)),
                Action::Plan { .. } => {}
                Action::Note { text } => self.notes.push(text),
            }
        }
    }

    /// The service answers with all there is, and says what is settled.
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

    fn keep(&mut self) {
        for number in std::mem::take(&mut self.keeps).iter().map(|k| k.number) {
            self.step(vec![Event::Persisted { number }]);
        }
    }

    fn quota(&self, id: u64) -> Option<Quota> {
        let last = self
            .told
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

/// What went elsewhere, was changed there, and came back: the host never heard of the state in between, and
/// must keep to it as long as others may.
#[test]
fn a_volume_that_comes_back_is_reckoned_with_as_it_was_meanwhile() {
    let mut r = Rig::new();
    r.land(vec![volume(1, "free", &["h3"])]);
    r.grant(2);
    assert_eq!(r.quota(1), None);
    r.land(vec![volume(1, "free", &["h1"])]); // 3
    r.land(vec![volume(1, "twelve", &["h1"])]); // 4
    r.land(vec![volume(1, "free", &["h1"])]); // 5
    r.land(vec![volume(1, "free", &["h3"])]); // 6
    r.grant(2);
    assert_eq!(
        rate(r.quota(1)),
        Some(0.0),
        "who follows 4 sends all that the limit allows"
    );
    r.land(vec![plan("other", 0.0)]);
    r.grant(4);
    assert_eq!(rate(r.quota(1)), Some(0.0));
    r.grant(5);
    assert_eq!(r.quota(1), None);
}

#[test]
fn lowered_at_once_raised_when_stable_and_the_reservation_without_a_lease() {
    let mut r = Rig::new();
    r.land(vec![volume(1, "twelve", &["h1", "h3"])]);
    r.grant(2);
    assert_eq!(rate(r.quota(1)), Some(6.0));
    r.land(vec![volume(1, "six", &["h1", "h3"])]);
    r.grant(2);
    assert_eq!(rate(r.quota(1)), Some(3.0));
    r.land(vec![plan("six", 24.0)]);
    r.grant(3);
    assert_eq!(rate(r.quota(1)), Some(3.0));
    r.grant(4);
    assert_eq!(rate(r.quota(1)), Some(12.0));
    r.keep();
    assert_eq!(
        r.host.wake_at(),
        Some(ms(1100)),
        "to say that nothing older crosses any more"
    );
    r.now = ms(4000);
    r.step(vec![]);
    assert_eq!(rate(r.quota(1)), Some(1.5));
    assert!(r.notes[0].contains("lease"), "{:?}", r.notes);
    r.grant(4);
    assert_eq!(rate(r.quota(1)), Some(12.0));
}

/// It says that it has a version once that is kept, and what was decided before has crossed or never will.
#[test]
fn it_says_what_it_has_when_that_is_sure() {
    let mut r = Rig::new();
    r.land(vec![volume(1, "twelve", &["h3"])]);
    r.grant(0);
    r.now += ms(150);
    r.step(vec![]);
    assert_eq!(r.confirmed, [], "not kept yet");
    r.keep();
    assert_eq!(r.confirmed, [2]);
    r.land(vec![volume(1, "six", &["h3"])]);
    r.grant(2);
    r.keep();
    assert_eq!(r.confirmed, [2], "what was decided before may still cross");
    r.now += ms(100);
    r.step(vec![]);
    assert_eq!(r.confirmed, [2, 3]);
    // A disk that fails: it follows, and does not say that it has.
    r.land(vec![volume(1, "twelve", &["h3"])]);
    r.grant(3);
    r.step(vec![Event::PersistFailed {
        reason: "full".into(),
    }]);
    r.now += ms(200);
    r.step(vec![]);
    assert_eq!(
        (r.confirmed.clone(), rate(r.quota(1))),
        (vec![2, 3], Some(6.0))
    );
    r.now += ms(1000);
    r.keeps.clear();
    r.step(vec![]);
    assert!(
        r.keeps[0].snapshot,
        "of what was on its way nobody knows how much arrived"
    );
    r.keep();
    assert_eq!(r.confirmed, [2, 3, 4]);
}

#[test]
fn what_does_not_follow_is_not_taken() {
    let mut r = Rig::new();
    r.grant(0);
    r.land(vec![volume(1, "six", &["h3"])]);
    r.land(vec![volume(2, "six", &["h3"])]);
    let (call, _) = r.call.take().unwrap();
    let last = r.leader.audit_log().last().unwrap().clone();
    let (version, stable, lease) = (Version(3), Version(3), ms(3000));
    r.step(vec![Event::Granted {
        call,
        epoch: Epoch(1),
        version,
        stable,
        lease,
        update: Update::Revisions(vec![last]),
    }]);
    assert_eq!((r.host.catalog().version(), r.told.len()), (Version(1), 0));
    assert!(
        r.call.is_none() && r.notes.last().unwrap().contains("does not lead"),
        "{:?}",
        r.notes
    );
    r.now += ms(1000);
    r.step(vec![]);
    r.grant(1);
    assert_eq!(r.host.catalog().version(), Version(3));
    // An answer to what was not asked, or long ago, is nobody's.
    r.step(vec![Event::Granted {
        call: CallId(999),
        epoch: Epoch(1),
        version,
        stable,
        lease,
        update: Update::Revisions(vec![]),
    }]);
    assert_eq!(r.host.follower_lease().stable, Version(1));
}
