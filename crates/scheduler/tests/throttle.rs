//! Admission throttle: late answers of attempts that were alone at their node.

mod common;
use common::*;
use grebecleat_scheduler::api::*;
use grebecleat_scheduler::scheduler::Scheduler;

#[test]
fn late_attempts_that_are_alone_throttle_requests_of_low_value_first() {
    // An attempt that is alone at its node is late because of other hosts; neither the concurrency limit nor its
    // back-off can act.
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
    let of = |n, plan, t| Request {
        plan: PlanId(plan),
        volume: VolumeId(plan as u64),
        ..request(n, ms(t + 900))
    };
    let mut sent = [0; 2];
    for t in (2000..22_000).step_by(1000) {
        for plan in [0, 1] {
            let (n, at_ms) = ((t / 1000) as u8 * 2 + plan as u8, t + 500 * plan as u64);
            let (out, ..) = step_at(
                &mut scheduler,
                at_ms,
                vec![Event::RequestReceived(of(n, plan, at_ms))],
            );
            sent[plan] += out.len();
            step_at(&mut scheduler, at_ms + 10, vec![]);
            // Some fast answers come first, or the host would have no measure of lateness.
            let took = if t < 6000 { 10 } else { 400 };
            step_at(&mut scheduler, at_ms + took, completed(&out, took));
        }
    }
    assert!(
        sent[0] * 3 <= sent[1] * 2,
        "low and high value sent: {sent:?}"
    );
}

/// A connection that opens late is no evidence against its node; a host with few answers would throttle the node
/// for it. Once the attempt is sent it counts as any other.
#[test]
fn an_attempt_counts_as_late_by_the_time_at_which_it_was_sent() {
    let admission_level = |scheduler: &Scheduler| {
        scheduler
            .nodes()
            .find(|metrics| metrics.node == NodeId(1))
            .unwrap()
            .admission_level
    };
    // the time of sending is reported, the time, whether the node is throttled
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
        let sent = Event::AttemptSent {
            id: id(200),
            node: NodeId(1),
            at: ms(sent_at),
        };
        step_at(
            &mut scheduler,
            2300,
            if reported { vec![sent] } else { vec![] },
        );
        (2310..2500)
            .step_by(10)
            .for_each(|t| _ = step_at(&mut scheduler, t, vec![]));
        let is_throttled = admission_level(&scheduler) < 1.0;
        assert_eq!(is_throttled, throttled, "reported {reported}, at {sent_at}");
        // The attempt was never sent, and its end changes nothing.
        step_at(
            &mut scheduler,
            2500,
            vec![attempt_end(200, 1, AttemptOutcome::NotSent, ms(200), false)],
        );
    }
}
