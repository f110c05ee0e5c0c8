//! Changes of plans and volumes while they are in use.

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

/// Performs a step, and completes each attempt at once until the host sends no more; returns the units sent.
fn step_and_complete(scheduler: &mut Scheduler, t: u64, events: Vec<Event>) -> f64 {
    let (mut events, mut units) = (events, 0.0);
    for n in 0.. {
        let (sent, ..) = step_at(scheduler, t + n / 100, events);
        if sent.is_empty() {
            break;
        }
        units += 2.0 * sent.len() as f64;
        events = completed(&sent, 1);
    }
    units
}

/// Requests two units every 10 ms from one time to another; returns the units sent.
fn receive_steadily(scheduler: &mut Scheduler, from: u64, to: u64) -> f64 {
    let receive_at = |t: u64| {
        vec![Event::RequestReceived(request(
            ((t / 10) % 250) as u8,
            ms(t + 400),
        ))]
    };
    (from..to)
        .step_by(10)
        .map(|t| step_and_complete(scheduler, t, receive_at(t)))
        .sum()
}

#[test]
fn a_changed_limit_holds_at_once() {
    // A limit of 40 over two hosts, which is lowered, raised, removed, or set again.
    let cases = [
        ("lowered", Some((5.0, 10.0)), 5.0..25.0),
        ("raised", Some((60.0, 60.0)), 80.0..240.0),
        ("removed", None, 120.0..1e9),
        ("as it was", Some((20.0, 40.0)), 30.0..100.0),
    ];
    for (what, limit, expected) in cases {
        let mut scheduler = idempotent_host(limited(40.0, 80.0));
        receive_steadily(&mut scheduler, 1010, 4010);
        step_and_complete(&mut scheduler, 4010, vec![terms(0, 2, limit)]);
        let sent = receive_steadily(&mut scheduler, 4020, 7020);
        assert!(expected.contains(&sent), "{what}: {sent} units in 3 s");
    }
    // A new limit starts empty.
    let mut scheduler = idempotent_host(plan(2.0));
    receive_steadily(&mut scheduler, 1010, 3010);
    step_at(&mut scheduler, 3010, vec![terms(0, 2, Some((10.0, 50.0)))]);
    let sent = receive_steadily(&mut scheduler, 3020, 5020);
    assert!(sent <= 20.5, "{sent} units in 2 s");
}

/// A bucket in debt stays in debt, also when the limit changes and changes back.
#[test]
fn the_debt_of_a_limit_stays_when_the_limit_changes() {
    for back in [false, true] {
        let mut scheduler = idempotent_host(limited(4.0, 8.0));
        receive_steadily(&mut scheduler, 1010, 6010); // its quota, 2 a second up to 4, is drawn as it fills
        let change = if back {
            vec![
                terms(0, 2, Some((2.0, 400.0))),
                terms(0, 2, Some((2.0, 4.0))),
            ]
        } else {
            vec![]
        };
        step_and_complete(&mut scheduler, 6015, change);
        let sent = receive_steadily(&mut scheduler, 6020, 8020);
        assert!(sent <= 6.0, "{sent} units in 2 s, back {back}");
    }
}

/// Requests that are queued when the limit is lowered go at the new rate, or are rejected in time; none is lost.
#[test]
fn queued_requests_keep_to_a_lowered_limit() {
    let mut scheduler = idempotent_host(limited(200.0, 200.0));
    receive_steadily(&mut scheduler, 1010, 2010);
    let received: Vec<Event> = (1..=60)
        .map(|n| Event::RequestReceived(request(n, ms(4000))))
        .collect();
    step_at(&mut scheduler, 2015, vec![terms(0, 2, Some((4.0, 4.0)))]);
    let (mut sent, mut ended) = (0, 0);
    let mut events = received;
    for t in (2020..4200).step_by(10) {
        let (now_sent, rejected, failed) = step_at(&mut scheduler, t, std::mem::take(&mut events));
        // Some of the requests before may still be queued.
        let is_own = |id: &RequestId| (1..=60).contains(&id.0[0]);
        sent += now_sent.iter().filter(|(id, _)| is_own(id)).count();
        let answered = rejected.iter().chain(&failed);
        ended += answered.filter(|id| is_own(id)).count();
        step_at(&mut scheduler, t + 1, completed(&now_sent, 1));
    }
    assert!(sent as f64 * 2.0 <= 4.0 + 4.0 * 2.2, "{sent} sent");
    assert_eq!(sent + ended, 60, "each has an end");
}

/// A better plan applies to requests that are queued already.
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
    let mut scheduler = host(vec![class_with(Idempotency::Idempotent)], plans, None);
    let other = |n: u8, t| {
        Event::RequestReceived(Request {
            volume: VolumeId(6),
            ..request(n, ms(t))
        })
    };
    // Fill the node so that both volumes have queued requests.
    let filling: Vec<Event> = (100..140).map(|n| other(n, 9000)).collect();
    step_at(&mut scheduler, 1010, filling);
    let both: Vec<Event> = (1..=5)
        .flat_map(|n| {
            [
                other(n + 50, 9000),
                Event::RequestReceived(request(n, ms(9000))),
            ]
        })
        .collect();
    step_at(&mut scheduler, 1011, both);
    step_at(&mut scheduler, 1012, vec![terms(1, 2, None)]);
    let (mut order, mut done) = (Vec::new(), (100..140).collect::<Vec<u8>>());
    for t in (1020..1800).step_by(10) {
        let ends = done
            .drain(..done.len().min(2))
            .map(|n| attempt_end(n, 1, AttemptOutcome::Completed, ms(5), true))
            .collect();
        let (sent, ..) = step_at(&mut scheduler, t, ends);
        order.extend(sent.iter().map(|(x, _)| x.0[0]));
        done.extend(sent.iter().map(|(x, _)| x.0[0]));
    }
    let own = order.iter().filter(|n| (1..=5).contains(*n)).count();
    let place = |n: &u8| order.iter().position(|o| o == n).unwrap_or(usize::MAX);
    let last = (1..=5).map(|n| place(&n)).max().unwrap();
    let first = (51..=55).map(|n| place(&n)).min().unwrap();
    assert!(own == 5 && last < first, "{order:?}");
}

/// A new price of a plan moves the scale of values of the admission throttle.
#[test]
fn new_figures_of_a_plan_apply_at_once_and_a_new_plan_has_the_next_number() {
    let mut scheduler = idempotent_host(plan(1.0));
    let new = Plan {
        price: 3.0,
        limit: 8.0,
        limit_burst: 8.0,
        ..plan(5.0)
    };
    let events = vec![
        Event::PlanChanged {
            plan: PlanId(1),
            facts: new,
        },
        terms(1, 2, Some((4.0, 4.0))),
    ];
    step_at(&mut scheduler, 1005, events);
    let sent = receive_steadily(&mut scheduler, 1010, 3010);
    assert!(
        (4.0..=13.0).contains(&sent),
        "{sent} units in 2 s at 4 a second"
    );
}

#[test]
fn a_volume_is_retired_with_outstanding_and_queued_requests() {
    let kinds = [Idempotency::Idempotent, Idempotency::NonIdempotent];
    for idempotency in kinds {
        let mut scheduler = host(vec![class_with(idempotency)], vec![plan(2.0)], None);
        let received: Vec<Event> = (1..=40)
            .map(|n| Event::RequestReceived(request(n, ms(5000))))
            .collect();
        let (sent, ..) = step_at(&mut scheduler, 1010, received);
        assert!(!sent.is_empty() && sent.len() < 40);
        let (more, rejected, failed) = step_at(
            &mut scheduler,
            1020,
            vec![Event::VolumeChanged {
                volume: VolumeId(5),
                terms: None,
            }],
        );
        // Requests without an attempt are rejected; outstanding attempts are still answered.
        assert_eq!(
            (more.len(), rejected.len(), failed.len()),
            (0, 40 - sent.len(), 0),
            "{idempotency:?}"
        );
        let ends = completed(&sent, 20);
        step_at(&mut scheduler, 1030, ends);
        for t in (1040..3000).step_by(20) {
            assert_eq!(step_at(&mut scheduler, t, vec![]), (vec![], vec![], vec![]));
        }
        // The volume may be served again under its former id.
        step_at(&mut scheduler, 3000, vec![terms(0, 1, None)]);
        let (sent, ..) = step_at(&mut scheduler, 3010, receive(request(99, ms(6000))));
        assert_eq!(sent.len(), 1);
    }
}
