//! Load shedding: requests that cannot meet their deadline are rejected early.

mod common;
use common::*;
use grebecleat_scheduler::api::*;

#[test]
fn queued_requests_are_rejected_when_they_cannot_meet_their_deadline() {
    let mut scheduler = idempotent_host(plan(1.0));
    let mut rejections = 0;
    step_at(
        &mut scheduler,
        1001,
        (1..=60)
            .map(|n| Event::RequestReceived(request(n, ms(1600))))
            .collect(),
    );
    for t in (1010..1600).step_by(10) {
        rejections += step_at(
            &mut scheduler,
            t,
            vec![Event::TimerFired { tag: TimerTag(1) }],
        )
        .1
        .len();
    }
    assert!(
        rejections > 40,
        "{rejections} of 60 requests rejected by the host; the node completed none"
    );
}

#[test]
fn each_of_thousands_of_queued_requests_is_answered_before_its_deadline() {
    // Guards against request queues that are not kept in order: each answer then scans all queued requests, and
    // ranking them takes all of a host's time.
    let mut scheduler = idempotent_host(plan(5.0));
    let mut deadlines = std::collections::BTreeMap::new();
    let mut events = Vec::new();
    for n in 0..2000u32 {
        let mut request = request(0, ms(1500 + u64::from(n % 40) * 37));
        request.id.0[..4].copy_from_slice(&n.to_le_bytes());
        deadlines.insert(request.id, request.deadline);
        events.push(Event::RequestReceived(request));
    }
    let (mut sent, ..) = step_at(&mut scheduler, 1001, events);
    for t in (1005..3100).step_by(5) {
        let outstanding = std::mem::take(&mut sent);
        let completion = |id| attempt_end_of(id, NodeId(1), AttemptOutcome::Completed, ms(5), true);
        let events = outstanding.iter().map(|(id, _)| completion(*id)).collect();
        outstanding.iter().for_each(|(id, _)| {
            assert!(deadlines
                .remove(id)
                .is_some_and(|deadline| deadline > ms(t - 5)))
        });
        let (more, rejected, _) = step_at(&mut scheduler, t, events);
        for id in rejected {
            assert!(
                deadlines
                    .remove(&id)
                    .is_some_and(|deadline| deadline >= ms(t)),
                "request answered at {t} ms, after its deadline"
            );
        }
        sent = more;
    }
    assert!(
        deadlines.is_empty(),
        "{} requests have no answer",
        deadlines.len()
    );
}

/// After an early rejection the client still has time to retry; close to the deadline it would not. A request
/// that already has an attempt is kept.
#[test]
fn a_request_without_an_attempt_is_rejected_before_half_of_its_time_is_over() {
    let ordered = TrafficClass {
        ordered: true,
        ..class_with(Idempotency::Idempotent)
    };
    let mut scheduler = host(vec![ordered], vec![plan(100.0)], None);
    let same_key = |n| Request {
        key: Some(KeyId(9)),
        ..request(n, ms(3000))
    };
    let (mut sent, _, _) = step_at(
        &mut scheduler,
        1000,
        vec![
            Event::RequestReceived(same_key(1)),
            Event::RequestReceived(same_key(2)),
        ],
    );
    let mut rejected_at = Vec::new();
    for now in (1010..=2900).step_by(10) {
        let event = match now {
            1500 => Event::RequestReceived(request(3, ms(3500))),
            1520 => attempt_end(3, 1, AttemptOutcome::Completed, ms(20), true), // shows that the node responds
            _ => Event::TimerFired { tag: TimerTag(0) },
        };
        let (more, rejected, failed) = step_at(&mut scheduler, now, vec![event]);
        sent.extend(more);
        rejected_at.extend(rejected.into_iter().map(|id| (id, now)));
        assert_eq!(failed, []);
    }
    assert_eq!(
        sent.iter().map(|(id, _)| *id).collect::<Vec<_>>(),
        [id(1), id(3)]
    );
    assert!(
        matches!(rejected_at[..], [(rejected, now)] if rejected == id(2) && (1900..2000).contains(&now)),
        "{rejected_at:?}"
    );
}
