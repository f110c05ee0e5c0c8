//! Outlier ejection: nodes that are dead, full, silent or fail.

mod common;
use common::*;
use grebecleat_scheduler::api::*;

#[test]
fn a_dead_full_or_silent_node_gets_trial_requests_only() {
    for end in [
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
            if let Some(end) = end {
                step_at(
                    &mut scheduler,
                    t + 1,
                    sent.iter()
                        .map(|(x, _)| attempt_end(x.0[0], 1, end, ms(1), false))
                        .collect(),
                );
            }
        }
        assert!(attempts <= 20, "{end:?}: {attempts} attempts in 2 s");
        let done = |n: u8| attempt_end(n, 1, AttemptOutcome::Completed, ms(20), true);
        step_at(&mut scheduler, 3020, (0..=250).map(done).collect());
        let (sent, ..) = step_at(&mut scheduler, 3600, receive(request(251, ms(5000))));
        assert!(
            end.is_some() || sent.iter().any(|(x, _)| *x == id(251)),
            "a node that answers gets requests again"
        );
    }
}

#[test]
fn errors_and_resets_stop_new_objects_but_not_requests_whose_data_is_there() {
    // outcome at the first node, whether requests still go where their data is: a closed port ejects the node
    for (bad, goes) in [
        (AttemptOutcome::Failed, true),
        (AttemptOutcome::ConnectionReset, true),
        (AttemptOutcome::ConnectFailed, false),
    ] {
        let mut scheduler = idempotent_host(plan(1000.0));
        let new = |n, t| {
            Event::RequestReceived(Request {
                shard: None,
                ..request(n, ms(t + 1500))
            })
        };
        let first = step_at(&mut scheduler, 1005, vec![new(250, 1005)]).0[0].1;
        let mut new_there = 0;
        let mut with_data_there = 0;
        let mut out = vec![(id(250), first)];
        for t in (1010..2010).step_by(10) {
            let n = ((t / 10) % 100) as u8;
            let data = Request {
                shard: Some(ShardId(first.0)),
                ..request(100 + n, ms(t + 60))
            };
            let end = |node: NodeId| {
                if node == first {
                    bad
                } else {
                    AttemptOutcome::Completed
                }
            };
            let ends = out
                .iter()
                .map(|(id, node)| attempt_end_of(*id, *node, end(*node), ms(1), false));
            let mut events: Vec<Event> = ends.collect();
            events.extend([new(n, t), Event::RequestReceived(data)]);
            (out, ..) = step_at(&mut scheduler, t, events);
            new_there += out
                .iter()
                .filter(|(id, node)| id.0[0] < 100 && *node == first)
                .count();
            with_data_there += out.iter().filter(|(id, _)| id.0[0] >= 100).count();
        }
        assert!(new_there < 20, "{bad:?}: {new_there} new objects");
        assert_eq!(
            with_data_there > 100,
            goes,
            "{bad:?}: {with_data_there} with their data there"
        );
    }
}
