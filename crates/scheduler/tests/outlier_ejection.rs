//! Outlier ejection of nodes that are unreachable, overloaded, unresponsive or return errors.

mod common;
use common::*;
use grebecleat_scheduler::api::*;

#[test]
fn an_unreachable_full_or_unresponsive_node_gets_trial_requests_only() {
    // outcome of every attempt; `None` if the node never answers
    for outcome in [
        Some(AttemptOutcome::QueueFull),
        Some(AttemptOutcome::ConnectFailed),
        None,
    ] {
        let mut scheduler = idempotent_host(plan(100.0));
        let mut attempts = 0;
        for t in (1010..3010).step_by(10) {
            let n = ((t / 10) % 250) as u8;
            let (sent, ..) = step_at(&mut scheduler, t, receive(request(n, ms(t + 1500))));
            attempts += sent.len();
            if let Some(outcome) = outcome {
                step_at(
                    &mut scheduler,
                    t + 1,
                    sent.iter()
                        .map(|(x, _)| attempt_end(x.0[0], 1, outcome, ms(1), false))
                        .collect(),
                );
            }
        }
        assert!(attempts <= 20, "{outcome:?}: {attempts} attempts in 2 s");
        let completion = |n: u8| attempt_end(n, 1, AttemptOutcome::Completed, ms(20), true);
        step_at(&mut scheduler, 3020, (0..=250).map(completion).collect());
        let (sent, ..) = step_at(&mut scheduler, 3600, receive(request(251, ms(5000))));
        assert!(
            outcome.is_some() || sent.iter().any(|(x, _)| *x == id(251)),
            "a node that completes attempts gets requests again"
        );
    }
}

#[test]
fn errors_and_resets_stop_new_objects_but_not_requests_for_existing_data() {
    // Outcome of all attempts at the first node; whether requests for data on that node are still sent to it. A
    // refused connection ejects the node for all requests.
    for (failure, is_used) in [
        (AttemptOutcome::Failed, true),
        (AttemptOutcome::ConnectionReset, true),
        (AttemptOutcome::ConnectFailed, false),
    ] {
        let mut scheduler = idempotent_host(plan(1000.0));
        let new_object = |n, t| {
            Event::RequestReceived(Request {
                shard: None,
                ..request(n, ms(t + 1500))
            })
        };
        let first = step_at(&mut scheduler, 1005, vec![new_object(250, 1005)]).0[0].1;
        let mut new_objects = 0;
        let mut data_requests = 0;
        let mut outstanding = vec![(id(250), first)];
        for t in (1010..2010).step_by(10) {
            let n = ((t / 10) % 100) as u8;
            let data_request = Request {
                shard: Some(ShardId(first.0)),
                ..request(100 + n, ms(t + 60))
            };
            let outcome = |node: NodeId| {
                if node == first {
                    failure
                } else {
                    AttemptOutcome::Completed
                }
            };
            let ends = outstanding
                .iter()
                .map(|(id, node)| attempt_end_of(*id, *node, outcome(*node), ms(1), false));
            let mut events: Vec<Event> = ends.collect();
            events.extend([new_object(n, t), Event::RequestReceived(data_request)]);
            (outstanding, ..) = step_at(&mut scheduler, t, events);
            new_objects += outstanding
                .iter()
                .filter(|(id, node)| id.0[0] < 100 && *node == first)
                .count();
            data_requests += outstanding.iter().filter(|(id, _)| id.0[0] >= 100).count();
        }
        assert!(new_objects < 20, "{failure:?}: {new_objects} new objects");
        assert_eq!(
            data_requests > 100,
            is_used,
            "{failure:?}: {data_requests} requests for existing data"
        );
    }
}
