//! Retries: idempotency, the order of requests for one key, and the retry budget.

mod common;
use common::*;
use grebecleat_scheduler::api::*;
use grebecleat_scheduler::scheduler::*;

/// A host whose process was paused subtracts the pause from the elapsed time of an attempt. The deduplication
/// window of the nodes continues during the pause, so it has to be compared with the attempt's age.
#[test]
fn the_deduplication_window_starts_when_the_attempt_was_sent_whatever_its_elapsed_time() {
    // age of the attempt when it fails, whether it is resent
    for (age, is_resent) in [(100, true), (1600, false)] {
        let mut scheduler = host(vec![class_with(KEYED)], vec![plan(1.0)], None);
        let (sent, ..) = step_at(&mut scheduler, 1010, receive(request(1, ms(9000))));
        assert_eq!(sent.len(), 1);
        let (mut sent, ..) = step_at(
            &mut scheduler,
            1010 + age,
            vec![attempt_end(1, 1, AttemptOutcome::Failed, ms(20), false)],
        );
        for t in (1020 + age..1100 + age).step_by(10) {
            sent.extend(
                step_at(
                    &mut scheduler,
                    t,
                    vec![Event::TimerFired { tag: TimerTag(1) }],
                )
                .0,
            );
        }
        assert_eq!(
            sent.len(),
            usize::from(is_resent),
            "failed at an age of {age} ms; the window is 1500 ms"
        );
    }
}

#[test]
fn retries_follow_the_idempotency_of_the_traffic_class() {
    let prior = Some(PriorAttempt {
        zone: ZoneId(0),
        shard: ShardId(1),
        sent: ms(1000),
    });
    let keyed = |scope| Idempotency::WithKey {
        scope,
        window: ms(500),
    };
    use DeduplicationScope::*;
    // idempotency, prior attempt, zone and shard of the next node, now, may be resent, may be rejected
    let cases = [
        (Idempotency::Idempotent, prior, 1, 2, 9000, true, true),
        (Idempotency::NonIdempotent, None, 1, 2, 1001, true, true),
        (Idempotency::NonIdempotent, prior, 0, 1, 1001, false, false),
        (keyed(All), prior, 1, 2, 1499, true, true),
        (keyed(All), prior, 1, 2, 1500, false, true),
        (keyed(Zone), prior, 0, 2, 1499, true, false),
        (keyed(Zone), prior, 1, 1, 1499, false, false),
        (keyed(Shard), prior, 1, 1, 1499, true, false),
        (keyed(Shard), prior, 0, 2, 1499, false, false),
        (keyed(Shard), None, 0, 2, 9000, true, true),
    ];
    for (idempotency, prior, zone, shard, now, resent, rejected) in cases {
        assert_eq!(
            may_resend(idempotency, prior, ZoneId(zone), ShardId(shard), ms(now)),
            resent,
            "{idempotency:?}"
        );
        assert_eq!(
            may_reject(idempotency, prior.is_some()),
            rejected,
            "{idempotency:?}"
        );
    }
}

#[test]
fn a_non_idempotent_request_that_may_have_run_fails() {
    for (outcome, is_resent) in [
        (AttemptOutcome::Failed, false),
        (AttemptOutcome::ConnectionReset, false),
        (AttemptOutcome::QueueFull, true),
    ] {
        let mut scheduler = host(
            vec![class_with(Idempotency::NonIdempotent)],
            vec![plan(1.0)],
            None,
        );
        step_at(&mut scheduler, 1001, receive(request(1, ms(3000))));
        let (_, rejected, failed) = step_at(
            &mut scheduler,
            1010,
            vec![attempt_end(1, 1, outcome, ms(9), false)],
        );
        assert_eq!(
            (rejected.len(), failed.len()),
            (0, usize::from(!is_resent)),
            "{outcome:?}"
        );
        let (sent, ..) = step_at(
            &mut scheduler,
            1100,
            vec![Event::TimerFired { tag: TimerTag(1) }],
        );
        assert_eq!(sent.len(), usize::from(is_resent), "{outcome:?}");
    }
}

#[test]
fn requests_for_one_key_are_sent_in_order_with_a_cooldown_after_an_unknown_outcome() {
    let ordered = TrafficClass {
        ordered: true,
        ..class_with(KEYED)
    };
    let keyed = |n| {
        Event::RequestReceived(Request {
            key: Some(KeyId(3)),
            ..request(n, ms(2500))
        })
    };
    // outcome of the first attempt, time in milliseconds until the second request may be sent
    for (outcome, cooldown) in [
        (AttemptOutcome::Completed, 0),
        (AttemptOutcome::TimedOut, 200),
        (AttemptOutcome::ConnectionReset, 200),
    ] {
        let mut scheduler = host(vec![ordered.clone()], vec![plan(1.0)], None);
        let (sent, ..) = step_at(&mut scheduler, 1001, vec![keyed(1), keyed(2)]);
        assert_eq!(sent.len(), 1);
        assert!(
            step_at(&mut scheduler, 1011, vec![]).0.is_empty(),
            "the first attempt is outstanding"
        );
        let (sent, ..) = step_at(
            &mut scheduler,
            1020,
            vec![attempt_end(1, 1, outcome, ms(19), true)],
        );
        assert_eq!(sent.len(), usize::from(cooldown == 0), "{outcome:?}");
        if cooldown > 0 {
            assert!(
                step_at(&mut scheduler, 1219, vec![]).0.is_empty(),
                "{outcome:?}"
            );
            assert_eq!(
                step_at(&mut scheduler, 1230, vec![]).0.len(),
                1,
                "{outcome:?}"
            );
        }
    }
}

#[test]
fn retries_stay_within_the_retry_budget() {
    let budget = Some(RetryBudget {
        min_retries: 2.0,
        ratio: 0.0,
        window: ms(5000),
    });
    let mut scheduler = host(
        vec![class_with(Idempotency::Idempotent)],
        vec![plan(50.0)],
        budget,
    );
    let mut retries = 0;
    for n in 0..8u8 {
        let t = 1010 + 600 * u64::from(n);
        let first = step_at(&mut scheduler, t, receive(request(n, ms(t + 500)))).0;
        assert_eq!(first.len(), 1);
        step_at(
            &mut scheduler,
            t + 1,
            vec![attempt_end(n, 1, AttemptOutcome::Failed, ms(1), false)],
        );
        let second = step_at(&mut scheduler, t + 100, vec![]).0;
        retries += second.len();
        step_at(&mut scheduler, t + 101, completed(&second, 1));
    }
    assert_eq!(retries, 2);
}
