//! Admission throttle: the host sends fewer requests to a node that is late although the host has only one
//! attempt there.

mod common;
use common::*;
use grebecleat_scheduler::api::*;
use grebecleat_scheduler::scheduler::Scheduler;

#[test]
fn late_single_attempts_throttle_requests_of_low_value_first() {
    // If this host's only attempt at a node is late, other hosts have overloaded the node. Neither the
    // concurrency limit nor its backoff can help, because this host already has no more than one attempt there.
    let mut scheduler = host(
        vec![class_with(Idempotency::Idempotent)],
        vec![
            plan(0.0),
            Plan {
                price: 9.0,
                ..plan(900.0)
            },
        ],
        None,
    );
    let request_on_plan = |n, plan, t| Request {
        plan: PlanId(plan),
        volume: VolumeId(plan as u64),
        ..request(n, ms(t + 900))
    };
    let mut sent = [0; 2];
    for t in (2000..22_000).step_by(1000) {
        for plan in [0, 1] {
            let (n, at_ms) = ((t / 1000) as u8 * 2 + plan as u8, t + 500 * plan as u64);
            let (attempts, ..) = step_at(
                &mut scheduler,
                at_ms,
                vec![Event::RequestReceived(request_on_plan(n, plan, at_ms))],
            );
            sent[plan] += attempts.len();
            step_at(&mut scheduler, at_ms + 10, vec![]);
            // The first attempts are fast, so that the host can measure what is late.
            let elapsed = if t < 6000 { 10 } else { 400 };
            step_at(
                &mut scheduler,
                at_ms + elapsed,
                completed(&attempts, elapsed),
            );
        }
    }
    assert!(
        sent[0] * 3 <= sent[1] * 2,
        "requests sent of low and of high value: {sent:?}"
    );
}

/// A connection that takes long to open says nothing about the load of its node. If the wait for the connection
/// counted, a host that sends few requests would throttle the node. An attempt counts from the time at which it
/// is sent.
#[test]
fn an_attempt_counts_as_late_by_the_time_at_which_it_was_sent() {
    let admission_level = |scheduler: &Scheduler| {
        scheduler
            .nodes()
            .find(|metrics| metrics.node == NodeId(1))
            .unwrap()
            .admission_level
    };
    // whether the host reports when the attempt is sent, that time in milliseconds, whether the node is
    // throttled
    for (reported, sent_at, throttled) in
        [(false, 0, true), (true, 5000, false), (true, 2310, true)]
    {
        let mut scheduler = idempotent_host(plan(100.0));
        for t in (1010..2010).step_by(100) {
            let n = (t / 100) as u8;
            let (sent, ..) = step_at(&mut scheduler, t, receive(request(n, ms(t + 900))));
            step_at(&mut scheduler, t + 5, completed(&sent, 5));
        }
        let (sent, ..) = step_at(&mut scheduler, 2300, receive(request(200, ms(9000))));
        assert_eq!(sent.len(), 1);
        let attempt_sent = Event::AttemptSent {
            id: id(200),
            node: NodeId(1),
            at: ms(sent_at),
        };
        step_at(
            &mut scheduler,
            2300,
            if reported { vec![attempt_sent] } else { vec![] },
        );
        (2310..2500)
            .step_by(10)
            .for_each(|t| _ = step_at(&mut scheduler, t, vec![]));
        let is_throttled = admission_level(&scheduler) < 1.0;
        assert_eq!(
            is_throttled, throttled,
            "send time reported: {reported}, sent at {sent_at} ms"
        );
        // The attempt ends without having been sent, which has no effect.
        step_at(
            &mut scheduler,
            2500,
            vec![attempt_end(200, 1, AttemptOutcome::NotSent, ms(200), false)],
        );
    }
}
