//! Plans and volumes that change while they are in service.

mod common;

use common::*;
use grebecleat_scheduler::api::*;
use grebecleat_scheduler::scheduler::Scheduler;

fn limited(limit: f64, burst: f64) -> Plan {
    Plan {
        limit,
        limit_burst: burst,
        ..plan(2.0)
    }
}

fn terms(plan: usize, hosts: usize, limit: Option<(f64, f64)>) -> Event {
    let terms = Some(VolumeTerms {
        plan: PlanId(plan),
        hosts,
        limit: limit.map(|(rate, burst)| LimitQuota { rate, burst }),
    });
    Event::VolumeChanged {
        volume: VolumeId(5),
        terms,
    }
}

/// Tells a host things, and answers each attempt at once, as long as it sends more; units sent.
fn answered(c: &mut Scheduler, t: u64, events: Vec<Event>) -> f64 {
    let (mut events, mut units) = (events, 0.0);
    for n in 0.. {
        let (sent, ..) = at(c, t + n / 100, events);
        if sent.is_empty() {
            break;
        }
        units += 2.0 * sent.len() as f64;
        events = sent
            .iter()
            .map(|(x, _)| over(x.0[0], 1, AttemptOutcome::Completed, ms(1), true))
            .collect();
    }
    units
}

/// Asks for two units every 10 ms; units sent from one moment to another.
fn press(c: &mut Scheduler, from: u64, to: u64) -> f64 {
    let ask = |t: u64| {
        vec![Event::RequestReceived(request(
            ((t / 10) % 250) as u8,
            ms(t + 400),
        ))]
    };
    (from..to).step_by(10).map(|t| answered(c, t, ask(t))).sum()
}

#[test]
fn a_limit_that_changes_holds_from_then_on() {
    // Of a limit of 40 over two hosts; lowered, raised, taken away, given.
    let cases = [
        ("lowered", Some((5.0, 10.0)), 5.0..25.0),
        ("raised", Some((60.0, 60.0)), 80.0..240.0),
        ("taken away", None, 120.0..1e9),
        ("as it was", Some((20.0, 40.0)), 30.0..100.0),
    ];
    for (what, limit, expected) in cases {
        let mut c = host(
            vec![stream(Idempotency::Idempotent)],
            vec![limited(40.0, 80.0)],
            None,
        );
        press(&mut c, 1010, 4010);
        answered(&mut c, 4010, vec![terms(0, 2, limit)]);
        let sent = press(&mut c, 4020, 7020);
        assert!(expected.contains(&sent), "{what}: {sent} units in 3 s");
    }
    // Where there was none, it begins from nothing.
    let mut c = host(vec![stream(Idempotency::Idempotent)], vec![plan(2.0)], None);
    press(&mut c, 1010, 3010);
    at(&mut c, 3010, vec![terms(0, 2, Some((10.0, 50.0)))]);
    let sent = press(&mut c, 3020, 5020);
    assert!(sent <= 20.5, "{sent} units in 2 s");
}

/// A bucket in debt stays in debt: a change, or one there and back, is no gift.
#[test]
fn what_a_limit_is_owed_stays_owed() {
    for back in [false, true] {
        let mut c = host(
            vec![stream(Idempotency::Idempotent)],
            vec![limited(4.0, 8.0)],
            None,
        );
        press(&mut c, 1010, 6010); // its part, 2 a second up to 4, is drawn as it fills
        let change = if back {
            vec![
                terms(0, 2, Some((2.0, 400.0))),
                terms(0, 2, Some((2.0, 4.0))),
            ]
        } else {
            vec![]
        };
        answered(&mut c, 6015, change);
        let sent = press(&mut c, 6020, 8020);
        assert!(sent <= 6.0, "{sent} units in 2 s, back {back}");
    }
}

/// Requests that are held when the limit is lowered go at the new pace, or are given up in time; none is
/// lost.
#[test]
fn what_is_held_when_a_limit_is_lowered_keeps_to_the_new_one() {
    let mut c = host(
        vec![stream(Idempotency::Idempotent)],
        vec![limited(200.0, 200.0)],
        None,
    );
    press(&mut c, 1010, 2010);
    let taken: Vec<Event> = (1..=60)
        .map(|n| Event::RequestReceived(request(n, ms(4000))))
        .collect();
    at(&mut c, 2015, vec![terms(0, 2, Some((4.0, 4.0)))]);
    let (mut sent, mut ended) = (0, 0);
    let mut more = taken;
    for t in (2020..4200).step_by(10) {
        let (s, d, a) = at(&mut c, t, std::mem::take(&mut more));
        // Some of the press before may still be held.
        let own = |x: &RequestId| (1..=60).contains(&x.0[0]);
        sent += s.iter().filter(|(x, _)| own(x)).count();
        ended += d.iter().chain(&a).filter(|x| own(x)).count();
        let done = s
            .iter()
            .map(|(x, _)| over(x.0[0], 1, AttemptOutcome::Completed, ms(1), true))
            .collect();
        at(&mut c, t + 1, done);
    }
    assert!(sent as f64 * 2.0 <= 4.0 + 4.0 * 2.2, "{sent} sent");
    assert_eq!(sent + ended, 60, "each has an end");
}

/// A better plan is felt by what is already held.
#[test]
fn a_volume_that_gets_a_better_plan_goes_first() {
    let plans = vec![
        plan(0.0),
        Plan {
            price: 4.0,
            weight: 4.0,
            ..plan(0.0)
        },
    ];
    let mut c = host(vec![stream(Idempotency::Idempotent)], plans, None);
    let other = |n: u8, t| {
        Event::RequestReceived(Request {
            volume: VolumeId(6),
            ..request(n, ms(t))
        })
    };
    // Fill the node so that both volumes have something held.
    let allocate: Vec<Event> = (100..140).map(|n| other(n, 9000)).collect();
    at(&mut c, 1010, allocate);
    let both: Vec<Event> = (1..=5)
        .flat_map(|n| {
            [
                other(n + 50, 9000),
                Event::RequestReceived(request(n, ms(9000))),
            ]
        })
        .collect();
    at(&mut c, 1011, both);
    at(&mut c, 1012, vec![terms(1, 2, None)]);
    let (mut order, mut done) = (Vec::new(), (100..140).collect::<Vec<u8>>());
    for t in (1020..1800).step_by(10) {
        let ends = done
            .drain(..done.len().min(2))
            .map(|n| over(n, 1, AttemptOutcome::Completed, ms(5), true))
            .collect();
        let (sent, ..) = at(&mut c, t, ends);
        order.extend(sent.iter().map(|(x, _)| x.0[0]));
        done.extend(sent.iter().map(|(x, _)| x.0[0]));
    }
    let own = order.iter().filter(|n| (1..=5).contains(*n)).count();
    let place = |n: &u8| order.iter().position(|o| o == n).unwrap_or(usize::MAX);
    let last = (1..=5).map(|n| place(&n)).max().unwrap();
    let first = (51..=55).map(|n| place(&n)).min().unwrap();
    assert!(own == 5 && last < first, "{order:?}");
}

/// A new price of the whole plan moves the scale by which nodes are eased.
#[test]
fn new_figures_of_a_plan_count_at_once_and_a_new_plan_has_the_next_number() {
    let mut c = host(vec![stream(Idempotency::Idempotent)], vec![plan(1.0)], None);
    let new = Plan {
        price: 3.0,
        limit: 8.0,
        limit_burst: 8.0,
        ..plan(5.0)
    };
    let told = vec![
        Event::PlanChanged {
            plan: PlanId(1),
            facts: new,
        },
        terms(1, 2, Some((4.0, 4.0))),
    ];
    at(&mut c, 1005, told);
    let sent = press(&mut c, 1010, 3010);
    assert!(
        (4.0..=13.0).contains(&sent),
        "{sent} units in 2 s at 4 a second"
    );
}

#[test]
fn a_volume_is_retired_with_attempts_out_and_some_held() {
    let kinds = [Idempotency::Idempotent, Idempotency::NonIdempotent];
    for idempotency in kinds {
        let mut c = host(vec![stream(idempotency)], vec![plan(2.0)], None);
        let taken: Vec<Event> = (1..=40)
            .map(|n| Event::RequestReceived(request(n, ms(5000))))
            .collect();
        let (sent, ..) = at(&mut c, 1010, taken);
        assert!(!sent.is_empty() && sent.len() < 40);
        let (more, deferred, abandoned) = at(
            &mut c,
            1020,
            vec![Event::VolumeChanged {
                volume: VolumeId(5),
                terms: None,
            }],
        );
        // What never ran may be asked elsewhere; what is out has its answer when it comes.
        assert_eq!(
            (more.len(), deferred.len(), abandoned.len()),
            (0, 40 - sent.len(), 0),
            "{idempotency:?}"
        );
        let ends = sent
            .iter()
            .map(|(x, _)| over(x.0[0], 1, AttemptOutcome::Completed, ms(20), true))
            .collect();
        at(&mut c, 1030, ends);
        for t in (1040..3000).step_by(20) {
            assert_eq!(at(&mut c, t, vec![]), (vec![], vec![], vec![]));
        }
        // And by the same name it may come again.
        at(&mut c, 3000, vec![terms(0, 1, None)]);
        let (sent, ..) = at(
            &mut c,
            3010,
            vec![Event::RequestReceived(request(99, ms(6000)))],
        );
        assert_eq!(sent.len(), 1);
    }
}
