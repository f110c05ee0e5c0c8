//! Limits of volumes.

mod common;
use common::*;
use grebecleat_scheduler::api::*;

#[test]
fn a_hosts_quota_of_a_limit_starts_empty_and_is_not_exceeded() {
    let limited = Plan {
        limit: 20.0,
        limit_burst: 32.0,
        ..plan(0.0)
    };
    let mut scheduler = idempotent_host(limited);
    let mut units = 0.0;
    for t in (1010..4010).step_by(10) {
        let n = ((t / 10) % 250) as u8;
        let (sent, ..) = step_at(&mut scheduler, t, receive(request(n, ms(t + 500))));
        units += 2.0 * sent.len() as f64;
        step_at(&mut scheduler, t + 1, completed(&sent, 1));
    }
    assert!(
        units > 20.0 && units <= 10.0 * 3.0 + 0.1,
        "half of the limit over 3 s: {units}"
    );
}

#[test]
fn a_limit_counts_the_units_of_an_attempt_when_it_crosses_the_socket() {
    // The bucket holds four units: two requests. The outcome of the first decides whether the third goes.
    let cases = [
        (AttemptOutcome::NotSent, 1),
        (AttemptOutcome::ConnectFailed, 0),
        (AttemptOutcome::QueueFull, 0),
        (AttemptOutcome::Completed, 0),
    ];
    for (end, third) in cases {
        let limited = Plan {
            limit: 0.02,
            limit_burst: 4.0,
            ..plan(50.0)
        };
        let mut scheduler = idempotent_host(limited);
        let one_host = |n| Request {
            hosts: 1,
            ..request(n, ms(900_000))
        };
        step_at(
            &mut scheduler,
            1000,
            vec![Event::RequestReceived(one_host(1))],
        );
        // The quota of a host that has just started fills from zero.
        let (first, ..) = step_at(&mut scheduler, 201_000, vec![]);
        let (second, ..) = step_at(
            &mut scheduler,
            201_020,
            vec![Event::RequestReceived(one_host(2))],
        );
        assert_eq!((first.len(), second.len()), (1, 1), "{end:?}");
        // The second completes as well, so that the limit alone decides and not the node's capacity.
        let ends = [
            attempt_end(1, 1, end, ms(1), end == AttemptOutcome::Completed),
            attempt_end(2, 1, AttemptOutcome::Completed, ms(1), true),
        ];
        let (sent, ..) = step_at(
            &mut scheduler,
            201_040,
            ends.into_iter()
                .chain([Event::RequestReceived(one_host(3))])
                .collect(),
        );
        assert_eq!(sent.len(), third, "{end:?}");
        // An attempt without a connection goes again once it has drawn again; one that met a full queue at once.
        let again: usize = (201_050..201_200)
            .step_by(10)
            .map(|t| step_at(&mut scheduler, t, vec![]).0.len())
            .sum();
        assert_eq!(
            again,
            usize::from(end == AttemptOutcome::QueueFull),
            "{end:?}"
        );
    }
}
