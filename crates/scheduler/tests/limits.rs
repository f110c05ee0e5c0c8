//! Rate limits of volumes.

mod common;
use common::*;
use grebecleat_scheduler::api::*;

#[test]
fn a_hosts_quota_of_a_limit_starts_empty_and_is_not_exceeded() {
    let limited_plan = Plan {
        limit: 20.0,
        limit_burst: 32.0,
        ..plan(0.0)
    };
    let mut scheduler = idempotent_host(limited_plan);
    let mut units = 0.0;
    for t in (1010..4010).step_by(10) {
        let n = ((t / 10) % 250) as u8;
        let (sent, ..) = step_at(&mut scheduler, t, receive(request(n, ms(t + 500))));
        units += 2.0 * sent.len() as f64;
        step_at(&mut scheduler, t + 1, completed(&sent, 1));
    }
    assert!(
        units > 20.0 && units <= 10.0 * 3.0 + 0.1,
        "expected half of the limit over 3 s, sent {units} units"
    );
}

#[test]
fn a_limit_counts_the_units_of_an_attempt_once_it_is_written_to_the_socket() {
    // The bucket holds four units, which is two requests. Whether the third request is sent depends on whether
    // the first attempt returns its units. Each case: outcome of the first attempt, number of third requests
    // sent.
    let cases = [
        (AttemptOutcome::NotSent, 1),
        (AttemptOutcome::ConnectFailed, 0),
        (AttemptOutcome::QueueFull, 0),
        (AttemptOutcome::Completed, 0),
    ];
    for (outcome, expected) in cases {
        let limited_plan = Plan {
            limit: 0.02,
            limit_burst: 4.0,
            ..plan(50.0)
        };
        let mut scheduler = idempotent_host(limited_plan);
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
        assert_eq!((first.len(), second.len()), (1, 1), "{outcome:?}");
        // The second attempt completes as well, so that the limit alone holds back the third request, and not
        // the node's concurrency limit.
        let ends = [
            attempt_end(1, 1, outcome, ms(1), outcome == AttemptOutcome::Completed),
            attempt_end(2, 1, AttemptOutcome::Completed, ms(1), true),
        ];
        let (sent, ..) = step_at(
            &mut scheduler,
            201_040,
            ends.into_iter()
                .chain([Event::RequestReceived(one_host(3))])
                .collect(),
        );
        assert_eq!(sent.len(), expected, "{outcome:?}");
        // A request whose attempt got no connection has to draw units from the bucket again. A request that met
        // a full queue has already drawn them and is resent.
        let resent: usize = (201_050..201_200)
            .step_by(10)
            .map(|t| step_at(&mut scheduler, t, vec![]).0.len())
            .sum();
        assert_eq!(
            resent,
            usize::from(outcome == AttemptOutcome::QueueFull),
            "{outcome:?}"
        );
    }
}
