//! The scheduler's algorithms in isolation: demand, fair shares, probing window, concurrency limit, token
//! bucket and placement.

mod common;
use common::*;
use grebecleat_scheduler::api::*;
use grebecleat_scheduler::interval_sample::IntervalSample;
use grebecleat_scheduler::max_min_fair_share::{allocate, FlowDemand};
use grebecleat_scheduler::probing_window::*;
use grebecleat_scheduler::scheduler::*;
use grebecleat_scheduler::token_bucket::TokenBucket;

fn approx_eq(a: f64, b: f64) -> bool {
    (a - b).abs() < 1e-6
}

#[test]
fn demand_takes_the_larger_of_backlog_and_scaled_queue() {
    // used, backlog, queued, outstanding, expected demand
    let cases = [
        (5.0, 0.0, 0.0, 0.0, 5.0),
        (5.0, 3.0, 0.0, 2.0, 8.0),
        (4.0, 1.0, 6.0, 2.0, 16.0),
        (0.0, 2.0, 9.0, 0.0, 2.0),
    ];
    for (used, backlog, queued, outstanding, expected) in cases {
        let flow = FlowSample {
            used,
            backlog,
            queued,
            outstanding,
        };
        assert_eq!(demand(&flow), expected);
    }
}

#[test]
fn a_reservation_is_split_by_demand_and_evenly_if_reports_contradict_each_other() {
    // demand at this host, served by this host, reported for all hosts, hosts, expected fraction
    let cases = [
        (3.0, 3.0, None, 3, 1.0 / 3.0),
        (3.0, 3.0, Some(4.0), 2, 0.75),
        (9.0, 0.0, Some(3.0), 2, 0.75),
        (3.0, 3.0, Some(1.0), 2, 0.5),
        (0.1, 0.1, Some(10.1), 2, 0.25),
        (0.0, 0.0, Some(0.0), 4, 0.25),
        (1.0, 0.0, None, 0, 1.0),
    ];
    for (own, served, all, hosts, expected) in cases {
        assert!(
            approx_eq(reservation_fraction(own, served, all, hosts), expected),
            "own {own}, served {served}, all {all:?}, hosts {hosts}"
        );
    }
}

#[test]
fn reservations_are_met_first_and_the_rest_is_shared_by_weight() {
    let flow = |demand, reservation, weight| FlowDemand {
        demand,
        reservation,
        weight,
    };
    // capacity, flows, expected (reserved, spare) of each flow
    let cases = [
        (
            10.0,
            vec![flow(4.0, 4.0, 1.0), flow(20.0, 0.0, 1.0)],
            vec![(4.0, 0.0), (0.0, 6.0)],
        ),
        (
            12.0,
            vec![flow(20.0, 3.0, 2.0), flow(20.0, 0.0, 1.0)],
            vec![(3.0, 6.0), (0.0, 3.0)],
        ),
        (
            12.0,
            vec![flow(5.0, 3.0, 5.0), flow(20.0, 0.0, 1.0)],
            vec![(3.0, 2.0), (0.0, 7.0)],
        ),
        (
            4.0,
            vec![flow(6.0, 6.0, 1.0), flow(2.0, 2.0, 1.0)],
            vec![(3.0, 0.0), (1.0, 0.0)],
        ),
        (4.0, vec![flow(6.0, 0.0, 0.0)], vec![(0.0, 0.0)]),
        (0.0, vec![flow(1.0, 0.0, 1.0)], vec![(0.0, 0.0)]),
        (5.0, vec![], vec![]),
    ];
    for (capacity, flows, expected) in cases {
        let allocations = allocate(capacity, &flows);
        assert_eq!(allocations.len(), expected.len());
        assert!(
            allocations
                .iter()
                .zip(&expected)
                .all(|(a, e)| approx_eq(a.reserved, e.0) && approx_eq(a.spare, e.1)),
            "{allocations:?}"
        );
    }
}

fn sample(congested: bool, below_reservation: bool, outstanding: f64) -> IntervalSample {
    IntervalSample {
        congested,
        below_reservation,
        outstanding,
        mix: vec![0.5, 0.5],
    }
}

/// Returns the lower edge, the estimate and the upper edge of the window.
fn edges(window: &ProbingWindow) -> (f64, f64, f64) {
    (window.low(), window.estimate(), window.high())
}

#[test]
fn the_window_passes_through_the_search_wait_and_stable_phases() {
    let uncongested = || sample(false, false, 4.0);
    let congested = || sample(true, false, 4.0);
    let mut window = ProbingWindow::new(10.0, 110.0);
    window.observe(&uncongested());
    assert_eq!(edges(&window), (10.0, 60.0, 110.0));
    window.observe(&uncongested());
    assert_eq!((window.low(), window.estimate()), (60.0, 85.0));
    for _ in 0..2 {
        window.observe(&congested());
        assert_eq!(
            window.estimate(),
            85.0,
            "two congested samples in a row may have one cause, such as a pause or a flush"
        );
    }
    window.observe(&uncongested());
    assert_eq!(
        window.estimate(),
        97.5,
        "an uncongested sample resets the count of congested samples"
    );
    for _ in 0..3 {
        window.observe(&congested());
    }
    assert_eq!(edges(&window), (85.0, 85.0, 97.5));
    window.observe(&sample(false, true, 4.0));
    assert_eq!((window.phase(), window.high()), (Phase::Wait, 85.0));
    window.observe(&sample(true, true, 4.0));
    assert_eq!(
        (window.phase(), window.estimate()),
        (Phase::Wait, 85.0),
        "the estimate does not rise until reservations are met"
    );
    window.observe(&uncongested());
    assert_eq!(window.phase(), Phase::Stable { outstanding: 4.0 });
    window.observe(&sample(false, false, 9.0));
    assert!(
        window.estimate() < 85.0,
        "more outstanding requests than at the start of the stable phase lower the estimate"
    );
    window.observe(&sample(false, false, 4.0));
    let stable_estimate = window.estimate();
    window.observe(&IntervalSample {
        mix: vec![0.55, 0.45],
        ..uncongested()
    });
    assert_eq!(
        window.estimate(),
        stable_estimate,
        "a change of the request mix by less than a tenth is ignored"
    );
    window.observe(&IntervalSample {
        mix: vec![0.7, 0.3],
        ..uncongested()
    });
    assert_eq!(
        (window.phase(), window.low(), window.high()),
        (Phase::Search, 10.0, 110.0)
    );
}

#[test]
fn the_concurrency_limit_is_between_a_few_large_requests_and_32_mean_requests() {
    // learned rate, expected limit in units; the mean request has 2 units
    let minimum = concurrency_limit(0.0, ms(200), 2.0, 1);
    assert!(minimum >= 12.0);
    let cases = [
        (1.0, minimum),
        (600.0, 18.0_f64.max(minimum)),
        (1e6, 64.0),
        (f64::MAX, 64.0),
    ];
    for (rate, expected) in cases {
        assert_eq!(concurrency_limit(rate, ms(200), 2.0, 1), expected, "{rate}");
    }
}

/// Each host may always send up to the minimum limit, so the minima of hundreds of hosts would add up to an
/// overload of the node unless the minimum falls with the number of hosts. A minimum that falls from four hosts
/// on is too low for a host whose share is above the mean: in a day of restarts over sockets the result was
/// 0.79 instead of 0.89.
#[test]
fn the_minimum_limit_falls_with_the_number_of_hosts_and_admits_a_large_request() {
    // hosts, expected limit in units; the mean request has 2 units
    for (hosts, expected) in [
        (0, 12.0),
        (1, 12.0),
        (5, 12.0),
        (8, 8.0),
        (16, 4.0),
        (300, 4.0),
    ] {
        assert_eq!(
            concurrency_limit(0.0, ms(200), 2.0, hosts),
            expected,
            "{hosts}"
        );
    }
}

#[test]
fn a_bucket_fills_to_its_depth_and_goes_into_debt() {
    let mut bucket = TokenBucket::new(5.0, 5.0, f64::INFINITY);
    assert_eq!(
        bucket.level(),
        0.0,
        "an infinite initial level counts as zero"
    );
    for _ in 0..100 {
        bucket.refill(0.01);
    }
    assert!(approx_eq(bucket.level(), 5.0));
    bucket.take(8.0);
    bucket.refill(0.2);
    assert!(approx_eq(bucket.level(), -2.0));
    bucket.reconfigure(f64::NAN, 1.0);
    bucket.refill(1.0);
    assert!(approx_eq(bucket.level(), -2.0) && bucket.rate() == 0.0);
}

#[test]
fn new_objects_follow_rendezvous_order_and_skip_a_node_at_its_limit() {
    let mut scheduler = idempotent_host(plan(0.0));
    let new_object = |n| {
        Event::RequestReceived(Request {
            shard: None,
            ..request(n, ms(3000))
        })
    };
    let (sent, ..) = step_at(&mut scheduler, 1001, (1..=8).map(new_object).collect());
    let first = sent[0].1;
    assert!(
        sent.iter().any(|(_, n)| *n != first),
        "the first node in rendezvous order never reached its limit: {sent:?}"
    );
    assert!(sent.iter().take(2).all(|(_, n)| *n == first));
}
