//! A host's side of the feed, case by case.

use grebecleat_plans::changes::*;
use grebecleat_plans::feed::Part;
use grebecleat_plans::follow::*;
use grebecleat_plans::source::{for_host, Call, Era};
use std::time::Duration;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn facts() -> Facts {
    Facts {
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
    source: Catalog,
    host: Follow,
    now: Duration,
    call: Option<(Call, Version)>,
    keeps: Vec<Keep>,
    confirmed: Vec<u64>,
    told: Vec<(u64, Option<Terms>)>,
    notes: Vec<String>,
}

impl Rig {
    fn new() -> Rig {
        let start = Start {
            catalog: Follow::catalog_of(facts()),
            ..Start::default()
        };
        let mut r = Rig {
            source: Catalog::new(facts(), 100),
            host: Follow::new("h3".into(), start, ms(100)),
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
        let entry = self
            .source
            .propose(self.source.version(), Asks::default(), changes)
            .expect("in order");
        self.source.take(entry).expect("the next");
    }

    fn step(&mut self, events: Vec<Event>) {
        for action in self.host.step(self.now, events) {
            match action {
                Action::Ask { call, has, .. } => self.call = Some((call, has)),
                Action::Confirm { has, .. } => self.confirmed.push(has.0),
                Action::Keep(k) => self.keeps.push(k),
                Action::Volume { id, terms } => self.told.push((id, terms)),
                Action::Plan { .. } => {}
                Action::Note { text } => self.notes.push(text),
            }
        }
    }

    /// The service answers with all there is, and says what is settled.
    fn grant(&mut self, settled: u64) {
        let (call, has) = self.call.take().expect("it asks");
        let (settled, me) = (Version(settled), Name::from("h3"));
        let entries = self.source.since(has).expect("all are there");
        let entries = entries
            .map(|e| for_host(&self.source, settled, e, &me))
            .collect();
        let (version, lease, came) = (self.source.version(), ms(3000), Came::Entries(entries));
        self.step(vec![Event::Granted {
            call,
            era: Era(1),
            version,
            settled,
            lease,
            came,
        }]);
    }

    fn keep(&mut self) {
        for number in std::mem::take(&mut self.keeps).iter().map(|k| k.number) {
            self.step(vec![Event::Kept { number }]);
        }
    }

    fn part(&self, id: u64) -> Option<Part> {
        let last = self
            .told
            .iter()
            .rev()
            .find(|t| t.0 == id)
            .and_then(|t| t.1.clone());
        last.expect("told of it").part
    }
}

fn rate(part: Option<Part>) -> Option<f64> {
    part.map(|p| p.rate)
}

/// What went elsewhere, was changed there, and came back: the host never heard of the state in between, and
/// must keep to it as long as others may.
#[test]
fn a_volume_that_comes_back_is_reckoned_with_as_it_was_meanwhile() {
    let mut r = Rig::new();
    r.land(vec![volume(1, "free", &["h3"])]);
    r.grant(2);
    assert_eq!(r.part(1), None);
    r.land(vec![volume(1, "free", &["h1"])]); // 3
    r.land(vec![volume(1, "twelve", &["h1"])]); // 4
    r.land(vec![volume(1, "free", &["h1"])]); // 5
    r.land(vec![volume(1, "free", &["h3"])]); // 6
    r.grant(2);
    assert_eq!(
        rate(r.part(1)),
        Some(0.0),
        "who follows 4 sends all that the limit allows"
    );
    r.land(vec![plan("other", 0.0)]);
    r.grant(4);
    assert_eq!(rate(r.part(1)), Some(0.0));
    r.grant(5);
    assert_eq!(r.part(1), None);
}

#[test]
fn lowered_at_once_raised_when_settled_and_the_reservation_without_a_lease() {
    let mut r = Rig::new();
    r.land(vec![volume(1, "twelve", &["h1", "h3"])]);
    r.grant(2);
    assert_eq!(rate(r.part(1)), Some(6.0));
    r.land(vec![volume(1, "six", &["h1", "h3"])]);
    r.grant(2);
    assert_eq!(rate(r.part(1)), Some(3.0));
    r.land(vec![plan("six", 24.0)]);
    r.grant(3);
    assert_eq!(rate(r.part(1)), Some(3.0));
    r.grant(4);
    assert_eq!(rate(r.part(1)), Some(12.0));
    r.keep();
    assert_eq!(
        r.host.wake_at(),
        Some(ms(1100)),
        "to say that nothing older crosses any more"
    );
    r.now = ms(4000);
    r.step(vec![]);
    assert_eq!(rate(r.part(1)), Some(1.5));
    assert!(r.notes[0].contains("lease"), "{:?}", r.notes);
    r.grant(4);
    assert_eq!(rate(r.part(1)), Some(12.0));
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
    r.step(vec![Event::NotKept { why: "full".into() }]);
    r.now += ms(200);
    r.step(vec![]);
    assert_eq!(
        (r.confirmed.clone(), rate(r.part(1))),
        (vec![2, 3], Some(6.0))
    );
    r.now += ms(1000);
    r.keeps.clear();
    r.step(vec![]);
    assert!(
        r.keeps[0].whole,
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
    let last = r.source.trail().last().unwrap().clone();
    let (version, settled, lease) = (Version(3), Version(3), ms(3000));
    r.step(vec![Event::Granted {
        call,
        era: Era(1),
        version,
        settled,
        lease,
        came: Came::Entries(vec![last]),
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
        call: Call(999),
        era: Era(1),
        version,
        settled,
        lease,
        came: Came::Entries(vec![]),
    }]);
    assert_eq!(r.host.follower().settled, Version(1));
}
