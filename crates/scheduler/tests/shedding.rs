//! Load shedding: requests that cannot be in time are rejected early.

mod common;
use common::*;
use grebecleat_scheduler::api::*;

#[test]
fn queued_requests_are_rejected_when_they_cannot_meet_their_deadline() {
    let mut scheduler = idempotent_host(plan(1.0));
    let mut answers = 0;
    step_at(
        &mut scheduler,
        1001,
        (1..=60)
            .map(|n| Event::RequestReceived(request(n, ms(1600))))
            .collect(),
    );
    for t in (1010..1600).step_by(10) {
        answers += step_at(
            &mut scheduler,
            t,
            vec![Event::TimerFired { tag: TimerTag(1) }],
        )
        .1
        .len();
    }
    assert!(
        answers > 40,
        "{answers} of 60 rejected by the host; the node answered none"
    );
}

#[test]
fn each_of_thousands_of_queued_requests_is_answered_before_its_deadline() {
    // Without ordered lines, each answer cost a visit of all queued requests, and ranking took all of a host's
    // time.
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
        let out = std::mem::take(&mut sent);
        let done = |id| attempt_end_of(id, NodeId(1), AttemptOutcome::Completed, ms(5), true);
        let events = out.iter().map(|(id, _)| done(*id)).collect();
        out.iter()
            .for_each(|(id, _)| assert!(deadlines.remove(id).is_some_and(|e| e > ms(t - 5))));
        let (more, rejected, _) = step_at(&mut scheduler, t, events);
        for id in rejected {
            assert!(
                deadlines.remove(&id).is_some_and(|e| e >= ms(t)),
                "answered at {t} after its time"
            );
        }
        sent = more;
    }
    assert!(deadlines.is_empty(), "{} have no answer", deadlines.len());
}

/// Its client still has time for a retry; near the deadline it would not. A request with an attempt stays.
#[test]
fn a_request_without_an_attempt_is_rejected_before_half_of_its_time_is_over() {
    let ordered = TrafficClass {
        ordered: true,
        ..class_with(Idempotency::Idempotent)
    };
    let mut scheduler = host(vec![ordered], vec![plan(100.0)], None);
    let of = |n| Request {
        key: Some(KeyId(9)),
        ..request(n, ms(3000))
    };
    let (mut sent, _, _) = step_at(
        &mut scheduler,
        1000,
        vec![Event::RequestReceived(of(1)), Event::RequestReceived(of(2))],
    );
    let mut rejected_at = Vec::new();
    for now in (1010..=2900).step_by(10) {
        let event = match now {
            1500 => Event::RequestReceived(request(3, ms(3500))),
            1520 => attempt_end(3, 1, AttemptOutcome::Completed, ms(20), true), // the node is not silent
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
