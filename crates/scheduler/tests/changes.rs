//! Changes to plans and volumes that have requests in progress.

mod common;

use common::*;
use grebecleat_scheduler::api::*;
use grebecleat_scheduler::scheduler::Scheduler;

fn limited_plan(limit: f64, burst: f64) -> Plan {
    Plan {
        limit,
        limit_burst: burst,
        ..plan(2.0)
    }
}

fn volume_changed(plan: usize, hosts: usize, limit: Option<(f64, f64)>) -> Event {
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

/// Performs a step, and completes each attempt at once until the host sends no more. Returns the units sent.
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

/// Requests two units every 10 ms between two times, in milliseconds. Returns the units sent.
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
fn a_changed_limit_applies_at_once() {
    // The volume limit is 40 units a second over two hosts, so that this host's quota is 20. Each case changes
    // the quota and gives the range of units that may be sent within three seconds.
    let cases = [
        ("lowered", Some((5.0, 10.0)), 5.0..25.0),
        ("raised", Some((60.0, 60.0)), 80.0..240.0),
        ("removed", None, 120.0..1e9),
        ("unchanged", Some((20.0, 40.0)), 30.0..100.0),
    ];
    for (change, limit, expected) in cases {
        let mut scheduler = idempotent_host(limited_plan(40.0, 80.0));
        receive_steadily(&mut scheduler, 1010, 4010);
        step_and_complete(&mut scheduler, 4010, vec![volume_changed(0, 2, limit)]);
        let sent = receive_steadily(&mut scheduler, 4020, 7020);
        assert!(
            expected.contains(&sent),
            "limit {change}: {sent} units in 3 s"
        );
    }
    // The bucket of a newly set limit starts empty.
    let mut scheduler = idempotent_host(plan(2.0));
    receive_steadily(&mut scheduler, 1010, 3010);
    step_at(
        &mut scheduler,
        3010,
        vec![volume_changed(0, 2, Some((10.0, 50.0)))],
    );
    let sent = receive_steadily(&mut scheduler, 3020, 5020);
    assert!(sent <= 20.5, "{sent} units in 2 s");
}

/// Guards against a limit change that resets the token bucket and so forgives the debt of the volume.
#[test]
fn a_limit_change_keeps_the_debt_of_the_bucket() {
    for changes_limit in [false, true] {
        let mut scheduler = idempotent_host(limited_plan(4.0, 8.0));
        receive_steadily(&mut scheduler, 1010, 6010); // uses up the quota of 2 units a second
        let change = if changes_limit {
            vec![
                volume_changed(0, 2, Some((2.0, 400.0))),
                volume_changed(0, 2, Some((2.0, 4.0))),
            ]
        } else {
            vec![]
        };
        step_and_complete(&mut scheduler, 6015, change);
        let sent = receive_steadily(&mut scheduler, 6020, 8020);
        assert!(
            sent <= 6.0,
            "{sent} units in 2 s, limit changed and restored: {changes_limit}"
        );
    }
}

/// Requests that arrive after the limit was lowered are sent at the new rate or rejected before their deadline;
/// none is lost.
#[test]
fn queued_requests_observe_a_lowered_limit() {
    let mut scheduler = idempotent_host(limited_plan(200.0, 200.0));
    receive_steadily(&mut scheduler, 1010, 2010);
    let received: Vec<Event> = (1..=60)
        .map(|n| Event::RequestReceived(request(n, ms(4000))))
        .collect();
    step_at(
        &mut scheduler,
        2015,
        vec![volume_changed(0, 2, Some((4.0, 4.0)))],
    );
    let (mut sent, mut ended) = (0, 0);
    let mut events = received;
    for t in (2020..4200).step_by(10) {
        let (now_sent, rejected, failed) = step_at(&mut scheduler, t, std::mem::take(&mut events));
        // Earlier requests, whose ids are outside this range, may still be queued.
        let is_own = |id: &RequestId| (1..=60).contains(&id.0[0]);
        sent += now_sent.iter().filter(|(id, _)| is_own(id)).count();
        let answered = rejected.iter().chain(&failed);
        ended += answered.filter(|id| is_own(id)).count();
        step_at(&mut scheduler, t + 1, completed(&now_sent, 1));
    }
    assert!(sent as f64 * 2.0 <= 4.0 + 4.0 * 2.2, "{sent} sent");
    assert_eq!(
        sent + ended,
        60,
        "every request is sent, rejected or failed"
    );
}

/// A change of the volume's plan applies to requests that are already queued.
#[test]
fn queued_requests_of_a_volume_that_gets_a_better_plan_are_sent_first() {
    let plans = vec![
        plan(0.0),
        Plan {
            price: 4.0,
            weight: 4.0,
            ..plan(0.0)
        },
    ];
    let mut scheduler = host(vec![class_with(Idempotency::Idempotent)], plans, None);
    let other_volume = |n: u8, t| {
        Event::RequestReceived(Request {
            volume: VolumeId(6),
            ..request(n, ms(t))
        })
    };
    // Fill the node's concurrency limit, so that the requests of both volumes have to queue.
    let filling: Vec<Event> = (100..140).map(|n| other_volume(n, 9000)).collect();
    step_at(&mut scheduler, 1010, filling);
    let both: Vec<Event> = (1..=5)
        .flat_map(|n| {
            [
                other_volume(n + 50, 9000),
                Event::RequestReceived(request(n, ms(9000))),
            ]
        })
        .collect();
    step_at(&mut scheduler, 1011, both);
    step_at(&mut scheduler, 1012, vec![volume_changed(1, 2, None)]);
    let (mut order, mut outstanding) = (Vec::new(), (100..140).collect::<Vec<u8>>());
    for t in (1020..1800).step_by(10) {
        let ends = outstanding
            .drain(..outstanding.len().min(2))
            .map(|n| attempt_end(n, 1, AttemptOutcome::Completed, ms(5), true))
            .collect();
        let (sent, ..) = step_at(&mut scheduler, t, ends);
        order.extend(sent.iter().map(|(x, _)| x.0[0]));
        outstanding.extend(sent.iter().map(|(x, _)| x.0[0]));
    }
    let own = order.iter().filter(|n| (1..=5).contains(*n)).count();
    let place = |n: &u8| order.iter().position(|o| o == n).unwrap_or(usize::MAX);
    let last = (1..=5).map(|n| place(&n)).max().unwrap();
    let first = (51..=55).map(|n| place(&n)).min().unwrap();
    assert!(own == 5 && last < first, "{order:?}");
}

/// The new plan is added while the host runs. Its higher price also rescales the request values that the admission
/// throttle compares.
#[test]
fn changed_plan_settings_apply_at_once_and_a_new_plan_has_the_next_id() {
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
        volume_changed(1, 2, Some((4.0, 4.0))),
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
    let idempotencies = [Idempotency::Idempotent, Idempotency::NonIdempotent];
    for idempotency in idempotencies {
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
        // Requests without an attempt are rejected at once; outstanding attempts may still complete.
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
        // The same volume id may be added again later.
        step_at(&mut scheduler, 3000, vec![volume_changed(0, 1, None)]);
        let (sent, ..) = step_at(&mut scheduler, 3010, receive(request(99, ms(6000))));
        assert_eq!(sent.len(), 1);
    }
}
