//! Every request is answered exactly once, before its deadline.

mod common;
use common::*;
use grebecleat_scheduler::api::*;

#[test]
fn every_request_has_one_answer_before_its_deadline() {
    // Three requests that cannot succeed: the first arrives at its deadline, as a late retry of its client may;
    // the second needs a shard that no node holds; the attempt of the third times out.
    let mut scheduler = idempotent_host(plan(1.0));
    let unknown_shard = Request {
        shard: Some(ShardId(9)),
        ..request(2, ms(3000))
    };
    let (sent, rejected, _) = step_at(
        &mut scheduler,
        1010,
        vec![
            Event::RequestReceived(request(1, ms(1010))),
            Event::RequestReceived(unknown_shard),
        ],
    );
    assert_eq!((sent.len(), rejected), (0, vec![id(1), id(2)]));
    let (sent, ..) = step_at(&mut scheduler, 1020, receive(request(3, ms(1100))));
    assert_eq!(sent.len(), 1);
    let (sent, rejected, _) = step_at(
        &mut scheduler,
        1100,
        vec![attempt_end(3, 1, AttemptOutcome::TimedOut, ms(80), false)],
    );
    assert_eq!((sent.len(), rejected), (0, vec![id(3)]));
    // The outcome of an already answered request, and the cancellation of an id that is unknown after a
    // restart, are ignored.
    let late = vec![
        attempt_end(3, 1, AttemptOutcome::Completed, ms(90), true),
        Event::RequestCancelled { id: id(77) },
    ];
    assert_eq!(
        step_at(&mut scheduler, 1110, late),
        (vec![], vec![], vec![])
    );
}
